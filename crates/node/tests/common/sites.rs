//! Checks a site's folder: `NAME.toml` and the files that it requires.

use std::collections::{BTreeSet, HashMap};
use std::path::Path;
use tinyjson::JsonValue;
use toml::{Table, Value};

/// Tolerance of the sum of shares, which are rounded.
const TOLERANCE: f64 = 0.01;
/// Files required beside the site's own file.
const REQUIRED_FILES: [&str; 3] = ["real.json", "wire.json", "unlock.txt"];

/// Keys of a trouble whose two numbers may come in either order.
const UNORDERED_TROUBLE_KEYS: [&str; 2] = ["len_s", "extra"];

/// Returns one line with file and key for each fault of the named site under `root`.
pub fn check(root: &Path, name: &str) -> Vec<String> {
    let folder = root.join(name);
    let mut wrong = Vec::new();
    for file in REQUIRED_FILES {
        let path = format!("deploy/sites/{name}/{file}");
        match std::fs::read_to_string(folder.join(file)) {
            Err(_) => wrong.push(format!("{path}: is missing")),
            Ok(text) if file.ends_with(".json") => {
                let read = text.parse::<JsonValue>();
                if !read.is_ok_and(|value| value.get::<HashMap<String, JsonValue>>().is_some()) {
                    wrong.push(format!("{path}: is no JSON object"));
                }
            }
            Ok(_) => {}
        }
    }
    let path = format!("deploy/sites/{name}/{name}.toml");
    match std::fs::read_to_string(folder.join(format!("{name}.toml"))) {
        Err(_) => wrong.push(format!("{path}: is missing")),
        Ok(text) => match text.parse::<Table>() {
            Err(e) => wrong.push(format!("{path}: is no TOML: {}", e.message())),
            Ok(site) => {
                wrong.extend(check_keys(&site, name, &folder).iter().map(|fault| format!("{path}: {fault}")))
            }
        },
    }
    wrong
}

/// Returns the faults of a site's own file.
fn check_keys(site: &Table, name: &str, folder: &Path) -> Vec<String> {
    let mut wrong = Vec::new();
    match text(site, "", "name") {
        Ok(given) if given == name => {}
        Ok(given) => wrong.push(format!("name: is {given}, and the folder is {name}")),
        Err(fault) => wrong.push(fault),
    }
    match text(site, "", "wire") {
        Ok(file) if file.contains('/') => wrong.push("wire: must name a file beside it".to_string()),
        Ok(file) if !folder.join(file).is_file() => {
            wrong.push(format!("wire: names {file}, which is not there"));
        }
        Ok(_) => {}
        Err(fault) => wrong.push(fault),
    }
    check_ranges(&Value::Table(site.clone()), "", &mut wrong);
    let classes = tables(site, "class");
    for list in ["class", "tenant"] {
        let entries = tables(site, list);
        check_names(&entries, list, &mut wrong);
        check_shares(&entries, list, &mut wrong);
    }
    if classes.is_empty() {
        wrong.push("class: there is none".to_string());
    }
    for (n, class) in classes.iter().enumerate() {
        wrong.extend(check_effect(class, &format!("class[{n}].")).err());
        wrong.extend(check_times(class, &format!("class[{n}].")).err());
    }
    let family = site.get("fam").and_then(Value::as_table).map_or(0, |family| tables(family, "class").len());
    if family != classes.len() {
        wrong.push(format!("fam.class: has {family} entries, and class has {}", classes.len()));
    }
    wrong
}

fn tables<'a>(table: &'a Table, key: &str) -> Vec<&'a Table> {
    let list = table.get(key).and_then(Value::as_array);
    list.into_iter().flatten().filter_map(Value::as_table).collect()
}

fn require<'a>(table: &'a Table, path: &str, key: &str) -> Result<&'a Value, String> {
    table.get(key).ok_or_else(|| format!("{path}{key}: is missing"))
}

