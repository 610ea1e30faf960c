//! Captures: all that the decision module was told and what it asked for, in blocks that can be read up to the last whole
//! one, and replayed on any machine to the same decisions, bit for bit.
//!
//! A capture holds no bodies and no results. What it does hold is in [`record`]; how it lies in a file is in [`format`], and
//! to the byte in `docs/design/capture.md`. [`recorder`] gathers records into blocks and begins with a snapshot of the
//! decision state each so often, so that a replay can begin at any of them; [`reader`] reads past what is torn or spoilt;
//! [`replay`] runs the present decision code against what was told and stops at the first decision that differs.
//!
//! [`tap`] decides what a nodo hands over and when, [`ring`] keeps the last blocks, [`sink`] makes blocks of what is handed
//! over and has them written. [`summary`] and [`trace`] say what a capture holds, as a whole and of one request; [`edit`] cuts
//! and redacts; [`what_if`] runs what was told against other settings. [`minimise`] shrinks a capture that still shows something; [`rules`] holds one against the four rules, apart
//! from the code that decided.
//!
//! Nothing here reads a clock or a file: bytes go in and come out.

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
