//! Guards against lost or doubled requests at startup and around answers: a restart under load, the first
//! burst of a cold start, a retry as its first try is answered, and a reset within an answer. Runs real
//! processes and checks the interpreters' records. See `docs/design/narrow-moments.md`.

#[path = "common/draining.rs"]
mod draining;

use draining::{
    DEADLINE, PROGRESS_TIMEOUT, StallMonitor, join_all, local, nodo, retry_while_stalled, send_in_parts,
    used_connection,
};
use jaspershunt_stand_ins::balancer::{Balancer, Request, STDOUT};
use jaspershunt_stand_ins::interpreter::{Interpreter, Work};
use jaspershunt_stand_ins::nodo::{Nodo, keyed};
use jaspershunt_stand_ins::wire::Wire;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const MS: Duration = Duration::from_millis(1);
/// Runs allowed on the 8 cores of a cold nodo: 8 and 0.3 of the nine times as many more that a warm one may
/// have.
const MAX_COLD_RUNS: usize = 29;

fn work_of_ms(ms: u64) -> Work {
    Work { core_time: Duration::from_millis(ms), calls: 0 }
}

async fn within<T>(nodo: &Nodo, what: &str, done: impl Future<Output = T>) -> T {
    timeout(PROGRESS_TIMEOUT, done).await.unwrap_or_else(|_| panic!("{what}: {}", nodo.logs()))
}

/// Connects as soon as the nodo listens.
async fn connect_when_listening(nodo: &Nodo, number: u64) -> Wire {
    let call = async {
        loop {
            if let Ok(wire) = Wire::connect(nodo.address, number).await {
                return wire;
            }
            sleep(MS).await;
        }
    };
    within(nodo, "nobody listens", call).await
}

/// Restarts a nodo on the same address while old connections are open, and sends requests before its
/// interpreter is ready, as the directory still lists the earlier process.
async fn restart_with_early_requests(seed: u64, killed: bool) {
    let what = format!("again-{seed}-{killed}");
    let mut nodo = nodo(&what, 0, "").await;
    nodo.without_shared_folder = true;
    let started = timeout(PROGRESS_TIMEOUT, nodo.start()).await;
    let mut first = started.unwrap_or_else(|_| panic!("it can't listen: {}", nodo.logs())).unwrap();
    let mut old = Vec::new();
    for n in 0..20 {
        old.push(used_connection(&nodo, n).await);
    }
    if killed {
        first.process.kill().await;
        assert_eq!(nodo.directory.mode().as_deref(), Some("open"), "the directory still lists it");
    } else {
        first.process.terminate();
        assert!(within(&nodo, "it does not exit", first.process.wait()).await, "{}", nodo.logs());
    }
    let reports = nodo.directory.modes().len();
    let interpreter = Interpreter::start_cold(8, &[("read", work_of_ms(4)), ("sign", work_of_ms(8))]).await;
    nodo.interpreters.push(interpreter.clone());
    let mut second = nodo.start_with_interpreter(interpreter.address()).await.unwrap();
    let mut early = Vec::new();
    for n in 100..130 {
        let request = if n % 2 == 0 {
            Request::new("read", b"early")
        } else {
            keyed("sign", &format!("early-{n}"), false)
        };
        let mut wire = connect_when_listening(&nodo, n).await;
        assert!(wire.send(&request).is_some());
        early.push(wire);
    }
    for wire in &mut early {
        let (_, answer) = within(&nodo, "no answer before it is ready", wire.answer()).await.unwrap();
        assert_eq!(answer.status, 503, "seed {seed}: {}", nodo.logs());
    }
    assert!(interpreter.runs().is_empty(), "seed {seed}: a request ran before it was ready");
    assert_eq!(nodo.directory.modes().len(), reports, "seed {seed}: it sent a report before it was ready");
    interpreter.become_ready();
    within(&nodo, "it is not listed again", async {
        while nodo.directory.modes().len() == reports || nodo.directory.mode().as_deref() != Some("open") {
            sleep(MS).await;
        }
    })
    .await;
    for (n, wire) in early.iter_mut().enumerate() {
        wire.send(&Request::new("read", format!("late-{n}").as_bytes())).unwrap();
        let (_, answer) = within(&nodo, "no answer once it is ready", wire.answer()).await.unwrap();
        assert!([200, 503].contains(&answer.status), "seed {seed}: {}", nodo.logs());
    }
    let served = used_connection(&nodo, 9).await;
    drop((early, old, served));
    second.process.terminate();
    assert!(within(&nodo, "it does not exit", second.process.wait()).await, "{}", nodo.logs());
}

#[test]
fn requests_before_a_restarted_nodo_is_ready_are_refused_and_never_run() {
    local(async {
        let cases = [(31, true), (32, true), (33, false), (34, false)];
        for case in cases.map(|(seed, killed)| spawn_local(restart_with_early_requests(seed, killed))) {
            case.await.unwrap();
        }
    });
}

