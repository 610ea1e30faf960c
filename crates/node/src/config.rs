//! Reads and checks the platform's configuration and applies its defaults. Every message names the key at
//! fault.

use jaspershunt::{Repeat, Settings};
use jaspershunt_operator::check::{Class, against_settings};
use jaspershunt_operator::{File, Repeat as OperatorRepeat};
use jaspershunt_settings::Names;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tinyjson::JsonValue;

/// Prefix of all variables, and the variable that names the file.
const VARIABLES: &str = "NODE_";
const CONFIG: &str = "NODE_CONFIG";
/// Default time from the notice to leave to the kill.
const STOP_MS: f64 = 3000.0;
/// Default limits.
const MEMORY_MB: f64 = 192.0;
const SOCKETS: f64 = 1024.0;
const MIN_MEMORY_MB: f64 = 32.0;
const MIN_SOCKETS: f64 = 128.0;

/// Divisors of the memory limit for kept results and keys, for requests read and queued, and for answers not
/// yet written. The other half is for the program and its read buffers, one record's length per connection:
/// 62 MB at 1,024 descriptors.
const KEPT_DIVISOR: usize = 6;
const REQUESTS_DIVISOR: usize = 6;
const UNWRITTEN_DIVISOR: usize = 6;
/// Divisor of the memory for keys and results, giving the maximum for replies kept as fallback.
const OPERATOR_KEPT_DIVISOR: usize = 4;
/// Descriptors other than balancers' connections: standard streams, the runtime, the listener, the
/// interpreter, the directory, and the calls to the database.
pub const OTHER_SOCKETS: usize = 96;
/// Descriptors reserved for operators' connections; their listener takes one more.
pub const CALLERS: usize = 16;
/// Minimum number of connections left for balancers.
const MIN_CONNECTIONS: usize = 16;
/// Maximum number of those descriptors for calls to the database.
const CALL_SOCKETS: usize = 64;

/// The configuration of a nodo.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name in the directory.
    pub name: String,
    /// Where balancers connect.
    pub listen: SocketAddr,
    /// The address for operators, if any.
    pub admin: Option<SocketAddr>,
    /// The addresses of the other services.
    pub peers: Peers,
    /// Time from the notice to leave to the kill.
    pub stop: Duration,
    /// The module's settings.
    pub settings: Settings,
    /// The names in the settings.
    pub names: Names,
    /// Bounds derived from the limits.
    pub bounds: Bounds,
    /// Seed of the random numbers; new with each start.
    pub seed: u64,
    /// The operator's file, if any.
    pub operator: Option<Rc<File>>,
    /// Path of the platform's file, if it was read from one.
    path: Option<Rc<str>>,
    /// The parsed platform's file.
    file: Rc<JsonValue>,
}

/// The module's settings with the names in them. May change while a nodo runs.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedSettings {
    /// The settings. They may have entries of classes and tenants that no name refers to any more.
    pub settings: Settings,
    /// The names of the entries.
    pub names: Names,
}

impl NamedSettings {
    /// The longest deadline of the classes that requests may name, in seconds.
    pub fn longest_deadline(&self) -> f64 {
        let named = self.names.classes().filter_map(|name| self.names.class(name).ok());
        named.map(|class| self.settings.classes[class].deadline).fold(0.0, f64::max)
    }
}

/// Addresses of the services that a nodo uses. They may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The interpreter.
    pub interpreter: SocketAddr,
    /// The directory.
    pub directory: SocketAddr,
    /// The database.
    pub database: SocketAddr,
}

/// Bounds on memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of balancers' connections.
    pub connections: usize,
    /// Maximum number of connections to the database.
    pub calls: usize,
    /// Bytes of keys and kept results.
    pub kept: usize,
    /// Bytes of requests, from their reading until their answer.
    pub requests: usize,
    /// Bytes of answers not yet written.
    pub unwritten: usize,
}

/// An invalid configuration: the key or variable at fault, and the problem.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file that contains the key, if known.
    file: Option<String>,
    problem: String,
}

impl ConfigError {
    fn new(problem: String) -> ConfigError {
        ConfigError { file: None, problem }
    }

