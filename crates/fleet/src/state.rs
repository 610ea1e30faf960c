//! The agreed state: a function of the log alone, the same in every process that has read as far. Nothing in it is a time:
//! when a lease has run out is judged by the one that leads, and becomes true with its entry.

use crate::mutants::{Mutant, is_active};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Bounds of the agreed state.
pub const MAX_MEMBERS: usize = 1024;
/// Leases at once.
pub const MAX_LEASES: usize = 512;
/// Those that wait for one lease. With the bounds beside it the whole state has 8 MB at most: far beyond three in each line.
pub const MAX_WAITERS: usize = 64;
/// Tasks of which anything is known.
pub const MAX_TASKS: usize = 128;
/// Bytes of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a task's cursor, and of its result.
pub const MAX_CURSOR_BYTES: usize = 1024;
/// Acts that are remembered for each lease whose acts are entries.
pub const MAX_ACTS_PER_LEASE: usize = 16;
/// A task that this many holders in turn have begun and none has ended is put aside. Ours: one death may be the machine's, two
/// bad luck.
pub const MAX_HOLDERS_PER_RUN: u32 = 3;

/// A process of the fleet: its name, and which start of it this is. Two starts of one name never have the same incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The member's name.
    pub member: String,
    /// Grows with each start.
    pub incarnation: u64,
}

impl Holder {
    /// A start of a member.
    pub fn new(member: &str, incarnation: u64) -> Holder {
        Holder { member: member.to_string(), incarnation }
    }
}

/// A lease that somebody holds or waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: Holder,
    /// Shown with every act. No two grants of any lease have the same, and a later one has a higher.
    pub token: u64,
    /// Operators want it back: it does not go on, and runs out.
    pub revoked: bool,
    /// Those that come next, in the order in which they asked.
    pub waiters: VecDeque<Holder>,
}

/// What is agreed of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Operators have stopped it.
    pub paused: bool,
    /// Operators want it run at once.
    pub run_requested: bool,
    /// Why it is left alone, once too many holders have died of it or it has failed for good.
    pub disabled_reason: Option<String>,
    /// The last time that was done or let go, in Unix seconds.
    pub last_due: Option<i64>,
    /// What is under way.
    pub run: Option<TaskRun>,
    /// What the last run came to.
    pub result: Option<Vec<u8>>,
}

/// A run of a task, through all holders that work on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskRun {
    /// The time that it is for, in Unix seconds.
    pub due: i64,
    /// The same over retries and holders, so that what is called can tell a repeat.
    pub key: u64,
    /// Where the next one goes on.
    pub cursor: Vec<u8>,
    /// Who works on it, by the token.
    pub token: u64,
    /// How many holders have begun it.
    pub holder_count: u32,
}

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A start of a member is here.
    Enrol {
        /// Which.
        holder: Holder,
    },
    /// A start of a member has gone, or was not heard of for long: it waits for nothing any more, and if it holds nothing it is
    /// forgotten.
    Gone {
        /// Which.
        holder: Holder,
    },
    /// Somebody wants a lease.
    Acquire {
        /// The lease.
        lease: String,
        /// Who.
        holder: Holder,
    },
    /// The holder gives it up.
    Release {
        /// The lease.
        lease: String,
        /// Under which token it holds it.
        token: u64,
    },
    /// The leader has waited for all of its time.
    Expire {
        /// The lease.
        lease: String,
        /// Whose time.
        token: u64,
    },
    /// Operators want it back.
    Revoke {
        /// The lease.
        lease: String,
    },
    /// An act that is nothing but this entry: it counts if the token is the present one.
    Act {
        /// The lease.
        lease: String,
        /// The token.
        token: u64,
        /// What is done.
        note: Vec<u8>,
    },
    /// The holder of a task's lease begins a run, or goes on with one.
    BeginRun {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// The time that it is for.
        due: i64,
    },
    /// It has come so far.
    SaveCursor {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// Where the next one goes on.
        cursor: Vec<u8>,
    },
    /// It is done, or let go.
    EndRun {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// What it came to, or why it failed for good.
        result: Result<Vec<u8>, String>,
    },
    /// A time is let go without a run.
    SkipDue {
        /// The task.
        task: String,
        /// The token.
        token: u64,
        /// The time.
        due: i64,
    },
    /// Operators stop a task, or let it go on; that also takes up one that was put aside.
    Pause {
        /// The task.
        task: String,
        /// Whether it is stopped.
        paused: bool,
    },
    /// Operators want it run now.
    RequestRun {
        /// The task.
        task: String,
    },
    /// Of a part of the agreed state beside this one ([`crate::parts`]).
    Part {
        /// The part's name.
        part: String,
        /// What only that part reads; [`crate::parts::MAX_PART_ENTRY_BYTES`] bytes at most.
        bytes: Vec<u8>,
    },
}

/// What came of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is so.
    Done,
    /// The lease is held, under this token.
    Granted {
        /// The token.
        token: u64,
    },
    /// The lease is another's; this is the place in the line, from 1.
    Queued {
        /// The place.
        position: usize,
    },
    /// The run's key, and where it goes on.
    RunBegun {
        /// The key.
        key: u64,
        /// The cursor.
        cursor: Vec<u8>,
    },
    /// Nothing has changed.
    Refused(Refusal),
    /// What a part of the agreed state has to say to its entry, as only that part reads it.
    Part(Vec<u8>),
}

