//! Several incarnations of one nodo, any of which is paused and resumed: by the interpreters' records no key
//! runs twice and none is refused after it ran, and the incarnation left serving serves all requests.

#[path = "common/relay.rs"]
mod relay;

use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::nodo::{AnswerLog, Incarnation, Load, Nodo, keyed};
use relay::relay_messages;
use std::cell::Cell;
use std::path::Path;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
/// Shorter than a long pause, so that balancers do not wait for requests stuck in a paused process.
const TRY_TIMEOUT: Duration = Duration::from_millis(800);
/// Longer than the second after which a peer counts as silent.
const LONG_PAUSE: Duration = Duration::from_millis(1700);
/// Shorter than the second after which a peer counts as silent.
const SHORT_PAUSE: Duration = Duration::from_millis(400);
/// Time allowed until a nodo serves again; far more than the documented 2 s, for slow machines.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(20);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(120), test).await.expect("the test hangs");
    });
}

async fn new_nodo(name: &str) -> Nodo {
    Nodo::new(Path::new(PROGRAM), name).await.unwrap()
}

/// Sends keys, two tries of each, until both tries of ten keys in a row are served.
async fn wait_until_serving(nodo: &Nodo, answer_log: &AnswerLog) {
    let served_in_a_row = async {
        // Uses keys that no earlier call has sent: a key must have only one first try.
        let (mut served, mut n) = (0, answer_log.answers().len());
        while served < 10 {
            let key = format!("again-{n}");
            answer_log.send_twice(nodo.address, &key, TRY_TIMEOUT).await;
            let both = answer_log.answers()[&key].iter().all(|answer| answer.status == 200);
            (served, n) = (if both { served + 1 } else { 0 }, n + 1);
        }
    };
    if timeout(PROGRESS_TIMEOUT, served_in_a_row).await.is_err() {
        panic!("the nodo does not serve again: {:?} {}", answer_log.tally(nodo, "again"), nodo.logs());
    }
}

/// Checks that no key ran twice and that none was refused after it ran.
fn assert_safe(nodo: &Nodo, answer_log: &AnswerLog, what: &str) {
    let tally = answer_log.tally(nodo, "");
    assert!(tally.keys > 0, "{what}: nothing was sent");
    assert!(
        tally.ran_twice.is_empty() && tally.refused_after_run.is_empty(),
        "{what}: {tally:?} {}",
        nodo.logs()
    );
}

