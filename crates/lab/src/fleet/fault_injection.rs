//! Fault-injection tests: fleets of real nodos under random, overlapping faults of processes and links. The
//! resources that the tasks act on record every act.

use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::fleet::{Fleet, Task, wait_for_acts};
use jaspershunt_stand_ins::link::{Fault, Way};
use jaspershunt_stand_ins::resource::Resource;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Nodos of a fleet, and voters among them.
const MEMBERS: usize = 5;
const VOTERS: usize = 3;
/// Lease TTL.
pub const TTL: Duration = Duration::from_secs(2);
/// Range of the time between two faults.
const FAULT_INTERVAL_MS: (u64, u64) = (60, 200);
/// Time in which acts are counted after the leader is killed.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// Holders that are killed one after another, without other faults.
const HOLDER_KILLS: usize = 4;
/// Requests to each nodo while there is no quorum.
const REQUESTS_WITHOUT_QUORUM: usize = 10;
/// Limit on the time until all voters are in the configuration, and until the fleet has recovered.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// The result of one fleet.
#[derive(Clone, Debug, Default)]
pub struct InjectionOutcome {
    pub kills: usize,
    /// Processes paused.
    pub pauses: usize,
    /// Cuts of links, in one or both directions, of one nodo or between two.
    pub cuts: usize,
    /// Acts that took effect.
    pub acts: usize,
    /// Acts that the resource refused because of an old token.
    pub turned_away: usize,
    /// Overlapping acts of two holders at the resource that does not check tokens.
    pub overlaps: usize,
    /// Acts under a lower token after one under a higher token.
    pub stale_token_acts: usize,
    /// Times from the kill of a holder to the next act by another one, as multiples of the lease TTL.
    pub gaps: Vec<f64>,
    /// Due times that were missed after the leader was killed while another nodo held the lease.
    pub missed: usize,
    /// Kills of a leader while another nodo held a lease.
    pub leader_kills: usize,
    /// Balancer requests that were not served while there was no quorum.
    pub unserved: usize,
    /// Time from the return of the quorum until both tasks were acted on, as a multiple of the lease TTL.
    pub quorum_recovery: Option<f64>,
    /// Whether all tasks were acted on again after the faults.
    pub recovered: bool,
    /// Logs of the nodos, if a check failed.
    pub logs: String,
}

enum Repair {
    Start(usize),
    Resume(usize),
    Links,
}

/// Starts two resources, one that checks tokens and one that does not, with a task for each.
pub async fn resources() -> (Resource, Resource, Vec<Task>) {
    let checked = Resource::start(true, Duration::from_millis(40)).await;
    let unchecked = Resource::start(false, Duration::from_millis(80)).await;
    let task = |name: &str, resource: &Resource, rest: &str| Task {
        name: name.to_string(),
        resource: resource.address(),
        rest: format!("  every = \"1s\"\n  tries = 1000\n  wait = \"50ms\"\n{rest}"),
    };
    let tasks = vec![
        task("checked", &checked, "  grade = \"checked\"\n  timeout = \"300ms\""),
        task("timed", &unchecked, "  grade = \"timed\"\n  timeout = \"200ms\"\n  way = \"250ms\""),
    ];
    (checked, unchecked, tasks)
}

