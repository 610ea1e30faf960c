use super::*;
use crate::tests::{SMALL, capture, read};

#[test]
fn same_settings_give_same_decisions_and_more_cores_fewer_refusals() {
    let parts = read(&capture(5, 500, SMALL, 0..0));
    let same = what_if(&parts, &Overrides::default());
    assert_eq!((same.rounds, same.diverges_at), (500, None));
    assert!(same.action_counts.values().all(|(then, now)| then == now));
    let more = what_if(&parts, &Overrides { cores: Some(16), memory_kb: Some(1e6), ..Overrides::default() });
    let (round, at) = more.diverges_at.unwrap();
    assert!(round > 0 && at >= 0.0);
    let (then, now) = more.action_counts["refuse"];
    assert!(now < then, "{now} of {then}");
    assert!(more.to_string().starts_with("open loop"));
}
