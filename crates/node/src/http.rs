//! A minimal HTTP/1.1 client for the database and the directory: one call at a time on a connection.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use winnow::Parser;
use winnow::ascii::{crlf, dec_uint, space0};
use winnow::combinator::{opt, preceded, repeat_till};
use winnow::token::{take_till, take_while};

/// Maximum sizes of a reply's head and body.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of interim responses before a reply.
const MAX_INTERIM: usize = 8;
/// First bytes of each reply.
const STATUS_LINE_PREFIX: &[u8] = b"HTTP/1.";

/// The head of a reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// The length of the body.
    pub length: usize,
    /// The server closes the connection after the body.
    pub close: bool,
    /// Whether the header `Never-Started: 1` is present: the request never ran.
    pub never_started: bool,
}

/// A complete reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection can be reused: no bytes followed this reply, and the server keeps it open.
    pub reusable: bool,
}

fn header<'a>(input: &mut &'a [u8]) -> winnow::ModalResult<(&'a [u8], &'a [u8])> {
    let name = take_while(1.., |b: u8| b.is_ascii_graphic() && b != b':');
    (name, (b":", space0), take_till(0.., (b'\r', b'\n')), crlf)
        .map(|(name, _, value, _)| (name, value))
        .parse_next(input)
}

fn head(input: &mut &[u8]) -> winnow::ModalResult<Head> {
    let version = preceded(b"HTTP/1.", winnow::binary::u8.verify(u8::is_ascii_digit));
    let reason = opt((b" ", take_till(0.., (b'\r', b'\n'))));
    let (version, _, status, _, _) =
        (version, b" ", dec_uint::<_, u16, _>, reason, crlf).parse_next(input)?;
    let (headers, _): (Vec<_>, _) = repeat_till(0.., header, crlf).parse_next(input)?;
    let values = |name: &'static str| {
        headers
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, v)| v.trim_ascii())
    };
    let value = |name| values(name).next();
    // The body length must be given unambiguously, or else a truncated body could not be recognized.
    let mut lengths = values("Content-Length");
    let length = match (lengths.next(), value("Transfer-Encoding")) {
        (Some(text), None) if lengths.all(|other| other == text) => match digits(text) {
            Some(length) => length,
            None => return winnow::combinator::fail.parse_next(input),
        },
        (None, None) if status < 200 || status == 204 || status == 304 => 0,
        _ => return winnow::combinator::fail.parse_next(input),
    };
    let close = match value("Connection") {
        Some(text) => text.eq_ignore_ascii_case(b"close"),
        None => version == b'0',
    };
    Ok(Head { status, length, close, never_started: value("Never-Started") == Some(b"1") })
}

/// Parses a number written in digits only.
fn digits(text: &[u8]) -> Option<usize> {
    let text = std::str::from_utf8(text).ok().filter(|text| text.bytes().all(|b| b.is_ascii_digit()))?;
    text.parse().ok()
}

/// Parses the head at the start of `bytes`, and returns it with its length; `None` while it is incomplete.
///
/// # Errors
/// The bytes are not the head of a reply, or it is not supported.
pub fn read_head(bytes: &[u8]) -> io::Result<Option<(Head, usize)>> {
    let unreadable = || io::Error::from(io::ErrorKind::InvalidData);
    // Detects garbage by its first bytes instead of waiting for its end.
    if !bytes.iter().zip(STATUS_LINE_PREFIX).all(|(byte, expected)| byte == expected) {
        return Err(unreadable());
    }
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() > MAX_HEAD_BYTES { Err(unreadable()) } else { Ok(None) };
    };
    let whole = end + 4;
    match head.parse(&bytes[..whole]) {
        Ok(head) if head.length <= MAX_BODY_BYTES => Ok(Some((head, whole))),
        _ => Err(unreadable()),
    }
}

/// Makes a call on a connection, which may be reused only if [`Reply::reusable`] is set.
///
/// # Errors
/// The connection broke or the reply is invalid: the outcome of the call is unknown.
pub async fn call(stream: &mut TcpStream, request: &[u8]) -> io::Result<Reply> {
    stream.write_all(request).await?;
    let mut input = Vec::with_capacity(1024);
    let mut interim = 0;
    let (head, start) = loop {
        match read_head(&input)? {
            Some((head, whole)) if (100..200).contains(&head.status) && head.status != 101 => {
                interim += 1;
                if interim > MAX_INTERIM || head.length > 0 {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                input.drain(..whole);
                continue;
            }
            Some(head) => break head,
            None => {}
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let end = start + head.length;
    while input.len() < end {
        if stream.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let reusable = input.len() == end && !head.close;
    input.truncate(end);
    Ok(Reply { head, body: input.split_off(start), reusable })
}
