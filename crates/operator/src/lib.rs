//! The operator's own file, in HCL: the one place where it is read, checked and given its defaults.
//!
//! The platform's configuration tells a nodo where it stands; this file tells what the operator wants of it beyond
//! that: dependencies and their budgets, and routes. A nodo that is given none behaves as if this crate were not there.
//!
//! [`read`] goes through four steps, each of which stops at what it finds wrong: the grammar ([`hcl_edit`]), types and
//! keys (serde, over [`source`]), ranges (garde), and what only shows between blocks ([`check`]). Every [`Problem`] names
//! file, line, column, the key and what was expected.
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

/// The longest file that is read, in bytes. Ours: a file that a person wrote is far shorter.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;
/// Dependencies and routes that a file may have.
pub const MAX_BLOCKS: usize = 64;
/// Members of a fleet that agree: as many as anybody needs.
pub const MAX_VOTERS: usize = 7;
/// Parts of the route table that one team may own by its block.
pub const MAX_OWNED: usize = 64;
/// Addresses of one dependency.
pub const MAX_ADDRESSES: usize = 16;

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// What lies below the nodo, by name.
    #[serde(default)]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub dependency: BTreeMap<String, Dependency>,
    /// Where the calls of a class go, by the name of the class.
    #[serde(default)]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub route: BTreeMap<String, Route>,
    /// Repeated attempts, over all dependencies.
    #[serde(default)]
    #[garde(dive)]
    pub retries: Retries,
    /// Replies kept to fall back on.
    #[serde(default)]
    #[garde(dive)]
    pub kept: Kept,
    /// Captures of what was decided; none where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub capture: Option<Capture>,
    /// The fleet that this nodo is a member of; none where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub fleet: Option<Fleet>,
    /// What is to be done once for the whole fleet, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub task: BTreeMap<String, Task>,
    /// Classes whose work in hand is taken over when its nodo is lost, by the name of the class.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub handover: BTreeMap<String, Handover>,
    /// Teams that edit the fleet's route table, by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[garde(dive, length(max = MAX_BLOCKS))]
    pub team: BTreeMap<String, Team>,
    /// Who is served soonest where, from what edges measure; off where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub steering: Option<Steering>,
    /// What this nodo asks of the fleet and hears, written down for checkers; nothing where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub history: Option<History>,
}

/// One thing that lies below, and what this nodo may ask of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    /// Where it listens; a call that cannot connect to one goes to the next.
    #[garde(length(min = 1, max = MAX_ADDRESSES))]
    pub addresses: Vec<SocketAddr>,
    /// Calls in hand at most, those given up counted until they are surely over.
    #[serde(default = "defaults::calls")]
    #[garde(range(min = 1, max = 1024))]
    pub calls: usize,
    /// Calls that wait for room at most.
    #[serde(default = "defaults::waiting")]
    #[garde(range(max = 1024))]
    pub waiting: usize,
    /// The longest that a call waits for room.
    #[serde(default = "defaults::wait")]
    #[garde(skip)]
    pub wait: Span,
    /// Bytes of calls' bodies, waiting and in hand, at most.
    #[serde(default = "defaults::bytes")]
    #[garde(custom(at_least_size(2048)))]
    pub bytes: Size,
    /// Calls begun a second at most; none where it is left out.
    #[serde(default)]
    #[garde(skip)]
    pub rate: Option<Rate>,
    /// Connections open at once, idle ones included.
    #[serde(default = "defaults::calls")]
    #[garde(range(min = 1, max = 1024))]
    pub connections: usize,
    /// The part of the nodo's places for parked runs, and of their memory, that runs which wait for this may take.
    #[serde(default = "defaults::share")]
    #[garde(custom(above_zero))]
    pub share: Share,
    /// How long a call that was given up may go on below.
    #[serde(default = "defaults::linger")]
    #[garde(skip)]
    pub linger: Span,
    /// One attempt is given up after this time, or sooner when its request has less left.
    #[serde(default = "defaults::timeout")]
    #[garde(custom(at_least_ms(1)))]
    pub timeout: Span,
    /// The dependency that calls go to when this one cannot take them, or failed them.
    #[serde(default)]
    #[garde(skip)]
    pub fall_back: Option<String>,
    /// The part of the present limit that calls may take which fell back on this from another.
    #[serde(default = "defaults::guests")]
    #[garde(skip)]
    pub guests: Share,
    /// What the dependency can take, as it is learned.
    #[serde(default)]
    #[garde(dive)]
    pub limit: Limit,
    /// When it is left alone for a while.
    #[serde(default)]
    #[garde(dive)]
    pub breaker: Breaker,
}