/// Runs one fleet with random faults for `length`, then the kills of holders and the leader, and the loss of
/// the quorum.
pub async fn play(program: &Path, seed: u64, length: Duration) -> io::Result<InjectionOutcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (checked, unchecked, tasks) = resources().await;
    let mut fleet = Fleet::new(program, &format!("torment-{seed}"), (MEMBERS, VOTERS), TTL, &tasks).await?;
    fleet.start_all().await?;
    let ready = timeout(RECOVERY_TIMEOUT, fleet.wait_for_votes()).await.is_ok();
    let mut outcome = InjectionOutcome { recovered: ready, ..InjectionOutcome::default() };
    let end = Instant::now() + length;
    let mut repairs: Vec<(Instant, Repair)> = Vec::new();
    let mut next = Instant::now();
    while ready && Instant::now() < end {
        sleep(Duration::from_millis(10)).await;
        let now = Instant::now();
        heal(&mut fleet, &mut repairs, now).await?;
        if now < next {
            continue;
        }
        next = now + Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS.0..FAULT_INTERVAL_MS.1));
        let impaired = |n: usize| {
            repairs
                .iter()
                .any(|(_, repairs)| matches!(repairs, Repair::Start(m) | Repair::Resume(m) if *m == n))
        };
        let cut = repairs.iter().any(|(_, repairs)| matches!(repairs, Repair::Links));
        // Impair one voter at a time: without a quorum no member acts, and nothing would be tested.
        let voter_impaired = cut || (0..VOTERS).any(impaired);
        let healthy: Vec<usize> =
            (0..MEMBERS).filter(|n| !impaired(*n) && (*n >= VOTERS || !voter_impaired)).collect();
        if healthy.is_empty() {
            continue;
        }
        let n = healthy[rng.random_range(0..healthy.len())];
        let over = now + TTL.mul_f64(rng.random_range(0.1..1.6));
        match rng.random_range(0..3) {
            0 => {
                fleet.kill(n).await;
                outcome.kills += 1;
                repairs.push((over, Repair::Start(n)));
            }
            1 => {
                fleet.process(n).pause();
                outcome.pauses += 1;
                repairs.push((over, Repair::Resume(n)));
            }
            _ => {
                let way = [Some(Way::There), Some(Way::Back), None][rng.random_range(0..3)];
                let other = rng.random_range(0..MEMBERS);
                let whole = rng.random_bool(0.5);
                for ((from, to), link) in &fleet.links {
                    let between = (*from, *to) == (n, other) || (*from, *to) == (other, n);
                    if between || whole && (*from == n || *to == n) {
                        match way {
                            Some(way) => link.set(way, Fault::Cut),
                            None => link.set_both(Fault::Cut),
                        }
                    }
                }
                outcome.cuts += 1;
                repairs.push((over, Repair::Links));
            }
        }
    }
    heal(&mut fleet, &mut repairs, Instant::now() + 100 * TTL).await?;
    let acted = |resource: &Resource| resource.acts().iter().filter(|act| !act.turned_away).count();
    let before = (acted(&checked), acted(&unchecked));
    let acting_again = async {
        while acted(&checked) < before.0 + 2 || acted(&unchecked) < before.1 + 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    outcome.recovered &= timeout(RECOVERY_TIMEOUT, acting_again).await.is_ok();
    for _ in 0..HOLDER_KILLS {
        let before = outcome.gaps.len();
        kill_holder(&mut fleet, &unchecked, &mut outcome).await?;
        outcome.recovered &= outcome.gaps.len() > before;
    }
    if outcome.recovered {
        kill_leader(&mut fleet, [("task/checked", &checked), ("task/timed", &unchecked)], &mut outcome)
            .await?;
        lose_quorum(&fleet, [&checked, &unchecked], &mut outcome).await;
    }
    outcome.acts = acted(&checked) + acted(&unchecked);
    outcome.turned_away = checked.acts().len() - acted(&checked);
    outcome.overlaps = unchecked.overlaps().len();
    outcome.stale_token_acts = checked.stale_token_acts().len() + unchecked.stale_token_acts().len();
    if !outcome.recovered || outcome.overlaps + outcome.stale_token_acts > 0 {
        outcome.logs.push_str(&fleet.logs());
    }
    Ok(outcome)
}

