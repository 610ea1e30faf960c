//! One nodo, however many processes it is: several starts of the program at one address, an interpreter for each, and
//! balancers that send keyed requests twice. The interpreters' records are the truth about what ran.

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
/// Where nothing listens.
const NOTHING: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
/// Balancers of records have numbers beyond those of a load and of tests.
const FIRST_LOG_BALANCER: u64 = 100;
/// Between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The interpreter that a nodo has by now.
pub type LatestInterpreter = Rc<RefCell<Option<Interpreter>>>;

/// One nodo.
pub struct Nodo {
    /// The folder that all starts share.
    pub folder: PathBuf,
    /// Where its reports go.
    pub directory: Directory,
    /// Where balancers connect.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// What all starts are told of classes and rules.
    pub settings: String,
    /// Further keys of the configuration, each behind a comma.
    pub extra_config: String,
    /// Starts are told of no folder that they share, so that each is a nodo on its own.
    pub without_shared_folder: bool,
    /// What the runs of class `sign` call once, if anything.
    pub database: Option<SocketAddr>,
    /// The operator's file for starts to come, if they have one.
    pub operator: Option<String>,
    /// Further classes of its interpreters, of which each run calls once; the settings have to name them.
    pub extra_classes: Vec<String>,
    /// The limit on open descriptors that starts to come get from the system, if not that of the test.
    pub max_descriptors: Option<usize>,
    /// The interpreters, in the order of the starts that have one.
    pub interpreters: Vec<Interpreter>,
    /// Where operators reach the last start.
    pub admin_address: Rc<Cell<Option<SocketAddr>>>,
    /// The one of the last start, for balancers: they tell it what was answered.
    pub latest_interpreter: LatestInterpreter,
    program: PathBuf,
    /// Holds the port without listening there.
    _port: Socket,
    started: usize,
}

/// One start of the program.
pub struct Incarnation {
    /// The process.
    pub process: Process,
    /// Where operators call.
    pub admin: SocketAddr,
}

impl Nodo {
    /// A nodo that was not started yet, in a folder with this in its name.
    ///
    /// # Errors
    /// The folder cannot be made, or loopback has no port left.
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

    /// Starts the program, with an interpreter of its own, and waits until it takes clients.
    ///
    /// # Errors
    /// It cannot be started.
    pub async fn start(&mut self) -> io::Result<Incarnation> {
        let start = self.start_without_waiting().await?;
        start.wait_until_ready().await;
        Ok(start)
    }

    /// Starts the program, with an interpreter of its own, and waits until operators can call.
    ///
    /// # Errors
    /// It cannot be started.
    pub async fn start_without_waiting(&mut self) -> io::Result<Incarnation> {
        let part = |ms| Work { core_time: Duration::from_millis(ms), calls: 0 };
        let sign = Work { calls: usize::from(self.database.is_some()), ..part(8) };
        let mut classes = vec![("read", part(4)), ("sign", sign), ("slow", part(700))];
        classes.extend(self.extra_classes.iter().map(|name| (name.as_str(), Work { calls: 1, ..part(8) })));
        let interpreter = Interpreter::start(8, &classes).await;
        let at = interpreter.address();
        *self.latest_interpreter.borrow_mut() = Some(interpreter.clone());
        self.interpreters.push(interpreter);
        self.start_with_interpreter(at).await
    }

