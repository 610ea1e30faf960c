//! `jaspershunt capture …`: analyses captures.

use clap::Subcommand;
use jaspershunt::Action;
use jaspershunt_capture::minimise::minimise;
use jaspershunt_capture::reader::{Part, parts};
use jaspershunt_capture::record::{Header, Record, Round};
use jaspershunt_capture::summary::{Summary, summary};
use jaspershunt_capture::what_if::{Overrides, what_if};
use jaspershunt_capture::{edit, replay, rules, trace};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit code if a check fails or a difference is found.
const WRONG: u8 = 1;
/// The exit code if a file cannot be read or written.
const UNREADABLE: u8 = 2;

/// The `capture` commands.
#[derive(Debug, Subcommand)]
pub enum Captures {
    /// Run the present decision code on the recorded events, and stop at the first decision that differs.
    Replay {
        /// The capture.
        file: PathBuf,
        /// The number of replays.
        #[arg(long, default_value_t = 1)]
        times: u32,
        /// The start, in seconds after its beginning.
        #[arg(long, value_name = "SECONDS")]
        from: Option<f64>,
    },
    /// Print a summary in figures.
    Summary {
        /// The capture.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Explain what became of one request.
    Why {
        /// The capture.
        file: PathBuf,
        /// The request: its correlation id, or its number.
        request: String,
    },
    /// Show the decisions with other settings or in this build, for the same events (open loop).
    WhatIf {
        /// The capture.
        file: PathBuf,
        /// The number of cores.
        #[arg(long)]
        cores: Option<u32>,
        /// Memory for requests, in kilobytes.
        #[arg(long)]
        memory_kb: Option<f64>,
        /// Requests on the cores, for each core, that the server survives.
        #[arg(long)]
        crowd_multiple: Option<f64>,
        /// Its share of the calls that the one dependency survives.
        #[arg(long)]
        fair_calls: Option<f64>,
    },
    /// Shrink it to few requests that still show a broken rule, or the refusal of one request.
    Minimise {
        /// The capture.
        file: PathBuf,
        /// The request whose refusal is to be shown, by correlation id or number; a broken rule if omitted.
        #[arg(long, value_name = "REQUEST")]
        refused: Option<String>,
        /// The output file.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Check it against the four rules, independently of the decision code.
    Rules {
        /// The capture.
        file: PathBuf,
    },
    /// Show the differences of two captures.
    Diff {
        /// The first capture.
        one: PathBuf,
        /// The second capture.
        other: PathBuf,
    },
    /// Write a part of it to a file.
    Cut {
        /// The capture.
        file: PathBuf,
        /// The start, in seconds after its beginning.
        #[arg(long, value_name = "SECONDS", default_value_t = 0.0)]
        from: f64,
        /// The end, in seconds after its beginning.
        #[arg(long, value_name = "SECONDS", default_value_t = f64::INFINITY)]
        to: f64,
        /// Replace the names of requests.
        #[arg(long)]
        redact: bool,
        /// The output file.
        #[arg(short, long, value_name = "FILE")]
        out: PathBuf,
    },
}

/// A message and an exit code.
type Exit = (String, u8);

/// Runs a `capture` command.
pub fn run(what: &Captures) -> ExitCode {
    let done = match what {
        Captures::Replay { file, times, from } => {
            read(file).and_then(|bytes| replay_it(&bytes, *times, *from))
        }
        Captures::Summary { file, json } => all(file).map(|parts| sum_up(&summary(&parts), *json)),
        Captures::Why { file, request } => all(file).and_then(|parts| match trace::trace(&parts, request) {
            Some(trace) => Ok((trace.text(), 0)),
            None => Err((format!("{}: no request {request} arrives in it\n", file.display()), WRONG)),
        }),
        Captures::WhatIf { file, cores, memory_kb, crowd_multiple, fair_calls } => {
            let (memory_kb, crowd_multiple) = (*memory_kb, *crowd_multiple);
            let others = Overrides { cores: *cores, memory_kb, crowd_multiple, fair_calls: *fair_calls };
            all(file).map(|parts| (what_if(&parts, &others).to_string(), 0))
        }
        Captures::Minimise { file, refused, out } => {
            all(file).and_then(|parts| shrink(&parts, refused.as_deref(), out))
        }
        Captures::Rules { file } => all(file).map(|parts| {
            let broken = rules::check(&parts);
            let mut text: String =
                broken.iter().fold(String::new(), |text, broken| text + &broken.to_string() + "\n");
            let _ = writeln!(text, "{} broken rules", broken.len());
            (text, if broken.is_empty() { 0 } else { WRONG })
        }),
        Captures::Diff { one, other } => {
            all(one).and_then(|one| Ok(differ(&summary(&one), &summary(&all(other)?))))
        }
        Captures::Cut { file, from, to, redact, out } => {
            read(file).and_then(|bytes| cut(&bytes, *from, *to, *redact, out))
        }
    };
    match done {
        Ok((text, code)) => {
            print!("{text}");
            ExitCode::from(code)
        }
        Err((text, code)) => {
            eprint!("{text}");
            ExitCode::from(code)
        }
    }
}

fn read(file: &Path) -> Result<Vec<u8>, Exit> {
    std::fs::read(file).map_err(|e| (format!("{}: cannot be read: {e}\n", file.display()), UNREADABLE))
}

fn all(file: &Path) -> Result<Vec<Part>, Exit> {
    let bytes = read(file)?;
    let parts = parts(&bytes).map_err(|e| (format!("{}: {e}\n", file.display()), UNREADABLE))?;
    Ok(parts.collect())
}

/// Returns the module's clock at the first round.
fn begins(parts: &[Part]) -> f64 {
    let first = parts.iter().find_map(|part| match part {
        Part::Block { header, .. } => Some(header.starts_at),
        Part::Corrupt { .. } => None,
    });
    first.unwrap_or(0.0)
}

fn wrong(e: impl std::fmt::Display) -> Exit {
    (format!("{e}\n"), UNREADABLE)
}

fn replay_it(bytes: &[u8], times: u32, from: Option<f64>) -> Result<Exit, Exit> {
    let whole: Vec<Part> = parts(bytes).map_err(wrong)?.collect();
    let from = from.map_or(f64::NEG_INFINITY, |seconds| begins(&whole) + seconds);
    // The replay begins with the last state at or before the start.
    let state = |part: &Part| matches!(part, Part::Block { header, .. } if header.snapshot && header.starts_at <= from);
    let first = whole.iter().rposition(state).unwrap_or(0);
    let mut text = String::new();
    let mut results = Vec::new();
    for _ in 0..times.max(1) {
        results.push(replay::replay(&whole[first..]));
    }
    let result = &results[0];
    let _ = writeln!(
        text,
        "{} rounds decide the same, {} cannot be replayed, {} are missing; {} states; {} steps beside the module are the same",
        result.same, result.skipped, result.missing, result.snapshots, result.same_auxiliary_steps
    );
    for spoilt in &result.corrupt {
        let _ = writeln!(text, "spoilt: {spoilt}");
    }
    if let Some(difference) = &result.difference {
        let _ = writeln!(text, "{difference}");
    }
    if let Some(difference) = &result.auxiliary_difference {
        let _ = writeln!(text, "a step beside the module differs: {difference}");
    }
    let alike = results.iter().filter(|other| *other == result).count();
    let _ = writeln!(text, "{alike} of {} replays came to this", results.len());
    let same = result.difference.is_none() && result.auxiliary_difference.is_none();
    let good = same && alike == results.len() && result.same > 0;
    Ok((text, if good { 0 } else { WRONG }))
}

fn sum_up(summary: &Summary, json: bool) -> Exit {
    if json {
        // Serialization fails only on non-finite numbers, which only a capture with such clocks has.
        return (serde_json::to_string_pretty(summary).unwrap_or_default() + "\n", 0);
    }
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} (program {}): {:.1} s from Unix time {:.3}, {} rounds in {} blocks, {} states",
        summary.nodo,
        summary.version,
        summary.seconds,
        summary.from_unix,
        summary.rounds,
        summary.blocks,
        summary.snapshots
    );
    let _ = writeln!(
        text,
        "{} rounds are missing in {} places, {} places are spoilt",
        summary.missing,
        summary.gaps,
        summary.spoilt.len()
    );
    for spoilt in &summary.spoilt {
        let _ = writeln!(text, "  {spoilt}");
    }
    let _ = writeln!(
        text,
        "{:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}  served in ms: 50 %, 90 %, 99 %, most",
        "class", "read", "runs", "served", "refused", "failed", "gone"
    );
    for (name, class) in &summary.classes {
        let times = class.served_ms.map_or(String::new(), |ms| ms.map(|ms| format!("{ms:.0}")).join(", "));
        let _ = writeln!(
            text,
            "{name:<24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}  {times}",
            class.read, class.runs, class.served, class.refused, class.failed, class.gone
        );
    }
    let callers: Vec<String> =
        summary.refused_callers.iter().map(|(caller, n)| format!("{caller} ({n})")).collect();
    let _ = writeln!(
        text,
        "callers refused most: {}",
        if callers.is_empty() { "none".to_string() } else { callers.join(", ") }
    );
    let _ = writeln!(
        text,
        "most open at once: {}; settings changed {} times",
        summary.most_open, summary.changes
    );
    (text, 0)
}

