//! Summaries that edges report: statistics by group of clients. Merging gives the same result in any order.

use crate::group::{Group, MAX_GROUP_NAME_BYTES};
use crate::sketch::Sketch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time covered by one summary of an edge, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;
/// Maximum size of one edge's summary. With this window an edge sends at most 410 bytes per second, and 300
/// edges 120 KiB.
pub const MAX_SUMMARY_BYTES: usize = 4096;
/// Maximum number of sources in a merged summary: the maximum number of members of a fleet.
pub const MAX_SOURCES: usize = 1024;
/// Maximum number of groups of one edge in a summary: statistics of a few bytes each fit into its size.
pub const MAX_GROUPS_PER_SUMMARY: usize = 256;

/// Edge and window that statistics come from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// Name of the edge.
    pub edge: String,
    /// Region of the edge.
    pub region: String,
    /// Incremented with each summary of this edge.
    pub window: u64,
}

/// Statistics of one group at one edge.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStats {
    /// Round-trip times, without the time in the edge's own queue.
    pub round_trips: Sketch,
    /// Delay of arrivals relative to the earliest of the window, in which clock offsets cancel out.
    pub arrival_jitter: Sketch,
    /// Shortest gap between an answer and the next request: an upper bound of the round trip.
    pub shortest_gap_us: Option<u32>,
    /// Requests whose clients gave up. They took at least as long as the slowest answered one.
    pub timed_out: u32,
    /// Connections that were reset.
    pub resets: u32,
    /// Requests received, measured or not.
    pub requests: u32,
    /// Requests redirected before anything was measured: their delay is unknown.
    pub steered_away: u32,
}

impl GroupStats {
    /// Merges another one into this one.
    pub fn merge(&mut self, other: &GroupStats) {
        self.round_trips.merge(&other.round_trips);
        self.arrival_jitter.merge(&other.arrival_jitter);
        self.shortest_gap_us = self.shortest_gap_us.into_iter().chain(other.shortest_gap_us).min();
        self.timed_out = self.timed_out.saturating_add(other.timed_out);
        self.resets = self.resets.saturating_add(other.resets);
        self.requests = self.requests.saturating_add(other.requests);
        self.steered_away = self.steered_away.saturating_add(other.steered_away);
    }

    /// Returns the number of samples of any kind.
    pub fn weight(&self) -> u64 {
        let unanswered = u64::from(self.timed_out) + u64::from(self.resets) + u64::from(self.steered_away);
        self.round_trips.count() + unanswered + u64::from(self.requests)
    }
}

/// Statistics of one or many edges.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    by_source: BTreeMap<Source, BTreeMap<Group, GroupStats>>,
}

impl Summary {
    /// Builds the summary of one edge and window within [`MAX_SUMMARY_BYTES`] by merging the groups with the
    /// fewest samples into their wider groups. Also returns the number of groups that were dropped.
    pub fn of(source: Source, mut stats_by_group: BTreeMap<Group, GroupStats>) -> (Summary, usize) {
        let mut dropped = 0;
        loop {
            let summary = Summary { by_source: BTreeMap::from([(source.clone(), stats_by_group)]) };
            let bytes = summary.to_bytes().len();
            stats_by_group = summary.by_source.into_values().next().unwrap_or_default();
            if bytes <= MAX_SUMMARY_BYTES && stats_by_group.len() <= MAX_GROUPS_PER_SUMMARY {
                return (Summary { by_source: BTreeMap::from([(source, stats_by_group)]) }, dropped);
            }
            // The group of all clients comes last, as the others are merged into it.
            let order = |(group, stats): &(&Group, &GroupStats)| (group.parent().is_none(), stats.weight());
            let least = stats_by_group.iter().min_by_key(order).map(|(group, _)| group.clone());
            let Some((group, stats)) = least.and_then(|group| stats_by_group.remove_entry(&group)) else {
                return (Summary::default(), dropped + 1);
            };
            match group.parent() {
                Some(parent) => stats_by_group.entry(parent).or_default().merge(&stats),
                None => dropped += 1,
            }
        }
    }

    /// Merges another summary. Sources beyond [`MAX_SOURCES`] are dropped from the end of their order, so
    /// that the order of merging does not matter.
    pub fn merge(&mut self, other: &Summary) {
        for (source, stats_by_group) in &other.by_source {
            let merged = self.by_source.entry(source.clone()).or_default();
            for (group, stats) in stats_by_group {
                merged.entry(group.clone()).or_default().merge(stats);
            }
            while merged.len() > MAX_GROUPS_PER_SUMMARY {
                merged.pop_last();
            }
        }
        while self.by_source.len() > MAX_SOURCES {
            self.by_source.pop_last();
        }
    }

    /// Iterates over the statistics of each source.
    pub fn by_source(&self) -> impl Iterator<Item = (&Source, &BTreeMap<Group, GroupStats>)> {
        self.by_source.iter()
    }

    /// Serializes to bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serializing maps and integers into a vector cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Deserializes a summary of one or many edges; `None` if it violates a bound.
    pub fn from_bytes(bytes: &[u8]) -> Option<Summary> {
        let summary: Summary = postcard::from_bytes(bytes).ok()?;
        let names = |source: &Source| {
            source.edge.len() <= MAX_GROUP_NAME_BYTES && source.region.len() <= MAX_GROUP_NAME_BYTES
        };
        let stats_by_group = |stats_by_group: &BTreeMap<Group, GroupStats>| {
            let sound = |stats: &GroupStats| stats.round_trips.is_valid() && stats.arrival_jitter.is_valid();
            stats_by_group.len() <= MAX_GROUPS_PER_SUMMARY
                && stats_by_group.iter().all(|(group, stats)| group.is_valid() && sound(stats))
        };
        let sound = summary.by_source.len() <= MAX_SOURCES
            && summary.by_source.iter().all(|(source, of)| names(source) && stats_by_group(of));
        sound.then_some(summary)
    }
}

#[cfg(test)]
mod tests;
