//! The lab: runs loads against a real nodo with fake servers around it, and reports its measurements.

mod capture;
mod cpu;
mod demo;
mod dependencies;
mod fleet;
mod freezes;
mod load;
mod partial;
mod report;
mod site;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Run loads against a nodo on loopback, with fakes of all servers that it connects to.
#[derive(Debug, Parser)]
#[command(name = "jaspershunt-lab", version, about)]
struct Cli {
    /// Path of the nodo's program; by default the one beside this program.
    #[arg(long, value_name = "PATH", global = true)]
    nodo: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show a nodo with three dependencies under load, one of which breaks and heals.
    Demo,
    /// Show five nodos as a fleet with two tasks, while a holder is killed, the leader is paused, and a link
    /// is cut.
    DemoFleet,
    /// Measure one subsystem and print a table. The last line and the exit code (0 or 1) tell whether the
    /// bounds hold.
    Measure {
        /// Subsystem to measure.
        #[arg(value_parser = ["dependencies", "capture", "freezes", "leases", "fleet-load", "partial"])]
        what: String,
        /// Also write the table and any chart to this folder.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        /// Seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Of `leases`, measure only this many kills of the leader while another nodo holds a lease.
        #[arg(long, value_name = "KILLS")]
        leaders: Option<usize>,
        /// Duration of the fault injection; for `partial` only.
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Number of rounds with consecutive seeds, reported together; for `partial` only.
        #[arg(long, default_value_t = 1)]
        rounds: u64,
    },
    /// Simulate fleets under seeded faults, without a nodo.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Compare the CPU time of two nodos for the same requests, without an operator's file.
    Cpu {
        /// Path of the other nodo's program.
        #[arg(long, value_name = "PATH")]
        against: PathBuf,
        /// Number of pairs of runs.
        #[arg(long, default_value_t = 9)]
        runs: usize,
        /// Requests per second; by default as on the fast day of the bench.
        #[arg(long, default_value_t = 800.0)]
        rate: f64,
        /// Duration of a run.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
}

#[derive(Debug, Subcommand)]
enum FleetCommand {
    /// Print the timeline of one schedule.
    Replay {
        /// Seed of the schedule.
        seed: u64,
        /// Remove the faults that the failure does not need.
        #[arg(long)]
        shrink: bool,
        /// Print the whole timeline, not only its end.
        #[arg(long)]
        all: bool,
    },
    /// Remove each rule in turn, and print which schedule detects that.
    Mutants {
        /// Only rules whose names contain this text.
        #[arg(long, default_value = "")]
        rule: String,
        /// Maximum number of schedules for each rule, of either kind.
        #[arg(long, default_value_t = 4000)]
        schedules: u64,
        /// Number of threads.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
    /// Run many schedules, half of them targeted; exit with 1 if an invariant was broken.
    Soak {
        /// First seed of either half.
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// Time limit: no schedule starts after it.
        #[arg(long)]
        seconds: Option<u64>,
        /// Number of schedules.
        #[arg(long, default_value_t = 2000)]
        schedules: u64,
        /// Number of threads.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
}

fn play_fleet(command: &FleetCommand) -> bool {
    match *command {
        FleetCommand::Replay { seed, shrink, all } => fleet::replay(seed, shrink, all),
        FleetCommand::Mutants { schedules, threads, ref rule } => {
            fleet::mutants(schedules, threads, rule);
            true
        }
        FleetCommand::Soak { from, schedules, threads, seconds } => {
            fleet::long_soak(from, schedules, threads, seconds.map(Duration::from_secs))
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Command::Fleet { command } = &cli.command {
        return if play_fleet(command) { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    let nodo = cli.nodo.unwrap_or_else(|| {
        let here = std::env::current_exe().unwrap_or_default();
        here.with_file_name("jaspershunt")
    });
    if !nodo.is_file() {
        eprintln!(
            "{} does not exist: build it with `make build`, or give another path with --nodo",
            nodo.display()
        );
        return ExitCode::from(2);
    }
    let holds = match cli.command {
        Command::Fleet { .. } => Ok(true),
        Command::DemoFleet => fleet::demo::run(&nodo),
        Command::Demo => demo::run(&nodo),
        Command::Measure { what, out, seed, leaders, seconds, rounds } => match what.as_str() {
            "capture" => capture::measure(&nodo, out.as_deref(), seed),
            "leases" if leaders.is_some() => fleet::measure::leaders(&nodo, seed, leaders.unwrap_or(0)),
            "fleet-load" => fleet::load::measure(&nodo, out.as_deref(), seed),
            "leases" => fleet::measure::measure(&nodo, out.as_deref(), seed),
            "partial" => {
                let parameters = partial::Parameters { seed, rounds, length: Duration::from_secs(seconds) };
                partial::measure(&nodo, out.as_deref(), parameters)
            }
            "freezes" => freezes::measure(&nodo, out.as_deref(), seed),
            _ => dependencies::measure(&nodo, out.as_deref(), seed),
        },
        Command::Cpu { against, runs, rate, seconds } => {
            cpu::compare(&nodo, &against, runs, rate, Duration::from_secs(seconds))
        }
    };
    match holds {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
