//! What the nodos of a fleet agree on, and what each of them may do by it: leases, and the tasks that run under them.
//!
//! Decides and does nothing: no clock, socket, file, thread or random source. Time comes in as `now`, read from a monotone clock
//! of the process, entries of the agreed log come in through [`Fleet::apply`], and what is to be said or proposed goes out.
//!
//! - [`state`]: the agreed state, a function of the log alone: members, leases with their tokens and waiters, tasks.
//! - [`parts`]: what is agreed beside, each part a function of the log with entries of its own.
//! - [`leader`]: when a lease has run out, seen from the one that leads, and whom it may tell that a lease goes on.
//! - [`holder`]: what a process holds by its own clock, and whether an act may begin.
//! - [`client`]: a member's side of all of this; [`lease_queue`]: who lines up for which lease.
//! - [`disk_rollback`]: whether a voter's disk is older than what it once promised; [`voter_slots`]: which disks have a vote.
//! - [`wall_clock`]: the time by which tasks are due, from all members' clocks.
//! - [`mutants`]: the rules left out one by one, to show that the checks find it.
//! - [`tasks`]: what the holder of a task's lease does next; [`schedule`]: when a task is due.
//!
//! ```
//! use jaspershunt_fleet::{Entry, Fleet, Holder, Outcome};
//!
//! let (one, two) = (Holder::new("n1", 7), Holder::new("n2", 8));
//! let mut fleet = Fleet::default();
//! for holder in [&one, &two] {
//!     fleet.apply(&Entry::Enrol { holder: holder.clone() });
//! }
//! let acquire = |holder: &Holder| Entry::Acquire { lease: "cierre".into(), holder: holder.clone() };
//! assert_eq!(fleet.apply(&acquire(&one)), Outcome::Granted { token: 1 });
//! assert_eq!(fleet.apply(&acquire(&two)), Outcome::Queued { position: 1 });
//! // The next holder's token is higher, whatever happens in between.
//! fleet.apply(&Entry::Release { lease: "cierre".into(), token: 1 });
//! assert_eq!(fleet.lease("cierre").unwrap().token, 2);
//! ```

pub mod client;
pub mod disk_rollback;
pub mod holder;
pub mod leader;
pub mod lease_queue;
pub mod mutants;
pub mod parts;
pub mod schedule;
pub mod state;
pub mod tasks;
pub mod timing;
pub mod voter_slots;
pub mod wall_clock;

pub use state::{Entry, Fleet, Holder, Outcome, Refusal};
pub use timing::LeaseTiming;
