//! Detection of voters' disks that were rolled back to an earlier state, so that such a disk does not vote.
//!
//! A vote belongs to a disk, not to a name. Each disk gets a random number when it is created, so an empty
//! disk is a new voter, which has acknowledged nothing and gets a vote only from the others. A disk restored
//! to an earlier state still has its number, but may have lost votes or entries that it acknowledged. Each
//! incarnation of a voter therefore increments an incarnation number on its disk and draws a nonce, and takes
//! no part in consensus before so many other voters have stored that number that they are a majority with it
//! ([`Admission`]). They reject it ([`VoterIncarnations::check_incarnation`]) if they know a later
//! incarnation of that disk, the same one with another nonce, or a term or log position beyond what the disk
//! has.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Ticks for which a voter waits for all others; after that a majority with it is enough. Long enough for
/// several round trips, so that a voter that is up and knows of a later incarnation is heard.
pub const WAIT_FOR_ALL_TICKS: u64 = 20;
/// Disks that a voter keeps data of.
pub const MAX_DISKS: usize = 64;

/// The end of a log: the term of its last entry, and that entry's index. It never decreases on an intact
/// disk, as entries are truncated only in favour of entries of a later term.
pub type Position = (u64, u64);

/// An incarnation of a voter, as announced by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterIncarnation {
    /// The number of its disk.
    pub disk: u64,
    /// Number of the incarnation on that disk; incremented and stored before any message is sent.
    pub number: u64,
    /// Drawn at random for this incarnation.
    pub nonce: u64,
    /// The last term stored on the disk.
    pub term: u64,
    /// The end of the log on the disk.
    pub last_position: Position,
}

/// What is stored of another voter's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnation {
    /// The number of the incarnation.
    pub number: u64,
    /// Its nonce.
    pub nonce: u64,
}

/// The term and log position that a voter has acknowledged to this process since this process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    term: u64,
    last_position: Position,
}

impl Progress {
    fn max(self, other: Progress) -> Progress {
        Progress {
            term: self.term.max(other.term),
            last_position: self.last_position.max(other.last_position),
        }
    }
}

/// The same, by incarnation: an announcement may arrive late, when its sender has already acknowledged more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DiskProgress {
    /// The latest known incarnation.
    number: u64,
    current: Progress,
    /// In all incarnations before it.
    earlier: Progress,
}

impl DiskProgress {
    fn in_incarnation(&mut self, number: u64) -> Option<&mut Progress> {
        if number > self.number {
            *self = DiskProgress {
                number,
                current: Progress::default(),
                earlier: self.earlier.max(self.current),
            };
        }
        (number == self.number).then_some(&mut self.current)
    }
}

/// The evidence that a disk was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolledBack {
    /// A later incarnation of the disk is known.
    LaterIncarnation,
    /// Another incarnation with the same number is known.
    OtherNonce,
    /// The disk took part in a later term.
    LaterTerm,
    /// The log on the disk was longer.
    LongerLog,
}

impl std::fmt::Display for RolledBack {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            RolledBack::LaterIncarnation => "a later incarnation of this disk is known",
            RolledBack::OtherNonce => "another incarnation of this disk with the same number is known",
            RolledBack::LaterTerm => "this disk took part in a later term",
            RolledBack::LongerLog => "the log on this disk was longer",
        })
    }
}

/// What a voter knows of the other voters' disks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterIncarnations {
    known: BTreeMap<u64, KnownIncarnation>,
    progress: BTreeMap<u64, DiskProgress>,
}

impl VoterIncarnations {
    /// Starts with what earlier incarnations of this voter have stored.
    pub fn new(known: BTreeMap<u64, KnownIncarnation>) -> VoterIncarnations {
        VoterIncarnations { known, progress: BTreeMap::new() }
    }

