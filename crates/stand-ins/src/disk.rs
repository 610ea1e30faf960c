//! A disk that can be broken, as a storage backend of `redb`. It knows what was synced and what was not; a crash keeps any part of the
//! rest, sector by sector, in any order. It fills up, fails a sync, and can be put back to an earlier state or emptied.

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What is written as one, or not at all.
const SECTOR_BYTES: usize = 512;
/// What is kept as one piece in memory.
const PAGE_BYTES: usize = 4096;

/// What a disk holds; pages that were never written are not kept.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Image {
    pages: BTreeMap<u64, Box<[u8]>>,
    len: u64,
}

impl Image {
    fn read(&self, offset: u64, len: usize) -> Vec<u8> {
        let mut out = vec![0; len];
        let mut done = 0;
        while done < len {
            let at = offset + done as u64;
            let (page, within) = (at / PAGE_BYTES as u64, (at % PAGE_BYTES as u64) as usize);
            let part = (PAGE_BYTES - within).min(len - done);
            if let Some(page) = self.pages.get(&page) {
                out[done..done + part].copy_from_slice(&page[within..within + part]);
            }
            done += part;
        }
        out
    }

    fn write(&mut self, offset: u64, data: &[u8]) {
        let mut done = 0;
        while done < data.len() {
            let at = offset + done as u64;
            let (page, within) = (at / PAGE_BYTES as u64, (at % PAGE_BYTES as u64) as usize);
            let part = (PAGE_BYTES - within).min(data.len() - done);
            let page = self.pages.entry(page).or_insert_with(|| vec![0; PAGE_BYTES].into());
            page[within..within + part].copy_from_slice(&data[done..done + part]);
            done += part;
        }
        self.len = self.len.max(offset + data.len() as u64);
    }

    fn set_len(&mut self, len: u64) {
        if len < self.len {
            self.pages.retain(|page, _| page * (PAGE_BYTES as u64) < len);
            let within = (len % PAGE_BYTES as u64) as usize;
            if let Some(page) = self.pages.get_mut(&(len / PAGE_BYTES as u64)) {
                page[within..].fill(0);
            }
        }
        self.len = len;
    }
}

#[derive(Clone, Debug)]
enum Change {
    Write(u64, Vec<u8>),
    Len(u64),
}

#[derive(Debug, Default)]
struct State {
    /// What is there after a loss of power.
    synced: Image,
    /// What the process reads.
    now: Image,
    unsynced: Vec<Change>,
    /// OpenDisk so often: an earlier opening reads and writes nothing more.
    openings: u64,
    /// Bytes that fit.
    capacity: Option<u64>,
    /// So many more syncs succeed.
    syncs_left: Option<u64>,
    syncs: u64,
}

/// A disk. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves nothing half done here.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens it; whoever had it open has lost it.
    pub fn open(&self) -> Box<dyn StorageBackend> {
        let mut state = self.state();
        state.openings += 1;
        Box::new(OpenDisk { disk: self.clone(), opening: state.openings })
    }

    /// The process that has it open is gone. What it wrote is there.
    pub fn kill(&self) {
        self.state().openings += 1;
    }

    /// The power fails: what was not synced is there or not, each sector for itself.
    pub fn crash(&self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut state = self.state();
        state.openings += 1;
        let mut image = std::mem::take(&mut state.synced);
        // Some crashes keep nothing, some nearly all.
        let kept: f64 = [0.0, 0.5, 0.95][rng.random_range(0..3)];
        let mut order: Vec<Change> = std::mem::take(&mut state.unsynced);
        for n in (1..order.len()).rev() {
            order.swap(n, rng.random_range(0..=n));
        }
        for change in order {
            match change {
                Change::Len(len) if rng.random_bool(kept) => image.set_len(len),
                Change::Len(_) => {}
                Change::Write(offset, data) => apply_some_sectors(&mut image, offset, &data, kept, &mut rng),
            }
        }
        state.now = image.clone();
        state.synced = image;
    }

    /// What it holds, as the process that has it open would find it.
    pub fn image(&self) -> Image {
        self.state().now.clone()
    }

    /// Puts back what it held once, or empties it with the default. Whoever had it open has lost it.
    pub fn restore(&self, image: Image) {
        let mut state = self.state();
        state.openings += 1;
        state.unsynced.clear();
        (state.now, state.synced) = (image.clone(), image);
    }

    /// From now on so many bytes fit; `None` for any number.
    pub fn set_capacity(&self, capacity: Option<u64>) {
        self.state().capacity = capacity;
    }

    /// After so many more syncs each one fails, until this is called with `None`.
    pub fn fail_syncs_after(&self, syncs: Option<u64>) {
        self.state().syncs_left = syncs;
    }

    /// Syncs that succeeded so far.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }
}