fn text<'a>(table: &'a Table, path: &str, key: &str) -> Result<&'a str, String> {
    require(table, path, key)?.as_str().ok_or_else(|| format!("{path}{key}: must be a text"))
}

fn as_number(value: &Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))
}

fn number(table: &Table, path: &str, key: &str) -> Result<f64, String> {
    as_number(require(table, path, key)?).ok_or_else(|| format!("{path}{key}: must be a number"))
}

/// Reports duplicate names and names with characters that paths and headers may not contain.
fn check_names(entries: &[&Table], list: &str, wrong: &mut Vec<String>) {
    let mut known = BTreeSet::new();
    for (n, entry) in entries.iter().enumerate() {
        let plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        match text(entry, &format!("{list}[{n}]."), "name") {
            Err(fault) => wrong.push(fault),
            Ok(name) if name.is_empty() || !name.bytes().all(plain) => {
                wrong.push(format!("{list}[{n}].name: must hold small letters, digits and '-' only"));
            }
            Ok(name) if !known.insert(name) => {
                wrong.push(format!("{list}[{n}].name: {name} is there twice"));
            }
            Ok(_) => {}
        }
    }
}

fn check_shares(entries: &[&Table], list: &str, wrong: &mut Vec<String>) {
    let mut sum = 0.0;
    for (n, entry) in entries.iter().enumerate() {
        match number(entry, &format!("{list}[{n}]."), "share") {
            Ok(share) if share > 0.0 => sum += share,
            Ok(_) => return wrong.push(format!("{list}[{n}].share: must be above 0")),
            Err(fault) => return wrong.push(fault),
        }
    }
    if !entries.is_empty() && (sum - 1.0).abs() > TOLERANCE {
        wrong.push(format!("{list}: the shares add up to {:.4}", sum));
    }
}

fn check_effect(class: &Table, path: &str) -> Result<(), String> {
    let window = class.contains_key("window_ms");
    match text(class, path, "effect")? {
        "keyed" if !window => Err(format!("{path}window_ms: is missing; a keyed class needs one")),
        "keyed" if number(class, path, "window_ms")? <= 0.0 => {
            Err(format!("{path}window_ms: must be above 0"))
        }
        "keyed" => Ok(()),
        "safe" | "unsafe" if window => Err(format!("{path}window_ms: is for keyed classes only")),
        "safe" | "unsafe" => Ok(()),
        _ => Err(format!("{path}effect: must be safe, keyed or unsafe")),
    }
}

fn check_times(class: &Table, path: &str) -> Result<(), String> {
    let (aim, deadline) = (number(class, path, "aim_ms")?, number(class, path, "deadline_ms")?);
    if aim <= 0.0 {
        return Err(format!("{path}aim_ms: must be above 0"));
    }
    if aim > deadline {
        return Err(format!("{path}aim_ms: is beyond deadline_ms"));
    }
    Ok(())
}

/// Checks lists of two numbers as ranges, except those that [`UNORDERED_TROUBLE_KEYS`] names.
fn check_ranges(value: &Value, path: &str, wrong: &mut Vec<String>) {
    match value {
        Value::Table(table) => {
            let ordered = |key: &str| !path.starts_with("trouble[") || !UNORDERED_TROUBLE_KEYS.contains(&key);
            for (key, value) in table.iter().filter(|(key, _)| ordered(key)) {
                let dot = if path.is_empty() { "" } else { "." };
                check_ranges(value, &format!("{path}{dot}{key}"), wrong);
            }
        }
        Value::Array(list) => match list.iter().map(as_number).collect::<Option<Vec<f64>>>().as_deref() {
            Some([from, to]) if from > to => {
                wrong.push(format!("{path}: is a range that ends before it begins"));
            }
            Some(_) => {}
            None => {
                for (n, entry) in list.iter().enumerate() {
                    check_ranges(entry, &format!("{path}[{n}]"), wrong);
                }
            }
        },
        _ => {}
    }
}
