//! Bounds on kept replies, in age and bytes.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_reply_that_is_a_moment_too_old_is_not_used() {
    let mut kept = Kept::new(10_000);
    let asked = Asked { class: 0, place: 1, body: b"ana"[..].into() };
    kept.put(ms(0), asked.clone(), b"r"[..].into(), ms(2000));
    assert!(kept.get(ms(2000), &asked, ms(2000)).is_some());
    assert!(kept.get(ms(1000), &asked, ms(999)).is_none());
    assert!(kept.get(ms(2001), &asked, ms(2000)).is_none());
    assert_eq!(kept.bytes(), 0);
}

#[test]
fn kept_replies_are_bounded_in_bytes_and_the_oldest_go_first() {
    let mut kept = Kept::new(5_000);
    let asked = |n: u8| Asked { class: 0, place: 1, body: vec![n; 100].into() };
    for n in 0..50 {
        kept.put(ms(u64::from(n)), asked(n), vec![n; 700].into(), ms(60_000));
        assert!(kept.bytes() <= 5_000);
    }
    assert!(kept.get(ms(50), &asked(0), ms(60_000)).is_none());
    assert!(kept.get(ms(50), &asked(49), ms(60_000)).is_some());
    kept.put(ms(51), asked(49), vec![1; 6_000].into(), ms(60_000));
    // One that does not fit is not kept, nor is the one before, which is no longer the last.
    assert!(kept.get(ms(51), &asked(49), ms(60_000)).is_none());
    kept.bound(900);
    assert!(kept.bytes() <= 900);
}
