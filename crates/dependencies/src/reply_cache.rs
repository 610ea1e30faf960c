//! Replies kept to fall back on, bounded in age and bytes. A reply is known by the whole call that it answered (class,
//! place in the run, body): with less, one subject could get what belongs to another.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// What an entry takes beside its call and its reply: the entry, its places in both indexes, and their slack.
const ENTRY_BYTES: usize = 200;

/// What a reply answered.
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
    /// When it was put, in order; of two that go at one time the first put goes first.
    #[serde(rename = "turn")]
    sequence: u64,
}

/// The replies.
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
    /// No replies, and so many bytes for them at most.
    pub fn new(max_bytes: usize) -> ReplyCache {
        ReplyCache { max_bytes, ..ReplyCache::default() }
    }

    /// Moves the bound.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
        self.make_room(0);
    }

    /// Bytes that the replies take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps a reply for so long, in the place of an older one to the same call. Those that are to go first make room.
    pub fn insert(&mut self, now: Duration, key: CacheKey, reply: Rc<[u8]>, time_to_live: Duration) {
        self.expire(now);
        self.drop_entry(&key);
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

    /// The reply to a call that is no older than this, and when it came.
    pub fn get(&mut self, now: Duration, key: &CacheKey, max_age: Duration) -> Option<(Rc<[u8]>, Duration)> {
        self.expire(now);
        let entry = self.entries.get(key)?;
        let is_fresh = now.saturating_sub(entry.stored_at) <= max_age;
        is_fresh.then(|| (entry.reply.clone(), entry.stored_at))
    }

    /// Drops what is over.
    pub fn expire(&mut self, now: Duration) {
        while let Some((_, key)) =
            self.expirations.first_key_value().filter(|((expires_at, _), _)| *expires_at < now)
        {
            let key = key.clone();
            self.drop_entry(&key);
        }
    }

    fn drop_entry(&mut self, key: &CacheKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.bytes -= entry_bytes(key, &entry.reply);
            self.expirations.remove(&(entry.expires_at, entry.sequence));
        }
    }

    fn make_room(&mut self, bytes: usize) {
        while self.bytes + bytes > self.max_bytes {
            let Some(key) = self.expirations.first_key_value().map(|(_, key)| key.clone()) else { return };
            self.drop_entry(&key);
        }
    }
}

impl ReplyCache {
    /// The same with other bodies; `mask` keeps lengths, and what is equal.
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
