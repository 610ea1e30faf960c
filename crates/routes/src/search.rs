//! Finds the minimal sets of edits that make the table invalid together by sums, overlaps, regions or
//! cycles, without building the tables.
//!
//! A set is invalid if applying some of its edits gives an invalid table. The search reports invalid sets
//! of which every subset is valid, so that the accepted edits can be applied in any order through valid
//! tables only.

use crate::access::{AccessSet, ConflictReason};
use crate::base::Base;
use crate::edit::EditKey;
use crate::mutants::{Mutant, is_active};
use crate::rules::{self, Sum, TableFault};
use crate::table::{Field, Fields, Kind, Thing, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of sets examined for one rule: enough for all sets of up to three among twenty edits.
/// Beyond it, none of the edits that take part is accepted.
pub const MAX_SEARCH_STEPS: usize = 2_000;

/// An edit that the search considers.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: &'a EditKey,
    /// What it reads and writes.
    pub access: &'a AccessSet,
}

/// A set of edits, by index, and what is wrong with it.
pub type InvalidSet = (BTreeSet<usize>, ConflictReason);

/// Searches by all rules.
pub fn find_invalid_sets(
    base: &Base,
    parts: &[Candidate<'_>],
    clash: &dyn Fn(usize, usize) -> bool,
) -> Vec<InvalidSet> {
    let search = Search { base, parts, clash };
    let mut found = Vec::new();
    search.sums(&mut found);
    search.routes(&mut found);
    search.cycles(&mut found);
    found
}

struct Search<'a> {
    base: &'a Base,
    parts: &'a [Candidate<'a>],
    clash: &'a dyn Fn(usize, usize) -> bool,
}

/// Enumerates sets of edits, each once, without extending invalid ones.
struct SetSearch<'a> {
    among: &'a [usize],
    clash: &'a dyn Fn(usize, usize) -> bool,
    bad: &'a dyn Fn(&[usize]) -> Option<ConflictReason>,
    cannot_fail: &'a dyn Fn(&[usize], &[usize]) -> bool,
    steps: usize,
    max_len: usize,
    found: Vec<InvalidSet>,
}

impl SetSearch<'_> {
    fn from(&mut self, at: usize, chosen: &mut Vec<usize>) {
        for next in at..self.among.len() {
            let one = self.among[next];
            if self.steps >= MAX_SEARCH_STEPS {
                return;
            }
            if chosen.iter().any(|other| (self.clash)(*other, one)) {
                continue;
            }
            self.steps += 1;
            chosen.push(one);
            if let Some(why) = (self.bad)(chosen) {
                self.found.push((chosen.iter().copied().collect(), why));
            } else if chosen.len() < self.max_len && !(self.cannot_fail)(chosen, &self.among[next + 1..]) {
                self.from(next + 1, chosen);
            }
            chosen.pop();
        }
    }
}

