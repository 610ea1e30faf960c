//! What one server remembers, kept consistent: requests by stage, callers, and keys. Nothing is decided here.

use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Requests ordered by a time, in microseconds.
pub(crate) type Queue = BTreeSet<(u64, RequestId)>;

/// Where a request is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// Read and not started.
    Held,
    /// Running.
    OnCore,
    /// Started, and off the cores until it is taken up again.
    Paused,
    /// Started, and waits for the call it needs to be made.
    WantsCall,
    /// Started, and its call is under way.
    AtCall,
    /// Gets its answer from another request.
    Follows,
}

/// A request that was read and whose end is not yet known.
#[derive(Serialize, Deserialize)]
pub(crate) struct Live {
    pub request: Request,
    pub arrived: f64,
    /// When an answer stops earning its full worth.
    pub aim: f64,
    /// When an answer stops earning anything; it is owed by then.
    pub last_use: f64,
    pub stage: Stage,
    pub since: f64,
    /// A final answer was given or none is owed; only its work is left.
    pub answered: bool,
    /// It was started at least once.
    pub ran: bool,
    /// It was told to stop, and has not yet.
    pub stopping: bool,
    /// Its place in [`Ledger::lanes`].
    pub lane: usize,
    pub core_time: f64,
    pub parked_time: f64,
    /// Calls whose replies never came.
    pub calls_lost: u32,
}

impl Live {
    /// A request that was just read.
    pub fn new(request: Request, now: f64, aim: f64, last_use: f64, lane: usize) -> Live {
        Live {
            arrived: now - request.waited,
            request,
            aim,
            last_use,
            stage: Stage::Held,
            since: now,
            answered: false,
            ran: false,
            stopping: false,
            lane,
            core_time: 0.0,
            parked_time: 0.0,
            calls_lost: 0,
        }
    }
}

/// Callers: when each was last seen, and how many requests each has here.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Callers {
    by_id: BTreeMap<CallerId, (u64, u32)>,
    seen: BTreeSet<(u64, CallerId)>,
    /// How many callers have so many requests here.
    by_here: BTreeMap<u32, u32>,
}

impl Callers {
    /// Notes a request of a caller; whether the caller was active.
    pub fn see(&mut self, id: CallerId, now: f64) -> bool {
        let at = micros(now).max(1);
        let caller = self.by_id.entry(id).or_default();
        let active = self.seen.remove(&(caller.0, id));
        caller.0 = at;
        self.seen.insert((at, id));
        active
    }

    /// Those last seen before this time are no longer active.
    pub fn expire(&mut self, before: f64) {
        while let Some((at, id)) = self.seen.first().copied().filter(|(at, _)| *at < micros(before)) {
            self.seen.remove(&(at, id));
            match self.by_id.get_mut(&id) {
                Some(caller) if caller.1 > 0 => caller.0 = 0,
                _ => drop(self.by_id.remove(&id)),
            }
        }
    }

    fn change(&mut self, id: CallerId, by: i32) {
        let caller = self.by_id.entry(id).or_default();
        if let Some(n) = self.by_here.get_mut(&caller.1) {
            *n -= 1;
        }
        if self.by_here.get(&caller.1) == Some(&0) {
            self.by_here.remove(&caller.1);
        }
        caller.1 = caller.1.saturating_add_signed(by);
        if caller.1 > 0 {
            *self.by_here.entry(caller.1).or_insert(0) += 1;
        } else if caller.0 == 0 {
            self.by_id.remove(&id);
        }
    }

    /// Callers that are active.
    pub fn active(&self) -> f64 {
        self.seen.len() as f64
    }

    /// The requests that a caller has here.
    pub fn here(&self, id: CallerId) -> f64 {
        self.by_id.get(&id).map_or(0.0, |caller| f64::from(caller.1))
    }

    /// The most requests that any caller has here.
    pub fn most(&self) -> f64 {
        self.by_here.last_key_value().map_or(0.0, |(here, _)| f64::from(*here))
    }
}

/// The table of keys: until when each entry lives, and whether a try of it ran.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Keys {
    entries: BTreeMap<RequestId, (u64, bool)>,
    ends: Queue,
}

impl Keys {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn insert(&mut self, id: RequestId, until: f64) {
        self.forget(id);
        self.entries.insert(id, (micros(until), false));
        self.ends.insert((micros(until), id));
    }

    pub fn mark_ran(&mut self, id: RequestId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.1 = true;
        }
    }

    /// Whether the request is remembered and no try of it ran.
    pub fn unused(&self, id: RequestId) -> bool {
        self.entries.get(&id).is_some_and(|(_, ran)| !ran)
    }

    /// Whether it was remembered.
    pub fn forget(&mut self, id: RequestId) -> bool {
        let entry = self.entries.remove(&id);
        if let Some((until, _)) = entry {
            self.ends.remove(&(until, id));
        }
        entry.is_some()
    }

    pub fn expire(&mut self, now: f64) {
        while let Some((_, id)) = self.ends.first().copied().filter(|(until, _)| *until < micros(now)) {
            self.forget(id);
        }
    }
}

