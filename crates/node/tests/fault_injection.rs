//! Seven nodos in three regions run keyed work while faults are injected: partitions, flapping links, kills
//! and random mixes. Safety is checked without tolerance on the histories of all nodos, clients and the
//! resource; progress must be made within long timeouts.

use jaspershunt_stand_ins::link::Way;
use jaspershunt_stand_ins::partial::faults::{Ends, Fault, FaultInjector};
use jaspershunt_stand_ins::partial::{NODOS, REGIONS, Rig, TTL};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::path::Path;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
/// Timeout for progress after a fault.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of an effect on the resource while faults are active.
const EFFECT_DURATION: Duration = Duration::from_millis(150);
/// Number of clients, and each client's pause between two keys.
const CLIENTS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(60);
/// Keys queried concurrently at the end.
const CONCURRENT_QUERIES: usize = 16;

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(170), test).await.expect("the test hangs");
    });
}

async fn start_fleet(name: &str) -> Rig {
    let rig = Rig::start(Path::new(PROGRAM), name, true, (TTL, EFFECT_DURATION)).await.unwrap();
    assert!(rig.wait_for_votes().await, "{name}: no votes: {}", rig.fleet.logs());
    rig
}

/// Waits until at least two effects are in progress.
async fn wait_for_running_effects(rig: &Rig, name: &str) {
    let under_way = async {
        while rig.resource.effects().iter().filter(|effect| effect.end.is_none()).count() < 2 {
            sleep(Duration::from_millis(2)).await;
        }
    };
    if timeout(PROGRESS_TIMEOUT, under_way).await.is_err() {
        panic!("{name}: no work is running: {}", rig.fleet.logs());
    }
}

/// Injects each fault during running work and heals it. Every request is answered in the end.
async fn run_with_faults(name: &str, seed: u64, faults: &[Fault], lasts: Duration) -> Rig {
    let mut rig = start_fleet(name).await;
    let load = rig.clients.load(seed, CLIENTS, PAUSE, PROGRESS_TIMEOUT);
    for fault in faults {
        wait_for_running_effects(&rig, name).await;
        assert!(rig.inject(fault).await.unwrap());
        rig.run_for(lasts).await.unwrap();
        assert!(rig.heal_all().await.unwrap(), "{name}: no votes after {fault}: {}", rig.fleet.logs());
    }
    check_histories(&mut rig, name, seed, load).await;
    rig
}

/// Heals everything and checks that each request is answered on a retry and that the histories are valid.
async fn check_histories(rig: &mut Rig, name: &str, seed: u64, load: Vec<tokio::task::JoinHandle<()>>) {
    assert!(rig.heal_all().await.unwrap(), "{name}, seed {seed}: no votes: {}", rig.fleet.logs());
    rig.clients.stop();
    rig.resource.set_duration(Duration::from_millis(10));
    for client in load {
        timeout(2 * PROGRESS_TIMEOUT, client).await.expect("a client got no answer").unwrap();
    }
    let unanswered = rig.clients.query_all(seed, CONCURRENT_QUERIES, PROGRESS_TIMEOUT).await;
    let verdict = rig.verdict().unwrap();
    assert!(verdict.is_fine(), "{name}, seed {seed}: {} {}", verdict.describe_problems(), rig.fleet.logs());
    assert_eq!(unanswered, 0, "{name}, seed {seed}: {:#?} {}", rig.clients.tries(), rig.fleet.logs());
    assert_eq!(rig.clients.write_error(), None);
    // Guards against a check of empty histories: the nodos must have recorded work, too.
    let started_work = verdict.history.records.iter().filter(|record| {
        matches!(record.op, jaspershunt_histories::format::Op::Begun { .. })
            && record.who.process != "clients"
    });
    assert!(verdict.keys >= 10 && started_work.count() >= 10, "{name}: {} keys", verdict.keys);
}

fn took_over(rig: &Rig) -> bool {
    rig.resource.query_counts().0 > 0 || rig.fleet.logs().contains("comes here from another nodo")
}

/// The first voter's region can receive but not send, then send but not receive, then neither. Origin nodes
/// there and successors elsewhere are alive at once, each with a view of half of the fleet.
#[test]
fn work_runs_once_when_a_partition_separates_origin_and_successor() {
    local(async {
        let norte: Vec<usize> = (0..NODOS).filter(|n| REGIONS[*n] == "norte").collect();
        let cut = |way| Fault::Cut { ends: Ends::Halves(norte.clone()), way, flaps: None, lasts: 3 * TTL };
        let faults = [cut(Some(Way::There)), cut(Some(Way::Back)), cut(None)];
        let rig = run_with_faults("halves", 1, &faults, 3 * TTL).await;
        assert!(took_over(&rig), "nothing was taken over: {}", rig.fleet.logs());
    });
}

/// The links of each voter in turn go down and up repeatedly.
#[test]
fn flapping_links_neither_lose_nor_duplicate_work() {
    local(async {
        let flaps = |n, ms| Fault::Cut {
            ends: Ends::Nodo(n),
            way: None,
            flaps: Some(Duration::from_millis(ms)),
            lasts: 2 * TTL,
        };
        run_with_faults("flaps", 2, &[flaps(0, 60), flaps(1, 150), flaps(2, 250)], 2 * TTL).await;
    });
}

/// A region is killed with all its work and restarts with its disks; then all nodos are killed and restarted.
#[test]
fn loss_of_a_region_and_restart_of_all_nodos_lose_nothing() {
    local(async {
        let norte: Vec<usize> = (0..NODOS).filter(|n| REGIONS[*n] == "norte").collect();
        let region = Fault::Kill { who: norte, empty: false, back: 3 * TTL };
        let all = Fault::Kill { who: (0..NODOS).collect(), empty: false, back: Duration::from_millis(100) };
        let rig = run_with_faults("region", 3, &[region, all], 3 * TTL).await;
        assert!(took_over(&rig), "nothing was taken over: {}", rig.fleet.logs());
    });
}

/// Injects random faults of all kinds for a few seconds. Seeds that found a fault stay here.
#[test]
fn histories_hold_under_random_simultaneous_faults() {
    local(async {
        for seed in [11] {
            let name = format!("faults-{seed}");
            let mut rig = start_fleet(&name).await;
            let load = rig.clients.load(seed, CLIENTS, PAUSE, PROGRESS_TIMEOUT);
            let teams = rig.editors.load(seed, PAUSE, PROGRESS_TIMEOUT);
            let mut injector = FaultInjector::new(StdRng::seed_from_u64(seed));
            injector.play(&mut rig, Duration::from_secs(8)).await.unwrap();
            assert!(injector.faults() >= 10, "{:?}", injector.timeline);
            rig.editors.stop();
            assert!(rig.heal_all().await.unwrap(), "{name}: no votes: {}", rig.fleet.logs());
            for team in teams {
                timeout(2 * PROGRESS_TIMEOUT, team).await.expect("a team got no result of its edit").unwrap();
            }
            let table = rig.wait_for_one_table().await;
            assert!(table.is_ok(), "{name}: {table:?} {}", rig.fleet.logs());
            // Guards against a table without edits.
            let [in_force, _, _, unheard] = rig.editors.tally();
            assert!(in_force >= 10 && unheard == 0, "{name}: {:?} {}", rig.editors.tally(), rig.fleet.logs());
            assert_eq!(rig.editors.write_error(), None);
            check_histories(&mut rig, &name, seed, load).await;
        }
    });
}
