//! Work recorded in the fleet while the module has it, and its ends.

use super::{ANSWER_MARGIN_SECONDS, Engine, Run, Stage, Waiting, answer_of, seconds};
use crate::engine::input::{FleetEvent, Input, RunEnd};
use crate::interpreter::Command;
use crate::keys::digest;
use crate::log;
use crate::request::{Answer, Key, ReplyTo, Work};
use jaspershunt::{CallerId, RequestId, StopMode};
use jaspershunt_work::bounds::MAX_RESULT_BYTES;
use jaspershunt_work::{End, Offer, RunResult};
use std::rc::Rc;
use std::time::Duration;

/// Memory assumed for a run of another nodo's work, in kilobytes: the replicated state does not contain it.
const SUCCESSOR_RUN_KB: f64 = 64.0;
/// First id of runs of other nodos' work.
const FIRST_INHERITED_ID: u64 = 1 << 60;

impl Engine {
    /// The token under which this process owns a key.
    pub(in crate::engine) fn token_of(&self, key: Option<&Key>) -> Option<(Key, u64)> {
        let key = key?;
        let run = self.handover.as_ref()?.runs.get(key)?;
        Some((key.clone(), run.token))
    }

    fn module_has_key(&self, key: &Key) -> bool {
        let run = self.handover.as_ref().and_then(|handover| handover.runs.get(key));
        run.is_some_and(|run| run.in_module)
    }

    fn has_try_in_module(&self, key: &Key, but: Option<RequestId>) -> bool {
        self.requests.iter().any(|(id, entry)| Some(*id) != but && entry.key.as_ref() == Some(key))
    }

    /// Starts work that is committed as begun under this token.
    pub(super) fn start_fleet_run(&mut self, token: u64, offer: Offer, taken: bool) {
        let key = Key::from(offer.key.as_str());
        let Some(handover) = &mut self.handover else { return };
        let fresh = Run { token, in_module: false, id: None, pending_refusal: None, committed_end: None };
        let run = handover.runs.entry(key.clone()).or_insert(fresh);
        run.token = token;
        if run.in_module {
            // The key was lost to another nodo and came back while its run continued: that run counts, and no
            // second one starts.
            return;
        }
        // Guards against a second run of a key by this nodo within its window, even if the key had another
        // owner in between.
        if self.keys.run_state(&key).is_some() {
            return self.report_run_result(&key, None, RunResult::OutcomeUnknown);
        }
        let first = (!taken).then(|| handover.waiting_for(&key).first().copied()).flatten();
        let waits = first.and_then(|id| Some((id, handover.waiting.remove(&id)?)));
        if taken || waits.is_some() {
            set_in_module(handover, &key);
        }
        match waits {
            Some((id, Waiting { work, reply, .. })) => {
                let class = work.class;
                if let Err((reply, answer)) = self.admit(id, work, reply) {
                    self.refuse_after_commit(&key, reply, class, answer);
                }
            }
            None if taken => self.inherit(&key, token, offer),
            None => self.report_run_result(&key, None, RunResult::NeverRan),
        }
    }

    /// Runs work taken over from another nodo.
    fn inherit(&mut self, key: &Key, token: u64, offer: Offer) {
        // The class no longer exists here, so nothing of it runs.
        let Ok(class) = self.names.class(&offer.class) else { return self.leaves_module(key, false) };
        let Some(handover) = &mut self.handover else { return };
        handover.inherited_count += 1;
        let id = RequestId(FIRST_INHERITED_ID + handover.inherited_count);
        let unix = self.now + self.epoch;
        let arrived = (seconds(offer.due_ms) - self.settings.classes[class].deadline).min(unix);
        // The interpreter and the dependencies identify the run by this, so it differs for each successor.
        let uid = format!("{:016x}", digest(&format!("{token}/{key}"), &offer.body));
        let work = Work {
            uid: uid.into(),
            class,
            tenant: offer.tenant.as_deref().and_then(|name| self.names.tenant(name)),
            caller: CallerId(0),
            arrived: Some(arrived),
            caller_timeout: None,
            resent: true,
            cost_hint: None,
            held_kb: SUCCESSOR_RUN_KB,
            rank: 0.0,
            key: Some(key.clone()),
            body: offer.body,
        };
        log!("work of class {} comes here from another nodo, under token {token}", offer.class);
        self.channels.desk.counts.borrow_mut().taken(&offer.class);
        if self.admit(id, work, ReplyTo::nobody()).is_err() {
            self.count_end(class, None);
            self.leaves_module(key, false);
        }
    }

    /// Ends an inherited run that waits for a call. The platform ends a waiting run as its request is
    /// answered, but inherited work has no request there: guards against a run, and all requests for its
    /// outcome, waiting indefinitely once the call was given up.
    pub(in crate::engine) fn end_inherited(&mut self, id: RequestId) {
        let Some(entry) =
            self.requests.get(&id).filter(|entry| id.0 >= FIRST_INHERITED_ID && entry.reply.is_none())
        else {
            return;
        };
        if !matches!(entry.stage, Stage::AtCall { .. }) {
            return;
        }
        let uid = entry.uid.clone();
        if self.settings.halt != StopMode::Drop || !self.send_command(Command::Break { uid }) {
            // The run cannot be stopped: its outcome is queried all the same.
            self.run_ended(id, RunEnd::Failed);
        }
    }

