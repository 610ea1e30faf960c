//! Proves that the schedules detect each deliberate fault. The only test in this process, as a fault is
//! active in the whole process.

mod common;

use jaspershunt_steering::emulator::check;
use jaspershunt_steering::mutants::{ALL, Mutant, activate};

/// Maximum number of schedules for each fault.
const SCHEDULES: u64 = 400;

#[test]
fn every_deliberate_fault_is_detected() {
    let mut undetected = Vec::new();
    for mutant in ALL {
        if mutant == Mutant::LyingEdgeBelieved {
            // The median over edges hides this fault in most schedules, so a separate check detects it.
            activate(Some(mutant));
            let found = common::a_wrong_edge_is_outvoted();
            activate(None);
            println!("| {mutant:?} | a_wrong_edge_is_outvoted | {found:?} |");
            assert!(found.is_err(), "{mutant:?} is not detected");
            continue;
        }
        let found = (0..SCHEDULES).find_map(|seed| {
            activate(None);
            check(seed).ok()?;
            activate(Some(mutant));
            check(seed).err().map(|what| (seed, what))
        });
        activate(None);
        match found {
            Some((seed, what)) => {
                println!("| {mutant:?} | {seed} | {} |", what.split("; faults").next().unwrap_or(&what))
            }
            None => undetected.push(mutant),
        }
    }
    assert!(undetected.is_empty(), "not detected after {SCHEDULES} schedules: {undetected:?}");
}
