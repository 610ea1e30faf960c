//! Stand-ins for the interpreter, the database and the directory, as the protocol page has them.

use crate::record::Record;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let n = three.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        for place in 0..4 {
            let six = (n >> (18 - 6 * place)) & 63;
            out.push(if place <= three.len() { ALPHABET[six as usize] as char } else { '=' });
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let digits: Vec<u32> =
        text.bytes().filter_map(|b| ALPHABET.iter().position(|a| *a == b)).map(|n| n as u32).collect();
    for four in digits.chunks(4) {
        let n = four.iter().fold(0u32, |n, d| n << 6 | d) << (6 * (4 - four.len()));
        out.extend(&n.to_be_bytes()[1..four.len()]);
    }
    out
}

/// The value of a key in one flat line of JSON; the nodo's commands hold no escapes.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let from = line.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = &line[from..];
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next(),
    }
}

/// A run that was begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub uid: String,
    pub class: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

#[derive(Default)]
struct State {
    cold: bool,
    link: Option<(u64, TcpStream)>,
    links: u64,
    pos: u64,
    notices: VecDeque<(u64, String)>,
    running: HashSet<String>,
    ended: HashSet<String>,
    runs: Vec<Run>,
    ends: HashMap<String, Instant>,
}

/// The interpreter: the time that a run takes is in its body, `work=MS;`.
#[derive(Clone)]
pub struct Interpreter {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    name: String,
    up: Instant,
}

/// The milliseconds of work that a body asks for.
pub fn work_of(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let from = text.find("work=").map(|at| &text[at + 5..]);
    from.and_then(|text| text.split(';').next()?.parse().ok()).unwrap_or(100)
}

/// What a run of this body makes.
pub fn result_of(uid: &str, body: &[u8]) -> Vec<u8> {
    let sum = body.iter().fold(7u64, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(*b)));
    format!("result of {uid} {sum:016x}").into_bytes()
}

impl Interpreter {
    pub fn start(name: &str, record: &Record) -> Interpreter {
        Interpreter::late(name, record, Duration::ZERO)
    }

    /// One that says that it started cold.
    pub fn cold(name: &str, record: &Record) -> Interpreter {
        let me = Interpreter::start(name, record);
        me.state.lock().unwrap().cold = true;
        me
    }

