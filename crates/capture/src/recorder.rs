//! Gathers records into blocks. It decides when a block ends and when one begins with a snapshot; it writes nothing.

use crate::format::{self, BlockHeader, FormatError};
use crate::record::{AuxiliaryStates, Header, Record, Round};

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
    header: Header,
    limits: Limits,
    payload: Vec<u8>,
    records: u32,
    snapshot: bool,
    start: Option<f64>,
    end: f64,
    number: u64,
    next_snapshot: f64,
    /// Rounds that are not in any block since the last one that is.
    missed_rounds: u64,
}

impl Recorder {
    /// Nothing is recorded yet; the first block waits for a snapshot.
    pub fn new(header: Header, limits: Limits) -> Recorder {
        Recorder {
            header,
            limits,
            payload: Vec::new(),
            records: 0,
            snapshot: false,
            start: None,
            end: 0.0,
            number: 0,
            next_snapshot: f64::NEG_INFINITY,
            missed_rounds: 0,
        }
    }

    /// What is wanted before the round at this time.
    pub fn wants(&self, now: f64) -> Wants {
        let due = self.records == 0 && (now >= self.next_snapshot || self.missed_rounds > 0);
        if due { Wants::Snapshot } else { Wants::Nothing }
    }

    /// A block begins with the decision state at this time.
    ///
    /// # Errors
    /// None that a state can cause; what the library reports is passed on.
    pub fn snapshot(&mut self, now: f64, state: Vec<u8>) -> Result<(), FormatError> {
        if self.missed_rounds > 0 {
            let rounds = std::mem::take(&mut self.missed_rounds);
            self.append(&Record::Gap { rounds })?;
        }
        self.append(&Record::Header(self.header.clone()))?;
        self.append(&Record::Snapshot(state))?;
        self.snapshot = true;
        self.next_snapshot = now + self.limits.snapshot_every;
        Ok(())
    }

    /// The state beside the module's goes along with a snapshot.
    ///
    /// # Errors
    /// None that a state can cause; what the library reports is passed on.
    pub fn auxiliary_states(&mut self, states: AuxiliaryStates) -> Result<(), FormatError> {
        self.append(&Record::AuxiliaryStates(states))
    }

    /// Something was asked beside the module, as [`AuxiliarySteps::encode`](crate::record::AuxiliarySteps::encode) has it. Returns a block that
    /// is whole with it.
    ///
    /// # Errors
    /// None that steps can cause; what the library reports is passed on.
    pub fn auxiliary_steps(&mut self, encoded: &[u8]) -> Result<Option<Vec<u8>>, FormatError> {
        self.records += 1;
        self.payload.extend(encoded);
        if self.payload.len() >= self.limits.block_bytes { self.end_block().map(Some) } else { Ok(None) }
    }

    /// A round was made. Returns a block that is whole with it.
    ///
    /// # Errors
    /// None that a round can cause; what the library reports is passed on.
    pub fn round(&mut self, round: &Round) -> Result<Option<Vec<u8>>, FormatError> {
        self.start.get_or_insert(round.now);
        self.end = round.now;
        self.append(&Record::Round(round.clone()))?;
        if self.payload.len() >= self.limits.block_bytes {
            return self.end_block().map(Some);
        }
        Ok(None)
    }

    /// Rounds could not be kept. What is in the making is dropped with them, as its end would be missing.
    pub fn missed(&mut self, rounds: u64) {
        let dropped = u64::from(self.records).saturating_sub(if self.snapshot { 2 } else { 0 });
        self.missed_rounds += rounds + dropped;
        self.begin_block();
    }

    /// Ends the block in the making, if there is anything in it.
    ///
    /// # Errors
    /// None that records can cause; what the library reports is passed on.
    pub fn flush(&mut self) -> Result<Option<Vec<u8>>, FormatError> {
        if self.records == 0 { Ok(None) } else { self.end_block().map(Some) }
    }

    fn append(&mut self, record: &Record) -> Result<(), FormatError> {
        self.records += 1;
        format::append_record(&mut self.payload, record)
    }

    fn end_block(&mut self) -> Result<Vec<u8>, FormatError> {
        self.number += 1;
        let header = BlockHeader {
            number: self.number,
            starts_at: self.start.unwrap_or(self.end),
            ends_at: self.end,
            snapshot: self.snapshot,
            records: self.records,
            uncompressed_bytes: 0,
            compressed_bytes: 0,
            checksum: 0,
        };
        let mut block = Vec::new();
        format::append_block(&mut block, header, &self.payload)?;
        self.begin_block();
        Ok(block)
    }

    fn begin_block(&mut self) {
        self.payload.clear();
        (self.records, self.snapshot, self.start) = (0, false, None);
    }
}
