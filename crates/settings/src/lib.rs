//! Reads the settings object of a server, from the simulator's first message or a nodo's configuration.
//!
//! Unknown keys are ignored; errors name the path of the wrong value.

use jaspershunt::{
    CallerFeedback, Class, DependencyModel, Gauges, Repeat, Settings, StopMode, Tenant, WorthBy,
};
use std::collections::HashMap;
use tinyjson::JsonValue;

mod merge;
pub use merge::{MAX_SLOTS, merge};

/// The names that later messages use.
#[derive(Clone, Debug, PartialEq)]
pub struct Names {
    /// Classes and tenants that requests may name, with their indices in the settings.
    classes: Vec<(String, usize)>,
    tenants: Vec<(String, usize)>,
    /// The gauges, in the order of their readings.
    pub gauges: Vec<String>,
    /// Whether requests include the time that their caller still waits.
    pub passes_deadline: bool,
}

impl Names {
    /// Returns the index of a class in the settings.
    ///
    /// # Errors
    /// No class has this name.
    pub fn class(&self, name: &str) -> Result<usize, String> {
        index_of(&self.classes, name).ok_or_else(|| format!("unknown class {name:?}"))
    }

    /// Whether requests may name the class at this index.
    pub fn has_class_at(&self, class: usize) -> bool {
        self.classes.iter().any(|(_, index)| *index == class)
    }

    /// Returns the names of the classes that requests may name.
    pub fn classes(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|(name, _)| name.as_str())
    }

    /// Whether requests must name a tenant. After a merge the settings may still have tenants that no request
    /// may name.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the index of a tenant in the settings, if there is one of this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        index_of(&self.tenants, name)
    }
}

fn index_of(names: &[(String, usize)], name: &str) -> Option<usize> {
    names.iter().find(|(known, _)| known == name).map(|(_, index)| *index)
}

/// Returns the field for the reading of a gauge; `None` for gauges that the module does not use.
pub fn gauge_by_name_mut<'a>(gauges: &'a mut Gauges, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "core_use" => &mut gauges.core_use,
        "on_cores" => &mut gauges.on_cores,
        "heap_share" => &mut gauges.memory_share,
        "links" => &mut gauges.connections,
        _ => return None,
    })
}

/// The keys in the settings object of the module's fields.
const KEYS: [(&str, &str); 17] = [
    ("cores", "domain.nCores"),
    ("over_share_worth", "overShareWorth"),
    ("cold_from", "obligations.coldFrom"),
    ("cold_for", "obligations.coldS"),
    ("crowd_multiple", "obligations.fallMultiple"),
    ("crowd_over", "obligations.fallS"),
    ("memory_kb", "domain.heapKb"),
    ("run_factor", "domain.runFactor"),
    ("key_kb", "domain.keyKb"),
    ("fresh_for", "domain.freshS"),
    ("linger", "domain.lingerS"),
    ("max_stay_away", "allowed.maxRetryAfterS"),
    ("drain_grace", "obligations.drainGraceS"),
    ("tick", "granularityS"),
    ("idle", "domain.idleS"),
    ("below.fair_calls", "domain.fairCalls"),
    ("below.over", "domain.callsOverS"),
];
/// The same for the fields of a class and a tenant.
const LIST_KEYS: [(&str, &str); 6] = [
    ("late_worth", "lateShare"),
    ("aim", "targetS"),
    ("aim_stretch", "aimStretch"),
    ("deadline", "deadlineS"),
    ("window", "windowS"),
    ("allowance", "allowancePerS"),
];

/// Returns the key in the settings object of a field that [`Settings::check`] names.
pub fn key_of(field: &str) -> String {
    let known = |keys: &[(&str, &str)], field: &str| {
        let key = keys.iter().find(|(name, _)| *name == field).map(|(_, key)| *key);
        key.unwrap_or(field).to_string()
    };
    let Some((list, name)) = field.rsplit_once("].") else { return known(&KEYS, field) };
    let (list, index) = list.split_once('[').unwrap_or((list, ""));
    match (list, name) {
        // The settings object has a separate list for these.
        ("classes", "skip_worth") => format!("domain.classSkipWorth[{index}]"),
        ("tenants", name) => format!("orgs[{index}].{}", known(&LIST_KEYS, name)),
        (list, name) => format!("{list}[{index}].{}", known(&LIST_KEYS, name)),
    }
}

