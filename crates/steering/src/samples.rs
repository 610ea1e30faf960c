//! Collects the delays that an edge observes in its ordinary traffic into summaries.

use crate::group::{Client, Group};
use crate::group_tree::GroupTree;
use crate::mutants::{Mutant, is_active};
use crate::summary::{GroupStats, MAX_GROUPS_PER_SUMMARY, Source, Summary};
use crate::tables::Tables;
use std::collections::BTreeMap;

/// Arrival offsets of a group that are kept per window: enough for a distribution.
pub const MAX_ARRIVAL_OFFSETS: usize = 32;

/// Observation of a client by an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Round-trip time of a connection as measured by the kernel.
    RoundTrip {
        /// Duration in microseconds.
        us: u32,
    },
    /// Time from the answer to a client's first packet until its next packet was read.
    Handshake {
        /// Duration in microseconds.
        us: u32,
        /// Part of it spent in the edge's own queue.
        queue_us: u32,
    },
    /// Time from an answer until the next request of the same connection was read.
    Gap {
        /// Duration in microseconds.
        us: u32,
        /// Part of it spent in the edge's own queue.
        queue_us: u32,
    },
    /// Request with its send time, by a clock that may be wrong.
    Arrival {
        /// Send time, by the sender's clock.
        sent_us: i64,
        /// Arrival time, by the edge's clock.
        received_us: i64,
    },
    /// Request received.
    Request,
    /// Connection reset before its answer was read.
    Reset,
    /// Client gave up waiting.
    TimedOut,
    /// Client redirected to another region.
    SteeredAway,
}

/// Collector of one edge, with its current window.
#[derive(Clone, Debug)]
pub struct Edge {
    name: String,
    region: String,
    window: u64,
    groups: GroupTree,
    stats_by_group: BTreeMap<Group, GroupStats>,
    arrival_offsets: BTreeMap<Group, Vec<i64>>,
    /// Samples that were not reported, as there were too many groups.
    pub dropped_samples: u64,
}

impl Edge {
    /// Creates an edge whose next window has this number. It must exceed the numbers of earlier incarnations,
    /// for example by being derived from the time.
    pub fn new(name: &str, region: &str, window: u64) -> Edge {
        let (stats_by_group, arrival_offsets) = (BTreeMap::new(), BTreeMap::new());
        let groups = GroupTree::default();
        Edge {
            name: name.into(),
            region: region.into(),
            window,
            groups,
            stats_by_group,
            arrival_offsets,
            dropped_samples: 0,
        }
    }

    /// Keeps the group of all clients split, however small the differences: needed where demand is counted
    /// from the reports.
    pub fn splitting_all(mut self) -> Edge {
        self.groups.always_split_all();
        self
    }

    /// Returns the groups that it reports separately.
    pub fn groups(&self) -> &GroupTree {
        &self.groups
    }

    /// Sets the table in force.
    pub fn follow_table(&mut self, tables: &Tables) {
        self.groups.follow_table(tables.rows.keys());
    }

    /// Records an observation of a client.
    pub fn record(&mut self, client: &Client, observation: Observation) {
        let round_trip_us = match observation {
            Observation::RoundTrip { us } => Some(us),
            // Queueing time belongs to the edge, not to the network path.
            Observation::Handshake { us, queue_us } if !is_active(Mutant::QueueCountedAsPath) => {
                Some(us.saturating_sub(queue_us))
            }
            Observation::Handshake { us, .. } => Some(us),
            Observation::Arrival { sent_us, received_us } if is_active(Mutant::ClocksBelieved) => {
                u32::try_from(2 * received_us.saturating_sub(sent_us).max(0)).ok()
            }
            _ => None,
        };
        let group = match round_trip_us {
            Some(us) => self.groups.record(client, us),
            None => self.groups.group_of(client),
        };
        if self.stats_by_group.len() >= MAX_GROUPS_PER_SUMMARY && !self.stats_by_group.contains_key(&group) {
            self.dropped_samples += 1;
            return;
        }
        let stats = self.stats_by_group.entry(group.clone()).or_default();
        if let Some(us) = round_trip_us {
            stats.round_trips.add(us);
        }
        match observation {
            Observation::Gap { us, queue_us } => {
                let gap = us.saturating_sub(queue_us);
                stats.shortest_gap_us = Some(stats.shortest_gap_us.map_or(gap, |least| least.min(gap)));
            }
            Observation::Arrival { sent_us, received_us } => {
                let arrival_offsets = self.arrival_offsets.entry(group).or_default();
                if arrival_offsets.len() < MAX_ARRIVAL_OFFSETS {
                    arrival_offsets.push(received_us.saturating_sub(sent_us));
                }
            }
            Observation::Request => stats.requests = stats.requests.saturating_add(1),
            Observation::Reset => stats.resets = stats.resets.saturating_add(1),
            Observation::TimedOut => stats.timed_out = stats.timed_out.saturating_add(1),
            Observation::SteeredAway => stats.steered_away = stats.steered_away.saturating_add(1),
            Observation::RoundTrip { .. } | Observation::Handshake { .. } => {}
        }
    }

