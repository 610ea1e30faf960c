//! The schedules are worth what they can refute: with any one rule left out they find what the rule is for. One test alone in this
//! process, as what is left out is left out in all of it.

mod common;

use jaspershunt_steering::emulator::check;
use jaspershunt_steering::mutants::{ALL, Mutant, activate};

/// Schedules for each, at most.
const SCHEDULES: u64 = 400;

#[test]
fn every_rule_left_out_is_found() {
    let mut alive = Vec::new();
    for mutant in ALL {
        if mutant == Mutant::LyingEdgeBelieved {
            // The median over edges hides it in most schedules: a check by name shows what the doubt adds.
            activate(Some(mutant));
            let found = common::a_liar_is_outvoted();
            activate(None);
            println!("| {mutant:?} | a_liar_is_outvoted | {found:?} |");
            assert!(found.is_err(), "{mutant:?} lives");
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
                println!("| {mutant:?} | {seed} | {} |", what.split("; broken").next().unwrap_or(&what))
            }
            None => alive.push(mutant),
        }
    }
    assert!(alive.is_empty(), "alive after {SCHEDULES} schedules: {alive:?}");
}
