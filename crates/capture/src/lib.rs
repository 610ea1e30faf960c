//! Captures: all that the decision module was told and what it asked for, in blocks that can be read up to the last whole
//! one, and replayed on any machine to the same decisions, bit for bit.
//!
//! A capture holds no bodies and no results. What it does hold is in [`record`]; how it lies in a file is in [`format`], and
//! to the byte in `docs/design/capture.md`. [`recorder`] gathers records into blocks and begins with a snapshot of the
//! decision state each so often, so that a replay can begin at any of them; [`reader`] reads past what is torn or spoilt;
//! [`replay`] runs the present decision code against what was told and stops at the first decision that differs.
//!
//! [`minimise`] shrinks a capture that still shows something; [`rules`] holds a capture against the four rules, apart from the code that decided.
//!
//! Nothing here reads a clock or a file: bytes go in and come out.

pub mod format;
pub mod minimise;
pub mod reader;
pub mod record;
pub mod recorder;
pub mod replay;
pub mod rules;

#[cfg(test)]
mod tests;
