//! The interface of the decision module: what it is told at start, what it is told as it goes, and what it asks for.
//!
//! There is no decision here and no tuned value: those are all in `src/logic.rs`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A span of time, or the reading of the clock that drives the module, in seconds.
pub type Seconds = f64;

/// One try of a request at this server. Ids are never used twice in the life of a [`crate::Controller`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// One of the callers that send requests here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId(pub u64);

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// It may come again within this time of its arrival, and must not run twice here within it.
    Keyed(Seconds),
    /// It must not run twice and does not come again once it may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name, for messages.
    pub name: String,
    /// What an answer within the aim is worth.
    pub worth: f64,
    /// The part of the worth that an answer after the aim and before the deadline still earns.
    pub late_worth: f64,
    /// The time within which an answer earns its full worth.
    pub aim: Seconds,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// The time after which nobody waits any more.
    pub deadline: Seconds,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Whether its requests may call what lies below.
    pub calls: bool,
    /// The part of the worth that is left when a call is skipped; 0 forbids skipping.
    pub skip_worth: f64,
}

/// A tenant and what it is entitled to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, for messages.
    pub name: String,
    /// Its part of the service.
    pub share: f64,
    /// Requests a second, over the whole fleet, that count as within its share.
    pub allowance: f64,
}

/// What the worth of a class is counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorthBy {
    /// Each request.
    Request,
    /// Each unit of its work.
    Work,
}

/// What callers can be told with every answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerFeedback {
    /// Nothing.
    Nothing,
    /// How many requests each of them may have here.
    Credit,
    /// The rank, from 0 to 1, below which they should send nothing.
    Level,
    /// The chance, from 0 to 1, that they do not pass this server over.
    Weight,
}

/// What becomes of running work that is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopMode {
    /// It cannot be stopped.
    Never,
    /// What it did is lost.
    Drop,
    /// It can be taken up again.
    Pause,
}

/// What lies below this server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum DependencyModel {
    /// Nothing.
    Nothing,
    /// One dependency that all servers share.
    Shared {
        /// This server's part of the calls that the dependency survives, as a mean number in hand.
        fair_calls: f64,
        /// The time over which that mean is taken.
        over: Seconds,
    },
    /// Another tier of servers.
    NextTier,
    /// Several things. What carries the calls out bounds and times them and makes them again; how one ends is final.
    Several {
        /// Requests that may be parked at calls.
        parked: f64,
    },
}

/// What a server is told when it starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The classes of requests; [`Request::class`] counts in this list.
    pub classes: Vec<Class>,
    /// The tenants; may be empty. [`Request::tenant`] counts in this list.
    pub tenants: Vec<Tenant>,
    /// The part of its worth that a request beyond its tenant's share keeps.
    pub over_share_worth: f64,
    /// What worth is counted for.
    pub worth_by: WorthBy,
    /// Servers in the fleet at this start.
    pub servers: u32,
    /// Cores of this server.
    pub cores: u32,
    /// Whether the server is cold.
    pub cold: bool,
    /// The least share of its speed that a cold server starts with.
    pub cold_from: f64,
    /// The longest a server takes to become warm.
    pub cold_for: Seconds,
    /// Running requests on the cores, for each core, that a warm server survives.
    pub crowd_multiple: f64,
    /// The time over which that crowd is averaged.
    pub crowd_over: Seconds,
    /// Memory, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running or paused request, as a multiple of what it takes while held.
    pub run_factor: f64,
    /// Memory of one entry in the table of keys, in kilobytes.
    pub key_kb: f64,
    /// How long an answer to a read can serve others; 0 means never.
    pub fresh_for: Seconds,
    /// What becomes of work that is stopped.
    pub halt: StopMode,
    /// What lies below.
    pub below: DependencyModel,
    /// The longest that an abandoned call goes on below.
    pub linger: Seconds,
    /// What callers can be told.
    pub say: CallerFeedback,
    /// Whether the list of servers follows the health answer.
    pub readiness: bool,
    /// The longest advice to stay away that is honoured; 0 where none is passed on.
    pub max_stay_away: Seconds,
    /// After the notice to leave, nothing that arrives later than this may run.
    pub drain_grace: Seconds,
    /// The shortest time between two steps.
    pub tick: Seconds,
    /// Whether further tries of a request are marked.
    pub marks_retry: bool,
    /// How long callers keep an idle connection open.
    pub idle: Seconds,
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, with its place in its list where it is in one.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Rejects settings that make no sense, naming the first such field.
    ///
    /// # Errors
    /// The field that is wrong: no cores, no class, a class without a deadline, a number below 0 or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |field: &str, problem| Err(SettingsError { field: field.to_string(), problem });
        if self.cores == 0 {
            return bad("cores", "must be at least 1");
        }
        if self.classes.is_empty() {
            return bad("classes", "must not be empty");
        }
        let mut numbers: Vec<(String, f64)> = [
            ("over_share_worth", self.over_share_worth),
            ("cold_from", self.cold_from),
            ("cold_for", self.cold_for),
            ("crowd_multiple", self.crowd_multiple),
            ("crowd_over", self.crowd_over),
            ("memory_kb", self.memory_kb),
            ("run_factor", self.run_factor),
            ("key_kb", self.key_kb),
            ("fresh_for", self.fresh_for),
            ("linger", self.linger),
            ("max_stay_away", self.max_stay_away),
            ("drain_grace", self.drain_grace),
            ("tick", self.tick),
            ("idle", self.idle),
        ]
        .map(|(name, value)| (name.to_string(), value))
        .to_vec();
        if let DependencyModel::Shared { fair_calls, over } = self.below {
            numbers.push(("below.fair_calls".to_string(), fair_calls));
            numbers.push(("below.over".to_string(), over));
        }
        if let DependencyModel::Several { parked } = self.below {
            numbers.push(("below.parked".to_string(), parked));
        }
        for (i, c) in self.classes.iter().enumerate() {
            let fields = [
                ("worth", c.worth),
                ("late_worth", c.late_worth),
                ("aim", c.aim),
                ("aim_stretch", c.aim_stretch),
                ("deadline", c.deadline),
                ("skip_worth", c.skip_worth),
            ];
            numbers.extend(fields.map(|(name, value)| (format!("classes[{i}].{name}"), value)));
            if let Repeat::Keyed(window) = c.repeat {
                numbers.push((format!("classes[{i}].window"), window));
            }
        }
        for (i, t) in self.tenants.iter().enumerate() {
            numbers.push((format!("tenants[{i}].share"), t.share));
            numbers.push((format!("tenants[{i}].allowance"), t.allowance));
        }
        if let Some((field, _)) = numbers.iter().find(|(_, value)| !value.is_finite() || *value < 0.0) {
            return bad(field, "must be a finite number of at least 0");
        }
        if let Some(i) = self.classes.iter().position(|c| c.deadline == 0.0) {
            return bad(&format!("classes[{i}].deadline"), "must be above 0");
        }
        Ok(())
    }
}

