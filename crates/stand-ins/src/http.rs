//! Server side of HTTP/1.1, with one request at a time per connection.

use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Maximum size of a request, head and body together.
const MAX_REQUEST: usize = 64 * 1024;

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Request line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }
}

/// Reads the next request; `None` at the end of the connection.
pub async fn read(stream: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or_default().to_string();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
                .collect();
            let mut request = Request { line, headers, body: Vec::new() };
            let length: usize = request.header("content-length").parse().unwrap_or(0);
            let whole = end + 4 + length;
            if input.len() >= whole {
                request.body = input[end + 4..whole].to_vec();
                input.drain(..whole);
                return Ok(Some(request));
            }
        }
        if input.len() > MAX_REQUEST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    }
}

/// Encodes a response; `more` are further header lines.
pub fn reply(status: &str, more: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
