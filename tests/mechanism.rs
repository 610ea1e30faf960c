//! The design's mechanism, with numbers worked out by hand from the formulas.

mod common;
use common::*;
use jaspershunt::*;
use std::iter;

/// Runs `n` requests for `each` seconds apiece, one after the other, from `from` on; the id of the first is given.
fn serve(server: &mut Server, n: u64, each: f64, from: f64, first: u64) -> f64 {
    let mut now = from;
    for id in first..first + n {
        server.step(now, &[arrived(id, 0, 1)]);
        now += each;
        server.step(now, &[ended(id, Outcome::Done)]);
    }
    now
}

#[test]
fn runs_start_up_to_the_cores_and_the_rest_waits() {
    let mut server = Server::new(settings());
    let actions = server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
    assert_eq!(runs(&actions), [1, 2]);
    let actions = server.step(0.1, &[ended(1, Outcome::Done)]);
    assert_eq!(runs(&actions), [3]);
}

#[test]
fn the_calm_credit_is_twice_the_most_any_caller_has_and_at_least_the_run_limit() {
    let mut server = Server::new(settings());
    // One request of one caller: 2 x 1 = 2, and the run limit is 2.
    assert_eq!(said(&server.step(0.0, &[arrived(1, 0, 1)])), Some(2.0));
    // That caller has 3 here, of which one waits; no rate is known, so N_max is the 2 cores: calm, 2 x 3 = 6.
    assert_eq!(said(&server.step(0.01, &[arrived(2, 0, 1), arrived(3, 0, 1)])), Some(6.0));
}

#[test]
fn the_pressed_credit_is_the_share_of_work_in_progress_and_ceiling() {
    let mut server = Server::new(settings());
    // Five callers, 2 run, 3 wait: over N_max = 2 (the cores, while no rate is known). (2 + 2) / 5 is under 1, so
    // the number is 1.
    let five: Vec<Event> = (1..=5).map(|i| arrived(i, 0, i)).collect();
    assert_eq!(said(&server.step(0.0, &five)), Some(1.0));
    // One caller has all: (2 + 2) / 1 = 4, while the calm figure would be 2 x 5 = 10.
    let mut server = Server::new(settings());
    let five: Vec<Event> = (1..=5).map(|i| arrived(i, 0, 1)).collect();
    let actions = server.step(0.0, &five);
    assert_eq!(said(&actions), Some(4.0));
}

#[test]
fn while_too_much_waits_a_caller_that_holds_its_credit_is_refused_at_once() {
    let mut server = Server::new(settings());
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
    // 3 wait, N_max is 2, the credit is 1: caller 1 has one here already, caller 6 has none.
    let actions = server.step(0.01, &[arrived(6, 0, 1), arrived(7, 0, 6)]);
    assert_eq!(refused(&actions), [6]);
}

#[test]
fn a_pressed_credit_stays_a_little_and_then_becomes_calm_again() {
    let mut server = Server::new(settings());
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
    // Failures teach no rate, so N_max stays 2.
    let all: Vec<Event> = (1..=5).map(|i| ended(i, Outcome::Failed)).collect();
    server.step(0.05, &all[..2]);
    server.step(0.1, &all[2..4]);
    assert_eq!(said(&server.step(0.15, &all[4..])), None, "still pressed, still 1");
    assert_eq!(said(&server.step(0.7, &[arrived(9, 0, 1)])), Some(2.0));
}

#[test]
fn quick_failures_do_not_raise_the_ceiling() {
    let fill = |server: &mut Server, now: f64| {
        let five: Vec<Event> = (101..=106).map(|i| arrived(i, 0, i)).collect();
        server.step(now, &five);
        refused(&server.step(now + 0.001, &[arrived(110, 0, 101)]))
    };
    // Served at 100 a second for 3 s: N_max grows to nearly 100 x 0.4 = 40, and 4 that wait are no pressure.
    let mut good = Server::new(settings());
    let now = serve(&mut good, 300, 0.01, 0.0, 1000);
    assert!(fill(&mut good, now).is_empty());
    // The same rate of failures teaches nothing: N_max is what it was, and a caller over its credit is refused.
    let mut bad = Server::new(settings());
    let mut now = 0.0;
    for id in 1000..1300 {
        bad.step(now, &[arrived(id, 0, 1)]);
        now += 0.01;
        bad.step(now, &[ended(id, Outcome::Failed)]);
    }
    assert_eq!(fill(&mut bad, now), [110]);
}

