//! The interface of the decision module: its settings, the events it receives, and the actions it requests.
//!
//! All decisions and their constants are in `src/logic.rs`.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A duration, or a reading of the clock that drives the module, in seconds.
pub type Seconds = f64;

/// Identifies one try of a request at this server. A [`crate::Controller`] must never see the same id twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Identifies a caller that sends requests to this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallerId(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// It may be repeated within this time of its arrival, and must not run twice here within it.
    Keyed(Seconds),
    /// It must not run twice, and is not repeated once it may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name, for messages.
    pub name: String,
    /// The worth of an answer within the target.
    pub worth: f64,
    /// The part of the worth that an answer after the target and before the deadline has.
    pub late_worth: f64,
    /// The latency target, within which an answer has its full worth.
    pub aim: Seconds,
    /// The multiple of the request's expected core time that is added to the target.
    pub aim_stretch: f64,
    /// The time after which the caller no longer waits.
    pub deadline: Seconds,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether its requests may call dependencies.
    pub calls: bool,
    /// The part of the worth that an answer without its call has; 0 forbids skipping the call.
    pub skip_worth: f64,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name, for messages.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Requests a second, over the whole fleet, that are within its share.
    pub allowance: f64,
}

/// The unit that the worth of a class refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorthBy {
    /// Each request.
    Request,
    /// Each unit of its work.
    Work,
}

/// The feedback that callers can get with every answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerFeedback {
    /// Nothing.
    Nothing,
    /// The number of requests that each caller may have here.
    Credit,
    /// The rank, from 0 to 1, below which callers should send nothing.
    Level,
    /// The probability, from 0 to 1, that callers do not skip this server.
    Weight,
}

/// What happens to a run that is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopMode {
    /// It cannot be stopped.
    Never,
    /// Its progress is lost.
    Drop,
    /// It can be resumed.
    Pause,
}

/// The dependencies of this server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum DependencyModel {
    /// None.
    Nothing,
    /// One dependency that all servers share.
    Shared {
        /// This server's share of the calls that the dependency can take, as a mean number in flight.
        fair_calls: f64,
        /// The time over which that mean is taken.
        over: Seconds,
    },
    /// Another tier of servers.
    NextTier,
    /// Several dependencies. The code that makes the calls limits, times and retries them; outcomes are
    /// final.
    Several {
        /// The most requests that may be parked at calls.
        parked: f64,
    },
}

/// The settings of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The classes of requests; [`Request::class`] is an index into this list.
    pub classes: Vec<Class>,
    /// The tenants; may be empty. [`Request::tenant`] is an index into this list.
    pub tenants: Vec<Tenant>,
    /// The part of its worth that a request beyond its tenant's share keeps.
    pub over_share_worth: f64,
    /// The unit that worth refers to.
    pub worth_by: WorthBy,
    /// Servers in the fleet when this server started.
    pub servers: u32,
    /// Cores of this server.
    pub cores: u32,
    /// Whether the server is cold.
    pub cold: bool,
    /// The least share of its speed that a cold server starts with.
    pub cold_from: f64,
    /// The longest a server takes to become warm.
    pub cold_for: Seconds,
    /// Running requests for each core that a warm server survives.
    pub crowd_multiple: f64,
    /// The time over which that number is averaged.
    pub crowd_over: Seconds,
    /// Memory, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a request that was started, as a multiple of its memory while queued.
    pub run_factor: f64,
    /// Memory of one entry in the table of keys, in kilobytes.
    pub key_kb: f64,
    /// How long the answer to a read may be shared with repeats; 0 means never.
    pub fresh_for: Seconds,
    /// What happens to a run that is stopped.
    pub halt: StopMode,
    /// The dependencies.
    pub below: DependencyModel,
    /// The longest that an abandoned call keeps running at the dependency.
    pub linger: Seconds,
    /// The feedback that callers can get.
    pub say: CallerFeedback,
    /// Whether the balancer's list of servers follows the health answer.
    pub readiness: bool,
    /// The longest retry delay that callers obey; 0 if they receive none.
    pub max_stay_away: Seconds,
    /// The grace period after the shutdown notice; requests that arrive later must not run.
    pub drain_grace: Seconds,
    /// The shortest time between two steps.
    pub tick: Seconds,
    /// Whether retries of a request are marked.
    pub marks_retry: bool,
    /// How long callers keep an idle connection open.
    pub idle: Seconds,
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, with its index if it is in a list.
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
    /// Checks the settings.
    ///
    /// # Errors
    /// Names the first invalid field: no cores, no class, a class without a deadline, a number that is
    /// negative or not finite.
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

