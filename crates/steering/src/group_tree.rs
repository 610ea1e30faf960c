//! Tree of the groups that an edge reports separately: a group splits when its subgroups differ by more than
//! noise, and merges again when they do not.

use crate::group::{Client, Group};
use crate::tables::MAX_GROUPS;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of groups with statistics, candidates for a split included. Each takes some 150 bytes: 75
/// KiB.
pub const MAX_NODES: usize = 512;
/// Minimum number of samples of a subgroup for it to be compared.
const MIN_SAMPLES: f64 = 8.0;
/// Difference between subgroups (of the logarithm: 10 %) above which a group splits.
const SPLIT_THRESHOLD: f64 = 0.10;
/// Difference below which a group merges; half of the split threshold, so that a group does not flap.
const MERGE_THRESHOLD: f64 = 0.05;
/// Factor that the weight of old samples is multiplied by after each window.
const DECAY_PER_WINDOW: f64 = 0.8;

#[derive(Clone, Debug, Default)]
struct NodeStats {
    samples: f64,
    mean: f64,
    squared_deviations: f64,
}

impl NodeStats {
    fn add(&mut self, x: f64) {
        self.samples += 1.0;
        let deviation = x - self.mean;
        self.mean += deviation / self.samples;
        self.squared_deviations += deviation * (x - self.mean);
    }
}

/// Groups of an edge.
#[derive(Clone, Debug, Default)]
pub struct GroupTree {
    nodes: BTreeMap<Group, NodeStats>,
    split: BTreeSet<Group>,
    in_table: BTreeSet<Group>,
    split_all: bool,
}

