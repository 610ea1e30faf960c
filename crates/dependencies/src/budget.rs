//! What a nodo has asked of one dependency and may still ask: calls in hand, calls that wait, bytes, calls a second, and
//! the part of the nodo's parked runs and memory that wait for it.

use crate::breaker::Breaker;
use crate::limit::AdaptiveLimit;
use crate::{CallId, ParkingCapacity};
use jaspershunt_operator::Dependency as Config;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// An operator is told so seldom, for each dependency, that calls find no room.
pub(crate) const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// So much of a second's calls may be begun at once.
const BURST_SECONDS: f64 = 0.1;

/// A dependency and all that is counted of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Dependency {
    pub name: String,
    pub config: Config,
    /// Not in the file any more: nothing new comes here, and the place is used again once it is empty.
    pub retired: bool,
    pub breaker: Breaker,
    #[serde(rename = "learned")]
    pub adaptive_limit: AdaptiveLimit,
    /// Attempts that are on their way.
    #[serde(rename = "on_their_way")]
    pub active: usize,
    /// Those of them, and of the ones given up, that came from another dependency.
    #[serde(rename = "guests")]
    pub fallback_in_flight: usize,
    /// Ends of those given up that may still go on below, and whether each was a guest.
    pub lingering: VecDeque<(Duration, bool)>,
    /// Calls that wait for room, the oldest first, with the time at which they stop.
    #[serde(rename = "waiting")]
    pub queue: VecDeque<(Duration, CallId)>,
    /// Bytes of calls that wait or are on their way.
    pub bytes: usize,
    /// Runs that are parked here, and their memory.
    pub parked: usize,
    pub parked_kb: f64,
    /// Calls that may be begun at once by the rate, at that time.
    tokens: f64,
    tokens_at: Duration,
    /// The address that is used next.
    #[serde(rename = "turn")]
    address_index: usize,
    #[serde(rename = "told")]
    pub counts: Counts,
    /// When the operator was last told of calls that found no room or no place.
    #[serde(rename = "said_full")]
    pub refusal_logged_at: Option<Duration>,
}

/// What became of calls at one dependency, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts made.
    pub attempts: u64,
    /// Those of them that came from another dependency.
    #[serde(rename = "guests")]
    pub fallback_attempts: u64,
    /// Attempts that ended well.
    #[serde(rename = "well")]
    pub succeeded: u64,
    /// Attempts that failed, broke, or could not connect.
    pub failed: u64,
    /// Attempts turned away below.
    pub turned_away: u64,
    /// Attempts given up.
    pub given_up: u64,
    /// Calls not made as the breaker was open.
    #[serde(rename = "shut_out")]
    pub breaker_open: u64,
    /// Calls not made as too many were in hand and in line, or after waiting in line.
    #[serde(rename = "no_room")]
    pub over_limit: u64,
    /// Calls not made as the dependency's part of the parked runs, their memory or its bytes was taken.
    #[serde(rename = "no_place")]
    pub over_share: u64,
    /// The most that was in hand at once, those given up included.
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

/// Why a call cannot be made or wait here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    BreakerOpen,
    OverLimit,
    OverShare,
    /// Attempts beyond the first are used up.
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
            // Nothing is known of what is there now.
            self.adaptive_limit.reset();
        }
        self.config = config.clone();
        self.retired = false;
    }

    /// Calls below: those on their way, and those given up that may go on.
    pub fn in_flight(&self) -> usize {
        self.active + self.lingering.len()
    }

    /// What may be in hand at present.
    pub fn limit(&self) -> usize {
        let max = max_in_flight(&self.config);
        if self.config.limit.learned { self.adaptive_limit.limit().min(max) } else { max }
    }

    /// What may be in hand of calls that fell back on this one.
    pub fn fallback_limit(&self) -> usize {
        (self.limit() as f64 * self.config.guests.0) as usize
    }

    /// Runs that may be parked here, of all that the nodo may have parked.
    pub fn max_parked(&self, capacity: &ParkingCapacity) -> usize {
        ((capacity.runs as f64 * self.config.share.0) as usize).max(1)
    }

    /// Whether one more run may be parked here, with a call of so many bytes.
    pub fn may_park(&self, capacity: &ParkingCapacity, bytes: usize, kb: f64) -> bool {
        self.parked < self.max_parked(capacity)
            && self.bytes + bytes <= self.config.bytes.0 as usize
            // One always fits: a run that is larger than the part could else never be served.
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

    /// Brings what time alone changes up to date.
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
        // A hair less, since a token that was waited for may lack what floating point lost.
        self.config.rate.is_none() || self.tokens >= 1.0 - 1e-9
    }

    /// Whether an attempt may begin now, as far as room goes.
    pub fn has_capacity(&self, is_fallback: bool) -> bool {
        self.in_flight() < self.limit()
            && self.within_rate()
            && (!is_fallback || self.fallback_in_flight < self.fallback_limit())
    }

    /// An attempt begins; returns the address for it.
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

    /// An attempt is over; it may linger below.
    pub fn end_attempt(&mut self, now: Duration, is_fallback: bool, lingers: bool) {
        self.active -= 1;
        if lingers && !self.config.linger.0.is_zero() {
            // Kept in order though the operator may have shortened the time meanwhile.
            let until = self.lingering.back().map_or(Duration::ZERO, |(until, _)| *until);
            self.lingering.push_back((until.max(now + self.config.linger.0), is_fallback));
        } else {
            self.fallback_in_flight -= usize::from(is_fallback);
        }
    }

    /// The present address could not be reached.
    pub fn next_address(&mut self) {
        self.address_index = (self.address_index + 1) % self.config.addresses.len();
    }

    /// When something here may change by time alone that a waiting call waits for.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        // The queue is in the order of arrival, and each waits equally long: but for a changed configuration the first
        // is the first to stop.
        let stops = self.queue.iter().map(|(until, _)| *until).min()?;
        let lingers = self.lingering.front().map(|(until, _)| *until);
        let token = (!self.within_rate()).then(|| {
            let rate = self.config.rate.map_or(1.0, |rate| rate.0);
            now + Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate)
        });
        [Some(stops), lingers, token].into_iter().flatten().min()
    }
}

/// Calls in hand at most, whatever is learned: each has a connection of its own.
fn max_in_flight(config: &Config) -> usize {
    config.calls.min(config.connections)
}
