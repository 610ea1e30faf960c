//! The whole nodo on loopback sockets.

mod common;
use common::*;
use jaspershunt_node::config;
use jaspershunt_node::engine::IdlePolicy;
use jaspershunt_node::engine::input::Input;
use jaspershunt_node::fastcgi::connections::{Connections, PassedState, accept};
use jaspershunt_node::fastcgi::records::{kind, put_record};
use jaspershunt_node::request::{Answer, Reply, ReplyTo};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

#[test]
fn a_request_is_run_its_call_is_made_and_its_result_comes_back_unchanged() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        balancer.send(request(1, 0xab, "read", &[], b"what?")).await;
        let apply = nodo.command().await;
        let expected_fields =
            [("action", "APPLY"), ("uid", "00000000000000ab"), ("lane", "read"), ("content", "d2hhdD8=")];
        for (name, expected) in expected_fields {
            assert_eq!(field(&apply, name), expected);
        }
        let wait = r#"{"action":"AWAIT","pos":1,"uid":"00000000000000ab","content":"cXVlcnk="}"#;
        nodo.link.send(format!("{wait}\n")).await;
        let mut call = Peer::accept(&nodo.database).await;
        let asked = call.http().await;
        assert!(
            asked.starts_with("POST /v1/exec HTTP/1.1\r\n") && asked.ends_with("\r\n\r\nquery"),
            "{asked}"
        );
        assert!(asked.contains("\r\nRequest-Ref: 00000000000000ab\r\n"), "{asked}");
        call.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows").await;
        let resolve = nodo.command().await;
        assert_eq!([field(&resolve, "action"), field(&resolve, "content")], ["RESOLVE", "cm93cw=="]);
        nodo.link.send(value(2, "00000000000000ab", "OK", "ZG9uZQ==")).await;
        let (id, answer, status) = balancer.answer().await.unwrap();
        assert!(answer.starts_with("Status: 200 OK\r\n") && answer.ends_with("\r\n\r\ndone"), "{answer}");
        assert!(answer.contains("\r\nX-Backend-Says: "), "{answer}");
        assert_eq!((id, status), (1, 0));
    });
}

#[test]
fn a_bad_request_gets_400_and_the_connection_lives() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        let cases = [
            request(1, 1, "sing", &[], b""),
            request(1, 1, "read", &[("HTTP_X_NEED_KB", "lots")], b""),
            request(1, 1, "read", &[("HTTP_X_CRITICALITY", "NaN")], b""),
            request(1, 1, "read", &[("HTTP_X_CORRELATION_ID", "7")], b""),
            request(1, 1, "read", &[("REQUEST_METHOD", "GET")], b""),
            request(1, 1, "read", &[("HTTP_X_ARRIVED_MS", "-5")], b""),
            request(1, 1, "read", &[("HTTP_X_DEADLINE_MS", "soon")], b""),
            request(1, 1, "read", &[("HTTP_X_DEADLINE_MS", "-1")], b""),
            request(1, 1, "sign", &[], b"without a key"),
            request(1, 1, "read", &[("HTTP_X_ORG", "acne")], b""),
            request(1, 1, "read", &[("HTTP_X_ESTIMATE_MS", "1e9")], b""),
            request(1, 1, "read", &[("LONG", &"x".repeat(9000))], b""),
            request(1, 1, "read", &[], &[7; 2049]),
        ];
        for case in cases {
            balancer.send(case).await;
            let (_, answer, _) = balancer.answer().await.unwrap();
            assert!(answer.starts_with("Status: 400 "), "{answer}");
        }
        balancer.send(request(1, 1, "read", &[], &[7; 2048])).await;
        assert_eq!(nodo.applied().await, "0000000000000001");
        // A second request with the id of one that is in flight is invalid, too.
        balancer.send(request(2, 1, "read", &[], b"")).await;
        assert!(balancer.answer().await.unwrap().1.starts_with("Status: 400 "));
    });
}

#[test]
fn invalid_framing_closes_only_that_connection() {
    local(async {
        let mut nodo = Nodo::start().await;
        let (mut one, mut other) = (nodo.connect().await, nodo.connect().await);
        one.send(b"GET / HTTP/1.1\r\n\r\n").await;
        assert_eq!(one.record().await, None);
        other.send(request(9, 5, "read", &[], b"")).await;
        let uid = nodo.applied().await;
        nodo.link.send(value(1, &uid, "ERROR", "")).await;
        assert!(other.answer().await.unwrap().1.starts_with("Status: 500 "));
    });
}

