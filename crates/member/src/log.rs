//! The log of a voter in memory, as the library for agreement reads it. What is here was written to disk first ([`crate::store`]).

use crate::frame::{Membership, Snapshot};
use raft::eraftpb::{ConfState, Entry, HardState};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::VecDeque;

/// Entries behind the last snapshot, with that.
#[derive(Debug, Default)]
pub struct Log {
    /// The term, the vote and how far is agreed.
    pub hard: HardState,
    /// Who takes part at the snapshot: entries behind it change that again as they are applied anew.
    pub membership: Membership,
    /// The state at the beginning of the entries.
    pub snapshot: Snapshot,
    /// The state further on, for one that is too far behind or takes part only since.
    pub fresh: Option<Snapshot>,
    wants_fresh: Cell<bool>,
    entries: VecDeque<Entry>,
}

impl Log {
    /// A log as it was found.
    pub fn new(hard: HardState, snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let (membership, entries) = (snapshot.membership.clone(), entries.into());
        Log { hard, membership, snapshot, entries, ..Log::default() }
    }

    fn first(&self) -> u64 {
        self.snapshot.index + 1
    }

    /// The place of the last entry.
    pub fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// The term and the place of the last entry.
    pub fn position(&self) -> (u64, u64) {
        (self.entries.back().map_or(self.snapshot.term, |entry| entry.term), self.last())
    }

    /// Entries that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// None are.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a fresh snapshot was asked for since the last call.
    pub fn wants_fresh(&self) -> bool {
        self.wants_fresh.take()
    }

    /// Takes in entries; those from the first of them on make way.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.first());
        self.entries.truncate(keep as usize);
        self.entries.extend(entries.iter().cloned());
    }

    /// Begins anew at a snapshot.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.fresh = None;
        self.hard.commit = self.hard.commit.max(snapshot.index);
        self.hard.term = self.hard.term.max(snapshot.term);
        (self.membership, self.snapshot) = (snapshot.membership.clone(), snapshot);
    }

    /// Lets go of what a snapshot covers.
    pub fn trim(&mut self, snapshot: Snapshot) {
        let gone = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        self.entries.drain(..gone.min(self.entries.len()));
        self.fresh = None;
        (self.membership, self.snapshot) = (snapshot.membership.clone(), snapshot);
    }

    fn at(&self, index: u64) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.first())? as usize)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), ConfState::from(&self.membership)))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let range = (low - self.first()) as usize..(high - self.first()) as usize;
        let mut entries: Vec<Entry> = self.entries.range(range).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        if index < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.at(index).map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<raft::eraftpb::Snapshot> {
        // One that takes part only since a snapshot was taken would throw that away: it is not named in it.
        let serves = |snapshot: &&Snapshot| {
            let Membership { voters, learners } = &snapshot.membership;
            snapshot.index >= request_index && (voters.contains(&to) || learners.contains(&to))
        };
        match self.fresh.iter().chain([&self.snapshot]).find(serves) {
            Some(snapshot) => Ok(snapshot.into()),
            None => {
                self.wants_fresh.set(true);
                Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(term: u64, index: u64) -> Entry {
        let mut entry = Entry::default();
        (entry.term, entry.index) = (term, index);
        entry
    }

    fn entry_terms(log: &Log) -> Vec<u64> {
        let all = log.entries(log.first(), log.last() + 1, None, GetEntriesContext::empty(false)).unwrap();
        all.iter().map(|entry| entry.term).collect()
    }

    #[test]
    fn entries_make_way_for_those_of_a_later_term_and_are_let_go_behind_a_snapshot() {
        let mut log = Log::default();
        log.append(&[entry(1, 1), entry(1, 2), entry(1, 3)]);
        log.append(&[entry(2, 2), entry(2, 3), entry(2, 4)]);
        assert_eq!((entry_terms(&log), log.position()), (vec![1, 2, 2, 2], (2, 4)));
        log.trim(Snapshot { index: 3, term: 2, ..Snapshot::default() });
        assert_eq!((entry_terms(&log), log.position(), log.term(3)), (vec![2], (2, 4), Ok(2)));
        assert_eq!(log.term(2), Err(Error::Store(StorageError::Compacted)));
        assert_eq!(log.term(5), Err(Error::Store(StorageError::Unavailable)));
        log.install(Snapshot { index: 9, term: 4, ..Snapshot::default() });
        assert_eq!((entry_terms(&log), log.position(), log.hard.commit), (vec![], (4, 9), 9));
        log.append(&[entry(4, 10)]);
        assert_eq!(log.position(), (4, 10));
    }

    /// One that takes part only since the last snapshot gets one that names it.
    #[test]
    fn a_snapshot_is_for_those_that_it_names() {
        let membership = |learners: &[u64]| Membership { voters: vec![1], learners: learners.to_vec() };
        let first = Snapshot { index: 1, term: 1, membership: membership(&[]), data: vec![1] };
        let mut log = Log::new(HardState::default(), first, Vec::new());
        assert_eq!(log.snapshot(0, 1).unwrap().get_metadata().index, 1);
        assert!(log.snapshot(0, 2).is_err() && log.wants_fresh() && !log.wants_fresh());
        log.fresh = Some(Snapshot { index: 5, term: 1, membership: membership(&[2]), data: vec![2] });
        assert_eq!(log.snapshot(0, 2).unwrap().get_metadata().index, 5);
        assert!(log.snapshot(6, 2).is_err());
    }
}
