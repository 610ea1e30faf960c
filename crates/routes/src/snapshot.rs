//! An immutable table as requests use it: each request keeps the snapshot that it began with.

use crate::table::{FULL_SHARE_PERMILLE, Field, Fields, Kind, Table, Thing, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

/// Maximum number of fallbacks for one call.
pub const MAX_FALLBACKS: usize = 8;

/// The table of one revision. Cloning only counts a reference.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The revision.
    pub revision: u64,
    /// Whether the revision is on trial.
    pub on_trial: bool,
    /// The revision on trial at any member of the fleet.
    pub trial: Option<u64>,
    /// When this process last had the revision confirmed as the present one, by the caller's clock in
    /// milliseconds.
    pub confirmed_ms: u64,
    table: Arc<Table>,
}

/// The target of one call of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteChoice {
    /// The route that was chosen.
    pub route: String,
    /// The dependency.
    pub to: String,
    /// Maximum number of concurrent calls.
    pub calls: u32,
    /// The fallbacks of the dependency, in order.
    pub fallbacks: Vec<String>,
}

impl Snapshot {
    /// Creates a snapshot of a table.
    pub fn new(revision: u64, on_trial: bool, confirmed_ms: u64, table: Table) -> Snapshot {
        let trial = on_trial.then_some(revision);
        Snapshot { revision, on_trial, trial, confirmed_ms, table: Arc::new(table) }
    }

    /// Returns the same table with `trial` as the revision on trial in the fleet.
    #[must_use]
    pub fn with_trial(mut self, trial: Option<u64>) -> Snapshot {
        self.trial = trial;
        self
    }

    /// Returns the same table, confirmed as the present one at `now_ms`.
    #[must_use]
    pub fn confirmed(mut self, now_ms: u64) -> Snapshot {
        self.confirmed_ms = self.confirmed_ms.max(now_ms);
        self
    }

    /// Returns the time since the table was confirmed as the present one. A nodo that is cut off uses what
    /// it has and shows this age.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Returns the table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the routes for a class and tenant in order of precedence.
    fn routes(&self, class: &str, tenant: &str) -> Vec<(&Thing, &Fields)> {
        let is_for = |fields: &Fields, field, name: &str| match fields.get(&field) {
            Some(Value::Name(route_value)) => route_value == name,
            _ => true,
        };
        let matches = |(_, fields): &(&Thing, &Fields)| {
            is_for(fields, Field::Class, class) && is_for(fields, Field::Tenant, tenant)
        };
        let mut routes: Vec<_> = self.table.of_kind(Kind::Route).filter(matches).collect();
        // The sort is stable. In a valid table, routes of the same order do not disagree.
        routes.sort_by_key(|(_, fields)| match fields.get(&Field::Order) {
            Some(Value::Number(order)) => u64::from(*order),
            _ => u64::MAX,
        });
        routes
    }

    /// Returns the target of a request's call by its position in the run, from 1.
    pub fn choose(&self, class: &str, tenant: &str, position: u32) -> Option<RouteChoice> {
        let target = |(thing, fields): (&Thing, &Fields)| {
            let matches = fields
                .get(&Field::Place)
                .is_none_or(|route_position| *route_position == Value::Number(position));
            match fields.get(&Field::Call) {
                Some(Value::Call { to, calls }) if matches => {
                    let fallbacks = self.fallbacks_of(to);
                    Some(RouteChoice { route: thing.name.clone(), to: to.clone(), calls: *calls, fallbacks })
                }
                _ => None,
            }
        };
        self.routes(class, tenant).into_iter().find_map(target)
    }

    /// Returns the fallbacks of a dependency in order. A valid table has no cycle of them.
    fn fallbacks_of(&self, to: &str) -> Vec<String> {
        let next =
            |name: &String| match self.table.value(&Thing::new(Kind::Dependency, name), Field::Fallback) {
                Value::Name(next) => Some(next.clone()),
                _ => None,
            };
        std::iter::successors(next(&to.to_string()), next).take(MAX_FALLBACKS).collect()
    }

    /// Returns the maximum number of in-flight requests of a class on one nodo, if limited.
    pub fn class_limit(&self, class: &str) -> Option<usize> {
        self.number(Kind::Class, class, Field::Limit)
    }

    /// Returns how many of a nodo's `of` slots the requests of a tenant may take, if limited. A share above
    /// zero gives at least one slot.
    pub fn tenant_slots(&self, tenant: &str, slots: usize) -> Option<usize> {
        let share = self.number(Kind::Tenant, tenant, Field::Share)?;
        Some(share.saturating_mul(slots).div_ceil(FULL_SHARE_PERMILLE as usize))
    }

    fn number(&self, kind: Kind, name: &str, field: Field) -> Option<usize> {
        match self.table.value(&Thing::new(kind, name), field) {
            Value::Number(number) => Some(*number as usize),
            _ => None,
        }
    }

    /// Returns the regions that may serve a request; empty if all may. The first route that names regions
    /// applies, restricted to those of the tenant. A valid table leaves at least one.
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

    /// Explains as text where requests of a class and tenant go.
    pub fn explain(&self, class: &str, tenant: &str, now_ms: u64) -> String {
        let mut text = format!("revision {}", self.revision);
        if self.on_trial {
            text.push_str(", on trial here");
        }
        // Writing to a string cannot fail.
        let _ = writeln!(text, ", heard {} ms ago", self.age_ms(now_ms));
        for (i, (thing, fields)) in self.routes(class, tenant).into_iter().enumerate() {
            let first = if i == 0 { "first" } else { "then" };
            let shown = |field, none: &str| fields.get(&field).map_or(none.to_string(), Value::to_string);
            let (order, place) = (shown(Field::Order, "last"), shown(Field::Place, "any"));
            let (call, regions) = (shown(Field::Call, "nothing"), shown(Field::Regions, "all"));
            let owner = shown(Field::Owner, "nobody");
            let _ = writeln!(
                text,
                "{first} {thing} (order {order}, of {owner}): call {place} to {call}, regions {regions}"
            );
            if let Some(Value::Call { to, .. }) = fields.get(&Field::Call) {
                let thing = Thing::new(Kind::Dependency, to);
                let (budget, next) =
                    (self.table.value(&thing, Field::Budget), self.table.value(&thing, Field::Fallback));
                let _ = writeln!(text, "  {thing}: budget {budget}, falls back on {next}");
            }
        }
        let thing = Thing::new(Kind::Tenant, tenant);
        if let Some(Value::Names(_)) =
            self.table.things.get(&thing).and_then(|fields| fields.get(&Field::Regions))
        {
            let _ = writeln!(text, "{thing} is served in {} only", self.table.value(&thing, Field::Regions));
        }
        let allowed = self.allowed_regions(class, tenant);
        let all = allowed.is_empty();
        let allowed = if all { "all regions".to_string() } else { Value::Names(allowed).to_string() };
        let _ = writeln!(text, "allowed: {allowed}");
        text
    }
}
