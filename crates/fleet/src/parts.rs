//! Parts of the replicated state beside leases and tasks. Each is a deterministic function of the log alone,
//! with its own entries, outcomes and bounds.

use crate::state::MAX_NAME_BYTES;
use crate::{Entry, Fleet, Holder, Outcome, Refusal};
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Bytes of one entry of a part; small enough not to delay other entries of the log.
pub const MAX_PART_ENTRY_BYTES: usize = 8 * 1024;
/// Parts of one replicated state, including those that this program does not know.
pub const MAX_PARTS: usize = 16;
/// Bytes of views sent to an incarnation at once, unless a single view is larger. The rest follows with the
/// next answer.
pub const MAX_VIEW_BYTES: usize = 256 * 1024;

/// A part of the replicated state. Parts are independent of each other.
pub trait Part: Debug {
    /// The name of the part in log entries.
    fn name(&self) -> &'static str;
    /// Applies the next of the part's entries, with the same result in every process. Returns the outcome in
    /// the part's own encoding.
    fn apply(&mut self, fleet: &Fleet, entry: &[u8]) -> Vec<u8>;
    /// Notifies the part that an incarnation was added to or removed from the members.
    fn members_changed(&mut self, fleet: &Fleet);
    /// Version of this incarnation's view: grows whenever [`Part::view_for`] would return something else; 0
    /// while there is nothing to show.
    fn epoch(&self, holder: &Holder) -> u64;
    /// What one incarnation needs of the part.
    fn view_for(&self, holder: &Holder) -> Vec<u8>;
    /// Encodes the whole part; equal states have equal bytes.
    fn save(&self) -> Vec<u8>;
    /// Replaces the state by a saved one. Returns whether the bytes are valid; if not, the state is
    /// unchanged.
    fn load(&mut self, bytes: &[u8]) -> bool;
    /// The concrete part, for code that joins several parts.
    fn as_any(&self) -> &dyn Any;
}

/// The saved state of a part that this program does not know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct UnknownPart {
    bytes: Vec<u8>,
    /// Entries of the part have been committed since, so these bytes are no longer its state.
    outdated: bool,
}

/// An incarnation's view of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartView {
    /// The name of the part.
    pub name: String,
    /// Version of the view ([`Part::epoch`]).
    pub epoch: u64,
    /// The view itself ([`Part::view_for`]).
    pub bytes: Vec<u8>,
}

/// Why saved parts cannot be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The bytes are not valid.
    Corrupt,
    /// Entries of this part were committed while the program did not know it, so the saved state is out of
    /// date.
    Outdated(String),
}

/// The replicated state with all its parts.
#[derive(Debug, Default)]
pub struct ReplicatedState {
    /// Members, leases and tasks.
    pub fleet: Fleet,
    /// The parts that this program knows, each with a different name.
    pub parts: Vec<Box<dyn Part>>,
    unknown_parts: BTreeMap<String, UnknownPart>,
}

impl ReplicatedState {
    /// The initial state, with these parts, each of them empty.
    pub fn new(parts: Vec<Box<dyn Part>>) -> ReplicatedState {
        ReplicatedState { fleet: Fleet::default(), parts, unknown_parts: BTreeMap::new() }
    }

    /// A part by name, if this program knows it.
    pub fn part(&self, name: &str) -> Option<&dyn Part> {
        self.parts.iter().find(|part| part.name() == name).map(AsRef::as_ref)
    }