/// The learned limit on calls in hand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Whether it is learned; else it is `calls` all the time.
    #[serde(default = "defaults::yes")]
    #[garde(skip)]
    pub learned: bool,
    /// Where it begins.
    #[serde(default = "defaults::limit_start")]
    #[garde(range(min = 1, max = 1024))]
    pub start: usize,
    /// It never goes below.
    #[serde(default = "defaults::limit_least")]
    #[garde(range(min = 1, max = 1024))]
    pub least: usize,
}

/// The circuit breaker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Breaker {
    /// The calls of so long are looked at.
    #[serde(default = "defaults::window")]
    #[garde(custom(at_least_ms(100)))]
    pub window: Span,
    /// It opens when this part of them failed.
    #[serde(default = "defaults::half")]
    #[garde(custom(above_zero))]
    pub failures: Share,
    /// A call that takes longer is a slow one.
    #[serde(default = "defaults::slow")]
    #[garde(custom(at_least_ms(1)))]
    pub slow: Span,
    /// It opens when this part of them was slow.
    #[serde(default = "defaults::most")]
    #[garde(custom(above_zero))]
    pub slow_calls: Share,
    /// Fewer calls than this say nothing.
    #[serde(default = "defaults::least_calls")]
    #[garde(range(min = 1, max = 100_000))]
    pub least: usize,
    /// How long it stays open the first time; twice as long each further time.
    #[serde(default = "defaults::open")]
    #[garde(custom(at_least_ms(10)))]
    pub wait: Span,
    /// The longest that it stays open.
    #[serde(default = "defaults::longest")]
    #[garde(skip)]
    pub longest: Span,
    /// Calls in hand while it is half open; as many must go well for it to close.
    #[serde(default = "defaults::probes")]
    #[garde(range(min = 1, max = 64))]
    pub probes: usize,
}

/// Whether the requests of a class may run again; must say the same as the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// They may run any number of times.
    Safe,
    /// They come with a key and must not run twice within its window.
    Keyed,
    /// They must not run twice.
    Unsafe,
}

/// Where the calls of one class go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Whether the class may run again.
    #[garde(skip)]
    pub repeat: Repeat,
    /// Whether an answer may be made without a call that cannot be made. It then says what it lacks.
    #[serde(default)]
    #[garde(skip)]
    pub without: bool,
    /// The calls of a run by their place in it, from "1"; "any" is for those that are not named.
    #[serde(default)]
    #[garde(dive)]
    pub call: BTreeMap<String, Call>,
}

/// Where one call of a run goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The name of the dependency.
    #[garde(skip)]
    pub to: String,
    /// Whether it may go to the dependencies that this one falls back on.
    #[serde(default = "defaults::yes")]
    #[garde(skip)]
    pub elsewhere: bool,
    /// A reply to the same call that is no older than this may stand in. The answer then says how old it is.
    #[serde(default)]
    #[garde(skip)]
    pub kept: Option<Span>,
}

/// Attempts beyond the first, over all dependencies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// So many for each first attempt.
    #[serde(default = "defaults::retry_share")]
    #[garde(skip)]
    pub share: Share,
    /// So many may be saved up.
    #[serde(default = "defaults::retries_saved")]
    #[garde(range(min = 1, max = 10_000))]
    pub saved: usize,
    /// Attempts for one call at most.
    #[serde(default = "defaults::attempts")]
    #[garde(range(min = 1, max = 8))]
    pub attempts: usize,
}

/// Replies kept to fall back on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Kept {
    /// Bytes of replies and of what names them, at most.
    #[serde(default = "defaults::kept_bytes")]
    #[garde(skip)]
    pub bytes: Size,
}

