//! Ways in which the rules could be wrong, for those who show that their checks find each. There is none in a program that is built
//! without the feature `mutants`: the question is answered when it is compiled.

/// A rule left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// An heir of fenced work shows the token of the one before it.
    HeirDoesNotFence = 1,
    /// Begun work of a lost owner is run by its heir as if nobody had begun it.
    BegunCountsAsHeld,
    /// Whoever owned it once may begin it.
    TokenNotCompared,
    /// An heir does not get the window of the key.
    WindowNotHandedOn,
    /// The origin runs before it has heard that the work is held.
    RunsBeforeHeld,
    /// A client is told what came of a run before that is agreed.
    AnswersBeforeAgreed,
    /// A later outcome takes the place of the first.
    LaterOutcomeOverwrites,
    /// Work is taken from an owner that is there.
    TakesFromTheLiving,
    /// What was handed over once is handed over again.
    HandedOverTwice,
    /// A snapshot forgets the count of tokens.
    SnapshotForgetsTokens,
    /// A late copy of an offer counts, though its key is forgotten.
    LateOfferCounts,
    /// A key with another body is taken for a repeat.
    OtherBodyIsARepeat,
    /// Begun work without an heir is said to have failed.
    GivenUpAsFailed,
    /// An heir that does not run what another had begun says that it never ran.
    HeirAnswersForAll,
    /// The resource's "never ran" is trusted by a process whose own call may be on its way.
    TrustsOwnCall,
    /// One copy of an offer was refused: so nothing of it runs.
    OneCopyRefusedIsAll,
    /// An offer that nobody asks for any more is said never to have run, and run for the next who asks.
    TurnsAwayAndRuns,
}

/// All of them.
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

/// From now on this rule is left out in the whole process; or none.
#[cfg(feature = "mutants")]
pub fn activate(mutant: Option<Mutant>) {
    ACTIVE.store(mutant.map_or(0, |mutant| mutant as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether this rule is left out.
#[cfg(feature = "mutants")]
pub fn is_active(mutant: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == mutant as u8
}

/// Whether this rule is left out: never.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
