//! Several processes that serve as one nodo: a later process takes over from an earlier one, and any of them
//! may be paused and resumed.
//!
//! The serving process keeps a Unix socket in `$TMPDIR`, and beside it its [`ownership`] of all new requests.
//! A later process connects to the socket and gets the listener for balancers, and, once its interpreter is
//! up, the key table and ownership. From then on the later process handles all new requests: those that still
//! reach the earlier one are relayed over the link and their replies sent back, and connections are
//! transferred with their unprocessed input as soon as they are idle. The earlier process completes its
//! in-flight requests.
//!
//! A process that sends nothing for a second counts as paused, and ownership is taken from it. When it
//! resumes it detects the loss, and hands over to the new owner in the same way ([`Keeper::regain`]).
//!
//! [`claims`] decides which process may run a try and when ownership is taken, [`wire`] defines the messages,
//! [`link`] the socket; the engine's side is in `engine/upgrade`.

pub mod claims;
pub mod link;
pub mod ownership;
pub mod wire;

use crate::admin::AdminState;
use crate::engine::IdlePolicy;
use crate::engine::input::{Input, Peer};
use crate::fastcgi::connections::{Connections, PassedState, accept};
use crate::log;
use crate::server::listen;
use claims::{
    HEARTBEAT_INTERVAL, PeerResponse, SilenceDetector, StabilityWatch, TAKEOVER_DELAY, TakeoverAction,
    TakeoverContext, next_action,
};
use link::{Out, Place, Reader, Writer, ends};
use ownership::{AliveMarker, Ownership};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at};
use wire::{Message, VERSION};

/// How long a process waits for a response of the other.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a declined process asks again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How often acquiring ownership is retried while the folder cannot be written.
const ACQUIRE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most listeners of former owners at which this process accepts too. Connections that wait at further
/// ones are lost with those processes.
const MAX_LISTENERS: usize = 4;

/// An established link to another process.
struct Linked {
    reader: Reader,
    writer: Writer,
}

/// Maximum time for accepting the connections that wait at the listeners of a process that retires.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of contacting the process that listens at the socket.
enum Contact {
    Answers(Linked, Box<Message>, Option<OwnedFd>),
    Declines(String),
    Silent,
    Nobody,
}

impl Contact {
    fn response(&self) -> PeerResponse {
        match self {
            Contact::Answers(..) => PeerResponse::Answers,
            Contact::Declines(_) => PeerResponse::Declines,
            Contact::Silent => PeerResponse::Silent,
            Contact::Nobody => PeerResponse::Nobody,
        }
    }
}

/// Sends a message to the process that listens at the socket, and waits for its first response.
async fn contact(place: &Place, greeting: Message, descriptor: Option<&TcpListener>) -> Contact {
    let stream = match place.connect().await {
        Ok(Some(stream)) => stream,
        Ok(None) => return Contact::Nobody,
        Err(e) => {
            log!(WARN, "upgrade: cannot connect to the socket of another process: {e}");
            return Contact::Nobody;
        }
    };
    let (mut reader, mut writer) = ends(stream);
    let response = async {
        writer.send(&greeting, descriptor.map(AsFd::as_fd)).await?;
        reader.next().await
    };
    let response: Result<io::Result<_>, _> = timeout(RESPONSE_TIMEOUT, response).await;
    match response {
        Ok(Ok((Message::NotNow { why }, _))) => Contact::Declines(why),
        Ok(Ok((first, came))) => Contact::Answers(Linked { reader, writer }, Box::new(first), came),
        // It closed the link: it is alive, or the next attempt finds that it has ended.
        Ok(Err(e)) => Contact::Declines(e.to_string()),
        Err(_) => Contact::Silent,
    }
}

fn unexpected() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "unexpected message")
}

fn silent() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "no message within the time limit")
}

