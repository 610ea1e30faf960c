//! The engine's side of several dependencies: executes the decisions of [`jaspershunt_dependencies`], and
//! reports to the module one outcome for each call that it requested.

use super::{Engine, Entry, Stage};
use crate::config::Config;
use crate::database::{Call, Target};
use crate::engine::input::{CallEnd, Input};
use crate::interpreter::Command;
use crate::log;
use jaspershunt::{DependencyModel, Event, Outcome, RequestId, Settings};
use jaspershunt_dependencies::journal::JournaledDependencies;
use jaspershunt_dependencies::{Action, AttemptId, By, CallId, End, ParkingCapacity, Wanted};
use jaspershunt_operator::File;
use jaspershunt_routes::Snapshot;
use jaspershunt_routes::overlay::overlay;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Share of the concurrency that the cores survive, and of the memory, that runs parked at calls may take, at
/// all dependencies together. The module admits at most 0.8 of that concurrency, and where runs cannot be
/// paused it counts all parked ones as returning at once; the rest is for runs without calls.
const MAX_PARKED_SHARE: f64 = 0.6;

/// The decisions on calls, and the calls and attempts in flight.
pub(super) struct Dependencies {
    pub(super) decisions: JournaledDependencies,
    /// Dropping a sender cancels its attempt.
    attempts: HashMap<AttemptId, oneshot::Sender<()>>,
    calls: HashMap<CallId, RequestId>,
    /// The time of the next [`Input::DependenciesDue`].
    due: Option<Duration>,
    /// For each class, whether the file allows answers without a call.
    skippable: Vec<bool>,
    /// The names of the classes.
    classes: Vec<String>,
    /// The operator's file in force, without the overlay of the fleet's route table.
    file: Rc<File>,
}

/// For each class, in the order of the settings, whether the file allows answers without a call.
fn skippable(file: &File, classes: &[String]) -> Vec<bool> {
    classes.iter().map(|name| file.route.get(name).is_some_and(|route| route.without)).collect()
}

impl Dependencies {
    /// Reads the operator's file; `None` where it names no dependencies. Sets the module's settings to
    /// several dependencies, and disables skipped calls in classes where the file does not allow them.
    pub fn new(config: &Config, now: Duration, settings: &mut Settings) -> Option<Dependencies> {
        let file = config.operator.as_ref().filter(|file| !file.dependency.is_empty())?;
        let crowd = f64::from(settings.cores) * settings.crowd_multiple * MAX_PARKED_SHARE;
        let capacity = ParkingCapacity {
            runs: crowd.max(1.0) as usize,
            memory_kb: settings.memory_kb * MAX_PARKED_SHARE,
        };
        settings.below = DependencyModel::Several { parked: capacity.runs as f64 };
        let classes: Vec<String> = settings.classes.iter().map(|class| class.name.clone()).collect();
        let skippable = skippable(file, &classes);
        for (class, allowed) in settings.classes.iter_mut().zip(&skippable) {
            if !allowed {
                class.skip_worth = 0.0;
            }
        }
        let decisions =
            JournaledDependencies::new(file, &classes, capacity, config.seed, now, file.capture.is_some());
        let (attempts, calls) = (HashMap::new(), HashMap::new());
        Some(Dependencies { decisions, attempts, calls, due: None, skippable, classes, file: file.clone() })
    }

    /// Drains the dependencies, as the nodo leaves.
    pub fn leave(&mut self, now: Duration) {
        self.decisions.drain(now);
    }

    /// Records in the label that the run continues without the reply to its present call.
    pub fn label(&self, entry: &mut Entry) {
        let by_file = || self.decisions.dependency_of(entry.class, entry.calls).unwrap_or("unknown");
        let name = entry.by.as_ref().map_or_else(by_file, |by| &by.to);
        let name = name.to_string();
        if !entry.label.missing.iter().any(|known| **known == *name) {
            entry.label.missing.push(name.into());
        }
    }
}