    /// Whether this program can apply the entry.
    pub fn knows_part_of(&self, entry: &Entry) -> bool {
        match entry {
            Entry::Part { part, .. } => self.part(part).is_some(),
            _ => true,
        }
    }

    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: &Entry) -> Outcome {
        match entry {
            Entry::Part { part, bytes } => self.apply_part(part, bytes),
            // Only these entries change the members.
            Entry::Enrol { holder } | Entry::Gone { holder } => {
                let was = self.fleet.is_present(holder);
                let outcome = self.fleet.apply(entry);
                if self.fleet.is_present(holder) != was {
                    self.parts.iter_mut().for_each(|part| part.members_changed(&self.fleet));
                }
                outcome
            }
            _ => self.fleet.apply(entry),
        }
    }

    fn apply_part(&mut self, name: &str, bytes: &[u8]) -> Outcome {
        if bytes.len() > MAX_PART_ENTRY_BYTES {
            return Outcome::Refused(Refusal::TooLong);
        }
        if let Some(part) = self.parts.iter_mut().find(|part| part.name() == name) {
            return Outcome::Part(part.apply(&self.fleet, bytes));
        }
        // Guards against a program that learns of this part later and takes its state from before these
        // entries for the current one.
        let room = self.parts.len() + self.unknown_parts.len() < MAX_PARTS && name.len() <= MAX_NAME_BYTES;
        if room || self.unknown_parts.contains_key(name) {
            self.unknown_parts.entry(name.to_string()).or_default().outdated = true;
        }
        Outcome::Refused(Refusal::NotFound)
    }

    /// The views that an incarnation does not have yet, where `known_epochs` are the versions it has. Beyond
    /// [`MAX_VIEW_BYTES`] the later parts wait.
    pub fn view_for(&self, holder: &Holder, known_epochs: &BTreeMap<String, u64>) -> Vec<PartView> {
        let mut views = Vec::new();
        let mut room = MAX_VIEW_BYTES;
        for part in &self.parts {
            let (name, epoch) = (part.name(), part.epoch(holder));
            if epoch <= known_epochs.get(name).copied().unwrap_or(0) {
                continue;
            }
            let bytes = part.view_for(holder);
            // A view larger than the bound is sent alone.
            if bytes.len() > room && !views.is_empty() {
                continue;
            }
            room = room.saturating_sub(bytes.len());
            views.push(PartView { name: name.to_string(), epoch, bytes });
        }
        views
    }

    /// Whether some part has a view for this incarnation.
    pub fn has_view_for(&self, holder: &Holder) -> bool {
        self.parts.iter().any(|part| part.epoch(holder) > 0)
    }

    /// Encodes the parts; equal states have equal bytes, and no parts give no bytes.
    pub fn save_parts(&self) -> Vec<u8> {
        let known = self.parts.iter();
        let known =
            known.map(|part| (part.name().to_string(), UnknownPart { bytes: part.save(), outdated: false }));
        let all: BTreeMap<String, UnknownPart> =
            self.unknown_parts.clone().into_iter().chain(known).collect();
        // Serialising into memory cannot fail here. Without parts, the encoding is the one used before parts
        // existed.
        if all.is_empty() { Vec::new() } else { postcard::to_stdvec(&all).unwrap_or_default() }
    }

    /// Builds the state from `fleet` and the parts that were saved with it. A part that was not saved is
    /// empty; one that this program does not know is kept and saved again.
    ///
    /// # Errors
    /// The bytes are not valid, or a part is out of date.
    pub fn load_parts(
        fleet: Fleet,
        bytes: &[u8],
        parts: Vec<Box<dyn Part>>,
    ) -> Result<ReplicatedState, LoadError> {
        let mut state = ReplicatedState { fleet, ..ReplicatedState::new(parts) };
        if bytes.is_empty() {
            return Ok(state);
        }
        let (mut saved, rest): (BTreeMap<String, UnknownPart>, _) =
            postcard::take_from_bytes(bytes).map_err(|_| LoadError::Corrupt)?;
        if !rest.is_empty() || saved.len() > MAX_PARTS {
            return Err(LoadError::Corrupt);
        }
        for part in &mut state.parts {
            let Some(UnknownPart { bytes, outdated }) = saved.remove(part.name()) else { continue };
            if outdated {
                return Err(LoadError::Outdated(part.name().to_string()));
            }
            if !part.load(&bytes) {
                return Err(LoadError::Corrupt);
            }
        }
        state.unknown_parts = saved;
        Ok(state)
    }

    /// Encodes the whole state; equal states have equal bytes.
    pub fn save(&self) -> Vec<u8> {
        let mut bytes = self.fleet.save();
        bytes.extend(self.save_parts());
        bytes
    }

    /// Decodes a saved state into these parts, which have to be empty.
    ///
    /// # Errors
    /// See [`ReplicatedState::load_parts`].
    pub fn load(bytes: &[u8], parts: Vec<Box<dyn Part>>) -> Result<ReplicatedState, LoadError> {
        let (_, rest): (Fleet, _) = postcard::take_from_bytes(bytes).map_err(|_| LoadError::Corrupt)?;
        let fleet = Fleet::load(&bytes[..bytes.len() - rest.len()]).ok_or(LoadError::Corrupt)?;
        ReplicatedState::load_parts(fleet, rest, parts)
    }
}

#[cfg(test)]
mod tests;
