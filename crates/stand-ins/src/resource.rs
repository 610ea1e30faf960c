//! What the tasks of a fleet act on: takes calls over HTTP, each an act of some length, and records them. Its record is the truth
//! about who acted when. One form checks tokens, as a resource should; the other cannot.
//!
//! What comes with an operation key is an effect: it is recorded by key and token, goes on to its end whatever becomes of its caller,
//! and can be asked for. Whoever asks under a token turns lower ones of that key away from then on. A key that comes twice has its
//! effect twice, so that a test can see it; unless the resource is reply_bytes to answer repeats with what it did.

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

/// The header that carries the token of the lease under which an act is done.
pub const TOKEN: &str = "x-fleet-token";
/// The header that carries the key of the operation, the same over retries and holders.
pub const KEY: &str = "x-fleet-key";
/// The header that names the holder.
pub const HOLDER: &str = "x-fleet-holder";

/// The header that carries the operation key of a request.
pub const OPERATION: &str = "x-operation-key";
/// The header that says that nothing is to be done, but reply_bytes.
pub const ASK: &str = "x-ask";

/// One effect of an operation key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// The key, as it was written.
    pub key: String,
    /// Under which token.
    pub token: u64,
    /// From the resource's start.
    pub begin: Duration,
    /// When it was over; `None` while it is not.
    pub end: Option<Duration>,
}

impl Effect {
    /// What is answered.
    fn result(&self) -> Vec<u8> {
        format!("did {} under {}", self.key, self.token).into_bytes()
    }
}

/// One act, as it landed.
#[derive(Clone, Debug, PartialEq)]
pub struct Act {
    /// Who did it.
    pub holder: String,
    /// Under which token.
    pub token: u64,
    /// For which operation.
    pub key: u64,
    /// From the resource's start.
    pub begin: Duration,
    /// When it was over; `None` while it is not.
    pub end: Option<Duration>,
    /// It was turned away, as a higher token had been seen: it had no effect.
    pub turned_away: bool,
    /// The body that came with it.
    pub body: Vec<u8>,
}

/// How it answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// All is done.
    Done,
    /// It is done up to here.
    More(Vec<u8>),
    /// It fails.
    Fails,
    /// Nothing is ever answered.
    Hangs,
}

struct State {
    checks: bool,
    length: Cell<Duration>,
    reply: RefCell<Reply>,
    began: Instant,
    acts: RefCell<Vec<Act>>,
    effects: RefCell<Vec<Effect>>,
    /// The highest token of each operation key that acted or asked.
    fences: RefCell<BTreeMap<String, u64>>,
    /// Callers that were turned away, and questions.
    turned_away: Cell<usize>,
    asked: Cell<usize>,
    /// Repeats of keys that begin so are answered with what was done.
    answers_repeats: RefCell<Option<String>>,
}

/// A resource that listens.
#[derive(Clone)]
pub struct Resource {
    address: SocketAddr,
    state: Rc<State>,
}

impl Resource {
    /// Starts one on a port of the system's choice. An act lasts so long; with `checks` those under an old token are turned away.
    ///
    /// # Panics
    /// Where loopback has no port left.
    pub async fn start(checks: bool, length: Duration) -> Resource {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let state = Rc::new(State {
            checks,
            length: Cell::new(length),
            reply: RefCell::new(Reply::Done),
            began: Instant::now(),
            acts: RefCell::default(),
            effects: RefCell::default(),
            fences: RefCell::default(),
            turned_away: Cell::new(0),
            asked: Cell::new(0),
            answers_repeats: RefCell::default(),
        });
        let all = state.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(all.clone(), stream));
            }
        });
        Resource { address, state }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on an act lasts so long.
    pub fn set_duration(&self, length: Duration) {
        self.state.length.set(length);
    }

    /// From now on it answers so.
    pub fn set_reply(&self, reply: Reply) {
        *self.state.reply.borrow_mut() = reply;
    }

    /// From now on a repeat of an operation key is answered with what was done.
    pub fn answers_repeats(&self) {
        self.answers_repeats_of("");
    }

    /// The same for keys that begin so; others have their effect again.
    pub fn answers_repeats_of(&self, keys: &str) {
        *self.state.answers_repeats.borrow_mut() = Some(keys.to_string());
    }

    /// All effects of operation keys, in the order in which they began.
    pub fn effects(&self) -> Vec<Effect> {
        self.state.effects.borrow().clone()
    }

    /// How many questions there were, and how many calls and questions were turned away under an old token.
    pub fn query_counts(&self) -> (usize, usize) {
        (self.state.asked.get(), self.state.turned_away.get())
    }

    /// The time since its start, as acts have it.
    pub fn elapsed(&self) -> Duration {
        self.state.began.elapsed()
    }

    /// All acts, in the order in which they began.
    pub fn acts(&self) -> Vec<Act> {
        self.state.acts.borrow().clone()
    }

    /// Pairs of acts of different tokens that went on at one time, those that were turned away left out.
    pub fn overlaps(&self) -> Vec<(Act, Act)> {
        overlaps(&self.acts())
    }

    /// Acts that had an effect under a lower token than one that had an effect before.
    pub fn stale_token_acts(&self) -> Vec<Act> {
        stale_token_acts(&self.acts())
    }

    /// How often each operation was done to its end.
    pub fn done(&self) -> BTreeMap<u64, usize> {
        let mut done = BTreeMap::new();
        for act in self.acts().iter().filter(|act| !act.turned_away && act.end.is_some()) {
            *done.entry(act.key).or_default() += 1;
        }
        done
    }
}

