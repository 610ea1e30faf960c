//! Settings that change while keys are remembered and requests are open, on a clock that stands until all is done.

use super::*;

/// The settings of the tests with this in the place of that.
fn changed(from: &str, to: &str) -> String {
    let text = SETTINGS.replace(from, to);
    assert_ne!(text, SETTINGS, "{from}");
    text
}

/// The settings with another window for the keyed class.
fn window(seconds: u32) -> String {
    SETTINGS.replace("\"windowS\":60", &format!("\"windowS\":{seconds}"))
}

/// Has these settings taken up, as at a SIGHUP.
fn reload(rig: &mut Rig, text: &str) {
    let (settings, names) = jaspershunt_settings::read(text, "settings").unwrap();
    let (done, mut taken) = oneshot::channel();
    rig.engine.obey(Order::Settings { facts: Rc::new(NamedSettings { settings, names }), done });
    assert_eq!(taken.try_recv(), Ok(Ok(())));
}

/// A try of the one key, under the class as the settings in force have it.
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
    rig.engine.round([first]);
    let end = rig.value(1, RunEnd::Done(vec![7]));
    rig.engine.round([end]);
    assert_eq!(rig.commands(), ["apply 1"]);
    assert_eq!(rig.answers(), [(1, served(&[7]))]);
}

/// A try is read now that came to the machine so long ago; whether it is run.
fn runs(rig: &mut Rig, id: u64, waited: f64) -> bool {
    let again = sign(rig, id, waited);
    rig.engine.round([again]);
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

/// A window that gets longer takes nothing from a key that ran under a still longer one.
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
        assert!(runs(&mut rig, 3, 0.0), "it is remembered for no longer than that");
    });
}

