use super::*;
use jaspershunt_fleet::{Entry as FleetEntry, Holder, Outcome as FleetOutcome};
use jaspershunt_routes::trial::{
    Counts, MAX_TRIAL_MS, MIN_REQUESTS_PER_SIDE, MIN_TRIAL_MS, in_trial, trial_permille,
};
use jaspershunt_steering::{Place, Row, Why};
use jaspershunt_work::{Effect, Offer, Outcome};

fn holder(n: u64) -> Holder {
    Holder::new(&format!("n{n}"), n)
}

fn apply(state: &mut ReplicatedState, part: &str, bytes: Vec<u8>) -> Vec<u8> {
    match state.apply(&FleetEntry::Part { part: part.into(), bytes }) {
        FleetOutcome::Part(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn apply_work(state: &mut ReplicatedState, entry: &Entry) -> Outcome {
    Outcome::from_bytes(&apply(state, "work", entry.to_bytes())).unwrap()
}

fn offer(state: &mut ReplicatedState, by: u64, key: &str, tenant: Option<&str>) {
    let offer = Offer {
        key: key.into(),
        class: "firma".into(),
        tenant: tenant.map(String::from),
        body: b"sign".to_vec(),
        due_ms: 50_000,
        window_ends_ms: 60_000,
        worth_milli: 1_000,
        effect: Effect::Fenced,
    };
    let outcome = apply_work(state, &Entry::Offer { by: holder(by), offer, begin: true, now_ms: 0 });
    assert!(matches!(outcome, Outcome::Yours { .. }), "{outcome:?}");
}

/// The first member has work and is then lost; the second is in norte, the third in sur, with more capacity.
fn fleet_with_orphans(tenants: &[Option<&str>]) -> ReplicatedState {
    let mut state = ReplicatedState::new(parts());
    for n in 1..=3 {
        state.apply(&FleetEntry::Enrol { holder: holder(n) });
    }
    for (n, region, room) in [(2, "norte", 1), (3, "sur", 9)] {
        apply_work(&mut state, &Entry::Capacity { holder: holder(n), region: region.into(), capacity: room });
    }
    for (n, tenant) in tenants.iter().enumerate() {
        offer(&mut state, 1, &format!("op-{n}"), *tenant);
    }
    state.apply(&FleetEntry::Gone { holder: holder(1) });
    state
}

/// Steering serves this group in this region only.
fn steer(state: &mut ReplicatedState, epoch: u64, group: Group, region: &str) {
    let place = Place { region: region.into(), share: 1000, delay_ms: Some(9) };
    let row = Row { places: vec![place], why: Why::Found, moved_ms: 0, before: None };
    let step = steering::Entry::Step { epoch, rows: vec![(group, Some(row))] };
    let outcome = steering::Outcome::from_bytes(&apply(state, "steering", step.to_bytes())).unwrap();
    assert_eq!(outcome, steering::Outcome::Taken { epoch });
}

fn apply_leader_entries(now_ms: u64, state: &mut ReplicatedState) -> Vec<Outcome> {
    let entries = leader_entries(now_ms, state);
    let apply = |(part, bytes): (String, Vec<u8>)| Outcome::from_bytes(&apply(state, &part, bytes)).unwrap();
    entries.into_iter().map(apply).collect()
}

fn owner(state: &ReplicatedState, key: &str) -> String {
    work(state).unwrap().item(key).unwrap().owner.member.clone()
}

#[test]
fn a_successor_is_where_steering_prefers_and_has_capacity() {
    let mut state = fleet_with_orphans(&[Some("pagos"), Some("firmas"), None]);
    steer(&mut state, 1, Group::All, "norte");
    steer(&mut state, 2, Group::named("pagos"), "sur");
    apply_leader_entries(100, &mut state);
    assert_eq!(owner(&state, "op-0"), "n3");
    // All others are preferred in norte, which has capacity for one.
    assert_eq!((owner(&state, "op-1"), owner(&state, "op-2")), ("n2".into(), "n3".into()));
}

#[test]
fn a_successor_is_only_in_an_allowed_region() {
    let mut state = fleet_with_orphans(&[None]);
    steer(&mut state, 1, Group::All, "norte");
    let only = |region: &str| Some(BTreeSet::from([region.to_string()]));
    let successors = |allowed: Option<BTreeSet<String>>| {
        successors(100, &state, work(&state).unwrap(), |_: &Orphan| allowed.clone())
    };
    assert_eq!(successors(only("sur")).assignments, [("op-0".into(), 1, holder(3))]);
    assert_eq!(successors(Some(BTreeSet::new())).assignments, [("op-0".into(), 1, holder(2))]);
    // A region without members has no successor, and work without a route is given up.
    assert!(successors(only("este")).assignments.is_empty());
    assert_eq!(successors(None).given_up, [("op-0".into(), 1, jaspershunt_work::GiveUpReason::NoRoute)]);
}

/// Two leaders propose the same entries: the second copy changes nothing.
#[test]
fn entries_proposed_by_two_leaders_take_effect_once() {
    let mut state = fleet_with_orphans(&[None]);
    let twice = leader_entries(100, &state);
    assert!(matches!(apply_leader_entries(100, &mut state)[..], [Outcome::Yours { token: 2 }]));
    let before = state.save();
    for (part, bytes) in twice {
        let outcome = Outcome::from_bytes(&apply(&mut state, &part, bytes)).unwrap();
        assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
    }
    assert!(state.save() == before && leader_entries(100, &state).is_empty());
    let again = ReplicatedState::load(&before, parts()).unwrap();
    assert_eq!((again.save(), owner(&again, "op-0")), (before, owner(&state, "op-0")));
}

#[test]
fn ended_work_is_removed_and_an_idle_fleet_proposes_nothing() {
    let mut state = ReplicatedState::new(parts());
    assert_eq!(leader_entries(1_000_000, &state), []);
    assert_eq!(leader_entries(1_000_000, &ReplicatedState::new(Vec::new())), []);
    state.apply(&FleetEntry::Enrol { holder: holder(1) });
    offer(&mut state, 1, "op", None);
    assert_eq!(apply_leader_entries(1_000, &mut state), [Outcome::Done]);
    assert_eq!(leader_entries(1_000 + TIDY_EVERY_MS - 1, &state), []);
    // Its window and its linger time are over.
    apply_leader_entries(60_000, &mut state);
    apply_leader_entries(120_000, &mut state);
    apply_leader_entries(180_000, &mut state);
    assert!(work(&state).unwrap().items().next().is_none());
    assert_eq!(leader_entries(240_000, &state), []);
}

/// Goes through the log from end to end: a team's edit is committed, published on trial and then to all, and
/// only then restricts where orphaned work may go.
#[test]
fn a_published_edit_restricts_where_orphaned_work_may_go() {
    let mut state = fleet_with_orphans(&[None]);
    steer(&mut state, 1, Group::All, "norte");
    let edit = r#"{ "id": { "team": "firmas", "number": 1 }, "base": 0, "reason": "only in sur", "changes": [
        { "add": { "thing": "region/sur" } }, { "add": { "thing": "class/firma" } },
        { "add": { "thing": "dependency/padron", "fields": { "budget": { "number": 9 } } } },
        { "add": { "thing": "route/r1", "fields": { "class": { "name": "firma" },
            "call": { "call": { "to": "padron", "calls": 1 } }, "regions": { "names": ["sur"] } } } }] }"#;
    let edit = jaspershunt_routes::parse_edit(edit).unwrap();
    let mut commit = |entry: jaspershunt_routes::Entry| {
        let outcome = apply(&mut state, "routes", entry.to_bytes());
        let wants = successors(100, &state, work(&state).unwrap(), |orphan| allowed_regions(&state, orphan));
        (jaspershunt_routes::Outcome::from_bytes(&outcome).unwrap(), wants.assignments[0].2.member.clone())
    };
    let (taken, successor) = commit(jaspershunt_routes::Entry::Edit(edit));
    assert_eq!(
        (taken, successor.as_str()),
        (jaspershunt_routes::Outcome::Open(jaspershunt_routes::EditState::Accepted), "n2")
    );
    let permille = trial_permille(["n2", "n3"], 500);
    let (published, successor) = commit(jaspershunt_routes::Entry::Publish { permille, now_ms: 1 });
    assert_eq!((published, successor.as_str()), (jaspershunt_routes::Outcome::Published(1), "n2"));
    for name in ["n2", "n3"] {
        let of = in_trial(name, permille);
        let counts = Counts { requests: MIN_REQUESTS_PER_SIDE, failed: 5, slow: 5 };
        let (by, revision) = (Holder::new(name, if name == "n2" { 2 } else { 3 }), u64::from(of));
        let told = jaspershunt_routes::Entry::ReportCounts { by, trial: 1, revision, counts };
        assert_eq!(commit(told), (jaspershunt_routes::Outcome::Done, "n2".to_string()));
    }
    let now_ms = 1 + MIN_TRIAL_MS;
    let (goes_on, successor) = commit(jaspershunt_routes::Entry::JudgeTrial { revision: 1, now_ms });
    assert_eq!((goes_on, successor.as_str()), (jaspershunt_routes::Outcome::Published(1), "n3"));
}

/// A new table is published to a share of the nodos first. Their reports decide, whichever member leads by
/// then and whatever its file says.
#[test]
fn a_trial_is_started_and_judged_by_any_leader() {
    use jaspershunt_routes::{Entry as RouteEntry, Outcome as RouteOutcome, parse_edit};
    let mut state = ReplicatedState::new(parts());
    let holders = ["n1", "n2", "n3"].map(|name| Holder::new(name, 1));
    for holder in &holders {
        state.apply(&FleetEntry::Enrol { holder: holder.clone() });
    }
    let edit = r#"{ "id": { "team": "pagos", "number": 1 }, "base": 0, "reason": "a place",
        "changes": [{ "add": { "thing": "region/norte", "fields": {} } }] }"#;
    apply(&mut state, "routes", RouteEntry::Edit(parse_edit(edit).unwrap()).to_bytes());
    for (part, bytes) in leader_entries_with_trial::<100>(100, &state) {
        apply(&mut state, &part, bytes);
    }
    let permille = routes(&state).unwrap().trial_status().unwrap().permille;
    let with = holders.iter().filter(|holder| in_trial(&holder.member, permille)).count();
    assert!((1..3).contains(&with), "{with} at {permille}");
    // Without reports nothing is proposed before the longest trial is over.
    assert_eq!(leader_entries(100 + MAX_TRIAL_MS - 1, &state), []);
    for holder in &holders {
        let of = in_trial(&holder.member, permille);
        let failed = if of { MIN_REQUESTS_PER_SIDE / 2 } else { 0 };
        let counts = Counts { requests: MIN_REQUESTS_PER_SIDE, failed, slow: 0 };
        let told = RouteEntry::ReportCounts { by: holder.clone(), trial: 1, revision: u64::from(of), counts };
        apply(&mut state, "routes", told.to_bytes());
    }
    let step = leader_entries(101, &state);
    let outcomes = [&step[0], &step[0]].map(|(part, bytes)| apply(&mut state, part, bytes.clone()));
    let outcomes = outcomes.map(|bytes| RouteOutcome::from_bytes(&bytes).unwrap());
    assert!(matches!(&outcomes, [RouteOutcome::Published(2), RouteOutcome::Refused(_)]), "{outcomes:?}");
    assert_eq!(leader_entries(102, &state), []);
}

