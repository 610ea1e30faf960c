use super::*;
use crate::reader::{Part, parts};
use crate::record::Round;
use crate::replay::replay;
use crate::tests::settings;
use jaspershunt::{Controller, Event, Gauges};
use std::collections::BTreeMap;

/// In-memory storage that can be full.
#[derive(Default)]
struct Memory {
    files: BTreeMap<String, Vec<u8>>,
    full: bool,
}

impl Storage for Memory {
    fn write(&mut self, name: &str, parts: &[&[u8]]) -> io::Result<()> {
        if self.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.files.insert(name.to_string(), parts.concat());
        Ok(())
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name).map(|_| ()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// Feeds rounds with one wake-up event each, and a snapshot every tenth round.
fn feed(sink: &mut Sink<Memory>, rounds: std::ops::Range<u64>, module: &mut Controller) -> Vec<WriteOutcome> {
    let mut outcomes = Vec::new();
    for number in rounds {
        let now = number as f64 / 10.0;
        if number % 10 == 0 {
            outcomes.extend(sink.take(Message::Snapshot { now, state: module.save(), auxiliary: None }));
        }
        let events =
            vec![Event::Woke { token: 0, gauges: Gauges { core_use: Some(now), ..Gauges::default() } }];
        let mut actions = Vec::new();
        module.step(now, &events, &mut actions);
        outcomes.extend(sink.take(Message::Round(Round { number, now, names: vec![], events, actions })));
    }
    outcomes
}

fn sink(bounds: Bounds) -> (Sink<Memory>, Controller) {
    let header = Header { version: "1".into(), nodo: "n1".into(), epoch: 1e9, settings: settings() };
    let limits = Limits { block_bytes: 600, snapshot_every: 1.0 };
    (Sink::new(header, limits, bounds, Memory::default()), Controller::new(settings()).unwrap())
}

fn rounds_of(bytes: &[u8]) -> u64 {
    let parts: Vec<Part> = parts(bytes).unwrap().collect();
    let replayed = replay(&parts);
    assert_eq!((replayed.difference, replayed.skipped, replayed.corrupt.len()), (None, 0, 0));
    replayed.same
}

#[test]
fn written_files_replay_and_the_oldest_are_removed() {
    let (mut sink, mut module) = sink(Bounds { ring_bytes: 6_000, max_files: 3, write_all: false });
    for n in 0..8 {
        assert!(feed(&mut sink, n * 50..n * 50 + 50, &mut module).is_empty());
        let Some(WriteOutcome::Written(name)) = sink.take(Message::WriteOut(Reason::Asked)) else {
            panic!("not written")
        };
        assert!(name.starts_with("n1-") && name.ends_with("-asked.jshcap"), "{name}");
        assert!(rounds_of(&sink.storage().files[&name]) >= 10);
        assert!(sink.ring_bytes() <= 6_000);
    }
    assert_eq!(sink.storage().files.len(), 3);
    sink.take(Message::SetRingBytes(1_000));
    assert!(sink.ring_bytes() <= 1_000);
}

/// A failed write must be reported and must not lose the kept blocks, which the next file then contains.
#[test]
fn a_full_disk_is_reported_and_the_next_file_is_complete() {
    let (mut sink, mut module) = sink(Bounds { ring_bytes: 60_000, max_files: 3, write_all: false });
    assert_eq!(
        sink.take(Message::WriteOut(Reason::Asked)),
        Some(WriteOutcome::Failed("no blocks are recorded yet".into()))
    );
    feed(&mut sink, 0..60, &mut module);
    sink.storage().full = true;
    assert!(matches!(sink.take(Message::WriteOut(Reason::Guard)), Some(WriteOutcome::Failed(_))));
    sink.storage().full = false;
    feed(&mut sink, 60..100, &mut module);
    let Some(WriteOutcome::Written(name)) = sink.take(Message::WriteOut(Reason::Guard)) else {
        panic!("not written")
    };
    assert_eq!(rounds_of(&sink.storage().files[&name]), 100);
}

/// With `write_all`, every round must be in some file.
#[test]
fn write_all_leaves_no_round_out() {
    let (mut sink, mut module) = sink(Bounds { ring_bytes: 6_000, max_files: 1_000, write_all: true });
    feed(&mut sink, 0..1_000, &mut module);
    sink.take(Message::WriteOut(Reason::End));
    let mut numbers = std::collections::BTreeSet::new();
    for bytes in sink.storage().files.values() {
        for part in parts(bytes).unwrap() {
            let Part::Block { records, .. } = part else { panic!("corrupt part") };
            numbers.extend(records.iter().filter_map(|record| match record {
                crate::record::Record::Round(round) => Some(round.number),
                _ => None,
            }));
        }
    }
    assert_eq!(numbers.len(), 1_000);
}
