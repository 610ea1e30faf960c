//! Guards against requests lost, doubled or run too late over whole lives of a process: callers, crowds and
//! signals are drawn from a seed. A few seeds run here; `make soak` plays more.

#[path = "common/draining.rs"]
mod draining;
#[path = "common/soak.rs"]
mod soak;

use soak::{Plan, Report, play};

/// Runs that a stalled machine leaves undecided, at most, as a share of all.
const MAX_UNDECIDED: f64 = 0.05;

fn play_seed(seed: u64) -> Report {
    let plan = Plan::draw(seed);
    println!("{plan}");
    let mut report = Report::default();
    draining::local(async { report = play(&plan).await });
    println!("  {report}");
    for broken in report.violations.iter().chain(&report.late) {
        println!("  {broken}");
    }
    for undecided in &report.undecided {
        println!("  not decided: {undecided}");
    }
    report
}

fn check_seed(seed: u64) {
    let report = play_seed(seed);
    assert!(report.holds(), "{report}");
}

macro_rules! seeds {
    ($($name:ident = $seed:literal),* $(,)?) => {
        $(#[test]
        fn $name() {
            check_seed($seed);
        })*
    };
}

// One test for each seed, so that KNOWN-RED.txt can name one. Seeds 2 and 6 found the listener that stayed open, seeds
// 22 and 32 the new connections closed at a full nodo.
seeds!(seed_2 = 2, seed_6 = 6, seed_10 = 10, seed_22 = 22, seed_24 = 24, seed_32 = 32);

/// Started by `make soak`: plays SOAK_SEEDS seeds from SOAK_SEED on.
#[test]
#[ignore = "takes about 6 s a seed; started by `make soak`"]
fn soak_by_hand() {
    let number = |name: &str| std::env::var(name).ok().and_then(|value| value.parse().ok());
    let (first, count) = (number("SOAK_SEED").unwrap_or(1), number("SOAK_SEEDS").unwrap_or(50));
    let reports: Vec<(u64, Report)> = (first..first + count).map(|seed| (seed, play_seed(seed))).collect();
    let failed: Vec<u64> =
        reports.iter().filter(|(_, report)| !report.holds()).map(|(seed, _)| *seed).collect();
    let undecided = reports.iter().filter(|(_, report)| report.is_undecided()).count();
    let tries: usize = reports.iter().map(|(_, report)| report.requests).sum();
    println!("{count} seeds, {tries} tries, {undecided} not decided, failed: {failed:?}");
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
    assert!(undecided as f64 <= MAX_UNDECIDED * count as f64, "{undecided} of {count} runs are not decided");
}
