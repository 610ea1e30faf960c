//! Measures the errors of predicted delays of unmeasured pairs, by the number of measured regions of the
//! group. The arguments are the first seed and the number of simulations.

use jaspershunt_steering::emulator::{Run, Strategy, measure};
use std::collections::BTreeMap;

/// Windows that are not counted, and the interval in windows between checks.
const WARM_UP_WINDOWS: u64 = 60;
const CHECK_INTERVAL_WINDOWS: u64 = 21;

fn main() {
    let number = |at: usize, or: u64| std::env::args().nth(at).and_then(|n| n.parse().ok()).unwrap_or(or);
    let (from, simulations) = (number(1, 0), number(2, 10));
    let mut by: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for seed in from..from + simulations {
        let mut run = Run::new(measure::simulation(seed), Strategy::Steering, seed);
        while run.window < measure::WINDOWS {
            run.step();
            if run.window < WARM_UP_WINDOWS || !run.window.is_multiple_of(CHECK_INTERVAL_WINDOWS) {
                continue;
            }
            for g in 0..run.simulation.groups.len() {
                let pairs: Vec<_> = run.estimates.measured_pairs().collect();
                let group = &run.simulation.groups[g].group;
                let of: Vec<&str> = pairs.iter().filter(|pair| pair.0 == group).map(|pair| pair.1).collect();
                for r in 0..run.simulation.regions.len() {
                    let region = run.simulation.regions[r].name.as_str();
                    if of.contains(&region) {
                        continue;
                    }
                    if let Some(estimate) = run.estimates.estimate(run.now_ms(), group, region) {
                        let truth = run.simulation.path_ms(run.window - 1, g, r);
                        by.entry(of.len()).or_default().push((estimate.ms / truth).ln());
                    }
                }
            }
        }
    }
    let all: usize = by.values().map(Vec::len).sum();
    println!(
        "| regions of the group that were measured | guesses | median error | p90 | middle of estimate / truth |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (measured, mut logs) in by {
        logs.sort_by(f64::total_cmp);
        let middle = logs[logs.len() / 2].exp();
        let mut off: Vec<f64> = logs.iter().map(|log| (log.exp() - 1.0).abs()).collect();
        off.sort_by(f64::total_cmp);
        let at = |part: f64| off[((off.len() - 1) as f64 * part) as usize];
        let part = 100.0 * off.len() as f64 / all as f64;
        println!(
            "| {measured} | {} ({part:.0} %) | {:.3} | {:.3} | {middle:.2} |",
            off.len(),
            at(0.5),
            at(0.9)
        );
    }
}
