//! Work that has lost its owner, and who is there to have it.

use crate::bounds::MAX_SUCCESSORS;
use crate::entry::Effect;
use crate::state::Work;
use jaspershunt_fleet::{Fleet, Holder};

/// Work whose owner is lost, or has handed it over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// Its key.
    pub key: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: Option<String>,
    /// The present token.
    pub token: u64,
    /// Who had it.
    pub owner: Holder,
    /// Somebody has begun it.
    pub begun: bool,
    /// What its resource can do.
    pub effect: Effect,
    /// After this it is of no use, in Unix milliseconds.
    pub due_ms: u64,
    /// What it is worth, in thousandths.
    pub worth_milli: u32,
    /// How many more heirs it may have.
    pub successors_left: usize,
}

/// A start that may be an heir.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EligibleMember {
    /// Which start.
    pub holder: Holder,
    /// Where it is.
    pub region: String,
    /// How many requests it could take now, as it told.
    pub capacity: u32,
    /// What it has taken over and not ended.
    pub taken_over: usize,
}

impl Work {
    /// All work without an owner, the highest worth first; then by when it is due.
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

    /// Those that may be heirs: present starts that told their room.
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
