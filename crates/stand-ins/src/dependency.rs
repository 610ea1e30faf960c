//! A fake dependency with a fixed number of slots. A call waits for a slot and occupies it for the service
//! time, which grows when more calls are in flight than there are slots.

use crate::http::{self, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Delay between accepting a connection and sampling the number of open ones.
const CONNECTION_COUNT_DELAY: Duration = Duration::from_millis(2);

/// Length of the accept queue.
const BACKLOG: u32 = 1024;

/// Configuration of a fake dependency.
#[derive(Clone, Debug)]
pub struct DependencyConfig {
    /// Name, which prefixes its replies.
    pub name: String,
    /// Calls served concurrently.
    pub slots: usize,
    /// Service time of a call.
    pub service_time: Duration,
    /// Random variation of the service time, as a share of it in each direction.
    pub spread: f64,
    /// Relative increase of the service time per call in flight beyond the slots, in multiples of the slots.
    pub overload_slowdown: f64,
    /// How long an abandoned call stays in flight.
    pub abandoned_call_time: Duration,
    /// Seed of the random variation.
    pub seed: u64,
}

impl DependencyConfig {
    /// Creates a configuration with default variation and overload behavior.
    pub fn new(name: &str, slots: usize, service_time: Duration) -> DependencyConfig {
        let abandoned_call_time = Duration::from_millis(100);
        DependencyConfig {
            name: name.to_string(),
            slots,
            service_time,
            spread: 0.2,
            overload_slowdown: 0.3,
            abandoned_call_time,
            seed: 1,
        }
    }
}

/// Behavior of a dependency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Serves calls normally.
    Good,
    /// Multiplies the service time by this factor.
    Slow(f64),
    /// Answers each call at once with an error; the call may have had its effect.
    Failing,
    /// Rejects each call before it starts.
    Refusing,
    /// Accepts calls and never answers them.
    Hanging,
    /// Answers each call after exactly this time.
    After(Duration),
    /// Resets the connection once a call has been read.
    Resetting,
    /// Replies with bytes that are not HTTP.
    Noisy,
    /// Announces a reply of 3 GB and sends the beginning of it.
    Endless,
    /// Does not listen.
    Down,
}

/// How a call ended, from the dependency's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Not ended yet.
    Open,
    /// Answered with success.
    Succeeded,
    /// Answered with an error.
    Failed,
    /// Rejected before it started.
    Rejected,
    /// Abandoned by the nodo.
    Abandoned,
    /// Answered with an invalid reply or a reset.
    Malformed,
}

/// The record of a call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Correlation id of the request that the call was made for.
    pub uid: String,
    /// Call body.
    pub body: Vec<u8>,
    /// Timeout announced by the nodo.
    pub timeout: Duration,
    /// Time of arrival since the dependency's start.
    pub arrived: Duration,
    /// How the call ended.
    pub ended: Ended,
    /// Calls in flight at its arrival, including itself and abandoned ones.
    pub in_flight: usize,
}

/// What a dependency recorded.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// All calls, in order of arrival.
    pub calls: Vec<CallRecord>,
    /// Maximum number of calls in flight, including abandoned ones.
    pub max_in_flight: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

struct State {
    config: DependencyConfig,
    address: SocketAddr,
    started: Instant,
    mode: Cell<Mode>,
    changed: Notify,
    slots: Semaphore,
    in_flight: Cell<usize>,
    connections: Cell<usize>,
    random: RefCell<StdRng>,
    record: RefCell<Record>,
    in_flight_history: RefCell<Vec<(Instant, usize)>>,
}

impl State {
    fn record_in_flight(&self) {
        self.in_flight_history.borrow_mut().push((Instant::now(), self.in_flight.get()));
    }
}

/// A listening fake dependency.
#[derive(Clone)]
pub struct Dependency(Rc<State>);

/// Counts a call as in flight until dropped.
struct InFlight(Rc<State>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.record_in_flight();
    }
}

struct Connected(Rc<State>);

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

