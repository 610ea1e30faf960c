//! The operators' listener. A connection carries one line and gets one answer.
//!
//! Answers do not queue behind requests: figures are read directly from the engine's counters, and orders
//! that change something have their own queue into the engine, which it processes first. [`line`] parses and
//! formats the lines.

pub mod line;

use crate::config::{CALLERS, NamedSettings};
use crate::counts::Counts;
use crate::steering::Steering;
use crate::{fleet, log};
use fleet::routes::MAX_REQUEST_BYTES;
use jaspershunt_routes::trial::Tally;
use line::{Answer, Call, MAX_LINE, NoCall, Routes};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time for a caller to send its line, so that callers that send nothing do not keep their place.
const LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the engine to process an order, which takes it one round; the answer is due within 1 s.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for a caller to read its answer, and again to close.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum bytes read and dropped after the line, so that closing does not reset the connection and lose the
/// answer.
const MAX_LINGER_BYTES: usize = 16 * 1024;
/// Maximum number of orders waiting for the engine.
pub const QUEUE: usize = 16;

/// Orders of operators to the engine.
#[derive(Debug)]
pub enum Order {
    /// Sends clients away, or accepts them again.
    Lameduck {
        /// Whether clients are sent away.
        on: bool,
        /// Notified once it is done.
        done: oneshot::Sender<()>,
    },
    /// Checks whether this process is the owner, which runs new requests.
    Look {
        /// Notified once it is checked.
        done: oneshot::Sender<()>,
    },
    /// Writes the capture to a file.
    WriteCapture,
    /// Applies settings that were read again.
    Settings {
        /// The settings and their names.
        facts: Rc<NamedSettings>,
        /// Receives whether they were applied, or why not.
        done: oneshot::Sender<Result<(), String>>,
    },
}

/// State of the nodo shown to operators.
#[derive(Debug, Default)]
pub struct AdminState {
    /// The figures.
    pub counts: RefCell<Counts>,
    /// Whether the interpreter is up, so that requests can run.
    pub up: Cell<bool>,
    /// Whether balancers' connections are accepted.
    pub listens: Cell<bool>,
    /// Whether the nodo has received the notice to leave.
    pub leaves: Cell<bool>,
    /// Whether other processes of the program may be one nodo with this one.
    pub shared: Cell<bool>,
    /// Whether another process has taken ownership from this one.
    pub lost: Cell<bool>,
    /// Notified when `lost` is set.
    pub lost_now: Notify,
    /// Sends to this process's fleet member, if it runs one.
    pub fleet: RefCell<Option<fleet::MemberHandle>>,
    /// Measurements for steering, if the operator's file enables it.
    pub steering: RefCell<Option<Rc<Steering>>>,
    /// Whether the work recorded in the fleet for a leaving nodo has been handed over.
    pub handed: Cell<bool>,
    /// The nodo's part of route table editing, if the operator's file names teams.
    pub routes: RefCell<Option<Rc<fleet::routes::RouteTableService>>>,
    /// Tally of the newest trial of a route table.
    pub tally: Rc<RefCell<Tally>>,
    /// Number of open connections of balancers.
    pub connections: Rc<Cell<usize>>,
}

impl AdminState {
    /// Returns why this process accepts no clients, if so.
    fn closed(&self) -> Option<&'static str> {
        if self.leaves.get() {
            Some("leaving")
        } else if !self.up.get() {
            Some("the interpreter is not up yet")
        } else if self.lost.get() {
            Some("another start has taken over")
        } else if !self.listens.get() {
            Some("an earlier start still takes them")
        } else {
            None
        }
    }
}

/// The connected callers in order of arrival; each can be disconnected.
#[derive(Default)]
struct Callers {
    connected: RefCell<BTreeMap<u64, Rc<Notify>>>,
    ended: Notify,
}

/// Answers operators as long as the listener exists.
pub async fn serve(listener: TcpListener, desk: Rc<AdminState>, orders: mpsc::Sender<Order>) {
    let callers = Rc::new(Callers::default());
    for number in 0u64.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log!(WARN, "admin: cannot accept a connection: {e}");
                sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        // At the limit the oldest caller is disconnected, since callers may send nothing and stay.
        while callers.connected.borrow().len() >= CALLERS {
            let ended = callers.ended.notified();
            if let Some(oldest) = callers.connected.borrow().values().next() {
                oldest.notify_one();
            }
            ended.await;
        }
        let disconnect = Rc::new(Notify::new());
        callers.connected.borrow_mut().insert(number, disconnect.clone());
        let (callers, desk, orders) = (callers.clone(), desk.clone(), orders.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = serve_caller(stream, &desk, &orders) => {}
                () = disconnect.notified() => {}
            }
            callers.connected.borrow_mut().remove(&number);
            callers.ended.notify_waiters();
        });
    }
}