impl Engine {
    /// Starts a call that the module requested, under this number.
    pub(super) fn start_call_at_dependencies(&mut self, id: RequestId, number: u64, left: Duration) {
        let by = self.route_of_call(id);
        let Some(entry) = self.requests.get_mut(&id) else { return };
        entry.by = by.clone();
        let Stage::AtCall { content, .. } = &entry.stage else { return };
        let wanted = Wanted {
            call: CallId(number),
            class: entry.class,
            place: entry.calls,
            left,
            body: content.clone(),
            kb: entry.held_kb * self.settings.run_factor,
            by,
        };
        self.decide(|dependencies, now, out| {
            dependencies.calls.insert(wanted.call, id);
            dependencies.decisions.start_call(now, wanted, out);
        });
    }

    /// The route of the request's present call by the table that it began with; `None` where the table has no
    /// route for it, or names a dependency unknown to this nodo.
    fn route_of_call(&self, id: RequestId) -> Option<Rc<By>> {
        let entry = self.requests.get(&id)?;
        let (table, dependencies) = (entry.table.as_ref()?, self.dependencies.as_ref()?);
        let class = &self.settings.classes[entry.class].name;
        let tenant = entry.tenant.and_then(|tenant| self.settings.tenants.get(tenant));
        let place = u32::try_from(entry.calls).unwrap_or(u32::MAX);
        let chosen = table.choose(class, tenant.map_or("", |tenant| &tenant.name), place)?;
        let here = |name: &String| dependencies.file.dependency.contains_key(name);
        let then = chosen.fallbacks.into_iter().filter(here).collect();
        let by = By { route: chosen.route, calls: chosen.calls as usize, to: chosen.to, then };
        here(&by.to).then(|| Rc::new(by))
    }

    /// Puts a route table into force. In-flight requests keep their routes; budgets of dependencies apply to
    /// all.
    pub(super) fn use_route_table(&mut self, table: Snapshot) {
        // Guards against a restarted member that receives an older table first: the revision never decreases.
        if self.table.as_ref().is_some_and(|before| before.revision > table.revision) {
            return;
        }
        // The same revision differs only in its trial, which does not change budgets here.
        if self.table.as_ref().is_some_and(|before| before.revision == table.revision) {
            self.table = Some(table);
            return;
        }
        let trial = if table.on_trial { ", on trial here" } else { "" };
        log!("routes: revision {} is in use{trial}", table.revision);
        let over = self.dependencies.as_ref().map(|dependencies| overlay(&dependencies.file, table.table()));
        self.table = Some(table);
        if let Some(over) = over {
            self.decide(|dependencies, now, out| dependencies.decisions.reload(now, &over, out));
        }
    }

    /// Cancels the call that a request waits for, if there is one.
    pub(super) fn give_up_call(&mut self, id: RequestId) {
        // A call to the single database is cancelled as its sender is dropped.
        if self.dependencies.is_none() {
            return;
        }
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Stage::AtCall { made, .. } = &mut entry.stage else { return };
        let Some((number, _give_up)) = made.take() else { return };
        self.decide(|dependencies, now, out| {
            dependencies.calls.remove(&CallId(number));
            dependencies.decisions.cancel_call(now, CallId(number), out);
        });
    }

    pub(super) fn attempt_ended(&mut self, number: u64, end: CallEnd, took: f64) {
        let attempt = AttemptId(number);
        let took = Duration::from_secs_f64(took.max(0.0));
        self.decide(|dependencies, now, out| {
            dependencies.attempts.remove(&attempt);
            dependencies.decisions.attempt_ended(now, attempt, end.outcome, took, end.body, out);
        });
    }

    pub(super) fn dependencies_due(&mut self) {
        self.decide(|dependencies, now, out| {
            dependencies.due = None;
            dependencies.decisions.tick(now, out);
        });
    }

    /// Reloads the operator's file, as far as that is possible without a restart.
    pub(super) fn reload_operator_file(&mut self, file: Rc<File>) {
        let stays = "the operator's file before stays in force";
        let Some(dependencies) = &self.dependencies else {
            return log!(WARN, "dependencies come and go with a restart only; {stays}");
        };
        if file.dependency.is_empty() {
            return log!(WARN, "dependencies come and go with a restart only; {stays}");
        }
        // The module gets the classes with skippable calls only at its start.
        let changed = skippable(&file, &dependencies.classes);
        if let Some(place) = changed.iter().zip(&dependencies.skippable).position(|(new, old)| new != old) {
            return log!(
                WARN,
                "route.{}.without changes with a restart only; {stays}",
                dependencies.classes[place]
            );
        }
        // The fleet's route table overrides each file.
        let over = self.table.as_ref().map(|table| overlay(&file, table.table()));
        self.decide(|dependencies, now, out| {
            dependencies.decisions.reload(now, over.as_ref().unwrap_or(&file), out);
            dependencies.file = file;
        });
        log!("the operator's file is in use as it was read again");
    }

