//! Ways in which the rules could be wrong, for those who show that their checks find each. There is none in a program that is built
//! without the feature `mutants`: the question is answered when it is compiled.

/// A rule left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A holder counts from when it heard the answer.
    CountsFromReceipt = 1,
    /// Clocks are taken to run alike.
    NoDriftMargin,
    /// A new leader goes by what it never heard: leases run out at once.
    NewLeaderGrantsAtOnce,
    /// A snapshot forgets the count of tokens.
    SnapshotForgetsTokens,
    /// A leader answers without asking whether it still leads.
    RenewedByAMinority,
    /// A later start of a member is taken for the one that holds.
    IncarnationIgnored,
    /// A release counts whoever holds by now.
    LateReleaseHonoured,
    /// A holder begins at once, though the one before it may still act.
    ActIsNotWaitedOut,
    /// A lease goes on while its end is on its way into the log.
    EndingGoesOn,
    /// A cursor counts under an old token.
    OldTokenWritesCursor,
    /// A lease that was given up comes back by an old answer.
    GivenUpComesBack,
    /// A voter says that it has written what it has not yet.
    SaidBeforeSynced,
    /// A lease that operators take back ends at once, whatever its holder was told.
    RevokedEndsAtOnce,
    /// A voter forgets at its end who takes part.
    SeatsNotWritten,
}

/// All of them.
pub const ALL: [Mutant; 14] = [
    Mutant::CountsFromReceipt,
    Mutant::NoDriftMargin,
    Mutant::NewLeaderGrantsAtOnce,
    Mutant::SnapshotForgetsTokens,
    Mutant::RenewedByAMinority,
    Mutant::IncarnationIgnored,
    Mutant::LateReleaseHonoured,
    Mutant::ActIsNotWaitedOut,
    Mutant::EndingGoesOn,
    Mutant::OldTokenWritesCursor,
    Mutant::GivenUpComesBack,
    Mutant::SaidBeforeSynced,
    Mutant::RevokedEndsAtOnce,
    Mutant::SeatsNotWritten,
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