#[test]
fn accepted_edits_are_published_by_the_leader_and_once() {
    use jaspershunt_routes::{Entry as RouteEntry, FinalState, Outcome as RouteOutcome, parse_edit};
    let mut state = ReplicatedState::new(parts());
    assert_eq!(leader_entries(100, &state), []);
    let edit = r#"{ "id": { "team": "pagos", "number": 1 }, "base": 0, "reason": "a place",
        "changes": [{ "add": { "thing": "region/norte", "fields": {} } }] }"#;
    let edit = parse_edit(edit).unwrap();
    apply(&mut state, "routes", RouteEntry::Edit(edit.clone()).to_bytes());
    let proposed = leader_entries(100, &state);
    assert_eq!(proposed.len(), 1);
    // Two leaders propose the same entry: the second copy finds nothing new.
    let mut outcomes = Vec::new();
    for (part, bytes) in proposed.iter().chain(&proposed) {
        outcomes.push(RouteOutcome::from_bytes(&apply(&mut state, part, bytes.clone())).unwrap());
    }
    assert_eq!(outcomes[0], RouteOutcome::Published(1));
    assert!(matches!(outcomes[1], RouteOutcome::Refused(_)), "{outcomes:?}");
    let of = routes(&state).unwrap();
    assert_eq!(of.outcome_of(&edit.key()), Some(RouteOutcome::Ended(FinalState::Published(1))));
    // A clock that is behind does not move the publication time back.
    assert_eq!((of.published_ms(), leader_entries(50, &state)), (100, Vec::new()));
}
