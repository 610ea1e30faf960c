//! Replicated part of steering: the table and the state that it is planned from. An entry that changes the
//! table names the next epoch, or is refused.

use crate::group::Group;
use crate::mutants::{Mutant, is_active};
use crate::planner::PlannerMemory;
use crate::planning_state::{EdgeReport, PlanningState};
use crate::tables::{MAX_GROUPS, Row, Tables};
use jaspershunt_fleet::{Fleet, Holder, parts};
use serde::{Deserialize, Serialize};
use std::any::Any;

/// Maximum length of an entry; the log accepts no longer ones.
pub const MAX_ENTRY_BYTES: usize = 8 * 1024;

/// Name of this part in the log.
pub const NAME: &str = "steering";

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Changes the table: replaces the given rows; a group with `None` is removed.
    Step {
        /// Last epoch plus one.
        epoch: u64,
        /// Changed rows.
        rows: Vec<(Group, Option<Row>)>,
    },
    /// Report of an edge for one of its own windows.
    Report(EdgeReport),
    /// Closes a window: all reports since the last such entry are processed.
    Window {
        /// Last window number plus one.
        number: u64,
        /// Time of the fleet, in Unix milliseconds.
        now_ms: u64,
    },
    /// Records that the window was planned from. Precedes the changed rows: if those are refused, less was
    /// moved than the budget was charged for, and never more.
    Planned {
        /// Number of the window.
        number: u64,
        /// State for the next plan.
        memory: PlannerMemory,
    },
}

/// Result of applying an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The table was changed.
    Taken {
        /// Epoch of the new table.
        epoch: u64,
    },
    /// The entry was recorded for the next plan.
    Kept,
    /// The entry was refused; nothing changed.
    Refused(Refusal),
}

/// Reason for refusing an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The bytes are no valid entry, or exceed [`MAX_ENTRY_BYTES`].
    NotAnEntry,
    /// The entry is not based on the table in force.
    NotTheNextEpoch {
        /// Epoch in force.
        last: u64,
    },
    /// The shares of a row do not sum to [`TOTAL_SHARE`](crate::tables::TOTAL_SHARE), or it violates a bound.
    InvalidRow,
    /// The table would exceed the maximum number of groups.
    TooManyGroups,
    /// The entry violates a bound, or there are too many edges.
    Invalid,
    /// The entry does not name the next window, or the window was planned from already.
    NotTheNextWindow {
        /// Last window.
        last: u64,
    },
}

impl Entry {
    /// Serializes to bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serializing vectors and integers into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Deserializes from bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Entry> {
        if bytes.len() > MAX_ENTRY_BYTES {
            return None;
        }
        postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(entry, _)| entry)
    }

    /// Returns the entries that turn one table into another, in order, each within [`MAX_ENTRY_BYTES`]. A
    /// plan never relies on capacity that another of its moves frees, so applying only the first entries is
    /// safe.
    pub fn between(now: &Tables, wanted: &Tables) -> Vec<Entry> {
        let gone = now
            .rows
            .keys()
            .filter(|group| !wanted.rows.contains_key(group))
            .map(|group| (group.clone(), None));
        let new = wanted.rows.iter().filter(|(group, row)| now.rows.get(group) != Some(row));
        let mut entries: Vec<Entry> = Vec::new();
        let mut room = 0;
        for change in gone.chain(new.map(|(group, row)| (group.clone(), Some(row.clone())))) {
            let bytes = postcard::to_stdvec(&change).map_or(0, |bytes| bytes.len());
            // An entry takes less than 30 bytes besides its rows.
            if bytes + 30 > room {
                room = MAX_ENTRY_BYTES;
                entries.push(Entry::Step { epoch: now.epoch + entries.len() as u64 + 1, rows: Vec::new() });
            }
            room -= bytes;
            if let Some(Entry::Step { rows, .. }) = entries.last_mut() {
                rows.push(change);
            }
        }
        entries
    }
}

impl Outcome {
    /// Serializes to bytes.
    pub fn to_bytes(self) -> Vec<u8> {
        postcard::to_stdvec(&self).unwrap_or_default()
    }

    /// Deserializes from bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Outcome> {
        postcard::from_bytes(bytes).ok()
    }
}

