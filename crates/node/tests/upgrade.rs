//! Upgrades under load: a second process of the same nodo takes over from the first. The peers are fake
//! servers.

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

/// Ends the load, and checks that no key ran twice and that no try was refused after another try of its key
/// ran.
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

/// Over three upgrades in a row no connection is refused, reset or left unread, every answer is good, and no
/// key runs twice. Each earlier process exits by itself in time and never reports the nodo as closed.
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
            let terminated = Instant::now();
            serving.process.terminate();
            assert!(serving.process.wait().await, "it exits with a failure");
            assert!(terminated.elapsed() < Duration::from_millis(3500), "it exits too late");
            serving = later;
        }
        load.wait_for_reads(70).await;
        let (tally, reads) = load.end(&site).await;
        // Each key ran once, and both its tries got the result of that run.
        assert!(reads.len() > 300 && reads.iter().all(|read| read.status == 200));
        assert_eq!((tally.runs, &tally.ran_twice, &tally.differ), (tally.keys, &vec![], &vec![]));
        assert_eq!(tally.statuses, [(200, 2 * tally.keys)].into(), "{tally:?}");
        assert!(site.interpreters.iter().all(|interpreter| interpreter.runs().len() > 10));
        assert_eq!(site.directory.mode().as_deref(), Some("open"));
        assert!(!site.directory.modes().iter().any(|mode| mode == "closed"));
    });
}

