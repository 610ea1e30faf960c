//! Replicated state that tables are planned from: reports of edges, the estimates made from them, and the
//! state of the last plan. Each member has it, so that a new leader continues where the last one stopped.
//!
//! Estimates are floating point, so members of different builds may differ in the last bits. Replicated state
//! depends on them only through the rows and the planner memory that entries carry.

use crate::group::Group;
use crate::model::Estimates;
use crate::part::Entry;
use crate::planner::{
    Demand, EXPLORATION_RETRY_MS, EXPLORATION_SHARE, Explorations, MAX_EXPLORATIONS, Planner, PlannerMemory,
    Region, TrafficSnapshot,
};
use crate::summary::{MAX_SOURCES, MAX_SUMMARY_BYTES, Summary};
use crate::tables::{MAX_GROUPS, MAX_REGION_NAME_BYTES, MAX_REGIONS, Row, Tables};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum length of an edge's name in bytes, as in the fleet.
const MAX_EDGE_NAME_BYTES: usize = 64;
/// Minimum and maximum interval between reports of an edge, in milliseconds.
pub const REPORT_INTERVAL_MS: (u32, u32) = (100, 600_000);
/// An edge that has not reported for this time is removed.
const EDGE_EXPIRY_MS: u64 = 3_600_000;
/// Demand of a group in a region below this counts as none, in thousandths of a request per second.
const MIN_DEMAND_MILLI: u64 = 10;
/// Number of windows with reports of a group before its home region is taken from them. The fleet's first
/// window ends with the first report, so it covers a few edges only. After four windows the first has a
/// sixteenth of the weight, and a region first reported in the second has 14 of the 15 sixteenths that others
/// have. Each further window is one without a table.
pub const MIN_REPORTED_WINDOWS: u8 = 4;

/// Report of an edge for one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EdgeReport {
    /// Name of the edge: a member of the fleet.
    pub edge: String,
    /// Region of the edge.
    pub region: String,
    /// Length of its windows, in milliseconds.
    pub interval_ms: u32,
    /// Capacity, in thousandths of a request per second.
    pub capacity_milli: u32,
    /// Load, in thousandths of a request per second.
    pub load_milli: u32,
    /// Serialized summary ([`Summary::to_bytes`]).
    pub summary: Vec<u8>,
}

/// Last known state of an edge.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Edge {
    region: String,
    interval_ms: u32,
    capacity_milli: u32,
    load_milli: u32,
    /// Time of the fleet's window in which it last reported.
    at_ms: u64,
    /// Whether it reported since that window ended.
    fresh: bool,
}

/// State that tables are planned from.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanningState {
    edges: BTreeMap<String, Edge>,
    /// Reports not yet processed.
    pending: Summary,
    /// Number and time (`now_ms`) of the last window.
    window: u64,
    now_ms: u64,
    /// Last window that was planned from.
    planned_window: u64,
    memory: PlannerMemory,
    explorations: Explorations,
    /// Demand in thousandths of a request per second, by group and region.
    demand: BTreeMap<Group, BTreeMap<String, u64>>,
    estimates: Estimates,
    /// Windows with reports of a group, up to [`MIN_REPORTED_WINDOWS`]. Saved after all else, as earlier
    /// builds did not save it.
    #[serde(skip)]
    reported_windows: BTreeMap<Group, u8>,
}

