//! A balancer takes a try of a keyed request back a little after it wrote the next try of it.

use super::{place, runs_of};
use crate::balancer::{Connection, Try, abort};
use crate::interpreter::Interpreter;
use crate::{Case, Verdict};
use std::thread::sleep;
use std::time::Duration;

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";
const BODY: &str = "document 1;ms=1500";

fn a_try(n: u16) -> Try {
    Try {
        id: n,
        uid: format!("{:016x}", 0x5100 + n),
        class: "registrar",
        key: Some(KEY.to_string()),
        body: BODY.to_string(),
        resent: n > 1,
    }
}

/// Plays the case.
pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let interpreter = Interpreter::start("interpreter", 2, record);
    let place = place(case);
    let process = place.start("first", interpreter.address, record);
    if !process.ready(Duration::from_secs(20)) {
        return Verdict::NotRun("the nodo does not become ready".to_string());
    }
    let Ok(others) = Connection::open(place.listen, 1, record) else {
        return Verdict::NotRun("the nodo takes no connection".to_string());
    };
    let Ok(caller) = Connection::open(place.listen, 2, record) else {
        return Verdict::NotRun("the nodo takes no connection".to_string());
    };
    // Both cores are busy for 3 s, so that the keyed request waits.
    for n in 1..=2 {
        let read = Try {
            id: n,
            uid: format!("{:016x}", 0x5200 + n),
            class: "consulta",
            key: None,
            body: format!("read {n};ms=3000"),
            resent: false,
        };
        others.send(&read);
    }
    sleep(Duration::from_millis(300));
    caller.send(&a_try(1));
    // The caller waits 1 s for the first try and 2.5 s for the second.
    for (given_up, waits) in [(1, 1000), (2, 2500)] {
        sleep(Duration::from_millis(waits));
        if let Some(answer) = caller.answer(given_up, Duration::ZERO) {
            return Verdict::NotRun(format!("try {given_up} was answered too soon, with {}", answer.status));
        }
        let next = caller.encode(&a_try(given_up + 1));
        let uid = a_try(given_up).uid;
        let (before, after) = if case.trouble { ("", " after that") } else { (" before that", "") };
        record.line(&format!("balancer 2: takes try {uid} back{before}{after}, in the same write"));
        let bytes = match case.trouble {
            true => [next, abort(given_up)].concat(),
            false => [abort(given_up), next].concat(),
        };
        caller.write(&bytes);
        interpreter.request_over(&uid);
    }
    let last = caller.answer(3, Duration::from_secs(14));
    for n in 1..=2 {
        others.answer(n, Duration::from_secs(1));
    }
    sleep(Duration::from_millis(300));
    let runs = runs_of(&[&interpreter], BODY);
    let last = last.map_or("no answer".to_string(), |answer| format!("status {}", answer.status));
    let text = format!("the keyed request ran {runs} times; its last try got {last}");
    if runs > 1 { Verdict::Broken(text) } else { Verdict::Held(text) }
}
