//! Tests of the part by its entries: how edits end, bounds, trials, undo.

use crate::base::{Base, EditContext, MAX_RETIRED_NAMES};
use crate::edit::{Change, Edit, EditId, EditKey, MAX_CHANGES, Malformed, parse_edit};
use crate::merge::{ConflictId, EditState, MAX_CONFLICTS, MergeInput, RefusalReason, merge};
use crate::part::{
    Entry, FinalState, MAX_ENDED_PER_TEAM, MAX_ENTRY_BYTES, MAX_OPEN, MAX_OPEN_PER_FIELD,
    MAX_PUBLISHED_EDITS, MAX_SHOWN_CONFLICTS, MAX_TEAMS, MemberView, Outcome, Refusal, Routes,
};
use crate::table::{FULL_SHARE_PERMILLE, Field, Kind, Table, Thing, Value};
use crate::trial::{
    Counts, MAX_REPORTED_REQUESTS, MAX_TRIAL_MS, MIN_REQUESTS_PER_SIDE, MIN_TRIAL_MS, RollbackReason,
    Verdict, in_trial, judge,
};
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

/// padron with 10 calls, firma with 10 and owned by ares, a route of class alta to padron with 4.
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
    routes.apply_entry(Entry::Edit(edit.clone()))
}

fn publish(routes: &mut Routes, permille: u32) -> Outcome {
    routes.apply_entry(Entry::Publish { permille, now_ms: 1 })
}

fn only_conflict(routes: &Routes) -> ConflictId {
    assert_eq!(routes.merged().conflicts.len(), 1, "{:?}", routes.merged());
    *routes.merged().conflicts.keys().next().expect("one")
}

fn settle(routes: &mut Routes, by: &str, keep: &[&Edit]) -> Outcome {
    let conflict = only_conflict(routes);
    routes.apply_entry(Entry::Settle {
        by: by.into(),
        conflict,
        keep: keep.iter().map(|edit| edit.key()).collect(),
    })
}

#[test]
fn an_edit_sent_on_both_sides_of_a_partition_counts_once_even_after_it_has_ended() {
    let mut routes = routes();
    let one = edit("brio", 1, 0, vec![budget("padron", 12)]);
    assert_eq!(send(&mut routes, &one), Outcome::Open(EditState::Accepted));
    assert_eq!(send(&mut routes, &one), Outcome::Open(EditState::Accepted));
    assert_eq!(publish(&mut routes, FULL_SHARE_PERMILLE), Outcome::Published(1));
    assert_eq!(send(&mut routes, &one), Outcome::Ended(FinalState::Published(1)));
    // A different edit with the same number is refused.
    let other = edit("brio", 1, 1, vec![budget("padron", 13)]);
    assert_eq!(send(&mut routes, &other), Outcome::Refused(Refusal::NumberTaken(one.id)));
}

#[test]
fn a_conflict_keeps_its_id_when_one_of_its_edits_is_published() {
    let one = edit("brio", 1, 0, vec![budget("padron", 12)]);
    let other = edit("casa", 1, 0, vec![budget("padron", 13)]);
    let (mut open, mut late) = (routes(), routes());
    send(&mut open, &one);
    send(&mut open, &other);
    send(&mut late, &one);
    publish(&mut late, FULL_SHARE_PERMILLE);
    // The revision that this edit is based on is no longer the present one.
    send(&mut late, &other);
    assert_eq!(only_conflict(&open), only_conflict(&late));
    let text = late.merged().conflicts.values().next().expect("one").to_string();
    assert_eq!(
        text,
        "brio#1, casa#1 cannot be taken together: they set Budget of dependency/padron to different values; \
         brio#1 is in force"
    );
    // The kept edit overrides the published one.
    assert_eq!(settle(&mut late, "casa", &[&other]), Outcome::Done);
    assert_eq!(late.outcome_of(&other.key()), Some(Outcome::Open(EditState::Accepted)));
    publish(&mut late, FULL_SHARE_PERMILLE);
    assert_eq!(late.table_for("n1").0.table.value(&dependency("padron"), Field::Budget), &Value::Number(13));
}