    /// Starts the program with an interpreter at this address, and waits until operators can call.
    ///
    /// # Errors
    /// It cannot be started.
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
        let admin = admin.parse().map_err(|_| io::Error::other(format!("{admin} is no address")))?;
        self.admin_address.set(Some(admin));
        Ok(Incarnation { process, admin })
    }

    /// The program, by way of a shell that lowers the limit on descriptors and becomes the program, where there is one.
    fn command(&self) -> Command {
        let Some(most) = self.max_descriptors else { return Command::new(&self.program) };
        let mut command = Command::new("sh");
        command.args(["-c", &format!(r#"ulimit -n {most} && exec "$0" "$@""#)]).arg(&self.program);
        command
    }

    fn log(&self, start: usize) -> PathBuf {
        self.folder.join(format!("log{start}"))
    }

    /// What all starts have said.
    pub fn logs(&self) -> String {
        let said = |n| std::fs::read_to_string(self.log(n)).unwrap_or_default();
        (1..=self.started).map(|n| format!("\nstart {n}:\n{}", said(n))).collect()
    }

    /// How often the body was run, by the interpreters' own records.
    pub fn runs(&self, body: &[u8]) -> usize {
        self.count(|ran| ran.body == body)
    }

    /// How often a keyed request of class `sign` was run.
    pub fn signed(&self, key: &str) -> usize {
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
    /// What operators get for a line; nothing where nobody answers.
    pub async fn call(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect(self.admin).await else { return String::new() };
        let mut answer = String::new();
        if stream.write_all(format!("{line}\n").as_bytes()).await.is_ok() {
            let _ = stream.read_to_string(&mut answer).await;
        }
        answer
    }

    /// Whether it says that it takes clients.
    pub async fn is_ready(&self) -> bool {
        self.call("PING").await.starts_with("+OK")
    }

    /// Waits until it says so.
    pub async fn wait_until_ready(&self) {
        while !self.is_ready().await {
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// A keyed request: all its tries have this key, and it for a body.
pub fn keyed(class: &str, key: &str, resent: bool) -> Request {
    let body = key.as_bytes();
    Request { key: Some(format!("key-{key}")), resent, ..Request::new(class, body) }
}

/// Keyed requests and the answers to their tries, in the order in which those were sent.
#[derive(Clone, Default)]
pub struct AnswerLog {
    answers: Rc<RefCell<BTreeMap<String, Vec<Answer>>>>,
    /// Balancers so far: their numbers are in the ids of what they send, of which no two may be open at once.
    balancers: Rc<Cell<u64>>,
}

/// What has become of keyed requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Keys.
    pub keys: usize,
    /// Runs of them all, by the interpreters' records.
    pub runs: usize,
    /// Keys that ran twice or more often.
    pub ran_twice: Vec<String>,
    /// Keys of which a try was refused after another had run.
    pub refused_after_run: Vec<String>,
    /// Keys whose tries were served with results that differ.
    pub differ: Vec<String>,
    /// How often each status was answered; 0 where none was.
    pub statuses: BTreeMap<u16, usize>,
}

impl AnswerLog {
    /// Sends a keyed request twice, marked as first and then as further try, each over a connection of its own.
    pub async fn pair(&self, to: SocketAddr, key: &str, patience: Duration) {
        for resent in [false, true] {
            self.balancers.set(self.balancers.get() + 1);
            let balancer = Balancer::new(to, FIRST_LOG_BALANCER + self.balancers.get(), None);
            let answer = balancer.send(&keyed("sign", key, resent), patience).await;
            self.add(key, answer);
        }
    }

    /// Sends that many, so many at once, with `name` in their keys.
    pub async fn burst(&self, to: SocketAddr, name: &str, count: usize, at_once: usize, patience: Duration) {
        let next = Rc::new(Cell::new(0));
        let send = |_| {
            let (record, next, name) = (self.clone(), next.clone(), name.to_string());
            spawn_local(async move {
                while next.get() < count {
                    let n = next.replace(next.get() + 1);
                    record.pair(to, &format!("{name}-{n}"), patience).await;
                }
            })
        };
        let senders: Vec<JoinHandle<()>> = (0..at_once).map(send).collect();
        for sender in senders {
            // An error means that it panicked, which says so itself.
            let _ = sender.await;
        }
    }

    /// Adds an answer to a try.
    pub fn add(&self, key: &str, answer: Answer) {
        self.answers.borrow_mut().entry(key.to_string()).or_default().push(answer);
    }

    /// The answers, by key.
    pub fn answers(&self) -> std::cell::Ref<'_, BTreeMap<String, Vec<Answer>>> {
        self.answers.borrow()
    }

    /// What has become of the keys whose name begins so.
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
            // The first was neither refused nor unheard, so if anything ran, the next came after the run began.
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

/// Balancers that send without pause: reads, and keyed requests each of which comes twice.
pub struct Load {
    go: Rc<Cell<bool>>,
    reads: Rc<RefCell<Vec<Answer>>>,
    record: AnswerLog,
    senders: Vec<JoinHandle<()>>,
}

impl Load {
    /// Two balancers, three senders on each, who wait so long for an answer.
    pub fn start(address: SocketAddr, patience: Duration) -> Load {
        let (go, reads, record) =
            (Rc::new(Cell::new(true)), Rc::<RefCell<Vec<_>>>::default(), AnswerLog::default());
        let mut senders = Vec::new();
        for number in 0..2u64 {
            let balancer = Balancer::new(address, number, None);
            for sender in 0..3 {
                let (balancer, go, reads, record) =
                    (balancer.clone(), go.clone(), reads.clone(), record.clone());
                senders.push(spawn_local(async move {
                    for n in 0.. {
                        if !go.get() {
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
        Load { go, reads, record, senders }
    }

    /// Waits for so many more reads.
    pub async fn wait_for_reads(&self, count: usize) {
        let until = self.reads.borrow().len() + count;
        while self.reads.borrow().len() < until {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Ends once all that was sent is answered; returns what became of it, and the answers to the reads.
    pub async fn end(self, nodo: &Nodo) -> (Tally, Vec<Answer>) {
        self.go.set(false);
        for sender in self.senders {
            // An error means that it panicked, which says so itself.
            let _ = sender.await;
        }
        (self.record.tally(nodo, ""), self.reads.take())
    }
}
