//! Every decision of jaspershunt. The words it uses (settings, events, actions) are in `src/api.rs`;
//! the bookkeeping of what it remembers, which decides nothing, is in `src/state.rs`.
//!
//! The ordinary path is win-cont of "Application Layer Feedback-based SIP Server Overload Control", section
//! 3.4: learn the service rate, bound what waits by rate x delay budget, tell callers what they may have
//! here, and refuse those beyond it while too much waits. What the paper leaves open, and the guards, are
//! marked "ours".

use crate::api::*;
use crate::state::{Ledger, Live, Stage, micros};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

mod adopt;
mod figures;
pub use figures::Figures;

/// s; T_m, over which finished requests are counted. The design page's, after the paper's 100 ms.
const MEASURE_EVERY: f64 = 0.1;
/// s; D_B, the budget of delay in the hold. The paper's: 200 ms, with full goodput up to 400 ms (section
/// 5.3); the longer, since aims here are seconds, and more that waits is more to choose from.
const DELAY_BUDGET: f64 = 0.4;
/// Share of the newest interval in the smoothed rate. Ours: about a second's memory. The first intervals make
/// a plain mean: a rate smoothed up from 0 would keep callers from a server that has room.
const RATE_SMOOTHING: f64 = 0.1;
/// s; a caller counts as active for this long after its last request. The paper's (section 3.2).
const CALLER_EXPIRY: f64 = 1.0;
/// The calm credit, as a multiple of the most any caller has here. The design page's.
const CALM_CREDIT: f64 = 2.0;
/// Share of the newest reading in the rate of reading and the time spent unread. Ours.
const UNREAD_SMOOTHING: f64 = 0.2;
/// Delay budgets; unread for longer, requests get the cores for their reading until it is under half. Ours.
const FLOOD_FROM: f64 = 3.0;
/// s; health may be withdrawn for so long at once, after as long in good health. Ours.
const AWAY_FOR: f64 = 4.0;
/// Share of the newest requests that ended; where more of them were refused, tries storm. Ours.
const STORM_REFUSED: f64 = 0.4;
/// Open connections for each core, beyond which those of callers that are no longer active are closed. Ours.
const CONNECTIONS_PER_CORE: f64 = 20.0;
/// s; the credit stays a pressed one for this long after N_sess was over N_max. Ours.
const PRESSED_FOR: f64 = 0.4;
/// Share of the newest sample in what is learned of a class. Ours.
const CLASS_SMOOTHING: f64 = 0.08;
/// Share of the expected time that must be left before the aim for a start to be worth it. Ours: times
/// vary, and half of them are under the mean.
const START_MARGIN: f64 = 0.7;
/// Cores busy beyond this share count as full. Ours.
const CORES_FULL: f64 = 0.93;
/// Share of the crowd that the cores survive, held at every moment and so in the mean too. Ours.
const CROWD_MARGIN: f64 = 0.8;
/// Share of the memory that is used at most. Ours.
const MEMORY_MARGIN: f64 = 0.95;
/// Requests parked at calls, for each core. Ours.
const PARKED_PER_CORE: f64 = 3.0;
/// Share of the fair calls that are in hand at any moment at most. Ours.
const CALLS_MARGIN: f64 = 0.95;
/// The same in the mean over time. Ours: what is below slows down long before it falls over.
const CALLS_LEVEL: f64 = 0.45;
/// Share of the time that calls are averaged over; for so long the level may be saved up. Ours.
const CALLS_SAVED: f64 = 0.25;
/// Share of the fair calls that is in hand at any moment at most while calls are slow. Ours.
const CALLS_SLOW: f64 = 0.4;
/// Times the least that calls took here, beyond which they are slow. Ours.
const CALLS_SLOWED: f64 = 2.5;
/// Times what calls take here in the mean, after which one is taken for lost. Ours:
/// times vary less than that, unless all become longer, and then the mean follows.
const CALL_PATIENCE: f64 = 20.0;
/// s; no call is taken for lost before. Ours: some ticks and the way there and back.
const CALL_LEAST: f64 = 0.05;
/// Times the mean that a call given up counts for at most. Ours: the mean follows if all are, not if a few.
const CALL_OVERDUE: f64 = 2.0;
/// Calls of a request that may be lost and made again. Ours.
const CALLS_LOST: u32 = 2;
/// s; answers are given this long before they fall due or stop earning. Ours: some ticks and the way back.
const ANSWER_AHEAD: f64 = 0.02;
/// s; the memory of the rates of tenants. Ours: some tens of requests of each.
const TENANT_MEMORY: f64 = 5.0;
/// s; wakes are asked for no finer than twice this. Ours: under any tick.
const WAKE_SLACK: f64 = 0.0005;
/// s; so long before the grace ends callers are told to send nothing more. Ours: until then what they send is
/// run, and the others need not take it yet.
const GRACE_AHEAD: f64 = 0.5;
/// s; all is answered this long before the process is stopped. Ours.
const LEAVE_AHEAD: f64 = 0.06;

/// A part of the hold: the requests of a class, at full or at late worth.
#[derive(Serialize, Deserialize)]
struct Lane {
    class: usize,
    tenant: Option<usize>,
    worth: f64,
}

/// What was learned of a class: means of the time on a core, of that parked at calls, and of the hints.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Learned {
    core: Option<f64>,
    parked: Option<f64>,
    hint: Option<f64>,
}

#[derive(Serialize, Deserialize)]
struct Leaving {
    grace_until: f64,
    stop_at: f64,
}