/// Waits until exactly one incarnation reports ready, and returns its index.
async fn wait_for_single_ready(incarnations: &[&Incarnation], nodo: &Nodo) -> usize {
    let one = async {
        loop {
            let mut serving = Vec::new();
            for (n, incarnation) in incarnations.iter().enumerate() {
                if incarnation.is_ready().await {
                    serving.push(n);
                }
            }
            if let [one] = serving[..] {
                return one;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PROGRESS_TIMEOUT, one)
        .await
        .unwrap_or_else(|_| panic!("not exactly one incarnation is ready: {}", nodo.logs()))
}

/// The earlier incarnation is paused before it answers, the later one takes over, and the earlier one resumes
/// during a burst. In this case 87 of 300 keys have been seen to run twice.
#[test]
fn a_superseded_incarnation_runs_nothing_when_resumed() {
    local(async {
        let mut nodo = new_nodo("woken").await;
        let (earlier, answer_log) = (nodo.start().await.unwrap(), AnswerLog::default());
        answer_log.burst(nodo.address, "before", 20, 4, TRY_TIMEOUT).await;
        earlier.process.pause();
        let later = nodo.start().await.unwrap();
        let (address, burst_log) = (nodo.address, answer_log.clone());
        let burst =
            spawn_local(async move { burst_log.burst(address, "during", 300, 12, TRY_TIMEOUT).await });
        sleep(Duration::from_millis(300)).await;
        earlier.process.resume();
        burst.await.unwrap();
        wait_until_serving(&nodo, &answer_log).await;
        assert_safe(&nodo, &answer_log, "resumed");
        let reply = earlier.call("PING").await;
        assert!(reply.starts_with("-ERR") && reply.contains("taken over"), "{reply}");
        assert!(later.is_ready().await);
        // The later incarnation has the outcomes of the earlier one and answers with them.
        let balancer = Balancer::new(nodo.address, 9, None);
        let again = balancer.send(&keyed("sign", "before-0", true), PROGRESS_TIMEOUT).await;
        assert_eq!((again.status, nodo.sign_runs("before-0")), (200, 1), "{}", nodo.logs());
    });
}

/// A later incarnation that owns the keys is paused: the earlier one takes them back and neither runs nor
/// refuses what may have run there. The later one has lost ownership when it resumes.
#[test]
fn a_paused_later_incarnation_leaves_the_earlier_one_serving() {
    local(async {
        let mut nodo = new_nodo("later-paused").await;
        let (earlier, answer_log) = (nodo.start().await.unwrap(), AnswerLog::default());
        let later = nodo.start().await.unwrap();
        answer_log.burst(nodo.address, "there", 20, 4, TRY_TIMEOUT).await;
        later.process.pause();
        timeout(PROGRESS_TIMEOUT, async {
            // Until the link counts as silent the earlier one reports ready, as it forwards to the later one.
            while earlier.call("PING").await.starts_with("+OK") {
                sleep(Duration::from_millis(10)).await;
            }
            earlier.wait_until_ready().await;
        })
        .await
        .unwrap_or_else(|_| panic!("{}", nodo.logs()));
        wait_until_serving(&nodo, &answer_log).await;
        let balancer = Balancer::new(nodo.address, 9, None);
        let again = balancer.send(&keyed("sign", "there-0", true), PROGRESS_TIMEOUT).await;
        assert_eq!(
            (again.status, nodo.sign_runs("there-0")),
            (500, 1),
            "its outcome is known to no running incarnation"
        );
        later.process.resume();
        assert_eq!(wait_for_single_ready(&[&earlier, &later], &nodo).await, 0);
        answer_log.burst(nodo.address, "woken", 60, 12, TRY_TIMEOUT).await;
        wait_until_serving(&nodo, &answer_log).await;
        // The later incarnation has reported its outcomes by now.
        let again = balancer.send(&keyed("sign", "there-0", true), PROGRESS_TIMEOUT).await;
        assert_eq!((again.status, nodo.sign_runs("there-0")), (200, 1), "{}", nodo.logs());
        assert_safe(&nodo, &answer_log, "later paused");
        // A termination request ends this incarnation and does not close the nodo.
        let mut later = later;
        later.process.terminate();
        assert!(timeout(PROGRESS_TIMEOUT, later.process.wait()).await.unwrap());
        assert!(!nodo.directory.modes().iter().any(|mode| mode == "closed"));
    });
}

/// Pauses one of two incarnations for `length` at the n-th message of the handover, under load.
async fn pause_at_message(messages: usize, pause_earlier: bool, length: Duration) {
    let what = format!(
        "paused-{}-{messages}-{}",
        if pause_earlier { "earlier" } else { "later" },
        length.as_millis()
    );
    let mut nodo = new_nodo(&what).await;
    let (earlier, answer_log) = (nodo.start().await.unwrap(), AnswerLog::default());
    let load = Load::start(nodo.address, TRY_TIMEOUT);
    load.wait_for_reads(5).await;
    let (socket, moved_socket) = (nodo.folder.join("jaspershunt-n1.sock"), nodo.folder.join("behind.sock"));
    while std::fs::rename(&socket, &moved_socket).is_err() {
        sleep(Duration::from_millis(2)).await;
    }
    let proxy = UnixListener::bind(&socket).unwrap();
    let (notify_reached, reached) = oneshot::channel();
    let forwarding = spawn_local(async move {
        let (later, _) = proxy.accept().await.unwrap();
        let earlier = UnixStream::connect(&moved_socket).await.unwrap();
        // Later connections reach the earlier incarnation directly.
        std::fs::rename(&moved_socket, &socket).unwrap();
        let notify_reached = Cell::new(Some(notify_reached));
        let before_message = async |passed| {
            if passed == messages
                && let Some(notify_reached) = notify_reached.take()
            {
                let _ = notify_reached.send(());
                // The process is paused before this message.
                sleep(Duration::from_millis(5)).await;
            }
            true
        };
        relay_messages(earlier, later, before_message).await;
    });
    let later = nodo.start_without_waiting().await.unwrap();
    timeout(PROGRESS_TIMEOUT, reached).await.unwrap_or_else(|_| panic!("{what}: {}", nodo.logs())).unwrap();
    let paused = if pause_earlier { &earlier } else { &later };
    paused.process.pause();
    let (address, burst_log) = (nodo.address, answer_log.clone());
    let burst = spawn_local(async move { burst_log.burst(address, "during", 40, 4, TRY_TIMEOUT).await });
    sleep(length).await;
    paused.process.resume();
    burst.await.unwrap();
    wait_for_any_ready(&earlier, &later, &nodo).await;
    wait_until_serving(&nodo, &answer_log).await;
    assert_safe(&nodo, &answer_log, &what);
    let (tally, _) = load.end(&nodo).await;
    assert!(
        tally.ran_twice.is_empty() && tally.refused_after_run.is_empty(),
        "{what}: {tally:?} {}",
        nodo.logs()
    );
    drop(forwarding);
}

/// Waits until an incarnation reports ready; the earlier one also does while it forwards to the later one.
async fn wait_for_any_ready(earlier: &Incarnation, later: &Incarnation, nodo: &Nodo) {
    let one = async {
        while !earlier.is_ready().await && !later.is_ready().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PROGRESS_TIMEOUT, one)
        .await
        .unwrap_or_else(|_| panic!("no incarnation is ready: {}", nodo.logs()));
}

/// Runs the cases concurrently: each one mostly waits.
async fn run_concurrently(cases: impl Iterator<Item = (usize, bool, Duration)>) {
    let cases: Vec<_> =
        cases.map(|(n, earlier, length)| spawn_local(pause_at_message(n, earlier, length))).collect();
    for case in cases {
        case.await.unwrap();
    }
}

#[test]
fn the_earlier_incarnation_may_be_paused_long_at_any_message() {
    local(run_concurrently((0..8).map(|n| (n, true, LONG_PAUSE))));
}

#[test]
fn the_earlier_incarnation_may_be_paused_briefly_at_any_message() {
    local(run_concurrently((0..8).map(|n| (n, true, SHORT_PAUSE))));
}

#[test]
fn the_later_incarnation_may_be_paused_long_at_any_message() {
    local(run_concurrently((0..8).map(|n| (n, false, LONG_PAUSE))));
}

#[test]
fn the_later_incarnation_may_be_paused_briefly_at_any_message() {
    local(run_concurrently((0..8).map(|n| (n, false, SHORT_PAUSE))));
}

/// Both incarnations are paused in turn, a third starts meanwhile, and a paused one is asked to terminate.
#[test]
fn two_paused_incarnations_leave_a_third_one_serving() {
    local(async {
        let mut nodo = new_nodo("third").await;
        let (mut first, answer_log) = (nodo.start().await.unwrap(), AnswerLog::default());
        answer_log.burst(nodo.address, "first", 20, 4, TRY_TIMEOUT).await;
        first.process.pause();
        let second = nodo.start().await.unwrap();
        answer_log.burst(nodo.address, "second", 20, 4, TRY_TIMEOUT).await;
        second.process.pause();
        first.process.terminate();
        let third = nodo.start().await.unwrap();
        let (address, burst_log) = (nodo.address, answer_log.clone());
        let burst = spawn_local(async move { burst_log.burst(address, "third", 200, 12, TRY_TIMEOUT).await });
        sleep(Duration::from_millis(200)).await;
        first.process.resume();
        sleep(Duration::from_millis(100)).await;
        second.process.resume();
        burst.await.unwrap();
        assert!(
            timeout(PROGRESS_TIMEOUT, first.process.wait()).await.unwrap(),
            "the terminated incarnation exits with an error"
        );
        assert_eq!(wait_for_single_ready(&[&second, &third], &nodo).await, 1);
        wait_until_serving(&nodo, &answer_log).await;
        // The third is paused, and the second, which had lost ownership, takes it back.
        third.process.pause();
        timeout(PROGRESS_TIMEOUT, second.wait_until_ready())
            .await
            .unwrap_or_else(|_| panic!("{}", nodo.logs()));
        answer_log.burst(nodo.address, "back", 20, 4, TRY_TIMEOUT).await;
        third.process.resume();
        wait_until_serving(&nodo, &answer_log).await;
        assert_eq!(wait_for_single_ready(&[&second, &third], &nodo).await, 0);
        assert_safe(&nodo, &answer_log, "third");
        assert!(!nodo.directory.modes().iter().any(|mode| mode == "closed"));
    });
}

/// The serving incarnation is killed while the one that it took over from is paused: that one takes ownership
/// back when it resumes, and does not rerun keys whose outcomes are lost.
#[test]
fn a_resumed_incarnation_takes_ownership_back_when_the_owner_was_killed() {
    local(async {
        let mut nodo = new_nodo("widow").await;
        let (earlier, answer_log) = (nodo.start().await.unwrap(), AnswerLog::default());
        earlier.process.pause();
        let mut later = nodo.start().await.unwrap();
        answer_log.burst(nodo.address, "there", 20, 4, TRY_TIMEOUT).await;
        later.process.kill().await;
        earlier.process.resume();
        wait_until_serving(&nodo, &answer_log).await;
        assert!(earlier.is_ready().await);
        let served: Vec<String> =
            answer_log.answers().keys().filter(|key| nodo.sign_runs(key) == 1).cloned().collect();
        let there = served.iter().find(|key| key.starts_with("there")).unwrap();
        let balancer = Balancer::new(nodo.address, 9, None);
        let again = balancer.send(&keyed("sign", there, true), PROGRESS_TIMEOUT).await;
        assert_eq!(
            (again.status, nodo.sign_runs(there)),
            (500, 1),
            "its outcome is known to no running incarnation"
        );
        assert_safe(&nodo, &answer_log, "widow");
    });
}

/// Without a folder shared by all incarnations, a second one finds the address in use and reports it.
#[test]
fn without_a_shared_folder_there_is_one_process() {
    local(async {
        let mut nodo = new_nodo("alone").await;
        let one = nodo.start().await.unwrap();
        let file = nodo.folder.join("config1.json");
        for (name, folder) in [("none", None), ("gone", Some(nodo.folder.join("gone")))] {
            let mut command = std::process::Command::new(PROGRAM);
            command.env("NODE_CONFIG", &file).env_remove("TMPDIR");
            folder.map(|folder| command.env("TMPDIR", folder));
            let log = nodo.folder.join(name);
            let mut two = jaspershunt_stand_ins::process::Process::start(&mut command, &log).unwrap();
            assert!(
                !timeout(PROGRESS_TIMEOUT, two.wait()).await.unwrap(),
                "the second incarnation serves beside the first"
            );
            assert!(two.output().contains("cannot listen on"), "{}", two.output());
        }
        let balancer = Balancer::new(nodo.address, 1, None);
        assert_eq!(balancer.send(&Request::new("read", b"x"), PROGRESS_TIMEOUT).await.status, 200);
        assert!(one.is_ready().await);
    });
}

/// The later incarnation resumes about when it is declared silent, 1.25 to 1.5 s after its last message, just
/// as ownership is taken from it.
#[test]
fn a_later_incarnation_may_resume_as_ownership_is_taken_from_it() {
    local(async {
        let cases: Vec<_> = (0..10)
            .map(|n| {
                spawn_local(async move {
                    let mut nodo = new_nodo(&format!("limit{n}")).await;
                    let (_earlier, answer_log) = (nodo.start().await.unwrap(), AnswerLog::default());
                    answer_log.burst(nodo.address, "before", 10, 4, TRY_TIMEOUT).await;
                    let later = nodo.start().await.unwrap();
                    sleep(Duration::from_millis(150)).await;
                    later.process.pause();
                    let (address, burst_log) = (nodo.address, answer_log.clone());
                    let burst =
                        spawn_local(
                            async move { burst_log.burst(address, "during", 40, 2, TRY_TIMEOUT).await },
                        );
                    sleep(Duration::from_millis(1150 + 60 * n)).await;
                    later.process.resume();
                    // Sent right after the resume, when both might consider themselves the owner.
                    answer_log.burst(nodo.address, "woken", 80, 12, TRY_TIMEOUT).await;
                    burst.await.unwrap();
                    wait_until_serving(&nodo, &answer_log).await;
                    assert_safe(&nodo, &answer_log, "limit");
                })
            })
            .collect();
        for case in cases {
            case.await.unwrap();
        }
    });
}

/// Checks the documented time to take ownership from a paused later incarnation: a second of silence, the
/// request and the wait, with a margin for a busy machine.
#[test]
fn keys_are_taken_back_from_a_paused_later_incarnation_within_the_documented_time() {
    local(async {
        let mut nodo = new_nodo("time").await;
        let earlier = nodo.start().await.unwrap();
        let later = nodo.start().await.unwrap();
        later.process.pause();
        let start = Instant::now();
        let mut n = 0;
        let first = loop {
            n += 1;
            // The paused process may have accepted a connection just before.
            let balancer = Balancer::new(nodo.address, n, None);
            let answer = balancer.send(&keyed("sign", &format!("k{n}"), false), TRY_TIMEOUT).await;
            if answer.status == 200 {
                break start.elapsed();
            }
        };
        assert!(first < Duration::from_secs(6), "{first:?} {}", nodo.logs());
        drop((earlier, later));
    });
}
