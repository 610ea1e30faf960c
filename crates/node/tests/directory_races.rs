//! Guards against lost or late reports to the directory: responses that are late, partial or missing, outages
//! while a nodo leaves or returns, and clients that take all connections meanwhile. See
//! `docs/design/narrow-moments.md`.

mod common;
#[path = "common/draining.rs"]
mod draining;

use common::{Peer, all_at, listener, paused, request};
use draining::{PROGRESS_TIMEOUT, StallMonitor};
use jaspershunt_node::config::Peers;
use jaspershunt_node::directory::{Mode, report};
use jaspershunt_stand_ins::balancer::Request;
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig};
use jaspershunt_stand_ins::nodo::{Incarnation, Nodo, keyed};
use jaspershunt_stand_ins::wire::Wire;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const MS: Duration = Duration::from_millis(1);
/// Time limit for a report to a directory that is available again.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
const ACCEPTED_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// Starts reporting to the address, with `open` first.
fn start_reporting(address: SocketAddr) -> (watch::Sender<Option<Mode>>, watch::Sender<Peers>) {
    let (mode, seen) = watch::channel(Some(Mode::Open));
    let (moves, peers) = watch::channel(all_at(address));
    spawn_local(async move { report(peers, "n3", seen).await });
    (mode, moves)
}

/// Returns the next report, on whichever connection it comes, and that connection.
async fn next_report(listener: &TcpListener) -> (Peer, String) {
    let mut directory = Peer::accept(listener).await;
    let text = directory.http().await;
    (directory, text)
}

