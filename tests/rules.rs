//! Edge cases of the rules on deadlines, repeats, memory and cores, calls, and shutdown.

mod common;
use common::*;
use jaspershunt::*;

#[test]
fn a_running_request_is_failed_before_it_is_due() {
    let mut set = settings();
    set.classes[2].late_worth = 0.5;
    let mut server = Server::new(set);
    assert_eq!(runs(&server.step(0.0, &[arrived(1, 2, 1)])), [1]);
    assert!(failed(&server.step(3.9, &[])).is_empty());
    let actions = server.step(3.99, &[]);
    assert_eq!(failed(&actions), [1], "an unsafe request that ran is failed, not refused");
    assert_eq!(stopped(&actions), [1]);
}

#[test]
fn the_time_left_of_the_caller_overrides_the_deadline() {
    let mut server = Server::new(settings());
    let urgent = Request { time_left: Some(0.5), ..request(1, 0, 1) };
    server.step(0.0, &[Event::Arrived(urgent)]);
    assert!(refused(&server.step(0.47, &[])).is_empty());
    assert_eq!(refused(&server.step(0.49, &[])), [1]);
}

#[test]
fn a_run_that_ends_in_the_batch_in_which_it_is_due_is_not_answered_again() {
    let mut server = Server::new(settings());
    server.step(0.0, &[arrived(1, 0, 1)]);
    let actions = server.step(2.0, &[ended(1, Outcome::Done)]);
    assert!(failed(&actions).is_empty() && refused(&actions).is_empty());
}

#[test]
fn a_wake_that_fires_slightly_early_does_not_stop_later_ones() {
    let mut server = Server::new(settings());
    server.step(0.0, &[arrived(1, 0, 1)]);
    let woke = [Event::Woke { token: 0, gauges: Gauges::default() }];
    let mut now = 0.0;
    for _ in 0..10 {
        now += 0.1;
        let actions = server.step(now - 1e-7, &woke);
        assert!(actions.iter().any(|a| matches!(a, Action::Wake { .. })), "asked again at {now}");
    }
}

#[test]
fn a_repeat_of_a_running_keyed_request_gets_its_answer() {
    let mut server = Server::new(settings());
    let actions = server.step(0.0, &[arrived(1, 1, 1)]);
    assert!(
        actions.iter().any(|a| matches!(a, Action::Keep { id: RequestId(1), lasting } if *lasting >= 10.0))
    );
    let actions = server.step(0.1, &[repeated(2, 1, 1)]);
    assert_eq!(actions.iter().filter(|a| **a == Action::ServeFrom(RequestId(2))).count(), 1);
    assert!(runs(&actions).is_empty());
    // This also holds after it ended, whatever the load.
    server.step(0.2, &[ended(1, Outcome::Done)]);
    let actions = server.step(9.0, &[repeated(3, 1, 1)]);
    assert!(actions.contains(&Action::ServeFrom(RequestId(3))));
}

#[test]
fn a_repeat_replaces_a_first_try_that_is_still_queued() {
    let mut server = Server::new(settings());
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 1, 3)]);
    let actions = server.step(0.1, &[repeated(4, 1, 3)]);
    assert_eq!(refused(&actions), [3]);
    assert_eq!(runs(&server.step(0.2, &[ended(1, Outcome::Done)])), [4]);
}

#[test]
fn of_two_tries_in_one_batch_one_runs() {
    let mut server = Server::new(settings());
    let actions = server.step(0.0, &[repeated(1, 1, 2), repeated(2, 1, 1)]);
    assert_eq!(runs(&actions), [2]);
    assert_eq!(refused(&actions), [1]);
}

#[test]
fn a_keyed_request_without_room_for_its_key_never_runs() {
    let mut server = Server::new(Settings { memory_kb: 200.0, ..settings() });
    let actions = server.step(0.0, &[arrived(1, 1, 1), arrived(2, 1, 2)]);
    // 190 kB usable: 10 + 100 for the first; another 10 + 100 do not fit.
    assert_eq!(refused(&actions), [2]);
}

#[test]
fn memory_is_reserved_for_runs() {
    // Each takes 10 kB queued and 80 kB running; of 190 kB usable, two runs take 160 and a third does not
    // fit.
    let mut server = Server::new(Settings { memory_kb: 200.0, cores: 8, ..settings() });
    let actions = server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
    assert_eq!(runs(&actions), [1, 2]);
}

