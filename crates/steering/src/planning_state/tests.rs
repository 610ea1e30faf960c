use super::*;
use crate::emulator::SeededRng;
use crate::part::{Outcome, Part, Refusal};
use crate::planner::{MAX_FILL, WARM_UP_FACTORS, WARM_UP_STEP_MS};
use crate::samples::{Edge as Sampler, Observation};
use crate::{Client, Group};
use jaspershunt_fleet::parts::Part as _;

const REPORT_INTERVAL_MS: u32 = 10_000;

fn report(edge: &str, region: &str, window: u64, seen: &[(u32, u32, u32)]) -> EdgeReport {
    let mut sampler = Sampler::new(edge, region, window).splitting_all();
    for (balancer, us, asked) in seen {
        for _ in 0..*asked {
            sampler.record(&Client::Balancer(*balancer), Observation::Request);
            sampler.record(&Client::Balancer(*balancer), Observation::RoundTrip { us: *us });
        }
    }
    let (edge, region) = (edge.to_string(), region.to_string());
    let (capacity_milli, load_milli) = (100_000, 10_000);
    EdgeReport {
        edge,
        region,
        interval_ms: REPORT_INTERVAL_MS,
        capacity_milli,
        load_milli,
        summary: sampler.close_window().to_bytes(),
    }
}

fn apply_all(part: &mut Part, entries: Vec<Entry>) {
    for entry in entries {
        let outcome = part.apply_entry(&entry);
        assert!(matches!(outcome, Outcome::Kept | Outcome::Taken { .. }), "{entry:?}: {outcome:?}");
    }
}

/// One window of two regions: all of ten balancers reach norte, and those below five are nearer to sur, as a
/// few requests there show.
fn window(part: &mut Part, at: u64, present: &[&str]) {
    let far: Vec<_> = (0..10).map(|n| (n, if n < 5 { 90_000 } else { 20_000 }, 40)).collect();
    let near: Vec<_> = (0..10).map(|n| (n, if n < 5 { 15_000 } else { 80_000 }, 10)).collect();
    for (edge, region, seen) in [("n0", "norte", &far), ("n1", "norte", &far), ("n2", "sur", &near)] {
        if present.contains(&edge) {
            apply_all(part, vec![Entry::Report(report(edge, region, at, seen))]);
        }
    }
    // The end of the window, then the plan from it.
    for _ in 0..2 {
        let entries = part.planning_state().propose(
            1_000_000 + at * u64::from(REPORT_INTERVAL_MS),
            part.tables(),
            |name| present.contains(&name),
            |_| BTreeSet::new(),
        );
        assert!(!entries.is_empty(), "window {at}");
        apply_all(part, entries);
    }
}

const ALL: [&str; 3] = ["n0", "n1", "n2"];

#[test]
fn the_leader_moves_groups_by_the_reports_of_edges() {
    let mut part = Part::default();
    for at in 1..=30 {
        window(&mut part, at, &ALL);
    }
    let main = |n| part.tables().rows[&Group::Balancer(n)].main_region().unwrap().to_string();
    assert_eq!((main(2), main(7)), ("sur".to_string(), "norte".to_string()));
    let why = part.tables().explain(&Group::Balancer(2));
    assert!(
        why.contains("in sur (15 ms); it moved from norte, which was farther by more than noise"),
        "{why}"
    );
    // Two of the three edges see 40 requests of each group in ten seconds, the third ten.
    let rate = part.planning_state().snapshot(|_| true, |_| BTreeSet::new()).demand[&Group::Balancer(7)].rate;
    assert!((rate - 9.0).abs() < 0.1, "{rate}");
}

#[test]
fn a_lost_region_is_evacuated_and_warms_up_across_leader_changes() {
    let mut part = Part::default();
    for at in 1..=30 {
        window(&mut part, at, &ALL);
    }
    window(&mut part, 31, &["n0", "n1"]);
    let share = |part: &Part| part.tables().rows.values().map(|row| u32::from(row.share("sur"))).sum::<u32>();
    assert_eq!(share(&part), 0, "{:?}", part.tables());
    window(&mut part, 32, &ALL);
    let (memory, recovered_ms) =
        (part.planning_state().memory().clone(), 1_000_000 + 32 * u64::from(REPORT_INTERVAL_MS));
    assert_eq!(memory.recovered_ms.get("sur"), Some(&recovered_ms));

    // A new leader has only the replicated state, or what was saved of it.
    let mut other = Part::default();
    assert!(other.load(&part.save()));
    assert_eq!(other, part);
    let planner = Planner::of(other.planning_state().memory(), other.planning_state().explorations());
    let sur = Region { capacity: 100.0, load: 0.0, up: true };
    let most = |after: u64| planner.max_load(recovered_ms + after, "sur", &sur, MAX_FILL);
    assert_eq!(
        (most(0), most(WARM_UP_STEP_MS)),
        (WARM_UP_FACTORS[0] * 100.0 * MAX_FILL, WARM_UP_FACTORS[1] * 100.0 * MAX_FILL)
    );
}

#[test]
fn a_window_and_its_plan_count_once() {
    let mut part = Part::default();
    window(&mut part, 1, &ALL);
    let (memory, last) = (PlannerMemory::default(), 1);
    let again = Outcome::Refused(Refusal::NotTheNextWindow { last });
    assert_eq!(part.apply_entry(&Entry::Window { number: 1, now_ms: u64::MAX }), again);
    assert_eq!(part.apply_entry(&Entry::Window { number: 2, now_ms: 5 }), again, "time does not go back");
    assert_eq!(part.apply_entry(&Entry::Planned { number: 1, memory: memory.clone() }), again);
    assert_eq!(part.apply_entry(&Entry::Planned { number: 2, memory }), again);
    let memory = PlannerMemory { budget: 1e9, ..PlannerMemory::default() };
    assert_eq!(part.apply_entry(&Entry::Planned { number: 2, memory }), Outcome::Refused(Refusal::Invalid));
}

