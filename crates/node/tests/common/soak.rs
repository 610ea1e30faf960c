//! Draws a deployment and a schedule from a seed, plays them with one process of the program, and judges every
//! request by the records of its caller and of the interpreter.
#![allow(dead_code)]

use crate::draining::{DEADLINE, DrainingNodo, PROGRESS_TIMEOUT, STOP, nodo};
use jaspershunt_stand_ins::balancer::Request;
use jaspershunt_stand_ins::nodo::keyed;
use jaspershunt_stand_ins::wire::{End, Wire};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const MS: Duration = Duration::from_millis(1);
/// A request that crosses the close of its connection within this time is sent once more.
const MAX_CROSSING: Duration = Duration::from_millis(50);
/// Slack of the protocol's time limits.
const DEADLINE_SLACK: Duration = Duration::from_millis(50);
/// Stalls that may add to the measured time of one event: one of the process and one of the test.
const MAX_STALLS_OF_ONE_EVENT: u32 = 2;
/// From the start of the schedule until SIGTERM.
const SERVING_MS: u64 = 1500;
/// Callers come until this long after SIGTERM.
const LAST_CALLER_MS: u64 = 3000;
/// Descriptors of a nodo with 15 connections for balancers.
const MIN_SOCKETS: u64 = 128;
/// First numbers of the balancers, which must be unique.
const FIRST_CALLER: u64 = 10_000;
const FIRST_CROWD: u64 = 50_000;

/// A signal to the process, at a time from the start of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    Reload,
    Terminate,
}

/// What other clients do to a full nodo.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Crowd {
    None,
    /// They connect and send nothing.
    Silent,
    /// They send the first part of a request.
    HalfRequests,
    /// They connect and reset.
    Resets,
}

/// How a caller writes its request.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// When its connection is opened.
    connects_ms: u64,
    /// How long it rests before the first byte of its request.
    rests_ms: u64,
    /// Where the request is cut, and how long the rest is held back.
    cut: usize,
    held_ms: u64,
    keyed: bool,
}

/// All that a seed stands for.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub grace_ms: u64,
    pub sockets: u64,
    pub crowd: Crowd,
    pub crowd_size: u64,
    pub signals: Vec<(u64, Signal)>,
    pub callers: Vec<Caller>,
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut random = StdRng::seed_from_u64(seed);
        let grace_ms = [0, 300, 1000, 2500][random.random_range(0..4)];
        let sockets = [MIN_SOCKETS, 160, 384][random.random_range(0..3)];
        let crowd =
            [Crowd::None, Crowd::Silent, Crowd::HalfRequests, Crowd::Resets][random.random_range(0..4)];
        let crowd_size = random.random_range(5..40);
        let mut signals = vec![(SERVING_MS, Signal::Terminate)];
        if random.random_bool(0.3) {
            signals.push((SERVING_MS + random.random_range(0..300), Signal::Terminate));
        }
        for _ in 0..random.random_range(0..4) {
            signals.push((random.random_range(SERVING_MS - 100..SERVING_MS + 100), Signal::Reload));
        }
        signals.sort();
        let callers = (0..random.random_range(60..160)).map(|_| Caller::draw(&mut random)).collect();
        Plan { seed, grace_ms, sockets, crowd, crowd_size, signals, callers }
    }
}

impl Caller {
    fn draw(random: &mut StdRng) -> Caller {
        let rests = random.random_bool(0.3);
        let holds = random.random_bool(0.4);
        Caller {
            connects_ms: random.random_range(0..SERVING_MS + LAST_CALLER_MS),
            rests_ms: if rests { random.random_range(0..2500) } else { 0 },
            cut: if holds { random.random_range(1..150) } else { 0 },
            held_ms: if holds { random.random_range(0..400) } else { 0 },
            keyed: random.random_bool(0.4),
        }
    }
}

impl Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: grace {} ms, {} descriptors, crowd {:?} of {}, signals {:?}, {} callers; again with: make soak SEED={} SEEDS=1",
            self.seed,
            self.grace_ms,
            self.sockets,
            self.crowd,
            self.crowd_size,
            self.signals,
            self.callers.len(),
            self.seed
        )
    }
}

/// How one try of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered(u16),
    /// The connection was refused or ended before the whole request was written: nothing ran.
    NeverSent,
    /// The connection ended with no answer.
    NoAnswer(End),
}

/// The record of one try.
#[derive(Clone, Debug)]
struct Try {
    uid: String,
    /// The body of a keyed request, of which each has its own.
    keyed_body: Option<Vec<u8>>,
    outcome: Outcome,
    connected: Instant,
    /// Before and after the last byte was written.
    written: (Instant, Instant),
    took: Duration,
    /// Whether an earlier try of the request crossed a close.
    repeated: bool,
}

impl Try {
    /// Whether the connection ended so soon after the last byte that the request crossed its close.
    fn crossed(&self) -> bool {
        matches!(self.outcome, Outcome::NoAnswer(_)) && self.took <= MAX_CROSSING
    }

