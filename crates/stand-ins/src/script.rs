//! Schedules of a fake dependency's faults.

use crate::dependency::{Dependency, Mode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Modes with the times at which they begin, relative to the start of the script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(Duration, Mode)>);

impl Script {
    /// One mode from `from` until `until`.
    pub fn fault(from: Duration, mode: Mode, until: Duration) -> Script {
        Script(vec![(from, mode), (until, Mode::Good)])
    }

    /// Alternates between a mode and normal service, for `each` per phase, from `from` until `until`.
    pub fn flap(from: Duration, mode: Mode, each: Duration, until: Duration) -> Script {
        let mut steps = Vec::new();
        let (mut at, mut bad) = (from, true);
        while at < until && !each.is_zero() {
            steps.push((at, if bad { mode } else { Mode::Good }));
            (at, bad) = (at + each, !bad);
        }
        steps.push((until, Mode::Good));
        Script(steps)
    }

    /// Draws this many consecutive faults from a seed, each followed by recovery, within this time.
    pub fn random(seed: u64, faults: u32, within: Duration) -> Script {
        let mut random = StdRng::seed_from_u64(seed);
        let modes =
            [Mode::Slow(20.0), Mode::Failing, Mode::Refusing, Mode::Hanging, Mode::Resetting, Mode::Noisy];
        let part = within / faults.max(1);
        let steps = (0..faults).flat_map(|n| {
            let begins = part * n + part.mul_f64(random.random_range(0.0..0.3));
            let ends = begins + part.mul_f64(random.random_range(0.2..0.6));
            let mode = modes[random.random_range(0..modes.len())];
            [(begins, mode), (ends, Mode::Good)]
        });
        Script(steps.collect())
    }

    /// Applies the script to a dependency.
    pub async fn play(&self, dependency: &Dependency) {
        let began = Instant::now();
        for (at, mode) in &self.0 {
            sleep_until(began + *at).await;
            dependency.set(*mode);
        }
    }
}
