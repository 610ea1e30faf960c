use super::*;

const TIMING: LeaseTiming = LeaseTiming { ttl: Duration::from_secs(10), drift_permille: 100 };

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn leases() -> HeldLeases {
    HeldLeases::new(Holder::new("n1", 1), TIMING)
}

fn holds(token: u64) -> Vec<(String, u64)> {
    vec![("l".to_string(), token)]
}

#[test]
fn a_lease_counts_from_before_the_request_was_sent() {
    let mut leases = leases();
    assert_eq!(leases.start_renewal(at(100.0)), Some(1));
    assert_eq!(leases.start_renewal(at(100.1)), None, "not due yet");
    assert_eq!(leases.next_renewal_at(), at(102.25));
    leases.renewed(at(104.0), 1, &holds(5));
    assert_eq!(leases.held(at(104.0), "l"), Some(HeldLease { token: 5, since: at(104.0), until: at(109.0) }));
    assert!(leases.held(at(108.9), "l").is_some() && leases.held(at(109.0), "l").is_none());
    assert_eq!(leases.start_renewal(at(105.0)), Some(2));
    leases.renewed(at(105.1), 2, &holds(5));
    assert_eq!(leases.held(at(113.9), "l").unwrap().since, at(104.0));
    leases.renewed(at(113.0), 2, &holds(5));
    assert!(leases.held(at(114.0), "l").is_none(), "an answer that comes twice counts once");
}

#[test]
fn answers_may_come_in_any_order() {
    let mut leases = leases();
    for second in [0.0, 3.0, 6.0] {
        leases.start_renewal(at(second));
    }
    leases.renewed(at(6.1), 3, &holds(5));
    // The lease was lost to another incarnation and won again meanwhile, as far as this process knows.
    leases.renewed(at(6.2), 2, &holds(4));
    assert_eq!(leases.held(at(6.3), "l").unwrap().token, 5);
    leases.renewed(at(6.3), 1, &[]);
    assert_eq!(leases.held(at(6.4), "l").unwrap().until, at(15.0));
    leases.start_renewal(at(9.0));
    leases.start_renewal(at(12.0));
    leases.renewed(at(12.1), 5, &[]);
    assert!(leases.held(at(12.2), "l").is_none());
    leases.renewed(at(12.2), 4, &holds(5));
    assert!(leases.held(at(12.3), "l").is_none(), "an old answer brings nothing back");
    // A released lease is not held, even if a later answer names it.
    leases.start_renewal(at(15.0));
    leases.renewed(at(15.1), 6, &holds(7));
    assert_eq!(leases.release("l"), Some(7));
    assert!(leases.held(at(15.2), "l").is_none() && leases.release("l").is_none());
    for n in 0..100 {
        leases.start_renewal(at(20.0 + 3.0 * f64::from(n)));
    }
    assert_eq!(leases.sent_at.len(), MAX_OPEN_RENEWALS);
}

#[test]
fn a_timed_act_begins_after_the_previous_holders_acts_and_ends_within_the_lease() {
    let grade = Grade::Timed { max_act: at(1.0), max_delay: at(0.5) };
    let mut leases = leases();
    assert_eq!(leases.may_act(at(0.0), "l", grade), Err(NoPermit::NotHeld));
    leases.start_renewal(at(0.0));
    leases.renewed(at(0.2), 1, &holds(5));
    // 1.5 s by the slowest clock take 1.834 s by the fastest.
    let wait_until = at(0.2) + TIMING.wait_to_outlast(at(1.5));
    assert_eq!(
        leases.may_act(at(2.0), "l", grade),
        Err(NoPermit::PreviousHolderMayAct { until: wait_until })
    );
    assert_eq!(leases.may_act(wait_until, "l", grade), Ok(Permit { token: 5, until: wait_until + at(1.0) }));
    assert!(leases.may_act(at(8.0), "l", grade).is_ok());
    assert_eq!(leases.may_act(at(8.1), "l", grade), Err(NoPermit::TooLate));
    assert_eq!(leases.may_act(at(9.0), "l", grade), Err(NoPermit::NotHeld));
    for grade in [Grade::Checked, Grade::Agreed] {
        assert_eq!(leases.may_act(at(0.2), "l", grade), Ok(Permit { token: 5, until: at(9.0) }));
        assert!(!grade.explain().is_empty());
    }
    assert!(grade.explain().contains("Beyond that two may act at once"));
}

/// Found by the model: a renewal request that arrives before the release is answered with the lease, and the
/// answer arrives after the release.
#[test]
fn an_old_answer_does_not_bring_back_a_released_lease() {
    let mut leases = leases();
    leases.start_renewal(at(0.0));
    leases.renewed(at(0.1), 1, &holds(5));
    assert_eq!(leases.release("l"), Some(5));
    leases.start_renewal(at(3.0));
    leases.renewed(at(3.1), 2, &holds(5));
    assert!(leases.held(at(3.2), "l").is_none());
    // Under another token it is a new grant, and the record of the release is dropped.
    leases.start_renewal(at(6.0));
    leases.renewed(at(6.1), 3, &holds(8));
    assert_eq!(leases.held(at(6.2), "l").unwrap().token, 8);
    assert!(leases.released.is_empty());
}
