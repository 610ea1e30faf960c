//! Who gets what after a loss: a function of what is agreed alone. Those who have more room get more, nobody more than it told,
//! the highest worth comes first, and what cannot be run in time is given up at once.

use crate::bounds::{CAPACITY_REPORT_INTERVAL_MS, MAX_TAKEN_OVER, MAX_TAKEOVERS_PER_ROUND};
use crate::entry::{Effect, Entry};
use crate::orphans::{EligibleMember, Orphan};
use jaspershunt_fleet::Holder;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Why there is no heir.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// It is due before anybody has room for it, as higher worth comes first.
    NotInTime,
    /// As many heirs as may be were lost with it.
    NoMoreSuccessors,
    /// The class or its route does not exist any more.
    NoRoute,
}

impl std::fmt::Display for GiveUpReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            GiveUpReason::NotInTime => "no heir in time",
            GiveUpReason::NoMoreSuccessors => "too many heirs were lost with it",
            GiveUpReason::NoRoute => "its class or route does not exist any more",
        })
    }
}

/// What is to become of work that has lost its owner. What is in neither list waits for room.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakeoverPlan {
    /// Key, present token, heir.
    pub assignments: Vec<(String, u64, Holder)>,
    /// Key, present token, why.
    pub given_up: Vec<(String, u64, GiveUpReason)>,
}

impl TakeoverPlan {
    /// As entries for the log.
    pub fn entries(self) -> Vec<Entry> {
        let takes = self.assignments.into_iter();
        let takes = takes.map(|(key, token, successor)| Entry::TakeOver { key, token, successor });
        takes.chain(self.given_up.into_iter().map(|(key, token, _)| Entry::GiveUp { key, token })).collect()
    }
}

/// One that may be an heir, in this round.
struct Successor<'a> {
    member: &'a EligibleMember,
    /// Requests that it can still be given.
    capacity_left: u32,
    /// Items that it can still be given, also those that nobody runs.
    slots_left: usize,
}

impl Successor<'_> {
    fn can_take(&self, needed: u32) -> bool {
        self.slots_left > 0 && self.capacity_left >= needed
    }

    /// The one with the greater share of its room left comes first, so that all fill up alike.
    fn cmp_preference(&self, other: &Successor<'_>) -> Ordering {
        let share = |one: &Successor<'_>, other: &Successor<'_>| {
            u64::from(one.capacity_left) * u64::from(other.member.capacity.max(1))
        };
        let name = other.member.holder.cmp(&self.member.holder);
        share(self, other).cmp(&share(other, self)).then(self.slots_left.cmp(&other.slots_left)).then(name)
    }
}

/// Spreads `orphans`, which are in the order of their worth. `allowed` says in which regions an item may be run, where an empty
/// set means in all, and `None` that it has no route any more; `preferred` puts regions in order.
pub fn plan_takeovers(
    orphans: &[Orphan],
    members: &[EligibleMember],
    now_ms: u64,
    allowed: impl Fn(&Orphan) -> Option<BTreeSet<String>>,
    preferred: impl Fn(&Orphan, Vec<String>) -> Vec<String>,
) -> TakeoverPlan {
    let mut regions: BTreeMap<&str, Vec<Successor<'_>>> = BTreeMap::new();
    for member in members {
        let slots_left = MAX_TAKEN_OVER.saturating_sub(member.taken_over);
        regions.entry(&member.region).or_default().push(Successor {
            member,
            capacity_left: member.capacity,
            slots_left,
        });
    }
    // What those who are there can do in later rounds, and is not spoken for.
    let mut reserved: BTreeMap<&str, u64> = BTreeMap::new();
    let mut plan = TakeoverPlan::default();
    for orphan in orphans {
        let Some(allowed) = allowed(orphan) else {
            plan.given_up.push((orphan.key.clone(), orphan.token, GiveUpReason::NoRoute));
            continue;
        };
        if !orphan.begun && orphan.due_ms <= now_ms {
            plan.given_up.push((orphan.key.clone(), orphan.token, GiveUpReason::NotInTime));
            continue;
        }
        if orphan.successors_left == 0 {
            plan.given_up.push((orphan.key.clone(), orphan.token, GiveUpReason::NoMoreSuccessors));
            continue;
        }
        let usable = |region: &&str| allowed.is_empty() || allowed.contains(*region);
        let usable: Vec<String> = regions.keys().copied().filter(usable).map(String::from).collect();
        let order = preferred(orphan, usable.clone());
        // Guards against a preference that names what is not allowed.
        let order: Vec<&String> = order.iter().filter(|region| usable.contains(region)).collect();
        // What was begun and cannot be told is not run: its heir only says so.
        let needed = u32::from(!(orphan.begun && orphan.effect == Effect::Unknown));
        let region = order.iter().find(|region| {
            let successors = regions.get(region.as_str()).into_iter().flatten();
            successors.into_iter().any(|successor| successor.can_take(needed))
        });
        let successors = region.and_then(|region| regions.get_mut(region.as_str())).into_iter().flatten();
        let successor =
            successors.filter(|successor| successor.can_take(needed)).max_by(|a, b| a.cmp_preference(b));
        if let Some(successor) = successor
            && plan.assignments.len() < MAX_TAKEOVERS_PER_ROUND
        {
            successor.capacity_left -= needed;
            successor.slots_left -= 1;
            plan.assignments.push((orphan.key.clone(), orphan.token, successor.member.holder.clone()));
            continue;
        }
        if !can_wait(orphan, &order, members, &mut reserved, now_ms) {
            plan.given_up.push((orphan.key.clone(), orphan.token, GiveUpReason::NotInTime));
        }
    }
    plan
}

/// Whether one of these regions will have room for it before it is due, after what has more worth; it is then spoken for.
fn can_wait<'a>(
    orphan: &Orphan,
    order: &[&String],
    members: &'a [EligibleMember],
    reserved: &mut BTreeMap<&'a str, u64>,
    now_ms: u64,
) -> bool {
    let rounds = orphan.due_ms.saturating_sub(now_ms) / CAPACITY_REPORT_INTERVAL_MS;
    // Nobody has come back yet, as after a restart of all: there is nothing to go by, so it waits.
    if members.is_empty() {
        return orphan.due_ms > now_ms;
    }
    for region in order {
        let here = members.iter().filter(|member| member.region == **region);
        let (name, capacity) = here.fold(("", 0u64), |(_, capacity), member| {
            (member.region.as_str(), capacity + u64::from(member.capacity).min(MAX_TAKEN_OVER as u64))
        });
        let in_region = reserved.entry(name).or_default();
        if *in_region < capacity.saturating_mul(rounds) {
            *in_region += 1;
            return true;
        }
    }
    false
}

#[cfg(test)]
mod tests;
