//! The program started again while it serves: two processes as one nodo, under load, with stand-ins round them.

#[path = "common/relay.rs"]
mod relay;

use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::nodo::{Load, Nodo, keyed};
use relay::relay_messages;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::net::{UnixListener, UnixStream};
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(10);
const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");

async fn nodo(name: &str) -> Nodo {
    Nodo::new(Path::new(PROGRAM), name).await.unwrap()
}

/// Ends the load, and checks that no key ran twice, and that no try was refused once another of its key had run.
async fn ends_safely(load: Load, nodo: &Nodo) {
    let (tally, _) = load.end(nodo).await;
    assert!(tally.ran_twice.is_empty() && tally.refused_after_run.is_empty(), "{tally:?}");
}

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(60), test).await.expect("the test hangs");
    });
}

/// No request meets a refused, reset or unread connection, every answer is good, and no key runs twice, over three
/// upgrades in a row; each earlier process ends of itself and in time, and never says that the nodo is closed.
#[test]
fn three_upgrades_in_a_row_under_load_lose_nothing_and_run_no_key_twice() {
    local(async {
        let mut site = nodo("upgrades").await;
        let mut serving = site.start().await.unwrap();
        let load = Load::start(site.address, PATIENCE);
        for _ in 0..3 {
            load.wait_for_reads(70).await;
            let later = site.start().await.unwrap();
            load.wait_for_reads(17).await;
            let told = Instant::now();
            serving.process.terminate();
            assert!(serving.process.wait().await, "it fails at its end");
            assert!(told.elapsed() < Duration::from_millis(3500), "it was killed by then");
            serving = later;
        }
        load.wait_for_reads(70).await;
        let (tally, reads) = load.end(&site).await;
        // Each key ran once, and both its tries were served with what that run made.
        assert!(reads.len() > 300 && reads.iter().all(|read| read.status == 200));
        assert_eq!((tally.runs, &tally.ran_twice, &tally.differ), (tally.keys, &vec![], &vec![]));
        assert_eq!(tally.statuses, [(200, 2 * tally.keys)].into(), "{tally:?}");
        assert!(site.interpreters.iter().all(|interpreter| interpreter.runs().len() > 10));
        assert_eq!(site.directory.mode().as_deref(), Some("open"));
        assert!(!site.directory.modes().iter().any(|mode| mode == "closed"));
    });
}

/// The link is cut after each number of messages that an upgrade takes, under load. The later start finds the earlier one
/// again or goes on without it; no key runs twice and none is refused, whatever is not known.
#[test]
fn the_link_may_be_cut_at_any_message() {
    local(async {
        for messages in (0..10).chain([15, 25, 50]) {
            let mut site = nodo(&format!("cut{messages}")).await;
            let earlier = site.start().await.unwrap();
            let load = Load::start(site.address, PATIENCE);
            load.wait_for_reads(10).await;
            // The proxy takes the place of the earlier start's socket.
            let (socket, behind) = (site.folder.join("jaspershunt-n1.sock"), site.folder.join("behind.sock"));
            while std::fs::rename(&socket, &behind).is_err() {
                sleep(Duration::from_millis(2)).await;
            }
            let proxy = UnixListener::bind(&socket).unwrap();
            let cutting = spawn_local(async move {
                let (later, _) = proxy.accept().await.unwrap();
                let earlier = UnixStream::connect(&behind).await.unwrap();
                // What comes behind the cut finds the earlier start itself, unless that is gone.
                std::fs::rename(&behind, &socket).unwrap();
                relay_messages(earlier, later, async |passed| passed != messages).await;
            });
            let later = match timeout(Duration::from_secs(20), site.start()).await {
                Ok(later) => later.unwrap(),
                Err(_) => panic!("it takes no clients after {messages} messages: {}", site.logs()),
            };
            load.wait_for_reads(10).await;
            earlier.process.terminate();
            load.wait_for_reads(10).await;
            ends_safely(load, &site).await;
            drop((later, cutting));
        }
    });
}

/// A run that the earlier process has in hand serves the tries that reach the later one.
#[test]
fn a_key_that_runs_at_the_earlier_start_is_waited_for_at_the_later_one() {
    local(async {
        let mut site = nodo("in-hand").await;
        let earlier = site.start().await.unwrap();
        let (one, two) = (Balancer::new(site.address, 1, None), Balancer::new(site.address, 2, None));
        let first = spawn_local(async move { one.send(&keyed("slow", "k", false), PATIENCE).await });
        while site.runs(b"k") == 0 {
            sleep(Duration::from_millis(2)).await;
        }
        let later = site.start().await.unwrap();
        earlier.process.terminate();
        let other =
            two.send(&Request { body: b"another".to_vec(), ..keyed("slow", "k", true) }, PATIENCE).await;
        assert_eq!(other.status, 400, "a known key with another body");
        let again = two.send(&keyed("slow", "k", true), PATIENCE).await;
        let first = first.await.unwrap();
        assert_eq!((first.status, again.status), (200, 200));
        assert_eq!((&first.body, site.runs(b"k")), (&again.body, 1));
        drop(later);
    });
}

