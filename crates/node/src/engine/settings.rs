//! Settings that are reloaded while the nodo runs.

use super::Engine;
use crate::config::NamedSettings;
use crate::engine::input::Input;
use crate::interpreter;
use jaspershunt::{Event, Gauges};
use jaspershunt_settings::{Names, merge};
use std::rc::Rc;
use std::time::Duration;

impl Engine {
    /// Puts reloaded settings into force. In-flight requests keep the class that they arrived under, at its
    /// index.
    pub(super) fn reload_settings(&mut self, facts: &NamedSettings) -> Result<(), String> {
        if self.dependencies.is_some() {
            return Err(
                "settings change with a restart only where the operator's file names dependencies".into()
            );
        }
        // A class named until now may still be that of a queued request.
        let free = |place| !self.names.has_class_at(place) && !self.is_open(place);
        let (mut settings, names) = merge(&self.settings, facts.settings.clone(), facts.names.clone(), free)
            .map_err(|problem| format!("settings.{problem}"))?;
        // Guards against a changed grace while the notice to leave is queued: the one in force when it came
        // applies.
        if self.channels.desk.leaves.get() {
            settings.drain_grace = self.settings.drain_grace;
        }
        // Guards against readings requested in one order and read in another: waiting wakes are delivered
        // without them.
        if names.gauges != self.names.gauges {
            self.deliver_wakes(Gauges::default());
        }
        self.lengthen_windows(&settings, &names);
        self.retire_places(&names);
        self.classes = settings.classes.iter().map(|class| interpreter::quoted(&class.name)).collect();
        self.channels.desk.counts.borrow_mut().add_classes(names.classes());
        (self.settings, self.names) = (settings.clone(), names.clone());
        self.events.push(Event::Settings(Box::new(self.share())));
        self.channels.facts.send_replace(Rc::new(NamedSettings { settings, names }));
        Ok(())
    }

    /// Whether requests of the class at this index are in flight, wait for the fleet, or may be queued.
    fn is_open(&self, place: usize) -> bool {
        self.requests.values().any(|entry| entry.class == place)
            || self.handover.as_ref().is_some_and(|handover| handover.has_waiting_in_class(place))
            || self.retired.iter().any(|(_, retired)| *retired == place)
    }

    /// Guards against two changes while a request that was read before them is queued: its index would be
    /// that of another class. Requests read before this change are ahead of the marker that the engine now
    /// sends itself.
    fn retire_places(&mut self, names: &Names) {
        self.changes += 1;
        for place in (0..self.settings.classes.len()).filter(|place| self.names.has_class_at(*place)) {
            if !names.has_class_at(place) {
                self.retired.retain(|(_, retired)| *retired != place);
                self.retired.push((self.changes, place));
            }
        }
        self.send_after(Duration::ZERO, Input::SettingsReached { change: self.changes });
    }
}
