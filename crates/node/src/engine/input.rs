//! What reaches the engine, through its one queue. The tasks that speak with the interpreter, the database and the
//! balancers know this file and not the engine.

use crate::request::{Key, ReplyTo, Work};
use crate::upgrade::link::Out;
use crate::upgrade::ownership::Ownership;
use crate::upgrade::wire::{Entry, Load, RelayedReply, RelayedWork};
use jaspershunt::{Outcome, RequestId};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// What may wait for the engine at once; those who have more to say wait.
pub const QUEUE: usize = 1024;

/// What reaches the engine.
#[derive(Debug)]
pub enum Input {
    /// A try of a request was read.
    Work {
        /// Its id in this program.
        id: RequestId,
        /// The try.
        work: Work,
        /// Where its reply goes.
        reply: ReplyTo,
    },
    /// All that was read by the settings before so many changes of them has come.
    SettingsReached {
        /// The number of changes.
        change: u64,
    },
    /// A health check was read.
    Check {
        /// Where its reply goes.
        reply: ReplyTo,
    },
    /// The caller of a try has gone.
    Gone {
        /// The try.
        id: RequestId,
    },
    /// The interpreter told something.
    Heard(Message),
    /// The link to the interpreter is up, and all that was missed has been heard.
    LinkUp,
    /// It is down.
    LinkDown,
    /// A call ended.
    CallEnded {
        /// Its request.
        id: RequestId,
        /// Which call of the request it was; with an operator's file, which attempt at it.
        number: u64,
        /// How it ended.
        end: CallEnd,
        /// How long it took, in seconds.
        took: f64,
    },
    /// A time has come that the decisions on dependencies asked for.
    BelowDue,
    /// The operator's file was read anew.
    Operator(Rc<jaspershunt_operator::File>),
    /// The fleet has another route table.
    Table(jaspershunt_routes::Snapshot),
    /// The time of an [`Action::Wake`](jaspershunt::Action::Wake) has come.
    Woke {
        /// Its token.
        token: u64,
    },
    /// The gauges asked for with this tag have been waited for long enough.
    NoGauges {
        /// The tag.
        tag: u64,
    },
    /// The end of a run that was answered has been waited for long enough.
    Lost {
        /// The request.
        id: RequestId,
    },
    /// The other process of an upgrade said something.
    Peer(Peer),
    /// What came of something that waited for the fleet.
    Handover(Word),
    /// The nodo is to leave.
    Leave {
        /// When it was told to: the grace and the time to the kill count from then, however long this waits in the queue.
        told: Instant,
    },
}

/// What came of an entry on work that was proposed to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    /// It never left: nothing of it is agreed, or will be.
    NotSent,
    /// Nobody knows in time; it may be agreed yet.
    Nobody,
    /// It was agreed, and came to this.
    Agreed(jaspershunt_work::Outcome),
    /// It was refused, and had been said more than once: another copy of it may be agreed yet.
    Unsure(jaspershunt_work::Refusal),
}

/// The word of a task that waited for the fleet.
#[derive(Debug)]
pub enum Word {
    /// What came of an entry that was to be agreed.
    Agreed {
        /// The entry.
        entry: jaspershunt_work::Entry,
        /// What came of it.
        came: Came,
    },
    /// A try that waits for the fleet has no more time.
    Due {
        /// The try.
        id: RequestId,
    },
    /// What this start is shown of the agreed work.
    Seen(jaspershunt_work::MemberView),
    /// What the resource says of work that may have run.
    Asked {
        /// The key.
        key: Key,
        /// The token under which it was asked.
        token: u64,
        /// What it says.
        told: jaspershunt_work::QueryResult,
    },
    /// It is time to see what this nodo could take.
    TellRoom,
    /// What came of the word on that.
    RoomTold {
        /// It is agreed.
        agreed: bool,
    },
    /// A nodo that leaves hands over what it has not ended.
    HandOver,
}

/// What the other process of an upgrade says; see [`Message`](crate::upgrade::wire::Message).
#[derive(Debug)]
pub enum Peer {
    /// Another start asks how operators have it.
    Lame {
        /// Told whether clients are sent away; nothing by a process that has lost the right.
        told: oneshot::Sender<Option<bool>>,
    },
    /// An earlier start is there to take over from.
    Earlier {
        /// The way to it.
        to: mpsc::Sender<Out>,
        /// It has clients sent away, as far as it is the one to say so.
        lameduck: Option<bool>,
    },
    /// The right to run what is new was there to be had, with nobody alive beside this process.
    Found(Ownership),
    /// It was taken from a process that says nothing, and that can run nothing more that is new by now.
    Taken(Ownership),
    /// Whether this process has it.
    Look {
        /// Told.
        told: oneshot::Sender<bool>,
    },
    /// A later start can run requests.
    Begin {
        /// The way to it.
        to: mpsc::Sender<Out>,
        /// Told whether the keys are given.
        given: oneshot::Sender<bool>,
    },
    /// The reply to a try that was sent to the later start.
    Reply {
        /// The try.
        ticket: u64,
        /// The reply.
        reply: RelayedReply,
    },
    /// A piece of the earlier start's table of keys.
    Table(Vec<Entry>),
    /// That was all of it, and here is the right.
    Yours {
        /// The right.
        right: Ownership,
        /// What is to be doubted all the same, in Unix seconds.
        doubt: Option<(f64, f64)>,
    },
    /// That was all of the table of a process that had lost the right.
    Yielded,
    /// A try that reached the earlier start.
    Work {
        /// What it is known by there.
        ticket: u64,
        /// The try.
        work: RelayedWork,
        /// The way for its reply.
        to: mpsc::Sender<Out>,
    },
    /// The caller of such a try has gone.
    Gone {
        /// The try.
        ticket: u64,
    },
    /// What the earlier start still takes of what both share.
    Load(Load),
    /// What became of a key that the earlier start had in hand.
    Ended(Entry),
    /// Operators send clients away, or take them again.
    Lameduck {
        /// Whether they are sent away.
        on: bool,
    },
    /// The earlier start has ended its work, and is gone.
    Farewell,
    /// The link broke.
    Broke,
    /// The nodo ends at once: what is still owed fails.
    GiveUp,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEnd {
    /// Well, with this result.
    Done(Vec<u8>),
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call as its request is over.
    Stopped,
    /// Nothing was started.
    NotStarted,
}

/// What the interpreter tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The interpreter is up.
    Banner {
        /// It started cold.
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
    /// The gauges, in the order of the settings; those without a reading are missing.
    Gauges {
        /// The tag of the command.
        tag: u64,
        /// The number of commands before it.
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
    /// How.
    pub outcome: Outcome,
    /// The reply, if it went well.
    pub body: Vec<u8>,
}
