//! Settings that are reloaded while keys are remembered and requests are in flight, on a clock that advances
//! only when idle.

use super::*;
use crate::engine::input::Peer;
use crate::upgrade::wire;

/// The settings of the tests with `from` replaced by `to`.
fn changed(from: &str, to: &str) -> String {
    let text = SETTINGS.replace(from, to);
    assert_ne!(text, SETTINGS, "{from}");
    text
}

/// The settings with another window for the keyed class.
fn window(seconds: u32) -> String {
    SETTINGS.replace("\"windowS\":60", &format!("\"windowS\":{seconds}"))
}

/// Reloads these settings, as at a SIGHUP.
fn reload(rig: &mut Rig, text: &str) {
    let (settings, names) = jaspershunt_settings::read(text, "settings").unwrap();
    let (done, mut taken) = oneshot::channel();
    rig.engine.handle_order(Order::Settings { facts: Rc::new(NamedSettings { settings, names }), done });
    assert_eq!(taken.try_recv(), Ok(Ok(())));
}

/// A try of the one key, with the class's index in the settings in force.
fn sign(rig: &Rig, id: u64, waited: f64) -> Input {
    let class = rig.engine.names.class("sign").unwrap();
    match rig.work(id, 1, waited) {
        Input::Work { id, work, reply } => Input::Work { id, work: Work { class, ..work }, reply },
        other => other,
    }
}

/// Runs a first try of the key to its end.
fn run_first(rig: &mut Rig) {
    let first = sign(rig, 1, 0.0);
    rig.engine.step([first]);
    let end = rig.value(1, RunEnd::Done(vec![7]));
    rig.engine.step([end]);
    assert_eq!(rig.commands(), ["apply 1"]);
    assert_eq!(rig.answers(), [(1, served(&[7]))]);
}

/// Handles a try that arrived `waited` seconds ago; returns whether it runs.
fn runs(rig: &mut Rig, id: u64, waited: f64) -> bool {
    let again = sign(rig, id, waited);
    rig.engine.step([again]);
    let commands = rig.commands();
    let ran = !commands.is_empty();
    assert!(!ran || commands == [format!("apply {id}")], "{commands:?}");
    if !ran {
        assert_eq!(rig.answers(), [(id as u16, served(&[7]))]);
    }
    ran
}

#[test]
fn a_key_that_ran_before_its_window_got_shorter_does_not_run_again_in_the_longer_one() {
    paused(async {
        let mut rig = Rig::new();
        run_first(&mut rig);
        reload(&mut rig, &window(5));
        rig.until(59.9).await;
        assert!(!runs(&mut rig, 2, 0.0));
    });
}

/// An extended window does not shorten that of a key that ran under a still longer one.
#[test]
fn a_key_that_ran_under_the_longest_of_three_windows_is_remembered_for_that() {
    paused(async {
        let mut rig = Rig::new();
        run_first(&mut rig);
        reload(&mut rig, &window(5));
        reload(&mut rig, &window(30));
        rig.until(59.9).await;
        assert!(!runs(&mut rig, 2, 0.0));
    });
}

#[test]
fn a_key_that_ran_before_its_window_got_longer_does_not_run_again_in_the_longer_one() {
    paused(async {
        let mut rig = Rig::with(&window(5));
        run_first(&mut rig);
        rig.until(3.0).await;
        reload(&mut rig, &window(60));
        rig.until(59.9).await;
        assert!(!runs(&mut rig, 2, 0.0));
        rig.until(60.2).await;
        assert!(runs(&mut rig, 3, 0.0), "it is remembered for too long");
    });
}

