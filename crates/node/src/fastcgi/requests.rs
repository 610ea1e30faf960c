//! Assembles the requests of one connection from its records, and answers the records that need no decision.
//!
//! Nothing is refused here: a refusal promises that no try of the request ran, and only the engine knows that.

use super::memory::{Booking, RequestMemory};
use super::records::*;
use crate::request::MAX_BODY_BYTES;
use std::collections::BTreeMap;

/// Maximum number of open requests per connection.
pub const MAX_OPEN: usize = 32;
/// Maximum number of requests per connection that wait for a reply: the open ones, and as many again that were
/// begun beyond that limit or aborted.
pub const MAX_AWAITED: usize = 2 * MAX_OPEN;
/// Maximum bytes of parameters of one request. The parameters used here take a tenth of that.
pub const MAX_PARAMS: usize = 8 * 1024;

/// A completely read request.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteRequest {
    /// The request id on the connection.
    pub id: u16,
    /// The encoded parameters.
    pub params: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether there is room to keep it until it has run. Without room it is only looked up whether its key ran.
    pub has_room: bool,
}

/// A request that will not be read to its end.
#[derive(Debug, PartialEq, Eq)]
pub struct UnfinishedRequest {
    /// The request id on the connection.
    pub id: u16,
    /// The encoded parameters, as far as they were read.
    pub params: Vec<u8>,
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
    /// There is no room to read a request to its end. It is to be answered; its further records are stray.
    Unreadable(UnfinishedRequest),
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
    /// Whether it was begun while `MAX_OPEN` others were open.
    excess: bool,
    /// Whether the caller has aborted it: it no longer counts as open, but its id is still in use.
    aborted: bool,
    /// Memory reserved until the request is answered, since its content is kept until then.
    booking: Booking,
}

/// The requests that are open on one connection.
pub struct Requests {
    open: BTreeMap<u16, OpenRequest>,
    memory: RequestMemory,
}

impl Requests {
    /// Creates the state with no open requests.
    pub fn new(memory: RequestMemory) -> Requests {
        Requests { open: BTreeMap::new(), memory }
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
        self.memory.release(open.booking);
        !open.keep_conn
    }

    /// Returns the partial requests, which stay open until they are closed. Further records of them are not
    /// expected.
    pub fn take_unfinished(&mut self) -> Vec<UnfinishedRequest> {
        let unfinished = self.open.iter_mut().filter(|(_, open)| !open.whole);
        unfinished.map(|(id, open)| UnfinishedRequest::take(*id, open)).collect()
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
            kind::ABORT_REQUEST if open.whole => {
                open.aborted = true;
                return Ok(Step::Aborted(record.id));
            }
            kind::ABORT_REQUEST => {
                put_end(out, record.id, ProtocolStatus::RequestComplete);
                return Ok(Step::Ended { close: self.close(record.id) });
            }
            kind::PARAMS if !open.params_ended => {
                open.params_ended = record.content.is_empty();
                match open.append(|open| &mut open.params, record.content, MAX_PARAMS, &self.memory) {
                    AppendResult::Fits => {}
                    AppendResult::Oversize => return Ok(Step::Oversize(record.id)),
                    AppendResult::OutOfMemory => {
                        return Ok(Step::Unreadable(UnfinishedRequest::take(record.id, open)));
                    }
                }
            }
            kind::STDIN if !open.body_ended => {
                open.body_ended = record.content.is_empty();
                match open.append(|open| &mut open.body, record.content, MAX_BODY_BYTES, &self.memory) {
                    AppendResult::Fits => {}
                    AppendResult::Oversize => return Ok(Step::Oversize(record.id)),
                    AppendResult::OutOfMemory => {
                        return Ok(Step::Unreadable(UnfinishedRequest::take(record.id, open)));
                    }
                }
            }
            _ => return Ok(Step::Stray),
        }
        if open.whole || !open.params_ended || !open.body_ended {
            return Ok(Step::Nothing);
        }
        open.whole = true;
        let has_room = !open.excess && self.memory.keep(&mut open.booking);
        let (params, body) = (std::mem::take(&mut open.params), std::mem::take(&mut open.body));
        Ok(Step::Complete(CompleteRequest { id: record.id, params, body, has_room }))
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
        let excess = self.open.values().filter(|open| !open.aborted).count() >= MAX_OPEN;
        let is_full = self.open.len() + 1 >= MAX_AWAITED;
        let open = OpenRequest {
            keep_conn: begin.keep_conn,
            params: Vec::new(),
            params_ended: false,
            body: Vec::new(),
            body_ended: false,
            whole: false,
            excess,
            aborted: false,
            booking: Booking::default(),
        };
        self.open.insert(record.id, open);
        if is_full {
            return Ok(Step::Unreadable(UnfinishedRequest { id: record.id, params: Vec::new() }));
        }
        Ok(Step::Nothing)
    }
}

impl Drop for Requests {
    fn drop(&mut self) {
        for open in std::mem::take(&mut self.open).into_values() {
            self.memory.release(open.booking);
        }
    }
}

impl UnfinishedRequest {
    fn take(id: u16, open: &mut OpenRequest) -> UnfinishedRequest {
        UnfinishedRequest { id, params: std::mem::take(&mut open.params) }
    }
}

/// Result of appending to a part of a request.
enum AppendResult {
    Fits,
    /// The part exceeds its size limit.
    Oversize,
    /// There is no memory for it.
    OutOfMemory,
}

impl OpenRequest {
    /// Appends to a part of a request, within its size limit and the memory.
    fn append(
        &mut self,
        part: fn(&mut OpenRequest) -> &mut Vec<u8>,
        more: &[u8],
        limit: usize,
        memory: &RequestMemory,
    ) -> AppendResult {
        if part(self).len() + more.len() > limit {
            return AppendResult::Oversize;
        }
        if !memory.book(&mut self.booking, more.len()) {
            return AppendResult::OutOfMemory;
        }
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
