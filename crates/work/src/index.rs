//! Index derived from the items: keys by owner and by waiter, the total size, and the results that can be
//! dropped.

use crate::state::Item;
use jaspershunt_fleet::Holder;
use std::collections::{BTreeMap, BTreeSet};

/// Not part of snapshots; rebuilt from the items on load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    /// Keys of each owner whose outcome it has not received.
    pub owned: BTreeMap<Holder, BTreeSet<String>>,
    /// Keys that each incarnation waits for.
    pub awaited: BTreeMap<Holder, BTreeSet<String>>,
    /// Number of items that each successor has taken over and not ended.
    pub taken_over: BTreeMap<Holder, usize>,
    /// Delivered results that can be dropped, in the order in which they were recorded.
    pub droppable: BTreeSet<(u64, String)>,
    /// Accounted size of all items.
    pub bytes: usize,
}

fn add_key(map: &mut BTreeMap<Holder, BTreeSet<String>>, holder: &Holder, key: &str) {
    map.entry(holder.clone()).or_default().insert(key.to_string());
}

fn remove_key(map: &mut BTreeMap<Holder, BTreeSet<String>>, holder: &Holder, key: &str) {
    if let Some(keys) = map.get_mut(holder) {
        keys.remove(key);
        if keys.is_empty() {
            map.remove(holder);
        }
    }
}

impl Index {
    pub fn add(&mut self, item: &Item) {
        let key = &item.offer.key;
        self.bytes += item.size_bytes();
        if item.shown_to_owner() {
            add_key(&mut self.owned, &item.owner, key);
        }
        for waiter in &item.waiters {
            add_key(&mut self.awaited, waiter, key);
        }
        if item.counts_as_taken_over() {
            *self.taken_over.entry(item.owner.clone()).or_default() += 1;
        }
        if let Some(sequence) = item.droppable_result() {
            self.droppable.insert((sequence, key.clone()));
        }
    }

    pub fn remove(&mut self, item: &Item) {
        let key = &item.offer.key;
        self.bytes -= item.size_bytes();
        remove_key(&mut self.owned, &item.owner, key);
        for waiter in &item.waiters {
            remove_key(&mut self.awaited, waiter, key);
        }
        if item.counts_as_taken_over()
            && let Some(count) = self.taken_over.get_mut(&item.owner)
        {
            *count -= 1;
            if *count == 0 {
                self.taken_over.remove(&item.owner);
            }
        }
        if let Some(sequence) = item.droppable_result() {
            self.droppable.remove(&(sequence, key.clone()));
        }
    }
}
