use super::*;
use crate::format::Who;
use proptest::prelude::*;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

fn record(who: u64, begin: u64, end: u64, op: Op, came: Came) -> Record {
    Record { who: Who::new("c", who), op, begin, end: Some(end), came }
}

fn write(begin: u64, end: u64, value: &str) -> Record {
    record(begin, begin, end, Op::Write { key: "x".into(), value: value.into() }, Came::Ok(Told::Nothing))
}

fn read(begin: u64, end: u64, value: Option<&str>) -> Record {
    let told = Told::Value(value.map(Value::from));
    record(begin, begin, end, Op::Read { key: "x".into() }, Came::Ok(told))
}

fn swap(begin: u64, end: u64, old: Option<&str>, new: &str, swapped: bool) -> Record {
    let op = Op::CompareAndSet { key: "x".into(), old: old.map(Value::from), new: new.into() };
    record(begin, begin, end, op, Came::Ok(Told::Swapped(swapped)))
}

fn with(mut record: Record, came: Came) -> Record {
    record.came = came;
    record
}

fn verdict(records: Vec<Record>) -> Verdict {
    check(&History::whole(records))
}

/// The number of records that show a violation, which there must be.
fn shown(records: Vec<Record>) -> usize {
    match verdict(records) {
        Verdict::Wrong { first, .. } => first.records.len(),
        other => panic!("{other}"),
    }
}

#[test]
fn valid_histories_are_accepted() {
    for (name, records) in [
        ("empty", vec![read(1, 2, None)]),
        (
            "sequential operations",
            vec![write(1, 2, "a"), read(3, 4, Some("a")), write(5, 6, "b"), read(7, 8, Some("b"))],
        ),
        (
            "a read during a write may return either value",
            vec![write(1, 9, "a"), read(2, 3, None), read(4, 5, Some("a"))],
        ),
        ("ends and begins at the same time", vec![write(1, 5, "a"), read(5, 6, None)]),
        (
            "an unknown write that happened late",
            vec![
                with(write(1, 2, "late"), Came::Unknown),
                write(3, 4, "a"),
                read(5, 6, Some("a")),
                read(7, 8, Some("late")),
            ],
        ),
        (
            "an unknown write that never happened",
            vec![with(write(1, 2, "never"), Came::Unknown), read(3, 4, None)],
        ),
        (
            "an unknown write observed only by a failed conditional write",
            vec![write(1, 2, "a"), with(write(3, 4, "b"), Came::Unknown), swap(5, 6, Some("a"), "c", false)],
        ),
        (
            "two unknown conditional writes in sequence",
            vec![
                with(swap(1, 2, Some("b"), "c", true), Came::Unknown),
                with(swap(3, 4, None, "b", true), Came::Unknown),
                read(5, 6, None),
                read(7, 8, Some("c")),
            ],
        ),
        ("a failed write has no effect", vec![with(write(1, 2, "no"), Came::Failed), read(3, 4, None)]),
    ] {
        let verdict = verdict(records);
        assert!(verdict.is_fine(), "{name}: {verdict}");
    }
}

#[test]
fn violations_are_found() {
    // A lost write: the write and the read that does not observe it.
    assert_eq!(
        shown(vec![write(1, 2, "a"), read(3, 4, None), read(5, 6, Some("a")), read(7, 8, Some("a"))]),
        2
    );
    // A later read during a write returns the older value.
    assert_eq!(shown(vec![write(1, 9, "a"), read(2, 3, Some("a")), read(4, 5, None)]), 3);
    // A value that was never written.
    assert_eq!(shown(vec![write(1, 2, "a"), read(3, 4, Some("z")), write(5, 6, "b")]), 1);
    // Two conditional writes succeed from the same value.
    assert_eq!(shown(vec![swap(1, 5, None, "a", true), swap(2, 6, None, "b", true)]), 2);
    // An unknown write is observed, and then no longer.
    let late = with(write(1, 2, "late"), Came::Unknown);
    assert_eq!(shown(vec![write(0, 0, "a"), late, read(3, 4, Some("late")), read(5, 6, Some("a"))]), 4);
    // A write that failed is observed.
    assert_eq!(shown(vec![with(write(1, 2, "no"), Came::Failed), read(3, 4, Some("no"))]), 1);
    // A conditional write fails although the register has the expected value.
    assert_eq!(shown(vec![write(1, 2, "a"), swap(3, 4, Some("a"), "c", false)]), 2);
    // An unknown write happens twice, or before it began.
    let late = with(write(1, 2, "late"), Came::Unknown);
    assert_eq!(shown(vec![late, read(3, 4, Some("late")), write(5, 6, "b"), read(7, 8, Some("late"))]), 4);
    assert_eq!(shown(vec![read(1, 2, Some("u")), with(write(3, 4, "u"), Came::Unknown)]), 1);
    // A read returns a value that is written only later.
    assert_eq!(shown(vec![read(1, 2, Some("a")), write(3, 4, "a")]), 1);
}

#[test]
fn keys_are_checked_separately() {
    let mut other = write(1, 2, "a");
    other.op = Op::Write { key: "y".into(), value: "a".into() };
    assert!(verdict(vec![other.clone(), read(3, 4, None)]).is_fine());
    assert_eq!(shown(vec![other, read(3, 4, Some("a"))]), 1);
}