#[test]
fn a_cold_server_limits_concurrency_more() {
    // Warm: 2 x 5 x 0.8 = 8. Cold: 2 x (1 + 4 x 0.25) x 0.8 = 3.2; four that return from calls are one too
    // many.
    for (cold, stops) in [(false, 0), (true, 1)] {
        let mut server = Server::new(Settings { cold, below: DependencyModel::NextTier, ..settings() });
        let mut now = 0.0;
        for id in [1, 3] {
            let actions = server.step(now, &[arrived(id, 0, 1), arrived(id + 1, 0, 2)]);
            assert_eq!(runs(&actions), [id, id + 1]);
            let wanted = [id, id + 1].map(|id| Event::CallWanted { id: RequestId(id) });
            assert_eq!(calls(&server.step(now + 0.001, &wanted)), [id, id + 1]);
            now += 0.01;
        }
        let back =
            [1, 2, 3, 4].map(|id| Event::CallEnded { id: RequestId(id), outcome: Outcome::Done, took: 0.1 });
        assert_eq!(stopped(&server.step(0.1, &back)).len(), stops);
    }
}

#[test]
fn calls_stay_within_the_share() {
    // At most 4 x 0.95 = 3.8 calls, so three at once. The allowed mean is 4 x 0.45 = 1.8.
    let mut server = Server::new(Settings { cores: 8, ..settings() });
    let ids = [1, 2, 3, 4];
    server.step(0.0, &ids.map(|id| arrived(id, 0, id)));
    let wanted = ids.map(|id| Event::CallWanted { id: RequestId(id) });
    assert_eq!(calls(&server.step(0.1, &wanted)), [1, 2, 3]);
    let back = |id| Event::CallEnded { id: RequestId(id), outcome: Outcome::Done, took: 0.1 };
    // 0.1 s without a call saved 0.18 call-seconds. Three calls for 0.2 s use 0.2 x (3 - 1.8) = 0.24 above
    // the mean, so the excess is 0.06. With no call in flight it takes 0.06 / 1.8 = 0.033 s to work off.
    assert!(calls(&server.step(0.3, &[back(1), back(2), back(3)])).is_empty());
    assert!(calls(&server.step(0.33, &[])).is_empty());
    assert_eq!(calls(&server.step(0.34, &[])), [4]);
}

#[test]
fn a_share_of_less_than_one_call_is_kept_as_a_mean() {
    let below = DependencyModel::Shared { fair_calls: 0.5, over: 5.0 };
    let mut server = Server::new(Settings { below, ..settings() });
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2)]);
    let wanted = [1, 2].map(|id| Event::CallWanted { id: RequestId(id) });
    let actions = server.step(0.01, &wanted);
    assert_eq!(calls(&actions), [1], "one at a time");
    // However long calls take, the timeout is at most 0.5 x (0.95 - 0.45 x 1.25) x 5 - 0.2 = 0.76875 s.
    let limit = actions.iter().find_map(|a| match a {
        Action::Call { give_up_after, .. } => Some(*give_up_after),
        _ => None,
    });
    assert!((limit.unwrap() - 0.76875).abs() < 1e-9);
    // 0.01 s saved 0.00225; 0.2 s of a call cost 0.2 x (1 - 0.225) = 0.155: worked off at 0.225 a second in
    // 0.679 s.
    let back = Event::CallEnded { id: RequestId(1), outcome: Outcome::Done, took: 0.2 };
    assert!(calls(&server.step(0.21, &[back])).is_empty());
    assert!(calls(&server.step(0.88, &[])).is_empty());
    assert_eq!(calls(&server.step(0.9, &[])), [2]);
}

#[test]
fn a_call_that_may_have_had_its_effect_is_not_made_again() {
    for (outcome, again) in [(Outcome::Unreachable, 1), (Outcome::TurnedAway, 1), (Outcome::Failed, 0)] {
        let mut server = Server::new(settings());
        server.step(0.0, &[arrived(1, 2, 1)]);
        server.step(0.1, &[Event::CallWanted { id: RequestId(1) }]);
        let actions = server.step(0.2, &[Event::CallEnded { id: RequestId(1), outcome, took: 0.1 }]);
        assert_eq!(calls(&actions).len(), again);
        assert_eq!(failed(&actions).len(), 1 - again);
    }
}

/// Guards against lost replies that cost the worth of skipping the call, or all worth, where the call may be
/// repeated.
#[test]
fn a_call_whose_reply_is_lost_is_retried_if_it_is_safe() {
    let mut set = settings();
    set.classes[0].skip_worth = 0.5;
    let mut server = Server::new(set);
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 2, 2)]);
    let wanted = [1, 2].map(|id| Event::CallWanted { id: RequestId(id) });
    assert_eq!(calls(&server.step(0.1, &wanted)), [1, 2]);
    let lost = |id, outcome| Event::CallEnded { id: RequestId(id), outcome, took: 0.1 };
    let actions = server.step(0.2, &[lost(1, Outcome::Broken), lost(2, Outcome::Broken)]);
    assert_eq!((calls(&actions), failed(&actions)), (vec![1], vec![2]));
    assert_eq!(calls(&server.step(0.3, &[lost(1, Outcome::Broken)])), [1]);
    let actions = server.step(0.4, &[lost(1, Outcome::Broken)]);
    assert!(actions.contains(&Action::SkipCall(RequestId(1))), "retries are limited");
}

