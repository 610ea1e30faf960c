//! The member on real sockets, a real disk and a real clock. It belongs on a thread of its own: the disk is waited for, and a nodo
//! that is crowded to its limits takes no turn from it.
//!
//! Each member dials the voters; a voter answers over the connection on which it was asked, so that those that do not vote need no
//! listener. What cannot be sent at once is dropped: all that members say is said again.

use crate::frame::{self, Envelope, MAX_FRAME, Said, Shown, encode};
use crate::member::{Disk, Input, Member, Output, Setup, To, tick};
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
const INBOX: usize = 1024;
/// Messages that wait to be written to one connection; more are dropped.
const OUTBOX: usize = 256;
/// Until a connection stands.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Between two attempts to connect.
const CONNECT_EVERY: Duration = Duration::from_millis(100);
/// On a connection over which nothing else goes a member says so often that it is here: well within [`IDLE`].
const HERE_EVERY: Duration = Duration::from_secs(30);
/// Who connects has so long for a first message.
const FIRST_WITHIN: Duration = Duration::from_secs(2);
/// A connection on which nothing came for so long is closed.
const IDLE: Duration = Duration::from_secs(120);
/// A message that nobody reads is given up with its connection.
const WRITE_WITHIN: Duration = Duration::from_secs(5);
/// The longest frame of one that has not shown that it is a voter: what others say is short.
const SHORT_FRAME: usize = 64 * 1024;
/// Operators' questions that wait.
const MOST_TICKETS: usize = 64;
/// Entries of operators and of the nodo that wait: half of what a member has room for ([`jaspershunt_fleet::client::MAX_PROPOSALS`]),
/// so that its own find some.
const MOST_PROPOSED: usize = 512;
/// The voter's disk, in the folder.
const VOTER: &str = "voter.redb";
/// How often this member was started.
const STARTS: &str = "starts";

/// Where a member stands.
#[derive(Clone, Debug)]
pub struct Place {
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
    pub again: bool,
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
        answer: oneshot::Sender<Box<Shown>>,
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
    let (path, fresh) = (folder.join(STARTS), folder.join("starts.new"));
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
            let path = self.0.join(VOTER);
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
        let (from, to) = (self.0.join(VOTER), self.0.join("voter.older.redb"));
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
    complaints: Complaints,
}

/// One line a second at most about connections that were closed.
struct Complaints {
    last: RefCell<(Option<Instant>, u64)>,
    log: Rc<dyn Fn(String, bool)>,
}

