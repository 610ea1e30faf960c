//! Tests of the command line: output and exit codes.

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

fn write_temp_file(name: &str, content: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("jaspershunt-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, content).unwrap();
    path
}

const VALID_FILE: &str = "dependency \"a\" {\n  addresses = [\"127.0.0.1:5441\"]\n}\nroute \"look\" {\n  repeat = \"safe\"\n  \
                    call \"any\" { to = \"a\" }\n}\n";

fn platform_config(class: &str, sockets: &str) -> String {
    let settings = format!(
        r#"{{"classes":[{{"name":"{class}","worth":1,"targetS":2,"deadlineS":4,"semantics":"free"}}],"domain":{{"nCores":1,"heapKb":1000,"runFactor":4,"dependsOn":"common","fairCalls":3,"callsOverS":5}},"obligations":{{"coldFrom":0.3,"coldS":9,"fallMultiple":5,"fallS":2,"drainGraceS":2}}}}"#
    );
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:1","vm":"127.0.0.1:2","lookup":"127.0.0.1:3","db":"127.0.0.1:4","limits":{{"sockets":{sockets}}},"settings":{settings}}}"#
    )
}

#[test]
fn check_reports_errors_with_their_position_and_an_exit_code() {
    let good = write_temp_file("good.hcl", VALID_FILE);
    let file = good.to_str().unwrap();
    let checked = run(&["check", file], None);
    assert_eq!(checked.status.code(), Some(0));
    assert!(text(&checked.stdout).contains("good: 1 dependencies, 1 routes"));

    let bad = write_temp_file("bad.hcl", &VALID_FILE.replace("\"127.0.0.1:5441\"", "\"localhost\""));
    let checked = run(&["check", bad.to_str().unwrap()], None);
    assert_eq!(checked.status.code(), Some(1));
    assert!(text(&checked.stderr).contains("bad.hcl:2:16: dependency.a.addresses.0: "), "{checked:?}");

    assert_eq!(run(&["check", "/nowhere/at.hcl"], None).status.code(), Some(2));
    assert_eq!(run(&["chekc", file], None).status.code(), Some(2));

    // The operators' file is also checked against the platform's file, if there is one.
    let fits = write_temp_file("fits.json", &platform_config("look", "384"));
    assert_eq!(run(&["check", file], Some(&fits)).status.code(), Some(0));
    let other = write_temp_file("other.json", &platform_config("find", "384"));
    let checked = run(&["check", file], Some(&other));
    assert_eq!(checked.status.code(), Some(1));
    let errors = text(&checked.stderr);
    assert!(errors.contains("route.look: is no class of the settings, which have find"), "{errors}");
    assert!(errors.contains("route.find: is missing"), "{errors}");
    let wide = write_temp_file("wide.hcl", &VALID_FILE.replace("]\n}", "]\n  connections = 65\n}"));
    let checked = run(&["check", wide.to_str().unwrap()], Some(&fits));
    assert!(text(&checked.stderr).contains("the connections add up to 65, and there are 64"), "{checked:?}");
    for path in [good, bad, fits, other, wide] {
        std::fs::remove_file(path).unwrap();
    }
}

#[test]
fn explain_fills_in_defaults_and_its_output_passes_check() {
    let good = write_temp_file("explain.hcl", VALID_FILE);
    let explained = run(&["explain", good.to_str().unwrap()], None);
    let full = text(&explained.stdout);
    assert!(full.contains("  timeout = \"2s\"\n") && full.contains("retries {\n"), "{full}");
    let again = write_temp_file("again.hcl", &full);
    assert_eq!(run(&["check", again.to_str().unwrap()], None).status.code(), Some(0));
    let json = run(&["explain", "--json", good.to_str().unwrap()], None);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(json["dependency"]["a"]["timeout"], "2s");
    for path in [good, again] {
        std::fs::remove_file(path).unwrap();
    }
}

/// A nodo that cannot start prints the reason in one line, and `--help` names the commands.
#[test]
fn a_failed_start_prints_one_line_and_help_names_the_commands() {
    for (arguments, config, expected) in [
        (vec![], None, "error: configuration: NODE_CONFIG is not set"),
        (vec!["serve"], None, "error: configuration: NODE_CONFIG is not set"),
        (
            vec!["serve", "--operator", "/nowhere/at.hcl"],
            Some(platform_config("look", "384")),
            "/nowhere/at.hcl:1:1: cannot",
        ),
    ] {
        let config = config.map(|text| write_temp_file("start.json", &text));
        let started = run(&arguments, config.as_ref());
        assert_eq!(started.status.code(), Some(1));
        let error = text(&started.stderr);
        assert!(error.starts_with("jaspershunt: ") && error.contains(expected), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
    let started = run(&["serve", "--log-format", "json"], None);
    let line: serde_json::Value = serde_json::from_slice(&started.stderr).unwrap();
    assert_eq!((line["level"].as_str(), line["message"].is_string()), (Some("ERROR"), true));
    let help = text(&run(&["--help"], None).stdout);
    for word in ["serve", "check", "explain", "NODE_CONFIG"] {
        assert!(help.contains(word), "{help}");
    }
}
