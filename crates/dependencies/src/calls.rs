//! Takes each call from being wanted to its one end: to its dependency, into the line there, again or elsewhere, to a
//! kept reply, or to nothing.

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

/// Calls that may be under way at once, over all dependencies. Ours: more than any part of parked runs allows; whatever
/// comes beyond is turned away.
pub const MAX_ACTIVE_CALLS: usize = 4096;
/// An attempt that has less time left than this is not begun.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);

#[derive(Clone, Debug, Serialize, Deserialize)]
enum CallState {
    /// In the line of its dependency.
    #[serde(rename = "Waits")]
    Queued,
    /// On its way.
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
    /// Between the two, while it is decided on.
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
    /// The table's word on it, which stands over the file's.
    #[serde(rename = "by")]
    shared_route: Option<Rc<By>>,
    /// The dependency that it is at.
    #[serde(rename = "at")]
    dependency: usize,
    #[serde(rename = "place")]
    state: CallState,
    #[serde(rename = "wanted")]
    requested_at: Duration,
    #[serde(rename = "until")]
    deadline: Duration,
    attempts: usize,
    /// It was tried again at the dependency where it is.
    #[serde(rename = "again")]
    retried: bool,
    /// The end of the last attempt that may have had an effect, else of the last one at all.
    outcome: Option<Outcome>,
    may_have_run: bool,
}

/// The owner of all these decisions; see the crate's front page.
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
    /// The dependency that stands in for one.
    fn fallback_after(&self, name: &str) -> Option<&str> {
        let mut way = std::iter::once(&self.to).chain(&self.then).skip_while(|to| *to != name).skip(1);
        way.next().map(String::as_str)
    }
}

impl Dependencies {
    /// Dependencies of which nothing is known yet. `classes` are the names of the settings, in order; `seed` is what
    /// random waits are made from.
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

