//! What records the decisions, where the operator's file wants that.

use super::Engine;
use crate::capture::Capture;
use crate::config::Config;
use crate::log;
use jaspershunt::Settings;
use jaspershunt_capture::record::{Head, SideStates, Sides};
use jaspershunt_capture::tap::Reason;

impl Engine {
    /// All that is decided from here on goes to the capture, if there is one; now and then with the states as
    /// they stand.
    pub(super) fn begin_capture(&mut self) {
        let (Some(capture), Some(module)) = (&mut self.capture, &self.module) else { return };
        capture.press(self.keys.bytes() > self.pressed_from_bytes);
        let (keys, dependencies) = (&self.keys, &self.dependencies);
        capture.begin(self.now, || {
            let below = dependencies.as_ref().map(|dependencies| dependencies.decisions.masked());
            (module.save(), SideStates::of(keys, below.as_ref()))
        });
    }

    /// Hands over what was asked of the keys and of the decisions on dependencies.
    pub(super) fn capture_sides(&mut self) {
        let Some(capture) = &mut self.capture else { return };
        let below = self
            .dependencies
            .as_mut()
            .map(|dependencies| dependencies.decisions.take_steps())
            .unwrap_or_default();
        let sides = Sides { keys: self.keys.take_steps(), below };
        // What comes before the module is no part of a capture: it begins with the first state.
        if self.module.is_some() {
            capture.sides(sides);
        }
    }

    /// Has what was captured written out, if anything is.
    pub(super) fn write_capture(&mut self, reason: Reason) {
        if let Some(capture) = &mut self.capture {
            capture.write_out(reason);
        }
    }
}

/// What records the decisions, where the operator's file wants that. A nodo whose captures cannot be written
/// serves all the same.
pub(super) fn capture_of(config: &Config, epoch: f64, settings: &Settings) -> Option<Capture> {
    let wanted = config.operator.as_ref()?.capture.as_ref()?;
    let version = env!("CARGO_PKG_VERSION").to_string();
    let head = Head { version, nodo: config.name.clone(), epoch, settings: settings.clone() };
    match Capture::start(wanted, head) {
        Ok(capture) => Some(capture),
        Err(e) => {
            log!(WARN, "capture.folder: {} cannot be used: {e}; nothing is captured", wanted.folder);
            None
        }
    }
}
