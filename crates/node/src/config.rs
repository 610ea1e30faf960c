//! The one place where configuration is read, checked and given defaults. Every message names the key at fault.

use jaspershunt::{Repeat, Settings};
use jaspershunt_operator::check::{Class, against_settings};
use jaspershunt_operator::{File, Repeat as OperatorRepeat};
use jaspershunt_settings::Names;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tinyjson::JsonValue;

/// What the names of all variables begin with, and the one that names the file.
const VARIABLES: &str = "NODE_";
const CONFIG: &str = "NODE_CONFIG";
/// Time from the notice to leave to the kill, where none is given.
const STOP_MS: f64 = 3000.0;
/// The limits of a scored day, where none are given.
const MEMORY_MB: f64 = 192.0;
const SOCKETS: f64 = 1024.0;
const MIN_MEMORY_MB: f64 = 32.0;
const MIN_SOCKETS: f64 = 128.0;

/// The part of the memory limit that kept results and keys may take, that of requests that are read or held, and
/// that of answers not written yet. The other half is for the program and its read buffers, a record's length for
/// each connection: 62 MB at 1,024 descriptors.
const KEPT_PART: usize = 6;
const REQUESTS_PART: usize = 6;
const UNWRITTEN_PART: usize = 6;
/// The part of that for keys and results which replies kept to fall back on may take.
const OPERATOR_KEPT_PART: usize = 4;
/// Descriptors for what is not a balancer's connection: standard streams, the runtime, the listener, the
/// interpreter, the directory, and the calls to the database.
pub const OTHER_SOCKETS: usize = 96;
/// Descriptors set aside for operators that call; one more is their listener.
pub const CALLERS: usize = 16;
/// Connections that are left for balancers, whatever else is on.
const LEAST_CONNECTIONS: usize = 16;
/// The most of those that calls to the database take.
const CALL_SOCKETS: usize = 64;

/// What a nodo is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name in the directory.
    pub name: String,
    /// Where balancers connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// Where the others are.
    pub peers: Peers,
    /// From the notice to leave to the kill.
    pub stop: Duration,
    /// What the module is told.
    pub settings: Settings,
    /// The names that the settings give.
    pub names: Names,
    /// Bounds that follow from the limits.
    pub bounds: Bounds,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// The operator's own file, where there is one.
    pub operator: Option<Rc<File>>,
    /// Where the platform's file is, if it is a file.
    path: Option<Rc<str>>,
    /// The platform's file as it stands.
    file: Rc<JsonValue>,
}

/// What the module is told, with the names in it. May change while a nodo runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    /// The settings. Classes and tenants have places in it that names may not lead to any more.
    pub settings: Settings,
    /// The names that lead there.
    pub names: Names,
}

/// Where those are that a nodo works with. These addresses may change while it runs; all else stays.
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
    /// Balancers' connections open at once.
    pub connections: usize,
    /// Connections to the database open at once.
    pub calls: usize,
    /// Bytes of keys and kept results.
    pub kept: usize,
    /// Bytes of requests, from their reading to their answer.
    pub requests: usize,
    /// Bytes of answers that are not written yet.
    pub unwritten: usize,
}

/// A configuration that cannot be used: the key or variable at fault, and what is wrong with it.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file that the key is in, if it is in one that is known.
    file: Option<String>,
    problem: String,
}

impl ConfigError {
    fn new(problem: String) -> ConfigError {
        ConfigError { file: None, problem }
    }

    /// The same, told of a configuration from this file. What is wrong with a variable is not in it.
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

/// Reads the configuration: the file that the variable `NODE_CONFIG` names, in which `NODE_NAME` and
/// `NODE_LISTEN`, where they are set, take the place of `name` and `listen`.
///
/// # Errors
/// The key or variable that is missing or wrong.
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

/// Reads the configuration from its text; see [`load`].
///
/// # Errors
/// The key or variable that is missing or wrong.
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
    let told = |name: &str, key: &str| match variable(name).filter(|value| !value.is_empty()) {
        Some(value) => Ok((name.to_string(), value)),
        None => Ok((key.to_string(), text_of(object, key)?)),
    };
    let (name_key, name) = told("NODE_NAME", "name")?;
    // The name stands in a path as it is.
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~".contains(&b)) {
        return wrong(&name_key, "must hold letters, digits, '-', '.', '_' or '~' only");
    }
    let (listen_key, listen) = told("NODE_LISTEN", "listen")?;
    let admin = match (variable("NODE_ADMIN").filter(|value| !value.is_empty()), object.get("admin")) {
        (Some(value), _) => Some(address("NODE_ADMIN", &value)?),
        (None, None | Some(JsonValue::Null)) => None,
        (None, Some(_)) => Some(address("admin", &text_of(object, "admin")?)?),
    };
    // Descriptors for operators come off those for balancers.
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
            kept: memory / KEPT_PART,
            requests: memory / REQUESTS_PART,
            unwritten: memory / UNWRITTEN_PART,
        },
        seed: seed(object),
        operator: None,
        path: None,
        file: Rc::new(value.clone()),
    })
}