/// A request that has been read and queued.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The id of this try.
    pub id: RequestId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: usize,
    /// Its tenant, as an index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// The caller that sent it.
    pub caller: CallerId,
    /// The queueing delay: how long ago it reached the machine.
    pub waited: Seconds,
    /// How long its caller still waits, if it is known.
    pub time_left: Option<Seconds>,
    /// A rough measure of its work, if there is one.
    pub cost_hint: Option<f64>,
    /// Its memory while queued, in kilobytes.
    pub held_kb: f64,
    /// Its rank by worth, from 0 to under 1.
    pub rank: f64,
    /// Whether it is marked as a retry.
    pub retry: bool,
    /// The earlier request at this server that it repeats.
    pub repeats: Option<RequestId>,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Successfully.
    Done,
    /// It failed, and may have had its effect.
    Failed,
    /// It was rejected without being processed.
    TurnedAway,
    /// It timed out and was given up, and may have had its effect.
    GivenUp,
    /// The dependency could not be reached.
    Unreachable,
    /// Its connection broke, and it may have had its effect.
    Broken,
    /// It was stopped.
    Stopped,
    /// Nothing started, because the request was over.
    NotStarted,
}

impl Outcome {
    /// Whether it certainly had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::Unreachable | Outcome::NotStarted)
    }
}

/// Gauge readings of the server. Each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gauges {
    /// The share of the cores that was busy in the recent past.
    pub core_use: Option<f64>,
    /// Work that needs a core now: runs, reading, checks, new connections.
    pub on_cores: Option<f64>,
    /// The share of the memory in use.
    pub memory_share: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// An event that the module handles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A request was read and queued.
    Arrived(Request),
    /// A run ended, or an answer shared from another request was given.
    Ended {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A running request needs a call to a dependency and waits for it.
    CallWanted {
        /// The request.
        id: RequestId,
    },
    /// A call ended. After [`Outcome::Done`] the request continues by itself.
    CallEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// How long the call took.
        took: Seconds,
    },
    /// The caller is gone and needs no answer.
    Withdrawn {
        /// The request.
        id: RequestId,
    },
    /// The server is shutting down; its process is stopped after this time.
    Leave {
        /// The time until then.
        within: Seconds,
    },
    /// The time of an [`Action::Wake`] has come.
    Woke {
        /// Its token.
        token: u64,
        /// The current gauge readings.
        gauges: Gauges,
    },
    /// New settings apply. Classes and tenants of the previous settings keep their index, even if no more
    /// requests name them, since in-flight requests keep what they arrived with. New ones are appended, or
    /// take the index of one that has no request left.
    Settings(Box<Settings>),
}

/// An action that the module requests. A request without an action stays as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start a queued request, or resume a paused one.
    Run(RequestId),
    /// Stop a running request; [`Settings::halt`] tells what happens to it.
    Stop(RequestId),
    /// Final answer: refused.
    Refuse {
        /// The request.
        id: RequestId,
        /// The retry delay for the caller; 0 gives none.
        stay_away: Seconds,
        /// Ask the caller not to retry at another server.
        last: bool,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Answer a queued request with the result of the one that it repeats, once that has ended.
    ServeFrom(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// The call timeout.
        give_up_after: Seconds,
    },
    /// Continue without the call.
    SkipCall(RequestId),
    /// Remember the request, so that its repeats are recognized.
    Keep {
        /// The request.
        id: RequestId,
        /// For how long.
        lasting: Seconds,
    },
    /// Forget a remembered request.
    Forget(RequestId),
    /// Send callers this value from now on; [`Settings::say`] defines its meaning.
    Say(f64),
    /// Set the answer to health checks.
    Health {
        /// Whether the server is in good health.
        good: bool,
        /// Whether to answer from a cache, without real work.
        stored: bool,
    },
    /// Close connections that were idle for this long.
    CloseIdle(Seconds),
    /// Send [`Event::Woke`] after this time.
    Wake {
        /// The delay.
        after: Seconds,
        /// A token that the event returns.
        token: u64,
    },
    /// Write a line to the log.
    Note(String),
}
