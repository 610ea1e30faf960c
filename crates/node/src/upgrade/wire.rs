//! The messages between two processes of one nodo, and their encoding: a length of four bytes in
//! little-endian order, then the message in postcard. Without I/O.

use crate::request::{Answer, Label, MAX_KEY_BYTES, Reply, Work};
use jaspershunt::CallerId;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of this protocol. Processes of different versions do not link; the later one then waits until
/// the earlier one ends.
pub const VERSION: u32 = 3;
/// The longest message. The largest are a piece of the key table and a connection with its unprocessed input.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The most entries of the key table in one message.
pub const MAX_PIECE_ENTRIES: usize = 32;
/// The most bytes of keys and results in such a message. A result has 4 KiB, and at most 64 KiB: the longest
/// line of the interpreter.
pub const MAX_PIECE_BYTES: usize = 128 * 1024;
const LENGTH_BYTES: usize = 4;
/// The length of the key in an entry for a correlation id: more than an operation key may have.
const ID_KEY_BYTES: usize = MAX_KEY_BYTES + 1;

/// A message. The descriptor of a connection is sent with its message, the listener's with
/// [`Message::Welcome`], [`Message::Yield`] and [`Message::Listener`], and the ownership file's with
/// [`Message::Yours`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The later process identifies itself. This variant and the next two come first in every version, so
    /// that processes of different versions can detect that they differ.
    Hello {
        /// Its [`VERSION`].
        version: u32,
        /// The nodo's name.
        name: String,
        /// Where balancers connect.
        listen: String,
    },
    /// The earlier process belongs to the same nodo, and sends its listener.
    Welcome {
        /// Operators had new clients refused.
        lameduck: bool,
    },
    /// The process declines to link for now.
    NotNow {
        /// The reason.
        why: String,
    },
    /// The later process can run requests, and asks for ownership of all new ones.
    Begin,
    /// A piece of the key table.
    Table(Vec<Entry>),
    /// From here on the later process owns all keys, and gets all new requests.
    Yours {
        /// The uncertainty, in Unix seconds: other processes may have run tries that arrived before the first
        /// time, and their keys are remembered until the second.
        doubt: Option<(f64, f64)>,
    },
    /// The later process accepts connections: the earlier one stops accepting, and transfers its idle ones.
    Ready,
    /// A try that reached the earlier process.
    Work {
        /// Identifies its reply.
        ticket: u64,
        /// The try.
        work: RelayedWork,
    },
    /// The caller of such a try has gone.
    Gone {
        /// The try.
        ticket: u64,
    },
    /// The one reply to such a try.
    Reply {
        /// The try.
        ticket: u64,
        /// The reply.
        reply: RelayedReply,
    },
    /// The outcome of a key that was in flight in the earlier process.
    Ended(Entry),
    /// A connection, with the bytes of an incomplete record that were read from it.
    Connection {
        /// Those bytes.
        input: Vec<u8>,
        /// It has sent a valid request before.
        used: bool,
        /// For how many milliseconds a first valid request, or the rest of one, has been awaited.
        waited_ms: Option<u64>,
    },
    /// The share of the common resources that the earlier process still uses.
    Load(Load),
    /// Operators have new clients refused, or accepted again.
    Lameduck {
        /// Whether they are refused.
        on: bool,
    },
    /// The earlier process has no work left, and ends.
    Farewell,
    /// A process that lost ownership identifies itself and asks to hand over its work and connections; it
    /// sends its listener.
    Yield {
        /// Its [`VERSION`].
        version: u32,
        /// The nodo's name.
        name: String,
        /// Where balancers connect.
        listen: String,
    },
    /// The key table of a process that lost ownership is complete; its new requests follow.
    Yielded,
    /// A heartbeat.
    Alive,
    /// Carries a further listener for balancers, one that this process got from another.
    Listener,
}

/// What one process uses of the resources that two processes of one nodo share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Memory that its requests may still take, in kilobytes, counted as if all of them ran.
    pub kb: f64,
    /// The number of running requests.
    pub running: u32,
    /// The number of descriptors that it may use.
    pub descriptors: u32,
}

/// An entry of the key table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Rc<str>,
    /// The digest of class and body, equal for all its tries.
    pub digest: u64,
    /// When it expires, in Unix seconds.
    pub until: f64,
    /// The outcome.
    pub state: State,
}

impl Entry {
    /// Creates an entry for a request without a key that may have run, and must not run again until this time. It has
    /// the form of a key, so that [`VERSION`] stays the same: builds that do not know it keep a key without tries.
    pub fn of_id(id: &str, until: f64) -> Entry {
        let key = format!("{id:>ID_KEY_BYTES$}").into();
        Entry { key, digest: 0, until, state: State::Failed }
    }

    /// Returns the correlation id, if the entry is for one.
    pub fn id(&self) -> Option<&str> {
        (self.key.len() >= ID_KEY_BYTES).then(|| self.key.trim_start())
    }

    /// Estimates the bytes that it takes in a message.
    fn size(&self) -> usize {
        let result = if let State::Done(result) = &self.state { result.len() } else { 0 };
        self.key.len() + result + 32
    }
}

