//! Fleets of real nodos in three regions with partial failures under keyed work, checked by their histories
//! afterwards.

mod killed;

use crate::report::{Figure, table, verdict};
use crate::site::on_one_thread;
use jaspershunt_stand_ins::partial::faults::{FaultInjector, KINDS};
use jaspershunt_stand_ins::partial::{NODOS, Rig, TTL, Verdict};
use killed::KillResults;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Fleets that run in parallel.
const PARALLEL_FLEETS: u64 = 2;
/// Clients of each fleet, and the time between two keys of one client.
const CLIENTS: u64 = 12;
const KEY_INTERVAL: Duration = Duration::from_millis(150);
/// Limit on the time to an answer for each key after all faults have ended.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Keys that are queried in parallel at the end.
const PARALLEL_QUERIES: usize = 24;
const MIN_FAULTS_PER_ROUND: usize = 200;

/// Parameters of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Seed of the first round.
    pub seed: u64,
    /// Number of rounds, run one after another.
    pub rounds: u64,
    /// Time of the faults in each round.
    pub length: Duration,
}

/// The result of one fleet.
struct FleetOutcome {
    seed: u64,
    counts: [usize; KINDS.len()],
    verdict: Verdict,
    /// Whether all voters were in the configuration at the start and at the end.
    recovered: bool,
    /// Keys for which no client got an answer after all faults had ended.
    unanswered: usize,
    /// Answers by status: served, failed, refused, none.
    statuses: [usize; 4],
    /// Edits in force, edits that conflicted, edits that ended otherwise, and edits without an answer.
    edits: [usize; 4],
    /// The revision that all nodos converged to, and the time that took after all faults and edits had ended.
    table: Result<(u64, Duration), String>,
    write_error: Option<String>,
}

/// Runs one fleet with the faults of a seed.
async fn run_with_faults(nodo: &Path, seed: u64, length: Duration) -> io::Result<FleetOutcome> {
    let mut rig =
        Rig::start(nodo, &format!("partial-{seed}"), true, (TTL, Duration::from_millis(100))).await?;
    let ready = rig.wait_for_votes().await;
    let load = rig.clients.load(seed, CLIENTS, KEY_INTERVAL, ANSWER_TIMEOUT);
    let teams = rig.editors.load(seed, KEY_INTERVAL, ANSWER_TIMEOUT);
    let mut injector = FaultInjector::new(StdRng::seed_from_u64(seed));
    injector.play(&mut rig, length).await?;
    rig.editors.stop();
    let healed = rig.heal_all().await?;
    for team in teams {
        let _ = timeout(ANSWER_TIMEOUT, team).await;
    }
    let ended = Instant::now();
    let table = rig.wait_for_one_table().await.map(|revision| (revision, ended.elapsed()));
    rig.clients.stop();
    rig.resource.set_duration(Duration::from_millis(20));
    for client in load {
        // An error means that the task panicked, which is reported already.
        let _ = timeout(ANSWER_TIMEOUT, client).await;
    }
    let unanswered = rig.clients.query_all(seed, PARALLEL_QUERIES, ANSWER_TIMEOUT).await;
    let verdict = rig.verdict()?;
    let mut statuses = [0; 4];
    for one in rig.clients.tries().values().flatten() {
        let place = match one.status {
            200 => 0,
            503 => 2,
            0 => 3,
            _ => 1,
        };
        statuses[place] += 1;
    }
    let write_error = rig.clients.write_error().or(rig.editors.write_error());
    let (counts, recovered, edits) = (injector.counts, ready && healed, rig.editors.tally());
    let outcome =
        FleetOutcome { seed, counts, verdict, recovered, unanswered, statuses, edits, table, write_error };
    if !outcome.verdict.is_fine() || outcome.unanswered > 0 || !outcome.recovered || outcome.table.is_err() {
        let artifacts = rig.save_artifacts(&seed.to_string())?;
        let timeline: String = injector
            .timeline
            .iter()
            .map(|(at, fault)| format!("{:7.3} {fault}\n", at.as_secs_f64()))
            .collect();
        std::fs::write(artifacts.join("faults"), timeline)?;
        eprintln!("seed {seed}: histories, logs and faults are kept in {}", artifacts.display());
    }
    Ok(outcome)
}

