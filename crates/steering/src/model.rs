//! The delay of each group to each region, with how sure it is: what was measured, and a guess where nobody has.

use crate::coordinates::{Coordinates, KnownDelay};
use crate::group::Group;
use crate::mutants::{Mutant, is_active};
use crate::summary::{GroupStats, MAX_SOURCES, Summary};
use crate::tables::{MAX_GROUPS, MAX_REGIONS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Pairs that are kept.
pub const MAX_PAIRS: usize = MAX_GROUPS * MAX_REGIONS;
/// What one who gave up is counted with, in milliseconds: at least so long.
pub const TIMEOUT_DELAY_MS: f64 = 3000.0;
/// The variance of what a window tells, at least: routes wander.
const MIN_VARIANCE: f64 = 0.03 * 0.03;
/// How much the variance of old knowledge grows in a second: 10 % in ten minutes.
pub const VARIANCE_GROWTH_PER_SECOND: f64 = 0.1 * 0.1 / 600.0;
/// The same where most gave up: that is a bound and not a delay, and cuts heal.
const UNREACHABLE_VARIANCE_GROWTH_PER_SECOND: f64 = 1.0 / 300.0;
/// So many times its deviation off, a window is strange.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// Strange windows on one side, one after the other, that are a change of path and not noise.
const OUTLIERS_TO_RESET: i8 = 2;
/// The variance of that when it is new.
const UNREACHABLE_VARIANCE: f64 = 0.05 * 0.05;
/// What is added to the variance where one edge alone has told, of a region that has more: it cannot be outvoted.
const SINGLE_EDGE_VARIANCE: f64 = 0.25 * 0.25;
/// An edge whose delays are off by more than this (of the logarithm: 1.4 times) from what others tell is not believed.
const MAX_EDGE_BIAS: f64 = 0.35;
/// Edges of a region that are needed to outvote one.
const QUORUM: usize = 3;
/// What is known of the next wider group alone is off by 30 %.
const WIDER_GROUP_VARIANCE: f64 = 0.3 * 0.3;
/// No knowledge is less sure than this.
const MAX_DEVIATION: f64 = 2.0;

/// What is known of a delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The delay, in milliseconds.
    pub ms: f64,
    /// The deviation of its logarithm: 0.1 is 10 %.
    pub spread: f64,
    /// Whether it was ever measured, by this group or a wider one.
    pub measured: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct PairEstimate {
    log_ms: f64,
    variance: f64,
    at_ms: u64,
    outliers: i8,
    unreachable: bool,
    reporter: Reporter,
}

/// Who told something: one edge, by a number made from its name, or more than one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Reporter {
    One(u64),
    Many,
}

/// What one edge tells of a group.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    log_ms: f64,
    variance: f64,
    unreachable: bool,
    answered: u64,
    unanswered: u64,
    reporter: Reporter,
    /// Most edges say each for itself that most gave up.
    confirmed: bool,
}

/// What the edges of one region told of each group.
type RegionMeasurements<'a> = BTreeMap<Group, Vec<(&'a str, Measurement)>>;

/// All estimates.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    pairs: BTreeMap<(Group, String), PairEstimate>,
    windows: BTreeMap<String, u64>,
    /// How many edges of a region were ever heard.
    edges: BTreeMap<String, usize>,
    distrusted: BTreeMap<String, f64>,
    coordinates: Coordinates,
}

fn median(mut of: Vec<f64>) -> Option<f64> {
    of.sort_by(f64::total_cmp);
    let n = of.len();
    (n > 0).then(|| (of[(n - 1) / 2] + of[n / 2]) / 2.0)
}

