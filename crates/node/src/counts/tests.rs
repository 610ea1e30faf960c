use super::*;

#[test]
fn requests_taken_equal_those_ended_and_open() {
    let mut counts = Counts::new(["read", "sign"]);
    for _ in 0..5 {
        counts.taken("read");
    }
    counts.taken("sign");
    counts.run_sent("read");
    for how in [Ended::Answered, Ended::Deferred, Ended::Errored, Ended::Left] {
        counts.ended("read", how);
        assert!(counts.is_consistent());
    }
    let read = counts.of_class("read");
    assert_eq!((read.answered, read.deferred, read.errored, read.left, read.open()), (1, 1, 2, 1, 1));
    assert_eq!((counts.current(), counts.of_class("sign").open()), (2, 1));
}

#[test]
fn class_names_are_bounded_and_totals_include_further_classes() {
    let names: Vec<String> = (0..2 * MAX_CLASSES).map(|n| n.to_string()).collect();
    let mut counts = Counts::new(names.iter().map(String::as_str));
    names.iter().for_each(|name| counts.taken(name));
    assert_eq!(counts.transactions.len(), MAX_CLASSES + 1);
    assert_eq!((counts.current(), counts.is_consistent()), (2 * MAX_CLASSES as u64, true));
}

#[test]
fn counters_keep_the_names_shown_to_operators() {
    let mut counts = Counts::new(["read"]);
    counts.taken("read");
    counts.ended("read", Ended::Deferred);
    counts.configuration_read(true);
    counts.configuration_read(false);
    counts.configuration_read(false);
    let row = r#"{"taken":1,"answered":0,"deferred":1,"errored":0,"left":0,"sends":0}"#;
    let rest = r#""current":0,"sends":0,"conf_loaded":1,"conf_invalid":2"#;
    assert_eq!(
        serde_json::to_string(&counts).unwrap(),
        format!(r#"{{"transactions":{{"read":{row}}},{rest}}}"#)
    );
}
