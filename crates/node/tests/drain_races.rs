//! Guards against lost, doubled or late requests while a nodo drains: requests whose bytes arrive as it gets
//! SIGTERM, as the directory learns of it, as the grace ends, and as the listener and the connections close.
//! Runs real processes and checks the records of the interpreter and the connections. See
//! `docs/design/narrow-moments.md`.

#[path = "common/draining.rs"]
mod draining;

use draining::*;
use jaspershunt_stand_ins::balancer::Request;
use jaspershunt_stand_ins::nodo::{Nodo, keyed};
use jaspershunt_stand_ins::wire::{End, Wire};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const MS: Duration = Duration::from_millis(1);

/// Creates a safe or a keyed request by turns. Each keyed one has its own key.
fn mixed_request(n: u64) -> Request {
    if n.is_multiple_of(2) {
        Request::new("read", b"read")
    } else {
        keyed("sign", &format!("key-{n}"), false)
    }
}

fn read_request() -> Request {
    Request::new("read", b"read")
}

/// Opens connections, uses each once, and chooses where to split its next request, always before the last
/// byte.
async fn partial_senders(draining: &DrainingNodo, random: &mut StdRng, count: u64) -> Vec<(Wire, usize)> {
    let mut wires = Vec::new();
    for n in 0..count {
        // Each request has at least 150 bytes.
        wires.push((draining.used_connection(1000 + n).await, random.random_range(1..150)));
    }
    wires
}

/// Sends the two parts of a request on each connection at the given times.
fn spawn_senders(
    wires: Vec<(Wire, usize)>,
    at: impl Fn(u64) -> (Instant, Instant),
) -> Vec<JoinHandle<SentRequest>> {
    let numbered = (0..).zip(wires);
    numbered.map(|(n, (wire, cut))| spawn_local(send_in_parts(wire, mixed_request(n), cut, at(n)))).collect()
}

/// Sends requests around SIGTERM and around the directory's receipt of `closed`, with and without a grace.
async fn termination_during_a_request(seed: u64, grace: u64) -> bool {
    let mut random = StdRng::seed_from_u64(seed);
    let what = format!("term-{grace}-{seed}");
    let mut draining = DrainingNodo::start(nodo(&what, grace, "").await).await;
    let wires = partial_senders(&draining, &mut random, 70).await;
    let (mut before, mut after) = (draining.used_connection(1).await, draining.used_connection(2).await);
    let mut on_report = draining.used_connection(3).await;
    let at = draining.schedule_termination();
    // From 20 ms before to 20 ms after SIGTERM, and later until well after the close of idle connections. The
    // first part is sent before.
    let last = |n: u64| match n {
        0..40 => at + MS * (n as u32) - 20 * MS,
        _ => at + MS * 10 * (n as u32 - 40) + 100 * MS,
    };
    let senders = spawn_senders(wires, |n| (at - 30 * MS, last(n)));
    // One request is completed immediately before SIGTERM and one immediately after it.
    let (one, other) = (before.encode(&read_request()), after.encode(&read_request()));
    let on_report_bytes = on_report.encode(&read_request());
    let cuts = [one.bytes.len() - 1, other.bytes.len() - 1, on_report_bytes.bytes.len() - 1];
    before.write(&one.bytes[..cuts[0]]);
    after.write(&other.bytes[..cuts[1]]);
    on_report.write(&on_report_bytes.bytes[..cuts[2]]);
    sleep_until(at).await;
    before.write(&one.bytes[cuts[0]..]);
    let terminated_at = draining.terminate().await;
    let now = Instant::now();
    let whole = after.write(&other.bytes[cuts[1]..]) == 1;
    let mut all_sent = vec![
        spawn_local(read_answers(before, one.uid, true, terminated_at)),
        spawn_local(read_answers(after, other.uid, whole, now)),
    ];
    // A last byte and a new connection as the directory receives the report.
    let report_received = async {
        while draining.closed_at.get().is_none() {
            sleep(MS).await;
        }
    };
    timeout(PROGRESS_TIMEOUT, report_received)
        .await
        .unwrap_or_else(|_| panic!("the directory received no report of closed: {}", draining.nodo.logs()));
    let now = Instant::now();
    let whole = on_report.write(&on_report_bytes.bytes[cuts[2]..]) == 1;
    all_sent.push(spawn_local(read_answers(on_report, on_report_bytes.uid, whole, now)));
    if grace > 0 {
        let mut wire = Wire::connect(draining.nodo.address, 4).await.expect("the listener is still open");
        let now = Instant::now();
        let bytes = wire.send(&read_request()).unwrap();
        all_sent.push(spawn_local(read_answers(wire, bytes.uid, true, now)));
    }
    all_sent.extend(senders);
    let sent = join_all(all_sent).await;
    draining.assert_clean_exit().await;
    // Partial requests are awaited until the remaining connections are closed.
    draining.check_requests(&sent, Duration::from_millis(grace), terminated_at + STOP - 300 * MS, &what);
    let closed = sent.iter().all(|one| one.end == End::Closed);
    assert!(closed || !draining.stall_monitor.is_steady(), "{what}: a connection was reset: {sent:#?}");
    draining.stall_monitor.is_steady()
}