impl GroupTree {
    /// Sets the table in force: its groups are split by every edge, however few samples it has of them.
    pub fn follow_table<'a>(&mut self, rows: impl Iterator<Item = &'a Group>) {
        self.in_table = rows.take(MAX_GROUPS).flat_map(|row| row.upwards().skip(1)).collect();
    }

    /// Returns the group that a client is reported under.
    pub fn group_of(&self, client: &Client) -> Group {
        self.locate(client).0
    }

    /// Keeps the group of all clients split.
    pub fn always_split_all(&mut self) {
        self.split_all = true;
    }

    /// Returns the group that a client is reported under, and the next narrower one if there is any.
    fn locate(&self, client: &Client) -> (Group, Option<Group>) {
        let mut groups: Vec<Group> = Group::narrowest(client).upwards().collect();
        let mut at = groups.pop().unwrap_or(Group::All);
        while let Some(next) = groups.pop() {
            let always = self.split_all && at == Group::All;
            if !always && !self.split.contains(&at) && !self.in_table.contains(&at) {
                return (at, Some(next));
            }
            at = next;
        }
        (at, None)
    }

    /// Records a delay of a client, and returns the group that it is reported under.
    pub fn record(&mut self, client: &Client, us: u32) -> Group {
        let x = f64::from(us.max(1)).ln();
        let (group, part) = self.locate(client);
        for of in [Some(&group), part.as_ref()].into_iter().flatten() {
            if self.nodes.len() < MAX_NODES || self.nodes.contains_key(of) {
                self.nodes.entry(of.clone()).or_default().add(x);
            }
        }
        group
    }

    /// Returns the difference between the subgroups of each group beyond chance; groups with too few
    /// comparable subgroups are left out.
    fn separations(&self) -> BTreeMap<Group, f64> {
        let mut parts: BTreeMap<Group, Vec<&NodeStats>> = BTreeMap::new();
        for (group, node) in self.nodes.iter().filter(|(_, node)| node.samples >= MIN_SAMPLES) {
            if let Some(parent) = group.parent() {
                parts.entry(parent).or_default().push(node);
            }
        }
        let separation = |(group, parts): (Group, Vec<&NodeStats>)| {
            if let ([only], Some(whole)) = (&parts[..], self.nodes.get(&group)) {
                // The only subgroup costs no more than the whole group, and its own subgroups become visible.
                let redundant = !self.split.contains(&group) && only.samples > 0.95 * whole.samples;
                return redundant.then_some((group, f64::MAX));
            }
            if parts.len() < 2 {
                return None;
            }
            let n: f64 = parts.iter().map(|part| part.samples).sum();
            let mean = parts.iter().map(|part| part.samples * part.mean).sum::<f64>() / n;
            let separation =
                parts.iter().map(|part| part.samples * (part.mean - mean).powi(2)).sum::<f64>() / n;
            let within = parts.iter().map(|part| part.squared_deviations).sum::<f64>() / n;
            Some((group, (separation - within * parts.len() as f64 / n).max(0.0).sqrt()))
        };
        parts.into_iter().filter_map(separation).collect()
    }

    /// Ends a window: splits and merges groups.
    pub fn end_window(&mut self) {
        let separations = self.separations();
        if self.nodes.len() <= MAX_NODES * 3 / 4 {
            let splits = separations.iter().filter(|(group, separation)| {
                **separation > SPLIT_THRESHOLD && self.nodes.contains_key(group)
            });
            self.split.extend(splits.map(|(group, _)| group.clone()));
        }
        let inner: BTreeSet<Group> = self.split.iter().filter_map(Group::parent).collect();
        let outermost = self.split.iter().filter(|group| !inner.contains(group));
        let leaves: Vec<(f64, Group)> =
            outermost.map(|group| (separations.get(group).copied().unwrap_or(0.0), group.clone())).collect();
        // A group without samples in one window may only be idle: its weight decays first.
        let is_quiet = |group: &Group| self.nodes.get(group).is_none_or(|node| node.samples < 1.0);
        let mut merges: Vec<Group> = leaves
            .iter()
            .filter(|(separation, group)| {
                *separation < MERGE_THRESHOLD && (separations.contains_key(group) || is_quiet(group))
            })
            .map(|(_, group)| group.clone())
            .collect();
        if self.nodes.len() == MAX_NODES && merges.is_empty() {
            // The group with the smallest difference makes room.
            merges.extend(leaves.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, group)| group));
        }
        for group in merges {
            self.split.remove(&group);
            // Groups below its direct subgroups are no longer tracked.
            self.nodes.retain(|of, _| !of.upwards().skip(2).any(|up| up == group));
        }
        let split = &self.split;
        self.nodes.retain(|group, node| {
            node.samples *= DECAY_PER_WINDOW;
            node.squared_deviations *= DECAY_PER_WINDOW;
            node.samples >= 0.5 || split.contains(group)
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn client(a: u8, b: u8) -> Client {
        Client::Address(std::net::IpAddr::from([10, a, b, 1]))
    }

    fn window(groups: &mut GroupTree, far: u8, factor: u32) {
        for i in 0..40u8 {
            for a in 0..2 {
                let noise = 100 * u32::from(i % 7);
                groups
                    .record(&client(a, i % 4), if a == far { 20_000 * factor / 10 } else { 20_000 } + noise);
            }
        }
        groups.end_window();
    }

    #[test]
    fn groups_split_when_delays_differ_and_merge_again() {
        let mut groups = GroupTree::default();
        let eighth = Group::named("10.0.0.0/8");
        (0..3).for_each(|_| window(&mut groups, 1, 10));
        assert_eq!(groups.group_of(&client(1, 1)), eighth);
        (0..3).for_each(|_| window(&mut groups, 1, 20));
        assert_eq!(groups.group_of(&client(1, 1)), Group::named("10.1.0.0/16"));
        for _ in 0..60 {
            window(&mut groups, 1, 10);
        }
        assert_eq!(groups.group_of(&client(1, 1)), eighth);
    }

    #[test]
    fn the_number_of_nodes_is_bounded() {
        let mut groups = GroupTree::default();
        for round in 0..6u32 {
            for i in 0..30_000u32 {
                let (a, b) = ((i % 251) as u8, (i / 251) as u8);
                groups.record(&client(a, b), 1000 + 700 * u32::from(a) + round);
                groups.record(&Client::Balancer(i), 1000 * (i % 90));
                assert!(groups.nodes.len() <= MAX_NODES);
            }
            groups.end_window();
        }
        assert!(groups.nodes.len() > MAX_NODES / 4);
    }
}
