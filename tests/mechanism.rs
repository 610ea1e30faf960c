//! The main overload control path, with numbers worked out by hand from the formulas.

mod common;
use common::*;
use jaspershunt::*;
use std::iter;

/// Runs `n` requests one after the other for `each` seconds, starting at `from` with the id `first`.
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
fn runs_start_up_to_the_cores_and_the_rest_is_queued() {
    let mut server = Server::new(settings());
    let actions = server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
    assert_eq!(runs(&actions), [1, 2]);
    let actions = server.step(0.1, &[ended(1, Outcome::Done)]);
    assert_eq!(runs(&actions), [3]);
}

#[test]
fn the_normal_credit_is_twice_the_most_of_any_caller_and_at_least_the_run_limit() {
    let mut server = Server::new(settings());
    // One request of one caller: 2 x 1 = 2, and the run limit is 2.
    assert_eq!(advertised(&server.step(0.0, &[arrived(1, 0, 1)])), Some(2.0));
    // That caller has 3, of which one is queued; no rate is known, so the queue limit is the 2 cores: no
    // overload, 2 x 3 = 6.
    assert_eq!(advertised(&server.step(0.01, &[arrived(2, 0, 1), arrived(3, 0, 1)])), Some(6.0));
}

#[test]
fn the_overload_credit_is_the_share_of_started_requests_and_queue_limit() {
    let mut server = Server::new(settings());
    // Five callers, 2 run, 3 are queued: over the queue limit of 2 (the cores, while no rate is known). (2 +
    // 2) / 5 is below 1, so the credit is 1.
    let five: Vec<Event> = (1..=5).map(|i| arrived(i, 0, i)).collect();
    assert_eq!(advertised(&server.step(0.0, &five)), Some(1.0));
    // One caller has all: (2 + 2) / 1 = 4, while the normal credit would be 2 x 5 = 10.
    let mut server = Server::new(settings());
    let five: Vec<Event> = (1..=5).map(|i| arrived(i, 0, 1)).collect();
    let actions = server.step(0.0, &five);
    assert_eq!(advertised(&actions), Some(4.0));
}

#[test]
fn a_caller_over_its_credit_is_refused_during_overload() {
    let mut server = Server::new(settings());
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
    // 3 are queued, the limit is 2, the credit is 1: caller 1 has one already, caller 6 has none.
    let actions = server.step(0.01, &[arrived(6, 0, 1), arrived(7, 0, 6)]);
    assert_eq!(refused(&actions), [6]);
}

#[test]
fn the_overload_credit_applies_for_a_while_and_then_becomes_normal() {
    let mut server = Server::new(settings());
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
    // Failures do not change the service rate, so the queue limit stays 2.
    let all: Vec<Event> = (1..=5).map(|i| ended(i, Outcome::Failed)).collect();
    server.step(0.05, &all[..2]);
    server.step(0.1, &all[2..4]);
    assert_eq!(advertised(&server.step(0.15, &all[4..])), None, "the overload credit of 1 still applies");
    assert_eq!(advertised(&server.step(0.7, &[arrived(9, 0, 1)])), Some(2.0));
}

#[test]
fn fast_failures_do_not_raise_the_queue_limit() {
    let fill = |server: &mut Server, now: f64| {
        let five: Vec<Event> = (101..=106).map(|i| arrived(i, 0, i)).collect();
        server.step(now, &five);
        refused(&server.step(now + 0.001, &[arrived(110, 0, 101)]))
    };
    // Served at 100 a second for 3 s: the queue limit grows to nearly 100 x 0.4 = 40, and 4 queued are no
    // overload.
    let mut good = Server::new(settings());
    let now = serve(&mut good, 300, 0.01, 0.0, 1000);
    assert!(fill(&mut good, now).is_empty());
    // The same rate of failures changes nothing: the limit stays, and a caller over its credit is refused.
    let mut bad = Server::new(settings());
    let mut now = 0.0;
    for id in 1000..1300 {
        bad.step(now, &[arrived(id, 0, 1)]);
        now += 0.01;
        bad.step(now, &[ended(id, Outcome::Failed)]);
    }
    assert_eq!(fill(&mut bad, now), [110]);
}

