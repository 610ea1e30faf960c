//! One connection of a balancer: reads FastCGI requests, submits them to the engine, and writes the answers in the
//! order in which the engine gives them.

use super::connections::{ConnectionStatus, Connections, PassedState, start};
use super::memory::Reservation;
use super::params::{is_known_unkeyed, parse_request, steering_client};
use super::records::{FramingError, ProtocolStatus, Record, next_record, put_end, put_reply};
use super::requests::{CompleteRequest, MAX_AWAITED, MAX_PARAMS, Requests, Step, UnfinishedRequest};
use crate::engine::input::Input;
use crate::request::{Answer, PeerRequest, Reply, ReplyTo};
use crate::socket::silent;
use crate::steering::Seen;
use crate::upgrade::link::Out;
use crate::upgrade::wire::Message;
use jaspershunt::RequestId;
use jaspershunt_steering::Client;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Reading pauses while more answer bytes than this are unwritten, so that a peer must read answers to send
/// requests.
const MAX_OUTPUT_BYTES: usize = 64 * 1024;
/// The connection is closed when no answer byte could be written for this long.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// A new connection must bring its first valid request within this time, and a later request must be complete
/// within it. Leaves time to close or answer within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of records that belong to no open request, accepted between two complete requests.
const MAX_STRAY_BYTES: usize = 256 * 1024;
/// At most this many bytes are read and dropped, for `LINGER` at most, before a connection closes on a peer
/// that still sends: closing with unread bytes causes a reset, which can lose the last answer.
const MAX_LINGER_BYTES: usize = 1024 * 1024;
const LINGER: Duration = Duration::from_secs(1);
/// While the nodo leaves, a connection lingers only for bytes that cross the close on the network.
const LEAVING_LINGER: Duration = Duration::from_millis(50);
/// Bytes per read. After `READS_PER_TURN` reads without waiting, the task yields to others.
const READ_BYTES: usize = 4 * 1024;
const READS_PER_TURN: u32 = 4;
/// Input buffered up to this length (any usable record fits) is not charged to the request budget; only the
/// excess is.
const UNCHARGED_INPUT_BYTES: usize = MAX_PARAMS + READ_BYTES;
/// Maximum number of reads of pending input when a connection stops reading.
const MAX_FINAL_READS: u32 = 16;

/// Reason why a connection ends.
enum End {
    /// Everything is answered and nothing more can be read.
    Finished,
    /// Closed as idle.
    Idle,
    /// Closed at once to free its descriptor for a waiting connection.
    Replaced,
    /// Passed on to the successor process.
    PassedOn,
    /// The peer closed without waiting for its answers.
    Gone,
    /// The peer violated the protocol or a limit, described by the text.
    PeerFault(&'static str),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> End {
        End::Gone
    }
}

/// One connection of a balancer.
pub(super) struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    shared: Rc<Connections>,
    requests: Requests,
    /// Engine ids of the complete requests.
    ids: BTreeMap<u16, RequestId>,
    replies: mpsc::Receiver<(u16, Reply)>,
    reply_to: mpsc::Sender<(u16, Reply)>,
    status: Rc<ConnectionStatus>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Reservation for the part of `input` beyond `UNCHARGED_INPUT_BYTES`.
    input_room: Reservation,
    /// Bytes reserved in the output budget.
    reserved: usize,
    read_closed: bool,
    /// Nothing more is read; the connection closes once all is answered and written.
    closing: bool,
    /// Reading stopped although the peer may still send: lingers for longer, so that the answers arrive.
    drain_input: bool,
    /// Time since which a first valid request, or the rest of a later one, has been awaited.
    waiting_since: Option<Instant>,
    /// Bytes read that belong to no open request, since the last complete request.
    stray: usize,
    last_write: Instant,
    /// For steering only: the clients of the open requests, and the time of the last answer given when no
    /// other request was open or had arrived.
    clients: BTreeMap<u16, Client>,
    answered: Option<Instant>,
}

