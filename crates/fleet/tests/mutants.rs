//! The model is worth what it can refute: with any one rule left out it finds what the rule is for. One test alone in this
//! process, as what is left out is left out in all of it.

mod common;

use common::searches;
use jaspershunt_fleet::mutants::{ALL, Mutant, activate};
use stateright::{Checker, HasDiscoveries, Model};

/// The search that is there for a rule; `None` for what is found by the simulation of whole fleets in the lab.
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
fn every_rule_left_out_is_found() {
    let mut found = 0;
    for mutant in ALL {
        let Some(search) = search_for(mutant) else { continue };
        activate(Some(mutant));
        let path = searches().into_iter().filter(|(name, _)| *name == search).find_map(|(_, model)| {
            let only = HasDiscoveries::AnyOf(std::collections::BTreeSet::from(["nothing is wrong"]));
            model.checker().threads(4).finish_when(only).spawn_dfs().join().discovery("nothing is wrong")
        });
        activate(None);
        let Some(path) = path else { panic!("{mutant:?} lives") };
        let wrong = path.last_state().wrong;
        println!("| {mutant:?} | {search} | {} | {} |", wrong.unwrap_or_default(), path.into_actions().len());
        found += 1;
    }
    assert_eq!(found, ALL.len() - 3);
}
