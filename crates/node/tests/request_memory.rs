//! Clients that fill the memory for requests with requests that they never finish, beside balancers' usual requests.

mod common;
use common::*;
use jaspershunt_node::fastcgi::records::{kind, put_pair, put_record};
use std::time::Duration;

/// Connections of clients that finish no request.
const FLOODING_CONNECTIONS: usize = 96;
/// Requests that each of them begins: as many as may be open on a connection.
const FLOODING_REQUESTS: u16 = 32;
/// Bytes of the parameters of each, less than a usual request has: what is left has no room for one.
const FLOODING_BYTES: usize = 2000;
const LARGEST_BODY: [u8; 2048] = [7; 2048];
/// Longer than a connection takes to read what was written to it.
const READ_TIME: Duration = Duration::from_millis(300);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

fn smallest_limits(text: String) -> String {
    text.replace(r#""memory_mb":192,"sockets":1024"#, r#""memory_mb":32,"sockets":384"#)
}

/// The beginning of a request, with a parameter that announces more bytes than follow.
fn unfinished(id: u16) -> Vec<u8> {
    let mut out = Vec::new();
    put_record(&mut out, kind::BEGIN_REQUEST, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    let mut params = Vec::new();
    put_pair(&mut params, b"HTTP_X_PAD", &vec![b'x'; 60_000]);
    put_record(&mut out, kind::PARAMS, id, &params[..FLOODING_BYTES]);
    out
}

/// Fills the memory for requests; the connections must stay open meanwhile.
async fn flood(nodo: &Nodo) -> Vec<Peer> {
    let mut peers = Vec::new();
    for _ in 0..FLOODING_CONNECTIONS {
        let mut peer = nodo.connect().await;
        peer.send((1..=FLOODING_REQUESTS).flat_map(unfinished).collect::<Vec<u8>>()).await;
        peers.push(peer);
    }
    tokio::time::sleep(READ_TIME).await;
    peers
}

fn keyed_try(id: u16, uid: u64) -> Vec<u8> {
    request(id, uid, "sign", &[("HTTP_X_OPERATION_KEY", "a key"), ("HTTP_X_RESENT", "1")], &LARGEST_BODY)
}

async fn answer_to(peer: &mut Peer) -> (String, u8) {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, peer.answer()).await.expect("an answer in time");
    let (_, text, status) = answer.expect("an answer");
    (text, status)
}

/// Guards against a keyed request that is told "refused", and runs at a second nodo, though it runs here: unfinished
/// requests of other clients left no memory to read its next try.
#[test]
fn a_repeated_keyed_request_gets_its_result_while_unfinished_requests_fill_the_memory() {
    local(async {
        let mut nodo = Nodo::start_with(smallest_limits).await;
        let (mut first, mut second) = (nodo.connect().await, nodo.connect().await);
        first.send(keyed_try(1, 1)).await;
        let runs = nodo.applied().await;
        let _flood = flood(&nodo).await;
        second.send(keyed_try(1, 2)).await;
        tokio::time::sleep(READ_TIME).await;
        nodo.link.send(value(1, &runs, "OK", "c2lnbmVk")).await;
        for peer in [&mut first, &mut second] {
            let (text, status) = answer_to(peer).await;
            assert!(text.starts_with("Status: 200 ") && text.ends_with("signed"), "{status} {text:?}");
        }
    });
}

/// Guards against usual requests that are turned away because of other clients' unfinished ones.
#[test]
fn requests_without_a_key_run_while_unfinished_requests_fill_the_memory() {
    local(async {
        let mut nodo = Nodo::start_with(smallest_limits).await;
        let _flood = flood(&nodo).await;
        let mut peer = nodo.connect().await;
        peer.send(request(1, 1, "read", &[], &LARGEST_BODY)).await;
        let runs = tokio::time::timeout(ANSWER_TIMEOUT, nodo.applied()).await.expect("a run in time");
        nodo.link.send(value(1, &runs, "OK", "cmVhZA==")).await;
        let (text, status) = answer_to(&mut peer).await;
        assert!(text.ends_with("read"), "{status} {text:?}");
    });
}