fn percentile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1) as f64;
    sorted.get((last * part).ceil() as usize).copied().unwrap_or(f64::INFINITY)
}

/// Runs the whole measurement and prints its report. Returns whether the bounds hold.
pub fn measure(nodo: &Path, out: Option<&Path>, parameters: Parameters) -> io::Result<bool> {
    let (mut fleets, mut killed, mut without_handover) =
        (Vec::new(), KillResults::default(), KillResults::default());
    for round in 0..parameters.rounds {
        let seed = (parameters.seed + round) * 100;
        let (outcomes, with, without) = on_one_thread(async move {
            let runs: Vec<_> = (0..PARALLEL_FLEETS)
                .map(|n| {
                    let nodo = nodo.to_path_buf();
                    spawn_local(async move { run_with_faults(&nodo, seed + n, parameters.length).await })
                })
                .collect();
            let kills = [true, false].map(|handover| {
                let nodo = nodo.to_path_buf();
                spawn_local(async move { killed::play(&nodo, seed, handover, parameters.length).await })
            });
            let mut outcomes = Vec::new();
            for run in runs {
                outcomes.push(run.await.map_err(io::Error::other)??);
            }
            let [with, baseline] = kills;
            let with = with.await.map_err(io::Error::other)??;
            Ok::<_, io::Error>((outcomes, with, baseline.await.map_err(io::Error::other)??))
        })?;
        fleets.extend(outcomes);
        killed.add(with);
        without_handover.add(without);
    }
    let (text, last, holds) = report(&fleets, &killed, &without_handover, parameters);
    print!("{text}");
    if let Some(out) = out {
        let head = format!(
            "# Parts that fail, measured\n\n    make measure-partial OUT=docs/measured SEED={} ROUNDS={}\n\n",
            parameters.seed, parameters.rounds
        );
        std::fs::write(out.join("partial.md"), format!("{head}{text}\n{last}\n"))?;
    }
    println!("\n{last}");
    Ok(holds)
}

