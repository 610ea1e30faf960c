//! Mutations of the rules, for tests that show that the checks detect each one. A program built without the
//! feature `mutants` has none: [`is_active`] is then a constant.

/// A mutation that removes one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A holder counts a lease from when it received the answer.
    CountsFromReceipt = 1,
    /// No margin for clock drift.
    NoDriftMargin,
    /// A new leader does not wait for renewals that its predecessor sent: leases expire at once.
    NewLeaderGrantsAtOnce,
    /// A snapshot loses the counter of tokens.
    SnapshotForgetsTokens,
    /// A leader renews leases without confirming with a majority that it still leads.
    RenewedByAMinority,
    /// A later incarnation of a member is taken for the holder.
    IncarnationIgnored,
    /// A release takes effect even when another process holds the lease by then.
    LateReleaseHonoured,
    /// A holder begins at once, though an act of the previous holder may still be running.
    ActIsNotWaitedOut,
    /// A lease is renewed while its expiry is being committed.
    EndingGoesOn,
    /// A cursor is accepted under an old token.
    OldTokenWritesCursor,
    /// A released lease is held again after an old answer.
    GivenUpComesBack,
    /// A voter acknowledges data that it has not yet synced to disk.
    SaidBeforeSynced,
    /// A revoked lease expires at once, whatever was sent to its holder.
    RevokedEndsAtOnce,
    /// A voter does not store a change of the voter slots, and restarts with the old ones.
    SeatsNotWritten,
}

/// All mutations.
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

/// Activates a mutation in the whole process, or none.
#[cfg(feature = "mutants")]
pub fn activate(mutant: Option<Mutant>) {
    ACTIVE.store(mutant.map_or(0, |mutant| mutant as u8), std::sync::atomic::Ordering::SeqCst);
}

/// Whether this mutation is active.
#[cfg(feature = "mutants")]
pub fn is_active(mutant: Mutant) -> bool {
    ACTIVE.load(std::sync::atomic::Ordering::Relaxed) == mutant as u8
}

/// Whether this mutation is active: never.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
