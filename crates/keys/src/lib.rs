//! Operation keys: which tries of a keyed request are known, which of them ran, and what the run made. All tries of one
//! request carry the same body; one that names a known key with another body is no try of it.
//!
//! A record of a run stays for the whole window of its key, whatever became of the run, so that no second try is run
//! within it. Results are kept beside it as long as there is room; the oldest go first.

pub mod journal;

use jaspershunt::RequestId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::rc::Rc;

/// What names all tries of one keyed request.
pub type Key = Rc<str>;

/// Tries of another process have ids from this one on in the table, those of this process lower ones.
pub const FIRST_ADOPTED_ID: RequestId = RequestId(1 << 62);

/// What a record takes beside its key and result: the record, its places in both indexes, and their slack.
const RECORD_BYTES: usize = 400;

/// What became of the run of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RunState {
    /// It is not over.
    Running,
    /// It ended well, with this result.
    Done(#[serde(serialize_with = "length", deserialize_with = "blank")] Rc<[u8]>),
    /// It failed, was stopped, or its result is not kept any more.
    Failed,
}

/// A result is saved by its length alone: room depends on that, and what it says is nobody's business but its caller's.
fn length<S: Serializer>(result: &Rc<[u8]>, to: S) -> Result<S::Ok, S::Error> {
    (result.len() as u64).serialize(to)
}

/// The longest result that a saved table may claim to have: far beyond any that an interpreter can tell.
const MAX_RESULT_BYTES: u64 = 1024 * 1024;

fn blank<'de, D: Deserializer<'de>>(from: D) -> Result<Rc<[u8]>, D::Error> {
    let bytes = u64::deserialize(from)?;
    if bytes > MAX_RESULT_BYTES {
        return Err(serde::de::Error::custom("a result is too long"));
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
    /// What stands for the class and body that all tries share.
    digest: u64,
    /// The newest try that may run, while none ran.
    pending_try: Option<RequestId>,
    run: Option<RunRecord>,
}

/// Why a try is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TryRejected {
    /// There is no room to remember another key; without its record the try must not run.
    Full,
    /// The key is that of a request with another body.
    OtherBody,
}

/// What stands for the body of a request and its class. Two bodies with the same print are taken for one; as the
/// print has 64 bits, that happens to nobody who does not work for it.
///
/// The same in every build and version, as it crosses from one start of the program to the next; the class counts by its
/// name, as its place may be another there.
pub fn digest(class: &str, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0, 0);
    hasher.write(&(class.len() as u64).to_le_bytes());
    hasher.write(class.as_bytes());
    hasher.write(body);
    hasher.finish()
}

/// The table of keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyTable {
    records: BTreeMap<Key, Record>,
    /// Keys that ran, by the end of their window.
    expirations: BTreeSet<(u64, Key)>,
    /// Those of them whose result is kept.
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
    // Each of the three tables holds the key by reference.
    RECORD_BYTES + key.len()
}

