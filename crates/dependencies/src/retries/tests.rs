//! The maximum credit of the retry budget. That retries stay within their share is tested with the calls.

use super::*;

#[test]
fn saved_credit_is_bounded() {
    let mut budget = RetryBudget::new(&Config::default());
    (0..10_000).for_each(|_| budget.record_first_attempt());
    let mut retries = 0;
    while budget.allows_retry() {
        budget.record_retry();
        retries += 1;
    }
    assert_eq!(retries, 10);
}
