//! Mutants: rules that can be disabled to show that the checks find it. Without the feature `mutants` no
//! rule can be disabled, which is decided at compile time.

/// A disabled rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// Of two values for one field, the later edit's is used.
    LastWriterWins = 1,
    /// The id of a conflict is its position among the known ones.
    NumberedByPlace,
    /// Sums are checked only for pairs of edits.
    SumByPairs,
    /// All members are shown a table that is still on trial.
    ShownBeforeAgreed,
    /// Cycles of fallbacks are not searched for.
    CircleNotLookedFor,
    /// An edit that is to follow a rename uses the old name.
    RenameNotFollowed,
    /// The consent of teams is not required.
    WordNotAsked,
    /// A conflict can be settled again.
    SettledTwice,
    /// An edit based on an older revision is treated as if based on the present one.
    BaseIgnored,
    /// An ended edit that is sent again is treated as new.
    EndForgotten,
    /// Edits made meanwhile do not conflict with a change of owner.
    LossNotSeen,
    /// Overlapping routes are not compared.
    OverlapNotCompared,
    /// A table on trial is judged by any number of requests.
    FewDecide,
    /// Counts of incarnations that have left the fleet are kept.
    GoneCount,
    /// A repeated report is added to the earlier one.
    ToldTwice,
    /// A report is counted on whichever side it claims.
    AnySideCounts,
}

/// All mutants.
pub const ALL: [Mutant; 16] = [
    Mutant::LastWriterWins,
    Mutant::NumberedByPlace,
    Mutant::SumByPairs,
    Mutant::ShownBeforeAgreed,
    Mutant::CircleNotLookedFor,
    Mutant::RenameNotFollowed,
    Mutant::WordNotAsked,
    Mutant::SettledTwice,
    Mutant::BaseIgnored,
    Mutant::EndForgotten,
    Mutant::LossNotSeen,
    Mutant::OverlapNotCompared,
    Mutant::FewDecide,
    Mutant::GoneCount,
    Mutant::ToldTwice,
    Mutant::AnySideCounts,
];

#[cfg(feature = "mutants")]
static PRESENT: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Activates one mutant in the whole process, or none.
#[cfg(feature = "mutants")]
pub fn activate(one: Option<Mutant>) {
    PRESENT.store(one.map_or(0, |one| one as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether this mutant is active.
#[cfg(feature = "mutants")]
pub fn is_active(one: Mutant) -> bool {
    PRESENT.load(std::sync::atomic::Ordering::Relaxed) == one as u8
}

/// Whether this mutant is active: never.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
