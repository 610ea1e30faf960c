//! A balancer's connection: reads requests, hands them to the engine, and writes the answers in the order in which
//! they come.

use super::records::{Record, next_record, pairs, put_reply};
use super::requests::{Budget, MAX_OPEN, Requests, Step, Whole};
use crate::config::Config;
use crate::engine::{Idle, Input};
use crate::log;
use crate::request::{self, Answer, Asked, BadRequest, Reply, ReplyTo};
use crate::socket::silent;
use jaspershunt::{RequestId, Settings};
use jaspershunt_settings::Names;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

/// With more answers than this unwritten, nothing more is read: who reads no answers sends no requests.
const MAX_UNWRITTEN: usize = 64 * 1024;
/// An answer that cannot be written for so long is given up, and its connection with it.
const WRITE_STALL: Duration = Duration::from_secs(60);
/// A request or record that is not whole after so long without a byte is given up, and its connection with it.
const READ_STALL: Duration = Duration::from_secs(60);
/// Read at once.
const CHUNK: usize = 4 * 1024;

/// What all connections share.
pub struct Front {
    /// The way to the engine.
    pub engine: mpsc::Sender<Input>,
    /// What the module was told, for the classes.
    pub settings: Settings,
    /// The names in the settings.
    pub names: Names,
    /// Bytes of requests, from their reading to their answer.
    pub held: Budget,
    /// Bytes of answers that are not written.
    pub unwritten: Budget,
    /// Connections open at once, at most.
    pub most: usize,
    /// How long connections may be idle.
    pub idle: watch::Receiver<Idle>,
    /// Connections open.
    pub open: Cell<usize>,
    /// Told of each connection that ends.
    pub ended: Notify,
    /// The last request id that was given out; ids are never used twice.
    pub last_id: Cell<u64>,
}