/// A missing reply would keep its call in flight until the request is due; a few of those would block all
/// other calls.
#[test]
fn a_call_that_takes_far_longer_than_usual_times_out_in_every_class() {
    for class in 0..3 {
        let mut server = Server::new(settings());
        server.step(0.0, &[arrived(1, 0, 1), arrived(2, class, 2)]);
        server.step(0.1, &[Event::CallWanted { id: RequestId(1) }]);
        let back = Event::CallEnded { id: RequestId(1), outcome: Outcome::Done, took: 0.01 };
        let actions = server.step(0.11, &[back, Event::CallWanted { id: RequestId(2) }]);
        // Calls took 0.01 s, and 20 x 0.01 s is more than the shortest timeout of 0.05 s.
        let call = Action::Call { id: RequestId(2), give_up_after: 0.01 * 20.0 };
        assert!(actions.contains(&call), "{actions:?}");
    }
}

#[test]
fn requests_that_arrive_after_the_grace_period_do_not_run() {
    let mut server = Server::new(settings());
    let actions = server.step(10.0, &[Event::Leave { within: 5.0 }]);
    assert!(actions.contains(&Action::Health { good: false, stored: true }));
    assert_eq!(runs(&server.step(11.9, &[arrived(1, 0, 1)])), [1]);
    assert_eq!(refused(&server.step(12.1, &[arrived(2, 0, 1)])), [2]);
    // Read after the grace period, but it reached the machine before its end.
    let early = Request { waited: 0.3, ..request(3, 0, 1) };
    assert_eq!(runs(&server.step(12.2, &[Event::Arrived(early)])), [3]);
}

#[test]
fn a_retry_after_the_grace_period_does_not_replace_a_queued_try() {
    let mut server = Server::new(settings());
    server.step(0.1, &[Event::Leave { within: 5.0 }]);
    // Both cores are busy, so the keyed try is queued.
    server.step(1.9, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 1, 3)]);
    let actions = server.step(2.5, &[repeated(4, 1, 3)]);
    assert_eq!(refused(&actions), [4], "it arrived after the grace period");
    let actions = server.step(2.6, &[ended(1, Outcome::Done)]);
    assert_eq!(runs(&actions), [3], "the queued try still runs");
}

#[test]
fn all_requests_are_answered_before_the_stop() {
    let mut server = Server::new(settings());
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 1, 2), arrived(3, 0, 3)]);
    server.step(0.1, &[Event::Leave { within: 1.0 }]);
    let mut answered = Vec::new();
    for now in [0.9, 1.05] {
        let actions = server.step(now, &[]);
        answered.extend(failed(&actions));
        answered.extend(refused(&actions));
    }
    answered.sort_unstable();
    assert_eq!(answered, [1, 2, 3]);
}

#[test]
fn unusual_but_legal_events_are_handled() {
    let mut server = Server::new(settings());
    let unknown = RequestId(99);
    let actions = server.step(
        0.0,
        &[
            ended(99, Outcome::Done),
            Event::Withdrawn { id: unknown },
            Event::CallWanted { id: unknown },
            Event::CallEnded { id: unknown, outcome: Outcome::Done, took: 0.0 },
            arrived(1, 0, 1),
            Event::Withdrawn { id: RequestId(1) },
            Event::Withdrawn { id: RequestId(1) },
            Event::Leave { within: 3.0 },
            Event::Leave { within: 3.0 },
        ],
    );
    assert!(runs(&actions).is_empty() && refused(&actions).is_empty() && failed(&actions).is_empty());
    let late = server.step(1.0, &[ended(1, Outcome::NotStarted), arrived(2, 0, 1), repeated(3, 1, 77)]);
    assert_eq!(runs(&late), [2]);
    assert!(
        late.contains(&Action::ServeFrom(RequestId(3))),
        "the request that it repeats may have run, so it must not run again"
    );
}

#[test]
fn identical_events_give_identical_actions() {
    let play = || {
        let mut server = Server::new(settings());
        let mut all = Vec::new();
        for i in 0..300u64 {
            let now = i as f64 * 0.013;
            let mut events = vec![arrived(i + 1, (i % 3) as usize, i % 7)];
            if i > 4 {
                events.push(ended(i - 3, Outcome::Done));
            }
            all.extend(server.step(now, &events));
        }
        all
    };
    assert_eq!(play(), play());
}

