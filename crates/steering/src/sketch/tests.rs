use super::*;

#[test]
fn a_delay_is_told_to_within_a_sixty_fourth() {
    let mut us = 1;
    while us < MAX_US {
        let told = f64::from(bucket_midpoint(bucket(us)));
        assert!((told / f64::from(us) - 1.0).abs() <= 1.0 / 64.0 + 1e-9, "{us} is told as {told}");
        us += us / 7 + 1;
    }
}

#[test]
fn there_are_no_more_buckets_than_its_bound() {
    let mut sketch = Sketch::default();
    for us in 0..2_000_000 {
        sketch.add(us * 41);
    }
    sketch.add(u32::MAX);
    assert!(sketch.is_valid());
    assert_eq!(usize::from(bucket(u32::MAX)) + 1, MAX_BUCKETS);
}

#[test]
fn places_are_counted_in_order() {
    let mut sketch = Sketch::default();
    [30, 10, 20].into_iter().for_each(|us| sketch.add(us));
    assert_eq!([0, 1, 2, 3].map(|rank| sketch.value_at_rank(rank)), [Some(10), Some(20), Some(30), None]);
}
