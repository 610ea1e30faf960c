//! The kernel's smoothed round-trip times of the balancers' connections.
//!
//! Queried over a `sock_diag` netlink socket, for all connections to the nodo's port in one request. The
//! usual `getsockopt` with `TCP_INFO` has no safe call in any library used here. The layout is Linux's, in
//! native byte order except for ports and addresses.

use rustix::net::netlink::SOCK_DIAG;
use rustix::net::sockopt::{Timeout, set_socket_timeout};
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, recv, send, socket_with};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::time::Duration;

/// The most connections in one result: more than a nodo may have.
pub const MAX_CONNECTIONS: usize = 4096;
/// The kernel answers at once; this only keeps a thread from waiting forever.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes per read; one datagram of the kernel is smaller.
const CHUNK_BYTES: usize = 64 * 1024;

const HEADER_BYTES: usize = 16;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const REQUEST_DUMP: u16 = 0x301;
const FINAL_KINDS: [u16; 2] = [2, 3];
const V4: u8 = 2;
const V6: u8 = 10;
const TCP: u8 = 6;
const ESTABLISHED: u32 = 1 << 1;
/// The attribute with a connection's `tcp_info`, and the offset of the round trip in it, in microseconds.
const INFO: u16 = 2;
const ROUND_TRIP_OFFSET: usize = 68;
/// The offset of a connection's attributes.
const ATTRIBUTES_OFFSET: usize = 72;

/// A netlink socket for queries about connections.
#[derive(Debug)]
pub struct Kernel {
    socket: OwnedFd,
    listens: SocketAddr,
}

impl Kernel {
    /// Opens the socket, for connections to this address.
    ///
    /// # Errors
    /// Fails if the system does not support it or denies permission.
    pub fn new(listens: SocketAddr) -> io::Result<Kernel> {
        let socket =
            socket_with(AddressFamily::NETLINK, SocketType::RAW, SocketFlags::CLOEXEC, Some(SOCK_DIAG))?;
        set_socket_timeout(&socket, Timeout::Recv, Some(RECEIVE_TIMEOUT))?;
        Ok(Kernel { socket, listens })
    }

    /// Returns the peers of connections with their round trips in microseconds.
    ///
    /// # Errors
    /// Fails if the kernel does not answer, or answers with an error.
    pub fn round_trips(&self) -> io::Result<Vec<(SocketAddr, u32)>> {
        send(&self.socket, &request(self.listens), SendFlags::empty())?;
        let (mut all, mut buffer) = (Vec::new(), vec![0; CHUNK_BYTES]);
        loop {
            let (n, _) = recv(&self.socket, &mut buffer[..], RecvFlags::empty())?;
            if n == 0 || decode_datagram(&buffer[..n], &mut all)? {
                return Ok(all);
            }
        }
    }
}

fn request(listens: SocketAddr) -> Vec<u8> {
    let family = if listens.is_ipv4() { V4 } else { V6 };
    let mut body = vec![family, TCP, 1 << (INFO - 1), 0];
    body.extend(ESTABLISHED.to_ne_bytes());
    body.extend(listens.port().to_be_bytes());
    // The filter has no peer port, addresses, interface or cookie.
    body.resize(56, 0);
    let mut message = Vec::with_capacity(HEADER_BYTES + body.len());
    message.extend((HEADER_BYTES as u32 + body.len() as u32).to_ne_bytes());
    message.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    message.extend(REQUEST_DUMP.to_ne_bytes());
    message.extend([0; 8]);
    message.extend(body);
    message
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    bytes.get(at..at + 2)?.try_into().ok().map(u16::from_ne_bytes)
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4)?.try_into().ok().map(u32::from_ne_bytes)
}

/// Decodes one datagram of the kernel; returns whether it ends the answer.
fn decode_datagram(mut bytes: &[u8], all: &mut Vec<(SocketAddr, u32)>) -> io::Result<bool> {
    while let (Some(length), Some(kind)) = (u32_at(bytes, 0), u16_at(bytes, 4)) {
        let length = length as usize;
        if FINAL_KINDS.contains(&kind) {
            let error = u32_at(bytes, HEADER_BYTES).unwrap_or(0) as i32;
            // Both kinds carry an error as a negative number.
            return if error < 0 { Err(io::Error::from_raw_os_error(-error)) } else { Ok(true) };
        }
        let Some(body) = bytes.get(HEADER_BYTES..length) else { return Ok(true) };
        if kind == SOCK_DIAG_BY_FAMILY && all.len() < MAX_CONNECTIONS {
            all.extend(connection(body));
        }
        bytes = bytes.get(length.next_multiple_of(4)..).unwrap_or_default();
    }
    Ok(false)
}

