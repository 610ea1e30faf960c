//! The part by its entries: how edits end, bounds, trial, undo.

use crate::base::{Base, MAX_GONE, Terms};
use crate::edit::{Change, Edit, EditId, Key, MAX_CHANGES, Malformed, parse_edit};
use crate::merge::{ConflictId, Facts, MAX_CONFLICTS, Reason, State, merge};
use crate::part::{
    End, Entry, MAX_ENDED, MAX_ENTRY, MAX_LOG, MAX_ON_FIELD, MAX_OPEN, MAX_SHOWN, MAX_TEAMS, Outcome,
    Refusal, Routes, Seen,
};
use crate::stage::{
    Counts, LEAST_JUDGED, LONGEST_TRIAL_MS, MAX_REQUESTS, SHORTEST_TRIAL_MS, Verdict, Why, in_stage, judge,
};
use crate::table::{Field, Kind, Table, Thing, Value, WHOLE};
use jaspershunt_fleet::parts::Part;
use jaspershunt_fleet::{Fleet, Holder};

fn dependency(name: &str) -> Thing {
    Thing::new(Kind::Dependency, name)
}

fn set(thing: Thing, field: Field, value: Value) -> Change {
    Change::Set { thing, field, value }
}

fn budget(name: &str, calls: u32) -> Change {
    set(dependency(name), Field::Budget, Value::Number(calls))
}

fn edit(team: &str, number: u64, base: u64, changes: Vec<Change>) -> Edit {
    Edit { id: EditId { team: team.into(), number }, base, reason: "as agreed".into(), changes }
}

/// padron with 10 calls, firma with 10 that belongs to ares, a route of class alta into padron with 4.
fn routes() -> Routes {
    let mut table = Table::default();
    let budget = (Field::Budget, Value::Number(10));
    table.things.insert(dependency("padron"), [budget.clone()].into());
    table.things.insert(dependency("firma"), [budget, (Field::Owner, Value::Name("ares".into()))].into());
    table.things.insert(Thing::new(Kind::Class, "alta"), Default::default());
    table.things.insert(Thing::new(Kind::Region, "norte"), Default::default());
    let call = (Field::Call, Value::Call { to: "padron".into(), calls: 4 });
    let class = (Field::Class, Value::Name("alta".into()));
    table.things.insert(Thing::new(Kind::Route, "r1"), [call, class].into());
    Routes::new(table).expect("valid")
}

fn send(routes: &mut Routes, edit: &Edit) -> Outcome {
    routes.take(Entry::Edit(edit.clone()))
}

fn publish(routes: &mut Routes, permille: u32) -> Outcome {
    routes.take(Entry::Publish { permille, now_ms: 1 })
}

fn only_conflict(routes: &Routes) -> ConflictId {
    assert_eq!(routes.merged().conflicts.len(), 1, "{:?}", routes.merged());
    *routes.merged().conflicts.keys().next().expect("one")
}

fn settle(routes: &mut Routes, by: &str, keep: &[&Edit]) -> Outcome {
    let conflict = only_conflict(routes);
    routes.take(Entry::Settle { by: by.into(), conflict, keep: keep.iter().map(|edit| edit.key()).collect() })
}

#[test]
fn an_edit_sent_on_both_sides_of_a_cut_is_one_also_when_it_has_ended() {
    let mut routes = routes();
    let one = edit("brio", 1, 0, vec![budget("padron", 12)]);
    assert_eq!(send(&mut routes, &one), Outcome::Open(State::Taken));
    assert_eq!(send(&mut routes, &one), Outcome::Open(State::Taken));
    assert_eq!(publish(&mut routes, WHOLE), Outcome::Published(1));
    assert_eq!(send(&mut routes, &one), Outcome::Ended(End::Taken(1)));
    // Another under the same number is told so.
    let other = edit("brio", 1, 1, vec![budget("padron", 13)]);
    assert_eq!(send(&mut routes, &other), Outcome::Refused(Refusal::NumberTaken(one.id)));
}

