//! Exposes the quantities behind decisions for later explanation. No decisions are made here.

use super::Controller;
use crate::api::{CallerId, Seconds};
use crate::state::Stage;

/// The quantities that decisions depend on, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecisionMetrics {
    /// N_sess: requests in the queue that are not started.
    pub queued_requests: f64,
    /// N_max: the limit of the queue, service rate x delay budget.
    pub queue_limit: f64,
    /// The service rate, mu, in requests a second.
    pub service_rate: f64,
    /// Requests on the cores.
    pub running: f64,
    /// The limit of requests on the cores.
    pub run_limit: f64,
    /// Requests parked at calls, including those that wait until theirs can be made.
    pub parked: f64,
    /// The number of requests that each caller may have here.
    pub caller_credit: f64,
    /// The number of active callers.
    pub active_callers: f64,
    /// Free memory, in kilobytes.
    pub free_memory_kb: f64,
    /// The smoothed queueing delay, from arrival at the machine until read.
    pub queueing_delay: Seconds,
    /// Whether far more is requested than served, so that refused callers are asked not to retry.
    pub retry_storm: bool,
    /// Whether the server is shutting down.
    pub leaving: bool,
}

impl Controller {
    /// The current quantities.
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

    /// The number of requests that a caller has in flight.
    pub fn in_flight_requests_of(&self, caller: CallerId) -> f64 {
        self.state.callers.in_flight(caller)
    }

    /// The time on a core and at calls that a request of a class is expected to need; 0 until one was
    /// measured.
    pub fn expected_run_time(&self, class: usize, cost_hint: Option<f64>) -> Seconds {
        match self.class_stats.get(class) {
            Some(stats) => self.expected_core_time(class, cost_hint) + stats.parked_time.unwrap_or(0.0),
            None => 0.0,
        }
    }
}
