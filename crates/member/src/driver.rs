//! The member on real sockets, a real disk and a real clock. It belongs on a thread of its own: the disk is waited for, and a nodo
//! that is crowded to its limits takes no turn from it.
//!
//! Each member dials the voters; a voter answers over the connection on which it was asked, so that those that do not vote need no
//! listener. What cannot be sent at once is dropped: all that members say is said again.

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

/// Messages that have come and wait for the member.
const INBOX_MESSAGES: usize = 1024;
/// Messages that wait to be written to one connection; more are dropped.
const OUTBOX_MESSAGES: usize = 256;
/// Until a connection stands.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two attempts to connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// On a connection over which nothing else goes a member says so often that it is here: well within [`IDLE_TIMEOUT`].
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Who connects has so long for a first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection on which nothing came for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// A message that nobody reads is given up with its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest frame of one that has not shown that it is a voter: what others say is short.
const SHORT_FRAME_BYTES: usize = 64 * 1024;
/// Operators' questions that wait.
const MAX_STATE_QUERIES: usize = 64;
/// Entries of operators and of the nodo that wait: half of what a member has room for ([`jaspershunt_fleet::client::MAX_PROPOSALS`]),
/// so that its own find some.
const MAX_PROPOSALS: usize = 512;
/// The voter's disk, in the folder.
const VOTER_FILE: &str = "voter.redb";
/// How often this member was started.
const STARTS_FILE: &str = "starts";

/// Where a member stands.
#[derive(Clone, Debug)]
pub struct DriverConfig {
    /// Where others connect, if this member votes.
    pub listen: Option<SocketAddr>,
    /// Where the voters are.
    pub voters: BTreeMap<String, SocketAddr>,
    /// What lasts of it: how often it was started, and the voter's disk.
    pub folder: PathBuf,
    /// Connections of others at once.
    pub links: usize,
    /// Who is to hear what parts of the agreed state show this start.
    pub newest: Option<watch::Sender<Newest>>,
    /// Where it is kept when the one that leads last answered this start, in milliseconds of [`now`]; 0: never.
    pub heard: Option<Arc<AtomicU64>>,
}

/// What each part of the agreed state shows this start, with its epoch: the newest alone.
pub type Newest = BTreeMap<String, (u64, Arc<[u8]>)>;

/// What came of an entry.
#[derive(Debug)]
pub struct Settled {
    /// `None` if nobody knows.
    pub outcome: Option<Outcome>,
    /// It was said more than once: where this outcome is a refusal, another copy may be agreed yet.
    pub sent_again: bool,
}

/// What operators and the nodo want.
#[derive(Debug)]
pub enum Order {
    /// Have an entry agreed.
    Propose {
        /// The entry.
        entry: Entry,
        /// Told what came of it.
        answer: oneshot::Sender<Settled>,
    },
    /// Show the agreed state.
    Show {
        /// Told it.
        answer: oneshot::Sender<Box<StateReport>>,
    },
    /// Give up what is held, and end.
    Leave,
}

/// A monotone clock that goes on while the machine sleeps.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Drawn by the system.
pub fn random() -> u64 {
    RandomState::new().hash_one(0u8)
}

