//! Parts of the agreed state beside leases and tasks: each a function of the log alone, with its own entries, outcomes and bounds.

use crate::state::MAX_NAME_BYTES;
use crate::{Entry, Fleet, Holder, Outcome, Refusal};
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Bytes of one entry of a part: small enough that one is no burden on the log's way.
pub const MAX_PART_ENTRY_BYTES: usize = 8 * 1024;
/// Parts of one agreed state, those that only another program knows with them.
pub const MAX_PARTS: usize = 16;
/// Bytes of parts that are shown to a start in one go, as far as one part is not more. The rest comes with the next.
pub const MAX_VIEW_BYTES: usize = 256 * 1024;

/// A part of the agreed state. Parts do not know each other.
pub trait Part: Debug {
    /// The name under which the log has its entries.
    fn name(&self) -> &'static str;
    /// Takes in the next of its entries; the same in every process. Returns what came of it, as bytes of the part's own.
    fn apply(&mut self, fleet: &Fleet, entry: &[u8]) -> Vec<u8>;
    /// A start of a member has come or gone, as the log has it.
    fn members_changed(&mut self, fleet: &Fleet);
    /// Grows whenever [`Part::view_for`] would give this start something else; 0 while there is nothing to see.
    fn epoch(&self, holder: &Holder) -> u64;
    /// What a start of a member is shown.
    fn view_for(&self, holder: &Holder) -> Vec<u8>;
    /// The whole part as bytes, the same for the same state.
    fn save(&self) -> Vec<u8>;
    /// Takes up what was saved; whether these are its bytes. If not, nothing changes.
    fn load(&mut self, bytes: &[u8]) -> bool;
    /// The part itself, for what joins parts above them.
    fn as_any(&self) -> &dyn Any;
}

/// A part that this program does not know, as it was saved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct UnknownPart {
    bytes: Vec<u8>,
    /// Entries of it were passed over since: these bytes are not what is agreed any more.
    outdated: bool,
}

/// A part as one start is shown it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartView {
    /// The part.
    pub name: String,
    /// Of what it shows ([`Part::epoch`]).
    pub epoch: u64,
    /// What it shows ([`Part::view_for`]).
    pub bytes: Vec<u8>,
}

/// Why saved parts cannot be taken up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// These are no such bytes.
    Corrupt,
    /// Entries of this part went by while the program did not know it: what was saved is not what is agreed.
    Outdated(String),
}

/// The agreed state with its parts.
#[derive(Debug, Default)]
pub struct ReplicatedState {
    /// Members, leases and tasks.
    pub fleet: Fleet,
    /// The parts that this program knows, each with a name of its own.
    pub parts: Vec<Box<dyn Part>>,
    unknown_parts: BTreeMap<String, UnknownPart>,
}

impl ReplicatedState {
    /// What a log begins with, with these parts, each of them empty.
    pub fn new(parts: Vec<Box<dyn Part>>) -> ReplicatedState {
        ReplicatedState { fleet: Fleet::default(), parts, unknown_parts: BTreeMap::new() }
    }

    /// A part, if this program knows it.
    pub fn part(&self, name: &str) -> Option<&dyn Part> {
        self.parts.iter().find(|part| part.name() == name).map(AsRef::as_ref)
    }

    /// Whether an entry finds its part here.
    pub fn knows_part_of(&self, entry: &Entry) -> bool {
        match entry {
            Entry::Part { part, .. } => self.part(part).is_some(),
            _ => true,
        }
    }

    /// Takes in the next entry of the log.
    pub fn apply(&mut self, entry: &Entry) -> Outcome {
        match entry {
            Entry::Part { part, bytes } => self.apply_part(part, bytes),
            // These alone change who is a member.
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
        // Guards against a program that learns this part later, and takes for agreed what it had before these entries went by.
        let room = self.parts.len() + self.unknown_parts.len() < MAX_PARTS && name.len() <= MAX_NAME_BYTES;
        if room || self.unknown_parts.contains_key(name) {
            self.unknown_parts.entry(name.to_string()).or_default().outdated = true;
        }
        Outcome::Refused(Refusal::NotFound)
    }

    /// What a start of a member is shown that it does not know yet, `knows` being the epochs that it has; of more than
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
            // One that is larger goes alone.
            if bytes.len() > room && !views.is_empty() {
                continue;
            }
            room = room.saturating_sub(bytes.len());
            views.push(PartView { name: name.to_string(), epoch, bytes });
        }
        views
    }

    /// Whether some part shows this start something.
    pub fn has_view_for(&self, holder: &Holder) -> bool {
        self.parts.iter().any(|part| part.epoch(holder) > 0)
    }

    /// The parts as bytes, the same for the same state; none where there is no part.
    pub fn save_parts(&self) -> Vec<u8> {
        let known = self.parts.iter();
        let known =
            known.map(|part| (part.name().to_string(), UnknownPart { bytes: part.save(), outdated: false }));
        let all: BTreeMap<String, UnknownPart> =
            self.unknown_parts.clone().into_iter().chain(known).collect();
        // Writing into memory fails for nothing that is kept here. An agreed state without parts is saved as it was before there
        // were any.
        if all.is_empty() { Vec::new() } else { postcard::to_stdvec(&all).unwrap_or_default() }
    }

    /// The state of `fleet`, with the parts that were saved beside it. A part that was not saved is empty; one that this program
    /// does not know is kept, and saved again.
    ///
    /// # Errors
    /// These are not the bytes of parts, or not of what is agreed.
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

    /// The whole state as bytes, the same for the same state.
    pub fn save(&self) -> Vec<u8> {
        let mut bytes = self.fleet.save();
        bytes.extend(self.save_parts());
        bytes
    }

    /// The state that was saved, with these parts, which are empty until then.
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