#[test]
fn the_step_limit_is_not_a_pass_and_a_cut_history_is_not_a_violation() {
    // Twelve concurrent writes, and a read that none of their orders allows.
    let mut records: Vec<Record> = (0..12).map(|at| write(at, 100, &at.to_string())).collect();
    records.extend([read(101, 102, Some("1")), read(103, 104, Some("2"))]);
    let most = 1000;
    assert_eq!(
        check_within(&History::whole(records.clone()), most),
        Verdict::TooLong { key: "x".into(), steps: most }
    );
    assert!(shown(records.clone()) >= 2);
    let cut = History { records, cut: Some("full".into()) };
    assert_eq!(check(&cut), Verdict::CutShort { why: "full".into() });
}

#[test]
fn a_long_history_with_many_unknown_operations_takes_few_steps() {
    let mut records = Vec::new();
    for at in 0..2000 {
        let (time, value) = (at * 10, at.to_string());
        records.push(if at % 20 == 0 {
            with(write(time, time + 1, &value), Came::Unknown)
        } else {
            write(time, time + 1, &value)
        });
        if at % 20 != 0 {
            records.push(read(time + 2, time + 3, Some(&value)));
        }
    }
    match verdict(records.clone()) {
        Verdict::Fine(figures) => assert!(figures.steps < 10_000, "{figures:?}"),
        other => panic!("{other}"),
    }
    // The last read is stale, which a hundred unknown writes do not explain.
    records.push(read(30_000, 30_001, Some("1998")));
    assert_eq!(shown(records), 3);
}

/// A register for the reference checker.
#[derive(Clone, Debug, Default, PartialEq)]
struct Model(Option<Value>);

impl SequentialSpec for Model {
    type Op = Op;
    type Ret = Told;

    fn invoke(&mut self, op: &Op) -> Told {
        match op {
            Op::Write { value, .. } => {
                self.0 = Some(value.clone());
                Told::Nothing
            }
            Op::CompareAndSet { old, new, .. } => {
                let same = self.0 == *old;
                if same {
                    self.0 = Some(new.clone());
                }
                Told::Swapped(same)
            }
            _ => Told::Value(self.0.clone()),
        }
    }
}

/// The result of the `stateright` checker. Each operation has its own thread, so that only begin and end
/// order them.
fn reference_check(records: &[Record]) -> bool {
    let mut tester = LinearizabilityTester::new(Model::default());
    let mut moments: Vec<(u64, bool, usize)> = Vec::new();
    for (at, record) in records.iter().enumerate().filter(|(_, record)| record.came != Came::Failed) {
        moments.push((record.begin, false, at));
        if record.told().is_some() {
            moments.push((record.latest_end(), true, at));
        }
    }
    moments.sort_unstable();
    for (_, over, at) in moments {
        match records[at].told().filter(|_| over) {
            Some(told) => drop(tester.on_return(at, told.clone())),
            None => drop(tester.on_invoke(at, records[at].op.clone())),
        }
    }
    tester.is_consistent()
}

/// Operations of a valid run. Each happens at one moment between its begin and its end; some end unknown,
/// happen late or never.
fn run() -> impl Strategy<Value = Vec<Record>> {
    let one = (0..3u8, 0..3u8, 0..3u8, 1..12u64, 1..12u64, 0..8u8);
    proptest::collection::vec(one, 1..7).prop_map(|steps| {
        let (mut model, mut records) = (Model::default(), Vec::new());
        for (at, (what, one, two, early, late, luck)) in steps.into_iter().enumerate() {
            let moment = 100 + at as u64 * 5;
            let (key, value) = ("x".to_owned(), |of: u8| Value::from(["a", "b", "c"][of as usize]));
            let op = match what {
                0 => Op::Read { key },
                1 => Op::Write { key, value: value(one) },
                _ => Op::CompareAndSet { key, old: (one > 0).then(|| value(one)), new: value(two) },
            };
            let told = if luck == 1 { Told::Nothing } else { model.invoke(&op) };
            let came = if luck < 2 { Came::Unknown } else { Came::Ok(told) };
            // Times are unique, because the reference checker has no equal times.
            let (begin, end) = ((moment - early) * 20 + at as u64, (moment + late) * 20 + 10 + at as u64);
            records.push(record(at as u64, begin, end, op, came));
        }
        records
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn a_valid_run_is_accepted(records in run()) {
        let verdict = verdict(records);
        prop_assert!(verdict.is_fine(), "{}", verdict);
    }

    #[test]
    fn a_changed_answer_is_found_if_the_reference_checker_finds_it(
        mut records in run(), at in any::<prop::sample::Index>(), to in 0..4usize
    ) {
        let at = at.index(records.len());
        if let Came::Ok(told) = &mut records[at].came {
            match told {
                Told::Value(value) => *value = ["a", "b", "c"].get(to).map(|text| Value::from(*text)),
                Told::Swapped(swapped) => *swapped = !*swapped,
                _ => {}
            }
        }
        let verdict = verdict(records.clone());
        prop_assert_eq!(verdict.is_fine(), reference_check(&records), "{}", verdict);
        if let Verdict::Wrong { first, .. } = verdict {
            prop_assert!(!reference_check(&first.records), "the shown records are no violation: {:?}", first);
        }
    }
}