impl Dependency {
    /// Starts a dependency on a port chosen by the system.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start(config: DependencyConfig) -> Dependency {
        let holder = socket_at(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port on loopback");
        let address = holder.local_addr().expect("an address");
        let state = Rc::new(State {
            address,
            started: Instant::now(),
            mode: Cell::new(Mode::Good),
            changed: Notify::new(),
            slots: Semaphore::new(config.slots),
            in_flight: Cell::new(0),
            connections: Cell::new(0),
            random: RefCell::new(StdRng::seed_from_u64(config.seed)),
            record: RefCell::default(),
            in_flight_history: RefCell::default(),
            config,
        });
        let listener = socket_at(address).and_then(|socket| socket.listen(BACKLOG)).expect("a listener");
        spawn_local(listen(state.clone(), listener, holder));
        Dependency(state)
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Returns the configured name.
    pub fn name(&self) -> &str {
        &self.0.config.name
    }

    /// Sets the behavior of calls that arrive from now on. A change does not answer calls that already hang.
    pub fn set(&self, mode: Mode) {
        self.0.mode.set(mode);
        self.0.changed.notify_waiters();
    }

    /// Returns the current behavior.
    pub fn mode(&self) -> Mode {
        self.0.mode.get()
    }

    /// Returns what was recorded so far.
    pub fn record(&self) -> std::cell::Ref<'_, Record> {
        self.0.record.borrow()
    }

    /// Returns the time since the start, the base of the recorded times.
    pub fn age(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// Returns the number of calls in flight, including abandoned ones.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    /// Returns each change of the number of calls in flight, including abandoned ones, with its time.
    pub fn in_flight_history(&self) -> Vec<(Instant, usize)> {
        self.0.in_flight_history.borrow().clone()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }
}

/// Creates a socket that is bound but does not listen; several can be bound to one address.
fn socket_at(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections, and keeps the port bound through `_holder` while nothing listens: another test could
/// otherwise take the port and receive the calls.
async fn listen(state: Rc<State>, listener: TcpListener, _holder: TcpSocket) {
    let mut listener = Some(listener);
    loop {
        if state.mode.get() == Mode::Down {
            // Without a listener the operating system refuses connections.
            listener = None;
            state.changed.notified().await;
            continue;
        }
        let Some(listening) = &listener else {
            listener = socket_at(state.address).and_then(|socket| socket.listen(BACKLOG)).ok();
            if listener.is_none() {
                sleep(Duration::from_millis(5)).await;
            }
            continue;
        };
        tokio::select! {
            accepted = listening.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                state.connections.set(state.connections.get() + 1);
                let recorder = state.clone();
                spawn_local(async move {
                    // An overlapping close and open can be observed in either order.
                    sleep(CONNECTION_COUNT_DELAY).await;
                    let mut record = recorder.record.borrow_mut();
                    record.max_connections = record.max_connections.max(recorder.connections.get());
                });
                let connected = Connected(state.clone());
                spawn_local(async move {
                    let state = connected.0.clone();
                    let _ = serve(&move |_| Some(state.clone()), stream).await;
                    drop(connected);
                });
            }
            () = state.changed.notified() => {}
        }
    }
}

/// One address in front of several dependencies, for nodos that know only one. Each call goes to the first
/// dependency whose prefix its body starts with.
pub struct Gateway {
    address: SocketAddr,
}

impl Gateway {
    /// Starts a gateway on a port chosen by the system.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start(routes: &[(&str, &Dependency)]) -> Gateway {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let routes: Vec<(String, Rc<State>)> =
            routes.iter().map(|(prefix, dependency)| (prefix.to_string(), dependency.0.clone())).collect();
        let routes = Rc::new(routes);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let routes = routes.clone();
                spawn_local(async move {
                    let select = move |request: &Request| {
                        let route =
                            routes.iter().find(|(prefix, _)| request.body.starts_with(prefix.as_bytes()));
                        route.map(|(_, state)| state.clone())
                    };
                    let _ = serve(&select, stream).await;
                });
            }
        });
        Gateway { address }
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Serves a connection, each call by the dependency selected for it.
async fn serve(select: &dyn Fn(&Request) -> Option<Rc<State>>, mut stream: TcpStream) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut input).await? {
        let Some(state) = &select(&request) else { return Ok(()) };
        if state.mode.get() == Mode::Down {
            return reset(stream);
        }
        let (index, guard) = record_call(state, &request);
        let mut byte = [0];
        // The client must send nothing while a call is unanswered, so any read event means that it has
        // closed.
        let end = tokio::select! {
            end = serve_call(state) => Some(end),
            _ = stream.read(&mut byte) => None,
        };
        let Some(end) = end else {
            state.record.borrow_mut().calls[index].ended = Ended::Abandoned;
            // The abandoned call stays in flight for a while.
            let extra = state.config.abandoned_call_time;
            spawn_local(async move {
                sleep(extra).await;
                drop(guard);
            });
            return Ok(());
        };
        // Released before the reply is written, since the client may count its calls as soon as it reads the
        // reply.
        drop(guard);
        state.record.borrow_mut().calls[index].ended = end;
        let reply = match end {
            Ended::Succeeded => {
                let body = format!("{}:{}", state.config.name, String::from_utf8_lossy(&request.body));
                http::reply("200 OK", "", body.as_bytes())
            }
            Ended::Rejected => http::reply("503 Busy", "Never-Started: 1\r\n", b""),
            Ended::Malformed => match state.mode.get() {
                Mode::Noisy => b"\x00\x01noise\r\n\r\n".to_vec(),
                Mode::Endless => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n").await?;
                    let chunk = [b'x'; 4096];
                    // Bounded in case the client keeps reading.
                    for _ in 0..1000 {
                        let written = timeout(Duration::from_secs(1), stream.write_all(&chunk)).await;
                        written.map_err(|_| std::io::ErrorKind::TimedOut)??;
                    }
                    return Ok(());
                }
                _ => return reset(stream),
            },
            _ => http::reply("500 Error", "", b""),
        };
        stream.write_all(&reply).await?;
    }
    Ok(())
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

