//! Who lines up for which lease. Members say what they would hold; the leader puts as few of them into each line as are needed, so
//! that fifty leases and three hundred members make few entries, and spreads leases over members.

use crate::state::{Entry, Fleet, Holder};
use std::collections::{BTreeMap, BTreeSet};

/// A lease has a holder and this many behind it, less one: ours, so that two deaths at once leave one that takes over by the entry
/// that ends the lease.
pub const LINE: usize = 3;
/// Leases that a member may want.
pub const MAX_WANTS: usize = 256;
/// Entries said in one go.
pub const MOST_AT_ONCE: usize = 64;
/// What was said and is not agreed is said again after so many ticks.
const SAY_AGAIN: u64 = 50;

/// What members want, as far as the leader has heard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    wants: BTreeMap<Holder, BTreeSet<String>>,
    /// What is on its way into the log, and since which tick.
    said: BTreeMap<(String, Holder), u64>,
    ticks: u64,
}

impl Places {
    /// A member says what it would hold, all of it.
    pub fn wants(&mut self, holder: &Holder, names: impl IntoIterator<Item = String>) {
        self.wants.insert(holder.clone(), names.into_iter().take(MAX_WANTS).collect());
    }

    /// Whether a member has said so since this leader began.
    pub fn knows(&self, holder: &Holder) -> bool {
        self.wants.contains_key(holder)
    }

    /// Who is to line up now, of those that are fit for it. To be called often.
    pub fn tick(&mut self, fleet: &Fleet, fit: impl Fn(&Holder) -> bool) -> Vec<Entry> {
        self.ticks += 1;
        let now = self.ticks;
        self.wants.retain(|holder, _| fleet.is_present(holder));
        self.said.retain(|_, since| now - *since < SAY_AGAIN);
        // What each member holds or waits for: the one with the least is next.
        let mut load: BTreeMap<&Holder, usize> = BTreeMap::new();
        for (_, lease) in fleet.leases() {
            for holder in std::iter::once(&lease.holder).chain(&lease.waiters) {
                *load.entry(holder).or_default() += 1;
            }
        }
        let mut wanted: BTreeMap<&str, Vec<&Holder>> = BTreeMap::new();
        for (holder, names) in &self.wants {
            for name in names {
                wanted.entry(name).or_default().push(holder);
            }
        }
        let mut entries = Vec::new();
        for (name, holders) in wanted {
            let lease = fleet.lease(name);
            let in_line = |holder: &Holder| {
                lease.is_some_and(|lease| lease.holder == *holder || lease.waiters.contains(holder))
            };
            let line = lease.map_or(0, |lease| 1 + lease.waiters.len());
            let on_the_way = holders
                .iter()
                .filter(|holder| {
                    !in_line(holder) && self.said.contains_key(&(name.to_string(), (**holder).clone()))
                })
                .count();
            let free = |holder: &&Holder| {
                fit(holder)
                    && !in_line(holder)
                    && !self.said.contains_key(&(name.to_string(), (*holder).clone()))
            };
            let mut candidates: Vec<&Holder> = holders.iter().copied().filter(free).collect();
            for _ in (line + on_the_way)..LINE {
                let Some(place) = (0..candidates.len()).min_by_key(|n| (load.get(candidates[*n]), *n)) else {
                    break;
                };
                if entries.len() >= MOST_AT_ONCE {
                    return entries;
                }
                let holder = candidates.swap_remove(place);
                *load.entry(holder).or_default() += 1;
                self.said.insert((name.to_string(), holder.clone()), now);
                entries.push(Entry::Acquire { lease: name.to_string(), holder: holder.clone() });
            }
        }
        entries
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(members: usize) -> (Fleet, Places, Vec<Holder>) {
        let (mut fleet, mut places) = (Fleet::default(), Places::default());
        let holders: Vec<Holder> = (0..members).map(|n| Holder::new(&format!("n{n:03}"), 1)).collect();
        for holder in &holders {
            fleet.apply(&Entry::Enrol { holder: holder.clone() });
            places.wants(holder, (0..50).map(|n| format!("l{n:02}")));
        }
        (fleet, places, holders)
    }

    /// Fifty leases that three hundred members want make three entries each, and are spread.
    #[test]
    fn few_line_up_and_leases_are_spread() {
        let (mut fleet, mut places, holders) = fleet(300);
        let mut said = 0;
        for _ in 0..10 {
            let entries = places.tick(&fleet, |_| true);
            assert!(entries.len() <= MOST_AT_ONCE);
            said += entries.len();
            entries.iter().for_each(|entry| drop(fleet.apply(entry)));
        }
        assert_eq!((said, fleet.leases().count()), (50 * LINE, 50));
        assert!(fleet.leases().all(|(_, lease)| lease.waiters.len() == LINE - 1));
        let held = |holder| fleet.leases().filter(|(_, lease)| lease.holder == holder).count();
        assert!(holders.into_iter().all(|holder| held(holder) <= 1));
    }

    /// What is on its way is not said twice, and said again once it must have been lost.
    #[test]
    fn what_was_lost_on_the_way_is_said_again() {
        let (fleet, mut places, _) = fleet(2);
        let first = places.tick(&fleet, |_| true).len();
        assert_eq!(first, MOST_AT_ONCE);
        let rest = places.tick(&fleet, |_| true).len();
        assert_eq!(first + rest, 50 * 2);
        for _ in 0..SAY_AGAIN - 2 {
            assert_eq!(places.tick(&fleet, |_| true), []);
        }
        assert_eq!(places.tick(&fleet, |_| true).len(), MOST_AT_ONCE);
    }

    /// A start that has gone lines up for nothing.
    #[test]
    fn an_earlier_start_lines_up_no_more() {
        let (mut fleet, mut places, holders) = fleet(1);
        fleet.apply(&Entry::Enrol { holder: Holder::new(&holders[0].member, 2) });
        assert_eq!(places.tick(&fleet, |_| true), []);
        assert!(!places.knows(&holders[0]));
    }
}
