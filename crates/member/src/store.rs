//! What a voter has promised, on disk: the number of its disk, its life, its vote, its log and a snapshot of the agreed state. A
//! database of `redb` over a [`StorageBackend`], which is a file, or a simulated disk that forgets, tears and fails.
//!
//! What [`Store::write`] returned for is durable, all of it or nothing. After an error the store writes nothing more: what is on disk
//! is not known until it is opened anew.

use crate::frame::{LogEntry, Membership, Snapshot};
use jaspershunt_fleet::disk_rollback::KnownIncarnation;
use jaspershunt_fleet::mutants::{Mutant, is_active};
use raft::eraftpb::{Entry, HardState};
use redb::{Database, Durability, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Bytes of memory that the database may take for pages that it has read or is about to write.
const CACHE_BYTES: usize = 2 * 1024 * 1024;
/// The form of what is written. A later one is refused by name.
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
    /// The disk, or what is on it.
    Disk(String),
    /// Another process has it open.
    InUse,
    /// It belongs to another member, or another fleet.
    WrongOwner {
        /// To which fleet.
        fleet: String,
        /// To which member.
        member: String,
    },
    /// A later program has written it.
    FormatVersion(u32),
    /// Entries of this part of the agreed state went by while the program did not know it.
    PartOutdated(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Disk(what) => write!(f, "the disk fails: {what}"),
            StoreError::InUse => f.write_str("another process has it open"),
            StoreError::WrongOwner { fleet, member } => {
                write!(f, "it belongs to the member {member:?} of the fleet {fleet:?}")
            }
            StoreError::PartOutdated(part) => write!(f, "what it has of {part:?} is not what is agreed"),
            StoreError::FormatVersion(format_version) => {
                write!(f, "it has form {format_version}, this program knows {FORMAT_VERSION}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

fn disk(e: impl fmt::Display) -> StoreError {
    StoreError::Disk(e.to_string())
}

/// Whose it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    format_version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// The member's.
    pub member: String,
    /// The number of this disk, drawn when it was founded.
    pub disk: u64,
    /// Which start this is.
    pub incarnation: u64,
    /// Drawn for this start.
    pub nonce: u64,
}

/// What was found.
#[derive(Debug)]
pub struct StoredState {
    /// Whose it is, with this start's life.
    pub identity: Identity,
    /// The term, the vote and how far is agreed.
    pub hard: HardState,
    /// The state at the beginning of the log.
    pub snapshot: Snapshot,
    /// The log behind it.
    pub entries: Vec<Entry>,
    /// What is known of the lives of other disks.
    pub incarnations: BTreeMap<u64, KnownIncarnation>,
    /// There was nothing there: the disk is founded now.
    pub is_new: bool,
}

/// What is to be written in one go.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The term, the vote and how far is agreed.
    pub hard: Option<HardState>,
    /// Entries; those from the first of them on make way.
    pub entries: Vec<Entry>,
    /// The log begins anew at this, and what it covers is let go; with `true` all of the log goes.
    pub snapshot: Option<(Snapshot, bool)>,
    /// What is known of the lives of other disks.
    pub incarnations: Option<BTreeMap<u64, KnownIncarnation>>,
}

/// A store that is open.
pub struct Store {
    database: Database,
    failed: bool,
    last: u64,
}

/// Any backend.
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
    // Writing into memory fails for nothing that is kept here.
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
    /// Opens a store, or founds it where there is nothing, and writes down that it was started once more. `random` is drawn anew for
    /// each start.
    ///
    /// # Errors
    /// It cannot be used.
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
                // No voter has the number 0.
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
            // Guards against two starts on one disk that are taken for each other: written before anything is said.
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
                    return Err(disk(format!("entry {} is out of its place", index.value())));
                }
                entries.push(Entry::from(entry));
            }
            // What is agreed is written now and then only, and never beyond what is here.
            hard.commit = hard.commit.max(snapshot.index).min(snapshot.index + entries.len() as u64);
            StoredState { identity, hard, snapshot, entries, incarnations, is_new }
        };
        write.commit().map_err(disk)?;
        let last = found.snapshot.index + found.entries.len() as u64;
        Ok((Store { database, failed: false, last }, found))
    }

    /// Makes a new store the first voter of a new fleet, alone so far.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn found(&mut self, disk: u64, state: Vec<u8>) -> Result<(), StoreError> {
        let membership = Membership { voters: vec![disk], learners: Vec::new() };
        let snapshot = Snapshot { index: 1, term: 1, membership, data: state };
        let mut hard = HardState::default();
        (hard.term, hard.commit) = (1, 1);
        self.write(&Batch { hard: Some(hard), snapshot: Some((snapshot, true)), ..Batch::default() })
    }

    /// Whether it writes nothing more.
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Writes all of it, durably, or nothing.
    ///
    /// # Errors
    /// The disk fails. From then on nothing is written.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        if self.failed {
            return Err(disk("it failed before"));
        }
        let written = self.try_write(batch);
        // Guards against a disk that has failed once and says 'written' the next time: nobody knows what it has.
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
