//! Writes the file out in HCL with all defaults filled in.

use crate::{Effect, File, Full, Handover};
use serde_json::Value;
use std::fmt::Write;

/// Writes the file in HCL with all defaults filled in. Keys that are not set and have no default are
/// omitted. Reading the text gives the same file.
pub fn explain(file: &File) -> String {
    let mut text = String::new();
    // A file consists of maps, lists, numbers and strings, all of which can be serialized.
    if let Ok(Value::Object(all)) = serde_json::to_value(file) {
        for (name, value) in &all {
            match value {
                Value::Object(entries) if entries.values().all(Value::is_object) => {
                    for (label, entry) in entries {
                        write_block(&mut text, &format!("{name} {}", quoted(label)), entry, 0);
                    }
                }
                _ => write_block(&mut text, name, value, 0),
            }
        }
    }
    text
}

/// Describes a handover class to operators: the guarantee of its effect, the conditions for it, and what
/// happens to a run that fails on its first nodo.
pub fn promise(handover: &Handover) -> String {
    let started = match (handover.effect, handover.resource) {
        (Effect::Asks, Some(resource)) => format!(
            "asks: for started work of a lost nodo, and for a run that fails, {resource}{} is queried by operation key. Its report \
             is the outcome. Another nodo runs the work again only if the resource reports that it never ran. If the \
             resource does not know, or does not answer in four tries of {} each, the outcome is 'unknown' and the \
             work is never run again. Safe only if the resource, once it has reported that a key never ran, rejects lower \
             tokens of that key; this cannot be checked here",
            handover.path, handover.timeout
        ),
        (Effect::Fenced, _) => {
            "fenced: started work of a lost nodo runs again on another nodo with a higher token. Safe only if the resource \
             rejects lower tokens and answers a repeated key with the original result; this cannot be checked here. A run \
             that fails is not run again: its outcome is 'unknown'"
                .to_string()
        }
        (Effect::Asks | Effect::Unknown, _) => {
            "unknown: started work of a lost nodo, and a run that fails, is never run again: its outcome is stored as 'unknown'"
                .to_string()
        }
    };
    let full = match handover.full {
        Full::Run => {
            "if the replicated state has no room, the request runs anyway and is not taken over if its nodo is lost"
        }
        Full::Refuse => "if the replicated state has no room, the request is refused",
    };
    format!("{started}. Work counts as started once the fleet has recorded it; {full}")
}

/// Quotes a string. Only these characters need escapes, since templates are rejected as values.
fn quoted(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

fn write_block(text: &mut String, head: &str, value: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    // Writing to a String cannot fail.
    let _ = writeln!(text, "{indent}{head} {{");
    for (name, value) in value.as_object().into_iter().flatten() {
        match value {
            Value::Null => {}
            Value::Object(entries) if name == "call" || name == "voter" => {
                for (label, entry) in entries {
                    write_block(text, &format!("{name} {}", quoted(label)), entry, depth + 1);
                }
            }
            Value::Object(_) => write_block(text, name, value, depth + 1),
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                let _ = writeln!(text, "{indent}  {name} = [{}]", items.join(", "));
            }
            value => {
                let _ = writeln!(text, "{indent}  {name} = {}", plain(value));
            }
        }
    }
    let _ = writeln!(text, "{indent}}}");
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => quoted(text),
        other => other.to_string(),
    }
}
