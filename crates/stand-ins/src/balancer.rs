//! A fake balancer: sends requests over FastCGI 1.0, multiplexed on a few connections, and reads the answers.

use crate::interpreter::Interpreter;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

const BEGIN_REQUEST: u8 = 1;
/// Type of the record that ends an answer.
pub const END_REQUEST: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
/// Type of the records that carry an answer; an empty one ends the stream.
pub const STDOUT: u8 = 6;
const MAX_REQUESTS_PER_CONNECTION: usize = 32;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request class.
    pub class: String,
    /// Tenant.
    pub tenant: String,
    /// Operation key that all tries share, in keyed classes.
    pub key: Option<String>,
    /// Request body.
    pub body: Vec<u8>,
    /// Rank (criticality).
    pub rank: f64,
    /// Whether this is a retry.
    pub resent: bool,
    /// Deadline announced by the caller, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl Request {
    /// Creates a request with default tenant and rank.
    pub fn new(class: &str, body: &[u8]) -> Request {
        let (class, tenant) = (class.to_string(), "acme".to_string());
        Request { class, tenant, key: None, body: body.to_vec(), rank: 0.5, resent: false, deadline_ms: None }
    }
}

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Correlation id of the request.
    pub uid: String,
    /// HTTP status; 0 if no complete answer arrived.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Answer body.
    pub body: Vec<u8>,
    /// Time from sending the request to the answer.
    pub took: Duration,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// The part of an answer received so far, and the channel for the complete answer.
type PendingAnswer = (Vec<u8>, oneshot::Sender<Vec<u8>>);

struct Connection {
    outgoing: mpsc::Sender<Vec<u8>>,
    pending: RefCell<BTreeMap<u16, PendingAnswer>>,
    next_id: Cell<u16>,
    broken: Cell<bool>,
}

/// A fake balancer of one nodo.
#[derive(Clone)]
pub struct Balancer {
    address: SocketAddr,
    number: u64,
    connections: Rc<RefCell<Vec<Rc<Connection>>>>,
    sent: Rc<Cell<u64>>,
    /// Wall-clock time at creation, with the matching instant. Later times follow the runtime's clock, which
    /// tests can pause.
    started: (Duration, Instant),
    /// The number of free slots that the nodo advertised last.
    last_advertised: Rc<Cell<Option<f64>>>,
    /// Notified of answers: on the platform an answered request ends its run at a call.
    interpreter: Option<Interpreter>,
}

impl Balancer {
    /// Creates a balancer that connects to the nodo on its first request and notifies the interpreter of
    /// answers.
    pub fn new(address: SocketAddr, number: u64, interpreter: Option<Interpreter>) -> Balancer {
        let (connections, sent, last_advertised) = Default::default();
        let started = (UNIX_EPOCH.elapsed().unwrap_or_default(), Instant::now());
        Balancer { address, number, connections, sent, started, last_advertised, interpreter }
    }

    /// Returns the number of free slots that the nodo advertised last.
    pub fn last_advertised(&self) -> Option<f64> {
        self.last_advertised.get()
    }

    /// Sends a request and waits for the answer up to `answer_timeout`.
    pub async fn send(&self, request: &Request, answer_timeout: Duration) -> Answer {
        let started = Instant::now();
        self.sent.set(self.sent.get() + 1);
        let uid = format!("{:04x}{:012x}", self.number & 0xffff, self.sent.get());
        let answer = timeout(answer_timeout, self.exchange(request, &uid)).await.ok().flatten();
        let mut answer = answer.unwrap_or_default();
        if let Some(interpreter) = &self.interpreter {
            interpreter.request_ended(&uid);
        }
        (answer.uid, answer.took) = (uid, started.elapsed());
        if let Some(value) = answer.header("x-backend-says").and_then(|text| text.parse().ok()) {
            self.last_advertised.set(Some(value));
        }
        answer
    }

    fn now_ms(&self) -> u128 {
        (self.started.0 + self.started.1.elapsed()).as_millis()
    }

    async fn exchange(&self, request: &Request, uid: &str) -> Option<Answer> {
        let connection = self.connection().await?;
        let id = loop {
            let id = connection.next_id.get().max(1);
            connection.next_id.set(id.wrapping_add(1));
            if !connection.pending.borrow().contains_key(&id) {
                break id;
            }
        };
        let (sender, answered) = oneshot::channel();
        connection.pending.borrow_mut().insert(id, (Vec::new(), sender));
        connection.outgoing.send(encode_request(id, self.number, uid, self.now_ms(), request)).await.ok()?;
        parse_answer(&answered.await.ok()?)
    }

