//! Operators' calls to a nodo on loopback.

mod common;

use common::*;
use jaspershunt_node::admin::CALLERS;
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
        assert!(nodo.desk.counts.borrow().agree());
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
