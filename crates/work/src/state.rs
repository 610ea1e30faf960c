//! The part itself: what is agreed of all work in hand, a function of the log alone.

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

/// What is agreed of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it is. The body goes when it has ended; its print stays.
    pub offer: Offer,
    /// Stands for class and body.
    pub digest: u64,
    /// Whose it is.
    pub owner: Holder,
    /// The present token.
    pub token: u64,
    /// The tokens before it.
    pub previous_tokens: Vec<u64>,
    /// Under which token it was begun last.
    pub begun_token: Option<u64>,
    /// Its owner leaves, and an heir may have it.
    pub handed_over: bool,
    /// Starts that wait for its end.
    pub waiters: BTreeSet<Holder>,
    /// Its outcome.
    pub ended: Option<Ended>,
}

/// An outcome that is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Which.
    pub end: End,
    /// Which of all ends this is.
    pub sequence: u64,
    /// When, by the agreed clock, in Unix milliseconds.
    pub at_ms: u64,
    /// Who asked for it was told.
    pub answered: bool,
    /// Its owner knows of it.
    pub owner_informed: bool,
    /// The result went for want of room.
    pub result_dropped: bool,
}

/// The stages of work as the agreed state has them. What was offered and is not agreed, and what is forgotten, is not in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Agreed, and nobody has begun it.
    Held,
    /// Somebody has begun it.
    Begun,
    /// Its outcome is known.
    Known,
    /// And who asked was told.
    Answered,
}

impl Item {
    /// How far it has come.
    pub fn stage(&self) -> Stage {
        match &self.ended {
            Some(ended) if ended.answered => Stage::Answered,
            Some(_) => Stage::Known,
            None if self.begun_token.is_some() => Stage::Begun,
            None => Stage::Held,
        }
    }

    /// What its owner is shown of it.
    pub fn state(&self) -> Progress {
        match (&self.ended, self.begun_token) {
            (Some(ended), _) => Progress::Ended(ended.end.clone()),
            (None, Some(token)) => Progress::Begun { token },
            (None, None) => Progress::Held,
        }
    }

    /// Whether its owner is an heir.
    pub fn is_taken_over(&self) -> bool {
        !self.previous_tokens.is_empty()
    }

    pub(crate) fn size_bytes(&self) -> usize {
        let texts = self.offer.key.len() + self.offer.class.len();
        let content = match self.ended.as_ref().map(|ended| &ended.end) {
            // Guards against an outcome for which there is no room when it comes.
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

    /// Whether an heir may have it.
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

    /// The end of work that nobody will bring to one.
    fn give_up_end(&self) -> End {
        let may_have_run = self.begun_token.is_some() && !is_active(Mutant::GivenUpAsFailed);
        if may_have_run { End::Unknown } else { End::Failed }
    }
}

/// What a member told of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Which start.
    pub incarnation: u64,
    /// Where it is.
    pub region: String,
    /// How many requests it could take.
    pub capacity: u32,
}

/// All work in hand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub(crate) items: BTreeMap<String, Item>,
    pub(crate) capacities: BTreeMap<String, Capacity>,
    /// The last token that was given out. One count for all, so that none comes twice though keys come and go.
    pub(crate) last_token: u64,
    /// How many ends there were.
    end_count: u64,
    /// How late it is, by the last tidying.
    clock_ms: u64,
    change_count: u64,
    pub(crate) epochs: BTreeMap<Holder, u64>,
    #[serde(skip)]
    pub(crate) index: Index,
}

impl Work {
    /// An item, if anything is known of the key.
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// What the present start of each member told of itself.
    pub fn capacities(&self) -> impl Iterator<Item = (Holder, &Capacity)> {
        self.capacities.iter().map(|(member, reported)| (Holder::new(member, reported.incarnation), reported))
    }

    /// How many items an heir has taken over and not ended.
    pub fn taken_over_count(&self, successor: &Holder) -> usize {
        self.index.taken_over.get(successor).copied().unwrap_or_default()
    }

    /// Bytes of all items.
    pub fn bytes(&self) -> usize {
        self.index.bytes
    }

    /// The last token that was given out.
    pub fn last_token(&self) -> u64 {
        self.last_token
    }

