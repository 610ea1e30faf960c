//! Starts one nodo process, terminates it, and sends requests at chosen times around that. Checks each
//! request against the records of the interpreter and the connections.
#![allow(dead_code)]

use jaspershunt_stand_ins::balancer::Request;
use jaspershunt_stand_ins::nodo::{Incarnation, Nodo};
use jaspershunt_stand_ins::wire::{End, Wire};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
/// The configured grace: from SIGTERM to the last request that may run.
pub const GRACE: Duration = Duration::from_millis(2500);
/// From SIGTERM to SIGKILL.
pub const STOP: Duration = Duration::from_millis(3200);
/// The deadline of all classes here.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// Timeout for progress, long enough for a busy machine. It is no bound on safety.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

pub fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(120), test).await.expect("the test hangs");
    });
}

/// Creates a nodo with this grace in milliseconds and additional configuration keys.
pub async fn nodo(name: &str, grace: u64, more: &str) -> Nodo {
    let mut nodo = Nodo::new(Path::new(PROGRAM), &format!("narrow-{name}")).await.unwrap();
    let seconds = format!(r#""drainGraceS":{}"#, grace as f64 / 1000.0);
    nodo.settings = nodo.settings.replace(r#""drainGraceS":0"#, &seconds);
    nodo.extra_config = format!(r#","stop_ms":{}{more}"#, STOP.as_millis());
    nodo
}

/// Records the longest pause of the process or the test. Answer times say nothing about the program on a
/// machine that paused either.
pub struct StallMonitor(Rc<Cell<Duration>>);

/// The longest pause tolerated: shorter than the margin of every timing bound here.
const MAX_STALL: Duration = Duration::from_millis(120);

impl StallMonitor {
    /// Sends an operator's PING every few milliseconds until the process no longer accepts it.
    pub fn start(admin: SocketAddr) -> StallMonitor {
        let longest = Rc::new(Cell::new(Duration::ZERO));
        let seen = longest.clone();
        spawn_local(async move {
            loop {
                let began = Instant::now();
                sleep(Duration::from_millis(5)).await;
                let Ok(mut stream) = TcpStream::connect(admin).await else { return };
                let mut answer = String::new();
                if stream.write_all(b"PING\n").await.is_ok() {
                    let _ = stream.read_to_string(&mut answer).await;
                }
                seen.set(seen.get().max(began.elapsed()));
            }
        });
        StallMonitor(longest)
    }

    /// Returns the longest pause so far.
    pub fn longest(&self) -> Duration {
        self.0.get()
    }

    /// Returns whether neither the process nor the test was paused for too long.
    pub fn is_steady(&self) -> bool {
        self.0.get() < MAX_STALL
    }
}

/// Runs a case up to three times, until it reports that the machine did not stall. Safety is checked in every
/// run.
pub async fn retry_while_stalled(case: impl AsyncFn() -> bool) {
    for _ in 0..3 {
        if case().await {
            return;
        }
    }
    println!("the machine stalls: only the safety checks were made");
}

/// A running process that will be terminated.
pub struct DrainingNodo {
    pub nodo: Nodo,
    pub start: Incarnation,
    /// When to terminate it; see [`DrainingNodo::schedule_termination`].
    pub terminate_at: Instant,
    /// When the directory was seen to have received `closed`.
    pub closed_at: Rc<Cell<Option<Instant>>>,
    pub stall_monitor: StallMonitor,
    directory_watch: JoinHandle<()>,
}

/// The observed outcome of one request.
#[derive(Debug)]
pub struct SentRequest {
    pub uid: String,
    pub keyed: bool,
    /// Times before and after its last byte was written.
    pub last: (Instant, Instant),
    /// Whether all of its bytes were written.
    pub whole: bool,
    pub statuses: Vec<u16>,
    pub took: Duration,
    pub end: End,
}

impl DrainingNodo {
    pub async fn start(mut nodo: Nodo) -> DrainingNodo {
        let start = nodo.start().await.unwrap();
        let closed_at = Rc::new(Cell::new(None));
        let (directory, closed_at_writer) = (nodo.directory.clone(), closed_at.clone());
        let directory_watch = spawn_local(async move {
            while directory.mode().as_deref() != Some("closed") {
                sleep(Duration::from_millis(1)).await;
            }
            closed_at_writer.set(Some(Instant::now()));
        });
        let stall_monitor = StallMonitor::start(start.admin);
        DrainingNodo { nodo, start, terminate_at: Instant::now(), closed_at, stall_monitor, directory_watch }
    }

    /// Schedules the termination shortly after now, once the test has made all its preparations.
    pub fn schedule_termination(&mut self) -> Instant {
        self.terminate_at = Instant::now() + Duration::from_millis(200);
        self.terminate_at
    }

    /// Opens a connection and uses it once.
    pub async fn used_connection(&self, number: u64) -> Wire {
        used_connection(&self.nodo, number).await
    }

    /// Sends SIGTERM at the scheduled time; returns the earliest time at which the process can have received
    /// it.
    pub async fn terminate(&self) -> Instant {
        sleep_until(self.terminate_at).await;
        let terminated_at = Instant::now();
        self.start.process.terminate();
        terminated_at
    }

    /// Waits for the process to report `closed` and exit successfully.
    pub async fn assert_clean_exit(&mut self) {
        let ended = timeout(PROGRESS_TIMEOUT, self.start.process.wait()).await.unwrap();
        assert!(ended, "it exits with a failure: {}", self.nodo.logs());
        let closed_at = timeout(PROGRESS_TIMEOUT, &mut self.directory_watch).await;
        assert!(closed_at.is_ok(), "the directory received no report of closed: {}", self.nodo.logs());
    }

    /// Checks the guarantees for every request. Each complete request sent up to `answered_until` must have
    /// been answered.
    pub fn check_requests(&self, sent: &[SentRequest], grace: Duration, answered_until: Instant, what: &str) {
        let closed_at = self.closed_at.get().unwrap();
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.nodo.interpreters.iter().flat_map(|interpreter| interpreter.runs().clone()) {
            *runs.entry(run.uid).or_default() += 1;
        }
        for one in sent {
            let ran = runs.get(&one.uid).copied().unwrap_or(0);
            let seen = || format!("{what}: {one:?}, ran {ran} times: {}", self.nodo.logs());
            assert!(ran <= 1, "it ran twice: {}", seen());
            assert!(one.statuses.len() <= 1, "two answers: {}", seen());
            assert!(one.whole || ran == 0, "an incomplete request ran: {}", seen());
            // The grace began before the directory could receive the report.
            assert!(
                ran == 0 || one.last.0 <= closed_at + grace,
                "a request that came after the grace ran: {}",
                seen()
            );
            assert!(
                !one.whole
                    || one.last.1 > answered_until
                    || one.statuses.len() == 1
                    || !self.stall_monitor.is_steady(),
                "a complete request was not answered: {}",
                seen()
            );
            match one.statuses.first() {
                Some(200) => assert_eq!(ran, 1, "answered with 200 without a run: {}", seen()),
                // A run of a safe class may have been stopped.
                Some(503) => assert!(ran == 0 || !one.keyed, "refused though it ran: {}", seen()),
                Some(500) => {}
                Some(_) => panic!("an unexpected status: {}", seen()),
                None => assert_eq!(ran, 0, "it ran and was not answered: {}", seen()),
            }
            let late = one.took > DEADLINE + Duration::from_millis(500);
            assert!(!late || !self.stall_monitor.is_steady(), "too late: {}", seen());
        }
    }
}

/// Opens a connection and uses it once, retrying until the nodo serves.
pub async fn used_connection(nodo: &Nodo, number: u64) -> Wire {
    let used = async {
        loop {
            if let Ok(mut wire) = Wire::connect(nodo.address, number).await
                && wire.send(&Request::new("read", b"first")).is_some()
                && matches!(wire.answer().await, Ok((_, answer)) if answer.status == 200)
            {
                return wire;
            }
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(PROGRESS_TIMEOUT, used).await.unwrap_or_else(|_| panic!("it does not serve: {}", nodo.logs()))
}

/// Writes a request in two parts at the given times, and reads until the connection ends.
pub async fn send_in_parts(
    mut wire: Wire,
    request: Request,
    cut: usize,
    times: (Instant, Instant),
) -> SentRequest {
    sleep_until(times.0).await;
    let (keyed, request) = (request.key.is_some(), wire.encode(&request));
    let mut left = wire.write(&request.bytes[..cut]);
    sleep_until(times.1).await;
    let before = Instant::now();
    left += if left == cut { wire.write(&request.bytes[cut..]) } else { 0 };
    let whole = left == request.bytes.len();
    SentRequest { keyed, ..read_answers(wire, request.uid, whole, before).await }
}

/// Reads all answers to a request without a key, whose last byte was written after `before`, until the
/// connection ends.
pub async fn read_answers(mut wire: Wire, uid: String, whole: bool, before: Instant) -> SentRequest {
    let last = (before, Instant::now());
    let (mut statuses, mut took) = (Vec::new(), Duration::ZERO);
    let end = loop {
        match timeout(PROGRESS_TIMEOUT, wire.answer())
            .await
            .expect("neither an answer nor the end of the connection")
        {
            Ok((_, answer)) => {
                if statuses.is_empty() {
                    took = last.1.elapsed();
                }
                statuses.push(answer.status);
            }
            Err(end) => break end,
        }
    };
    SentRequest { uid, keyed: false, last, whole, statuses, took, end }
}

/// Waits for all senders.
pub async fn join_all(senders: Vec<JoinHandle<SentRequest>>) -> Vec<SentRequest> {
    let mut all = Vec::new();
    for sender in senders {
        all.push(sender.await.unwrap());
    }
    all
}
