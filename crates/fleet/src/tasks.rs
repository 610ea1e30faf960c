//! What the process that holds a task's lease does next: begins what is due, calls, tries again within its budget, and says what came
//! of it. A result counts only once it is agreed.
//!
//! One [`TaskRunner`] a task, in every process; all but the holder's have nothing to do.

use crate::holder::{Grade, HeldLeases, NoPermit};
use crate::schedule::{Due, Missed, Schedule, due};
use crate::state::{Entry, Fleet, Outcome, Refusal, lease_of_task};
use std::time::Duration;

/// An entry that was proposed and of which nothing is heard is proposed again after this. Entries of tasks are safe to say twice.
pub const PROPOSE_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// A task, as the operator's file has it.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSpec {
    /// Its name.
    pub name: String,
    /// When it is due.
    pub when: Schedule,
    /// What happens to times that nobody ran.
    pub missed: Missed,
    /// How safe its acts are.
    pub grade: Grade,
    /// For one call.
    pub timeout: Duration,
    /// Calls for one time, the first included, by each holder.
    pub tries: u32,
    /// Between two of them; twice as long each time.
    pub backoff: Duration,
    /// For so long after its time a run counts as in time, where what was missed is let go.
    pub max_lateness: Duration,
}

/// The longest wait between two calls.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// All is done, with this result.
    Done(Vec<u8>),
    /// It has come so far; there is more.
    Partial(Vec<u8>),
    /// It failed, and may be tried again.
    Failed(String),
    /// What is called has seen a higher token: this process has lost the lease.
    OldToken,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say this to the fleet.
    Propose(Entry),
    /// Call, with token, key and cursor; it has to be over by then.
    Call {
        /// Which call this is; comes back with what came of it.
        number: u64,
        /// Shown to what is called.
        token: u64,
        /// The same over retries and holders.
        key: u64,
        /// Where it goes on.
        cursor: Vec<u8>,
        /// By this process's clock.
        until: Duration,
    },
    /// Wake this up again then.
    Wake(Duration),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is under way here.
    Idle,
    /// The run was begun here, under this token.
    Ready { token: u64, key: u64, cursor: Vec<u8>, tries: u32, next_call: Duration },
    /// A call is out.
    Calling { token: u64, key: u64, cursor: Vec<u8>, tries: u32, number: u64, until: Duration },
    /// Something is on its way into the log.
    Proposing { entry: Entry, token: u64, key: u64, retry_at: Duration, tries: u32 },
}

/// The holder's side of one task.
#[derive(Clone, Debug)]
pub struct TaskRunner {
    spec: TaskSpec,
    lease: String,
    state: State,
    /// When this process first heard of the task, in Unix seconds: what was due before is not missed.
    first_seen: i64,
    calls: u64,
}

impl TaskRunner {
    /// A task, first heard of at this time.
    pub fn new(spec: TaskSpec, unix: i64) -> TaskRunner {
        let lease = lease_of_task(&spec.name);
        TaskRunner { spec, lease, state: State::Idle, first_seen: unix, calls: 0 }
    }

    /// The fleet's time when this process first heard it.
    pub fn set_first_seen(&mut self, unix: i64) {
        self.first_seen = unix;
    }

    /// The lease under which it runs.
    pub fn lease(&self) -> &str {
        &self.lease
    }

    /// What the operator's file has of it.
    pub fn spec(&self) -> &TaskSpec {
        &self.spec
    }

    /// Takes up what the file has of it now. What is under way goes on.
    pub fn set_spec(&mut self, spec: TaskSpec) {
        self.spec = spec;
    }

    /// Time has passed, or the agreed state is another: what is to be done now.
    pub fn step(&mut self, now: Duration, unix: i64, leases: &HeldLeases, fleet: &Fleet) -> Vec<Action> {
        let Some(held) = leases.held(now, &self.lease) else {
            // A call that is out ends by its own time-out.
            self.state = State::Idle;
            return Vec::new();
        };
        match &self.state {
            State::Calling { token, until, .. } if *token == held.token && now < *until => {
                return vec![Action::Wake(*until)];
            }
            State::Calling { token, key, cursor, tries, .. } if *token == held.token => {
                // Nothing was heard of it in its time.
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

    /// What is due, if anything is.
    fn begin(&mut self, now: Duration, unix: i64, token: u64, fleet: &Fleet) -> Vec<Action> {
        let task = fleet.task(&self.spec.name);
        if task.is_some_and(|task| task.paused || task.disabled_reason.is_some()) {
            return Vec::new();
        }
        let name = self.spec.name.clone();
        // One that was begun is ended first, whoever began it.
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

    /// An entry of this task was agreed, with this outcome. Those of other holders are heard too.
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
                // What has come further has the whole budget again.
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
            // The lease may go on: it is looked at again.
            Err(NoPermit::TooLate) => vec![Action::Wake(now + self.spec.backoff.min(MAX_BACKOFF))],
            _ => {
                self.state = State::Idle;
                Vec::new()
            }
        }
    }

    /// What came of a call.
    pub fn on_call_outcome(&mut self, now: Duration, number: u64, outcome: CallOutcome) -> Vec<Action> {
        let State::Calling { token, key, cursor, tries, number: out, .. } = &self.state else {
            return Vec::new();
        };
        // Guards against what came of a call that was given up.
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
