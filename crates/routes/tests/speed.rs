//! Measures how many edits are merged in a second. The rate is printed and must exceed the required minimum,
//! which a busy machine reaches as well.

use jaspershunt_routes::table::FULL_SHARE_PERMILLE;
use jaspershunt_routes::{
    Change, Edit, EditId, EditState, Entry, Field, Kind, Outcome, Routes, Table, Thing, Value,
};
use std::time::Instant;

/// 40 teams of a fleet of 300 nodos, each with a class, a dependency and ten routes; a table is published
/// after every hundred edits.
#[test]
fn forty_teams_reach_the_required_rate_of_edits() {
    let mut table = Table::default();
    let named = |value: String| Value::Name(value);
    for team in 0..40 {
        let owner = (Field::Owner, named(format!("team-{team}")));
        let class = Thing::new(Kind::Class, &format!("class-{team}"));
        table.things.insert(class, [owner.clone()].into());
        let dependency = Thing::new(Kind::Dependency, &format!("db-{team}"));
        table.things.insert(dependency, [owner, (Field::Budget, Value::Number(1000))].into());
        for route in 0..10 {
            let call = Value::Call { to: format!("db-{team}"), calls: 10 };
            let fields = [
                (Field::Class, named(format!("class-{team}"))),
                (Field::Call, call),
                (Field::Order, Value::Number(route)),
            ];
            table.things.insert(Thing::new(Kind::Route, &format!("r-{team}-{route}")), fields.into());
        }
    }
    let mut routes = Routes::new(table).expect("valid");
    let (begin, edits) = (Instant::now(), 2000u64);
    let mut conflicts = 0;
    for number in 1..=edits {
        let team = number % 40;
        // One in twenty edits targets another team's dependency; two edits of one team may change the same
        // route.
        let to = if number % 20 == 0 { (team + 1) % 40 } else { team };
        let value = Value::Call { to: format!("db-{to}"), calls: (number % 13) as u32 };
        let thing = Thing::new(Kind::Route, &format!("r-{team}-{}", (number / 80) % 10));
        let edit = Edit {
            id: EditId { team: format!("team-{team}"), number },
            base: routes.revision(),
            reason: "measured".into(),
            changes: vec![Change::Set { thing, field: Field::Call, value }],
        };
        let outcome = routes.apply_entry(Entry::Edit(edit));
        conflicts += usize::from(matches!(outcome, Outcome::Open(EditState::InConflict(_))));
        if number % 100 == 0 {
            let published =
                routes.apply_entry(Entry::Publish { permille: FULL_SHARE_PERMILLE, now_ms: number });
            assert!(matches!(published, Outcome::Published(_)), "{published:?}");
            let open: Vec<_> = routes.merged().conflicts.iter().map(|(id, of)| (*id, of.clone())).collect();
            for (conflict, of) in open {
                // Keeps the first edit of each conflict, unless another settlement has ended the conflict.
                let keep = of.members.iter().take(1).cloned().collect();
                let by = of.teams.first().cloned().unwrap_or_default();
                routes.apply_entry(Entry::Settle { by, conflict, keep });
            }
        }
    }
    let rate = edits as f64 / begin.elapsed().as_secs_f64();
    assert!(conflicts > 100, "{conflicts}");
    println!("{rate:.0} edits a second, {conflicts} in conflict, revision {}", routes.revision());
    assert!(rate > 100.0, "{rate}");
}
