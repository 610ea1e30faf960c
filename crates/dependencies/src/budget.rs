//! What a nodo has asked of one dependency and may still ask: calls in hand, calls that wait, bytes, calls a second, and
//! the part of the nodo's parked runs and memory that wait for it.

use crate::breaker::Breaker;
use crate::limit::Learned;
use crate::{CallId, Room};
use jaspershunt_operator::Dependency as Config;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// An operator is told so seldom, for each dependency, that calls find no room.
pub(crate) const SAY_FULL_EVERY: Duration = Duration::from_secs(10);
/// So much of a second's calls may be begun at once.
const BURST: f64 = 0.1;

/// A dependency and all that is counted of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Dependency {
    pub name: String,
    pub config: Config,
    /// Not in the file any more: nothing new comes here, and the place is used again once it is empty.
    pub retired: bool,
    pub breaker: Breaker,
    pub learned: Learned,
    /// Attempts that are on their way.
    pub on_their_way: usize,
    /// Those of them, and of the ones given up, that came from another dependency.
    pub guests: usize,
    /// Ends of those given up that may still go on below, and whether each was a guest.
    pub lingering: VecDeque<(Duration, bool)>,
    /// Calls that wait for room, the oldest first, with the time at which they stop.
    pub waiting: VecDeque<(Duration, CallId)>,
    /// Bytes of calls that wait or are on their way.
    pub bytes: usize,
    /// Runs that are parked here, and their memory.
    pub parked: usize,
    pub parked_kb: f64,
    /// Calls that may be begun at once by the rate, at that time.
    tokens: f64,
    tokens_at: Duration,
    /// The address that is used next.
    turn: usize,
    pub told: Counts,
    /// When the operator was last told of calls that found no room or no place.
    pub said_full: Option<Duration>,
}

/// What became of calls at one dependency, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts made.
    pub attempts: u64,
    /// Those of them that came from another dependency.
    pub guests: u64,
    /// Attempts that ended well.
    pub well: u64,
    /// Attempts that failed, broke, or could not connect.
    pub failed: u64,
    /// Attempts turned away below.
    pub turned_away: u64,
    /// Attempts given up.
    pub given_up: u64,
    /// Calls not made as the breaker was open.
    pub shut_out: u64,
    /// Calls not made as too many were in hand and in line, or after waiting in line.
    pub no_room: u64,
    /// Calls not made as the dependency's part of the parked runs, their memory or its bytes was taken.
    pub no_place: u64,
    /// The most that was in hand at once, those given up included.
    pub most_in_hand: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts { attempts, well, failed, turned_away, given_up, .. } = self;
        write!(f, "of {attempts} calls {well} went well, {failed} failed, {turned_away} were turned away, ")?;
        write!(f, "{given_up} given up")
    }
}

/// Why a call cannot be made or wait here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Shut,
    NoRoom,
    NoPlace,
    /// Attempts beyond the first are used up.
    NotAgain,
}

impl Dependency {
    pub fn new(name: &str, config: &Config, seed: u64, now: Duration) -> Dependency {
        let limit = &config.limit;
        Dependency {
            name: name.to_string(),
            config: config.clone(),
            retired: false,
            breaker: Breaker::new(config.breaker.clone(), seed),
            learned: Learned::new(limit.start, limit.least, ceiling(config)),
            on_their_way: 0,
            guests: 0,
            lingering: VecDeque::new(),
            waiting: VecDeque::new(),
            bytes: 0,
            parked: 0,
            parked_kb: 0.0,
            tokens: 1.0,
            tokens_at: now,
            turn: 0,
            told: Counts::default(),
            said_full: None,
        }
    }

    pub fn configure(&mut self, config: &Config) {
        self.learned.bound(config.limit.start, config.limit.least, ceiling(config));
        self.breaker.configure(config.breaker.clone());
        if config.addresses != self.config.addresses {
            self.turn = 0;
            // Nothing is known of what is there now.
            self.learned.restart();
        }
        self.config = config.clone();
        self.retired = false;
    }

    /// Calls below: those on their way, and those given up that may go on.
    pub fn in_hand(&self) -> usize {
        self.on_their_way + self.lingering.len()
    }

    /// What may be in hand at present.
    pub fn limit(&self) -> usize {
        let ceiling = ceiling(&self.config);
        if self.config.limit.learned { self.learned.limit().min(ceiling) } else { ceiling }
    }

    /// What may be in hand of calls that fell back on this one.
    pub fn limit_of_guests(&self) -> usize {
        (self.limit() as f64 * self.config.guests.0) as usize
    }

    /// Runs that may be parked here, of all that the nodo may have parked.
    pub fn places(&self, room: &Room) -> usize {
        ((room.places as f64 * self.config.share.0) as usize).max(1)
    }

    /// Whether one more run may be parked here, with a call of so many bytes.
    pub fn may_park(&self, room: &Room, bytes: usize, kb: f64) -> bool {
        self.parked < self.places(room)
            && self.bytes + bytes <= self.config.bytes.0 as usize
            // One always fits: a run that is larger than the part could else never be served.
            && (self.parked == 0 || self.parked_kb + kb <= room.memory_kb * self.config.share.0)
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
    pub fn at(&mut self, now: Duration) {
        while let Some((_, guest)) = self.lingering.front().copied().filter(|(until, _)| *until <= now) {
            self.lingering.pop_front();
            self.guests -= usize::from(guest);
        }
        if let Some(rate) = self.config.rate {
            let burst = (rate.0 * BURST).max(1.0);
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
    pub fn has_room(&self, guest: bool) -> bool {
        self.in_hand() < self.limit()
            && self.within_rate()
            && (!guest || self.guests < self.limit_of_guests())
    }

    /// An attempt begins; returns the address for it.
    pub fn begin(&mut self, guest: bool) -> SocketAddr {
        self.on_their_way += 1;
        self.guests += usize::from(guest);
        if self.config.rate.is_some() {
            self.tokens -= 1.0;
        }
        self.told.attempts += 1;
        self.told.guests += u64::from(guest);
        self.told.most_in_hand = self.told.most_in_hand.max(self.in_hand());
        self.config.addresses[self.turn % self.config.addresses.len()]
    }

    /// An attempt is over; it may linger below.
    pub fn end(&mut self, now: Duration, guest: bool, lingers: bool) {
        self.on_their_way -= 1;
        if lingers && !self.config.linger.0.is_zero() {
            // Kept in order though the operator may have shortened the time meanwhile.
            let until = self.lingering.back().map_or(Duration::ZERO, |(until, _)| *until);
            self.lingering.push_back((until.max(now + self.config.linger.0), guest));
        } else {
            self.guests -= usize::from(guest);
        }
    }

    /// The present address could not be reached.
    pub fn next_address(&mut self) {
        self.turn = (self.turn + 1) % self.config.addresses.len();
    }

    /// When something here may change by time alone that a waiting call waits for.
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        // The queue is in the order of arrival, and each waits equally long: but for a changed configuration the first
        // is the first to stop.
        let stops = self.waiting.iter().map(|(until, _)| *until).min()?;
        let lingers = self.lingering.front().map(|(until, _)| *until);
        let token = (!self.within_rate()).then(|| {
            let rate = self.config.rate.map_or(1.0, |rate| rate.0);
            now + Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / rate)
        });
        [Some(stops), lingers, token].into_iter().flatten().min()
    }
}

/// Calls in hand at most, whatever is learned: each has a connection of its own.
fn ceiling(config: &Config) -> usize {
    config.calls.min(config.connections)
}