/// The incarnation of this start: grows with each one, and two that were given the same count by a folder put back differ.
///
/// # Errors
/// The folder cannot be read or written.
pub fn incarnation(folder: &Path) -> io::Result<u64> {
    std::fs::create_dir_all(folder)?;
    let (path, fresh) = (folder.join(STARTS_FILE), folder.join("starts.new"));
    let starts: u64 = match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().map_err(|_| {
            io::Error::new(io::ErrorKind::InvalidData, format!("{} holds no number", path.display()))
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

/// The voter's disk: a file in the folder.
pub struct Folder(pub PathBuf);

impl Disk for Folder {
    fn open(&mut self) -> Result<Box<dyn StorageBackend>, StoreError> {
        let open = || {
            std::fs::create_dir_all(&self.0)?;
            let path = self.0.join(VOTER_FILE);
            let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
            // So that the file itself is still there after a loss of power.
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

/// The ways to others.
struct Links {
    fleet: String,
    /// Those that were dialled, by voter.
    voters: BTreeMap<String, Outbox>,
    /// Those over which others came: the last one over which each start said something.
    holders: RefCell<HashMap<Holder, Outbox>>,
    inbox: mpsc::Sender<Input>,
    connection_log: ConnectionLog,
}

/// One line a second at most about connections that were closed.
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
        // What does not fit is said again.
        let _ = outbox.map(|outbox| outbox.try_send(bytes));
    }

    /// Takes in a frame; who spoke, or why the connection is closed.
    async fn take(&self, bytes: &[u8]) -> Result<Holder, String> {
        let Envelope { from, message, .. } = frame::decode(bytes, &self.fleet).map_err(|e| e.to_string())?;
        // A full inbox holds up this connection alone.
        self.inbox
            .send(Input::Received { from: from.clone(), message })
            .await
            .map_err(|_| "this member has ended".to_string())?;
        Ok(from)
    }
}

fn codec(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_bytes).new_codec()
}

/// Keeps a connection to a voter.
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
        // What waited for the connection is old by now.
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
        // A full inbox has more to say than this.
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

/// The connections of others.
#[derive(Default)]
struct InboundConnections {
    open: RefCell<BTreeMap<u64, (Rc<Notify>, bool)>>,
}

/// Takes connections of others.
async fn accept(links: Rc<Links>, listener: TcpListener, max_connections: usize) {
    let inbound = Rc::new(InboundConnections::default());
    for number in 0u64.. {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        if inbound.open.borrow().len() >= max_connections {
            // Guards against connections that say nothing: the oldest of them makes room, and nobody who has spoken does.
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
                    links.connection_log.warn(|| "a connection that said nothing makes room".to_string());
                }
                None => {
                    links
                        .connection_log
                        .warn(|| format!("{max_connections} members are connected; {peer} is turned away"));
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
                        links.connection_log.warn(|| format!("the link of {peer} is closed: {why}"));
                    }
                }
                () = close.notified() => {}
            }
            inbound.open.borrow_mut().remove(&number);
        });
    }
}

/// One connection of another.
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
                Err(_) => return Err(format!("it said nothing for {read_timeout:?}")),
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
        // It may have come again over another connection.
        if holders.get(&holder).is_some_and(|other| other.same_channel(&out)) {
            holders.remove(&holder);
        }
    }
    ended
}

/// Runs a member until it is told to leave and has left, or for ever. Needs a local set. `call` makes the calls of tasks for this start, `log` writes
/// a line, with `true` where operators should look.
///
/// # Errors
/// The address cannot be had.
pub async fn run<C: Future<Output = CallOutcome> + 'static>(
    setup: Setup,
    config: DriverConfig,
    mut orders: mpsc::Receiver<Order>,
    call: impl Fn(Holder, Call) -> C + 'static,
    log: Rc<dyn Fn(String, bool)>,
) -> io::Result<()> {
    let me = setup.me.clone();
    let (inbox, mut heard) = mpsc::channel(INBOX_MESSAGES);
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
        tasks.spawn_local(accept(links.clone(), listener, config.links));
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
            Some(heard) = heard.recv() => heard,
            Some(ended) = call_ends.recv() => ended,
            Some(order) = orders.recv() => {
                ticket += 1;
                proposals.retain(|_, answer| !answer.is_closed());
                state_queries.retain(|_, answer| !answer.is_closed());
                match order {
                    Order::Leave => Input::Leave,
                    // Who finds no room hears at once that its question was dropped.
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
        if let (Some(heard), Some(at)) = (&config.heard, member.client().last_answer_at()) {
            heard.store(u64::try_from(at.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
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
