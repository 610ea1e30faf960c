//! Fleets of real nodos under random faults of processes and links, one after another and on top of each other. What the tasks act on
//! keeps the record.

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

/// Nodos of a fleet, and how many of them vote.
const MEMBERS: usize = 5;
const VOTERS: usize = 3;
/// Leases' time.
pub const TTL: Duration = Duration::from_secs(2);
/// Between two faults.
const EVERY: (u64, u64) = (60, 200);
/// The time that is watched after the one that leads was killed.
const WATCHED: Duration = Duration::from_secs(5);
/// Holders killed one after another, when nothing else is wrong.
const KILLS: usize = 4;
/// Requests to each nodo without a quorum.
const REQUESTS: usize = 10;
/// Until the voters have their votes, and until all goes on at the end.
const GENEROUS: Duration = Duration::from_secs(30);

/// What one fleet went through.
#[derive(Clone, Debug, Default)]
pub struct Torment {
    /// Processes killed.
    pub kills: usize,
    /// Processes frozen.
    pub freezes: usize,
    /// Links cut, one way or both, of one nodo or between two.
    pub cuts: usize,
    /// Acts with an effect.
    pub acts: usize,
    /// Acts that were turned away by their token.
    pub turned_away: usize,
    /// Acts of two holders that went on at one time, where nothing checks tokens.
    pub at_once: usize,
    /// Acts under a lower token after one under a higher.
    pub lower: usize,
    /// From the kill of a holder to the next act by another, in leases' time.
    pub gaps: Vec<f64>,
    /// Times at which a task was due and nobody ran it, after the one that leads was killed and the holder lived.
    pub missed: usize,
    /// How often that was played.
    pub leaders: usize,
    /// Requests of balancers that were not served while there was no quorum.
    pub unserved: usize,
    /// From the quorum's return until both tasks were acted on, in leases' time.
    pub quorum: Option<f64>,
    /// All went on once all faults were over.
    pub goes_on: bool,
    /// What the nodos said, where something is wrong.
    pub logs: String,
}

enum Heals {
    Start(usize),
    Thaw(usize),
    Links,
}

/// Two tasks: one whose resource checks tokens, one whose cannot.
pub async fn resources() -> (Resource, Resource, Vec<Task>) {
    let checks = Resource::start(true, Duration::from_millis(40)).await;
    let cannot = Resource::start(false, Duration::from_millis(80)).await;
    let task = |name: &str, resource: &Resource, rest: &str| Task {
        name: name.to_string(),
        resource: resource.address(),
        rest: format!("  every = \"1s\"\n  tries = 1000\n  wait = \"50ms\"\n{rest}"),
    };
    let tasks = vec![
        task("checked", &checks, "  grade = \"checked\"\n  timeout = \"300ms\""),
        task("timed", &cannot, "  grade = \"timed\"\n  timeout = \"200ms\"\n  way = \"250ms\""),
    ];
    (checks, cannot, tasks)
}

