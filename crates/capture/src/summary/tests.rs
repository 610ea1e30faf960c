use super::*;
use crate::tests::{SMALL, capture, read};

#[test]
fn each_request_read_has_one_outcome_or_is_open() {
    let parts = read(&capture(2, 400, SMALL, 0..0));
    let summary = summary(&parts);
    assert_eq!((summary.rounds, summary.missing, summary.nodo.as_str()), (400, 0, "n1"));
    assert!(summary.snapshots > 2 && summary.blocks > summary.snapshots);
    let all = summary.classes.values();
    let (read, over): (u64, u64) = all
        .map(|class| (class.read, class.served + class.refused + class.failed + class.gone))
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    assert!(over <= read && read - over <= summary.most_open, "{over} of {read}");
    assert!(summary.classes["read"].refused > 0 && summary.classes["read"].served > 0);
    let times = summary.classes["read"].served_ms.unwrap();
    assert!(times.is_sorted());
    assert!(summary.refused_callers.windows(2).all(|two| two[0].1 >= two[1].1));
}

#[test]
fn gaps_and_corrupt_parts_are_reported() {
    let mut bytes = capture(2, 400, SMALL, 100..150);
    let cut = bytes.len() - 40;
    bytes.truncate(cut);
    let summary = summary(&read(&bytes));
    assert!(summary.gaps == 1 && summary.missing >= 50);
    assert_eq!(summary.spoilt.len(), 1);
}
