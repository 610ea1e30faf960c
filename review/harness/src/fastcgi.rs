//! A balancer's end of a FastCGI connection.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const BEGIN: u8 = 1;
const ABORT: u8 = 2;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

pub fn record(kind: u8, id: u16, content: &[u8], out: &mut Vec<u8>) {
    out.extend([1, kind]);
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
}

fn pair(name: &str, value: &str, out: &mut Vec<u8>) {
    for length in [name.len(), value.len()] {
        if length < 128 {
            out.push(length as u8);
        } else {
            out.extend((length as u32 | 0x8000_0000).to_be_bytes());
        }
    }
    out.extend(name.as_bytes());
    out.extend(value.as_bytes());
}

/// One try of a request, with the fields of the protocol page.
#[derive(Clone, Debug)]
pub struct Try {
    pub uid: String,
    pub class: String,
    pub tenant: String,
    pub balancer: u32,
    pub arrived_ms: u64,
    pub resent: bool,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

pub fn params(t: &Try) -> Vec<u8> {
    let mut out = Vec::new();
    pair("REQUEST_METHOD", "POST", &mut out);
    pair("SCRIPT_NAME", &format!("/v1/{}", t.class), &mut out);
    pair("HTTP_X_CORRELATION_ID", &t.uid, &mut out);
    pair("HTTP_X_ARRIVED_MS", &t.arrived_ms.to_string(), &mut out);
    pair("HTTP_X_UPSTREAM_PEER", &t.balancer.to_string(), &mut out);
    pair("HTTP_X_ORG", &t.tenant, &mut out);
    pair("HTTP_X_ESTIMATE_MS", "300.00", &mut out);
    pair("HTTP_X_NEED_KB", "24.5", &mut out);
    pair("HTTP_X_CRITICALITY", "0.5000", &mut out);
    if t.resent {
        pair("HTTP_X_RESENT", "1", &mut out);
    }
    if let Some(key) = &t.key {
        pair("HTTP_X_OPERATION_KEY", key, &mut out);
    }
    out
}

pub fn begin(id: u16, out: &mut Vec<u8>) {
    // The role Responder, and KEEP_CONN.
    record(BEGIN, id, &[0, 1, 1, 0, 0, 0, 0, 0], out);
}

pub fn whole(id: u16, t: &Try) -> Vec<u8> {
    let mut out = Vec::new();
    begin(id, &mut out);
    record(PARAMS, id, &params(t), &mut out);
    record(PARAMS, id, &[], &mut out);
    if !t.body.is_empty() {
        record(STDIN, id, &t.body, &mut out);
    }
    record(STDIN, id, &[], &mut out);
    out
}

/// The beginning of a request whose parameters never end.
pub fn endless(id: u16, bytes: usize) -> Vec<u8> {
    let mut out = Vec::new();
    begin(id, &mut out);
    let mut some = Vec::new();
    pair("REQUEST_METHOD", "POST", &mut some);
    // The value of this field is announced and does not end.
    some.push(10);
    some.extend((60_000_000u32 | 0x8000_0000).to_be_bytes());
    some.extend(b"HTTP_X_ORG");
    some.resize(bytes.max(some.len()), b'x');
    record(PARAMS, id, &some, &mut out);
    out
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub protocol: u8,
    pub at: Instant,
}

impl Answer {
    /// Refused: this try never ran.
    pub fn refused(&self) -> bool {
        self.protocol == 2 || self.status == 429 || self.status == 503
    }
    pub fn served(&self) -> bool {
        self.protocol == 0 && self.status == 200
    }
    pub fn text(&self) -> String {
        let kind = if self.served() {
            "served"
        } else if self.refused() {
            "refused"
        } else {
            "failed"
        };
        let how = if self.protocol == 2 { "OVERLOADED".into() } else { format!("status {}", self.status) };
        format!("{kind} ({how})")
    }
}

#[derive(Default)]
struct Seen {
    partial: HashMap<u16, Vec<u8>>,
    answers: HashMap<u16, Answer>,
    ended: Option<(Instant, String)>,
}

pub struct Conn {
    stream: TcpStream,
    seen: Arc<(Mutex<Seen>, Condvar)>,
}

impl Conn {
    pub fn open(to: SocketAddr) -> std::io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        let _ = stream.set_nodelay(true);
        let seen = Arc::new((Mutex::new(Seen::default()), Condvar::new()));
        let (reader, to) = (stream.try_clone()?, seen.clone());
        std::thread::spawn(move || read(reader, &to));
        Ok(Conn { stream, seen })
    }

    pub fn write(&self, bytes: &[u8]) -> std::io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    pub fn send(&self, id: u16, t: &Try) -> std::io::Result<()> {
        self.write(&whole(id, t))
    }

    pub fn abort(&self, id: u16) -> std::io::Result<()> {
        let mut out = Vec::new();
        record(ABORT, id, &[], &mut out);
        self.write(&out)
    }

    /// Waits for the answer of a request, or the end of the connection.
    pub fn answer(&self, id: u16, until: Instant) -> Option<Answer> {
        let (seen, changed) = &*self.seen;
        let mut seen = seen.lock().unwrap();
        loop {
            if let Some(answer) = seen.answers.remove(&id) {
                return Some(answer);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || seen.ended.is_some() {
                return None;
            }
            seen = changed.wait_timeout(seen, left).unwrap().0;
        }
    }

    pub fn ended(&self) -> Option<(Instant, String)> {
        self.seen.0.lock().unwrap().ended.clone()
    }
}

fn read(mut stream: TcpStream, to: &(Mutex<Seen>, Condvar)) {
    let mut input = Vec::new();
    let mut chunk = [0; 16 * 1024];
    let why = loop {
        match stream.read(&mut chunk) {
            Ok(0) => break "closed by the nodo".to_string(),
            Ok(n) => input.extend(&chunk[..n]),
            Err(e) => break format!("broke: {}", e.kind()),
        }
        let mut seen = to.0.lock().unwrap();
        while input.len() >= 8 {
            let length = usize::from(u16::from_be_bytes([input[4], input[5]]));
            let whole = 8 + length + usize::from(input[6]);
            if input.len() < whole {
                break;
            }
            let (kind, id) = (input[1], u16::from_be_bytes([input[2], input[3]]));
            let content = input[8..8 + length].to_vec();
            input.drain(..whole);
            match kind {
                STDOUT => seen.partial.entry(id).or_default().extend(content),
                END => {
                    let text = seen.partial.remove(&id).unwrap_or_default();
                    let head = text.windows(4).position(|w| w == b"\r\n\r\n");
                    let head = head.or_else(|| text.windows(2).position(|w| w == b"\n\n"));
                    let head = head.map_or(text.clone(), |at| text[..at].to_vec());
                    let head = String::from_utf8_lossy(&head).to_string();
                    let status = head.lines().find_map(|line| line.strip_prefix("Status:"));
                    let status = status.and_then(|s| s.trim().get(..3)?.parse().ok()).unwrap_or(0);
                    let protocol = content.get(4).copied().unwrap_or(0);
                    seen.answers.insert(id, Answer { status, protocol, at: Instant::now() });
                }
                _ => {}
            }
        }
        to.1.notify_all();
    };
    to.0.lock().unwrap().ended = Some((Instant::now(), why));
    to.1.notify_all();
}
