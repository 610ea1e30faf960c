//! Checks of relations between the blocks of a file, and between the file and the platform's settings.

use crate::units::Span;
use crate::{By, Effect, File, Grade, Repeat};
use std::collections::BTreeSet;
use std::time::Duration;

/// The label of the call block for all calls without a block of their own.
pub const ANY: &str = "any";
/// Maximum position of a call in a run that can have its own block.
pub const MAX_PLACE: usize = 64;

/// Returns all conflicts between blocks, each as the path of the key and a message.
pub fn between_blocks(file: &File) -> Vec<(String, String)> {
    let mut problems = Vec::new();
    dependencies(file, &mut problems);
    routes(file, &mut problems);
    fleet(file, &mut problems);
    handovers(file, &mut problems);
    problems
}

/// Maximum interval between two summaries of an edge.
const MAX_WINDOW: Duration = Duration::from_secs(600);
/// The kinds of parts that a team can own, before the '/'.
const OWNED_KINDS: [&str; 4] = ["class", "tenant", "dependency", "region"];

/// Checks the blocks that need a fleet: handovers, teams, steering and history.
fn handovers(file: &File, problems: &mut Vec<(String, String)>) {
    let mut report = |key: String, what: String| problems.push((key, what));
    for (class, handover) in &file.handover {
        let key = |key: &str| format!("handover.{class}.{key}");
        if file.fleet.is_none() {
            let what = "needs a fleet block: another member takes over the work".to_string();
            report(format!("handover.{class}"), what);
        }
        if file.route.get(class).is_some_and(|route| route.repeat != Repeat::Keyed) {
            report(format!("handover.{class}"), NOT_KEYED.to_string());
        }
        let plain = handover.path.bytes().all(|b| b.is_ascii_graphic());
        if !handover.path.starts_with('/') || !plain {
            report(key("path"), "must begin with '/' and contain no spaces".to_string());
        }
        match (handover.effect, handover.resource) {
            (Effect::Asks, None) => {
                let what =
                    "is missing: effect \"asks\" needs the address of the resource to query".to_string();
                report(key("resource"), what);
            }
            // An operator could otherwise assume that the resource is queried.
            (Effect::Fenced | Effect::Unknown, Some(_)) => {
                report(key("resource"), "is used only with effect \"asks\": leave it out".to_string());
            }
            (_, Some(address)) if address.port() == 0 => {
                report(key("resource"), "must have a port above 0".to_string());
            }
            _ => {}
        }
    }
    for (name, team) in &file.team {
        if crate::valid_name(name, &()).is_err() {
            let what = "must be named by 1 to 48 letters, digits, '-', '.' or '_'".to_string();
            report(format!("team.{name}"), what);
        }
        if file.fleet.is_none() {
            report(
                format!("team.{name}"),
                "needs a fleet block: the route table belongs to the fleet".to_string(),
            );
        }
        for owned in &team.owns {
            let known = owned
                .split_once('/')
                .is_some_and(|(kind, name)| OWNED_KINDS.contains(&kind) && !name.is_empty());
            if !known {
                let kinds = OWNED_KINDS.map(|kind| format!("\"{kind}/NAME\"")).join(", ");
                report(format!("team.{name}.owns"), format!("has {owned:?}, and must contain only {kinds}"));
            }
        }
    }
    if file.history.is_some() && file.fleet.is_none() {
        report("history".into(), "needs a fleet block: it records operations of the fleet".to_string());
    }
    if let Some(steering) = &file.steering {
        if steering.every.0 > MAX_WINDOW {
            report("steering.every".into(), format!("must be {MAX_WINDOW:?} at most"));
        }
        match (steering.by, &steering.field) {
            (By::Field, None) => {
                report("steering.field".into(), "is missing: by = \"field\" needs it".to_string())
            }
            (By::Balancer | By::Address, Some(_)) => {
                report("steering.field".into(), "leave it out, or set by = \"field\"".to_string());
            }
            _ => {}
        }
        match &file.fleet {
            None => {
                report("steering".into(), "needs a fleet block: its tables belong to the fleet".to_string())
            }
            Some(fleet) if fleet.region.is_none() => {
                report("steering".into(), "needs fleet.region, the region of this nodo".to_string());
            }
            Some(_) => {}
        }
    }
}

