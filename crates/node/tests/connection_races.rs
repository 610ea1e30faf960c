//! Races on balancers' connections: the real connection code over loopback, with the test as its engine. The
//! order of bytes and decisions is forced. A writer either advances by single polls of the same thread, so
//! that each point between two polls of the connection's task is tried, or writes before that task can run.

mod common;
use common::*;
use jaspershunt_node::config::NamedSettings;
use jaspershunt_node::engine::IdlePolicy;
use jaspershunt_node::engine::input::{Input, QUEUE};
use jaspershunt_node::fastcgi::connections::{Connections, accept};
use jaspershunt_node::fastcgi::memory::{Budget, RequestBudgets};
use jaspershunt_node::fastcgi::records::{kind, put_record};
use jaspershunt_node::request::{Answer, Reply, ReplyTo};
use socket2::SockRef;
use std::cell::Cell;
use std::future::poll_fn;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local, yield_now};
use tokio::time::{advance, sleep, timeout};

/// Number of poll counts after which a writer writes: more than any task here needs between two events.
const POLLS: u32 = 12;
/// Longer than a connection may take to its first request, and than it must be idle before it can be evicted.
const UNUSED_TIMEOUT: Duration = Duration::from_millis(600);
/// How long after its connection was accepted a first request may come in any case: the time within which a
/// request may cross a close, and some more.
const FIRST_REQUEST_DELAYS: [Duration; 3] =
    [Duration::from_millis(1), Duration::from_millis(50), Duration::from_millis(100)];
/// Time after which a connection that has sent nothing must have made room.
const MAX_SILENT_TIME: Duration = Duration::from_millis(500);
/// Longer than a request takes from a peer to the engine.
const SHORT_WAIT: Duration = Duration::from_millis(5);
/// Time limit for the rest of a request.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The protocol status of a request that never ran.
const OVERLOADED: u8 = 2;
/// Begins the text of an answer that promises nothing.
const FAILED: &str = "Status: 500 ";

/// Bytes of the records of the body `body` and of its end.
const END_OF_BODY: usize = 20;
/// How far requests are read before they are cut: the class, whether all parameters are read, and whether it may
/// be refused.
const HALF_READ: [(&str, bool, bool); 4] =
    [("read", false, false), ("read", true, true), ("sign", false, false), ("sign", true, false)];

/// The listening connection code, with the test as its engine.
struct Server {
    address: SocketAddr,
    front: Rc<Connections>,
    work: mpsc::Receiver<Input>,
    idle: watch::Sender<IdlePolicy>,
    stop: Option<oneshot::Sender<()>>,
    accepts: JoinHandle<()>,
    _facts: watch::Sender<Rc<NamedSettings>>,
}

impl Server {
    /// Accepts at most this many connections at once.
    async fn start(most: usize) -> Server {
        Server::with(|front| front.max_connections = most).await
    }

    async fn with(change: impl FnOnce(&mut Connections)) -> Server {
        let (listener, address) = listener().await;
        Server::on(listener, address, change)
    }

    fn on(listener: TcpListener, address: SocketAddr, change: impl FnOnce(&mut Connections)) -> Server {
        let config = config(address, address, address, address);
        let (engine, work) = mpsc::channel(QUEUE);
        let (idle, idle_out) = watch::channel(IdlePolicy::default());
        let (facts, facts_out) = watch::channel(Rc::new(config.facts()));
        let mut front = Connections::new(&config, engine, idle_out, facts_out, Rc::new(Cell::new(0)));
        change(&mut front);
        let front = Rc::new(front);
        let (stop, stopped) = oneshot::channel::<()>();
        let accepting = accept(Rc::new(listener), front.clone(), async move {
            let _ = stopped.await;
        });
        Server {
            address,
            front,
            work,
            idle,
            stop: Some(stop),
            accepts: spawn_local(accepting),
            _facts: facts,
        }
    }

    async fn connect(&self) -> Peer {
        connect(self.address).await
    }

