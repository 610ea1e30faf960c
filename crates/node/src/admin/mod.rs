//! Where operators call: the second listener. A connection carries one line and gets one answer.
//!
//! Answers do not wait behind requests. The figures are those that the engine keeps, read where they stand, and what
//! changes something has a way of its own into the engine, which takes it before all else. [`line`] reads and writes
//! the lines.

pub mod line;

use crate::config::{CALLERS, Facts};
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

/// A caller has so long for its line. Those that send nothing and stay keep a place for no longer.
const LINE_WITHIN: Duration = Duration::from_secs(2);
/// The engine has so long to take a command. It is told within one round; the answer is due within 1 s.
const TAKEN_WITHIN: Duration = Duration::from_millis(800);
/// A caller has so long to read its answer, and to close then.
const READ_WITHIN: Duration = Duration::from_millis(500);
/// Bytes that are read behind the line, so that the close does not take the answer with it.
const MAX_BEHIND: usize = 16 * 1024;
/// Commands that wait for the engine.
pub const QUEUE: usize = 16;

/// What operators may have the engine do.
#[derive(Debug)]
pub enum Order {
    /// Send clients away, or take them again.
    Lameduck {
        /// Whether they are sent away.
        on: bool,
        /// Told once it is so.
        done: oneshot::Sender<()>,
    },
    /// See whether this process has the right to run what is new.
    Look {
        /// Told once it is seen.
        done: oneshot::Sender<()>,
    },
    /// Write out what was captured.
    WriteCapture,
    /// Take up settings that were read anew.
    Settings {
        /// The settings and their names.
        facts: Rc<Facts>,
        /// Told whether they were taken, or why not.
        done: oneshot::Sender<Result<(), String>>,
    },
}

/// What operators are shown.
#[derive(Debug, Default)]
pub struct Desk {
    /// The figures.
    pub counts: RefCell<Counts>,
    /// The interpreter was heard of: requests can run.
    pub up: Cell<bool>,
    /// Balancers' connections are accepted.
    pub listens: Cell<bool>,
    /// The nodo was told to leave.
    pub leaves: Cell<bool>,
    /// Other starts of the program may be one nodo with this one.
    pub shared: Cell<bool>,
    /// Another start has the right to run what is new, which this one had.
    pub lost: Cell<bool>,
    /// Told when that is found.
    pub lost_now: Notify,
    /// The way to this process's part of a fleet, while there is one.
    pub fleet: RefCell<Option<fleet::MemberHandle>>,
    /// What is measured for steering, where the operator's file wants it.
    pub steering: RefCell<Option<Rc<Steering>>>,
    /// What a nodo that leaves held in the fleet is handed over.
    pub handed: Cell<bool>,
    /// The nodo's side of the route table, where the operator's file names teams that edit it.
    pub routes: RefCell<Option<Rc<fleet::routes::RouteTableService>>>,
    /// What was seen of the newest trial of a route table.
    pub tally: Rc<RefCell<Tally>>,
    /// Balancers' connections that are open.
    pub connections: Rc<Cell<usize>>,
}

impl Desk {
    /// Why this process takes no clients, if so.
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

/// The callers that are here, by the order in which they came; each can be told to go.
#[derive(Default)]
struct Callers {
    here: RefCell<BTreeMap<u64, Rc<Notify>>>,
    ended: Notify,
}

/// Answers operators until nobody can call any more.
pub async fn serve(listener: TcpListener, desk: Rc<Desk>, orders: mpsc::Sender<Order>) {
    let callers = Rc::new(Callers::default());
    for number in 0u64.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log!(WARN, "admin: cannot accept a call: {e}");
                sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        // Guards against callers that send nothing and stay: the one that is here for longest makes room.
        while callers.here.borrow().len() >= CALLERS {
            let ended = callers.ended.notified();
            if let Some(oldest) = callers.here.borrow().values().next() {
                oldest.notify_one();
            }
            ended.await;
        }
        let go = Rc::new(Notify::new());
        callers.here.borrow_mut().insert(number, go.clone());
        let (callers, desk, orders) = (callers.clone(), desk.clone(), orders.clone());
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = attend(stream, &desk, &orders) => {}
                () = go.notified() => {}
            }
            callers.here.borrow_mut().remove(&number);
            callers.ended.notify_waiters();
        });
    }
}

