//! Calls to the database that all nodos share.

use crate::config::Peers;
use crate::engine::input::{CallEnd, Input};
use crate::http;
use crate::request::{Key, plain};
use crate::socket;
use jaspershunt::{Outcome, RequestId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};

/// An idle connection is used again only within this time. The database closes them after 10 s, and a call that
/// crosses such a close might have run.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// So many idle ones are kept; with those that carry a call they stay within the descriptors for calls.
const MAX_IDLE: usize = 16;
/// It is used again no sooner than this: bytes that were sent behind a reply would else be taken for the next one.
const MIN_IDLE_AGE: Duration = Duration::from_millis(50);

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// The request that it is made for.
    pub id: RequestId,
    /// Tells the calls of a request apart.
    pub number: u64,
    /// What the database knows the request by.
    pub uid: Rc<str>,
    /// The body, as the interpreter gave it.
    pub body: Rc<[u8]>,
    /// Where it goes; `None` is the one database of the platform's configuration.
    pub to: Option<Target>,
    /// Nothing may be left open as to whether it ran, since it cannot be made again: it gets a connection of its own. One
    /// that was idle may have been forgotten at the other end; what breaks it then looks like a call that ran.
    pub once: bool,
    /// The call is given up after this time.
    pub give_up_after: Duration,
    /// The call is given up when the other half is dropped.
    pub given_up: oneshot::Receiver<()>,
    /// The operation key, and the token under which the fleet holds it: what is called can tell a repeat and turn older ones away.
    pub fence: Option<(Key, u64)>,
}

/// A dependency of the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its place; connections are kept apart by it.
    pub dependency: usize,
    /// The address for this call.
    pub address: SocketAddr,
    /// Connections to the dependency at most, idle ones included.
    pub connections: usize,
}

/// The pool of connections to one dependency: the idle ones, the last used last.
struct Pool {
    /// Where calls go that name no address; `None` where all do.
    address: Option<SocketAddr>,
    idle: Vec<(Instant, SocketAddr, TcpStream)>,
    /// Connections that carry a call, or are being made for one.
    busy: usize,
    /// Connections at most, idle ones included.
    most: usize,
}

/// The pools by dependency; the one of the platform's configuration is none of the operator's.
type Pools = Rc<RefCell<BTreeMap<Option<usize>, Rc<RefCell<Pool>>>>>;

/// Gives back the room of a connection when its call is over or dropped.
struct BusyGuard(Rc<RefCell<Pool>>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().busy -= 1;
    }
}

/// Makes the calls that come in, each in a task of its own and at most `most` at once, until no more can come. When
/// the database moves, calls under way may end where they are.
pub async fn make_calls(
    mut peers: watch::Receiver<Peers>,
    most: usize,
    engine: mpsc::Sender<Input>,
    mut calls: mpsc::Receiver<Call>,
) {
    let address = peers.borrow_and_update().database;
    let pools = Pools::default();
    pools.borrow_mut().insert(None, Pool::new(Some(address), usize::MAX));
    let room = Rc::new(Semaphore::new(most));
    loop {
        let call = tokio::select! {
            // A call that comes behind a move goes to the new address.
            biased;
            Ok(()) = peers.changed() => {
                if let Some(pool) = pools.borrow().get(&None) {
                    pool.borrow_mut().move_to(peers.borrow_and_update().database);
                }
                continue;
            }
            call = calls.recv() => call,
        };
        let Some(call) = call else { return };
        let pool = pool_for(&pools, call.to);
        let (room, engine) = (room.clone(), engine.clone());
        tokio::task::spawn_local(async move {
            let Call { id, number, uid, body, once, give_up_after, mut given_up, to, fence } = call;
            let request = request(&uid, &body, give_up_after, fence.as_ref());
            let to = to.map(|to| to.address);
            let began = Instant::now();
            tokio::select! {
                biased;
                // The connection closes as the call is dropped, which gives the call up below.
                _ = &mut given_up => {}
                end = make(&pool, &room, to, &request, once, give_up_after) => {
                    let took = began.elapsed().as_secs_f64();
                    let _ = engine.send(Input::CallEnded { id, number, end, took }).await;
                }
            }
        });
    }
}

/// The pool for a call, with what the call says of its dependency.
fn pool_for(pools: &Pools, to: Option<Target>) -> Rc<RefCell<Pool>> {
    let mut pools = pools.borrow_mut();
    let pool = pools.entry(to.map(|to| to.dependency)).or_insert_with(|| Pool::new(None, 0));
    if let Some(to) = to {
        pool.borrow_mut().most = to.connections;
    }
    pool.clone()
}

