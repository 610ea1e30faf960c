//! What the holder of a task's lease does next: it begins a due run, makes calls, retries them within a
//! budget, and proposes the result. A result counts only once it is committed.
//!
//! Every process has one [`TaskRunner`] for each task; only the holder's does anything.

use crate::holder::{Grade, HeldLeases, NoPermit};
use crate::schedule::{Due, Missed, Schedule, due};
use crate::state::{Entry, Fleet, Outcome, Refusal, lease_of_task};
use std::time::Duration;

/// An entry without an outcome is proposed again after this. Entries of tasks may safely be committed twice.
pub const PROPOSE_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// A task as configured in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSpec {
    /// The task's name.
    pub name: String,
    /// When it is due.
    pub when: Schedule,
    /// How due times that were missed are made up for.
    pub missed: Missed,
    /// How its acts are protected against those of another holder.
    pub grade: Grade,
    /// The timeout of one call.
    pub timeout: Duration,
    /// Calls for one due time by each holder, the first included.
    pub tries: u32,
    /// The wait before the first retry; doubled for each further one.
    pub backoff: Duration,
    /// How long after its due time a run still counts as on time, where missed runs are skipped.
    pub max_lateness: Duration,
}

/// The longest wait between two calls.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The run is complete, with this result.
    Done(Vec<u8>),
    /// Part of the run is done up to this cursor.
    Partial(Vec<u8>),
    /// The call failed and may be retried.
    Failed(String),
    /// The called service has seen a higher token: this process has lost the lease.
    OldToken,
}

/// What the caller has to do for the runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Have this entry committed.
    Propose(Entry),
    /// Make a call, which has to be over at `until`.
    Call {
        /// The number of the call, returned with its outcome.
        number: u64,
        /// Fencing token, sent with the call.
        token: u64,
        /// Idempotency key, the same for all retries and holders.
        key: u64,
        /// Where the run continues.
        cursor: Vec<u8>,
        /// By this process's clock.
        until: Duration,
    },
    /// Step the runner again at this time.
    Wake(Duration),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// No run is in progress here.
    Idle,
    /// A run was begun under this token; its next call is due at `next_call`.
    Ready { token: u64, key: u64, cursor: Vec<u8>, tries: u32, next_call: Duration },
    /// A call is in flight.
    Calling { token: u64, key: u64, cursor: Vec<u8>, tries: u32, number: u64, until: Duration },
    /// An entry is proposed and has no outcome yet.
    Proposing { entry: Entry, token: u64, key: u64, retry_at: Duration, tries: u32 },
}

/// The state of one task in one process.
#[derive(Clone, Debug)]
pub struct TaskRunner {
    spec: TaskSpec,
    lease: String,
    state: State,
    /// When this process first saw the task, in Unix seconds: earlier due times are not missed runs.
    first_seen: i64,
    calls: u64,
}

impl TaskRunner {
    /// Creates the runner of a task first seen at this time.
    pub fn new(spec: TaskSpec, unix: i64) -> TaskRunner {
        let lease = lease_of_task(&spec.name);
        TaskRunner { spec, lease, state: State::Idle, first_seen: unix, calls: 0 }
    }

    /// Sets the fleet's time at which this process first saw the task.
    pub fn set_first_seen(&mut self, unix: i64) {
        self.first_seen = unix;
    }

    /// The lease under which the task runs.
    pub fn lease(&self) -> &str {
        &self.lease
    }

    /// The task's configuration.
    pub fn spec(&self) -> &TaskSpec {
        &self.spec
    }

    /// Replaces the configuration. A run in progress continues.
    pub fn set_spec(&mut self, spec: TaskSpec) {
        self.spec = spec;
    }

    /// Returns what has to be done, after time has passed or the replicated state has changed.
    pub fn step(&mut self, now: Duration, unix: i64, leases: &HeldLeases, fleet: &Fleet) -> Vec<Action> {
        let Some(held) = leases.held(now, &self.lease) else {
            // A call in flight ends by its own timeout.
            self.state = State::Idle;
            return Vec::new();
        };
        match &self.state {
            State::Calling { token, until, .. } if *token == held.token && now < *until => {
                return vec![Action::Wake(*until)];
            }
            State::Calling { token, key, cursor, tries, .. } if *token == held.token => {
                // The call has timed out. The reason is stored in the replicated state: members of other
                // versions store the same text.
                let (key, cursor, tries) = (*key, cursor.clone(), *tries);
                return self.on_failure(
                    now,
                    held.token,
                    key,
                    cursor,
                    tries,
                    "nothing came of it in its time".into(),
                );
            }
            State::Proposing { token, retry_at, entry, .. } if *token == held.token => {
                if now < *retry_at {
                    return vec![Action::Wake(*retry_at)];
                }
                let entry = entry.clone();
                return self.propose_again(now, entry);
            }
            State::Ready { token, next_call, .. } if *token == held.token => {
                let next_call = *next_call;
                return if now < next_call { vec![Action::Wake(next_call)] } else { self.call(now, leases) };
            }
            _ => self.state = State::Idle,
        }
        self.begin(now, unix, held.token, fleet)
    }

