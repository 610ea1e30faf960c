//! Properties of the merge: it is independent of order and grouping, and loses nothing.

use jaspershunt_routes::base::{Base, EditContext};
use jaspershunt_routes::merge::{MergeInput, merge};
use jaspershunt_routes::rules;
use jaspershunt_routes::soak::{SeededRng, random_case};
use proptest::prelude::*;

/// Distributes the edits to three sides of a network partition.
fn sides(input: &MergeInput, rng: &mut SeededRng) -> [MergeInput; 3] {
    let mut sides: [MergeInput; 3] = Default::default();
    for (key, edit) in &input.edits {
        // Each edit is on at least one side, and counts once.
        let first = rng.below(3);
        for (at, side) in sides.iter_mut().enumerate() {
            if at as u64 == first || rng.below(3) == 0 {
                side.edits.insert(key.clone(), edit.clone());
                side.consents.entry(key.clone()).or_default().insert("ares".into(), rng.below(2) == 0);
            }
        }
    }
    sides
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn merging_is_associative_commutative_and_idempotent(seed in any::<u64>()) {
        let (base, input) = random_case(seed);
        let [a, b, c] = sides(&input, &mut SeededRng::new(seed ^ 1));
        let left = a.clone().union(&b).union(&c);
        let right = a.clone().union(&b.clone().union(&c));
        prop_assert_eq!(&left, &right);
        prop_assert_eq!(&left, &c.clone().union(&b).union(&a));
        prop_assert_eq!(&left, &left.clone().union(&left));
        prop_assert_eq!(merge(&base, &left), merge(&base, &right));
        // Every edit has a state.
        let merged = merge(&base, &left);
        prop_assert!(input.edits.keys().all(|key| merged.states.contains_key(key)));
    }

    #[test]
    fn accepted_edits_give_the_same_table_in_any_order_through_valid_tables(seed in any::<u64>()) {
        let (base, input) = random_case(seed);
        let merged = merge(&base, &input);
        let next = merged.next_base(&base, &input).expect("what is taken can be applied");
        let mut rng = SeededRng::new(seed ^ 2);
        let mut order: Vec<_> = merged.accepted().collect();
        for at in (1..order.len()).rev() {
            order.swap(at, rng.below(at as u64 + 1) as usize);
        }
        let mut serial: Base = base.clone();
        for key in order {
            let terms = EditContext { base: base.revision, ..EditContext::default() };
            serial.apply(&input.edits[key], &terms, base.revision + 1).expect("in any order");
            prop_assert_eq!(rules::check(&serial.table), vec![]);
        }
        prop_assert_eq!(serial.table, next.table);
    }
}
