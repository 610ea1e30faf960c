//! What is learned of the time that a class takes, where that was long once.

mod common;
use common::*;
use jaspershunt::*;

/// Tries of the class, one a second, on a server that has nothing else to do.
const TRIES: u64 = 60;

/// A mean beyond the aim must not have every request of the class refused for ever, as nothing more would be learned of it.
#[test]
fn a_class_that_was_slow_once_is_tried_again() {
    let mut server = Server::new(settings());
    assert_eq!(runs(&server.step(0.0, &[arrived(1, 0, 1)])), [1]);
    // Beyond its aim of 2 s, within its deadline of 4 s.
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