#[test]
fn a_conflict_has_the_same_number_before_and_after_one_of_its_edits_is_published() {
    let one = edit("brio", 1, 0, vec![budget("padron", 12)]);
    let other = edit("casa", 1, 0, vec![budget("padron", 13)]);
    let (mut open, mut late) = (routes(), routes());
    send(&mut open, &one);
    send(&mut open, &other);
    send(&mut late, &one);
    publish(&mut late, WHOLE);
    // Its base has been compacted away meanwhile.
    send(&mut late, &other);
    assert_eq!(only_conflict(&open), only_conflict(&late));
    let said = late.merged().conflicts.values().next().expect("one").to_string();
    assert_eq!(
        said,
        "brio#1, casa#1 cannot be taken together: they set Budget of dependency/padron to different values; \
         brio#1 is in force"
    );
    // Whatever is kept, both end, and as many times as it is said.
    assert_eq!(settle(&mut late, "casa", &[&other]), Outcome::Done);
    assert_eq!(late.state(&other.key()), Some(Outcome::Open(State::Taken)));
    publish(&mut late, WHOLE);
    assert_eq!(late.table_of("n1").0.table.value(&dependency("padron"), Field::Budget), &Value::Number(13));
}

#[test]
fn a_sum_of_three_is_told_with_its_figures_and_settled_once() {
    let mut routes = routes();
    let call = |name: &str, calls| {
        let fields =
            [(Field::Call, Value::Call { to: "padron".into(), calls }), (Field::Order, Value::Number(calls))];
        Change::Add { thing: Thing::new(Kind::Route, name), fields: fields.into() }
    };
    let edits: Vec<Edit> = [("brio", "r2", 3), ("casa", "r3", 2), ("dado", "r4", 2)]
        .map(|(team, name, calls)| {
            // Orders differ, so that only the sum is in question.
            let mut change = call(name, calls);
            if let (Change::Add { fields, .. }, "dado") = (&mut change, team) {
                fields.insert(Field::Order, Value::Number(9));
            }
            edit(team, 1, 0, vec![change])
        })
        .into();
    for edit in &edits[..2] {
        assert_eq!(send(&mut routes, edit), Outcome::Open(State::Taken));
    }
    assert!(matches!(send(&mut routes, &edits[2]), Outcome::Open(State::InConflict(_))));
    let id = only_conflict(&routes);
    assert_eq!(
        routes.merged().conflicts[&id].to_string(),
        "brio#1, casa#1, dado#1 cannot be taken together: routes into dependency/padron take 11 calls of a budget of 10 \
         (brio#1 +3, casa#1 +2, dado#1 +2)"
    );
    let stranger = routes.take(Entry::Settle { by: "eco".into(), conflict: id, keep: Default::default() });
    assert_eq!(stranger, Outcome::Refused(Refusal::NotYours));
    let all = settle(&mut routes, "dado", &[&edits[0], &edits[1], &edits[2]]);
    assert_eq!(all, Outcome::Refused(Refusal::NotToKeep));
    assert_eq!(settle(&mut routes, "dado", &[&edits[0], &edits[2]]), Outcome::Done);
    // Once for all: another team that has not heard of it changes nothing.
    let again = Entry::Settle { by: "casa".into(), conflict: id, keep: [edits[1].key()].into() };
    assert_eq!(routes.take(again), Outcome::Refused(Refusal::Settled("dado".into())));
    assert_eq!(routes.state(&edits[0].key()), Some(Outcome::Open(State::Taken)));
    assert_eq!(routes.state(&edits[1].key()), Some(Outcome::Ended(End::Withdrawn("dado".into()))));
    assert_eq!(routes.state(&edits[2].key()), Some(Outcome::Open(State::Taken)));
}

#[test]
fn an_edit_that_is_kept_beside_a_rename_goes_by_the_new_name_before_and_after_it_is_published() {
    let rename = edit("brio", 1, 0, vec![Change::Rename { thing: dependency("padron"), to: "censo".into() }]);
    let other = edit("casa", 1, 0, vec![budget("padron", 12)]);
    for publish_first in [false, true] {
        let mut routes = routes();
        send(&mut routes, &rename);
        if publish_first {
            publish(&mut routes, WHOLE);
        }
        assert!(matches!(send(&mut routes, &other), Outcome::Open(State::InConflict(_))));
        assert_eq!(settle(&mut routes, "casa", &[&rename, &other]), Outcome::Done);
        publish(&mut routes, WHOLE);
        let (base, _) = routes.table_of("n1");
        assert_eq!(base.table.value(&dependency("censo"), Field::Budget), &Value::Number(12));
        assert!(!base.table.things.contains_key(&dependency("padron")));
    }
}

