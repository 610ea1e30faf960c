//! The inputs of the engine's queue. The tasks of the interpreter, the database and the balancers'
//! connections depend on this module and not on the engine.

use crate::request::{Key, ReplyTo, Work};
use crate::upgrade::link::Out;
use crate::upgrade::ownership::Ownership;
use crate::upgrade::wire::{Entry, Load, RelayedReply, RelayedWork};
use jaspershunt::{Outcome, RequestId};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Capacity of the engine's queue; senders wait while it is full.
pub const QUEUE: usize = 1024;

/// An input of the engine.
#[derive(Debug)]
pub enum Input {
    /// A try of a request was read.
    Work {
        /// Its id in this process.
        id: RequestId,
        /// The try.
        work: Work,
        /// Where its reply goes.
        reply: ReplyTo,
    },
    /// A try of a keyed request was read for which there is no room: it is turned away unless its key is known.
    WorkWithoutRoom {
        /// Its id in this process.
        id: RequestId,
        /// The try.
        work: Work,
        /// Where its reply goes.
        reply: ReplyTo,
    },
    /// All requests that were read under the settings before this change have been handled.
    SettingsReached {
        /// The number of the change.
        change: u64,
    },
    /// A health check was read.
    Check {
        /// Where its reply goes.
        reply: ReplyTo,
    },
    /// The caller of a try has disconnected.
    CallerGone {
        /// The try.
        id: RequestId,
    },
    /// A message from the interpreter.
    Interpreter(Message),
    /// The link to the interpreter is up, and all missed messages were delivered.
    LinkUp,
    /// The link to the interpreter is down.
    LinkDown,
    /// A call ended.
    CallEnded {
        /// Its request.
        id: RequestId,
        /// The number of the call; with several dependencies, that of the attempt.
        number: u64,
        /// How it ended.
        end: CallEnd,
        /// How long it took, in seconds.
        took: f64,
    },
    /// The timer that the decisions on dependencies asked for has fired.
    DependenciesDue,
    /// The operator's file was reloaded.
    OperatorFile(Rc<jaspershunt_operator::File>),
    /// The fleet has a new route table.
    RouteTable(jaspershunt_routes::Snapshot),
    /// The timer of an [`Action::Wake`](jaspershunt::Action::Wake) has fired.
    Woke {
        /// Its token.
        token: u64,
    },
    /// The gauges requested with this tag did not come in time.
    GaugesTimeout {
        /// The tag.
        tag: u64,
    },
    /// The end of a run that was already answered did not come in time.
    RunLost {
        /// The request.
        id: RequestId,
    },
    /// A message from the other process of an upgrade.
    Peer(Peer),
    /// An event from a task that talks to the fleet.
    Fleet(FleetEvent),
    /// The nodo is to leave.
    Leave {
        /// When the notice came: the grace and the time to the kill count from then, however long this is
        /// queued.
        since: Instant,
    },
}

/// The result of proposing an entry on work to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// It was never sent: it is not committed and never will be.
    NotSent,
    /// No result came in time; the entry may still be committed.
    Unknown,
    /// It was committed, with this outcome.
    Committed(jaspershunt_work::Outcome),
    /// It was refused after it had been sent more than once: another copy may still be committed.
    ResentRefused(jaspershunt_work::Refusal),
}

/// An event from a task that talks to the fleet.
#[derive(Debug)]
pub enum FleetEvent {
    /// The result of a proposed entry.
    Proposed {
        /// The entry.
        entry: jaspershunt_work::Entry,
        /// Its result.
        result: ProposalResult,
    },
    /// The time of a try that waits for the fleet is over.
    Due {
        /// The try.
        id: RequestId,
    },
    /// This incarnation's view of the replicated work.
    View(jaspershunt_work::MemberView),
    /// The resource's answer to a query on work that may have run.
    QueryAnswered {
        /// The key.
        key: Key,
        /// The token under which it was queried.
        token: u64,
        /// The answer.
        result: jaspershunt_work::QueryResult,
    },
    /// The timer for reporting this nodo's capacity has fired.
    ReportCapacity,
    /// The result of the last capacity report.
    CapacityReported {
        /// Whether it is committed.
        committed: bool,
    },
    /// A leaving nodo is to hand over its in-flight work.
    HandOver,
}