    /// Begins the next due run, if any.
    fn begin(&mut self, now: Duration, unix: i64, token: u64, fleet: &Fleet) -> Vec<Action> {
        let task = fleet.task(&self.spec.name);
        if task.is_some_and(|task| task.paused || task.disabled_reason.is_some()) {
            return Vec::new();
        }
        let name = self.spec.name.clone();
        // A run in progress is ended first, whichever holder began it.
        if let Some(run) = task.and_then(|task| task.run.as_ref()) {
            return self.propose(now, token, 0, 0, Entry::BeginRun { task: name, token, due: run.due });
        }
        if task.is_some_and(|task| task.run_requested) {
            return self.propose(now, token, 0, 0, Entry::BeginRun { task: name, token, due: unix });
        }
        let last = task.and_then(|task| task.last_due).unwrap_or(self.first_seen);
        match due(&self.spec.when, self.spec.missed, last, unix, self.spec.max_lateness) {
            Due::Run(due) => self.propose(now, token, 0, 0, Entry::BeginRun { task: name, token, due }),
            Due::Skip(due) => self.propose(now, token, 0, 0, Entry::SkipDue { task: name, token, due }),
            Due::NotBefore(Some(at)) => {
                let wait = Duration::from_secs(u64::try_from(at - unix).unwrap_or(0).min(60));
                vec![Action::Wake(now + wait)]
            }
            Due::NotBefore(None) => Vec::new(),
        }
    }

    fn propose(&mut self, now: Duration, token: u64, key: u64, tries: u32, entry: Entry) -> Vec<Action> {
        let retry_at = now + PROPOSE_AGAIN_AFTER;
        self.state = State::Proposing { entry: entry.clone(), token, key, retry_at, tries };
        vec![Action::Propose(entry), Action::Wake(retry_at)]
    }

    fn propose_again(&mut self, now: Duration, proposed: Entry) -> Vec<Action> {
        let State::Proposing { token, key, tries, .. } = self.state else { return Vec::new() };
        self.propose(now, token, key, tries, proposed)
    }

    /// Records the outcome of an entry of this task. Those proposed by other holders are ignored.
    pub fn on_outcome(&mut self, now: Duration, entry: &Entry, outcome: &Outcome) -> Vec<Action> {
        let State::Proposing { entry: proposed, token, key, tries, .. } = &self.state else {
            return Vec::new();
        };
        if proposed != entry {
            return Vec::new();
        }
        let (token, key, tries) = (*token, *key, *tries);
        match (entry, outcome) {
            (Entry::BeginRun { .. }, Outcome::RunBegun { key, cursor }) => {
                let (key, cursor) = (*key, cursor.clone());
                self.state = State::Ready { token, key, cursor, tries: 0, next_call: now };
                vec![Action::Wake(now)]
            }
            (Entry::SaveCursor { cursor, .. }, Outcome::Done) => {
                // A call that made progress restores the whole budget of tries.
                let _ = tries;
                self.state = State::Ready { token, key, cursor: cursor.clone(), tries: 0, next_call: now };
                vec![Action::Wake(now)]
            }
            (_, Outcome::Refused(Refusal::OldToken)) => {
                self.state = State::Idle;
                Vec::new()
            }
            _ => {
                self.state = State::Idle;
                vec![Action::Wake(now)]
            }
        }
    }

    fn call(&mut self, now: Duration, leases: &HeldLeases) -> Vec<Action> {
        let State::Ready { token, key, cursor, tries, .. } = &self.state else { return Vec::new() };
        let (token, key, cursor, tries) = (*token, *key, cursor.clone(), *tries);
        match leases.may_act(now, &self.lease, self.spec.grade) {
            Ok(permit) if permit.token == token => {
                self.calls += 1;
                let (number, until) = (self.calls, (now + self.spec.timeout).min(permit.until));
                self.state =
                    State::Calling { token, key, cursor: cursor.clone(), tries: tries + 1, number, until };
                vec![Action::Call { number, token, key, cursor, until }, Action::Wake(until)]
            }
            Err(NoPermit::PreviousHolderMayAct { until }) => vec![Action::Wake(until)],
            // The lease may be renewed, so this is checked again later.
            Err(NoPermit::TooLate) => vec![Action::Wake(now + self.spec.backoff.min(MAX_BACKOFF))],
            _ => {
                self.state = State::Idle;
                Vec::new()
            }
        }
    }

    /// Records the outcome of a call.
    pub fn on_call_outcome(&mut self, now: Duration, number: u64, outcome: CallOutcome) -> Vec<Action> {
        let State::Calling { token, key, cursor, tries, number: out, .. } = &self.state else {
            return Vec::new();
        };
        // Guards against the late outcome of a call that was given up.
        if *out != number {
            return Vec::new();
        }
        let (token, key, cursor, tries) = (*token, *key, cursor.clone(), *tries);
        let task = self.spec.name.clone();
        match outcome {
            CallOutcome::Done(result) => {
                self.propose(now, token, key, tries, Entry::EndRun { task, token, result: Ok(result) })
            }
            CallOutcome::Partial(cursor) => {
                self.propose(now, token, key, tries, Entry::SaveCursor { task, token, cursor })
            }
            CallOutcome::Failed(why) => self.on_failure(now, token, key, cursor, tries, why),
            CallOutcome::OldToken => {
                self.state = State::Idle;
                Vec::new()
            }
        }
    }

    fn on_failure(
        &mut self,
        now: Duration,
        token: u64,
        key: u64,
        cursor: Vec<u8>,
        tries: u32,
        why: String,
    ) -> Vec<Action> {
        if tries >= self.spec.tries {
            // Stored in the replicated state: members of other versions store the same text.
            let why: String = format!("{tries} calls failed, the last: {why}").chars().take(200).collect();
            let task = self.spec.name.clone();
            return self.propose(now, token, key, tries, Entry::EndRun { task, token, result: Err(why) });
        }
        let wait = self.spec.backoff.saturating_mul(1 << (tries.saturating_sub(1)).min(16)).min(MAX_BACKOFF);
        let next_call = now + wait;
        self.state = State::Ready { token, key, cursor, tries, next_call };
        vec![Action::Wake(next_call)]
    }
}

#[cfg(test)]
mod tests;
