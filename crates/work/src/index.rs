//! What can be told from the items alone, kept at hand: who owns and awaits what, how many bytes there are, which results may go.

use crate::state::Item;
use jaspershunt_fleet::Holder;
use std::collections::{BTreeMap, BTreeSet};

/// Not saved: it is built anew from the items.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    /// Keys of each owner that it has not told its end to.
    pub owned: BTreeMap<Holder, BTreeSet<String>>,
    /// Keys that each start waits for.
    pub awaited: BTreeMap<Holder, BTreeSet<String>>,
    /// How many items each heir has taken over and not ended.
    pub taken_over: BTreeMap<Holder, usize>,
    /// Results that somebody was told, by the order of their ends.
    pub droppable: BTreeSet<(u64, String)>,
    /// Bytes of all items.
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
