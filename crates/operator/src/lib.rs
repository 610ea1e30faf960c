//! The operator's configuration file in HCL: the one place where it is read, checked and given its defaults.
//!
//! The platform's configuration describes a nodo's environment. This file configures the optional features:
//! dependencies and their budgets, routes, captures and the fleet. Without a file a nodo behaves as if this
//! crate did not exist.
//!
//! [`read`] checks a file in four steps: the grammar ([`hcl_edit`]), types and keys (serde, through
//! [`source`]), ranges (garde), and relations between blocks ([`check`]). Reading stops after the first step
//! that finds an error. Every [`Problem`] names file, line, column, key and the expected value.
//!
//! ```
//! let text = r#"
//! dependency "padron" {
//!   addresses = ["127.0.0.1:5441"]
//! }
//! route "consulta-estado" {
//!   repeat = "safe"
//!   call "any" { to = "padron" }
//! }
//! "#;
//! let file = jaspershunt_operator::read("site.hcl", text).unwrap();
//! assert_eq!(file.dependency["padron"].calls, 16);
//! let wrong = jaspershunt_operator::read("site.hcl", &text.replace("addresses", "adresses")).unwrap_err();
//! assert!(wrong[0].to_string().starts_with("site.hcl:3:3: dependency.padron.adresses: "));
//! ```

pub mod check;
pub mod explain;
pub mod source;
pub mod units;

use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use units::{Rate, Share, Size, Span};

/// Maximum length of a file. Files written by hand are far shorter.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Maximum number of blocks of one kind, such as dependencies or routes.
pub const MAX_BLOCKS: usize = 64;
/// Maximum number of voters of a fleet.
pub const MAX_VOTERS: usize = 7;
/// Maximum number of parts of the route table that a team block may own.
pub const MAX_OWNED: usize = 64;
/// Maximum number of addresses of a dependency.
pub const MAX_ADDRESSES: usize = 16;

/// The operator's file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The nodo's dependencies, by name.
    #[serde(default)]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub dependency: BTreeMap<String, Dependency>,
    /// The routes of calls, by the name of the class.
    #[serde(default)]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub route: BTreeMap<String, Route>,
    /// The budget for retries, over all dependencies.
    #[serde(default)]
    #[garde(dive)]
    pub retries: Retries,
    /// The cache of replies used as a fallback.
    #[serde(default)]
    #[garde(dive)]
    pub kept: Kept,
    /// Captures of the decisions; disabled if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub capture: Option<Capture>,
    /// The fleet that this nodo is a member of; none if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub fleet: Option<Fleet>,
    /// Tasks that run once for the whole fleet, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub task: BTreeMap<String, Task>,
    /// Classes whose in-flight work is taken over when its nodo is lost, by the name of the class.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub handover: BTreeMap<String, Handover>,
    /// Teams that edit the fleet's route table, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub team: BTreeMap<String, Team>,
    /// Steering of clients to the region with the lowest measured delay; disabled if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub steering: Option<Steering>,
    /// Recording of this nodo's requests to the fleet and their results, for checkers; disabled if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub history: Option<History>,
}