#[test]
fn a_half_close_by_the_balancer_is_no_abort_and_a_reset_is() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        balancer.send(request(1, 5, "read", &[], b"")).await;
        tokio::io::AsyncWriteExt::shutdown(&mut balancer.stream).await.unwrap();
        let uid = nodo.applied().await;
        nodo.link.send(value(1, &uid, "OK", "")).await;
        assert!(balancer.answer().await.unwrap().1.starts_with("Status: 200 "));
        assert_eq!(balancer.record().await, None);
        let mut balancer = nodo.connect().await;
        balancer.send(request(1, 6, "read", &[], b"")).await;
        nodo.applied().await;
        balancer.stream.set_zero_linger().unwrap();
        drop(balancer);
        let stop = nodo.command().await;
        assert_eq!([field(&stop, "action"), field(&stop, "uid")], ["BREAK", "0000000000000006"]);
    });
}

/// Otherwise the connection and its descriptor would stay open for ever.
#[test]
fn a_truncated_request_does_not_keep_its_connection_open() {
    local(async {
        let mut nodo = Nodo::start().await;
        let whole = request(1, 1, "read", &[], b"");
        let mut balancer = nodo.connect().await;
        balancer.send([&whole[..], &request(2, 2, "read", &[], b"cut")[..40]].concat()).await;
        tokio::io::AsyncWriteExt::shutdown(&mut balancer.stream).await.unwrap();
        let uid = nodo.applied().await;
        nodo.link.send(value(1, &uid, "OK", "")).await;
        assert!(balancer.answer().await.unwrap().1.starts_with("Status: 200 "));
        assert_eq!(balancer.record().await, None);
    });
}

#[test]
fn a_keyed_request_runs_once_and_its_tries_share_the_result() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        let key = [("HTTP_X_OPERATION_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")];
        let try_of = |id: u16| request(id, u64::from(id), "sign", &key, b"sign");
        balancer.send(try_of(1)).await;
        let uid = nodo.applied().await;
        balancer.send(try_of(2)).await;
        // A later request shows that the second try was read and not run.
        balancer.send(request(9, 9, "read", &[], b"")).await;
        assert_eq!(nodo.applied().await, "0000000000000009");
        nodo.link.send(value(1, &uid, "OK", "c2lnbmVk")).await;
        for _ in 0..2 {
            let (_, answer, _) = balancer.answer().await.unwrap();
            assert!(answer.starts_with("Status: 200 ") && answer.ends_with("\r\n\r\nsigned"), "{answer}");
        }
        balancer.send(try_of(3)).await;
        assert!(balancer.answer().await.unwrap().1.ends_with("\r\n\r\nsigned"));
    });
}

