//! Values of settings that the program does not know count as the careful one; where there is none, the key is named.

use jaspershunt::{CallerFeedback, DependencyModel, StopMode, WorthBy};
use jaspershunt_settings::read;

fn text(semantics: &str, value: &str) -> String {
    format!(
        r#"{{"classes":[{{"name":"a","worth":1,"targetS":1,"deadlineS":2,"semantics":"{semantics}","windowS":5}}],"worthBy":"{value}",
            "domain":{{"nCores":1,"heapKb":1,"runFactor":1,"halt":"{value}","say":"{value}","dependsOn":"{value}"}},
            "obligations":{{"coldFrom":1,"coldS":1,"fallMultiple":5,"fallS":1,"drainGraceS":1}}}}"#
    )
}

#[test]
fn values_that_are_not_known_count_as_the_careful_one() {
    let (settings, names) = read(&text("free", "tomorrow"), "settings").unwrap();
    assert_eq!(
        (settings.halt, settings.say, settings.below, settings.worth_by),
        (StopMode::Never, CallerFeedback::Nothing, DependencyModel::Nothing, WorthBy::Request)
    );
    // Where nothing is promised nothing is passed on.
    assert!(!names.passes_deadline);
}

#[test]
fn there_is_no_careful_value_for_whether_work_may_run_again() {
    let problem = read(&text("tomorrow", "silent"), "settings").unwrap_err();
    assert_eq!(problem, "settings.classes[0].semantics must be free, guarded or single_shot");
}
