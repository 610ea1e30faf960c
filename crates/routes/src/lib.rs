//! The fleet's route table, edited by many teams at once and merged by the meaning of their changes.
//!
//! The crate is purely functional: it has no clock, socket, file, thread or random source. Committed
//! entries come in, their outcomes go out.
//!
//! - [`table`]: the table: things (regions, dependencies, classes, tenants, routes) with fields, one of
//!   which is the owner.
//! - [`edit`]: edits: typed changes of one team with base revision and reason, accepted or refused as a
//!   whole.
//! - [`merge`](mod@merge): computes the state of each edit from the set of all submissions, using
//!   [`access`] and [`search`].
//! - [`base`]: the revision that edits are based on, and how an edit changes it; [`rules`]: what makes a
//!   table valid.
//! - [`part`]: the table as part of the replicated state; [`trial`]: trials of a new table on a share of
//!   the members.
//! - [`overlay`]: applies the table to a nodo's operator file; [`from_file`]: turns an operator file into
//!   an edit.
//! - [`snapshot`]: the table as requests use it; [`soak`]: the merge compared with brute force;
//!   [`trial_sim`]: simulated trials.
//! - [`mutants`]: rules that can be disabled one by one, to show that the checks find it.
//!
//! ```
//! let edit = r#"{ "id": { "team": "pagos", "number": 1 }, "base": 0, "reason": "padron can take more",
//!     "changes": [{ "set":
//!         { "thing": "dependency/padron", "field": "budget", "value": { "number": 40 } } }] }"#;
//! let edit = jaspershunt_routes::edit::parse_edit(edit).unwrap();
//! assert_eq!(edit.key().to_string(), "pagos#1");
//! ```

pub mod access;
pub mod base;
pub mod edit;
pub mod from_file;
pub mod merge;
pub mod mutants;
pub mod overlay;
pub mod part;
pub mod rules;
pub mod search;
pub mod snapshot;
pub mod soak;
pub mod table;
pub mod trial;
pub mod trial_sim;

pub use edit::{Change, Edit, EditId, EditKey, parse_edit};
pub use merge::{Conflict, ConflictId, EditState};
pub use part::{Entry, FinalState, MemberView, Outcome, Refusal, Routes};
pub use snapshot::Snapshot;
pub use table::{Field, Kind, Table, Thing, Value};

#[cfg(test)]
mod tests;