    /// Adds the path of the file, unless the problem is in a variable.
    fn in_file(self, path: &str) -> ConfigError {
        let variable = self.problem.starts_with(VARIABLES) && !self.problem.starts_with(CONFIG);
        let file = (!variable).then(|| path.to_string());
        ConfigError { file, ..self }
    }
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if let Some(file) = &self.file {
            write!(f, "{file}: ")?;
        }
        f.write_str(&self.problem)
    }
}

impl std::error::Error for ConfigError {}

fn wrong<T>(key: &str, problem: impl std::fmt::Display) -> Result<T, ConfigError> {
    Err(ConfigError::new(format!("{key} {problem}")))
}

/// Loads the file named by the variable `NODE_CONFIG`; `NODE_NAME` and `NODE_LISTEN`, where set, replace
/// `name` and `listen`.
///
/// # Errors
/// The missing or invalid key or variable.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let Some(path) = variable(CONFIG) else { return wrong(CONFIG, "is not set") };
    match std::fs::read_to_string(&path) {
        Ok(text) => match read(&text, variable) {
            Ok(config) => Ok(Config { path: Some(path.into()), ..config }),
            Err(e) => Err(e.in_file(&path)),
        },
        Err(e) => wrong(CONFIG, format_args!("names {path}, which cannot be read: {e}")),
    }
}

/// Parses the configuration from its text; see [`load`].
///
/// # Errors
/// The missing or invalid key or variable.
pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let value: JsonValue = match text.parse() {
        Ok(value) => value,
        Err(e) => return wrong(CONFIG, format_args!("names a file that is not JSON: {e}")),
    };
    let Some(object) = value.get::<HashMap<String, JsonValue>>() else {
        return wrong(CONFIG, "must hold an object");
    };
    let limits = match object.get("limits").filter(|v| !v.is_null()) {
        None => HashMap::new(),
        Some(JsonValue::Object(limits)) => limits.clone(),
        Some(_) => return wrong("limits", "must be an object"),
    };
    let variable_or_key = |name: &str, key: &str| match variable(name).filter(|value| !value.is_empty()) {
        Some(value) => Ok((name.to_string(), value)),
        None => Ok((key.to_string(), text_of(object, key)?)),
    };
    let (name_key, name) = variable_or_key("NODE_NAME", "name")?;
    // The name is used unescaped in a path.
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~".contains(&b)) {
        return wrong(&name_key, "must hold letters, digits, '-', '.', '_' or '~' only");
    }
    let (listen_key, listen) = variable_or_key("NODE_LISTEN", "listen")?;
    let admin = match (variable("NODE_ADMIN").filter(|value| !value.is_empty()), object.get("admin")) {
        (Some(value), _) => Some(address("NODE_ADMIN", &value)?),
        (None, None | Some(JsonValue::Null)) => None,
        (None, Some(_)) => Some(address("admin", &text_of(object, "admin")?)?),
    };
    // Descriptors for operators reduce those for balancers.
    let admin_sockets = if admin.is_some() { CALLERS + 1 } else { 0 };
    let stop_ms = number(object, "", "stop_ms", STOP_MS, 0.0)?;
    let memory = number(&limits, "limits.", "memory_mb", MEMORY_MB, MIN_MEMORY_MB)? * 1024.0 * 1024.0;
    let memory = memory as usize;
    let sockets = number(&limits, "limits.", "sockets", SOCKETS, MIN_SOCKETS)? as usize;
    let Some(settings) = object.get("settings") else { return wrong("settings", "is missing") };
    let (settings, names) =
        jaspershunt_settings::from_value(settings, "settings").map_err(ConfigError::new)?;
    if let Err(e) = settings.check() {
        return wrong(&format!("settings.{}", jaspershunt_settings::key_of(&e.field)), e.problem);
    }
    Ok(Config {
        name,
        listen: address(&listen_key, &listen)?,
        admin,
        peers: Peers {
            interpreter: address("vm", &text_of(object, "vm")?)?,
            directory: address("lookup", &text_of(object, "lookup")?)?,
            database: address("db", &text_of(object, "db")?)?,
        },
        stop: Duration::from_secs_f64(stop_ms / 1000.0),
        settings,
        names,
        bounds: Bounds {
            connections: sockets - OTHER_SOCKETS - admin_sockets,
            calls: CALL_SOCKETS,
            kept: memory / KEPT_DIVISOR,
            requests: memory / REQUESTS_DIVISOR,
            unwritten: memory / UNWRITTEN_DIVISOR,
        },
        seed: seed(object),
        operator: None,
        path: None,
        file: Rc::new(value.clone()),
    })
}