    /// Takes up another file. What was learned of a dependency stays with its name; calls under way end where they are.
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
            // The place of one that has gone is used again: reloads without end must not grow the list.
            match self.dependencies.iter().position(|d| d.retired && d.in_flight() == 0 && d.parked == 0) {
                Some(index) => self.dependencies[index] = new,
                None => self.dependencies.push(new),
            }
        }
        for index in 0..self.dependencies.len() {
            self.serve_queue(now, index, out);
        }
    }

    /// The nodo leaves: breakers that are open stay so.
    pub fn drain(&mut self) {
        self.draining = true;
        self.dependencies.iter_mut().for_each(|d| d.breaker.drain());
    }

    /// The name of the dependency that a call of this class and place goes to; `None` where the file has no route.
    pub fn dependency_of(&self, class: usize, place: usize) -> Option<&str> {
        self.routes.find(class, place).map(|route| route.dependency.as_str())
    }

    /// A call is wanted.
    pub fn start_call(&mut self, now: Duration, wanted: Wanted, out: &mut Vec<Action>) {
        let id = wanted.call;
        let no_reply =
            |outcome| Action::End { call: id, end: End::Nothing { outcome, took: Duration::ZERO } };
        let mut route = self.routes.find(wanted.class, wanted.place).cloned();
        // A table may know dependencies that this nodo's file has no address for: the file's own route stands then.
        let shared_route = wanted.by.filter(|by| self.index_of(&by.to).is_some());
        if let (Some(route), Some(by)) = (&mut route, &shared_route) {
            route.dependency.clone_from(&by.to);
        }
        let index = route.as_ref().and_then(|route| self.index_of(&route.dependency));
        let (Some(route), Some(index)) = (route, index) else {
            // The checks of the file leave no class without a route; a class that should make no calls may lack one.
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

    /// An attempt ended. `body` is the reply of one that went well; `took` is the time from its beginning.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        attempt: AttemptId,
        outcome: Outcome,
        took: Duration,
        body: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        // An attempt that was abandoned says nothing any more.
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
        // What may have had its effect is not forgotten for what certainly had none.
        if call.outcome.is_none_or(Outcome::never_ran) || !outcome.never_ran() {
            call.outcome = Some(outcome);
        }
        self.unpark(id);
        let dependency = &mut self.dependencies[index];
        dependency.advance(now);
        // One that was given up, or whose connection broke, may go on below.
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
            // No run waits for the call: that says nothing of the dependency.
            Outcome::NotStarted | Outcome::Stopped => None,
            // The request had less time than the dependency may take.
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
            // Guards the rule that an effect happens once: such a call is never made again, here or elsewhere. And one
            // for which no run waits is over everywhere.
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

    /// Nobody waits for a call any more.
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
                // Guards against a dependency that hangs for longer than any caller waits: no attempt would ever end.
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

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.reply_cache.expire(now);
        for index in 0..self.dependencies.len() {
            self.serve_queue(now, index, out);
        }
    }

    /// When [`Dependencies::tick`] is due; `None` while nothing waits.
    pub fn next_tick(&self, now: Duration) -> Option<Duration> {
        self.dependencies.iter().filter_map(|d| d.next_change(now)).min()
    }

    /// A look at all dependencies.
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

    /// First attempts so far, and attempts beyond the first.
    pub fn attempts(&self) -> (u64, u64) {
        (self.retry_budget.first_attempts, self.retry_budget.retries)
    }

    /// Calls that have no end yet.
    pub fn active_calls(&self) -> usize {
        self.calls.len()
    }

    /// Calls that a route of the table has at its own dependency.
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

    /// Counts a call that was not made, and says seldom where there is no room: whoever set the budget should know.
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

    /// The call is not at its dependency any more, which has room for another run.
    fn unpark(&mut self, id: CallId) {
        if let Some(call) = self.calls.get(&id) {
            self.dependencies[call.dependency].unpark(call.cache_key.body.len(), call.memory_kb);
        }
    }

    /// Brings a call that is nowhere to a dependency: on its way, or into the line. Repeated attempts and calls from
    /// elsewhere do not wait: those whose own dependency it is go first.
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

    /// An attempt begins, at a dependency that has room and where the call is parked.
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

    /// After an attempt that failed: once more at the same dependency where that makes sense, else elsewhere.
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

    /// The call cannot be made where it is: on to the next dependency that takes it, else to a kept reply or nothing.
    fn fall_back_or_end(&mut self, now: Duration, id: CallId, out: &mut Vec<Action>) {
        // A chain has no cycle when it is read; that a reload changes it on the way is why the steps are counted.
        for _ in 0..self.dependencies.len() {
            let Some(call) = self.calls.get_mut(&id) else { return };
            let may_fall_back = call.route.may_fall_back
                && call.attempts < self.max_attempts
                && call.deadline > now + MIN_TIME_LEFT;
            let dependency = &self.dependencies[call.dependency];
            // A request goes by one table to its end, also when another comes meanwhile.
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

    /// The call ends without a reply of its own. It is parked nowhere.
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

    /// Those in line whose time is over go on elsewhere; of the others as many are begun as there is room for.
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

    /// All in line go on elsewhere.
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

    /// Says when a breaker has turned; what waits for one that has opened goes on elsewhere, and one that has closed
    /// begins with few calls.
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

    /// The same with other bodies; `mask` keeps lengths, and what is equal. Nothing is decided by what a body says.
    pub(crate) fn masked(&self, mask: impl Fn(&[u8]) -> Rc<[u8]>) -> Dependencies {
        let mut masked = self.clone();
        masked.calls.values_mut().for_each(|call| call.cache_key.body = mask(&call.cache_key.body));
        masked.reply_cache = self.reply_cache.masked(mask);
        masked
    }

    /// Checks what must always hold.
    ///
    /// # Errors
    /// What does not.
    pub fn check_invariants(&self) -> Result<(), String> {
        let wrong = |name: &str, what: String| Err(format!("{name}: {what}"));
        for (index, d) in self.dependencies.iter().enumerate() {
            let here: Vec<&Call> = self.calls.values().filter(|call| call.dependency == index).collect();
            let tried = here.iter().filter(|call| matches!(call.state, CallState::InFlight { .. })).count();
            let fallbacks = here
                .iter()
                .filter(|call| matches!(call.state, CallState::InFlight { is_fallback: true, .. }))
                .count();
            let bytes: usize = here.iter().map(|call| call.cache_key.body.len()).sum();
            if tried != d.active {
                return wrong(&d.name, format!("{tried} are on their way, {} counted", d.active));
            }
            if d.queue.len() + tried != here.len() || d.parked != here.len() {
                let counted = (d.queue.len(), tried, d.parked);
                return wrong(&d.name, format!("{} are here, counted {counted:?}", here.len()));
            }
            if bytes != d.bytes {
                return wrong(&d.name, format!("{bytes} bytes, {} counted", d.bytes));
            }
            let lingering = d.lingering.iter().filter(|(_, is_fallback)| *is_fallback).count();
            if fallbacks + lingering != d.fallback_in_flight {
                return wrong(
                    &d.name,
                    format!("{fallbacks} + {lingering} fallbacks, {} counted", d.fallback_in_flight),
                );
            }
            if d.queue
                .iter()
                .any(|(_, id)| !matches!(self.calls.get(id), Some(c) if matches!(c.state, CallState::Queued)))
            {
                return wrong(&d.name, "one in line does not wait".to_string());
            }
        }
        let unassigned = self.calls.iter().find(|(_, call)| matches!(call.state, CallState::Unassigned));
        if let Some((id, _)) = unassigned {
            return wrong("calls", format!("{id:?} is nowhere"));
        }
        let tried =
            self.calls.values().filter(|call| matches!(call.state, CallState::InFlight { .. })).count();
        if tried != self.attempts.len() {
            return wrong("calls", format!("{tried} are tried, {} counted", self.attempts.len()));
        }
        Ok(())
    }
}
