//! Guards against kept results of other keys that are dropped for a result which is not kept: their repeats would fail.

use jaspershunt::RequestId;
use jaspershunt_keys::{Key, KeyTable, RunState};
use std::rc::Rc;

const MAX_BYTES: usize = 10_000;
/// More than is free beside the kept result, and less than the bound.
const LARGE: usize = 8_000;
const SMALL: usize = 3_000;

fn key(text: &str) -> Key {
    Key::from(text)
}

fn result(bytes: usize) -> Option<Rc<[u8]>> {
    Some(vec![7; bytes].into())
}

/// Creates a table in which the run of `kept` has a result and the run of `other` goes on.
fn table() -> KeyTable {
    let mut keys = KeyTable::new(MAX_BYTES);
    for (id, name) in [(1, "kept"), (2, "other")] {
        assert_eq!(keys.register_try(&key(name), 7, RequestId(id), 1.0, |_| false), Ok(None));
        keys.start_run(&key(name), RequestId(id), 10.0);
    }
    keys.end_run(&key("kept"), RequestId(1), result(SMALL));
    keys
}

fn is_kept(keys: &KeyTable) -> bool {
    matches!(keys.run_state(&key("kept")), Some(RunState::Done(_)))
}

#[test]
fn the_end_of_a_run_that_is_not_known_drops_no_result() {
    let mut keys = table();
    keys.end_run(&key("other"), RequestId(9), result(LARGE));
    assert!(is_kept(&keys), "dropped for another try of a key");
    keys.end_run(&key("unknown"), RequestId(2), result(LARGE));
    assert!(is_kept(&keys), "dropped for a key that is not known");
}

#[test]
fn the_second_end_of_a_run_drops_no_result() {
    let mut keys = table();
    keys.end_run(&key("other"), RequestId(2), None);
    keys.end_run(&key("other"), RequestId(2), result(LARGE));
    assert!(is_kept(&keys));
    assert_eq!(keys.run_state(&key("other")), Some(&RunState::Failed));
}

#[test]
fn a_result_larger_than_the_table_drops_no_result() {
    let mut keys = table();
    keys.end_run(&key("other"), RequestId(2), result(MAX_BYTES + 1));
    assert!(is_kept(&keys));
    assert_eq!(keys.run_state(&key("other")), Some(&RunState::Failed));
}

#[test]
fn a_result_that_fits_takes_the_room_of_older_ones() {
    let mut keys = table();
    keys.end_run(&key("other"), RequestId(2), result(LARGE));
    assert!(!is_kept(&keys));
    assert!(matches!(keys.run_state(&key("other")), Some(RunState::Done(_))));
}
