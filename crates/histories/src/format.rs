//! The format of histories: one file for each incarnation of a process, one line of JSON for each record.
//!
//! The first line identifies the writer. An operation is a `begin` line, written before the request is sent,
//! and an `end` line, written once the answer is known. The outcome of a `begin` without an `end` is unknown:
//! the operation may have happened at any time after it began, or not at all. Times are nanoseconds of the
//! clock that all processes of a machine share (`CLOCK_MONOTONIC`); the caller passes them in.

mod reader;
#[cfg(test)]
mod tests;
mod writer;

pub use reader::{Cut, File, read};
pub use writer::{Ticket, WriteError, Writer};

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::fmt::{self, Display, Write as _};
use std::hash::Hasher;

/// The format and its version, in the first line of each file.
pub const FORMAT: &str = "jaspershunt-history/1";

/// Maximum bytes of a line. A table that names 4,000 edits fits; a longer line is not written, and its
/// operation stays unknown.
pub const MAX_LINE_BYTES: usize = 256 * 1024;

/// Maximum bytes of a value that is recorded literally. A longer one is recorded as its length and digest.
pub const MAX_VALUE_BYTES: usize = 512;

/// Default maximum size of a file: some 100,000 operations.
pub const FILE_BYTES: u64 = 16 * 1024 * 1024;

/// Maximum bytes that are read of one file.
pub const MAX_FILE_BYTES: u64 = 256 * 1024 * 1024;

/// One incarnation of a process or of a client.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Who {
    /// The name that all incarnations of the process share.
    pub process: String,
    /// The number of the incarnation.
    pub incarnation: u64,
}

impl Who {
    /// Identifies an incarnation of a process.
    pub fn new(process: &str, incarnation: u64) -> Who {
        Who { process: process.to_owned(), incarnation }
    }
}

impl Display for Who {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.process, self.incarnation)
    }
}

/// Recorded bytes. Two values are equal only if the bytes are.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Value(String);

impl Value {
    /// Records text literally, other bytes as `#` and hexadecimal digits, and long values as `#long`, length
    /// and 128-bit digest.
    pub fn of(bytes: impl AsRef<[u8]>) -> Value {
        let bytes = bytes.as_ref();
        if bytes.len() > MAX_VALUE_BYTES {
            let mut hasher = SipHasher13::new_with_keys(0, 0);
            hasher.write(bytes);
            return Value(format!("#long:{}:{:032x}", bytes.len(), hasher.finish128().as_u128()));
        }
        let plain = |text: &&str| !text.starts_with('#') && !text.chars().any(char::is_control);
        if let Some(text) = std::str::from_utf8(bytes).ok().filter(plain) {
            return Value(text.to_owned());
        }
        let mut digits = "#".to_owned();
        for byte in bytes {
            let _ = write!(digits, "{byte:02x}");
        }
        Value(digits)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::of(text)
    }
}

impl Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Read of a register. Answer: [`Told::Value`].
    Read {
        /// The register.
        key: String,
    },
    /// Write of a register.
    Write {
        /// The register.
        key: String,
        /// The new value.
        value: Value,
    },
    /// Conditional write of a register. Answer: [`Told::Swapped`].
    CompareAndSet {
        /// The register.
        key: String,
        /// The expected value.
        old: Option<Value>,
        /// The new value.
        new: Value,
    },
    /// An edit of the replicated table. Answer if it was committed: [`Told::Revision`]. An edit in conflict
    /// ends unknown, because it may be committed at any later time; a refused or withdrawn one has failed.
    Edit {
        /// The table.
        table: String,
        /// The id of the edit, unique within the history.
        edit: String,
    },
    /// Read of the table as committed at some time between begin and end. Answer: [`Told::Table`].
    ReadTable {
        /// The table.
        table: String,
    },
    /// The table that this process currently uses, however old. Answer: [`Told::Table`].
    SeenTable {
        /// The table.
        table: String,
    },
    /// Work is offered. The operation succeeds once the work is accepted, and may then include its outcome;
    /// it fails if the work was refused.
    Offer {
        /// The key of the work. Work that reuses a key after its window needs another key here.
        key: String,
        /// The time by which it must have an outcome, by the clock of the history.
        due: u64,
        /// Whether a completed run leaves an effect at the recording resource.
        leaves_effect: bool,
    },
    /// A run of work has begun.
    Begun {
        /// The key of the work.
        key: String,
        /// The token of the run.
        token: u64,
    },
    /// The outcome of work was settled. Answer: [`Told::Work`].
    Outcome {
        /// The key of the work.
        key: String,
    },
    /// A client asks for the outcome of work. Answer: [`Told::Work`].
    Answered {
        /// The key of the work.
        key: String,
    },
    /// The resource applies an effect itself. Failed: it rejected the request; unknown: it may have applied
    /// it. Must not be written as a note.
    Effect {
        /// The key of the effect.
        key: String,
        /// The group within which tokens are compared; `None`: the key.
        fence: Option<String>,
        /// The token of the run.
        token: u64,
        /// Who requested it.
        who: Who,
    },
    /// The steering table that this process currently uses. Answer: [`Told::Table`], with its epoch as the
    /// revision.
    SeenSteering,
}