/// Sends a burst whose last bytes arrive around the time when the interpreter becomes ready, before the first
/// report to the directory.
async fn cold_burst(seed: u64) -> bool {
    let mut random = StdRng::seed_from_u64(seed);
    let what = format!("cold-{seed}");
    let mut nodo = nodo(&what, 0, "").await;
    nodo.directory.stall(true);
    let classes = [("read", work_of_ms(300)), ("sign", work_of_ms(300))];
    let interpreter = Interpreter::start_cold(8, &classes).await;
    nodo.interpreters.push(interpreter.clone());
    let mut start = nodo.start_with_interpreter(interpreter.address()).await.unwrap();
    let stall_monitor = StallMonitor::start(start.admin);
    let mut wires = Vec::new();
    for n in 0..200 {
        wires.push(connect_when_listening(&nodo, n).await);
    }
    let up = Instant::now() + 100 * MS;
    let burst: Vec<_> = wires
        .into_iter()
        .enumerate()
        .map(|(n, wire)| {
            let key = format!("{seed}-{n}");
            let request = if n % 2 == 0 { Request::new("read", b"cold") } else { keyed("sign", &key, false) };
            let last = up + Duration::from_micros(random.random_range(0..30_000)) - 2 * MS;
            spawn_local(send_in_parts(wire, request, random.random_range(1..150), (up - 50 * MS, last)))
        })
        .collect();
    sleep_until(up).await;
    interpreter.become_ready();
    assert!(nodo.directory.modes().is_empty(), "it has reported");
    // All deadlines pass while the directory is silent.
    sleep(DEADLINE).await;
    nodo.directory.stall(false);
    within(&nodo, "no first report", async {
        while nodo.directory.mode().as_deref() != Some("open") {
            sleep(MS).await;
        }
    })
    .await;
    start.process.terminate();
    let sent = join_all(burst).await;
    assert!(within(&nodo, "it does not exit", start.process.wait()).await, "{}", nodo.logs());
    for one in &sent {
        let ran = interpreter.runs().iter().filter(|run| run.uid == one.uid).count();
        let answered = one.whole && one.statuses.len() == 1 && one.took < DEADLINE + 500 * MS;
        assert!(
            answered || !stall_monitor.is_steady(),
            "{what}: not answered once in time: {one:?} {}",
            nodo.logs()
        );
        let fits = match one.statuses.first() {
            Some(200) => ran == 1,
            Some(503) => ran == 0 || !one.keyed,
            _ => ran <= 1,
        };
        assert!(fits, "{what}: {one:?} ran {ran} times: {}", nodo.logs());
    }
    let most = interpreter.max_on_cores();
    assert!(most <= MAX_COLD_RUNS, "{what}: {most} on the cores: {}", nodo.logs());
    stall_monitor.is_steady()
}

#[test]
fn a_burst_before_the_first_report_of_a_cold_start_is_answered_within_its_limits() {
    local(async {
        let run_case = |seed| retry_while_stalled(async move || cold_burst(seed).await);
        for case in [41, 42, 43].map(|seed| spawn_local(run_case(seed))) {
            case.await.unwrap();
        }
    });
}

/// Sends retries of a key around the end of the first try's run. With `leaving`, the nodo drains and the
/// retries arrive after the grace: work that ran must not be refused.
async fn retries_around_the_first_answer(seed: u64, leaving: bool) -> bool {
    let mut random = StdRng::seed_from_u64(seed);
    let what = format!("repeat-{seed}-{leaving}");
    let mut nodo = nodo(&what, 0, "").await;
    let run = 400;
    let interpreter = Interpreter::start(8, &[("read", work_of_ms(4)), ("sign", work_of_ms(run))]).await;
    nodo.interpreters.push(interpreter.clone());
    let mut start = nodo.start_with_interpreter(interpreter.address()).await.unwrap();
    start.wait_until_ready().await;
    let stall_monitor = StallMonitor::start(start.admin);
    // Six at a time, so that each has a core from its arrival on.
    let (rounds, at_once) = if leaving { (1, 6) } else { (4, 6) };
    for round in 0..rounds {
        let mut tries_by_key = Vec::new();
        let began = Instant::now() + 50 * MS;
        for n in 0..at_once {
            let key = format!("{seed}-{round}-{n}");
            let wires = [
                connect_when_listening(&nodo, 100 + n).await,
                connect_when_listening(&nodo, 200 + n).await,
                connect_when_listening(&nodo, 300 + n).await,
            ];
            // In steps of 0.5 ms around the end of the run, which is slightly later than its nominal
            // duration.
            let step = Duration::from_micros(500) * (round * at_once + n) as u32;
            let at =
                began + run as u32 * MS - 4 * MS + step + Duration::from_micros(random.random_range(0..500));
            let second = at + Duration::from_micros(random.random_range(0..3000));
            tries_by_key.push((
                key.clone(),
                spawn_local(async move {
                    let [mut first, mut again, mut third] = wires;
                    sleep_until(began).await;
                    first.send(&keyed("sign", &key, false)).unwrap();
                    sleep_until(at).await;
                    again.send(&keyed("sign", &key, true)).unwrap();
                    sleep_until(second).await;
                    third.send(&keyed("sign", &key, true)).unwrap();
                    let mut answers = Vec::new();
                    for wire in [&mut first, &mut again, &mut third] {
                        answers.push(timeout(PROGRESS_TIMEOUT, wire.answer()).await.unwrap().unwrap().1);
                    }
                    answers
                }),
            ));
        }
        if leaving {
            // All are running by then.
            within(&nodo, "not all run", async {
                while interpreter.runs().len() < at_once as usize && stall_monitor.is_steady() {
                    sleep(MS).await;
                }
            })
            .await;
            start.process.terminate();
        }
        for (key, tries) in tries_by_key {
            let answers = tries.await.unwrap();
            let seen = || format!("{what}, key {key}: {answers:?} {}", nodo.logs());
            let served: Vec<_> = answers.iter().filter(|answer| answer.status == 200).collect();
            assert!(nodo.sign_runs(&key) <= 1, "it ran twice: {}", seen());
            assert!(
                served.iter().all(|answer| answer.body == served[0].body),
                "the results differ: {}",
                seen()
            );
            assert!(served.len() == answers.len() || !stall_monitor.is_steady(), "not served: {}", seen());
        }
    }
    start.process.terminate();
    assert!(within(&nodo, "it does not exit", start.process.wait()).await, "{}", nodo.logs());
    stall_monitor.is_steady()
}

