//! Tries from callers: each is offered to the fleet, and waits outside the module for the result.

use super::{ANSWER_MARGIN_SECONDS, Engine, MAX_WAITING, Stage, Waiting, answer_of, effect, ms};
use crate::engine::input::{FleetEvent, Input};
use crate::request::{Answer, Key, Reply, ReplyTo, Work};
use jaspershunt::{Repeat, RequestId};
use jaspershunt_operator::Full;
use jaspershunt_work::{End, Offer, Refusal};
use std::time::Duration;

impl Engine {
    /// Whether a try must be recorded in the fleet before it runs. One whose key is known here needs no
    /// record.
    pub(in crate::engine) fn needs_record(&self, work: &Work) -> bool {
        let Some(handover) = &self.handover else { return false };
        let class = &self.settings.classes[work.class].name;
        let known = |key: &Key| self.keys.contains(key);
        self.module.is_some()
            && handover.classes.contains_key(class)
            && work.key.as_ref().is_some_and(|key| !known(key))
    }

    /// Offers a try to the fleet. It does not reach the module before the outcome of the offer.
    pub(in crate::engine) fn offer(&mut self, id: RequestId, work: Work, reply: ReplyTo) {
        let unix = self.now + self.epoch;
        let (Some(handover), Some(key)) = (&mut self.handover, work.key.clone()) else { return };
        let class = &self.settings.classes[work.class];
        let arrived = work.arrived.unwrap_or(unix).clamp(unix - class.deadline, unix);
        let due = arrived + class.deadline;
        let left =
            work.caller_timeout.map_or(due, |waits| due.min(arrived + waits)) - ANSWER_MARGIN_SECONDS - unix;
        // Guards against a try that waits beyond this nodo's end.
        let left = self.stop_at.map_or(left, |at| left.min(at - self.now - ANSWER_MARGIN_SECONDS));
        let window = if let Repeat::Keyed(window) = class.repeat { window } else { 0.0 };
        let way = self.channels.desk.fleet.borrow().clone();
        let room = handover.waiting.len() < MAX_WAITING && left > 0.0;
        let (Some(way), true, Some(file)) = (way, room, handover.classes.get(&class.name)) else {
            // Nothing of this try runs; another nodo may have its key.
            let answer = self.refusal(Some(&key), self.settings.max_stay_away);
            return self.answer_outside_module(work.class, Some(reply), answer);
        };
        let offer = Offer {
            key: key.to_string(),
            class: class.name.clone(),
            tenant: work.tenant.and_then(|tenant| self.settings.tenants.get(tenant)).map(|t| t.name.clone()),
            body: work.body.clone(),
            due_ms: ms(due),
            window_ends_ms: ms(arrived + window),
            worth_milli: (class.worth.clamp(0.0, 1e6) * 1000.0) as u32,
            effect: effect(file),
        };
        handover.set_holder(&way.me);
        handover.waiting.insert(id, Waiting { work, reply, key: key.clone() });
        let mut came = Ok(());
        self.with_local_work(|own, now_ms| came = own.offer(offer, true, now_ms));
        match came {
            Ok(()) => self.send_after(Duration::from_secs_f64(left), Input::Fleet(FleetEvent::Due { id })),
            Err(why) => self.not_offered(id, &key, why),
        }
    }

    /// A try that this process cannot offer.
    fn not_offered(&mut self, id: RequestId, key: &Key, why: Refusal) {
        let Some(handover) = &mut self.handover else { return };
        let known = handover.local_work.as_ref().is_some_and(|own| own.contains(key));
        let Some(waits) = handover.waiting.remove(&id) else { return };
        match why {
            Refusal::TooLong => self.serve_unrecorded(id, waits),
            Refusal::OtherBody => {
                self.answer_outside_module(waits.work.class, Some(waits.reply), Answer::Bad)
            }
            // The maximum number of tries waits for this key here, or it has run: a refusal would state
            // falsely that nothing ran.
            _ if known => self.answer_outside_module(waits.work.class, Some(waits.reply), Answer::Failed),
            // Nothing of this try runs; another nodo may have its key.
            _ => {
                let answer = self.refusal(Some(key), self.settings.max_stay_away);
                self.answer_outside_module(waits.work.class, Some(waits.reply), answer);
            }
        }
    }

