//! The replicated state of all in-flight work: a deterministic function of the log.

use crate::bounds::{
    ENDED_RETENTION_MS, ITEM_OVERHEAD_BYTES, MAX_BYTES, MAX_ITEMS, MAX_REGIONS, MAX_RESULT_BYTES,
    MAX_SUCCESSORS, MAX_TAKEN_OVER, MAX_WAITERS,
};
use crate::entry::{Effect, End, Entry, Offer, Outcome, Progress, Refusal, check_name};
use crate::index::Index;
use crate::mutants::{Mutant, is_active};
use jaspershunt_fleet::{Fleet, Holder};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The replicated state of one operation key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The request. Its body is dropped when the work ends; `digest` stays.
    pub offer: Offer,
    /// Digest of class and body.
    pub digest: u64,
    /// The incarnation that owns the work.
    pub owner: Holder,
    /// The current fencing token.
    pub token: u64,
    /// Tokens of earlier owners, oldest first.
    pub previous_tokens: Vec<u64>,
    /// The token under which the latest run began.
    pub begun_token: Option<u64>,
    /// The owner is leaving, so a successor may take the work over.
    pub handed_over: bool,
    /// Incarnations that wait for the outcome.
    pub waiters: BTreeSet<Holder>,
    /// The recorded outcome, once there is one.
    pub ended: Option<Ended>,
}

/// A recorded outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The outcome itself.
    pub end: End,
    /// Position among all recorded outcomes.
    pub sequence: u64,
    /// When it was recorded, by the replicated clock, in Unix milliseconds.
    pub at_ms: u64,
    /// A client received the outcome.
    pub answered: bool,
    /// The owner has received the outcome.
    pub owner_informed: bool,
    /// The result was dropped to free space.
    pub result_dropped: bool,
}

/// The stages of work in the replicated state. Uncommitted offers and forgotten keys have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Recorded, and not begun.
    Held,
    /// A run has begun.
    Begun,
    /// The outcome is recorded.
    Known,
    /// The outcome is recorded and a client received it.
    Answered,
}

impl Item {
    /// Returns the stage of the work.
    pub fn stage(&self) -> Stage {
        match &self.ended {
            Some(ended) if ended.answered => Stage::Answered,
            Some(_) => Stage::Known,
            None if self.begun_token.is_some() => Stage::Begun,
            None => Stage::Held,
        }
    }

    /// Returns the progress that the owner sees.
    pub fn state(&self) -> Progress {
        match (&self.ended, self.begun_token) {
            (Some(ended), _) => Progress::Ended(ended.end.clone()),
            (None, Some(token)) => Progress::Begun { token },
            (None, None) => Progress::Held,
        }
    }

    /// Whether the current owner took the work over from another.
    pub fn is_taken_over(&self) -> bool {
        !self.previous_tokens.is_empty()
    }

    pub(crate) fn size_bytes(&self) -> usize {
        let texts = self.offer.key.len() + self.offer.class.len();
        let content = match self.ended.as_ref().map(|ended| &ended.end) {
            // Reserves space for the longest result, so that an outcome can always be recorded.
            None => self.offer.body.len() + MAX_RESULT_BYTES,
            Some(End::Done(result)) => result.len(),
            Some(_) => 0,
        };
        ITEM_OVERHEAD_BYTES + texts + self.offer.tenant.as_ref().map_or(0, String::len) + content
    }

    pub(crate) fn shown_to_owner(&self) -> bool {
        self.ended.as_ref().is_none_or(|ended| !ended.owner_informed)
    }

    pub(crate) fn counts_as_taken_over(&self) -> bool {
        self.is_taken_over() && self.ended.is_none()
    }

    pub(crate) fn droppable_result(&self) -> Option<u64> {
        let ended = self.ended.as_ref().filter(|ended| ended.answered && self.waiters.is_empty())?;
        matches!(&ended.end, End::Done(result) if !result.is_empty()).then_some(ended.sequence)
    }

    /// Whether a successor may take the work over.
    pub fn is_orphan(&self, fleet: &Fleet) -> bool {
        self.ended.is_none() && (self.handed_over || !fleet.is_present(&self.owner))
    }

