use super::*;
use crate::test_histories::{assert_accepted, assert_rejected, record, table};
use proptest::prelude::*;

fn edit(begin: u64, end: u64, id: &str, came: Came) -> Record {
    record("team", begin, end, Op::Edit { table: "t".into(), edit: id.into() }, came)
}

fn taken(begin: u64, end: u64, id: &str, revision: u64) -> Record {
    edit(begin, end, id, Came::Ok(Told::Revision(revision)))
}

fn read(begin: u64, end: u64, revision: u64, edits: &[&str]) -> Record {
    record(
        "reader",
        begin,
        end,
        Op::ReadTable { table: "t".into() },
        table(revision, &edits.join("+"), edits),
    )
}

fn seen(at: u64, revision: u64, edits: &[&str]) -> Record {
    record("n1", at, at, Op::SeenTable { table: "t".into() }, table(revision, &edits.join("+"), edits))
}

#[test]
fn valid_histories_are_accepted() {
    assert_accepted(
        check,
        vec![
            (
                "sequential operations",
                vec![
                    taken(1, 2, "a", 1),
                    read(3, 4, 1, &["a"]),
                    taken(5, 6, "b", 2),
                    read(7, 8, 2, &["a", "b"]),
                ],
            ),
            (
                "a read during an edit, with either result",
                vec![taken(1, 20, "a", 1), read(2, 3, 0, &[]), read(4, 5, 1, &["a"])],
            ),
            (
                "two edits in one revision, one of which was never acknowledged",
                vec![taken(1, 2, "a", 1), edit(1, 2, "b", Came::Unknown), read(3, 4, 1, &["a", "b"])],
            ),
            (
                "in conflict, and settled much later",
                vec![
                    edit(1, 2, "b", Came::Unknown),
                    taken(3, 4, "a", 1),
                    read(5, 6, 1, &["a"]),
                    read(50, 60, 2, &["a", "b"]),
                ],
            ),
            (
                "the same edit sent on both sides of a cut",
                vec![
                    edit(1, 2, "a", Came::Unknown),
                    taken(30, 40, "a", 3),
                    taken(31, 35, "a", 3),
                    read(36, 37, 3, &["a"]),
                ],
            ),
            (
                "an isolated process uses an old table",
                vec![taken(1, 2, "a", 1), taken(3, 4, "b", 2), seen(50, 1, &["a"])],
            ),
            ("refused", vec![edit(1, 2, "a", Came::Failed), read(3, 4, 5, &[])]),
        ],
    );
}

#[test]
fn violations_are_found() {
    let a = || taken(1, 2, "a", 1);
    assert_rejected(
        check,
        vec![
            ("edit a is lost at revision 2", true, vec![a(), read(3, 4, 2, &[])]),
            ("a lower one after it", true, vec![a(), read(3, 4, 0, &[])]),
            ("a lower one after it", true, vec![a(), read(3, 4, 2, &["a"]), read(5, 6, 1, &["a"])]),
            ("a lower one after it", true, vec![taken(1, 2, "b", 2), taken(3, 4, "a", 1)]),
            // Sent twice: it counts from the first acknowledgement on.
            (
                "a lower one after it",
                true,
                vec![taken(1, 5, "a", 3), taken(2, 60, "a", 3), read(10, 20, 2, &[])],
            ),
            (
                "edit b is gone",
                true,
                vec![edit(1, 2, "b", Came::Unknown), read(3, 4, 1, &["b"]), read(5, 6, 2, &[])],
            ),
            ("which was refused", false, vec![edit(1, 2, "b", Came::Failed), read(3, 4, 1, &["b"])]),
            ("which was never sent", false, vec![a(), read(3, 4, 1, &["a", "z"])]),
            ("before it was sent", false, vec![read(1, 2, 1, &["b"]), edit(5, 6, "b", Came::Unknown)]),
            ("counts from 2 on", true, vec![a(), taken(1, 9, "b", 2), read(3, 4, 1, &["a", "b"])]),
            ("acknowledged at", true, vec![taken(1, 9, "a", 1), taken(1, 9, "a", 2)]),
            (
                "two contents",
                true,
                vec![a(), edit(1, 2, "b", Came::Unknown), read(3, 4, 1, &["a"]), seen(9, 1, &["a", "b"])],
            ),
            (
                "goes back from 2 to 1",
                true,
                vec![a(), taken(3, 4, "b", 2), seen(5, 2, &["a", "b"]), seen(6, 1, &["a"])],
            ),
        ],
    );
}

