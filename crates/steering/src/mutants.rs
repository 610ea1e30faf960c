//! Ways in which the rules could be wrong, for those who show that their checks find each. There is none in a program that is built
//! without the feature `mutants`: the question is answered when it is compiled.

/// A rule left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A pair of which nothing is known is taken for the nearest.
    EmptyMeansNear = 1,
    /// The time in an edge's own queue counts as path.
    QueueCountedAsPath,
    /// Who timed out does not count.
    SurvivorsOnly,
    /// All moves that pay are made at once.
    StepBoundIgnored,
    /// A table under an epoch that is over is applied.
    OldEpochApplied,
    /// Each edge is believed.
    LyingEdgeBelieved,
    /// A region that says nothing is taken for far.
    SilenceIsDistance,
    /// A move needs no gain beyond noise and no stay.
    NoHysteresis,
    /// A move does not look whether there is room.
    RoomIgnored,
    /// A region that comes back is given all at once.
    ReturnsAtOnce,
    /// What was measured once is as sure for ever.
    KnowledgeStaysSharp,
    /// The level of arrival stamps is taken for a delay.
    ClocksBelieved,
    /// Another that leads does not know what is warming, nor what was moved.
    WarmingForgotten,
}

/// All of them.
pub const ALL: [Mutant; 13] = [
    Mutant::EmptyMeansNear,
    Mutant::QueueCountedAsPath,
    Mutant::SurvivorsOnly,
    Mutant::StepBoundIgnored,
    Mutant::OldEpochApplied,
    Mutant::LyingEdgeBelieved,
    Mutant::SilenceIsDistance,
    Mutant::NoHysteresis,
    Mutant::RoomIgnored,
    Mutant::ReturnsAtOnce,
    Mutant::KnowledgeStaysSharp,
    Mutant::ClocksBelieved,
    Mutant::WarmingForgotten,
];

#[cfg(feature = "mutants")]
static ACTIVE: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// From now on this rule is left out in the whole process; or none.
#[cfg(feature = "mutants")]
pub fn activate(one: Option<Mutant>) {
    ACTIVE.store(one.map_or(0, |one| one as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether this rule is left out.
#[cfg(feature = "mutants")]
pub fn is_active(one: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == one as u8
}

/// Whether this rule is left out: never.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
