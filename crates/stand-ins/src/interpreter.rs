//! A fake interpreter: runs requests on a fixed number of cores, makes the calls configured for their class,
//! and reports in each result what it received for them.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Notices kept for replay on a new link.
const MAX_KEPT_NOTICES: usize = 4000;

/// A run whose body starts with this prefix does nothing and ends with an error on [`Interpreter::fail`].
pub const BLOCKING_PREFIX: &[u8] = b"held";

/// The work of one run of a class.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Time on a core before each call and after the last one.
    pub core_time: Duration,
    /// Number of sequential calls.
    pub calls: usize,
}

/// How the interpreter handles a command to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halt {
    /// Rejects the command.
    Never,
    /// Ends the run and discards its work.
    Drop,
    /// Pauses a run that is on a core until it is told to continue.
    Pause,
}

/// What a run received for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// A reply.
    Reply(Vec<u8>),
    /// No reply: the run continues without one.
    Nothing,
}

/// The record of a run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Correlation id of the request.
    pub uid: String,
    /// Class of the request.
    pub class: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// What the run received for its calls, in order.
    pub call_results: Vec<CallResult>,
    /// How the run ended; `None` while it runs.
    pub end: Option<&'static str>,
}

struct Running {
    index: usize,
    /// The call that the run waits for, by the number of its notice.
    pending_call: Option<(u64, oneshot::Sender<CallResult>)>,
    stop: Rc<Notify>,
    /// Whether the run is paused and waits for `resume`.
    paused: bool,
    resume: Rc<Notify>,
    request_ended: bool,
}

struct State {
    classes: BTreeMap<String, Work>,
    halt: Halt,
    cores: Semaphore,
    /// Runs that occupy a core or wait for one.
    on_cores: RefCell<usize>,
    runs: RefCell<Vec<RunRecord>>,
    running: RefCell<BTreeMap<String, Running>>,
    notices: RefCell<VecDeque<(u64, String)>>,
    pos: RefCell<u64>,
    /// Notified on each notice and each new link.
    changed: Notify,
    link: RefCell<u64>,
    /// When the interpreter became ready, if it has; one that is not ready at its start is cold.
    ready_since: RefCell<Option<Instant>>,
    cold: bool,
    max_on_cores: RefCell<usize>,
    /// Each change of `on_cores` with its time.
    on_cores_history: RefCell<Vec<(Instant, usize)>>,
    /// Bodies that start with [`BLOCKING_PREFIX`] and whose runs are to fail.
    failing: RefCell<BTreeSet<Vec<u8>>>,
    failing_changed: Notify,
}

/// A listening fake interpreter.
#[derive(Clone)]
pub struct Interpreter {
    address: SocketAddr,
    state: Rc<State>,
}

