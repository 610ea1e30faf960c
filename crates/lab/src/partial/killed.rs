//! Kills one nodo after another with requests in flight, without other faults. Measures from the histories
//! how soon the work has an outcome, and compares with retries by the client alone, without handover.

use jaspershunt_histories::format::{Op, Record, Told};
use jaspershunt_stand_ins::partial::faults::Fault;
use jaspershunt_stand_ins::partial::{FENCED_PREFIX, NODOS, QUERIED_PREFIX, Rig, now};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Lease TTL; long enough that a busy machine does not look like a lost nodo.
pub const TTL: Duration = Duration::from_secs(2);
/// Requests to the nodo before it is killed, and the duration of each act at the resource.
const PARALLEL_REQUESTS: usize = 16;
const ACT_DURATION: Duration = Duration::from_millis(250);
/// The nodo is killed a random delay after this many requests act at the resource, or after the timeout.
const MIN_ACTS_IN_PROGRESS: usize = 4;
const ACTS_TIMEOUT: Duration = Duration::from_secs(15);
const KILL_DELAY_MS: (u64, u64) = (0, 150);
/// Artifacts of runs with a longer recovery, as a multiple of the TTL, are saved.
const SLOW_TTLS: f64 = 3.0;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Limit on the time until a client has its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Results for the work of killed nodos.
#[derive(Default)]
pub struct KillResults {
    pub kills: usize,
    /// Times from the kill until begun work has an outcome, as multiples of the TTL.
    pub times: Vec<f64>,
    /// Number of keys.
    pub keys: usize,
    /// Keys whose effect happened twice.
    pub doubled: usize,
    pub without_outcome: usize,
    /// Properties that the histories do not confirm.
    pub unconfirmed: Vec<String>,
    /// Keys for which no client got an answer in time, and failed starts or recoveries of the fleet.
    pub unanswered: usize,
    pub unserved: usize,
}

impl KillResults {
    /// Adds the results of another round.
    pub fn add(&mut self, other: KillResults) {
        self.kills += other.kills;
        self.times.extend(other.times);
        self.keys += other.keys;
        self.doubled += other.doubled;
        self.without_outcome += other.without_outcome;
        self.unconfirmed.extend(other.unconfirmed);
        self.unanswered += other.unanswered;
        self.unserved += other.unserved;
    }
}

/// Kills one nodo after another for `length`.
pub async fn play(nodo: &Path, seed: u64, handover: bool, length: Duration) -> io::Result<KillResults> {
    let name = format!("killed-{seed}-{}", if handover { "handed" } else { "alone" });
    let mut rig = Rig::start(nodo, &name, handover, (TTL, ACT_DURATION)).await?;
    let mut results = KillResults::default();
    let mut random = StdRng::seed_from_u64(seed);
    let (mut kills_at, began) = (Vec::new(), Instant::now());
    if !rig.wait_for_votes().await {
        results.unanswered += 1;
        return Ok(results);
    }
    while began.elapsed() < length {
        let target = random.random_range(0..NODOS);
        let send = |n: usize| {
            let (clients, kill) = (rig.clients.clone(), kills_at.len());
            let class = if n.is_multiple_of(2) { QUERIED_PREFIX } else { FENCED_PREFIX };
            spawn_local(async move {
                clients.send_until_answered(&format!("{class}{kill}-{n}"), target, ANSWER_TIMEOUT).await
            })
        };
        let clients: Vec<_> = (0..PARALLEL_REQUESTS).map(send).collect();
        let acts_in_progress = async {
            let acts = || rig.resource.acts().iter().filter(|act| act.end.is_none()).count();
            let effects = || rig.resource.effects().iter().filter(|effect| effect.end.is_none()).count();
            while acts() + effects() < MIN_ACTS_IN_PROGRESS {
                sleep(POLL_INTERVAL).await;
            }
        };
        // A slow nodo is killed after the timeout.
        let _ = timeout(ACTS_TIMEOUT, acts_in_progress).await;
        sleep(Duration::from_millis(random.random_range(KILL_DELAY_MS.0..KILL_DELAY_MS.1))).await;
        kills_at.push((now(), target));
        rig.inject(&Fault::Kill { who: vec![target], empty: false, back: TTL * 2 }).await?;
        rig.run_for(TTL * 2).await?;
        for client in clients {
            results.unanswered += usize::from(!client.await.unwrap_or(false));
        }
        if !rig.heal_all().await? {
            results.unanswered += 1;
        }
    }
    results.kills = kills_at.len();
    results.unanswered += rig.clients.query_all(seed, PARALLEL_REQUESTS, ANSWER_TIMEOUT).await;
    let verdict = rig.verdict()?;
    results.keys = verdict.keys;
    results.doubled = verdict.doubled.iter().collect::<BTreeSet<_>>().len() + repeated_acts(&rig);
    let served = |tries: &Vec<_>| {
        tries.iter().any(|one: &jaspershunt_stand_ins::partial::clients::Try| one.status == 200)
    };
    results.unserved = rig.clients.tries().values().filter(|tries| !served(tries)).count();
    if handover {
        results.without_outcome = verdict.without_outcome.len();
        results.unconfirmed = verdict.unconfirmed();
        results.times = recovery_times(&verdict.history.records, &kills_at);
        if !verdict.is_fine() || results.times.iter().any(|time| *time > SLOW_TTLS) {
            eprintln!("{name}: histories and logs are kept in {}", rig.save_artifacts(&name)?.display());
        }
    }
    Ok(results)
}

/// Counts keys for which the resource was called twice. Nodos without `handover` do not send the operation
/// key, so it is taken from the call's body.
fn repeated_acts(rig: &Rig) -> usize {
    let mut calls: BTreeMap<Vec<u8>, usize> = BTreeMap::new();
    for act in rig.resource.acts() {
        *calls.entry(act.body).or_default() += 1;
    }
    calls.values().filter(|calls| **calls > 1).count()
}

/// Returns, for each key that a nodo had begun but not ended when it was killed, the time until any client
/// got its outcome, as a multiple of the TTL.
fn recovery_times(records: &[Record], kills_at: &[(u64, usize)]) -> Vec<f64> {
    let mut answers: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in records {
        if let (Op::Offer { key, .. } | Op::Outcome { key } | Op::Answered { key }, Some(Told::Work { .. })) =
            (&record.op, record.told())
        {
            answers.entry(key).or_default().push(record.end.unwrap_or(record.begin));
        }
    }
    let mut times = Vec::new();
    for (kill, n) in kills_at {
        let process = format!("n{n}");
        let begun = records.iter().filter_map(|record| match &record.op {
            Op::Begun { key, .. } if record.who.process == process && record.begin < *kill => {
                Some(key.as_str())
            }
            _ => None,
        });
        for key in begun.collect::<BTreeSet<_>>() {
            let all = answers.get(key).map_or(&[][..], Vec::as_slice);
            if all.iter().any(|at| at <= kill) {
                continue;
            }
            let first = all.iter().min().map_or(f64::INFINITY, |at| (at - kill) as f64 / 1e9);
            times.push(first / TTL.as_secs_f64());
        }
    }
    times
}
