//! A table as requests use it: it does not change, and a request keeps the one that it began with.

use crate::table::{FULL_SHARE_PERMILLE, Field, Fields, Kind, Table, Thing, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

/// Dependencies that are tried one after the other for one call.
pub const MAX_FALLBACKS: usize = 8;

/// A table of one revision. To clone it is to count it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// Whether it is on trial.
    pub on_trial: bool,
    /// The revision that is on trial, here or elsewhere in the fleet.
    pub trial: Option<u64>,
    /// When this process last heard that it is the present one, in the caller's milliseconds.
    pub confirmed_ms: u64,
    table: Arc<Table>,
}

/// Where one call of a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// By which route.
    pub route: String,
    /// The dependency.
    pub to: String,
    /// Calls at once at most.
    pub calls: u32,
    /// Those that stand in, one for the other.
    pub fallbacks: Vec<String>,
}

impl Snapshot {
    /// A snapshot of a table.
    pub fn new(revision: u64, on_trial: bool, confirmed_ms: u64, table: Table) -> Snapshot {
        let trial = on_trial.then_some(revision);
        Snapshot { revision, on_trial, trial, confirmed_ms, table: Arc::new(table) }
    }

    /// The same table while this revision is on trial, here or elsewhere.
    #[must_use]
    pub fn with_trial(mut self, trial: Option<u64>) -> Snapshot {
        self.trial = trial;
        self
    }

    /// The same table, heard of again.
    #[must_use]
    pub fn confirmed(mut self, now_ms: u64) -> Snapshot {
        self.confirmed_ms = self.confirmed_ms.max(now_ms);
        self
    }

    /// How long ago this process heard that it is the present one. One that is cut off goes on with what it has, and says this.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The routes for a class and tenant, the first in order first.
    fn routes(&self, class: &str, tenant: &str) -> Vec<(&Thing, &Fields)> {
        let is_for = |fields: &Fields, field, name: &str| match fields.get(&field) {
            Some(Value::Name(of)) => of == name,
            _ => true,
        };
        let fit = |(_, fields): &(&Thing, &Fields)| {
            is_for(fields, Field::Class, class) && is_for(fields, Field::Tenant, tenant)
        };
        let mut routes: Vec<_> = self.table.of_kind(Kind::Route).filter(fit).collect();
        // Stable: those that are in no order lead to the same, or the table would not be valid.
        routes.sort_by_key(|(_, fields)| match fields.get(&Field::Order) {
            Some(Value::Number(order)) => u64::from(*order),
            _ => u64::MAX,
        });
        routes
    }

    /// Where a call of a request goes, by its place in the run from 1.
    pub fn choose(&self, class: &str, tenant: &str, place: u32) -> Option<RouteChoice> {
        let fit = |(thing, fields): (&Thing, &Fields)| {
            let here = fields.get(&Field::Place).is_none_or(|of| *of == Value::Number(place));
            match fields.get(&Field::Call) {
                Some(Value::Call { to, calls }) if here => {
                    let fallbacks = self.fallbacks_of(to);
                    Some(RouteChoice { route: thing.name.clone(), to: to.clone(), calls: *calls, fallbacks })
                }
                _ => None,
            }
        };
        self.routes(class, tenant).into_iter().find_map(fit)
    }

    /// The dependencies that stand in for one, the first first: a valid table has no circle of them.
    fn fallbacks_of(&self, to: &str) -> Vec<String> {
        let next =
            |name: &String| match self.table.value(&Thing::new(Kind::Dependency, name), Field::Fallback) {
                Value::Name(next) => Some(next.clone()),
                _ => None,
            };
        std::iter::successors(next(&to.to_string()), next).take(MAX_FALLBACKS).collect()
    }

    /// Requests of a class that a nodo may have in hand at once, if that is bounded.
    pub fn class_limit(&self, class: &str) -> Option<usize> {
        self.number(Kind::Class, class, Field::Limit)
    }

    /// Of so many places of a nodo, those that a tenant's requests may take at once, if that is bounded. A share that is not nothing is
    /// one place at least.
    pub fn tenant_slots(&self, tenant: &str, of: usize) -> Option<usize> {
        let share = self.number(Kind::Tenant, tenant, Field::Share)?;
        Some(share.saturating_mul(of).div_ceil(FULL_SHARE_PERMILLE as usize))
    }

    fn number(&self, kind: Kind, name: &str, field: Field) -> Option<usize> {
        match self.table.value(&Thing::new(kind, name), field) {
            Value::Number(number) => Some(*number as usize),
            _ => None,
        }
    }

    /// The regions that may serve a request; empty if all may. The first route in order that names regions says which, and of these the
    /// ones that its tenant may be served in. A valid table leaves at least one.
    pub fn allowed_regions(&self, class: &str, tenant: &str) -> BTreeSet<String> {
        let regions = |fields: &Fields| match fields.get(&Field::Regions) {
            Some(Value::Names(names)) => Some(names.clone()),
            _ => None,
        };
        let route = self.routes(class, tenant).into_iter().find_map(|(_, fields)| regions(fields));
        let tenant = self.table.things.get(&Thing::new(Kind::Tenant, tenant)).and_then(regions);
        match (route, tenant) {
            (Some(one), Some(other)) => one.intersection(&other).cloned().collect(),
            (one, other) => one.or(other).unwrap_or_default(),
        }
    }

    /// Why requests of a class and tenant go where they go, in words.
    pub fn explain(&self, class: &str, tenant: &str, now_ms: u64) -> String {
        let mut words = format!("revision {}", self.revision);
        if self.on_trial {
            words.push_str(", on trial here");
        }
        // Writing into text cannot fail.
        let _ = writeln!(words, ", heard {} ms ago", self.age_ms(now_ms));
        for (at, (thing, fields)) in self.routes(class, tenant).into_iter().enumerate() {
            let first = if at == 0 { "first" } else { "then" };
            let said = |field, none: &str| fields.get(&field).map_or(none.to_string(), Value::to_string);
            let (order, place) = (said(Field::Order, "last"), said(Field::Place, "any"));
            let (call, regions) = (said(Field::Call, "nothing"), said(Field::Regions, "all"));
            let owner = said(Field::Owner, "nobody");
            let _ = writeln!(
                words,
                "{first} {thing} (order {order}, of {owner}): call {place} to {call}, regions {regions}"
            );
            if let Some(Value::Call { to, .. }) = fields.get(&Field::Call) {
                let thing = Thing::new(Kind::Dependency, to);
                let (budget, next) =
                    (self.table.value(&thing, Field::Budget), self.table.value(&thing, Field::Fallback));
                let _ = writeln!(words, "  {thing}: budget {budget}, falls back on {next}");
            }
        }
        let of = Thing::new(Kind::Tenant, tenant);
        if let Some(Value::Names(_)) =
            self.table.things.get(&of).and_then(|fields| fields.get(&Field::Regions))
        {
            let _ = writeln!(words, "{of} is served in {} only", self.table.value(&of, Field::Regions));
        }
        let allows = self.allowed_regions(class, tenant);
        let all = allows.is_empty();
        let allows = if all { "all regions".to_string() } else { Value::Names(allows).to_string() };
        let _ = writeln!(words, "allowed: {allows}");
        words
    }
}
