//! One process's side: what it offered for its clients, what it waits for, and what it has taken over. Told what came of its
//! proposals, runs and questions, it says what to do next. Nothing is run before the log has it begun under this process's
//! token, and nobody is told an outcome that the log has not.

use crate::bounds::{ASK_AGAIN_MS, MAX_CLIENTS, MAX_OURS, MAX_TRIES};
use crate::entry::{Effect, End, Entry, Heard, Mine, Offer, Outcome, Refusal, Seen, State};
use crate::mutants::{Mutant, left_out};
use jaspershunt_fleet::Holder;
use std::collections::BTreeMap;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Have this agreed, and say through [`Own::agreed`] what came of it.
    Propose(Entry),
    /// Ask the resource what became of it.
    Ask {
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
        taken: bool,
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
    NotHeld {
        /// The key.
        key: String,
        /// Why.
        why: Refusal,
    },
    /// What became of it cannot be told here: it may be another's by now. It is not served.
    NoAnswer {
        /// The key.
        key: String,
        /// Why.
        why: Refusal,
    },
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ran {
    /// Its result.
    Done(Vec<u8>),
    /// It failed, and this call has had no effect.
    Failed,
    /// The resource has seen a higher token.
    TurnedAway,
    /// The call was sent, and its answer is lost.
    Unclear,
    /// This process has not run it under this token, and will not.
    NeverRan,
    /// It is over, what it did is not known, and this process does not run it again.
    Over,
}

/// What the resource said of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// It was done, with this result.
    Done(Vec<u8>),
    /// It was not, and will not be under a lower token than the one asked with.
    NeverRan,
    /// It cannot tell, or cannot promise.
    CannotTell,
    /// There was no answer.
    Unclear,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Offering { begin: bool },
    Waiting,
    Held,
    Beginning,
    Asking { tries: u32, ran: bool },
    Running { tries: u32 },
    Ending,
    Told(End),
}

#[derive(Clone, Debug)]
struct Ours {
    offer: Offer,
    /// The start that has it: a process that begins again in its fleet has other ones after it.
    by: Holder,
    token: u64,
    /// It was another's.
    taken: bool,
    /// A client would have it run as soon as it may be.
    eager: bool,
    step: Step,
    clients: u32,
    /// Under which token the one before began it.
    before: Option<u64>,
    /// An offer of it may be agreed of which this process has not heard.
    unheard: bool,
    /// When it was asked for last.
    asked_ms: u64,
}

/// One process's side.
#[derive(Clone, Debug)]
pub struct Own {
    me: Holder,
    ours: BTreeMap<String, Ours>,
    actions: Vec<Action>,
}

/// What a client wants.
impl Own {
    /// A start that has nothing yet.
    pub fn new(me: Holder) -> Own {
        Own { me, ours: BTreeMap::new(), actions: Vec::new() }
    }

    /// This process is another start of its member from here on. What it had stays its earlier start's.
    pub fn begins_again(&mut self, me: Holder) {
        self.me = me;
    }

    /// The start that it is by now.
    pub fn me(&self) -> &Holder {
        &self.me
    }

    /// How much work is this process's, and has no agreed end.
    pub fn in_hand(&self) -> usize {
        let has = |ours: &&Ours| !matches!(ours.step, Step::Offering { .. } | Step::Waiting | Step::Told(_));
        self.ours.values().filter(has).count()
    }

    /// Whether anything of a key is under way here.
    pub fn has(&self, key: &str) -> bool {
        self.ours.contains_key(key)
    }

    /// What is to be done since it was asked last.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether nothing is under way here.
    pub fn is_idle(&self) -> bool {
        self.ours.is_empty()
    }

