//! Replays recorded events through the current decision code and stops at the first decision that differs.

use crate::reader::Part;
use crate::record::{AuxiliaryStates, AuxiliarySteps, Record, Round};
use jaspershunt::{Action, Controller};
use jaspershunt_dependencies::Dependencies;
use jaspershunt_keys::KeyTable;
use std::fmt;

/// Number of rounds shown before one that differs.
const CONTEXT_ROUNDS: usize = 3;

/// The result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayReport {
    /// Rounds whose actions are identical, bit for bit.
    pub same: u64,
    /// Rounds that could not be replayed, since no snapshot precedes them without a gap.
    pub skipped: u64,
    /// Rounds that the capture records as dropped.
    pub missing: u64,
    /// Steps of the key table and the dependency decisions whose results are identical.
    pub same_auxiliary_steps: u64,
    /// Snapshots from which the replay started, or that match the replayed state.
    pub snapshots: u64,
    /// Corrupt parts, and snapshots that cannot be loaded or do not match the replayed state.
    pub corrupt: Vec<String>,
    /// The first round whose actions differ.
    pub difference: Option<Difference>,
    /// The first auxiliary step whose result differs.
    pub auxiliary_difference: Option<String>,
}

/// A round whose actions differ.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The captured round.
    pub round: Round,
    /// The actions of the current code.
    pub replayed_actions: Vec<Action>,
    /// The first index at which the two lists differ.
    pub index: usize,
    /// The preceding rounds, oldest first.
    pub before: Vec<Round>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for round in &self.before {
            writeln!(
                f,
                "  round {} at {:.6}: {:?} -> {:?}",
                round.number, round.now, round.events, round.actions
            )?;
        }
        writeln!(
            f,
            "round {} at {:.6} differs at action {}:",
            self.round.number,
            self.round.now,
            self.index + 1
        )?;
        writeln!(f, "  events:   {:?}", self.round.events)?;
        writeln!(f, "  captured: {:?}", self.round.actions.get(self.index))?;
        write!(f, "  now:      {:?}", self.replayed_actions.get(self.index))
    }
}

/// Encodes actions for comparison: equal values with different bits, such as 0.0 and -0.0, differ.
fn bits(actions: &[Action]) -> Vec<u8> {
    postcard::to_stdvec(actions).unwrap_or_default()
}

/// A replay in progress.
#[derive(Default)]
pub struct Replay {
    module: Option<Controller>,
    keys: Option<KeyTable>,
    dependencies: Option<Dependencies>,
    before: Vec<Round>,
    report: ReplayReport,
    last_block: Option<u64>,
}

impl Replay {
    /// Creates a replay that has processed no parts.
    pub fn new() -> Replay {
        Replay::default()
    }

    /// Processes the next part of a capture. Nothing is replayed after a difference.
    pub fn take(&mut self, part: &Part) {
        match part {
            Part::Corrupt { offset, length, error } => {
                self.report.corrupt.push(format!("{length} bytes at {offset}: {error}"));
                self.discard_state();
            }
            Part::Block { header, records, .. } => {
                // A missing block invalidates the replayed state as a corrupt one does.
                if self.last_block.is_some_and(|last| last + 1 != header.number) {
                    self.discard_state();
                }
                self.last_block = Some(header.number);
                for record in records {
                    if self.report.difference.is_none() && self.report.auxiliary_difference.is_none() {
                        self.record(record);
                    }
                }
            }
        }
    }

    fn record(&mut self, record: &Record) {
        match record {
            Record::Header(_) => {}
            Record::Gap { rounds } => {
                self.report.missing += rounds;
                self.discard_state();
            }
            Record::Snapshot(state) => match Controller::load(state) {
                Ok(loaded) => {
                    // A replay that continues from an earlier snapshot must have reached the same state.
                    let reached = self.module.as_ref().is_none_or(|module| module.save() == *state);
                    if reached {
                        self.report.snapshots += 1;
                    } else {
                        self.report
                            .corrupt
                            .push("the replayed state does not match the snapshot".to_string());
                    }
                    self.module = Some(loaded);
                }
                Err(e) => {
                    self.report.corrupt.push(format!("a snapshot cannot be loaded: {e}"));
                    self.module = None;
                }
            },
            Record::AuxiliaryStates(states) => self.auxiliary_states(states),
            Record::AuxiliarySteps(steps) => self.auxiliary_steps(steps),
            Record::Round(round) => self.round(round),
        }
    }

    /// Discards all state, after which rounds are skipped up to the next snapshot.
    fn discard_state(&mut self) {
        (self.module, self.keys, self.dependencies) = (None, None, None);
    }

    fn auxiliary_states(&mut self, states: &AuxiliaryStates) {
        // A replay that continues from an earlier snapshot must have reached the same states.
        if let Some(keys) = &self.keys {
            let reached = AuxiliaryStates::of(keys, self.dependencies.as_ref());
            if reached != *states {
                let what = if reached.keys == states.keys { "dependencies" } else { "keys" };
                self.report.corrupt.push(format!("the replayed state of {what} does not match the snapshot"));
            }
        }
        (self.keys, self.dependencies) = states.load();
    }

    fn auxiliary_steps(&mut self, steps: &AuxiliarySteps) {
        for step in &steps.keys {
            let Some(keys) = &mut self.keys else { break };
            let came = step.operation.apply(keys);
            if came != step.result {
                self.report
                    .auxiliary_difference
                    .get_or_insert(format!("{:?}: captured {:?}, now {came:?}", step.operation, step.result));
                return;
            }
            self.report.same_auxiliary_steps += 1;
        }
        for step in &steps.dependencies {
            let Some(dependencies) = &mut self.dependencies else { break };
            let asks = step.input.apply(dependencies, step.now);
            if asks != step.actions {
                let what = format!("{:?}: captured {:?}, now {asks:?}", step.input, step.actions);
                self.report.auxiliary_difference.get_or_insert(what);
                return;
            }
            self.report.same_auxiliary_steps += 1;
        }
    }

    fn round(&mut self, round: &Round) {
        let Some(module) = &mut self.module else {
            self.report.skipped += 1;
            return;
        };
        let mut actions = Vec::new();
        module.step(round.now, &round.events, &mut actions);
        if bits(&actions) == bits(&round.actions) {
            self.report.same += 1;
        } else {
            let differs = |index: &usize| {
                let one = |list: &[Action]| list.get(*index).map(|action| bits(std::slice::from_ref(action)));
                one(&actions) != one(&round.actions)
            };
            let index = (0..actions.len().max(round.actions.len())).find(differs).unwrap_or(0);
            let before = std::mem::take(&mut self.before);
            self.report.difference =
                Some(Difference { round: round.clone(), replayed_actions: actions, index, before });
        }
        self.before.push(round.clone());
        if self.before.len() > CONTEXT_ROUNDS {
            self.before.remove(0);
        }
    }

    /// Returns the result.
    pub fn end(self) -> ReplayReport {
        self.report
    }
}

/// Replays a whole capture.
pub fn replay<'a>(parts: impl IntoIterator<Item = &'a Part>) -> ReplayReport {
    let mut replay = Replay::new();
    for part in parts {
        replay.take(part);
    }
    replay.end()
}