/// What is counted in the present interval, and what was smoothed from earlier ones.
#[derive(Default, Serialize, Deserialize)]
struct Meter {
    from: f64,
    next: f64,
    finished: f64,
    /// The service rate, mu, and the intervals that it was learned from.
    rate: f64,
    counted: f64,
    /// Work waited in this interval.
    busy: bool,
    reads: f64,
    read_rate: f64,
    unread_for: f64,
    flooded: bool,
    /// Share of requests whose caller was active, and so can heed the number.
    told: f64,
    /// Share of refusals among the requests that were refused or ended well.
    refused: f64,
    /// Health is withdrawn.
    away: bool,
    /// How long health may be withdrawn.
    away_left: f64,
    pressed_until: f64,
    gauges: Gauges,
}

/// What this server loads on what lies below.
#[derive(Default, Serialize, Deserialize)]
struct Calls {
    /// Call-seconds made beyond the level; below 0, what may still be made at once.
    owed: f64,
    at: f64,
    /// The smoothed length of calls, and the least that it has been.
    took: Option<f64>,
    least: f64,
    /// Ends of the calls given up that still go on.
    lingering: VecDeque<f64>,
}

/// One server's decisions. See the crate's front page for how to drive it.
#[derive(Serialize, Deserialize)]
pub struct Controller {
    set: Settings,
    now: f64,
    born: Option<f64>,
    ledger: Ledger,
    lanes: Vec<Lane>,
    learned: Vec<Learned>,
    /// Requests a second of each tenant here, but for marked retries.
    tenants: Vec<f64>,
    newcomers: Vec<RequestId>,
    /// The lanes, the best first; ranked once a step.
    order: Vec<usize>,
    meter: Meter,
    calls: Calls,
    limit: f64,
    said: f64,
    leaving: Option<Leaving>,
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
    /// Begins one server's decisions.
    ///
    /// # Errors
    /// Settings that make no sense, with the field that is wrong.
    pub fn new(settings: Settings) -> Result<Controller, SettingsError> {
        settings.check()?;
        let lanes = lanes(&settings);
        let mut ledger = Ledger::default();
        ledger.lanes.resize_with(lanes.len(), Default::default);
        ledger.wanted.resize_with(lanes.len(), Default::default);
        Ok(Controller {
            ledger,
            lanes,
            tenants: vec![0.0; settings.tenants.len()],
            learned: vec![Learned::default(); settings.classes.len()],
            limit: f64::from(settings.cores),
            set: settings,
            now: 0.0,
            born: None,
            newcomers: Vec::new(),
            order: Vec::new(),
            meter: Meter::default(),
            calls: Calls::default(),
            said: 0.0,
            leaving: None,
            wake_at: f64::INFINITY,
        })
    }

    pub(crate) fn settings(&self) -> &Settings {
        &self.set
    }