impl Config {
    /// Takes the operator's file, if it fits the settings and the limits.
    ///
    /// # Errors
    /// All that does not fit, with the way to the key.
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

    /// What of an operator's file does not fit the settings and the limits, with the way to the key.
    pub fn against(&self, file: &File) -> Vec<String> {
        let repeat = |repeat| match repeat {
            Repeat::Safe => OperatorRepeat::Safe,
            Repeat::Keyed(_) => OperatorRepeat::Keyed,
            Repeat::Unsafe => OperatorRepeat::Unsafe,
        };
        let classes: Vec<Class> = (self.settings.classes.iter())
            .map(|class| Class { name: &class.name, repeat: repeat(class.repeat), calls: class.calls })
            .collect();
        let told = |(key, what)| format!("{key}: {what}");
        let mut wrong: Vec<String> = against_settings(file, &classes).into_iter().map(told).collect();
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
        if sockets > 0 && sockets + LEAST_CONNECTIONS > self.bounds.connections {
            let left = self.bounds.connections;
            wrong.push(format!(
                "fleet.links: the fleet takes {sockets} descriptors, and limits.sockets leaves {left} for it and for \
                 balancers, who need {LEAST_CONNECTIONS}"
            ));
        }
        let most = self.bounds.kept / OPERATOR_KEPT_PART;
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

    /// Whether a file that was read anew can follow this one. A file that lacks a key that this one has was most likely cut
    /// short or put together wrongly, also where a default would do at a start: nothing of it is taken.
    ///
    /// # Errors
    /// The first key that is missing.
    pub fn followed_by(&self, new: &Config) -> Result<(), ConfigError> {
        match lacks(&self.file, &new.file, "") {
            Some(key) => Err(new.wrong(format!("{key} is missing, and the file in force has it"))),
            None => Ok(()),
        }
    }

    /// What is wrong with this configuration, beside the file that it is from.
    pub fn wrong(&self, problem: String) -> ConfigError {
        ConfigError { file: self.path.as_ref().map(|path| path.to_string()), problem }
    }

    /// What the module is told.
    pub fn facts(&self) -> Facts {
        Facts { settings: self.settings.clone(), names: self.names.clone() }
    }

    /// The keys, other than those of the peers and the settings, in which a configuration that was read anew differs from
    /// this one. A nodo that runs keeps to what it started with there.
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

/// The way to the first key, by name, that an object has and one that is to take its place lacks. Objects in a list are
/// all of one kind: each new one needs what all the old ones have.
fn lacks(old: &JsonValue, new: &JsonValue, path: &str) -> Option<String> {
    match (old, new) {
        (JsonValue::Object(old), JsonValue::Object(new)) => {
            let mut keys: Vec<_> = old.iter().collect();
            keys.sort_unstable_by_key(|(key, _)| *key);
            keys.into_iter().find_map(|(key, value)| {
                let way = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match new.get(key) {
                    Some(other) => lacks(value, other, &way),
                    None => Some(way),
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

/// A number of at least `least`, and small enough to be counted in bytes; `missing` where there is none.
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

/// A number from the seed, whatever text that is; all random waits are made from it, and nothing else is random.
fn seed(object: &HashMap<String, JsonValue>) -> u64 {
    let Some(JsonValue::String(text)) = object.get("seed") else { return 0 };
    // FNV-1a (Fowler, Noll and Vo): every byte counts.
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().or_else(|_| wrong(key, format_args!("must be an IP address with a port, got {text:?}")))
}
