//! The learned limit: how many calls a dependency can have in hand before they only wait there.
//!
//! It is TCP Vegas (Brakmo, O'Malley and Peterson 1994) on calls in place of segments: what a call takes beyond the
//! least it ever took is time spent waiting, so `in hand × (1 − least / mean)` calls wait below. While few do, the limit
//! grows; once more do than are needed to keep the dependency busy, it shrinks. A call that was turned away or given up
//! cuts it at once, as a lost segment would. Two things differ: the thresholds are shares of the limit, since a
//! dependency with 4 slots and one with 40 must both settle near their slots; and the least is measured anew every so
//! many rounds, at half the limit, as BBR does (Cardwell and others 2016): a dependency that has become slower for good
//! is not one that is crowded, and a least that was simply forgotten would be learned from a crowd.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Samples that a round has at least, so that its mean says something.
const LEAST_ROUND: usize = 16;
/// The limit grows while fewer than this share of it wait below, and a third of a call. Ours: the mean of a round strays
/// by a few hundredths, and more than that must not look like waiting.
const FEW_WAIT: f64 = 0.05;
const FEW_MORE: f64 = 0.3;
/// It shrinks once more than this share of it wait below, and two thirds of a call.
const MANY_WAIT: f64 = 0.15;
const MANY_MORE: f64 = 0.7;
/// What is left of the limit by a call that was turned away or given up.
const CUT: f64 = 0.7;
/// Each round at the beginning, until the first sign of waiting, multiplies it by this.
const SLOW_START: f64 = 1.5;
/// Rounds after which the least is measured anew, and the share of the limit that one round has for it. Ours: with
/// rounds of some 16 to 100 calls a matter of seconds to minutes, and less than a hundredth of the calls.
const EPOCH: u32 = 64;
const PROBE: f64 = 0.5;
/// Only a limit of which this share was used can be said to be too low.
const USED: f64 = 0.75;

/// What a dependency can take, as it was learned so far.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Learned {
    start: f64,
    least: f64,
    most: f64,
    limit: f64,
    /// Nothing has shown yet that calls wait below.
    starting: bool,
    /// The least mean of a round.
    base: Option<f64>,
    rounds: u32,
    /// The limit to go back to, while the least is measured anew.
    probing: Option<f64>,
    /// The round: samples, their sum, the most in hand.
    samples: usize,
    sum: f64,
    in_hand: usize,
    /// A cut was made in this round already.
    cut: bool,
}

impl Learned {
    /// A limit that begins at `start` and stays from `least` to `most`.
    pub fn new(start: usize, least: usize, most: usize) -> Learned {
        let (least, most) = (least.min(most) as f64, most as f64);
        let start = (start as f64).clamp(least, most);
        Learned {
            start,
            least,
            most,
            limit: start,
            starting: true,
            base: None,
            rounds: 0,
            probing: None,
            samples: 0,
            sum: 0.0,
            in_hand: 0,
            cut: false,
        }
    }

    /// Calls that may be in hand.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Moves the bounds; what was learned stays as far as it fits.
    pub fn bound(&mut self, start: usize, least: usize, most: usize) {
        (self.least, self.most) = (least.min(most) as f64, most as f64);
        self.start = (start as f64).clamp(self.least, self.most);
        self.limit = self.limit.clamp(self.least, self.most);
        self.probing = self.probing.map(|limit| limit.clamp(self.least, self.most));
    }

    /// Begins anew, as after an outage: what was in hand before it would come down on a dependency that has just got
    /// up again. What calls take at the least stays known.
    pub fn restart(&mut self) {
        (self.limit, self.probing) = (self.start, None);
        self.starting = true;
        self.begin_round();
    }

    /// A call came back by itself, whatever with, after this time; so many were in hand when it was made.
    pub fn came_back(&mut self, took: Duration, in_hand: usize) {
        // What was made beside more than the round allows does not tell what a call takes alone.
        if self.probing.is_some() && in_hand > self.limit() {
            return;
        }
        self.samples += 1;
        self.sum += took.as_secs_f64();
        self.in_hand = self.in_hand.max(in_hand);
        if self.samples >= LEAST_ROUND.max(self.limit as usize) {
            self.end_round();
        }
    }

    /// A call was turned away or given up.
    pub fn dropped(&mut self) {
        if !self.cut {
            self.cut = true;
            self.starting = false;
            self.limit = self.probing.take().unwrap_or(self.limit);
            self.limit = (self.limit * CUT).max(self.least);
        }
        // Guards against a limit that stays cut off from its next round when nothing comes back by itself.
        self.samples += 1;
        self.sum += self.base.unwrap_or(0.0);
        if self.samples >= LEAST_ROUND.max(self.limit as usize) {
            self.begin_round();
        }
    }

    fn end_round(&mut self) {
        let mean = self.sum / self.samples as f64;
        if let Some(limit) = self.probing.take() {
            (self.base, self.limit, self.rounds) = (Some(mean), limit, 0);
            return self.begin_round();
        }
        let base = self.base.map_or(mean, |base| base.min(mean));
        self.base = Some(base);
        self.rounds += 1;
        let used = (self.in_hand as f64).min(self.limit);
        let waiting = if mean > 0.0 { used * (1.0 - base / mean) } else { 0.0 };
        if self.cut {
            // One cut a round is enough; what the round measured was measured before it in part.
        } else if waiting > self.limit * MANY_WAIT + MANY_MORE {
            self.starting = false;
            self.limit =
                (self.limit - (waiting - self.limit * MANY_WAIT).min(self.limit * 0.2)).max(self.least);
        } else if waiting < self.limit * FEW_WAIT + FEW_MORE && used >= self.limit.floor() * USED {
            let more = if self.starting { self.limit * SLOW_START } else { self.limit + 1.0 };
            self.limit = more.min(self.most);
        } else if waiting >= self.limit * FEW_WAIT + FEW_MORE {
            self.starting = false;
        }
        if self.rounds >= EPOCH {
            self.probing = Some(self.limit);
            self.limit = (self.limit * PROBE).max(self.least);
        }
        self.begin_round();
    }

    fn begin_round(&mut self) {
        (self.samples, self.sum, self.in_hand, self.cut) = (0, 0.0, 0, false);
    }
}

#[cfg(test)]
mod tests;
