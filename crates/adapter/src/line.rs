//! Parses the fields and events of single lines, and prints actions as lines.

use jaspershunt::{Action, CallerId, Event, Gauges, Outcome, Request, RequestId};
use jaspershunt_settings::{Names, gauge_by_name_mut};
use std::fmt::Write;

/// The events that the module handles; others are ignored.
pub const EVENT_NAMES: [&str; 7] =
    ["JOB_IN", "ENDED", "CAME_BACK", "BELL", "WITHDRAWN", "NEEDS", "TERMINATE_SOON"];

/// Fields whose value extends to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["facts", "words"];

/// The name and the fields of a line.
pub struct Fields<'a> {
    /// The message's name.
    pub name: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits a line into its name and fields.
    pub fn parse(text: &'a str) -> Result<Self, String> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() || name.contains('=') {
            return Err(format!("no message name in {:?}", truncate(text)));
        }
        let mut pairs = Vec::with_capacity(14);
        while !rest.is_empty() {
            let (key, after) =
                rest.split_once('=').ok_or_else(|| format!("expected name=value at {:?}", truncate(rest)))?;
            if key.is_empty() || key.contains(' ') {
                return Err(format!("expected name=value at {:?}", truncate(rest)));
            }
            let (value, after) = match TEXT_FIELDS.contains(&key) {
                true => (after, ""),
                false => after.split_once(' ').unwrap_or((after, "")),
            };
            if pairs.iter().any(|(k, _)| *k == key) {
                return Err(format!("{key} is given twice"));
            }
            pairs.push((key, value));
            rest = after;
        }
        Ok(Fields { name, pairs })
    }

    fn get(&self, key: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    /// Returns a required field.
    pub fn text(&self, key: &str) -> Result<&'a str, String> {
        self.get(key).ok_or_else(|| format!("{} without {key}", self.name))
    }

    /// Returns a required whole number.
    pub fn whole(&self, key: &str) -> Result<u64, String> {
        parse_whole(key, self.text(key)?)
    }

    /// Returns a required, non-negative number of seconds.
    pub fn seconds(&self, key: &str) -> Result<f64, String> {
        parse_number(key, self.text(key)?)
    }

    fn seconds_or_none(&self, key: &str) -> Result<Option<f64>, String> {
        self.get(key).map(|v| parse_number(key, v)).transpose()
    }

    fn whole_or_none(&self, key: &str) -> Result<Option<u64>, String> {
        self.get(key).map(|v| parse_whole(key, v)).transpose()
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("{key} must be 0 or 1, got {:?}", truncate(other))),
        }
    }
}

fn truncate(text: &str) -> &str {
    let end = text.char_indices().nth(60).map_or(text.len(), |(i, _)| i);
    &text[..end]
}

fn parse_whole(key: &str, value: &str) -> Result<u64, String> {
    value.parse().map_err(|_| format!("{key} must be a whole number, got {:?}", truncate(value)))
}

fn parse_number(key: &str, value: &str) -> Result<f64, String> {
    let number: f64 =
        value.parse().map_err(|_| format!("{key} must be a number, got {:?}", truncate(value)))?;
    match number.is_finite() && number >= 0.0 {
        true => Ok(number),
        false => Err(format!("{key} must be finite and not negative, got {:?}", truncate(value))),
    }
}

fn read_outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match fields.text("disposition")? {
        "GOOD" => Outcome::Done,
        "BAD" => Outcome::Failed,
        "FULL" => Outcome::TurnedAway,
        "LATE" => Outcome::GivenUp,
        "NOCONN" => Outcome::Unreachable,
        "RST" => Outcome::Broken,
        "CXL" => Outcome::Stopped,
        "NOP" => Outcome::NotStarted,
        other => return Err(format!("unknown disposition {:?}", truncate(other))),
    })
}

fn read_gauges(text: &str) -> Result<Gauges, String> {
    let mut gauges = Gauges::default();
    for pair in text.split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| format!("expected name:value at {:?}", truncate(pair)))?;
        let Some(gauge) = gauge_by_name_mut(&mut gauges, name) else { continue };
        // A reading may be slightly below 0 through rounding.
        let reading: Option<f64> = value.parse().ok().filter(|v: &f64| v.is_finite());
        *gauge = Some(reading.ok_or_else(|| format!("{name} must be a number, got {:?}", truncate(value)))?);
    }
    Ok(gauges)
}

