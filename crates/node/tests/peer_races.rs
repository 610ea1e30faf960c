//! Guards against repeated calls and double answers when events at the database and the interpreter race:
//! late or truncated replies, broken links and duplicate notices. See `docs/design/narrow-moments.md`.

mod common;

use common::*;
use jaspershunt_node::fastcgi::records::kind;
use std::time::Duration;
use tokio::time::sleep;

const MS: Duration = Duration::from_millis(1);

/// What the interpreter, the database and the balancer observed of one request.
#[derive(Debug, Default)]
struct Observed {
    resolved: usize,
    stubbed: usize,
    called_again: usize,
    statuses: Vec<String>,
}

/// Acts as the interpreter and the database for a run that waits at notice 1, until its request is answered.
/// Calls and resumed runs succeed, and a run that is to stop does.
async fn finish_run(nodo: &mut Nodo, balancer: &mut Peer, uid: &str) -> Observed {
    let mut observed = Observed::default();
    let mut text = Vec::new();
    let mut calls = Vec::new();
    loop {
        tokio::select! {
            command = nodo.link.command() => {
                observed.resolved += usize::from(command.contains("RESOLVE"));
                observed.stubbed += usize::from(command.contains("STUB"));
                let code = if command.contains("BREAK") { "STOPPED" } else { "OK" };
                nodo.link.send(value(2, uid, code, "ZG9uZQ==")).await;
            }
            accepted = nodo.database.accept() => {
                observed.called_again += 1;
                let mut call = Peer::new(accepted.unwrap().0);
                call.http().await;
                call.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore").await;
                calls.push(call);
            }
            record = balancer.record() => match record.expect("an answer") {
                (kind::STDOUT, _, content) => text.extend(content),
                _ => {
                    observed.statuses.push(String::from_utf8(text).unwrap().lines().next().unwrap().to_string());
                    break;
                }
            }
        }
    }
    // Lets a further call arrive at the listener, and a further answer at the balancer.
    sleep(20 * MS).await;
    tokio::select! {
        biased;
        _ = nodo.database.accept() => observed.called_again += 1,
        // The connection may end when the nodo drains.
        record = balancer.record() => assert!(record.is_none(), "a second answer: {record:?}"),
        () = sleep(MS) => {}
    }
    observed
}

/// Starts a run of the class and reads the call for which it waits.
async fn start_run_with_call(nodo: &mut Nodo, balancer: &mut Peer, class: &str) -> (String, Peer) {
    let key = [("HTTP_X_OPERATION_KEY", "one-key")];
    let more = if class == "sign" { &key[..] } else { &[] };
    balancer.send(request(1, 1, class, more, b"body")).await;
    let uid = nodo.applied().await;
    let wait = format!(r#"{{"action":"AWAIT","pos":1,"uid":"{uid}","content":"cXVlcnk="}}"#);
    nodo.link.send(wait + "\n").await;
    let mut call = Peer::accept(&nodo.database).await;
    call.http().await;
    (uid, call)
}

/// The reply breaks off before, within and after its head. The call may have taken effect: a keyed class must
/// not repeat it, and a run gets at most one result of its call.
#[test]
fn a_call_with_a_truncated_reply_is_not_repeated_for_a_keyed_class() {
    local(async {
        for reply in ["", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nro"] {
            for class in ["sign", "read"] {
                let mut nodo = Nodo::start().await;
                let mut balancer = nodo.connect().await;
                let (uid, mut call) = start_run_with_call(&mut nodo, &mut balancer, class).await;
                call.send(reply).await;
                drop(call);
                let observed = finish_run(&mut nodo, &mut balancer, &uid).await;
                let seen = format!("{class} after {reply:?}: {observed:?}");
                assert!(class == "read" || observed.called_again == 0, "called again: {seen}");
                assert!(observed.resolved + observed.stubbed <= 1, "two results of one call: {seen}");
                assert_eq!(observed.statuses.len(), 1, "{seen}");
            }
        }
    });
}

/// The link breaks during a call, and the reply comes before the next link has caught up.
#[test]
fn a_reply_received_while_the_link_is_down_reaches_the_run_once() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        let (uid, mut call) = start_run_with_call(&mut nodo, &mut balancer, "sign").await;
        nodo.link = Peer::accept_after_break(nodo.link, &nodo.interpreter).await;
        call.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nrows").await;
        // The connection's end shows that the reply was read, and a health check that the engine has it.
        assert_eq!(call.line().await, None);
        balancer.send(request(9, 9, "read", &[("SCRIPT_NAME", "/healthz")], b"")).await;
        assert_eq!(balancer.answer().await.unwrap().0, 9);
        catch_up(&mut nodo.link, 1, "").await;
        let observed = finish_run(&mut nodo, &mut balancer, &uid).await;
        assert_eq!((observed.resolved, observed.stubbed, observed.called_again), (1, 0, 0), "{observed:?}");
        assert!(observed.statuses[0].contains("200"), "{observed:?}");
    });
}