/// Message for a class without operation keys, whose repeats could not be recognized.
const NOT_KEYED: &str =
    "must be a keyed class: without a key a repeat cannot be distinguished from a new request";

fn fleet(file: &File, problems: &mut Vec<(String, String)>) {
    let mut report = |key: String, what: String| problems.push((key, what));
    if let Some(fleet) = &file.fleet {
        if fleet.voter.len().is_multiple_of(2) {
            let count = fleet.voter.len();
            report(
                "fleet.voter".into(),
                format!(
                    "there are {count}, but must be 1, 3, 5 or 7: an even number tolerates no more failures"
                ),
            );
        }
        let mut seen = BTreeSet::new();
        for (name, voter) in &fleet.voter {
            let key = format!("fleet.voter.{name}");
            if crate::valid_name(name, &()).is_err() {
                report(key.clone(), "must be named by 1 to 48 letters, digits, '-', '.' or '_'".to_string());
            }
            if voter.address.port() == 0 {
                report(format!("{key}.address"), "must have a port above 0".to_string());
            }
            if !seen.insert(voter.address) {
                report(format!("{key}.address"), "is also another voter's".to_string());
            }
        }
    }
    for (name, task) in &file.task {
        let key = |key: &str| format!("task.{name}.{key}");
        if crate::valid_name(name, &()).is_err() {
            let what = "must be named by 1 to 48 letters, digits, '-', '.' or '_'".to_string();
            report(format!("task.{name}"), what);
        }
        let Some(fleet) = &file.fleet else {
            report(
                format!("task.{name}"),
                "needs a fleet block: it runs once for the whole fleet".to_string(),
            );
            continue;
        };
        match (task.every, &task.cron) {
            (Some(_), Some(_)) => {
                report(key("cron"), "must not be set together with every: set only one of them".to_string())
            }
            (None, None) => report(format!("task.{name}"), "needs every or cron as its schedule".to_string()),
            (Some(every), None) if every < Span::ms(1000) => {
                report(key("every"), "must be at least 1s".to_string());
            }
            _ => {}
        }
        let plain = task.path.bytes().all(|b| b.is_ascii_graphic());
        if !task.path.starts_with('/') || !plain {
            report(key("path"), "must begin with '/' and contain no spaces".to_string());
        }
        if task.address.port() == 0 {
            report(key("address"), "must have a port above 0".to_string());
        }
        let act = task.timeout.0 + task.way.0;
        if task.grade == Grade::Timed && act > fleet.ttl.0 / 2 {
            let ttl = fleet.ttl;
            report(key("timeout"), format!("with way it must be at most half of fleet.ttl, which is {ttl}"));
        }
    }
}

fn dependencies(file: &File, problems: &mut Vec<(String, String)>) {
    let mut report = |name: &str, key: &str, what: String| {
        problems.push((format!("dependency.{name}.{key}"), what));
    };
    let total_share: f64 = file.dependency.values().map(|d| d.share.0).sum();
    let mut in_cycles: BTreeSet<&str> = BTreeSet::new();
    for (name, d) in &file.dependency {
        // The name is sent unescaped in a header of answers.
        if name.is_empty()
            || name.len() > 64
            || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._".contains(&b))
        {
            report(name, "", "must be named by 1 to 64 letters, digits, '-', '.' or '_'".to_string());
        }
        if let Some(next) = &d.fall_back {
            if !file.dependency.contains_key(next) {
                report(name, "fall_back", format!("names {next:?}, which is not a dependency in this file"));
            } else if !in_cycles.contains(name.as_str())
                && let Some(cycle) = cycle_from(file, name)
            {
                let path: Vec<&str> = cycle.iter().copied().chain([cycle[0]]).collect();
                report(name, "fall_back", format!("forms a cycle: {}", path.join(" → ")));
                in_cycles.extend(cycle);
            }
        }
        if d.limit.least > d.calls {
            report(name, "limit.least", format!("must be at most calls, which is {}", d.calls));
        }
        if d.breaker.longest < d.breaker.wait {
            report(name, "breaker.longest", format!("must be at least wait, which is {}", d.breaker.wait));
        }
        if d.addresses.iter().any(|address| address.port() == 0) {
            report(name, "addresses", "must have a port above 0".to_string());
        }
    }
    if total_share > 1.0 + 1e-9
        && let Some(name) = file.dependency.keys().next_back()
    {
        let what = format!(
            "brings the shares of all dependencies to {:.0}%; the maximum is 100%",
            total_share * 100.0
        );
        report(name, "share", what);
    }
}

