//! Table of operation keys: which tries of a keyed request are known, which of them ran, and the result of
//! the run. All tries of one request carry the same body; a try with a known key and another body does not
//! belong to that request.
//!
//! The record of a run stays for the whole retention window of its key, whatever its result, so that no
//! second try runs within it. Results are kept as long as there is memory for them; the oldest are removed
//! first.

pub mod journal;
pub mod recent_ids;

use jaspershunt::RequestId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::rc::Rc;

/// The key that all tries of one request share.
pub type Key = Rc<str>;

/// First id of tries that were adopted from another process; tries of this process have lower ids.
pub const FIRST_ADOPTED_ID: RequestId = RequestId(1 << 62);

/// Overhead of a record beside its key and result: the record, its places in both indexes, and their spare
/// capacity.
const RECORD_BYTES: usize = 400;

/// The state of the run of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunState {
    /// The run has not ended.
    Running,
    /// The run succeeded, with this result.
    Done(#[serde(serialize_with = "length", deserialize_with = "blank")] Rc<[u8]>),
    /// The run failed or was stopped, or its result was removed.
    Failed,
}

/// Serializes only the length of a result: the memory limit depends on it, and the content is private to its
/// caller.
fn length<S: Serializer>(result: &Rc<[u8]>, to: S) -> Result<S::Ok, S::Error> {
    (result.len() as u64).serialize(to)
}

/// Longest result that a saved table may contain; far beyond what the interpreter can return.
const MAX_RESULT_BYTES: u64 = 1024 * 1024;

fn blank<'de, D: Deserializer<'de>>(from: D) -> Result<Rc<[u8]>, D::Error> {
    let bytes = u64::deserialize(from)?;
    if bytes > MAX_RESULT_BYTES {
        return Err(serde::de::Error::custom("the result length exceeds the maximum"));
    }
    Ok(vec![0; bytes as usize].into())
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RunRecord {
    id: RequestId,
    expires_at: u64,
    state: RunState,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Record {
    /// Digest of the class and body that all tries share.
    digest: u64,
    /// The tries that were registered and not released, newest last. While there are any, one of them may still
    /// run, so the record stays. Their number is bounded by that of the requests in flight.
    tries: Vec<RequestId>,
    run: Option<RunRecord>,
}

impl Record {
    fn new(digest: u64) -> Record {
        Record { digest, tries: Vec::new(), run: None }
    }
}

/// Why a try is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryRejected {
    /// There is no memory for another key, and without a record the try must not run.
    Full,
    /// The key belongs to a request with another body.
    OtherBody,
}

/// Digest of the class and body of a request. Two bodies with the same digest are taken for equal; with 64
/// bits this does not happen by accident.
///
/// It is the same in every build and version, as it is passed to the next process in an upgrade. The class
/// is hashed by name, since its index may differ there.
pub fn digest(class: &str, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(&(class.len() as u64).to_le_bytes());
    hasher.write(class.as_bytes());
    hasher.write(body);
    hasher.finish()
}

/// A table of operation keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyTable {
    records: BTreeMap<Key, Record>,
    /// Keys that ran, by the end of their window.
    expirations: BTreeSet<(u64, Key)>,
    /// Keys whose result is kept, by the end of their window.
    results: BTreeSet<(u64, Key)>,
    bytes: usize,
    max_bytes: usize,
}

