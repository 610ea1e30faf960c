//! Which groups an edge tells apart: a group splits when its parts differ by more than noise, and joins again when they do not.

use crate::group::{Client, Group};
use crate::tables::MAX_GROUPS;
use std::collections::{BTreeMap, BTreeSet};

/// Groups of which an edge keeps anything, parts that might become groups among them. Each takes some 150 bytes: 75 KiB.
pub const MAX_NODES: usize = 512;
/// Samples that a part needs before it says anything.
const MIN_SAMPLES: f64 = 8.0;
/// Parts that differ so much (of the logarithm: 10 %) are told apart.
const SPLIT_THRESHOLD: f64 = 0.10;
/// Parts that differ less are told as one; half of the other, so that a group does not flap.
const MERGE_THRESHOLD: f64 = 0.05;
/// How much of the past counts after each window.
const DECAY_PER_WINDOW: f64 = 0.8;

#[derive(Clone, Debug, Default)]
struct NodeStats {
    n: f64,
    mean: f64,
    squares: f64,
}

impl NodeStats {
    fn add(&mut self, x: f64) {
        self.n += 1.0;
        let off = x - self.mean;
        self.mean += off / self.n;
        self.squares += off * (x - self.mean);
    }
}

/// The groups of an edge.
#[derive(Clone, Debug, Default)]
pub struct GroupTree {
    nodes: BTreeMap<Group, NodeStats>,
    split: BTreeSet<Group>,
    in_table: BTreeSet<Group>,
    split_all: bool,
}

impl GroupTree {
    /// The groups of the table in force are told apart by every edge, however little each sees of them.
    pub fn follow_table<'a>(&mut self, rows: impl Iterator<Item = &'a Group>) {
        self.in_table = rows.take(MAX_GROUPS).flat_map(|row| row.upwards().skip(1)).collect();
    }

    /// The group that a client is told under.
    pub fn group_of(&self, client: &Client) -> Group {
        self.locate(client).0
    }

    /// All clients together are never told as one.
    pub fn always_split_all(&mut self) {
        self.split_all = true;
    }

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

    /// Takes in a delay of a client, and says under which group it is told.
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

    /// How far the parts of each group are apart beyond what chance makes of them; nothing of groups of which too few parts speak.
    fn separations(&self) -> BTreeMap<Group, f64> {
        let mut parts: BTreeMap<Group, Vec<&NodeStats>> = BTreeMap::new();
        for (group, node) in self.nodes.iter().filter(|(_, node)| node.n >= MIN_SAMPLES) {
            if let Some(parent) = group.parent() {
                parts.entry(parent).or_default().push(node);
            }
        }
        let separation = |(group, parts): (Group, Vec<&NodeStats>)| {
            if let ([only], Some(whole)) = (&parts[..], self.nodes.get(&group)) {
                // It is as good as the whole, costs no more, and shows what is below.
                let redundant = !self.split.contains(&group) && only.n > 0.95 * whole.n;
                return redundant.then_some((group, f64::MAX));
            }
            if parts.len() < 2 {
                return None;
            }
            let n: f64 = parts.iter().map(|part| part.n).sum();
            let mean = parts.iter().map(|part| part.n * part.mean).sum::<f64>() / n;
            let separation = parts.iter().map(|part| part.n * (part.mean - mean).powi(2)).sum::<f64>() / n;
            let within = parts.iter().map(|part| part.squares).sum::<f64>() / n;
            Some((group, (separation - within * parts.len() as f64 / n).max(0.0).sqrt()))
        };
        parts.into_iter().filter_map(separation).collect()
    }

    /// At the end of a window: splits and joins.
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
        // One that says nothing for a window may only be quiet: it fades first.
        let is_quiet = |group: &Group| self.nodes.get(group).is_none_or(|node| node.n < 1.0);
        let mut merges: Vec<Group> = leaves
            .iter()
            .filter(|(separation, group)| {
                *separation < MERGE_THRESHOLD && (separations.contains_key(group) || is_quiet(group))
            })
            .map(|(_, group)| group.clone())
            .collect();
        if self.nodes.len() == MAX_NODES && merges.is_empty() {
            // The least telling makes room.
            merges.extend(leaves.into_iter().min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, group)| group));
        }
        for group in merges {
            self.split.remove(&group);
            // What was below its parts is not looked at any more.
            self.nodes.retain(|of, _| !of.upwards().skip(2).any(|up| up == group));
        }
        let split = &self.split;
        self.nodes.retain(|group, node| {
            node.n *= DECAY_PER_WINDOW;
            node.squares *= DECAY_PER_WINDOW;
            node.n >= 0.5 || split.contains(group)
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
    fn groups_split_by_what_they_tell_and_join_again() {
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
    fn there_are_no_more_nodes_than_their_bound() {
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
