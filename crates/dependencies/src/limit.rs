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
const MIN_ROUND_SAMPLES: usize = 16;
/// The limit grows while fewer than this share of it wait below, and a third of a call. Ours: the mean of a round strays
/// by a few hundredths, and more than that must not look like waiting.
const GROW_BELOW_SHARE: f64 = 0.05;
const GROW_BELOW_CALLS: f64 = 0.3;
/// It shrinks once more than this share of it wait below, and two thirds of a call.
const SHRINK_ABOVE_SHARE: f64 = 0.15;
const SHRINK_ABOVE_CALLS: f64 = 0.7;
/// What is left of the limit by a call that was turned away or given up.
const DROP_FACTOR: f64 = 0.7;
/// Each round at the beginning, until the first sign of waiting, multiplies it by this.
const SLOW_START_FACTOR: f64 = 1.5;
/// Rounds after which the least is measured anew, and the share of the limit that one round has for it. Ours: with
/// rounds of some 16 to 100 calls a matter of seconds to minutes, and less than a hundredth of the calls.
const PROBE_INTERVAL_ROUNDS: u32 = 64;
const PROBE_LIMIT_SHARE: f64 = 0.5;
/// Only a limit of which this share was used can be said to be too low.
const MIN_UTILIZATION: f64 = 0.75;

/// What a dependency can take, as it was learned so far.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdaptiveLimit {
    start: f64,
    #[serde(rename = "least")]
    min: f64,
    #[serde(rename = "most")]
    max: f64,
    limit: f64,
    /// Nothing has shown yet that calls wait below.
    #[serde(rename = "starting")]
    slow_start: bool,
    /// The least mean of a round.
    #[serde(rename = "base")]
    min_mean_seconds: Option<f64>,
    rounds: u32,
    /// The limit to go back to, while the least is measured anew.
    #[serde(rename = "probing")]
    limit_before_probe: Option<f64>,
    /// The round: samples, their sum, the most in hand.
    samples: usize,
    #[serde(rename = "sum")]
    sum_seconds: f64,
    #[serde(rename = "in_hand")]
    max_in_flight: usize,
    /// A cut was made in this round already.
    #[serde(rename = "cut")]
    decreased: bool,
}

impl AdaptiveLimit {
    /// A limit that begins at `start` and stays from `least` to `most`.
    pub fn new(start: usize, min: usize, max: usize) -> AdaptiveLimit {
        let (min, max) = (min.min(max) as f64, max as f64);
        let start = (start as f64).clamp(min, max);
        AdaptiveLimit {
            start,
            min,
            max,
            limit: start,
            slow_start: true,
            min_mean_seconds: None,
            rounds: 0,
            limit_before_probe: None,
            samples: 0,
            sum_seconds: 0.0,
            max_in_flight: 0,
            decreased: false,
        }
    }

    /// Calls that may be in hand.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Moves the bounds; what was learned stays as far as it fits.
    pub fn set_bounds(&mut self, start: usize, min: usize, max: usize) {
        (self.min, self.max) = (min.min(max) as f64, max as f64);
        self.start = (start as f64).clamp(self.min, self.max);
        self.limit = self.limit.clamp(self.min, self.max);
        self.limit_before_probe = self.limit_before_probe.map(|limit| limit.clamp(self.min, self.max));
    }

    /// Begins anew, as after an outage: what was in hand before it would come down on a dependency that has just got
    /// up again. What calls take at the least stays known.
    pub fn reset(&mut self) {
        (self.limit, self.limit_before_probe) = (self.start, None);
        self.slow_start = true;
        self.begin_round();
    }

    /// A call came back by itself, whatever with, after this time; so many were in hand when it was made.
    pub fn record_reply(&mut self, took: Duration, in_flight: usize) {
        // What was made beside more than the round allows does not tell what a call takes alone.
        if self.limit_before_probe.is_some() && in_flight > self.limit() {
            return;
        }
        self.samples += 1;
        self.sum_seconds += took.as_secs_f64();
        self.max_in_flight = self.max_in_flight.max(in_flight);
        if self.samples >= MIN_ROUND_SAMPLES.max(self.limit as usize) {
            self.end_round();
        }
    }

    /// A call was turned away or given up.
    pub fn record_drop(&mut self) {
        if !self.decreased {
            self.decreased = true;
            self.slow_start = false;
            self.limit = self.limit_before_probe.take().unwrap_or(self.limit);
            self.limit = (self.limit * DROP_FACTOR).max(self.min);
        }
        // Guards against a limit that stays cut off from its next round when nothing comes back by itself.
        self.samples += 1;
        self.sum_seconds += self.min_mean_seconds.unwrap_or(0.0);
        if self.samples >= MIN_ROUND_SAMPLES.max(self.limit as usize) {
            self.begin_round();
        }
    }

    fn end_round(&mut self) {
        let mean = self.sum_seconds / self.samples as f64;
        if let Some(limit) = self.limit_before_probe.take() {
            (self.min_mean_seconds, self.limit, self.rounds) = (Some(mean), limit, 0);
            return self.begin_round();
        }
        let min_mean = self.min_mean_seconds.map_or(mean, |min_mean| min_mean.min(mean));
        self.min_mean_seconds = Some(min_mean);
        self.rounds += 1;
        let max_used = (self.max_in_flight as f64).min(self.limit);
        let queued = if mean > 0.0 { max_used * (1.0 - min_mean / mean) } else { 0.0 };
        if self.decreased {
            // One cut a round is enough; what the round measured was measured before it in part.
        } else if queued > self.limit * SHRINK_ABOVE_SHARE + SHRINK_ABOVE_CALLS {
            self.slow_start = false;
            self.limit =
                (self.limit - (queued - self.limit * SHRINK_ABOVE_SHARE).min(self.limit * 0.2)).max(self.min);
        } else if queued < self.limit * GROW_BELOW_SHARE + GROW_BELOW_CALLS
            && max_used >= self.limit.floor() * MIN_UTILIZATION
        {
            let larger = if self.slow_start { self.limit * SLOW_START_FACTOR } else { self.limit + 1.0 };
            self.limit = larger.min(self.max);
        } else if queued >= self.limit * GROW_BELOW_SHARE + GROW_BELOW_CALLS {
            self.slow_start = false;
        }
        if self.rounds >= PROBE_INTERVAL_ROUNDS {
            self.limit_before_probe = Some(self.limit);
            self.limit = (self.limit * PROBE_LIMIT_SHARE).max(self.min);
        }
        self.begin_round();
    }

    fn begin_round(&mut self) {
        (self.samples, self.sum_seconds, self.max_in_flight, self.decreased) = (0, 0.0, 0, false);
    }
}

#[cfg(test)]
mod tests;
