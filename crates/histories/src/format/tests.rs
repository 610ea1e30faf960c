use super::reader::read_at_most;
use super::*;
use std::cell::Cell;
use std::io::{self, BufRead, Write};

fn who() -> Who {
    Who::new("n1", 7)
}

fn write(value: &str) -> Op {
    Op::Write { key: "x".into(), value: value.into() }
}

/// Two operations, the second without an end, and a note.
fn sample() -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &who(), FILE_BYTES).unwrap();
    let one = writer.begin(10, write("1")).unwrap();
    let _two = writer.begin(11, write("2")).unwrap();
    writer.end(one, 20, Came::Ok(Told::Nothing)).unwrap();
    let table = Told::Table(Table { revision: 3, content: "t".into(), edits: Vec::new() });
    writer.note(30, Op::SeenSteering, table).unwrap();
    bytes
}

fn ends(file: &File) -> Vec<Option<u64>> {
    file.records.iter().map(|record| record.end).collect()
}

#[test]
fn records_round_trip() {
    let file = read(&sample()[..]).unwrap();
    assert_eq!((file.who.as_ref(), file.torn, &file.cut), (Some(&who()), false, &None));
    assert_eq!(ends(&file), [Some(20), None, Some(30)]);
    assert_eq!((&file.records[1].op, &file.records[1].came), (&write("2"), &Came::Unknown));
    assert_eq!(file.records[1].latest_end(), u64::MAX);
}

#[test]
fn a_file_truncated_at_any_byte_contains_only_true_records() {
    let (bytes, all) = (sample(), read(&sample()[..]).unwrap());
    for cut in 0..bytes.len() {
        let file = read(&bytes[..cut]).unwrap();
        assert_eq!(file.cut, None, "cut at {cut}");
        assert_eq!(file.torn, cut > 0 && bytes[cut - 1] != b'\n', "cut at {cut}");
        for (part, whole) in file.records.iter().zip(&all.records) {
            assert_eq!((&part.op, part.begin), (&whole.op, whole.begin));
            assert!(part == whole || part.came == Came::Unknown, "cut at {cut}");
        }
    }
}

#[test]
fn a_full_file_is_marked_and_within_its_limit() {
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &who(), 1000).unwrap();
    for at in 0..100 {
        let ticket = writer.begin(at, write("1")).unwrap();
        writer.end(ticket, at, Came::Ok(Told::Nothing)).unwrap();
    }
    assert!(writer.is_full());
    assert!(bytes.len() <= 1000 && bytes.ends_with(b"}}\n"), "{} bytes", bytes.len());
    let file = read(&bytes[..]).unwrap();
    assert_eq!(file.cut, Some(Cut::Full));
    assert!(file.records.len() > 3);
}

