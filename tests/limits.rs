//! Limits the length of `src/logic.rs`, and the ranking of lanes to once a step.

#[test]
fn the_module_keeps_to_its_limits() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 940, "src/logic.rs has {lines} lines that are not blank; 940 at most");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "src/logic.rs:{} is longer than 110 characters", i + 1);
    }
}

/// Ranking the lanes is the only work that costs more than handling the events: `step` calls it once, and
/// nothing else sorts.
#[test]
fn the_order_is_ranked_once_a_step() {
    let text = include_str!("../src/logic.rs");
    assert_eq!([text.matches("self.rank()").count(), text.matches(".sort").count()], [1, 1]);
}
