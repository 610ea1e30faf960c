//! Decisions on the calls that a nodo makes to its dependencies: budgets, concurrency limits, circuit
//! breakers, retries and fallbacks.
//!
//! The nodo's engine owns one [`Dependencies`]. It passes in each call that the decision module requests, the
//! ends of attempts, and calls that are no longer needed; it carries out the [`Action`]s returned: attempts to
//! make or abandon, and calls to end. Each call has exactly one [`Action::End`], unless it was cancelled. There
//! is no clock, socket, timer or random source in here: `now` is passed in, counted from any origin, and never
//! goes back.
//!
//! - [`budget`] counts what each dependency uses: calls in flight, queued calls, bytes, call rate, parked runs.
//! - [`limit`] adapts the concurrency limit of a dependency to its latency.
//! - [`breaker`] stops calls to a dependency that fails or is slow.
//! - [`retries`] bounds retries over all dependencies.
//! - [`reply_cache`] keeps replies as a fallback.
//! - [`routes`] finds the dependency of a call in the operator's file.
//! - [`calls`] takes a call through all of these, from one dependency to the next.
//! - [`journal`] records inputs and actions for replays.
//!
//! ```
//! use jaspershunt_dependencies::{Action, CallId, Dependencies, End, ParkingCapacity, Wanted};
//! use std::time::Duration;
//!
//! let file = jaspershunt_operator::read("site.hcl", r#"
//!     dependency "padron" {
//!       addresses = ["127.0.0.1:5441"]
//!     }
//!     route "consulta-estado" {
//!       repeat = "safe"
//!       call "any" { to = "padron" }
//!     }
//! "#).unwrap();
//! let capacity = ParkingCapacity { runs: 16, memory_kb: 10_000.0 };
//! let mut dependencies = Dependencies::new(&file, &["consulta-estado"], capacity, 7, Duration::ZERO);
//! let mut actions = Vec::new();
//! let call = Wanted {
//!     call: CallId(1), class: 0, place: 1, left: Duration::from_secs(2), body: b"who?".to_vec().into(), kb: 20.0, by: None,
//! };
//! dependencies.start_call(Duration::ZERO, call, &mut actions);
//! let Action::Attempt { attempt, .. } = actions.remove(0) else { panic!() };
//! let took = Duration::from_millis(5);
//! dependencies.attempt_ended(took, attempt, jaspershunt::Outcome::Done, took, b"Ana".to_vec(), &mut actions);
//! assert!(matches!(&actions[..], [Action::End { end: End::Reply { body, .. }, .. }] if body == b"Ana"));
//! ```

pub mod breaker;
pub mod budget;
pub mod calls;
pub mod journal;
pub mod limit;
pub mod reply_cache;
pub mod retries;
pub mod routes;

pub use budget::Counts;
pub use calls::Dependencies;

use jaspershunt::Outcome;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The id of a call that the decision module requests. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// The id of one attempt at a call. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// The nodo's capacity for runs that are parked at calls, over all dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ParkingCapacity {
    /// Maximum number of runs.
    #[serde(rename = "places")]
    pub runs: usize,
    /// Their memory, in kilobytes.
    pub memory_kb: f64,
}

/// A request to make a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wanted {
    /// The id of the call.
    pub call: CallId,
    /// The class of its request, as an index into the names given at the start.
    pub class: usize,
    /// Its place among the calls of the run, from 1.
    pub place: usize,
    /// The time until the deadline of its request.
    pub left: Duration,
    /// Its body.
    pub body: Rc<[u8]>,
    /// The memory of its run while parked, in kilobytes.
    pub kb: f64,
    /// Its route in the shared table that its request started with; `None` follows the operator's file.
    pub by: Option<Rc<By>>,
}

/// A route of the routing table that all nodos share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct By {
    /// The name of the route.
    pub route: String,
    /// Maximum number of concurrent calls by this route at its own dependency.
    pub calls: usize,
    /// The name of that dependency.
    pub to: String,
    /// The fallback dependencies, in order.
    pub then: Vec<String>,
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// A complete reply from the dependency or one of its fallbacks.
    Reply {
        /// The reply.
        body: Vec<u8>,
        /// The duration of the successful attempt.
        took: Duration,
    },
    /// A cached reply.
    Kept {
        /// The reply.
        body: Rc<[u8]>,
        /// When it was received, on the clock of `now`.
        since: Duration,
    },
    /// No reply.
    Nothing {
        /// The outcome of the call. If no attempt was made, or all attempts provably never ran, it is one
        /// for which `Outcome::never_ran` holds.
        outcome: Outcome,
        /// The time since the call was requested.
        took: Duration,
    },
}

/// An action for the engine, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Make an attempt, and report its end with [`Dependencies::attempt_ended`].
    Attempt {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// The index of the dependency; each has its own connections.
        dependency: usize,
        /// The address to connect to.
        address: SocketAddr,
        /// Maximum number of connections to the dependency, idle ones included.
        connections: usize,
        /// The timeout of the attempt.
        give_up_after: Duration,
        /// The engine must always be able to tell whether it ran.
        once: bool,
    },
    /// Abandon an attempt that is no longer needed. Its end is not to be reported.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// End a call.
    End {
        /// The call.
        call: CallId,
        /// The end.
        end: End,
    },
    /// Write a line to the log.
    Note(String),
}

/// The state of one dependency.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Calls in flight, abandoned ones included that may still be executing.
    pub in_flight: usize,
    /// Queued calls.
    pub queued: usize,
    /// Parked runs.
    pub parked: usize,
    /// The concurrency limit in force.
    pub limit: usize,
    /// The state of its circuit breaker.
    pub breaker: breaker::State,
    /// Counters since the start.
    pub counts: Counts,
}

#[cfg(test)]
mod tests;
