//! One nodo across several incarnations: processes of the program at one address, a fake interpreter for
//! each, and balancers that send each keyed request twice. The interpreters' records are authoritative for
//! what ran.

use crate::balancer::{Answer, Balancer, Request};
use crate::directory::Directory;
use crate::interpreter::{Interpreter, RunRecord, Work};
use crate::process::Process;
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

const SETTINGS: &str = concat!(
    r#"{"classes":[{"name":"read","worth":1,"targetS":2,"deadlineS":3,"semantics":"free"},"#,
    r#"{"name":"slow","worth":3,"targetS":2,"deadlineS":3,"semantics":"guarded","windowS":30},"#,
    r#"{"name":"sign","worth":3,"targetS":2,"deadlineS":3,"semantics":"guarded","windowS":30}],"#,
    r#""domain":{"nCores":8,"heapKb":1000000,"runFactor":4,"halt":"drop","say":"tokens","meters":["core_use","on_cores"]},"#,
    r#""clientHabits":{"marksRetry":true},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":10,"fallS":2,"drainGraceS":0}}"#
);
/// An address at which nothing listens.
const NOTHING: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
/// First number of an [`AnswerLog`]'s balancers, above those of [`Load`] and of tests.
const FIRST_LOG_BALANCER: u64 = 100;
/// Interval between checks.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The interpreter of the most recent incarnation.
pub type LatestInterpreter = Rc<RefCell<Option<Interpreter>>>;

/// A nodo.
pub struct Nodo {
    /// Folder shared by all incarnations.
    pub folder: PathBuf,
    /// Directory that receives its reports.
    pub directory: Directory,
    /// Address for balancers.
    pub address: SocketAddr,
    /// Name of the nodo.
    pub name: String,
    /// Settings object of all incarnations.
    pub settings: String,
    /// Additional configuration keys, each preceded by a comma.
    pub extra_config: String,
    /// Whether incarnations run without the shared folder, so that each acts as an independent nodo.
    pub without_shared_folder: bool,
    /// Address of the database that runs of class `sign` call once, if any.
    pub database: Option<SocketAddr>,
    /// Operator's file of later incarnations, if any.
    pub operator: Option<String>,
    /// Additional interpreter classes, whose runs make one call each; the settings must name them too.
    pub extra_classes: Vec<String>,
    /// Limit on open descriptors of later incarnations; by default that of the test.
    pub max_descriptors: Option<usize>,
    /// Interpreters, in the order of the incarnations that own one.
    pub interpreters: Vec<Interpreter>,
    /// Operators' address of the most recent incarnation.
    pub admin_address: Rc<Cell<Option<SocketAddr>>>,
    /// Interpreter of the most recent incarnation, for balancers to notify of answers.
    pub latest_interpreter: LatestInterpreter,
    program: PathBuf,
    /// Keeps the port bound without listening.
    _port: Socket,
    started: usize,
}

/// One process of a nodo.
pub struct Incarnation {
    /// The process.
    pub process: Process,
    /// Address for operators' calls.
    pub admin: SocketAddr,
}

impl Nodo {
    /// Creates a nodo without starting it, in a folder whose name contains `name`.
    ///
    /// # Errors
    /// Fails if the folder cannot be created or loopback has no free port.
    pub async fn new(program: &Path, name: &str) -> io::Result<Nodo> {
        let folder = std::env::temp_dir().join(format!("jaspershunt-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let port = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        port.set_reuse_address(true)?;
        port.set_reuse_port(true)?;
        port.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = port.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let (directory, interpreters) = (Directory::start().await, Vec::new());
        let (program, name) = (program.to_path_buf(), "n1".to_string());
        let operator = None;
        Ok(Nodo {
            folder,
            directory,
            address,
            name,
            settings: SETTINGS.to_string(),
            extra_config: String::new(),
            without_shared_folder: false,
            database: None,
            operator,
            extra_classes: Vec::new(),
            max_descriptors: None,
            interpreters,
            admin_address: Rc::default(),
            latest_interpreter: LatestInterpreter::default(),
            program,
            _port: port,
            started: 0,
        })
    }

    /// Starts the program with a new interpreter and waits until it accepts clients.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub async fn start(&mut self) -> io::Result<Incarnation> {
        let start = self.start_without_waiting().await?;
        start.wait_until_ready().await;
        Ok(start)
    }

    /// Starts the program with a new interpreter and waits until it accepts operators' calls.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub async fn start_without_waiting(&mut self) -> io::Result<Incarnation> {
        let work = |ms| Work { core_time: Duration::from_millis(ms), calls: 0 };
        let sign = Work { calls: usize::from(self.database.is_some()), ..work(8) };
        let mut classes = vec![("read", work(4)), ("sign", sign), ("slow", work(700))];
        classes.extend(self.extra_classes.iter().map(|name| (name.as_str(), Work { calls: 1, ..work(8) })));
        let interpreter = Interpreter::start(8, &classes).await;
        let at = interpreter.address();
        *self.latest_interpreter.borrow_mut() = Some(interpreter.clone());
        self.interpreters.push(interpreter);
        self.start_with_interpreter(at).await
    }

