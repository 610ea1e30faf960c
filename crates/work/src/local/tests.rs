use super::*;
use crate::bounds::REOFFER_INTERVAL_MS;

fn offer(key: &str, effect: Effect) -> Offer {
    Offer {
        key: key.into(),
        class: "firma".into(),
        tenant: None,
        body: b"sign".into(),
        due_ms: 5_000,
        window_ends_ms: 60_000,
        worth_milli: 1_000,
        effect,
    }
}

fn own() -> LocalWork {
    LocalWork::new(Holder::new("n1", 1))
}

/// Returns the proposed entry if that is the only action.
fn proposed(own: &mut LocalWork) -> Option<Entry> {
    match own.actions().as_slice() {
        [Action::Propose(entry)] => Some(entry.clone()),
        _ => None,
    }
}

fn successor(effect: Effect, state: Progress) -> LocalWork {
    let mut own = own();
    let (offer, key) = (offer("k", effect), "k".to_string());
    own.on_view(
        &MemberView {
            owned: vec![OwnedItem { key, offer, token: 4, state, taken_over: true }],
            ended: vec![],
        },
        0,
    );
    own
}

#[test]
fn work_runs_after_its_offer_is_committed_and_is_answered_after_its_outcome_is() {
    let mut own = own();
    own.offer(offer("k", Effect::Fenced), true, 0).unwrap();
    let entry = proposed(&mut own).unwrap();
    // The outcome of the proposal is unknown, so the same entry is proposed again.
    own.on_outcome(&entry, None, 0);
    assert_eq!(proposed(&mut own), Some(entry.clone()));
    own.on_outcome(&entry, Some(&Outcome::Yours { token: 3 }), 0);
    let run = Action::Run { token: 3, offer: offer("k", Effect::Fenced), taken_over: false };
    assert_eq!(own.actions(), [run]);
    own.on_outcome(&entry, Some(&Outcome::Yours { token: 3 }), 0);
    assert_eq!(own.actions(), []);
    own.on_run_result("k", 3, RunResult::Done(b"signed".into()));
    let entry = proposed(&mut own).unwrap();
    let first = End::Done(b"by another".into());
    own.on_outcome(&entry, Some(&Outcome::Known(first.clone())), 0);
    let answered = Entry::Answered { key: "k".into(), by: Holder::new("n1", 1) };
    let answer = Action::Answer { key: "k".into(), end: first };
    assert_eq!(own.actions(), [answer.clone(), Action::Propose(answered.clone())]);
    // A repeat before `Answered` is committed receives the same outcome.
    own.offer(offer("k", Effect::Fenced), true, 0).unwrap();
    assert_eq!(own.actions(), [answer]);
    own.on_outcome(&answered, Some(&Outcome::Done), 0);
    assert!(own.is_idle());
}

#[test]
fn a_successor_does_what_the_effect_allows() {
    let begun = || Progress::Begun { token: 2 };
    let begin = Entry::Begin { key: "k".into(), by: Holder::new("n1", 1), token: 4 };
    let end = |end| Entry::End { key: "k".into(), by: Holder::new("n1", 1), token: 4, end };
    assert_eq!(proposed(&mut successor(Effect::Unknown, Progress::Held)), Some(begin.clone()));
    assert_eq!(proposed(&mut successor(Effect::Unknown, begun())), Some(end(End::Unknown)));
    assert_eq!(proposed(&mut successor(Effect::Fenced, begun())), Some(begin.clone()));
    for (asked, then) in [
        (QueryResult::Done(vec![1]), end(End::Done(vec![1]))),
        (QueryResult::NeverRan, begin.clone()),
        (QueryResult::CannotTell, end(End::Unknown)),
    ] {
        let mut own = successor(Effect::Asks, begun());
        assert_eq!(own.actions(), [Action::Query { token: 4, offer: offer("k", Effect::Asks) }]);
        own.on_query_result("k", 4, asked, 0);
        assert_eq!(proposed(&mut own), Some(then));
    }
    // Past its deadline and known not to have run, it ends as failed.
    let mut own = successor(Effect::Asks, begun());
    own.actions();
    own.on_query_result("k", 4, QueryResult::NeverRan, 5_000);
    assert_eq!(proposed(&mut own), Some(end(End::Failed)));
}

#[test]
fn work_done_with_an_oversized_result_does_not_end_as_failed() {
    let mut own = successor(Effect::Fenced, Progress::Held);
    let begin = proposed(&mut own).unwrap();
    own.on_outcome(&begin, Some(&Outcome::Yours { token: 4 }), 0);
    own.actions();
    own.on_run_result("k", 4, RunResult::Done(vec![0; crate::bounds::MAX_RESULT_BYTES + 1]));
    assert!(matches!(proposed(&mut own), Some(Entry::End { end: End::Unknown, .. })));
}

#[test]
fn retries_after_a_lost_answer_are_bounded() {
    for effect in [Effect::Asks, Effect::Fenced] {
        let mut own = successor(effect, Progress::Held);
        let begin = proposed(&mut own).unwrap();
        own.on_outcome(&begin, Some(&Outcome::Yours { token: 4 }), 0);
        let mut calls = 0;
        let last = loop {
            match own.actions().pop() {
                Some(Action::Run { token, .. }) => own.on_run_result("k", token, RunResult::AnswerLost),
                Some(Action::Query { token, .. }) => {
                    own.on_query_result("k", token, QueryResult::AnswerLost, 0)
                }
                other => break other,
            }
            calls += 1;
        };
        let unknown = matches!(last, Some(Action::Propose(Entry::End { end: End::Unknown, .. })));
        assert!(unknown, "{last:?} after {calls}");
        assert!((MAX_RETRIES + 1..=MAX_RETRIES + 2).contains(&calls), "{calls}");
    }
}

