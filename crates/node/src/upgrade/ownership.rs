//! Ownership of the right to run new requests, as a file in the folder that all processes of a nodo share. A
//! process that takes ownership replaces the file; the former owner keeps the old file open and sees that it
//! has no name any more. The replacement is atomic in the file system, so of several processes that take
//! ownership only the last has it.
//!
//! Each process also keeps a file beside it that it locks for its whole life, paused or not; the system
//! releases the lock only when the process ends. So a process learns at startup whether another is alive that
//! it cannot reach.

use super::claims;
use super::link::Place;
use rustix::fs::{FlockOperation, flock, fstat};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::time::SystemTime;
use tokio::time::Instant;

/// The most files of the folder that are examined: far more than the processes of a nodo ever leave behind.
const MAX_FILES: usize = 4096;

/// Ownership, present or lost since.
#[derive(Debug)]
pub struct Ownership {
    file: OwnedFd,
    checked_at: Option<Instant>,
}

impl Ownership {
    /// Wraps the descriptor that the former owner sent. Ownership may have been taken since.
    pub fn transferred(file: OwnedFd) -> Ownership {
        Ownership { file, checked_at: None }
    }

    /// Returns the descriptor, to be sent to the next owner.
    pub fn into_descriptor(self) -> OwnedFd {
        self.file
    }

    /// Whether this process is still the owner. Checks the file when the last check is too old; if the check
    /// fails, ownership counts as lost.
    pub fn is_held(&mut self) -> bool {
        // Taken before the check, which is valid from when it began.
        let now = Instant::now();
        if self.checked_at.is_some_and(|checked_at| !claims::check_due(Default::default(), now - checked_at))
        {
            return true;
        }
        let held = fstat(&self.file).is_ok_and(|file| file.st_nlink > 0);
        self.checked_at = held.then_some(now);
        held
    }
}

/// The locked file that shows that this process is alive. Kept until the process ends.
#[derive(Debug)]
pub struct AliveMarker {
    _locked: File,
    path: std::path::PathBuf,
    /// Other processes of the nodo were alive when this one started.
    pub others: bool,
}

impl Drop for AliveMarker {
    fn drop(&mut self) {
        // After an error the next process removes the file.
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Place {
    /// Takes ownership from whichever process has it. The caller waits until the former owner's last check is
    /// no longer valid.
    ///
    /// # Errors
    /// Fails if the folder cannot be written.
    pub fn acquire_ownership(&self) -> io::Result<Ownership> {
        let (fresh, path) = (self.file_of_this_process("right"), self.path("right"));
        let _ = std::fs::remove_file(&fresh);
        let file = OpenOptions::new().write(true).create_new(true).open(&fresh)?;
        std::fs::rename(&fresh, path)?;
        Ok(Ownership { file: file.into(), checked_at: None })
    }

    /// Returns a mark that changes with each takeover; `None` if there was none, or the file was removed.
    pub fn ownership_mark(&self) -> Option<(u64, SystemTime)> {
        let file = std::fs::metadata(self.path("right")).ok()?;
        Some((file.ino(), file.modified().ok()?))
    }

    /// Creates the file that shows that this process is alive, then looks for those of others. In this order
    /// at least one of two processes that start at the same time sees the other.
    ///
    /// # Errors
    /// Fails if the folder cannot be read or written.
    pub fn mark_alive(&self) -> io::Result<AliveMarker> {
        let (fresh, path) = (self.file_of_this_process("new"), self.file_of_this_process("alive"));
        let _ = std::fs::remove_file(&fresh);
        let file = OpenOptions::new().write(true).create_new(true).open(&fresh)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        // Locked before it becomes visible under its name.
        std::fs::rename(&fresh, &path)?;
        let prefix = self.name_of("alive.");
        let mut others = false;
        for entry in std::fs::read_dir(self.folder())?.flatten().take(MAX_FILES) {
            let is_one = entry.file_name().to_str().is_some_and(|name| name.starts_with(&prefix));
            if !is_one || entry.path() == path {
                continue;
            }
            let Ok(other) = File::open(entry.path()) else { continue };
            if flock(other.as_fd(), FlockOperation::NonBlockingLockExclusive).is_ok() {
                // Left by a process that has ended.
                let _ = std::fs::remove_file(entry.path());
            } else {
                others = true;
            }
        }
        Ok(AliveMarker { _locked: file, path, others })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::Path;
    use std::time::Duration;

    fn folder(name: &str) -> std::path::PathBuf {
        let folder = std::env::temp_dir().join(format!("jaspershunt-right-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    #[tokio::test(start_paused = true)]
    async fn the_last_process_to_take_ownership_has_it_and_the_others_see_that_at_their_next_check() {
        let folder = folder("taken");
        let place = Place::new(&folder, "n1");
        let mut first = place.acquire_ownership().unwrap();
        assert!(first.is_held());
        let mark = place.ownership_mark();
        let mut second = place.acquire_ownership().unwrap();
        assert!(mark.is_some() && mark != place.ownership_mark());
        assert!(second.is_held());
        assert!(first.is_held(), "its last check is still valid");
        tokio::time::advance(claims::CHECK_VALIDITY).await;
        assert!(!first.is_held());
        assert!(!first.is_held(), "ownership stays lost");
        // The descriptor that is passed on carries the same ownership, which its receiver has to check.
        let mut passed = Ownership::transferred(second.into_descriptor());
        assert!(passed.is_held());
        let _third = place.acquire_ownership().unwrap();
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(!passed.is_held());
        // Without the folder nobody has ownership.
        let mut last = place.acquire_ownership().unwrap();
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(!last.is_held());
        assert!(place.acquire_ownership().is_err());
    }

    #[test]
    fn a_process_detects_live_processes_at_startup_and_removes_files_of_ended_ones() {
        let folder = folder("alive");
        let place = Place::new(&folder, "n1");
        let left = folder.join("jaspershunt-n1.alive.1");
        std::fs::write(&left, "").unwrap();
        std::fs::write(folder.join("jaspershunt-n10.alive.1"), "").unwrap();
        let alive = place.mark_alive().unwrap();
        assert!(!alive.others);
        assert!(!left.exists() && folder.join("jaspershunt-n10.alive.1").exists());
        // A separate open file, so that its lock conflicts as that of another process does.
        let other = std::fs::File::create(&left).unwrap();
        flock(&other, FlockOperation::NonBlockingLockExclusive).unwrap();
        drop(alive);
        assert!(place.mark_alive().unwrap().others);
        assert!(Place::new(Path::new("/nowhere"), "n1").mark_alive().is_err());
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
