//! A demonstration of a nodo with three dependencies under load, one of which hangs for a while.

use crate::load::{LoadResult, Stream, arrivals, play, served_in_full};
use crate::report::table;
use crate::site::{Site, SitePlan, cpu_seconds, memory_kib, on_one_thread};
use hdrhistogram::Histogram;
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig, Mode};
use jaspershunt_stand_ins::truth;
use std::io;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

const DURATION: Duration = Duration::from_secs(20);
const BREAK_AT: Duration = Duration::from_secs(5);
const HEAL_AT: Duration = Duration::from_secs(12);
/// Load of each class.
const RATE_PER_SECOND: f64 = 60.0;
const CLASSES: [(&str, bool); 3] =
    [("consulta-estado", false), ("verificar-firma", false), ("registrar-firma", true)];
const NAMES: [&str; 3] = ["padron", "certificados", "registro"];

const OPERATOR_FILE: &str = r#"
dependency "padron" {
  addresses = ["{0}"]
  share     = "30%"
  timeout   = "500ms"
  breaker {
    slow  = "300ms"
    least = 10
  }
}
dependency "certificados" {
  addresses = ["{1}"]
  share     = "30%"
}
dependency "registro" {
  addresses = ["{2}"]
  share     = "30%"
}
route "consulta-estado" {
  repeat  = "safe"
  without = false
  call "any" {
    to   = "padron"
    kept = "30s"
  }
}
route "verificar-firma" {
  repeat = "safe"
  call "any" { to = "certificados" }
}
route "registrar-firma" {
  repeat = "keyed"
  call "any" { to = "registro" }
}
"#;

/// Runs the demonstration. Returns whether all answers were complete, labelled correctly and not duplicated.
pub fn run(nodo: &Path) -> io::Result<bool> {
    println!(
        "One nodo, three dependencies, {:.0} requests a second for {} s.",
        RATE_PER_SECOND * 3.0,
        DURATION.as_secs()
    );
    println!(
        "\"{}\" hangs from second {} to {}; consulta-estado needs it, the other two classes do not.\n",
        NAMES[0],
        BREAK_AT.as_secs(),
        HEAL_AT.as_secs()
    );
    on_one_thread(demonstrate(nodo))
}

async fn demonstrate(nodo: &Path) -> io::Result<bool> {
    let plan = SitePlan {
        dependencies: NAMES
            .iter()
            .map(|name| DependencyConfig::new(name, 6, Duration::from_millis(25)))
            .collect(),
        classes: CLASSES.to_vec(),
        file: Some(OPERATOR_FILE.to_string()),
        cores: 6,
        core_time: Duration::from_millis(3),
    };
    let site = Site::start(nodo, &plan).await?;
    let streams: Vec<Stream> = CLASSES
        .iter()
        .map(|(class, keyed)| Stream {
            class,
            keyed: *keyed,
            rate: RATE_PER_SECOND,
            repeats: 0.1,
            distinct_bodies: 40,
        })
        .collect();
    let broken = site.dependencies[0].clone();
    let script = spawn_local(async move {
        sleep(BREAK_AT).await;
        broken.set(Mode::Hanging);
        sleep(HEAL_AT - BREAK_AT).await;
        broken.set(Mode::Good);
    });
    println!(
        " second  answers  whole  kept  failed  refused  p99 of the others  in hand: {}",
        NAMES.join(" / ")
    );
    let mut seen = 0;
    let dependencies: Vec<Dependency> = site.dependencies.clone();
    let load = play(&site, arrivals(&streams, DURATION, 1), |second, load| {
        println!("{}", second_row(second, &load.sent[seen..], &dependencies));
        seen = load.sent.len();
    })
    .await;
    let _ = script.await;
    let process = site.process_id().unwrap_or(0);
    let (cpu, memory) = (cpu_seconds(process).unwrap_or(0.0), memory_kib(process).unwrap_or(0));
    print_summary(&load);
    let sent: Vec<_> = load.sent.iter().map(|(_, sent)| sent.clone()).collect();
    let all: Vec<&Dependency> = site.dependencies.iter().collect();
    let faults = truth::check(&sent, &site.interpreter, &all);
    let per_request = cpu * 1e6 / sent.len().max(1) as f64;
    println!("\nThe nodo took {cpu:.2} s of CPU ({per_request:.0} µs a request) and {} MiB.", memory / 1024);
    println!(
        "Compared with the records: {} false labels, {} doubled keys, {} partial answers of keyed requests, {} unanswered.",
        faults.labels.len(),
        faults.doubled.len(),
        faults.partial.len(),
        faults.unanswered.len()
    );
    println!("\nIts log:");
    site.log().lines().for_each(|line| println!("  {line}"));
    site.stop().await;
    if !faults.is_empty() {
        println!("{faults:#?}");
    }
    Ok(faults.is_empty())
}