/// Sends all messages of a queue, until the queue is closed or a message cannot be sent. If the other process has closed
/// the link, it never returns: what that process wrote before must still be read, and the end of the link is found
/// by reading.
async fn send_while_open(writer: Writer, messages: mpsc::Receiver<Out>) -> io::Result<()> {
    match writer.send_all(messages).await {
        Err(e) if matches!(e.kind(), io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset) => {
            std::future::pending().await
        }
        ended => ended,
    }
}

/// Sends heartbeats, and returns once the other end is silent.
async fn until_silent(silence: &Cell<SilenceDetector>, out: &mpsc::Sender<Out>) -> io::Error {
    let began = Instant::now();
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // A full queue holds messages enough to count as heartbeats.
        let _ = out.try_send(Message::Alive.into());
        let mut now = silence.get();
        let is_silent = now.tick(began.elapsed());
        silence.set(now);
        if is_silent {
            return silent();
        }
    }
}

fn heard(silence: &Cell<SilenceDetector>) {
    let mut now = silence.get();
    now.heard();
    silence.set(now);
}

/// Runs the side of a link that takes over from the other process. `owns` is notified once this process
/// handles all new requests, and dropped if the link breaks before. Ends with the link; returns whether the
/// other process fell silent. A process that `yields` has lost ownership; any other one transfers it.
async fn take_over(
    link: Linked,
    yields: bool,
    (out, outs): (mpsc::Sender<Out>, mpsc::Receiver<Out>),
    engine: mpsc::Sender<Input>,
    listeners: Rc<Listeners>,
    owns: oneshot::Sender<()>,
) -> bool {
    let front = listeners.front.clone();
    let Linked { mut reader, writer } = link;
    let mut owns = Some(owns);
    let silence = Cell::new(SilenceDetector::default());
    let reading = async {
        loop {
            let message = reader.next().await?;
            heard(&silence);
            let peer = match message {
                (Message::Alive, _) => continue,
                (Message::Table(entries), _) => Peer::Table(entries),
                (Message::Yours { doubt }, Some(file)) if !yields => {
                    let ownership = Ownership::transferred(file);
                    let _ = engine.send(Input::Peer(Peer::Yours { ownership, doubt })).await;
                    // The receiver waits until it is notified.
                    owns.take().map(|owns| owns.send(()));
                    continue;
                }
                // Guards against a process that loses ownership while it is asked for it: this process would
                // then serve without ownership.
                (Message::Yielded, _) if yields => {
                    let _ = out.try_send(Message::Ready.into());
                    owns.take().map(|owns| owns.send(()));
                    Peer::Yielded
                }
                (Message::Work { ticket, work }, _) => Peer::Work { ticket, work, to: out.clone() },
                (Message::Gone { ticket }, _) => Peer::Gone { ticket },
                (Message::Load(load), _) => {
                    front.reserve_for_other_process(load.descriptors as usize);
                    Peer::Load(load)
                }
                (Message::Ended(entry), _) => Peer::Ended(entry),
                (Message::Lameduck { on }, _) => Peer::Lameduck { on },
                (Message::Connection { input, used, waited_ms }, Some(stream)) => {
                    let stream = std::net::TcpStream::from(stream);
                    let peer = stream.peer_addr();
                    match peer.and_then(|peer| Ok((tokio::net::TcpStream::from_std(stream)?, peer))) {
                        Ok((stream, peer)) => {
                            let waited = waited_ms.map(Duration::from_millis);
                            front.adopt(stream, peer, PassedState { input, used, waited });
                        }
                        Err(e) => log!(WARN, "upgrade: a transferred connection cannot be used: {e}"),
                    }
                    continue;
                }
                (Message::Listener, Some(theirs)) => {
                    listeners.add(theirs);
                    continue;
                }
                (Message::Farewell, _) => return Ok(true),
                _ => return Err(unexpected()),
            };
            if engine.send(Input::Peer(peer)).await.is_err() {
                return Ok(false);
            }
        }
    };
    let ended: io::Result<bool> = tokio::select! {
        ended = reading => ended,
        ended = send_while_open(writer, outs) => ended.map(|()| false),
        e = until_silent(&silence, &out) => Err(e),
    };
    let is_silent = ended.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::TimedOut);
    let over = match ended {
        Ok(true) => {
            log!("upgrade: the other process has ended its work");
            Peer::Farewell
        }
        Ok(false) => Peer::Broke,
        Err(e) => {
            log!(WARN, "upgrade: the link to the other start broke: {e}");
            Peer::Broke
        }
    };
    front.reserve_for_other_process(0);
    let _ = engine.send(Input::Peer(over)).await;
    is_silent
}

