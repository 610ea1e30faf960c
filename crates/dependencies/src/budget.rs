//! The state of one dependency: calls in flight, queued calls, bytes, call rate, and its share of the nodo's
//! parked runs and memory.

use crate::breaker::Breaker;
use crate::limit::AdaptiveLimit;
use crate::{CallId, ParkingCapacity};
use jaspershunt_operator::Dependency as Config;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum time between two log lines about refused calls to the same dependency.
pub(crate) const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Size of the token bucket, in seconds of the configured rate.
const BURST_SECONDS: f64 = 0.1;

/// One dependency with its configuration, limits and counters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Dependency {
    pub name: String,
    pub config: Config,
    /// The operator's file no longer names it: no new calls are accepted, and its slot in the list is reused
    /// once it is empty.
    pub retired: bool,
    pub breaker: Breaker,
    #[serde(rename = "learned")]
    pub adaptive_limit: AdaptiveLimit,
    /// Attempts that have not ended yet.
    #[serde(rename = "on_their_way")]
    pub active: usize,
    /// Attempts of fallback calls, active and lingering.
    #[serde(rename = "guests")]
    pub fallback_in_flight: usize,
    /// Abandoned attempts that the dependency may still be executing: when each stops counting, and whether
    /// it was a fallback call.
    pub lingering: VecDeque<(Duration, bool)>,
    /// Queued calls, oldest first, with the time at which each leaves the queue.
    #[serde(rename = "waiting")]
    pub queue: VecDeque<(Duration, CallId)>,
    /// Bytes of queued and active calls.
    pub bytes: usize,
    /// Runs parked at this dependency, and their memory.
    pub parked: usize,
    pub parked_kb: f64,
    /// Token bucket of the configured rate, as of `tokens_at`.
    tokens: f64,
    tokens_at: Duration,
    /// Index of the address in use.
    #[serde(rename = "turn")]
    address_index: usize,
    #[serde(rename = "told")]
    pub counts: Counts,
    /// When a refusal for lack of capacity was last logged.
    #[serde(rename = "said_full")]
    pub refusal_logged_at: Option<Duration>,
}

/// Counters of one dependency since the nodo started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts made.
    pub attempts: u64,
    /// Attempts that were made for fallback calls.
    #[serde(rename = "guests")]
    pub fallback_attempts: u64,
    /// Attempts that succeeded.
    #[serde(rename = "well")]
    pub succeeded: u64,
    /// Attempts that failed, lost their connection, or could not connect.
    pub failed: u64,
    /// Attempts that the dependency rejected.
    pub turned_away: u64,
    /// Attempts given up.
    pub given_up: u64,
    /// Calls refused because the circuit breaker was open.
    #[serde(rename = "shut_out")]
    pub breaker_open: u64,
    /// Calls refused because the concurrency limit and the queue were full, or that timed out in the queue.
    #[serde(rename = "no_room")]
    pub over_limit: u64,
    /// Calls refused because the dependency's share of parked runs, of their memory, or its byte limit was
    /// used up.
    #[serde(rename = "no_place")]
    pub over_share: u64,
    /// Highest number of calls in flight, lingering ones included.
    #[serde(rename = "most_in_hand")]
    pub max_in_flight: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { attempts, succeeded, failed, turned_away, given_up, .. } = self;
        write!(
            f,
            "of {attempts} calls {succeeded} went well, {failed} failed, {turned_away} were turned away, "
        )?;
        write!(f, "{given_up} given up")
    }
}

/// Why a dependency does not accept a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    BreakerOpen,
    OverLimit,
    OverShare,
    /// The retry budget is exhausted.
    NoRetryCredit,
}

impl Dependency {
    pub fn new(name: &str, config: &Config, seed: u64, now: Duration) -> Dependency {
        let limit = &config.limit;
        Dependency {
            name: name.to_string(),
            config: config.clone(),
            retired: false,
            breaker: Breaker::new(config.breaker.clone(), seed),
            adaptive_limit: AdaptiveLimit::new(limit.start, limit.least, max_in_flight(config)),
            active: 0,
            fallback_in_flight: 0,
            lingering: VecDeque::new(),
            queue: VecDeque::new(),
            bytes: 0,
            parked: 0,
            parked_kb: 0.0,
            tokens: 1.0,
            tokens_at: now,
            address_index: 0,
            counts: Counts::default(),
            refusal_logged_at: None,
        }
    }

    pub fn configure(&mut self, config: &Config) {
        self.adaptive_limit.set_bounds(config.limit.start, config.limit.least, max_in_flight(config));
        self.breaker.configure(config.breaker.clone());
        if config.addresses != self.config.addresses {
            self.address_index = 0;
            // Other servers may be behind the new addresses, so the limit is learned again.
            self.adaptive_limit.reset();
        }
        self.config = config.clone();
        self.retired = false;
    }

