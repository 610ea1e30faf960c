//! The bound on what is saved up. That the share holds at every moment is tested with the calls.

use super::*;

#[test]
fn saved_up_attempts_are_bounded() {
    let mut budget = RetryBudget::new(&Config::default());
    (0..10_000).for_each(|_| budget.record_first_attempt());
    let mut retries = 0;
    while budget.allows_retry() {
        budget.record_retry();
        retries += 1;
    }
    assert_eq!(retries, 10);
}
