//! Puts the requests of one connection together from its records, and answers the records that need no decision.

use super::records::*;
use crate::request::MAX_BODY;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Requests that may be open on a connection.
pub const MAX_OPEN: usize = 32;
/// The most bytes of parameters of one request; those that are asked for take a tenth of that.
pub const MAX_PARAMS: usize = 8 * 1024;

/// Bytes that all connections together may hold, so that no number of peers can take the memory.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Rc<Cell<usize>>,
    most: usize,
}

impl Budget {
    /// Nothing is used yet.
    pub fn new(most: usize) -> Budget {
        Budget { used: Rc::default(), most }
    }

    /// Takes so many bytes; whether there was room.
    pub fn take(&self, bytes: usize) -> bool {
        let used = self.used.get() + bytes;
        let fits = used <= self.most;
        if fits {
            self.used.set(used);
        }
        fits
    }

    /// Takes so many bytes whether or not there is room.
    pub fn take_beyond(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
    }

    /// Gives back what was taken.
    pub fn give(&self, bytes: usize) {
        self.used.set(self.used.get().saturating_sub(bytes));
    }
}

/// Bytes of a budget that are given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    taken: usize,
}

impl Reservation {
    /// None is taken yet.
    pub fn new(budget: Budget) -> Reservation {
        Reservation { budget, taken: 0 }
    }

    /// Takes or gives back until so many bytes are taken; whether there was room for them.
    pub fn set(&mut self, bytes: usize) -> bool {
        if bytes > self.taken && !self.budget.take(bytes - self.taken) {
            return false;
        }
        self.budget.give(self.taken.saturating_sub(bytes));
        self.taken = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give(self.taken);
    }
}

/// A request whose last byte was read.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteRequest {
    /// Its id on the connection.
    pub id: u16,
    /// The parameters, still packed.
    pub params: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// What a record led to.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Nothing,
    /// A request is whole.
    Complete(CompleteRequest),
    /// The record belongs to no open request.
    Stray,
    /// A request that is not whole is over its size already. It is to be answered; the rest of it is stray then.
    Oversize(u16),
    /// The caller of a whole request has gone.
    Aborted(u16),
    /// A request ended before it was whole, with what was written to `out`.
    Ended {
        /// Whether the connection is to be closed.
        close: bool,
    },
}

struct OpenRequest {
    keep_conn: bool,
    params: Vec<u8>,
    params_ended: bool,
    body: Vec<u8>,
    body_ended: bool,
    whole: bool,
    /// Bytes taken from the budget. They stay booked until the request is answered, since what was read of it is
    /// held until then.
    booked: usize,
}

/// The requests that are open on one connection.
pub struct Requests {
    open: BTreeMap<u16, OpenRequest>,
    budget: Budget,
}

impl Requests {
    /// None are open.
    pub fn new(budget: Budget) -> Requests {
        Requests { open: BTreeMap::new(), budget }
    }

    /// How many are open.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none are open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The whole ones that have not been closed.
    pub fn unanswered(&self) -> impl Iterator<Item = u16> {
        self.open.iter().filter(|(_, open)| open.whole).map(|(id, _)| *id)
    }

