//! What two processes that are one nodo say to each other, as bytes: a length of four bytes, least first, and a message in
//! postcard. Nothing here waits or reads.

use crate::request::{Answer, Label, Reply, Work};
use jaspershunt::CallerId;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of this protocol. Two that differ do not work together; the later start then waits for the other's end.
pub const VERSION: u32 = 3;
/// The longest message. The largest is a piece of the table of keys, or a connection with what was read of it.
pub const MAX_MESSAGE: usize = 256 * 1024;
/// Entries of the table of keys in one message.
pub const PIECE: usize = 32;
/// Bytes of their keys and results. A result has 4 KiB, and 64 KiB at the very most: the longest line of the interpreter.
pub const PIECE_BYTES: usize = 128 * 1024;
const HEAD: usize = 4;

/// What is said. A connection travels beside its message, the listener beside [`Message::Welcome`] and [`Message::Yield`], and
/// the right to run what is new beside [`Message::Yours`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The later start names itself. This and the next two stand first in every version: they are how two that differ find out.
    Hello {
        /// Its [`VERSION`].
        version: u32,
        /// The nodo's name.
        name: String,
        /// Where balancers connect.
        listen: String,
    },
    /// The earlier start is the same nodo; its listener comes with this.
    Welcome {
        /// Operators had clients sent away.
        lameduck: bool,
    },
    /// The other one cannot go on now.
    NotNow {
        /// Why.
        why: String,
    },
    /// The later start can run requests: all that is new is to be its own.
    Begin,
    /// A piece of the table of keys.
    Table(Vec<Entry>),
    /// From here on the later start owns all keys, and gets all that is new.
    Yours {
        /// What nobody can tell, in Unix seconds: other processes may have run tries that came before the first, and their
        /// keys count until the second.
        doubt: Option<(f64, f64)>,
    },
    /// The later start accepts connections: the earlier one is to accept no more, and to pass on those that are quiet.
    Ready,
    /// A try that reached the earlier start.
    Work {
        /// What its reply is known by.
        ticket: u64,
        /// The try.
        work: Relayed,
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
        reply: Told,
    },
    /// What became of a key that the earlier start had in hand.
    Ended(Entry),
    /// A connection, with bytes that were read of it and belong to no whole record.
    Connection {
        /// Those bytes.
        input: Vec<u8>,
        /// It brought a request that makes sense.
        used: bool,
        /// For how many milliseconds a first such request, or the rest of one, has been waited for.
        waited_ms: Option<u64>,
    },
    /// What the earlier start still takes of what both share.
    Load(Load),
    /// Operators send clients away, or take them again.
    Lameduck {
        /// Whether they are sent away.
        on: bool,
    },
    /// The earlier start owes nothing any more, and ends.
    Farewell,
    /// A process that lost the right names itself, and wants to hand over what it has; its listener comes with this.
    Yield {
        /// Its [`VERSION`].
        version: u32,
        /// The nodo's name.
        name: String,
        /// Where balancers connect.
        listen: String,
    },
    /// That was the whole table of a process that lost the right: all that is new there follows.
    Yielded,
    /// Nothing, but that this process is there.
    Alive,
    /// A further listener of balancers comes with this: one that this process got from another.
    Listener,
}

/// What a process takes of what two that are one nodo share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Memory that its requests may yet take, in kilobytes: all of them as if they ran.
    pub kb: f64,
    /// Those that run.
    pub running: u32,
    /// Descriptors that it may hold.
    pub descriptors: u32,
}

/// A key of the earlier start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: Rc<str>,
    /// What stands for class and body of all its tries.
    pub print: u64,
    /// Until when it is remembered, in Unix seconds.
    pub until: f64,
    /// What became of it.
    pub state: State,
}

impl Entry {
    /// Bytes that it takes in a message, about.
    fn size(&self) -> usize {
        let result = if let State::Done(result) = &self.state { result.len() } else { 0 };
        self.key.len() + result + 32
    }
}

