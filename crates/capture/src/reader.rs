//! Reads captures, skipping truncated and corrupt parts.

use crate::format::{self, BLOCK_MAGIC, BlockHeader, FormatError};
use crate::record::Record;

/// A part of a capture. Parts are in file order.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// An intact block.
    Block {
        /// The offset of the block in the file.
        offset: usize,
        /// The header of the block.
        header: BlockHeader,
        /// The records of the block.
        records: Vec<Record>,
    },
    /// Unreadable bytes, up to the next block or the end of the file.
    Corrupt {
        /// The offset of the bytes in the file.
        offset: usize,
        /// The number of bytes.
        length: usize,
        /// The reason.
        error: FormatError,
    },
}

/// Iterates over the parts of a capture.
pub struct PartReader<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// Returns an iterator over the parts of a capture.
///
/// # Errors
/// The bytes are not a capture, or have a later version.
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
                // Skips to the next valid block header. The magic alone is not enough: it may occur in a
                // payload.
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
