//! Mutation test: with any one rule disabled, the check for that rule fails. There is one test in this file
//! because a mutant is active in the whole process.

use jaspershunt_routes::merge::{MergeInput, merge};
use jaspershunt_routes::mutants::{ALL, Mutant, activate};
use jaspershunt_routes::soak::{Soaked, check_seed, random_case};
use jaspershunt_routes::table::FULL_SHARE_PERMILLE;
use jaspershunt_routes::trial_sim::{self, Tried};
use jaspershunt_routes::{
    Change, Edit, EditId, EditState, Entry, Field, Kind, Outcome, Routes, Table, Thing, Value,
};

/// Number of seeds for brute force.
const SEEDS: u64 = 200;

fn padron() -> Thing {
    Thing::new(Kind::Dependency, "padron")
}

fn routes(owner: Option<&str>) -> Routes {
    let mut table = Table::default();
    let owner = owner.map(|team| (Field::Owner, Value::Name(team.into())));
    table.things.insert(padron(), [(Field::Budget, Value::Number(10))].into_iter().chain(owner).collect());
    Routes::new(table).expect("valid")
}

fn edit(team: &str, number: u64, change: Change) -> Edit {
    Edit { id: EditId { team: team.into(), number }, base: 0, reason: "a try".into(), changes: vec![change] }
}

fn budget(team: &str, calls: u32) -> Edit {
    edit(team, 1, Change::Set { thing: padron(), field: Field::Budget, value: Value::Number(calls) })
}

fn publish(routes: &mut Routes, permille: u32) {
    routes.apply_entry(Entry::Publish { permille, now_ms: 1 });
}

/// Runs the check for a mutant; returns its name and the failure, if any.
fn run_check(mutant: Mutant) -> (&'static str, Option<String>) {
    match mutant {
        Mutant::LastWriterWins
        | Mutant::SumByPairs
        | Mutant::CircleNotLookedFor
        | Mutant::LossNotSeen
        | Mutant::OverlapNotCompared => {
            let found = (1..SEEDS)
                .find_map(|seed| check_seed(seed, &mut Soaked::default()).map(|_| format!("seed {seed}")));
            ("brute force", found)
        }
        Mutant::FewDecide | Mutant::GoneCount | Mutant::ToldTwice | Mutant::AnySideCounts => {
            let found = (1..SEEDS).find_map(|seed| {
                trial_sim::run_seed(seed, &mut Tried::default()).map(|what| format!("seed {seed}: {what}"))
            });
            ("simulated trials", found)
        }
        Mutant::NumberedByPlace => ("conflict ids are stable", (1..SEEDS).find_map(ids_differ)),
        Mutant::ShownBeforeAgreed => ("trial", {
            let mut routes = routes(None);
            routes.apply_entry(Entry::Edit(budget("brio", 12)));
            publish(&mut routes, 100);
            let with = (0..300).filter(|n| routes.table_for(&format!("nodo-{n}")).1).count();
            (with > 60).then(|| format!("{with} of 300 have it"))
        }),
        Mutant::RenameNotFollowed => ("rename", {
            let mut routes = routes(None);
            let rename = edit("brio", 1, Change::Rename { thing: padron(), to: "censo".into() });
            routes.apply_entry(Entry::Edit(rename.clone()));
            routes.apply_entry(Entry::Edit(budget("casa", 12)));
            let conflict = *routes.merged().conflicts.keys().next().expect("a conflict");
            let keep = [rename.key(), budget("casa", 12).key()].into();
            routes.apply_entry(Entry::Settle { by: "casa".into(), conflict, keep });
            publish(&mut routes, FULL_SHARE_PERMILLE);
            let value = routes.table_for("n1").0.table.value(&padron().named("censo"), Field::Budget).clone();
            (value != Value::Number(12)).then(|| format!("{value}"))
        }),
        Mutant::WordNotAsked => ("consent", {
            let outcome = routes(Some("ares")).apply_entry(Entry::Edit(budget("brio", 12)));
            (outcome == Outcome::Open(EditState::Accepted)).then(|| format!("{outcome:?}"))
        }),
        Mutant::SettledTwice => ("settled once", {
            let mut routes = routes(None);
            let (one, other) = (budget("brio", 12), budget("casa", 13));
            routes.apply_entry(Entry::Edit(one.clone()));
            routes.apply_entry(Entry::Edit(other.clone()));
            let conflict = *routes.merged().conflicts.keys().next().expect("a conflict");
            for (by, keep) in [("brio", &one), ("casa", &other)] {
                routes.apply_entry(Entry::Settle { by: by.into(), conflict, keep: [keep.key()].into() });
            }
            let outcome = routes.outcome_of(&one.key());
            (outcome != Some(Outcome::Open(EditState::Accepted))).then(|| format!("{outcome:?}"))
        }),
        Mutant::BaseIgnored => ("late edit", {
            let mut routes = routes(None);
            routes.apply_entry(Entry::Edit(budget("brio", 12)));
            publish(&mut routes, FULL_SHARE_PERMILLE);
            let outcome = routes.apply_entry(Entry::Edit(budget("casa", 13)));
            (!matches!(outcome, Outcome::Open(EditState::InConflict(_)))).then(|| format!("{outcome:?}"))
        }),
        Mutant::EndForgotten => ("sent twice", {
            let mut routes = routes(None);
            routes.apply_entry(Entry::Edit(budget("brio", 12)));
            publish(&mut routes, FULL_SHARE_PERMILLE);
            let outcome = routes.apply_entry(Entry::Edit(budget("brio", 12)));
            (!matches!(outcome, Outcome::Ended(_))).then(|| format!("{outcome:?}"))
        }),
    }
}

/// Checks that a conflict has the same id when more edits are known.
fn ids_differ(seed: u64) -> Option<String> {
    let (base, input) = random_case(seed);
    let all = merge(&base, &input);
    let pair =
        all.conflicts.values().next_back().filter(|conflict| conflict.members.len() < input.edits.len())?;
    let mut few = MergeInput::default();
    for key in &pair.members {
        few.edits.insert(key.clone(), input.edits[key].clone());
    }
    let alone = merge(&base, &few);
    let id = |merged: &jaspershunt_routes::merge::MergeResult| {
        merged.conflicts.iter().find(|(_, of)| of.members == pair.members).map(|(id, _)| *id)
    };
    (id(&alone) != id(&all)).then(|| format!("seed {seed}"))
}

#[test]
fn every_mutant_is_detected() {
    for mutant in ALL {
        activate(None);
        assert_eq!(run_check(mutant).1, None, "{mutant:?}: the check fails without a mutant");
        activate(Some(mutant));
        let (check, found) = run_check(mutant);
        activate(None);
        let Some(found) = found else { panic!("{mutant:?} is not detected") };
        println!("| {mutant:?} | {check} | {found} |");
    }
}
