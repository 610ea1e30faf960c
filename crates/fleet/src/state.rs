//! The replicated state: a deterministic function of the log alone, so every process that has applied the
//! same entries has the same state. It contains no clock times: the leader decides when a lease has expired,
//! and the expiry takes effect when its entry is applied.

use crate::mutants::{Mutant, is_active};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Members of a fleet.
pub const MAX_MEMBERS: usize = 1024;
/// Leases held at one time.
pub const MAX_LEASES: usize = 512;
/// Candidates queued for one lease. With the other bounds this limits the whole state to 8 MB; the leader
/// normally queues two candidates per lease.
pub const MAX_CANDIDATES: usize = 64;
/// Tasks with any recorded state.
pub const MAX_TASKS: usize = 128;
/// Bytes of a member's, lease's or task's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a task's cursor and of its result.
pub const MAX_CURSOR_BYTES: usize = 1024;
/// Acts kept for each lease whose acts are log entries.
pub const MAX_ACTS_PER_LEASE: usize = 16;
/// A task is disabled once more than this many holders in turn have begun one run without ending it: one
/// crash may be the machine's fault, and two a coincidence.
pub const MAX_HOLDERS_PER_RUN: u32 = 3;

/// A process of the fleet: a member's name and the incarnation of that member. Two incarnations of one member
/// never share a number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The member's name.
    pub member: String,
    /// Increases with each restart.
    pub incarnation: u64,
}

impl Holder {
    /// Builds the identity of one incarnation of a member.
    pub fn new(member: &str, incarnation: u64) -> Holder {
        Holder { member: member.to_string(), incarnation }
    }
}

/// A lease that is currently held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The current holder.
    pub holder: Holder,
    /// Fencing token sent with every act. Each grant of any lease has a token of its own, higher than all
    /// earlier ones.
    pub token: u64,
    /// Revoked by an operator: the lease is no longer renewed and expires.
    pub revoked: bool,
    /// Candidates for the lease, in the order of their requests.
    pub candidates: VecDeque<Holder>,
}

/// The replicated state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Paused by an operator.
    pub paused: bool,
    /// An operator has requested a run at once.
    pub run_requested: bool,
    /// Why the task is disabled: too many holders failed during one run, or a run failed permanently.
    pub disabled_reason: Option<String>,
    /// The last due time that was run or skipped, in Unix seconds.
    pub last_due: Option<i64>,
    /// The run in progress.
    pub run: Option<TaskRun>,
    /// The result of the last run.
    pub result: Option<Vec<u8>>,
}

/// A run of a task, continued by successive holders if one fails.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The due time of the run, in Unix seconds.
    pub due: i64,
    /// Idempotency key: the same for all retries and holders, so that the called service can detect a repeat.
    pub key: u64,
    /// Where the next call continues.
    pub cursor: Vec<u8>,
    /// Token of the holder that works on the run.
    pub token: u64,
    /// How many holders have begun the run.
    pub holder_count: u32,
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// Adds an incarnation of a member to the fleet.
    Enrol {
        /// The incarnation.
        holder: Holder,
    },
    /// An incarnation has left or was silent for too long: it is removed from all queues, and from the
    /// members unless it holds a lease.
    Gone {
        /// The incarnation.
        holder: Holder,
    },
    /// Requests a lease.
    Acquire {
        /// The lease.
        lease: String,
        /// The requester.
        holder: Holder,
    },
    /// The holder releases the lease.
    Release {
        /// The lease.
        lease: String,
        /// The token under which it is held.
        token: u64,
    },
    /// The leader has waited until the lease must have expired.
    Expire {
        /// The lease.
        lease: String,
        /// The token that has expired.
        token: u64,
    },
    /// An operator revokes the lease.
    Revoke {
        /// The lease.
        lease: String,
    },
    /// An act that consists of this entry alone: it takes effect if the token is the current one.
    Act {
        /// The lease.
        lease: String,
        /// The token.
        token: u64,
        /// The content of the act.
        note: Vec<u8>,
    },
    /// The holder of a task's lease begins a run or takes over the one in progress.
    BeginRun {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// The due time of the run.
        due: i64,
    },
    /// Saves the progress of a run.
    SaveCursor {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// Where the next call continues.
        cursor: Vec<u8>,
    },
    /// Ends a run.
    EndRun {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// The result, or why the run failed permanently.
        result: Result<Vec<u8>, String>,
    },
    /// Skips a due time without a run.
    SkipDue {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// The due time.
        due: i64,
    },
    /// An operator pauses or resumes a task. Resuming also enables a disabled task.
    Pause {
        /// The task.
        task: String,
        /// Whether the task is to be paused.
        paused: bool,
    },
    /// An operator requests a run at once.
    RequestRun {
        /// The task.
        task: String,
    },
    /// An entry of another part of the replicated state ([`crate::parts`]).
    Part {
        /// The part's name.
        part: String,
        /// The part's own encoding, at most [`crate::parts::MAX_PART_ENTRY_BYTES`] bytes.
        bytes: Vec<u8>,
    },
}

