//! Reads a capture past what is torn or spoilt.

use crate::format::{self, BLOCK_MAGIC, BlockHeader, FormatError};
use crate::record::Record;

/// What stands in a capture, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// A block.
    Block {
        /// Where it begins.
        offset: usize,
        /// Its header.
        header: BlockHeader,
        /// What is in it.
        records: Vec<Record>,
    },
    /// Bytes that are not understood, up to the next block or the end.
    Corrupt {
        /// Where they begin.
        offset: usize,
        /// How many.
        length: usize,
        /// Why.
        error: FormatError,
    },
}

/// Reads the parts of a capture one after another.
pub struct PartReader<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// The parts of a capture.
///
/// # Errors
/// The bytes are no capture, or one of a later version.
pub fn parts(bytes: &[u8]) -> Result<PartReader<'_>, FormatError> {
    format::read_file_header(bytes)?;
    Ok(PartReader { bytes, at: format::FILE_HEADER_BYTES })
}

impl Iterator for PartReader<'_> {
    type Item = Part;

    fn next(&mut self) -> Option<Part> {
        let offset = self.at;
        let rest = self.bytes.get(offset..).filter(|rest| !rest.is_empty())?;
        match format::read_block(rest) {
            Ok((header, records, length)) => {
                self.at += length;
                Some(Part::Block { offset, header, records })
            }
            Err(error) => {
                // The next place where a block begins whose header vouches for itself: a mark alone may stand in a payload.
                let begins = |from: &usize| {
                    rest[*from..].starts_with(&BLOCK_MAGIC)
                        && format::read_block_header(&rest[*from..]).is_ok()
                };
                let length = (1..rest.len()).find(begins).unwrap_or(rest.len());
                self.at += length;
                Some(Part::Corrupt { offset, length, error })
            }
        }
    }
}
