//! The measurement of leases: seeded simulations, fault injection into real nodos, and the message load of
//! the busiest voter.

use super::fault_injection::{self, InjectionOutcome};
use super::schedule::Scenario;
use super::simulation::{Outcome, Simulation};
use super::{Totals, mutants, soak};
use crate::report::{Figure, table, verdict};
use crate::site::on_one_thread;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Duration and threads of the simulated soak.
const SOAK_TIME: Duration = Duration::from_secs(10);
const THREADS: usize = 6;
/// Fleets of real nodos that run in parallel, and the time of their faults.
const FLEETS: u64 = 10;
const FAULT_TIME: Duration = Duration::from_secs(24);
/// Parallel fleets in which only leaders are killed.
const LEADER_KILL_FLEETS: u64 = 4;
/// Schedules for each removed rule.
const SCHEDULES_PER_RULE: u64 = 100;
/// Leases of the large simulated fleets, and the simulated time.
const LEASES: usize = 50;
const LARGE_FLEET_TIME: Duration = Duration::from_secs(20);

/// Returns the `part` quantile of the values, or 0 if there are none.
pub fn percentile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1) as f64;
    sorted.get((last * part).ceil() as usize).copied().unwrap_or(0.0)
}

/// Simulates a fleet of this size with many leases and no faults.
fn large_fleet(members: usize) -> Outcome {
    let mut scenario = Scenario::without_faults(1, members, 3);
    scenario.ttl = Duration::from_secs(10);
    scenario.tasks = LEASES;
    scenario.fault_window = LARGE_FLEET_TIME;
    scenario.recovery_timeout = Duration::from_secs(1);
    Simulation::new(scenario, false).play()
}

/// Runs fleets in parallel, as tasks on this thread.
fn run_in_parallel<F: Future<Output = io::Result<InjectionOutcome>> + 'static>(
    fleets: u64,
    play: impl Fn(u64) -> F,
) -> io::Result<Vec<InjectionOutcome>> {
    on_one_thread(async {
        let mut outcomes = Vec::new();
        for play in (0..fleets).map(|n| spawn_local(play(n))).collect::<Vec<_>>() {
            outcomes.push(play.await.map_err(io::Error::other)??);
        }
        Ok(outcomes)
    })
}

/// Measures kills of leaders alone, at least `kills` in all. Returns whether the bounds hold.
pub fn leaders(nodo: &Path, seed: u64, kills: usize) -> io::Result<bool> {
    let each = kills.div_ceil(LEADER_KILL_FLEETS as usize);
    let outcomes = run_in_parallel(LEADER_KILL_FLEETS, |n| {
        let nodo = nodo.to_path_buf();
        async move { fault_injection::leaders(&nodo, seed * 100 + n, each).await }
    })?;
    outcomes.iter().filter(|outcome| !outcome.logs.is_empty()).for_each(|t| eprintln!("{}", t.logs));
    let add = |of: fn(&InjectionOutcome) -> usize| outcomes.iter().map(of).sum::<usize>();
    let (played, acts) = (add(|t| t.leader_kills), add(|t| t.acts));
    let figures = [
        Figure::new(
            "the one that leads is killed, the holder lives",
            played,
            format!("≥ {kills}"),
            played >= kills,
        ),
        Figure::zero("times missed that were due", add(|t| t.missed)),
        Figure::zero("acts at once, nothing checking tokens", add(|t| t.overlaps)),
        Figure::zero("a lower token taken after a higher", add(|t| t.stale_token_acts)),
        Figure::zero("fleets that do not recover", add(|t| usize::from(!t.recovered))),
    ];
    let (rows, last, holds) = verdict("leases, the one that leads", &figures);
    println!("{LEADER_KILL_FLEETS} fleets of five, {acts} acts.\n\n{rows}\n\n{last}");
    Ok(holds)
}