/// A rate smoothed up from 0 would be far too low in the first seconds and keep callers from a server with
/// free capacity.
#[test]
fn the_first_intervals_make_a_plain_mean() {
    let mut server = Server::new(settings());
    serve(&mut server, 1, 0.1, 0.0, 1);
    // One end in the first 0.1 s: 10 a second, a queue limit of 10 x 0.4 = 4. Two are queued: no overload,
    // the credit stays the run limit.
    let four: Vec<Event> = (2..=5).map(|i| arrived(i, 0, i)).collect();
    assert_eq!(advertised(&server.step(0.11, &four)), None);
    assert!(refused(&server.step(0.12, &[arrived(6, 0, 2)])).is_empty());
    // Five are queued: overload, (2 + 4) / 5.
    assert_eq!(advertised(&server.step(0.13, &[arrived(7, 0, 3), arrived(8, 0, 4)])), Some(1.2));
}

#[test]
fn a_high_queueing_delay_lowers_the_credit() {
    let mut server = Server::new(settings());
    let mut last = None;
    for i in 0..200u64 {
        let now = i as f64 * 0.01;
        let late = Request { waited: 0.5, ..request(i + 1, 0, i % 4) };
        let actions = server.step(now, &[Event::Arrived(late)]);
        for id in runs(&actions) {
            server.step(now + 0.001, &[ended(id, Outcome::Done)]);
        }
        last = advertised(&actions).or(last);
    }
    // 100 reads a second with a delay of 0.5 s each: 50 wait to be read, far over the queue limit; the share
    // of 4 callers is small.
    assert!(last.is_some_and(|value| value < 8.0), "{last:?}");
}

#[test]
fn no_run_starts_while_the_queueing_delay_is_high() {
    let mut server = Server::new(settings());
    let mut started = 0;
    for i in 0..100u64 {
        let late = Request { waited: 1.5, ..request(i + 1, 0, 1) };
        let actions = server.step(i as f64 * 0.02, &[Event::Arrived(late)]);
        started += if i >= 50 { runs(&actions).len() } else { 0 };
        let done: Vec<Event> = runs(&actions).into_iter().map(|id| ended(id, Outcome::Done)).collect();
        server.step(i as f64 * 0.02 + 0.01, &done);
    }
    assert_eq!(started, 0, "the queueing delay is 1.5 s, over 3 x 0.4 s: nothing starts");
}

#[test]
fn the_class_of_more_worth_starts_first() {
    let mut set = settings();
    set.classes[2].worth = 5.0;
    let mut server = Server::new(set);
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2)]);
    server.step(0.01, &[arrived(3, 0, 3), arrived(4, 2, 4)]);
    assert_eq!(runs(&server.step(0.1, &[ended(1, Outcome::Done)])), [4]);
}

#[test]
fn level_and_weight_are_derived_from_the_credit() {
    for (say, normal, overload) in [(CallerFeedback::Weight, 1.0, 0.4), (CallerFeedback::Level, 0.0, 0.6)] {
        let mut server = Server::new(Settings { say, ..settings() });
        let first = advertised(&server.step(0.0, &[arrived(1, 0, 1)]));
        assert_eq!(first.unwrap_or(0.0), normal);
        // All from one caller: the credit is 4, where the normal one is 10 (see above).
        let actions = server.step(0.001, &(2..=5).map(|i| arrived(i, 0, 1)).collect::<Vec<_>>());
        assert!((advertised(&actions).unwrap() - overload).abs() < 1e-9);
    }
    let mut server = Server::new(Settings { say: CallerFeedback::Nothing, ..settings() });
    assert_eq!(advertised(&server.step(0.0, &[arrived(1, 0, 1)])), None);
}

