use super::*;
use crate::tables::{MAX_REGIONS, Place, TOTAL_SHARE, Why};
use jaspershunt_fleet::parts::Part as _;

fn row(regions: usize) -> Row {
    let place = |at| Place {
        region: format!("r{at:02}"),
        share: if at == 0 { TOTAL_SHARE } else { 0 },
        delay_ms: Some(9),
    };
    Row { places: (0..regions).map(place).collect(), why: Why::Found, moved_ms: 1 << 40, before: None }
}

fn step(epoch: u64, groups: std::ops::Range<usize>) -> Entry {
    let rows = groups.map(|at| (Group::named(&format!("balancer:{at}")), Some(row(2)))).collect();
    Entry::Step { epoch, rows }
}

#[test]
fn only_the_next_epoch_is_taken() {
    let mut part = Part::default();
    assert_eq!(part.apply_entry(&step(1, 0..2)), Outcome::Taken { epoch: 1 });
    assert_eq!(part.apply_entry(&step(2, 1..3)), Outcome::Taken { epoch: 2 });
    for old in [0, 1, 2, 4] {
        let refused = Outcome::Refused(Refusal::NotTheNextEpoch { last: 2 });
        assert_eq!(part.apply_entry(&step(old, 7..9)), refused, "epoch {old}");
    }
    assert_eq!((part.tables().epoch, part.tables().rows.len()), (2, 3));
}

#[test]
fn invalid_entries_change_nothing() {
    let (mut part, fleet) = (Part::default(), Fleet::default());
    let mut odd = row(2);
    odd.places[0].share = 999;
    let entry = Entry::Step { epoch: 1, rows: vec![(Group::All, Some(odd))] };
    let outcome = |part: &mut Part, bytes: &[u8]| Outcome::from_bytes(&part.apply(&fleet, bytes));
    assert_eq!(outcome(&mut part, &entry.to_bytes()), Some(Outcome::Refused(Refusal::InvalidRow)));
    assert_eq!(outcome(&mut part, &[9; 40]), Some(Outcome::Refused(Refusal::NotAnEntry)));
    let rows = vec![(Group::All, Some(row(MAX_REGIONS))); 90];
    let long = Entry::Step { epoch: 1, rows }.to_bytes();
    assert!(long.len() > MAX_ENTRY_BYTES);
    assert_eq!(outcome(&mut part, &long), Some(Outcome::Refused(Refusal::NotAnEntry)));
    let many = step(1, 0..MAX_GROUPS + 1);
    assert_eq!(part.apply_entry(&many), Outcome::Refused(Refusal::TooManyGroups));
    assert_eq!(part, Part::default());
}

#[test]
fn a_full_table_is_split_into_entries_within_the_limit() {
    let mut wanted = Tables::default();
    for at in 0..MAX_GROUPS {
        wanted.rows.insert(Group::named(&format!("10.{}.{}.0/24", at / 16, at % 16)), row(MAX_REGIONS));
    }
    let (mut part, fleet) = (Part::default(), Fleet::default());
    let entries = Entry::between(part.tables(), &wanted);
    assert!(entries.len() > 1);
    for entry in &entries {
        let outcome = Outcome::from_bytes(&part.apply(&fleet, &entry.to_bytes()));
        assert!(matches!(outcome, Some(Outcome::Taken { .. })), "{outcome:?}");
    }
    assert_eq!(part.tables().rows, wanted.rows);
    assert!(Entry::between(part.tables(), &wanted).is_empty());

    let mut other = Part::default();
    assert!(other.load(&part.save()));
    assert_eq!(other, part);
    assert!(!other.load(&[255; 9]));
    let one = Holder::new("n1", 1);
    assert_eq!(MemberView::from_bytes(&other.view_for(&one)).unwrap().tables, *part.tables());
    assert_eq!(other.epoch(&one), entries.len() as u64);
}
