//! Runs a member on real sockets, a real disk and a real clock. It belongs on a thread of its own, because
//! disk writes block and an overloaded nodo must not delay it.
//!
//! Each member connects to the voters. A voter answers over the connection on which a request came, so
//! members without a vote need no listener. A message that cannot be sent at once is dropped, since every
//! message is repeated by its sender.

use crate::frame::{self, Envelope, MAX_FRAME_BYTES, Message, StateReport, encode};
use crate::member::{Disk, Input, Member, Output, Recipient, Setup, tick};
use crate::store::StoreError;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use jaspershunt_fleet::client::Call;
use jaspershunt_fleet::tasks::CallOutcome;
use jaspershunt_fleet::{Entry, Holder, Outcome};
use redb::StorageBackend;
use redb::backends::FileBackend;
use rustix::time::{ClockId, clock_gettime};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fs::{File, OpenOptions};
use std::hash::{BuildHasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Received messages that are queued for the member.
const INBOX_MESSAGES: usize = 1024;
/// Messages that are queued for one connection; more are dropped.
const OUTBOX_MESSAGES: usize = 256;
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two connection attempts.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval of keep-alive messages on an idle connection, well within [`IDLE_TIMEOUT`].
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Time limit for the first message on an incoming connection.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// An incoming connection on which nothing arrives for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time limit for writing a message, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum frame size on a connection whose peer has not identified itself as a voter; other members only
/// send short messages.
const SHORT_FRAME_BYTES: usize = 64 * 1024;
/// Maximum pending state queries of operators.
const MAX_STATE_QUERIES: usize = 64;
/// Maximum pending proposals of operators and of the nodo: half of what a member accepts
/// ([`jaspershunt_fleet::client::MAX_PROPOSALS`]), to leave room for the member's own.
const MAX_PROPOSALS: usize = 512;
/// The file of the voter's disk, in the member's folder.
const VOTER_FILE: &str = "voter.redb";
/// The file that counts the starts of this member.
const STARTS_FILE: &str = "starts";

/// Addresses, files and channels of a member.
#[derive(Clone, Debug)]
pub struct DriverConfig {
    /// The address on which a voter listens.
    pub listen: Option<SocketAddr>,
    /// The addresses of the voters.
    pub voters: BTreeMap<String, SocketAddr>,
    /// The folder with the start counter and the voter's disk.
    pub folder: PathBuf,
    /// Maximum incoming connections.
    pub max_connections: usize,
    /// Receives the parts' views for this incarnation.
    pub newest: Option<watch::Sender<Newest>>,
    /// Set to the time of the leader's last answer to this incarnation, in milliseconds of [`now`]; 0 if
    /// there was none.
    pub last_answer_ms: Option<Arc<AtomicU64>>,
}

/// The latest view of each part for this incarnation, with its epoch.
pub type Newest = BTreeMap<String, (u64, Arc<[u8]>)>;

/// The outcome of a proposal.
#[derive(Debug)]
pub struct Settled {
    /// `None` if the outcome is unknown.
    pub outcome: Option<Outcome>,
    /// The proposal was sent more than once: after a refusal, another copy may still be committed.
    pub sent_again: bool,
}

/// Commands of operators and of the nodo.
#[derive(Debug)]
pub enum Order {
    /// Propose an entry.
    Propose {
        /// The entry.
        entry: Entry,
        /// Receives the outcome.
        answer: oneshot::Sender<Settled>,
    },
    /// Query the replicated state.
    Show {
        /// Receives the state.
        answer: oneshot::Sender<Box<StateReport>>,
    },
    /// Release all leases, and end.
    Leave,
}

/// A monotonic clock that also counts the time during which the machine is suspended.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// A random number, seeded by the operating system.
pub fn random() -> u64 {
    RandomState::new().hash_one(0u8)
}

/// The number of a new incarnation. It grows with each start, and its random half differs if a restored
/// folder repeats a count.
///
/// # Errors
/// The folder cannot be read or written.
pub fn incarnation(folder: &Path) -> io::Result<u64> {
    std::fs::create_dir_all(folder)?;
    let (path, fresh) = (folder.join(STARTS_FILE), folder.join("starts.new"));
    let starts: u64 = match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().map_err(|_| {
            io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{} does not contain a number", path.display()),
            )
        })?,
        Err(e) if e.kind() == io::ErrorKind::NotFound => 0,
        Err(e) => return Err(e),
    };
    let starts = starts + 1;
    std::fs::write(&fresh, format!("{starts}\n"))?;
    File::open(&fresh)?.sync_all()?;
    std::fs::rename(&fresh, &path)?;
    File::open(folder)?.sync_all()?;
    Ok(starts << 32 | random() >> 32)
}

