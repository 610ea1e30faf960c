//! A member of the fleet: the decisions of [`jaspershunt_fleet`] with Raft, a disk and network
//! links. It does not depend on the nodo.
//!
//! - [`frame`]: messages between members and their encoding.
//! - [`store`]: a voter's durable state; [`log`]: its log in memory, as the `raft` library reads it.
//! - [`voter`]: a voter: Raft, the replicated state, and the leader.
//! - [`member`]: a whole member, with or without a voter. Its only I/O is on its disk: time and messages are
//!   passed in, messages and calls are returned. The simulation runs the same code as production.
//! - [`driver`]: runs a member on real sockets, a real disk and a real clock, on a thread of its own.

pub mod driver;
pub mod frame;
pub mod log;
pub mod member;
pub mod store;
pub mod voter;

pub use member::{Input, Member, Output, Recipient, Setup};
