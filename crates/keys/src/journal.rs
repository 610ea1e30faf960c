//! [`KeyTable`] with a journal of its operations, for replays. The journal contains keys but no results,
//! only their lengths, on which the memory limit depends.

use crate::{Key, KeyTable, RunState, TryRejected};
use jaspershunt::RequestId;
use serde::{Deserialize, Serialize};
use std::ops::Deref;
use std::rc::Rc;

/// An operation that may have changed the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// A try was registered: [`KeyTable::register_try`].
    Arrived {
        /// Its key.
        key: Key,
        /// Its digest.
        print: u64,
        /// Its id.
        id: RequestId,
        /// When it arrived.
        now: f64,
        /// Whether the newest earlier try was still queued, if the table asked for it.
        held: bool,
    },
    /// A try became the newest one: [`KeyTable::replace_pending`].
    Hold(Key, RequestId),
    /// A try was released: [`KeyTable::release_try`].
    Forget(Key, RequestId),
    /// A try started to run; the time is the end of its window: [`KeyTable::start_run`].
    Started(Key, RequestId, f64),
    /// A run ended, with the length of its result: [`KeyTable::end_run`].
    Ended(Key, RequestId, Option<usize>),
    /// A started try never ran: [`KeyTable::never_ran`].
    NeverRan(Key, RequestId),
    /// Windows passed: [`KeyTable::expire`].
    Expire(f64),
    /// A key of another process: [`KeyTable::adopt`].
    Adopt {
        /// The key.
        key: Key,
        /// Its digest.
        print: u64,
        /// The request id of its try.
        id: RequestId,
        /// The end of its window.
        until: f64,
        /// The state of its run.
        run: Option<AdoptedRun>,
    },
    /// Unfinished runs of tries from this id on failed: [`KeyTable::fail_runs_from`].
    FailFrom(RequestId),
    /// Windows were extended by so many seconds, up to this end: [`KeyTable::extend_windows`].
    Lengthen(f64, f64),
}

/// The state of the run of an adopted key, with the length of the result in place of the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdoptedRun {
    /// It has not ended.
    Running,
    /// It succeeded, with a result of this many bytes.
    Done(usize),
    /// It failed.
    Failed,
}

/// The result of [`KeyTable::register_try`].
pub type TryResult = Result<Option<RequestId>, TryRejected>;

/// One operation, with its result if it is a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The operation.
    pub operation: Operation,
    /// The result of registering a try.
    pub result: Option<TryResult>,
}

/// A result of this length whose content is unknown.
fn zeros(bytes: usize) -> Rc<[u8]> {
    vec![0; bytes].into()
}

impl Operation {
    /// The key that the operation is about.
    pub fn key_mut(&mut self) -> Option<&mut Key> {
        match self {
            Operation::Arrived { key, .. }
            | Operation::Hold(key, _)
            | Operation::Forget(key, _)
            | Operation::Started(key, ..)
            | Operation::Ended(key, ..)
            | Operation::NeverRan(key, _)
            | Operation::Adopt { key, .. } => Some(key),
            Operation::Expire(_) | Operation::FailFrom(_) | Operation::Lengthen(..) => None,
        }
    }

    /// Applies the operation to a table.
    pub fn apply(&self, keys: &mut KeyTable) -> Option<TryResult> {
        match self {
            Operation::Arrived { key, print: digest, id, now, held } => {
                return Some(keys.register_try(key, *digest, *id, *now, |_| *held));
            }
            Operation::Hold(key, id) => keys.replace_pending(key, *id),
            Operation::Forget(key, id) => keys.release_try(key, *id),
            Operation::Started(key, id, until) => {
                keys.start_run(key, *id, *until);
            }
            Operation::Ended(key, id, result) => keys.end_run(key, *id, result.map(zeros)),
            Operation::NeverRan(key, id) => keys.never_ran(key, *id),
            Operation::Expire(now) => keys.expire(*now),
            Operation::Adopt { key, print: digest, id, until, run } => {
                let run = run.map(|run| match run {
                    AdoptedRun::Running => RunState::Running,
                    AdoptedRun::Done(bytes) => RunState::Done(zeros(bytes)),
                    AdoptedRun::Failed => RunState::Failed,
                });
                keys.adopt(key, *digest, *id, *until, run);
            }
            Operation::FailFrom(first) => drop(keys.fail_runs_from(*first)),
            Operation::Lengthen(by, latest_end) => keys.extend_windows(*by, *latest_end),
        }
        None
    }
}