/// The voter's disk: a file in this folder.
pub struct Folder(pub PathBuf);

impl Disk for Folder {
    fn open(&mut self) -> Result<Box<dyn StorageBackend>, StoreError> {
        let open = || {
            std::fs::create_dir_all(&self.0)?;
            let path = self.0.join(VOTER_FILE);
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
            // Syncs the folder, so that the file's directory entry survives a power loss.
            File::open(&self.0)?.sync_all()?;
            Ok::<File, io::Error>(file)
        };
        let file = open().map_err(|e| StoreError::Disk(format!("{}: {e}", self.0.display())))?;
        let backend = FileBackend::new(file).map_err(|e| match e {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
            e => StoreError::Disk(e.to_string()),
        })?;
        Ok(Box::new(backend))
    }

    fn set_aside(&mut self) -> Result<(), StoreError> {
        let (from, to) = (self.0.join(VOTER_FILE), self.0.join("voter.older.redb"));
        std::fs::rename(from, to).map_err(|e| StoreError::Disk(e.to_string()))
    }
}

type Outbox = mpsc::Sender<Bytes>;

/// The connections to other members.
struct Links {
    fleet: String,
    /// Outgoing connections, by voter.
    voters: BTreeMap<String, Outbox>,
    /// Incoming connections: the last one on which each incarnation sent a message.
    holders: RefCell<HashMap<Holder, Outbox>>,
    inbox: mpsc::Sender<Input>,
    connection_log: ConnectionLog,
}

/// Logs closed connections, at most one line a second.
struct ConnectionLog {
    last: RefCell<(Option<Instant>, u64)>,
    log: Rc<dyn Fn(String, bool)>,
}

impl ConnectionLog {
    fn warn(&self, what: impl FnOnce() -> String) {
        let mut last = self.last.borrow_mut();
        let now = Instant::now();
        if last.0.is_some_and(|at| now - at < Duration::from_secs(1)) {
            last.1 += 1;
            return;
        }
        let more = std::mem::take(&mut last.1);
        last.0 = Some(now);
        let more = if more > 0 { format!(" (and {more} more since the last line)") } else { String::new() };
        (self.log)(format!("{}{more}", what()), true);
    }
}

impl Links {
    fn send(&self, to: &Recipient, bytes: Bytes) {
        let holders = self.holders.borrow();
        let outbox = match to {
            Recipient::Voter(name) => self.voters.get(name),
            Recipient::Holder(holder) => holders.get(holder).or_else(|| self.voters.get(&holder.member)),
        };
        // A message that does not fit is dropped; its sender repeats it.
        let _ = outbox.map(|outbox| outbox.try_send(bytes));
    }

    /// Handles a frame; returns the sender, or why the connection must be closed.
    async fn take(&self, bytes: &[u8]) -> Result<Holder, String> {
        let Envelope { from, message, .. } = frame::decode(bytes, &self.fleet).map_err(|e| e.to_string())?;
        // A full inbox blocks only this connection.
        self.inbox
            .send(Input::Received { from: from.clone(), message })
            .await
            .map_err(|_| "this member has stopped".to_string())?;
        Ok(from)
    }
}

fn codec(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec()
}

/// Connects to a voter, and reconnects whenever the connection is lost.
async fn dial(
    links: Rc<Links>,
    voter: String,
    address: SocketAddr,
    mut outbox: mpsc::Receiver<Bytes>,
    keep_alive: Bytes,
) {
    loop {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => {
                sleep(CONNECT_RETRY_DELAY).await;
                continue;
            }
        };
        // Messages that were queued while there was no connection are outdated.
        while outbox.try_recv().is_ok() {}
        let _ = stream.set_nodelay(true);
        let (read, write_half) = stream.into_split();
        let mut reader = FramedRead::new(read, codec(MAX_FRAME_BYTES));
        let writer = FramedWrite::new(write_half, codec(MAX_FRAME_BYTES));
        let reading = async {
            while let Some(Ok(bytes)) = reader.next().await {
                if let Err(why) = links.take(&bytes).await {
                    links.connection_log.warn(|| format!("the link to {address} is closed: {why}"));
                    return;
                }
            }
        };
        // The queue outlives the connection.
        let mut writing = std::pin::pin!(write_frames(writer, &mut outbox, Some(&keep_alive)));
        tokio::select! {
            () = reading => {}
            () = &mut writing => {}
        }
        // If the inbox is full, this event is dropped.
        let _ = links.inbox.try_send(Input::ConnectionLost { voter: voter.clone() });
        sleep(CONNECT_RETRY_DELAY).await;
    }
}