#[test]
fn a_sum_exceeded_by_three_edits_is_reported_with_figures_and_settled_once() {
    let mut routes = routes();
    let call = |name: &str, calls| {
        let fields =
            [(Field::Call, Value::Call { to: "padron".into(), calls }), (Field::Order, Value::Number(calls))];
        Change::Add { thing: Thing::new(Kind::Route, name), fields: fields.into() }
    };
    let edits: Vec<Edit> = [("brio", "r2", 3), ("casa", "r3", 2), ("dado", "r4", 2)]
        .map(|(team, name, calls)| {
            // The orders differ, so that only the sum conflicts.
            let mut change = call(name, calls);
            if let (Change::Add { fields, .. }, "dado") = (&mut change, team) {
                fields.insert(Field::Order, Value::Number(9));
            }
            edit(team, 1, 0, vec![change])
        })
        .into();
    for edit in &edits[..2] {
        assert_eq!(send(&mut routes, edit), Outcome::Open(EditState::Accepted));
    }
    assert!(matches!(send(&mut routes, &edits[2]), Outcome::Open(EditState::InConflict(_))));
    let id = only_conflict(&routes);
    assert_eq!(
        routes.merged().conflicts[&id].to_string(),
        "brio#1, casa#1, dado#1 cannot be taken together: routes into dependency/padron take 11 calls of a budget of 10 \
         (brio#1 +3, casa#1 +2, dado#1 +2)"
    );
    let stranger =
        routes.apply_entry(Entry::Settle { by: "eco".into(), conflict: id, keep: Default::default() });
    assert_eq!(stranger, Outcome::Refused(Refusal::NotAuthorized));
    let all = settle(&mut routes, "dado", &[&edits[0], &edits[1], &edits[2]]);
    assert_eq!(all, Outcome::Refused(Refusal::InvalidKeep));
    assert_eq!(settle(&mut routes, "dado", &[&edits[0], &edits[2]]), Outcome::Done);
    // A conflict is settled once: a team that does not know of the settlement changes nothing.
    let again = Entry::Settle { by: "casa".into(), conflict: id, keep: [edits[1].key()].into() };
    assert_eq!(routes.apply_entry(again), Outcome::Refused(Refusal::AlreadySettled("dado".into())));
    assert_eq!(routes.outcome_of(&edits[0].key()), Some(Outcome::Open(EditState::Accepted)));
    assert_eq!(
        routes.outcome_of(&edits[1].key()),
        Some(Outcome::Ended(FinalState::Withdrawn("dado".into())))
    );
    assert_eq!(routes.outcome_of(&edits[2].key()), Some(Outcome::Open(EditState::Accepted)));
}

#[test]
fn an_edit_kept_with_a_rename_uses_the_new_name_before_and_after_publication() {
    let rename = edit("brio", 1, 0, vec![Change::Rename { thing: dependency("padron"), to: "censo".into() }]);
    let other = edit("casa", 1, 0, vec![budget("padron", 12)]);
    for publish_first in [false, true] {
        let mut routes = routes();
        send(&mut routes, &rename);
        if publish_first {
            publish(&mut routes, FULL_SHARE_PERMILLE);
        }
        assert!(matches!(send(&mut routes, &other), Outcome::Open(EditState::InConflict(_))));
        assert_eq!(settle(&mut routes, "casa", &[&rename, &other]), Outcome::Done);
        publish(&mut routes, FULL_SHARE_PERMILLE);
        let (base, _) = routes.table_for("n1");
        assert_eq!(base.table.value(&dependency("censo"), Field::Budget), &Value::Number(12));
        assert!(!base.table.things.contains_key(&dependency("padron")));
    }
}

#[test]
fn an_edit_affects_things_of_another_team_only_with_its_consent() {
    let mut routes = routes();
    let one = edit("brio", 1, 0, vec![budget("firma", 12)]);
    let awaits_consent = Outcome::Open(EditState::AwaitsConsent(["ares".to_string()].into()));
    assert_eq!(send(&mut routes, &one), awaits_consent);
    assert_eq!(publish(&mut routes, FULL_SHARE_PERMILLE), Outcome::Refused(Refusal::NothingToPublish));
    let consent = |by: &str, granted| Entry::Consent { by: by.into(), edit: one.key(), granted };
    assert_eq!(routes.apply_entry(consent("casa", true)), Outcome::Refused(Refusal::NotAuthorized));
    assert_eq!(routes.apply_entry(consent("ares", true)), Outcome::Open(EditState::Accepted));
    // A denial prevails over consent.
    let denied = Outcome::Ended(FinalState::Refused(RefusalReason::Denied("ares".into())));
    assert_eq!(routes.apply_entry(consent("ares", false)), denied);
}

