//! A balancer's connection: reads requests, hands them to the engine, and writes the answers in the order in which
//! they come.

use super::records::{LostFraming, Record, next_record, pairs, put_reply};
use super::requests::{Budget, MAX_OPEN, MAX_PARAMS, Requests, Room, Step, Whole};
use crate::config::{Config, Facts};
use crate::engine::Idle;
use crate::engine::input::Input;
use crate::log;
use crate::log::Limiter;
use crate::request::{self, Answer, Asked, BadRequest, Reply, ReplyTo};
use crate::socket::silent;
use crate::steering::{Samples, Seen};
use crate::upgrade::link::Out;
use crate::upgrade::wire::Message;
use jaspershunt::RequestId;
use jaspershunt_steering::Client;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

/// With more answers than this unwritten, nothing more is read: who reads no answers sends no requests.
const MAX_UNWRITTEN: usize = 64 * 1024;
/// An answer that cannot be written for so long is given up, and its connection with it.
const WRITE_STALL: Duration = Duration::from_secs(60);
/// A new connection has so long to bring a first request that makes sense, and one that did has so long for the rest of
/// a later one. Nothing is owed to who brings none, but a word or a close within 3 s.
const WHOLE_WITHIN: Duration = Duration::from_secs(2);
/// For so long a connection that brought nothing yet counts as one that will.
const NEWCOMER: Duration = Duration::from_millis(500);
/// Between attempts to accept a connection where the system has none to give.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// Bytes that belong to no open request and are read between two that do.
const MAX_STRAY: usize = 256 * 1024;
/// Before a connection closes on a peer that still sends, so much is read, for so long at most: a close with bytes
/// unread is a reset, which could take the last answer with it.
const MAX_LINGER: usize = 1024 * 1024;
const LINGER: Duration = Duration::from_secs(1);
/// As the nodo leaves it reads on for no longer than what crosses the close can take, by the protocol's page.
const CROSSING: Duration = Duration::from_millis(50);
/// Read at once. After so many reads with no wait between them the other tasks have their turn.
const CHUNK: usize = 4 * 1024;
const READS_A_TURN: u32 = 4;
/// A record of this length fits any that a request can use; what is read of a longer one takes of the room for requests.
const FREE_INPUT: usize = MAX_PARAMS + CHUNK;
/// Reads of what had come to a connection by the time at which nothing more is read of it.
const LAST_READS: u32 = 16;
/// Connections beyond [`Front::most`] while the last ones of a closing listener are taken in: a part of the descriptors for
/// calls, of which fewer and fewer are made then.
const CLOSING_RESERVE: usize = 16;

/// What all connections share.
pub struct Front {
    /// The way to the engine.
    pub engine: mpsc::Sender<Input>,
    /// The settings in force, for the classes and names.
    pub facts: watch::Receiver<Rc<Facts>>,
    /// Bytes of requests, from their reading to their answer.
    pub held: Budget,
    /// Bytes of answers that are not written.
    pub unwritten: Budget,
    /// Connections open at once, at most.
    pub most: usize,
    /// How long connections may be idle.
    pub idle: watch::Receiver<Idle>,
    /// Connections open.
    pub open: Rc<Cell<usize>>,
    /// Descriptors that the other process of an upgrade holds of those for connections.
    other: Cell<usize>,
    /// What is known of each of them from outside, by the order in which they came.
    slots: RefCell<BTreeMap<u64, Rc<Slot>>>,
    /// Told of each connection that ends, or that was asked to and cannot.
    pub ended: Notify,
    /// Cuts the lines on what peers do wrong to one a second.
    faults: RefCell<Limiter>,
    /// The last request id that was given out; ids are never used twice.
    pub last_id: Cell<u64>,
    /// The way to a later start, to which quiet connections go.
    heir: RefCell<Option<mpsc::Sender<Out>>>,
    /// Who is told what is seen of clients' delays, where the operator's file wants it.
    pub samples: Option<Samples>,
}

/// A connection as the others see it.
struct Slot {
    /// It brought a request that makes sense.
    used: Cell<bool>,
    /// It could be closed: no answer is owed on it, and no request that may still become whole is half read.
    quiet: Cell<bool>,
    /// Since when its peer has read nothing of the answers that wait to be written.
    stalled_since: Cell<Option<Instant>>,
    /// It is to end, as its peer reads nothing and others need the room.
    evict: Notify,
    last_traffic: Cell<Instant>,
    /// It was asked to make room.
    asked: Cell<bool>,
    ask: Notify,
}

