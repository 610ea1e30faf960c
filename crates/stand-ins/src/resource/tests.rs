use super::*;
use tokio::io::AsyncReadExt;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn act(to: SocketAddr, token: u64, key: u64) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let text = format!(
        "POST /act HTTP/1.1\r\n{HOLDER_HEADER}: n{token}\r\n{TOKEN_HEADER}: {token}\r\n{KEY_HEADER}: {key}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = vec![0; 256];
    let n = stream.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..n]).into_owned()
}

#[test]
fn outdated_tokens_are_rejected_with_checks_and_recorded_without() {
    local(async {
        for checks in [true, false] {
            let resource = Resource::start(checks, Duration::from_millis(50)).await;
            let at = resource.address();
            assert!(act(at, 3, 1).await.starts_with("HTTP/1.1 200"));
            assert!(act(at, 5, 2).await.starts_with("HTTP/1.1 200"));
            let late = act(at, 3, 1).await;
            assert_eq!(late.starts_with("HTTP/1.1 412"), checks, "{late}");
            assert_eq!(resource.stale_token_acts().len(), usize::from(!checks));
            assert_eq!(resource.done(), [(1, if checks { 1 } else { 2 }), (2, 1)].into());
            assert!(resource.overlaps().is_empty());
        }
    });
}

#[test]
fn overlapping_acts_of_two_holders_are_found() {
    local(async {
        let resource = Resource::start(false, Duration::from_millis(50)).await;
        let at = resource.address();
        // Two acts under one token do not count as an overlap.
        let both = spawn_local(async move { act(at, 1, 1).await });
        act(at, 1, 2).await;
        both.await.unwrap();
        assert!(resource.overlaps().is_empty());
        let both = spawn_local(async move { act(at, 1, 3).await });
        act(at, 2, 4).await;
        both.await.unwrap();
        let overlaps = resource.overlaps();
        assert_eq!(overlaps.len(), 1);
        assert_ne!(overlaps[0].0.token, overlaps[0].1.token);
        resource.set_reply(Reply::More(b"half".to_vec()));
        assert!(act(at, 2, 5).await.ends_with("half"));
        resource.set_reply(Reply::Fails);
        assert!(act(at, 2, 5).await.starts_with("HTTP/1.1 500"));
    });
}

/// Sends a call or query with an operation key; returns the status and the body.
async fn operate(to: SocketAddr, token: u64, key: &str, is_query: bool) -> (String, String) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let ask = if is_query { "x-ask: 1\r\n" } else { "" };
    let head = format!(
        "POST / HTTP/1.1\r\n{OPERATION_KEY_HEADER}: {key}\r\n{TOKEN_HEADER}: {token}\r\n{ask}Content-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 256];
    let n = stream.read(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer[..n]).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    (head.split(' ').nth(1).unwrap().to_string(), body.to_string())
}

#[test]
fn an_operation_key_is_recorded_queried_and_fenced() {
    local(async {
        let resource = Resource::start(true, Duration::from_millis(50)).await;
        let at = resource.address();
        // The first query fences off lower tokens.
        assert_eq!(operate(at, 7, "a", true).await.0, "404");
        assert_eq!(operate(at, 6, "a", false).await.0, "412");
        assert_eq!(operate(at, 7, "a", false).await, ("200".into(), "did a under 7".into()));
        // A query waits for an effect in progress, which completes even though its caller disconnected.
        let begun = spawn_local(operate(at, 3, "b", false));
        sleep(Duration::from_millis(20)).await;
        begun.abort();
        assert_eq!(operate(at, 9, "b", true).await, ("200".into(), "did b under 3".into()));
        // A repeat has its effect again unless repeats are answered with the earlier result.
        assert_eq!(operate(at, 9, "b", false).await.1, "did b under 9");
        resource.answers_repeats();
        assert_eq!(operate(at, 9, "b", false).await.1, "did b under 3");
        let effects: Vec<(String, u64)> = resource.effects().into_iter().map(|e| (e.key, e.token)).collect();
        assert_eq!(effects, [("a".into(), 7), ("b".into(), 3), ("b".into(), 9)]);
        assert_eq!(resource.query_counts(), (2, 1));
    });
}