#[test]
fn anothers_part_is_touched_only_with_its_word() {
    let mut routes = routes();
    let one = edit("brio", 1, 0, vec![budget("firma", 12)]);
    let waits = Outcome::Open(State::Waits(["ares".to_string()].into()));
    assert_eq!(send(&mut routes, &one), waits);
    assert_eq!(publish(&mut routes, WHOLE), Outcome::Refused(Refusal::NothingNew));
    let word = |by: &str, yes| Entry::Word { by: by.into(), edit: one.key(), yes };
    assert_eq!(routes.take(word("casa", true)), Outcome::Refused(Refusal::NotYours));
    assert_eq!(routes.take(word("ares", true)), Outcome::Open(State::Taken));
    // No stands over yes, whichever came first.
    let denied = Outcome::Ended(End::Refused(Reason::Denied("ares".into())));
    assert_eq!(routes.take(word("ares", false)), denied);
}

#[test]
fn a_table_on_trial_is_the_firsts_and_goes_on_or_back() {
    let (mut on, one) = (routes(), edit("brio", 1, 0, vec![budget("padron", 12)]));
    send(&mut on, &one);
    publish(&mut on, 300);
    let names: Vec<String> = (0..300).map(|n| format!("nodo-{n}")).collect();
    let first: Vec<&String> = names.iter().filter(|name| on.table_of(name).1).collect();
    assert!((60..120).contains(&first.len()), "{}", first.len());
    assert!(first.iter().all(|name| in_stage(name, 300) && in_stage(name, 600)));
    let other = edit("casa", 1, 1, vec![budget("firma", 9)]);
    assert_eq!(publish(&mut on, 300), Outcome::Refused(Refusal::OnTrial(1)));
    send(&mut on, &other);
    let mut back = on.clone();
    // Ten of each side tell: as many failures as elsewhere, or thrice as many.
    let told = |routes: &mut Routes, with: bool, failed: u64| {
        for name in names.iter().filter(|name| in_stage(name, 300) == with).take(10) {
            let counts = Counts { requests: 1_000, failed, slow: 10 };
            let (by, revision) = (Holder::new(name, 1), u64::from(with));
            let told = Entry::Told { by, trial: 1, revision, counts };
            assert_eq!(routes.take(told), Outcome::Done);
        }
    };
    let step = |now_ms: u64| Entry::Step { revision: 1, now_ms };
    told(&mut on, false, 10);
    told(&mut back, false, 10);
    assert_eq!(on.take(step(1 + SHORTEST_TRIAL_MS)), Outcome::Refused(Refusal::TooEarly));
    told(&mut on, true, 10);
    told(&mut back, true, 30);
    assert_eq!(on.take(step(SHORTEST_TRIAL_MS)), Outcome::Refused(Refusal::TooEarly));
    // A clock that has gone back, and one that has not.
    assert_eq!(on.take(step(0)), Outcome::Refused(Refusal::TooEarly));
    assert_eq!(on.take(step(1 + SHORTEST_TRIAL_MS)), Outcome::Published(1));
    assert!(names.iter().all(|name| on.table_of(name).0.revision == 1));
    assert_eq!(back.take(step(2)), Outcome::Published(2));
    assert!(names.iter().all(|name| back.table_of(name).0.table == routes().kept_table()));
    let Some(Outcome::Ended(End::Refused(why))) = back.state(&one.key()) else {
        panic!("{:?}", back.state(&one.key()))
    };
    assert_eq!(
        why.to_string(),
        "revision 1 was taken back: more requests failed with it (10000 requests, 300 failed, 100 late; without it \
         10000 requests, 100 failed, 100 late)"
    );
    assert_eq!(back.take(step(2)), Outcome::Refused(Refusal::NotOnTrial));
    // What was open meanwhile stands over the old table.
    assert!(matches!(back.state(&other.key()), Some(Outcome::Open(State::Waits(_)))));
}