/// A rate smoothed up from 0 would be far too low for the first seconds, and callers would keep their requests from a
/// server that has room.
#[test]
fn the_first_ends_count_in_full() {
    let mut server = Server::new(settings());
    serve(&mut server, 1, 0.1, 0.0, 1);
    // One end in the first 0.1 s: 10 a second, N_max = 10 x 0.4 = 4. Two wait: calm, the number stays the run limit.
    let four: Vec<Event> = (2..=5).map(|i| arrived(i, 0, i)).collect();
    assert_eq!(said(&server.step(0.11, &four)), None);
    assert!(refused(&server.step(0.12, &[arrived(6, 0, 2)])).is_empty());
    // Five wait: pressed, (2 + 4) / 5.
    assert_eq!(said(&server.step(0.13, &[arrived(7, 0, 3), arrived(8, 0, 4)])), Some(1.2));
}

#[test]
fn what_lies_unread_brings_the_credit_down() {
    let mut server = Server::new(settings());
    let mut last = None;
    for i in 0..200u64 {
        let now = i as f64 * 0.01;
        let late = Request { waited: 0.5, ..request(i + 1, 0, i % 4) };
        let actions = server.step(now, &[Event::Arrived(late)]);
        for id in runs(&actions) {
            server.step(now + 0.001, &[ended(id, Outcome::Done)]);
        }
        last = said(&actions).or(last);
    }
    // 100 reads a second that lay for 0.5 s each: 50 unread, far over N_max; (started + N_max) / 4 is small.
    assert!(last.is_some_and(|value| value < 8.0), "{last:?}");
}

#[test]
fn a_long_time_unread_leaves_the_cores_to_reading() {
    let mut server = Server::new(settings());
    let mut started = 0;
    for i in 0..100u64 {
        let late = Request { waited: 1.5, ..request(i + 1, 0, 1) };
        let actions = server.step(i as f64 * 0.02, &[Event::Arrived(late)]);
        started += if i >= 50 { runs(&actions).len() } else { 0 };
        let done: Vec<Event> = runs(&actions).into_iter().map(|id| ended(id, Outcome::Done)).collect();
        server.step(i as f64 * 0.02 + 0.01, &done);
    }
    assert_eq!(started, 0, "all that is read had lain for 1.5 s, over 3 x 0.4 s: nothing starts");
}

#[test]
fn the_more_worthy_class_starts_first() {
    let mut set = settings();
    set.classes[2].worth = 5.0;
    let mut server = Server::new(set);
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2)]);
    server.step(0.01, &[arrived(3, 0, 3), arrived(4, 2, 4)]);
    assert_eq!(runs(&server.step(0.1, &[ended(1, Outcome::Done)])), [4]);
}

#[test]
fn level_and_weight_take_the_place_of_the_credit() {
    for (say, calm, pressed) in [(CallerFeedback::Weight, 1.0, 0.4), (CallerFeedback::Level, 0.0, 0.6)] {
        let mut server = Server::new(Settings { say, ..settings() });
        let first = said(&server.step(0.0, &[arrived(1, 0, 1)]));
        assert_eq!(first.unwrap_or(0.0), calm);
        // All of one caller: the credit is 4 of the calm 10 (see above).
        let actions = server.step(0.001, &(2..=5).map(|i| arrived(i, 0, 1)).collect::<Vec<_>>());
        assert!((said(&actions).unwrap() - pressed).abs() < 1e-9);
    }
    let mut server = Server::new(Settings { say: CallerFeedback::Nothing, ..settings() });
    assert_eq!(said(&server.step(0.0, &[arrived(1, 0, 1)])), None);
}

