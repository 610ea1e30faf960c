//! Tries of one key: those that wait for its run get what it makes.

use super::upgrade::longest;
use super::{Engine, Stage, WINDOW_SLACK_SECONDS};
use crate::keys::RunState;
use crate::request::{Answer, Key};
use jaspershunt::{Event, Outcome, Repeat, RequestId, Settings};
use jaspershunt_settings::Names;
use std::rc::Rc;

/// The window in force for the keys of the class of this name; 0 where there are none.
fn current_window(settings: &Settings, names: &Names, name: &str) -> f64 {
    match names.class(name).map(|place| settings.classes[place].repeat) {
        Ok(Repeat::Keyed(window)) => window,
        _ => 0.0,
    }
}

impl Engine {
    /// Forgets keys whose window has passed. They stay for as long as a request can lie unread and still be
    /// run, since one that came within the window is judged by when it came.
    pub(super) fn expire_keys(&mut self) {
        self.keys.expire(self.now - longest(&self.settings, |class| class.deadline));
    }

    /// How long a key is remembered whose run begins now: by the settings that its request came under, and by
    /// those in force.
    pub(super) fn window_of(&self, class: usize) -> f64 {
        let class = &self.settings.classes[class];
        let own = if let Repeat::Keyed(window) = class.repeat { window } else { 0.0 };
        own.max(current_window(&self.settings, &self.names, &class.name))
    }

    /// Has keys remembered for the windows of settings that come into force. Guards against a key that ran
    /// under a shorter window and would run again within the longer one. A window that gets shorter takes
    /// nothing from keys that ran. What class a key is of is not kept, so all stay for the largest change; a
    /// class that was not there may have been before.
    pub(super) fn lengthen_windows(&mut self, settings: &Settings, names: &Names) {
        let window = |name| current_window(settings, names, name);
        let longer = |name| window(name) - current_window(&self.settings, &self.names, name);
        let by = names.classes().map(longer).fold(0.0, f64::max);
        if by > 0.0 {
            let longest = names.classes().map(window).fold(0.0, f64::max);
            // Whatever ran has come by now.
            self.keys.extend_windows(by, self.now + longest + WINDOW_SLACK_SECONDS);
        }
    }

    /// The run of a key is over: those that wait for it get what it made. Only the first report counts.
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

    /// Answers a try with what the run of its key makes or made.
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
