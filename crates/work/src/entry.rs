//! What the log has of work, what comes of it, and what a start of a member is shown.

use crate::bounds::{MAX_BODY_BYTES, MAX_KEY_BYTES, MAX_NAME_BYTES, MAX_RESULT_BYTES};
use jaspershunt_fleet::Holder;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// What the class's resource can do after begun work was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// It tells by key what it did. Of a key that it did not do it says so only if it will not do it any more under a lower token
    /// than the one that asked; if it cannot promise that, it cannot tell.
    Asks,
    /// It turns lower tokens of a key away, and answers a repeat of a key with what it did.
    Fenced,
    /// Neither: begun work that was lost ends as unknown.
    Unknown,
}

/// Work that is to survive its nodo.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The operation key; the same over all tries.
    pub key: String,
    /// The class, by the operator's file.
    pub class: String,
    /// The tenant.
    pub tenant: Option<String>,
    /// What is to be done.
    pub body: Vec<u8>,
    /// After this it is of no use, in Unix milliseconds.
    pub due_ms: u64,
    /// Until then the key is known, in Unix milliseconds.
    pub window_ends_ms: u64,
    /// What it is worth, in thousandths; the least worth is given up first.
    pub worth_milli: u32,
    /// What its resource can do.
    pub effect: Effect,
}

/// What became of work. The first that is recorded counts for all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It has had its effect, with this result.
    Done(Vec<u8>),
    /// It has failed or was given up, and has had no effect.
    Failed,
    /// It was never run.
    NeverRan,
    /// Whether it has had an effect nobody can tell. It is not run again.
    Unknown,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Work, before it is run; or a repeat of it.
    Offer {
        /// Who has it.
        by: Holder,
        /// What it is.
        offer: Offer,
        /// It is run as soon as this is agreed.
        begin: bool,
        /// The proposer's time, in Unix milliseconds.
        now_ms: u64,
    },
    /// It is to be run.
    Begin {
        /// Which.
        key: String,
        /// By whom.
        by: Holder,
        /// Under which token.
        token: u64,
    },
    /// It has come to an end.
    End {
        /// Which.
        key: String,
        /// By whom.
        by: Holder,
        /// Under which token.
        token: u64,
        /// Which end.
        end: End,
    },
    /// It goes to an heir, if its owner is lost or has handed it over.
    TakeOver {
        /// Which.
        key: String,
        /// The present token.
        token: u64,
        /// To whom.
        successor: Holder,
    },
    /// There is no heir in time: failed if it was not begun, unknown if it was. Counts only for what has lost its owner.
    GiveUp {
        /// Which.
        key: String,
        /// The present token.
        token: u64,
    },
    /// This start has told its end to who asked.
    Answered {
        /// Which.
        key: String,
        /// Who told it.
        by: Holder,
    },
    /// What a start could take now.
    Capacity {
        /// Which start.
        holder: Holder,
        /// Where it is.
        region: String,
        /// How many requests it could take.
        capacity: u32,
    },
    /// A start leaves, and what it has not ended by now is an heir's.
    HandOver {
        /// Which start.
        by: Holder,
        /// The proposer's time, in Unix milliseconds, for who reads the log.
        now_ms: u64,
    },
    /// So late it is, by the fleet's clock: what is over is forgotten.
    Tidy {
        /// In Unix milliseconds.
        now_ms: u64,
    },
}

/// What came of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is the proposer's, or the heir's, under this token.
    Yours {
        /// The token.
        token: u64,
    },
    /// Another has it; its end is heard of through [`Seen`].
    Waits,
    /// It has ended so.
    Known(End),
    /// It is so; there is nothing to say.
    Done,
    /// Nothing has changed.
    Refused(Refusal),
}

/// Why nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The bytes are no entry.
    NoEntry,
    /// A text, a body or a result is too long, or a key is empty.
    TooLong,
    /// There is no room. Of a new key this says that the fleet knows nothing of it.
    Full,
    /// As many wait for this key as may.
    Crowded,
    /// That start is not the present one of its member.
    NotPresent,
    /// There is nothing of that key.
    Nothing,
    /// The token is not the present one.
    OldToken,
    /// The key is known with another body, class or tenant.
    OtherBody,
    /// It is due, or its window has ended.
    Late,
    /// Its owner is there, and has not handed it over.
    Owned,
    /// The heir has as much as it may take over at once.
    HeirFull,
    /// It may have run, and its resource cannot tell: it is not run again, and not said to have failed.
    MayHaveRun,
    /// It was done, and the result is not kept any more.
    Dropped,
    /// It has not ended yet.
    NotEnded,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refusal::NoEntry => "the bytes are no entry of work",
            Refusal::TooLong => "a text, a body or a result is too long, or the key is empty",
            Refusal::Full => "there is no room",
            Refusal::Crowded => "as many wait for this key as may",
            Refusal::NotPresent => "that start is not the present one of its member",
            Refusal::Nothing => "there is nothing of that key",
            Refusal::OldToken => "the token is not the present one",
            Refusal::OtherBody => "the key is known with another body, class or tenant",
            Refusal::Late => "it is due, or its window has ended",
            Refusal::Owned => "its owner is there and has not handed it over",
            Refusal::HeirFull => "the heir has taken over as much as it may at once",
            Refusal::MayHaveRun => "it may have run, and its resource cannot tell",
            Refusal::Dropped => "it was done, and the result is not kept any more",
            Refusal::NotEnded => "it has not ended yet",
        })
    }
}

/// What is agreed of an item's run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Nobody has begun it.
    Held,
    /// It was begun under this token: its owner's own, or that of one before.
    Begun {
        /// The token.
        token: u64,
    },
    /// It has ended, and nobody was told yet.
    Ended(End),
}

/// An item that a start owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedItem {
    /// Its key.
    pub key: String,
    /// What it is. The body is gone once it has ended.
    pub offer: Offer,
    /// The present token.
    pub token: u64,
    /// What is agreed of it.
    pub state: Progress,
    /// It was taken over. Only then the body is shown: its first owner has it.
    pub taken_over: bool,
}

/// What a start of a member is shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// What it owns and has not answered.
    pub owned: Vec<OwnedItem>,
    /// Ends of the keys that it waits for.
    pub ended: Vec<AwaitedEnd>,
}

/// The end of a key that a start waits for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AwaitedEnd {
    /// The key.
    pub key: String,
    /// Stands for class and body: what is shown late may be of an earlier use of the key.
    pub digest: u64,
    /// The end.
    pub end: End,
}

fn to_postcard(value: &impl Serialize) -> Vec<u8> {
    // Writing into memory fails for nothing that these hold.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn from_postcard<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}

macro_rules! byte_codec {
    ($($kind:ty),*) => {$(
        impl $kind {
            /// As bytes.
            pub fn to_bytes(&self) -> Vec<u8> {
                to_postcard(self)
            }

            /// From bytes; `None` if these are not its bytes.
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
