//! Validity rules: checks of a whole table, whatever edits led to it. The search for conflicts
//! ([`crate::search`]) finds the same faults without building the tables.

use crate::table::{
    FULL_SHARE_PERMILLE, Field, Fields, Kind, MAX_NAME_BYTES, MAX_TABLE_BYTES, Table, Thing, Value,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A sum with a limit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Sum {
    /// The calls of all routes into a dependency, limited by its budget.
    Budget(String),
    /// The shares of all tenants (`true`) or all dependencies (`false`), limited by the whole.
    Shares(bool),
    /// The size of the table.
    Size,
}

/// A fault that makes a table invalid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TableFault {
    /// A field refers to a thing that does not exist.
    Dangling(Thing, Field, Thing),
    /// A sum exceeds its limit.
    OverLimit {
        /// The sum.
        sum: Sum,
        /// Its value.
        used: i64,
        /// Its limit.
        limit: i64,
    },
    /// Two routes for the same calls differ in their target or regions and have the same order.
    OverlappingRoutes(String, String),
    /// A route and a tenant it is for have no region in common.
    NoCommonRegion(String, String),
    /// A cycle of fallbacks.
    FallbackCycle(Vec<String>),
}

impl fmt::Display for TableFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableFault::Dangling(thing, field, to) => {
                write!(f, "{thing} refers to {to} as its {field:?}, which does not exist")
            }
            TableFault::OverLimit { sum: Sum::Budget(name), used, limit } => {
                write!(f, "routes into dependency/{name} take {used} calls of a budget of {limit}")
            }
            TableFault::OverLimit { sum: Sum::Shares(tenants), used, limit } => {
                let of = if *tenants { "tenants" } else { "dependencies" };
                write!(f, "the shares of all {of} add up to {used} thousandths, more than {limit}")
            }
            TableFault::OverLimit { sum: Sum::Size, used, limit } => {
                write!(f, "the table would have {used} bytes, more than {limit}")
            }
            TableFault::OverlappingRoutes(one, other) => write!(
                f,
                "route/{one} and route/{other} match the same requests in the same order but differ"
            ),
            TableFault::NoCommonRegion(route, tenant) => {
                write!(f, "route/{route} and tenant/{tenant} have no allowed region in common")
            }
            TableFault::FallbackCycle(names) => write!(f, "fallback cycle: {}", names.join(" → ")),
        }
    }
}

/// Whether two routes can match the same value of a field; an omitted field matches any.
fn fields_intersect(one: &Fields, other: &Fields, field: Field) -> bool {
    match (one.get(&field), other.get(&field)) {
        (Some(one), Some(other)) => one == other,
        _ => true,
    }
}

/// Whether two routes can match the same request.
pub fn may_match_same_request(one: &Fields, other: &Fields) -> bool {
    fields_intersect(one, other, Field::Class) && fields_intersect(one, other, Field::Tenant)
}

/// Whether two routes for the same requests have the same order but differ in their target or regions.
pub fn routes_overlap(one: &Fields, other: &Fields) -> bool {
    let to = |fields: &Fields| match fields.get(&Field::Call) {
        Some(Value::Call { to, .. }) => Some(to.clone()),
        _ => None,
    };
    let regions = match (one.get(&Field::Regions), other.get(&Field::Regions)) {
        (Some(one), Some(other)) => one != other,
        _ => false,
    };
    may_match_same_request(one, other)
        && one.get(&Field::Order) == other.get(&Field::Order)
        && (regions || (fields_intersect(one, other, Field::Place) && to(one) != to(other)))
}

/// Whether a route is for a tenant and they have no region in common.
pub fn lacks_common_region(route: &Fields, tenant: &Thing, tenant_fields: &Fields) -> bool {
    let applies = match route.get(&Field::Tenant) {
        Some(Value::Name(name)) => *name == tenant.name,
        _ => true,
    };
    match (route.get(&Field::Regions), tenant_fields.get(&Field::Regions)) {
        (Some(Value::Names(one)), Some(Value::Names(other))) => applies && one.is_disjoint(other),
        _ => false,
    }
}

/// Returns what one field of a thing adds to each sum; without a field, what the thing itself adds.
pub fn contributions(thing: &Thing, field: Option<Field>, value: &Value) -> Vec<(Sum, i64)> {
    let Some(field) = field else {
        return vec![(Sum::Size, 8 + MAX_NAME_BYTES as i64)];
    };
    let size = (Sum::Size, Field::accounted_bytes(value));
    let other = match (field, value) {
        (Field::Call, Value::Call { to, calls }) => (Sum::Budget(to.clone()), i64::from(*calls)),
        (Field::Budget, Value::Number(budget)) => (Sum::Budget(thing.name.clone()), -i64::from(*budget)),
        (Field::Share, Value::Number(share)) => (Sum::Shares(thing.kind == Kind::Tenant), i64::from(*share)),
        _ => return vec![size],
    };
    vec![size, other]
}

