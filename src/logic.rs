//! Every decision of jaspershunt. `src/api.rs` defines settings, events and actions; `src/state.rs` does the
//! bookkeeping and decides nothing.
//!
//! The main path is win-cont of "Application Layer Feedback-based SIP Server Overload Control", section 3.4:
//! learn the service rate, limit the queue to service rate x delay budget, tell callers how many requests
//! each may have here, and refuse the excess while the queue is over its limit.

use crate::api::*;
use crate::state::{InFlightRequest, ServerState, Stage, to_micros};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

mod apply_settings;
mod decision_metrics;
pub use decision_metrics::DecisionMetrics;

/// T_m, the interval over which finished requests are counted; the paper has 100 ms.
const MEASURE_SECONDS: f64 = 0.1;
/// D_B, the budget of delay in the queue. The paper's 200 ms still reach full goodput at 400 ms (section
/// 5.3); the longer budget fits targets of seconds and leaves more requests to choose from.
const DELAY_BUDGET_SECONDS: f64 = 0.4;
/// Weight of the newest interval in the service rate: a memory of about a second. The first intervals make a
/// plain mean, since a rate smoothed up from 0 would keep callers from a server with free capacity.
const RATE_SMOOTHING: f64 = 0.1;
/// A caller counts as active for this long after its last request (section 3.2 of the paper).
const CALLER_EXPIRY_SECONDS: f64 = 1.0;
/// Credit while not overloaded, as a multiple of the most requests that any caller has here.
const NORMAL_CREDIT_MULTIPLE: f64 = 2.0;
/// Weight of the newest sample in the read rate and the queueing delay.
const QUEUEING_DELAY_SMOOTHING: f64 = 0.2;
/// Queueing delay, in delay budgets, above which the cores only read: no run starts until it is below half.
const MAX_QUEUEING_DELAY_BUDGETS: f64 = 3.0;
/// Longest time to report bad health at a stretch, after as long in good health.
const MAX_UNHEALTHY_SECONDS: f64 = 4.0;
/// Share of refusals among finished requests above which callers are asked not to retry.
const RETRY_STORM_REFUSED_SHARE: f64 = 0.4;
/// Open connections for each core above which those of inactive callers are closed.
const MAX_CONNECTIONS_PER_CORE: f64 = 20.0;
/// How long the overload credit applies after the queue exceeded its limit.
const OVERLOAD_CREDIT_SECONDS: f64 = 0.4;
/// Weight of the newest sample in the statistics of a class.
const CLASS_SMOOTHING: f64 = 0.08;
/// Share of the expected time that must be left before the target for a start: times vary, and half of them
/// are below the mean.
const START_MARGIN: f64 = 0.7;
/// Core use above which the cores count as full.
const FULL_CORE_USE: f64 = 0.93;
/// Share of the concurrency that the cores survive that is used at most.
const CONCURRENCY_MARGIN: f64 = 0.8;
/// Share of the memory that is used at most.
const MEMORY_MARGIN: f64 = 0.95;
/// Requests parked at calls, for each core, at most.
const MAX_PARKED_PER_CORE: f64 = 3.0;
/// Share of the fair calls that may be in flight at any moment.
const MAX_CALLS_SHARE: f64 = 0.95;
/// The same for the mean over time: a dependency slows down long before it fails.
const MEAN_CALLS_SHARE: f64 = 0.45;
/// Share of the averaging period for which unused calls at the mean may be saved up for a burst.
const CALLS_BURST_SHARE: f64 = 0.25;
/// Share of the fair calls that may be in flight while calls are slow.
const SLOW_CALLS_SHARE: f64 = 0.4;
/// Multiple of the shortest mean call time seen here above which calls are slow.
const SLOW_CALL_MULTIPLE: f64 = 2.5;
/// Multiple of the mean call time after which a call counts as lost. Single calls vary less; if all calls
/// become longer, the mean follows.
const CALL_TIMEOUT_MULTIPLE: f64 = 20.0;
/// Shortest call timeout: some ticks and the round trip.
const MIN_CALL_TIMEOUT_SECONDS: f64 = 0.05;
/// Multiple of the mean that a timed-out call counts for at most: the mean rises only if many time out.
const TIMEOUT_CAP: f64 = 2.0;
/// Lost calls that are made again for one request.
const MAX_CALL_RETRIES: u32 = 2;
/// Answers are given this long before they are due or lose their worth: some ticks and the way back.
const ANSWER_MARGIN_SECONDS: f64 = 0.02;
/// Time constant of the decay of tenant rates: some tens of requests of each.
const TENANT_RATE_DECAY_SECONDS: f64 = 5.0;
/// Wakes are requested no sooner than twice this; it is shorter than any tick.
const WAKE_TOLERANCE_SECONDS: f64 = 0.0005;
/// Time before the end of the grace period at which callers are asked to send nothing more. What they send
/// until then is run, which reduces the load on the other servers.
const GRACE_NOTICE_SECONDS: f64 = 0.5;
/// Everything is answered this long before the process is stopped.
const STOP_MARGIN_SECONDS: f64 = 0.06;

/// The queue of one class and tenant, at full worth or at late worth.
#[derive(Serialize, Deserialize)]
struct Lane {
    class: usize,
    tenant: Option<usize>,
    worth: f64,
}

/// Statistics of a class: means of the time on a core, of the time parked at calls, and of the cost hints.
#[derive(Clone, Default, Serialize, Deserialize)]
struct ClassStats {
    core_time: Option<f64>,
    parked_time: Option<f64>,
    cost_hint: Option<f64>,
}

#[derive(Serialize, Deserialize)]
struct Shutdown {
    grace_until: f64,
    stop_at: f64,
}

