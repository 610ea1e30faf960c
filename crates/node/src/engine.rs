//! The one task that owns the decision module and the state of every request.
//!
//! All inputs reach it through one queue. It drains the queue, passes the events to the module in one step,
//! and executes the module's actions in order. It knows no protocol and never waits on a socket: I/O is
//! delegated to the tasks of the interpreter, the database, the directory and the connections.

use crate::admin::{AdminState, Order};
use crate::capture::Capture;
use crate::clock::Clock;
use crate::config::{Config, NamedSettings};
use crate::database;
use crate::directory::Mode;
use crate::interpreter::{self, Command};
use crate::keys::journal::JournaledKeyTable;
use crate::keys::recent_ids::RecentIds;
use crate::log;
use crate::request::{Answer, Key, Label, Reply, ReplyTo};
use jaspershunt::{Action, CallerFeedback, Controller, Event, Gauges, RequestId, Settings};
use jaspershunt_capture::tap::Reason;
use jaspershunt_dependencies::By;
use jaspershunt_routes::Snapshot;
use jaspershunt_settings::Names;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep};

mod arrivals;
mod calls;
mod captures;
mod dependencies;
mod drain;
mod handover;
pub mod input;
mod keys;
mod runs;
mod settings;
mod upgrade;
use crate::upgrade::claims::Claims;
use crate::upgrade::ownership::Ownership;
use dependencies::Dependencies;
use handover::Handover;
pub(crate) use handover::MAX_CONCURRENT_QUERIES;
use input::{Input, QUEUE};
use upgrade::Partner;

/// Capacity of the queue of calls to be made.
pub const CALL_QUEUE: usize = 1024;
/// Time that a wake waits for the gauges before it is delivered without them.
const GAUGES_TIMEOUT: Duration = Duration::from_millis(15);
/// A run whose end is not reported within this time after its request was answered is given up, as its notice
/// is lost. Longer than any pause of a machine.
const LOST_RUN_TIMEOUT: Duration = Duration::from_secs(40);
/// Part of the time until the kill that is withheld from the module, so that answers can still be written.
/// Several times the timeout of the gauges.
const STOP_MARGIN_SECONDS: f64 = 0.1;
/// Time that a key is remembered beyond its window: the rule's tolerance of 50 ms at the window's end,
/// doubled.
const WINDOW_SLACK_SECONDS: f64 = 0.1;
/// Maximum by which a request's arrival time may lie in the future, as clocks differ.
const MAX_CLOCK_AHEAD_SECONDS: f64 = 1.0;
/// Maximum queueing delay beyond the deadline that is accepted in a request; longer ones are invalid.
const MAX_QUEUEING_BEYOND_DEADLINE_SECONDS: f64 = 60.0;
/// The module's clock at the start of the engine, so that the start of the interpreter is not before 0.
const CLOCK_START_SECONDS: f64 = 1e5;

/// Which connections of balancers are closed or handed over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdlePolicy {
    /// Idle time after which a connection is closed.
    pub limit: Duration,
    /// Whether the limit applies from now on, and not only at this moment.
    pub permanent: bool,
    /// Whether quiet connections are handed over to the later process.
    pub hand_over: bool,
    /// Whether reading stops on connections that are not quiet, so that they become quiet.
    pub stop_reading: bool,
    /// Whether each connection is closed once all requests read from it are answered, whatever is sent on it
    /// later.
    pub close_after_answers: bool,
}

impl Default for IdlePolicy {
    /// Closes no connection.
    fn default() -> IdlePolicy {
        IdlePolicy {
            limit: Duration::MAX,
            permanent: false,
            hand_over: false,
            stop_reading: false,
            close_after_answers: false,
        }
    }
}

/// The channels to the other tasks.
pub struct Channels {
    /// To the engine itself, for timers.
    pub engine: mpsc::WeakSender<Input>,
    /// To the interpreter.
    pub interpreter: mpsc::Sender<Command>,
    /// To the database.
    pub database: mpsc::Sender<database::Call>,
    /// The mode reported to the directory.
    pub directory: watch::Sender<Option<Mode>>,
    /// The policy for idle connections.
    pub idle: watch::Sender<IdlePolicy>,
    /// The number of in-flight requests and runs.
    pub owed: watch::Sender<usize>,
    /// State shared with the operators' interface.
    pub desk: Rc<AdminState>,
    /// The settings in force, for the tasks that read requests.
    pub facts: watch::Sender<Rc<NamedSettings>>,
}