fn report(
    fleets: &[FleetOutcome],
    killed: &KillResults,
    without_handover: &KillResults,
    parameters: Parameters,
) -> (String, String, bool) {
    let add = |of: fn(&FleetOutcome) -> usize| fleets.iter().map(of).sum::<usize>();
    let faults = add(|outcome| outcome.counts.iter().sum()) + killed.kills;
    let min_faults = MIN_FAULTS_PER_ROUND * parameters.rounds as usize;
    let doubled = add(|outcome| outcome.verdict.doubled.len()) + killed.doubled;
    let without = add(|outcome| outcome.verdict.without_outcome.len()) + killed.without_outcome;
    let refused =
        add(|outcome| usize::from(!outcome.verdict.unconfirmed().is_empty())) + killed.unconfirmed.len();
    let (p50, p99) = (percentile(&killed.times, 0.5), percentile(&killed.times, 0.99));
    let figures = [
        Figure::new("faults injected", faults, format!("≥ {min_faults}"), faults >= min_faults),
        Figure::zero("effects doubled", doubled),
        Figure::zero("accepted work with no outcome", without),
        Figure::zero("histories refused, work with two outcomes among them", refused),
        Figure::zero(
            "fleets without their votes once all is healed",
            add(|outcome| usize::from(!outcome.recovered)),
        ),
        Figure::zero(
            &format!("keys of which nobody is told within {} s of that", ANSWER_TIMEOUT.as_secs()),
            add(|outcome| outcome.unanswered) + killed.unanswered,
        ),
        Figure::zero(
            "edits of four teams of which nothing is heard in that time",
            add(|outcome| outcome.edits[3]),
        ),
        Figure::zero(
            "fleets whose nodos do not come to show one route table",
            add(|outcome| usize::from(outcome.table.is_err())),
        ),
        Figure::zero(
            "histories of clients that could not be written",
            add(|outcome| usize::from(outcome.write_error.is_some())),
        ),
        Figure::new(
            "a nodo is killed: its begun work has an outcome, p50, leases' time",
            format!("{p50:.2}"),
            "≤ 1.5",
            p50 <= 1.5,
        ),
        Figure::new("the same, p99", format!("{p99:.2}"), "≤ 3", p99 <= 3.0),
        Figure::new(
            "retry by the client alone, the same kills: effects doubled (the baseline: not 0)",
            without_handover.doubled,
            "> 0",
            without_handover.doubled > 0,
        ),
    ];
    let (rows, last, holds) = verdict("partial", &figures);
    let kinds = KINDS.iter().enumerate().map(|(kind, name)| {
        let count: usize = fleets.iter().map(|outcome| outcome.counts[kind]).sum();
        vec![(*name).to_string(), count.to_string()]
    });
    let kinds = table(&["fault", "count"], &kinds.collect::<Vec<_>>());
    let each = fleets.iter().map(|outcome| {
        let [served, failed, refused, nothing] = outcome.statuses;
        let Verdict { files, keys, effects, doubled, without_outcome: without, .. } = &outcome.verdict;
        vec![
            outcome.seed.to_string(),
            outcome.counts.iter().sum::<usize>().to_string(),
            keys.to_string(),
            effects.to_string(),
            doubled.len().to_string(),
            without.len().to_string(),
            format!("{served} / {failed} / {refused} / {nothing}"),
            format!("{} / {}", files.all, files.records),
            outcome.edits[..3].iter().map(usize::to_string).collect::<Vec<_>>().join(" / "),
            outcome.table.as_ref().map_or("none".to_string(), |(revision, took)| {
                format!("{revision}, {:.2} s", took.as_secs_f64())
            }),
            if outcome.verdict.unconfirmed().is_empty() { "fine" } else { "refused" }.to_string(),
        ]
    });
    let each = table(
        &[
            "seed",
            "faults",
            "keys",
            "effects",
            "doubled",
            "no outcome",
            "served / failed / refused / unheard",
            "files / records",
            "edits in force / in conflict / ended",
            "one table",
            "histories",
        ],
        &each.collect::<Vec<_>>(),
    );
    let mut text = format!(
        "{} fleets of {NODOS} nodos in three regions under random faults for {} s each, {CLIENTS} clients, leases of {} s; {} fleets of \
         which one nodo after another is killed, with leases of {} s, {} kills, {} begun requests in hand; the same without `handover`: {} kills, {} of \
         {} keys with their effect twice, {} never served.\n\n{rows}\n\n{kinds}\n\n{each}\n",
        fleets.len(),
        parameters.length.as_secs(),
        TTL.as_secs(),
        parameters.rounds,
        killed::TTL.as_secs(),
        killed.kills,
        killed.times.len(),
        without_handover.kills,
        without_handover.doubled,
        without_handover.keys,
        without_handover.unserved,
    );
    for outcome in fleets {
        for what in outcome
            .verdict
            .unconfirmed()
            .iter()
            .chain(&outcome.write_error)
            .chain(outcome.table.as_ref().err())
        {
            let _ = writeln!(text, "\nseed {}: {what}", outcome.seed);
        }
        if outcome.verdict.doubled.len() + outcome.verdict.without_outcome.len() > 0 {
            let few = |keys: &[String]| keys.iter().take(5).cloned().collect::<Vec<_>>().join(", ");
            let (twice, none) = (few(&outcome.verdict.doubled), few(&outcome.verdict.without_outcome));
            let _ = writeln!(text, "\nseed {}: twice {twice}; no outcome {none}", outcome.seed);
        }
    }
    for what in &killed.unconfirmed {
        let _ = writeln!(text, "\nkills: {what}");
    }
    (text, last, holds)
}