#[test]
fn requests_completed_around_sigterm_run_at_most_once_and_are_answered() {
    local(async {
        let cases = [(1, 0), (2, 0), (3, 2500), (4, 2500)];
        let cases = cases.map(|(seed, grace)| {
            spawn_local(retry_while_stalled(async move || termination_during_a_request(seed, grace).await))
        });
        for case in cases {
            case.await.unwrap();
        }
    });
}

/// Sends whole and split requests around the end of the grace. The arrival of the last byte counts.
async fn requests_around_the_end_of_the_grace(seed: u64) -> bool {
    let mut random = StdRng::seed_from_u64(seed);
    let what = format!("grace-{seed}");
    let mut draining = DrainingNodo::start(nodo(&what, 2500, "").await).await;
    let wires = partial_senders(&draining, &mut random, 140).await;
    let (mut long, slow) = (Vec::new(), |n: u64| keyed("slow", &format!("slow-{n}"), false));
    for n in 0..4 {
        long.push((n, draining.used_connection(100 + n).await));
    }
    let end = draining.schedule_termination() + GRACE;
    let jitter = Duration::from_micros(random.random_range(0..2000));
    // Half of them are sent in one write, the others have their first bytes well inside the grace.
    let last = |n: u64| end - 60 * MS + jitter + MS * 4 * ((n / 2) as u32);
    let first = |n: u64| if (n / 2).is_multiple_of(2) { end - 400 * MS } else { last(n) };
    let senders = spawn_senders(wires, |n| (first(n), last(n)));
    // Runs that take longer than the time left are still answered before the kill.
    let times = |n| (end - (60 - 5 * n) * MS, end - (60 - 5 * n) * MS);
    let long =
        long.into_iter().map(|(n, wire)| spawn_local(send_in_parts(wire, slow(n), 20, times(n as u32))));
    let long: Vec<_> = long.collect();
    let terminated_at = draining.terminate().await;
    let (sent, long) = (join_all(senders).await, join_all(long).await);
    draining.assert_clean_exit().await;
    draining.check_requests(&sent, GRACE, terminated_at + STOP - 300 * MS, &what);
    draining.check_requests(&long, GRACE, terminated_at + STOP - 300 * MS, &what);
    let served = sent.iter().filter(|one| one.statuses == [200]).count();
    let refused = sent.iter().filter(|one| one.statuses == [503]).count();
    println!("{what}: {served} served, {refused} refused of {}", sent.len());
    let closed = sent.iter().all(|one| one.end == End::Closed);
    assert!(closed || !draining.stall_monitor.is_steady(), "{what}: a connection was reset: {sent:#?}");
    assert!(
        refused > 0 || !draining.stall_monitor.is_steady(),
        "{what}: nothing came after the grace: {sent:#?}"
    );
    draining.stall_monitor.is_steady()
}

