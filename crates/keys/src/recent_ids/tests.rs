//! Tests of the ids of requests that ran.

use super::*;

#[test]
fn ids_are_known_until_their_last_time_is_over() {
    let mut ids = RecentIds::default();
    ids.insert("a".into(), 5.0);
    ids.insert("b".into(), 6.0);
    ids.insert("a".into(), 7.0);
    ids.expire(6.5);
    assert!(ids.contains("a") && !ids.contains("b"));
    assert_eq!(ids.entries().collect::<Vec<_>>(), [("a".into(), 7.0)]);
    ids.expire(7.1);
    assert!(!ids.contains("a") && ids.expirations.is_empty());
}

#[test]
fn the_number_of_ids_is_bounded() {
    let mut ids = RecentIds::default();
    for n in 0..=MAX_RECENT_IDS {
        ids.insert(n.to_string().into(), n as f64);
    }
    assert_eq!((ids.ids.len(), ids.expirations.len()), (MAX_RECENT_IDS, MAX_RECENT_IDS));
    assert!(!ids.contains("0") && ids.contains("1"));
}
