//! Guards against settings that break the guarantees alone or in pairs: each value and each pair of values,
//! under more load than the cores can handle, with callers that announce their waits and retry without a
//! mark. Checks the records of the fake servers. The clock advances by a millisecond whenever all tasks are
//! idle.

mod common;
use common::paused;
use jaspershunt_node::clock::Clock;
use jaspershunt_node::{config, server};
use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig};
use jaspershunt_stand_ins::directory::Directory;
use jaspershunt_stand_ins::interpreter::{Halt, Interpreter, Work};
use jaspershunt_stand_ins::truth::{self, Sent};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// The settings that change a nodo's behaviour, with all their values, those of an ordinary site first.
/// Values are inserted into the settings as written; some are also read by the test, by the places below.
const AXES: [(&str, &[&str]); 13] = [
    ("halt", &["\"drop\"", "\"pause\"", "\"silent\""]),
    ("say", &["\"tokens\"", "\"min_rank\"", "\"bias\"", "\"silent\""]),
    ("passesDeadline", &["false", "true"]),
    ("cancelSeen", &["true", "false"]),
    ("marksRetry", &["true", "false"]),
    ("readiness", &["true", "false"]),
    ("dependsOn", &["\"common\"", "\"silent\""]),
    ("worthBy", &["\"request\"", "\"work\""]),
    ("lateShare", &["0", "0.3"]),
    ("freshS", &["0", "1.0"]),
    ("retryAfter", &["true", "false"]),
    ("semantics", &["\"guarded\",\"windowS\":30", "\"single_shot\""]),
    // Concurrent runs per core that the interpreter survives: plenty, or hardly more than one.
    ("fallMultiple", &["10", "1.6"]),
];
const HALT: usize = 0;
const PASSES_DEADLINE: usize = 2;
const MARKS_RETRY: usize = 4;
const DEPENDS_ON: usize = 6;
const SEMANTICS: usize = 11;
/// Requests and the interval between them: about 1.5 times what two cores can handle.
const REQUESTS: u64 = 160;
const REQUEST_INTERVAL: Duration = Duration::from_millis(9);
/// The whole test takes a few seconds.
const HANG_TIMEOUT: Duration = Duration::from_secs(300);
/// How late an answer may be, including the platform's slack.
const SLACK_MS: u64 = 150;

/// One value of each setting, by its index.
type Combination = [usize; AXES.len()];

/// Returns a pseudo-random number that is the same in each run.
fn pseudo_random(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 29;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 32)
}

fn pairs_of(combination: &Combination) -> impl Iterator<Item = (usize, usize, usize, usize)> {
    let combination = *combination;
    (0..AXES.len())
        .flat_map(move |a| (a + 1..AXES.len()).map(move |b| (a, combination[a], b, combination[b])))
}

/// Returns combinations that cover each pair of values, each time choosing the drawn one with the most new
/// pairs.
fn deployments() -> Vec<Combination> {
    let mut left: BTreeSet<_> = BTreeSet::new();
    for a in 0..AXES.len() {
        for b in a + 1..AXES.len() {
            let values = |axis: usize| 0..AXES[axis].1.len();
            left.extend(values(a).flat_map(|x| values(b).map(move |y| (a, x, b, y))));
        }
    }
    let mut all = vec![[0; AXES.len()]];
    for seed in 0.. {
        for pair in pairs_of(all.last().expect("there is one")) {
            left.remove(&pair);
        }
        if left.is_empty() {
            return all;
        }
        let drawn = (0..200).map(|n| {
            let axis = |axis: usize| {
                (pseudo_random(seed * 1000 + n, axis as u64) % AXES[axis].1.len() as u64) as usize
            };
            std::array::from_fn(axis)
        });
        all.extend(
            drawn.max_by_key(|combination| pairs_of(combination).filter(|pair| left.contains(pair)).count()),
        );
    }
    all
}

