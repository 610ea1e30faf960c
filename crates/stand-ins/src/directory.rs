//! The directory: takes reports and answers each.

use crate::http;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// What a directory does with connections and reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Answers,
    /// Takes connections; reports are neither read nor answered.
    Stalled,
    /// Nothing listens, and connections that were open have been closed.
    Down,
}

/// Reports, in order: the request line and the mode.
type Reports = Rc<RefCell<Vec<(String, String)>>>;

/// A directory that listens.
#[derive(Clone)]
pub struct Directory {
    address: SocketAddr,
    reports: Reports,
    mode: watch::Sender<Mode>,
}

impl Directory {
    /// Starts one on a port of the system's choice.
    ///
    /// # Panics
    /// Where loopback has no port left.
    pub async fn start() -> Directory {
        // Keeps the port while nothing listens.
        let port_holder = socket_at(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port on loopback");
        let address = port_holder.local_addr().expect("an address");
        let listener = socket_at(address).and_then(|socket| socket.listen(BACKLOG)).expect("a listener");
        let reports = Reports::default();
        let mode = watch::channel(Mode::Answers).0;
        spawn_local(listen(listener, port_holder, reports.clone(), mode.subscribe()));
        Directory { address, reports, mode }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// While stalled, reports are neither read nor answered.
    pub fn stall(&self, stalled: bool) {
        self.mode.send_replace(if stalled { Mode::Stalled } else { Mode::Answers });
    }

    /// While down, it refuses connections; those that were open are closed.
    pub fn set_down(&self, down: bool) {
        self.mode.send_replace(if down { Mode::Down } else { Mode::Answers });
    }

    /// All modes that were reported, in order.
    pub fn modes(&self) -> Vec<String> {
        self.reports.borrow().iter().map(|(_, mode)| mode.clone()).collect()
    }

    /// The last mode that was reported.
    pub fn mode(&self) -> Option<String> {
        self.reports.borrow().last().map(|(_, mode)| mode.clone())
    }
}

/// A socket that is bound and does not listen; several can be bound to one address.
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
            // An error means that the directory has gone.
            if mode.wait_for(|mode| *mode != Mode::Down).await.is_err() {
                return;
            }
        }
        let listening = match &listener {
            Some(listening) => listening,
            None => {
                let again =
                    port_holder.local_addr().and_then(socket_at).and_then(|socket| socket.listen(BACKLOG));
                listener.insert(again.expect("the port is held"))
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
    // An error means that the directory has gone.
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
