//! Checks that the model detects each mutant. This is the only test of its process, as a mutant is active in
//! the whole process.

mod common;

use common::searches;
use jaspershunt_fleet::mutants::{ALL, Mutant, activate};
use stateright::{Checker, HasDiscoveries, Model};

/// The search that detects a mutant; `None` for those detected by the simulation of whole fleets in the lab.
fn search_for(mutant: Mutant) -> Option<&'static str> {
    Some(match mutant {
        Mutant::CountsFromReceipt | Mutant::NoDriftMargin => "plain",
        Mutant::NewLeaderGrantsAtOnce | Mutant::RenewedByAMinority => "change of leader",
        Mutant::SnapshotForgetsTokens => "snapshot",
        Mutant::IncarnationIgnored => "second start",
        Mutant::LateReleaseHonoured | Mutant::GivenUpComesBack => "given up",
        Mutant::ActIsNotWaitedOut => "acts",
        Mutant::EndingGoesOn => "slow majority",
        Mutant::OldTokenWritesCursor => "cursors",
        Mutant::SaidBeforeSynced | Mutant::RevokedEndsAtOnce | Mutant::SeatsNotWritten => return None,
    })
}

#[test]
fn every_mutant_is_detected() {
    let mut found = 0;
    for mutant in ALL {
        let Some(search) = search_for(mutant) else { continue };
        activate(Some(mutant));
        let path = searches().into_iter().filter(|(name, _)| *name == search).find_map(|(_, model)| {
            let only = HasDiscoveries::AnyOf(std::collections::BTreeSet::from(["nothing is wrong"]));
            model.checker().threads(4).finish_when(only).spawn_dfs().join().discovery("nothing is wrong")
        });
        activate(None);
        let Some(path) = path else { panic!("{mutant:?} was not detected") };
        let violation = path.last_state().violation;
        println!(
            "| {mutant:?} | {search} | {} | {} |",
            violation.unwrap_or_default(),
            path.into_actions().len()
        );
        found += 1;
    }
    assert_eq!(found, ALL.len() - 3);
}
