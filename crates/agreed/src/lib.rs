//! Joins the parts of the replicated state, which are independent of each other: finds a successor for
//! orphaned work, in a region that the route table allows, and in those that steering prefers first.
//!
//! Pure decision logic: no clock, socket, file, thread or random source. A member of a fleet is started with
//! [`parts()`] and [`leader_entries()`].
//!
//! ```
//! use jaspershunt_agreed::{leader_entries, parts, work};
//! use jaspershunt_fleet::parts::ReplicatedState;
//! use jaspershunt_fleet::{Entry, Holder, Outcome};
//! use jaspershunt_work::{Effect, Entry as WorkEntry, Offer};
//!
//! let (one, two) = (Holder::new("n1", 7), Holder::new("n2", 8));
//! let mut state = ReplicatedState::new(parts());
//! for holder in [&one, &two] {
//!     state.apply(&Entry::Enrol { holder: holder.clone() });
//! }
//! let offer = Offer {
//!     key: "op-1".into(), class: "firma".into(), tenant: None, body: b"sign".to_vec(),
//!     due_ms: 5_000, window_ends_ms: 60_000, worth_milli: 1_000, effect: Effect::Fenced,
//! };
//! let room = WorkEntry::Capacity { holder: two.clone(), region: "sur".into(), capacity: 3 };
//! for entry in [WorkEntry::Offer { by: one.clone(), offer, begin: true, now_ms: 0 }, room] {
//!     state.apply(&Entry::Part { part: "work".into(), bytes: entry.to_bytes() });
//! }
//! // Its nodo is lost; the leader proposes who takes it over.
//! state.apply(&Entry::Gone { holder: one });
//! for (part, bytes) in leader_entries(100, &state) {
//!     assert!(matches!(state.apply(&Entry::Part { part, bytes }), Outcome::Part(_)));
//! }
//! assert_eq!(work(&state).unwrap().item("op-1").unwrap().owner, two);
//! ```

use jaspershunt_fleet::parts::{Part, ReplicatedState};
use jaspershunt_routes::Routes;
use jaspershunt_routes::table::FULL_SHARE_PERMILLE;
use jaspershunt_routes::trial::{Verdict, trial_permille};
use jaspershunt_steering as steering;
use jaspershunt_steering::{Group, Tables};
use jaspershunt_work::{Entry, Orphan, TakeoverPlan, Work, plan_takeovers};
use std::collections::BTreeSet;

/// How often ended work is removed from the state. Until then it counts towards the bound on items.
pub const TIDY_EVERY_MS: u64 = 1_000;

/// The parts of the replicated state, each of them empty.
pub fn parts() -> Vec<Box<dyn Part>> {
    vec![Box::new(Work::default()), Box::new(Routes::default()), Box::new(steering::Part::default())]
}

/// The in-flight work, if this replicated state has that part.
pub fn work(state: &ReplicatedState) -> Option<&Work> {
    state.part(jaspershunt_work::part::NAME)?.as_any().downcast_ref()
}

/// The route table, if this replicated state has that part.
pub fn routes(state: &ReplicatedState) -> Option<&Routes> {
    state.part(jaspershunt_routes::part::NAME)?.as_any().downcast_ref()
}

/// The steering tables, which map groups of clients to regions, if this replicated state has that part.
pub fn tables(state: &ReplicatedState) -> Option<&Tables> {
    let part: &steering::Part = state.part(steering::part::NAME)?.as_any().downcast_ref()?;
    Some(part.tables())
}

/// What the leader proposes at this time of the fleet's clock, in Unix milliseconds: entries, each with the
/// name of its part. Nothing while no work is in flight, no edit is accepted and no edge reports
/// measurements. Two processes that both act as leader do no harm: takeovers are fenced by the token, and a
/// repeated removal or publication changes nothing. A new table goes to all nodos at once.
pub fn leader_entries(now_ms: u64, state: &ReplicatedState) -> Vec<(String, Vec<u8>)> {
    leader_entries_with_trial::<FULL_SHARE_PERMILLE>(now_ms, state)
}

/// Does the same, but puts a new table on trial with this many thousandths of the nodos first.
pub fn leader_entries_with_trial<const PERMILLE: u32>(
    now_ms: u64,
    state: &ReplicatedState,
) -> Vec<(String, Vec<u8>)> {
    let mut entries = work_entries(now_ms, state);
    entries.extend(route_table_entry(now_ms, state, PERMILLE));
    // Last, as work is urgent and the next steering table can wait.
    entries.extend(steering_entries(now_ms, state));
    entries
}

