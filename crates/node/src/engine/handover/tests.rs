//! Tests of handover in the engine, with the test in place of the fleet: what runs, and which answers go out
//! when.

use super::*;
use crate::engine::input::{Message, RunEnd};
use crate::engine::tests::{Rig, paused, served};
use jaspershunt_work::{OwnedItem, Progress};

const KEY: &str = "one key";

fn me() -> Holder {
    Holder::new("n", 1)
}

/// Requests of the class `sign` are recorded in the fleet from now on.
fn record_in_fleet(rig: &mut Rig) {
    let file = r#"{"effect":"asks","resource":"127.0.0.1:9","path":"/"}"#;
    let mut handover = Handover {
        classes: [("sign".to_string(), serde_json::from_str(file).unwrap())].into(),
        region: String::new(),
        local_work: None,
        waiting: BTreeMap::new(),
        runs: BTreeMap::new(),
        inherited_count: 0,
        query_permits: Rc::new(Semaphore::new(1)),
        reported_capacity: None,
    };
    handover.set_holder(&me());
    rig.engine.handover = Some(handover);
}

/// Offers a try to the fleet and returns the entry.
fn offer(rig: &mut Rig, id: u64, key: &str) -> Entry {
    let Input::Work { id, work, reply } = rig.work(id, 1, 0.0) else { panic!("no work") };
    let due_ms = ms(rig.engine.now + rig.engine.epoch) + 4_000;
    let offer = Offer {
        key: key.into(),
        class: "sign".into(),
        tenant: None,
        body: work.body.clone(),
        due_ms,
        window_ends_ms: due_ms + 60_000,
        worth_milli: 1,
        effect: Effect::Asks,
    };
    let waits = Waiting { work, reply, key: key.into() };
    rig.engine.handover.as_mut().unwrap().waiting.insert(id, waits);
    rig.engine.with_local_work(|own, now_ms| own.offer(offer.clone(), true, now_ms).unwrap());
    Entry::Offer { by: me(), offer, begin: true, now_ms: due_ms - 4_000 }
}

fn settle(rig: &mut Rig, entry: Entry, outcome: Outcome) {
    rig.engine
        .step([Input::Fleet(FleetEvent::Proposed { entry, result: ProposalResult::Committed(outcome) })]);
}

fn end(token: u64, end: End) -> Entry {
    Entry::End { key: KEY.into(), by: me(), token, end }
}

