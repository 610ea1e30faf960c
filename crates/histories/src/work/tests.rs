use super::*;
use crate::test_histories::{DONE, answered, assert_accepted, assert_rejected, done, offer, record};

fn begun(who: &str, at: u64, token: u64) -> Record {
    record(who, at, at, Op::Begun { key: "k".into(), token }, DONE)
}

fn later() -> Record {
    record("other", 90, 90, Op::Begun { key: "other".into(), token: 9 }, DONE)
}

#[test]
fn valid_histories_are_accepted() {
    assert_accepted(
        check,
        vec![
            (
                "accepted and done",
                vec![offer(1, 2, DONE), begun("n1", 3, 1), answered(4, 9, done("r"), Some(1))],
            ),
            (
                "taken over, and the same answer to a repeat that was sent while the first one waited",
                vec![
                    offer(1, 2, DONE),
                    begun("n1", 3, 1),
                    begun("n2", 20, 2),
                    answered(4, 60, done("r"), None),
                    answered(30, 31, done("r"), Some(2)),
                ],
            ),
            ("no outcome, for a client that gave up", vec![offer(1, 2, Came::Unknown), later()]),
            (
                "refused, offered again, and done",
                vec![offer(1, 2, Came::Failed), offer(3, 4, DONE), answered(5, 6, done("r"), None)],
            ),
            (
                "unknown outcome in all answers",
                vec![
                    offer(1, 2, DONE),
                    answered(3, 4, WorkEnd::Unknown, None),
                    answered(5, 6, WorkEnd::Unknown, Some(1)),
                ],
            ),
            (
                "never ran under one token, offered again, and done under the next",
                vec![
                    offer(1, 2, DONE),
                    answered(3, 4, WorkEnd::NeverRan, Some(1)),
                    offer(5, 6, DONE),
                    answered(7, 8, done("r"), Some(2)),
                    answered(9, 10, done("r"), None),
                ],
            ),
            ("not yet due when the history ends", vec![offer(1, 2, DONE), begun("n1", 49, 1)]),
        ],
    );
}

#[test]
fn violations_are_found() {
    assert_rejected(
        check,
        vec![
            (
                "two outcomes",
                true,
                vec![offer(1, 2, DONE), answered(3, 4, done("a"), None), answered(5, 6, done("b"), None)],
            ),
            (
                "two outcomes",
                true,
                vec![
                    offer(1, 2, DONE),
                    answered(3, 4, WorkEnd::Unknown, None),
                    answered(5, 6, done("a"), None),
                ],
            ),
            (
                "two outcomes",
                true,
                vec![
                    offer(1, 2, DONE),
                    answered(3, 4, WorkEnd::NeverRan, Some(1)),
                    answered(5, 6, done("r"), Some(1)),
                ],
            ),
            (
                "two outcomes",
                true,
                vec![
                    offer(1, 2, DONE),
                    answered(3, 4, WorkEnd::NeverRan, None),
                    answered(5, 6, done("r"), Some(1)),
                ],
            ),
            (
                "two outcomes",
                true,
                vec![
                    offer(1, 2, DONE),
                    answered(3, 4, WorkEnd::NeverRan, Some(1)),
                    answered(5, 6, done("r"), Some(2)),
                    answered(7, 8, done("s"), Some(2)),
                ],
            ),
            ("has no outcome", false, vec![offer(1, 2, DONE), begun("n1", 3, 1), later()]),
            ("without an offer", false, vec![answered(3, 4, done("a"), None), offer(5, 6, DONE)]),
            ("refused", false, vec![offer(1, 2, Came::Failed), answered(3, 4, done("a"), None)]),
            (
                "began it under token 1",
                true,
                vec![
                    offer(1, 2, DONE),
                    begun("n1", 3, 1),
                    begun("n2", 4, 1),
                    answered(5, 6, done("a"), None),
                ],
            ),
        ],
    );
}

#[test]
fn accepted_work_without_a_reported_outcome_is_listed() {
    let of = |records| without_outcome(&History::whole(records));
    assert_eq!(of(vec![offer(1, 2, DONE), begun("n1", 3, 1)]), ["k"]);
    assert!(of(vec![offer(1, 2, Came::Failed), offer(3, 4, Came::Unknown)]).is_empty());
    assert!(of(vec![offer(1, 2, DONE), answered(3, 4, WorkEnd::Unknown, None)]).is_empty());
}
