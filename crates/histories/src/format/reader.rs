//! Reads a history: combines its lines into operations.

use super::{Came, FORMAT, Line, MAX_FILE_BYTES, MAX_LINE_BYTES, Record, Who};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Read};

/// Why a file is incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The writer marked it as full.
    Full,
    /// A line is invalid.
    Damaged {
        /// The line number, from 1 on.
        line: usize,
        /// What is wrong with it.
        why: String,
    },
    /// It is longer than [`MAX_FILE_BYTES`].
    TooLarge,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cut::Full => write!(f, "the file was full"),
            Cut::Damaged { line, why } => write!(f, "line {line} is damaged: {why}"),
            Cut::TooLarge => write!(f, "the file is longer than {MAX_FILE_BYTES} bytes"),
        }
    }
}

/// The content of a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct File {
    /// The writer; `None` if its process was killed before that was written, in which case it did nothing.
    pub who: Option<Who>,
    /// The operations, in the order in which they began.
    pub records: Vec<Record>,
    /// Whether the last line is torn. Nothing is lost by that: an operation without its `begin` was not
    /// requested, and one without its `end` is unknown.
    pub torn: bool,
    /// Whether records are missing, and why.
    pub cut: Option<Cut>,
}

/// Reads a file to its end, or up to the first invalid line.
///
/// # Errors
/// The file cannot be read.
pub fn read(from: impl BufRead) -> io::Result<File> {
    read_at_most(from, MAX_FILE_BYTES)
}

pub(super) fn read_at_most(from: impl BufRead, max_bytes: u64) -> io::Result<File> {
    let mut from = from.take(max_bytes + 1);
    let (mut file, mut open, mut line) = (File::default(), BTreeMap::new(), Vec::new());
    for number in 1.. {
        line.clear();
        let read = from.by_ref().take(MAX_LINE_BYTES as u64 + 1).read_until(b'\n', &mut line)?;
        if read == 0 {
            break;
        }
        if from.limit() == 0 {
            file.cut = Some(Cut::TooLarge);
            break;
        }
        if line.last() != Some(&b'\n') && read <= MAX_LINE_BYTES {
            file.torn = true;
            break;
        }
        match handle_line(&mut file, &mut open, &line) {
            Ok(true) => {}
            Ok(false) => {
                file.cut = Some(Cut::Full);
                break;
            }
            Err(why) => {
                file.cut = Some(Cut::Damaged { line: number, why });
                break;
            }
        }
    }
    Ok(file)
}

/// Handles a line; returns whether more lines may follow.
fn handle_line(file: &mut File, open: &mut BTreeMap<u64, usize>, line: &[u8]) -> Result<bool, String> {
    let line = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    if let Line::Head { format, who } = line {
        if format != FORMAT {
            return Err(format!("the format is {format}, not {FORMAT}"));
        }
        return match file.who.replace(who) {
            Some(_) => Err("a second head line".into()),
            None => Ok(true),
        };
    }
    let Some(who) = file.who.clone() else { return Err("the first line does not name the writer".into()) };
    match line {
        Line::Head { .. } => {}
        Line::Begin { id, at, op } => {
            if open.insert(id, file.records.len()).is_some() {
                return Err(format!("{id} begins twice"));
            }
            file.records.push(Record { who, op, begin: at, end: None, came: Came::Unknown });
        }
        Line::End { id, at, came } => {
            let Some(place) = open.remove(&id) else { return Err(format!("{id} ends without a begin")) };
            let record = &mut file.records[place];
            if at < record.begin {
                return Err(format!("{id} ends before it begins"));
            }
            if let Came::Ok(told) = &came
                && !record.op.accepts(told)
            {
                return Err(format!("the answer to {id} does not fit its operation"));
            }
            (record.end, record.came) = (Some(at), came);
        }
        Line::Note { at, op, told } => {
            if !op.accepts(&told) {
                return Err("the answer of a note does not fit its operation".into());
            }
            file.records.push(Record { who, op, begin: at, end: Some(at), came: Came::Ok(told) });
        }
        Line::Full { .. } => return Ok(false),
    }
    Ok(true)
}
