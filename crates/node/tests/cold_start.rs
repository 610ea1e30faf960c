//! Guards against overload when several cold processes start at once under more load than they may accept.
//! Checks the records of the interpreters and the database.

#[path = "common/draining.rs"]
mod draining;

use draining::{PROGRAM, PROGRESS_TIMEOUT, local};
use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig};
use jaspershunt_stand_ins::interpreter::{Interpreter, Work};
use jaspershunt_stand_ins::nodo::{Incarnation, Nodo};
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Tests that load the machine must not run at the same time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const MS: Duration = Duration::from_millis(1);
/// The values of the settings below, for each process.
const CORES: f64 = 2.0;
const COLD_START_SHARE: f64 = 0.3;
const COLD_PERIOD: Duration = Duration::from_secs(9);
const OVERLOAD_MULTIPLE: f64 = 10.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
const FAIR_CALLS: f64 = 1.0;
const CALLS_WINDOW: Duration = Duration::from_secs(1);
/// The gauge of runs on the cores is the interpreter's third one, which always reads 0.1: only the limits in
/// the settings keep a process from accepting more and more.
const SETTINGS: &str = concat!(
    r#"{"classes":[{"name":"read","worth":1,"targetS":1,"deadlineS":2,"semantics":"free"},"#,
    r#"{"name":"look","worth":10,"targetS":1,"deadlineS":2,"semantics":"free"}],"#,
    r#""domain":{"nCores":2,"heapKb":1000000,"runFactor":4,"halt":"drop","say":"tokens","#,
    r#""meters":["core_use","unknown","on_cores"],"classCalls":[false,true],"dependsOn":"common","fairCalls":1,"#,
    r#""callsOverS":1,"lingerS":0.2,"readiness":true,"justStarted":true},"#,
    r#""allowed":{"retryAfter":true,"maxRetryAfterS":1},"clientHabits":{"marksRetry":true},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":10,"fallS":1,"drainGraceS":0}}"#
);
/// How long the load continues once the interpreters are ready.
const LOAD_DURATION: Duration = Duration::from_millis(2200);
/// Open requests per process: more than it may accept.
const CLIENTS_PER_PROCESS: usize = 40;
/// Delay before a refused client retries.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// A step function: the level from each time on.
type Levels = Vec<(Instant, usize)>;

/// Returns the mean level over a window that ends at `end`.
fn mean(levels: &Levels, end: Instant, window: Duration) -> f64 {
    let from = end - window;
    let until = levels.iter().skip(1).map(|(at, _)| *at).chain([end]);
    let area: f64 = levels
        .iter()
        .zip(until)
        .map(|((at, level), until)| {
            until.min(end).saturating_duration_since((*at).max(from)).as_secs_f64() * *level as f64
        })
        .sum();
    area / window.as_secs_f64()
}

/// Returns how far a budget may be exceeded.
fn slack(budget: f64) -> f64 {
    if budget < 30.0 { 3.0 * budget.sqrt() + 3.0 } else { 2.0 * budget.sqrt() + 2.0 }
}

/// Returns the mean number of runs that a process may have on its cores at this time after its interpreter
/// became ready.
fn max_runs_on_cores(age: Duration) -> f64 {
    let share = COLD_START_SHARE
        + (1.0 - COLD_START_SHARE) * (age.as_secs_f64() / COLD_PERIOD.as_secs_f64()).min(1.0);
    CORES * (1.0 + (OVERLOAD_MULTIPLE - 1.0) * share)
}

/// A process, its interpreter, and the clients that load it.
struct ColdProcess {
    nodo: Nodo,
    start: Incarnation,
    interpreter: Interpreter,
    clients: Vec<JoinHandle<()>>,
}

/// Sends requests one after the other.
async fn client(balancer: Balancer, class: &'static str, go: Rc<Cell<bool>>, served: Rc<Cell<usize>>) {
    while go.get() {
        match balancer.send(&Request::new(class, b"cold"), PROGRESS_TIMEOUT).await.status {
            200 => served.set(served.get() + 1),
            _ => sleep(RETRY_DELAY).await,
        }
    }
}