#[test]
fn a_table_on_trial_is_adopted_or_rolled_back() {
    let (mut adopted, one) = (routes(), edit("brio", 1, 0, vec![budget("padron", 12)]));
    send(&mut adopted, &one);
    publish(&mut adopted, 300);
    let names: Vec<String> = (0..300).map(|n| format!("nodo-{n}")).collect();
    let first: Vec<&String> = names.iter().filter(|name| adopted.table_for(name).1).collect();
    assert!((60..120).contains(&first.len()), "{}", first.len());
    assert!(first.iter().all(|name| in_trial(name, 300) && in_trial(name, 600)));
    let other = edit("casa", 1, 1, vec![budget("firma", 9)]);
    assert_eq!(publish(&mut adopted, 300), Outcome::Refused(Refusal::TrialRunning(1)));
    send(&mut adopted, &other);
    let mut rolled_back = adopted.clone();
    // Ten members of each side report; with the table as many failures as without it, or three times as
    // many.
    let report = |routes: &mut Routes, with: bool, failed: u64| {
        for name in names.iter().filter(|name| in_trial(name, 300) == with).take(10) {
            let counts = Counts { requests: 1_000, failed, slow: 10 };
            let (by, revision) = (Holder::new(name, 1), u64::from(with));
            let report = Entry::ReportCounts { by, trial: 1, revision, counts };
            assert_eq!(routes.apply_entry(report), Outcome::Done);
        }
    };
    let judge_at = |now_ms: u64| Entry::JudgeTrial { revision: 1, now_ms };
    report(&mut adopted, false, 10);
    report(&mut rolled_back, false, 10);
    assert_eq!(adopted.apply_entry(judge_at(1 + MIN_TRIAL_MS)), Outcome::Refused(Refusal::TooEarly));
    report(&mut adopted, true, 10);
    report(&mut rolled_back, true, 30);
    assert_eq!(adopted.apply_entry(judge_at(MIN_TRIAL_MS)), Outcome::Refused(Refusal::TooEarly));
    // A clock that has gone back, and one that has not.
    assert_eq!(adopted.apply_entry(judge_at(0)), Outcome::Refused(Refusal::TooEarly));
    assert_eq!(adopted.apply_entry(judge_at(1 + MIN_TRIAL_MS)), Outcome::Published(1));
    assert!(names.iter().all(|name| adopted.table_for(name).0.revision == 1));
    assert_eq!(rolled_back.apply_entry(judge_at(2)), Outcome::Published(2));
    assert!(names.iter().all(|name| rolled_back.table_for(name).0.table == routes().committed_table()));
    let Some(Outcome::Ended(FinalState::Refused(why))) = rolled_back.outcome_of(&one.key()) else {
        panic!("{:?}", rolled_back.outcome_of(&one.key()))
    };
    assert_eq!(
        why.to_string(),
        "revision 1 was taken back: more requests failed with it (10000 requests, 300 failed, 100 late; without it \
         10000 requests, 100 failed, 100 late)"
    );
    assert_eq!(rolled_back.apply_entry(judge_at(2)), Outcome::Refused(Refusal::NoSuchTrial));
    // Edits submitted meanwhile apply to the old table.
    assert!(matches!(rolled_back.outcome_of(&other.key()), Some(Outcome::Open(EditState::AwaitsConsent(_)))));
}

