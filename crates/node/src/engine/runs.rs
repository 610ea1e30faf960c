//! Runs: commands to the interpreter and messages from it, including gauges.

use super::{CLOCK_START_SECONDS, Engine, GAUGES_TIMEOUT, Stage, WINDOW_SLACK_SECONDS};
use crate::engine::input::{Input, Message, RunEnd};
use crate::interpreter::Command;
use crate::log;
use crate::request::{Answer, Label};
use jaspershunt::{Controller, Event, Gauges, Outcome, Repeat, RequestId, StopMode};
use jaspershunt_capture::tap::Reason;
use jaspershunt_settings::gauge_by_name_mut;
use jaspershunt_work::End;
use std::rc::Rc;

impl Engine {
    pub(super) fn handle_interpreter_message(&mut self, message: Message) {
        match message {
            Message::Banner { cold, age } => self.interpreter_up(cold, age),
            Message::Value { uid, end, .. } => {
                if let Some(id) = self.by_uid.get(&uid).copied() {
                    self.run_ended(id, end);
                }
            }
            Message::Await { pos, uid, content } => {
                let Some(id) = self.by_uid.get(&uid).copied() else { return };
                self.give_up_call(id);
                let Some(entry) = self.requests.get_mut(&id).filter(|entry| entry.runs()) else { return };
                entry.stage = Stage::AtCall { pos, content: content.into(), made: None };
                entry.calls += 1;
                self.events.push(Event::CallWanted { id });
                self.end_inherited(id);
            }
            Message::AmbiguousReply { uid, .. } => {
                if let Some(id) = self.by_uid.get(&uid).copied() {
                    self.fail_run(id);
                }
            }
            Message::Gauges { tag, readings, .. } => {
                if tag != 0 && tag == self.tag {
                    let mut gauges = Gauges::default();
                    for (name, reading) in self.names.gauges.iter().zip(readings) {
                        if let Some(place) = gauge_by_name_mut(&mut gauges, name) {
                            *place = reading;
                        }
                    }
                    self.deliver_wakes(gauges);
                }
            }
            Message::Rejected { command, uid } => {
                // A stop command may cross the end of its run.
                if command != "BREAK" {
                    log!(WARN, "interpreter: {command} of {uid} was not carried out");
                }
                if let Some(id) = self.by_uid.get(&uid).copied()
                    && command == "APPLY"
                {
                    // Guards against a rejected request that would block its key for the request that the key
                    // belongs to.
                    if let Some(entry) = self.requests.get(&id).filter(|entry| entry.runs())
                        && let Some(key) = &entry.key
                    {
                        self.keys.never_ran(key, id);
                    }
                    self.run_ended(id, RunEnd::NotStarted);
                } else if let Some(id) = self.by_uid.get(&uid).copied()
                    && command == "CONTINUE"
                {
                    // No paused run is known there; what it did before the pause is unknown.
                    self.run_ended(id, RunEnd::Failed);
                }
            }
            Message::Remark { .. } => {}
        }
    }

    /// Creates the module once the interpreter is up, with its clock at the interpreter's start.
    pub(super) fn interpreter_up(&mut self, cold: bool, age: f64) {
        if self.module.is_some() {
            return;
        }
        self.settings.cold = cold;
        let Ok(mut module) = Controller::new(self.settings.clone()) else { return };
        let mut actions = Vec::new();
        module.step(self.now - age.min(CLOCK_START_SECONDS), &[], &mut actions);
        self.module = Some(module);
        for action in actions {
            self.execute(action);
        }
        self.channels.desk.up.set(true);
        self.request_handover();
        self.begin_handover();
        // The notice to leave may have come before the interpreter was up.
        self.notify_leave();
        log!("interpreter is up since {age:.3} s, {}", if cold { "cold" } else { "warm" });
    }

    /// Starts a run, or resumes a paused one. The module keeps keyed requests from running twice; this checks
    /// the rule again by the nodo's own record of runs: a try whose key ran gets the result of that run.
    pub(super) fn start_run(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(&id) else { return };
        let resumes = entry.started && self.settings.halt == StopMode::Pause;
        if let Some(key) = entry.key.clone()
            && !resumes
        {
            if self.keys.run_state(&key).is_some() {
                log!(ERROR, "request {} must not run: another try of its key ran", entry.uid);
                self.write_capture(Reason::Guard);
                return self.answer_from_key(id);
            }
            let until = entry.arrived + self.window_of(entry.class) + WINDOW_SLACK_SECONDS;
            if !self.keys.start_run(&key, id, until) {
                log!(ERROR, "request {} must not run: its key is not registered", entry.uid);
                self.write_capture(Reason::Guard);
                return self.serve_from(id, None);
            }
        }
        let Some(entry) = self.requests.get_mut(&id) else { return };
        entry.stage = Stage::Running;
        entry.started = true;
        if !resumes {
            // A restarted run requests its calls again.
            (entry.calls, entry.label, entry.stale_since) = (0, Label::default(), None);
        }
        let command = if resumes {
            // The interpreter still has the paused run, and would ignore a command to start it again.
            Command::Continue { uid: entry.uid.clone() }
        } else {
            let class = self.classes[entry.class].clone();
            Command::Apply { uid: entry.uid.clone(), class, body: entry.body.clone() }
        };
        let class = entry.class;
        if !self.send_command(command) {
            self.run_ended(id, RunEnd::NotStarted);
        } else if !resumes {
            self.channels.desk.counts.borrow_mut().run_sent(&self.settings.classes[class].name);
        }
    }