/// A dependency and the limits on its use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    /// The addresses of the dependency. A call that cannot connect to one goes to the next.
    #[garde(length(min = 1, max = MAX_ADDRESSES))]
    pub addresses: Vec<SocketAddr>,
    /// Maximum number of in-flight calls. Abandoned calls count until they must have ended.
    #[serde(default = "defaults::calls")]
    #[garde(range(min = 1, max = 1024))]
    pub calls: usize,
    /// Maximum number of queued calls.
    #[serde(default = "defaults::waiting")]
    #[garde(range(max = 1024))]
    pub waiting: usize,
    /// Maximum time that a call is queued.
    #[serde(default = "defaults::wait")]
    #[garde(skip)]
    pub wait: Span,
    /// Maximum bytes of bodies of queued and in-flight calls.
    #[serde(default = "defaults::bytes")]
    #[garde(custom(at_least_size(2048)))]
    pub bytes: Size,
    /// Maximum calls started per second; unlimited if omitted.
    #[serde(default)]
    #[garde(skip)]
    pub rate: Option<Rate>,
    /// Maximum number of open connections, idle ones included.
    #[serde(default = "defaults::calls")]
    #[garde(range(min = 1, max = 1024))]
    pub connections: usize,
    /// The share of the nodo's slots for parked runs, and of their memory, that runs waiting for this
    /// dependency may use.
    #[serde(default = "defaults::share")]
    #[garde(custom(above_zero))]
    pub share: Share,
    /// How long an abandoned call may continue in the dependency.
    #[serde(default = "defaults::linger")]
    #[garde(skip)]
    pub linger: Span,
    /// Timeout of one attempt; shorter if its request has less time left.
    #[serde(default = "defaults::timeout")]
    #[garde(custom(at_least_ms(1)))]
    pub timeout: Span,
    /// The dependency used when this one has no capacity for a call or failed it.
    #[serde(default)]
    #[garde(skip)]
    pub fall_back: Option<String>,
    /// The share of the current limit that calls falling back from other dependencies may use.
    #[serde(default = "defaults::guests")]
    #[garde(skip)]
    pub guests: Share,
    /// The adaptive concurrency limit.
    #[serde(default)]
    #[garde(dive)]
    pub limit: Limit,
    /// The circuit breaker.
    #[serde(default)]
    #[garde(dive)]
    pub breaker: Breaker,
}

/// The adaptive limit on in-flight calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Whether the limit adapts; otherwise it is always `calls`.
    #[serde(default = "defaults::yes")]
    #[garde(skip)]
    pub learned: bool,
    /// The initial limit.
    #[serde(default = "defaults::limit_start")]
    #[garde(range(min = 1, max = 1024))]
    pub start: usize,
    /// The minimum limit.
    #[serde(default = "defaults::limit_least")]
    #[garde(range(min = 1, max = 1024))]
    pub least: usize,
}

/// The settings of a circuit breaker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Breaker {
    /// The sliding window over which calls are evaluated.
    #[serde(default = "defaults::window")]
    #[garde(custom(at_least_ms(100)))]
    pub window: Span,
    /// The share of failed calls at which the breaker opens.
    #[serde(default = "defaults::half")]
    #[garde(custom(above_zero))]
    pub failures: Share,
    /// The duration above which a call counts as slow.
    #[serde(default = "defaults::slow")]
    #[garde(custom(at_least_ms(1)))]
    pub slow: Span,
    /// The share of slow calls at which the breaker opens.
    #[serde(default = "defaults::most")]
    #[garde(custom(above_zero))]
    pub slow_calls: Share,
    /// Minimum number of calls in the window for the breaker to open.
    #[serde(default = "defaults::least_calls")]
    #[garde(range(min = 1, max = 100_000))]
    pub least: usize,
    /// How long the breaker stays open the first time. Doubles each further time.
    #[serde(default = "defaults::open")]
    #[garde(custom(at_least_ms(10)))]
    pub wait: Span,
    /// The maximum time that the breaker stays open.
    #[serde(default = "defaults::longest")]
    #[garde(skip)]
    pub longest: Span,
    /// Maximum in-flight calls while half open. As many must succeed for the breaker to close.
    #[serde(default = "defaults::probes")]
    #[garde(range(min = 1, max = 64))]
    pub probes: usize,
}

/// Whether the requests of a class may run again. Must match the platform's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Requests may run any number of times.
    Safe,
    /// Requests have an operation key and must not run twice within its window.
    Keyed,
    /// Requests must not run twice.
    Unsafe,
}

/// The route of the calls of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Whether requests of the class may run again.
    #[garde(skip)]
    pub repeat: Repeat,
    /// Whether a request may be answered without a call that cannot be made. The answer then names what is
    /// missing.
    #[serde(default)]
    #[garde(skip)]
    pub without: bool,
    /// The calls of a run by their position, from "1"; "any" applies to all others.
    #[serde(default)]
    #[garde(dive)]
    pub call: BTreeMap<String, Call>,
}

