//! The leader's rules: when a lease has expired, and which holders may be sent a renewal.
//!
//! A replaced leader does not know that it was replaced. It therefore confirms no renewal before a majority
//! has acknowledged, after the request arrived, that it still leads ([`Leader::request_renewal`],
//! [`Leader::confirmation_succeeded`]). A new leader counts the time of every lease from the start of its own
//! term, whatever its predecessor had counted.

use crate::mutants::{Mutant, is_active};
use crate::state::{Entry, Fleet, Holder};
use crate::timing::LeaseTiming;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Renewal requests waiting for a majority; further ones are dropped, and their senders retry.
pub const MAX_RENEWAL_REQUESTS: usize = 4096;
/// A member that holds nothing is removed after this many lease TTLs of silence.
const FORGET_AFTER_TTLS: u32 = 10;

/// A holder's request to renew all its leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RenewalRequest {
    /// The requester.
    pub holder: Holder,
    /// The requester's number for it, returned with the answer.
    pub number: u64,
}

/// A renewal that a majority has confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfirmedRenewal {
    /// The request.
    pub request: RenewalRequest,
    /// The leases and tokens held by the requester, renewed as of the time it sent the request. No other
    /// lease is renewed.
    pub leases: Vec<(String, u64)>,
    /// Whether the requester is the current incarnation of its member.
    pub enrolled: bool,
}

/// The leader's own state beside the replicated state. Created anew in each term, once the first entry of the
/// term is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    timing: LeaseTiming,
    leader_since: Duration,
    heard_at: BTreeMap<Holder, Duration>,
    /// When this leader first saw each token.
    first_seen: BTreeMap<u64, Duration>,
    /// The last answer that each holder has acknowledged, and when that number last grew.
    last_acknowledged: BTreeMap<Holder, (u64, Duration)>,
    /// Tokens that are not renewed, because the lease was revoked or the holder receives no answers, with the
    /// start of the wait for their expiry.
    not_renewed: BTreeMap<u64, Duration>,
    /// Tokens whose `Expire` entry is proposed and not yet applied.
    expiring: BTreeSet<u64>,
    /// Holders whose `Gone` entry is proposed and not yet applied.
    leaving: BTreeSet<Holder>,
    /// Requests waiting for a majority, in order of arrival.
    requests: Vec<RenewalRequest>,
    /// How many of them the confirmation in progress covers.
    being_confirmed: usize,
}

impl Leader {
    /// Starts a leader at this time of the process's clock.
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

