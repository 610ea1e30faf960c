//! Reads a capture past what is torn or spoilt.

use crate::format::{self, BlockHead, MARK, Unreadable};
use crate::record::Record;

/// What stands in a capture, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// A block.
    Block {
        /// Where it begins.
        offset: usize,
        /// Its head.
        head: BlockHead,
        /// What is in it.
        records: Vec<Record>,
    },
    /// Bytes that are not understood, up to the next block or the end.
    Spoilt {
        /// Where they begin.
        offset: usize,
        /// How many.
        length: usize,
        /// Why.
        why: Unreadable,
    },
}

/// Reads the parts of a capture one after another.
pub struct Parts<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// The parts of a capture.
///
/// # Errors
/// The bytes are no capture, or one of a later version.
pub fn parts(bytes: &[u8]) -> Result<Parts<'_>, Unreadable> {
    format::read_file_head(bytes)?;
    Ok(Parts { bytes, at: format::FILE_HEAD })
}

impl Iterator for Parts<'_> {
    type Item = Part;

    fn next(&mut self) -> Option<Part> {
        let offset = self.at;
        let rest = self.bytes.get(offset..).filter(|rest| !rest.is_empty())?;
        match format::read_block(rest) {
            Ok((head, records, length)) => {
                self.at += length;
                Some(Part::Block { offset, head, records })
            }
            Err(why) => {
                // The next place where a block begins whose head vouches for itself: a mark alone may stand in a payload.
                let begins = |from: &usize| {
                    rest[*from..].starts_with(&MARK) && format::read_block_head(&rest[*from..]).is_ok()
                };
                let length = (1..rest.len()).find(begins).unwrap_or(rest.len());
                self.at += length;
                Some(Part::Spoilt { offset, length, why })
            }
        }
    }
}
