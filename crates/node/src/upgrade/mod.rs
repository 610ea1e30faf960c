//! Several processes as one nodo: a later start of the program takes over from an earlier one, and any of them may be frozen
//! and wake.
//!
//! The one that serves keeps a Unix socket in `$TMPDIR`, and beside it the [`right`] to run what is new. A later start finds
//! it, gets the listener of balancers over it, and, once its interpreter is up, the table of keys and the right. From then on
//! all that is new is the later one's: what still reaches the earlier one is sent over the link and its reply sent back, and
//! connections follow as soon as they are quiet, with what was read of them. The earlier one ends what it has in hand.
//!
//! A process that says nothing for a second is frozen, for all that anybody can tell: the right is taken from it. When it wakes
//! it sees that, and hands over what it has to the one that serves, in the same way ([`Keeper::regain`]).
//!
//! [`claims`] decides who may run what and who takes the right when, [`wire`] has the messages, [`link`] the socket; the
//! engine's side is in `engine/upgrade`.

pub mod claims;
pub mod link;
pub mod right;
pub mod wire;

use crate::admin::AdminState;
use crate::engine::IdlePolicy;
use crate::engine::input::{Input, Peer};
use crate::fastcgi::connection::{Connections, PassedState, accept};
use crate::log;
use claims::{Knows, Met, Seeks, Silence, Steady, TAKE_WAITS, WORD_EVERY, seek};
use link::{Out, Place, Reader, Writer, ends};
use right::{Alive, Right};
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

/// For a word of the other process.
const ANSWERS_WITHIN: Duration = Duration::from_secs(1);
/// One that is turned away asks again so often.
const ASK_EVERY: Duration = Duration::from_millis(50);
/// A folder that cannot be written is tried again so often.
const TAKE_EVERY: Duration = Duration::from_secs(1);
/// Listeners of processes that lost the right, at which this one accepts too. Beyond that what waits there is lost with them.
const MOST_LISTENERS: usize = 4;

/// A link to a process that goes on with this one.
struct Linked {
    reader: Reader,
    writer: Writer,
}

/// What a process meets that looks for the one that serves.
enum Meets {
    Answers(Linked, Box<Message>, Option<OwnedFd>),
    TurnsAway(String),
    Silent,
    Nobody,
}

impl Meets {
    fn met(&self) -> Met {
        match self {
            Meets::Answers(..) => Met::Answers,
            Meets::TurnsAway(_) => Met::TurnsAway,
            Meets::Silent => Met::Silent,
            Meets::Nobody => Met::Nobody,
        }
    }
}

/// Says this to the process whose socket lies there, and waits for its first word.
async fn meet(place: &Place, said: Message, beside: Option<&TcpListener>) -> Meets {
    let stream = match place.connect().await {
        Ok(Some(stream)) => stream,
        Ok(None) => return Meets::Nobody,
        Err(e) => {
            log!(WARN, "upgrade: the socket of another start cannot be reached: {e}");
            return Meets::Nobody;
        }
    };
    let (mut reader, mut writer) = ends(stream);
    let word = async {
        writer.send(&said, beside.map(AsFd::as_fd)).await?;
        reader.next().await
    };
    let word: Result<io::Result<_>, _> = timeout(ANSWERS_WITHIN, word).await;
    match word {
        Ok(Ok((Message::NotNow { why }, _))) => Meets::TurnsAway(why),
        Ok(Ok((first, came))) => Meets::Answers(Linked { reader, writer }, Box::new(first), came),
        // It closed the link: it is alive, or gone by the next time.
        Ok(Err(e)) => Meets::TurnsAway(e.to_string()),
        Err(_) => Meets::Silent,
    }
}

fn unexpected() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "what it says does not belong here")
}

fn silent() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "it says nothing any more")
}

/// Speaks now and then, and returns once the other end is silent.
async fn until_silent(silence: &Cell<Silence>, out: &mpsc::Sender<Out>) -> io::Error {
    let began = Instant::now();
    let mut ticks = interval(WORD_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // A queue that is full has words enough in it.
        let _ = out.try_send(Message::Alive.into());
        let mut now = silence.get();
        let is_silent = now.tick(began.elapsed());
        silence.set(now);
        if is_silent {
            return silent();
        }
    }
}

