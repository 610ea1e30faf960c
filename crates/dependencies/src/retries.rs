//! The retry budget: retries as a share of first attempts, over all dependencies of a nodo. When many calls
//! fail at once, retrying each would multiply the load on the failing dependency. So each first attempt
//! earns a fraction of a retry, and no more retries are made than were earned.

use jaspershunt_operator::Retries as Config;
use serde::{Deserialize, Serialize};

/// Credit that one retry costs. Credit is an integer, so that rounding errors do not add up.
const CREDIT_PER_RETRY: u64 = 10_000;

/// The retry budget of a nodo.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RetryBudget {
    #[serde(rename = "earned")]
    credit: u64,
    #[serde(rename = "share")]
    credit_per_call: u64,
    #[serde(rename = "saved")]
    max_credit: u64,
    /// First attempts so far.
    #[serde(rename = "first")]
    pub first_attempts: u64,
    /// Retries so far.
    #[serde(rename = "further")]
    pub retries: u64,
}

impl RetryBudget {
    /// Creates a budget without credit, so that the configured share holds from the start.
    pub fn new(config: &Config) -> RetryBudget {
        let mut budget =
            RetryBudget { credit: 0, credit_per_call: 0, max_credit: 0, first_attempts: 0, retries: 0 };
        budget.configure(config);
        budget
    }

    /// Applies a new configuration; credit above its maximum is lost.
    pub fn configure(&mut self, config: &Config) {
        self.credit_per_call = (config.share.0 * CREDIT_PER_RETRY as f64).round() as u64;
        self.max_credit = config.saved as u64 * CREDIT_PER_RETRY;
        self.credit = self.credit.min(self.max_credit);
    }

    /// Records a first attempt, which earns credit.
    pub fn record_first_attempt(&mut self) {
        self.first_attempts += 1;
        self.credit = (self.credit + self.credit_per_call).min(self.max_credit);
    }

    /// Whether the credit allows a retry.
    pub fn allows_retry(&self) -> bool {
        self.credit >= CREDIT_PER_RETRY
    }

    /// Records a retry, which spends credit.
    pub fn record_retry(&mut self) {
        self.retries += 1;
        self.credit = self.credit.saturating_sub(CREDIT_PER_RETRY);
    }
}

#[cfg(test)]
mod tests;
