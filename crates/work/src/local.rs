//! The state machine of one process: the work that it offered for its clients, waits for or has taken over.
//! Its inputs are the results of its proposals, runs and queries; its outputs are the next [`Action`]s.
//! Nothing runs before a committed entry has begun it under this process's token, and no client receives an
//! outcome that is not committed.

use crate::bounds::{MAX_CLIENTS_PER_KEY, MAX_LOCAL_ITEMS, MAX_RETRIES, REOFFER_INTERVAL_MS};
use crate::entry::{
    AwaitedEnd, Effect, End, Entry, MemberView, Offer, Outcome, OwnedItem, Progress, Refusal,
};
use crate::mutants::{Mutant, is_active};
use jaspershunt_fleet::Holder;
use std::collections::BTreeMap;

/// What the caller of the state machine must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose this entry and pass its outcome to [`LocalWork::on_outcome`].
    Propose(Entry),
    /// Ask the resource what became of the key and pass the answer to [`LocalWork::on_query_result`].
    Query {
        /// The token to query with.
        token: u64,
        /// The work.
        offer: Offer,
    },
    /// Run the work and pass the result to [`LocalWork::on_run_result`].
    Run {
        /// The token to present to the resource.
        token: u64,
        /// The work.
        offer: Offer,
        /// The work was taken over, so this process may have no client for it.
        taken_over: bool,
    },
    /// The outcome is committed: send it to the clients that wait here, if any.
    Answer {
        /// The key.
        key: String,
        /// The outcome.
        end: End,
    },
    /// The offer was not recorded, and this process has not run it. Only with [`Refusal::Full`] and
    /// [`Refusal::TooLong`] has no other process recorded it: the operator's file then decides whether it is
    /// served without a successor.
    NotRecorded {
        /// The key.
        key: String,
        /// The reason.
        reason: Refusal,
    },
    /// The outcome is not known here, as another process may own the work by now. It is not served.
    OutcomeUnavailable {
        /// The key.
        key: String,
        /// The reason.
        reason: Refusal,
    },
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// It succeeded with this result.
    Done(Vec<u8>),
    /// It failed, and this call had no effect.
    Failed,
    /// The resource rejected the call because it has seen a higher token.
    StaleToken,
    /// The call was sent, and its answer was lost.
    AnswerLost,
    /// This process has not run it under this token, and will not.
    NeverRan,
    /// The run has ended with an unknown effect, and this process will not run it again.
    OutcomeUnknown,
}

/// The resource's answer to a query for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// The work was done, with this result.
    Done(Vec<u8>),
    /// The work was not done, and will not be under a lower token than the one queried with.
    NeverRan,
    /// The resource does not know, or cannot guarantee that no earlier call is still to come.
    CannotTell,
    /// No answer arrived.
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
    /// The incarnation that offered or owns it; the process may have rejoined the fleet as a later one since.
    holder: Holder,
    token: u64,
    /// It was taken over from another incarnation.
    taken_over: bool,
    /// It runs as soon as it is recorded.
    run_at_once: bool,
    step: Step,
    client_count: u32,
    /// The token under which a previous owner began it.
    earlier_run_token: Option<u64>,
    /// A copy of the offer may be committed without this process knowing.
    may_be_recorded: bool,
    /// Time of the latest offer, in Unix milliseconds.
    offered_at_ms: u64,
}

/// The in-flight work of one process.
#[derive(Clone, Debug)]
pub struct LocalWork {
    holder: Holder,
    items: BTreeMap<String, LocalItem>,
    actions: Vec<Action>,
}

/// Requests of clients.
impl LocalWork {
    /// Returns the state of an incarnation without any work.
    pub fn new(holder: Holder) -> LocalWork {
        LocalWork { holder, items: BTreeMap::new(), actions: Vec::new() }
    }

    /// Continues as another incarnation of the same member. Existing items stay with the earlier incarnation.
    pub fn set_holder(&mut self, holder: Holder) {
        self.holder = holder;
    }

    /// Returns the current incarnation.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Number of items that this process owns and whose outcome is not committed.
    pub fn in_flight(&self) -> usize {
        let has = |item: &&LocalItem| {
            !matches!(item.step, Step::Offering { .. } | Step::Waiting | Step::Answered(_))
        };
        self.items.values().filter(has).count()
    }

