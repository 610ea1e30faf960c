//! The one task that owns the decision module and the state of every request.
//!
//! Everything reaches it through one queue. It takes all that is queued, tells the module in one step, and carries
//! out what the module asks for in order. It knows no protocol and never waits on a socket: what it wants done
//! elsewhere it hands to the tasks of the interpreter, the database, the directory and the connections.

use crate::admin::{Desk, Order};
use crate::capture::Capture;
use crate::clock::Clock;
use crate::config::{Config, Facts};
use crate::database;
use crate::directory::Mode;
use crate::interpreter::{self, Command};
use crate::keys::journal::JournaledKeyTable;
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
mod below;
mod calls;
mod captures;
mod drain;
mod handover;
pub mod input;
mod keys;
mod runs;
mod settings;
mod upgrade;
use crate::upgrade::claims::Claims;
use crate::upgrade::ownership::Ownership;
use below::Several;
use handover::Handover;
pub(crate) use handover::MAX_QUESTIONS;
use input::{Input, QUEUE};
use upgrade::Partner;

/// Calls that wait to be made.
pub const CALLS: usize = 1024;
/// A wake waits so long for the gauges; then it goes without.
const GAUGES_WAIT: Duration = Duration::from_millis(15);
/// A run whose end is not heard of this long after its answer is given up: its notice is lost. Ours, longer than any
/// pause of a machine.
const LOST_AFTER: Duration = Duration::from_secs(40);
/// Seconds that the module is told less than there are until the kill, for answers to be written in. Ours: some of
/// the waits for the gauges.
const STOP_AHEAD: f64 = 0.1;
/// Seconds that a key is remembered beyond its window: the rule allows the window's end 50 ms, and the same again.
const WINDOW_SLACK: f64 = 0.1;
/// Seconds by which the time of a request's arrival may be ahead, as clocks are never quite alike.
const AHEAD: f64 = 1.0;
/// Seconds beyond its deadline that a request may have waited before it is read; more makes no sense.
const BEHIND: f64 = 60.0;
/// The module's clock shows this at the start, so that the start of the interpreter is not before 0.
const CLOCK_START: f64 = 1e5;

/// Which of balancers' idle connections are closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Idle {
    /// Those that have been idle for this long.
    pub limit: Duration,
    /// Whether that goes for all time to come, and not only for this moment.
    pub standing: bool,
    /// Connections are passed on to a later start as soon as they are quiet.
    pub passing: bool,
    /// Those that are not quiet are read no more, so that they become so.
    pub last_call: bool,
    /// Every connection ends once what was read of it is answered, whatever more it brings.
    pub hang_up: bool,
}

impl Default for Idle {
    /// None are closed.
    fn default() -> Idle {
        Idle { limit: Duration::MAX, standing: false, passing: false, last_call: false, hang_up: false }
    }
}

/// The ways to the other tasks.
pub struct Ways {
    /// To the engine itself, for timers.
    pub engine: mpsc::WeakSender<Input>,
    /// To the interpreter.
    pub interpreter: mpsc::Sender<Command>,
    /// To the database.
    pub database: mpsc::Sender<database::Call>,
    /// What the directory is told.
    pub directory: watch::Sender<Option<Mode>>,
    /// How long connections may be idle.
    pub idle: watch::Sender<Idle>,
    /// How many requests are owed an answer.
    pub owed: watch::Sender<usize>,
    /// What operators are shown.
    pub desk: Rc<Desk>,
    /// The settings in force, for those who read requests.
    pub facts: watch::Sender<Rc<Facts>>,
}

/// Where the run of a request is.
enum Place {
    /// Not started, or stopped and to be started anew.
    Held,
    /// The interpreter has it.
    Running,
    /// It waits for a call.
    AtCall {
        /// The notice that asked for the call.
        pos: u64,
        /// The call's body.
        content: Rc<[u8]>,
        /// The number of the call that was made, and what gives it up when dropped; several dependencies have their own.
        made: Option<(u64, Option<oneshot::Sender<()>>)>,
    },
    /// Waits for the run of another try of its key.
    Follows,
    /// It has run, and its end is on the way to the fleet.
    Recorded,
}

struct Entry {
    uid: Rc<str>,
    class: usize,
    key: Option<Key>,
    body: Rc<[u8]>,
    /// When it came to the machine, on the module's clock.
    arrived: f64,
    /// Where the answer goes, while one is owed.
    reply: Option<ReplyTo>,
    place: Place,
    /// It was started at least once.
    started: bool,
    /// Calls that its run has asked for.
    calls: usize,
    held_kb: f64,
    /// What its answer will have to say of itself.
    label: Label,
    /// When the oldest kept reply came that its run was given, on the module's clock.
    stale_since: Option<Duration>,
    /// Its tenant, by place in the settings.
    tenant: Option<usize>,
    /// The route table that it began with, and goes by to its end.
    table: Option<Snapshot>,
    /// Where its last call went by that.
    by: Option<Rc<By>>,
}