fn differ(one: &Summary, other: &Summary) -> Exit {
    let mut text = String::new();
    let per_second = |count: u64, summary: &Summary| count as f64 / summary.seconds.max(1e-9);
    let _ = writeln!(
        text,
        "{} {:.1} s against {} {:.1} s, by the second",
        one.nodo, one.seconds, other.nodo, other.seconds
    );
    let names: std::collections::BTreeSet<&String> = one.classes.keys().chain(other.classes.keys()).collect();
    for name in names {
        let (a, b) = (
            one.classes.get(name).cloned().unwrap_or_default(),
            other.classes.get(name).cloned().unwrap_or_default(),
        );
        let _ = writeln!(text, "{name}");
        for (what, a, b) in [
            ("read", a.read, b.read),
            ("runs", a.runs, b.runs),
            ("served", a.served, b.served),
            ("refused", a.refused, b.refused),
            ("failed", a.failed, b.failed),
            ("gone", a.gone, b.gone),
        ] {
            let (a, b) = (per_second(a, one), per_second(b, other));
            let _ = writeln!(text, "  {what:<8} {a:>9.1} {b:>9.1} {:>+9.1}", b - a);
        }
        if let (Some(a), Some(b)) = (a.served_ms, b.served_ms) {
            let _ = writeln!(text, "  99 % ms  {:>9.0} {:>9.0} {:>+9.0}", a[2], b[2], b[2] - a[2]);
        }
    }
    (text, 0)
}

