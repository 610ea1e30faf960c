//! Two of three voters die; a nodo turns away requests that the fleet holds for it.

use crate::fastcgi::Conn;
use crate::load::{Balancer, Habit, body, first_try, new_key};
use crate::nodo::{Config, Folder, Nodo, cordoba, free_address, settings};
use crate::peers::{Interpreter, database, directory};
use crate::{Setting, Verdict};
use std::path::PathBuf;
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

const NODOS: usize = 10;
const VOTERS: usize = 3;
const CLASS: &str = "registrar-firma";
/// The nodo that is asked; it has no vote.
const ASKED: usize = 5;
/// What a run takes there: 500 ms of work on a core of speed 0.5, at 0.21 of that.
const WORK_MS: u64 = 4800;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let folder = Folder::new(&setting.tmp.join("case").to_string_lossy());
    let interpreter = |n: usize| {
        let name = format!("interpreter {n}");
        // The nodo that is asked has just been started, and is cold.
        if n == ASKED { Interpreter::cold(&name, record) } else { Interpreter::start(&name, record) }
    };
    let interpreters: Vec<_> = (0..NODOS).map(interpreter).collect();
    let (lookup, db) = (directory(record), database(record));
    let voters: Vec<_> = (0..VOTERS).map(|_| free_address()).collect();
    let mut nodos: Vec<Option<Nodo>> = Vec::new();
    let mut starts: Vec<(Config, PathBuf, PathBuf, String)> = Vec::new();
    for n in 0..NODOS {
        let config = Config {
            name: format!("n{n}"),
            listen: free_address(),
            admin: free_address(),
            vm: interpreters[n].address,
            lookup,
            db,
            stop_ms: 3200,
            memory_mb: 64,
            sockets: 512,
            settings: settings(&cordoba()).replace("\"justStarted\": false", &format!("\"justStarted\": {}", n == ASKED)),
        };
        let fleet = folder.sub(&format!("fleet-{n}"));
        let mut site = format!("fleet {{\n  name = \"prueba\"\n  folder = \"{}\"\n  ttl = \"2s\"\n", fleet.display());
        for (voter, at) in voters.iter().enumerate() {
            site.push_str(&format!("  voter \"n{voter}\" {{\n    address = \"{at}\"\n  }}\n"));
        }
        site.push_str(&format!("}}\nhandover \"{CLASS}\" {{\n  effect = \"unknown\"\n}}\n"));
        let path = folder.0.join(format!("site-{n}.hcl"));
        std::fs::write(&path, site).map_err(|e| e.to_string())?;
        if n == 0 {
            let program = setting.run.trim_start_matches("exec ");
            let found = Command::new("/bin/sh")
                .arg("-c")
                .arg(format!("exec {program} fleet found {} --fleet prueba --member n0", fleet.display()))
                .output()
                .map_err(|e| e.to_string())?;
            if !found.status.success() {
                return Err(format!("the fleet cannot be founded: {}", String::from_utf8_lossy(&found.stderr)));
            }
        }
        let (file, tmp) = (folder.0.join(format!("config-{n}.json")), folder.sub(&format!("tmpdir-{n}")));
        starts.push((config, file, tmp, format!("serve --operator {}", path.display())));
    }
    let start = |n: usize| {
        let (config, file, tmp, more) = &starts[n];
        Nodo::start(&config.name, &setting.run, more, config, file, tmp, record)
    };
    for n in 0..NODOS {
        nodos.push(Some(start(n)));
    }
    for nodo in nodos.iter_mut().flatten() {
        if !nodo.ready(Duration::from_secs(30)) {
            return Err("a nodo is not ready".into());
        }
    }
    // Until the fleet holds work: a keyed request is served.
    let until = Instant::now() + Duration::from_secs(20);
    let mut conn = Conn::open(starts[ASKED].0.listen).map_err(|e| e.to_string())?;
    let mut id = 0;
    loop {
        id += 1;
        let t = first_try(CLASS, 1, Some(new_key()), body(300, 300));
        conn.send(id, &t).map_err(|e| e.to_string())?;
        let answer = conn.answer(id, Instant::now() + Duration::from_secs(15));
        record.line(&format!("a first request: {}", answer.as_ref().map_or("no answer".into(), |a| a.text())));
        if answer.is_some_and(|answer| answer.served()) {
            break;
        }
        if Instant::now() > until {
            return Err("the fleet does not serve".into());
        }
        sleep(Duration::from_millis(300));
    }
    sleep(Duration::from_secs(3));
    conn = Conn::open(starts[ASKED].0.listen).map_err(|e| e.to_string())?;
    // The usual requests of another nodo, beside these.
    let habit = Habit {
        balancer: 4,
        every: Duration::from_millis(100),
        classes: vec!["consulta-estado", "verificar-firma"],
        keyed: CLASS,
        work_ms: vec![210, 290, 340],
        body_bytes: 300,
        wait: Duration::from_millis(9200),
    };
    let others = Balancer::start(starts[7].0.listen, habit, record);
    let mut tries = Vec::new();
    for n in 0..12u16 {
        let t = first_try(CLASS, 1 + u32::from(n % 3), Some(new_key()), body(WORK_MS, 300));
        record.line(&format!("balancer {} writes {}", t.balancer, t.uid));
        conn.send(n + 1, &t).map_err(|e| e.to_string())?;
        tries.push((n + 1, t, Instant::now()));
    }
    sleep(Duration::from_millis(400));
    if setting.trouble {
        for n in [0, 2] {
            if let Some(nodo) = &nodos[n] {
                nodo.signal("KILL");
            }
            nodos[n] = None;
        }
    }
    let killed = Instant::now();
    // They come back after 20 s.
    let mut back = !setting.trouble;
    let mut lost = 0;
    for (id, t, written) in &tries {
        let due = *written + Duration::from_millis(14_000 + 80 + 50);
        let until = due + Duration::from_millis(100);
        let answer = conn.answer(*id, until);
        let how = answer.as_ref().map_or("NO ANSWER in its time".into(), |a| format!("{} after {} ms", a.text(), a.at.duration_since(*written).as_millis()));
        record.line(&format!("balancer {}: {} {how}", t.balancer, t.uid));
        lost += usize::from(answer.is_none());
    }
    while !back {
        if killed.elapsed() > Duration::from_secs(20) {
            for n in [0, 2] {
                nodos[n] = Some(start(n));
            }
            back = true;
        }
        sleep(Duration::from_millis(50));
    }
    if setting.trouble {
        for (id, t, written) in &tries {
            if let Some(answer) = conn.answer(*id, Instant::now() + Duration::from_secs(6)) {
                record.line(&format!("late: {} {} after {} ms", t.uid, answer.text(), answer.at.duration_since(*written).as_millis()));
            }
        }
    }
    let others = others.finish();
    let unanswered = others.iter().filter(|o| o.why.starts_with("NO ANSWER")).count();
    let all = tries.len() + others.len();
    record.say(&format!(
        "{all} requests; {lost} of {} that the fleet holds have no answer in their time, {unanswered} of the others",
        tries.len()
    ));
    // From 3 in 1,000 on the rule is broken.
    Ok((lost + unanswered) * 1000 < 3 * all)
}
