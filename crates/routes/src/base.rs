//! The table that all edits rest on, with what is remembered of those that made it; and how an edit changes it.

use crate::edit::{Change, Edit, EditKey};
use crate::mutants::{Mutant, is_active};
use crate::rules;
use crate::table::{Field, Fields, Kind, Table, Thing, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Things of which it is remembered who removed or renamed them. The oldest go; an edit on an older revision then hears that the
/// thing is not there.
pub const MAX_RETIRED_NAMES: usize = 1024;

/// Which edit did it, and the revision that it was first part of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The revision.
    pub revision: u64,
    /// The edit.
    pub by: EditKey,
}

/// A thing that is no longer there under this name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredName {
    /// What it is called now; `None` if it was removed.
    pub to: Option<String>,
    /// Who did it.
    pub stamp: Stamp,
}

/// A table with its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Grows with each table.
    pub revision: u64,
    /// The table, valid.
    pub table: Table,
    /// Who wrote what; under `None` who added the thing.
    pub stamps: BTreeMap<Thing, BTreeMap<Option<Field>, Stamp>>,
    /// What was there.
    pub retired: BTreeMap<Thing, RetiredName>,
    /// Where each thing is named; found again from the table.
    #[serde(skip)]
    pub referenced_by: BTreeMap<Thing, BTreeSet<(Thing, Field)>>,
    /// What each sum is over its room by; found again from the table.
    #[serde(skip)]
    pub sum_excess: BTreeMap<rules::Sum, i64>,
    /// Routes for any class, and for any tenant; found again from the table.
    #[serde(skip)]
    pub unrestricted_routes: [BTreeSet<Thing>; 2],
}

/// What an edit may do beyond its own team's parts, and how it reads names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EditContext {
    /// Teams whose parts it may touch.
    pub consents: BTreeSet<String>,
    /// Edits whose renames it follows.
    pub follows: BTreeSet<EditKey>,
    /// Edits in force that it was settled to stand over.
    pub overrides: BTreeSet<EditKey>,
    /// The revision that it was made on.
    pub base: u64,
}

/// Why an edit cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ApplyError {
    /// What it is about is not there.
    NotFound(Thing),
    /// The name that it takes is taken.
    Exists(Thing),
    /// A part belongs to another team, which has not given its word.
    Rights(Thing, String),
}

impl Base {
    /// A table to begin with, by no edit.
    pub fn new(table: Table) -> Base {
        let mut base = Base { table, ..Base::default() };
        base.rebuild_indexes();
        base
    }

    /// Finds again what is not kept with it.
    pub fn rebuild_indexes(&mut self) {
        self.referenced_by.clear();
        self.unrestricted_routes = Default::default();
        for (thing, fields) in &self.table.things {
            for (field, value) in fields {
                for to in field.references(value) {
                    self.referenced_by.entry(to).or_default().insert((thing.clone(), *field));
                }
            }
            for (at, field) in [Field::Class, Field::Tenant].into_iter().enumerate() {
                if thing.kind == Kind::Route && !fields.contains_key(&field) {
                    self.unrestricted_routes[at].insert(thing.clone());
                }
            }
        }
        self.sum_excess = rules::sum_excess(&self.table);
    }

    /// Who wrote a field, or added the thing, after the revision that an edit was made on.
    pub fn written_since(&self, thing: &Thing, field: Option<Field>, base: u64) -> Option<&Stamp> {
        let stamp = self.stamps.get(thing)?.get(&field)?;
        (stamp.revision > base && !is_active(Mutant::BaseIgnored)).then_some(stamp)
    }

    /// Who took a name out of the table after the revision that an edit was made on.
    pub fn retired_since(&self, thing: &Thing, base: u64) -> Option<&RetiredName> {
        self.retired.get(thing).filter(|gone| gone.stamp.revision > base)
    }

    /// What a thing is called for an edit that follows renames.
    pub fn resolve_name(&self, thing: &Thing, terms: &EditContext) -> Thing {
        let mut at = thing.clone();
        // Each rename is followed once, so this ends.
        for _ in 0..terms.follows.len() {
            match self.retired.get(&at) {
                Some(RetiredName { to: Some(to), stamp })
                    if terms.follows.contains(&stamp.by) && !is_active(Mutant::RenameNotFollowed) =>
                {
                    at = at.named(to);
                }
                _ => break,
            }
        }
        at
    }

    /// The same value as it reads for an edit that follows renames.
    pub fn resolve_value(&self, field: Field, value: &Value, terms: &EditContext) -> Value {
        field.references(value).iter().fold(value.clone(), |value, thing| {
            let called = self.resolve_name(thing, terms);
            if called == *thing { value } else { field.with_reference_renamed(&value, thing, &called.name) }
        })
    }

    /// The teams that an edit needs the word of, with one of the parts of each.
    pub fn missing_consents(&self, edit: &Edit, terms: &EditContext) -> BTreeMap<String, Thing> {
        let mut needs = BTreeMap::new();
        if is_active(Mutant::WordNotAsked) {
            return needs;
        }
        for change in &edit.changes {
            for part in self.affected_things(change, terms) {
                if let Some(owner) = self.table.owner(&part)
                    && owner != edit.id.team
                    && !terms.consents.contains(owner)
                {
                    needs.entry(owner.to_string()).or_insert(part);
                }
            }
        }
        needs
    }

