use super::*;
use crate::bounds::{MAX_BODY_BYTES, MAX_KEY_BYTES, MAX_NAME_BYTES, MAX_VIEW_BYTES};
use jaspershunt_fleet::Entry as FleetEntry;
use jaspershunt_fleet::parts::Part;
use proptest::prelude::*;

fn incarnation(n: usize) -> Holder {
    Holder::new(&format!("n{n}"), 1)
}

fn fleet(members: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for n in 0..members {
        fleet.apply(&FleetEntry::Enrol { holder: incarnation(n) });
    }
    fleet
}

fn offer(key: &str) -> Offer {
    Offer {
        key: key.into(),
        class: "firma".into(),
        tenant: None,
        body: vec![7; 10],
        due_ms: 1_000,
        window_ends_ms: 60_000,
        worth_milli: 1_000,
        effect: Effect::Fenced,
    }
}

fn offered(by: usize, offer: Offer) -> Entry {
    Entry::Offer { by: incarnation(by), offer, begin: true, now_ms: 0 }
}

fn end(by: usize, key: &str, token: u64, end: End) -> Entry {
    Entry::End { key: key.into(), by: incarnation(by), token, end }
}

#[test]
fn oversized_fields_are_refused() {
    let (fleet, mut work) = (fleet(1), Work::default());
    let long = |bytes| "x".repeat(bytes);
    for it in [
        offer(""),
        offer(&long(MAX_KEY_BYTES + 1)),
        Offer { class: long(MAX_NAME_BYTES + 1), ..offer("k") },
        Offer { tenant: Some(long(MAX_NAME_BYTES + 1)), ..offer("k") },
        Offer { body: vec![0; MAX_BODY_BYTES + 1], ..offer("k") },
    ] {
        assert_eq!(work.apply_entry(&fleet, &offered(0, it)), Outcome::Refused(Refusal::TooLong));
    }
    let longest =
        Offer { body: vec![0; MAX_BODY_BYTES], class: long(MAX_NAME_BYTES), ..offer(&long(MAX_KEY_BYTES)) };
    assert_eq!(work.apply_entry(&fleet, &offered(0, longest.clone())), Outcome::Yours { token: 1 });
    assert!(offered(0, longest).to_bytes().len() <= 8 << 10);
    let result = |bytes| end(0, &long(MAX_KEY_BYTES), 1, End::Done(vec![0; bytes]));
    assert_eq!(work.apply_entry(&fleet, &result(MAX_RESULT_BYTES + 1)), Outcome::Refused(Refusal::TooLong));
    assert!(result(MAX_RESULT_BYTES).to_bytes().len() <= 8 << 10);
    assert_eq!(
        work.apply_entry(&fleet, &result(MAX_RESULT_BYTES)),
        Outcome::Known(End::Done(vec![0; MAX_RESULT_BYTES]))
    );
    assert_eq!(work.apply(&fleet, &[250, 1, 2]), Outcome::Refused(Refusal::NoEntry).to_bytes());
}

#[test]
fn full_state_refuses_offers_and_drops_delivered_results_first() {
    let (fleet, mut work) = (fleet(1), Work::default());
    let mut held = 0;
    while work.apply_entry(&fleet, &offered(0, offer(&format!("k{held}")))) != Outcome::Refused(Refusal::Full)
    {
        held += 1;
    }
    assert!(work.bytes() <= MAX_BYTES && held > 1_000, "{held} items, {} bytes", work.bytes());
    for n in 0..held {
        let done = End::Done(vec![1; MAX_RESULT_BYTES]);
        work.apply_entry(&fleet, &end(0, &format!("k{n}"), n as u64 + 1, done));
        // k1 is delivered before k0 and dropped after it, as its outcome was recorded later.
        if n < 3 {
            work.apply_entry(&fleet, &Entry::Answered { key: format!("k{}", 2 - n), by: incarnation(0) });
        }
    }
    work.apply_entry(&fleet, &Entry::Answered { key: "k2".into(), by: incarnation(0) });
    let bytes = work.bytes();
    assert!(bytes <= MAX_BYTES);
    let mut more = 0;
    while work.apply_entry(&fleet, &offered(0, offer(&format!("m{more}")))) != Outcome::Refused(Refusal::Full)
    {
        more += 1;
        assert!(work.bytes() <= MAX_BYTES);
    }
    let again = |work: &mut Work, key| work.apply_entry(&fleet, &offered(0, offer(key)));
    assert_eq!(again(&mut work, "k0"), Outcome::Refused(Refusal::Dropped));
    // A result that was not delivered is kept.
    assert_eq!(again(&mut work, "k3"), Outcome::Known(End::Done(vec![1; MAX_RESULT_BYTES])));
    assert_eq!(
        work.item("k0").map(|item| item.ended.as_ref().is_some_and(|ended| ended.result_dropped)),
        Some(true)
    );
}

