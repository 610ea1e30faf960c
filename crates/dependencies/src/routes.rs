//! Where the calls of each class go.

use jaspershunt_operator::check::{ANY, MAX_PLACE};
use jaspershunt_operator::{File, Repeat};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Where a call goes first, and what may stand in for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the dependency.
    pub to: String,
    /// It may go on to those that the dependency falls back on.
    pub elsewhere: bool,
    /// A reply of this age may stand in.
    pub kept: Option<Duration>,
    /// It must not be made again once it may have run.
    pub once: bool,
}

/// The routes of all classes, by class and place; place 0 is any.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes(BTreeMap<(usize, usize), Route>);

impl Routes {
    /// The routes of a file, for classes of these names.
    pub fn new(file: &File, classes: &[String]) -> Routes {
        let mut routes = BTreeMap::new();
        for (class, name) in classes.iter().enumerate() {
            let Some(route) = file.route.get(name) else { continue };
            for (place, call) in &route.call {
                let place = if place == ANY { 0 } else { place.parse().unwrap_or(MAX_PLACE + 1) };
                let to = Route {
                    to: call.to.clone(),
                    elsewhere: call.elsewhere,
                    kept: call.kept.map(|span| span.0),
                    once: route.repeat != Repeat::Safe,
                };
                routes.insert((class, place), to);
            }
        }
        Routes(routes)
    }

    /// The route of a call.
    pub fn of(&self, class: usize, place: usize) -> Option<&Route> {
        self.0.get(&(class, place)).or_else(|| self.0.get(&(class, 0)))
    }
}
