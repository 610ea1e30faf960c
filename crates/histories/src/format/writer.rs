//! Writes a history while a process runs. Each line is passed to the operating system before the process
//! continues, so a kill loses at most the line that is being written.

use super::{Came, Line, MAX_LINE_BYTES, Op, Told, Who};
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Bytes reserved for the line that marks the file as full.
const FULL_BYTES: u64 = 64;

/// Why a record is not in the history.
#[derive(Debug)]
pub enum WriteError {
    /// The file cannot be written. The process has to stop, because its further operations would go
    /// unrecorded and unnoticed.
    Io(io::Error),
    /// An earlier write failed; the file may end in a torn line.
    Broken,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// The answer does not fit the operation, or an effect was to be written as a note, which could be lost
    /// with its line.
    Mismatch,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WriteError::Io(error) => write!(f, "the history cannot be written: {error}"),
            WriteError::Broken => write!(f, "an earlier write of the history failed"),
            WriteError::TooLong => write!(f, "the record is longer than {MAX_LINE_BYTES} bytes"),
            WriteError::Mismatch => write!(f, "the answer does not fit the operation"),
        }
    }
}

impl std::error::Error for WriteError {}

impl From<io::Error> for WriteError {
    fn from(error: io::Error) -> WriteError {
        WriteError::Io(error)
    }
}

/// An operation whose `begin` is written and whose `end` is not. If dropped, the operation stays unknown.
#[derive(Debug)]
pub struct Ticket {
    /// `None` if the file was full.
    id: Option<u64>,
    op: Op,
}

/// Writes the history of one incarnation of a process.
#[derive(Debug)]
pub struct Writer<W: Write> {
    to: W,
    written: u64,
    max_bytes: u64,
    next: u64,
    full: bool,
    broken: bool,
}

impl Writer<File> {
    /// Creates the file of this incarnation, `PROCESS-INCARNATION.history`.
    ///
    /// # Errors
    /// The file cannot be written or already exists: an incarnation has one history.
    pub fn create(folder: &Path, who: &Who, max_bytes: u64) -> Result<Writer<File>, WriteError> {
        let name = format!("{}-{}.history", who.process.replace(['/', '\0'], "_"), who.incarnation);
        Writer::new(OpenOptions::new().write(true).create_new(true).open(folder.join(name))?, who, max_bytes)
    }
}

impl<W: Write> Writer<W> {
    /// Starts a history of limited size.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn new(to: W, who: &Who, max_bytes: u64) -> Result<Writer<W>, WriteError> {
        let mut writer = Writer { to, written: 0, max_bytes, next: 1, full: false, broken: false };
        writer.line(0, &Line::Head { format: super::FORMAT.to_owned(), who: who.clone() })?;
        Ok(writer)
    }

    /// Whether the file is full, so that nothing more is written.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Records that a request is about to be sent. It must not be sent before this has returned.
    ///
    /// # Errors
    /// The record is not written.
    pub fn begin(&mut self, at: u64, op: Op) -> Result<Ticket, WriteError> {
        let id = self.next;
        self.next += 1;
        let line = Line::Begin { id, at, op };
        let written = self.line(at, &line)?;
        let Line::Begin { op, .. } = line else { return Err(WriteError::Mismatch) };
        Ok(Ticket { id: written.then_some(id), op })
    }

    /// Records the result of an operation.
    ///
    /// # Errors
    /// The record is not written, and the operation stays unknown.
    pub fn end(&mut self, ticket: Ticket, at: u64, came: Came) -> Result<(), WriteError> {
        if let Came::Ok(told) = &came
            && !ticket.op.accepts(told)
        {
            return Err(WriteError::Mismatch);
        }
        if let Some(id) = ticket.id {
            self.line(at, &Line::End { id, at, came })?;
        }
        Ok(())
    }

    /// Records an observation at this moment.
    ///
    /// # Errors
    /// The record is not written.
    pub fn note(&mut self, at: u64, op: Op, told: Told) -> Result<(), WriteError> {
        // Guards against an effect that happened and is not recorded because its process was killed while
        // writing the line.
        if matches!(op, Op::Effect { .. }) || !op.accepts(&told) {
            return Err(WriteError::Mismatch);
        }
        self.line(at, &Line::Note { at, op, told })?;
        Ok(())
    }

    /// Marks the history as incomplete: a record was lost, and later ones are missing.
    ///
    /// # Errors
    /// The mark is not written.
    pub fn cut(&mut self, at: u64) -> Result<(), WriteError> {
        if self.broken {
            return Err(WriteError::Broken);
        }
        if !self.full {
            self.full = true;
            self.write(&to_line(&Line::Full { at })?)?;
        }
        Ok(())
    }

    /// Writes a whole line; returns whether there was room.
    fn line(&mut self, at: u64, line: &Line) -> Result<bool, WriteError> {
        if self.broken {
            return Err(WriteError::Broken);
        }
        if self.full {
            return Ok(false);
        }
        let bytes = to_line(line)?;
        if bytes.len() > MAX_LINE_BYTES {
            return Err(WriteError::TooLong);
        }
        let fits = self.written + bytes.len() as u64 + FULL_BYTES <= self.max_bytes;
        if fits {
            self.write(&bytes)?;
        } else {
            self.cut(at)?;
        }
        Ok(fits)
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), WriteError> {
        if let Err(error) = self.to.write_all(bytes).and_then(|()| self.to.flush()) {
            self.broken = true;
            return Err(error.into());
        }
        self.written += bytes.len() as u64;
        Ok(())
    }
}

fn to_line(line: &Line) -> io::Result<Vec<u8>> {
    let mut bytes = serde_json::to_vec(line)?;
    bytes.push(b'\n');
    Ok(bytes)
}
