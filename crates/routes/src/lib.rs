//! A route table for the whole fleet, edited by many teams at once and merged by meaning.
//!
//! Decides and does nothing: no clock, socket, file, thread or random source. What was agreed comes in, and what came of it goes out.
//!
//! - [`table`]: the table: things (regions, dependencies, classes, tenants, routes) with fields, of which the owner is one.
//! - [`edit`]: an edit: typed changes of one team with base revision and reason, taken together or not at all.
//! - [`merge`](mod@merge): what becomes of each edit, as a function of the set of all that was said; [`access`], [`search`]: how it is found.
//! - [`base`]: the table that edits rest on, and how an edit changes it; [`rules`]: what makes a table valid.
//! - [`part`]: the table as part of the agreed state; [`trial`]: to whom a new one goes first, and whether it goes on.
//! - [`overlay`]: the operator's file of a nodo with the table over it; [`from_file`]: an operator's file as an edit.
//! - [`snapshot`]: the table as requests use it; [`soak`]: the merge against brute force; [`trial_sim`]: trials by a seed.
//! - [`mutants`]: the rules left out one by one, to show that the checks find it.
//!
//! ```
//! let edit = r#"{ "id": { "team": "pagos", "number": 1 }, "base": 0, "reason": "padron bears more",
//!     "changes": [{ "set": { "thing": "dependency/padron", "field": "budget", "value": { "number": 40 } } }] }"#;
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
