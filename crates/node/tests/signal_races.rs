//! Guards against signals that arrive together. The process is paused while SIGHUP and SIGTERM are sent, so
//! that it receives both at once.

use jaspershunt_stand_ins::balancer::Balancer;
use jaspershunt_stand_ins::nodo::{Incarnation, Nodo, keyed};
use jaspershunt_stand_ins::process::Process;
use std::path::Path;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
const POLL_INTERVAL: Duration = Duration::from_millis(2);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(60), test).await.expect("the test hangs");
    });
}

async fn nodo(name: &str) -> Nodo {
    Nodo::new(Path::new(PROGRAM), name).await.unwrap()
}

/// How a process's configuration is changed.
#[derive(Clone, Copy, Debug)]
enum Edit {
    /// A longer window.
    Good,
    /// A truncated file.
    Bad,
}

/// Changes the configuration of the process with this number.
fn edit(site: &Nodo, start: usize, how: Edit) {
    let path = site.folder.join(format!("config{start}.json"));
    let text = std::fs::read_to_string(&path).unwrap();
    let edited = match how {
        Edit::Good => text.replace("\"windowS\":30", "\"windowS\":40"),
        Edit::Bad => text[..text.len() / 2].to_string(),
    };
    assert_ne!(edited, text);
    std::fs::write(&path, edited).unwrap();
}

/// Delivers several signals at once.
fn send_simultaneously(process: &Process, signals: &[fn(&Process)]) {
    process.pause();
    signals.iter().for_each(|signal| signal(process));
    process.resume();
}

/// Returns the process's counts of loaded and invalid configurations.
async fn config_counts(start: &Incarnation) -> String {
    let info = start.call("INFO").await;
    let from = info.find("\"conf_loaded\"").expect("counts");
    let to = info[from..].find('}').expect("the end of the counts");
    info[from..from + to].to_string()
}

async fn wait_for_config_counts(start: &Incarnation, expected: &str) {
    while config_counts(start).await != expected {
        sleep(POLL_INTERVAL).await;
    }
}

/// The configuration is reloaded as the nodo starts to drain, in either order, while a keyed request runs.
/// The request is answered once, the directory receives `closed` last, and the program exits successfully.
#[test]
fn simultaneous_sighup_and_sigterm_reload_and_drain() {
    let orders: [[fn(&Process); 2]; 2] =
        [[Process::hang_up, Process::terminate], [Process::terminate, Process::hang_up]];
    for (n, signals) in orders.into_iter().enumerate() {
        for how in [Edit::Good, Edit::Bad] {
            local(async {
                let mut site = nodo(&format!("signals-{n}-{how:?}")).await;
                site.without_shared_folder = true;
                let mut start = site.start().await.unwrap();
                let balancer = Balancer::new(site.address, 1, None);
                let runs = spawn_local({
                    let balancer = balancer.clone();
                    async move { balancer.send(&keyed("slow", "k", false), ANSWER_TIMEOUT).await }
                });
                while site.runs(b"k") == 0 {
                    sleep(POLL_INTERVAL).await;
                }
                edit(&site, 1, how);
                send_simultaneously(&start.process, &signals);
                assert_eq!(runs.await.unwrap().status, 200, "{n} {how:?}{}", site.logs());
                assert!(start.process.wait().await, "it exits with a failure");
                assert_eq!(site.runs(b"k"), 1);
                assert_eq!(site.directory.mode().as_deref(), Some("closed"));
                let expected_log = match how {
                    Edit::Good => "new settings are in use",
                    Edit::Bad => "the one before stays in force",
                };
                assert_eq!(site.logs().matches(expected_log).count(), 1, "{}", site.logs());
            });
        }
    }
}