impl Search<'_> {
    fn walk(
        &self,
        among: &[usize],
        max_len: usize,
        bad: &dyn Fn(&[usize]) -> Option<ConflictReason>,
        cannot_fail: &dyn Fn(&[usize], &[usize]) -> bool,
        found: &mut Vec<InvalidSet>,
    ) {
        let mut walk =
            SetSearch { among, clash: self.clash, bad, cannot_fail, steps: 0, max_len, found: Vec::new() };
        walk.from(0, &mut Vec::new());
        found.append(&mut walk.found);
        if walk.steps >= MAX_SEARCH_STEPS {
            found.push((among.iter().copied().collect(), ConflictReason::TooManySets(among.len())));
        }
    }

    fn sums(&self, found: &mut Vec<InvalidSet>) {
        let mut takers: BTreeMap<&Sum, Vec<usize>> = BTreeMap::new();
        for (at, part) in self.parts.iter().enumerate() {
            for (sum, cells) in &part.access.sum_changes {
                // Edits that only lower a sum are never part of a minimal invalid set.
                if cells.values().any(|add| *add > 0) {
                    takers.entry(sum).or_default().push(at);
                }
            }
        }
        for (sum, among) in takers {
            let before = self.base.sum_excess.get(sum).copied().unwrap_or(0);
            let cells = |at: usize| self.parts[at].access.sum_changes.get(sum);
            let most = |at: usize| cells(at).into_iter().flatten().map(|(_, add)| (*add).max(0)).sum::<i64>();
            let beyond = |chosen: &[usize]| {
                // Changes that several edits make alike count once.
                let all: BTreeMap<_, i64> = chosen
                    .iter()
                    .flat_map(|at| cells(*at))
                    .flatten()
                    .map(|(cell, add)| (cell, *add))
                    .collect();
                before + all.values().sum::<i64>()
            };
            if before + among.iter().map(|at| most(*at)).sum::<i64>() <= 0 {
                continue;
            }
            let bad = |chosen: &[usize]| {
                let by = beyond(chosen);
                let figures = |at: &usize| {
                    let add = cells(*at).into_iter().flatten().map(|(_, add)| *add).sum();
                    (self.parts[*at].key.clone(), add)
                };
                let told = || rules::over_limit(sum, by, self.budget(sum, chosen));
                (by > 0).then(|| ConflictReason::InvalidTable(told(), chosen.iter().map(figures).collect()))
            };
            let cannot_fail = |chosen: &[usize], rest: &[usize]| {
                beyond(chosen) + rest.iter().map(|at| most(*at)).sum::<i64>() <= 0
            };
            let max_len = if is_active(Mutant::SumByPairs) { 2 } else { usize::MAX };
            self.walk(&among, max_len, &bad, &cannot_fail, found);
        }
    }

    fn budget(&self, sum: &Sum, chosen: &[usize]) -> i64 {
        let Sum::Budget(name) = sum else { return 0 };
        let thing = Thing::new(Kind::Dependency, name);
        let value = self.thing_with(&thing, chosen).and_then(|fields| fields.get(&Field::Budget).cloned());
        if let Some(Value::Number(budget)) = value { i64::from(budget) } else { 0 }
    }

    /// Returns a thing as these edits make it.
    fn thing_with(&self, thing: &Thing, chosen: &[usize]) -> Option<Fields> {
        let accesses = || chosen.iter().map(|at| self.parts[*at].access);
        let added = || accesses().find_map(|access| access.adds.get(thing));
        if accesses().any(|access| access.removes.contains(thing)) {
            return None;
        }
        let mut fields = self.base.table.things.get(thing).or_else(added)?.clone();
        for access in accesses() {
            for ((_, field), value) in access.sets.iter().filter(|((set, _), _)| set == thing) {
                match value {
                    Value::Nothing => fields.remove(field),
                    value => fields.insert(*field, value.clone()),
                };
            }
        }
        Some(fields)
    }

    /// Returns the things of a kind that edits add or set one of the fields of, with the edits of each.
    fn touched(&self, kind: Kind, fields: &[Field]) -> BTreeMap<Thing, BTreeSet<usize>> {
        let mut touched: BTreeMap<Thing, BTreeSet<usize>> = BTreeMap::new();
        for (at, part) in self.parts.iter().enumerate() {
            let set =
                part.access.sets.keys().filter(|(_, field)| fields.contains(field)).map(|(thing, _)| thing);
            for thing in set.chain(part.access.adds.keys()).filter(|thing| thing.kind == kind) {
                touched.entry(thing.clone()).or_default().insert(at);
            }
        }
        touched
    }

    /// Returns the versions of a route with different immutable fields: the existing one, and that of each
    /// edit that adds the route.
    fn variants<'a>(&'a self, route: &'a Thing, by: &'a BTreeSet<usize>) -> impl Iterator<Item = &'a Fields> {
        let added = by.iter().filter_map(move |at| self.parts[*at].access.adds.get(route));
        self.base.table.things.get(route).into_iter().chain(added)
    }

    fn routes(&self, found: &mut Vec<InvalidSet>) {
        let nobody = BTreeSet::new();
        let routes = self.touched(Kind::Route, &[Field::Call, Field::Regions, Field::Order]);
        let tenants = self.touched(Kind::Tenant, &[Field::Regions]);
        let never = |_: &[usize], _: &[usize]| false;
        let mut of_class: BTreeMap<Option<&Value>, BTreeSet<&Thing>> = BTreeMap::new();
        for (route, by) in &routes {
            for fields in self.variants(route, by) {
                of_class.entry(fields.get(&Field::Class)).or_default().insert(route);
            }
        }
        for (one, by) in &routes {
            let orders = self.possible_orders(one, by);
            for other in self.routes_of_same_class(one, by, &of_class) {
                let other = other.clone();
                let theirs = routes.get(&other).unwrap_or(&nobody);
                // Most pairs have different orders whatever is accepted, which is cheap to check.
                if self.possible_orders(&other, theirs).is_disjoint(&orders) {
                    continue;
                }
                // A pair that is changed on both sides is compared once.
                if other == *one
                    || (!theirs.is_empty() && other < *one)
                    || is_active(Mutant::OverlapNotCompared)
                {
                    continue;
                }
                let meet = self.variants(one, by).any(|one| {
                    self.variants(&other, theirs).any(|other| rules::may_match_same_request(one, other))
                });
                if meet {
                    let among: Vec<usize> = by.union(theirs).copied().collect();
                    let bad = |chosen: &[usize]| {
                        let (a, b) = (self.thing_with(one, chosen)?, self.thing_with(&other, chosen)?);
                        let wrong = || TableFault::OverlappingRoutes(one.name.clone(), other.name.clone());
                        rules::routes_overlap(&a, &b)
                            .then(|| ConflictReason::InvalidTable(wrong(), Vec::new()))
                    };
                    self.walk(&among, usize::MAX, &bad, &never, found);
                }
            }
        }
        // Pairs of a route and a tenant, at least one of them changed.
        let mut pairs: BTreeSet<(Thing, Thing)> = BTreeSet::new();
        let all: BTreeSet<&Thing> =
            self.base.table.of_kind(Kind::Tenant).map(|(of, _)| of).chain(tenants.keys()).collect();
        for (route, by) in routes.iter().filter(|(route, by)| self.may_restrict_regions(route, by)) {
            for fields in self.variants(route, by) {
                match fields.get(&Field::Tenant) {
                    Some(Value::Name(name)) => {
                        pairs.insert((route.clone(), Thing::new(Kind::Tenant, name)));
                    }
                    _ => pairs.extend(all.iter().map(|tenant| (route.clone(), (*tenant).clone()))),
                }
            }
        }
        for tenant in tenants.keys() {
            let named = self.base.referenced_by.get(tenant).into_iter().flatten().map(|(by, _)| by);
            let for_it = named.chain(&self.base.unrestricted_routes[1]).filter(|by| by.kind == Kind::Route);
            pairs.extend(for_it.map(|route| (route.clone(), tenant.clone())));
        }
        for (route, tenant) in pairs {
            let by = routes.get(&route).unwrap_or(&nobody);
            let among: Vec<usize> = by.union(tenants.get(&tenant).unwrap_or(&nobody)).copied().collect();
            let bad = |chosen: &[usize]| {
                let (a, b) = (self.thing_with(&route, chosen)?, self.thing_with(&tenant, chosen)?);
                let wrong = || TableFault::NoCommonRegion(route.name.clone(), tenant.name.clone());
                rules::lacks_common_region(&a, &tenant, &b)
                    .then(|| ConflictReason::InvalidTable(wrong(), Vec::new()))
            };
            self.walk(&among, usize::MAX, &bad, &never, found);
        }
    }

    fn may_restrict_regions(&self, route: &Thing, by: &BTreeSet<usize>) -> bool {
        let set = |at: &usize| {
            let key = (route.clone(), Field::Regions);
            self.parts[*at].access.sets.get(&key).is_some_and(|value| *value != Value::Nothing)
        };
        by.iter().any(set) || self.variants(route, by).any(|fields| fields.contains_key(&Field::Regions))
    }

    /// Returns the orders that a route may come to have.
    fn possible_orders<'a>(
        &'a self,
        route: &'a Thing,
        by: &'a BTreeSet<usize>,
    ) -> BTreeSet<Option<&'a Value>> {
        let key = (route.clone(), Field::Order);
        let set = by.iter().filter_map(|at| self.parts[*at].access.sets.get(&key));
        let set = set.map(|value| Some(value).filter(|value| **value != Value::Nothing));
        set.chain(self.variants(route, by).map(|fields| fields.get(&Field::Order))).collect()
    }

    /// Returns the routes that may be for the same class as this one.
    fn routes_of_same_class<'a>(
        &'a self,
        one: &'a Thing,
        by: &'a BTreeSet<usize>,
        touched: &BTreeMap<Option<&'a Value>, BTreeSet<&'a Thing>>,
    ) -> BTreeSet<&'a Thing> {
        let mut beside = BTreeSet::new();
        for fields in self.variants(one, by) {
            let Some(class) = fields.get(&Field::Class) else {
                beside.extend(self.base.table.of_kind(Kind::Route).map(|(thing, _)| thing));
                beside.extend(touched.values().flatten());
                continue;
            };
            for of in Field::Class.references(class) {
                let named = self.base.referenced_by.get(&of).into_iter().flatten();
                beside.extend(named.map(|(by, _)| by).filter(|by| by.kind == Kind::Route));
            }
            beside.extend(&self.base.unrestricted_routes[0]);
            beside.extend([Some(class), None].iter().filter_map(|class| touched.get(class)).flatten());
        }
        beside
    }

    fn cycles(&self, found: &mut Vec<InvalidSet>) {
        if is_active(Mutant::CircleNotLookedFor) {
            return;
        }
        let mut edges: BTreeMap<String, Vec<(usize, String)>> = BTreeMap::new();
        let mut writers: BTreeMap<String, BTreeMap<usize, Option<String>>> = BTreeMap::new();
        let name = |value: &Value| if let Value::Name(name) = value { Some(name.clone()) } else { None };
        for (at, part) in self.parts.iter().enumerate() {
            let set = part.access.sets.iter().filter(|((_, field), _)| *field == Field::Fallback);
            let set = set.map(|((thing, _), value)| (thing, name(value)));
            let added =
                part.access.adds.iter().filter_map(|(thing, fields)| {
                    fields.get(&Field::Fallback).map(|value| (thing, name(value)))
                });
            for (thing, to) in set.chain(added) {
                writers.entry(thing.name.clone()).or_default().insert(at, to.clone());
                if let Some(to) = to {
                    edges.entry(thing.name.clone()).or_default().push((at, to));
                }
            }
        }
        let mut round =
            CycleSearch { search: self, edges: &edges, writers: &writers, steps: 0, found: BTreeMap::new() };
        for start in edges.keys() {
            for (at, to) in &edges[start] {
                round.go(&mut vec![(start.clone(), Some(*at))], to);
            }
        }
        let crowded = round.steps >= MAX_SEARCH_STEPS;
        for (set, way) in round.found {
            found.push((set, ConflictReason::InvalidTable(TableFault::FallbackCycle(way), Vec::new())));
        }
        if crowded {
            let all: BTreeSet<usize> = edges.values().flatten().map(|(at, _)| *at).collect();
            let count = all.len();
            found.push((all, ConflictReason::TooManySets(count)));
        }
    }
}

