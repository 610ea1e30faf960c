//! The last blocks of a capture, in so many bytes. What is kept always begins with the decision state, so that all of it
//! can be replayed.

use std::collections::VecDeque;

/// The blocks that are kept.
#[derive(Clone, Debug)]
pub struct Ring {
    /// Each block, and whether it begins with the state.
    blocks: VecDeque<(Vec<u8>, bool)>,
    bytes: usize,
    max_bytes: usize,
}

impl Ring {
    /// Nothing is kept yet, and never more than so many bytes.
    pub fn new(max_bytes: usize) -> Ring {
        Ring { blocks: VecDeque::new(), bytes: 0, max_bytes }
    }

    /// Keeps a block; the oldest go, and with them all up to the next state.
    pub fn push(&mut self, block: Vec<u8>, snapshot: bool) {
        self.bytes += block.len();
        self.blocks.push_back((block, snapshot));
        self.trim();
    }

    /// From now on never more than so many bytes.
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
        // Without the state before it a block cannot be replayed; where nothing went, the first may be the capture's first.
        while removed && self.blocks.front().is_some_and(|(_, snapshot)| !snapshot) {
            self.pop();
        }
    }

    fn pop(&mut self) {
        if let Some((block, _)) = self.blocks.pop_front() {
            self.bytes -= block.len();
        }
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The blocks, the oldest first.
    pub fn blocks(&self) -> impl Iterator<Item = &[u8]> {
        self.blocks.iter().map(|(block, _)| &block[..])
    }
}

#[cfg(test)]
mod tests;
