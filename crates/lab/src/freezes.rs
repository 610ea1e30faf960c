//! The experiment on paused processes: two incarnations of one nodo run at once, and one of them is paused at
//! a random moment for a random time, under keyed requests that are each sent twice over separate
//! connections.

use crate::report::{Figure, table, verdict};
use crate::site::on_one_thread;
use jaspershunt_stand_ins::nodo::{AnswerLog, Incarnation, Nodo, Tally};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Pauses in all, and runs in parallel.
const PAUSES: u64 = 20;
const PARALLEL_RUNS: u64 = 5;
/// Pairs of requests sent from the resumption on, and pairs in parallel.
const PAIRS_AFTER_RESUME: usize = 300;
const PARALLEL_PAIRS: usize = 12;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Consecutive served pairs after which a nodo counts as serving.
const SERVED_IN_A_ROW: usize = 10;
/// Parallel pairs that probe whether a nodo serves while one of its processes is paused, and their timeout.
const PROBES: usize = 8;
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Bounds of the figures.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(2);
const MAX_TAKEOVER_TIME: Duration = Duration::from_millis(2500);

/// A pause, drawn from a seed.
#[derive(Clone, Copy, Debug)]
struct Plan {
    earlier: bool,
    /// Time from the start of the later process to the pause; negative if the pause is earlier.
    at_ms: i64,
    length: Duration,
}

/// The result of one pause.
struct PauseResult {
    plan: Plan,
    tally: Tally,
    /// Time from the pause until the other process served alone; `None` if the pause ended before.
    takeover_time: Option<Duration>,
    /// Time from the resumption until all requests were served again; `None` after a timeout.
    recovery_time: Option<Duration>,
}

impl Plan {
    fn from_seed(seed: u64, number: u64) -> Plan {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1000) + number);
        // One third each: before the later process starts (the earlier one is paused), during the takeover,
        // and after it.
        let (earlier, at_ms) = match number % 3 {
            0 => (true, random.random_range(-200..0)),
            1 => (random.random_bool(0.5), random.random_range(0..60)),
            _ => (random.random_bool(0.5), random.random_range(60..800)),
        };
        Plan { earlier, at_ms, length: Duration::from_millis(random.random_range(200..4000)) }
    }
}

/// Sends pairs until enough in a row are served. Returns when the first of those was sent.
async fn wait_until_served(nodo: &Nodo, answer_log: &AnswerLog, name: &str) -> Option<Instant> {
    let all = async {
        let (mut began, mut served_in_a_row, mut n) = (Instant::now(), 0, 0);
        while served_in_a_row < SERVED_IN_A_ROW {
            let key = format!("{name}-{n}");
            if served_in_a_row == 0 {
                began = Instant::now();
            }
            answer_log.send_twice(nodo.address, &key, ANSWER_TIMEOUT).await;
            let both =
                answer_log.answers().get(&key).is_some_and(|all| all.iter().all(|one| one.status == 200));
            (served_in_a_row, n) = (if both { served_in_a_row + 1 } else { 0 }, n + 1);
        }
        began
    };
    timeout(RECOVERY_TIMEOUT, all).await.ok()
}

async fn play(program: &Path, seed: u64, number: u64) -> io::Result<PauseResult> {
    let plan = Plan::from_seed(seed, number);
    let mut nodo = Nodo::new(program, &format!("freeze-{seed}-{number}")).await?;
    let answer_log = AnswerLog::default();
    let earlier = nodo.start().await?;
    answer_log.burst(nodo.address, "before", 20, 4, ANSWER_TIMEOUT).await;
    let before = plan.earlier && plan.at_ms < 0;
    let offset = Duration::from_millis(plan.at_ms.unsigned_abs());
    let mut paused_at = Instant::now();
    if before {
        earlier.process.pause();
        sleep(offset).await;
    }
    let later = nodo.start_without_waiting().await?;
    if !before {
        sleep(offset).await;
        paused_at = Instant::now();
        paused_incarnation(&plan, &earlier, &later).process.pause();
    }
    // Check whether the other process reports itself ready during the pause.
    let other = if plan.earlier { &later } else { &earlier };
    let resumes_at = paused_at + plan.length;
    let mut served_after = None;
    while Instant::now() < resumes_at {
        let ready = timeout(resumes_at - Instant::now(), other.is_ready()).await.unwrap_or(false);
        // The earlier process also reports ready while it forwards to the paused one, so an answer is
        // required. If each has its own listener, the system gives half of the connections to the paused one,
        // so several are tried.
        if ready && served_after.is_none() {
            let name = format!("frozen-{}", paused_at.elapsed().as_millis());
            let patience = PROBE_TIMEOUT.min(resumes_at.saturating_duration_since(Instant::now()));
            answer_log.burst(nodo.address, &name, PROBES, PROBES, patience).await;
            let answers = answer_log.answers();
            let mut probes = answers.iter().filter(|(key, _)| key.starts_with(&name));
            let served = probes.any(|(_, all)| all.iter().any(|one| one.status == 200));
            served_after = served.then(|| paused_at.elapsed());
        }
        sleep(Duration::from_millis(10)).await;
    }
    paused_incarnation(&plan, &earlier, &later).process.resume();
    let resumed_at = Instant::now();
    let (address, all) = (nodo.address, answer_log.clone());
    let burst = spawn_local(async move {
        all.burst(address, "woken", PAIRS_AFTER_RESUME, PARALLEL_PAIRS, ANSWER_TIMEOUT).await
    });
    let recovery_time = wait_until_served(&nodo, &answer_log, "again")
        .await
        .map(|at| at.saturating_duration_since(resumed_at));
    // An error means that the task panicked, which is reported already.
    let _ = burst.await;
    if recovery_time.is_none() {
        for (who, start) in [("earlier", &earlier), ("later", &later)] {
            eprintln!("{who}: {}{}", start.call("PING").await, start.call("INFO").await);
        }
        eprintln!("freeze {number} of seed {seed}, {plan:?}: {}", nodo.logs());
    }
    Ok(PauseResult { plan, tally: answer_log.tally(&nodo, ""), takeover_time: served_after, recovery_time })
}

