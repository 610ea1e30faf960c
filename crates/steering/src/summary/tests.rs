use super::*;
use proptest::prelude::*;

fn source(edge: u8, window: u64) -> Source {
    Source { edge: format!("n{edge}"), region: format!("r{}", edge % 2), window }
}

fn summaries() -> impl Strategy<Value = Summary> {
    let stats =
        (prop::collection::vec(0..5_000_000u32, 0..6), prop::option::of(0..9999u32), 0..3u32, any::<u32>());
    let one = (0..3u8, 0..2u64, 0..4u8, stats);
    prop::collection::vec(one, 0..6).prop_map(|all| {
        let mut summary = Summary::default();
        for (edge, window, group, (round_trips, gap, timed_out, steered_away)) in all {
            let mut stats =
                GroupStats { shortest_gap_us: gap, timed_out, steered_away, ..GroupStats::default() };
            round_trips.into_iter().for_each(|us| stats.round_trips.add(us));
            let stats_by_group = BTreeMap::from([(Group::named(&format!("10.{group}.0.0/16")), stats)]);
            summary.merge(&Summary { by_source: BTreeMap::from([(source(edge, window), stats_by_group)]) });
        }
        summary
    })
}

fn merged(one: &Summary, two: &Summary) -> Summary {
    let mut both = one.clone();
    both.merge(two);
    both
}

proptest! {
    #[test]
    fn merging_summaries_is_associative_and_commutative(a in summaries(), b in summaries(), c in summaries()) {
        prop_assert_eq!(merged(&a, &b).to_bytes(), merged(&b, &a).to_bytes());
        prop_assert_eq!(merged(&merged(&a, &b), &c).to_bytes(), merged(&a, &merged(&b, &c)).to_bytes());
        prop_assert_eq!(merged(&a, &Summary::default()).to_bytes(), a.to_bytes());
        prop_assert_eq!(Summary::from_bytes(&a.to_bytes()), Some(a));
    }

    #[test]
    fn invalid_bytes_are_rejected_as_a_summary(bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        if let Some(summary) = Summary::from_bytes(&bytes) {
            prop_assert!(summary.by_source().all(|(_, stats_by_group)| stats_by_group.values().all(|stats| stats.round_trips.is_valid())));
        }
    }
}

#[test]
fn a_summary_keeps_its_size_limit_without_losing_samples() {
    let mut stats_by_group: BTreeMap<Group, GroupStats> = BTreeMap::new();
    for group in 0..900u32 {
        let stats = stats_by_group
            .entry(Group::named(&format!("10.{}.{}.0/24", group / 30, group % 30)))
            .or_default();
        (0..10).for_each(|i| stats.round_trips.add(1000 * (i + 1) * (group + 1)));
    }
    let (summary, dropped) = Summary::of(source(1, 1), stats_by_group);
    assert!(summary.to_bytes().len() <= MAX_SUMMARY_BYTES);
    let weight: u64 = summary
        .by_source()
        .flat_map(|(_, stats_by_group)| stats_by_group.values())
        .map(GroupStats::weight)
        .sum();
    assert_eq!((weight, dropped), (9000, 0));
}

#[test]
fn sources_and_groups_of_a_summary_are_bounded() {
    let mut summary = Summary::default();
    for edge in 0..1100 {
        let of = Source { edge: format!("n{edge}"), region: "r".into(), window: 0 };
        summary.merge(&Summary { by_source: BTreeMap::from([(of, BTreeMap::new())]) });
    }
    assert_eq!(summary.by_source.len(), MAX_SOURCES);
    let stats_by_group =
        (0..300).map(|i| (Group::named(&format!("balancer:{i}")), GroupStats::default())).collect();
    let mut many = Summary::default();
    many.merge(&Summary { by_source: BTreeMap::from([(source(1, 1), stats_by_group)]) });
    assert_eq!(many.by_source[&source(1, 1)].len(), MAX_GROUPS_PER_SUMMARY);
}
