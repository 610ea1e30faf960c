//! One process's side: what it offered for its clients, what it waits for, and what it has taken over. Told what came of its
//! proposals, runs and questions, it says what to do next. Nothing is run before the log has it begun under this process's
//! token, and nobody is told an outcome that the log has not.

use crate::bounds::{MAX_CLIENTS_PER_KEY, MAX_LOCAL_ITEMS, MAX_RETRIES, REOFFER_INTERVAL_MS};
use crate::entry::{
    AwaitedEnd, Effect, End, Entry, MemberView, Offer, Outcome, OwnedItem, Progress, Refusal,
};
use crate::mutants::{Mutant, is_active};
use jaspershunt_fleet::Holder;
use std::collections::BTreeMap;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Have this agreed, and say through [`Own::agreed`] what came of it.
    Propose(Entry),
    /// Ask the resource what became of it.
    Query {
        /// The token to ask with.
        token: u64,
        /// What is asked for.
        offer: Offer,
    },
    /// Run it.
    Run {
        /// The token to show.
        token: u64,
        /// What to run.
        offer: Offer,
        /// It was another's, and no client of this process need be there.
        taken_over: bool,
    },
    /// Its outcome is agreed: tell the clients that wait here, if any do.
    Answer {
        /// The key.
        key: String,
        /// Its outcome.
        end: End,
    },
    /// It is not held, and this process has not run it. Only after [`Refusal::Full`] and [`Refusal::TooLong`] does nobody else
    /// have it: whether it is then served without a heir is for the operator's file.
    NotRecorded {
        /// The key.
        key: String,
        /// Why.
        reason: Refusal,
    },
    /// What became of it cannot be told here: it may be another's by now. It is not served.
    OutcomeUnavailable {
        /// The key.
        key: String,
        /// Why.
        reason: Refusal,
    },
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// Its result.
    Done(Vec<u8>),
    /// It failed, and this call has had no effect.
    Failed,
    /// The resource has seen a higher token.
    StaleToken,
    /// The call was sent, and its answer is lost.
    AnswerLost,
    /// This process has not run it under this token, and will not.
    NeverRan,
    /// It is over, what it did is not known, and this process does not run it again.
    OutcomeUnknown,
}

/// What the resource said of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// It was done, with this result.
    Done(Vec<u8>),
    /// It was not, and will not be under a lower token than the one asked with.
    NeverRan,
    /// It cannot tell, or cannot promise.
    CannotTell,
    /// There was no answer.
    AnswerLost,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Offering { begin: bool },
    Waiting,
    Held,
    Beginning,
    Querying { retries: u32, run_sent: bool },
    Running { retries: u32 },
    Ending,
    Answered(End),
}

#[derive(Clone, Debug)]
struct LocalItem {
    offer: Offer,
    /// The start that has it: a process that begins again in its fleet has other ones after it.
    holder: Holder,
    token: u64,
    /// It was another's.
    taken_over: bool,
    /// A client would have it run as soon as it may be.
    run_at_once: bool,
    step: Step,
    client_count: u32,
    /// Under which token the one before began it.
    earlier_run_token: Option<u64>,
    /// An offer of it may be agreed of which this process has not heard.
    may_be_recorded: bool,
    /// When it was asked for last.
    offered_at_ms: u64,
}

/// One process's side.
#[derive(Clone, Debug)]
pub struct LocalWork {
    holder: Holder,
    items: BTreeMap<String, LocalItem>,
    actions: Vec<Action>,
}

/// What a client wants.
impl LocalWork {
    /// A start that has nothing yet.
    pub fn new(holder: Holder) -> LocalWork {
        LocalWork { holder, items: BTreeMap::new(), actions: Vec::new() }
    }

    /// This process is another start of its member from here on. What it had stays its earlier start's.
    pub fn set_holder(&mut self, holder: Holder) {
        self.holder = holder;
    }

    /// The start that it is by now.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// How much work is this process's, and has no agreed end.
    pub fn in_flight(&self) -> usize {
        let has = |item: &&LocalItem| {
            !matches!(item.step, Step::Offering { .. } | Step::Waiting | Step::Answered(_))
        };
        self.items.values().filter(has).count()
    }

    /// Whether anything of a key is under way here.
    pub fn contains(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// What is to be done since it was asked last.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether nothing is under way here.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty()
    }