    /// Answers the tries of a key that the fleet did not record and this process has not run.
    pub(super) fn not_recorded(&mut self, key: &Key, why: Refusal) {
        let Some(handover) = &mut self.handover else { return };
        for id in handover.waiting_for(key) {
            let waits = self.handover.as_mut().and_then(|handover| handover.waiting.remove(&id));
            let Some(waits) = waits else { continue };
            let answer = match why {
                // No other nodo has it either.
                Refusal::Full | Refusal::TooLong => {
                    self.serve_unrecorded(id, waits);
                    continue;
                }
                Refusal::OtherBody => Answer::Bad,
                // Nothing of this try runs; another nodo may have its key.
                Refusal::NotPresent => self.refusal(Some(key), self.settings.max_stay_away),
                _ => Answer::Failed,
            };
            self.answer_outside_module(waits.work.class, Some(waits.reply), answer);
        }
    }

    /// Handles a try for which the replicated state has no room.
    fn serve_unrecorded(&mut self, id: RequestId, waits: Waiting) {
        let Waiting { work, reply, .. } = waits;
        let class = work.class;
        let name = &self.settings.classes[class].name;
        let full = self.handover.as_ref().and_then(|handover| handover.classes.get(name)).map(|h| h.full);
        let admitted = match full {
            Some(Full::Run) => self.admit(id, work, reply),
            // Nothing of it ran, here or elsewhere.
            _ => Err((reply, self.refusal(work.key.as_ref(), self.settings.max_stay_away))),
        };
        if let Err((reply, answer)) = admitted {
            self.answer_outside_module(class, Some(reply), answer);
        }
    }

    /// Answers a try that is not in the module.
    pub(super) fn answer_outside_module(&self, class: usize, reply: Option<ReplyTo>, answer: Answer) {
        self.count_end(class, reply.is_some().then_some(&answer));
        if let Some(reply) = reply {
            reply.send(Reply::new(answer, self.caller_feedback()));
        }
    }

    /// Answers all tries of a key that wait outside the module.
    pub(super) fn answer_waiting(&mut self, key: &Key, end: &End) {
        let stay_away = self.settings.max_stay_away;
        let Some(handover) = &mut self.handover else { return };
        for id in handover.waiting_for(key) {
            let waits = self.handover.as_mut().and_then(|handover| handover.waiting.remove(&id));
            if let Some(Waiting { work, reply, .. }) = waits {
                self.answer_outside_module(work.class, Some(reply), answer_of(end, stay_away));
            }
        }
    }

    /// Handles the disconnect of a caller whose try waits outside the module; returns whether there was one.
    pub(in crate::engine) fn waiting_caller_gone(&mut self, id: RequestId) -> bool {
        let waits = self.handover.as_mut().and_then(|handover| handover.waiting.remove(&id));
        let Some(Waiting { work, key, .. }) = waits else { return false };
        self.answer_outside_module(work.class, None, Answer::Failed);
        self.with_local_work(|own, _| own.client_left(&key));
        true
    }

    /// Answers all tries that wait for the fleet, as this process ends. The module does not have them.
    pub(in crate::engine) fn give_up_waiting(&mut self) {
        let waiting = self.handover.iter().flat_map(|handover| handover.waiting.keys());
        let recorded = self.requests.iter().filter(|(_, entry)| matches!(entry.stage, Stage::AwaitsRecord));
        for id in waiting.chain(recorded.map(|(id, _)| id)).copied().collect::<Vec<_>>() {
            self.wait_expired(id);
        }
    }

    /// Fails a try whose time to wait for the fleet is over.
    pub(super) fn wait_expired(&mut self, id: RequestId) {
        if let Some(waits) = self.handover.as_mut().and_then(|handover| handover.waiting.remove(&id)) {
            self.answer_outside_module(waits.work.class, Some(waits.reply), Answer::Failed);
            return self.with_local_work(|own, _| own.client_left(&waits.key));
        }
        if self.requests.get(&id).is_some_and(|entry| matches!(entry.stage, Stage::AwaitsRecord)) {
            self.answer(id, Answer::Failed);
        }
    }
}
