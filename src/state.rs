//! The state of one server: requests by stage, callers, and keys. No decisions are made here.

use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Requests ordered by a time, in microseconds.
pub(crate) type Queue = BTreeSet<(u64, RequestId)>;

/// The stage of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// Read and not started.
    Queued,
    /// On the cores.
    Running,
    /// Started, and off the cores until it is resumed.
    Paused,
    /// Started, and waits until its call can be made.
    AwaitsCall,
    /// Started, and its call is in flight.
    InCall,
    /// Gets its answer from another request.
    SharesAnswer,
}

/// A request that was read and has not ended.
#[derive(Serialize, Deserialize)]
pub(crate) struct InFlightRequest {
    pub request: Request,
    pub arrived: f64,
    /// When an answer loses its full worth.
    pub target_at: f64,
    /// When an answer loses all worth; it must be given by then.
    pub due_at: f64,
    pub stage: Stage,
    pub stage_since: f64,
    /// Whether the final answer was given or is not needed; only its work remains.
    pub answered: bool,
    /// Whether it was started at least once.
    pub has_run: bool,
    /// Whether a stop was requested that has not happened yet.
    pub stopping: bool,
    /// Its index into [`ServerState::lanes`].
    pub lane: usize,
    pub core_time: f64,
    pub parked_time: f64,
    /// Calls whose replies were lost.
    pub lost_calls: u32,
}

impl InFlightRequest {
    /// Creates a request that was just read.
    pub fn new(request: Request, now: f64, target_at: f64, due_at: f64, lane: usize) -> InFlightRequest {
        InFlightRequest {
            arrived: now - request.waited,
            request,
            target_at,
            due_at,
            stage: Stage::Queued,
            stage_since: now,
            answered: false,
            has_run: false,
            stopping: false,
            lane,
            core_time: 0.0,
            parked_time: 0.0,
            lost_calls: 0,
        }
    }
}

/// When each caller was last seen, and how many requests it has in flight.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Callers {
    /// When each caller was last seen, or 0 if it is inactive, and its number of requests in flight.
    by_id: BTreeMap<CallerId, (u64, u32)>,
    last_seen: BTreeSet<(u64, CallerId)>,
    /// The number of callers by their count of requests in flight.
    callers_by_in_flight: BTreeMap<u32, u32>,
}

impl Callers {
    /// Records a request of a caller and returns whether the caller was active.
    pub fn record_request(&mut self, id: CallerId, now: f64) -> bool {
        let at = to_micros(now).max(1);
        let caller = self.by_id.entry(id).or_default();
        let active = self.last_seen.remove(&(caller.0, id));
        caller.0 = at;
        self.last_seen.insert((at, id));
        active
    }

    /// Makes callers inactive that were last seen before this time.
    pub fn expire(&mut self, before: f64) {
        while let Some((at, id)) = self.last_seen.first().copied().filter(|(at, _)| *at < to_micros(before)) {
            self.last_seen.remove(&(at, id));
            match self.by_id.get_mut(&id) {
                Some(caller) if caller.1 > 0 => caller.0 = 0,
                _ => drop(self.by_id.remove(&id)),
            }
        }
    }

    fn change_in_flight(&mut self, id: CallerId, by: i32) {
        let caller = self.by_id.entry(id).or_default();
        if let Some(n) = self.callers_by_in_flight.get_mut(&caller.1) {
            *n -= 1;
        }
        if self.callers_by_in_flight.get(&caller.1) == Some(&0) {
            self.callers_by_in_flight.remove(&caller.1);
        }
        caller.1 = caller.1.saturating_add_signed(by);
        if caller.1 > 0 {
            *self.callers_by_in_flight.entry(caller.1).or_insert(0) += 1;
        } else if caller.0 == 0 {
            self.by_id.remove(&id);
        }
    }

    /// The number of active callers.
    pub fn active(&self) -> f64 {
        self.last_seen.len() as f64
    }

    /// The number of requests that a caller has in flight.
    pub fn in_flight(&self, id: CallerId) -> f64 {
        self.by_id.get(&id).map_or(0.0, |caller| f64::from(caller.1))
    }

    /// The most requests that any caller has in flight.
    pub fn max_in_flight(&self) -> f64 {
        self.callers_by_in_flight.last_key_value().map_or(0.0, |(here, _)| f64::from(*here))
    }
}

/// The key table: when each entry expires, and whether a try of it ran.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Keys {
    entries: BTreeMap<RequestId, (u64, bool)>,
    expiries: Queue,
}

impl Keys {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn insert(&mut self, id: RequestId, until: f64) {
        self.forget(id);
        self.entries.insert(id, (to_micros(until), false));
        self.expiries.insert((to_micros(until), id));
    }

    pub fn mark_ran(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.1 = true;
        }
    }

    /// Whether the request is remembered and none of its tries ran.
    pub fn is_unused(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_some_and(|(_, ran)| !ran)
    }

    /// Removes a request and returns whether it was remembered.
    pub fn forget(&mut self, id: RequestId) -> bool {
        let entry = self.entries.remove(&id);
        if let Some((until, _)) = entry {
            self.expiries.remove(&(until, id));
        }
        entry.is_some()
    }

    pub fn expire(&mut self, now: f64) {
        while let Some((_, id)) = self.expiries.first().copied().filter(|(until, _)| *until < to_micros(now))
        {
            self.forget(id);
        }
    }
}

