//! The sending side of a capture, on the engine's thread: what is sent, when a snapshot is due, and how
//! dropped rounds are counted. It never blocks. If the receiver is slower than the sender, rounds are dropped
//! and counted, and the next thing sent after the count is a snapshot.

use crate::record::{AuxiliaryStates, Round};
use jaspershunt::{Action, Event};
use std::mem::size_of;

/// A message to the receiver. Messages are in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The number of rounds that could not be sent.
    Missed(u64),
    /// The decision state before the next round.
    Snapshot {
        /// The time of the module's clock, in seconds.
        now: f64,
        /// The state of the decision module.
        state: Vec<u8>,
        /// The state of the components beside it.
        auxiliary: Option<AuxiliaryStates>,
    },
    /// Auxiliary steps, encoded by [`AuxiliarySteps::encode`](crate::record::AuxiliarySteps::encode), since
    /// their keys and bodies are shared on the engine's thread and cannot be sent to another.
    AuxiliarySteps(Vec<u8>),
    /// A round of the decision module.
    Round(Round),
    /// Writes the kept blocks to a file, for this reason.
    WriteOut(Reason),
    /// Sets the maximum bytes of the ring.
    SetRingBytes(usize),
}

/// The reason for writing a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// An operator requested it.
    Asked,
    /// A guard prevented a rule violation.
    Guard,
    /// The share of refusals rose sharply.
    Refusals,
    /// All rounds are written, and enough blocks have been recorded for a file.
    Full,
    /// The nodo is shutting down.
    End,
}

impl Reason {
    /// Returns the name of the reason in file names.
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
    /// Estimates the memory of the message while it is queued. Does not count the contents of a round.
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

/// Decides at each round what is sent.
#[derive(Clone, Debug)]
pub struct Tap {
    every: f64,
    next_snapshot: f64,
    rounds: u64,
    missed: u64,
}

impl Tap {
    /// Creates a tap that sends a snapshot every `every` seconds of the module's clock.
    pub fn new(every: f64) -> Tap {
        Tap { every, next_snapshot: f64::NEG_INFINITY, rounds: 0, missed: 0 }
    }

    /// Starts a round at `now`. `hand_over` sends a message and returns false if there is no room; `state`
    /// saves the state. Returns whether the round may be sent once it is complete.
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
            // A round after a gap can only be replayed from a snapshot.
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

    /// Returns the number of the current round.
    pub fn number(&mut self) -> u64 {
        self.rounds += 1;
        self.rounds
    }

    /// Counts a round that was not sent.
    pub fn missed(&mut self) {
        self.missed += 1;
    }
}

/// Detects a sharp rise in the share of refused requests.
#[derive(Clone, Debug)]
pub struct RefusalSpikeDetector {
    /// The minimum refused share of one second's requests.
    min_share: f64,
    second: u64,
    arrived: f64,
    refused: f64,
    /// The smoothed share of the preceding seconds.
    smoothed_share: f64,
    quiet_until: f64,
}

/// Minimum refusals in a second, below which the share is not significant.
const MIN_REFUSALS: f64 = 20.0;
/// Seconds after a detection in which none follows, so that one overload writes one capture.
const QUIET_SECONDS: f64 = 60.0;
/// Weight of the newest second in the smoothed share, which averages over a few seconds.
const SMOOTHING: f64 = 0.2;

impl RefusalSpikeDetector {
    /// Creates a detector with the given minimum share.
    pub fn new(min_share: f64) -> RefusalSpikeDetector {
        RefusalSpikeDetector {
            min_share,
            second: 0,
            arrived: 0.0,
            refused: 0.0,
            smoothed_share: 0.0,
            quiet_until: f64::NEG_INFINITY,
        }
    }

    /// Counts a round. Returns true if the share of refusals reaches the minimum and is more than twice the
    /// smoothed share.
    pub fn round(&mut self, now: f64, events: &[Event], actions: &[Action]) -> bool {
        // The cast is exact for any realistic time; a negative time counts as 0.
        let second = now as u64;
        if second != self.second {
            let share = if self.arrived > 0.0 { self.refused / self.arrived } else { 0.0 };
            self.smoothed_share += SMOOTHING * (share - self.smoothed_share);
            (self.second, self.arrived, self.refused) = (second, 0.0, 0.0);
        }
        self.arrived += events.iter().filter(|event| matches!(event, Event::Arrived(_))).count() as f64;
        self.refused +=
            actions.iter().filter(|action| matches!(action, Action::Refuse { .. })).count() as f64;
        let share = self.refused / self.arrived.max(1.0);
        let spiked =
            self.refused >= MIN_REFUSALS && share >= self.min_share && share > 2.0 * self.smoothed_share;
        let detected = spiked && now >= self.quiet_until;
        if detected {
            self.quiet_until = now + QUIET_SECONDS;
        }
        detected
    }
}

#[cfg(test)]
mod tests;
