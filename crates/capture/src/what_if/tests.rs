use super::*;
use crate::tests::{SMALL, capture, read};

#[test]
fn with_the_same_settings_all_is_the_same_and_with_more_cores_less_is_refused() {
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
