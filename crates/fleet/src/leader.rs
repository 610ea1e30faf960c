//! The leader's rules: when a lease has run out, and whom it may tell that a lease goes on.
//!
//! A leader that was replaced does not know so. It therefore tells nobody that a lease goes on before a majority has said, after it
//! heard the question, that it still leads ([`Leader::request_renewal`], [`Leader::confirmation_succeeded`]). A new leader counts the time of every lease
//! from its own beginning, whatever the one before it had counted.

use crate::mutants::{Mutant, is_active};
use crate::state::{Entry, Fleet, Holder};
use crate::timing::LeaseTiming;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Questions that wait for a majority; more are not answered, and are asked again.
pub const MAX_RENEWAL_REQUESTS: usize = 4096;
/// A member that holds nothing and was not heard of for so many times the lease's is forgotten.
const FORGET_AFTER_TTLS: u32 = 10;

/// A holder's question whether its leases go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RenewalRequest {
    /// Who asks.
    pub holder: Holder,
    /// Which of its questions; comes back with the answer.
    pub number: u64,
}

/// The answer to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfirmedRenewal {
    /// Whose question.
    pub request: RenewalRequest,
    /// What that start holds: leases and tokens. These go on from when it asked; nothing else does.
    pub leases: Vec<(String, u64)>,
    /// Whether it is the present start of its member.
    pub enrolled: bool,
}

/// What a leader keeps beside the agreed state. Made anew with each term, once the first entry of the term is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    timing: LeaseTiming,
    leader_since: Duration,
    heard_at: BTreeMap<Holder, Duration>,
    /// When it saw a token first.
    first_seen: BTreeMap<u64, Duration>,
    /// The last answer that each holder said it has had, and when that was news.
    last_acknowledged: BTreeMap<Holder, (u64, Duration)>,
    /// Tokens that do not go on, as operators took them back or their holder hears no answers; with when that one was heard last
    /// before this was seen.
    not_renewed: BTreeMap<u64, Duration>,
    /// Tokens whose end is on its way into the log.
    expiring: BTreeSet<u64>,
    /// Holders whose end is on its way.
    leaving: BTreeSet<Holder>,
    /// Waits for a majority, in the order in which it came.
    requests: Vec<RenewalRequest>,
    /// How many of them are covered by the confirmation that is under way.
    being_confirmed: usize,
}

impl Leader {
    /// A leader from now on, by this process's clock.
    pub fn new(now: Duration, timing: LeaseTiming) -> Leader {
        Leader {
            timing,
            leader_since: now,
            heard_at: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            last_acknowledged: BTreeMap::new(),
            not_renewed: BTreeMap::new(),
            expiring: BTreeSet::new(),
            leaving: BTreeSet::new(),
            requests: Vec::new(),
            being_confirmed: 0,
        }
    }

    /// A holder asks whether its leases go on. Returns whether there is room for the question.
    pub fn request_renewal(&mut self, now: Duration, request: RenewalRequest) -> bool {
        self.heard_at.insert(request.holder.clone(), now);
        // A later question makes an earlier one needless.
        let waiting = self.requests.iter_mut().skip(self.being_confirmed);
        for other in waiting {
            if other.holder == request.holder {
                other.number = other.number.max(request.number);
                return true;
            }
        }
        if self.requests.len() >= MAX_RENEWAL_REQUESTS {
            return false;
        }
        self.requests.push(request);
        true
    }

    /// A holder says which answer it has had last. Where nobody says so all count as heard.
    pub fn acknowledge_answer(&mut self, now: Duration, holder: &Holder, answer: u64) {
        let last = self.last_acknowledged.entry(holder.clone()).or_insert((answer, now));
        if answer > last.0 {
            *last = (answer, now);
        }
    }

    /// Whether a holder asks, and has had no answer for a lease's time: what it holds is of no use to it.
    pub fn receives_no_answers(&self, now: Duration, holder: &Holder) -> bool {
        let last = self.last_acknowledged.get(holder);
        last.is_some_and(|(_, at)| now.saturating_sub(*at) > self.timing.expiry_wait())
    }

    /// Whether questions are answered without a majority: never, but where that rule is left out.
    pub fn answers_without_majority() -> bool {
        is_active(Mutant::RenewedByAMinority)
    }

    /// Whether a majority is to be asked now: questions wait, and no confirmation is under way that began before them.
    pub fn begin_confirmation(&mut self) -> bool {
        if self.being_confirmed > 0 || self.requests.is_empty() {
            return false;
        }
        self.being_confirmed = self.requests.len();
        true
    }

    /// The confirmation that was under way will not come: this asks anew.
    pub fn confirmation_failed(&mut self) {
        self.being_confirmed = 0;
    }

