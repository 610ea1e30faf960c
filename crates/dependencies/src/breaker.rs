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
const PARTS: u32 = 10;
/// A wait is longer or shorter by up to this share.
const JITTER: f64 = 0.25;
/// Doublings of the wait at most; far beyond any longest wait.
const MOST_DOUBLINGS: u32 = 16;

/// How a call that was let through went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Went {
    /// It was answered in good time.
    Well,
    /// It was answered, late.
    Slowly,
    /// It failed.
    Badly,
}

/// Whether a call may be made. One that may takes the number of the period with it and brings it back with its end:
/// what began before the breaker last turned says nothing of what comes after.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Yes {
        /// The period.
        period: u64,
    },
    /// It may not.
    No,
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
        probing: usize,
        /// So many went well.
        well: usize,
    },
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Part {
    number: u64,
    calls: u32,
    slow: u32,
    bad: u32,
}

/// The breaker of one dependency.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Breaker {
    config: Config,
    state: State,
    period: u64,
    /// Openings in a row, without a whole window between them in which it was closed.
    openings: u32,
    closed_at: Option<Duration>,
    parts: [Part; PARTS as usize],
    random: u64,
    leaving: bool,
}

impl Breaker {
    /// A closed one; `seed` is what its random waits are made from.
    pub fn new(config: Config, seed: u64) -> Breaker {
        Breaker {
            config,
            state: State::Closed,
            period: 0,
            openings: 0,
            closed_at: None,
            parts: Default::default(),
            random: seed,
            leaving: false,
        }
    }

    /// Goes by another configuration from now on. Where it stands stays.
    pub fn configure(&mut self, config: Config) {
        if config.window != self.config.window {
            self.parts = Default::default();
        }
        self.config = config;
    }

    /// The nodo leaves: what is shut stays shut, since nobody would have anything of what a trial finds out, and the
    /// requests that try it would be late.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a call would be let through now. Changes nothing but what time alone has changed.
    pub fn lets_through(&mut self, now: Duration) -> bool {
        if let State::Open { until } = self.state
            && now >= until
            && !self.leaving
        {
            self.turn(State::HalfOpen { probing: 0, well: 0 });
        }
        match self.state {
            State::Closed => true,
            State::Open { .. } => false,
            State::HalfOpen { probing, well } => probing + well < self.config.probes,
        }
    }

    /// Lets a call through, or not.
    pub fn admit(&mut self, now: Duration) -> Verdict {
        if !self.lets_through(now) {
            return Verdict::No;
        }
        if let State::HalfOpen { probing, .. } = &mut self.state {
            *probing += 1;
        }
        Verdict::Yes { period: self.period }
    }

    /// A call that was let through in that period went so.
    pub fn ended(&mut self, now: Duration, period: u64, went: Went) {
        if period != self.period {
            return;
        }
        match &mut self.state {
            State::Closed => {
                self.note(now, went);
                if self.too_bad(now) {
                    let window = self.config.window.0;
                    let again = self.closed_at.is_some_and(|at| now.saturating_sub(at) < window);
                    self.openings = if again { self.openings + 1 } else { 0 };
                    self.open(now);
                }
            }
            State::HalfOpen { probing, well } => {
                *probing = probing.saturating_sub(1);
                if went == Went::Well {
                    *well += 1;
                    if *well >= self.config.probes {
                        self.closed_at = Some(now);
                        self.turn(State::Closed);
                    }
                } else {
                    self.openings += 1;
                    self.open(now);
                }
            }
            State::Open { .. } => {}
        }
    }

    /// A call that was let through in that period ended without saying anything of the dependency.
    pub fn withdrawn(&mut self, period: u64) {
        if period == self.period
            && let State::HalfOpen { probing, .. } = &mut self.state
        {
            *probing = probing.saturating_sub(1);
        }
    }

    fn turn(&mut self, state: State) {
        self.state = state;
        self.period += 1;
        self.parts = Default::default();
    }

    fn open(&mut self, now: Duration) {
        let wait = self.config.wait.0.as_secs_f64() * f64::from(1u32 << self.openings.min(MOST_DOUBLINGS));
        let wait = wait.min(self.config.longest.0.as_secs_f64());
        let jitter = 1.0 + JITTER * (2.0 * self.draw() - 1.0);
        self.turn(State::Open { until: now + Duration::from_secs_f64(wait * jitter) });
    }

    /// A number from 0 to under 1; SplitMix64 (Steele, Lea and Flood 2014).
    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn part_number(&self, now: Duration) -> u64 {
        let part = (self.config.window.0 / PARTS).max(Duration::from_millis(1));
        (now.as_nanos() / part.as_nanos()) as u64
    }

    fn note(&mut self, now: Duration, went: Went) {
        let number = self.part_number(now);
        let part = &mut self.parts[(number % u64::from(PARTS)) as usize];
        if part.number != number {
            *part = Part { number, ..Part::default() };
        }
        part.calls += 1;
        part.slow += u32::from(went == Went::Slowly);
        part.bad += u32::from(went == Went::Badly);
    }

    fn too_bad(&self, now: Duration) -> bool {
        let newest = self.part_number(now);
        let in_window = |part: &&Part| part.number + u64::from(PARTS) > newest;
        let sum = |of: fn(&Part) -> u32| -> f64 {
            self.parts.iter().filter(in_window).map(|part| f64::from(of(part))).sum()
        };
        let calls = sum(|part| part.calls);
        // A call that failed was no faster than a slow one.
        calls >= self.config.least as f64
            && (sum(|part| part.bad) >= calls * self.config.failures.0
                || sum(|part| part.bad + part.slow) >= calls * self.config.slow_calls.0)
    }
}

#[cfg(test)]
mod tests;
