//! What an edit reads and writes, and whether two edits commute.

use crate::base::{Base, EditContext};
use crate::edit::{Change, Edit, EditKey};
use crate::mutants::{Mutant, is_active};
use crate::rules::{self, Sum, TableFault};
use crate::table::{Field, Fields, Thing, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Why edits cannot be accepted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ConflictReason {
    /// They set one field to different values.
    SameField(Thing, Field),
    /// They give one name to different things, or one thing different names.
    SameName(Thing),
    /// One removes a thing that the other changes, refers to or renames.
    Removed(Thing),
    /// One renames a thing that the other changes or refers to.
    Renamed(Thing, String),
    /// One gives a thing to another team, and the other affects it without that team's consent.
    OwnerChanged(Thing, String),
    /// They are different edits with the same team and number.
    SameNumber,
    /// Together they make the table invalid; with what each adds to a sum.
    InvalidTable(TableFault, Vec<(EditKey, i64)>),
    /// The search was cut short: more edits take part in a sum or cycle than can be examined in
    /// combination. None of them is accepted.
    TooManySets(usize),
}

impl fmt::Display for ConflictReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConflictReason::SameField(thing, field) => {
                write!(f, "they set {field:?} of {thing} to different values")
            }
            ConflictReason::SameName(thing) => write!(f, "they disagree on the name {thing}"),
            ConflictReason::Removed(thing) => write!(f, "one removes {thing}, which the other needs"),
            ConflictReason::Renamed(thing, to) => {
                write!(f, "one renames {thing} to {to}, which the other uses by its old name")
            }
            ConflictReason::OwnerChanged(thing, team) => {
                write!(
                    f,
                    "one gives {thing} to {team}, and the other affects it without the consent of that team"
                )
            }
            ConflictReason::SameNumber => f.write_str("they are different edits with the same number"),
            ConflictReason::InvalidTable(wrong, parts) => {
                write!(f, "{wrong}")?;
                for (at, (key, add)) in parts.iter().enumerate() {
                    let before = if at == 0 { " (" } else { ", " };
                    write!(f, "{before}{key} {add:+}")?;
                }
                if parts.is_empty() { Ok(()) } else { f.write_str(")") }
            }
            ConflictReason::TooManySets(count) => {
                write!(f, "{count} edits are involved, too many to examine each combination")
            }
        }
    }
}

/// What an edit reads and writes. Names are those it resolves to.
#[derive(Clone, Debug, Default)]
pub struct AccessSet {
    /// The team of the edit.
    pub team: String,
    /// How the edit is applied.
    pub context: EditContext,
    /// The fields that it sets.
    pub sets: BTreeMap<(Thing, Field), Value>,
    /// The things that it adds.
    pub adds: BTreeMap<Thing, Fields>,
    /// The things that it removes.
    pub removes: BTreeSet<Thing>,
    /// The things that it renames.
    pub renames: BTreeMap<Thing, String>,
    /// The things that its fields refer to.
    pub references: BTreeSet<Thing>,
    /// The things whose owners are concerned, each with the changed things that concern them.
    pub affected: BTreeMap<Thing, BTreeSet<Thing>>,
    /// What it adds to sums, by the field that adds it.
    pub sum_changes: BTreeMap<Sum, BTreeMap<(Thing, Option<Field>), i64>>,
}