    async fn connection(&self) -> Option<Rc<Connection>> {
        self.connections.borrow_mut().retain(|connection| !connection.broken.get());
        let has_capacity =
            |connection: &&Rc<Connection>| connection.pending.borrow().len() < MAX_REQUESTS_PER_CONNECTION;
        if let Some(connection) = self.connections.borrow().iter().find(has_capacity) {
            return Some(connection.clone());
        }
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (outgoing, queued) = mpsc::channel(MAX_REQUESTS_PER_CONNECTION);
        let (pending, next_id, broken) = (RefCell::default(), Cell::new(1), Cell::new(false));
        let connection = Rc::new(Connection { outgoing, pending, next_id, broken });
        spawn_local(write_all(write, queued));
        // A weak reference, so that the connection closes once the balancer is dropped.
        spawn_local(read_all(Rc::downgrade(&connection), read));
        self.connections.borrow_mut().push(connection.clone());
        Some(connection)
    }
}

async fn write_all(mut stream: OwnedWriteHalf, mut queued: mpsc::Receiver<Vec<u8>>) {
    while let Some(bytes) = queued.recv().await {
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn read_all(connection: Weak<Connection>, mut stream: OwnedReadHalf) {
    let mut input: Vec<u8> = Vec::new();
    loop {
        let Some(connection) = connection.upgrade() else { return };
        while input.len() >= 8 {
            let (kind, id) = (input[1], u16::from_be_bytes([input[2], input[3]]));
            let length = usize::from(u16::from_be_bytes([input[4], input[5]]));
            let record_length = 8 + length + usize::from(input[6]);
            if input.len() < record_length {
                break;
            }
            let content = input[8..8 + length].to_vec();
            input.drain(..record_length);
            match kind {
                STDOUT => {
                    if let Some((text, _)) = connection.pending.borrow_mut().get_mut(&id) {
                        text.extend(content);
                    }
                }
                END_REQUEST => {
                    if let Some((mut text, sender)) = connection.pending.borrow_mut().remove(&id) {
                        if content.get(4) == Some(&2) {
                            text = b"Status: 503 Overloaded\r\n\r\n".to_vec();
                        }
                        let _ = sender.send(text);
                    }
                }
                _ => {}
            }
        }
        drop(connection);
        if !matches!(stream.read_buf(&mut input).await, Ok(1..)) {
            break;
        }
    }
    if let Some(connection) = connection.upgrade() {
        connection.broken.set(true);
        connection.pending.borrow_mut().clear();
    }
}

pub(crate) fn parse_answer(text: &[u8]) -> Option<Answer> {
    let end = text.windows(4).position(|four| four == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&text[..end]).into_owned();
    let headers: Vec<(String, String)> = head
        .split("\r\n")
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let mut answer = Answer { headers, body: text[end + 4..].to_vec(), ..Answer::default() };
    answer.status = answer.header("status")?.split(' ').next()?.parse().ok()?;
    Some(answer)
}

fn put_record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    let (id, length) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    out.extend([1, kind, id[0], id[1], length[0], length[1], 0, 0]);
    out.extend(content);
}

fn put_param(out: &mut Vec<u8>, name: &str, value: &str) {
    for text in [name, value] {
        match u8::try_from(text.len()) {
            Ok(short) if short < 128 => out.push(short),
            _ => out.extend((text.len() as u32 | 1 << 31).to_be_bytes()),
        }
    }
    out.extend(name.as_bytes());
    out.extend(value.as_bytes());
}

/// Encodes a request: `id` on the connection, the balancer's number, the correlation id, and the time of
/// arrival at the machine in Unix milliseconds.
pub fn encode_request(id: u16, number: u64, uid: &str, arrived: u128, request: &Request) -> Vec<u8> {
    let mut params = Vec::new();
    let path = format!("/v1/{}", request.class);
    let (arrived, number, rank) = (arrived.to_string(), number.to_string(), format!("{:.4}", request.rank));
    for (name, value) in [
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", &path),
        ("HTTP_X_CORRELATION_ID", uid),
        ("HTTP_X_ARRIVED_MS", &arrived),
        ("HTTP_X_UPSTREAM_PEER", &number),
        ("HTTP_X_ORG", &request.tenant),
        ("HTTP_X_NEED_KB", "20"),
        ("HTTP_X_CRITICALITY", &rank),
    ] {
        put_param(&mut params, name, value);
    }
    if let Some(key) = &request.key {
        put_param(&mut params, "HTTP_X_OPERATION_KEY", key);
    }
    if let Some(ms) = request.deadline_ms {
        put_param(&mut params, "HTTP_X_DEADLINE_MS", &ms.to_string());
    }
    if request.resent {
        put_param(&mut params, "HTTP_X_RESENT", "1");
    }
    let mut out = Vec::new();
    put_record(&mut out, BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    put_record(&mut out, PARAMS, id, &params);
    put_record(&mut out, PARAMS, id, b"");
    if !request.body.is_empty() {
        put_record(&mut out, STDIN, id, &request.body);
    }
    put_record(&mut out, STDIN, id, b"");
    out
}