/// Splits a table into pieces that each fit a message.
pub fn pieces(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut pieces: Vec<Vec<Entry>> = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.size();
        match pieces.last_mut() {
            Some(piece) if piece.len() < MAX_PIECE_ENTRIES && bytes <= MAX_PIECE_BYTES => piece.push(entry),
            _ => {
                bytes = entry.size();
                pieces.push(vec![entry]);
            }
        }
    }
    pieces
}

/// The outcome of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// A try of it is queued or runs; the outcome follows in a later message.
    InFlight,
    /// A try ran, with this result.
    Done(Rc<[u8]>),
    /// A try ran and failed, or its result is not kept.
    Failed,
    /// No try of it ran.
    NeverRan,
}

/// A try as it is sent: class and tenant by name instead of by the indices of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedWork {
    uid: Rc<str>,
    class: String,
    tenant: Option<String>,
    caller: u64,
    arrived: Option<f64>,
    waits: Option<f64>,
    resent: bool,
    cost_hint: Option<f64>,
    held_kb: f64,
    rank: f64,
    key: Option<Rc<str>>,
    body: Vec<u8>,
}

impl RelayedWork {
    /// Converts a try; `class` and `tenant` are the names.
    pub fn new(work: Work, class: &str, tenant: Option<&str>) -> RelayedWork {
        RelayedWork {
            uid: work.uid,
            class: class.to_string(),
            tenant: tenant.map(str::to_string),
            caller: work.caller.0,
            arrived: work.arrived,
            waits: work.caller_timeout,
            resent: work.resent,
            cost_hint: work.cost_hint,
            held_kb: work.held_kb,
            rank: work.rank,
            key: work.key,
            body: work.body,
        }
    }

    /// Converts back; `None` if this process knows no class or no tenant of that name.
    pub fn work(
        self,
        class: impl Fn(&str) -> Option<usize>,
        tenant: impl Fn(&str) -> Option<usize>,
    ) -> Option<Work> {
        Some(Work {
            uid: self.uid,
            class: class(&self.class)?,
            tenant: match self.tenant {
                Some(name) => Some(tenant(&name)?),
                None => None,
            },
            caller: CallerId(self.caller),
            arrived: self.arrived,
            caller_timeout: self.waits,
            resent: self.resent,
            cost_hint: self.cost_hint,
            held_kb: self.held_kb,
            rank: self.rank,
            key: self.key,
            body: self.body,
        })
    }
}

/// A reply as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedReply {
    answer: RelayedAnswer,
    say: Option<f64>,
    lacks: Vec<Rc<str>>,
    stale_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum RelayedAnswer {
    Served(Rc<[u8]>),
    Refused { stay_away: f64, last: bool },
    Failed,
    Bad,
}

impl From<Reply> for RelayedReply {
    fn from(reply: Reply) -> RelayedReply {
        let label = reply.label.map(|label| *label).unwrap_or_default();
        let answer = match reply.answer {
            Answer::Served(body) => RelayedAnswer::Served(body),
            Answer::Refused { stay_away, last } => RelayedAnswer::Refused { stay_away, last },
            // Health checks are never relayed: the process that reads one answers it.
            Answer::Failed | Answer::Health { .. } => RelayedAnswer::Failed,
            Answer::Bad => RelayedAnswer::Bad,
        };
        RelayedReply { answer, say: reply.feedback, lacks: label.missing, stale_ms: label.stale_ms }
    }
}

impl From<RelayedReply> for Reply {
    fn from(told: RelayedReply) -> Reply {
        let label = Label { missing: told.lacks, stale_ms: told.stale_ms };
        let answer = match told.answer {
            RelayedAnswer::Served(body) => Answer::Served(body),
            RelayedAnswer::Refused { stay_away, last } => Answer::Refused { stay_away, last },
            RelayedAnswer::Failed => Answer::Failed,
            RelayedAnswer::Bad => Answer::Bad,
        };
        Reply { answer, feedback: told.say, label: (label != Label::default()).then(|| Box::new(label)) }
    }
}

/// The error for bytes that are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMessage;

/// Appends an encoded message; returns false and appends nothing if it is too long.
pub fn write(message: &Message, out: &mut Vec<u8>) -> bool {
    let from = out.len();
    out.extend([0; LENGTH_BYTES]);
    // Encoding into memory cannot fail for any of the message types.
    let written = postcard::to_extend(message, std::mem::take(out));
    *out = written.unwrap_or_default();
    let length = out.len().saturating_sub(from + LENGTH_BYTES);
    if out.len() < from + LENGTH_BYTES || length > MAX_MESSAGE_BYTES {
        out.truncate(from);
        return false;
    }
    out[from..from + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    true
}

/// Removes the next whole message from `input`; `None` while it is incomplete.
///
/// # Errors
/// Fails if the message is too long or cannot be decoded.
pub fn next(input: &mut Vec<u8>) -> Result<Option<Message>, InvalidMessage> {
    let Some(head) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*head) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(InvalidMessage);
    }
    let Some(bytes) = input.get(LENGTH_BYTES..LENGTH_BYTES + length) else { return Ok(None) };
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(|_| InvalidMessage)?;
    if !rest.is_empty() {
        return Err(InvalidMessage);
    }
    input.drain(..LENGTH_BYTES + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;