#[test]
fn requests_completed_after_the_grace_never_run() {
    local(async {
        let run = |seed| retry_while_stalled(async move || requests_around_the_end_of_the_grace(seed).await);
        for case in [11, 12].map(|seed| spawn_local(run(seed))) {
            case.await.unwrap();
        }
    });
}

/// Sends requests on idle connections as they are closed, and on new ones as the listener closes.
async fn requests_around_the_close(seed: u64) -> bool {
    let mut random = StdRng::seed_from_u64(seed);
    let what = format!("close-{seed}");
    let mut draining = DrainingNodo::start(nodo(&what, 300, "").await).await;
    let wires = partial_senders(&draining, &mut random, 200).await;
    let grace = Duration::from_millis(300);
    // The listener closes 100 ms after the grace, and idle connections 100 ms after that.
    let shut = draining.schedule_termination() + grace + 200 * MS;
    let jitter = Duration::from_micros(random.random_range(0..1000));
    let last = |n: u64| shut - 40 * MS + jitter + MS * (n as u32) / 2;
    let idle = spawn_senders(wires, |n| (last(n), last(n)));
    let (address, listens) = (draining.nodo.address, draining.terminate_at + grace + 100 * MS);
    let callers: Vec<_> = (0..200u32)
        .map(|n| {
            spawn_local(async move {
                sleep_until(listens - 40 * MS + MS * n).await;
                let mut wire = Wire::connect(address, 5000 + u64::from(n)).await.ok()?;
                let now = Instant::now();
                // A connection that was reset at once sends nothing.
                let bytes = wire.send(&read_request())?;
                Some(read_answers(wire, bytes.uid, true, now).await)
            })
        })
        .collect();
    let terminated_at = draining.terminate().await;
    let idle = join_all(idle).await;
    let mut called = Vec::new();
    for caller in callers {
        called.extend(caller.await.unwrap());
    }
    draining.assert_clean_exit().await;
    draining.check_requests(&idle, grace, terminated_at + grace + 200 * MS, &what);
    // The nodo reads nothing of connections that it had not accepted.
    draining.check_requests(&called, grace, terminated_at + grace + 100 * MS, &what);
    let answered = |sent: &[SentRequest]| sent.iter().filter(|one| !one.statuses.is_empty()).count();
    println!(
        "{what}: {} of {} on idle connections answered, {} of {} on new ones",
        answered(&idle),
        idle.len(),
        answered(&called),
        called.len()
    );
    let closed = idle.iter().all(|one| one.end == End::Closed);
    assert!(closed || !draining.stall_monitor.is_steady(), "{what}: a connection was reset: {idle:#?}");
    draining.stall_monitor.is_steady()
}

#[test]
fn requests_racing_the_close_of_connections_or_listener_are_handled() {
    local(async {
        let run = |seed| retry_while_stalled(async move || requests_around_the_close(seed).await);
        for case in [21, 22, 23].map(|seed| spawn_local(run(seed))) {
            case.await.unwrap();
        }
    });
}

