//! Ids of requests that ran and must not run again, for classes whose requests have no key. A balancer sends a
//! request again with the same id if its connection ended, so an id is remembered as long as that may happen.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// The most ids that are remembered; the one that would be forgotten first makes room.
pub const MAX_RECENT_IDS: usize = 4096;

/// The ids of requests that ran recently. Times are seconds on one clock.
#[derive(Debug, Default)]
pub struct RecentIds {
    expirations: BTreeSet<(u64, Rc<str>)>,
    ids: HashMap<Rc<str>, u64>,
}

impl RecentIds {
    /// Remembers an id until this time.
    pub fn insert(&mut self, id: Rc<str>, until: f64) {
        let until = crate::micros(until);
        if let Some(former) = self.ids.insert(id.clone(), until) {
            self.expirations.remove(&(former, id.clone()));
        }
        self.expirations.insert((until, id));
        while self.ids.len() > MAX_RECENT_IDS {
            self.remove_first();
        }
    }

    /// The ids with the times until which they are remembered.
    pub fn entries(&self) -> impl Iterator<Item = (Rc<str>, f64)> {
        self.expirations.iter().map(|(until, id)| (id.clone(), crate::seconds(*until)))
    }

    /// Whether a request with this id ran.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Forgets the ids whose time is over.
    pub fn expire(&mut self, now: f64) {
        while self.expirations.first().is_some_and(|(until, _)| *until < crate::micros(now)) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.expirations.pop_first() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
