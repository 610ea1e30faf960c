//! The table as a part of the agreed state, with what it is planned from: an entry names the epoch that follows the last, or changes
//! nothing.

use crate::group::Group;
use crate::mutants::{Mutant, is_active};
use crate::planner::PlannerMemory;
use crate::planning_state::{EdgeReport, PlanningState};
use crate::tables::{MAX_GROUPS, Row, Tables};
use jaspershunt_fleet::{Fleet, Holder, parts};
use serde::{Deserialize, Serialize};
use std::any::Any;

/// Bytes of one entry; the log takes no longer ones.
pub const MAX_ENTRY_BYTES: usize = 8 * 1024;

/// The name under which the log has these entries.
pub const NAME: &str = "steering";

/// An entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The next table: the last one with these rows in place of theirs; a group without a row leaves the table.
    Step {
        /// The last epoch and one.
        epoch: u64,
        /// What changes.
        rows: Vec<(Group, Option<Row>)>,
    },
    /// What an edge saw in a window of its own.
    Report(EdgeReport),
    /// All that edges told since the last such entry is taken in.
    Window {
        /// The last number and one.
        number: u64,
        /// The fleet's time, in Unix milliseconds.
        now_ms: u64,
    },
    /// It was planned from this window. Comes before the rows: if they are not taken, less was moved than was counted, and never more.
    Planned {
        /// The window's.
        number: u64,
        /// What the next plan has to know.
        memory: PlannerMemory,
    },
}

/// What came of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is the table now.
    Taken {
        /// Its epoch.
        epoch: u64,
    },
    /// It is kept for the next table.
    Kept,
    /// Nothing changed.
    Refused(Refusal),
}

/// Why an entry changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// These bytes are none of our entries, or too many.
    NotAnEntry,
    /// Another table was agreed since it was made, or it was made from none that was agreed.
    NotTheNextEpoch {
        /// The epoch that is in force.
        last: u64,
    },
    /// A row's shares do not sum up, or it breaks a bound.
    InvalidRow,
    /// There would be more groups than a table may have.
    TooManyGroups,
    /// It breaks a bound, or there are too many edges.
    Invalid,
    /// Another window follows, or it was planned from already.
    NotTheNextWindow {
        /// The last window.
        last: u64,
    },
}

impl Entry {
    /// As bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Vectors and integers can always be written into a vector.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Entry> {
        if bytes.len() > MAX_ENTRY_BYTES {
            return None;
        }
        postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(entry, _)| entry)
    }

    /// The entries that lead from one table to another, in order, each within [`MAX_ENTRY`]. A plan never counts on room that another of
    /// its moves makes, so that it is as safe when only the first ones are taken.
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
            // Thirty bytes are more than what an entry takes beside its rows.
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
    /// As bytes.
    pub fn to_bytes(self) -> Vec<u8> {
        postcard::to_stdvec(&self).unwrap_or_default()
    }

    /// From bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Outcome> {
        postcard::from_bytes(bytes).ok()
    }
}

fn accepted_or(taken: bool, or: Refusal) -> Outcome {
    if taken { Outcome::Kept } else { Outcome::Refused(or) }
}

/// What a start of a member is shown: the whole table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The table in force.
    pub tables: Tables,
}

impl MemberView {
    /// From bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<MemberView> {
        postcard::from_bytes(bytes).ok()
    }
}

/// The agreed table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    tables: Tables,
    planning_state: PlanningState,
}

impl Part {
    /// The table in force.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// What it is planned from.
    pub fn planning_state(&self) -> &PlanningState {
        &self.planning_state
    }

    /// Takes in an entry.
    pub fn apply_entry(&mut self, entry: &Entry) -> Outcome {
        let (epoch, rows) = match entry {
            Entry::Step { epoch, rows } => (epoch, rows),
            Entry::Report(report) => {
                return accepted_or(self.planning_state.accept_report(report), Refusal::Invalid);
            }
            Entry::Window { number, now_ms } => {
                let last = self.planning_state.window();
                let closed = self.planning_state.close_window(*number, *now_ms);
                // What is learned for longer than that is remembered is still learned.
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
        // A plan of one who led before would undo what was agreed since.
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

    fn seen_by(&self, _: &Holder) -> Vec<u8> {
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
        // Saved before there was anything but the table: that is learned anew.
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