fn apply_some_sectors(image: &mut Image, offset: u64, data: &[u8], kept: f64, rng: &mut impl Rng) {
    for (n, sector) in data.chunks(SECTOR_BYTES).enumerate() {
        if rng.random_bool(kept) {
            image.write(offset + (n * SECTOR_BYTES) as u64, sector);
        }
    }
}

#[derive(Debug)]
struct OpenDisk {
    disk: Disk,
    opening: u64,
}

impl OpenDisk {
    fn state(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = self.disk.state();
        if state.openings == self.opening { Ok(state) } else { Err(io::Error::other("the process is gone")) }
    }
}

impl StorageBackend for OpenDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state()?.now.len)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        Ok(self.state()?.now.read(offset, len))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state()?;
        if state.capacity.is_some_and(|capacity| len > capacity && len > state.now.len) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        state.now.set_len(len);
        state.unsynced.push(Change::Len(len));
        Ok(())
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut state = self.state()?;
        if let Some(left) = &mut state.syncs_left {
            if *left == 0 {
                return Err(io::Error::other("the sync failed"));
            }
            *left -= 1;
        }
        let State { synced, unsynced, .. } = &mut *state;
        for change in unsynced.drain(..) {
            match change {
                Change::Write(offset, data) => synced.write(offset, &data),
                Change::Len(len) => synced.set_len(len),
            }
        }
        state.syncs += 1;
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.state()?;
        // Blocks that were never written are given out as they are written: a disk that is full fails here too.
        if state.capacity.is_some_and(|capacity| offset + data.len() as u64 > capacity) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        state.now.write(offset, data);
        state.unsynced.push(Change::Write(offset, data.to_vec()));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_synced_outlives_a_crash_and_the_rest_may_not() {
        let disk = Disk::default();
        let opened = disk.open();
        opened.set_len(8192).unwrap();
        opened.write(100, b"synced").unwrap();
        opened.sync_data(false).unwrap();
        let image = disk.image();
        let mut seen = std::collections::BTreeSet::new();
        for seed in 0..40 {
            disk.restore(image.clone());
            let opened = disk.open();
            opened.write(0, &[7; 2048]).unwrap();
            disk.crash(seed);
            assert!(opened.read(0, 1).is_err(), "its process is gone");
            let opened = disk.open();
            let kept = opened.read(0, 2048).unwrap();
            assert_eq!(opened.len().unwrap(), 8192);
            assert!(kept[100..106] == *b"synced" || kept[100..106] == [7; 6]);
            seen.insert(kept.chunks(SECTOR_BYTES).map(|sector| sector[0] == 7).collect::<Vec<bool>>());
        }
        // All, nothing, and torn in more than one way.
        assert!(
            seen.contains(&vec![false; 4]) && seen.contains(&vec![true; 4]) && seen.len() > 4,
            "{seen:?}"
        );
    }

    #[test]
    fn it_fills_up_and_fails_a_sync() {
        let disk = Disk::default();
        let opened = disk.open();
        disk.set_capacity(Some(4096));
        opened.write(0, &[1; 4096]).unwrap();
        let full = opened.write(4000, &[1; 200]).unwrap_err();
        assert_eq!(full.kind(), io::ErrorKind::StorageFull);
        assert!(opened.set_len(9000).is_err());
        disk.fail_syncs_after(Some(1));
        assert!(opened.sync_data(false).is_ok() && opened.sync_data(false).is_err());
        disk.fail_syncs_after(None);
        assert!(opened.sync_data(false).is_ok());
        assert_eq!(disk.syncs(), 2);
    }
}
