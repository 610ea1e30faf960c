//! New settings for a server that runs. Nothing is decided here: what is remembered is put where the new settings have it.

use super::{Controller, lanes};
use crate::api::Settings;

impl Controller {
    /// Takes up new settings. Classes and tenants that were there keep their places, be it unused; further ones stand behind
    /// them, or in the place of one that nothing is left of. What waits and runs stays as it came; what was learned stays,
    /// and a class that takes the name of an earlier one takes what was learned of that. Settings that make no sense, or
    /// that have fewer places, change nothing.
    pub(super) fn apply_settings(&mut self, new: &Settings) {
        let old = &self.settings;
        if new.check().is_err()
            || new.classes.len() < old.classes.len()
            || new.tenants.len() < old.tenants.len()
        {
            return;
        }
        let learned = new.classes.iter().enumerate().map(|(place, class)| {
            let same = old.classes.get(place).is_some_and(|old| old.name == class.name);
            let place =
                if same { Some(place) } else { old.classes.iter().rposition(|old| old.name == class.name) };
            place.map_or_else(Default::default, |place| self.class_stats[place].clone())
        });
        self.class_stats = learned.collect();
        self.tenant_rates.resize(new.tenants.len(), 0.0);
        self.settings = new.clone();
        self.lanes = lanes(new);
        // An odd lane is that of requests that are late for their aim.
        let places: Vec<_> = self
            .state
            .requests
            .values()
            .map(|l| (l.request.id, self.lane_of(&l.request) + l.lane % 2))
            .collect();
        self.state.reassign_lanes(self.lanes.len(), &places);
        self.run_limit = self.run_limit.max(f64::from(new.cores));
    }
}
