//! Short schedules from a seed, with invariants checked after every step.

use super::{Fault, Run, SeededRng, Simulation, Strategy};
use crate::model::{TIMEOUT_DELAY_MS, VARIANCE_GROWTH_PER_SECOND};
use crate::part::{Entry, Outcome};
use crate::planner::{
    EXPLORATION_SHARE, MAX_EXPLORATION_FRACTION, MAX_FILL_AT_LOSS, MAX_SAVED_BUDGET_SECONDS,
    MOVE_BUDGET_PER_SECOND, WARM_UP_FACTORS, WARM_UP_STEP_MS,
};
use crate::summary::WINDOW_MS;
use crate::tables::{Place, Row, TOTAL_SHARE, Tables, Why};
use std::collections::BTreeMap;

/// Windows of a schedule.
const WINDOWS: u64 = 24;
/// Windows after a change of the true delays within which an estimate may lag.
const SETTLING_WINDOWS: u64 = 5;
/// Maximum ratio of an estimate to the true delay after that time: far more than noise causes.
const MAX_ERROR_FACTOR: f64 = 1.5;

/// Result of many schedules.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Number of schedules.
    pub schedules: u64,
    /// Number of committed tables.
    pub tables: u64,
    /// Number of changes of a main region.
    pub moves: u64,
    /// Violated invariants with their seeds.
    pub violations: Vec<(u64, String)>,
}

/// Runs `n` schedules from this seed on.
pub fn soak(seed: u64, n: u64) -> SoakReport {
    let mut report = SoakReport::default();
    for seed in seed..seed + n {
        report.schedules += 1;
        match check(seed) {
            Ok((tables, moves)) => {
                report.tables += tables;
                report.moves += moves;
            }
            Err(what) => report.violations.push((seed, what)),
        }
    }
    report
}

fn fault(rng: &mut SeededRng, (regions, edges, groups): (usize, usize, usize)) -> (Fault, u64, u64) {
    let (g, r, e) = (rng.below(groups as u64), rng.below(regions as u64), rng.below(edges as u64));
    let (g, r, e) = (g as usize, r as usize, e as usize);
    let fault = match rng.below(8) {
        0 => Fault::Path(g, r, rng.between(0.5, 3.0)),
        1 | 2 => Fault::Lossy(g, r, rng.between(0.7, 1.0)),
        3 => Fault::Lost(r),
        4 => Fault::Silent(r),
        5 => Fault::Lying(r, e, if rng.unit() < 0.5 { 0.2 } else { 4.0 }),
        6 => Fault::Queue(r, e, rng.between(50.0, 400.0)),
        _ => Fault::Forbidden(g, r),
    };
    let from = rng.below(WINDOWS * 2 / 3);
    (fault, from, from + 1 + rng.below(WINDOWS / 2))
}

/// State of the invariant checks.
#[derive(Default)]
struct Checker {
    /// Window in which a region recovered.
    recovered: BTreeMap<usize, u64>,
    /// Last changes of each group's main region: window, from, to.
    changes: BTreeMap<usize, Vec<(u64, usize, usize)>>,
    /// Consecutive windows with samples of a pair.
    sampled_windows: BTreeMap<(usize, usize), u64>,
    /// Consecutive windows with more than an exploration share of a pair.
    busy_windows: BTreeMap<(usize, usize), u64>,
    old: Vec<Entry>,
    moves: u64,
}