/// A part of the settings object, with its path for messages.
struct Section<'a> {
    value: &'a JsonValue,
    path: String,
}

impl<'a> Section<'a> {
    fn get(&self, key: &str) -> Option<Section<'a>> {
        let object: &HashMap<String, JsonValue> = self.value.get()?;
        let value = object.get(key).filter(|v| !v.is_null())?;
        Some(Section { value, path: format!("{}.{key}", self.path) })
    }

    fn required(&self, key: &str) -> Result<Section<'a>, String> {
        self.get(key).ok_or_else(|| format!("{}.{key} is missing", self.path))
    }

    fn type_error<T>(&self, wanted: &str) -> Result<T, String> {
        Err(format!("{} must be {wanted}", self.path))
    }

    fn as_number(&self) -> Result<f64, String> {
        self.value.get::<f64>().copied().map_or_else(|| self.type_error("a number"), Ok)
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        self.required(key)?.as_number()
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.get(key).map_or(Ok(default), |part| part.as_number())
    }

    fn count_or(&self, key: &str, default: u32) -> Result<u32, String> {
        let Some(part) = self.get(key) else {
            return Ok(default);
        };
        let number = part.as_number()?;
        // The cast is exact for whole numbers in this range.
        let whole = number.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&number);
        if whole { Ok(number as u32) } else { part.type_error("a whole number") }
    }

    fn as_flag(&self) -> Result<bool, String> {
        match self.value {
            JsonValue::Boolean(flag) => Ok(*flag),
            JsonValue::Number(0.0) => Ok(false),
            JsonValue::Number(1.0) => Ok(true),
            _ => self.type_error("true or false"),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        self.get(key).map_or(Ok(false), |part| part.as_flag())
    }

    fn as_text(&self) -> Result<&'a str, String> {
        self.value.get::<String>().map_or_else(|| self.type_error("a text"), |text| Ok(text.as_str()))
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.required(key)?.as_text()
    }

    fn text_or(&self, key: &str, default: &'a str) -> Result<&'a str, String> {
        self.get(key).map_or(Ok(default), |part| part.as_text())
    }

    /// Returns the items of a list; a missing list is empty.
    fn list(&self, key: &str) -> Result<Vec<Section<'a>>, String> {
        let Some(part) = self.get(key) else {
            return Ok(Vec::new());
        };
        let Some(values) = part.value.get::<Vec<JsonValue>>() else {
            return part.type_error("a list");
        };
        let numbered = values.iter().enumerate();
        Ok(numbered.map(|(i, value)| Section { value, path: format!("{}[{i}]", part.path) }).collect())
    }
}

/// Reads the settings from JSON text; messages call the object `name`.
///
/// # Errors
/// Names the path of what is missing or wrong.
pub fn read(text: &str, name: &str) -> Result<(Settings, Names), String> {
    let value: JsonValue = text.parse().map_err(|e| format!("{name} are not JSON: {e}"))?;
    from_value(&value, name)
}