/// Decodes the peer of a connection and its round trip; `None` before its first traffic.
fn connection(body: &[u8]) -> Option<(SocketAddr, u32)> {
    let port = u16::from_be_bytes(body.get(6..8)?.try_into().ok()?);
    let address: [u8; 16] = body.get(24..40)?.try_into().ok()?;
    let ip = match body[0] {
        V4 => IpAddr::V4(Ipv4Addr::new(address[0], address[1], address[2], address[3])),
        _ => IpAddr::V6(Ipv6Addr::from(address)),
    };
    let mut attributes = body.get(ATTRIBUTES_OFFSET..)?;
    while let (Some(length), Some(kind)) = (u16_at(attributes, 0), u16_at(attributes, 2)) {
        let length = usize::from(length);
        if length < 4 {
            return None;
        }
        if kind == INFO {
            let us = u32_at(attributes.get(4..length)?, ROUND_TRIP_OFFSET)?;
            return (us > 0).then_some((SocketAddr::new(ip, port), us));
        }
        attributes = attributes.get(length.next_multiple_of(4)..)?;
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};

    #[test]
    fn the_kernel_reports_the_round_trips_of_connections_to_one_port() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let other = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let mut ends = Vec::new();
        for listener in [&listener, &listener, &other] {
            let mut near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            let (mut far, _) = listener.accept().unwrap();
            for _ in 0..3 {
                let mut byte = [0];
                far.write_all(b"a").unwrap();
                near.read_exact(&mut byte).unwrap();
                near.write_all(b"b").unwrap();
                far.read_exact(&mut byte).unwrap();
            }
            ends.push((near, far));
        }
        // A machine may deny it; then there is nothing to measure, and the nodo logs that.
        let Ok(kernel) = Kernel::new(at) else { return };
        let Ok(told) = kernel.round_trips() else { return };
        let mut told: Vec<SocketAddr> =
            told.into_iter().map(|(peer, us)| (peer, assert!(us < 1_000_000)).0).collect();
        let mut here: Vec<SocketAddr> =
            ends[..2].iter().map(|(near, _)| near.local_addr().unwrap()).collect();
        told.sort();
        here.sort();
        assert_eq!(told, here);
    }

    #[test]
    fn truncated_or_malformed_answers_yield_no_connection() {
        let mut body = vec![V4, 1, 0, 0, 0, 0, 0x1f, 0x90];
        body.resize(ATTRIBUTES_OFFSET, 0);
        body[24..28].copy_from_slice(&[10, 3, 7, 9]);
        let mut info = vec![0; 100];
        info[ROUND_TRIP_OFFSET..ROUND_TRIP_OFFSET + 4].copy_from_slice(&1500u32.to_ne_bytes());
        for (length, kind, content) in [(5u16, 8u16, vec![0; 4]), (104, INFO, info)] {
            body.extend(length.to_ne_bytes());
            body.extend(kind.to_ne_bytes());
            body.extend(content);
        }
        assert_eq!(connection(&body), Some(("10.3.7.9:8080".parse().unwrap(), 1500)));
        for end in 0..body.len() - 1 {
            // Truncated: the attribute with the round trip is last.
            assert_eq!(connection(&body[..end]), None, "{end}");
        }
        let (mut all, ended) =
            (Vec::new(), [&20u32.to_ne_bytes()[..], &3u16.to_ne_bytes(), &[0; 14]].concat());
        assert!(
            decode_datagram(&ended, &mut all).unwrap() && !decode_datagram(&[1, 2, 3], &mut all).unwrap()
        );
        let no = [&20u32.to_ne_bytes()[..], &2u16.to_ne_bytes(), &[0; 10], &(-1i32).to_ne_bytes()].concat();
        assert_eq!(decode_datagram(&no, &mut all).unwrap_err().raw_os_error(), Some(1));
    }
}