/// Guards against a key that runs again within its window: the other process of an upgrade reports the end of its run
/// after this one has taken settings with a longer window, which that process has not.
#[test]
fn a_run_that_ends_in_the_other_process_counts_with_a_longer_window_taken_here() {
    paused(async {
        let mut rig = Rig::with(&window(5));
        let entry = |state| {
            let (key, digest) = (Key::from("one key"), crate::keys::digest("sign", &[1]));
            // The run of a try that arrived as the test began.
            wire::Entry { key, digest, until: UNIX + 5.0 + WINDOW_SLACK_SECONDS, state }
        };
        let running = entry(wire::State::InFlight);
        rig.engine.step([Input::Peer(Peer::Table(vec![running]))]);
        rig.until(1.0).await;
        reload(&mut rig, &window(60));
        rig.until(3.0).await;
        let ended = entry(wire::State::Done([7][..].into()));
        rig.engine.step([Input::Peer(Peer::Ended(ended))]);
        rig.until(59.9).await;
        assert!(!runs(&mut rig, 2, 0.0));
        rig.until(60.2).await;
        assert!(runs(&mut rig, 3, 0.0), "it is remembered for too long");
    });
}

/// Guards against a window that grows with each change back and forth.
#[test]
fn windows_that_change_back_and_forth_end() {
    paused(async {
        let mut rig = Rig::with(&window(5));
        run_first(&mut rig);
        for _ in 0..20 {
            reload(&mut rig, &window(30));
            reload(&mut rig, &window(5));
        }
        rig.until(29.9).await;
        assert!(!runs(&mut rig, 2, 0.0));
        rig.until(30.2).await;
        assert!(runs(&mut rig, 3, 0.0));
    });
}

/// The try arrives under the shorter window and is queued until the longer one is in force.
#[test]
fn a_try_that_waits_while_its_window_gets_longer_is_remembered_for_the_longer_one() {
    paused(async {
        let mut rig = Rig::with(&window(5));
        let ahead = rig.work(9, 0, 0.0);
        rig.engine.step([ahead]);
        let waits = sign(&rig, 1, 0.0);
        rig.engine.step([waits]);
        assert_eq!(rig.commands(), ["apply 9"]);
        reload(&mut rig, &window(60));
        for id in [9, 1] {
            let end = rig.value(id, RunEnd::Done(vec![7]));
            rig.engine.step([end]);
        }
        assert_eq!(rig.commands(), ["apply 1"]);
        assert_eq!(rig.answers().len(), 2);
        rig.until(59.0).await;
        assert!(!runs(&mut rig, 2, 0.0));
    });
}

/// The class is removed from the settings and added again with a longer window.
#[test]
fn a_class_added_again_with_a_longer_window_extends_its_keys() {
    paused(async {
        let mut rig = Rig::with(&window(5));
        run_first(&mut rig);
        reload(&mut rig, &changed("\"sign\"", "\"other\""));
        reload(&mut rig, &window(30));
        rig.until(29.9).await;
        assert!(!runs(&mut rig, 2, 0.0));
    });
}

#[test]
fn the_last_instant_of_a_window_is_within_it_and_later_ones_are_not() {
    paused(async {
        let mut rig = Rig::new();
        run_first(&mut rig);
        rig.until(60.0).await;
        assert!(!runs(&mut rig, 2, 0.0));
        rig.until(60.0 + WINDOW_SLACK_SECONDS + 0.01).await;
        assert!(runs(&mut rig, 3, 0.0));
    });
}

/// The try is queued as the window ends: its arrival counts, not when it is handled.
#[test]
fn a_try_that_arrived_within_the_window_and_is_handled_after_it_does_not_run() {
    paused(async {
        let mut rig = Rig::new();
        run_first(&mut rig);
        rig.until(61.0).await;
        // Another input that is handled first must not make the nodo forget the key.
        let other = match rig.work(5, 1, 0.0) {
            Input::Work { id, work, reply } => {
                Input::Work { id, work: Work { key: Some(Key::from("another key")), ..work }, reply }
            }
            other => other,
        };
        rig.engine.step([other]);
        assert_eq!(rig.commands(), ["apply 5"]);
        assert!(!runs(&mut rig, 2, 1.2));
        let end = rig.value(5, RunEnd::Done(vec![]));
        rig.engine.step([end]);
        rig.answers();
        assert!(runs(&mut rig, 3, 0.0));
    });
}