impl Interpreter {
    /// Starts a warm interpreter with this many cores on a port chosen by the system.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start(cores: usize, classes: &[(&str, Work)]) -> Interpreter {
        Interpreter::start_with(cores, Halt::Drop, classes).await
    }

    /// Starts a cold interpreter, which accepts links but answers none before [`Interpreter::become_ready`].
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start_cold(cores: usize, classes: &[(&str, Work)]) -> Interpreter {
        Interpreter::start_as(cores, Halt::Drop, classes, true).await
    }

    /// Marks the interpreter as ready.
    pub fn become_ready(&self) {
        *self.state.ready_since.borrow_mut() = Some(Instant::now());
        self.state.changed.notify_waiters();
    }

    /// Closes the current link without ending the runs.
    pub fn drop_link(&self) {
        *self.state.link.borrow_mut() += 1;
        self.state.changed.notify_waiters();
    }

    /// Returns the number of links accepted and links dropped so far.
    pub fn links(&self) -> u64 {
        *self.state.link.borrow()
    }

    /// Starts a warm interpreter that handles commands to stop a run as `halt` states.
    ///
    /// # Panics
    /// Panics if loopback has no free port.
    pub async fn start_with(cores: usize, halt: Halt, classes: &[(&str, Work)]) -> Interpreter {
        Interpreter::start_as(cores, halt, classes, false).await
    }

    async fn start_as(cores: usize, halt: Halt, classes: &[(&str, Work)], cold: bool) -> Interpreter {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let state = Rc::new(State {
            classes: classes.iter().map(|(name, work)| (name.to_string(), work.clone())).collect(),
            halt,
            cores: Semaphore::new(cores),
            on_cores: RefCell::new(0),
            runs: RefCell::default(),
            running: RefCell::default(),
            notices: RefCell::default(),
            pos: RefCell::new(0),
            changed: Notify::new(),
            link: RefCell::new(0),
            ready_since: RefCell::new((!cold).then(Instant::now)),
            cold,
            max_on_cores: RefCell::new(0),
            on_cores_history: RefCell::default(),
            failing: RefCell::default(),
            failing_changed: Notify::new(),
        });
        let shared = state.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A new link replaces the previous one.
                *shared.link.borrow_mut() += 1;
                shared.changed.notify_waiters();
                spawn_local(serve(shared.clone(), stream));
            }
        });
        Interpreter { address, state }
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reports that the request has been answered. As on the platform, its run ends at once if it waits for a
    /// call, and otherwise at its next call.
    pub fn request_ended(&self, uid: &str) {
        if let Some(run) = self.state.running.borrow_mut().get_mut(uid) {
            run.request_ended = true;
            if run.pending_call.is_some() {
                run.stop.notify_one();
            }
        }
    }

    /// Fails the present and future runs of this body, which must start with [`BLOCKING_PREFIX`].
    pub fn fail(&self, body: &[u8]) {
        self.state.failing.borrow_mut().insert(body.to_vec());
        self.state.failing_changed.notify_waiters();
    }

    /// Returns the maximum number of runs that occupied or waited for a core at the same time.
    pub fn max_on_cores(&self) -> usize {
        *self.state.max_on_cores.borrow()
    }

    /// Returns each change of the number of runs that occupy or wait for a core, with its time.
    pub fn on_cores_history(&self) -> Vec<(Instant, usize)> {
        self.state.on_cores_history.borrow().clone()
    }

    /// Returns all runs so far, in order of their start.
    pub fn runs(&self) -> std::cell::Ref<'_, Vec<RunRecord>> {
        self.state.runs.borrow()
    }
}

