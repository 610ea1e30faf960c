//! The settings of a server, as its first message gives them.

use jaspershunt::{Below, Class, Halt, Repeat, Say, Settings, Tenant, WorthBy};
use serde_json::Value;

/// The names that later messages use.
pub struct Names {
    classes: Vec<String>,
    tenants: Vec<String>,
    /// Whether requests tell how long their caller waits.
    pub passes_deadline: bool,
}

impl Names {
    /// The place of a class in the settings.
    pub fn class(&self, name: &str) -> Result<usize, String> {
        self.classes.iter().position(|n| n == name).ok_or_else(|| format!("unknown class {name:?}"))
    }

    /// The place of a tenant in the settings, if it is there.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenants.iter().position(|n| n == name)
    }
}

/// A part of the settings, with the way to it for messages.
struct Part<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Part<'a> {
    fn at(&self, key: &str) -> Option<Part<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        Some(Part { value, path: format!("{}.{key}", self.path) })
    }

    fn need(&self, key: &str) -> Result<Part<'a>, String> {
        self.at(key).ok_or_else(|| format!("{}.{key} is missing", self.path))
    }

    fn wrong<T>(&self, wanted: &str) -> Result<T, String> {
        Err(format!("{} must be {wanted}", self.path))
    }

    fn as_number(&self) -> Result<f64, String> {
        self.value.as_f64().map_or_else(|| self.wrong("a number"), Ok)
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        self.need(key)?.as_number()
    }

    fn number_or(&self, key: &str, missing: f64) -> Result<f64, String> {
        self.at(key).map_or(Ok(missing), |part| part.as_number())
    }

    fn count_or(&self, key: &str, missing: u32) -> Result<u32, String> {
        let Some(part) = self.at(key) else {
            return Ok(missing);
        };
        let whole = part.value.as_u64().and_then(|n| u32::try_from(n).ok());
        whole.map_or_else(|| part.wrong("a whole number"), Ok)
    }

    fn as_flag(&self) -> Result<bool, String> {
        match self.value.as_u64() {
            Some(0) => Ok(false),
            Some(1) => Ok(true),
            _ => self.value.as_bool().map_or_else(|| self.wrong("true or false"), Ok),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        self.at(key).map_or(Ok(false), |part| part.as_flag())
    }

    fn as_text(&self) -> Result<&'a str, String> {
        self.value.as_str().map_or_else(|| self.wrong("a text"), Ok)
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.need(key)?.as_text()
    }

    fn text_or(&self, key: &str, missing: &'a str) -> Result<&'a str, String> {
        self.at(key).map_or(Ok(missing), |part| part.as_text())
    }

    /// The parts of a list; one that is missing is empty.
    fn list(&self, key: &str) -> Result<Vec<Part<'a>>, String> {
        let Some(part) = self.at(key) else {
            return Ok(Vec::new());
        };
        let Some(values) = part.value.as_array() else {
            return part.wrong("a list");
        };
        let numbered = values.iter().enumerate();
        Ok(numbered.map(|(i, value)| Part { value, path: format!("{}[{i}]", part.path) }).collect())
    }
}

/// Reads the settings.
pub fn read(text: &str) -> Result<(Settings, Names), String> {
    let value: Value = serde_json::from_str(text).map_err(|e| format!("facts are not JSON: {e}"))?;
    if !value.is_object() {
        return Err("facts must be an object".to_string());
    }
    let facts = Part { value: &value, path: "facts".to_string() };
    let domain = facts.need("domain")?;
    let rules = facts.need("obligations")?;
    let empty = Value::Null;
    let none = |path: &str| Part { value: &empty, path: path.to_string() };
    let allowed = facts.at("allowed").unwrap_or_else(|| none("facts.allowed"));
    let habits = facts.at("clientHabits").unwrap_or_else(|| none("facts.clientHabits"));
    let classes = read_classes(&facts, &domain)?;
    let tenants = read_tenants(&facts)?;
    let names = Names {
        classes: classes.iter().map(|c| c.name.clone()).collect(),
        tenants: tenants.iter().map(|t| t.name.clone()).collect(),
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
        cores: domain.need("nCores").and_then(|_| domain.count_or("nCores", 0))?,
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
            "pause" => Halt::Pause,
            "drop" => Halt::Drop,
            _ => Halt::Never,
        },
        below: read_below(&domain)?,
        linger: domain.number_or("lingerS", 0.0)?,
        say: match domain.text_or("say", "silent")? {
            "tokens" => Say::Credit,
            "min_rank" => Say::Level,
            "bias" => Say::Weight,
            _ => Say::Nothing,
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

fn read_classes(facts: &Part, domain: &Part) -> Result<Vec<Class>, String> {
    let calls = domain.list("classCalls")?;
    let skips = domain.list("classSkipWorth")?;
    let read = |(i, part): (usize, &Part)| {
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
                _ => return part.need("semantics")?.wrong("free, guarded or single_shot"),
            },
            calls: calls.get(i).map_or(Ok(true), Part::as_flag)?,
            skip_worth: skips.get(i).map_or(Ok(0.0), Part::as_number)?,
        })
    };
    facts.list("classes")?.iter().enumerate().map(read).collect()
}

fn read_tenants(facts: &Part) -> Result<Vec<Tenant>, String> {
    let read = |part: &Part| {
        Ok(Tenant {
            name: part.text("name")?.to_string(),
            share: part.number_or("share", 0.0)?,
            allowance: part.number_or("allowancePerS", 0.0)?,
        })
    };
    facts.list("orgs")?.iter().map(read).collect()
}

fn read_below(domain: &Part) -> Result<Below, String> {
    Ok(match domain.text_or("dependsOn", "silent")? {
        "common" => {
            Below::Shared { fair_calls: domain.number("fairCalls")?, over: domain.number("callsOverS")? }
        }
        "next_hop" => Below::NextTier,
        _ => Below::Nothing,
    })
}
