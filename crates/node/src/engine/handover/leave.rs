//! What the fleet is told of this nodo: what it could take, and that it leaves.

use super::{Engine, PROPOSE_WITHIN, ms};
use crate::engine::input::{Came, Input, Word};
use crate::fleet;
use crate::log;
use jaspershunt_work::{Entry, LocalWork, Outcome};
use std::time::Duration;
use tokio::task::spawn_local;

/// Seconds before all must be answered at which a nodo that leaves hands over what it has not ended: an entry's way, twice.
const HAND_OVER_AHEAD: f64 = 0.3;
/// How often it is seen whether what this nodo could take has changed; a word on it goes out no more often.
const ROOM_EVERY: Duration = Duration::from_secs(1);
/// Told again when it has changed by this part.
const ROOM_STEP: f64 = 0.25;

impl Engine {
    /// Begins to tell the fleet what this nodo could take.
    pub(in crate::engine) fn begin_handover(&self) {
        if self.handover.is_some() {
            self.after(Duration::ZERO, Input::Handover(Word::TellRoom));
        }
    }

    pub(super) fn tell_room(&mut self) {
        self.after(ROOM_EVERY, Input::Handover(Word::TellRoom));
        let way = self.ways.desk.fleet.borrow().clone();
        let (Some(way), Some(handover)) = (way, &mut self.handover) else { return };
        let most = f64::from(self.settings.cores) * self.settings.crowd_multiple;
        let runs = self.requests.values().filter(|entry| entry.runs()).count() as f64;
        let room = if self.stop_at.is_some() { 0 } else { (most - runs).max(0.0) as u32 };
        let same = |told: u32| f64::from(told.abs_diff(room)) <= f64::from(told) * ROOM_STEP;
        if handover.told.as_ref().is_some_and(|(by, told)| *by == way.me && same(*told)) {
            return;
        }
        handover.told = Some((way.me.clone(), room));
        let entry =
            Entry::Capacity { holder: way.me.clone(), region: handover.region.clone(), capacity: room };
        self.later(async move {
            let came = fleet::propose(&way, &entry, PROPOSE_WITHIN).await;
            Word::RoomTold { agreed: came == Came::Agreed(Outcome::Done) }
        });
    }

    /// The nodo leaves: what it cannot end in its grace goes to others just before.
    pub(in crate::engine) fn leave_fleet_later(&self) {
        if self.handover.is_some() {
            let left = self.stop_at.map_or(0.0, |at| at - self.now) - HAND_OVER_AHEAD;
            self.after(Duration::from_secs_f64(left.max(0.0)), Input::Handover(Word::HandOver));
        }
    }

    pub(super) fn hand_over(&mut self) {
        // Guards against callers that are answered by their deadline alone, which may be after this nodo's end.
        self.give_up_waiting();
        let way = self.ways.desk.fleet.borrow().clone();
        let Some(handover) = &self.handover else { return };
        let desk = self.ways.desk.clone();
        let (Some(way), 1..) = (way, handover.own.as_ref().map_or(0, LocalWork::in_flight)) else {
            return desk.handed.set(true);
        };
        log!("{} requests in hand go to other nodos", handover.own.as_ref().map_or(0, LocalWork::in_flight));
        let entry = Entry::HandOver { by: way.me.clone(), now_ms: ms(self.now + self.epoch) };
        spawn_local(async move {
            // Whatever comes of it: what is held by a start that has gone is an heir's as well.
            let _ = fleet::propose(&way, &entry, Duration::from_secs_f64(HAND_OVER_AHEAD)).await;
            desk.handed.set(true);
        });
    }
}