#[test]
fn what_cannot_be_the_counts_of_a_start_is_refused() {
    let (mut routes, n1) = (routes(), Holder::new("n1", 1));
    let told = |revision, trial, counts| Entry::Told { by: n1.clone(), trial, revision, counts };
    let good = Counts { requests: 10, failed: 1, slow: 2 };
    assert_eq!(routes.take(told(0, 1, good)), Outcome::Refused(Refusal::NotOnTrial));
    send(&mut routes, &edit("brio", 1, 0, vec![budget("padron", 12)]));
    publish(&mut routes, 999);
    assert!(in_stage("n1", 999));
    assert_eq!(routes.take(told(1, 0, good)), Outcome::Refused(Refusal::NotOnTrial));
    assert_eq!(routes.take(told(0, 1, good)), Outcome::Refused(Refusal::NotCounts));
    for (requests, failed, slow) in [(10, 6, 5), (MAX_REQUESTS + 1, 0, 0), (0, u64::MAX, u64::MAX)] {
        let counts = Counts { requests, failed, slow };
        assert_eq!(routes.take(told(1, 1, counts)), Outcome::Refused(Refusal::NotCounts));
    }
    // Of one that is not in the fleet nothing is taken, and of one that goes nothing stays.
    let said = |routes: &mut Routes, fleet: &Fleet| {
        Outcome::from_bytes(&routes.apply(fleet, &told(1, 1, good).to_bytes()))
    };
    let mut fleet = Fleet::default();
    assert_eq!(said(&mut routes, &fleet), Some(Outcome::Refused(Refusal::Gone)));
    fleet.apply(&jaspershunt_fleet::Entry::Enrol { holder: n1.clone() });
    assert_eq!(said(&mut routes, &fleet), Some(Outcome::Done));
    assert_eq!(routes.on_trial().map(|of| of.with), Some(good));
    fleet.apply(&jaspershunt_fleet::Entry::Gone { holder: n1.clone() });
    routes.members_changed(&fleet);
    assert_eq!(routes.on_trial().map(|of| of.with), Some(Counts::default()));
}

#[test]
fn a_table_is_judged_by_failures_and_slow_answers_beyond_chance() {
    let counts = |requests, failed, slow| Counts { requests, failed, slow };
    let (good, long) = (counts(10_000, 100, 50), SHORTEST_TRIAL_MS);
    assert_eq!(judge(&good, &counts(10_000, 105, 50), long), Verdict::GoesOn);
    assert_eq!(judge(&good, &counts(10_000, 105, 50), long - 1), Verdict::Wait);
    assert_eq!(judge(&good, &counts(10_000, 200, 50), 0), Verdict::GoesBack(Why::Failures));
    assert_eq!(judge(&good, &counts(10_000, 100, 150), 0), Verdict::GoesBack(Why::Slow));
    // More than is let pass and maybe chance.
    assert_eq!(judge(&good, &counts(LEAST_JUDGED, 8, 2), long), Verdict::Wait);
    assert_eq!(judge(&good, &counts(LEAST_JUDGED - 1, 400, 2), long), Verdict::Wait);
    // However long, too few never say that it does no worse.
    let few = counts(LEAST_JUDGED - 1, 0, 0);
    assert_eq!(judge(&good, &few, LONGEST_TRIAL_MS - 1), Verdict::Wait);
    assert_eq!(judge(&good, &few, LONGEST_TRIAL_MS), Verdict::GoesBack(Why::TooFew));
    assert_eq!(judge(&few, &good, LONGEST_TRIAL_MS), Verdict::GoesBack(Why::TooFew));
    // What stays in doubt to the end is too small to be seen.
    assert_eq!(judge(&good, &counts(LEAST_JUDGED, 8, 2), LONGEST_TRIAL_MS), Verdict::GoesOn);
}