    /// Active attempts, and abandoned ones that may still be executing.
    pub fn in_flight(&self) -> usize {
        self.active + self.lingering.len()
    }

    /// The concurrency limit in force.
    pub fn limit(&self) -> usize {
        let max = max_in_flight(&self.config);
        if self.config.limit.learned { self.adaptive_limit.limit().min(max) } else { max }
    }

    /// The concurrency limit for fallback calls.
    pub fn fallback_limit(&self) -> usize {
        (self.limit() as f64 * self.config.guests.0) as usize
    }

    /// The dependency's share of the nodo's parked runs.
    pub fn max_parked(&self, capacity: &ParkingCapacity) -> usize {
        ((capacity.runs as f64 * self.config.share.0) as usize).max(1)
    }

    /// Whether one more run can be parked here, with a call of `bytes`.
    pub fn may_park(&self, capacity: &ParkingCapacity, bytes: usize, kb: f64) -> bool {
        self.parked < self.max_parked(capacity)
            && self.bytes + bytes <= self.config.bytes.0 as usize
            // One run is always accepted: one that is larger than the share could otherwise never be served.
            && (self.parked == 0 || self.parked_kb + kb <= capacity.memory_kb * self.config.share.0)
    }

    pub fn park(&mut self, bytes: usize, kb: f64) {
        self.parked += 1;
        self.parked_kb += kb;
        self.bytes += bytes;
    }

    pub fn unpark(&mut self, bytes: usize, kb: f64) {
        self.parked -= 1;
        self.parked_kb = if self.parked == 0 { 0.0 } else { self.parked_kb - kb };
        self.bytes -= bytes;
    }

    /// Applies what changes with time alone: ends of lingering attempts and new tokens.
    pub fn advance(&mut self, now: Duration) {
        while let Some((_, is_fallback)) = self.lingering.front().copied().filter(|(until, _)| *until <= now)
        {
            self.lingering.pop_front();
            self.fallback_in_flight -= usize::from(is_fallback);
        }
        if let Some(rate) = self.config.rate {
            let burst = (rate.0 * BURST_SECONDS).max(1.0);
            let more = now.saturating_sub(self.tokens_at).as_secs_f64() * rate.0;
            self.tokens = (self.tokens + more).min(burst);
        }
        self.tokens_at = self.tokens_at.max(now);
    }

    fn within_rate(&self) -> bool {
        // Slightly below 1, since the token that a call waited for may be short of it by a rounding error.
        self.config.rate.is_none() || self.tokens >= 1.0 - 1e-9
    }

    /// Whether the concurrency limits and the rate allow an attempt now.
    pub fn has_capacity(&self, is_fallback: bool) -> bool {
        self.in_flight() < self.limit()
            && self.within_rate()
            && (!is_fallback || self.fallback_in_flight < self.fallback_limit())
    }

    /// Records the start of an attempt and returns its address.
    pub fn start_attempt(&mut self, is_fallback: bool) -> SocketAddr {
        self.active += 1;
        self.fallback_in_flight += usize::from(is_fallback);
        if self.config.rate.is_some() {
            self.tokens -= 1.0;
        }
        self.counts.attempts += 1;
        self.counts.fallback_attempts += u64::from(is_fallback);
        self.counts.max_in_flight = self.counts.max_in_flight.max(self.in_flight());
        self.config.addresses[self.address_index % self.config.addresses.len()]
    }

    /// Records the end of an attempt; with `lingers` the dependency may still be executing it.
    pub fn end_attempt(&mut self, now: Duration, is_fallback: bool, lingers: bool) {
        self.active -= 1;
        if lingers && !self.config.linger.0.is_zero() {
            // The order stays ascending even if a reload has shortened the time.
            let until = self.lingering.back().map_or(Duration::ZERO, |(until, _)| *until);
            self.lingering.push_back((until.max(now + self.config.linger.0), is_fallback));
        } else {
            self.fallback_in_flight -= usize::from(is_fallback);
        }
    }

    /// Switches to the next address, as the current one could not be reached.
    pub fn next_address(&mut self) {
        self.address_index = (self.address_index + 1) % self.config.addresses.len();
    }

    /// The next time at which a queued call can change its state without an input; `None` while none is
    /// queued.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        // A deadline or a reload can make a later entry of the queue time out first.
        let stops = self.queue.iter().map(|(until, _)| *until).min()?;
        let lingers = self.lingering.front().map(|(until, _)| *until);
        let token = (!self.within_rate()).then(|| {
            let rate = self.config.rate.map_or(1.0, |rate| rate.0);
            now + Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate)
        });
        [Some(stops), lingers, token].into_iter().flatten().min()
    }
}

/// The configured upper bound of the concurrency limit: each call in flight has a connection of its own.
fn max_in_flight(config: &Config) -> usize {
    config.calls.min(config.connections)
}