    /// A client asks for work; `begin` if it would be run at once.
    pub fn offer(&mut self, offer: Offer, begin: bool, now_ms: u64) -> Result<(), Refusal> {
        offer.check()?;
        if let Some(ours) = self.ours.get_mut(&offer.key) {
            let known = &ours.offer;
            let same =
                (&known.class, &known.tenant, &known.body) == (&offer.class, &offer.tenant, &offer.body);
            if !same && !left_out(Mutant::OtherBodyIsARepeat) {
                return Err(Refusal::OtherBody);
            }
            if let Step::Told(end) = &ours.step {
                self.actions.push(Action::Answer { key: offer.key, end: end.clone() });
                return Ok(());
            }
            if ours.clients >= MAX_CLIENTS {
                return Err(Refusal::Full);
            }
            ours.clients += 1;
            return Ok(());
        }
        if self.ours.len() >= MAX_OURS {
            return Err(Refusal::Full);
        }
        if left_out(Mutant::RunsBeforeHeld) && begin {
            self.actions.push(Action::Run { token: 0, offer: offer.clone(), taken: false });
        }
        let (by, key) = (self.me.clone(), offer.key.clone());
        let proposed = Entry::Offer { by: by.clone(), offer: offer.clone(), begin, now_ms };
        self.actions.push(Action::Propose(proposed));
        let ours = Ours {
            offer,
            by,
            token: 0,
            taken: false,
            eager: begin,
            step: Step::Offering { begin },
            clients: 1,
            before: None,
            unheard: false,
            asked_ms: now_ms,
        };
        self.ours.insert(key, ours);
        Ok(())
    }

    /// Work that is held would run now.
    pub fn start(&mut self, key: &str) {
        if self.ours.get(key).is_some_and(|ours| ours.step == Step::Held) {
            self.begin(key);
        }
    }

    /// A client does not wait any more. The work goes on: it was accepted.
    pub fn gave_up(&mut self, key: &str) {
        let Some(ours) = self.ours.get_mut(key) else { return };
        ours.clients = ours.clients.saturating_sub(1);
        if ours.clients == 0 && ours.step == Step::Waiting {
            self.let_go(key, Refusal::Nothing);
        }
    }

    /// What is held and due is not run any more, what is long waited for is asked for again, and an offer that is due is given up
    /// where nobody waits: it has not run, and says so if it turns out to be held.
    pub fn tick(&mut self, now_ms: u64) {
        let nobody = |ours: &Ours| {
            let offering = matches!(ours.step, Step::Offering { .. });
            offering && ours.clients == 0 && ours.offer.due_ms <= now_ms
        };
        let over = self.ours.iter().filter(|(_, ours)| nobody(ours)).map(|(key, _)| key.clone());
        for key in over.collect::<Vec<_>>() {
            self.let_go(&key, Refusal::Late);
        }
        let waits = |ours: &Ours| ours.step == Step::Waiting && ours.asked_ms + ASK_AGAIN_MS <= now_ms;
        let long = self.ours.iter().filter(|(_, ours)| waits(ours)).map(|(key, _)| key.clone());
        for key in long.collect::<Vec<_>>() {
            self.not_mine(&key, now_ms);
        }
        let due = |ours: &Ours| ours.step == Step::Held && ours.offer.due_ms <= now_ms;
        let late = self.ours.iter().filter(|(_, ours)| due(ours)).map(|(key, _)| key.clone());
        for key in late.collect::<Vec<_>>() {
            self.end(&key, End::NeverRan);
        }
    }
}

/// What is agreed.
impl Own {
    /// What the fleet shows this process.
    pub fn seen(&mut self, seen: &Seen, now_ms: u64) {
        for Heard { key, print, end } in &seen.ended {
            // Guards against the outcome of an earlier use of the key, shown late.
            let waits = |ours: &Ours| {
                let same = jaspershunt_keys::digest(&ours.offer.class, &ours.offer.body) == *print;
                same && ours.step == Step::Waiting
            };
            if self.ours.get(key).is_none_or(waits) {
                self.finish(key, end.clone());
            }
        }
        for mine in &seen.mine {
            let known = self.ours.get(&mine.key).map(|ours| ours.token);
            let offering = |ours: &Ours| matches!(ours.step, Step::Offering { .. });
            let offering = self.ours.get(&mine.key).is_some_and(offering);
            let newer = known.is_none_or(|known| known < mine.token);
            match &mine.state {
                State::Ended(end) if known.is_none_or(|known| known == mine.token) => {
                    self.finish(&mine.key, end.clone());
                }
                // What came of an offer is heard by its own answer.
                _ if offering || !newer => {}
                // A copy of an offer was agreed after this process had stopped to ask: it has not run, and will not.
                _ if !mine.taken && known.is_none() => self.turn_away(mine, now_ms),
                _ if !mine.taken => {}
                State::Held => self.adopt(mine, None, now_ms),
                State::Begun { token } => self.adopt(mine, Some(*token), now_ms),
                State::Ended(_) => {}
            }
        }
    }

