//! The part itself: what is agreed of all work in hand, a function of the log alone.

use crate::bounds::{
    ITEM_BYTES, LINGER_MS, MAX_BYTES, MAX_HEIRS, MAX_ITEMS, MAX_REGIONS, MAX_RESULT, MAX_TAKEN, MAX_WAITERS,
};
use crate::entry::{Effect, End, Entry, Offer, Outcome, Refusal, State, named};
use crate::index::Index;
use crate::mutants::{Mutant, left_out};
use jaspershunt_fleet::{Fleet, Holder};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What is agreed of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it is. The body goes when it has ended; its print stays.
    pub offer: Offer,
    /// Stands for class and body.
    pub print: u64,
    /// Whose it is.
    pub owner: Holder,
    /// The present token.
    pub token: u64,
    /// The tokens before it.
    pub past: Vec<u64>,
    /// Under which token it was begun last.
    pub begun: Option<u64>,
    /// Its owner leaves, and an heir may have it.
    pub handed: bool,
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
    pub number: u64,
    /// When, by the agreed clock, in Unix milliseconds.
    pub at_ms: u64,
    /// Who asked for it was told.
    pub answered: bool,
    /// Its owner knows of it.
    pub owner_knows: bool,
    /// The result went for want of room.
    pub dropped: bool,
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
            None if self.begun.is_some() => Stage::Begun,
            None => Stage::Held,
        }
    }

    /// What its owner is shown of it.
    pub fn state(&self) -> State {
        match (&self.ended, self.begun) {
            (Some(ended), _) => State::Ended(ended.end.clone()),
            (None, Some(token)) => State::Begun { token },
            (None, None) => State::Held,
        }
    }

    /// Whether its owner is an heir.
    pub fn is_taken(&self) -> bool {
        !self.past.is_empty()
    }

    pub(crate) fn weight(&self) -> usize {
        let texts = self.offer.key.len() + self.offer.class.len();
        let content = match self.ended.as_ref().map(|ended| &ended.end) {
            // Guards against an outcome for which there is no room when it comes.
            None => self.offer.body.len() + MAX_RESULT,
            Some(End::Done(result)) => result.len(),
            Some(_) => 0,
        };
        ITEM_BYTES + texts + self.offer.tenant.as_ref().map_or(0, String::len) + content
    }

    pub(crate) fn shown_to_owner(&self) -> bool {
        self.ended.as_ref().is_none_or(|ended| !ended.owner_knows)
    }

    pub(crate) fn counts_as_taken(&self) -> bool {
        self.is_taken() && self.ended.is_none()
    }

    pub(crate) fn told_result(&self) -> Option<u64> {
        let ended = self.ended.as_ref().filter(|ended| ended.answered && self.waiters.is_empty())?;
        matches!(&ended.end, End::Done(result) if !result.is_empty()).then_some(ended.number)
    }

    /// Whether an heir may have it.
    pub fn is_orphan(&self, fleet: &Fleet) -> bool {
        self.ended.is_none() && (self.handed || !fleet.is_present(&self.owner))
    }

    fn outcome(&self) -> Option<Result<Outcome, Refusal>> {
        let ended = self.ended.as_ref()?;
        Some(if ended.dropped { Err(Refusal::Dropped) } else { Ok(Outcome::Known(ended.end.clone())) })
    }

    fn end(&mut self, end: End, number: u64, at_ms: u64) {
        let ended = Ended { end, number, at_ms, answered: false, owner_knows: false, dropped: false };
        self.ended = Some(ended);
        self.offer.body = Vec::new();
        self.handed = false;
    }

    /// The end of work that nobody will bring to one.
    fn given_up(&self) -> End {
        let may_have_run = self.begun.is_some() && !left_out(Mutant::GivenUpAsFailed);
        if may_have_run { End::Unknown } else { End::Failed }
    }
}

/// What a member told of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// Which start.
    pub incarnation: u64,
    /// Where it is.
    pub region: String,
    /// How many requests it could take.
    pub room: u32,
}

