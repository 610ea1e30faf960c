use super::*;
use crate::test_histories::{assert_accepted, assert_rejected, record, table};

fn seen(who: &str, begin: u64, end: u64, epoch: u64, content: &str) -> Record {
    record(who, begin, end, Op::SeenSteering, table(epoch, content, &[]))
}

#[test]
fn valid_histories_are_accepted() {
    let mut restarted = seen("a", 5, 5, 1, "x");
    restarted.who.incarnation = 2;
    assert_accepted(
        check,
        vec![
            ("increasing epochs with gaps", vec![seen("a", 1, 1, 1, "x"), seen("a", 2, 2, 4, "y")]),
            ("one process behind another", vec![seen("a", 1, 1, 2, "y"), seen("b", 2, 2, 1, "x")]),
            ("a later incarnation starts from an older disk", vec![seen("a", 1, 1, 2, "y"), restarted]),
            ("overlapping reads", vec![seen("a", 1, 9, 2, "y"), seen("a", 2, 8, 1, "x")]),
        ],
    );
}

#[test]
fn violations_are_found() {
    assert_rejected(
        check,
        vec![
            ("a/1 goes back from 2 to 1", true, vec![seen("a", 1, 1, 2, "y"), seen("a", 3, 3, 1, "x")]),
            (
                "goes back from 3 to 2",
                true,
                vec![
                    seen("a", 1, 1, 1, "x"),
                    seen("a", 2, 2, 3, "z"),
                    seen("a", 3, 3, 2, "y"),
                    seen("a", 4, 4, 3, "z"),
                ],
            ),
            ("2 has two contents", true, vec![seen("a", 1, 1, 2, "x"), seen("b", 2, 2, 2, "y")]),
            ("2 has two contents", true, vec![seen("a", 1, 1, 2, "x"), seen("a", 2, 2, 2, "y")]),
        ],
    );
}
