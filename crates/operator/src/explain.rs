//! The file written out with every default filled in.

use crate::File;
use serde_json::Value;
use std::fmt::Write;

/// The file in HCL, every default filled in. What is not set and has no default is left out. Reading the text gives
/// the same file again.
pub fn explain(file: &File) -> String {
    let mut text = String::new();
    // A file is made of maps, lists, numbers and texts, all of which can be written.
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

/// Nothing in a name or a figure needs more than this; a template is no value of the file.
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
