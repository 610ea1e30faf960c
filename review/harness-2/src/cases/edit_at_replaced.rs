//! An operator's edit of the route table is given to a process that a later start of its nodo has replaced.

use super::place;
use crate::interpreter::Interpreter;
use crate::nodo::{Place, Process, free_address};
use crate::{Case, Verdict};
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time in which a fleet that answers has to take an edit: 15 times the life of a lease.
const PATIENCE: Duration = Duration::from_secs(30);

/// One nodo of the fleet, in a folder of its own.
fn member(case: &Case, n: usize, voters: &str) -> std::io::Result<Place> {
    let folder = case.folder.join(format!("n{n}"));
    std::fs::create_dir_all(&folder)?;
    let site = folder.join("site.hcl");
    let fleet = folder.join("fleet");
    let text = format!(
        "fleet {{\n  name = \"cordoba\"\n  folder = \"{}\"\n  ttl = \"2s\"\n{voters}}}\nteam \"pagos\" {{}}\n",
        fleet.display()
    );
    std::fs::write(&site, text)?;
    if n == 1 {
        let found = Command::new(case.root.join("target/release/jaspershunt"))
            .args(["fleet", "found"])
            .arg(&fleet)
            .args(["--fleet", "cordoba", "--member", "n1"])
            .status()?;
        if !found.success() {
            return Err(std::io::Error::other("the fleet cannot be founded"));
        }
    }
    Ok(Place { name: format!("n{n}"), operator: Some(site), folder, ..place(case) })
}

/// Waits until all three voters vote; returns whether they do.
fn votes(process: &Process, within: Duration) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if process.call("FLEET SHOW").matches("\"votes\":true").count() >= 3 {
            return true;
        }
        sleep(Duration::from_millis(100));
    }
    false
}

/// Plays the case.
pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let voters: String = (1..=3)
        .map(|n| format!("  voter \"n{n}\" {{\n    address = \"{}\"\n  }}\n", free_address()))
        .collect();
    let interpreter = Interpreter::start("interpreter", 2, record);
    let (mut places, mut processes) = (Vec::new(), Vec::new());
    for n in 1..=3 {
        match member(case, n, &voters) {
            Ok(place) => places.push(place),
            Err(e) => return Verdict::NotRun(e.to_string()),
        }
        processes.push(places[n - 1].start(
            &format!("n{n}-first"),
            Interpreter::start("interpreter", 2, record).address,
            record,
        ));
    }
    if !processes.iter().all(|process| process.ready(Duration::from_secs(20))) {
        return Verdict::NotRun("the nodos do not become ready".to_string());
    }
    if !votes(&processes[1], Duration::from_secs(30)) {
        return Verdict::NotRun(format!("the voters do not vote: {}", processes[1].call("FLEET SHOW")));
    }
    record.line("fleet: three voters vote");
    let later = if case.trouble {
        let later = places[2].start("n3-later", interpreter.address, record);
        if !later.ready(Duration::from_secs(6)) {
            return Verdict::NotRun("the later process does not say yes within 6 s".to_string());
        }
        record.line("process n3-later says yes to PING");
        Some(later)
    } else {
        None
    };
    // The fleet answers all along: an edit at another nodo shows that.
    let edit = |number: u64| {
        format!(
            "{{\"edit\":{{\"id\":{{\"team\":\"pagos\",\"number\":{number}}},\"base\":0,\"reason\":\"a place\",\"changes\":[{{\"add\":{{\"thing\":\"region/r{number}\"}}}}]}}}}"
        )
    };
    let said = |process: &Process, name: &str, number: u64| {
        let text = edit(number);
        let answer = process.say(&format!("ROUTES SAY {}", text.len()), &text);
        record.line(&format!("operator: edit pagos/{number} at process {name}; answer: {}", answer.trim()));
        answer
    };
    sleep(Duration::from_millis(300));
    let answer = said(&processes[2], "n3-first", 1);
    if answer.starts_with("-ERR") || answer.is_empty() {
        return Verdict::Held("the edit was not accepted, so nothing is promised".to_string());
    }
    said(&processes[0], "n1-first", 2);
    sleep(Duration::from_millis(700));
    if case.trouble {
        processes[2].signal("TERM");
        let ended = processes[2].ends(Duration::from_millis(3700));
        record.line(&format!("process n3-first has ended: {ended}"));
    }
    let asked = later.as_ref().unwrap_or(&processes[2]);
    let until = Instant::now() + PATIENCE;
    let (mut first, mut second) = (false, false);
    while Instant::now() < until && !(first && second) {
        let shown = processes[0].call("ROUTES SHOW");
        (first, second) = (shown.contains("pagos/1\""), shown.contains("pagos/2\""));
        sleep(Duration::from_millis(200));
    }
    record.line(&format!("n1 shows: {}", processes[0].call("ROUTES SHOW").trim()));
    record.line(&format!("n3 shows: {}", asked.call("ROUTES SHOW").trim()));
    let held: Vec<String> = std::fs::read_dir(places[2].folder.join("fleet/edits"))
        .into_iter()
        .flatten()
        .flatten()
        .map(|file| file.file_name().to_string_lossy().into_owned())
        .collect();
    record.line(&format!("files in n3's folder of edits: {held:?}"));
    match (first, second) {
        (_, false) => Verdict::NotRun("the fleet takes no edit".to_string()),
        (true, true) => Verdict::Held("both edits are in the fleet".to_string()),
        (false, true) => Verdict::Broken(format!(
            "the accepted edit is not in the fleet after {} s, while a later one at another nodo is",
            PATIENCE.as_secs()
        )),
    }
}
