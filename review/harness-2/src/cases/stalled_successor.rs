//! A later process stalls for a moment just after it has taken over.

use super::place;
use crate::balancer::{Connection, Try};
use crate::interpreter::Interpreter;
use crate::{Case, Verdict};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Connections of the balancers.
const CONNECTIONS: u64 = 12;
/// How long the later process stalls.
const STALL: Duration = Duration::from_millis(500);
/// The deadline of the class, the slack of the rules, and the stall, which does not count.
const PATIENCE: Duration = Duration::from_millis(9000 + 80 + 50 + 500);
/// A request that crosses a close within this time is sent again, and is not lost.
const CROSSING: Duration = Duration::from_millis(50);

/// Plays the case.
pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let (first, second) =
        (Interpreter::start("interpreter A", 8, record), Interpreter::start("interpreter B", 8, record));
    let mut place = place(case);
    place.settings = place.settings.replace("\"nCores\":2", "\"nCores\":8");
    let mut earlier = place.start("first", first.address, record);
    if !earlier.ready(Duration::from_secs(20)) {
        return Verdict::NotRun("the nodo does not become ready".to_string());
    }
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients = (0..CONNECTIONS).map(|n| {
        let (stop, sent, lost, record, to) =
            (stop.clone(), sent.clone(), lost.clone(), record.clone(), place.listen);
        let (first, second) = (first.clone(), second.clone());
        spawn(move || {
            let mut connection = None;
            while !stop.load(Ordering::Relaxed) {
                let open = match connection.take() {
                    Some(open) => open,
                    None => match Connection::open(to, n % 4 + 1, &record) {
                        Ok(open) => open,
                        // Nothing ran.
                        Err(_) => {
                            sleep(Duration::from_millis(100));
                            continue;
                        }
                    },
                };
                for id in 1..=u16::MAX {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let uid = format!("{:016x}", 0x7000_0000 + number);
                    let read = Try {
                        id,
                        uid: uid.clone(),
                        class: "consulta",
                        key: None,
                        body: format!("read {number};ms={}", 60 + 20 * n),
                        resent: false,
                    };
                    let wrote = open.send(&read);
                    let written = Instant::now();
                    let answer = open.answer(id, PATIENCE);
                    first.request_over(&uid);
                    second.request_over(&uid);
                    if answer.is_some() {
                        sleep(Duration::from_millis(20));
                    } else if wrote && written.elapsed() > CROSSING {
                        let how = if open.ended() { "its connection ended" } else { "nothing came" };
                        let line = format!(
                            "try {uid}: {how} {:.3} s after it was written",
                            written.elapsed().as_secs_f64()
                        );
                        record.line(&format!("balancer {}: no answer to {line}", n % 4 + 1));
                        lost.lock().unwrap().push(line);
                    }
                    if open.ended() || stop.load(Ordering::Relaxed) {
                        break;
                    }
                }
                connection = (!open.ended()).then_some(open);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep(Duration::from_millis(1500));
    let later = place.start("later", second.address, record);
    if !later.ready(Duration::from_secs(6)) {
        return Verdict::NotRun("the later process does not say yes within 6 s".to_string());
    }
    record.line("process later says yes to PING");
    earlier.signal("TERM");
    if case.trouble {
        later.signal("STOP");
        sleep(STALL);
        later.signal("CONT");
    } else {
        sleep(STALL);
    }
    let ended = earlier.ends(Duration::from_millis(3700).saturating_sub(STALL));
    record.line(&format!("process first has ended: {ended}"));
    sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let (sent, lost) = (sent.load(Ordering::Relaxed), lost.lock().unwrap().len() as u64);
    let text = format!("{lost} of {sent} requests got no answer; the rule allows 3 in 1,000");
    if lost * 1000 > sent * 3 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
