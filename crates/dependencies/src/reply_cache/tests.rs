//! Bounds of the reply cache, in age and bytes.

use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_reply_older_than_its_maximum_age_is_not_used() {
    let mut cache = ReplyCache::new(10_000);
    let key = CacheKey { class: 0, place: 1, body: b"ana"[..].into() };
    cache.insert(ms(0), key.clone(), b"r"[..].into(), ms(2000));
    assert!(cache.get(ms(2000), &key, ms(2000)).is_some());
    assert!(cache.get(ms(1000), &key, ms(999)).is_none());
    assert!(cache.get(ms(2001), &key, ms(2000)).is_none());
    assert_eq!(cache.bytes(), 0);
}

#[test]
fn cached_replies_are_bounded_in_bytes_and_the_oldest_are_removed_first() {
    let mut cache = ReplyCache::new(5_000);
    let key = |n: u8| CacheKey { class: 0, place: 1, body: vec![n; 100].into() };
    for n in 0..50 {
        cache.insert(ms(u64::from(n)), key(n), vec![n; 700].into(), ms(60_000));
        assert!(cache.bytes() <= 5_000);
    }
    assert!(cache.get(ms(50), &key(0), ms(60_000)).is_none());
    assert!(cache.get(ms(50), &key(49), ms(60_000)).is_some());
    cache.insert(ms(51), key(49), vec![1; 6_000].into(), ms(60_000));
    // A reply that does not fit is not cached, and it invalidates the one before.
    assert!(cache.get(ms(51), &key(49), ms(60_000)).is_none());
    cache.set_max_bytes(900);
    assert!(cache.bytes() <= 900);
}
