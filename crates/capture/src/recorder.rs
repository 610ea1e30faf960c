//! Groups records into blocks and decides when a block ends and when one starts with a snapshot. Performs
//! no I/O.

use crate::format::{self, BlockHeader, FormatError};
use crate::record::{AuxiliaryStates, Header, Record, Round};

/// Limits that end blocks and schedule snapshots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A block ends with the record that brings its uncompressed payload to this many bytes.
    pub block_bytes: usize,
    /// Seconds of the module's clock after a snapshot, from which the next block starts with a snapshot.
    pub snapshot_every: f64,
}

impl Default for Limits {
    /// 64 KiB, since a truncated block is lost as a whole; 10 s, since replaying them takes a tenth of a
    /// second.
    fn default() -> Limits {
        Limits { block_bytes: 64 * 1024, snapshot_every: 10.0 }
    }
}

/// What the recorder needs before the next round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wants {
    /// Nothing.
    Nothing,
    /// The current decision state, through [`Recorder::snapshot`].
    Snapshot,
}

/// Builds the blocks of a capture.
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
    /// Rounds dropped since the last recorded round.
    missed_rounds: u64,
}

impl Recorder {
    /// Creates a recorder. The first block needs a snapshot.
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

    /// Returns what the recorder needs before the round at `now`.
    pub fn wants(&self, now: f64) -> Wants {
        let due = self.records == 0 && (now >= self.next_snapshot || self.missed_rounds > 0);
        if due { Wants::Snapshot } else { Wants::Nothing }
    }

    /// Starts a block with the decision state at `now`.
    ///
    /// # Errors
    /// Only an error of the serializer, which no state causes.
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

    /// Adds the auxiliary states that belong to the preceding snapshot.
    ///
    /// # Errors
    /// Only an error of the serializer, which no state causes.
    pub fn auxiliary_states(&mut self, states: AuxiliaryStates) -> Result<(), FormatError> {
        self.append(&Record::AuxiliaryStates(states))
    }

    /// Adds auxiliary steps encoded by [`AuxiliarySteps::encode`](crate::record::AuxiliarySteps::encode).
    /// Returns the block if this completes one.
    ///
    /// # Errors
    /// Only an error of the encoder, which no steps cause.
    pub fn auxiliary_steps(&mut self, encoded: &[u8]) -> Result<Option<Vec<u8>>, FormatError> {
        self.records += 1;
        self.payload.extend(encoded);
        if self.payload.len() >= self.limits.block_bytes { self.end_block().map(Some) } else { Ok(None) }
    }

    /// Adds a round. Returns the block if this completes one.
    ///
    /// # Errors
    /// Only an error of the encoder, which no round causes.
    pub fn round(&mut self, round: &Round) -> Result<Option<Vec<u8>>, FormatError> {
        self.start.get_or_insert(round.now);
        self.end = round.now;
        self.append(&Record::Round(round.clone()))?;
        if self.payload.len() >= self.limits.block_bytes {
            return self.end_block().map(Some);
        }
        Ok(None)
    }

    /// Counts dropped rounds. The current block is dropped with them, since it would be incomplete.
    pub fn missed(&mut self, rounds: u64) {
        let dropped = u64::from(self.records).saturating_sub(if self.snapshot { 2 } else { 0 });
        self.missed_rounds += rounds + dropped;
        self.begin_block();
    }

    /// Ends the current block, if it has any records.
    ///
    /// # Errors
    /// Only an error of the encoder, which no records cause.
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