/// Counters of the current interval, and values smoothed over earlier ones.
#[derive(Default, Serialize, Deserialize)]
struct Meter {
    interval_start: f64,
    interval_end: f64,
    completed: f64,
    /// The service rate, mu, and the number of intervals that it was learned from.
    rate: f64,
    rate_intervals: f64,
    /// Whether requests were queued in this interval.
    busy: bool,
    reads: f64,
    read_rate: f64,
    queueing_delay: f64,
    delay_high: bool,
    /// Share of requests whose caller was active and so knows the advertised value.
    active_share: f64,
    /// Share of refusals among the requests that were refused or ended well.
    refused_share: f64,
    /// Whether the server reports bad health.
    unhealthy: bool,
    /// How long it may report bad health.
    allowance: f64,
    overload_credit_until: f64,
    gauges: Gauges,
}

/// The load that this server puts on a shared dependency.
#[derive(Default, Serialize, Deserialize)]
struct CallLoad {
    /// Call-seconds above the allowed mean; below 0, what may still be used at once.
    excess: f64,
    updated_at: f64,
    /// The smoothed call time, and the least value that it has had.
    mean_time: Option<f64>,
    minimum: f64,
    /// Ends of abandoned calls that still run at the dependency.
    abandoned: VecDeque<f64>,
}

/// The decisions of one server. The crate documentation shows how to drive it.
#[derive(Serialize, Deserialize)]
pub struct Controller {
    settings: Settings,
    now: f64,
    started_at: Option<f64>,
    state: ServerState,
    lanes: Vec<Lane>,
    class_stats: Vec<ClassStats>,
    /// Requests a second of each tenant at this server, without marked retries.
    tenant_rates: Vec<f64>,
    new_arrivals: Vec<RequestId>,
    /// Lanes by descending value, ranked once a step.
    lane_order: Vec<usize>,
    meter: Meter,
    calls: CallLoad,
    run_limit: f64,
    advertised: f64,
    shutdown: Option<Shutdown>,
    wake_at: f64,
}

/// The lanes of all classes and tenants, in the order of [`Controller::lane_of`].
fn lanes(settings: &Settings) -> Vec<Lane> {
    let mut lanes = Vec::new();
    for (class, c) in settings.classes.iter().enumerate() {
        for tenant in (0..settings.tenants.len()).map(Some).chain([None]) {
            lanes.extend([c.worth, c.worth * c.late_worth].map(|worth| Lane { class, tenant, worth }));
        }
    }
    lanes
}

fn smooth(mean: &mut Option<f64>, sample: f64) {
    *mean = Some(mean.map_or(sample, |m| m + CLASS_SMOOTHING * (sample - m)));
}