fn paused_incarnation<'a>(plan: &Plan, earlier: &'a Incarnation, later: &'a Incarnation) -> &'a Incarnation {
    if plan.earlier { earlier } else { later }
}

/// Runs all pauses and prints the report. Returns whether the bounds hold.
pub fn measure(nodo: &Path, out: Option<&Path>, seed: u64) -> io::Result<bool> {
    let results = on_one_thread(async {
        let mut results = Vec::new();
        for group in 0..PAUSES / PARALLEL_RUNS {
            let plays = (0..PARALLEL_RUNS).map(|n| {
                let nodo = nodo.to_path_buf();
                spawn_local(async move { play(&nodo, seed, group * PARALLEL_RUNS + n).await })
            });
            for play in plays.collect::<Vec<_>>() {
                results.push(play.await.map_err(io::Error::other)??);
            }
        }
        Ok::<_, io::Error>(results)
    })?;
    let ms = |time: Option<Duration>| time.map_or("–".to_string(), |time| time.as_millis().to_string());
    let rows = results.iter().map(|one| {
        let who = if one.plan.earlier { "earlier" } else { "later" };
        let (tally, length) = (&one.tally, one.plan.length.as_millis());
        let with = |wanted: u16| tally.statuses.get(&wanted).copied().unwrap_or(0);
        vec![
            who.to_string(),
            one.plan.at_ms.to_string(),
            length.to_string(),
            tally.keys.to_string(),
            tally.ran_twice.len().to_string(),
            tally.refused_after_run.len().to_string(),
            format!("{} / {} / {} / {}", with(200), with(500) + with(400), with(503), with(0)),
            ms(one.takeover_time),
            ms(one.recovery_time),
        ]
    });
    let all = table(
        &[
            "frozen",
            "at, ms",
            "for, ms",
            "keys",
            "ran twice",
            "refused after a run",
            "served / failed / refused / unheard",
            "other serves, ms",
            "all served after the wake, ms",
        ],
        &rows.collect::<Vec<_>>(),
    );
    let sum = |of: fn(&Tally) -> usize| results.iter().map(|one| of(&one.tally)).sum::<usize>();
    let (keys, twice) = (sum(|tally| tally.keys), sum(|tally| tally.ran_twice.len()));
    let refused = sum(|tally| tally.refused_after_run.len());
    let differ = sum(|tally| tally.differ.len());
    let recovery_time = results
        .iter()
        .map(|one| one.recovery_time)
        .max_by_key(|recovery_time| recovery_time.unwrap_or(RECOVERY_TIMEOUT))
        .flatten();
    let all_recovered = results.iter().all(|one| one.recovery_time.is_some());
    // Pauses that are long enough for the bound on the takeover to apply.
    let bound: Vec<&PauseResult> =
        results.iter().filter(|one| one.plan.length > MAX_TAKEOVER_TIME + 2 * PROBE_TIMEOUT).collect();
    let other = bound.iter().map(|one| one.takeover_time.unwrap_or(RECOVERY_TIMEOUT)).max();
    let checks = [
        Figure::zero("keys that ran twice", twice),
        Figure::zero("keys refused after they ran", refused),
        Figure::zero("keys served with two results", differ),
        Figure::new(
            "all served again after the wake, ms, the slowest",
            if all_recovered {
                ms(recovery_time)
            } else {
                format!("not within {}", RECOVERY_TIMEOUT.as_millis())
            },
            format!("≤ {}", MAX_RECOVERY_TIME.as_millis()),
            all_recovered && recovery_time.is_some_and(|recovery_time| recovery_time <= MAX_RECOVERY_TIME),
        ),
        Figure::new(
            "the other one serves, ms from the freeze, the slowest",
            other
                .filter(|other| *other < RECOVERY_TIMEOUT)
                .map_or("never".to_string(), |other| ms(Some(other))),
            format!("≤ {}", MAX_TAKEOVER_TIME.as_millis()),
            other.is_some_and(|other| other <= MAX_TAKEOVER_TIME),
        ),
    ];
    let (figures, last, holds) = verdict("freezes", &checks);
    let intro = format!(
        "{PAUSES} freezes, {keys} keyed requests, each sent once marked as first and once as further try over connections of \
         their own; {PAIRS_AFTER_RESUME} of them for each freeze from the wake on, {PARALLEL_PAIRS} at once. Moments count from the later \
         process's start."
    );
    let text = format!("{intro}\n\n{figures}\n\n{all}\n\n{last}\n");
    if let Some(out) = out {
        std::fs::create_dir_all(out)?;
        let head = format!(
            "# Frozen starts, measured\n\n    make measure-freezes OUT=docs/measured   # seed {seed}\n\n"
        );
        std::fs::write(out.join("freezes.md"), head + &text)?;
    }
    print!("{text}");
    Ok(holds)
}