/// The window ends while the first try still runs, and another waits for its result.
#[test]
fn a_try_that_waits_for_a_run_as_the_window_ends_is_served_by_it() {
    paused(async {
        let mut rig = Rig::with(&window(1));
        let first = sign(&rig, 1, 0.0);
        rig.engine.step([first]);
        rig.until(1.05).await;
        let again = sign(&rig, 2, 0.0);
        rig.engine.step([again]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.until(1.3).await;
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        let mut answers = rig.answers();
        answers.sort_by_key(|(id, _)| *id);
        assert_eq!(answers, [(1, served(&[7])), (2, served(&[7]))]);
        assert!(rig.commands().is_empty());
        assert!(rig.engine.followers.is_empty());
    });
}

/// The notice to leave waits behind a full queue, and settings with a longer grace come into force before it
/// is handled.
#[test]
fn the_grace_is_the_one_in_force_when_the_notice_came() {
    paused(async {
        let mut rig = Rig::new();
        let noticed = Instant::now();
        rig.engine.channels.desk.leaves.set(true);
        reload(&mut rig, &changed("\"drainGraceS\":2", "\"drainGraceS\":60"));
        rig.engine.step([Input::Leave { since: noticed }]);
        rig.until(1.5).await;
        let within = rig.work(1, 0, 0.0);
        rig.engine.step([within]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.until(2.1).await;
        let after = rig.work(2, 0, 0.0);
        rig.engine.step([after]);
        assert_eq!(rig.commands(), [] as [&str; 0], "it came after the grace");
        assert!(matches!(rig.answers()[..], [(2, Answer::Refused { .. })]));
    });
}

/// Settings are reloaded during and after the grace: running requests are answered once, no new one runs, and
/// `closed` stays reported.
#[test]
fn settings_that_change_as_the_nodo_leaves_do_not_affect_its_leaving() {
    paused(async {
        let mut rig = Rig::new();
        let first = rig.work(1, 0, 0.0);
        rig.engine.step([first]);
        rig.engine.channels.desk.leaves.set(true);
        rig.engine.step([Input::Leave { since: Instant::now() }]);
        for (at, grace) in [(1.0, 60), (2.5, 60), (2.6, 1)] {
            rig.until(at).await;
            reload(&mut rig, &changed("\"drainGraceS\":2", &format!("\"drainGraceS\":{grace}")));
            assert_eq!(*rig.mode.borrow(), Some(Mode::Closed), "at {at} s");
            assert!(!rig.engine.is_healthy());
        }
        let after = rig.work(2, 0, 0.0);
        rig.engine.step([after]);
        rig.until(4.0).await;
        assert_eq!(rig.commands(), ["apply 1", "break 1"]);
        let answers = rig.answers();
        assert_eq!(answers.iter().filter(|(id, _)| *id == 1).count(), 1, "{answers:?}");
        assert!(answers.iter().any(|(id, answer)| *id == 2 && matches!(answer, Answer::Refused { .. })));
    });
}

/// Two changes of the settings overtake a queued request: the first removes its class, and the second adds
/// one that needs an index.
#[test]
fn a_request_that_two_changes_of_the_settings_overtake_keeps_its_class() {
    paused(async {
        let mut rig = Rig::new();
        let on_its_way = rig.work(1, 0, 0.0);
        reload(&mut rig, &changed("\"read\"", "\"look\""));
        reload(&mut rig, &changed("\"read\"", "\"find\""));
        rig.engine.step([on_its_way]);
        let command = std::iter::from_fn(|| rig.commands.try_recv().ok())
            .find_map(|command| if let Command::Apply { class, .. } = command { Some(class) } else { None });
        assert_eq!(command.as_deref(), Some("\"read\""));
        // Indices are reused once no queued request can refer to them.
        rig.until(0.1).await;
        reload(&mut rig, &changed("\"read\"", "\"seek\""));
        let names: Vec<_> = rig.engine.settings.classes.iter().map(|class| class.name.as_str()).collect();
        assert_eq!(names, ["read", "sign", "seek", "find"]);
    });
}

/// A class is removed, or its effect or numbers change, while its requests are queued, running, at a call, or
/// running though answered: each keeps the numbers that it arrived under, and is answered once.
#[test]
fn in_flight_requests_of_a_removed_or_changed_class_keep_its_settings() {
    let effect = |to: &str| changed("\"semantics\":\"free\"", &format!("\"semantics\":\"{to}\""));
    let keyed = changed("\"semantics\":\"free\"", "\"semantics\":\"guarded\",\"windowS\":9");
    let figures = changed(
        "\"targetS\":2,\"deadlineS\":4,\"semantics\":\"free\"",
        "\"targetS\":9,\"deadlineS\":9,\"semantics\":\"free\"",
    );
    let gone = changed("\"read\"", "\"look\"");
    for text in [gone, figures, keyed, effect("single_shot")] {
        paused(async {
            let mut rig = Rig::with(&SETTINGS.replace(r#""nCores":1"#, r#""nCores":2"#));
            let at_call = rig.work(1, 0, 1.9);
            rig.engine.step([at_call]);
            let wait = rig.wait(1);
            rig.engine.step([wait]);
            let mut call = rig.calls.try_recv().expect("a call");
            let left = rig.work(2, 0, 0.0);
            rig.engine.step([left]);
            assert_eq!(rig.commands(), ["apply 1", "apply 2"]);
            // Its caller leaves as the settings change, and it continues to run.
            rig.engine.step([Input::CallerGone { id: RequestId(2) }]);
            let others = [rig.work(3, 0, 1.0), rig.work(4, 0, 1.0)];
            rig.engine.step(others);
            reload(&mut rig, &text.replace(r#""nCores":1"#, r#""nCores":2"#));
            assert!(call.given_up.try_recv().is_err());
            rig.until(3.0).await;
            let mut answered: Vec<_> = rig.answers().into_iter().map(|(id, _)| id).collect();
            answered.sort_unstable();
            assert_eq!(answered, [1, 2, 3, 4], "within the deadline at their arrival: {text}");
            let ends = [1, 2, 3, 4].map(|id| rig.value(id, RunEnd::Stopped));
            rig.engine.step(ends);
            assert!(rig.engine.requests.is_empty() && rig.engine.by_uid.is_empty());
            let counts = rig.engine.channels.desk.counts.borrow();
            assert_eq!(
                (counts.current(), counts.is_consistent(), counts.of_class("read").taken),
                (0, true, 4)
            );
        });
    }
}

/// The class is no longer keyed and then keyed again: keys that ran are still known.
#[test]
fn a_key_is_known_when_its_class_is_keyed_again() {
    paused(async {
        let mut rig = Rig::new();
        run_first(&mut rig);
        reload(&mut rig, &changed("\"guarded\",\"windowS\":60", "\"free\""));
        reload(&mut rig, &changed("\"guarded\",\"windowS\":60", "\"single_shot\""));
        reload(&mut rig, SETTINGS);
        rig.until(59.0).await;
        assert!(!runs(&mut rig, 2, 0.0));
    });
}

/// The gauges are requested under the previous settings, and the readings come after other gauges, or another
/// order, are in force.
#[test]
fn readings_requested_under_previous_gauges_are_not_taken_for_new_ones() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.step([work]);
        rig.commands();
        rig.engine.step([Input::Woke { token: 0 }]);
        let Ok(Command::Gauges { tag }) = rig.commands.try_recv() else {
            panic!("no request for the gauges")
        };
        reload(&mut rig, &changed(r#""meters":["on_cores"]"#, r#""meters":["heap_share"]"#));
        assert!(rig.engine.wakes.is_empty(), "the wake is delivered without readings");
        let before = rig.engine.tag;
        rig.engine.step([Input::Interpreter(Message::Gauges { tag, vouches: 1, readings: vec![Some(1.0)] })]);
        assert_eq!(rig.engine.tag, before, "an accepted answer changes the tag");
    });
}