impl Entry {
    fn runs(&self) -> bool {
        matches!(self.place, Place::Running | Place::AtCall { .. })
    }

    /// What its answer says of itself at this time of the module's clock.
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
    /// Their names, as the interpreter is told them.
    classes: Vec<Rc<str>>,
    /// Changes of the settings so far.
    changes: u64,
    /// Places of classes that a change took the name from, with its number, while requests that name them may be on their way
    /// here. At most one for each place.
    retired: Vec<(u64, usize)>,
    stop: Duration,
    ways: Ways,
    /// The module, from when the interpreter is up: only then it is known how warm that is.
    module: Option<Controller>,
    requests: BTreeMap<RequestId, Entry>,
    by_uid: HashMap<Rc<str>, RequestId>,
    keys: JournaledKeyTable,
    followers: BTreeMap<Key, Vec<RequestId>>,
    /// What the module has not been told yet.
    events: Vec<Event>,
    say: Option<f64>,
    good: bool,
    /// Operators had clients sent away.
    lameduck: bool,
    link_up: bool,
    calls: u64,
    /// What decides on calls where the operator's file names dependencies.
    several: Option<Several>,
    /// The newest route table of the fleet, where the operator's file names teams.
    table: Option<Snapshot>,
    /// The work that the fleet holds for this nodo, where the operator's file names classes for that.
    handover: Option<Handover>,
    /// What records all of this, where the operator's file wants that.
    capture: Option<Capture>,
    /// Beyond this the table of keys is pressed for memory.
    pressed_from: usize,
    /// Wakes that wait for the gauges, and the tag under which those were asked for.
    wakes: Vec<u64>,
    tag: u64,
    owed: usize,
    /// Who owns the keys, the right to run what is new, where more than one process can be there, and the other process of an
    /// upgrade.
    claims: Claims,
    right: Option<Ownership>,
    partner: Partner,
    /// The directory is to hear of this process once it has the right.
    unreported: bool,
    /// When all must be answered, once the nodo leaves.
    stop_at: Option<f64>,
    /// What comes later than this is not run, once the nodo leaves.
    grace_until: Option<f64>,
}

impl Engine {
    /// An engine that has heard nothing yet.
    pub fn new(config: &Config, clock: Clock, ways: Ways) -> Engine {
        let mut settings = config.settings.clone();
        let several = Several::new(config, Duration::from_secs_f64(CLOCK_START), &mut settings);
        ways.desk.counts.borrow_mut().name(settings.classes.iter().map(|class| class.name.as_str()));
        let epoch = clock.now() - CLOCK_START;
        let claims = Claims::start(!ways.desk.shared.get());
        let capture = captures::capture_of(config, epoch, &settings);
        Engine {
            clock,
            epoch,
            now: CLOCK_START,
            settings,
            names: config.names.clone(),
            classes: config.settings.classes.iter().map(|c| interpreter::quoted(&c.name)).collect(),
            changes: 0,
            retired: Vec::new(),
            stop: config.stop,
            ways,
            module: None,
            requests: BTreeMap::new(),
            by_uid: HashMap::new(),
            keys: JournaledKeyTable::new(config.bounds.kept, capture.is_some()),
            followers: BTreeMap::new(),
            events: Vec::new(),
            say: None,
            good: true,
            lameduck: false,
            link_up: false,
            calls: 0,
            several,
            table: None,
            handover: Handover::new(config),
            capture,
            pressed_from: config.bounds.kept / 4 * 3,
            wakes: Vec::new(),
            tag: 0,
            owed: 0,
            claims,
            right: None,
            partner: Partner::default(),
            unreported: false,
            stop_at: None,
            grace_until: None,
        }
    }

