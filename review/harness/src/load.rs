//! Requests of the usual balancers, and what became of them.

use crate::fastcgi::{Answer, Conn, Try};
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new id of 16 hex digits.
pub fn new_uid() -> String {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

pub fn new_key() -> String {
    format!("{}{}", new_uid(), new_uid())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub const TENANTS: [&str; 4] = ["escribania-norte", "banco-litoral", "seguros-pampa", "estudio-andes"];

/// A body that asks for so much work, filled to a length.
pub fn body(work_ms: u64, bytes: usize) -> Vec<u8> {
    let mut body = format!("work={work_ms};{};", new_uid()).into_bytes();
    let fill = new_uid().into_bytes();
    while body.len() < bytes {
        body.push(fill[body.len() % fill.len()]);
    }
    body
}

pub fn first_try(class: &str, balancer: u32, key: Option<String>, body: Vec<u8>) -> Try {
    Try {
        uid: new_uid(),
        class: class.into(),
        tenant: TENANTS[balancer as usize % 4].into(),
        balancer,
        arrived_ms: unix_ms(),
        resent: false,
        key,
        body,
    }
}

/// The next try of a request: a new id, marked, with the same key and body.
pub fn again(t: &Try) -> Try {
    Try { uid: new_uid(), arrived_ms: unix_ms(), resent: true, ..t.clone() }
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub uid: String,
    pub class: String,
    pub written: Instant,
    pub answer: Option<Answer>,
    /// Why there is no answer.
    pub why: String,
}

/// How a balancer sends.
#[derive(Clone)]
pub struct Habit {
    pub balancer: u32,
    pub every: Duration,
    pub classes: Vec<&'static str>,
    pub keyed: &'static str,
    pub work_ms: Vec<u64>,
    pub body_bytes: usize,
    pub wait: Duration,
}

/// A balancer with one connection at a time, on which requests overlap; it opens a new one after an end.
pub struct Balancer {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

/// The most open requests of a connection.
const MAX_OPEN: usize = 32;

impl Balancer {
    pub fn start(to: SocketAddr, habit: Habit, record: &Record) -> Balancer {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let (stopped, told, record) = (stop.clone(), outcomes.clone(), record.clone());
        let thread = std::thread::spawn(move || send(to, &habit, &stopped, &told, &record));
        Balancer { stop, thread, outcomes }
    }

    /// Sends no more, waits for the open requests, and returns what became of all.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        let outcomes = self.outcomes.lock().unwrap();
        outcomes.clone()
    }
}

fn send(to: SocketAddr, habit: &Habit, stop: &AtomicBool, told: &Arc<Mutex<Vec<Outcome>>>, record: &Record) {
    let mut conn: Option<Arc<Conn>> = None;
    let mut waits: Vec<JoinHandle<()>> = Vec::new();
    let open = Arc::new(AtomicU64::new(0));
    let mut next_id = 0u16;
    let mut n = 0usize;
    let mut due = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        due += habit.every;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if conn.as_ref().is_none_or(|conn| conn.ended().is_some()) {
            conn = match Conn::open(to) {
                Ok(conn) => Some(Arc::new(conn)),
                Err(_) => {
                    // A refused connection proves that nothing ran.
                    record.line(&format!("balancer {}: connection refused", habit.balancer));
                    continue;
                }
            };
            open.store(0, Ordering::Relaxed);
            next_id = 0;
            record.line(&format!("balancer {}: opens a connection", habit.balancer));
        }
        let Some(here) = conn.clone() else { continue };
        if open.load(Ordering::Relaxed) as usize >= MAX_OPEN {
            continue;
        }
        let class = habit.classes[n % habit.classes.len()];
        let work = habit.work_ms[n % habit.work_ms.len()];
        n += 1;
        let key = (class == habit.keyed).then(new_key);
        let t = first_try(class, habit.balancer, key, body(work, habit.body_bytes));
        next_id = next_id % 30_000 + 1;
        let id = next_id;
        let written = here.send(id, &t);
        let at = Instant::now();
        record.line(&format!("balancer {}: writes {} of {class}, work {work} ms", habit.balancer, t.uid));
        open.fetch_add(1, Ordering::Relaxed);
        let (told, record, open, wait, balancer) =
            (told.clone(), record.clone(), open.clone(), habit.wait, habit.balancer);
        if waits.len() >= 64 {
            waits.retain(|wait| !wait.is_finished());
        }
        waits.push(std::thread::spawn(move || {
            let answer = here.answer(id, at + wait);
            let end = here.ended();
            open.fetch_sub(1.min(open.load(Ordering::Relaxed)), Ordering::Relaxed);
            let why = match (&answer, &end, written) {
                (Some(answer), ..) => answer.text(),
                (None, _, Err(e)) => format!("could not be written: {}", e.kind()),
                (None, Some((_, why)), _) => format!("NO ANSWER: the connection {why}"),
                (None, None, _) => "NO ANSWER in its time".into(),
            };
            record.line(&format!(
                "balancer {balancer}: {} {why} after {} ms",
                t.uid,
                at.elapsed().as_millis()
            ));
            told.lock().unwrap().push(Outcome { uid: t.uid, class: t.class, written: at, answer, why });
        }));
    }
    for wait in waits {
        let _ = wait.join();
    }
}
