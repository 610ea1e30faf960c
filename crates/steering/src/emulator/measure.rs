//! Measures an hour of virtual time in each of many simulations, and the baselines in the same ones.

use super::{Fault, Run, SeededRng, Simulation, Strategy};
use crate::planner::MAX_FILL_AT_LOSS;

/// Windows of a run: 70 minutes, two days of load.
pub const WINDOWS: u64 = 420;
/// Windows before anything is counted, for all strategies: ten minutes to explore.
const WARM_UP_WINDOWS: u64 = 60;
/// Interval in windows between comparisons of the served delay and the oracle's.
const CHECK_INTERVAL_WINDOWS: u64 = 7;

/// Results of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Relative errors of pairs measured within the last minute.
    pub measured: Vec<f64>,
    /// Relative errors of pairs that were never measured by then.
    pub unmeasured: Vec<f64>,
    /// Mean served delay at the checks: steering, static, last sample, plain mean.
    pub served: [f64; 4],
    /// Mean served delay over every window instead of the checks alone: one window in which most requests of
    /// a group get no answer weighs much in 52 checks.
    pub always: [f64; 4],
    /// Mean delay of the oracle.
    pub oracle: f64,
    /// Number of moves that brought a region over its capacity.
    pub overloads: u64,
    /// Changes of a group's main region, and how many of them reverted one of the last minute.
    pub changes: (u64, u64),
}

/// Creates a simulation of six regions with five edges each, forty groups, and the faults of an hour.
pub fn simulation(seed: u64) -> Simulation {
    let mut rng = SeededRng::new(seed ^ 0x9e0);
    let mut simulation = Simulation::new(&mut rng, 6, 5, 40);
    let mut add = |fault: Fault, windows: u64| {
        let from = WARM_UP_WINDOWS + rng.below(WINDOWS - WARM_UP_WINDOWS - windows);
        simulation.faults.push((fault, from, from + windows));
        rng.unit()
    };
    let mut x = 0.37;
    for i in 0..12 {
        let (g, r) = ((x * 4000.0) as usize % 40, (x * 600_000.0) as usize % 6);
        x = add(Fault::Path(g, r, 0.6 + 2.0 * x), 120);
        if i % 4 == 0 {
            add(Fault::Lossy(g, r, 0.9), 30);
            add(Fault::Queue(r, 1, 150.0), 30);
        }
    }
    let (r, s) = ((x * 600.0) as usize % 6, (x * 60_000.0) as usize % 6);
    add(Fault::Lost(r), 40);
    x = add(Fault::Silent(s), 20);
    add(Fault::Lying(s, (x * 5.0) as usize, 0.3), 60);
    simulation
}

fn errors(run: &Run, figures: &mut Figures) {
    let (now_ms, at) = (run.now_ms(), run.window - 1);
    let measured: std::collections::BTreeMap<_, _> =
        run.estimates.measured_pairs().map(|(group, region, at)| ((group, region), at)).collect();
    for g in 0..run.simulation.groups.len() {
        for r in 0..run.simulation.regions.len() {
            let (group, region) = (&run.simulation.groups[g].group, run.simulation.regions[r].name.as_str());
            // A pair without answers has no delay to compare with.
            let lossy = (at.saturating_sub(60)..=at).any(|then| run.simulation.loss(then, g, r) > 0.0);
            let Some(estimate) = run.estimates.estimate(now_ms, group, region).filter(|_| !lossy) else {
                continue;
            };
            let truth = run.simulation.path_ms(at, g, r);
            let off = (estimate.ms / truth - 1.0).abs();
            match measured.get(&(group, region)) {
                Some(at) if now_ms.saturating_sub(*at) <= 60_000 => figures.measured.push(off),
                None => figures.unmeasured.push(off),
                Some(_) => {}
            }
        }
    }
}

