//! Takes what a nodo hands over, makes blocks of it, keeps the last ones and has them written out. It decides all of that
//! and touches no file: what it wants written it gives back, and [`Disk`] is what writes.

use crate::format;
use crate::record::Head;
use crate::recorder::{Limits, Recorder};
use crate::ring::Ring;
use crate::tap::{Piece, Reason};
use std::io;

/// Where captures are written.
pub trait Disk {
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
    pub ring: usize,
    /// Files that are kept; the oldest go.
    pub files: usize,
    /// Whether all is written, a file each time that the ring has been filled anew, and not only when there is a reason.
    pub all: bool,
}

/// What came of a piece, for the log.
#[derive(Debug, PartialEq)]
pub enum Told {
    /// A file was written.
    Wrote(String),
    /// A file could not be written, and why.
    Failed(String),
}

/// The end of a capture that gathers.
pub struct Sink<D> {
    recorder: Recorder,
    ring: Ring,
    disk: D,
    bounds: Bounds,
    nodo: String,
    epoch: f64,
    now: f64,
    /// Files written so far; part of their names, so that two at one time differ.
    written: u64,
    /// Bytes since all was last written.
    unwritten: usize,
}

/// What the names of captures end with.
pub const ENDING: &str = ".jshcap";

impl<D: Disk> Sink<D> {
    /// Nothing was taken yet.
    pub fn new(head: Head, limits: Limits, bounds: Bounds, disk: D) -> Sink<D> {
        let (nodo, epoch) = (head.nodo.clone(), head.epoch);
        Sink {
            recorder: Recorder::new(head, limits),
            ring: Ring::new(bounds.ring),
            disk,
            bounds,
            nodo,
            epoch,
            now: 0.0,
            written: 0,
            unwritten: 0,
        }
    }

    /// Takes a piece.
    pub fn take(&mut self, piece: Piece) -> Option<Told> {
        let block = match piece {
            Piece::Missed(rounds) => {
                self.recorder.missed(rounds);
                Ok(None)
            }
            Piece::Snapshot { now, state, sides } => {
                // A state begins a block.
                let before = self.recorder.flush();
                if let Ok(Some(block)) = before {
                    self.keep(block);
                }
                let taken = self.recorder.snapshot(now, state);
                taken
                    .and_then(|()| sides.map_or(Ok(()), |sides| self.recorder.side_states(sides)))
                    .map(|()| None)
            }
            Piece::Round(round) => {
                self.now = round.now;
                self.recorder.round(&round)
            }
            Piece::Sides(encoded) => self.recorder.sides(&encoded),
            Piece::WriteOut(reason) => return Some(self.write_out(reason)),
            Piece::Shrink(most) => {
                self.ring.bound(most);
                Ok(None)
            }
        };
        match block {
            Ok(Some(block)) => {
                self.keep(block);
                // Once the ring has been filled anew it is written before the oldest goes.
                let full = self.bounds.all && self.unwritten * 2 > self.bounds.ring;
                full.then(|| self.write_out(Reason::Full))
            }
            Ok(None) => None,
            Err(e) => Some(Told::Failed(e.to_string())),
        }
    }

    fn keep(&mut self, block: Vec<u8>) {
        let snapshot = format::read_block_head(&block).is_ok_and(|head| head.snapshot);
        self.unwritten += block.len();
        self.ring.push(block, snapshot);
    }

    /// Writes all that is kept to a file of its own; the oldest files make room.
    fn write_out(&mut self, reason: Reason) -> Told {
        if let Ok(Some(block)) = self.recorder.flush() {
            self.keep(block);
        }
        self.unwritten = 0;
        self.written += 1;
        // The name sorts by time. The cast is exact for any time that a clock shows.
        let unix_ms = ((self.epoch + self.now) * 1000.0).max(0.0) as u64;
        let name = format!("{}-{unix_ms:014}-{:04}-{}{ENDING}", self.nodo, self.written, reason.word());
        let head = format::file_head();
        let parts: Vec<&[u8]> = [&head[..]].into_iter().chain(self.ring.blocks()).collect();
        if parts.len() == 1 {
            return Told::Failed("nothing is kept yet".to_string());
        }
        match self.disk.write(&name, &parts).and_then(|()| self.make_room()) {
            Ok(()) => Told::Wrote(name),
            Err(e) => Told::Failed(format!("{name}: {e}")),
        }
    }

    fn make_room(&mut self) -> io::Result<()> {
        let ours = format!("{}-", self.nodo);
        let mut names = self.disk.list()?;
        names.retain(|name| name.starts_with(&ours) && name.ends_with(ENDING));
        names.sort();
        let most = self.bounds.files.max(1);
        for name in names.iter().take(names.len().saturating_sub(most)) {
            self.disk.remove(name)?;
        }
        Ok(())
    }

    /// Bytes of blocks in memory.
    pub fn kept(&self) -> usize {
        self.ring.bytes()
    }

    /// What writes.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }
}

#[cfg(test)]
mod tests;