/// Reads the event of a line whose name is one of [`EVENT_NAMES`].
pub fn read_event(fields: &Fields, names: &Names) -> Result<Event, String> {
    let id = || fields.whole("req").map(RequestId);
    Ok(match fields.name {
        "JOB_IN" => Event::Arrived(Request {
            id: id()?,
            class: names.class(fields.text("lane")?)?,
            tenant: fields.get("project").and_then(|name| names.tenant(name)),
            caller: CallerId(fields.whole("neighbour")?),
            waited: fields.seconds_or_none("layS")?.unwrap_or(0.0),
            time_left: fields.seconds_or_none("timeBudgetS")?.filter(|_| names.passes_deadline),
            cost_hint: fields.seconds_or_none("effortS")?.filter(|hint| *hint > 0.0),
            held_kb: fields.seconds("sizeKb")?,
            rank: fields.seconds_or_none("place")?.unwrap_or(0.0),
            retry: fields.flag("isRetry")?,
            repeats: fields.whole_or_none("original")?.filter(|id| *id != 0).map(RequestId),
        }),
        "ENDED" => Event::Ended { id: id()?, outcome: read_outcome(fields)? },
        "NEEDS" => Event::CallWanted { id: id()? },
        "CAME_BACK" => Event::CallEnded {
            id: id()?,
            outcome: read_outcome(fields)?,
            took: fields.seconds_or_none("rttS")?.unwrap_or(0.0),
        },
        "WITHDRAWN" => Event::Withdrawn { id: id()? },
        "TERMINATE_SOON" => Event::Leave { within: fields.seconds("timeBudgetS")? },
        _ => Event::Woke {
            token: parse_whole("token", fields.text("token")?)?,
            gauges: read_gauges(fields.get("telemetry").unwrap_or(""))?,
        },
    })
}

/// Prints an action of a server as one line.
pub fn print_action(out: &mut String, server: u64, action: &Action) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Run(id) => writeln!(out, "ADMIT instance={server} req={}", id.0),
        Action::Stop(id) => writeln!(out, "INTERRUPT instance={server} req={}", id.0),
        Action::Refuse { id, stay_away, last } => {
            let _ = write!(out, "DECLINE instance={server} req={}", id.0);
            if *stay_away > 0.0 {
                let _ = write!(out, " stayAwayS={stay_away:.6}");
            }
            writeln!(out, "{}", if *last { " noRetry=1" } else { "" })
        }
        Action::Fail(id) => writeln!(out, "END_FAILED instance={server} req={}", id.0),
        Action::ServeFrom(id) => writeln!(out, "ANSWER_FROM instance={server} req={}", id.0),
        Action::Call { id, give_up_after } => {
            writeln!(out, "GO_CALL instance={server} req={} giveUpAfterS={give_up_after:.6}", id.0)
        }
        Action::SkipCall(id) => writeln!(out, "OMIT instance={server} req={}", id.0),
        Action::Keep { id, lasting } => {
            writeln!(out, "KEEP instance={server} req={} forTimeS={lasting:.6}", id.0)
        }
        Action::Forget(id) => writeln!(out, "UNPIN instance={server} req={}", id.0),
        Action::Say(value) => writeln!(out, "ADVERTISE instance={server} value={value:.4}"),
        Action::Health { good, stored } => {
            writeln!(
                out,
                "MARK_HEALTH instance={server} enable={} cached={}",
                u8::from(*good),
                u8::from(*stored)
            )
        }
        Action::CloseIdle(after) => writeln!(out, "IDLE instance={server} forTimeS={after:.6}"),
        Action::Wake { after, token } => {
            writeln!(out, "SCHEDULE instance={server} sleepForS={after:.6} token={token}")
        }
        Action::Note(text) => writeln!(out, "RECORD instance={server} words={}", text.replace('\n', " ")),
    };
}
