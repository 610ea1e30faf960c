//! Compares the merge with brute force.

use jaspershunt_routes::soak::{Soaked, check_seed, check_seeds};

/// Runs the same cases each time; `ROUTES_CASES` sets their number.
#[test]
fn the_merge_finds_the_same_conflicts_as_brute_force() {
    let cases = std::env::var("ROUTES_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(2000);
    let soaked = check_seeds(1, cases);
    println!("{soaked:?}");
    assert_eq!(soaked.first, None);
    assert_eq!((soaked.false_ones, soaked.missed), (0, 0));
    // The test is only meaningful if it finds enough conflicts, including those of three edits.
    assert!(soaked.conflicts[&2] > cases / 4 && soaked.conflicts[&3] > cases / 40, "{soaked:?}");
}

/// Two edits remove the same route, and one of them also gives its tenant to another team.
#[test]
fn regression_seeds_pass() {
    assert_eq!(check_seed(3211, &mut Soaked::default()), None);
}