/// After any response to one report, or none, the next report comes within a second on another connection.
#[test]
fn a_report_without_a_valid_response_is_repeated_within_a_second() {
    paused(async {
        let (listener, address) = listener().await;
        let (_mode, _moves) = start_reporting(address);
        for answer in
            ["", "HTTP/1.1 2", "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"]
        {
            for closes in [true, false] {
                let (mut directory, _) = next_report(&listener).await;
                let began = Instant::now();
                directory.send(answer).await;
                let silent = if closes {
                    drop(directory);
                    None
                } else {
                    Some(directory)
                };
                let (mut directory, text) = next_report(&listener).await;
                assert!(text.ends_with(r#"{"mode":"open"}"#));
                assert!(
                    began.elapsed() < REPORT_TIMEOUT,
                    "after {answer:?}, closed {closes}: {:?}",
                    began.elapsed()
                );
                drop(silent);
                // A valid response in pieces, after which the connection is closed.
                for piece in ACCEPTED_RESPONSE.as_bytes().chunks(5) {
                    directory.send(piece).await;
                    sleep(10 * MS).await;
                }
                assert_eq!(
                    directory.http().await.lines().next(),
                    text.lines().next(),
                    "the response was not accepted"
                );
            }
        }
    });
}

/// A report counts only once it is answered. If the reporter never waited longer than its first attempt does,
/// no report to a slow directory would ever count.
#[test]
fn a_report_is_accepted_by_a_directory_that_takes_half_a_second_to_answer() {
    paused(async {
        let (listener, address) = listener().await;
        let (_mode, _moves) = start_reporting(address);
        let began = Instant::now();
        loop {
            let (mut directory, _) = next_report(&listener).await;
            sleep(500 * MS).await;
            // A write error means that the reporter did not wait for the response.
            if directory.is_silent() && directory.stream.try_write(ACCEPTED_RESPONSE.as_bytes()).is_ok() {
                let next = tokio::time::timeout(REPORT_TIMEOUT, directory.until(b"\r\n\r\n")).await;
                if matches!(next, Ok(Some(_))) {
                    break;
                }
            }
            assert!(
                began.elapsed() < Duration::from_secs(3),
                "no report was accepted before an entry expires"
            );
        }
    });
}

/// Listens at an address that its holder reserves.
fn rebind_listener(holder: &TcpSocket) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseport(true).unwrap();
    socket.bind(holder.local_addr().unwrap()).unwrap();
    socket.listen(64).unwrap()
}

/// The mode changes while nothing listens, or while the directory accepts connections without answering.
#[test]
fn a_mode_change_during_an_outage_is_reported_within_a_second_of_its_end() {
    paused(async {
        let holder = TcpSocket::new_v4().unwrap();
        holder.set_reuseport(true).unwrap();
        holder.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let (mode, _moves) = start_reporting(holder.local_addr().unwrap());
        let mut current = Mode::Open;
        // Duration of the outage after the change.
        for ms in [0u32, 100, 400, 700, 1000, 1300, 1600, 1900] {
            current = if current == Mode::Open { Mode::Closed } else { Mode::Open };
            let text = if current == Mode::Open { "open" } else { "closed" };
            // The directory refuses connections.
            sleep(2000 * MS).await;
            mode.send_replace(Some(current));
            sleep(MS * ms).await;
            let back = Instant::now();
            let listener = rebind_listener(&holder);
            let (directory, report) = next_report(&listener).await;
            assert!(
                report.contains(text) && back.elapsed() < REPORT_TIMEOUT,
                "{report} after {:?}",
                back.elapsed()
            );
            // The directory accepts connections without answering, and then goes down.
            sleep(2000 * MS).await;
            drop(directory);
        }
    });
}

/// A process with a descriptor limit, and clients that take all connections it accepts.
struct NodoAtConnectionLimit {
    nodo: Nodo,
    start: Incarnation,
    clients: Vec<TcpStream>,
    descriptors: usize,
    most: Rc<Cell<usize>>,
    stall_monitor: StallMonitor,
    number: u64,
}

impl NodoAtConnectionLimit {
    async fn start(descriptors: usize, database: SocketAddr) -> NodoAtConnectionLimit {
        let limits = format!(r#","limits":{{"cores":1.0,"memory_mb":192,"sockets":{descriptors}}}"#);
        let mut nodo = draining::nodo(&format!("crowded-{descriptors}"), 2500, &limits).await;
        nodo.max_descriptors = Some(descriptors);
        nodo.database = Some(database);
        let start = nodo.start().await.unwrap();
        let most = Rc::new(Cell::new(0));
        let (seen, open) = (most.clone(), format!("/proc/{}/fd", start.process.id()));
        spawn_local(async move {
            while let Ok(all) = std::fs::read_dir(&open) {
                seen.set(all.count().max(seen.get()));
                sleep(5 * MS).await;
            }
        });
        let stall_monitor = StallMonitor::start(start.admin);
        NodoAtConnectionLimit {
            nodo,
            start,
            clients: Vec::new(),
            descriptors,
            most,
            stall_monitor,
            number: 0,
        }
    }

    /// Opens more idle connections than the process has descriptors.
    async fn fill_connections(&mut self) {
        self.clients.clear();
        for _ in 0..self.descriptors + 8 {
            self.clients.push(TcpStream::connect(self.nodo.address).await.unwrap());
        }
    }

    async fn within<T>(&self, what: &str, done: impl Future<Output = T>) -> T {
        timeout(PROGRESS_TIMEOUT, done).await.unwrap_or_else(|_| panic!("{what}: {}", self.nodo.logs()))
    }

    /// Sends a health check on a new connection.
    async fn is_healthy(&self) -> bool {
        let mut check = Peer::new(TcpStream::connect(self.nodo.address).await.unwrap());
        check.send(request(1, 1, "read", &[("SCRIPT_NAME", "/healthz")], b"")).await;
        self.within("a health check", check.answer()).await.expect("an answer").1.starts_with("Status: 200 ")
    }

    /// Sends a request on a new connection and returns the status.
    async fn status(&mut self, request: &Request) -> u16 {
        self.number += 1;
        let mut wire = Wire::connect(self.nodo.address, self.number).await.unwrap();
        wire.send(request).unwrap();
        self.within("a request", wire.answer()).await.expect("an answer").1.status
    }

    /// Ends the directory's outage; the next report must have this mode and come in time.
    async fn check_report_after_outage(&self, mode: &str) {
        let before = self.nodo.directory.modes().len();
        let back = Instant::now();
        self.nodo.directory.set_down(false);
        self.within("no report", async {
            while self.nodo.directory.modes().len() == before {
                sleep(MS).await;
            }
        })
        .await;
        let took = back.elapsed();
        assert_eq!(self.nodo.directory.mode().as_deref(), Some(mode), "{}", self.nodo.logs());
        assert!(took < REPORT_TIMEOUT || !self.stall_monitor.is_steady(), "the report came after {took:?}");
    }

    /// Checks what must keep working while clients hold all connections.
    async fn check_own_connections(&mut self) {
        self.fill_connections().await;
        assert!(self.is_healthy().await);
        self.fill_connections().await;
        assert!(self.start.is_ready().await, "operators are not answered: {}", self.nodo.logs());
        assert!(self.start.call("INFO").await.contains('{'), "operators get no INFO");
        self.fill_connections().await;
        let key = format!("crowded-{}", self.number);
        assert_eq!(self.status(&keyed("sign", &key, false)).await, 200, "{}", self.nodo.logs());
        assert_eq!(self.nodo.sign_runs(&key), 1);
        self.fill_connections().await;
        let interpreter = self.nodo.interpreters[0].clone();
        let links = interpreter.links();
        interpreter.drop_link();
        // One for the drop, one for the new link.
        self.within("no new link", async {
            while interpreter.links() < links + 2 {
                sleep(MS).await;
            }
        })
        .await;
        assert_eq!(self.status(&Request::new("read", b"linked")).await, 200, "{}", self.nodo.logs());
    }
}

/// Idle clients take every connection that they can get, and the directory is down as health is withdrawn, as
/// it is restored, and as the nodo leaves. The connections that the nodo itself needs must still work.
async fn at_limit(descriptors: usize) {
    let database = Dependency::start(DependencyConfig::new("db", 8, 5 * MS)).await;
    let mut at_limit = NodoAtConnectionLimit::start(descriptors, database.address()).await;
    at_limit.check_own_connections().await;
    let directory = at_limit.nodo.directory.clone();
    for (call, mode) in [("LAMEDUCK", "closed"), ("REJOIN", "open")] {
        directory.set_down(true);
        at_limit.fill_connections().await;
        assert!(at_limit.start.call(call).await.starts_with("+OK"));
        assert_eq!(at_limit.is_healthy().await, mode == "open");
        at_limit.check_report_after_outage(mode).await;
    }
    directory.set_down(true);
    at_limit.check_own_connections().await;
    at_limit.fill_connections().await;
    at_limit.start.process.terminate();
    // It drains as soon as its health check fails.
    at_limit.within("it does not drain", async { while at_limit.is_healthy().await {} }).await;
    at_limit.check_report_after_outage("closed").await;
    let ended = timeout(PROGRESS_TIMEOUT, at_limit.start.process.wait()).await;
    assert!(ended.is_ok_and(|well| well), "it exits with a failure: {}", at_limit.nodo.logs());
    let most = at_limit.most.get();
    assert!(most <= descriptors, "{most} descriptors");
    assert!(!at_limit.nodo.logs().contains("cannot accept"), "{}", at_limit.nodo.logs());
}

#[test]
fn idle_clients_leave_room_at_a_limit_of_128_descriptors() {
    draining::local(at_limit(128));
}

#[test]
fn idle_clients_leave_room_at_a_limit_of_384_descriptors() {
    draining::local(at_limit(384));
}
