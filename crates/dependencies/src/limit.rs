//! The adaptive concurrency limit: how many calls a dependency can process at once before further ones only
//! queue there.
//!
//! It applies TCP Vegas (Brakmo, O'Malley and Peterson 1994) to calls instead of segments: latency above the
//! minimum is time spent queueing, so `in flight × (1 − minimum / mean)` calls are queued at the dependency.
//! The limit grows while few are; it shrinks once more are queued than keep the dependency busy. A call that
//! is rejected or given up reduces it at once, as a lost segment does. It differs from Vegas in two
//! points. The thresholds are shares of the limit, since a dependency with 4 slots and one with 40 must both
//! settle near their slots. And the minimum is measured again at regular intervals, at half the limit, as
//! BBR does (Cardwell and others 2016): a dependency that has become slower for good is not overloaded, and
//! a minimum that merely expired would be learned again under load.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Minimum samples of a round, so that its mean is meaningful.
const MIN_ROUND_SAMPLES: usize = 16;
/// The limit grows while fewer calls than this share of it plus `GROW_BELOW_CALLS` are queued at the
/// dependency. The mean of a round varies by a few hundredths, which must not be taken for queueing.
const GROW_BELOW_SHARE: f64 = 0.05;
const GROW_BELOW_CALLS: f64 = 0.3;
/// The limit shrinks once more calls than this share of it plus `SHRINK_ABOVE_CALLS` are queued.
const SHRINK_ABOVE_SHARE: f64 = 0.15;
const SHRINK_ABOVE_CALLS: f64 = 0.7;
/// Factor applied to the limit when a call is rejected or given up.
const DROP_FACTOR: f64 = 0.7;
/// Factor applied in each round of slow start, until calls first queue.
const SLOW_START_FACTOR: f64 = 1.5;
/// Rounds between two measurements of the minimum, and the share of the limit in force during that round. A
/// round has some 16 to 100 calls, so a measurement comes every few seconds to minutes and affects less than
/// a hundredth of the calls.
const PROBE_INTERVAL_ROUNDS: u32 = 64;
const PROBE_LIMIT_SHARE: f64 = 0.5;
/// Share of the limit that must have been in use for it to grow.
const MIN_UTILIZATION: f64 = 0.75;

/// The adaptive limit of one dependency and the measurements behind it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdaptiveLimit {
    start: f64,
    #[serde(rename = "least")]
    min: f64,
    #[serde(rename = "most")]
    max: f64,
    limit: f64,
    /// Slow start: no queueing has been seen yet.
    #[serde(rename = "starting")]
    slow_start: bool,
    /// Lowest mean latency of a round.
    #[serde(rename = "base")]
    min_mean_seconds: Option<f64>,
    rounds: u32,
    /// The limit to restore after the minimum has been measured.
    #[serde(rename = "probing")]
    limit_before_probe: Option<f64>,
    /// The current round: samples, the sum of their latencies, and the most calls in flight.
    samples: usize,
    #[serde(rename = "sum")]
    sum_seconds: f64,
    #[serde(rename = "in_hand")]
    max_in_flight: usize,
    /// The limit was already reduced for a drop in this round.
    #[serde(rename = "cut")]
    decreased: bool,
}

impl AdaptiveLimit {
    /// Creates a limit that begins at `start` and stays between `min` and `max`.
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

    /// Returns the number of calls that may be in flight.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Changes the bounds; the current limit is clamped to them.
    pub fn set_bounds(&mut self, start: usize, min: usize, max: usize) {
        (self.min, self.max) = (min.min(max) as f64, max as f64);
        self.start = (start as f64).clamp(self.min, self.max);
        self.limit = self.limit.clamp(self.min, self.max);
        self.limit_before_probe = self.limit_before_probe.map(|limit| limit.clamp(self.min, self.max));
    }

    /// Restarts from the initial limit, as after an outage: the limit from before would overload a
    /// dependency that has just recovered. The minimum latency is kept.
    pub fn reset(&mut self) {
        (self.limit, self.limit_before_probe) = (self.start, None);
        self.slow_start = true;
        self.begin_round();
    }

    /// Records a call that ended by itself after `took`; `in_flight` calls were in flight when it began.
    pub fn record_reply(&mut self, took: Duration, in_flight: usize) {
        // A call made beside more calls than this round allows does not measure the minimum latency.
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

    /// Records a call that was rejected or given up.
    pub fn record_drop(&mut self) {
        if !self.decreased {
            self.decreased = true;
            self.slow_start = false;
            self.limit = self.limit_before_probe.take().unwrap_or(self.limit);
            self.limit = (self.limit * DROP_FACTOR).max(self.min);
        }
        // Counts as a sample, or a round would never end while no call is answered, and the limit could not
        // be reduced again.
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
            // The limit is reduced at most once a round; part of this round was measured before the
            // reduction.
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