async fn start_cold_process(
    n: usize,
    of: usize,
    database: &Dependency,
    go: &Rc<Cell<bool>>,
    served: &Rc<Cell<usize>>,
) -> ColdProcess {
    let mut nodo = Nodo::new(Path::new(PROGRAM), &format!("cold-{of}-{n}")).await.unwrap();
    nodo.settings = SETTINGS.to_string();
    nodo.database = Some(database.address());
    let (read, look) = (Work { core_time: 100 * MS, calls: 0 }, Work { core_time: 5 * MS, calls: 1 });
    let interpreter = Interpreter::start_cold(CORES as usize, &[("read", read), ("look", look)]).await;
    let start = nodo.start_with_interpreter(interpreter.address()).await.unwrap();
    let mut clients = Vec::new();
    let balancer = Balancer::new(nodo.address, n as u64, Some(interpreter.clone()));
    // Runs that wait for calls count as runs on the cores, so each process has only one of the classes.
    let class = if n.is_multiple_of(2) { "read" } else { "look" };
    for _ in 0..CLIENTS_PER_PROCESS {
        clients.push(spawn_local(client(balancer.clone(), class, go.clone(), served.clone())));
    }
    ColdProcess { nodo, start, interpreter, clients }
}

/// Starts `count` processes under load, whose interpreters become ready at the same time.
async fn check_simultaneous_start(count: usize) {
    let database = Dependency::start(DependencyConfig::new("db", 1000, 100 * MS)).await;
    let (go, served) = (Rc::new(Cell::new(true)), Rc::new(Cell::new(0)));
    let mut all = Vec::new();
    for n in 0..count {
        all.push(start_cold_process(n, count, &database, &go, &served).await);
    }
    let up = Instant::now();
    for one in &all {
        one.interpreter.become_ready();
    }
    sleep(LOAD_DURATION).await;
    let end = Instant::now();
    go.set(false);
    let cores: Vec<Levels> = all.iter().map(|one| one.interpreter.on_cores_history()).collect();
    let calls = database.in_flight_history();
    let times: Vec<Instant> = (0..).map(|n| up + 20 * MS * n).take_while(|time| *time <= end).collect();
    let (mut most_on_cores, mut most_calls) = (0.0_f64, 0.0_f64);
    for time in &times {
        let mut sum = 0.0;
        let allowed = max_runs_on_cores(*time - up);
        for (levels, one) in cores.iter().zip(&all) {
            let on_cores = mean(levels, *time, OVERLOAD_WINDOW);
            assert!(on_cores <= allowed, "{on_cores:.2} of {allowed:.2} on the cores: {}", one.nodo.logs());
            sum += on_cores;
        }
        let budget = allowed * count as f64;
        assert!(sum <= budget + slack(budget), "{sum:.2} of {budget:.2} on the cores of {count}");
        let in_flight = mean(&calls, *time, CALLS_WINDOW);
        let budget = FAIR_CALLS * count as f64;
        assert!(
            in_flight <= budget + slack(budget),
            "{in_flight:.2} calls of {budget:.2} in flight for {count}"
        );
        (most_on_cores, most_calls) = (most_on_cores.max(sum), most_calls.max(in_flight));
    }
    println!("{count}: {most_on_cores:.2} on the cores, {most_calls:.2} calls, {} served", served.get());
    assert!(served.get() >= count, "too few requests were served: {}", served.get());
    for one in &mut all {
        one.start.process.kill().await;
        for client in one.clients.drain(..) {
            client.abort();
        }
    }
}

fn check_alone(count: usize) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    local(check_simultaneous_start(count));
}

#[test]
fn two_and_five_cold_processes_stay_within_their_limits() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    local(async {
        for deployment in [2, 5].map(|count| spawn_local(check_simultaneous_start(count))) {
            deployment.await.unwrap();
        }
    });
}

#[test]
fn twenty_cold_processes_stay_within_their_limits() {
    check_alone(20);
}

#[test]
fn thirty_cold_processes_stay_within_their_limits() {
    check_alone(30);
}
