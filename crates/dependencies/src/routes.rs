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
    #[serde(rename = "to")]
    pub dependency: String,
    /// It may go on to those that the dependency falls back on.
    #[serde(rename = "elsewhere")]
    pub may_fall_back: bool,
    /// A reply of this age may stand in.
    #[serde(rename = "kept")]
    pub max_reply_age: Option<Duration>,
    /// It must not be made again once it may have run.
    #[serde(rename = "once")]
    pub at_most_once: bool,
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

    /// The route of a call.
    pub fn find(&self, class: usize, place: usize) -> Option<&Route> {
        self.0.get(&(class, place)).or_else(|| self.0.get(&(class, 0)))
    }
}
