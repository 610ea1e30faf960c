//! The engine with the test in the place of the fleet: what runs, and who is told what, when.

use super::*;
use crate::engine::input::{Message, RunEnd};
use crate::engine::tests::{Rig, paused, served};
use jaspershunt_work::{OwnedItem, Progress};

const KEY: &str = "one key";

fn me() -> Holder {
    Holder::new("n", 1)
}

/// The class `sign` is held by the fleet from here on.
fn holds(rig: &mut Rig) {
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

/// A try is offered to the fleet; the entry.
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

fn agreed(rig: &mut Rig, entry: Entry, outcome: Outcome) {
    rig.engine
        .step([Input::Fleet(FleetEvent::Proposed { entry, result: ProposalResult::Committed(outcome) })]);
}

fn end(token: u64, end: End) -> Entry {
    Entry::End { key: KEY.into(), by: me(), token, end }
}

#[test]
fn nothing_runs_before_it_is_held_and_nobody_is_told_before_its_end_is_agreed() {
    paused(async {
        let mut rig = Rig::new();
        holds(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        assert!(rig.commands().is_empty());
        agreed(&mut rig, entry, Outcome::Yours { token: 3 });
        assert_eq!(rig.commands(), ["apply 1"]);
        assert_eq!(rig.engine.token_of(Some(&KEY.into())), Some((KEY.into(), 3)));
        let over = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([over]);
        assert_eq!((rig.answers(), rig.engine.in_flight()), (vec![], 2));
        // What was recorded first is told.
        agreed(&mut rig, end(3, End::Done(vec![7])), Outcome::Known(End::Done(vec![9])));
        assert_eq!(rig.answers(), [(1, served(&[9]))]);
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

#[test]
fn what_ran_here_is_not_run_here_again_under_any_token() {
    paused(async {
        let mut rig = Rig::new();
        holds(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        agreed(&mut rig, entry.clone(), Outcome::Yours { token: 3 });
        let over = rig.value(1, RunEnd::Failed);
        rig.engine.step([over]);
        assert_eq!(rig.commands(), ["apply 1"]);
        // It was lost to another, which is lost as well, and comes back; what it acts on says that it never
        // ran.
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
        let asked =
            |told| Input::Fleet(FleetEvent::QueryAnswered { key: KEY.into(), token: 5, result: told });
        rig.engine.step([asked(QueryResult::NeverRan)]);
        let begin = Entry::Begin { key: KEY.into(), by: me(), token: 5 };
        agreed(&mut rig, begin, Outcome::Yours { token: 5 });
        assert!(rig.commands().is_empty(), "its key was run twice");
        rig.engine.step([asked(QueryResult::CannotTell)]);
        agreed(&mut rig, end(5, End::Unknown), Outcome::Known(End::Unknown));
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

/// The end of a run is never heard of, and a repeat that waited for it goes with it: the repeat itself has
/// not run, its key has.
#[test]
fn a_key_whose_run_was_lost_is_not_said_never_to_have_run() {
    paused(async {
        let mut rig = Rig::new();
        holds(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        agreed(&mut rig, entry, Outcome::Yours { token: 3 });
        rig.until(40.5).await;
        assert_eq!(rig.commands()[0], "apply 1");
        let again = rig.work(2, 1, 0.0);
        rig.engine.step([again]);
        assert_eq!(rig.engine.requests.len(), 2, "the run is not lost yet");
        rig.until(42.4).await;
        assert_eq!(rig.answers(), [(1, Answer::Failed), (2, Answer::Failed)]);
        assert!(rig.engine.requests.is_empty());
        // It waits for a word of what the key acts on, and nothing else ends it.
        agreed(&mut rig, end(3, End::NeverRan), Outcome::Known(End::NeverRan));
        assert_eq!(rig.engine.token_of(Some(&KEY.into())), Some((KEY.into(), 3)));
        rig.engine.step([Input::Fleet(FleetEvent::QueryAnswered {
            key: KEY.into(),
            token: 3,
            result: QueryResult::Done(vec![7]),
        })]);
        agreed(&mut rig, end(3, End::Done(vec![7])), Outcome::Known(End::Done(vec![7])));
        assert_eq!(rig.engine.token_of(Some(&KEY.into())), None);
    });
}

/// All callers have their answers, and a run goes on that this nodo could hand over: it is in hand until
/// then.
#[test]
fn a_nodo_that_leaves_has_its_runs_in_hand_until_they_are_handed_over() {
    paused(async {
        let mut rig = Rig::new();
        holds(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        agreed(&mut rig, entry, Outcome::Yours { token: 3 });
        rig.engine.stop_at = Some(rig.engine.now + 10.0);
        rig.until(2.1).await;
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        assert_eq!((rig.engine.owed, rig.engine.in_flight()), (0, 1));
        rig.engine.channels.desk.handed.set(true);
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

#[test]
fn a_nodo_that_leaves_answers_who_waits_and_whose_end_is_not_agreed() {
    paused(async {
        let mut rig = Rig::new();
        holds(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        agreed(&mut rig, entry, Outcome::Yours { token: 3 });
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
fn of_two_tries_that_are_turned_away_each_gets_one_answer() {
    paused(async {
        let mut rig = Rig::before_the_interpreter();
        holds(&mut rig);
        let entry = offer(&mut rig, 1, KEY);
        let second = offer(&mut rig, 2, KEY);
        agreed(&mut rig, entry.clone(), Outcome::Yours { token: 3 });
        // That nothing ran is not agreed: another has it, says the same, and this process may have it anew.
        agreed(&mut rig, end(3, End::NeverRan), Outcome::Refused(Refusal::OldToken));
        assert_eq!(rig.answers(), []);
        let Entry::Offer { by, offer, now_ms, .. } = entry else { panic!("no offer: {second:?}") };
        agreed(&mut rig, Entry::Offer { by, offer, begin: false, now_ms }, Outcome::Yours { token: 5 });
        let begin = Entry::Begin { key: KEY.into(), by: me(), token: 5 };
        agreed(&mut rig, begin, Outcome::Yours { token: 5 });
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        agreed(&mut rig, end(5, End::NeverRan), Outcome::Known(End::NeverRan));
        assert!(matches!(rig.answers()[..], [(2, Answer::Refused { .. })]));
        assert_eq!(rig.engine.in_flight(), 0);
    });
}

/// Its call is given up: no request is over for the platform by that, so the nodo ends the run itself, and
/// asks what became of it.
#[test]
fn an_heirs_run_that_waits_for_a_call_ends_with_its_time() {
    paused(async {
        let mut rig = Rig::new();
        holds(&mut rig);
        let Entry::Offer { offer, .. } = offer(&mut rig, 1, KEY) else { panic!("no offer") };
        let mut rig = Rig::new();
        holds(&mut rig);
        let mine = OwnedItem { key: KEY.into(), offer, token: 5, state: Progress::Held, taken_over: true };
        rig.engine.with_local_work(|own, now_ms| {
            own.on_view(&MemberView { owned: vec![mine], ended: vec![] }, now_ms)
        });
        let begin = Entry::Begin { key: KEY.into(), by: me(), token: 5 };
        agreed(&mut rig, begin, Outcome::Yours { token: 5 });
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
        agreed(&mut rig, end(5, End::Done(vec![7])), Outcome::Known(End::Done(vec![7])));
        assert!(rig.engine.requests.is_empty() && rig.engine.in_flight() == 0);
    });
}

/// One copy of an offer was refused, as this start was not enrolled yet; another may be agreed by now, and
/// run elsewhere.
#[test]
fn the_refusal_of_one_copy_says_nothing_of_the_others() {
    paused(async {
        for (came, told) in [
            (ProposalResult::Committed(Outcome::Refused(Refusal::NotPresent)), true),
            (ProposalResult::ResentRefused(Refusal::NotPresent), false),
        ] {
            let mut rig = Rig::new();
            holds(&mut rig);
            let entry = offer(&mut rig, 1, KEY);
            rig.engine.step([Input::Fleet(FleetEvent::Proposed { entry, result: came })]);
            let [(1, answer)] = &rig.answers()[..] else { panic!("no answer") };
            assert_eq!(matches!(answer, Answer::Refused { .. }), told, "{answer:?}");
        }
    });
}

#[test]
fn what_never_ran_is_turned_away_and_what_nobody_knows_fails() {
    assert_eq!(answer_of(&End::NeverRan, 1.0), Answer::Refused { stay_away: 1.0, last: false });
    assert_eq!(answer_of(&End::Done(vec![7]), 1.0), Answer::Served([7].into()));
    for end in [End::Failed, End::Unknown] {
        assert_eq!(answer_of(&end, 1.0), Answer::Failed);
    }
}