/// Finds a state and the rounds after it that show the finding, and minimises them.
fn shrink(parts: &[Part], refused: Option<&str>, out: &Path) -> Result<Exit, Exit> {
    let wanted = match refused {
        None => None,
        Some(request) => match trace::trace(parts, request) {
            Some(trace) => Some(trace.request.id),
            None => return Err((format!("no request {request} arrives in it\n"), WRONG)),
        },
    };
    let shows = |head: &Header, rounds: &[Round]| match wanted {
        Some(wanted) => rounds
            .iter()
            .flat_map(|round| &round.actions)
            .any(|action| matches!(action, Action::Refuse { id, .. } if *id == wanted)),
        None => !rules::check_rounds(&head.settings, rounds).is_empty(),
    };
    // Each state, with the rounds up to the next state or gap.
    let mut runs: Vec<(Header, Vec<u8>, Vec<Round>)> = Vec::new();
    let mut head = None;
    for part in parts {
        let Part::Block { records, .. } = part else {
            head = None;
            continue;
        };
        for record in records {
            match record {
                Record::Header(this) => head = Some(this.clone()),
                Record::Gap { .. } => head = None,
                Record::Snapshot(state) => {
                    if let Some(head) = &head {
                        runs.push((head.clone(), state.clone(), Vec::new()));
                    }
                }
                // Only the module is replayed when a capture is minimised.
                Record::AuxiliaryStates(_) | Record::AuxiliarySteps(_) => {}
                Record::Round(round) => {
                    if let (Some(run), true) = (runs.last_mut(), head.is_some()) {
                        run.2.push(round.clone());
                    }
                }
            }
        }
    }
    for (head, state, rounds) in &runs {
        let Some(small) = minimise(state, rounds, |rounds| shows(head, rounds)) else { continue };
        let bytes = edit::build_capture(head, state.clone(), &small).map_err(wrong)?;
        std::fs::write(out, &bytes)
            .map_err(|e| (format!("{}: cannot be written: {e}\n", out.display()), UNREADABLE))?;
        let (before, after) = (rounds.len(), small.len());
        return Ok((format!("{}: {after} rounds of {before} still show it\n", out.display()), 0));
    }
    Err(("nothing between two states shows it\n".to_string(), WRONG))
}

fn cut(bytes: &[u8], from: f64, to: f64, redact: bool, out: &Path) -> Result<Exit, Exit> {
    let whole: Vec<Part> = parts(bytes).map_err(wrong)?.collect();
    let began = begins(&whole);
    let Some(mut cut) = edit::cut(bytes, began + from, began + to).map_err(wrong)? else {
        return Err(("no state stands before that part\n".to_string(), WRONG));
    };
    if redact {
        cut = edit::redact(&cut).map_err(wrong)?;
    }
    let rounds: usize = parts(&cut)
        .map_err(wrong)?
        .map(|part| match part {
            Part::Block { records, .. } => {
                records.iter().filter(|record| matches!(record, Record::Round(_))).count()
            }
            Part::Corrupt { .. } => 0,
        })
        .sum();
    std::fs::write(out, &cut)
        .map_err(|e| (format!("{}: cannot be written: {e}\n", out.display()), UNREADABLE))?;
    Ok((format!("{}: {rounds} rounds, {} bytes\n", out.display(), cut.len()), 0))
}
