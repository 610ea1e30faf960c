//! What a decision rested on, for those who ask afterwards. Nothing is decided here.

use super::Controller;
use crate::api::{CallerId, Seconds};
use crate::state::Stage;

/// The figures that decisions rest on, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// N_sess: requests held unstarted.
    pub held: f64,
    /// N_max: how many may be, as the rate of service and the budget of delay have it.
    pub ceiling: f64,
    /// The rate of service, μ, a second.
    pub rate: f64,
    /// On the cores.
    pub running: f64,
    /// How many may be.
    pub limit: f64,
    /// Parked at calls, those that wait to be made included.
    pub parked: f64,
    /// What a caller may have here.
    pub credit: f64,
    /// Callers that are active.
    pub callers: f64,
    /// Memory that is left, in kilobytes.
    pub memory_left_kb: f64,
    /// How long requests lie unread.
    pub unread_for: Seconds,
    /// Tries storm: more is asked for by far than is served.
    pub storm: bool,
    /// The server was told to leave.
    pub leaving: bool,
}

impl Controller {
    /// The figures as they stand.
    pub fn figures(&self) -> Figures {
        Figures {
            held: self.held(),
            ceiling: self.ceiling(),
            rate: self.meter.rate,
            running: self.count(Stage::OnCore),
            limit: self.limit.min(self.crowd_bound()),
            parked: self.count(Stage::WantsCall) + self.count(Stage::AtCall),
            credit: self.credit(),
            callers: self.ledger.callers.active(),
            memory_left_kb: self.memory_left(),
            unread_for: self.meter.unread_for,
            storm: self.storm(),
            leaving: self.leaving.is_some(),
        }
    }

    /// Requests that a caller has here.
    pub fn requests_of(&self, caller: CallerId) -> f64 {
        self.ledger.callers.here(caller)
    }

    /// The time on a core and at calls that a request of a class is expected to need; 0 while nothing is known.
    pub fn expected_time(&self, class: usize, cost_hint: Option<f64>) -> Seconds {
        match self.learned.get(class) {
            Some(learned) => self.expected(class, cost_hint) + learned.parked.unwrap_or(0.0),
            None => 0.0,
        }
    }
}
