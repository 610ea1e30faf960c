//! Reports to the directory, from which balancers learn of this nodo.

use crate::config::Peers;
use crate::http;
use crate::log;
use crate::socket;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

/// Between reports. An entry lapses 3 s after the last one.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// For the answer to one report. One that gets none may have counted all the same, but the next one comes soon, on
/// another connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// The same after one that got none in that time, until one is answered sooner: a directory may need longer for each,
/// and a report counts only with its answer. With the wait before the next attempt it stays under a second, in which a
/// directory that is back has to be told.
const SLOW_REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Between the attempts at a report that did not count.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Takes work.
    Open,
    /// Takes no work.
    Closed,
}

/// Reports the mode about once a second and at each change, of the directory's address too, through outages; nothing
/// while there is none yet. Ends when the mode can no longer change.
pub async fn report(mut peers: watch::Receiver<Peers>, name: &str, mut mode: watch::Receiver<Option<Mode>>) {
    let mut stream = None;
    let mut fails = false;
    let mut patience = REPORT_TIMEOUT;
    let mut address = peers.borrow().directory;
    loop {
        let told = *mode.borrow_and_update();
        let now_at = peers.borrow_and_update().directory;
        if now_at != address {
            (address, stream) = (now_at, None);
        }
        let began = Instant::now();
        let mut next = began + REPORT_INTERVAL;
        if let Some(told) = told {
            let sent = tokio::select! {
                sent = timeout(patience, put(address, name, told, stream.take())) => sent,
                // Guards against callers sent here because an older report still waits for its answer: what is news is reported at
                // once.
                changed = mode.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                Ok(()) = peers.changed() => continue,
            };
            let in_time = began.elapsed() < REPORT_TIMEOUT;
            patience = if in_time { REPORT_TIMEOUT } else { SLOW_REPORT_TIMEOUT };
            let (kept, failed) = match sent {
                Ok(Ok(kept)) => (kept, None),
                Ok(Err(e)) => (None, Some(e)),
                Err(_) => (None, Some(io::ErrorKind::TimedOut.into())),
            };
            stream = kept;
            if let Some(e) = &failed {
                next = Instant::now() + RETRY_DELAY;
                if !fails {
                    log!(WARN, "directory: report failed: {e}");
                }
            }
            fails = failed.is_some();
        }
        tokio::select! {
            () = sleep_until(next) => {}
            changed = mode.changed() => if changed.is_err() { return },
            Ok(()) = peers.changed() => {}
        }
    }
}

/// One report; returns the connection if it can carry the next one.
async fn put(
    address: SocketAddr,
    name: &str,
    mode: Mode,
    stream: Option<TcpStream>,
) -> io::Result<Option<TcpStream>> {
    let mut stream = match stream.filter(socket::silent) {
        Some(stream) => stream,
        None => TcpStream::connect(address).await?,
    };
    let body = match mode {
        Mode::Open => r#"{"mode":"open"}"#,
        Mode::Closed => r#"{"mode":"closed"}"#,
    };
    let request = format!(
        "PUT /dir/nodes/{name} HTTP/1.1\r\nHost: directory\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let reply = http::call(&mut stream, request.as_bytes()).await?;
    if reply.head.status != 204 {
        return Err(io::Error::other(format!("status {}", reply.head.status)));
    }
    Ok(reply.reusable.then_some(stream))
}
