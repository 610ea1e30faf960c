//! Ways in which the rules could be wrong, for those who show that their checks find each. There is none in a program that is built
//! without the feature `mutants`: the question is answered when it is compiled.

/// A rule left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// Of two values for one field the later edit's stands.
    LastWriterWins = 1,
    /// A conflict is numbered by where it stands among those that are known here.
    NumberedByPlace,
    /// A sum is looked at for two edits at a time.
    SumByPairs,
    /// All members are shown a table that is still on trial.
    ShownBeforeAgreed,
    /// Circles of fall-backs are not looked for.
    CircleNotLookedFor,
    /// An edit that is to follow a rename goes by the old name.
    RenameNotFollowed,
    /// A team's word is not asked.
    WordNotAsked,
    /// A conflict can be settled again.
    SettledTwice,
    /// An edit made on an older revision is taken as if it were made on the present one.
    BaseIgnored,
    /// An edit that has ended and comes again is a new one.
    EndForgotten,
    /// Loss of ownership is not seen by edits made meanwhile.
    LossNotSeen,
    /// Routes that overlap are not compared.
    OverlapNotCompared,
    /// A table on trial is judged by however few requests.
    FewDecide,
    /// What starts told that are gone goes on counting.
    GoneCount,
    /// What a start tells again is added to what it told before.
    ToldTwice,
    /// Whoever tells of a trial is taken at its word on which side it is.
    AnySideCounts,
}

/// All of them.
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

/// From now on this rule is left out in the whole process; or none.
#[cfg(feature = "mutants")]
pub fn activate(one: Option<Mutant>) {
    PRESENT.store(one.map_or(0, |one| one as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether this rule is left out.
#[cfg(feature = "mutants")]
pub fn is_active(one: Mutant) -> bool {
    PRESENT.load(std::sync::atomic::Ordering::Relaxed) == one as u8
}

/// Whether this rule is left out: never.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
