use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn one() -> Holder {
    Holder::new("n1", 1)
}

fn two() -> Holder {
    Holder::new("n2", 1)
}

fn fleet(holders: &[Holder]) -> Fleet {
    let mut fleet = Fleet::default();
    for holder in holders {
        assert_eq!(fleet.apply(&Entry::Enrol { holder: holder.clone() }), Outcome::Done);
    }
    fleet
}

fn acquire(holder: &Holder) -> Entry {
    Entry::Acquire { lease: "l".into(), holder: holder.clone() }
}

fn refused(refusal: Refusal) -> Outcome {
    Outcome::Refused(refusal)
}

#[test]
fn a_lease_passes_along_the_queue_under_growing_tokens() {
    let three = Holder::new("n3", 5);
    let mut fleet = fleet(&[one(), two(), three.clone()]);
    assert_eq!(fleet.apply(&acquire(&one())), Outcome::Granted { token: 1 });
    assert_eq!(fleet.apply(&acquire(&one())), Outcome::Granted { token: 1 }, "sent twice");
    assert_eq!(fleet.apply(&acquire(&two())), Outcome::Queued { position: 1 });
    assert_eq!(fleet.apply(&acquire(&three)), Outcome::Queued { position: 2 });
    assert_eq!(fleet.apply(&acquire(&two())), Outcome::Queued { position: 1 }, "sent twice");
    assert_eq!(fleet.apply(&Entry::Release { lease: "l".into(), token: 1 }), Outcome::Done);
    assert_eq!((fleet.lease("l").unwrap().holder.clone(), fleet.lease("l").unwrap().token), (two(), 2));
    // Late entries of the first holder are rejected.
    for late in
        [Entry::Release { lease: "l".into(), token: 1 }, Entry::Expire { lease: "l".into(), token: 1 }]
    {
        assert_eq!(fleet.apply(&late), refused(Refusal::OldToken));
    }
    assert_eq!(fleet.apply(&Entry::Expire { lease: "l".into(), token: 2 }), Outcome::Done);
    assert_eq!(fleet.lease("l").unwrap().holder, three);
    assert_eq!(fleet.apply(&Entry::Release { lease: "l".into(), token: 3 }), Outcome::Done);
    assert!(fleet.lease("l").is_none());
    // No token is issued twice, even though the lease was removed meanwhile.
    assert_eq!(fleet.apply(&acquire(&one())), Outcome::Granted { token: 4 });
}

#[test]
fn a_later_incarnation_does_not_inherit_leases() {
    let again = Holder::new("n1", 2);
    let mut fleet = fleet(&[one(), two()]);
    fleet.apply(&acquire(&one()));
    assert_eq!(fleet.apply(&acquire(&again)), refused(Refusal::OldIncarnation), "not enrolled yet");
    assert_eq!(fleet.apply(&Entry::Enrol { holder: again.clone() }), Outcome::Done);
    assert_eq!(fleet.apply(&Entry::Enrol { holder: one() }), refused(Refusal::OldIncarnation));
    // The earlier incarnation may still act: its lease is left to expire.
    assert_eq!(fleet.lease("l").unwrap().holder, one());
    assert_eq!(fleet.apply(&acquire(&again)), Outcome::Queued { position: 1 });
    assert_eq!(fleet.apply(&acquire(&one())), refused(Refusal::OldIncarnation));
    assert_eq!(fleet.apply(&acquire(&Holder::new("n9", 1))), refused(Refusal::NotEnrolled));
    fleet.apply(&Entry::Expire { lease: "l".into(), token: 1 });
    assert_eq!(fleet.lease("l").unwrap().holder, again);
    // A candidate that restarts loses its place in the queue.
    fleet.apply(&acquire(&two()));
    fleet.apply(&Entry::Enrol { holder: Holder::new("n2", 2) });
    assert!(fleet.lease("l").unwrap().candidates.is_empty());
}

#[test]
fn a_member_that_left_is_dequeued_and_removed_unless_it_holds_a_lease() {
    let mut fleet = fleet(&[one(), two()]);
    fleet.apply(&acquire(&one()));
    fleet.apply(&acquire(&two()));
    fleet.apply(&Entry::Gone { holder: one() });
    fleet.apply(&Entry::Gone { holder: two() });
    assert_eq!(fleet.members().collect::<Vec<_>>(), [("n1", 1)]);
    assert!(fleet.lease("l").unwrap().candidates.is_empty());
}

