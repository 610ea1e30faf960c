//! Capture of the decisions, where the operator's file asks for one.

use super::Engine;
use crate::capture::Capture;
use crate::config::Config;
use crate::log;
use jaspershunt::Settings;
use jaspershunt_capture::record::{AuxiliaryStates, AuxiliarySteps, Header};
use jaspershunt_capture::tap::Reason;

impl Engine {
    /// Begins the next step of the capture, if there is one, with a snapshot of all states when one is due.
    pub(super) fn begin_capture(&mut self) {
        let (Some(capture), Some(module)) = (&mut self.capture, &self.module) else { return };
        capture.press(self.keys.bytes() > self.pressed_from_bytes);
        let (keys, dependencies) = (&self.keys, &self.dependencies);
        capture.begin(self.now, || {
            let below = dependencies.as_ref().map(|dependencies| dependencies.decisions.masked());
            (module.save(), AuxiliaryStates::of(keys, below.as_ref()))
        });
    }

    /// Passes the recorded steps of the keys and of the decisions on dependencies to the capture.
    pub(super) fn capture_sides(&mut self) {
        let Some(capture) = &mut self.capture else { return };
        let below = self
            .dependencies
            .as_mut()
            .map(|dependencies| dependencies.decisions.take_steps())
            .unwrap_or_default();
        let sides = AuxiliarySteps { keys: self.keys.take_steps(), dependencies: below };
        // A capture begins with the first snapshot, which needs the module.
        if self.module.is_some() {
            capture.sides(sides);
        }
    }

    /// Writes out the capture, if there is one.
    pub(super) fn write_capture(&mut self, reason: Reason) {
        if let Some(capture) = &mut self.capture {
            capture.write_out(reason);
        }
    }
}

/// Starts the capture, where the operator's file asks for one. A nodo whose capture cannot be written serves
/// without.
pub(super) fn capture_of(config: &Config, epoch: f64, settings: &Settings) -> Option<Capture> {
    let wanted = config.operator.as_ref()?.capture.as_ref()?;
    let version = env!("CARGO_PKG_VERSION").to_string();
    let head = Header { version, nodo: config.name.clone(), epoch, settings: settings.clone() };
    match Capture::start(wanted, head) {
        Ok(capture) => Some(capture),
        Err(e) => {
            log!(WARN, "capture.folder: {} cannot be used: {e}; nothing is captured", wanted.folder);
            None
        }
    }
}
