//! Captures record every input and output of the decision module in self-contained blocks. A capture
//! replays on any machine to the same decisions, bit for bit, and a damaged one can be read up to its last
//! intact block.
//!
//! Captures contain no request bodies and no results. [`record`] defines the records; [`format`] defines
//! the file layout, which `docs/design/capture.md` specifies to the byte. [`recorder`] groups records into
//! blocks and periodically starts a block with a snapshot of the decision state, from which a replay can
//! start. [`reader`] skips truncated and corrupt parts. [`replay`] runs the current decision code on the
//! recorded events and stops at the first decision that differs.
//!
//! In a nodo, [`tap`] decides what the engine sends and when, [`ring`] keeps the most recent blocks, and
//! [`sink`] builds blocks and has them written. [`summary`] reports figures for a whole capture and
//! [`trace`] follows one request. [`edit`] cuts and redacts captures; [`what_if`] replays with other
//! settings; [`minimise`] shrinks a capture that shows a failure; [`rules`] checks the four rules
//! independently of the decision code.
//!
//! This crate reads no clock and no files: it works on bytes alone.

pub mod edit;
pub mod format;
pub mod minimise;
pub mod reader;
pub mod record;
pub mod recorder;
pub mod replay;
pub mod ring;
pub mod rules;
pub mod sink;
pub mod summary;
pub mod tap;
pub mod trace;
pub mod what_if;

#[cfg(test)]
mod tests;
