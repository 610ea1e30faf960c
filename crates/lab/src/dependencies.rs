//! The experiment on several dependencies. Each of three in turn is slowed, fails, refuses, hangs and flaps, under the
//! same arrivals with the operator's file and, as the baseline, with the nodo's one pool and no budgets; and the learned
//! limit is held against a sweep of fixed ones at three capacities that the nodo is not told.

use crate::load::{Played, Stream, arrivals, play, whole};
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
/// Requests a second of each class; the dependencies could take 200.
const RATE: f64 = 80.0;
const SLOTS: usize = 4;
const SERVICE: Duration = Duration::from_millis(20);
/// Calls in hand that the file allows each dependency.
const CALLS: usize = 8;

/// The parts of a run; what comes before the first is not counted.
const CALM: f64 = 1.0;
const BREAKS: f64 = 3.0;
const HEALS: f64 = 6.0;
const ENDS: f64 = 9.0;
/// Runs at once: each is a process and a thread, and takes a tenth of a core.
const AT_ONCE: usize = 10;

/// The bounds.
const OTHERS: f64 = 0.97;
const RETRIES: f64 = 0.10;
const HEALED: f64 = 0.95;
const LIMIT: f64 = 0.95;

/// The limits of the sweep, and the slots that the nodo is not told.
const SWEEP: [usize; 9] = [2, 4, 6, 8, 10, 14, 20, 26, 34];
const HIDDEN: [usize; 3] = [4, 10, 24];
const HIDDEN_SERVICE: Duration = Duration::from_millis(40);
/// The load on a hidden capacity, as a multiple of it.
const DEMAND: f64 = 1.3;
const SETTLED: f64 = 2.0;
const SWEPT: f64 = 5.0;

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
        let (from, until) = (Duration::from_secs_f64(BREAKS), Duration::from_secs_f64(HEALS));
        match self {
            Fault::Slow => Script::fault(from, Mode::Slow(20.0), until),
            Fault::Failing => Script::fault(from, Mode::Failing, until),
            Fault::Refusing => Script::fault(from, Mode::Refusing, until),
            Fault::Hanging => Script::fault(from, Mode::Hanging, until),
            Fault::Flapping => Script::flap(from, Mode::Failing, Duration::from_millis(500), until),
        }
    }
}