    /// Takes in all that happened up to `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Seconds, events: &[Event], out: &mut Vec<Action>) {
        self.begin(now, out);
        for (i, event) in events.iter().enumerate() {
            match event {
                Event::Arrived(request) => self.arrive(request, &events[i + 1..], out),
                Event::Ended { id, outcome } => self.ended(*id, *outcome, out),
                Event::CallWanted { id } => self.put(*id, Stage::WantsCall),
                Event::CallEnded { id, outcome, took } => self.call_ended(*id, *outcome, *took, out),
                Event::Withdrawn { id } => self.withdrawn(*id, out),
                Event::Leave { within } => self.leave(*within, out),
                Event::Woke { gauges, .. } => self.meter.gauges = *gauges,
                Event::Settings(new) => self.adopt(new),
            }
        }
        self.forgo_late_calls();
        self.expire(out);
        self.rank();
        self.measure(out);
        self.give_up_hopeless(out);
        self.make_calls(out);
        self.fill_cores(out);
        self.refuse_over_credit(out);
        self.refuse_hopeless(out);
        self.relieve_cores(out);
        self.newcomers.clear();
        self.publish(out);
        self.arm(out);
    }

    /// The first step says that all is well; every step brings the clock and the mean of calls up to date.
    fn begin(&mut self, now: f64, out: &mut Vec<Action>) {
        self.now = now;
        if self.born.is_none() {
            self.born = Some(now);
            self.meter.from = now;
            self.meter.next = now + MEASURE_EVERY;
            self.calls.at = now;
            out.push(Action::Health { good: true, stored: true });
        }
        // The clock may be coarser than the sum of times: a wake just ahead has come.
        if self.wake_at <= now + WAKE_SLACK {
            self.wake_at = f64::INFINITY;
        }
        while self.calls.lingering.front().is_some_and(|until| *until <= now) {
            self.calls.lingering.pop_front();
        }
        if let Below::Shared { fair_calls, over } = self.set.below {
            let level = fair_calls * CALLS_LEVEL;
            let owed = self.calls.owed + (self.calls_in_hand() - level) * (now - self.calls.at);
            self.calls.owed = owed.max(-level * CALLS_SAVED * over);
        }
        self.calls.at = now;
        self.ledger.keys.expire(now);
        self.ledger.callers.expire(now - CALLER_EXPIRY);
    }

    // Counts.

    fn count(&self, stage: Stage) -> f64 {
        self.ledger.count(stage)
    }

    /// N_sess: requests held unstarted.
    fn held(&self) -> f64 {
        self.count(Stage::Held)
    }

    fn put(&mut self, id: RequestId, stage: Stage) {
        self.ledger.put(id, stage, self.now);
    }

    fn calls_in_hand(&self) -> f64 {
        self.count(Stage::AtCall) + self.calls.lingering.len() as f64
    }

    fn memory_left(&self) -> f64 {
        let keys = self.ledger.keys.len() as f64 * self.set.key_kb;
        let requests = self.ledger.held_kb + self.ledger.started_kb * self.set.run_factor;
        self.set.memory_kb * MEMORY_MARGIN - requests - keys
    }

    // Arrival.

    fn arrive(&mut self, r: &Request, later: &[Event], out: &mut Vec<Action>) {
        if self.ledger.live.contains_key(&r.id) || r.class >= self.set.classes.len() {
            return;
        }
        let class = &self.set.classes[r.class];
        let arrived = self.now - r.waited;
        let stretch = class.aim_stretch * self.expected(r.class, r.cost_hint);
        let due = r.time_left.map_or(arrived + class.deadline, |left| self.now + left);
        let due = due.max(self.now + ANSWER_AHEAD) - ANSWER_AHEAD;
        let aim = (arrived + class.aim + stretch - ANSWER_AHEAD).min(due);
        let last_use = if class.late_worth > 0.0 { due } else { aim };
        let keyed = matches!(class.repeat, Repeat::Keyed(_));
        // Repeats mean something for keyed requests, and for reads whose answers may be shared.
        let repeats = keyed || (class.repeat == Repeat::Safe && self.set.fresh_for > 0.0);
        // Guards against bursts that are read at once and were left by then: they pass for reading in time.
        if !later.iter().any(|e| matches!(e, Event::Withdrawn { id } if *id == r.id)) {
            self.count_arrival(r);
        }
        self.ledger.insert(Live::new(r.clone(), self.now, aim, last_use, self.lane_of(r)));
        self.bound_by_leaving(r.id);
        let late = self.leaving.as_ref().is_some_and(|l| arrived > l.grace_until - self.set.tick);
        let repeated = r.repeats.filter(|first| repeats && !arrives(later, *first));
        if let Some(first) = repeated.filter(|first| !(late && keyed && self.waits(*first))) {
            self.repeat(r.id, first, out);
        } else if late || self.memory_left() < if keyed { self.set.key_kb } else { 0.0 } {
            // After the grace (be it as a further try), or without room: it must not run.
            self.refuse(r.id, self.set.max_stay_away, false, out);
        } else {
            self.keep(r.id, out);
            self.newcomers.push(r.id);
        }
    }

    fn count_arrival(&mut self, r: &Request) {
        let told = if self.ledger.callers.see(r.caller, self.now) { 1.0 } else { 0.0 };
        self.meter.told += CLASS_SMOOTHING * (told - self.meter.told);
        self.meter.reads += 1.0;
        self.meter.unread_for += UNREAD_SMOOTHING * (r.waited - self.meter.unread_for);
        if let Some(rate) = r.tenant.and_then(|t| self.tenants.get_mut(t)).filter(|_| !r.retry) {
            *rate += 1.0 / TENANT_MEMORY;
        }
    }

    // Keys.

    /// Remembers a keyed request for its window from its arrival, so that repeats of it are known.
    fn keep(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(l) = self.ledger.live.get(&id) else { return };
        let Repeat::Keyed(window) = self.set.classes[l.request.class].repeat else { return };
        let until = l.arrived + window + ANSWER_AHEAD;
        out.push(Action::Keep { id, lasting: (until - self.now).max(0.0) });
        self.ledger.keys.insert(id, until);
    }

    fn waits(&self, id: RequestId) -> bool {
        self.ledger.live.get(&id).is_some_and(|l| l.stage == Stage::Held && !l.ran)
    }

    /// A try of a request that is known here. If no try of it ran and the first still waits, the newer takes
    /// its place: the caller has most likely given the first one up. Else it gets what the first one gets.
    fn repeat(&mut self, id: RequestId, first: RequestId, out: &mut Vec<Action>) {
        let keyed = matches!(self.set.classes[self.ledger.live[&id].request.class].repeat, Repeat::Keyed(_));
        if self.waits(first) && keyed {
            self.keep(id, out);
            self.ledger.keys.forget(first);
            // No advice to keep away: the newer try of the same request is here.
            self.refuse(first, 0.0, true, out);
            self.newcomers.push(id);
        } else {
            out.push(Action::ServeFrom(id));
            self.put(id, Stage::Follows);
        }
    }

    // Endings.

    fn ended(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(l) = self.ledger.live.get(&id) else { return };
        let (stage, class, stopped) = (l.stage, l.request.class, outcome == Outcome::Stopped && !l.answered);
        if stopped && stage == Stage::OnCore {
            let again = self.set.halt == Halt::Pause || self.set.classes[class].repeat == Repeat::Safe;
            let next = if self.set.halt == Halt::Pause { Stage::Paused } else { Stage::Held };
            self.put(id, next);
            if !again {
                self.fail(id, out);
            }
            return;
        }
        if outcome == Outcome::Done && stage != Stage::Follows {
            self.learn(id);
        }
        if !matches!(outcome, Outcome::Done | Outcome::Failed) && !self.ledger.live[&id].answered {
            self.fail(id, out);
        }
        if outcome == Outcome::NotStarted && self.ledger.keys.forget(id) {
            // Guards against the memory of keys filling with what never ran.
            out.push(Action::Forget(id));
        }
        self.ledger.remove(id);
    }

    /// Only good answers count for the rate: quick failures must not swell it.
    fn learn(&mut self, id: RequestId) {
        let l = &self.ledger.live[&id];
        let on_core = l.core_time + if l.stage == Stage::OnCore { self.now - l.since } else { 0.0 };
        let parked = l.parked_time + if l.stage == Stage::AtCall { self.now - l.since } else { 0.0 };
        let learned = &mut self.learned[l.request.class];
        smooth(&mut learned.core, on_core);
        smooth(&mut learned.parked, parked);
        if let Some(hint) = l.request.cost_hint {
            smooth(&mut learned.hint, hint);
        }
        self.meter.finished += 1.0;
        self.meter.refused -= CLASS_SMOOTHING * self.meter.refused;
    }

    fn withdrawn(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(l) = self.ledger.live.get(&id) else { return };
        let (stage, repeat) = (l.stage, self.set.classes[l.request.class].repeat);
        self.ledger.settle(id);
        match stage {
            Stage::Held | Stage::Paused | Stage::Follows => self.ledger.remove(id),
            // A keyed run may still serve a repeat; any other is of no use to anyone.
            Stage::OnCore if !matches!(repeat, Repeat::Keyed(_)) => self.stop(id, out),
            _ => {}
        }
    }

    fn stop(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.set.halt == Halt::Never {
            return;
        }
        if let Some(l) = self.ledger.live.get_mut(&id).filter(|l| l.stage == Stage::OnCore && !l.stopping) {
            l.stopping = true;
            out.push(Action::Stop(id));
        }
    }

    /// The final answer no, for a try that never ran (or a safe one).
    fn refuse(&mut self, id: RequestId, stay_away: f64, last: bool, out: &mut Vec<Action>) {
        let keyed = self.ledger.keys.unused(id);
        out.push(Action::Refuse { id, stay_away, last });
        if keyed {
            out.push(Action::Forget(id));
        }
        self.after_answer(id, out);
    }

    /// The final answer that promises nothing.
    fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        out.push(Action::Fail(id));
        if self.ledger.keys.unused(id) {
            out.push(Action::Forget(id));
        }
        self.after_answer(id, out);
    }

    fn after_answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.ledger.settle(id);
        match self.ledger.live.get(&id).map(|l| l.stage) {
            Some(Stage::Held | Stage::Paused | Stage::Follows) => self.ledger.remove(id),
            Some(Stage::OnCore) => self.stop(id, out),
            _ => {}
        }
    }

    /// Answers what falls due or can earn nothing any more, wherever it is.
    fn expire(&mut self, out: &mut Vec<Action>) {
        let now = micros(self.now);
        while let Some((_, id)) = self.ledger.due.first().copied().filter(|(at, _)| *at <= now) {
            let l = &self.ledger.live[&id];
            let safe = self.set.classes[l.request.class].repeat == Repeat::Safe;
            if (l.ran && !safe) || l.stage == Stage::Follows {
                self.fail(id, out);
            } else {
                self.refuse(id, self.come_back(), true, out);
            }
        }
    }

    // Measure.

    /// Once in T_m: the service rate, from intervals in which work waited or that beat it; and the run limit.
    fn measure(&mut self, out: &mut Vec<Action>) {
        self.meter.busy |= self.held() >= 1.0;
        let length = self.now - self.meter.from;
        if self.now < self.meter.next {
            return;
        }
        let rate = self.meter.finished / length.max(MEASURE_EVERY);
        if length < 3.0 * MEASURE_EVERY && (self.meter.busy || rate > self.meter.rate) {
            self.meter.counted += 1.0;
            let newest = RATE_SMOOTHING.max(1.0 / self.meter.counted);
            self.meter.rate += newest * (rate - self.meter.rate);
        }
        self.meter.read_rate +=
            UNREAD_SMOOTHING * (self.meter.reads / length.max(MEASURE_EVERY) - self.meter.read_rate);
        let fades = if self.meter.reads == 0.0 { UNREAD_SMOOTHING } else { 0.0 };
        self.meter.unread_for -= fades * self.meter.unread_for;
        self.meter.reads = 0.0;
        let bound = DELAY_BUDGET * FLOOD_FROM * if self.meter.flooded { 0.5 } else { 1.0 };
        self.meter.flooded = self.meter.unread_for > bound;
        self.answer_health(length, out);
        self.close_idle(out);
        self.tenants.iter_mut().for_each(|rate| *rate *= (-length / TENANT_MEMORY).exp());
        self.move_limit();
        self.meter.finished = 0.0;
        self.meter.busy = false;
        self.meter.from = self.now;
        self.meter.next = self.now + MEASURE_EVERY;
    }

    /// Ours: where most callers come too seldom for any number to reach them in time, and a caller's share
    /// would be under 1, the list of servers reaches all: a server that reads late leaves it until it has
    /// caught up. Guards against servers slower than others, for whatever cause, and what it refuses tells
    /// nothing of others: a server that is slow alone refuses most. Could harm where all are late: so not for
    /// longer than it was in the list before.
    fn answer_health(&mut self, length: f64, out: &mut Vec<Action>) {
        let m = &mut self.meter;
        m.away_left = (m.away_left + if m.away { -length } else { length }).min(AWAY_FOR);
        let away = if m.away {
            m.away_left > 0.0 && m.unread_for > DELAY_BUDGET / 2.0
        } else {
            m.away_left >= AWAY_FOR / 2.0 && m.told < 0.5 && m.unread_for > DELAY_BUDGET
        };
        if away != m.away && self.leaving.is_none() {
            m.away = away;
            out.push(Action::Health { good: !away, stored: true });
            let health = if away { "withdrawn" } else { "good again" };
            out.push(Action::Note(format!("health {health}, requests lie unread for {:.1} s", m.unread_for)));
        }
    }

    /// Ours: connections of callers that are no longer active take part of the cores, and a full table shuts
    /// out callers that it never hears of. Guards against many callers that come seldom, and those that left
    /// without closing; does nothing where each caller comes often. Could harm where a new connection costs
    /// more than the requests that come on it.
    fn close_idle(&self, out: &mut Vec<Action>) {
        let open = self.meter.gauges.connections.unwrap_or(0.0);
        if open > CONNECTIONS_PER_CORE * f64::from(self.set.cores) {
            out.push(Action::CloseIdle(CALLER_EXPIRY.min(self.set.idle)));
        }
    }

    /// N_max = rate x delay budget; while the rate is hardly known, a request for each core at least.
    fn ceiling(&self) -> f64 {
        let known = self.meter.rate > 0.0 && self.meter.counted * RATE_SMOOTHING >= 1.0;
        (self.meter.rate * DELAY_BUDGET).max(if known { 1.0 } else { f64::from(self.set.cores) })
    }

    fn pressed(&self) -> bool {
        self.held() > self.ceiling()
    }

    /// Requests that reached the machine and wait to be read, by Little's law; each core reads one at a
    /// time. The paper's backlog (equation 1) holds what is not yet processed: so it counts in N_sess for
    /// the credit. It cannot count for refusals, which would come after the work of reading and leave cores
    /// idle.
    fn unread(&self) -> f64 {
        (self.meter.read_rate * self.meter.unread_for - f64::from(self.set.cores)).max(0.0)
    }

    /// The limit climbs while cores idle and work waits, and falls back when the cores are crowded.
    fn move_limit(&mut self) {
        let cores = f64::from(self.set.cores);
        let wanting = self.meter.gauges.on_cores.unwrap_or(self.count(Stage::OnCore));
        let full = self.meter.gauges.core_use.unwrap_or(1.0) > CORES_FULL;
        if wanting < cores && !full && self.meter.busy && self.count(Stage::OnCore) >= self.limit - 1.0 {
            self.limit += 1.0;
        } else if (wanting > cores && full) || !self.meter.busy {
            self.limit -= 0.5;
        }
        self.limit = self.limit.clamp(cores, self.crowd_bound().max(cores));
    }

    /// The crowd that the cores surely survive: less while the server is cold. Whole, for a run that is taken
    /// up over a part of a place would be paused at once, and taken up again, for ever.
    fn crowd_bound(&self) -> f64 {
        let age = self.now - self.born.unwrap_or(self.now);
        let warm = !self.set.cold || age >= self.set.cold_for;
        let cold = self.set.cold_from;
        let speed = if warm { 1.0 } else { cold + (1.0 - cold) * age / self.set.cold_for };
        let multiple = 1.0 + (self.set.crowd_multiple - 1.0).max(0.0) * speed.min(1.0);
        (f64::from(self.set.cores) * multiple * CROWD_MARGIN).floor().max(1.0)
    }

    /// Time on a core that a request of this class is expected to need; 0 while nothing is known.
    fn expected(&self, class: usize, hint: Option<f64>) -> f64 {
        let learned = &self.learned[class];
        let scale = match (hint, learned.hint) {
            (Some(hint), Some(mean)) if mean > 0.0 => hint / mean,
            _ => 1.0,
        };
        learned.core.unwrap_or(0.0) * scale
    }

    // Order of the hold.

    fn lane_of(&self, r: &Request) -> usize {
        let tenants = self.set.tenants.len();
        (r.class * (tenants + 1) + r.tenant.unwrap_or(tenants).min(tenants)) * 2
    }

    /// Expected worth of a tenant's request, as a part of what it would be within the share. Ours: what this
    /// server sees, times the servers, stands for the fleet; that errs alike for all tenants, so their order
    /// holds. Guards against a tenant far over its share; could harm one that sends to few servers only.
    fn within_share(&self, tenant: Option<usize>) -> f64 {
        let Some(t) = tenant else { return 1.0 };
        let fleet = self.tenants[t] * f64::from(self.set.servers);
        let within = (self.set.tenants[t].allowance / fleet.max(1e-9)).min(1.0);
        within + (1.0 - within) * self.set.over_share_worth
    }

    /// Ranks lanes by worth for each unit of work.
    fn rank(&mut self) {
        let known: Vec<f64> = self.learned.iter().filter_map(|k| k.core).collect();
        // A class of which nothing is known counts as the mean of the others.
        let mean = known.iter().sum::<f64>() / (known.len() as f64).max(1.0);
        let value = |lane: &Lane| {
            let work = match self.set.worth_by {
                WorthBy::Work => 1.0,
                WorthBy::Request => self.learned[lane.class].core.unwrap_or(mean).max(1e-3),
            };
            lane.worth * self.within_share(lane.tenant) / work
        };
        let mut order: Vec<(f64, usize)> = self.lanes.iter().map(value).zip(0..).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        self.order = order.into_iter().map(|(_, lane)| lane).collect();
    }

    /// Whether a start then would be likely to end in time. Guards against a mean beyond what any start
    /// allows, which would stay as nothing runs: then one is tried while nothing else has started.
    fn in_time(&self, l: &Live, start: f64) -> bool {
        let parked = self.learned[l.request.class].parked.unwrap_or(0.0);
        let needs = self.expected(l.request.class, l.request.cost_hint) + parked;
        let end = if l.lane.is_multiple_of(2) { l.aim } else { l.last_use };
        let tried = l.arrived + START_MARGIN * needs > end && start < end && self.ledger.started() == 0.0;
        tried || start + START_MARGIN * needs <= end
    }

    /// The next request to start, best lane first; on the way, what can no longer earn is turned away.
    fn next_start(&mut self, may_park: bool, out: &mut Vec<Action>) -> Option<RequestId> {
        for place in 0..self.order.len() {
            let lane = self.order[place];
            if !may_park && self.set.classes[self.lanes[lane].class].calls {
                continue;
            }
            while let Some((_, id)) = self.ledger.lanes[lane].first().copied() {
                let l = &self.ledger.live[&id];
                if self.in_time(l, self.now) {
                    return Some(id);
                }
                self.demote(id, out);
            }
        }
        None
    }

    /// Too late for its aim: it may still earn as a late one, else it is turned away.
    fn demote(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let l = &self.ledger.live[&id];
        if l.lane.is_multiple_of(2) && l.last_use > l.aim {
            let lane = l.lane + 1;
            self.ledger.change_lane(id, lane);
        } else if l.ran {
            self.fail(id, out);
        } else {
            self.turn_away(id, out);
        }
    }

    // Starts.

    fn fill_cores(&mut self, out: &mut Vec<Action>) {
        if self.meter.flooded {
            return;
        }
        let parked_bound = match self.set.below {
            Below::Several { parked } => parked,
            _ => f64::from(self.set.cores) * PARKED_PER_CORE,
        };
        let limit = self.limit.min(self.crowd_bound());
        while self.count(Stage::OnCore) < limit {
            if let Some((_, id)) = self.ledger.paused.first().copied() {
                self.start(id, out);
                continue;
            }
            let parked = self.count(Stage::WantsCall) + self.count(Stage::AtCall);
            // Without a pause, what comes back from calls cannot be held off the cores.
            let unpausable = if self.set.halt == Halt::Pause { 0.0 } else { parked };
            if self.count(Stage::OnCore) + unpausable >= self.crowd_bound().max(1.0) {
                break;
            }
            let Some(id) = self.next_start(parked < parked_bound, out) else { break };
            let kb = self.ledger.live[&id].request.held_kb;
            if self.memory_left() < kb * (self.set.run_factor - 1.0) {
                break;
            }
            self.start(id, out);
        }
    }

    fn start(&mut self, id: RequestId, out: &mut Vec<Action>) {
        out.push(Action::Run(id));
        self.put(id, Stage::OnCore);
        if let Some(l) = self.ledger.live.get_mut(&id) {
            l.ran = true;
        }
        self.ledger.keys.mark_ran(id);
    }

    /// What comes back from calls enters the cores unasked: beyond the bound the last to fall due are paused.
    fn relieve_cores(&mut self, out: &mut Vec<Action>) {
        let excess = self.count(Stage::OnCore) - self.crowd_bound();
        if excess <= 0.0 || self.set.halt != Halt::Pause {
            return;
        }
        let last = self.ledger.running.iter().rev().map(|(_, id)| *id).take(excess.ceil() as usize);
        for id in last.collect::<Vec<_>>() {
            self.stop(id, out);
        }
    }

    // Refusals.

    /// The design's refusal: while more waits than N_max, callers that hold their credit here are turned
    /// away. For each newcomer of such a caller one request goes; ours: the least worthy that waits of any
    /// such caller, most often the newcomer itself. Acts only where classes differ in worth for their work.
    fn refuse_over_credit(&mut self, out: &mut Vec<Action>) {
        for i in 0..self.newcomers.len() {
            if !self.pressed() {
                return;
            }
            let Some(l) = self.ledger.live.get(&self.newcomers[i]).filter(|l| l.stage == Stage::Held) else {
                continue;
            };
            if !self.over_credit(l) {
                continue;
            }
            let waiting = self.order.iter().rev().flat_map(|lane| self.ledger.lanes[*lane].iter().rev());
            let least = waiting.map(|(_, id)| *id).find(|id| self.over_credit(&self.ledger.live[id]));
            if let Some(id) = least.filter(|id| !self.ledger.live[id].ran) {
                self.turn_away(id, out);
            }
        }
    }

    /// Whether far more is asked here than is served.
    fn storm(&self) -> bool {
        self.meter.flooded || self.meter.refused > STORM_REFUSED
    }

    /// Ours: a further try found no room at another server either, and where much is refused here others most
    /// likely refuse too, so such callers are asked not to go on. Guards against storms of tries, which take
    /// the cores for reading and outlast what began them. Could harm where only a few servers are late.
    fn turn_away(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.meter.refused += CLASS_SMOOTHING * (1.0 - self.meter.refused);
        let last = self.storm() || self.ledger.live.get(&id).is_some_and(|l| l.request.retry);
        self.refuse(id, self.come_back(), last, out);
    }

    /// Ours: how long a caller that is turned away should keep away: until what waits beyond N_max is worked
    /// off, and at least the delay budget, in which all that may wait here is. Guards against tries that come
    /// back into the same press. Could harm if it outlasted the press, so it is short where little waits.
    fn come_back(&self) -> f64 {
        let beyond = self.held() + self.unread() - self.ceiling();
        let after = if self.leaving.is_some() { f64::INFINITY } else { beyond / self.meter.rate.max(1e-9) };
        after.max(DELAY_BUDGET).min(self.set.max_stay_away)
    }

    /// Ours: what waits and can no longer end in time has been given up, and is told so at once, wherever it
    /// stands in the order. Guards against requests that better ones keep from the cores and that would wait
    /// until they fall due, while their callers could still be served elsewhere.
    fn give_up_hopeless(&mut self, out: &mut Vec<Action>) {
        for lane in 0..self.lanes.len() {
            let waiting = self.ledger.lanes[lane].iter().map(|(_, id)| *id);
            let late: Vec<_> = waiting.filter(|id| !self.in_time(&self.ledger.live[id], self.now)).collect();
            for id in late {
                self.demote(id, out);
            }
        }
    }

    fn over_credit(&self, l: &Live) -> bool {
        self.meter.flooded || self.ledger.callers.here(l.request.caller) > self.credit()
    }

    /// Ours: a newcomer that what is ahead of it will keep from its aim is turned away at once, while it can
    /// still be served elsewhere.
    fn refuse_hopeless(&mut self, out: &mut Vec<Action>) {
        if self.newcomers.is_empty() || !self.pressed() {
            return;
        }
        for i in 0..self.newcomers.len() {
            let id = self.newcomers[i];
            let Some(l) = self.ledger.live.get(&id).filter(|l| l.stage == Stage::Held) else {
                continue;
            };
            let mut ahead = 0.0;
            for &lane in &self.order {
                ahead += self.ledger.lanes[lane].len() as f64 * self.expected(self.lanes[lane].class, None);
                if lane == l.lane {
                    break;
                }
            }
            if !self.in_time(l, self.now + ahead / self.limit) {
                self.turn_away(id, out);
            }
        }
    }

    // Credit.

    /// The free number: generous while calm, a share of what can be finished in time while pressed.
    fn credit(&self) -> f64 {
        if self.now >= self.meter.pressed_until {
            return self.calm_credit();
        }
        let share = (self.ledger.started() + self.ceiling()) / self.ledger.callers.active().max(1.0);
        share.min(self.calm_credit()).max(1.0)
    }

    fn calm_credit(&self) -> f64 {
        (CALM_CREDIT * self.ledger.callers.most()).max(self.limit)
    }

    fn publish(&mut self, out: &mut Vec<Action>) {
        if self.held() + self.unread() > self.ceiling() {
            self.meter.pressed_until = self.now + PRESSED_FOR;
        }
        let (credit, calm) = (self.credit(), self.calm_credit());
        let away = self.leaving.as_ref().is_some_and(|l| self.now >= l.grace_until - GRACE_AHEAD);
        let open = if away { 0.0 } else { credit / calm };
        let value = match self.set.say {
            Say::Nothing => return,
            Say::Credit => open * calm,
            Say::Level => 1.0 - open,
            Say::Weight => open,
        };
        if value != self.said {
            self.said = value;
            out.push(Action::Say(value));
        }
    }

    // Calls.

    /// Whether one more call keeps this server within its part of what the dependency survives. Ours: the
    /// mean is held far below that, since more calls in hand only make each slower: calls beyond the level
    /// are waited for. Guards also against calls that all become slow at once, and, since a call that was
    /// not taken counts as one, against storms of them. Could harm where one call is most of the mean.
    fn may_call(&self) -> bool {
        match self.set.below {
            Below::Shared { fair_calls, .. } => {
                let in_hand = self.calls_in_hand();
                let most = fair_calls * if self.calls_slow() { CALLS_SLOW } else { CALLS_MARGIN };
                self.calls.owed <= 0.0 && (in_hand == 0.0 || in_hand + 1.0 <= most)
            }
            _ => true,
        }
    }

    /// Where less than one call at a time is this server's part, how long one may take so that the mean stays
    /// within the part whatever was saved up.
    fn longest_call(&self) -> f64 {
        match self.set.below {
            Below::Shared { fair_calls, over } if fair_calls * CALLS_MARGIN < 1.0 => {
                fair_calls * (CALLS_MARGIN - CALLS_LEVEL * (1.0 + CALLS_SAVED)) * over - self.set.linger
            }
            _ => f64::INFINITY,
        }
    }

    /// How long a call may take before it is given up. Guards against replies that never come: what waits for
    /// them takes the room of other calls.
    fn patience(&self) -> f64 {
        let usual = self.calls.took.map_or(f64::INFINITY, |took| took * CALL_PATIENCE);
        usual.max(CALL_LEAST).min(self.longest_call())
    }

    /// Whether calls take far longer than they once did.
    fn calls_slow(&self) -> bool {
        self.calls.took.is_some_and(|took| took > CALLS_SLOWED * self.calls.least)
    }

    /// The call to make next: that of the most worthy request, and of those the first to fall due.
    fn next_call(&self) -> Option<RequestId> {
        self.order.iter().find_map(|lane| self.ledger.wanted[*lane].first().map(|(_, id)| *id))
    }

    /// Ours: what waits for a call and has less time than calls take is given up at once. Guards against slow
    /// calls that are all made just before they are of no use, and go on below. Could harm where calls differ
    /// much in length: so not what may skip its call.
    fn forgo_late_calls(&mut self) {
        let soonest = micros(self.now + self.calls.took.unwrap_or(0.0));
        let skips = |id| self.set.classes[self.ledger.live[id].request.class].skip_worth > 0.0;
        let wanted = self.ledger.wanted.iter().flatten();
        // Guards against a mean so high that nothing is called, and so nothing learned, any more: while
        // no call is under way, the one with the most time left is kept.
        let kept = wanted.clone().max().filter(|_| self.count(Stage::AtCall) == 0.0);
        let late = wanted.filter(|w| w.0 < soonest && Some(*w) != kept && !skips(&w.1));
        for (_, id) in late.copied().collect::<Vec<_>>() {
            self.ledger.bring_forward(id, self.now);
        }
    }

    fn make_calls(&mut self, out: &mut Vec<Action>) {
        while self.may_call() {
            let Some(id) = self.next_call() else { break };
            self.put(id, Stage::AtCall);
            let l = &self.ledger.live[&id];
            let give_up_after = (l.last_use - self.now).min(self.patience()).max(ANSWER_AHEAD);
            out.push(Action::Call { id, give_up_after });
        }
        if self.may_call() {
            return;
        }
        // No room below for a while: those that may skip the call and still earn go on without it.
        let hasty = |id: &RequestId| {
            let l = &self.ledger.live[id];
            self.set.classes[l.request.class].skip_worth > 0.0
                && !(self.now < l.since + DELAY_BUDGET && self.in_time(l, self.now + DELAY_BUDGET))
        };
        let wanted = self.ledger.wanted.iter().flatten().map(|(_, id)| *id);
        let skips: Vec<RequestId> = wanted.filter(hasty).collect();
        for id in skips {
            out.push(Action::SkipCall(id));
            self.put(id, Stage::OnCore);
        }
    }

    fn call_ended(&mut self, id: RequestId, outcome: Outcome, took: f64, out: &mut Vec<Action>) {
        let Some(l) = self.ledger.live.get(&id).filter(|l| l.stage == Stage::AtCall) else {
            return;
        };
        let class = &self.set.classes[l.request.class];
        // What several things below do is measured where calls are made: one mean of all says nothing.
        let several = matches!(self.set.below, Below::Several { .. });
        if outcome.never_ran() {
            self.calls.owed += MEASURE_EVERY;
        } else if !several {
            // One that was given up would have taken longer, by how much is not known, however soon that was.
            let mean = self.calls.took.unwrap_or(took);
            let took = if outcome == Outcome::GivenUp { took.clamp(mean, CALL_OVERDUE * mean) } else { took };
            smooth(&mut self.calls.took, took);
            let mean = self.calls.took.unwrap_or(took);
            self.calls.least = if self.calls.least == 0.0 { mean } else { self.calls.least.min(mean) };
        }
        if outcome == Outcome::GivenUp {
            self.calls.lingering.push_back(self.now + self.set.linger);
        }
        // Ours: a reply that got lost on the way says nothing of what is below, so the call is made again
        // while that may earn its full worth. Could harm where too many calls are what loses them: not while
        // they are slow.
        let lost = outcome == Outcome::Broken && !self.calls_slow() && !several;
        let again = lost && class.repeat == Repeat::Safe && !l.answered && l.calls_lost < CALLS_LOST;
        if outcome == Outcome::Done {
            self.put(id, Stage::OnCore);
        } else if again && self.in_time(l, self.now) {
            self.put(id, Stage::WantsCall);
            if let Some(l) = self.ledger.live.get_mut(&id) {
                l.calls_lost += 1;
            }
        } else if class.skip_worth > 0.0 && !l.answered {
            out.push(Action::SkipCall(id));
            self.put(id, Stage::OnCore);
        } else if !several && (outcome.never_ran() || class.repeat == Repeat::Safe) {
            self.put(id, Stage::WantsCall);
        } else {
            self.put(id, Stage::WantsCall);
            self.fail(id, out);
        }
    }

    // Leaving.

    fn leave(&mut self, within: f64, out: &mut Vec<Action>) {
        if self.leaving.is_none() {
            let live = self.ledger.live.len();
            out.push(Action::Note(format!("leaving within {within:.1} s with {live} in hand")));
        }
        let stop_at = self.now + within;
        let grace_until = self.leaving.as_ref().map_or(self.now + self.set.drain_grace, |l| l.grace_until);
        self.leaving = Some(Leaving { grace_until, stop_at });
        out.push(Action::Health { good: false, stored: true });
        let all: Vec<RequestId> = self.ledger.live.keys().copied().collect();
        for id in all {
            self.bound_by_leaving(id);
        }
    }

    /// While the server is leaving, everything is answered before it is stopped.
    fn bound_by_leaving(&mut self, id: RequestId) {
        if let Some(leaving) = &self.leaving {
            self.ledger.bring_forward(id, leaving.stop_at - LEAVE_AHEAD);
        }
    }

    // Time.

    /// Asks to be woken at the next due time, and once in T_m while there is anything to measure.
    fn arm(&mut self, out: &mut Vec<Action>) {
        // Guards against a server that left the list, is asked for nothing, and so never comes back.
        let idle = self.ledger.live.is_empty() && !self.meter.away;
        let tick = if idle { f64::INFINITY } else { self.meter.next };
        let due = self.ledger.due.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1e6);
        let call = match self.set.below {
            Below::Shared { fair_calls, .. } if self.calls.owed > 0.0 && self.next_call().is_some() => {
                self.now + self.calls.owed / (fair_calls * CALLS_LEVEL)
            }
            _ => f64::INFINITY,
        };
        let at = tick.min(due).min(call).max(self.now + 2.0 * WAKE_SLACK);
        if at < self.wake_at {
            self.wake_at = at;
            out.push(Action::Wake { after: at - self.now, token: 0 });
        }
    }
}

fn arrives(events: &[Event], id: RequestId) -> bool {
    events.iter().any(|e| matches!(e, Event::Arrived(r) if r.id == id))
}
