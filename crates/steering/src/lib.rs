//! Who is served soonest where, from what the edges of a fleet see anyway; no probe is sent.
//!
//! Decides and does nothing: no clock, socket, file, thread or random source.
//!
//! - [`summary`]: what an edge tells of a window, merged exactly whatever the order; [`sketch`]: the counts in it.
//! - [`samples`]: what an edge sees anyway; [`group`]: groups of clients, each within wider ones; [`group_tree`]: which are told apart.
//! - [`model`]: the delay of each group to each region and how sure it is; [`coordinates`]: guesses where nobody has measured.
//! - [`planner`]: which share of which group moves where next.
//! - [`planning_state`]: what the fleet has agreed that tables are planned from, and what the one that leads proposes.
//! - [`tables`]: who is served where, and why in words; [`part`]: how the fleet agrees on it.
//! - [`mutants`]: the rules left out one by one, to show that the checks find it.
//!
//! ```
//! use jaspershunt_steering::{Entry, Group, Outcome, Part, Place, Row, Why};
//!
//! let norte = Place { region: "norte".into(), share: 1000, delay_ms: Some(12) };
//! let row = Row { places: vec![norte], why: Why::Found, moved_ms: 0, before: None };
//! let mut part = Part::default();
//! let step = Entry::Step { epoch: 1, rows: vec![(Group::named("10.3.0.0/16"), Some(row))] };
//! assert_eq!(part.apply_entry(&step), Outcome::Taken { epoch: 1 });
//! // The same again is of an epoch that is over.
//! assert!(matches!(part.apply_entry(&step), Outcome::Refused(_)));
//! assert_eq!(part.tables().shares(&Group::named("10.3.7.0/24")), [("norte".to_string(), 1000)]);
//! ```

pub mod coordinates;
#[cfg(feature = "emulator")]
pub mod emulator;
pub mod group;
pub mod group_tree;
pub mod model;
pub mod mutants;
pub mod part;
pub mod planner;
pub mod planning_state;
pub mod samples;
pub mod sketch;
pub mod summary;
pub mod tables;

pub use group::{Client, Group};
pub use model::{Estimate, Estimates};
pub use part::{Entry, MemberView, Outcome, Part, Refusal};
pub use planner::{Demand, Planner, PlannerMemory, Region, TrafficSnapshot};
pub use planning_state::{EdgeReport, PlanningState};
pub use samples::{Edge, Observation};
pub use sketch::Sketch;
pub use summary::{GroupStats, Source, Summary};
pub use tables::{Place, Row, Tables, Why};
