//! The circuit breaker: when a dependency is left alone, and how it is found out that it is well again.
//!
//! Closed, it looks at the calls of a sliding window. When too many of them failed or were slow it opens, and nothing is
//! called. After a wait it is half open: so many calls at once try whether the dependency is back. If as many go well it
//! closes; one that does not opens it again, for twice as long and a random part more or less, so that many nodos do
//! not come back at the same moment.

use jaspershunt_operator::Breaker as Config;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parts of the window; the oldest is forgotten as a whole.
const BUCKETS: u32 = 10;
/// A wait is longer or shorter by up to this share.
const JITTER: f64 = 0.25;
/// Doublings of the wait at most; far beyond any longest wait.
const MAX_DOUBLINGS: u32 = 16;

/// How a call that was let through went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered in good time.
    Success,
    /// It was answered, late.
    Slow,
    /// It failed.
    Failure,
}

/// Whether a call may be made. One that may takes the number of the period with it and brings it back with its end:
/// what began before the breaker last turned says nothing of what comes after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admitted {
        /// The period.
        generation: u64,
    },
    /// It may not.
    Rejected,
}

/// Where the breaker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Calls are made.
    Closed,
    /// None are.
    Open {
        /// Until then.
        until: Duration,
    },
    /// Some are, to try.
    HalfOpen {
        /// So many are on their way.
        #[serde(rename = "probing")]
        probes_in_flight: usize,
        /// So many went well.
        #[serde(rename = "well")]
        succeeded: usize,
    },
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Bucket {
    number: u64,
    calls: u32,
    slow: u32,
    #[serde(rename = "bad")]
    failed: u32,
}

/// The breaker of one dependency.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Breaker {
    config: Config,
    state: State,
    #[serde(rename = "period")]
    generation: u64,
    /// Openings in a row, without a whole window between them in which it was closed.
    #[serde(rename = "openings")]
    reopenings: u32,
    closed_at: Option<Duration>,
    #[serde(rename = "parts")]
    buckets: [Bucket; BUCKETS as usize],
    #[serde(rename = "random")]
    rng_state: u64,
    #[serde(rename = "leaving")]
    draining: bool,
}

impl Breaker {
    /// A closed one; `seed` is what its random waits are made from.
    pub fn new(config: Config, seed: u64) -> Breaker {
        Breaker {
            config,
            state: State::Closed,
            generation: 0,
            reopenings: 0,
            closed_at: None,
            buckets: Default::default(),
            rng_state: seed,
            draining: false,
        }
    }

    /// Goes by another configuration from now on. Where it stands stays.
    pub fn configure(&mut self, config: Config) {
        if config.window != self.config.window {
            self.buckets = Default::default();
        }
        self.config = config;
    }

    /// The nodo leaves: what is shut stays shut, since nobody would have anything of what a trial finds out, and the
    /// requests that try it would be late.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a call would be let through now. Changes nothing but what time alone has changed.
    pub fn allows(&mut self, now: Duration) -> bool {
        if let State::Open { until } = self.state
            && now >= until
            && !self.draining
        {
            self.transition(State::HalfOpen { probes_in_flight: 0, succeeded: 0 });
        }
        match self.state {
            State::Closed => true,
            State::Open { .. } => false,
            State::HalfOpen { probes_in_flight, succeeded } => {
                probes_in_flight + succeeded < self.config.probes
            }
        }
    }

    /// Lets a call through, or not.
    pub fn admit(&mut self, now: Duration) -> Admission {
        if !self.allows(now) {
            return Admission::Rejected;
        }
        if let State::HalfOpen { probes_in_flight, .. } = &mut self.state {
            *probes_in_flight += 1;
        }
        Admission::Admitted { generation: self.generation }
    }

    /// A call that was let through in that period went so.
    pub fn record_result(&mut self, now: Duration, generation: u64, result: CallResult) {
        if generation != self.generation {
            return;
        }
        match &mut self.state {
            State::Closed => {
                self.count(now, result);
                if self.should_open(now) {
                    let window = self.config.window.0;
                    let reopened = self.closed_at.is_some_and(|at| now.saturating_sub(at) < window);
                    self.reopenings = if reopened { self.reopenings + 1 } else { 0 };
                    self.open(now);
                }
            }
            State::HalfOpen { probes_in_flight, succeeded } => {
                *probes_in_flight = probes_in_flight.saturating_sub(1);
                if result == CallResult::Success {
                    *succeeded += 1;
                    if *succeeded >= self.config.probes {
                        self.closed_at = Some(now);
                        self.transition(State::Closed);
                    }
                } else {
                    self.reopenings += 1;
                    self.open(now);
                }
            }
            State::Open { .. } => {}
        }
    }

    /// A call that was let through in that period ended without saying anything of the dependency.
    pub fn record_no_result(&mut self, generation: u64) {
        if generation == self.generation
            && let State::HalfOpen { probes_in_flight, .. } = &mut self.state
        {
            *probes_in_flight = probes_in_flight.saturating_sub(1);
        }
    }

    fn transition(&mut self, state: State) {
        self.state = state;
        self.generation += 1;
        self.buckets = Default::default();
    }

    fn open(&mut self, now: Duration) {
        let wait = self.config.wait.0.as_secs_f64() * f64::from(1u32 << self.reopenings.min(MAX_DOUBLINGS));
        let wait = wait.min(self.config.longest.0.as_secs_f64());
        let jitter = 1.0 + JITTER * (2.0 * self.next_random() - 1.0);
        self.transition(State::Open { until: now + Duration::from_secs_f64(wait * jitter) });
    }

    /// A number from 0 to under 1; SplitMix64 (Steele, Lea and Flood 2014).
    fn next_random(&mut self) -> f64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.rng_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn bucket_number(&self, now: Duration) -> u64 {
        let bucket = (self.config.window.0 / BUCKETS).max(Duration::from_millis(1));
        (now.as_nanos() / bucket.as_nanos()) as u64
    }

    fn count(&mut self, now: Duration, result: CallResult) {
        let number = self.bucket_number(now);
        let bucket = &mut self.buckets[(number % u64::from(BUCKETS)) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket.calls += 1;
        bucket.slow += u32::from(result == CallResult::Slow);
        bucket.failed += u32::from(result == CallResult::Failure);
    }

    fn should_open(&self, now: Duration) -> bool {
        let newest = self.bucket_number(now);
        let in_window = |bucket: &&Bucket| bucket.number + u64::from(BUCKETS) > newest;
        let sum = |of: fn(&Bucket) -> u32| -> f64 {
            self.buckets.iter().filter(in_window).map(|bucket| f64::from(of(bucket))).sum()
        };
        let calls = sum(|bucket| bucket.calls);
        // A call that failed was no faster than a slow one.
        calls >= self.config.least as f64
            && (sum(|bucket| bucket.failed) >= calls * self.config.failures.0
                || sum(|bucket| bucket.failed + bucket.slow) >= calls * self.config.slow_calls.0)
    }
}

#[cfg(test)]
mod tests;
