//! The request counters shown to operators, by class, since the start of this process.
//!
//! Only the engine counts, as a request begins or ends, so that at any moment the requests taken equal those
//! ended plus those still open.

use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of classes counted by name. A site has a handful; this bounds the total over many changes
/// of settings.
const MAX_CLASSES: usize = 256;
/// The name under which all further classes are counted.
const OTHERS: &str = "(others)";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With the result of a run.
    Answered,
    /// Refused.
    Deferred,
    /// Failed.
    Errored,
    /// Failed as its caller had left.
    Left,
}

/// The counters of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Class {
    /// Read and accepted for handling.
    pub taken: u64,
    /// Served.
    pub answered: u64,
    /// Refused.
    pub deferred: u64,
    /// Failed.
    pub errored: u64,
    /// Failed requests whose callers had left.
    pub left: u64,
    /// Runs handed to the interpreter.
    pub sends: u64,
}

impl Class {
    fn ended(&self) -> u64 {
        self.answered + self.deferred + self.errored
    }

    /// Requests that are not over.
    pub fn open(&self) -> u64 {
        self.taken.saturating_sub(self.ended())
    }
}

/// The counters. `INFO` shows them under these names and in this order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// By class, including classes no longer in the settings.
    transactions: BTreeMap<String, Class>,
    /// Requests taken and not over.
    current: u64,
    /// Runs handed to the interpreter.
    sends: u64,
    /// Configuration files loaded at SIGHUP.
    conf_loaded: u64,
    /// Configuration files rejected at SIGHUP.
    conf_invalid: u64,
}

impl Counts {
    /// Returns counters at zero for these classes.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Counts {
        let mut counts = Counts::default();
        counts.add_classes(classes);
        counts
    }

    /// Adds classes, which are then shown even while their counters are zero.
    pub fn add_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a str>) {
        for class in classes {
            self.class(class);
        }
    }

    fn class(&mut self, class: &str) -> &mut Class {
        let known = self.transactions.contains_key(class) || self.transactions.len() < MAX_CLASSES;
        let name = if known { class } else { OTHERS };
        // Copies the name only if the class is new.
        if !self.transactions.contains_key(name) {
            self.transactions.insert(name.into(), Class::default());
        }
        self.transactions.entry(name.into()).or_default()
    }

    /// Counts a request that was read and accepted.
    pub fn taken(&mut self, class: &str) {
        self.class(class).taken += 1;
        self.current += 1;
    }

    /// Counts the end of an accepted request.
    pub fn ended(&mut self, class: &str, how: Ended) {
        let row = self.class(class);
        match how {
            Ended::Answered => row.answered += 1,
            Ended::Deferred => row.deferred += 1,
            Ended::Errored => row.errored += 1,
            Ended::Left => (row.errored, row.left) = (row.errored + 1, row.left + 1),
        }
        self.current = self.current.saturating_sub(1);
    }

    /// Counts a run sent to the interpreter. One sent again over a new link is not counted again.
    pub fn run_sent(&mut self, class: &str) {
        self.class(class).sends += 1;
        self.sends += 1;
    }

    /// Counts a configuration file read at SIGHUP.
    pub fn configuration_read(&mut self, good: bool) {
        if good {
            self.conf_loaded += 1;
        } else {
            self.conf_invalid += 1;
        }
    }

    /// The counters of a class.
    pub fn of_class(&self, class: &str) -> Class {
        self.transactions.get(class).copied().unwrap_or_default()
    }

    /// Requests taken and not over.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Whether requests taken equal those ended plus those open, by class and in total.
    pub fn is_consistent(&self) -> bool {
        let rows = self.transactions.values();
        rows.clone().all(|row| row.taken >= row.ended() && row.errored >= row.left)
            && rows.clone().map(Class::open).sum::<u64>() == self.current
            && rows.map(|row| row.sends).sum::<u64>() == self.sends
    }
}

#[cfg(test)]
mod tests;