/// The result of applying an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied.
    Done,
    /// The lease is held under this token.
    Granted {
        /// The token.
        token: u64,
    },
    /// Another process holds the lease; the requester is queued.
    Queued {
        /// The position in the queue, from 1.
        position: usize,
    },
    /// A run was begun or continued.
    RunBegun {
        /// The run's idempotency key.
        key: u64,
        /// Where the run continues.
        cursor: Vec<u8>,
    },
    /// Rejected; the state is unchanged.
    Refused(Refusal),
    /// The outcome of a part's entry, in the part's own encoding.
    Part(Vec<u8>),
}

/// Why an entry was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A later incarnation of the member is enrolled.
    OldIncarnation,
    /// The incarnation is not enrolled.
    NotEnrolled,
    /// The token is not the current one.
    OldToken,
    /// A bound of the state is reached.
    Full,
    /// A name, cursor, result or entry is too long.
    TooLong,
    /// The task is paused or disabled.
    Stopped,
    /// No lease, task, run or part of this name, or nothing to do for it.
    NotFound,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refusal::OldIncarnation => "a later incarnation of that member is enrolled",
            Refusal::NotEnrolled => "this incarnation is not enrolled",
            Refusal::OldToken => "the token is not the current one",
            Refusal::Full => "the replicated state is full",
            Refusal::TooLong => "a name, a cursor or a result is too long",
            Refusal::Stopped => "the task is paused or disabled",
            Refusal::NotFound => "there is nothing of that name",
        })
    }
}

/// The replicated state of members, leases and tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fleet {
    members: BTreeMap<String, u64>,
    leases: BTreeMap<String, Lease>,
    tasks: BTreeMap<String, Task>,
    acts: BTreeMap<String, VecDeque<(u64, Vec<u8>)>>,
    /// The last token or key issued. All leases share one counter, so no token is issued twice even when a
    /// lease is removed and created again.
    last_token: u64,
}

/// The name of the lease under which a task runs.
pub fn lease_of_task(task: &str) -> String {
    format!("task/{task}")
}

impl Fleet {
    /// The members, each with its current incarnation.
    pub fn members(&self) -> impl Iterator<Item = (&str, u64)> {
        self.members.iter().map(|(name, incarnation)| (name.as_str(), *incarnation))
    }

