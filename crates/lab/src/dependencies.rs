//! The experiment on several dependencies. Each of three in turn is slowed, fails, refuses, hangs and flaps,
//! under the same arrivals with the operator's file and, as the baseline, with the nodo's one pool and no
//! budgets. The learned limit is compared with a sweep of fixed limits at three capacities that the nodo does
//! not know.

use crate::load::{LoadResult, Stream, arrivals, play, served_in_full};
use crate::report::{Line, Panel, chart, table};
use crate::site::{Site, SitePlan, on_one_thread};
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig, Ended, Mode, Record};
use jaspershunt_stand_ins::script::Script;
use jaspershunt_stand_ins::truth;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use tokio::task::spawn_local;

const CLASSES: [(&str, bool); 3] = [("look", false), ("find", false), ("sign", true)];
const NAMES: [&str; 3] = ["a", "b", "c"];
/// Load of each class; each dependency has a capacity of 200 calls per second.
const RATE_PER_SECOND: f64 = 80.0;
const SLOTS: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Limit on in-flight calls of each dependency in the operator's file.
const MAX_CALLS: usize = 8;

/// Phases of a run; requests before the first are not counted.
const CALM_FROM_SECONDS: f64 = 1.0;
const BREAK_AT_SECONDS: f64 = 3.0;
const HEAL_AT_SECONDS: f64 = 6.0;
const END_SECONDS: f64 = 9.0;
/// Parallel runs; each is a process and a thread, and takes a tenth of a core.
const PARALLEL_RUNS: usize = 10;

/// Bounds of the figures.
const MIN_OTHERS_GOODPUT: f64 = 0.97;
const MAX_RETRY_SHARE: f64 = 0.10;
const MIN_HEALED_GOODPUT: f64 = 0.95;
const MIN_LEARNED_LIMIT_GOODPUT: f64 = 0.95;

/// Fixed limits of the sweep, and the slots of a dependency that the nodo does not know.
const FIXED_LIMITS: [usize; 9] = [2, 4, 6, 8, 10, 14, 20, 26, 34];
const HIDDEN_SLOTS: [usize; 3] = [4, 10, 24];
const HIDDEN_SERVICE_TIME: Duration = Duration::from_millis(40);
/// Load in the sweep, as a multiple of the dependency's capacity.
const DEMAND_FACTOR: f64 = 1.3;
const SWEEP_COUNTED_FROM_SECONDS: f64 = 2.0;
const SWEEP_SECONDS: f64 = 5.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Slow,
    Failing,
    Refusing,
    Hanging,
    Flapping,
}

const FAULTS: [Fault; 5] = [Fault::Slow, Fault::Failing, Fault::Refusing, Fault::Hanging, Fault::Flapping];

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Fault::Slow => "slowed ×20",
            Fault::Failing => "failing",
            Fault::Refusing => "refusing",
            Fault::Hanging => "hanging",
            Fault::Flapping => "flapping each 0.5 s",
        }
    }

    fn script(self) -> Script {
        let (from, until) =
            (Duration::from_secs_f64(BREAK_AT_SECONDS), Duration::from_secs_f64(HEAL_AT_SECONDS));
        match self {
            Fault::Slow => Script::fault(from, Mode::Slow(20.0), until),
            Fault::Failing => Script::fault(from, Mode::Failing, until),
            Fault::Refusing => Script::fault(from, Mode::Refusing, until),
            Fault::Hanging => Script::fault(from, Mode::Hanging, until),
            Fault::Flapping => Script::flap(from, Mode::Failing, Duration::from_millis(500), until),
        }
    }
}