#[test]
fn undo_is_an_edit() {
    let mut routes = routes();
    let swap = vec![
        Change::Remove { thing: dependency("padron") },
        Change::Add { thing: dependency("censo"), fields: [(Field::Budget, Value::Number(5))].into() },
        set(Thing::new(Kind::Route, "r1"), Field::Call, Value::Call { to: "censo".into(), calls: 5 }),
    ];
    let before = routes.kept_table();
    let one = edit("brio", 1, 0, swap);
    send(&mut routes, &one);
    publish(&mut routes, WHOLE);
    let undo = routes
        .undo(&one.key(), EditId { team: "brio".into(), number: 2 }, "did not help")
        .expect("in the log");
    assert_eq!(send(&mut routes, &undo), Outcome::Open(State::Taken));
    publish(&mut routes, WHOLE);
    assert_eq!((routes.kept_table(), routes.revision()), (before, 2));
}

#[test]
fn what_is_wrong_by_itself_is_refused_with_its_figures() {
    let mut routes = routes();
    let mut refused = |changes| match send(&mut routes, &edit("brio", 1, 0, changes)) {
        Outcome::Ended(End::Refused(reason)) => {
            // Each under a number of its own would do as well.
            routes = self::routes();
            reason.to_string()
        }
        other => format!("{other:?}"),
    };
    assert_eq!(
        refused(vec![budget("padron", 3)]),
        "routes into dependency/padron take 4 calls of a budget of 3"
    );
    assert_eq!(refused(vec![budget("correo", 3)]), "there is no dependency/correo");
    let remove = Change::Remove { thing: dependency("padron") };
    assert_eq!(refused(vec![remove]), "it removes dependency/padron, which route/r1 names");
    let next = |of: &str, to: &str| set(dependency(of), Field::Fallback, Value::Name(to.into()));
    let round = refused(vec![next("firma", "padron"), next("padron", "firma")]);
    assert!(round.contains("firma, whose") || round.contains("Waits"), "{round}");
    assert_eq!(refused(vec![next("padron", "padron")]), "fall-backs go round: padron → padron");
    assert_eq!(refused(vec![next("padron", "correo")]), "it names dependency/correo, which is not there");
}

#[test]
fn bounds_are_reached_and_named() {
    let mut routes = routes();
    let full = |name: &str| Outcome::Refused(Refusal::Full(name.into()));
    for number in 1..=MAX_OPEN as u64 {
        let thing = Thing::new(Kind::Region, &format!("r{number}"));
        send(&mut routes, &edit("brio", number, 0, vec![Change::Add { thing, fields: Default::default() }]));
    }
    assert_eq!(send(&mut routes, &edit("brio", 9999, 0, vec![budget("padron", 9)])), full("MAX_OPEN"));

    let mut routes = self::routes();
    for number in 1..=24 {
        // All set one field to different values: more conflicts than are told.
        send(&mut routes, &edit("brio", number, 0, vec![budget("padron", 10 + number as u32)]));
    }
    assert_eq!(routes.merged().conflicts.len(), MAX_CONFLICTS);
    assert!(routes.merged().states.values().all(|state| matches!(state, State::InConflict(_))));
    let seen = Seen::from_bytes(&routes.view_for(&Holder::new("n1", 1))).expect("its own bytes");
    assert_eq!(seen.conflicts.len(), MAX_SHOWN);

    let mut routes = self::routes();
    let mut number = 0;
    // An edit that is refused ends at once, and its number is known for as long as the bound says.
    for _ in 0..=MAX_ENDED {
        number += 1;
        send(&mut routes, &edit("brio", number, 0, vec![budget("correo", 9)]));
    }
    let first = edit("brio", 1, 0, vec![budget("padron", 20)]);
    assert_eq!(send(&mut routes, &first), Outcome::Refused(Refusal::NumberOld(1)));
    for team in 0..MAX_TEAMS {
        send(&mut routes, &edit(&format!("t{team}"), 1, 0, vec![budget("correo", 9)]));
    }
    assert_eq!(send(&mut routes, &edit("zeta", 1, 0, vec![budget("padron", 9)])), full("MAX_TEAMS"));
    for _ in 0..=MAX_LOG {
        number += 1;
        let base = routes.revision();
        send(&mut routes, &edit("brio", number, base, vec![budget("padron", 10 + (number % 7) as u32)]));
        publish(&mut routes, WHOLE);
    }
    assert_eq!(routes.log().count(), MAX_LOG);

    let many = edit("brio", 1, 0, vec![budget("padron", 9); MAX_CHANGES + 1]);
    assert_eq!(many.check(), Err(Malformed::Changes(MAX_CHANGES + 1)));
    let long = Edit { reason: "x".repeat(257), ..first.clone() };
    assert_eq!(long.check(), Err(Malformed::Reason(257)));
    assert!(matches!(parse_edit("{}"), Err(Malformed::NotRead(_))));
    let nothing = Outcome::from_bytes(&routes.apply(&Fleet::default(), &vec![0; MAX_ENTRY + 1]));
    assert_eq!(nothing, Some(Outcome::Refused(Refusal::NotRead)));
}

