//! Stand-ins for the interpreter, the database and the directory, as the protocol page has them.

use crate::record::Record;
use std::collections::{HashSet, VecDeque};
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
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    links: u64,
    pos: u64,
    notices: VecDeque<(u64, String)>,
    running: HashSet<String>,
    ended: HashSet<String>,
    runs: Vec<Run>,
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
fn work_of(body: &[u8]) -> u64 {
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
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::default();
        let up = Instant::now();
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

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut mine = 0;
        let Ok(reader) = stream.try_clone() else { return };
        for line in BufReader::new(reader).lines() {
            let Ok(line) = line else { return };
            let action = field(&line, "action").unwrap_or_default();
            let mut state = self.state.lock().unwrap();
            // A new link takes the place of the one before: nothing more is taken from that.
            if mine > 0 && state.links != mine {
                return;
            }
            let uid = field(&line, "uid").unwrap_or_default().to_string();
            match action {
                "CONNECT" => {
                    let after: u64 = field(&line, "pos").and_then(|n| n.parse().ok()).unwrap_or(0);
                    state.links += 1;
                    mine = state.links;
                    let ms = self.up.elapsed().as_millis();
                    let mut out = format!("{{\"action\":\"BANNER\",\"code\":\"WARM\",\"wall_ms\":{ms}}}\n");
                    for (pos, notice) in &state.notices {
                        if *pos > after {
                            out.push_str(notice);
                        }
                    }
                    let _ = (&stream).write_all(out.as_bytes());
                    state.link = stream.try_clone().ok();
                }
                "APPLY" => {
                    let body = unbase64(field(&line, "content").unwrap_or_default());
                    let class = field(&line, "lane").unwrap_or_default().to_string();
                    self.apply(&mut state, uid, class, body);
                }
                "BREAK" => {
                    if state.running.remove(&uid) {
                        state.ended.insert(uid.clone());
                        let stopped = format!("\"uid\":\"{uid}\",\"code\":\"STOPPED\",\"wall_ms\":1");
                        self.notice(&mut state, "VALUE", &stopped);
                        self.record.line(&format!("{}: run of {uid} stopped", self.name));
                    }
                }
                "TOP" => {
                    let echo = field(&line, "echo").unwrap_or_default();
                    let (runs, busy) = (state.running.len(), (state.running.len() as f64 / 6.0).min(1.0));
                    let tops = format!(
                        "{{\"action\":\"TOPS\",\"echo\":\"{echo}\",\"meters\":[{busy:.2},{runs},0.1,4]}}\n"
                    );
                    let _ = (&stream).write_all(tops.as_bytes());
                }
                _ => {}
            }
        }
    }

    fn apply(&self, state: &mut State, uid: String, class: String, body: Vec<u8>) {
        if state.running.contains(&uid) {
            return;
        }
        if state.ended.contains(&uid) {
            return self.notice(
                state,
                "VALUE",
                &format!("\"uid\":\"{uid}\",\"code\":\"MOOT\",\"wall_ms\":0"),
            );
        }
        state.running.insert(uid.clone());
        state.runs.push(Run { uid: uid.clone() });
        self.record.line(&format!("{}: runs {uid} of {class}", self.name));
        let me = self.clone();
        thread::spawn(move || me.run(&uid, &body));
    }

    /// A run makes no calls; it takes the time that its body asks for.
    fn run(&self, uid: &str, body: &[u8]) {
        let work = work_of(body);
        thread::sleep(Duration::from_millis(work));
        let mut state = self.state.lock().unwrap();
        if state.running.remove(uid) {
            state.ended.insert(uid.to_string());
            let result = base64(&result_of(uid, body));
            let value =
                format!("\"uid\":\"{uid}\",\"code\":\"OK\",\"wall_ms\":{work},\"content\":\"{result}\"");
            self.notice(&mut state, "VALUE", &value);
            self.record.line(&format!("{}: run of {uid} ended", self.name));
        }
    }

    fn notice(&self, state: &mut State, action: &str, rest: &str) {
        state.pos += 1;
        let line = format!("{{\"action\":\"{action}\",\"pos\":{},{rest}}}\n", state.pos);
        let pos = state.pos;
        state.notices.push_back((pos, line.clone()));
        if state.notices.len() > 4000 {
            state.notices.pop_front();
        }
        if let Some(link) = &mut state.link {
            let _ = link.write_all(line.as_bytes());
        }
    }
}

/// An HTTP server that answers each call alike: the directory, and the database, which no run calls here.
fn http(name: &str, reply: &'static str, record: &Record) -> SocketAddr {
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
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
            let end = at + 4 + length.unwrap_or(0);
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
