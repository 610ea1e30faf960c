//! In-flight work as a part of the replicated state.

use crate::bounds::MAX_VIEW_BYTES;
use crate::entry::{AwaitedEnd, Entry, MemberView, Offer, Outcome, OwnedItem, Refusal};
use crate::mutants::{Mutant, is_active};
use crate::state::{Item, Work};
use jaspershunt_fleet::parts::Part;
use jaspershunt_fleet::{Fleet, Holder};
use std::any::Any;
use std::collections::BTreeSet;

/// The part's name in the log.
pub const NAME: &str = "work";

impl Work {
    /// Returns the view of an incarnation: first what it has taken over, then the outcomes that it waits for,
    /// then the rest that it owns, up to [`MAX_VIEW_BYTES`]. Only items that were taken over have bodies, as
    /// first owners have theirs.
    pub fn view(&self, holder: &Holder) -> MemberView {
        let items = |keys: Option<&BTreeSet<String>>| -> Vec<&Item> {
            keys.into_iter().flatten().filter_map(|key| self.items.get(key)).collect()
        };
        let (taken_over, own): (Vec<&Item>, Vec<&Item>) =
            items(self.index.owned.get(holder)).into_iter().partition(|item| item.is_taken_over());
        let mut left = MAX_VIEW_BYTES;
        let mut fits = |item: &&Item| {
            let fits = item.size_bytes() <= left;
            left = left.saturating_sub(item.size_bytes());
            fits
        };
        let mut view = MemberView::default();
        view.owned.extend(
            taken_over
                .into_iter()
                .take_while(&mut fits)
                .map(|item| owned_item(item, item.offer.body.clone())),
        );
        let awaited = items(self.index.awaited.get(holder)).into_iter();
        let ended = awaited
            .filter_map(|item| Some((item, item.ended.as_ref().filter(|ended| !ended.result_dropped)?)));
        let ended = ended.take_while(|(item, _)| fits(item));
        view.ended.extend(ended.map(|(item, ended)| AwaitedEnd {
            key: item.offer.key.clone(),
            digest: item.digest,
            end: ended.end.clone(),
        }));
        view.owned.extend(own.into_iter().take_while(fits).map(|item| owned_item(item, Vec::new())));
        view
    }
}

fn owned_item(item: &Item, body: Vec<u8>) -> OwnedItem {
    let offer = Offer { body, ..item.offer.clone() };
    OwnedItem {
        key: item.offer.key.clone(),
        offer,
        token: item.token,
        state: item.state(),
        taken_over: item.is_taken_over(),
    }
}

impl Part for Work {
    fn name(&self) -> &'static str {
        NAME
    }

    fn apply(&mut self, fleet: &Fleet, entry: &[u8]) -> Vec<u8> {
        let outcome = match Entry::from_bytes(entry) {
            Some(entry) => self.apply_entry(fleet, &entry),
            None => Outcome::Refused(Refusal::NoEntry),
        };
        outcome.to_bytes()
    }

    fn members_changed(&mut self, fleet: &Fleet) {
        self.remove_departed(fleet);
    }

    fn epoch(&self, holder: &Holder) -> u64 {
        self.epochs.get(holder).copied().unwrap_or_default()
    }

    fn view_for(&self, holder: &Holder) -> Vec<u8> {
        self.view(holder).to_bytes()
    }

    fn save(&self) -> Vec<u8> {
        // Serializing the state into memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok((mut work, [])) = postcard::take_from_bytes::<Work>(bytes) else { return false };
        for item in work.items.values() {
            work.index.add(item);
        }
        if is_active(Mutant::SnapshotForgetsTokens) {
            work.last_token = 0;
        }
        *self = work;
        true
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}