/// Accepts connections until `stop`, and takes in those that the machine has accepted by then.
pub async fn accept(listener: Rc<TcpListener>, front: Rc<Front>, stop: impl Future<Output = ()>) {
    let mut stop = std::pin::pin!(stop);
    let mut idle = front.idle.clone();
    loop {
        // A later start accepts now.
        if idle.borrow_and_update().passing {
            tokio::select! {
                Ok(()) = idle.changed() => continue,
                () = &mut stop => return,
            }
        }
        // Descriptors are left for everything else: the rest waits until a connection has ended.
        if front.open.get() + front.other.get() >= front.most {
            let ended = front.ended.notified();
            front.make_room();
            tokio::select! {
                () = ended => continue,
                () = &mut stop => break,
            }
        }
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => start(stream, peer, &front, Came::default()),
                Err(e) => {
                    log!(WARN, "cannot accept a connection: {e}");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            },
            Ok(()) = idle.changed() => {}
            () = &mut stop => break,
        }
    }
    take_in_backlog(&listener, &front).await;
}

/// Takes in the connections that the system has accepted for a listener that is about to close: a request on one of them
/// counts as received, so none may be left behind. Descriptors are left for everything else here too, so that what is beyond
/// them waits until a connection has ended; the caller bounds that wait.
async fn take_in_backlog(listener: &TcpListener, front: &Rc<Front>) {
    loop {
        if front.open.get() + front.other.get() >= front.most + CLOSING_RESERVE {
            let ended = front.ended.notified();
            front.make_room();
            ended.await;
            continue;
        }
        // The runtime looks at its sockets before it takes this up again.
        tokio::task::yield_now().await;
        match timeout_at(Instant::now(), listener.accept()).await {
            Ok(Ok((stream, peer))) => start(stream, peer, front, Came::default()),
            Ok(Err(e)) => {
                log!(WARN, "cannot accept a connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
            Err(_) => return,
        }
    }
}

/// What is known of a connection that was served elsewhere before; of a new one, nothing.
#[derive(Debug, Default)]
pub struct Came {
    /// Bytes that were read of it and belong to no whole record.
    pub input: Vec<u8>,
    /// It brought a request that makes sense.
    pub used: bool,
    /// For how long a first such request, or the rest of one, has been waited for.
    pub waited: Option<Duration>,
}

fn start(stream: TcpStream, peer: SocketAddr, front: &Rc<Front>, came: Came) {
    let front = front.clone();
    front.open.set(front.open.get() + 1);
    let place = front.slots.borrow().last_key_value().map_or(0, |(place, _)| place + 1);
    let slot = Rc::new(Slot {
        used: Cell::new(came.used),
        quiet: Cell::new(true),
        stalled_since: Cell::new(None),
        evict: Notify::new(),
        last_traffic: Cell::new(Instant::now()),
        asked: Cell::new(false),
        ask: Notify::new(),
    });
    front.slots.borrow_mut().insert(place, slot.clone());
    tokio::task::spawn_local(async move {
        // Guards against answers that the system holds back until earlier ones are acknowledged.
        let _ = stream.set_nodelay(true);
        Connection::new(stream, peer, front.clone(), slot, came).serve().await;
        front.slots.borrow_mut().remove(&place);
        front.open.set(front.open.get() - 1);
        front.ended.notify_waiters();
    });
}

impl Front {
    /// No connection is open yet.
    pub fn new(
        config: &Config,
        engine: mpsc::Sender<Input>,
        idle: watch::Receiver<Idle>,
        facts: watch::Receiver<Rc<Facts>>,
        open: Rc<Cell<usize>>,
    ) -> Front {
        Front {
            engine,
            facts,
            held: Budget::new(config.bounds.requests),
            unwritten: Budget::new(config.bounds.unwritten),
            most: config.bounds.connections,
            idle,
            open,
            other: Cell::new(0),
            slots: RefCell::default(),
            ended: Notify::new(),
            faults: RefCell::new(Limiter::new(1)),
            last_id: Cell::new(0),
            heir: RefCell::default(),
            samples: None,
        }
    }

    /// From now on quiet connections go there, once [`Idle::passing`] says so; or nowhere.
    pub fn hand_to(&self, heir: Option<mpsc::Sender<Out>>) {
        *self.heir.borrow_mut() = heir;
    }

    /// Takes leave of a later start, once all that was said to it has left this process, or it is time.
    pub async fn farewell(&self, until: Instant) {
        let Some(heir) = self.heir.borrow().clone() else { return };
        let (left, gone) = oneshot::channel();
        let out = Out { message: Message::Farewell, descriptor: None, sent: Some(left) };
        if heir.try_send(out).is_ok() {
            let _ = timeout_at(until, gone).await;
        }
    }

    /// So many of the descriptors for connections are the other process's.
    pub fn leave_to_other(&self, descriptors: usize) {
        self.other.set(descriptors);
        self.ended.notify_waiters();
    }

    /// Serves a connection that another process had, with what that had read of it.
    pub fn take_over(self: &Rc<Front>, stream: TcpStream, peer: SocketAddr, came: Came) {
        start(stream, peer, self, came);
    }

    /// Asks the connection that is of least use to end: one that never brought a request that makes sense, else one that
    /// has been idle, and of these the one that has been so for longest. None on which an answer is owed.
    fn make_room(&self) {
        let slots = self.slots.borrow();
        let quiet = slots.values().filter(|slot| slot.quiet.get() && !slot.asked.get());
        // A newcomer's request may still be on its way.
        let useless = |slot: &Slot| !slot.used.get() && slot.last_traffic.get().elapsed() > NEWCOMER;
        if let Some(slot) =
            quiet.min_by_key(|slot| (!useless(slot), !slot.used.get(), slot.last_traffic.get()))
        {
            slot.asked.set(true);
            slot.ask.notify_one();
        }
    }

    /// Books bytes of answers that wait to be written on this connection, beyond the bound if need be: then the connection whose
    /// peer has read nothing for longest is asked to end. Fails if that is this one.
    ///
    /// Guards against peers that read nothing and take the room of those that do: each of these is owed its answers.
    fn book_unwritten(&self, more: usize, slot: &Rc<Slot>) -> bool {
        if self.unwritten.take(more) {
            return true;
        }
        let slots = self.slots.borrow();
        let stalled = slots.values().filter(|slot| slot.stalled_since.get().is_some());
        let Some(longest) = stalled.min_by_key(|slot| slot.stalled_since.get()) else { return false };
        if Rc::ptr_eq(longest, slot) {
            return false;
        }
        longest.evict.notify_one();
        self.unwritten.take_beyond(more);
        true
    }

    /// Tells the operator what a peer did wrong, now and then: there can be very many.
    fn fault(&self, peer: SocketAddr, what: &dyn std::fmt::Display) {
        if let Some(more) = self.faults.borrow_mut().admit_now() {
            log!(WARN, "fault of a peer, {peer}: {what} (and {more} of others since the last line)");
        }
    }
}

/// Why a connection ends.
enum End {
    /// All is done.
    Finished,
    /// It was at rest, and is closed for that.
    Idle,
    /// It makes room for another one, and at once: many may wait for that.
    Replaced,
    /// It goes to a later start.
    Passed,
    /// The peer has gone without waiting for its answers.
    Gone,
    /// The peer broke the protocol or a bound, as the text says.
    Fault(&'static str),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> End {
        End::Gone
    }
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    front: Rc<Front>,
    requests: Requests,
    /// What the engine knows the whole requests by.
    ids: BTreeMap<u16, RequestId>,
    replies: mpsc::Receiver<(u16, Reply)>,
    reply_to: mpsc::Sender<(u16, Reply)>,
    slot: Rc<Slot>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Room for what of `input` is longer than a record that is of use.
    input_room: Room,
    /// Bytes of `output` that are booked.
    booked: usize,
    read_closed: bool,
    /// To be closed once all is answered and written; nothing more is read.
    closing: bool,
    /// That is so though the peer may be sending much: it is read on for longer, so that the answers arrive.
    cut_off: bool,
    /// Since when a first request that makes sense, or the rest of a later one, is waited for.
    waits_since: Option<Instant>,
    /// Bytes read that belong to no open request, since the last whole one.
    stray: usize,
    last_write: Instant,
    /// For steering alone: whose the open requests are, and when the last answer was written with none open and none come.
    clients: BTreeMap<u16, Client>,
    answered: Option<Instant>,
}

impl Connection {
    fn new(stream: TcpStream, peer: SocketAddr, front: Rc<Front>, slot: Rc<Slot>, came: Came) -> Connection {
        // Room for a reply to every request that may be open: handing one over never waits.
        let (reply_to, replies) = mpsc::channel(MAX_OPEN);
        let requests = Requests::new(front.held.clone());
        let input_room = Room::new(front.held.clone());
        let now = Instant::now();
        Connection {
            stream,
            peer,
            front,
            requests,
            ids: BTreeMap::new(),
            replies,
            reply_to,
            slot,
            input: came.input,
            input_room,
            output: Vec::new(),
            booked: 0,
            read_closed: false,
            closing: false,
            cut_off: false,
            // A peer that brings nothing has no more time for having been passed on; nor has it less, as a clock may begin
            // after that of its wait.
            waits_since: (!came.used || came.waited.is_some())
                .then(|| now.checked_sub(came.waited.unwrap_or_default()).unwrap_or(now)),
            stray: 0,
            last_write: now,
            clients: BTreeMap::new(),
            answered: None,
        }
    }

    async fn serve(mut self) {
        let end = match self.converse().await {
            Ok(end) | Err(end) => end,
        };
        if let End::Passed = end {
            return self.pass().await;
        }
        if let End::Fault(what) = end {
            self.front.fault(self.peer, &what);
        }
        // What is left of its time, it cannot make room for another one.
        self.slot.quiet.set(false);
        match end {
            End::Gone | End::Replaced => {}
            _ if self.read_closed => {}
            End::Idle => self.linger().await,
            _ if self.closing => self.linger().await,
            _ => {}
        }
        for id in self.requests.unanswered().collect::<Vec<_>>() {
            if let (Some(samples), Some(client)) = (&self.front.samples, self.clients.remove(&id)) {
                samples.tell(Seen::Reset(client));
            }
            if let Some(id) = self.ids.remove(&id) {
                let _ = self.front.engine.send(Input::Gone { id }).await;
            }
        }
        self.front.unwritten.give(self.booked);
    }

    /// Hands the connection to a later start, with what was read of it; if that cannot be, it is served on here.
    async fn pass(self) {
        let Connection { stream, peer, front, input, slot, waits_since, .. } = self;
        let heir = front.heir.borrow().clone();
        let (used, waited) = (slot.used.get(), waits_since.map(|since| since.elapsed()));
        let waited_ms = waited.map(|waited| waited.as_millis() as u64);
        let Ok(stream) = stream.into_std() else { return };
        let Ok(beside) = stream.try_clone() else { return };
        let (left, passed) = oneshot::channel();
        let message = Message::Connection { input: input.clone(), used, waited_ms };
        let out = Out { message, descriptor: Some(beside.into()), sent: Some(left) };
        let sent = match &heir {
            Some(heir) => heir.send(out).await.is_ok(),
            None => false,
        };
        if sent && passed.await.is_ok() {
            return;
        }
        if let Ok(stream) = TcpStream::from_std(stream) {
            start(stream, peer, &front, Came { input, used, waited });
        }
    }

    async fn converse(&mut self) -> Result<End, End> {
        let mut idle = self.front.idle.clone();
        let mut reads = 0;
        if !self.input.is_empty() {
            self.take_in().await?;
            self.write()?;
        }
        loop {
            // Guards against a reset as the program ends: what has come is answered, and the peer sees where the answers end. What
            // it sends behind that crosses the close, and is not run.
            if idle.borrow().hang_up && !self.closing {
                self.read_what_came().await?;
                self.close_unfinished();
                self.write()?;
            }
            // What is not whole by now never will be: waiting for it would keep the connection open for ever.
            let no_more = self.closing || self.read_closed;
            let owed = self.requests.unanswered().next().is_some() || !self.output.is_empty();
            if no_more && !owed {
                return Ok(End::Finished);
            }
            let half_read = self.slot.used.get() && self.partial();
            self.slot.quiet.set(!(owed || half_read));
            let (passing, last_call) = (idle.borrow().passing, idle.borrow().last_call);
            // Nothing is open, and what was read goes along: no request meets a closed connection.
            if passing && !owed && self.requests.is_empty() && !self.read_closed && !self.closing {
                return Ok(End::Passed);
            }
            let waits = last_call && passing && owed && !self.partial();
            let may_read = !self.read_closed && !self.closing && !waits && self.output.len() < MAX_UNWRITTEN;
            if idle.borrow().standing && self.may_close() {
                return Ok(End::Idle);
            }
            if may_read {
                self.input.reserve(CHUNK);
            }
            let give_up = self.waits_since.filter(|_| !owed).map(|since| since + WHOLE_WITHIN);
            let (mut reader, writer) = self.stream.split();
            tokio::select! {
                biased;
                Some((id, reply)) = self.replies.recv() => {
                    self.answer(id, &reply)?;
                    while let Ok((id, reply)) = self.replies.try_recv() {
                        self.answer(id, &reply)?;
                    }
                }
                read = reader.read_buf(&mut self.input), if may_read => {
                    if read? == 0 {
                        // The end of the peer's sending is no abort: what was read is answered.
                        self.read_closed = true;
                    } else {
                        self.slot.last_traffic.set(Instant::now());
                        self.take_in().await?;
                        if !self.input_room.set(self.input.len().saturating_sub(FREE_INPUT)) && !self.closing {
                            self.lost("there is no room for the rest of a long record");
                            self.close_unfinished();
                        }
                        self.give_way(&mut reads).await;
                    }
                }
                ready = writer.writable(), if !self.output.is_empty() => ready?,
                changed = idle.changed() => {
                    let limit = idle.borrow().limit;
                    if idle.borrow().standing {
                        continue;
                    }
                    let lapsed = changed.is_err() || self.slot.last_traffic.get().elapsed() >= limit;
                    if lapsed && self.may_close() {
                        return Ok(End::Idle);
                    }
                }
                () = self.slot.ask.notified() => {
                    // Guards against a first request that has come whole and is not read yet.
                    let useless = !self.slot.used.get() && silent(&self.stream);
                    if !owed && (useless || self.may_close()) {
                        self.close_unfinished();
                        self.write()?;
                        return Ok(End::Replaced);
                    }
                    self.slot.asked.set(false);
                    self.front.ended.notify_waiters();
                }
                () = self.slot.evict.notified() => {
                    return Err(End::Fault("too many answers are unread"));
                }
                () = sleep_until(give_up.unwrap_or(self.last_write)), if give_up.is_some() => {
                    // Guards against the rest of a request that has come in this moment and is not read yet.
                    self.read_what_came().await?;
                    if self.is_late() {
                        self.front.fault(self.peer, &"it brings no whole request in time");
                        if !self.partial() {
                            return Ok(End::Idle);
                        }
                        self.close_unfinished();
                    }
                }
                () = sleep_until(self.last_write + WRITE_STALL), if !self.output.is_empty() => {
                    return Err(End::Fault("its answers are not read"));
                }
            }
            self.write()?;
            self.note_wait();
        }
    }

    /// Whether a request, or the rest of one, has been waited for too long. One that is owed an answer was whole in time.
    fn is_late(&self) -> bool {
        let waits = self.waits_since.is_some_and(|since| since.elapsed() >= WHOLE_WITHIN);
        waits && !self.closing && !self.read_closed && self.requests.unanswered().next().is_none()
    }

    /// Notes since when a request is waited for that is not whole, or a first one that makes sense.
    fn note_wait(&mut self) {
        if self.slot.used.get() && !self.partial() {
            self.waits_since = None;
        } else if self.waits_since.is_none() {
            self.waits_since = Some(Instant::now());
        }
    }

    /// Takes in what has come by now; no more than a peer that sends without end can make it.
    async fn read_what_came(&mut self) -> Result<(), End> {
        for _ in 0..LAST_READS {
            if self.closing || self.read_closed || silent(&self.stream) {
                break;
            }
            // The runtime learns of what has come as this lets the others have their turn.
            tokio::task::yield_now().await;
            self.input.reserve(CHUNK);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => self.read_closed = true,
                Ok(_) => self.take_in().await?,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Nothing more is read. Requests that are not whole never will be, and are told that they did not run: the peer may have
    /// written the rest of them by now.
    fn close_unfinished(&mut self) {
        self.closing = true;
        let before = self.output.len();
        self.requests.refuse_unfinished(&mut self.output);
        let more = self.output.len() - before;
        self.front.unwritten.take_beyond(more);
        self.booked += more;
    }

    /// Ends what is sent and reads on for a little, behind answers to a peer that may still send.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let leaves = self.front.idle.borrow().standing;
        let until = Instant::now() + if leaves || !self.cut_off { CROSSING } else { LINGER };
        let mut scratch = vec![0; CHUNK];
        let mut left = MAX_LINGER;
        while let Ok(Ok(n @ 1..)) = timeout_at(until, self.stream.read(&mut scratch)).await {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
        }
    }

    /// Whether the rest of a record or request is waited for.
    fn partial(&self) -> bool {
        !self.input.is_empty() || self.requests.len() > self.requests.unanswered().count()
    }

    /// Whether the connection may be closed as idle; not while something has come that is not read yet.
    fn may_close(&self) -> bool {
        let quiet = self.requests.is_empty() && self.output.is_empty() && self.input.is_empty();
        quiet && (self.read_closed || silent(&self.stream))
    }

    /// Guards against a peer that sends without end and would keep all others from the thread.
    async fn give_way(&self, reads: &mut u32) {
        *reads += 1;
        if *reads > READS_A_TURN {
            *reads = 0;
            tokio::task::yield_now().await;
        }
    }

    /// Takes in all that is whole.
    async fn take_in(&mut self) -> Result<(), End> {
        // The buffer is kept for what comes next, but not one that a large record made large.
        let mut input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        while !self.closing {
            match next_record(&mut rest) {
                Ok(Some(record)) => self.take_record(&record).await?,
                Ok(None) => break,
                Err(LostFraming) => self.lost("what it sends are no records of FastCGI 1.0"),
            }
        }
        if !self.closing {
            let taken = input.len() - rest.len();
            input.drain(..taken);
            if input.len() < CHUNK {
                input.shrink_to(2 * CHUNK);
            }
            self.input = input;
        }
        Ok(())
    }

    /// The peer wants the connection closed behind an answer, or does not. Further requests may have been sent on it.
    fn close_if(&mut self, close: bool) {
        self.closing |= close;
        self.cut_off |= close;
    }

    /// Nothing more can be made of what the peer sends. What was whole before is answered all the same.
    fn lost(&mut self, what: &'static str) {
        self.front.fault(self.peer, &what);
        (self.closing, self.cut_off) = (true, true);
    }

    async fn take_record(&mut self, record: &Record<'_>) -> Result<(), End> {
        let Ok(step) = self.requests.take(record, &mut self.output) else {
            self.lost("it begins a request that is open, or in a malformed way");
            return Ok(());
        };
        self.book()?;
        match step {
            Step::Nothing => {}
            Step::Stray => {
                // Guards against a peer that keeps the thread busy with what is no request.
                self.stray += record.content.len() + 1;
                if self.stray > MAX_STRAY {
                    self.lost("it sends too much that belongs to no request");
                }
            }
            Step::Whole(whole) => {
                self.stray = 0;
                self.hand_over(whole).await;
                if self.slot.used.get() {
                    self.waits_since = None;
                }
            }
            // The engine owes no answer any more and gives one all the same, with which the request is closed: its
            // id cannot be taken again while a reply to it may be on the way.
            Step::Aborted(id) => {
                if let (Some(samples), Some(client)) = (&self.front.samples, self.clients.remove(&id)) {
                    samples.tell(Seen::TimedOut(client));
                }
                if let Some(id) = self.ids.remove(&id) {
                    let _ = self.front.engine.send(Input::Gone { id }).await;
                }
            }
            Step::Oversize(id) => {
                self.front.fault(self.peer, &"a request is over its size");
                self.answer(id, &Reply::new(Answer::Bad, None))?;
            }
            Step::Ended { close } => self.close_if(close),
        }
        Ok(())
    }

    async fn hand_over(&mut self, whole: Whole) {
        let reply = ReplyTo::new(self.reply_to.clone(), whole.id);
        let front = &self.front;
        match asked(&whole.params, whole.body, front) {
            Ok(Asked::Check) => {
                self.slot.used.set(true);
                let _ = front.engine.send(Input::Check { reply }).await;
            }
            Ok(Asked::Work(work)) => {
                self.slot.used.set(true);
                let id = RequestId(front.last_id.get() + 1);
                front.last_id.set(id.0);
                self.ids.insert(whole.id, id);
                if let Some(samples) = &front.samples {
                    let gap = self.answered.take().map(|answered| answered.elapsed());
                    if let Some(client) = client(samples, self.peer, work.caller.0, &whole.params) {
                        self.clients.insert(whole.id, client.clone());
                        samples.tell(Seen::Asked { peer: self.peer, client, gap });
                    }
                }
                let _ = front.engine.send(Input::Work { id, work, reply }).await;
            }
            Err(problem) => {
                front.fault(self.peer, &problem);
                reply.send(Reply::new(Answer::Bad, None));
            }
        }
    }

    /// The one answer to a request.
    fn answer(&mut self, id: u16, reply: &Reply) -> Result<(), End> {
        self.ids.remove(&id);
        if self.front.samples.is_some() {
            self.clients.remove(&id);
            // Another that is open, or that has come already, says nothing of a way there and back.
            let alone = self.requests.len() == 1 && self.input.is_empty();
            self.answered = alone.then(Instant::now);
        }
        put_reply(&mut self.output, id, reply);
        let close = self.requests.close(id);
        self.close_if(close);
        self.book()
    }

    /// Books what waits to be written. A peer that reads nothing is let go before the memory is full.
    fn book(&mut self) -> Result<(), End> {
        let more = self.output.len().saturating_sub(self.booked);
        if !self.front.book_unwritten(more, &self.slot) {
            return Err(End::Fault("too many answers are unread"));
        }
        self.booked += more;
        Ok(())
    }

    fn write(&mut self) -> Result<(), End> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(n) => {
                    self.output.drain(..n);
                    self.last_write = Instant::now();
                    self.slot.last_traffic.set(self.last_write);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e.into()),
            }
        }
        if self.output.is_empty() {
            self.output = Vec::new();
            // The wait for the peer to read begins with the next answer.
            self.last_write = Instant::now();
        }
        self.front.unwritten.give(self.booked - self.output.len());
        self.booked = self.output.len();
        self.slot.stalled_since.set((!self.output.is_empty()).then_some(self.last_write));
        Ok(())
    }
}

