//! A fake resource that the tasks of a fleet call over HTTP. It performs acts of a configured duration and
//! records them; its record is authoritative for who acted when. A resource either checks fencing tokens or
//! ignores them.
//!
//! A call with an operation key has an effect, which is recorded by key and token, completes even if its
//! caller disconnects, and can be queried. A query under a token fences off lower tokens of that key. A
//! repeated key has its effect again, so that tests detect it, unless the resource is configured to answer
//! repeats with the earlier result.

use crate::http;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Header with the token of the lease under which an act is performed.
pub const TOKEN_HEADER: &str = "x-fleet-token";
/// Header with the number of the operation, the same across retries and holders.
pub const KEY_HEADER: &str = "x-fleet-key";
/// Header with the name of the holder.
pub const HOLDER_HEADER: &str = "x-fleet-holder";

/// Header with the operation key of a request.
pub const OPERATION_KEY_HEADER: &str = "x-operation-key";
/// Header of a query, which has no effect and returns the recorded one.
pub const QUERY_HEADER: &str = "x-ask";

/// One effect of an operation key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Operation key.
    pub key: String,
    /// Token of the call.
    pub token: u64,
    /// Start, relative to the resource's start.
    pub begin: Duration,
    /// End; `None` while in progress.
    pub end: Option<Duration>,
}

impl Effect {
    /// Returns the body of the answer.
    fn result(&self) -> Vec<u8> {
        format!("did {} under {}", self.key, self.token).into_bytes()
    }
}

/// One recorded act.
#[derive(Clone, Debug, PartialEq)]
pub struct Act {
    /// Holder that performed it.
    pub holder: String,
    /// Token of the call.
    pub token: u64,
    /// Number of the operation.
    pub key: u64,
    /// Start, relative to the resource's start.
    pub begin: Duration,
    /// End; `None` while in progress.
    pub end: Option<Duration>,
    /// Whether it was rejected without effect because a higher token had been seen.
    pub turned_away: bool,
    /// Request body.
    pub body: Vec<u8>,
}

/// How the resource answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The operation is complete.
    Done,
    /// The operation is complete up to this cursor.
    More(Vec<u8>),
    /// The operation failed.
    Fails,
    /// The call is never answered.
    Hangs,
}

struct State {
    checks_tokens: bool,
    duration: Cell<Duration>,
    reply: RefCell<Reply>,
    started: Instant,
    acts: RefCell<Vec<Act>>,
    effects: RefCell<Vec<Effect>>,
    /// The highest token of each operation key in a call or query.
    fences: RefCell<BTreeMap<String, u64>>,
    /// Number of rejected calls and queries with an operation key.
    turned_away: Cell<usize>,
    asked: Cell<usize>,
    /// Prefix of the keys whose repeats are answered with the earlier result.
    answers_repeats: RefCell<Option<String>>,
}

/// A listening fake resource.
#[derive(Clone)]
pub struct Resource {
    address: SocketAddr,
    state: Rc<State>,
}

impl Resource {
    /// Starts a resource on a port chosen by the system, with acts of this duration. With `checks_tokens`, acts
    /// under an outdated token are rejected.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start(checks_tokens: bool, duration: Duration) -> Resource {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let state = Rc::new(State {
            checks_tokens,
            duration: Cell::new(duration),
            reply: RefCell::new(Reply::Done),
            started: Instant::now(),
            acts: RefCell::default(),
            effects: RefCell::default(),
            fences: RefCell::default(),
            turned_away: Cell::new(0),
            asked: Cell::new(0),
            answers_repeats: RefCell::default(),
        });
        let shared = state.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(shared.clone(), stream));
            }
        });
        Resource { address, state }
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the duration of later acts.
    pub fn set_duration(&self, duration: Duration) {
        self.state.duration.set(duration);
    }

    /// Sets how later acts are answered.
    pub fn set_reply(&self, reply: Reply) {
        *self.state.reply.borrow_mut() = reply;
    }

    /// Answers repeats of all operation keys with the earlier result.
    pub fn answers_repeats(&self) {
        self.answers_repeats_of("");
    }

    /// Answers repeats of keys with this prefix with the earlier result; others have their effect again.
    pub fn answers_repeats_of(&self, keys: &str) {
        *self.state.answers_repeats.borrow_mut() = Some(keys.to_string());
    }

    /// Returns all effects of operation keys, in order of their start.
    pub fn effects(&self) -> Vec<Effect> {
        self.state.effects.borrow().clone()
    }

    /// Returns the number of queries, and the number of calls and queries rejected under an outdated token.
    pub fn query_counts(&self) -> (usize, usize) {
        (self.state.asked.get(), self.state.turned_away.get())
    }

    /// Returns the time since the start, the base of the recorded times.
    pub fn elapsed(&self) -> Duration {
        self.state.started.elapsed()
    }

    /// Returns all acts, in order of their start.
    pub fn acts(&self) -> Vec<Act> {
        self.state.acts.borrow().clone()
    }

    /// Returns pairs of accepted acts under different tokens that overlapped in time.
    pub fn overlaps(&self) -> Vec<(Act, Act)> {
        overlaps(&self.acts())
    }

    /// Returns accepted acts whose token is lower than that of an earlier act.
    pub fn stale_token_acts(&self) -> Vec<Act> {
        stale_token_acts(&self.acts())
    }

    /// Returns how often each operation was completed.
    pub fn done(&self) -> BTreeMap<u64, usize> {
        let mut done = BTreeMap::new();
        for act in self.acts().iter().filter(|act| !act.turned_away && act.end.is_some()) {
            *done.entry(act.key).or_default() += 1;
        }
        done
    }
}