/// Accepts connections until `stop`, and takes in those that the machine has accepted by then.
pub async fn accept(listener: TcpListener, front: Rc<Front>, stop: impl Future<Output = ()>) {
    let mut stop = std::pin::pin!(stop);
    loop {
        // Descriptors are left for everything else: the rest waits until a connection has ended.
        if front.open.get() >= front.most {
            front.idle_now();
            tokio::select! {
                () = front.ended.notified() => continue,
                () = &mut stop => break,
            }
        }
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => start(stream, peer, &front),
                Err(e) => {
                    log!("cannot accept a connection: {e}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            () = &mut stop => break,
        }
    }
    // A request on a connection that the machine accepted counts as received: none may be left behind. The runtime
    // looks at its sockets before it takes this up again.
    tokio::task::yield_now().await;
    while let Ok(Ok((stream, peer))) = timeout_at(Instant::now(), listener.accept()).await {
        start(stream, peer, &front);
    }
}

fn start(stream: TcpStream, peer: SocketAddr, front: &Rc<Front>) {
    let front = front.clone();
    front.open.set(front.open.get() + 1);
    tokio::task::spawn_local(async move {
        let _ = stream.set_nodelay(true);
        Connection::new(stream, peer, front.clone()).serve().await;
        front.open.set(front.open.get() - 1);
        front.ended.notify_waiters();
    });
}

impl Front {
    /// No connection is open yet.
    pub fn new(config: &Config, engine: mpsc::Sender<Input>, idle: watch::Receiver<Idle>) -> Front {
        Front {
            engine,
            settings: config.settings.clone(),
            names: config.names.clone(),
            held: Budget::new(config.bounds.requests),
            unwritten: Budget::new(config.bounds.unwritten),
            most: config.bounds.connections,
            idle,
            open: Cell::new(0),
            ended: Notify::new(),
            last_id: Cell::new(0),
        }
    }

    /// Asks the engine to have idle connections closed.
    fn idle_now(&self) {
        // A full queue means that the engine is busy; the next connection asks again.
        let _ = self.engine.try_send(Input::Crowded);
    }
}

/// Why a connection ends.
enum End {
    /// All is done.
    Finished,
    /// The peer has gone without waiting for its answers.
    Gone,
    /// The peer broke the protocol or a bound, as the text says.
    Fault(&'static str),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> End {
        End::Gone
    }
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    front: Rc<Front>,
    requests: Requests,
    /// What the engine knows the whole requests by.
    ids: BTreeMap<u16, RequestId>,
    replies: mpsc::Receiver<(u16, Reply)>,
    reply_to: mpsc::Sender<(u16, Reply)>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes of `output` that are booked.
    booked: usize,
    read_closed: bool,
    /// To be closed once all is written.
    closing: bool,
    last_traffic: Instant,
    last_write: Instant,
}

impl Connection {
    fn new(stream: TcpStream, peer: SocketAddr, front: Rc<Front>) -> Connection {
        // Room for a reply to every request that may be open: handing one over never waits.
        let (reply_to, replies) = mpsc::channel(MAX_OPEN);
        let requests = Requests::new(front.held.clone());
        let now = Instant::now();
        Connection {
            stream,
            peer,
            front,
            requests,
            ids: BTreeMap::new(),
            replies,
            reply_to,
            input: Vec::new(),
            output: Vec::new(),
            booked: 0,
            read_closed: false,
            closing: false,
            last_traffic: now,
            last_write: now,
        }
    }

    async fn serve(mut self) {
        let end = match self.converse().await {
            Ok(end) | Err(end) => end,
        };
        if let End::Fault(what) = end {
            log!("connection from {} closed: {what}", self.peer);
        }
        for id in self.requests.unanswered().collect::<Vec<_>>() {
            if let Some(id) = self.ids.remove(&id) {
                let _ = self.front.engine.send(Input::Gone { id }).await;
            }
        }
        self.front.unwritten.give(self.booked);
    }

    async fn converse(&mut self) -> Result<End, End> {
        let mut idle = self.front.idle.clone();
        loop {
            // What is not whole by now never will be: waiting for it would keep the connection open for ever.
            let no_more = self.closing || self.read_closed;
            if no_more && self.requests.unanswered().next().is_none() && self.output.is_empty() {
                return Ok(End::Finished);
            }
            let may_read = !self.read_closed && !self.closing && self.output.len() < MAX_UNWRITTEN;
            let interest = match (may_read, !self.output.is_empty()) {
                (true, true) => Some(Interest::READABLE | Interest::WRITABLE),
                (true, false) => Some(Interest::READABLE),
                (false, true) => Some(Interest::WRITABLE),
                (false, false) => None,
            };
            if idle.borrow().standing && self.may_close() {
                return Ok(End::Finished);
            }
            tokio::select! {
                biased;
                Some((id, reply)) = self.replies.recv() => {
                    self.answer(id, &reply)?;
                    while let Ok((id, reply)) = self.replies.try_recv() {
                        self.answer(id, &reply)?;
                    }
                }
                ready = async { self.stream.ready(interest.unwrap_or(Interest::READABLE)).await },
                    if interest.is_some() =>
                {
                    let ready = ready?;
                    if may_read && (ready.is_readable() || ready.is_read_closed()) {
                        self.read().await?;
                    }
                }
                changed = idle.changed() => {
                    let limit = idle.borrow().limit;
                    let lapsed = changed.is_err() || self.last_traffic.elapsed() >= limit;
                    if lapsed && self.may_close() {
                        return Ok(End::Finished);
                    }
                }
                () = sleep_until(self.last_traffic + READ_STALL), if may_read && self.partial() => {
                    return Err(End::Fault("it leaves a request half sent"));
                }
                () = sleep_until(self.last_write + WRITE_STALL), if !self.output.is_empty() => {
                    return Err(End::Fault("its answers are not read"));
                }
            }
            self.write()?;
        }
    }

    /// Whether the rest of a record or request is waited for.
    fn partial(&self) -> bool {
        !self.input.is_empty() || self.requests.len() > self.requests.unanswered().count()
    }

    /// Whether the connection may be closed as idle; not while something has come that is not read yet.
    fn may_close(&self) -> bool {
        let quiet = self.requests.is_empty() && self.output.is_empty() && self.input.is_empty();
        quiet && (self.read_closed || silent(&self.stream))
    }

    /// Reads what is there and takes in all that is whole. The end of the peer's sending is no abort: what was read
    /// is answered.
    async fn read(&mut self) -> Result<(), End> {
        self.input.reserve(CHUNK);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => self.read_closed = true,
            Ok(_) => {
                self.last_traffic = Instant::now();
                self.take_in().await?;
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e.into()),
        }
        Ok(())
    }

    async fn take_in(&mut self) -> Result<(), End> {
        let input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        loop {
            match next_record(&mut rest) {
                Ok(Some(record)) => self.take_record(&record).await?,
                Ok(None) => break,
                Err(_) => return Err(End::Fault("what it sends are no records of FastCGI 1.0")),
            }
        }
        self.input = rest.to_vec();
        Ok(())
    }

    async fn take_record(&mut self, record: &Record<'_>) -> Result<(), End> {
        let Ok(step) = self.requests.take(record, &mut self.output) else {
            return Err(End::Fault("it begins a request that is open, or in a malformed way"));
        };
        self.book()?;
        match step {
            Step::Nothing => {}
            Step::Whole(whole) => self.hand_over(whole).await,
            // The engine owes no answer any more and gives one all the same, with which the request is closed: its
            // id cannot be taken again while a reply to it may be on the way.
            Step::Aborted(id) => {
                if let Some(id) = self.ids.remove(&id) {
                    let _ = self.front.engine.send(Input::Gone { id }).await;
                }
            }
            Step::Ended { close } => self.closing |= close,
        }
        Ok(())
    }

    async fn hand_over(&mut self, whole: Whole) {
        let reply = ReplyTo::new(self.reply_to.clone(), whole.id);
        let front = &self.front;
        match asked(whole.params.as_deref(), whole.body, front) {
            Ok(Asked::Check) => {
                let _ = front.engine.send(Input::Check { reply }).await;
            }
            Ok(Asked::Work(work)) => {
                let id = RequestId(front.last_id.get() + 1);
                front.last_id.set(id.0);
                self.ids.insert(whole.id, id);
                let _ = front.engine.send(Input::Work { id, work, reply }).await;
            }
            Err(problem) => {
                log!("bad request from {}: {problem}", self.peer);
                reply.send(Reply { answer: Answer::Bad, say: None });
            }
        }
    }

    /// The one answer to a request.
    fn answer(&mut self, id: u16, reply: &Reply) -> Result<(), End> {
        self.ids.remove(&id);
        put_reply(&mut self.output, id, reply);
        self.closing |= self.requests.close(id);
        self.book()
    }

    /// Books what waits to be written. A peer that reads nothing is let go before the memory is full.
    fn book(&mut self) -> Result<(), End> {
        let more = self.output.len().saturating_sub(self.booked);
        if !self.front.unwritten.take(more) {
            return Err(End::Fault("too many answers are unread"));
        }
        self.booked += more;
        Ok(())
    }

    fn write(&mut self) -> Result<(), End> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(n) => {
                    self.output.drain(..n);
                    self.last_write = Instant::now();
                    self.last_traffic = self.last_write;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e.into()),
            }
        }
        if self.output.is_empty() {
            self.output = Vec::new();
            // The wait for the peer to read begins with the next answer.
            self.last_write = Instant::now();
        }
        self.front.unwritten.give(self.booked - self.output.len());
        self.booked = self.output.len();
        Ok(())
    }
}

/// Reads a request from its parameters, which are named as CGI names headers.
fn asked(params: Option<&[u8]>, body: Vec<u8>, front: &Front) -> Result<Asked, BadRequest> {
    let Some(params) = params else { return Err(BadRequest("it is over its size".to_string())) };
    let Some(pairs) = pairs(params) else {
        return Err(BadRequest("its parameters are cut off".to_string()));
    };
    let param = |name: &str| {
        let (_, value) = pairs.iter().find(|(n, _)| *n == name.as_bytes())?;
        std::str::from_utf8(value).ok()
    };
    let field = |name: &str| param(&format!("HTTP_{}", name.to_ascii_uppercase().replace('-', "_")));
    let path = param("SCRIPT_NAME").unwrap_or_default();
    let method = param("REQUEST_METHOD").unwrap_or_default();
    request::read(path, method, field, body, &front.settings, &front.names)
}
