//! Simulates fleets under seeded faults of all kinds: runs many schedules, prints the timeline of one, and
//! shrinks one that fails.

pub mod demo;
pub mod fault_injection;
pub mod load;
pub mod measure;
pub mod schedule;
pub mod simulation;

use jaspershunt_fleet::mutants::{ALL, Mutant, activate};
use schedule::{FIRST_TARGETED_SEED, Scenario};
use simulation::{Outcome, Simulation};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Totals over many schedules.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Number of schedules that ran.
    pub schedules: u64,
    /// Seeds of the schedules that broke an invariant, with a description.
    pub violations: Vec<(u64, String)>,
    /// Acts that took effect.
    pub acts: u64,
    /// Acts that a resource refused because of an old token.
    pub turned_away: u64,
    pub leases_granted: u64,
    /// Changes of the leader.
    pub leader_changes: u64,
    /// Times from the last act of one holder to the first act of the next, as multiples of the lease TTL.
    pub gaps: Vec<f64>,
}

impl Totals {
    fn add(&mut self, seed: u64, outcome: Outcome) {
        self.schedules += 1;
        self.acts += outcome.acts;
        self.turned_away += outcome.turned_away;
        self.leases_granted += outcome.leases_granted;
        self.leader_changes += outcome.leader_changes;
        self.gaps.extend(outcome.gaps);
        if let Some(violation) = outcome.violation {
            self.violations.push((seed, violation.what));
        }
    }
}

/// Runs the schedules of these seeds on `threads` threads, until `stop` returns true.
pub fn soak(seeds: Range<u64>, threads: usize, stop: impl Fn(&Totals) -> bool + Sync) -> Totals {
    play(seeds, |seed| seed, threads, stop)
}

fn play(
    numbers: Range<u64>,
    seed: impl Fn(u64) -> u64 + Sync,
    threads: usize,
    stop: impl Fn(&Totals) -> bool + Sync,
) -> Totals {
    let next = AtomicU64::new(numbers.start);
    let totals = Mutex::new(Totals::default());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= numbers.end {
                        return;
                    }
                    let seed = seed(number);
                    let outcome = Simulation::new(Scenario::from_seed(seed), false).play();
                    // A panic in a schedule ends the soak when the scope joins its threads.
                    let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
                    totals.add(seed, outcome);
                    if stop(&totals) {
                        next.store(numbers.end, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut totals = totals.into_inner().unwrap_or_else(PoisonError::into_inner);
    totals.violations.sort();
    totals
}

/// Interval between two progress lines of a long soak.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(10);

/// Runs schedules, every second one targeted, and prints progress and each failing seed at once. Returns
/// whether none failed.
pub fn long_soak(from: u64, schedules: u64, threads: usize, time_limit: Option<Duration>) -> bool {
    let began = Instant::now();
    let reported = Mutex::new((began, 0));
    let seed = |n: u64| from + n / 2 + if n.is_multiple_of(2) { 0 } else { FIRST_TARGETED_SEED };
    let totals = play(0..schedules, seed, threads, |totals| {
        let mut reported = reported.lock().unwrap_or_else(PoisonError::into_inner);
        for (seed, what) in totals.violations.iter().skip(reported.1) {
            println!("seed {seed}: {what}");
        }
        reported.1 = totals.violations.len();
        if reported.0.elapsed() > PROGRESS_INTERVAL {
            reported.0 = Instant::now();
            let rate = totals.schedules as f64 / began.elapsed().as_secs_f64();
            eprintln!("{} of {schedules}, {rate:.1} a second, {} failed", totals.schedules, reported.1);
        }
        time_limit.is_some_and(|time_limit| began.elapsed() > time_limit)
    });
    let took = began.elapsed().as_secs_f64();
    println!(
        "{} schedules in {took:.0} s, {:.1} a second: {} acts, {} turned away, {} leases granted, {} leader changes; {} failed",
        totals.schedules,
        totals.schedules as f64 / took,
        totals.acts,
        totals.turned_away,
        totals.leases_granted,
        totals.leader_changes,
        totals.violations.len()
    );
    totals.violations.is_empty()
}

/// Removes faults as long as the schedule still fails.
pub fn shrink(mut scenario: Scenario) -> Scenario {
    let fails = |scenario: &Scenario| Simulation::new(scenario.clone(), false).play().violation.is_some();
    let mut index = 0;
    while index < scenario.faults.len() {
        let mut reduced = scenario.clone();
        reduced.faults.remove(index);
        if fails(&reduced) {
            scenario = reduced;
        } else {
            index += 1;
        }
    }
    let mut reduced = scenario.clone();
    reduced.loss_rate = 0.0;
    if fails(&reduced) { reduced } else { scenario }
}

/// Prints the timeline of a seed, its end or with `all` the whole. Returns whether no invariant was broken.
pub fn replay(seed: u64, shrinks: bool, all: bool) -> bool {
    let mut scenario = Scenario::from_seed(seed);
    let fails = Simulation::new(scenario.clone(), false).play().violation.is_some();
    if fails && shrinks {
        let before = scenario.faults.len();
        scenario = shrink(scenario);
        println!("{} of {before} faults are enough to fail", scenario.faults.len());
    }
    println!(
        "seed {seed}: {} members, {} of them voters, {} % of messages lost",
        scenario.members,
        scenario.voters,
        scenario.loss_rate * 100.0
    );
    scenario.faults.iter().for_each(|fault| println!("{fault}"));
    let outcome = Simulation::new(scenario, true).play();
    let skip = if all { 0 } else { outcome.timeline.len().saturating_sub(80) };
    outcome.timeline.iter().skip(skip).for_each(|line| println!("{line}"));
    match &outcome.violation {
        Some(violation) => println!("seed {seed}: {} at {:?}", violation.what, violation.at),
        None => println!("seed {seed}: no invariant was broken; {} acts", outcome.acts),
    }
    outcome.violation.is_none()
}

/// The first seed that failed, with the broken invariant.
pub type Found = Option<(u64, String)>;

/// Removes a rule and runs schedules until one breaks an invariant or the limit is reached: first targeted
/// ones, then random ones. Returns how many ran, with the first failing seed and its broken invariant.
pub fn mutant(mutant: Mutant, schedules: u64, threads: usize) -> (u64, Found) {
    activate(Some(mutant));
    let found = |totals: &Totals| !totals.violations.is_empty();
    let mut totals = soak(FIRST_TARGETED_SEED..FIRST_TARGETED_SEED + schedules, threads, found);
    let targeted = totals.schedules;
    if !found(&totals) {
        totals = soak(0..schedules, threads, found);
        totals.schedules += targeted;
    }
    activate(None);
    (totals.schedules, totals.violations.first().cloned())
}

/// Runs [`mutant`] for each rule whose name contains `rule`.
pub fn mutants(schedules: u64, threads: usize, rule: &str) -> Vec<(Mutant, u64, Found)> {
    let mut all = Vec::new();
    for one in ALL.into_iter().filter(|one| format!("{one:?}").contains(rule)) {
        let (played, found) = mutant(one, schedules, threads);
        match &found {
            Some((seed, what)) => println!("{one:?}: seed {seed}, after {played}: {what}"),
            None => println!("{one:?}: not found in {played} schedules"),
        }
        all.push((one, played, found));
    }
    all
}

#[cfg(test)]
mod tests;
