//! Blocks: how records lie in a file or a ring. A block stands for itself: it can be read without those before it, and
//! found again behind bytes that are not understood.
//!
//! All numbers are little-endian. A file begins with [`MAGIC`] and the version; then blocks follow without anything between.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0–3 | [`MARK`] |
//! | 4–11 | the number of the block, from 1 |
//! | 12–19 | the module's clock at the first round, in its bits; that of the block before where there is no round |
//! | 20–27 | the same at the last round |
//! | 28 | 1 if the block begins with a head and a snapshot, else 0 |
//! | 29–32 | records |
//! | 33–36 | length of the payload, unpacked |
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
pub const FILE_HEAD: usize = 8;
/// What a block begins with.
pub const MARK: [u8; 4] = [0xf5, b'J', b'S', 0xb1];
/// Bytes of a block before its payload.
pub const BLOCK_HEAD: usize = 49;
/// The longest payload, unpacked and as it stands: a length beyond it is no length.
pub const MAX_PAYLOAD: usize = 64 * 1024 * 1024;
/// How hard zstd works. Ours: the first level; beyond it time grows faster than space shrinks.
const LEVEL: i32 = 1;

/// The head of a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlockHead {
    /// Its number, from 1.
    pub number: u64,
    /// The module's clock at its first round.
    pub from: f64,
    /// The same at its last.
    pub to: f64,
    /// It begins with a head and a snapshot.
    pub snapshot: bool,
    /// Records in it.
    pub records: u32,
    /// Length of the payload, unpacked.
    pub unpacked: u32,
    /// Length of the payload as it stands.
    pub packed: u32,
    /// Checksum of the payload as it stands.
    pub checksum: u32,
}

/// Why bytes are not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// They are no capture.
    NoCapture,
    /// They were written by a later program.
    Later(u16),
    /// They end before the block does.
    Torn,
    /// A checksum does not fit.
    Checksum,
    /// What the checksum vouches for is not understood all the same.
    Payload(String),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::NoCapture => f.write_str("this is no capture"),
            Unreadable::Later(version) => {
                write!(f, "the capture has format version {version}, and this program reads up to {VERSION}")
            }
            Unreadable::Torn => f.write_str("the block is torn off"),
            Unreadable::Checksum => f.write_str("the block is spoilt: its checksum does not fit"),
            Unreadable::Payload(what) => write!(f, "the block is not understood: {what}"),
        }
    }
}

impl std::error::Error for Unreadable {}

/// The first bytes of a file.
pub fn file_head() -> [u8; FILE_HEAD] {
    let mut head = [0; FILE_HEAD];
    head[..6].copy_from_slice(MAGIC);
    head[6..].copy_from_slice(&VERSION.to_le_bytes());
    head
}

/// Reads the first bytes of a file; returns its version.
///
/// # Errors
/// It is no capture, or one of a later version.
pub fn read_file_head(bytes: &[u8]) -> Result<u16, Unreadable> {
    let Some(head) = bytes.get(..FILE_HEAD).filter(|head| head[..6] == *MAGIC) else {
        return Err(Unreadable::NoCapture);
    };
    match u16::from_le_bytes([head[6], head[7]]) {
        0 => Err(Unreadable::NoCapture),
        version if version > VERSION => Err(Unreadable::Later(version)),
        version => Ok(version),
    }
}

/// Appends records to a payload that is not packed yet.
///
/// # Errors
/// None that a record can cause; what the library reports is passed on.
pub fn put_record(payload: &mut Vec<u8>, record: &Record) -> Result<(), Unreadable> {
    let bytes = postcard::to_stdvec(record).map_err(|e| Unreadable::Payload(e.to_string()))?;
    payload.extend(bytes);
    Ok(())
}

/// Makes a block of a payload.
///
/// # Errors
/// The payload is too long.
pub fn put_block(out: &mut Vec<u8>, head: BlockHead, payload: &[u8]) -> Result<(), Unreadable> {
    if payload.len() > MAX_PAYLOAD {
        return Err(Unreadable::Payload(format!("{} bytes are too many for a block", payload.len())));
    }
    let packed = zstd::bulk::compress(payload, LEVEL).map_err(|e| Unreadable::Payload(e.to_string()))?;
    let head = BlockHead {
        unpacked: payload.len() as u32,
        packed: packed.len() as u32,
        checksum: crc32c::crc32c(&packed),
        ..head
    };
    let start = out.len();
    out.extend(MARK);
    out.extend(head.number.to_le_bytes());
    out.extend(head.from.to_bits().to_le_bytes());
    out.extend(head.to.to_bits().to_le_bytes());
    out.push(u8::from(head.snapshot));
    for number in [head.records, head.unpacked, head.packed, head.checksum] {
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
pub fn read_block_head(bytes: &[u8]) -> Result<BlockHead, Unreadable> {
    let Some(head) = bytes.get(..BLOCK_HEAD) else { return Err(Unreadable::Torn) };
    let four = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let eight = |at: usize| u64::from(four(at)) | u64::from(four(at + 4)) << 32;
    if head[..4] != MARK || crc32c::crc32c(&head[..45]) != four(45) {
        return Err(Unreadable::Checksum);
    }
    let read = BlockHead {
        number: eight(4),
        from: f64::from_bits(eight(12)),
        to: f64::from_bits(eight(20)),
        snapshot: head[28] == 1,
        records: four(29),
        unpacked: four(33),
        packed: four(37),
        checksum: four(41),
    };
    // Guards the memory against a head that was made to fit its checksum.
    if read.unpacked as usize > MAX_PAYLOAD || read.packed as usize > MAX_PAYLOAD {
        return Err(Unreadable::Payload("its length makes no sense".to_string()));
    }
    Ok(read)
}

/// Reads the block at the beginning of `bytes`; returns its head, its records and its length.
///
/// # Errors
/// The block is torn off or spoilt.
pub fn read_block(bytes: &[u8]) -> Result<(BlockHead, Vec<Record>, usize), Unreadable> {
    let head = read_block_head(bytes)?;
    let end = BLOCK_HEAD + head.packed as usize;
    let Some(packed) = bytes.get(BLOCK_HEAD..end) else { return Err(Unreadable::Torn) };
    if crc32c::crc32c(packed) != head.checksum {
        return Err(Unreadable::Checksum);
    }
    let wrong = |what: &dyn fmt::Display| Unreadable::Payload(what.to_string());
    let payload = zstd::bulk::decompress(packed, head.unpacked as usize).map_err(|e| wrong(&e))?;
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
