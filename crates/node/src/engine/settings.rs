//! Settings that are read anew while the nodo runs.

use super::Engine;
use crate::config::Facts;
use crate::interpreter;
use jaspershunt::Event;
use jaspershunt_settings::merge;
use std::rc::Rc;

impl Engine {
    /// Takes up settings that were read anew. Requests that are open keep what they came with, in its place.
    pub(super) fn take_up_settings(&mut self, facts: &Facts) -> Result<(), String> {
        if self.several.is_some() {
            return Err(
                "settings change with a restart only where the operator's file names dependencies".into()
            );
        }
        let open = |place| self.requests.values().any(|entry| entry.class == place);
        // One that was named until now may be that of a request which was read and is not here yet.
        let free = |place| !self.names.uses(place) && !open(place);
        let (mut settings, names) = merge(&self.settings, facts.settings.clone(), facts.names.clone(), free)
            .map_err(|problem| format!("settings.{problem}"))?;
        // Guards against a notice to leave that waits behind much else: the grace is the one in force when it came.
        if self.ways.desk.leaves.get() {
            settings.drain_grace = self.settings.drain_grace;
        }
        self.lengthen_windows(&settings, &names);
        self.classes = settings.classes.iter().map(|class| interpreter::quoted(&class.name)).collect();
        self.ways.desk.counts.borrow_mut().name(names.classes());
        (self.settings, self.names) = (settings.clone(), names.clone());
        self.events.push(Event::Settings(Box::new(self.share())));
        self.ways.facts.send_replace(Rc::new(Facts { settings, names }));
        Ok(())
    }
}