/// The route of one call of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The name of the dependency.
    #[garde(skip)]
    pub to: String,
    /// Whether the call may use the fallbacks of the dependency.
    #[serde(default = "defaults::yes")]
    #[garde(skip)]
    pub elsewhere: bool,
    /// Maximum age of a cached reply to the same call that may be used instead. The answer then states its
    /// age.
    #[serde(default)]
    #[garde(skip)]
    pub kept: Option<Span>,
}

/// The budget for attempts after the first, over all dependencies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries earned by each first attempt.
    #[serde(default = "defaults::retry_share")]
    #[garde(skip)]
    pub share: Share,
    /// Maximum number of unused retries that are saved.
    #[serde(default = "defaults::retries_saved")]
    #[garde(range(min = 1, max = 10_000))]
    pub saved: usize,
    /// Maximum attempts for one call.
    #[serde(default = "defaults::attempts")]
    #[garde(range(min = 1, max = 8))]
    pub attempts: usize,
}

/// The cache of replies used as a fallback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Kept {
    /// Maximum bytes of replies and their keys.
    #[serde(default = "defaults::kept_bytes")]
    #[garde(skip)]
    pub bytes: Size,
}

/// Captures of the decisions and their inputs, for later analysis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Capture {
    /// The folder for capture files.
    #[garde(length(min = 1, max = 4096))]
    pub folder: String,
    /// Memory for the most recent blocks. They are written on SIGUSR1, when a guard prevents a rule
    /// violation, and when refusals rise sharply.
    #[serde(default = "defaults::ring")]
    #[garde(custom(at_least_size(256 * 1024)))]
    pub ring: Size,
    /// Whether all rounds are written, and not only on a trigger.
    #[serde(default)]
    #[garde(skip)]
    pub all: bool,
    /// Maximum number of files; the oldest are removed.
    #[serde(default = "defaults::files")]
    #[garde(range(min = 1, max = 10_000))]
    pub files: usize,
    /// The interval between snapshots of the decision state. A replay can start at each.
    #[serde(default = "defaults::snapshot")]
    #[garde(custom(at_least_ms(100)))]
    pub snapshot: Span,
    /// The refused share of one second's requests that triggers a write, if it is also twice the share
    /// before.
    #[serde(default = "defaults::half")]
    #[garde(custom(above_zero))]
    pub refusals: Share,
}

/// The fleet that the nodo is a member of, under its own name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The name of the fleet. Members of other fleets are rejected.
    #[garde(custom(valid_name))]
    pub name: String,
    /// The folder for this member's persistent data: its incarnation number and the voter's storage.
    #[garde(length(min = 1, max = 4096))]
    pub folder: String,
    /// The address on which a voter listens for other members; its own address among the voters if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub listen: Option<SocketAddr>,
    /// The duration of a lease, from when its holder requested the renewal.
    #[serde(default = "defaults::ttl")]
    #[garde(custom(at_least_ms(500)))]
    pub ttl: Span,
    /// The maximum rate error of a clock, in either direction.
    #[serde(default = "defaults::drift")]
    #[garde(custom(valid_drift))]
    pub drift: Share,
    /// The region of this nodo, as named in route tables and steering; none if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(custom(valid_name)))]
    pub region: Option<String>,
    /// The share of nodos that get a new route table first. All others follow only if these do no worse.
    /// The leader's file applies.
    #[serde(default)]
    #[garde(skip)]
    pub trial: Trial,
    /// Maximum number of connections from other members to a voter.
    #[serde(default = "defaults::links")]
    #[garde(range(min = 1, max = 1024))]
    pub links: usize,
    /// The voters, the same in every member's file.
    #[garde(dive, length(min = 1, max = MAX_VOTERS))]
    pub voter: BTreeMap<String, Voter>,
}

/// The share of nodos that get a new route table first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Trial {
    /// All nodos get it at once.
    #[default]
    None,
    /// A tenth of the nodos.
    Tenth,
    /// A quarter of the nodos.
    Quarter,
    /// Half of the nodos.
    Half,
}

/// A voter of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// The address of the voter, as seen from this nodo.
    #[garde(skip)]
    pub address: SocketAddr,
}

