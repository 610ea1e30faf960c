//! Decides what a nodo asks of each thing that lies below it, and what it does when that cannot be had.
//!
//! One [`Dependencies`] is owned by the nodo's engine. It is told of each call that the decision module wants made, of
//! how attempts end and of calls that nobody waits for any more, and asks for attempts to be made or abandoned, and for
//! calls to end. For each call that it was told of there is exactly one [`Action::End`], unless the call was dropped. It
//! has no clock, socket, timer or random source: `now` is passed in, from any beginning, and never goes back.
//!
//! - [`budget`] counts what each dependency may hold: calls in hand, waiting, bytes, a second, runs parked.
//! - [`limit`] learns how many calls a dependency can take below its ceiling.
//! - [`breaker`] leaves a dependency alone that fails or is slow.
//! - [`retries`] bounds attempts beyond the first over all dependencies.
//! - [`kept`] keeps replies to fall back on.
//! - [`calls`] takes a call through all of these, from one dependency to the next.
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

/// A call that the module wants made. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// One attempt at a call. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(pub u64);

/// What the nodo has for runs that are parked at calls, at all dependencies together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ParkingCapacity {
    /// Runs.
    #[serde(rename = "places")]
    pub runs: usize,
    /// Their memory, in kilobytes.
    pub memory_kb: f64,
}

/// A call that is to be made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wanted {
    /// Its id.
    pub call: CallId,
    /// The class of its request, by place in the list of names given at the start.
    pub class: usize,
    /// Its place among the calls of the run, from 1.
    pub place: usize,
    /// How long its request can still wait for it.
    pub left: Duration,
    /// Its body.
    pub body: Rc<[u8]>,
    /// The memory of its run while it is parked, in kilobytes.
    pub kb: f64,
    /// Where it goes by the table that its request began with; as the file says where it is left out.
    pub by: Option<Rc<By>>,
}

/// A route of a table that all nodos share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct By {
    /// Its name.
    pub route: String,
    /// Calls at once by it at most, at the dependency that it leads to.
    pub calls: usize,
    /// The name of that dependency.
    pub to: String,
    /// Those that stand in for it, one after the other.
    pub then: Vec<String>,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// With the reply of the dependency that it was to go to, or of one that stands in for it: it is complete.
    Reply {
        /// The reply.
        body: Vec<u8>,
        /// How long the attempt took that brought it.
        took: Duration,
    },
    /// With a reply that was kept.
    Kept {
        /// The reply.
        body: Rc<[u8]>,
        /// When it came, on the clock of `now`.
        since: Duration,
    },
    /// Without any.
    Nothing {
        /// What became of it. Where no attempt was made, or all provably never ran, one that says so.
        outcome: Outcome,
        /// The time since it was wanted.
        took: Duration,
    },
}

/// What is asked for. To be carried out in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Make an attempt, and report its end with [`Dependencies::attempt_ended`].
    Attempt {
        /// Its call.
        call: CallId,
        /// Its id.
        attempt: AttemptId,
        /// The place of the dependency; connections are kept apart by it.
        dependency: usize,
        /// Where to.
        address: SocketAddr,
        /// Connections to that dependency at most, idle ones included.
        connections: usize,
        /// Give it up after this time.
        give_up_after: Duration,
        /// Nothing may be left open as to whether it ran.
        once: bool,
    },
    /// Give an attempt up: nobody waits for it any more. Its end is not to be reported.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A call is over.
    End {
        /// The call.
        call: CallId,
        /// How.
        end: End,
    },
    /// A line for the log.
    Note(String),
}

/// A look at one dependency.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Calls in hand, those given up included that may go on.
    pub in_flight: usize,
    /// Calls that wait.
    pub queued: usize,
    /// Runs parked.
    pub parked: usize,
    /// What may be in hand at present.
    pub limit: usize,
    /// Where its breaker stands.
    pub breaker: breaker::State,
    /// What became of calls.
    pub counts: Counts,
}

#[cfg(test)]
mod tests;