    /// A client asks for work; `begin` if it would be run at once.
    pub fn offer(&mut self, offer: Offer, begin: bool, now_ms: u64) -> Result<(), Refusal> {
        offer.check()?;
        if let Some(item) = self.items.get_mut(&offer.key) {
            let known = &item.offer;
            let same =
                (&known.class, &known.tenant, &known.body) == (&offer.class, &offer.tenant, &offer.body);
            if !same && !is_active(Mutant::OtherBodyIsARepeat) {
                return Err(Refusal::OtherBody);
            }
            if let Step::Answered(end) = &item.step {
                self.actions.push(Action::Answer { key: offer.key, end: end.clone() });
                return Ok(());
            }
            if item.client_count >= MAX_CLIENTS_PER_KEY {
                return Err(Refusal::Full);
            }
            item.client_count += 1;
            return Ok(());
        }
        if self.items.len() >= MAX_LOCAL_ITEMS {
            return Err(Refusal::Full);
        }
        if is_active(Mutant::RunsBeforeHeld) && begin {
            self.actions.push(Action::Run { token: 0, offer: offer.clone(), taken_over: false });
        }
        let (by, key) = (self.holder.clone(), offer.key.clone());
        let proposed = Entry::Offer { by: by.clone(), offer: offer.clone(), begin, now_ms };
        self.actions.push(Action::Propose(proposed));
        let item = LocalItem {
            offer,
            holder: by,
            token: 0,
            taken_over: false,
            run_at_once: begin,
            step: Step::Offering { begin },
            client_count: 1,
            earlier_run_token: None,
            may_be_recorded: false,
            offered_at_ms: now_ms,
        };
        self.items.insert(key, item);
        Ok(())
    }

    /// Work that is held would run now.
    pub fn begin_held(&mut self, key: &str) {
        if self.items.get(key).is_some_and(|item| item.step == Step::Held) {
            self.begin(key);
        }
    }

    /// A client does not wait any more. The work goes on: it was accepted.
    pub fn client_left(&mut self, key: &str) {
        let Some(item) = self.items.get_mut(key) else { return };
        item.client_count = item.client_count.saturating_sub(1);
        if item.client_count == 0 && item.step == Step::Waiting {
            self.abandon(key, Refusal::Nothing);
        }
    }

    /// What is held and due is not run any more, what is long waited for is asked for again, and an offer that is due is given up
    /// where nobody waits: it has not run, and says so if it turns out to be held.
    pub fn tick(&mut self, now_ms: u64) {
        let nobody = |item: &LocalItem| {
            let offering = matches!(item.step, Step::Offering { .. });
            offering && item.client_count == 0 && item.offer.due_ms <= now_ms
        };
        let over = self.items.iter().filter(|(_, item)| nobody(item)).map(|(key, _)| key.clone());
        for key in over.collect::<Vec<_>>() {
            self.abandon(&key, Refusal::Late);
        }
        let waits = |item: &LocalItem| {
            item.step == Step::Waiting && item.offered_at_ms + REOFFER_INTERVAL_MS <= now_ms
        };
        let long = self.items.iter().filter(|(_, item)| waits(item)).map(|(key, _)| key.clone());
        for key in long.collect::<Vec<_>>() {
            self.wait_for_owner(&key, now_ms);
        }
        let due = |item: &LocalItem| item.step == Step::Held && item.offer.due_ms <= now_ms;
        let late = self.items.iter().filter(|(_, item)| due(item)).map(|(key, _)| key.clone());
        for key in late.collect::<Vec<_>>() {
            self.end(&key, End::NeverRan);
        }
    }
}

/// What is agreed.
impl LocalWork {
    /// What the fleet shows this process.
    pub fn on_view(&mut self, view: &MemberView, now_ms: u64) {
        for AwaitedEnd { key, digest, end } in &view.ended {
            // Guards against the outcome of an earlier use of the key, shown late.
            let waits = |item: &LocalItem| {
                let same = jaspershunt_keys::print(&item.offer.class, &item.offer.body) == *digest;
                same && item.step == Step::Waiting
            };
            if self.items.get(key).is_none_or(waits) {
                self.finish(key, end.clone());
            }
        }
        for owned in &view.owned {
            let known = self.items.get(&owned.key).map(|item| item.token);
            let offering = |item: &LocalItem| matches!(item.step, Step::Offering { .. });
            let offering = self.items.get(&owned.key).is_some_and(offering);
            let newer = known.is_none_or(|known| known < owned.token);
            match &owned.state {
                Progress::Ended(end) if known.is_none_or(|known| known == owned.token) => {
                    self.finish(&owned.key, end.clone());
                }
                // What came of an offer is heard by its own answer.
                _ if offering || !newer => {}
                // A copy of an offer was agreed after this process had stopped to ask: it has not run, and will not.
                _ if !owned.taken_over && known.is_none() => self.reject_late_offer(owned, now_ms),
                _ if !owned.taken_over => {}
                Progress::Held => self.adopt(owned, None, now_ms),
                Progress::Begun { token } => self.adopt(owned, Some(*token), now_ms),
                Progress::Ended(_) => {}
            }
        }
    }

