//! `jaspershunt steering …`: which region serves which group of clients, as the queried nodo has it.

use super::fleet::{Target, columns, plain, show_what};
use clap::Subcommand;
use jaspershunt_steering::{Group, Row, Tables};
use serde_json::Value;
use std::collections::BTreeMap;
use std::process::ExitCode;

/// The `steering` commands.
#[derive(Debug, Subcommand)]
pub enum Steerings {
    /// Show the table in force, and this nodo's measurements.
    Show(Target),
    /// Explain why a group is served where it is: an address prefix, balancer:NUMBER, or field:VALUE.
    Why {
        /// The group.
        group: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
}

/// Runs the command.
pub fn run(what: &Steerings) -> ExitCode {
    match what {
        Steerings::Show(target) => show_what(target, "STEERING SHOW", show),
        Steerings::Why { group, target } => show_what(target, "STEERING SHOW", |shown| why(shown, group)),
    }
}

/// Decodes the table of an answer.
fn tables(shown: &Value) -> Tables {
    let row = |entry: &Value| {
        let row: Row = serde_json::from_value(entry["row"].clone()).ok()?;
        Some((Group::named(entry["group"].as_str()?), row))
    };
    let rows: BTreeMap<Group, Row> = shown["rows"].as_array().into_iter().flatten().filter_map(row).collect();
    Tables { epoch: shown["epoch"].as_u64().unwrap_or(0), rows }
}

fn show(shown: &Value) -> String {
    let tables = tables(shown);
    let row = |(group, row): (&Group, &Row)| {
        let served = row.places.iter().filter(|place| place.share > 0);
        let shares: Vec<String> = served
            .map(|place| format!("{} {}.{} %", place.region, place.share / 10, place.share % 10))
            .collect();
        let delay = |place: &jaspershunt_steering::Place| {
            let ms = place.delay_ms.map_or("-".to_string(), |ms| ms.to_string());
            format!("{} {ms}", place.region)
        };
        let delays: Vec<String> = row.places.iter().map(delay).collect();
        vec![group.to_string(), shares.join(", "), delays.join(", "), format!("{:?}", row.why).to_lowercase()]
    };
    let edge = &shown["edge"];
    let kernel = if edge["kernel"] == true {
        "the system reports round trips"
    } else {
        "the system reports no round trips"
    };
    format!(
        "table {} as {} has it, in {}\n{} windows told, {} samples, {} of groups too many, {} dropped; {kernel}\n\n{}",
        tables.epoch,
        plain(&shown["by"]),
        plain(&edge["region"]),
        edge["windows"],
        edge["samples"],
        edge["untold"],
        edge["dropped"],
        columns(&["group", "served in", "ms", "why"], tables.rows.iter().map(row).collect())
    )
}

fn why(shown: &Value, group: &str) -> String {
    format!("{}\n", tables(shown).explain(&Group::named(group)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_table_is_shown_and_explained() {
        let places = json!([{"region": "norte", "share": 0, "delay_ms": 21}, {"region": "sur", "share": 1000, "delay_ms": null}]);
        let row = json!({"places": places, "why": "Lost", "moved_ms": 5, "before": "norte"});
        let edge =
            json!({"region": "sur", "windows": 3, "samples": 9, "untold": 0, "dropped": 1, "kernel": true});
        let shown =
            json!({"by": "n2", "edge": edge, "epoch": 4, "rows": [{"group": "balancer:7", "row": row}]});
        let text = show(&shown);
        assert!(text.contains("balancer:7  sur 100.0 %  norte 21, sur -  lost\n"), "{text}");
        assert!(text.starts_with("table 4 as n2 has it, in sur\n3 windows told, 9 samples"), "{text}");
        let why_7 = why(&shown, "balancer:7");
        assert!(
            why_7.contains(
                "in sur (delay unknown); it moved from norte, which was lost. Others: norte 21 ms. Table 4."
            ),
            "{why_7}"
        );
        assert!(why(&shown, "balancer:8").contains("not in the table (epoch 4)"));
    }
}