    /// Checks an announced incarnation. A returned value has to be stored before the acknowledgement is sent.
    ///
    /// # Errors
    /// The disk was rolled back.
    pub fn check_incarnation(
        &mut self,
        announced: &VoterIncarnation,
    ) -> Result<Option<KnownIncarnation>, RolledBack> {
        let known = self.known.get(&announced.disk).copied();
        if let Some(known) = known {
            if known.number > announced.number {
                return Err(RolledBack::LaterIncarnation);
            }
            if known.number == announced.number && known.nonce != announced.nonce {
                return Err(RolledBack::OtherNonce);
            }
        }
        if let Some(seen) = self.progress.get(&announced.disk) {
            if seen.number > announced.number {
                return Err(RolledBack::LaterIncarnation);
            }
            // Progress within this incarnation came after the announcement, which cannot include it.
            let progress =
                if seen.number == announced.number { seen.earlier } else { seen.earlier.max(seen.current) };
            if progress.term > announced.term {
                return Err(RolledBack::LaterTerm);
            }
            if progress.last_position > announced.last_position {
                return Err(RolledBack::LongerLog);
            }
        }
        let now = KnownIncarnation { number: announced.number, nonce: announced.nonce };
        if known == Some(now) {
            return Ok(None);
        }
        self.known.insert(announced.disk, now);
        while self.known.len() > MAX_DISKS {
            self.known.pop_first();
        }
        Ok(Some(now))
    }

    /// Records that a voter has sent a message of this term, which its disk therefore has.
    pub fn record_term(&mut self, disk: u64, number: u64, term: u64) {
        if let Some(progress) = self.progress.entry(disk).or_default().in_incarnation(number) {
            progress.term = progress.term.max(term);
        }
        while self.progress.len() > MAX_DISKS {
            self.progress.pop_first();
        }
    }

    /// Records that a voter has reported this end of its log.
    pub fn record_position(&mut self, disk: u64, number: u64, last_position: Position) {
        if let Some(progress) = self.progress.get_mut(&disk).and_then(|seen| seen.in_incarnation(number)) {
            progress.last_position = progress.last_position.max(last_position);
        }
    }

    /// The known incarnation of each disk.
    pub fn known(&self) -> &BTreeMap<u64, KnownIncarnation> {
        &self.known
    }
}

/// Whether a voter may take part: once enough others have stored its incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Admission {
    acknowledged_by: BTreeSet<u64>,
}

impl Admission {
    /// Records that the voter on this disk has stored this voter's incarnation.
    pub fn acknowledged(&mut self, by: u64) {
        if self.acknowledged_by.len() < MAX_DISKS {
            self.acknowledged_by.insert(by);
        }
    }

    /// Whether the voter on this disk has stored it.
    pub fn is_acknowledged_by(&self, disk: u64) -> bool {
        self.acknowledged_by.contains(&disk)
    }

