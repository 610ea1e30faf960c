//! Puts the jaspershunt module on a line-based wire: reads batches of events for many servers, hands each server's
//! events to its own [`jaspershunt::Controller`], and prints what they ask for. It translates and decides nothing.

mod line;

use jaspershunt::{Controller, Event};
use jaspershunt_settings::Names;
use line::{Fields, print_action, read_event};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Write as _};
use std::io::{self, BufRead, Write};

/// What went wrong on the wire, and where.
#[derive(Debug)]
pub struct Problem {
    batch: u64,
    line: u64,
    what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "batch {}, line {}: {}", self.batch, self.line, self.what)
    }
}

impl std::error::Error for Problem {}

/// A server's instance of the module, with the names that its settings gave.
pub(crate) struct Server {
    controller: Controller,
    names: Names,
    inbox: Vec<Event>,
}

/// Where the reader is: which batch, and which line counted from the first of the input.
#[derive(Default)]
struct Place {
    batch: u64,
    line: u64,
}

impl Place {
    fn problem(&self, what: impl Into<String>) -> Problem {
        Problem { batch: self.batch, line: self.line, what: what.into() }
    }

    /// The next line without its end, or `None` at the end of the input.
    fn next<'a>(
        &mut self,
        input: &mut impl BufRead,
        buffer: &'a mut String,
    ) -> Result<Option<&'a str>, Problem> {
        buffer.clear();
        self.line += 1;
        match input.read_line(buffer) {
            Ok(0) => Ok(None),
            Ok(_) => match buffer.strip_suffix('\n') {
                Some(text) => Ok(Some(text)),
                None => Err(self.problem("the input ends in the middle of a line")),
            },
            Err(e) => Err(self.problem(format!("cannot read: {e}"))),
        }
    }
}

/// Reads batches until the input ends and answers each.
///
/// # Errors
/// The first thing that is malformed, with its batch and line. Nothing is answered for the batch it is in.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), Problem> {
    let mut servers: BTreeMap<u64, Server> = BTreeMap::new();
    // Those that a batch holds events for; no others are looked at.
    let mut touched: BTreeSet<u64> = BTreeSet::new();
    let mut place = Place::default();
    let (mut buffer, mut reply, mut actions) = (String::new(), String::new(), Vec::new());
    while let Some(text) = place.next(&mut input, &mut buffer)? {
        if text.is_empty() {
            continue;
        }
        let mark = Fields::of(text).map_err(|what| place.problem(what))?;
        if mark.name != "MARK" {
            return Err(place.problem(format!("expected MARK, got {:?}", mark.name)));
        }
        let now = mark.seconds("tsS").map_err(|what| place.problem(what))?;
        place.batch = mark.whole("n").map_err(|what| place.problem(what))?;
        loop {
            let text = place.next(&mut input, &mut buffer)?;
            let text = text.ok_or_else(|| place.problem("the input ends in the middle of a batch"))?;
            if text == "EOF_BATCH" {
                break;
            }
            take_in(&mut servers, &mut touched, text).map_err(|what| place.problem(what))?;
        }
        reply.clear();
        while let Some(number) = touched.pop_first() {
            let Some(server) = servers.get_mut(&number) else { continue };
            server.controller.step(now, &server.inbox, &mut actions);
            server.inbox.clear();
            for action in actions.drain(..) {
                print_action(&mut reply, number, &action);
            }
        }
        let _ = writeln!(reply, "NEXT n={}", place.batch);
        let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
        written.map_err(|e: io::Error| place.problem(format!("cannot write: {e}")))?;
    }
    Ok(())
}

/// Takes in one line of a batch. A server begins at `HELLO` and ends at `KILL`; events without use are skipped.
fn take_in(
    servers: &mut BTreeMap<u64, Server>,
    touched: &mut BTreeSet<u64>,
    text: &str,
) -> Result<(), String> {
    let fields = Fields::of(text)?;
    match fields.name {
        "HELLO" => {
            let number = fields.whole("instance")?;
            let (settings, names) = jaspershunt_settings::read(fields.text("facts")?, "facts")?;
            let controller = Controller::new(settings).map_err(|e| e.to_string())?;
            servers.insert(number, Server { controller, names, inbox: Vec::new() });
            touched.insert(number);
        }
        "KILL" => {
            servers.remove(&fields.whole("instance")?);
        }
        name if line::KNOWN.contains(&name) => {
            let number = fields.whole("instance")?;
            let server = servers.get_mut(&number).ok_or_else(|| format!("no server {number} is running"))?;
            server.inbox.push(read_event(&fields, &server.names)?);
            touched.insert(number);
        }
        _ => {}
    }
    Ok(())
}
