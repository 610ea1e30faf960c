//! An edit: typed changes of one team that are accepted or refused as a whole.

use crate::table::{Field, Fields, MAX_NAME_BYTES, Thing, Value, is_valid_name};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hasher;

/// Maximum number of changes in one edit.
pub const MAX_CHANGES: usize = 64;
/// Maximum length of the reason, in bytes: one or two sentences.
pub const MAX_REASON_BYTES: usize = 256;
/// Maximum size of an edit, in bytes. With its envelope it fits into one log entry.
pub const MAX_EDIT_BYTES: usize = 7 * 1024;

/// The team and number of an edit: the same on both sides of a network partition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EditId {
    /// The team.
    pub team: String,
    /// The number, assigned by the team.
    pub number: u64,
}

/// Identifies an edit by its content: two different edits with the same id have different keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EditKey {
    /// The team and number.
    pub id: EditId,
    /// A hash of the edit's content.
    pub digest: u64,
}

impl fmt::Display for EditKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.id.team, self.id.number)
    }
}

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Adds a thing.
    Add {
        /// The thing.
        thing: Thing,
        /// Its initial fields.
        #[serde(default)]
        fields: Fields,
    },
    /// Sets a field, such as the owner.
    Set {
        /// The thing.
        thing: Thing,
        /// The field.
        field: Field,
        /// The new value.
        value: Value,
    },
    /// Removes a thing.
    Remove {
        /// The thing.
        thing: Thing,
    },
    /// Renames a thing, with all references to it.
    Rename {
        /// The thing.
        thing: Thing,
        /// The new name.
        to: String,
    },
}

/// Changes of one team, with the revision they are based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The team and number.
    pub id: EditId,
    /// The revision that its author saw.
    pub base: u64,
    /// The reason the team gives.
    pub reason: String,
    /// The changes.
    pub changes: Vec<Change>,
}

/// Why an edit is malformed, whatever the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Malformed {
    /// The JSON is not an edit, for this reason.
    Unreadable(String),
    /// A name is not allowed.
    InvalidName(String),
    /// There are no changes, or too many.
    ChangeCount(usize),
    /// The reason is missing or too long.
    ReasonLength(usize),
    /// The edit is too large.
    TooLarge(usize),
    /// The thing does not have the field, lacks a required one, or the value is not allowed.
    InvalidField(Thing, Field),
    /// Two changes write the same thing or field.
    Duplicate(Thing),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Unreadable(what) => write!(f, "cannot be read: {what}"),
            Malformed::InvalidName(name) => {
                write!(
                    f,
                    "has the name {name:?}: 1 to {MAX_NAME_BYTES} letters, digits, '-', '.', '_' are allowed"
                )
            }
            Malformed::ChangeCount(count) => write!(f, "has {count} changes: 1 to {MAX_CHANGES} are allowed"),
            Malformed::ReasonLength(bytes) => {
                write!(f, "has a reason of {bytes} bytes: 1 to {MAX_REASON_BYTES} are allowed")
            }
            Malformed::TooLarge(bytes) => {
                write!(f, "has {bytes} bytes: at most {MAX_EDIT_BYTES} are allowed")
            }
            Malformed::InvalidField(thing, field) => {
                write!(f, "has a missing or invalid {field:?} for {thing}")
            }
            Malformed::Duplicate(thing) => write!(f, "changes {thing} more than once"),
        }
    }
}

/// Parses an edit from JSON and checks it on its own.
///
/// # Errors
/// Returns why the edit is malformed.
pub fn parse_edit(json: &str) -> Result<Edit, Malformed> {
    let edit: Edit = serde_json::from_str(json).map_err(|e| Malformed::Unreadable(e.to_string()))?;
    edit.check().map(|()| edit)
}

impl Edit {
    /// Returns the key, which is the same wherever the edit is sent from.
    pub fn key(&self) -> EditKey {
        let mut hash = SipHasher24::new();
        hash.write(&postcard::to_stdvec(self).unwrap_or_default());
        EditKey { id: self.id.clone(), digest: hash.finish128().h1 }
    }

    /// Checks the edit on its own, whatever the table.
    ///
    /// # Errors
    /// Returns why the edit is malformed.
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
        // An edit may add, remove or rename a thing once, or set distinct fields of it, so that the order
        // of its changes does not matter.
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
    /// Returns the thing that is changed.
    pub fn thing(&self) -> &Thing {
        match self {
            Change::Add { thing, .. }
            | Change::Set { thing, .. }
            | Change::Remove { thing }
            | Change::Rename { thing, .. } => thing,
        }
    }

    /// Returns the name that the change takes.
    pub fn claimed_name(&self) -> Option<Thing> {
        match self {
            Change::Add { thing, .. } => Some(thing.clone()),
            Change::Rename { thing, to } => Some(thing.named(to)),
            _ => None,
        }
    }

    /// Returns the fields that the change writes.
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
            // An added thing omits fields it does not have instead of setting them to nothing, so that
            // equal things have equal edits.
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