    /// Whether this voter may take part, given the current voters and the ticks since its start: once all
    /// others have stored its incarnation or, after a wait, as many as are a majority with it. A majority
    /// that is up is thus enough, and a voter that knows of a later incarnation is heard if possible.
    /// `configured` is the number of voters in the operator's file, as the list of voters on this disk may be
    /// as old as the disk.
    pub fn is_admitted(&self, me: u64, voters: &BTreeSet<u64>, configured: usize, ticks: u64) -> bool {
        let others = voters.iter().filter(|disk| **disk != me);
        let acknowledgements = others.filter(|disk| self.acknowledged_by.contains(disk)).count();
        let all = self.acknowledged_by.iter().filter(|disk| **disk != me).count() + 1 >= configured;
        acknowledgements >= voters.len() / 2 && (all || ticks >= WAIT_FOR_ALL_TICKS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const INCARNATION: VoterIncarnation =
        VoterIncarnation { disk: 7, number: 3, nonce: 11, term: 5, last_position: (4, 90) };

    #[test]
    fn a_rolled_back_disk_is_detected() {
        let mut incarnations = VoterIncarnations::default();
        assert_eq!(
            incarnations.check_incarnation(&INCARNATION),
            Ok(Some(KnownIncarnation { number: 3, nonce: 11 }))
        );
        // Announced again, as the acknowledgement was lost.
        assert_eq!(incarnations.check_incarnation(&INCARNATION), Ok(None));
        incarnations.record_term(7, 3, 6);
        incarnations.record_position(7, 3, (6, 95));
        // The announcement arrives once more, late: the voter has made progress since.
        assert_eq!(incarnations.check_incarnation(&INCARNATION), Ok(None));
        let next = VoterIncarnation { number: 4, nonce: 12, term: 6, last_position: (6, 95), ..INCARNATION };
        assert!(incarnations.clone().check_incarnation(&next).is_ok());
        assert_eq!(
            incarnations.check_incarnation(&VoterIncarnation { number: 2, ..next }),
            Err(RolledBack::LaterIncarnation)
        );
        assert_eq!(
            incarnations.check_incarnation(&VoterIncarnation { number: 3, nonce: 13, ..next }),
            Err(RolledBack::OtherNonce)
        );
        assert_eq!(
            incarnations.check_incarnation(&VoterIncarnation { term: 5, ..next }),
            Err(RolledBack::LaterTerm)
        );
        assert_eq!(
            incarnations.check_incarnation(&VoterIncarnation { last_position: (5, 200), ..next }),
            Err(RolledBack::LongerLog)
        );
        // A log that was truncated and continued in a later term is not an older one.
        assert!(
            incarnations
                .check_incarnation(&VoterIncarnation { term: 7, last_position: (7, 80), ..next })
                .is_ok()
        );
        // Progress may arrive before the announcement of its incarnation.
        incarnations.record_term(7, 4, 9);
        assert!(incarnations.clone().check_incarnation(&next).is_ok());
        assert_eq!(incarnations.check_incarnation(&INCARNATION), Err(RolledBack::LaterIncarnation));
        // This process restarts with what it has stored.
        let mut later = VoterIncarnations::new(incarnations.known().clone());
        assert_eq!(later.check_incarnation(&INCARNATION), Err(RolledBack::LaterIncarnation));
        assert_eq!(later.check_incarnation(&next), Ok(None));
    }

    #[test]
    fn a_voter_is_admitted_once_a_majority_with_it_has_stored_its_incarnation() {
        let voters = |n| (1..=n).collect::<BTreeSet<u64>>();
        let mut admission = Admission::default();
        let late = WAIT_FOR_ALL_TICKS;
        assert!(admission.is_admitted(1, &voters(1), 1, 0));
        // Alone according to its own disk, which may be old: others may know better.
        assert!(
            !admission.is_admitted(1, &voters(1), 3, late - 1)
                && admission.is_admitted(1, &voters(1), 3, late)
        );
        assert!(
            !admission.is_admitted(1, &voters(2), 2, late) && !admission.is_admitted(1, &voters(3), 3, late)
        );
        // An acknowledgement by a disk without a vote or by itself does not count.
        admission.acknowledged(9);
        admission.acknowledged(1);
        assert!(!admission.is_admitted(1, &voters(3), 3, late));
        let mut admission = Admission::default();
        admission.acknowledged(2);
        assert!(
            admission.is_admitted(1, &voters(3), 3, late) && !admission.is_admitted(1, &voters(5), 5, late)
        );
        // The third voter may know of a later incarnation.
        assert!(!admission.is_admitted(1, &voters(3), 3, late - 1));
        admission.acknowledged(3);
        assert!(admission.is_admitted(1, &voters(3), 3, 0) && admission.is_admitted(1, &voters(5), 5, late));
    }

    #[test]
    fn stored_incarnations_are_bounded() {
        let mut incarnations = VoterIncarnations::default();
        for disk in 0..1000 {
            incarnations.record_term(disk, 1, 1);
            incarnations.check_incarnation(&VoterIncarnation { disk, ..INCARNATION }).unwrap();
        }
        assert_eq!((incarnations.known.len(), incarnations.progress.len()), (MAX_DISKS, MAX_DISKS));
    }
}
