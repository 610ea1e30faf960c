//! Edits that this nodo accepted while the fleet did not answer. They are written to disk before they are
//! acknowledged, and resent until the fleet has decided on them. Resending is idempotent.
//!
//! During an upgrade both processes of the nodo accept edits, and only one of them has a member that sends them.
//! Their common folder is therefore the list of what is pending, and each process follows its changes.

use crate::log;
use jaspershunt_routes::{Edit, EditKey, parse_edit};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::{Mutex, OwnedMutexGuard};
use tokio::task::spawn_blocking;

/// The most pending edits: more than a person sends in the hour that a partition may last.
pub const MAX_PENDING_EDITS: usize = 64;
/// The largest file that is read back: an edit as JSON is longer than in a message.
const MAX_FILE_BYTES: u64 = 64 * 1024;
/// The most files that are remembered as no edits.
const MAX_IGNORED_FILES: usize = 64;
/// The most refused edits that are kept to be shown to operators.
const MAX_REFUSED: usize = 16;
/// The name of the folder, inside the fleet's folder.
const FOLDER: &str = "edits";

/// A pending edit and the name of its file.
#[derive(Debug)]
struct PendingEdit {
    edit: Edit,
    file: String,
}

/// The pending edits.
#[derive(Debug)]
pub struct PendingEdits {
    folder: PathBuf,
    /// Held while the folder is read or written. Guards against a stalled disk: at most one thread waits for
    /// it.
    disk: Arc<Mutex<()>>,
    edits: RefCell<BTreeMap<EditKey, PendingEdit>>,
    /// Files that are no edits, at most [`MAX_IGNORED_FILES`]; each is reported once.
    ignored: RefCell<BTreeSet<String>>,
    /// Whether the last reading of the folder failed; only the first failure is reported.
    unreadable: Cell<bool>,
    refused: RefCell<VecDeque<(EditKey, String)>>,
}

/// Exclusive access to the folder.
pub type DiskLock = OwnedMutexGuard<()>;

/// What has changed in the folder since it was last read.
#[derive(Debug, Default)]
struct FolderChanges {
    found: Vec<PendingEdit>,
    ignored: Vec<String>,
    removed: BTreeSet<String>,
}

fn name(key: &EditKey) -> String {
    format!("{}-{}-{:016x}.json", key.id.team, key.id.number, key.digest)
}

impl PendingEdits {
    /// Creates an empty set for the fleet's folder, with the lock under which edits of earlier processes are
    /// read back.
    pub fn new(fleet: &Path) -> (PendingEdits, DiskLock) {
        let (disk, folder) = (Arc::new(Mutex::new(())), fleet.join(FOLDER));
        let held = PendingEdits {
            folder,
            disk: disk.clone(),
            edits: RefCell::default(),
            ignored: RefCell::default(),
            unreadable: Cell::default(),
            refused: RefCell::default(),
        };
        (held, disk.try_lock_owned().expect("nobody has it yet"))
    }

