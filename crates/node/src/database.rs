//! Calls to the database shared by all nodos, and to the dependencies of the operator's file.

use crate::config::Peers;
use crate::engine::input::{CallEnd, Input};
use crate::http;
use crate::request::{Key, escape_key};
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

/// Maximum idle time of a reused connection. The database closes idle ones after 10 s, and a call that
/// crosses such a close might have run.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);
/// Maximum number of idle connections; with the busy ones they stay within the descriptors for calls.
const MAX_IDLE: usize = 16;
/// Minimum idle time before reuse: bytes sent after a reply would otherwise be taken for the next one.
const MIN_IDLE_AGE: Duration = Duration::from_millis(50);

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// The request that it is made for.
    pub id: RequestId,
    /// Distinguishes the calls of a request.
    pub number: u64,
    /// The request's id at the database.
    pub uid: Rc<str>,
    /// The body, unchanged from the interpreter.
    pub body: Rc<[u8]>,
    /// The target; `None` is the database of the platform's configuration.
    pub to: Option<Target>,
    /// The call cannot be made again, so its outcome must be certain: it gets a new connection. The other end
    /// may have dropped an idle one, and the resulting break would look like a call that ran.
    pub once: bool,
    /// Timeout of the call.
    pub give_up_after: Duration,
    /// The call is abandoned when the sender is dropped.
    pub given_up: oneshot::Receiver<()>,
    /// The operation key and the fleet's fencing token, with which the target recognizes repeats and rejects
    /// older ones.
    pub fence: Option<(Key, u64)>,
}

/// A dependency of the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Index of the dependency; each has its own pool.
    pub dependency: usize,
    /// The address for this call.
    pub address: SocketAddr,
    /// Maximum number of connections to the dependency, idle ones included.
    pub connections: usize,
}

/// Connection pool of one dependency; idle connections are ordered by last use.
struct Pool {
    /// Address of calls that name none; `None` where all do.
    address: Option<SocketAddr>,
    idle: Vec<(Instant, SocketAddr, TcpStream)>,
    /// Number of connections that carry a call or are being opened for one.
    busy: usize,
    /// Maximum number of connections, idle ones included.
    max_connections: usize,
}

/// Pools by dependency; `None` is the database of the platform's configuration.
type Pools = Rc<RefCell<BTreeMap<Option<usize>, Rc<RefCell<Pool>>>>>;

/// Releases the place of a connection when its call is over or dropped.
struct BusyGuard(Rc<RefCell<Pool>>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().busy -= 1;
    }
}

/// Makes the received calls, each in its own task and at most `max_calls` at once, until the channel closes. When
/// the database's address changes, calls in flight may finish at the old one.
pub async fn make_calls(
    mut peers: watch::Receiver<Peers>,
    max_calls: usize,
    engine: mpsc::Sender<Input>,
    mut calls: mpsc::Receiver<Call>,
) {
    let address = peers.borrow_and_update().database;
    let pools = Pools::default();
    pools.borrow_mut().insert(None, Pool::new(Some(address), usize::MAX));
    let room = Rc::new(Semaphore::new(max_calls));
    loop {
        let call = tokio::select! {
            // A call received after an address change uses the new address.
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
                // Dropping the call closes its connection, which abandons it at the dependency.
                _ = &mut given_up => {}
                end = make(&pool, &room, to, &request, once, give_up_after) => {
                    let took = began.elapsed().as_secs_f64();
                    let _ = engine.send(Input::CallEnded { id, number, end, took }).await;
                }
            }
        });
    }
}

/// Returns the pool for a call, updated with the connection limit that the call names.
fn pool_for(pools: &Pools, to: Option<Target>) -> Rc<RefCell<Pool>> {
    let mut pools = pools.borrow_mut();
    let pool = pools.entry(to.map(|to| to.dependency)).or_insert_with(|| Pool::new(None, 0));
    if let Some(to) = to {
        pool.borrow_mut().max_connections = to.connections;
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
            let mut pool_state = pool.borrow_mut();
            let Some(address) = to.or(pool_state.address) else { return failed(Outcome::Unreachable) };
            let reused = if once { None } else { pool_state.take(address) };
            pool_state.busy += 1;
            // Closes idle connections so that all together stay within the bound.
            let room = pool_state.max_connections.saturating_sub(pool_state.busy);
            let beyond = pool_state.idle.len().saturating_sub(room);
            pool_state.idle.drain(..beyond);
            (address, reused, BusyGuard(pool.clone()))
        };
        let mut stream = match reused {
            Some(stream) => stream,
            None => {
                match TcpStream::connect(address).await {
                    Ok(stream) => stream,
                    // Without a connection nothing ran.
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
    fn new(address: Option<SocketAddr>, max_connections: usize) -> Rc<RefCell<Pool>> {
        Rc::new(RefCell::new(Pool { address, idle: Vec::new(), busy: 0, max_connections }))
    }

    /// Takes an idle connection that is still open. Only candidates are checked, since each check is a system
    /// call.
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

    /// Returns a connection to the pool, unless the database's address has changed or enough are idle.
    fn put_back(&mut self, address: SocketAddr, stream: TcpStream) {
        let here = self.address.is_none_or(|here| here == address);
        if here && self.idle.len() < MAX_IDLE && self.idle.len() + self.busy <= self.max_connections {
            self.idle.push((Instant::now(), address, stream));
        }
    }

    /// Changes the database's address and drops idle connections to the old one.
    fn move_to(&mut self, address: SocketAddr) {
        if Some(address) != self.address {
            (self.address, self.idle) = (Some(address), Vec::new());
        }
    }
}

/// Formats the HTTP request of a call.
fn request(uid: &str, body: &[u8], give_up_after: Duration, fence: Option<&(Key, u64)>) -> Vec<u8> {
    let ms = give_up_after.as_millis().max(1);
    let fence = fence.map_or(String::new(), |(key, token)| {
        format!("X-Operation-Key: {}\r\nX-Fleet-Token: {token}\r\n", escape_key(key))
    });
    let head = format!(
        "POST /v1/exec HTTP/1.1\r\nHost: database\r\nRequest-Ref: {uid}\r\nStatement-Timeout-Ms: {ms}\r\n\
         {fence}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns the outcome that a reply means. Only marked refusals prove that nothing ran.
fn outcome(reply: &http::Reply) -> Outcome {
    match (reply.head.status, reply.head.never_started) {
        (200, _) => Outcome::Done,
        (503, true) => Outcome::TurnedAway,
        (409, true) => Outcome::NotStarted,
        (504, _) => Outcome::GivenUp,
        _ => Outcome::Failed,
    }
}

/// Returns the error of a call that was not made for lack of room.
pub fn not_made() -> CallEnd {
    CallEnd { outcome: Outcome::Unreachable, body: Vec::new() }
}