/// The listener closes while all connection slots are taken: connections in the backlog are still read.
async fn full_as_the_listener_closes() -> bool {
    // 15 slots: 113 descriptors are reserved for other uses.
    let more = r#","limits":{"memory_mb":64,"sockets":128}"#;
    let nodo = nodo("full", 1000, more).await;
    let mut draining = DrainingNodo::start(nodo).await;
    let mut wires = Vec::new();
    for n in 0..15 {
        wires.push((n, draining.used_connection(n).await));
    }
    let at = draining.schedule_termination();
    // Each has half a request whose rest comes late, so none of them can be evicted.
    let mut taken = Vec::new();
    for (n, wire) in wires {
        taken.push(spawn_local(send_in_parts(wire, mixed_request(n), 60, (at + 100 * MS, at + 1700 * MS))));
    }
    let terminated_at = draining.terminate().await;
    sleep_until(at + 400 * MS).await;
    let mut waiting = Vec::new();
    for n in 20..40 {
        let mut wire = Wire::connect(draining.nodo.address, n).await.unwrap();
        let now = Instant::now();
        let bytes = wire.send(&read_request()).unwrap();
        waiting.push(spawn_local(read_answers(wire, bytes.uid, true, now)));
    }
    let waited = Instant::now();
    let (taken, waiting) = (join_all(taken).await, join_all(waiting).await);
    draining.assert_clean_exit().await;
    draining.check_requests(&taken, Duration::from_secs(1), terminated_at + STOP - 300 * MS, "taken");
    if waited < terminated_at + Duration::from_secs(1) {
        draining.check_requests(&waiting, Duration::from_secs(1), waited, "waiting");
    }
    draining.stall_monitor.is_steady()
}

#[test]
fn callers_in_the_backlog_of_a_full_nodo_are_answered_when_its_listener_closes() {
    local(retry_while_stalled(full_as_the_listener_closes));
}

/// Guards against connections that the system accepts after the nodo has closed its listener: requests on them
/// would have no answer. A request whose rest is awaited keeps the process running meanwhile.
#[test]
fn connections_are_refused_once_the_listener_is_closed() {
    local(retry_while_stalled(async || {
        let mut draining = DrainingNodo::start(nodo("refused", 300, "").await).await;
        let wire = draining.used_connection(1).await;
        let at = draining.schedule_termination();
        let times = (at - 50 * MS, at + 1500 * MS);
        let half_read = spawn_local(send_in_parts(wire, read_request(), 60, times));
        let terminated_at = draining.terminate().await;
        // The listener closes 100 ms after the grace.
        sleep_until(terminated_at + 700 * MS).await;
        let mut accepted = 0;
        for n in 10..20 {
            accepted += usize::from(Wire::connect(draining.nodo.address, n).await.is_ok());
        }
        let half_read = half_read.await.unwrap();
        draining.assert_clean_exit().await;
        assert_eq!(half_read.statuses, [503], "{half_read:?}");
        let steady = draining.stall_monitor.is_steady();
        assert!(accepted == 0 || !steady, "{accepted} of 10 connections: {}", draining.nodo.logs());
        steady
    }));
}

/// What a continuous sender sent and received until its connection ended.
struct ContinuousSender {
    /// In the order of sending.
    uids: Vec<(u16, String)>,
    answers: BTreeMap<u16, Vec<u16>>,
    end: End,
}

/// Keeps `depth` requests open. With `halves`, each write ends within a request, so that the connection is
/// never idle.
async fn send_continuously(mut wire: Wire, depth: usize, halves: bool) -> ContinuousSender {
    let mut sender_result = ContinuousSender { uids: Vec::new(), answers: BTreeMap::new(), end: End::Closed };
    let (mut answered, mut current) = (0, wire.encode(&read_request()));
    let mut left = if halves { current.bytes.len() / 2 } else { 0 };
    wire.write(&current.bytes[..left]);
    loop {
        while sender_result.uids.len() - answered < depth {
            let next = wire.encode(&read_request());
            let half = if halves { next.bytes.len() / 2 } else { 0 };
            let rest = current.bytes.len() - left;
            let written = wire.write(&[&current.bytes[left..], &next.bytes[..half]].concat());
            if written >= rest {
                sender_result.uids.push((current.id, current.uid));
            }
            (current, left) = (next, half);
            if written < rest + half {
                break;
            }
        }
        match timeout(PROGRESS_TIMEOUT, wire.answer())
            .await
            .expect("neither an answer nor the end of the connection")
        {
            Ok((id, answer)) => {
                sender_result.answers.entry(id).or_default().push(answer.status);
                answered += 1;
            }
            Err(end) => {
                sender_result.end = end;
                return sender_result;
            }
        }
        // A refused balancer keeps sending, with a pause.
        if !halves && answered.is_multiple_of(depth) {
            sleep(MS).await;
        }
    }
}

