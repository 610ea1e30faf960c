//! The experiment on captures: a nodo records overloads during which a dependency fails. Each capture is
//! replayed ten times and from each of its snapshots. The cost of recording is measured too.

use crate::load::{Stream, arrivals, play};
use crate::report::{Figure, verdict};
use crate::site::{Site, SitePlan, cpu_seconds, memory_kib, on_one_thread};
use jaspershunt_capture::reader::{Part, parts};
use jaspershunt_capture::replay::replay;
use jaspershunt_capture::rules;
use jaspershunt_capture::summary::summary;
use jaspershunt_stand_ins::dependency::{DependencyConfig, Mode};
use jaspershunt_stand_ins::script::Script;
use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Number of captures, and replays of each.
const CAPTURES: u64 = 10;
const REPLAYS: usize = 10;
/// Duration of a load, and the time in which the dependency fails.
const LOAD_SECONDS: f64 = 4.0;
const BREAK_AT_SECONDS: f64 = 1.5;
const HEAL_AT_SECONDS: f64 = 2.5;
/// Load of each of two classes: together about twice the capacity of the cores.
const RATE_PER_SECOND: f64 = 160.0;
const COST_PAIRS: u64 = 9;
const RING: &str = "2MiB";
const RING_KIB: u64 = 2048;

/// Bounds of the figures.
const MIN_REPLAY_SPEED: f64 = 100.0;
const MAX_CPU_RATIO: f64 = 1.05;
const MAX_BYTES_PER_REQUEST: f64 = 200.0;
/// Allowance beyond the capture's ring: a thread, its stack and a block under construction.
const SLACK_KIB: u64 = 1024;

fn site_plan(folder: Option<&Path>) -> SitePlan {
    let registro = DependencyConfig::new("registro", 32, Duration::from_millis(5));
    let capture = folder.map_or(String::new(), |folder| {
        format!(
            "capture {{\n  folder = \"{}\"\n  ring = \"{RING}\"\n  snapshot = \"1s\"\n}}\n",
            folder.display()
        )
    });
    let file = format!(
        "dependency \"registro\" {{\n  addresses = [\"{{0}}\"]\n  calls = 24\n  connections = 24\n  share = \"90%\"\n}}\n\
         route \"look\" {{\n  repeat = \"safe\"\n  call \"any\" {{ to = \"registro\" }}\n}}\n\
         route \"sign\" {{\n  repeat = \"keyed\"\n  call \"any\" {{ to = \"registro\" }}\n}}\n{capture}"
    );
    SitePlan {
        dependencies: vec![registro],
        classes: vec![("look", false), ("sign", true)],
        file: Some(file),
        cores: 2,
        core_time: Duration::from_millis(6),
    }
}

fn streams(rate: f64) -> [Stream; 2] {
    let look = Stream { class: "look", keyed: false, rate, repeats: 0.0, distinct_bodies: 500 };
    [look.clone(), Stream { class: "sign", keyed: true, repeats: 0.2, ..look }]
}