impl AccessSet {
    /// Computes what an edit reads and writes in a table.
    pub fn new(base: &Base, edit: &Edit, context: EditContext) -> AccessSet {
        let mut access = AccessSet { team: edit.id.team.clone(), ..AccessSet::default() };
        for change in &edit.changes {
            let thing = base.resolve_name(change.thing(), &context);
            for affected in base.affected_things(change, &context) {
                access.affected.entry(affected).or_default().insert(thing.clone());
            }
            for (field, value) in change.written_fields() {
                access.references.extend(field.references(&base.resolve_value(field, value, &context)));
            }
            match change {
                Change::Add { fields, .. } => {
                    let fields: Fields = fields
                        .iter()
                        .map(|(field, value)| (*field, base.resolve_value(*field, value, &context)))
                        .collect();
                    if !base.table.things.contains_key(&thing) {
                        for (field, sum, add) in rules::thing_contributions(&thing, &fields) {
                            access.add_to_sum(sum, &thing, field, add);
                        }
                    }
                    access.adds.insert(thing, fields);
                }
                Change::Set { field, value, .. } => {
                    let value = base.resolve_value(*field, value, &context);
                    let old = base.table.value(&thing, *field);
                    for (sum, add) in rules::contributions(&thing, Some(*field), old) {
                        access.add_to_sum(sum, &thing, Some(*field), -add);
                    }
                    for (sum, add) in rules::contributions(&thing, Some(*field), &value) {
                        access.add_to_sum(sum, &thing, Some(*field), add);
                    }
                    access.sets.insert((thing, *field), value);
                }
                Change::Remove { .. } => {
                    for (field, sum, add) in base
                        .table
                        .things
                        .get(&thing)
                        .map(|fields| rules::thing_contributions(&thing, fields))
                        .unwrap_or_default()
                    {
                        access.add_to_sum(sum, &thing, field, -add);
                    }
                    access.removes.insert(thing);
                }
                Change::Rename { to, .. } => {
                    access.renames.insert(thing, to.clone());
                }
            }
        }
        access.context = context;
        access
    }

    fn add_to_sum(&mut self, sum: Sum, thing: &Thing, field: Option<Field>, add: i64) {
        *self.sum_changes.entry(sum).or_default().entry((thing.clone(), field)).or_insert(0) += add;
    }

    /// Returns the names that the edit takes.
    pub fn claimed_names(&self) -> impl Iterator<Item = Thing> {
        self.adds.keys().cloned().chain(self.renames.iter().map(|(thing, to)| thing.named(to)))
    }

    /// Whether the edit changes or refers to a thing.
    fn changes_or_references(&self, thing: &Thing) -> bool {
        self.references.contains(thing) || self.sets.keys().any(|(set, _)| set == thing)
    }

    /// Whether the edit may affect things of a team.
    pub fn has_consent_of(&self, team: &str) -> bool {
        self.team == team || self.context.consents.contains(team)
    }

    /// Returns why this edit and one made independently of it cannot be accepted together.
    pub fn conflicts_with(
        &self,
        key: &EditKey,
        other: &AccessSet,
        other_key: &EditKey,
    ) -> Vec<ConflictReason> {
        let mut reasons = Vec::new();
        if key.id == other_key.id {
            reasons.push(ConflictReason::SameNumber);
        }
        for ((thing, field), value) in &self.sets {
            let differs = other.sets.get(&(thing.clone(), *field)).is_some_and(|set| set != value);
            if differs && !is_active(Mutant::LastWriterWins) {
                reasons.push(ConflictReason::SameField(thing.clone(), *field));
            }
        }
        let other_names: BTreeSet<Thing> = other.claimed_names().collect();
        for name in self.claimed_names().filter(|name| other_names.contains(name)) {
            let both_add = self.adds.get(&name).is_some_and(|fields| other.adds.get(&name) == Some(fields));
            let both_rename = self
                .renames
                .iter()
                .any(|(thing, to)| thing.named(to) == name && other.renames.get(thing) == Some(to));
            if !both_add && !both_rename {
                reasons.push(ConflictReason::SameName(name));
            }
        }
        for (thing, to) in &self.renames {
            if other.renames.get(thing).is_some_and(|other_to| other_to != to) {
                reasons.push(ConflictReason::SameName(thing.clone()));
            }
        }
        self.one_way_conflicts(key, other, &mut reasons);
        other.one_way_conflicts(other_key, self, &mut reasons);
        reasons
    }

    fn one_way_conflicts(&self, key: &EditKey, other: &AccessSet, reasons: &mut Vec<ConflictReason>) {
        for thing in &self.removes {
            if other.renames.contains_key(thing) || other.changes_or_references(thing) {
                reasons.push(ConflictReason::Removed(thing.clone()));
            }
        }
        for (thing, to) in &self.renames {
            if other.changes_or_references(thing) && !other.context.follows.contains(key) {
                reasons.push(ConflictReason::Renamed(thing.clone(), to.clone()));
            }
        }
        // If both remove or rename a thing alike, only the first to be applied affects it.
        let alike = |thing: &Thing| {
            let renamed = self.renames.get(thing).is_some_and(|to| other.renames.get(thing) == Some(to));
            renamed || (self.removes.contains(thing) && other.removes.contains(thing))
        };
        for ((thing, field), value) in &self.sets {
            if let (Field::Owner, Value::Name(team)) = (field, value)
                && other.affected.get(thing).is_some_and(|by| !by.iter().all(alike))
                && !other.has_consent_of(team)
                && !is_active(Mutant::LossNotSeen)
            {
                reasons.push(ConflictReason::OwnerChanged(thing.clone(), team.clone()));
            }
        }
    }

