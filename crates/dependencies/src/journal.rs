//! [`Dependencies`] with a journal of its inputs and actions, for replays.
//!
//! The journal does not contain bodies: each is replaced by bytes of the same length derived from its
//! digest, since the decisions depend only on the lengths of bodies and on which of them are equal.

use crate::{Action, AttemptId, CallId, Dependencies, End, ParkingCapacity, Wanted};
use jaspershunt::Outcome;
use jaspershunt_operator::File;
use jaspershunt_operator::explain::explain;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

/// An input to [`Dependencies`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A call was requested: [`Dependencies::start_call`].
    Wanted(Wanted),
    /// An attempt ended: [`Dependencies::attempt_ended`].
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: Outcome,
        /// Its duration.
        took: Duration,
        /// The masked reply.
        body: Vec<u8>,
    },
    /// A call was cancelled: [`Dependencies::cancel_call`].
    Dropped(CallId),
    /// Time passed: [`Dependencies::tick`].
    Tick,
    /// The nodo began to drain: [`Dependencies::drain`].
    Leave,
    /// A new operator's file, in the form of [`explain`](jaspershunt_operator::explain).
    Reload(String),
}

/// One input with the actions that it caused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The time of the input.
    pub now: Duration,
    /// The input.
    pub input: Input,
    /// The actions, in order.
    pub actions: Vec<Action>,
}

/// Replaces a body by bytes of the same length that depend on its digest alone.
fn mask(body: &[u8]) -> Rc<[u8]> {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(body);
    let digest = hasher.finish().to_le_bytes();
    digest.iter().copied().cycle().take(body.len()).collect()
}

fn masked(action: &Action) -> Action {
    let end = |end: &End| match end {
        End::Reply { body, took } => End::Reply { body: mask(body).to_vec(), took: *took },
        End::Kept { body, since } => End::Kept { body: mask(body), since: *since },
        no_reply => no_reply.clone(),
    };
    match action {
        Action::End { call, end: how } => Action::End { call: *call, end: end(how) },
        other => other.clone(),
    }
}

impl Input {
    /// Applies the input and returns the resulting actions.
    pub fn apply(&self, dependencies: &mut Dependencies, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        match self {
            Input::Wanted(wanted) => dependencies.start_call(now, wanted.clone(), &mut out),
            Input::Ended { attempt, outcome, took, body } => {
                dependencies.attempt_ended(now, *attempt, *outcome, *took, body.clone(), &mut out);
            }
            Input::Dropped(call) => dependencies.cancel_call(now, *call, &mut out),
            Input::Tick => dependencies.tick(now, &mut out),
            Input::Leave => dependencies.drain(),
            // The text is the output of `explain`, which can always be read back.
            Input::Reload(text) => {
                if let Ok(file) = jaspershunt_operator::read("journal", text) {
                    dependencies.reload(now, &file, &mut out);
                }
            }
        }
        out
    }
}

/// [`Dependencies`] with an optional journal.
#[derive(Clone, Debug)]
pub struct JournaledDependencies {
    dependencies: Dependencies,
    journal: Option<Vec<Step>>,
}

impl Deref for JournaledDependencies {
    type Target = Dependencies;
    fn deref(&self) -> &Dependencies {
        &self.dependencies
    }
}

impl JournaledDependencies {
    /// Calls [`Dependencies::new`]; `enabled` turns the journal on.
    pub fn new<S: AsRef<str>>(
        file: &File,
        classes: &[S],
        capacity: ParkingCapacity,
        seed: u64,
        now: Duration,
        enabled: bool,
    ) -> JournaledDependencies {
        JournaledDependencies {
            dependencies: Dependencies::new(file, classes, capacity, seed, now),
            journal: enabled.then(Vec::new),
        }
    }

    /// Takes the steps recorded since the last call.
    pub fn take_steps(&mut self) -> Vec<Step> {
        self.journal.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Returns the state without bodies, for a snapshot.
    pub fn masked(&self) -> Dependencies {
        self.dependencies.masked(mask)
    }

    /// Applies an input and records it with its actions.
    fn record(
        &mut self,
        now: Duration,
        input: impl FnOnce() -> Input,
        out: &mut Vec<Action>,
        decide: impl FnOnce(&mut Dependencies, &mut Vec<Action>),
    ) {
        let Some(steps) = &mut self.journal else { return decide(&mut self.dependencies, out) };
        let (input, from) = (input(), out.len());
        decide(&mut self.dependencies, out);
        steps.push(Step { now, input, actions: out[from..].iter().map(masked).collect() });
    }

    /// Records and calls [`Dependencies::start_call`].
    pub fn start_call(&mut self, now: Duration, wanted: Wanted, out: &mut Vec<Action>) {
        let recorded = wanted.clone();
        let input = || Input::Wanted(Wanted { body: mask(&recorded.body), ..recorded.clone() });
        self.record(now, input, out, |dependencies, out| dependencies.start_call(now, wanted, out));
    }

    /// Records and calls [`Dependencies::attempt_ended`].
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: Outcome,
        took: Duration,
        body: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        let masked_body = if self.journal.is_some() { mask(&body).to_vec() } else { Vec::new() };
        let input = || Input::Ended { attempt, outcome, took, body: masked_body };
        self.record(now, input, out, |dependencies, out| {
            dependencies.attempt_ended(now, attempt, outcome, took, body, out)
        });
    }

    /// Records and calls [`Dependencies::cancel_call`].
    pub fn cancel_call(&mut self, now: Duration, id: CallId, out: &mut Vec<Action>) {
        self.record(
            now,
            || Input::Dropped(id),
            out,
            |dependencies, out| dependencies.cancel_call(now, id, out),
        );
    }

    /// Records and calls [`Dependencies::tick`].
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.record(now, || Input::Tick, out, |dependencies, out| dependencies.tick(now, out));
    }

    /// Records and calls [`Dependencies::drain`].
    pub fn drain(&mut self, now: Duration) {
        self.record(now, || Input::Leave, &mut Vec::new(), |dependencies, _| dependencies.drain());
    }

    /// Records and calls [`Dependencies::reload`].
    pub fn reload(&mut self, now: Duration, file: &File, out: &mut Vec<Action>) {
        let input = || Input::Reload(explain(file));
        self.record(now, input, out, |dependencies, out| dependencies.reload(now, file, out));
    }
}