/// Runs a load with captures on. Returns the bytes of the capture.
async fn record_capture(nodo: &Path, seed: u64) -> io::Result<Vec<u8>> {
    let folder = tempfile::tempdir()?;
    let site = Site::start(nodo, &site_plan(Some(folder.path()))).await?;
    let (from, until) = (Duration::from_secs_f64(BREAK_AT_SECONDS), Duration::from_secs_f64(HEAL_AT_SECONDS));
    let registro = site.dependencies[0].clone();
    spawn_local(async move { Script::fault(from, Mode::Failing, until).play(&registro).await });
    play(&site, arrivals(&streams(RATE_PER_SECOND), Duration::from_secs_f64(LOAD_SECONDS), seed), |_, _| {})
        .await;
    let process = site.process_id().ok_or_else(|| io::Error::other("the nodo has ended"))?;
    let asked = tokio::process::Command::new("kill").args(["-USR1", &process.to_string()]).status().await?;
    if !asked.success() {
        return Err(io::Error::other("the nodo could not be sent SIGUSR1"));
    }
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        for entry in std::fs::read_dir(folder.path())? {
            let path = entry?.path();
            if path.to_string_lossy().ends_with("-asked.jshcap") {
                let bytes = std::fs::read(path)?;
                site.stop().await;
                return Ok(bytes);
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Err(io::Error::other(format!("no capture was written: {}", site.log())))
}

/// Measures the CPU of the engine's thread for each request, in microseconds, and the memory in KiB, with
/// captures or without.
async fn measure_cost(nodo: &Path, seed: u64, on: bool) -> io::Result<(f64, u64)> {
    let folder = tempfile::tempdir()?;
    let mut plan = site_plan(on.then(|| folder.path()));
    plan.cores = 16;
    let site = Site::start(nodo, &plan).await?;
    let process = site.process_id().ok_or_else(|| io::Error::other("the nodo has ended"))?;
    let before = cpu_seconds(process).unwrap_or(0.0);
    let played = play(&site, arrivals(&streams(400.0), Duration::from_secs(2), seed), |_, _| {}).await;
    let cpu = cpu_seconds(process).unwrap_or(0.0) - before;
    let memory = memory_kib(process).unwrap_or(0);
    site.stop().await;
    Ok((cpu * 1e6 / played.sent.len().max(1) as f64, memory))
}

/// The evaluation of one capture.
struct CaptureResult {
    rounds: u64,
    identical: usize,
    from_snapshots: (usize, usize),
    refused: u64,
    broken_rules: usize,
    speed: f64,
    bytes_per_request: f64,
}

fn evaluate(bytes: &[u8]) -> io::Result<CaptureResult> {
    let all: Vec<Part> = parts(bytes).map_err(io::Error::other)?.collect();
    let sum = summary(&all);
    let began = Instant::now();
    let replays: Vec<_> = (0..REPLAYS).map(|_| replay(&all)).collect();
    let took = began.elapsed().as_secs_f64() / REPLAYS as f64;
    let good = |replayed: &jaspershunt_capture::replay::ReplayReport| {
        replayed.difference.is_none()
            && replayed.corrupt.is_empty()
            && replayed.same > 0
            && replayed.skipped == 0
    };
    let identical = replays.iter().filter(|other| good(other) && **other == replays[0]).count();
    let snapshots: Vec<usize> = (0..all.len())
        .filter(|n| matches!(&all[*n], Part::Block { header, .. } if header.snapshot))
        .collect();
    let same = snapshots.iter().filter(|from| good(&replay(&all[**from..]))).count();
    let read: u64 = sum.classes.values().map(|class| class.read).sum();
    Ok(CaptureResult {
        rounds: sum.rounds,
        identical,
        from_snapshots: (same, snapshots.len()),
        refused: sum.classes.values().map(|class| class.refused).sum(),
        broken_rules: rules::check(&all).len(),
        speed: sum.seconds / took.max(1e-9),
        bytes_per_request: bytes.len() as f64 / read.max(1) as f64,
    })
}

/// Runs the measurement and prints its report. Returns whether all bounds hold.
///
/// # Errors
/// A site does not start, or no capture is written.
pub fn measure(nodo: &Path, out: Option<&Path>, seed: u64) -> io::Result<bool> {
    let mut results = Vec::new();
    for batch in (0..CAPTURES).collect::<Vec<_>>().chunks(5) {
        let captures: Vec<io::Result<Vec<u8>>> = thread::scope(|scope| {
            let started: Vec<_> = batch
                .iter()
                .map(|n| scope.spawn(move || on_one_thread(record_capture(nodo, seed * 1000 + n))))
                .collect();
            let panicked = || Err(io::Error::other("a run panicked"));
            started.into_iter().map(|run| run.join().unwrap_or_else(|_| panicked())).collect()
        });
        for bytes in captures {
            results.push(evaluate(&bytes?)?);
        }
    }
    let (mut ratios, mut extra_memory_kib) = (Vec::new(), 0);
    for n in 0..COST_PAIRS {
        let side = |on: bool| on_one_thread(measure_cost(nodo, seed * 1000 + n, on));
        let (with, without) = thread::scope(|scope| {
            let other = scope.spawn(|| side(false));
            (side(true), other.join().unwrap_or_else(|_| Err(io::Error::other("a run panicked"))))
        });
        let (with, without) = (with?, without?);
        ratios.push(with.0 / without.0);
        extra_memory_kib = extra_memory_kib.max(with.1.saturating_sub(without.1));
    }
    ratios.sort_by(f64::total_cmp);
    let cpu = ratios[ratios.len() / 2];
    let least = |what: &dyn Fn(&CaptureResult) -> f64| results.iter().map(what).fold(f64::INFINITY, f64::min);
    let most = |what: &dyn Fn(&CaptureResult) -> f64| results.iter().map(what).fold(0.0, f64::max);
    let identical: usize = results.iter().map(|one| one.identical).sum();
    let snapshots =
        results.iter().fold((0, 0), |sum, one| (sum.0 + one.from_snapshots.0, sum.1 + one.from_snapshots.1));
    let broken_rules: usize = results.iter().map(|one| one.broken_rules).sum();
    let speed = least(&|one| one.speed);
    let bytes = most(&|one| one.bytes_per_request);
    let refused = least(&|one| one.refused as f64);
    let whole = CAPTURES as usize * REPLAYS;
    let rows = [
        (
            "replays that decide the same, bit for bit",
            format!("{identical} of {whole}"),
            format!("{whole}"),
            identical == whole,
        ),
        (
            "the same from every state in them",
            format!("{} of {}", snapshots.0, snapshots.1),
            "all".into(),
            snapshots.0 == snapshots.1 && snapshots.1 > 0,
        ),
        ("rules broken, as far as captures show", broken_rules.to_string(), "0".into(), broken_rules == 0),
        (
            "refused in each capture, at least",
            format!("{refused:.0}"),
            "≥ 100: an overload".into(),
            refused >= 100.0,
        ),
        (
            "replay against the time captured",
            format!("{speed:.0} ×"),
            format!("≥ {MIN_REPLAY_SPEED:.0} ×"),
            speed >= MIN_REPLAY_SPEED,
        ),
        (
            "CPU of the engine a request, on against off, median of 9 pairs",
            format!("{cpu:.3}"),
            format!("≤ {MAX_CPU_RATIO}"),
            cpu <= MAX_CPU_RATIO,
        ),
        (
            "bytes a request",
            format!("{bytes:.0}"),
            format!("≤ {MAX_BYTES_PER_REQUEST:.0}"),
            bytes <= MAX_BYTES_PER_REQUEST,
        ),
        (
            "memory beyond that without, KiB",
            extra_memory_kib.to_string(),
            format!("≤ {} (ring) + {SLACK_KIB}", RING_KIB),
            extra_memory_kib <= RING_KIB + SLACK_KIB,
        ),
    ];
    let figures = rows.map(|(what, measured, bound, holds)| Figure::new(what, measured, bound, holds));
    let (bounds, last, holds) = verdict("capture", &figures);
    let rounds: u64 = results.iter().map(|one| one.rounds).sum();
    println!("{bounds}\n\n{rounds} rounds in {CAPTURES} captures\n\n{last}");
    if let Some(folder) = out {
        std::fs::create_dir_all(folder)?;
        let text = format!(
            "# Captures, measured\n\n    make measure-capture OUT=docs/measured   # seed {seed}\n\n{CAPTURES} overloads of {LOAD_SECONDS} s, \
             {RATE_PER_SECOND} requests a second of each of two classes on 2 cores, with the one dependency failing from second {BREAK_AT_SECONDS} to \
             {HEAL_AT_SECONDS}: {rounds} rounds. CPU and memory in pairs at one time, without an overload.\n\n{bounds}\n\n{last}\n"
        );
        std::fs::write(folder.join("capture.md"), text)?;
    }
    Ok(holds)
}
