//! Operators' commands to a nodo on loopback.

mod common;

use common::*;
use jaspershunt_node::config::CALLERS;
use jaspershunt_node::fastcgi::records::{kind, put_pair, put_record};
use tokio::net::TcpStream;

fn health_check(id: u16) -> Vec<u8> {
    let (mut out, mut params) = (Vec::new(), Vec::new());
    put_pair(&mut params, b"SCRIPT_NAME", b"/healthz");
    put_record(&mut out, kind::BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    put_record(&mut out, kind::PARAMS, id, &params);
    put_record(&mut out, kind::PARAMS, id, b"");
    put_record(&mut out, kind::STDIN, id, b"");
    out
}

async fn is_healthy(nodo: &Nodo) -> bool {
    let mut peer = nodo.connect().await;
    peer.send(health_check(1)).await;
    peer.answer().await.unwrap().1.contains("Status: 200")
}

/// PING succeeds only once the nodo listens and its interpreter is up.
#[test]
fn ping_succeeds_once_requests_can_run() {
    local(async {
        let (mut nodo, _lookup) = Nodo::start_early().await;
        let early = nodo.call("PING").await;
        assert!(early.starts_with("-ERR") && early.contains("interpreter"), "{early}");
        catch_up(&mut nodo.link, 0, "").await;
        while !nodo.call("PING").await.starts_with("+OK") {}
        assert_eq!(nodo.call("PING").await.lines().count(), 1);
        let unknown = nodo.call("SHUTDOWN").await;
        assert!(unknown.starts_with("-ERR") && unknown.contains("LAMEDUCK"), "{unknown}");
    });
}

/// Connections that send nothing or half a command block neither a complete command nor balancers.
#[test]
fn silent_connections_do_not_block_a_command() {
    local(async {
        let nodo = Nodo::start().await;
        let mut silent = Vec::new();
        for n in 0..3 * CALLERS {
            let mut caller = Peer::new(TcpStream::connect(nodo.admin).await.unwrap());
            if n % 2 == 0 {
                caller.send("LAMED").await;
            }
            silent.push(caller);
        }
        assert!(nodo.call("PING").await.starts_with("+OK"));
        assert!(is_healthy(&nodo).await, "half a command has no effect");
        // The oldest connections were closed to make room.
        assert_eq!(silent[0].line().await, None);
    });
}

/// The figures match what the balancers and the interpreter saw: answered, failed, refused and aborted, by
/// class.
#[test]
fn figures_count_each_request_by_how_it_ends() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut peer = nodo.connect().await;
        for id in 1..=2 {
            peer.send(request(id, u64::from(id), "read", &[], b"x")).await;
            assert_eq!(nodo.applied().await, format!("{id:016x}"));
        }
        assert!(nodo.call("INFO").await.contains(r#""current":2"#));
        let (one, two) = (format!("{:016x}", 1), format!("{:016x}", 2));
        nodo.link.send(value(1, &one, "OK", "eA==")).await;
        peer.answer().await.unwrap();
        nodo.link.send(value(2, &two, "ERROR", "")).await;
        peer.answer().await.unwrap();
        // A request whose id is already in use, and one that is aborted.
        peer.send(request(3, 3, "read", &[], b"x")).await;
        nodo.applied().await;
        peer.send(request(4, 3, "sign", &[("HTTP_X_OPERATION_KEY", "k")], b"x")).await;
        assert!(peer.answer().await.unwrap().1.contains("Status: 400"));
        let mut abort = Vec::new();
        put_record(&mut abort, kind::ABORT_REQUEST, 3, b"");
        peer.send(abort).await;
        peer.answer().await.unwrap();
        let info = nodo.call("INFO").await;
        let lines: Vec<&str> = info.lines().collect();
        assert!(lines[0].starts_with('{') && lines[1..] == ["."], "{info}");
        let read = r#""read":{"taken":3,"answered":1,"deferred":0,"errored":2,"left":1,"sends":3}"#;
        let sign = r#""sign":{"taken":1,"answered":0,"deferred":0,"errored":1,"left":0,"sends":0}"#;
        assert!(info.contains(read) && info.contains(sign), "{info}");
        assert!(info.contains(r#""current":0,"sends":3,"conf_loaded":0,"conf_invalid":0"#), "{info}");
        assert!(nodo.desk.counts.borrow().is_consistent());
    });
}

/// LAMEDUCK fails health checks and closes the directory entry at once; requests that still arrive are
/// served.
#[test]
fn lameduck_turns_clients_away_and_rejoin_accepts_them_again() {
    local(async {
        let mut nodo = Nodo::start().await;
        for _ in 0..2 {
            assert!(nodo.call("LAMEDUCK").await.starts_with("+OK"));
            assert!(!is_healthy(&nodo).await);
        }
        assert!(nodo.report().await.ends_with(r#"{"mode":"closed"}"#));
        let mut peer = nodo.connect().await;
        peer.send(request(1, 1, "read", &[], b"x")).await;
        let uid = nodo.applied().await;
        nodo.link.send(value(1, &uid, "OK", "eA==")).await;
        assert!(peer.answer().await.unwrap().1.contains("Status: 200"));
        assert!(nodo.call("PING").await.starts_with("+OK"), "it still serves clients that connect");
        for _ in 0..2 {
            assert!(nodo.call("REJOIN").await.starts_with("+OK"));
            assert!(is_healthy(&nodo).await);
        }
        while !nodo.report().await.ends_with(r#"{"mode":"open"}"#) {}
        // A shutdown takes precedence over operators' commands.
        nodo.leave.take().unwrap().send(()).unwrap();
        nodo.call("REJOIN").await;
        assert!(!is_healthy(&nodo).await);
    });
}

fn changed_config(nodo: &Nodo, change: impl Fn(&str) -> String) -> String {
    let at = |listener: &tokio::net::TcpListener| listener.local_addr().unwrap().to_string();
    let lookup = nodo.directory_at.to_string();
    let text = config_text(&nodo.address.to_string(), &at(&nodo.interpreter), &lookup, &at(&nodo.database));
    change(&text)
}

/// An invalid file is rejected as a whole with one line that names the key; the next valid one is applied.
#[test]
fn invalid_files_change_nothing_and_a_valid_one_after_them_is_applied() {
    local(async {
        let nodo = Nodo::start().await;
        let without =
            |key: &'static str| move |text: &str| text.replacen(&format!("\"{key}\":"), "\"x\":", 1);
        let deadline = |value: &'static str| move |text: &str| text.replacen("\"deadlineS\":40", value, 1);
        let cut = |part: usize| move |text: &str| text[..text.len() * part / 10].to_string();
        let mut bad: Vec<(String, &str)> =
            (0..10).map(|part| (changed_config(&nodo, cut(part)), "NODE_CONFIG")).collect();
        for key in
            ["name", "listen", "vm", "lookup", "db", "seed", "stop_ms", "limits", "memory_mb", "settings"]
        {
            bad.push((changed_config(&nodo, without(key)), key));
        }
        for key in [
            "classes",
            "targetS",
            "deadlineS",
            "semantics",
            "windowS",
            "worth",
            "domain",
            "nCores",
            "orgs",
            "servers",
        ] {
            bad.push((changed_config(&nodo, without(key)), key));
        }
        for value in [
            "\"deadlineS\":0",
            "\"deadlineS\":-1",
            "\"deadlineS\":\"40\"",
            "\"deadlineS\":null",
            "\"deadlineS\":1e999",
        ] {
            bad.push((changed_config(&nodo, deadline(value)), "deadline"));
        }
        let mut running = nodo.config.clone();
        let facts = running.facts();
        let count = bad.len();
        for (n, (text, key)) in bad.into_iter().enumerate() {
            let read = jaspershunt_node::config::read(&text, |_| None);
            let error = match &read {
                Err(e) => e.to_string(),
                Ok(new) => running.followed_by(new).expect_err(&text).to_string(),
            };
            assert!(error.contains(key), "{key}: {error}");
            nodo.reload(&mut running, read).await;
            assert!(
                nodo.call("INFO").await.contains(&format!(r#""conf_loaded":0,"conf_invalid":{}}}"#, n + 1))
            );
        }
        assert_eq!(running.facts(), facts);
        let good = changed_config(&nodo, |text| text.replacen("\"deadlineS\":40", "\"deadlineS\":30", 1));
        nodo.reload(&mut running, jaspershunt_node::config::read(&good, |_| None)).await;
        assert!(nodo.call("INFO").await.contains(&format!(r#""conf_loaded":1,"conf_invalid":{count}}}"#)));
        assert_eq!(running.facts().settings.classes[0].deadline, 30.0);
    });
}

/// A reload removes one class and adds another while requests are open. Open requests finish under the old
/// settings, new requests of the removed class are rejected, those of the new class run, and a repeat is
/// answered by the run of its key.
#[test]
fn classes_are_removed_and_added_while_their_requests_are_open() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut running = nodo.config.clone();
        let mut peer = nodo.connect().await;
        let key = [("HTTP_X_OPERATION_KEY", "k")];
        peer.send(request(1, 1, "sign", &key, b"x")).await;
        peer.send(request(2, 2, "read", &[], b"y")).await;
        for uid in [1, 2] {
            assert_eq!(nodo.applied().await, format!("{uid:016x}"));
        }
        let renamed = changed_config(&nodo, |text| {
            text.replace("\"read\"", "\"look\"").replace("\"windowS\":60", "\"windowS\":50")
        });
        nodo.reload(&mut running, jaspershunt_node::config::read(&renamed, |_| None)).await;
        peer.send(request(3, 3, "read", &[], b"z")).await;
        assert!(peer.answer().await.unwrap().1.contains("Status: 400"));
        // Both cores are busy: the request is queued until one is free.
        peer.send(request(4, 4, "look", &[], b"z")).await;
        nodo.link.send(value(1, &format!("{:016x}", 2), "OK", "eQ==")).await;
        let command = nodo.command().await;
        assert!(command.contains(r#""lane":"look""#), "{command}");
        // The window of its class has changed, but it is still the same request.
        peer.send(request(5, 5, "sign", &[key[0], ("HTTP_X_RESENT", "1")], b"x")).await;
        for (pos, uid, content) in [(2, 4, "eg=="), (3, 1, "eA==")] {
            nodo.link.send(value(pos, &format!("{uid:016x}"), "OK", content)).await;
        }
        let mut served = Vec::new();
        for _ in 0..4 {
            let (id, text, _) = peer.answer().await.unwrap();
            assert!(text.contains("Status: 200"), "{text}");
            served.push((id, text.rsplit("\r\n").next().unwrap().to_string()));
        }
        served.sort();
        let expected = [(1, "x"), (2, "y"), (4, "z"), (5, "x")].map(|(id, body)| (id, body.to_string()));
        assert_eq!(served, expected);
        let info = nodo.call("INFO").await;
        for class in ["read", "sign", "look"] {
            assert!(info.contains(&format!("\"{class}\":{{")), "{info}");
        }
        assert!(nodo.desk.counts.borrow().is_consistent());
    });
}