#[test]
fn reports_that_violate_a_bound_are_refused() {
    let mut part = Part::default();
    let good = report("n0", "norte", 1, &[(1, 9_000, 3)]);
    let bad = [
        EdgeReport { edge: String::new(), ..good.clone() },
        EdgeReport { edge: "n".repeat(65), ..good.clone() },
        EdgeReport { edge: "n1".into(), ..good.clone() },
        EdgeReport { region: "sur".into(), ..good.clone() },
        EdgeReport { interval_ms: 0, ..good.clone() },
        EdgeReport { summary: vec![255; 9], ..good.clone() },
        EdgeReport { summary: vec![0; MAX_SUMMARY_BYTES + 1], ..good.clone() },
    ];
    for report in bad {
        assert_eq!(part.apply_entry(&Entry::Report(report)), Outcome::Refused(Refusal::Invalid));
    }
    assert_eq!(part, Part::default());
    assert_eq!(part.apply_entry(&Entry::Report(good)), Outcome::Kept);
    for n in 0..MAX_SOURCES {
        part.apply_entry(&Entry::Report(report(&format!("m{n}"), "norte", 1, &[])));
    }
    assert_eq!(part.planning_state().edges.len(), MAX_SOURCES);
}

#[test]
fn a_table_saved_without_planning_state_is_loaded() {
    let mut part = Part::default();
    window(&mut part, 1, &ALL);
    let mut other = Part::default();
    assert!(other.load(&postcard::to_stdvec(part.tables()).unwrap()));
    assert_eq!((other.tables(), other.planning_state()), (part.tables(), &PlanningState::default()));
    assert!(!other.load(&[part.save(), vec![7]].concat()));
}

#[test]
fn nothing_is_proposed_without_reports() {
    assert_eq!(
        PlanningState::default().propose(u64::MAX, &Tables::default(), |_| true, |_| BTreeSet::new()),
        []
    );
}

/// Simulates fleets whose edges start within one window, from a seed. Returns how many groups got a home
/// region that receives less of their traffic than another, and the number of groups.
fn misplaced_groups(seed: u64) -> (usize, usize) {
    let mut rng = SeededRng::new(seed);
    let edges: Vec<(String, String, u64)> = (0..9 + rng.below(7))
        .map(|e| (format!("n{e}"), format!("r{}", e % 3), rng.below(u64::from(REPORT_INTERVAL_MS))))
        .collect();
    // Requests per second of each group in each region.
    let groups: Vec<[f64; 3]> = (0..12)
        .map(|_| {
            let rate = 20f64.powf(rng.unit());
            let most = rng.between(0.45, 0.9);
            let mut shares = [(1.0 - most) * 0.6, most, (1.0 - most) * 0.4];
            shares.rotate_left(rng.below(3) as usize);
            shares.map(|share| share * rate)
        })
        .collect();
    let mut part = Part::default();
    for second in 1..=120 {
        let now = second * 1000;
        for (e, (edge, region, starts)) in edges.iter().enumerate() {
            if now <= *starts || (now - starts) / 1000 % 10 != 9 {
                continue;
            }
            let of = edges.iter().filter(|other| other.1 == *region).count() as f64;
            let seen: Vec<(u32, u32, u32)> = groups
                .iter()
                .enumerate()
                .map(|(g, rates)| {
                    let mean = rates[e % 3] * 10.0 / of;
                    let n = mean + mean.sqrt() * rng.normal();
                    (g as u32, 20_000, n.round().max(0.0) as u32)
                })
                .collect();
            part.apply_entry(&Entry::Report(report(edge, region, second, &seen)));
        }
        let entries =
            part.planning_state().propose(1_000_000 + now, part.tables(), |_| true, |_| BTreeSet::new());
        apply_all(&mut part, entries);
    }
    let wrong = groups.iter().enumerate().filter(|(g, rates)| {
        let row = &part.tables().rows[&Group::Balancer(*g as u32)];
        let most = (0..3).max_by(|a, b| rates[*a].total_cmp(&rates[*b])).unwrap();
        row.main_region() != Some(&format!("r{most}"))
    });
    (wrong.count(), groups.len())
}

#[test]
fn a_starting_fleet_finds_the_home_regions_of_groups() {
    let all = (0..60).map(misplaced_groups).fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
    // One in a hundred is random variation of the requests in these windows.
    assert!(all.0 * 50 < all.1, "{} of {} groups got a wrong home region", all.0, all.1);
}

#[test]
fn a_group_has_no_row_until_enough_windows_reported_it() {
    let mut part = Part::default();
    for at in 1..=u64::from(MIN_REPORTED_WINDOWS) {
        assert_eq!(part.tables().rows.len(), 0, "window {at}");
        // A new leader knows the same number of windows.
        let mut other = Part::default();
        assert!(other.load(&part.save()));
        assert_eq!(other, part);
        part = other;
        window(&mut part, at, &ALL);
    }
    assert_eq!(part.tables().rows.len(), 10);
    // State saved by builds in which one window was enough has no count of windows.
    let ground = part.planning_state();
    assert_eq!(PlanningState::from_bytes(&postcard::to_stdvec(ground).unwrap()).as_ref(), Some(ground));
    let mut bytes = ground.to_bytes();
    bytes.pop();
    assert_eq!(PlanningState::from_bytes(&bytes), None);
}
