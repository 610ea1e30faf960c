//! Decides which process may run a try while several processes serve as one nodo and any of them may be
//! paused and resumed. Without I/O.
//!
//! **Ownership.** At most one process at a time may run new requests. Ownership is kept in a folder that all
//! processes of a nodo share. It is transferred together with the whole key table, or taken from a process
//! that no longer responds. The former owner learns of the loss when it checks, and a check is valid for
//! [`CHECK_VALIDITY`]; the new owner therefore waits [`TAKEOVER_DELAY`] before it acts. Every try that the
//! former owner may still run was read there before that delay had passed.
//!
//! **Keys.** A transfer brings the whole key table, a takeover does not. After a takeover it is unknown what
//! the former owner ran: a keyed try is run only if it is proven to be the first of its request, or if the
//! whole state of its key is local. Any other try fails, an answer that promises nothing.
//!
//! A pause between a check and the command to the interpreter is safe: the try was read before the check, so
//! its request is not one whose first try came after the new owner's delay, and the new owner runs no other.

use jaspershunt::Seconds;
use std::time::Duration;

/// How long an ownership check stays valid. The check costs little at this interval, and the interval is
/// short beside the time after which a process counts as silent.
pub const CHECK_VALIDITY: Duration = Duration::from_millis(100);
/// How long a new owner waits before it acts: until the former owner's last check is no longer valid, and
/// half as long again for late timers. All clocks involved are those of one machine.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(150);
/// The longest time between two messages from each end of a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// An end of a link is silent after more missed heartbeats than this: one second, as for all other messages
/// of a partner.
pub const MAX_MISSED_HEARTBEATS: u32 = 4;

/// What this process knows of the key of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKnowledge {
    /// The try has no key, and may run any number of times.
    NoKey,
    /// The key is not in this process's table.
    Unknown,
    /// A try of the key is queued here, runs here, or ran.
    Local,
}

/// What is known of a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Try {
    /// What is known of its key.
    pub known: KeyKnowledge,
    /// The try is marked as a repeated one, or repeated tries are not marked.
    pub may_repeat: bool,
    /// When it arrived at the machine.
    pub arrived: Seconds,
}

/// Which process handles a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// This process.
    Local,
    /// The process that owns the keys.
    Remote,
    /// None: the try fails, since another try of its key may have run.
    Rejected,
}

/// The period for which it is unknown what another process ran: tries that arrived before `since` may have
/// run there, and their keys are remembered until `until`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Uncertainty {
    /// From when on the other process could run nothing more.
    pub since: Seconds,
    /// When the windows of all keys that it may have run have passed.
    pub until: Seconds,
}

/// The ownership of the keys as one process sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Claims {
    /// This process owns the keys, and knows of everything that other processes ran.
    Owned,
    /// Another process owns them; all keys of this one were transferred to it.
    Transferred,
    /// This process never had ownership, or lost it, and does not know the owner. It only completes its
    /// in-flight requests.
    Lost,
    /// This process owns the keys, but another may have run tries of which this one does not know.
    Uncertain(Uncertainty),
}

impl Claims {
    /// Returns the state at startup: a process that can have no other beside it owns all keys.
    pub fn start(alone: bool) -> Claims {
        if alone { Claims::Owned } else { Claims::Lost }
    }

    /// Whether this process may run new requests.
    pub fn owns(self) -> bool {
        matches!(self, Claims::Owned | Claims::Uncertain(_))
    }

    /// Records that the keys were transferred to another process, with ownership if this process had it.
    /// Returns the uncertainty that the other process has to take over.
    pub fn give(&mut self) -> Option<Uncertainty> {
        let doubt = match *self {
            // Guards against keys that another process ran, and that a third would run again without knowing
            // of it.
            Claims::Uncertain(doubt) if !mutant(Mutant::UncertaintyIsNotTransferred) => Some(doubt),
            _ => None,
        };
        *self = Claims::Transferred;
        doubt
    }

