use super::*;
use crate::read;

fn facts(classes: &[(&str, f64)], tenants: &[(&str, f64)]) -> (Settings, Names) {
    let class = |(name, deadline): &(&str, f64)| {
        format!(r#"{{"name":"{name}","worth":1,"targetS":1,"deadlineS":{deadline},"semantics":"free"}}"#)
    };
    let tenant = |(name, share): &(&str, f64)| format!(r#"{{"name":"{name}","share":{share}}}"#);
    let list = |items: Vec<String>| items.join(",");
    let text = format!(
        r#"{{"classes":[{}],"orgs":[{}],"domain":{{"nCores":1,"heapKb":1,"runFactor":1}},
            "obligations":{{"coldFrom":1,"coldS":1,"fallMultiple":5,"fallS":1,"drainGraceS":1}}}}"#,
        list(classes.iter().map(class).collect()),
        list(tenants.iter().map(tenant).collect()),
    );
    read(&text, "settings").unwrap()
}

#[test]
fn unchanged_classes_keep_their_slot_and_changed_ones_get_another() {
    let (old, _) = facts(&[("a", 4.0), ("b", 5.0)], &[("x", 0.5), ("y", 0.5)]);
    let (new, names) = facts(&[("c", 6.0), ("b", 5.0), ("a", 9.0)], &[("y", 0.7), ("z", 0.3)]);
    let (merged, names) = merge(&old, new, names, |_| false).unwrap();
    let deadlines: Vec<_> =
        merged.classes.iter().map(|class| (class.name.as_str(), class.deadline)).collect();
    assert_eq!(deadlines, [("a", 4.0), ("b", 5.0), ("c", 6.0), ("a", 9.0)]);
    assert_eq!(["a", "b", "c"].map(|name| names.class(name).unwrap()), [3, 1, 2]);
    assert!(!names.has_class_at(0) && names.has_class_at(3));
    let shares: Vec<_> = merged.tenants.iter().map(|tenant| (tenant.name.as_str(), tenant.share)).collect();
    assert_eq!(shares, [("x", 0.5), ("y", 0.7), ("z", 0.3)]);
    assert_eq!(["x", "y", "z"].map(|name| names.tenant(name)), [None, Some(1), Some(2)]);
}

#[test]
fn free_slots_are_reused_and_the_number_of_slots_is_limited() {
    let (mut settings, mut names) = facts(&[("a", 1.0)], &[]);
    for round in 0..1000 {
        let (new, next) = facts(&[("a", 2.0 + f64::from(round))], &[]);
        let used = names.clone();
        (settings, names) = merge(&settings, new, next, |place| !used.has_class_at(place)).unwrap();
        assert!(settings.classes.len() <= 2, "the class in force and its predecessor");
        assert_eq!(settings.classes[names.class("a").unwrap()].deadline, 2.0 + f64::from(round));
    }
    let mut refused = None;
    for round in 0..MAX_SLOTS {
        let (new, next) = facts(&[("a", 2000.0 + round as f64)], &[]);
        match merge(&settings, new, next, |_| false) {
            Ok((next, _)) => settings = next,
            Err(problem) => refused = Some(problem),
        }
    }
    assert!(refused.unwrap().contains("64 places"));
    assert_eq!(settings.classes.len(), MAX_SLOTS);
    let (new, next) = facts(&[("a", 1.0), ("a", 2.0)], &[]);
    assert!(merge(&settings, new, next, |_| true).is_err_and(|problem| problem.contains("classes[1].name")));
}