    /// Whether there is an item for the key.
    pub fn contains(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// Takes the actions that have accumulated since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether there are no items.
    pub fn is_idle(&self) -> bool {
        self.items.is_empty()
    }

    /// Handles a client's request; with `begin` it runs as soon as the offer is committed.
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

    /// Begins work that is recorded and not begun.
    pub fn begin_held(&mut self, key: &str) {
        if self.items.get(key).is_some_and(|item| item.step == Step::Held) {
            self.begin(key);
        }
    }

    /// Removes a client that no longer waits. Accepted work continues.
    pub fn client_left(&mut self, key: &str) {
        let Some(item) = self.items.get_mut(key) else { return };
        item.client_count = item.client_count.saturating_sub(1);
        if item.client_count == 0 && item.step == Step::Waiting {
            self.abandon(key, Refusal::Nothing);
        }
    }

    /// Handles timeouts. Recorded work that is past due ends as `NeverRan`. A wait for another owner's
    /// outcome is renewed. An offer past due without clients is abandoned: it has not run, and ends as
    /// `NeverRan` if it turns out to be recorded.
    pub fn tick(&mut self, now_ms: u64) {
        let is_unwanted = |item: &LocalItem| {
            let offering = matches!(item.step, Step::Offering { .. });
            offering && item.client_count == 0 && item.offer.due_ms <= now_ms
        };
        let unwanted = self.items.iter().filter(|(_, item)| is_unwanted(item)).map(|(key, _)| key.clone());
        for key in unwanted.collect::<Vec<_>>() {
            self.abandon(&key, Refusal::Late);
        }
        let is_overdue = |item: &LocalItem| {
            item.step == Step::Waiting && item.offered_at_ms + REOFFER_INTERVAL_MS <= now_ms
        };
        let overdue = self.items.iter().filter(|(_, item)| is_overdue(item)).map(|(key, _)| key.clone());
        for key in overdue.collect::<Vec<_>>() {
            self.wait_for_owner(&key, now_ms);
        }
        let is_late = |item: &LocalItem| item.step == Step::Held && item.offer.due_ms <= now_ms;
        let late = self.items.iter().filter(|(_, item)| is_late(item)).map(|(key, _)| key.clone());
        for key in late.collect::<Vec<_>>() {
            self.end(&key, End::NeverRan);
        }
    }
}

/// Inputs from the fleet.
impl LocalWork {
    /// Handles a new view of the replicated state.
    pub fn on_view(&mut self, view: &MemberView, now_ms: u64) {
        for AwaitedEnd { key, digest, end } in &view.ended {
            // Ignores a late outcome of an earlier use of the key.
            let waits = |item: &LocalItem| {
                let same = jaspershunt_keys::digest(&item.offer.class, &item.offer.body) == *digest;
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
                // The outcome of a pending offer arrives through `on_outcome`.
                _ if offering || !newer => {}
                // A copy of an offer was committed after this process had abandoned it: it has not run, and
                // will not.
                _ if !owned.taken_over && known.is_none() => self.reject_late_offer(owned, now_ms),
                _ if !owned.taken_over => {}
                Progress::Held => self.adopt(owned, None, now_ms),
                Progress::Begun { token } => self.adopt(owned, Some(*token), now_ms),
                Progress::Ended(_) => {}
            }
        }
    }

    /// Handles the outcome of a proposal; `None` if it is not known.
    pub fn on_outcome(&mut self, entry: &Entry, outcome: Option<&Outcome>, now_ms: u64) {
        let Some(outcome) = outcome else { return self.propose_again(entry) };
        match entry {
            Entry::Offer { offer, begin, .. } if self.is_offering(offer) => {
                self.on_offer_outcome(&offer.key, *begin, outcome);
            }
            Entry::Begin { key, token, .. } if self.at_step(key, *token, &Step::Beginning) => match outcome {
                Outcome::Yours { .. } => self.run(key, 0),
                Outcome::Known(end) => self.finish(key, end.clone()),
                Outcome::Refused(Refusal::MayHaveRun) => self.end(key, End::Unknown),
                _ => self.wait_for_owner(key, now_ms),
            },
            Entry::End { key, token, end, .. } if self.at_step(key, *token, &Step::Ending) => match outcome {
                Outcome::Known(first) => self.finish(key, first.clone()),
                Outcome::Refused(Refusal::MayHaveRun) if *end != End::Unknown => self.end(key, End::Unknown),
                _ => self.wait_for_owner(key, now_ms),
            },
            Entry::Answered { key, .. } => {
                self.items.retain(|known, item| known != key || !matches!(item.step, Step::Answered(_)));
            }
            _ => {}
        }
    }