#[test]
fn no_run_before_its_offer_is_committed_and_no_answer_before_its_end_is() {
    paused(async {
        let mut rig = Rig::new();
        record_in_fleet(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        assert!(rig.commands().is_empty());
        settle(&mut rig, entry, Outcome::Yours { token: 3 });
        assert_eq!(rig.commands(), ["apply 1"]);
        assert_eq!(rig.engine.token_of(Some(&KEY.into())), Some((KEY.into(), 3)));
        let over = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([over]);
        assert_eq!((rig.answers(), rig.engine.in_flight()), (vec![], 2));
        // The end that was recorded first is the answer.
        settle(&mut rig, end(3, End::Done(vec![7])), Outcome::Known(End::Done(vec![9])));
        assert_eq!(rig.answers(), [(1, served(&[9]))]);
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

#[test]
fn a_key_that_ran_here_does_not_run_here_again_under_any_token() {
    paused(async {
        let mut rig = Rig::new();
        record_in_fleet(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        settle(&mut rig, entry.clone(), Outcome::Yours { token: 3 });
        let over = rig.value(1, RunEnd::Failed);
        rig.engine.step([over]);
        assert_eq!(rig.commands(), ["apply 1"]);
        // The key was lost to another nodo, which is lost too, and comes back; the resource reports that it
        // never ran.
        let Entry::Offer { offer, .. } = entry else { panic!("no offer") };
        let mine = OwnedItem {
            key: KEY.into(),
            offer,
            token: 5,
            state: Progress::Begun { token: 4 },
            taken_over: true,
        };
        rig.engine.with_local_work(|own, now_ms| {
            own.on_view(&MemberView { owned: vec![mine], ended: vec![] }, now_ms)
        });
        let asked = |result| Input::Fleet(FleetEvent::QueryAnswered { key: KEY.into(), token: 5, result });
        rig.engine.step([asked(QueryResult::NeverRan)]);
        let begin = Entry::Begin { key: KEY.into(), by: me(), token: 5 };
        settle(&mut rig, begin, Outcome::Yours { token: 5 });
        assert!(rig.commands().is_empty(), "its key was run twice");
        rig.engine.step([asked(QueryResult::CannotTell)]);
        settle(&mut rig, end(5, End::Unknown), Outcome::Known(End::Unknown));
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

/// The end of a run is never reported, and a try that waited for it leaves too: that try has not run, but its
/// key has.
#[test]
fn a_key_whose_run_was_lost_is_not_reported_as_never_run() {
    paused(async {
        let mut rig = Rig::new();
        record_in_fleet(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        settle(&mut rig, entry, Outcome::Yours { token: 3 });
        rig.until(40.5).await;
        assert_eq!(rig.commands()[0], "apply 1");
        let again = rig.work(2, 1, 0.0);
        rig.engine.step([again]);
        assert_eq!(rig.engine.requests.len(), 2, "the run is not lost yet");
        rig.until(42.4).await;
        assert_eq!(rig.answers(), [(1, Answer::Failed), (2, Answer::Failed)]);
        assert!(rig.engine.requests.is_empty());
        // Only the resource's answer to a query ends the key.
        settle(&mut rig, end(3, End::NeverRan), Outcome::Known(End::NeverRan));
        assert_eq!(rig.engine.token_of(Some(&KEY.into())), Some((KEY.into(), 3)));
        rig.engine.step([Input::Fleet(FleetEvent::QueryAnswered {
            key: KEY.into(),
            token: 3,
            result: QueryResult::Done(vec![7]),
        })]);
        settle(&mut rig, end(3, End::Done(vec![7])), Outcome::Known(End::Done(vec![7])));
        assert_eq!(rig.engine.token_of(Some(&KEY.into())), None);
    });
}

/// All callers are answered while a run continues that this nodo can hand over: it counts as in flight until
/// then.
#[test]
fn a_leaving_nodo_counts_its_runs_as_in_flight_until_they_are_handed_over() {
    paused(async {
        let mut rig = Rig::new();
        record_in_fleet(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        settle(&mut rig, entry, Outcome::Yours { token: 3 });
        rig.engine.stop_at = Some(rig.engine.now + 10.0);
        rig.until(2.1).await;
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        assert_eq!((rig.engine.owed, rig.engine.in_flight()), (0, 1));
        rig.engine.channels.desk.handed.set(true);
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

#[test]
fn a_leaving_nodo_answers_waiting_tries_and_those_with_an_uncommitted_end() {
    paused(async {
        let mut rig = Rig::new();
        record_in_fleet(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        settle(&mut rig, entry, Outcome::Yours { token: 3 });
        let over = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([over]);
        offer(&mut rig, 2, "another");
        assert_eq!(rig.answers(), []);
        rig.engine.step([Input::Fleet(FleetEvent::HandOver)]);
        let mut answers = rig.answers();
        answers.sort_by_key(|(id, _)| *id);
        assert_eq!(answers, [(1, Answer::Failed), (2, Answer::Failed)]);
    });
}

#[test]
fn each_of_two_refused_tries_gets_one_answer() {
    paused(async {
        let mut rig = Rig::before_the_interpreter();
        record_in_fleet(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        let second = offer(&mut rig, 2, KEY);
        settle(&mut rig, entry.clone(), Outcome::Yours { token: 3 });
        // That nothing ran is not committed: another nodo owns the key, reports the same, and this process
        // owns it again.
        settle(&mut rig, end(3, End::NeverRan), Outcome::Refused(Refusal::OldToken));
        assert_eq!(rig.answers(), []);
        let Entry::Offer { by, offer, now_ms, .. } = entry else { panic!("no offer: {second:?}") };
        settle(&mut rig, Entry::Offer { by, offer, begin: false, now_ms }, Outcome::Yours { token: 5 });
        let begin = Entry::Begin { key: KEY.into(), by: me(), token: 5 };
        settle(&mut rig, begin, Outcome::Yours { token: 5 });
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        settle(&mut rig, end(5, End::NeverRan), Outcome::Known(End::NeverRan));
        assert!(matches!(rig.answers()[..], [(2, Answer::Refused { .. })]));
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

/// The run's call is given up. The platform sees no request end by that, so the nodo stops the run and
/// queries the resource.
#[test]
fn an_inherited_run_that_waits_for_a_call_ends_at_its_deadline() {
    paused(async {
        let mut rig = Rig::new();
        record_in_fleet(&mut rig);
        let Entry::Offer { offer, .. } = offer(&mut rig, 1, KEY) else { panic!("no offer") };
        let mut rig = Rig::new();
        record_in_fleet(&mut rig);
        let mine = OwnedItem { key: KEY.into(), offer, token: 5, state: Progress::Held, taken_over: true };
        rig.engine.with_local_work(|own, now_ms| {
            own.on_view(&MemberView { owned: vec![mine], ended: vec![] }, now_ms)
        });
        let begin = Entry::Begin { key: KEY.into(), by: me(), token: 5 };
        settle(&mut rig, begin, Outcome::Yours { token: 5 });
        let uid = rig.engine.requests.values().next().expect("it runs").uid.clone();
        let content = vec![2];
        rig.engine.step([Input::Interpreter(Message::Await { pos: 1, uid: uid.clone(), content })]);
        assert_eq!(rig.commands().len(), 1, "the order to run");
        rig.until(6.0).await;
        assert!(rig.commands().iter().any(|command| command.starts_with("break ")));
        rig.engine.step([Input::Interpreter(Message::Value { pos: 2, uid, end: RunEnd::Stopped })]);
        rig.engine.step([Input::Fleet(FleetEvent::QueryAnswered {
            key: KEY.into(),
            token: 5,
            result: QueryResult::Done(vec![7]),
        })]);
        settle(&mut rig, end(5, End::Done(vec![7])), Outcome::Known(End::Done(vec![7])));
        assert!(rig.engine.requests.is_empty() && rig.engine.in_flight() == 0);
    });
}

/// One copy of an offer was refused, as this incarnation was not enrolled yet; another copy may be committed
/// and run elsewhere.
#[test]
fn the_refusal_of_one_copy_does_not_apply_to_the_others() {
    paused(async {
        for (result, is_refused) in [
            (ProposalResult::Committed(Outcome::Refused(Refusal::NotPresent)), true),
            (ProposalResult::ResentRefused(Refusal::NotPresent), false),
        ] {
            let mut rig = Rig::new();
            record_in_fleet(&mut rig);
            let entry = offer(&mut rig, 1, KEY);
            rig.engine.step([Input::Fleet(FleetEvent::Proposed { entry, result })]);
            let [(1, answer)] = &rig.answers()[..] else { panic!("no answer") };
            assert_eq!(matches!(answer, Answer::Refused { .. }), is_refused, "{answer:?}");
        }
    });
}

#[test]
fn a_key_that_never_ran_is_refused_and_an_unknown_outcome_fails() {
    assert_eq!(answer_of(&End::NeverRan, 1.0), Answer::Refused { stay_away: 1.0, last: false });
    assert_eq!(answer_of(&End::Done(vec![7]), 1.0), Answer::Served([7].into()));
    for end in [End::Failed, End::Unknown] {
        assert_eq!(answer_of(&end, 1.0), Answer::Failed);
    }
}
