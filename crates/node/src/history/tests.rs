use super::*;
use jaspershunt_fleet::Holder;
use jaspershunt_histories::check_folder;
use jaspershunt_histories::format::{Record, read};
use jaspershunt_operator::units::Size;
use jaspershunt_work::{AwaitedEnd, Effect, MemberView, Offer};
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("jaspershunt-history-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn wanted(folder: &Path) -> operator::History {
    operator::History { folder: folder.display().to_string(), bytes: Size(64 * 1024) }
}

fn offer(key: &str) -> Entry {
    let offer = Offer {
        key: key.to_string(),
        class: "sign".to_string(),
        tenant: None,
        body: b"x".to_vec(),
        due_ms: 1,
        window_ends_ms: 2,
        worth_milli: 1,
        effect: Effect::Asks,
    };
    Entry::Offer { by: Holder::new("n1", 7), offer, begin: true, now_ms: 0 }
}

fn end(key: &str, token: u64, end: End) -> Entry {
    Entry::End { key: key.to_string(), by: Holder::new("n1", 7), token, end }
}

fn records(folder: &Path) -> Vec<Record> {
    let file = std::fs::read(folder.join("n1-7.history")).unwrap();
    read(&file[..]).unwrap().records
}

/// Waits for the thread, which ends once all handles are dropped.
async fn ended(folder: &Path, history: History, whole: impl Fn(&[Record]) -> bool) -> Vec<Record> {
    drop(history);
    for _ in 0..2000 {
        let records = records(folder);
        if whole(&records) {
            return records;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{:?}", records(folder));
}

/// An operation is in the file before it may be proposed, and a run before it starts, so that a kill at that
/// moment leaves them in the history.
#[tokio::test]
async fn a_begin_is_written_before_the_proposal_and_a_run_before_it_starts() {
    let folder = folder("begin");
    let history = History::start(&wanted(&folder), "n1", 7).unwrap();
    let entry = offer("op-1");
    let asked = history.begin(&entry).await;
    let there = records(&folder);
    assert!(matches!(&there[..], [Record { op: Op::Offer { key, .. }, end: None, .. }] if key == "op-1"));
    history.end(asked, &entry, &ProposalResult::Committed(Outcome::Yours { token: 4 })).await;
    let there = records(&folder);
    assert!(there.iter().any(|record| record.op == Op::Begun { key: "op-1".into(), token: 4 }), "{there:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[tokio::test]
async fn results_are_written_in_the_format_of_the_checkers() {
    let folder = folder("came");
    let history = History::start(&wanted(&folder), "n1", 7).unwrap();
    let (done, by) = (End::Done(b"acta 9".to_vec()), Holder::new("n1", 7));
    let known = |end: &End| ProposalResult::Committed(Outcome::Known(end.clone()));
    let work = |end, token| format::Came::Ok(Told::Work { end, token });
    let yes = format::Came::Ok(Told::Nothing);
    let begin = Entry::Begin { key: "k".into(), by: by.clone(), token: 3 };
    let cases = [
        (offer("k"), ProposalResult::Committed(Outcome::Waits), yes.clone()),
        (offer("k"), ProposalResult::NotSent, format::Came::Failed),
        (offer("k"), ProposalResult::Unknown, format::Came::Unknown),
        (offer("k"), ProposalResult::Committed(Outcome::Refused(Refusal::Full)), format::Came::Failed),
        (offer("k"), known(&End::NeverRan), format::Came::Failed),
        (offer("k"), known(&done), work(WorkEnd::Done("acta 9".into()), None)),
        (begin.clone(), ProposalResult::Committed(Outcome::Yours { token: 3 }), yes),
        (begin, ProposalResult::Committed(Outcome::Refused(Refusal::OldToken)), format::Came::Failed),
        (end("k", 3, done.clone()), known(&done), work(WorkEnd::Done("acta 9".into()), Some(3))),
        (end("k", 3, End::NeverRan), known(&End::NeverRan), work(WorkEnd::NeverRan, Some(3))),
        (end("k", 3, End::Failed), ProposalResult::Unknown, format::Came::Unknown),
    ];
    for (entry, came, _) in &cases {
        let asked = history.begin(entry).await;
        history.end(asked, entry, came).await;
    }
    // Entries that no checker uses are not written.
    assert!(history.begin(&Entry::Answered { key: "k".into(), by }).await.is_none());
    let whole =
        |records: &[Record]| records.iter().filter(|record| record.end.is_some()).count() == cases.len();
    let records = ended(&folder, history, whole).await;
    for (record, (entry, _, came)) in records.iter().zip(&cases) {
        assert_eq!(record.came, *came, "{entry:?}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

/// The disk stalls and the queue overflows: an operation proceeds within its time limit, and the file is
/// marked as cut short, so that no checker accepts it.
#[tokio::test(start_paused = true)]
async fn a_stalled_disk_blocks_nothing_and_cuts_the_history_short() {
    let (to, lines) = sync_channel(MAX_QUEUED_LINES);
    let (cut, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let history = History { to, cut: cut.clone(), next };
    // Nothing reads the queue, as when the thread waits for its disk.
    let before = tokio::time::Instant::now();
    let asked = history.begin(&offer("op-1")).await;
    assert!(asked.is_some() && before.elapsed() <= WRITE_TIMEOUT + Duration::from_millis(1));
    assert!(cut.load(Ordering::Relaxed));
    for _ in 0..2 * MAX_QUEUED_LINES {
        history.note(Op::Answered { key: "k".into() }, Told::Work { end: WorkEnd::Unknown, token: None });
    }
    drop(history);
    let folder = folder("stall");
    std::fs::create_dir_all(&folder).unwrap();
    let writer = Writer::create(&folder, &Who::new("n1", 7), format::FILE_BYTES).unwrap();
    write(writer, &lines, &cut);
    let report = check_folder(&folder).unwrap();
    assert!(!report.is_fine(), "{report:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[tokio::test]
async fn ends_in_views_are_written_once_and_tables_with_their_epochs() {
    let folder = folder("shown");
    let history = History::start(&wanted(&folder), "n1", 7).unwrap();
    let mut shown = Shown::default();
    let heard = |key: &str, end| AwaitedEnd { key: key.to_string(), digest: 1, end };
    let work = |ended: Vec<AwaitedEnd>| Arc::from(MemberView { owned: Vec::new(), ended }.to_bytes());
    let mut newest = Newest::new();
    let first = heard("a", End::Failed);
    newest.insert("work".into(), (1, work(vec![first.clone(), heard("n", End::NeverRan)])));
    newest.insert("steering".into(), (5, Arc::from(&b"table"[..])));
    shown.note(&newest, &history);
    shown.note(&newest, &history);
    newest.insert("work".into(), (2, work(vec![first, heard("b", End::Unknown)])));
    shown.note(&newest, &history);
    let records = ended(&folder, history, |records| records.len() >= 3).await;
    let keys: Vec<&str> = (records.iter())
        .filter_map(|record| if let Op::Answered { key } = &record.op { Some(key.as_str()) } else { None })
        .collect();
    assert_eq!(keys, ["a", "b"]);
    let table = Table { revision: 5, content: "table".into(), edits: Vec::new() };
    assert!(records.iter().any(|record| record.told() == Some(&Told::Table(table.clone()))));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against an edit that is recorded as failed although it was in a table on trial, or is still open.
#[tokio::test]
async fn edits_are_written_with_their_known_results_and_tables_as_operators_see_them() {
    use jaspershunt_routes::merge::RefusalReason;
    use jaspershunt_routes::trial::{Counts, RollbackReason};
    use jaspershunt_routes::{
        EditState, FinalState as OfEnd, Outcome as EditOutcome, Refusal as Not, Routes,
    };
    let folder = folder("edits");
    let history = History::start(&wanted(&folder), "n1", 7).unwrap();
    let counts = Counts::default();
    let back =
        RefusalReason::RolledBack { revision: 4, why: RollbackReason::TooFew, without: counts, with: counts };
    let came = [
        (Some(EditOutcome::Ended(OfEnd::Published(3))), format::Came::Ok(Told::Revision(3))),
        (Some(EditOutcome::Ended(OfEnd::Refused(back))), format::Came::Unknown),
        (Some(EditOutcome::Ended(OfEnd::Withdrawn("brio".into()))), format::Came::Failed),
        (Some(EditOutcome::Refused(Not::NotAuthorized)), format::Came::Failed),
        (Some(EditOutcome::Open(EditState::Accepted)), format::Came::Unknown),
        (None, format::Came::Unknown),
    ];
    for (n, (came, _)) in came.iter().enumerate() {
        let asked = history.begin_edit(format!("brio/{n}")).await;
        history.end_edit(asked, came.as_ref());
    }
    let seen = jaspershunt_fleet::parts::Part::view_for(&Routes::default(), &Holder::new("n1", 7));
    let newest = Newest::from([("routes".to_string(), (1, Arc::from(seen)))]);
    Shown::default().note(&newest, &history);
    let records = ended(&folder, history, |records| records.len() > came.len()).await;
    for (n, (_, came)) in came.iter().enumerate() {
        let op = Op::Edit { table: "routes".into(), edit: format!("brio/{n}") };
        let record = records.iter().find(|record| record.op == op).unwrap();
        assert_eq!(record.came, *came, "{n}");
    }
    let content = Value::of(r#"{"things":{}}"#);
    let table = Told::Table(Table { revision: 0, content, edits: Vec::new() });
    assert!(records.iter().any(|record| record.told() == Some(&table)), "{records:?}");
    std::fs::remove_dir_all(&folder).unwrap();
}
