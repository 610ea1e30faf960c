//! The side of a capture on which decisions are made: what is handed over, when the state goes along, and what becomes of
//! what cannot be handed over. It never waits: what takes records may be slower than what makes them, and then rounds are
//! missing, which the capture says, and the next thing in it is the state.

use crate::record::{AuxiliaryStates, Round};
use jaspershunt::{Action, Event};
use std::mem::size_of;

/// What is handed over, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Rounds that could not be handed over.
    Missed(u64),
    /// The decision state before the next round, at this time of the module's clock.
    Snapshot {
        /// The time.
        now: f64,
        /// The module's state.
        state: Vec<u8>,
        /// The state beside it.
        auxiliary: Option<AuxiliaryStates>,
    },
    /// What was asked beside the module, as [`AuxiliarySteps::encode`](crate::record::AuxiliarySteps::encode) has it: keys and bodies are shared on the engine's thread, and
    /// cannot leave it as they are.
    AuxiliarySteps(Vec<u8>),
    /// A round.
    Round(Round),
    /// Write out what is kept, for this reason.
    WriteOut(Reason),
    /// Keep at most so many bytes from now on.
    SetRingBytes(usize),
}

/// Why what is kept was written out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Somebody asked.
    Asked,
    /// A guard kept a rule from being broken.
    Guard,
    /// Far more than before is turned away.
    Refusals,
    /// All is recorded, and as much has come as is kept.
    Full,
    /// The nodo ends.
    End,
}

impl Reason {
    /// As it stands in the name of a file.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Asked => "asked",
            Reason::Guard => "guard",
            Reason::Refusals => "refusals",
            Reason::Full => "full",
            Reason::End => "end",
        }
    }
}

impl Message {
    /// The memory that it takes while it waits, about; never less than it does but for names.
    pub fn memory_bytes(&self) -> usize {
        match self {
            Message::Snapshot { state, auxiliary, .. } => {
                let auxiliary =
                    auxiliary.as_ref().map_or(0, |states| states.keys.len() + states.dependencies.len());
                size_of::<Message>() + state.len() + auxiliary
            }
            Message::AuxiliarySteps(bytes) => size_of::<Message>() + bytes.len(),
            _ => size_of::<Message>(),
        }
    }
}

/// What is decided at each round.
#[derive(Clone, Debug)]
pub struct Tap {
    every: f64,
    next_snapshot: f64,
    rounds: u64,
    missed: u64,
}

impl Tap {
    /// Nothing was handed over yet; the state goes along each so many seconds of the module's clock.
    pub fn new(every: f64) -> Tap {
        Tap { every, next_snapshot: f64::NEG_INFINITY, rounds: 0, missed: 0 }
    }

    /// A round begins at this time; `hand_over` takes a piece or says that there is no room, and `state` saves the state.
    /// Returns whether the round may be handed over when it is made.
    pub fn begin(
        &mut self,
        now: f64,
        state: impl FnOnce() -> (Vec<u8>, Option<AuxiliaryStates>),
        mut hand_over: impl FnMut(Message) -> bool,
    ) -> bool {
        if self.missed > 0 {
            if !hand_over(Message::Missed(self.missed)) {
                return false;
            }
            // What comes next stands on the state alone.
            self.missed = 0;
            self.next_snapshot = f64::NEG_INFINITY;
        }
        if now >= self.next_snapshot {
            let (state, auxiliary) = state();
            if !hand_over(Message::Snapshot { now, state, auxiliary }) {
                return false;
            }
            self.next_snapshot = now + self.every;
        }
        true
    }

    /// The number of the round that is made.
    pub fn number(&mut self) -> u64 {
        self.rounds += 1;
        self.rounds
    }

    /// A round was not handed over.
    pub fn missed(&mut self) {
        self.missed += 1;
    }
}

/// Notices when far more is turned away than before.
#[derive(Clone, Debug)]
pub struct RefusalSpikeDetector {
    /// The share of a second's requests that has to be turned away.
    share: f64,
    second: u64,
    arrived: f64,
    refused: f64,
    /// The smoothed share of the seconds before.
    before: f64,
    quiet_until: f64,
}

/// Refusals in a second that say nothing yet. Ours.
const MIN_REFUSALS: f64 = 20.0;
/// Seconds after a jump in which none is noticed: one bad minute makes one capture. Ours.
const QUIET_SECONDS: f64 = 60.0;
/// The part of the newest second in the share of those before. Ours: some seconds' memory.
const SMOOTHING: f64 = 0.2;

impl RefusalSpikeDetector {
    /// Nothing was seen yet.
    pub fn new(share: f64) -> RefusalSpikeDetector {
        RefusalSpikeDetector {
            share,
            second: 0,
            arrived: 0.0,
            refused: 0.0,
            before: 0.0,
            quiet_until: f64::NEG_INFINITY,
        }
    }

    /// A round was made; whether refusals have jumped by it: the share is reached, and it is twice that of before.
    pub fn round(&mut self, now: f64, events: &[Event], actions: &[Action]) -> bool {
        // The cast is exact for any time that a clock shows; one below 0 counts as 0.
        let second = now as u64;
        if second != self.second {
            let share = if self.arrived > 0.0 { self.refused / self.arrived } else { 0.0 };
            self.before += SMOOTHING * (share - self.before);
            (self.second, self.arrived, self.refused) = (second, 0.0, 0.0);
        }
        self.arrived += events.iter().filter(|event| matches!(event, Event::Arrived(_))).count() as f64;
        self.refused +=
            actions.iter().filter(|action| matches!(action, Action::Refuse { .. })).count() as f64;
        let share = self.refused / self.arrived.max(1.0);
        let jumped = self.refused >= MIN_REFUSALS && share >= self.share && share > 2.0 * self.before;
        let told = jumped && now >= self.quiet_until;
        if told {
            self.quiet_until = now + QUIET_SECONDS;
        }
        told
    }
}

#[cfg(test)]
mod tests;