/// Whether some order of at most seven edits and reads of one table is valid, by trying all of them.
fn by_force(records: &[Record]) -> bool {
    fn go(left: &[&Record], at: u64, edits: &mut Vec<String>) -> bool {
        if left.iter().all(|record| record.came == Came::Unknown) {
            return true;
        }
        (0..left.len()).any(|one| {
            let record = left[one];
            let rest: Vec<&Record> =
                left.iter().filter(|other| !std::ptr::eq(**other, record)).copied().collect();
            if rest.iter().any(|other| other.ended_before(record)) {
                return false;
            }
            match (&record.op, record.told()) {
                (Op::Edit { edit, .. }, told) => {
                    // An unacknowledged edit is in the next revision that is reported.
                    let to = if let Some(Told::Revision(to)) = told { *to } else { at };
                    edits.push(edit.clone());
                    let fits = to >= at && go(&rest, to, edits);
                    edits.pop();
                    fits
                }
                (_, Some(Told::Table(table))) => {
                    let same =
                        table.edits.len() == edits.len() && table.edits.iter().all(|it| edits.contains(it));
                    same && table.revision >= at && go(&rest, table.revision, edits)
                }
                _ => false,
            }
        })
    }
    go(&records.iter().collect::<Vec<_>>(), 0, &mut Vec::new())
}

/// A valid run: each edit creates the next revision at one moment.
fn run() -> impl Strategy<Value = Vec<Record>> {
    proptest::collection::vec((any::<bool>(), 1..12u64, 1..12u64, 0..8u8), 1..7).prop_map(|steps| {
        let (mut revision, mut edits, mut records) = (0, Vec::<String>::new(), Vec::new());
        for (at, (reads, early, late, luck)) in steps.into_iter().enumerate() {
            let moment = 100 + at as u64 * 5;
            let (begin, end) = (moment - early, moment + late);
            if reads {
                let ids: Vec<&str> = edits.iter().map(String::as_str).collect();
                records.push(read(begin, end, revision, &ids));
                continue;
            }
            let id = at.to_string();
            if luck != 1 {
                revision += 1;
                edits.push(id.clone());
            }
            records.push(if luck < 2 {
                edit(begin, end, &id, Came::Unknown)
            } else {
                taken(begin, end, &id, revision)
            });
        }
        records
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn a_true_run_is_fine(records in run()) {
        let verdict = check(&History::whole(records));
        prop_assert!(verdict.is_fine(), "{}", verdict);
    }

    #[test]
    fn a_flipped_read_is_found_wherever_force_finds_it(
        mut records in run(), at in any::<prop::sample::Index>(), to in 0..6u64, drop in any::<prop::sample::Index>(), which in any::<bool>()
    ) {
        let at = at.index(records.len());
        match &mut records[at].came {
            Came::Ok(Told::Table(table)) if which && !table.edits.is_empty() => {
                table.edits.remove(drop.index(table.edits.len()));
            }
            Came::Ok(Told::Table(table)) => table.revision = to,
            Came::Ok(Told::Revision(revision)) => *revision = to,
            _ => {}
        }
        let verdict = check(&History::whole(records.clone()));
        // The checker also requires that a revision has one content, and that an edit is in all reads of its
        // revision.
        prop_assert!(by_force(&records) || !verdict.is_fine(), "not found");
    }
}
