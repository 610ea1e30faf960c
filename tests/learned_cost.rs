//! The expected time of a class after a single slow run.

mod common;
use common::*;
use jaspershunt::*;

/// Number of requests of the class, one a second, on an otherwise idle server.
const TRIES: u64 = 60;

/// With a mean longer than the target, every request would be refused and the mean would never change.
#[test]
fn a_class_with_one_slow_run_is_tried_again() {
    let mut server = Server::new(settings());
    assert_eq!(runs(&server.step(0.0, &[arrived(1, 0, 1)])), [1]);
    // After its target of 2 s, before its deadline of 4 s.
    server.step(3.0, &[ended(1, Outcome::Done)]);
    let mut tried = 0;
    for n in 2..2 + TRIES {
        let now = 10.0 + n as f64;
        let ran = runs(&server.step(now, &[arrived(n, 0, 1)]));
        if ran.contains(&n) {
            tried += 1;
            server.step(now + 0.1, &[ended(n, Outcome::Done)]);
        }
    }
    assert!(tried > 0, "none of {TRIES} requests ran on an idle server");
}
