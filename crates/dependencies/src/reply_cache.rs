//! Cache of replies usable in place of a failed call (`kept` in the operator's file), bounded in age and
//! bytes. Entries are keyed by the whole call (class, place in the run, body): with less, one person could
//! receive data that belongs to another.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Overhead of an entry beside its call and reply: the entry, its places in both indexes, and their spare
/// capacity.
const ENTRY_BYTES: usize = 200;

/// The call that a reply answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CacheKey {
    /// The class of the request.
    pub class: usize,
    /// The place of the call in the run, from 1.
    pub place: usize,
    /// The body of the call.
    pub body: Rc<[u8]>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    reply: Rc<[u8]>,
    #[serde(rename = "since")]
    stored_at: Duration,
    #[serde(rename = "until")]
    expires_at: Duration,
    /// Order of insertion; of two entries that expire at the same time the older one is removed first.
    #[serde(rename = "turn")]
    sequence: u64,
}

/// A cache of replies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ReplyCache {
    entries: BTreeMap<CacheKey, Entry>,
    #[serde(rename = "ends")]
    expirations: BTreeMap<(Duration, u64), CacheKey>,
    #[serde(rename = "turns")]
    last_sequence: u64,
    bytes: usize,
    #[serde(rename = "most")]
    max_bytes: usize,
}

fn entry_bytes(key: &CacheKey, reply: &[u8]) -> usize {
    ENTRY_BYTES + key.body.len() + reply.len()
}

impl ReplyCache {
    /// Creates an empty cache of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> ReplyCache {
        ReplyCache { max_bytes, ..ReplyCache::default() }
    }

    /// Changes the size limit and removes entries beyond it.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
        self.make_room(0);
    }

    /// Returns the bytes that the entries take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Stores a reply for `time_to_live` and replaces an older one to the same call. Entries that expire
    /// first are removed to make room.
    pub fn insert(&mut self, now: Duration, key: CacheKey, reply: Rc<[u8]>, time_to_live: Duration) {
        self.expire(now);
        self.remove(&key);
        let bytes = entry_bytes(&key, &reply);
        if bytes > self.max_bytes {
            return;
        }
        self.make_room(bytes);
        self.bytes += bytes;
        let expires_at = now + time_to_live;
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.expirations.insert((expires_at, sequence), key.clone());
        self.entries.insert(key, Entry { reply, stored_at: now, expires_at, sequence });
    }

    /// Returns the cached reply to a call and when it was stored, unless it is older than `max_age`.
    pub fn get(&mut self, now: Duration, key: &CacheKey, max_age: Duration) -> Option<(Rc<[u8]>, Duration)> {
        self.expire(now);
        let entry = self.entries.get(key)?;
        let is_fresh = now.saturating_sub(entry.stored_at) <= max_age;
        is_fresh.then(|| (entry.reply.clone(), entry.stored_at))
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Duration) {
        while let Some((_, key)) =
            self.expirations.first_key_value().filter(|((expires_at, _), _)| *expires_at < now)
        {
            let key = key.clone();
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &CacheKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry_bytes(key, &entry.reply);
            self.expirations.remove(&(entry.expires_at, entry.sequence));
        }
    }

    fn make_room(&mut self, bytes: usize) {
        while self.bytes + bytes > self.max_bytes {
            let Some(key) = self.expirations.first_key_value().map(|(_, key)| key.clone()) else { return };
            self.remove(&key);
        }
    }
}

impl ReplyCache {
    /// Returns a copy in which `mask` has replaced all bodies. `mask` must keep lengths and equality.
    pub(crate) fn masked(&self, mask: impl Fn(&[u8]) -> Rc<[u8]>) -> ReplyCache {
        let masked_key = |key: &CacheKey| CacheKey { body: mask(&key.body), ..key.clone() };
        ReplyCache {
            entries: (self.entries.iter())
                .map(|(key, entry)| (masked_key(key), Entry { reply: mask(&entry.reply), ..entry.clone() }))
                .collect(),
            expirations: self.expirations.iter().map(|(at, key)| (*at, masked_key(key))).collect(),
            ..*self
        }
    }
}

#[cfg(test)]
mod tests;