/// Whether a parameter is the one that CGI makes of a header: `HTTP_X_ORG` of `X-Org`.
fn is_cgi_name(param: &[u8], header: &str) -> bool {
    let cgi = |b: u8| if b == b'-' { b'_' } else { b.to_ascii_uppercase() };
    param.strip_prefix(b"HTTP_").is_some_and(|name| name.iter().copied().eq(header.bytes().map(cgi)))
}

/// Whose a request is, as steering has it.
fn client(samples: &Samples, peer: SocketAddr, balancer: u64, params: &[u8]) -> Option<Client> {
    let pairs = pairs(params)?;
    let field = |name: &str| {
        let (_, value) = pairs.iter().find(|(n, _)| is_cgi_name(n, name))?;
        std::str::from_utf8(value).ok()
    };
    samples.client(peer, balancer, field)
}

/// Reads a request from its parameters, which are named as CGI names headers.
fn asked(params: &[u8], body: Vec<u8>, front: &Front) -> Result<Asked, BadRequest> {
    let Some(pairs) = pairs(params) else {
        return Err(BadRequest("its parameters are cut off".to_string()));
    };
    let param = |name: &str| {
        let (_, value) = pairs.iter().find(|(n, _)| *n == name.as_bytes())?;
        std::str::from_utf8(value).ok()
    };
    let field = |name: &str| {
        let (_, value) = pairs.iter().find(|(n, _)| is_cgi_name(n, name))?;
        std::str::from_utf8(value).ok()
    };
    let path = param("SCRIPT_NAME").unwrap_or_default();
    let method = param("REQUEST_METHOD").unwrap_or_default();
    let facts = front.facts.borrow();
    request::read(path, method, field, body, &facts.settings, &facts.names)
}