/// Runs one schedule; returns the numbers of committed tables and of moves, or the violated invariant.
pub fn check(seed: u64) -> Result<(u64, u64), String> {
    let mut rng = SeededRng::new(seed);
    let (regions, groups) = (3 + rng.below(3) as usize, 4 + rng.below(5) as usize);
    // Of five edges, three are left beside a wrong one and one with a queue.
    let size = (regions, 5, groups);
    let mut simulation = Simulation::new(&mut rng, size.0, size.1, size.2);
    for _ in 0..1 + rng.below(4) {
        simulation.faults.push(fault(&mut rng, size));
    }
    // Two wrong edges in one region cannot be outvoted.
    let mut wrong_edges = Vec::new();
    simulation.faults.retain(|(fault, ..)| match fault {
        Fault::Lying(r, ..) => {
            !wrong_edges.contains(r) && {
                wrong_edges.push(*r);
                true
            }
        }
        _ => true,
    });
    let mut run = Run::new(simulation, Strategy::Steering, seed);
    let mut checker = Checker::default();
    for _ in 0..WINDOWS {
        let before = run.part.tables().clone();
        let entries = run.step();
        let violation =
            |what: String| Err(format!("window {}: {what}; faults: {:?}", run.window, run.simulation.faults));
        checker.track_recoveries(&run);
        let found = check_table(&run, &checker, &before)
            .or_else(|| checker.check_reversals(&run, &before))
            .or_else(|| checker.check_estimates(&run));
        if let Some(what) = found {
            return violation(what);
        }
        // A former leader proposes its old plan again.
        if let (Some(old), true) = (checker.old.last(), rng.unit() < 0.3) {
            let at = run.part.tables().epoch;
            if run.part.apply_entry(old)
                != Outcome::Refused(crate::part::Refusal::NotTheNextEpoch { last: at })
            {
                return violation(format!("an entry of a past epoch is applied at epoch {at}"));
            }
        }
        checker.old.extend(entries);
    }
    Ok((run.part.tables().epoch, checker.moves))
}

fn row_of<'a>(run: &Run, tables: &'a Tables, g: usize) -> Option<&'a Row> {
    tables.rows.get(&run.simulation.groups[g].group)
}

/// Returns a message if a row gives a reason that never applied.
fn false_reason(run: &Run, g: usize, row: &Row, was: Option<&Row>) -> Option<String> {
    let before = row.before.as_deref()?;
    let r = run.simulation.regions.iter().position(|place| place.name == before)?;
    let ever =
        |fault| (0..=run.window).any(|at| run.simulation.active_faults(at).any(|active| active == fault));
    if row.share(before) == TOTAL_SHARE {
        return Some(format!("the row says that it left {before}, which serves all of it: {row:?}"));
    }
    let is_true = match row.why {
        Why::Lost => ever(Fault::Lost(r)),
        Why::NotAllowed => ever(Fault::Forbidden(g, r)),
        // Checked only at the move, as delays are updated with each change of the row.
        Why::Nearer if was.is_some_and(|was| (was.why, &was.before) != (row.why, &row.before)) => {
            let ms = |place: &Place| place.delay_ms.unwrap_or_default();
            let left = row.places.iter().find(|place| place.region == before).map_or(0, ms);
            row.places.iter().any(|place| place.share > 0 && place.region != before && ms(place) < left)
        }
        _ => true,
    };
    (!is_true).then(|| format!("the reason {:?} for leaving {before} is false: {row:?}", row.why))
}

