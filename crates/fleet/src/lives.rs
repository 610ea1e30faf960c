//! What voters know of each other's disks, so that one which is older than what it once promised does not vote.
//!
//! A vote belongs to a disk, not to a name: a disk is founded with a number of its own, so an empty one is another voter, which has
//! promised nothing, and has a vote only once the others have given it one. A disk that was put back to an earlier state still has the
//! number, and may have forgotten a promise. Each start of a voter therefore raises its *life* on the disk, draws a *nonce* for it, and
//! says nothing of agreement before as many others as make a majority with it have written down that life ([`Admission`]). They turn
//! it away ([`Lives::greet`]) if they know a later life of that disk, the same one with another nonce, or a promise beyond what it has.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A voter waits so many ticks for a word from all others; then a majority with it is enough. Ours: some ways to and fro, so that one
/// that knows better and is up is heard.
pub const PATIENCE: u64 = 20;
/// Disks of which a voter remembers anything.
pub const MAX_DISKS: usize = 64;

/// How far a log goes: the term of its last entry, and that entry's place. It never gets less on a disk that forgets nothing: what is
/// cut off makes way for an entry of a later term.
pub type Position = (u64, u64);

/// A voter's start, as it says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Life {
    /// The number of its disk.
    pub disk: u64,
    /// Which start on that disk; raised, and written, before anything is said.
    pub life: u64,
    /// Drawn for this start.
    pub nonce: u64,
    /// The last term that it has on its disk.
    pub term: u64,
    /// How far its log goes.
    pub last: Position,
}

/// What is remembered of a start on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// Which start.
    pub life: u64,
    /// What was drawn for it.
    pub nonce: u64,
}

/// What a voter has promised to this process since that started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Promised {
    term: u64,
    last: Position,
}

impl Promised {
    fn and(self, other: Promised) -> Promised {
        Promised { term: self.term.max(other.term), last: self.last.max(other.last) }
    }
}

/// The same, told apart by lives: what a start says of itself may come late, when it has promised more already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Heard {
    /// In the latest life that was heard of.
    life: u64,
    now: Promised,
    /// In all before.
    before: Promised,
}

impl Heard {
    fn of(&mut self, life: u64) -> Option<&mut Promised> {
        if life > self.life {
            *self = Heard { life, now: Promised::default(), before: self.before.and(self.now) };
        }
        (life == self.life).then_some(&mut self.now)
    }
}

/// Why a disk is known to be older than what it once promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Old {
    /// A later start on it is known.
    LaterLife,
    /// Another start with the same count is known.
    OtherNonce,
    /// It took part in a later term.
    LaterTerm,
    /// Its log went further.
    LongerLog,
}

impl std::fmt::Display for Old {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Old::LaterLife => "a later start on this disk is known",
            Old::OtherNonce => "another start on this disk with the same count is known",
            Old::LaterTerm => "a voter on this disk took part in a later term",
            Old::LongerLog => "the log on this disk went further once",
        })
    }
}

/// What a voter knows of the disks of others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lives {
    known: BTreeMap<u64, Known>,
    heard: BTreeMap<u64, Heard>,
}

impl Lives {
    /// What was written down by earlier starts of this voter.
    pub fn new(known: BTreeMap<u64, Known>) -> Lives {
        Lives { known, heard: BTreeMap::new() }
    }

    /// A voter says which start it is. Where this returns something to remember it has to be on disk before the welcome is said.
    ///
    /// # Errors
    /// Its disk is older than what it once promised.
    pub fn greet(&mut self, says: &Life) -> Result<Option<Known>, Old> {
        let known = self.known.get(&says.disk).copied();
        if let Some(known) = known {
            if known.life > says.life {
                return Err(Old::LaterLife);
            }
            if known.life == says.life && known.nonce != says.nonce {
                return Err(Old::OtherNonce);
            }
        }
        if let Some(heard) = self.heard.get(&says.disk) {
            if heard.life > says.life {
                return Err(Old::LaterLife);
            }
            // What it has promised in this life already it did not know yet when it said this.
            let promised = if heard.life == says.life { heard.before } else { heard.before.and(heard.now) };
            if promised.term > says.term {
                return Err(Old::LaterTerm);
            }
            if promised.last > says.last {
                return Err(Old::LongerLog);
            }
        }
        let now = Known { life: says.life, nonce: says.nonce };
        if known == Some(now) {
            return Ok(None);
        }
        self.known.insert(says.disk, now);
        while self.known.len() > MAX_DISKS {
            self.known.pop_first();
        }
        Ok(Some(now))
    }

    /// A voter said something of this term in this life: its disk has it.
    pub fn said(&mut self, disk: u64, life: u64, term: u64) {
        if let Some(promised) = self.heard.entry(disk).or_default().of(life) {
            promised.term = promised.term.max(term);
        }
        while self.heard.len() > MAX_DISKS {
            self.heard.pop_first();
        }
    }