    /// Ends the window and returns its summary.
    pub fn close_window(&mut self) -> Summary {
        for (group, arrival_offsets) in std::mem::take(&mut self.arrival_offsets) {
            // The clock offset is common to all of them, and drifts little within a window.
            let Some(&earliest) = arrival_offsets.iter().min() else { continue };
            let Some(stats) = self.stats_by_group.get_mut(&group) else { continue };
            for offset in arrival_offsets {
                stats.arrival_jitter.add(u32::try_from(offset.saturating_sub(earliest)).unwrap_or(u32::MAX));
            }
        }
        self.groups.end_window();
        let source = Source { edge: self.name.clone(), region: self.region.clone(), window: self.window };
        self.window += 1;
        let (summary, dropped_samples) = Summary::of(source, std::mem::take(&mut self.stats_by_group));
        self.dropped_samples += dropped_samples as u64;
        summary
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn client() -> Client {
        Client::Balancer(1)
    }

    fn stats(edge: &mut Edge) -> GroupStats {
        edge.close_window().by_source().next().unwrap().1.values().next().unwrap().clone()
    }

    #[test]
    fn queueing_time_is_subtracted_and_the_shortest_gap_is_kept() {
        let mut edge = Edge::new("n1", "norte", 1);
        edge.record(&client(), Observation::Handshake { us: 90_000, queue_us: 80_000 });
        edge.record(&client(), Observation::Gap { us: 700_000, queue_us: 80_000 });
        edge.record(&client(), Observation::Gap { us: 95_000, queue_us: 80_000 });
        let stats = stats(&mut edge);
        assert!((9_840..=10_160).contains(&stats.round_trips.value_at_rank(0).unwrap()));
        assert_eq!(stats.shortest_gap_us, Some(15_000));
    }

    #[test]
    fn clock_offsets_of_hours_do_not_affect_arrival_jitter() {
        let mut edge = Edge::new("n1", "norte", 1);
        for late in 0..80i64 {
            let sent_us = -9_000_000_000 + late * 1000;
            edge.record(&client(), Observation::Arrival { sent_us, received_us: late * 1000 + late * 10 });
        }
        let stats = stats(&mut edge);
        assert_eq!(
            (stats.round_trips.count(), stats.arrival_jitter.count()),
            (0, MAX_ARRIVAL_OFFSETS as u64)
        );
        assert!(stats.arrival_jitter.value_at_rank(31).unwrap() < 320, "{stats:?}");
    }

    #[test]
    fn samples_of_groups_beyond_the_limit_are_counted_as_dropped() {
        let mut edge = Edge::new("n1", "norte", 1);
        for window in 0..4u32 {
            for i in 0..MAX_GROUPS_PER_SUMMARY as u32 * 60 {
                let us = 1000 + 997 * (i % 300);
                edge.record(&Client::Balancer(i % 300), Observation::RoundTrip { us: us + window });
            }
            assert!(edge.stats_by_group.len() <= MAX_GROUPS_PER_SUMMARY);
            assert!(edge.close_window().to_bytes().len() <= crate::summary::MAX_SUMMARY_BYTES);
        }
        assert!(edge.dropped_samples > 0);
    }
}
