//! Work in hand as a part of the agreed state.

use crate::bounds::MAX_SEEN;
use crate::entry::{Entry, Heard, Mine, Offer, Outcome, Refusal, Seen};
use crate::mutants::{Mutant, left_out};
use crate::state::{Item, Work};
use jaspershunt_fleet::parts::Part;
use jaspershunt_fleet::{Fleet, Holder};
use std::any::Any;
use std::collections::BTreeSet;

/// The part's name in the log.
pub const NAME: &str = "work";

impl Work {
    /// What a start is shown: what it has taken over, what it waits for, and what else it owns, as far as [`MAX_SEEN`] allows.
    /// Bodies are shown of what was taken over alone: its first owner has the rest.
    pub fn seen(&self, holder: &Holder) -> Seen {
        let items = |keys: Option<&BTreeSet<String>>| -> Vec<&Item> {
            keys.into_iter().flatten().filter_map(|key| self.items.get(key)).collect()
        };
        let (taken, own): (Vec<&Item>, Vec<&Item>) =
            items(self.index.owned.get(holder)).into_iter().partition(|item| item.is_taken());
        let mut room = MAX_SEEN;
        let mut fits = |item: &&Item| {
            let fits = item.weight() <= room;
            room = room.saturating_sub(item.weight());
            fits
        };
        let mut seen = Seen::default();
        seen.mine
            .extend(taken.into_iter().take_while(&mut fits).map(|item| mine(item, item.offer.body.clone())));
        let awaited = items(self.index.awaited.get(holder)).into_iter();
        let ended =
            awaited.filter_map(|item| Some((item, item.ended.as_ref().filter(|ended| !ended.dropped)?)));
        let ended = ended.take_while(|(item, _)| fits(item));
        seen.ended.extend(ended.map(|(item, ended)| Heard {
            key: item.offer.key.clone(),
            print: item.print,
            end: ended.end.clone(),
        }));
        seen.mine.extend(own.into_iter().take_while(fits).map(|item| mine(item, Vec::new())));
        seen
    }
}

fn mine(item: &Item, body: Vec<u8>) -> Mine {
    let offer = Offer { body, ..item.offer.clone() };
    Mine {
        key: item.offer.key.clone(),
        offer,
        token: item.token,
        state: item.state(),
        taken: item.is_taken(),
    }
}

impl Part for Work {
    fn name(&self) -> &'static str {
        NAME
    }

    fn apply(&mut self, fleet: &Fleet, entry: &[u8]) -> Vec<u8> {
        let outcome = match Entry::from_bytes(entry) {
            Some(entry) => self.take(fleet, &entry),
            None => Outcome::Refused(Refusal::NoEntry),
        };
        outcome.to_bytes()
    }

    fn members_changed(&mut self, fleet: &Fleet) {
        self.forget_gone(fleet);
    }

    fn epoch(&self, holder: &Holder) -> u64 {
        self.epochs.get(holder).copied().unwrap_or_default()
    }

    fn view_for(&self, holder: &Holder) -> Vec<u8> {
        self.seen(holder).to_bytes()
    }

    fn save(&self) -> Vec<u8> {
        // Writing into memory fails for nothing that the state holds.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok((mut work, [])) = postcard::take_from_bytes::<Work>(bytes) else { return false };
        for item in work.items.values() {
            work.index.add(item);
        }
        if left_out(Mutant::SnapshotForgetsTokens) {
            work.tokens = 0;
        }
        *self = work;
        true
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}
