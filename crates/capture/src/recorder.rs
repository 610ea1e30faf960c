//! Gathers records into blocks. It decides when a block ends and when one begins with a snapshot; it writes nothing.

use crate::format::{self, BlockHead, Unreadable};
use crate::record::{Head, Record, Round, SideStates};

/// When blocks end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A block ends with the round that brings its payload to so many bytes, unpacked.
    pub block_bytes: usize,
    /// So many seconds of the module's clock after a snapshot the next block begins with another.
    pub snapshot_every: f64,
}

impl Default for Limits {
    /// 64 KiB, since a torn block is lost as a whole; 10 s, since a replay of that takes a tenth of a second.
    fn default() -> Limits {
        Limits { block_bytes: 64 * 1024, snapshot_every: 10.0 }
    }
}

/// What a capture asks the owner of the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wants {
    /// Nothing.
    Nothing,
    /// The decision state as it is now, with [`Recorder::snapshot`], before the next round.
    Snapshot,
}

/// The blocks in the making.
#[derive(Debug)]
pub struct Recorder {
    head: Head,
    limits: Limits,
    payload: Vec<u8>,
    records: u32,
    snapshot: bool,
    from: Option<f64>,
    to: f64,
    number: u64,
    next_snapshot: f64,
    /// Rounds that are not in any block since the last one that is.
    missed: u64,
}

impl Recorder {
    /// Nothing is recorded yet; the first block waits for a snapshot.
    pub fn new(head: Head, limits: Limits) -> Recorder {
        Recorder {
            head,
            limits,
            payload: Vec::new(),
            records: 0,
            snapshot: false,
            from: None,
            to: 0.0,
            number: 0,
            next_snapshot: f64::NEG_INFINITY,
            missed: 0,
        }
    }

    /// What is wanted before the round at this time.
    pub fn wants(&self, now: f64) -> Wants {
        let due = self.records == 0 && (now >= self.next_snapshot || self.missed > 0);
        if due { Wants::Snapshot } else { Wants::Nothing }
    }

    /// A block begins with the decision state at this time.
    ///
    /// # Errors
    /// None that a state can cause; what the library reports is passed on.
    pub fn snapshot(&mut self, now: f64, state: Vec<u8>) -> Result<(), Unreadable> {
        if self.missed > 0 {
            let rounds = std::mem::take(&mut self.missed);
            self.put(&Record::Gap { rounds })?;
        }
        self.put(&Record::Head(self.head.clone()))?;
        self.put(&Record::Snapshot(state))?;
        self.snapshot = true;
        self.next_snapshot = now + self.limits.snapshot_every;
        Ok(())
    }

    /// The state beside the module's goes along with a snapshot.
    ///
    /// # Errors
    /// None that a state can cause; what the library reports is passed on.
    pub fn side_states(&mut self, states: SideStates) -> Result<(), Unreadable> {
        self.put(&Record::SideStates(states))
    }

    /// Something was asked beside the module, as [`Sides::encode`](crate::record::Sides::encode) has it. Returns a block that
    /// is whole with it.
    ///
    /// # Errors
    /// None that steps can cause; what the library reports is passed on.
    pub fn sides(&mut self, encoded: &[u8]) -> Result<Option<Vec<u8>>, Unreadable> {
        self.records += 1;
        self.payload.extend(encoded);
        if self.payload.len() >= self.limits.block_bytes { self.end_block().map(Some) } else { Ok(None) }
    }

    /// A round was made. Returns a block that is whole with it.
    ///
    /// # Errors
    /// None that a round can cause; what the library reports is passed on.
    pub fn round(&mut self, round: &Round) -> Result<Option<Vec<u8>>, Unreadable> {
        self.from.get_or_insert(round.now);
        self.to = round.now;
        self.put(&Record::Round(round.clone()))?;
        if self.payload.len() >= self.limits.block_bytes {
            return self.end_block().map(Some);
        }
        Ok(None)
    }

    /// Rounds could not be kept. What is in the making is dropped with them, as its end would be missing.
    pub fn missed(&mut self, rounds: u64) {
        let dropped = u64::from(self.records).saturating_sub(if self.snapshot { 2 } else { 0 });
        self.missed += rounds + dropped;
        self.begin_block();
    }

    /// Ends the block in the making, if there is anything in it.
    ///
    /// # Errors
    /// None that records can cause; what the library reports is passed on.
    pub fn flush(&mut self) -> Result<Option<Vec<u8>>, Unreadable> {
        if self.records == 0 { Ok(None) } else { self.end_block().map(Some) }
    }

    fn put(&mut self, record: &Record) -> Result<(), Unreadable> {
        self.records += 1;
        format::put_record(&mut self.payload, record)
    }

    fn end_block(&mut self) -> Result<Vec<u8>, Unreadable> {
        self.number += 1;
        let head = BlockHead {
            number: self.number,
            from: self.from.unwrap_or(self.to),
            to: self.to,
            snapshot: self.snapshot,
            records: self.records,
            unpacked: 0,
            packed: 0,
            checksum: 0,
        };
        let mut block = Vec::new();
        format::put_block(&mut block, head, &self.payload)?;
        self.begin_block();
        Ok(block)
    }

    fn begin_block(&mut self) {
        self.payload.clear();
        (self.records, self.snapshot, self.from) = (0, false, None);
    }
}