    /// Records a renewal request. Returns whether it was accepted.
    pub fn request_renewal(&mut self, now: Duration, request: RenewalRequest) -> bool {
        self.heard_at.insert(request.holder.clone(), now);
        // A later request replaces an earlier one of the same holder.
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

    /// Records the last answer that a holder has received. Holders that never report one count as receiving
    /// all.
    pub fn acknowledge_answer(&mut self, now: Duration, holder: &Holder, answer: u64) {
        let last = self.last_acknowledged.entry(holder.clone()).or_insert((answer, now));
        if answer > last.0 {
            *last = (answer, now);
        }
    }

    /// Whether a holder sends requests but has received no answer for a whole lease TTL, so that it cannot
    /// use its leases.
    pub fn receives_no_answers(&self, now: Duration, holder: &Holder) -> bool {
        let last = self.last_acknowledged.get(holder);
        last.is_some_and(|(_, at)| now.saturating_sub(*at) > self.timing.expiry_wait())
    }

    /// Whether requests are answered without a majority; only under the mutant that removes this rule.
    pub fn answers_without_majority() -> bool {
        is_active(Mutant::RenewedByAMinority)
    }

    /// Whether a confirmation has to start now: requests are waiting and no confirmation is in progress.
    /// Marks the waiting requests as covered by it.
    pub fn begin_confirmation(&mut self) -> bool {
        if self.being_confirmed > 0 || self.requests.is_empty() {
            return false;
        }
        self.being_confirmed = self.requests.len();
        true
    }

    /// Drops the confirmation in progress, so that the next one is started at once.
    pub fn confirmation_failed(&mut self) {
        self.being_confirmed = 0;
    }

    /// Returns the answers, after a majority has confirmed that this is the leader since the covered requests
    /// arrived. `fleet` is the replicated state at least as far as it was committed at that time.
    pub fn confirmation_succeeded(&mut self, fleet: &Fleet) -> Vec<ConfirmedRenewal> {
        let confirmed: Vec<RenewalRequest> = self.requests.drain(..self.being_confirmed).collect();
        self.being_confirmed = 0;
        let answer = |request: RenewalRequest| {
            // Guards against renewing a lease whose expiry is already proposed.
            let is_renewed = |token: &u64| {
                (!self.expiring.contains(token) || is_active(Mutant::EndingGoesOn))
                    && !self.not_renewed.contains_key(token)
            };
            let leases = fleet.leases().filter(|(_, lease)| {
                lease.holder == request.holder && !lease.revoked && is_renewed(&lease.token)
            });
            let leases = leases.map(|(name, lease)| (name.to_string(), lease.token)).collect();
            ConfirmedRenewal { leases, enrolled: fleet.is_present(&request.holder), request }
        };
        confirmed.into_iter().map(answer).collect()
    }

    /// Returns the entries that have become due with time: expired leases, and silent candidates and members.
    /// To be called often; each entry is returned once.
    pub fn tick(&mut self, now: Duration, fleet: &Fleet) -> Vec<Entry> {
        self.tick_with_parts(now, fleet, |_| false)
    }

    /// Does the same where parts of the replicated state have data for some incarnations. Such an incarnation
    /// is removed after one lease TTL of silence, so that others can take over its data. This is safe even if
    /// it is alive: what is taken over gets a token of its own, and an incarnation that was only partitioned
    /// off enrols again.
    pub fn tick_with_parts(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        has_data: impl Fn(&Holder) -> bool,
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
        let candidates: BTreeSet<&Holder> = fleet.leases().flat_map(|(_, lease)| &lease.candidates).collect();
        let holds = |holder: &Holder| fleet.leases().any(|(_, lease)| lease.holder == *holder);
        // A silent holder stays a member until its last lease is passed on; then its `Gone` entry is proposed
        // again.
        self.leaving.retain(|holder| known(holder) && (candidates.contains(holder) || !holds(holder)));
        let mut entries = Vec::new();
        for (name, lease) in fleet.leases() {
            let first_seen = *self.first_seen.entry(lease.token).or_insert(now);
            let first_seen =
                if is_active(Mutant::NewLeaderGrantsAtOnce) { Duration::ZERO } else { first_seen };
            // Guards against an early expiry under a new leader, which does not know its predecessor's
            // answers.
            let mut since = first_seen.max(self.last_heard(&lease.holder));
            // Guards against a holder whose requests arrive but whose answers are lost: it would keep a lease
            // that it cannot use.
            if lease.revoked || self.receives_no_answers(now, &lease.holder) {
                // The lease is not renewed from now on. The holder was sent renewals until now, so the last
                // one is waited out.
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
        // A silent candidate would delay those queued behind it by another lease TTL.
        let members: Vec<Holder> =
            fleet.members().map(|(member, incarnation)| Holder::new(member, incarnation)).collect();
        for holder in &members {
            let silence = now.saturating_sub(self.last_heard(holder));
            let soon = candidates.contains(holder) || silence > waited && has_data(holder);
            let bound = if soon { waited } else { waited * FORGET_AFTER_TTLS };
            if silence > bound
                && (!holds(holder) || candidates.contains(holder))
                && self.leaving.insert(holder.clone())
            {
                entries.push(Entry::Gone { holder: holder.clone() });
            }
        }
        entries
    }

    /// When a holder was last heard from, but no earlier than the start of this leader's term.
    fn last_heard(&self, holder: &Holder) -> Duration {
        let heard_at = self.heard_at.get(holder).copied();
        if is_active(Mutant::NewLeaderGrantsAtOnce) {
            return heard_at.unwrap_or_default();
        }
        heard_at.unwrap_or(self.leader_since).max(self.leader_since)
    }

    /// How long ago a member was last heard from, for operators.
    pub fn heard_ago(&self, now: Duration, holder: &Holder) -> Option<Duration> {
        self.heard_at.get(holder).map(|heard_at| now.saturating_sub(*heard_at))
    }
}

#[cfg(test)]
mod tests;