impl KeyTable {
    /// An empty table that may take so many bytes.
    pub fn new(max_bytes: usize) -> KeyTable {
        KeyTable {
            records: BTreeMap::new(),
            expirations: BTreeSet::new(),
            results: BTreeSet::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Bytes that the table takes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// A try was read that came at `arrived`. Returns the earlier try that it repeats: one that ran and in whose window this
    /// one came, or one that is still held, as `held` tells. If there is none, this try is what later ones repeat.
    ///
    /// # Errors
    /// There is no room for a new key, or the try is none of the request that the key is known for.
    pub fn register_try(
        &mut self,
        key: &Key,
        digest: u64,
        id: RequestId,
        arrived: f64,
        held: impl Fn(RequestId) -> bool,
    ) -> Result<Option<RequestId>, TryRejected> {
        // Of this key alone: tries of others that came earlier may be read later.
        if let Some(run) = self.records.get(key).and_then(|record| record.run.as_ref())
            && run.expires_at < micros(arrived)
        {
            self.remove_run(run.expires_at, key);
        }
        if !self.records.contains_key(key) {
            let max_bytes = self.max_bytes;
            self.make_room(record_bytes(key));
            if self.bytes + record_bytes(key) > max_bytes {
                return Err(TryRejected::Full);
            }
            self.bytes += record_bytes(key);
            self.records.insert(key.clone(), Record { digest, pending_try: None, run: None });
        }
        let Some(record) = self.records.get_mut(key) else { return Err(TryRejected::Full) };
        // Guards against a stranger to whom the result of someone else's request would be served, or who would have
        // that request turned away as the older of two tries.
        if record.digest != digest {
            return Err(TryRejected::OtherBody);
        }
        if let Some(run) = &record.run {
            return Ok(Some(run.id));
        }
        let earlier = record.pending_try.filter(|pending_try| held(*pending_try));
        if earlier.is_none() {
            record.pending_try = Some(id);
        }
        Ok(earlier)
    }

    /// This try takes the place of an earlier one.
    pub fn replace_pending(&mut self, key: &Key, id: RequestId) {
        if let Some(record) = self.records.get_mut(key) {
            record.pending_try = Some(id);
        }
    }

    /// This try is over, or not to be known any more. What ran stays known all the same.
    pub fn release_try(&mut self, key: &Key, id: RequestId) {
        let Some(record) = self.records.get_mut(key) else { return };
        if record.pending_try == Some(id) {
            record.pending_try = None;
        }
        self.drop_if_empty(key);
    }

    /// Whether anything is known of a key.
    pub fn contains(&self, key: &Key) -> bool {
        self.records.contains_key(key)
    }

    /// All keys with their prints, and for those that ran, what became of that and until when it is remembered.
    pub fn entries(&self) -> impl Iterator<Item = (&Key, u64, Option<(f64, &RunState)>)> {
        let expires_at = |run: &'_ RunRecord| seconds(run.expires_at);
        self.records
            .iter()
            .map(move |(key, r)| (key, r.digest, r.run.as_ref().map(|run| (expires_at(run), &run.state))))
    }

    /// The same table under other names. Those of the same length, in the same order, leave every decision as it is.
    pub fn with_renamed_keys(&self, name: impl Fn(&Key) -> Key) -> KeyTable {
        let all = |set: &BTreeSet<(u64, Key)>| set.iter().map(|(until, key)| (*until, name(key))).collect();
        KeyTable {
            records: self.records.iter().map(|(key, record)| (name(key), record.clone())).collect(),
            expirations: all(&self.expirations),
            results: all(&self.results),
            ..*self
        }
    }

    /// What [`Keys::entries`] has of one key that ran.
    pub fn run_entry(&self, key: &Key) -> Option<(u64, f64, &RunState)> {
        let record = self.records.get(key)?;
        record.run.as_ref().map(|run| (record.digest, seconds(run.expires_at), &run.state))
    }

    /// Takes over a key from another process, or news of one that was taken over; `None` says that no try of it ran. Returns
    /// whether it was news. Never left out for want of room, as the key would run twice then; but its result may be.
    pub fn adopt(
        &mut self,
        key: &Key,
        digest: u64,
        id: RequestId,
        until: f64,
        run: Option<RunState>,
    ) -> bool {
        if let Some(run) = self.records.get(key).and_then(|record| record.run.as_ref()) {
            // What is known for certain does not change; and guards against old news of a key, said twice, that would have a
            // run of this process forgotten, and its key run once more.
            if run.state != RunState::Running || run.id < FIRST_ADOPTED_ID {
                return false;
            }
            self.expirations.remove(&(run.expires_at, key.clone()));
            if let Some(record) = self.records.get_mut(key) {
                record.run = None;
            }
        }
        let Some(run) = run else {
            self.drop_if_empty(key);
            return true;
        };
        if !self.records.contains_key(key) {
            self.bytes += record_bytes(key);
            self.records.insert(key.clone(), Record { digest, pending_try: None, run: None });
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

    /// The runs of all tries from this id on are over, and nobody knows how; returns their keys.
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

    /// What became of the run of a key within its window; `None` if there was none.
    pub fn run_state(&self, key: &Key) -> Option<&RunState> {
        self.records.get(key)?.run.as_ref().map(|run| &run.state)
    }

    /// This try is run now; its key is remembered until then.
    pub fn start_run(&mut self, key: &Key, id: RequestId, until: f64) {
        let Some(record) = self.records.get_mut(key) else { return };
        let expires_at = micros(until);
        record.run = Some(RunRecord { id, expires_at, state: RunState::Running });
        self.expirations.insert((expires_at, key.clone()));
    }

    /// The run of this try is over. A result for which there is no room is not kept: a repeat then fails.
    pub fn end_run(&mut self, key: &Key, id: RequestId, result: Option<Rc<[u8]>>) {
        let room = result.as_ref().is_some_and(|result| {
            self.make_room(result.len());
            self.bytes + result.len() <= self.max_bytes
        });
        let Some(run) = self.records.get_mut(key).and_then(|r| r.run.as_mut()).filter(|r| r.id == id) else {
            return;
        };
        if run.state != RunState::Running {
            return;
        }
        run.state = match result {
            Some(result) if room => {
                self.bytes += result.len();
                self.results.insert((run.expires_at, key.clone()));
                RunState::Done(result)
            }
            _ => RunState::Failed,
        };
    }

    /// It is proven that this try, though started, never ran: it keeps no other from running.
    pub fn never_ran(&mut self, key: &Key, id: RequestId) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let Some(run) = record.run.take_if(|run| run.id == id && run.state == RunState::Running) {
            self.expirations.remove(&(run.expires_at, key.clone()));
        }
        self.drop_if_empty(key);
    }

    /// Drops kept results, the oldest first, until there is room or none are left.
    fn make_room(&mut self, bytes: usize) {
        while self.bytes + bytes > self.max_bytes {
            let Some((_, key)) = self.results.pop_first() else { return };
            if let Some(run) = self.records.get_mut(&key).and_then(|r| r.run.as_mut()) {
                if let RunState::Done(result) = &run.state {
                    self.bytes -= result.len();
                }
                run.state = RunState::Failed;
            }
        }
    }

    /// Whether the window of some run has passed.
    pub fn has_expired(&self, now: f64) -> bool {
        self.expirations.first().is_some_and(|(until, _)| *until < micros(now))
    }

    /// Forgets the runs whose window has passed.
    pub fn expire(&mut self, now: f64) {
        while let Some((until, key)) =
            self.expirations.first().filter(|(until, _)| *until < micros(now)).cloned()
        {
            self.remove_run(until, &key);
        }
    }

    /// Windows are longer by so many seconds from now on, and with them those of the runs that are known. None of them has to
    /// be remembered beyond `most`.
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
        self.drop_if_empty(key);
    }

    fn drop_if_empty(&mut self, key: &Key) {
        if self.records.get(key).is_some_and(|r| r.pending_try.is_none() && r.run.is_none()) {
            self.records.remove(key);
            self.bytes -= record_bytes(key);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(text: &str) -> Key {
        Key::from(text)
    }

    const DIGEST: u64 = 9278708264738962703;

    fn result(bytes: usize) -> Option<Rc<[u8]>> {
        Some(vec![7; bytes].into())
    }

    #[test]
    fn a_run_is_known_for_its_window_whatever_became_of_it() {
        for made in [result(3), None] {
            let (mut keys, k) = (KeyTable::new(100_000), key("k"));
            assert_eq!(keys.register_try(&k, 7, RequestId(1), 1.0, |_| false), Ok(None));
            keys.start_run(&k, RequestId(1), 11.0);
            keys.end_run(&k, RequestId(1), made.clone());
            keys.release_try(&k, RequestId(1));
            assert_eq!(keys.register_try(&k, 7, RequestId(2), 10.9, |_| false), Ok(Some(RequestId(1))));
            assert_eq!(keys.run_state(&k), Some(&made.map_or(RunState::Failed, RunState::Done)));
            assert_eq!(keys.register_try(&k, 7, RequestId(3), 11.1, |_| false), Ok(None));
            assert_eq!(keys.run_state(&k), None);
        }
    }

    #[test]
    fn tries_that_did_not_run_are_known_while_they_are_held() {
        let (mut keys, k) = (KeyTable::new(100_000), key("k"));
        assert_eq!(keys.register_try(&k, 7, RequestId(1), 1.0, |_| true), Ok(None));
        assert_eq!(keys.register_try(&k, 7, RequestId(2), 1.0, |_| true), Ok(Some(RequestId(1))));
        keys.replace_pending(&k, RequestId(2));
        keys.release_try(&k, RequestId(1));
        assert_eq!(
            keys.register_try(&k, 7, RequestId(3), 1.0, |id| id == RequestId(2)),
            Ok(Some(RequestId(2)))
        );
        keys.release_try(&k, RequestId(2));
        assert_eq!(keys.bytes(), 0);
    }

    #[test]
    fn a_try_with_another_body_is_none_of_the_request() {
        let (mut keys, k) = (KeyTable::new(100_000), key("k"));
        assert_ne!(digest("1", b"a"), digest("1", b"b"));
        assert_ne!(digest("1", b"a"), digest("2", b"a"));
        assert_ne!(digest("1", b"a"), digest("1a", b""));
        assert_eq!(digest("sign", b"body"), DIGEST, "another version would not know it");
        assert_eq!(keys.register_try(&k, 7, RequestId(1), 1.0, |_| true), Ok(None));
        assert_eq!(keys.register_try(&k, 8, RequestId(2), 1.0, |_| true), Err(TryRejected::OtherBody));
        keys.start_run(&k, RequestId(1), 11.0);
        assert_eq!(keys.register_try(&k, 8, RequestId(3), 1.0, |_| true), Err(TryRejected::OtherBody));
        // Proven never to have run, it makes way for whoever comes next.
        keys.never_ran(&k, RequestId(1));
        keys.release_try(&k, RequestId(1));
        assert_eq!((keys.bytes(), keys.expirations.len()), (0, 0));
        assert_eq!(keys.register_try(&k, 8, RequestId(4), 1.0, |_| true), Ok(None));
    }

    #[test]
    fn memory_is_bounded_and_given_back() {
        let mut keys = KeyTable::new(10_000);
        let mut refused = 0;
        for n in 0..50 {
            let k = key(&format!("{n:02}"));
            match keys.register_try(&k, 7, RequestId(n), 1.0, |_| false) {
                Err(TryRejected::Full) => refused += 1,
                Err(TryRejected::OtherBody) => panic!("the body is the same"),
                Ok(_) => {
                    keys.start_run(&k, RequestId(n), 10.0 + n as f64);
                    keys.end_run(&k, RequestId(n), result(1000));
                    keys.release_try(&k, RequestId(n));
                }
            }
            assert!(keys.bytes() <= 10_000);
        }
        assert!(refused > 0);
        // The oldest results went first, and their runs stay known.
        assert_eq!(keys.run_state(&key("00")), Some(&RunState::Failed));
        keys.expire(1000.0);
        assert_eq!(keys.bytes(), 0);
        assert!(keys.records.is_empty() && keys.expirations.is_empty() && keys.results.is_empty());
    }
}