    /// Records that the owner transferred ownership and all its keys to this process.
    pub fn given(&mut self, doubt: Option<Uncertainty>) {
        *self = doubt.map_or(Claims::Owned, Claims::Uncertain);
    }

    /// Records that this process acquired ownership while no other process was alive.
    pub fn found(&mut self) {
        *self = Claims::Owned;
    }

    /// Records that ownership was taken from a silent process whose last check is no longer valid.
    pub fn taken(&mut self, now: Seconds, longest_window: Seconds) {
        *self = Claims::Uncertain(Uncertainty { since: now, until: now + longest_window });
    }

    /// Records that a check found ownership taken by another process. Transferred keys stay transferred.
    pub fn lost(&mut self) {
        if self.owns() && !mutant(Mutant::ResumedProcessKeepsOwnership) {
            *self = Claims::Lost;
        }
    }

    /// Records that the link to the other process broke, or that the process is silent. Keys that were
    /// transferred to it stay there until this process takes ownership back.
    pub fn broke(&mut self) {
        if *self == Claims::Transferred {
            *self = if mutant(Mutant::DisconnectReturnsTheKeys) { Claims::Owned } else { Claims::Lost };
        }
    }

    /// Decides which process handles a try.
    pub fn place(&mut self, now: Seconds, a_try: Try) -> Placement {
        match *self {
            Claims::Owned => Placement::Local,
            Claims::Transferred => Placement::Remote,
            Claims::Lost => match a_try.known {
                KeyKnowledge::NoKey | KeyKnowledge::Local => Placement::Local,
                // Guards against a second run in a process that was resumed: the new owner may have run the
                // first.
                KeyKnowledge::Unknown if mutant(Mutant::FormerOwnerRunsFirstTries) && !a_try.may_repeat => {
                    Placement::Local
                }
                KeyKnowledge::Unknown => Placement::Rejected,
            },
            Claims::Uncertain(Uncertainty { until, .. }) if now > until => {
                *self = Claims::Owned;
                Placement::Local
            }
            Claims::Uncertain(Uncertainty { since, .. }) => match a_try.known {
                KeyKnowledge::NoKey | KeyKnowledge::Local => Placement::Local,
                // Only the first try of a request is unmarked, and one that arrived since then never reached
                // the other process while that could run anything.
                KeyKnowledge::Unknown if !a_try.may_repeat && a_try.arrived > since => Placement::Local,
                KeyKnowledge::Unknown
                    if mutant(Mutant::NewOwnerRunsRepeatedTries) && a_try.arrived > since =>
                {
                    Placement::Local
                }
                KeyKnowledge::Unknown if mutant(Mutant::NewOwnerRunsOldTries) && !a_try.may_repeat => {
                    Placement::Local
                }
                KeyKnowledge::Unknown => Placement::Rejected,
            },
        }
    }
}

/// Whether ownership has to be checked again, which includes every gap of the clock.
pub fn check_due(checked: Duration, now: Duration) -> bool {
    now.saturating_sub(checked) >= CHECK_VALIDITY && !mutant(Mutant::OwnershipIsCheckedOnce)
}

/// Detects that the other end of a link is silent, by ticks of a timer of this process, one each
/// [`HEARTBEAT_INTERVAL`]. A gap between two ticks is a pause of this process, during which it could receive
/// nothing: it does not count against the other end.
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceDetector {
    ticked: Option<Duration>,
    missed: u32,
}

impl SilenceDetector {
    /// Records a message from the other end.
    pub fn heard(&mut self) {
        self.missed = 0;
    }

    /// Records a tick of the timer; returns whether the other end counts as silent.
    pub fn tick(&mut self, now: Duration) -> bool {
        let paused = self.ticked.is_some_and(|ticked| now.saturating_sub(ticked) > 2 * HEARTBEAT_INTERVAL);
        self.ticked = Some(now);
        // Guards against a resumed process that takes ownership from one that sent messages all along.
        self.missed = if paused { 0 } else { self.missed + 1 };
        self.missed > MAX_MISSED_HEARTBEATS
    }
}