    /// A majority said that this is the leader, and said so after the questions were heard. `fleet` is the agreed state at least as
    /// far as it was agreed then.
    pub fn confirmation_succeeded(&mut self, fleet: &Fleet) -> Vec<ConfirmedRenewal> {
        let confirmed: Vec<RenewalRequest> = self.requests.drain(..self.being_confirmed).collect();
        self.being_confirmed = 0;
        let answer = |request: RenewalRequest| {
            // Guards against a lease that goes on here while its end is on its way into the log.
            let goes_on = |token: &u64| {
                (!self.expiring.contains(token) || is_active(Mutant::EndingGoesOn))
                    && !self.not_renewed.contains_key(token)
            };
            let leases = fleet.leases().filter(|(_, lease)| {
                lease.holder == request.holder && !lease.revoked && goes_on(&lease.token)
            });
            let leases = leases.map(|(name, lease)| (name.to_string(), lease.token)).collect();
            ConfirmedRenewal { leases, enrolled: fleet.is_present(&request.holder), request }
        };
        confirmed.into_iter().map(answer).collect()
    }

    /// What is to become agreed as time has passed: leases that have run out, waiters and members that are silent. To be called
    /// often; each is said once.
    pub fn tick(&mut self, now: Duration, fleet: &Fleet) -> Vec<Entry> {
        self.tick_with_parts(now, fleet, |_| false)
    }

    /// The same, where parts of the agreed state have something for some starts: when such a one is silent for a lease's time it is
    /// said to be gone, so that others take up what it had. Safe whether it lives or not: what is taken over has a token of its own,
    /// and one that was only cut off takes part again.
    pub fn tick_with_parts(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        has: impl Fn(&Holder) -> bool,
    ) -> Vec<Entry> {
        let waited = self.timing.expiry_wait();
        self.first_seen.retain(|token, _| fleet.leases().any(|(_, lease)| lease.token == *token));
        self.not_renewed.retain(|token, _| fleet.leases().any(|(_, lease)| lease.token == *token));
        self.expiring.retain(|token| fleet.leases().any(|(_, lease)| lease.token == *token));
        let present = |holder: &Holder| fleet.is_present(holder);
        let known =
            |holder: &Holder| present(holder) || fleet.leases().any(|(_, lease)| lease.holder == *holder);
        self.heard_at.retain(|holder, _| known(holder));
        self.last_acknowledged.retain(|holder, _| known(holder));
        let waits: BTreeSet<&Holder> = fleet.leases().flat_map(|(_, lease)| &lease.waiters).collect();
        let holds = |holder: &Holder| fleet.leases().any(|(_, lease)| lease.holder == *holder);
        // One that holds was left a member, and waits for nothing any more: its end is said again once it holds nothing.
        self.leaving.retain(|holder| known(holder) && (waits.contains(holder) || !holds(holder)));
        let mut entries = Vec::new();
        for (name, lease) in fleet.leases() {
            let first_seen = *self.first_seen.entry(lease.token).or_insert(now);
            let first_seen =
                if is_active(Mutant::NewLeaderGrantsAtOnce) { Duration::ZERO } else { first_seen };
            // Guards against an early end under a new leader, which has not heard what the one before it told.
            let mut since = first_seen.max(self.last_heard(&lease.holder));
            // Guards against a holder whose questions arrive and whose answers do not: it would keep a lease that it cannot use.
            if lease.revoked || self.receives_no_answers(now, &lease.holder) {
                // It does not go on from here on, and was told that it does until now: what it was told last is waited out.
                since = *self.not_renewed.entry(lease.token).or_insert(since);
                if lease.revoked && is_active(Mutant::RevokedEndsAtOnce) {
                    since = first_seen;
                }
            } else {
                self.not_renewed.remove(&lease.token);
            }
            if now.saturating_sub(since) > waited && self.expiring.insert(lease.token) {
                entries.push(Entry::Expire { lease: name.to_string(), token: lease.token });
            }
        }
        // One that is silent for a lease's time would hold up those behind it for as long again.
        let members: Vec<Holder> =
            fleet.members().map(|(member, incarnation)| Holder::new(member, incarnation)).collect();
        for holder in &members {
            let silent = now.saturating_sub(self.last_heard(holder));
            let soon = waits.contains(holder) || silent > waited && has(holder);
            let bound = if soon { waited } else { waited * FORGET_AFTER_TTLS };
            if silent > bound
                && (!holds(holder) || waits.contains(holder))
                && self.leaving.insert(holder.clone())
            {
                entries.push(Entry::Gone { holder: holder.clone() });
            }
        }
        entries
    }

    /// When a holder was heard last, as far as that counts: not before this one led.
    fn last_heard(&self, holder: &Holder) -> Duration {
        let heard_at = self.heard_at.get(holder).copied();
        if is_active(Mutant::NewLeaderGrantsAtOnce) {
            return heard_at.unwrap_or_default();
        }
        heard_at.unwrap_or(self.leader_since).max(self.leader_since)
    }

    /// How long ago a member was heard, for operators.
    pub fn heard_ago(&self, now: Duration, holder: &Holder) -> Option<Duration> {
        self.heard_at.get(holder).map(|heard_at| now.saturating_sub(*heard_at))
    }
}

#[cfg(test)]
mod tests;