    /// What came of a proposal; `None` if nobody knows.
    pub fn on_outcome(&mut self, entry: &Entry, outcome: Option<&Outcome>, now_ms: u64) {
        let Some(outcome) = outcome else { return self.propose_again(entry) };
        match entry {
            Entry::Offer { offer, begin, .. } if self.is_offering(offer) => {
                self.on_offer_outcome(&offer.key, *begin, outcome);
            }
            Entry::Begin { key, token, .. } if self.is_in_step(key, *token, &Step::Beginning) => {
                match outcome {
                    Outcome::Yours { .. } => self.run(key, 0),
                    Outcome::Known(end) => self.finish(key, end.clone()),
                    Outcome::Refused(Refusal::MayHaveRun) => self.end(key, End::Unknown),
                    _ => self.wait_for_owner(key, now_ms),
                }
            }
            Entry::End { key, token, end, .. } if self.is_in_step(key, *token, &Step::Ending) => {
                match outcome {
                    Outcome::Known(first) => self.finish(key, first.clone()),
                    Outcome::Refused(Refusal::MayHaveRun) if *end != End::Unknown => {
                        self.end(key, End::Unknown)
                    }
                    _ => self.wait_for_owner(key, now_ms),
                }
            }
            Entry::Answered { key, .. } => {
                self.items.retain(|known, item| known != key || !matches!(item.step, Step::Answered(_)));
            }
            _ => {}
        }
    }

    /// An entry was said more than once before its outcome came. Guards against a client that is told that nothing ran by the refusal of
    /// one copy of its offer, while another is agreed later: as this start is enrolled by then, or there is room.
    pub fn on_resent(&mut self, entry: &Entry) {
        if let Entry::Offer { offer, .. } = entry
            && let Some(item) = self.items.get_mut(&offer.key)
            && !is_active(Mutant::OneCopyRefusedIsAll)
        {
            item.may_be_recorded = true;
        }
    }

    /// Each of a process's proposals may be made twice.
    fn propose_again(&mut self, entry: &Entry) {
        let wanted = match entry {
            Entry::Offer { offer, .. } => self.is_offering(offer),
            Entry::Begin { key, token, .. } => self.is_in_step(key, *token, &Step::Beginning),
            Entry::End { key, token, end, .. } => {
                self.is_in_step(key, *token, &Step::Ending) || matches!(end, End::Done(_))
            }
            Entry::Answered { .. } => true,
            _ => false,
        };
        self.on_resent(entry);
        if wanted {
            self.actions.push(Action::Propose(entry.clone()));
        }
    }

    fn on_offer_outcome(&mut self, key: &str, begin: bool, outcome: &Outcome) {
        let Some(item) = self.items.get_mut(key) else { return };
        match outcome {
            Outcome::Yours { token } => {
                item.token = *token;
                item.step = Step::Held;
                // Nobody waits for it any more.
                if begin && item.client_count == 0 {
                    self.end(key, End::NeverRan);
                } else if begin {
                    self.run(key, 0);
                } else if item.run_at_once {
                    self.begin(key);
                }
            }
            Outcome::Waits => item.step = Step::Waiting,
            Outcome::Known(end) => self.finish(key, end.clone()),
            Outcome::Refused(reason) => self.reject(key, *reason),
            Outcome::Done => {}
        }
    }

    /// Guards against a further client here, who would be told that it is this process's, and have it run under the token of which it is
    /// said that it never ran: it waits for that word.
    fn reject_late_offer(&mut self, owned: &OwnedItem, now_ms: u64) {
        if is_active(Mutant::TurnsAwayAndRuns) {
            return self.propose_end(&owned.key, owned.token, End::NeverRan);
        }
        if self.items.len() < MAX_LOCAL_ITEMS {
            let item = LocalItem {
                offer: owned.offer.clone(),
                holder: self.holder.clone(),
                token: owned.token,
                taken_over: false,
                run_at_once: false,
                step: Step::Held,
                client_count: 0,
                earlier_run_token: None,
                may_be_recorded: true,
                offered_at_ms: now_ms,
            };
            self.items.insert(owned.key.clone(), item);
            self.end(&owned.key, End::NeverRan);
        }
    }