impl Complaints {
    fn tell(&self, what: impl FnOnce() -> String) {
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
    fn send(&self, to: &To, bytes: Bytes) {
        let holders = self.holders.borrow();
        let outbox = match to {
            To::Voter(name) => self.voters.get(name),
            To::Holder(holder) => holders.get(holder).or_else(|| self.voters.get(&holder.member)),
        };
        // What does not fit is said again.
        let _ = outbox.map(|outbox| outbox.try_send(bytes));
    }

    /// Takes in a frame; who spoke, or why the connection is closed.
    async fn take(&self, bytes: &[u8]) -> Result<Holder, String> {
        let Envelope { from, said, .. } = frame::decode(bytes, &self.fleet).map_err(|e| e.to_string())?;
        // A full inbox holds up this connection alone.
        self.inbox
            .send(Input::Heard { from: from.clone(), said })
            .await
            .map_err(|_| "this member has ended".to_string())?;
        Ok(from)
    }
}

fn codec(longest: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(longest).new_codec()
}

/// Keeps a connection to a voter.
async fn dial(
    links: Rc<Links>,
    voter: String,
    address: SocketAddr,
    mut outbox: mpsc::Receiver<Bytes>,
    here: Bytes,
) {
    loop {
        let stream = match timeout(CONNECT_WITHIN, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => {
                sleep(CONNECT_EVERY).await;
                continue;
            }
        };
        // What waited for the connection is old by now.
        while outbox.try_recv().is_ok() {}
        let _ = stream.set_nodelay(true);
        let (read, write_half) = stream.into_split();
        let mut reader = FramedRead::new(read, codec(MAX_FRAME));
        let writer = FramedWrite::new(write_half, codec(MAX_FRAME));
        let reading = async {
            while let Some(Ok(bytes)) = reader.next().await {
                if let Err(why) = links.take(&bytes).await {
                    links.complaints.tell(|| format!("the link to {address} is closed: {why}"));
                    return;
                }
            }
        };
        // The queue outlives the connection.
        let mut writing = std::pin::pin!(pump(writer, &mut outbox, Some(&here)));
        tokio::select! {
            () = reading => {}
            () = &mut writing => {}
        }
        // A full inbox has more to say than this.
        let _ = links.inbox.try_send(Input::LostSight { voter: voter.clone() });
        sleep(CONNECT_EVERY).await;
    }
}

async fn pump(
    mut writer: FramedWrite<tokio::net::tcp::OwnedWriteHalf, LengthDelimitedCodec>,
    outbox: &mut mpsc::Receiver<Bytes>,
    here: Option<&Bytes>,
) {
    let mut next = here.cloned();
    loop {
        let bytes = match next.take() {
            Some(bytes) => bytes,
            None => match (timeout(HERE_EVERY, outbox.recv()).await, here) {
                (Ok(Some(bytes)), _) => bytes,
                (Ok(None), _) => return,
                (Err(_), Some(here)) => here.clone(),
                (Err(_), None) => continue,
            },
        };
        if !matches!(timeout(WRITE_WITHIN, writer.send(bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// The connections of others.
#[derive(Default)]
struct Guests {
    here: RefCell<BTreeMap<u64, (Rc<Notify>, bool)>>,
}

/// Takes connections of others.
async fn accept(links: Rc<Links>, listener: TcpListener, most: usize) {
    let guests = Rc::new(Guests::default());
    for number in 0u64.. {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        if guests.here.borrow().len() >= most {
            // Guards against connections that say nothing: the oldest of them makes room, and nobody who has spoken does.
            let silent = guests
                .here
                .borrow()
                .iter()
                .find(|(_, (_, spoke))| !spoke)
                .map(|(n, (go, _))| (*n, go.clone()));
            match silent {
                Some((silent, go)) => {
                    go.notify_one();
                    guests.here.borrow_mut().remove(&silent);
                    links.complaints.tell(|| "a connection that said nothing makes room".to_string());
                }
                None => {
                    links.complaints.tell(|| format!("{most} members are connected; {peer} is turned away"));
                    continue;
                }
            }
        }
        let go = Rc::new(Notify::new());
        guests.here.borrow_mut().insert(number, (go.clone(), false));
        let (links, guests) = (links.clone(), guests.clone());
        spawn_local(async move {
            tokio::select! {
                why = attend(&links, &guests, number, stream) => {
                    if let Err(why) = why {
                        links.complaints.tell(|| format!("the link of {peer} is closed: {why}"));
                    }
                }
                () = go.notified() => {}
            }
            guests.here.borrow_mut().remove(&number);
        });
    }
}

/// One connection of another.
async fn attend(links: &Links, guests: &Guests, number: u64, stream: TcpStream) -> Result<(), String> {
    let _ = stream.set_nodelay(true);
    let (read, write_half) = stream.into_split();
    let mut reader = FramedRead::new(read, codec(SHORT_FRAME));
    let (out, mut outbox) = mpsc::channel(OUTBOX);
    let mut writing = std::pin::pin!(pump(FramedWrite::new(write_half, codec(MAX_FRAME)), &mut outbox, None));
    let mut within = FIRST_WITHIN;
    let mut spoke: Option<Holder> = None;
    let reading = async {
        loop {
            let next = timeout(within, reader.next()).await;
            let bytes = match next {
                Err(_) => return Err(format!("it said nothing for {within:?}")),
                Ok(None) => return Ok(()),
                Ok(Some(Err(e))) => return Err(e.to_string()),
                Ok(Some(Ok(bytes))) => bytes,
            };
            let from = links.take(&bytes).await?;
            if spoke.as_ref() != Some(&from) {
                if links.voters.contains_key(&from.member) {
                    reader.decoder_mut().set_max_frame_length(MAX_FRAME);
                }
                if let Some((_, said)) = guests.here.borrow_mut().get_mut(&number) {
                    *said = true;
                }
                within = IDLE;
                links.holders.borrow_mut().insert(from.clone(), out.clone());
                spoke = Some(from);
            }
        }
    };
    let ended = tokio::select! {
        ended = reading => ended,
        () = &mut writing => Ok(()),
    };
    if let Some(holder) = spoke {
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
    place: Place,
    mut orders: mpsc::Receiver<Order>,
    call: impl Fn(Holder, Call) -> C + 'static,
    log: Rc<dyn Fn(String, bool)>,
) -> io::Result<()> {
    let me = setup.me.clone();
    let (inbox, mut heard) = mpsc::channel(INBOX);
    let mut dials = Vec::new();
    let others = place.voters.iter().filter(|(name, _)| **name != me.member);
    let voters = others.map(|(name, address)| {
        let (out, outbox) = mpsc::channel(OUTBOX);
        dials.push((name.clone(), *address, outbox));
        (name.clone(), out)
    });
    let complaints = Complaints { last: RefCell::new((None, 0)), log: log.clone() };
    let links = Rc::new(Links {
        fleet: setup.fleet.clone(),
        voters: voters.collect(),
        holders: RefCell::default(),
        inbox,
        complaints,
    });
    let here = Envelope { fleet: setup.fleet.clone(), from: me.clone(), said: Said::Here };
    let here: Bytes = encode(&here).into();
    let mut tasks = tokio::task::JoinSet::new();
    for (voter, address, outbox) in dials {
        tasks.spawn_local(dial(links.clone(), voter, address, outbox, here.clone()));
    }
    let votes = place.voters.contains_key(&me.member);
    if votes && let Some(listen) = place.listen {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| io::Error::new(e.kind(), format!("fleet.listen: cannot listen on {listen}: {e}")))?;
        tasks.spawn_local(accept(links.clone(), listener, place.links));
    }
    let disk = votes.then(|| Box::new(Folder(place.folder.clone())) as Box<dyn Disk>);
    let mut ticks = interval(tick(setup.terms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let fleet = setup.fleet.clone();
    let mut member = Member::new(setup, disk, Box::new(random), now());
    let (came_in, mut came) = mpsc::channel(INBOX);
    let mut settles: HashMap<u64, oneshot::Sender<Settled>> = HashMap::new();
    let mut shows: HashMap<u64, oneshot::Sender<Box<Shown>>> = HashMap::new();
    let mut ticket = 0;
    loop {
        let input = tokio::select! {
            _ = ticks.tick() => Input::Woke,
            Some(heard) = heard.recv() => heard,
            Some(came) = came.recv() => came,
            Some(order) = orders.recv() => {
                ticket += 1;
                settles.retain(|_, answer| !answer.is_closed());
                shows.retain(|_, answer| !answer.is_closed());
                match order {
                    Order::Leave => Input::Leave,
                    // Who finds no room hears at once that its question was dropped.
                    Order::Propose { .. } if settles.len() >= MOST_PROPOSED => continue,
                    Order::Show { .. } if shows.len() >= MOST_TICKETS => continue,
                    Order::Propose { entry, answer } => {
                        settles.insert(ticket, answer);
                        Input::Propose { ticket, entry }
                    }
                    Order::Show { answer } => {
                        shows.insert(ticket, answer);
                        Input::Show { ticket }
                    }
                }
            }
        };
        let outputs = member.step(now(), unix(), input);
        if let (Some(heard), Some(at)) = (&place.heard, member.client().last_answer_at()) {
            heard.store(u64::try_from(at.as_millis()).unwrap_or(u64::MAX), Ordering::Relaxed);
        }
        for output in outputs {
            match output {
                Output::Say { to, said } => {
                    let envelope = Envelope { fleet: fleet.clone(), from: me.clone(), said };
                    links.send(&to, encode(&envelope).into());
                }
                Output::Call(wanted) => {
                    let (task, number, until) = (wanted.task.clone(), wanted.number, wanted.until);
                    let made = call(me.clone(), wanted);
                    let back = came_in.clone();
                    spawn_local(async move {
                        let left = until.saturating_sub(now());
                        let came = timeout(left, made).await;
                        let came = came.unwrap_or_else(|_| CallOutcome::Failed("it took too long".into()));
                        let _ = back.send(Input::Called { task, number, came }).await;
                    });
                }
                // An error means that the caller has gone.
                Output::Settled { ticket, outcome, again } => {
                    let settled = Settled { outcome, again };
                    let _ = settles.remove(&ticket).map(|answer| answer.send(settled));
                }
                Output::Shown { ticket, shown } => {
                    let _ = shows.remove(&ticket).map(|answer| answer.send(shown));
                }
                Output::Part { name, epoch, bytes } => {
                    if let Some(newest) = &place.newest {
                        newest.send_modify(|newest| drop(newest.insert(name, (epoch, bytes.into()))));
                    }
                }
                Output::Log(what, look) => log(what, look),
                Output::Left => return Ok(()),
            }
        }
    }
}