async fn make(
    pool: &Rc<RefCell<Pool>>,
    room: &Semaphore,
    to: Option<SocketAddr>,
    request: &[u8],
    once: bool,
    give_up_after: Duration,
) -> CallEnd {
    let failed = |outcome| CallEnd { outcome, body: Vec::new() };
    let exchange = async {
        let Ok(_permit) = room.acquire().await else { return failed(Outcome::Unreachable) };
        let (address, reused, _busy) = {
            let mut held = pool.borrow_mut();
            let Some(address) = to.or(held.address) else { return failed(Outcome::Unreachable) };
            let reused = if once { None } else { held.take(address) };
            held.busy += 1;
            // Idle ones make room for one that is in use: together they stay within the bound.
            let room = held.most.saturating_sub(held.busy);
            let beyond = held.idle.len().saturating_sub(room);
            held.idle.drain(..beyond);
            (address, reused, BusyGuard(pool.clone()))
        };
        let mut stream = match reused {
            Some(stream) => stream,
            None => {
                match TcpStream::connect(address).await {
                    Ok(stream) => stream,
                    // Without a connection nothing can have run.
                    Err(_) => return failed(Outcome::Unreachable),
                }
            }
        };
        let _ = stream.set_nodelay(true);
        match http::call(&mut stream, request).await {
            Ok(reply) => {
                if reply.reusable {
                    pool.borrow_mut().put_back(address, stream);
                }
                CallEnd { outcome: outcome(&reply), body: reply.body }
            }
            Err(_) => failed(Outcome::Broken),
        }
    };
    timeout(give_up_after, exchange).await.unwrap_or_else(|_| failed(Outcome::GivenUp))
}

impl Pool {
    fn new(address: Option<SocketAddr>, most: usize) -> Rc<RefCell<Pool>> {
        Rc::new(RefCell::new(Pool { address, idle: Vec::new(), busy: 0, most }))
    }

    /// An idle connection that is surely open. Only those that are tried are looked at: each look is a system call.
    fn take(&mut self, address: SocketAddr) -> Option<TcpStream> {
        let now = Instant::now();
        self.idle.retain(|(since, ..)| now.duration_since(*since) < MAX_IDLE_AGE);
        let fits = |(since, at, _): &(Instant, SocketAddr, TcpStream)| {
            *at == address && now.duration_since(*since) >= MIN_IDLE_AGE
        };
        while let Some(place) = self.idle.iter().rposition(fits) {
            let (_, _, stream) = self.idle.remove(place);
            if socket::silent(&stream) {
                return Some(stream);
            }
        }
        None
    }

    /// Keeps a connection to this address for another call, unless the database has moved meanwhile or enough are kept.
    fn put_back(&mut self, address: SocketAddr, stream: TcpStream) {
        let here = self.address.is_none_or(|here| here == address);
        if here && self.idle.len() < MAX_IDLE && self.idle.len() + self.busy <= self.most {
            self.idle.push((Instant::now(), address, stream));
        }
    }

    /// The database has moved: what is idle at its old address takes no more calls.
    fn move_to(&mut self, address: SocketAddr) {
        if Some(address) != self.address {
            (self.address, self.idle) = (Some(address), Vec::new());
        }
    }
}

/// The bytes of a call.
fn request(uid: &str, body: &[u8], give_up_after: Duration, fence: Option<&(Key, u64)>) -> Vec<u8> {
    let ms = give_up_after.as_millis().max(1);
    let fence = fence.map_or(String::new(), |(key, token)| {
        format!("X-Operation-Key: {}\r\nX-Fleet-Token: {token}\r\n", plain(key))
    });
    let head = format!(
        "POST /v1/exec HTTP/1.1\r\nHost: database\r\nRequest-Ref: {uid}\r\nStatement-Timeout-Ms: {ms}\r\n\
         {fence}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// What a reply means. Only the marked refusals prove that nothing ran.
fn outcome(reply: &http::Reply) -> Outcome {
    match (reply.head.status, reply.head.never_started) {
        (200, _) => Outcome::Done,
        (503, true) => Outcome::TurnedAway,
        (409, true) => Outcome::NotStarted,
        (504, _) => Outcome::GivenUp,
        _ => Outcome::Failed,
    }
}

/// The error of a call that was never made, as there was no room for it.
pub fn not_made() -> CallEnd {
    CallEnd { outcome: Outcome::Unreachable, body: Vec::new() }
}