    fn outcome(&self) -> Option<Result<Outcome, Refusal>> {
        let ended = self.ended.as_ref()?;
        Some(if ended.result_dropped { Err(Refusal::Dropped) } else { Ok(Outcome::Known(ended.end.clone())) })
    }

    fn set_end(&mut self, end: End, sequence: u64, at_ms: u64) {
        let ended =
            Ended { end, sequence, at_ms, answered: false, owner_informed: false, result_dropped: false };
        self.ended = Some(ended);
        self.offer.body = Vec::new();
        self.handed_over = false;
    }

    /// Returns the outcome to record for work that will not be run to its end.
    fn give_up_end(&self) -> End {
        let may_have_run = self.begun_token.is_some() && !is_active(Mutant::GivenUpAsFailed);
        if may_have_run { End::Unknown } else { End::Failed }
    }
}

/// The capacity that a member reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// The member's incarnation.
    pub incarnation: u64,
    /// The member's region.
    pub region: String,
    /// How many more requests it can accept.
    pub capacity: u32,
}

/// The replicated state of all in-flight work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub(crate) items: BTreeMap<String, Item>,
    pub(crate) capacities: BTreeMap<String, Capacity>,
    /// The last token issued. One counter for all keys, so that a key used again never gets an old token.
    pub(crate) last_token: u64,
    /// Number of outcomes recorded so far.
    end_count: u64,
    /// Unix time of the latest `Tidy` entry.
    clock_ms: u64,
    change_count: u64,
    pub(crate) epochs: BTreeMap<Holder, u64>,
    #[serde(skip)]
    pub(crate) index: Index,
}

impl Work {
    /// Returns the item of a key.
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Iterates over all items in key order.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Iterates over the latest capacity report of each member.
    pub fn capacities(&self) -> impl Iterator<Item = (Holder, &Capacity)> {
        self.capacities.iter().map(|(member, reported)| (Holder::new(member, reported.incarnation), reported))
    }

    /// Number of items that a successor has taken over and not ended.
    pub fn taken_over_count(&self, successor: &Holder) -> usize {
        self.index.taken_over.get(successor).copied().unwrap_or_default()
    }

    /// Returns the accounted size of all items.
    pub fn bytes(&self) -> usize {
        self.index.bytes
    }

    /// Returns the last token issued.
    pub fn last_token(&self) -> u64 {
        self.last_token
    }

    /// Returns the replicated clock, in Unix milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Applies the next committed entry.
    pub fn apply_entry(&mut self, fleet: &Fleet, entry: &Entry) -> Outcome {
        self.try_apply_entry(fleet, entry).unwrap_or_else(Outcome::Refused)
    }

    fn try_apply_entry(&mut self, fleet: &Fleet, entry: &Entry) -> Result<Outcome, Refusal> {
        match entry {
            Entry::Offer { by, offer, begin, now_ms } => self.offer(fleet, by, offer, *begin, *now_ms),
            Entry::Begin { key, by, token } => self.begin(key, by, *token),
            Entry::End { key, by, token, end } => self.end(key, by, *token, end),
            Entry::TakeOver { key, token, successor } => self.take_over(fleet, key, *token, successor),
            Entry::GiveUp { key, token } => self.give_up(fleet, key, *token),
            Entry::Answered { key, by } => self.answered(key, by),
            Entry::Capacity { holder, region, capacity } => self.capacity(fleet, holder, region, *capacity),
            Entry::HandOver { by, .. } => self.hand_over(by),
            Entry::Tidy { now_ms } => self.tidy(fleet, *now_ms),
        }
    }
}