/// Follows fallbacks of the table and of edits to find cycles.
struct CycleSearch<'a> {
    search: &'a Search<'a>,
    edges: &'a BTreeMap<String, Vec<(usize, String)>>,
    writers: &'a BTreeMap<String, BTreeMap<usize, Option<String>>>,
    steps: usize,
    found: BTreeMap<BTreeSet<usize>, Vec<String>>,
}

impl CycleSearch<'_> {
    fn go(&mut self, way: &mut Vec<(String, Option<usize>)>, at: &str) {
        if self.steps >= MAX_SEARCH_STEPS {
            return;
        }
        self.steps += 1;
        if way[0].0 == at {
            self.close(way);
            return;
        }
        if way.iter().any(|(name, _)| name == at) {
            return;
        }
        let table = self.search.base.table.value(&Thing::new(Kind::Dependency, at), Field::Fallback);
        if let Value::Name(to) = table {
            way.push((at.to_string(), None));
            self.go(way, to);
            way.pop();
        }
        for (by, to) in self.edges.get(at).into_iter().flatten() {
            if way.iter().any(|(_, other)| other.is_some_and(|other| (self.search.clash)(other, *by))) {
                continue;
            }
            way.push((at.to_string(), Some(*by)));
            self.go(way, to);
            way.pop();
        }
    }

    fn close(&mut self, way: &[(String, Option<usize>)]) {
        let set: BTreeSet<usize> = way.iter().filter_map(|(_, by)| *by).collect();
        // A fallback of the table counts only if none of the edits in the set changes it.
        let stands = way.iter().all(|(name, by)| {
            let changed = self.writers.get(name).is_some_and(|by| by.keys().any(|by| set.contains(by)));
            by.is_some() || !changed
        });
        if stands {
            let names = way.iter().map(|(name, _)| name.clone()).chain([way[0].0.clone()]).collect();
            self.found.entry(set).or_insert(names);
        }
    }
}
