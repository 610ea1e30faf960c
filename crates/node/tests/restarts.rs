//! Guards against slow restarts after a kill when the directory and the interpreter are late.

#[path = "common/draining.rs"]
mod draining;

use draining::{PROGRAM, PROGRESS_TIMEOUT, local};
use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::interpreter::{Interpreter, Work};
use jaspershunt_stand_ins::nodo::Nodo;
use jaspershunt_stand_ins::wire::Wire;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const MS: Duration = Duration::from_millis(1);
/// Time limit for a restarted process to be ready, which nine in ten must meet.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Total restarts, and how many run concurrently.
const RESTARTS: usize = 20;
const CONCURRENT_RESTARTS: usize = 10;
/// Delay after the restart until the directory answers and the interpreter is ready.
const READINESS_DELAY: Duration = Duration::from_secs(1);

/// Kills a process with an open connection and restarts it. Returns how long it takes until the directory
/// lists it and it serves.
async fn time_to_ready_after_kill(n: usize) -> Duration {
    let mut nodo = Nodo::new(Path::new(PROGRAM), &format!("restarted-{n}")).await.unwrap();
    nodo.without_shared_folder = n.is_multiple_of(2);
    let mut first = nodo.start().await.unwrap();
    let mut taken = Wire::connect(nodo.address, 1).await.unwrap();
    first.process.kill().await;
    assert!(timeout(PROGRESS_TIMEOUT, taken.answer()).await.expect("the connection does not end").is_err());
    nodo.directory.stall(true);
    let reports = nodo.directory.modes().len();
    let work = Work { core_time: 4 * MS, calls: 0 };
    let interpreter = Interpreter::start_cold(8, &[("read", work)]).await;
    let began = Instant::now();
    let (directory, late) = (nodo.directory.clone(), interpreter.clone());
    spawn_local(async move {
        sleep(READINESS_DELAY).await;
        directory.stall(false);
        late.become_ready();
    });
    let started = timeout(PROGRESS_TIMEOUT, nodo.start_with_interpreter(interpreter.address())).await;
    let _second = started.unwrap_or_else(|_| panic!("it does not start: {}", nodo.logs())).unwrap();
    let ready = async {
        while nodo.directory.modes().len() == reports {
            sleep(MS).await;
        }
        let balancer = Balancer::new(nodo.address, 2, None);
        while balancer.send(&Request::new("read", b"again"), READY_TIMEOUT).await.status != 200 {
            sleep(10 * MS).await;
        }
    };
    timeout(PROGRESS_TIMEOUT, ready).await.unwrap_or_else(|_| panic!("it is not ready: {}", nodo.logs()));
    assert_eq!(nodo.directory.mode().as_deref(), Some("open"));
    began.elapsed()
}

#[test]
fn nine_in_ten_killed_processes_are_ready_in_time_after_a_restart() {
    local(async {
        let mut times = Vec::new();
        for batch in 0..RESTARTS / CONCURRENT_RESTARTS {
            let starts: Vec<_> = (0..CONCURRENT_RESTARTS)
                .map(|n| spawn_local(time_to_ready_after_kill(batch * CONCURRENT_RESTARTS + n)))
                .collect();
            for start in starts {
                times.push(start.await.unwrap());
            }
        }
        let ready = times.iter().filter(|took| **took < READY_TIMEOUT).count();
        assert!(ready * 10 >= RESTARTS * 9, "{ready} of {RESTARTS} are ready in time: {times:?}");
    });
}