#[test]
fn keys_and_clients_are_bounded_and_waits_are_renewed() {
    let mut own = own();
    for n in 0..MAX_LOCAL_ITEMS {
        own.offer(offer(&format!("k{n}"), Effect::Asks), true, 0).unwrap();
    }
    assert_eq!(own.offer(offer("more", Effect::Asks), true, 0), Err(Refusal::Full));
    for _ in 1..MAX_CLIENTS_PER_KEY {
        own.offer(offer("k0", Effect::Asks), true, 0).unwrap();
    }
    assert_eq!(own.offer(offer("k0", Effect::Asks), true, 0), Err(Refusal::Full));
    let other = Offer { body: b"burn".into(), ..offer("k0", Effect::Asks) };
    assert_eq!(own.offer(other, true, 0), Err(Refusal::OtherBody));
    let Action::Propose(first) = own.actions().swap_remove(0) else { panic!("nothing proposed") };
    own.on_outcome(&first, Some(&Outcome::Waits), 0);
    own.tick(REOFFER_INTERVAL_MS - 1);
    assert_eq!(own.actions(), []);
    own.tick(REOFFER_INTERVAL_MS);
    assert!(matches!(proposed(&mut own), Some(Entry::Offer { begin: false, .. })));
}

#[test]
fn a_rejected_run_ends_as_never_ran_only_if_no_previous_owner_may_have_run_it() {
    let begun = || Progress::Begun { token: 2 };
    for (effect, state, expected) in [
        (Effect::Fenced, Progress::Held, End::NeverRan),
        (Effect::Unknown, Progress::Held, End::NeverRan),
        (Effect::Asks, begun(), End::NeverRan),
        (Effect::Fenced, begun(), End::Unknown),
    ] {
        let mut own = successor(effect, state);
        if let [Action::Query { token, .. }] = own.actions().as_slice() {
            own.on_query_result("k", *token, QueryResult::NeverRan, 0);
            own.actions();
        }
        let begin = Entry::Begin { key: "k".into(), by: Holder::new("n1", 1), token: 4 };
        own.on_outcome(&begin, Some(&Outcome::Yours { token: 4 }), 0);
        let runs = matches!(own.actions().as_slice(), [Action::Run { token: 4, taken_over: true, .. }]);
        assert!(runs, "{effect:?}");
        own.on_run_result("k", 4, RunResult::NeverRan);
        let end = Entry::End { key: "k".into(), by: Holder::new("n1", 1), token: 4, end: expected };
        assert_eq!(proposed(&mut own), Some(end), "{effect:?}");
    }
}

#[test]
fn a_run_with_unknown_outcome_is_queried_if_possible_and_never_run_again() {
    for (effect, asks) in [(Effect::Asks, true), (Effect::Fenced, false), (Effect::Unknown, false)] {
        let mut own = own();
        own.offer(offer("k", effect), true, 0).unwrap();
        let entry = proposed(&mut own).unwrap();
        own.on_outcome(&entry, Some(&Outcome::Yours { token: 3 }), 0);
        own.actions();
        own.on_run_result("k", 3, RunResult::OutcomeUnknown);
        match own.actions().as_slice() {
            [Action::Query { token: 3, .. }] => assert!(asks),
            [Action::Propose(Entry::End { end: End::Unknown, .. })] => assert!(!asks, "{effect:?}"),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn work_without_clients_is_not_run() {
    let mut own = own();
    own.offer(offer("k", Effect::Asks), true, 0).unwrap();
    let entry = proposed(&mut own).unwrap();
    own.client_left("k");
    own.on_outcome(&entry, Some(&Outcome::Yours { token: 3 }), 0);
    assert!(matches!(proposed(&mut own), Some(Entry::End { end: End::NeverRan, token: 3, .. })));
    // An offer without an outcome and without clients is kept until its deadline.
    own.offer(offer("l", Effect::Asks), true, 0).unwrap();
    own.client_left("l");
    own.tick(4_999);
    assert!(own.contains("l"));
    own.actions();
    own.tick(5_000);
    assert!(!own.contains("l"));
    // A run of it that still waits is released.
    assert_eq!(own.actions(), [Action::OutcomeUnavailable { key: "l".into(), reason: Refusal::Late }]);
}

#[test]
fn a_rejoined_process_ends_earlier_work_as_the_earlier_incarnation() {
    let mut own = own();
    own.offer(offer("k", Effect::Asks), true, 0).unwrap();
    let entry = proposed(&mut own).unwrap();
    own.on_outcome(&entry, Some(&Outcome::Yours { token: 3 }), 0);
    own.actions();
    own.set_holder(Holder::new("n1", 2));
    own.on_run_result("k", 3, RunResult::Done(vec![7]));
    let (by, end) = (Holder::new("n1", 1), End::Done(vec![7]));
    let entry = Entry::End { key: "k".into(), by, token: 3, end };
    assert_eq!(proposed(&mut own), Some(entry.clone()));
    // Another owns the work, so the current incarnation waits for its outcome.
    own.on_outcome(&entry, Some(&Outcome::Refused(Refusal::OldToken)), 0);
    let again = proposed(&mut own);
    let now = |by: &Holder| *by == Holder::new("n1", 2);
    assert!(matches!(&again, Some(Entry::Offer { by, begin: false, .. }) if now(by)), "{again:?}");
}
