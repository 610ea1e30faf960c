//! Blocks: how records lie in a file or a ring. A block stands for itself: it can be read without those before it, and
//! found again behind bytes that are not understood.
//!
//! All numbers are little-endian. A file begins with [`MAGIC`] and the version; then blocks follow without anything between.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0–3 | [`BLOCK_MAGIC`] |
//! | 4–11 | the number of the block, from 1 |
//! | 12–19 | the module's clock at the first round, in its bits; that of the block before where there is no round |
//! | 20–27 | the same at the last round |
//! | 28 | 1 if the block begins with a head and a snapshot, else 0 |
//! | 29–32 | records |
//! | 33–36 | length of the payload, uncompressed_bytes |
//! | 37–40 | length of the payload as it stands |
//! | 41–44 | CRC-32C of the payload as it stands |
//! | 45–48 | CRC-32C of the 45 bytes before |
//! | 49– | the payload: zstd of the records in postcard, one after another |

use crate::record::Record;
use std::fmt;

/// What a file begins with, before the version.
pub const MAGIC: &[u8; 6] = b"JSHCAP";
/// The version that is written, and the highest that is read.
pub const VERSION: u16 = 1;
/// Bytes before the first block.
pub const FILE_HEADER_BYTES: usize = 8;
/// What a block begins with.
pub const BLOCK_MAGIC: [u8; 4] = [0xf5, b'J', b'S', 0xb1];
/// Bytes of a block before its payload.
pub const BLOCK_HEADER_BYTES: usize = 49;
/// The longest payload, uncompressed_bytes and as it stands: a length beyond it is no length.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
/// How hard zstd works. Ours: the first level; beyond it time grows faster than space shrinks.
const ZSTD_LEVEL: i32 = 1;

/// The head of a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlockHeader {
    /// Its number, from 1.
    pub number: u64,
    /// The module's clock at its first round.
    pub starts_at: f64,
    /// The same at its last.
    pub ends_at: f64,
    /// It begins with a head and a snapshot.
    pub snapshot: bool,
    /// Records in it.
    pub records: u32,
    /// Length of the payload, uncompressed_bytes.
    pub uncompressed_bytes: u32,
    /// Length of the payload as it stands.
    pub compressed_bytes: u32,
    /// Checksum of the payload as it stands.
    pub checksum: u32,
}

/// Why bytes are not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormatError {
    /// They are no capture.
    NotACapture,
    /// They were written by a later program.
    UnsupportedVersion(u16),
    /// They end before the block does.
    Truncated,
    /// A checksum does not fit.
    Checksum,
    /// What the checksum vouches for is not understood all the same.
    Payload(String),
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FormatError::NotACapture => f.write_str("this is no capture"),
            FormatError::UnsupportedVersion(version) => {
                write!(f, "the capture has format version {version}, and this program reads up to {VERSION}")
            }
            FormatError::Truncated => f.write_str("the block is torn off"),
            FormatError::Checksum => f.write_str("the block is spoilt: its checksum does not fit"),
            FormatError::Payload(what) => write!(f, "the block is not understood: {what}"),
        }
    }
}

impl std::error::Error for FormatError {}

/// The first bytes of a file.
pub fn file_header() -> [u8; FILE_HEADER_BYTES] {
    let mut head = [0; FILE_HEADER_BYTES];
    head[..6].copy_from_slice(MAGIC);
    head[6..].copy_from_slice(&VERSION.to_le_bytes());
    head
}

/// Reads the first bytes of a file; returns its version.
///
/// # Errors
/// It is no capture, or one of a later version.
pub fn read_file_header(bytes: &[u8]) -> Result<u16, FormatError> {
    let Some(head) = bytes.get(..FILE_HEADER_BYTES).filter(|head| head[..6] == *MAGIC) else {
        return Err(FormatError::NotACapture);
    };
    match u16::from_le_bytes([head[6], head[7]]) {
        0 => Err(FormatError::NotACapture),
        version if version > VERSION => Err(FormatError::UnsupportedVersion(version)),
        version => Ok(version),
    }
}

