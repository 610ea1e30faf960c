//! In-flight work that survives the loss of its nodo. The work is recorded in the fleet's replicated log
//! before it runs. If its owner is lost, the work is orphaned, and the leader assigns it to a successor under
//! a new fencing token.
//!
//! This crate only decides: it uses no clock, socket, file, thread or random source. Times are Unix
//! milliseconds that the proposer of an entry read; committed entries come in through [`Work::apply_entry`],
//! or as bytes through the [part](jaspershunt_fleet::parts).
//!
//! - [`entry`]: log entries, their outcomes, and the view of a member; [`state`]: the replicated state.
//! - [`orphans`]: work without an owner, and possible successors; [`plan_takeovers()`]: who gets what, and
//!   what is given up.
//! - [`local`]: the state machine of one process, for the work that it offered, waits for and has taken over.
//! - [`bounds`]: all limits; [`mutants`]: deliberate faults for tests.
//!
//! ```
//! use jaspershunt_fleet::{Entry as FleetEntry, Fleet, Holder};
//! use jaspershunt_work::{Effect, End, Entry, Offer, Outcome, Work};
//!
//! let (one, two) = (Holder::new("n1", 7), Holder::new("n2", 8));
//! let (mut fleet, mut work) = (Fleet::default(), Work::default());
//! for holder in [&one, &two] {
//!     fleet.apply(&FleetEntry::Enrol { holder: holder.clone() });
//! }
//! let offer = Offer {
//!     key: "op-1".into(), class: "firma".into(), tenant: None, body: b"sign".to_vec(),
//!     due_ms: 5_000, window_ends_ms: 60_000, worth_milli: 1_000, effect: Effect::Fenced,
//! };
//! let offer = |by: &Holder| Entry::Offer { by: by.clone(), offer: offer.clone(), begin: true, now_ms: 0 };
//! assert_eq!(work.apply_entry(&fleet, &offer(&one)), Outcome::Yours { token: 1 });
//! // A repeat at another nodo waits for the outcome.
//! assert_eq!(work.apply_entry(&fleet, &offer(&two)), Outcome::Waits);
//! // The first nodo is lost, and the second takes the work over under a higher token.
//! fleet.apply(&FleetEntry::Gone { holder: one.clone() });
//! let orphan = work.orphans(&fleet).remove(0);
//! let take_over = Entry::TakeOver { key: orphan.key, token: orphan.token, successor: two.clone() };
//! assert_eq!(work.apply_entry(&fleet, &take_over), Outcome::Yours { token: 2 });
//! // The first outcome counts, even if the lost nodo resumes and reports it.
//! let end = |by: &Holder, token, end| Entry::End { key: "op-1".into(), by: by.clone(), token, end };
//! let done = End::Done(b"signed".to_vec());
//! assert_eq!(work.apply_entry(&fleet, &end(&one, 1, done.clone())), Outcome::Known(done.clone()));
//! assert_eq!(work.apply_entry(&fleet, &end(&two, 2, End::Unknown)), Outcome::Known(done));
//! ```

pub mod bounds;
pub mod entry;
mod index;
pub mod local;
pub mod mutants;
pub mod orphans;
pub mod part;
#[cfg(feature = "sim")]
pub mod sim;
pub mod state;
pub mod takeover;

pub use entry::{AwaitedEnd, Effect, End, Entry, MemberView, Offer, Outcome, OwnedItem, Progress, Refusal};
pub use local::{Action, LocalWork, QueryResult, RunResult};
pub use orphans::{EligibleMember, Orphan};
pub use state::{Item, Stage, Work};
pub use takeover::{GiveUpReason, TakeoverPlan, plan_takeovers};