    pub(super) fn run_ended(&mut self, id: RequestId, end: RunEnd) {
        // Cancels a pending call of the run.
        self.give_up_call(id);
        let Some(entry) = self.requests.get_mut(&id).filter(|entry| entry.runs()) else { return };
        entry.stage = Stage::Queued;
        let key = entry.key.clone();
        let over = entry.reply.is_none();
        let paused = matches!(end, RunEnd::Stopped) && self.settings.halt == StopMode::Pause && !over;
        let of_fleet = match &end {
            RunEnd::Done(result) => Some((End::Done(result.clone()), Outcome::Done)),
            // Which calls it made before it failed is not known here.
            RunEnd::Failed => Some((End::Unknown, Outcome::Failed)),
            RunEnd::Stopped if over => Some((End::Unknown, Outcome::Stopped)),
            // It is paused, or nothing of it ran: the module decides what follows.
            RunEnd::Stopped | RunEnd::NotStarted => None,
        };
        if let (Some(key), Some((work_end, outcome))) = (&key, of_fleet)
            && self.record_end_in_fleet(id, key, work_end)
        {
            // The cores are free even if the answer is sent later.
            return self.events.push(Event::Ended { id, outcome });
        }
        let outcome = match end {
            RunEnd::Done(result) => {
                let result: Rc<[u8]> = result.into();
                if let Some(key) = &key {
                    self.key_ended(key, id, Some(result.clone()));
                }
                self.answer(id, Answer::Served(result));
                Outcome::Done
            }
            RunEnd::Failed => {
                self.answer(id, Answer::Failed);
                Outcome::Failed
            }
            RunEnd::Stopped => Outcome::Stopped,
            RunEnd::NotStarted => Outcome::NotStarted,
        };
        // Guards against a paused run whose key counts as failed from the pause on, so that the waiting tries
        // fail and its later result is lost.
        if let Some(key) = &key
            && !paused
        {
            self.key_ended(key, id, None);
        }
        if over {
            self.remove(id);
        }
        self.events.push(Event::Ended { id, outcome });
    }

    /// Fails a request whose run may have been given the reply to another call: nothing that it makes may be used.
    fn fail_run(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get(&id).filter(|entry| entry.runs()) else { return };
        log!(
            WARN,
            "the run of request {} may have a wrong reply after a break of the link, and fails",
            entry.uid
        );
        if self.settings.halt != StopMode::Never {
            self.send_command(Command::Break { uid: entry.uid.clone() });
        }
        self.run_ended(id, RunEnd::Failed);
    }

    /// Refuses a try, if nothing of its key ran here; else fails it, which promises nothing.
    pub(super) fn refuse(&mut self, id: RequestId, stay_away: f64, last: bool) {
        let Some(entry) = self.requests.get(&id) else { return };
        let unsafe_ran = entry.started && !matches!(self.settings.classes[entry.class].repeat, Repeat::Safe);
        let key_ran = entry.key.as_ref().is_some_and(|key| self.keys.run_state(key).is_some());
        if unsafe_ran || key_ran {
            log!(ERROR, "request {} must not be refused: it or its key ran", entry.uid);
            self.write_capture(Reason::Guard);
            self.answer(id, Answer::Failed);
        } else {
            let answer = Answer::Refused { stay_away, last };
            if !self.refuse_recorded(id, &answer) {
                self.answer(id, answer);
            }
        }
    }

    pub(super) fn send_command(&self, command: Command) -> bool {
        let sent = self.channels.interpreter.try_send(command).is_ok();
        if !sent {
            log!(WARN, "interpreter: the command queue is full or closed");
        }
        sent
    }

    pub(super) fn ask_gauges(&mut self) {
        self.tag += 1;
        let tag = self.tag;
        if self.send_command(Command::Gauges { tag }) {
            self.send_after(GAUGES_TIMEOUT, Input::GaugesTimeout { tag });
        } else {
            self.deliver_wakes(Gauges::default());
        }
    }

    /// Delivers all waiting wakes to the module.
    pub(super) fn deliver_wakes(&mut self, gauges: Gauges) {
        // The gauges requested under the present tag have come, or are no longer waited for.
        self.tag += 1;
        let wakes = self.wakes.drain(..).map(|token| Event::Woke { token, gauges });
        self.events.extend(wakes);
    }
}
