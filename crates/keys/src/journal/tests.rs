use super::*;
use crate::FIRST_ADOPTED_ID;

/// Seeded random numbers (xorshift64*), the same on every machine.
struct Random(u64);

impl Random {
    fn next(&mut self, max: u64) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 33) % max
    }
}

/// Applies random operations to a journaled table. Replaying the journal from the start, or from any saved
/// state, must lead to the same results and the same final state, and neither may contain a result.
#[test]
fn replaying_the_journal_leads_to_the_same_table() {
    for seed in 1..=20 {
        let mut random = Random(seed * 2 + 1);
        let mut table = JournaledKeyTable::new(20_000, true);
        let mut states: Vec<(usize, Vec<u8>)> = Vec::new();
        let mut steps: Vec<Step> = Vec::new();
        for n in 0..600u64 {
            if n % 100 == 0 {
                steps.extend(table.take_steps());
                states.push((steps.len(), postcard::to_stdvec(&*table).unwrap()));
            }
            let (now, id) = (n as f64 / 10.0, RequestId(n));
            let key: Key = format!("key-{}", random.next(40)).into();
            let earlier = RequestId(n.saturating_sub(random.next(20)));
            match random.next(9) {
                0..=2 => drop(table.register_try(&key, random.next(2), id, now, |id| id.0 % 2 == 0)),
                3 => {
                    table.start_run(&key, earlier, now + 5.0);
                }
                4 => table.end_run(&key, earlier, (random.next(3) > 0).then(|| vec![0xab; 900].into())),
                5 => table.release_try(&key, earlier),
                6 => table.never_ran(&key, earlier),
                7 => table.expire(now),
                8 if random.next(4) == 0 => table.extend_windows(2.0, now + 6.0),
                _ => match random.next(4) {
                    0 => table.replace_pending(&key, id),
                    1 => drop(table.fail_runs_from(RequestId(n - n % 50))),
                    2 => drop(table.adopt(
                        &key,
                        1,
                        RequestId(FIRST_ADOPTED_ID.0 + n),
                        now + 3.0,
                        Some(RunState::Done(vec![0xab; 500].into())),
                    )),
                    _ => drop(table.adopt(&key, 1, RequestId(FIRST_ADOPTED_ID.0 + n), now + 3.0, None)),
                },
            }
            assert!(table.bytes() <= 20_000 + 40 * 500);
        }
        steps.extend(table.take_steps());
        let last = postcard::to_stdvec(&*table).unwrap();
        assert!(!last.windows(4).any(|bytes| bytes == [0xab; 4]), "the state contains a result");
        for (from, state) in &states {
            let mut keys: KeyTable = postcard::from_bytes(state).unwrap();
            for step in &steps[*from..] {
                assert_eq!(step.operation.apply(&mut keys), step.result, "{step:?}");
            }
            assert_eq!(postcard::to_stdvec(&keys).unwrap(), last);
        }
    }
}
