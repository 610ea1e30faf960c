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
    candidates: &[Candidate<'_>],
    in_conflict: &dyn Fn(usize, usize) -> bool,
) -> Vec<InvalidSet> {
    let search = Search { base, candidates, in_conflict };
    let mut found = Vec::new();
    search.sums(&mut found);
    search.routes(&mut found);
    search.cycles(&mut found);
    found
}

struct Search<'a> {
    base: &'a Base,
    candidates: &'a [Candidate<'a>],
    in_conflict: &'a dyn Fn(usize, usize) -> bool,
}

/// Enumerates sets of edits, each once, without extending invalid ones.
struct SetSearch<'a> {
    among: &'a [usize],
    in_conflict: &'a dyn Fn(usize, usize) -> bool,
    find_fault: &'a dyn Fn(&[usize]) -> Option<ConflictReason>,
    cannot_fail: &'a dyn Fn(&[usize], &[usize]) -> bool,
    steps: usize,
    max_len: usize,
    found: Vec<InvalidSet>,
}

impl SetSearch<'_> {
    fn extend(&mut self, start: usize, chosen: &mut Vec<usize>) {
        for next in start..self.among.len() {
            let candidate = self.among[next];
            if self.steps >= MAX_SEARCH_STEPS {
                return;
            }
            if chosen.iter().any(|other| (self.in_conflict)(*other, candidate)) {
                continue;
            }
            self.steps += 1;
            chosen.push(candidate);
            if let Some(reason) = (self.find_fault)(chosen) {
                self.found.push((chosen.iter().copied().collect(), reason));
            } else if chosen.len() < self.max_len && !(self.cannot_fail)(chosen, &self.among[next + 1..]) {
                self.extend(next + 1, chosen);
            }
            chosen.pop();
        }
    }
}