fn operator_file() -> String {
    let mut text = String::new();
    for (index, name) in NAMES.iter().enumerate() {
        let fall_back = if *name == "a" { "  fall_back = \"b\"\n" } else { "" };
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "dependency \"{name}\" {{\n  addresses = [\"{{{index}}}\"]\n  calls = {MAX_CALLS}\n  connections = {MAX_CALLS}\n  \
             waiting = 12\n  wait = \"150ms\"\n  share = \"33%\"\n  timeout = \"500ms\"\n{fall_back}  \
             breaker {{\n    slow = \"200ms\"\n    window = \"2s\"\n    wait = \"250ms\"\n    longest = \"1s\"\n  }}\n}}\n"
        );
    }
    for ((class, keyed), to) in CLASSES.iter().zip(NAMES) {
        let repeat = if *keyed { "keyed" } else { "safe" };
        let kept = if *class == "look" { "    kept = \"2s\"\n" } else { "" };
        let _ = write!(
            text,
            "route \"{class}\" {{\n  repeat = \"{repeat}\"\n  call \"any\" {{\n    to = \"{to}\"\n{kept}  }}\n}}\n"
        );
    }
    text
}

/// The result of one run.
#[derive(Clone, Debug, Default)]
struct RunResult {
    /// Share of requests served in full among those that do not need the broken dependency: before the fault
    /// and during it.
    others: (f64, f64),
    /// Share of all requests served in full: before the fault, and in the third second after it.
    all: (f64, f64),
    /// Retries and first calls during the fault.
    retries: (usize, usize),
    /// Calls that found more in-flight calls at a dependency than its budget.
    over_budget: usize,
    false_labels: usize,
    doubled: usize,
    partial: usize,
    other_faults: usize,
    /// Share of requests served in full among those that do not need the broken dependency, for each quarter
    /// of a second.
    over_time: Vec<(f64, f64)>,
}

fn share(load: &LoadResult, from: f64, to: f64, of: impl Fn(&str) -> bool) -> f64 {
    let within = |at: &Duration| (from..to).contains(&at.as_secs_f64());
    let of = load.sent.iter().filter(|(at, one)| within(at) && of(&one.request.class));
    let (sent, served) =
        of.fold((0, 0), |(sent, served), (_, one)| (sent + 1, served + usize::from(served_in_full(one))));
    served as f64 / f64::from(sent.max(1))
}

async fn run_with_fault(
    nodo: &Path,
    fault: Fault,
    broken: usize,
    budgets: bool,
    seed: u64,
) -> io::Result<RunResult> {
    let plan = SitePlan {
        dependencies: NAMES
            .iter()
            .map(|name| DependencyConfig { seed, ..DependencyConfig::new(name, SLOTS, SERVICE_TIME) })
            .collect(),
        classes: CLASSES.to_vec(),
        file: budgets.then(operator_file),
        cores: 6,
        core_time: Duration::from_millis(2),
    };
    let site = Site::start(nodo, &plan).await?;
    let streams: Vec<Stream> = CLASSES
        .iter()
        .map(|(class, keyed)| Stream {
            class,
            keyed: *keyed,
            rate: RATE_PER_SECOND,
            repeats: 0.1,
            distinct_bodies: 10_000,
        })
        .collect();
    let arrivals = arrivals(&streams, Duration::from_secs_f64(END_SECONDS), seed);
    let dependency = site.dependencies[broken].clone();
    let script = spawn_local(async move { fault.script().play(&dependency).await });
    let offsets: Vec<f64> = site.dependencies.iter().map(|d| d.age().as_secs_f64()).collect();
    let load = play(&site, arrivals, |_, _| {}).await;
    let _ = script.await;
    let sent: Vec<truth::Sent> = load.sent.iter().map(|(_, sent)| sent.clone()).collect();
    let all: Vec<&Dependency> = site.dependencies.iter().collect();
    let faults = truth::check(&sent, &site.interpreter, &all);
    let needs = CLASSES[broken].0;
    let other = |class: &str| class != needs;
    let quarter = |n: usize| (n as f64 / 4.0, (n + 1) as f64 / 4.0);
    let result = RunResult {
        others: (
            share(&load, CALM_FROM_SECONDS, BREAK_AT_SECONDS, other),
            share(&load, BREAK_AT_SECONDS, HEAL_AT_SECONDS, other),
        ),
        all: (
            share(&load, CALM_FROM_SECONDS, BREAK_AT_SECONDS, |_| true),
            share(&load, HEAL_AT_SECONDS + 2.0, END_SECONDS, |_| true),
        ),
        retries: count_retries(&site.dependencies, &offsets),
        over_budget: site.dependencies.iter().map(|d| calls_over_budget(&d.record())).sum(),
        false_labels: faults.labels.len(),
        doubled: faults.doubled.len() + faults.repeated.len(),
        partial: faults.partial.len(),
        other_faults: faults.unanswered.len() + faults.refused.len(),
        over_time: (0..(END_SECONDS * 4.0) as usize)
            .map(quarter)
            .map(|(from, to)| (from, share(&load, from, to, other)))
            .collect(),
    };
    site.stop().await;
    Ok(result)
}

