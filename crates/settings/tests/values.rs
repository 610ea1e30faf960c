//! Unknown values of settings select the safe default; where there is none, the error names the key.

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
fn unknown_values_select_the_safe_default() {
    let (settings, names) = read(&text("free", "tomorrow"), "settings").unwrap();
    assert_eq!(
        (settings.halt, settings.say, settings.below, settings.worth_by),
        (StopMode::Never, CallerFeedback::Nothing, DependencyModel::Nothing, WorthBy::Request)
    );
    // Deadlines are not passed on unless the settings say so.
    assert!(!names.passes_deadline);
}

#[test]
fn unknown_repeat_semantics_are_an_error() {
    let problem = read(&text("tomorrow", "silent"), "settings").unwrap_err();
    assert_eq!(problem, "settings.classes[0].semantics must be free, guarded or single_shot");
}
