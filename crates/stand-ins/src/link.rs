//! A link between two processes that can be broken: a relay on loopback for one of them to connect to, which passes bytes on to the
//! other, each way under a fault of its own.
//!
//! A directed pair of processes has a link of its own, so that one way can be cut and the other not.

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

/// Read at once, and buffered back at most for each way of a connection: beyond that the sender waits.
const CHUNK: usize = 4 * 1024;

/// What becomes of bytes on one way.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub enum Fault {
    /// They pass.
    #[default]
    None,
    /// They pass later: by this, and by up to so much more.
    Late(Duration, Duration),
    /// They pass a few at a time.
    Drip {
        /// So many.
        bytes: usize,
        /// So often.
        every: Duration,
    },
    /// They are buffered back, and nobody is told: a cut.
    Cut,
    /// So many more pass, and then it is a cut: in the middle of a frame, if it falls so.
    CutAfter(usize),
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum AcceptMode {
    /// It leads to the other end.
    #[default]
    Passes,
    /// It is accepted, and nothing ever comes of it.
    Silent,
    /// It is reset at once.
    Resets,
}

/// A way of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the one that connects.
    There,
    /// To it.
    Back,
}

struct State {
    to: Cell<SocketAddr>,
    there: watch::Sender<Fault>,
    back: watch::Sender<Fault>,
    accepts: Cell<AcceptMode>,
    /// Counts up with each reset: connections of an earlier count end.
    resets: watch::Sender<u64>,
    random: RefCell<StdRng>,
    bytes_passed: Cell<[u64; 2]>,
    connections: Cell<u64>,
}

/// A link.
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
    /// A link to this address, on a port of the system's choice; what is random in it comes from the seed.
    ///
    /// # Panics
    /// Where loopback has no port left.
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
        let all = state.clone();
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                all.connections.set(all.connections.get() + 1);
                spawn_local(relay(all.clone(), stream));
            }
        });
        Link { address, state, _accepting: Rc::new(Aborts(accepting)) }
    }

    /// Where to connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// New connections lead there.
    pub fn set_target(&self, to: SocketAddr) {
        self.state.to.set(to);
    }

    /// From now on bytes on this way fare so, those that were buffered back included: what was said before a cut is heard after it.
    pub fn set(&self, way: Way, fault: Fault) {
        let to = match way {
            Way::There => &self.state.there,
            Way::Back => &self.state.back,
        };
        to.send_replace(fault);
    }

    /// The same on both ways.
    pub fn set_both(&self, fault: Fault) {
        self.set(Way::There, fault);
        self.set(Way::Back, fault);
    }

    /// From now on new connections fare so.
    pub fn set_accept_mode(&self, accepts: AcceptMode) {
        self.state.accepts.set(accepts);
    }

    /// All connections end with a reset at both ends, and what was buffered back is lost.
    pub fn reset(&self) {
        self.state.resets.send_modify(|resets| *resets += 1);
    }

    /// No faults any more. What was buffered back passes.
    pub fn heal(&self) {
        self.set_accept_mode(AcceptMode::Passes);
        self.set_both(Fault::None);
    }

    /// Bytes that have bytes_passed, there and back.
    pub fn bytes_passed(&self) -> [u64; 2] {
        self.state.bytes_passed.get()
    }

    /// Connections that were made.
    pub fn connections(&self) -> u64 {
        self.state.connections.get()
    }
}

async fn relay(state: Rc<State>, near: TcpStream) {
    let mut resets = state.resets.subscribe();
    let reset = async {
        // An error means that the link is gone, and all that goes with it.
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
        // An end of sending passes like bytes do; the other way goes on.
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

/// The close of this stream is a reset.
fn abort(stream: &TcpStream) {
    // An error means that it has ended.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes bytes on until the sender ends, which is passed on too; whether it came to that in good order.
async fn pump(state: &State, way: usize, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) -> bool {
    let faults = if way == 0 { &state.there } else { &state.back };
    let mut fault = faults.subscribe();
    let mut buffered = Vec::with_capacity(CHUNK);
    loop {
        let Ok(n) = from.read_buf(&mut buffered).await else { return false };
        while !buffered.is_empty() || n == 0 {
            let present = *fault.borrow_and_update();
            let some = match present {
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
                    let some = left.min(buffered.len());
                    let left = left - some;
                    faults.send_replace(if left == 0 { Fault::Cut } else { Fault::CutAfter(left) });
                    some
                }
            };
            if n == 0 && buffered.is_empty() {
                return to.shutdown().await.is_ok();
            }
            let Ok(()) = to.write_all(&buffered[..some]).await else { return false };
            buffered.drain(..some);
            let mut passed = state.bytes_passed.get();
            passed[way] += some as u64;
            state.bytes_passed.set(passed);
        }
    }
}

#[cfg(test)]
mod tests;