/// A valid and an invalid configuration follow each other, in either order, while the first is being applied.
/// The valid one is in force, and each is counted.
#[test]
fn valid_and_invalid_configurations_in_quick_succession_are_each_counted() {
    for (first, second, expected) in [
        (Edit::Good, Edit::Bad, "\"conf_loaded\":1,\"conf_invalid\":1"),
        (Edit::Bad, Edit::Good, "\"conf_loaded\":1,\"conf_invalid\":1"),
    ] {
        local(async {
            let mut site = nodo(&format!("follows-{first:?}")).await;
            let start = site.start().await.unwrap();
            let path = site.folder.join("config1.json");
            let whole = std::fs::read_to_string(&path).unwrap();
            edit(&site, 1, first);
            start.process.hang_up();
            // The first has been read by now, though it may not be in force yet.
            while config_counts(&start).await == "\"conf_loaded\":0,\"conf_invalid\":0" {
                sleep(POLL_INTERVAL).await;
            }
            std::fs::write(&path, whole).unwrap();
            edit(&site, 1, second);
            start.process.hang_up();
            wait_for_config_counts(&start, expected).await;
            let balancer = Balancer::new(site.address, 1, None);
            assert_eq!(balancer.send(&keyed("sign", "k", false), ANSWER_TIMEOUT).await.status, 200);
            assert_eq!(balancer.send(&keyed("sign", "k", true), ANSWER_TIMEOUT).await.status, 200);
            assert_eq!(site.runs(b"k"), 1);
        });
    }
}

/// Two simultaneous signals cause one or two reads of the same file, never more.
#[test]
fn simultaneous_sighups_reload_once_or_twice() {
    local(async {
        let mut site = nodo("twice").await;
        let start = site.start().await.unwrap();
        edit(&site, 1, Edit::Good);
        send_simultaneously(&start.process, &[Process::hang_up, Process::hang_up]);
        let all = ["\"conf_loaded\":1,\"conf_invalid\":0", "\"conf_loaded\":2,\"conf_invalid\":0"];
        while !all.contains(&config_counts(&start).await.as_str()) {
            sleep(POLL_INTERVAL).await;
        }
        assert_eq!(site.logs().matches("new settings are in use").count(), 1, "{}", site.logs());
    });
}

/// Both processes of an upgrade reload while both have tries of one key. It runs once, and all tries get its
/// result.
#[test]
fn both_processes_of_an_upgrade_reload_while_a_keyed_run_is_in_flight() {
    local(async {
        let mut site = nodo("upgraded").await;
        let mut earlier = site.start().await.unwrap();
        let send = |number, resent| {
            let balancer = Balancer::new(site.address, number, None);
            spawn_local(async move { balancer.send(&keyed("slow", "k", resent), ANSWER_TIMEOUT).await })
        };
        let first = send(1, false);
        while site.runs(b"k") == 0 {
            sleep(POLL_INTERVAL).await;
        }
        let again = send(2, true);
        let later = site.start().await.unwrap();
        edit(&site, 1, Edit::Good);
        edit(&site, 2, Edit::Good);
        for start in [&earlier, &later] {
            start.process.pause();
            start.process.hang_up();
        }
        let balancer = Balancer::new(site.address, 3, None);
        let third =
            spawn_local(async move { balancer.send(&keyed("slow", "k", true), ANSWER_TIMEOUT).await });
        for start in [&later, &earlier] {
            start.process.resume();
        }
        for start in [&earlier, &later] {
            wait_for_config_counts(start, "\"conf_loaded\":1,\"conf_invalid\":0").await;
        }
        let bodies = [first.await.unwrap(), again.await.unwrap(), third.await.unwrap()];
        assert!(
            bodies.iter().all(|answer| answer.status == 200 && answer.body == bodies[0].body),
            "{bodies:?}"
        );
        earlier.process.terminate();
        assert!(earlier.process.wait().await);
        let balancer = Balancer::new(site.address, 4, None);
        assert_eq!(balancer.send(&keyed("slow", "k", true), ANSWER_TIMEOUT).await.status, 200);
        assert_eq!(site.runs(b"k"), 1);
        assert_eq!(site.directory.mode().as_deref(), Some("open"));
    });
}