fn calls_over_budget(record: &Record) -> usize {
    record.calls.iter().filter(|call| call.in_flight > MAX_CALLS).count()
}

/// Counts retries and first calls that arrived during the fault. A retry is a call with the uid and body of
/// an earlier one.
fn count_retries(dependencies: &[Dependency], offsets: &[f64]) -> (usize, usize) {
    let mut calls = Vec::new();
    for (dependency, offset) in dependencies.iter().zip(offsets) {
        for call in &dependency.record().calls {
            calls.push((call.arrived.as_secs_f64() - offset, call.uid.clone(), call.body.clone()));
        }
    }
    calls.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut known = BTreeSet::new();
    let (mut retries, mut first) = (0, 0);
    for (arrived, uid, body) in calls {
        let new = known.insert((uid, body));
        if (BREAK_AT_SECONDS..HEAL_AT_SECONDS).contains(&arrived) {
            if new { first += 1 } else { retries += 1 }
        }
    }
    (retries, first)
}

/// Runs a load on a dependency of hidden capacity. Returns its successful calls per second.
async fn limit_goodput(nodo: &Path, slots: usize, fixed: Option<usize>, seed: u64) -> io::Result<f64> {
    let limit = match fixed {
        Some(limit) => {
            format!("  calls = {limit}\n  connections = {limit}\n  limit {{\n    learned = false\n  }}\n")
        }
        None => "  calls = 48\n  connections = 48\n".to_string(),
    };
    let file = format!(
        "dependency \"a\" {{\n  addresses = [\"{{0}}\"]\n{limit}  waiting = 64\n  wait = \"1s\"\n  share = \"100%\"\n  \
         breaker {{\n    slow = \"10s\"\n  }}\n}}\nroute \"look\" {{\n  repeat = \"safe\"\n  call \"any\" {{ to = \"a\" }}\n}}\n"
    );
    let plan = SitePlan {
        dependencies: vec![DependencyConfig {
            seed,
            ..DependencyConfig::new("a", slots, HIDDEN_SERVICE_TIME)
        }],
        classes: vec![("look", false)],
        file: Some(file),
        cores: 16,
        core_time: Duration::from_millis(1),
    };
    let site = Site::start(nodo, &plan).await?;
    let rate = DEMAND_FACTOR * slots as f64 / HIDDEN_SERVICE_TIME.as_secs_f64();
    let stream = Stream { class: "look", keyed: false, rate, repeats: 0.0, distinct_bodies: 1_000_000 };
    let offset = site.dependencies[0].age().as_secs_f64();
    play(&site, arrivals(&[stream], Duration::from_secs_f64(SWEEP_SECONDS), seed), |_, _| {}).await;
    let counted = |arrived: Duration| {
        (SWEEP_COUNTED_FROM_SECONDS..SWEEP_SECONDS).contains(&(arrived.as_secs_f64() - offset))
    };
    let succeeded = {
        let record = site.dependencies[0].record();
        record.calls.iter().filter(|call| call.ended == Ended::Succeeded && counted(call.arrived)).count()
    };
    site.stop().await;
    Ok(succeeded as f64 / (SWEEP_SECONDS - SWEEP_COUNTED_FROM_SECONDS))
}

