//! A nodo is told to leave while the process that an upgrade replaced still ends its work.

use crate::fastcgi::Conn;
use crate::load::{Balancer, Habit, Outcome, body, first_try, new_key};
use crate::nodo::{Config, Folder, Nodo, cordoba, free_address, settings};
use crate::peers::{Interpreter, database, directory};
use crate::{Setting, Verdict};
use std::collections::HashMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

const STOP_MS: u64 = 3200;
/// The grace of the settings, and what the protocol page adds to each limit.
const GRACE: Duration = Duration::from_millis(2500 + 50);
/// From SIGTERM to the process that was replaced until the notice to leave.
const BETWEEN: Duration = Duration::from_millis(400);
/// Balancers learn of the notice from the list so much later.
const LIST_LATE: Duration = Duration::from_millis(3900);

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let folder = Folder::new(&setting.tmp.join("case").to_string_lossy());
    let tmp = folder.sub("tmpdir");
    let (one, two) =
        (Interpreter::start("interpreter 1", record), Interpreter::start("interpreter 2", record));
    let (lookup, db) = (directory(record), database(record));
    let listen = free_address();
    let config = |admin, vm| Config {
        name: "n1".into(),
        listen,
        admin,
        vm,
        lookup,
        db,
        stop_ms: STOP_MS,
        memory_mb: 64,
        sockets: 512,
        settings: settings(&cordoba()),
    };
    let first = config(free_address(), one.address);
    let file = folder.0.join("one.json");
    let mut nodo = Nodo::start("the earlier process", &setting.run, "", &first, &file, &tmp, record);
    if !nodo.ready(Duration::from_secs(20)) {
        return Err("the nodo is not ready".into());
    }
    sleep(Duration::from_millis(1000));
    let balancers: Vec<Balancer> = (1..=3)
        .map(|balancer| {
            let habit = Habit {
                balancer,
                every: Duration::from_millis(90),
                classes: vec!["consulta-estado", "verificar-firma"],
                keyed: "registrar-firma",
                work_ms: vec![120, 60, 90],
                body_bytes: 300,
                wait: Duration::from_millis(9200),
            };
            Balancer::start(listen, habit, record)
        })
        .collect();
    sleep(Duration::from_secs(3));
    // One request takes long, within its aim of 4.3 s.
    let slow = Conn::open(listen).map_err(|e| e.to_string())?;
    let long = first_try("registrar-firma", 4, Some(new_key()), body(4000, 300));
    record.line(&format!("balancer 4 writes {}, work 4000 ms", long.uid));
    slow.send(1, &long).map_err(|e| e.to_string())?;
    sleep(Duration::from_millis(100));
    let mut earlier = None;
    let mut kill = Instant::now();
    if setting.trouble {
        let second = config(free_address(), two.address);
        let other = folder.0.join("two.json");
        let mut later = Nodo::start("the later process", &setting.run, "", &second, &other, &tmp, record);
        if !later.ready(Duration::from_secs(6)) {
            return Err("the later process did not say yes within 6 s".into());
        }
        nodo.signal("TERM");
        // The longest deadline (counted as 3 s where it is longer) and 0.7 s.
        kill = Instant::now() + Duration::from_millis(3700);
        earlier = Some(std::mem::replace(&mut nodo, later));
        sleep(BETWEEN);
    }
    let told = Instant::now();
    record.line("the nodo is told to leave");
    nodo.signal("TERM");
    let stop = told + Duration::from_millis(STOP_MS);
    let mut left = false;
    while Instant::now() < stop.max(kill).max(told + LIST_LATE) {
        if !left && nodo.wait(Duration::from_millis(5)).is_some() {
            left = true;
        }
        if !left && Instant::now() >= stop {
            nodo.signal("KILL");
            left = true;
        }
        if let Some(process) = &mut earlier
            && Instant::now() >= kill
        {
            if process.ended().is_none() {
                process.signal("KILL");
            }
            earlier = None;
        }
        sleep(Duration::from_millis(5));
    }
    let all: Vec<Outcome> = balancers.into_iter().flat_map(Balancer::finish).collect();
    let written: HashMap<&str, Instant> = all.iter().map(|o| (o.uid.as_str(), o.written)).collect();
    let mut late = 0;
    for run in one.runs().iter().chain(&two.runs()) {
        let Some(at) = written.get(run.uid.as_str()) else { continue };
        if *at > told + GRACE {
            late += 1;
            let after = at.duration_since(told).as_millis();
            record.line(&format!("run after the grace: {} was written {after} ms after the notice", run.uid));
        }
    }
    let lost = all.iter().filter(|o| o.why.starts_with("NO ANSWER")).count();
    record.say(&format!(
        "{} requests; {late} were run that came after the grace; {lost} have no answer",
        all.len()
    ));
    if all.len() < 50 {
        return Err("too few requests for a verdict".into());
    }
    Ok(late == 0)
}
