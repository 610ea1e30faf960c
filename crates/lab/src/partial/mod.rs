//! Fleets of real nodos in three regions, of which parts fail while keyed work goes on; judged by the histories after the fact.

mod killed;

use crate::report::{Figure, table, verdict};
use crate::site::on_one_thread;
use jaspershunt_stand_ins::partial::faults::{FaultInjector, KINDS};
use jaspershunt_stand_ins::partial::{NODOS, Rig, TTL, Verdict};
use killed::Killed;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Fleets under torment at once.
const FLEETS: u64 = 2;
/// Clients of each, and the pause between two keys of one.
const CLIENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(150);
/// Once all is healed, each key is told of within this.
const TOLD_WITHIN: Duration = Duration::from_secs(15);
/// Keys that are asked for at once at the end.
const AT_ONCE: usize = 24;
/// Faults that a round has at least; three rounds have 600.
const FAULTS: usize = 200;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// The seed of the first round.
    pub seed: u64,
    /// How many rounds, one after another.
    pub rounds: u64,
    /// How long faults go on in each.
    pub length: Duration,
}

/// What became of one fleet.
struct Came {
    seed: u64,
    counts: [usize; KINDS.len()],
    verdict: Verdict,
    /// The fleet had its votes at the start and at the end.
    goes_on: bool,
    /// Keys of which no client was told anything once all was healed.
    untold: usize,
    /// How often each status was answered: served, failed, turned away, nothing.
    statuses: [usize; 4],
    /// Edits in force, in conflict once, otherwise ended, and those of which nothing was heard.
    edits: [usize; 4],
    /// The revision that all nodos came to show, and how long that took once all was healed and all edits had ended.
    table: Result<(u64, Duration), String>,
    broken: Option<String>,
}

/// One fleet under the torment of a seed.
async fn torment(nodo: &Path, seed: u64, length: Duration) -> io::Result<Came> {
    let mut rig =
        Rig::start(nodo, &format!("partial-{seed}"), true, (TTL, Duration::from_millis(100))).await?;
    let ready = rig.wait_for_votes().await;
    let load = rig.clients.load(seed, CLIENTS, PAUSE, TOLD_WITHIN);
    let teams = rig.editors.load(seed, PAUSE, TOLD_WITHIN);
    let mut torment = FaultInjector::new(StdRng::seed_from_u64(seed));
    torment.play(&mut rig, length).await?;
    rig.editors.stop();
    let healed = rig.heal_all().await?;
    for team in teams {
        let _ = timeout(TOLD_WITHIN, team).await;
    }
    let ended = Instant::now();
    let table = rig.wait_for_one_table().await.map(|revision| (revision, ended.elapsed()));
    rig.clients.stop();
    rig.resource.set_duration(Duration::from_millis(20));
    for client in load {
        // An error means that it panicked, which says so itself.
        let _ = timeout(TOLD_WITHIN, client).await;
    }
    let untold = rig.clients.query_all(seed, AT_ONCE, TOLD_WITHIN).await;
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
    let broken = rig.clients.write_error().or(rig.editors.write_error());
    let (counts, goes_on, edits) = (torment.counts, ready && healed, rig.editors.tally());
    let came = Came { seed, counts, verdict, goes_on, untold, statuses, edits, table, broken };
    if !came.verdict.is_fine() || came.untold > 0 || !came.goes_on || came.table.is_err() {
        let kept = rig.save_artifacts(&seed.to_string())?;
        let story: String = torment
            .timeline
            .iter()
            .map(|(at, fault)| format!("{:7.3} {fault}\n", at.as_secs_f64()))
            .collect();
        std::fs::write(kept.join("faults"), story)?;
        eprintln!("seed {seed}: histories, logs and faults are kept in {}", kept.display());
    }
    Ok(came)
}

fn percentile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1) as f64;
    sorted.get((last * part).ceil() as usize).copied().unwrap_or(f64::INFINITY)
}

/// Plays all of it and prints what it showed; whether the bounds hold.
pub fn measure(nodo: &Path, out: Option<&Path>, play: Play) -> io::Result<bool> {
    let (mut fleets, mut killed, mut alone) = (Vec::new(), Killed::default(), Killed::default());
    for round in 0..play.rounds {
        let seed = (play.seed + round) * 100;
        let (came, with, without) = on_one_thread(async move {
            let torments: Vec<_> = (0..FLEETS)
                .map(|n| {
                    let nodo = nodo.to_path_buf();
                    spawn_local(async move { torment(&nodo, seed + n, play.length).await })
                })
                .collect();
            let kills = [true, false].map(|handover| {
                let nodo = nodo.to_path_buf();
                spawn_local(async move { killed::play(&nodo, seed, handover, play.length).await })
            });
            let mut came = Vec::new();
            for torment in torments {
                came.push(torment.await.map_err(io::Error::other)??);
            }
            let [with, without] = kills;
            let with = with.await.map_err(io::Error::other)??;
            Ok::<_, io::Error>((came, with, without.await.map_err(io::Error::other)??))
        })?;
        fleets.extend(came);
        killed.add(with);
        alone.add(without);
    }
    let (text, last, holds) = report(&fleets, &killed, &alone, play);
    print!("{text}");
    if let Some(out) = out {
        let head = format!(
            "# Parts that fail, measured\n\n    make measure-partial OUT=docs/measured SEED={} ROUNDS={}\n\n",
            play.seed, play.rounds
        );
        std::fs::write(out.join("partial.md"), format!("{head}{text}\n{last}\n"))?;
    }
    println!("\n{last}");
    Ok(holds)
}

