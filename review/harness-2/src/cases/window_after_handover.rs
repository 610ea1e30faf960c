//! A later process takes over while a keyed request runs, and then takes settings with a longer window.

use super::{place, runs_of};
use crate::balancer::{Connection, Try};
use crate::interpreter::Interpreter;
use crate::{Case, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

const KEY: &str = "0a5c1e77b3d94c50a1b7c6d5e4f30212";
const BODY: &str = "document 2;ms=3500";
/// The window in the settings of the start, and in those that follow.
const WINDOWS: [&str; 2] = ["\"windowS\":5.5,\"worth\":5.0", "\"windowS\":42.867,\"worth\":5.0"];

fn a_try(n: u16) -> Try {
    Try {
        id: n,
        uid: format!("{:016x}", 0x6100 + n),
        class: "registrar",
        key: Some(KEY.to_string()),
        body: BODY.to_string(),
        resent: n > 1,
    }
}

/// Plays the case.
pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let (first, second) =
        (Interpreter::start("interpreter A", 2, record), Interpreter::start("interpreter B", 2, record));
    let mut before = place(case);
    let mut after = before.clone();
    before.settings = before.settings.replace(WINDOWS[1], WINDOWS[0]);
    after.settings = after.settings.replace(WINDOWS[0], WINDOWS[1]);
    if before.settings == after.settings {
        return Verdict::NotRun("the settings have no such window".to_string());
    }
    let mut earlier = before.start("first", first.address, record);
    if !earlier.ready(Duration::from_secs(20)) {
        return Verdict::NotRun("the nodo does not become ready".to_string());
    }
    sleep(Duration::from_millis(1200));
    let Ok(caller) = Connection::open(before.listen, 1, record) else {
        return Verdict::NotRun("the nodo takes no connection".to_string());
    };
    let began = Instant::now();
    let until = |ms| sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    caller.send(&a_try(1));
    until(200);
    let later = if case.trouble {
        let later = before.start("later", second.address, record);
        if !later.ready(Duration::from_secs(6)) {
            return Verdict::NotRun("the later process does not say yes within 6 s".to_string());
        }
        record.line("process later says yes to PING");
        earlier.signal("TERM");
        Some(later)
    } else {
        None
    };
    // The caller waits 2 s for its first try.
    until(2000);
    caller.take_back(1);
    [&first, &second].iter().for_each(|one| one.request_over(&a_try(1).uid));
    // Over a second after the process began to serve.
    until(2500);
    let (serves, vm) = match &later {
        Some(later) => (later, second.address),
        None => (&earlier, first.address),
    };
    record.line("platform: puts settings with a window of 42.867 s, before 5.5 s, into the file");
    if std::fs::write(&serves.config, after.config(vm, serves.admin)).is_err() {
        return Verdict::NotRun("the file cannot be written".to_string());
    }
    serves.signal("HUP");
    until(3000);
    if !serves.call("INFO").contains("\"conf_loaded\":1") {
        return Verdict::NotRun(format!("the settings are not taken: {}", serves.call("INFO")));
    }
    record.line("the settings are taken");
    // The run ends at 3.5 s, and the earlier process with it.
    until(5000);
    if case.trouble {
        record.line(&format!("process first has ended: {}", earlier.exit().is_some()));
    }
    until(8000);
    let Ok(again) = Connection::open(before.listen, 1, record) else {
        return Verdict::NotRun("the nodo takes no connection".to_string());
    };
    again.send(&a_try(2));
    let last = again.answer(2, Duration::from_secs(14));
    sleep(Duration::from_millis(300));
    let runs = runs_of(&[&first, &second], BODY);
    let last = last.map_or("no answer".to_string(), |answer| format!("status {}", answer.status));
    let text = format!("the keyed request ran {runs} times; its second try, 8 s after the first, got {last}");
    match runs {
        0 => Verdict::NotRun("the request did not run".to_string()),
        1 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
