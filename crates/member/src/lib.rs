//! A member of the fleet: what [`jaspershunt_fleet`] decides, with agreement, a disk and links round it. It knows no nodo.
//!
//! - [`frame`]: what members say to each other, as bytes.
//! - [`store`]: what a voter has promised, on disk; [`log`]: the same in memory, as the library for agreement reads it.
//! - [`voter`]: one voter: agreement by `raft`, the agreed state, and the one that leads.
//! - [`member`]: a whole member, voter or not, without I/O but for its disk: `now` and messages in, messages and calls out. The
//!   simulation runs it as production does.
//! - [`driver`]: the member on real sockets, a real disk and a real clock, on a thread of its own.

pub mod driver;
pub mod frame;
pub mod log;
pub mod member;
pub mod store;
pub mod voter;

pub use member::{Input, Member, Output, Recipient, Setup};