/// Publishes a new table once there are accepted edits, and ends the trial of a table once it can be judged.
fn route_table_entry(now_ms: u64, state: &ReplicatedState, permille: u32) -> Option<(String, Vec<u8>)> {
    let routes = routes(state)?;
    let entry = match routes.trial_status() {
        Some(trial) => {
            let judged = trial.verdict(now_ms) != Verdict::Wait;
            judged.then_some(jaspershunt_routes::Entry::JudgeTrial { revision: trial.revision, now_ms })?
        }
        None if routes.can_publish() => {
            let members = state.fleet.members().map(|(name, _)| name);
            let permille = if permille < FULL_SHARE_PERMILLE {
                trial_permille(members, permille)
            } else {
                FULL_SHARE_PERMILLE
            };
            jaspershunt_routes::Entry::Publish { permille, now_ms: now_ms.max(routes.published_ms()) }
        }
        None => return None,
    };
    Some((jaspershunt_routes::part::NAME.to_string(), entry.to_bytes()))
}

fn work_entries(now_ms: u64, state: &ReplicatedState) -> Vec<(String, Vec<u8>)> {
    let Some(work) = work(state) else { return Vec::new() };
    let mut entries = successors(now_ms, state, work, |orphan| allowed_regions(state, orphan)).entries();
    // After the takeovers: only so many entries are accepted at once, and removing ended work can wait.
    if work.items().next().is_some() && now_ms >= work.clock_ms().saturating_add(TIDY_EVERY_MS) {
        entries.push(Entry::Tidy { now_ms });
    }
    let name = jaspershunt_work::part::NAME;
    entries.iter().map(|entry| (name.to_string(), entry.to_bytes())).collect()
}

/// What the leader proposes for steering: a tenant's group is served only in regions that the route table
/// allows.
fn steering_entries(now_ms: u64, state: &ReplicatedState) -> Vec<(String, Vec<u8>)> {
    let Some(steering) = state.part(steering::part::NAME) else { return Vec::new() };
    let Some(part) = steering.as_any().downcast_ref::<steering::Part>() else { return Vec::new() };
    let present: BTreeSet<&str> = state.fleet.members().map(|(name, _)| name).collect();
    let allowed = |group: &Group| match (group, routes(state)) {
        (Group::Field(tenant), Some(routes)) => routes.allowed_regions("", tenant),
        _ => BTreeSet::new(),
    };
    let entries =
        part.planning_state().propose(now_ms, part.tables(), |name| present.contains(name), allowed);
    entries.iter().map(|entry| (steering::part::NAME.to_string(), entry.to_bytes())).collect()
}

/// The regions that may run this work, by the published route table; an empty set where the table sets no
/// limit.
fn allowed_regions(state: &ReplicatedState, orphan: &Orphan) -> Option<BTreeSet<String>> {
    let tenant = orphan.tenant.as_deref().unwrap_or_default();
    Some(routes(state).map(|routes| routes.allowed_regions(&orphan.class, tenant)).unwrap_or_default())
}

/// Plans who takes over orphaned work: an incarnation with capacity, in a region that `allowed` returns (an
/// empty set: any region; `None`: the work no longer has a route). Regions that steering prefers for the
/// work's clients come first.
pub fn successors(
    now_ms: u64,
    state: &ReplicatedState,
    work: &Work,
    allowed: impl Fn(&Orphan) -> Option<BTreeSet<String>>,
) -> TakeoverPlan {
    let orphans = work.orphans(&state.fleet);
    // The usual case; nothing else needs to be examined.
    if orphans.is_empty() {
        return TakeoverPlan::default();
    }
    let prefers = |orphan: &Orphan, regions: Vec<String>| match tables(state) {
        // An empty set would select all regions of the table.
        Some(tables) if !regions.is_empty() => {
            tables.preferred_regions(&group_of(orphan), &regions.into_iter().collect())
        }
        _ => regions,
    };
    plan_takeovers(&orphans, &work.eligible_members(&state.fleet), now_ms, allowed, prefers)
}

/// The steering group of the clients whose work it is: the tenant's group, if the operator's file defines
/// one, and otherwise the group of all clients.
fn group_of(orphan: &Orphan) -> Group {
    orphan.tenant.as_deref().map_or(Group::All, Group::named)
}

#[cfg(test)]
mod tests;