impl Op {
    /// Whether this kind of answer fits the operation.
    fn accepts(&self, told: &Told) -> bool {
        match self {
            Op::Read { .. } => matches!(told, Told::Value(_)),
            Op::CompareAndSet { .. } => matches!(told, Told::Swapped(_)),
            Op::Edit { .. } => matches!(told, Told::Revision(_)),
            Op::ReadTable { .. } | Op::SeenTable { .. } | Op::SeenSteering => matches!(told, Told::Table(_)),
            Op::Write { .. } | Op::Begun { .. } | Op::Effect { .. } => matches!(told, Told::Nothing),
            Op::Offer { .. } => matches!(told, Told::Nothing | Told::Work { .. }),
            Op::Outcome { .. } | Op::Answered { .. } => matches!(told, Told::Work { .. }),
        }
    }
}

/// The outcome of work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkEnd {
    /// It was done, with this result.
    Done(Value),
    /// It failed; it may have left its effect.
    Failed,
    /// It never ran, so there is no effect.
    NeverRan,
    /// The outcome is not known: there is one effect or none.
    Unknown,
}

/// A table as it was answered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Table {
    /// Its revision or epoch.
    pub revision: u64,
    /// Its whole content.
    pub content: Value,
    /// All edits that it includes; none for a steering table.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub edits: Vec<String>,
}

/// The answer to an operation that succeeded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// It was done.
    Nothing,
    /// The value of the register.
    Value(Option<Value>),
    /// Whether the register had the expected value and was written.
    Swapped(bool),
    /// The revision that the edit created.
    Revision(u64),
    /// A table.
    Table(Table),
    /// The outcome of work.
    Work {
        /// The outcome.
        end: WorkEnd,
        /// The token of the run that the outcome is about, if known.
        token: Option<u64>,
    },
}

/// The result of an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Came {
    /// It happened between begin and end.
    Ok(Told),
    /// It did not happen and never will.
    Failed,
    /// It may have happened, may happen later, or neither.
    Unknown,
}

/// A whole operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Who requested it.
    pub who: Who,
    /// The operation.
    pub op: Op,
    /// When it began, in nanoseconds.
    pub begin: u64,
    /// When the answer arrived or the client gave up; `None` if neither was recorded.
    pub end: Option<u64>,
    /// The result.
    pub came: Came,
}

impl Record {
    /// The answer, if the operation succeeded.
    pub fn told(&self) -> Option<&Told> {
        match &self.came {
            Came::Ok(told) => Some(told),
            Came::Failed | Came::Unknown => None,
        }
    }

    /// The time after which it cannot happen: its end, or never if the result is unknown.
    pub fn latest_end(&self) -> u64 {
        match self.came {
            Came::Unknown => u64::MAX,
            Came::Ok(_) | Came::Failed => self.end.unwrap_or(u64::MAX),
        }
    }

    /// Whether this operation was over before the other one began.
    pub fn ended_before(&self, other: &Record) -> bool {
        self.latest_end() < other.begin
    }
}

impl Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = |it: Result<String, serde_json::Error>| it.map_err(|_| fmt::Error);
        let seconds = |at: u64| at as f64 / 1e9;
        write!(f, "{:.6}..", seconds(self.begin))?;
        match self.end {
            Some(end) => write!(f, "{:.6}", seconds(end))?,
            None => write!(f, "?")?,
        }
        let (op, came) = (json(serde_json::to_string(&self.op))?, json(serde_json::to_string(&self.came))?);
        write!(f, " {} {op} -> {came}", self.who)
    }
}

/// A line of a file.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    /// The first line.
    Head { format: String, who: Who },
    /// A request is about to be sent.
    Begin { id: u64, at: u64, op: Op },
    /// The result of an operation.
    End { id: u64, at: u64, came: Came },
    /// An observation at one moment.
    Note { at: u64, op: Op, told: Told },
    /// The file is full: later records are missing.
    Full { at: u64 },
}