/// One caller, from its line to its close.
async fn attend(mut stream: TcpStream, desk: &Desk, orders: &mpsc::Sender<Order>) {
    let mut input = Vec::with_capacity(MAX_LINE);
    let call = match timeout(LINE_WITHIN, first_line(&mut stream, &mut input)).await {
        Ok(Some(call)) => call,
        // It left without a call.
        Ok(None) => return,
        Err(_) => Err(NoCall::Unfinished),
    };
    let answer = match call {
        Ok(Call::Routes(what)) => routes(what, &mut stream, &mut input, desk).await,
        Ok(call) => carry_out(call, desk, orders).await,
        Err(why) => Answer::No(why.to_string()),
    };
    let written = async {
        stream.write_all(answer.text().as_bytes()).await?;
        stream.shutdown().await
    };
    if !matches!(timeout(READ_WITHIN, written).await, Ok(Ok(()))) {
        return;
    }
    let until = Instant::now() + READ_WITHIN;
    let mut left = MAX_BEHIND;
    let mut scratch = [0; 1024];
    while let Ok(Ok(n @ 1..)) = timeout_at(until, stream.read(&mut scratch)).await {
        left = left.saturating_sub(n);
        if left == 0 {
            return;
        }
    }
}

/// The call of a connection; `None` if it ends with nothing sent. The end of what is sent ends a line too.
async fn first_line(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<Result<Call, NoCall>> {
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

/// A call on the route table. Where the file names no team there is none, and the call is as unknown as any.
async fn routes(what: Routes, stream: &mut TcpStream, input: &mut Vec<u8>, desk: &Desk) -> Answer {
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
    if !matches!(timeout(LINE_WITHIN, whole).await, Ok(true)) {
        return Answer::No("what is said did not come whole in time".to_string());
    }
    office.say(way.as_ref(), &input[..bytes]).await
}

async fn carry_out(call: Call, desk: &Desk, orders: &mpsc::Sender<Order>) -> Answer {
    match call {
        Call::Ping => {
            // Guards against a process that was frozen and answers before it has seen that another one serves now.
            let seen =
                if desk.shared.get() { told(orders, |done| Order::Look { done }).await } else { Ok(()) };
            match (seen, desk.closed()) {
                (_, Some(why)) => Answer::No(why.to_string()),
                (Err(why), None) => Answer::No(why.to_string()),
                (Ok(()), None) => Answer::Yes("taking clients"),
            }
        }
        // No number that is not finite is among the figures, so that they can be written.
        Call::Info => Answer::Figures(serde_json::to_string(&*desk.counts.borrow()).unwrap_or_default()),
        Call::Lameduck => order(orders, true, "clients are sent away").await,
        Call::Rejoin => order(orders, false, "taking clients again").await,
        Call::Steering => match &*desk.steering.borrow() {
            Some(steering) => steering.answer(),
            None => Answer::No("this nodo's file has no steering block".to_string()),
        },
        // Has a way of its own, as bytes may follow the line.
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
    match told(orders, |done| Order::Lameduck { on, done }).await {
        Ok(()) => Answer::Yes(remark),
        Err(why) => Answer::No(why.to_string()),
    }
}

/// Has the engine do something, and waits until it has.
async fn told(
    orders: &mpsc::Sender<Order>,
    order: impl FnOnce(oneshot::Sender<()>) -> Order,
) -> Result<(), &'static str> {
    let (done, taken) = oneshot::channel();
    let told = async {
        orders.send(order(done)).await.ok()?;
        taken.await.ok()
    };
    match timeout(TAKEN_WITHIN, told).await {
        Ok(Some(())) => Ok(()),
        Ok(None) => Err("the nodo has ended its work"),
        Err(_) => Err("not taken in time; say it again"),
    }
}
