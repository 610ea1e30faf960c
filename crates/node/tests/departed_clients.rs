//! Clients that reset their connection before their requests are read or answered, and come again with the same
//! correlation id: real processes, and a class whose requests must not run twice and have no key.

use jaspershunt_stand_ins::balancer::{Request, encode_request};
use jaspershunt_stand_ins::nodo::Nodo;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
/// Longer than a run of class `slow` takes, and than a request waits for a core.
const RUN_TIME: Duration = Duration::from_millis(1500);
/// Longer than a connection takes to read what was written to it.
const READ_TIME: Duration = Duration::from_millis(200);
/// Requests written at once, fewer than a connection may have open.
const REQUESTS: u16 = 20;

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(60), test).await.expect("the test hangs");
    });
}

/// A nodo whose class `slow` may run once and has no keys.
async fn nodo(name: &str) -> Nodo {
    let mut nodo = Nodo::new(Path::new(PROGRAM), name).await.unwrap();
    nodo.settings =
        nodo.settings.replacen(r#""semantics":"guarded","windowS":30"#, r#""semantics":"single_shot""#, 1);
    nodo
}

fn encoded(id: u16, body: &[u8]) -> Vec<u8> {
    let arrived = UNIX_EPOCH.elapsed().unwrap().as_millis();
    encode_request(id, 1, &format!("{id:016x}"), arrived, &Request::new("slow", body))
}

async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

fn reset(stream: TcpStream) {
    stream.set_zero_linger().unwrap();
}

/// Guards against runs for a client that is known to be gone: its connection was reset before its requests were
/// read.
#[test]
fn requests_that_are_read_after_a_reset_of_their_connection_do_not_run() {
    local(async {
        let mut site = nodo("reset").await;
        let incarnation = site.start().await.unwrap();
        let mut stream = connect(site.address, &encoded(1000, b"first")).await;
        let mut answer = [0; 512];
        assert!(stream.read(&mut answer).await.unwrap() > 0);
        incarnation.process.pause();
        stream
            .write_all(&(1..=REQUESTS).flat_map(|id| encoded(id, b"unread")).collect::<Vec<u8>>())
            .await
            .unwrap();
        reset(stream);
        sleep(READ_TIME).await;
        incarnation.process.resume();
        sleep(RUN_TIME).await;
        assert_eq!(site.runs(b"unread"), 0, "{}", site.logs());
    });
}

/// Sends a request, resets its connection while it runs, waits, and sends it again with the same id, to a later process
/// if told so. Returns how often it ran.
async fn runs_of_a_request_sent_again(wait: Duration, upgrades: bool) -> usize {
    let mut site = nodo(&format!("again-{}-{upgrades}", wait.as_millis())).await;
    let mut incarnations = vec![site.start().await.unwrap()];
    let first = connect(site.address, &encoded(1, b"once")).await;
    sleep(READ_TIME).await;
    assert_eq!(site.runs(b"once"), 1, "{}", site.logs());
    reset(first);
    sleep(wait).await;
    if upgrades {
        incarnations.push(site.start().await.unwrap());
    }
    let _again = connect(site.address, &encoded(1, b"once")).await;
    sleep(RUN_TIME).await;
    site.runs(b"once")
}

/// Guards against a request without a key that runs twice: its client left and sent it again with the same id, while
/// the first copy ran or after its end.
#[test]
fn a_request_that_comes_again_after_its_client_has_left_runs_once() {
    local(async {
        for wait in [Duration::ZERO, READ_TIME, RUN_TIME] {
            assert_eq!(runs_of_a_request_sent_again(wait, false).await, 1, "after {wait:?}");
        }
    });
}

/// The same, where it comes again to the later process of an upgrade.
#[test]
fn a_request_that_comes_again_to_the_later_process_of_an_upgrade_runs_once() {
    local(async {
        for wait in [READ_TIME, RUN_TIME] {
            assert_eq!(runs_of_a_request_sent_again(wait, true).await, 1, "after {wait:?}");
        }
    });
}