fn file() -> String {
    let mut text = String::new();
    for (place, name) in NAMES.iter().enumerate() {
        let fall_back = if *name == "a" { "  fall_back = \"b\"\n" } else { "" };
        // Writing to a String cannot fail.
        let _ = write!(
            text,
            "dependency \"{name}\" {{\n  addresses = [\"{{{place}}}\"]\n  calls = {CALLS}\n  connections = {CALLS}\n  \
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

/// What one run showed.
#[derive(Clone, Debug, Default)]
struct Shown {
    /// Shares of the requests served whole, of those that do not need what is broken: in the calm part, while it is.
    others: (f64, f64),
    /// Of all: in the calm part, and in the third second after healing.
    all: (f64, f64),
    /// Calls beyond the first for the same run and place, and first ones, while it is broken.
    beyond: (usize, usize),
    /// Moments at which a dependency had more in hand than its budget.
    over_budget: usize,
    untrue: usize,
    doubled: usize,
    partial: usize,
    other_faults: usize,
    /// Of those that do not need what is broken, the share served whole in each quarter of a second.
    over_time: Vec<(f64, f64)>,
}

fn share(played: &Played, from: f64, to: f64, of: impl Fn(&str) -> bool) -> f64 {
    let within = |at: &Duration| (from..to).contains(&at.as_secs_f64());
    let of = played.sent.iter().filter(|(at, one)| within(at) && of(&one.request.class));
    let (sent, served) =
        of.fold((0, 0), |(sent, served), (_, one)| (sent + 1, served + usize::from(whole(one))));
    served as f64 / f64::from(sent.max(1))
}

async fn break_one(nodo: &Path, fault: Fault, broken: usize, budgets: bool, seed: u64) -> io::Result<Shown> {
    let plan = SitePlan {
        dependencies: NAMES
            .iter()
            .map(|name| DependencyConfig { seed, ..DependencyConfig::new(name, SLOTS, SERVICE) })
            .collect(),
        classes: CLASSES.to_vec(),
        file: budgets.then(file),
        cores: 6,
        part: Duration::from_millis(2),
    };
    let site = Site::start(nodo, &plan).await?;
    let streams: Vec<Stream> = CLASSES
        .iter()
        .map(|(class, keyed)| Stream { class, keyed: *keyed, rate: RATE, repeats: 0.1, things: 10_000 })
        .collect();
    let arrivals = arrivals(&streams, Duration::from_secs_f64(ENDS), seed);
    let dependency = site.dependencies[broken].clone();
    let script = spawn_local(async move { fault.script().play(&dependency).await });
    let offsets: Vec<f64> = site.dependencies.iter().map(|d| d.age().as_secs_f64()).collect();
    let played = play(&site, arrivals, |_, _| {}).await;
    let _ = script.await;
    let sent: Vec<truth::Sent> = played.sent.iter().map(|(_, sent)| sent.clone()).collect();
    let all: Vec<&Dependency> = site.dependencies.iter().collect();
    let faults = truth::check(&sent, &site.interpreter, &all);
    let needs = CLASSES[broken].0;
    let other = |class: &str| class != needs;
    let quarter = |n: usize| (n as f64 / 4.0, (n + 1) as f64 / 4.0);
    let shown = Shown {
        others: (share(&played, CALM, BREAKS, other), share(&played, BREAKS, HEALS, other)),
        all: (share(&played, CALM, BREAKS, |_| true), share(&played, HEALS + 2.0, ENDS, |_| true)),
        beyond: beyond(&site.dependencies, &offsets),
        over_budget: site.dependencies.iter().map(|d| over(&d.record())).sum(),
        untrue: faults.labels.len(),
        doubled: faults.doubled.len() + faults.repeated.len(),
        partial: faults.partial.len(),
        other_faults: faults.unanswered.len() + faults.refused.len(),
        over_time: (0..(ENDS * 4.0) as usize)
            .map(quarter)
            .map(|(from, to)| (from, share(&played, from, to, other)))
            .collect(),
    };
    site.stop().await;
    Ok(shown)
}

fn over(record: &Record) -> usize {
    record.calls.iter().filter(|call| call.in_flight > CALLS).count()
}

/// Calls beyond the first for the same run and place, and first ones, that came while one was broken.
fn beyond(dependencies: &[Dependency], offsets: &[f64]) -> (usize, usize) {
    let mut calls = Vec::new();
    for (dependency, offset) in dependencies.iter().zip(offsets) {
        for call in &dependency.record().calls {
            calls.push((call.arrived.as_secs_f64() - offset, call.uid.clone(), call.body.clone()));
        }
    }
    calls.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut known = BTreeSet::new();
    let (mut beyond, mut first) = (0, 0);
    for (came, uid, body) in calls {
        let new = known.insert((uid, body));
        if (BREAKS..HEALS).contains(&came) {
            if new { first += 1 } else { beyond += 1 }
        }
    }
    (beyond, first)
}

/// Calls a second that a dependency of hidden capacity did well, and that came back in time.
async fn limited(nodo: &Path, slots: usize, fixed: Option<usize>, seed: u64) -> io::Result<f64> {
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
        dependencies: vec![DependencyConfig { seed, ..DependencyConfig::new("a", slots, HIDDEN_SERVICE) }],
        classes: vec![("look", false)],
        file: Some(file),
        cores: 16,
        part: Duration::from_millis(1),
    };
    let site = Site::start(nodo, &plan).await?;
    let rate = DEMAND * slots as f64 / HIDDEN_SERVICE.as_secs_f64();
    let stream = Stream { class: "look", keyed: false, rate, repeats: 0.0, things: 1_000_000 };
    let offset = site.dependencies[0].age().as_secs_f64();
    play(&site, arrivals(&[stream], Duration::from_secs_f64(SWEPT), seed), |_, _| {}).await;
    let counted = |came: Duration| (SETTLED..SWEPT).contains(&(came.as_secs_f64() - offset));
    let well = {
        let record = site.dependencies[0].record();
        record.calls.iter().filter(|call| call.ended == Ended::Succeeded && counted(call.arrived)).count()
    };
    site.stop().await;
    Ok(well as f64 / (SWEPT - SETTLED))
}

/// Does all of a list, so many at once, each on a thread of its own.
fn in_waves<I: Copy + Send + Sync, T: Send>(
    what: &str,
    list: &[I],
    run: impl Fn(I) -> io::Result<T> + Sync,
) -> io::Result<Vec<T>> {
    let mut done = Vec::new();
    for (wave, part) in list.chunks(AT_ONCE).enumerate() {
        eprintln!("{what}: {} of {}", wave * AT_ONCE + part.len(), list.len());
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

/// Measures, prints a table, and returns whether all bounds hold.
pub fn measure(nodo: &Path, out: Option<&Path>, seed: u64) -> io::Result<bool> {
    let mut runs: Vec<(Fault, usize, bool)> = Vec::new();
    for fault in FAULTS {
        for broken in 0..NAMES.len() {
            runs.extend([(fault, broken, true), (fault, broken, false)]);
        }
    }
    let shown = in_waves("dependencies broken in turn", &runs, |(fault, broken, budgets)| {
        on_one_thread(break_one(nodo, fault, broken, budgets, seed))
    })?;
    let mut limits: Vec<(usize, Option<usize>)> = Vec::new();
    for slots in HIDDEN {
        limits.extend(SWEEP.map(|limit| (slots, Some(limit))));
        limits.push((slots, None));
    }
    let goodput = in_waves("limits, fixed and learned", &limits, |(slots, fixed)| {
        on_one_thread(limited(nodo, slots, fixed, seed))
    })?;

    let mut rows = Vec::new();
    let mut panels = Vec::new();
    for fault in FAULTS {
        let of = |budgets: bool| -> Vec<&Shown> {
            let same = |(run, _): &(&(Fault, usize, bool), &Shown)| run.0 == fault && run.2 == budgets;
            runs.iter().zip(&shown).filter(same).map(|(_, shown)| shown).collect()
        };
        let (ours, base) = (of(true), of(false));
        let least = |of: &[&Shown], ratio: &dyn Fn(&Shown) -> f64| {
            of.iter().map(|shown| ratio(shown)).fold(f64::INFINITY, f64::min)
        };
        let others = |shown: &Shown| shown.others.1 / shown.others.0.max(1e-9);
        let healed = |shown: &Shown| shown.all.1 / shown.all.0.max(1e-9);
        let beyond = |shown: &Shown| shown.beyond.0 as f64 / shown.beyond.1.max(1) as f64;
        let most_beyond = ours.iter().map(|shown| beyond(shown)).fold(0.0, f64::max);
        rows.push(vec![
            fault.name().to_string(),
            format!("{:.3}", least(&ours, &others)),
            format!("{:.3}", least(&base, &others)),
            format!("{:.3}", least(&ours, &healed)),
            format!("{:.3}", least(&base, &healed)),
            format!("{:.1} %", most_beyond * 100.0),
        ]);
        let mean = |of: &[&Shown]| -> Vec<(f64, f64)> {
            let points = of.iter().map(|shown| shown.over_time.len()).min().unwrap_or(0);
            let at =
                |n: usize| of.iter().map(|shown| shown.over_time[n].1).sum::<f64>() / of.len().max(1) as f64;
            (0..points).map(|n| (of[0].over_time[n].0, at(n))).collect()
        };
        panels.push(Panel {
            title: format!("{}: requests that do not need the broken dependency, served whole", fault.name()),
            x: format!("seconds; it breaks at {BREAKS} and heals at {HEALS}"),
            y: "share".to_string(),
            lines: vec![
                Line { name: "with the operator's file".to_string(), points: mean(&ours) },
                Line { name: "one pool, no budgets".to_string(), points: mean(&base) },
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
    let mut worst_limit = f64::INFINITY;
    for slots in HIDDEN {
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
        worst_limit = worst_limit.min(learned / best.1);
        let mut row = vec![slots.to_string()];
        row.extend(fixed.iter().map(|(_, goodput)| format!("{goodput:.0}")));
        row.extend([format!("{learned:.0}"), format!("{:.3}", learned / best.1)]);
        limit_rows.push(row);
        let points = fixed.iter().map(|(limit, goodput)| (*limit as f64, *goodput)).collect();
        limit_lines.push(Line { name: format!("{slots} slots, fixed limit"), points });
        let most = *SWEEP.last().unwrap_or(&1) as f64;
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
    limit_head.extend(SWEEP.iter().map(|limit| format!("limit {limit}")));
    limit_head.extend(["learned".to_string(), "learned / best".to_string()]);
    let limit_head: Vec<&str> = limit_head.iter().map(String::as_str).collect();
    let limits_table = table(&limit_head, &limit_rows);

    let ours: Vec<&Shown> =
        runs.iter().zip(&shown).filter(|(run, _)| run.2).map(|(_, shown)| shown).collect();
    let sum = |of: &dyn Fn(&Shown) -> usize| ours.iter().map(|shown| of(shown)).sum::<usize>();
    let least = |of: &dyn Fn(&Shown) -> f64| ours.iter().map(|shown| of(shown)).fold(f64::INFINITY, f64::min);
    let none = |of: usize| (of.to_string(), "0".to_string(), of == 0);
    let others = least(&|shown| shown.others.1 / shown.others.0.max(1e-9));
    let healed = least(&|shown| shown.all.1 / shown.all.0.max(1e-9));
    let beyond = ours.iter().map(|s| s.beyond.0 as f64 / s.beyond.1.max(1) as f64).fold(0.0, f64::max);
    let bounds: Vec<(&str, (String, String, bool))> = vec![
        ("answers whose label differs from the records", none(sum(&|shown| shown.untrue))),
        ("moments at which a dependency held more than its budget", none(sum(&|shown| shown.over_budget))),
        (
            "goodput of requests that do not need the broken one, against calm",
            (format!("{others:.3}"), format!("≥ {OTHERS}"), others >= OTHERS),
        ),
        (
            "calls beyond the first while one fails",
            (format!("{:.1} %", beyond * 100.0), format!("≤ {:.0} %", RETRIES * 100.0), beyond <= RETRIES),
        ),
        (
            "goodput in the third second after healing, against calm",
            (format!("{healed:.3}"), format!("≥ {HEALED}"), healed >= HEALED),
        ),
        (
            "learned limit, against the best fixed one",
            (format!("{worst_limit:.3}"), format!("≥ {LIMIT}"), worst_limit >= LIMIT),
        ),
        ("keyed runs or calls doubled", none(sum(&|shown| shown.doubled))),
        ("partial answers of keyed classes", none(sum(&|shown| shown.partial))),
        ("requests unanswered, or refused after they ran", none(sum(&|shown| shown.other_faults))),
    ];
    let rows: Vec<Vec<String>> = bounds
        .iter()
        .map(|(what, (measured, bound, holds))| {
            vec![what.to_string(), measured.clone(), bound.clone(), verdict(*holds)]
        })
        .collect();
    let bounds_table = table(&["figure", "measured", "bound", ""], &rows);
    let short: Vec<&str> = bounds.iter().filter(|(_, (.., holds))| !holds).map(|(what, _)| *what).collect();
    let last = match short.is_empty() {
        true => "dependencies: holds".to_string(),
        false => format!("dependencies: falls short: {}", short.join("; ")),
    };
    println!("{bounds_table}\n\n{faults_table}\n\n{limits_table}\n\n{last}");
    if let Some(folder) = out {
        write_down(folder, &panels, &[&bounds_table, &faults_table, &limits_table], &last, seed)?;
    }
    Ok(short.is_empty())
}

fn write_down(folder: &Path, panels: &[Panel], tables: &[&str; 3], last: &str, seed: u64) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    chart(&folder.join("dependencies.svg"), panels).map_err(|e| io::Error::other(e.to_string()))?;
    let [bounds, faults, limits] = tables;
    let text = format!(
        "# Several dependencies, measured\n\n    make measure-dependencies OUT=docs/measured   # seed {seed}\n\n\
         Three dependencies of {SLOTS} slots, {ms} ms a call; {RATE} requests a second of each of three classes, of which \
         each needs one dependency. One breaks from second {BREAKS} to {HEALS} of {ENDS}. The baseline is the same nodo \
         without an operator's file: one pool, one bound, the same arrivals.\n\n{bounds}\n\n## By fault\n\n{faults}\n\n\
         ## The learned limit\n\nCalls a second that a dependency did well, asked for {DEMAND} times what it can, by the \
         limit on calls in hand. It works on so many calls at once, {hidden} ms each, and slows down when it holds \
         more.\n\n{limits}\n\n![Goodput over time and by limit](dependencies.svg)\n\n{last}\n",
        ms = SERVICE.as_millis(),
        hidden = HIDDEN_SERVICE.as_millis(),
    );
    std::fs::write(folder.join("dependencies.md"), text)
}