/// Checks the changes that a step makes to the table.
fn check_table(run: &Run, checker: &Checker, before: &Tables) -> Option<String> {
    let now = run.part.tables();
    if now.epoch < before.epoch || (now.epoch == before.epoch) != (now.rows == before.rows) {
        return Some(format!("epoch {} after {}", now.epoch, before.epoch));
    }
    let (mut loads, mut grown) =
        (vec![0.0; run.simulation.regions.len()], vec![0.0; run.simulation.regions.len()]);
    let (mut free, mut total) = (0.0, 0.0);
    for g in 0..run.simulation.groups.len() {
        let rate = run.simulation.rate(run.window, g);
        total += rate;
        let Some(row) = row_of(run, now, g) else { continue };
        if !row.is_valid() {
            return Some(format!("{}: the row is invalid: {row:?}", run.simulation.groups[g].group));
        }
        if let Some(what) = false_reason(run, g, row, row_of(run, before, g)) {
            return Some(format!("{}: {what}", run.simulation.groups[g].group));
        }
        let mut taken = 0;
        let is_faulty = |r: usize| {
            !run.simulation.up(run.window, r)
                || run.simulation.active_faults(run.window).any(|fault| fault == Fault::Forbidden(g, r))
        };
        let had =
            |r: usize| row_of(run, before, g).map_or(0, |row| row.share(&run.simulation.regions[r].name));
        let forced = (0..run.simulation.regions.len())
            .any(|r| is_faulty(r) && row.share(&run.simulation.regions[r].name) < had(r));
        for (r, place) in run.simulation.regions.iter().enumerate() {
            let share = row.share(&place.name);
            loads[r] += f64::from(share) * rate / f64::from(TOTAL_SHARE);
            let Some(old) = row_of(run, before, g).map(|row| row.share(&place.name)) else { continue };
            grown[r] += (f64::from(share) - f64::from(old)) * rate / f64::from(TOTAL_SHARE);
            if share < old && !is_faulty(r) {
                taken += old - share;
            }
            let knows =
                (0..run.simulation.regions.len()).filter(|&of| run.sampled.contains(&(g, of))).count();
            if share > old
                && share > EXPLORATION_SHARE
                && !forced
                && knows < 2
                && !run.sampled.contains(&(g, r))
            {
                return Some(format!(
                    "{} moves to {}, which was never measured",
                    run.simulation.groups[g].group, place.name
                ));
            }
        }
        free += f64::from(taken) * rate / f64::from(TOTAL_SHARE);
    }
    for (r, place) in run.simulation.regions.iter().enumerate() {
        let warm_up_factor = checker.recovered.get(&r).map_or(1.0, |recovered| {
            let step = (run.window - recovered) * WINDOW_MS / WARM_UP_STEP_MS;
            WARM_UP_FACTORS[(step as usize).min(WARM_UP_FACTORS.len() - 1)]
        });
        let max_load = place.capacity * MAX_FILL_AT_LOSS * warm_up_factor;
        if grown[r] > 0.01 && loads[r] > max_load + 0.01 {
            return Some(format!(
                "a move brings {} to {:.1} requests per second, above its limit of {max_load:.1}",
                place.name, loads[r]
            ));
        }
    }
    // Explorations may begin and end in one step, and the load varies over the day.
    let bound =
        (MOVE_BUDGET_PER_SECOND * MAX_SAVED_BUDGET_SECONDS / 1000.0 + 3.0 * MAX_EXPLORATION_FRACTION) * total;
    if free > bound {
        return Some(format!("{free:.1} requests per second move, above the limit of {bound:.1}"));
    }
    None
}

impl Checker {
    fn track_recoveries(&mut self, run: &Run) {
        for r in 0..run.simulation.regions.len() {
            if !run.simulation.up(run.window, r) {
                self.recovered.remove(&r);
            } else if run.window > 1 && !run.simulation.up(run.window - 1, r) {
                self.recovered.insert(r, run.window);
            }
        }
    }

    fn check_reversals(&mut self, run: &Run, before: &Tables) -> Option<String> {
        let number = |name: &str| run.simulation.regions.iter().position(|place| place.name == name);
        for g in 0..run.simulation.groups.len() {
            let main = |tables| row_of(run, tables, g).and_then(Row::main_region).and_then(number);
            let (Some(from), Some(to)) = (main(before), main(run.part.tables())) else { continue };
            if from == to {
                continue;
            }
            self.moves += 1;
            let changes = self.changes.entry(g).or_default();
            let last_change = changes.last().filter(|(at, ..)| (run.window - at) * WINDOW_MS <= 60_000);
            let served = |r: usize| {
                let is_faulty = |fault| {
                    affects(&fault, g, r)
                        && matches!(fault, Fault::Forbidden(..) | Fault::Lost(_) | Fault::Lossy(..))
                };
                (run.window.saturating_sub(7)..=run.window)
                    .all(|at| !run.simulation.active_faults(at).any(is_faulty))
            };
            if last_change.is_some_and(|(_, was, _)| *was == to) && served(from) && served(to) {
                return Some(format!(
                    "{} moves back to r{to} within a minute",
                    run.simulation.groups[g].group
                ));
            }
            changes.push((run.window, from, to));
        }
        None
    }