/// Runs `run` for each item of a list, in parallel batches with a thread for each item.
fn run_in_batches<I: Copy + Send + Sync, T: Send>(
    what: &str,
    list: &[I],
    run: impl Fn(I) -> io::Result<T> + Sync,
) -> io::Result<Vec<T>> {
    let mut done = Vec::new();
    for (batch, part) in list.chunks(PARALLEL_RUNS).enumerate() {
        eprintln!("{what}: {} of {}", batch * PARALLEL_RUNS + part.len(), list.len());
        let run = &run;
        let results: Vec<io::Result<T>> = thread::scope(|scope| {
            let threads: Vec<_> = part.iter().map(|one| scope.spawn(move || run(*one))).collect();
            threads
                .into_iter()
                .map(|t| t.join().unwrap_or_else(|_| Err(io::Error::other("a run panicked"))))
                .collect()
        });
        for result in results {
            done.push(result?);
        }
    }
    Ok(done)
}

fn verdict(holds: bool) -> String {
    if holds { "holds" } else { "falls short" }.to_string()
}

/// Runs the measurement and prints its report. Returns whether all bounds hold.
pub fn measure(nodo: &Path, out: Option<&Path>, seed: u64) -> io::Result<bool> {
    let mut runs: Vec<(Fault, usize, bool)> = Vec::new();
    for fault in FAULTS {
        for broken in 0..NAMES.len() {
            runs.extend([(fault, broken, true), (fault, broken, false)]);
        }
    }
    let results = run_in_batches("dependencies broken in turn", &runs, |(fault, broken, budgets)| {
        on_one_thread(run_with_fault(nodo, fault, broken, budgets, seed))
    })?;
    let mut limits: Vec<(usize, Option<usize>)> = Vec::new();
    for slots in HIDDEN_SLOTS {
        limits.extend(FIXED_LIMITS.map(|limit| (slots, Some(limit))));
        limits.push((slots, None));
    }
    let goodput = run_in_batches("limits, fixed and learned", &limits, |(slots, fixed)| {
        on_one_thread(limit_goodput(nodo, slots, fixed, seed))
    })?;

    let mut rows = Vec::new();
    let mut panels = Vec::new();
    for fault in FAULTS {
        let of = |budgets: bool| -> Vec<&RunResult> {
            let same = |(run, _): &(&(Fault, usize, bool), &RunResult)| run.0 == fault && run.2 == budgets;
            runs.iter().zip(&results).filter(same).map(|(_, result)| result).collect()
        };
        let (with_file, baseline) = (of(true), of(false));
        let least = |of: &[&RunResult], ratio: &dyn Fn(&RunResult) -> f64| {
            of.iter().map(|result| ratio(result)).fold(f64::INFINITY, f64::min)
        };
        let others = |result: &RunResult| result.others.1 / result.others.0.max(1e-9);
        let healed = |result: &RunResult| result.all.1 / result.all.0.max(1e-9);
        let retries = |result: &RunResult| result.retries.0 as f64 / result.retries.1.max(1) as f64;
        let max_retry_share = with_file.iter().map(|result| retries(result)).fold(0.0, f64::max);
        rows.push(vec![
            fault.name().to_string(),
            format!("{:.3}", least(&with_file, &others)),
            format!("{:.3}", least(&baseline, &others)),
            format!("{:.3}", least(&with_file, &healed)),
            format!("{:.3}", least(&baseline, &healed)),
            format!("{:.1} %", max_retry_share * 100.0),
        ]);
        let mean = |of: &[&RunResult]| -> Vec<(f64, f64)> {
            let points = of.iter().map(|result| result.over_time.len()).min().unwrap_or(0);
            let at = |n: usize| {
                of.iter().map(|result| result.over_time[n].1).sum::<f64>() / of.len().max(1) as f64
            };
            (0..points).map(|n| (of[0].over_time[n].0, at(n))).collect()
        };
        panels.push(Panel {
            title: format!("{}: requests that do not need the broken dependency, served whole", fault.name()),
            x: format!("seconds; it breaks at {BREAK_AT_SECONDS} and heals at {HEAL_AT_SECONDS}"),
            y: "share".to_string(),
            lines: vec![
                Line { name: "with the operator's file".to_string(), points: mean(&with_file) },
                Line { name: "one pool, no budgets".to_string(), points: mean(&baseline) },
            ],
        });
    }
    let head = [
        "fault (worst of three dependencies)",
        "others while it lasts / calm",
        "baseline",
        "all in the 3rd second after / calm",
        "baseline",
        "calls beyond the first",
    ];
    let faults_table = table(&head, &rows);

    let mut limit_rows = Vec::new();
    let mut limit_lines = Vec::new();
    let mut worst_learned_limit = f64::INFINITY;
    for slots in HIDDEN_SLOTS {
        let of: Vec<(Option<usize>, f64)> = limits
            .iter()
            .zip(&goodput)
            .filter(|((of, _), _)| *of == slots)
            .map(|((_, fixed), goodput)| (*fixed, *goodput))
            .collect();
        let learned = of.iter().find(|(fixed, _)| fixed.is_none()).map_or(0.0, |(_, goodput)| *goodput);
        let fixed: Vec<(usize, f64)> =
            of.iter().filter_map(|(fixed, goodput)| Some((((*fixed)?), *goodput))).collect();
        let best = fixed.iter().copied().max_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 1.0));
        worst_learned_limit = worst_learned_limit.min(learned / best.1);
        let mut row = vec![slots.to_string()];
        row.extend(fixed.iter().map(|(_, goodput)| format!("{goodput:.0}")));
        row.extend([format!("{learned:.0}"), format!("{:.3}", learned / best.1)]);
        limit_rows.push(row);
        let points = fixed.iter().map(|(limit, goodput)| (*limit as f64, *goodput)).collect();
        limit_lines.push(Line { name: format!("{slots} slots, fixed limit"), points });
        let most = *FIXED_LIMITS.last().unwrap_or(&1) as f64;
        limit_lines.push(Line {
            name: format!("{slots} slots, learned"),
            points: vec![(1.0, learned), (most, learned)],
        });
    }
    panels.push(Panel {
        title: "Calls a second by the limit on calls in hand".to_string(),
        x: "limit".to_string(),
        y: "calls a second".to_string(),
        lines: limit_lines,
    });
    let mut limit_head: Vec<String> = vec!["hidden slots".to_string()];
    limit_head.extend(FIXED_LIMITS.iter().map(|limit| format!("limit {limit}")));
    limit_head.extend(["learned".to_string(), "learned / best".to_string()]);
    let limit_head: Vec<&str> = limit_head.iter().map(String::as_str).collect();
    let limits_table = table(&limit_head, &limit_rows);

    let with_file: Vec<&RunResult> =
        runs.iter().zip(&results).filter(|(run, _)| run.2).map(|(_, result)| result).collect();
    let sum = |of: &dyn Fn(&RunResult) -> usize| with_file.iter().map(|result| of(result)).sum::<usize>();
    let least = |of: &dyn Fn(&RunResult) -> f64| {
        with_file.iter().map(|result| of(result)).fold(f64::INFINITY, f64::min)
    };
    let none = |of: usize| (of.to_string(), "0".to_string(), of == 0);
    let others = least(&|result| result.others.1 / result.others.0.max(1e-9));
    let healed = least(&|result| result.all.1 / result.all.0.max(1e-9));
    let retries =
        with_file.iter().map(|s| s.retries.0 as f64 / s.retries.1.max(1) as f64).fold(0.0, f64::max);
    let bounds: Vec<(&str, (String, String, bool))> = vec![
        ("answers whose label differs from the records", none(sum(&|result| result.false_labels))),
        ("moments at which a dependency held more than its budget", none(sum(&|result| result.over_budget))),
        (
            "goodput of requests that do not need the broken one, against calm",
            (format!("{others:.3}"), format!("≥ {MIN_OTHERS_GOODPUT}"), others >= MIN_OTHERS_GOODPUT),
        ),
        (
            "calls beyond the first while one fails",
            (
                format!("{:.1} %", retries * 100.0),
                format!("≤ {:.0} %", MAX_RETRY_SHARE * 100.0),
                retries <= MAX_RETRY_SHARE,
            ),
        ),
        (
            "goodput in the third second after healing, against calm",
            (format!("{healed:.3}"), format!("≥ {MIN_HEALED_GOODPUT}"), healed >= MIN_HEALED_GOODPUT),
        ),
        (
            "learned limit, against the best fixed one",
            (
                format!("{worst_learned_limit:.3}"),
                format!("≥ {MIN_LEARNED_LIMIT_GOODPUT}"),
                worst_learned_limit >= MIN_LEARNED_LIMIT_GOODPUT,
            ),
        ),
        ("keyed runs or calls doubled", none(sum(&|result| result.doubled))),
        ("partial answers of keyed classes", none(sum(&|result| result.partial))),
        ("requests unanswered, or refused after they ran", none(sum(&|result| result.other_faults))),
    ];
    let rows: Vec<Vec<String>> = bounds
        .iter()
        .map(|(what, (measured, bound, holds))| {
            vec![what.to_string(), measured.clone(), bound.clone(), verdict(*holds)]
        })
        .collect();
    let bounds_table = table(&["figure", "measured", "bound", ""], &rows);
    let missed: Vec<&str> = bounds.iter().filter(|(_, (.., holds))| !holds).map(|(what, _)| *what).collect();
    let last = match missed.is_empty() {
        true => "dependencies: holds".to_string(),
        false => format!("dependencies: falls short: {}", missed.join("; ")),
    };
    println!("{bounds_table}\n\n{faults_table}\n\n{limits_table}\n\n{last}");
    if let Some(folder) = out {
        write_report(folder, &panels, &[&bounds_table, &faults_table, &limits_table], &last, seed)?;
    }
    Ok(missed.is_empty())
}