/// The stage of a request's run.
enum Stage {
    /// Not started, or stopped and to be restarted.
    Queued,
    /// Running in the interpreter.
    Running,
    /// Waiting for a call.
    AtCall {
        /// The number of the notice that requested the call.
        pos: u64,
        /// The call's body.
        content: Rc<[u8]>,
        /// The number of the call that was made, and the sender whose drop cancels it; `None` with several
        /// dependencies, which cancel calls themselves.
        made: Option<(u64, Option<oneshot::Sender<()>>)>,
    },
    /// Waiting for the run of another try of the same key.
    AwaitsKey,
    /// It has run, and its end is being recorded in the fleet.
    AwaitsRecord,
}

struct Entry {
    uid: Rc<str>,
    class: usize,
    key: Option<Key>,
    body: Rc<[u8]>,
    /// Arrival at the machine, on the module's clock.
    arrived: f64,
    /// Where the answer goes; `None` once answered.
    reply: Option<ReplyTo>,
    stage: Stage,
    /// Whether it was started at least once.
    started: bool,
    /// Number of calls that its run has requested.
    calls: usize,
    held_kb: f64,
    /// What its answer reports as missing or stale.
    label: Label,
    /// Arrival of the oldest cached reply that its run was given, on the module's clock.
    stale_since: Option<Duration>,
    /// Its tenant, by index in the settings.
    tenant: Option<usize>,
    /// The route table in force at its arrival, which applies until its end.
    table: Option<Snapshot>,
    /// The route of its last call by that table.
    by: Option<Rc<By>>,
}

impl Entry {
    fn runs(&self) -> bool {
        matches!(self.stage, Stage::Running | Stage::AtCall { .. })
    }

    /// The label of its answer at this time of the module's clock; `None` if complete and fresh.
    fn label(&self, now: f64) -> Option<Box<Label>> {
        let stale = self.stale_since.map(|since| (now - since.as_secs_f64()).max(0.0) * 1000.0);
        let label = Label { stale_ms: stale.map(|ms| ms.ceil() as u64), ..self.label.clone() };
        (label != Label::default()).then(|| Box::new(label))
    }
}

/// The task's state.
pub struct Engine {
    clock: Clock,
    /// Unix time at which the module's clock shows 0.
    epoch: f64,
    now: f64,
    settings: Settings,
    names: Names,
    /// The names of the classes, quoted for the interpreter.
    classes: Vec<Rc<str>>,
    /// Number of changes of the settings so far.
    changes: u64,
    /// Indices of classes that a change removed, with the number of the change, while requests that refer to
    /// them may be queued. At most one entry for each index.
    retired: Vec<(u64, usize)>,
    stop_timeout: Duration,
    channels: Channels,
    /// The decision module; created once the interpreter is up, as only then its warmth is known.
    module: Option<Controller>,
    requests: BTreeMap<RequestId, Entry>,
    by_uid: HashMap<Rc<str>, RequestId>,
    keys: JournaledKeyTable,
    followers: BTreeMap<Key, Vec<RequestId>>,
    /// The ids of ended requests that ran, must not run twice and have no key.
    recent_ids: RecentIds,
    /// Events for the module's next step.
    events: Vec<Event>,
    feedback: Option<f64>,
    module_healthy: bool,
    /// Whether operators have clients sent away.
    lameduck: bool,
    link_up: bool,
    calls: u64,
    /// The decisions on calls, where the operator's file names dependencies.
    dependencies: Option<Dependencies>,
    /// The newest route table of the fleet, where the operator's file names teams.
    table: Option<Snapshot>,
    /// The work recorded in the fleet for this nodo, where the operator's file names classes for handover.
    handover: Option<Handover>,
    /// The capture of all decisions, where the operator's file asks for one.
    capture: Option<Capture>,
    /// The size of the key table from which it counts as short of memory.
    pressed_from_bytes: usize,
    /// Wakes that wait for the gauges.
    wakes: Vec<u64>,
    /// The tag of the last request for the gauges.
    tag: u64,
    owed: usize,
    /// Which process owns the keys.
    claims: Claims,
    /// Ownership of new requests, where there can be more than one process.
    ownership: Option<Ownership>,
    /// The other process of an upgrade.
    partner: Partner,
    /// Whether health is to be reported to the directory once this process is the owner.
    report_pending: bool,
    /// When all requests must be answered, once the nodo leaves.
    stop_at: Option<f64>,
    /// Requests that arrive later than this are not run, once the nodo leaves.
    grace_until: Option<f64>,
}