    fn adopt(&mut self, owned: &OwnedItem, earlier_run_token: Option<u64>, now_ms: u64) {
        // Guards against clients of an earlier use of the key, who would be told this one's outcome.
        if self.items.get(&owned.key).is_some_and(|item| item.offer.body != owned.offer.body) {
            self.reject(&owned.key, Refusal::Late);
        }
        let client_count = self.items.get(&owned.key).map_or(0, |item| item.client_count);
        let (offer, token) = (owned.offer.clone(), owned.token);
        let (effect, late) = (offer.effect, offer.due_ms <= now_ms);
        let key = &owned.key;
        self.items.insert(
            key.clone(),
            LocalItem {
                offer,
                holder: self.holder.clone(),
                token,
                taken_over: true,
                run_at_once: true,
                step: Step::Held,
                client_count,
                earlier_run_token,
                may_be_recorded: true,
                offered_at_ms: now_ms,
            },
        );
        let begun = earlier_run_token.is_some() && !is_active(Mutant::BegunCountsAsHeld);
        match (begun, effect) {
            (false, _) if late => self.end(key, End::NeverRan),
            (false, _) => self.begin(key),
            (true, Effect::Asks) => self.query(key, 0, earlier_run_token == Some(token)),
            (true, Effect::Fenced) if !late => self.begin(key),
            (true, Effect::Fenced | Effect::Unknown) => self.end(key, End::Unknown),
        }
    }
}

/// What the resource says.
impl LocalWork {
    /// What came of a run under this token.
    pub fn on_run_result(&mut self, key: &str, token: u64, result: RunResult) {
        let Some(item) = self.items.get(key) else { return };
        let retries = match item.step {
            Step::Running { retries } if item.token == token || is_active(Mutant::HeirDoesNotFence) => {
                retries
            }
            // That it was done is a fact, also when this process has lost it meanwhile.
            _ => {
                if let RunResult::Done(output) = result {
                    self.propose_end(key, token, End::Done(output));
                }
                return;
            }
        };
        match (result, item.offer.effect) {
            (RunResult::Done(result), _) => self.end(key, End::Done(result)),
            // A try before it may still have its effect.
            (RunResult::Failed, _) if retries > 0 => self.end(key, End::Unknown),
            (RunResult::Failed, _) => self.end(key, End::Failed),
            (RunResult::StaleToken, _) => {
                let offered_at_ms = item.offered_at_ms;
                self.wait_for_owner(key, offered_at_ms);
            }
            // Guards against an heir that answers for the one before it: that one's call may have its effect yet.
            (RunResult::NeverRan, effect) => {
                let alone = item.earlier_run_token.is_none() || effect == Effect::Asks;
                let never = retries == 0 && (alone || is_active(Mutant::HeirAnswersForAll));
                self.end(key, if never { End::NeverRan } else { End::Unknown });
            }
            (RunResult::AnswerLost | RunResult::OutcomeUnknown, Effect::Asks) => self.query(key, 0, true),
            (RunResult::AnswerLost, Effect::Fenced) if retries < MAX_RETRIES => self.run(key, retries + 1),
            (RunResult::AnswerLost | RunResult::OutcomeUnknown, _) => self.end(key, End::Unknown),
        }
    }

    /// What the resource said of a key.
    pub fn on_query_result(&mut self, key: &str, token: u64, result: QueryResult, now_ms: u64) {
        let Some(item) = self.items.get(key).filter(|item| item.token == token) else { return };
        let Step::Querying { retries, run_sent } = item.step else { return };
        match result {
            QueryResult::Done(result) => self.end(key, End::Done(result)),
            // Guards against a run of this token that is still on its way: the answer speaks of lower ones.
            QueryResult::NeverRan if run_sent && !is_active(Mutant::TrustsOwnCall) => {
                self.end(key, End::Unknown)
            }
            QueryResult::NeverRan if item.offer.due_ms <= now_ms => self.end(key, End::Failed),
            QueryResult::NeverRan => self.begin(key),
            QueryResult::AnswerLost if retries < MAX_RETRIES => self.query(key, retries + 1, run_sent),
            QueryResult::CannotTell | QueryResult::AnswerLost => self.end(key, End::Unknown),
        }
    }
}

/// Steps.
impl LocalWork {
    fn is_in_step(&self, key: &str, token: u64, step: &Step) -> bool {
        self.items.get(key).is_some_and(|item| item.token == token && item.step == *step)
    }

