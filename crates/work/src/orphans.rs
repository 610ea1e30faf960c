//! Orphaned work, which has lost its owner, and the members that can take it over.

use crate::bounds::MAX_SUCCESSORS;
use crate::entry::Effect;
use crate::state::Work;
use jaspershunt_fleet::{Fleet, Holder};

/// Work whose owner is lost or has handed it over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The operation key.
    pub key: String,
    /// The class.
    pub class: String,
    /// The tenant.
    pub tenant: Option<String>,
    /// The current token.
    pub token: u64,
    /// The owner that was lost or is leaving.
    pub owner: Holder,
    /// A run has begun.
    pub begun: bool,
    /// What the resource offers after the loss of an owner.
    pub effect: Effect,
    /// The deadline, in Unix milliseconds.
    pub due_ms: u64,
    /// The worth in thousandths.
    pub worth_milli: u32,
    /// How many more successors it may have.
    pub successors_left: usize,
}

/// An incarnation that can take over work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EligibleMember {
    /// The incarnation.
    pub holder: Holder,
    /// Its region.
    pub region: String,
    /// How many more requests it can accept, by its latest report.
    pub capacity: u32,
    /// Number of items that it has taken over and not ended.
    pub taken_over: usize,
}

impl Work {
    /// Returns all orphaned work, by falling worth and then by deadline.
    pub fn orphans(&self, fleet: &Fleet) -> Vec<Orphan> {
        let keys = self.index.owned.values().flatten();
        let orphaned = keys.filter_map(|key| self.items.get(key)).filter(|item| item.is_orphan(fleet));
        let mut orphans: Vec<Orphan> = orphaned
            .map(|item| Orphan {
                key: item.offer.key.clone(),
                class: item.offer.class.clone(),
                tenant: item.offer.tenant.clone(),
                token: item.token,
                owner: item.owner.clone(),
                begun: item.begun_token.is_some(),
                effect: item.offer.effect,
                due_ms: item.offer.due_ms,
                worth_milli: item.offer.worth_milli,
                successors_left: MAX_SUCCESSORS.saturating_sub(item.previous_tokens.len()),
            })
            .collect();
        orphans.sort_by(|a, b| (b.worth_milli, a.due_ms, &a.key).cmp(&(a.worth_milli, b.due_ms, &b.key)));
        orphans
    }

    /// Returns the present incarnations that have reported their capacity.
    pub fn eligible_members(&self, fleet: &Fleet) -> Vec<EligibleMember> {
        let present = self.capacities().filter(|(holder, _)| fleet.is_present(holder));
        present
            .map(|(holder, reported)| EligibleMember {
                region: reported.region.clone(),
                capacity: reported.capacity,
                taken_over: self.taken_over_count(&holder),
                holder,
            })
            .collect()
    }
}
