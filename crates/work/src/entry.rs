//! Log entries of in-flight work, their outcomes, and the view of the state that each incarnation of a member
//! receives.

use crate::bounds::{MAX_BODY_BYTES, MAX_KEY_BYTES, MAX_NAME_BYTES, MAX_RESULT_BYTES};
use jaspershunt_fleet::Holder;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// What the resource of a class offers for work whose owner was lost after beginning it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// It answers queries by key. It reports a key as not done only if it will also reject later calls under
    /// a token lower than the query's; if it cannot guarantee that, it answers that it cannot tell.
    Asks,
    /// It rejects tokens of a key lower than the highest seen, and answers a repeated key with the first
    /// result.
    Fenced,
    /// Neither: begun work that is lost ends as unknown.
    Unknown,
}

/// A request whose work is recorded in the replicated log so that it survives the loss of its nodo.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The operation key, the same over all tries.
    pub key: String,
    /// The class from the operator's file.
    pub class: String,
    /// The tenant.
    pub tenant: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
    /// The deadline, in Unix milliseconds.
    pub due_ms: u64,
    /// End of the key's deduplication window, in Unix milliseconds.
    pub window_ends_ms: u64,
    /// The worth in thousandths; work of the least worth is given up first.
    pub worth_milli: u32,
    /// What the resource offers after the loss of an owner.
    pub effect: Effect,
}

/// The final outcome of work. Only the first one recorded counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It took effect, with this result.
    Done(Vec<u8>),
    /// It failed or was given up, without an effect.
    Failed,
    /// It never ran.
    NeverRan,
    /// Whether it took effect is not known. It is not run again.
    Unknown,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Records work before it runs, or repeats an earlier offer.
    Offer {
        /// The proposer, which becomes the owner.
        by: Holder,
        /// The work.
        offer: Offer,
        /// The run begins as soon as this is committed.
        begin: bool,
        /// The proposer's time, in Unix milliseconds.
        now_ms: u64,
    },
    /// Begins a run.
    Begin {
        /// The operation key.
        key: String,
        /// The owner.
        by: Holder,
        /// The owner's token.
        token: u64,
    },
    /// Records the outcome.
    End {
        /// The operation key.
        key: String,
        /// The incarnation that ran the work.
        by: Holder,
        /// The token under which it ran.
        token: u64,
        /// The outcome.
        end: End,
    },
    /// Gives the work to a successor, if its owner is lost or has handed it over.
    TakeOver {
        /// The operation key.
        key: String,
        /// The current token.
        token: u64,
        /// The new owner.
        successor: Holder,
    },
    /// Ends orphaned work that finds no successor in time: as failed if it was not begun, else as unknown.
    GiveUp {
        /// The operation key.
        key: String,
        /// The current token.
        token: u64,
    },
    /// Reports that an incarnation has delivered the outcome to its clients.
    Answered {
        /// The operation key.
        key: String,
        /// The reporting incarnation.
        by: Holder,
    },
    /// Reports the spare capacity of an incarnation.
    Capacity {
        /// The reporting incarnation.
        holder: Holder,
        /// Its region.
        region: String,
        /// How many more requests it can accept.
        capacity: u32,
    },
    /// Releases all unfinished work of a leaving incarnation to successors.
    HandOver {
        /// The leaving incarnation.
        by: Holder,
        /// The proposer's time, in Unix milliseconds; only for readers of the log.
        now_ms: u64,
    },
    /// Advances the replicated clock, ends expired work and forgets expired keys.
    Tidy {
        /// The leader's time, in Unix milliseconds.
        now_ms: u64,
    },
}

/// The outcome of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The proposer, or the successor, owns the work under this token.
    Yours {
        /// The token.
        token: u64,
    },
    /// Another incarnation owns the work; its outcome arrives in the [`MemberView`].
    Waits,
    /// The work has ended with this outcome.
    Known(End),
    /// The entry was applied; there is nothing to return.
    Done,
    /// The entry changed nothing.
    Refused(Refusal),
}