fn micros(t: f64) -> u64 {
    (t.max(0.0) * 1e6) as u64
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

fn record_bytes(key: &Key) -> usize {
    // The three tables share the text of the key.
    RECORD_BYTES + key.len()
}

impl KeyTable {
    /// Creates an empty table of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> KeyTable {
        KeyTable {
            records: BTreeMap::new(),
            expirations: BTreeSet::new(),
            results: BTreeSet::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Returns the bytes that the table takes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Registers a try that arrived at `arrived`. Returns the earlier try that it repeats: one that ran, and
    /// within whose window this one arrived, or one that is still queued, as `is_queued` tells. Otherwise later
    /// tries repeat this one. The key stays known at least until the try is released.
    ///
    /// # Errors
    ///
    /// There is no memory for a new key, or the key belongs to a request with another body.
    pub fn register_try(
        &mut self,
        key: &Key,
        digest: u64,
        id: RequestId,
        arrived: f64,
        is_queued: impl Fn(RequestId) -> bool,
    ) -> Result<Option<RequestId>, TryRejected> {
        // Only this key is checked: tries of other keys that arrived earlier may be read later.
        if let Some(run) = self.records.get(key).and_then(|record| record.run.as_ref())
            && run.expires_at < micros(arrived)
        {
            self.remove_run(run.expires_at, key);
        }
        if !self.records.contains_key(key) {
            if !self.make_room(record_bytes(key)) {
                return Err(TryRejected::Full);
            }
            self.bytes += record_bytes(key);
            self.records.insert(key.clone(), Record::new(digest));
        }
        let Some(record) = self.records.get_mut(key) else { return Err(TryRejected::Full) };
        // Without this check, another caller could receive the result of someone else's request, or have
        // that request rejected as the older of two tries.
        if record.digest != digest {
            return Err(TryRejected::OtherBody);
        }
        let newest = record.tries.last().copied();
        record.tries.push(id);
        Ok(match &record.run {
            Some(run) => Some(run.id),
            None => newest.filter(|newest| is_queued(*newest)),
        })
    }

    /// Makes a registered try the newest one.
    pub fn replace_pending(&mut self, key: &Key, id: RequestId) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let Some(place) = record.tries.iter().position(|known| *known == id) {
            record.tries[place..].rotate_left(1);
        }
    }

    /// Releases a try that has ended or is not to be known any more. A run stays recorded.
    pub fn release_try(&mut self, key: &Key, id: RequestId) {
        let Some(record) = self.records.get_mut(key) else { return };
        record.tries.retain(|known| *known != id);
        if record.tries.is_empty() {
            // A kept result has no use for the capacity.
            record.tries = Vec::new();
        }
        self.remove_if_empty(key);
    }

    /// Whether the key is known.
    pub fn contains(&self, key: &Key) -> bool {
        self.records.contains_key(key)
    }

    /// All keys with their digests, and for those that ran the end of the window and the state of the run.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, u64, Option<(f64, &RunState)>)> {
        let expires_at = |run: &'_ RunRecord| seconds(run.expires_at);
        self.records
            .iter()
            .map(move |(key, r)| (key, r.digest, r.run.as_ref().map(|run| (expires_at(run), &run.state))))
    }

    /// Returns the table with other keys. Keys of the same length and in the same order leave every decision
    /// unchanged.
    pub fn with_renamed_keys(&self, name: impl Fn(&Key) -> Key) -> KeyTable {
        let all = |set: &BTreeSet<(u64, Key)>| set.iter().map(|(until, key)| (*until, name(key))).collect();
        KeyTable {
            records: self.records.iter().map(|(key, record)| (name(key), record.clone())).collect(),
            expirations: all(&self.expirations),
            results: all(&self.results),
            ..*self
        }
    }

    /// Returns the digest, the end of the window and the state of the run of a key that ran.
    pub fn run_entry(&self, key: &Key) -> Option<(u64, f64, &RunState)> {
        let record = self.records.get(key)?;
        record.run.as_ref().map(|run| (record.digest, seconds(run.expires_at), &run.state))
    }

    /// Adopts a key from another process, or an update on an adopted key; `None` means that no try of it
    /// ran. Returns whether anything changed. A key is adopted even without memory for it, as it would
    /// otherwise run twice, but its result may be dropped.
    pub fn adopt(
        &mut self,
        key: &Key,
        digest: u64,
        id: RequestId,
        until: f64,
        run: Option<RunState>,
    ) -> bool {
        if let Some(run) = self.records.get(key).and_then(|record| record.run.as_ref()) {
            // A known outcome does not change. A run of this process is not replaced either: an outdated
            // message about the key, sent twice, would otherwise remove it, and the key would run again.
            if run.state != RunState::Running || run.id < FIRST_ADOPTED_ID {
                return false;
            }
            self.expirations.remove(&(run.expires_at, key.clone()));
            if let Some(record) = self.records.get_mut(key) {
                record.run = None;
            }
        }
        let Some(run) = run else {
            self.remove_if_empty(key);
            return true;
        };
        if !self.records.contains_key(key) {
            self.bytes += record_bytes(key);
            self.records.insert(key.clone(), Record::new(digest));
        }
        let expires_at = micros(until);
        if let Some(record) = self.records.get_mut(key) {
            record.run = Some(RunRecord { id, expires_at, state: RunState::Running });
        }
        self.expirations.insert((expires_at, key.clone()));
        match run {
            RunState::Running => {}
            RunState::Done(result) => self.end_run(key, id, Some(result)),
            RunState::Failed => self.end_run(key, id, None),
        }
        true
    }

    /// Marks the unfinished runs of all tries from `first` on as failed, since their outcome is unknown;
    /// returns their keys.
    pub fn fail_runs_from(&mut self, first: RequestId) -> Vec<Key> {
        let mut failed = Vec::new();
        for (key, record) in &mut self.records {
            if let Some(run) =
                record.run.as_mut().filter(|run| run.id >= first && run.state == RunState::Running)
            {
                run.state = RunState::Failed;
                failed.push(key.clone());
            }
        }
        failed
    }

    /// Returns the state of the run of a key within its window; `None` if there was none.
    pub fn run_state(&self, key: &Key) -> Option<&RunState> {
        self.records.get(key)?.run.as_ref().map(|run| &run.state)
    }

    /// Records the start of the run of this try; the key is retained until `until`. Returns whether it was
    /// recorded: the key of a registered try always is. A run that is not recorded must not take place.
    pub fn start_run(&mut self, key: &Key, id: RequestId, until: f64) -> bool {
        let Some(record) = self.records.get_mut(key) else { return false };
        let expires_at = micros(until);
        record.run = Some(RunRecord { id, expires_at, state: RunState::Running });
        self.expirations.insert((expires_at, key.clone()));
        true
    }

    /// Records the end of the run of this try. A result that does not fit in memory is not kept, and a
    /// repeated try then fails.
    pub fn end_run(&mut self, key: &Key, id: RequestId, result: Option<Rc<[u8]>>) {
        let is_running = self.records.get(key).and_then(|record| record.run.as_ref());
        if !is_running.is_some_and(|run| run.id == id && run.state == RunState::Running) {
            return;
        }
        let result = result.filter(|result| self.make_room(result.len()));
        let Some(run) = self.records.get_mut(key).and_then(|record| record.run.as_mut()) else { return };
        run.state = match result {
            Some(result) => {
                self.bytes += result.len();
                self.results.insert((run.expires_at, key.clone()));
                RunState::Done(result)
            }
            None => RunState::Failed,
        };
    }

    /// Removes the run of a try that provably never ran, so that another try can run.
    pub fn never_ran(&mut self, key: &Key, id: RequestId) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let Some(run) = record.run.take_if(|run| run.id == id && run.state == RunState::Running) {
            self.expirations.remove(&(run.expires_at, key.clone()));
        }
        self.remove_if_empty(key);
    }

    /// Removes results, oldest first, until there is room or none are left; returns whether there is room. Removes
    /// none for what could never fit.
    fn make_room(&mut self, bytes: usize) -> bool {
        if bytes > self.max_bytes {
            return false;
        }
        while self.bytes + bytes > self.max_bytes {
            let Some((_, key)) = self.results.pop_first() else { return false };
            if let Some(run) = self.records.get_mut(&key).and_then(|r| r.run.as_mut()) {
                if let RunState::Done(result) = &run.state {
                    self.bytes -= result.len();
                }
                run.state = RunState::Failed;
            }
        }
        true
    }

    /// Whether the window of any run has passed.
    pub fn has_expired(&self, now: f64) -> bool {
        self.expirations.first().is_some_and(|(until, _)| *until < micros(now))
    }

    /// Removes the runs whose window has passed.
    pub fn expire(&mut self, now: f64) {
        while let Some((until, key)) =
            self.expirations.first().filter(|(until, _)| *until < micros(now)).cloned()
        {
            self.remove_run(until, &key);
        }
    }

    /// Extends the windows of the known runs by `by` seconds, but not beyond `latest_end`.
    pub fn extend_windows(&mut self, by: f64, latest_end: f64) {
        let longer = |until: u64| until.max(until.saturating_add(micros(by)).min(micros(latest_end)));
        for run in self.records.values_mut().filter_map(|record| record.run.as_mut()) {
            run.expires_at = longer(run.expires_at);
        }
        for index in [&mut self.expirations, &mut self.results] {
            *index = std::mem::take(index).into_iter().map(|(until, key)| (longer(until), key)).collect();
        }
    }

    fn remove_run(&mut self, until: u64, key: &Key) {
        self.expirations.remove(&(until, key.clone()));
        if let Some(record) = self.records.get_mut(key)
            && let Some(run) = record.run.take()
            && let RunState::Done(result) = run.state
        {
            self.bytes -= result.len();
            self.results.remove(&(run.expires_at, key.clone()));
        }
        self.remove_if_empty(key);
    }

    fn remove_if_empty(&mut self, key: &Key) {
        if self.records.get(key).is_some_and(|r| r.tries.is_empty() && r.run.is_none()) {
            self.records.remove(key);
            self.bytes -= record_bytes(key);
        }
    }
}

#[cfg(test)]
mod tests;
