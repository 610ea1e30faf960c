//! What a decision rested on, for those who ask afterwards. Nothing is decided here.

use super::Controller;
use crate::api::{CallerId, Seconds};
use crate::state::Stage;

/// The figures that decisions rest on, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecisionMetrics {
    /// N_sess: requests held unstarted.
    pub queued_requests: f64,
    /// N_max: how many may be, as the rate of service and the budget of delay have it.
    pub queue_limit: f64,
    /// The rate of service, μ, a second.
    pub service_rate: f64,
    /// On the cores.
    pub running: f64,
    /// How many may be.
    pub run_limit: f64,
    /// Parked at calls, those that wait to be made included.
    pub parked: f64,
    /// What a caller may have here.
    pub caller_credit: f64,
    /// Callers that are active.
    pub active_callers: f64,
    /// Memory that is left, in kilobytes.
    pub free_memory_kb: f64,
    /// How long requests lie unread.
    pub queueing_delay: Seconds,
    /// Tries storm: more is asked for by far than is served.
    pub retry_storm: bool,
    /// The server was told to leave.
    pub leaving: bool,
}

impl Controller {
    /// The figures as they stand.
    pub fn decision_metrics(&self) -> DecisionMetrics {
        DecisionMetrics {
            queued_requests: self.queued_requests(),
            queue_limit: self.queue_limit(),
            service_rate: self.meter.rate,
            running: self.count(Stage::Running),
            run_limit: self.run_limit.min(self.max_concurrency()),
            parked: self.count(Stage::AwaitsCall) + self.count(Stage::InCall),
            caller_credit: self.credit(),
            active_callers: self.state.callers.active(),
            free_memory_kb: self.memory_left(),
            queueing_delay: self.meter.queueing_delay,
            retry_storm: self.retry_storm(),
            leaving: self.shutdown.is_some(),
        }
    }

    /// Requests that a caller has here.
    pub fn in_flight_requests_of(&self, caller: CallerId) -> f64 {
        self.state.callers.in_flight(caller)
    }

    /// The time on a core and at calls that a request of a class is expected to need; 0 while nothing is known.
    pub fn expected_run_time(&self, class: usize, cost_hint: Option<f64>) -> Seconds {
        match self.class_stats.get(class) {
            Some(stats) => self.expected_core_time(class, cost_hint) + stats.parked_time.unwrap_or(0.0),
            None => 0.0,
        }
    }
}