#[test]
fn invalid_lines_are_damage_and_not_a_torn_end() {
    let head = r#"{"head":{"format":"jaspershunt-history/1","who":{"process":"n1","incarnation":7}}}"#;
    let begin = r#"{"begin":{"id":1,"at":5,"op":{"read":{"key":"x"}}}}"#;
    for (lines, line) in [
        (vec![begin], 1),
        (vec![r#"{"head":{"format":"jaspershunt-history/9","who":{"process":"n1","incarnation":7}}}"#], 1),
        (vec![head, head], 2),
        (vec![head, "{"], 2),
        (vec![head, begin, begin], 3),
        (vec![head, r#"{"end":{"id":1,"at":5,"came":"failed"}}"#], 2),
        (vec![head, begin, r#"{"end":{"id":1,"at":4,"came":"failed"}}"#], 3),
        (vec![head, begin, r#"{"end":{"id":1,"at":6,"came":{"ok":"nothing"}}}"#], 3),
    ] {
        let file = read(format!("{}\n", lines.join("\n")).as_bytes()).unwrap();
        assert!(
            matches!(file.cut, Some(Cut::Damaged { line: at, .. }) if at == line),
            "{lines:?}: {:?}",
            file.cut
        );
    }
    let long = format!("{head}\n{}", "x".repeat(MAX_LINE_BYTES + 1));
    assert!(matches!(read(long.as_bytes()).unwrap().cut, Some(Cut::Damaged { line: 2, .. })));
    let bytes = sample();
    assert_eq!(read_at_most(&bytes[..], bytes.len() as u64).unwrap().cut, None);
    assert_eq!(read_at_most(&bytes[..], bytes.len() as u64 - 1).unwrap().cut, Some(Cut::TooLarge));
}

#[test]
fn mismatched_answers_are_not_written() {
    let mut writer = Writer::new(Vec::new(), &who(), FILE_BYTES).unwrap();
    let ticket = writer.begin(1, write("1")).unwrap();
    assert!(matches!(writer.end(ticket, 2, Came::Ok(Told::Swapped(true))), Err(WriteError::Mismatch)));
    let effect = Op::Effect { key: "k".into(), fence: None, token: 1, who: who() };
    assert!(matches!(writer.note(3, effect, Told::Nothing), Err(WriteError::Mismatch)));
    let key = "x".repeat(MAX_LINE_BYTES);
    assert!(matches!(writer.begin(4, Op::Read { key }), Err(WriteError::TooLong)));
}

/// A writer that fails while the disk is full.
struct Disk<'a>(&'a Cell<bool>);

impl Write for Disk<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0.get() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(bytes.len()) }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn nothing_is_written_after_a_line_that_may_be_torn() {
    let full = Cell::new(false);
    let mut writer = Writer::new(Disk(&full), &who(), FILE_BYTES).unwrap();
    full.set(true);
    assert!(matches!(writer.begin(1, write("1")), Err(WriteError::Io(_))));
    full.set(false);
    assert!(matches!(writer.begin(2, write("2")), Err(WriteError::Broken)));
}

#[test]
fn an_incarnation_has_one_file() {
    let folder = tempfile::tempdir().unwrap();
    assert!(Writer::create(folder.path(), &who(), FILE_BYTES).is_ok());
    assert!(matches!(Writer::create(folder.path(), &who(), FILE_BYTES), Err(WriteError::Io(_))));
    assert!(Writer::create(folder.path(), &Who::new("n1", 8), FILE_BYTES).is_ok());
}

#[test]
fn values_are_equal_only_if_their_bytes_are() {
    let (long, other) = (vec![b'a'; MAX_VALUE_BYTES + 1], [vec![b'a'; MAX_VALUE_BYTES], vec![b'b']].concat());
    let all: [&[u8]; 8] = [b"", b"a", b"#61", b"#", b"\n", b"\xff", &long, &other];
    let values: std::collections::BTreeSet<Value> = all.iter().map(Value::of).collect();
    assert_eq!(values.len(), all.len(), "{values:?}");
    assert_eq!(Value::of(b"plain").to_string(), "plain");
}

/// The process of the next test: writes until it is killed, and prints each record's number once it is
/// written.
#[test]
#[ignore = "the process that the next test kills"]
fn writes_until_it_is_killed() {
    let Ok(folder) = std::env::var("HISTORY_FOLDER") else { return };
    let mut writer = Writer::create(folder.as_ref(), &who(), FILE_BYTES).unwrap();
    for at in 0.. {
        let ticket = writer.begin(at, write("1")).unwrap();
        writeln!(io::stderr(), "{at}").unwrap();
        writer.end(ticket, at, Came::Ok(Told::Nothing)).unwrap();
    }
}

#[test]
fn written_records_survive_a_kill_of_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let mut process = std::process::Command::new(std::env::current_exe().unwrap())
        .args(["--ignored", "--exact", "--nocapture", "format::tests::writes_until_it_is_killed"])
        .env("HISTORY_FOLDER", folder.path())
        .stdout(std::process::Stdio::null())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut printed = io::BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
    let enough = printed.by_ref().find(|line| line == "500");
    process.kill().unwrap();
    process.wait().unwrap();
    assert!(enough.is_some(), "it did not write 500 records");
    // Every record that was printed before the kill is read back.
    let last: usize = printed.filter_map(|line| line.parse().ok()).last().unwrap_or(500);
    let file =
        read(io::BufReader::new(std::fs::File::open(folder.path().join("n1-7.history")).unwrap())).unwrap();
    assert_eq!(file.cut, None);
    assert!(file.records.len() > last, "{} of {last}", file.records.len());
    assert!(file.records[..last].iter().all(|record| record.end.is_some()));
}
