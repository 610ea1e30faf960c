use super::*;
use crate::state::Outcome;

const TIMING: LeaseTiming = LeaseTiming { ttl: Duration::from_secs(10), drift_permille: 50 };

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn one() -> Holder {
    Holder::new("n1", 1)
}

fn two() -> Holder {
    Holder::new("n2", 1)
}

/// Two members, the first of which holds a lease that the second waits for.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for holder in [one(), two()] {
        fleet.apply(&Entry::Enrol { holder: holder.clone() });
        fleet.apply(&Entry::Acquire { lease: "l".into(), holder });
    }
    fleet
}

fn request(holder: Holder, number: u64) -> RenewalRequest {
    RenewalRequest { holder, number }
}

#[test]
fn a_lease_ends_when_its_holder_was_silent_for_all_of_its_time_and_a_margin() {
    let (mut leader, mut fleet) = (Leader::new(at(100.0), TIMING), fleet());
    // Both are heard, the holder last at 104.
    assert!(leader.tick(at(100.0), &fleet).is_empty());
    leader.request_renewal(at(104.0), request(one(), 1));
    leader.request_renewal(at(114.0), request(two(), 1));
    assert!(leader.tick(at(114.5), &fleet).is_empty());
    let end = Entry::Expire { lease: "l".into(), token: 1 };
    assert_eq!(leader.tick(at(114.6), &fleet), std::slice::from_ref(&end));
    assert!(leader.tick(at(114.7), &fleet).is_empty(), "said once");
    // It is on its way: the lease does not go on.
    leader.request_renewal(at(114.8), request(one(), 2));
    assert!(leader.begin_confirmation());
    assert!(leader.confirmation_succeeded(&fleet).iter().all(|answer| answer.leases.is_empty()));
    assert_eq!(fleet.apply(&end), Outcome::Done);
    // The next one has all of its time from here on.
    assert!(leader.tick(at(115.0), &fleet).is_empty());
    assert!(leader.tick(at(124.5), &fleet).is_empty());
    assert_eq!(leader.tick(at(125.6), &fleet), [Entry::Expire { lease: "l".into(), token: 2 }]);
}

#[test]
fn a_new_leader_gives_every_lease_its_full_time() {
    let (mut leader, fleet) = (Leader::new(at(100.0), TIMING), fleet());
    assert!(leader.tick(at(100.0), &fleet).is_empty());
    leader.request_renewal(at(105.0), request(two(), 1));
    assert!(leader.tick(at(110.4), &fleet).is_empty());
    assert_eq!(leader.tick(at(110.6), &fleet).len(), 1);
}

#[test]
fn nothing_goes_on_before_a_majority_has_said_so_after_it_was_asked() {
    let (mut leader, fleet) = (Leader::new(at(0.0), TIMING), fleet());
    assert!(!leader.begin_confirmation());
    leader.request_renewal(at(1.0), request(one(), 1));
    assert!(leader.begin_confirmation());
    // These come while a confirmation is under way that began before them.
    leader.request_renewal(at(1.1), request(two(), 1));
    leader.request_renewal(at(1.2), request(one(), 2));
    assert!(!leader.begin_confirmation());
    let answers = leader.confirmation_succeeded(&fleet);
    assert_eq!(
        answers,
        [ConfirmedRenewal { request: request(one(), 1), leases: vec![("l".into(), 1)], enrolled: true }]
    );
    assert!(leader.begin_confirmation());
    // It did not come; the next covers them too.
    leader.confirmation_failed();
    leader.request_renewal(at(1.3), request(two(), 2));
    assert!(leader.begin_confirmation());
    let answers = leader.confirmation_succeeded(&fleet);
    let told: Vec<(&str, u64, usize)> =
        answers.iter().map(|a| (&*a.request.holder.member, a.request.number, a.leases.len())).collect();
    assert_eq!(told, [("n2", 2, 0), ("n1", 2, 1)]);
    // An earlier start of a member holds what it holds, and hears that it is no more the present one.
    let mut fleet = fleet;
    fleet.apply(&Entry::Enrol { holder: Holder::new("n1", 2) });
    for holder in [one(), Holder::new("n1", 2)] {
        leader.request_renewal(at(2.0), request(holder, 3));
    }
    assert!(leader.begin_confirmation());
    let told: Vec<(bool, usize)> =
        leader.confirmation_succeeded(&fleet).iter().map(|a| (a.enrolled, a.leases.len())).collect();
    assert_eq!(told, [(false, 1), (true, 0)]);
}

#[test]
fn what_operators_want_back_does_not_go_on_and_runs_out() {
    let (mut leader, mut fleet) = (Leader::new(at(0.0), TIMING), fleet());
    leader.tick(at(0.0), &fleet);
    leader.request_renewal(at(4.0), request(one(), 1));
    assert!(leader.begin_confirmation());
    assert_eq!(leader.confirmation_succeeded(&fleet)[0].leases.len(), 1);
    fleet.apply(&Entry::Revoke { lease: "l".into() });
    assert_eq!(leader.tick(at(4.1), &fleet), []);
    leader.request_renewal(at(5.0), request(one(), 2));
    assert!(leader.begin_confirmation());
    assert!(leader.confirmation_succeeded(&fleet)[0].leases.is_empty());
    leader.request_renewal(at(10.0), request(one(), 3));
    leader.request_renewal(at(14.0), request(two(), 2));
    // What it was told at 4 it counts on until nearly 14.
    assert_eq!(leader.tick(at(14.4), &fleet), []);
    assert_eq!(leader.tick(at(14.6), &fleet), [Entry::Expire { lease: "l".into(), token: 1 }]);
}

