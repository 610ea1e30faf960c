//! A dependency with a fixed number of slots. A call waits for a slot and holds it for the time of the service_time, which
//! grows when more calls are in hand than there are slots.

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

/// So long after a connection was accepted those are counted that are open.
const CONNECTION_COUNT_DELAY: Duration = Duration::from_millis(2);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// How a dependency is made.
#[derive(Clone, Debug)]
pub struct DependencyConfig {
    /// Its name, which stands in its replies.
    pub name: String,
    /// Calls that it works on at once.
    pub slots: usize,
    /// How long one takes.
    pub service_time: Duration,
    /// That time varies by this share each route.
    pub spread: f64,
    /// For each call beyond the slots, as a multiple of them, a call takes this share longer.
    pub overload_slowdown: f64,
    /// A call that was given up goes on for so long at most.
    pub abandoned_call_time: Duration,
    /// What all that is random is made from.
    pub seed: u64,
}

impl DependencyConfig {
    /// A dependency of so many slots and this time for a call, otherwise ordinary.
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

/// What a dependency does at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// What it should.
    Good,
    /// Each call takes so many times as long.
    Slow(f64),
    /// Each call fails at once, and may have had its effect.
    Failing,
    /// Each call is turned away.
    Refusing,
    /// Calls are taken and never answered.
    Hanging,
    /// Each call is answered after exactly this time.
    After(Duration),
    /// Connections are reset once a call was read.
    Resetting,
    /// Replies are noise.
    Noisy,
    /// Replies announce 3 GB and begin to come.
    Endless,
    /// Nothing listens.
    Down,
}

/// How a call ended, as the dependency saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It has not.
    Open,
    /// It went well and was answered.
    Succeeded,
    /// It failed and was answered so.
    Failed,
    /// It was turned away.
    Rejected,
    /// The nodo gave it up.
    Abandoned,
    /// It was answered with something that is no reply, or with a reset.
    Malformed,
}

/// A call, as the dependency saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The request that it was made for.
    pub uid: String,
    /// Its body.
    pub body: Vec<u8>,
    /// The time the nodo said it would wait.
    pub timeout: Duration,
    /// When it came, from the beginning.
    pub arrived: Duration,
    /// How it ended.
    pub ended: Ended,
    /// Calls in hand when it came, itself and those given up included.
    pub in_flight: usize,
}

/// What crossed a dependency.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// All calls, in the order in which they came.
    pub calls: Vec<CallRecord>,
    /// The most that were in hand at any moment, those given up included that went on.
    pub max_in_flight: usize,
    /// The most connections at any moment.
    pub max_connections: usize,
}

struct State {
    config: DependencyConfig,
    address: SocketAddr,
    began: Instant,
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
    fn record_level(&self) {
        self.in_flight_history.borrow_mut().push((Instant::now(), self.in_flight.get()));
    }
}

/// A dependency that listens.
#[derive(Clone)]
pub struct Dependency(Rc<State>);

/// Counts a call as in hand until it is dropped.
struct InFlight(Rc<State>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.record_level();
    }
}

struct Connected(Rc<State>);

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

impl Dependency {
    /// Starts one on a port of the system's choice.
    ///
    /// # Panics
    /// Where loopback has no port left.
    pub async fn start(config: DependencyConfig) -> Dependency {
        let holder = socket_at(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port on loopback");
        let address = holder.local_addr().expect("an address");
        let state = Rc::new(State {
            address,
            began: Instant::now(),
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.0.config.name
    }

    /// What it does from now on. Calls that hang are answered once it does something else.
    pub fn set(&self, mode: Mode) {
        self.0.mode.set(mode);
        self.0.changed.notify_waiters();
    }

    /// What it does.
    pub fn mode(&self) -> Mode {
        self.0.mode.get()
    }

    /// What crossed it so far.
    pub fn record(&self) -> std::cell::Ref<'_, Record> {
        self.0.record.borrow()
    }

    /// The time since its beginning, from which the times of its record count.
    pub fn age(&self) -> Duration {
        self.0.began.elapsed()
    }

    /// Calls in hand, those given up included that go on.
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.get()
    }

    /// Calls in hand, those given up included that go on, from each moment on at which that changed.
    pub fn in_flight_history(&self) -> Vec<(Instant, usize)> {
        self.0.in_flight_history.borrow().clone()
    }

    /// Connections open.
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }
}

