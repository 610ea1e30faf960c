//! Where the learned limit settles, and what moves it.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A dependency of so many slots: a call takes 50 ms while there are enough, and as much longer as there are too few.
fn settles(slots: f64, calls: usize) -> usize {
    let mut limiter = AdaptiveLimit::new(4, 1, calls);
    for n in 0..20_000u64 {
        let in_flight = limiter.limit();
        // A spread of a tenth each way, the same each time.
        let spread = 0.9 + 0.2 * ((n * 7919) % 101) as f64 / 100.0;
        let took = 0.05 * spread * (in_flight as f64 / slots).max(1.0);
        limiter.record_reply(Duration::from_secs_f64(took), in_flight);
    }
    limiter.limit()
}

#[test]
fn the_learned_limit_settles_near_the_slots_that_it_is_not_told() {
    for (slots, min, max) in [(4.0, 4, 7), (12.0, 12, 17), (40.0, 40, 55)] {
        let limit = settles(slots, 200);
        assert!((min..=max).contains(&limit), "{slots} slots: {limit}");
    }
    assert_eq!(settles(40.0, 10), 10);
}

#[test]
fn the_learned_limit_falls_when_calls_are_dropped_and_rises_again_only_when_it_is_used() {
    let mut limiter = AdaptiveLimit::new(20, 2, 50);
    for _ in 0..2000 {
        limiter.record_drop();
    }
    assert_eq!(limiter.limit(), 2);
    for _ in 0..2000 {
        limiter.record_reply(ms(50), 1);
    }
    assert_eq!(limiter.limit(), 2, "half used, it may be enough");
    for _ in 0..2000 {
        limiter.record_reply(ms(50), limiter.limit());
    }
    assert_eq!(limiter.limit(), 50);
    // Slower for good, it is not taken for crowded for ever.
    for _ in 0..200_000 {
        limiter.record_reply(ms(400), limiter.limit());
    }
    assert!(limiter.limit() > 25, "{}", limiter.limit());
}