/// Guards against requests lost or answered twice when clients keep sending until their connection ends. Only
/// the last requests sent, which cross the close, may stay unanswered, and the close must be orderly.
async fn requests_throughout_the_drain(nodo: Nodo) -> bool {
    let mut draining = DrainingNodo::start(nodo).await;
    draining.schedule_termination();
    let mut senders = Vec::new();
    let kinds = [(1, false), (1, false), (16, false), (32, false)].into_iter().chain([(8, true); 6]);
    for (n, (depth, halves)) in kinds.enumerate() {
        let wire = draining.used_connection(n as u64).await;
        senders.push((depth, spawn_local(send_continuously(wire, depth, halves))));
    }
    draining.terminate().await;
    let mut all = Vec::new();
    for (depth, sender) in senders {
        all.push((depth, sender.await.unwrap()));
    }
    draining.assert_clean_exit().await;
    let runs: Vec<String> = draining.nodo.interpreters[0].runs().iter().map(|run| run.uid.clone()).collect();
    for (depth, sender_result) in &all {
        assert!(sender_result.answers.values().all(|statuses| statuses.len() == 1), "{depth}: two answers");
        let refused = sender_result.answers.values().filter(|statuses| statuses[..] == [503]).count();
        assert!(
            refused > 0 || !draining.stall_monitor.is_steady(),
            "{depth}: the connection ended before the grace: {}",
            draining.nodo.logs()
        );
        let open: Vec<&String> = sender_result
            .uids
            .iter()
            .filter(|(id, _)| !sender_result.answers.contains_key(id))
            .map(|(_, uid)| uid)
            .collect();
        // Requests are read in order, so the unanswered ones are the last ones sent.
        let last: Vec<&String> =
            sender_result.uids.iter().rev().take(open.len()).rev().map(|(_, uid)| uid).collect();
        assert!(
            open == last || !draining.stall_monitor.is_steady(),
            "{depth}: a request was skipped: {}",
            draining.nodo.logs()
        );
        assert!(!open.iter().any(|uid| runs.contains(uid)), "{depth}: a request ran and was not answered");
        println!(
            "{depth} at once: {} sent, {} not answered, {:?}",
            sender_result.uids.len(),
            open.len(),
            sender_result.end
        );
        let closed = sender_result.end == End::Closed;
        assert!(closed || !draining.stall_monitor.is_steady(), "{depth}: data in transit was reset");
    }
    // Whether this resets a connection depends on timing.
    let open = draining.nodo.logs().contains("with connections open");
    assert!(
        !open || !draining.stall_monitor.is_steady(),
        "it exits while requests still arrive: {}",
        draining.nodo.logs()
    );
    draining.stall_monitor.is_steady()
}

#[test]
fn requests_sent_throughout_the_drain_are_answered_once() {
    local(retry_while_stalled(async || requests_throughout_the_drain(nodo("on", 2500, "").await).await));
}

/// The nodo's fleet has no majority, so its member waits for a response until the end of the drain.
#[test]
fn requests_sent_throughout_the_drain_are_answered_once_without_a_fleet_majority() {
    local(retry_while_stalled(async || {
        let mut nodo = nodo("member", 2500, "").await;
        // An address on which nothing listens.
        let voter = |n: u8| format!("  voter \"v{n}\" {{\n    address = \"127.0.0.{n}:9\"\n  }}\n");
        let voters: String = (1..=3).map(voter).collect();
        nodo.operator = Some(format!(
            "fleet {{\n  name = \"sola\"\n  folder = \"{}\"\n{voters}}}\nhandover \"slow\" {{\n  effect = \"unknown\"\n}}\n",
            nodo.folder.join("fleet").display()
        ));
        requests_throughout_the_drain(nodo).await
    }));
}