    /// A voter said in this life that its log goes so far.
    pub fn wrote(&mut self, disk: u64, life: u64, last: Position) {
        if let Some(promised) = self.heard.get_mut(&disk).and_then(|heard| heard.of(life)) {
            promised.last = promised.last.max(last);
        }
    }

    /// What is known of each disk.
    pub fn known(&self) -> &BTreeMap<u64, Known> {
        &self.known
    }
}

/// Whether a voter may take part: once enough others have written down its life.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Admission {
    welcomed_by: BTreeSet<u64>,
}

impl Admission {
    /// A voter on this disk has written down this one's life.
    pub fn welcomed(&mut self, by: u64) {
        if self.welcomed_by.len() < MAX_DISKS {
            self.welcomed_by.insert(by);
        }
    }

    /// Whether that one has.
    pub fn is_welcomed_by(&self, disk: u64) -> bool {
        self.welcomed_by.contains(&disk)
    }

    /// Whether this voter may take part, where these have a vote, so many ticks after its start: once all others have written down its
    /// life, or, after a while, as many as make a majority with it. So a majority that is up is enough, and who knows better is heard
    /// if it can be. `named` is how many the file names: what this disk has of who votes may be as old as the disk.
    pub fn is_admitted(&self, me: u64, voters: &BTreeSet<u64>, named: usize, ticks: u64) -> bool {
        let others = voters.iter().filter(|disk| **disk != me);
        let welcomes = others.filter(|disk| self.welcomed_by.contains(disk)).count();
        let all = self.welcomed_by.iter().filter(|disk| **disk != me).count() + 1 >= named;
        welcomes >= voters.len() / 2 && (all || ticks >= PATIENCE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIFE: Life = Life { disk: 7, life: 3, nonce: 11, term: 5, last: (4, 90) };

    #[test]
    fn a_disk_that_was_put_back_is_told_from_one_that_goes_on() {
        let mut lives = Lives::default();
        assert_eq!(lives.greet(&LIFE), Ok(Some(Known { life: 3, nonce: 11 })));
        // Said again, as the welcome was lost.
        assert_eq!(lives.greet(&LIFE), Ok(None));
        lives.said(7, 3, 6);
        lives.wrote(7, 3, (6, 95));
        // What it said at its start comes once more, late: it has promised more since.
        assert_eq!(lives.greet(&LIFE), Ok(None));
        let next = Life { life: 4, nonce: 12, term: 6, last: (6, 95), ..LIFE };
        assert!(lives.clone().greet(&next).is_ok());
        assert_eq!(lives.greet(&Life { life: 2, ..next }), Err(Old::LaterLife));
        assert_eq!(lives.greet(&Life { life: 3, nonce: 13, ..next }), Err(Old::OtherNonce));
        assert_eq!(lives.greet(&Life { term: 5, ..next }), Err(Old::LaterTerm));
        assert_eq!(lives.greet(&Life { last: (5, 200), ..next }), Err(Old::LongerLog));
        // A log that was cut and went on in a later term is no older one.
        assert!(lives.greet(&Life { term: 7, last: (7, 80), ..next }).is_ok());
        // It may promise before its first word arrives.
        lives.said(7, 4, 9);
        assert!(lives.clone().greet(&next).is_ok());
        assert_eq!(lives.greet(&LIFE), Err(Old::LaterLife));
        // This process starts anew, and knows what it wrote down.
        let mut later = Lives::new(lives.known().clone());
        assert_eq!(later.greet(&LIFE), Err(Old::LaterLife));
        assert_eq!(later.greet(&next), Ok(None));
    }

    #[test]
    fn a_voter_takes_part_once_a_majority_with_it_has_written_down_its_life() {
        let voters = |n| (1..=n).collect::<BTreeSet<u64>>();
        let mut admission = Admission::default();
        let late = PATIENCE;
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
        admission.welcomed(9);
        admission.welcomed(1);
        assert!(!admission.is_admitted(1, &voters(3), 3, late));
        let mut admission = Admission::default();
        admission.welcomed(2);
        assert!(
            admission.is_admitted(1, &voters(3), 3, late) && !admission.is_admitted(1, &voters(5), 5, late)
        );
        // The third may know better.
        assert!(!admission.is_admitted(1, &voters(3), 3, late - 1));
        admission.welcomed(3);
        assert!(admission.is_admitted(1, &voters(3), 3, 0) && admission.is_admitted(1, &voters(5), 5, late));
    }

    #[test]
    fn what_is_remembered_is_bounded() {
        let mut lives = Lives::default();
        for disk in 0..1000 {
            lives.said(disk, 1, 1);
            lives.greet(&Life { disk, ..LIFE }).unwrap();
        }
        assert_eq!((lives.known.len(), lives.heard.len()), (MAX_DISKS, MAX_DISKS));
    }
}