fn settings(combination: &Combination) -> String {
    let value = |name: &str| {
        let axis = AXES.iter().position(|(axis, _)| *axis == name).expect("an axis");
        AXES[axis].1[combination[axis]]
    };
    let class = |name: &str, worth: u32, repeat: &str| {
        let late = value("lateShare");
        format!(
            r#"{{"name":"{name}","worth":{worth},"targetS":0.5,"deadlineS":1.0,"lateShare":{late},"semantics":{repeat}}}"#
        )
    };
    let in_domain = ["halt", "say", "passesDeadline", "cancelSeen", "readiness", "dependsOn", "freshS"];
    let domain: String = in_domain.iter().map(|name| format!(r#""{name}":{},"#, value(name))).collect();
    format!(
        r#"{{"classes":[{},{},{}],"domain":{{{domain}"nCores":2,"heapKb":20000,"runFactor":16,"keyKb":5,"meters":["core_use","on_cores"],"classCalls":[true,false,true],"fairCalls":6,"callsOverS":5}},"worthBy":{},"clientHabits":{{"marksRetry":{}}},"allowed":{{"retryAfter":{},"maxRetryAfterS":1}},"obligations":{{"coldFrom":0.3,"coldS":9,"fallMultiple":{},"fallS":2,"drainGraceS":0.2,"graceToAnswerS":0.1}},"orgs":[{{"name":"acme","share":1,"allowancePerS":90}}],"servers":3}}"#,
        class("view", 1, "\"free\""),
        class("find", 1, "\"free\""),
        class("edit", 3, value("semantics")),
        value("worthBy"),
        value("marksRetry"),
        value("retryAfter"),
        value("fallMultiple"),
    )
}

/// The requests sent, and their time after the start of the drain, if they came after it.
type Record = Rc<RefCell<Vec<(Sent, Option<Duration>)>>>;

/// Runs a deployment; returns the faults and the number of requests served.
async fn run_deployment(combination: &Combination, seed: u64) -> (Vec<String>, usize) {
    let dependency = Dependency::start(DependencyConfig::new("below", 4, Duration::from_millis(20))).await;
    let (ms, calls) = (Duration::from_millis(10), usize::from(combination[DEPENDS_ON] == 0));
    let classes = [
        ("view", Work { core_time: ms, calls }),
        ("find", Work { core_time: 2 * ms, calls: 0 }),
        ("edit", Work { core_time: ms, calls }),
    ];
    let halt = [Halt::Drop, Halt::Pause, Halt::Never][combination[HALT]];
    let interpreter = Interpreter::start_with(2, halt, &classes).await;
    let directory = Directory::start().await;
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = front.local_addr().unwrap();
    let text = format!(
        r#"{{"name":"n1","listen":"{address}","vm":"{}","lookup":"{}","db":"{}","stop_ms":2000,"settings":{}}}"#,
        interpreter.address(),
        directory.address(),
        dependency.address(),
        settings(combination)
    );
    let config = config::read(&text, |_| None).unwrap();
    let (_moves, peers) = watch::channel(config.peers);
    let (_operators, operator) = watch::channel(None);
    let (drain, drain_requested) = oneshot::channel();
    let clock = Clock::runtime(UNIX_EPOCH.elapsed().unwrap().as_secs_f64());
    let balancer = Balancer::new(address, 4, Some(interpreter.clone()));
    let run = server::run(config, clock, server::Endpoints::new(front), peers, operator, async {
        let _ = drain_requested.await;
    });
    let done = spawn_local(async move { run.await.unwrap() });
    while directory.mode().as_deref() != Some("open") {
        sleep(Duration::from_millis(1)).await;
    }
    let (record, mut tasks) = (Record::default(), Vec::new());
    let (mut drain, mut drain_began) = (Some(drain), None);
    let start = Instant::now();
    for n in 0..REQUESTS {
        sleep_until(start + REQUEST_INTERVAL * n as u32).await;
        if n == REQUESTS * 3 / 4 {
            drain_began = Some(Instant::now());
            let _ = drain.take().expect("once").send(());
        }
        let random = pseudo_random(seed, n);
        let name = ["view", "find", "edit"][(random % 3) as usize];
        let mut request = Request::new(name, format!("{name} {n}").as_bytes());
        if name == "edit" && combination[SEMANTICS] == 0 {
            request.key = Some(format!("{n:032x}"));
        }
        // A long wait, a short one, one beyond the class's deadline, a very short one, and none left.
        let waits = [700, 150, 5_000, 60, 0][(random / 7 % 5) as usize];
        request.deadline_ms =
            (combination[PASSES_DEADLINE] == 1 && !(random / 35).is_multiple_of(6)).then_some(waits);
        let (balancer, record, again) = (balancer.clone(), record.clone(), (random / 210).is_multiple_of(2));
        let marked = combination[MARKS_RETRY] == 0;
        tasks.push(spawn_local(async move {
            // Tries of a request that must not run twice are recognised only by their key.
            let tries = if again && (name != "edit" || request.key.is_some()) { 3 } else { 1 };
            for n in 0..tries {
                request.resent = marked && n > 0;
                // A caller that announces no wait, or more than the class's deadline, must be answered by the
                // deadline.
                let due = request.deadline_ms.map_or(1000, |ms| ms.min(1000)) + SLACK_MS;
                let after = drain_began.map(|began| began.elapsed());
                let answer = balancer.send(&request, Duration::from_millis(due)).await;
                let ended = answer.status == 200;
                record.borrow_mut().push((Sent { request: request.clone(), answer }, after));
                if ended {
                    return;
                }
                sleep(Duration::from_millis(30)).await;
            }
        }));
    }
    done.await.unwrap();
    let exited_after = drain_began.map_or(Duration::ZERO, |began| began.elapsed());
    for task in tasks {
        task.await.unwrap();
    }
    find_faults(&record, exited_after, &interpreter, &dependency)
}

/// Finds faults. `exited_after` is the time from the start of the drain to the nodo's exit.
fn find_faults(
    record: &Record,
    exited_after: Duration,
    interpreter: &Interpreter,
    dependency: &Dependency,
) -> (Vec<String>, usize) {
    // Once the nodo has exited, or is about to, connections are refused and nothing is read.
    let cutoff = exited_after.saturating_sub(Duration::from_millis(5));
    let read = |after: &Option<Duration>| after.is_none_or(|after| after < cutoff);
    let records = record.borrow();
    let sent: Vec<Sent> = records
        .iter()
        .filter(|(s, after)| s.answer.status != 0 || read(after))
        .map(|(s, _)| s.clone())
        .collect();
    let faults = truth::check(&sent, interpreter, &[dependency]);
    let mut wrong: Vec<String> = [
        ("unanswered", faults.unanswered),
        ("ran twice", faults.doubled),
        ("turned away though it ran", faults.refused),
        ("served with something else", faults.labels),
    ]
    .into_iter()
    .flat_map(|(what, lines)| lines.into_iter().map(move |line| format!("{what}: {line}")))
    .collect();
    // The grace is 200 ms, plus the time to transmit.
    let late: BTreeSet<&str> = (records.iter())
        .filter(|(_, after)| after.is_some_and(|after| after > Duration::from_millis(260)))
        .map(|(sent, _)| sent.answer.uid.as_str())
        .collect();
    wrong.extend(
        interpreter
            .runs()
            .iter()
            .filter(|run| late.contains(&run.uid[..]))
            .map(|r| format!("ran late: {}", r.uid)),
    );
    let refused = |sent: &&Sent| matches!(sent.answer.status, 429 | 503) && sent.request.key.is_some();
    for one in sent.iter().filter(refused) {
        if interpreter.runs().iter().any(|run| run.uid == one.answer.uid) {
            wrong.push(format!("turned away though it ran: {}", one.answer.uid));
        }
    }
    (wrong, sent.iter().filter(|one| one.answer.status == 200).count())
}

#[test]
fn every_pair_of_settings_keeps_the_guarantees() {
    let all = deployments();
    // Only the plausible number of combinations is checked here.
    assert!((12..40).contains(&all.len()), "{} deployments", all.len());
    let mut served = 0;
    // Guards against a nodo that is busy for ever, as the test's clock doesn't advance then.
    let (over, waits) = std::sync::mpsc::channel::<()>();
    std::thread::spawn(move || {
        if waits.recv_timeout(HANG_TIMEOUT) == Err(std::sync::mpsc::RecvTimeoutError::Timeout) {
            eprintln!("a deployment hangs; `--nocapture` shows which seed");
            std::process::abort();
        }
    });
    for (seed, combination) in all.iter().enumerate() {
        eprintln!("seed {seed}");
        paused(async {
            let (wrong, successes) = run_deployment(combination, seed as u64).await;
            let named: Vec<String> = AXES
                .iter()
                .zip(combination)
                .map(|((name, values), at)| format!("{name}={}", values[*at]))
                .collect();
            assert!(wrong.is_empty(), "seed {seed}, {}: {wrong:#?}", named.join(" "));
            assert!(successes > 0, "seed {seed}, {}: nothing was served", named.join(" "));
            served += successes;
        });
    }
    drop(over);
    assert!(served > all.len() * 20, "{served} served in {}", all.len());
}
