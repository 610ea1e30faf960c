//! Histories of a test: what its processes and clients recorded of their operations, and checkers that run on
//! them afterwards. They know nothing of the program's internals, only what was asked, what came back, and
//! when.
//!
//! - [`mod@format`]: the records, their writer, which survives a kill of the process, and their reader.
//! - [`register`]: linearizability of registers, by a bounded search that reports 'too long' instead of
//!   guessing.
//! - [`table`]: an acknowledged edit is in every later read of the replicated table, and revisions never
//!   decrease.
//! - [`work`]: accepted work has one outcome, the same in every answer.
//! - [`effects`]: at most one effect for a key, none with a lower token after a higher one, and none of work
//!   that was reported never to have run.
//! - [`epochs`]: no process goes back to an older steering table, and an epoch has one content.
//! - [`folder`]: runs all checkers on all files of a folder.
//!
//! ```
//! use jaspershunt_histories::format::{Came, FILE_BYTES, Op, Told, Who, Writer, read};
//! use jaspershunt_histories::{register, verdict::History};
//!
//! let mut file = Vec::new();
//! let mut writer = Writer::new(&mut file, &Who::new("client", 1), FILE_BYTES)?;
//! let write = writer.begin(10, Op::Write { key: "x".into(), value: "1".into() })?;
//! // ... the operation is performed ...
//! writer.end(write, 20, Came::Ok(Told::Nothing))?;
//! let read_it = writer.begin(30, Op::Read { key: "x".into() })?;
//! writer.end(read_it, 40, Came::Ok(Told::Value(None)))?;
//!
//! let history = History::whole(read(&file[..])?.records);
//! assert_eq!(register::check(&history).name(), "WRONG");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod effects;
pub mod epochs;
pub mod folder;
pub mod format;
pub mod register;
pub mod table;
#[cfg(test)]
mod test_histories;
pub mod verdict;
pub mod work;

pub use folder::{Report, check_folder};
