//! Requests and replies in the engine, independent of the protocol, and the parsing of a request from fields
//! whose names are the same in each protocol.

use jaspershunt::{CallerId, Repeat, Settings};
use jaspershunt_settings::Names;
use std::fmt;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The longest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 2 * 1024;
/// The longest operation key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Upper bound of the memory that a request may need, exclusive.
const MAX_REQUEST_KB: f64 = 2_000.0;
/// The largest valid estimate of a request's work: an hour.
const MAX_ESTIMATE_MS: f64 = 3_600_000.0;
const WORK_PATH: &str = "/v1/";
const CHECK_PATH: &str = "/healthz";

pub use jaspershunt_keys::Key;

/// Escapes an operation key for a header: bytes other than graphic ASCII, and `%`, become %XX.
pub fn escape_key(key: &str) -> String {
    let mut text = String::with_capacity(key.len());
    for byte in key.bytes() {
        // Guards against a key that ends the header and injects another.
        if byte.is_ascii_graphic() && byte != b'%' {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

/// A request from a peer.
#[derive(Debug, PartialEq)]
pub enum PeerRequest {
    /// A health check.
    Check,
    /// A try of a request.
    Work(Work),
}

/// A try of a request, as parsed.
#[derive(Debug, PartialEq)]
pub struct Work {
    /// The id that the peer gave this try; the interpreter and the database use it too.
    pub uid: Rc<str>,
    /// Its class, by index in the settings.
    pub class: usize,
    /// Its tenant, by index in the settings, if there is one.
    pub tenant: Option<usize>,
    /// Who sent it.
    pub caller: CallerId,
    /// Its arrival at the machine, in Unix seconds; `None` if not given.
    pub arrived: Option<f64>,
    /// How long its caller waits for this try from then on, in seconds; `None` if not given.
    pub caller_timeout: Option<f64>,
    /// Whether it is marked as a further try or a second copy.
    pub resent: bool,
    /// The work to expect, in seconds on one core.
    pub cost_hint: Option<f64>,
    /// The memory that it takes while queued, in kilobytes.
    pub held_kb: f64,
    /// Its rank by worth, from 0 to under 1.
    pub rank: f64,
    /// The operation key that all its tries share; in keyed classes only.
    pub key: Option<Key>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a request is invalid. Nothing of it ran; the peer gets status 400.
#[derive(Debug, PartialEq, Eq)]
pub struct BadRequest(pub String);

impl fmt::Display for BadRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn invalid<T>(field: &str, problem: &str) -> Result<T, BadRequest> {
    Err(BadRequest(format!("{field} {problem}")))
}

/// Parses a request from its path, method, fields and body.
///
/// # Errors
/// The first field that is missing or invalid.
pub fn read<'a>(
    path: &str,
    method: &str,
    field: impl Fn(&str) -> Option<&'a str>,
    body: Vec<u8>,
    settings: &Settings,
    names: &Names,
) -> Result<PeerRequest, BadRequest> {
    if path == CHECK_PATH {
        return Ok(PeerRequest::Check);
    }
    let Some(class) = path.strip_prefix(WORK_PATH) else { return invalid("the path", "is not known") };
    let Ok(class) = names.class(class) else { return invalid("the class", "is not known") };
    if method != "POST" {
        return invalid("the method", "must be POST");
    }
    if body.len() > MAX_BODY_BYTES {
        return invalid("the body", "is over 2 KiB");
    }
    let need = |name: &str| field(name).ok_or_else(|| BadRequest(format!("{name} is missing")));
    let number = |name: &str| {
        let read = |text: &str| text.trim().parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
        let Some(text) = field(name) else { return Ok(None) };
        read(text).map(Some).ok_or_else(|| BadRequest(format!("{name} must be a number of 0 or more")))
    };
    let uid = need("X-Correlation-Id")?;
    if uid.len() != 16 || !uid.bytes().all(|b| b.is_ascii_hexdigit()) {
        return invalid("X-Correlation-Id", "must hold 16 hex digits");
    }
    let Ok(caller) = need("X-Upstream-Peer")?.trim().parse() else {
        return invalid("X-Upstream-Peer", "must be a whole number");
    };
    let Some(held_kb) = number("X-Need-Kb")?.filter(|kb| *kb > 0.0 && *kb < MAX_REQUEST_KB) else {
        return invalid("X-Need-Kb", "must be given, above 0 and under 2000");
    };
    let rank = number("X-Criticality")?.unwrap_or(0.0);
    if rank >= 1.0 {
        return invalid("X-Criticality", "must be under 1");
    }
    let estimate = number("X-Estimate-Ms")?;
    if estimate.is_some_and(|ms| ms > MAX_ESTIMATE_MS) {
        return invalid("X-Estimate-Ms", "must be an hour at most");
    }
    let tenant = field("X-Org").and_then(|name| names.tenant(name));
    if tenant.is_none() && names.has_tenants() {
        return invalid("X-Org", "must name a tenant");
    }
    let resent = match field("X-Resent") {
        None | Some("0") => false,
        Some("1") => true,
        Some(_) => return invalid("X-Resent", "must be 1 or absent"),
    };
    let key = match settings.classes[class].repeat {
        Repeat::Keyed(_) => {
            let key = need("X-Operation-Key")?;
            if key.is_empty() || key.len() > MAX_KEY_BYTES {
                return invalid("X-Operation-Key", "must hold 1 to 128 bytes");
            }
            Some(Key::from(key))
        }
        _ => None,
    };
    Ok(PeerRequest::Work(Work {
        uid: uid.into(),
        class,
        tenant,
        caller: CallerId(caller),
        arrived: number("X-Arrived-Ms")?.map(|ms| ms / 1000.0),
        // Ignored unless the settings state that the deadline is passed on, as else its value is meaningless.
        caller_timeout: number("X-Deadline-Ms")?.filter(|_| names.passes_deadline).map(|ms| ms / 1000.0),
        resent,
        cost_hint: estimate.filter(|ms| *ms > 0.0).map(|ms| ms / 1000.0),
        held_kb,
        rank,
        key,
        body,
    }))
}

/// Whether a request with this path, as far as known, may be of a class whose requests have a key.
pub fn may_be_keyed(path: Option<&str>, settings: &Settings, names: &Names) -> bool {
    let is_keyed = |class: usize| matches!(settings.classes[class].repeat, Repeat::Keyed(_));
    let Some(path) = path else {
        return names.classes().filter_map(|name| names.class(name).ok()).any(is_keyed);
    };
    path.strip_prefix(WORK_PATH).and_then(|name| names.class(name).ok()).is_some_and(is_keyed)
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result of a run.
    Served(Rc<[u8]>),
    /// Refused: this try never ran.
    Refused {
        /// For how many seconds the caller should keep away; 0 gives no advice.
        stay_away: f64,
        /// Ask that no other nodo is tried.
        last: bool,
    },
    /// Failed; promises nothing.
    Failed,
    /// The request is invalid.
    Bad,
    /// The answer to a health check.
    Health {
        /// Whether the nodo is healthy.
        good: bool,
    },
}

/// Marks a served answer that was made without some replies or from cached ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Label {
    /// The names of the dependencies whose replies are missing, each once.
    pub missing: Vec<Rc<str>>,
    /// The age of the oldest cached reply used, in milliseconds.
    pub stale_ms: Option<u64>,
}

/// An answer with the feedback value that callers get with every answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The answer.
    pub answer: Answer,
    /// The feedback value, once the module has given one.
    pub feedback: Option<f64>,
    /// The label of a served answer; `None` if it is complete and fresh.
    pub label: Option<Box<Label>>,
}

impl Reply {
    /// Returns a reply without a label.
    pub fn new(answer: Answer, feedback: Option<f64>) -> Reply {
        Reply { answer, feedback, label: None }
    }
}

/// The connection to another process that relayed requests.
pub trait Relay: fmt::Debug {
    /// Sends the reply to the try with this ticket there. Never blocks; does nothing if that process is gone.
    fn reply(&self, ticket: u64, reply: Reply);
}

/// Where the one reply to a request goes. The receiver's queue has room for as many replies as it admits
/// requests, so sending never blocks; a reply to a closed receiver is dropped.
#[derive(Clone, Debug)]
pub struct ReplyTo(Destination);

#[derive(Clone, Debug)]
enum Destination {
    /// A connection to this process, and the peer's id of the request.
    Connection(mpsc::Sender<(u16, Reply)>, u16),
    /// The other process of an upgrade, and its id of the request.
    Relay(Rc<dyn Relay>, u64),
    /// No caller: work taken over from another nodo.
    Nobody,
}

impl ReplyTo {
    /// Returns a reply channel to a peer's connection, with the peer's id of the request.
    pub fn new(to: mpsc::Sender<(u16, Reply)>, ticket: u16) -> ReplyTo {
        ReplyTo(Destination::Connection(to, ticket))
    }

    /// Returns a reply channel to the other process of an upgrade, with its id of the request.
    pub fn relay(to: Rc<dyn Relay>, ticket: u64) -> ReplyTo {
        ReplyTo(Destination::Relay(to, ticket))
    }

    /// Returns a reply channel without a caller.
    pub fn nobody() -> ReplyTo {
        ReplyTo(Destination::Nobody)
    }

    /// Sends the reply.
    pub fn send(self, reply: Reply) {
        // An error means that the connection or the other process has ended, so the reply is not needed.
        match self.0 {
            Destination::Connection(to, ticket) => drop(to.try_send((ticket, reply))),
            Destination::Relay(to, ticket) => to.reply(ticket, reply),
            Destination::Nobody => {}
        }
    }
}