impl PlanningState {
    /// Serializes to bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serializing maps and numbers into a vector cannot fail.
        [postcard::to_stdvec(self), postcard::to_stdvec(&self.reported_windows)]
            .map(Result::unwrap_or_default)
            .concat()
    }

    /// Deserializes from bytes; `None` if they violate a bound.
    pub fn from_bytes(bytes: &[u8]) -> Option<PlanningState> {
        let (mut state, rest) = postcard::take_from_bytes::<PlanningState>(bytes).ok()?;
        let valid = state.edges.len() <= MAX_SOURCES
            && state.memory.is_valid()
            && state.explorations.len() <= MAX_EXPLORATIONS
            && state.demand.len() <= MAX_GROUPS;
        // Saved by a build in which one window was enough: these groups have their home region.
        let legacy_windows =
            || Some(state.demand.keys().map(|group| (group.clone(), MIN_REPORTED_WINDOWS)).collect());
        let read_windows = |bytes| {
            postcard::take_from_bytes(bytes)
                .ok()
                .filter(|(_, rest)| rest.is_empty())
                .map(|(windows, _)| windows)
        };
        state.reported_windows = if rest.is_empty() { legacy_windows() } else { read_windows(rest) }?;
        (valid && state.reported_windows.keys().eq(state.demand.keys())).then_some(state)
    }

    /// Returns the number of the last window.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// Returns the estimates of delays.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Returns the planner state after the last plan.
    pub fn memory(&self) -> &PlannerMemory {
        &self.memory
    }

    /// Returns the recorded explorations and their starts.
    pub fn explorations(&self) -> &Explorations {
        &self.explorations
    }

    /// Stores a report until the window ends, and returns whether it is within the bounds.
    pub(crate) fn accept_report(&mut self, report: &EdgeReport) -> bool {
        let named = !report.edge.is_empty()
            && report.edge.len() <= MAX_EDGE_NAME_BYTES
            && !report.region.is_empty()
            && report.region.len() <= MAX_REGION_NAME_BYTES;
        let room = self.edges.len() < MAX_SOURCES || self.edges.contains_key(&report.edge);
        let interval = (REPORT_INTERVAL_MS.0..=REPORT_INTERVAL_MS.1).contains(&report.interval_ms);
        if !named || !room || !interval || report.summary.len() > MAX_SUMMARY_BYTES {
            return false;
        }
        let Some(summary) = Summary::from_bytes(&report.summary) else { return false };
        // An edge must not report on behalf of another edge or region.
        if !summary
            .by_source()
            .all(|(source, _)| source.edge == report.edge && source.region == report.region)
        {
            return false;
        }
        self.pending.merge(&summary);
        let edge = Edge {
            region: report.region.clone(),
            interval_ms: report.interval_ms,
            capacity_milli: report.capacity_milli,
            load_milli: report.load_milli,
            at_ms: self.now_ms,
            fresh: true,
        };
        self.edges.insert(report.edge.clone(), edge);
        true
    }

    /// Processes all reports since the last window, if this is the next window.
    pub(crate) fn close_window(&mut self, number: u64, now_ms: u64) -> bool {
        if number != self.window + 1 || now_ms < self.now_ms {
            return false;
        }
        (self.window, self.now_ms) = (number, now_ms);
        let pending = std::mem::take(&mut self.pending);
        self.update_demand(&pending);
        self.estimates.update(now_ms, &pending);
        self.explorations.retain(|_, since| now_ms.saturating_sub(*since) < EXPLORATION_RETRY_MS);
        for edge in self.edges.values_mut().filter(|edge| edge.fresh) {
            (edge.at_ms, edge.fresh) = (now_ms, false);
        }
        self.edges.retain(|_, edge| now_ms.saturating_sub(edge.at_ms) < EDGE_EXPIRY_MS);
        true
    }

    /// Updates the demand of each group by region: half from the new reports, half from the previous value.
    /// Windows of edges do not end together with those of the fleet.
    fn update_demand(&mut self, pending: &Summary) {
        let mut fresh: BTreeMap<Group, BTreeMap<String, u64>> = BTreeMap::new();
        for (source, stats_by_group) in pending.by_source() {
            let interval_ms =
                self.edges.get(&source.edge).map_or(REPORT_INTERVAL_MS.1, |edge| edge.interval_ms);
            for (group, stats) in stats_by_group.iter().filter(|(_, stats)| stats.requests > 0) {
                let milli = u64::from(stats.requests) * 1_000_000 / u64::from(interval_ms.max(1));
                *fresh.entry(group.clone()).or_default().entry(source.region.clone()).or_default() += milli;
            }
        }
        for regions in self.demand.values_mut() {
            regions.values_mut().for_each(|milli| *milli /= 2);
        }
        for (group, regions) in fresh {
            if self.demand.len() >= MAX_GROUPS && !self.demand.contains_key(&group) {
                continue;
            }
            let windows = self.reported_windows.entry(group.clone()).or_default();
            *windows = (*windows + 1).min(MIN_REPORTED_WINDOWS);
            let known = self.demand.entry(group).or_default();
            for (region, milli) in regions {
                if known.len() < MAX_REGIONS || known.contains_key(&region) {
                    *known.entry(region).or_default() += milli / 2;
                }
            }
        }
        for regions in self.demand.values_mut() {
            regions.retain(|_, milli| *milli >= MIN_DEMAND_MILLI);
        }
        self.demand.retain(|_, regions| !regions.is_empty());
        self.reported_windows.retain(|group, _| self.demand.contains_key(group));
    }

    /// Stores the state after a plan from the last window, once.
    pub(crate) fn record_plan(&mut self, number: u64, memory: &PlannerMemory) -> bool {
        if number != self.window || number <= self.planned_window {
            return false;
        }
        self.planned_window = number;
        self.memory = memory.clone();
        true
    }

    /// Records the pairs that these rows explore.
    pub(crate) fn record_explorations<'a>(&mut self, rows: impl Iterator<Item = (&'a Group, &'a Row)>) {
        for (group, row) in rows {
            for place in row.places.iter().filter(|place| place.share > 0 && place.share <= EXPLORATION_SHARE)
            {
                if self.explorations.len() < MAX_EXPLORATIONS {
                    self.explorations.entry((group.clone(), place.region.clone())).or_insert(self.now_ms);
                }
            }
        }
    }

    /// Returns the regions of all known edges with capacity and load. A region is up while one of its edges
    /// is `present`; a present edge that does not report counts with its last report.
    pub fn regions(&self, present: impl Fn(&str) -> bool) -> BTreeMap<String, Region> {
        let mut regions: BTreeMap<String, Region> = BTreeMap::new();
        for (name, edge) in &self.edges {
            if regions.len() >= MAX_REGIONS && !regions.contains_key(&edge.region) {
                continue;
            }
            let region = regions.entry(edge.region.clone()).or_default();
            if !present(name) {
                continue;
            }
            region.up = true;
            region.capacity += f64::from(edge.capacity_milli) / 1000.0;
            region.load += f64::from(edge.load_milli) / 1000.0;
        }
        regions
    }

    fn snapshot(
        &self,
        present: impl Fn(&str) -> bool,
        allowed: impl Fn(&Group) -> BTreeSet<String>,
    ) -> TrafficSnapshot {
        let mut snapshot = TrafficSnapshot { regions: self.regions(present), ..TrafficSnapshot::default() };
        // The group of all clients is spread over all regions and has no home.
        for (group, regions) in self.demand.iter().filter(|(group, _)| **group != Group::All) {
            let rate = regions.values().sum::<u64>() as f64 / 1000.0;
            let home = regions.iter().max_by_key(|(_, milli)| **milli).map(|(region, _)| region.clone());
            // The first windows cover only a few edges: see `MIN_REPORTED_WINDOWS`.
            let home = home.filter(|_| self.reported_windows.get(group) >= Some(&MIN_REPORTED_WINDOWS));
            snapshot.demand.insert(group.clone(), Demand { rate, home });
            snapshot.allowed.insert(group.clone(), allowed(group));
        }
        snapshot
    }

    /// Returns the entries that the leader proposes at this time: the end of a window, or the plan from it.
    /// Depends on replicated state alone, so that every leader proposes the same; empty while no edge
    /// reports.
    pub fn propose(
        &self,
        now_ms: u64,
        tables: &Tables,
        present: impl Fn(&str) -> bool,
        allowed: impl Fn(&Group) -> BTreeSet<String>,
    ) -> Vec<Entry> {
        if self.planned_window < self.window {
            let snapshot = self.snapshot(present, allowed);
            let mut planner = Planner::of(&self.memory, &self.explorations);
            let next = planner.plan(self.now_ms, &snapshot, &self.estimates, tables);
            let planned = Entry::Planned { number: self.window, memory: planner.memory().clone() };
            let steps = next.map(|next| Entry::between(tables, &next)).unwrap_or_default();
            return std::iter::once(planned).chain(steps).collect();
        }
        // Waits for the longest report interval, so that each edge has reported once.
        let Some(interval_ms) = self.edges.values().map(|edge| edge.interval_ms).max() else {
            return Vec::new();
        };
        if now_ms < self.now_ms.saturating_add(u64::from(interval_ms)) {
            return Vec::new();
        }
        vec![Entry::Window { number: self.window + 1, now_ms }]
    }
}

#[cfg(test)]
mod tests;
