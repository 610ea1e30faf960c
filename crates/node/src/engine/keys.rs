//! Tries of one key: those that wait for its run get its result.

use super::upgrade::longest;
use super::{Engine, Stage, WINDOW_SLACK_SECONDS};
use crate::keys::RunState;
use crate::request::{Answer, Key};
use jaspershunt::{Event, Outcome, Repeat, RequestId, Settings};
use jaspershunt_settings::Names;
use std::rc::Rc;

/// The window in force for the keys of the class of this name; 0 where the class is not keyed.
fn current_window(settings: &Settings, names: &Names, name: &str) -> f64 {
    match names.class(name).map(|place| settings.classes[place].repeat) {
        Ok(Repeat::Keyed(window)) => window,
        _ => 0.0,
    }
}

impl Engine {
    /// Forgets keys whose window has passed. They are kept for the longest queueing delay after which a
    /// request may still run, as a request counts by its arrival.
    pub(super) fn expire_keys(&mut self) {
        self.keys.expire(self.now - longest(&self.settings, |class| class.deadline));
    }

    /// The window of a key whose run begins now: the longer of those in the settings at its arrival and the
    /// settings in force.
    pub(super) fn window_of(&self, class: usize) -> f64 {
        let class = &self.settings.classes[class];
        let own = if let Repeat::Keyed(window) = class.repeat { window } else { 0.0 };
        own.max(current_window(&self.settings, &self.names, &class.name))
    }

    /// Extends the windows of remembered keys before new settings come into force. Guards against a key that
    /// ran under a shorter window and would run again within the longer one. Shorter windows do not affect
    /// keys that ran. The class of a key is not stored, so all are extended by the largest change; a class
    /// that is new may have existed earlier.
    pub(super) fn lengthen_windows(&mut self, settings: &Settings, names: &Names) {
        let window = |name| current_window(settings, names, name);
        let longer = |name| window(name) - current_window(&self.settings, &self.names, name);
        let by = names.classes().map(longer).fold(0.0, f64::max);
        if by > 0.0 {
            let longest = names.classes().map(window).fold(0.0, f64::max);
            // Every key that ran has arrived by now.
            self.extend_windows(by, self.now + longest + WINDOW_SLACK_SECONDS);
        }
    }

    /// Records the end of a key's run and answers the tries that wait for it. Only the first report counts.
    pub(super) fn key_ended(&mut self, key: &Key, id: RequestId, result: Option<Rc<[u8]>>) {
        self.keys.end_run(key, id, result.clone());
        self.report_key_to_partner(key);
        self.serve_followers(key, result);
    }

    pub(super) fn serve_from(&mut self, id: RequestId, result: Option<Rc<[u8]>>) {
        if self.requests.get(&id).is_none_or(|entry| entry.reply.is_none()) {
            return;
        }
        let (answer, outcome) = match result {
            Some(result) => (Answer::Served(result), Outcome::Done),
            None => (Answer::Failed, Outcome::Failed),
        };
        self.answer(id, answer);
        self.events.push(Event::Ended { id, outcome });
    }

    /// Answers a try with the result of its key's run, now or when that ends.
    pub(super) fn answer_from_key(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Some(key) = entry.key.clone() else {
            return self.serve_from(id, None);
        };
        match self.keys.run_state(&key).cloned() {
            Some(RunState::Running) => {
                entry.stage = Stage::AwaitsKey;
                self.followers.entry(key).or_default().push(id);
            }
            Some(RunState::Done(result)) => self.serve_from(id, Some(result)),
            Some(RunState::Failed) | None => self.serve_from(id, None),
        }
    }
}