fn report(fleets: &[Came], killed: &Killed, alone: &Killed, play: Play) -> (String, String, bool) {
    let add = |of: fn(&Came) -> usize| fleets.iter().map(of).sum::<usize>();
    let faults = add(|came| came.counts.iter().sum()) + killed.kills;
    let least = FAULTS * play.rounds as usize;
    let doubled = add(|came| came.verdict.doubled.len()) + killed.doubled;
    let without = add(|came| came.verdict.without_outcome.len()) + killed.without;
    let refused = add(|came| usize::from(!came.verdict.unconfirmed().is_empty())) + killed.refused.len();
    let (p50, p99) = (percentile(&killed.times, 0.5), percentile(&killed.times, 0.99));
    let figures = [
        Figure::new("faults injected", faults, format!("≥ {least}"), faults >= least),
        Figure::none("effects doubled", doubled),
        Figure::none("accepted work with no outcome", without),
        Figure::none("histories refused, work with two outcomes among them", refused),
        Figure::none("fleets without their votes once all is healed", add(|came| usize::from(!came.goes_on))),
        Figure::none(
            &format!("keys of which nobody is told within {} s of that", TOLD_WITHIN.as_secs()),
            add(|came| came.untold) + killed.untold,
        ),
        Figure::none("edits of four teams of which nothing is heard in that time", add(|came| came.edits[3])),
        Figure::none(
            "fleets whose nodos do not come to show one route table",
            add(|came| usize::from(came.table.is_err())),
        ),
        Figure::none(
            "histories of clients that could not be written",
            add(|came| usize::from(came.broken.is_some())),
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
            alone.doubled,
            "> 0",
            alone.doubled > 0,
        ),
    ];
    let (rows, last, holds) = verdict("partial", &figures);
    let kinds = KINDS.iter().enumerate().map(|(kind, name)| {
        let count: usize = fleets.iter().map(|came| came.counts[kind]).sum();
        vec![(*name).to_string(), count.to_string()]
    });
    let kinds = table(&["fault", "so many"], &kinds.collect::<Vec<_>>());
    let each = fleets.iter().map(|came| {
        let [served, failed, refused, nothing] = came.statuses;
        let Verdict { files, keys, effects, doubled, without_outcome: without, .. } = &came.verdict;
        vec![
            came.seed.to_string(),
            came.counts.iter().sum::<usize>().to_string(),
            keys.to_string(),
            effects.to_string(),
            doubled.len().to_string(),
            without.len().to_string(),
            format!("{served} / {failed} / {refused} / {nothing}"),
            format!("{} / {}", files.all, files.records),
            came.edits[..3].iter().map(usize::to_string).collect::<Vec<_>>().join(" / "),
            came.table.as_ref().map_or("none".to_string(), |(revision, took)| {
                format!("{revision}, {:.2} s", took.as_secs_f64())
            }),
            if came.verdict.unconfirmed().is_empty() { "fine" } else { "refused" }.to_string(),
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
        play.length.as_secs(),
        TTL.as_secs(),
        play.rounds,
        killed::LEASE.as_secs(),
        killed.kills,
        killed.times.len(),
        alone.kills,
        alone.doubled,
        alone.keys,
        alone.unserved,
    );
    for came in fleets {
        for what in came.verdict.unconfirmed().iter().chain(&came.broken).chain(came.table.as_ref().err()) {
            let _ = writeln!(text, "\nseed {}: {what}", came.seed);
        }
        if came.verdict.doubled.len() + came.verdict.without_outcome.len() > 0 {
            let few = |keys: &[String]| keys.iter().take(5).cloned().collect::<Vec<_>>().join(", ");
            let (twice, none) = (few(&came.verdict.doubled), few(&came.verdict.without_outcome));
            let _ = writeln!(text, "\nseed {}: twice {twice}; no outcome {none}", came.seed);
        }
    }
    for what in &killed.refused {
        let _ = writeln!(text, "\nkills: {what}");
    }
    (text, last, holds)
}