    /// Has the end of a key's run committed before it is answered, where the key is recorded in the fleet;
    /// returns whether it is.
    ///
    /// The record comes first: if this nodo were lost between an answer and its record, a successor could
    /// give a different answer. A recorded end that was not answered is returned to the next try.
    pub(in crate::engine) fn record_end_in_fleet(&mut self, id: RequestId, key: &Key, end: End) -> bool {
        if !self.module_has_key(key) {
            return false;
        }
        let ran = match end {
            End::Done(result) => {
                if result.len() > MAX_RESULT_BYTES {
                    let length = result.len();
                    log!(
                        ERROR,
                        "a result of {length} bytes is not recorded in the fleet: the maximum is {MAX_RESULT_BYTES}"
                    );
                }
                RunResult::Done(result)
            }
            _ => RunResult::OutcomeUnknown,
        };
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.stage = Stage::AwaitsRecord;
            let left = entry.arrived + self.settings.classes[entry.class].deadline
                - self.now
                - ANSWER_MARGIN_SECONDS;
            if entry.reply.is_some() {
                self.send_after(Duration::from_secs_f64(left.max(0.0)), Input::Fleet(FleetEvent::Due { id }));
            }
        }
        self.report_run_result(key, Some(id), ran);
        true
    }

    /// Reports the result of a key that has left the module.
    fn report_run_result(&mut self, key: &Key, id: Option<RequestId>, ran: RunResult) {
        let run = self.handover.as_mut().and_then(|handover| handover.runs.get_mut(key));
        let Some(run) = run else { return };
        run.in_module = false;
        run.id = id.or(run.id);
        let (token, committed_end) = (run.token, run.committed_end.take());
        // Guards against a try that waited for a run of its key whose end was never reported, and leaves
        // after it: reporting that nothing ran would let another nodo run the key again.
        let started = ran == RunResult::NeverRan && self.keys.run_state(key).is_some();
        let ran = if started { RunResult::OutcomeUnknown } else { ran };
        match committed_end {
            Some(end) => self.end_committed(key, &end),
            None => self.with_local_work(|own, _| own.on_run_result(key, token, ran)),
        }
    }

    /// Answers all tries that wait for a key, once its end is committed.
    pub(super) fn end_committed(&mut self, key: &Key, end: &End) {
        self.answer_waiting(key, end);
        let stay_away = self.settings.max_stay_away;
        let Some(handover) = &mut self.handover else { return };
        if let Some(run) = handover.runs.get_mut(key)
            && run.in_module
        {
            run.committed_end = Some(end.clone());
            return;
        }
        let Some(run) = handover.runs.remove(key) else { return };
        if let Some((reply, class, answer)) = run.pending_refusal {
            let answer = if *end == End::NeverRan { answer } else { answer_of(end, stay_away) };
            self.answer_outside_module(class, Some(reply), answer);
        }
        let result: Option<Rc<[u8]>> = match end {
            End::Done(result) => Some(result.as_slice().into()),
            _ => None,
        };
        if let Some(id) = run.id {
            if *end == End::NeverRan {
                self.keys.never_ran(key, id);
            } else {
                self.key_ended(key, id, result);
            }
            self.answer(id, answer_of(end, stay_away));
            self.remove(id);
        }
    }

    /// Refuses a try that never ran, once that is committed: another nodo may run it from then on.
    fn refuse_after_commit(&mut self, key: &Key, reply: ReplyTo, class: usize, answer: Answer) {
        let run = self.handover.as_mut().and_then(|handover| handover.runs.get_mut(key));
        let Some(run) = run.filter(|run| run.in_module) else {
            return self.answer_outside_module(class, Some(reply), answer);
        };
        let before = run.pending_refusal.replace((reply, class, answer));
        self.fail_refused(before);
        self.leaves_module(key, false);
    }

    /// Fails a try whose pending refusal is replaced by that of a further try; guards against it getting no
    /// answer.
    fn fail_refused(&self, before: Option<(ReplyTo, usize, Answer)>) {
        if let Some((reply, class, _)) = before {
            self.answer_outside_module(class, Some(reply), Answer::Failed);
        }
    }

    /// Refuses a try that is recorded in the fleet, as the module decided; returns whether it was recorded.
    pub(in crate::engine) fn refuse_recorded(&mut self, id: RequestId, answer: &Answer) -> bool {
        let Some(entry) = self.requests.get(&id) else { return false };
        let Some(key) = entry.key.clone() else { return false };
        if entry.started || !self.module_has_key(&key) {
            return false;
        }
        let others = self.has_try_in_module(&key, Some(id));
        let Some(entry) = self.requests.get_mut(&id) else { return false };
        let (class, Some(reply)) = (entry.class, entry.reply.take()) else { return false };
        self.owed -= 1;
        if others {
            self.answer_outside_module(class, Some(reply), answer.clone());
        } else {
            self.refuse_last_try(&key, reply, class, answer.clone());
        }
        self.remove(id);
        true
    }

    fn refuse_last_try(&mut self, key: &Key, reply: ReplyTo, class: usize, answer: Answer) {
        let run = self.handover.as_mut().and_then(|handover| handover.runs.get_mut(key));
        let before = run.and_then(|run| run.pending_refusal.replace((reply, class, answer)));
        self.fail_refused(before);
        self.report_run_result(key, None, RunResult::NeverRan);
    }

    /// Reports the end of a key as the last try of it leaves the module, unless its end is already being
    /// committed.
    pub(in crate::engine) fn leaves_module(&mut self, key: &Key, started: bool) {
        if self.module_has_key(key) && !self.has_try_in_module(key, None) {
            // A run that was started and whose end is unknown may have had its effect.
            self.report_run_result(
                key,
                None,
                if started { RunResult::OutcomeUnknown } else { RunResult::NeverRan },
            );
        }
    }
}

fn set_in_module(handover: &mut super::Handover, key: &Key) {
    if let Some(run) = handover.runs.get_mut(key) {
        run.in_module = true;
    }
}
