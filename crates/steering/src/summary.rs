//! What edges tell of what they saw: counts for each group of clients, which merge to the same whatever their order.

use crate::group::{Group, MAX_GROUP_NAME_BYTES};
use crate::sketch::Sketch;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The time that one summary of an edge covers, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;
/// Bytes of one edge's summary. With the window, an edge tells 410 bytes a second at most, and 300 edges 120 KiB.
pub const MAX_SUMMARY_BYTES: usize = 4096;
/// Edges in one summary that was merged from many, as many as a fleet has members.
pub const MAX_SOURCES: usize = 1024;
/// Groups of one edge in one summary: what has a few bytes each fits.
pub const MAX_GROUPS_PER_SUMMARY: usize = 256;

/// Who saw it, and when.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// The edge.
    pub edge: String,
    /// Where it is.
    pub region: String,
    /// Grows with each summary of this edge.
    pub window: u64,
}

/// What an edge saw of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStats {
    /// Round trips, without what the edge's own queue took.
    pub round_trips: Sketch,
    /// How much later than the soonest of its window an arrival was: clocks cancel out.
    pub arrival_jitter: Sketch,
    /// The shortest gap between an answer and the next request: a round trip takes no longer.
    pub shortest_gap_us: Option<u32>,
    /// Who gave up waiting. They took at least as long as the slowest who did not.
    pub timed_out: u32,
    /// Connections that were reset.
    pub resets: u32,
    /// Requests that came, whether anything was measured of them or not.
    pub requests: u32,
    /// Who was sent elsewhere before anything was measured: it is not known how long they would have taken.
    pub steered_away: u32,
}

impl GroupStats {
    /// Takes in all of another.
    pub fn merge(&mut self, other: &GroupStats) {
        self.round_trips.merge(&other.round_trips);
        self.arrival_jitter.merge(&other.arrival_jitter);
        self.shortest_gap_us = self.shortest_gap_us.into_iter().chain(other.shortest_gap_us).min();
        self.timed_out = self.timed_out.saturating_add(other.timed_out);
        self.resets = self.resets.saturating_add(other.resets);
        self.requests = self.requests.saturating_add(other.requests);
        self.steered_away = self.steered_away.saturating_add(other.steered_away);
    }

    /// How much it tells: samples of any kind.
    pub fn weight(&self) -> u64 {
        let unanswered = u64::from(self.timed_out) + u64::from(self.resets) + u64::from(self.steered_away);
        self.round_trips.count() + unanswered + u64::from(self.requests)
    }
}

/// What one or many edges saw.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    by_source: BTreeMap<Source, BTreeMap<Group, GroupStats>>,
}

impl Summary {
    /// What one edge saw in one window, within [`MAX_SUMMARY_BYTES`]: what tells least is told as its wider group's. Returns also
    /// how many groups were not told at all.
    pub fn of(source: Source, mut stats_by_group: BTreeMap<Group, GroupStats>) -> (Summary, usize) {
        let mut dropped = 0;
        loop {
            let summary = Summary { by_source: BTreeMap::from([(source.clone(), stats_by_group)]) };
            let bytes = summary.to_bytes().len();
            stats_by_group = summary.by_source.into_values().next().unwrap_or_default();
            if bytes <= MAX_SUMMARY_BYTES && stats_by_group.len() <= MAX_GROUPS_PER_SUMMARY {
                return (Summary { by_source: BTreeMap::from([(source, stats_by_group)]) }, dropped);
            }
            // All clients come last: the others are told as theirs.
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

    /// Takes in all of another. Sources beyond [`MAX_SOURCES`] are left out, the last in order first, so that the order in which
    /// they came does not matter.
    pub fn merge(&mut self, other: &Summary) {
        for (source, stats_by_group) in &other.by_source {
            let mine = self.by_source.entry(source.clone()).or_default();
            for (group, stats) in stats_by_group {
                mine.entry(group.clone()).or_default().merge(stats);
            }
            while mine.len() > MAX_GROUPS_PER_SUMMARY {
                mine.pop_last();
            }
        }
        while self.by_source.len() > MAX_SOURCES {
            self.by_source.pop_last();
        }
    }

    /// What each edge saw.
    pub fn by_source(&self) -> impl Iterator<Item = (&Source, &BTreeMap<Group, GroupStats>)> {
        self.by_source.iter()
    }

    /// As bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Maps and integers can always be written into a vector.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From bytes of an edge, or of many; `None` if they break a bound.
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
