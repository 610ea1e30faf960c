//! A nodo in its own process, with fake servers in this process.

use jaspershunt_stand_ins::balancer::Balancer;
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig, Gateway};
use jaspershunt_stand_ins::directory::Directory;
use jaspershunt_stand_ins::interpreter::{Interpreter, Work};
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::process::{Child, Command};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

/// Limit on the time until a nodo is open in the directory.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Limit on the time to leave; longer than `stop_ms` in its settings.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Configuration of a site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The dependencies; each serves the calls of the class with the same index.
    pub dependencies: Vec<DependencyConfig>,
    /// Names of the classes, and whether they are keyed. Each request makes one call.
    pub classes: Vec<(&'static str, bool)>,
    /// The operator's file, with `{0}`, `{1}` … for the addresses of the dependencies; `None` for the nodo's
    /// one pool.
    pub file: Option<String>,
    /// Cores of the interpreter.
    pub cores: usize,
    /// Core time of a run before its call, and again after it.
    pub core_time: Duration,
}

/// A running nodo and its fake servers.
pub struct Site {
    /// The dependencies, in the order of the plan.
    pub dependencies: Vec<Dependency>,
    pub interpreter: Interpreter,
    pub balancer: Balancer,
    child: Child,
    _gateway: Option<Gateway>,
    folder: TempDir,
}

/// Returns the settings object that the platform provides.
fn settings(plan: &SitePlan) -> String {
    let classes: Vec<String> = plan
        .classes
        .iter()
        .map(|(name, keyed)| {
            let kind = if *keyed { r#""semantics":"guarded","windowS":60"# } else { r#""semantics":"free""# };
            let worth = if *keyed { 5 } else { 1 };
            format!(r#"{{"name":"{name}","worth":{worth},"targetS":2,"deadlineS":4,{kind}}}"#)
        })
        .collect();
    let flags = |value: &str| vec![value; plan.classes.len()].join(",");
    format!(
        r#"{{"classes":[{}],"domain":{{"nCores":{},"heapKb":200000,"runFactor":4,"keyKb":1,"halt":"drop","say":"tokens","meters":["core_use","on_cores"],"classCalls":[{}],"classSkipWorth":[{}],"dependsOn":"common","fairCalls":24,"callsOverS":5,"lingerS":0.2,"readiness":true}},"allowed":{{"retryAfter":true,"maxRetryAfterS":1}},"obligations":{{"coldFrom":0.3,"coldS":9,"fallMultiple":10,"fallS":2,"drainGraceS":0,"graceToAnswerS":0.1}},"orgs":[{{"name":"acme","share":1,"allowancePerS":100000}}],"servers":3}}"#,
        classes.join(","),
        plan.cores,
        flags("true"),
        flags("0"),
    )
}

impl Site {
    /// Starts a site and waits until its nodo is open in the directory.
    pub async fn start(nodo: &Path, plan: &SitePlan) -> io::Result<Site> {
        let mut dependencies = Vec::new();
        for one in &plan.dependencies {
            dependencies.push(Dependency::start(one.clone()).await);
        }
        let work = Work { core_time: plan.core_time, calls: 1 };
        let classes: Vec<(&str, Work)> = plan.classes.iter().map(|(name, _)| (*name, work.clone())).collect();
        let interpreter = Interpreter::start(plan.cores, &classes).await;
        let directory = Directory::start().await;
        let gateway = match plan.file {
            Some(_) => None,
            None => {
                let backends: Vec<(&str, &Dependency)> =
                    plan.classes.iter().map(|(name, _)| *name).zip(&dependencies).collect();
                Some(Gateway::start(&backends).await)
            }
        };
        let folder = tempfile::tempdir()?;
        // The port is released before the nodo binds it; if another process takes it, the start fails.
        let address = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
        let db = gateway.as_ref().map_or("127.0.0.1:9".to_string(), |gateway| gateway.address().to_string());
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","vm":"{}","lookup":"{}","db":"{db}","seed":"7","stop_ms":3000,"limits":{{"memory_mb":64,"sockets":384}},"settings":{}}}"#,
            interpreter.address(),
            directory.address(),
            settings(plan)
        );
        let config_path = folder.path().join("config.json");
        std::fs::write(&config_path, config)?;
        let mut command = Command::new(nodo);
        if let Some(file) = &plan.file {
            let fill_address = |text: String, (index, one): (usize, &Dependency)| {
                text.replace(&format!("{{{index}}}"), &one.address().to_string())
            };
            let path = folder.path().join("site.hcl");
            std::fs::write(&path, dependencies.iter().enumerate().fold(file.clone(), fill_address))?;
            command.arg("serve").arg("--operator").arg(path);
        }
        let log = std::fs::File::create(folder.path().join("log"))?;
        let child = command
            .env("NODE_CONFIG", &config_path)
            .env_remove("NODE_NAME")
            .env_remove("NODE_LISTEN")
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let began = Instant::now();
        while directory.mode().as_deref() != Some("open") {
            if began.elapsed() > START_TIMEOUT {
                let log = std::fs::read_to_string(folder.path().join("log")).unwrap_or_default();
                return Err(io::Error::other(format!("the nodo did not start in time: {log}")));
            }
            sleep(Duration::from_millis(5)).await;
        }
        let balancer = Balancer::new(address, 1, Some(interpreter.clone()));
        Ok(Site { dependencies, interpreter, balancer, child, _gateway: gateway, folder })
    }

    /// Returns the id of the nodo's process.
    pub fn process_id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the nodo's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    /// Sends SIGTERM to the nodo as the platform does, and kills it after a timeout.
    pub async fn stop(mut self) {
        if let Some(process) = self.child.id() {
            let _ = Command::new("kill").args(["-TERM", &process.to_string()]).status().await;
        }
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Returns the CPU seconds of the first thread of a process; a nodo has no other.
pub fn cpu_seconds(process: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    Some(text.split_whitespace().next()?.parse::<f64>().ok()? / 1e9)
}

/// Returns the resident memory of a process.
pub fn memory_kib(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Runs a future on a single-threaded runtime with a `LocalSet`, as the fake servers need.
pub fn on_one_thread<T>(run: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run)
}