impl Config {
    /// Adds the operator's file if it is consistent with the settings and the limits.
    ///
    /// # Errors
    /// All inconsistencies, each with the path of the key.
    pub fn with_operator(mut self, file: File) -> Result<Config, Vec<String>> {
        let wrong = self.against(&file);
        if !wrong.is_empty() {
            return Err(wrong);
        }
        if !file.dependency.is_empty() {
            self.bounds.kept -= file.kept.bytes.0 as usize;
        }
        self.bounds.connections -= crate::fleet::descriptors_needed(&file, &self.name);
        if let Some(capture) = &file.capture {
            self.bounds.kept -= capture.ring.0 as usize;
        }
        self.operator = Some(Rc::new(file));
        Ok(self)
    }

    /// Returns the inconsistencies of an operator's file with the settings and the limits, each with the path
    /// of the key.
    pub fn against(&self, file: &File) -> Vec<String> {
        let repeat = |repeat| match repeat {
            Repeat::Safe => OperatorRepeat::Safe,
            Repeat::Keyed(_) => OperatorRepeat::Keyed,
            Repeat::Unsafe => OperatorRepeat::Unsafe,
        };
        let classes: Vec<Class> = (self.settings.classes.iter())
            .map(|class| Class { name: &class.name, repeat: repeat(class.repeat), calls: class.calls })
            .collect();
        let message = |(key, what)| format!("{key}: {what}");
        let mut wrong: Vec<String> = against_settings(file, &classes).into_iter().map(message).collect();
        let connections: usize = file.dependency.values().map(|d| d.connections).sum();
        if connections > self.bounds.calls {
            let most = self.bounds.calls;
            wrong.push(format!("dependency: the connections add up to {connections}, and there are {most}"));
        }
        if let Some(running) = &self.operator {
            if file.kept.bytes > running.kept.bytes {
                let most = running.kept.bytes;
                wrong.push(format!("kept.bytes: was {most} at the start, and grows with a restart only"));
            }
            if file.capture != running.capture {
                wrong.push("capture: changes with a restart only".to_string());
            }
            if (&file.fleet, &file.task) != (&running.fleet, &running.task) {
                wrong.push("fleet, task: change with a restart only".to_string());
            }
            let of_the_fleet = |file: &File| {
                (file.handover.clone(), file.team.clone(), file.steering.clone(), file.history.clone())
            };
            if of_the_fleet(file) != of_the_fleet(running) {
                wrong.push("handover, team, steering, history: change with a restart only".to_string());
            }
            return wrong;
        }
        wrong.extend(crate::fleet::against(file));
        let sockets = crate::fleet::descriptors_needed(file, &self.name);
        if sockets > 0 && sockets + MIN_CONNECTIONS > self.bounds.connections {
            let left = self.bounds.connections;
            wrong.push(format!(
                "fleet.links: the fleet takes {sockets} descriptors, and limits.sockets leaves {left} for it and for \
                 balancers, who need {MIN_CONNECTIONS}"
            ));
        }
        let most = self.bounds.kept / OPERATOR_KEPT_DIVISOR;
        if let Some(capture) = file.capture.as_ref().filter(|capture| capture.ring.0 as usize > most) {
            let ring = capture.ring;
            wrong.push(format!(
                "capture.ring: is {ring}, and must be {most}B at most: a part of what limits.memory_mb leaves"
            ));
        }
        if !file.dependency.is_empty() && file.kept.bytes.0 as usize > most {
            wrong
                .push(format!("kept.bytes: must be {most}B at most: a part of what limits.memory_mb leaves"));
        }
        wrong
    }

