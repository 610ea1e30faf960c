//! A voter's log in memory, as the `raft` library reads it. Everything in it has been written to disk
//! ([`crate::store`]).

use crate::frame::{Membership, Snapshot};
use raft::eraftpb::{ConfState, Entry, HardState};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::VecDeque;

/// The last snapshot and the entries after it.
#[derive(Debug, Default)]
pub struct Log {
    /// The term, the vote and the commit index.
    pub hard: HardState,
    /// The membership as of the snapshot; entries after it change it again when they are applied.
    pub membership: Membership,
    /// The state before the first entry.
    pub snapshot: Snapshot,
    /// A newer snapshot, for a voter that is too far behind or joined after the last one.
    pub fresh: Option<Snapshot>,
    wants_fresh: Cell<bool>,
    entries: VecDeque<Entry>,
}

impl Log {
    /// Builds the log from the state on disk.
    pub fn new(hard: HardState, snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        let (membership, entries) = (snapshot.membership.clone(), entries.into());
        Log { hard, membership, snapshot, entries, ..Log::default() }
    }

    fn first(&self) -> u64 {
        self.snapshot.index + 1
    }

    /// The index of the last entry.
    pub fn last(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// The term and the index of the last entry.
    pub fn position(&self) -> (u64, u64) {
        (self.entries.back().map_or(self.snapshot.term, |entry| entry.term), self.last())
    }

    /// The number of entries in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a newer snapshot was requested since the last call.
    pub fn wants_fresh(&self) -> bool {
        self.wants_fresh.take()
    }

    /// Appends entries, replacing those from the index of the first one on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.first());
        self.entries.truncate(keep as usize);
        self.entries.extend(entries.iter().cloned());
    }

    /// Replaces the log by a snapshot.
    pub fn install(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.fresh = None;
        self.hard.commit = self.hard.commit.max(snapshot.index);
        self.hard.term = self.hard.term.max(snapshot.term);
        (self.membership, self.snapshot) = (snapshot.membership.clone(), snapshot);
    }

    /// Discards the entries that a snapshot covers.
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
        // A voter that joined after the snapshot is not in its membership and would discard it.
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
    fn entries_are_replaced_by_those_of_a_later_term_and_discarded_after_a_snapshot() {
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

    /// A voter that joined after the last snapshot gets one whose membership includes it.
    #[test]
    fn a_snapshot_is_sent_only_to_its_membership() {
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