    /// All held leases.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.leases.iter().map(|(name, lease)| (name.as_str(), lease))
    }

    /// A lease, if it is held.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// All tasks with recorded state.
    pub fn tasks(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.tasks.iter().map(|(name, task)| (name.as_str(), task))
    }

    /// A task, if it has recorded state.
    pub fn task(&self, name: &str) -> Option<&Task> {
        self.tasks.get(name)
    }

    /// The latest acts under a lease that were log entries, with their tokens.
    pub fn acts(&self, lease: &str) -> impl Iterator<Item = &(u64, Vec<u8>)> {
        self.acts.get(lease).into_iter().flatten()
    }

    /// The last token or key issued.
    pub fn last_token(&self) -> u64 {
        self.last_token
    }

    /// Whether this is the current incarnation of its member.
    pub fn is_present(&self, holder: &Holder) -> bool {
        self.members.get(&holder.member) == Some(&holder.incarnation)
    }

    /// The part of the state that one incarnation needs: the leases that it holds, and their tasks.
    pub fn view_for(&self, holder: &Holder) -> Fleet {
        let leases: BTreeMap<String, Lease> = (self.leases.iter())
            .filter(|(_, lease)| lease.holder == *holder)
            .map(|(name, lease)| (name.clone(), Lease { candidates: VecDeque::new(), ..lease.clone() }))
            .collect();
        let runs_here = |task: &str| leases.contains_key(&lease_of_task(task));
        let tasks = self.tasks.iter().filter(|(name, _)| runs_here(name));
        let tasks = tasks.map(|(name, task)| (name.clone(), task.clone())).collect();
        Fleet { leases, tasks, last_token: self.last_token, ..Fleet::default() }
    }

    /// Encodes the whole state; equal states have equal bytes.
    pub fn save(&self) -> Vec<u8> {
        // Serialising this state into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a saved state; `None` if the bytes are not valid.
    pub fn load(bytes: &[u8]) -> Option<Fleet> {
        let (mut fleet, rest): (Fleet, _) = postcard::take_from_bytes(bytes).ok()?;
        if is_active(Mutant::SnapshotForgetsTokens) {
            fleet.last_token = 0;
        }
        rest.is_empty().then_some(fleet)
    }

    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: &Entry) -> Outcome {
        match self.try_apply(entry) {
            Ok(outcome) => outcome,
            Err(refusal) => Outcome::Refused(refusal),
        }
    }

    fn try_apply(&mut self, entry: &Entry) -> Result<Outcome, Refusal> {
        match entry {
            Entry::Enrol { holder } => self.enrol(holder),
            Entry::Gone { holder } => self.leave(holder),
            Entry::Acquire { lease, holder } => self.acquire(lease, holder),
            Entry::Release { lease, token } | Entry::Expire { lease, token } => {
                // Guards against a release that is applied after the lease has passed to another holder.
                let honoured =
                    is_active(Mutant::LateReleaseHonoured) && matches!(entry, Entry::Release { .. });
                if !honoured {
                    self.check_token(lease, *token)?;
                }
                self.grant_next(lease);
                Ok(Outcome::Done)
            }
            Entry::Revoke { lease } => {
                self.leases.get_mut(lease).ok_or(Refusal::NotFound)?.revoked = true;
                Ok(Outcome::Done)
            }
            Entry::Act { lease, token, note } => {
                check_length(note)?;
                self.check_token(lease, *token)?;
                let acts = self.acts.entry(lease.clone()).or_default();
                acts.push_back((*token, note.clone()));
                if acts.len() > MAX_ACTS_PER_LEASE {
                    acts.pop_front();
                }
                Ok(Outcome::Done)
            }
            Entry::BeginRun { task, token, due } => self.begin_run(task, *token, *due),
            Entry::SaveCursor { task, token, cursor } => {
                check_length(cursor)?;
                if is_active(Mutant::OldTokenWritesCursor)
                    && let Some(run) = self.tasks.get_mut(task).and_then(|task| task.run.as_mut())
                {
                    run.cursor.clone_from(cursor);
                    return Ok(Outcome::Done);
                }
                // Guards against a holder that resumes after a long pause and moves the cursor back.
                self.run_mut(task, *token)?.cursor.clone_from(cursor);
                Ok(Outcome::Done)
            }
            Entry::EndRun { task, token, result } => self.end_run(task, *token, result),
            Entry::SkipDue { task, token, due } => {
                self.check_token(&lease_of_task(task), *token)?;
                let task = self.task_mut(task)?;
                task.last_due = task.last_due.max(Some(*due));
                task.run.take_if(|run| run.due <= *due);
                Ok(Outcome::Done)
            }
            Entry::Pause { task, paused } => {
                let task = self.task_mut(task)?;
                task.paused = *paused;
                if !paused {
                    task.disabled_reason = None;
                }
                Ok(Outcome::Done)
            }
            Entry::RequestRun { task } => {
                let task = self.task_mut(task)?;
                if task.paused || task.disabled_reason.is_some() {
                    return Err(Refusal::Stopped);
                }
                task.run_requested = true;
                Ok(Outcome::Done)
            }
            // Parts are applied by [`crate::parts::ReplicatedState`].
            Entry::Part { .. } => Err(Refusal::NotFound),
        }
    }

    fn enrol(&mut self, holder: &Holder) -> Result<Outcome, Refusal> {
        check_name(&holder.member)?;
        let full = self.members.len() >= MAX_MEMBERS;
        match self.members.get_mut(&holder.member) {
            Some(present) if *present > holder.incarnation => return Err(Refusal::OldIncarnation),
            Some(present) => *present = holder.incarnation,
            None if full => return Err(Refusal::Full),
            None => drop(self.members.insert(holder.member.clone(), holder.incarnation)),
        }
        // A lease of an earlier incarnation is left to expire: that process may be paused and resume in the
        // middle of an act.
        for lease in self.leases.values_mut() {
            lease.candidates.retain(|candidate| candidate.member != holder.member || candidate == holder);
        }
        Ok(Outcome::Done)
    }

    fn leave(&mut self, holder: &Holder) -> Result<Outcome, Refusal> {
        for lease in self.leases.values_mut() {
            lease.candidates.retain(|candidate| candidate != holder);
        }
        let holds = self.leases.values().any(|lease| lease.holder == *holder);
        if self.is_present(holder) && !holds {
            self.members.remove(&holder.member);
        }
        Ok(Outcome::Done)
    }

    fn acquire(&mut self, name: &str, holder: &Holder) -> Result<Outcome, Refusal> {
        check_name(name)?;
        match self.members.get(&holder.member) {
            None => return Err(Refusal::NotEnrolled),
            Some(present) if *present != holder.incarnation => return Err(Refusal::OldIncarnation),
            Some(_) => {}
        }
        let Some(lease) = self.leases.get_mut(name) else {
            if self.leases.len() >= MAX_LEASES {
                return Err(Refusal::Full);
            }
            self.last_token += 1;
            let lease = Lease {
                holder: holder.clone(),
                token: self.last_token,
                revoked: false,
                candidates: VecDeque::new(),
            };
            self.leases.insert(name.to_string(), lease);
            return Ok(Outcome::Granted { token: self.last_token });
        };
        // A repeated request, as the response may have been lost. Guards against a later incarnation that
        // takes over the lease of an earlier one while that one may still act.
        if lease.holder == *holder
            || lease.holder.member == holder.member && is_active(Mutant::IncarnationIgnored)
        {
            lease.holder.clone_from(holder);
            return Ok(Outcome::Granted { token: lease.token });
        }
        if let Some(position) = lease.candidates.iter().position(|candidate| candidate == holder) {
            return Ok(Outcome::Queued { position: position + 1 });
        }
        if lease.candidates.len() >= MAX_CANDIDATES {
            return Err(Refusal::Full);
        }
        lease.candidates.push_back(holder.clone());
        Ok(Outcome::Queued { position: lease.candidates.len() })
    }

    /// Returns the lease if the token is its current one.
    fn check_token(&self, name: &str, token: u64) -> Result<&Lease, Refusal> {
        let lease = self.leases.get(name).ok_or(Refusal::OldToken)?;
        if lease.token == token { Ok(lease) } else { Err(Refusal::OldToken) }
    }

    /// Grants the lease to the next candidate, or removes it.
    fn grant_next(&mut self, name: &str) {
        let Some(lease) = self.leases.get_mut(name) else { return };
        match lease.candidates.pop_front() {
            Some(next) => {
                self.last_token += 1;
                (lease.holder, lease.token, lease.revoked) = (next, self.last_token, false);
            }
            None => drop(self.leases.remove(name)),
        }
    }

    fn task_mut(&mut self, name: &str) -> Result<&mut Task, Refusal> {
        check_name(name)?;
        if !self.tasks.contains_key(name) && self.tasks.len() >= MAX_TASKS {
            return Err(Refusal::Full);
        }
        Ok(self.tasks.entry(name.to_string()).or_default())
    }

    /// The run of a task, for the holder that works on it.
    fn run_mut(&mut self, name: &str, token: u64) -> Result<&mut TaskRun, Refusal> {
        self.check_token(&lease_of_task(name), token)?;
        let run = self.tasks.get_mut(name).and_then(|task| task.run.as_mut()).ok_or(Refusal::NotFound)?;
        if run.token == token { Ok(run) } else { Err(Refusal::OldToken) }
    }

    fn begin_run(&mut self, name: &str, token: u64, due: i64) -> Result<Outcome, Refusal> {
        self.check_token(&lease_of_task(name), token)?;
        let key = self.last_token + 1;
        let task = self.task_mut(name)?;
        if task.paused || task.disabled_reason.is_some() {
            return Err(Refusal::Stopped);
        }
        if task.run.is_none() {
            // Guards against a second run for a due time whose end the holder was not notified of.
            if task.last_due.is_some_and(|last| last >= due) && !task.run_requested {
                return Err(Refusal::NotFound);
            }
            task.run = Some(TaskRun { due, key, cursor: Vec::new(), token, holder_count: 0 });
        }
        let mut outcome = Err(Refusal::NotFound);
        if let Some(run) = &mut task.run {
            if run.holder_count == 0 || run.token != token {
                run.holder_count += 1;
            }
            run.token = token;
            outcome = Ok(Outcome::RunBegun { key: run.key, cursor: run.cursor.clone() });
            if run.holder_count > MAX_HOLDERS_PER_RUN {
                // Guards against a task that crashes each holder in turn, until none is left. The reason is
                // stored in the replicated state: members of other versions store the same text.
                task.disabled_reason =
                    Some(format!("{MAX_HOLDERS_PER_RUN} holders in turn began it and did not end it"));
                (task.run, task.run_requested) = (None, false);
                outcome = Err(Refusal::Stopped);
            }
        }
        if matches!(outcome, Ok(Outcome::RunBegun { key: given, .. }) if given == key) {
            self.last_token = key;
        }
        outcome
    }

    fn end_run(
        &mut self,
        name: &str,
        token: u64,
        result: &Result<Vec<u8>, String>,
    ) -> Result<Outcome, Refusal> {
        match result {
            Ok(result) => check_length(result)?,
            Err(why) => check_length(why.as_bytes())?,
        }
        let due = self.run_mut(name, token)?.due;
        let task = self.task_mut(name)?;
        task.last_due = task.last_due.max(Some(due));
        (task.run, task.run_requested) = (None, false);
        match result {
            Ok(result) => task.result = Some(result.clone()),
            Err(why) => task.disabled_reason = Some(why.clone()),
        }
        Ok(Outcome::Done)
    }
}

fn check_name(name: &str) -> Result<(), Refusal> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES { Err(Refusal::TooLong) } else { Ok(()) }
}

fn check_length(bytes: &[u8]) -> Result<(), Refusal> {
    if bytes.len() > MAX_CURSOR_BYTES { Err(Refusal::TooLong) } else { Ok(()) }
}

#[cfg(test)]
mod tests;
