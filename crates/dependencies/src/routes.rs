//! Routes of calls from the operator's file, by class of request.

use jaspershunt_operator::check::{ANY, MAX_PLACE};
use jaspershunt_operator::{File, Repeat};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The dependency that a call goes to, and what may replace its reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the dependency.
    #[serde(rename = "to")]
    pub dependency: String,
    /// Whether the call may use the fallbacks of the dependency.
    #[serde(rename = "elsewhere")]
    pub may_fall_back: bool,
    /// The maximum age of a cached reply that may be used instead.
    #[serde(rename = "kept")]
    pub max_reply_age: Option<Duration>,
    /// Whether the call must not be retried once it may have run.
    #[serde(rename = "once")]
    pub at_most_once: bool,
}

/// The routes of all classes, by class and place in the run; place 0 means any place.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes(BTreeMap<(usize, usize), Route>);

impl Routes {
    /// Builds the routes of a file; `classes` are the names of the classes in order.
    pub fn new(file: &File, classes: &[String]) -> Routes {
        let mut routes = BTreeMap::new();
        for (class, name) in classes.iter().enumerate() {
            let Some(route) = file.route.get(name) else { continue };
            for (place, call) in &route.call {
                let place = if place == ANY { 0 } else { place.parse().unwrap_or(MAX_PLACE + 1) };
                let target = Route {
                    dependency: call.to.clone(),
                    may_fall_back: call.elsewhere,
                    max_reply_age: call.kept.map(|span| span.0),
                    at_most_once: route.repeat != Repeat::Safe,
                };
                routes.insert((class, place), target);
            }
        }
        Routes(routes)
    }

    /// Returns the route of a call; one for its place takes precedence over the general one.
    pub fn find(&self, class: usize, place: usize) -> Option<&Route> {
        self.0.get(&(class, place)).or_else(|| self.0.get(&(class, 0)))
    }
}