#[test]
fn what_was_saved_goes_on_alike() {
    let mut routes = routes();
    send(&mut routes, &edit("brio", 1, 0, vec![budget("padron", 12)]));
    publish(&mut routes, 300);
    send(&mut routes, &edit("casa", 1, 0, vec![budget("padron", 13)]));
    let mut other = Routes::default();
    assert!(other.load(&routes.save()));
    assert_eq!(other, routes);
    assert!(!other.load(&[7; 3]));
    let entry = Entry::Step { revision: 1, now_ms: 1 + LONGEST_TRIAL_MS }.to_bytes();
    let (fleet, n1) = (Fleet::default(), Holder::new("n1", 1));
    let before = routes.epoch(&n1);
    assert_eq!(routes.apply(&fleet, &entry), other.apply(&fleet, &entry));
    assert_eq!(routes.save(), other.save());
    assert!(routes.epoch(&n1) > before);
}

#[test]
fn a_snapshot_says_how_many_requests_of_a_class_and_a_tenant_there_may_be() {
    let mut table = Table::default();
    let number = |field, number| [(field, Value::Number(number))].into();
    table.things.insert(Thing::new(Kind::Class, "alta"), number(Field::Limit, 3));
    table.things.insert(Thing::new(Kind::Class, "baja"), Default::default());
    for (name, share) in [("uno", 300), ("dos", 1), ("tres", 0)] {
        table.things.insert(Thing::new(Kind::Tenant, name), number(Field::Share, share));
    }
    let snapshot = crate::Snapshot::new(1, false, 0, table);
    assert_eq!(["alta", "baja", "otra"].map(|class| snapshot.limit(class)), [Some(3), None, None]);
    let places = ["uno", "dos", "tres", "otro"].map(|tenant| snapshot.places(tenant, 20));
    assert_eq!(places, [Some(6), Some(1), Some(0), None]);
}

#[test]
fn a_snapshot_says_why() {
    let mut routes = routes();
    let norte = Value::Names(["norte".to_string()].into());
    send(&mut routes, &edit("brio", 1, 0, vec![set(Thing::new(Kind::Route, "r1"), Field::Regions, norte)]));
    publish(&mut routes, WHOLE);
    let seen = Seen::from_bytes(&routes.view_for(&Holder::new("n1", 1))).expect("its own bytes");
    let snapshot = seen.snapshot(1000);
    assert_eq!(snapshot.allows("alta", "uno"), ["norte".to_string()].into());
    assert_eq!(snapshot.allows("baja", "uno"), Default::default());
    assert_eq!(snapshot.chooses("alta", "uno", 2).expect("a route").to, "padron");
    assert_eq!(snapshot.chooses("baja", "uno", 2), None);
    let why = "revision 1, heard 500 ms ago\n\
               first route/r1 (order last, of nobody): call any to padron with 4 calls, regions norte\n  \
               dependency/padron: budget 10, falls back on nothing\nallowed: norte\n";
    assert_eq!(snapshot.why("alta", "uno", 1500), why);
}

#[test]
fn a_sum_with_more_sets_than_can_be_looked_at_holds_all_that_take_part() {
    let mut facts = Facts::default();
    for number in 0..40 {
        let call = Value::Call { to: "padron".into(), calls: 1 };
        // In an order, so that only the sum is in question; six of forty fit.
        let fields = [(Field::Call, call), (Field::Order, Value::Number(number))];
        let thing = Thing::new(Kind::Route, &format!("x{number}"));
        let one = edit("brio", u64::from(number), 0, vec![Change::Add { thing, fields: fields.into() }]);
        facts.edits.insert(one.key(), one);
    }
    let beside = edit("casa", 1, 0, vec![budget("firma", 9)]);
    facts.words.insert(beside.key(), [("ares".to_string(), true)].into());
    facts.edits.insert(beside.key(), beside.clone());
    let routes = routes();
    let merged = merge(routes.table_of("n1").0, &facts);
    assert_eq!(merged.taken().collect::<Vec<_>>(), [&beside.key()]);
    assert!(merged.states.values().filter(|state| matches!(state, State::InConflict(_))).count() == 40);
}

