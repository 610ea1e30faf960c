//! A holder's rules: which leases a process holds by its own clock, and whether an act may begin.
//!
//! The holder counts from before it *sends* the renewal request, the leader from when it *receives* the
//! request, each with a margin for clock drift. A lease therefore ends for its holder before any other
//! process can be granted it.

use crate::mutants::{Mutant, is_active};
use crate::state::Holder;
use crate::timing::LeaseTiming;
use std::collections::BTreeMap;
use std::time::Duration;

/// Renewal requests without an answer; beyond this the oldest is forgotten.
pub const MAX_OPEN_RENEWALS: usize = 16;

/// How acts under a lease are protected from overlapping acts of another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Grade {
    /// The resource rejects every token lower than one it has seen. Safe whatever processes are paused and
    /// however clocks run.
    Checked,
    /// The resource cannot check tokens. An act begins only if it ends before the lease does, by a timeout of
    /// its own, and the next holder first waits for the longest act and the longest delay. Safe within these
    /// bounds.
    Timed {
        /// The longest duration of an act, enforced by a timeout.
        max_act: Duration,
        /// The longest delay of a request to the resource, and the longest pause of this process between its
        /// check of the lease and the act.
        max_delay: Duration,
    },
    /// The act is an entry of the replicated log, and as safe as the log.
    Agreed,
}

impl Grade {
    /// Describes the protection for operators.
    pub fn explain(&self) -> String {
        match self {
            Grade::Checked => {
                "the resource checks the token: an act under an old one is rejected, whatever processes are \
                 paused and however clocks run"
                    .to_string()
            }
            Grade::Timed { max_act, max_delay } => format!(
                "the resource checks no token: safe as long as an act ends within {max_act:?}, no request is \
                 delayed, and no process paused between its check of the lease and the act, for over \
                 {max_delay:?}, and clocks drift by no more than the setting allows. Beyond that two may act \
                 at once"
            ),
            Grade::Agreed => {
                "the act is an entry of the replicated state: it takes effect once or not at all".to_string()
            }
        }
    }
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// Fencing token sent with every act.
    pub token: u64,
    /// When this process first learned that it holds the lease.
    pub since: Duration,
    /// When the lease ends by this process's clock.
    pub until: Duration,
}

/// A permission to begin an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    /// The token to send with the act.
    pub token: u64,
    /// When the act has to be over, by this process's clock.
    pub until: Duration,
}

/// Why an act may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NoPermit {
    /// This process does not hold the lease, as far as it knows.
    NotHeld,
    /// The lease ends too soon, unless it is renewed.
    TooLate,
    /// An act of the previous holder may still be running.
    PreviousHolderMayAct {
        /// When it must have ended, by this process's clock.
        until: Duration,
    },
}

/// The leases that this process holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HeldLeases {
    me: Holder,
    timing: LeaseTiming,
    /// The number of the last renewal request, and the send times of those without an answer.
    last_number: u64,
    sent_at: BTreeMap<u64, Duration>,
    next_renewal: Duration,
    last_answered: u64,
    held: BTreeMap<String, HeldLease>,
    /// Released tokens, until no answer names them any more.
    released: BTreeMap<String, u64>,
}

impl HeldLeases {
    /// Creates the state of an incarnation that holds nothing yet.
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

    /// This incarnation.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// The number of the renewal request to send now, if one is due. Its answer counts from now, before it is
    /// sent.
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

    /// Makes the next renewal request due at once.
    pub fn renew_soon(&mut self) {
        self.next_renewal = Duration::ZERO;
    }

    /// When the next renewal request is due.
    pub fn next_renewal_at(&self) -> Duration {
        self.next_renewal
    }

    /// Applies a renewal answer: these leases are held, counted from when the request was sent. Answers may
    /// arrive in any order, or twice.
    pub fn renewed(&mut self, now: Duration, number: u64, leases: &[(String, u64)]) {
        let Some(sent_at) = self.sent_at.remove(&number) else { return };
        let from = if is_active(Mutant::CountsFromReceipt) { now } else { sent_at };
        let until = from + self.timing.holder_ttl();
        for (name, token) in leases {
            // Guards against an answer sent before the release was committed, which would bring back a
            // released lease: by the time it is used another process may hold it.
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
                // Guards against an old answer that brings back a lease lost since.
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

    /// Gives up a lease: no act begins under it any more. Returns the token to release.
    pub fn release(&mut self, lease: &str) -> Option<u64> {
        let token = self.held.remove(lease)?.token;
        self.released.insert(lease.to_string(), token);
        Some(token)
    }

    /// A lease, if it is held at this time.
    pub fn held(&self, now: Duration, lease: &str) -> Option<HeldLease> {
        self.held.get(lease).copied().filter(|held| now < held.until)
    }

    /// All leases held at this time.
    pub fn all_held(&self, now: Duration) -> impl Iterator<Item = (&str, HeldLease)> {
        self.held.iter().filter(move |(_, held)| now < held.until).map(|(name, held)| (name.as_str(), *held))
    }

    /// Checks whether an act may begin now.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn may_act(&self, now: Duration, lease: &str, grade: Grade) -> Result<Permit, NoPermit> {
        let held = self.held(now, lease).ok_or(NoPermit::NotHeld)?;
        let HeldLease { token, since, until } = held;
        match grade {
            Grade::Checked | Grade::Agreed => Ok(Permit { token, until }),
            Grade::Timed { max_act, max_delay } => {
                // Guards against an act of the previous holder that is still running or delayed.
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
