//! A stand-in of the interpreter, after PROTOCOL, "The interpreter". A run takes the time that its body names
//! (`...;ms=300`), and makes as many calls as it names (`;calls=2`), with that time before each.

use crate::record::Record;
use crate::wire::{decode, encode, field};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A run that began.
#[derive(Clone, Debug)]
pub struct Run {
    /// The correlation id of the try.
    pub uid: String,
    /// The class.
    pub class: String,
    /// The body.
    pub body: String,
    /// What the run got for its calls, in order; `None` where it went on without one.
    pub replies: Vec<Option<String>>,
    /// How it ended.
    pub end: Option<&'static str>,
}

enum Signal {
    Stop,
    Reply(Option<u64>, Option<String>),
}

#[derive(Default)]
struct State {
    link: Option<TcpStream>,
    links: u64,
    notices: Vec<String>,
    runs: Vec<Run>,
    live: HashMap<String, (Sender<Signal>, bool)>,
    over: HashMap<String, ()>,
}

/// A listening stand-in.
#[derive(Clone)]
pub struct Interpreter {
    /// Its address.
    pub address: SocketAddr,
    name: String,
    cores: usize,
    state: Arc<Mutex<State>>,
    record: Record,
}

fn number(body: &str, name: &str) -> Option<u64> {
    body.split(';').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Interpreter {
    /// Starts a warm interpreter.
    pub fn start(name: &str, cores: usize, record: &Record) -> Interpreter {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let new = Interpreter {
            address,
            name: name.to_string(),
            cores,
            state: Arc::default(),
            record: record.clone(),
        };
        let me = new.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                thread::spawn(move || me.serve(stream));
            }
        });
        new
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// The request is answered or given up: its run ends at its call, or at its next one.
    pub fn request_over(&self, uid: &str) {
        let mut state = self.state.lock().unwrap();
        state.over.insert(uid.to_string(), ());
        if let Some((signals, at_call)) = state.live.get(uid)
            && *at_call
        {
            let _ = signals.send(Signal::Stop);
        }
    }

    /// Breaks the link. Runs continue, and nothing that was read is forgotten.
    pub fn break_link(&self) {
        let mut state = self.state.lock().unwrap();
        self.record.line(&format!("{}: its link breaks", self.name));
        if let Some(old) = state.link.take() {
            let _ = old.shutdown(Shutdown::Both);
        }
        state.links += 1;
    }

    fn put(state: &mut State, line: &str) {
        if let Some(link) = &mut state.link {
            let _ = link.write_all(line.as_bytes());
        }
    }

    fn notice(state: &mut State, make: impl Fn(u64) -> String) {
        let line = make(state.notices.len() as u64 + 1);
        state.notices.push(line.clone());
        Interpreter::put(state, &line);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut lines = BufReader::new(stream.try_clone().expect("a stream")).lines();
        let mut mine = 0;
        while let Some(Ok(line)) = lines.next() {
            let mut state = self.state.lock().unwrap();
            if mine != 0 && mine != state.links {
                return;
            }
            let uid = field(&line, "uid").unwrap_or_default().to_string();
            match field(&line, "action").unwrap_or_default() {
                "CONNECT" => {
                    if let Some(old) = state.link.take() {
                        let _ = old.shutdown(Shutdown::Both);
                    }
                    state.links += 1;
                    mine = state.links;
                    state.link = stream.try_clone().ok();
                    Interpreter::put(
                        &mut state,
                        "{\"action\":\"BANNER\",\"code\":\"WARM\",\"wall_ms\":60000}\n",
                    );
                    let read: usize = field(&line, "pos").and_then(|n| n.parse().ok()).unwrap_or(0);
                    for line in state.notices.iter().skip(read).cloned().collect::<Vec<_>>() {
                        Interpreter::put(&mut state, &line);
                    }
                }
                "TOP" => {
                    let busy = state.live.values().filter(|(_, at_call)| !at_call).count();
                    let core_use = (busy as f64 / self.cores as f64).min(1.0);
                    let echo = field(&line, "echo").unwrap_or_default();
                    let text = format!(
                        "{{\"action\":\"TOPS\",\"echo\":\"{echo}\",\"meters\":[{core_use},{busy},0.1,4]}}\n"
                    );
                    Interpreter::put(&mut state, &text);
                }
                "APPLY" => {
                    if state.live.contains_key(&uid) {
                        continue;
                    }
                    let class = field(&line, "lane").unwrap_or_default().to_string();
                    let body = String::from_utf8_lossy(&decode(field(&line, "content").unwrap_or_default()))
                        .into_owned();
                    if state.over.contains_key(&uid) {
                        Interpreter::notice(&mut state, |pos| {
                            format!(
                                "{{\"action\":\"VALUE\",\"pos\":{pos},\"uid\":\"{uid}\",\"code\":\"MOOT\",\"wall_ms\":0,\"content\":\"\"}}\n"
                            )
                        });
                        continue;
                    }
                    self.record.line(&format!("{}: run of try {uid}, class {class}, body {body}", self.name));
                    let (signals, received) = channel();
                    state.live.insert(uid.clone(), (signals, false));
                    let index = state.runs.len();
                    state.runs.push(Run { uid, class, body, replies: Vec::new(), end: None });
                    let me = self.clone();
                    thread::spawn(move || me.run(index, &received));
                }
                "BREAK" | "RESOLVE" | "STUB" | "CONTINUE" => {
                    let action = field(&line, "action").unwrap_or_default();
                    let signal = match action {
                        "BREAK" => Some(Signal::Stop),
                        "RESOLVE" => {
                            let content = decode(field(&line, "content").unwrap_or_default());
                            Some(Signal::Reply(None, Some(String::from_utf8_lossy(&content).into_owned())))
                        }
                        "STUB" => Some(Signal::Reply(field(&line, "pos").and_then(|n| n.parse().ok()), None)),
                        _ => None,
                    };
                    match (state.live.get(&uid), signal) {
                        (Some((signals, _)), Some(signal)) => drop(signals.send(signal)),
                        _ => Interpreter::put(
                            &mut state,
                            &format!("{{\"action\":\"ERROR\",\"code\":\"{action}\",\"uid\":\"{uid}\"}}\n"),
                        ),
                    }
                }
                _ => return,
            }
        }
    }

    fn run(&self, index: usize, signals: &Receiver<Signal>) {
        let began = Instant::now();
        let Run { uid, class, body, .. } = self.state.lock().unwrap().runs[index].clone();
        let time = Duration::from_millis(number(&body, "ms").unwrap_or(20));
        let calls = number(&body, "calls").unwrap_or(0);
        let end = self.work(index, &uid, &body, time, calls, signals);
        let mut state = self.state.lock().unwrap();
        state.live.remove(&uid);
        state.runs[index].end = Some(end);
        let content =
            if end == "OK" { encode(format!("{class} {body} by {uid}").as_bytes()) } else { String::new() };
        let ms = began.elapsed().as_secs_f64() * 1000.0;
        self.record.line(&format!("{}: end of run of try {uid}: {end}", self.name));
        Interpreter::notice(&mut state, |pos| {
            format!(
                "{{\"action\":\"VALUE\",\"pos\":{pos},\"uid\":\"{uid}\",\"code\":\"{end}\",\"wall_ms\":{ms:.3},\"content\":\"{content}\"}}\n"
            )
        });
    }

    fn work(
        &self,
        index: usize,
        uid: &str,
        body: &str,
        time: Duration,
        calls: u64,
        signals: &Receiver<Signal>,
    ) -> &'static str {
        for call in 0..=calls {
            let until = Instant::now() + time;
            loop {
                match signals.recv_timeout(until.saturating_duration_since(Instant::now())) {
                    Ok(Signal::Stop) => return "STOPPED",
                    Ok(Signal::Reply(..)) => {}
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return "ERROR",
                }
            }
            if call == calls {
                return "OK";
            }
            let pos = {
                let mut state = self.state.lock().unwrap();
                if state.over.contains_key(uid) {
                    return "STOPPED";
                }
                // A reply that came before the run waits for one is no reply to this call.
                while let Ok(signal) = signals.try_recv() {
                    if matches!(signal, Signal::Stop) {
                        return "STOPPED";
                    }
                }
                if let Some(live) = state.live.get_mut(uid) {
                    live.1 = true;
                }
                let content = encode(format!("{body}#{}", call + 1).as_bytes());
                Interpreter::notice(&mut state, |pos| {
                    format!(
                        "{{\"action\":\"AWAIT\",\"pos\":{pos},\"uid\":\"{uid}\",\"content\":\"{content}\"}}\n"
                    )
                });
                state.notices.len() as u64
            };
            loop {
                match signals.recv() {
                    Ok(Signal::Reply(at, reply)) if at.is_none_or(|at| at == pos) => {
                        let mut state = self.state.lock().unwrap();
                        state.runs[index].replies.push(reply);
                        if let Some(live) = state.live.get_mut(uid) {
                            live.1 = false;
                        }
                        break;
                    }
                    Ok(Signal::Reply(..)) => {}
                    Ok(Signal::Stop) => return "STOPPED",
                    Err(_) => return "ERROR",
                }
            }
        }
        "OK"
    }
}