/// SIGHUP reloads the configuration: an invalid file changes nothing, and a valid one moves the link and
/// resends what was not confirmed on the old one.
#[test]
fn sighup_applies_a_valid_file_and_keeps_running_on_an_invalid_one() {
    local(async {
        let (here, vm) = listener().await;
        let (elsewhere, new_vm) = listener().await;
        let (directory, lookup) = listener().await;
        let text = |vm: SocketAddr| {
            config_text("127.0.0.1:0", &vm.to_string(), &lookup.to_string(), &lookup.to_string())
        };
        let path =
            std::env::temp_dir().join(format!("jaspershunt-{}-{}.json", std::process::id(), vm.port()));
        std::fs::write(&path, text(vm)).unwrap();
        let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_jaspershunt"))
            .env("NODE_CONFIG", &path)
            .stderr(std::process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(program.stderr.take().unwrap()).lines();
        let mut wait_for_line =
            |what: &str| lines.by_ref().map(Result::unwrap).find(|line| line.contains(what)).unwrap();
        let send_sighup = || {
            let sent = std::process::Command::new("kill").args(["-HUP", &program.id().to_string()]).status();
            assert!(sent.unwrap().success());
        };
        let mut link = Peer::accept(&here).await;
        catch_up(&mut link, 0, &value(1, "00000000000000ff", "OK", "")).await;
        // Reported once the interpreter is ready.
        assert!(Peer::accept(&directory).await.http().await.ends_with(r#"{"mode":"open"}"#));
        std::fs::write(&path, text(new_vm).replace(r#""db""#, r#""database""#)).unwrap();
        send_sighup();
        let file = path.display();
        wait_for_line(&format!("configuration: {file}: db is missing; the one before stays in force"));
        // Messages name the key as written in the file, not as in the module. One fault shows only beside the
        // settings in force.
        std::fs::write(&path, text(new_vm).replacen(r#""deadlineS":40"#, r#""deadlineS":0"#, 1)).unwrap();
        send_sighup();
        wait_for_line(&format!(
            "configuration: {file}: settings.classes[0].deadlineS must be above 0; the one before stays"
        ));
        std::fs::write(&path, text(new_vm).replace(r#""name":"sign""#, r#""name":"read""#)).unwrap();
        send_sighup();
        wait_for_line(&format!(
            "configuration: {file}: settings.classes[1].name is that of another class; the one before"
        ));
        std::fs::write(&path, text(new_vm).replace("3200", "3300")).unwrap();
        send_sighup();
        wait_for_line("new addresses are in use; ignored until a restart: stop_ms");
        let mut link = Peer::accept(&elsewhere).await;
        catch_up(&mut link, 1, "").await;
        std::fs::remove_file(&path).unwrap();
        program.kill().unwrap();
        program.wait().unwrap();
    });
}

/// The interpreter may become ready long after the nodo and rejects everything before. If commands waited for
/// an answer to an early question, they would never be sent.
#[test]
fn only_the_greeting_is_sent_before_the_interpreter_is_ready() {
    local(async {
        let (mut nodo, _lookup) = Nodo::start_early().await;
        let mut balancer = nodo.connect().await;
        balancer.send(request(1, 1, "read", &[("SCRIPT_NAME", "/healthz")], b"")).await;
        assert!(balancer.answer().await.unwrap().1.starts_with("Status: 200 "));
        balancer.send(request(2, 2, "read", &[], b"")).await;
        assert!(balancer.answer().await.unwrap().1.starts_with("Status: 503 "));
        assert!(nodo.link.line().await.unwrap().contains(r#""CONNECT""#));
        assert!(nodo.link.is_silent());
        nodo.link.send("{\"action\":\"BANNER\",\"code\":\"COLD\",\"wall_ms\":0}\n").await;
        assert!(nodo.link.line().await.unwrap().contains(r#""TOP""#));
        nodo.link.send("{\"action\":\"ERROR\",\"code\":\"TOP\",\"uid\":\"0-0\"}\n").await;
        balancer.send(request(3, 3, "read", &[], b"")).await;
        assert_eq!(nodo.applied().await, "0000000000000003");
    });
}

#[test]
fn a_new_link_replays_missed_notices_and_resends_unconfirmed_commands() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        balancer.send([request(1, 1, "read", &[], b""), request(2, 2, "read", &[], b"")].concat()).await;
        let (first, second) = (nodo.applied().await, nodo.applied().await);
        nodo.link.send(value(1, "ffffffffffffffff", "OK", "")).await;
        // The end of the first run is in transit when the link breaks; nothing is known of the second run.
        nodo.link = Peer::accept_after_break(nodo.link, &nodo.interpreter).await;
        let missed = [value(1, &second, "OK", "bm8="), value(2, &first, "OK", "eWVz")].concat();
        catch_up(&mut nodo.link, 1, &missed).await;
        let (id, answer, _) = balancer.answer().await.unwrap();
        assert!(
            id == 1 && answer.ends_with("\r\n\r\nyes"),
            "a notice that was read already is skipped: {answer}"
        );
        assert_eq!(nodo.applied().await, second);
    });
}

#[test]
fn a_draining_nodo_reports_closed_answers_all_requests_and_exits() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        balancer.send(request(1, 1, "read", &[], b"")).await;
        let uid = nodo.applied().await;
        nodo.leave.take().unwrap().send(()).unwrap();
        assert!(nodo.report().await.ends_with(r#"{"mode":"closed"}"#));
        // The grace of these settings is zero.
        balancer.send(request(2, 2, "read", &[], b"")).await;
        let (id, answer, _) = balancer.answer().await.unwrap();
        assert!(id == 2 && answer.starts_with("Status: 503 "), "{answer}");
        assert!(answer.contains("\r\nX-Pushback-Ms: 1000\r\n"), "{answer}");
        nodo.link.send(value(1, &uid, "OK", "eWVz")).await;
        assert!(balancer.answer().await.unwrap().1.ends_with("\r\n\r\nyes"));
        nodo.done.await.unwrap();
        assert_eq!(balancer.record().await, None);
        assert!(TcpStream::connect(nodo.address).await.is_err());
    });
}

/// The connection code alone, with the test as its engine.
struct ConnectionServer {
    front: Rc<Connections>,
    address: SocketAddr,
    inputs: mpsc::Receiver<Input>,
    _idle: watch::Sender<IdlePolicy>,
}

impl ConnectionServer {
    async fn start(sockets: &str) -> ConnectionServer {
        let (socket, address) = listener().await;
        let at = address.to_string();
        let text = config_text(&at, &at, &at, &at).replace(r#""sockets":1024"#, sockets);
        let (engine, inputs) = mpsc::channel(99);
        let (_idle, idle) = watch::channel(IdlePolicy::default());
        let config = config::read(&text, |_| None).unwrap();
        let facts = watch::channel(Rc::new(config.facts())).1;
        let front = Rc::new(Connections::new(&config, engine, idle, facts, Rc::default()));
        spawn_local(accept(Rc::new(socket), front.clone(), std::future::pending()));
        ConnectionServer { front, address, inputs, _idle }
    }

    async fn connect(&self) -> Peer {
        let peer = Peer::new(TcpStream::connect(self.address).await.unwrap());
        // Lets the server accept the connection.
        tokio::time::sleep(Duration::from_millis(5)).await;
        peer
    }

    async fn reply_to(&mut self) -> ReplyTo {
        match self.inputs.recv().await {
            Some(Input::Work { reply, .. } | Input::Check { reply }) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Sends a request on the connection and answers it.
    async fn send_and_answer(&mut self, peer: &mut Peer) {
        peer.send(request(9, 9, "read", &[], b"")).await;
        self.reply_to().await.send(Reply::new(Answer::Failed, None));
        assert!(peer.answer().await.unwrap().1.starts_with("Status: 500 "));
    }
}

/// Connections that bring no whole request are closed within 3 s, whatever part of one they send.
#[test]
fn connections_without_a_whole_request_are_closed_in_time() {
    paused(async {
        let server = ConnectionServer::start(r#""sockets":1024"#).await;
        let whole = request(1, 1, "read", &[], b"cut");
        for sent in [&b""[..], &whole[..40], &whole[..whole.len() - 1], &request(1, 1, "sing", &[], b"")] {
            let began = Instant::now();
            let mut peer = server.connect().await;
            peer.send(sent).await;
            while timeout(Duration::from_secs(600), peer.record())
                .await
                .expect("the connection stays open")
                .is_some()
            {}
            assert!((1..3).contains(&began.elapsed().as_secs()));
        }
        // Sending one byte at a time makes no difference.
        let (began, mut peer) = (Instant::now(), server.connect().await);
        // Without Nagle's algorithm, whose delays don't follow the test's clock.
        peer.stream.set_nodelay(true).unwrap();
        for byte in whole.iter().cycle() {
            if peer.stream.write_all(&[*byte]).await.is_err() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let took = began.elapsed();
        assert!((1..4).contains(&took.as_secs()), "{took:?}");
        assert_eq!(server.front.open.get(), 0);
    });
}

/// Length of the record that ends a body.
const EMPTY_RECORD_BYTES: usize = 8;

#[test]
fn used_connections_stay_open_and_pending_answers_are_delivered() {
    paused(async {
        let mut server = ConnectionServer::start(r#""sockets":1024"#).await;
        let mut peer = server.connect().await;
        server.send_and_answer(&mut peer).await;
        assert!(
            timeout(Duration::from_secs(100), peer.record()).await.is_err(),
            "an idle connection was closed"
        );
        // A partial request or an invalid record follows a whole request, which is still answered. The partial
        // request, of a class without keys, is refused as never run once it times out.
        let never_ran = Some((kind::END_REQUEST, 2, vec![0, 0, 0, 0, 2, 0, 0, 0]));
        let mut partial = request(2, 2, "read", &[], b"");
        partial.truncate(partial.len() - EMPTY_RECORD_BYTES);
        for (rest, refusal) in [(partial, never_ran), (b"GET / HTTP/1.1\r\n".to_vec(), None)] {
            let mut peer = server.connect().await;
            peer.send([request(1, 1, "read", &[], b""), rest].concat()).await;
            let reply_to = server.reply_to().await;
            tokio::time::sleep(Duration::from_secs(30)).await;
            reply_to.send(Reply::new(Answer::Failed, None));
            assert!(peer.answer().await.unwrap().1.starts_with("Status: 500 "));
            if refusal.is_some() {
                assert_eq!(peer.record().await, refusal);
            }
            assert_eq!(peer.record().await, None);
        }
    });
}

/// Guards against small answers that the system delays until earlier ones are acknowledged: a close could
/// discard them.
#[test]
fn small_answers_are_sent_without_nagle_delay() {
    paused(async {
        let server = ConnectionServer::start(r#""sockets":1024"#).await;
        let (listener, address) = listener().await;
        let balancer = TcpStream::connect(address).await.unwrap();
        let (stream, peer) = listener.accept().await.unwrap();
        let stream = stream.into_std().unwrap();
        let same = stream.try_clone().unwrap();
        assert!(!same.nodelay().unwrap());
        let ended = server.front.ended.notified();
        server.front.adopt(TcpStream::from_std(stream).unwrap(), peer, PassedState::default());
        drop(balancer);
        ended.await;
        assert!(same.nodelay().unwrap());
    });
}

/// Closing with unread bytes resets the connection, which would discard the refusal.
#[test]
fn an_oversized_body_is_refused_early_and_drained_for_a_limited_time() {
    paused(async {
        let mut server = ConnectionServer::start(r#""sockets":1024"#).await;
        let mut peer = server.connect().await;
        let mut stdin = Vec::new();
        put_record(&mut stdin, kind::STDIN, 1, &[7; 60_000]);
        let mut unfinished = request(1, 1, "read", &[], b"");
        unfinished.truncate(unfinished.len() - 8);
        peer.send(&unfinished).await;
        peer.send(&stdin).await;
        assert!(peer.answer().await.unwrap().1.starts_with("Status: 400 "));
        // The connection stays usable if the body ends.
        peer.send(&stdin).await;
        server.send_and_answer(&mut peer).await;
        peer.send(&unfinished).await;
        let (mut from, mut to) = peer.stream.split();
        let all = async { while to.write_all(&stdin).await.is_ok() {} };
        let mut answer = Vec::new();
        let (read, ()) = tokio::join!(from.read_to_end(&mut answer), all);
        assert!(String::from_utf8_lossy(&answer).contains("Status: 400 "), "{read:?}");
        assert_eq!(server.front.open.get(), 0);
    });
}

/// Guards against peers that open hundreds of connections and exhaust the descriptors.
#[test]
fn the_least_used_connection_is_evicted_at_the_connection_limit() {
    paused(async {
        let mut server = ConnectionServer::start(r#""sockets":128"#).await;
        let most = server.front.max_connections;
        let (mut idle, mut waiting) = (server.connect().await, server.connect().await);
        server.send_and_answer(&mut idle).await;
        waiting.send(request(1, 1, "read", &[], b"")).await;
        let reply_to = server.reply_to().await;
        let mut silent = Vec::new();
        // One slot is always kept free.
        while server.front.open.get() < most - 1 {
            silent.push(server.connect().await);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut late = server.connect().await;
        server.send_and_answer(&mut late).await;
        assert_eq!(silent.remove(0).record().await, None, "the oldest unused connection is evicted first");
        assert_eq!(server.front.open.get(), most - 1);
        // Otherwise the connection that has been idle for longest is evicted, and never one that waits for an
        // answer.
        for peer in &mut silent {
            server.send_and_answer(peer).await;
        }
        server.connect().await;
        assert_eq!(idle.record().await, None);
        reply_to.send(Reply::new(Answer::Failed, None));
        assert!(waiting.answer().await.is_some());
    });
}