fn edge_hash(edge: &str) -> u64 {
    edge.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn measure(edge: &str, stats: &GroupStats) -> Option<Measurement> {
    let reporter = Reporter::One(edge_hash(edge));
    let n = stats.round_trips.count();
    let unanswered = u64::from(stats.timed_out) + u64::from(stats.resets);
    // Who gave up took longer than the others: the middle one of all is later than that of those who are left.
    let unanswered = if is_active(Mutant::SurvivorsOnly) { 0 } else { unanswered };
    if n + unanswered == 0 {
        return None;
    }
    let Some(us) = stats.round_trips.value_at_rank((n + unanswered) / 2).filter(|_| n > 0) else {
        return Some(Measurement {
            log_ms: TIMEOUT_DELAY_MS.ln(),
            variance: UNREACHABLE_VARIANCE,
            unreachable: true,
            answered: n,
            unanswered,
            reporter,
            confirmed: false,
        });
    };
    let ln = |us: u32| (f64::from(us.max(1)) / 1000.0).ln();
    let quartile = |of: u64| stats.round_trips.value_at_rank((n - 1) * of / 4).map_or(0.0, ln);
    let arrival_jitter = stats.arrival_jitter.value_at_rank(stats.arrival_jitter.count() / 2).unwrap_or(0);
    let spread = ((quartile(3) - quartile(1)) / 1.35).max(if n < 4 { 0.15 } else { 0.03 });
    let jitter = (1.0 + f64::from(arrival_jitter) / f64::from(us.max(1))).ln().min(0.3);
    // Those sent elsewhere might have been like the rest or not: each makes what is told less sure.
    let redirected_factor = 1.0 + f64::from(stats.steered_away) / n as f64;
    let v = 1.57 * (spread * spread + jitter * jitter) / n as f64 * redirected_factor;
    Some(Measurement {
        log_ms: ln(us),
        variance: v,
        unreachable: false,
        answered: n,
        unanswered,
        reporter,
        confirmed: false,
    })
}

/// What the believed edges of a region tell together.
fn combine(measurements: &[Measurement]) -> Option<Measurement> {
    let (answered, unanswered) = measurements
        .iter()
        .fold((0, 0), |sum, measurement| (sum.0 + measurement.answered, sum.1 + measurement.unanswered));
    if answered + unanswered == 0 {
        return None;
    }
    // Each edge may have seen too few to say so.
    if unanswered >= answered {
        let most =
            measurements.iter().filter(|measurement| measurement.unanswered > measurement.answered).count();
        let confirmed = most >= QUORUM && 2 * most > measurements.len();
        return Some(Measurement {
            log_ms: TIMEOUT_DELAY_MS.ln(),
            variance: UNREACHABLE_VARIANCE,
            unreachable: true,
            answered,
            unanswered,
            reporter: Reporter::Many,
            confirmed,
        });
    }
    let reachable: Vec<&Measurement> =
        measurements.iter().filter(|measurement| !measurement.unreachable).collect();
    let x = median(reachable.iter().map(|measurement| measurement.log_ms).collect())?;
    let n = reachable.len() as f64;
    let v = reachable.iter().map(|measurement| measurement.variance).sum::<f64>() / n / n;
    // Of two that differ nobody knows which is right.
    let mean_distance = reachable.iter().map(|measurement| (measurement.log_ms - x).abs()).sum::<f64>() / n;
    let disagreement = mean_distance * mean_distance / n;
    let reporter = if reachable.len() == 1 { reachable[0].reporter } else { Reporter::Many };
    let disagreement = if is_active(Mutant::LyingEdgeBelieved) { 0.0 } else { disagreement };
    Some(Measurement {
        log_ms: x,
        variance: (v + disagreement).max(MIN_VARIANCE),
        unreachable: false,
        answered,
        unanswered,
        reporter,
        confirmed: false,
    })
}

impl Estimates {
    /// Takes in what edges told. A window of an edge counts once, whatever comes twice or late.
    pub fn update(&mut self, now_ms: u64, summary: &Summary) {
        let mut regions: BTreeMap<&str, RegionMeasurements> = BTreeMap::new();
        let mut gaps: BTreeMap<(Group, &str), u32> = BTreeMap::new();
        for (source, stats_by_group) in summary.by_source() {
            let last = self.windows.get(&source.edge).copied();
            let known = last.is_some() || self.windows.len() < MAX_SOURCES;
            if !known || last.is_some_and(|last| source.window <= last) {
                continue;
            }
            if self.windows.insert(source.edge.clone(), source.window).is_none() {
                *self.edges.entry(source.region.clone()).or_default() += 1;
            }
            let of = regions.entry(&source.region).or_default();
            let stats_by_group = self.with_wider(&source.region, stats_by_group);
            for (group, stats) in &stats_by_group {
                if let Some(measurement) = measure(&source.edge, stats) {
                    of.entry(group.clone()).or_default().push((&source.edge, measurement));
                }
                if let Some(gap) = stats.shortest_gap_us.filter(|_| !self.is_distrusted(&source.edge)) {
                    let least = gaps.entry((group.clone(), &source.region)).or_insert(gap);
                    *least = gap.min(*least);
                }
            }
        }
        for (region, groups) in &regions {
            self.distrust_outliers(now_ms, region, groups);
            for (group, measurements) in groups {
                let believed = measurements
                    .iter()
                    .filter(|(edge, _)| !self.is_distrusted(edge))
                    .map(|(_, measurement)| *measurement);
                if let Some(measurement) = combine(&believed.collect::<Vec<_>>()) {
                    self.update_pair(now_ms, group, region, measurement);
                }
            }
        }
        if is_active(Mutant::SilenceIsDistance) {
            let silent: Vec<_> = self
                .pairs
                .keys()
                .filter(|(_, region)| !regions.contains_key(region.as_str()))
                .cloned()
                .collect();
            for (group, region) in silent {
                self.update_pair(
                    now_ms,
                    &group,
                    &region,
                    Measurement {
                        log_ms: TIMEOUT_DELAY_MS.ln(),
                        variance: UNREACHABLE_VARIANCE,
                        unreachable: true,
                        answered: 0,
                        unanswered: 1,
                        reporter: Reporter::Many,
                        confirmed: false,
                    },
                );
            }
        }
        for ((group, region), gap) in gaps {
            // A client's own thinking is in it: it only bounds from above, where nothing better was told.
            let pair = self.pairs.get_mut(&(group, region.to_string()));
            if let Some(pair) = pair.filter(|pair| pair.at_ms < now_ms) {
                pair.log_ms = pair.log_ms.min((f64::from(gap.max(1)) / 1000.0).ln());
            }
        }
        let known: Vec<KnownDelay> = self
            .pairs
            .iter()
            .filter(|(_, pair)| !pair.unreachable && pair.variance < 0.2)
            .map(|((group, region), pair)| KnownDelay { group, region, ms: pair.log_ms.exp() })
            .collect();
        self.coordinates.fit(&known);
    }

    /// What an edge tells of a group is also told of wider ones that something is known of.
    fn with_wider(
        &self,
        region: &str,
        stats_by_group: &BTreeMap<Group, GroupStats>,
    ) -> BTreeMap<Group, GroupStats> {
        let mut all = stats_by_group.clone();
        for (group, stats) in stats_by_group {
            for wider in group.upwards().skip(1) {
                if stats_by_group.contains_key(&wider)
                    || self.pairs.contains_key(&(wider.clone(), region.to_string()))
                {
                    all.entry(wider).or_default().merge(stats);
                }
            }
        }
        all
    }

    /// Which edges of a region are off from what the others tell.
    fn distrust_outliers(&mut self, now_ms: u64, region: &str, groups: &RegionMeasurements) {
        let mut deviations: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for (group, measurements) in groups {
            for (edge, measurement) in measurements {
                let others = measurements
                    .iter()
                    .filter(|(other, _)| other != edge)
                    .map(|(_, measurement)| measurement.log_ms)
                    .collect::<Vec<_>>();
                let before = self.measured(now_ms, group, region).filter(|(_, v)| *v < 0.1).map(|(x, _)| x);
                let expected = if others.len() + 1 >= QUORUM { median(others) } else { before };
                deviations
                    .entry(edge)
                    .or_default()
                    .extend(expected.map(|expected| measurement.log_ms - expected));
            }
        }
        let deviations: Vec<(&str, f64)> = deviations
            .into_iter()
            .filter_map(|(edge, deviations)| Some((edge, median(deviations)?)))
            .collect();
        // If all are off alike the region's paths have changed.
        let Some(all) = median(deviations.iter().map(|(_, deviation)| *deviation).collect()) else {
            return;
        };
        for (edge, deviation) in &deviations {
            if deviations.len() >= QUORUM
                && (deviation - all).abs() > MAX_EDGE_BIAS
                && !is_active(Mutant::LyingEdgeBelieved)
            {
                self.distrusted.insert(edge.to_string(), deviation - all);
            } else {
                self.distrusted.remove(*edge);
            }
        }
    }

    /// Whether an edge's delays do not count at present.
    pub fn is_distrusted(&self, edge: &str) -> bool {
        self.distrusted.contains_key(edge)
    }

    fn update_pair(&mut self, now_ms: u64, group: &Group, region: &str, measurement: Measurement) {
        let key = (group.clone(), region.to_string());
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&key) {
            // The oldest knowledge makes room.
            let oldest = self.pairs.iter().min_by_key(|(_, pair)| pair.at_ms).map(|(key, _)| key.clone());
            oldest.and_then(|key| self.pairs.remove(&key));
        }
        let replacement = PairEstimate {
            log_ms: measurement.log_ms,
            variance: measurement.variance,
            at_ms: now_ms,
            outliers: 0,
            unreachable: measurement.unreachable,
            reporter: measurement.reporter,
        };
        let edges = self.edge_count(region);
        let Some(pair) = self.pairs.get_mut(&key) else {
            self.pairs.insert(key, replacement);
            return;
        };
        let v = pair.variance_at(now_ms, edges);
        let deviations = (measurement.log_ms - pair.log_ms) / (v + measurement.variance).sqrt();
        if deviations.abs() > OUTLIER_DEVIATIONS {
            let side = if deviations > 0.0 { 1 } else { -1 };
            pair.outliers = if pair.outliers * side > 0 { pair.outliers + side } else { side };
            // Guards against a second window spent where most get no answer: most edges agree, so that it is no noise, and to stay
            // costs more than to move.
            if pair.outliers.abs() >= OUTLIERS_TO_RESET || measurement.confirmed {
                *pair = replacement;
            }
            return;
        }
        let weight = v / (v + measurement.variance);
        // That one edge alone told a thing does not make what it told more exact.
        let v = pair.variance_at(now_ms, 1);
        let v = (v * measurement.variance / (v + measurement.variance)).max(MIN_VARIANCE / 4.0);
        let reporter =
            if pair.reporter == measurement.reporter { measurement.reporter } else { Reporter::Many };
        *pair = PairEstimate {
            log_ms: pair.log_ms + weight * (measurement.log_ms - pair.log_ms),
            variance: v,
            reporter,
            ..replacement
        };
    }

    fn edge_count(&self, region: &str) -> usize {
        self.edges.get(region).copied().unwrap_or(0)
    }

    fn measured(&self, now_ms: u64, group: &Group, region: &str) -> Option<(f64, f64)> {
        let pair = self.pairs.get(&(group.clone(), region.to_string()))?;
        Some((pair.log_ms, pair.variance_at(now_ms, self.edge_count(region))))
    }

    /// What is known of a group's delay to a region; `None` if that is nothing: then it is neither near nor far.
    pub fn estimate(&self, now_ms: u64, group: &Group, region: &str) -> Option<Estimate> {
        let wider = |(up, of): (usize, Group)| {
            let (x, v) = self.measured(now_ms, &of, region)?;
            Some((x, v + WIDER_GROUP_VARIANCE * (up * up) as f64))
        };
        // Guards against the far taken for near: what all clients together take to a region is told by those who are served there, and
        // those are the near ones. A guess from what is known of the group itself is better.
        let is_informative = |(up, of): &(usize, Group)| *up == 0 || *of != Group::All;
        let measured = group.upwards().enumerate().filter(is_informative).find_map(wider);
        let guess = self.coordinates.predict(group, region).map(|(x, spread)| (x, spread * spread));
        let (x, v) = match (measured, guess) {
            (Some((x, v)), Some((y, w))) => {
                ((x / v + y / w) / (1.0 / v + 1.0 / w), 1.0 / (1.0 / v + 1.0 / w))
            }
            (Some(one), None) | (None, Some(one)) => one,
            (None, None) if is_active(Mutant::EmptyMeansNear) => (0.0, MIN_VARIANCE),
            (None, None) => return None,
        };
        Some(Estimate { ms: x.exp(), spread: v.sqrt().min(MAX_DEVIATION), measured: measured.is_some() })
    }

    /// The pairs that were measured, with the time of the last.
    pub fn measured_pairs(&self) -> impl Iterator<Item = (&Group, &str, u64)> {
        self.pairs.iter().map(|((group, region), pair)| (group, region.as_str(), pair.at_ms))
    }

    /// How sure a measurement alone still is: the deviation of its logarithm.
    pub fn measured_spread(&self, now_ms: u64, group: &Group, region: &str) -> Option<f64> {
        self.measured(now_ms, group, region).map(|(_, v)| v.sqrt())
    }

    /// What is guessed of a pair, were it not measured.
    pub fn predicted_ms(&self, group: &Group, region: &str) -> Option<f64> {
        self.coordinates.predict(group, region).map(|(x, _)| x.exp())
    }
}

impl PairEstimate {
    fn variance_at(&self, now_ms: u64, edges: usize) -> f64 {
        let seconds = now_ms.saturating_sub(self.at_ms) as f64 / 1000.0;
        let rate = if self.unreachable {
            UNREACHABLE_VARIANCE_GROWTH_PER_SECOND
        } else {
            VARIANCE_GROWTH_PER_SECOND
        };
        let rate = if is_active(Mutant::KnowledgeStaysSharp) { 0.0 } else { rate };
        let single_edge =
            self.reporter != Reporter::Many && edges > 1 && !is_active(Mutant::LyingEdgeBelieved);
        self.variance + rate * seconds + if single_edge { SINGLE_EDGE_VARIANCE } else { 0.0 }
    }
}

#[cfg(test)]
mod tests;