#[test]
fn the_queued_request_of_least_worth_over_credit_is_refused() {
    let mut set = settings();
    set.classes[2].worth = 5.0;
    let mut server = Server::new(set);
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i % 2)).collect::<Vec<_>>());
    // 3 are queued, the limit is 2, the credit (2 + 2) / 2 = 2: caller 1 has three. Its new unsafe request is
    // worth more than its queued read, so the read is refused.
    let actions = server.step(0.01, &[arrived(6, 2, 1)]);
    assert_eq!(refused(&actions), [5]);
}

#[test]
fn a_tenant_far_over_its_share_waits_for_one_within_its_share() {
    let tenant = |name: &str| Tenant { name: name.to_string(), share: 0.5, allowance: 8.0 };
    let set = Settings { tenants: vec![tenant("a"), tenant("b")], over_share_worth: 0.1, ..settings() };
    let mut server = Server::new(set);
    let of = |id, tenant| Event::Arrived(Request { tenant: Some(tenant), ..request(id, 0, id) });
    // An allowance of 8 a second over 4 servers: 2 a second here. Tenant a sends 20 a second, tenant b hardly
    // any.
    let mut now = 0.0;
    for id in 100..200 {
        server.step(now, &[of(id, 0)]);
        server.step(now + 0.01, &[ended(id, Outcome::Done)]);
        now += 0.05;
    }
    assert_eq!(runs(&server.step(now, &[of(1, 0), of(2, 0), of(3, 0), of(4, 1)])), [4, 1]);
}

/// Returns the health answers, in order, for 10 reads a second with a queueing delay of `late`.
fn health_of(late: f64, callers: u64) -> Vec<bool> {
    health_with_withdrawn(0, late, callers)
}