/// Cuts a table into pieces that each fit a message.
pub fn pieces(entries: Vec<Entry>) -> Vec<Vec<Entry>> {
    let mut pieces: Vec<Vec<Entry>> = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.size();
        match pieces.last_mut() {
            Some(piece) if piece.len() < PIECE && bytes <= PIECE_BYTES => piece.push(entry),
            _ => {
                bytes = entry.size();
                pieces.push(vec![entry]);
            }
        }
    }
    pieces
}

/// What became of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// A try of it is held or runs: what it comes to will be told.
    InHand,
    /// It ran, with this result.
    Done(Rc<[u8]>),
    /// It ran and failed, or its result is not kept.
    Failed,
    /// No try of it ran.
    NeverRan,
}

/// A try, with names in the place of what only one process knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relayed {
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

impl Relayed {
    /// A try as it is told; `class` and `tenant` are their names.
    pub fn new(work: Work, class: &str, tenant: Option<&str>) -> Relayed {
        Relayed {
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

    /// The try here; `None` if its class, or its tenant, is not known by that name.
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

/// A reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    answer: ToldAnswer,
    say: Option<f64>,
    lacks: Vec<Rc<str>>,
    stale_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum ToldAnswer {
    Served(Rc<[u8]>),
    Refused { stay_away: f64, last: bool },
    Failed,
    Bad,
}

impl From<Reply> for Told {
    fn from(reply: Reply) -> Told {
        let label = reply.label.map(|label| *label).unwrap_or_default();
        let answer = match reply.answer {
            Answer::Served(body) => ToldAnswer::Served(body),
            Answer::Refused { stay_away, last } => ToldAnswer::Refused { stay_away, last },
            // A health check is answered where it is read.
            Answer::Failed | Answer::Health { .. } => ToldAnswer::Failed,
            Answer::Bad => ToldAnswer::Bad,
        };
        Told { answer, say: reply.feedback, lacks: label.missing, stale_ms: label.stale_ms }
    }
}

impl From<Told> for Reply {
    fn from(told: Told) -> Reply {
        let label = Label { missing: told.lacks, stale_ms: told.stale_ms };
        let answer = match told.answer {
            ToldAnswer::Served(body) => Answer::Served(body),
            ToldAnswer::Refused { stay_away, last } => Answer::Refused { stay_away, last },
            ToldAnswer::Failed => Answer::Failed,
            ToldAnswer::Bad => Answer::Bad,
        };
        Reply { answer, feedback: told.say, label: (label != Label::default()).then(|| Box::new(label)) }
    }
}

/// Bytes that are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMessage;

/// Appends a message; whether it is short enough to be said.
pub fn write(message: &Message, out: &mut Vec<u8>) -> bool {
    let from = out.len();
    out.extend([0; HEAD]);
    // Writing into memory fails for nothing that a message holds.
    let written = postcard::to_extend(message, std::mem::take(out));
    *out = written.unwrap_or_default();
    let length = out.len().saturating_sub(from + HEAD);
    if out.len() < from + HEAD || length > MAX_MESSAGE {
        out.truncate(from);
        return false;
    }
    out[from..from + HEAD].copy_from_slice(&(length as u32).to_le_bytes());
    true
}

/// The next whole message, taken off `input`; `None` while it may still grow.
///
/// # Errors
/// It is too long, or not understood.
pub fn next(input: &mut Vec<u8>) -> Result<Option<Message>, NoMessage> {
    let Some(head) = input.first_chunk::<HEAD>() else { return Ok(None) };
    let length = u32::from_le_bytes(*head) as usize;
    if length > MAX_MESSAGE {
        return Err(NoMessage);
    }
    let Some(bytes) = input.get(HEAD..HEAD + length) else { return Ok(None) };
    let (message, rest) = postcard::take_from_bytes(bytes).map_err(|_| NoMessage)?;
    if !rest.is_empty() {
        return Err(NoMessage);
    }
    input.drain(..HEAD + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;