/// Pairs of acts of different tokens that went on at one time.
pub fn overlaps(acts: &[Act]) -> Vec<(Act, Act)> {
    let acts: Vec<&Act> = acts.iter().filter(|act| !act.turned_away).collect();
    let mut found = Vec::new();
    for (n, one) in acts.iter().enumerate() {
        // They are in the order in which they began.
        for other in &acts[n + 1..] {
            if one.token != other.token && one.end.is_none_or(|end| other.begin < end) {
                found.push(((*one).clone(), (*other).clone()));
            }
        }
    }
    found
}

/// Acts that had an effect under a lower token than one that had an effect before.
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
        if !request.header(OPERATION).is_empty() {
            let reply_bytes = operation(&state, &request, number(TOKEN)).await;
            if stream.write_all(&reply_bytes).await.is_err() {
                return;
            }
            continue;
        }
        let (token, key) = (number(TOKEN), number(KEY));
        let seen = state.acts.borrow().iter().filter(|act| !act.turned_away).map(|act| act.token).max();
        let turned_away = state.checks && seen.is_some_and(|seen| token < seen);
        let begin = state.began.elapsed();
        let place = state.acts.borrow().len();
        let holder = request.header(HOLDER).to_string();
        let (end, body) = (turned_away.then_some(begin), request.body.clone());
        state.acts.borrow_mut().push(Act { holder, token, key, begin, end, turned_away, body });
        if turned_away {
            let reply_bytes = http::reply("412 Precondition Failed", "", b"a higher token was seen");
            if stream.write_all(&reply_bytes).await.is_err() {
                return;
            }
            continue;
        }
        sleep(state.length.get()).await;
        let reply = state.reply.borrow().clone();
        if reply == Reply::Hangs {
            // Until the caller has had enough.
            while let Ok(1..) = tokio::io::AsyncReadExt::read(&mut stream, &mut [0; 64]).await {}
            state.acts.borrow_mut()[place].end = Some(state.began.elapsed());
            return;
        }
        state.acts.borrow_mut()[place].end = Some(state.began.elapsed());
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

/// What is answered to a call or a question with an operation key.
async fn operation(state: &State, request: &http::Request, token: u64) -> Vec<u8> {
    let key = request.header(OPERATION).to_string();
    let asks = request.header(ASK) == "1";
    state.asked.set(state.asked.get() + usize::from(asks));
    let fence = state.fences.borrow().get(&key).copied().unwrap_or(0);
    if token < fence {
        state.turned_away.set(state.turned_away.get() + 1);
        return http::reply("412 Precondition Failed", "", b"a higher token was seen");
    }
    state.fences.borrow_mut().insert(key.clone(), token);
    let answers = state.answers_repeats.borrow().as_ref().is_some_and(|keys| key.starts_with(keys));
    let known = state.effects.borrow().iter().position(|effect| effect.key == key);
    let place = match known {
        Some(place) if asks => place,
        Some(place) if answers => {
            // A repeat takes what an act does: guards against callers who learn from repeats that calls are over in no time, and give the
            // next act up in its middle.
            sleep(state.length.get()).await;
            place
        }
        None if asks => return http::reply("404 Not Found", "", b""),
        _ => {
            let effect = Effect { key, token, begin: state.began.elapsed(), end: None };
            state.effects.borrow_mut().push(effect);
            let place = state.effects.borrow().len() - 1;
            sleep(state.length.get()).await;
            state.effects.borrow_mut()[place].end = Some(state.began.elapsed());
            place
        }
    };
    // One that goes on is waited for.
    while state.effects.borrow()[place].end.is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let result = state.effects.borrow()[place].result();
    http::reply("200 OK", "", &result)
}

#[cfg(test)]
mod tests;
