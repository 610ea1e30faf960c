//! Tests of the database client, the directory client and the configuration, each in isolation.

mod common;
use common::*;
use jaspershunt::{Outcome, RequestId};
use jaspershunt_node::config::{self, Peers};
use jaspershunt_node::database::{Call, Target, make_calls};
use jaspershunt_node::directory::{Mode, report};
use jaspershunt_node::engine::input::{CallEnd, Input};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A connection pool under test, with its inputs to the engine and a way to make calls.
struct Pool {
    calls: mpsc::Sender<Call>,
    inputs: mpsc::Receiver<Input>,
    number: u64,
    moves: watch::Sender<Peers>,
    once: bool,
    to: Option<Target>,
}

impl Pool {
    fn new(address: SocketAddr) -> Pool {
        let (engine, inputs) = mpsc::channel(10);
        let (calls, out) = mpsc::channel(10);
        let (moves, peers) = watch::channel(all_at(address));
        spawn_local(make_calls(peers, 4, engine, out));
        Pool { calls, inputs, number: 0, moves, once: false, to: None }
    }

    async fn call(&mut self, give_up_after: Duration) -> oneshot::Sender<()> {
        self.number += 1;
        let (give_up, given_up) = oneshot::channel();
        let (uid, body, to) = ("00000000000000ab".into(), b"query"[..].into(), self.to);
        let once = self.once;
        let call = Call {
            id: RequestId(1),
            number: self.number,
            uid,
            body,
            to,
            once,
            give_up_after,
            given_up,
            fence: None,
        };
        self.calls.send(call).await.unwrap();
        give_up
    }

    async fn end(&mut self) -> CallEnd {
        match self.inputs.recv().await {
            Some(Input::CallEnded { number, end, .. }) if number == self.number => end,
            other => panic!("{other:?}"),
        }
    }
}

const LONG: Duration = Duration::from_secs(60);

/// Longer than a connection must be silent before it is reused.
const SETTLED: Duration = Duration::from_millis(60);

