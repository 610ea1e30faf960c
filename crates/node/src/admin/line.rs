//! Parses operators' calls and formats the answers, without I/O.

use std::fmt;
use winnow::ascii::{Caseless, dec_uint, space0, space1};
use winnow::combinator::{alt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

/// Maximum line length with its terminator. The longest call takes a tenth of that.
pub const MAX_LINE: usize = 128;

/// Operators' calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process accepts clients.
    Ping,
    /// Asks for the figures.
    Info,
    /// Sends clients away.
    Lameduck,
    /// Accepts clients again.
    Rejoin,
    /// A call on the fleet.
    Fleet(Fleet),
    /// Asks for this nodo's steering table.
    Steering,
    /// A call on the route table.
    Routes(Routes),
}

/// Calls on the route table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routes {
    /// Asks for the table, local and replicated.
    Show,
    /// Submits the message of this many bytes after the line.
    Say(usize),
}

/// Calls on the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fleet {
    /// Asks for the replicated state.
    Show,
    /// Runs a task now.
    Run(String),
    /// Pauses a task.
    Pause(String),
    /// Resumes a task.
    Resume(String),
    /// Revokes a lease from its holder.
    Release(String),
}

/// Reason why a line is not a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoCall {
    /// The line is too long.
    TooLong,
    /// The call is unknown.
    Unknown,
    /// The line was not complete in time.
    Unfinished,
}

impl fmt::Display for NoCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoCall::TooLong => write!(f, "the line is over {MAX_LINE} bytes"),
            NoCall::Unknown => write!(f, "unknown call; known are PING, INFO, LAMEDUCK and REJOIN"),
            NoCall::Unfinished => write!(f, "no whole line came in time"),
        }
    }
}

/// Parses the call from the input so far; `None` while its line is incomplete. A line ends with LF or CRLF.
/// Input after the first line is ignored, since a connection carries one call.
///
/// # Errors
/// The line is not a call, or is too long.
pub fn read(input: &[u8]) -> Result<Option<Call>, NoCall> {
    let Some(end) = input.iter().take(MAX_LINE).position(|b| *b == b'\n') else {
        return if input.len() < MAX_LINE { Ok(None) } else { Err(NoCall::TooLong) };
    };
    let line = &input[..end];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    call.parse(line).map(Some).map_err(|_| NoCall::Unknown)
}

fn call(line: &mut &[u8]) -> ModalResult<Call> {
    let word = alt((
        Caseless("PING").value(Call::Ping),
        Caseless("INFO").value(Call::Info),
        Caseless("LAMEDUCK").value(Call::Lameduck),
        Caseless("REJOIN").value(Call::Rejoin),
        (Caseless("STEERING"), space1, Caseless("SHOW")).value(Call::Steering),
        preceded((Caseless("FLEET"), space1), fleet).map(Call::Fleet),
        preceded((Caseless("ROUTES"), space1), routes).map(Call::Routes),
    ));
    terminated(word, space0).parse_next(line)
}

fn fleet(line: &mut &[u8]) -> ModalResult<Fleet> {
    let name = || {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._/".contains(&b);
        preceded(space1, take_while(1..=64, plain))
            .map(|name: &[u8]| String::from_utf8_lossy(name).into_owned())
    };
    alt((
        Caseless("SHOW").value(Fleet::Show),
        preceded(Caseless("RUN"), name()).map(Fleet::Run),
        preceded(Caseless("PAUSE"), name()).map(Fleet::Pause),
        preceded(Caseless("RESUME"), name()).map(Fleet::Resume),
        preceded(Caseless("RELEASE"), name()).map(Fleet::Release),
    ))
    .parse_next(line)
}

fn routes(line: &mut &[u8]) -> ModalResult<Routes> {
    alt((
        Caseless("SHOW").value(Routes::Show),
        preceded((Caseless("SAY"), space1), dec_uint::<_, u32, _>).map(|bytes| Routes::Say(bytes as usize)),
    ))
    .parse_next(line)
}

/// Answers to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Success, with a remark.
    Yes(&'static str),
    /// Success, with its result.
    Done(String),
    /// Success, with the figures.
    Figures(String),
    /// Failure, with its reason.
    No(String),
}

impl Answer {
    /// Formats the answer for the wire.
    pub fn text(&self) -> String {
        match self {
            Answer::Done(what) => format!("+OK {what}\r\n"),
            Answer::Yes(remark) => format!("+OK {remark}\r\n"),
            Answer::Figures(figures) => format!("{figures}\r\n.\r\n"),
            Answer::No(why) => format!("-ERR {why}\r\n"),
        }
    }
}

#[cfg(test)]
mod tests;
