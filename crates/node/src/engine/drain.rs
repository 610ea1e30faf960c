//! The nodo's health as others see it, and how it leaves: what operators, the module and a notice to leave have to say about it.

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
            self.report();
        }
    }

    /// Whether health checks are answered as good. Operators who send clients away go before the module, which knows
    /// nothing of it: what still comes is served as ever.
    pub(super) fn in_health(&self) -> bool {
        self.good && !self.lameduck
    }

    /// Has the directory told of the present health, once the module has said that all is well. A process that has not the
    /// right to run what is new says nothing for the nodo.
    pub(super) fn report(&mut self) {
        if self.claims == Claims::Lost || self.ways.desk.lost.get() {
            self.unreported = true;
        } else if self.module.is_some() {
            let mode = if self.in_health() { Mode::Open } else { Mode::Closed };
            self.ways.directory.send_replace(Some(mode));
        }
    }

    /// Tells the module that the nodo leaves, if it does.
    pub(super) fn leave(&mut self) {
        if let (Some(stop_at), Some(grace_until)) = (self.stop_at, self.grace_until)
            && self.module.is_some()
        {
            // Guards against a grace that the module counts from when it hears of the notice, which may be long after it came:
            // the interpreter may have come up only now.
            let drain_grace = (grace_until - self.now).max(0.0);
            self.events.push(Event::Settings(Box::new(Settings { drain_grace, ..self.share() })));
            self.events.push(Event::Leave { within: (stop_at - self.now).max(0.0) });
        }
    }

    pub(super) fn close_idle(&self, limit: Duration) {
        self.ways.idle.send_if_modified(|idle| {
            if !idle.standing {
                idle.limit = limit;
            }
            !idle.standing
        });
    }
}
