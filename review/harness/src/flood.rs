//! Bad clients hold the memory for requests with messages that never end, while the usual balancers go on.

use crate::fastcgi::{Conn, endless};
use crate::load::{again, body, first_try, new_key};
use crate::nodo::{Config, Folder, Nodo, cordoba, free_address, settings};
use crate::peers::{Interpreter, database, directory};
use crate::record::Record;
use crate::{Setting, Verdict};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Connections of bad clients, and the requests that each begins and never ends.
const BAD_CONNECTIONS: usize = 96;
/// What each of these messages holds: less than a usual request, so that what is left has no room for one.
const BAD_BYTES: usize = 2000;
const BAD_REQUESTS: u16 = 32;

pub struct Flood {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub turned_away: Arc<AtomicU64>,
    pub closed: Arc<AtomicU64>,
}

impl Flood {
    pub fn start(to: SocketAddr, record: &Record) -> Flood {
        let (stop, turned_away, closed) = (Arc::new(AtomicBool::new(false)), Arc::default(), Arc::default());
        record.line(&format!(
            "{BAD_CONNECTIONS} bad clients begin {BAD_REQUESTS} messages each that never end"
        ));
        let threads = (0..BAD_CONNECTIONS)
            .map(|_| {
                let (stop, turned, closed): (_, Arc<AtomicU64>, Arc<AtomicU64>) =
                    (stop.clone(), Arc::clone(&turned_away), Arc::clone(&closed));
                std::thread::spawn(move || bad_client(to, &stop, &turned, &closed))
            })
            .collect();
        Flood { stop, threads, turned_away, closed }
    }

    pub fn end(self, record: &Record) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let (turned, closed) =
            (self.turned_away.load(Ordering::Relaxed), self.closed.load(Ordering::Relaxed));
        record.line(&format!(
            "the bad clients end; {turned} of their messages were turned away, {closed} connections closed"
        ));
    }
}

