//! Transitions of the breaker, its waits, and the results it counts.

use super::*;
use jaspershunt_operator::units::{Share, Span};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Opens with at least four calls of which half failed or four fifths were slow, for 200 ms to 1 s; two
/// probes.
fn config() -> Config {
    Config {
        window: Span::ms(1000),
        failures: Share::percent(50.0),
        slow: Span::ms(400),
        slow_calls: Share::percent(80.0),
        least: 4,
        wait: Span::ms(200),
        longest: Span::ms(1000),
        probes: 2,
    }
}

#[test]
fn an_open_breaker_closes_only_when_all_probes_succeed() {
    let mut breaker = Breaker::new(config(), 7);
    let mut at = ms(0);
    let one = |breaker: &mut Breaker, at, result| match breaker.admit(at) {
        Admission::Admitted { generation } => breaker.record_result(at, generation, result),
        Admission::Rejected => panic!("rejected"),
    };
    for result in [CallResult::Success, CallResult::Failure, CallResult::Success] {
        one(&mut breaker, at, result);
    }
    assert_eq!(breaker.state(), State::Closed);
    // Admitted before the transition, so its result is ignored.
    let Admission::Admitted { generation: old } = breaker.admit(at) else { panic!() };
    one(&mut breaker, at, CallResult::Failure);
    let mut waits = Vec::new();
    for _ in 0..5 {
        let State::Open { until } = breaker.state() else { panic!("{:?}", breaker.state()) };
        waits.push((until - at).as_millis());
        breaker.record_result(at, old, CallResult::Success);
        assert_eq!(breaker.admit(until - ms(1)), Admission::Rejected);
        at = until;
        let Admission::Admitted { generation } = breaker.admit(at) else { panic!() };
        assert!(matches!(breaker.admit(at), Admission::Admitted { .. }));
        assert_eq!(breaker.admit(at), Admission::Rejected);
        breaker.record_result(at, generation, CallResult::Failure);
    }
    // 200 ms, doubled each time up to 1 s, plus or minus a quarter.
    for (wait, middle) in waits.iter().zip([200, 400, 800, 1000, 1000]) {
        assert!((middle * 3 / 4..=middle * 5 / 4).contains(wait), "{waits:?}");
    }
    let State::Open { until } = breaker.state() else { panic!() };
    for _ in 0..2 {
        one(&mut breaker, until, CallResult::Success);
    }
    assert_eq!(breaker.state(), State::Closed);
    // Flapping: it opens again soon after it closed, and the wait keeps growing.
    for _ in 0..4 {
        one(&mut breaker, until, CallResult::Failure);
    }
    let State::Open { until: next } = breaker.state() else { panic!() };
    assert!(next - until >= ms(750));
}

#[test]
fn probes_without_a_result_are_released_and_none_are_made_while_draining() {
    let mut breaker = Breaker::new(config(), 7);
    for _ in 0..4 {
        let Admission::Admitted { generation } = breaker.admit(ms(0)) else { panic!() };
        breaker.record_result(ms(0), generation, CallResult::Failure);
        if let State::Open { until } = breaker.state() {
            for _ in 0..5 {
                let Admission::Admitted { generation } = breaker.admit(until) else {
                    panic!("the probe was not released")
                };
                breaker.record_no_result(generation);
            }
            let Admission::Admitted { generation } = breaker.admit(until) else { panic!() };
            breaker.record_result(until, generation, CallResult::Slow);
            breaker.drain();
            assert_eq!(breaker.admit(ms(1_000_000)), Admission::Rejected);
            return;
        }
    }
    panic!("it never opened");
}

#[test]
fn slow_calls_open_a_breaker_and_leave_the_window() {
    let mut breaker = Breaker::new(config(), 7);
    for at in [0, 10, 20] {
        let Admission::Admitted { generation } = breaker.admit(ms(at)) else { panic!() };
        breaker.record_result(ms(at), generation, CallResult::Slow);
    }
    // The first three are no longer in the window.
    let Admission::Admitted { generation } = breaker.admit(ms(1100)) else { panic!() };
    breaker.record_result(ms(1100), generation, CallResult::Slow);
    assert_eq!(breaker.state(), State::Closed);
    for _ in 0..3 {
        breaker.record_result(ms(1200), generation, CallResult::Slow);
    }
    assert!(matches!(breaker.state(), State::Open { .. }));
}
