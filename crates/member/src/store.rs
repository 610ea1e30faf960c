//! A voter's durable state: its identity, its vote, its log and a snapshot of the replicated state, in a
//! `redb` database over a [`StorageBackend`]. The backend is a file, or a simulated disk that loses, tears
//! and fails writes.
//!
//! [`Store::write`] is atomic, and durable once it returns. After an error the store writes nothing more:
//! what is on disk is unknown until it is opened again.

use crate::frame::{LogEntry, Membership, Snapshot};
use jaspershunt_fleet::disk_rollback::KnownIncarnation;
use jaspershunt_fleet::mutants::{Mutant, is_active};
use raft::eraftpb::{Entry, HardState};
use redb::{Database, Durability, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Memory for the database's page cache.
const CACHE_BYTES: usize = 2 * 1024 * 1024;
/// The version of the stored format. Other versions are refused with an error that names them.
const FORMAT_VERSION: u32 = 1;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const IDENTITY: &str = "identity";
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const INCARNATIONS: &str = "lives";

/// Why a store cannot be used.
#[derive(Debug)]
pub enum StoreError {
    /// The disk, or the data on it, is faulty.
    Disk(String),
    /// Another process has it open.
    InUse,
    /// It belongs to another member or another fleet.
    WrongOwner {
        /// The fleet of the owner.
        fleet: String,
        /// The member that owns it.
        member: String,
    },
    /// It has another format version.
    FormatVersion(u32),
    /// Entries of this part of the replicated state were applied while the program did not know the part.
    PartOutdated(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Disk(what) => write!(f, "disk error: {what}"),
            StoreError::InUse => f.write_str("another process has it open"),
            StoreError::WrongOwner { fleet, member } => {
                write!(f, "it belongs to the member {member:?} of the fleet {fleet:?}")
            }
            StoreError::PartOutdated(part) => write!(f, "its state of the part {part:?} is outdated"),
            StoreError::FormatVersion(format_version) => {
                write!(f, "its format version is {format_version}, this program supports {FORMAT_VERSION}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

fn disk(e: impl fmt::Display) -> StoreError {
    StoreError::Disk(e.to_string())
}

/// Who owns a disk, and which incarnation uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    format_version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// The member's name.
    pub member: String,
    /// The disk's id, drawn at random when it was created.
    pub disk: u64,
    /// How often the disk was opened.
    pub incarnation: u64,
    /// Random number of this incarnation.
    pub nonce: u64,
}

/// The state that was read from the disk.
#[derive(Debug)]
pub struct StoredState {
    /// The identity, with the new incarnation.
    pub identity: Identity,
    /// The term, the vote and the commit index.
    pub hard: HardState,
    /// The state before the first entry of the log.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// What is known of other disks' incarnations.
    pub incarnations: BTreeMap<u64, KnownIncarnation>,
    /// Whether the disk was empty and has been initialized.
    pub is_new: bool,
}

/// Changes that are written in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The term, the vote and the commit index.
    pub hard: Option<HardState>,
    /// Entries to append; stored entries from the index of the first one on are deleted.
    pub entries: Vec<Entry>,
    /// A new snapshot; the entries that it covers are deleted, or with `true` the whole log.
    pub snapshot: Option<(Snapshot, bool)>,
    /// What is known of other disks' incarnations.
    pub incarnations: Option<BTreeMap<u64, KnownIncarnation>>,
}

/// An open store.
pub struct Store {
    database: Database,
    failed: bool,
    last: u64,
}

/// Adapts a boxed backend to the generic interface of `redb`.
#[derive(Debug)]
struct BoxedBackend(Box<dyn StorageBackend>);

impl StorageBackend for BoxedBackend {
    fn len(&self) -> Result<u64, std::io::Error> {
        self.0.len()
    }

    fn read(&self, offset: u64, len: usize) -> Result<Vec<u8>, std::io::Error> {
        self.0.read(offset, len)
    }

    fn set_len(&self, len: u64) -> Result<(), std::io::Error> {
        self.0.set_len(len)
    }

    fn sync_data(&self, eventual: bool) -> Result<(), std::io::Error> {
        self.0.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), std::io::Error> {
        self.0.write(offset, data)
    }
}

fn bytes(value: &impl Serialize) -> Vec<u8> {
    // Serializing these types into memory does not fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn read<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, StoreError> {
    let Some(found) = table.get(key).map_err(disk)? else { return Ok(None) };
    postcard::from_bytes(found.value()).map(Some).map_err(|e| disk(format!("{key}: {e}")))
}

impl Store {
    /// Opens a store, initializes it if it is empty, and records a new incarnation. `random` must be drawn
    /// anew for each incarnation.
    ///
    /// # Errors
    /// The disk cannot be used.
    pub fn open(
        backend: Box<dyn StorageBackend>,
        fleet: &str,
        member: &str,
        random: [u64; 2],
    ) -> Result<(Store, StoredState), StoreError> {
        let database =
            Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(BoxedBackend(backend));
        let database = database.map_err(|e| match e {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
            e => disk(e),
        })?;
        let write = database.begin_write().map_err(disk)?;
        let found = {
            let mut meta = write.open_table(META).map_err(disk)?;
            let log = write.open_table(LOG).map_err(disk)?;
            let identity: Option<Identity> = read(&meta, IDENTITY)?;
            let is_new = identity.is_none();
            let [number, nonce] = random;
            let mut identity = identity.unwrap_or_else(|| Identity {
                format_version: FORMAT_VERSION,
                fleet: fleet.to_string(),
                member: member.to_string(),
                // 0 is not a valid id in `raft`.
                disk: number.max(1),
                incarnation: 0,
                nonce: 0,
            });
            if identity.format_version != FORMAT_VERSION {
                return Err(StoreError::FormatVersion(identity.format_version));
            }
            if identity.fleet != fleet || identity.member != member {
                return Err(StoreError::WrongOwner { fleet: identity.fleet, member: identity.member });
            }
            // Written before any message is sent, so that two incarnations of one disk are never mistaken for
            // each other.
            (identity.incarnation, identity.nonce) = (identity.incarnation + 1, nonce);
            meta.insert(IDENTITY, bytes(&identity).as_slice()).map_err(disk)?;
            let (term, vote, commit): (u64, u64, u64) = read(&meta, HARD)?.unwrap_or_default();
            let mut hard = HardState::default();
            (hard.term, hard.vote, hard.commit) = (term, vote, commit);
            let snapshot: Snapshot = read(&meta, SNAPSHOT)?.unwrap_or_default();
            let incarnations = read(&meta, INCARNATIONS)?.unwrap_or_default();
            let mut entries = Vec::new();
            for entry in log.iter().map_err(disk)? {
                let (index, entry) = entry.map_err(disk)?;
                let entry: LogEntry = postcard::from_bytes(entry.value())
                    .map_err(|e| disk(format!("entry {}: {e}", index.value())))?;
                if entry.index != snapshot.index + 1 + entries.len() as u64 {
                    return Err(disk(format!("entry {} is not at the expected index", index.value())));
                }
                entries.push(Entry::from(entry));
            }
            // The commit index is not written on every change, and must not exceed the stored log.
            hard.commit = hard.commit.max(snapshot.index).min(snapshot.index + entries.len() as u64);
            StoredState { identity, hard, snapshot, entries, incarnations, is_new }
        };
        write.commit().map_err(disk)?;
        let last = found.snapshot.index + found.entries.len() as u64;
        Ok((Store { database, failed: false, last }, found))
    }

    /// Makes an empty store the only voter of a new fleet.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub fn bootstrap(&mut self, disk: u64, state: Vec<u8>) -> Result<(), StoreError> {
        let membership = Membership { voters: vec![disk], learners: Vec::new() };
        let snapshot = Snapshot { index: 1, term: 1, membership, data: state };
        let mut hard = HardState::default();
        (hard.term, hard.commit) = (1, 1);
        self.write(&Batch { hard: Some(hard), snapshot: Some((snapshot, true)), ..Batch::default() })
    }

    /// Whether a write has failed, after which nothing more is written.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Writes the batch atomically and durably.
    ///
    /// # Errors
    /// The disk fails. From then on nothing is written.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if self.failed {
            return Err(disk("an earlier write failed"));
        }
        let written = self.try_write(batch);
        // Guards against a disk that fails once and reports success the next time: its content is unknown.
        self.failed = written.is_err();
        written
    }

    fn try_write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let mut write = self.database.begin_write().map_err(disk)?;
        if is_active(Mutant::SaidBeforeSynced) {
            write.set_durability(Durability::None);
        }
        let mut last = self.last;
        {
            let mut meta = write.open_table(META).map_err(disk)?;
            let mut log = write.open_table(LOG).map_err(disk)?;
            if let Some(hard) = &batch.hard {
                let hard = bytes(&(hard.term, hard.vote, hard.commit));
                meta.insert(HARD, hard.as_slice()).map_err(disk)?;
            }
            if let Some((snapshot, all)) = &batch.snapshot {
                meta.insert(SNAPSHOT, bytes(snapshot).as_slice()).map_err(disk)?;
                let up_to = if *all { u64::MAX } else { snapshot.index };
                log.retain_in(0..=up_to, |_, _| false).map_err(disk)?;
                last = if *all { snapshot.index } else { last.max(snapshot.index) };
            }
            if let Some(first) = batch.entries.first() {
                if first.index <= last {
                    log.retain_in(first.index.., |_, _| false).map_err(disk)?;
                }
                for entry in &batch.entries {
                    let value = bytes(&LogEntry::from(entry));
                    log.insert(entry.index, value.as_slice()).map_err(disk)?;
                    last = entry.index;
                }
            }
            if let Some(incarnations) = &batch.incarnations {
                meta.insert(INCARNATIONS, bytes(incarnations).as_slice()).map_err(disk)?;
            }
        }
        write.commit().map_err(disk)?;
        self.last = last;
        Ok(())
    }
}