    /// Starts the program with the interpreter at this address and waits until it accepts operators' calls.
    ///
    /// # Errors
    /// Fails if it cannot be started.
    pub async fn start_with_interpreter(&mut self, interpreter: SocketAddr) -> io::Result<Incarnation> {
        self.started += 1;
        let config = self.folder.join(format!("config{}.json", self.started));
        let text = format!(
            r#"{{"name":"{}","listen":"{}","admin":"127.0.0.1:0","vm":"{}","lookup":"{}","db":"{}","settings":{}{}}}"#,
            self.name,
            self.address,
            interpreter,
            self.directory.address(),
            self.database.unwrap_or(NOTHING),
            self.settings,
            self.extra_config
        );
        std::fs::write(&config, text)?;
        let mut command = self.command();
        command.env("NODE_CONFIG", &config).env("TMPDIR", &self.folder);
        command.env_remove("NODE_LISTEN").env_remove("NODE_ADMIN");
        if self.without_shared_folder {
            command.env_remove("TMPDIR");
        }
        if let Some(operator) = &self.operator {
            let file = self.folder.join("site.hcl");
            std::fs::write(&file, operator)?;
            command.args(["serve", "--operator"]).arg(&file);
        }
        let process = Process::start(&mut command, &self.log(self.started))?;
        let admin = process.wait_for_output("answers operators on ").await;
        let admin = admin.parse().map_err(|_| io::Error::other(format!("{admin} is not an address")))?;
        self.admin_address.set(Some(admin));
        Ok(Incarnation { process, admin })
    }