/// Handlers of the entries.
impl Work {
    fn offer(
        &mut self,
        fleet: &Fleet,
        by: &Holder,
        offer: &Offer,
        begin: bool,
        now_ms: u64,
    ) -> Result<Outcome, Refusal> {
        offer.check()?;
        let digest = jaspershunt_keys::digest(&offer.class, &offer.body);
        if let Some(item) = self.items.get(&offer.key) {
            let known = &item.offer;
            // Prevents serving one client the outcome of another client's work.
            let same = (item.digest, &known.class, &known.tenant) == (digest, &offer.class, &offer.tenant);
            if !same && !is_active(Mutant::OtherBodyIsARepeat) {
                return Err(Refusal::OtherBody);
            }
            // Work that ended as `NeverRan` has no effect and will have none, so a further try may offer it
            // again. Otherwise one rejection by a full nodo would be repeated by all nodos until the key's
            // window ends.
            if item.ended.as_ref().is_none_or(|ended| ended.end != End::NeverRan || ended.result_dropped) {
                return self.repeat(fleet, by, &offer.key, begin);
            }
        }
        check_present(fleet, by)?;
        // Prevents a delayed copy of an offer from running the work again after its key was forgotten. A key
        // is forgotten only after its work is due, so such a copy is always late.
        let late = offer.due_ms <= self.clock_ms && !is_active(Mutant::LateOfferCounts);
        if late || offer.due_ms <= now_ms {
            return Err(Refusal::Late);
        }
        let token = self.last_token + 1;
        let mut offer = offer.clone();
        // The key is remembered at least as long as the work may run.
        offer.window_ends_ms = offer.window_ends_ms.max(offer.due_ms);
        // Waiters that have not received the `NeverRan` outcome wait for the new one instead.
        let waiters = self.remove(&offer.key).map_or_else(BTreeSet::new, |before| before.waiters);
        let item = Item {
            offer,
            digest,
            owner: by.clone(),
            token,
            previous_tokens: Vec::new(),
            begun_token: begin.then_some(token),
            handed_over: false,
            waiters,
            ended: None,
        };
        self.drop_results(item.size_bytes());
        if self.items.len() >= MAX_ITEMS || self.index.bytes + item.size_bytes() > MAX_BYTES {
            return Err(Refusal::Full);
        }
        self.last_token = token;
        self.insert(item);
        Ok(Outcome::Yours { token })
    }

    fn repeat(&mut self, fleet: &Fleet, by: &Holder, key: &str, begin: bool) -> Result<Outcome, Refusal> {
        let item = self.find(key)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        let token = item.token;
        // A successor whose own client offers the work must not run what its previous owner had begun.
        if item.owner == *by && !item.handed_over && !item.is_taken_over() {
            if begin && item.begun_token.is_none() {
                self.update(key, |item| item.begun_token = Some(token));
            }
            return Ok(Outcome::Yours { token });
        }
        if item.waiters.contains(by) {
            return Ok(Outcome::Waits);
        }
        let full = item.waiters.len() >= MAX_WAITERS;
        let gone = item.waiters.iter().find(|waiter| full && !fleet.is_present(waiter)).cloned();
        if full && gone.is_none() {
            return Err(Refusal::Crowded);
        }
        self.update(key, |item| {
            item.waiters.retain(|waiter| gone.as_ref() != Some(waiter));
            item.waiters.insert(by.clone());
        });
        Ok(Outcome::Waits)
    }

    fn begin(&mut self, key: &str, by: &Holder, token: u64) -> Result<Outcome, Refusal> {
        let item = self.find_by_token(key, token)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        // Prevents a previous owner that was paused and presumed lost from running what its successor runs.
        if (item.token, &item.owner) != (token, by) && !is_active(Mutant::TokenNotCompared) {
            return Err(Refusal::OldToken);
        }
        let may_have_run = item.begun_token.is_some_and(|begun_token| begun_token != token);
        if may_have_run && item.offer.effect == Effect::Unknown && !is_active(Mutant::BegunCountsAsHeld) {
            return Err(Refusal::MayHaveRun);
        }
        self.update(key, |item| item.begun_token = Some(token));
        Ok(Outcome::Yours { token })
    }

    fn end(&mut self, key: &str, by: &Holder, token: u64, end: &End) -> Result<Outcome, Refusal> {
        end.check()?;
        let item = self.find_by_token(key, token)?;
        if let Some(outcome) = item.outcome()
            && !is_active(Mutant::LaterOutcomeOverwrites)
        {
            return outcome;
        }
        if (item.token, &item.owner) != (token, by) {
            // A previous owner's success is final even if the work has a new owner. Its failure is not: a
            // successor may be running.
            if !matches!(end, End::Done(_)) {
                return Err(Refusal::OldToken);
            }
        } else if matches!(end, End::Failed | End::NeverRan)
            && item.begun_token.is_some_and(|begun_token| begun_token != token)
            && item.offer.effect != Effect::Asks
        {
            // A successor cannot report as failed what a previous owner may have done.
            return Err(Refusal::MayHaveRun);
        }
        Ok(self.record(key, end.clone()))
    }