fn record_call(state: &Rc<State>, request: &Request) -> (usize, InFlight) {
    state.in_flight.set(state.in_flight.get() + 1);
    state.record_in_flight();
    let guard = InFlight(state.clone());
    let mut record = state.record.borrow_mut();
    let in_flight = state.in_flight.get();
    record.max_in_flight = record.max_in_flight.max(in_flight);
    let uid = request.header("request-ref").to_string();
    let ms = request.header("statement-timeout-ms").parse().unwrap_or(0);
    let call = CallRecord {
        uid,
        body: request.body.clone(),
        timeout: Duration::from_millis(ms),
        arrived: state.started.elapsed(),
        ended: Ended::Open,
        in_flight,
    };
    record.calls.push(call);
    (record.calls.len() - 1, guard)
}

async fn serve_call(state: &State) -> Ended {
    match state.mode.get() {
        Mode::Failing => return Ended::Failed,
        Mode::Refusing => return Ended::Rejected,
        Mode::Resetting | Mode::Noisy | Mode::Endless => return Ended::Malformed,
        Mode::After(time) => {
            sleep(time).await;
            return Ended::Succeeded;
        }
        Mode::Hanging | Mode::Down => {
            // Never answers; only the end of the connection ends the call.
            std::future::pending::<()>().await;
        }
        Mode::Good | Mode::Slow(_) => {}
    }
    let Ok(_slot) = state.slots.acquire().await else { return Ended::Failed };
    let spread = state.random.borrow_mut().random_range(-1.0..=1.0) * state.config.spread;
    let overload = (state.in_flight.get() as f64 / state.config.slots.max(1) as f64 - 1.0).max(0.0);
    let slowdown = if let Mode::Slow(times) = state.mode.get() { times } else { 1.0 };
    sleep(
        state
            .config
            .service_time
            .mul_f64((1.0 + spread) * (1.0 + state.config.overload_slowdown * overload) * slowdown),
    )
    .await;
    Ended::Succeeded
}
