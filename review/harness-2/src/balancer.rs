//! A stand-in of a balancer: FastCGI 1.0 on connections that the case opens, with records that it writes
//! together or one by one.

use crate::record::Record;
use crate::wire::now_ms;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A try of a request.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its number on its connection.
    pub id: u16,
    /// Its correlation id.
    pub uid: String,
    /// Its class.
    pub class: &'static str,
    /// Its key, in keyed classes.
    pub key: Option<String>,
    /// Its body.
    pub body: String,
    /// Whether it is marked as a further try.
    pub resent: bool,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The status; 503 for the protocol status OVERLOADED.
    pub status: u16,
    /// The body.
    pub body: String,
}

#[derive(Default)]
struct Received {
    answers: BTreeMap<u16, Vec<Answer>>,
    texts: BTreeMap<u16, Vec<u8>>,
    ended: bool,
}

/// One connection.
pub struct Connection {
    stream: TcpStream,
    read: Arc<(Mutex<Received>, Condvar)>,
    uids: Arc<Mutex<BTreeMap<u16, String>>>,
    number: u64,
    record: Record,
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

/// The records of a try.
pub fn request(number: u64, a_try: &Try) -> Vec<u8> {
    let mut params = Vec::new();
    let (path, arrived, number) = (format!("/v1/{}", a_try.class), now_ms().to_string(), number.to_string());
    for (name, value) in [
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", &path),
        ("HTTP_X_CORRELATION_ID", &a_try.uid),
        ("HTTP_X_ARRIVED_MS", &arrived),
        ("HTTP_X_UPSTREAM_PEER", &number),
        ("HTTP_X_ORG", "acme"),
        ("HTTP_X_NEED_KB", "20"),
        ("HTTP_X_CRITICALITY", "0.5000"),
        ("HTTP_X_ESTIMATE_MS", "20.00"),
    ] {
        put_param(&mut params, name, value);
    }
    if let Some(key) = &a_try.key {
        put_param(&mut params, "HTTP_X_OPERATION_KEY", key);
    }
    if a_try.resent {
        put_param(&mut params, "HTTP_X_RESENT", "1");
    }
    let mut out = Vec::new();
    put_record(&mut out, 1, a_try.id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    put_record(&mut out, 4, a_try.id, &params);
    put_record(&mut out, 4, a_try.id, b"");
    put_record(&mut out, 5, a_try.id, a_try.body.as_bytes());
    put_record(&mut out, 5, a_try.id, b"");
    out
}

/// The record that takes a request back.
pub fn abort(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    put_record(&mut out, 2, id, b"");
    out
}

fn parse(text: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .lines()
        .find_map(|line| line.strip_prefix("Status:"))
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .unwrap_or(0);
    Answer { status, body: body.to_string() }
}

impl Connection {
    /// Connects as the balancer of this number.
    pub fn open(to: SocketAddr, number: u64, record: &Record) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        let read: Arc<(Mutex<Received>, Condvar)> = Arc::default();
        let uids: Arc<Mutex<BTreeMap<u16, String>>> = Arc::default();
        let (mut from, into, record_of, names) =
            (stream.try_clone()?, read.clone(), record.clone(), uids.clone());
        thread::spawn(move || {
            let (mut input, mut chunk) = (Vec::new(), [0; 16 * 1024]);
            while let Ok(n @ 1..) = from.read(&mut chunk) {
                input.extend(&chunk[..n]);
                while input.len() >= 8 {
                    let (kind, id) = (input[1], u16::from_be_bytes([input[2], input[3]]));
                    let length = usize::from(u16::from_be_bytes([input[4], input[5]]));
                    let whole = 8 + length + usize::from(input[6]);
                    if input.len() < whole {
                        break;
                    }
                    let content = input[8..8 + length].to_vec();
                    input.drain(..whole);
                    let mut read = into.0.lock().unwrap();
                    match kind {
                        6 => read.texts.entry(id).or_default().extend(content),
                        3 => {
                            let text = read.texts.remove(&id).unwrap_or_default();
                            let answer = match content.get(4) {
                                Some(2) => Answer { status: 503, body: String::new() },
                                _ => parse(&text),
                            };
                            let uid = names.lock().unwrap().get(&id).cloned().unwrap_or_default();
                            record_of.line(&format!(
                                "balancer {number}: answer to try {uid}: {} {}",
                                answer.status, answer.body
                            ));
                            read.answers.entry(id).or_default().push(answer);
                            into.1.notify_all();
                        }
                        _ => {}
                    }
                }
            }
            into.0.lock().unwrap().ended = true;
            into.1.notify_all();
        });
        Ok(Connection { stream, read, uids, number, record: record.clone() })
    }

    /// The records of a try on this connection; says so in the record.
    pub fn encode(&self, a_try: &Try) -> Vec<u8> {
        self.uids.lock().unwrap().insert(a_try.id, a_try.uid.clone());
        let (number, uid, class) = (self.number, &a_try.uid, a_try.class);
        let key = a_try.key.as_deref().unwrap_or("none");
        let resent = if a_try.resent { ", marked as a further try" } else { "" };
        self.record.line(&format!("balancer {number}: writes try {uid}, class {class}, key {key}{resent}"));
        request(self.number, a_try)
    }

    /// Writes bytes in one piece.
    pub fn write(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    /// Writes a try.
    pub fn send(&self, a_try: &Try) -> bool {
        let bytes = self.encode(a_try);
        self.write(&bytes)
    }

    /// Takes a try back.
    pub fn take_back(&self, id: u16) -> bool {
        let uid = self.uids.lock().unwrap().get(&id).cloned().unwrap_or_default();
        self.record.line(&format!("balancer {}: takes try {uid} back", self.number));
        self.write(&abort(id))
    }

    /// The first answer to a request, which comes within this time; `None` if there is none, or the connection
    /// ended before.
    pub fn answer(&self, id: u16, within: Duration) -> Option<Answer> {
        let until = Instant::now() + within;
        let mut read = self.read.0.lock().unwrap();
        loop {
            if let Some(answer) = read.answers.get(&id).and_then(|all| all.first()) {
                return Some(answer.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || read.ended {
                return None;
            }
            read = self.read.1.wait_timeout(read, left).unwrap().0;
        }
    }

    /// Whether the connection has ended.
    pub fn ended(&self) -> bool {
        self.read.0.lock().unwrap().ended
    }
}
