//! What voters know of each other's disks, so that one which is older than what it once promised does not vote.
//!
//! A vote belongs to a disk, not to a name: a disk is founded with a number of its own, so an empty one is another voter, which has
//! promised nothing, and has a vote only once the others have given it one. A disk that was put back to an earlier state still has the
//! number, and may have forgotten a promise. Each start of a voter therefore raises its *life* on the disk, draws a *nonce* for it, and
//! says nothing of agreement before as many others as make a majority with it have written down that life ([`Admission`]). They turn
//! it away ([`VoterIncarnations::check_incarnation`]) if they know a later life of that disk, the same one with another nonce, or a promise beyond what it has.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A voter waits so many ticks for a word from all others; then a majority with it is enough. Ours: some ways to and fro, so that one
/// that knows better and is up is heard.
pub const WAIT_FOR_ALL_TICKS: u64 = 20;
/// Disks of which a voter remembers anything.
pub const MAX_DISKS: usize = 64;

/// How far a log goes: the term of its last entry, and that entry's place. It never gets less on a disk that forgets nothing: what is
/// cut off makes way for an entry of a later term.
pub type Position = (u64, u64);

/// A voter's start, as it says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterIncarnation {
    /// The number of its disk.
    pub disk: u64,
    /// Which start on that disk; raised, and written, before anything is said.
    pub number: u64,
    /// Drawn for this start.
    pub nonce: u64,
    /// The last term that it has on its disk.
    pub term: u64,
    /// How far its log goes.
    pub last_position: Position,
}

/// What is remembered of a start on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownIncarnation {
    /// Which start.
    pub number: u64,
    /// What was drawn for it.
    pub nonce: u64,
}

/// What a voter has promised to this process since that started.
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

/// The same, told apart by lives: what a start says of itself may come late, when it has promised more already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DiskProgress {
    /// In the latest life that was heard of.
    number: u64,
    current: Progress,
    /// In all before.
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

/// Why a disk is known to be older than what it once promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolledBack {
    /// A later start on it is known.
    LaterIncarnation,
    /// Another start with the same count is known.
    OtherNonce,
    /// It took part in a later term.
    LaterTerm,
    /// Its log went further.
    LongerLog,
}

impl std::fmt::Display for RolledBack {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            RolledBack::LaterIncarnation => "a later start on this disk is known",
            RolledBack::OtherNonce => "another start on this disk with the same count is known",
            RolledBack::LaterTerm => "a voter on this disk took part in a later term",
            RolledBack::LongerLog => "the log on this disk went further once",
        })
    }
}

/// What a voter knows of the disks of others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VoterIncarnations {
    known: BTreeMap<u64, KnownIncarnation>,
    heard: BTreeMap<u64, DiskProgress>,
}

impl VoterIncarnations {
    /// What was written down by earlier starts of this voter.
    pub fn new(known: BTreeMap<u64, KnownIncarnation>) -> VoterIncarnations {
        VoterIncarnations { known, heard: BTreeMap::new() }
    }

    /// A voter says which start it is. Where this returns something to remember it has to be on disk before the welcome is said.
    ///
    /// # Errors
    /// Its disk is older than what it once promised.
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
        if let Some(heard) = self.heard.get(&announced.disk) {
            if heard.number > announced.number {
                return Err(RolledBack::LaterIncarnation);
            }
            // What it has promised in this life already it did not know yet when it said this.
            let progress = if heard.number == announced.number {
                heard.earlier
            } else {
                heard.earlier.max(heard.current)
            };
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

    /// A voter said something of this term in this life: its disk has it.
    pub fn record_term(&mut self, disk: u64, number: u64, term: u64) {
        if let Some(progress) = self.heard.entry(disk).or_default().in_incarnation(number) {
            progress.term = progress.term.max(term);
        }
        while self.heard.len() > MAX_DISKS {
            self.heard.pop_first();
        }
    }

    /// A voter said in this life that its log goes so far.
    pub fn record_position(&mut self, disk: u64, number: u64, last_position: Position) {
        if let Some(progress) = self.heard.get_mut(&disk).and_then(|heard| heard.in_incarnation(number)) {
            progress.last_position = progress.last_position.max(last_position);
        }
    }

    /// What is known of each disk.
    pub fn known(&self) -> &BTreeMap<u64, KnownIncarnation> {
        &self.known
    }
}

/// Whether a voter may take part: once enough others have written down its life.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Admission {
    acknowledged_by: BTreeSet<u64>,
}

