use super::*;

fn orphan(n: u32, worth_milli: u32) -> Orphan {
    Orphan {
        key: format!("k{n:04}"),
        class: "firma".into(),
        tenant: None,
        token: u64::from(n),
        owner: Holder::new("lost", 1),
        begun: false,
        effect: Effect::Fenced,
        due_ms: 3_000,
        worth_milli,
        successors_left: 3,
    }
}

fn member(name: &str, region: &str, capacity: u32) -> EligibleMember {
    EligibleMember { holder: Holder::new(name, 1), region: region.into(), capacity, taken_over: 0 }
}

fn all(_: &Orphan) -> Option<BTreeSet<String>> {
    Some(BTreeSet::new())
}

fn as_is(_: &Orphan, regions: Vec<String>) -> Vec<String> {
    regions
}

fn assigned(plan: &TakeoverPlan, name: &str) -> usize {
    plan.assignments.iter().filter(|(_, _, successor)| successor.member == name).count()
}

#[test]
fn orphans_are_assigned_in_proportion_to_capacity() {
    let orphans: Vec<Orphan> = (0..30).map(|n| orphan(n, 1_000)).collect();
    let members = [member("a", "r", 40), member("b", "r", 20), member("c", "r", 0)];
    let plan = plan_takeovers(&orphans, &members, 0, all, as_is);
    assert_eq!((assigned(&plan, "a"), assigned(&plan, "b"), assigned(&plan, "c")), (20, 10, 0));
    assert!(plan.given_up.is_empty());
}

#[test]
fn no_member_exceeds_its_capacity_and_the_least_worth_is_given_up() {
    // Capacity for 4 now, and for 4 more in each of the three seconds until the deadline.
    let mut orphans: Vec<Orphan> = (0..20).map(|n| orphan(n, 20_000 - 1_000 * n)).collect();
    let members = [member("a", "r", 3), member("b", "s", 1)];
    let first = plan_takeovers(&orphans, &members, 0, all, as_is);
    assert_eq!((assigned(&first, "a"), assigned(&first, "b")), (3, 1));
    let given_up: Vec<u64> = first.given_up.iter().map(|(_, token, _)| *token).collect();
    assert_eq!(given_up, [16, 17, 18, 19]);
    assert!(first.given_up.iter().all(|(_, _, why)| *why == GiveUpReason::NotInTime));
    // Closer to the deadline, the work that still waits is given up.
    orphans.drain(..4);
    let last = plan_takeovers(&orphans, &members, 2_500, all, as_is);
    assert_eq!((last.assignments.len(), last.given_up.len()), (4, 12));
}

#[test]
fn routes_limit_regions_and_steering_orders_them() {
    let orphans = [orphan(1, 1_000), orphan(2, 900), orphan(3, 800), orphan(4, 700)];
    let members = [member("a", "r", 9), member("b", "s", 1), member("c", "t", 9)];
    let allowed = |one: &Orphan| (one.token != 4).then(|| BTreeSet::from(["r".to_string(), "s".to_string()]));
    // Steering also names a region that is not allowed, which is ignored.
    let preferred = |_: &Orphan, _: Vec<String>| vec!["t".to_string(), "s".to_string(), "r".to_string()];
    let plan = plan_takeovers(&orphans, &members, 0, allowed, preferred);
    assert_eq!((assigned(&plan, "b"), assigned(&plan, "a"), assigned(&plan, "c")), (1, 2, 0));
    assert_eq!(plan.given_up, [("k0004".to_string(), 4, GiveUpReason::NoRoute)]);
}

#[test]
fn takeovers_are_bounded_per_member_and_per_round() {
    let orphans: Vec<Orphan> = (0..2_000).map(|n| Orphan { due_ms: 600_000, ..orphan(n, 1_000) }).collect();
    let crowded = EligibleMember { taken_over: MAX_TAKEN_OVER - 2, ..member("a", "r", 1_000) };
    let first = plan_takeovers(&orphans, &[crowded, member("b", "r", 1_000)], 0, all, as_is);
    assert_eq!((assigned(&first, "a"), assigned(&first, "b")), (2, MAX_TAKEN_OVER));
    let many: Vec<EligibleMember> = (0..300).map(|n| member(&format!("m{n:03}"), "r", 100)).collect();
    let plan = plan_takeovers(&orphans, &many, 0, all, as_is);
    assert_eq!((plan.assignments.len(), plan.given_up.len()), (MAX_TAKEOVERS_PER_ROUND, 0));
    let most = many.iter().map(|one| assigned(&plan, &one.holder.member)).max();
    assert_eq!(most, Some(1));
}

#[test]
fn without_capacity_reports_work_waits_until_its_deadline() {
    let orphans = [orphan(1, 1_000)];
    assert_eq!(plan_takeovers(&orphans, &[], 2_999, all, as_is), TakeoverPlan::default());
    assert_eq!(plan_takeovers(&orphans, &[], 3_000, all, as_is).given_up.len(), 1);
}

#[test]
fn work_that_is_not_run_needs_no_capacity_and_work_without_successors_left_is_given_up() {
    let unknown = Orphan { begun: true, effect: Effect::Unknown, ..orphan(1, 1_000) };
    let spent = Orphan { successors_left: 0, ..orphan(2, 1_000) };
    let plan = plan_takeovers(&[unknown, spent], &[member("a", "r", 0)], 0, all, as_is);
    assert_eq!(assigned(&plan, "a"), 1);
    assert_eq!(plan.given_up, [("k0002".to_string(), 2, GiveUpReason::NoMoreSuccessors)]);
    assert_eq!(plan.entries().len(), 2);
}