/// Kills the nodo that acted last, without other faults, and measures the time until another one acts.
async fn kill_holder(
    fleet: &mut Fleet,
    resource: &Resource,
    outcome: &mut InjectionOutcome,
) -> io::Result<()> {
    let acts = resource.acts();
    let last = acts.last().map(|act| act.holder.clone()).unwrap_or_default();
    let Some(n) = (0..MEMBERS).find(|n| last.starts_with(&format!("n{n}/"))) else { return Ok(()) };
    let from = resource.elapsed();
    fleet.kill(n).await;
    outcome.kills += 1;
    let next = async {
        loop {
            let acts = resource.acts();
            if let Some(act) = acts.iter().find(|act| act.begin > from && act.holder != last) {
                return act.begin;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    if let Ok(begin) = timeout(RECOVERY_TIMEOUT, next).await {
        outcome.gaps.push((begin - from).as_secs_f64() / TTL.as_secs_f64());
    }
    fleet.start(n).await?;
    // Let the killed nodo's leases expire before the next kill.
    sleep(TTL).await;
    Ok(())
}

/// Kills the leader while another nodo holds a lease, and counts the due times that are missed.
async fn kill_leader(
    fleet: &mut Fleet,
    tasks: [(&str, &Resource); 2],
    outcome: &mut InjectionOutcome,
) -> io::Result<()> {
    let Some(leader) = fleet.leader().await else { return Ok(()) };
    for (lease, resource) in tasks {
        if fleet.holder(lease).await.is_none_or(|holder| holder == leader) {
            continue;
        }
        let from = resource.elapsed();
        fleet.kill(leader).await;
        sleep(WATCH_TIME + Duration::from_millis(500)).await;
        // The task is due each second; the last act has half a second more to arrive.
        let acts = resource.acts();
        let keys: BTreeSet<u64> = acts.iter().filter(|act| act.begin >= from).map(|act| act.key).collect();
        let missed = (WATCH_TIME.as_secs() as usize).saturating_sub(keys.len());
        if missed > 0 {
            let seen = acts.iter().filter(|act| act.begin + 2 * WATCH_TIME >= from).map(|act| {
                let at = act.begin.as_secs_f64() - from.as_secs_f64();
                format!("\n  {at:+.3} s: {} under {}, key {}", act.holder, act.token, act.key)
            });
            let seen: String = seen.collect();
            let _ = writeln!(
                outcome.logs,
                "the leader n{leader} is killed: {missed} due times missed of {lease}{seen}{}",
                fleet.logs()
            );
        }
        outcome.missed += missed;
        outcome.leader_kills += 1;
        fleet.start(leader).await?;
        return Ok(());
    }
    Ok(())
}

/// Kills the leader `kills` times without other faults, each time while another nodo holds a lease.
pub async fn leaders(program: &Path, seed: u64, kills: usize) -> io::Result<InjectionOutcome> {
    let (checked, unchecked, tasks) = resources().await;
    let mut fleet = Fleet::new(program, &format!("leaders-{seed}"), (MEMBERS, VOTERS), TTL, &tasks).await?;
    fleet.start_all().await?;
    let mut outcome = InjectionOutcome::default();
    let ready = async {
        fleet.wait_for_votes().await;
        tokio::join!(wait_for_acts(&checked, 2), wait_for_acts(&unchecked, 2));
    };
    outcome.recovered = timeout(RECOVERY_TIMEOUT, ready).await.is_ok();
    // A leader that holds both leases shows nothing. It is killed too, so that other nodos come to hold them.
    for _ in 0..2 * kills {
        if outcome.leader_kills == kills || !outcome.recovered {
            break;
        }
        let tasks = [("task/checked", &checked), ("task/timed", &unchecked)];
        let before = outcome.leader_kills;
        kill_leader(&mut fleet, tasks, &mut outcome).await?;
        if outcome.leader_kills == before
            && let Some(leader) = fleet.leader().await
        {
            fleet.kill(leader).await;
            fleet.start(leader).await?;
        }
        outcome.kills += 1;
        // Let the killed nodo's leases expire before the next kill.
        sleep(TTL).await;
        let acting_again = async { tokio::join!(wait_for_acts(&checked, 1), wait_for_acts(&unchecked, 1)) };
        outcome.recovered &= timeout(RECOVERY_TIMEOUT, acting_again).await.is_ok();
    }
    outcome.acts = [&checked, &unchecked].map(|resource| resource.acts().len()).iter().sum();
    outcome.overlaps = unchecked.overlaps().len();
    outcome.stale_token_acts = checked.stale_token_acts().len() + unchecked.stale_token_acts().len();
    if !outcome.recovered || outcome.overlaps + outcome.stale_token_acts > 0 {
        outcome.logs.push_str(&fleet.logs());
    }
    Ok(outcome)
}

/// Isolates all voters for a while: requests must still be served, and tasks run again soon after.
async fn lose_quorum(fleet: &Fleet, resources: [&Resource; 2], outcome: &mut InjectionOutcome) {
    for n in 0..VOTERS {
        fleet.isolate(n, Fault::Cut);
    }
    sleep(2 * TTL).await;
    for (n, nodo) in fleet.nodos.iter().enumerate() {
        let balancer = Balancer::new(nodo.address, 700 + n as u64, None);
        for _ in 0..REQUESTS_WITHOUT_QUORUM {
            let answer = balancer.send(&Request::new("read", b"x"), TTL).await;
            outcome.unserved += usize::from(answer.status != 200);
        }
    }
    let began = Instant::now();
    let before = resources.map(|resource| resource.acts().len());
    fleet.heal();
    let again = async {
        while resources.iter().zip(before).any(|(resource, before)| resource.acts().len() <= before) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    if timeout(RECOVERY_TIMEOUT, again).await.is_ok() {
        outcome.quorum_recovery = Some(began.elapsed().as_secs_f64() / TTL.as_secs_f64());
    }
}

/// Ends the faults that are due to end.
async fn heal(fleet: &mut Fleet, repairs: &mut Vec<(Instant, Repair)>, now: Instant) -> io::Result<()> {
    let mut place = 0;
    while place < repairs.len() {
        if repairs[place].0 > now {
            place += 1;
            continue;
        }
        match repairs.swap_remove(place).1 {
            Repair::Start(n) => fleet.incarnations[n] = Some(fleet.nodos[n].start_without_waiting().await?),
            Repair::Resume(n) => fleet.process(n).resume(),
            Repair::Links => fleet.heal(),
        }
    }
    Ok(())
}
