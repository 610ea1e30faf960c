//! Tests of the key table.

use super::*;

fn key(text: &str) -> Key {
    Key::from(text)
}

const DIGEST: u64 = 9278708264738962703;

fn result(bytes: usize) -> Option<Rc<[u8]>> {
    Some(vec![7; bytes].into())
}

#[test]
fn a_run_is_remembered_for_its_window_whatever_its_result() {
    for made in [result(3), None] {
        let (mut keys, k) = (KeyTable::new(100_000), key("k"));
        assert_eq!(keys.register_try(&k, 7, RequestId(1), 1.0, |_| false), Ok(None));
        keys.start_run(&k, RequestId(1), 11.0);
        keys.end_run(&k, RequestId(1), made.clone());
        keys.release_try(&k, RequestId(1));
        assert_eq!(keys.register_try(&k, 7, RequestId(2), 10.9, |_| false), Ok(Some(RequestId(1))));
        assert_eq!(keys.run_state(&k), Some(&made.map_or(RunState::Failed, RunState::Done)));
        assert_eq!(keys.register_try(&k, 7, RequestId(3), 11.1, |_| false), Ok(None));
        assert_eq!(keys.run_state(&k), None);
    }
}

#[test]
fn tries_that_did_not_run_are_known_while_queued() {
    let (mut keys, k) = (KeyTable::new(100_000), key("k"));
    assert_eq!(keys.register_try(&k, 7, RequestId(1), 1.0, |_| true), Ok(None));
    assert_eq!(keys.register_try(&k, 7, RequestId(2), 1.0, |_| true), Ok(Some(RequestId(1))));
    keys.replace_pending(&k, RequestId(2));
    keys.release_try(&k, RequestId(1));
    assert_eq!(keys.register_try(&k, 7, RequestId(3), 1.0, |id| id == RequestId(2)), Ok(Some(RequestId(2))));
    keys.release_try(&k, RequestId(2));
    // The third try may still run.
    assert!(keys.contains(&k) && keys.bytes() == record_bytes(&k));
    keys.release_try(&k, RequestId(3));
    assert_eq!(keys.bytes(), 0);
}

// Guards against a key that is forgotten with its earlier try while a later one may run: two runs of one key.
#[test]
fn a_key_is_known_until_the_last_of_its_tries_is_released() {
    let (mut keys, k) = (KeyTable::new(100_000), key("k"));
    assert_eq!(keys.register_try(&k, 7, RequestId(1), 1.0, |_| true), Ok(None));
    assert_eq!(keys.register_try(&k, 7, RequestId(2), 1.0, |_| true), Ok(Some(RequestId(1))));
    keys.release_try(&k, RequestId(1));
    assert_eq!(keys.register_try(&k, 7, RequestId(3), 1.0, |_| true), Ok(Some(RequestId(2))));
    keys.release_try(&k, RequestId(3));
    assert_eq!(keys.register_try(&k, 7, RequestId(4), 1.0, |_| true), Ok(Some(RequestId(2))));
    assert!(keys.start_run(&k, RequestId(2), 11.0));
    keys.release_try(&k, RequestId(2));
    keys.release_try(&k, RequestId(4));
    assert_eq!(keys.register_try(&k, 7, RequestId(5), 2.0, |_| true), Ok(Some(RequestId(2))));
    keys.never_ran(&k, RequestId(2));
    keys.release_try(&k, RequestId(5));
    assert_eq!(keys.bytes(), 0);
    assert!(!keys.start_run(&k, RequestId(6), 11.0), "no try of the key is registered");
}

#[test]
fn a_try_with_another_body_is_rejected() {
    let (mut keys, k) = (KeyTable::new(100_000), key("k"));
    assert_ne!(digest("1", b"a"), digest("1", b"b"));
    assert_ne!(digest("1", b"a"), digest("2", b"a"));
    assert_ne!(digest("1", b"a"), digest("1a", b""));
    assert_eq!(digest("sign", b"body"), DIGEST, "the digest differs from that of other versions");
    assert_eq!(keys.register_try(&k, 7, RequestId(1), 1.0, |_| true), Ok(None));
    assert_eq!(keys.register_try(&k, 8, RequestId(2), 1.0, |_| true), Err(TryRejected::OtherBody));
    keys.start_run(&k, RequestId(1), 11.0);
    assert_eq!(keys.register_try(&k, 8, RequestId(3), 1.0, |_| true), Err(TryRejected::OtherBody));
    // A run that provably never happened leaves the key free for another request.
    keys.never_ran(&k, RequestId(1));
    keys.release_try(&k, RequestId(1));
    assert_eq!((keys.bytes(), keys.expirations.len()), (0, 0));
    assert_eq!(keys.register_try(&k, 8, RequestId(4), 1.0, |_| true), Ok(None));
}

#[test]
fn memory_is_bounded_and_released() {
    let mut keys = KeyTable::new(10_000);
    let mut refused = 0;
    for n in 0..50 {
        let k = key(&format!("{n:02}"));
        match keys.register_try(&k, 7, RequestId(n), 1.0, |_| false) {
            Err(TryRejected::Full) => refused += 1,
            Err(TryRejected::OtherBody) => panic!("the body is the same"),
            Ok(_) => {
                keys.start_run(&k, RequestId(n), 10.0 + n as f64);
                keys.end_run(&k, RequestId(n), result(1000));
                keys.release_try(&k, RequestId(n));
            }
        }
        assert!(keys.bytes() <= 10_000);
    }
    assert!(refused > 0);
    // The oldest results were removed first, and their runs are still known.
    assert_eq!(keys.run_state(&key("00")), Some(&RunState::Failed));
    keys.expire(1000.0);
    assert_eq!(keys.bytes(), 0);
    assert!(keys.records.is_empty() && keys.expirations.is_empty() && keys.results.is_empty());
}
