//! Runs a nodo on loopback; the test plays each of its peers.
#![allow(dead_code)]

use jaspershunt_node::admin::{self, AdminState, Order};
use jaspershunt_node::clock::Clock;
use jaspershunt_node::config::{self, Config, ConfigError, Peers};
use jaspershunt_node::fastcgi::records::{self, kind, put_pair, put_record};
use jaspershunt_node::server::{self, Endpoints};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

pub const SETTINGS: &str = concat!(
    r#"{"classes":[{"name":"read","worth":1,"targetS":20,"deadlineS":40,"semantics":"free"},"#,
    r#"{"name":"sign","worth":3,"targetS":20,"deadlineS":40,"semantics":"guarded","windowS":60}],"#,
    r#""domain":{"nCores":2,"heapKb":10000,"runFactor":4,"keyKb":50,"halt":"drop","say":"tokens","#,
    r#""meters":["core_use","on_cores"],"classCalls":[true,true],"#,
    r#""dependsOn":"common","fairCalls":3.5,"callsOverS":5,"readiness":true},"#,
    r#""allowed":{"retryAfter":true,"maxRetryAfterS":1},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":5,"fallS":2,"drainGraceS":0,"graceToAnswerS":0.1},"#,
    r#""orgs":[{"name":"acme","share":1,"allowancePerS":9}],"servers":3}"#
);

pub fn config_text(listen: &str, vm: &str, lookup: &str, db: &str) -> String {
    format!(
        r#"{{"name":"n3","listen":"{listen}","vm":"{vm}","lookup":"{lookup}","db":"{db}","seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"settings":{SETTINGS}}}"#
    )
}

pub fn config(listen: SocketAddr, vm: SocketAddr, lookup: SocketAddr, db: SocketAddr) -> Config {
    let text = config_text(&listen.to_string(), &vm.to_string(), &lookup.to_string(), &db.to_string());
    config::read(&text, |_| None).unwrap()
}

/// The time after which a test counts as hanging; tests take less than a hundredth of it.
const HANG_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

/// Runs a test on one thread, like the program.
pub fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let bounded = async { tokio::time::timeout(HANG_TIMEOUT, test).await.expect("the test hangs") };
    LocalSet::new().block_on(&runtime, bounded);
}

/// Runs a test on a paused clock that advances by one millisecond whenever all tasks are idle. Larger steps
/// could fire timers of several seconds before pending socket input is read.
pub fn paused(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        spawn_local(async {
            loop {
                tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            }
        });
        let hang_timeout = std::time::Duration::from_secs(1000);
        tokio::time::timeout(hang_timeout, test).await.expect("the test hangs");
    });
}

/// Returns peers that all have this address.
pub fn all_at(address: SocketAddr) -> Peers {
    Peers { interpreter: address, directory: address, database: address }
}

pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// The test's end of a connection.
pub struct Peer {
    pub stream: TcpStream,
    input: RefCell<Vec<u8>>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        Peer { stream, input: RefCell::default() }
    }

    pub async fn accept(listener: &TcpListener) -> Peer {
        Peer::new(listener.accept().await.unwrap().0)
    }

    /// Closes a link after reading everything sent on it, and accepts the next one.
    pub async fn accept_after_break(mut link: Peer, listener: &TcpListener) -> Peer {
        link.stream.shutdown().await.unwrap();
        while link.line().await.is_some() {}
        Peer::accept(listener).await
    }

    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).await.unwrap();
    }

    /// Reads up to and including `end`, or returns `None` if the other end closes first.
    pub async fn until(&mut self, end: &[u8]) -> Option<String> {
        loop {
            let input = self.input.get_mut();
            if let Some(at) = input.windows(end.len()).position(|bytes| bytes == end) {
                let taken: Vec<u8> = input.drain(..at + end.len()).collect();
                return Some(String::from_utf8(taken).unwrap());
            }
            if !matches!(self.stream.read_buf(input).await, Ok(1..)) {
                return None;
            }
        }
    }

    /// Returns whether no unread input has arrived.
    pub fn is_silent(&mut self) -> bool {
        self.input.get_mut().is_empty() && self.stream.try_read(&mut [0]).is_err()
    }

    pub async fn line(&mut self) -> Option<String> {
        self.until(b"\n").await
    }

    /// Returns the next line that is not a request for the gauges.
    pub async fn command(&mut self) -> String {
        loop {
            let line = self.line().await.expect("a command");
            if !line.contains(r#""TOP""#) {
                return line;
            }
        }
    }

    /// Reads an HTTP request with its body.
    pub async fn http(&mut self) -> String {
        let head = self.until(b"\r\n\r\n").await.expect("a request");
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap();
        let length: usize = length.parse().unwrap();
        while self.input.get_mut().len() < length {
            self.stream.read_buf(self.input.get_mut()).await.unwrap();
        }
        let body: Vec<u8> = self.input.get_mut().drain(..length).collect();
        head + std::str::from_utf8(&body).unwrap()
    }

    /// Reads the next FastCGI record, or returns `None` if the other end closes first.
    pub async fn record(&mut self) -> Option<(u8, u16, Vec<u8>)> {
        loop {
            let input = self.input.get_mut();
            let mut rest = &input[..];
            if let Some(record) = records::next_record(&mut rest).unwrap() {
                let record = (record.kind, record.id, record.content.to_vec());
                *input = rest.to_vec();
                return Some(record);
            }
            if !matches!(self.stream.read_buf(input).await, Ok(1..)) {
                return None;
            }
        }
    }

    /// Reads a whole answer: the id of its request, its text, and the protocol status.
    pub async fn answer(&mut self) -> Option<(u16, String, u8)> {
        let mut text = Vec::new();
        loop {
            match self.record().await? {
                (kind::STDOUT, _, content) => text.extend(content),
                (kind::END_REQUEST, id, content) => {
                    return Some((id, String::from_utf8(text).unwrap(), content[4]));
                }
                other => panic!("{other:?}"),
            }
        }
    }
}