#[test]
fn of_callers_over_their_credit_the_least_worthy_waiting_request_goes() {
    let mut set = settings();
    set.classes[2].worth = 5.0;
    let mut server = Server::new(set);
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i % 2)).collect::<Vec<_>>());
    // 3 wait, N_max is 2, the credit (2 + 2) / 2 = 2: caller 1 has three here. Its unsafe request is worth more than
    // its read that waits, so the read makes room.
    let actions = server.step(0.01, &[arrived(6, 2, 1)]);
    assert_eq!(refused(&actions), [5]);
}

#[test]
fn a_tenant_far_over_its_share_waits_for_one_within() {
    let tenant = |name: &str| Tenant { name: name.to_string(), share: 0.5, allowance: 8.0 };
    let set = Settings { tenants: vec![tenant("a"), tenant("b")], over_share_worth: 0.1, ..settings() };
    let mut server = Server::new(set);
    let of = |id, tenant| Event::Arrived(Request { tenant: Some(tenant), ..request(id, 0, id) });
    // 4 servers and 8 a second for all: 2 a second here. Tenant a sends 20 a second, tenant b hardly any.
    let mut now = 0.0;
    for id in 100..200 {
        server.step(now, &[of(id, 0)]);
        server.step(now + 0.01, &[ended(id, Outcome::Done)]);
        now += 0.05;
    }
    assert_eq!(runs(&server.step(now, &[of(1, 0), of(2, 0), of(3, 0), of(4, 1)])), [4, 1]);
}

/// 10 reads a second that had lain for `late`; what was said of health, in order.
fn health_of(late: f64, callers: u64) -> Vec<bool> {
    health_beside(0, late, callers)
}

/// The same beside bursts of so many of one caller each, which are read at once and given up by then.
fn health_beside(burst: u64, late: f64, callers: u64) -> Vec<bool> {
    let mut server = Server::new(settings());
    let mut health = Vec::new();
    for i in 0..60u64 {
        let seldom = Request { waited: late, ..request(i + 1, 0, i % callers) };
        let left = (0..burst).map(|n| RequestId(1_000 + i * burst + n));
        let left = left.flat_map(|id| [arrived(id.0, 0, 5_000), Event::Withdrawn { id }]);
        let events: Vec<Event> = iter::once(Event::Arrived(seldom)).chain(left).collect();
        let mut actions = server.step(i as f64 * 0.1, &events);
        let done: Vec<Event> = runs(&actions).into_iter().map(|id| ended(id, Outcome::Done)).collect();
        actions.extend(server.step(i as f64 * 0.1 + 0.05, &done));
        health.extend(actions.iter().filter_map(|a| match a {
            Action::Health { good, .. } => Some(*good),
            _ => None,
        }));
    }
    health
}

#[test]
fn a_server_that_reads_late_leaves_the_list_where_no_number_reaches_its_callers() {
    // In good health for 2 s first; then away at most as long as it was in the list: back after some 2 s.
    let health = health_of(1.0, 1000);
    assert_eq!(health[..3], [true, false, true]);
    assert_eq!(health_of(0.3, 1000), [true], "read within the delay budget");
    assert_eq!(health_of(1.0, 2), [true], "callers come often, so the number reaches them");
    // Unread for 1.5 s, over 3 D_B, nothing starts and all over N_max is refused: that may be this server alone.
    assert_eq!(health_of(1.5, 1000)[..3], [true, false, true]);
}

/// It left the list, so nothing comes any more: it wakes by itself until it is back, and is in the list within the 4 s at most.
#[test]
fn a_server_that_left_the_list_comes_back_though_nothing_is_asked_of_it() {
    let mut server = Server::new(settings());
    let (mut now, mut away) = (0.0, false);
    for i in 0..60u64 {
        let seldom = Request { waited: 1.0, ..request(i + 1, 0, i) };
        let mut actions = server.step(now, &[Event::Arrived(seldom)]);
        let done: Vec<Event> = runs(&actions).into_iter().map(|id| ended(id, Outcome::Done)).collect();
        actions.extend(server.step(now + 0.05, &done));
        now += 0.1;
        away = actions.iter().any(|a| matches!(a, Action::Health { good: false, .. }));
        if away {
            break;
        }
    }
    assert!(away);
    let mut actions = server.step(now, &[]);
    let until = now + 4.0;
    let mut back = false;
    while !back && now < until {
        let wakes = actions.iter().filter_map(|a| match a {
            Action::Wake { after, .. } => Some(*after),
            _ => None,
        });
        let after = wakes.fold(f64::INFINITY, f64::min);
        // What is asked for once is not asked for again while it is on its way.
        now += if after.is_finite() { after } else { 4.0 };
        let woke = Event::Woke { token: 0, gauges: Gauges::default() };
        let on_its_way = after.is_finite();
        actions = if on_its_way { server.step(now, &[woke]) } else { Vec::new() };
        back = actions.iter().any(|a| matches!(a, Action::Health { good: true, .. }));
    }
    assert!(back, "it stays out of the list");
}

