//! Calls of runs to a single dependency; [`super::dependencies`] handles several.

use super::{Engine, Stage};
use crate::database;
use crate::engine::input::CallEnd;
use crate::interpreter::Command;
use jaspershunt::{Event, Outcome, Repeat, RequestId};
use std::time::Duration;
use tokio::sync::oneshot;

impl Engine {
    pub(super) fn call_ended(&mut self, id: RequestId, number: u64, end: CallEnd, took: f64) {
        if self.dependencies.is_some() {
            return self.attempt_ended(number, end, took);
        }
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Stage::AtCall { made, .. } = &mut entry.stage else { return };
        // Ignores a call that was cancelled for a later one.
        if made.as_ref().is_none_or(|(made, _)| *made != number) {
            return;
        }
        *made = None;
        if end.outcome == Outcome::Done {
            entry.stage = Stage::Running;
            let uid = entry.uid.clone();
            self.send_command(Command::Resolve { uid, content: end.body.into() });
        }
        self.events.push(Event::CallEnded { id, outcome: end.outcome, took });
    }

    pub(super) fn make_call(&mut self, id: RequestId, give_up_after: f64) {
        // Cancels an earlier call of this request.
        self.give_up_call(id);
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Stage::AtCall { made, .. } = &mut entry.stage else { return };
        let deadline = self.settings.classes[entry.class].deadline;
        let give_up_after = if give_up_after > 0.0 { give_up_after.min(deadline) } else { deadline };
        self.calls += 1;
        let number = self.calls;
        if self.dependencies.is_some() {
            *made = Some((number, None));
            return self.start_call_at_dependencies(id, number, Duration::from_secs_f64(give_up_after));
        }
        let (give_up, given_up) = oneshot::channel();
        *made = Some((number, Some(give_up)));
        let key = entry.key.clone();
        let fence = self.token_of(key.as_ref());
        let Some(entry) = self.requests.get(&id) else { return };
        let Stage::AtCall { content, .. } = &entry.stage else { return };
        let call = database::Call {
            id,
            number,
            uid: entry.uid.clone(),
            body: content.clone(),
            to: None,
            once: self.settings.classes[entry.class].repeat != Repeat::Safe,
            give_up_after: Duration::from_secs_f64(give_up_after),
            given_up,
            fence,
        };
        if self.channels.database.try_send(call).is_err() {
            self.call_ended(id, number, database::not_made(), 0.0);
        }
    }
}
