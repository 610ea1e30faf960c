//! Applies new settings to a running server. No decisions are made here: the state moves to its new indices.

use super::{Controller, lanes};
use crate::api::Settings;

impl Controller {
    /// Applies new settings. Classes and tenants keep their index, even if unused; new ones are appended, or
    /// take the index of one that has no request left. Requests in flight stay as they are, and so do the
    /// statistics: a class with the name of an earlier one gets that one's. Settings that are invalid, or
    /// have fewer classes or tenants, change nothing.
    pub(super) fn apply_settings(&mut self, new: &Settings) {
        let old = &self.settings;
        if new.check().is_err()
            || new.classes.len() < old.classes.len()
            || new.tenants.len() < old.tenants.len()
        {
            return;
        }
        let class_stats = new.classes.iter().enumerate().map(|(index, class)| {
            let same = old.classes.get(index).is_some_and(|old| old.name == class.name);
            let index =
                if same { Some(index) } else { old.classes.iter().rposition(|old| old.name == class.name) };
            index.map_or_else(Default::default, |index| self.class_stats[index].clone())
        });
        self.class_stats = class_stats.collect();
        self.tenant_rates.resize(new.tenants.len(), 0.0);
        self.settings = new.clone();
        self.lanes = lanes(new);
        // Odd lanes are those of requests that are late for their target.
        let lanes_by_id: Vec<_> = self
            .state
            .requests
            .values()
            .map(|l| (l.request.id, self.lane_of(&l.request) + l.lane % 2))
            .collect();
        self.state.reassign_lanes(self.lanes.len(), &lanes_by_id);
        self.run_limit = self.run_limit.max(f64::from(new.cores));
    }
}
