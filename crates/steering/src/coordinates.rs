//! Predicts the delays of unmeasured pairs from network coordinates, as in Vivaldi: groups and regions are
//! points in a space, and a group has a height for its last mile, so that delay = distance + height. Here one
//! process has all pairs, and fits them in sweeps.

use crate::group::Group;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of dimensions: three embed the surface of a globe without a seam.
const DIMENSIONS: usize = 3;
/// Sweeps over all pairs per window.
const SWEEPS: usize = 6;
/// Random starts that are tried when the present fit is bad or regions are new, as one can end in a local
/// minimum.
const RESTARTS: u64 = 8;
/// Sweeps per random start.
const SWEEPS_PER_RESTART: usize = 60;
/// A fit with a greater error is restarted.
const BAD_FIT: f64 = 0.20;
/// Windows between two restarts.
const MIN_WINDOWS_BETWEEN_RESTARTS: u64 = 12;
/// Minimum predicted delay, in milliseconds.
const MIN_DELAY_MS: f64 = 0.2;
/// Fraction of an error that is corrected per step, at the first and at the last sweep.
const LEARNING_RATES: (f64, f64) = (0.5, 0.08);

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Point {
    position: [f64; DIMENSIONS],
    height: f64,
    pairs: usize,
}

/// Measured delay of a pair.
#[derive(Clone, Copy, Debug)]
pub struct KnownDelay<'a> {
    /// Group.
    pub group: &'a Group,
    /// Region.
    pub region: &'a str,
    /// Delay, in milliseconds.
    pub ms: f64,
}

/// Coordinates of groups and regions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Coordinates {
    groups: BTreeMap<Group, Point>,
    regions: BTreeMap<String, Point>,
    error: f64,
    windows: u64,
}

/// Returns a deterministic pseudorandom number from -1 to 1: a start only has to be in general position.
fn unit_hash(of: u64, at: u64) -> f64 {
    let mut x = of.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ at.wrapping_mul(0xd1b5_4a32_d192_ed03);
    x = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((x ^ (x >> 32)) % 2000) as f64 / 1000.0 - 1.0
}

fn distance(one: &Point, two: &Point) -> f64 {
    one.position.iter().zip(two.position).map(|(a, b)| (a - b).powi(2)).sum::<f64>().sqrt()
}

struct Fit {
    groups: Vec<Point>,
    regions: Vec<Point>,
}

impl Fit {
    fn sweep(&mut self, pairs: &[(usize, usize, f64)], rate: f64) {
        for &(g, r, ms) in pairs {
            let (group, region) = (self.groups[g], self.regions[r]);
            let separation = distance(&group, &region).max(1e-6);
            // Near pairs count more, as the relative error matters.
            let correction = rate * (ms - separation - group.height) * (30.0 / ms).clamp(0.3, 1.0);
            let shift = 0.5 * correction / separation;
            // A region takes part in many pairs, so it moves less for each.
            let damping = 4.0 / (4.0 + region.pairs as f64);
            for d in 0..DIMENSIONS {
                let along = group.position[d] - region.position[d];
                self.groups[g].position[d] += shift * along;
                self.regions[r].position[d] -= shift * along * damping;
            }
            self.groups[g].height = (group.height + 0.3 * correction).max(0.0);
        }
    }

    fn error(&self, pairs: &[(usize, usize, f64)]) -> f64 {
        let off = |&(g, r, ms): &(usize, usize, f64)| {
            let (group, region) = (&self.groups[g], &self.regions[r]);
            ((distance(group, region) + group.height).max(MIN_DELAY_MS) / ms).ln().powi(2)
        };
        (pairs.iter().map(off).sum::<f64>() / pairs.len().max(1) as f64).sqrt()
    }
}