    /// A request was answered; whether the connection is to be closed after it.
    pub fn close(&mut self, id: u16) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        self.budget.give(open.booked);
        !open.keep_conn
    }

    /// Closes the requests that are not whole: they never ran, as `out` says.
    pub fn refuse_unfinished(&mut self, out: &mut Vec<u8>) {
        let unfinished: Vec<u16> =
            self.open.iter().filter(|(_, open)| !open.whole).map(|(id, _)| *id).collect();
        for id in unfinished {
            put_end(out, id, ProtocolStatus::Overloaded);
            self.close(id);
        }
    }

    /// Takes in a record. What can be answered at once is written to `out`.
    ///
    /// # Errors
    /// A record that begins a request and has another length than such a record has.
    pub fn take(&mut self, record: &Record, out: &mut Vec<u8>) -> Result<Step, FramingError> {
        if record.id == 0 {
            manage(record, out);
            return Ok(Step::Stray);
        }
        if record.kind == kind::BEGIN_REQUEST {
            return self.begin(record, out);
        }
        // Records of requests that are not open are left over from answered ones: the protocol has them ignored.
        let Some(open) = self.open.get_mut(&record.id) else { return Ok(Step::Stray) };
        match record.kind {
            kind::ABORT_REQUEST if open.whole => return Ok(Step::Aborted(record.id)),
            kind::ABORT_REQUEST => {
                put_end(out, record.id, ProtocolStatus::RequestComplete);
                return Ok(Step::Ended { close: self.close(record.id) });
            }
            kind::PARAMS if !open.params_ended => {
                open.params_ended = record.content.is_empty();
                match open.grow(|open| &mut open.params, record.content, MAX_PARAMS, &self.budget) {
                    AppendResult::Fits => {}
                    AppendResult::Oversize => return Ok(Step::Oversize(record.id)),
                    AppendResult::OutOfMemory => return Ok(self.overloaded(record.id, out)),
                }
            }
            kind::STDIN if !open.body_ended => {
                open.body_ended = record.content.is_empty();
                match open.grow(|open| &mut open.body, record.content, MAX_BODY, &self.budget) {
                    AppendResult::Fits => {}
                    AppendResult::Oversize => return Ok(Step::Oversize(record.id)),
                    AppendResult::OutOfMemory => return Ok(self.overloaded(record.id, out)),
                }
            }
            _ => return Ok(Step::Stray),
        }
        if open.whole || !open.params_ended || !open.body_ended {
            return Ok(Step::Nothing);
        }
        open.whole = true;
        let (params, body) = (std::mem::take(&mut open.params), std::mem::take(&mut open.body));
        Ok(Step::Complete(CompleteRequest { id: record.id, params, body }))
    }

    fn begin(&mut self, record: &Record, out: &mut Vec<u8>) -> Result<Step, FramingError> {
        let begin = begin(record.content)?;
        if self.open.contains_key(&record.id) {
            // Which of the two the records to come belong to cannot be told.
            return Err(FramingError);
        }
        if begin.role != RESPONDER {
            put_end(out, record.id, ProtocolStatus::UnknownRole);
            return Ok(Step::Ended { close: !begin.keep_conn });
        }
        if self.open.len() >= MAX_OPEN {
            put_end(out, record.id, ProtocolStatus::Overloaded);
            return Ok(Step::Ended { close: !begin.keep_conn });
        }
        let open = OpenRequest {
            keep_conn: begin.keep_conn,
            params: Vec::new(),
            params_ended: false,
            body: Vec::new(),
            body_ended: false,
            whole: false,
            booked: 0,
        };
        self.open.insert(record.id, open);
        Ok(Step::Nothing)
    }

    /// There is no memory for more of this request, which therefore never runs.
    fn overloaded(&mut self, id: u16, out: &mut Vec<u8>) -> Step {
        put_end(out, id, ProtocolStatus::Overloaded);
        Step::Ended { close: self.close(id) }
    }
}

impl Drop for Requests {
    fn drop(&mut self) {
        let bytes = self.open.values().map(|open| open.booked).sum();
        self.budget.give(bytes);
    }
}

/// What became of a part of a request that grows.
enum AppendResult {
    Fits,
    /// It is over its size.
    Oversize,
    /// There is no memory for it.
    OutOfMemory,
}

impl OpenRequest {
    /// Appends to a part of a request.
    fn grow(
        &mut self,
        part: fn(&mut OpenRequest) -> &mut Vec<u8>,
        more: &[u8],
        most: usize,
        budget: &Budget,
    ) -> AppendResult {
        if part(self).len() + more.len() > most {
            return AppendResult::Oversize;
        }
        if !budget.take(more.len()) {
            return AppendResult::OutOfMemory;
        }
        self.booked += more.len();
        part(self).extend(more);
        AppendResult::Fits
    }
}

/// Answers a management record.
fn manage(record: &Record, out: &mut Vec<u8>) {
    if record.kind != kind::GET_VALUES {
        put_record(out, kind::UNKNOWN_TYPE, 0, &[record.kind, 0, 0, 0, 0, 0, 0, 0]);
        return;
    }
    let mut values = Vec::new();
    let wanted = pairs(record.content).unwrap_or_default();
    for (name, value) in [("FCGI_MAX_CONNS", "512"), ("FCGI_MAX_REQS", "16384"), ("FCGI_MPXS_CONNS", "1")] {
        if wanted.iter().any(|(n, _)| *n == name.as_bytes()) {
            put_pair(&mut values, name.as_bytes(), value.as_bytes());
        }
    }
    put_record(out, kind::GET_VALUES_RESULT, 0, &values);
}