#[test]
fn an_act_entry_is_accepted_only_under_the_current_token() {
    let mut fleet = fleet(&[one(), two()]);
    fleet.apply(&acquire(&one()));
    fleet.apply(&acquire(&two()));
    let act = |token, note: &str| Entry::Act { lease: "l".into(), token, note: note.as_bytes().to_vec() };
    assert_eq!(fleet.apply(&act(1, "a")), Outcome::Done);
    fleet.apply(&Entry::Expire { lease: "l".into(), token: 1 });
    assert_eq!(fleet.apply(&act(1, "b")), refused(Refusal::OldToken));
    assert_eq!(fleet.apply(&act(2, "c")), Outcome::Done);
    for _ in 0..MAX_ACTS_PER_LEASE {
        fleet.apply(&act(2, "d"));
    }
    assert_eq!(fleet.acts("l").count(), MAX_ACTS_PER_LEASE);
    assert!(fleet.acts("l").all(|(token, note)| (*token, &note[..]) == (2, b"d")));
}

#[test]
fn a_run_keeps_its_key_and_cursor_across_holders() {
    let mut fleet = fleet(&[one(), two()]);
    let lease = lease_of_task("t");
    let acquire = |holder: Holder| Entry::Acquire { lease: lease.clone(), holder };
    let begin = |token| Entry::BeginRun { task: "t".into(), token, due: 100 };
    assert_eq!(fleet.apply(&begin(1)), refused(Refusal::OldToken), "without the lease");
    fleet.apply(&acquire(one()));
    fleet.apply(&acquire(two()));
    let Outcome::RunBegun { key, cursor } = fleet.apply(&begin(1)) else { panic!() };
    assert_eq!(fleet.apply(&begin(1)), Outcome::RunBegun { key, cursor: cursor.clone() }, "sent twice");
    assert!(cursor.is_empty());
    let reach = |token, cursor: &[u8]| Entry::SaveCursor { task: "t".into(), token, cursor: cursor.to_vec() };
    assert_eq!(fleet.apply(&reach(1, b"half")), Outcome::Done);
    assert_eq!(fleet.apply(&reach(1, &[0; MAX_CURSOR_BYTES + 1])), refused(Refusal::TooLong));
    fleet.apply(&Entry::Expire { lease: lease.clone(), token: 1 });
    let token = fleet.lease(&lease).unwrap().token;
    assert!(token > key, "one count for tokens and keys");
    assert_eq!(fleet.apply(&reach(1, b"old")), refused(Refusal::OldToken));
    assert_eq!(fleet.apply(&reach(token, b"new")), refused(Refusal::OldToken), "it has not begun");
    assert_eq!(fleet.apply(&begin(token)), Outcome::RunBegun { key, cursor: b"half".to_vec() });
    let end = |token, result: &[u8]| Entry::EndRun { task: "t".into(), token, result: Ok(result.to_vec()) };
    assert_eq!(fleet.apply(&end(1, b"old")), refused(Refusal::OldToken));
    assert_eq!(fleet.apply(&end(token, b"done")), Outcome::Done);
    let task = fleet.task("t").unwrap();
    assert_eq!((task.last_due, task.result.as_deref(), &task.run), (Some(100), Some(&b"done"[..]), &None));
    assert_eq!(fleet.apply(&begin(token)), refused(Refusal::NotFound), "that time is done");
    // An operator's request runs it once more, under another key.
    fleet.apply(&Entry::RequestRun { task: "t".into() });
    let Outcome::RunBegun { key: other, .. } = fleet.apply(&begin(token)) else { panic!() };
    assert!(other > key);
}

#[test]
fn a_task_that_crashes_each_holder_in_turn_is_disabled() {
    let holders: Vec<Holder> = (0..6).map(|n| Holder::new(&format!("n{n}"), 1)).collect();
    let mut fleet = fleet(&holders);
    let lease = lease_of_task("t");
    for holder in &holders {
        fleet.apply(&Entry::Acquire { lease: lease.clone(), holder: holder.clone() });
    }
    let begin = |token| Entry::BeginRun { task: "t".into(), token, due: 100 };
    for _ in 0..MAX_HOLDERS_PER_RUN {
        let token = fleet.lease(&lease).unwrap().token;
        assert!(matches!(fleet.apply(&begin(token)), Outcome::RunBegun { .. }));
        fleet.apply(&Entry::Expire { lease: lease.clone(), token });
    }
    let token = fleet.lease(&lease).unwrap().token;
    assert_eq!(fleet.apply(&begin(token)), refused(Refusal::Stopped));
    assert!(fleet.task("t").unwrap().disabled_reason.as_deref().unwrap().contains("3 holders in turn"));
    assert_eq!(fleet.apply(&Entry::RequestRun { task: "t".into() }), refused(Refusal::Stopped));
    // Enabled again by operators.
    fleet.apply(&Entry::Pause { task: "t".into(), paused: false });
    assert!(matches!(fleet.apply(&begin(token)), Outcome::RunBegun { .. }));
    fleet.apply(&Entry::Pause { task: "t".into(), paused: true });
    assert_eq!(fleet.apply(&begin(token)), refused(Refusal::Stopped));
}