/// A [`KeyTable`] with an optional journal.
#[derive(Debug)]
pub struct JournaledKeyTable {
    keys: KeyTable,
    journal: Option<Vec<Step>>,
}

impl Deref for JournaledKeyTable {
    type Target = KeyTable;
    fn deref(&self) -> &KeyTable {
        &self.keys
    }
}

impl JournaledKeyTable {
    /// Creates a table of at most `max_bytes`; `enabled` turns the journal on.
    pub fn new(max_bytes: usize, enabled: bool) -> JournaledKeyTable {
        JournaledKeyTable { keys: KeyTable::new(max_bytes), journal: enabled.then(Vec::new) }
    }

    /// Takes the steps recorded since the last call.
    pub fn take_steps(&mut self) -> Vec<Step> {
        self.journal.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn record(&mut self, operation: impl FnOnce() -> Operation, result: Option<TryResult>) {
        if let Some(steps) = &mut self.journal {
            steps.push(Step { operation: operation(), result });
        }
    }

    /// Records and calls [`KeyTable::register_try`].
    ///
    /// # Errors
    ///
    /// The same as [`KeyTable::register_try`].
    pub fn register_try(
        &mut self,
        key: &Key,
        digest: u64,
        id: RequestId,
        arrived: f64,
        is_queued: impl Fn(RequestId) -> bool,
    ) -> TryResult {
        let was_queued = std::cell::Cell::new(false);
        let observe = |id| {
            was_queued.set(is_queued(id));
            was_queued.get()
        };
        let result = self.keys.register_try(key, digest, id, arrived, observe);
        let held = was_queued.get();
        self.record(
            || Operation::Arrived { key: key.clone(), print: digest, id, now: arrived, held },
            Some(result),
        );
        result
    }

    /// Records and calls [`KeyTable::replace_pending`].
    pub fn replace_pending(&mut self, key: &Key, id: RequestId) {
        self.record(|| Operation::Hold(key.clone(), id), None);
        self.keys.replace_pending(key, id);
    }

    /// Records and calls [`KeyTable::release_try`].
    pub fn release_try(&mut self, key: &Key, id: RequestId) {
        self.record(|| Operation::Forget(key.clone(), id), None);
        self.keys.release_try(key, id);
    }

    /// Records and calls [`KeyTable::start_run`].
    pub fn start_run(&mut self, key: &Key, id: RequestId, until: f64) -> bool {
        self.record(|| Operation::Started(key.clone(), id, until), None);
        self.keys.start_run(key, id, until)
    }

    /// Records and calls [`KeyTable::end_run`].
    pub fn end_run(&mut self, key: &Key, id: RequestId, result: Option<Rc<[u8]>>) {
        let bytes = result.as_ref().map(|result| result.len());
        self.record(|| Operation::Ended(key.clone(), id, bytes), None);
        self.keys.end_run(key, id, result);
    }

    /// Records and calls [`KeyTable::never_ran`].
    pub fn never_ran(&mut self, key: &Key, id: RequestId) {
        self.record(|| Operation::NeverRan(key.clone(), id), None);
        self.keys.never_ran(key, id);
    }

    /// Calls [`KeyTable::expire`], and records it only if a window has passed.
    pub fn expire(&mut self, now: f64) {
        if self.keys.has_expired(now) {
            self.record(|| Operation::Expire(now), None);
            self.keys.expire(now);
        }
    }

    /// Records and calls [`KeyTable::adopt`].
    pub fn adopt(
        &mut self,
        key: &Key,
        digest: u64,
        id: RequestId,
        until: f64,
        run: Option<RunState>,
    ) -> bool {
        let adopted = run.as_ref().map(|run| match run {
            RunState::Running => AdoptedRun::Running,
            RunState::Done(result) => AdoptedRun::Done(result.len()),
            RunState::Failed => AdoptedRun::Failed,
        });
        self.record(|| Operation::Adopt { key: key.clone(), print: digest, id, until, run: adopted }, None);
        self.keys.adopt(key, digest, id, until, run)
    }

    /// Records and calls [`KeyTable::extend_windows`].
    pub fn extend_windows(&mut self, by: f64, latest_end: f64) {
        self.record(|| Operation::Lengthen(by, latest_end), None);
        self.keys.extend_windows(by, latest_end);
    }

    /// Records and calls [`KeyTable::fail_runs_from`].
    pub fn fail_runs_from(&mut self, first: RequestId) -> Vec<Key> {
        self.record(|| Operation::FailFrom(first), None);
        self.keys.fail_runs_from(first)
    }
}

#[cfg(test)]
mod tests;