    /// What came of a proposal; `None` if nobody knows.
    pub fn agreed(&mut self, entry: &Entry, outcome: Option<&Outcome>, now_ms: u64) {
        let Some(outcome) = outcome else { return self.again(entry) };
        match entry {
            Entry::Offer { offer, begin, .. } if self.is_offering(offer) => {
                self.offered(&offer.key, *begin, outcome);
            }
            Entry::Begin { key, token, .. } if self.is_at(key, *token, &Step::Beginning) => match outcome {
                Outcome::Yours { .. } => self.run(key, 0),
                Outcome::Known(end) => self.finish(key, end.clone()),
                Outcome::Refused(Refusal::MayHaveRun) => self.end(key, End::Unknown),
                _ => self.not_mine(key, now_ms),
            },
            Entry::End { key, token, end, .. } if self.is_at(key, *token, &Step::Ending) => match outcome {
                Outcome::Known(first) => self.finish(key, first.clone()),
                Outcome::Refused(Refusal::MayHaveRun) if *end != End::Unknown => self.end(key, End::Unknown),
                _ => self.not_mine(key, now_ms),
            },
            Entry::Answered { key, .. } => {
                self.ours.retain(|known, ours| known != key || !matches!(ours.step, Step::Told(_)));
            }
            _ => {}
        }
    }

    /// An entry was said more than once before its outcome came. Guards against a client that is told that nothing ran by the refusal of
    /// one copy of its offer, while another is agreed later: as this start is enrolled by then, or there is room.
    pub fn said_again(&mut self, entry: &Entry) {
        if let Entry::Offer { offer, .. } = entry
            && let Some(ours) = self.ours.get_mut(&offer.key)
            && !left_out(Mutant::OneCopyRefusedIsAll)
        {
            ours.unheard = true;
        }
    }

    /// Each of a process's proposals may be made twice.
    fn again(&mut self, entry: &Entry) {
        let wanted = match entry {
            Entry::Offer { offer, .. } => self.is_offering(offer),
            Entry::Begin { key, token, .. } => self.is_at(key, *token, &Step::Beginning),
            Entry::End { key, token, end, .. } => {
                self.is_at(key, *token, &Step::Ending) || matches!(end, End::Done(_))
            }
            Entry::Answered { .. } => true,
            _ => false,
        };
        self.said_again(entry);
        if wanted {
            self.actions.push(Action::Propose(entry.clone()));
        }
    }

    fn offered(&mut self, key: &str, begin: bool, outcome: &Outcome) {
        let Some(ours) = self.ours.get_mut(key) else { return };
        match outcome {
            Outcome::Yours { token } => {
                ours.token = *token;
                ours.step = Step::Held;
                // Nobody waits for it any more.
                if begin && ours.clients == 0 {
                    self.end(key, End::NeverRan);
                } else if begin {
                    self.run(key, 0);
                } else if ours.eager {
                    self.begin(key);
                }
            }
            Outcome::Waits => ours.step = Step::Waiting,
            Outcome::Known(end) => self.finish(key, end.clone()),
            Outcome::Refused(why) => self.not_held(key, *why),
            Outcome::Done => {}
        }
    }

    /// Guards against a further client here, who would be told that it is this process's, and have it run under the token of which it is
    /// said that it never ran: it waits for that word.
    fn turn_away(&mut self, mine: &Mine, now_ms: u64) {
        if left_out(Mutant::TurnsAwayAndRuns) {
            return self.propose_end(&mine.key, mine.token, End::NeverRan);
        }
        if self.ours.len() < MAX_OURS {
            let ours = Ours {
                offer: mine.offer.clone(),
                by: self.me.clone(),
                token: mine.token,
                taken: false,
                eager: false,
                step: Step::Held,
                clients: 0,
                before: None,
                unheard: true,
                asked_ms: now_ms,
            };
            self.ours.insert(mine.key.clone(), ours);
            self.end(&mine.key, End::NeverRan);
        }
    }

