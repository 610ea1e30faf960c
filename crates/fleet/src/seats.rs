//! Which disks have a vote: the next change, one at a time, decided by the one that leads.
//!
//! The operator's file names the members that are to vote. A vote belongs to a disk ([`crate::lives`]), so a member whose disk was
//! lost comes back as another voter: it learns first, then the old disk loses its vote, then the new one is given one.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Voters at most, as many as anybody needs.
pub const MAX_VOTERS: usize = 7;

/// A disk that takes part.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seat {
    /// The member that has it.
    pub member: String,
    /// It has a vote; else it learns.
    pub votes: bool,
}

/// The disks that take part, as agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seats {
    /// By the disk's number.
    pub disks: BTreeMap<u64, Seat>,
}

/// A change of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// A disk learns what is agreed.
    Learn {
        /// Its number.
        disk: u64,
        /// Whose it is.
        member: String,
    },
    /// A disk that has learned is given a vote.
    Vote {
        /// Its number.
        disk: u64,
    },
    /// A disk takes part no more.
    Remove {
        /// Its number.
        disk: u64,
    },
}

/// What the one that leads knows beside that.
#[derive(Clone, Debug, Default)]
pub struct Sight {
    /// The members that are to vote.
    pub named: BTreeSet<String>,
    /// The disk that each was heard with last, and how long ago.
    pub here: BTreeMap<String, (u64, Duration)>,
    /// Disks that were heard from lately and have nearly all that is agreed.
    pub caught_up: BTreeSet<u64>,
    /// Who is silent for so long has gone.
    pub gone_after: Duration,
}

impl Seats {
    /// The numbers of those that vote.
    pub fn voters(&self) -> BTreeSet<u64> {
        self.disks.iter().filter(|(_, seat)| seat.votes).map(|(disk, _)| *disk).collect()
    }

    /// The member of a disk.
    pub fn member_of(&self, disk: u64) -> Option<&str> {
        self.disks.get(&disk).map(|seat| seat.member.as_str())
    }