/// How the calls of a task are protected from a former holder of its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Grade {
    /// The called service rejects every token lower than one it has seen.
    #[default]
    Checked,
    /// The service cannot check tokens. Calls and delays are bounded, and the next holder waits until they
    /// have passed.
    Timed,
}

/// What happens to missed runs of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Missed {
    /// Missed runs are skipped.
    Skip,
    /// All missed runs are replaced by one run.
    #[default]
    Once,
    /// Each missed run is made up.
    Each,
}

/// A task that runs once for the whole fleet: an HTTP call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The address that is called.
    #[garde(skip)]
    pub address: SocketAddr,
    /// The path of the call.
    #[serde(default = "defaults::path")]
    #[garde(length(min = 1, max = 256))]
    pub path: String,
    /// The interval at which the task is due, counted from the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub every: Option<Span>,
    /// The cron schedule of the task, in UTC.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub cron: Option<String>,
    /// How its calls are protected from a former holder.
    #[serde(default)]
    #[garde(skip)]
    pub grade: Grade,
    /// The timeout of one call.
    #[serde(default = "defaults::call")]
    #[garde(custom(at_least_ms(1)))]
    pub timeout: Span,
    /// For timed calls: the maximum delay to the called service and the maximum pause of this nodo.
    #[serde(default = "defaults::way")]
    #[garde(custom(at_least_ms(1)))]
    pub way: Span,
    /// Maximum calls by each holder for one due time, the first included.
    #[serde(default = "defaults::tries")]
    #[garde(range(min = 1, max = 1000))]
    pub tries: u32,
    /// The wait between two calls. Doubles each time.
    #[serde(default = "defaults::pause")]
    #[garde(custom(at_least_ms(1)))]
    pub wait: Span,
    /// What happens to missed runs of a task.
    #[serde(default)]
    #[garde(skip)]
    pub missed: Missed,
    /// How long after its due time a run is not missed, if missed runs are skipped.
    #[serde(default = "defaults::late")]
    #[garde(skip)]
    pub late: Span,
}

/// What happens to started work of a class when its nodo is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// The resource reports by operation key whether the work was done.
    Asks,
    /// The resource rejects lower tokens and answers a repeated key with the original result.
    Fenced,
    /// Neither: the outcome cannot be determined.
    Unknown,
}

/// What happens to a request if the replicated state has no room for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Full {
    /// The request runs, but is not taken over if its nodo is lost.
    Run,
    /// The request is refused without having run.
    #[default]
    Refuse,
}

/// A class whose in-flight work is taken over when its nodo is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// What happens to started work.
    #[garde(skip)]
    pub effect: Effect,
    /// The address of the resource, if it can be queried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub resource: Option<SocketAddr>,
    /// The path of queries to the resource.
    #[serde(default = "defaults::path")]
    #[garde(length(min = 1, max = 256))]
    pub path: String,
    /// The timeout of one query to the resource.
    #[serde(default = "defaults::call")]
    #[garde(custom(at_least_ms(1)))]
    pub timeout: Span,
    /// What happens if the replicated state has no room.
    #[serde(default)]
    #[garde(skip)]
    pub full: Full,
}

/// A team that edits the route table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The parts of the table owned by the team, such as `class/registrar-firma`. Other teams need its
    /// approval to edit them.
    #[serde(default)]
    #[garde(length(max = MAX_OWNED), inner(length(min = 1, max = 96)))]
    pub owns: Vec<String>,
    /// What happens to the team's edits while the fleet is unreachable from this nodo.
    #[serde(default)]
    #[garde(skip)]
    pub cut_off: CutOff,
}

/// What happens to an edit while the fleet is unreachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CutOff {
    /// The edit is stored on the nodo's disk and sent once the fleet is reachable.
    #[default]
    Hold,
    /// The edit is refused and not stored.
    Refuse,
}

/// Steering of clients by delays measured at the edges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Steering {
    /// The interval at which this nodo sends its measurements to the fleet.
    #[serde(default = "defaults::summary")]
    #[garde(custom(at_least_ms(100)))]
    pub every: Span,
    /// The nodo's capacity for planning, in requests per second.
    #[garde(skip)]
    pub capacity: Rate,
    /// How clients are grouped.
    #[serde(default)]
    #[garde(skip)]
    pub by: By,
    /// The field that identifies the group if `by` is `field`: the name of a header, with nested parts
    /// separated by '/'.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(length(min = 1, max = 64)))]
    pub field: Option<String>,
    /// How delays are measured.
    #[serde(default)]
    #[garde(skip)]
    pub delays: Delays,
}