/// Its questions arrive and its answers do not: the lease ends, though not before the last answer that it may have had.
#[test]
fn a_holder_that_hears_nothing_loses_its_lease() {
    let (mut leader, fleet) = (Leader::new(at(0.0), TIMING), fleet());
    let mut ended = None;
    for tenth in 0u32..400 {
        let now = at(f64::from(tenth) / 10.0);
        if tenth % 20 == 0 {
            // Until 6 it hears the answers.
            let heard = u64::from(tenth.min(60) / 20);
            leader.acknowledge_answer(now, &one(), heard);
            leader.acknowledge_answer(now, &two(), u64::from(tenth));
            leader.request_renewal(now, request(one(), u64::from(tenth)));
            leader.request_renewal(now, request(two(), u64::from(tenth)));
            assert!(leader.begin_confirmation());
            let answers = leader.confirmation_succeeded(&fleet);
            let holds = answers.iter().any(|answer| !answer.leases.is_empty());
            assert_eq!(
                holds,
                !leader.receives_no_answers(at((f64::from(tenth) - 1.0).max(0.0) / 10.0), &one()),
                "{tenth}"
            );
        }
        if !leader.tick(now, &fleet).is_empty() {
            ended = Some(tenth);
            break;
        }
    }
    // Deaf from 16.6 on, told last at 16, and that is waited out.
    assert_eq!(ended, Some(266));
}

#[test]
fn the_silent_do_not_hold_up_the_line_and_are_forgotten_at_last() {
    let (mut leader, mut fleet) = (Leader::new(at(0.0), TIMING), fleet());
    fleet.apply(&Entry::Enrol { holder: Holder::new("n3", 1) });
    leader.tick(at(0.0), &fleet);
    leader.request_renewal(at(10.0), request(one(), 1));
    let gone = Entry::Gone { holder: two() };
    assert_eq!(leader.tick(at(10.6), &fleet), std::slice::from_ref(&gone));
    fleet.apply(&gone);
    for second in 11..106 {
        leader.request_renewal(at(f64::from(second)), request(one(), 1));
        let entries = leader.tick(at(f64::from(second)), &fleet);
        assert_eq!(entries.len(), usize::from(second == 105 && entries.len() == 1), "{second} {entries:?}");
        if let [Entry::Gone { holder }] = &entries[..] {
            assert_eq!(holder.member, "n3");
            return;
        }
    }
    assert_eq!(leader.tick(at(105.5), &fleet), [Entry::Gone { holder: Holder::new("n3", 1) }]);
}

#[test]
fn questions_are_bounded() {
    let mut leader = Leader::new(at(0.0), TIMING);
    for n in 0..MAX_RENEWAL_REQUESTS + 1 {
        let taken = leader.request_renewal(at(0.0), request(Holder::new(&format!("m{n}"), 1), 1));
        assert_eq!(taken, n < MAX_RENEWAL_REQUESTS);
    }
    // What nobody knows any more is not remembered.
    leader.tick(at(1.0), &Fleet::default());
    assert!(leader.heard_at.is_empty());
}

/// One that held while it waited elsewhere stays a member; once it holds nothing its end is said again.
#[test]
fn the_end_of_one_that_was_given_a_lease_in_its_silence_is_said_again() {
    let (mut leader, mut fleet) = (Leader::new(at(0.0), TIMING), fleet());
    fleet.apply(&Entry::Acquire { lease: "m".into(), holder: two() });
    leader.tick(at(0.0), &fleet);
    leader.request_renewal(at(10.0), request(one(), 1));
    leader.request_renewal(at(1.0), request(two(), 1));
    let gone = Entry::Gone { holder: two() };
    let entries = leader.tick(at(11.6), &fleet);
    assert_eq!(entries, [Entry::Expire { lease: "m".into(), token: 2 }, gone.clone()]);
    // The lease was given to it meanwhile, so it is left a member.
    fleet.apply(&Entry::Release { lease: "l".into(), token: 1 });
    entries.iter().for_each(|entry| drop(fleet.apply(entry)));
    assert!(fleet.is_present(&two()) && fleet.lease("l").unwrap().holder == two());
    leader.request_renewal(at(20.0), request(one(), 2));
    let has = |holder: &Holder| *holder == two();
    assert_eq!(leader.tick_with_parts(at(20.0), &fleet, has), []);
    leader.request_renewal(at(30.0), request(one(), 3));
    let end = leader.tick_with_parts(at(30.6), &fleet, has);
    assert_eq!(end, [Entry::Expire { lease: "l".into(), token: 3 }]);
    end.iter().for_each(|entry| drop(fleet.apply(entry)));
    assert_eq!(leader.tick_with_parts(at(30.7), &fleet, has), [gone]);
}

/// One that parts have something for has gone after a lease's time of silence, any other after ten.
#[test]
fn one_that_parts_have_something_for_has_gone_soon() {
    let (mut leader, mut fleet) = (Leader::new(at(0.0), TIMING), Fleet::default());
    [one(), two()].into_iter().for_each(|holder| drop(fleet.apply(&Entry::Enrol { holder })));
    let has = |holder: &Holder| *holder == one();
    assert_eq!(leader.tick_with_parts(at(10.4), &fleet, has), []);
    assert_eq!(leader.tick_with_parts(at(10.6), &fleet, has), [Entry::Gone { holder: one() }]);
    assert_eq!(leader.tick_with_parts(at(104.0), &fleet, has), []);
    assert_eq!(leader.tick_with_parts(at(106.0), &fleet, has), [Entry::Gone { holder: two() }]);
}
