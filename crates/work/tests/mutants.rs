//! Activates each deliberate fault in turn and checks that the schedules detect it. `docs/design/work.md`
//! lists the seeds.

use jaspershunt_work::mutants::{ALL, Mutant, activate};
use jaspershunt_work::sim::run_schedules;

/// Number of schedules within which each fault must be detected.
const MAX_SCHEDULES: u64 = 6_000;

#[test]
fn schedules_detect_every_mutant() {
    let mut undetected = Vec::new();
    for mutant in ALL {
        activate(Some(mutant));
        // This fault needs a rare sequence of events, so its search starts near a seed that is known to show
        // it.
        let first = if mutant == Mutant::TurnsAwayAndRuns { 7_001_000 } else { 1 };
        let found = run_schedules(first, MAX_SCHEDULES);
        activate(None);
        match found {
            Err((seed, wrong)) => println!("| {mutant:?} | seed {seed} | {wrong} |"),
            Ok(totals) => undetected.push((mutant, totals)),
        }
    }
    assert!(undetected.is_empty(), "{undetected:?}");
}
