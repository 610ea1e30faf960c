//! Assignment of orphaned work to successors, a function of the replicated state alone. Members with more
//! spare capacity get more work and none more than it reported; the highest worth comes first; work that
//! cannot run in time is given up at once.

use crate::bounds::{CAPACITY_REPORT_INTERVAL_MS, MAX_TAKEN_OVER, MAX_TAKEOVERS_PER_ROUND};
use crate::entry::{Effect, Entry};
use crate::orphans::{EligibleMember, Orphan};
use jaspershunt_fleet::Holder;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// Why orphaned work gets no successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// Work of higher worth takes all capacity until its deadline.
    NotInTime,
    /// The maximum number of successors were lost with it.
    NoMoreSuccessors,
    /// The class or its route does not exist any more.
    NoRoute,
}

impl std::fmt::Display for GiveUpReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            GiveUpReason::NotInTime => "no successor in time",
            GiveUpReason::NoMoreSuccessors => "too many successors were lost with it",
            GiveUpReason::NoRoute => "its class or route does not exist any more",
        })
    }
}

/// Decisions on orphaned work. Work in neither list waits for capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakeoverPlan {
    /// Key, current token and successor.
    pub assignments: Vec<(String, u64, Holder)>,
    /// Key, current token and reason.
    pub given_up: Vec<(String, u64, GiveUpReason)>,
}

impl TakeoverPlan {
    /// Returns the log entries that carry out the plan.
    pub fn entries(self) -> Vec<Entry> {
        let takes = self.assignments.into_iter();
        let takes = takes.map(|(key, token, successor)| Entry::TakeOver { key, token, successor });
        takes.chain(self.given_up.into_iter().map(|(key, token, _)| Entry::GiveUp { key, token })).collect()
    }
}

/// A possible successor with what it can still be given in this round.
struct Successor<'a> {
    member: &'a EligibleMember,
    /// Requests that it can still run.
    capacity_left: u32,
    /// Items that it can still own, including those that are not run.
    slots_left: usize,
}

impl Successor<'_> {
    fn can_take(&self, needed: u32) -> bool {
        self.slots_left > 0 && self.capacity_left >= needed
    }

    /// Prefers the member with the greater share of its capacity left, so that all fill up evenly.
    fn cmp_preference(&self, other: &Successor<'_>) -> Ordering {
        let share = |one: &Successor<'_>, other: &Successor<'_>| {
            u64::from(one.capacity_left) * u64::from(other.member.capacity.max(1))
        };
        let name = other.member.holder.cmp(&self.member.holder);
        share(self, other).cmp(&share(other, self)).then(self.slots_left.cmp(&other.slots_left)).then(name)
    }
}

/// Assigns `orphans`, which are ordered by worth. `allowed` returns the regions in which an item may run, an
/// empty set for all and `None` if the item has no route any more; `preferred` orders the regions.
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
    // Runs in later rounds that are reserved for waiting work, by region.
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
        // A preference may name regions that are not allowed.
        let order: Vec<&String> = order.iter().filter(|region| usable.contains(region)).collect();
        // Begun work whose resource cannot tell is not run: its successor only records it as unknown.
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

/// Whether one of these regions will have capacity before the deadline, after work of higher worth. If so,
/// reserves it.
fn can_wait<'a>(
    orphan: &Orphan,
    order: &[&String],
    members: &'a [EligibleMember],
    reserved: &mut BTreeMap<&'a str, u64>,
    now_ms: u64,
) -> bool {
    let rounds = orphan.due_ms.saturating_sub(now_ms) / CAPACITY_REPORT_INTERVAL_MS;
    // Without any capacity report, as after a restart of all members, the work waits for its deadline.
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
