//! The command line.

pub mod capture;
pub mod fleet;
pub mod routes;
pub mod steering;
pub mod work;

use crate::log::Form;
use crate::{config, log};
use clap::{Parser, Subcommand};
use jaspershunt_operator::{File, Problem, explain};
use std::process::ExitCode;
use tracing::Level;

/// Overload control for one server of a fleet: decides which requests it accepts, runs and refuses.
///
/// Without a command it serves balancers as the platform starts it: NODE_CONFIG names the platform's JSON
/// file, and NODE_NAME and NODE_LISTEN, if set, override that file.
#[derive(Debug, Parser)]
#[command(name = "jaspershunt", version, about, long_about)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve balancers until SIGTERM; SIGHUP reads the files again.
    Serve(Serve),
    /// Check an operator's file and print its problems.
    ///
    /// Every message names file, line, column, the key and what was expected. With a platform's file, named
    /// here or by NODE_CONFIG, conflicts with its settings and limits are printed as well. Exits with 0 if
    /// the file can be used, 1 if not, and 2 if a file cannot be read.
    Check {
        /// The operator's file, in HCL.
        file: String,
        /// The platform's file, in JSON.
        #[arg(long, value_name = "FILE", env = "NODE_CONFIG")]
        config: Option<String>,
    },
    /// Analyse captures: replay them, summarise them, explain what became of a request.
    #[command(subcommand)]
    Capture(capture::Captures),
    /// Show the fleet and its tasks, and change their state.
    #[command(subcommand)]
    Fleet(fleet::Fleets),
    /// Show the in-flight work of the fleet.
    #[command(subcommand)]
    Work(work::Works),
    /// Show the fleet's route table, and edit it.
    #[command(subcommand)]
    Routes(routes::Tables),
    /// Show which region serves which group of clients.
    #[command(subcommand)]
    Steering(steering::Steerings),
    /// Print an operator's file with every default filled in.
    Explain {
        /// The operator's file, in HCL.
        file: String,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Options of `serve`.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Serve {
    /// The operator's own file, in HCL. Without it only the platform's file applies.
    #[arg(long, value_name = "FILE")]
    pub operator: Option<String>,
    /// The format of log lines on standard error.
    #[arg(long, value_name = "FORM", default_value = "text")]
    pub log_format: Form,
    /// The lowest level of log lines that are written: error, warn, info, debug or trace.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: LogLevel,
}

/// A level of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogLevel(pub Level);

impl Default for LogLevel {
    fn default() -> LogLevel {
        LogLevel(Level::INFO)
    }
}

impl std::str::FromStr for LogLevel {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<LogLevel, &'static str> {
        text.parse().map(LogLevel).map_err(|_| "expected error, warn, info, debug or trace")
    }
}

/// The exit code if the file has problems.
const WRONG: u8 = 1;
/// The exit code if a file cannot be read.
const UNREADABLE: u8 = 2;

fn report(problems: &[Problem]) -> ExitCode {
    for problem in problems {
        eprintln!("{problem}");
    }
    ExitCode::from(WRONG)
}

fn read(path: &str) -> Result<File, ExitCode> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        eprintln!("{path}: cannot be read: {e}");
        ExitCode::from(UNREADABLE)
    })?;
    jaspershunt_operator::read(path, &text).map_err(|problems| report(&problems))
}

/// Carries out `check`.
pub fn check(path: &str, config: Option<&str>) -> ExitCode {
    let file = match read(path) {
        Ok(file) => file,
        Err(code) => return code,
    };
    let wrong = crate::fleet::against(&file);
    if !wrong.is_empty() {
        wrong.iter().for_each(|what| eprintln!("{path}: {what}"));
        return ExitCode::from(WRONG);
    }
    if let Some(config) = config {
        let platform = config::load(|name| match name {
            "NODE_CONFIG" => Some(config.to_string()),
            other => std::env::var(other).ok(),
        });
        let platform = match platform {
            Ok(platform) => platform,
            Err(e) => {
                eprintln!("{config}: {e}");
                return ExitCode::from(UNREADABLE);
            }
        };
        let wrong = platform.against(&file);
        if !wrong.is_empty() {
            // These are conflicts between two files: each names the key in the operator's.
            wrong.iter().for_each(|what| eprintln!("{path}: {what}"));
            return ExitCode::from(WRONG);
        }
    }
    let (dependencies, routes) = (file.dependency.len(), file.route.len());
    println!("{path}: good: {dependencies} dependencies, {routes} routes");
    ExitCode::SUCCESS
}

/// Carries out `explain`.
pub fn write_out(path: &str, json: bool) -> ExitCode {
    match read(path) {
        Ok(file) if json => match serde_json::to_string_pretty(&file) {
            Ok(text) => println!("{text}"),
            Err(e) => {
                eprintln!("{path}: {e}");
                return ExitCode::from(WRONG);
            }
        },
        Ok(file) => {
            print!("{}", explain::explain(&file));
            // Explains the guarantees of the chosen grades and handovers.
            for (name, task) in &file.task {
                println!("# task {name}: {}", crate::fleet::grade(task).explain());
            }
            for (class, handover) in &file.handover {
                println!("# handover {class}: {}", explain::promise(handover));
            }
        }
        Err(code) => return code,
    }
    ExitCode::SUCCESS
}

/// Starts logging as the options specify.
pub fn start_log(serve: &Serve) {
    log::start(serve.log_format, serve.log_level.0);
}
