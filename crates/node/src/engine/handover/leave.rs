//! What the fleet is told of this nodo: what it could take, and that it leaves.

use super::{Engine, PROPOSE_TIMEOUT, ms};
use crate::engine::input::{FleetEvent, Input, ProposalResult};
use crate::fleet;
use crate::log;
use jaspershunt_work::{Entry, LocalWork, Outcome};
use std::time::Duration;
use tokio::task::spawn_local;

/// Seconds before all must be answered at which a nodo that leaves hands over what it has not ended: an entry's way, twice.
const HAND_OVER_MARGIN_SECONDS: f64 = 0.3;
/// How often it is seen whether what this nodo could take has changed; a word on it goes out no more often.
const CAPACITY_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Told again when it has changed by this part.
const CAPACITY_REPORT_STEP: f64 = 0.25;

impl Engine {
    /// Begins to tell the fleet what this nodo could take.
    pub(in crate::engine) fn begin_handover(&self) {
        if self.handover.is_some() {
            self.send_after(Duration::ZERO, Input::Fleet(FleetEvent::ReportCapacity));
        }
    }

    pub(super) fn report_capacity(&mut self) {
        self.send_after(CAPACITY_REPORT_INTERVAL, Input::Fleet(FleetEvent::ReportCapacity));
        let way = self.channels.desk.fleet.borrow().clone();
        let (Some(way), Some(handover)) = (way, &mut self.handover) else { return };
        let most = f64::from(self.settings.cores) * self.settings.crowd_multiple;
        let runs = self.requests.values().filter(|entry| entry.runs()).count() as f64;
        let room = if self.stop_at.is_some() { 0 } else { (most - runs).max(0.0) as u32 };
        let same = |told: u32| f64::from(told.abs_diff(room)) <= f64::from(told) * CAPACITY_REPORT_STEP;
        if handover.reported_capacity.as_ref().is_some_and(|(by, told)| *by == way.me && same(*told)) {
            return;
        }
        handover.reported_capacity = Some((way.me.clone(), room));
        let entry =
            Entry::Capacity { holder: way.me.clone(), region: handover.region.clone(), capacity: room };
        self.spawn_fleet_task(async move {
            let came = fleet::propose(&way, &entry, PROPOSE_TIMEOUT).await;
            FleetEvent::CapacityReported { committed: came == ProposalResult::Committed(Outcome::Done) }
        });
    }

    /// The nodo leaves: what it cannot end in its grace goes to others just before.
    pub(in crate::engine) fn schedule_hand_over(&self) {
        if self.handover.is_some() {
            let left = self.stop_at.map_or(0.0, |at| at - self.now) - HAND_OVER_MARGIN_SECONDS;
            self.send_after(Duration::from_secs_f64(left.max(0.0)), Input::Fleet(FleetEvent::HandOver));
        }
    }

    pub(super) fn hand_over(&mut self) {
        // Guards against callers that are answered by their deadline alone, which may be after this nodo's end.
        self.give_up_waiting();
        let way = self.channels.desk.fleet.borrow().clone();
        let Some(handover) = &self.handover else { return };
        let desk = self.channels.desk.clone();
        let (Some(way), 1..) = (way, handover.local_work.as_ref().map_or(0, LocalWork::in_flight)) else {
            return desk.handed.set(true);
        };
        log!(
            "{} requests in hand go to other nodos",
            handover.local_work.as_ref().map_or(0, LocalWork::in_flight)
        );
        let entry = Entry::HandOver { by: way.me.clone(), now_ms: ms(self.now + self.epoch) };
        spawn_local(async move {
            // Whatever comes of it: what is held by a start that has gone is an heir's as well.
            let _ = fleet::propose(&way, &entry, Duration::from_secs_f64(HAND_OVER_MARGIN_SECONDS)).await;
            desk.handed.set(true);
        });
    }
}
