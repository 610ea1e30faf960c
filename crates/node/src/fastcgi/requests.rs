//! Assembles the requests of one connection from its records, and answers the records that need no decision.

use super::records::*;
use crate::request::MAX_BODY_BYTES;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of open requests per connection.
pub const MAX_OPEN: usize = 32;
/// Maximum bytes of parameters of one request. The parameters used here take a tenth of that.
pub const MAX_PARAMS: usize = 8 * 1024;

/// Byte budget shared by all connections, so that no number of peers can exhaust the memory.
#[derive(Clone, Debug)]
pub struct Budget {
    used: Rc<Cell<usize>>,
    limit: usize,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(limit: usize) -> Budget {
        Budget { used: Rc::default(), limit }
    }

    /// Reserves bytes; returns whether they fit.
    pub fn take(&self, bytes: usize) -> bool {
        let used = self.used.get() + bytes;
        let fits = used <= self.limit;
        if fits {
            self.used.set(used);
        }
        fits
    }

    /// Reserves bytes even beyond the limit.
    pub fn take_beyond(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
    }

    /// Releases reserved bytes.
    pub fn give(&self, bytes: usize) {
        self.used.set(self.used.get().saturating_sub(bytes));
    }
}

/// Reservation of bytes of a budget, released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    taken: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    pub fn new(budget: Budget) -> Reservation {
        Reservation { budget, taken: 0 }
    }

    /// Grows or shrinks the reservation to this many bytes; returns whether they fit.
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

/// A completely read request.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteRequest {
    /// The request id on the connection.
    pub id: u16,
    /// The encoded parameters.
    pub params: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// Result of processing a record.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do yet.
    Nothing,
    /// A request is complete.
    Complete(CompleteRequest),
    /// The record belongs to no open request.
    Stray,
    /// A partial request exceeds the size limit. It is to be answered; its further records are stray.
    Oversize(u16),
    /// The caller aborted a complete request.
    Aborted(u16),
    /// A request ended before it was complete; the records written to `out` close it.
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
    /// Bytes reserved in the budget until the request is answered, since its content is kept until then.
    booked: usize,
}

/// The requests that are open on one connection.
pub struct Requests {
    open: BTreeMap<u16, OpenRequest>,
    budget: Budget,
}

impl Requests {
    /// Creates the state with no open requests.
    pub fn new(budget: Budget) -> Requests {
        Requests { open: BTreeMap::new(), budget }
    }

    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns the ids of complete requests that are not closed.
    pub fn unanswered(&self) -> impl Iterator<Item = u16> {
        self.open.iter().filter(|(_, open)| open.whole).map(|(id, _)| *id)
    }

    /// Closes an answered request; returns whether the connection is to be closed after it.
    pub fn close(&mut self, id: u16) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        self.budget.give(open.booked);
        !open.keep_conn
    }

    /// Closes the partial requests and writes to `out` that they never ran.
    pub fn refuse_unfinished(&mut self, out: &mut Vec<u8>) {
        let unfinished: Vec<u16> =
            self.open.iter().filter(|(_, open)| !open.whole).map(|(id, _)| *id).collect();
        for id in unfinished {
            put_end(out, id, ProtocolStatus::Overloaded);
            self.close(id);
        }
    }

    /// Processes a record. What can be answered at once is written to `out`.
    ///
    /// # Errors
    /// A begin record of the wrong length, or for a request that is already open.
    pub fn take(&mut self, record: &Record, out: &mut Vec<u8>) -> Result<Step, FramingError> {
        if record.id == 0 {
            answer_management_record(record, out);
            return Ok(Step::Stray);
        }
        if record.kind == kind::BEGIN_REQUEST {
            return self.begin(record, out);
        }
        // The protocol requires that records of closed requests are ignored.
        let Some(open) = self.open.get_mut(&record.id) else { return Ok(Step::Stray) };
        match record.kind {
            kind::ABORT_REQUEST if open.whole => return Ok(Step::Aborted(record.id)),
            kind::ABORT_REQUEST => {
                put_end(out, record.id, ProtocolStatus::RequestComplete);
                return Ok(Step::Ended { close: self.close(record.id) });
            }
            kind::PARAMS if !open.params_ended => {
                open.params_ended = record.content.is_empty();
                match open.append(|open| &mut open.params, record.content, MAX_PARAMS, &self.budget) {
                    AppendResult::Fits => {}
                    AppendResult::Oversize => return Ok(Step::Oversize(record.id)),
                    AppendResult::OutOfMemory => return Ok(self.overloaded(record.id, out)),
                }
            }
            kind::STDIN if !open.body_ended => {
                open.body_ended = record.content.is_empty();
                match open.append(|open| &mut open.body, record.content, MAX_BODY_BYTES, &self.budget) {
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
            // Later records could not be assigned to one of the two requests.
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

    /// Closes a request that exceeds the byte budget; it never runs.
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

/// Result of appending to a part of a request.
enum AppendResult {
    Fits,
    /// The part exceeds its size limit.
    Oversize,
    /// The byte budget is exhausted.
    OutOfMemory,
}

impl OpenRequest {
    /// Appends to a part of a request, within its size limit and the budget.
    fn append(
        &mut self,
        part: fn(&mut OpenRequest) -> &mut Vec<u8>,
        more: &[u8],
        limit: usize,
        budget: &Budget,
    ) -> AppendResult {
        if part(self).len() + more.len() > limit {
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
fn answer_management_record(record: &Record, out: &mut Vec<u8>) {
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