#[test]
fn the_state_is_bounded() {
    let mut fleet = Fleet::default();
    for n in 0..MAX_MEMBERS + 1 {
        let holder = Holder::new(&format!("m{n}"), 1);
        let expected = if n < MAX_MEMBERS { Outcome::Done } else { refused(Refusal::Full) };
        assert_eq!(fleet.apply(&Entry::Enrol { holder }), expected);
    }
    let holder = |n: usize| Holder::new(&format!("m{n}"), 1);
    for n in 0..MAX_LEASES + 1 {
        let outcome = fleet.apply(&Entry::Acquire { lease: format!("l{n}"), holder: holder(0) });
        assert_eq!(outcome == refused(Refusal::Full), n >= MAX_LEASES);
    }
    for n in 0..MAX_TASKS + 1 {
        let outcome = fleet.apply(&Entry::RequestRun { task: format!("t{n}") });
        assert_eq!(outcome == refused(Refusal::Full), n >= MAX_TASKS);
    }
    // Far more candidates than the bound ask for one lease.
    for n in 1..MAX_MEMBERS {
        fleet.apply(&Entry::Acquire { lease: "l0".into(), holder: holder(n) });
    }
    assert!(fleet.lease("l0").unwrap().candidates.len() <= MAX_CANDIDATES);
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    assert_eq!(fleet.apply(&Entry::Enrol { holder: Holder::new(&long, 1) }), refused(Refusal::TooLong));
    assert_eq!(fleet.apply(&Entry::RequestRun { task: String::new() }), refused(Refusal::TooLong));
}

fn entries() -> impl Strategy<Value = Entry> {
    let holder = || (0u8..4, 1u64..4).prop_map(|(n, incarnation)| Holder::new(&format!("n{n}"), incarnation));
    let lease = || (0u8..2).prop_map(|n| lease_of_task(&format!("t{n}")));
    let task = || (0u8..2).prop_map(|n| format!("t{n}"));
    let token = || 0u64..24;
    prop_oneof![
        holder().prop_map(|holder| Entry::Enrol { holder }),
        holder().prop_map(|holder| Entry::Gone { holder }),
        (lease(), holder()).prop_map(|(lease, holder)| Entry::Acquire { lease, holder }),
        (lease(), token()).prop_map(|(lease, token)| Entry::Release { lease, token }),
        (lease(), token()).prop_map(|(lease, token)| Entry::Expire { lease, token }),
        (lease(), token()).prop_map(|(lease, token)| Entry::Act { lease, token, note: vec![1] }),
        lease().prop_map(|lease| Entry::Revoke { lease }),
        (task(), token(), 0i64..4).prop_map(|(task, token, due)| Entry::BeginRun { task, token, due }),
        (task(), token()).prop_map(|(task, token)| Entry::SaveCursor { task, token, cursor: vec![2] }),
        (task(), token()).prop_map(|(task, token)| Entry::EndRun { task, token, result: Ok(vec![]) }),
        (task(), token(), 0i64..4).prop_map(|(task, token, due)| Entry::SkipDue { task, token, due }),
        (task(), any::<bool>()).prop_map(|(task, paused)| Entry::Pause { task, paused }),
        task().prop_map(|task| Entry::RequestRun { task }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// For any entries: a state that was saved and loaded continues byte for byte like the original; tokens
    /// only grow; and only current incarnations are granted a lease.
    #[test]
    fn a_saved_state_continues_alike_and_tokens_only_grow(
        entries in prop::collection::vec(entries(), 1..200), cut in 0usize..200,
    ) {
        let (mut fleet, mut other) = (Fleet::default(), Fleet::default());
        let mut held: BTreeMap<String, u64> = BTreeMap::new();
        let mut highest = 0;
        for (n, entry) in entries.iter().enumerate() {
            if n == cut {
                let bytes = fleet.save();
                other = Fleet::load(&bytes).unwrap();
                prop_assert_eq!(other.save(), bytes);
            }
            let outcome = fleet.apply(entry);
            if n >= cut {
                prop_assert_eq!(other.apply(entry), outcome.clone());
            }
            for (name, lease) in fleet.leases() {
                if held.get(name) != Some(&lease.token) {
                    prop_assert!(lease.token > highest, "{} after {}", lease.token, highest);
                    prop_assert!(fleet.is_present(&lease.holder), "{:?}", lease);
                }
            }
            held = fleet.leases().map(|(name, lease)| (name.to_string(), lease.token)).collect();
            highest = fleet.last_token();
        }
        if cut < entries.len() {
            prop_assert_eq!(fleet.save(), other.save());
        }
    }

    /// Invalid bytes are rejected without a panic.
    #[test]
    fn invalid_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(fleet) = Fleet::load(&bytes) {
            prop_assert!(Fleet::load(&fleet.save()).is_some());
        }
    }
}