    /// The parts that a change touches.
    pub fn affected_things(&self, change: &Change, terms: &EditContext) -> Vec<Thing> {
        let thing = self.resolve_name(change.thing(), terms);
        match change {
            Change::Add { fields, .. } => {
                let parts = Table::affected_things(&thing, fields);
                parts.into_iter().skip(1).map(|part| self.resolve_name(&part, terms)).collect()
            }
            _ => self
                .table
                .things
                .get(&thing)
                .map(|fields| Table::affected_things(&thing, fields))
                .unwrap_or_default(),
        }
    }

    /// Applies an edit as part of this revision. Says the same twice without harm: what another edit has already removed, renamed
    /// or added in just this way.
    ///
    /// # Errors
    /// Why it cannot be, the base is then of no use.
    pub fn apply(&mut self, edit: &Edit, terms: &EditContext, revision: u64) -> Result<(), ApplyError> {
        if let Some((team, part)) = self.missing_consents(edit, terms).into_iter().next() {
            return Err(ApplyError::Rights(part, team));
        }
        let stamp = Stamp { revision, by: edit.key() };
        // Renames first, so that what the edit adds and sets goes by the new names; the edit's order means nothing.
        let order = |change: &&Change| match change {
            Change::Rename { .. } => 0,
            Change::Set { .. } => 1,
            Change::Remove { .. } => 2,
            Change::Add { .. } => 3,
        };
        let mut changes: Vec<&Change> = edit.changes.iter().collect();
        changes.sort_by_key(order);
        for change in changes {
            self.apply_change(change, terms, &stamp)?;
        }
        Ok(())
    }

    fn apply_change(
        &mut self,
        change: &Change,
        terms: &EditContext,
        stamp: &Stamp,
    ) -> Result<(), ApplyError> {
        let thing = self.resolve_name(change.thing(), terms);
        let there = self.table.things.contains_key(&thing);
        match change {
            Change::Add { fields, .. } => {
                let fields: Fields = fields
                    .iter()
                    .map(|(field, value)| (*field, self.resolve_value(*field, value, terms)))
                    .collect();
                if there {
                    let alike = self.table.things.get(&thing) == Some(&fields);
                    let meanwhile = self.written_since(&thing, None, terms.base).is_some();
                    return if alike && meanwhile { Ok(()) } else { Err(ApplyError::Exists(thing)) };
                }
                let stamps = fields.keys().map(|field| Some(*field)).chain([None]);
                self.stamps.insert(thing.clone(), stamps.map(|field| (field, stamp.clone())).collect());
                self.retired.remove(&thing);
                self.table.things.insert(thing, fields);
            }
            Change::Set { field, value, .. } => {
                let value = self.resolve_value(*field, value, terms);
                let Some(fields) = self.table.things.get_mut(&thing) else {
                    return Err(ApplyError::NotFound(thing));
                };
                match value {
                    Value::Nothing => fields.remove(field),
                    value => fields.insert(*field, value),
                };
                self.stamps.entry(thing).or_default().insert(Some(*field), stamp.clone());
            }
            Change::Remove { .. } => {
                if !there {
                    let same = self.retired_since(&thing, terms.base).is_some_and(|gone| gone.to.is_none());
                    return if same { Ok(()) } else { Err(ApplyError::NotFound(thing)) };
                }
                self.table.things.remove(&thing);
                self.stamps.remove(&thing);
                self.retired.insert(thing, RetiredName { to: None, stamp: stamp.clone() });
            }
            Change::Rename { to, .. } => {
                let new = thing.named(to);
                if !there {
                    let same = self
                        .retired_since(&thing, terms.base)
                        .is_some_and(|gone| gone.to.as_ref() == Some(to));
                    return if same { Ok(()) } else { Err(ApplyError::NotFound(thing)) };
                }
                if self.table.things.contains_key(&new) {
                    return Err(ApplyError::Exists(new));
                }
                self.rename(&thing, &new, stamp);
            }
        }
        Ok(())
    }

    fn rename(&mut self, old: &Thing, new: &Thing, stamp: &Stamp) {
        if let Some(fields) = self.table.things.remove(old) {
            self.table.things.insert(new.clone(), fields);
        }
        let mut stamps = self.stamps.remove(old).unwrap_or_default();
        stamps.insert(None, stamp.clone());
        self.stamps.insert(new.clone(), stamps);
        self.retired.remove(new);
        self.retired.insert(old.clone(), RetiredName { to: Some(new.name.clone()), stamp: stamp.clone() });
        for fields in self.table.things.values_mut() {
            for (field, value) in fields.iter_mut() {
                *value = field.with_reference_renamed(value, old, &new.name);
            }
        }
    }

    /// Forgets the oldest of what is gone, down to the bound.
    pub fn trim_retired(&mut self) {
        while self.retired.len() > MAX_RETIRED_NAMES {
            let oldest = self
                .retired
                .iter()
                .min_by_key(|(_, gone)| gone.stamp.revision)
                .map(|(thing, _)| thing.clone());
            oldest.map(|thing| self.retired.remove(&thing));
        }
    }
}
