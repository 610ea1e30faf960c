//! Requests as they come and go: what reaches the module, and the one place from which they are answered.

use super::{AHEAD, BEHIND, Engine, Entry, LOST_AFTER, Place};
use crate::counts::Ended;
use crate::engine::input::Input;
use crate::keys::{TryRejected, digest};
use crate::log;
use crate::request::{Answer, Label, Reply, ReplyTo, Work};
use crate::upgrade::claims::{Claims, Placement};
use jaspershunt::{Event, Outcome, Request, RequestId};
use jaspershunt_routes::trial::RequestEnd as Tried;

/// Whom the route table has no room for is told to stay away so long, in seconds. Ours: about what a request takes.
const OVER_TABLE_FOR: f64 = 1.0;

impl Engine {
    pub(super) fn arrive(&mut self, id: RequestId, mut work: Work, reply: ReplyTo) {
        self.comes_late(&mut work);
        let goes = if self.claims == Claims::Owned { Placement::Local } else { self.place(&work) };
        if goes == Placement::Remote {
            return self.relay(id, work, reply);
        }
        let class = work.class;
        self.ways.desk.counts.borrow_mut().taken(&self.settings.classes[class].name);
        let admitted = match goes {
            Placement::Rejected => Err((reply, Answer::Failed)),
            // Before the fleet holds it: what another nodo began is gone on with, however many there are.
            _ if self.is_over_table(&work) => {
                if let Some(table) = &self.table {
                    // Guards against a table that turns all away and is judged by the few that it lets in.
                    self.ways.desk.tally.borrow_mut().record(table, Tried::Failed);
                }
                let stay_away = self.settings.max_stay_away.min(OVER_TABLE_FOR);
                Err((reply, Answer::Refused { stay_away, last: false }))
            }
            _ if self.is_handed_over(&work) => return self.offer(id, work, reply),
            _ => self.admit(id, work, reply),
        };
        if let Err((reply, answer)) = admitted {
            // It never reached the module, and is over.
            self.count_end(class, Some(&answer));
            reply.send(Reply::new(answer, self.says()));
        }
    }

    /// Whether the route table has no room for another request of this class or tenant. It goes for all requests that are here, whichever
    /// table they began with; those whose callers left count as long as they run.
    fn is_over_table(&self, work: &Work) -> bool {
        let Some(table) = &self.table else { return false };
        let here = |is: &dyn Fn(&Entry) -> bool| self.requests.values().filter(|entry| is(entry)).count();
        let class = &self.settings.classes[work.class].name;
        let full = table.class_limit(class).is_some_and(|limit| {
            // Those that the fleet is asked to hold are not here yet; this one is counted with them.
            let open = self.ways.desk.counts.borrow().of(class).open().saturating_sub(1) as usize;
            open.max(here(&|entry| entry.class == work.class)) >= limit
        });
        let of = (f64::from(self.settings.cores) * self.settings.crowd_multiple).max(1.0) as usize;
        let tenant = work.tenant.and_then(|tenant| self.settings.tenants.get(tenant));
        let places = tenant.and_then(|tenant| table.tenant_slots(&tenant.name, of));
        full || places.is_some_and(|places| here(&|entry| entry.tenant == work.tenant) >= places)
    }