    /// Returns the changes made after the base revision of this edit that it conflicts with, with the edits
    /// that made them.
    pub fn conflicts_with_base(&self, base: &Base) -> Vec<(EditKey, ConflictReason)> {
        let mut found = Vec::new();
        let from = self.context.base;
        let follows = |by: &EditKey| self.context.follows.contains(by);
        let retired = |thing: &Thing| {
            let retired =
                base.retired_since(thing, from).filter(|_| !base.table.things.contains_key(thing))?;
            let reason = match &retired.to {
                Some(to) => ConflictReason::Renamed(thing.clone(), to.clone()),
                None => ConflictReason::Removed(thing.clone()),
            };
            Some((retired.stamp.by.clone(), reason))
        };
        for ((thing, field), value) in &self.sets {
            found.extend(retired(thing));
            if let Some(stamp) = base.written_since(thing, None, from).filter(|stamp| !follows(&stamp.by)) {
                found.push((stamp.by.clone(), ConflictReason::Removed(thing.clone())));
            }
            if let Some(stamp) = base.written_since(thing, Some(*field), from)
                && base.table.value(thing, *field) != value
            {
                found.push((stamp.by.clone(), ConflictReason::SameField(thing.clone(), *field)));
            }
        }
        found.extend(self.references.iter().filter_map(&retired));
        for thing in &self.removes {
            found.extend(retired(thing).filter(|(_, reason)| !matches!(reason, ConflictReason::Removed(_))));
            found.extend(
                writers_since(base, thing, from).map(|by| (by, ConflictReason::Removed(thing.clone()))),
            );
        }
        for (thing, to) in &self.renames {
            found.extend(
                retired(thing)
                    .filter(|(_, reason)| *reason != ConflictReason::Renamed(thing.clone(), to.clone())),
            );
            found.extend(
                writers_since(base, thing, from)
                    .map(|by| (by, ConflictReason::Renamed(thing.clone(), to.clone()))),
            );
        }
        for name in self.claimed_names() {
            let alike = match self.adds.get(&name) {
                Some(fields) => base.table.things.get(&name) == Some(fields),
                None => self.renames.iter().any(|(thing, to)| {
                    let same = |retired: &crate::base::RetiredName| retired.to.as_ref() == Some(to);
                    thing.named(to) == name && base.retired_since(thing, from).is_some_and(same)
                }),
            };
            if let Some(stamp) = base.written_since(&name, None, from).filter(|_| !alike) {
                found.push((stamp.by.clone(), ConflictReason::SameName(name)));
            }
        }
        for thing in self.affected.keys() {
            if let Some(stamp) = base.written_since(thing, Some(Field::Owner), from)
                && let Some(team) = base.table.owner(thing).filter(|team| !self.has_consent_of(team))
            {
                found.push((stamp.by.clone(), ConflictReason::OwnerChanged(thing.clone(), team.to_string())));
            }
        }
        found.retain(|(by, _)| !self.context.overrides.contains(by));
        found
    }
}

/// Returns the edits that have changed a thing, or fields that refer to it, after revision `from`.
fn writers_since(base: &Base, thing: &Thing, from: u64) -> impl Iterator<Item = EditKey> {
    let own = base.stamps.get(thing).into_iter().flatten().map(|(field, _)| (thing.clone(), *field));
    let referring =
        base.referenced_by.get(thing).into_iter().flatten().map(|(by, field)| (by.clone(), Some(*field)));
    let cells: BTreeSet<(Thing, Option<Field>)> = own.chain(referring).collect();
    let writers: BTreeSet<EditKey> = cells
        .into_iter()
        .filter_map(|(thing, field)| base.written_since(&thing, field, from).map(|stamp| stamp.by.clone()))
        .collect();
    writers.into_iter()
}