/// Guards against answers made with the reply to another call: a reply is sent again after a break of the link, and
/// its run has come to its next call before the second copy arrives. It may have taken that for the reply to the next
/// call, so its request fails; a run that comes to its next call later goes on.
#[test]
fn a_run_that_may_have_taken_a_resent_reply_for_another_call_fails() {
    local(async {
        for comes_first in [true, false] {
            let mut nodo = Nodo::start().await;
            let mut balancer = nodo.connect().await;
            let (uid, mut call) = start_run_with_call(&mut nodo, &mut balancer, "sign").await;
            call.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows").await;
            assert!(nodo.link.command().await.contains("RESOLVE"));
            nodo.link = Peer::accept_after_break(nodo.link, &nodo.interpreter).await;
            catch_up(&mut nodo.link, 1, "").await;
            assert!(nodo.link.line().await.unwrap().contains("RESOLVE"));
            let gauges = nodo.link.line().await.unwrap();
            assert!(gauges.contains(r#""TOP""#), "nothing separates the calls: {gauges}");
            let next = format!(r#"{{"action":"AWAIT","pos":2,"uid":"{uid}","content":"cXVlcnk="}}"#) + "\n";
            let echo = field(&gauges, "echo");
            let tops = format!(r#"{{"action":"TOPS","echo":"{echo}","meters":[0.5,1]}}"#) + "\n";
            if comes_first {
                nodo.link.send(next + &tops).await;
                assert!(nodo.link.command().await.contains("BREAK"));
                nodo.link.send(value(3, &uid, "OK", "d3Jvbmc=")).await;
            } else {
                nodo.link.send(tops + &next).await;
                tokio::select! {
                    _ = call.http() => {}
                    accepted = nodo.database.accept() => {
                        call = Peer::new(accepted.unwrap().0);
                        call.http().await;
                    }
                }
                call.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore").await;
                let resolved = nodo.link.command().await;
                assert!(resolved.contains("RESOLVE") && resolved.contains("bW9yZQ=="), "{resolved}");
                nodo.link.send(value(3, &uid, "OK", "ZG9uZQ==")).await;
            }
            let status = if comes_first { "Status: 500" } else { "Status: 200" };
            let (_, answer, _) = balancer.answer().await.unwrap();
            assert!(answer.starts_with(status), "{answer}");
        }
    });
}

/// The nodo is terminated during a call. The run still gets the reply, and its request the result, whether
/// the reply comes together with the signal or well after it.
#[test]
fn a_reply_during_the_drain_reaches_the_run() {
    local(async {
        for behind in [false, true] {
            let mut nodo = Nodo::start().await;
            let mut balancer = nodo.connect().await;
            let (uid, mut call) = start_run_with_call(&mut nodo, &mut balancer, "sign").await;
            nodo.leave.take().unwrap().send(()).unwrap();
            if behind {
                assert!(nodo.report().await.ends_with(r#"{"mode":"closed"}"#));
                // The grace of these settings is over by then.
                sleep(500 * MS).await;
            }
            assert!(!nodo.done.is_finished(), "it exited while a run waited for a reply");
            call.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows").await;
            let observed = finish_run(&mut nodo, &mut balancer, &uid).await;
            assert_eq!((observed.resolved, observed.stubbed), (1, 0), "behind {behind}: {observed:?}");
            assert!(observed.statuses[0].contains("200"), "behind {behind}: {observed:?}");
            nodo.done.await.unwrap();
        }
    });
}

/// The run ends during its call: the call is cancelled, and a reply that arrives at the same time is
/// discarded.
#[test]
fn a_reply_after_the_end_of_its_run_is_discarded() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        let (uid, mut call) = start_run_with_call(&mut nodo, &mut balancer, "sign").await;
        nodo.link.send(value(2, &uid, "ERROR", "")).await;
        call.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows").await;
        let observed = finish_run(&mut nodo, &mut balancer, &uid).await;
        assert!(observed.statuses[0].contains("500"), "{observed:?}");
        // A further run shows what was sent to the interpreter before it.
        balancer.send(request(2, 2, "read", &[], b"")).await;
        assert!(nodo.command().await.contains("APPLY"), "an ended run got a reply");
    });
}

/// A duplicate notice is ignored, also if it names another run.
#[test]
fn a_duplicate_notice_is_ignored() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        balancer.send([request(1, 1, "read", &[], b""), request(2, 2, "read", &[], b"")].concat()).await;
        let (first, second) = (nodo.applied().await, nodo.applied().await);
        let twice =
            [value(1, &first, "OK", "b25l"), value(1, &first, "OK", "dHdv"), value(1, &second, "OK", "dHdv")];
        nodo.link.send(twice.concat()).await;
        nodo.link.send(value(2, &second, "OK", "dHJ1ZQ==")).await;
        let (id, answer, _) = balancer.answer().await.unwrap();
        assert!(id == 1 && answer.ends_with("\r\n\r\none"), "{answer}");
        let (id, answer, _) = balancer.answer().await.unwrap();
        assert!(id == 2 && answer.ends_with("\r\n\r\ntrue"), "a duplicate notice was counted: {answer}");
    });
}

