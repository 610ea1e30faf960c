//! Estimates the delay of each group to each region and its uncertainty, from measurements and, where there
//! are none, from network coordinates.

use crate::coordinates::{Coordinates, KnownDelay};
use crate::group::Group;
use crate::mutants::{Mutant, is_active};
use crate::summary::{GroupStats, MAX_SOURCES, Summary};
use crate::tables::{MAX_GROUPS, MAX_REGIONS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of pairs of group and region.
pub const MAX_PAIRS: usize = MAX_GROUPS * MAX_REGIONS;
/// Delay assumed for requests that got no answer, in milliseconds; a lower bound.
pub const TIMEOUT_DELAY_MS: f64 = 3000.0;
/// Minimum variance of the measurement of a window, as routes vary.
const MIN_VARIANCE: f64 = 0.03 * 0.03;
/// Growth of the variance of an old estimate per second: 10 % deviation in ten minutes.
pub const VARIANCE_GROWTH_PER_SECOND: f64 = 0.1 * 0.1 / 600.0;
/// Growth per second where most requests got no answer: the value is only a bound, and outages end.
const UNREACHABLE_VARIANCE_GROWTH_PER_SECOND: f64 = 1.0 / 300.0;
/// A window that deviates by more standard deviations is an outlier.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// Consecutive outliers on the same side that indicate a change of path instead of noise.
const OUTLIERS_TO_RESET: i8 = 2;
/// Initial variance of an estimate where most requests got no answer.
const UNREACHABLE_VARIANCE: f64 = 0.05 * 0.05;
/// Variance added where only one edge of a region with several has reported: it cannot be outvoted.
const SINGLE_EDGE_VARIANCE: f64 = 0.25 * 0.25;
/// Maximum deviation of the logarithm of an edge's delays (a factor of 1.4) from those of other edges; beyond
/// it the edge is distrusted.
const MAX_EDGE_BIAS: f64 = 0.35;
/// Number of edges of a region needed to outvote one.
const QUORUM: usize = 3;
/// Variance added for each level of a wider group that the estimate is taken from: 30 % deviation.
const WIDER_GROUP_VARIANCE: f64 = 0.3 * 0.3;
/// Maximum standard deviation of an estimate.
const MAX_DEVIATION: f64 = 2.0;

/// Estimated delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The delay, in milliseconds.
    pub ms: f64,
    /// Standard deviation of its logarithm: 0.1 is 10 %.
    pub spread: f64,
    /// Whether this group or a wider one was ever measured.
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

/// Source of a measurement: one edge, by the hash of its name, or several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Reporter {
    One(u64),
    Many,
}

/// Measurement of one group, by one edge or combined over the edges of a region.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    log_ms: f64,
    variance: f64,
    unreachable: bool,
    answered: u64,
    unanswered: u64,
    reporter: Reporter,
    /// Most edges found independently that most requests got no answer.
    confirmed: bool,
}

/// Measurements of each group by the edges of one region.
type RegionMeasurements<'a> = BTreeMap<Group, Vec<(&'a str, Measurement)>>;

/// Estimates of all pairs of group and region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    pairs: BTreeMap<(Group, String), PairEstimate>,
    windows: BTreeMap<String, u64>,
    /// Number of edges that ever reported, by region.
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
    // Requests without an answer took longer than the answered ones, so the median over all lies above the
    // median of the answered ones.
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
    // Redirected clients may differ from the measured ones, so they increase the variance.
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

/// Combines the measurements of the trusted edges of a region.
fn combine(measurements: &[Measurement]) -> Option<Measurement> {
    let (answered, unanswered) = measurements
        .iter()
        .fold((0, 0), |sum, measurement| (sum.0 + measurement.answered, sum.1 + measurement.unanswered));
    if answered + unanswered == 0 {
        return None;
    }
    // Summed over edges, as each may have seen too few requests.
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
    // Disagreement between edges increases the variance, as it is unknown which is right.
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
    /// Updates the estimates from a summary. Each window of an edge counts once; duplicates and late ones are
    /// ignored.
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
            // A gap includes the client's think time, so it is only an upper bound, used where this window
            // brought no measurement.
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

    /// Adds the statistics of each group to its wider groups that are reported or estimated.
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

    /// Finds the edges of a region whose delays deviate from those of the others.
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
        // If all deviate alike, the paths of the region have changed.
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

    /// Whether the delays of an edge are ignored at present.
    pub fn is_distrusted(&self, edge: &str) -> bool {
        self.distrusted.contains_key(edge)
    }

    fn update_pair(&mut self, now_ms: u64, group: &Group, region: &str, measurement: Measurement) {
        let key = (group.clone(), region.to_string());
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&key) {
            // Evicts the oldest pair.
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
            // A confirmed outage takes effect at once, without a second window in which most requests get no
            // answer: most edges agree, so it is not noise, and staying costs more than moving.
            if pair.outliers.abs() >= OUTLIERS_TO_RESET || measurement.confirmed {
                *pair = replacement;
            }
            return;
        }
        let weight = v / (v + measurement.variance);
        // The variance added for a single edge must not make its measurement count as more precise.
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

    /// Returns the estimated delay of a group to a region; `None` if nothing is known, which means neither
    /// near nor far.
    pub fn estimate(&self, now_ms: u64, group: &Group, region: &str) -> Option<Estimate> {
        let wider = |(up, of): (usize, Group)| {
            let (x, v) = self.measured(now_ms, &of, region)?;
            Some((x, v + WIDER_GROUP_VARIANCE * (up * up) as f64))
        };
        // The measurement of all clients together is not used for a group: it comes from the clients that a
        // region serves, which are the near ones, and would make far groups seem near. A prediction from the
        // group's own delays is better.
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

    /// Iterates over the measured pairs, with the time of the last measurement.
    pub fn measured_pairs(&self) -> impl Iterator<Item = (&Group, &str, u64)> {
        self.pairs.iter().map(|((group, region), pair)| (group, region.as_str(), pair.at_ms))
    }

    /// Returns the standard deviation of the logarithm of the measured delay, without predictions.
    pub fn measured_spread(&self, now_ms: u64, group: &Group, region: &str) -> Option<f64> {
        self.measured(now_ms, group, region).map(|(_, v)| v.sqrt())
    }

    /// Returns the predicted delay of a pair, ignoring its measurements.
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
