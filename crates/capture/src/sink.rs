//! Builds blocks from a nodo's messages, keeps the most recent ones and writes them out. Performs no I/O
//! itself: files are written through [`Storage`].

use crate::format;
use crate::record::Header;
use crate::recorder::{Limits, Recorder};
use crate::ring::Ring;
use crate::tap::{Message, Reason};
use std::io;

/// Stores capture files.
pub trait Storage {
    /// Writes a file atomically: whole or not at all.
    ///
    /// # Errors
    /// The file could not be written; no part of it remains.
    fn write(&mut self, name: &str, parts: &[&[u8]]) -> io::Result<()>;

    /// Lists the names of the stored files.
    ///
    /// # Errors
    /// The files cannot be listed.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Removes a file.
    ///
    /// # Errors
    /// The file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Limits on memory and files.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum bytes of blocks in memory.
    pub ring_bytes: usize,
    /// Maximum number of files; the oldest are removed.
    pub max_files: usize,
    /// Whether all rounds are written, in a new file before the ring overwrites unwritten blocks, and not
    /// only on a trigger.
    pub write_all: bool,
}

/// The outcome of a write, for the log.
#[derive(Debug, PartialEq)]
pub enum WriteOutcome {
    /// The file with this name was written.
    Written(String),
    /// A block or file could not be written, with the reason.
    Failed(String),
}

/// The receiving end of a capture.
pub struct Sink<D> {
    recorder: Recorder,
    ring: Ring,
    storage: D,
    bounds: Bounds,
    nodo: String,
    epoch: f64,
    now: f64,
    /// Files written so far. Part of the file name, so that two files of one time differ.
    written: u64,
    /// Bytes of blocks since the last write.
    unwritten_bytes: usize,
}

/// The extension of capture file names.
pub const ENDING: &str = ".jshcap";

impl<D: Storage> Sink<D> {
    /// Creates a sink without any blocks.
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

    /// Processes a message. Returns the outcome if a file was to be written.
    pub fn take(&mut self, message: Message) -> Option<WriteOutcome> {
        let block = match message {
            Message::Missed(rounds) => {
                self.recorder.missed(rounds);
                Ok(None)
            }
            Message::Snapshot { now, state, auxiliary } => {
                // A snapshot starts a block.
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
            Message::SetRingBytes(max_bytes) => {
                self.ring.set_max_bytes(max_bytes);
                Ok(None)
            }
        };
        match block {
            Ok(Some(block)) => {
                self.push_block(block);
                // Writes at half the ring's size, before unwritten blocks are overwritten.
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

    /// Writes all kept blocks to a new file and removes the oldest files.
    fn write_out(&mut self, reason: Reason) -> WriteOutcome {
        if let Ok(Some(block)) = self.recorder.flush() {
            self.push_block(block);
        }
        self.unwritten_bytes = 0;
        self.written += 1;
        // File names sort by time. The cast is exact for any realistic time.
        let unix_ms = ((self.epoch + self.now) * 1000.0).max(0.0) as u64;
        let name = format!("{}-{unix_ms:014}-{:04}-{}{ENDING}", self.nodo, self.written, reason.name());
        let header = format::file_header();
        let parts: Vec<&[u8]> = [&header[..]].into_iter().chain(self.ring.blocks()).collect();
        if parts.len() == 1 {
            return WriteOutcome::Failed("no blocks are recorded yet".to_string());
        }
        match self.storage.write(&name, &parts).and_then(|()| self.remove_old_files()) {
            Ok(()) => WriteOutcome::Written(name),
            Err(e) => WriteOutcome::Failed(format!("{name}: {e}")),
        }
    }

    fn remove_old_files(&mut self) -> io::Result<()> {
        let prefix = format!("{}-", self.nodo);
        let mut names = self.storage.list()?;
        names.retain(|name| name.starts_with(&prefix) && name.ends_with(ENDING));
        names.sort();
        let max_files = self.bounds.max_files.max(1);
        for name in names.iter().take(names.len().saturating_sub(max_files)) {
            self.storage.remove(name)?;
        }
        Ok(())
    }

    /// Returns the bytes of blocks in memory.
    pub fn ring_bytes(&self) -> usize {
        self.ring.bytes()
    }

    /// Returns the storage.
    pub fn storage(&mut self) -> &mut D {
        &mut self.storage
    }
}

#[cfg(test)]
mod tests;