/// Runs one simulation with all strategies.
pub fn measure_seed(seed: u64) -> Figures {
    let mut figures = Figures::default();
    let all = [Strategy::Steering, Strategy::Static, Strategy::LastSample, Strategy::PlainMean];
    for (at, strategy) in all.into_iter().enumerate() {
        let mut run = Run::new(simulation(seed), strategy, seed);
        let mut changes: std::collections::BTreeMap<crate::Group, (u64, String)> = Default::default();
        let mut checks = 0.0;
        while run.window < WINDOWS {
            let before = run.mains();
            let shares: Vec<_> = (0..run.simulation.groups.len()).map(|g| run.shares(g)).collect();
            run.step();
            if strategy == Strategy::Steering {
                let (loads, mut old) = (run.loads(), vec![0.0; run.simulation.regions.len()]);
                for (g, shares) in shares.iter().enumerate() {
                    shares
                        .iter()
                        .for_each(|(r, share)| old[*r] += share * run.simulation.rate(run.window, g));
                }
                let over = |r: &usize| {
                    loads[*r] > old[*r] + 0.01
                        && loads[*r] > run.simulation.regions[*r].capacity * MAX_FILL_AT_LOSS
                };
                figures.overloads +=
                    (0..loads.len()).filter(|r| over(r) && run.simulation.up(run.window, *r)).count() as u64;
                for (group, main) in run.mains() {
                    let Some(was) = before.get(&group).filter(|was| **was != main) else { continue };
                    figures.changes.0 += 1;
                    if let Some((at, from)) = changes.insert(group, (run.window, was.clone())) {
                        figures.changes.1 += u64::from(run.window - at <= 6 && from == main);
                    }
                }
            }
            if run.window < WARM_UP_WINDOWS {
                continue;
            }
            figures.always[at] += run.served_ms() / (WINDOWS - WARM_UP_WINDOWS + 1) as f64;
            if !run.window.is_multiple_of(CHECK_INTERVAL_WINDOWS) {
                continue;
            }
            checks += 1.0;
            figures.served[at] += run.served_ms();
            if strategy == Strategy::Steering {
                figures.oracle += run.oracle_ms();
                errors(&run, &mut figures);
            }
        }
        figures.served[at] /= checks;
        if strategy == Strategy::Steering {
            figures.oracle /= checks;
        }
    }
    figures
}

/// Returns the table for the given number of simulations, and the figures that miss their bounds.
pub fn table(from: u64, simulations: u64) -> (String, Vec<&'static str>) {
    let all: Vec<Figures> = (from..from + simulations).map(measure_seed).collect();
    let pooled = |of: fn(&Figures) -> &Vec<f64>| {
        let mut pool: Vec<f64> = all.iter().flat_map(|figures| of(figures).iter().copied()).collect();
        pool.sort_by(f64::total_cmp);
        let at = |part: f64| pool.get((pool.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN);
        (pool.len(), at(0.5), at(0.9))
    };
    let (n, median, p90) = pooled(|figures| &figures.measured);
    let (m, median_un, p90_un) = pooled(|figures| &figures.unmeasured);
    let mean = |of: &dyn Fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
    let to_oracle = mean(&|figures| figures.served[0] / figures.oracle);
    let worse = |of: fn(&Figures) -> [f64; 4]| -> Vec<u64> {
        let worse = |served: [f64; 4]| served[1..].iter().any(|baseline| served[0] >= *baseline);
        (from..).zip(&all).filter(|(_, figures)| worse(of(figures))).map(|(seed, _)| seed).collect()
    };
    let (at_looks, always) = (worse(|figures| figures.served), worse(|figures| figures.always));
    let overloads: u64 = all.iter().map(|figures| figures.overloads).sum();
    let changes = all.iter().fold((0, 0), |sum, f| (sum.0 + f.changes.0, sum.1 + f.changes.1));
    let back = changes.1 as f64 / changes.0.max(1) as f64;
    let mut short = Vec::new();
    let mut text = String::from("| figure | measured | bound | |\n| --- | --- | --- | --- |\n");
    let mut row = |what: &'static str, value: String, bound: &str, holds: bool| {
        text +=
            &format!("| {what} | {value} | {bound} | {} |\n", if holds { "holds" } else { "falls short" });
        if !holds {
            short.push(what);
        }
    };
    row("measured pairs, median error", format!("{median:.3} ({n} looks)"), "≤ 0.10", median <= 0.10);
    row("the same, p90", format!("{p90:.3}"), "≤ 0.25", p90 <= 0.25);
    row("unmeasured pairs, median error", format!("{median_un:.3} ({m} looks)"), "≤ 0.20", median_un <= 0.20);
    row("the same, p90", format!("{p90_un:.3}"), "≤ 0.45", p90_un <= 0.45);
    row("mean delay served against the oracle's", format!("{to_oracle:.3}"), "≤ 1.10", to_oracle <= 1.10);
    let names = ["static regions", "nearest by last sample", "plain mean"];
    row(
        "worlds where a baseline is as good, by the looks",
        format!("{} of {simulations}: {at_looks:?}", at_looks.len()),
        "0",
        at_looks.is_empty(),
    );
    row(
        "the same, by every window",
        format!("{} of {simulations}: {always:?}", always.len()),
        "0",
        always.is_empty(),
    );
    row("moves that overload a region", overloads.to_string(), "0", overloads == 0);
    row(
        "changes taken back within a minute",
        format!("{} of {}", changes.1, changes.0),
        "≤ 1 %",
        back <= 0.01,
    );
    for (at, name) in names.iter().enumerate() {
        let to = mean(&|figures| figures.served[at + 1] / figures.oracle);
        text += &format!("| baseline: {name}, against the oracle's | {to:.3} | | |\n");
    }
    (text, short)
}
