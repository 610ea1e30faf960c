//! Targets of a share that has to leave a region soon after its group was moved.

use jaspershunt_steering::planner::{MAX_FILL_AT_LOSS, MIN_STAY_MS};
use jaspershunt_steering::summary::WINDOW_MS;
use jaspershunt_steering::{
    Demand, Estimates, Group, Place, Planner, Region, Row, Tables, TrafficSnapshot, Why,
};
use std::collections::BTreeMap;

const MOVED_MS: u64 = 1_000_000;
/// Requests per second of the group.
const RATE: f64 = 100.0;
const EMPTY: Region = Region { capacity: 10.0 * RATE, load: 0.0, up: true };

/// Returns the shares in `r0` to `r3`, in this order.
fn shares(row: &Row) -> [u16; 4] {
    ["r0", "r1", "r2", "r3"].map(|region| row.share(region))
}

/// Plans once, some time after a group's main region became `r1`. It has shares of 300 in `r0`, 400 in `r1`
/// and 300 in `r2`, and only the given regions are allowed from now on. Each has capacity for all, and `r0`
/// is the first choice among equals.
fn plan(after_ms: u64, allowed: &[&str], r1: Region) -> Row {
    let group = Group::named("10.1.0.0/16");
    let place = |(region, share): (&str, u16)| Place { region: region.into(), share, delay_ms: None };
    let places = [("r0", 300), ("r1", 400), ("r2", 300), ("r3", 0)].map(place).to_vec();
    let row = Row { places, why: Why::Nearer, moved_ms: MOVED_MS, before: Some("r0".into()) };
    let last = Tables { epoch: 1, rows: BTreeMap::from([(group.clone(), row)]) };
    let regions = [("r0", EMPTY), ("r1", r1), ("r2", EMPTY), ("r3", EMPTY)];
    let snapshot = TrafficSnapshot {
        regions: regions.map(|(name, region)| (name.into(), region)).into(),
        demand: BTreeMap::from([(group.clone(), Demand { rate: RATE, home: Some("r0".into()) })]),
        allowed: BTreeMap::from([(group.clone(), allowed.iter().map(|name| name.to_string()).collect())]),
    };
    let next = Planner::default().plan(MOVED_MS + after_ms, &snapshot, &Estimates::default(), &last);
    next.expect("a table that changes").rows[&group].clone()
}

#[test]
fn a_group_that_was_just_moved_keeps_its_main_region() {
    let row = plan(WINDOW_MS, &["r0", "r1"], EMPTY);
    assert_eq!((row.main_region(), row.moved_ms), (Some("r1"), MOVED_MS), "{row:?}");
    assert_eq!(shares(&row), [399, 601, 0, 0]);
}

#[test]
fn a_share_without_capacity_beside_the_main_region_leaves_anyway() {
    let room_for_50 = Region { load: EMPTY.capacity * MAX_FILL_AT_LOSS - 0.05 * RATE, ..EMPTY };
    let row = plan(WINDOW_MS, &["r0", "r1"], room_for_50);
    assert_eq!(shares(&row), [550, 450, 0, 0], "{row:?}");
}

#[test]
fn a_settled_group_goes_to_the_nearest() {
    let row = plan(MIN_STAY_MS, &["r0", "r1"], EMPTY);
    assert_eq!((shares(&row), row.moved_ms), ([600, 400, 0, 0], MOVED_MS + MIN_STAY_MS), "{row:?}");
}

#[test]
fn a_main_region_that_is_lost_or_forbidden_is_not_kept() {
    let lost = plan(WINDOW_MS, &["r0", "r1", "r2", "r3"], Region { up: false, ..EMPTY });
    assert_eq!(shares(&lost), [700, 0, 300, 0], "{lost:?}");
    let forbidden = plan(WINDOW_MS, &["r0", "r2", "r3"], EMPTY);
    assert_eq!(shares(&forbidden), [700, 0, 300, 0], "{forbidden:?}");
}
