use super::*;
use crate::replay::replay;
use crate::tests::{SMALL, capture, read};
use jaspershunt::RequestId;

fn rounds(bytes: &[u8]) -> Vec<Round> {
    let mut rounds = Vec::new();
    for part in read(bytes) {
        let Part::Block { records, .. } = part else { panic!("corrupt part") };
        rounds.extend(records.into_iter().filter_map(|record| match record {
            Record::Round(round) => Some(round),
            _ => None,
        }));
    }
    rounds
}

#[test]
fn a_cut_starts_with_a_snapshot_and_replays() {
    let bytes = capture(1, 500, SMALL, 0..0);
    let all = rounds(&bytes);
    for (from, to) in [(0, 499), (100, 300), (250, 250), (499, 499)] {
        let (from, to) = (all[from].now, all[to].now);
        let part = cut(&bytes, from, to).unwrap().unwrap();
        let kept = rounds(&part);
        assert!(kept[0].now <= from && kept.last().unwrap().now >= to);
        let replayed = replay(&read(&part));
        assert_eq!((replayed.same, replayed.difference, replayed.skipped), (kept.len() as u64, None, 0));
    }
    assert!(cut(&bytes, all[250].now, all[250].now).unwrap().unwrap().len() * 3 < bytes.len());
    assert_eq!(cut(b"nothing", 0.0, 1.0), Err(FormatError::NotACapture));
}

#[test]
fn redacted_names_are_consistent_and_decisions_unchanged() {
    let original = capture(1, 200, SMALL, 0..0);
    // Names repeat every 7 rounds.
    let mut named = format::file_header().to_vec();
    for part in read(&original) {
        let Part::Block { header, mut records, .. } = part else { panic!("corrupt part") };
        let mut payload = Vec::new();
        for record in &mut records {
            if let Record::Round(round) = record {
                round.names = vec![(RequestId(round.number), format!("secret{}", round.number % 7))];
            }
            format::append_record(&mut payload, record).unwrap();
        }
        format::append_block(&mut named, header, &payload).unwrap();
    }
    let hidden = redact(&named).unwrap();
    let names = |bytes: &[u8]| rounds(bytes).into_iter().flat_map(|round| round.names).collect::<Vec<_>>();
    let (before, after) = (names(&named), names(&hidden));
    assert!(after.iter().all(|(_, name)| !name.contains("secret")));
    for (n, (_, name)) in before.iter().enumerate() {
        let first = before.iter().position(|(_, other)| other == name).unwrap();
        assert_eq!(after[n].1, after[first].1);
    }
    let replayed = replay(&read(&hidden));
    assert_eq!((replayed.same, replayed.difference), (200, None));
}