#[test]
fn implausible_counts_are_refused() {
    let (mut routes, n1) = (routes(), Holder::new("n1", 1));
    let report = |revision, trial, counts| Entry::ReportCounts { by: n1.clone(), trial, revision, counts };
    let good = Counts { requests: 10, failed: 1, slow: 2 };
    assert_eq!(routes.apply_entry(report(0, 1, good)), Outcome::Refused(Refusal::NoSuchTrial));
    send(&mut routes, &edit("brio", 1, 0, vec![budget("padron", 12)]));
    publish(&mut routes, 999);
    assert!(in_trial("n1", 999));
    assert_eq!(routes.apply_entry(report(1, 0, good)), Outcome::Refused(Refusal::NoSuchTrial));
    assert_eq!(routes.apply_entry(report(0, 1, good)), Outcome::Refused(Refusal::InvalidCounts));
    for (requests, failed, slow) in [(10, 6, 5), (MAX_REPORTED_REQUESTS + 1, 0, 0), (0, u64::MAX, u64::MAX)] {
        let counts = Counts { requests, failed, slow };
        assert_eq!(routes.apply_entry(report(1, 1, counts)), Outcome::Refused(Refusal::InvalidCounts));
    }
    // Reports of incarnations outside the fleet are refused, and the counts of one that leaves are dropped.
    let apply = |routes: &mut Routes, fleet: &Fleet| {
        Outcome::from_bytes(&routes.apply(fleet, &report(1, 1, good).to_bytes()))
    };
    let mut fleet = Fleet::default();
    assert_eq!(apply(&mut routes, &fleet), Some(Outcome::Refused(Refusal::NotInFleet)));
    fleet.apply(&jaspershunt_fleet::Entry::Enrol { holder: n1.clone() });
    assert_eq!(apply(&mut routes, &fleet), Some(Outcome::Done));
    assert_eq!(routes.trial_status().map(|of| of.with), Some(good));
    fleet.apply(&jaspershunt_fleet::Entry::Gone { holder: n1.clone() });
    routes.members_changed(&fleet);
    assert_eq!(routes.trial_status().map(|of| of.with), Some(Counts::default()));
}

#[test]
fn a_table_is_judged_by_significant_increases_of_failures_and_slow_requests() {
    let counts = |requests, failed, slow| Counts { requests, failed, slow };
    let (good, long) = (counts(10_000, 100, 50), MIN_TRIAL_MS);
    assert_eq!(judge(&good, &counts(10_000, 105, 50), long), Verdict::Adopt);
    assert_eq!(judge(&good, &counts(10_000, 105, 50), long - 1), Verdict::Wait);
    assert_eq!(judge(&good, &counts(10_000, 200, 50), 0), Verdict::RollBack(RollbackReason::Failures));
    assert_eq!(judge(&good, &counts(10_000, 100, 150), 0), Verdict::RollBack(RollbackReason::Slow));
    // More than is tolerated, but maybe by chance.
    assert_eq!(judge(&good, &counts(MIN_REQUESTS_PER_SIDE, 8, 2), long), Verdict::Wait);
    assert_eq!(judge(&good, &counts(MIN_REQUESTS_PER_SIDE - 1, 400, 2), long), Verdict::Wait);
    // Too few requests never show that a table does no worse.
    let few = counts(MIN_REQUESTS_PER_SIDE - 1, 0, 0);
    assert_eq!(judge(&good, &few, MAX_TRIAL_MS - 1), Verdict::Wait);
    assert_eq!(judge(&good, &few, MAX_TRIAL_MS), Verdict::RollBack(RollbackReason::TooFew));
    assert_eq!(judge(&few, &good, MAX_TRIAL_MS), Verdict::RollBack(RollbackReason::TooFew));
    // An increase that is not significant by the end is too small to matter.
    assert_eq!(judge(&good, &counts(MIN_REQUESTS_PER_SIDE, 8, 2), MAX_TRIAL_MS), Verdict::Adopt);
}

#[test]
fn undo_is_an_edit() {
    let mut routes = routes();
    let swap = vec![
        Change::Remove { thing: dependency("padron") },
        Change::Add { thing: dependency("censo"), fields: [(Field::Budget, Value::Number(5))].into() },
        set(Thing::new(Kind::Route, "r1"), Field::Call, Value::Call { to: "censo".into(), calls: 5 }),
    ];
    let before = routes.committed_table();
    let one = edit("brio", 1, 0, swap);
    send(&mut routes, &one);
    publish(&mut routes, FULL_SHARE_PERMILLE);
    let undo = routes
        .undo(&one.key(), EditId { team: "brio".into(), number: 2 }, "did not help")
        .expect("in the log");
    assert_eq!(send(&mut routes, &undo), Outcome::Open(EditState::Accepted));
    publish(&mut routes, FULL_SHARE_PERMILLE);
    assert_eq!((routes.committed_table(), routes.revision()), (before, 2));
}