/// Why an entry changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The bytes do not decode to an entry.
    NoEntry,
    /// A text, a body or a result is too long, or a key is empty.
    TooLong,
    /// A limit is reached. A new key was not recorded.
    Full,
    /// The key has the maximum number of waiters.
    Crowded,
    /// The incarnation is not the current one of its member.
    NotPresent,
    /// The key is not known.
    Nothing,
    /// The token is not the current one.
    OldToken,
    /// The key is recorded with another body, class or tenant.
    OtherBody,
    /// The work is past its deadline, or its window has ended.
    Late,
    /// The owner is present and has not handed the work over.
    Owned,
    /// The successor has taken over the maximum number of items.
    HeirFull,
    /// The work may have run and its resource cannot tell, so it is neither run again nor recorded as failed.
    MayHaveRun,
    /// The work was done, and its result has been dropped.
    Dropped,
    /// The work has not ended yet.
    NotEnded,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refusal::NoEntry => "the bytes do not decode to an entry of work",
            Refusal::TooLong => "a text, a body or a result is too long, or the key is empty",
            Refusal::Full => "a limit is reached",
            Refusal::Crowded => "the key has the maximum number of waiters",
            Refusal::NotPresent => "the incarnation is not the current one of its member",
            Refusal::Nothing => "the key is not known",
            Refusal::OldToken => "the token is not the current one",
            Refusal::OtherBody => "the key is recorded with another body, class or tenant",
            Refusal::Late => "the work is past its deadline, or its window has ended",
            Refusal::Owned => "the owner is present and has not handed the work over",
            Refusal::HeirFull => "the successor has taken over the maximum number of items",
            Refusal::MayHaveRun => "the work may have run, and its resource cannot tell",
            Refusal::Dropped => "the work was done, and its result has been dropped",
            Refusal::NotEnded => "the work has not ended yet",
        })
    }
}

/// Progress of an item, as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Recorded, and not begun.
    Held,
    /// Begun under this token, the owner's or that of a previous owner.
    Begun {
        /// The token.
        token: u64,
    },
    /// Ended, and the owner has not reported that it received the outcome.
    Ended(End),
}

/// An item as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedItem {
    /// The operation key.
    pub key: String,
    /// The request; its body is empty unless the item was taken over and has not ended.
    pub offer: Offer,
    /// The current token.
    pub token: u64,
    /// How far it has come.
    pub state: Progress,
    /// It was taken over. Only then the body is sent, as the first owner has it already.
    pub taken_over: bool,
}

/// The part of the state that an incarnation of a member receives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Items that it owns and whose outcome it has not reported as received.
    pub owned: Vec<OwnedItem>,
    /// Outcomes of keys that it waits for.
    pub ended: Vec<AwaitedEnd>,
}

/// The outcome of a key that an incarnation waits for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AwaitedEnd {
    /// The operation key.
    pub key: String,
    /// Digest of class and body, which tells a late outcome of an earlier use of the key.
    pub digest: u64,
    /// The outcome.
    pub end: End,
}

fn to_postcard(value: &impl Serialize) -> Vec<u8> {
    // Serializing these types into memory cannot fail.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}

macro_rules! byte_codec {
    ($($kind:ty),*) => {$(
        impl $kind {
            /// Encodes the value.
            pub fn to_bytes(&self) -> Vec<u8> {
                to_postcard(self)
            }

            /// Decodes a value; `None` if the bytes do not encode one.
            pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
                from_postcard(bytes)
            }
        }
    )*};
}

byte_codec!(Entry, Outcome, MemberView);

pub(crate) fn check_name(name: &str) -> Result<(), Refusal> {
    if name.len() <= MAX_NAME_BYTES { Ok(()) } else { Err(Refusal::TooLong) }
}

impl Offer {
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        check_name(&self.class)?;
        check_name(self.tenant.as_deref().unwrap_or_default())?;
        let fits = (1..=MAX_KEY_BYTES).contains(&self.key.len()) && self.body.len() <= MAX_BODY_BYTES;
        if fits { Ok(()) } else { Err(Refusal::TooLong) }
    }
}

impl End {
    pub(crate) fn check(&self) -> Result<(), Refusal> {
        match self {
            End::Done(result) if result.len() > MAX_RESULT_BYTES => Err(Refusal::TooLong),
            _ => Ok(()),
        }
    }
}