/// Under load, the link between the processes is cut after each possible number of messages of an upgrade.
/// The later process reconnects to the earlier one or continues without it; no key runs twice, and none is
/// refused after it ran.
#[test]
fn cutting_the_link_at_any_message_is_safe() {
    local(async {
        for messages in (0..10).chain([15, 25, 50]) {
            let mut site = nodo(&format!("cut{messages}")).await;
            let earlier = site.start().await.unwrap();
            let load = Load::start(site.address, PATIENCE);
            load.wait_for_reads(10).await;
            // The proxy replaces the earlier process's socket.
            let (socket, behind) = (site.folder.join("jaspershunt-n1.sock"), site.folder.join("behind.sock"));
            while std::fs::rename(&socket, &behind).is_err() {
                sleep(Duration::from_millis(2)).await;
            }
            let proxy = UnixListener::bind(&socket).unwrap();
            let cutting = spawn_local(async move {
                let (later, _) = proxy.accept().await.unwrap();
                let earlier = UnixStream::connect(&behind).await.unwrap();
                // After the cut, connections reach the earlier process directly, unless it has exited.
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

/// Guards against a replaced process that counts its time with the deadlines of classes that the settings no longer
/// name, and is killed under open requests: they were shorter since a reload.
#[test]
fn a_replaced_process_ends_in_time_after_a_reload_with_shorter_deadlines() {
    const DEADLINE: Duration = Duration::from_millis(1500);
    // The platform kills a replaced process this long after the longest deadline.
    const KILL_SLACK: Duration = Duration::from_millis(700);
    local(async {
        let mut site = nodo("shorter").await;
        let shorter =
            site.settings.replace(r#""targetS":2,"deadlineS":3"#, r#""targetS":1.2,"deadlineS":1.5"#);
        site.settings = site.settings.replace(r#""deadlineS":3"#, r#""deadlineS":9"#);
        let mut earlier = site.start().await.unwrap();
        let file = site.folder.join("config1.json");
        let text = std::fs::read_to_string(&file).unwrap().replace(&site.settings, &shorter);
        std::fs::write(&file, text).unwrap();
        earlier.process.hang_up();
        earlier.process.wait_for_output("new settings are in use").await;
        site.settings = shorter;
        // Each request takes 0.7 s, so that the connection always has open ones.
        let balancer = Balancer::new(site.address, 7, None);
        let sending = spawn_local(async move {
            let mut answers = Vec::new();
            for n in 0..40 {
                let (balancer, key) = (balancer.clone(), format!("shorter-{n}"));
                answers.push(spawn_local(async move {
                    balancer.send(&keyed("slow", &key, false), PATIENCE).await
                }));
                sleep(Duration::from_millis(100)).await;
            }
            let mut statuses = Vec::new();
            for answer in answers {
                statuses.push(answer.await.unwrap().status);
            }
            statuses
        });
        sleep(Duration::from_millis(500)).await;
        let _later = site.start().await.unwrap();
        earlier.process.terminate();
        let ended = timeout(DEADLINE + KILL_SLACK, earlier.process.wait()).await;
        earlier.process.kill().await;
        let statuses = sending.await.unwrap();
        let lost = statuses.iter().filter(|status| **status == 0).count();
        assert!(ended == Ok(true) && lost == 0, "ended: {ended:?}, {lost} of {} lost", statuses.len());
    });
}

/// Guards against a replaced process that serves again once its nodo has left: the later process was told to leave,
/// so nothing that comes after that may run anywhere.
#[test]
fn a_replaced_process_runs_nothing_new_after_the_later_one_has_left() {
    const REQUESTS_AFTERWARDS: usize = 20;
    // The platform kills a replaced process after the longest deadline (3 s here) and 0.7 s.
    const KILL_AFTER: Duration = Duration::from_millis(3700);
    local(async {
        let mut site = nodo("retired").await;
        let mut earlier = site.start().await.unwrap();
        let load = Load::start(site.address, PATIENCE);
        load.wait_for_reads(20).await;
        // Never ends, so that the earlier process uses all of its time.
        let held = Balancer::new(site.address, 7, None);
        let held =
            spawn_local(
                async move { held.send(&Request::new("read", b"held by this test"), PATIENCE).await },
            );
        while site.runs(b"held by this test") == 0 {
            sleep(Duration::from_millis(2)).await;
        }
        let mut later = site.start().await.unwrap();
        earlier.process.terminate();
        let terminated = Instant::now();
        load.wait_for_reads(20).await;
        later.process.terminate();
        assert!(later.process.wait().await, "the later process exits with a failure");
        let balancer = Balancer::new(site.address, 8, None);
        for n in 0..REQUESTS_AFTERWARDS {
            let body = format!("afterwards {n}");
            let answer = balancer.send(&Request::new("read", body.as_bytes()), PATIENCE).await;
            assert!(answer.status != 200 && site.runs(body.as_bytes()) == 0, "{body}: {}", answer.status);
            sleep(Duration::from_millis(50)).await;
        }
        assert_ne!(held.await.unwrap().status, 0, "the held request has no answer");
        let ended = timeout(KILL_AFTER.saturating_sub(terminated.elapsed()), earlier.process.wait()).await;
        assert_eq!(ended, Ok(true), "it does not end before its kill");
        ends_safely(load, &site).await;
    });
}

/// The result of a run in flight at the earlier process answers the tries that reach the later one.
#[test]
fn the_later_process_waits_for_a_key_that_runs_at_the_earlier_one() {
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

/// When the later process is killed after it received the keys, the earlier one serves again. A key that may
/// have run at the later one is not run again and not refused; its tries fail.
#[test]
fn when_the_later_process_is_killed_the_earlier_one_serves() {
    local(async {
        let mut site = nodo("killed").await;
        let earlier = site.start().await.unwrap();
        let balancer = Balancer::new(site.address, 1, None);
        assert_eq!(balancer.send(&keyed("sign", "before", false), PATIENCE).await.status, 200);
        let mut later = site.start().await.unwrap();
        let fresh = Balancer::new(site.address, 2, None);
        assert_eq!(fresh.send(&keyed("sign", "there", false), PATIENCE).await.status, 200);
        assert_eq!(site.interpreters[1].runs().len(), 1, "the later process serves now");
        later.process.kill().await;
        let fresh = Balancer::new(site.address, 3, None);
        earlier.wait_until_ready().await;
        let again = fresh.send(&keyed("sign", "before", true), PATIENCE).await;
        assert_eq!((again.status, site.runs(b"before")), (200, 1));
        let there = fresh.send(&keyed("sign", "there", true), PATIENCE).await;
        assert_eq!((there.status, site.runs(b"there")), (500, 1), "it may have run at the killed process");
        assert_eq!(fresh.send(&keyed("sign", "new", false), PATIENCE).await.status, 200);
        // Another later process connects to it again.
        let later = site.start().await.unwrap();
        earlier.process.terminate();
        assert_eq!(balancer.send(&keyed("sign", "before", true), PATIENCE).await.status, 200);
        assert_eq!(site.runs(b"before"), 1);
        drop(later);
    });
}

/// Guards against connections that are dropped with their requests: the later process stalls as it has taken over, and
/// the earlier one ends meanwhile, so that its messages are still unread when the later one finds the link closed.
#[test]
fn connections_passed_on_to_a_process_that_stalls_are_served() {
    local(async {
        let mut site = nodo("stalled").await;
        let mut earlier = site.start().await.unwrap();
        // Each connection is passed on with the end of its first request, and its next one meets the stall.
        let address = site.address;
        let client = |number: u64| async move {
            let balancer = Balancer::new(address, number, None);
            let first = balancer.send(&keyed("slow", &number.to_string(), false), PATIENCE).await;
            (first.status, balancer.send(&Request::new("read", b"next"), PATIENCE).await.status)
        };
        let clients: Vec<_> = (1..=6).map(|number| spawn_local(client(number))).collect();
        while site.interpreters[0].runs().len() < clients.len() {
            sleep(Duration::from_millis(2)).await;
        }
        let later = site.start().await.unwrap();
        later.process.pause();
        earlier.process.terminate();
        assert!(earlier.process.wait().await, "it exits with a failure");
        sleep(Duration::from_millis(300)).await;
        later.process.resume();
        for client in clients {
            assert_eq!(client.await.unwrap(), (200, 200), "{}", site.logs());
        }
    });
}

/// When the earlier process is killed, the later one keeps the keys it received; in-flight runs have failed.
#[test]
fn when_the_earlier_process_is_killed_the_later_one_keeps_its_keys() {
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

/// Until its interpreter is up, the later process answers operators with an error that names it, and the
/// earlier one serves. On SIGTERM the later process exits at once.
#[test]
fn without_its_interpreter_the_later_process_answers_operators_and_the_earlier_one_serves() {
    local(async {
        let mut site = nodo("early").await;
        let earlier = site.start().await.unwrap();
        // Its interpreter accepts the link and sends nothing.
        let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut later = site.start_with_interpreter(silent.local_addr().unwrap()).await.unwrap();
        let reply = later.call("PING").await;
        assert!(reply.starts_with("-ERR") && reply.contains("interpreter"), "{reply}");
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

/// A socket left by a dead process is not taken for an earlier process, and a drain persists over an upgrade.
#[test]
fn a_stale_socket_is_recognised_and_a_drain_passes_to_the_later_process() {
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