/// A later process that is killed, before or after it was given the keys, leaves the earlier one serving. What may have
/// run there is neither run nor refused.
#[test]
fn a_later_start_that_is_killed_leaves_the_earlier_one_serving() {
    local(async {
        let mut site = nodo("killed").await;
        let earlier = site.start().await.unwrap();
        let balancer = Balancer::new(site.address, 1, None);
        assert_eq!(balancer.send(&keyed("sign", "before", false), PATIENCE).await.status, 200);
        let mut later = site.start().await.unwrap();
        let fresh = Balancer::new(site.address, 2, None);
        assert_eq!(fresh.send(&keyed("sign", "there", false), PATIENCE).await.status, 200);
        assert_eq!(site.interpreters[1].runs().len(), 1, "the later start serves now");
        later.process.kill().await;
        let fresh = Balancer::new(site.address, 3, None);
        earlier.wait_until_ready().await;
        let again = fresh.send(&keyed("sign", "before", true), PATIENCE).await;
        assert_eq!((again.status, site.runs(b"before")), (200, 1));
        let there = fresh.send(&keyed("sign", "there", true), PATIENCE).await;
        assert_eq!((there.status, site.runs(b"there")), (500, 1), "it ran where nobody can tell any more");
        assert_eq!(fresh.send(&keyed("sign", "new", false), PATIENCE).await.status, 200);
        // And a later start finds it again.
        let later = site.start().await.unwrap();
        earlier.process.terminate();
        assert_eq!(balancer.send(&keyed("sign", "before", true), PATIENCE).await.status, 200);
        assert_eq!(site.runs(b"before"), 1);
        drop(later);
    });
}

/// An earlier process that is killed leaves the later one with all that it was given; what it had in hand has failed.
#[test]
fn an_earlier_start_that_is_killed_leaves_its_keys() {
    local(async {
        let mut site = nodo("orphan").await;
        let mut earlier = site.start().await.unwrap();
        let balancer = Balancer::new(site.address, 1, None);
        let done = balancer.send(&keyed("sign", "done", false), PATIENCE).await;
        let waits = Balancer::new(site.address, 2, None);
        let hanging = spawn_local(async move { waits.send(&keyed("slow", "k", false), PATIENCE).await });
        while site.runs(b"k") == 0 {
            sleep(Duration::from_millis(2)).await;
        }
        let _later = site.start().await.unwrap();
        earlier.process.kill().await;
        assert_eq!(hanging.await.unwrap().status, 0);
        let fresh = Balancer::new(site.address, 3, None);
        assert_eq!(fresh.send(&keyed("sign", "done", true), PATIENCE).await.body, done.body);
        let again = fresh.send(&keyed("slow", "k", true), PATIENCE).await;
        assert_eq!((again.status, site.runs(b"k"), site.runs(b"done")), (500, 1, 1));
    });
}

/// While its interpreter is not up a later start answers operators with that, and the earlier one serves; told to leave, it
/// is gone at once.
#[test]
fn a_later_start_without_its_interpreter_answers_operators_and_leaves_the_earlier_one_serving() {
    local(async {
        let mut site = nodo("early").await;
        let earlier = site.start().await.unwrap();
        // Its interpreter takes the link and says nothing.
        let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut later = site.start_with_interpreter(silent.local_addr().unwrap()).await.unwrap();
        let told = later.call("PING").await;
        assert!(told.starts_with("-ERR") && told.contains("interpreter"), "{told}");
        assert!(later.call("INFO").await.starts_with('{'));
        let balancer = Balancer::new(site.address, 1, None);
        assert_eq!(balancer.send(&keyed("sign", "k", false), PATIENCE).await.status, 200);
        assert_eq!(site.runs(b"k"), 1);
        later.process.terminate();
        assert!(later.process.wait().await);
        assert_eq!(balancer.send(&keyed("sign", "k", true), PATIENCE).await.status, 200);
        assert!(earlier.call("PING").await.starts_with("+OK"));
    });
}

/// A socket that a dead process left is no earlier start; and clients sent away stay so over an upgrade.
#[test]
fn a_stale_socket_is_recognised_and_a_drain_goes_over_to_the_later_start() {
    local(async {
        let mut site = nodo("drain").await;
        let mut dead = site.start().await.unwrap();
        dead.process.kill().await;
        let mut earlier = site.start().await.unwrap();
        assert!(earlier.call("LAMEDUCK").await.starts_with("+OK"));
        let later = site.start().await.unwrap();
        let balancer = Balancer::new(site.address, 1, None);
        while site.directory.mode().as_deref() != Some("closed") {
            sleep(Duration::from_millis(2)).await;
        }
        assert_eq!(balancer.send(&Request::new("read", b"x"), PATIENCE).await.status, 200);
        earlier.process.terminate();
        assert!(earlier.process.wait().await);
        assert!(later.call("REJOIN").await.starts_with("+OK"));
        while site.directory.mode().as_deref() != Some("open") {
            sleep(Duration::from_millis(2)).await;
        }
    });
}