    fn adopt(&mut self, mine: &Mine, before: Option<u64>, now_ms: u64) {
        // Guards against clients of an earlier use of the key, who would be told this one's outcome.
        if self.ours.get(&mine.key).is_some_and(|ours| ours.offer.body != mine.offer.body) {
            self.not_held(&mine.key, Refusal::Late);
        }
        let clients = self.ours.get(&mine.key).map_or(0, |ours| ours.clients);
        let (offer, token) = (mine.offer.clone(), mine.token);
        let (effect, late) = (offer.effect, offer.due_ms <= now_ms);
        let key = &mine.key;
        self.ours.insert(
            key.clone(),
            Ours {
                offer,
                by: self.me.clone(),
                token,
                taken: true,
                eager: true,
                step: Step::Held,
                clients,
                before,
                unheard: true,
                asked_ms: now_ms,
            },
        );
        let begun = before.is_some() && !left_out(Mutant::BegunCountsAsHeld);
        match (begun, effect) {
            (false, _) if late => self.end(key, End::NeverRan),
            (false, _) => self.begin(key),
            (true, Effect::Asks) => self.ask(key, 0, before == Some(token)),
            (true, Effect::Fenced) if !late => self.begin(key),
            (true, Effect::Fenced | Effect::Unknown) => self.end(key, End::Unknown),
        }
    }
}

/// What the resource says.
impl Own {
    /// What came of a run under this token.
    pub fn ran(&mut self, key: &str, token: u64, ran: Ran) {
        let Some(ours) = self.ours.get(key) else { return };
        let tries = match ours.step {
            Step::Running { tries } if ours.token == token || left_out(Mutant::HeirDoesNotFence) => tries,
            // That it was done is a fact, also when this process has lost it meanwhile.
            _ => {
                if let Ran::Done(result) = ran {
                    self.propose_end(key, token, End::Done(result));
                }
                return;
            }
        };
        match (ran, ours.offer.effect) {
            (Ran::Done(result), _) => self.end(key, End::Done(result)),
            // A try before it may still have its effect.
            (Ran::Failed, _) if tries > 0 => self.end(key, End::Unknown),
            (Ran::Failed, _) => self.end(key, End::Failed),
            (Ran::TurnedAway, _) => {
                let asked_ms = ours.asked_ms;
                self.not_mine(key, asked_ms);
            }
            // Guards against an heir that answers for the one before it: that one's call may have its effect yet.
            (Ran::NeverRan, effect) => {
                let alone = ours.before.is_none() || effect == Effect::Asks;
                let never = tries == 0 && (alone || left_out(Mutant::HeirAnswersForAll));
                self.end(key, if never { End::NeverRan } else { End::Unknown });
            }
            (Ran::Unclear | Ran::Over, Effect::Asks) => self.ask(key, 0, true),
            (Ran::Unclear, Effect::Fenced) if tries < MAX_TRIES => self.run(key, tries + 1),
            (Ran::Unclear | Ran::Over, _) => self.end(key, End::Unknown),
        }
    }

    /// What the resource said of a key.
    pub fn asked(&mut self, key: &str, token: u64, asked: Asked, now_ms: u64) {
        let Some(ours) = self.ours.get(key).filter(|ours| ours.token == token) else { return };
        let Step::Asking { tries, ran } = ours.step else { return };
        match asked {
            Asked::Done(result) => self.end(key, End::Done(result)),
            // Guards against a run of this token that is still on its way: the answer speaks of lower ones.
            Asked::NeverRan if ran && !left_out(Mutant::TrustsOwnCall) => self.end(key, End::Unknown),
            Asked::NeverRan if ours.offer.due_ms <= now_ms => self.end(key, End::Failed),
            Asked::NeverRan => self.begin(key),
            Asked::Unclear if tries < MAX_TRIES => self.ask(key, tries + 1, ran),
            Asked::CannotTell | Asked::Unclear => self.end(key, End::Unknown),
        }
    }
}

/// Steps.
impl Own {
    fn is_at(&self, key: &str, token: u64, step: &Step) -> bool {
        self.ours.get(key).is_some_and(|ours| ours.token == token && ours.step == *step)
    }

    /// Guards against what came of an earlier use of the key.
    fn is_offering(&self, offer: &Offer) -> bool {
        let offering = |ours: &Ours| matches!(ours.step, Step::Offering { .. }) && ours.offer == *offer;
        self.ours.get(&offer.key).is_some_and(offering)
    }

