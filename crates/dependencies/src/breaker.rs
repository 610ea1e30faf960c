//! Circuit breaker of a dependency.
//!
//! While closed, it counts the calls of a sliding window. When too many of them failed or were slow, it
//! opens and no calls are made. After a wait it is half open: up to `probes` calls at once test the
//! dependency. If as many succeed it closes; a failed or slow probe reopens it and doubles the wait. Each
//! wait is randomly lengthened or shortened, so that many nodos do not return at the same moment.

use jaspershunt_operator::Breaker as Config;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Buckets of the sliding window; the oldest is dropped as a whole.
const BUCKETS: u32 = 10;
/// Random share by which a wait is lengthened or shortened.
const JITTER: f64 = 0.25;
/// Maximum number of doublings of the wait; beyond any configured maximum wait.
const MAX_DOUBLINGS: u32 = 16;

/// The result of an admitted call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It was answered in time.
    Success,
    /// It was answered, but slowly.
    Slow,
    /// It failed.
    Failure,
}

/// Whether a call is admitted. An admitted call returns its generation with its result: results of calls
/// that began before the last transition are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call can be made.
    Admitted {
        /// The generation of the breaker at admission.
        generation: u64,
    },
    /// The call must not be made.
    Rejected,
}

/// The state of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Calls are made.
    Closed,
    /// No calls are made.
    Open {
        /// When it becomes half open.
        until: Duration,
    },
    /// A limited number of probe calls is made.
    HalfOpen {
        /// Probes in flight.
        #[serde(rename = "probing")]
        probes_in_flight: usize,
        /// Probes that succeeded.
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
    /// Number of times it opened again without having been closed for a whole window.
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
    /// Creates a closed breaker; `seed` seeds the random part of its waits.
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

    /// Applies a new configuration. The state is unchanged.
    pub fn configure(&mut self, config: Config) {
        if config.window != self.config.window {
            self.buckets = Default::default();
        }
        self.config = config;
    }

    /// Stops probing while the nodo drains: an open breaker stays open, since the result of a probe would be
    /// of no use and the requests that make it would be late.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a call would be admitted now. Changes nothing except the transition to half open when its
    /// time has come.
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

    /// Admits or rejects a call.
    pub fn admit(&mut self, now: Duration) -> Admission {
        if !self.allows(now) {
            return Admission::Rejected;
        }
        if let State::HalfOpen { probes_in_flight, .. } = &mut self.state {
            *probes_in_flight += 1;
        }
        Admission::Admitted { generation: self.generation }
    }

    /// Records the result of a call that was admitted in `generation`.
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

    /// Records that a call admitted in `generation` ended without a result for the dependency.
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

    /// Returns a random number in [0, 1); SplitMix64 (Steele, Lea and Flood 2014).
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
        // A failed call also counts as a slow one.
        calls >= self.config.least as f64
            && (sum(|bucket| bucket.failed) >= calls * self.config.failures.0
                || sum(|bucket| bucket.failed + bucket.slow) >= calls * self.config.slow_calls.0)
    }
}

#[cfg(test)]
mod tests;