fn heard(silence: &Cell<Silence>) {
    let mut now = silence.get();
    now.heard();
    silence.set(now);
}

/// The side of a link that takes over: takes in what the other one hands over. `owns` is told once all that is new is this
/// process's, and dropped if the link breaks before. Ends with the link; returns whether the other one said nothing any more.
/// One that `yields` has lost the right, any other gives it away.
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
    let silence = Cell::new(Silence::default());
    let reading = async {
        loop {
            let message = reader.next().await?;
            heard(&silence);
            let peer = match message {
                (Message::Alive, _) => continue,
                (Message::Table(entries), _) => Peer::Table(entries),
                (Message::Yours { doubt }, Some(right)) if !yields => {
                    let right = Right::passed_on(right);
                    let _ = engine.send(Input::Peer(Peer::Yours { right, doubt })).await;
                    // The receiver is there until it is told.
                    owns.take().map(|owns| owns.send(()));
                    continue;
                }
                // Guards against one that loses the right as it is asked for it: this process would serve without.
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
                        Err(e) => log!(WARN, "upgrade: a connection was lost on the way: {e}"),
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
        ended = writer.send_all(outs) => ended.map(|()| false),
        e = until_silent(&silence, &out) => Err(e),
    };
    let is_silent = ended.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::TimedOut);
    let over = match ended {
        Ok(true) => {
            log!("upgrade: the other start has ended its work");
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

/// What a start of the program has that may be one of several processes of its nodo.
pub struct Keeper {
    /// Where the socket and the right lie.
    pub place: Place,
    /// The sign that this process is alive.
    pub alive: Alive,
    /// The nodo's name.
    pub name: String,
    /// Where balancers connect, as configured.
    pub listen: SocketAddr,
    /// The way to the engine.
    pub engine: mpsc::Sender<Input>,
    /// Tells connections that they are to be passed on.
    pub idle: watch::Sender<IdlePolicy>,
    /// What operators are shown.
    pub desk: Rc<AdminState>,
    /// Where balancers are accepted.
    pub listeners: Rc<Listeners>,
}

/// Where balancers are accepted: at this process's own listener, and at those of processes that lost the right, so that what
/// waits there is lost by nobody.
pub struct Listeners {
    /// The connections.
    pub front: Rc<Connections>,
    /// Told once nothing more is accepted.
    close: watch::Sender<bool>,
    all: RefCell<Vec<Rc<TcpListener>>>,
    accepting: RefCell<Vec<JoinHandle<()>>>,
}

impl Listeners {
    /// None yet.
    pub fn new(front: Rc<Connections>) -> Listeners {
        let (all, accepting) = (RefCell::default(), RefCell::default());
        Listeners { front, close: watch::channel(false).0, all, accepting }
    }

    /// Accepts there from now on.
    pub fn accept(&self, listener: Rc<TcpListener>) {
        let mut close = self.close.subscribe();
        let stop = async move {
            let _ = close.wait_for(|close| *close).await;
        };
        self.all.borrow_mut().push(listener.clone());
        self.accepting.borrow_mut().push(spawn_local(accept(listener, self.front.clone(), stop)));
    }

    /// Accepts nothing more, and takes in what the machine has accepted by then.
    pub async fn close(&self, until: Instant) {
        self.close.send_replace(true);
        self.all.take();
        for accepting in self.accepting.take() {
            let _ = timeout_at(until, accepting).await;
        }
    }

    /// Accepts at a listener of another process too, unless it is known here.
    fn add(&self, theirs: OwnedFd) {
        let inode = |fd| rustix::fs::fstat(fd).ok().map(|file| (file.st_dev, file.st_ino));
        let known = self.all.borrow().iter().any(|mine| inode(mine.as_fd()) == inode(theirs.as_fd()));
        if known {
            return;
        }
        if self.all.borrow().len() >= MOST_LISTENERS {
            return log!(WARN, "upgrade: too many listeners; what waits at another start's may be lost");
        }
        match listener_from(theirs) {
            Ok(listener) => self.accept(Rc::new(listener)),
            Err(e) => log!(WARN, "upgrade: the listener of another start cannot be used: {e}"),
        }
    }

    /// Descriptors of those beside the first.
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

/// A start that has the right.
pub struct Serves {
    /// Where balancers connect.
    pub listener: Rc<TcpListener>,
    /// The task that goes on with an earlier start, and the way there.
    taking: Option<(JoinHandle<bool>, mpsc::Sender<Out>)>,
}

impl Keeper {
    /// Gets the right: at once where no other process is alive, from one that hands it over, or by taking it from one that
    /// says nothing.
    ///
    /// # Errors
    /// The address cannot be had.
    pub async fn begin(&self, listen: impl Fn() -> io::Result<TcpListener>) -> io::Result<Serves> {
        let mut listener: Option<TcpListener> = None;
        let mut others = self.alive.others;
        let mut told = String::new();
        let (mut steady, began) = (Steady::default(), Instant::now());
        // After silence on a link there is nothing left to ask.
        let mut is_silent = false;
        loop {
            let hello =
                Message::Hello { version: VERSION, name: self.name.clone(), listen: self.listen.to_string() };
            let meets = if is_silent { Meets::Silent } else { meet(&self.place, hello, None).await };
            if !matches!(meets, Meets::Nobody) {
                others = true;
            }
            let steady = steady.see(self.place.right_mark(), began.elapsed());
            let seeks = seek(meets.met(), Knows { up: self.desk.up.get(), others, steady });
            match (seeks, meets) {
                (_, Meets::Answers(link, first, Some(theirs)))
                    if matches!(*first, Message::Welcome { .. }) =>
                {
                    let lameduck = *first == Message::Welcome { lameduck: true };
                    let theirs = listener_from(theirs)?;
                    let (task, out, owns) = self.take_over_from(link, Some(lameduck)).await;
                    if owns.await.is_ok() {
                        return Ok(Serves { listener: Rc::new(theirs), taking: Some((task, out)) });
                    }
                    // It is gone, or frozen with the right; what waits at its listener is still to be served.
                    listener = Some(theirs);
                    is_silent = task.await.unwrap_or(false);
                }
                (Seeks::Takes { alone }, _) => {
                    is_silent = false;
                    if !self.take_right(alone).await {
                        continue;
                    }
                    // The listener comes behind the right: what waits there was sent since.
                    let listener = listener.map_or_else(&listen, Ok)?;
                    return Ok(Serves { listener: Rc::new(listener), taking: None });
                }
                (_, meets) => {
                    let why = match meets {
                        Meets::TurnsAway(why) => format!("does not hand over: {why}"),
                        Meets::Answers(..) => format!("does not hand over: {}", unexpected()),
                        _ if self.desk.up.get() => "is alive and cannot be reached".to_string(),
                        _ => "does not answer, and this one's interpreter is not up yet".to_string(),
                    };
                    if why != told {
                        log!(WARN, "upgrade: another start {why}; this one waits");
                        told = why;
                    }
                    is_silent = false;
                    sleep(ASK_EVERY).await;
                }
            }
        }
    }

    /// Takes the right, and waits until whoever had it can run nothing more that is new; whether this process has it then.
    async fn take_right(&self, alone: bool) -> bool {
        let right = match self.place.take_right() {
            Ok(right) => right,
            Err(e) => {
                log!(ERROR, "upgrade: the right to run cannot be taken: {e}; this process waits");
                sleep(TAKE_EVERY).await;
                return false;
            }
        };
        let peer = if alone {
            Peer::Found(right)
        } else {
            sleep(TAKE_WAITS).await;
            Peer::Taken(right)
        };
        let _ = self.engine.send(Input::Peer(peer)).await;
        // Another one may have taken it meanwhile.
        let (told, has_it) = oneshot::channel();
        let _ = self.engine.send(Input::Peer(Peer::RightQuery { answer: told })).await;
        let has_it = has_it.await.unwrap_or(false);
        if has_it && !alone {
            log!(WARN, "upgrade: no start with the right to run answers; this one has taken it");
        }
        has_it
    }

    /// Takes over from a process at the other end of a link: the task that does, the way there, and what is told once all
    /// that is new is this process's.
    async fn take_over_from(
        &self,
        link: Linked,
        lameduck: Option<bool>,
    ) -> (JoinHandle<bool>, mpsc::Sender<Out>, oneshot::Receiver<()>) {
        let (out, outs) = mpsc::channel(link::QUEUE);
        let told = Peer::Earlier { to: out.clone(), lameduck };
        let _ = self.engine.send(Input::Peer(told)).await;
        let (owns, now_owns) = oneshot::channel();
        let yields = lameduck.is_none();
        let task =
            take_over(link, yields, (out.clone(), outs), self.engine.clone(), self.listeners.clone(), owns);
        (spawn_local(task), out, now_owns)
    }

    /// Goes on for as long as the process lives: waits for a later start and hands over to it, takes over from one that lost
    /// the right, and yields when this one has lost it. A later start that dies leaves this process to serve as before.
    ///
    /// While this process itself still takes over, others are asked to come again.
    pub async fn keep(self, serves: Serves) {
        let Serves { listener, taking } = serves;
        let mut socket = None;
        let mut taking = taking.map(|(task, out)| {
            // An error means that the earlier start has gone.
            let _ = out.try_send(Message::Ready.into());
            task
        });
        loop {
            let here = match socket.take().map_or_else(|| self.place.listen(), Ok) {
                Ok(here) => here,
                Err(e) => return log!(WARN, "upgrade: no socket for a later start: {e}"),
            };
            if let Some(mut task) = taking.take() {
                let lost = tokio::select! {
                    _ = &mut task => false,
                    () = turn_away(&here) => false,
                    () = self.until_lost() => true,
                };
                if lost {
                    task.abort();
                    self.listeners.front.reserve_for_other_process(0);
                    drop(here);
                    self.regain(&listener, false).await;
                    continue;
                }
            }
            let met = tokio::select! {
                met = self.greeted(&here, &listener) => Some(met),
                () = self.until_lost() => None,
            };
            match met {
                // It has lost the right.
                None => {
                    drop(here);
                    self.regain(&listener, false).await;
                }
                Some(Greeted::Nobody) => socket = Some(here),
                Some(Greeted::Later(link)) => {
                    log!("upgrade: a later start is here");
                    let given = Cell::new(false);
                    let ended = tokio::select! {
                        ended = self.hand_over(link, None, &given) => ended,
                        () = turn_away(&here) => Ok(()),
                        () = self.until_lost() => Ok(()),
                    };
                    let is_silent = self.hand_over_ended(&ended).await;
                    if given.get() || self.desk.lost.get() {
                        drop(here);
                        self.regain(&listener, is_silent).await;
                    }
                }
                Some(Greeted::Lost(link, theirs)) => {
                    log!("upgrade: a start that lost the right hands over what it has");
                    self.listeners.add(theirs);
                    let (task, _, _) = self.take_over_from(link, None).await;
                    taking = Some(task);
                    socket = Some(here);
                }
            }
        }
    }

    /// Undoes what a hand-over began; whether the other one said nothing any more.
    async fn hand_over_ended(&self, ended: &io::Result<()>) -> bool {
        self.listeners.front.set_successor(None);
        self.idle.send_modify(|idle| idle.hand_over = false);
        let _ = self.engine.send(Input::Peer(Peer::Broke)).await;
        match ended {
            Ok(()) => false,
            Err(e) => {
                log!(WARN, "upgrade: the link to the other start broke: {e}");
                e.kind() == io::ErrorKind::TimedOut
            }
        }
    }

    /// This process has not the right any more. It hands over what it has to the one that has it, for as long as that is there,
    /// and takes the right back once that says nothing.
    async fn regain(&self, listener: &TcpListener, mut is_silent: bool) {
        let mut told = String::new();
        let (mut steady, began) = (Steady::default(), Instant::now());
        loop {
            let me =
                Message::Yield { version: VERSION, name: self.name.clone(), listen: self.listen.to_string() };
            let meets = if is_silent { Meets::Silent } else { meet(&self.place, me, Some(listener)).await };
            let steady = steady.see(self.place.right_mark(), began.elapsed());
            match (seek(meets.met(), Knows { up: true, others: true, steady }), meets) {
                (Seeks::GoesOn, Meets::Answers(link, first, _)) => {
                    log!("upgrade: what this process has goes to the start that serves");
                    let given = Cell::new(false);
                    let ended = self.hand_over(link, Some(*first), &given).await;
                    is_silent = self.hand_over_ended(&ended).await;
                }
                (Seeks::Takes { .. }, _) => {
                    is_silent = false;
                    if self.take_right(false).await {
                        return;
                    }
                }
                (_, meets) => {
                    if let Meets::TurnsAway(why) = meets
                        && why != told
                    {
                        log!(WARN, "upgrade: the start that serves takes nothing over yet: {why}");
                        told = why;
                    }
                    sleep(ASK_EVERY).await;
                }
            }
        }
    }

    /// Returns once the engine has found that another process took the right.
    async fn until_lost(&self) {
        while !self.desk.lost.get() {
            self.desk.lost_now.notified().await;
        }
    }

    async fn greeted(&self, socket: &UnixListener, listener: &TcpListener) -> Greeted {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(ASK_EVERY).await;
            return Greeted::Nobody;
        };
        let (mut reader, mut writer) = ends(stream);
        let (lame, told) = oneshot::channel();
        let _ = self.engine.send(Input::Peer(Peer::LameduckQuery { answer: lame })).await;
        let greeting = async {
            let (message, beside) = reader.next().await?;
            let (version, name, listen, lost) = match message {
                Message::Hello { version, name, listen } => (version, name, listen, None),
                Message::Yield { version, name, listen } => (version, name, listen, beside),
                _ => return Ok(Greeting::No),
            };
            let why = if version != VERSION {
                format!("it speaks version {version}, this process {VERSION}")
            } else if name != self.name || listen != self.listen.to_string() {
                format!("it is {name} on {listen}, this process {} on {}", self.name, self.listen)
            } else {
                match (told.await.unwrap_or(None), lost) {
                    (Some(_), Some(theirs)) => return Ok(Greeting::Lost(theirs)),
                    (Some(lameduck), None) => {
                        let welcome = Message::Welcome { lameduck };
                        writer.send(&welcome, Some(listener.as_fd())).await?;
                        return Ok(Greeting::Later);
                    }
                    (None, _) => "this process has lost the right itself".to_string(),
                }
            };
            log!(WARN, "upgrade: another start is turned away: {why}");
            writer.send(&Message::NotNow { why }, None).await.map(|()| Greeting::No)
        };
        let greeting: Result<io::Result<Greeting>, _> = timeout(ANSWERS_WITHIN, greeting).await;
        match greeting {
            Ok(Ok(Greeting::Later)) => Greeted::Later(Linked { reader, writer }),
            Ok(Ok(Greeting::Lost(theirs))) => Greeted::Lost(Linked { reader, writer }, theirs),
            _ => Greeted::Nobody,
        }
    }

    /// The side of a link that hands over, until it ends; `given` tells whether the keys have left this process by then.
    async fn hand_over(&self, link: Linked, first: Option<Message>, given: &Cell<bool>) -> io::Result<()> {
        let Linked { mut reader, writer } = link;
        let (out, outs) = mpsc::channel(link::QUEUE);
        let silence = Cell::new(Silence::default());
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
                        let (told, is_given) = oneshot::channel();
                        let begin = Peer::Begin { to: out.clone(), given: told };
                        let _ = self.engine.send(Input::Peer(begin)).await;
                        if !is_given.await.unwrap_or(false) {
                            return Err(io::Error::other("the table of keys is too long for it"));
                        }
                        given.set(true);
                        for listener in self.listeners.further() {
                            let message = Message::Listener;
                            // An error means that the link has ended.
                            let _ = out.try_send(Out { message, beside: Some(listener), left: None });
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
            ended = writer.send_all(outs) => ended,
            e = until_silent(&silence, &out) => Err(e),
        }
    }
}

/// Who came.
enum Greeted {
    Nobody,
    Later(Linked),
    Lost(Linked, OwnedFd),
}

enum Greeting {
    No,
    Later,
    Lost(OwnedFd),
}

/// While one other start is here, others are told to come again.
async fn turn_away(socket: &UnixListener) {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(ASK_EVERY).await;
            continue;
        };
        let (_, mut writer) = ends(stream);
        let why = "another start is taking over".to_string();
        let _ = timeout(ANSWERS_WITHIN, writer.send(&Message::NotNow { why }, None)).await;
    }
}
