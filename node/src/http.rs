//! As much of an HTTP/1.1 client as the database and the directory need: one call at a time on a connection.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use winnow::Parser;
use winnow::ascii::{crlf, dec_uint, space0};
use winnow::combinator::{opt, preceded, repeat_till};
use winnow::token::{take_till, take_while};

/// The longest head and body of a reply.
const MAX_HEAD: usize = 8 * 1024;
const MAX_BODY: usize = 64 * 1024;

/// The head of a reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Head {
    /// The status.
    pub status: u16,
    /// The length of the body, where it is told.
    pub length: Option<usize>,
    /// The connection is closed behind the body.
    pub close: bool,
    /// The header `Never-Started: 1` is there: what was asked for never ran.
    pub never_started: bool,
}

/// A whole reply.
#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    /// The head.
    pub head: Head,
    /// The body.
    pub body: Vec<u8>,
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
    let value = |name: &str| {
        let of = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))?;
        Some(of.1.trim_ascii())
    };
    let length = match value("Content-Length") {
        // A length that is no number would lose the end of the body.
        Some(text) => match std::str::from_utf8(text).ok().and_then(|text| text.parse().ok()) {
            Some(length) => Some(length),
            None => return winnow::combinator::fail.parse_next(input),
        },
        None if value("Transfer-Encoding").is_some() => return winnow::combinator::fail.parse_next(input),
        None if status == 204 || status == 304 => Some(0),
        None => None,
    };
    let close = match value("Connection") {
        Some(text) => text.eq_ignore_ascii_case(b"close"),
        None => version == b'0',
    };
    Ok(Head { status, length, close, never_started: value("Never-Started") == Some(b"1") })
}

/// Reads the head at the front of `bytes`, with its length; `None` while it is not whole.
///
/// # Errors
/// What stands there is no head of a reply, or one that is not understood here.
pub fn read_head(bytes: &[u8]) -> io::Result<Option<(Head, usize)>> {
    let unreadable = || io::Error::from(io::ErrorKind::InvalidData);
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() > MAX_HEAD { Err(unreadable()) } else { Ok(None) };
    };
    let whole = end + 4;
    match head.parse(&bytes[..whole]) {
        Ok(head) if head.length.is_none_or(|length| length <= MAX_BODY) => Ok(Some((head, whole))),
        _ => Err(unreadable()),
    }
}

/// Makes a call on a connection. The connection serves for another one if the reply says so; see [`reusable`].
///
/// # Errors
/// The connection broke or the reply cannot be read: nothing is known of what became of the call.
pub async fn call(stream: &mut TcpStream, request: &[u8]) -> io::Result<Reply> {
    stream.write_all(request).await?;
    let mut input = Vec::with_capacity(1024);
    let (head, start) = loop {
        if let Some(head) = read_head(&input)? {
            break head;
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let most = start + head.length.unwrap_or(MAX_BODY);
    while input.len() < most {
        if stream.read_buf(&mut input).await? == 0 {
            if head.length.is_some() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            break;
        }
    }
    if input.len() > most {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(Reply { head, body: input.split_off(start) })
}

/// Whether a connection can carry another call after this reply.
pub fn reusable(reply: &Reply) -> bool {
    reply.head.length.is_some() && !reply.head.close
}