fn write_report(
    folder: &Path,
    panels: &[Panel],
    tables: &[&str; 3],
    last: &str,
    seed: u64,
) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    chart(&folder.join("dependencies.svg"), panels).map_err(|e| io::Error::other(e.to_string()))?;
    let [bounds, faults, limits] = tables;
    let text = format!(
        "# Several dependencies, measured\n\n    make measure-dependencies OUT=docs/measured   # seed {seed}\n\n\
         Three dependencies of {SLOTS} slots, {ms} ms a call; {RATE_PER_SECOND} requests a second of each of three classes, of which \
         each needs one dependency. One breaks from second {BREAK_AT_SECONDS} to {HEAL_AT_SECONDS} of {END_SECONDS}. The baseline is the same nodo \
         without an operator's file: one pool, one bound, the same arrivals.\n\n{bounds}\n\n## By fault\n\n{faults}\n\n\
         ## The learned limit\n\nCalls a second that a dependency did succeeded, asked for {DEMAND_FACTOR} times what it can, by the \
         limit on calls in hand. It works on so many calls at once, {hidden} ms each, and slows down when it holds \
         more.\n\n{limits}\n\n![Goodput over time and by limit](dependencies.svg)\n\n{last}\n",
        ms = SERVICE_TIME.as_millis(),
        hidden = HIDDEN_SERVICE_TIME.as_millis(),
    );
    std::fs::write(folder.join("dependencies.md"), text)
}