async fn serve(state: Rc<State>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let own_link = *state.link.borrow();
    let (read, mut write) = stream.into_split();
    let mut lines = BufReader::new(read).lines();
    let mut last_sent = u64::MAX;
    let mut send_banner = false;
    let mut output = Vec::new();
    loop {
        let changed = state.changed.notified();
        if send_banner && let Some(ready_since) = *state.ready_since.borrow() {
            send_banner = false;
            let age = ready_since.elapsed().as_millis() as u64 + if state.cold { 0 } else { 60_000 };
            let code = if state.cold { "COLD" } else { "WARM" };
            output.extend(json_line(&json!({"action": "BANNER", "code": code, "wall_ms": age})));
        }
        if last_sent != u64::MAX {
            let notices = state.notices.borrow();
            let first = notices.front().map_or(0, |(pos, _)| *pos);
            let skipped = (last_sent + 1).saturating_sub(first) as usize;
            for (pos, notice) in notices.iter().skip(skipped) {
                output.extend(notice.as_bytes());
                last_sent = *pos;
            }
        }
        if *state.link.borrow() != own_link || write.write_all(&output).await.is_err() {
            return;
        }
        output.clear();
        tokio::select! {
            line = lines.next_line() => {
                let Ok(Some(line)) = line else { return };
                let Ok(command) = serde_json::from_str::<Value>(&line) else { return };
                match command["action"].as_str() {
                    Some("CONNECT") => {
                        last_sent = command["pos"].as_u64().unwrap_or(0);
                        send_banner = true;
                    }
                    Some("TOP") => {
                        // Runs that wait for a core count as busy; runs that wait for a call do not.
                        let busy = *state.on_cores.borrow();
                        let gauges = json!({"action": "TOPS", "echo": command["echo"], "meters": [0.5, busy, 0.1, 1]});
                        output.extend(json_line(&gauges));
                    }
                    Some("APPLY") => apply(&state, &command),
                    Some("BREAK") => {
                        let running = state.running.borrow();
                        let run = running.get(text_field(&command, "uid"));
                        match run.filter(|_| state.halt != Halt::Never) {
                            // A run that waits for a call occupies no core and cannot be paused.
                            Some(run) if state.halt == Halt::Drop || run.pending_call.is_none() => run.stop.notify_one(),
                            Some(_) => {}
                            None => output.extend(rejected(&command)),
                        }
                    }
                    Some("CONTINUE") => {
                        let mut running = state.running.borrow_mut();
                        match running.get_mut(text_field(&command, "uid")).filter(|_| state.halt == Halt::Pause) {
                            Some(run) if run.paused => {
                                run.paused = false;
                                run.resume.notify_one();
                            }
                            Some(_) => {}
                            None => output.extend(rejected(&command)),
                        }
                    }
                    Some("RESOLVE") => {
                        let content = BASE64.decode(text_field(&command, "content")).unwrap_or_default();
                        resume(&state, text_field(&command, "uid"), None, CallResult::Reply(content));
                    }
                    Some("STUB") => {
                        resume(&state, text_field(&command, "uid"), command["pos"].as_u64(), CallResult::Nothing);
                    }
                    _ => return,
                }
            }
            () = changed => {}
        }
    }
}

fn rejected(command: &Value) -> Vec<u8> {
    json_line(&json!({"action": "ERROR", "code": command["action"], "uid": command["uid"]}))
}

fn text_field<'a>(command: &'a Value, name: &str) -> &'a str {
    command[name].as_str().unwrap_or_default()
}

fn json_line(value: &Value) -> Vec<u8> {
    format!("{value}\n").into_bytes()
}

fn resume(state: &State, uid: &str, pos: Option<u64>, result: CallResult) {
    if let Some(run) = state.running.borrow_mut().get_mut(uid)
        && let Some((asked, reply)) =
            run.pending_call.take_if(|(asked, _)| pos.is_none_or(|pos| pos == *asked))
    {
        let _ = asked;
        state.runs.borrow_mut()[run.index].call_results.push(result.clone());
        let _ = reply.send(result);
    }
}

/// Appends a notice and returns its number.
fn notice(state: &State, mut value: Value) -> u64 {
    let mut pos = state.pos.borrow_mut();
    *pos += 1;
    value["pos"] = json!(*pos);
    let mut notices = state.notices.borrow_mut();
    notices.push_back((*pos, format!("{value}\n")));
    if notices.len() > MAX_KEPT_NOTICES {
        notices.pop_front();
    }
    state.changed.notify_waiters();
    *pos
}