impl Engine {
    /// Returns an engine without requests, before the interpreter is up.
    pub fn new(config: &Config, clock: Clock, channels: Channels) -> Engine {
        let mut settings = config.settings.clone();
        let dependencies =
            Dependencies::new(config, Duration::from_secs_f64(CLOCK_START_SECONDS), &mut settings);
        channels
            .desk
            .counts
            .borrow_mut()
            .add_classes(settings.classes.iter().map(|class| class.name.as_str()));
        let epoch = clock.now() - CLOCK_START_SECONDS;
        let claims = Claims::start(!channels.desk.shared.get());
        let capture = captures::capture_of(config, epoch, &settings);
        Engine {
            clock,
            epoch,
            now: CLOCK_START_SECONDS,
            settings,
            names: config.names.clone(),
            classes: config.settings.classes.iter().map(|c| interpreter::quoted(&c.name)).collect(),
            changes: 0,
            retired: Vec::new(),
            stop_timeout: config.stop,
            channels,
            module: None,
            requests: BTreeMap::new(),
            by_uid: HashMap::new(),
            keys: JournaledKeyTable::new(config.bounds.kept, capture.is_some()),
            followers: BTreeMap::new(),
            recent_ids: RecentIds::default(),
            events: Vec::new(),
            feedback: None,
            module_healthy: true,
            lameduck: false,
            link_up: false,
            calls: 0,
            dependencies,
            table: None,
            handover: Handover::new(config),
            capture,
            pressed_from_bytes: config.bounds.kept / 4 * 3,
            wakes: Vec::new(),
            tag: 0,
            owed: 0,
            claims,
            ownership: None,
            partner: Partner::default(),
            report_pending: false,
            stop_at: None,
            grace_until: None,
        }
    }

