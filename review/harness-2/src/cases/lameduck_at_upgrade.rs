//! Operators send clients away while a later process waits for its interpreter.

use super::place;
use crate::balancer::{Connection, health_check};
use crate::interpreter::Interpreter;
use crate::{Case, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// From then on after the call a good answer breaks the rule.
const BAD_FROM: Duration = Duration::from_secs(4);

/// Plays the case.
pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let first = Interpreter::start("interpreter A", 2, record);
    // The later process's address of the interpreter answers 2 s after it connects.
    let second = Interpreter::start_late("interpreter B", 2, Duration::from_secs(2), record);
    let place = place(case);
    let mut earlier = place.start("first", first.address, record);
    if !earlier.ready(Duration::from_secs(20)) {
        return Verdict::NotRun("the nodo does not become ready".to_string());
    }
    // One check every 0.1 s, on a connection of its own, as the platform has it; the status, 0 without an answer.
    let check = |n: u64| {
        let Ok(connection) = Connection::open(place.listen, 100 + n, record) else { return 0 };
        connection.write(&health_check(1));
        let status = connection.answer(1, Duration::from_millis(500)).map_or(0, |answer| answer.status);
        connection.close();
        status
    };
    if check(0) != 200 {
        return Verdict::NotRun("the nodo is not healthy at the start".to_string());
    }
    let later = case.trouble.then(|| place.start("later", second.address, record));
    let started = Instant::now();
    sleep(Duration::from_millis(1000));
    let answer = earlier.call("LAMEDUCK");
    let called = Instant::now();
    record.line(&format!("operator: LAMEDUCK at process first; answer: {}", answer.trim()));
    if !answer.starts_with("+OK") {
        return Verdict::NotRun("the call is not taken".to_string());
    }
    let (mut good_late, mut bad, mut told) = (0, 0, later.is_none());
    let mut n = 1;
    while called.elapsed() < Duration::from_secs(9) {
        if let Some(later) = later.as_ref().filter(|_| !told)
            && later.call("PING").starts_with("+OK")
        {
            told = true;
            record.line(&format!(
                "process later says yes {:.1} s after its start",
                started.elapsed().as_secs_f64()
            ));
            earlier.signal("TERM");
        }
        let at = called.elapsed();
        match check(n) {
            200 if at >= BAD_FROM => good_late += 1,
            200 => {}
            _ => bad += 1,
        }
        n += 1;
        sleep(Duration::from_millis(100));
    }
    if let Some(later) = &later {
        record.line(&format!("process first has ended: {}", earlier.exit().is_some()));
        record.line(&format!("figures of process later: {}", later.call("INFO").trim()));
    }
    let text = format!(
        "{good_late} good answers to health checks later than 4 s after LAMEDUCK, {bad} bad ones in all"
    );
    match (told, good_late) {
        (false, _) => Verdict::NotRun("the later process does not say yes".to_string()),
        (true, 0) => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