impl Connection {
    /// Creates the state of a connection, of which another process may have read a part.
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        shared: Rc<Connections>,
        status: Rc<ConnectionStatus>,
        passed: PassedState,
    ) -> Connection {
        // One slot per request that may wait for a reply, so that sending one never waits.
        let (reply_to, replies) = mpsc::channel(MAX_AWAITED);
        let requests = Requests::new(shared.request_budgets.of_connection());
        let input_room = Reservation::new(shared.request_budgets.unfinished.clone());
        let now = Instant::now();
        Connection {
            stream,
            peer,
            shared,
            requests,
            ids: BTreeMap::new(),
            replies,
            reply_to,
            status,
            input: passed.input,
            input_room,
            output: Vec::new(),
            reserved: 0,
            read_closed: false,
            closing: false,
            drain_input: false,
            // Being passed on neither extends nor shortens the peer's time limit. The subtraction fails if
            // this clock began after the wait did.
            waiting_since: (!passed.used || passed.waited.is_some())
                .then(|| now.checked_sub(passed.waited.unwrap_or_default()).unwrap_or(now)),
            stray: 0,
            last_write: now,
            clients: BTreeMap::new(),
            answered: None,
        }
    }

    /// Serves the connection until it ends.
    pub(super) async fn serve(mut self) {
        let end = match self.run().await {
            Ok(end) | Err(end) => end,
        };
        if let End::PassedOn = end {
            return self.pass_on().await;
        }
        if let End::PeerFault(what) = end {
            self.shared.log_peer_fault(self.peer, &what);
        }
        // From here on this connection cannot be asked to free its descriptor.
        self.status.quiet.set(false);
        if !matches!(end, End::Replaced) && self.status.asked_to_close.replace(false) {
            self.shared.ended.notify_waiters();
        }
        match end {
            End::Gone | End::Replaced => {}
            _ if self.read_closed => {}
            End::Idle => self.linger().await,
            _ if self.closing => self.linger().await,
            _ => {}
        }
        for id in self.requests.unanswered().collect::<Vec<_>>() {
            if let (Some(samples), Some(client)) = (&self.shared.samples, self.clients.remove(&id)) {
                samples.tell(Seen::Reset(client));
            }
            if let Some(id) = self.ids.remove(&id) {
                let _ = self.shared.engine.send(Input::CallerGone { id }).await;
            }
        }
        self.shared.output_budget.give(self.reserved);
    }

    /// Passes the connection with its unparsed input to the successor process; on failure it is served here
    /// again.
    async fn pass_on(self) {
        let Connection { stream, peer, shared, input, status, waiting_since, .. } = self;
        let successor = shared.successor.borrow().clone();
        let (used, waited) = (status.used.get(), waiting_since.map(|since| since.elapsed()));
        let waited_ms = waited.map(|waited| waited.as_millis() as u64);
        let Ok(stream) = stream.into_std() else { return };
        let Ok(beside) = stream.try_clone() else { return };
        let (left, passed) = oneshot::channel();
        let message = Message::Connection { input: input.clone(), used, waited_ms };
        let out = Out { message, descriptor: Some(beside.into()), sent: Some(left) };
        let sent = match &successor {
            Some(successor) => successor.send(out).await.is_ok(),
            None => false,
        };
        if sent && passed.await.is_ok() {
            return;
        }
        if let Ok(stream) = TcpStream::from_std(stream) {
            start(stream, peer, &shared, PassedState { input, used, waited });
        }
    }

    async fn run(&mut self) -> Result<End, End> {
        let mut idle = self.shared.idle.clone();
        let mut reads = 0;
        if !self.input.is_empty() {
            self.process_input().await?;
            self.write()?;
        }
        loop {
            // Avoids a reset when the program ends: input that has arrived is answered, and the peer sees
            // where the answers end. What it sends afterwards crosses the close and is not run.
            if idle.borrow().close_after_answers && !self.closing {
                self.read_available().await?;
                self.close_unfinished();
                self.write()?;
            }
            // After reading has ended, partial requests can never complete; waiting for them would keep the
            // connection open forever.
            let no_more = self.closing || self.read_closed;
            let owed = self.requests.unanswered().next().is_some() || !self.output.is_empty();
            if no_more && !owed {
                return Ok(End::Finished);
            }
            let half_read = self.status.used.get() && self.has_partial_request();
            self.set_quiet(!(owed || half_read));
            let (passing, last_call) = (idle.borrow().hand_over, idle.borrow().stop_reading);
            // No request is open and the input read so far is passed along, so no request meets a closed
            // connection.
            if passing && !owed && self.requests.is_empty() && !self.read_closed && !self.closing {
                return Ok(End::PassedOn);
            }
            let waits = last_call && passing && owed && !self.has_partial_request();
            let may_read =
                !self.read_closed && !self.closing && !waits && self.output.len() < MAX_OUTPUT_BYTES;
            if idle.borrow().permanent && self.may_close() {
                return Ok(End::Idle);
            }
            if may_read {
                self.input.reserve(READ_BYTES);
            }
            let give_up = self.waiting_since.filter(|_| !owed).map(|since| since + REQUEST_TIMEOUT);
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
                        // A half-close by the peer is no abort: what was read is answered.
                        self.read_closed = true;
                    } else {
                        self.status.last_traffic.set(Instant::now());
                        self.process_input().await?;
                        if !self.input_room.set(self.input.len().saturating_sub(UNCHARGED_INPUT_BYTES)) && !self.closing {
                            self.stop_reading("no memory is left for the rest of a long record");
                            self.close_unfinished();
                        }
                        self.yield_if_due(&mut reads).await;
                    }
                }
                ready = writer.writable(), if !self.output.is_empty() => ready?,
                changed = idle.changed() => {
                    let limit = idle.borrow().limit;
                    if idle.borrow().permanent {
                        continue;
                    }
                    let idle_for_limit = self.status.last_traffic.get().elapsed() >= limit
                        && !self.status.is_new();
                    let lapsed = changed.is_err() || idle_for_limit;
                    if lapsed && self.may_close() {
                        return Ok(End::Idle);
                    }
                }
                () = self.status.close_request.notified() => {
                    // Checks the socket too: a complete first request may have arrived and not been read yet.
                    let unused = !self.status.used.get() && silent(&self.stream);
                    if !owed && (unused || self.may_close()) {
                        self.close_unfinished();
                        self.write()?;
                        return Ok(End::Replaced);
                    }
                    self.status.asked_to_close.set(false);
                    self.shared.ended.notify_waiters();
                }
                () = self.status.evict.notified() => {
                    return Err(End::PeerFault("too many answer bytes are unread"));
                }
                () = sleep_until(give_up.unwrap_or(self.last_write)), if give_up.is_some() => {
                    // Reads first: the rest of the request may just have arrived.
                    self.read_available().await?;
                    if self.is_late() {
                        self.shared.log_peer_fault(self.peer, &"no complete request arrived in time");
                        if !self.has_partial_request() {
                            return Ok(End::Idle);
                        }
                        self.close_unfinished();
                    }
                }
                () = sleep_until(self.last_write + WRITE_TIMEOUT), if !self.output.is_empty() => {
                    return Err(End::PeerFault("the peer does not read its answers"));
                }
            }
            self.write()?;
            self.update_waiting_since();
        }
    }

    /// Sets whether the connection may be closed; if it became so, another one may be waiting for its room.
    fn set_quiet(&self, quiet: bool) {
        let became_quiet = !self.status.quiet.replace(quiet) && quiet;
        if became_quiet {
            self.shared.ended.notify_waiters();
        }
    }

    /// Whether a request, or the rest of one, has been awaited too long. A request that is owed an answer was
    /// complete in time.
    fn is_late(&self) -> bool {
        let waits = self.waiting_since.is_some_and(|since| since.elapsed() >= REQUEST_TIMEOUT);
        waits && !self.closing && !self.read_closed && self.requests.unanswered().next().is_none()
    }

    /// Updates the time since which a partial request, or a first valid one, has been awaited.
    fn update_waiting_since(&mut self) {
        if self.status.used.get() && !self.has_partial_request() {
            self.waiting_since = None;
        } else if self.waiting_since.is_none() {
            self.waiting_since = Some(Instant::now());
        }
    }

    /// Reads and processes pending input, up to `MAX_FINAL_READS` reads since a peer may send without end.
    async fn read_available(&mut self) -> Result<(), End> {
        for _ in 0..MAX_FINAL_READS {
            if self.closing || self.read_closed || silent(&self.stream) {
                break;
            }
            // Yielding lets the runtime poll the socket.
            tokio::task::yield_now().await;
            self.input.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => self.read_closed = true,
                Ok(_) => self.process_input().await?,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e.into()),
            }
        }
        Ok(())
    }

    /// Stops reading. Partial requests are answered, since the peer may have sent the rest of them by now.
    fn close_unfinished(&mut self) {
        self.closing = true;
        let before = self.output.len();
        for request in self.requests.take_unfinished() {
            self.answer_unfinished(&request);
        }
        let more = self.output.len() - before;
        self.shared.output_budget.take_beyond(more);
        self.reserved += more;
    }

    /// Answers a request that is not read to its end, and so does not run. An earlier try may have run, so that it
    /// may only be refused if it is known to have no key.
    fn answer_unfinished(&mut self, request: &UnfinishedRequest) {
        if is_known_unkeyed(&request.params, &self.shared.facts.borrow()) {
            self.refuse(request.id);
        } else {
            put_reply(&mut self.output, request.id, &Reply::new(Answer::Failed, None));
            let close = self.requests.close(request.id);
            self.close_if(close);
        }
    }

    /// Refuses a request of which no try can have run.
    fn refuse(&mut self, id: u16) {
        put_end(&mut self.output, id, ProtocolStatus::Overloaded);
        let close = self.requests.close(id);
        self.close_if(close);
    }

    /// Shuts down the sending side and discards input for a short time, so that a peer that still sends gets
    /// its answers.
    async fn linger(&mut self) {
        let _ = self.stream.shutdown().await;
        let leaves = self.shared.idle.borrow().permanent;
        let until = Instant::now() + if leaves || !self.drain_input { LEAVING_LINGER } else { LINGER };
        let mut scratch = vec![0; READ_BYTES];
        let mut left = MAX_LINGER_BYTES;
        while let Ok(Ok(n @ 1..)) = timeout_at(until, self.stream.read(&mut scratch)).await {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
        }
    }

    /// Whether a record or request has been read only in part.
    fn has_partial_request(&self) -> bool {
        !self.input.is_empty() || self.requests.len() > self.requests.unanswered().count()
    }

    /// Whether the connection may be closed as idle; false while unread input has arrived.
    fn may_close(&self) -> bool {
        let quiet = self.requests.is_empty() && self.output.is_empty() && self.input.is_empty();
        quiet && (self.read_closed || silent(&self.stream))
    }

    /// Yields regularly, so that a peer that sends without end does not keep the thread from other tasks.
    async fn yield_if_due(&self, reads: &mut u32) {
        *reads += 1;
        if *reads > READS_PER_TURN {
            *reads = 0;
            tokio::task::yield_now().await;
        }
    }

    /// Processes all complete records in the input.
    async fn process_input(&mut self) -> Result<(), End> {
        // Keeps the buffer for the next input unless a large record made it large.
        let mut input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        while !self.closing {
            match next_record(&mut rest) {
                Ok(Some(record)) => self.process_record(&record).await?,
                Ok(None) => break,
                Err(FramingError) => self.stop_reading("its input is not FastCGI 1.0 records"),
            }
        }
        if !self.closing {
            let taken = input.len() - rest.len();
            input.drain(..taken);
            if input.len() < READ_BYTES {
                input.shrink_to(2 * READ_BYTES);
            }
            self.input = input;
        }
        Ok(())
    }

    /// Closes the connection after an answer if the peer asked for it. The peer may have sent further
    /// requests.
    fn close_if(&mut self, close: bool) {
        self.closing |= close;
        self.drain_input |= close;
    }

    /// Stops reading input that can no longer be parsed. Requests that were complete before are still
    /// answered.
    fn stop_reading(&mut self, what: &'static str) {
        self.shared.log_peer_fault(self.peer, &what);
        (self.closing, self.drain_input) = (true, true);
    }

    async fn process_record(&mut self, record: &Record<'_>) -> Result<(), End> {
        let Ok(step) = self.requests.take(record, &mut self.output) else {
            self.stop_reading(
                "it begins a request whose id is already open, or the begin record is malformed",
            );
            return Ok(());
        };
        self.reserve()?;
        match step {
            Step::Nothing => {}
            Step::Stray => {
                // Limits input that forms no request, so that it cannot keep the thread busy.
                self.stray += record.content.len() + 1;
                if self.stray > MAX_STRAY_BYTES {
                    self.stop_reading("it sends too many bytes that belong to no request");
                }
            }
            Step::Complete(whole) => {
                self.stray = 0;
                self.submit(whole).await?;
                if self.status.used.get() {
                    self.waiting_since = None;
                }
            }
            // The engine no longer owes an answer but still gives one, with which the request is closed: its
            // id cannot be reused while a reply to it may be on the way.
            Step::Aborted(id) => {
                if let (Some(samples), Some(client)) = (&self.shared.samples, self.clients.remove(&id)) {
                    samples.tell(Seen::TimedOut(client));
                }
                if let Some(id) = self.ids.remove(&id) {
                    let _ = self.shared.engine.send(Input::CallerGone { id }).await;
                }
            }
            Step::Oversize(id) => {
                self.shared.log_peer_fault(self.peer, &"a request exceeds the size limit");
                self.answer(id, &Reply::new(Answer::Bad, None))?;
            }
            Step::Unreadable(request) => {
                self.shared.log_peer_fault(self.peer, &"there is no room to read a request");
                self.answer_unfinished(&request);
                self.reserve()?;
            }
            Step::Ended { close } => self.close_if(close),
        }
        Ok(())
    }

    async fn submit(&mut self, whole: CompleteRequest) -> Result<(), End> {
        let reply = ReplyTo::new(self.reply_to.clone(), whole.id);
        let shared = &self.shared;
        let parsed = parse_request(&whole.params, whole.body, &shared.facts.borrow());
        match parsed {
            Ok(PeerRequest::Check) => {
                self.status.used.set(true);
                let _ = shared.engine.send(Input::Check { reply }).await;
            }
            Ok(PeerRequest::Work(work)) if !whole.has_room && work.key.is_none() => {
                self.status.used.set(true);
                self.refuse(whole.id);
                self.reserve()?;
            }
            Ok(PeerRequest::Work(work)) => {
                self.status.used.set(true);
                let id = RequestId(shared.last_id.get() + 1);
                shared.last_id.set(id.0);
                self.ids.insert(whole.id, id);
                if let Some(samples) = &shared.samples {
                    let gap = self.answered.take().map(|answered| answered.elapsed());
                    if let Some(client) = steering_client(samples, self.peer, work.caller.0, &whole.params) {
                        self.clients.insert(whole.id, client.clone());
                        samples.tell(Seen::Asked { peer: self.peer, client, gap });
                    }
                }
                let input = match whole.has_room {
                    true => Input::Work { id, work, reply },
                    false => Input::WorkWithoutRoom { id, work, reply },
                };
                let _ = shared.engine.send(input).await;
            }
            Err(problem) => {
                shared.log_peer_fault(self.peer, &problem);
                reply.send(Reply::new(Answer::Bad, None));
            }
        }
        Ok(())
    }

    /// Writes the only answer to a request.
    fn answer(&mut self, id: u16, reply: &Reply) -> Result<(), End> {
        self.ids.remove(&id);
        if self.shared.samples.is_some() {
            self.clients.remove(&id);
            // If another request is open or has already arrived, the gap until the next one does not measure
            // a round trip.
            let alone = self.requests.len() == 1 && self.input.is_empty();
            self.answered = alone.then(Instant::now);
        }
        put_reply(&mut self.output, id, reply);
        let close = self.requests.close(id);
        self.close_if(close);
        self.reserve()
    }

    /// Reserves the budget for pending output. Ends a connection whose peer reads nothing before the budget
    /// is exceeded.
    fn reserve(&mut self) -> Result<(), End> {
        let more = self.output.len().saturating_sub(self.reserved);
        if !self.shared.reserve_output(more, &self.status) {
            return Err(End::PeerFault("too many answer bytes are unread"));
        }
        self.reserved += more;
        Ok(())
    }

    fn write(&mut self) -> Result<(), End> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(n) => {
                    self.output.drain(..n);
                    self.last_write = Instant::now();
                    self.status.last_traffic.set(self.last_write);
                    self.status.last_sent.set(Some(self.last_write));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) => return Err(e.into()),
            }
        }
        if self.output.is_empty() {
            self.output = Vec::new();
            // The write timeout starts with the next answer.
            self.last_write = Instant::now();
        }
        self.shared.output_budget.give(self.reserved - self.output.len());
        self.reserved = self.output.len();
        self.status.stalled_since.set((!self.output.is_empty()).then_some(self.last_write));
        Ok(())
    }
}