/// Returns the cycle of fallbacks that includes the dependency, starting with it.
fn cycle_from<'a>(file: &'a File, name: &'a str) -> Option<Vec<&'a str>> {
    let mut path = vec![name];
    let mut at = name;
    while let Some(next) = file.dependency.get(at)?.fall_back.as_deref() {
        if next == name {
            return Some(path);
        }
        if path.contains(&next) {
            // The cycle does not include `name`.
            return None;
        }
        path.push(next);
        at = next;
    }
    None
}

fn routes(file: &File, problems: &mut Vec<(String, String)>) {
    for (class, route) in &file.route {
        let mut report = |key: &str, what: String| problems.push((format!("route.{class}.{key}"), what));
        let safe = route.repeat == Repeat::Safe;
        let kind = if route.repeat == Repeat::Keyed { "a keyed" } else { "an unsafe" };
        if route.without && !safe {
            report("without", format!("{kind} class must never be answered without a call"));
        }
        for (place, call) in &route.call {
            let number = place
                .parse::<usize>()
                .ok()
                .filter(|n| (1..=MAX_PLACE).contains(n) && n.to_string() == *place);
            if place != ANY && number.is_none() {
                let what = format!(
                    "must be labelled by its position in the run, \"1\" to \"{MAX_PLACE}\", or {ANY:?}"
                );
                report(&format!("call.{place}"), what);
            }
            if !file.dependency.contains_key(&call.to) {
                let what = format!("names {:?}, which is not a dependency in this file", call.to);
                report(&format!("call.{place}.to"), what);
            }
            if call.kept.is_some() && !safe {
                let what = format!("{kind} class must never be answered from a cached reply");
                report(&format!("call.{place}.kept"), what);
            }
        }
        if !route.call.contains_key(ANY) {
            report("call", format!("needs a block call {ANY:?} for the calls without a block of their own"));
        }
    }
}

/// A class in the platform's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Class<'a> {
    /// The name of the class.
    pub name: &'a str,
    /// Whether its requests may run again.
    pub repeat: Repeat,
    /// Whether its requests call dependencies.
    pub calls: bool,
}

/// Returns all conflicts between the file and the classes of the platform's settings, each as the path of
/// the key and a message.
pub fn against_settings(file: &File, classes: &[Class]) -> Vec<(String, String)> {
    let mut problems = Vec::new();
    for (name, route) in &file.route {
        match classes.iter().find(|class| class.name == name) {
            None => {
                let names: Vec<&str> = classes.iter().map(|class| class.name).collect();
                let what = format!("is no class of the settings, which have {}", names.join(", "));
                problems.push((format!("route.{name}"), what));
            }
            Some(class) if class.repeat != route.repeat => {
                let what = format!("is {:?} in the settings", class.repeat).to_lowercase();
                problems.push((format!("route.{name}.repeat"), what));
            }
            Some(_) => {}
        }
    }
    for name in file.handover.keys() {
        match classes.iter().find(|class| class.name == name) {
            None => {
                let names: Vec<&str> = classes.iter().map(|class| class.name).collect();
                let what = format!("is no class of the settings, which have {}", names.join(", "));
                problems.push((format!("handover.{name}"), what));
            }
            Some(class) if class.repeat != Repeat::Keyed => {
                problems.push((format!("handover.{name}"), NOT_KEYED.to_string()));
            }
            Some(_) => {}
        }
    }
    // Calls of a class without a route would have no destination.
    for class in classes.iter().filter(|class| class.calls && !file.dependency.is_empty()) {
        if !file.route.contains_key(class.name) {
            problems.push((format!("route.{}", class.name), "is missing: the class makes calls".to_string()));
        }
    }
    problems
}
