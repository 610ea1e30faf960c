//! One nodo after another is killed in the middle of its work, and nothing else is wrong: how soon its work has an outcome, by the
//! histories; and what the client's own retries make of the same, without anything that takes over.

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

/// Leases' time: long enough that a busy machine is not taken for a lost nodo.
pub const TTL: Duration = Duration::from_secs(2);
/// Requests at a nodo that is killed, and what each lasts at the resource.
const PARALLEL_REQUESTS: usize = 16;
const ACT_DURATION: Duration = Duration::from_millis(250);
/// The nodo is killed a while after so many of them act at the resource, or when that does not come to pass.
const MIN_ACTS_IN_PROGRESS: usize = 4;
const ACTS_TIMEOUT: Duration = Duration::from_secs(15);
const KILL_DELAY_MS: (u64, u64) = (0, 150);
/// What takes longer, in leases' time, is kept for a look at it.
const SLOW_TTLS: f64 = 3.0;
/// Between two looks at the resource.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Each is told of within this.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// What became of the work of those that were killed.
#[derive(Default)]
pub struct KillResults {
    /// Nodos killed.
    pub kills: usize,
    /// From the kill until begun work has an outcome, in leases' time.
    pub times: Vec<f64>,
    /// Keys.
    pub keys: usize,
    /// Those with their effect twice.
    pub doubled: usize,
    /// Accepted work without an outcome.
    pub without_outcome: usize,
    /// Properties that the histories do not have.
    pub unconfirmed: Vec<String>,
    /// Keys of which no client was told in time.
    pub unanswered: usize,
    /// Keys that were never served.
    pub unserved: usize,
}

impl KillResults {
    /// Those of another round.
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

/// Kills one nodo after another for so long.
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
        // One that is slow is killed all the same.
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

/// Keys of which the resource was called twice by nodos that do not name the operation key, as those without `handover` do: the call's
/// body has it.
fn repeated_acts(rig: &Rig) -> usize {
    let mut calls: BTreeMap<Vec<u8>, usize> = BTreeMap::new();
    for act in rig.resource.acts() {
        *calls.entry(act.body).or_default() += 1;
    }
    calls.values().filter(|calls| **calls > 1).count()
}

/// For each key that a nodo had begun and not ended when it was killed: the time until anybody was told its outcome, in leases' time.
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
