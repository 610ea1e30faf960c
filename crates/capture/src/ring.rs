//! A bounded buffer of the most recent blocks of a capture. The kept blocks start with a snapshot, so that
//! all of them can be replayed.

use std::collections::VecDeque;

/// A ring of blocks, bounded in bytes.
#[derive(Clone, Debug)]
pub struct Ring {
    /// The blocks, each with whether it starts with a snapshot.
    blocks: VecDeque<(Vec<u8>, bool)>,
    bytes: usize,
    max_bytes: usize,
}

impl Ring {
    /// Creates an empty ring of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Ring {
        Ring { blocks: VecDeque::new(), bytes: 0, max_bytes }
    }

    /// Adds a block. Removes the oldest blocks over the limit, and those after them up to the next snapshot.
    pub fn push(&mut self, block: Vec<u8>, snapshot: bool) {
        self.bytes += block.len();
        self.blocks.push_back((block, snapshot));
        self.trim();
    }

    /// Sets the limit and removes the oldest blocks over it.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
        self.trim();
    }

    fn trim(&mut self) {
        let mut removed = false;
        while self.bytes > self.max_bytes {
            self.pop();
            removed = true;
        }
        // A block cannot be replayed without the preceding snapshot. If nothing was removed, the first
        // block may be the capture's first.
        while removed && self.blocks.front().is_some_and(|(_, snapshot)| !snapshot) {
            self.pop();
        }
    }

    fn pop(&mut self) {
        if let Some((block, _)) = self.blocks.pop_front() {
            self.bytes -= block.len();
        }
    }

    /// Returns the bytes in the ring.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Iterates over the blocks, oldest first.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(|(block, _)| &block[..])
    }
}

#[cfg(test)]
mod tests;
