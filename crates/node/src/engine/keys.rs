//! Tries of one key: those that wait for its run get what it makes.

use super::{Engine, Place};
use crate::keys::Run;
use crate::request::{Answer, Key};
use jaspershunt::{Event, Outcome, RequestId};
use std::rc::Rc;

impl Engine {
    /// The run of a key is over: those that wait for it get what it made. Only the first report counts.
    pub(super) fn key_ended(&mut self, key: &Key, id: RequestId, result: Option<Rc<[u8]>>) {
        self.keys.ended(key, id, result.clone());
        self.tell_of_key(key);
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
    pub(super) fn follow(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Some(key) = entry.key.clone() else {
            return self.serve_from(id, None);
        };
        match self.keys.run(&key).cloned() {
            Some(Run::Running) => {
                entry.place = Place::Follows;
                self.followers.entry(key).or_default().push(id);
            }
            Some(Run::Done(result)) => self.serve_from(id, Some(result)),
            Some(Run::Failed) | None => self.serve_from(id, None),
        }
    }
}
