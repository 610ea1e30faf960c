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

/// Two members; the first holds a lease and the second is queued for it.
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
fn a_lease_expires_after_its_ttl_and_a_margin_without_a_request() {
    let (mut leader, mut fleet) = (Leader::new(at(100.0), TIMING), fleet());
    // Both send requests, the holder its last one at 104.
    assert!(leader.tick(at(100.0), &fleet).is_empty());
    leader.request_renewal(at(104.0), request(one(), 1));
    leader.request_renewal(at(114.0), request(two(), 1));
    assert!(leader.tick(at(114.5), &fleet).is_empty());
    let end = Entry::Expire { lease: "l".into(), token: 1 };
    assert_eq!(leader.tick(at(114.6), &fleet), std::slice::from_ref(&end));
    assert!(leader.tick(at(114.7), &fleet).is_empty(), "proposed once");
    // The expiry is proposed: the lease is not renewed.
    leader.request_renewal(at(114.8), request(one(), 2));
    assert!(leader.begin_confirmation());
    assert!(leader.confirmation_succeeded(&fleet).iter().all(|answer| answer.leases.is_empty()));
    assert_eq!(fleet.apply(&end), Outcome::Done);
    // The next holder has the full time from here on.
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
fn nothing_is_renewed_before_a_majority_confirms_after_the_request() {
    let (mut leader, fleet) = (Leader::new(at(0.0), TIMING), fleet());
    assert!(!leader.begin_confirmation());
    leader.request_renewal(at(1.0), request(one(), 1));
    assert!(leader.begin_confirmation());
    // These arrive while a confirmation is in progress that began before them.
    leader.request_renewal(at(1.1), request(two(), 1));
    leader.request_renewal(at(1.2), request(one(), 2));
    assert!(!leader.begin_confirmation());
    let answers = leader.confirmation_succeeded(&fleet);
    assert_eq!(
        answers,
        [ConfirmedRenewal { request: request(one(), 1), leases: vec![("l".into(), 1)], enrolled: true }]
    );
    assert!(leader.begin_confirmation());
    // The confirmation fails; the next one covers these too.
    leader.confirmation_failed();
    leader.request_renewal(at(1.3), request(two(), 2));
    assert!(leader.begin_confirmation());
    let answers = leader.confirmation_succeeded(&fleet);
    let renewed: Vec<(&str, u64, usize)> =
        answers.iter().map(|a| (&*a.request.holder.member, a.request.number, a.leases.len())).collect();
    assert_eq!(renewed, [("n2", 2, 0), ("n1", 2, 1)]);
    // An earlier incarnation keeps its lease, and is told that it is no longer the current one.
    let mut fleet = fleet;
    fleet.apply(&Entry::Enrol { holder: Holder::new("n1", 2) });
    for holder in [one(), Holder::new("n1", 2)] {
        leader.request_renewal(at(2.0), request(holder, 3));
    }
    assert!(leader.begin_confirmation());
    let renewed: Vec<(bool, usize)> =
        leader.confirmation_succeeded(&fleet).iter().map(|a| (a.enrolled, a.leases.len())).collect();
    assert_eq!(renewed, [(false, 1), (true, 0)]);
}

#[test]
fn a_revoked_lease_is_not_renewed_and_expires() {
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
    // The holder relies on its renewal at 4 until nearly 14.
    assert_eq!(leader.tick(at(14.4), &fleet), []);
    assert_eq!(leader.tick(at(14.6), &fleet), [Entry::Expire { lease: "l".into(), token: 1 }]);
}

/// The requests arrive and the answers do not: the lease expires, though not before the last answer that the
/// holder may have received is over.
#[test]
fn a_holder_that_receives_no_answers_loses_its_lease() {
    let (mut leader, fleet) = (Leader::new(at(0.0), TIMING), fleet());
    let mut ended = None;
    for tenth in 0u32..400 {
        let now = at(f64::from(tenth) / 10.0);
        if tenth % 20 == 0 {
            // Until 6 it receives the answers.
            let received = u64::from(tenth.min(60) / 20);
            leader.acknowledge_answer(now, &one(), received);
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
    // Without answers from 16.6 on; its last renewal is of 16, and is waited out.
    assert_eq!(ended, Some(266));
}

#[test]
fn silent_candidates_leave_the_queue_and_silent_members_are_removed() {
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
fn renewal_requests_are_bounded() {
    let mut leader = Leader::new(at(0.0), TIMING);
    for n in 0..MAX_RENEWAL_REQUESTS + 1 {
        let taken = leader.request_renewal(at(0.0), request(Holder::new(&format!("m{n}"), 1), 1));
        assert_eq!(taken, n < MAX_RENEWAL_REQUESTS);
    }
    // State of members that are no longer known is dropped.
    leader.tick(at(1.0), &Fleet::default());
    assert!(leader.heard_at.is_empty());
}

/// A silent candidate that is granted a lease stays a member; its removal is proposed again once it holds
/// nothing.
#[test]
fn the_removal_of_a_silent_member_granted_a_lease_is_proposed_again() {
    let (mut leader, mut fleet) = (Leader::new(at(0.0), TIMING), fleet());
    fleet.apply(&Entry::Acquire { lease: "m".into(), holder: two() });
    leader.tick(at(0.0), &fleet);
    leader.request_renewal(at(10.0), request(one(), 1));
    leader.request_renewal(at(1.0), request(two(), 1));
    let gone = Entry::Gone { holder: two() };
    let entries = leader.tick(at(11.6), &fleet);
    assert_eq!(entries, [Entry::Expire { lease: "m".into(), token: 2 }, gone.clone()]);
    // The lease was granted to it meanwhile, so it stays a member.
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

/// An incarnation that parts have data for is removed after one lease TTL of silence, any other after ten.
#[test]
fn a_silent_member_with_data_in_parts_is_removed_sooner() {
    let (mut leader, mut fleet) = (Leader::new(at(0.0), TIMING), Fleet::default());
    [one(), two()].into_iter().for_each(|holder| drop(fleet.apply(&Entry::Enrol { holder })));
    let has = |holder: &Holder| *holder == one();
    assert_eq!(leader.tick_with_parts(at(10.4), &fleet, has), []);
    assert_eq!(leader.tick_with_parts(at(10.6), &fleet, has), [Entry::Gone { holder: one() }]);
    assert_eq!(leader.tick_with_parts(at(104.0), &fleet, has), []);
    assert_eq!(leader.tick_with_parts(at(106.0), &fleet, has), [Entry::Gone { holder: two() }]);
}
