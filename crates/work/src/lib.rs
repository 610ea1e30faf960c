//! Work in hand that survives the loss of its nodo: held by the fleet before it runs, taken over by an heir, once.
//!
//! Decides and does nothing: no clock, socket, file, thread or random source. Times are Unix milliseconds that the proposer of an
//! entry read; entries of the agreed log come in through [`Work::take`], or as bytes through the [part](jaspershunt_fleet::parts).
//!
//! - [`entry`]: what the log has of work, what comes of it, what a start is shown; [`state`]: the part, stage by stage.
//! - [`orphans`]: work that has lost its owner, and who may be its heir; [`spread()`]: who gets what, and what is given up.
//! - [`own`]: one process's side, of what it offered, waits for and has taken over.
//! - [`bounds`]: every bound by its name; [`mutants`]: the rules left out one by one.
//!
//! ```
//! use jaspershunt_fleet::{Entry as Enrolled, Fleet, Holder};
//! use jaspershunt_work::{Effect, End, Entry, Offer, Outcome, Work};
//!
//! let (one, two) = (Holder::new("n1", 7), Holder::new("n2", 8));
//! let (mut fleet, mut work) = (Fleet::default(), Work::default());
//! for holder in [&one, &two] {
//!     fleet.apply(&Enrolled::Enrol { holder: holder.clone() });
//! }
//! let offer = Offer {
//!     key: "op-1".into(), class: "firma".into(), tenant: None, body: b"sign".to_vec(),
//!     due_ms: 5_000, window_ends_ms: 60_000, worth_milli: 1_000, effect: Effect::Fenced,
//! };
//! let offer = |by: &Holder| Entry::Offer { by: by.clone(), offer: offer.clone(), begin: true, now_ms: 0 };
//! assert_eq!(work.apply_entry(&fleet, &offer(&one)), Outcome::Yours { token: 1 });
//! // A repeat at another nodo waits.
//! assert_eq!(work.apply_entry(&fleet, &offer(&two)), Outcome::Waits);
//! // The first nodo is lost, and the second has it, under a higher token.
//! fleet.apply(&Enrolled::Gone { holder: one.clone() });
//! let orphan = work.orphans(&fleet).remove(0);
//! let take_over = Entry::TakeOver { key: orphan.key, token: orphan.token, successor: two.clone() };
//! assert_eq!(work.apply_entry(&fleet, &take_over), Outcome::Yours { token: 2 });
//! // The first outcome counts, also one that the lost nodo brings when it wakes.
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