    /// Checks whether a file that was read again may replace this one. A file without a key that this one has
    /// was most likely truncated or assembled wrongly, so it is rejected as a whole even where the key has a
    /// default.
    ///
    /// # Errors
    /// The first key that is missing.
    pub fn followed_by(&self, new: &Config) -> Result<(), ConfigError> {
        match missing_key(&self.file, &new.file, "") {
            Some(key) => Err(new.wrong(format!("{key} is missing, and the file in force has it"))),
            None => Ok(()),
        }
    }

    /// Creates an error about this configuration with the path of its file.
    pub fn wrong(&self, problem: String) -> ConfigError {
        ConfigError { file: self.path.as_ref().map(|path| path.to_string()), problem }
    }

    /// The module's settings.
    pub fn facts(&self) -> NamedSettings {
        NamedSettings { settings: self.settings.clone(), names: self.names.clone() }
    }

    /// Returns the keys, other than those of the peers and the settings, in which a configuration that was
    /// read again differs from this one. A running nodo keeps its original values there.
    pub fn kept_keys(&self, new: &Config) -> Vec<&'static str> {
        let keys = [
            ("name", self.name == new.name),
            ("listen", self.listen == new.listen),
            ("admin", self.admin == new.admin),
            ("stop_ms", self.stop == new.stop),
            ("limits", self.bounds == new.bounds),
        ];
        keys.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect()
    }
}

/// Returns the path of the first key, by name, that the old value has and the new one lacks. Objects in a
/// list have one type: each new one needs the keys common to all old ones.
fn missing_key(old: &JsonValue, new: &JsonValue, path: &str) -> Option<String> {
    match (old, new) {
        (JsonValue::Object(old), JsonValue::Object(new)) => {
            let mut keys: Vec<_> = old.iter().collect();
            keys.sort_unstable_by_key(|(key, _)| *key);
            keys.into_iter().find_map(|(key, value)| {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match new.get(key) {
                    Some(other) => missing_key(value, other, &path),
                    None => Some(path),
                }
            })
        }
        (JsonValue::Array(old), JsonValue::Array(new)) => {
            let objects = old.iter().map(|value| value.get::<HashMap<String, JsonValue>>());
            let objects: Vec<_> = objects.collect::<Option<_>>()?;
            let common = objects.first()?.keys().filter(|key| objects.iter().all(|o| o.contains_key(*key)));
            let mut common: Vec<&String> = common.collect();
            common.sort_unstable();
            new.iter().enumerate().find_map(|(n, value)| {
                let value: &HashMap<String, JsonValue> = value.get()?;
                let key = common.iter().find(|key| !value.contains_key(**key))?;
                Some(format!("{path}[{n}].{key}"))
            })
        }
        _ => None,
    }
}

fn text_of(object: &HashMap<String, JsonValue>, key: &str) -> Result<String, ConfigError> {
    match object.get(key) {
        Some(JsonValue::String(text)) => Ok(text.clone()),
        Some(JsonValue::Null) | None => wrong(key, "is missing"),
        Some(_) => wrong(key, "must be a text"),
    }
}

/// Reads a number of at least `least` and small enough to be counted in bytes; `missing` is the default.
fn number(
    object: &HashMap<String, JsonValue>,
    path: &str,
    key: &str,
    missing: f64,
    least: f64,
) -> Result<f64, ConfigError> {
    match object.get(key) {
        None | Some(JsonValue::Null) => Ok(missing),
        Some(JsonValue::Number(n)) if (least..1e9).contains(n) => Ok(*n),
        Some(JsonValue::Number(_)) => {
            wrong(&format!("{path}{key}"), format_args!("must be at least {least} and below 1e9"))
        }
        Some(_) => wrong(&format!("{path}{key}"), "must be a number"),
    }
}

/// Hashes the seed text to a number, from which all random waits are derived; nothing else is random.
fn seed(object: &HashMap<String, JsonValue>) -> u64 {
    let Some(JsonValue::String(text)) = object.get("seed") else { return 0 };
    // FNV-1a hash (Fowler, Noll and Vo).
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().or_else(|_| wrong(key, format_args!("must be an IP address with a port, got {text:?}")))
}
