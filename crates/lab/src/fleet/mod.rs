//! The fleet under seeded faults of all kinds at once: plays schedules, tells the story of one, and shrinks one that fails.

pub mod demo;
pub mod load;
pub mod measure;
pub mod schedule;
pub mod torment;
pub mod world;

use jaspershunt_fleet::mutants::{ALL, Mutant, activate};
use schedule::{AIMED, Sketch};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use world::{Came, World};

/// What many schedules came to.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    /// How many were played.
    pub schedules: u64,
    /// Seeds of those in which something was that must never be, with what.
    pub violations: Vec<(u64, String)>,
    /// Acts that had an effect, and those that were turned away.
    pub acts: u64,
    /// See there.
    pub turned_away: u64,
    /// Leases granted.
    pub tokens: u64,
    /// Changes of the one that leads.
    pub leaders: u64,
    /// Times from the last act of one holder to the first of the next, in leases' time.
    pub gaps: Vec<f64>,
}

impl Sum {
    fn add(&mut self, seed: u64, came: Came) {
        self.schedules += 1;
        self.acts += came.acts;
        self.turned_away += came.turned_away;
        self.tokens += came.tokens;
        self.leaders += came.leaders;
        self.gaps.extend(came.gaps);
        if let Some(violation) = came.violation {
            self.violations.push((seed, violation.what));
        }
    }
}

/// Plays the schedules of these seeds, on so many threads, until `stop` says so.
pub fn soak(seeds: Range<u64>, threads: usize, stop: impl Fn(&Sum) -> bool + Sync) -> Sum {
    play(seeds, |seed| seed, threads, stop)
}

fn play(
    numbers: Range<u64>,
    seed: impl Fn(u64) -> u64 + Sync,
    threads: usize,
    stop: impl Fn(&Sum) -> bool + Sync,
) -> Sum {
    let next = AtomicU64::new(numbers.start);
    let sum = Mutex::new(Sum::default());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= numbers.end {
                        return;
                    }
                    let seed = seed(number);
                    let came = World::new(Sketch::draw(seed), false).play();
                    // A panic in a schedule ends the soak anyhow.
                    let mut sum = sum.lock().unwrap_or_else(PoisonError::into_inner);
                    sum.add(seed, came);
                    if stop(&sum) {
                        next.store(numbers.end, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut sum = sum.into_inner().unwrap_or_else(PoisonError::into_inner);
    sum.violations.sort();
    sum
}

/// How often a long soak says how far it is.
const SAY_EVERY: Duration = Duration::from_secs(10);

/// Plays so many schedules, every second one aimed, tells how far it is and each seed that fails as soon as it does; whether none did.
pub fn long_soak(from: u64, schedules: u64, threads: usize, most: Option<Duration>) -> bool {
    let began = Instant::now();
    let said = Mutex::new((began, 0));
    let seed = |n: u64| from + n / 2 + if n.is_multiple_of(2) { 0 } else { AIMED };
    let sum = play(0..schedules, seed, threads, |sum| {
        let mut said = said.lock().unwrap_or_else(PoisonError::into_inner);
        for (seed, what) in sum.violations.iter().skip(said.1) {
            println!("seed {seed}: {what}");
        }
        said.1 = sum.violations.len();
        if said.0.elapsed() > SAY_EVERY {
            said.0 = Instant::now();
            let rate = sum.schedules as f64 / began.elapsed().as_secs_f64();
            eprintln!("{} of {schedules}, {rate:.1} a second, {} failed", sum.schedules, said.1);
        }
        most.is_some_and(|most| began.elapsed() > most)
    });
    let took = began.elapsed().as_secs_f64();
    println!(
        "{} schedules in {took:.0} s, {:.1} a second: {} acts, {} turned away, {} leases granted, {} changes of the one that leads; {} failed",
        sum.schedules,
        sum.schedules as f64 / took,
        sum.acts,
        sum.turned_away,
        sum.tokens,
        sum.leaders,
        sum.violations.len()
    );
    sum.violations.is_empty()
}

/// Leaves out faults as long as the schedule still fails.
pub fn shrink(mut sketch: Sketch) -> Sketch {
    let fails = |sketch: &Sketch| World::new(sketch.clone(), false).play().violation.is_some();
    let mut place = 0;
    while place < sketch.faults.len() {
        let mut less = sketch.clone();
        less.faults.remove(place);
        if fails(&less) {
            sketch = less;
        } else {
            place += 1;
        }
    }
    let mut less = sketch.clone();
    less.lost = 0.0;
    if fails(&less) { less } else { sketch }
}

/// Tells the story of a seed; whether nothing was that must never be. With `all`, everything that happened in it.
pub fn replay(seed: u64, shrinks: bool, all: bool) -> bool {
    let mut sketch = Sketch::draw(seed);
    let fails = World::new(sketch.clone(), false).play().violation.is_some();
    if fails && shrinks {
        let before = sketch.faults.len();
        sketch = shrink(sketch);
        println!("{} of {before} faults are enough", sketch.faults.len());
    }
    println!(
        "seed {seed}: {} members, {} of them voters, {} of a hundred messages lost",
        sketch.members,
        sketch.voters,
        sketch.lost * 100.0
    );
    sketch.faults.iter().for_each(|fault| println!("{fault}"));
    let came = World::new(sketch, true).play();
    let skip = if all { 0 } else { came.story.len().saturating_sub(80) };
    came.story.iter().skip(skip).for_each(|line| println!("{line}"));
    match &came.violation {
        Some(violation) => println!("seed {seed}: {} at {:?}", violation.what, violation.at),
        None => println!("seed {seed}: nothing was that must never be; {} acts", came.acts),
    }
    came.violation.is_none()
}

/// The first seed that failed, and with what.
pub type Found = Option<(u64, String)>;

/// Leaves a rule out and plays schedules until something is that must never be, or so many are played: first aimed ones, then such that
/// are not. Returns how many were played, the first seed that found it, and what was found.
pub fn mutant(mutant: Mutant, schedules: u64, threads: usize) -> (u64, Found) {
    activate(Some(mutant));
    let found = |sum: &Sum| !sum.violations.is_empty();
    let mut sum = soak(AIMED..AIMED + schedules, threads, found);
    let aimed = sum.schedules;
    if !found(&sum) {
        sum = soak(0..schedules, threads, found);
        sum.schedules += aimed;
    }
    activate(None);
    (sum.schedules, sum.violations.first().cloned())
}

/// The same for each rule in turn, or for those whose name has this in it.
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
