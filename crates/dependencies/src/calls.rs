//! The life of a call, from the request to its end: dispatch to a dependency, its queue, retries, fallbacks,
//! and the cached reply.

use crate::breaker::{Admission, CallResult, State};
use crate::budget::{Dependency, REFUSAL_LOG_INTERVAL, Refusal};
use crate::reply_cache::{CacheKey, ReplyCache};
use crate::retries::RetryBudget;
use crate::routes::{Route, Routes};
use crate::{Action, AttemptId, By, CallId, End, ParkingCapacity, Status, Wanted};
use jaspershunt::Outcome;
use jaspershunt_operator::File;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of calls without an end, over all dependencies; more than any share of the parked runs
/// allows. Calls beyond it are rejected.
pub const MAX_ACTIVE_CALLS: usize = 4096;
/// An attempt is not started with less time left than this.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

#[derive(Clone, Debug, Serialize, Deserialize)]
enum CallState {
    /// In the queue of its dependency.
    #[serde(rename = "Waits")]
    Queued,
    /// An attempt is in flight.
    #[serde(rename = "Tried")]
    InFlight {
        attempt: AttemptId,
        #[serde(rename = "period")]
        generation: u64,
        #[serde(rename = "began")]
        started_at: Duration,
        #[serde(rename = "given")]
        timeout: Duration,
        #[serde(rename = "guest")]
        is_fallback: bool,
        #[serde(rename = "in_hand")]
        in_flight: usize,
    },
    /// Neither, while the next step is being decided.
    #[serde(rename = "Nowhere")]
    Unassigned,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Call {
    #[serde(rename = "asked")]
    cache_key: CacheKey,
    #[serde(rename = "kb")]
    memory_kb: f64,
    route: Route,
    /// The route of the shared table, which overrides the one of the operator's file.
    #[serde(rename = "by")]
    shared_route: Option<Rc<By>>,
    /// Index of the dependency that has the call.
    #[serde(rename = "at")]
    dependency: usize,
    #[serde(rename = "place")]
    state: CallState,
    #[serde(rename = "wanted")]
    requested_at: Duration,
    #[serde(rename = "until")]
    deadline: Duration,
    attempts: usize,
    /// Whether it was already retried at this dependency.
    #[serde(rename = "again")]
    retried: bool,
    /// The outcome of the last attempt that may have had an effect, or else of the last attempt.
    outcome: Option<Outcome>,
    may_have_run: bool,
}

/// The decisions on calls to dependencies; see the crate documentation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dependencies {
    classes: Vec<String>,
    routes: Routes,
    #[serde(rename = "room")]
    capacity: ParkingCapacity,
    #[serde(rename = "all")]
    dependencies: Vec<Dependency>,
    calls: BTreeMap<CallId, Call>,
    #[serde(rename = "tried")]
    attempts: BTreeMap<AttemptId, CallId>,
    #[serde(rename = "retries")]
    retry_budget: RetryBudget,
    #[serde(rename = "most_attempts")]
    max_attempts: usize,
    #[serde(rename = "kept")]
    reply_cache: ReplyCache,
    #[serde(rename = "attempts")]
    last_attempt: u64,
    seed: u64,
    #[serde(rename = "leaving")]
    draining: bool,
}

impl By {
    /// The fallback for a dependency of this route.
    fn fallback_after(&self, name: &str) -> Option<&str> {
        let mut way = std::iter::once(&self.to).chain(&self.then).skip_while(|to| *to != name).skip(1);
        way.next().map(String::as_str)
    }
}

impl Dependencies {
    /// Creates the state for the dependencies of a file. `classes` are the names of the classes in the
    /// settings, in order; `seed` seeds the random parts of waits.
    pub fn new<S: AsRef<str>>(
        file: &File,
        classes: &[S],
        capacity: ParkingCapacity,
        seed: u64,
        now: Duration,
    ) -> Dependencies {
        let mut dependencies = Dependencies {
            classes: classes.iter().map(|name| name.as_ref().to_string()).collect(),
            routes: Routes::default(),
            capacity,
            dependencies: Vec::new(),
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            retry_budget: RetryBudget::new(&file.retries),
            max_attempts: 0,
            reply_cache: ReplyCache::default(),
            last_attempt: 0,
            seed,
            draining: false,
        };
        dependencies.reload(now, file, &mut Vec::new());
        dependencies
    }