#[test]
fn what_is_gone_is_remembered_within_its_bound() {
    let mut base = Base::new(Table::default());
    for number in 0..=MAX_GONE as u64 {
        let thing = Thing::new(Kind::Region, &format!("r{number}"));
        base.table.things.insert(thing.clone(), Default::default());
        let one = edit("brio", number, number, vec![Change::Remove { thing }]);
        base.apply(&one, &Terms::default(), number + 1).expect("there");
        base.forget();
    }
    assert_eq!(base.gone.len(), MAX_GONE);
    assert!(!base.gone.contains_key(&Thing::new(Kind::Region, "r0")));
}

impl Routes {
    fn kept_table(&self) -> Table {
        self.table_of("n1").0.table.clone()
    }
}

#[test]
fn a_key_tells_edits_of_one_number_apart() {
    let key = |calls| -> Key { edit("brio", 1, 0, vec![budget("padron", calls)]).key() };
    assert!(key(1) == key(1) && key(1) != key(2));
}

/// Guards against minutes for one entry. Each pair of edits of one field is compared at each entry: 512 with 512 values took minutes to come in.
#[test]
fn edits_of_one_field_are_bounded_and_the_next_is_refused_in_words() {
    let mut routes = Routes::default();
    let padron = Thing::new(Kind::Dependency, "padron");
    let send = |routes: &mut Routes, number: usize, changes: Vec<Change>| {
        let id = EditId { team: format!("t{number}"), number: 1 };
        routes.take(Entry::Edit(Edit { id, base: routes.revision(), reason: "more".into(), changes }))
    };
    let fields = [(Field::Budget, Value::Number(1))].into();
    send(&mut routes, 1000, vec![Change::Add { thing: padron.clone(), fields }]);
    assert_eq!(routes.take(Entry::Publish { permille: WHOLE, now_ms: 0 }), Outcome::Published(1));
    let budget = |number: usize| {
        let value = Value::Number(u32::try_from(number).unwrap() + 10);
        vec![Change::Set { thing: padron.clone(), field: Field::Budget, value }]
    };
    for number in 0..MAX_ON_FIELD {
        let outcome = send(&mut routes, number, budget(number));
        assert!(matches!(outcome, Outcome::Open(_)), "{number}: {outcome:?}");
    }
    let outcome = send(&mut routes, MAX_ON_FIELD, budget(MAX_ON_FIELD));
    let words = "refused: 64 open edits say what becomes of Budget of dependency/padron: settle or withdraw some first";
    assert_eq!(outcome.to_string(), words);
    // One that came before is known still, and another field is free.
    assert!(matches!(send(&mut routes, 3, budget(3)), Outcome::Open(_)));
    let share = vec![Change::Set { thing: padron.clone(), field: Field::Share, value: Value::Number(5) }];
    assert!(matches!(send(&mut routes, MAX_ON_FIELD + 1, share), Outcome::Open(State::Taken)));
    // And so does room that is made.
    let gone = routes.open().find(|(key, _)| key.id.team == "t7").unwrap().0.clone();
    routes.take(Entry::Withdraw { by: "t7".into(), edit: gone });
    assert!(matches!(send(&mut routes, MAX_ON_FIELD, budget(MAX_ON_FIELD)), Outcome::Open(_)));
    // Removals and renames of one thing are bounded alike.
    let mut last = None;
    for number in 0..=MAX_ON_FIELD {
        let to = format!("p{number}");
        last = Some(send(&mut routes, 2000 + number, vec![Change::Rename { thing: padron.clone(), to }]));
    }
    assert_eq!(last, Some(Outcome::Refused(Refusal::Crowded(padron, None))));
}
