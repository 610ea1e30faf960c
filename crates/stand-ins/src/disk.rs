//! A simulated disk with faults, as a storage backend of `redb`. It distinguishes synced from unsynced
//! writes; a crash keeps an arbitrary subset of the unsynced sectors. It can also run full, fail syncs, and
//! be restored to an earlier state or emptied.

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Unit of an atomic write.
const SECTOR_BYTES: usize = 512;
/// Unit of storage in memory.
const PAGE_BYTES: usize = 4096;

/// Contents of a disk; pages that were never written are not stored.
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
    /// Contents that survive a power failure.
    synced: Image,
    /// Contents that the process reads.
    now: Image,
    unsynced: Vec<Change>,
    /// Number of times the disk was opened; handles of earlier openings fail.
    openings: u64,
    /// Capacity in bytes, if limited.
    capacity: Option<u64>,
    /// Number of syncs that will still succeed, if limited.
    syncs_left: Option<u64>,
    syncs: u64,
}

/// A simulated disk. Clones share the same contents.
#[derive(Clone, Debug, Default)]
pub struct Disk(Arc<Mutex<State>>);

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        // State is consistent even after a panic elsewhere.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the disk and invalidates earlier handles.
    pub fn open(&self) -> Box<dyn StorageBackend> {
        let mut state = self.state();
        state.openings += 1;
        Box::new(OpenDisk { disk: self.clone(), opening: state.openings })
    }

    /// Invalidates the open handle as if its process had been killed; its writes are kept.
    pub fn kill(&self) {
        self.state().openings += 1;
    }

    /// Simulates a power failure: each unsynced sector is kept or lost independently.
    pub fn crash(&self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut state = self.state();
        state.openings += 1;
        let mut image = std::mem::take(&mut state.synced);
        // Covers crashes that keep nothing and ones that keep nearly everything.
        let keep_probability: f64 = [0.0, 0.5, 0.95][rng.random_range(0..3)];
        let mut order: Vec<Change> = std::mem::take(&mut state.unsynced);
        for n in (1..order.len()).rev() {
            order.swap(n, rng.random_range(0..=n));
        }
        for change in order {
            match change {
                Change::Len(len) if rng.random_bool(keep_probability) => image.set_len(len),
                Change::Len(_) => {}
                Change::Write(offset, data) => {
                    apply_some_sectors(&mut image, offset, &data, keep_probability, &mut rng)
                }
            }
        }
        state.now = image.clone();
        state.synced = image;
    }

    /// Returns the current contents, as the process that has the disk open reads them.
    pub fn image(&self) -> Image {
        self.state().now.clone()
    }

    /// Restores earlier contents, or empties the disk with the default image. Invalidates open handles.
    pub fn restore(&self, image: Image) {
        let mut state = self.state();
        state.openings += 1;
        state.unsynced.clear();
        (state.now, state.synced) = (image.clone(), image);
    }

    /// Limits the capacity to this many bytes; `None` removes the limit.
    pub fn set_capacity(&self, capacity: Option<u64>) {
        self.state().capacity = capacity;
    }

    /// Fails each sync after this many more have succeeded; `None` removes the fault.
    pub fn fail_syncs_after(&self, syncs: Option<u64>) {
        self.state().syncs_left = syncs;
    }

    /// Returns the number of successful syncs.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }
}

fn apply_some_sectors(
    image: &mut Image,
    offset: u64,
    data: &[u8],
    keep_probability: f64,
    rng: &mut impl Rng,
) {
    for (n, sector) in data.chunks(SECTOR_BYTES).enumerate() {
        if rng.random_bool(keep_probability) {
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
        // Blocks are allocated when written, so a full disk also fails writes within the file's length.
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
    fn synced_data_survives_a_crash_and_unsynced_data_may_be_lost() {
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
        // All kept, none kept, and several torn writes.
        assert!(
            seen.contains(&vec![false; 4]) && seen.contains(&vec![true; 4]) && seen.len() > 4,
            "{seen:?}"
        );
    }

    #[test]
    fn a_disk_runs_full_and_fails_syncs() {
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
