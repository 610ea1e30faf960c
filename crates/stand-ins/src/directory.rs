//! A fake directory: accepts reports and answers each one.

use crate::http;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Length of the accept queue.
const BACKLOG: u32 = 1024;

/// How a directory handles connections and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Answers,
    /// Accepts connections but neither reads nor answers reports.
    Stalled,
    /// Does not listen, and has closed all open connections.
    Down,
}

/// The request line and the reported mode of each report, in order.
type Reports = Rc<RefCell<Vec<(String, String)>>>;

/// A listening fake directory.
#[derive(Clone)]
pub struct Directory {
    address: SocketAddr,
    reports: Reports,
    mode: watch::Sender<Mode>,
}

impl Directory {
    /// Starts a directory on a port chosen by the system.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start() -> Directory {
        // Keeps the port bound while nothing listens.
        let port_holder = socket_at(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port on loopback");
        let address = port_holder.local_addr().expect("an address");
        let listener = socket_at(address).and_then(|socket| socket.listen(BACKLOG)).expect("a listener");
        let reports = Reports::default();
        let mode = watch::channel(Mode::Answers).0;
        spawn_local(listen(listener, port_holder, reports.clone(), mode.subscribe()));
        Directory { address, reports, mode }
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops or resumes reading and answering reports.
    pub fn stall(&self, stalled: bool) {
        self.mode.send_replace(if stalled { Mode::Stalled } else { Mode::Answers });
    }

    /// Takes the directory down, which closes open connections and refuses new ones, or brings it up again.
    pub fn set_down(&self, down: bool) {
        self.mode.send_replace(if down { Mode::Down } else { Mode::Answers });
    }

    /// Returns all reported modes, in order.
    pub fn modes(&self) -> Vec<String> {
        self.reports.borrow().iter().map(|(_, mode)| mode.clone()).collect()
    }

    /// Returns the last reported mode.
    pub fn mode(&self) -> Option<String> {
        self.reports.borrow().last().map(|(_, mode)| mode.clone())
    }
}

/// Creates a socket that is bound but does not listen; several can be bound to one address.
fn socket_at(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn listen(
    listener: TcpListener,
    port_holder: TcpSocket,
    reports: Reports,
    mut mode: watch::Receiver<Mode>,
) {
    let mut listener = Some(listener);
    loop {
        if *mode.borrow_and_update() == Mode::Down {
            listener = None;
            // An error means that the directory has been dropped.
            if mode.wait_for(|mode| *mode != Mode::Down).await.is_err() {
                return;
            }
        }
        let listening = match &listener {
            Some(listening) => listening,
            None => {
                let again =
                    port_holder.local_addr().and_then(socket_at).and_then(|socket| socket.listen(BACKLOG));
                listener.insert(again.expect("the port is bound"))
            }
        };
        tokio::select! {
            accepted = listening.accept() => {
                let Ok((stream, _)) = accepted else { return };
                spawn_local(serve(stream, reports.clone(), mode.clone()));
            }
            changed = mode.changed() => if changed.is_err() { return },
        }
    }
}

/// Serves a connection until it ends or the directory goes down.
async fn serve(stream: TcpStream, reports: Reports, mut mode: watch::Receiver<Mode>) {
    let mut goes_down = mode.clone();
    tokio::select! {
        () = answer_all(stream, reports, &mut mode) => {}
        _ = goes_down.wait_for(|mode| *mode == Mode::Down) => {}
    }
}

async fn answer_all(mut stream: TcpStream, reports: Reports, mode: &mut watch::Receiver<Mode>) {
    let mut input = Vec::new();
    // An error means that the directory has been dropped.
    while mode.wait_for(|mode| *mode == Mode::Answers).await.is_ok()
        && let Ok(Some(request)) = http::read(&mut stream, &mut input).await
    {
        let mode = String::from_utf8_lossy(&request.body).into_owned();
        let mode = if mode.contains("open") { "open" } else { "closed" };
        reports.borrow_mut().push((request.line, mode.to_string()));
        if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.is_err() {
            return;
        }
    }
}