#[test]
fn items_waiters_and_regions_are_bounded() {
    let (fleet, mut work) = (fleet(MAX_WAITERS + MAX_REGIONS), Work::default());
    for n in 0..MAX_ITEMS {
        work.apply_entry(&fleet, &offered(0, offer(&format!("k{n}"))));
        work.apply_entry(&fleet, &end(0, &format!("k{n}"), n as u64 + 1, End::Failed));
    }
    assert_eq!(work.items().count(), MAX_ITEMS);
    assert_eq!(work.apply_entry(&fleet, &offered(0, offer("more"))), Outcome::Refused(Refusal::Full));
    let mut work = Work::default();
    work.apply_entry(&fleet, &offered(0, offer("k")));
    for n in 1..=MAX_WAITERS {
        assert_eq!(work.apply_entry(&fleet, &offered(n, offer("k"))), Outcome::Waits);
    }
    let next = offered(MAX_WAITERS + 1, offer("k"));
    assert_eq!(work.apply_entry(&fleet, &next), Outcome::Refused(Refusal::Crowded));
    // A lost waiter is replaced.
    let mut fleet = fleet;
    fleet.apply(&FleetEntry::Gone { holder: incarnation(3) });
    assert_eq!(work.apply_entry(&fleet, &next), Outcome::Waits);
    let capacity = |n: usize, region: usize| Entry::Capacity {
        holder: incarnation(n),
        region: format!("r{region}"),
        capacity: 1,
    };
    for n in 4..4 + MAX_REGIONS {
        assert_eq!(work.apply_entry(&fleet, &capacity(n, n)), Outcome::Done);
    }
    assert_eq!(work.apply_entry(&fleet, &capacity(0, 999)), Outcome::Refused(Refusal::Full));
    assert_eq!(work.apply_entry(&fleet, &capacity(4, 999)), Outcome::Done);
}

#[test]
fn items_per_successor_and_successors_per_item_are_bounded() {
    let (mut fleet, mut work) = (fleet(3), Work::default());
    for n in 0..=MAX_TAKEN_OVER {
        work.apply_entry(&fleet, &offered(0, offer(&format!("k{n}"))));
    }
    fleet.apply(&FleetEntry::Gone { holder: incarnation(0) });
    let take = |key: &str, token, successor| Entry::TakeOver {
        key: key.into(),
        token,
        successor: incarnation(successor),
    };
    for n in 0..MAX_TAKEN_OVER {
        let taken_over = work.apply_entry(&fleet, &take(&format!("k{n}"), n as u64 + 1, 1));
        assert!(matches!(taken_over, Outcome::Yours { .. }), "{taken_over:?}");
    }
    let one_more = take(&format!("k{MAX_TAKEN_OVER}"), MAX_TAKEN_OVER as u64 + 1, 1);
    assert_eq!(work.apply_entry(&fleet, &one_more), Outcome::Refused(Refusal::HeirFull));
    work.apply_entry(&fleet, &end(1, "k0", MAX_TAKEN_OVER as u64 + 2, End::Unknown));
    assert!(matches!(work.apply_entry(&fleet, &one_more), Outcome::Yours { .. }));
    // The successors of another item are lost one after the other.
    for lost in 1..=MAX_SUCCESSORS {
        let successor = Holder::new("successor", lost as u64);
        fleet.apply(&FleetEntry::Enrol { holder: successor.clone() });
        let token = work.item("k1").map_or(0, |item| item.token);
        fleet.apply(&FleetEntry::Gone { holder: incarnation(1) });
        let taken_over = work
            .apply_entry(&fleet, &Entry::TakeOver { key: "k1".into(), token, successor: successor.clone() });
        fleet.apply(&FleetEntry::Gone { holder: successor });
        // It had one successor before.
        if lost < MAX_SUCCESSORS {
            assert!(matches!(taken_over, Outcome::Yours { .. }), "{taken_over:?}");
        } else {
            fleet.apply(&FleetEntry::Enrol { holder: incarnation(2) });
            assert_eq!(work.apply_entry(&fleet, &take("k1", token, 2)), Outcome::Known(End::Unknown));
        }
    }
}