impl Coordinates {
    /// Continues the fit with all known delays. The work is bounded: a fixed number of sweeps over the pairs.
    pub fn fit(&mut self, known: &[KnownDelay]) {
        if known.is_empty() {
            return;
        }
        self.windows += 1;
        let groups: Vec<&Group> = known
            .iter()
            .map(|pair| pair.group)
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect();
        let regions: Vec<&str> = known
            .iter()
            .map(|pair| pair.region)
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect();
        let mut pairs = Vec::with_capacity(known.len());
        let (mut of_group, mut of_region) = (vec![0; groups.len()], vec![0; regions.len()]);
        for pair in known {
            let g = groups.binary_search(&pair.group).unwrap_or_default();
            let r = regions.binary_search(&pair.region).unwrap_or_default();
            of_group[g] += 1;
            of_region[r] += 1;
            pairs.push((g, r, pair.ms.max(MIN_DELAY_MS)));
        }
        let new = regions.iter().any(|&region| !self.regions.contains_key(region));
        let restart =
            new || (self.error > BAD_FIT && self.windows.is_multiple_of(MIN_WINDOWS_BETWEEN_RESTARTS));
        let mut best = self.warm_start(&groups, &regions, (&of_group, &of_region), &pairs);
        for _ in 0..SWEEPS {
            best.sweep(&pairs, LEARNING_RATES.1);
        }
        for start in 0..if restart { RESTARTS } else { 0 } {
            let mut fit = self.random_start((&of_group, &of_region), start);
            for sweep in 0..SWEEPS_PER_RESTART {
                let done = sweep as f64 / SWEEPS_PER_RESTART as f64;
                fit.sweep(&pairs, LEARNING_RATES.0 + (LEARNING_RATES.1 - LEARNING_RATES.0) * done);
            }
            if fit.error(&pairs) < best.error(&pairs) {
                best = fit;
            }
        }
        self.error = best.error(&pairs);
        self.groups = groups.into_iter().cloned().zip(best.groups).collect();
        self.regions = regions.into_iter().map(String::from).zip(best.regions).collect();
    }

    fn warm_start(
        &self,
        groups: &[&Group],
        regions: &[&str],
        of: (&[usize], &[usize]),
        pairs: &[(usize, usize, f64)],
    ) -> Fit {
        let region = |(r, name): (usize, &&str)| {
            let fresh = || Point {
                position: std::array::from_fn(|d| 30.0 * unit_hash(r as u64 + 1, d as u64)),
                ..Point::default()
            };
            Point { pairs: of.1[r], ..self.regions.get(*name).copied().unwrap_or_else(fresh) }
        };
        let regions: Vec<Point> = regions.iter().enumerate().map(region).collect();
        let group = |(g, group): (usize, &&Group)| {
            // A new group starts at a sibling of the same wider group, or else at its nearest region.
            let fresh = || {
                let parent = group.parent();
                let sibling =
                    self.groups.iter().find(|(of, _)| of.parent() == parent).map(|(_, point)| *point);
                let near = pairs.iter().filter(|pair| pair.0 == g).min_by(|a, b| a.2.total_cmp(&b.2));
                let mut at = sibling.or(near.map(|pair| regions[pair.1])).unwrap_or_default();
                at.position
                    .iter_mut()
                    .enumerate()
                    .for_each(|(d, x)| *x += unit_hash(g as u64 + 99, d as u64));
                at
            };
            Point { pairs: of.0[g], ..self.groups.get(*group).copied().unwrap_or_else(fresh) }
        };
        Fit { groups: groups.iter().enumerate().map(group).collect(), regions }
    }

    fn random_start(&self, of: (&[usize], &[usize]), start: u64) -> Fit {
        let point = |side: u64, i: usize, pairs: usize| Point {
            position: std::array::from_fn(|d| 60.0 * unit_hash(start * 7919 + side + i as u64, d as u64)),
            height: 2.0,
            pairs,
        };
        let groups = of.0.iter().enumerate().map(|(i, &pairs)| point(10_000, i, pairs)).collect();
        Fit { groups, regions: of.1.iter().enumerate().map(|(i, &pairs)| point(50_000, i, pairs)).collect() }
    }

    /// Returns the logarithm of the delay in milliseconds and its standard deviation; `None` if the region or
    /// the group is unknown.
    pub fn predict(&self, group: &Group, region: &str) -> Option<(f64, f64)> {
        let to = self.regions.get(region)?;
        let (up, at) = group.upwards().enumerate().find_map(|(up, of)| Some((up, self.groups.get(&of)?)))?;
        let ms = (distance(at, to) + at.height).max(MIN_DELAY_MS);
        // With one distance the direction is unknown, with two there are two solutions; the position of a
        // wider group is only approximate.
        let open = [1.0, 0.6, 0.3, 0.15].get(at.pairs).copied().unwrap_or(0.08);
        Some((ms.ln(), (1.5 * self.error).max(0.10) + open + 0.2 * up as f64))
    }
}
