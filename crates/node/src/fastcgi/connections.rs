//! The connections of balancers together: accepts them, bounds their number and memory, and makes room for new ones.

use super::connection::Connection;
use super::memory::{Budget, RequestBudgets};
use crate::config::{Config, NamedSettings};
use crate::engine::IdlePolicy;
use crate::engine::input::Input;
use crate::log;
use crate::log::Limiter;
use crate::steering::Samples;
use crate::upgrade::link::Out;
use crate::upgrade::wire::Message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout_at};

/// A connection younger than this that has sent nothing is not yet treated as unused.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(500);
/// A new connection is not closed to make room or as idle within this time, since its first request may be on
/// its way. Peers send it again if it crosses a close within 50 ms, but only once: the next connection must not
/// end likewise.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(200);
/// A connection is not closed to make room within this time after an answer was sent on it: the peer may not have
/// read it, and its next request, which would meet a closed socket, would reset the connection under the answer.
const ANSWER_GRACE: Duration = Duration::from_millis(200);
/// Delay before accepting again after the system failed to give a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// Connections accepted beyond [`Connections::max_connections`] while a closing listener's backlog is
/// accepted. They use a part of the descriptors for calls, of which fewer and fewer are made then.
const CLOSING_RESERVE: usize = 16;

/// State shared by all connections.
pub struct Connections {
    /// Sends input to the engine.
    pub engine: mpsc::Sender<Input>,
    /// The current settings with the names of classes and tenants.
    pub facts: watch::Receiver<Rc<NamedSettings>>,
    /// Bytes of requests, from their reading until their answer.
    pub request_budgets: RequestBudgets,
    /// Bytes of answers not yet written.
    pub output_budget: Budget,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// How long connections may be idle.
    pub idle: watch::Receiver<IdlePolicy>,
    /// Number of open connections.
    pub open: Rc<Cell<usize>>,
    /// Descriptors, of those for connections, that the other process of an upgrade uses.
    other_process_descriptors: Cell<usize>,
    /// Status of each open connection, in order of arrival.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionStatus>>>,
    /// Notified when a connection ends, could end from now on, or cannot end although it was asked to.
    pub ended: Notify,
    /// Limits log lines about peers' faults to one per second.
    fault_limiter: RefCell<Limiter>,
    /// The last request id assigned; ids are never reused.
    pub last_id: Cell<u64>,
    /// Sends connections without in-flight requests to the successor process.
    pub(super) successor: RefCell<Option<mpsc::Sender<Out>>>,
    /// Receives samples of clients' delays, if the operator's file enables steering.
    pub samples: Option<Samples>,
}

/// Status of a connection, visible to the others.
pub(super) struct ConnectionStatus {
    /// Whether the connection has brought a valid request.
    pub(super) used: Cell<bool>,
    /// Whether the connection may be closed: no answer is owed and no request is partly read that could still
    /// become complete.
    pub(super) quiet: Cell<bool>,
    /// Time since which the peer has read none of the pending answers.
    pub(super) stalled_since: Cell<Option<Instant>>,
    /// Requests that the connection end because its peer reads nothing and others need the output budget.
    pub(super) evict: Notify,
    pub(super) opened: Instant,
    pub(super) last_traffic: Cell<Instant>,
    /// When bytes of an answer were last sent.
    pub(super) last_sent: Cell<Option<Instant>>,
    /// Whether the connection was asked to close to free a descriptor.
    pub(super) asked_to_close: Cell<bool>,
    pub(super) close_request: Notify,
}

impl ConnectionStatus {
    /// Whether the first request of the connection may be on its way.
    pub(super) fn is_new(&self) -> bool {
        !self.used.get() && self.opened.elapsed() < FIRST_REQUEST_GRACE
    }

    /// When the connection may be closed to make room, if that is later than now because its first request may
    /// be on its way or its last answer unread.
    fn protected_until(&self) -> Option<Instant> {
        let first_request = (!self.used.get()).then(|| self.opened + FIRST_REQUEST_GRACE);
        let answer = self.last_sent.get().map(|sent| sent + ANSWER_GRACE);
        first_request.max(answer).filter(|until| Instant::now() < *until)
    }
}