/// Why an entry changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A later start of that member is here.
    OldIncarnation,
    /// That start is not enrolled.
    NotEnrolled,
    /// The token is not the present one.
    OldToken,
    /// There is no room.
    Full,
    /// A name or what comes with it is too long.
    TooLong,
    /// The task is paused, or put aside.
    Stopped,
    /// There is nothing of that name.
    NotFound,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refusal::OldIncarnation => "a later start of that member is here",
            Refusal::NotEnrolled => "that start is not enrolled",
            Refusal::OldToken => "the token is not the present one",
            Refusal::Full => "there is no room",
            Refusal::TooLong => "a name, a cursor or a result is too long",
            Refusal::Stopped => "the task is paused or put aside",
            Refusal::NotFound => "there is nothing of that name",
        })
    }
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fleet {
    members: BTreeMap<String, u64>,
    leases: BTreeMap<String, Lease>,
    tasks: BTreeMap<String, Task>,
    acts: BTreeMap<String, VecDeque<(u64, Vec<u8>)>>,
    /// The last token or key that was given out. One count for all, so that none comes twice though leases come and go.
    last_token: u64,
}

/// The lease under which a task runs.
pub fn lease_of_task(task: &str) -> String {
    format!("task/{task}")
}

impl Fleet {
    /// The members, with the incarnation of the present start of each.
    pub fn members(&self) -> impl Iterator<Item = (&str, u64)> {
        self.members.iter().map(|(name, incarnation)| (name.as_str(), *incarnation))
    }

    /// All leases that are held.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.leases.iter().map(|(name, lease)| (name.as_str(), lease))
    }

    /// A lease, if it is held.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// All tasks of which anything is known.
    pub fn tasks(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.tasks.iter().map(|(name, task)| (name.as_str(), task))
    }

    /// A task, if anything is known of it.
    pub fn task(&self, name: &str) -> Option<&Task> {
        self.tasks.get(name)
    }

    /// The last acts under a lease that were entries of the log, with their tokens.
    pub fn acts(&self, lease: &str) -> impl Iterator<Item = &(u64, Vec<u8>)> {
        self.acts.get(lease).into_iter().flatten()
    }

    /// The last token or key that was given out.
    pub fn last_token(&self) -> u64 {
        self.last_token
    }

    /// Whether this is the present start of that member.
    pub fn is_present(&self, holder: &Holder) -> bool {
        self.members.get(&holder.member) == Some(&holder.incarnation)
    }

    /// The part that concerns one start: the leases that it holds, and the tasks that run under them.
    pub fn view_for(&self, holder: &Holder) -> Fleet {
        let leases: BTreeMap<String, Lease> = (self.leases.iter())
            .filter(|(_, lease)| lease.holder == *holder)
            .map(|(name, lease)| (name.clone(), Lease { waiters: VecDeque::new(), ..lease.clone() }))
            .collect();
        let runs_here = |task: &str| leases.contains_key(&lease_of_task(task));
        let tasks = self.tasks.iter().filter(|(name, _)| runs_here(name));
        let tasks = tasks.map(|(name, task)| (name.clone(), task.clone())).collect();
        Fleet { leases, tasks, last_token: self.last_token, ..Fleet::default() }
    }

    /// The whole state as bytes, the same for the same state.
    pub fn save(&self) -> Vec<u8> {
        // Writing into memory fails for nothing that the state holds.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The state that was saved; `None` if these are not its bytes.
    pub fn load(bytes: &[u8]) -> Option<Fleet> {
        let (mut fleet, rest): (Fleet, _) = postcard::take_from_bytes(bytes).ok()?;
        if is_active(Mutant::SnapshotForgetsTokens) {
            fleet.last_token = 0;
        }
        rest.is_empty().then_some(fleet)
    }

    /// Takes in the next entry of the log.
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
                // Guards against a release that comes when the lease is another's already.
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
                // Guards against a holder that wakes and sets the task back.
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
            // Its part is not here.
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
        // What an earlier start holds runs out in its time: it may be frozen, and wake in the middle of an act.
        for lease in self.leases.values_mut() {
            lease.waiters.retain(|waiter| waiter.member != holder.member || waiter == holder);
        }
        Ok(Outcome::Done)
    }

    fn leave(&mut self, holder: &Holder) -> Result<Outcome, Refusal> {
        for lease in self.leases.values_mut() {
            lease.waiters.retain(|waiter| waiter != holder);
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
                waiters: VecDeque::new(),
            };
            self.leases.insert(name.to_string(), lease);
            return Ok(Outcome::Granted { token: self.last_token });
        };
        // Asked twice, as an answer may have been lost. Guards against a later start that takes the lease of an earlier one for its
        // own, which may act still.
        if lease.holder == *holder
            || lease.holder.member == holder.member && is_active(Mutant::IncarnationIgnored)
        {
            lease.holder.clone_from(holder);
            return Ok(Outcome::Granted { token: lease.token });
        }
        if let Some(position) = lease.waiters.iter().position(|waiter| waiter == holder) {
            return Ok(Outcome::Queued { position: position + 1 });
        }
        if lease.waiters.len() >= MAX_WAITERS {
            return Err(Refusal::Full);
        }
        lease.waiters.push_back(holder.clone());
        Ok(Outcome::Queued { position: lease.waiters.len() })
    }

    /// The lease under its present token.
    fn check_token(&self, name: &str, token: u64) -> Result<&Lease, Refusal> {
        let lease = self.leases.get(name).ok_or(Refusal::OldToken)?;
        if lease.token == token { Ok(lease) } else { Err(Refusal::OldToken) }
    }

    /// The lease goes to the next in line, or to nobody.
    fn grant_next(&mut self, name: &str) {
        let Some(lease) = self.leases.get_mut(name) else { return };
        match lease.waiters.pop_front() {
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
            // Guards against a time that was done, and whose holder did not hear so.
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
                // Guards against a task that kills each holder in turn, until none is left.
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
