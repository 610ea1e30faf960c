use super::*;
use crate::format::{Came, FILE_BYTES, Op, Told, Who, Writer};
use crate::test_histories::table;
use std::io::Write;

/// Writes histories of a nodo with a steering table, a client that wrote and read, a resource with one
/// effect, and a process killed at its start.
fn plant(folder: &Path, most: u64) {
    let mut client = Writer::create(folder, &Who::new("client", 1), FILE_BYTES).unwrap();
    let write = client.begin(10, Op::Write { key: "x".into(), value: "1".into() }).unwrap();
    client.end(write, 20, Came::Ok(Told::Nothing)).unwrap();
    let _killed = client.begin(21, Op::Write { key: "x".into(), value: "2".into() }).unwrap();
    let mut nodo = Writer::create(folder, &Who::new("n1", 3), most).unwrap();
    let read = nodo.begin(30, Op::Read { key: "x".into() }).unwrap();
    nodo.end(read, 31, Came::Ok(Told::Value(Some("2".into())))).unwrap();
    let Came::Ok(steering) = table(1, "a", &[]) else { panic!("this is a table") };
    nodo.note(32, Op::SeenSteering, steering).unwrap();
    let mut resource = Writer::create(folder, &Who::new("resource", 1), FILE_BYTES).unwrap();
    let effect = Op::Effect { key: "k".into(), fence: None, token: 1, who: Who::new("n1", 3) };
    let ticket = resource.begin(40, effect).unwrap();
    resource.end(ticket, 41, Came::Ok(Told::Nothing)).unwrap();
    File::create(folder.join("n2-1.history")).unwrap().write_all(b"{\"head\":{\"for").unwrap();
    File::create(folder.join("notes.txt")).unwrap().write_all(b"no history").unwrap();
}

fn report(then: impl FnOnce(&Path)) -> Report {
    let folder = tempfile::tempdir().unwrap();
    plant(folder.path(), FILE_BYTES);
    then(folder.path());
    check_folder(folder.path()).unwrap()
}

#[test]
fn a_folder_is_read_as_one_history() {
    let report = report(|_| {});
    assert!(report.is_fine(), "{report}");
    assert_eq!(report.files, Files { all: 4, torn: 1, records: 5, open: 1 });
    let shown = report.to_string();
    assert!(
        shown.contains("4 files, 1 torn, 5 operations, 1 without an end") && shown.contains("registers"),
        "{shown}"
    );
}

#[test]
fn a_violation_is_shown_with_its_records() {
    let report = report(|folder| {
        let mut late = Writer::create(folder, &Who::new("client", 2), FILE_BYTES).unwrap();
        let read = late.begin(50, Op::Read { key: "x".into() }).unwrap();
        late.end(read, 51, Came::Ok(Told::Value(Some("1".into())))).unwrap();
    });
    assert!(!report.is_fine());
    let shown = report.to_string();
    assert!(shown.contains("registers: register x: no order") && shown.contains("client/2"), "{shown}");
}

#[test]
fn a_damaged_or_copied_file_cuts_every_property_short() {
    let damage = |folder: &Path| {
        let mut file = File::options().append(true).open(folder.join("n1-3.history")).unwrap();
        file.write_all(b"what is this\n").unwrap();
    };
    let copy = |folder: &Path| {
        std::fs::copy(folder.join("resource-1.history"), folder.join("copy.history")).unwrap();
    };
    for (report, why) in [(report(damage), "line 5 is damaged"), (report(copy), "of the same incarnation")] {
        let cut =
            |verdict: &Verdict| matches!(verdict, Verdict::CutShort { why: found } if found.contains(why));
        // The registers too, because a write may be missing.
        assert!(report.verdicts.iter().all(|(_, verdict)| cut(verdict)), "{report}");
    }
    let full = tempfile::tempdir().unwrap();
    plant(full.path(), 200);
    assert!(check_folder(full.path()).unwrap().to_string().contains("n1-3.history: the file was full"));
    let empty = tempfile::tempdir().unwrap();
    assert!(!check_folder(empty.path()).unwrap().is_fine());
}

#[test]
fn files_and_records_are_bounded() {
    let folder = tempfile::tempdir().unwrap();
    plant(folder.path(), FILE_BYTES);
    for (files, records, whole) in [(3, 100, true), (2, 100, false), (100, 2, false)] {
        let (history, _) = read_folder(folder.path(), files, records).unwrap();
        assert_eq!(history.cut.is_none(), whole, "{files} files, {records} records: {:?}", history.cut);
    }
}