    /// Applies a new operator's file. Measurements stay with the name of a dependency, and active calls end
    /// at the dependency that has them.
    pub fn reload(&mut self, now: Duration, file: &File, out: &mut Vec<Action>) {
        self.routes = Routes::new(file, &self.classes);
        self.retry_budget.configure(&file.retries);
        self.max_attempts = file.retries.attempts;
        self.reply_cache.set_max_bytes(file.kept.bytes.0 as usize);
        for index in 0..self.dependencies.len() {
            match file.dependency.get(&self.dependencies[index].name) {
                Some(config) => self.dependencies[index].configure(config),
                None => {
                    self.dependencies[index].retired = true;
                    self.flush_queue(now, index, out);
                }
            }
        }
        for (name, config) in &file.dependency {
            if self.index_of(name).is_some() {
                continue;
            }
            self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mut new = Dependency::new(name, config, self.seed, now);
            if self.draining {
                new.breaker.drain();
            }
            // Reuses the slot of a removed dependency, so that repeated reloads do not grow the list.
            match self.dependencies.iter().position(|d| d.retired && d.in_flight() == 0 && d.parked == 0) {
                Some(index) => self.dependencies[index] = new,
                None => self.dependencies.push(new),
            }
        }
        for index in 0..self.dependencies.len() {
            self.serve_queue(now, index, out);
        }
    }

    /// Prepares for the end of the nodo: breakers that are open stay open.
    pub fn drain(&mut self) {
        self.draining = true;
        self.dependencies.iter_mut().for_each(|d| d.breaker.drain());
    }

    /// The name of the dependency for a call of this class and place; `None` if the file has no route for
    /// it.
    pub fn dependency_of(&self, class: usize, place: usize) -> Option<&str> {
        self.routes.find(class, place).map(|route| route.dependency.as_str())
    }

    /// Starts a call.
    pub fn start_call(&mut self, now: Duration, wanted: Wanted, out: &mut Vec<Action>) {
        let id = wanted.call;
        let no_reply =
            |outcome| Action::End { call: id, end: End::Nothing { outcome, took: Duration::ZERO } };
        let mut route = self.routes.find(wanted.class, wanted.place).cloned();
        // The shared table may name dependencies for which this nodo's file has no address; the file's own
        // route is used then.
        let shared_route = wanted.by.filter(|by| self.index_of(&by.to).is_some());
        if let (Some(route), Some(by)) = (&mut route, &shared_route) {
            route.dependency.clone_from(&by.to);
        }
        let index = route.as_ref().and_then(|route| self.index_of(&route.dependency));
        let (Some(route), Some(index)) = (route, index) else {
            // The checks of the file ensure that classes with calls have routes; a class that should make no
            // calls may have none.
            return out.push(no_reply(Outcome::Unreachable));
        };
        if self.calls.len() >= MAX_ACTIVE_CALLS || self.calls.contains_key(&id) {
            return out.push(no_reply(Outcome::TurnedAway));
        }
        let call = Call {
            cache_key: CacheKey { class: wanted.class, place: wanted.place, body: wanted.body },
            memory_kb: wanted.kb,
            route,
            shared_route,
            dependency: index,
            state: CallState::Unassigned,
            requested_at: now,
            deadline: now + wanted.left,
            attempts: 0,
            retried: false,
            outcome: None,
            may_have_run: false,
        };
        let full = call.shared_route.as_ref().is_some_and(|by| self.calls_by_route(by, index) >= by.calls);
        self.calls.insert(id, call);
        let dispatched = if full { Err(Refusal::OverLimit) } else { self.dispatch(now, id, index, out) };
        if let Err(refusal) = dispatched {
            self.record_refusal(now, index, refusal, out);
            self.fall_back_or_end(now, id, out);
        }
    }

