//! The engine's side of several dependencies: carries out what [`jaspershunt_dependencies`] decides, and shows the module
//! one outcome for each call that it asked for.

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

/// The part of the crowd that the cores survive, and of the memory, that runs parked at calls may take, at all
/// dependencies together. Ours: the module holds 0.8 of the crowd at most and counts what is parked as coming back all
/// at once where runs cannot be paused; the rest is for those that do not call.
const MAX_PARKED_SHARE: f64 = 0.6;

/// What decides on calls, and what is under way for it.
pub(super) struct Dependencies {
    pub(super) decisions: JournaledDependencies,
    /// Each attempt is given up when its half is dropped.
    attempts: HashMap<AttemptId, oneshot::Sender<()>>,
    calls: HashMap<CallId, RequestId>,
    /// When the next [`Input::DependenciesDue`] comes.
    due: Option<Duration>,
    /// Classes of which the file allows answers without a call.
    skippable: Vec<bool>,
    /// Their names, as the file has them.
    classes: Vec<String>,
    /// The operator's file in force, without the table of the fleet over it.
    file: Rc<File>,
}

/// Classes, in the order of the settings, of which the file allows answers without a call.
fn skippable(file: &File, classes: &[String]) -> Vec<bool> {
    classes.iter().map(|name| file.route.get(name).is_some_and(|route| route.without)).collect()
}

impl Dependencies {
    /// What the operator's file asks for; `None` where it names no dependencies. Tells the module in its settings that it
    /// has several below, and narrows the classes of which it may skip calls to those of which the file allows it.
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

    /// The nodo leaves.
    pub fn leave(&mut self, now: Duration) {
        self.decisions.drain(now);
    }

    /// The run of a request goes on without its present call: its answer will lack what that would have brought.
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
    /// The module wants a call made; it is number `number`.
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

    /// Where the present call of a request goes by the table that it began with; nothing where that has no word on it, or sends it to
    /// what this nodo has no address for.
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

    /// Goes by another table from now on; requests that are here go on by theirs. What dependencies bear goes for all.
    pub(super) fn use_route_table(&mut self, table: Snapshot) {
        // Guards against a member that was begun again and hears of an older one first: a revision is never taken back.
        if self.table.as_ref().is_some_and(|before| before.revision > table.revision) {
            return;
        }
        // A trial that begins or ends elsewhere changes nothing of what dependencies bear here.
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

    /// The call that a request waits for is given up, if there is one.
    pub(super) fn give_up_call(&mut self, id: RequestId) {
        // The one database's call is given up as what stands for it is dropped.
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

    /// Takes up an operator's file that was read anew, as far as a nodo that runs can.
    pub(super) fn reload_operator_file(&mut self, file: Rc<File>) {
        let stays = "the operator's file before stays in force";
        let Some(dependencies) = &self.dependencies else {
            return log!(WARN, "dependencies come and go with a restart only; {stays}");
        };
        if file.dependency.is_empty() {
            return log!(WARN, "dependencies come and go with a restart only; {stays}");
        }
        // The module was told at its start of which classes it may skip calls.
        let changed = skippable(&file, &dependencies.classes);
        if let Some(place) = changed.iter().zip(&dependencies.skippable).position(|(new, old)| new != old) {
            return log!(
                WARN,
                "route.{}.without changes with a restart only; {stays}",
                dependencies.classes[place]
            );
        }
        // What the fleet's table says of dependencies stands over each file.
        let over = self.table.as_ref().map(|table| overlay(&file, table.table()));
        self.decide(|dependencies, now, out| {
            dependencies.decisions.reload(now, over.as_ref().unwrap_or(&file), out);
            dependencies.file = file;
        });
        log!("the operator's file is in use as it was read again");
    }

    /// Has something decided and carries out what follows.
    fn decide(&mut self, decide: impl FnOnce(&mut Dependencies, Duration, &mut Vec<Action>)) {
        let now = Duration::from_secs_f64(self.now);
        let Some(dependencies) = &mut self.dependencies else { return };
        let mut out = Vec::new();
        decide(dependencies, now, &mut out);
        let mut actions = VecDeque::from(out);
        while let Some(action) = actions.pop_front() {
            if let Some(attempt) = self.execute_dependency_action(action) {
                // It never left: there was no room in the way to the connections.
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

    /// Sees to it that the engine hears when the next change by time alone is due.
    fn schedule_dependencies(&mut self, now: Duration) {
        let Some(dependencies) = &mut self.dependencies else { return };
        let Some(next) = dependencies.decisions.next_tick(now) else { return };
        if dependencies.due.is_none_or(|due| next < due) {
            dependencies.due = Some(next);
            self.send_after(next.saturating_sub(now), Input::DependenciesDue);
        }
    }

    /// Carries out one action; returns an attempt that could not be sent.
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
            // The connection closes as its half is dropped.
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
