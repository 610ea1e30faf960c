//! The file format: how records are stored in a file or a ring buffer. Each block can be read without the
//! blocks before it, and can be found again after unreadable bytes.
//!
//! All numbers are little-endian. A file starts with [`MAGIC`] and the version; blocks follow without
//! padding.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0–3 | [`BLOCK_MAGIC`] |
//! | 4–11 | block number, from 1 |
//! | 12–19 | module clock at the first round as f64 bits; that of the previous block if there is no round |
//! | 20–27 | module clock at the last round, likewise |
//! | 28 | 1 if the block starts with a header and a snapshot, else 0 |
//! | 29–32 | number of records |
//! | 33–36 | uncompressed length of the payload |
//! | 37–40 | compressed length of the payload |
//! | 41–44 | CRC-32C of the compressed payload |
//! | 45–48 | CRC-32C of the preceding 45 bytes |
//! | 49– | payload: the records in postcard, concatenated, compressed with zstd |

use crate::record::Record;
use std::fmt;

/// The first bytes of a file, before the version.
pub const MAGIC: &[u8; 6] = b"JSHCAP";
/// The format version that is written, and the highest that can be read.
pub const VERSION: u16 = 1;
/// The length of the file header: magic and version.
pub const FILE_HEADER_BYTES: usize = 8;
/// The first bytes of a block.
pub const BLOCK_MAGIC: [u8; 4] = [0xf5, b'J', b'S', 0xb1];
/// The length of a block header.
pub const BLOCK_HEADER_BYTES: usize = 49;
/// The longest payload, compressed or not. Longer lengths in a header are rejected as corrupt.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
/// The zstd compression level; at higher levels time grows faster than the size shrinks.
const ZSTD_LEVEL: i32 = 1;

/// The header of a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlockHeader {
    /// The block number, from 1.
    pub number: u64,
    /// The module's clock at the first round, in seconds.
    pub starts_at: f64,
    /// The module's clock at the last round, in seconds.
    pub ends_at: f64,
    /// Whether the block starts with a header record and a snapshot.
    pub snapshot: bool,
    /// The number of records.
    pub records: u32,
    /// The uncompressed length of the payload.
    pub uncompressed_bytes: u32,
    /// The compressed length of the payload.
    pub compressed_bytes: u32,
    /// The CRC-32C of the compressed payload.
    pub checksum: u32,
}

/// A reason why bytes cannot be read as a capture.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormatError {
    /// The bytes are not a capture.
    NotACapture,
    /// The bytes have a later format version.
    UnsupportedVersion(u16),
    /// The bytes end within a block.
    Truncated,
    /// A checksum does not match.
    Checksum,
    /// The checksum matches but the content cannot be decoded or encoded.
    Payload(String),
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FormatError::NotACapture => f.write_str("this is not a capture file"),
            FormatError::UnsupportedVersion(version) => {
                write!(f, "the capture has format version {version}, and this program reads up to {VERSION}")
            }
            FormatError::Truncated => f.write_str("the block is truncated"),
            FormatError::Checksum => f.write_str("the block is corrupt: its checksum does not match"),
            FormatError::Payload(what) => write!(f, "the block cannot be decoded: {what}"),
        }
    }
}

impl std::error::Error for FormatError {}

/// Returns the file header.
pub fn file_header() -> [u8; FILE_HEADER_BYTES] {
    let mut header = [0; FILE_HEADER_BYTES];
    header[..6].copy_from_slice(MAGIC);
    header[6..].copy_from_slice(&VERSION.to_le_bytes());
    header
}

/// Checks the file header and returns its version.
///
/// # Errors
/// The bytes are not a capture, or have a later version.
pub fn read_file_header(bytes: &[u8]) -> Result<u16, FormatError> {
    let Some(header) = bytes.get(..FILE_HEADER_BYTES).filter(|header| header[..6] == *MAGIC) else {
        return Err(FormatError::NotACapture);
    };
    match u16::from_le_bytes([header[6], header[7]]) {
        0 => Err(FormatError::NotACapture),
        version if version > VERSION => Err(FormatError::UnsupportedVersion(version)),
        version => Ok(version),
    }
}