    fn take_over(
        &mut self,
        fleet: &Fleet,
        key: &str,
        token: u64,
        successor: &Holder,
    ) -> Result<Outcome, Refusal> {
        let item = self.reassignable_item(fleet, key, token)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        check_present(fleet, successor)?;
        if item.owner == *successor && !is_active(Mutant::TakesFromTheLiving) {
            return Err(Refusal::Owned);
        }
        if item.previous_tokens.len() >= MAX_SUCCESSORS {
            let end = item.give_up_end();
            return Ok(self.record(key, end));
        }
        if self.taken_over_count(successor) >= MAX_TAKEN_OVER {
            return Err(Refusal::HeirFull);
        }
        self.last_token += 1;
        let next = self.last_token;
        self.update(key, |item| {
            item.previous_tokens.push(item.token);
            item.token = next;
            let before = std::mem::replace(&mut item.owner, successor.clone());
            item.handed_over &= is_active(Mutant::HandedOverTwice);
            // The previous owner may be leaving or resume later, and its clients still wait for the outcome.
            if item.waiters.len() < MAX_WAITERS {
                item.waiters.insert(before);
            }
            if is_active(Mutant::WindowNotHandedOn) {
                item.offer.window_ends_ms = 0;
            }
        });
        Ok(Outcome::Yours { token: next })
    }

    fn give_up(&mut self, fleet: &Fleet, key: &str, token: u64) -> Result<Outcome, Refusal> {
        let item = self.reassignable_item(fleet, key, token)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        let end = item.give_up_end();
        Ok(self.record(key, end))
    }

    fn answered(&mut self, key: &str, by: &Holder) -> Result<Outcome, Refusal> {
        if self.find(key)?.ended.is_none() {
            return Err(Refusal::NotEnded);
        }
        self.update(key, |item| {
            let (waited, owns, taken_over) =
                (item.waiters.remove(by), item.owner == *by, item.is_taken_over());
            let Some(ended) = &mut item.ended else { return };
            ended.owner_informed |= owns;
            // A successor has no client of its own, so its receipt does not mean that a client was answered.
            ended.answered |= waited || (owns && !taken_over);
        });
        Ok(Outcome::Done)
    }

    fn capacity(
        &mut self,
        fleet: &Fleet,
        holder: &Holder,
        region: &str,
        capacity: u32,
    ) -> Result<Outcome, Refusal> {
        check_name(region)?;
        check_present(fleet, holder)?;
        let others = self.capacities.iter().filter(|(member, _)| **member != holder.member);
        let regions: BTreeSet<&str> = others.map(|(_, reported)| reported.region.as_str()).collect();
        if regions.len() >= MAX_REGIONS && !regions.contains(region) {
            return Err(Refusal::Full);
        }
        let reported = Capacity { incarnation: holder.incarnation, region: region.to_string(), capacity };
        self.capacities.insert(holder.member.clone(), reported);
        Ok(Outcome::Done)
    }

    fn hand_over(&mut self, by: &Holder) -> Result<Outcome, Refusal> {
        for key in self.index.owned.get(by).cloned().unwrap_or_default() {
            self.update(&key, |item| item.handed_over = item.ended.is_none());
        }
        Ok(Outcome::Done)
    }

    fn tidy(&mut self, fleet: &Fleet, now_ms: u64) -> Result<Outcome, Refusal> {
        self.clock_ms = self.clock_ms.max(now_ms);
        let now_ms = self.clock_ms;
        let (mut due, mut forgotten, mut overdue_waits) = (Vec::new(), Vec::new(), Vec::new());
        for (key, item) in &self.items {
            let window_ends = item.offer.window_ends_ms;
            match &item.ended {
                None if item.begun_token.is_none() && item.offer.due_ms <= now_ms => due.push(key.clone()),
                // Records an outcome before the key is forgotten.
                None if window_ends <= now_ms => due.push(key.clone()),
                Some(ended) if window_ends.max(ended.at_ms).saturating_add(ENDED_RETENTION_MS) <= now_ms => {
                    forgotten.push(key.clone());
                }
                // Prevents a lost waiter from keeping a result from being dropped.
                Some(ended)
                    if !item.waiters.is_empty()
                        && ended.at_ms.saturating_add(ENDED_RETENTION_MS) <= now_ms =>
                {
                    overdue_waits.push(key.clone());
                }
                _ => {}
            }
        }
        for key in overdue_waits {
            self.update(&key, |item| item.waiters.retain(|waiter| fleet.is_present(waiter)));
        }
        for key in due {
            let end = self.find(&key)?.give_up_end();
            self.record(&key, end);
        }
        for key in forgotten {
            self.remove(&key);
        }
        Ok(Outcome::Done)
    }
}

