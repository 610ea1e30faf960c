//! A raw balancer connection, for tests that send partial requests, close or reset at an exact moment.

use crate::balancer::{Answer, END_REQUEST, Request, STDOUT, encode_request, parse_answer};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::UNIX_EPOCH;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closed in order by the peer.
    Closed,
    /// Reset.
    Reset,
}

/// A raw FastCGI connection.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    number: u64,
    next: u16,
    input: Vec<u8>,
    open: BTreeMap<u16, Vec<u8>>,
}

/// An encoded request.
#[derive(Clone, Debug)]
pub struct EncodedRequest {
    /// Request id on the connection.
    pub id: u16,
    /// Correlation id.
    pub uid: String,
    /// All records of the request.
    pub bytes: Vec<u8>,
}

impl Wire {
    /// Connects as the balancer with this number, which must be unique.
    ///
    /// # Errors
    /// Fails if the connection is not accepted.
    pub async fn connect(to: SocketAddr, number: u64) -> io::Result<Wire> {
        Wire::with_receive_buffer(to, number, None).await
    }

    /// Connects with a receive buffer of this size.
    ///
    /// # Errors
    /// Fails if the connection is not accepted.
    pub async fn with_receive_buffer(
        to: SocketAddr,
        number: u64,
        buffer_bytes: Option<u32>,
    ) -> io::Result<Wire> {
        let socket = TcpSocket::new_v4()?;
        if let Some(buffer_bytes) = buffer_bytes {
            socket.set_recv_buffer_size(buffer_bytes)?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Wire { stream, number, next: 0, input: Vec::new(), open: BTreeMap::new() })
    }

    /// Encodes a request with the present time as its arrival.
    pub fn encode(&mut self, request: &Request) -> EncodedRequest {
        self.next = self.next.wrapping_add(1).max(1);
        let uid = format!("{:08x}{:08x}", self.number, self.next);
        let now = UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        let bytes = encode_request(self.next, self.number, &uid, now, request);
        EncodedRequest { id: self.next, uid, bytes }
    }

    /// Writes bytes; returns how many were written, which is fewer than all if the buffers are full or the
    /// connection ended.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        let mut written = 0;
        while written < bytes.len() {
            match self.stream.try_write(&bytes[written..]) {
                Ok(n) => written += n,
                Err(_) => break,
            }
        }
        written
    }

    /// Writes a whole request; returns it if all of it was written.
    pub fn send(&mut self, request: &Request) -> Option<EncodedRequest> {
        let request = self.encode(request);
        (self.write(&request.bytes) == request.bytes.len()).then_some(request)
    }

    /// Reads the next record: its type, request id and content.
    ///
    /// # Errors
    /// Returns how the connection ended.
    pub async fn record(&mut self) -> Result<(u8, u16, Vec<u8>), End> {
        loop {
            if self.input.len() >= 8 {
                let length = usize::from(u16::from_be_bytes([self.input[4], self.input[5]]));
                let whole = 8 + length + usize::from(self.input[6]);
                if self.input.len() >= whole {
                    let (kind, id) = (self.input[1], u16::from_be_bytes([self.input[2], self.input[3]]));
                    let content = self.input[8..8 + length].to_vec();
                    self.input.drain(..whole);
                    return Ok((kind, id, content));
                }
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) => return Err(End::Closed),
                Ok(_) => {}
                Err(_) => return Err(End::Reset),
            }
        }
    }

    /// Reads the next complete answer, with the request id.
    ///
    /// # Errors
    /// Returns how the connection ended.
    pub async fn answer(&mut self) -> Result<(u16, Answer), End> {
        loop {
            match self.record().await? {
                (STDOUT, id, content) => self.open.entry(id).or_default().extend(content),
                (END_REQUEST, id, _) => {
                    let text = self.open.remove(&id).unwrap_or_default();
                    return Ok((id, parse_answer(&text).unwrap_or_default()));
                }
                _ => {}
            }
        }
    }

    /// Resets the connection; data not yet read at either end is lost.
    pub fn reset(self) {
        // An error means that the connection has ended.
        let _ = self.stream.set_zero_linger();
    }
}
