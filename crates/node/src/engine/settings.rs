//! Settings that are read anew while the nodo runs.

use super::Engine;
use crate::config::NamedSettings;
use crate::engine::input::Input;
use crate::interpreter;
use jaspershunt::{Event, Gauges};
use jaspershunt_settings::{Names, merge};
use std::rc::Rc;
use std::time::Duration;

impl Engine {
    /// Takes up settings that were read anew. Requests that are open keep what they came with, in its place.
    pub(super) fn take_up_settings(&mut self, facts: &NamedSettings) -> Result<(), String> {
        if self.several.is_some() {
            return Err(
                "settings change with a restart only where the operator's file names dependencies".into()
            );
        }
        // One that was named until now may be that of a request which was read and is not here yet.
        let free = |place| !self.names.has_class_at(place) && !self.is_open(place);
        let (mut settings, names) = merge(&self.settings, facts.settings.clone(), facts.names.clone(), free)
            .map_err(|problem| format!("settings.{problem}"))?;
        // Guards against a notice to leave that waits behind much else: the grace is the one in force when it came.
        if self.ways.desk.leaves.get() {
            settings.drain_grace = self.settings.drain_grace;
        }
        // Guards against readings that are asked for in one order and read in another: these wakes go without them.
        if names.gauges != self.names.gauges {
            self.wake(Gauges::default());
        }
        self.lengthen_windows(&settings, &names);
        self.retire_places(&names);
        self.classes = settings.classes.iter().map(|class| interpreter::quoted(&class.name)).collect();
        self.ways.desk.counts.borrow_mut().name(names.classes());
        (self.settings, self.names) = (settings.clone(), names.clone());
        self.events.push(Event::Settings(Box::new(self.share())));
        self.ways.facts.send_replace(Rc::new(NamedSettings { settings, names }));
        Ok(())
    }

    /// Whether requests of the class at this place are open, wait for the fleet, or may be on their way here.
    fn is_open(&self, place: usize) -> bool {
        self.requests.values().any(|entry| entry.class == place)
            || self.handover.as_ref().is_some_and(|handover| handover.waits_in(place))
            || self.retired.iter().any(|(_, retired)| *retired == place)
    }

    /// Guards against two changes before a request is taken in that was read before the first: its place would be that of
    /// another class. What was read before this change is ahead of what the engine now sends itself.
    fn retire_places(&mut self, names: &Names) {
        self.changes += 1;
        for place in (0..self.settings.classes.len()).filter(|place| self.names.has_class_at(*place)) {
            if !names.has_class_at(place) {
                self.retired.retain(|(_, retired)| *retired != place);
                self.retired.push((self.changes, place));
            }
        }
        self.after(Duration::ZERO, Input::SettingsReached { change: self.changes });
    }
}
