//! Arrival and end of requests: admission to the module, and the one function that answers them.

use super::{
    Engine, Entry, LOST_RUN_TIMEOUT, MAX_CLOCK_AHEAD_SECONDS, MAX_QUEUEING_BEYOND_DEADLINE_SECONDS, Stage,
};
use crate::counts::Ended;
use crate::engine::input::Input;
use crate::keys::{TryRejected, digest};
use crate::log;
use crate::request::{Answer, Key, Label, Reply, ReplyTo, Work};
use crate::upgrade::claims::{Claims, Placement};
use jaspershunt::{Event, Outcome, Repeat, Request, RequestId};
use jaspershunt_routes::trial::RequestEnd as Tried;

/// Time for which callers are asked to send nothing when a limit of the route table is reached; about the
/// duration of a request.
const ROUTE_LIMIT_STAY_AWAY_SECONDS: f64 = 1.0;

impl Engine {
    pub(super) fn arrive(&mut self, id: RequestId, mut work: Work, reply: ReplyTo) {
        self.adjust_late_arrival(&mut work);
        let goes = self.placement_of(&work);
        if goes == Placement::Remote {
            return self.relay(id, work, reply);
        }
        let class = work.class;
        self.channels.desk.counts.borrow_mut().taken(&self.settings.classes[class].name);
        let admitted = match goes {
            Placement::Rejected => Err((reply, Answer::Failed)),
            // Its balancer sent it again as its connection had ended: it must neither run again nor be refused.
            _ if self.recent_ids.contains(&work.uid) => Err((reply, Answer::Failed)),
            // Checked before the request is recorded in the fleet: work taken over from another nodo is
            // always run. A try whose key is known adds no work.
            _ if !self.is_key_known(&work) && self.exceeds_route_limits(&work) => {
                if let Some(table) = &self.table {
                    // Guards against a table that refuses most requests and is judged by the few it admits.
                    self.channels.desk.tally.borrow_mut().record(table, Tried::Failed);
                }
                let stay_away = self.settings.max_stay_away.min(ROUTE_LIMIT_STAY_AWAY_SECONDS);
                Err((reply, self.refusal(work.key.as_ref(), stay_away)))
            }
            _ if self.needs_record(&work) => return self.offer(id, work, reply),
            _ => self.admit(id, work, reply),
        };
        if let Err((reply, answer)) = admitted {
            // It never reached the module, so it is over.
            self.count_end(class, Some(&answer));
            reply.send(Reply::new(answer, self.caller_feedback()));
        }
    }

    /// Handles a try that its connection has no room to keep: turns it away, unless this process or another one
    /// knows its key. Such a try only takes the place of the one before or gets the result of its key's run.
    pub(super) fn arrive_without_room(&mut self, id: RequestId, work: Work, reply: ReplyTo) {
        if self.is_key_known(&work) || self.placement_of(&work) != Placement::Local {
            return self.arrive(id, work, reply);
        }
        let answer = self.refusal(work.key.as_ref(), self.settings.max_stay_away);
        self.channels.desk.counts.borrow_mut().taken(&self.settings.classes[work.class].name);
        self.count_end(work.class, Some(&answer));
        reply.send(Reply::new(answer, self.caller_feedback()));
    }

    fn placement_of(&mut self, work: &Work) -> Placement {
        if self.claims == Claims::Owned { Placement::Local } else { self.route_try(work) }
    }

    /// Whether another try of this one's key is queued here, runs here, or ran.
    fn is_key_known(&self, work: &Work) -> bool {
        work.key.as_ref().is_some_and(|key| self.keys.contains(key))
    }

    /// The answer to a try that is turned away. A refusal promises that no try of the request ran; where one of
    /// its key ran here, the answer is a failure, which promises nothing.
    pub(super) fn refusal(&self, key: Option<&Key>, stay_away: f64) -> Answer {
        if key.is_some_and(|key| self.keys.run_state(key).is_some()) {
            return Answer::Failed;
        }
        Answer::Refused { stay_away, last: false }
    }

