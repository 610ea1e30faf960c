use super::*;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Timeout for bytes that are expected to arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which bytes that have not arrived count as blocked.
const SILENCE: Duration = Duration::from_millis(150);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new()
        .block_on(&runtime, async { timeout(ARRIVAL_TIMEOUT * 3, test).await.expect("the test timed out") });
}

/// Creates a link and returns it with both ends of a connection over it.
async fn ends() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Link::start(listener.local_addr().unwrap(), 1).await;
    let near = TcpStream::connect(link.address()).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (link, near, far)
}

async fn arrives(at: &mut TcpStream, bytes: &[u8]) {
    let mut got = vec![0; bytes.len()];
    timeout(ARRIVAL_TIMEOUT, at.read_exact(&mut got)).await.expect("no bytes arrive").unwrap();
    assert_eq!(got, bytes);
}

async fn is_silent(at: &mut TcpStream) {
    let mut one = [0];
    assert!(timeout(SILENCE, at.read(&mut one)).await.is_err(), "unexpected bytes arrive");
}

#[test]
fn a_cut_affects_one_direction_and_delivers_buffered_bytes_once_healed() {
    local(async {
        let (link, mut near, mut far) = ends().await;
        near.write_all(b"one").await.unwrap();
        arrives(&mut far, b"one").await;
        link.set(Way::There, Fault::Cut);
        near.write_all(b"two").await.unwrap();
        is_silent(&mut far).await;
        far.write_all(b"back").await.unwrap();
        arrives(&mut near, b"back").await;
        link.heal();
        arrives(&mut far, b"two").await;
        assert_eq!((link.bytes_passed(), link.connections()), ([6, 4], 1));
        // A half-close is forwarded, and the other direction continues.
        near.shutdown().await.unwrap();
        assert_eq!(timeout(ARRIVAL_TIMEOUT, far.read(&mut [0])).await.unwrap().unwrap(), 0);
        far.write_all(b"more").await.unwrap();
        arrives(&mut near, b"more").await;
    });
}

#[test]
fn a_cut_can_split_a_frame_and_a_reset_discards_buffered_bytes() {
    local(async {
        let (link, mut near, mut far) = ends().await;
        link.set(Way::There, Fault::CutAfter(5));
        near.write_all(b"0123").await.unwrap();
        near.write_all(b"4567").await.unwrap();
        arrives(&mut far, b"01234").await;
        is_silent(&mut far).await;
        link.reset();
        for end in [&mut near, &mut far] {
            let ended = timeout(ARRIVAL_TIMEOUT, end.read(&mut [0])).await.unwrap();
            assert!(ended.is_err(), "expected a reset, got an orderly end: {ended:?}");
        }
    });
}

#[test]
fn bytes_are_delayed_or_split_and_connections_are_silent_or_reset() {
    local(async {
        let (link, mut near, mut far) = ends().await;
        let late = Duration::from_millis(200);
        link.set_both(Fault::Late(late, late));
        let began = tokio::time::Instant::now();
        near.write_all(b"late").await.unwrap();
        arrives(&mut far, b"late").await;
        assert!(began.elapsed() >= late);
        link.set(Way::There, Fault::Drip { bytes: 2, every: Duration::from_millis(20) });
        let began = tokio::time::Instant::now();
        near.write_all(b"abcdef").await.unwrap();
        arrives(&mut far, b"abcdef").await;
        assert!(began.elapsed() >= Duration::from_millis(60));
        link.set_accept_mode(AcceptMode::Silent);
        let mut silent = TcpStream::connect(link.address()).await.unwrap();
        silent.write_all(b"hello").await.unwrap();
        is_silent(&mut silent).await;
        link.set_accept_mode(AcceptMode::Resets);
        let mut reset = TcpStream::connect(link.address()).await.unwrap();
        assert!(timeout(ARRIVAL_TIMEOUT, reset.read(&mut [0])).await.unwrap().is_err());
        // Existing connections are not affected.
        link.heal();
        near.write_all(b"x").await.unwrap();
        arrives(&mut far, b"x").await;
    });
}