/// Returns pairs of accepted acts under different tokens that overlapped in time.
pub fn overlaps(acts: &[Act]) -> Vec<(Act, Act)> {
    let acts: Vec<&Act> = acts.iter().filter(|act| !act.turned_away).collect();
    let mut found = Vec::new();
    for (n, one) in acts.iter().enumerate() {
        // Acts are in order of their start.
        for other in &acts[n + 1..] {
            if one.token != other.token && one.end.is_none_or(|end| other.begin < end) {
                found.push(((*one).clone(), (*other).clone()));
            }
        }
    }
    found
}

/// Returns accepted acts whose token is lower than that of an earlier act.
pub fn stale_token_acts(acts: &[Act]) -> Vec<Act> {
    let mut highest = 0;
    let mut found = Vec::new();
    for act in acts.iter().filter(|act| !act.turned_away) {
        if act.token < highest {
            found.push(act.clone());
        }
        highest = highest.max(act.token);
    }
    found
}

async fn serve(state: Rc<State>, mut stream: TcpStream) {
    let mut input = Vec::new();
    while let Ok(Some(request)) = http::read(&mut stream, &mut input).await {
        let number = |name| request.header(name).parse().unwrap_or(0);
        if !request.header(OPERATION_KEY_HEADER).is_empty() {
            let reply_bytes = operation(&state, &request, number(TOKEN_HEADER)).await;
            if stream.write_all(&reply_bytes).await.is_err() {
                return;
            }
            continue;
        }
        let (token, key) = (number(TOKEN_HEADER), number(KEY_HEADER));
        let seen = state.acts.borrow().iter().filter(|act| !act.turned_away).map(|act| act.token).max();
        let turned_away = state.checks_tokens && seen.is_some_and(|seen| token < seen);
        let begin = state.started.elapsed();
        let index = state.acts.borrow().len();
        let holder = request.header(HOLDER_HEADER).to_string();
        let (end, body) = (turned_away.then_some(begin), request.body.clone());
        state.acts.borrow_mut().push(Act { holder, token, key, begin, end, turned_away, body });
        if turned_away {
            let reply_bytes = http::reply("412 Precondition Failed", "", b"a higher token was seen");
            if stream.write_all(&reply_bytes).await.is_err() {
                return;
            }
            continue;
        }
        sleep(state.duration.get()).await;
        let reply = state.reply.borrow().clone();
        if reply == Reply::Hangs {
            // Until the caller disconnects.
            while let Ok(1..) = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 64]).await {}
            state.acts.borrow_mut()[index].end = Some(state.started.elapsed());
            return;
        }
        state.acts.borrow_mut()[index].end = Some(state.started.elapsed());
        let reply_bytes = match reply {
            Reply::Done => http::reply("200 OK", "", b"done"),
            Reply::More(cursor) => http::reply("202 Accepted", "", &cursor),
            Reply::Fails | Reply::Hangs => http::reply("500 Internal Server Error", "", b"it failed"),
        };
        if stream.write_all(&reply_bytes).await.is_err() {
            return;
        }
    }
}

/// Returns the answer to a call or query with an operation key.
async fn operation(state: &State, request: &http::Request, token: u64) -> Vec<u8> {
    let key = request.header(OPERATION_KEY_HEADER).to_string();
    let is_query = request.header(QUERY_HEADER) == "1";
    state.asked.set(state.asked.get() + usize::from(is_query));
    let fence = state.fences.borrow().get(&key).copied().unwrap_or(0);
    if token < fence {
        state.turned_away.set(state.turned_away.get() + 1);
        return http::reply("412 Precondition Failed", "", b"a higher token was seen");
    }
    state.fences.borrow_mut().insert(key.clone(), token);
    let is_deduplicated = state.answers_repeats.borrow().as_ref().is_some_and(|keys| key.starts_with(keys));
    let known = state.effects.borrow().iter().position(|effect| effect.key == key);
    let index = match known {
        Some(index) if is_query => index,
        Some(index) if is_deduplicated => {
            // A repeat takes as long as an act: otherwise callers would learn from fast repeats to use short
            // timeouts and would abandon the next act midway.
            sleep(state.duration.get()).await;
            index
        }
        None if is_query => return http::reply("404 Not Found", "", b""),
        _ => {
            let effect = Effect { key, token, begin: state.started.elapsed(), end: None };
            state.effects.borrow_mut().push(effect);
            let index = state.effects.borrow().len() - 1;
            sleep(state.duration.get()).await;
            state.effects.borrow_mut()[index].end = Some(state.started.elapsed());
            index
        }
    };
    // Waits for an effect in progress.
    while state.effects.borrow()[index].end.is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let result = state.effects.borrow()[index].result();
    http::reply("200 OK", "", &result)
}

#[cfg(test)]
mod tests;