    /// Describes the try, with its times from the start of the schedule.
    fn describe(&self, begin: Instant) -> String {
        let at = |instant: Instant| instant.saturating_duration_since(begin).as_millis();
        let ended = at(self.written.1 + self.took);
        format!(
            "{} {}: connected at {} ms, written at {} ms, {:?} at {ended} ms",
            self.uid,
            if self.keyed_body.is_some() { "keyed" } else { "not keyed" },
            at(self.connected),
            at(self.written.1),
            self.outcome
        )
    }

    /// Whether a second try ended with no answer: it is not sent again.
    fn is_lost_twice(&self) -> bool {
        self.repeated && matches!(self.outcome, Outcome::NoAnswer(_))
    }

    /// How much longer than a close may cross it the whole request was there before its connection ended with no
    /// answer.
    fn lost_by(&self) -> Option<Duration> {
        matches!(self.outcome, Outcome::NoAnswer(_)).then(|| self.took.checked_sub(MAX_CROSSING))?
    }

    /// How much too late the answer came.
    fn late_by(&self) -> Option<Duration> {
        matches!(self.outcome, Outcome::Answered(_))
            .then(|| self.took.checked_sub(DEADLINE + DEADLINE_SLACK))?
    }
}

/// The outcome of one run of the soak.
#[derive(Debug, Default)]
pub struct Report {
    pub requests: usize,
    pub answered: usize,
    pub refused: usize,
    pub crossed: usize,
    /// Broken rules that hold on any machine.
    pub violations: Vec<String>,
    /// Requests with no answer, and time limits broken by more than the machine stalled.
    pub late: Vec<String>,
    /// Time limits broken by less than the machine stalled: these may be its fault.
    pub undecided: Vec<String>,
    /// The longest stall of the process or the test.
    pub stall: Duration,
}

impl Report {
    /// Whether nothing was broken that a stall does not explain.
    pub fn holds(&self) -> bool {
        self.violations.is_empty() && self.late.is_empty()
    }

    /// Whether stalls of the machine keep the run from showing that its time limits hold.
    pub fn is_undecided(&self) -> bool {
        self.holds() && !self.undecided.is_empty()
    }

    /// Adds a time limit that was broken by this much.
    fn add_late(&mut self, what: String, by: Duration) {
        let explained = by <= MAX_STALLS_OF_ONE_EVENT * self.stall;
        if explained { self.undecided.push(what) } else { self.late.push(what) }
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} tries: {} answered, {} refused, {} crossed a close; {} violations, {} lost or late, {} not decided, longest stall {} ms",
            self.requests,
            self.answered,
            self.refused,
            self.crossed,
            self.violations.len(),
            self.late.len(),
            self.undecided.len(),
            self.stall.as_millis()
        )
    }
}

/// Sends one request as the caller says, and reads its answer.
async fn send_once(mut wire: Wire, caller: Caller, request: &Request, repeated: bool) -> Try {
    let connected = Instant::now();
    sleep(MS * caller.rests_ms as u32).await;
    let encoded = wire.encode(request);
    let cut = caller.cut.min(encoded.bytes.len() - 1);
    let mut written = wire.write(&encoded.bytes[..cut]);
    sleep(MS * caller.held_ms as u32).await;
    let before = Instant::now();
    if written == cut {
        written += wire.write(&encoded.bytes[cut..]);
    }
    let after = Instant::now();
    let ended = timeout(PROGRESS_TIMEOUT, wire.answer()).await.expect("neither an answer nor a close");
    let outcome = match ended {
        Ok((_, answer)) => Outcome::Answered(answer.status),
        Err(_) if written < encoded.bytes.len() => Outcome::NeverSent,
        Err(end) => Outcome::NoAnswer(end),
    };
    let keyed_body = request.key.is_some().then(|| request.body.clone());
    Try {
        uid: encoded.uid,
        keyed_body,
        outcome,
        connected,
        written: (before, after),
        took: after.elapsed(),
        repeated,
    }
}

/// Plays one caller. A request that crosses a close is sent once more, on a new connection.
async fn call(address: SocketAddr, number: u64, caller: Caller, begin: Instant) -> Vec<Try> {
    sleep_until(begin + MS * caller.connects_ms as u32).await;
    let request = if caller.keyed {
        keyed("sign", &format!("key-{number}"), false)
    } else {
        Request::new("read", b"read")
    };
    let mut tries: Vec<Try> = Vec::new();
    let mut now = caller;
    for further in 0..2 {
        let Ok(wire) = Wire::connect(address, 2 * number + further).await else { break };
        let one = send_once(wire, now, &request, further > 0).await;
        let again = one.crossed();
        tries.push(one);
        if !again {
            break;
        }
        (now.rests_ms, now.held_ms, now.cut) = (0, 0, 0);
    }
    tries
}

