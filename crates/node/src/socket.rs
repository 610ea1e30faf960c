//! What the runtime does not tell of its sockets.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Whether a connection is open and nothing on it is left to read. Asks the system itself: the runtime only knows what
/// it saw when it last looked, and both a call on a connection that the other end has closed and a close of one on which
/// something has come would leave it unknown what ran.
pub fn silent(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