    /// Returns the command for the program; with a descriptor limit, a shell lowers the limit and then
    /// executes it.
    fn command(&self) -> Command {
        let Some(limit) = self.max_descriptors else { return Command::new(&self.program) };
        let mut command = Command::new("sh");
        command.args(["-c", &format!(r#"ulimit -n {limit} && exec "$0" "$@""#)]).arg(&self.program);
        command
    }

    fn log(&self, start: usize) -> PathBuf {
        self.folder.join(format!("log{start}"))
    }

    /// Returns the logs of all incarnations.
    pub fn logs(&self) -> String {
        let log = |n| std::fs::read_to_string(self.log(n)).unwrap_or_default();
        (1..=self.started).map(|n| format!("\nstart {n}:\n{}", log(n))).collect()
    }

    /// Returns how often the body was run, according to the interpreters.
    pub fn runs(&self, body: &[u8]) -> usize {
        self.count(|ran| ran.body == body)
    }

    /// Returns how often a keyed request of class `sign` was run.
    pub fn sign_runs(&self, key: &str) -> usize {
        self.count(|ran| ran.class == "sign" && ran.body == key.as_bytes())
    }

    fn count(&self, what: impl Fn(&RunRecord) -> bool) -> usize {
        let all = self.interpreters.iter();
        all.map(|interpreter| interpreter.runs().iter().filter(|ran| what(ran)).count()).sum()
    }
}

impl Drop for Nodo {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Incarnation {
    /// Sends an operator's line and returns the answer, which is empty if nothing answers.
    pub async fn call(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.admin).await else { return String::new() };
        let mut answer = String::new();
        if stream.write_all(format!("{line}\n").as_bytes()).await.is_ok() {
            let _ = stream.read_to_string(&mut answer).await;
        }
        answer
    }

    /// Returns whether the nodo reports that it accepts clients.
    pub async fn is_ready(&self) -> bool {
        self.call("PING").await.starts_with("+OK")
    }

    /// Waits until the nodo reports that it accepts clients.
    pub async fn wait_until_ready(&self) {
        while !self.is_ready().await {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Creates a keyed request whose body is its key.
pub fn keyed(class: &str, key: &str, resent: bool) -> Request {
    let body = key.as_bytes();
    Request { key: Some(format!("key-{key}")), resent, ..Request::new(class, body) }
}

/// Answers to all tries of keyed requests, in the order in which the tries were sent.
#[derive(Clone, Default)]
pub struct AnswerLog {
    answers: Rc<RefCell<BTreeMap<String, Vec<Answer>>>>,
    /// Balancers created so far. Their numbers are part of correlation ids, which must be unique among open
    /// requests.
    balancers: Rc<Cell<u64>>,
}

/// Outcome of keyed requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of keys.
    pub keys: usize,
    /// Total number of runs, according to the interpreters.
    pub runs: usize,
    /// Keys that ran more than once.
    pub ran_twice: Vec<String>,
    /// Keys of which a try was refused after another had run.
    pub refused_after_run: Vec<String>,
    /// Keys whose tries received different results.
    pub differ: Vec<String>,
    /// Number of answers by status; 0 means no answer.
    pub statuses: BTreeMap<u16, usize>,
}

impl AnswerLog {
    /// Sends a keyed request twice, first as an original and then as a retry, each over its own connection.
    pub async fn send_twice(&self, to: SocketAddr, key: &str, patience: Duration) {
        for resent in [false, true] {
            self.balancers.set(self.balancers.get() + 1);
            let balancer = Balancer::new(to, FIRST_LOG_BALANCER + self.balancers.get(), None);
            let answer = balancer.send(&keyed("sign", key, resent), patience).await;
            self.add(key, answer);
        }
    }

    /// Sends `count` pairs, `at_once` of them concurrently, with `name` as prefix of their keys.
    pub async fn burst(&self, to: SocketAddr, name: &str, count: usize, at_once: usize, patience: Duration) {
        let next = Rc::new(Cell::new(0));
        let send = |_| {
            let (record, next, name) = (self.clone(), next.clone(), name.to_string());
            spawn_local(async move {
                while next.get() < count {
                    let n = next.replace(next.get() + 1);
                    record.send_twice(to, &format!("{name}-{n}"), patience).await;
                }
            })
        };
        let senders: Vec<JoinHandle<()>> = (0..at_once).map(send).collect();
        for sender in senders {
            // An error means that the task panicked, which is reported by itself.
            let _ = sender.await;
        }
    }

    /// Adds the answer to a try.
    pub fn add(&self, key: &str, answer: Answer) {
        self.answers.borrow_mut().entry(key.to_string()).or_default().push(answer);
    }

    /// Returns the answers by key.
    pub fn answers(&self) -> std::cell::Ref<'_, BTreeMap<String, Vec<Answer>>> {
        self.answers.borrow()
    }

    /// Returns the outcome of all keys that start with `name`.
    pub fn tally(&self, nodo: &Nodo, name: &str) -> Tally {
        let mut ran: BTreeMap<String, usize> = BTreeMap::new();
        for interpreter in &nodo.interpreters {
            for run in interpreter.runs().iter().filter(|run| run.class == "sign") {
                *ran.entry(String::from_utf8_lossy(&run.body).into_owned()).or_default() += 1;
            }
        }
        let mut tally = Tally::default();
        for (key, answers) in self.answers().iter().filter(|(key, _)| key.starts_with(name)) {
            let runs = ran.get(key).copied().unwrap_or(0);
            tally.keys += 1;
            tally.runs += runs;
            if runs > 1 {
                tally.ran_twice.push(key.clone());
            }
            // The first try was neither refused nor unanswered, so a run began before the next try arrived.
            let first = answers.first().map_or(0, |answer| answer.status);
            let refused = answers.iter().skip(1).any(|answer| answer.status == 503);
            if runs > 0 && first != 503 && first != 0 && refused {
                tally.refused_after_run.push(key.clone());
            }
            let mut results = answers.iter().filter(|answer| answer.status == 200).map(|answer| &answer.body);
            if let Some(one) = results.next()
                && results.any(|other| other != one)
            {
                tally.differ.push(key.clone());
            }
            for answer in answers {
                *tally.statuses.entry(answer.status).or_default() += 1;
            }
        }
        tally
    }
}

/// Balancers that send continuously: reads, and keyed requests twice each.
pub struct Load {
    running: Rc<Cell<bool>>,
    reads: Rc<RefCell<Vec<Answer>>>,
    record: AnswerLog,
    senders: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts two balancers with three senders each, which wait up to `patience` for an answer.
    pub fn start(address: SocketAddr, patience: Duration) -> Load {
        let (running, reads, record) =
            (Rc::new(Cell::new(true)), Rc::<RefCell<Vec<_>>>::default(), AnswerLog::default());
        let mut senders = Vec::new();
        for number in 0..2u64 {
            let balancer = Balancer::new(address, number, None);
            for sender in 0..3 {
                let (balancer, running, reads, record) =
                    (balancer.clone(), running.clone(), reads.clone(), record.clone());
                senders.push(spawn_local(async move {
                    for n in 0.. {
                        if !running.get() {
                            return;
                        }
                        let key = format!("{number}-{sender}-{n}");
                        let read = balancer.send(&Request::new("read", key.as_bytes()), patience).await;
                        reads.borrow_mut().push(read);
                        for resent in [false, true] {
                            record.add(&key, balancer.send(&keyed("sign", &key, resent), patience).await);
                        }
                    }
                }));
            }
        }
        Load { running, reads, record, senders }
    }

    /// Waits for this many more answers to reads.
    pub async fn wait_for_reads(&self, count: usize) {
        let until = self.reads.borrow().len() + count;
        while self.reads.borrow().len() < until {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops the load once all sent requests are answered; returns the outcome and the answers to the reads.
    pub async fn end(self, nodo: &Nodo) -> (Tally, Vec<Answer>) {
        self.running.set(false);
        for sender in self.senders {
            // An error means that the task panicked, which is reported by itself.
            let _ = sender.await;
        }
        (self.record.tally(nodo, ""), self.reads.take())
    }
}