type SentAt = (Duration, truth::Sent);

fn second_row(second: u64, sent: &[SentAt], dependencies: &[Dependency]) -> String {
    let count = |of: &dyn Fn(&truth::Sent) -> bool| sent.iter().filter(|(_, one)| of(one)).count();
    let in_flight: Vec<String> = dependencies.iter().map(|d| d.in_flight().to_string()).collect();
    let others = latency(sent.iter().filter(|(_, one)| one.request.class != CLASSES[0].0));
    let state = match dependencies[0].mode() {
        Mode::Good => "",
        _ => "   padron hangs",
    };
    format!(
        "{second:7}  {:7}  {:5}  {:4}  {:6}  {:7}  {:14.0} ms  {:>9}{state}",
        sent.len(),
        count(&served_in_full),
        count(&|one| one.answer.header("x-answer-stale-ms").is_some()),
        count(&|one| one.answer.status == 500),
        count(&|one| one.answer.status == 503),
        others.value_at_quantile(0.99) as f64 / 1000.0,
        in_flight.join(" / "),
    )
}

/// Builds a histogram of the latency in microseconds of the served requests.
fn latency<'a>(sent: impl Iterator<Item = &'a SentAt>) -> Histogram<u64> {
    // Up to a minute with three significant figures; the library accepts both.
    let mut histogram =
        Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("bounds are good"));
    for (_, one) in sent.filter(|(_, one)| one.answer.status == 200) {
        histogram.saturating_record(one.answer.took.as_micros() as u64);
    }
    histogram
}

fn print_summary(load: &LoadResult) {
    let phases = [
        ("before", Duration::ZERO, BREAK_AT),
        ("while it hangs", BREAK_AT, HEAL_AT),
        ("after", HEAL_AT, DURATION),
    ];
    let mut rows = Vec::new();
    for (class, _) in CLASSES {
        for (phase, from, to) in phases {
            let of: Vec<&SentAt> = load
                .sent
                .iter()
                .filter(|(at, one)| one.request.class == class && *at >= from && *at < to)
                .collect();
            let share = |matches: &dyn Fn(&truth::Sent) -> bool| {
                let count = of.iter().filter(|(_, one)| matches(one)).count();
                format!("{:.1} %", count as f64 * 100.0 / of.len().max(1) as f64)
            };
            let took = latency(of.iter().copied());
            let ms = |quantile| format!("{:.0} ms", took.value_at_quantile(quantile) as f64 / 1000.0);
            rows.push(vec![
                class.to_string(),
                phase.to_string(),
                of.len().to_string(),
                share(&served_in_full),
                share(&|one| one.answer.header("x-answer-stale-ms").is_some()),
                share(&|one| one.answer.status == 500),
                share(&|one| one.answer.status == 503),
                ms(0.5),
                ms(0.99),
            ]);
        }
    }
    let head = ["class", "phase", "sent", "whole", "kept reply", "failed", "refused", "p50", "p99"];
    println!("\n{}", table(&head, &rows));
}
