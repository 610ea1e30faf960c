//! Edits that this nodo accepted while the fleet did not answer. They are written to disk before they are
//! acknowledged, and resent until the fleet has decided on them. Resending is idempotent.

use crate::log;
use jaspershunt_routes::{Edit, EditKey, parse_edit};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::{Mutex, OwnedMutexGuard};
use tokio::task::spawn_blocking;

/// The most pending edits: more than a person sends in the hour that a partition may last.
pub const MAX_PENDING_EDITS: usize = 64;
/// The largest file that is read back: an edit as JSON is longer than in a message.
const MAX_FILE_BYTES: u64 = 64 * 1024;
/// The most refused edits that are kept to be shown to operators.
const MAX_REFUSED: usize = 16;
/// The name of the folder, inside the fleet's folder.
const FOLDER: &str = "edits";

/// The pending edits.
#[derive(Debug)]
pub struct PendingEdits {
    folder: PathBuf,
    /// Held while the folder is read or written. Guards against a stalled disk: at most one thread waits for
    /// it.
    disk: Arc<Mutex<()>>,
    edits: RefCell<BTreeMap<EditKey, Edit>>,
    refused: RefCell<VecDeque<(EditKey, String)>>,
}

/// Exclusive access to the folder.
pub type DiskLock = OwnedMutexGuard<()>;

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
    pub async fn turn(&self) -> DiskLock {
        self.disk.clone().lock_owned().await
    }

    /// Reads back the edits that an earlier process left.
    pub async fn read_back(&self, turn: DiskLock) {
        match self.with_folder(turn, read).await {
            Ok((left, _)) if left.is_empty() => {}
            Ok((left, _turn)) => {
                log!("routes: {} edits are pending for the fleet", left.len());
                self.edits.borrow_mut().extend(left);
            }
            Err(e) => log!(ERROR, "routes: pending edits cannot be read: {e}"),
        }
    }

    /// Adds an edit; it is on disk when this returns. The disk is awaited on a blocking thread.
    ///
    /// # Errors
    /// Fails with the disk's error, or if there are too many pending edits.
    pub async fn keep(&self, edit: Edit) -> io::Result<()> {
        let (key, text) = (edit.key(), serde_json::to_vec(&edit).map_err(io::Error::other)?);
        let (name, turn) = (name(&key), self.turn().await);
        if self.edits.borrow().len() >= MAX_PENDING_EDITS {
            return Err(io::Error::other(format!("{MAX_PENDING_EDITS} edits are held (MAX_HELD)")));
        }
        let (written, _turn) = self.with_folder(turn, move |folder| write(folder, &name, &text)).await?;
        written?;
        self.edits.borrow_mut().insert(key, edit);
        Ok(())
    }

    /// Returns the first pending edit.
    pub fn first(&self) -> Option<(EditKey, Edit)> {
        self.edits.borrow().iter().next().map(|(key, edit)| (key.clone(), edit.clone()))
    }

    /// Returns the pending edits of this team and number.
    pub fn called(&self, team: &str, number: u64) -> Vec<EditKey> {
        let edits = self.edits.borrow();
        edits.keys().filter(|key| key.id.team == team && key.id.number == number).cloned().collect()
    }

    /// Removes an edit that the fleet has, or that was withdrawn. If its file stays, a later process resends
    /// it, which is idempotent.
    pub async fn remove(&self, key: &EditKey) {
        self.edits.borrow_mut().remove(key);
        let name = name(key);
        let turn = self.turn().await;
        let _ = self.with_folder(turn, move |folder| std::fs::remove_file(folder.join(name))).await;
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
            .map(|(key, edit)| json!({"edit": named(key), "reason": edit.reason}))
            .collect();
        let refused =
            self.refused.borrow().iter().map(|(key, why)| json!({"edit": named(key), "why": why})).collect();
        (held, refused)
    }
}

fn read(folder: &Path) -> BTreeMap<EditKey, Edit> {
    let mut edits = BTreeMap::new();
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let whole = files.filter(|file| file.path().extension().is_some_and(|ext| ext == "json"));
    for file in whole.take(MAX_PENDING_EDITS) {
        let short = file.metadata().is_ok_and(|of| of.len() <= MAX_FILE_BYTES);
        let text = if short { std::fs::read_to_string(file.path()) } else { Ok(String::new()) };
        match text.map_err(|e| e.to_string()).and_then(|text| parse_edit(&text).map_err(|e| e.to_string())) {
            Ok(edit) => drop(edits.insert(edit.key(), edit)),
            Err(e) => log!(WARN, "routes: {} {e}; the file is ignored", file.path().display()),
        }
    }
    edits
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
mod tests {
    use super::*;
    use tokio::runtime::Builder;

    fn edit(number: u64) -> Edit {
        let text = format!(
            r#"{{"id": {{"team": "pagos", "number": {number}}}, "base": 0, "reason": "a place",
                "changes": [{{"add": {{"thing": "region/norte"}}}}]}}"#
        );
        parse_edit(&text).unwrap()
    }

    async fn opened(folder: &Path) -> PendingEdits {
        let (held, turn) = PendingEdits::new(folder);
        held.read_back(turn).await;
        held
    }

    #[test]
    fn kept_edits_are_read_back_by_the_next_process_until_they_are_removed() {
        let folder = std::env::temp_dir().join(format!("jaspershunt-held-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let runtime = Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let held = opened(&folder).await;
            assert_eq!(held.first(), None);
            for number in 1..=MAX_PENDING_EDITS as u64 {
                held.keep(edit(number)).await.unwrap();
            }
            assert!(held.keep(edit(65)).await.unwrap_err().to_string().contains("MAX_HELD"));
            // What a process killed during a write leaves, and an unrelated file.
            std::fs::write(folder.join(FOLDER).join("pagos-99-0.json.new"), "{").unwrap();
            std::fs::remove_file(folder.join(FOLDER).join(name(&edit(64).key()))).unwrap();
            std::fs::write(folder.join(FOLDER).join("a.json"), "{").unwrap();
            let later = opened(&folder).await;
            assert_eq!(later.edits.borrow().len(), MAX_PENDING_EDITS - 1);
            assert_eq!(later.first(), Some((edit(1).key(), edit(1))));
            later.remove(&edit(1).key()).await;
            later.refuse(&edit(2).key(), "no room".into()).await;
            assert_eq!(later.shown().1, [json!({"edit": "pagos/2", "why": "no room"})]);
            assert_eq!(opened(&folder).await.first().unwrap().0, edit(3).key());
        });
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