    /// Runs `work` on a blocking thread. If the caller stops waiting, the work continues and keeps the lock.
    async fn with_folder<T: Send + 'static>(
        &self,
        turn: DiskLock,
        work: impl FnOnce(&Path) -> T + Send + 'static,
    ) -> io::Result<(T, DiskLock)> {
        let folder = self.folder.clone();
        spawn_blocking(move || (work(&folder), turn)).await.map_err(io::Error::other)
    }

    /// Waits for the lock of the folder.
    async fn turn(&self) -> DiskLock {
        self.disk.clone().lock_owned().await
    }

    /// Follows the changes that another process of this nodo made to the folder, once its lock is free.
    pub async fn refresh(&self) {
        let turn = self.turn().await;
        self.read_back(turn).await;
    }

    /// The same, unless the folder is being read or written.
    pub async fn refresh_if_free(&self) {
        if let Ok(turn) = self.disk.clone().try_lock_owned() {
            self.read_back(turn).await;
        }
    }

    /// Reads the edits that other processes left, and forgets those that they removed.
    pub async fn read_back(&self, turn: DiskLock) {
        let known = self.edits.borrow().values().map(|pending| pending.file.clone()).collect();
        let ignored = self.ignored.borrow().clone();
        let read = self.with_folder(turn, move |folder| changes(folder, &known, &ignored)).await;
        let changes = match read.and_then(|(changes, turn)| Ok((changes?, turn))) {
            Ok((changes, _turn)) => changes,
            Err(e) => {
                if !self.unreadable.replace(true) {
                    log!(ERROR, "routes: pending edits cannot be read: {e}");
                }
                return;
            }
        };
        self.unreadable.set(false);
        if !changes.found.is_empty() {
            log!("routes: {} more edits are pending for the fleet", changes.found.len());
        }
        self.ignored.borrow_mut().extend(changes.ignored);
        let mut edits = self.edits.borrow_mut();
        edits.retain(|_, pending| !changes.removed.contains(&pending.file));
        edits.extend(changes.found.into_iter().map(|pending| (pending.edit.key(), pending)));
    }

    /// Adds an edit; it is on disk when this returns. The disk is awaited on a blocking thread.
    ///
    /// # Errors
    /// Fails with the disk's error, or if there are too many pending edits.
    pub async fn keep(&self, edit: Edit) -> io::Result<()> {
        let (key, text) = (edit.key(), serde_json::to_vec(&edit).map_err(io::Error::other)?);
        self.refresh().await;
        let (file, turn) = (name(&key), self.turn().await);
        if self.edits.borrow().len() >= MAX_PENDING_EDITS {
            return Err(io::Error::other(format!("{MAX_PENDING_EDITS} edits are held (MAX_HELD)")));
        }
        let to = file.clone();
        let (written, _turn) = self.with_folder(turn, move |folder| write(folder, &to, &text)).await?;
        written?;
        self.edits.borrow_mut().insert(key, PendingEdit { edit, file });
        Ok(())
    }

    /// Returns the first pending edit.
    pub fn first(&self) -> Option<(EditKey, Edit)> {
        self.edits.borrow().iter().next().map(|(key, pending)| (key.clone(), pending.edit.clone()))
    }

    /// Returns the pending edits of this team and number.
    pub fn called(&self, team: &str, number: u64) -> Vec<EditKey> {
        let edits = self.edits.borrow();
        edits.keys().filter(|key| key.id.team == team && key.id.number == number).cloned().collect()
    }

    /// Removes an edit that the fleet has, or that was withdrawn. If its file stays, it is resent, which is
    /// idempotent.
    pub async fn remove(&self, key: &EditKey) {
        let Some(PendingEdit { file, .. }) = self.edits.borrow_mut().remove(key) else { return };
        let turn = self.turn().await;
        let _done = self.with_folder(turn, move |folder| std::fs::remove_file(folder.join(file))).await;
        // It may have been read again before its file was removed.
        self.edits.borrow_mut().remove(key);
    }

    /// Removes an edit that the fleet refused.
    pub async fn refuse(&self, key: &EditKey, why: String) {
        log!(WARN, "routes: edit {key}, which was pending here, is refused: {why}");
        {
            let mut refused = self.refused.borrow_mut();
            refused.push_back((key.clone(), why));
            while refused.len() > MAX_REFUSED {
                refused.pop_front();
            }
        }
        self.remove(key).await;
    }

    /// Returns the pending and the refused edits, for operators.
    pub fn shown(&self) -> (Vec<Value>, Vec<Value>) {
        let named = |key: &EditKey| format!("{}/{}", key.id.team, key.id.number);
        let held = self
            .edits
            .borrow()
            .iter()
            .map(|(key, pending)| json!({"edit": named(key), "reason": pending.edit.reason}))
            .collect();
        let refused =
            self.refused.borrow().iter().map(|(key, why)| json!({"edit": named(key), "why": why})).collect();
        (held, refused)
    }
}

/// Compares the folder with the files of the pending edits and those that are ignored.
fn changes(folder: &Path, known: &BTreeSet<String>, ignored: &BTreeSet<String>) -> io::Result<FolderChanges> {
    let files = std::fs::read_dir(folder);
    let mut changes = FolderChanges::default();
    // The first edit creates the folder.
    if is_missing(&files) {
        return Ok(changes);
    }
    for file in known {
        if is_missing(&folder.join(file).symlink_metadata()) {
            changes.removed.insert(file.clone());
        }
    }
    for entry in files? {
        let entry = entry?;
        let Ok(file) = entry.file_name().into_string() else { continue };
        let is_new = file.ends_with(".json") && !known.contains(&file) && !ignored.contains(&file);
        let has_room = known.len() + changes.found.len() < MAX_PENDING_EDITS
            && ignored.len() + changes.ignored.len() < MAX_IGNORED_FILES;
        if !is_new || !has_room {
            continue;
        }
        match read_edit(&entry.path()) {
            Ok(Ok(edit)) => changes.found.push(PendingEdit { edit, file }),
            Ok(Err(e)) => {
                log!(WARN, "routes: {} {e}; the file is ignored", entry.path().display());
                changes.ignored.push(file);
            }
            // Removed since the folder was listed.
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
    }
    Ok(changes)
}

fn is_missing<T>(result: &io::Result<T>) -> bool {
    result.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::NotFound)
}

/// Reads a file; the inner result tells why it is no edit.
fn read_edit(path: &Path) -> io::Result<Result<Edit, String>> {
    let mut text = Vec::new();
    File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut text)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Ok(Err(format!("is longer than {MAX_FILE_BYTES} bytes")));
    }
    Ok(String::from_utf8(text)
        .map_err(|e| e.to_string())
        .and_then(|text| parse_edit(&text).map_err(|e| e.to_string())))
}

fn write(folder: &Path, name: &str, text: &[u8]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let (path, fresh) = (folder.join(name), folder.join(format!("{name}.new")));
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(&fresh)?;
    file.write_all(text)?;
    file.sync_all()?;
    std::fs::rename(&fresh, &path)?;
    // Makes the new name durable across a power loss.
    File::open(folder)?.sync_all()?;
    if let Some(fleet) = folder.parent() {
        File::open(fleet)?.sync_all()?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
