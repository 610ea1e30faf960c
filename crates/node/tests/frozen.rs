//! Several starts of one nodo, any of which is frozen and woken: by the interpreters' records no key runs twice and none is
//! refused after it ran, and the one that serves at the end serves all.

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
/// Balancers wait no longer than a pause that is long: what a frozen process holds is not waited for.
const PATIENCE: Duration = Duration::from_millis(800);
/// Beyond the second after which a partner counts as silent, and within it.
const LONG: Duration = Duration::from_millis(1700);
const SHORT: Duration = Duration::from_millis(400);
/// Until a nodo serves again; far more than the 2 s that are promised, as machines are slow.
const GENEROUS: Duration = Duration::from_secs(20);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(120), test).await.expect("the test hangs");
    });
}

async fn nodo(name: &str) -> Nodo {
    Nodo::new(Path::new(PROGRAM), name).await.unwrap()
}

/// Sends pairs until ten in a row are served, both tries of each.
async fn serves_again(nodo: &Nodo, record: &AnswerLog) {
    let all = async {
        // Keys that no earlier call has sent: a second first try is no try of theirs.
        let (mut served, mut n) = (0, record.answers().len());
        while served < 10 {
            let key = format!("again-{n}");
            record.send_twice(nodo.address, &key, PATIENCE).await;
            let both = record.answers()[&key].iter().all(|answer| answer.status == 200);
            (served, n) = (if both { served + 1 } else { 0 }, n + 1);
        }
    };
    if timeout(GENEROUS, all).await.is_err() {
        panic!("it does not serve again: {:?} {}", record.tally(nodo, "again"), nodo.logs());
    }
}

/// No key ran twice, and none was refused after it ran.
fn is_safe(nodo: &Nodo, record: &AnswerLog, what: &str) {
    let tally = record.tally(nodo, "");
    assert!(tally.keys > 0, "{what}: nothing was sent");
    assert!(
        tally.ran_twice.is_empty() && tally.refused_after_run.is_empty(),
        "{what}: {tally:?} {}",
        nodo.logs()
    );
}