/// Serves one caller.
async fn serve_caller(mut stream: TcpStream, desk: &AdminState, orders: &mpsc::Sender<Order>) {
    let mut input = Vec::with_capacity(MAX_LINE);
    let call = match timeout(LINE_TIMEOUT, read_call(&mut stream, &mut input)).await {
        Ok(Some(call)) => call,
        // The caller closed without a call.
        Ok(None) => return,
        Err(_) => Err(NoCall::Unfinished),
    };
    let answer = match call {
        Ok(Call::Routes(what)) => answer_routes(what, &mut stream, &mut input, desk).await,
        Ok(call) => execute(call, desk, orders).await,
        Err(why) => Answer::No(why.to_string()),
    };
    let written = async {
        stream.write_all(answer.text().as_bytes()).await?;
        stream.shutdown().await
    };
    if !matches!(timeout(ANSWER_TIMEOUT, written).await, Ok(Ok(()))) {
        return;
    }
    let until = Instant::now() + ANSWER_TIMEOUT;
    let mut left = MAX_LINGER_BYTES;
    let mut scratch = [0; 1024];
    while let Ok(Ok(n @ 1..)) = timeout_at(until, stream.read(&mut scratch)).await {
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
    }
}

/// Reads the call of a connection; `None` if it ends without input. A half-close ends a line too.
async fn read_call(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Result<Call, NoCall>> {
    loop {
        match line::read(input) {
            Ok(Some(call)) => return Some(Ok(call)),
            Err(why) => return Some(Err(why)),
            Ok(None) => {}
        }
        let mut chunk = [0; MAX_LINE];
        match stream.read(&mut chunk).await {
            Ok(n @ 1..) => input.extend(&chunk[..n]),
            _ if input.is_empty() => return None,
            _ => input.push(b'\n'),
        }
    }
}

/// Answers a call on the route table. If the file names no team there is none, and the call is unknown.
async fn answer_routes(
    what: Routes,
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
    desk: &AdminState,
) -> Answer {
    let (office, way) = (desk.routes.borrow().clone(), desk.fleet.borrow().clone());
    let Some(office) = office else { return Answer::No(NoCall::Unknown.to_string()) };
    let bytes = match what {
        Routes::Show => return office.show(way.as_ref()).await,
        Routes::Say(bytes) if bytes > MAX_REQUEST_BYTES => {
            return Answer::No(format!("{bytes} bytes are said; {MAX_REQUEST_BYTES} at most are read"));
        }
        Routes::Say(bytes) => bytes,
    };
    input.drain(..input.iter().position(|b| *b == b'\n').map_or(input.len(), |end| end + 1));
    let whole = async {
        let mut chunk = [0; 1024];
        while input.len() < bytes {
            match stream.read(&mut chunk).await {
                Ok(n @ 1..) => input.extend(&chunk[..n]),
                _ => return false,
            }
        }
        true
    };
    if !matches!(timeout(LINE_TIMEOUT, whole).await, Ok(true)) {
        return Answer::No("what is said did not come whole in time".to_string());
    }
    office.say(way.as_ref(), &input[..bytes]).await
}

async fn execute(call: Call, desk: &AdminState, orders: &mpsc::Sender<Order>) -> Answer {
    match call {
        Call::Ping => {
            // A process that was paused may answer before it has seen that another one serves now.
            let seen = if desk.shared.get() {
                order_done(orders, |done| Order::Look { done }).await
            } else {
                Ok(())
            };
            match (seen, desk.closed()) {
                (_, Some(why)) => Answer::No(why.to_string()),
                (Err(why), None) => Answer::No(why.to_string()),
                (Ok(()), None) => Answer::Yes("taking clients"),
            }
        }
        // All figures are finite, so serialization does not fail.
        Call::Info => Answer::Figures(serde_json::to_string(&*desk.counts.borrow()).unwrap_or_default()),
        Call::Lameduck => order(orders, true, "clients are sent away").await,
        Call::Rejoin => order(orders, false, "taking clients again").await,
        Call::Steering => match &*desk.steering.borrow() {
            Some(steering) => steering.answer(),
            None => Answer::No("this nodo's file has no steering block".to_string()),
        },
        // Handled by `answer_routes`, since bytes may follow the line.
        Call::Routes(_) => Answer::No(NoCall::Unknown.to_string()),
        Call::Fleet(what) => {
            let way = desk.fleet.borrow().clone();
            match way {
                Some(way) => fleet::answer(&way, what).await,
                None => Answer::No("this nodo is in no fleet".to_string()),
            }
        }
    }
}

async fn order(orders: &mpsc::Sender<Order>, on: bool, remark: &'static str) -> Answer {
    match order_done(orders, |done| Order::Lameduck { on, done }).await {
        Ok(()) => Answer::Yes(remark),
        Err(why) => Answer::No(why.to_string()),
    }
}

/// Sends an order to the engine and waits until it is done.
async fn order_done(
    orders: &mpsc::Sender<Order>,
    order: impl FnOnce(oneshot::Sender<()>) -> Order,
) -> Result<(), &'static str> {
    let (done, taken) = oneshot::channel();
    let processed = async {
        orders.send(order(done)).await.ok()?;
        taken.await.ok()
    };
    match timeout(ORDER_TIMEOUT, processed).await {
        Ok(Some(())) => Ok(()),
        Ok(None) => Err("the nodo has ended its work"),
        Err(_) => Err("not taken in time; say it again"),
    }
}