/// Captures of all that was decided on, for afterwards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Capture {
    /// Where files go.
    #[garde(length(min = 1, max = 4096))]
    pub folder: String,
    /// Memory for what was decided last; it is written out on SIGUSR1, when a guard keeps a rule, and when refusals jump.
    #[serde(default = "defaults::ring")]
    #[garde(custom(at_least_size(256 * 1024)))]
    pub ring: Size,
    /// Whether all is written, not only when there is a reason.
    #[serde(default)]
    #[garde(skip)]
    pub all: bool,
    /// Files that are kept; the oldest go.
    #[serde(default = "defaults::files")]
    #[garde(range(min = 1, max = 10_000))]
    pub files: usize,
    /// The decision state goes along this often; a replay can begin at each.
    #[serde(default = "defaults::snapshot")]
    #[garde(custom(at_least_ms(100)))]
    pub snapshot: Span,
    /// Refusals have jumped when they are this part of a second's requests, and twice that of before.
    #[serde(default = "defaults::half")]
    #[garde(custom(above_zero))]
    pub refusals: Share,
}

/// The fleet that a nodo is a member of, by the nodo's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Its name. Members of another fleet are turned away.
    #[garde(custom(valid_name))]
    pub name: String,
    /// What lasts of this member: how often it was started, and the disk of its voter.
    #[garde(length(min = 1, max = 4096))]
    pub folder: String,
    /// Where others connect, if this nodo votes; its own address among the voters if left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub listen: Option<SocketAddr>,
    /// How long a lease lasts from when its holder asked for it to go on.
    #[serde(default = "defaults::ttl")]
    #[garde(custom(at_least_ms(500)))]
    pub ttl: Span,
    /// How far a clock's rate may be off, to either side.
    #[serde(default = "defaults::drift")]
    #[garde(custom(valid_drift))]
    pub drift: Share,
    /// Where this nodo stands, as route tables and steering name it; nowhere in particular where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(custom(valid_name)))]
    pub region: Option<String>,
    /// How many of the nodos get a new route table first, and all others only when these do no worse. The file of the one that leads says.
    #[serde(default)]
    #[garde(skip)]
    pub trial: Trial,
    /// Connections of others at once, where this nodo votes.
    #[serde(default = "defaults::links")]
    #[garde(range(min = 1, max = 1024))]
    pub links: usize,
    /// The members that agree, the same in every member's file.
    #[garde(dive, length(min = 1, max = MAX_VOTERS))]
    pub voter: BTreeMap<String, Voter>,
}

/// How many of the nodos get a new route table first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Trial {
    /// It goes to all at once.
    #[default]
    None,
    /// A tenth of them.
    Tenth,
    /// A quarter.
    Quarter,
    /// A half.
    Half,
}

/// A member that agrees.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Voter {
    /// Where it listens, as seen from here.
    #[garde(skip)]
    pub address: SocketAddr,
}

/// How safe the calls of a task are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Grade {
    /// What is called turns away every token under one that it has seen.
    #[default]
    Checked,
    /// It cannot: calls and ways are bounded, and the next holder waits them out.
    Timed,
}

/// What happens to times that nobody ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Missed {
    /// They are let go.
    Skip,
    /// All of them together are run once.
    #[default]
    Once,
    /// Each is run.
    Each,
}

/// What is to be done once for the whole fleet: a call over HTTP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Where it is called.
    #[garde(skip)]
    pub address: SocketAddr,
    /// The path of the call.
    #[serde(default = "defaults::path")]
    #[garde(length(min = 1, max = 256))]
    pub path: String,
    /// It is due every so often, counted from the start of 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub every: Option<Span>,
    /// It is due when this cron line says, in UTC.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub cron: Option<String>,
    /// How safe its calls are.
    #[serde(default)]
    #[garde(skip)]
    pub grade: Grade,
    /// For one call.
    #[serde(default = "defaults::call")]
    #[garde(custom(at_least_ms(1)))]
    pub timeout: Span,
    /// The longest way to what is called, and the longest pause of this nodo; for timed calls.
    #[serde(default = "defaults::way")]
    #[garde(custom(at_least_ms(1)))]
    pub way: Span,
    /// Calls for one time by each holder, the first included.
    #[serde(default = "defaults::tries")]
    #[garde(range(min = 1, max = 1000))]
    pub tries: u32,
    /// Between two of them; twice as long each time.
    #[serde(default = "defaults::pause")]
    #[garde(custom(at_least_ms(1)))]
    pub wait: Span,
    /// What happens to times that nobody ran.
    #[serde(default)]
    #[garde(skip)]
    pub missed: Missed,
    /// For so long after its time a run counts as in time, where what was missed is let go.
    #[serde(default = "defaults::late")]
    #[garde(skip)]
    pub late: Span,
}