/// Keeps or regains the ownership of its nodo for one of several processes.
pub struct Keeper {
    /// The folder of the socket and the ownership file.
    pub place: Place,
    /// Shows other processes that this one is alive.
    pub alive: AliveMarker,
    /// The nodo's name.
    pub name: String,
    /// Where balancers connect, as configured.
    pub listen: SocketAddr,
    /// The queue to the engine.
    pub engine: mpsc::Sender<Input>,
    /// Tells connections that they are to be transferred.
    pub idle: watch::Sender<IdlePolicy>,
    /// The state shown to operators.
    pub desk: Rc<AdminState>,
    /// The listeners for balancers.
    pub listeners: Rc<Listeners>,
}

/// The listeners for balancers: this process's own, and those of processes that lost ownership, so that no
/// connection that waits there is lost.
pub struct Listeners {
    /// The connections.
    pub front: Rc<Connections>,
    /// Set once nothing more is accepted.
    close: watch::Sender<bool>,
    all: RefCell<Vec<Rc<TcpListener>>>,
    /// The address of the first listener.
    address: Cell<Option<SocketAddr>>,
    accepting: RefCell<Vec<JoinHandle<()>>>,
}

impl Listeners {
    /// Creates an empty set of listeners.
    pub fn new(front: Rc<Connections>) -> Listeners {
        Listeners {
            front,
            close: watch::channel(false).0,
            all: RefCell::default(),
            address: Cell::default(),
            accepting: RefCell::default(),
        }
    }

    /// Accepts connections at a listener from now on.
    pub fn accept(&self, listener: Rc<TcpListener>) {
        let mut close = self.close.subscribe();
        let stop = async move {
            let _ = close.wait_for(|close| *close).await;
        };
        self.address.set(self.address.get().or_else(|| listener.local_addr().ok()));
        self.all.borrow_mut().push(listener.clone());
        self.accepting.borrow_mut().push(spawn_local(accept(listener, self.front.clone(), stop)));
    }

    /// Returns the first listener for another process. Nothing here may keep it: it must close in
    /// [`Listeners::close`], since connections that the system accepts later would have no answer. Once it is
    /// closed, returns another listener at the same address, which this process does not use.
    fn listener_to_share(&self) -> io::Result<Rc<TcpListener>> {
        if let Some(listener) = self.all.borrow().first() {
            return Ok(listener.clone());
        }
        let address = self.address.get().ok_or(io::ErrorKind::AddrNotAvailable)?;
        listen("listen", address, true).map(Rc::new)
    }

    /// Stops accepting, after the connections that the system has accepted by then.
    pub async fn close(&self, until: Instant) {
        self.close.send_replace(true);
        self.all.take();
        for accepting in self.accepting.take() {
            let _ = timeout_at(until, accepting).await;
        }
    }

    /// Accepts at a listener of another process too, unless it is already in use here.
    fn add(&self, theirs: OwnedFd) {
        let inode = |fd| rustix::fs::fstat(fd).ok().map(|file| (file.st_dev, file.st_ino));
        let known = self.all.borrow().iter().any(|mine| inode(mine.as_fd()) == inode(theirs.as_fd()));
        if known {
            return;
        }
        if self.all.borrow().len() >= MAX_LISTENERS {
            return log!(
                WARN,
                "upgrade: too many listeners; connections waiting at another process's listener may be lost"
            );
        }
        match listener_from(theirs) {
            Ok(listener) => self.accept(Rc::new(listener)),
            Err(e) => log!(WARN, "upgrade: cannot use the listener of another process: {e}"),
        }
    }

