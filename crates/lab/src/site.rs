//! A nodo as a process of its own, with its stand-ins in this one.

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

/// How long a nodo may take until it is in the directory.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// How long it may take to leave: a little more than it is told.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// How a site is made.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The dependencies. Calls of the class of the same place go there.
    pub dependencies: Vec<DependencyConfig>,
    /// The classes: names, and whether they are keyed. Each makes one call.
    pub classes: Vec<(&'static str, bool)>,
    /// The operator's file, with `{0}`, `{1}` … for the addresses of the dependencies; none for the nodo's one pool.
    pub file: Option<String>,
    /// Cores of the interpreter, and the time of a run on one before and after its call.
    pub cores: usize,
    /// Half of the work of a run.
    pub core_time: Duration,
}

/// A nodo that is up.
pub struct Site {
    /// The dependencies, in the order of the plan.
    pub dependencies: Vec<Dependency>,
    /// The interpreter.
    pub interpreter: Interpreter,
    /// A balancer.
    pub balancer: Balancer,
    child: Child,
    _gateway: Option<Gateway>,
    folder: TempDir,
}

/// The settings object that the platform would give.
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
    /// Starts a site and waits until its nodo is in the directory.
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
        // The port is given back before the nodo takes it; a stranger that took it would show at once.
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
                return Err(io::Error::other(format!("the nodo did not come up: {log}")));
            }
            sleep(Duration::from_millis(5)).await;
        }
        let balancer = Balancer::new(address, 1, Some(interpreter.clone()));
        Ok(Site { dependencies, interpreter, balancer, child, _gateway: gateway, folder })
    }

    /// The id of the nodo's process.
    pub fn process_id(&self) -> Option<u32> {
        self.child.id()
    }

    /// What the nodo has written to its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    /// Tells the nodo to leave, as the platform would, and ends it if it does not.
    pub async fn stop(mut self) {
        if let Some(process) = self.child.id() {
            let _ = Command::new("kill").args(["-TERM", &process.to_string()]).status().await;
        }
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// CPU seconds that the first thread of a process has taken; a nodo has no other.
pub fn cpu_seconds(process: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    Some(text.split_whitespace().next()?.parse::<f64>().ok()? / 1e9)
}

/// Memory that a process holds, in KiB.
pub fn memory_kib(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Runs something on a thread of its own, as stand-ins need it.
pub fn on_one_thread<T>(run: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run)
}
