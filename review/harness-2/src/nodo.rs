//! Processes of the nodo, started with the command of the deploy file.

use crate::record::Record;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The settings object of a small deployment, after the example of WIRE, with deadlines as on the short days.
pub const SETTINGS: &str = concat!(
    r#"{"allowed":{"maxRetryAfterS":1.0,"retryAfter":true},"#,
    r#""classes":[{"deadlineS":9.0,"lateShare":0.2,"name":"consulta","semantics":"free","targetS":8.0,"windowS":5.0,"worth":1.0},"#,
    r#"{"deadlineS":14.0,"lateShare":0.2,"name":"registrar","semantics":"guarded","targetS":12.0,"windowS":42.867,"worth":5.0}],"#,
    r#""clientHabits":{"marksRetry":true},"#,
    r#""domain":{"callsOverS":5.0,"cancelSeen":true,"classCalls":[true,true],"classSkipWorth":[0.0,0.0],"dependsOn":"common","fairCalls":5.5,"#,
    r#""freshS":0.0,"halt":"drop","heapKb":74004.0,"idleS":30.0,"keyKb":104.05,"lingerS":0.2,"meters":["core_use","on_cores","heap_share","links"],"#,
    r#""nCores":2,"passesDeadline":false,"readiness":true,"runFactor":16.0,"say":"tokens","senders":3},"#,
    r#""granularityS":0.005,"#,
    r#""obligations":{"coldFrom":0.21,"coldS":18.0,"drainGraceS":2.5,"fallMultiple":6.0,"fallS":1.5,"graceToAnswerS":0.08},"#,
    r#""orgs":[{"allowancePerS":45.0,"name":"acme","share":1.0}],"overShareWorth":0.05,"servers":1,"worthBy":"work"}"#
);

/// The processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started and not dropped, for a case that is ended before its time.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// One process of a nodo. Dropping it kills the process.
pub struct Process {
    child: Child,
    /// The operators' address.
    pub admin: SocketAddr,
    /// Its configuration file.
    pub config: PathBuf,
    name: String,
    record: Record,
}

/// The addresses of a nodo and its peers.
#[derive(Clone)]
pub struct Place {
    /// The nodo's name.
    pub name: String,
    /// The operator's file, if there is one.
    pub operator: Option<PathBuf>,
    /// The repository's root.
    pub root: PathBuf,
    /// The shared temporary folder.
    pub folder: PathBuf,
    /// Where balancers connect.
    pub listen: SocketAddr,
    /// The directory.
    pub lookup: SocketAddr,
    /// The database.
    pub db: SocketAddr,
    /// The settings object.
    pub settings: String,
    /// The time from the notice to leave to the kill.
    pub stop_ms: u64,
}

/// An address of loopback that is free at present.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run command");
    line.trim_end_matches('"').to_string()
}

impl Place {
    /// The text of a configuration file.
    pub fn config(&self, vm: SocketAddr, admin: SocketAddr) -> String {
        format!(
            r#"{{"name":"{}","listen":"{}","admin":"{admin}","vm":"{vm}","lookup":"{}","db":"{}","seed":"8c1f30d27a5be964","stop_ms":{},"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{}}}"#,
            self.name, self.listen, self.lookup, self.db, self.stop_ms, self.settings
        )
    }

    /// Starts a process of the nodo and waits until it answers operators.
    pub fn start(&self, name: &str, vm: SocketAddr, record: &Record) -> Process {
        let admin = free_address();
        let config = self.folder.join(format!("{name}.json"));
        std::fs::write(&config, self.config(vm, admin)).expect("the configuration can be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let mut run = run_command(&self.root);
        if let Some(file) = &self.operator {
            run.push_str(&format!(" serve --operator '{}'", file.display()));
        }
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_ADMIN", admin.to_string())
            .env("NODE_CONFIG", &config)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        STARTED.lock().unwrap().push(child.id());
        record.line(&format!("platform: starts process {name}"));
        Process { child, admin, config, name: name.to_string(), record: record.clone() }
    }
}

impl Process {
    /// Sends an operator's line; the answer is empty if none comes.
    pub fn call(&self, line: &str) -> String {
        self.say(line, "")
    }

    /// Sends an operator's line with what follows it; the answer is empty if none comes.
    pub fn say(&self, line: &str, more: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.admin) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = stream.write_all(format!("{line}\n{more}").as_bytes());
            let _ = stream.read_to_string(&mut text);
        }
        text
    }

    /// Waits until the process says that it takes clients; returns whether it did.
    pub fn ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.call("PING").starts_with("+OK") {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal by name, such as TERM.
    pub fn signal(&self, name: &str) {
        self.record.line(&format!("platform: sends {name} to process {}", self.name));
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    /// The exit of the process, if it has ended.
    pub fn exit(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until it has ended; returns whether it did within this time.
    pub fn ends(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.exit().is_some() {
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