/// What becomes of work of a class that was begun and whose nodo is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// What it acts on tells by operation key whether it was done.
    Asks,
    /// What it acts on turns away lower tokens, and answers a repeat of a key with what it did.
    Fenced,
    /// Neither: nobody can tell.
    Unknown,
}

/// What is done with a request for which the agreed state has no room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Full {
    /// It runs, and is lost with its nodo.
    Run,
    /// It is turned away, and nothing of it ran.
    #[default]
    Refuse,
}

/// A class whose work in hand is taken over when its nodo is lost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// What is done with work that was begun.
    #[garde(skip)]
    pub effect: Effect,
    /// What the class acts on, where it can be asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub resource: Option<SocketAddr>,
    /// The path under which it is asked.
    #[serde(default = "defaults::path")]
    #[garde(length(min = 1, max = 256))]
    pub path: String,
    /// For one question to it.
    #[serde(default = "defaults::call")]
    #[garde(custom(at_least_ms(1)))]
    pub timeout: Span,
    /// What is done where the agreed state has no room.
    #[serde(default)]
    #[garde(skip)]
    pub full: Full,
}

/// A team that edits the route table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// What of the table is its own, such as `class/registrar-firma`: others touch it only with its word.
    #[serde(default)]
    #[garde(length(max = MAX_OWNED), inner(length(min = 1, max = 96)))]
    pub owns: Vec<String>,
    /// What becomes of its edits while the fleet does not answer this nodo.
    #[serde(default)]
    #[garde(skip)]
    pub cut_off: CutOff,
}

/// What becomes of an edit that the fleet does not answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CutOff {
    /// It is kept on the nodo's disk, and sent on once the fleet answers.
    #[default]
    Hold,
    /// It is refused, and nothing of it stays here.
    Refuse,
}

/// Steering of clients by what edges measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Steering {
    /// How often this nodo tells the fleet what it has measured.
    #[serde(default = "defaults::summary")]
    #[garde(custom(at_least_ms(100)))]
    pub every: Span,
    /// Requests a second that this nodo can take, as plans count it.
    #[garde(skip)]
    pub capacity: Rate,
    /// What makes a group of clients.
    #[serde(default)]
    #[garde(skip)]
    pub by: By,
    /// The field whose value makes the group, where a field does: as a header is named, with parts within parts set off by '/'.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(length(min = 1, max = 64)))]
    pub field: Option<String>,
    /// Where delays come from.
    #[serde(default)]
    #[garde(skip)]
    pub delays: Delays,
}

/// What makes a group of clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum By {
    /// The number of the balancer through which they come.
    #[default]
    Balancer,
    /// The prefix of the address that connects.
    Address,
    /// A field of the request.
    Field,
}

/// Where delays come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Delays {
    /// The system's smoothed round trip of each connection.
    #[default]
    Kernel,
    /// The shortest time from an answer to the next request of a connection that carries one at a time: where something between ends
    /// connections, and clients ask again at once.
    Gaps,
}

/// The history of this nodo's part in the fleet, for tests with many processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct History {
    /// Where its files go, one for each start.
    #[garde(length(min = 1, max = 4096))]
    pub folder: String,
    /// Bytes of a file at most; then it says that it is full.
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

/// Every default of the file, in one place.
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

/// Names stand in paths, headers and lines of operators as they are.
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

/// Something in the file that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file, as it was named.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in that line, in characters from 1.
    pub column: usize,
    /// The way to the key at fault, such as `dependency.padron.calls`; empty for the file as a whole.
    pub key: String,
    /// What is wrong, and what was expected.
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

/// Reads and checks a file from its text; `name` is what messages call it.
///
/// # Errors
/// All that the first step finds wrong which finds anything.
pub fn read(name: &str, text: &str) -> Result<File, Vec<Problem>> {
    let problem = |line, column, key: &str, what: String| Problem {
        file: name.to_string(),
        line,
        column,
        key: key.to_string(),
        what,
    };
    if text.len() > MAX_FILE_BYTES {
        let what = format!("the file has {} bytes; {} at most are read", text.len(), MAX_FILE_BYTES);
        return Err(vec![problem(1, 1, "", what)]);
    }
    let body = hcl_edit::parser::parse_body(text).map_err(|e| {
        let at = e.location();
        vec![problem(at.line(), at.column(), "", format!("this is no HCL: {}", e.message()))]
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
/// That it cannot be read, or what is wrong in it.
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