#[test]
fn an_edit_that_is_invalid_by_itself_is_refused_with_figures() {
    let mut routes = routes();
    let mut refused = |changes| match send(&mut routes, &edit("brio", 1, 0, changes)) {
        Outcome::Ended(FinalState::Refused(reason)) => {
            // Starts anew, so that the number of the edit is free again.
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
    assert_eq!(refused(vec![remove]), "it removes dependency/padron, which route/r1 refers to");
    let next = |of: &str, to: &str| set(dependency(of), Field::Fallback, Value::Name(to.into()));
    let cycle = refused(vec![next("firma", "padron"), next("padron", "firma")]);
    assert!(cycle.contains("AwaitsConsent"), "{cycle}");
    assert_eq!(refused(vec![next("padron", "padron")]), "fallback cycle: padron → padron");
    assert_eq!(
        refused(vec![next("padron", "correo")]),
        "it refers to dependency/correo, which does not exist"
    );
}

#[test]
fn each_bound_is_enforced_and_named() {
    let mut routes = routes();
    let full = |name: &str| Outcome::Refused(Refusal::Full(name.into()));
    for number in 1..=MAX_OPEN as u64 {
        let thing = Thing::new(Kind::Region, &format!("r{number}"));
        send(&mut routes, &edit("brio", number, 0, vec![Change::Add { thing, fields: Default::default() }]));
    }
    assert_eq!(send(&mut routes, &edit("brio", 9999, 0, vec![budget("padron", 9)])), full("MAX_OPEN"));

    let mut routes = self::routes();
    for number in 1..=24 {
        // All set one field to different values, which gives more conflicts than are reported.
        send(&mut routes, &edit("brio", number, 0, vec![budget("padron", 10 + number as u32)]));
    }
    assert_eq!(routes.merged().conflicts.len(), MAX_CONFLICTS);
    assert!(routes.merged().states.values().all(|state| matches!(state, EditState::InConflict(_))));
    let view = MemberView::from_bytes(&routes.view_for(&Holder::new("n1", 1))).expect("an encoded view");
    assert_eq!(view.conflicts.len(), MAX_SHOWN_CONFLICTS);

    let mut routes = self::routes();
    let mut number = 0;
    // A refused edit ends at once and stays on record up to the bound.
    for _ in 0..=MAX_ENDED_PER_TEAM {
        number += 1;
        send(&mut routes, &edit("brio", number, 0, vec![budget("correo", 9)]));
    }
    let first = edit("brio", 1, 0, vec![budget("padron", 20)]);
    assert_eq!(send(&mut routes, &first), Outcome::Refused(Refusal::NumberTooOld(1)));
    for team in 0..MAX_TEAMS {
        send(&mut routes, &edit(&format!("t{team}"), 1, 0, vec![budget("correo", 9)]));
    }
    assert_eq!(send(&mut routes, &edit("zeta", 1, 0, vec![budget("padron", 9)])), full("MAX_TEAMS"));
    for _ in 0..=MAX_PUBLISHED_EDITS {
        number += 1;
        let base = routes.revision();
        send(&mut routes, &edit("brio", number, base, vec![budget("padron", 10 + (number % 7) as u32)]));
        publish(&mut routes, FULL_SHARE_PERMILLE);
    }
    assert_eq!(routes.published_edits().count(), MAX_PUBLISHED_EDITS);

    let many = edit("brio", 1, 0, vec![budget("padron", 9); MAX_CHANGES + 1]);
    assert_eq!(many.check(), Err(Malformed::ChangeCount(MAX_CHANGES + 1)));
    let long = Edit { reason: "x".repeat(257), ..first.clone() };
    assert_eq!(long.check(), Err(Malformed::ReasonLength(257)));
    assert!(matches!(parse_edit("{}"), Err(Malformed::Unreadable(_))));
    let nothing = Outcome::from_bytes(&routes.apply(&Fleet::default(), &vec![0; MAX_ENTRY_BYTES + 1]));
    assert_eq!(nothing, Some(Outcome::Refused(Refusal::Unreadable)));
}

#[test]
fn a_saved_and_loaded_state_behaves_the_same() {
    let mut routes = routes();
    send(&mut routes, &edit("brio", 1, 0, vec![budget("padron", 12)]));
    publish(&mut routes, 300);
    send(&mut routes, &edit("casa", 1, 0, vec![budget("padron", 13)]));
    let mut other = Routes::default();
    assert!(other.load(&routes.save()));
    assert_eq!(other, routes);
    assert!(!other.load(&[7; 3]));
    let entry = Entry::JudgeTrial { revision: 1, now_ms: 1 + MAX_TRIAL_MS }.to_bytes();
    let (fleet, n1) = (Fleet::default(), Holder::new("n1", 1));
    let before = routes.epoch(&n1);
    assert_eq!(routes.apply(&fleet, &entry), other.apply(&fleet, &entry));
    assert_eq!(routes.save(), other.save());
    assert!(routes.epoch(&n1) > before);
}

#[test]
fn a_snapshot_gives_the_limits_of_classes_and_tenants() {
    let mut table = Table::default();
    let number = |field, number| [(field, Value::Number(number))].into();
    table.things.insert(Thing::new(Kind::Class, "alta"), number(Field::Limit, 3));
    table.things.insert(Thing::new(Kind::Class, "baja"), Default::default());
    for (name, share) in [("uno", 300), ("dos", 1), ("tres", 0)] {
        table.things.insert(Thing::new(Kind::Tenant, name), number(Field::Share, share));
    }
    let snapshot = crate::Snapshot::new(1, false, 0, table);
    assert_eq!(["alta", "baja", "otra"].map(|class| snapshot.class_limit(class)), [Some(3), None, None]);
    let places = ["uno", "dos", "tres", "otro"].map(|tenant| snapshot.tenant_slots(tenant, 20));
    assert_eq!(places, [Some(6), Some(1), Some(0), None]);
}

#[test]
fn a_snapshot_explains_the_route() {
    let mut routes = routes();
    let norte = Value::Names(["norte".to_string()].into());
    send(&mut routes, &edit("brio", 1, 0, vec![set(Thing::new(Kind::Route, "r1"), Field::Regions, norte)]));
    publish(&mut routes, FULL_SHARE_PERMILLE);
    let view = MemberView::from_bytes(&routes.view_for(&Holder::new("n1", 1))).expect("an encoded view");
    let snapshot = view.snapshot(1000);
    assert_eq!(snapshot.allowed_regions("alta", "uno"), ["norte".to_string()].into());
    assert_eq!(snapshot.allowed_regions("baja", "uno"), Default::default());
    assert_eq!(snapshot.choose("alta", "uno", 2).expect("a route").to, "padron");
    assert_eq!(snapshot.choose("baja", "uno", 2), None);
    let text = "revision 1, heard 500 ms ago\n\
               first route/r1 (order last, of nobody): call any to padron with 4 calls, regions norte\n  \
               dependency/padron: budget 10, falls back on nothing\nallowed: norte\n";
    assert_eq!(snapshot.explain("alta", "uno", 1500), text);
}

#[test]
fn a_sum_with_too_many_sets_blocks_all_edits_that_take_part() {
    let mut input = MergeInput::default();
    for number in 0..40 {
        let call = Value::Call { to: "padron".into(), calls: 1 };
        // The orders differ, so that only the sum conflicts; six of the forty fit.
        let fields = [(Field::Call, call), (Field::Order, Value::Number(number))];
        let thing = Thing::new(Kind::Route, &format!("x{number}"));
        let one = edit("brio", u64::from(number), 0, vec![Change::Add { thing, fields: fields.into() }]);
        input.edits.insert(one.key(), one);
    }
    let beside = edit("casa", 1, 0, vec![budget("firma", 9)]);
    input.consents.insert(beside.key(), [("ares".to_string(), true)].into());
    input.edits.insert(beside.key(), beside.clone());
    let routes = routes();
    let merged = merge(routes.table_for("n1").0, &input);
    assert_eq!(merged.accepted().collect::<Vec<_>>(), [&beside.key()]);
    assert!(merged.states.values().filter(|state| matches!(state, EditState::InConflict(_))).count() == 40);
}

#[test]
fn retired_names_are_bounded() {
    let mut base = Base::new(Table::default());
    for number in 0..=MAX_RETIRED_NAMES as u64 {
        let thing = Thing::new(Kind::Region, &format!("r{number}"));
        base.table.things.insert(thing.clone(), Default::default());
        let one = edit("brio", number, number, vec![Change::Remove { thing }]);
        base.apply(&one, &EditContext::default(), number + 1).expect("there");
        base.trim_retired();
    }
    assert_eq!(base.retired.len(), MAX_RETIRED_NAMES);
    assert!(!base.retired.contains_key(&Thing::new(Kind::Region, "r0")));
}

impl Routes {
    fn committed_table(&self) -> Table {
        self.table_for("n1").0.table.clone()
    }
}

#[test]
fn keys_distinguish_edits_with_the_same_number() {
    let key = |calls| -> EditKey { edit("brio", 1, 0, vec![budget("padron", calls)]).key() };
    assert!(key(1) == key(1) && key(1) != key(2));
}

/// Guards against entries that take minutes. Each entry compares every pair of open edits of a field:
/// submitting 512 edits with 512 values took minutes.
#[test]
fn open_edits_of_one_field_are_bounded() {
    let mut routes = Routes::default();
    let padron = Thing::new(Kind::Dependency, "padron");
    let send = |routes: &mut Routes, number: usize, changes: Vec<Change>| {
        let id = EditId { team: format!("t{number}"), number: 1 };
        routes.apply_entry(Entry::Edit(Edit { id, base: routes.revision(), reason: "more".into(), changes }))
    };
    let fields = [(Field::Budget, Value::Number(1))].into();
    send(&mut routes, 1000, vec![Change::Add { thing: padron.clone(), fields }]);
    assert_eq!(
        routes.apply_entry(Entry::Publish { permille: FULL_SHARE_PERMILLE, now_ms: 0 }),
        Outcome::Published(1)
    );
    let budget = |number: usize| {
        let value = Value::Number(u32::try_from(number).unwrap() + 10);
        vec![Change::Set { thing: padron.clone(), field: Field::Budget, value }]
    };
    for number in 0..MAX_OPEN_PER_FIELD {
        let outcome = send(&mut routes, number, budget(number));
        assert!(matches!(outcome, Outcome::Open(_)), "{number}: {outcome:?}");
    }
    let outcome = send(&mut routes, MAX_OPEN_PER_FIELD, budget(MAX_OPEN_PER_FIELD));
    let text = "refused: 64 open edits change Budget of dependency/padron: settle or withdraw some first";
    assert_eq!(outcome.to_string(), text);
    // A known edit is still answered, and another field is not affected.
    assert!(matches!(send(&mut routes, 3, budget(3)), Outcome::Open(_)));
    let share = vec![Change::Set { thing: padron.clone(), field: Field::Share, value: Value::Number(5) }];
    assert!(matches!(send(&mut routes, MAX_OPEN_PER_FIELD + 1, share), Outcome::Open(EditState::Accepted)));
    // A withdrawn edit makes room.
    let gone = routes.open().find(|(key, _)| key.id.team == "t7").unwrap().0.clone();
    routes.apply_entry(Entry::Withdraw { by: "t7".into(), edit: gone });
    assert!(matches!(send(&mut routes, MAX_OPEN_PER_FIELD, budget(MAX_OPEN_PER_FIELD)), Outcome::Open(_)));
    // Removals and renames of one thing have the same bound.
    let mut last = None;
    for number in 0..=MAX_OPEN_PER_FIELD {
        let to = format!("p{number}");
        last = Some(send(&mut routes, 2000 + number, vec![Change::Rename { thing: padron.clone(), to }]));
    }
    assert_eq!(last, Some(Outcome::Refused(Refusal::TooManyOnField(padron, None))));
}