    /// Works until nothing can reach it any more.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>, mut orders: mpsc::Receiver<Order>) {
        let mut batch = Vec::with_capacity(QUEUE);
        loop {
            tokio::select! {
                // What operators want does not wait behind requests.
                biased;
                Some(order) = orders.recv() => self.obey(order),
                taken = inputs.recv_many(&mut batch, QUEUE) => {
                    if taken == 0 {
                        return;
                    }
                    self.round(batch.drain(..));
                }
            }
        }
    }

    /// Does what operators want.
    pub fn obey(&mut self, order: Order) {
        match order {
            Order::Lameduck { on, done } => {
                self.set_lameduck(on);
                self.pass_on_lameduck();
                // An error means that the caller did not wait.
                let _ = done.send(());
            }
            Order::Look { done } => {
                self.look();
                // As above.
                let _ = done.send(());
            }
            Order::WriteCapture => self.write_capture(Reason::Asked),
            Order::Settings { facts, done } => {
                let _ = done.send(self.take_up_settings(&facts));
                // The module hears of it in a step of its own, before any request that came with it.
                self.round([]);
            }
        }
    }

    /// Takes in all of a batch, then steps the module once, and again while carrying out what it asks for gives it
    /// news.
    pub fn round(&mut self, batch: impl IntoIterator<Item = Input>) {
        // The module's clock never goes back, whatever the system's does.
        self.now = self.now.max(self.clock.now() - self.epoch);
        // After all of the batch was read, before any of it can run: see `upgrade::claims`.
        self.look();
        self.begin_capture();
        self.expire_keys();
        for input in batch {
            self.take(input);
        }
        let mut actions = Vec::new();
        while !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let Some(module) = &mut self.module else { break };
            let Some(capture) = &mut self.capture else {
                module.step(self.now, &events, &mut actions);
                actions.drain(..).for_each(|action| self.carry_out(action));
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
                self.carry_out(action);
            }
        }
        self.capture_sides();
        self.tell_load();
        let owed = self.in_hand();
        self.ways.owed.send_if_modified(|told| std::mem::replace(told, owed) != owed);
    }

    /// Takes in one thing. What concerns the module is put among its events.
    fn take(&mut self, input: Input) {
        match input {
            Input::Work { id, work, reply } => self.arrive(id, work, reply),
            Input::Check { reply } => {
                reply.send(Reply::new(Answer::Health { good: self.in_health() }, self.says()));
            }
            Input::SettingsReached { change } => self.retired.retain(|(since, _)| *since > change),
            Input::Gone { id } => self.gone(id),
            Input::Heard(message) => self.heard(message),
            Input::LinkUp => self.link_up = true,
            Input::LinkDown => {
                self.link_up = false;
                self.wake(Gauges::default());
            }
            Input::CallEnded { id, number, end, took } => self.call_ended(id, number, end, took),
            Input::Woke { token } => {
                self.wakes.push(token);
                if !self.link_up {
                    self.wake(Gauges::default());
                } else if self.wakes.len() == 1 {
                    self.ask_gauges();
                }
            }
            Input::NoGauges { tag } if tag == self.tag => self.wake(Gauges::default()),
            Input::NoGauges { .. } => {}
            Input::Lost { id } => self.lost(id),
            Input::BelowDue => self.below_due(),
            Input::Operator(file) => self.take_up(file),
            Input::Table(table) => self.take_table(table),
            Input::Peer(peer) => self.heard_of_partner(peer),
            Input::Handover(word) => self.heard_of_fleet(word),
            Input::Leave { told } => {
                if let Some(several) = &mut self.several {
                    several.leave(Duration::from_secs_f64(self.now));
                }
                let told = self.now - told.elapsed().as_secs_f64();
                // Guards against answers that are given up after the kill, where this waited behind much else.
                self.stop_at = Some(told + self.stop.as_secs_f64() - STOP_AHEAD);
                self.grace_until = Some(told + self.settings.drain_grace);
                self.good = false;
                self.leave();
                self.leave_fleet_later();
            }
        }
    }

    /// The free number for an answer. Settings that were read anew may have callers told nothing; the module then says no other.
    fn says(&self) -> Option<f64> {
        self.say.filter(|_| self.settings.say != CallerFeedback::Nothing)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Run(id) => self.start_run(id),
            Action::Stop(id) => {
                if let Some(entry) = self.requests.get(&id).filter(|entry| entry.runs()) {
                    self.command(Command::Break { uid: entry.uid.clone() });
                }
            }
            Action::Refuse { id, stay_away, last } => self.refuse(id, stay_away, last),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::ServeFrom(id) => self.follow(id),
            Action::Call { id, give_up_after } => self.make_call(id, give_up_after),
            Action::SkipCall(id) => {
                self.give_up_call(id);
                if let Some(entry) = self.requests.get_mut(&id)
                    && let Place::AtCall { pos, .. } = entry.place
                {
                    entry.place = Place::Running;
                    if let Some(several) = &self.several {
                        several.label(entry);
                    }
                    let uid = entry.uid.clone();
                    self.command(Command::Stub { uid, pos });
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
            Action::Say(value) => self.say = Some(value),
            Action::Health { good, .. } => {
                self.good = good;
                self.report();
            }
            Action::CloseIdle(after) => {
                let after = if after > 0.0 { after } else { self.settings.idle };
                self.close_idle(Duration::from_secs_f64(after));
            }
            Action::Wake { after, token } => {
                self.after(Duration::from_secs_f64(after.max(0.0)), Input::Woke { token });
            }
            Action::Note(text) => log!("{text}"),
        }
    }

    /// Sends the engine something after a time; each wait has a timer of its own.
    fn after(&self, time: Duration, input: Input) {
        let engine = self.ways.engine.clone();
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
