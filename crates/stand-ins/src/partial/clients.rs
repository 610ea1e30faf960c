//! Clients of a fleet under faults: each asks for one key after another, of either class, at one nodo after another, and writes down
//! what it asked and heard.

use super::{ASKS, FENCED, NODOS, now};
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

/// A try is given up after this, and made again elsewhere.
pub const TRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Between two tries of one key.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Answers that it failed after which a client believes it.
const MAX_FAILURES: usize = 3;

/// One answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    /// By which nodo.
    pub at: usize,
    /// The status, 0 where none came.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// What all clients share.
#[derive(Clone)]
pub struct Clients {
    nodos: Rc<Vec<(SocketAddr, LatestInterpreter)>>,
    writer: Rc<RefCell<Writer<File>>>,
    balancers: Rc<Cell<u64>>,
    tries: Rc<RefCell<BTreeMap<String, Vec<Try>>>>,
    running: Rc<Cell<bool>>,
    /// Why a history could not be written.
    broken: Rc<RefCell<Option<String>>>,
}

impl Clients {
    pub(super) fn new(nodos: Vec<(SocketAddr, LatestInterpreter)>, writer: Writer<File>) -> Clients {
        Clients {
            nodos: Rc::new(nodos),
            writer: Rc::new(RefCell::new(writer)),
            balancers: Rc::default(),
            tries: Rc::default(),
            running: Rc::new(Cell::new(true)),
            broken: Rc::default(),
        }
    }

    /// All keys so far.
    pub fn keys(&self) -> Vec<String> {
        self.tries.borrow().keys().cloned().collect()
    }

    /// All tries of all keys.
    pub fn tries(&self) -> BTreeMap<String, Vec<Try>> {
        self.tries.borrow().clone()
    }

    /// Why the clients' history could not be written, if so.
    pub fn broken(&self) -> Option<String> {
        self.broken.borrow().clone()
    }

    /// Sends a key once to a nodo. What is asked is written down before it is, and what came of it after: one that was turned away ran
    /// nothing, what was told of the key is written, and whatever else came is unknown.
    pub async fn send(&self, key: &str, at: usize, resent: bool) -> Answer {
        let due = now() + 60_000_000_000;
        let op = Op::Offer { key: key.to_string(), due, leaves_effect: true };
        let ticket = self.writer.borrow_mut().begin(now(), op);
        self.balancers.set(self.balancers.get() + 1);
        let (address, interpreter) = &self.nodos[at];
        // Guards against runs that wait for a call for ever, once their requests are over.
        let balancer = Balancer::new(*address, self.balancers.get(), interpreter.borrow().clone());
        let class = if key.starts_with(ASKS) { "sign" } else { "note" };
        let request = Request { key: Some(key.to_string()), resent, ..Request::new(class, key.as_bytes()) };
        let answer = balancer.send(&request, TRY_TIMEOUT).await;
        let came = match answer.status {
            200 => Came::Ok(Told::Work { end: WorkEnd::Done(Value::of(&answer.body)), token: None }),
            503 => Came::Failed,
            _ => Came::Unknown,
        };
        let written = ticket.and_then(|ticket| self.writer.borrow_mut().end(ticket, now(), came));
        if let Err(e) = written {
            self.broken.borrow_mut().get_or_insert(e.to_string());
        }
        let one = Try { at, status: answer.status, body: answer.text() };
        self.tries.borrow_mut().entry(key.to_string()).or_default().push(one);
        answer
    }

    /// Tries one nodo after another, from this one on, until the key is served, or is said to have failed often enough.
    pub async fn send_until_answered(&self, key: &str, first: usize, patience: Duration) -> bool {
        let (began, mut failed) = (Instant::now(), 0);
        for n in 0.. {
            let resent = n > 0 || self.tries.borrow().contains_key(key);
            let status = self.send(key, (first + n) % NODOS, resent).await.status;
            failed += usize::from(status == 500);
            if status == 200 || failed >= MAX_FAILURES {
                return true;
            }
            if began.elapsed() > patience {
                return false;
            }
            sleep(RETRY_DELAY).await;
        }
        false
    }

    /// So many clients, each with one key after another until [`Clients::stop`]. At the end each goes on with the key that it has, within
    /// its patience. Every other key is of either class.
    pub fn load(&self, seed: u64, clients: u64, pause: Duration, patience: Duration) -> Vec<JoinHandle<()>> {
        let client = |client: u64| {
            let all = self.clone();
            spawn_local(async move {
                let mut random = StdRng::seed_from_u64(seed << 16 | client);
                for n in 0u64.. {
                    if !all.running.get() {
                        return;
                    }
                    let class = if (n + client).is_multiple_of(2) { ASKS } else { FENCED };
                    let first = random.random_range(0..NODOS);
                    all.send_until_answered(&format!("{class}{client}-{n}"), first, patience).await;
                    sleep(pause.mul_f64(random.random_range(0.5..1.5))).await;
                }
            })
        };
        (0..clients).map(client).collect()
    }

    /// No new keys from here on.
    pub fn stop(&self) {
        self.running.set(false);
    }

    /// Asks for every key once more, so many at once, each at a nodo of the seed's choice; how many were not told anything in time.
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
            // An error means that it panicked, which says so itself.
            let _ = asker.await;
        }
        unanswered.get()
    }
}
