//! One connection of a balancer, byte by byte: halves of requests, closes and resets, each at the moment that a test wants.

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
    /// The other end said that it sends nothing more.
    Closed,
    /// It was reset.
    Reset,
}

/// A connection.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    number: u64,
    next: u16,
    input: Vec<u8>,
    open: BTreeMap<u16, Vec<u8>>,
}

/// A request as bytes.
#[derive(Clone, Debug)]
pub struct Bytes {
    /// Its id on the connection.
    pub id: u16,
    /// Its correlation id.
    pub uid: String,
    /// All of it.
    pub bytes: Vec<u8>,
}

impl Wire {
    /// Connects, as the balancer of this number, of which there is no other.
    ///
    /// # Errors
    /// Nobody takes the connection.
    pub async fn connect(to: SocketAddr, number: u64) -> io::Result<Wire> {
        Wire::with_receive_buffer(to, number, None).await
    }

    /// The same, with so many bytes of room for what is not read yet.
    ///
    /// # Errors
    /// Nobody takes the connection.
    pub async fn with_receive_buffer(to: SocketAddr, number: u64, room: Option<u32>) -> io::Result<Wire> {
        let socket = TcpSocket::new_v4()?;
        if let Some(room) = room {
            socket.set_recv_buffer_size(room)?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Wire { stream, number, next: 0, input: Vec::new(), open: BTreeMap::new() })
    }

    /// The bytes of a request, which has come to the machine now.
    pub fn bytes(&mut self, request: &Request) -> Bytes {
        self.next = self.next.wrapping_add(1).max(1);
        let uid = format!("{:08x}{:08x}", self.number, self.next);
        let now = UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        let bytes = encode_request(self.next, self.number, &uid, now, request);
        Bytes { id: self.next, uid, bytes }
    }

    /// Writes bytes; how many left, which is all of them unless the connection has no room or has ended.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        let mut left = 0;
        while left < bytes.len() {
            match self.stream.try_write(&bytes[left..]) {
                Ok(n) => left += n,
                Err(_) => break,
            }
        }
        left
    }

    /// Writes a whole request; its ids, if all of it left.
    pub fn send(&mut self, request: &Request) -> Option<Bytes> {
        let request = self.bytes(request);
        (self.write(&request.bytes) == request.bytes.len()).then_some(request)
    }

    /// The next record: its kind, its request and its content.
    ///
    /// # Errors
    /// How the connection ended.
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

    /// The next whole answer, with the id of its request on the connection.
    ///
    /// # Errors
    /// How the connection ended.
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

    /// Ends the connection with a reset: what was sent and not read at either end is lost.
    pub fn reset(self) {
        // An error means that it has ended.
        let _ = self.stream.set_zero_linger();
    }
}
