//! The terms on which leases are given: how long they last, and how far clocks may differ.

use crate::mutants::{Mutant, is_active};
use std::time::Duration;

/// Parts of a thousand.
const PERMILLE: u32 = 1000;

/// What all members have agreed on beforehand; it comes from the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a lease lasts from the moment at which the holder asked for it, or for it to go on.
    pub ttl: Duration,
    /// How far the rate of a clock may be off, in thousandths, to either side. Two clocks that are both off still keep the
    /// promise.
    pub drift_permille: u32,
}

impl LeaseTiming {
    /// For how long by its own clock a holder counts on what it was given.
    pub fn holder_ttl(&self) -> Duration {
        if is_active(Mutant::NoDriftMargin) {
            return self.ttl;
        }
        self.ttl * (PERMILLE - self.drift_permille.min(PERMILLE)) / PERMILLE
    }

    /// How long by its own clock the leader waits before it gives the lease to another.
    pub fn expiry_wait(&self) -> Duration {
        if is_active(Mutant::NoDriftMargin) {
            return self.ttl;
        }
        self.ttl * (PERMILLE + self.drift_permille) / PERMILLE
    }

    /// How long by its own clock a process waits so that another one's `time` is over.
    pub fn wait_to_outlast(&self, time: Duration) -> Duration {
        // Twice: the other clock may be slow, and this one fast.
        time * (PERMILLE + self.drift_permille) / PERMILLE.saturating_sub(self.drift_permille).max(1)
    }

    /// How often a holder asks for its leases to go on: three times may be lost.
    pub fn renewal_interval(&self) -> Duration {
        self.holder_ttl() / 4
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// In true time a holder with the slowest clock is done before a leader with the fastest one gives the lease away.
    #[test]
    fn clocks_that_are_off_to_either_side_keep_the_promise() {
        for drift_permille in [0, 1, 50, 100, 200] {
            let terms = LeaseTiming { ttl: Duration::from_secs(10), drift_permille };
            let (slow, fast) =
                (f64::from(1000 - drift_permille) / 1000.0, f64::from(1000 + drift_permille) / 1000.0);
            let held = terms.holder_ttl().as_secs_f64() / slow;
            let waited = terms.expiry_wait().as_secs_f64() / fast;
            assert!(held <= waited + 1e-9, "{drift_permille}: {held} {waited}");
            let other = 3.0 / slow;
            assert!(terms.wait_to_outlast(Duration::from_secs(3)).as_secs_f64() / fast >= other - 1e-6);
        }
    }
}
