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
pub struct Asked {
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
    since: Duration,
    until: Duration,
    /// When it was put, in order; of two that go at one time the first put goes first.
    turn: u64,
}

/// The replies.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Kept {
    entries: BTreeMap<Asked, Entry>,
    ends: BTreeMap<(Duration, u64), Asked>,
    turns: u64,
    bytes: usize,
    most: usize,
}

fn weight(asked: &Asked, reply: &[u8]) -> usize {
    ENTRY_BYTES + asked.body.len() + reply.len()
}

impl Kept {
    /// No replies, and so many bytes for them at most.
    pub fn new(most: usize) -> Kept {
        Kept { most, ..Kept::default() }
    }

    /// Moves the bound.
    pub fn bound(&mut self, most: usize) {
        self.most = most;
        self.make_room(0);
    }

    /// Bytes that the replies take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps a reply for so long, in the place of an older one to the same call. Those that are to go first make room.
    pub fn put(&mut self, now: Duration, asked: Asked, reply: Rc<[u8]>, lasting: Duration) {
        self.expire(now);
        self.drop_entry(&asked);
        let bytes = weight(&asked, &reply);
        if bytes > self.most {
            return;
        }
        self.make_room(bytes);
        self.bytes += bytes;
        let until = now + lasting;
        self.turns += 1;
        let turn = self.turns;
        self.ends.insert((until, turn), asked.clone());
        self.entries.insert(asked, Entry { reply, since: now, until, turn });
    }

    /// The reply to a call that is no older than this, and when it came.
    pub fn get(&mut self, now: Duration, asked: &Asked, oldest: Duration) -> Option<(Rc<[u8]>, Duration)> {
        self.expire(now);
        let entry = self.entries.get(asked)?;
        let young = now.saturating_sub(entry.since) <= oldest;
        young.then(|| (entry.reply.clone(), entry.since))
    }

    /// Drops what is over.
    pub fn expire(&mut self, now: Duration) {
        while let Some((_, asked)) = self.ends.first_key_value().filter(|((until, _), _)| *until < now) {
            let asked = asked.clone();
            self.drop_entry(&asked);
        }
    }

    fn drop_entry(&mut self, asked: &Asked) {
        if let Some(entry) = self.entries.remove(asked) {
            self.bytes -= weight(asked, &entry.reply);
            self.ends.remove(&(entry.until, entry.turn));
        }
    }

    fn make_room(&mut self, bytes: usize) {
        while self.bytes + bytes > self.most {
            let Some(asked) = self.ends.first_key_value().map(|(_, asked)| asked.clone()) else { return };
            self.drop_entry(&asked);
        }
    }
}

impl Kept {
    /// The same with other bodies; `mask` keeps lengths, and what is equal.
    pub(crate) fn masked(&self, mask: impl Fn(&[u8]) -> Rc<[u8]>) -> Kept {
        let asked = |asked: &Asked| Asked { body: mask(&asked.body), ..asked.clone() };
        Kept {
            entries: (self.entries.iter())
                .map(|(key, entry)| (asked(key), Entry { reply: mask(&entry.reply), ..entry.clone() }))
                .collect(),
            ends: self.ends.iter().map(|(at, key)| (*at, asked(key))).collect(),
            ..*self
        }
    }
}

#[cfg(test)]
mod tests;