/// All work in hand.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub(crate) items: BTreeMap<String, Item>,
    pub(crate) rooms: BTreeMap<String, Room>,
    /// The last token that was given out. One count for all, so that none comes twice though keys come and go.
    pub(crate) tokens: u64,
    /// How many ends there were.
    ends: u64,
    /// How late it is, by the last tidying.
    clock_ms: u64,
    changes: u64,
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
    pub fn rooms(&self) -> impl Iterator<Item = (Holder, &Room)> {
        self.rooms.iter().map(|(member, room)| (Holder::new(member, room.incarnation), room))
    }

    /// How many items an heir has taken over and not ended.
    pub fn taken(&self, heir: &Holder) -> usize {
        self.index.taken.get(heir).copied().unwrap_or_default()
    }

    /// Bytes of all items.
    pub fn bytes(&self) -> usize {
        self.index.bytes
    }

    /// The last token that was given out.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// How late it is by the agreed state, in Unix milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Takes in the next entry.
    pub fn take(&mut self, fleet: &Fleet, entry: &Entry) -> Outcome {
        self.try_take(fleet, entry).unwrap_or_else(Outcome::Refused)
    }

    fn try_take(&mut self, fleet: &Fleet, entry: &Entry) -> Result<Outcome, Refusal> {
        match entry {
            Entry::Offer { by, offer, begin, now_ms } => self.offer(fleet, by, offer, *begin, *now_ms),
            Entry::Begin { key, by, token } => self.begin(key, by, *token),
            Entry::End { key, by, token, end } => self.end(key, by, *token, end),
            Entry::TakeOver { key, token, heir } => self.take_over(fleet, key, *token, heir),
            Entry::GiveUp { key, token } => self.give_up(fleet, key, *token),
            Entry::Answered { key, by } => self.answered(key, by),
            Entry::Room { holder, region, room } => self.room(fleet, holder, region, *room),
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
        let print = jaspershunt_keys::digest(&offer.class, &offer.body);
        if let Some(item) = self.items.get(&offer.key) {
            let known = &item.offer;
            // Guards against a stranger who is served the outcome of someone else's work.
            let same = (item.print, &known.class, &known.tenant) == (print, &offer.class, &offer.tenant);
            if !same && !left_out(Mutant::OtherBodyIsARepeat) {
                return Err(Refusal::OtherBody);
            }
            // What was turned away has had no effect and will have none: a further try may have it anew. Guards against a client
            // that is turned away everywhere until its key's window ends, as one crowded nodo turned it away once.
            if item.ended.as_ref().is_none_or(|ended| ended.end != End::NeverRan || ended.dropped) {
                return self.repeat(fleet, by, &offer.key, begin);
            }
        }
        present(fleet, by)?;
        // Guards against a copy of an offer that was held up until its key is forgotten, and would be run once more.
        // A key is forgotten after its work is due, so that what is forgotten is late.
        let late = offer.due_ms <= self.clock_ms && !left_out(Mutant::LateOfferCounts);
        if late || offer.due_ms <= now_ms {
            return Err(Refusal::Late);
        }
        let token = self.tokens + 1;
        let mut offer = offer.clone();
        // Known at least as long as it may be run.
        offer.window_ends_ms = offer.window_ends_ms.max(offer.due_ms);
        // Those who have not heard that it was turned away hear what it comes to now.
        let waiters = self.remove(&offer.key).map_or_else(BTreeSet::new, |before| before.waiters);
        let item = Item {
            offer,
            print,
            owner: by.clone(),
            token,
            past: Vec::new(),
            begun: begin.then_some(token),
            handed: false,
            waiters,
            ended: None,
        };
        self.make_room(item.weight());
        if self.items.len() >= MAX_ITEMS || self.index.bytes + item.weight() > MAX_BYTES {
            return Err(Refusal::Full);
        }
        self.tokens = token;
        self.put(item);
        Ok(Outcome::Yours { token })
    }

    fn repeat(&mut self, fleet: &Fleet, by: &Holder, key: &str, begin: bool) -> Result<Outcome, Refusal> {
        let item = self.item_of(key)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        let token = item.token;
        // Guards against an heir whose own client asks for it, and who would run what the one before it had begun.
        if item.owner == *by && !item.handed && !item.is_taken() {
            if begin && item.begun.is_none() {
                self.change(key, |item| item.begun = Some(token));
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
        self.change(key, |item| {
            item.waiters.retain(|waiter| gone.as_ref() != Some(waiter));
            item.waiters.insert(by.clone());
        });
        Ok(Outcome::Waits)
    }

    fn begin(&mut self, key: &str, by: &Holder, token: u64) -> Result<Outcome, Refusal> {
        let item = self.item_of_token(key, token)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        // Guards against an owner that was taken for lost, wakes, and runs what its heir runs.
        if (item.token, &item.owner) != (token, by) && !left_out(Mutant::TokenNotCompared) {
            return Err(Refusal::OldToken);
        }
        let may_have_run = item.begun.is_some_and(|begun| begun != token);
        if may_have_run && item.offer.effect == Effect::Unknown && !left_out(Mutant::BegunCountsAsHeld) {
            return Err(Refusal::MayHaveRun);
        }
        self.change(key, |item| item.begun = Some(token));
        Ok(Outcome::Yours { token })
    }

    fn end(&mut self, key: &str, by: &Holder, token: u64, end: &End) -> Result<Outcome, Refusal> {
        end.check()?;
        let item = self.item_of_token(key, token)?;
        if let Some(outcome) = item.outcome()
            && !left_out(Mutant::LaterOutcomeOverwrites)
        {
            return outcome;
        }
        if (item.token, &item.owner) != (token, by) {
            // That it was done is a fact, whoever owns it now. That it was not is none: an heir may be at it.
            if !matches!(end, End::Done(_)) {
                return Err(Refusal::OldToken);
            }
        } else if matches!(end, End::Failed | End::NeverRan)
            && item.begun.is_some_and(|begun| begun != token)
            && item.offer.effect != Effect::Asks
        {
            // Guards against an heir that calls failed what the one before it may have done.
            return Err(Refusal::MayHaveRun);
        }
        Ok(self.record(key, end.clone()))
    }

    fn take_over(&mut self, fleet: &Fleet, key: &str, token: u64, heir: &Holder) -> Result<Outcome, Refusal> {
        let item = self.lost(fleet, key, token)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        present(fleet, heir)?;
        if item.owner == *heir && !left_out(Mutant::TakesFromTheLiving) {
            return Err(Refusal::Owned);
        }
        if item.past.len() >= MAX_HEIRS {
            let end = item.given_up();
            return Ok(self.record(key, end));
        }
        if self.taken(heir) >= MAX_TAKEN {
            return Err(Refusal::HeirFull);
        }
        self.tokens += 1;
        let next = self.tokens;
        self.change(key, |item| {
            item.past.push(item.token);
            item.token = next;
            let before = std::mem::replace(&mut item.owner, heir.clone());
            item.handed &= left_out(Mutant::HandedOverTwice);
            // One that leaves, or wakes, has somebody who waits for the answer.
            if item.waiters.len() < MAX_WAITERS {
                item.waiters.insert(before);
            }
            if left_out(Mutant::WindowNotHandedOn) {
                item.offer.window_ends_ms = 0;
            }
        });
        Ok(Outcome::Yours { token: next })
    }

    fn give_up(&mut self, fleet: &Fleet, key: &str, token: u64) -> Result<Outcome, Refusal> {
        let item = self.lost(fleet, key, token)?;
        if let Some(outcome) = item.outcome() {
            return outcome;
        }
        let end = item.given_up();
        Ok(self.record(key, end))
    }

    fn answered(&mut self, key: &str, by: &Holder) -> Result<Outcome, Refusal> {
        if self.item_of(key)?.ended.is_none() {
            return Err(Refusal::NotEnded);
        }
        self.change(key, |item| {
            let (waited, owns, taken) = (item.waiters.remove(by), item.owner == *by, item.is_taken());
            let Some(ended) = &mut item.ended else { return };
            ended.owner_knows |= owns;
            // Nobody asked an heir: that it knows tells no client.
            ended.answered |= waited || (owns && !taken);
        });
        Ok(Outcome::Done)
    }

    fn room(&mut self, fleet: &Fleet, holder: &Holder, region: &str, room: u32) -> Result<Outcome, Refusal> {
        named(region)?;
        present(fleet, holder)?;
        let others = self.rooms.iter().filter(|(member, _)| **member != holder.member);
        let regions: BTreeSet<&str> = others.map(|(_, room)| room.region.as_str()).collect();
        if regions.len() >= MAX_REGIONS && !regions.contains(region) {
            return Err(Refusal::Full);
        }
        let told = Room { incarnation: holder.incarnation, region: region.to_string(), room };
        self.rooms.insert(holder.member.clone(), told);
        Ok(Outcome::Done)
    }

    fn hand_over(&mut self, by: &Holder) -> Result<Outcome, Refusal> {
        for key in self.index.owned.get(by).cloned().unwrap_or_default() {
            self.change(&key, |item| item.handed = item.ended.is_none());
        }
        Ok(Outcome::Done)
    }

    fn tidy(&mut self, fleet: &Fleet, now_ms: u64) -> Result<Outcome, Refusal> {
        self.clock_ms = self.clock_ms.max(now_ms);
        let now_ms = self.clock_ms;
        let (mut over, mut forgotten, mut unheard) = (Vec::new(), Vec::new(), Vec::new());
        for (key, item) in &self.items {
            let window_ends = item.offer.window_ends_ms;
            match &item.ended {
                None if item.begun.is_none() && item.offer.due_ms <= now_ms => over.push(key.clone()),
                // Guards against a key that is forgotten before anybody could say what became of it.
                None if window_ends <= now_ms => over.push(key.clone()),
                Some(ended) if window_ends.max(ended.at_ms).saturating_add(LINGER_MS) <= now_ms => {
                    forgotten.push(key.clone());
                }
                // Guards against a result that cannot go, as one that is lost waits for it.
                Some(ended)
                    if !item.waiters.is_empty() && ended.at_ms.saturating_add(LINGER_MS) <= now_ms =>
                {
                    unheard.push(key.clone());
                }
                _ => {}
            }
        }
        for key in unheard {
            self.change(&key, |item| item.waiters.retain(|waiter| fleet.is_present(waiter)));
        }
        for key in over {
            let end = self.item_of(&key)?.given_up();
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
    fn item_of(&self, key: &str) -> Result<&Item, Refusal> {
        self.items.get(key).ok_or(Refusal::Nothing)
    }

    /// An item that has, or had, this token. Guards against an owner of an earlier use of the key, who would be told this one's
    /// outcome.
    fn item_of_token(&self, key: &str, token: u64) -> Result<&Item, Refusal> {
        let item = self.item_of(key)?;
        let its = item.token == token || item.past.contains(&token);
        if its { Ok(item) } else { Err(Refusal::OldToken) }
    }

    /// An item that has lost its owner, or has ended.
    fn lost(&self, fleet: &Fleet, key: &str, token: u64) -> Result<&Item, Refusal> {
        let item = self.item_of(key)?;
        // Guards against two that lead, or one that says it twice: the second finds another token.
        if item.token != token {
            return Err(Refusal::OldToken);
        }
        let owned = item.ended.is_none() && !item.is_orphan(fleet);
        if owned && !left_out(Mutant::TakesFromTheLiving) { Err(Refusal::Owned) } else { Ok(item) }
    }

    fn record(&mut self, key: &str, end: End) -> Outcome {
        self.ends += 1;
        let (number, at_ms) = (self.ends, self.clock_ms);
        self.change(key, |item| item.end(end.clone(), number, at_ms));
        Outcome::Known(end)
    }

    fn put(&mut self, item: Item) {
        self.touch(&item);
        self.index.add(&item);
        self.items.insert(item.offer.key.clone(), item);
    }

    fn remove(&mut self, key: &str) -> Option<Item> {
        let item = self.items.remove(key)?;
        self.index.remove(&item);
        self.touch(&item);
        Some(item)
    }

    fn change(&mut self, key: &str, change: impl FnOnce(&mut Item)) {
        if let Some(mut item) = self.remove(key) {
            change(&mut item);
            self.put(item);
        }
    }

    /// Those whom it concerns are shown something else.
    fn touch(&mut self, item: &Item) {
        self.changes += 1;
        for holder in item.waiters.iter().chain([&item.owner]) {
            match self.epochs.get_mut(holder) {
                Some(epoch) => *epoch = self.changes,
                None => drop(self.epochs.insert(holder.clone(), self.changes)),
            }
        }
    }

    /// Drops results that were told, the oldest first. What was done stays known as done.
    fn make_room(&mut self, bytes: usize) {
        while self.index.bytes + bytes > MAX_BYTES {
            let Some((_, key)) = self.index.told.first().cloned() else { return };
            self.change(&key, |item| {
                if let Some(ended) = &mut item.ended {
                    (ended.end, ended.dropped) = (End::Done(Vec::new()), true);
                }
            });
        }
    }

    /// What starts told that have gone is of no use.
    pub(crate) fn forget_gone(&mut self, fleet: &Fleet) {
        self.rooms.retain(|member, room| fleet.is_present(&Holder::new(member, room.incarnation)));
        let Index { owned, awaited, .. } = &self.index;
        self.epochs.retain(|holder, _| {
            fleet.is_present(holder) || owned.contains_key(holder) || awaited.contains_key(holder)
        });
    }
}

fn present(fleet: &Fleet, holder: &Holder) -> Result<(), Refusal> {
    if fleet.is_present(holder) { Ok(()) } else { Err(Refusal::NotPresent) }
}

#[cfg(test)]
mod tests;
