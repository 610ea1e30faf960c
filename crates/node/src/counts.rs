//! The figures that operators are shown: what became of requests, by class, since the start of this process.
//!
//! Each is counted where the matter ends or begins, by the engine alone, so that at any moment what was taken
//! is what ended and what is still open.

use serde::Serialize;
use std::collections::BTreeMap;

/// Classes that are counted by name. A site has a handful; this bounds what many changes of settings may add
/// up to.
const MAX_CLASSES: usize = 256;
/// Under this name those of further classes are counted together.
const OTHERS: &str = "(others)";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With the result of a run.
    Answered,
    /// Turned away.
    Deferred,
    /// In any other way.
    Errored,
    /// Its caller had left: it is failed, as an answer does no harm.
    Left,
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Class {
    /// Read and taken on.
    pub taken: u64,
    /// Served.
    pub answered: u64,
    /// Turned away.
    pub deferred: u64,
    /// Failed.
    pub errored: u64,
    /// Those of the failed whose callers had left.
    pub left: u64,
    /// Runs handed to the interpreter.
    pub sends: u64,
}

impl Class {
    fn ended(&self) -> u64 {
        self.answered + self.deferred + self.errored
    }

    /// Those that are not over.
    pub fn open(&self) -> u64 {
        self.taken.saturating_sub(self.ended())
    }
}

/// The figures. Their names are those that operators know; `INFO` shows them as they stand here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// By class, those that settings no longer name included.
    transactions: BTreeMap<String, Class>,
    /// Requests taken and not over.
    current: u64,
    /// Runs handed to the interpreter.
    sends: u64,
    /// Configuration files taken up at SIGHUP.
    conf_loaded: u64,
    /// Those turned down.
    conf_invalid: u64,
}

impl Counts {
    /// Nothing was counted yet.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Counts {
        let mut counts = Counts::default();
        counts.add_classes(classes);
        counts
    }

    /// From now on these classes are shown too, be it with zeros.
    pub fn add_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a str>) {
        for class in classes {
            self.class(class);
        }
    }

    fn class(&mut self, class: &str) -> &mut Class {
        let known = self.transactions.contains_key(class) || self.transactions.len() < MAX_CLASSES;
        let name = if known { class } else { OTHERS };
        // Looked up before it is made, as a name is copied then.
        if !self.transactions.contains_key(name) {
            self.transactions.insert(name.into(), Class::default());
        }
        self.transactions.entry(name.into()).or_default()
    }

    /// A request was read and taken on.
    pub fn taken(&mut self, class: &str) {
        self.class(class).taken += 1;
        self.current += 1;
    }

    /// A request that was taken is over.
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

    /// A run was handed to the interpreter. One that is sent again over a new link is still the same.
    pub fn run_sent(&mut self, class: &str) {
        self.class(class).sends += 1;
        self.sends += 1;
    }

    /// A configuration file was read at SIGHUP.
    pub fn configuration_read(&mut self, good: bool) {
        if good {
            self.conf_loaded += 1;
        } else {
            self.conf_invalid += 1;
        }
    }

    /// What became of a class.
    pub fn of_class(&self, class: &str) -> Class {
        self.transactions.get(class).copied().unwrap_or_default()
    }

    /// Requests taken and not over.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Whether what was taken is what ended and what is open, by class and in all.
    pub fn is_consistent(&self) -> bool {
        let rows = self.transactions.values();
        rows.clone().all(|row| row.taken >= row.ended() && row.errored >= row.left)
            && rows.clone().map(Class::open).sum::<u64>() == self.current
            && rows.map(|row| row.sends).sum::<u64>() == self.sends
    }
}

#[cfg(test)]
mod tests;
