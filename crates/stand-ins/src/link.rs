//! A breakable link between two processes: a relay on loopback that forwards bytes, with a separate fault for
//! each direction.
//!
//! Each ordered pair of processes has its own link, so that one direction can be cut without the other.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// Size of a read, and most bytes buffered per direction of a connection; beyond it the sender blocks.
const CHUNK_BYTES: usize = 4 * 1024;

/// What happens to bytes in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub enum Fault {
    /// Forwarded at once.
    #[default]
    None,
    /// Forwarded after the first duration plus a random part of the second.
    Late(Duration, Duration),
    /// Forwarded in small pieces.
    Drip {
        /// Bytes per piece.
        bytes: usize,
        /// Interval between pieces.
        every: Duration,
    },
    /// Buffered without notice to either side.
    Cut,
    /// Forwarded up to this many more bytes, then cut, possibly within a frame.
    CutAfter(usize),
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum AcceptMode {
    /// Connected to the target.
    #[default]
    Passes,
    /// Accepted, but nothing is forwarded.
    Silent,
    /// Reset at once.
    Resets,
}

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the connecting process.
    There,
    /// To the connecting process.
    Back,
}

struct State {
    to: Cell<SocketAddr>,
    there: watch::Sender<Fault>,
    back: watch::Sender<Fault>,
    accepts: Cell<AcceptMode>,
    /// Incremented by each reset, which ends all open connections.
    resets: watch::Sender<u64>,
    random: RefCell<StdRng>,
    bytes_passed: Cell<[u64; 2]>,
    connections: Cell<u64>,
}

/// A running link.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    state: Rc<State>,
    _accepting: Rc<Aborts>,
}

struct Aborts(JoinHandle<()>);

impl Drop for Aborts {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Link {
    /// Starts a link to this address on a port chosen by the system; the seed determines its random delays.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start(to: SocketAddr, seed: u64) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let state = Rc::new(State {
            to: Cell::new(to),
            there: watch::channel(Fault::None).0,
            back: watch::channel(Fault::None).0,
            accepts: Cell::new(AcceptMode::Passes),
            resets: watch::channel(0).0,
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            bytes_passed: Cell::new([0; 2]),
            connections: Cell::new(0),
        });
        let shared = state.clone();
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.set(shared.connections.get() + 1);
                spawn_local(relay(shared.clone(), stream));
            }
        });
        Link { address, state, _accepting: Rc::new(Aborts(accepting)) }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the target of new connections.
    pub fn set_target(&self, to: SocketAddr) {
        self.state.to.set(to);
    }

    /// Sets the fault of one direction. It also applies to buffered bytes, so bytes sent during a cut arrive
    /// after it.
    pub fn set(&self, way: Way, fault: Fault) {
        let to = match way {
            Way::There => &self.state.there,
            Way::Back => &self.state.back,
        };
        to.send_replace(fault);
    }

    /// Sets the fault of both directions.
    pub fn set_both(&self, fault: Fault) {
        self.set(Way::There, fault);
        self.set(Way::Back, fault);
    }

    /// Sets how new connections are handled.
    pub fn set_accept_mode(&self, accepts: AcceptMode) {
        self.state.accepts.set(accepts);
    }

    /// Resets all connections at both ends; buffered bytes are lost.
    pub fn reset(&self) {
        self.state.resets.send_modify(|resets| *resets += 1);
    }

    /// Removes all faults; buffered bytes are forwarded.
    pub fn heal(&self) {
        self.set_accept_mode(AcceptMode::Passes);
        self.set_both(Fault::None);
    }

    /// Returns the number of bytes forwarded in each direction.
    pub fn bytes_passed(&self) -> [u64; 2] {
        self.state.bytes_passed.get()
    }

    /// Returns the number of connections accepted.
    pub fn connections(&self) -> u64 {
        self.state.connections.get()
    }
}

async fn relay(state: Rc<State>, near: TcpStream) {
    let mut resets = state.resets.subscribe();
    let reset = async {
        // An error means that the link was dropped, which ends its connections too.
        let _ = resets.changed().await;
    };
    let mut reset = std::pin::pin!(reset);
    match state.accepts.get() {
        AcceptMode::Passes => {}
        AcceptMode::Silent => return reset.await,
        AcceptMode::Resets => return abort(&near),
    }
    let Ok(far) = TcpStream::connect(state.to.get()).await else { return abort(&near) };
    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
    let ends = (near.into_split(), far.into_split());
    let ((mut from_near, mut to_near), (mut from_far, mut to_far)) = ends;
    let lost = {
        let mut there = std::pin::pin!(pump(&state, 0, &mut from_near, &mut to_far));
        let mut back = std::pin::pin!(pump(&state, 1, &mut from_far, &mut to_near));
        // A half-close is forwarded like bytes; the other direction continues.
        let (mut there_ended, mut back_ended) = (false, false);
        loop {
            if there_ended && back_ended {
                break false;
            }
            tokio::select! {
                whole = &mut there, if !there_ended => if whole { there_ended = true } else { break true },
                whole = &mut back, if !back_ended => if whole { back_ended = true } else { break true },
                () = &mut reset => break true,
            }
        }
    };
    if lost {
        for (read, write) in [(from_near, to_near), (from_far, to_far)] {
            if let Ok(stream) = read.reunite(write) {
                abort(&stream);
            }
        }
    }
}

/// Makes the close of this stream a reset.
fn abort(stream: &TcpStream) {
    // An error means that the connection has ended.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards bytes and the sender's half-close; returns false if the connection failed before that.
async fn pump(state: &State, way: usize, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) -> bool {
    let faults = if way == 0 { &state.there } else { &state.back };
    let mut fault = faults.subscribe();
    let mut buffered = Vec::with_capacity(CHUNK_BYTES);
    loop {
        let Ok(n) = from.read_buf(&mut buffered).await else { return false };
        while !buffered.is_empty() || n == 0 {
            let present = *fault.borrow_and_update();
            let count = match present {
                Fault::None => buffered.len(),
                Fault::Late(time, more) => {
                    let part = state.random.borrow_mut().random_range(0.0..1.0);
                    sleep(time + more.mul_f64(part)).await;
                    buffered.len()
                }
                Fault::Drip { bytes, every } => {
                    sleep(every).await;
                    bytes.min(buffered.len())
                }
                Fault::Cut => {
                    if fault.changed().await.is_err() {
                        return false;
                    }
                    continue;
                }
                Fault::CutAfter(left) => {
                    let count = left.min(buffered.len());
                    let left = left - count;
                    faults.send_replace(if left == 0 { Fault::Cut } else { Fault::CutAfter(left) });
                    count
                }
            };
            if n == 0 && buffered.is_empty() {
                return to.shutdown().await.is_ok();
            }
            let Ok(()) = to.write_all(&buffered[..count]).await else { return false };
            buffered.drain(..count);
            let mut passed = state.bytes_passed.get();
            passed[way] += count as u64;
            state.bytes_passed.set(passed);
        }
    }
}

#[cfg(test)]
mod tests;
