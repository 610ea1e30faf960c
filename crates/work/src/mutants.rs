//! Deliberate faults for tests that prove that the checks detect each one. Without the feature `mutants` they
//! are compiled out.

/// A deliberate fault: one rule is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A successor of fenced work presents the token of the previous owner.
    HeirDoesNotFence = 1,
    /// A successor runs work that its lost owner had begun as if it had not been begun.
    BegunCountsAsHeld,
    /// A previous owner may begin the work.
    TokenNotCompared,
    /// A successor does not inherit the window of the key.
    WindowNotHandedOn,
    /// The origin node runs the work before its offer is committed.
    RunsBeforeHeld,
    /// A client receives the outcome of a run before it is committed.
    AnswersBeforeAgreed,
    /// A later outcome replaces the first.
    LaterOutcomeOverwrites,
    /// Work is taken from an owner that is present.
    TakesFromTheLiving,
    /// Work that was handed over stays available for further takeovers.
    HandedOverTwice,
    /// A snapshot loses the token counter.
    SnapshotForgetsTokens,
    /// A late copy of an offer is accepted although its key was forgotten.
    LateOfferCounts,
    /// A known key with another body is treated as a repeat.
    OtherBodyIsARepeat,
    /// Begun work without a successor is recorded as failed.
    GivenUpAsFailed,
    /// A successor that does not run work that another had begun reports that it never ran.
    HeirAnswersForAll,
    /// A process whose own call may be on its way trusts the resource's "never ran".
    TrustsOwnCall,
    /// The refusal of one copy of an offer is taken to mean that no copy runs.
    OneCopyRefusedIsAll,
    /// An abandoned offer is reported as never run, and yet run for the next client of its key.
    TurnsAwayAndRuns,
}

/// All faults.
pub const ALL: [Mutant; 17] = [
    Mutant::HeirDoesNotFence,
    Mutant::BegunCountsAsHeld,
    Mutant::TokenNotCompared,
    Mutant::WindowNotHandedOn,
    Mutant::RunsBeforeHeld,
    Mutant::AnswersBeforeAgreed,
    Mutant::LaterOutcomeOverwrites,
    Mutant::TakesFromTheLiving,
    Mutant::HandedOverTwice,
    Mutant::SnapshotForgetsTokens,
    Mutant::LateOfferCounts,
    Mutant::OtherBodyIsARepeat,
    Mutant::GivenUpAsFailed,
    Mutant::HeirAnswersForAll,
    Mutant::TrustsOwnCall,
    Mutant::OneCopyRefusedIsAll,
    Mutant::TurnsAwayAndRuns,
];

#[cfg(feature = "mutants")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Activates one fault in the whole process, or none.
#[cfg(feature = "mutants")]
pub fn activate(mutant: Option<Mutant>) {
    ACTIVE.store(mutant.map_or(0, |mutant| mutant as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether this fault is active.
#[cfg(feature = "mutants")]
pub fn is_active(mutant: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == mutant as u8
}

/// Whether this fault is active: never without the feature.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
