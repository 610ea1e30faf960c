//! What joins the parts of the agreed state, which do not know each other: an heir for work that has lost its owner, in a region that
//! may have it, the one that steering prefers first.
//!
//! Decides and does nothing: no clock, socket, file, thread or random source. [`parts()`] and [`lead()`] are what a member of a fleet
//! is given at its start.
//!
//! ```
//! use jaspershunt_agreed::{lead, parts, work};
//! use jaspershunt_fleet::parts::Agreed;
//! use jaspershunt_fleet::{Entry, Holder, Outcome};
//! use jaspershunt_work::{Effect, Entry as OfWork, Offer};
//!
//! let (one, two) = (Holder::new("n1", 7), Holder::new("n2", 8));
//! let mut agreed = Agreed::new(parts());
//! for holder in [&one, &two] {
//!     agreed.apply(&Entry::Enrol { holder: holder.clone() });
//! }
//! let offer = Offer {
//!     key: "op-1".into(), class: "firma".into(), tenant: None, body: b"sign".to_vec(),
//!     due_ms: 5_000, window_ends_ms: 60_000, worth_milli: 1_000, effect: Effect::Fenced,
//! };
//! let room = OfWork::Capacity { holder: two.clone(), region: "sur".into(), capacity: 3 };
//! for entry in [OfWork::Offer { by: one.clone(), offer, begin: true, now_ms: 0 }, room] {
//!     agreed.apply(&Entry::Part { part: "work".into(), bytes: entry.to_bytes() });
//! }
//! // Its nodo is lost; the one that leads proposes who takes it over.
//! agreed.apply(&Entry::Gone { holder: one });
//! for (part, bytes) in lead(100, &agreed) {
//!     assert!(matches!(agreed.apply(&Entry::Part { part, bytes }), Outcome::Part(_)));
//! }
//! assert_eq!(work(&agreed).unwrap().item("op-1").unwrap().owner, two);
//! ```

use jaspershunt_fleet::parts::{Agreed, Part};
use jaspershunt_routes::Routes;
use jaspershunt_routes::stage::{Verdict, share};
use jaspershunt_routes::table::WHOLE;
use jaspershunt_steering as steering;
use jaspershunt_steering::{Group, Tables};
use jaspershunt_work::{Entry, Orphan, TakeoverPlan, Work, plan_takeovers};
use std::collections::BTreeSet;

/// What is over is forgotten so often, in milliseconds. Ours: the bound on items counts what is over until then.
pub const TIDY_EVERY_MS: u64 = 1_000;

/// The parts of the agreed state, each of them empty.
pub fn parts() -> Vec<Box<dyn Part>> {
    vec![Box::new(Work::default()), Box::new(Routes::default()), Box::new(steering::Part::default())]
}

/// The work in hand, if this agreed state has it.
pub fn work(agreed: &Agreed) -> Option<&Work> {
    agreed.part(jaspershunt_work::part::NAME)?.as_any().downcast_ref()
}

/// The route table, if this agreed state has it.
pub fn routes(agreed: &Agreed) -> Option<&Routes> {
    agreed.part(jaspershunt_routes::part::NAME)?.as_any().downcast_ref()
}

/// Who is served where, if this agreed state has it.
pub fn tables(agreed: &Agreed) -> Option<&Tables> {
    let part: &steering::Part = agreed.part(steering::part::NAME)?.as_any().downcast_ref()?;
    Some(part.tables())
}

/// What the one that leads proposes at this time of the fleet's, in Unix milliseconds: each a part's name and an entry of it. Nothing
/// while no work is in hand, no edit is taken and no edge measures. Two that lead may both do so: the token decides, and tidying or
/// publishing twice is doing so once. A new table goes to all at once.
pub fn lead(now_ms: u64, agreed: &Agreed) -> Vec<(String, Vec<u8>)> {
    lead_by::<WHOLE>(now_ms, agreed)
}

/// The same, where a new table goes to so many thousandths of the nodos first.
pub fn lead_by<const PERMILLE: u32>(now_ms: u64, agreed: &Agreed) -> Vec<(String, Vec<u8>)> {
    let mut entries = lead_work(now_ms, agreed);
    entries.extend(publish(now_ms, agreed, PERMILLE));
    // Work waits for nobody; the next table can.
    entries.extend(steered(now_ms, agreed));
    entries
}