#[test]
fn invalid_settings_are_rejected_by_field() {
    let field = |set: Settings| Controller::new(set).err().expect("rejected").field;
    assert_eq!(field(Settings { cores: 0, ..settings() }), "cores");
    assert_eq!(field(Settings { memory_kb: f64::NAN, ..settings() }), "memory_kb");
    let mut set = settings();
    set.classes[1].deadline = 0.0;
    assert_eq!(field(set), "classes[1].deadline");
}

#[test]
fn a_safe_run_without_worth_left_is_refused_with_a_request_not_to_retry() {
    let mut server = Server::new(settings());
    server.step(0.0, &[arrived(1, 0, 1)]);
    let actions = server.step(1.99, &[]);
    assert!(actions.contains(&Action::Refuse { id: RequestId(1), stay_away: 0.4, last: true }));
    assert_eq!(stopped(&actions), [1]);
}

#[test]
fn fewer_calls_are_in_flight_while_calls_are_slow() {
    let mut server = Server::new(Settings { cores: 8, ..settings() });
    let back = |id, took| Event::CallEnded { id: RequestId(id), outcome: Outcome::Done, took };
    server.step(0.0, &[arrived(1, 0, 1)]);
    for (i, took) in [0.1, 0.1].into_iter().chain([1.0; 10]).enumerate() {
        server.step(0.01 + i as f64 * 0.02, &[Event::CallWanted { id: RequestId(1) }]);
        server.step(0.02 + i as f64 * 0.02, &[back(1, took)]);
    }
    // At most 4 x 0.4 = 1.6 calls instead of 4 x 0.95 = 3.8.
    let ids = [2, 3, 4];
    server.step(0.5, &ids.map(|id| arrived(id, 0, id)));
    let wanted = ids.map(|id| Event::CallWanted { id: RequestId(id) });
    assert_eq!(calls(&server.step(0.51, &wanted)).len(), 1);
}

/// With several dependencies, the code that makes the calls limits and retries them. The module starts each
/// call at once, takes its outcome as final, and must not derive the timeout of one dependency's calls from
/// another's. A call that is rejected at once must not be requested again endlessly in the same step.
#[test]
fn calls_to_several_dependencies_are_all_made_and_each_outcome_is_final() {
    let settings = Settings { cores: 8, below: DependencyModel::Several { parked: 100.0 }, ..settings() };
    let mut server = Server::new(settings.clone());
    let ids = [1, 2, 3, 4, 5];
    server.step(0.0, &ids.map(|id| arrived(id, 0, id)));
    let wanted = ids.map(|id| Event::CallWanted { id: RequestId(id) });
    assert_eq!(calls(&server.step(0.1, &wanted)), ids);
    let end = |id, outcome, took| Event::CallEnded { id: RequestId(id), outcome, took };
    server.step(0.11, &[end(1, Outcome::Done, 0.001)]);
    // The timeout is the request's time left, although an earlier call took 1 ms.
    let again = server.step(0.2, &[Event::CallWanted { id: RequestId(1) }]);
    let timeout = again.iter().find_map(|a| match a {
        Action::Call { give_up_after, .. } => Some(*give_up_after),
        _ => None,
    });
    assert!(timeout > Some(1.0), "{timeout:?}");
    for (id, outcome) in [(2, Outcome::TurnedAway), (3, Outcome::Broken), (4, Outcome::GivenUp)] {
        let actions = server.step(0.2, &[end(id, outcome, 0.1)]);
        assert_eq!((calls(&actions), failed(&actions)), (vec![], vec![id]));
    }
    // A class that may skip its call does.
    let mut classes = settings.classes.clone();
    classes[0].skip_worth = 0.5;
    let mut server = Server::new(Settings { classes, ..settings });
    server.step(0.0, &[arrived(1, 0, 1)]);
    server.step(0.1, &[Event::CallWanted { id: RequestId(1) }]);
    let actions = server.step(0.2, &[end(1, Outcome::TurnedAway, 0.1)]);
    assert!(actions.contains(&Action::SkipCall(RequestId(1))) && calls(&actions).is_empty());
}

#[test]
fn the_limit_of_parked_requests_for_several_dependencies_is_the_configured_one() {
    for (parked, runs_of) in [(2.0, vec![]), (3.0, vec![3])] {
        let below = DependencyModel::Several { parked };
        let mut server = Server::new(Settings { cores: 1, crowd_multiple: 20.0, below, ..settings() });
        server.step(0.0, &[arrived(1, 0, 1)]);
        server.step(0.1, &[Event::CallWanted { id: RequestId(1) }, arrived(2, 0, 2)]);
        let actions = server.step(0.2, &[Event::CallWanted { id: RequestId(2) }, arrived(3, 0, 3)]);
        assert_eq!(runs(&actions), runs_of, "{parked}");
    }
}
