//! `jaspershunt work …`: shows the in-flight work of the fleet, through any nodo's address for operators.

use super::fleet::{Target, age, columns, plain, show};
use clap::Subcommand;
use serde_json::Value;
use std::process::ExitCode;

/// The `work` commands.
#[derive(Debug, Subcommand)]
pub enum Works {
    /// List all known work.
    List(Target),
    /// Explain the state of one operation key.
    Why {
        /// The key.
        key: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
}

/// Runs the command.
pub fn run(what: &Works) -> ExitCode {
    match what {
        Works::List(target) => show(target, list),
        Works::Why { key, target } => show(target, |shown| why(shown, key)),
    }
}

fn list(shown: &Value) -> String {
    let row = |item: &Value| {
        let keys = ["key", "class", "owner", "token", "stage", "waiters"];
        let mut row: Vec<String> = keys.iter().map(|key| plain(&item[*key])).collect();
        row.push(plain(&item["end"]));
        row
    };
    let rows = shown["work"].as_array().into_iter().flatten().map(row).collect();
    let head = ["key", "class", "nodo", "token", "stage", "waits", "end"];
    format!("{}\n\n{}", age(shown), columns(&head, rows))
}

fn why(shown: &Value, key: &str) -> String {
    let item = shown["work"].as_array().into_iter().flatten().find(|item| item["key"] == key);
    let Some(item) = item else {
        return format!(
            "{}\n\nnothing is known of {key}: never offered, or its window has ended\n",
            age(shown)
        );
    };
    let mut lines = vec![
        age(shown),
        String::new(),
        format!("{key}, class {}: {}", plain(&item["class"]), plain(&item["stage"])),
    ];
    let before = item["tokens_before"].as_array().map_or(0, Vec::len);
    lines.push(match before {
        0 => {
            format!(
                "{} owns it, under token {}; no other nodo owned it before",
                plain(&item["owner"]),
                item["token"]
            )
        }
        1 => format!(
            "{} took it over, under token {}: the earlier owner was lost or left",
            plain(&item["owner"]),
            item["token"]
        ),
        n => format!(
            "{} owns it, under token {}: {n} earlier owners were lost or left",
            plain(&item["owner"]),
            item["token"]
        ),
    });
    lines.push(match (&item["end"], item["effect"].as_str()) {
        (Value::Null, Some("asks")) => "if its nodo is lost, the resource is queried first".to_string(),
        (Value::Null, Some("fenced")) => {
            "if its nodo is lost, it runs again under a higher token".to_string()
        }
        (Value::Null, _) => "if its nodo is lost, it is not run again, and ends as unknown".to_string(),
        (end, _) => format!("it ended: {}", plain(end)),
    });
    lines.push(String::new());
    lines.join("\n")
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn work_is_listed_and_explained() {
        let item = json!({"key": "k1", "class": "sign", "owner": "n2", "token": 7, "tokens_before": [3], "stage": "known",
            "waiters": [], "effect": "asks", "end": {"done": "ok"}});
        let open = json!({"key": "k2", "class": "sign", "owner": "n1", "token": 8, "tokens_before": [], "stage": "begun",
            "waiters": ["n3"], "effect": "unknown", "end": null});
        let shown = json!({"by": "n1", "age_ms": 0, "work": [item, open]});
        let listed = list(&shown);
        assert!(listed.contains("k2   sign   n1    8      begun  n3"), "{listed}");
        assert!(why(&shown, "k1").contains("n2 took it over, under token 7"), "{}", why(&shown, "k1"));
        assert!(why(&shown, "k2").contains("it is not run again, and ends as unknown"));
        assert!(why(&shown, "k3").contains("nothing is known of k3"));
    }
}