/// Plays one fleet for so long.
pub async fn play(program: &Path, seed: u64, length: Duration) -> io::Result<Torment> {
    let mut rng = StdRng::seed_from_u64(seed);
    let (checks, cannot, tasks) = resources().await;
    let mut fleet = Fleet::new(program, &format!("torment-{seed}"), (MEMBERS, VOTERS), TTL, &tasks).await?;
    fleet.start_all().await?;
    let ready = timeout(GENEROUS, fleet.wait_for_votes()).await.is_ok();
    let mut torment = Torment { goes_on: ready, ..Torment::default() };
    let end = Instant::now() + length;
    let mut heals: Vec<(Instant, Heals)> = Vec::new();
    let mut next = Instant::now();
    while ready && Instant::now() < end {
        sleep(Duration::from_millis(10)).await;
        let now = Instant::now();
        heal(&mut fleet, &mut heals, now).await?;
        if now < next {
            continue;
        }
        next = now + Duration::from_millis(rng.random_range(EVERY.0..EVERY.1));
        let hurt = |n: usize| {
            heals.iter().any(|(_, heals)| matches!(heals, Heals::Start(m) | Heals::Thaw(m) if *m == n))
        };
        let cut = heals.iter().any(|(_, heals)| matches!(heals, Heals::Links));
        // One voter at a time, so that something is there to go wrong: without a quorum nobody acts.
        let voter_hurt = cut || (0..VOTERS).any(hurt);
        let fit: Vec<usize> = (0..MEMBERS).filter(|n| !hurt(*n) && (*n >= VOTERS || !voter_hurt)).collect();
        if fit.is_empty() {
            continue;
        }
        let n = fit[rng.random_range(0..fit.len())];
        let over = now + TTL.mul_f64(rng.random_range(0.1..1.6));
        match rng.random_range(0..3) {
            0 => {
                fleet.kill(n).await;
                torment.kills += 1;
                heals.push((over, Heals::Start(n)));
            }
            1 => {
                fleet.process(n).pause();
                torment.freezes += 1;
                heals.push((over, Heals::Thaw(n)));
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
                torment.cuts += 1;
                heals.push((over, Heals::Links));
            }
        }
    }
    heal(&mut fleet, &mut heals, Instant::now() + 100 * TTL).await?;
    let acted = |resource: &Resource| resource.acts().iter().filter(|act| !act.turned_away).count();
    let before = (acted(&checks), acted(&cannot));
    let going = async {
        while acted(&checks) < before.0 + 2 || acted(&cannot) < before.1 + 2 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    torment.goes_on &= timeout(GENEROUS, going).await.is_ok();
    for _ in 0..KILLS {
        let before = torment.gaps.len();
        kill_holder(&mut fleet, &cannot, &mut torment).await?;
        torment.goes_on &= torment.gaps.len() > before;
    }
    if torment.goes_on {
        kill_leader(&mut fleet, [("task/checked", &checks), ("task/timed", &cannot)], &mut torment).await?;
        lose_quorum(&fleet, [&checks, &cannot], &mut torment).await;
    }
    torment.acts = acted(&checks) + acted(&cannot);
    torment.turned_away = checks.acts().len() - acted(&checks);
    torment.at_once = cannot.overlaps().len();
    torment.lower = checks.stale_token_acts().len() + cannot.stale_token_acts().len();
    if !torment.goes_on || torment.at_once + torment.lower > 0 {
        torment.logs.push_str(&fleet.logs());
    }
    Ok(torment)
}

/// The one that acted last is killed, and nothing else is wrong: how long until another one acts.
async fn kill_holder(fleet: &mut Fleet, resource: &Resource, torment: &mut Torment) -> io::Result<()> {
    let acts = resource.acts();
    let last = acts.last().map(|act| act.holder.clone()).unwrap_or_default();
    let Some(n) = (0..MEMBERS).find(|n| last.starts_with(&format!("n{n}/"))) else { return Ok(()) };
    let from = resource.elapsed();
    fleet.kill(n).await;
    torment.kills += 1;
    let next = async {
        loop {
            let acts = resource.acts();
            if let Some(act) = acts.iter().find(|act| act.begin > from && act.holder != last) {
                return act.begin;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    if let Ok(begin) = timeout(GENEROUS, next).await {
        torment.gaps.push((begin - from).as_secs_f64() / TTL.as_secs_f64());
    }
    fleet.start(n).await?;
    // All that it was is settled before the next one.
    sleep(TTL).await;
    Ok(())
}

/// The one that leads is killed while another one holds: what is due goes on.
async fn kill_leader(
    fleet: &mut Fleet,
    tasks: [(&str, &Resource); 2],
    torment: &mut Torment,
) -> io::Result<()> {
    let Some(leader) = fleet.leader().await else { return Ok(()) };
    for (lease, resource) in tasks {
        if fleet.holder(lease).await.is_none_or(|holder| holder == leader) {
            continue;
        }
        let from = resource.elapsed();
        fleet.kill(leader).await;
        sleep(WATCHED + Duration::from_millis(500)).await;
        // One each second, and half a second for the last one to arrive.
        let acts = resource.acts();
        let keys: BTreeSet<u64> = acts.iter().filter(|act| act.begin >= from).map(|act| act.key).collect();
        let missed = (WATCHED.as_secs() as usize).saturating_sub(keys.len());
        if missed > 0 {
            let seen = acts.iter().filter(|act| act.begin + 2 * WATCHED >= from).map(|act| {
                let at = act.begin.as_secs_f64() - from.as_secs_f64();
                format!("\n  {at:+.3} s: {} under {}, key {}", act.holder, act.token, act.key)
            });
            let seen: String = seen.collect();
            let _ = writeln!(
                torment.logs,
                "n{leader}, which leads, is killed: {missed} missed of {lease}{seen}{}",
                fleet.logs()
            );
        }
        torment.missed += missed;
        torment.leaders += 1;
        fleet.start(leader).await?;
        return Ok(());
    }
    Ok(())
}

/// The one that leads is killed so often, each time with nothing else wrong and another one that holds.
pub async fn leaders(program: &Path, seed: u64, kills: usize) -> io::Result<Torment> {
    let (checks, cannot, tasks) = resources().await;
    let mut fleet = Fleet::new(program, &format!("leaders-{seed}"), (MEMBERS, VOTERS), TTL, &tasks).await?;
    fleet.start_all().await?;
    let mut torment = Torment::default();
    let ready = async {
        fleet.wait_for_votes().await;
        tokio::join!(wait_for_acts(&checks, 2), wait_for_acts(&cannot, 2));
    };
    torment.goes_on = timeout(GENEROUS, ready).await.is_ok();
    // Where one leads and holds both leases there is nothing to be seen: it is killed all the same, so that others come to hold them.
    for _ in 0..2 * kills {
        if torment.leaders == kills || !torment.goes_on {
            break;
        }
        let tasks = [("task/checked", &checks), ("task/timed", &cannot)];
        let before = torment.leaders;
        kill_leader(&mut fleet, tasks, &mut torment).await?;
        if torment.leaders == before
            && let Some(leader) = fleet.leader().await
        {
            fleet.kill(leader).await;
            fleet.start(leader).await?;
        }
        torment.kills += 1;
        // All that it was is settled before the next one.
        sleep(TTL).await;
        let going = async { tokio::join!(wait_for_acts(&checks, 1), wait_for_acts(&cannot, 1)) };
        torment.goes_on &= timeout(GENEROUS, going).await.is_ok();
    }
    torment.acts = [&checks, &cannot].map(|resource| resource.acts().len()).iter().sum();
    torment.at_once = cannot.overlaps().len();
    torment.lower = checks.stale_token_acts().len() + cannot.stale_token_acts().len();
    if !torment.goes_on || torment.at_once + torment.lower > 0 {
        torment.logs.push_str(&fleet.logs());
    }
    Ok(torment)
}

/// All voters are cut off from each other for a while: requests are served, and tasks go on soon after.
async fn lose_quorum(fleet: &Fleet, resources: [&Resource; 2], torment: &mut Torment) {
    for n in 0..VOTERS {
        fleet.isolate(n, Fault::Cut);
    }
    sleep(2 * TTL).await;
    for (n, nodo) in fleet.nodos.iter().enumerate() {
        let balancer = Balancer::new(nodo.address, 700 + n as u64, None);
        for _ in 0..REQUESTS {
            let answer = balancer.send(&Request::new("read", b"x"), TTL).await;
            torment.unserved += usize::from(answer.status != 200);
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
    if timeout(GENEROUS, again).await.is_ok() {
        torment.quorum = Some(began.elapsed().as_secs_f64() / TTL.as_secs_f64());
    }
}

/// Mends what is due.
async fn heal(fleet: &mut Fleet, heals: &mut Vec<(Instant, Heals)>, now: Instant) -> io::Result<()> {
    let mut place = 0;
    while place < heals.len() {
        if heals[place].0 > now {
            place += 1;
            continue;
        }
        match heals.swap_remove(place).1 {
            Heals::Start(n) => fleet.incarnations[n] = Some(fleet.nodos[n].start_without_waiting().await?),
            Heals::Thaw(n) => fleet.process(n).resume(),
            Heals::Links => fleet.heal(),
        }
    }
    Ok(())
}