#[test]
fn a_call_is_reported_as_not_run_only_on_proof() {
    paused(async {
        let (listener, address) = listener().await;
        let mut pool = Pool::new(address);
        let cases = [
            ("200 OK\r\nContent-Length: 4\r\n\r\nrows", Outcome::Done),
            ("503 Busy\r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome::TurnedAway),
            ("503 Busy\r\nContent-Length: 0\r\n\r\n", Outcome::Failed),
            ("500 Error\r\nContent-Length: 0\r\n\r\n", Outcome::Failed),
            ("504 Late\r\nContent-Length: 0\r\n\r\n", Outcome::GivenUp),
            ("409 No\r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome::NotStarted),
            (
                "100 Go on\r\n\r\nHTTP/1.1 103 Soon\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows",
                Outcome::Done,
            ),
        ];
        let _open = pool.call(LONG).await;
        // All calls use one connection, one after another.
        let mut database = Peer::accept(&listener).await;
        let mut open = Vec::new();
        for (reply, outcome) in cases {
            assert!(database.http().await.contains("Statement-Timeout-Ms: 60000\r\n"));
            database.send(format!("HTTP/1.1 {reply}")).await;
            let end = pool.end().await;
            assert_eq!(end.body, if outcome == Outcome::Done { &b"rows"[..] } else { b"" });
            assert_eq!(end.outcome, outcome);
            tokio::time::sleep(SETTLED).await;
            open.push(pool.call(LONG).await);
        }
        // A connection that breaks during a call does not prove that the call did not run.
        database.http().await;
        drop(database);
        assert_eq!(pool.end().await.outcome, Outcome::Broken);
        drop(listener);
        open.push(pool.call(LONG).await);
        assert_eq!(pool.end().await.outcome, Outcome::Unreachable);
    });
}

/// The call may have run. The reply is read only until it is known to be malformed; then the connection is
/// closed.
#[test]
fn a_malformed_reply_breaks_the_call_and_closes_its_connection_at_once() {
    paused(async {
        let (listener, address) = listener().await;
        let mut pool = Pool::new(address);
        let endless = format!("HTTP/1.1 200 OK\r\nNoise: {}", "x".repeat(9000));
        let malformed = [
            "\0\x01noise",
            "HTTP/2 200 OK\r\n",
            "HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\n\r\nrows",
            "HTTP/1.1 200 OK\r\nbroken\r\nContent-Length: 4\r\n\r\nrows",
            &endless,
        ];
        for reply in malformed {
            let _open = pool.call(LONG).await;
            let mut database = Peer::accept(&listener).await;
            database.http().await;
            database.send(reply).await;
            assert_eq!(pool.end().await.outcome, Outcome::Broken, "{reply}");
            assert_eq!(database.line().await, None);
        }
    });
}

/// Excess bytes could be read as the beginning of the next reply.
#[test]
fn a_good_reply_counts_despite_trailing_bytes_and_its_connection_is_not_reused() {
    paused(async {
        let (listener, address) = listener().await;
        let mut pool = Pool::new(address);
        let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows";
        for more in [good, "noise"] {
            for at_once in [true, false] {
                let _open = pool.call(LONG).await;
                let mut database = Peer::accept(&listener).await;
                database.http().await;
                database.send(if at_once { format!("{good}{more}") } else { good.to_string() }).await;
                assert_eq!(pool.end().await, CallEnd { outcome: Outcome::Done, body: b"rows".to_vec() });
                if !at_once {
                    // The bytes arrive late: a connection is reused only after it has been silent for a
                    // while.
                    let _next = pool.call(LONG).await;
                    let mut other = Peer::accept(&listener).await;
                    other.http().await;
                    database.send(more).await;
                    other.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").await;
                    pool.end().await;
                    tokio::time::sleep(SETTLED).await;
                }
            }
        }
    });
}

/// The other end may have dropped an idle connection. A call that breaks on it never ran, but looks the same
/// as a call that ran and whose reply was lost.
#[test]
fn a_call_that_cannot_be_retried_gets_a_fresh_connection() {
    paused(async {
        let (listener, address) = listener().await;
        let mut pool = Pool::new(address);
        for once in [false, true] {
            pool.once = once;
            let _open = pool.call(LONG).await;
            let mut database = Peer::accept(&listener).await;
            database.http().await;
            database.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            assert_eq!(pool.end().await.outcome, Outcome::Done);
            tokio::time::sleep(SETTLED).await;
        }
    });
}

#[test]
fn giving_up_a_call_closes_its_connection() {
    local(async {
        let (listener, address) = listener().await;
        let mut pool = Pool::new(address);
        let give_up = pool.call(LONG).await;
        let mut database = Peer::accept(&listener).await;
        database.http().await;
        drop(give_up);
        assert_eq!(database.line().await, None);
        let _open = pool.call(Duration::from_millis(1)).await;
        assert_eq!(pool.end().await.outcome, Outcome::GivenUp);
    });
}

#[test]
fn a_connection_that_the_database_closed_is_not_reused() {
    local(async {
        let (listener, address) = listener().await;
        let mut pool = Pool::new(address);
        for _ in 0..2 {
            let _open = pool.call(LONG).await;
            let mut database = Peer::accept(&listener).await;
            database.http().await;
            database.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            assert_eq!(pool.end().await.outcome, Outcome::Done);
        }
    });
}

#[test]
fn each_change_is_reported_to_the_directory_and_repeated_after_an_outage() {
    paused(async {
        let (listener, address) = listener().await;
        let (mode, seen) = watch::channel(None);
        let (moves, peers) = watch::channel(all_at(address));
        spawn_local(async move { report(peers, "n3", seen).await });
        mode.send_replace(Some(Mode::Open));
        let mut directory = Peer::accept(&listener).await;
        let text = directory.http().await;
        assert!(text.starts_with("PUT /dir/nodes/n3 HTTP/1.1\r\n") && text.ends_with(r#"{"mode":"open"}"#));
        directory.send("HTTP/1.1 204 No Content\r\n\r\n").await;
        // Lets the answer be read: a change before that is reported on another connection.
        tokio::time::sleep(SETTLED).await;
        mode.send_replace(Some(Mode::Closed));
        assert!(directory.http().await.ends_with(r#"{"mode":"closed"}"#));
        // The directory closes the connection; the report is repeated when it is back.
        drop(directory);
        let mut directory = Peer::accept(&listener).await;
        assert!(directory.http().await.ends_with(r#"{"mode":"closed"}"#));
        directory.send("HTTP/1.1 204 No Content\r\n\r\n").await;
        tokio::time::sleep(SETTLED).await;
        // A report without an answer may have been applied; the next one follows soon on another connection.
        directory.http().await;
        let mut directory = Peer::accept(&listener).await;
        directory.http().await;
        // After a move, the new directory gets a report at once and the old one gets no more.
        let (elsewhere, address) = common::listener().await;
        moves.send_replace(all_at(address));
        assert!(Peer::accept(&elsewhere).await.http().await.ends_with(r#"{"mode":"closed"}"#));
        assert_eq!(directory.line().await, None);
    });
}

/// A directory may apply a report late, after a newer one. A change is therefore reported without waiting for
/// the answer to the previous report, and repeated before the entry expires.
#[test]
fn a_change_is_reported_while_an_earlier_report_is_unanswered() {
    paused(async {
        let (listener, address) = listener().await;
        let (mode, seen) = watch::channel(Some(Mode::Open));
        let (_moves, peers) = watch::channel(all_at(address));
        spawn_local(async move { report(peers, "n3", seen).await });
        let mut open = Peer::accept(&listener).await;
        assert!(open.http().await.ends_with(r#"{"mode":"open"}"#));
        let closes = Instant::now();
        mode.send_replace(Some(Mode::Closed));
        let mut newer = Peer::accept(&listener).await;
        assert!(newer.http().await.ends_with(r#"{"mode":"closed"}"#));
        assert!(
            closes.elapsed() < Duration::from_millis(200),
            "the answer to the older report was waited for"
        );
        assert_eq!(open.line().await, None);
        // The directory applies the older report only now; the newer one is repeated.
        newer.send("HTTP/1.1 204 No Content\r\n\r\n").await;
        assert!(newer.http().await.ends_with(r#"{"mode":"closed"}"#));
        assert!(closes.elapsed() < Duration::from_secs(1));
    });
}

#[test]
fn in_flight_calls_finish_at_the_old_address_and_later_ones_go_to_the_new() {
    local(async {
        let (listener, address) = listener().await;
        let (elsewhere, new_address) = common::listener().await;
        let mut pool = Pool::new(address);
        let _open = pool.call(LONG).await;
        let mut old = Peer::accept(&listener).await;
        old.http().await;
        pool.moves.send_replace(all_at(new_address));
        old.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows").await;
        assert_eq!(pool.end().await.body, b"rows");
        assert_eq!(old.line().await, None);
        let _open = pool.call(LONG).await;
        let mut new = Peer::accept(&elsewhere).await;
        new.http().await;
        // A connection that was idle when the database moved is not reused either.
        new.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(pool.end().await.outcome, Outcome::Done);
        pool.moves.send_replace(all_at(address));
        assert_eq!(new.line().await, None);
    });
}

#[test]
fn configuration_errors_name_the_key() {
    let good = config_text("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4");
    let none = |_: &str| None;
    let read = config::read(&good, none).unwrap();
    assert_eq!((read.name.as_str(), read.stop), ("n3", Duration::from_millis(3200)));
    let environment = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.9:9".to_string());
    assert_eq!(config::read(&good, environment).unwrap().listen.to_string(), "127.0.0.9:9");
    // Keys that a running nodo cannot apply are named too.
    let moved = good
        .replace("127.0.0.1:3", "127.0.0.1:9")
        .replace("3200", "3300")
        .replace(r#""worth":3"#, r#""worth":4"#);
    let moved = config::read(&moved, none).unwrap();
    assert_eq!(moved.peers.directory.port(), 9);
    assert_eq!(read.kept_keys(&moved), ["stop_ms"]);
    let cases = [
        (r#""vm":"127.0.0.1:2","#, "", "vm is missing"),
        (r#""db":"127.0.0.1:4""#, r#""db":"nowhere""#, "db must be an IP address with a port"),
        (r#""lookup":"127.0.0.1:3""#, r#""lookup":7"#, "lookup must be a text"),
        (r#""name":"n3""#, r#""name":"n/3""#, "name must hold"),
        ("3200", "-1", "stop_ms must be at least 0"),
        (r#""sockets":1024"#, r#""sockets":9"#, "limits.sockets must be at least 128"),
        (r#""memory_mb":192"#, r#""memory_mb":"much""#, "limits.memory_mb must be a number"),
        (r#""nCores":2"#, r#""nCores":0"#, "settings.domain.nCores must be at least 1"),
        (r#""heapKb":10000"#, r#""heapKb":"big""#, "settings.domain.heapKb must be a number"),
        (r#""settings""#, r#""setting""#, "settings is missing"),
        (r#"{"name""#, r#"["name""#, "NODE_CONFIG names a file that is not JSON"),
    ];
    for (from, to, expected) in cases {
        let problem = config::read(&good.replacen(from, to, 1), none).unwrap_err().to_string();
        assert!(problem.contains(expected), "{problem:?} should contain {expected:?}");
    }
    assert_eq!(config::load(none).unwrap_err().to_string(), "NODE_CONFIG is not set");
}