    /// Processes inputs until all senders are gone.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>, mut orders: mpsc::Receiver<Order>) {
        let mut batch = Vec::with_capacity(QUEUE);
        loop {
            tokio::select! {
                // Operators' orders do not wait behind requests.
                biased;
                Some(order) = orders.recv() => self.handle_order(order),
                taken = inputs.recv_many(&mut batch, QUEUE) => {
                    if taken == 0 {
                        return;
                    }
                    self.step(batch.drain(..));
                }
            }
        }
    }

    /// Carries out an operator's order.
    pub fn handle_order(&mut self, order: Order) {
        match order {
            Order::Lameduck { on, done } => {
                self.set_lameduck(on);
                self.send_lameduck();
                // An error means that the operator's connection is gone.
                let _ = done.send(());
            }
            Order::Look { done } => {
                self.check_ownership();
                // As above.
                let _ = done.send(());
            }
            Order::WriteCapture => self.write_capture(Reason::Asked),
            Order::Settings { facts, done } => {
                let _ = done.send(self.reload_settings(&facts));
                // The module gets the settings in a step of their own, before any request that is queued.
                self.step([]);
            }
        }
    }

    /// Handles all inputs of a batch, then steps the module, and again as long as executing its actions
    /// produces new events.
    pub fn step(&mut self, batch: impl IntoIterator<Item = Input>) {
        // The module's clock is monotonic, even if the system's is set back.
        self.now = self.now.max(self.clock.now() - self.epoch);
        // After the whole batch was read and before any of it can run: see `upgrade::claims`.
        self.check_ownership();
        self.begin_capture();
        self.expire_keys();
        self.recent_ids.expire(self.now);
        for input in batch {
            self.handle_input(input);
        }
        let mut actions = Vec::new();
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let Some(module) = &mut self.module else { break };
            let Some(capture) = &mut self.capture else {
                module.step(self.now, &events, &mut actions);
                actions.drain(..).for_each(|action| self.execute(action));
                continue;
            };
            module.step(self.now, &events, &mut actions);
            let name = |event: &Event| match event {
                Event::Arrived(request) => {
                    let entry = self.requests.get(&request.id)?;
                    Some((request.id, entry.uid.to_string()))
                }
                _ => None,
            };
            let names = events.iter().filter_map(name).collect();
            capture.round(self.now, names, events, &actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
        self.capture_sides();
        self.report_load();
        let owed = self.in_flight();
        self.channels.owed.send_if_modified(|shown| std::mem::replace(shown, owed) != owed);
    }

    /// Handles one input and queues events for the module.
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Work { id, work, reply } => self.arrive(id, work, reply),
            Input::WorkWithoutRoom { id, work, reply } => self.arrive_without_room(id, work, reply),
            Input::Check { reply } => {
                reply.send(Reply::new(Answer::Health { good: self.is_healthy() }, self.caller_feedback()));
            }
            Input::SettingsReached { change } => self.retired.retain(|(since, _)| *since > change),
            Input::CallerGone { id } => self.caller_gone(id),
            Input::Interpreter(message) => self.handle_interpreter_message(message),
            Input::LinkUp => self.link_up = true,
            Input::LinkDown => {
                self.link_up = false;
                self.deliver_wakes(Gauges::default());
            }
            Input::CallEnded { id, number, end, took } => self.call_ended(id, number, end, took),
            Input::Woke { token } => {
                self.wakes.push(token);
                if !self.link_up {
                    self.deliver_wakes(Gauges::default());
                } else if self.wakes.len() == 1 {
                    self.ask_gauges();
                }
            }
            Input::GaugesTimeout { tag } if tag == self.tag => self.deliver_wakes(Gauges::default()),
            Input::GaugesTimeout { .. } => {}
            Input::RunLost { id } => self.run_lost(id),
            Input::DependenciesDue => self.dependencies_due(),
            Input::OperatorFile(file) => self.reload_operator_file(file),
            Input::RouteTable(table) => self.use_route_table(table),
            Input::Peer(peer) => self.handle_peer_message(peer),
            Input::Fleet(event) => self.handle_fleet_event(event),
            Input::Leave { since } => {
                if let Some(dependencies) = &mut self.dependencies {
                    dependencies.leave(Duration::from_secs_f64(self.now));
                }
                let noticed_at = self.now - since.elapsed().as_secs_f64();
                // Guards against answers due after the kill, where this notice was queued for long.
                self.stop_at = Some(noticed_at + self.stop_timeout.as_secs_f64() - STOP_MARGIN_SECONDS);
                self.grace_until = Some(noticed_at + self.settings.drain_grace);
                self.module_healthy = false;
                self.notify_leave();
                self.schedule_hand_over();
            }
        }
    }

    /// The value sent to callers with each answer. Reloaded settings may turn it off; the module then gives
    /// no new value.
    fn caller_feedback(&self) -> Option<f64> {
        self.feedback.filter(|_| self.settings.say != CallerFeedback::Nothing)
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start_run(id),
            Action::Stop(id) => {
                if let Some(entry) = self.requests.get(&id).filter(|entry| entry.runs()) {
                    self.send_command(Command::Break { uid: entry.uid.clone() });
                }
            }
            Action::Refuse { id, stay_away, last } => self.refuse(id, stay_away, last),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::ServeFrom(id) => self.answer_from_key(id),
            Action::Call { id, give_up_after } => self.make_call(id, give_up_after),
            Action::SkipCall(id) => {
                self.give_up_call(id);
                if let Some(entry) = self.requests.get_mut(&id)
                    && let Stage::AtCall { pos, .. } = entry.stage
                {
                    entry.stage = Stage::Running;
                    if let Some(dependencies) = &self.dependencies {
                        dependencies.label(entry);
                    }
                    let uid = entry.uid.clone();
                    self.send_command(Command::Stub { uid, pos });
                }
            }
            Action::Keep { id, .. } => {
                if let Some(key) = self.requests.get(&id).and_then(|entry| entry.key.clone()) {
                    self.keys.replace_pending(&key, id);
                }
            }
            Action::Forget(id) => {
                if let Some(key) = self.requests.get(&id).and_then(|entry| entry.key.clone()) {
                    self.keys.release_try(&key, id);
                }
            }
            Action::Say(value) => self.feedback = Some(value),
            Action::Health { good, .. } => {
                self.module_healthy = good;
                self.report_health();
            }
            Action::CloseIdle(after) => {
                let after = if after > 0.0 { after } else { self.settings.idle };
                self.close_idle(Duration::from_secs_f64(after));
            }
            Action::Wake { after, token } => {
                self.send_after(Duration::from_secs_f64(after.max(0.0)), Input::Woke { token });
            }
            Action::Note(text) => log!("{text}"),
        }
    }

    /// Sends an input to the engine after a delay; each has its own timer.
    fn send_after(&self, time: Duration, input: Input) {
        let engine = self.channels.engine.clone();
        let at = Instant::now() + time;
        tokio::task::spawn_local(async move {
            sleep(at.saturating_duration_since(Instant::now())).await;
            if let Some(engine) = engine.upgrade() {
                let _ = engine.send(input).await;
            }
        });
    }
}

#[cfg(test)]
mod tests;