    /// Whether another request of this class or tenant would exceed the route table's limits. They count all
    /// in-flight requests, whichever table these began with, and those whose callers have left as long as
    /// they run.
    fn exceeds_route_limits(&self, work: &Work) -> bool {
        let Some(table) = &self.table else { return false };
        let here = |is: &dyn Fn(&Entry) -> bool| self.requests.values().filter(|entry| is(entry)).count();
        let class = &self.settings.classes[work.class].name;
        let full = table.class_limit(class).is_some_and(|limit| {
            // Requests being recorded in the fleet are not in `requests` yet; this one is counted among them.
            let open = self.channels.desk.counts.borrow().of_class(class).open().saturating_sub(1) as usize;
            open.max(here(&|entry| entry.class == work.class)) >= limit
        });
        let of = (f64::from(self.settings.cores) * self.settings.crowd_multiple).max(1.0) as usize;
        let tenant = work.tenant.and_then(|tenant| self.settings.tenants.get(tenant));
        let places = tenant.and_then(|tenant| table.tenant_slots(&tenant.name, of));
        full || places.is_some_and(|places| here(&|entry| entry.tenant == work.tenant) >= places)
    }

    /// Guards against a run of a request that was complete only after the grace, whatever arrival time it
    /// names. The module gets the present time as its arrival, and the time left until its caller stops
    /// waiting.
    fn adjust_late_arrival(&self, work: &mut Work) {
        let Some(arrived) = work.arrived.filter(|_| self.grace_until.is_some_and(|end| self.now > end))
        else {
            return;
        };
        let deadline = self.settings.classes[work.class].deadline;
        let waited = self.now + self.epoch - arrived;
        // One with an invalid arrival time is refused for that later.
        if waited > 0.0 && waited <= deadline + MAX_QUEUEING_BEYOND_DEADLINE_SECONDS {
            work.caller_timeout =
                Some((work.caller_timeout.map_or(deadline, |waits| waits.min(deadline)) - waited).max(0.0));
            work.arrived = Some(self.now + self.epoch);
        }
    }

    /// Counts a request that is over, with the answer that it got.
    pub(super) fn count_end(&self, class: usize, answer: Option<&Answer>) {
        let how = match answer {
            Some(Answer::Served(_)) => Ended::Answered,
            Some(Answer::Refused { .. }) => Ended::Deferred,
            Some(_) => Ended::Errored,
            None => Ended::Left,
        };
        self.channels.desk.counts.borrow_mut().ended(&self.settings.classes[class].name, how);
    }

    /// Admits a request, or returns its reply channel with the answer that it gets at once.
    pub(super) fn admit(
        &mut self,
        id: RequestId,
        work: Work,
        reply: ReplyTo,
    ) -> Result<(), (ReplyTo, Answer)> {
        if self.module.is_none() {
            // The nodo cannot run requests before the interpreter is up.
            return Err((reply, self.refusal(work.key.as_ref(), self.settings.max_stay_away)));
        }
        if self.by_uid.contains_key(&work.uid) {
            return Err((reply, Answer::Bad));
        }
        // Arrival times outside the possible range are rejected, as the module learns from them.
        let arrived = work.arrived.map_or(self.now, |unix| unix - self.epoch);
        let deadline = self.settings.classes[work.class].deadline;
        if arrived > self.now + MAX_CLOCK_AHEAD_SECONDS
            || arrived < self.now - deadline - MAX_QUEUEING_BEYOND_DEADLINE_SECONDS
        {
            return Err((reply, Answer::Bad));
        }
        // Guards against an answer after the caller of this try has left: the time left of a request shrinks
        // with each try, and where callers' departures are not notified, only this field shows it. An answer
        // after the deadline of the class is useless to the caller, however long it says it waits.
        let time_left = work.caller_timeout.map(|waits| (arrived + waits - self.now).min(deadline).max(0.0));
        let arrived = arrived.max(self.now - deadline).min(self.now);
        let mut repeats = None;
        if let Some(key) = &work.key {
            let requests = &self.requests;
            let held = |id| requests.get(&id).is_some_and(|e| matches!(e.stage, Stage::Queued) && !e.started);
            match self.keys.register_try(
                key,
                digest(&self.settings.classes[work.class].name, &work.body),
                id,
                // Guards against a try that arrived within the window and was queued until after its end.
                arrived,
                held,
            ) {
                Ok(earlier) => repeats = earlier,
                Err(TryRejected::OtherBody) => {
                    return Err((reply, Answer::Bad));
                }
                // A key that cannot be remembered could run twice.
                Err(TryRejected::Full) => {
                    return Err((reply, self.refusal(Some(key), self.settings.max_stay_away)));
                }
            }
        }
        self.events.push(Event::Arrived(Request {
            id,
            class: work.class,
            tenant: work.tenant,
            caller: work.caller,
            waited: self.now - arrived,
            time_left,
            cost_hint: work.cost_hint,
            held_kb: work.held_kb,
            rank: work.rank,
            retry: work.resent,
            repeats,
        }));
        self.by_uid.insert(work.uid.clone(), id);
        self.owed += 1;
        let entry = Entry {
            uid: work.uid,
            class: work.class,
            key: work.key,
            body: work.body.into(),
            arrived,
            reply: Some(reply),
            stage: Stage::Queued,
            started: false,
            calls: 0,
            held_kb: work.held_kb,
            label: Label::default(),
            stale_since: None,
            tenant: work.tenant,
            table: self.table.clone(),
            by: None,
        };
        self.requests.insert(id, entry);
        Ok(())
    }