#[test]
fn what_its_caller_has_left_by_the_reading_tells_nothing_of_how_late_a_server_reads() {
    assert_eq!(health_beside(20, 1.0, 1000)[..3], [true, false, true]);
}

#[test]
fn connections_of_callers_that_are_no_longer_active_are_closed_while_many_are_open() {
    let closed = |connections| {
        let mut server = Server::new(settings());
        server.step(0.0, &[arrived(1, 0, 1)]);
        let gauges = Gauges { connections, ..Gauges::default() };
        let actions = server.step(0.2, &[Event::Woke { token: 0, gauges }]);
        actions.contains(&Action::CloseIdle(1.0))
    };
    // 2 cores: 40 connections.
    assert_eq!([None, Some(40.0), Some(41.0)].map(closed), [false, false, true]);
}

#[test]
fn a_further_try_that_is_refused_again_is_asked_not_to_go_on() {
    for retry in [false, true] {
        let mut server = Server::new(settings());
        server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
        // 3 wait, N_max is 2, the credit is 1, and caller 1 has one here.
        let over = Request { retry, ..request(6, 0, 1) };
        let actions = server.step(0.01, &[Event::Arrived(over)]);
        assert!(actions.contains(&Action::Refuse { id: RequestId(6), stay_away: 1.0, last: retry }));
    }
}

#[test]
fn with_a_few_finishes_a_second_the_ceiling_is_between_one_and_two_requests() {
    let mut server = Server::new(settings());
    // Two runs of 0.5 s at a time, one ends each 0.25 s, and one more always waits: 4 finishes a second. In T_m = 0.1 s
    // none or one ends, so the smoothed rate goes between 10 x 0.9^2 x 0.1 / (1 - 0.9^2.5) = 3.5 and 4.7: N_max, 0.4 s
    // of it, between 1.4 and 1.9.
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
    for i in 1..80u64 {
        server.step(i as f64 * 0.25, &[ended(i, Outcome::Done), arrived(i + 3, 0, i + 3)]);
    }
    // One that waits is under N_max: calm, 2 x 1 and at least the limit of 2. N_SE is 5, so pressed would be 1.
    assert_eq!(said(&server.step(20.0, &[])), None);
    assert_eq!(said(&server.step(20.01, &[arrived(500, 0, 500)])), Some(1.0), "two are over it");
}

#[test]
fn callers_that_come_seldom_count_for_one_second() {
    let mut server = Server::new(settings());
    for i in 0..300u64 {
        server.step(i as f64 * 0.01, &[arrived(i + 1, 0, i + 1)]);
        server.step(i as f64 * 0.01 + 0.005, &[ended(i + 1, Outcome::Failed)]);
    }
    // 300 callers in 3 s; 7 s later there are three, one of which has three here: 5 requests, 2 run, 3 wait, N_max is 2
    // while no rate is known. (2 + 2) / 3 for each, not (2 + 2) / 303 nor (2 + 2) / 103.
    let five = [1001, 1002, 1003, 1003, 1003];
    let five: Vec<Event> = five.iter().zip(900..).map(|(caller, id)| arrived(id, 0, *caller)).collect();
    let number = said(&server.step(10.0, &five)).unwrap();
    assert!((number - 4.0 / 3.0).abs() < 1e-9, "{number}");
    // The one that has three is over its credit when it sends a fourth; a caller with none is not.
    assert_eq!(refused(&server.step(10.01, &[arrived(950, 0, 1003), arrived(951, 0, 1004)])), [950]);
}