/// Runs the whole measurement and prints its report. Returns whether the bounds hold.
pub fn measure(nodo: &Path, out: Option<&Path>, seed: u64) -> io::Result<bool> {
    let from = seed * 1_000_000;
    let began = Instant::now();
    let totals: Totals = soak(from..from + 100_000, THREADS, |_| began.elapsed() > SOAK_TIME);
    let mutant_results = mutants(SCHEDULES_PER_RULE, THREADS, "");
    let outcomes = run_in_parallel(FLEETS, |n| {
        let nodo = nodo.to_path_buf();
        async move { fault_injection::play(&nodo, seed * 100 + n, FAULT_TIME).await }
    })?;
    let (small, big) = (large_fleet(30), large_fleet(300));
    let per_second = |outcome: &Outcome| {
        let time = outcome.duration.as_secs_f64().max(0.001);
        (outcome.busiest.0 as f64 / time, outcome.busiest.1 as f64 / time / 1024.0)
    };
    let (few, many) = (per_second(&small), per_second(&big));
    let add = |of: fn(&InjectionOutcome) -> usize| outcomes.iter().map(of).sum::<usize>();
    let faults = add(|t| t.kills) + add(|t| t.pauses) + add(|t| t.cuts);
    let gaps: Vec<f64> = outcomes.iter().flat_map(|outcome| outcome.gaps.clone()).collect();
    let (p50, p99) = (percentile(&gaps, 0.5), percentile(&gaps, 0.99));
    let quorum = outcomes.iter().map(|t| t.quorum_recovery.unwrap_or(f64::INFINITY)).fold(0.0, f64::max);
    let baseline: usize = mutant_results.iter().filter(|(.., found)| found.is_some()).count();
    let figures = [
        Figure::zero("seeded schedules that broke an invariant", totals.violations.len()),
        Figure::new(
            "rules left out, found within 100 schedules (the baseline: not 0)",
            format!("{baseline} of {}", mutant_results.len()),
            "> 0",
            baseline > 0,
        ),
        Figure::new("real processes: kills, freezes and cuts", faults, "≥ 500", faults >= 500),
        Figure::zero("acts at once, nothing checking tokens", add(|t| t.overlaps)),
        Figure::zero("a lower token taken after a higher", add(|t| t.stale_token_acts)),
        Figure::zero("fleets that do not recover at the end", add(|t| usize::from(!t.recovered))),
        Figure::new(
            "a holder is killed, until the next act, p50, leases' time",
            format!("{p50:.2}"),
            "≤ 1.5",
            p50 <= 1.5,
        ),
        Figure::new("the same, p99", format!("{p99:.2}"), "≤ 2.5", p99 <= 2.5),
        Figure::zero(
            "the one that leads is killed, the holder lives: times missed that were due",
            add(|t| t.missed),
        ),
        Figure::zero("no quorum: requests of balancers not served", add(|t| t.unserved)),
        Figure::new(
            "the quorum is back, until tasks go on, the slowest, leases' time",
            format!("{quorum:.2}"),
            "≤ 2",
            quorum <= 2.0,
        ),
        Figure::new(
            "messages a second at the busiest voter, 300 members against 30",
            format!("{:.0} / {:.0}", many.0, few.0),
            "≤ 10 times",
            many.0 <= 10.0 * few.0,
        ),
        Figure::new(
            "KiB a second there",
            format!("{:.0} / {:.0}", many.1, few.1),
            "≤ 10 times",
            many.1 <= 10.0 * few.1,
        ),
    ];
    let (rows, last, holds) = verdict("leases", &figures);
    let mutants = mutant_results.iter().map(|(mutant, played, found)| {
        let found =
            found.as_ref().map_or(("–".to_string(), "not within these".to_string()), |(seed, what)| {
                (seed.to_string(), what.clone())
            });
        vec![format!("{mutant:?}"), found.0, played.to_string(), found.1]
    });
    let mutants =
        table(&["rule left out", "seed", "schedules", "what is found"], &mutants.collect::<Vec<_>>());
    let mut text = format!(
        "{} schedules: {} acts, {} turned away, {} leases granted, {} leader changes. Real nodos, ten fleets of five: \
         {} kills, {} freezes, {} cuts; {} acts, {} turned away; {} kills of a holder, {} kills of a leader that was not the holder.\n\n{rows}\n\n{mutants}\n",
        totals.schedules,
        totals.acts,
        totals.turned_away,
        totals.leases_granted,
        totals.leader_changes,
        add(|t| t.kills),
        add(|t| t.pauses),
        add(|t| t.cuts),
        add(|t| t.acts),
        add(|t| t.turned_away),
        gaps.len(),
        add(|t| t.leader_kills),
    );
    for (seed, what) in totals.violations.iter().take(10) {
        let _ = writeln!(text, "seed {seed}: {what}");
    }
    for outcome in outcomes.iter().filter(|outcome| !outcome.logs.is_empty()) {
        eprintln!("{}", outcome.logs);
    }
    println!("{text}");
    if let Some(out) = out {
        let head =
            format!("# Leases, measured\n\n    make measure-leases OUT=docs/measured   # seed {seed}\n\n");
        std::fs::write(out.join("leases.md"), format!("{head}{text}\n{last}\n"))?;
    }
    println!("{last}");
    Ok(holds)
}