/// A socket that is bound and does not listen; several can be bound to one address.
fn socket_at(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// The holder keeps the port while nothing listens: given back, it could be taken by another test, and calls that should
/// find nobody would find a stranger.
async fn listen(state: Rc<State>, listener: TcpListener, _holder: TcpSocket) {
    let mut listener = Some(listener);
    loop {
        if state.mode.get() == Mode::Down {
            // Without a listener the system itself refuses connections.
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
                let later = state.clone();
                spawn_local(async move {
                    // A close and an open that cross are seen in either order.
                    sleep(CONNECTION_COUNT_DELAY).await;
                    let mut record = later.record.borrow_mut();
                    record.max_connections = record.max_connections.max(later.connections.get());
                });
                let connected = Connected(state.clone());
                spawn_local(async move {
                    let mine = connected.0.clone();
                    let _ = serve(&move |_| Some(mine.clone()), stream).await;
                    drop(connected);
                });
            }
            () = state.changed.notified() => {}
        }
    }
}

/// One address in front of several dependencies, as where a nodo knows only one: each call goes to the first whose word
/// its body begins with.
pub struct Gateway {
    address: SocketAddr,
}

impl Gateway {
    /// Starts one on a port of the system's choice.
    ///
    /// # Panics
    /// Where loopback has no port left.
    pub async fn start(routes: &[(&str, &Dependency)]) -> Gateway {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let routes: Vec<(String, Rc<State>)> =
            routes.iter().map(|(word, dependency)| (word.to_string(), dependency.0.clone())).collect();
        let routes = Rc::new(routes);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let routes = routes.clone();
                spawn_local(async move {
                    let select = move |request: &Request| {
                        let route = routes.iter().find(|(word, _)| request.body.starts_with(word.as_bytes()));
                        route.map(|(_, state)| state.clone())
                    };
                    let _ = serve(&select, stream).await;
                });
            }
        });
        Gateway { address }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Serves a connection; each call by the dependency that is picked for it.
async fn serve(select: &dyn Fn(&Request) -> Option<Rc<State>>, mut stream: TcpStream) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut input).await? {
        let Some(state) = &select(&request) else { return Ok(()) };
        if state.mode.get() == Mode::Down {
            return reset(stream);
        }
        let (place, guard) = record_call(state, &request);
        let mut byte = [0];
        // Nothing may come on a connection whose call is not answered: what comes is its end.
        let end = tokio::select! {
            end = serve_call(state) => Some(end),
            _ = stream.read(&mut byte) => None,
        };
        let Some(end) = end else {
            state.record.borrow_mut().calls[place].ended = Ended::Abandoned;
            // The call goes on below for a while, and takes a slot's place in what is in hand.
            let extra = state.config.abandoned_call_time;
            spawn_local(async move {
                sleep(extra).await;
                drop(guard);
            });
            return Ok(());
        };
        // Before the reply is written, since what comes back may be counted from then on.
        drop(guard);
        state.record.borrow_mut().calls[place].ended = end;
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
                    let part = [b'x'; 4096];
                    // Bounded, and ended by whoever has had enough of it first.
                    for _ in 0..1000 {
                        let written = timeout(Duration::from_secs(1), stream.write_all(&part)).await;
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

/// Ends a connection with a reset.
fn reset(stream: TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))
}

fn record_call(state: &Rc<State>, request: &Request) -> (usize, InFlight) {
    state.in_flight.set(state.in_flight.get() + 1);
    state.record_level();
    let guard = InFlight(state.clone());
    let mut record = state.record.borrow_mut();
    let in_flight = state.in_flight.get();
    record.max_in_flight = record.max_in_flight.max(in_flight);
    let uid = request.header("request-ref").to_string();
    let ms = request.header("statement-timeout-ms").parse().unwrap_or(0);
    let seen = CallRecord {
        uid,
        body: request.body.clone(),
        timeout: Duration::from_millis(ms),
        arrived: state.began.elapsed(),
        ended: Ended::Open,
        in_flight,
    };
    record.calls.push(seen);
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
            // What hangs does not come back by itself; the connection's end is what ends it.
            std::future::pending::<()>().await;
        }
        Mode::Good | Mode::Slow(_) => {}
    }
    let Ok(_slot) = state.slots.acquire().await else { return Ended::Failed };
    let spread = state.random.borrow_mut().random_range(-1.0..=1.0) * state.config.spread;
    let crowd = (state.in_flight.get() as f64 / state.config.slots.max(1) as f64 - 1.0).max(0.0);
    let slow = if let Mode::Slow(times) = state.mode.get() { times } else { 1.0 };
    sleep(
        state
            .config
            .service_time
            .mul_f64((1.0 + spread) * (1.0 + state.config.overload_slowdown * crowd) * slow),
    )
    .await;
    Ended::Succeeded
}