/// A run ends as its caller aborts it, in either order on the two connections.
#[test]
fn an_abort_racing_the_end_of_its_run_yields_at_most_one_answer() {
    local(async {
        let mut nodo = Nodo::start().await;
        let mut balancer = nodo.connect().await;
        for n in 0..20u16 {
            balancer.send(request(1, u64::from(n) + 1, "read", &[], b"")).await;
            let uid = nodo.applied().await;
            let abort = [1, 2, 0, 1, 0, 0, 0, 0];
            let pos = u64::from(n) + 1;
            if n % 2 == 0 {
                balancer.send(abort).await;
                nodo.link.send(value(pos, &uid, "OK", "eWVz")).await;
            } else {
                nodo.link.send(value(pos, &uid, "OK", "eWVz")).await;
                balancer.send(abort).await;
            }
            // At most one answer: a second one would come before that of the health check.
            balancer.send(request(2, 1000, "read", &[("SCRIPT_NAME", "/healthz")], b"")).await;
            let mut ids = Vec::new();
            while ids.last() != Some(&2) {
                ids.push(balancer.answer().await.expect("the connection ended").0);
            }
            assert!(ids.len() <= 2, "{ids:?}");
        }
    });
}

/// A retry is written as the first try's run ends. Each gets one answer, and a key runs only once.
#[test]
fn a_retry_racing_the_end_of_the_first_try_is_answered_without_a_second_run() {
    local(async {
        let mut nodo = Nodo::start().await;
        let (mut first, mut second) = (nodo.connect().await, nodo.connect().await);
        let mut pos = 0;
        for n in 0..40u64 {
            let (class, key) = (["sign", "read"][n as usize % 2], format!("key-{n}"));
            let keyed = [("HTTP_X_OPERATION_KEY", key.as_str())];
            let more = if class == "sign" { &keyed[..] } else { &[] };
            let again: Vec<_> = more.iter().copied().chain([("HTTP_X_RESENT", "1")]).collect();
            first.send(request(1, 2 * n + 1, class, more, b"body")).await;
            let uid = nodo.applied().await;
            let retry = request(1, 2 * n + 2, class, &again, b"body");
            pos += 1;
            let end = value(pos, &uid, "OK", "eWVz");
            // The two are written in alternating order, one right after the other.
            if n % 4 < 2 {
                second.send(&retry).await;
                nodo.link.send(end).await;
            } else {
                nodo.link.send(end).await;
                second.send(&retry).await;
            }
            let (_, answer, _) = first.answer().await.unwrap();
            assert!(answer.ends_with("\r\n\r\nyes"), "{class}: {answer}");
            if class == "read" {
                let uid = nodo.applied().await;
                pos += 1;
                nodo.link.send(value(pos, &uid, "OK", "eWVz")).await;
            }
            let (_, answer, _) = second.answer().await.unwrap();
            assert!(answer.ends_with("\r\n\r\nyes"), "{class}: {answer}");
        }
        // A further request shows that nothing else was sent to the interpreter.
        first.send(request(1, 999, "read", &[], b"last")).await;
        assert!(nodo.command().await.contains("bGFzdA=="), "a key ran twice");
    });
}

/// The nodo is terminated before its interpreter is ready, which becomes ready just after that or never.
/// Nothing is reported as open, nothing runs, and the nodo exits.
#[test]
fn a_nodo_terminated_before_its_interpreter_is_ready_runs_nothing() {
    local(async {
        for comes_up in [true, false] {
            let (mut nodo, lookup) = Nodo::start_early().await;
            let mut balancer = nodo.connect().await;
            nodo.leave.take().unwrap().send(()).unwrap();
            // A health check shows that the engine has processed the signal.
            let check = request(1, 1, "read", &[("SCRIPT_NAME", "/healthz")], b"");
            balancer.send([check, request(2, 2, "read", &[], b"")].concat()).await;
            if comes_up {
                catch_up(&mut nodo.link, 0, "").await;
                let mut directory = Peer::accept(&lookup).await;
                let report = directory.http().await;
                assert!(report.ends_with(r#"{"mode":"closed"}"#), "{report}");
                directory.send("HTTP/1.1 204 No Content\r\n\r\n").await;
            }
            for id in [1, 2] {
                let (answered, answer, _) = balancer.answer().await.unwrap();
                assert!(answered == id && answer.starts_with("Status: 503"), "{answer}");
            }
            nodo.done.await.unwrap();
            tokio::select! {
                biased;
                Some(command) = nodo.link.line() => assert!(!command.contains("APPLY"), "{command}"),
                () = sleep(MS) => {}
            }
        }
    });
}