impl Search<'_> {
    fn search_sets(
        &self,
        among: &[usize],
        max_len: usize,
        find_fault: &dyn Fn(&[usize]) -> Option<ConflictReason>,
        cannot_fail: &dyn Fn(&[usize], &[usize]) -> bool,
        found: &mut Vec<InvalidSet>,
    ) {
        let mut search = SetSearch {
            among,
            in_conflict: self.in_conflict,
            find_fault,
            cannot_fail,
            steps: 0,
            max_len,
            found: Vec::new(),
        };
        search.extend(0, &mut Vec::new());
        found.append(&mut search.found);
        if search.steps >= MAX_SEARCH_STEPS {
            found.push((among.iter().copied().collect(), ConflictReason::TooManySets(among.len())));
        }
    }

    fn sums(&self, found: &mut Vec<InvalidSet>) {
        let mut raising: BTreeMap<&Sum, Vec<usize>> = BTreeMap::new();
        for (i, candidate) in self.candidates.iter().enumerate() {
            for (sum, cells) in &candidate.access.sum_changes {
                // Edits that only lower a sum are never part of a minimal invalid set.
                if cells.values().any(|add| *add > 0) {
                    raising.entry(sum).or_default().push(i);
                }
            }
        }
        for (sum, among) in raising {
            let excess_before = self.base.sum_excess.get(sum).copied().unwrap_or(0);
            let cells = |i: usize| self.candidates[i].access.sum_changes.get(sum);
            let max_added =
                |i: usize| cells(i).into_iter().flatten().map(|(_, add)| (*add).max(0)).sum::<i64>();
            let excess_with = |chosen: &[usize]| {
                // Changes that several edits make alike count once.
                let all: BTreeMap<_, i64> =
                    chosen.iter().flat_map(|i| cells(*i)).flatten().map(|(cell, add)| (cell, *add)).collect();
                excess_before + all.values().sum::<i64>()
            };
            if excess_before + among.iter().map(|i| max_added(*i)).sum::<i64>() <= 0 {
                continue;
            }
            let find_fault = |chosen: &[usize]| {
                let excess = excess_with(chosen);
                let figures = |i: &usize| {
                    let add = cells(*i).into_iter().flatten().map(|(_, add)| *add).sum();
                    (self.candidates[*i].key.clone(), add)
                };
                let fault = || rules::over_limit(sum, excess, self.budget(sum, chosen));
                (excess > 0)
                    .then(|| ConflictReason::InvalidTable(fault(), chosen.iter().map(figures).collect()))
            };
            let cannot_fail = |chosen: &[usize], rest: &[usize]| {
                excess_with(chosen) + rest.iter().map(|i| max_added(*i)).sum::<i64>() <= 0
            };
            let max_len = if is_active(Mutant::SumByPairs) { 2 } else { usize::MAX };
            self.search_sets(&among, max_len, &find_fault, &cannot_fail, found);
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
        let accesses = || chosen.iter().map(|i| self.candidates[*i].access);
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
        for (i, candidate) in self.candidates.iter().enumerate() {
            let set = candidate
                .access
                .sets
                .keys()
                .filter(|(_, field)| fields.contains(field))
                .map(|(thing, _)| thing);
            for thing in set.chain(candidate.access.adds.keys()).filter(|thing| thing.kind == kind) {
                touched.entry(thing.clone()).or_default().insert(i);
            }
        }
        touched
    }

    /// Returns the versions of a route with different immutable fields: the existing one, and that of each
    /// edit that adds the route.
    fn variants<'a>(&'a self, route: &'a Thing, by: &'a BTreeSet<usize>) -> impl Iterator<Item = &'a Fields> {
        let added = by.iter().filter_map(move |i| self.candidates[*i].access.adds.get(route));
        self.base.table.things.get(route).into_iter().chain(added)
    }

    fn routes(&self, found: &mut Vec<InvalidSet>) {
        let no_edits = BTreeSet::new();
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
                let other_by = routes.get(&other).unwrap_or(&no_edits);
                // Most pairs have different orders whatever is accepted, which is cheap to check.
                if self.possible_orders(&other, other_by).is_disjoint(&orders) {
                    continue;
                }
                // A pair that is changed on both sides is compared once.
                if other == *one
                    || (!other_by.is_empty() && other < *one)
                    || is_active(Mutant::OverlapNotCompared)
                {
                    continue;
                }
                let may_overlap = self.variants(one, by).any(|one| {
                    self.variants(&other, other_by).any(|other| rules::may_match_same_request(one, other))
                });
                if may_overlap {
                    let among: Vec<usize> = by.union(other_by).copied().collect();
                    let find_fault = |chosen: &[usize]| {
                        let (a, b) = (self.thing_with(one, chosen)?, self.thing_with(&other, chosen)?);
                        let fault = || TableFault::OverlappingRoutes(one.name.clone(), other.name.clone());
                        rules::routes_overlap(&a, &b)
                            .then(|| ConflictReason::InvalidTable(fault(), Vec::new()))
                    };
                    self.search_sets(&among, usize::MAX, &find_fault, &never, found);
                }
            }
        }
        // Pairs of a route and a tenant, at least one of them changed.
        let mut pairs: BTreeSet<(Thing, Thing)> = BTreeSet::new();
        let all_tenants: BTreeSet<&Thing> =
            self.base.table.of_kind(Kind::Tenant).map(|(of, _)| of).chain(tenants.keys()).collect();
        for (route, by) in routes.iter().filter(|(route, by)| self.may_restrict_regions(route, by)) {
            for fields in self.variants(route, by) {
                match fields.get(&Field::Tenant) {
                    Some(Value::Name(name)) => {
                        pairs.insert((route.clone(), Thing::new(Kind::Tenant, name)));
                    }
                    _ => pairs.extend(all_tenants.iter().map(|tenant| (route.clone(), (*tenant).clone()))),
                }
            }
        }
        for tenant in tenants.keys() {
            let referring = self.base.referenced_by.get(tenant).into_iter().flatten().map(|(by, _)| by);
            let matching =
                referring.chain(&self.base.unrestricted_routes[1]).filter(|by| by.kind == Kind::Route);
            pairs.extend(matching.map(|route| (route.clone(), tenant.clone())));
        }
        for (route, tenant) in pairs {
            let by = routes.get(&route).unwrap_or(&no_edits);
            let among: Vec<usize> = by.union(tenants.get(&tenant).unwrap_or(&no_edits)).copied().collect();
            let find_fault = |chosen: &[usize]| {
                let (a, b) = (self.thing_with(&route, chosen)?, self.thing_with(&tenant, chosen)?);
                let fault = || TableFault::NoCommonRegion(route.name.clone(), tenant.name.clone());
                rules::lacks_common_region(&a, &tenant, &b)
                    .then(|| ConflictReason::InvalidTable(fault(), Vec::new()))
            };
            self.search_sets(&among, usize::MAX, &find_fault, &never, found);
        }
    }

    fn may_restrict_regions(&self, route: &Thing, by: &BTreeSet<usize>) -> bool {
        let set = |i: &usize| {
            let key = (route.clone(), Field::Regions);
            self.candidates[*i].access.sets.get(&key).is_some_and(|value| *value != Value::Nothing)
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
        let set = by.iter().filter_map(|i| self.candidates[*i].access.sets.get(&key));
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
        let mut found = BTreeSet::new();
        for fields in self.variants(one, by) {
            let Some(class) = fields.get(&Field::Class) else {
                found.extend(self.base.table.of_kind(Kind::Route).map(|(thing, _)| thing));
                found.extend(touched.values().flatten());
                continue;
            };
            for of in Field::Class.references(class) {
                let referring = self.base.referenced_by.get(&of).into_iter().flatten();
                found.extend(referring.map(|(by, _)| by).filter(|by| by.kind == Kind::Route));
            }
            found.extend(&self.base.unrestricted_routes[0]);
            found.extend([Some(class), None].iter().filter_map(|class| touched.get(class)).flatten());
        }
        found
    }

    fn cycles(&self, found: &mut Vec<InvalidSet>) {
        if is_active(Mutant::CircleNotLookedFor) {
            return;
        }
        let mut edges: BTreeMap<String, Vec<(usize, String)>> = BTreeMap::new();
        let mut writers: BTreeMap<String, BTreeMap<usize, Option<String>>> = BTreeMap::new();
        let name = |value: &Value| if let Value::Name(name) = value { Some(name.clone()) } else { None };
        for (i, candidate) in self.candidates.iter().enumerate() {
            let set = candidate.access.sets.iter().filter(|((_, field), _)| *field == Field::Fallback);
            let set = set.map(|((thing, _), value)| (thing, name(value)));
            let added =
                candidate.access.adds.iter().filter_map(|(thing, fields)| {
                    fields.get(&Field::Fallback).map(|value| (thing, name(value)))
                });
            for (thing, to) in set.chain(added) {
                writers.entry(thing.name.clone()).or_default().insert(i, to.clone());
                if let Some(to) = to {
                    edges.entry(thing.name.clone()).or_default().push((i, to));
                }
            }
        }
        let mut cycle_search =
            CycleSearch { search: self, edges: &edges, writers: &writers, steps: 0, found: BTreeMap::new() };
        for start in edges.keys() {
            for (i, to) in &edges[start] {
                cycle_search.follow(&mut vec![(start.clone(), Some(*i))], to);
            }
        }
        let is_cut_short = cycle_search.steps >= MAX_SEARCH_STEPS;
        for (set, path) in cycle_search.found {
            found.push((set, ConflictReason::InvalidTable(TableFault::FallbackCycle(path), Vec::new())));
        }
        if is_cut_short {
            let all: BTreeSet<usize> = edges.values().flatten().map(|(i, _)| *i).collect();
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
    fn follow(&mut self, path: &mut Vec<(String, Option<usize>)>, at: &str) {
        if self.steps >= MAX_SEARCH_STEPS {
            return;
        }
        self.steps += 1;
        if path[0].0 == at {
            self.close(path);
            return;
        }
        if path.iter().any(|(name, _)| name == at) {
            return;
        }
        let table = self.search.base.table.value(&Thing::new(Kind::Dependency, at), Field::Fallback);
        if let Value::Name(to) = table {
            path.push((at.to_string(), None));
            self.follow(path, to);
            path.pop();
        }
        for (by, to) in self.edges.get(at).into_iter().flatten() {
            if path.iter().any(|(_, other)| other.is_some_and(|other| (self.search.in_conflict)(other, *by)))
            {
                continue;
            }
            path.push((at.to_string(), Some(*by)));
            self.follow(path, to);
            path.pop();
        }
    }

    fn close(&mut self, path: &[(String, Option<usize>)]) {
        let set: BTreeSet<usize> = path.iter().filter_map(|(_, by)| *by).collect();
        // A fallback of the table counts only if none of the edits in the set changes it.
        let is_valid = path.iter().all(|(name, by)| {
            let changed = self.writers.get(name).is_some_and(|by| by.keys().any(|by| set.contains(by)));
            by.is_some() || !changed
        });
        if is_valid {
            let names = path.iter().map(|(name, _)| name.clone()).chain([path[0].0.clone()]).collect();
            self.found.entry(set).or_insert(names);
        }
    }
}