fn bad_client(to: SocketAddr, stop: &AtomicBool, turned: &AtomicU64, closed: &AtomicU64) {
    let length = BAD_BYTES;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            sleep(Duration::from_millis(20));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        let mut out = Vec::new();
        for id in 1..=BAD_REQUESTS {
            out.extend(endless(id, length));
        }
        if stream.write_all(&out).is_err() {
            continue;
        }
        let mut input = Vec::new();
        let mut chunk = [0; 16 * 1024];
        while !stop.load(Ordering::Relaxed) {
            match stream.read(&mut chunk) {
                Ok(0) => break,
                Ok(n) => input.extend(&chunk[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
            let mut out = Vec::new();
            while input.len() >= 8 {
                let whole = 8 + usize::from(u16::from_be_bytes([input[4], input[5]])) + usize::from(input[6]);
                if input.len() < whole {
                    break;
                }
                let id = u16::from_be_bytes([input[2], input[3]]);
                if input[1] == 3 {
                    // The same again as soon as it is turned away.
                    turned.fetch_add(1, Ordering::Relaxed);
                    out.extend(endless(id, length));
                }
                input.drain(..whole);
            }
            if !out.is_empty() {
                sleep(Duration::from_millis(10));
                if stream.write_all(&out).is_err() {
                    break;
                }
            }
        }
        closed.fetch_add(1, Ordering::Relaxed);
    }
}

fn nodo(
    setting: &Setting,
    folder: &Folder,
    name: &str,
    memory_mb: u64,
) -> Result<(Nodo, Interpreter, SocketAddr), String> {
    let record = &setting.record;
    let interpreter = Interpreter::start(&format!("interpreter of {name}"), record);
    let config = Config {
        name: name.into(),
        listen: free_address(),
        admin: free_address(),
        vm: interpreter.address,
        lookup: directory(record),
        db: database(record),
        stop_ms: 3200,
        memory_mb,
        sockets: 384,
        settings: settings(&cordoba()),
    };
    let (file, tmp) = (folder.0.join(format!("{name}.json")), folder.sub(&format!("tmpdir-{name}")));
    let mut nodo = Nodo::start(name, &setting.run, "", &config, &file, &tmp, record);
    if !nodo.ready(Duration::from_secs(20)) {
        return Err("a nodo is not ready".into());
    }
    Ok((nodo, interpreter, config.listen))
}

/// The keyed requests that are tried again, in rounds of as many as the cores run at once.
const ROUNDS: u16 = 3;
const REQUESTS: u16 = 5;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let folder = Folder::new(&setting.tmp.join("case").to_string_lossy());
    let (mut one, runs_of_one, listen) = nodo(setting, &folder, "n1", 32)?;
    let (_two, runs_of_two, other) = nodo(setting, &folder, "n2", 32)?;
    sleep(Duration::from_secs(1));
    let open = |to| Conn::open(to).map_err(|e| e.to_string());
    // Connections that the balancer has already.
    let (mut first, mut second, mut third) = (open(listen)?, open(listen)?, open(other)?);
    let count = |runs: &Interpreter, uid: &str| runs.runs().iter().filter(|run| run.uid == uid).count();
    let (mut checked, mut refused, mut twice) = (0, 0, 0);
    let mut id = 0;
    for _ in 0..ROUNDS {
        let mut tries = Vec::new();
        // Opened anew where the nodo has closed one that rested.
        for (conn, to) in [(&mut first, listen), (&mut second, listen), (&mut third, other)] {
            if conn.ended().is_some() {
                *conn = open(to)?;
            }
        }
        for _ in 0..REQUESTS {
            id += 1;
            let t = first_try("registrar-firma", 1, Some(new_key()), body(2000, 2000));
            record.line(&format!("balancer 1 writes the first try {} to n1, key {:?}", t.uid, t.key));
            first.send(id, &t).map_err(|e| e.to_string())?;
            tries.push((id, t));
        }
        sleep(Duration::from_millis(300));
        let flood = setting.trouble.then(|| Flood::start(listen, record));
        sleep(Duration::from_millis(700));
        for (id, t) in &tries {
            // The balancer waits briefly, and stops waiting.
            record.line(&format!("balancer 1 takes {} back", t.uid));
            first.abort(*id).map_err(|e| e.to_string())?;
            sleep(Duration::from_millis(100));
            let next = again(t);
            record.line(&format!("balancer 1 writes the next try {} to n1", next.uid));
            second.send(*id, &next).map_err(|e| e.to_string())?;
            let answer = second.answer(*id, Instant::now() + Duration::from_secs(5));
            let how = answer.as_ref().map_or("no answer".into(), |a| a.text());
            let ran = count(&runs_of_one, &t.uid);
            record.line(&format!("balancer 1: {} at n1 {how}; n1 ran the first try {ran} times", next.uid));
            if ran == 0 {
                continue;
            }
            checked += 1;
            if !answer.is_some_and(|answer| answer.refused()) {
                continue;
            }
            refused += 1;
            // Refused: the promise is that it never ran. The balancer goes on through its list.
            let last = again(t);
            record.line(&format!("balancer 1 writes the next try {} to n2", last.uid));
            third.send(*id, &last).map_err(|e| e.to_string())?;
            let _ = third.answer(*id, Instant::now() + Duration::from_millis(50));
            if count(&runs_of_two, &last.uid) > 0 {
                twice += 1;
                record.line(&format!("key {:?} ran at n1 and at n2", t.key));
            }
        }
        if let Some(flood) = flood {
            flood.end(record);
        }
        sleep(Duration::from_millis(2200));
    }
    if let Some(how) = one.ended() {
        record.say(&format!("n1 has ended: {how}"));
    }
    record.say(&format!(
        "{checked} keyed requests ran at n1 and were tried again there; {refused} of these tries were refused; {twice} \
         requests ran at n2 too"
    ));
    if checked == 0 {
        return Err("no first try ran".into());
    }
    Ok(refused == 0)
}