/// Reads the settings from a JSON value; messages call it `name`.
///
/// # Errors
/// Names the path of what is missing or wrong.
pub fn from_value(value: &JsonValue, name: &str) -> Result<(Settings, Names), String> {
    if !value.is_object() {
        return Err(format!("{name} must be an object"));
    }
    let facts = Section { value, path: name.to_string() };
    let domain = facts.required("domain")?;
    let rules = facts.required("obligations")?;
    let empty = JsonValue::Null;
    let empty_section = |path: &str| Section { value: &empty, path: path.to_string() };
    let allowed = facts.get("allowed").unwrap_or_else(|| empty_section(&format!("{name}.allowed")));
    let habits = facts.get("clientHabits").unwrap_or_else(|| empty_section(&format!("{name}.clientHabits")));
    let classes = read_classes(&facts, &domain)?;
    let tenants = read_tenants(&facts)?;
    let names = Names {
        classes: classes.iter().map(|c| c.name.clone()).zip(0..).collect(),
        tenants: tenants.iter().map(|t| t.name.clone()).zip(0..).collect(),
        gauges: domain
            .list("meters")?
            .iter()
            .map(|m| Ok(m.as_text()?.to_string()))
            .collect::<Result<_, String>>()?,
        passes_deadline: domain.flag("passesDeadline")?,
    };
    let settings = Settings {
        classes,
        tenants,
        over_share_worth: facts.number_or("overShareWorth", 1.0)?,
        worth_by: match facts.text_or("worthBy", "request")? {
            "work" => WorthBy::Work,
            _ => WorthBy::Request,
        },
        servers: facts.count_or("servers", 1)?,
        cores: domain.required("nCores").and_then(|_| domain.count_or("nCores", 0))?,
        cold: domain.flag("justStarted")?,
        cold_from: rules.number("coldFrom")?,
        cold_for: rules.number("coldS")?,
        crowd_multiple: rules.number("fallMultiple")?,
        crowd_over: rules.number("fallS")?,
        memory_kb: domain.number("heapKb")?,
        run_factor: domain.number("runFactor")?,
        key_kb: domain.number_or("keyKb", 0.0)?,
        fresh_for: domain.number_or("freshS", 0.0)?,
        halt: match domain.text_or("halt", "silent")? {
            "pause" => StopMode::Pause,
            "drop" => StopMode::Drop,
            _ => StopMode::Never,
        },
        below: read_dependencies(&domain)?,
        linger: domain.number_or("lingerS", 0.0)?,
        say: match domain.text_or("say", "silent")? {
            "tokens" => CallerFeedback::Credit,
            "min_rank" => CallerFeedback::Level,
            "bias" => CallerFeedback::Weight,
            _ => CallerFeedback::Nothing,
        },
        readiness: domain.flag("readiness")?,
        max_stay_away: match allowed.flag("retryAfter")? {
            true => allowed.number_or("maxRetryAfterS", 0.0)?,
            false => 0.0,
        },
        drain_grace: rules.number("drainGraceS")?,
        tick: facts.number_or("granularityS", 0.0)?,
        marks_retry: habits.flag("marksRetry")?,
        idle: domain.number_or("idleS", 0.0)?,
    };
    Ok((settings, names))
}

fn read_classes(facts: &Section, domain: &Section) -> Result<Vec<Class>, String> {
    let calls = domain.list("classCalls")?;
    let skips = domain.list("classSkipWorth")?;
    let read = |(i, part): (usize, &Section)| {
        Ok(Class {
            name: part.text("name")?.to_string(),
            worth: part.number("worth")?,
            late_worth: part.number_or("lateShare", 0.0)?,
            aim: part.number("targetS")?,
            aim_stretch: part.number_or("aimStretch", 0.0)?,
            deadline: part.number("deadlineS")?,
            repeat: match part.text("semantics")? {
                "free" => Repeat::Safe,
                "guarded" => Repeat::Keyed(part.number("windowS")?),
                "single_shot" => Repeat::Unsafe,
                _ => return part.required("semantics")?.type_error("free, guarded or single_shot"),
            },
            calls: calls.get(i).map_or(Ok(true), Section::as_flag)?,
            skip_worth: skips.get(i).map_or(Ok(0.0), Section::as_number)?,
        })
    };
    facts.list("classes")?.iter().enumerate().map(read).collect()
}

fn read_tenants(facts: &Section) -> Result<Vec<Tenant>, String> {
    let read = |part: &Section| {
        Ok(Tenant {
            name: part.text("name")?.to_string(),
            share: part.number_or("share", 0.0)?,
            allowance: part.number_or("allowancePerS", 0.0)?,
        })
    };
    facts.list("orgs")?.iter().map(read).collect()
}

fn read_dependencies(domain: &Section) -> Result<DependencyModel, String> {
    Ok(match domain.text_or("dependsOn", "silent")? {
        "common" => DependencyModel::Shared {
            fair_calls: domain.number("fairCalls")?,
            over: domain.number("callsOverS")?,
        },
        "next_hop" => DependencyModel::NextTier,
        _ => DependencyModel::Nothing,
    })
}