    /// Guards against what came of an earlier use of the key.
    fn is_offering(&self, offer: &Offer) -> bool {
        let offering = |item: &LocalItem| matches!(item.step, Step::Offering { .. }) && item.offer == *offer;
        self.items.get(&offer.key).is_some_and(offering)
    }

    /// The start that has a key, or had it.
    fn holder_of(&self, key: &str) -> Holder {
        self.items.get(key).map_or_else(|| self.holder.clone(), |item| item.holder.clone())
    }

    fn enter_step(&mut self, key: &str, step: Step) -> Option<(u64, Offer)> {
        let item = self.items.get_mut(key)?;
        item.step = step;
        Some((item.token, item.offer.clone()))
    }

    fn begin(&mut self, key: &str) {
        let Some((token, _)) = self.enter_step(key, Step::Beginning) else { return };
        let (key, by) = (key.to_string(), self.holder_of(key));
        self.actions.push(Action::Propose(Entry::Begin { key, by, token }));
    }

    fn run(&mut self, key: &str, retries: u32) {
        let Some((token, offer)) = self.enter_step(key, Step::Running { retries }) else { return };
        let item = self.items.get(key);
        let (old, taken_over) =
            (item.and_then(|item| item.earlier_run_token), item.is_some_and(|item| item.taken_over));
        let token = if is_active(Mutant::HeirDoesNotFence) { old.unwrap_or(token) } else { token };
        self.actions.push(Action::Run { token, offer, taken_over });
    }

    fn query(&mut self, key: &str, retries: u32, run_sent: bool) {
        let Some((token, offer)) = self.enter_step(key, Step::Querying { retries, run_sent }) else { return };
        self.actions.push(Action::Query { token, offer });
    }

    fn end(&mut self, key: &str, end: End) {
        let Some((token, _)) = self.enter_step(key, Step::Ending) else { return };
        if is_active(Mutant::AnswersBeforeAgreed)
            && let Some(item) = self.items.get_mut(key)
            && std::mem::take(&mut item.client_count) > 0
        {
            self.actions.push(Action::Answer { key: key.to_string(), end: end.clone() });
        }
        self.propose_end(key, token, end);
    }

    fn propose_end(&mut self, key: &str, token: u64, end: End) {
        // Guards against a result that the log refuses, and work that has had its effect being taken for work that has not.
        let end = if end.check().is_ok() { end } else { End::Unknown };
        let (key, by) = (key.to_string(), self.holder_of(key));
        self.actions.push(Action::Propose(Entry::End { key, by, token, end }));
    }

    /// The outcome is agreed: who waits here is told, and the fleet that they were.
    fn finish(&mut self, key: &str, end: End) {
        if let Some(item) = self.items.get_mut(key) {
            if matches!(item.step, Step::Answered(_)) {
                return;
            }
            item.client_count = 0;
            item.step = Step::Answered(end.clone());
            self.actions.push(Action::Answer { key: key.to_string(), end });
        }
        let (key, by) = (key.to_string(), self.holder_of(key));
        self.actions.push(Action::Propose(Entry::Answered { key, by }));
    }

    /// Nobody waits for it here. Guards against a run of it, over by now, that waits for its end for ever.
    fn abandon(&mut self, key: &str, reason: Refusal) {
        if self.items.remove(key).is_some() {
            self.actions.push(Action::OutcomeUnavailable { key: key.to_string(), reason });
        }
    }

    fn reject(&mut self, key: &str, reason: Refusal) {
        if let Some(item) = self.items.remove(key)
            && item.client_count > 0
        {
            let key = key.to_string();
            let known = item.may_be_recorded || item.token > 0;
            self.actions.push(if known {
                Action::OutcomeUnavailable { key, reason }
            } else {
                Action::NotRecorded { key, reason }
            });
        }
    }

    /// Another has it by now. Clients that wait here hear of the end as those of a repeat do.
    fn wait_for_owner(&mut self, key: &str, now_ms: u64) {
        let Some((_, offer)) = self.enter_step(key, Step::Offering { begin: false }) else { return };
        if self.items.get(key).is_some_and(|item| item.client_count == 0) {
            return self.abandon(key, Refusal::OldToken);
        }
        let by = self.holder.clone();
        if let Some(item) = self.items.get_mut(key) {
            (item.offered_at_ms, item.may_be_recorded, item.holder) = (now_ms, true, by);
        }
        let by = self.holder.clone();
        self.actions.push(Action::Propose(Entry::Offer { by, offer, begin: false, now_ms }));
    }
}

#[cfg(test)]
mod tests;
