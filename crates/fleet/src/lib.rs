//! What the nodos of a fleet decide together, and what each of them may do as a result: leases, and the tasks
//! that run under them.
//!
//! Pure decision logic: no clock, socket, file, thread or random source. Time is passed in as `now`, read
//! from a monotonic clock of the process; committed entries of the replicated log are passed to
//! [`Fleet::apply`]; messages to send and entries to propose are returned.
//!
//! - [`state`]: the replicated state, a function of the log alone: members, leases with tokens and
//!   candidates, tasks.
//! - [`parts`]: further parts of the replicated state, each with entries of its own.
//! - [`leader`]: when a lease has expired, and which renewals the leader may confirm.
//! - [`holder`]: which leases a process holds by its own clock, and whether an act may begin.
//! - [`client`]: a member's side of the protocol; [`lease_queue`]: who is queued for which lease.
//! - [`disk_rollback`]: whether a voter's disk was rolled back; [`voter_slots`]: which disks have a vote.
//! - [`timing`]: how long leases last; [`wall_clock`]: the time by which tasks are due, from all members'
//!   clocks.
//! - [`tasks`]: what the holder of a task's lease does next; [`schedule`]: when a task is due.
//! - [`mutants`]: mutations of the rules, to show that the checks detect them.
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
//! // The next holder's token is always higher.
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
