//! `jaspershunt fleet …`: what an operator sees of the fleet, and has done in it, by any nodo's address for operators.

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

/// The nodo, or the fleet, said no.
pub(super) const NO: u8 = 1;
/// Nobody answered, or a file cannot be used.
pub(super) const UNREACHABLE: u8 = 2;
/// For the connection and for the answer.
const WITHIN: Duration = Duration::from_secs(2);
/// The longest answer that is read.
const MOST: u64 = 32 * 1024 * 1024;

/// Where to ask, and in which form to answer.
#[derive(Debug, Args)]
pub struct Asks {
    /// Any nodo's address for operators.
    #[arg(long, value_name = "ADDRESS", env = "NODE_ADMIN")]
    pub at: SocketAddr,
    /// As JSON.
    #[arg(long)]
    pub json: bool,
}

/// What to see or do.
#[derive(Debug, Subcommand)]
pub enum Fleets {
    /// Who leads, who votes, and how old this is.
    Status(Asks),
    /// The members.
    Members(Asks),
    /// The leases, with their holders and those that wait.
    Leases(Asks),
    /// The tasks, with what is under way.
    Tasks(Asks),
    /// Have something done with a task.
    #[command(subcommand)]
    Task(Tasks),
    /// Take a lease back from its holder, who has it no more once its time has run out.
    Release {
        /// The lease, such as task/NAME.
        lease: String,
        /// Where to ask.
        #[command(flatten)]
        asks: Asks,
    },
    /// Found a new fleet on the folder of its first voter, before that is started. The others join by themselves.
    ///
    /// Exits with 2 where the folder belongs to a fleet already.
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

/// What to do with a task.
#[derive(Debug, Subcommand)]
pub enum Tasks {
    /// Run it now.
    Run {
        /// Its name.
        name: String,
        /// Where to ask.
        #[command(flatten)]
        asks: Asks,
    },
    /// Stop it: nothing of it begins.
    Pause {
        /// Its name.
        name: String,
        /// Where to ask.
        #[command(flatten)]
        asks: Asks,
    },
    /// Let it go on, also where it was put aside.
    Resume {
        /// Its name.
        name: String,
        /// Where to ask.
        #[command(flatten)]
        asks: Asks,
    },
}

/// Carries it out.
pub fn run(what: &Fleets) -> ExitCode {
    match what {
        Fleets::Status(asks) => show(asks, status),
        Fleets::Members(asks) => show(asks, members),
        Fleets::Leases(asks) => show(asks, leases),
        Fleets::Tasks(asks) => show(asks, tasks),
        Fleets::Task(Tasks::Run { name, asks }) => order(asks, &format!("FLEET RUN {name}")),
        Fleets::Task(Tasks::Pause { name, asks }) => order(asks, &format!("FLEET PAUSE {name}")),
        Fleets::Task(Tasks::Resume { name, asks }) => order(asks, &format!("FLEET RESUME {name}")),
        Fleets::Release { lease, asks } => order(asks, &format!("FLEET RELEASE {lease}")),
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

/// What a nodo answers to a line.
pub(super) fn ask(at: SocketAddr, line: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, WITHIN)?;
    stream.set_read_timeout(Some(WITHIN))?;
    stream.set_write_timeout(Some(WITHIN))?;
    stream.write_all(format!("{line}\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.take(MOST).read_to_string(&mut answer)?;
    Ok(answer)
}

fn order(asks: &Asks, line: &str) -> ExitCode {
    match ask(asks.at, line) {
        Ok(answer) => match answer.strip_prefix("+OK ") {
            Some(done) => {
                println!("{}", done.trim_end());
                ExitCode::SUCCESS
            }
            None => {
                eprintln!("{}", answer.trim_end().trim_start_matches("-ERR "));
                ExitCode::from(NO)
            }
        },
        Err(e) => {
            eprintln!("{}: {e}", asks.at);
            ExitCode::from(UNREACHABLE)
        }
    }
}

pub(super) fn show(asks: &Asks, text: impl Fn(&Value) -> String) -> ExitCode {
    show_what(asks, "FLEET SHOW", text)
}

pub(super) fn show_what(asks: &Asks, what: &str, text: impl Fn(&Value) -> String) -> ExitCode {
    let answer = match ask(asks.at, what) {
        Ok(answer) => answer,
        Err(e) => {
            eprintln!("{}: {e}", asks.at);
            return ExitCode::from(UNREACHABLE);
        }
    };
    let shown = answer.strip_suffix("\r\n.\r\n").and_then(|json| serde_json::from_str::<Value>(json).ok());
    match shown {
        Some(shown) if asks.json => println!("{shown}"),
        Some(shown) => print!("{}", text(&shown)),
        None => {
            eprintln!("{}", answer.trim_end().trim_start_matches("-ERR "));
            return ExitCode::from(NO);
        }
    }
    ExitCode::SUCCESS
}

/// A value as a person reads it.
pub(super) fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_string(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// How old what is shown is, in the words of an operator.
pub(super) fn age(shown: &Value) -> String {
    match shown["age_ms"].as_u64() {
        Some(0) => format!("told by {}, which leads", plain(&shown["by"])),
        Some(ms) => format!("told by {}, which heard of the one that leads {ms} ms ago", plain(&shown["by"])),
        None => {
            format!("told by {}, which has heard of nobody that leads: this may be old", plain(&shown["by"]))
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
    fn what_is_shown_is_a_table_that_says_how_old_it_is() {
        let shown = json!({"by": "n2", "leader": "n1", "age_ms": 40, "term": 3, "applied": 90, "tokens": 7,
            "seats": [{"member": "n1", "votes": true, "disk": "00ab"}],
            "members": [{"name": "n1", "incarnation": "1", "seat": "votes", "heard_ms": null}],
            "leases": [{"name": "task/cierre", "holder": "n1", "token": 7, "revoked": false, "waiters": ["n2", "n3"]}],
            "tasks": [{"name": "cierre", "holder": "n1", "paused": false, "aside": null, "run": null, "last_due": 5,
                "result": "ok"}]});
        assert!(status(&shown).contains("heard of the one that leads 40 ms ago"));
        let leases = leases(&shown);
        assert!(leases.contains("task/cierre  n1      7      false       n2 n3\n"), "{leases}");
        assert!(tasks(&shown).contains("cierre  n1      waits  5         ok\n"), "{}", tasks(&shown));
        assert!(members(&shown).lines().last().unwrap().ends_with("votes  -"));
        assert!(age(&json!({"by": "n3", "age_ms": null})).contains("may be old"));
    }
}