fn apply(state: &Rc<State>, command: &Value) {
    let (uid, class) = (text_field(command, "uid").to_string(), text_field(command, "lane").to_string());
    if state.running.borrow().contains_key(&uid) {
        return;
    }
    let body = BASE64.decode(text_field(command, "content")).unwrap_or_default();
    let (stop, resume) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let index = state.runs.borrow().len();
    state.runs.borrow_mut().push(RunRecord {
        uid: uid.clone(),
        class,
        body,
        call_results: Vec::new(),
        end: None,
    });
    state.running.borrow_mut().insert(
        uid.clone(),
        Running {
            index,
            pending_call: None,
            stop: stop.clone(),
            paused: false,
            resume: resume.clone(),
            request_ended: false,
        },
    );
    let state = state.clone();
    spawn_local(async move {
        let started = Instant::now();
        let mut runs = std::pin::pin!(run(&state, &uid, index));
        let (end, content) = loop {
            tokio::select! {
                ended = &mut runs => break ended,
                () = stop.notified() => {}
            }
            // A run ends if its request has been answered, or on a stop command that does not pause.
            let request_ended = state
                .running
                .borrow()
                .get(&uid)
                .is_none_or(|run| run.request_ended && run.pending_call.is_some());
            if state.halt != Halt::Pause || request_ended {
                break ("STOPPED", String::new());
            }
            if let Some(run) = state.running.borrow_mut().get_mut(&uid) {
                run.paused = true;
            }
            let ms = started.elapsed().as_secs_f64() * 1000.0;
            notice(
                &state,
                json!({"action": "VALUE", "uid": uid, "code": "STOPPED", "wall_ms": ms, "content": ""}),
            );
            resume.notified().await;
        };
        state.running.borrow_mut().remove(&uid);
        state.runs.borrow_mut()[index].end = Some(end);
        let ms = started.elapsed().as_secs_f64() * 1000.0;
        let content = BASE64.encode(content);
        notice(
            &state,
            json!({"action": "VALUE", "uid": uid, "code": end, "wall_ms": ms, "content": content}),
        );
    });
}

/// Performs a run; returns how it ended and its result, which lists what it received for each call, in order.
async fn run(state: &State, uid: &str, index: usize) -> (&'static str, String) {
    let (class, body) = {
        let run = &state.runs.borrow()[index];
        (run.class.clone(), String::from_utf8_lossy(&run.body).into_owned())
    };
    if body.as_bytes().starts_with(BLOCKING_PREFIX) {
        wait_for_failure(state, body.as_bytes()).await;
        return ("ERROR", String::new());
    }
    let work = state.classes.get(&class).cloned().unwrap_or_default();
    let mut results = Vec::new();
    for call in 1..=work.calls {
        on_core(state, work.core_time).await;
        let (sender, answer) = oneshot::channel();
        let content = BASE64.encode(format!("{body}#{call}"));
        // The channel must be registered before the notice is sent, or the reply could arrive too early.
        let pos = *state.pos.borrow() + 1;
        let request_ended = match state.running.borrow_mut().get_mut(uid) {
            Some(run) => {
                run.pending_call = Some((pos, sender));
                run.request_ended
            }
            None => true,
        };
        if request_ended {
            if let Some(run) = state.running.borrow().get(uid) {
                run.stop.notify_one();
            }
            std::future::pending::<()>().await;
        }
        notice(state, json!({"action": "AWAIT", "uid": uid, "content": content}));
        results.push(match answer.await {
            Ok(CallResult::Reply(reply)) => String::from_utf8_lossy(&reply).into_owned(),
            _ => "-".to_string(),
        });
    }
    on_core(state, work.core_time).await;
    ("OK", format!("{class} {body} [{}]", results.join(", ")))
}

async fn wait_for_failure(state: &State, body: &[u8]) {
    loop {
        let failing_changed = state.failing_changed.notified();
        if state.failing.borrow().contains(body) {
            return;
        }
        failing_changed.await;
    }
}

async fn on_core(state: &State, time: Duration) {
    let _counted = OnCore::new(state);
    let Ok(_core) = state.cores.acquire().await else { return };
    sleep(time).await;
}

/// Counts a run as on the cores until dropped, which also covers runs that are stopped.
struct OnCore<'a>(&'a State);

impl<'a> OnCore<'a> {
    fn new(state: &'a State) -> OnCore<'a> {
        *state.on_cores.borrow_mut() += 1;
        let now = *state.on_cores.borrow();
        let max = now.max(*state.max_on_cores.borrow());
        *state.max_on_cores.borrow_mut() = max;
        state.on_cores_history.borrow_mut().push((Instant::now(), now));
        OnCore(state)
    }
}

impl Drop for OnCore<'_> {
    fn drop(&mut self) {
        *self.0.on_cores.borrow_mut() -= 1;
        let now = *self.0.on_cores.borrow();
        self.0.on_cores_history.borrow_mut().push((Instant::now(), now));
    }
}