    /// Takes in a change that was agreed.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::Learn { disk, member } => {
                self.disks.entry(*disk).or_insert_with(|| Seat { member: member.clone(), votes: false });
            }
            Change::Vote { disk } => {
                if let Some(seat) = self.disks.get_mut(disk) {
                    seat.votes = true;
                }
            }
            Change::Remove { disk } => drop(self.disks.remove(disk)),
        }
    }

    /// The next change, if one is due; `me` is the disk of the one that leads.
    pub fn next(&self, me: u64, sight: &Sight) -> Option<Change> {
        let is_here = |disk: &u64, seat: &Seat| {
            sight.here.get(&seat.member).is_some_and(|(other, ago)| other == disk && *ago < sight.gone_after)
        };
        // A disk that learns and whose member has another one by now, or is not to vote, is of no use.
        for (disk, seat) in self.disks.iter().filter(|(_, seat)| !seat.votes) {
            let replaced = sight.here.get(&seat.member).is_some_and(|(other, _)| other != disk);
            if !sight.named.contains(&seat.member) || replaced {
                return Some(Change::Remove { disk: *disk });
            }
        }
        for (disk, seat) in self.disks.iter().filter(|(disk, seat)| !seat.votes && is_here(disk, seat)) {
            if !sight.caught_up.contains(disk) {
                continue;
            }
            // Its member's old disk loses its vote first: between the two changes a majority of the others decides, which is up.
            let old = |(other, old): &(&u64, &Seat)| *other != disk && old.votes && old.member == seat.member;
            return Some(match self.disks.iter().find(old) {
                Some((old, _)) => Change::Remove { disk: *old },
                None => Change::Vote { disk: *disk },
            });
        }
        // A voter that the file names no more goes, unless it is the one that leads: that leads until another does.
        for (disk, seat) in self.disks.iter().filter(|(disk, seat)| seat.votes && **disk != me) {
            let rest: Vec<_> =
                self.disks.iter().filter(|(other, seat)| *other != disk && seat.votes).collect();
            let up = rest.iter().filter(|(other, seat)| **other == me || is_here(other, seat)).count();
            if !sight.named.contains(&seat.member) && up > rest.len() / 2 {
                return Some(Change::Remove { disk: *disk });
            }
        }
        let mut learns = sight.named.iter().filter_map(|name| {
            let (disk, ago) = sight.here.get(name)?;
            let has_one = self.disks.contains_key(disk);
            // Guards against a cloned folder: two processes of one name that take each other's seat without end. Whose disk is here
            // is whoever was heard last, so the old one has to be silent for a while.
            let votes_still = self.disks.iter().any(|(other, seat)| {
                seat.member == *name && seat.votes && (*other == me || sight.caught_up.contains(other))
            });
            let fits = self.disks.len() < 2 * MAX_VOTERS && *ago < sight.gone_after;
            (!has_one && !votes_still && fits).then(|| Change::Learn { disk: *disk, member: name.clone() })
        });
        learns.next()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONG: Duration = Duration::from_secs(10);

    /// A fleet that was founded by one and is to have three voters.
    fn founded() -> (Seats, Sight) {
        let mut seats = Seats::default();
        seats.disks.insert(1, Seat { member: "a".into(), votes: true });
        let named = ["a", "b", "c"].map(String::from).into();
        let here =
            [("a", 1), ("b", 2), ("c", 3)].map(|(name, disk)| (name.to_string(), (disk, Duration::ZERO)));
        (seats, Sight { named, here: here.into(), caught_up: [1].into(), gone_after: LONG })
    }

    fn settle(seats: &mut Seats, sight: &Sight) -> Vec<Change> {
        let mut changes = Vec::new();
        while let Some(change) = seats.next(1, sight) {
            seats.apply(&change);
            changes.push(change);
            assert!(changes.len() < 20, "it never settles: {changes:?}");
        }
        changes
    }

    #[test]
    fn those_that_are_named_learn_and_then_vote() {
        let (mut seats, mut sight) = founded();
        settle(&mut seats, &sight);
        assert_eq!(seats.voters(), [1].into());
        sight.caught_up = [1, 3].into();
        settle(&mut seats, &sight);
        assert_eq!(seats.voters(), [1, 3].into());
        sight.caught_up = [1, 2, 3].into();
        assert_eq!(settle(&mut seats, &sight), [Change::Vote { disk: 2 }]);
        assert_eq!(seats.voters(), [1, 2, 3].into());
    }

    #[test]
    fn a_member_that_lost_its_disk_learns_again_and_only_then_its_old_disk_goes() {
        let (mut seats, mut sight) = founded();
        sight.caught_up = [1, 2, 3].into();
        settle(&mut seats, &sight);
        sight.here.insert("b".into(), (4, Duration::ZERO));
        // The old disk was heard a moment ago: it may be another process of the same name.
        assert_eq!(settle(&mut seats, &sight), []);
        sight.caught_up = [1, 3].into();
        assert_eq!(settle(&mut seats, &sight), [Change::Learn { disk: 4, member: "b".into() }]);
        sight.caught_up = [1, 3, 4].into();
        assert_eq!(settle(&mut seats, &sight), [Change::Remove { disk: 2 }, Change::Vote { disk: 4 }]);
        assert_eq!(seats.voters(), [1, 3, 4].into());
    }

    #[test]
    fn who_is_named_no_more_goes_if_a_majority_of_the_rest_is_up() {
        let (mut seats, mut sight) = founded();
        sight.caught_up = [1, 2, 3].into();
        settle(&mut seats, &sight);
        sight.named.remove("c");
        sight.here.insert("b".into(), (2, LONG));
        assert_eq!(settle(&mut seats, &sight), [], "one of two is no majority");
        sight.here.insert("b".into(), (2, Duration::ZERO));
        assert_eq!(settle(&mut seats, &sight), [Change::Remove { disk: 3 }]);
        // The one that leads stays.
        sight.named.remove("a");
        assert_eq!(settle(&mut seats, &sight), []);
    }

    #[test]
    fn a_disk_that_learns_for_nobody_goes() {
        let (mut seats, mut sight) = founded();
        settle(&mut seats, &sight);
        assert_eq!(seats.disks.len(), 3);
        sight.here.insert("c".into(), (9, Duration::ZERO));
        let changes = settle(&mut seats, &sight);
        assert_eq!(changes, [Change::Remove { disk: 3 }, Change::Learn { disk: 9, member: "c".into() }]);
    }
}
