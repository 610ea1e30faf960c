//! Helpers to build histories for tests.

use crate::format::{Came, Op, Record, Table, Told, Who, WorkEnd};
use crate::verdict::{History, Verdict};

pub(crate) fn record(who: &str, begin: u64, end: u64, op: Op, came: Came) -> Record {
    Record { who: Who::new(who, 1), op, begin, end: Some(end), came }
}

pub(crate) fn table(revision: u64, content: &str, edits: &[&str]) -> Came {
    let edits = edits.iter().map(|edit| (*edit).to_owned()).collect();
    Came::Ok(Told::Table(Table { revision, content: content.into(), edits }))
}

pub(crate) fn offer(begin: u64, end: u64, came: Came) -> Record {
    record("client", begin, end, Op::Offer { key: "k".into(), due: 50, leaves_effect: true }, came)
}

pub(crate) fn answered(begin: u64, end: u64, outcome: WorkEnd, token: Option<u64>) -> Record {
    let told = Told::Work { end: outcome, token };
    record("client", begin, end, Op::Answered { key: "k".into() }, Came::Ok(told))
}

pub(crate) fn done(result: &str) -> WorkEnd {
    WorkEnd::Done(result.into())
}

pub(crate) const DONE: Came = Came::Ok(Told::Nothing);

/// Asserts that the checker accepts these histories.
pub(crate) fn assert_accepted(check: fn(&History) -> Verdict, histories: Vec<(&str, Vec<Record>)>) {
    for (name, records) in histories {
        let verdict = check(&History::whole(records));
        assert!(verdict.is_fine(), "{name}: {verdict}");
    }
}

/// Asserts that the checker finds a violation whose text contains these words, and whether it also finds it
/// where records are missing.
pub(crate) fn assert_rejected(check: fn(&History) -> Verdict, histories: Vec<(&str, bool, Vec<Record>)>) {
    for (words, certain, mut records) in histories {
        for _ in 0..2 {
            let verdict = check(&History::whole(records.clone()));
            assert!(
                matches!(&verdict, Verdict::Wrong { first, .. } if first.what.contains(words)),
                "{words}: {verdict}"
            );
            assert!(!check_cut(check, &records).is_fine(), "{words}");
            assert_eq!(check_cut(check, &records).name() == "WRONG", certain, "{words}");
            // The order of files does not matter.
            records.reverse();
        }
    }
}

fn check_cut(check: fn(&History) -> Verdict, records: &[Record]) -> Verdict {
    check(&History { records: records.to_vec(), cut: Some("full".into()) })
}
