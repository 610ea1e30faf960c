//! Deliberate faults for tests that prove that the checks detect each one. Without the feature `mutants` they
//! are off at compile time.

/// Deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A pair of unknown delay is taken for the nearest.
    EmptyMeansNear = 1,
    /// Time in an edge's own queue counts as network delay.
    QueueCountedAsPath,
    /// Requests that timed out are not counted.
    SurvivorsOnly,
    /// All worthwhile moves are made at once, without the budget.
    StepBoundIgnored,
    /// A table of a past epoch is applied.
    OldEpochApplied,
    /// No edge is distrusted.
    LyingEdgeBelieved,
    /// A region that does not report is taken for far.
    SilenceIsDistance,
    /// A move needs neither a gain beyond noise nor a minimum stay.
    NoHysteresis,
    /// A move ignores the capacity of its target.
    RoomIgnored,
    /// A recovered region gets its full load at once.
    ReturnsAtOnce,
    /// The uncertainty of an estimate does not grow with time.
    KnowledgeStaysSharp,
    /// Absolute differences of arrival times are taken for delays.
    ClocksBelieved,
    /// A new leader loses the planner state: which regions warm up, and the used budget.
    WarmingForgotten,
}

/// All faults.
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

/// Activates a fault in the whole process, or none.
#[cfg(feature = "mutants")]
pub fn activate(one: Option<Mutant>) {
    ACTIVE.store(one.map_or(0, |one| one as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether this fault is active.
#[cfg(feature = "mutants")]
pub fn is_active(one: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == one as u8
}

/// Always false without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