#[test]
fn where_one_for_each_is_more_than_fits_one_is_said_and_none_is_over_it() {
    let mut server = Server::new(settings());
    let forty: Vec<Event> = (1..=40).map(|i| arrived(i, 0, i)).collect();
    let actions = server.step(0.0, &forty);
    // (2 + 2) / 40 is under 1: the number is 1, and nobody has more than 1.
    assert_eq!(said(&actions), Some(1.0));
    assert!(refused(&actions).is_empty());
}

#[test]
fn where_much_is_refused_first_tries_are_asked_not_to_go_on_either() {
    let mut server = Server::new(settings());
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
    // Caller 1 is over its credit of 1. Nothing ends, no rate is known: it should keep away as long as may be. The share refused is 1 - 0.92^n, over 0.4 from the seventh on.
    let last = |id| {
        let actions = server.step(0.01, &[arrived(id, 0, 1)]);
        actions.contains(&Action::Refuse { id: RequestId(id), stay_away: 1.0, last: true })
    };
    let asked: Vec<bool> = (11..=18).map(last).collect();
    assert_eq!(asked, [false, false, false, false, false, false, true, true]);
}

/// Two runs of 0.5 s at a time and one more that waits: so 0.5 s is what a run is known to take, and 4 end a second.
fn busy(set: Settings) -> Server {
    let mut server = Server::new(set);
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
    for i in 1..80u64 {
        server.step(i as f64 * 0.25, &[ended(i, Outcome::Done), arrived(i + 3, 0, i + 3)]);
    }
    server
}

#[test]
fn what_can_no_longer_end_in_time_is_turned_away_at_once() {
    // Class 2 is worth more and may take long: two of it keep the cores, and the lane of class 0 is never looked into.
    let mut set = settings();
    (set.classes[2].worth, set.classes[2].aim, set.classes[2].deadline) = (9.0, 100.0, 100.0);
    let mut server = busy(set);
    assert_eq!(runs(&server.step(20.0, &[ended(80, Outcome::Done), arrived(900, 2, 7)])), [900]);
    assert_eq!(runs(&server.step(20.25, &[ended(81, Outcome::Done), arrived(901, 2, 8)])), [901]);
    // 82 came at 19.75 s. Its aim is 2 s, less the 0.02 s ahead, and 0.7 of 0.5 s must be left for it: it is hopeless
    // from 21.38 s on, long before it falls due.
    assert!(refused(&server.step(21.37, &[])).is_empty());
    assert_eq!(refused(&server.step(21.39, &[])), [82]);
    // So is one that comes too late already, while nothing presses.
    let late = Request { waited: 1.7, ..request(500, 0, 500) };
    assert_eq!(refused(&server.step(21.395, &[Event::Arrived(late)])), [500]);
}

#[test]
fn refusals_say_when_to_come_back() {
    // Caller 7 has one that waits, which is its credit; then it sends so many more.
    let advice = |set: Settings, more: u64, before: &[Event]| {
        let mut server = busy(set);
        server.step(20.0, &[&[arrived(500, 0, 7)], before].concat());
        let actions = server.step(20.01, &(501..501 + more).map(|id| arrived(id, 0, 7)).collect::<Vec<_>>());
        actions.into_iter().find_map(|a| match a {
            Action::Refuse { stay_away, .. } => Some(stay_away),
            _ => None,
        })
    };
    // 3 wait, N_max is between 1 and 2, and 4 are served a second: 0.25 to 0.5 s, but no less than the delay budget.
    let little = advice(settings(), 1, &[]);
    assert!(little.is_some_and(|advice| (0.4..0.5).contains(&advice)), "{little:?}");
    // Much waits: as long as the settings allow.
    assert_eq!(advice(settings(), 40, &[]), Some(1.0));
    assert_eq!(advice(Settings { max_stay_away: 0.1, ..settings() }, 40, &[]), Some(0.1));
    // Whoever leaves does not want them back.
    assert_eq!(advice(settings(), 1, &[Event::Leave { within: 3.0 }]), Some(1.0));
}
