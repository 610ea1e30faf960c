//! The link to the interpreter breaks now and then, under runs that make calls.

use super::place;
use crate::balancer::{Connection, Try};
use crate::interpreter::Interpreter;
use crate::{Case, Verdict};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Connections of the balancers, each with one request at a time.
const CONNECTIONS: u64 = 16;
/// How long the load lasts, and how often the link breaks.
const LOAD: Duration = Duration::from_secs(90);
const BREAKS: Duration = Duration::from_millis(1000);

/// Plays the case.
pub fn play(case: &Case) -> Verdict {
    let record = &case.record.quiet();
    let interpreter = Interpreter::start("interpreter", 8, record);
    let mut place = place(case);
    place.settings = place
        .settings
        .replace("\"nCores\":2", "\"nCores\":8")
        .replace("\"fairCalls\":5.5", "\"fairCalls\":60.0");
    let process = place.start("first", interpreter.address, &case.record);
    if !process.ready(Duration::from_secs(20)) {
        return Verdict::NotRun("the nodo does not become ready".to_string());
    }
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let served: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let clients = (0..CONNECTIONS).map(|n| {
        let (stop, sent, served, record) = (stop.clone(), sent.clone(), served.clone(), record.clone());
        let (to, interpreter) = (place.listen, interpreter.clone());
        spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let Ok(open) = Connection::open(to, n % 3 + 1, &record) else {
                    sleep(Duration::from_millis(100));
                    continue;
                };
                for id in 1..=u16::MAX {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let uid = format!("{:016x}", 0x8000_0000 + number);
                    // Three calls, with 3 to 8 ms of work before each and after the last one.
                    let body = format!("read {number};ms={};calls=3", 3 + number % 6);
                    let read =
                        Try { id, uid: uid.clone(), class: "consulta", key: None, body, resent: false };
                    open.send(&read);
                    let answer = open.answer(id, Duration::from_secs(10));
                    interpreter.request_over(&uid);
                    if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                        served.lock().unwrap().insert(uid, answer.body);
                    }
                    sleep(Duration::from_millis(5));
                    if open.ended() || stop.load(Ordering::Relaxed) {
                        break;
                    }
                }
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    let began = Instant::now();
    let mut breaks = 0;
    while began.elapsed() < LOAD {
        sleep(BREAKS);
        if case.trouble {
            interpreter.break_link();
            breaks += 1;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let served = served.lock().unwrap();
    let mut wrong = 0;
    for run in interpreter.runs() {
        for (n, reply) in run.replies.iter().enumerate() {
            let right = format!("reply to {}#{}", run.body, n + 1);
            if let Some(reply) = reply.as_ref().filter(|reply| **reply != right) {
                let answered = served.contains_key(&run.uid);
                wrong += u32::from(answered);
                let answered = if answered { "served" } else { "not served" };
                case.record.line(&format!(
                    "try {}, {answered}: the run waited for call {} and got \"{reply}\", which is the reply to another call",
                    run.uid,
                    n + 1
                ));
            }
        }
    }
    let (sent, served) = (sent.load(Ordering::Relaxed), served.len());
    let text = format!(
        "{wrong} of {served} served answers were made with the reply to another call; {sent} requests, {breaks} breaks"
    );
    if served * 2 < sent as usize {
        return Verdict::NotRun(format!("fewer than half of the requests were served: {text}"));
    }
    if wrong > 0 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
