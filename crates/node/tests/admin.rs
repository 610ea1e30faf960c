//! Operators' calls to a nodo on loopback.

mod common;

use common::*;
use jaspershunt_node::config::CALLERS;
use jaspershunt_node::fastcgi::records::{kind, put_pair, put_record};
use tokio::net::TcpStream;

fn check(id: u16) -> Vec<u8> {
    let (mut out, mut params) = (Vec::new(), Vec::new());
    put_pair(&mut params, b"SCRIPT_NAME", b"/healthz");
    put_record(&mut out, kind::BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    put_record(&mut out, kind::PARAMS, id, &params);
    put_record(&mut out, kind::PARAMS, id, b"");
    put_record(&mut out, kind::STDIN, id, b"");
    out
}

async fn health(nodo: &Nodo) -> bool {
    let mut peer = nodo.connect().await;
    peer.send(check(1)).await;
    peer.answer().await.unwrap().1.contains("Status: 200")
}

/// The process takes clients once it listens and its interpreter is up, and not before.
#[test]
fn ping_says_yes_once_requests_can_run() {
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

/// Callers that send nothing or half a call take no place from one that calls, nor from balancers.
#[test]
fn silent_callers_do_not_crowd_out_a_call() {
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
        assert!(health(&nodo).await, "half a call is none");
        // Those that came first made room.
        assert_eq!(silent[0].line().await, None);
    });
}

/// The figures are what balancers and interpreter saw: served, failed, refused and left, by class.
#[test]
fn figures_count_each_request_where_it_ends() {
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
        // One whose id is here already, and one that is taken back.
        peer.send(request(3, 3, "read", &[], b"x")).await;
        nodo.applied().await;
        peer.send(request(4, 3, "sign", &[("HTTP_X_OPERATION_KEY", "k")], b"x")).await;
        assert!(peer.answer().await.unwrap().1.contains("Status: 400"));
        let mut abort = Vec::new();
        put_record(&mut abort, kind::ABORT_REQUEST, 3, b"");
        peer.send(abort).await;
        peer.answer().await.unwrap();
        let told = nodo.call("INFO").await;
        let lines: Vec<&str> = told.lines().collect();
        assert!(lines[0].starts_with('{') && lines[1..] == ["."], "{told}");
        let read = r#""read":{"taken":3,"answered":1,"deferred":0,"errored":2,"left":1,"sends":3}"#;
        let sign = r#""sign":{"taken":1,"answered":0,"deferred":0,"errored":1,"left":0,"sends":0}"#;
        assert!(told.contains(read) && told.contains(sign), "{told}");
        assert!(told.contains(r#""current":0,"sends":3,"conf_loaded":0,"conf_invalid":0"#), "{told}");
        assert!(nodo.desk.counts.borrow().is_consistent());
    });
}