    /// Checks that estimates are near the true delays once there was time to measure them.
    fn check_estimates(&mut self, run: &Run) -> Option<String> {
        let (now_ms, at) = (run.now_ms(), run.window - 1);
        let last: BTreeMap<_, u64> =
            run.estimates.measured_pairs().map(|(group, region, at)| ((group, region), at)).collect();
        for g in 0..run.simulation.groups.len() {
            for r in 0..run.simulation.regions.len() {
                let (group, region) =
                    (&run.simulation.groups[g].group, run.simulation.regions[r].name.as_str());
                // Only some edges see an exploration: wrong reports and losses are detected reliably only
                // under more traffic.
                let busy_windows = self.busy_windows.entry((g, r)).or_default();
                *busy_windows = if run.shares(g).iter().any(|(of, share)| *of == r && *share > 0.1) {
                    *busy_windows + 1
                } else {
                    0
                };
                let many = *busy_windows > SETTLING_WINDOWS;
                let Some(&measured_ms) = last.get(&(group, region)) else { continue };
                let sampled_windows = self.sampled_windows.entry((g, r)).or_default();
                *sampled_windows = if measured_ms == now_ms { *sampled_windows + 1 } else { 0 };
                let since = at.saturating_sub(SETTLING_WINDOWS);
                let same = (since..=at).all(|then| {
                    let now: Vec<Fault> =
                        run.simulation.active_faults(at).filter(|fault| affects(fault, g, r)).collect();
                    now == run
                        .simulation
                        .active_faults(then)
                        .filter(|fault| affects(fault, g, r))
                        .collect::<Vec<_>>()
                });
                let name = || format!("{group} to {region}");
                let age = now_ms.saturating_sub(measured_ms) as f64 / 1000.0;
                let own = run.estimates.measured_spread(now_ms, group, region).unwrap_or_default();
                if own * own < VARIANCE_GROWTH_PER_SECOND * age {
                    return Some(format!("{}: the variance did not grow in {age} s", name()));
                }
                let Some(estimate) = run.estimates.estimate(now_ms, group, region) else { continue };
                let (loss, path) = (run.simulation.loss(at, g, r), run.simulation.path_ms(at, g, r));
                let lossy = (0..=at).any(|then| run.simulation.loss(then, g, r) > 0.0);
                let changed = (0..=at).any(|then| run.simulation.path_ms(then, g, r) != path);
                let wrong_reports = (0..=at).any(|then| {
                    run.simulation.active_faults(then).any(|f| matches!(f, Fault::Lying(of, ..) if of == r))
                });
                if wrong_reports && !many {
                    continue;
                }
                if many
                    && same
                    && *sampled_windows > SETTLING_WINDOWS
                    && loss >= 0.7
                    && estimate.ms < TIMEOUT_DELAY_MS / 4.0
                {
                    return Some(format!(
                        "{}: estimated {:.1} ms although most requests get no answer",
                        name(),
                        estimate.ms
                    ));
                }
                let followed =
                    (*sampled_windows > SETTLING_WINDOWS && same) || (*sampled_windows == 0 && !changed);
                let off = (estimate.ms / path).max(path / estimate.ms);
                if followed && !lossy && off > MAX_ERROR_FACTOR && own < 0.1 {
                    return Some(format!("{}: estimated {:.1} ms, true {path:.1} ms", name(), estimate.ms));
                }
                let silent = run.simulation.active_faults(at).any(|fault| fault == Fault::Silent(r));
                if silent && !lossy && !changed && estimate.ms > 3.0 * path {
                    return Some(format!(
                        "{}: estimated {:.1} ms while {region} is silent, true {path:.1} ms",
                        name(),
                        estimate.ms
                    ));
                }
            }
        }
        None
    }
}

fn affects(fault: &Fault, g: usize, r: usize) -> bool {
    match *fault {
        Fault::Path(of, to, _) | Fault::Lossy(of, to, _) | Fault::Forbidden(of, to) => (of, to) == (g, r),
        Fault::Lost(of) | Fault::Silent(of) | Fault::Lying(of, ..) | Fault::Queue(of, ..) => of == r,
    }
}
