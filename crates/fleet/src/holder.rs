//! A holder's rules: what it holds by its own clock, and whether an act may begin.
//!
//! It counts from before it *sent* its question, the leader from when it *heard* it, each with a margin for clocks that are off. So
//! the holder is done before anybody else can be given the lease.

use crate::mutants::{Mutant, is_active};
use crate::state::Holder;
use crate::timing::LeaseTiming;
use std::collections::BTreeMap;
use std::time::Duration;

/// Questions that may be on their way; the oldest is given up for a newer one.
pub const MAX_OPEN_RENEWALS: usize = 16;

/// How safe the acts under a lease are, and what has to be known for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Grade {
    /// What is acted on turns away every token under one that it has seen. Safe whatever is paused and however clocks run.
    Checked,
    /// It cannot. An act begins only if it ends inside the lease by its own time-out, and who is given the lease next first waits
    /// out the longest act and the longest way. Safe within these bounds.
    Timed {
        /// The longest that an act takes, by a time-out of its own.
        max_act: Duration,
        /// The longest way to what is acted on, and the longest pause of this process between the look at its lease and the act.
        max_delay: Duration,
    },
    /// The act is nothing but an entry of the agreed state. Safe as that is.
    Agreed,
}

impl Grade {
    /// What this promises, in plain words.
    pub fn explain(&self) -> String {
        match self {
            Grade::Checked => {
                "what is acted on checks the token: an act under an old one is turned away, whatever is paused and \
                 however clocks run"
                    .to_string()
            }
            Grade::Timed { max_act, max_delay } => format!(
                "what is acted on checks nothing: safe as long as an act ends within {max_act:?}, nothing is on its way, or \
                 paused between the look at the lease and the act, for over {max_delay:?}, and clocks are off by no more than the \
                 drift allowed. Beyond that two may act at once"
            ),
            Grade::Agreed => "the act is an entry of the agreed state: it counts once, or not at all".to_string(),
        }
    }
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// Shown with every act.
    pub token: u64,
    /// When this process heard of it first.
    pub since: Duration,
    /// Until when it counts on it.
    pub until: Duration,
}

/// Leave to begin an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// To be shown with it.
    pub token: u64,
    /// It has to be over by then, by this process's clock.
    pub until: Duration,
}

/// Why an act may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoPermit {
    /// Another has the lease, or nobody, as far as is known here.
    NotHeld,
    /// There is not enough time left in it; it may go on.
    TooLate,
    /// What the holder before may still have on its way is waited out; until then.
    PreviousHolderMayAct {
        /// By this process's clock.
        until: Duration,
    },
}

/// What a process knows of its own leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldLeases {
    me: Holder,
    timing: LeaseTiming,
    /// The number of the last question, and when those that are not answered were sent.
    last_number: u64,
    sent_at: BTreeMap<u64, Duration>,
    next_renewal: Duration,
    last_answered: u64,
    held: BTreeMap<String, HeldLease>,
    /// Tokens that were given up, until no answer names them any more.
    released: BTreeMap<String, u64>,
}

impl HeldLeases {
    /// Of a start that holds nothing yet.
    pub fn new(me: Holder, timing: LeaseTiming) -> HeldLeases {
        let (sent_at, held, released) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        HeldLeases {
            me,
            timing,
            last_number: 0,
            sent_at,
            next_renewal: Duration::ZERO,
            last_answered: 0,
            held,
            released,
        }
    }

    /// This start.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// The number of the question to be sent now, if one is due; it counts from now, before it is sent.
    pub fn start_renewal(&mut self, now: Duration) -> Option<u64> {
        if now < self.next_renewal {
            return None;
        }
        self.next_renewal = now + self.timing.renewal_interval();
        self.last_number += 1;
        self.sent_at.insert(self.last_number, now);
        if self.sent_at.len() > MAX_OPEN_RENEWALS {
            self.sent_at.pop_first();
        }
        Some(self.last_number)
    }

    /// The next question is due at once.
    pub fn renew_soon(&mut self) {
        self.next_renewal = Duration::ZERO;
    }

    /// When the next question is due.
    pub fn next_renewal_at(&self) -> Duration {
        self.next_renewal
    }

    /// A question was answered: these are held, and go on from when it was sent. Answers may come in any order, or twice.
    pub fn renewed(&mut self, now: Duration, number: u64, leases: &[(String, u64)]) {
        let Some(sent_at) = self.sent_at.remove(&number) else { return };
        let from = if is_active(Mutant::CountsFromReceipt) { now } else { sent_at };
        let until = from + self.timing.holder_ttl();
        for (name, token) in leases {
            // Guards against a lease that was given up, and comes back by an answer from before the fleet heard so: by the time
            // it is counted on again it may be another's.
            if self.released.get(name) == Some(token) && !is_active(Mutant::GivenUpComesBack) {
                continue;
            }
            let held = self.held.get(name).filter(|held| held.token == *token);
            match held {
                Some(held) => {
                    let until = held.until.max(until);
                    let held = HeldLease { until, ..*held };
                    self.held.insert(name.clone(), held);
                }
                // Guards against an old answer that brings back a lease which was lost since.
                None if number > self.last_answered
                    && self.held.get(name).is_none_or(|held| held.token < *token) =>
                {
                    self.held.insert(name.clone(), HeldLease { token: *token, since: now, until });
                }
                None => {}
            }
        }
        if number > self.last_answered {
            self.last_answered = number;
            self.released
                .retain(|name, token| leases.iter().any(|(other, named)| other == name && named == token));
            self.held.retain(|name, held| {
                leases.iter().any(|(other, token)| other == name && *token == held.token)
            });
        }
    }

    /// This process gives a lease up: nothing more begins under it. Returns the token to release.
    pub fn release(&mut self, lease: &str) -> Option<u64> {
        let token = self.held.remove(lease)?.token;
        self.released.insert(lease.to_string(), token);
        Some(token)
    }

    /// What is held at this moment.
    pub fn held(&self, now: Duration, lease: &str) -> Option<HeldLease> {
        self.held.get(lease).copied().filter(|held| now < held.until)
    }

    /// All that is held at this moment.
    pub fn all_held(&self, now: Duration) -> impl Iterator<Item = (&str, HeldLease)> {
        self.held.iter().filter(move |(_, held)| now < held.until).map(|(name, held)| (name.as_str(), *held))
    }

    /// Leave to begin an act now.
    ///
    /// # Errors
    /// Why not.
    pub fn may_act(&self, now: Duration, lease: &str, grade: Grade) -> Result<Permit, NoPermit> {
        let held = self.held(now, lease).ok_or(NoPermit::NotHeld)?;
        let HeldLease { token, since, until } = held;
        match grade {
            Grade::Checked | Grade::Agreed => Ok(Permit { token, until }),
            Grade::Timed { max_act, max_delay } => {
                // Guards against an act of the holder before that is still on its way, or not over.
                let wait_until = since + self.timing.wait_to_outlast(max_act + max_delay);
                if now < wait_until && !is_active(Mutant::ActIsNotWaitedOut) {
                    return Err(NoPermit::PreviousHolderMayAct { until: wait_until });
                }
                if now + max_act > until {
                    return Err(NoPermit::TooLate);
                }
                Ok(Permit { token, until: now + max_act })
            }
        }
    }
}

#[cfg(test)]
mod tests;
