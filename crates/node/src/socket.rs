//! Socket checks that the runtime does not offer.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use tokio::net::TcpStream;

/// Whether a connection is open with no unread input. Asks the system directly, since the runtime only knows
/// its last poll. Otherwise a call on a connection that the other end has closed, or a close of one with
/// unread input, would leave unknown what ran.
pub fn silent(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