/// The response that a process without ownership gets when it looks for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// No process listens.
    Nobody,
    /// A process listens and does not respond.
    Silent,
    /// A process responds and declines for now: it is taking over itself, or has another version.
    Declines,
    /// A process accepts the link.
    Answers,
}

/// What a process without ownership does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverAction {
    /// Uses the link to the process that answered.
    Connect,
    /// Asks again a little later. Ownership is never taken from a process that responds.
    Retry,
    /// Acquires ownership.
    Acquire {
        /// No process is alive that could have run anything.
        alone: bool,
    },
}

/// What else a process knows when it looks for the owner.
#[derive(Clone, Copy, Debug)]
pub struct TakeoverContext {
    /// Its interpreter is up. Without one it could run nothing, so it leaves ownership to a silent process
    /// that may resume.
    pub up: bool,
    /// Another process of the nodo is alive, or responded before.
    pub others: bool,
    /// Ownership has not changed for a while; see [`StabilityWatch`].
    pub steady: bool,
}

/// Decides what a process without ownership does next.
pub fn next_action(response: PeerResponse, context: TakeoverContext) -> TakeoverAction {
    match response {
        PeerResponse::Answers => TakeoverAction::Connect,
        PeerResponse::Declines => TakeoverAction::Retry,
        PeerResponse::Nobody if !context.others => TakeoverAction::Acquire { alone: true },
        _ if !context.up => TakeoverAction::Retry,
        // Guards against two processes that take ownership from each other without end: a new owner does not
        // listen at once.
        PeerResponse::Nobody if !context.steady => TakeoverAction::Retry,
        PeerResponse::Nobody | PeerResponse::Silent => TakeoverAction::Acquire { alone: false },
    }
}

/// Detects whether ownership stays with one process, by a mark that changes with each takeover.
#[derive(Clone, Copy, Debug, Default)]
pub struct StabilityWatch<M> {
    seen: Option<(M, Duration)>,
}

impl<M: PartialEq> StabilityWatch<M> {
    /// Records the present mark; returns whether it has been the same for longer than a new owner takes to
    /// listen.
    pub fn see(&mut self, mark: M, now: Duration) -> bool {
        match &self.seen {
            Some((seen, since)) if *seen == mark => now.saturating_sub(*since) >= 2 * TAKEOVER_DELAY,
            _ => {
                self.seen = Some((mark, now));
                false
            }
        }
    }
}

/// Deliberate errors in these rules. The tests show that each is detected; the program activates none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mutant {
    /// The uncertainty of the second process is not transferred to a third.
    UncertaintyIsNotTransferred,
    /// A check that shows the loss of ownership has no effect.
    ResumedProcessKeepsOwnership,
    /// A broken link returns the keys to the process that transferred them.
    DisconnectReturnsTheKeys,
    /// A process that lost ownership runs tries that are not marked as repeated.
    FormerOwnerRunsFirstTries,
    /// A new owner runs repeated tries of unknown keys.
    NewOwnerRunsRepeatedTries,
    /// A new owner runs tries that arrived before its delay was over.
    NewOwnerRunsOldTries,
    /// Ownership is checked once only.
    OwnershipIsCheckedOnce,
    /// A new owner acts without the delay.
    #[cfg_attr(not(test), expect(dead_code))]
    NewOwnerDoesNotWait,
    /// Ownership that arrives by message counts without a check, however late the message is read.
    #[cfg_attr(not(test), expect(dead_code))]
    TransferredOwnershipIsNotChecked,
}

#[cfg(not(test))]
const fn mutant(_: Mutant) -> bool {
    false
}

#[cfg(test)]
use tests::mutant;

#[cfg(test)]
mod tests;
