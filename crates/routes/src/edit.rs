//! An edit: typed changes of one team, that are taken together or not at all.

use crate::table::{Field, Fields, MAX_NAME_BYTES, Thing, Value, is_valid_name};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hasher;

/// Changes of one edit.
pub const MAX_CHANGES: usize = 64;
/// Bytes of the reason: a sentence or two.
pub const MAX_REASON_BYTES: usize = 256;
/// Bytes of an edit; with what is around it, it stays below what one entry of the log may have.
pub const MAX_EDIT_BYTES: usize = 7 * 1024;

/// Who made an edit and which of theirs it is: the same on both sides of a cut.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EditId {
    /// The team.
    pub team: String,
    /// The team's own count.
    pub number: u64,
}

/// An edit as it was sent: two edits under one number are two.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EditKey {
    /// Who made it, and which of theirs it is.
    pub id: EditId,
    /// What stands in it, in short.
    pub digest: u64,
}

impl fmt::Display for EditKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.id.team, self.id.number)
    }
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// A thing that is new.
    Add {
        /// The thing.
        thing: Thing,
        /// What it begins with.
        #[serde(default)]
        fields: Fields,
    },
    /// One field gets another value; the owner is one.
    Set {
        /// The thing.
        thing: Thing,
        /// The field.
        field: Field,
        /// What it is to hold.
        value: Value,
    },
    /// A thing goes.
    Remove {
        /// The thing.
        thing: Thing,
    },
    /// A thing gets another name, wherever it is named.
    Rename {
        /// The thing.
        thing: Thing,
        /// What it is called from now on.
        to: String,
    },
}

/// A set of changes with what it rests on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Who made it, and which of theirs it is.
    pub id: EditId,
    /// The revision that its author saw.
    pub base: u64,
    /// Why, in the team's words.
    pub reason: String,
    /// What it changes.
    pub changes: Vec<Change>,
}

/// What is wrong with an edit in itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Malformed {
    /// It is no edit at all; with what the reader said.
    Unreadable(String),
    /// A name cannot stand.
    InvalidName(String),
    /// No changes, or too many.
    ChangeCount(usize),
    /// The reason is missing or too long.
    ReasonLength(usize),
    /// The whole is too long.
    TooLarge(usize),
    /// A thing has no such field, or it holds no such value.
    InvalidField(Thing, Field),
    /// Two changes are about the same.
    Duplicate(Thing),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Unreadable(what) => write!(f, "cannot be read: {what}"),
            Malformed::InvalidName(name) => {
                write!(f, "{name:?} must hold 1 to {MAX_NAME_BYTES} letters, digits, '-', '.' or '_'")
            }
            Malformed::ChangeCount(count) => write!(f, "has {count} changes: 1 to {MAX_CHANGES}"),
            Malformed::ReasonLength(bytes) => {
                write!(f, "has a reason of {bytes} bytes: 1 to {MAX_REASON_BYTES}")
            }
            Malformed::TooLarge(bytes) => write!(f, "has {bytes} bytes: at most {MAX_EDIT_BYTES}"),
            Malformed::InvalidField(thing, field) => {
                write!(f, "{thing} has no {field:?}, or it cannot hold that")
            }
            Malformed::Duplicate(thing) => write!(f, "says two things about {thing}"),
        }
    }
}

/// Reads an edit from JSON, and checks it in itself.
///
/// # Errors
/// What is wrong with it.
pub fn parse_edit(json: &str) -> Result<Edit, Malformed> {
    let edit: Edit = serde_json::from_str(json).map_err(|e| Malformed::Unreadable(e.to_string()))?;
    edit.check().map(|()| edit)
}

impl Edit {
    /// What stands for it, wherever it is sent from.
    pub fn key(&self) -> EditKey {
        let mut hash = SipHasher24::new();
        hash.write(&postcard::to_stdvec(self).unwrap_or_default());
        EditKey { id: self.id.clone(), digest: hash.finish128().h1 }
    }

    /// Whether it can be an edit, whatever the table.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), Malformed> {
        if !is_valid_name(&self.id.team) {
            return Err(Malformed::InvalidName(self.id.team.clone()));
        }
        if !(1..=MAX_CHANGES).contains(&self.changes.len()) {
            return Err(Malformed::ChangeCount(self.changes.len()));
        }
        if !(1..=MAX_REASON_BYTES).contains(&self.reason.len()) {
            return Err(Malformed::ReasonLength(self.reason.len()));
        }
        let bytes = postcard::to_stdvec(self).map_or(usize::MAX, |bytes| bytes.len());
        if bytes > MAX_EDIT_BYTES {
            return Err(Malformed::TooLarge(bytes));
        }
        // What an edit says about one thing is either its being there or distinct fields: the order of changes means nothing.
        let (mut whole, mut fields) = (BTreeSet::new(), BTreeSet::new());
        for change in &self.changes {
            for name in [Some(change.thing()), change.claimed_name().as_ref()].into_iter().flatten() {
                if !is_valid_name(&name.name) {
                    return Err(Malformed::InvalidName(name.name.clone()));
                }
            }
            change.check()?;
            let fresh = match change {
                Change::Set { thing, field, .. } => fields.insert((thing.clone(), *field)),
                Change::Rename { thing, to } => {
                    let (old, new) = (thing.clone(), thing.named(to));
                    old != new && whole.insert(old) && whole.insert(new)
                }
                Change::Add { thing, .. } | Change::Remove { thing } => whole.insert(thing.clone()),
            };
            if !fresh {
                return Err(Malformed::Duplicate(change.thing().clone()));
            }
        }
        match fields.into_iter().find(|(thing, _)| whole.contains(thing)) {
            Some((thing, _)) => Err(Malformed::Duplicate(thing)),
            None => Ok(()),
        }
    }
}

impl Change {
    /// The thing that it is about.
    pub fn thing(&self) -> &Thing {
        match self {
            Change::Add { thing, .. }
            | Change::Set { thing, .. }
            | Change::Remove { thing }
            | Change::Rename { thing, .. } => thing,
        }
    }

    /// The name that it takes.
    pub fn claimed_name(&self) -> Option<Thing> {
        match self {
            Change::Add { thing, .. } => Some(thing.clone()),
            Change::Rename { thing, to } => Some(thing.named(to)),
            _ => None,
        }
    }

    /// The fields that it writes.
    pub fn written_fields(&self) -> Vec<(Field, &Value)> {
        match self {
            Change::Add { fields, .. } => fields.iter().map(|(field, value)| (*field, value)).collect(),
            Change::Set { field, value, .. } => vec![(*field, value)],
            _ => Vec::new(),
        }
    }

    fn check(&self) -> Result<(), Malformed> {
        let thing = self.thing();
        let wrong = |field: Field| Err(Malformed::InvalidField(thing.clone(), field));
        for (field, value) in self.written_fields() {
            let set = matches!(self, Change::Set { .. });
            // An added thing leaves out what it does not have: one way to say it.
            if !field.accepts(thing.kind, value)
                || (set && field.is_immutable())
                || (!set && *value == Value::Nothing)
            {
                return wrong(field);
            }
        }
        if let Change::Add { fields, .. } = self {
            for field in [Field::Budget, Field::Call] {
                if field.is_required_for(thing.kind) && !fields.contains_key(&field) {
                    return wrong(field);
                }
            }
        }
        Ok(())
    }
}
