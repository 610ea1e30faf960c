//! Connects the decision module to a line-based protocol: reads batches of events for many servers, passes
//! each server's events to its own [`jaspershunt::Controller`], and prints the actions. It makes no
//! decisions.

mod line;

use jaspershunt::{Controller, Event};
use jaspershunt_settings::Names;
use line::{Fields, print_action, read_event};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};
use std::io::{self, BufRead, Write};

/// An error in the input or output, with its position.
#[derive(Debug)]
pub struct ProtocolError {
    batch: u64,
    line: u64,
    message: String,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "batch {}, line {}: {}", self.batch, self.line, self.message)
    }
}

impl std::error::Error for ProtocolError {}

/// The controller of one server, with the names from its settings.
pub(crate) struct Server {
    controller: Controller,
    names: Names,
    inbox: Vec<Event>,
}

/// The position in the input: the batch, and the line counted from the start of the input.
#[derive(Default)]
struct Position {
    batch: u64,
    line: u64,
}

impl Position {
    fn error(&self, message: impl Into<String>) -> ProtocolError {
        ProtocolError { batch: self.batch, line: self.line, message: message.into() }
    }

    /// Reads the next line without its line break; returns `None` at the end of the input.
    fn next<'a>(
        &mut self,
        input: &mut impl BufRead,
        buffer: &'a mut String,
    ) -> Result<Option<&'a str>, ProtocolError> {
        buffer.clear();
        self.line += 1;
        match input.read_line(buffer) {
            Ok(0) => Ok(None),
            Ok(_) => match buffer.strip_suffix('\n') {
                Some(text) => Ok(Some(text)),
                None => Err(self.error("the input ends in the middle of a line")),
            },
            Err(e) => Err(self.error(format!("cannot read: {e}"))),
        }
    }
}

/// Reads batches until the input ends and answers each.
///
/// # Errors
/// The first malformed line. Its batch gets no answer.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), ProtocolError> {
    let mut servers: BTreeMap<u64, Server> = BTreeMap::new();
    // Servers with events in the current batch; only these are stepped.
    let mut with_events: BTreeSet<u64> = BTreeSet::new();
    let mut position = Position::default();
    let (mut buffer, mut reply, mut actions) = (String::new(), String::new(), Vec::new());
    while let Some(text) = position.next(&mut input, &mut buffer)? {
        if text.is_empty() {
            continue;
        }
        let mark = Fields::parse(text).map_err(|message| position.error(message))?;
        if mark.name != "MARK" {
            return Err(position.error(format!("expected MARK, got {:?}", mark.name)));
        }
        let now = mark.seconds("tsS").map_err(|message| position.error(message))?;
        position.batch = mark.whole("n").map_err(|message| position.error(message))?;
        loop {
            let text = position.next(&mut input, &mut buffer)?;
            let text = text.ok_or_else(|| position.error("the input ends in the middle of a batch"))?;
            if text == "EOF_BATCH" {
                break;
            }
            handle_line(&mut servers, &mut with_events, text).map_err(|message| position.error(message))?;
        }
        reply.clear();
        while let Some(number) = with_events.pop_first() {
            let Some(server) = servers.get_mut(&number) else { continue };
            server.controller.step(now, &server.inbox, &mut actions);
            server.inbox.clear();
            for action in actions.drain(..) {
                print_action(&mut reply, number, &action);
            }
        }
        let _ = writeln!(reply, "NEXT n={}", position.batch);
        let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
        written.map_err(|e: io::Error| position.error(format!("cannot write: {e}")))?;
    }
    Ok(())
}

/// Handles one line of a batch. `HELLO` starts a server and `KILL` ends it; unknown events are ignored.
fn handle_line(
    servers: &mut BTreeMap<u64, Server>,
    with_events: &mut BTreeSet<u64>,
    text: &str,
) -> Result<(), String> {
    let fields = Fields::parse(text)?;
    match fields.name {
        "HELLO" => {
            let number = fields.whole("instance")?;
            let (settings, names) = jaspershunt_settings::read(fields.text("facts")?, "facts")?;
            let controller = Controller::new(settings).map_err(|e| e.to_string())?;
            servers.insert(number, Server { controller, names, inbox: Vec::new() });
            with_events.insert(number);
        }
        "KILL" => {
            servers.remove(&fields.whole("instance")?);
        }
        name if line::EVENT_NAMES.contains(&name) => {
            let number = fields.whole("instance")?;
            let server = servers.get_mut(&number).ok_or_else(|| format!("no server {number} is running"))?;
            server.inbox.push(read_event(&fields, &server.names)?);
            with_events.insert(number);
        }
        _ => {}
    }
    Ok(())
}
