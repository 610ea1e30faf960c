//! Assigns groups of clients to the regions with the lowest delay, from delays that the edges of a fleet
//! observe in their ordinary traffic; sends no probes.
//!
//! Makes decisions only: no clock, socket, file, thread or random source.
//!
//! - [`summary`]: report of an edge for a window, merged exactly in any order; [`sketch`]: the distributions
//!   in it.
//! - [`samples`]: observations of an edge; [`group`]: groups of clients, each within wider ones;
//!   [`group_tree`]: the groups that an edge reports separately.
//! - [`model`]: the delay of each group to each region and its uncertainty; [`coordinates`]: predictions for
//!   unmeasured pairs.
//! - [`planner`]: which share of which group moves where next.
//! - [`planning_state`]: replicated state that tables are planned from, and the entries that the leader
//!   proposes.
//! - [`tables`]: which region serves which group, with an explanation; [`part`]: the replicated part of the
//!   fleet.
//! - [`mutants`]: deliberate faults, to prove that the checks detect them.
//!
//! ```
//! use jaspershunt_steering::{Entry, Group, Outcome, Part, Place, Row, Why};
//!
//! let norte = Place { region: "norte".into(), share: 1000, delay_ms: Some(12) };
//! let row = Row { places: vec![norte], why: Why::Found, moved_ms: 0, before: None };
//! let mut part = Part::default();
//! let step = Entry::Step { epoch: 1, rows: vec![(Group::named("10.3.0.0/16"), Some(row))] };
//! assert_eq!(part.apply_entry(&step), Outcome::Taken { epoch: 1 });
//! // The epoch of a repeated entry is past.
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
