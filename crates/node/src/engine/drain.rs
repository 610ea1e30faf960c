//! The nodo's reported health, and its leaving, as decided by operators, the module and a notice to leave.

use super::Engine;
use crate::directory::Mode;
use crate::log;
use crate::upgrade::claims::Claims;
use jaspershunt::{Event, Settings};
use std::time::Duration;

impl Engine {
    pub(super) fn set_lameduck(&mut self, on: bool) {
        if on != self.lameduck {
            self.lameduck = on;
            log!("{}", if on { "clients are sent away" } else { "clients are taken again" });
            self.report_health();
        }
    }

    /// Whether health checks are answered as good. Operators' lameduck overrides the module, which is not
    /// informed: requests that still arrive are served as usual.
    pub(super) fn is_healthy(&self) -> bool {
        self.module_healthy && !self.lameduck
    }

    /// Reports the present health to the directory, once the module exists. A process without ownership
    /// reports nothing for the nodo.
    pub(super) fn report_health(&mut self) {
        if self.claims == Claims::Lost || self.channels.desk.lost.get() {
            self.report_pending = true;
        } else if self.module.is_some() {
            let mode = if self.is_healthy() { Mode::Open } else { Mode::Closed };
            self.channels.directory.send_replace(Some(mode));
        }
    }

    /// Notifies the module that the nodo leaves, if it does.
    pub(super) fn notify_leave(&mut self) {
        if let (Some(stop_at), Some(grace_until)) = (self.stop_at, self.grace_until)
            && self.module.is_some()
        {
            // Guards against a grace counted from the module's step instead of the notice, which may be much
            // earlier if the interpreter was not up.
            let drain_grace = (grace_until - self.now).max(0.0);
            self.events.push(Event::Settings(Box::new(Settings { drain_grace, ..self.share() })));
            self.events.push(Event::Leave { within: (stop_at - self.now).max(0.0) });
        }
    }

    pub(super) fn close_idle(&self, limit: Duration) {
        self.channels.idle.send_if_modified(|idle| {
            if !idle.permanent {
                idle.limit = limit;
            }
            !idle.permanent
        });
    }
}