/// A new table, once there are edits that are taken; and what becomes of one on trial, once that can be said.
fn publish(now_ms: u64, agreed: &Agreed, permille: u32) -> Option<(String, Vec<u8>)> {
    let routes = routes(agreed)?;
    let entry = match routes.on_trial() {
        Some(trial) => {
            let judged = trial.verdict(now_ms) != Verdict::Wait;
            judged.then_some(jaspershunt_routes::Entry::Step { revision: trial.revision, now_ms })?
        }
        None if routes.ready() => {
            let members = agreed.fleet.members().map(|(name, _)| name);
            let permille = if permille < WHOLE { share(members, permille) } else { WHOLE };
            jaspershunt_routes::Entry::Publish { permille, now_ms: now_ms.max(routes.published_ms()) }
        }
        None => return None,
    };
    Some((jaspershunt_routes::part::NAME.to_string(), entry.to_bytes()))
}

fn lead_work(now_ms: u64, agreed: &Agreed) -> Vec<(String, Vec<u8>)> {
    let Some(work) = work(agreed) else { return Vec::new() };
    let mut entries = heirs(now_ms, agreed, work, |orphan| allowed(agreed, orphan)).entries();
    // Behind the rest: only so many are taken in one go, and what is over can wait.
    if work.items().next().is_some() && now_ms >= work.clock_ms().saturating_add(TIDY_EVERY_MS) {
        entries.push(Entry::Tidy { now_ms });
    }
    let name = jaspershunt_work::part::NAME;
    entries.iter().map(|entry| (name.to_string(), entry.to_bytes())).collect()
}

/// What the one that leads proposes for steering: a tenant's group is served only where the table of routes has it.
fn steered(now_ms: u64, agreed: &Agreed) -> Vec<(String, Vec<u8>)> {
    let Some(steering) = agreed.part(steering::part::NAME) else { return Vec::new() };
    let Some(part) = steering.as_any().downcast_ref::<steering::Part>() else { return Vec::new() };
    let present: BTreeSet<&str> = agreed.fleet.members().map(|(name, _)| name).collect();
    let allowed = |group: &Group| match (group, routes(agreed)) {
        (Group::Field(tenant), Some(routes)) => routes.allows("", tenant),
        _ => BTreeSet::new(),
    };
    let entries =
        part.planning_state().propose(now_ms, part.tables(), |name| present.contains(name), allowed);
    entries.iter().map(|entry| (steering::part::NAME.to_string(), entry.to_bytes())).collect()
}

/// The regions that may have it, by the table of routes that all members have; none named where that bounds nothing.
fn allowed(agreed: &Agreed, orphan: &Orphan) -> Option<BTreeSet<String>> {
    let tenant = orphan.tenant.as_deref().unwrap_or_default();
    Some(routes(agreed).map(|routes| routes.allows(&orphan.class, tenant)).unwrap_or_default())
}

/// Who gets the work that has lost its owner: a start with room, in a region that `allowed` names (none named: all; `None`: it has no
/// route any more), the one first that steering prefers for whose work it is.
pub fn heirs(
    now_ms: u64,
    agreed: &Agreed,
    work: &Work,
    allowed: impl Fn(&Orphan) -> Option<BTreeSet<String>>,
) -> TakeoverPlan {
    let orphans = work.orphans(&agreed.fleet);
    // Nearly always: then nothing else is looked at.
    if orphans.is_empty() {
        return TakeoverPlan::default();
    }
    let prefers = |orphan: &Orphan, regions: Vec<String>| match tables(agreed) {
        // A set of none would mean all that the table knows.
        Some(tables) if !regions.is_empty() => {
            tables.preferred_regions(&group(orphan), &regions.into_iter().collect())
        }
        _ => regions,
    };
    plan_takeovers(&orphans, &work.eligible_members(&agreed.fleet), now_ms, allowed, prefers)
}

/// The group of clients whose work it is, as steering has it: the tenant's, which is one where the operator's file makes it so, and
/// else all clients.
fn group(orphan: &Orphan) -> Group {
    orphan.tenant.as_deref().map_or(Group::All, Group::named)
}

#[cfg(test)]
mod tests;
