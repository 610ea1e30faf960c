//! Which disks have a vote. The leader decides on one change at a time.
//!
//! The operator's file names the members that are to vote. A vote belongs to a disk
//! ([`crate::disk_rollback`]), so a member that lost its disk comes back as a new voter: the new disk is
//! added as a learner, the old one is removed, and the new one is given a vote.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Voters at most.
pub const MAX_VOTERS: usize = 7;

/// A disk that takes part in consensus.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSlot {
    /// The member that has the disk.
    pub member: String,
    /// Whether it has a vote; otherwise it is a learner.
    pub votes: bool,
}

/// The committed set of disks that take part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterSlots {
    /// The slots by disk number.
    pub disks: BTreeMap<u64, VoterSlot>,
}

/// A change of the voter slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VoterSlotChange {
    /// Adds a disk as a learner.
    AddLearner {
        /// The disk.
        disk: u64,
        /// Its member.
        member: String,
    },
    /// Gives a learner a vote.
    Promote {
        /// The disk.
        disk: u64,
    },
    /// Removes a disk.
    Remove {
        /// The disk.
        disk: u64,
    },
}

/// What the leader knows beside the committed slots.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The members that are to vote, by the operator's file.
    pub configured: BTreeSet<String>,
    /// The disk that each member last sent a message with, and how long ago.
    pub last_heard: BTreeMap<String, (u64, Duration)>,
    /// Disks that were active lately and have nearly the whole log.
    pub caught_up: BTreeSet<u64>,
    /// After this time without a message a member counts as silent.
    pub silent_after: Duration,
}

impl VoterSlots {
    /// The disks that have a vote.
    pub fn voters(&self) -> BTreeSet<u64> {
        self.disks.iter().filter(|(_, slot)| slot.votes).map(|(disk, _)| *disk).collect()
    }

    /// The member that has a disk.
    pub fn member_of(&self, disk: u64) -> Option<&str> {
        self.disks.get(&disk).map(|slot| slot.member.as_str())
    }

    /// Applies a committed change.
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

    /// The next change, if one is due; `me` is the leader's disk.
    pub fn next_change(&self, me: u64, observed: &Observed) -> Option<VoterSlotChange> {
        let is_here = |disk: &u64, slot: &VoterSlot| {
            observed
                .last_heard
                .get(&slot.member)
                .is_some_and(|(other, ago)| other == disk && *ago < observed.silent_after)
        };
        // A learner is of no use once its member has another disk or is no longer to vote.
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
            // The member's old disk is removed first: between the two changes the quorum consists of other
            // voters, which are up.
            let old =
                |(other, old): &(&u64, &VoterSlot)| *other != disk && old.votes && old.member == slot.member;
            return Some(match self.disks.iter().find(old) {
                Some((old, _)) => VoterSlotChange::Remove { disk: *old },
                None => VoterSlotChange::Promote { disk: *disk },
            });
        }
        // A voter that the file no longer names is removed, unless it is the leader, which stays until
        // another one is elected.
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
            // Guards against a cloned folder, where two processes of one name would replace each other's slot
            // endlessly. The last disk heard from counts as the member's, so the old one has to be silent for
            // a while first.
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

    /// A fleet founded by one voter that is to have three.
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

    fn apply_all_changes(voter_slots: &mut VoterSlots, observed: &Observed) -> Vec<VoterSlotChange> {
        let mut changes = Vec::new();
        while let Some(change) = voter_slots.next_change(1, observed) {
            voter_slots.apply(&change);
            changes.push(change);
            assert!(changes.len() < 20, "it does not converge: {changes:?}");
        }
        changes
    }

    #[test]
    fn configured_members_become_learners_and_then_voters() {
        let (mut voter_slots, mut observed) = founded();
        apply_all_changes(&mut voter_slots, &observed);
        assert_eq!(voter_slots.voters(), [1].into());
        observed.caught_up = [1, 3].into();
        apply_all_changes(&mut voter_slots, &observed);
        assert_eq!(voter_slots.voters(), [1, 3].into());
        observed.caught_up = [1, 2, 3].into();
        assert_eq!(apply_all_changes(&mut voter_slots, &observed), [VoterSlotChange::Promote { disk: 2 }]);
        assert_eq!(voter_slots.voters(), [1, 2, 3].into());
    }

    #[test]
    fn the_old_disk_of_a_member_is_removed_only_after_its_new_one_has_caught_up() {
        let (mut voter_slots, mut observed) = founded();
        observed.caught_up = [1, 2, 3].into();
        apply_all_changes(&mut voter_slots, &observed);
        observed.last_heard.insert("b".into(), (4, Duration::ZERO));
        // The old disk was heard a moment ago: it may belong to another process of the same name.
        assert_eq!(apply_all_changes(&mut voter_slots, &observed), []);
        observed.caught_up = [1, 3].into();
        assert_eq!(
            apply_all_changes(&mut voter_slots, &observed),
            [VoterSlotChange::AddLearner { disk: 4, member: "b".into() }]
        );
        observed.caught_up = [1, 3, 4].into();
        assert_eq!(
            apply_all_changes(&mut voter_slots, &observed),
            [VoterSlotChange::Remove { disk: 2 }, VoterSlotChange::Promote { disk: 4 }]
        );
        assert_eq!(voter_slots.voters(), [1, 3, 4].into());
    }

    #[test]
    fn a_voter_no_longer_configured_is_removed_if_a_majority_of_the_rest_is_up() {
        let (mut voter_slots, mut observed) = founded();
        observed.caught_up = [1, 2, 3].into();
        apply_all_changes(&mut voter_slots, &observed);
        observed.configured.remove("c");
        observed.last_heard.insert("b".into(), (2, LONG));
        assert_eq!(apply_all_changes(&mut voter_slots, &observed), [], "one of two is no majority");
        observed.last_heard.insert("b".into(), (2, Duration::ZERO));
        assert_eq!(apply_all_changes(&mut voter_slots, &observed), [VoterSlotChange::Remove { disk: 3 }]);
        // The leader stays.
        observed.configured.remove("a");
        assert_eq!(apply_all_changes(&mut voter_slots, &observed), []);
    }

    #[test]
    fn a_learner_whose_member_has_another_disk_is_removed() {
        let (mut voter_slots, mut observed) = founded();
        apply_all_changes(&mut voter_slots, &observed);
        assert_eq!(voter_slots.disks.len(), 3);
        observed.last_heard.insert("c".into(), (9, Duration::ZERO));
        let changes = apply_all_changes(&mut voter_slots, &observed);
        assert_eq!(
            changes,
            [
                VoterSlotChange::Remove { disk: 3 },
                VoterSlotChange::AddLearner { disk: 9, member: "c".into() }
            ]
        );
    }
}