/// Appends a record to an uncompressed payload.
///
/// # Errors
/// Only an error of the serializer, which no record causes.
pub fn append_record(payload: &mut Vec<u8>, record: &Record) -> Result<(), FormatError> {
    let bytes = postcard::to_stdvec(record).map_err(|e| FormatError::Payload(e.to_string()))?;
    payload.extend(bytes);
    Ok(())
}

/// Compresses a payload and appends it to `out` as a block. Lengths and checksum in `header` are filled in.
///
/// # Errors
/// The payload is too long.
pub fn append_block(out: &mut Vec<u8>, header: BlockHeader, payload: &[u8]) -> Result<(), FormatError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(FormatError::Payload(format!(
            "{} bytes exceed the maximum payload of a block",
            payload.len()
        )));
    }
    let packed =
        zstd::bulk::compress(payload, ZSTD_LEVEL).map_err(|e| FormatError::Payload(e.to_string()))?;
    let header = BlockHeader {
        uncompressed_bytes: payload.len() as u32,
        compressed_bytes: packed.len() as u32,
        checksum: crc32c::crc32c(&packed),
        ..header
    };
    let start = out.len();
    out.extend(BLOCK_MAGIC);
    out.extend(header.number.to_le_bytes());
    out.extend(header.starts_at.to_bits().to_le_bytes());
    out.extend(header.ends_at.to_bits().to_le_bytes());
    out.push(u8::from(header.snapshot));
    for number in [header.records, header.uncompressed_bytes, header.compressed_bytes, header.checksum] {
        out.extend(number.to_le_bytes());
    }
    let checksum = crc32c::crc32c(&out[start..]);
    out.extend(checksum.to_le_bytes());
    out.extend(packed);
    Ok(())
}

/// Reads the block header at the start of `bytes`.
///
/// # Errors
/// The header is truncated or corrupt.
pub fn read_block_header(bytes: &[u8]) -> Result<BlockHeader, FormatError> {
    let Some(header) = bytes.get(..BLOCK_HEADER_BYTES) else { return Err(FormatError::Truncated) };
    let u32_at = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let u64_at = |at: usize| u64::from(u32_at(at)) | u64::from(u32_at(at + 4)) << 32;
    if header[..4] != BLOCK_MAGIC || crc32c::crc32c(&header[..45]) != u32_at(45) {
        return Err(FormatError::Checksum);
    }
    let read = BlockHeader {
        number: u64_at(4),
        starts_at: f64::from_bits(u64_at(12)),
        ends_at: f64::from_bits(u64_at(20)),
        snapshot: header[28] == 1,
        records: u32_at(29),
        uncompressed_bytes: u32_at(33),
        compressed_bytes: u32_at(37),
        checksum: u32_at(41),
    };
    // Bounds the allocation for a corrupt or crafted header whose checksum matches.
    if read.uncompressed_bytes as usize > MAX_PAYLOAD_BYTES
        || read.compressed_bytes as usize > MAX_PAYLOAD_BYTES
    {
        return Err(FormatError::Payload("its length exceeds the maximum payload".to_string()));
    }
    Ok(read)
}

/// Reads the block at the start of `bytes`. Returns its header, its records and its length in bytes.
///
/// # Errors
/// The block is truncated or corrupt.
pub fn read_block(bytes: &[u8]) -> Result<(BlockHeader, Vec<Record>, usize), FormatError> {
    let header = read_block_header(bytes)?;
    let end = BLOCK_HEADER_BYTES + header.compressed_bytes as usize;
    let Some(packed) = bytes.get(BLOCK_HEADER_BYTES..end) else { return Err(FormatError::Truncated) };
    if crc32c::crc32c(packed) != header.checksum {
        return Err(FormatError::Checksum);
    }
    let payload_error = |what: &dyn fmt::Display| FormatError::Payload(what.to_string());
    let payload =
        zstd::bulk::decompress(packed, header.uncompressed_bytes as usize).map_err(|e| payload_error(&e))?;
    let mut rest = &payload[..];
    let mut records = Vec::new();
    for _ in 0..header.records {
        let (record, after) = postcard::take_from_bytes::<Record>(rest).map_err(|e| payload_error(&e))?;
        records.push(record);
        rest = after;
    }
    if !rest.is_empty() {
        return Err(payload_error(&format!("{} bytes follow the last record", rest.len())));
    }
    Ok((header, records, end))
}
