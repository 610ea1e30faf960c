//! The link to the interpreter breaks now and then while runs make calls.

use crate::load::{Balancer, Habit, Outcome};
use crate::nodo::{Config, Folder, Nodo, cordoba, free_address, settings};
use crate::peers::{Interpreter, database, directory};
use crate::{Setting, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The link breaks each time after so long.
const BETWEEN: Duration = Duration::from_millis(2130);
const BREAKS: usize = 44;

pub fn play(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let folder = Folder::new(&setting.tmp.join("case").to_string_lossy());
    let interpreter = Interpreter::start("interpreter", record);
    let config = Config {
        name: "n1".into(),
        listen: free_address(),
        admin: free_address(),
        vm: interpreter.address,
        lookup: directory(record),
        db: database(record),
        stop_ms: 3200,
        memory_mb: 192,
        sockets: 512,
        settings: settings(&cordoba())
            .replace("\"classCalls\": [false, false, false]", "\"classCalls\": [true, false, true]")
            .replace("\"fairCalls\": 5.5", "\"fairCalls\": 40.0")
            // All keys of a window take a fifth of the memory.
            .replace("\"keyKb\": 104.05", "\"keyKb\": 1.4"),
    };
    let (file, tmp) = (folder.0.join("config.json"), folder.sub("tmpdir"));
    let mut nodo = Nodo::start("the nodo", &setting.run, "", &config, &file, &tmp, record);
    if !nodo.ready(Duration::from_secs(20)) {
        return Err("the nodo is not ready".into());
    }
    sleep(Duration::from_millis(500));
    let balancers: Vec<Balancer> = (1..=8)
        .map(|balancer| {
            let habit = Habit {
                balancer,
                every: Duration::from_millis(8),
                classes: vec!["consulta-estado", "consulta-estado", "registrar-firma", "consulta-estado"],
                keyed: "registrar-firma",
                work_ms: vec![4, 6, 5, 7, 3],
                calls: 2,
                body_bytes: 300,
                wait: Duration::from_millis(14500),
            };
            Balancer::start(config.listen, habit, record)
        })
        .collect();
    let began = Instant::now();
    sleep(Duration::from_secs(3));
    for _ in 0..BREAKS {
        sleep(BETWEEN);
        if setting.trouble {
            interpreter.break_link();
        }
    }
    sleep(Duration::from_secs(1));
    let all: Vec<Outcome> = balancers.into_iter().flat_map(Balancer::finish).collect();
    if let Some(how) = nodo.ended() {
        record.say(&format!("the nodo has ended: {how}"));
        return Ok(false);
    }
    let served: Vec<&str> =
        all.iter().filter(|o| o.answer.as_ref().is_some_and(|a| a.served())).map(|o| o.uid.as_str()).collect();
    let wrong = interpreter.wrong();
    let told = wrong.iter().filter(|what| served.iter().any(|uid| what.contains(uid))).count();
    for what in &wrong {
        record.say(what);
    }
    record.say(&format!(
        "{} requests in {} s, {} served; {} calls got another call's reply, {told} of these runs were answered as served",
        all.len(),
        began.elapsed().as_secs(),
        served.len(),
        wrong.len()
    ));
    if served.len() < all.len() / 2 {
        return Err("too few requests were served for a verdict".into());
    }
    Ok(wrong.is_empty())
}
