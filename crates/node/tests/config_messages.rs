//! Messages for an invalid configuration: the file, the key as written there, and the fault.

mod common;
use common::*;
use jaspershunt_node::config;
use std::path::PathBuf;

/// A valid value, an invalid replacement, and the expected message.
const INVALID_VALUES: [(&str, &str, &str); 28] = [
    (r#""name":"n3""#, r#""name":"n/3""#, "name must hold letters, digits"),
    (r#""vm":"127.0.0.1:1""#, r#""vm":"somewhere""#, "vm must be an IP address with a port"),
    (r#""db":"127.0.0.1:3","#, "", "db is missing"),
    (r#""lookup":"127.0.0.1:2""#, r#""lookup":7"#, "lookup must be a text"),
    (r#""stop_ms":3200"#, r#""stop_ms":-1"#, "stop_ms must be"),
    (r#""memory_mb":192"#, r#""memory_mb":"much""#, "limits.memory_mb must be"),
    (r#""sockets":1024"#, r#""sockets":3"#, "limits.sockets must be"),
    (r#""worth":1"#, r#""worth":-1"#, "settings.classes[0].worth must be a finite number of at least 0"),
    (r#""worth":3"#, r#""worth":-3"#, "settings.classes[1].worth must be a finite number of at least 0"),
    (r#""targetS":20"#, r#""targetS":-1"#, "settings.classes[0].targetS must be a finite number"),
    (r#""deadlineS":40"#, r#""deadlineS":0"#, "settings.classes[0].deadlineS must be above 0"),
    (r#""deadlineS":40"#, r#""deadlineS":"soon""#, "settings.classes[0].deadlineS must be a number"),
    (r#""windowS":60"#, r#""windowS":-1"#, "settings.classes[1].windowS must be a finite number"),
    (r#","windowS":60"#, "", "settings.classes[1].windowS is missing"),
    (
        r#""semantics":"free""#,
        r#""semantics":"maybe""#,
        "settings.classes[0].semantics must be free, guarded",
    ),
    (r#""nCores":2"#, r#""nCores":0"#, "settings.domain.nCores must be at least 1"),
    (r#""heapKb":10000"#, r#""heapKb":-1"#, "settings.domain.heapKb must be a finite number"),
    (r#""runFactor":4"#, r#""runFactor":-4"#, "settings.domain.runFactor must be a finite number"),
    (r#""keyKb":50"#, r#""keyKb":-50"#, "settings.domain.keyKb must be a finite number"),
    (r#""fairCalls":3.5"#, r#""fairCalls":-1"#, "settings.domain.fairCalls must be a finite number"),
    (r#""callsOverS":5"#, r#""callsOverS":-5"#, "settings.domain.callsOverS must be a finite number"),
    (r#""maxRetryAfterS":1"#, r#""maxRetryAfterS":-1"#, "settings.allowed.maxRetryAfterS must be a finite"),
    (r#""coldFrom":0.3"#, r#""coldFrom":-1"#, "settings.obligations.coldFrom must be a finite number"),
    (r#""coldS":9"#, r#""coldS":-9"#, "settings.obligations.coldS must be a finite number"),
    (r#""fallMultiple":5"#, r#""fallMultiple":-5"#, "settings.obligations.fallMultiple must be a finite"),
    (r#""drainGraceS":0"#, r#""drainGraceS":-1"#, "settings.obligations.drainGraceS must be a finite number"),
    (r#""allowancePerS":9"#, r#""allowancePerS":-9"#, "settings.orgs[0].allowancePerS must be a finite"),
    (r#"{"name":"n3""#, r#"["name":"n3""#, "NODE_CONFIG names a file that is not JSON"),
];

fn text() -> String {
    config_text("127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
}

/// Returns a path used by this test only.
fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("jaspershunt-messages-{name}-{}.json", std::process::id()))
}

#[test]
fn an_invalid_value_is_reported_with_its_file_and_key() {
    let path = file("values");
    let variable = |name: &str| (name == "NODE_CONFIG").then(|| path.display().to_string());
    std::fs::write(&path, text()).unwrap();
    assert!(config::load(variable).is_ok());
    for (good, bad, message) in INVALID_VALUES {
        let changed = text().replacen(good, bad, 1);
        assert_ne!(changed, text(), "{good} stands nowhere");
        std::fs::write(&path, changed).unwrap();
        let error = config::load(variable).expect_err(bad).to_string();
        let begins = format!("{}: {message}", path.display());
        assert!(error.starts_with(&begins), "{bad}: {error:?} does not begin with {begins:?}");
    }
    std::fs::remove_file(&path).unwrap();
    let error = config::load(variable).unwrap_err().to_string();
    assert!(
        error.starts_with(&format!("NODE_CONFIG names {}, which cannot be read", path.display())),
        "{error}"
    );
}

#[test]
fn an_invalid_variable_is_reported_by_its_own_name() {
    let path = file("variables");
    std::fs::write(&path, text()).unwrap();
    for (name, value) in [("NODE_NAME", "a b"), ("NODE_LISTEN", "here"), ("NODE_ADMIN", "there")] {
        let variable = |asked: &str| match asked {
            "NODE_CONFIG" => Some(path.display().to_string()),
            _ => (asked == name).then(|| value.to_string()),
        };
        let error = config::load(variable).expect_err(name).to_string();
        assert!(error.starts_with(&format!("{name} must")), "{error}");
    }
    std::fs::remove_file(&path).unwrap();
}
