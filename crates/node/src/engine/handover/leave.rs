//! Reports to the fleet on this nodo: its capacity for work, and its leaving.

use super::{Engine, PROPOSE_TIMEOUT, ms};
use crate::engine::input::{FleetEvent, Input, ProposalResult};
use crate::fleet;
use crate::log;
use jaspershunt_work::{Entry, LocalWork, Outcome};
use std::time::Duration;
use tokio::task::spawn_local;

/// Time before all requests must be answered at which a leaving nodo hands over its in-flight work: twice the
/// time to commit an entry.
const HAND_OVER_MARGIN_SECONDS: f64 = 0.3;
/// Interval of checks whether this nodo's capacity has changed, and so the minimum between two reports.
const CAPACITY_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Relative change of the capacity from which it is reported again.
const CAPACITY_REPORT_STEP: f64 = 0.25;

impl Engine {
    /// Starts the reports of this nodo's capacity to the fleet.
    pub(in crate::engine) fn begin_handover(&self) {
        if self.handover.is_some() {
            self.send_after(Duration::ZERO, Input::Fleet(FleetEvent::ReportCapacity));
        }
    }

    pub(super) fn report_capacity(&mut self) {
        self.send_after(CAPACITY_REPORT_INTERVAL, Input::Fleet(FleetEvent::ReportCapacity));
        let way = self.channels.desk.fleet.borrow().clone();
        let (Some(way), Some(handover)) = (way, &mut self.handover) else { return };
        let max_runs = f64::from(self.settings.cores) * self.settings.crowd_multiple;
        let runs = self.requests.values().filter(|entry| entry.runs()).count() as f64;
        let capacity = if self.stop_at.is_some() { 0 } else { (max_runs - runs).max(0.0) as u32 };
        let is_similar = |reported: u32| {
            f64::from(reported.abs_diff(capacity)) <= f64::from(reported) * CAPACITY_REPORT_STEP
        };
        if handover
            .reported_capacity
            .as_ref()
            .is_some_and(|(by, reported)| *by == way.me && is_similar(*reported))
        {
            return;
        }
        handover.reported_capacity = Some((way.me.clone(), capacity));
        let entry = Entry::Capacity { holder: way.me.clone(), region: handover.region.clone(), capacity };
        self.spawn_fleet_task(async move {
            let came = fleet::propose(&way, &entry, PROPOSE_TIMEOUT).await;
            FleetEvent::CapacityReported { committed: came == ProposalResult::Committed(Outcome::Done) }
        });
    }

    /// Schedules the handover of work that does not end within the grace of a leaving nodo.
    pub(in crate::engine) fn schedule_hand_over(&self) {
        if self.handover.is_some() {
            let left = self.stop_at.map_or(0.0, |at| at - self.now) - HAND_OVER_MARGIN_SECONDS;
            self.send_after(Duration::from_secs_f64(left.max(0.0)), Input::Fleet(FleetEvent::HandOver));
        }
    }

    pub(super) fn hand_over(&mut self) {
        // Guards against callers that would be answered only at their deadline, which may be after this
        // nodo's end.
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
            // The result does not matter: work of an incarnation that is gone goes to a successor anyway.
            let _ = fleet::propose(&way, &entry, Duration::from_secs_f64(HAND_OVER_MARGIN_SECONDS)).await;
            desk.handed.set(true);
        });
    }
}