    /// One that comes up so long after its address takes links.
    pub fn late(name: &str, record: &Record, delay: Duration) -> Interpreter {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::default();
        let up = Instant::now() + delay;
        let me = Interpreter { address, state, record: record.clone(), name: name.into(), up };
        let interpreter = me.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let interpreter = interpreter.clone();
                thread::spawn(move || interpreter.serve(stream));
            }
        });
        me
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn ended_at(&self, uid: &str) -> Option<Instant> {
        self.state.lock().unwrap().ends.get(uid).copied()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut mine = 0;
        let Ok(reader) = stream.try_clone() else { return };
        for line in BufReader::new(reader).lines() {
            let Ok(line) = line else { return };
            let uid = field(&line, "uid").unwrap_or_default().to_string();
            match field(&line, "action").unwrap_or_default() {
                "CONNECT" => {
                    // The link is accepted; BANNER waits until the interpreter is up.
                    thread::sleep(self.up.saturating_duration_since(Instant::now()));
                    let after: u64 = field(&line, "pos").and_then(|n| n.parse().ok()).unwrap_or(0);
                    let mut state = self.state.lock().unwrap();
                    state.links += 1;
                    mine = state.links;
                    let ms = self.up.elapsed().as_millis();
                    let code = if state.cold { "COLD" } else { "WARM" };
                    let mut out = format!("{{\"action\":\"BANNER\",\"code\":\"{code}\",\"wall_ms\":{ms}}}\n");
                    for (pos, notice) in &state.notices {
                        if *pos > after {
                            out.push_str(notice);
                        }
                    }
                    let _ = (&stream).write_all(out.as_bytes());
                    if let Ok(link) = stream.try_clone() {
                        state.link = Some((mine, link));
                    }
                }
                "APPLY" => {
                    let body = unbase64(field(&line, "content").unwrap_or_default());
                    let class = field(&line, "lane").unwrap_or_default().to_string();
                    self.apply(uid, class, body);
                }
                "BREAK" => {
                    let mut state = self.state.lock().unwrap();
                    if state.running.remove(&uid) {
                        state.ended.insert(uid.clone());
                        self.notice(&mut state, "VALUE", &format!("\"uid\":\"{uid}\",\"code\":\"STOPPED\",\"wall_ms\":1"));
                        self.record.line(&format!("{}: run of {uid} stopped", self.name));
                    }
                }
                "TOP" => {
                    let echo = field(&line, "echo").unwrap_or_default();
                    let state = self.state.lock().unwrap();
                    let (runs, busy) = (state.running.len(), (state.running.len() as f64 / 6.0).min(1.0));
                    let tops = format!("{{\"action\":\"TOPS\",\"echo\":\"{echo}\",\"meters\":[{busy:.2},{runs},0.1,4]}}\n");
                    let _ = (&stream).write_all(tops.as_bytes());
                }
                _ => {}
            }
            let state = self.state.lock().unwrap();
            // A new link takes the place of the one before.
            if mine > 0 && state.links != mine {
                return;
            }
        }
    }

    fn apply(&self, uid: String, class: String, body: Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        if state.running.contains(&uid) {
            return;
        }
        if state.ended.contains(&uid) {
            return self.notice(&mut state, "VALUE", &format!("\"uid\":\"{uid}\",\"code\":\"MOOT\",\"wall_ms\":0"));
        }
        state.running.insert(uid.clone());
        let run = Run { uid: uid.clone(), class: class.clone(), body: body.clone(), at: Instant::now() };
        state.runs.push(run);
        self.record.line(&format!("{}: runs {uid} of {class}", self.name));
        let me = self.clone();
        let took = Duration::from_millis(work_of(&body));
        thread::spawn(move || {
            thread::sleep(took);
            let mut state = me.state.lock().unwrap();
            if state.running.remove(&uid) {
                state.ended.insert(uid.clone());
                state.ends.insert(uid.clone(), Instant::now());
                let result = base64(&result_of(&uid, &body));
                let ms = took.as_millis();
                me.notice(
                    &mut state,
                    "VALUE",
                    &format!("\"uid\":\"{uid}\",\"code\":\"OK\",\"wall_ms\":{ms},\"content\":\"{result}\""),
                );
                me.record.line(&format!("{}: run of {uid} ended", me.name));
            }
        });
    }

    fn notice(&self, state: &mut State, action: &str, rest: &str) {
        state.pos += 1;
        let line = format!("{{\"action\":\"{action}\",\"pos\":{},{rest}}}\n", state.pos);
        let pos = state.pos;
        state.notices.push_back((pos, line.clone()));
        if state.notices.len() > 4000 {
            state.notices.pop_front();
        }
        if let Some((_, link)) = &mut state.link {
            let _ = link.write_all(line.as_bytes());
        }
    }
}

/// An HTTP server that answers each call alike; the directory and the database.
pub fn http(name: &str, reply: &'static str, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (record, name) = (record.clone(), name.to_string());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, name) = (record.clone(), name.clone());
            thread::spawn(move || serve_http(stream, &name, reply, &record));
        }
    });
    address
}

fn serve_http(mut stream: TcpStream, name: &str, reply: &str, record: &Record) {
    let mut input = Vec::new();
    let mut chunk = [0; 4096];
    let mut last = String::new();
    loop {
        let whole = input.windows(4).position(|w: &[u8]| w == b"\r\n\r\n").and_then(|at| {
            let head = String::from_utf8_lossy(&input[..at]).to_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:").map(str::trim).map(String::from));
            let end = at + 4 + length.and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
            (input.len() >= end).then(|| (end, String::from_utf8_lossy(&input[at + 4..end]).to_string()))
        });
        if let Some((end, body)) = whole {
            input.drain(..end);
            if body != last {
                record.line(&format!("{name}: hears {body}"));
                last = body;
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        match stream.read(&mut chunk) {
            Ok(n @ 1..) => input.extend(&chunk[..n]),
            _ => return,
        }
    }
}

pub fn directory(record: &Record) -> SocketAddr {
    http("directory", "HTTP/1.1 204 No Content\r\n\r\n", record)
}

pub fn database(record: &Record) -> SocketAddr {
    http("database", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", record)
}
