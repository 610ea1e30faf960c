//! Work has one effect at most and one outcome, whatever is lost, late, frozen or started twice.

use jaspershunt_work::sim::{Choices, run_schedule, run_schedules};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, max_shrink_iters: 20_000, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_work_has_one_outcome(choices in proptest::collection::vec(any::<u16>(), 0..600)) {
        let played = run_schedule(Choices::Given(choices, 0));
        prop_assert!(played.is_ok(), "{played:?}");
    }
}

/// Seeds at which something was found: an offer that was said never to have run, and was run for the next who asked for its key.
#[test]
fn what_once_failed_holds() {
    for seed in [7_001_451] {
        if let Err((seed, wrong)) = run_schedules(seed, 1) {
            panic!("seed {seed}: {wrong}");
        }
    }
}

/// `WORK_SCHEDULES=50000 cargo test -p jaspershunt-work --test sim -- --nocapture` plays more.
#[test]
fn seeds_play_through() {
    let schedules = std::env::var("WORK_SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(400);
    let seed = std::env::var("WORK_SEED").ok().and_then(|n| n.parse().ok()).unwrap_or(1);
    let began = std::time::Instant::now();
    let totals = match run_schedules(seed, schedules) {
        Ok(totals) => totals,
        Err((seed, wrong)) => panic!("seed {seed}: {wrong}"),
    };
    let took = began.elapsed().as_secs_f64();
    println!("{schedules} schedules, {:.0} a second: {totals:?}", schedules as f64 / took);
    // A search that sees nothing finds nothing.
    assert!(
        totals.accepted > schedules && totals.takeovers > schedules / 2 && totals.stale_tokens > 0,
        "{totals:?}"
    );
    assert!(totals.ends.iter().all(|ends| *ends > schedules / 100), "{totals:?}");
}