/// The same with bursts of `burst` requests of one caller that are withdrawn before they are read.
fn health_with_withdrawn(burst: u64, late: f64, callers: u64) -> Vec<bool> {
    let mut server = Server::new(settings());
    let mut health = Vec::new();
    for i in 0..60u64 {
        let delayed = Request { waited: late, ..request(i + 1, 0, i % callers) };
        let left = (0..burst).map(|n| RequestId(1_000 + i * burst + n));
        let left = left.flat_map(|id| [arrived(id.0, 0, 5_000), Event::Withdrawn { id }]);
        let events: Vec<Event> = iter::once(Event::Arrived(delayed)).chain(left).collect();
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
fn a_server_with_high_queueing_delay_reports_bad_health_if_callers_are_inactive() {
    // In good health for 2 s first; then in bad health for at most as long: good again after some 2 s.
    let health = health_of(1.0, 1000);
    assert_eq!(health[..3], [true, false, true]);
    assert_eq!(health_of(0.3, 1000), [true], "read within the delay budget");
    assert_eq!(health_of(1.0, 2), [true], "callers come often, so they receive the credit");
    // At 1.5 s, over 3 delay budgets, nothing starts and all over the queue limit is refused: this server may
    // be the only slow one.
    assert_eq!(health_of(1.5, 1000)[..3], [true, false, true]);
}

/// A server out of the balancer's list receives nothing, so its own wakes must bring it back within the
/// longest time of 4 s.
#[test]
fn a_server_in_bad_health_recovers_without_requests() {
    let mut server = Server::new(settings());
    let (mut now, mut unhealthy) = (0.0, false);
    for i in 0..60u64 {
        let delayed = Request { waited: 1.0, ..request(i + 1, 0, i) };
        let mut actions = server.step(now, &[Event::Arrived(delayed)]);
        let done: Vec<Event> = runs(&actions).into_iter().map(|id| ended(id, Outcome::Done)).collect();
        actions.extend(server.step(now + 0.05, &done));
        now += 0.1;
        unhealthy = actions.iter().any(|a| matches!(a, Action::Health { good: false, .. }));
        if unhealthy {
            break;
        }
    }
    assert!(unhealthy);
    let mut actions = server.step(now, &[]);
    let until = now + 4.0;
    let mut back = false;
    while !back && now < until {
        let wakes = actions.iter().filter_map(|a| match a {
            Action::Wake { after, .. } => Some(*after),
            _ => None,
        });
        let after = wakes.fold(f64::INFINITY, f64::min);
        // A wake is not requested again while it is pending.
        now += if after.is_finite() { after } else { 4.0 };
        let woke = Event::Woke { token: 0, gauges: Gauges::default() };
        let pending = after.is_finite();
        actions = if pending { server.step(now, &[woke]) } else { Vec::new() };
        back = actions.iter().any(|a| matches!(a, Action::Health { good: true, .. }));
    }
    assert!(back, "it stays in bad health");
}

#[test]
fn requests_withdrawn_before_they_are_read_do_not_count_for_the_queueing_delay() {
    assert_eq!(health_with_withdrawn(20, 1.0, 1000)[..3], [true, false, true]);
}

#[test]
fn connections_of_inactive_callers_are_closed_while_many_are_open() {
    let closed = |connections| {
        let mut server = Server::new(settings());
        server.step(0.0, &[arrived(1, 0, 1)]);
        let gauges = Gauges { connections, ..Gauges::default() };
        let actions = server.step(0.2, &[Event::Woke { token: 0, gauges }]);
        actions.contains(&Action::CloseIdle(1.0))
    };
    // 2 cores: the limit is 40 connections.
    assert_eq!([None, Some(40.0), Some(41.0)].map(closed), [false, false, true]);
}

#[test]
fn a_refused_retry_is_asked_not_to_retry_again() {
    for retry in [false, true] {
        let mut server = Server::new(settings());
        server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
        // 3 are queued, the limit is 2, the credit is 1, and caller 1 has one.
        let over = Request { retry, ..request(6, 0, 1) };
        let actions = server.step(0.01, &[Event::Arrived(over)]);
        assert!(actions.contains(&Action::Refuse { id: RequestId(6), stay_away: 1.0, last: retry }));
    }
}

#[test]
fn with_a_few_completions_a_second_the_queue_limit_is_between_one_and_two_requests() {
    let mut server = Server::new(settings());
    // Two runs of 0.5 s at a time, one ends each 0.25 s, and one more is always queued: 4 completions a
    // second. In an interval of 0.1 s none or one ends, so the smoothed rate is between 10 x 0.9^2 x 0.1 / (1
    // - 0.9^2.5) = 3.5 and 4.7, and the queue limit, 0.4 s of it, between 1.4 and 1.9.
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
    for i in 1..80u64 {
        server.step(i as f64 * 0.25, &[ended(i, Outcome::Done), arrived(i + 3, 0, i + 3)]);
    }
    // One queued is below the limit: 2 x 1, and at least the run limit of 2. With 5 active callers, the
    // overload credit would be 1.
    assert_eq!(advertised(&server.step(20.0, &[])), None);
    assert_eq!(
        advertised(&server.step(20.01, &[arrived(500, 0, 500)])),
        Some(1.0),
        "two queued are over the limit"
    );
}

#[test]
fn callers_count_as_active_for_one_second() {
    let mut server = Server::new(settings());
    for i in 0..300u64 {
        server.step(i as f64 * 0.01, &[arrived(i + 1, 0, i + 1)]);
        server.step(i as f64 * 0.01 + 0.005, &[ended(i + 1, Outcome::Failed)]);
    }
    // 300 callers in 3 s; 7 s later there are three, one of which has three requests: of 5 requests 2 run and
    // 3 are queued, and the limit is 2 while no rate is known. (2 + 2) / 3 for each, not (2 + 2) / 303 nor (2
    // + 2) / 103.
    let five = [1001, 1002, 1003, 1003, 1003];
    let five: Vec<Event> = five.iter().zip(900..).map(|(caller, id)| arrived(id, 0, *caller)).collect();
    let number = advertised(&server.step(10.0, &five)).unwrap();
    assert!((number - 4.0 / 3.0).abs() < 1e-9, "{number}");
    // The caller with three is over its credit when it sends a fourth; a caller with none is not.
    assert_eq!(refused(&server.step(10.01, &[arrived(950, 0, 1003), arrived(951, 0, 1004)])), [950]);
}

#[test]
fn the_overload_credit_is_at_least_one() {
    let mut server = Server::new(settings());
    let forty: Vec<Event> = (1..=40).map(|i| arrived(i, 0, i)).collect();
    let actions = server.step(0.0, &forty);
    // (2 + 2) / 40 is below 1: the credit is 1, and no caller has more than 1.
    assert_eq!(advertised(&actions), Some(1.0));
    assert!(refused(&actions).is_empty());
}

#[test]
fn first_tries_are_asked_not_to_retry_while_many_requests_are_refused() {
    let mut server = Server::new(settings());
    server.step(0.0, &(1..=5).map(|i| arrived(i, 0, i)).collect::<Vec<_>>());
    // Caller 1 is over its credit of 1. Nothing ends and no rate is known, so the retry delay is the longest.
    // The refused share is 1 - 0.92^n, over 0.4 from the seventh refusal on.
    let last = |id| {
        let actions = server.step(0.01, &[arrived(id, 0, 1)]);
        actions.contains(&Action::Refuse { id: RequestId(id), stay_away: 1.0, last: true })
    };
    let asked: Vec<bool> = (11..=18).map(last).collect();
    assert_eq!(asked, [false, false, false, false, false, false, true, true]);
}

/// A server with two runs of 0.5 s at a time and one more queued: a run is expected to take 0.5 s, and 4 end
/// a second.
fn busy(set: Settings) -> Server {
    let mut server = Server::new(set);
    server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
    for i in 1..80u64 {
        server.step(i as f64 * 0.25, &[ended(i, Outcome::Done), arrived(i + 3, 0, i + 3)]);
    }
    server
}

#[test]
fn requests_that_can_no_longer_end_in_time_are_refused_at_once() {
    // Class 2 is worth more and may take long: two of it use the cores, and no request of class 0 is
    // considered.
    let mut set = settings();
    (set.classes[2].worth, set.classes[2].aim, set.classes[2].deadline) = (9.0, 100.0, 100.0);
    let mut server = busy(set);
    assert_eq!(runs(&server.step(20.0, &[ended(80, Outcome::Done), arrived(900, 2, 7)])), [900]);
    assert_eq!(runs(&server.step(20.25, &[ended(81, Outcome::Done), arrived(901, 2, 8)])), [901]);
    // 82 arrived at 19.75 s. Its target is 2 s, less the margin of 0.02 s, and 0.7 of 0.5 s must be left for
    // it: it cannot end in time from 21.38 s on, long before it is due.
    assert!(refused(&server.step(21.37, &[])).is_empty());
    assert_eq!(refused(&server.step(21.39, &[])), [82]);
    // The same holds for a request that is read too late, without overload.
    let late = Request { waited: 1.7, ..request(500, 0, 500) };
    assert_eq!(refused(&server.step(21.395, &[Event::Arrived(late)])), [500]);
}

#[test]
fn refusals_give_a_retry_delay() {
    // Caller 7 has one queued, which is its credit; then it sends `more` requests.
    let retry_delay = |set: Settings, more: u64, before: &[Event]| {
        let mut server = busy(set);
        server.step(20.0, &[&[arrived(500, 0, 7)], before].concat());
        let actions = server.step(20.01, &(501..501 + more).map(|id| arrived(id, 0, 7)).collect::<Vec<_>>());
        actions.into_iter().find_map(|a| match a {
            Action::Refuse { stay_away, .. } => Some(stay_away),
            _ => None,
        })
    };
    // 3 are queued, the limit is between 1 and 2, and 4 are served a second: 0.25 to 0.5 s, but at least the
    // delay budget.
    let few = retry_delay(settings(), 1, &[]);
    assert!(few.is_some_and(|delay| (0.4..0.5).contains(&delay)), "{few:?}");
    // Many are queued: as long as the settings allow.
    assert_eq!(retry_delay(settings(), 40, &[]), Some(1.0));
    assert_eq!(retry_delay(Settings { max_stay_away: 0.1, ..settings() }, 40, &[]), Some(0.1));
    // During shutdown the retry delay is the longest.
    assert_eq!(retry_delay(settings(), 1, &[Event::Leave { within: 3.0 }]), Some(1.0));
}
