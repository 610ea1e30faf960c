use super::*;

/// After many wraparounds the ring must stay within its limit and start with a snapshot.
#[test]
fn ring_is_bounded_and_starts_with_a_snapshot() {
    for every in [1, 3, 7] {
        let mut ring = Ring::new(1000);
        for n in 0..30_000usize {
            ring.push(vec![(n % 251) as u8; 20 + n % 13], n % every == 0);
            assert!(ring.bytes() <= 1000);
            assert_eq!(ring.bytes(), ring.blocks().map(<[u8]>::len).sum::<usize>());
            let first = ring.blocks.front().unwrap();
            assert!(first.1, "after {n} blocks, one snapshot in {every}");
        }
        assert!(ring.bytes() > 700, "{} of 1000 are used", ring.bytes());
        ring.set_max_bytes(100);
        assert!(ring.bytes() <= 100 && ring.blocks.front().is_none_or(|(_, snapshot)| *snapshot));
    }
    // A block larger than the ring is not kept. The next one counts as the first again, even without a
    // snapshot.
    let mut ring = Ring::new(10);
    ring.push(vec![0; 11], true);
    ring.push(vec![0; 5], false);
    assert_eq!(ring.blocks().count(), 1);
}
