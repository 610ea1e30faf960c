//! Where the adaptive limit settles, and what changes it.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the limit reached for a dependency with this many slots: a call takes 50 ms while there is a free
/// slot, and proportionally longer once there are too few.
fn settled_limit(slots: f64, calls: usize) -> usize {
    let mut limiter = AdaptiveLimit::new(4, 1, calls);
    for n in 0..20_000u64 {
        let in_flight = limiter.limit();
        // Latency varies by a tenth each way, deterministically.
        let spread = 0.9 + 0.2 * ((n * 7919) % 101) as f64 / 100.0;
        let took = 0.05 * spread * (in_flight as f64 / slots).max(1.0);
        limiter.record_reply(Duration::from_secs_f64(took), in_flight);
    }
    limiter.limit()
}

#[test]
fn the_adaptive_limit_settles_near_the_number_of_slots() {
    for (slots, min, max) in [(4.0, 4, 7), (12.0, 12, 17), (40.0, 40, 55)] {
        let limit = settled_limit(slots, 200);
        assert!((min..=max).contains(&limit), "{slots} slots: {limit}");
    }
    assert_eq!(settled_limit(40.0, 10), 10);
}

#[test]
fn the_adaptive_limit_falls_on_drops_and_grows_only_when_used() {
    let mut limiter = AdaptiveLimit::new(20, 2, 50);
    for _ in 0..2000 {
        limiter.record_drop();
    }
    assert_eq!(limiter.limit(), 2);
    for _ in 0..2000 {
        limiter.record_reply(ms(50), 1);
    }
    assert_eq!(limiter.limit(), 2, "a limit that is not fully used must not grow");
    for _ in 0..2000 {
        limiter.record_reply(ms(50), limiter.limit());
    }
    assert_eq!(limiter.limit(), 50);
    // A dependency that has become slower for good is not treated as overloaded for ever.
    for _ in 0..200_000 {
        limiter.record_reply(ms(400), limiter.limit());
    }
    assert!(limiter.limit() > 25, "{}", limiter.limit());
}
