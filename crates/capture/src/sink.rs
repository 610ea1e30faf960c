//! Takes what a nodo hands over, makes blocks of it, keeps the last ones and has them written out. It decides all of that
//! and touches no file: what it wants written it gives back, and [`Storage`] is what writes.

use crate::format;
use crate::record::Header;
use crate::recorder::{Limits, Recorder};
use crate::ring::Ring;
use crate::tap::{Message, Reason};
use std::io;

/// Where captures are written.
pub trait Storage {
    /// Writes a file of this name whole, or not at all.
    ///
    /// # Errors
    /// The file could not be written; nothing of it is left.
    fn write(&mut self, name: &str, parts: &[&[u8]]) -> io::Result<()>;

    /// Names of the files that are there.
    ///
    /// # Errors
    /// The folder cannot be read.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Removes a file.
    ///
    /// # Errors
    /// It cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// What is kept and written at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Bytes of blocks in memory.
    pub ring_bytes: usize,
    /// Files that are kept; the oldest go.
    pub max_files: usize,
    /// Whether all is written, a file each time that the ring has been filled anew, and not only when there is a reason.
    pub write_all: bool,
}

/// What came of a piece, for the log.
#[derive(Debug, PartialEq)]
pub enum WriteOutcome {
    /// A file was written.
    Written(String),
    /// A file could not be written, and why.
    Failed(String),
}

/// The end of a capture that gathers.
pub struct Sink<D> {
    recorder: Recorder,
    ring: Ring,
    storage: D,
    bounds: Bounds,
    nodo: String,
    epoch: f64,
    now: f64,
    /// Files written so far; part of their names, so that two at one time differ.
    written: u64,
    /// Bytes since all was last written.
    unwritten_bytes: usize,
}

/// What the names of captures end with.
pub const ENDING: &str = ".jshcap";

impl<D: Storage> Sink<D> {
    /// Nothing was taken yet.
    pub fn new(header: Header, limits: Limits, bounds: Bounds, storage: D) -> Sink<D> {
        let (nodo, epoch) = (header.nodo.clone(), header.epoch);
        Sink {
            recorder: Recorder::new(header, limits),
            ring: Ring::new(bounds.ring_bytes),
            storage,
            bounds,
            nodo,
            epoch,
            now: 0.0,
            written: 0,
            unwritten_bytes: 0,
        }
    }

    /// Takes a piece.
    pub fn take(&mut self, piece: Message) -> Option<WriteOutcome> {
        let block = match piece {
            Message::Missed(rounds) => {
                self.recorder.missed(rounds);
                Ok(None)
            }
            Message::Snapshot { now, state, auxiliary } => {
                // A state begins a block.
                let previous = self.recorder.flush();
                if let Ok(Some(block)) = previous {
                    self.push_block(block);
                }
                let taken = self.recorder.snapshot(now, state);
                taken
                    .and_then(|()| auxiliary.map_or(Ok(()), |states| self.recorder.auxiliary_states(states)))
                    .map(|()| None)
            }
            Message::Round(round) => {
                self.now = round.now;
                self.recorder.round(&round)
            }
            Message::AuxiliarySteps(encoded) => self.recorder.auxiliary_steps(&encoded),
            Message::WriteOut(reason) => return Some(self.write_out(reason)),
            Message::SetRingBytes(most) => {
                self.ring.set_max_bytes(most);
                Ok(None)
            }
        };
        match block {
            Ok(Some(block)) => {
                self.push_block(block);
                // Once the ring has been filled anew it is written before the oldest goes.
                let full = self.bounds.write_all && self.unwritten_bytes * 2 > self.bounds.ring_bytes;
                full.then(|| self.write_out(Reason::Full))
            }
            Ok(None) => None,
            Err(e) => Some(WriteOutcome::Failed(e.to_string())),
        }
    }

    fn push_block(&mut self, block: Vec<u8>) {
        let snapshot = format::read_block_header(&block).is_ok_and(|header| header.snapshot);
        self.unwritten_bytes += block.len();
        self.ring.push(block, snapshot);
    }

    /// Writes all that is kept to a file of its own; the oldest files make room.
    fn write_out(&mut self, reason: Reason) -> WriteOutcome {
        if let Ok(Some(block)) = self.recorder.flush() {
            self.push_block(block);
        }
        self.unwritten_bytes = 0;
        self.written += 1;
        // The name sorts by time. The cast is exact for any time that a clock shows.
        let unix_ms = ((self.epoch + self.now) * 1000.0).max(0.0) as u64;
        let name = format!("{}-{unix_ms:014}-{:04}-{}{ENDING}", self.nodo, self.written, reason.name());
        let header = format::file_header();
        let parts: Vec<&[u8]> = [&header[..]].into_iter().chain(self.ring.blocks()).collect();
        if parts.len() == 1 {
            return WriteOutcome::Failed("nothing is kept yet".to_string());
        }
        match self.storage.write(&name, &parts).and_then(|()| self.remove_old_files()) {
            Ok(()) => WriteOutcome::Written(name),
            Err(e) => WriteOutcome::Failed(format!("{name}: {e}")),
        }
    }

    fn remove_old_files(&mut self) -> io::Result<()> {
        let ours = format!("{}-", self.nodo);
        let mut names = self.storage.list()?;
        names.retain(|name| name.starts_with(&ours) && name.ends_with(ENDING));
        names.sort();
        let most = self.bounds.max_files.max(1);
        for name in names.iter().take(names.len().saturating_sub(most)) {
            self.storage.remove(name)?;
        }
        Ok(())
    }

    /// Bytes of blocks in memory.
    pub fn ring_bytes(&self) -> usize {
        self.ring.bytes()
    }

    /// What writes.
    pub fn storage(&mut self) -> &mut D {
        &mut self.storage
    }
}

#[cfg(test)]
mod tests;