/// How clients are grouped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum By {
    /// By the number of the balancer they connect through.
    #[default]
    Balancer,
    /// By the prefix of the client address.
    Address,
    /// By a field of the request.
    Field,
}

/// How delays are measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Delays {
    /// The kernel's smoothed round-trip time of each connection.
    #[default]
    Kernel,
    /// The shortest time from an answer to the next request on a connection without pipelining. For
    /// deployments where an intermediary terminates connections and clients send their next request
    /// immediately.
    Gaps,
}

/// The history of this nodo's operations in the fleet, for tests with many processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// The folder for history files, one per incarnation.
    #[garde(length(min = 1, max = 4096))]
    pub folder: String,
    /// Maximum bytes of a file. When it is reached, the file records that it is full.
    #[serde(default = "defaults::history_bytes")]
    #[garde(custom(at_least_size(64 * 1024)))]
    pub bytes: Size,
}

impl Default for Limit {
    fn default() -> Limit {
        let (start, least) = (defaults::limit_start(), defaults::limit_least());
        Limit { learned: true, start, least }
    }
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker {
            window: defaults::window(),
            failures: defaults::half(),
            slow: defaults::slow(),
            slow_calls: defaults::most(),
            least: defaults::least_calls(),
            wait: defaults::open(),
            longest: defaults::longest(),
            probes: defaults::probes(),
        }
    }
}

impl Default for Retries {
    fn default() -> Retries {
        Retries {
            share: defaults::retry_share(),
            saved: defaults::retries_saved(),
            attempts: defaults::attempts(),
        }
    }
}

impl Default for Kept {
    fn default() -> Kept {
        Kept { bytes: defaults::kept_bytes() }
    }
}

/// The defaults of the file.
mod defaults {
    use super::units::{Share, Size, Span};

    pub fn yes() -> bool {
        true
    }
    pub fn calls() -> usize {
        16
    }
    pub fn waiting() -> usize {
        16
    }
    pub fn wait() -> Span {
        Span::ms(250)
    }
    pub fn bytes() -> Size {
        Size(256 * 1024)
    }
    pub fn share() -> Share {
        Share::percent(25.0)
    }
    pub fn linger() -> Span {
        Span::ms(200)
    }
    pub fn timeout() -> Span {
        Span::ms(2000)
    }
    pub fn guests() -> Share {
        Share::percent(25.0)
    }
    pub fn limit_start() -> usize {
        4
    }
    pub fn limit_least() -> usize {
        1
    }
    pub fn window() -> Span {
        Span::ms(5000)
    }
    pub fn half() -> Share {
        Share::percent(50.0)
    }
    pub fn most() -> Share {
        Share::percent(80.0)
    }
    pub fn slow() -> Span {
        Span::ms(1000)
    }
    pub fn least_calls() -> usize {
        10
    }
    pub fn open() -> Span {
        Span::ms(500)
    }
    pub fn longest() -> Span {
        Span::ms(2000)
    }
    pub fn probes() -> usize {
        2
    }
    pub fn retry_share() -> Share {
        Share::percent(10.0)
    }
    pub fn retries_saved() -> usize {
        10
    }
    pub fn attempts() -> usize {
        3
    }
    pub fn ring() -> Size {
        Size(1024 * 1024)
    }
    pub fn files() -> usize {
        8
    }
    pub fn snapshot() -> Span {
        Span::ms(10_000)
    }
    pub fn ttl() -> Span {
        Span::ms(10_000)
    }
    pub fn drift() -> Share {
        Share::percent(5.0)
    }
    pub fn links() -> usize {
        64
    }
    pub fn path() -> String {
        "/".to_string()
    }
    pub fn call() -> Span {
        Span::ms(2000)
    }
    pub fn way() -> Span {
        Span::ms(1000)
    }
    pub fn tries() -> u32 {
        5
    }
    pub fn summary() -> Span {
        Span::ms(10_000)
    }
    pub fn pause() -> Span {
        Span::ms(1000)
    }
    pub fn late() -> Span {
        Span::ms(60_000)
    }
    pub fn history_bytes() -> Size {
        Size(16 * 1024 * 1024)
    }
    pub fn kept_bytes() -> Size {
        Size(1024 * 1024)
    }
}

