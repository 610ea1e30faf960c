//! The table with a tape: what was asked of it, so that a replay can ask the same. Keys are on it, results are not: their
//! lengths are, since room depends on them.

use crate::{Key, KeyTable, RunState, TryRejected};
use jaspershunt::RequestId;
use serde::{Deserialize, Serialize};
use std::ops::Deref;
use std::rc::Rc;

/// Something that was asked of the table and may have changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// A try was read.
    Arrived {
        /// Its key.
        key: Key,
        /// Its print.
        print: u64,
        /// Its id.
        id: RequestId,
        /// When it came.
        now: f64,
        /// The try that held the key before was still held, if that was asked.
        held: bool,
    },
    /// A try takes the place of an earlier one.
    Hold(Key, RequestId),
    /// A try is over.
    Forget(Key, RequestId),
    /// A try is run, and remembered until then.
    Started(Key, RequestId, f64),
    /// The run of a try is over, with a result of so many bytes.
    Ended(Key, RequestId, Option<usize>),
    /// A try that was started never ran.
    NeverRan(Key, RequestId),
    /// Time has passed.
    Expire(f64),
    /// A key of another process.
    Adopt {
        /// The key.
        key: Key,
        /// Its print.
        print: u64,
        /// The id that stands for its try.
        id: RequestId,
        /// Until when it is remembered.
        until: f64,
        /// What became of it.
        run: Option<AdoptedRun>,
    },
    /// Runs of tries from this id on are over, and nobody knows how.
    FailFrom(RequestId),
    /// Windows are longer by so many seconds, and end at this time at the latest.
    Lengthen(f64, f64),
}

/// What became of a key of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdoptedRun {
    /// It is not over.
    Running,
    /// It ended with so many bytes.
    Done(usize),
    /// It failed.
    Failed,
}

/// What came of an arrival.
pub type TryResult = Result<Option<RequestId>, TryRejected>;

/// One call, and what came of it where that is a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// What was asked.
    pub operation: Operation,
    /// What came of an arrival.
    pub result: Option<TryResult>,
}

/// A result of so many bytes, of which nothing else is known.
fn zeros(bytes: usize) -> Rc<[u8]> {
    vec![0; bytes].into()
}

impl Operation {
    /// The key that it is about.
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

    /// Asks the same of a table.
    pub fn apply(&self, keys: &mut KeyTable) -> Option<TryResult> {
        match self {
            Operation::Arrived { key, print: digest, id, now, held } => {
                return Some(keys.register_try(key, *digest, *id, *now, |_| *held));
            }
            Operation::Hold(key, id) => keys.replace_pending(key, *id),
            Operation::Forget(key, id) => keys.release_try(key, *id),
            Operation::Started(key, id, until) => keys.start_run(key, *id, *until),
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

/// A table that keeps a tape, if it is asked to.
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
    /// A table that may take so many bytes; `on` has it keep a tape.
    pub fn new(max_bytes: usize, enabled: bool) -> JournaledKeyTable {
        JournaledKeyTable { keys: KeyTable::new(max_bytes), journal: enabled.then(Vec::new) }
    }

    /// What was asked since the last time.
    pub fn take_steps(&mut self) -> Vec<Step> {
        self.journal.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn record(&mut self, operation: impl FnOnce() -> Operation, result: Option<TryResult>) {
        if let Some(steps) = &mut self.journal {
            steps.push(Step { operation: operation(), result });
        }
    }

    /// [`Keys::arrived`].
    ///
    /// # Errors
    /// Those of the table.
    pub fn register_try(
        &mut self,
        key: &Key,
        digest: u64,
        id: RequestId,
        arrived: f64,
        held: impl Fn(RequestId) -> bool,
    ) -> TryResult {
        let was_held = std::cell::Cell::new(false);
        let asked = |id| {
            was_held.set(held(id));
            was_held.get()
        };
        let result = self.keys.register_try(key, digest, id, arrived, asked);
        let held = was_held.get();
        self.record(
            || Operation::Arrived { key: key.clone(), print: digest, id, now: arrived, held },
            Some(result),
        );
        result
    }

    /// [`Keys::hold`].
    pub fn replace_pending(&mut self, key: &Key, id: RequestId) {
        self.record(|| Operation::Hold(key.clone(), id), None);
        self.keys.replace_pending(key, id);
    }

    /// [`Keys::forget`].
    pub fn release_try(&mut self, key: &Key, id: RequestId) {
        self.record(|| Operation::Forget(key.clone(), id), None);
        self.keys.release_try(key, id);
    }

    /// [`Keys::started`].
    pub fn start_run(&mut self, key: &Key, id: RequestId, until: f64) {
        self.record(|| Operation::Started(key.clone(), id, until), None);
        self.keys.start_run(key, id, until);
    }

    /// [`Keys::ended`].
    pub fn end_run(&mut self, key: &Key, id: RequestId, result: Option<Rc<[u8]>>) {
        let bytes = result.as_ref().map(|result| result.len());
        self.record(|| Operation::Ended(key.clone(), id, bytes), None);
        self.keys.end_run(key, id, result);
    }

    /// [`Keys::never_ran`].
    pub fn never_ran(&mut self, key: &Key, id: RequestId) {
        self.record(|| Operation::NeverRan(key.clone(), id), None);
        self.keys.never_ran(key, id);
    }

    /// [`Keys::expire`]; on the tape only where something is over.
    pub fn expire(&mut self, now: f64) {
        if self.keys.has_expired(now) {
            self.record(|| Operation::Expire(now), None);
            self.keys.expire(now);
        }
    }

    /// [`Keys::adopt`].
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

    /// [`Keys::lengthen`].
    pub fn extend_windows(&mut self, by: f64, latest_end: f64) {
        self.record(|| Operation::Lengthen(by, latest_end), None);
        self.keys.extend_windows(by, latest_end);
    }

    /// [`Keys::fail_from`].
    pub fn fail_runs_from(&mut self, first: RequestId) -> Vec<Key> {
        self.record(|| Operation::FailFrom(first), None);
        self.keys.fail_runs_from(first)
    }
}

#[cfg(test)]
mod tests;
