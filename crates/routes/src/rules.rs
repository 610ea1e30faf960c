//! What makes a table valid: checks on the whole table, whatever edits led to it. The search for conflicts ([`crate::search`]) looks
//! for the same faults without making the tables.

use crate::table::{
    FULL_SHARE_PERMILLE, Field, Fields, Kind, MAX_NAME_BYTES, MAX_TABLE_BYTES, Table, Thing, Value,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What is added up, and must not go over.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Sum {
    /// The calls of all routes into a dependency, against its budget.
    Budget(String),
    /// The shares of all dependencies or all tenants, against the whole.
    Shares(bool),
    /// The size of the table.
    Size,
}

/// What is wrong with a table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TableFault {
    /// A field names what is not there.
    Dangling(Thing, Field, Thing),
    /// A sum is over.
    OverLimit {
        /// Which.
        sum: Sum,
        /// What it comes to.
        used: i64,
        /// What it may come to.
        limit: i64,
    },
    /// Two routes are for the same calls, lead elsewhere, and neither comes first.
    OverlappingRoutes(String, String),
    /// The regions of a route and of a tenant that it is for have none in common.
    NoCommonRegion(String, String),
    /// Fall-backs go round.
    FallbackCycle(Vec<String>),
}

impl fmt::Display for TableFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableFault::Dangling(thing, field, to) => {
                write!(f, "{thing} names {to} as its {field:?}, which is not there")
            }
            TableFault::OverLimit { sum: Sum::Budget(name), used, limit } => {
                write!(f, "routes into dependency/{name} take {used} calls of a budget of {limit}")
            }
            TableFault::OverLimit { sum: Sum::Shares(tenants), used, limit } => {
                let of = if *tenants { "tenants" } else { "dependencies" };
                write!(f, "the shares of all {of} come to {used} thousandths of {limit}")
            }
            TableFault::OverLimit { sum: Sum::Size, used, limit } => {
                write!(f, "the table would have {used} bytes of {limit}")
            }
            TableFault::OverlappingRoutes(one, other) => write!(
                f,
                "route/{one} and route/{other} are for the same requests, lead elsewhere, and neither comes first"
            ),
            TableFault::NoCommonRegion(route, tenant) => {
                write!(f, "route/{route} and tenant/{tenant} allow no region in common")
            }
            TableFault::FallbackCycle(way) => write!(f, "fall-backs go round: {}", way.join(" → ")),
        }
    }
}

/// Whether two fixed fields are for the same: what is left out is for any.
fn fields_intersect(one: &Fields, other: &Fields, field: Field) -> bool {
    match (one.get(&field), other.get(&field)) {
        (Some(one), Some(other)) => one == other,
        _ => true,
    }
}

/// Whether two routes may be for the same request.
pub fn may_match_same_request(one: &Fields, other: &Fields) -> bool {
    fields_intersect(one, other, Field::Class) && fields_intersect(one, other, Field::Tenant)
}

/// Whether two routes for the same requests lead elsewhere while neither comes first.
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

/// Whether a route is for a tenant, and they allow no region in common.
pub fn lacks_common_region(route: &Fields, tenant: &Thing, of: &Fields) -> bool {
    let applies = match route.get(&Field::Tenant) {
        Some(Value::Name(name)) => *name == tenant.name,
        _ => true,
    };
    match (route.get(&Field::Regions), of.get(&Field::Regions)) {
        (Some(Value::Names(one)), Some(Value::Names(other))) => applies && one.is_disjoint(other),
        _ => false,
    }
}

/// What one field of a thing adds to which sums; what it adds by being there at all, for no field.
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

/// All that a thing adds, by field.
pub fn thing_contributions(thing: &Thing, fields: &Fields) -> Vec<(Option<Field>, Sum, i64)> {
    let of = fields.iter().map(|(field, value)| (Some(*field), value)).chain([(None, &Value::Nothing)]);
    of.flat_map(|(field, value)| {
        contributions(thing, field, value).into_iter().map(move |(sum, add)| (field, sum, add))
    })
    .collect()
}

/// What a sum may come to, where that is no budget.
fn limit_of(sum: &Sum) -> i64 {
    match sum {
        Sum::Budget(_) => 0,
        Sum::Shares(_) => i64::from(FULL_SHARE_PERMILLE),
        Sum::Size => i64::from(MAX_TABLE_BYTES),
    }
}

/// What each sum of a table is beyond its room.
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

/// A sum with its figures; `beyond` is what it is beyond its room.
pub fn over_limit(sum: &Sum, excess: i64, budget: i64) -> TableFault {
    let limit = if let Sum::Budget(_) = sum { budget } else { limit_of(sum) };
    TableFault::OverLimit { sum: sum.clone(), used: excess + limit, limit }
}

/// All that is wrong with a table; nothing, if it may be published.
pub fn check(table: &Table) -> Vec<TableFault> {
    let mut wrong = Vec::new();
    for (thing, fields) in &table.things {
        for (field, value) in fields {
            for to in field.references(value).into_iter().filter(|to| !table.things.contains_key(to)) {
                wrong.push(TableFault::Dangling(thing.clone(), *field, to));
            }
        }
    }
    for (sum, by) in sum_excess(table).into_iter().filter(|(_, by)| *by > 0) {
        let budget = match &sum {
            Sum::Budget(name) => match table.value(&Thing::new(Kind::Dependency, name), Field::Budget) {
                Value::Number(budget) => i64::from(*budget),
                _ => 0,
            },
            _ => 0,
        };
        wrong.push(over_limit(&sum, by, budget));
    }
    let routes: Vec<(&Thing, &Fields)> = table.of_kind(Kind::Route).collect();
    for (at, (one, fields)) in routes.iter().enumerate() {
        for (other, others) in &routes[at + 1..] {
            if routes_overlap(fields, others) {
                wrong.push(TableFault::OverlappingRoutes(one.name.clone(), other.name.clone()));
            }
        }
        for (tenant, of) in table.of_kind(Kind::Tenant) {
            if lacks_common_region(fields, tenant, of) {
                wrong.push(TableFault::NoCommonRegion(one.name.clone(), tenant.name.clone()));
            }
        }
    }
    wrong.extend(fallback_cycle(table).map(TableFault::FallbackCycle));
    wrong
}

/// A circle of fall-backs, from its first name.
fn fallback_cycle(table: &Table) -> Option<Vec<String>> {
    let mut over: BTreeSet<&Thing> = BTreeSet::new();
    for (start, _) in table.of_kind(Kind::Dependency) {
        let (mut way, mut at) = (Vec::new(), Some(start));
        while let Some(thing) = at {
            if let Some(begin) = way.iter().position(|before| *before == thing) {
                return Some(way[begin..].iter().chain([&thing]).map(|thing| thing.name.clone()).collect());
            }
            if over.contains(thing) {
                break;
            }
            way.push(thing);
            at = match table.value(thing, Field::Fallback) {
                Value::Name(name) => table.things.get_key_value(&thing.named(name)).map(|(thing, _)| thing),
                _ => None,
            };
        }
        over.extend(way);
    }
    None
}
