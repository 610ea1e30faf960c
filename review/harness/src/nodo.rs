//! One process of the project's program, started by the command of the deploy file, and its configuration.

use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A class of the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub target_s: f64,
    pub deadline_s: f64,
    pub window_s: f64,
    pub worth: f64,
}

/// The classes of firma-cordoba.
pub fn cordoba() -> Vec<Class> {
    let class = |name, semantics, target_s, deadline_s, window_s, worth| Class {
        name,
        semantics,
        target_s,
        deadline_s,
        window_s,
        worth,
    };
    vec![
        class("consulta-estado", "free", 3.6, 8.9, 5.0, 1.0),
        class("verificar-firma", "free", 2.9, 8.9, 5.0, 2.0),
        class("registrar-firma", "guarded", 4.3, 14.0, 42.867, 5.0),
    ]
}

/// The settings object of a small nodo of firma-cordoba.
pub fn settings(classes: &[Class]) -> String {
    let list = |of: &dyn Fn(&Class) -> String| classes.iter().map(of).collect::<Vec<_>>().join(", ");
    let each = list(&|c| {
        format!(
            "{{\"deadlineS\": {}, \"lateShare\": 0.0, \"name\": \"{}\", \"semantics\": \"{}\", \"targetS\": {}, \
             \"windowS\": {}, \"worth\": {}}}",
            c.deadline_s, c.name, c.semantics, c.target_s, c.window_s, c.worth
        )
    });
    let calls = list(&|_| "false".into());
    let skip = list(&|_| "0.0".into());
    format!(
        r#"{{"allowed": {{"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfterS": 1.0, "retryAfter": true}},
 "classes": [{each}],
 "clientHabits": {{"marksRetry": true}},
 "domain": {{"callsOverS": 5.0, "cancelSeen": true, "classCalls": [{calls}], "classSkipWorth": [{skip}],
  "deepChecks": false, "dependsOn": "common", "fairCalls": 5.5, "freshS": 0.0, "halt": "drop", "heapKb": 74004.0,
  "idleS": 30.0, "justStarted": false, "keyKb": 104.05, "lingerS": 0.2,
  "meters": ["core_use", "on_cores", "heap_share", "links"], "nCores": 6, "passesDeadline": false, "readiness": true,
  "runFactor": 16.0, "saidForS": 1.0, "say": "tokens", "senders": 3}},
 "family": "server",
 "fees": {{"connection": 0.0, "handshake": 0.0, "lateFail": 0.03, "origin": 0.02, "waste": 0.067}},
 "goal": {{"whole": 0.35, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.35}},
 "granularityS": 0.005,
 "loadInfo": {{"fields": ["backlog", "throughput"], "how": "piggyback"}},
 "obligations": {{"coldFrom": 0.21, "coldS": 18.0, "drainGraceS": 2.5, "fallMultiple": 6.0, "fallS": 1.5,
  "graceToAnswerS": 0.08}},
 "orgs": [{{"allowancePerS": 45.0, "name": "escribania-norte", "share": 0.33}},
  {{"allowancePerS": 35.0, "name": "banco-litoral", "share": 0.26}},
  {{"allowancePerS": 31.0, "name": "seguros-pampa", "share": 0.23}},
  {{"allowancePerS": 24.0, "name": "estudio-andes", "share": 0.18}}],
 "overShareWorth": 0.05, "position": 0, "servers": 10, "stages": ["nodos-firma"], "tier": 0, "worthBy": "work",
 "zone": "sala-cordoba", "zones": ["sala-cordoba"]}}"#
    )
}

/// The platform's configuration of one process.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub vm: SocketAddr,
    pub lookup: SocketAddr,
    pub db: SocketAddr,
    pub stop_ms: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub settings: String,
}

impl Config {
    pub fn text(&self) -> String {
        format!(
            "{{\"name\": \"{}\", \"listen\": \"{}\", \"admin\": \"{}\", \"vm\": \"{}\", \"lookup\": \"{}\", \"db\": \"{}\",\n \
             \"seed\": \"8c1f30d27a5be964\", \"stop_ms\": {}, \"limits\": {{\"cores\": 1.0, \"memory_mb\": {}, \"sockets\": {}}},\n \
             \"settings\": {}}}\n",
            self.name,
            self.listen,
            self.admin,
            self.vm,
            self.lookup,
            self.db,
            self.stop_ms,
            self.memory_mb,
            self.sockets,
            self.settings
        )
    }

    /// Replaces the file in one step, as a sound platform does.
    pub fn write(&self, path: &Path) {
        let fresh = path.with_extension("new");
        std::fs::write(&fresh, self.text()).unwrap();
        std::fs::rename(&fresh, path).unwrap();
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub struct Nodo {
    child: Child,
    pub name: String,
    pub admin: SocketAddr,
    record: Record,
}

impl Nodo {
    /// Starts `run` of the deploy file, with `more` behind it, as the platform does.
    pub fn start(
        name: &str,
        run: &str,
        more: &str,
        config: &Config,
        file: &Path,
        tmp: &Path,
        record: &Record,
    ) -> Nodo {
        config.write(file);
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{run} {more}"))
            .env("NODE_CONFIG", file)
            .env("TMPDIR", tmp)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_ADMIN")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let log = child.stderr.take().unwrap();
        let (to, who) = (record.clone(), name.to_string());
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                to.line(&format!("{who} logs: {line}"));
            }
        });
        record.line(&format!("{name} starts, process {}", child.id()));
        Nodo { child, name: name.into(), admin: config.admin, record: record.clone() }
    }

    pub fn signal(&self, signal: &str) {
        self.record.line(&format!("{} gets SIG{signal}", self.name));
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn wait(&mut self, within: Duration) -> Option<String> {
        let until = Instant::now() + within;
        loop {
            if let Some(how) = self.ended() {
                self.record.line(&format!("{} has ended: {how}", self.name));
                return Some(how);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Asks on the operators' address until the answer is yes.
    pub fn ready(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if ask(self.admin, "PING").is_some_and(|answer| answer.starts_with("+OK")) {
                self.record.line(&format!("{} says yes to PING", self.name));
                return true;
            }
            if let Some(how) = self.ended() {
                self.record.line(&format!("{} has ended: {how}", self.name));
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Nodo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One call of an operator.
pub fn ask(at: SocketAddr, call: &str) -> Option<String> {
    ask_with(at, call, "")
}

/// One call of an operator, with what follows its line.
pub fn ask_with(at: SocketAddr, call: &str, more: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    stream.write_all(format!("{call}\n{more}").as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    Some(answer)
}

/// A folder of the case's own for its files; removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(under: &str) -> Folder {
        let path = PathBuf::from(under);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn sub(&self, name: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::create_dir_all(&path).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
