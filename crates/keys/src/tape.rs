//! The table with a tape: what was asked of it, so that a replay can ask the same. Keys are on it, results are not: their
//! lengths are, since room depends on them.

use crate::{Key, Keys, NotTaken, Run};
use jaspershunt::RequestId;
use serde::{Deserialize, Serialize};
use std::ops::Deref;
use std::rc::Rc;

/// Something that was asked of the table and may have changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
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
        run: Option<Became>,
    },
    /// Runs of tries from this id on are over, and nobody knows how.
    FailFrom(RequestId),
    /// Windows are longer by so many seconds, and end at this time at the latest.
    Lengthen(f64, f64),
}

/// What became of a key of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Became {
    /// It is not over.
    Running,
    /// It ended with so many bytes.
    Done(usize),
    /// It failed.
    Failed,
}

/// What came of an arrival.
pub type Came = Result<Option<RequestId>, NotTaken>;

/// One call, and what came of it where that is a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// What was asked.
    pub call: Call,
    /// What came of an arrival.
    pub came: Option<Came>,
}

/// A result of so many bytes, of which nothing else is known.
fn blank(bytes: usize) -> Rc<[u8]> {
    vec![0; bytes].into()
}

impl Call {
    /// The key that it is about.
    pub fn key_mut(&mut self) -> Option<&mut Key> {
        match self {
            Call::Arrived { key, .. }
            | Call::Hold(key, _)
            | Call::Forget(key, _)
            | Call::Started(key, ..)
            | Call::Ended(key, ..)
            | Call::NeverRan(key, _)
            | Call::Adopt { key, .. } => Some(key),
            Call::Expire(_) | Call::FailFrom(_) | Call::Lengthen(..) => None,
        }
    }

    /// Asks the same of a table.
    pub fn apply(&self, keys: &mut Keys) -> Option<Came> {
        match self {
            Call::Arrived { key, print, id, now, held } => {
                return Some(keys.arrived(key, *print, *id, *now, |_| *held));
            }
            Call::Hold(key, id) => keys.hold(key, *id),
            Call::Forget(key, id) => keys.forget(key, *id),
            Call::Started(key, id, until) => keys.started(key, *id, *until),
            Call::Ended(key, id, result) => keys.ended(key, *id, result.map(blank)),
            Call::NeverRan(key, id) => keys.never_ran(key, *id),
            Call::Expire(now) => keys.expire(*now),
            Call::Adopt { key, print, id, until, run } => {
                let run = run.map(|run| match run {
                    Became::Running => Run::Running,
                    Became::Done(bytes) => Run::Done(blank(bytes)),
                    Became::Failed => Run::Failed,
                });
                keys.adopt(key, *print, *id, *until, run);
            }
            Call::FailFrom(first) => drop(keys.fail_from(*first)),
            Call::Lengthen(by, most) => keys.lengthen(*by, *most),
        }
        None
    }
}

/// A table that keeps a tape, if it is asked to.
#[derive(Debug)]
pub struct Taped {
    keys: Keys,
    tape: Option<Vec<Step>>,
}

impl Deref for Taped {
    type Target = Keys;
    fn deref(&self) -> &Keys {
        &self.keys
    }
}

impl Taped {
    /// A table that may take so many bytes; `on` has it keep a tape.
    pub fn new(most: usize, on: bool) -> Taped {
        Taped { keys: Keys::new(most), tape: on.then(Vec::new) }
    }

    /// What was asked since the last time.
    pub fn take_tape(&mut self) -> Vec<Step> {
        self.tape.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn note(&mut self, call: impl FnOnce() -> Call, came: Option<Came>) {
        if let Some(tape) = &mut self.tape {
            tape.push(Step { call: call(), came });
        }
    }

    /// [`Keys::arrived`].
    ///
    /// # Errors
    /// Those of the table.
    pub fn arrived(
        &mut self,
        key: &Key,
        print: u64,
        id: RequestId,
        arrived: f64,
        held: impl Fn(RequestId) -> bool,
    ) -> Came {
        let was_held = std::cell::Cell::new(false);
        let asked = |id| {
            was_held.set(held(id));
            was_held.get()
        };
        let came = self.keys.arrived(key, print, id, arrived, asked);
        let held = was_held.get();
        self.note(|| Call::Arrived { key: key.clone(), print, id, now: arrived, held }, Some(came));
        came
    }

    /// [`Keys::hold`].
    pub fn hold(&mut self, key: &Key, id: RequestId) {
        self.note(|| Call::Hold(key.clone(), id), None);
        self.keys.hold(key, id);
    }

    /// [`Keys::forget`].
    pub fn forget(&mut self, key: &Key, id: RequestId) {
        self.note(|| Call::Forget(key.clone(), id), None);
        self.keys.forget(key, id);
    }

    /// [`Keys::started`].
    pub fn started(&mut self, key: &Key, id: RequestId, until: f64) {
        self.note(|| Call::Started(key.clone(), id, until), None);
        self.keys.started(key, id, until);
    }

    /// [`Keys::ended`].
    pub fn ended(&mut self, key: &Key, id: RequestId, result: Option<Rc<[u8]>>) {
        let bytes = result.as_ref().map(|result| result.len());
        self.note(|| Call::Ended(key.clone(), id, bytes), None);
        self.keys.ended(key, id, result);
    }

    /// [`Keys::never_ran`].
    pub fn never_ran(&mut self, key: &Key, id: RequestId) {
        self.note(|| Call::NeverRan(key.clone(), id), None);
        self.keys.never_ran(key, id);
    }

    /// [`Keys::expire`]; on the tape only where something is over.
    pub fn expire(&mut self, now: f64) {
        if self.keys.has_ended(now) {
            self.note(|| Call::Expire(now), None);
            self.keys.expire(now);
        }
    }

    /// [`Keys::adopt`].
    pub fn adopt(&mut self, key: &Key, print: u64, id: RequestId, until: f64, run: Option<Run>) -> bool {
        let became = run.as_ref().map(|run| match run {
            Run::Running => Became::Running,
            Run::Done(result) => Became::Done(result.len()),
            Run::Failed => Became::Failed,
        });
        self.note(|| Call::Adopt { key: key.clone(), print, id, until, run: became }, None);
        self.keys.adopt(key, print, id, until, run)
    }

    /// [`Keys::lengthen`].
    pub fn lengthen(&mut self, by: f64, most: f64) {
        self.note(|| Call::Lengthen(by, most), None);
        self.keys.lengthen(by, most);
    }

    /// [`Keys::fail_from`].
    pub fn fail_from(&mut self, first: RequestId) -> Vec<Key> {
        self.note(|| Call::FailFrom(first), None);
        self.keys.fail_from(first)
    }
}

#[cfg(test)]
mod tests;
