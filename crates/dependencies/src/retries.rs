//! The retry budget: attempts beyond the first, as a share of the first, over all dependencies of a nodo. When many
//! calls fail at once, repeating each would multiply the load on what is failing; so each first attempt earns a share
//! of one further, and no more can be made than were earned.

use jaspershunt_operator::Retries as Config;
use serde::{Deserialize, Serialize};

/// What was earned is counted in these parts of an attempt, so that no rounding adds up.
const CREDIT_PER_RETRY: u64 = 10_000;

/// The budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RetryBudget {
    #[serde(rename = "earned")]
    credit: u64,
    #[serde(rename = "share")]
    credit_per_call: u64,
    #[serde(rename = "saved")]
    max_credit: u64,
    /// First attempts so far, and further ones.
    #[serde(rename = "first")]
    pub first_attempts: u64,
    /// Attempts beyond the first.
    #[serde(rename = "further")]
    pub retries: u64,
}

impl RetryBudget {
    /// Nothing is earned yet, so that the share holds from the first moment on.
    pub fn new(config: &Config) -> RetryBudget {
        let mut budget =
            RetryBudget { credit: 0, credit_per_call: 0, max_credit: 0, first_attempts: 0, retries: 0 };
        budget.configure(config);
        budget
    }

    /// Goes by another configuration from now on; what is saved beyond it is lost.
    pub fn configure(&mut self, config: &Config) {
        self.credit_per_call = (config.share.0 * CREDIT_PER_RETRY as f64).round() as u64;
        self.max_credit = config.saved as u64 * CREDIT_PER_RETRY;
        self.credit = self.credit.min(self.max_credit);
    }

    /// A first attempt is made.
    pub fn record_first_attempt(&mut self) {
        self.first_attempts += 1;
        self.credit = (self.credit + self.credit_per_call).min(self.max_credit);
    }

    /// Whether a further attempt can be made.
    pub fn allows_retry(&self) -> bool {
        self.credit >= CREDIT_PER_RETRY
    }

    /// A further attempt is made.
    pub fn record_retry(&mut self) {
        self.retries += 1;
        self.credit = self.credit.saturating_sub(CREDIT_PER_RETRY);
    }
}

#[cfg(test)]
mod tests;