/// Accepts connections until `stop`, then those left in the listener's backlog.
pub async fn accept(listener: Rc<TcpListener>, shared: Rc<Connections>, stop: impl Future<Output = ()>) {
    let mut stop = std::pin::pin!(stop);
    let mut idle = shared.idle.clone();
    loop {
        // The successor process accepts now.
        if idle.borrow_and_update().hand_over {
            tokio::select! {
                // A process that retires without a successor accepts the backlog before it stops.
                biased;
                Ok(()) = idle.changed() => continue,
                () = &mut stop => return,
            }
        }
        // Keeps descriptors free for other uses: further connections wait until one has ended.
        if shared.open.get() + shared.other_process_descriptors.get() >= shared.max_connections {
            tokio::select! {
                () = shared.wait_for_room() => continue,
                () = &mut stop => break,
            }
        }
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => start(stream, peer, &shared, PassedState::default()),
                Err(e) => {
                    log!(WARN, "cannot accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            },
            Ok(()) = idle.changed() => {}
            () = &mut stop => break,
        }
    }
    take_in_backlog(&listener, &shared).await;
}

/// Accepts the connections left in the backlog of a listener that is about to close. A request on one of them
/// counts as received, so none may be left behind. The descriptor limit applies here too, so connections
/// beyond it wait until one has ended; the caller bounds that wait.
async fn take_in_backlog(listener: &TcpListener, shared: &Rc<Connections>) {
    loop {
        if shared.open.get() + shared.other_process_descriptors.get()
            >= shared.max_connections + CLOSING_RESERVE
        {
            shared.wait_for_room().await;
            continue;
        }
        // Lets the runtime poll its sockets first.
        tokio::task::yield_now().await;
        match timeout_at(Instant::now(), listener.accept()).await {
            Ok(Ok((stream, peer))) => start(stream, peer, shared, PassedState::default()),
            Ok(Err(e)) => {
                log!(WARN, "cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
            Err(_) => return,
        }
    }
}

/// State of a connection passed on by another process; the default is a new connection.
#[derive(Debug, Default)]
pub struct PassedState {
    /// Bytes read that do not yet form a whole record.
    pub input: Vec<u8>,
    /// Whether the connection has brought a valid request.
    pub used: bool,
    /// How long a first valid request, or the rest of a partial one, has been awaited.
    pub waited: Option<Duration>,
}

/// Serves a connection in a task of its own.
pub(super) fn start(stream: TcpStream, peer: SocketAddr, shared: &Rc<Connections>, passed: PassedState) {
    let shared = shared.clone();
    shared.open.set(shared.open.get() + 1);
    let index = shared.connections.borrow().last_key_value().map_or(0, |(index, _)| index + 1);
    let status = Rc::new(ConnectionStatus {
        used: Cell::new(passed.used),
        quiet: Cell::new(true),
        stalled_since: Cell::new(None),
        evict: Notify::new(),
        opened: Instant::now(),
        last_traffic: Cell::new(Instant::now()),
        last_sent: Cell::new(None),
        asked_to_close: Cell::new(false),
        close_request: Notify::new(),
    });
    shared.connections.borrow_mut().insert(index, status.clone());
    tokio::task::spawn_local(async move {
        // Without this the system delays answers until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        Connection::new(stream, peer, shared.clone(), status, passed).serve().await;
        shared.connections.borrow_mut().remove(&index);
        shared.open.set(shared.open.get() - 1);
        shared.ended.notify_waiters();
    });
}

impl Connections {
    /// Creates the state with no open connections.
    pub fn new(
        config: &Config,
        engine: mpsc::Sender<Input>,
        idle: watch::Receiver<IdlePolicy>,
        facts: watch::Receiver<Rc<NamedSettings>>,
        open: Rc<Cell<usize>>,
    ) -> Connections {
        Connections {
            engine,
            facts,
            request_budgets: RequestBudgets::new(
                config.bounds.requests,
                config.bounds.connections + CLOSING_RESERVE,
            ),
            output_budget: Budget::new(config.bounds.unwritten),
            max_connections: config.bounds.connections,
            idle,
            open,
            other_process_descriptors: Cell::new(0),
            connections: RefCell::default(),
            ended: Notify::new(),
            fault_limiter: RefCell::new(Limiter::new(1)),
            last_id: Cell::new(0),
            successor: RefCell::default(),
            samples: None,
        }
    }

    /// Sets where idle connections are passed once [`IdlePolicy::hand_over`] is set; `None` passes none.
    pub fn set_successor(&self, successor: Option<mpsc::Sender<Out>>) {
        *self.successor.borrow_mut() = successor;
    }

    /// Sends the final message to the successor process and waits until all messages to it have been written,
    /// or until the given time.
    pub async fn send_farewell(&self, until: Instant) {
        let Some(successor) = self.successor.borrow().clone() else { return };
        let (left, gone) = oneshot::channel();
        let out = Out { message: Message::Farewell, descriptor: None, sent: Some(left) };
        if successor.try_send(out).is_ok() {
            let _ = timeout_at(until, gone).await;
        }
    }

    /// Reserves this many of the descriptors for connections for the other process.
    pub fn reserve_for_other_process(&self, descriptors: usize) {
        self.other_process_descriptors.set(descriptors);
        self.ended.notify_waiters();
    }

    /// Serves a connection passed on by another process, with the input that it had read.
    pub fn adopt(self: &Rc<Connections>, stream: TcpStream, peer: SocketAddr, passed: PassedState) {
        start(stream, peer, self, passed);
    }

    /// Asks one connection to close, and waits until one has ended, or may be asked now and could not before.
    async fn wait_for_room(&self) {
        let ended = self.ended.notified();
        let Some(protected_until) = self.ask_one_to_close() else { return ended.await };
        // A timeout means that a connection may be asked now.
        let _ = timeout_at(protected_until, ended).await;
    }

    /// Asks one connection to close: preferably one that never brought a valid request, otherwise an idle
    /// one, and among these the one that has been idle longest. Never one with an unanswered request, or a
    /// protected one. If only protected ones are left, returns when the first of them may be asked.
    fn ask_one_to_close(&self) -> Option<Instant> {
        let connections = self.connections.borrow();
        // The one asked before ends soon, or tells that it cannot.
        if connections.values().any(|status| status.asked_to_close.get()) {
            return None;
        }
        let (protected, quiet): (Vec<_>, Vec<_>) = connections
            .values()
            .filter(|status| status.quiet.get())
            .partition(|status| status.protected_until().is_some());
        // The first request of a new connection may still be on its way.
        let unused = |status: &ConnectionStatus| {
            !status.used.get() && status.last_traffic.get().elapsed() > NEW_CONNECTION_GRACE
        };
        let Some(status) = quiet
            .into_iter()
            .min_by_key(|status| (!unused(status), !status.used.get(), status.last_traffic.get()))
        else {
            return protected.iter().filter_map(|status| status.protected_until()).min();
        };
        status.asked_to_close.set(true);
        status.close_request.notify_one();
        None
    }

    /// Reserves output bytes for answers pending on this connection, beyond the budget if need be: then the
    /// connection whose peer has read nothing for longest is asked to end. Returns false if that is this
    /// connection or if no peer is stalled.
    ///
    /// Prevents peers that read nothing from using up the budget of those that do, since those are owed their
    /// answers.
    pub(super) fn reserve_output(&self, more: usize, status: &Rc<ConnectionStatus>) -> bool {
        if self.output_budget.take(more) {
            return true;
        }
        let connections = self.connections.borrow();
        let stalled = connections.values().filter(|status| status.stalled_since.get().is_some());
        let Some(longest) = stalled.min_by_key(|status| status.stalled_since.get()) else { return false };
        if Rc::ptr_eq(longest, status) {
            return false;
        }
        longest.evict.notify_one();
        self.output_budget.take_beyond(more);
        true
    }

    /// Logs a peer's fault, rate-limited because there can be very many.
    pub(super) fn log_peer_fault(&self, peer: SocketAddr, what: &dyn std::fmt::Display) {
        if let Some(more) = self.fault_limiter.borrow_mut().admit_now() {
            log!(WARN, "peer fault, {peer}: {what} ({more} more faults since the last line)");
        }
    }
}
