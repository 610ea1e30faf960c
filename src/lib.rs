//! Overload control for the servers of a fleet: decides what a server queues, runs and refuses.
//!
//! A server owns one [`Controller`]. It passes it batches of events with the time of its own clock, and
//! carries out the actions. The controller has no clock, thread, timer or transport of its own.
//!
//! - Read a request, give it an id that was never used before, and report [`Event::Arrived`].
//! - Carry out each [`Action`] in order. A request without an action waits.
//! - Report how runs and calls end, when callers disconnect, and when an [`Action::Wake`] is due.
//! - Send the value of [`Action::Say`] with every answer, so that callers know what they may send.
//!
//! ```
//! use jaspershunt::*;
//!
//! let page = Class {
//!     name: "page".into(), worth: 1.0, late_worth: 0.0, aim: 2.0, aim_stretch: 0.0, deadline: 5.0,
//!     repeat: Repeat::Safe, calls: true, skip_worth: 0.0,
//! };
//! let settings = Settings {
//!     classes: vec![page], tenants: vec![], over_share_worth: 1.0, worth_by: WorthBy::Request,
//!     servers: 3, cores: 4, cold: false, cold_from: 0.3, cold_for: 10.0, crowd_multiple: 5.0, crowd_over: 2.0,
//!     memory_kb: 50_000.0, run_factor: 8.0, key_kb: 50.0, fresh_for: 0.0, halt: StopMode::Pause,
//!     below: DependencyModel::Shared { fair_calls: 6.0, over: 5.0 }, linger: 0.2,
//!     say: CallerFeedback::Credit, readiness: true,
//!     max_stay_away: 1.0, drain_grace: 2.0, tick: 0.005, marks_retry: true, idle: 30.0,
//! };
//! let mut server = Controller::new(settings)?;
//! let mut actions = Vec::new();
//!
//! // A request arrives and may start at once.
//! let id = RequestId(1);
//! let request = Request {
//!     id, class: 0, tenant: None, caller: CallerId(7), waited: 0.001, time_left: None, cost_hint: None,
//!     held_kb: 20.0, rank: 0.5, retry: false, repeats: None,
//! };
//! server.step(0.0, &[Event::Arrived(request)], &mut actions);
//! assert!(actions.contains(&Action::Run(id)));
//!
//! // It needs a call to a dependency, and continues by itself after the call has succeeded.
//! actions.clear();
//! server.step(0.2, &[Event::CallWanted { id }], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Call { .. })));
//! server.step(0.3, &[Event::CallEnded { id, outcome: Outcome::Done, took: 0.1 }], &mut actions);
//!
//! // It succeeded: its answer was sent to the caller.
//! server.step(0.4, &[Event::Ended { id, outcome: Outcome::Done }], &mut actions);
//!
//! // The server is to shut down: it reports bad health and answers everything before the process is stopped.
//! actions.clear();
//! server.step(1.0, &[Event::Leave { within: 4.0 }], &mut actions);
//! assert!(actions.contains(&Action::Health { good: false, stored: true }));
//! # Ok::<(), SettingsError>(())
//! ```

mod api;
mod logic;
mod snapshot;
mod state;

pub use api::*;
pub use logic::{Controller, DecisionMetrics};
pub use snapshot::SnapshotError;