/// Appends records to a payload that is not packed yet.
///
/// # Errors
/// None that a record can cause; what the library reports is passed on.
pub fn append_record(payload: &mut Vec<u8>, record: &Record) -> Result<(), FormatError> {
    let bytes = postcard::to_stdvec(record).map_err(|e| FormatError::Payload(e.to_string()))?;
    payload.extend(bytes);
    Ok(())
}

/// Makes a block of a payload.
///
/// # Errors
/// The payload is too long.
pub fn append_block(out: &mut Vec<u8>, head: BlockHeader, payload: &[u8]) -> Result<(), FormatError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(FormatError::Payload(format!("{} bytes are too many for a block", payload.len())));
    }
    let packed =
        zstd::bulk::compress(payload, ZSTD_LEVEL).map_err(|e| FormatError::Payload(e.to_string()))?;
    let head = BlockHeader {
        uncompressed_bytes: payload.len() as u32,
        compressed_bytes: packed.len() as u32,
        checksum: crc32c::crc32c(&packed),
        ..head
    };
    let start = out.len();
    out.extend(BLOCK_MAGIC);
    out.extend(head.number.to_le_bytes());
    out.extend(head.starts_at.to_bits().to_le_bytes());
    out.extend(head.ends_at.to_bits().to_le_bytes());
    out.push(u8::from(head.snapshot));
    for number in [head.records, head.uncompressed_bytes, head.compressed_bytes, head.checksum] {
        out.extend(number.to_le_bytes());
    }
    let checksum = crc32c::crc32c(&out[start..]);
    out.extend(checksum.to_le_bytes());
    out.extend(packed);
    Ok(())
}

/// Reads the head of the block at the beginning of `bytes`.
///
/// # Errors
/// The bytes end too soon, or are none.
pub fn read_block_header(bytes: &[u8]) -> Result<BlockHeader, FormatError> {
    let Some(head) = bytes.get(..BLOCK_HEADER_BYTES) else { return Err(FormatError::Truncated) };
    let four = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let eight = |at: usize| u64::from(four(at)) | u64::from(four(at + 4)) << 32;
    if head[..4] != BLOCK_MAGIC || crc32c::crc32c(&head[..45]) != four(45) {
        return Err(FormatError::Checksum);
    }
    let read = BlockHeader {
        number: eight(4),
        starts_at: f64::from_bits(eight(12)),
        ends_at: f64::from_bits(eight(20)),
        snapshot: head[28] == 1,
        records: four(29),
        uncompressed_bytes: four(33),
        compressed_bytes: four(37),
        checksum: four(41),
    };
    // Guards the memory against a head that was made to fit its checksum.
    if read.uncompressed_bytes as usize > MAX_PAYLOAD_BYTES
        || read.compressed_bytes as usize > MAX_PAYLOAD_BYTES
    {
        return Err(FormatError::Payload("its length makes no sense".to_string()));
    }
    Ok(read)
}

/// Reads the block at the beginning of `bytes`; returns its head, its records and its length.
///
/// # Errors
/// The block is torn off or spoilt.
pub fn read_block(bytes: &[u8]) -> Result<(BlockHeader, Vec<Record>, usize), FormatError> {
    let head = read_block_header(bytes)?;
    let end = BLOCK_HEADER_BYTES + head.compressed_bytes as usize;
    let Some(packed) = bytes.get(BLOCK_HEADER_BYTES..end) else { return Err(FormatError::Truncated) };
    if crc32c::crc32c(packed) != head.checksum {
        return Err(FormatError::Checksum);
    }
    let wrong = |what: &dyn fmt::Display| FormatError::Payload(what.to_string());
    let payload = zstd::bulk::decompress(packed, head.uncompressed_bytes as usize).map_err(|e| wrong(&e))?;
    let mut rest = &payload[..];
    let mut records = Vec::new();
    for _ in 0..head.records {
        let (record, after) = postcard::take_from_bytes::<Record>(rest).map_err(|e| wrong(&e))?;
        records.push(record);
        rest = after;
    }
    if !rest.is_empty() {
        return Err(wrong(&format!("{} bytes are left over", rest.len())));
    }
    Ok((head, records, end))
}
