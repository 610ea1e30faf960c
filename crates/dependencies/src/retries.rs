//! The retry budget: attempts beyond the first, as a share of the first, over all dependencies of a nodo. When many
//! calls fail at once, repeating each would multiply the load on what is failing; so each first attempt earns a share
//! of one further, and no more can be made than were earned.

use jaspershunt_operator::Retries as Config;
use serde::{Deserialize, Serialize};

/// What was earned is counted in these parts of an attempt, so that no rounding adds up.
const PARTS: u64 = 10_000;

/// The budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Retries {
    earned: u64,
    share: u64,
    saved: u64,
    /// First attempts so far, and further ones.
    pub first: u64,
    /// Attempts beyond the first.
    pub further: u64,
}

impl Retries {
    /// Nothing is earned yet, so that the share holds from the first moment on.
    pub fn new(config: &Config) -> Retries {
        let mut retries = Retries { earned: 0, share: 0, saved: 0, first: 0, further: 0 };
        retries.configure(config);
        retries
    }

    /// Goes by another configuration from now on; what is saved beyond it is lost.
    pub fn configure(&mut self, config: &Config) {
        self.share = (config.share.0 * PARTS as f64).round() as u64;
        self.saved = config.saved as u64 * PARTS;
        self.earned = self.earned.min(self.saved);
    }

    /// A first attempt is made.
    pub fn first(&mut self) {
        self.first += 1;
        self.earned = (self.earned + self.share).min(self.saved);
    }

    /// Whether a further attempt can be made.
    pub fn allow(&self) -> bool {
        self.earned >= PARTS
    }

    /// A further attempt is made.
    pub fn further(&mut self) {
        self.further += 1;
        self.earned = self.earned.saturating_sub(PARTS);
    }
}

#[cfg(test)]
mod tests;
