use super::*;

#[test]
fn the_relative_error_of_a_bucket_is_at_most_one_sixty_fourth() {
    let mut us = 1;
    while us < MAX_US {
        let reported = f64::from(bucket_midpoint(bucket(us)));
        assert!(
            (reported / f64::from(us) - 1.0).abs() <= 1.0 / 64.0 + 1e-9,
            "{us} is reported as {reported}"
        );
        us += us / 7 + 1;
    }
}

#[test]
fn the_number_of_buckets_is_bounded() {
    let mut sketch = Sketch::default();
    for us in 0..2_000_000 {
        sketch.add(us * 41);
    }
    sketch.add(u32::MAX);
    assert!(sketch.is_valid());
    assert_eq!(usize::from(bucket(u32::MAX)) + 1, MAX_BUCKETS);
}

#[test]
fn values_are_found_by_rank() {
    let mut sketch = Sketch::default();
    [30, 10, 20].into_iter().for_each(|us| sketch.add(us));
    assert_eq!([0, 1, 2, 3].map(|rank| sketch.value_at_rank(rank)), [Some(10), Some(20), Some(30), None]);
}