    /// Answers a request. The only function that does, and it consumes the reply channel, so each gets one
    /// answer.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        self.answer_or_left(id, answer, false);
    }

    pub(super) fn answer_or_left(&mut self, id: RequestId, answer: Answer, left: bool) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Some(reply) = entry.reply.take() else { return };
        let label = match answer {
            Answer::Served(_) if self.dependencies.is_some() => entry.label(self.now),
            _ => None,
        };
        let class = entry.class;
        if let Some(table) = &entry.table {
            let late = self.now - entry.arrived > self.settings.classes[class].deadline;
            let how = match answer {
                // A caller that left did not wait for the answer; an invalid request says nothing about a
                // table.
                _ if left => Some(Tried::Slow),
                Answer::Served(_) if late => Some(Tried::Slow),
                Answer::Served(_) => Some(Tried::InTime),
                Answer::Bad => None,
                _ => Some(Tried::Failed),
            };
            how.into_iter().for_each(|how| self.channels.desk.tally.borrow_mut().record(table, how));
        }
        self.count_end(class, (!left).then_some(&answer));
        reply.send(Reply { answer, feedback: self.caller_feedback(), label });
        self.owed -= 1;
        self.release(id);
    }

    pub(super) fn caller_gone(&mut self, id: RequestId) {
        if self.relayed_caller_gone(id) || self.waiting_caller_gone(id) {
            return;
        }
        if let Some(entry) = self.requests.get(&id).filter(|entry| entry.reply.is_some()) {
            // The module no longer has a request whose end is being recorded in the fleet.
            if !matches!(entry.stage, Stage::AwaitsRecord) {
                self.events.push(Event::Withdrawn { id });
            }
            self.answer_or_left(id, Answer::Failed, true);
        }
    }

    /// Removes an answered request, unless it still runs.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(&id) else { return };
        if entry.runs() {
            self.send_after(LOST_RUN_TIMEOUT, Input::RunLost { id });
            self.end_inherited(id);
        } else if !matches!(entry.stage, Stage::AwaitsRecord) {
            self.remove(id);
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.give_up_call(id);
        let Some(entry) = self.requests.remove(&id) else { return };
        self.by_uid.remove(&entry.uid);
        let class = &self.settings.classes[entry.class];
        if entry.started && matches!(class.repeat, Repeat::Unsafe) {
            // A balancer waits no longer than the deadline, so it does not send the request again after that.
            self.recent_ids.insert(entry.uid.clone(), self.now + class.deadline);
        }
        if let Some(key) = &entry.key {
            self.keys.release_try(key, id);
            if entry.started {
                self.key_ended(key, id, None);
            }
            self.report_key_to_partner(key);
            self.leaves_module(key, entry.started);
        }
    }

    /// Guards against a lost notice of a run's end: the run would occupy the module indefinitely.
    pub(super) fn run_lost(&mut self, id: RequestId) {
        if let Some(entry) = self.requests.get(&id).filter(|entry| entry.runs()) {
            log!(WARN, "the end of run {} was never reported", entry.uid);
            self.events.push(Event::Ended { id, outcome: Outcome::Stopped });
            self.remove(id);
        }
    }
}