    /// Returns the descriptors of all listeners but the first.
    fn further(&self) -> Vec<OwnedFd> {
        let all = self.all.borrow();
        all.iter().skip(1).filter_map(|listener| listener.as_fd().try_clone_to_owned().ok()).collect()
    }
}

fn listener_from(fd: OwnedFd) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::from(fd);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// The state of a process that has just become the owner.
pub struct Serving {
    /// Where balancers connect.
    pub listener: Rc<TcpListener>,
    /// The task that takes over from an earlier process, and the queue of messages to that process.
    taking: Option<(JoinHandle<bool>, mpsc::Sender<Out>)>,
}

impl Keeper {
    /// Gets ownership: at once if no other process is alive, from one that hands over, or by taking it from a
    /// silent one.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub async fn begin(&self, listen: impl Fn() -> io::Result<TcpListener>) -> io::Result<Serving> {
        let mut listener: Option<TcpListener> = None;
        let mut others = self.alive.others;
        let mut last_reason = String::new();
        let (mut steady, began) = (StabilityWatch::default(), Instant::now());
        // After silence on a link the process is not contacted again.
        let mut is_silent = false;
        loop {
            let hello =
                Message::Hello { version: VERSION, name: self.name.clone(), listen: self.listen.to_string() };
            let contact = if is_silent { Contact::Silent } else { contact(&self.place, hello, None).await };
            if !matches!(contact, Contact::Nobody) {
                others = true;
            }
            let steady = steady.see(self.place.ownership_mark(), began.elapsed());
            let action =
                next_action(contact.response(), TakeoverContext { up: self.desk.up.get(), others, steady });
            match (action, contact) {
                (_, Contact::Answers(link, first, Some(theirs)))
                    if matches!(*first, Message::Welcome { .. }) =>
                {
                    let lameduck = *first == Message::Welcome { lameduck: true };
                    let theirs = listener_from(theirs)?;
                    let (task, out, owns) = self.take_over_from(link, Some(lameduck)).await;
                    if owns.await.is_ok() {
                        return Ok(Serving { listener: Rc::new(theirs), taking: Some((task, out)) });
                    }
                    // It has ended, or is paused with ownership; connections that wait at its listener are
                    // still served.
                    listener = Some(theirs);
                    is_silent = task.await.unwrap_or(false);
                }
                (TakeoverAction::Acquire { alone }, _) => {
                    is_silent = false;
                    if !self.acquire_ownership(alone).await {
                        continue;
                    }
                    // Created after ownership was acquired: what waits there was sent since then.
                    let listener = listener.map_or_else(&listen, Ok)?;
                    return Ok(Serving { listener: Rc::new(listener), taking: None });
                }
                (_, contact) => {
                    let why = match contact {
                        Contact::Declines(why) => format!("does not hand over: {why}"),
                        Contact::Answers(..) => format!("does not hand over: {}", unexpected()),
                        _ if self.desk.up.get() => "is alive and cannot be reached".to_string(),
                        _ => "does not respond, and this process's interpreter is not up yet".to_string(),
                    };
                    if why != last_reason {
                        log!(WARN, "upgrade: another start {why}; this one waits");
                        last_reason = why;
                    }
                    is_silent = false;
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Takes ownership, and waits until the former owner can run no new requests; returns whether this
    /// process is the owner then.
    async fn acquire_ownership(&self, alone: bool) -> bool {
        let ownership = match self.place.acquire_ownership() {
            Ok(ownership) => ownership,
            Err(e) => {
                log!(ERROR, "upgrade: cannot write the ownership file: {e}; this process waits");
                sleep(ACQUIRE_RETRY_INTERVAL).await;
                return false;
            }
        };
        let peer = if alone {
            Peer::Found(ownership)
        } else {
            sleep(TAKEOVER_DELAY).await;
            Peer::Taken(ownership)
        };
        let _ = self.engine.send(Input::Peer(peer)).await;
        // Another process may have taken ownership meanwhile.
        let (reply, has_it) = oneshot::channel();
        let _ = self.engine.send(Input::Peer(Peer::OwnershipQuery { answer: reply })).await;
        let has_it = has_it.await.unwrap_or(false);
        if has_it && !alone {
            log!(
                WARN,
                "upgrade: the owner of new requests does not respond; this process has taken ownership"
            );
        }
        has_it
    }

    /// Takes over from the process at the other end of a link. Returns the task, the queue of messages to
    /// that process, and a receiver that is notified once this process handles all new requests.
    async fn take_over_from(
        &self,
        link: Linked,
        lameduck: Option<bool>,
    ) -> (JoinHandle<bool>, mpsc::Sender<Out>, oneshot::Receiver<()>) {
        let (out, outs) = mpsc::channel(link::MAX_QUEUED_MESSAGES);
        let earlier = Peer::Earlier { to: out.clone(), lameduck };
        let _ = self.engine.send(Input::Peer(earlier)).await;
        let (owns, now_owns) = oneshot::channel();
        let yields = lameduck.is_none();
        let task =
            take_over(link, yields, (out.clone(), outs), self.engine.clone(), self.listeners.clone(), owns);
        (spawn_local(task), out, now_owns)
    }

    /// Runs until the process ends: waits for a later process and hands over to it, takes over from one that
    /// lost ownership, and yields when this one has lost it. If the later process ends, this one serves as
    /// before, unless it was told to leave.
    ///
    /// While this process itself is still taking over, others are declined.
    pub async fn keep(self, serves: Serving) {
        let Serving { listener, taking } = serves;
        drop(listener);
        let mut socket = None;
        let mut taking = taking.map(|(task, out)| {
            // An error means that the earlier process has ended.
            let _ = out.try_send(Message::Ready.into());
            task
        });
        loop {
            let acceptor = match socket.take().map_or_else(|| self.place.listen(), Ok) {
                Ok(acceptor) => acceptor,
                Err(e) => return log!(WARN, "upgrade: cannot create the socket for a later process: {e}"),
            };
            if let Some(mut task) = taking.take() {
                let lost = tokio::select! {
                    _ = &mut task => false,
                    () = decline_links(&acceptor) => false,
                    () = self.until_lost() => true,
                };
                if lost {
                    task.abort();
                    self.listeners.front.reserve_for_other_process(0);
                    drop(acceptor);
                    self.regain(false).await;
                    continue;
                }
            }
            let accepted = tokio::select! {
                accepted = self.accept_link(&acceptor) => Some(accepted),
                () = self.until_lost() => None,
            };
            match accepted {
                // This process has lost ownership.
                None => {
                    drop(acceptor);
                    self.regain(false).await;
                }
                Some(Accepted::Nobody) => socket = Some(acceptor),
                Some(Accepted::Later(link)) => {
                    log!("upgrade: a later start is here");
                    let given = Cell::new(false);
                    let ended = tokio::select! {
                        ended = self.hand_over(link, None, &given) => ended,
                        () = decline_links(&acceptor) => Ok(()),
                        () = self.until_lost() => Ok(()),
                    };
                    let is_silent = self.hand_over_ended(&ended).await;
                    if self.retires(&given) {
                        drop(acceptor);
                        return self.stop_serving().await;
                    }
                    if given.get() || self.desk.lost.get() {
                        drop(acceptor);
                        self.regain(is_silent).await;
                    }
                }
                Some(Accepted::Lost(link, theirs)) => {
                    log!("upgrade: a process that lost ownership hands over its work and connections");
                    self.listeners.add(theirs);
                    let (task, _, _) = self.take_over_from(link, None).await;
                    taking = Some(task);
                    socket = Some(acceptor);
                }
            }
        }
    }

    /// Whether this process was told to leave after it had handed over: it does not serve again, whatever became of
    /// the other process, which may have left with the nodo.
    fn retires(&self, given: &Cell<bool>) -> bool {
        self.desk.leaves.get() && (given.get() || self.desk.lost.get())
    }

    /// Closes the listeners, whose waiting connections no other process may accept any more, and all connections that
    /// become idle. The engine runs nothing new.
    async fn stop_serving(&self) {
        log!("upgrade: the other process is gone; this one was told to leave and takes nothing new");
        self.listeners.close(Instant::now() + CLOSE_TIMEOUT).await;
        self.idle.send_modify(|idle| (idle.limit, idle.permanent) = (Duration::ZERO, true));
    }

    /// Undoes what a handover began; returns whether the other process fell silent.
    async fn hand_over_ended(&self, ended: &io::Result<()>) -> bool {
        // The engine first: in a process that retires it must know before connections are accepted here again.
        let _ = self.engine.send(Input::Peer(Peer::Broke)).await;
        self.listeners.front.set_successor(None);
        self.idle.send_modify(|idle| idle.hand_over = false);
        match ended {
            Ok(()) => false,
            Err(e) => {
                log!(WARN, "upgrade: the link to the other start broke: {e}");
                e.kind() == io::ErrorKind::TimedOut
            }
        }
    }

    /// Handles the loss of ownership: hands over to the owner for as long as that responds, and takes
    /// ownership back once it is silent.
    async fn regain(&self, mut is_silent: bool) {
        let mut last_reason = String::new();
        let (mut steady, began) = (StabilityWatch::default(), Instant::now());
        loop {
            let me =
                Message::Yield { version: VERSION, name: self.name.clone(), listen: self.listen.to_string() };
            let contact = match self.listeners.listener_to_share() {
                _ if is_silent => Contact::Silent,
                Ok(listener) => contact(&self.place, me, Some(&listener)).await,
                Err(e) => {
                    log!(WARN, "upgrade: {e}; the owner is not contacted yet");
                    sleep(RETRY_INTERVAL).await;
                    continue;
                }
            };
            let steady = steady.see(self.place.ownership_mark(), began.elapsed());
            match (
                next_action(contact.response(), TakeoverContext { up: true, others: true, steady }),
                contact,
            ) {
                (TakeoverAction::Connect, Contact::Answers(link, first, _)) => {
                    log!("upgrade: this process hands over to the owner");
                    let given = Cell::new(false);
                    let ended = self.hand_over(link, Some(*first), &given).await;
                    is_silent = self.hand_over_ended(&ended).await;
                }
                (TakeoverAction::Acquire { .. }, _) if self.desk.leaves.get() => {
                    let _ = self.engine.send(Input::Peer(Peer::Broke)).await;
                    self.stop_serving().await;
                    return std::future::pending().await;
                }
                (TakeoverAction::Acquire { .. }, _) => {
                    is_silent = false;
                    if self.acquire_ownership(false).await {
                        return;
                    }
                }
                (_, contact) => {
                    if let Contact::Declines(why) = contact
                        && why != last_reason
                    {
                        log!(WARN, "upgrade: the owner does not take over yet: {why}");
                        last_reason = why;
                    }
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Returns once the engine has detected that another process took ownership.
    async fn until_lost(&self) {
        while !self.desk.lost.get() {
            self.desk.lost_now.notified().await;
        }
    }

    /// Accepts a link, and decides whether the process at its other end may use it.
    async fn accept_link(&self, socket: &UnixListener) -> Accepted {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(RETRY_INTERVAL).await;
            return Accepted::Nobody;
        };
        let (mut reader, mut writer) = ends(stream);
        let (lame, lameduck) = oneshot::channel();
        let _ = self.engine.send(Input::Peer(Peer::LameduckQuery { answer: lame })).await;
        let greeting = async {
            let (message, descriptor) = reader.next().await?;
            let (version, name, listen, lost) = match message {
                Message::Hello { version, name, listen } => (version, name, listen, None),
                Message::Yield { version, name, listen } => (version, name, listen, descriptor),
                _ => return Ok(Greeting::No),
            };
            let why = if version != VERSION {
                format!("it has protocol version {version}, this process {VERSION}")
            } else if name != self.name || listen != self.listen.to_string() {
                format!("it is {name} on {listen}, this process {} on {}", self.name, self.listen)
            } else {
                match (lameduck.await.unwrap_or(None), lost) {
                    (Some(_), Some(theirs)) => return Ok(Greeting::Lost(theirs)),
                    (Some(lameduck), None) => {
                        let welcome = Message::Welcome { lameduck };
                        let listener = self.listeners.listener_to_share()?;
                        writer.send(&welcome, Some(listener.as_fd())).await?;
                        return Ok(Greeting::Later);
                    }
                    (None, _) => "this process has lost ownership itself".to_string(),
                }
            };
            log!(WARN, "upgrade: another process is declined: {why}");
            writer.send(&Message::NotNow { why }, None).await.map(|()| Greeting::No)
        };
        let greeting: Result<io::Result<Greeting>, _> = timeout(RESPONSE_TIMEOUT, greeting).await;
        match greeting {
            Ok(Ok(Greeting::Later)) => Accepted::Later(Linked { reader, writer }),
            Ok(Ok(Greeting::Lost(theirs))) => Accepted::Lost(Linked { reader, writer }, theirs),
            _ => Accepted::Nobody,
        }
    }

    /// Runs the side of a link that hands over, until the link ends; `given` is set once the keys were
    /// transferred.
    async fn hand_over(&self, link: Linked, first: Option<Message>, given: &Cell<bool>) -> io::Result<()> {
        let Linked { mut reader, writer } = link;
        let (out, outs) = mpsc::channel(link::MAX_QUEUED_MESSAGES);
        let silence = Cell::new(SilenceDetector::default());
        let reading = async {
            let mut first = first;
            loop {
                let message = match first.take() {
                    Some(first) => first,
                    None => reader.next().await?.0,
                };
                heard(&silence);
                let peer = match message {
                    Message::Alive => continue,
                    Message::Begin => {
                        let (reply, is_given) = oneshot::channel();
                        let begin = Peer::Begin { to: out.clone(), given: reply };
                        let _ = self.engine.send(Input::Peer(begin)).await;
                        if !is_given.await.unwrap_or(false) {
                            return Err(io::Error::other("the key table is too long for the link"));
                        }
                        given.set(true);
                        for listener in self.listeners.further() {
                            let message = Message::Listener;
                            // An error means that the link has ended.
                            let _ = out.try_send(Out { message, descriptor: Some(listener), sent: None });
                        }
                        continue;
                    }
                    Message::Reply { ticket, reply } => Peer::Reply { ticket, reply },
                    Message::Lameduck { on } => Peer::Lameduck { on },
                    Message::Ready => {
                        self.listeners.front.set_successor(Some(out.clone()));
                        self.idle.send_modify(|idle| idle.hand_over = true);
                        continue;
                    }
                    _ => return Err(unexpected()),
                };
                if self.engine.send(Input::Peer(peer)).await.is_err() {
                    return Ok(());
                }
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = send_while_open(writer, outs) => ended,
            e = until_silent(&silence, &out) => Err(e),
        }
    }
}

/// The process at the other end of an accepted link.
enum Accepted {
    Nobody,
    Later(Linked),
    Lost(Linked, OwnedFd),
}

enum Greeting {
    No,
    Later,
    Lost(OwnedFd),
}

/// Declines further processes while one link is in use.
async fn decline_links(socket: &UnixListener) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let (_, mut writer) = ends(stream);
        let why = "another process is taking over".to_string();
        let _ = timeout(RESPONSE_TIMEOUT, writer.send(&Message::NotNow { why }, None)).await;
    }
}

#[cfg(test)]
mod tests;