/// A request that has been read and waits in the hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The id of this try.
    pub id: RequestId,
    /// Its class, by place in [`Settings::classes`].
    pub class: usize,
    /// Its tenant, by place in [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Who sent it.
    pub caller: CallerId,
    /// How long ago it reached the machine.
    pub waited: Seconds,
    /// How long its caller still waits, where that is passed on.
    pub time_left: Option<Seconds>,
    /// A rough measure of its work, where there is one.
    pub cost_hint: Option<f64>,
    /// The memory that it takes while held, in kilobytes.
    pub held_kb: f64,
    /// Its rank by worth, from 0 to under 1.
    pub rank: f64,
    /// Whether it is marked as a further try.
    pub retry: bool,
    /// The request known here that it repeats.
    pub repeats: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Well.
    Done,
    /// It failed, perhaps after having its effect.
    Failed,
    /// It was turned away unseen.
    TurnedAway,
    /// It took too long and was given up, perhaps after having its effect.
    GivenUp,
    /// What lies below could not be reached.
    Unreachable,
    /// It broke off, perhaps after having its effect.
    Broken,
    /// It was stopped.
    Stopped,
    /// Nothing started: the request was over.
    NotStarted,
}

impl Outcome {
    /// Whether it is certain that there was no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::Unreachable | Outcome::NotStarted)
    }
}

/// Readings of the server's own instruments. Each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gauges {
    /// The share of the cores that was busy in the recent past.
    pub core_use: Option<f64>,
    /// Everything that wants a core now: runs, reading, checks, new connections.
    pub on_cores: Option<f64>,
    /// The share of the memory in use.
    pub memory_share: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// What the module is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A request was read and waits in the hold.
    Arrived(Request),
    /// A run ended, or an answer taken from another request.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A running request needs a call to what lies below and waits.
    CallWanted {
        /// The request.
        id: RequestId,
    },
    /// A call ended. On [`Outcome::Done`] the request goes on by itself.
    CallEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// How long the call took.
        took: Seconds,
    },
    /// The caller has gone; no answer is owed.
    Withdrawn {
        /// The request.
        id: RequestId,
    },
    /// The server is to leave; its process is stopped after this time.
    Leave {
        /// The time that is left.
        within: Seconds,
    },
    /// A [`Action::Wake`] came due.
    Woke {
        /// Its token.
        token: u64,
        /// The instruments.
        gauges: Gauges,
    },
    /// New settings are in force. Classes and tenants of the settings before keep their places, whether or not requests
    /// still come for them, as open requests keep what they came with; further ones have places behind, or that of one
    /// with no request left.
    Settings(Box<Settings>),
}

/// What the module asks for. A request for which nothing is asked stays where it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start a held request, or take up a paused one.
    Run(RequestId),
    /// Stop a running request; what becomes of it is [`Settings::halt`].
    Stop(RequestId),
    /// Final answer: turned away.
    Refuse {
        /// The request.
        id: RequestId,
        /// For how long the caller should keep away; 0 gives no advice.
        stay_away: Seconds,
        /// Ask the caller not to try elsewhere.
        last: bool,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Answer a held request with the result of the one that it repeats, waiting for that if need be.
    ServeFrom(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Give the call up after this time.
        give_up_after: Seconds,
    },
    /// Go on without the call.
    SkipCall(RequestId),
    /// Remember the request, so that repeats of it are known.
    Keep {
        /// The request.
        id: RequestId,
        /// For how long.
        lasting: Seconds,
    },
    /// Forget a remembered request.
    Forget(RequestId),
    /// From now on tell callers this number; [`Settings::say`] is what it means.
    Say(f64),
    /// From now on answer health checks so.
    Health {
        /// In good health.
        good: bool,
        /// Answer from store, without real work.
        stored: bool,
    },
    /// Close connections that have been idle for this long.
    CloseIdle(Seconds),
    /// Send [`Event::Woke`] after this time.
    Wake {
        /// The time.
        after: Seconds,
        /// Comes back with the event.
        token: u64,
    },
    /// A line for the log.
    Note(String),
}