/// Health is bad and the directory hears of it at once; what still comes is served, and the process lives on.
#[test]
fn lameduck_sends_clients_away_and_rejoin_takes_them_again() {
    local(async {
        let mut nodo = Nodo::start().await;
        for _ in 0..2 {
            assert!(nodo.call("LAMEDUCK").await.starts_with("+OK"));
            assert!(!health(&nodo).await);
        }
        assert!(nodo.report().await.ends_with(r#"{"mode":"closed"}"#));
        let mut peer = nodo.connect().await;
        peer.send(request(1, 1, "read", &[], b"x")).await;
        let uid = nodo.applied().await;
        nodo.link.send(value(1, &uid, "OK", "eA==")).await;
        assert!(peer.answer().await.unwrap().1.contains("Status: 200"));
        assert!(nodo.call("PING").await.starts_with("+OK"), "it still takes clients that come");
        for _ in 0..2 {
            assert!(nodo.call("REJOIN").await.starts_with("+OK"));
            assert!(health(&nodo).await);
        }
        while !nodo.report().await.ends_with(r#"{"mode":"open"}"#) {}
        // A notice to leave goes before what operators say.
        nodo.leave.take().unwrap().send(()).unwrap();
        nodo.call("REJOIN").await;
        assert!(!health(&nodo).await);
    });
}

fn tuned(nodo: &Nodo, change: impl Fn(&str) -> String) -> String {
    let at = |listener: &tokio::net::TcpListener| listener.local_addr().unwrap().to_string();
    let lookup = nodo.directory_at.to_string();
    let text = config_text(&nodo.address.to_string(), &at(&nodo.interpreter), &lookup, &at(&nodo.database));
    change(&text)
}

/// Files that cannot be used are turned down whole, each in one line that names the key; the next good one is taken.
#[test]
fn bad_files_change_nothing_and_a_good_one_after_them_is_taken() {
    local(async {
        let nodo = Nodo::start().await;
        let without =
            |key: &'static str| move |text: &str| text.replacen(&format!("\"{key}\":"), "\"x\":", 1);
        let deadline = |value: &'static str| move |text: &str| text.replacen("\"deadlineS\":40", value, 1);
        let cut = |part: usize| move |text: &str| text[..text.len() * part / 10].to_string();
        let mut bad: Vec<(String, &str)> =
            (0..10).map(|part| (tuned(&nodo, cut(part)), "NODE_CONFIG")).collect();
        for key in
            ["name", "listen", "vm", "lookup", "db", "seed", "stop_ms", "limits", "memory_mb", "settings"]
        {
            bad.push((tuned(&nodo, without(key)), key));
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
            bad.push((tuned(&nodo, without(key)), key));
        }
        for value in [
            "\"deadlineS\":0",
            "\"deadlineS\":-1",
            "\"deadlineS\":\"40\"",
            "\"deadlineS\":null",
            "\"deadlineS\":1e999",
        ] {
            bad.push((tuned(&nodo, deadline(value)), "deadline"));
        }
        let mut running = nodo.config.clone();
        let facts = running.facts();
        let count = bad.len();
        for (n, (text, key)) in bad.into_iter().enumerate() {
            let read = jaspershunt_node::config::read(&text, |_| None);
            let told = match &read {
                Err(e) => e.to_string(),
                Ok(new) => running.followed_by(new).expect_err(&text).to_string(),
            };
            assert!(told.contains(key), "{key}: {told}");
            nodo.reload(&mut running, read).await;
            assert!(
                nodo.call("INFO").await.contains(&format!(r#""conf_loaded":0,"conf_invalid":{}}}"#, n + 1))
            );
        }
        assert_eq!(running.facts(), facts);
        let good = tuned(&nodo, |text| text.replacen("\"deadlineS\":40", "\"deadlineS\":30", 1));
        nodo.reload(&mut running, jaspershunt_node::config::read(&good, |_| None)).await;
        assert!(nodo.call("INFO").await.contains(&format!(r#""conf_loaded":1,"conf_invalid":{count}}}"#)));
        assert_eq!(running.facts().settings.classes[0].deadline, 30.0);
    });
}

/// A class is dropped while its requests are open, and another is added: what is open ends as it came, new requests of the
/// dropped class are not known, those of the new one run, and a key serves its repeat under the name that it had.
#[test]
fn classes_come_and_go_while_their_requests_are_open() {
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
        let renamed = tuned(&nodo, |text| {
            text.replace("\"read\"", "\"look\"").replace("\"windowS\":60", "\"windowS\":50")
        });
        nodo.reload(&mut running, jaspershunt_node::config::read(&renamed, |_| None)).await;
        peer.send(request(3, 3, "read", &[], b"z")).await;
        assert!(peer.answer().await.unwrap().1.contains("Status: 400"));
        // Both cores are taken: it is held until one is free.
        peer.send(request(4, 4, "look", &[], b"z")).await;
        nodo.link.send(value(1, &format!("{:016x}", 2), "OK", "eQ==")).await;
        let command = nodo.command().await;
        assert!(command.contains(r#""lane":"look""#), "{command}");
        // Its window and its class have changed; it is the same request all the same.
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
        let told = nodo.call("INFO").await;
        for class in ["read", "sign", "look"] {
            assert!(told.contains(&format!("\"{class}\":{{")), "{told}");
        }
        assert!(nodo.desk.counts.borrow().is_consistent());
    });
}
