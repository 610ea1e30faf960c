//! The command line, as whoever types it sees it.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(arguments: &[&str], config: Option<&PathBuf>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jaspershunt"));
    command.args(arguments).env_remove("NODE_CONFIG");
    if let Some(config) = config {
        command.env("NODE_CONFIG", config);
    }
    command.output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn written(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("jaspershunt-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path
}

const GOOD: &str = "dependency \"a\" {\n  addresses = [\"127.0.0.1:5441\"]\n}\nroute \"look\" {\n  repeat = \"safe\"\n  \
                    call \"any\" { to = \"a\" }\n}\n";

fn platform(class: &str, sockets: &str) -> String {
    let settings = format!(
        r#"{{"classes":[{{"name":"{class}","worth":1,"targetS":2,"deadlineS":4,"semantics":"free"}}],"domain":{{"nCores":1,"heapKb":1000,"runFactor":4,"dependsOn":"common","fairCalls":3,"callsOverS":5}},"obligations":{{"coldFrom":0.3,"coldS":9,"fallMultiple":5,"fallS":2,"drainGraceS":2}}}}"#
    );
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:1","vm":"127.0.0.1:2","lookup":"127.0.0.1:3","db":"127.0.0.1:4","limits":{{"sockets":{sockets}}},"settings":{settings}}}"#
    )
}

#[test]
fn check_tells_what_is_wrong_by_its_place_and_by_its_exit() {
    let good = written("good.hcl", GOOD);
    let file = good.to_str().unwrap();
    let checked = run(&["check", file], None);
    assert_eq!(checked.status.code(), Some(0));
    assert!(text(&checked.stdout).contains("good: 1 dependencies, 1 routes"));

    let bad = written("bad.hcl", &GOOD.replace("\"127.0.0.1:5441\"", "\"localhost\""));
    let checked = run(&["check", bad.to_str().unwrap()], None);
    assert_eq!(checked.status.code(), Some(1));
    assert!(text(&checked.stderr).contains("bad.hcl:2:16: dependency.a.addresses.0: "), "{checked:?}");

    assert_eq!(run(&["check", "/nowhere/at.hcl"], None).status.code(), Some(2));
    assert_eq!(run(&["chekc", file], None).status.code(), Some(2));

    // Against the platform's file, where there is one.
    let fits = written("fits.json", &platform("look", "384"));
    assert_eq!(run(&["check", file], Some(&fits)).status.code(), Some(0));
    let other = written("other.json", &platform("find", "384"));
    let checked = run(&["check", file], Some(&other));
    assert_eq!(checked.status.code(), Some(1));
    let told = text(&checked.stderr);
    assert!(told.contains("route.look: is no class of the settings, which have find"), "{told}");
    assert!(told.contains("route.find: is missing"), "{told}");
    let wide = written("wide.hcl", &GOOD.replace("]\n}", "]\n  connections = 65\n}"));
    let checked = run(&["check", wide.to_str().unwrap()], Some(&fits));
    assert!(text(&checked.stderr).contains("the connections add up to 65, and there are 64"), "{checked:?}");
    for path in [good, bad, fits, other, wide] {
        std::fs::remove_file(path).unwrap();
    }
}

#[test]
fn explain_fills_in_what_is_left_out_and_can_be_checked_again() {
    let good = written("explain.hcl", GOOD);
    let explained = run(&["explain", good.to_str().unwrap()], None);
    let full = text(&explained.stdout);
    assert!(full.contains("  timeout = \"2s\"\n") && full.contains("retries {\n"), "{full}");
    let again = written("again.hcl", &full);
    assert_eq!(run(&["check", again.to_str().unwrap()], None).status.code(), Some(0));
    let json = run(&["explain", "--json", good.to_str().unwrap()], None);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(json["dependency"]["a"]["timeout"], "2s");
    for path in [good, again] {
        std::fs::remove_file(path).unwrap();
    }
}

/// A nodo that cannot start says why in one line, and a stranger finds the way in.
#[test]
fn starting_fails_in_one_line_and_help_says_how_to_go_on() {
    for (arguments, config, expected) in [
        (vec![], None, "error: configuration: NODE_CONFIG is not set"),
        (vec!["serve"], None, "error: configuration: NODE_CONFIG is not set"),
        (
            vec!["serve", "--operator", "/nowhere/at.hcl"],
            Some(platform("look", "384")),
            "/nowhere/at.hcl:1:1: cannot",
        ),
    ] {
        let config = config.map(|text| written("start.json", &text));
        let started = run(&arguments, config.as_ref());
        assert_eq!(started.status.code(), Some(1));
        let told = text(&started.stderr);
        assert!(told.starts_with("jaspershunt: ") && told.contains(expected), "{told}");
        assert_eq!(told.lines().count(), 1, "{told}");
    }
    let started = run(&["serve", "--log-format", "json"], None);
    let line: serde_json::Value = serde_json::from_slice(&started.stderr).unwrap();
    assert_eq!((line["level"].as_str(), line["message"].is_string()), (Some("ERROR"), true));
    let help = text(&run(&["--help"], None).stdout);
    for word in ["serve", "check", "explain", "NODE_CONFIG"] {
        assert!(help.contains(word), "{help}");
    }
}