/// The requests of a server, with the queues and counters over them.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct ServerState {
    pub requests: BTreeMap<RequestId, InFlightRequest>,
    /// Queued requests by lane, ordered by the time at which each is due.
    pub lanes: Vec<Queue>,
    pub paused: Queue,
    /// Requests on the cores.
    pub running: Queue,
    /// Requests that wait until their call can be made, by lane.
    pub awaiting_call: Vec<Queue>,
    /// Requests without a final answer, ordered by the time at which it is due.
    pub due: Queue,
    pub callers: Callers,
    pub keys: Keys,
    counts: [usize; 6],
    /// Memory of requests that were not started, and of those that were, at their size while queued.
    pub queued_kb: f64,
    pub started_kb: f64,
}

impl ServerState {
    pub fn count(&self, stage: Stage) -> f64 {
        self.counts[stage as usize] as f64
    }

    /// The number of requests that were started and have not ended.
    pub fn started(&self) -> f64 {
        [Stage::Running, Stage::Paused, Stage::AwaitsCall, Stage::InCall].map(|s| self.count(s)).iter().sum()
    }

    pub fn insert(&mut self, live: InFlightRequest) {
        let id = live.request.id;
        self.due.insert((to_micros(live.due_at), id));
        self.callers.change_in_flight(live.request.caller, 1);
        self.requests.insert(id, live);
        self.add_to_stage(id);
    }

    /// Moves a request to another stage and updates the queues and counters.
    pub fn set_stage(&mut self, id: RequestId, stage: Stage, now: f64) {
        self.remove_from_stage(id);
        let Some(l) = self.requests.get_mut(&id) else { return };
        match l.stage {
            Stage::Running => l.core_time += now - l.stage_since,
            Stage::AwaitsCall | Stage::InCall => l.parked_time += now - l.stage_since,
            _ => {}
        }
        (l.stage_since, l.stage, l.stopping) = (now, stage, false);
        self.add_to_stage(id);
    }

    /// Moves a queued request to another lane.
    pub fn change_lane(&mut self, id: RequestId, lane: usize) {
        self.remove_from_stage(id);
        if let Some(l) = self.requests.get_mut(&id) {
            l.lane = lane;
        }
        self.add_to_stage(id);
    }

    /// Makes a request due earlier, never later.
    pub fn shorten_deadline(&mut self, id: RequestId, end: f64) {
        if self.requests.get(&id).is_none_or(|l| l.answered || l.due_at <= end) {
            return;
        }
        self.remove_from_stage(id);
        let Some(l) = self.requests.get_mut(&id) else { return };
        self.due.remove(&(to_micros(l.due_at), id));
        (l.target_at, l.due_at) = (l.target_at.min(end), end);
        self.due.insert((to_micros(end), id));
        self.add_to_stage(id);
    }

    /// Records that a request needs no more answer; its caller may send another.
    pub fn mark_answered(&mut self, id: RequestId) {
        let Some(l) = self.requests.get_mut(&id).filter(|l| !l.answered) else { return };
        l.answered = true;
        let (order, caller) = ((to_micros(l.due_at), id), l.request.caller);
        let (stage, lane) = (l.stage, l.lane);
        self.due.remove(&order);
        if matches!(stage, Stage::AwaitsCall | Stage::Running) {
            self.queue_of(stage, lane).map(|queue| queue.remove(&order));
        }
        self.callers.change_in_flight(caller, -1);
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, id: RequestId) {
        self.mark_answered(id);
        self.remove_from_stage(id);
        self.requests.remove(&id);
        if self.keys.is_unused(id) {
            self.keys.forget(id);
        }
    }

    /// Sets the number of lanes, and the lane of each request.
    pub fn reassign_lanes(&mut self, lanes: usize, places: &[(RequestId, usize)]) {
        for (id, _) in places {
            self.remove_from_stage(*id);
        }
        self.lanes.resize_with(lanes, Default::default);
        self.awaiting_call.resize_with(lanes, Default::default);
        for (id, lane) in places {
            if let Some(l) = self.requests.get_mut(id) {
                l.lane = *lane;
            }
            self.add_to_stage(*id);
        }
    }

    fn queue_of(&mut self, stage: Stage, lane: usize) -> Option<&mut Queue> {
        match stage {
            Stage::Queued => self.lanes.get_mut(lane),
            Stage::Paused => Some(&mut self.paused),
            Stage::Running => Some(&mut self.running),
            Stage::AwaitsCall => self.awaiting_call.get_mut(lane),
            _ => None,
        }
    }

    fn add_to_stage(&mut self, id: RequestId) {
        let Some(l) = self.requests.get(&id) else { return };
        let (stage, lane, order) = (l.stage, l.lane, (to_micros(l.due_at), id));
        let (kb, answered) = (l.request.held_kb, l.answered);
        self.counts[stage as usize] += 1;
        *self.memory_counter(stage) += kb;
        if let Some(queue) = self.queue_of(stage, lane).filter(|_| !answered) {
            queue.insert(order);
        }
    }

    fn remove_from_stage(&mut self, id: RequestId) {
        let Some(l) = self.requests.get(&id) else { return };
        let (stage, lane, order) = (l.stage, l.lane, (to_micros(l.due_at), id));
        let kb = l.request.held_kb;
        self.counts[stage as usize] -= 1;
        *self.memory_counter(stage) -= kb;
        if let Some(queue) = self.queue_of(stage, lane) {
            queue.remove(&order);
        }
    }

    fn memory_counter(&mut self, stage: Stage) -> &mut f64 {
        match stage {
            Stage::Queued | Stage::SharesAnswer => &mut self.queued_kb,
            _ => &mut self.started_kb,
        }
    }
}

/// Converts a time to whole microseconds, for ordering.
pub(crate) fn to_micros(t: f64) -> u64 {
    (t.max(0.0) * 1e6).round() as u64
}