    /// The start that has a key, or had it.
    fn by(&self, key: &str) -> Holder {
        self.ours.get(key).map_or_else(|| self.me.clone(), |ours| ours.by.clone())
    }

    fn step(&mut self, key: &str, step: Step) -> Option<(u64, Offer)> {
        let ours = self.ours.get_mut(key)?;
        ours.step = step;
        Some((ours.token, ours.offer.clone()))
    }

    fn begin(&mut self, key: &str) {
        let Some((token, _)) = self.step(key, Step::Beginning) else { return };
        let (key, by) = (key.to_string(), self.by(key));
        self.actions.push(Action::Propose(Entry::Begin { key, by, token }));
    }

    fn run(&mut self, key: &str, tries: u32) {
        let Some((token, offer)) = self.step(key, Step::Running { tries }) else { return };
        let ours = self.ours.get(key);
        let (old, taken) = (ours.and_then(|ours| ours.before), ours.is_some_and(|ours| ours.taken));
        let token = if left_out(Mutant::HeirDoesNotFence) { old.unwrap_or(token) } else { token };
        self.actions.push(Action::Run { token, offer, taken });
    }

    fn ask(&mut self, key: &str, tries: u32, ran: bool) {
        let Some((token, offer)) = self.step(key, Step::Asking { tries, ran }) else { return };
        self.actions.push(Action::Ask { token, offer });
    }

    fn end(&mut self, key: &str, end: End) {
        let Some((token, _)) = self.step(key, Step::Ending) else { return };
        if left_out(Mutant::AnswersBeforeAgreed)
            && let Some(ours) = self.ours.get_mut(key)
            && std::mem::take(&mut ours.clients) > 0
        {
            self.actions.push(Action::Answer { key: key.to_string(), end: end.clone() });
        }
        self.propose_end(key, token, end);
    }

    fn propose_end(&mut self, key: &str, token: u64, end: End) {
        // Guards against a result that the log refuses, and work that has had its effect being taken for work that has not.
        let end = if end.check().is_ok() { end } else { End::Unknown };
        let (key, by) = (key.to_string(), self.by(key));
        self.actions.push(Action::Propose(Entry::End { key, by, token, end }));
    }

    /// The outcome is agreed: who waits here is told, and the fleet that they were.
    fn finish(&mut self, key: &str, end: End) {
        if let Some(ours) = self.ours.get_mut(key) {
            if matches!(ours.step, Step::Told(_)) {
                return;
            }
            ours.clients = 0;
            ours.step = Step::Told(end.clone());
            self.actions.push(Action::Answer { key: key.to_string(), end });
        }
        let (key, by) = (key.to_string(), self.by(key));
        self.actions.push(Action::Propose(Entry::Answered { key, by }));
    }

    /// Nobody waits for it here. Guards against a run of it, over by now, that waits for its end for ever.
    fn let_go(&mut self, key: &str, why: Refusal) {
        if self.ours.remove(key).is_some() {
            self.actions.push(Action::NoAnswer { key: key.to_string(), why });
        }
    }

    fn not_held(&mut self, key: &str, why: Refusal) {
        if let Some(ours) = self.ours.remove(key)
            && ours.clients > 0
        {
            let key = key.to_string();
            let known = ours.unheard || ours.token > 0;
            self.actions.push(if known {
                Action::NoAnswer { key, why }
            } else {
                Action::NotHeld { key, why }
            });
        }
    }

    /// Another has it by now. Clients that wait here hear of the end as those of a repeat do.
    fn not_mine(&mut self, key: &str, now_ms: u64) {
        let Some((_, offer)) = self.step(key, Step::Offering { begin: false }) else { return };
        if self.ours.get(key).is_some_and(|ours| ours.clients == 0) {
            return self.let_go(key, Refusal::OldToken);
        }
        let by = self.me.clone();
        if let Some(ours) = self.ours.get_mut(key) {
            (ours.asked_ms, ours.unheard, ours.by) = (now_ms, true, by);
        }
        let by = self.me.clone();
        self.actions.push(Action::Propose(Entry::Offer { by, offer, begin: false, now_ms }));
    }
}

#[cfg(test)]
mod tests;