fn at_least_size(least: u64) -> impl Fn(&Size, &()) -> garde::Result {
    move |size, ()| match size.0 >= least {
        true => Ok(()),
        false => Err(garde::Error::new(format!("must be at least {}", Size(least)))),
    }
}

fn at_least_ms(least: u64) -> impl Fn(&Span, &()) -> garde::Result {
    move |span, ()| match span.0 >= Span::ms(least).0 {
        true => Ok(()),
        false => Err(garde::Error::new(format!("must be at least {}", Span::ms(least)))),
    }
}

/// Checks a name. Names are used unescaped in paths, headers and operators' commands.
fn valid_name(name: &str, _: &()) -> garde::Result {
    let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._".contains(&b));
    match plain && (1..=48).contains(&name.len()) {
        true => Ok(()),
        false => Err(garde::Error::new("must hold 1 to 48 letters, digits, '-', '.' or '_'")),
    }
}

fn valid_drift(drift: &Share, _: &()) -> garde::Result {
    match drift.0 <= 0.2 {
        true => Ok(()),
        false => Err(garde::Error::new("must be at most 20%")),
    }
}

fn above_zero(share: &Share, _: &()) -> garde::Result {
    match share.0 > 0.0 {
        true => Ok(()),
        false => Err(garde::Error::new("must be above 0%")),
    }
}

/// A problem with the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the file, as given.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in that line, in characters from 1.
    pub column: usize,
    /// The path of the key, such as `dependency.padron.calls`; empty for the file as a whole.
    pub key: String,
    /// What is wrong and what was expected.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.what)
    }
}

impl std::error::Error for Problem {}

/// Reads and checks a file from its text. `name` is the file name for messages.
///
/// # Errors
/// All problems found by the first step that fails.
pub fn read(name: &str, text: &str) -> Result<File, Vec<Problem>> {
    let problem = |line, column, key: &str, what: String| Problem {
        file: name.to_string(),
        line,
        column,
        key: key.to_string(),
        what,
    };
    if text.len() > MAX_FILE_BYTES {
        let what = format!("the file has {} bytes; the maximum is {}", text.len(), MAX_FILE_BYTES);
        return Err(vec![problem(1, 1, "", what)]);
    }
    let body = hcl_edit::parser::parse_body(text).map_err(|e| {
        let at = e.location();
        vec![problem(at.line(), at.column(), "", format!("this is not valid HCL: {}", e.message()))]
    })?;
    let located = |at: usize, key: &str, what: String| {
        let (line, column) = source::line_and_column(text, at);
        problem(line, column, key, what)
    };
    let (file, positions) = source::read::<File>(&body).map_err(|e| vec![located(e.at, &e.key, e.what)])?;
    let ranges = match file.validate() {
        Ok(()) => Vec::new(),
        Err(report) => report
            .iter()
            .map(|(path, e)| (path.to_string().replace('[', ".").replace(']', ""), e.message().to_string()))
            .collect(),
    };
    let problems = if ranges.is_empty() { check::between_blocks(&file) } else { ranges };
    if problems.is_empty() {
        return Ok(file);
    }
    Err(problems.into_iter().map(|(key, what)| located(positions.nearest(&key), &key, what)).collect())
}

/// Reads and checks the file at a path.
///
/// # Errors
/// The file cannot be read, or has problems.
pub fn load(path: &str) -> Result<File, Vec<Problem>> {
    match std::fs::read_to_string(path) {
        Ok(text) => read(path, &text),
        Err(e) => Err(vec![Problem {
            file: path.to_string(),
            line: 1,
            column: 1,
            key: String::new(),
            what: format!("cannot be read: {e}"),
        }]),
    }
}

#[cfg(test)]
mod tests;
