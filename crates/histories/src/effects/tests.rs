use super::*;
use crate::format::Who;
use crate::test_histories::{DONE, answered, assert_accepted, assert_rejected, done, offer, record};

fn effect(begin: u64, token: u64, came: Came) -> Record {
    let op = Op::Effect { key: "k".into(), fence: None, token, who: Who::new("n1", 1) };
    record("resource", begin, begin + 1, op, came)
}

/// An effect of a task; each run has its own key.
fn act(key: &str, begin: u64, end: u64, token: u64, came: Came) -> Record {
    let op = Op::Effect { key: key.into(), fence: Some("task".into()), token, who: Who::new("n1", 1) };
    record("resource", begin, end, op, came)
}

#[test]
fn valid_histories_are_accepted() {
    assert_accepted(
        check,
        vec![
            ("once", vec![offer(1, 2, DONE), effect(3, 1, DONE), answered(4, 5, done("r"), Some(1))]),
            (
                "unknown outcome, with an effect",
                vec![offer(1, 2, DONE), effect(3, 1, DONE), answered(4, 5, WorkEnd::Unknown, None)],
            ),
            (
                "unknown outcome, without an effect",
                vec![offer(1, 2, DONE), answered(4, 5, WorkEnd::Unknown, None)],
            ),
            (
                "the effect of a paused former owner is rejected",
                vec![
                    offer(1, 2, DONE),
                    effect(3, 2, DONE),
                    effect(30, 1, Came::Failed),
                    answered(4, 5, done("r"), Some(2)),
                ],
            ),
            (
                "the resource failed during the first effect, and the second happened",
                vec![offer(1, 2, DONE), effect(3, 1, Came::Unknown), effect(9, 2, DONE)],
            ),
            (
                "the first try never ran, the second did",
                vec![offer(1, 2, DONE), answered(3, 4, WorkEnd::NeverRan, Some(1)), effect(9, 2, DONE)],
            ),
            (
                "a lower token that acts while the higher one does",
                vec![act("a", 1, 9, 2, DONE), act("b", 5, 12, 1, DONE)],
            ),
            (
                "refused once, and done by an offer whose answer was lost",
                vec![offer(1, 2, Came::Unknown), offer(3, 4, Came::Failed), effect(9, 1, DONE)],
            ),
        ],
    );
}

#[test]
fn violations_are_found() {
    assert_rejected(
        check,
        vec![
            ("happened 2 times", true, vec![offer(1, 2, DONE), effect(3, 1, DONE), effect(9, 2, DONE)]),
            (
                "token 1 acts after 2",
                true,
                vec![act("a", 1, 2, 1, DONE), act("b", 3, 4, 2, DONE), act("c", 5, 6, 1, DONE)],
            ),
            (
                "reported never to have run",
                true,
                vec![offer(1, 2, DONE), effect(3, 1, DONE), answered(4, 5, WorkEnd::NeverRan, Some(1))],
            ),
            (
                "reported never to have run",
                true,
                vec![offer(1, 2, DONE), answered(4, 5, WorkEnd::NeverRan, None), effect(9, 2, DONE)],
            ),
            ("were refused", false, vec![offer(1, 2, Came::Failed), effect(3, 1, DONE)]),
            (
                "did not happen",
                false,
                vec![offer(1, 2, DONE), effect(3, 1, Came::Failed), answered(4, 5, done("r"), None)],
            ),
        ],
    );
}
