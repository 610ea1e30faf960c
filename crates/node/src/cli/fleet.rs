//! `jaspershunt fleet …`: shows and changes the state of the fleet, through any nodo's address for operators.

use clap::{Args, Subcommand};
use jaspershunt_member::driver::{Folder, random};
use jaspershunt_member::member::Disk;
use jaspershunt_member::store::Store;
use jaspershunt_member::voter::VoterState;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The exit code if the nodo or the fleet refused.
pub(super) const REFUSED: u8 = 1;
/// The exit code if nobody answered or a file cannot be used.
pub(super) const UNREACHABLE: u8 = 2;
/// The time limit of the connection and of each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest answer that is read.
const MAX_ANSWER_BYTES: u64 = 32 * 1024 * 1024;

/// The nodo to ask, and the output format.
#[derive(Debug, Args)]
pub struct Target {
    /// Any nodo's address for operators.
    #[arg(long, value_name = "ADDRESS", env = "NODE_ADMIN")]
    pub at: SocketAddr,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// The `fleet` commands.
#[derive(Debug, Subcommand)]
pub enum Fleets {
    /// Show the leader, the voters, and the age of this view.
    Status(Target),
    /// Show the members.
    Members(Target),
    /// Show the leases, with their holders and candidates.
    Leases(Target),
    /// Show the tasks and their runs.
    Tasks(Target),
    /// Run, pause or resume a task.
    #[command(subcommand)]
    Task(Tasks),
    /// Revoke a lease from its holder, which has it until it expires.
    Release {
        /// The lease, such as task/NAME.
        lease: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Create a new fleet in the folder of its first voter, before that voter is started. The others join by
    /// themselves.
    ///
    /// Exits with 2 if the folder belongs to a fleet already.
    Found {
        /// The folder of the operator's file, fleet.folder.
        folder: PathBuf,
        /// The fleet's name, fleet.name.
        #[arg(long)]
        fleet: String,
        /// The nodo's name, which is among the voters.
        #[arg(long)]
        member: String,
    },
}

/// The `fleet task` commands.
#[derive(Debug, Subcommand)]
pub enum Tasks {
    /// Run it now.
    Run {
        /// Its name.
        name: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Pause it: no run begins.
    Pause {
        /// Its name.
        name: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Resume it, also if it was disabled.
    Resume {
        /// Its name.
        name: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
}

/// Runs the command.
pub fn run(what: &Fleets) -> ExitCode {
    match what {
        Fleets::Status(target) => show(target, status),
        Fleets::Members(target) => show(target, members),
        Fleets::Leases(target) => show(target, leases),
        Fleets::Tasks(target) => show(target, tasks),
        Fleets::Task(Tasks::Run { name, target }) => order(target, &format!("FLEET RUN {name}")),
        Fleets::Task(Tasks::Pause { name, target }) => order(target, &format!("FLEET PAUSE {name}")),
        Fleets::Task(Tasks::Resume { name, target }) => order(target, &format!("FLEET RESUME {name}")),
        Fleets::Release { lease, target } => order(target, &format!("FLEET RELEASE {lease}")),
        Fleets::Found { folder, fleet, member } => match found(folder, fleet, member) {
            Ok(disk) => {
                println!(
                    "the fleet {fleet:?} begins with the disk {disk:016x} of {member} in {}",
                    folder.display()
                );
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("{}: {e}", folder.display());
                ExitCode::from(UNREACHABLE)
            }
        },
    }
}

fn found(folder: &std::path::Path, fleet: &str, member: &str) -> Result<u64, String> {
    let opened = Folder(folder.to_path_buf()).open().map_err(|e| e.to_string())?;
    let (mut store, found) =
        Store::open(opened, fleet, member, [random(), random()]).map_err(|e| e.to_string())?;
    if !found.is_new {
        return Err(
            "there is a voter's disk already: a fleet is founded once, on an empty folder".to_string()
        );
    }
    let disk = found.identity.disk;
    store.bootstrap(disk, VoterState::founded(disk, member).save()).map_err(|e| e.to_string())?;
    Ok(disk)
}

/// Sends a line to a nodo and returns its answer.
pub(super) fn ask(at: SocketAddr, line: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    stream.write_all(format!("{line}\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer)?;
    Ok(answer)
}

fn order(target: &Target, line: &str) -> ExitCode {
    match ask(target.at, line) {
        Ok(answer) => match answer.strip_prefix("+OK ") {
            Some(done) => {
                println!("{}", done.trim_end());
                ExitCode::SUCCESS
            }
            None => {
                eprintln!("{}", answer.trim_end().trim_start_matches("-ERR "));
                ExitCode::from(REFUSED)
            }
        },
        Err(e) => {
            eprintln!("{}: {e}", target.at);
            ExitCode::from(UNREACHABLE)
        }
    }
}

pub(super) fn show(target: &Target, text: impl Fn(&Value) -> String) -> ExitCode {
    show_what(target, "FLEET SHOW", text)
}

pub(super) fn show_what(target: &Target, what: &str, text: impl Fn(&Value) -> String) -> ExitCode {
    let answer = match ask(target.at, what) {
        Ok(answer) => answer,
        Err(e) => {
            eprintln!("{}: {e}", target.at);
            return ExitCode::from(UNREACHABLE);
        }
    };
    let shown = answer.strip_suffix("\r\n.\r\n").and_then(|json| serde_json::from_str::<Value>(json).ok());
    match shown {
        Some(shown) if target.json => println!("{shown}"),
        Some(shown) => print!("{}", text(&shown)),
        None => {
            eprintln!("{}", answer.trim_end().trim_start_matches("-ERR "));
            return ExitCode::from(REFUSED);
        }
    }
    ExitCode::SUCCESS
}

/// Formats a value for people.
pub(super) fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_string(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// Describes the source and age of what is shown.
pub(super) fn age(shown: &Value) -> String {
    match shown["age_ms"].as_u64() {
        Some(0) => format!("told by {}, the leader", plain(&shown["by"])),
        Some(ms) => format!("told by {}, which heard from the leader {ms} ms ago", plain(&shown["by"])),
        None => {
            format!("told by {}, which has not heard from a leader: this may be old", plain(&shown["by"]))
        }
    }
}

pub(super) fn columns(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let all: Vec<Vec<String>> =
        std::iter::once(head.iter().map(|name| (*name).to_string()).collect()).chain(rows).collect();
    let widths: Vec<usize> =
        (0..head.len()).map(|n| all.iter().map(|row| row[n].chars().count()).max().unwrap_or(0)).collect();
    let line = |row: &Vec<String>| {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    all.iter().map(line).collect()
}

fn rows(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let row = |entry: &Value| keys.iter().map(|key| plain(&entry[*key])).collect();
    list.as_array().into_iter().flatten().map(row).collect()
}

fn status(shown: &Value) -> String {
    let seats = columns(&["voter", "votes", "disk"], rows(&shown["seats"], &["member", "votes", "disk"]));
    format!(
        "{}\nleads: {}, term {}, {} entries, last token {}\n\n{seats}",
        age(shown),
        plain(&shown["leader"]),
        shown["term"],
        shown["applied"],
        shown["tokens"]
    )
}

fn members(shown: &Value) -> String {
    let keys = ["name", "incarnation", "seat", "heard_ms"];
    format!(
        "{}\n\n{}",
        age(shown),
        columns(&["member", "incarnation", "seat", "heard ms ago"], rows(&shown["members"], &keys))
    )
}

fn leases(shown: &Value) -> String {
    let keys = ["name", "holder", "token", "revoked", "waiters"];
    format!(
        "{}\n\n{}",
        age(shown),
        columns(&["lease", "holder", "token", "taken back", "next"], rows(&shown["leases"], &keys))
    )
}

fn tasks(shown: &Value) -> String {
    let row = |task: &Value| {
        let state = match (&task["aside"], task["paused"].as_bool(), &task["run"]) {
            (Value::String(why), _, _) => format!("put aside: {why}"),
            (_, Some(true), _) => "paused".to_string(),
            (_, _, Value::Null) => "waits".to_string(),
            (_, _, run) => format!("runs for {}, holder {} of it", run["due"], run["holders"]),
        };
        vec![
            plain(&task["name"]),
            plain(&task["holder"]),
            state,
            plain(&task["last_due"]),
            plain(&task["result"]),
        ]
    };
    let rows = shown["tasks"].as_array().into_iter().flatten().map(row).collect();
    format!("{}\n\n{}", age(shown), columns(&["task", "holder", "state", "last due", "result"], rows))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn the_state_is_shown_as_tables_with_its_age() {
        let shown = json!({"by": "n2", "leader": "n1", "age_ms": 40, "term": 3, "applied": 90, "tokens": 7,
            "seats": [{"member": "n1", "votes": true, "disk": "00ab"}],
            "members": [{"name": "n1", "incarnation": "1", "seat": "votes", "heard_ms": null}],
            "leases": [{"name": "task/cierre", "holder": "n1", "token": 7, "revoked": false, "waiters": ["n2", "n3"]}],
            "tasks": [{"name": "cierre", "holder": "n1", "paused": false, "aside": null, "run": null, "last_due": 5,
                "result": "ok"}]});
        assert!(status(&shown).contains("heard from the leader 40 ms ago"));
        let leases = leases(&shown);
        assert!(leases.contains("task/cierre  n1      7      false       n2 n3\n"), "{leases}");
        assert!(tasks(&shown).contains("cierre  n1      waits  5         ok\n"), "{}", tasks(&shown));
        assert!(members(&shown).lines().last().unwrap().ends_with("votes  -"));
        assert!(age(&json!({"by": "n3", "age_ms": null})).contains("may be old"));
    }
}