    /// Handles the end of an attempt. `body` is the reply of a successful one; `took` is its duration.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: Outcome,
        took: Duration,
        body: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        // Reports on abandoned attempts are ignored.
        let Some(id) = self.attempts.remove(&attempt) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        let CallState::InFlight { generation, timeout, is_fallback, in_flight, .. } = call.state else {
            return;
        };
        let (index, cache_key, at_most_once) =
            (call.dependency, call.cache_key.clone(), call.route.at_most_once);
        let reply_time_to_live = call.route.max_reply_age;
        call.state = CallState::Unassigned;
        call.may_have_run |= !outcome.never_ran();
        // An outcome that may have had an effect is not replaced by one that certainly had none.
        if call.outcome.is_none_or(Outcome::never_ran) || !outcome.never_ran() {
            call.outcome = Some(outcome);
        }
        self.unpark(id);
        let dependency = &mut self.dependencies[index];
        dependency.advance(now);
        // The dependency may still be executing a call that was given up or lost its connection.
        dependency.end_attempt(now, is_fallback, matches!(outcome, Outcome::GivenUp | Outcome::Broken));
        let old_state = dependency.breaker.state();
        let slow = took >= dependency.config.breaker.slow.0;
        let counts = &mut dependency.counts;
        match outcome {
            Outcome::Done => counts.succeeded += 1,
            Outcome::TurnedAway => counts.turned_away += 1,
            Outcome::GivenUp => counts.given_up += 1,
            _ => counts.failed += 1,
        }
        let result = match outcome {
            Outcome::Done if slow => Some(CallResult::Slow),
            Outcome::Done => Some(CallResult::Success),
            // No run waits for the call, so its end says nothing about the dependency.
            Outcome::NotStarted | Outcome::Stopped => None,
            // The deadline of the request was shorter than the dependency's timeout.
            Outcome::GivenUp if !slow && timeout < dependency.config.timeout.0 => None,
            _ => Some(CallResult::Failure),
        };
        match result {
            Some(result) => dependency.breaker.record_result(now, generation, result),
            None => dependency.breaker.record_no_result(generation),
        }
        match outcome {
            Outcome::Done => dependency.adaptive_limit.record_reply(took, in_flight),
            Outcome::TurnedAway | Outcome::GivenUp if result.is_some() => {
                dependency.adaptive_limit.record_drop()
            }
            _ => {}
        }
        if outcome == Outcome::Unreachable {
            dependency.next_address();
        }
        self.breaker_changed(now, index, old_state, out);
        if outcome == Outcome::Done {
            if let Some(time_to_live) = reply_time_to_live {
                self.reply_cache.insert(now, cache_key, Rc::from(&body[..]), time_to_live);
            }
            self.calls.remove(&id);
            out.push(Action::End { call: id, end: End::Reply { body, took } });
        } else if outcome == Outcome::NotStarted || (at_most_once && !outcome.never_ran()) {
            // A call that must not be repeated and may have run is never retried, here or elsewhere, so that
            // its effect happens at most once. A call without a waiting run is not retried either.
            self.end_without_reply(now, id, out);
        } else {
            let again = match outcome {
                Outcome::Broken => true,
                Outcome::Unreachable => self.dependencies[index].config.addresses.len() > 1,
                _ => false,
            };
            self.retry_or_fall_back(now, id, index, again, out);
        }
        self.serve_queue(now, index, out);
    }

    /// Cancels a call that is no longer needed.
    pub fn cancel_call(&mut self, now: Duration, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let index = call.dependency;
        match call.state {
            CallState::InFlight { attempt, generation, started_at, is_fallback, .. } => {
                self.attempts.remove(&attempt);
                out.push(Action::Abandon { attempt });
                let dependency = &mut self.dependencies[index];
                dependency.advance(now);
                dependency.end_attempt(now, is_fallback, true);
                let old_state = dependency.breaker.state();
                // Without this, a dependency that hangs for longer than any caller waits would never open
                // its breaker, since no attempt would end.
                if now.saturating_sub(started_at) >= dependency.config.breaker.slow.0 {
                    dependency.breaker.record_result(now, generation, CallResult::Failure);
                } else {
                    dependency.breaker.record_no_result(generation);
                }
                self.breaker_changed(now, index, old_state, out);
            }
            CallState::Queued => self.dependencies[index].queue.retain(|(_, other)| *other != id),
            CallState::Unassigned => {}
        }
        self.unpark(id);
        self.calls.remove(&id);
        self.serve_queue(now, index, out);
    }

    /// Handles what changes with time alone: expired replies, timed-out queue entries and free capacity.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.reply_cache.expire(now);
        for index in 0..self.dependencies.len() {
            self.serve_queue(now, index, out);
        }
    }

    /// The time at which [`Dependencies::tick`] is due; `None` while nothing is queued.
    pub fn next_tick(&self, now: Duration) -> Option<Duration> {
        self.dependencies.iter().filter_map(|d| d.next_change(now)).min()
    }

    /// The state of all dependencies.
    pub fn status(&self) -> Vec<Status> {
        let status_of = |d: &Dependency| Status {
            name: d.name.clone(),
            in_flight: d.in_flight(),
            queued: d.queue.len(),
            parked: d.parked,
            limit: d.limit(),
            breaker: d.breaker.state(),
            counts: d.counts,
        };
        self.dependencies.iter().filter(|d| !d.retired).map(status_of).collect()
    }

    /// The numbers of first attempts and of retries so far.
    pub fn attempts(&self) -> (u64, u64) {
        (self.retry_budget.first_attempts, self.retry_budget.retries)
    }

    /// The number of calls without an end.
    pub fn active_calls(&self) -> usize {
        self.calls.len()
    }

    /// The number of calls that a route of the shared table has at its own dependency.
    fn calls_by_route(&self, by: &By, index: usize) -> usize {
        let of = |call: &&Call| {
            call.dependency == index
                && call.shared_route.as_ref().is_some_and(|other| other.route == by.route)
        };
        self.calls.values().filter(of).count()
    }

    fn index_of(&self, name: &str) -> Option<usize> {
        self.dependencies.iter().position(|d| !d.retired && d.name == name)
    }

    /// Counts a refused call. A refusal for lack of capacity is also logged, at most once per interval, so
    /// that an operator can see that a limit is too low.
    fn record_refusal(&mut self, now: Duration, index: usize, refusal: Refusal, out: &mut Vec<Action>) {
        let max_parked = self.dependencies[index].max_parked(&self.capacity);
        let dependency = &mut self.dependencies[index];
        let counts = &mut dependency.counts;
        match refusal {
            Refusal::BreakerOpen => return counts.breaker_open += 1,
            Refusal::OverLimit => counts.over_limit += 1,
            Refusal::OverShare => counts.over_share += 1,
            Refusal::NoRetryCredit => return,
        }
        if dependency
            .refusal_logged_at
            .is_none_or(|logged_at| now.saturating_sub(logged_at) >= REFUSAL_LOG_INTERVAL)
        {
            dependency.refusal_logged_at = Some(now);
            let what = if refusal == Refusal::OverShare { "no place" } else { "no room" };
            out.push(Action::Note(format!(
                "calls to {} find {what}: {} of {} in hand, {} of {} in line, {} of {max_parked} runs parked",
                dependency.name,
                dependency.in_flight(),
                dependency.limit(),
                dependency.queue.len(),
                dependency.config.waiting,
                dependency.parked,
            )));
        }
    }

    /// Releases what the call uses at its dependency.
    fn unpark(&mut self, id: CallId) {
        if let Some(call) = self.calls.get(&id) {
            self.dependencies[call.dependency].unpark(call.cache_key.body.len(), call.memory_kb);
        }
    }

    /// Starts an unassigned call at a dependency, or queues it there. Retries and fallback calls are not
    /// queued: first attempts at their own dependency take precedence.
    fn dispatch(
        &mut self,
        now: Duration,
        id: CallId,
        index: usize,
        out: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let Some(call) = self.calls.get(&id) else { return Ok(()) };
        let is_fallback = self.dependencies[index].name != call.route.dependency;
        let (bytes, memory_kb, attempts, deadline) =
            (call.cache_key.body.len(), call.memory_kb, call.attempts, call.deadline);
        let dependency = &mut self.dependencies[index];
        dependency.advance(now);
        if !dependency.breaker.allows(now) {
            return Err(Refusal::BreakerOpen);
        }
        if !dependency.may_park(&self.capacity, bytes, memory_kb) {
            return Err(Refusal::OverShare);
        }
        if attempts > 0 && !self.retry_budget.allows_retry() {
            return Err(Refusal::NoRetryCredit);
        }
        let must_not_wait = is_fallback || attempts > 0;
        let others_queued = !dependency.queue.is_empty();
        if dependency.has_capacity(is_fallback) && !others_queued {
            dependency.park(bytes, memory_kb);
            self.start_attempt(now, id, index, is_fallback, out);
            return Ok(());
        }
        let breaker_closed = dependency.breaker.state() == State::Closed;
        if must_not_wait || !breaker_closed || dependency.queue.len() >= dependency.config.waiting {
            return Err(Refusal::OverLimit);
        }
        dependency.park(bytes, memory_kb);
        let waits_until = deadline.min(now + dependency.config.wait.0);
        dependency.queue.push_back((waits_until, id));
        if let Some(call) = self.calls.get_mut(&id) {
            (call.dependency, call.state) = (index, CallState::Queued);
        }
        Ok(())
    }

    /// Starts an attempt at a dependency that has capacity and where the call is parked.
    fn start_attempt(
        &mut self,
        now: Duration,
        id: CallId,
        index: usize,
        is_fallback: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let dependency = &mut self.dependencies[index];
        let Admission::Admitted { generation } = dependency.breaker.admit(now) else { return };
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let address = dependency.start_attempt(is_fallback);
        let timeout = dependency.config.timeout.0.min(call.deadline.saturating_sub(now)).max(MIN_TIME_LEFT);
        match call.attempts {
            0 => self.retry_budget.record_first_attempt(),
            _ => self.retry_budget.record_retry(),
        }
        call.attempts += 1;
        call.dependency = index;
        let in_flight = dependency.in_flight();
        call.state =
            CallState::InFlight { attempt, generation, started_at: now, timeout, is_fallback, in_flight };
        self.attempts.insert(attempt, id);
        out.push(Action::Attempt {
            call: id,
            attempt,
            dependency: index,
            address,
            connections: dependency.config.connections,
            give_up_after: timeout,
            once: call.route.at_most_once,
        });
    }

    /// Retries a call once at the same dependency if `again` is set, or else falls back.
    fn retry_or_fall_back(
        &mut self,
        now: Duration,
        id: CallId,
        index: usize,
        again: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let may_retry = call.attempts < self.max_attempts && call.deadline > now + MIN_TIME_LEFT;
        let retired = self.dependencies[index].retired;
        if again && may_retry && !call.retried && !retired {
            call.retried = true;
            if self.dispatch(now, id, index, out).is_ok() {
                return;
            }
        }
        self.fall_back_or_end(now, id, out);
    }

    /// Moves a call to the next fallback that accepts it, or else ends it.
    fn fall_back_or_end(&mut self, now: Duration, id: CallId, out: &mut Vec<Action>) {
        // A file is checked for cycles, but a reload can change the chain in between, so the steps are
        // bounded.
        for _ in 0..self.dependencies.len() {
            let Some(call) = self.calls.get_mut(&id) else { return };
            let may_fall_back = call.route.may_fall_back
                && call.attempts < self.max_attempts
                && call.deadline > now + MIN_TIME_LEFT;
            let dependency = &self.dependencies[call.dependency];
            // A request follows one table to its end, even if a newer one arrives meanwhile.
            let next = match &call.shared_route {
                Some(by) => by.fallback_after(&dependency.name),
                None => dependency.config.fall_back.as_deref(),
            };
            let next = next.filter(|_| may_fall_back).map(str::to_string);
            let Some(index) = next.and_then(|name| self.index_of(&name)) else { break };
            if let Some(call) = self.calls.get_mut(&id) {
                (call.dependency, call.retried) = (index, false);
            }
            match self.dispatch(now, id, index, out) {
                Ok(()) => return,
                Err(refusal) => self.record_refusal(now, index, refusal, out),
            }
        }
        self.end_without_reply(now, id, out);
    }

    /// Ends a call that has no reply of its own and is not parked: with a cached reply if there is one.
    fn end_without_reply(&mut self, now: Duration, id: CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        let max_age = call.route.max_reply_age.filter(|_| !call.route.at_most_once);
        let end = match max_age.and_then(|max_age| self.reply_cache.get(now, &call.cache_key, max_age)) {
            Some((body, since)) => End::Kept { body, since },
            None => End::Nothing {
                outcome: call.outcome.unwrap_or(Outcome::TurnedAway),
                took: now.saturating_sub(call.requested_at),
            },
        };
        out.push(Action::End { call: id, end });
    }

    /// Removes timed-out entries from the queue, which then fall back, and starts as many others as there is
    /// capacity for.
    fn serve_queue(&mut self, now: Duration, index: usize, out: &mut Vec<Action>) {
        self.dependencies[index].advance(now);
        let timed_out: Vec<CallId> = self.dependencies[index]
            .queue
            .iter()
            .filter(|(until, _)| *until <= now)
            .map(|(_, id)| *id)
            .collect();
        if !timed_out.is_empty() {
            self.dependencies[index].queue.retain(|(until, _)| *until > now);
            for id in timed_out {
                self.record_refusal(now, index, Refusal::OverLimit, out);
                self.leave_queue(now, id, out);
            }
        }
        while let Some((_, id)) = self.dependencies[index].queue.front().copied() {
            let dependency = &mut self.dependencies[index];
            if !dependency.has_capacity(false) || !dependency.breaker.allows(now) {
                break;
            }
            dependency.queue.pop_front();
            self.start_attempt(now, id, index, false, out);
        }
    }

    /// Empties the queue; its calls fall back.
    fn flush_queue(&mut self, now: Duration, index: usize, out: &mut Vec<Action>) {
        for (_, id) in std::mem::take(&mut self.dependencies[index].queue) {
            self.record_refusal(now, index, Refusal::BreakerOpen, out);
            self.leave_queue(now, id, out);
        }
    }

    fn leave_queue(&mut self, now: Duration, id: CallId, out: &mut Vec<Action>) {
        self.unpark(id);
        if let Some(call) = self.calls.get_mut(&id) {
            call.state = CallState::Unassigned;
        }
        self.fall_back_or_end(now, id, out);
    }

    /// Logs a transition of a breaker. After it has opened, queued calls fall back; after it has closed, the
    /// adaptive limit restarts.
    fn breaker_changed(&mut self, now: Duration, index: usize, old_state: State, out: &mut Vec<Action>) {
        let dependency = &mut self.dependencies[index];
        match (old_state, dependency.breaker.state()) {
            (State::Closed, State::Open { .. }) => {
                out.push(Action::Note(format!(
                    "dependency {} is left alone for a while: {}",
                    dependency.name, dependency.counts
                )));
                dependency.adaptive_limit.reset();
                self.flush_queue(now, index, out);
            }
            (State::HalfOpen { .. }, State::Closed) => {
                out.push(Action::Note(format!("dependency {} is well again", dependency.name)));
                dependency.adaptive_limit.reset();
            }
            _ => {}
        }
    }

    /// Returns a copy in which `mask` has replaced all bodies. `mask` must keep lengths and equality; no
    /// decision depends on the content of a body.
    pub(crate) fn masked(&self, mask: impl Fn(&[u8]) -> Rc<[u8]>) -> Dependencies {
        let mut masked = self.clone();
        masked.calls.values_mut().for_each(|call| call.cache_key.body = mask(&call.cache_key.body));
        masked.reply_cache = self.reply_cache.masked(mask);
        masked
    }

    /// Checks the invariants of the state.
    ///
    /// # Errors
    ///
    /// The first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), String> {
        let wrong = |name: &str, what: String| Err(format!("{name}: {what}"));
        for (index, d) in self.dependencies.iter().enumerate() {
            let here: Vec<&Call> = self.calls.values().filter(|call| call.dependency == index).collect();
            let active = here.iter().filter(|call| matches!(call.state, CallState::InFlight { .. })).count();
            let fallbacks = here
                .iter()
                .filter(|call| matches!(call.state, CallState::InFlight { is_fallback: true, .. }))
                .count();
            let bytes: usize = here.iter().map(|call| call.cache_key.body.len()).sum();
            if active != d.active {
                return wrong(&d.name, format!("{active} active attempts, {} counted", d.active));
            }
            if d.queue.len() + active != here.len() || d.parked != here.len() {
                let counted = (d.queue.len(), active, d.parked);
                return wrong(&d.name, format!("{} calls, counted {counted:?}", here.len()));
            }
            if bytes != d.bytes {
                return wrong(&d.name, format!("{bytes} bytes, {} counted", d.bytes));
            }
            let lingering = d.lingering.iter().filter(|(_, is_fallback)| *is_fallback).count();
            if fallbacks + lingering != d.fallback_in_flight {
                return wrong(
                    &d.name,
                    format!("{fallbacks} + {lingering} fallback calls, {} counted", d.fallback_in_flight),
                );
            }
            if d.queue
                .iter()
                .any(|(_, id)| !matches!(self.calls.get(id), Some(c) if matches!(c.state, CallState::Queued)))
            {
                return wrong(&d.name, "a queue entry is not a queued call".to_string());
            }
        }
        let unassigned = self.calls.iter().find(|(_, call)| matches!(call.state, CallState::Unassigned));
        if let Some((id, _)) = unassigned {
            return wrong("calls", format!("{id:?} is unassigned"));
        }
        let active =
            self.calls.values().filter(|call| matches!(call.state, CallState::InFlight { .. })).count();
        if active != self.attempts.len() {
            return wrong("calls", format!("{active} calls in flight, {} counted", self.attempts.len()));
        }
        Ok(())
    }
}