impl Controller {
    /// Creates the controller of one server.
    ///
    /// # Errors
    /// The settings are invalid; the error names the field.
    pub fn new(settings: Settings) -> Result<Controller, SettingsError> {
        settings.check()?;
        let lanes = lanes(&settings);
        let mut state = ServerState::default();
        state.lanes.resize_with(lanes.len(), Default::default);
        state.awaiting_call.resize_with(lanes.len(), Default::default);
        Ok(Controller {
            state,
            lanes,
            tenant_rates: vec![0.0; settings.tenants.len()],
            class_stats: vec![ClassStats::default(); settings.classes.len()],
            run_limit: f64::from(settings.cores),
            settings,
            now: 0.0,
            started_at: None,
            new_arrivals: Vec::new(),
            lane_order: Vec::new(),
            meter: Meter::default(),
            calls: CallLoad::default(),
            advertised: 0.0,
            shutdown: None,
            wake_at: f64::INFINITY,
        })
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Handles all events up to `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Seconds, events: &[Event], out: &mut Vec<Action>) {
        self.begin_step(now, out);
        for (i, event) in events.iter().enumerate() {
            match event {
                Event::Arrived(request) => self.on_arrival(request, &events[i + 1..], out),
                Event::Ended { id, outcome } => self.on_ended(*id, *outcome, out),
                Event::CallWanted { id } => self.set_stage(*id, Stage::AwaitsCall),
                Event::CallEnded { id, outcome, took } => self.on_call_ended(*id, *outcome, *took, out),
                Event::Withdrawn { id } => self.on_withdrawn(*id, out),
                Event::Leave { within } => self.on_leave(*within, out),
                Event::Woke { gauges, .. } => self.meter.gauges = *gauges,
                Event::Settings(new) => self.apply_settings(new),
            }
        }
        self.expire_late_calls();
        self.answer_due(out);
        self.rank();
        self.measure(out);
        self.shed_late_queued(out);
        self.make_calls(out);
        self.start_runs(out);
        self.refuse_over_credit(out);
        self.shed_late_arrivals(out);
        self.pause_excess_runs(out);
        self.new_arrivals.clear();
        self.advertise_credit(out);
        self.schedule_wake(out);
    }

    /// Reports good health in the first step; updates the clock and the call load in every step.
    fn begin_step(&mut self, now: f64, out: &mut Vec<Action>) {
        self.now = now;
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.meter.interval_start = now;
            self.meter.interval_end = now + MEASURE_SECONDS;
            self.calls.updated_at = now;
            out.push(Action::Health { good: true, stored: true });
        }
        // The clock may be coarser than the sum of delays: a wake within the tolerance is due.
        if self.wake_at <= now + WAKE_TOLERANCE_SECONDS {
            self.wake_at = f64::INFINITY;
        }
        while self.calls.abandoned.front().is_some_and(|until| *until <= now) {
            self.calls.abandoned.pop_front();
        }
        if let DependencyModel::Shared { fair_calls, over } = self.settings.below {
            let level = fair_calls * MEAN_CALLS_SHARE;
            let excess = self.calls.excess + (self.calls_in_flight() - level) * (now - self.calls.updated_at);
            self.calls.excess = excess.max(-level * CALLS_BURST_SHARE * over);
        }
        self.calls.updated_at = now;
        self.state.keys.expire(now);
        self.state.callers.expire(now - CALLER_EXPIRY_SECONDS);
    }

    fn count(&self, stage: Stage) -> f64 {
        self.state.count(stage)
    }

    /// N_sess: requests in the queue that are not started.
    fn queued_requests(&self) -> f64 {
        self.count(Stage::Queued)
    }

    fn set_stage(&mut self, id: RequestId, stage: Stage) {
        self.state.set_stage(id, stage, self.now);
    }

    fn calls_in_flight(&self) -> f64 {
        self.count(Stage::InCall) + self.calls.abandoned.len() as f64
    }

    fn memory_left(&self) -> f64 {
        let keys = self.state.keys.len() as f64 * self.settings.key_kb;
        let requests = self.state.queued_kb + self.state.started_kb * self.settings.run_factor;
        self.settings.memory_kb * MEMORY_MARGIN - requests - keys
    }

    fn on_arrival(&mut self, r: &Request, later: &[Event], out: &mut Vec<Action>) {
        if self.state.requests.contains_key(&r.id) || r.class >= self.settings.classes.len() {
            return;
        }
        let class = &self.settings.classes[r.class];
        let arrived = self.now - r.waited;
        let stretch = class.aim_stretch * self.expected_core_time(r.class, r.cost_hint);
        let deadline = r.time_left.map_or(arrived + class.deadline, |left| self.now + left);
        let deadline = deadline.max(self.now + ANSWER_MARGIN_SECONDS) - ANSWER_MARGIN_SECONDS;
        let target_at = (arrived + class.aim + stretch - ANSWER_MARGIN_SECONDS).min(deadline);
        let due_at = if class.late_worth > 0.0 { deadline } else { target_at };
        let keyed = matches!(class.repeat, Repeat::Keyed(_));
        // Repeats matter for keyed requests, and for reads whose answers may be shared.
        let repeats = keyed || (class.repeat == Repeat::Safe && self.settings.fresh_for > 0.0);
        // Requests withdrawn before they are read come in bursts and would look like timely reading.
        if !later.iter().any(|e| matches!(e, Event::Withdrawn { id } if *id == r.id)) {
            self.count_arrival(r);
        }
        self.state.insert(InFlightRequest::new(r.clone(), self.now, target_at, due_at, self.lane_of(r)));
        self.limit_to_stop_time(r.id);
        let late = self.shutdown.as_ref().is_some_and(|l| arrived > l.grace_until - self.settings.tick);
        let repeated = r.repeats.filter(|first| repeats && !arrives_later(later, *first));
        if let Some(first) = repeated.filter(|first| !(late && keyed && self.awaits_first_run(*first))) {
            self.handle_repeat(r.id, first, out);
        } else if late || self.memory_left() < if keyed { self.settings.key_kb } else { 0.0 } {
            // Arrived after the grace period (even as a retry), or no memory: it must not run.
            self.refuse(r.id, self.settings.max_stay_away, false, out);
        } else {
            self.remember_key(r.id, out);
            self.new_arrivals.push(r.id);
        }
    }

    fn count_arrival(&mut self, r: &Request) {
        let active = if self.state.callers.record_request(r.caller, self.now) { 1.0 } else { 0.0 };
        self.meter.active_share += CLASS_SMOOTHING * (active - self.meter.active_share);
        self.meter.reads += 1.0;
        self.meter.queueing_delay += QUEUEING_DELAY_SMOOTHING * (r.waited - self.meter.queueing_delay);
        if let Some(rate) = r.tenant.and_then(|t| self.tenant_rates.get_mut(t)).filter(|_| !r.retry) {
            *rate += 1.0 / TENANT_RATE_DECAY_SECONDS;
        }
    }

    /// Remembers a keyed request for its window from its arrival, so that repeats are recognized.
    fn remember_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(l) = self.state.requests.get(&id) else { return };
        let Repeat::Keyed(window) = self.settings.classes[l.request.class].repeat else { return };
        let until = l.arrived + window + ANSWER_MARGIN_SECONDS;
        out.push(Action::Keep { id, lasting: (until - self.now).max(0.0) });
        self.state.keys.insert(id, until);
    }

    fn awaits_first_run(&self, id: RequestId) -> bool {
        self.state.requests.get(&id).is_some_and(|l| l.stage == Stage::Queued && !l.has_run)
    }

    /// Handles a repeat of a known request. If no try ran and the first is still queued, the new one replaces
    /// it, as the caller most likely gave up on the first. Otherwise it gets the first one's answer.
    fn handle_repeat(&mut self, id: RequestId, first: RequestId, out: &mut Vec<Action>) {
        let keyed =
            matches!(self.settings.classes[self.state.requests[&id].request.class].repeat, Repeat::Keyed(_));
        if self.awaits_first_run(first) && keyed {
            self.remember_key(id, out);
            self.state.keys.forget(first);
            // No retry delay: the newer try of the same request is already here.
            self.refuse(first, 0.0, true, out);
            self.new_arrivals.push(id);
        } else {
            out.push(Action::ServeFrom(id));
            self.set_stage(id, Stage::SharesAnswer);
        }
    }

    // Ends and final answers.

    fn on_ended(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(l) = self.state.requests.get(&id) else { return };
        let (stage, class, stopped) = (l.stage, l.request.class, outcome == Outcome::Stopped && !l.answered);
        if stopped && stage == Stage::Running {
            let again =
                self.settings.halt == StopMode::Pause || self.settings.classes[class].repeat == Repeat::Safe;
            let next = if self.settings.halt == StopMode::Pause { Stage::Paused } else { Stage::Queued };
            self.set_stage(id, next);
            if !again {
                self.fail(id, out);
            }
            return;
        }
        if outcome == Outcome::Done && stage != Stage::SharesAnswer {
            self.record_completion(id);
        }
        if !matches!(outcome, Outcome::Done | Outcome::Failed) && !self.state.requests[&id].answered {
            self.fail(id, out);
        }
        if outcome == Outcome::NotStarted && self.state.keys.forget(id) {
            // Otherwise the key table would fill with requests that never ran.
            out.push(Action::Forget(id));
        }
        self.state.remove(id);
    }

    /// Counts only successful requests: fast failures must not raise the service rate.
    fn record_completion(&mut self, id: RequestId) {
        let l = &self.state.requests[&id];
        let on_core = l.core_time + if l.stage == Stage::Running { self.now - l.stage_since } else { 0.0 };
        let parked = l.parked_time + if l.stage == Stage::InCall { self.now - l.stage_since } else { 0.0 };
        let stats = &mut self.class_stats[l.request.class];
        smooth(&mut stats.core_time, on_core);
        smooth(&mut stats.parked_time, parked);
        if let Some(hint) = l.request.cost_hint {
            smooth(&mut stats.cost_hint, hint);
        }
        self.meter.completed += 1.0;
        self.meter.refused_share -= CLASS_SMOOTHING * self.meter.refused_share;
    }

    fn on_withdrawn(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(l) = self.state.requests.get(&id) else { return };
        let (stage, repeat) = (l.stage, self.settings.classes[l.request.class].repeat);
        self.state.mark_answered(id);
        match stage {
            Stage::Queued | Stage::Paused | Stage::SharesAnswer => self.state.remove(id),
            // A keyed run may still answer a repeat; any other has no use left.
            Stage::Running if !matches!(repeat, Repeat::Keyed(_)) => self.stop(id, out),
            _ => {}
        }
    }

    fn stop(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.settings.halt == StopMode::Never {
            return;
        }
        if let Some(l) = self.state.requests.get_mut(&id).filter(|l| l.stage == Stage::Running && !l.stopping)
        {
            l.stopping = true;
            out.push(Action::Stop(id));
        }
    }

    /// Gives the final refusal of a request that never ran or is safe to run again.
    fn refuse(&mut self, id: RequestId, stay_away: f64, last: bool, out: &mut Vec<Action>) {
        let keyed = self.state.keys.is_unused(id);
        out.push(Action::Refuse { id, stay_away, last });
        if keyed {
            out.push(Action::Forget(id));
        }
        self.after_answer(id, out);
    }

    /// Gives the final failure, which does not rule out that the request had its effect.
    fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        out.push(Action::Fail(id));
        if self.state.keys.is_unused(id) {
            out.push(Action::Forget(id));
        }
        self.after_answer(id, out);
    }

    fn after_answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.state.mark_answered(id);
        match self.state.requests.get(&id).map(|l| l.stage) {
            Some(Stage::Queued | Stage::Paused | Stage::SharesAnswer) => self.state.remove(id),
            Some(Stage::Running) => self.stop(id, out),
            _ => {}
        }
    }

    /// Answers every request that is due or has lost its worth, at whatever stage.
    fn answer_due(&mut self, out: &mut Vec<Action>) {
        let now = to_micros(self.now);
        while let Some((_, id)) = self.state.due.first().copied().filter(|(at, _)| *at <= now) {
            let l = &self.state.requests[&id];
            let safe = self.settings.classes[l.request.class].repeat == Repeat::Safe;
            if (l.has_run && !safe) || l.stage == Stage::SharesAnswer {
                self.fail(id, out);
            } else {
                self.refuse(id, self.retry_after(), true, out);
            }
        }
    }

    // Measurement.

    /// Updates the measurements and the run limit once per interval. The service rate is learned from
    /// intervals that had a queue or beat it.
    fn measure(&mut self, out: &mut Vec<Action>) {
        self.meter.busy |= self.queued_requests() >= 1.0;
        let length = self.now - self.meter.interval_start;
        if self.now < self.meter.interval_end {
            return;
        }
        let rate = self.meter.completed / length.max(MEASURE_SECONDS);
        if length < 3.0 * MEASURE_SECONDS && (self.meter.busy || rate > self.meter.rate) {
            self.meter.rate_intervals += 1.0;
            let newest = RATE_SMOOTHING.max(1.0 / self.meter.rate_intervals);
            self.meter.rate += newest * (rate - self.meter.rate);
        }
        self.meter.read_rate += QUEUEING_DELAY_SMOOTHING
            * (self.meter.reads / length.max(MEASURE_SECONDS) - self.meter.read_rate);
        let decay = if self.meter.reads == 0.0 { QUEUEING_DELAY_SMOOTHING } else { 0.0 };
        self.meter.queueing_delay -= decay * self.meter.queueing_delay;
        self.meter.reads = 0.0;
        let bound =
            DELAY_BUDGET_SECONDS * MAX_QUEUEING_DELAY_BUDGETS * if self.meter.delay_high { 0.5 } else { 1.0 };
        self.meter.delay_high = self.meter.queueing_delay > bound;
        self.update_health(length, out);
        self.close_idle(out);
        self.tenant_rates.iter_mut().for_each(|rate| *rate *= (-length / TENANT_RATE_DECAY_SECONDS).exp());
        self.adjust_run_limit();
        self.meter.completed = 0.0;
        self.meter.busy = false;
        self.meter.interval_start = self.now;
        self.meter.interval_end = self.now + MEASURE_SECONDS;
    }

    /// Updates the health answer. Where most callers come too rarely to learn the advertised value and their
    /// fair credit is below 1, the balancer's list still reaches all: a server with a high queueing delay
    /// leaves it until it has caught up. Its refusals say nothing of others: a server that is slow alone
    /// refuses most. In case all are late, it stays out no longer than it was listed before.
    fn update_health(&mut self, length: f64, out: &mut Vec<Action>) {
        let m = &mut self.meter;
        m.allowance = (m.allowance + if m.unhealthy { -length } else { length }).min(MAX_UNHEALTHY_SECONDS);
        let unhealthy = if m.unhealthy {
            m.allowance > 0.0 && m.queueing_delay > DELAY_BUDGET_SECONDS / 2.0
        } else {
            m.allowance >= MAX_UNHEALTHY_SECONDS / 2.0
                && m.active_share < 0.5
                && m.queueing_delay > DELAY_BUDGET_SECONDS
        };
        if unhealthy != m.unhealthy && self.shutdown.is_none() {
            m.unhealthy = unhealthy;
            out.push(Action::Health { good: !unhealthy, stored: true });
            let health = if unhealthy { "withdrawn" } else { "good again" };
            out.push(Action::Note(format!(
                "health {health}, requests lie unread for {:.1} s",
                m.queueing_delay
            )));
        }
    }

    /// Closes connections of inactive callers, which use core time and can fill the connection table, so that
    /// others cannot connect. They come from infrequent callers and those that left without closing. It would
    /// harm where a new connection costs more than its requests.
    fn close_idle(&self, out: &mut Vec<Action>) {
        let open = self.meter.gauges.connections.unwrap_or(0.0);
        if open > MAX_CONNECTIONS_PER_CORE * f64::from(self.settings.cores) {
            out.push(Action::CloseIdle(CALLER_EXPIRY_SECONDS.min(self.settings.idle)));
        }
    }

    /// N_max = service rate x delay budget; at least one request for each core until the rate is known.
    fn queue_limit(&self) -> f64 {
        let known = self.meter.rate > 0.0 && self.meter.rate_intervals * RATE_SMOOTHING >= 1.0;
        (self.meter.rate * DELAY_BUDGET_SECONDS).max(if known { 1.0 } else { f64::from(self.settings.cores) })
    }

    fn overloaded(&self) -> bool {
        self.queued_requests() > self.queue_limit()
    }

    /// Requests that wait to be read, by Little's law, less one that each core reads. The paper's backlog
    /// (equation 1) includes them, so they count as queued for the credit; not for refusals, which would come
    /// after the work of reading and leave cores idle.
    fn read_backlog(&self) -> f64 {
        (self.meter.read_rate * self.meter.queueing_delay - f64::from(self.settings.cores)).max(0.0)
    }

    /// Raises the run limit while cores idle and requests are queued; lowers it while cores are contended.
    fn adjust_run_limit(&mut self) {
        let cores = f64::from(self.settings.cores);
        let demand = self.meter.gauges.on_cores.unwrap_or(self.count(Stage::Running));
        let full = self.meter.gauges.core_use.unwrap_or(1.0) > FULL_CORE_USE;
        if demand < cores && !full && self.meter.busy && self.count(Stage::Running) >= self.run_limit - 1.0 {
            self.run_limit += 1.0;
        } else if (demand > cores && full) || !self.meter.busy {
            self.run_limit -= 0.5;
        }
        self.run_limit = self.run_limit.clamp(cores, self.max_concurrency().max(cores));
    }

    /// The concurrency that the cores sustain, lower while the server is cold. Rounded down: a run above a
    /// fractional limit would be paused and resumed repeatedly.
    fn max_concurrency(&self) -> f64 {
        let age = self.now - self.started_at.unwrap_or(self.now);
        let warm = !self.settings.cold || age >= self.settings.cold_for;
        let cold = self.settings.cold_from;
        let speed = if warm { 1.0 } else { cold + (1.0 - cold) * age / self.settings.cold_for };
        let multiple = 1.0 + (self.settings.crowd_multiple - 1.0).max(0.0) * speed.min(1.0);
        (f64::from(self.settings.cores) * multiple * CONCURRENCY_MARGIN).floor().max(1.0)
    }

    /// The core time that a request of this class is expected to need; 0 until one was measured.
    fn expected_core_time(&self, class: usize, hint: Option<f64>) -> f64 {
        let stats = &self.class_stats[class];
        let scale = match (hint, stats.cost_hint) {
            (Some(hint), Some(mean)) if mean > 0.0 => hint / mean,
            _ => 1.0,
        };
        stats.core_time.unwrap_or(0.0) * scale
    }

    fn lane_of(&self, r: &Request) -> usize {
        let tenants = self.settings.tenants.len();
        (r.class * (tenants + 1) + r.tenant.unwrap_or(tenants).min(tenants)) * 2
    }

    /// The expected worth of a tenant's request, as a part of its worth within the tenant's share, so that
    /// tenants far over their share wait. This server's rate times the servers estimates the fleet's; the
    /// error is alike for all tenants, except that one that sends to few servers only is underrated.
    fn share_factor(&self, tenant: Option<usize>) -> f64 {
        let Some(t) = tenant else { return 1.0 };
        let fleet = self.tenant_rates[t] * f64::from(self.settings.servers);
        let within = (self.settings.tenants[t].allowance / fleet.max(1e-9)).min(1.0);
        within + (1.0 - within) * self.settings.over_share_worth
    }

    /// Ranks lanes by worth for each unit of work.
    fn rank(&mut self) {
        let known: Vec<f64> = self.class_stats.iter().filter_map(|k| k.core_time).collect();
        // Classes without measurements count as the mean of the others.
        let mean = known.iter().sum::<f64>() / (known.len() as f64).max(1.0);
        let value = |lane: &Lane| {
            let work = match self.settings.worth_by {
                WorthBy::Work => 1.0,
                WorthBy::Request => self.class_stats[lane.class].core_time.unwrap_or(mean).max(1e-3),
            };
            lane.worth * self.share_factor(lane.tenant) / work
        };
        let mut order: Vec<(f64, usize)> = self.lanes.iter().map(value).zip(0..).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        self.lane_order = order.into_iter().map(|(_, lane)| lane).collect();
    }

    /// Whether a run started at `start` is likely to end in time. A mean too long for any start would never
    /// change, as nothing runs: then one is tried while nothing else has started.
    fn in_time(&self, l: &InFlightRequest, start: f64) -> bool {
        let parked = self.class_stats[l.request.class].parked_time.unwrap_or(0.0);
        let needs = self.expected_core_time(l.request.class, l.request.cost_hint) + parked;
        let end = if l.lane.is_multiple_of(2) { l.target_at } else { l.due_at };
        let tried = l.arrived + START_MARGIN * needs > end && start < end && self.state.started() == 0.0;
        tried || start + START_MARGIN * needs <= end
    }

    /// The next request to start, from the best lane; demotes those that are too late on the way.
    fn next_start(&mut self, may_park: bool, out: &mut Vec<Action>) -> Option<RequestId> {
        for place in 0..self.lane_order.len() {
            let lane = self.lane_order[place];
            if !may_park && self.settings.classes[self.lanes[lane].class].calls {
                continue;
            }
            while let Some((_, id)) = self.state.lanes[lane].first().copied() {
                let l = &self.state.requests[&id];
                if self.in_time(l, self.now) {
                    return Some(id);
                }
                self.demote(id, out);
            }
        }
        None
    }

    /// Moves a request that is too late for its target to the late lane, or gives its final answer.
    fn demote(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let l = &self.state.requests[&id];
        if l.lane.is_multiple_of(2) && l.due_at > l.target_at {
            let lane = l.lane + 1;
            self.state.change_lane(id, lane);
        } else if l.has_run {
            self.fail(id, out);
        } else {
            self.shed(id, out);
        }
    }

    fn start_runs(&mut self, out: &mut Vec<Action>) {
        if self.meter.delay_high {
            return;
        }
        let parked_bound = match self.settings.below {
            DependencyModel::Several { parked } => parked,
            _ => f64::from(self.settings.cores) * MAX_PARKED_PER_CORE,
        };
        let run_limit = self.run_limit.min(self.max_concurrency());
        while self.count(Stage::Running) < run_limit {
            if let Some((_, id)) = self.state.paused.first().copied() {
                self.start(id, out);
                continue;
            }
            let parked = self.count(Stage::AwaitsCall) + self.count(Stage::InCall);
            // Runs that cannot be paused return to the cores when their calls end.
            let returning = if self.settings.halt == StopMode::Pause { 0.0 } else { parked };
            if self.count(Stage::Running) + returning >= self.max_concurrency().max(1.0) {
                break;
            }
            let Some(id) = self.next_start(parked < parked_bound, out) else { break };
            let kb = self.state.requests[&id].request.held_kb;
            if self.memory_left() < kb * (self.settings.run_factor - 1.0) {
                break;
            }
            self.start(id, out);
        }
    }

    fn start(&mut self, id: RequestId, out: &mut Vec<Action>) {
        out.push(Action::Run(id));
        self.set_stage(id, Stage::Running);
        if let Some(l) = self.state.requests.get_mut(&id) {
            l.has_run = true;
        }
        self.state.keys.mark_ran(id);
    }

    /// Runs resume on the cores when their calls end: above the limit, those due last are paused.
    fn pause_excess_runs(&mut self, out: &mut Vec<Action>) {
        let excess = self.count(Stage::Running) - self.max_concurrency();
        if excess <= 0.0 || self.settings.halt != StopMode::Pause {
            return;
        }
        let last = self.state.running.iter().rev().map(|(_, id)| *id).take(excess.ceil() as usize);
        for id in last.collect::<Vec<_>>() {
            self.stop(id, out);
        }
    }

    // Refusals.

    /// Refuses requests over credit, as in the paper: while the queue is over its limit, each new arrival of
    /// a caller over its credit causes one refusal, of the queued request of least worth among such callers
    /// (mostly the new one). This matters only where classes differ in worth for their work.
    fn refuse_over_credit(&mut self, out: &mut Vec<Action>) {
        for i in 0..self.new_arrivals.len() {
            if !self.overloaded() {
                return;
            }
            let Some(l) = self.state.requests.get(&self.new_arrivals[i]).filter(|l| l.stage == Stage::Queued)
            else {
                continue;
            };
            if !self.over_credit(l) {
                continue;
            }
            let waiting = self.lane_order.iter().rev().flat_map(|lane| self.state.lanes[*lane].iter().rev());
            let least = waiting.map(|(_, id)| *id).find(|id| self.over_credit(&self.state.requests[id]));
            if let Some(id) = least.filter(|id| !self.state.requests[id].has_run) {
                self.shed(id, out);
            }
        }
    }

    /// Whether far more is requested than served, so that a retry storm is likely.
    fn retry_storm(&self) -> bool {
        self.meter.delay_high || self.meter.refused_share > RETRY_STORM_REFUSED_SHARE
    }

    /// Refuses a request because of overload. A marked retry was refused elsewhere too, and where much is
    /// refused here, others most likely refuse too: such callers are asked not to retry. Retry storms would
    /// use up the cores for reading and outlast their cause. It costs answers if only a few servers are late.
    fn shed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.meter.refused_share += CLASS_SMOOTHING * (1.0 - self.meter.refused_share);
        let last = self.retry_storm() || self.state.requests.get(&id).is_some_and(|l| l.request.retry);
        self.refuse(id, self.retry_after(), last, out);
    }

    /// The retry delay: until the queue over its limit is worked off, and at least the delay budget. A
    /// shorter one brings retries into the same overload; one that outlasts it wastes capacity.
    fn retry_after(&self) -> f64 {
        let beyond = self.queued_requests() + self.read_backlog() - self.queue_limit();
        let after = if self.shutdown.is_some() { f64::INFINITY } else { beyond / self.meter.rate.max(1e-9) };
        after.max(DELAY_BUDGET_SECONDS).min(self.settings.max_stay_away)
    }

    /// Gives up queued requests that can no longer end in time, in every lane. In lanes that never reach the
    /// cores they would wait until due, while another server could still serve their callers.
    fn shed_late_queued(&mut self, out: &mut Vec<Action>) {
        for lane in 0..self.lanes.len() {
            let queue = self.state.lanes[lane].iter().map(|(_, id)| *id);
            let late: Vec<_> = queue.filter(|id| !self.in_time(&self.state.requests[id], self.now)).collect();
            for id in late {
                self.demote(id, out);
            }
        }
    }

    fn over_credit(&self, l: &InFlightRequest) -> bool {
        self.meter.delay_high || self.state.callers.in_flight(l.request.caller) > self.credit()
    }

    /// Refuses new arrivals that the queue ahead keeps from their target, while others can still serve them.
    fn shed_late_arrivals(&mut self, out: &mut Vec<Action>) {
        if self.new_arrivals.is_empty() || !self.overloaded() {
            return;
        }
        for i in 0..self.new_arrivals.len() {
            let id = self.new_arrivals[i];
            let Some(l) = self.state.requests.get(&id).filter(|l| l.stage == Stage::Queued) else {
                continue;
            };
            let mut ahead = 0.0;
            for &lane in &self.lane_order {
                ahead += self.state.lanes[lane].len() as f64
                    * self.expected_core_time(self.lanes[lane].class, None);
                if lane == l.lane {
                    break;
                }
            }
            if !self.in_time(l, self.now + ahead / self.run_limit) {
                self.shed(id, out);
            }
        }
    }

    /// The requests that each caller may have here: generous normally, what ends in time shared in overload.
    fn credit(&self) -> f64 {
        if self.now >= self.meter.overload_credit_until {
            return self.normal_credit();
        }
        let share = (self.state.started() + self.queue_limit()) / self.state.callers.active().max(1.0);
        share.min(self.normal_credit()).max(1.0)
    }

    fn normal_credit(&self) -> f64 {
        (NORMAL_CREDIT_MULTIPLE * self.state.callers.max_in_flight()).max(self.run_limit)
    }

    fn advertise_credit(&mut self, out: &mut Vec<Action>) {
        if self.queued_requests() + self.read_backlog() > self.queue_limit() {
            self.meter.overload_credit_until = self.now + OVERLOAD_CREDIT_SECONDS;
        }
        let (credit, normal) = (self.credit(), self.normal_credit());
        let closed = self.shutdown.as_ref().is_some_and(|l| self.now >= l.grace_until - GRACE_NOTICE_SECONDS);
        let open = if closed { 0.0 } else { credit / normal };
        let value = match self.settings.say {
            CallerFeedback::Nothing => return,
            CallerFeedback::Credit => open * normal,
            CallerFeedback::Level => 1.0 - open,
            CallerFeedback::Weight => open,
        };
        if value != self.advertised {
            self.advertised = value;
            out.push(Action::Say(value));
        }
    }

    /// Whether one more call stays within this server's share of the dependency's capacity. The mean is kept
    /// far below it, since more calls in flight only slow each other; calls above it wait. This also limits
    /// calls that all become slow and, as a rejected call counts as one, retry storms of calls. It would harm
    /// where one call is most of the mean.
    fn may_call(&self) -> bool {
        match self.settings.below {
            DependencyModel::Shared { fair_calls, .. } => {
                let in_flight = self.calls_in_flight();
                let most = fair_calls * if self.calls_slow() { SLOW_CALLS_SHARE } else { MAX_CALLS_SHARE };
                self.calls.excess <= 0.0 && (in_flight == 0.0 || in_flight + 1.0 <= most)
            }
            _ => true,
        }
    }

    /// The longest call that keeps the mean within a share of less than one call at a time, after any burst.
    fn max_call_time(&self) -> f64 {
        match self.settings.below {
            DependencyModel::Shared { fair_calls, over } if fair_calls * MAX_CALLS_SHARE < 1.0 => {
                fair_calls * (MAX_CALLS_SHARE - MEAN_CALLS_SHARE * (1.0 + CALLS_BURST_SHARE)) * over
                    - self.settings.linger
            }
            _ => f64::INFINITY,
        }
    }

    /// The call timeout. Replies that never come would otherwise block other calls.
    fn call_timeout(&self) -> f64 {
        let usual = self.calls.mean_time.map_or(f64::INFINITY, |took| took * CALL_TIMEOUT_MULTIPLE);
        usual.max(MIN_CALL_TIMEOUT_SECONDS).min(self.max_call_time())
    }

    /// Whether calls take far longer than they once did.
    fn calls_slow(&self) -> bool {
        self.calls.mean_time.is_some_and(|took| took > SLOW_CALL_MULTIPLE * self.calls.minimum)
    }

    /// The next call to make: from the lane of highest value, the one due first.
    fn next_call(&self) -> Option<RequestId> {
        self.lane_order.iter().find_map(|lane| self.state.awaiting_call[*lane].first().map(|(_, id)| *id))
    }

    /// Gives up requests that wait for a call with less time left than calls take: their calls would start
    /// just before they become useless, and keep running. Calls that differ much in length would suffer, so
    /// requests that can skip their call are exempt.
    fn expire_late_calls(&mut self) {
        let soonest = to_micros(self.now + self.calls.mean_time.unwrap_or(0.0));
        let skips = |id| self.settings.classes[self.state.requests[id].request.class].skip_worth > 0.0;
        let wanted = self.state.awaiting_call.iter().flatten();
        // With a mean so high that no call is made, it would never change: with none in flight, the request
        // with the most time left is kept.
        let kept = wanted.clone().max().filter(|_| self.count(Stage::InCall) == 0.0);
        let late = wanted.filter(|w| w.0 < soonest && Some(*w) != kept && !skips(&w.1));
        for (_, id) in late.copied().collect::<Vec<_>>() {
            self.state.shorten_deadline(id, self.now);
        }
    }

    fn make_calls(&mut self, out: &mut Vec<Action>) {
        while self.may_call() {
            let Some(id) = self.next_call() else { break };
            self.set_stage(id, Stage::InCall);
            let l = &self.state.requests[&id];
            let give_up_after = (l.due_at - self.now).min(self.call_timeout()).max(ANSWER_MARGIN_SECONDS);
            out.push(Action::Call { id, give_up_after });
        }
        if self.may_call() {
            return;
        }
        // No call can start for now: requests that may skip theirs and still have worth continue without.
        let may_skip = |id: &RequestId| {
            let l = &self.state.requests[id];
            self.settings.classes[l.request.class].skip_worth > 0.0
                && !(self.now < l.stage_since + DELAY_BUDGET_SECONDS
                    && self.in_time(l, self.now + DELAY_BUDGET_SECONDS))
        };
        let wanted = self.state.awaiting_call.iter().flatten().map(|(_, id)| *id);
        let skips: Vec<RequestId> = wanted.filter(may_skip).collect();
        for id in skips {
            out.push(Action::SkipCall(id));
            self.set_stage(id, Stage::Running);
        }
    }

    fn on_call_ended(&mut self, id: RequestId, outcome: Outcome, took: f64, out: &mut Vec<Action>) {
        let Some(l) = self.state.requests.get(&id).filter(|l| l.stage == Stage::InCall) else {
            return;
        };
        let class = &self.settings.classes[l.request.class];
        // Several dependencies are measured where the calls are made; a mean over all means nothing.
        let several = matches!(self.settings.below, DependencyModel::Several { .. });
        if outcome.never_ran() {
            self.calls.excess += MEASURE_SECONDS;
        } else if !several {
            // A call given up would have taken longer by an unknown time, even if it was given up early.
            let mean = self.calls.mean_time.unwrap_or(took);
            let took = if outcome == Outcome::GivenUp { took.clamp(mean, TIMEOUT_CAP * mean) } else { took };
            smooth(&mut self.calls.mean_time, took);
            let mean = self.calls.mean_time.unwrap_or(took);
            self.calls.minimum = if self.calls.minimum == 0.0 { mean } else { self.calls.minimum.min(mean) };
        }
        if outcome == Outcome::GivenUp {
            self.calls.abandoned.push_back(self.now + self.settings.linger);
        }
        // A lost reply says nothing about the dependency, so the call is made again while it can earn full
        // worth, unless calls are slow: then too many calls may be the cause.
        let lost = outcome == Outcome::Broken && !self.calls_slow() && !several;
        let again = lost && class.repeat == Repeat::Safe && !l.answered && l.lost_calls < MAX_CALL_RETRIES;
        if outcome == Outcome::Done {
            self.set_stage(id, Stage::Running);
        } else if again && self.in_time(l, self.now) {
            self.set_stage(id, Stage::AwaitsCall);
            if let Some(l) = self.state.requests.get_mut(&id) {
                l.lost_calls += 1;
            }
        } else if class.skip_worth > 0.0 && !l.answered {
            out.push(Action::SkipCall(id));
            self.set_stage(id, Stage::Running);
        } else if !several && (outcome.never_ran() || class.repeat == Repeat::Safe) {
            self.set_stage(id, Stage::AwaitsCall);
        } else {
            self.set_stage(id, Stage::AwaitsCall);
            self.fail(id, out);
        }
    }

    // Shutdown.

    fn on_leave(&mut self, within: f64, out: &mut Vec<Action>) {
        if self.shutdown.is_none() {
            let count = self.state.requests.len();
            out.push(Action::Note(format!("leaving within {within:.1} s with {count} in hand")));
        }
        let stop_at = self.now + within;
        let grace_until =
            self.shutdown.as_ref().map_or(self.now + self.settings.drain_grace, |l| l.grace_until);
        self.shutdown = Some(Shutdown { grace_until, stop_at });
        out.push(Action::Health { good: false, stored: true });
        let all: Vec<RequestId> = self.state.requests.keys().copied().collect();
        for id in all {
            self.limit_to_stop_time(id);
        }
    }

    /// Ensures that a request is answered before the process is stopped.
    fn limit_to_stop_time(&mut self, id: RequestId) {
        if let Some(shutdown) = &self.shutdown {
            self.state.shorten_deadline(id, shutdown.stop_at - STOP_MARGIN_SECONDS);
        }
    }

    /// Requests a wake at the next due time, and once per interval while there is something to measure.
    fn schedule_wake(&mut self, out: &mut Vec<Action>) {
        // A server out of the balancer's list gets no requests: only its own wakes bring it back.
        let idle = self.state.requests.is_empty() && !self.meter.unhealthy;
        let tick = if idle { f64::INFINITY } else { self.meter.interval_end };
        let due = self.state.due.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1e6);
        let call = match self.settings.below {
            DependencyModel::Shared { fair_calls, .. }
                if self.calls.excess > 0.0 && self.next_call().is_some() =>
            {
                self.now + self.calls.excess / (fair_calls * MEAN_CALLS_SHARE)
            }
            _ => f64::INFINITY,
        };
        let at = tick.min(due).min(call).max(self.now + 2.0 * WAKE_TOLERANCE_SECONDS);
        if at < self.wake_at {
            self.wake_at = at;
            out.push(Action::Wake { after: at - self.now, token: 0 });
        }
    }
}

fn arrives_later(events: &[Event], id: RequestId) -> bool {
    events.iter().any(|e| matches!(e, Event::Arrived(r) if r.id == id))
}