    /// Notes that an entry was sent more than once before its outcome arrived. One copy of an offer may be
    /// refused and another committed later, once this incarnation is enrolled or there is space, so the
    /// refusal does not prove that nothing ran.
    pub fn on_resent(&mut self, entry: &Entry) {
        if let Entry::Offer { offer, .. } = entry
            && let Some(item) = self.items.get_mut(&offer.key)
            && !is_active(Mutant::OneCopyRefusedIsAll)
        {
            item.may_be_recorded = true;
        }
    }

    /// Proposes an entry again whose outcome is unknown. All proposals of a process are idempotent.
    fn propose_again(&mut self, entry: &Entry) {
        let wanted = match entry {
            Entry::Offer { offer, .. } => self.is_offering(offer),
            Entry::Begin { key, token, .. } => self.at_step(key, *token, &Step::Beginning),
            Entry::End { key, token, end, .. } => {
                self.at_step(key, *token, &Step::Ending) || matches!(end, End::Done(_))
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
                // No client waits for it any more.
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

    /// Ends a late copy of an offer as `NeverRan`. The item stays here until that is committed: a further
    /// client would otherwise own the recorded offer and run it under the token that is about to be recorded
    /// as `NeverRan`.
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
        // Clients of an earlier use of the key must not receive this outcome.
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

/// Inputs from the resource.
impl LocalWork {
    /// Handles the result of a run under this token.
    pub fn on_run_result(&mut self, key: &str, token: u64, result: RunResult) {
        let Some(item) = self.items.get(key) else { return };
        let retries = match item.step {
            Step::Running { retries } if item.token == token || is_active(Mutant::HeirDoesNotFence) => {
                retries
            }
            // A success is final, even if this process has lost the work meanwhile.
            _ => {
                if let RunResult::Done(output) = result {
                    self.propose_end(key, token, End::Done(output));
                }
                return;
            }
        };
        match (result, item.offer.effect) {
            (RunResult::Done(result), _) => self.end(key, End::Done(result)),
            // An earlier call may still take effect.
            (RunResult::Failed, _) if retries > 0 => self.end(key, End::Unknown),
            (RunResult::Failed, _) => self.end(key, End::Failed),
            (RunResult::StaleToken, _) => {
                let offered_at_ms = item.offered_at_ms;
                self.wait_for_owner(key, offered_at_ms);
            }
            // A successor cannot vouch for the previous owner, whose call may still take effect.
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

    /// Handles the resource's answer to a query.
    pub fn on_query_result(&mut self, key: &str, token: u64, result: QueryResult, now_ms: u64) {
        let Some(item) = self.items.get(key).filter(|item| item.token == token) else { return };
        let Step::Querying { retries, run_sent } = item.step else { return };
        match result {
            QueryResult::Done(result) => self.end(key, End::Done(result)),
            // The answer covers only lower tokens; a call under this one may still be on its way.
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

/// Transitions between steps.
impl LocalWork {
    fn at_step(&self, key: &str, token: u64, step: &Step) -> bool {
        self.items.get(key).is_some_and(|item| item.token == token && item.step == *step)
    }

    /// Whether this very offer is pending; another one belongs to an earlier use of the key.
    fn is_offering(&self, offer: &Offer) -> bool {
        let offering = |item: &LocalItem| matches!(item.step, Step::Offering { .. }) && item.offer == *offer;
        self.items.get(&offer.key).is_some_and(offering)
    }

    /// Returns the incarnation in whose name entries of a key are proposed.
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
        // The log refuses a result that is too long. The work may have had its effect, so it ends as unknown,
        // not failed.
        let end = if end.check().is_ok() { end } else { End::Unknown };
        let (key, by) = (key.to_string(), self.holder_of(key));
        self.actions.push(Action::Propose(Entry::End { key, by, token, end }));
    }

    /// Handles a committed outcome: answers the clients here and reports to the fleet that they were
    /// answered.
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

    /// Removes an item without clients. The action releases a run of it that still waits for the outcome.
    fn abandon(&mut self, key: &str, reason: Refusal) {
        if self.items.remove(key).is_some() {
            self.actions.push(Action::OutcomeUnavailable { key: key.to_string(), reason });
        }
    }

    /// Removes an item whose offer was refused. Clients are told that it was not recorded only if no copy of
    /// it can be.
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

    /// Offers work again that another process owns by now, so that the clients here wait for its outcome.
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