fn accepted_or(accepted: bool, refusal: Refusal) -> Outcome {
    if accepted { Outcome::Kept } else { Outcome::Refused(refusal) }
}

/// View of the part for an incarnation of a member: the whole table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Table in force.
    pub tables: Tables,
}

impl MemberView {
    /// Deserializes from bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<MemberView> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Replicated table and planning state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    tables: Tables,
    planning_state: PlanningState,
}

impl Part {
    /// Table in force.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Returns the state that the table is planned from.
    pub fn planning_state(&self) -> &PlanningState {
        &self.planning_state
    }

    /// Applies an entry.
    pub fn apply_entry(&mut self, entry: &Entry) -> Outcome {
        let (epoch, rows) = match entry {
            Entry::Step { epoch, rows } => (epoch, rows),
            Entry::Report(report) => {
                return accepted_or(self.planning_state.accept_report(report), Refusal::Invalid);
            }
            Entry::Window { number, now_ms } => {
                let last = self.planning_state.window();
                let closed = self.planning_state.close_window(*number, *now_ms);
                // Explorations that outlast their record are recorded again.
                self.planning_state.record_explorations(self.tables.rows.iter());
                return accepted_or(closed, Refusal::NotTheNextWindow { last });
            }
            Entry::Planned { memory, .. } if !memory.is_valid() => return Outcome::Refused(Refusal::Invalid),
            Entry::Planned { number, memory } => {
                let last = self.planning_state.window();
                return accepted_or(
                    self.planning_state.record_plan(*number, memory),
                    Refusal::NotTheNextWindow { last },
                );
            }
        };
        // A plan of a former leader would undo what was committed since.
        if *epoch != self.tables.epoch + 1 && !is_active(Mutant::OldEpochApplied) {
            return Outcome::Refused(Refusal::NotTheNextEpoch { last: self.tables.epoch });
        }
        let valid =
            |(group, row): &(Group, Option<Row>)| group.is_valid() && row.as_ref().is_none_or(Row::is_valid);
        if !rows.iter().all(valid) {
            return Outcome::Refused(Refusal::InvalidRow);
        }
        let mut next = self.tables.rows.clone();
        self.planning_state
            .record_explorations(rows.iter().filter_map(|(group, row)| Some((group, row.as_ref()?))));
        for (group, row) in rows {
            match row {
                Some(row) => next.insert(group.clone(), row.clone()),
                None => next.remove(group),
            };
        }
        if next.len() > MAX_GROUPS {
            return Outcome::Refused(Refusal::TooManyGroups);
        }
        self.tables = Tables { epoch: *epoch, rows: next };
        Outcome::Taken { epoch: *epoch }
    }
}

impl parts::Part for Part {
    fn name(&self) -> &'static str {
        NAME
    }

    fn apply(&mut self, _: &Fleet, entry: &[u8]) -> Vec<u8> {
        let entry = Entry::from_bytes(entry);
        entry.map_or(Outcome::Refused(Refusal::NotAnEntry), |entry| self.apply_entry(&entry)).to_bytes()
    }

    fn members_changed(&mut self, _: &Fleet) {}

    fn epoch(&self, _: &Holder) -> u64 {
        self.tables.epoch
    }

    fn view_for(&self, _: &Holder) -> Vec<u8> {
        postcard::to_stdvec(&MemberView { tables: self.tables.clone() }).unwrap_or_default()
    }

    fn save(&self) -> Vec<u8> {
        [postcard::to_stdvec(&self.tables).unwrap_or_default(), self.planning_state.to_bytes()].concat()
    }

    fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok((tables, rest)) = postcard::take_from_bytes::<Tables>(bytes) else { return false };
        if tables.rows.len() > MAX_GROUPS || !tables.rows.values().all(Row::is_valid) {
            return false;
        }
        // Saved by a build that had only the table: the planning state is built up again.
        let planning_state =
            if rest.is_empty() { Some(PlanningState::default()) } else { PlanningState::from_bytes(rest) };
        let Some(planning_state) = planning_state else { return false };
        (self.tables, self.planning_state) = (tables, planning_state);
        true
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}

#[cfg(test)]
mod tests;
