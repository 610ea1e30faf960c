//! The table that edits are based on, with the edits that wrote it, and how an edit changes it.

use crate::edit::{Change, Edit, EditKey};
use crate::mutants::{Mutant, is_active};
use crate::rules;
use crate::table::{Field, Fields, Kind, Table, Thing, Value};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Removed and renamed names on record. The oldest are dropped; an edit based on an older revision is then
/// refused because the thing does not exist.
pub const MAX_RETIRED_NAMES: usize = 1024;

/// The edit that made a change, and the first revision with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The revision.
    pub revision: u64,
    /// The edit.
    pub by: EditKey,
}

/// A name that was removed from the table or renamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredName {
    /// The new name; `None` if the thing was removed.
    pub to: Option<String>,
    /// The edit that removed or renamed it.
    pub stamp: Stamp,
}

/// A revision of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Grows with each published table.
    pub revision: u64,
    /// The table, which is valid.
    pub table: Table,
    /// The edits that wrote each field; under `None` the edit that added the thing.
    pub stamps: BTreeMap<Thing, BTreeMap<Option<Field>, Stamp>>,
    /// Names that are no longer in the table.
    pub retired: BTreeMap<Thing, RetiredName>,
    /// The fields that refer to each thing; not stored but computed.
    #[serde(skip)]
    pub referenced_by: BTreeMap<Thing, BTreeSet<(Thing, Field)>>,
    /// By how much each sum exceeds its limit; not stored but computed.
    #[serde(skip)]
    pub sum_excess: BTreeMap<rules::Sum, i64>,
    /// Routes for any class, and routes for any tenant; not stored but computed.
    #[serde(skip)]
    pub unrestricted_routes: [BTreeSet<Thing>; 2],
}

/// How an edit is to be applied, by consents and settlements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EditContext {
    /// Teams that have consented to changes of their things.
    pub consents: BTreeSet<String>,
    /// Edits whose renames it follows.
    pub follows: BTreeSet<EditKey>,
    /// Published edits that it overrides by a settlement.
    pub overrides: BTreeSet<EditKey>,
    /// The revision that the edit is based on.
    pub base: u64,
}

/// Why an edit cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ApplyError {
    /// The changed thing does not exist.
    NotThere(Thing),
    /// The name is in use already.
    Exists(Thing),
    /// The thing belongs to this other team, which has not consented.
    Rights(Thing, String),
}

impl Base {
    /// Creates the first revision, written by no edit.
    pub fn new(table: Table) -> Base {
        let mut base = Base { table, ..Base::default() };
        base.rebuild_indexes();
        base
    }

    /// Computes the fields that are not stored.
    pub fn rebuild_indexes(&mut self) {
        self.referenced_by.clear();
        self.unrestricted_routes = Default::default();
        for (thing, fields) in &self.table.things {
            for (field, value) in fields {
                for to in field.references(value) {
                    self.referenced_by.entry(to).or_default().insert((thing.clone(), *field));
                }
            }
            for (i, field) in [Field::Class, Field::Tenant].into_iter().enumerate() {
                if thing.kind == Kind::Route && !fields.contains_key(&field) {
                    self.unrestricted_routes[i].insert(thing.clone());
                }
            }
        }
        self.sum_excess = rules::sum_excess(&self.table);
    }

    /// Returns which edit wrote a field, or added the thing, after revision `base`.
    pub fn written_since(&self, thing: &Thing, field: Option<Field>, base: u64) -> Option<&Stamp> {
        let stamp = self.stamps.get(thing)?.get(&field)?;
        (stamp.revision > base && !is_active(Mutant::BaseIgnored)).then_some(stamp)
    }

    /// Returns what became of a name that was removed or renamed after revision `base`.
    pub fn retired_since(&self, thing: &Thing, base: u64) -> Option<&RetiredName> {
        self.retired.get(thing).filter(|retired| retired.stamp.revision > base)
    }

    /// Returns the present name of a thing for an edit that follows renames.
    pub fn resolve_name(&self, thing: &Thing, context: &EditContext) -> Thing {
        let mut current = thing.clone();
        // Each rename is followed at most once, so that the loop ends.
        for _ in 0..context.follows.len() {
            match self.retired.get(&current) {
                Some(RetiredName { to: Some(to), stamp })
                    if context.follows.contains(&stamp.by) && !is_active(Mutant::RenameNotFollowed) =>
                {
                    current = current.named(to);
                }
                _ => break,
            }
        }
        current
    }

    /// Returns a value with its references renamed for an edit that follows renames.
    pub fn resolve_value(&self, field: Field, value: &Value, context: &EditContext) -> Value {
        field.references(value).iter().fold(value.clone(), |value, thing| {
            let current = self.resolve_name(thing, context);
            if current == *thing { value } else { field.with_reference_renamed(&value, thing, &current.name) }
        })
    }