/// Guards against a window that grows with each change to and fro.
#[test]
fn windows_that_change_to_and_fro_end() {
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

/// It came under the shorter window and waits for the core until the longer one is in force.
#[test]
fn a_try_that_waits_while_its_window_gets_longer_is_remembered_for_the_longer_one() {
    paused(async {
        let mut rig = Rig::with(&window(5));
        let ahead = rig.work(9, 0, 0.0);
        rig.engine.round([ahead]);
        let waits = sign(&rig, 1, 0.0);
        rig.engine.round([waits]);
        assert_eq!(rig.commands(), ["apply 9"]);
        reload(&mut rig, &window(60));
        for id in [9, 1] {
            let end = rig.value(id, RunEnd::Done(vec![7]));
            rig.engine.round([end]);
        }
        assert_eq!(rig.commands(), ["apply 1"]);
        assert_eq!(rig.answers().len(), 2);
        rig.until(59.0).await;
        assert!(!runs(&mut rig, 2, 0.0));
    });
}

/// The class is taken out of the settings and put back with a longer window.
#[test]
fn a_class_that_comes_back_with_a_longer_window_has_its_keys_remembered_for_it() {
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
fn the_last_instant_of_a_window_is_within_it_and_what_comes_later_is_not() {
    paused(async {
        let mut rig = Rig::new();
        run_first(&mut rig);
        rig.until(60.0).await;
        assert!(!runs(&mut rig, 2, 0.0));
        rig.until(60.0 + WINDOW_SLACK + 0.01).await;
        assert!(runs(&mut rig, 3, 0.0));
    });
}

/// The nodo is kept from its work as the window ends: what counts is when the try came, not when it is read.
#[test]
fn a_try_that_came_within_the_window_and_is_read_after_it_does_not_run() {
    paused(async {
        let mut rig = Rig::new();
        run_first(&mut rig);
        rig.until(61.0).await;
        // Nothing else that is read first may make the nodo forget it.
        let other = match rig.work(5, 1, 0.0) {
            Input::Work { id, work, reply } => {
                Input::Work { id, work: Work { key: Some(Key::from("another key")), ..work }, reply }
            }
            other => other,
        };
        rig.engine.round([other]);
        assert_eq!(rig.commands(), ["apply 5"]);
        assert!(!runs(&mut rig, 2, 1.2));
        let end = rig.value(5, RunEnd::Done(vec![]));
        rig.engine.round([end]);
        rig.answers();
        assert!(runs(&mut rig, 3, 0.0));
    });
}

/// The window ends while the first try still runs, and another waits for what that makes.
#[test]
fn a_try_that_waits_for_a_run_as_the_window_ends_is_served_by_it() {
    paused(async {
        let mut rig = Rig::with(&window(1));
        let first = sign(&rig, 1, 0.0);
        rig.engine.round([first]);
        rig.until(1.05).await;
        let again = sign(&rig, 2, 0.0);
        rig.engine.round([again]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.until(1.3).await;
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.round([end]);
        let mut answers = rig.answers();
        answers.sort_by_key(|(id, _)| *id);
        assert_eq!(answers, [(1, served(&[7])), (2, served(&[7]))]);
        assert!(rig.commands().is_empty());
        assert!(rig.engine.followers.is_empty());
    });
}

/// The notice to leave waits behind a full queue, and settings with a longer grace are taken up before it is read.
#[test]
fn the_grace_is_the_one_in_force_when_the_notice_came() {
    paused(async {
        let mut rig = Rig::new();
        let told = Instant::now();
        rig.engine.ways.desk.leaves.set(true);
        reload(&mut rig, &changed("\"drainGraceS\":2", "\"drainGraceS\":60"));
        rig.engine.round([Input::Leave { told }]);
        rig.until(1.5).await;
        let within = rig.work(1, 0, 0.0);
        rig.engine.round([within]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.until(2.1).await;
        let after = rig.work(2, 0, 0.0);
        rig.engine.round([after]);
        assert_eq!(rig.commands(), [] as [&str; 0], "it came after the grace");
        assert!(matches!(rig.answers()[..], [(2, Answer::Refused { .. })]));
    });
}

/// Settings are taken up during the grace and after it: what runs is answered once, nothing new runs, and `closed` stays reported.
#[test]
fn settings_that_change_as_the_nodo_leaves_change_nothing_of_that() {
    paused(async {
        let mut rig = Rig::new();
        let first = rig.work(1, 0, 0.0);
        rig.engine.round([first]);
        rig.engine.ways.desk.leaves.set(true);
        rig.engine.round([Input::Leave { told: Instant::now() }]);
        for (at, grace) in [(1.0, 60), (2.5, 60), (2.6, 1)] {
            rig.until(at).await;
            reload(&mut rig, &changed("\"drainGraceS\":2", &format!("\"drainGraceS\":{grace}")));
            assert_eq!(*rig.mode.borrow(), Some(Mode::Closed), "at {at} s");
            assert!(!rig.engine.in_health());
        }
        let after = rig.work(2, 0, 0.0);
        rig.engine.round([after]);
        rig.until(4.0).await;
        assert_eq!(rig.commands(), ["apply 1", "break 1"]);
        let answers = rig.answers();
        assert_eq!(answers.iter().filter(|(id, _)| *id == 1).count(), 1, "{answers:?}");
        assert!(answers.iter().any(|(id, answer)| *id == 2 && matches!(answer, Answer::Refused { .. })));
    });
}

/// A request was read, and two changes of the settings overtake it on its way to the engine. Its class has gone with the first, and
/// the second brings one that has no place yet.
#[test]
fn a_request_that_two_changes_of_the_settings_overtake_keeps_its_class() {
    paused(async {
        let mut rig = Rig::new();
        let on_its_way = rig.work(1, 0, 0.0);
        reload(&mut rig, &changed("\"read\"", "\"look\""));
        reload(&mut rig, &changed("\"read\"", "\"find\""));
        rig.engine.round([on_its_way]);
        let command = std::iter::from_fn(|| rig.commands.try_recv().ok())
            .find_map(|command| if let Command::Apply { class, .. } = command { Some(class) } else { None });
        assert_eq!(command.as_deref(), Some("\"read\""));
        // Places are used again once nothing can be on its way to them.
        rig.until(0.1).await;
        reload(&mut rig, &changed("\"read\"", "\"seek\""));
        let names: Vec<_> = rig.engine.settings.classes.iter().map(|class| class.name.as_str()).collect();
        assert_eq!(names, ["read", "sign", "seek", "find"]);
    });
}

/// The settings without a class, or with another effect or other figures of it, while its requests are held, run, are at a call, and
/// run though they were answered: each keeps the figures that it came with, and is answered once.
#[test]
fn open_requests_of_a_class_that_goes_or_changes_end_as_they_came() {
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
            rig.engine.round([at_call]);
            let wait = rig.wait(1);
            rig.engine.round([wait]);
            let mut call = rig.calls.try_recv().expect("a call");
            let left = rig.work(2, 0, 0.0);
            rig.engine.round([left]);
            assert_eq!(rig.commands(), ["apply 1", "apply 2"]);
            // Its caller leaves as the change comes, and it runs on.
            rig.engine.round([Input::Gone { id: RequestId(2) }]);
            let others = [rig.work(3, 0, 1.0), rig.work(4, 0, 1.0)];
            rig.engine.round(others);
            reload(&mut rig, &text.replace(r#""nCores":1"#, r#""nCores":2"#));
            assert!(call.given_up.try_recv().is_err());
            rig.until(3.0).await;
            let mut answered: Vec<_> = rig.answers().into_iter().map(|(id, _)| id).collect();
            answered.sort_unstable();
            assert_eq!(answered, [1, 2, 3, 4], "in the time that they came with: {text}");
            let ends = [1, 2, 3, 4].map(|id| rig.value(id, RunEnd::Stopped));
            rig.engine.round(ends);
            assert!(rig.engine.requests.is_empty() && rig.engine.by_uid.is_empty());
            let counts = rig.engine.ways.desk.counts.borrow();
            assert_eq!((counts.current(), counts.agree(), counts.of("read").taken), (0, true, 4));
        });
    }
}

/// The class stops being a keyed one and is one again: what ran is still known, under the key that it had.
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

/// The gauges are asked for by the settings before, and their readings come once other gauges, or another order, are in force.
#[test]
fn readings_asked_for_before_other_gauges_are_in_force_are_not_taken_for_those() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.round([work]);
        rig.commands();
        rig.engine.round([Input::Woke { token: 0 }]);
        let Ok(Command::Gauges { tag }) = rig.commands.try_recv() else { panic!("no question") };
        reload(&mut rig, &changed(r#""meters":["on_cores"]"#, r#""meters":["heap_share"]"#));
        assert!(rig.engine.wakes.is_empty(), "the wake goes on without readings");
        let before = rig.engine.tag;
        rig.engine.round([Input::Heard(Message::Gauges { tag, vouches: 1, readings: vec![Some(1.0)] })]);
        assert_eq!(rig.engine.tag, before, "an answer that is taken ends the question");
    });
}