#[test]
fn retries_racing_the_answer_to_the_first_try_get_its_result() {
    local(async {
        let cases = [(51, false), (52, false), (53, true), (54, true)];
        let run_case = |(seed, leaving)| {
            retry_while_stalled(async move || retries_around_the_first_answer(seed, leaving).await)
        };
        for case in cases.map(|case| spawn_local(run_case(case))) {
            case.await.unwrap();
        }
    });
}

/// A balancer resets its connection after the last data of an answer and before its end record. The other
/// open request there is stopped, a retry gets the kept result, and the nodo keeps serving.
#[test]
fn a_reset_before_the_end_of_an_answer_stops_open_runs_and_keeps_results() {
    local(async {
        let mut nodo = nodo("reset", 0, "").await;
        // A safe class, whose runs are stopped when nobody waits for them.
        let (slow, safe) = (r#"{"name":"slow","worth":3,"#, r#"{"name":"slow","worth":1,"#);
        let (head, tail) = nodo.settings.split_once(slow).unwrap();
        let tail = tail.replacen(r#""semantics":"guarded","windowS":30"#, r#""semantics":"free""#, 1);
        nodo.settings = format!("{head}{safe}{tail}");
        let classes = [("read", work_of_ms(4)), ("sign", work_of_ms(8)), ("slow", work_of_ms(1500))];
        let interpreter = Interpreter::start(8, &classes).await;
        nodo.interpreters.push(interpreter.clone());
        let mut start = nodo.start_with_interpreter(interpreter.address()).await.unwrap();
        start.wait_until_ready().await;
        let stall_monitor = StallMonitor::start(start.admin);
        for n in 0..12u64 {
            let key = format!("reset-{n}");
            let room = (n % 2 == 0).then_some(2048);
            let mut wire = Wire::with_receive_buffer(nodo.address, 100 + n, room).await.unwrap();
            let open = wire.send(&Request::new("slow", b"open")).unwrap();
            within(&nodo, "it does not run", async {
                while !interpreter.runs().iter().any(|run| run.uid == open.uid) {
                    sleep(MS).await;
                }
            })
            .await;
            let signed = wire.send(&keyed("sign", &key, false)).unwrap();
            let read = async {
                loop {
                    let (kind, id, content) = wire.record().await.unwrap();
                    if kind == STDOUT && id == signed.id && content.is_empty() {
                        return;
                    }
                }
            };
            within(&nodo, "no answer", read).await;
            wire.reset();
            let again = Balancer::new(nodo.address, 500 + n, None)
                .send(&keyed("sign", &key, true), PROGRESS_TIMEOUT)
                .await;
            assert_eq!((again.status, nodo.sign_runs(&key)), (200, 1), "{}", nodo.logs());
            let end = || interpreter.runs().iter().find(|run| run.uid == open.uid).and_then(|run| run.end);
            within(&nodo, "the abandoned run does not end", async {
                while end().is_none() {
                    sleep(MS).await;
                }
            })
            .await;
            // Without the stop it would have completed within its deadline.
            let stopped = end() == Some("STOPPED");
            assert!(stopped || !stall_monitor.is_steady(), "an abandoned run continued: {}", nodo.logs());
        }
        start.process.terminate();
        assert!(within(&nodo, "it does not exit", start.process.wait()).await, "{}", nodo.logs());
    });
}
