//! Edits that were taken here while nobody of the fleet answered: on disk before anybody hears yes, and sent on until the fleet has said
//! what becomes of them. An edit that is sent twice is one.

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

/// Edits that are held at once. Ours: more than a person sends in the hour that a cut may last.
pub const MAX_HELD: usize = 64;
/// Bytes of a file that is read back: an edit as JSON is longer than as it goes over the wire.
const MAX_FILE: u64 = 64 * 1024;
/// Held edits that the fleet then refused, which are told to whoever asks.
const MAX_REFUSED: usize = 16;
/// The folder, in that of the fleet.
const FOLDER: &str = "edits";

/// What is held.
#[derive(Debug)]
pub struct Held {
    folder: PathBuf,
    /// Whoever has this reads or writes the folder. Guards against a disk that stalls: no more than one thread waits for it.
    disk: Arc<Mutex<()>>,
    edits: RefCell<BTreeMap<EditKey, Edit>>,
    refused: RefCell<VecDeque<(EditKey, String)>>,
}

/// The right to read or write the folder, for one at a time.
pub type Turn = OwnedMutexGuard<()>;

fn name(key: &EditKey) -> String {
    format!("{}-{}-{:016x}.json", key.id.team, key.id.number, key.digest)
}

impl Held {
    /// In the folder of the fleet, with the first turn there: what an earlier start left is to be read back with it.
    pub fn new(fleet: &Path) -> (Held, Turn) {
        let (disk, folder) = (Arc::new(Mutex::new(())), fleet.join(FOLDER));
        let held =
            Held { folder, disk: disk.clone(), edits: RefCell::default(), refused: RefCell::default() };
        (held, disk.try_lock_owned().expect("nobody has it yet"))
    }

    /// Has something done with the folder. Where that is not waited for any more it goes on, and has the turn as long.
    async fn on_disk<T: Send + 'static>(
        &self,
        turn: Turn,
        work: impl FnOnce(&Path) -> T + Send + 'static,
    ) -> io::Result<(T, Turn)> {
        let folder = self.folder.clone();
        spawn_blocking(move || (work(&folder), turn)).await.map_err(io::Error::other)
    }

    /// Waits until what was under way in the folder is over.
    pub async fn turn(&self) -> Turn {
        self.disk.clone().lock_owned().await
    }

    /// Holds what an earlier start left.
    pub async fn read_back(&self, turn: Turn) {
        match self.on_disk(turn, read).await {
            Ok((left, _)) if left.is_empty() => {}
            Ok((left, _turn)) => {
                log!("routes: {} edits are held for the fleet", left.len());
                self.edits.borrow_mut().extend(left);
            }
            Err(e) => log!(ERROR, "routes: what is held cannot be read: {e}"),
        }
    }

    /// Keeps an edit. It is on disk once this is said to have gone well; the disk is waited for elsewhere.
    ///
    /// # Errors
    /// The disk's, or there is no room.
    pub async fn keep(&self, edit: Edit) -> io::Result<()> {
        let (key, text) = (edit.key(), serde_json::to_vec(&edit).map_err(io::Error::other)?);
        let (name, turn) = (name(&key), self.turn().await);
        if self.edits.borrow().len() >= MAX_HELD {
            return Err(io::Error::other(format!("{MAX_HELD} edits are held (MAX_HELD)")));
        }
        let (written, _turn) = self.on_disk(turn, move |folder| write(folder, &name, &text)).await?;
        written?;
        self.edits.borrow_mut().insert(key, edit);
        Ok(())
    }

    /// The first of what is held.
    pub fn first(&self) -> Option<(EditKey, Edit)> {
        self.edits.borrow().iter().next().map(|(key, edit)| (key.clone(), edit.clone()))
    }

    /// The edits of this team and number that are held.
    pub fn called(&self, team: &str, number: u64) -> Vec<EditKey> {
        let edits = self.edits.borrow();
        edits.keys().filter(|key| key.id.team == team && key.id.number == number).cloned().collect()
    }

    /// The fleet has it, or it is taken back: it is held no more. One whose file stays is sent again by a later start, and is the same edit.
    pub async fn let_go(&self, key: &EditKey) {
        self.edits.borrow_mut().remove(key);
        let name = name(key);
        let turn = self.turn().await;
        let _ = self.on_disk(turn, move |folder| std::fs::remove_file(folder.join(name))).await;
    }

    /// The fleet will not have it.
    pub async fn refuse(&self, key: &EditKey, why: String) {
        log!(WARN, "routes: edit {key}, which was held here, is refused: {why}");
        {
            let mut refused = self.refused.borrow_mut();
            refused.push_back((key.clone(), why));
            while refused.len() > MAX_REFUSED {
                refused.pop_front();
            }
        }
        self.let_go(key).await;
    }

    /// What is held, and what of it was refused.
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
    for file in whole.take(MAX_HELD) {
        let short = file.metadata().is_ok_and(|of| of.len() <= MAX_FILE);
        let text = if short { std::fs::read_to_string(file.path()) } else { Ok(String::new()) };
        match text.map_err(|e| e.to_string()).and_then(|text| parse_edit(&text).map_err(|e| e.to_string())) {
            Ok(edit) => drop(edits.insert(edit.key(), edit)),
            Err(e) => log!(WARN, "routes: {} {e}; it is left where it is", file.path().display()),
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
    // So that the name is there after a loss of power.
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

    async fn opened(folder: &Path) -> Held {
        let (held, turn) = Held::new(folder);
        held.read_back(turn).await;
        held
    }

    #[test]
    fn what_was_kept_is_there_for_the_next_start_until_it_is_let_go() {
        let folder = std::env::temp_dir().join(format!("jaspershunt-held-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let runtime = Builder::new_current_thread().build().unwrap();
        runtime.block_on(async {
            let held = opened(&folder).await;
            assert_eq!(held.first(), None);
            for number in 1..=MAX_HELD as u64 {
                held.keep(edit(number)).await.unwrap();
            }
            assert!(held.keep(edit(65)).await.unwrap_err().to_string().contains("MAX_HELD"));
            // A start that was killed in the middle of a write, and a file of somebody else's.
            std::fs::write(folder.join(FOLDER).join("pagos-99-0.json.new"), "{").unwrap();
            std::fs::remove_file(folder.join(FOLDER).join(name(&edit(64).key()))).unwrap();
            std::fs::write(folder.join(FOLDER).join("a.json"), "{").unwrap();
            let later = opened(&folder).await;
            assert_eq!(later.edits.borrow().len(), MAX_HELD - 1);
            assert_eq!(later.first(), Some((edit(1).key(), edit(1))));
            later.let_go(&edit(1).key()).await;
            later.refuse(&edit(2).key(), "no room".into()).await;
            assert_eq!(later.shown().1, [json!({"edit": "pagos/2", "why": "no room"})]);
            assert_eq!(opened(&folder).await.first().unwrap().0, edit(3).key());
        });
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
