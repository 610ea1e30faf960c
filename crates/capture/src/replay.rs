//! Runs the present decision code against what was told, and stops at the first decision that differs.

use crate::reader::Part;
use crate::record::{Record, Round, SideStates, Sides};
use jaspershunt::{Action, Controller};
use jaspershunt_dependencies::Dependencies;
use jaspershunt_keys::KeyTable;
use std::fmt;

/// Rounds that are shown before one that differs.
const SHOWN_BEFORE: usize = 3;

/// What a replay came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replayed {
    /// Rounds whose decisions are the same, bit for bit.
    pub same: u64,
    /// Rounds that could not be replayed: no snapshot stands before them in an unbroken row.
    pub skipped: u64,
    /// Rounds that the capture says it does not have.
    pub missing: u64,
    /// Steps beside the module, of keys and of dependencies, that are the same.
    pub same_beside: u64,
    /// Snapshots from which a replay began, or which a replay reached and found the same.
    pub snapshots: u64,
    /// Places that are torn or spoilt.
    pub spoilt: Vec<String>,
    /// The first difference, if there is one.
    pub differs: Option<Difference>,
    /// The first step beside the module that differs.
    pub differs_beside: Option<String>,
}

/// A decision that differs.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The round as it was captured.
    pub round: Round,
    /// What the present code asks for.
    pub now_asks: Vec<Action>,
    /// The first place at which the two lists part.
    pub place: usize,
    /// The rounds before it, the last one last.
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
            self.place + 1
        )?;
        writeln!(f, "  told:     {:?}", self.round.events)?;
        writeln!(f, "  captured: {:?}", self.round.actions.get(self.place))?;
        write!(f, "  now:      {:?}", self.now_asks.get(self.place))
    }
}

/// The bits of a list of actions: what looks the same and is not, such as two zeros, differs here.
fn bits(actions: &[Action]) -> Vec<u8> {
    postcard::to_stdvec(actions).unwrap_or_default()
}

/// A replay under way.
#[derive(Default)]
pub struct Replay {
    module: Option<Controller>,
    keys: Option<KeyTable>,
    below: Option<Dependencies>,
    before: Vec<Round>,
    so_far: Replayed,
    last_block: Option<u64>,
}

impl Replay {
    /// Nothing is replayed yet.
    pub fn new() -> Replay {
        Replay::default()
    }

    /// Takes the next part of a capture. After a difference nothing more is replayed.
    pub fn take(&mut self, part: &Part) {
        match part {
            Part::Spoilt { offset, length, why } => {
                self.so_far.spoilt.push(format!("{length} bytes at {offset}: {why}"));
                self.lose();
            }
            Part::Block { head, records, .. } => {
                // A block that is missing as a whole breaks the row as a spoilt one does.
                if self.last_block.is_some_and(|last| last + 1 != head.number) {
                    self.lose();
                }
                self.last_block = Some(head.number);
                for record in records {
                    if self.so_far.differs.is_none() && self.so_far.differs_beside.is_none() {
                        self.record(record);
                    }
                }
            }
        }
    }

    fn record(&mut self, record: &Record) {
        match record {
            Record::Head(_) => {}
            Record::Gap { rounds } => {
                self.so_far.missing += rounds;
                self.lose();
            }
            Record::Snapshot(state) => match Controller::load(state) {
                Ok(loaded) => {
                    // A replay that goes on from before must have come to the very same state.
                    let reached = self.module.as_ref().is_none_or(|module| module.save() == *state);
                    if reached {
                        self.so_far.snapshots += 1;
                    } else {
                        self.so_far.spoilt.push("the state replayed is not that of the snapshot".to_string());
                    }
                    self.module = Some(loaded);
                }
                Err(e) => {
                    self.so_far.spoilt.push(format!("a snapshot cannot be loaded: {e}"));
                    self.module = None;
                }
            },
            Record::SideStates(states) => self.side_states(states),
            Record::Sides(sides) => self.sides(sides),
            Record::Round(round) => self.round(round),
        }
    }

    /// What comes next stands on nothing.
    fn lose(&mut self) {
        (self.module, self.keys, self.below) = (None, None, None);
    }

    fn side_states(&mut self, states: &SideStates) {
        // A replay that goes on from before must have come to the very same states.
        if let Some(keys) = &self.keys {
            let reached = SideStates::of(keys, self.below.as_ref());
            if reached != *states {
                let what = if reached.keys == states.keys { "dependencies" } else { "keys" };
                self.so_far.spoilt.push(format!("the state of {what} replayed is not that of the snapshot"));
            }
        }
        (self.keys, self.below) = states.load();
    }

    fn sides(&mut self, sides: &Sides) {
        for step in &sides.keys {
            let Some(keys) = &mut self.keys else { break };
            let came = step.operation.apply(keys);
            if came != step.result {
                self.so_far
                    .differs_beside
                    .get_or_insert(format!("{:?}: captured {:?}, now {came:?}", step.operation, step.result));
                return;
            }
            self.so_far.same_beside += 1;
        }
        for step in &sides.below {
            let Some(below) = &mut self.below else { break };
            let asks = step.input.apply(below, step.now);
            if asks != step.actions {
                let what = format!("{:?}: captured {:?}, now {asks:?}", step.input, step.actions);
                self.so_far.differs_beside.get_or_insert(what);
                return;
            }
            self.so_far.same_beside += 1;
        }
    }

    fn round(&mut self, round: &Round) {
        let Some(module) = &mut self.module else {
            self.so_far.skipped += 1;
            return;
        };
        let mut actions = Vec::new();
        module.step(round.now, &round.events, &mut actions);
        if bits(&actions) == bits(&round.actions) {
            self.so_far.same += 1;
        } else {
            let differs = |place: &usize| {
                let one = |list: &[Action]| list.get(*place).map(|action| bits(std::slice::from_ref(action)));
                one(&actions) != one(&round.actions)
            };
            let place = (0..actions.len().max(round.actions.len())).find(differs).unwrap_or(0);
            let before = std::mem::take(&mut self.before);
            self.so_far.differs = Some(Difference { round: round.clone(), now_asks: actions, place, before });
        }
        self.before.push(round.clone());
        if self.before.len() > SHOWN_BEFORE {
            self.before.remove(0);
        }
    }

    /// What it came to.
    pub fn end(self) -> Replayed {
        self.so_far
    }
}

/// Replays a whole capture.
pub fn replay<'a>(parts: impl IntoIterator<Item = &'a Part>) -> Replayed {
    let mut replay = Replay::new();
    for part in parts {
        replay.take(part);
    }
    replay.end()
}
