//! Clients of a fleet under faults. Each sends one key after another, of either class, to one nodo after
//! another, and records its requests and their answers.

use super::{FENCED_PREFIX, NODOS, QUERIED_PREFIX, now};
use crate::balancer::{Answer, Balancer, Request};
use crate::nodo::LatestInterpreter;
use jaspershunt_histories::format::{Came, Op, Told, Value, WorkEnd, Writer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Timeout of a try, after which it is retried at another nodo.
pub const TRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between two tries of one key.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of failure answers after which a client stops retrying.
const MAX_FAILURES: usize = 3;

/// One try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// Index of the nodo.
    pub at: usize,
    /// Status; 0 if no answer arrived.
    pub status: u16,
    /// Body of the answer.
    pub body: String,
}

/// State shared by all clients.
#[derive(Clone)]
pub struct Clients {
    nodos: Rc<Vec<(SocketAddr, LatestInterpreter)>>,
    writer: Rc<RefCell<Writer<File>>>,
    balancers: Rc<Cell<u64>>,
    tries: Rc<RefCell<BTreeMap<String, Vec<Try>>>>,
    running: Rc<Cell<bool>>,
    /// First error in writing the history.
    write_error: Rc<RefCell<Option<String>>>,
}

impl Clients {
    pub(super) fn new(nodos: Vec<(SocketAddr, LatestInterpreter)>, writer: Writer<File>) -> Clients {
        Clients {
            nodos: Rc::new(nodos),
            writer: Rc::new(RefCell::new(writer)),
            balancers: Rc::default(),
            tries: Rc::default(),
            running: Rc::new(Cell::new(true)),
            write_error: Rc::default(),
        }
    }

    /// Returns all keys so far.
    pub fn keys(&self) -> Vec<String> {
        self.tries.borrow().keys().cloned().collect()
    }

    /// Returns all tries by key.
    pub fn tries(&self) -> BTreeMap<String, Vec<Try>> {
        self.tries.borrow().clone()
    }

    /// Returns the first error in writing the history, if any.
    pub fn write_error(&self) -> Option<String> {
        self.write_error.borrow().clone()
    }

    /// Sends a key once to a nodo. The request is recorded before it is sent and the answer afterwards: a
    /// refusal means that nothing ran, a 200 carries the outcome, and any other answer counts as unknown.
    pub async fn send(&self, key: &str, at: usize, resent: bool) -> Answer {
        let due = now() + 60_000_000_000;
        let op = Op::Offer { key: key.to_string(), due, leaves_effect: true };
        let ticket = self.writer.borrow_mut().begin(now(), op);
        self.balancers.set(self.balancers.get() + 1);
        let (address, interpreter) = &self.nodos[at];
        // The balancer reports answers to the interpreter; otherwise runs of ended requests could wait for a
        // call forever.
        let balancer = Balancer::new(*address, self.balancers.get(), interpreter.borrow().clone());
        let class = if key.starts_with(QUERIED_PREFIX) { "sign" } else { "note" };
        let request = Request { key: Some(key.to_string()), resent, ..Request::new(class, key.as_bytes()) };
        let answer = balancer.send(&request, TRY_TIMEOUT).await;
        let outcome = match answer.status {
            200 => Came::Ok(Told::Work { end: WorkEnd::Done(Value::of(&answer.body)), token: None }),
            503 => Came::Failed,
            _ => Came::Unknown,
        };
        let written = ticket.and_then(|ticket| self.writer.borrow_mut().end(ticket, now(), outcome));
        if let Err(e) = written {
            self.write_error.borrow_mut().get_or_insert(e.to_string());
        }
        let record = Try { at, status: answer.status, body: answer.text() };
        self.tries.borrow_mut().entry(key.to_string()).or_default().push(record);
        answer
    }

    /// Tries one nodo after another, beginning with `first`, until the key is served or has failed
    /// `MAX_FAILURES` times.
    pub async fn send_until_answered(&self, key: &str, first: usize, patience: Duration) -> bool {
        let (started, mut failed) = (Instant::now(), 0);
        for n in 0.. {
            let resent = n > 0 || self.tries.borrow().contains_key(key);
            let status = self.send(key, (first + n) % NODOS, resent).await.status;
            failed += usize::from(status == 500);
            if status == 200 || failed >= MAX_FAILURES {
                return true;
            }
            if started.elapsed() > patience {
                return false;
            }
            sleep(RETRY_DELAY).await;
        }
        false
    }

    /// Starts clients that each send one key after another, alternating between the classes, until
    /// [`Clients::stop`]; each then finishes its current key within its patience.
    pub fn load(&self, seed: u64, clients: u64, pause: Duration, patience: Duration) -> Vec<JoinHandle<()>> {
        let client = |client: u64| {
            let all = self.clone();
            spawn_local(async move {
                let mut random = StdRng::seed_from_u64(seed << 16 | client);
                for n in 0u64.. {
                    if !all.running.get() {
                        return;
                    }
                    let class = if (n + client).is_multiple_of(2) { QUERIED_PREFIX } else { FENCED_PREFIX };
                    let first = random.random_range(0..NODOS);
                    all.send_until_answered(&format!("{class}{client}-{n}"), first, patience).await;
                    sleep(pause.mul_f64(random.random_range(0.5..1.5))).await;
                }
            })
        };
        (0..clients).map(client).collect()
    }

    /// Stops sending new keys.
    pub fn stop(&self) {
        self.running.set(false);
    }

    /// Sends every key once more, `at_once` concurrently, to nodos chosen by the seed; returns how many were
    /// not answered in time.
    pub async fn query_all(&self, seed: u64, at_once: usize, patience: Duration) -> usize {
        let left = Rc::new(RefCell::new(self.keys()));
        let unanswered = Rc::new(Cell::new(0));
        let askers: Vec<_> = (0..at_once as u64)
            .map(|n| {
                let (all, left, unanswered) = (self.clone(), left.clone(), unanswered.clone());
                spawn_local(async move {
                    let mut random = StdRng::seed_from_u64(seed << 16 | n);
                    loop {
                        let Some(key) = left.borrow_mut().pop() else { return };
                        let first = random.random_range(0..NODOS);
                        if !all.send_until_answered(&key, first, patience).await {
                            unanswered.set(unanswered.get() + 1);
                        }
                    }
                })
            })
            .collect();
        for asker in askers {
            // An error means that the task panicked, which is reported by itself.
            let _ = asker.await;
        }
        unanswered.get()
    }
}