/// The one start that takes clients, by what each says.
async fn the_one_that_serves(starts: &[&Incarnation], nodo: &Nodo) -> usize {
    let one = async {
        loop {
            let mut serving = Vec::new();
            for (n, start) in starts.iter().enumerate() {
                if start.is_ready().await {
                    serving.push(n);
                }
            }
            if let [one] = serving[..] {
                return one;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(GENEROUS, one).await.unwrap_or_else(|_| panic!("not one serves: {}", nodo.logs()))
}

/// The earlier start is frozen before it answers, the later one serves alone, and the earlier one wakes in the middle of a
/// burst: as it was seen to run 87 of 300 keys twice.
#[test]
fn a_start_that_was_taken_from_runs_nothing_when_it_wakes() {
    local(async {
        let mut nodo = nodo("woken").await;
        let (earlier, record) = (nodo.start().await.unwrap(), AnswerLog::default());
        record.burst(nodo.address, "before", 20, 4, PATIENCE).await;
        earlier.process.pause();
        let later = nodo.start().await.unwrap();
        let (address, all) = (nodo.address, record.clone());
        let burst = spawn_local(async move { all.burst(address, "during", 300, 12, PATIENCE).await });
        sleep(Duration::from_millis(300)).await;
        earlier.process.resume();
        burst.await.unwrap();
        serves_again(&nodo, &record).await;
        is_safe(&nodo, &record, "woken");
        let told = earlier.call("PING").await;
        assert!(told.starts_with("-ERR") && told.contains("taken over"), "{told}");
        assert!(later.is_ready().await);
        // What the earlier one ran is known to the later one, and served from there.
        let balancer = Balancer::new(nodo.address, 9, None);
        let again = balancer.send(&keyed("sign", "before-0", true), GENEROUS).await;
        assert_eq!((again.status, nodo.sign_runs("before-0")), (200, 1), "{}", nodo.logs());
    });
}

/// A later start that owns the keys is frozen: the earlier one takes them back, and what may have run there is neither run nor
/// refused. The later one, woken, has lost.
#[test]
fn a_frozen_later_start_leaves_the_earlier_one_serving() {
    local(async {
        let mut nodo = nodo("later-frozen").await;
        let (earlier, record) = (nodo.start().await.unwrap(), AnswerLog::default());
        let later = nodo.start().await.unwrap();
        record.burst(nodo.address, "there", 20, 4, PATIENCE).await;
        later.process.pause();
        timeout(GENEROUS, async {
            // Until the link counts as silent the earlier one says that it serves, by way of the later one.
            while earlier.call("PING").await.starts_with("+OK") {
                sleep(Duration::from_millis(10)).await;
            }
            earlier.wait_until_ready().await;
        })
        .await
        .unwrap_or_else(|_| panic!("{}", nodo.logs()));
        serves_again(&nodo, &record).await;
        let balancer = Balancer::new(nodo.address, 9, None);
        let again = balancer.send(&keyed("sign", "there-0", true), GENEROUS).await;
        assert_eq!((again.status, nodo.sign_runs("there-0")), (500, 1), "it ran where nobody can tell");
        later.process.resume();
        assert_eq!(the_one_that_serves(&[&earlier, &later], &nodo).await, 0);
        record.burst(nodo.address, "woken", 60, 12, PATIENCE).await;
        serves_again(&nodo, &record).await;
        // It has told by now.
        let again = balancer.send(&keyed("sign", "there-0", true), GENEROUS).await;
        assert_eq!((again.status, nodo.sign_runs("there-0")), (200, 1), "{}", nodo.logs());
        is_safe(&nodo, &record, "later frozen");
        // A notice to leave reaches it in its time, and is none for the nodo.
        let mut later = later;
        later.process.terminate();
        assert!(timeout(GENEROUS, later.process.wait()).await.unwrap());
        assert!(!nodo.directory.modes().iter().any(|mode| mode == "closed"));
    });
}

/// One of two starts is frozen at the n-th message of the hand-over, under load, for so long.
async fn frozen_at(messages: usize, earlier_is: bool, length: Duration) {
    let what =
        format!("frozen-{}-{messages}-{}", if earlier_is { "earlier" } else { "later" }, length.as_millis());
    let mut nodo = nodo(&what).await;
    let (earlier, record) = (nodo.start().await.unwrap(), AnswerLog::default());
    let load = Load::start(nodo.address, PATIENCE);
    load.wait_for_reads(5).await;
    let (socket, behind) = (nodo.folder.join("jaspershunt-n1.sock"), nodo.folder.join("behind.sock"));
    while std::fs::rename(&socket, &behind).is_err() {
        sleep(Duration::from_millis(2)).await;
    }
    let proxy = UnixListener::bind(&socket).unwrap();
    let (reach, reached) = oneshot::channel();
    let passing = spawn_local(async move {
        let (later, _) = proxy.accept().await.unwrap();
        let earlier = UnixStream::connect(&behind).await.unwrap();
        // What comes behind finds the earlier start itself.
        std::fs::rename(&behind, &socket).unwrap();
        let reach = Cell::new(Some(reach));
        let goes_on = async |passed| {
            if passed == messages
                && let Some(reach) = reach.take()
            {
                let _ = reach.send(());
                // The freeze falls before this message.
                sleep(Duration::from_millis(5)).await;
            }
            true
        };
        relay_messages(earlier, later, goes_on).await;
    });
    let later = nodo.start_without_waiting().await.unwrap();
    timeout(GENEROUS, reached).await.unwrap_or_else(|_| panic!("{what}: {}", nodo.logs())).unwrap();
    let frozen = if earlier_is { &earlier } else { &later };
    frozen.process.pause();
    let (address, all) = (nodo.address, record.clone());
    let burst = spawn_local(async move { all.burst(address, "during", 40, 4, PATIENCE).await });
    sleep(length).await;
    frozen.process.resume();
    burst.await.unwrap();
    the_one_that_serves_at_last(&earlier, &later, &nodo).await;
    serves_again(&nodo, &record).await;
    is_safe(&nodo, &record, &what);
    let (tally, _) = load.end(&nodo).await;
    assert!(
        tally.ran_twice.is_empty() && tally.refused_after_run.is_empty(),
        "{what}: {tally:?} {}",
        nodo.logs()
    );
    drop(passing);
}

/// In the end the nodo has one start that serves; the earlier one says that it takes clients too while it passes them on.
async fn the_one_that_serves_at_last(earlier: &Incarnation, later: &Incarnation, nodo: &Nodo) {
    let one = async {
        while !earlier.is_ready().await && !later.is_ready().await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(GENEROUS, one).await.unwrap_or_else(|_| panic!("none serves: {}", nodo.logs()));
}

/// Several at once: each takes little but time.
async fn all_at_once(cases: impl Iterator<Item = (usize, bool, Duration)>) {
    let cases: Vec<_> =
        cases.map(|(n, earlier, length)| spawn_local(frozen_at(n, earlier, length))).collect();
    for case in cases {
        case.await.unwrap();
    }
}

#[test]
fn the_earlier_start_may_be_frozen_for_long_at_any_message() {
    local(all_at_once((0..8).map(|n| (n, true, LONG))));
}

#[test]
fn the_earlier_start_may_be_frozen_for_a_moment_at_any_message() {
    local(all_at_once((0..8).map(|n| (n, true, SHORT))));
}

#[test]
fn the_later_start_may_be_frozen_for_long_at_any_message() {
    local(all_at_once((0..8).map(|n| (n, false, LONG))));
}

#[test]
fn the_later_start_may_be_frozen_for_a_moment_at_any_message() {
    local(all_at_once((0..8).map(|n| (n, false, SHORT))));
}

/// Both in turn, with a third start while both are frozen, and a notice to leave for one that is.
#[test]
fn two_frozen_starts_leave_a_third_one_serving() {
    local(async {
        let mut nodo = nodo("third").await;
        let (mut first, record) = (nodo.start().await.unwrap(), AnswerLog::default());
        record.burst(nodo.address, "first", 20, 4, PATIENCE).await;
        first.process.pause();
        let second = nodo.start().await.unwrap();
        record.burst(nodo.address, "second", 20, 4, PATIENCE).await;
        second.process.pause();
        first.process.terminate();
        let third = nodo.start().await.unwrap();
        let (address, all) = (nodo.address, record.clone());
        let burst = spawn_local(async move { all.burst(address, "third", 200, 12, PATIENCE).await });
        sleep(Duration::from_millis(200)).await;
        first.process.resume();
        sleep(Duration::from_millis(100)).await;
        second.process.resume();
        burst.await.unwrap();
        assert!(timeout(GENEROUS, first.process.wait()).await.unwrap(), "it fails at its end");
        assert_eq!(the_one_that_serves(&[&second, &third], &nodo).await, 1);
        serves_again(&nodo, &record).await;
        // And back: the third is frozen, and the second, which had lost the right, takes it.
        third.process.pause();
        timeout(GENEROUS, second.wait_until_ready()).await.unwrap_or_else(|_| panic!("{}", nodo.logs()));
        record.burst(nodo.address, "back", 20, 4, PATIENCE).await;
        third.process.resume();
        serves_again(&nodo, &record).await;
        assert_eq!(the_one_that_serves(&[&second, &third], &nodo).await, 0);
        is_safe(&nodo, &record, "third");
        assert!(!nodo.directory.modes().iter().any(|mode| mode == "closed"));
    });
}

/// The process that serves dies while another one is frozen that had lost the right to it: that one takes it back when it
/// wakes, and what nobody can tell any more is not run again.
#[test]
fn a_woken_start_takes_the_right_back_when_nobody_has_it_any_more() {
    local(async {
        let mut nodo = nodo("widow").await;
        let (earlier, record) = (nodo.start().await.unwrap(), AnswerLog::default());
        earlier.process.pause();
        let mut later = nodo.start().await.unwrap();
        record.burst(nodo.address, "there", 20, 4, PATIENCE).await;
        later.process.kill().await;
        earlier.process.resume();
        serves_again(&nodo, &record).await;
        assert!(earlier.is_ready().await);
        let served: Vec<String> =
            record.answers().keys().filter(|key| nodo.sign_runs(key) == 1).cloned().collect();
        let there = served.iter().find(|key| key.starts_with("there")).unwrap();
        let balancer = Balancer::new(nodo.address, 9, None);
        let again = balancer.send(&keyed("sign", there, true), GENEROUS).await;
        assert_eq!((again.status, nodo.sign_runs(there)), (500, 1), "it ran where nobody can tell");
        is_safe(&nodo, &record, "widow");
    });
}

/// Without a folder that all starts share, a second start finds the address taken and says so.
#[test]
fn without_a_shared_folder_there_is_one_process() {
    local(async {
        let mut nodo = nodo("alone").await;
        let one = nodo.start().await.unwrap();
        let file = nodo.folder.join("config1.json");
        for (name, folder) in [("none", None), ("gone", Some(nodo.folder.join("gone")))] {
            let mut command = std::process::Command::new(PROGRAM);
            command.env("NODE_CONFIG", &file).env_remove("TMPDIR");
            folder.map(|folder| command.env("TMPDIR", folder));
            let log = nodo.folder.join(name);
            let mut two = jaspershunt_stand_ins::process::Process::start(&mut command, &log).unwrap();
            assert!(!timeout(GENEROUS, two.wait()).await.unwrap(), "it serves beside the first");
            assert!(two.output().contains("cannot listen on"), "{}", two.output());
        }
        let balancer = Balancer::new(nodo.address, 1, None);
        assert_eq!(balancer.send(&Request::new("read", b"x"), GENEROUS).await.status, 200);
        assert!(one.is_ready().await);
    });
}

/// About the time at which it counts as silent, from 1.25 to 1.5 s after its last word, the later start wakes as the right is taken
/// from it.
#[test]
fn a_later_start_may_wake_as_the_right_is_taken_from_it() {
    local(async {
        let cases: Vec<_> = (0..10)
            .map(|n| {
                spawn_local(async move {
                    let mut nodo = nodo(&format!("limit{n}")).await;
                    let (_earlier, record) = (nodo.start().await.unwrap(), AnswerLog::default());
                    record.burst(nodo.address, "before", 10, 4, PATIENCE).await;
                    let later = nodo.start().await.unwrap();
                    sleep(Duration::from_millis(150)).await;
                    later.process.pause();
                    let (address, all) = (nodo.address, record.clone());
                    let burst =
                        spawn_local(async move { all.burst(address, "during", 40, 2, PATIENCE).await });
                    sleep(Duration::from_millis(1150 + 60 * n)).await;
                    later.process.resume();
                    // At the wake, when two might think that they serve.
                    record.burst(nodo.address, "woken", 80, 12, PATIENCE).await;
                    burst.await.unwrap();
                    serves_again(&nodo, &record).await;
                    is_safe(&nodo, &record, "limit");
                })
            })
            .collect();
        for case in cases {
            case.await.unwrap();
        }
    });
}

/// The stated time within which a frozen later start is taken from: a second of silence, the ask, and the wait; with room for
/// a busy machine.
#[test]
fn keys_are_taken_back_from_a_frozen_later_start_within_a_stated_time() {
    local(async {
        let mut nodo = nodo("time").await;
        let earlier = nodo.start().await.unwrap();
        let later = nodo.start().await.unwrap();
        later.process.pause();
        let began = Instant::now();
        let mut n = 0;
        let first = loop {
            n += 1;
            // The frozen one may have accepted a connection in its last moment.
            let balancer = Balancer::new(nodo.address, n, None);
            let answer = balancer.send(&keyed("sign", &format!("k{n}"), false), PATIENCE).await;
            if answer.status == 200 {
                break began.elapsed();
            }
        };
        assert!(first < Duration::from_secs(6), "{first:?} {}", nodo.logs());
        drop((earlier, later));
    });
}
