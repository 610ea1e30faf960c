//! When a breaker turns, how long it waits, and what it learns from.

use super::*;
use jaspershunt_operator::units::{Share, Span};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Four calls say something; half of them bad or four fifths slow open it, for 200 ms to 1 s, and two try.
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
fn a_breaker_opens_tries_with_few_and_closes_only_when_all_of_them_go_well() {
    let mut breaker = Breaker::new(config(), 7);
    let mut at = ms(0);
    let one = |breaker: &mut Breaker, at, went| match breaker.admit(at) {
        Verdict::Yes { period } => breaker.ended(at, period, went),
        Verdict::No => panic!("shut"),
    };
    for went in [Went::Well, Went::Badly, Went::Well] {
        one(&mut breaker, at, went);
    }
    assert_eq!(breaker.state(), State::Closed);
    // From before it turned: says nothing any more.
    let Verdict::Yes { period: old } = breaker.admit(at) else { panic!() };
    one(&mut breaker, at, Went::Badly);
    let mut waits = Vec::new();
    for _ in 0..5 {
        let State::Open { until } = breaker.state() else { panic!("{:?}", breaker.state()) };
        waits.push((until - at).as_millis());
        breaker.ended(at, old, Went::Well);
        assert_eq!(breaker.admit(until - ms(1)), Verdict::No);
        at = until;
        let Verdict::Yes { period } = breaker.admit(at) else { panic!() };
        assert!(matches!(breaker.admit(at), Verdict::Yes { .. }));
        assert_eq!(breaker.admit(at), Verdict::No);
        breaker.ended(at, period, Went::Badly);
    }
    // 200 ms, doubled each time up to 1 s, a quarter more or less.
    for (wait, middle) in waits.iter().zip([200, 400, 800, 1000, 1000]) {
        assert!((middle * 3 / 4..=middle * 5 / 4).contains(wait), "{waits:?}");
    }
    let State::Open { until } = breaker.state() else { panic!() };
    for _ in 0..2 {
        one(&mut breaker, until, Went::Well);
    }
    assert_eq!(breaker.state(), State::Closed);
    // Flapping: it opens again soon, and the wait goes on growing.
    for _ in 0..4 {
        one(&mut breaker, until, Went::Badly);
    }
    let State::Open { until: next } = breaker.state() else { panic!() };
    assert!(next - until >= ms(750));
}

#[test]
fn a_breaker_lets_go_of_trials_that_say_nothing_and_tries_nothing_once_the_nodo_leaves() {
    let mut breaker = Breaker::new(config(), 7);
    for _ in 0..4 {
        let Verdict::Yes { period } = breaker.admit(ms(0)) else { panic!() };
        breaker.ended(ms(0), period, Went::Badly);
        if let State::Open { until } = breaker.state() {
            for _ in 0..5 {
                let Verdict::Yes { period } = breaker.admit(until) else { panic!("a trial is lost") };
                breaker.withdrawn(period);
            }
            let Verdict::Yes { period } = breaker.admit(until) else { panic!() };
            breaker.ended(until, period, Went::Slowly);
            breaker.leave();
            assert_eq!(breaker.admit(ms(1_000_000)), Verdict::No);
            return;
        }
    }
    panic!("it never opened");
}

#[test]
fn slow_calls_open_a_breaker_as_failures_do_and_old_ones_are_forgotten() {
    let mut breaker = Breaker::new(config(), 7);
    for at in [0, 10, 20] {
        let Verdict::Yes { period } = breaker.admit(ms(at)) else { panic!() };
        breaker.ended(ms(at), period, Went::Slowly);
    }
    // The window has passed over those three.
    let Verdict::Yes { period } = breaker.admit(ms(1100)) else { panic!() };
    breaker.ended(ms(1100), period, Went::Slowly);
    assert_eq!(breaker.state(), State::Closed);
    for _ in 0..3 {
        breaker.ended(ms(1200), period, Went::Slowly);
    }
    assert!(matches!(breaker.state(), State::Open { .. }));
}