    /// Returns the teams whose consent is missing, each with one of its things that the edit affects.
    pub fn missing_consents(&self, edit: &Edit, context: &EditContext) -> BTreeMap<String, Thing> {
        let mut missing = BTreeMap::new();
        if is_active(Mutant::WordNotAsked) {
            return missing;
        }
        for change in &edit.changes {
            for affected in self.affected_things(change, context) {
                if let Some(owner) = self.table.owner(&affected)
                    && owner != edit.id.team
                    && !context.consents.contains(owner)
                {
                    missing.entry(owner.to_string()).or_insert(affected);
                }
            }
        }
        missing
    }

    /// Returns the things whose owners are concerned by a change.
    pub fn affected_things(&self, change: &Change, context: &EditContext) -> Vec<Thing> {
        let thing = self.resolve_name(change.thing(), context);
        match change {
            Change::Add { fields, .. } => {
                let affected = Table::affected_things(&thing, fields);
                affected.into_iter().skip(1).map(|thing| self.resolve_name(&thing, context)).collect()
            }
            _ => self
                .table
                .things
                .get(&thing)
                .map(|fields| Table::affected_things(&thing, fields))
                .unwrap_or_default(),
        }
    }

    /// Applies an edit as part of a revision. A change that another edit has made in the same way already
    /// has no further effect.
    ///
    /// # Errors
    /// Returns why the edit cannot be applied; the table is then partly changed and must be discarded.
    pub fn apply(&mut self, edit: &Edit, context: &EditContext, revision: u64) -> Result<(), ApplyError> {
        if let Some((team, thing)) = self.missing_consents(edit, context).into_iter().next() {
            return Err(ApplyError::Rights(thing, team));
        }
        let stamp = Stamp { revision, by: edit.key() };
        // The order of changes within an edit has no meaning. Renames are applied first, so that the other
        // changes use the new names.
        let order = |change: &&Change| match change {
            Change::Rename { .. } => 0,
            Change::Set { .. } => 1,
            Change::Remove { .. } => 2,
            Change::Add { .. } => 3,
        };
        let mut changes: Vec<&Change> = edit.changes.iter().collect();
        changes.sort_by_key(order);
        for change in changes {
            self.apply_change(change, context, &stamp)?;
        }
        Ok(())
    }

    fn apply_change(
        &mut self,
        change: &Change,
        context: &EditContext,
        stamp: &Stamp,
    ) -> Result<(), ApplyError> {
        let thing = self.resolve_name(change.thing(), context);
        let exists = self.table.things.contains_key(&thing);
        match change {
            Change::Add { fields, .. } => {
                let fields: Fields = fields
                    .iter()
                    .map(|(field, value)| (*field, self.resolve_value(*field, value, context)))
                    .collect();
                if exists {
                    let is_equal = self.table.things.get(&thing) == Some(&fields);
                    let added_since = self.written_since(&thing, None, context.base).is_some();
                    return if is_equal && added_since { Ok(()) } else { Err(ApplyError::Exists(thing)) };
                }
                let stamps = fields.keys().map(|field| Some(*field)).chain([None]);
                self.stamps.insert(thing.clone(), stamps.map(|field| (field, stamp.clone())).collect());
                self.retired.remove(&thing);
                self.table.things.insert(thing, fields);
            }
            Change::Set { field, value, .. } => {
                let value = self.resolve_value(*field, value, context);
                let Some(fields) = self.table.things.get_mut(&thing) else {
                    return Err(ApplyError::NotThere(thing));
                };
                match value {
                    Value::Nothing => fields.remove(field),
                    value => fields.insert(*field, value),
                };
                self.stamps.entry(thing).or_default().insert(Some(*field), stamp.clone());
            }
            Change::Remove { .. } => {
                if !exists {
                    let done_already =
                        self.retired_since(&thing, context.base).is_some_and(|retired| retired.to.is_none());
                    return if done_already { Ok(()) } else { Err(ApplyError::NotThere(thing)) };
                }
                self.table.things.remove(&thing);
                self.stamps.remove(&thing);
                self.retired.insert(thing, RetiredName { to: None, stamp: stamp.clone() });
            }
            Change::Rename { to, .. } => {
                let new = thing.named(to);
                if !exists {
                    let done_already = self
                        .retired_since(&thing, context.base)
                        .is_some_and(|retired| retired.to.as_ref() == Some(to));
                    return if done_already { Ok(()) } else { Err(ApplyError::NotThere(thing)) };
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

    /// Drops the oldest retired names down to the bound.
    pub fn trim_retired(&mut self) {
        while self.retired.len() > MAX_RETIRED_NAMES {
            let oldest = self
                .retired
                .iter()
                .min_by_key(|(_, retired)| retired.stamp.revision)
                .map(|(thing, _)| thing.clone());
            oldest.map(|thing| self.retired.remove(&thing));
        }
    }
}