    /// Receives the next request sent to the engine and returns its reply channel.
    async fn next_reply_to(&mut self) -> ReplyTo {
        loop {
            match self.work.recv().await.unwrap() {
                Input::Work { reply, .. } => return reply,
                Input::CallerGone { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }

    /// Opens a connection and has one request answered on it.
    async fn used(&mut self) -> Peer {
        let mut peer = self.connect().await;
        self.serve(&mut peer).await;
        peer
    }

    /// Sends one request and answers it.
    async fn serve(&mut self, peer: &mut Peer) {
        peer.send(whole_request()).await;
        send_result(self.next_reply_to().await, b"first");
        assert!(peer.answer().await.unwrap().1.ends_with("first"));
    }

    /// Answers the request of which the first 40 bytes were sent, and begins the next one.
    async fn serve_rest(&mut self, peer: &mut Peer) {
        peer.send(&whole_request()[40..]).await;
        send_result(self.next_reply_to().await, b"rest");
        assert!(peer.answer().await.expect("an answer").1.ends_with("rest"));
        peer.send(&whole_request()[..40]).await;
    }

    /// Answers all further requests in the background.
    fn serve_all(self) -> AutoServer {
        let Server { address, front, mut work, idle, stop, accepts, _facts } = self;
        spawn_local(async move {
            let _facts = _facts;
            while let Some(input) = work.recv().await {
                match input {
                    Input::Work { reply, .. } => send_result(reply, b"made"),
                    Input::Check { reply } => {
                        reply.send(Reply::new(Answer::Health { good: true }, None));
                    }
                    _ => {}
                }
            }
        });
        AutoServer { address, front, _idle: idle, stop, accepts }
    }
}

/// A server that answers each request in the background.
struct AutoServer {
    address: SocketAddr,
    front: Rc<Connections>,
    _idle: watch::Sender<IdlePolicy>,
    stop: Option<oneshot::Sender<()>>,
    accepts: JoinHandle<()>,
}

impl AutoServer {
    async fn connect(&self) -> Peer {
        connect(self.address).await
    }
}

/// Connects without Nagle's algorithm, so that writes arrive in the order in which they were made.
async fn connect(address: SocketAddr) -> Peer {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    Peer::new(stream)
}

fn send_result(reply: ReplyTo, result: &[u8]) {
    reply.send(Reply::new(Answer::Served(result.into()), None));
}

fn whole_request() -> Vec<u8> {
    request(1, 7, "read", &[], b"body")
}

/// Yields to every other ready task of this thread once.
async fn yield_once() {
    let mut polled = false;
    poll_fn(|context| {
        if std::mem::replace(&mut polled, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// Returns whether the peer's end of the connection has arrived.
fn has_ended(peer: &Peer) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(&peer.stream).peek(&mut byte), Ok(0))
}

/// Writes bytes unless the connection has ended; returns whether all were written.
fn write_unless_ended(peer: &Peer, bytes: &[u8]) -> bool {
    !has_ended(peer) && peer.stream.try_write(bytes).is_ok_and(|n| n == bytes.len())
}

/// Writes after this many polls; returns the connection and whether all bytes were written before its end was
/// known.
async fn write_after_polls(peer: Peer, polls: u32, bytes: Vec<u8>) -> (Peer, bool) {
    for _ in 0..polls {
        yield_once().await;
    }
    let left = write_unless_ended(&peer, &bytes);
    (peer, left)
}

/// Waits until this many connections are open.
async fn wait_for_open_connections(front: &Connections, connections: usize) {
    while front.open.get() != connections {
        yield_now().await;
    }
}

#[test]
fn a_first_request_racing_the_eviction_of_its_connection_is_answered() {
    paused(async {
        let mut answered = 0;
        for polls in 0..POLLS {
            let server = Server::start(3).await.serve_all();
            let (idle_peer, other) = (server.connect().await, server.connect().await);
            wait_for_open_connections(&server.front, 2).await;
            advance(UNUSED_TIMEOUT).await;
            // The third connection evicts the one that was idle for longest, in the poll in which it is
            // accepted. From then on, the polls until the evicted connection's first request are counted.
            let front = server.front.clone();
            let writer = spawn_local(async move {
                while front.open.get() < 3 {
                    yield_once().await;
                }
                write_after_polls(idle_peer, polls, whole_request()).await
            });
            let mut third = server.connect().await;
            let (mut idle_peer, left) = writer.await.unwrap();
            third.send(whole_request()).await;
            if left {
                answered += 1;
                let answer = idle_peer.answer().await;
                assert!(answer.is_some_and(|a| a.1.ends_with("made")), "lost after {polls} polls");
            }
            assert!(third.answer().await.unwrap().1.ends_with("made"));
            drop(other);
        }
        assert!(answered > 0, "no request came before the end");
    });
}

/// Guards against requests lost on connections that a full nodo accepts and then closes for the next one
/// before their first bytes can arrive.
#[test]
fn a_new_connection_to_a_full_nodo_is_kept_for_its_first_request() {
    paused(async {
        let mut server = Server::start(2).await;
        let mut busy = server.used().await;
        busy.send(&whole_request()[..40]).await;
        for delay in FIRST_REQUEST_DELAYS {
            let mut new = server.connect().await;
            sleep(delay).await;
            assert!(write_unless_ended(&new, &whole_request()), "closed within {delay:?}");
            send_result(server.next_reply_to().await, b"new");
            assert!(new.answer().await.expect("an answer").1.ends_with("new"), "lost after {delay:?}");
            server.serve_rest(&mut busy).await;
        }
    });
}

/// Guards against connections that send nothing and keep waiting callers out of a full nodo.
#[test]
fn a_silent_connection_makes_room_at_a_full_nodo_after_its_first_request_delay() {
    paused(async {
        let mut server = Server::start(2).await;
        let mut busy = server.used().await;
        busy.send(&whole_request()[..40]).await;
        let mut silent = server.connect().await;
        let mut waiting = server.connect().await;
        waiting.send(whole_request()).await;
        let reply = timeout(MAX_SILENT_TIME, server.next_reply_to()).await.expect("the caller still waits");
        send_result(reply, b"waited");
        assert!(waiting.answer().await.expect("an answer").1.ends_with("waited"));
        assert!(silent.answer().await.is_none());
    });
}

/// Guards against requests lost on new connections when the module closes those idle for longer than a limit,
/// however short the limit is.
#[test]
fn a_new_connection_is_not_closed_as_idle_before_its_first_request() {
    paused(async {
        for delay in FIRST_REQUEST_DELAYS {
            let mut server = Server::start(4).await;
            let mut used = server.used().await;
            let mut new = server.connect().await;
            sleep(delay).await;
            server.idle.send_modify(|idle| idle.limit = Duration::ZERO);
            assert!(used.answer().await.is_none(), "the limit closes no idle connection");
            assert!(write_unless_ended(&new, &whole_request()), "closed within {delay:?}");
            send_result(server.next_reply_to().await, b"new");
            assert!(new.answer().await.expect("an answer").1.ends_with("new"), "lost after {delay:?}");
        }
    });
}

/// Guards against callers that wait for a full nodo although a connection could make room: all had a request
/// open when room was first wanted.
#[test]
fn a_waiting_caller_is_accepted_once_a_connection_of_a_full_nodo_is_idle() {
    paused(async {
        let mut server = Server::start(2).await;
        let (mut one, mut other) = (server.connect().await, server.connect().await);
        let mut replies = Vec::new();
        for peer in [&mut one, &mut other] {
            peer.send(whole_request()).await;
            replies.push(server.next_reply_to().await);
        }
        let mut waiting = server.connect().await;
        waiting.send(whole_request()).await;
        // Longer than any connection is protected.
        sleep(UNUSED_TIMEOUT).await;
        send_result(replies.remove(0), b"one");
        assert!(one.answer().await.expect("an answer").1.ends_with("one"));
        let reply = timeout(MAX_SILENT_TIME, server.next_reply_to()).await.expect("the caller still waits");
        send_result(reply, b"waited");
        assert!(waiting.answer().await.expect("an answer").1.ends_with("waited"));
        send_result(replies.remove(0), b"other");
        assert!(other.answer().await.expect("an answer").1.ends_with("other"));
    });
}

/// Guards against answers lost to a reset: a connection makes room right after its answer was written, and its
/// peer, which has not read all of it, sends its next request.
#[test]
fn a_connection_makes_no_room_until_its_peer_had_time_to_read_its_answer() {
    paused(async {
        let (listener, address) = listener().await;
        SockRef::from(&listener).set_send_buffer_size(8192).unwrap();
        let mut server = Server::on(listener, address, |front| front.max_connections = 3);
        let mut busy = server.used().await;
        busy.send(&whole_request()[..40]).await;
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        let mut slow = Peer::new(socket.connect(address).await.unwrap());
        slow.stream.set_nodelay(true).unwrap();
        // More than the peer's buffer takes, less than the nodo's.
        let result = vec![b'x'; 4000];
        for delay in FIRST_REQUEST_DELAYS {
            slow.send(whole_request()).await;
            send_result(server.next_reply_to().await, &result);
            // Takes the last slot.
            let new = server.connect().await;
            sleep(delay).await;
            assert!(write_unless_ended(&slow, &whole_request()), "closed within {delay:?}");
            for _ in 0..2 {
                let answer = slow.answer().await.unwrap_or_else(|| panic!("lost after {delay:?}"));
                assert!(answer.1.ends_with(std::str::from_utf8(&result).unwrap()));
                if let Ok(reply) = timeout(SHORT_WAIT, server.next_reply_to()).await {
                    send_result(reply, &result);
                }
            }
            drop(new);
            server.serve_rest(&mut busy).await;
        }
    });
}

#[test]
fn an_idle_connection_is_evicted_before_one_with_a_half_read_request() {
    local(async {
        let mut server = Server::start(3).await;
        let mut half_read = server.used().await;
        let mut idle_peer = server.used().await;
        let second = request(1, 8, "read", &[], b"body");
        // The connection with the half-read request has been idle for longer when a slot is needed.
        half_read.send(&second[..60]).await;
        server.serve(&mut idle_peer).await;
        let mut caller = server.connect().await;
        server.serve(&mut caller).await;
        assert!(idle_peer.answer().await.is_none(), "the wrong connection was evicted");
        half_read.send(&second[60..]).await;
        send_result(server.next_reply_to().await, b"second");
        assert!(half_read.answer().await.unwrap().1.ends_with("second"));
    });
}

#[test]
fn the_rest_of_a_request_racing_its_timeout_is_answered() {
    paused(async {
        let mut failed = 0;
        for polls in 0..POLLS {
            let server = Server::start(4).await.serve_all();
            let peer = server.connect().await;
            wait_for_open_connections(&server.front, 1).await;
            let bytes = whole_request();
            assert!(write_unless_ended(&peer, &bytes[..40]));
            yield_now().await;
            let rest = bytes[40..].to_vec();
            // The timers of the connection and of the writer fire in the same millisecond.
            let writer = spawn_local(async move {
                tokio::time::sleep(REQUEST_READ_TIMEOUT).await;
                write_after_polls(peer, polls, rest).await
            });
            let (mut peer, left) = writer.await.unwrap();
            let answer = peer.answer().await;
            let (_, text, _) = answer.unwrap_or_else(|| panic!("no answer after {polls} polls"));
            // Of what was read in time, the class is not known.
            let has_failed = text.starts_with(FAILED);
            assert!(text.ends_with("made") || has_failed, "{text}");
            assert!(left || has_failed);
            failed += u32::from(has_failed);
            assert!(if has_failed { peer.answer().await.is_none() } else { peer.is_silent() }, "two answers");
        }
        println!("{failed} of {POLLS} failed");
    });
}

/// The first part of a request of this class, up to its body or only into its parameters.
fn half_of(class: &str, with_params: bool) -> Vec<u8> {
    let bytes = request(1, 7, class, &[("HTTP_X_OPERATION_KEY", "a key")], b"body");
    let length = if with_params { bytes.len() - END_OF_BODY } else { 40 };
    bytes[..length].to_vec()
}

/// Asserts that the next answer to request 1 is the only one, and is a refusal or a failure.
async fn assert_unread(peer: &mut Peer, is_refused: bool) {
    let (id, text, status) = peer.answer().await.expect("an answer");
    match is_refused {
        true => assert_eq!((id, &text[..], status), (1, "", OVERLOADED)),
        false => assert!(id == 1 && status == 0 && text.starts_with(FAILED), "{id} {status} {text:?}"),
    }
    assert!(peer.answer().await.is_none(), "a second answer");
}

/// Guards against a refusal of a request of whose key another try may have run. Only a class without keys is
/// refused.
#[test]
fn a_half_read_request_is_answered_before_its_connection_closes() {
    paused(async {
        for used in [false, true] {
            for (class, with_params, is_refused) in HALF_READ {
                let mut server = Server::start(4).await;
                let mut peer = if used { server.used().await } else { server.connect().await };
                peer.send(half_of(class, with_params)).await;
                assert_unread(&mut peer, is_refused).await;
            }
        }
    });
}

#[test]
fn a_request_that_arrived_before_the_final_read_is_answered() {
    local(async {
        let mut server = Server::start(8).await;
        let (idle_peer, half_read, new) = (server.used().await, server.used().await, server.connect().await);
        wait_for_open_connections(&server.front, 3).await;
        let bytes = whole_request();
        assert!(write_unless_ended(&half_read, &bytes[..40]));
        yield_now().await;
        // The connections' tasks can't run between these writes.
        assert!(
            write_unless_ended(&idle_peer, &bytes)
                && write_unless_ended(&half_read, &bytes[40..])
                && write_unless_ended(&new, &bytes)
        );
        server.idle.send_modify(|idle| idle.close_after_answers = true);
        for _ in 0..3 {
            send_result(server.next_reply_to().await, b"made");
        }
        for mut peer in [idle_peer, half_read, new] {
            assert!(peer.answer().await.expect("an answer").1.ends_with("made"));
            assert!(peer.answer().await.is_none(), "the connection stayed open");
        }
    });
}

#[test]
fn a_request_half_read_at_the_final_read_is_answered_once() {
    local(async {
        for (class, with_params, is_refused) in HALF_READ {
            let mut server = Server::start(8).await;
            let (mut half_read, mut half_a_record) = (server.used().await, server.used().await);
            half_read.send(half_of(class, with_params)).await;
            // Less than the record that begins the request.
            half_a_record.send(&whole_request()[..5]).await;
            yield_now().await;
            server.idle.send_modify(|idle| idle.close_after_answers = true);
            assert_unread(&mut half_read, is_refused).await;
            assert!(half_a_record.answer().await.is_none());
        }
    });
}

#[test]
fn a_request_racing_the_close_of_an_idle_connection_is_answered() {
    local(async {
        let close = [
            |idle: &mut IdlePolicy| idle.limit = Duration::ZERO,
            |idle: &mut IdlePolicy| (idle.limit, idle.permanent) = (Duration::ZERO, true),
        ];
        for close in close {
            let mut server = Server::start(8).await;
            let mut idle_peer = server.used().await;
            assert!(write_unless_ended(&idle_peer, &whole_request()));
            server.idle.send_modify(close);
            send_result(server.next_reply_to().await, b"made");
            assert!(idle_peer.answer().await.expect("an answer").1.ends_with("made"));
        }
    });
}

#[test]
fn bytes_after_the_close_of_an_idle_connection_cause_no_reset() {
    local(async {
        let mut server = Server::start(8).await;
        let idle_peer = server.used().await;
        server.idle.send_modify(|idle| idle.limit = Duration::ZERO);
        while !has_ended(&idle_peer) {
            yield_now().await;
        }
        assert!(idle_peer.stream.try_write(&whole_request()).is_ok());
        yield_now().await;
        let error = SockRef::from(&idle_peer.stream).take_error().unwrap();
        assert!(error.is_none(), "{error:?}");
        assert!(server.work.try_recv().is_err(), "a request read after the close was passed on");
    });
}

#[test]
fn callers_in_the_backlog_of_a_closing_listener_are_answered_within_the_descriptor_limit() {
    local(async {
        // Regular slots, additional ones while the listener closes, and twice as many callers.
        const PLACES: usize = 4;
        const RESERVE: usize = 16;
        const CALLERS: usize = 2 * (PLACES + RESERVE);
        let mut server = Server::start(PLACES).await;
        let mut taken = Vec::new();
        for _ in 0..PLACES {
            let mut peer = server.used().await;
            peer.send(&whole_request()[..40]).await;
            taken.push(peer);
        }
        let mut server = server.serve_all();
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let mut peer = server.connect().await;
            peer.send(whole_request()).await;
            callers.push(peer);
        }
        let (front, most) = (server.front.clone(), Rc::new(Cell::new(0)));
        let seen = most.clone();
        spawn_local(async move {
            loop {
                seen.set(seen.get().max(front.open.get()));
                yield_now().await;
            }
        });
        server.stop.take().unwrap().send(()).unwrap();
        for caller in &mut callers {
            assert!(caller.answer().await.expect("an answer").1.ends_with("made"));
        }
        server.accepts.await.unwrap();
        assert!(most.get() <= PLACES + RESERVE, "{} open", most.get());
        for mut peer in taken {
            peer.send(&whole_request()[40..]).await;
            assert!(peer.answer().await.expect("an answer").1.ends_with("made"));
        }
        assert!(TcpStream::connect(server.address).await.is_err(), "it still listens");
    });
}

#[test]
fn peers_that_read_nothing_do_not_block_answers_to_others() {
    local(async {
        const ROOM: usize = 20_000;
        let (listener, address) = listener().await;
        // What the system buffers for a peer isn't in the program's budget, so the buffer is small.
        SockRef::from(&listener).set_send_buffer_size(4096).unwrap();
        let mut server = Server::on(listener, address, |front| front.output_budget = Budget::new(ROOM));
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        let mut flood = Peer::new(socket.connect(address).await.unwrap());
        let result = vec![b'x'; 4000];
        // Requests answers until the budget has no room for another.
        while server.front.output_budget.take(result.len()) {
            server.front.output_budget.give(result.len());
            flood.send(whole_request()).await;
            send_result(server.next_reply_to().await, &result);
            yield_once().await;
            yield_now().await;
        }
        let mut good = server.connect().await;
        for _ in 0..3 {
            good.send(whole_request()).await;
            send_result(server.next_reply_to().await, &result);
            let answer = good.answer().await.expect("an answer");
            assert!(answer.1.ends_with(&String::from_utf8(result.clone()).unwrap()));
        }
        wait_for_open_connections(&server.front, 1).await;
    });
}

#[test]
fn unfinished_records_are_limited_by_the_request_memory_budget() {
    local(async {
        const ROOM: usize = 400_000;
        const CONNECTIONS: usize = 8;
        const RECORD: usize = 65_000;
        let budgets = RequestBudgets::new(ROOM, CONNECTIONS);
        let server = Server::with(|front| front.request_budgets = budgets.clone()).await.serve_all();
        let mut long = Vec::new();
        put_record(&mut long, kind::STDIN, 9, &vec![0; RECORD]);
        let mut floods = Vec::new();
        let mut closed = 0;
        for _ in 0..4 {
            let mut flood = server.connect().await;
            flood.send(&long[..RECORD]).await;
            floods.push(flood);
        }
        for flood in &mut floods {
            // Those within the budget are awaited and closed by their timeout.
            let end = timeout(Duration::from_millis(500), flood.answer()).await;
            closed += u32::from(matches!(end, Ok(None)));
        }
        assert!((2..4).contains(&closed), "{closed} were closed");
        let mut good = server.connect().await;
        good.send(whole_request()).await;
        assert!(good.answer().await.expect("an answer").1.ends_with("made"));
        drop(floods);
        wait_for_open_connections(&server.front, 1).await;
        drop(good);
        wait_for_open_connections(&server.front, 0).await;
        assert_eq!((budgets.unfinished.used(), budgets.whole.used()), (0, 0), "bytes were not released");
    });
}

/// Guards against a refusal, for lack of memory, of a request of whose key another try may have run: the engine
/// decides on keyed ones.
#[test]
fn whole_requests_without_room_are_refused_only_where_they_have_no_key() {
    local(async {
        // Room for one whole request, and two more on each connection.
        let budgets = RequestBudgets::new(8000, 1);
        let mut server = Server::with(|front| front.request_budgets = budgets.clone()).await;
        let mut peer = server.connect().await;
        let large =
            |id: u16, class| request(id, id.into(), class, &[("HTTP_X_OPERATION_KEY", "a key")], &[0; 2000]);
        peer.send([large(1, "read"), large(2, "read")].concat()).await;
        let first = server.next_reply_to().await;
        assert_eq!(peer.answer().await, Some((2, String::new(), OVERLOADED)));
        peer.send(large(3, "sign")).await;
        let Some(Input::WorkWithoutRoom { reply, .. }) = server.work.recv().await else {
            panic!("the engine is not asked")
        };
        send_result(reply, b"known");
        assert!(peer.answer().await.unwrap().1.ends_with("known"));
        send_result(first, b"made");
        assert!(peer.answer().await.unwrap().1.ends_with("made"));
        peer.send(large(4, "sign")).await;
        send_result(server.next_reply_to().await, b"with room");
        assert!(peer.answer().await.unwrap().1.ends_with("with room"));
    });
}

/// Guards against a next try that is refused because the one that it follows, taken back in the same write, counts
/// among the open requests of a full connection.
#[test]
fn a_try_in_one_write_with_the_abort_of_the_one_before_has_room_on_a_full_connection() {
    local(async {
        let mut server = Server::start(4).await;
        let mut peer = server.connect().await;
        let key = [("HTTP_X_OPERATION_KEY", "a key")];
        let first = request(1, 1, "sign", &key, b"body");
        let others = (2..=32).flat_map(|n| request(n, n.into(), "read", &[], b"body"));
        peer.send(first.into_iter().chain(others).collect::<Vec<u8>>()).await;
        let mut replies = Vec::new();
        for _ in 0..32 {
            replies.push(server.next_reply_to().await);
        }
        let mut both = Vec::new();
        put_record(&mut both, kind::ABORT_REQUEST, 1, b"");
        both.extend(request(33, 33, "sign", &key, b"body"));
        peer.send(both).await;
        send_result(server.next_reply_to().await, b"again");
        replies.into_iter().for_each(|reply| send_result(reply, b"made"));
        let mut answers = std::collections::BTreeMap::new();
        for _ in 0..33 {
            let (id, text, _) = peer.answer().await.expect("an answer");
            assert!(answers.insert(id, text).is_none(), "a second answer to {id}");
        }
        assert!(answers[&33].ends_with("again"));
    });
}

#[test]
fn a_request_cut_at_any_byte_is_answered_once() {
    local(async {
        let server = Server::start(4).await.serve_all();
        let mut peer = server.connect().await;
        let bytes = whole_request();
        for cut in 1..bytes.len() {
            peer.send(&bytes[..cut]).await;
            // Lets the connection read the first part.
            for _ in 0..3 {
                yield_now().await;
            }
            peer.send(&bytes[cut..]).await;
            let (id, text, status) = peer.answer().await.unwrap_or_else(|| panic!("no answer at {cut}"));
            assert!(id == 1 && status == 0 && text.ends_with("made"), "{cut}: {text}");
        }
        assert!(peer.is_silent());
    });
}

#[test]
fn pipelined_requests_before_a_half_close_are_all_answered() {
    local(async {
        let mut server = Server::start(4).await;
        let mut peer = server.connect().await;
        // One more than the limit of open requests: it is refused at once.
        let all: Vec<u8> = (1..=33).flat_map(|n| request(n, u64::from(n), "read", &[], b"body")).collect();
        peer.send(&all).await;
        tokio::io::AsyncWriteExt::shutdown(&mut peer.stream).await.unwrap();
        let mut replies = Vec::new();
        for _ in 0..32 {
            replies.push(server.next_reply_to().await);
        }
        assert_eq!(peer.answer().await, Some((33, String::new(), OVERLOADED)));
        // In reverse order.
        for reply in replies.into_iter().rev() {
            send_result(reply, b"made");
        }
        let mut ids = Vec::new();
        while let Some((id, text, _)) = peer.answer().await {
            assert!(text.ends_with("made"));
            ids.push(id);
        }
        ids.sort_unstable();
        assert_eq!(ids, Vec::from_iter(1..=32));
    });
}

#[test]
fn a_slow_reader_gets_whole_answers_and_delays_no_other_connection() {
    const PIECE: usize = 16;
    /// The limit of open requests.
    const ANSWERS: u16 = 32;
    local(async {
        let mut answered = 0;
        let (listener, address) = listener().await;
        SockRef::from(&listener).set_send_buffer_size(4096).unwrap();
        let mut server = Server::on(listener, address, |_| {});
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(32 * 1024).unwrap();
        let mut slow = Peer::new(socket.connect(address).await.unwrap());
        slow.stream.set_nodelay(true).unwrap();
        let result = vec![b'x'; 4000];
        for n in 1..=ANSWERS {
            slow.send(request(n, u64::from(n), "read", &[], b"body")).await;
            send_result(server.next_reply_to().await, &result);
        }
        let mut quick = server.connect().await;
        let (mut bytes, mut piece) = (Vec::new(), [0; PIECE]);
        let result = String::from_utf8(result).unwrap();
        let whole =
            |bytes: &[u8]| String::from_utf8_lossy(bytes).matches(&result).count() == usize::from(ANSWERS);
        while bytes.len() < usize::from(ANSWERS) * result.len() || !whole(&bytes) {
            tokio::io::AsyncReadExt::read_exact(&mut slow.stream, &mut piece).await.unwrap();
            bytes.extend(piece);
            if bytes.len().is_multiple_of(100 * PIECE) {
                server.serve(&mut quick).await;
                answered += 1;
            }
        }
        assert!(answered > 8);
    });
}

#[test]
fn a_half_written_reply_is_finished_before_its_connection_is_handed_over() {
    local(async {
        const ANSWERS: u16 = 8;
        let (listener, address) = listener().await;
        SockRef::from(&listener).set_send_buffer_size(4096).unwrap();
        let mut server = Server::on(listener, address, |_| {});
        let (later, mut passed) = mpsc::channel(1);
        server.front.set_successor(Some(later));
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        let mut slow = Peer::new(socket.connect(address).await.unwrap());
        let result = vec![b'x'; 4000];
        for n in 1..=ANSWERS {
            slow.send(request(n, u64::from(n), "read", &[], b"body")).await;
            send_result(server.next_reply_to().await, &result);
        }
        // The system's buffers are full of answers by now, and the rest waits for the peer.
        for _ in 0..POLLS {
            yield_now().await;
        }
        server.idle.send_modify(|idle| (idle.hand_over, idle.stop_reading) = (true, true));
        for _ in 0..POLLS {
            yield_now().await;
        }
        assert!(passed.try_recv().is_err(), "it was handed over with a half-written answer");
        for _ in 0..ANSWERS {
            let (_, text, _) = slow.answer().await.expect("no whole answer");
            assert!(text.ends_with(std::str::from_utf8(&result).unwrap()));
        }
        assert!(passed.recv().await.is_some(), "it was not handed over");
    });
}
