//! The experiment on frozen starts: two processes are one nodo, and one of them is frozen at a random moment for a random
//! time, under keyed requests that each come twice over connections of their own.

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

/// Freezes, and how many are played side by side.
const PAUSES: u64 = 20;
const PARALLEL_RUNS: u64 = 5;
/// Pairs sent from the moment of the wake on, and so many at once.
const PAIRS_AFTER_RESUME: usize = 300;
const PARALLEL_PAIRS: usize = 12;
/// Balancers wait so long for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pairs in a row that are served, until a nodo counts as serving.
const SERVED_IN_A_ROW: usize = 10;
/// Pairs sent at once to see whether a nodo serves while a process of it is frozen, and their patience.
const PROBES: usize = 8;
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Nothing is waited for beyond this.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// The bounds.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(2);
const MAX_TAKEOVER_TIME: Duration = Duration::from_millis(2500);

/// One freeze, drawn from a seed.
#[derive(Clone, Copy, Debug)]
struct Plan {
    earlier: bool,
    /// From the start of the later process to the freeze; before it where this is negative.
    at_ms: i64,
    length: Duration,
}

/// What one freeze showed.
struct PauseResult {
    plan: Plan,
    tally: Tally,
    /// From the freeze until the other process served alone; `None` where the freeze was over before.
    other: Option<Duration>,
    /// From the wake until all was served again; `None` where that was given up.
    again: Option<Duration>,
}

impl Plan {
    fn from_seed(seed: u64, number: u64) -> Plan {
        let mut random = StdRng::seed_from_u64(seed.wrapping_mul(1000) + number);
        // A third each: before the later start is there (then it is the earlier one), while it takes over, and after that.
        let (earlier, at_ms) = match number % 3 {
            0 => (true, random.random_range(-200..0)),
            1 => (random.random_bool(0.5), random.random_range(0..60)),
            _ => (random.random_bool(0.5), random.random_range(60..800)),
        };
        Plan { earlier, at_ms, length: Duration::from_millis(random.random_range(200..4000)) }
    }
}

/// Sends pairs until enough in a row are served; the moment at which the first of those was sent.
async fn wait_until_served(nodo: &Nodo, record: &AnswerLog, name: &str) -> Option<Instant> {
    let all = async {
        let (mut began, mut served_in_a_row, mut n) = (Instant::now(), 0, 0);
        while served_in_a_row < SERVED_IN_A_ROW {
            let key = format!("{name}-{n}");
            if served_in_a_row == 0 {
                began = Instant::now();
            }
            record.send_twice(nodo.address, &key, ANSWER_TIMEOUT).await;
            let both = record.answers().get(&key).is_some_and(|all| all.iter().all(|one| one.status == 200));
            (served_in_a_row, n) = (if both { served_in_a_row + 1 } else { 0 }, n + 1);
        }
        began
    };
    timeout(RECOVERY_TIMEOUT, all).await.ok()
}

async fn play(program: &Path, seed: u64, number: u64) -> io::Result<PauseResult> {
    let plan = Plan::from_seed(seed, number);
    let mut nodo = Nodo::new(program, &format!("freeze-{seed}-{number}")).await?;
    let record = AnswerLog::default();
    let earlier = nodo.start().await?;
    record.burst(nodo.address, "before", 20, 4, ANSWER_TIMEOUT).await;
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
    // Whether the other one serves while the one is frozen, by what it says itself.
    let other = if plan.earlier { &later } else { &earlier };
    let resumes_at = paused_at + plan.length;
    let mut served_after = None;
    while Instant::now() < resumes_at {
        let ready = timeout(resumes_at - Instant::now(), other.is_ready()).await.unwrap_or(false);
        // The earlier one says so too while it sends on to the frozen one: what counts is an answer. Where each has a listener of
        // its own the system gives half of all connections to the frozen one, so several are tried.
        if ready && served_after.is_none() {
            let name = format!("frozen-{}", paused_at.elapsed().as_millis());
            let patience = PROBE_TIMEOUT.min(resumes_at.saturating_duration_since(Instant::now()));
            record.burst(nodo.address, &name, PROBES, PROBES, patience).await;
            let answers = record.answers();
            let mut probes = answers.iter().filter(|(key, _)| key.starts_with(&name));
            let served = probes.any(|(_, all)| all.iter().any(|one| one.status == 200));
            served_after = served.then(|| paused_at.elapsed());
        }
        sleep(Duration::from_millis(10)).await;
    }
    paused_incarnation(&plan, &earlier, &later).process.resume();
    let resumed_at = Instant::now();
    let (address, all) = (nodo.address, record.clone());
    let burst = spawn_local(async move {
        all.burst(address, "woken", PAIRS_AFTER_RESUME, PARALLEL_PAIRS, ANSWER_TIMEOUT).await
    });
    let again =
        wait_until_served(&nodo, &record, "again").await.map(|at| at.saturating_duration_since(resumed_at));
    // An error means that it panicked, which says so itself.
    let _ = burst.await;
    if again.is_none() {
        for (who, start) in [("earlier", &earlier), ("later", &later)] {
            eprintln!("{who}: {}{}", start.call("PING").await, start.call("INFO").await);
        }
        eprintln!("freeze {number} of seed {seed}, {plan:?}: {}", nodo.logs());
    }
    Ok(PauseResult { plan, tally: record.tally(&nodo, ""), other: served_after, again })
}

fn paused_incarnation<'a>(plan: &Plan, earlier: &'a Incarnation, later: &'a Incarnation) -> &'a Incarnation {
    if plan.earlier { earlier } else { later }
}

/// Plays all freezes and prints what they showed; whether the bounds hold.
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
            ms(one.other),
            ms(one.again),
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
    let again =
        results.iter().map(|one| one.again).max_by_key(|again| again.unwrap_or(RECOVERY_TIMEOUT)).flatten();
    let all_again = results.iter().all(|one| one.again.is_some());
    // A freeze that is long enough for the other one to be bound to serve.
    let bound: Vec<&PauseResult> =
        results.iter().filter(|one| one.plan.length > MAX_TAKEOVER_TIME + 2 * PROBE_TIMEOUT).collect();
    let other = bound.iter().map(|one| one.other.unwrap_or(RECOVERY_TIMEOUT)).max();
    let checks = [
        Figure::none("keys that ran twice", twice),
        Figure::none("keys refused after they ran", refused),
        Figure::none("keys served with two results", differ),
        Figure::new(
            "all served again after the wake, ms, the slowest",
            if all_again { ms(again) } else { format!("not within {}", RECOVERY_TIMEOUT.as_millis()) },
            format!("≤ {}", MAX_RECOVERY_TIME.as_millis()),
            all_again && again.is_some_and(|again| again <= MAX_RECOVERY_TIME),
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