impl Admission {
    /// A voter on this disk has written down this one's life.
    pub fn acknowledged(&mut self, by: u64) {
        if self.acknowledged_by.len() < MAX_DISKS {
            self.acknowledged_by.insert(by);
        }
    }

    /// Whether that one has.
    pub fn is_acknowledged_by(&self, disk: u64) -> bool {
        self.acknowledged_by.contains(&disk)
    }

    /// Whether this voter may take part, where these have a vote, so many ticks after its start: once all others have written down its
    /// life, or, after a while, as many as make a majority with it. So a majority that is up is enough, and who knows better is heard
    /// if it can be. `named` is how many the file names: what this disk has of who votes may be as old as the disk.
    pub fn is_admitted(&self, me: u64, voters: &BTreeSet<u64>, named: usize, ticks: u64) -> bool {
        let others = voters.iter().filter(|disk| **disk != me);
        let acknowledgements = others.filter(|disk| self.acknowledged_by.contains(disk)).count();
        let all = self.acknowledged_by.iter().filter(|disk| **disk != me).count() + 1 >= named;
        acknowledgements >= voters.len() / 2 && (all || ticks >= WAIT_FOR_ALL_TICKS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const INCARNATION: VoterIncarnation =
        VoterIncarnation { disk: 7, number: 3, nonce: 11, term: 5, last_position: (4, 90) };

    #[test]
    fn a_disk_that_was_put_back_is_told_from_one_that_goes_on() {
        let mut incarnations = VoterIncarnations::default();
        assert_eq!(
            incarnations.check_incarnation(&INCARNATION),
            Ok(Some(KnownIncarnation { number: 3, nonce: 11 }))
        );
        // Said again, as the welcome was lost.
        assert_eq!(incarnations.check_incarnation(&INCARNATION), Ok(None));
        incarnations.record_term(7, 3, 6);
        incarnations.record_position(7, 3, (6, 95));
        // What it said at its start comes once more, late: it has promised more since.
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
        // A log that was cut and went on in a later term is no older one.
        assert!(
            incarnations
                .check_incarnation(&VoterIncarnation { term: 7, last_position: (7, 80), ..next })
                .is_ok()
        );
        // It may promise before its first word arrives.
        incarnations.record_term(7, 4, 9);
        assert!(incarnations.clone().check_incarnation(&next).is_ok());
        assert_eq!(incarnations.check_incarnation(&INCARNATION), Err(RolledBack::LaterIncarnation));
        // This process starts anew, and knows what it wrote down.
        let mut later = VoterIncarnations::new(incarnations.known().clone());
        assert_eq!(later.check_incarnation(&INCARNATION), Err(RolledBack::LaterIncarnation));
        assert_eq!(later.check_incarnation(&next), Ok(None));
    }

    #[test]
    fn a_voter_takes_part_once_a_majority_with_it_has_written_down_its_life() {
        let voters = |n| (1..=n).collect::<BTreeSet<u64>>();
        let mut admission = Admission::default();
        let late = WAIT_FOR_ALL_TICKS;
        assert!(admission.is_admitted(1, &voters(1), 1, 0));
        // Alone for all that its disk says, which may be old: others may know better.
        assert!(
            !admission.is_admitted(1, &voters(1), 3, late - 1)
                && admission.is_admitted(1, &voters(1), 3, late)
        );
        assert!(
            !admission.is_admitted(1, &voters(2), 2, late) && !admission.is_admitted(1, &voters(3), 3, late)
        );
        // One that has no vote says nothing of its life, and its own welcome is none.
        admission.acknowledged(9);
        admission.acknowledged(1);
        assert!(!admission.is_admitted(1, &voters(3), 3, late));
        let mut admission = Admission::default();
        admission.acknowledged(2);
        assert!(
            admission.is_admitted(1, &voters(3), 3, late) && !admission.is_admitted(1, &voters(5), 5, late)
        );
        // The third may know better.
        assert!(!admission.is_admitted(1, &voters(3), 3, late - 1));
        admission.acknowledged(3);
        assert!(admission.is_admitted(1, &voters(3), 3, 0) && admission.is_admitted(1, &voters(5), 5, late));
    }

    #[test]
    fn what_is_remembered_is_bounded() {
        let mut incarnations = VoterIncarnations::default();
        for disk in 0..1000 {
            incarnations.record_term(disk, 1, 1);
            incarnations.check_incarnation(&VoterIncarnation { disk, ..INCARNATION }).unwrap();
        }
        assert_eq!((incarnations.known.len(), incarnations.heard.len()), (MAX_DISKS, MAX_DISKS));
    }
}
