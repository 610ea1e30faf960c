//! Reports this nodo to the directory, from which balancers learn of it.

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

/// Interval of reports. An entry expires 3 s after the last one.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);
/// Timeout of a report. One that times out may still have counted, but the next follows soon on another
/// connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout after a report that timed out, until one is answered sooner: a slow directory may need longer, and
/// a report counts only with its answer. With the delay before the next attempt it stays under 1 s, within
/// which a recovered directory must get a report.
const SLOW_REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The reported mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Accepts requests.
    Open,
    /// Accepts no requests.
    Closed,
}

/// Reports the mode about once a second, and at each change of the mode or of the directory's address,
/// through outages too. Reports nothing while there is no mode. Ends when the mode can no longer change.
pub async fn report(mut peers: watch::Receiver<Peers>, name: &str, mut mode: watch::Receiver<Option<Mode>>) {
    let mut stream = None;
    let mut failing = false;
    let mut report_timeout = REPORT_TIMEOUT;
    let mut address = peers.borrow().directory;
    loop {
        let current = *mode.borrow_and_update();
        let new_address = peers.borrow_and_update().directory;
        if new_address != address {
            (address, stream) = (new_address, None);
        }
        let began = Instant::now();
        let mut next = began + REPORT_INTERVAL;
        if let Some(current) = current {
            let sent = tokio::select! {
                sent = timeout(report_timeout, put(address, name, current, stream.take())) => sent,
                // Does not wait for the answer to an outdated report, which could send callers here: changes
                // are reported at once.
                changed = mode.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                Ok(()) = peers.changed() => continue,
            };
            let in_time = began.elapsed() < REPORT_TIMEOUT;
            report_timeout = if in_time { REPORT_TIMEOUT } else { SLOW_REPORT_TIMEOUT };
            let (kept, failed) = match sent {
                Ok(Ok(kept)) => (kept, None),
                Ok(Err(e)) => (None, Some(e)),
                Err(_) => (None, Some(io::ErrorKind::TimedOut.into())),
            };
            stream = kept;
            if let Some(e) = &failed {
                next = Instant::now() + RETRY_DELAY;
                if !failing {
                    log!(WARN, "directory: report failed: {e}");
                }
            }
            failing = failed.is_some();
        }
        tokio::select! {
            () = sleep_until(next) => {}
            changed = mode.changed() => if changed.is_err() { return },
            Ok(()) = peers.changed() => {}
        }
    }
}

/// Sends one report; returns the connection if it can be reused.
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