/// A message from the other process of an upgrade; see [`Message`](crate::upgrade::wire::Message).
#[derive(Debug)]
pub enum Peer {
    /// Another process asks for the operators' lameduck state.
    LameduckQuery {
        /// Gets whether clients are sent away; `None` from a process that has lost ownership.
        answer: oneshot::Sender<Option<bool>>,
    },
    /// An earlier process exists to take over from.
    Earlier {
        /// The channel to it.
        to: mpsc::Sender<Out>,
        /// Whether it has clients sent away; `None` where it has lost ownership.
        lameduck: Option<bool>,
    },
    /// Ownership was free, and no other process is alive.
    Found(Ownership),
    /// Ownership was taken from an unresponsive process, which can no longer run new requests.
    Taken(Ownership),
    /// A query whether this process is the owner.
    OwnershipQuery {
        /// Gets the answer.
        answer: oneshot::Sender<bool>,
    },
    /// A later process is ready to run requests.
    Begin {
        /// The channel to it.
        to: mpsc::Sender<Out>,
        /// Gets whether the keys were handed over.
        given: oneshot::Sender<bool>,
    },
    /// The reply to a try that was relayed to the later process.
    Reply {
        /// The try.
        ticket: u64,
        /// The reply.
        reply: RelayedReply,
    },
    /// A chunk of the earlier process's key table.
    Table(Vec<Entry>),
    /// The end of the key table, with ownership.
    Yours {
        /// Ownership.
        ownership: Ownership,
        /// The period whose keys remain in doubt, in Unix seconds.
        doubt: Option<(f64, f64)>,
    },
    /// The end of the key table of a process that had lost ownership.
    Yielded,
    /// A try relayed by the earlier process.
    Work {
        /// Its id there.
        ticket: u64,
        /// The try.
        work: RelayedWork,
        /// The channel for its reply.
        to: mpsc::Sender<Out>,
    },
    /// The caller of a relayed try has disconnected.
    Gone {
        /// The try.
        ticket: u64,
    },
    /// The earlier process's present share of the common resources.
    Load(Load),
    /// The result of a key that was in flight at the earlier process.
    Ended(Entry),
    /// Operators send clients away, or accept them again.
    Lameduck {
        /// Whether they are sent away.
        on: bool,
    },
    /// The earlier process has finished its work and ended.
    Farewell,
    /// The link broke.
    Broke,
    /// The nodo ends at once: unanswered requests fail.
    GiveUp,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// Successfully, with this result.
    Done(Vec<u8>),
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call because its request was over.
    Stopped,
    /// It was never started.
    NotStarted,
}

/// A message from the interpreter.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The interpreter is up.
    Banner {
        /// Whether it started cold.
        cold: bool,
        /// How long ago it started, in seconds.
        age: f64,
    },
    /// A run is over.
    Value {
        /// The number of the notice.
        pos: u64,
        /// The request.
        uid: Rc<str>,
        /// How it ended.
        end: RunEnd,
    },
    /// A run waits for a call.
    Await {
        /// The number of the notice.
        pos: u64,
        /// The request.
        uid: Rc<str>,
        /// The body of the call.
        content: Vec<u8>,
    },
    /// A run waits for a call, and may have taken the reply to its former call for the reply to this one.
    AmbiguousReply {
        /// The number of the notice.
        pos: u64,
        /// The request.
        uid: Rc<str>,
    },
    /// The gauges, in the order of the settings; `None` for those without a reading.
    Gauges {
        /// The tag of the command.
        tag: u64,
        /// The number of commands that preceded it.
        vouches: u64,
        /// The readings.
        readings: Vec<Option<f64>>,
    },
    /// A command was not carried out.
    Rejected {
        /// The command.
        command: String,
        /// Its request.
        uid: Rc<str>,
    },
    /// A remark.
    Remark {
        /// The number of the notice.
        pos: u64,
    },
}

/// How a call ended.
#[derive(Debug, PartialEq)]
pub struct CallEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The reply, if successful.
    pub body: Vec<u8>,
}