/// Opens one connection of the crowd, and again whenever it ends.
async fn crowd_member(address: SocketAddr, number: u64, crowd: Crowd) {
    loop {
        let Ok(mut wire) = Wire::connect(address, number).await else { return };
        match crowd {
            Crowd::None => return,
            Crowd::Silent => {}
            Crowd::HalfRequests => {
                let encoded = wire.encode(&Request::new("read", b"read"));
                wire.write(&encoded.bytes[..encoded.bytes.len() / 2]);
            }
            Crowd::Resets => {
                wire.reset();
                sleep(10 * MS).await;
                continue;
            }
        }
        while wire.answer().await.is_ok() {}
        sleep(10 * MS).await;
    }
}

/// Plays the plan of a seed.
pub async fn play(plan: &Plan) -> Report {
    let name = format!("soak-{}", plan.seed);
    let limits = format!(r#","limits":{{"memory_mb":64,"sockets":{}}}"#, plan.sockets);
    let mut draining = DrainingNodo::start(nodo(&name, plan.grace_ms, &limits).await).await;
    let (address, begin) = (draining.nodo.address, Instant::now());
    let crowd: Vec<JoinHandle<()>> = (0..plan.crowd_size)
        .map(|n| spawn_local(crowd_member(address, FIRST_CROWD + n, plan.crowd)))
        .collect();
    let numbered = (FIRST_CALLER..).zip(plan.callers.clone());
    let callers: Vec<JoinHandle<Vec<Try>>> =
        numbered.map(|(number, caller)| spawn_local(call(address, number, caller, begin))).collect();
    for (at, signal) in &plan.signals {
        sleep_until(begin + MS * *at as u32).await;
        match signal {
            Signal::Reload => draining.start.process.hang_up(),
            Signal::Terminate => draining.start.process.terminate(),
        }
    }
    let terminated_at = begin + MS * SERVING_MS as u32;
    sleep_until(terminated_at + STOP).await;
    let mut report = Report { stall: draining.stall_monitor.longest(), ..Report::default() };
    let at_kill = draining.start.process.exit_status();
    sleep(MAX_STALLS_OF_ONE_EVENT * report.stall).await;
    match at_kill.or_else(|| draining.start.process.exit_status()) {
        Some(status) if !status.success() => report.violations.push(format!("it exits with {status}")),
        Some(_) if at_kill.is_none() => report.undecided.push("it runs at the time of the kill".to_string()),
        Some(_) => {}
        None => report.late.push("it runs at the time of the kill".to_string()),
    }
    draining.start.process.kill().await;
    let mut tries = Vec::new();
    for caller in callers {
        tries.extend(caller.await.unwrap());
    }
    crowd.iter().for_each(JoinHandle::abort);
    judge(&draining, plan, &tries, begin, &mut report);
    report
}

/// Adds to the report what the tries show.
fn judge(draining: &DrainingNodo, plan: &Plan, tries: &[Try], begin: Instant, report: &mut Report) {
    let (mut by_uid, mut by_body) = (BTreeMap::<String, usize>::new(), BTreeMap::<Vec<u8>, usize>::new());
    for run in draining.nodo.interpreters.iter().flat_map(|interpreter| interpreter.runs().clone()) {
        *by_uid.entry(run.uid).or_default() += 1;
        if run.class == "sign" {
            *by_body.entry(run.body).or_default() += 1;
        }
    }
    let Some(closed_at) = draining.closed_at.get() else {
        return report.late.push("the directory received no report of closed".to_string());
    };
    let grace_ended = closed_at + MS * plan.grace_ms as u32;
    report.requests = tries.len();
    for one in tries {
        let ran = match &one.keyed_body {
            Some(body) => by_body.get(body).copied().unwrap_or(0),
            None => by_uid.get(&one.uid).copied().unwrap_or(0),
        };
        let mut broken =
            |what: &str| report.violations.push(format!("{what}, ran {ran} times: {}", one.describe(begin)));
        if ran > 1 {
            broken("it ran more than once");
        }
        if by_uid.contains_key(&one.uid) && one.written.0 > grace_ended {
            broken("it came after the grace and ran");
        }
        match one.outcome {
            Outcome::Answered(200) if ran == 0 => broken("it was served without a run"),
            Outcome::Answered(429 | 503) if ran > 0 && one.keyed_body.is_some() => {
                broken("it was refused and ran")
            }
            Outcome::NeverSent | Outcome::NoAnswer(_) if by_uid.contains_key(&one.uid) => {
                broken("it ran and was not answered");
            }
            _ => {}
        }
        match one.outcome {
            Outcome::Answered(200) => report.answered += 1,
            Outcome::Answered(_) => report.refused += 1,
            _ => {}
        }
        report.crossed += usize::from(one.crossed());
        if one.is_lost_twice() {
            report.late.push(format!("its second try was not answered: {}", one.describe(begin)));
        } else if let Some(by) = one.lost_by() {
            report.add_late(format!("it was not answered: {}", one.describe(begin)), by);
        }
        if let Some(by) = one.late_by() {
            report.add_late(format!("it was answered late: {}", one.describe(begin)), by);
        }
    }
}
