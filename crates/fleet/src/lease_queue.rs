//! Who is queued for which lease. Members report the leases that they want; the leader queues only as many
//! candidates for each lease as are needed, so that fifty leases and three hundred members need few entries,
//! and spreads the leases over the members.

use crate::state::{Entry, Fleet, Holder};
use std::collections::{BTreeMap, BTreeSet};

/// Length of a lease's queue, its holder included. With two candidates behind the holder, one takes over by
/// the entry that expires the lease even if two processes fail at once.
pub const QUEUE_LENGTH: usize = 3;
/// Leases that one member may want.
pub const MAX_WANTED_LEASES: usize = 256;
/// Entries proposed in one tick.
pub const MAX_ENTRIES_PER_TICK: usize = 64;
/// A proposed entry that is not committed after this is proposed again.
const PROPOSE_AGAIN_TICKS: u64 = 50;

/// The leases that members want, as far as the leader knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseQueue {
    wanted: BTreeMap<Holder, BTreeSet<String>>,
    /// Entries proposed and not yet committed, with the tick of the proposal.
    proposed: BTreeMap<(String, Holder), u64>,
    ticks: u64,
}

impl LeaseQueue {
    /// Sets all the leases that a member wants.
    pub fn set_wanted(&mut self, holder: &Holder, names: impl IntoIterator<Item = String>) {
        self.wanted.insert(holder.clone(), names.into_iter().take(MAX_WANTED_LEASES).collect());
    }

    /// Whether a member has reported its wanted leases to this leader.
    pub fn has_wanted(&self, holder: &Holder) -> bool {
        self.wanted.contains_key(holder)
    }

    /// Returns the requests to propose now, for `eligible` candidates only. To be called often.
    pub fn tick(&mut self, fleet: &Fleet, eligible: impl Fn(&Holder) -> bool) -> Vec<Entry> {
        self.ticks += 1;
        let now = self.ticks;
        self.wanted.retain(|holder, _| fleet.is_present(holder));
        self.proposed.retain(|_, since| now - *since < PROPOSE_AGAIN_TICKS);
        // The number of leases that each member holds or is queued for; the least loaded member is queued
        // next.
        let mut load: BTreeMap<&Holder, usize> = BTreeMap::new();
        for (_, lease) in fleet.leases() {
            for holder in std::iter::once(&lease.holder).chain(&lease.candidates) {
                *load.entry(holder).or_default() += 1;
            }
        }
        let mut wanted: BTreeMap<&str, Vec<&Holder>> = BTreeMap::new();
        for (holder, names) in &self.wanted {
            for name in names {
                wanted.entry(name).or_default().push(holder);
            }
        }
        let mut entries = Vec::new();
        for (name, holders) in wanted {
            let lease = fleet.lease(name);
            let is_queued = |holder: &Holder| {
                lease.is_some_and(|lease| lease.holder == *holder || lease.candidates.contains(holder))
            };
            let queued = lease.map_or(0, |lease| 1 + lease.candidates.len());
            let being_proposed = holders
                .iter()
                .filter(|holder| {
                    !is_queued(holder) && self.proposed.contains_key(&(name.to_string(), (**holder).clone()))
                })
                .count();
            let may_be_queued = |holder: &&Holder| {
                eligible(holder)
                    && !is_queued(holder)
                    && !self.proposed.contains_key(&(name.to_string(), (*holder).clone()))
            };
            let mut candidates: Vec<&Holder> = holders.iter().copied().filter(may_be_queued).collect();
            for _ in (queued + being_proposed)..QUEUE_LENGTH {
                let Some(position) = (0..candidates.len()).min_by_key(|n| (load.get(candidates[*n]), *n))
                else {
                    break;
                };
                if entries.len() >= MAX_ENTRIES_PER_TICK {
                    return entries;
                }
                let holder = candidates.swap_remove(position);
                *load.entry(holder).or_default() += 1;
                self.proposed.insert((name.to_string(), holder.clone()), now);
                entries.push(Entry::Acquire { lease: name.to_string(), holder: holder.clone() });
            }
        }
        entries
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(members: usize) -> (Fleet, LeaseQueue, Vec<Holder>) {
        let (mut fleet, mut lease_queue) = (Fleet::default(), LeaseQueue::default());
        let holders: Vec<Holder> = (0..members).map(|n| Holder::new(&format!("n{n:03}"), 1)).collect();
        for holder in &holders {
            fleet.apply(&Entry::Enrol { holder: holder.clone() });
            lease_queue.set_wanted(holder, (0..50).map(|n| format!("l{n:02}")));
        }
        (fleet, lease_queue, holders)
    }

    /// Fifty leases wanted by three hundred members need three entries each and are spread over the members.
    #[test]
    fn few_candidates_are_queued_and_leases_are_spread() {
        let (mut fleet, mut lease_queue, holders) = fleet(300);
        let mut proposed = 0;
        for _ in 0..10 {
            let entries = lease_queue.tick(&fleet, |_| true);
            assert!(entries.len() <= MAX_ENTRIES_PER_TICK);
            proposed += entries.len();
            entries.iter().for_each(|entry| drop(fleet.apply(entry)));
        }
        assert_eq!((proposed, fleet.leases().count()), (50 * QUEUE_LENGTH, 50));
        assert!(fleet.leases().all(|(_, lease)| lease.candidates.len() == QUEUE_LENGTH - 1));
        let held = |holder| fleet.leases().filter(|(_, lease)| lease.holder == holder).count();
        assert!(holders.into_iter().all(|holder| held(holder) <= 1));
    }

    /// A proposed entry is not proposed twice, until it must have been lost.
    #[test]
    fn a_lost_proposal_is_proposed_again() {
        let (fleet, mut lease_queue, _) = fleet(2);
        let first = lease_queue.tick(&fleet, |_| true).len();
        assert_eq!(first, MAX_ENTRIES_PER_TICK);
        let rest = lease_queue.tick(&fleet, |_| true).len();
        assert_eq!(first + rest, 50 * 2);
        for _ in 0..PROPOSE_AGAIN_TICKS - 2 {
            assert_eq!(lease_queue.tick(&fleet, |_| true), []);
        }
        assert_eq!(lease_queue.tick(&fleet, |_| true).len(), MAX_ENTRIES_PER_TICK);
    }

    /// An earlier incarnation is queued for nothing.
    #[test]
    fn an_earlier_incarnation_is_not_queued() {
        let (mut fleet, mut lease_queue, holders) = fleet(1);
        fleet.apply(&Entry::Enrol { holder: Holder::new(&holders[0].member, 2) });
        assert_eq!(lease_queue.tick(&fleet, |_| true), []);
        assert!(!lease_queue.has_wanted(&holders[0]));
    }
}