async fn write_frames(
    mut writer: FramedWrite<tokio::net::tcp::OwnedWriteHalf, LengthDelimitedCodec>,
    outbox: &mut mpsc::Receiver<Bytes>,
    keep_alive: Option<&Bytes>,
) {
    let mut next = keep_alive.cloned();
    loop {
        let bytes = match next.take() {
            Some(bytes) => bytes,
            None => match (timeout(KEEP_ALIVE_INTERVAL, outbox.recv()).await, keep_alive) {
                (Ok(Some(bytes)), _) => bytes,
                (Ok(None), _) => return,
                (Err(_), Some(keep_alive)) => keep_alive.clone(),
                (Err(_), None) => continue,
            },
        };
        if !matches!(timeout(WRITE_TIMEOUT, writer.send(bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// The incoming connections, with whether a message has arrived on each.
#[derive(Default)]
struct InboundConnections {
    open: RefCell<BTreeMap<u64, (Rc<Notify>, bool)>>,
}

/// Accepts incoming connections.
async fn accept(links: Rc<Links>, listener: TcpListener, max_connections: usize) {
    let inbound = Rc::new(InboundConnections::default());
    for number in 0u64.. {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        if inbound.open.borrow().len() >= max_connections {
            // Guards against connections that send nothing: the oldest of them is closed; one on which a
            // message arrived never is.
            let silent = inbound
                .open
                .borrow()
                .iter()
                .find(|(_, (_, has_sent))| !has_sent)
                .map(|(n, (close, _))| (*n, close.clone()));
            match silent {
                Some((silent, close)) => {
                    close.notify_one();
                    inbound.open.borrow_mut().remove(&silent);
                    links
                        .connection_log
                        .warn(|| "a connection without a message makes room for a new one".to_string());
                }
                None => {
                    links
                        .connection_log
                        .warn(|| format!("{max_connections} members are connected; refused {peer}"));
                    continue;
                }
            }
        }
        let close = Rc::new(Notify::new());
        inbound.open.borrow_mut().insert(number, (close.clone(), false));
        let (links, inbound) = (links.clone(), inbound.clone());
        spawn_local(async move {
            tokio::select! {
                why = serve_connection(&links, &inbound, number, stream) => {
                    if let Err(why) = why {
                        links.connection_log.warn(|| format!("the link from {peer} is closed: {why}"));
                    }
                }
                () = close.notified() => {}
            }
            inbound.open.borrow_mut().remove(&number);
        });
    }
}

/// Serves one incoming connection.
async fn serve_connection(
    links: &Links,
    inbound: &InboundConnections,
    number: u64,
    stream: TcpStream,
) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let (read, write_half) = stream.into_split();
    let mut reader = FramedRead::new(read, codec(SHORT_FRAME_BYTES));
    let (out, mut outbox) = mpsc::channel(OUTBOX_MESSAGES);
    let mut writing =
        std::pin::pin!(write_frames(FramedWrite::new(write_half, codec(MAX_FRAME_BYTES)), &mut outbox, None));
    let mut read_timeout = FIRST_MESSAGE_TIMEOUT;
    let mut peer_holder: Option<Holder> = None;
    let reading = async {
        loop {
            let next = timeout(read_timeout, reader.next()).await;
            let bytes = match next {
                Err(_) => return Err(format!("no message for {read_timeout:?}")),
                Ok(None) => return Ok(()),
                Ok(Some(Err(e))) => return Err(e.to_string()),
                Ok(Some(Ok(bytes))) => bytes,
            };
            let from = links.take(&bytes).await?;
            if peer_holder.as_ref() != Some(&from) {
                if links.voters.contains_key(&from.member) {
                    reader.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
                }
                if let Some((_, has_sent)) = inbound.open.borrow_mut().get_mut(&number) {
                    *has_sent = true;
                }
                read_timeout = IDLE_TIMEOUT;
                links.holders.borrow_mut().insert(from.clone(), out.clone());
                peer_holder = Some(from);
            }
        }
    };
    let ended = tokio::select! {
        ended = reading => ended,
        () = &mut writing => Ok(()),
    };
    if let Some(holder) = peer_holder {
        let mut holders = links.holders.borrow_mut();
        // The peer may have reconnected meanwhile.
        if holders.get(&holder).is_some_and(|other| other.same_channel(&out)) {
            holders.remove(&holder);
        }
    }
    ended
}

/// Runs a member until it has left, which [`Order::Leave`] requests. Needs a local set. `call` performs the
/// calls of tasks for this incarnation; `log` writes a line, with `true` for a warning.
///
/// # Errors
/// The address cannot be bound.
pub async fn run<C: Future<Output = CallOutcome> + 'static>(
    setup: Setup,
    config: DriverConfig,
    mut orders: mpsc::Receiver<Order>,
    call: impl Fn(Holder, Call) -> C + 'static,
    log: Rc<dyn Fn(String, bool)>,
) -> io::Result<()> {
    let me = setup.me.clone();
    let (inbox, mut received) = mpsc::channel(INBOX_MESSAGES);
    let mut dials = Vec::new();
    let others = config.voters.iter().filter(|(name, _)| **name != me.member);
    let voters = others.map(|(name, address)| {
        let (out, outbox) = mpsc::channel(OUTBOX_MESSAGES);
        dials.push((name.clone(), *address, outbox));
        (name.clone(), out)
    });
    let connection_log = ConnectionLog { last: RefCell::new((None, 0)), log: log.clone() };
    let links = Rc::new(Links {
        fleet: setup.fleet.clone(),
        voters: voters.collect(),
        holders: RefCell::default(),
        inbox,
        connection_log,
    });
    let keep_alive = Envelope { fleet: setup.fleet.clone(), from: me.clone(), message: Message::KeepAlive };
    let keep_alive: Bytes = encode(&keep_alive).into();
    let mut tasks = tokio::task::JoinSet::new();
    for (voter, address, outbox) in dials {
        tasks.spawn_local(dial(links.clone(), voter, address, outbox, keep_alive.clone()));
    }
    let votes = config.voters.contains_key(&me.member);
    if votes && let Some(listen) = config.listen {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| io::Error::new(e.kind(), format!("fleet.listen: cannot listen on {listen}: {e}")))?;
        tasks.spawn_local(accept(links.clone(), listener, config.max_connections));
    }
    let disk = votes.then(|| Box::new(Folder(config.folder.clone())) as Box<dyn Disk>);
    let mut ticks = interval(tick(setup.timing));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let fleet = setup.fleet.clone();
    let mut member = Member::new(setup, disk, Box::new(random), now());
    let (ended_calls, mut call_ends) = mpsc::channel(INBOX_MESSAGES);
    let mut proposals: HashMap<u64, oneshot::Sender<Settled>> = HashMap::new();
    let mut state_queries: HashMap<u64, oneshot::Sender<Box<StateReport>>> = HashMap::new();
    let mut ticket = 0;
    loop {
        let input = tokio::select! {
            _ = ticks.tick() => Input::Tick,
            Some(input) = received.recv() => input,
            Some(ended) = call_ends.recv() => ended,
            Some(order) = orders.recv() => {
                ticket += 1;
                proposals.retain(|_, answer| !answer.is_closed());
                state_queries.retain(|_, answer| !answer.is_closed());
                match order {
                    Order::Leave => Input::Leave,
                    // Dropping the order closes its answer channel, which tells the caller at once that it
                    // was refused.
                    Order::Propose { .. } if proposals.len() >= MAX_PROPOSALS => continue,
                    Order::Show { .. } if state_queries.len() >= MAX_STATE_QUERIES => continue,
                    Order::Propose { entry, answer } => {
                        proposals.insert(ticket, answer);
                        Input::Propose { ticket, entry }
                    }
                    Order::Show { answer } => {
                        state_queries.insert(ticket, answer);
                        Input::QueryState { ticket }
                    }
                }
            }
        };
        let outputs = member.step(now(), unix(), input);
        if let (Some(last_answer_ms), Some(at)) = (&config.last_answer_ms, member.client().last_answer_at()) {
            last_answer_ms.store(u64::try_from(at.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
        }
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let envelope = Envelope { fleet: fleet.clone(), from: me.clone(), message };
                    links.send(&to, encode(&envelope).into());
                }
                Output::Call(wanted) => {
                    let (task, number, until) = (wanted.task.clone(), wanted.number, wanted.until);
                    let made = call(me.clone(), wanted);
                    let back = ended_calls.clone();
                    spawn_local(async move {
                        let left = until.saturating_sub(now());
                        let outcome = timeout(left, made).await;
                        let outcome =
                            outcome.unwrap_or_else(|_| CallOutcome::Failed("it took too long".into()));
                        let _ = back.send(Input::CallEnded { task, number, outcome }).await;
                    });
                }
                // An error means that the caller has gone.
                Output::Settled { ticket, outcome, sent_again } => {
                    let settled = Settled { outcome, sent_again };
                    let _ = proposals.remove(&ticket).map(|answer| answer.send(settled));
                }
                Output::StateReport { ticket, report } => {
                    let _ = state_queries.remove(&ticket).map(|answer| answer.send(report));
                }
                Output::Part { name, epoch, bytes } => {
                    if let Some(newest) = &config.newest {
                        newest.send_modify(|newest| drop(newest.insert(name, (epoch, bytes.into()))));
                    }
                }
                Output::Log(what, look) => log(what, look),
                Output::Left => return Ok(()),
            }
        }
    }
}
