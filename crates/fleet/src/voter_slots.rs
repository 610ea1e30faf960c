//! Which disks have a vote: the next change, one at a time, decided by the one that leads.
//!
//! The operator's file names the members that are to vote. A vote belongs to a disk ([`crate::disk_rollback`]), so a member whose disk was
//! lost comes back as another voter: it learns first, then the old disk loses its vote, then the new one is given one.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Voters at most, as many as anybody needs.
pub const MAX_VOTERS: usize = 7;

/// A disk that takes part.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSlot {
    /// The member that has it.
    pub member: String,
    /// It has a vote; else it learns.
    pub votes: bool,
}

/// The disks that take part, as agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSlots {
    /// By the disk's number.
    pub disks: BTreeMap<u64, VoterSlot>,
}

/// A change of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoterSlotChange {
    /// A disk learns what is agreed.
    AddLearner {
        /// Its number.
        disk: u64,
        /// Whose it is.
        member: String,
    },
    /// A disk that has learned is given a vote.
    Promote {
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
pub struct Observed {
    /// The members that are to vote.
    pub configured: BTreeSet<String>,
    /// The disk that each was heard with last, and how long ago.
    pub last_heard: BTreeMap<String, (u64, Duration)>,
    /// Disks that were heard from lately and have nearly all that is agreed.
    pub caught_up: BTreeSet<u64>,
    /// Who is silent for so long has gone.
    pub silent_after: Duration,
}

impl VoterSlots {
    /// The numbers of those that vote.
    pub fn voters(&self) -> BTreeSet<u64> {
        self.disks.iter().filter(|(_, slot)| slot.votes).map(|(disk, _)| *disk).collect()
    }

    /// The member of a disk.
    pub fn member_of(&self, disk: u64) -> Option<&str> {
        self.disks.get(&disk).map(|slot| slot.member.as_str())
    }

    /// Takes in a change that was agreed.
    pub fn apply(&mut self, change: &VoterSlotChange) {
        match change {
            VoterSlotChange::AddLearner { disk, member } => {
                self.disks.entry(*disk).or_insert_with(|| VoterSlot { member: member.clone(), votes: false });
            }
            VoterSlotChange::Promote { disk } => {
                if let Some(slot) = self.disks.get_mut(disk) {
                    slot.votes = true;
                }
            }
            VoterSlotChange::Remove { disk } => drop(self.disks.remove(disk)),
        }
    }

    /// The next change, if one is due; `me` is the disk of the one that leads.
    pub fn next_change(&self, me: u64, observed: &Observed) -> Option<VoterSlotChange> {
        let is_here = |disk: &u64, slot: &VoterSlot| {
            observed
                .last_heard
                .get(&slot.member)
                .is_some_and(|(other, ago)| other == disk && *ago < observed.silent_after)
        };
        // A disk that learns and whose member has another one by now, or is not to vote, is of no use.
        for (disk, slot) in self.disks.iter().filter(|(_, slot)| !slot.votes) {
            let replaced = observed.last_heard.get(&slot.member).is_some_and(|(other, _)| other != disk);
            if !observed.configured.contains(&slot.member) || replaced {
                return Some(VoterSlotChange::Remove { disk: *disk });
            }
        }
        for (disk, slot) in self.disks.iter().filter(|(disk, slot)| !slot.votes && is_here(disk, slot)) {
            if !observed.caught_up.contains(disk) {
                continue;
            }
            // Its member's old disk loses its vote first: between the two changes a majority of the others decides, which is up.
            let old =
                |(other, old): &(&u64, &VoterSlot)| *other != disk && old.votes && old.member == slot.member;
            return Some(match self.disks.iter().find(old) {
                Some((old, _)) => VoterSlotChange::Remove { disk: *old },
                None => VoterSlotChange::Promote { disk: *disk },
            });
        }
        // A voter that the file names no more goes, unless it is the one that leads: that leads until another does.
        for (disk, slot) in self.disks.iter().filter(|(disk, slot)| slot.votes && **disk != me) {
            let rest: Vec<_> =
                self.disks.iter().filter(|(other, slot)| *other != disk && slot.votes).collect();
            let up = rest.iter().filter(|(other, slot)| **other == me || is_here(other, slot)).count();
            if !observed.configured.contains(&slot.member) && up > rest.len() / 2 {
                return Some(VoterSlotChange::Remove { disk: *disk });
            }
        }
        let mut learns = observed.configured.iter().filter_map(|name| {
            let (disk, ago) = observed.last_heard.get(name)?;
            let has_one = self.disks.contains_key(disk);
            // Guards against a cloned folder: two processes of one name that take each other's seat without end. Whose disk is here
            // is whoever was heard last, so the old one has to be silent for a while.
            let old_disk_votes = self.disks.iter().any(|(other, slot)| {
                slot.member == *name && slot.votes && (*other == me || observed.caught_up.contains(other))
            });
            let fits = self.disks.len() < 2 * MAX_VOTERS && *ago < observed.silent_after;
            (!has_one && !old_disk_votes && fits)
                .then(|| VoterSlotChange::AddLearner { disk: *disk, member: name.clone() })
        });
        learns.next()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LONG: Duration = Duration::from_secs(10);

    /// A fleet that was founded by one and is to have three voters.
    fn founded() -> (VoterSlots, Observed) {
        let mut voter_slots = VoterSlots::default();
        voter_slots.disks.insert(1, VoterSlot { member: "a".into(), votes: true });
        let configured = ["a", "b", "c"].map(String::from).into();
        let last_heard =
            [("a", 1), ("b", 2), ("c", 3)].map(|(name, disk)| (name.to_string(), (disk, Duration::ZERO)));
        (
            voter_slots,
            Observed { configured, last_heard: last_heard.into(), caught_up: [1].into(), silent_after: LONG },
        )
    }

    fn settle(voter_slots: &mut VoterSlots, observed: &Observed) -> Vec<VoterSlotChange> {
        let mut changes = Vec::new();
        while let Some(change) = voter_slots.next_change(1, observed) {
            voter_slots.apply(&change);
            changes.push(change);
            assert!(changes.len() < 20, "it never settles: {changes:?}");
        }
        changes
    }

    #[test]
    fn those_that_are_named_learn_and_then_vote() {
        let (mut voter_slots, mut observed) = founded();
        settle(&mut voter_slots, &observed);
        assert_eq!(voter_slots.voters(), [1].into());
        observed.caught_up = [1, 3].into();
        settle(&mut voter_slots, &observed);
        assert_eq!(voter_slots.voters(), [1, 3].into());
        observed.caught_up = [1, 2, 3].into();
        assert_eq!(settle(&mut voter_slots, &observed), [VoterSlotChange::Promote { disk: 2 }]);
        assert_eq!(voter_slots.voters(), [1, 2, 3].into());
    }

    #[test]
    fn a_member_that_lost_its_disk_learns_again_and_only_then_its_old_disk_goes() {
        let (mut voter_slots, mut observed) = founded();
        observed.caught_up = [1, 2, 3].into();
        settle(&mut voter_slots, &observed);
        observed.last_heard.insert("b".into(), (4, Duration::ZERO));
        // The old disk was heard a moment ago: it may be another process of the same name.
        assert_eq!(settle(&mut voter_slots, &observed), []);
        observed.caught_up = [1, 3].into();
        assert_eq!(
            settle(&mut voter_slots, &observed),
            [VoterSlotChange::AddLearner { disk: 4, member: "b".into() }]
        );
        observed.caught_up = [1, 3, 4].into();
        assert_eq!(
            settle(&mut voter_slots, &observed),
            [VoterSlotChange::Remove { disk: 2 }, VoterSlotChange::Promote { disk: 4 }]
        );
        assert_eq!(voter_slots.voters(), [1, 3, 4].into());
    }

    #[test]
    fn who_is_named_no_more_goes_if_a_majority_of_the_rest_is_up() {
        let (mut voter_slots, mut observed) = founded();
        observed.caught_up = [1, 2, 3].into();
        settle(&mut voter_slots, &observed);
        observed.configured.remove("c");
        observed.last_heard.insert("b".into(), (2, LONG));
        assert_eq!(settle(&mut voter_slots, &observed), [], "one of two is no majority");
        observed.last_heard.insert("b".into(), (2, Duration::ZERO));
        assert_eq!(settle(&mut voter_slots, &observed), [VoterSlotChange::Remove { disk: 3 }]);
        // The one that leads stays.
        observed.configured.remove("a");
        assert_eq!(settle(&mut voter_slots, &observed), []);
    }

    #[test]
    fn a_disk_that_learns_for_nobody_goes() {
        let (mut voter_slots, mut observed) = founded();
        settle(&mut voter_slots, &observed);
        assert_eq!(voter_slots.disks.len(), 3);
        observed.last_heard.insert("c".into(), (9, Duration::ZERO));
        let changes = settle(&mut voter_slots, &observed);
        assert_eq!(
            changes,
            [
                VoterSlotChange::Remove { disk: 3 },
                VoterSlotChange::AddLearner { disk: 9, member: "c".into() }
            ]
        );
    }
}