/// Changes of items, which keep the index and the epochs in step.
impl Work {
    fn find(&self, key: &str) -> Result<&Item, Refusal> {
        self.items.get(key).ok_or(Refusal::Nothing)
    }

    /// Returns the item if the token is its current one or a previous one. Other tokens belong to an earlier
    /// use of the key, whose owner must not receive this outcome.
    fn find_by_token(&self, key: &str, token: u64) -> Result<&Item, Refusal> {
        let item = self.find(key)?;
        let known = item.token == token || item.previous_tokens.contains(&token);
        if known { Ok(item) } else { Err(Refusal::OldToken) }
    }

    /// Returns the item if it is orphaned or has ended.
    fn reassignable_item(&self, fleet: &Fleet, key: &str, token: u64) -> Result<&Item, Refusal> {
        let item = self.find(key)?;
        // Makes duplicate proposals harmless, from two leaders or one: the second no longer has the current
        // token.
        if item.token != token {
            return Err(Refusal::OldToken);
        }
        let owned = item.ended.is_none() && !item.is_orphan(fleet);
        if owned && !is_active(Mutant::TakesFromTheLiving) { Err(Refusal::Owned) } else { Ok(item) }
    }

    fn record(&mut self, key: &str, end: End) -> Outcome {
        self.end_count += 1;
        let (sequence, at_ms) = (self.end_count, self.clock_ms);
        self.update(key, |item| item.set_end(end.clone(), sequence, at_ms));
        Outcome::Known(end)
    }

    fn insert(&mut self, item: Item) {
        self.advance_epochs(&item);
        self.index.add(&item);
        self.items.insert(item.offer.key.clone(), item);
    }

    fn remove(&mut self, key: &str) -> Option<Item> {
        let item = self.items.remove(key)?;
        self.index.remove(&item);
        self.advance_epochs(&item);
        Some(item)
    }

    fn update(&mut self, key: &str, change: impl FnOnce(&mut Item)) {
        if let Some(mut item) = self.remove(key) {
            change(&mut item);
            self.insert(item);
        }
    }

    /// Advances the epochs of the owner and all waiters, whose views change with the item.
    fn advance_epochs(&mut self, item: &Item) {
        self.change_count += 1;
        for holder in item.waiters.iter().chain([&item.owner]) {
            match self.epochs.get_mut(holder) {
                Some(epoch) => *epoch = self.change_count,
                None => drop(self.epochs.insert(holder.clone(), self.change_count)),
            }
        }
    }

    /// Drops results that were delivered, oldest first, until `bytes` more fit. The items stay recorded as
    /// done.
    fn drop_results(&mut self, bytes: usize) {
        while self.index.bytes + bytes > MAX_BYTES {
            let Some((_, key)) = self.index.droppable.first().cloned() else { return };
            self.update(&key, |item| {
                if let Some(ended) = &mut item.ended {
                    (ended.end, ended.result_dropped) = (End::Done(Vec::new()), true);
                }
            });
        }
    }

    /// Removes capacity reports and unused epochs of incarnations that are gone.
    pub(crate) fn remove_departed(&mut self, fleet: &Fleet) {
        self.capacities
            .retain(|member, reported| fleet.is_present(&Holder::new(member, reported.incarnation)));
        let Index { owned, awaited, .. } = &self.index;
        self.epochs.retain(|holder, _| {
            fleet.is_present(holder) || owned.contains_key(holder) || awaited.contains_key(holder)
        });
    }
}

fn check_present(fleet: &Fleet, holder: &Holder) -> Result<(), Refusal> {
    if fleet.is_present(holder) { Ok(()) } else { Err(Refusal::NotPresent) }
}

#[cfg(test)]
mod tests;