/// Encodes a request as FastCGI records; the parameters `more` come first.
pub fn request(id: u16, uid: u64, class: &str, more: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut params = Vec::new();
    let (uid, path) = (format!("{uid:016x}"), format!("/v1/{class}"));
    let common = [
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", path.as_str()),
        ("HTTP_X_CORRELATION_ID", uid.as_str()),
        ("HTTP_X_UPSTREAM_PEER", "4"),
        ("HTTP_X_ORG", "acme"),
        ("HTTP_X_NEED_KB", "24.5"),
        ("HTTP_X_CRITICALITY", "0.6250"),
    ];
    for (name, value) in more.iter().chain(&common) {
        put_pair(&mut params, name.as_bytes(), value.as_bytes());
    }
    let mut out = Vec::new();
    put_record(&mut out, kind::BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    put_record(&mut out, kind::PARAMS, id, &params);
    put_record(&mut out, kind::PARAMS, id, b"");
    for part in body.chunks(1000) {
        put_record(&mut out, kind::STDIN, id, part);
    }
    put_record(&mut out, kind::STDIN, id, b"");
    out
}

/// A nodo and the sockets of its peers.
pub struct Nodo {
    pub address: SocketAddr,
    pub interpreter: TcpListener,
    pub database: TcpListener,
    pub directory: Option<Peer>,
    pub link: Peer,
    pub moves: watch::Sender<Peers>,
    pub operators: watch::Sender<Option<std::rc::Rc<jaspershunt_operator::File>>>,
    pub leave: Option<oneshot::Sender<()>>,
    pub admin: SocketAddr,
    pub config: Config,
    pub orders: mpsc::Sender<Order>,
    pub directory_at: SocketAddr,
    pub desk: Rc<AdminState>,
    pub done: JoinHandle<()>,
}

impl Nodo {
    /// Starts a nodo whose interpreter is up and which the directory lists as open.
    pub async fn start() -> Nodo {
        Nodo::start_with(|text| text).await
    }

    /// The same with a change of the configuration's text.
    pub async fn start_with(change: impl FnOnce(String) -> String) -> Nodo {
        let (mut nodo, lookup) = Nodo::start_early_with(change).await;
        catch_up(&mut nodo.link, 0, "").await;
        nodo.directory = Some(Peer::accept(&lookup).await);
        assert!(nodo.report().await.ends_with(r#"{"mode":"open"}"#));
        nodo
    }

    /// Starts a nodo whose interpreter accepts the link but is not up yet.
    pub async fn start_early() -> (Nodo, TcpListener) {
        Nodo::start_early_with(|text| text).await
    }

    async fn start_early_with(change: impl FnOnce(String) -> String) -> (Nodo, TcpListener) {
        let (front, address) = listener().await;
        let (interpreter, vm) = listener().await;
        let (database, db) = listener().await;
        let (lookup, directory) = listener().await;
        let (leave, leave_requested) = oneshot::channel();
        let at = [address, vm, directory, db].map(|at| at.to_string());
        let config = config::read(&change(config_text(&at[0], &at[1], &at[2], &at[3])), |_| None).unwrap();
        let (moves, peers) = watch::channel(config.peers);
        let (operators, operator) = watch::channel(None);
        let (admin_listener, admin_address) = listener().await;
        let desk = Rc::new(AdminState::default());
        let orders = mpsc::channel(admin::QUEUE);
        let order_sender = orders.0.clone();
        let config_copy = config.clone();
        let endpoints =
            Endpoints { admin: Some(admin_listener), desk: desk.clone(), orders, ..Endpoints::new(front) };
        let run = server::run(config, Clock::System, endpoints, peers, operator, async {
            let _ = leave_requested.await;
        });
        let done = spawn_local(async move { run.await.unwrap() });
        let link = Peer::accept(&interpreter).await;
        (
            Nodo {
                address,
                interpreter,
                database,
                directory: None,
                link,
                moves,
                operators,
                leave: Some(leave),
                admin: admin_address,
                config: config_copy,
                orders: order_sender,
                directory_at: directory,
                desk,
                done,
            },
            lookup,
        )
    }

    /// Receives a report as the directory and acknowledges it.
    pub async fn report(&mut self) -> String {
        let directory = self.directory.as_mut().unwrap();
        let report = directory.http().await;
        directory.send("HTTP/1.1 204 No Content\r\n\r\n").await;
        report
    }

    /// Applies a configuration as on SIGHUP.
    pub async fn reload(&self, running: &mut Config, read: Result<Config, ConfigError>) {
        server::reload(running, read, &self.moves, &self.orders, &self.desk).await;
    }

    /// Sends an operators' command and returns the answer.
    pub async fn call(&self, line: &str) -> String {
        let mut caller = Peer::new(TcpStream::connect(self.admin).await.unwrap());
        caller.send(format!("{line}\n")).await;
        let mut answer = String::new();
        while let Some(line) = caller.line().await {
            answer += &line;
        }
        answer
    }

    pub async fn connect(&self) -> Peer {
        Peer::new(TcpStream::connect(self.address).await.unwrap())
    }

    /// Returns the next message to the interpreter that is not a request for the gauges.
    pub async fn command(&mut self) -> String {
        self.link.command().await
    }

    /// Returns the uid of the next run that is started.
    pub async fn applied(&mut self) -> String {
        let command = self.command().await;
        assert!(command.contains(r#""action":"APPLY""#), "{command}");
        field(&command, "uid")
    }
}

/// Returns the string value of a field in a line of JSON.
pub fn field(line: &str, name: &str) -> String {
    let (_, rest) = line.split_once(&format!(r#""{name}":""#)).unwrap_or_else(|| panic!("{name} in {line}"));
    rest.split_once('"').unwrap().0.to_string()
}

/// Completes the handshake of a new link: banner, missed notices, and the first gauges requested.
pub async fn catch_up(link: &mut Peer, pos: u64, missed: &str) {
    let connect = link.line().await.unwrap();
    assert!(connect.contains(r#""CONNECT""#) && connect.contains(&format!(r#""pos":{pos}"#)), "{connect}");
    link.send(concat!(r#"{"action":"BANNER","code":"WARM","wall_ms":5000}"#, "\n")).await;
    let top = link.line().await.unwrap();
    let tops = format!(r#"{{"action":"TOPS","echo":"{}","meters":[0.5,1]}}"#, field(&top, "echo"));
    link.send(format!("{missed}{tops}\n")).await;
}

pub fn value(pos: u64, uid: &str, code: &str, content: &str) -> String {
    format!(
        r#"{{"action":"VALUE","pos":{pos},"uid":"{uid}","code":"{code}","wall_ms":3,"content":"{content}"}}"#
    ) + "\n"
}
