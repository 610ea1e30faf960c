//! Byte budgets for requests, from their first byte to their answer.
//!
//! The memory for requests has three parts, so that requests which never end cannot keep others from being read: one
//! is divided among the connections, one is shared by requests that are still being read, and one is for requests
//! that have been read and wait for their answer.

use std::cell::Cell;
use std::rc::Rc;

/// Part of the memory for requests that is divided among the connections.
const OWN_DIVISOR: usize = 4;
/// Part of the memory for requests that all unfinished requests share. The rest is for whole requests.
const UNFINISHED_DIVISOR: usize = 4;

/// Byte budget shared by its clones, so that no number of peers can exhaust the memory.
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

    /// Returns the reserved bytes.
    pub fn used(&self) -> usize {
        self.used.get()
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

/// The memory for requests of all connections.
#[derive(Clone, Debug)]
pub struct RequestBudgets {
    /// Bytes of requests and records that are being read, beyond the connections' own parts.
    pub unfinished: Budget,
    /// Bytes of requests that were read and wait for their answer.
    pub whole: Budget,
    /// Bytes that each connection has for itself.
    per_connection: usize,
}

impl RequestBudgets {
    /// Divides the memory for requests, of which a part is for at most this many connections.
    pub fn new(bytes: usize, connections: usize) -> RequestBudgets {
        let (own, unfinished) = (bytes / OWN_DIVISOR, bytes / UNFINISHED_DIVISOR);
        RequestBudgets {
            unfinished: Budget::new(unfinished),
            whole: Budget::new(bytes - own - unfinished),
            per_connection: own / connections.max(1),
        }
    }

    /// Returns the memory for the requests of a new connection.
    pub fn of_connection(&self) -> RequestMemory {
        RequestMemory { own: Budget::new(self.per_connection), shared: self.clone() }
    }
}

/// The memory for the requests of one connection.
#[derive(Debug)]
pub struct RequestMemory {
    own: Budget,
    shared: RequestBudgets,
}

/// The bytes reserved for one request, by budget.
#[derive(Debug, Default)]
pub struct Booking {
    own: usize,
    unfinished: usize,
    whole: usize,
}

impl RequestMemory {
    /// Reserves bytes for a request that is being read; returns whether they fit.
    pub fn book(&self, booking: &mut Booking, bytes: usize) -> bool {
        if self.own.take(bytes) {
            booking.own += bytes;
            return true;
        }
        let fits = self.shared.unfinished.take(bytes);
        if fits {
            booking.unfinished += bytes;
        }
        fits
    }

    /// Moves the bytes of a request that was read to the budget of those that wait for their answer; returns
    /// whether they fit. If not, they stay reserved as they are.
    pub fn keep(&self, booking: &mut Booking) -> bool {
        let bytes = booking.own + booking.unfinished;
        if !self.shared.whole.take(bytes) {
            return false;
        }
        self.own.give(std::mem::take(&mut booking.own));
        self.shared.unfinished.give(std::mem::take(&mut booking.unfinished));
        booking.whole += bytes;
        true
    }

    /// Releases all bytes of a request.
    pub fn release(&self, booking: Booking) {
        self.own.give(booking.own);
        self.shared.unfinished.give(booking.unfinished);
        self.shared.whole.give(booking.whole);
    }
}