    /// Guards against a run of what came after the grace: a request has come with its last byte, whatever time its first one
    /// names. The module then hears that it came now, and still when its caller stops waiting.
    fn comes_late(&self, work: &mut Work) {
        let Some(arrived) = work.arrived.filter(|_| self.grace_until.is_some_and(|end| self.now > end))
        else {
            return;
        };
        let deadline = self.settings.classes[work.class].deadline;
        let waited = self.now + self.epoch - arrived;
        // One whose time makes no sense is turned away for that.
        if waited > 0.0 && waited <= deadline + BEHIND {
            work.waits = Some((work.waits.map_or(deadline, |waits| waits.min(deadline)) - waited).max(0.0));
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
        self.ways.desk.counts.borrow_mut().ended(&self.settings.classes[class].name, how);
    }

    /// Takes a request on, or gives back the way to its caller with the answer that it gets at once.
    pub(super) fn admit(
        &mut self,
        id: RequestId,
        work: Work,
        reply: ReplyTo,
    ) -> Result<(), (ReplyTo, Answer)> {
        if self.module.is_none() {
            // No request comes before the interpreter is up; one that does finds a nodo that cannot run it.
            let stay_away = self.settings.max_stay_away;
            return Err((reply, Answer::Refused { stay_away, last: false }));
        }
        if self.by_uid.contains_key(&work.uid) {
            return Err((reply, Answer::Bad));
        }
        // A peer's word is taken only within what a request can have waited: the module learns from these times.
        let arrived = work.arrived.map_or(self.now, |unix| unix - self.epoch);
        let deadline = self.settings.classes[work.class].deadline;
        if arrived > self.now + AHEAD || arrived < self.now - deadline - BEHIND {
            return Err((reply, Answer::Bad));
        }
        // Guards against an answer that is given when the caller of this try has long left: what is left of a request's time
        // gets less with each try, and nothing but this tells so where no notice comes of callers that leave. A caller that
        // says to wait beyond the deadline of its class has no use for an answer then.
        let time_left = work.waits.map(|waits| (arrived + waits - self.now).min(deadline).max(0.0));
        let arrived = arrived.max(self.now - deadline).min(self.now);
        let mut repeats = None;
        if let Some(key) = &work.key {
            let requests = &self.requests;
            let held = |id| requests.get(&id).is_some_and(|e| matches!(e.place, Place::Held) && !e.started);
            match self.keys.register_try(
                key,
                digest(&self.settings.classes[work.class].name, &work.body),
                id,
                // Guards against a try that came within the window and was read after it, behind much else.
                arrived,
                held,
            ) {
                Ok(earlier) => repeats = earlier,
                Err(TryRejected::OtherBody) => {
                    return Err((reply, Answer::Bad));
                }
                // What cannot be remembered cannot be kept from running twice.
                Err(TryRejected::Full) => {
                    let stay_away = self.settings.max_stay_away;
                    return Err((reply, Answer::Refused { stay_away, last: false }));
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
            place: Place::Held,
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

    /// The one place from which requests are answered: the way there is used up with the answer.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        self.answer_or_left(id, answer, false);
    }

    pub(super) fn answer_or_left(&mut self, id: RequestId, answer: Answer, left: bool) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Some(reply) = entry.reply.take() else { return };
        let label = match answer {
            Answer::Served(_) if self.several.is_some() => entry.label(self.now),
            _ => None,
        };
        let class = entry.class;
        if let Some(table) = &entry.table {
            let late = self.now - entry.arrived > self.settings.classes[class].deadline;
            let how = match answer {
                // Whoever left did not wait for it; what came by a fault of its own says nothing of a table.
                _ if left => Some(Tried::Slow),
                Answer::Served(_) if late => Some(Tried::Slow),
                Answer::Served(_) => Some(Tried::InTime),
                Answer::Bad => None,
                _ => Some(Tried::Failed),
            };
            how.into_iter().for_each(|how| self.ways.desk.tally.borrow_mut().record(table, how));
        }
        self.count_end(class, (!left).then_some(&answer));
        reply.send(Reply { answer, say: self.says(), label });
        self.owed -= 1;
        self.let_go(id);
    }

    pub(super) fn gone(&mut self, id: RequestId) {
        if self.relay_gone(id) || self.waiting_gone(id) {
            return;
        }
        if let Some(entry) = self.requests.get(&id).filter(|entry| entry.reply.is_some()) {
            // The module knows nothing any more of one whose end is on the way to the fleet.
            if !matches!(entry.place, Place::Recorded) {
                self.events.push(Event::Withdrawn { id });
            }
            self.answer_or_left(id, Answer::Failed, true);
        }
    }

    /// No answer is owed any more: the request is over, unless it still runs.
    pub(super) fn let_go(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(&id) else { return };
        if entry.runs() {
            self.after(LOST_AFTER, Input::Lost { id });
            self.end_inherited(id);
        } else if !matches!(entry.place, Place::Recorded) {
            self.remove(id);
        }
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        self.give_up_call(id);
        let Some(entry) = self.requests.remove(&id) else { return };
        self.by_uid.remove(&entry.uid);
        if let Some(key) = &entry.key {
            self.keys.release_try(key, id);
            if entry.started {
                self.key_ended(key, id, None);
            }
            self.tell_of_key(key);
            self.leaves_module(key, entry.started);
        }
    }

    /// Guards against a notice that never comes: the run would take a place in the module for ever.
    pub(super) fn lost(&mut self, id: RequestId) {
        if let Some(entry) = self.requests.get(&id).filter(|entry| entry.runs()) {
            log!(WARN, "the end of run {} was never heard of", entry.uid);
            self.events.push(Event::Ended { id, outcome: Outcome::Stopped });
            self.remove(id);
        }
    }
}