    /// Runs a decision and executes the resulting actions.
    fn decide(&mut self, decide: impl FnOnce(&mut Dependencies, Duration, &mut Vec<Action>)) {
        let now = Duration::from_secs_f64(self.now);
        let Some(dependencies) = &mut self.dependencies else { return };
        let mut out = Vec::new();
        decide(dependencies, now, &mut out);
        let mut actions = VecDeque::from(out);
        while let Some(action) = actions.pop_front() {
            if let Some(attempt) = self.execute_dependency_action(action) {
                // It was never sent: the queue to the connections was full.
                let Some(dependencies) = &mut self.dependencies else { return };
                dependencies.attempts.remove(&attempt);
                let mut out = Vec::new();
                let unreachable = Outcome::Unreachable;
                dependencies.decisions.attempt_ended(
                    now,
                    attempt,
                    unreachable,
                    Duration::ZERO,
                    Vec::new(),
                    &mut out,
                );
                actions.extend(out);
            }
        }
        self.schedule_dependencies(now);
    }

    /// Sets a timer for the next tick of the decisions.
    fn schedule_dependencies(&mut self, now: Duration) {
        let Some(dependencies) = &mut self.dependencies else { return };
        let Some(next) = dependencies.decisions.next_tick(now) else { return };
        if dependencies.due.is_none_or(|due| next < due) {
            dependencies.due = Some(next);
            self.send_after(next.saturating_sub(now), Input::DependenciesDue);
        }
    }

    /// Executes one action; returns an attempt that could not be sent.
    fn execute_dependency_action(&mut self, action: Action) -> Option<AttemptId> {
        let fence = match &action {
            Action::Attempt { call, .. } => {
                let id = self.dependencies.as_ref().and_then(|dependencies| dependencies.calls.get(call));
                self.token_of(id.and_then(|id| self.requests.get(id)?.key.as_ref()))
            }
            _ => None,
        };
        let dependencies = self.dependencies.as_mut()?;
        match action {
            Action::Attempt { call, attempt, dependency, address, connections, give_up_after, once } => {
                let id = dependencies.calls.get(&call).copied();
                let entry = id.and_then(|id| Some((id, self.requests.get(&id)?)));
                let Some((id, entry)) = entry else { return Some(attempt) };
                let Stage::AtCall { content, .. } = &entry.stage else { return Some(attempt) };
                let (give_up, given_up) = oneshot::channel();
                dependencies.attempts.insert(attempt, give_up);
                let call = Call {
                    id,
                    number: attempt.0,
                    uid: entry.uid.clone(),
                    body: content.clone(),
                    to: Some(Target { dependency, address, connections }),
                    once,
                    give_up_after,
                    given_up,
                    fence,
                };
                return self.channels.database.try_send(call).is_err().then_some(attempt);
            }
            // Dropping the sender closes the connection.
            Action::Abandon { attempt } => drop(dependencies.attempts.remove(&attempt)),
            Action::End { call, end } => {
                if let Some(id) = dependencies.calls.remove(&call) {
                    self.finish_call(id, end);
                }
            }
            Action::Note(text) => log!("{text}"),
        }
        None
    }

    fn finish_call(&mut self, id: RequestId, end: End) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Stage::AtCall { made, .. } = &mut entry.stage else { return };
        *made = None;
        let (content, outcome, took): (Option<Rc<[u8]>>, _, _) = match end {
            End::Reply { body, took } => (Some(body.into()), Outcome::Done, took),
            End::Kept { body, since } => {
                entry.stale_since = Some(entry.stale_since.map_or(since, |oldest| oldest.min(since)));
                (Some(body), Outcome::Done, Duration::ZERO)
            }
            End::Nothing { outcome, took } => (None, outcome, took),
        };
        if let Some(content) = content {
            entry.stage = Stage::Running;
            let uid = entry.uid.clone();
            self.send_command(Command::Resolve { uid, content });
        }
        self.events.push(Event::CallEnded { id, outcome, took: took.as_secs_f64() });
    }
}