#[test]
fn an_outcome_recorded_as_the_window_ends_is_kept_for_a_while() {
    let (fleet, mut work) = (fleet(2), Work::default());
    work.apply_entry(&fleet, &offered(0, offer("k")));
    let tidy = |now_ms| Entry::Tidy { now_ms };
    // The clock jumps far beyond the window, and the jump is reported twice.
    for late in [100_000, 100_000, 100_000 + ENDED_RETENTION_MS - 1] {
        work.apply_entry(&fleet, &tidy(late));
        assert_eq!(work.apply_entry(&fleet, &offered(1, offer("k"))), Outcome::Known(End::Unknown));
    }
    work.apply_entry(&fleet, &tidy(100_000 + ENDED_RETENTION_MS));
    assert_eq!(work.apply_entry(&fleet, &offered(1, offer("k"))), Outcome::Refused(Refusal::Late));
}

#[test]
fn views_are_bounded_and_epochs_grow_only_for_affected_members() {
    let (fleet, mut work) = (fleet(2), Work::default());
    for n in 0..1_000 {
        work.apply_entry(&fleet, &offered(0, Offer { body: vec![0; 1_000], ..offer(&format!("k{n}")) }));
    }
    let seen = work.view(&incarnation(0));
    assert!(seen.owned.len() > 40 && seen.to_bytes().len() <= MAX_VIEW_BYTES);
    assert!(work.epoch(&incarnation(0)) > 0 && work.epoch(&incarnation(1)) == 0);
    let before = work.epoch(&incarnation(0));
    work.apply_entry(&fleet, &offered(1, offer("other")));
    assert_eq!(work.epoch(&incarnation(0)), before);
    work.apply_entry(&fleet, &offered(1, Offer { body: vec![0; 1_000], ..offer("k1") }));
    assert!(work.epoch(&incarnation(0)) > before && work.epoch(&incarnation(1)) > 0);
}

fn any_entry() -> impl Strategy<Value = Entry> {
    let (key, who, token) = (prop_oneof![Just("a"), Just("b")], 0usize..3, 0u64..8);
    (0u8..9, key, who, token, any::<bool>()).prop_map(|(kind, key, who, token, flag)| {
        let (key, by, now_ms) = (key.to_string(), incarnation(who), token * 12_000);
        let done = if flag { End::Done(vec![who as u8]) } else { End::Failed };
        match kind {
            0 => Entry::Offer { by, offer: Offer { due_ms: 90_000, ..offer(&key) }, begin: flag, now_ms: 0 },
            1 => Entry::Begin { key, by, token },
            2 => Entry::End { key, by, token, end: done },
            3 => Entry::TakeOver { key, token, successor: by },
            4 => Entry::GiveUp { key, token },
            5 => Entry::Answered { key, by },
            6 => Entry::Capacity { holder: by, region: key, capacity: 3 },
            7 => Entry::HandOver { by, now_ms },
            _ => Entry::Tidy { now_ms },
        }
    })
}

proptest! {
    #[test]
    fn a_loaded_snapshot_behaves_like_the_original(entries in proptest::collection::vec(any_entry(), 0..60), at in 0usize..60) {
        let (fleet, mut work, mut other) = (fleet(2), Work::default(), Work::default());
        for (n, entry) in entries.iter().enumerate() {
            if n == at {
                prop_assert!(!other.load(&work.save()[..1]) && other.load(&work.save()));
            }
            let outcome = work.apply_entry(&fleet, entry);
            if n >= at {
                prop_assert_eq!(outcome, other.apply_entry(&fleet, entry));
                prop_assert_eq!(work.save(), other.save());
                prop_assert_eq!(&work, &other);
            }
        }
    }
}