    /// How late it is by the agreed state, in Unix milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Takes in the next entry.
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

/// Entries.
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
        let digest = jaspershunt_keys::print(&offer.class, &offer.body);
        if let Some(item) = self.items.get(&offer.key) {
            let known = &item.offer;
            // Guards against a stranger who is served the outcome of someone else's work.
            let same = (item.digest, &known.class, &known.tenant) == (digest, &offer.class, &offer.tenant);
            if !same && !is_active(Mutant::OtherBodyIsARepeat) {
                return Err(Refusal::OtherBody);
            }
            // What was turned away has had no effect and will have none: a further try may have it anew. Guards against a client
            // that is turned away everywhere until its key's window ends, as one crowded nodo turned it away once.
            if item.ended.as_ref().is_none_or(|ended| ended.end != End::NeverRan || ended.result_dropped) {
                return self.repeat(fleet, by, &offer.key, begin);
            }
        }
        check_present(fleet, by)?;
        // Guards against a copy of an offer that was held up until its key is forgotten, and would be run once more.
        // A key is forgotten after its work is due, so that what is forgotten is late.
        let late = offer.due_ms <= self.clock_ms && !is_active(Mutant::LateOfferCounts);
        if late || offer.due_ms <= now_ms {
            return Err(Refusal::Late);
        }
        let token = self.last_token + 1;
        let mut offer = offer.clone();
        // Known at least as long as it may be run.
        offer.window_ends_ms = offer.window_ends_ms.max(offer.due_ms);
        // Those who have not heard that it was turned away hear what it comes to now.
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
        // Guards against an heir whose own client asks for it, and who would run what the one before it had begun.
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
        // Guards against an owner that was taken for lost, wakes, and runs what its heir runs.
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
            // That it was done is a fact, whoever owns it now. That it was not is none: an heir may be at it.
            if !matches!(end, End::Done(_)) {
                return Err(Refusal::OldToken);
            }
        } else if matches!(end, End::Failed | End::NeverRan)
            && item.begun_token.is_some_and(|begun_token| begun_token != token)
            && item.offer.effect != Effect::Asks
        {
            // Guards against an heir that calls failed what the one before it may have done.
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
            // One that leaves, or wakes, has somebody who waits for the answer.
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
            // Nobody asked an heir: that it knows tells no client.
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
        let (mut expired, mut forgotten, mut may_be_recorded) = (Vec::new(), Vec::new(), Vec::new());
        for (key, item) in &self.items {
            let window_ends = item.offer.window_ends_ms;
            match &item.ended {
                None if item.begun_token.is_none() && item.offer.due_ms <= now_ms => {
                    expired.push(key.clone())
                }
                // Guards against a key that is forgotten before anybody could say what became of it.
                None if window_ends <= now_ms => expired.push(key.clone()),
                Some(ended) if window_ends.max(ended.at_ms).saturating_add(ENDED_RETENTION_MS) <= now_ms => {
                    forgotten.push(key.clone());
                }
                // Guards against a result that cannot go, as one that is lost waits for it.
                Some(ended)
                    if !item.waiters.is_empty()
                        && ended.at_ms.saturating_add(ENDED_RETENTION_MS) <= now_ms =>
                {
                    may_be_recorded.push(key.clone());
                }
                _ => {}
            }
        }
        for key in may_be_recorded {
            self.update(&key, |item| item.waiters.retain(|waiter| fleet.is_present(waiter)));
        }
        for key in expired {
            let end = self.find(&key)?.give_up_end();
            self.record(&key, end);
        }
        for key in forgotten {
            self.remove(&key);
        }
        Ok(Outcome::Done)
    }
}

/// Items, with what is kept of them at hand.
impl Work {
    fn find(&self, key: &str) -> Result<&Item, Refusal> {
        self.items.get(key).ok_or(Refusal::Nothing)
    }

    /// An item that has, or had, this token. Guards against an owner of an earlier use of the key, who would be told this one's
    /// outcome.
    fn find_by_token(&self, key: &str, token: u64) -> Result<&Item, Refusal> {
        let item = self.find(key)?;
        let its = item.token == token || item.previous_tokens.contains(&token);
        if its { Ok(item) } else { Err(Refusal::OldToken) }
    }

    /// An item that has lost its owner, or has ended.
    fn reassignable_item(&self, fleet: &Fleet, key: &str, token: u64) -> Result<&Item, Refusal> {
        let item = self.find(key)?;
        // Guards against two that lead, or one that says it twice: the second finds another token.
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

    /// Those whom it concerns are shown something else.
    fn advance_epochs(&mut self, item: &Item) {
        self.change_count += 1;
        for holder in item.waiters.iter().chain([&item.owner]) {
            match self.epochs.get_mut(holder) {
                Some(epoch) => *epoch = self.change_count,
                None => drop(self.epochs.insert(holder.clone(), self.change_count)),
            }
        }
    }

    /// Drops results that were told, the oldest first. What was done stays known as done.
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

    /// What starts told that have gone is of no use.
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