/// Requests, and all that is counted over them.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Ledger {
    pub live: BTreeMap<RequestId, Live>,
    /// The hold, in lanes; by the time at which each request stops earning.
    pub lanes: Vec<Queue>,
    pub paused: Queue,
    /// Those on the cores.
    pub running: Queue,
    /// Those that wait for their call to be made, in lanes.
    pub wanted: Vec<Queue>,
    /// All that is still owed an answer, by the time at which it must be given.
    pub due: Queue,
    pub callers: Callers,
    pub keys: Keys,
    counts: [usize; 6],
    /// Memory of requests that were not started, and of those that were, at their size while held.
    pub held_kb: f64,
    pub started_kb: f64,
}

impl Ledger {
    pub fn count(&self, stage: Stage) -> f64 {
        self.counts[stage as usize] as f64
    }

    /// Requests that were started and are not over.
    pub fn started(&self) -> f64 {
        [Stage::OnCore, Stage::Paused, Stage::WantsCall, Stage::AtCall].map(|s| self.count(s)).iter().sum()
    }

    pub fn insert(&mut self, live: Live) {
        let id = live.request.id;
        self.due.insert((micros(live.last_use), id));
        self.callers.change(live.request.caller, 1);
        self.live.insert(id, live);
        self.enter(id);
    }

    /// Moves a request to another stage, with all that is counted by stage.
    pub fn put(&mut self, id: RequestId, stage: Stage, now: f64) {
        self.lift(id);
        let Some(l) = self.live.get_mut(&id) else { return };
        match l.stage {
            Stage::OnCore => l.core_time += now - l.since,
            Stage::WantsCall | Stage::AtCall => l.parked_time += now - l.since,
            _ => {}
        }
        (l.since, l.stage, l.stopping) = (now, stage, false);
        self.enter(id);
    }

    /// Moves a held request to another lane.
    pub fn change_lane(&mut self, id: RequestId, lane: usize) {
        self.lift(id);
        if let Some(l) = self.live.get_mut(&id) {
            l.lane = lane;
        }
        self.enter(id);
    }

    /// Brings forward the time by which a request is answered.
    pub fn bring_forward(&mut self, id: RequestId, end: f64) {
        if self.live.get(&id).is_none_or(|l| l.answered || l.last_use <= end) {
            return;
        }
        self.lift(id);
        let Some(l) = self.live.get_mut(&id) else { return };
        self.due.remove(&(micros(l.last_use), id));
        (l.aim, l.last_use) = (l.aim.min(end), end);
        self.due.insert((micros(end), id));
        self.enter(id);
    }

    /// Nothing is owed for this request any more; its caller has room for another.
    pub fn settle(&mut self, id: RequestId) {
        let Some(l) = self.live.get_mut(&id).filter(|l| !l.answered) else { return };
        l.answered = true;
        let (order, caller) = ((micros(l.last_use), id), l.request.caller);
        let (stage, lane) = (l.stage, l.lane);
        self.due.remove(&order);
        if matches!(stage, Stage::WantsCall | Stage::OnCore) {
            self.queue_of(stage, lane).map(|queue| queue.remove(&order));
        }
        self.callers.change(caller, -1);
    }

    /// The request is over, here and everywhere.
    pub fn remove(&mut self, id: RequestId) {
        self.settle(id);
        self.lift(id);
        self.live.remove(&id);
        if self.keys.unused(id) {
            self.keys.forget(id);
        }
    }

    /// Has so many lanes from now on, with each request in the one that is given for it.
    pub fn relane(&mut self, lanes: usize, places: &[(RequestId, usize)]) {
        for (id, _) in places {
            self.lift(*id);
        }
        self.lanes.resize_with(lanes, Default::default);
        self.wanted.resize_with(lanes, Default::default);
        for (id, lane) in places {
            if let Some(l) = self.live.get_mut(id) {
                l.lane = *lane;
            }
            self.enter(*id);
        }
    }

    fn queue_of(&mut self, stage: Stage, lane: usize) -> Option<&mut Queue> {
        match stage {
            Stage::Held => self.lanes.get_mut(lane),
            Stage::Paused => Some(&mut self.paused),
            Stage::OnCore => Some(&mut self.running),
            Stage::WantsCall => self.wanted.get_mut(lane),
            _ => None,
        }
    }

    fn enter(&mut self, id: RequestId) {
        let Some(l) = self.live.get(&id) else { return };
        let (stage, lane, order) = (l.stage, l.lane, (micros(l.last_use), id));
        let (kb, answered) = (l.request.held_kb, l.answered);
        self.counts[stage as usize] += 1;
        *self.kb_of(stage) += kb;
        if let Some(queue) = self.queue_of(stage, lane).filter(|_| !answered) {
            queue.insert(order);
        }
    }

    fn lift(&mut self, id: RequestId) {
        let Some(l) = self.live.get(&id) else { return };
        let (stage, lane, order) = (l.stage, l.lane, (micros(l.last_use), id));
        let kb = l.request.held_kb;
        self.counts[stage as usize] -= 1;
        *self.kb_of(stage) -= kb;
        if let Some(queue) = self.queue_of(stage, lane) {
            queue.remove(&order);
        }
    }

    fn kb_of(&mut self, stage: Stage) -> &mut f64 {
        match stage {
            Stage::Held | Stage::Follows => &mut self.held_kb,
            _ => &mut self.started_kb,
        }
    }
}

/// A time in whole microseconds, for ordering.
pub(crate) fn micros(t: f64) -> u64 {
    (t.max(0.0) * 1e6).round() as u64
}
