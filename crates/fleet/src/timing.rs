//! The timing of leases: how long they last, and how far clocks may drift.

use crate::mutants::{Mutant, is_active};
use std::time::Duration;

/// Thousandths in a whole.
const PERMILLE: u32 = 1000;

/// The timing that all members share; set in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a lease lasts, counted from when the holder requested it or its renewal.
    pub ttl: Duration,
    /// How far the rate of a clock may be off to either side, in thousandths. Leases stay exclusive even if
    /// two clocks are off in opposite directions.
    pub drift_permille: u32,
}

impl LeaseTiming {
    /// How long a holder uses a lease after requesting it, by its own clock.
    pub fn holder_ttl(&self) -> Duration {
        if is_active(Mutant::NoDriftMargin) {
            return self.ttl;
        }
        self.ttl * (PERMILLE - self.drift_permille.min(PERMILLE)) / PERMILLE
    }

    /// How long the leader waits before it grants the lease to another process, by its own clock.
    pub fn expiry_wait(&self) -> Duration {
        if is_active(Mutant::NoDriftMargin) {
            return self.ttl;
        }
        self.ttl * (PERMILLE + self.drift_permille) / PERMILLE
    }

    /// How long a process has to wait, by its own clock, until `time` has passed on another process's clock.
    pub fn wait_to_outlast(&self, time: Duration) -> Duration {
        // Both margins apply: the other clock may be slow, and this one fast.
        time * (PERMILLE + self.drift_permille) / PERMILLE.saturating_sub(self.drift_permille).max(1)
    }

    /// How often a holder renews its leases; three requests in a row may be lost.
    pub fn renewal_interval(&self) -> Duration {
        self.holder_ttl() / 4
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// In true time, a holder with the slowest clock stops using a lease before a leader with the fastest
    /// clock grants it to another process.
    #[test]
    fn leases_stay_exclusive_with_drift_to_either_side() {
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
