//! The owner of the decisions with a tape: what it was told and what it asked for, so that a replay can tell it the same.
//! What bodies say is not on it: each stands as bytes of the same length that are made of its print, since what decides is
//! whether two are the same, and how long they are.

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

/// Something that was told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// A call is wanted.
    Wanted(Wanted),
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        outcome: Outcome,
        /// After this time.
        took: Duration,
        /// The reply.
        body: Vec<u8>,
    },
    /// Nobody waits for a call any more.
    Dropped(CallId),
    /// Time has passed.
    Tick,
    /// The nodo leaves.
    Leave,
    /// Another file, as [`explain`](jaspershunt_operator::explain) writes it.
    Reload(String),
}

/// One thing that was told, and what was asked for in turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The time.
    pub now: Duration,
    /// What was told.
    pub input: Input,
    /// What was asked for.
    pub actions: Vec<Action>,
}

/// Bytes of the same length that say nothing but whether two bodies are the same.
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
    /// Tells the same; returns what is asked for.
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
            // What was written out can be read again.
            Input::Reload(text) => {
                if let Ok(file) = jaspershunt_operator::read("journal", text) {
                    dependencies.reload(now, &file, &mut out);
                }
            }
        }
        out
    }
}

/// The owner of the decisions, with a tape if it is asked for one.
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
    /// [`Dependencies::new`]; `on` has it keep a tape.
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

    /// What was told since the last time.
    pub fn take_steps(&mut self) -> Vec<Step> {
        self.journal.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// The state as it may be saved: with no body in it.
    pub fn masked(&self) -> Dependencies {
        self.dependencies.masked(mask)
    }

    /// Has something told, and puts it on the tape with all that is asked for.
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

    /// [`Dependencies::wanted`].
    pub fn start_call(&mut self, now: Duration, wanted: Wanted, out: &mut Vec<Action>) {
        let recorded = wanted.clone();
        let input = || Input::Wanted(Wanted { body: mask(&recorded.body), ..recorded.clone() });
        self.record(now, input, out, |dependencies, out| dependencies.start_call(now, wanted, out));
    }

    /// [`Dependencies::ended`].
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

    /// [`Dependencies::dropped`].
    pub fn cancel_call(&mut self, now: Duration, id: CallId, out: &mut Vec<Action>) {
        self.record(
            now,
            || Input::Dropped(id),
            out,
            |dependencies, out| dependencies.cancel_call(now, id, out),
        );
    }

    /// [`Dependencies::tick`].
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.record(now, || Input::Tick, out, |dependencies, out| dependencies.tick(now, out));
    }

    /// [`Dependencies::leave`].
    pub fn drain(&mut self, now: Duration) {
        self.record(now, || Input::Leave, &mut Vec::new(), |dependencies, _| dependencies.drain());
    }

    /// [`Dependencies::reload`].
    pub fn reload(&mut self, now: Duration, file: &File, out: &mut Vec<Action>) {
        let input = || Input::Reload(explain(file));
        self.record(now, input, out, |dependencies, out| dependencies.reload(now, file, out));
    }
}