/// Returns all that a thing adds to sums, by field.
pub fn thing_contributions(thing: &Thing, fields: &Fields) -> Vec<(Option<Field>, Sum, i64)> {
    let fields_and_thing =
        fields.iter().map(|(field, value)| (Some(*field), value)).chain([(None, &Value::Nothing)]);
    fields_and_thing
        .flat_map(|(field, value)| {
            contributions(thing, field, value).into_iter().map(move |(sum, add)| (field, sum, add))
        })
        .collect()
}

/// Returns the limit of a sum. A budget is counted as a negative part of its sum, so that the limit is 0.
fn limit_of(sum: &Sum) -> i64 {
    match sum {
        Sum::Budget(_) => 0,
        Sum::Shares(_) => i64::from(FULL_SHARE_PERMILLE),
        Sum::Size => i64::from(MAX_TABLE_BYTES),
    }
}

/// Returns by how much each sum of a table exceeds its limit.
pub fn sum_excess(table: &Table) -> BTreeMap<Sum, i64> {
    let mut sums: BTreeMap<Sum, i64> =
        [Sum::Shares(false), Sum::Shares(true), Sum::Size].map(|sum| (sum.clone(), -limit_of(&sum))).into();
    for (thing, fields) in &table.things {
        for (_, sum, add) in thing_contributions(thing, fields) {
            *sums.entry(sum).or_insert(0) += add;
        }
    }
    sums
}

/// Describes a sum that exceeds its limit by `excess`.
pub fn over_limit(sum: &Sum, excess: i64, budget: i64) -> TableFault {
    let limit = if let Sum::Budget(_) = sum { budget } else { limit_of(sum) };
    TableFault::OverLimit { sum: sum.clone(), used: excess + limit, limit }
}

/// Returns all faults of a table; empty if it may be published.
pub fn check(table: &Table) -> Vec<TableFault> {
    let mut faults = Vec::new();
    for (thing, fields) in &table.things {
        for (field, value) in fields {
            for to in field.references(value).into_iter().filter(|to| !table.things.contains_key(to)) {
                faults.push(TableFault::Dangling(thing.clone(), *field, to));
            }
        }
    }
    for (sum, excess) in sum_excess(table).into_iter().filter(|(_, excess)| *excess > 0) {
        let budget = match &sum {
            Sum::Budget(name) => match table.value(&Thing::new(Kind::Dependency, name), Field::Budget) {
                Value::Number(budget) => i64::from(*budget),
                _ => 0,
            },
            _ => 0,
        };
        faults.push(over_limit(&sum, excess, budget));
    }
    let routes: Vec<(&Thing, &Fields)> = table.of_kind(Kind::Route).collect();
    for (i, (route, fields)) in routes.iter().enumerate() {
        for (other, other_fields) in &routes[i + 1..] {
            if routes_overlap(fields, other_fields) {
                faults.push(TableFault::OverlappingRoutes(route.name.clone(), other.name.clone()));
            }
        }
        for (tenant, tenant_fields) in table.of_kind(Kind::Tenant) {
            if lacks_common_region(fields, tenant, tenant_fields) {
                faults.push(TableFault::NoCommonRegion(route.name.clone(), tenant.name.clone()));
            }
        }
    }
    faults.extend(fallback_cycle(table).map(TableFault::FallbackCycle));
    faults
}

/// Finds a cycle of fallbacks, from its first dependency back to it.
fn fallback_cycle(table: &Table) -> Option<Vec<String>> {
    let mut visited: BTreeSet<&Thing> = BTreeSet::new();
    for (start, _) in table.of_kind(Kind::Dependency) {
        let (mut path, mut current) = (Vec::new(), Some(start));
        while let Some(thing) = current {
            if let Some(start_of_cycle) = path.iter().position(|earlier| *earlier == thing) {
                return Some(
                    path[start_of_cycle..].iter().chain([&thing]).map(|thing| thing.name.clone()).collect(),
                );
            }
            if visited.contains(thing) {
                break;
            }
            path.push(thing);
            current = match table.value(thing, Field::Fallback) {
                Value::Name(name) => table.things.get_key_value(&thing.named(name)).map(|(thing, _)| thing),
                _ => None,
            };
        }
        visited.extend(path);
    }
    None
}
