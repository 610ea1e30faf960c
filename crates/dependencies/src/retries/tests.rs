//! The bound on what is saved up. That the share holds at every moment is tested with the calls.

use super::*;

#[test]
fn saved_up_attempts_are_bounded() {
    let mut retries = Retries::new(&Config::default());
    (0..10_000).for_each(|_| retries.first());
    let mut further = 0;
    while retries.allow() {
        retries.further();
        further += 1;
    }
    assert_eq!(further, 10);
}
