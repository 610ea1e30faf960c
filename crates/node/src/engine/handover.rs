//! Work that survives this nodo: a request of a class that the operator's file names under `handover` is held by the fleet before it
//! runs, its outcome is recorded there before anybody is told, and work of a nodo that is lost may come here.
//!
//! What is done with it is decided in [`jaspershunt_work::local`], whose schedules are played there; this carries its actions out for the
//! engine, which never waits for the fleet: what does is a task of its own, whose word comes back through the engine's queue. Without
//! such a class there is nothing of this.

use super::{Engine, Place};
use crate::config::Config;
use crate::engine::input::{Came, Input, Word};
use crate::fleet;
use crate::request::{Answer, Key, ReplyTo, Work};
use crate::upgrade::claims::Claims;
use jaspershunt::RequestId;
use jaspershunt_fleet::Holder;
use jaspershunt_operator as operator;
use jaspershunt_work::{
    Action, Effect, End, Entry, LocalWork, MemberView, Offer, Outcome, QueryResult, Refusal,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;

mod leave;
mod runs;
mod tries;

/// Tries that wait outside the module at once, for what comes of their offer or for the end of another nodo's run.
const MAX_WAITING: usize = 1024;
/// Who waits for the fleet is answered so long before its time is over, in seconds: the answer has a way to go.
const AHEAD_OF_DUE: f64 = 0.05;
/// Between two attempts to have something agreed of which nothing was heard, and two questions that were not answered.
const AGAIN: Duration = Duration::from_millis(100);
/// One attempt is given up after this.
const PROPOSE_WITHIN: Duration = Duration::from_secs(5);
/// Questions to resources at once, each with a connection of its own; others wait. Ours: what one loss brings an heir is asked in a
/// few rounds.
pub(crate) const MAX_QUESTIONS: usize = 16;

/// A try that waits outside the module.
struct Waiting {
    work: Work,
    reply: ReplyTo,
    key: Key,
}

/// Work that this process was told to run.
struct Run {
    token: u64,
    /// The module has it. Else its end is on the way to be agreed.
    here: bool,
    /// The run whose caller is told that end.
    id: Option<RequestId>,
    /// A try that is turned away once it is agreed that nothing ran.
    refused: Option<(ReplyTo, usize, Answer)>,
    /// What was agreed of it while the module had it still.
    told: Option<End>,
}

/// The work that this process has in the fleet, and who waits for what.
pub(super) struct Handover {
    classes: BTreeMap<String, operator::Handover>,
    region: String,
    /// What decides, from the member's first start on.
    own: Option<LocalWork>,
    waiting: BTreeMap<RequestId, Waiting>,
    runs: BTreeMap<Key, Run>,
    inherited: u64,
    questions: Rc<Semaphore>,
    /// The room that was told last, and by which start.
    told: Option<(Holder, u32)>,
}

fn effect(handover: &operator::Handover) -> Effect {
    match handover.effect {
        operator::Effect::Asks => Effect::Asks,
        operator::Effect::Fenced => Effect::Fenced,
        operator::Effect::Unknown => Effect::Unknown,
    }
}

fn ms(seconds: f64) -> u64 {
    // No time that gets here is before 1970 or beyond what fits.
    (seconds.max(0.0) * 1000.0) as u64
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

/// How a try is answered whose key came to this.
fn answer_of(end: &End, stay_away: f64) -> Answer {
    match end {
        End::Done(result) => Answer::Served(result.as_slice().into()),
        End::NeverRan => Answer::Refused { stay_away, last: false },
        End::Failed | End::Unknown => Answer::Failed,
    }
}

impl Handover {
    /// What the operator's file asks for; `None` where it names no class.
    pub fn new(config: &Config) -> Option<Handover> {
        let file = config.operator.as_ref().filter(|file| !file.handover.is_empty())?;
        let region = file.fleet.as_ref().and_then(|fleet| fleet.region.clone()).unwrap_or_default();
        Some(Handover {
            classes: file.handover.clone(),
            region,
            own: None,
            waiting: BTreeMap::new(),
            runs: BTreeMap::new(),
            inherited: 0,
            questions: Rc::new(Semaphore::new(MAX_QUESTIONS)),
            told: None,
        })
    }

    /// Answers that are owed outside the module, and ends that are not agreed yet; with `here` also the runs that the module has.
    pub fn in_hand(&self, here: bool) -> usize {
        self.waiting.len() + self.runs.values().filter(|run| here || !run.here).count()
    }

    /// Whether a try of the class at this place waits outside the module.
    pub(super) fn waits_in(&self, place: usize) -> bool {
        self.waiting.values().any(|waits| waits.work.class == place)
    }

    /// The process takes part as this start from now on.
    fn takes_part(&mut self, me: &Holder) {
        match &mut self.own {
            Some(own) if own.holder() == me => {}
            Some(own) => own.set_holder(me.clone()),
            None => self.own = Some(LocalWork::new(me.clone())),
        }
    }

    fn waits_for(&self, key: &Key) -> Vec<RequestId> {
        self.waiting.iter().filter(|(_, waits)| waits.key == *key).map(|(id, _)| *id).collect()
    }
}

/// What was decided.
impl Engine {
    /// Has something decided, and carries out what comes of it.
    fn of_work(&mut self, on: impl FnOnce(&mut LocalWork, u64)) {
        let now_ms = ms(self.now + self.epoch);
        let Some(own) = self.handover.as_mut().and_then(|handover| handover.own.as_mut()) else { return };
        on(own, now_ms);
        for action in own.actions() {
            match action {
                Action::Propose(entry) => self.propose(entry),
                Action::Query { token, offer } => self.ask(token, &offer),
                Action::Run { token, offer, taken_over: taken } => self.run_of_fleet(token, offer, taken),
                Action::Answer { key, end } => self.told(&key.into(), &end),
                Action::NotRecorded { key, reason } => self.not_held(&key.into(), reason),
                // It may have run, here or elsewhere.
                Action::OutcomeUnavailable { key, .. } => self.told(&key.into(), &End::Unknown),
            }
        }
    }

    fn propose(&self, entry: Entry) {
        let desk = self.ways.desk.clone();
        self.later(async move {
            // The member may have begun again meanwhile.
            let way = desk.fleet.borrow().clone();
            let came = match way {
                Some(way) => fleet::propose(&way, &entry, PROPOSE_WITHIN).await,
                None => Came::NotSent,
            };
            let offers = matches!(entry, Entry::Offer { .. });
            if came == Came::Nobody || (came == Came::NotSent && !offers) {
                sleep(AGAIN).await;
            }
            Word::Agreed { entry, came }
        });
    }

    fn agreed(&mut self, entry: &Entry, came: Came) {
        let outcome = match (came, entry) {
            (Came::Agreed(outcome), _) => Some(outcome),
            (Came::Unsure(why), _) => {
                self.of_work(|own, _| own.on_resent(entry));
                Some(Outcome::Refused(why))
            }
            // Nothing of this try runs; another nodo may have its key.
            (Came::NotSent, Entry::Offer { .. }) => Some(Outcome::Refused(Refusal::NotPresent)),
            (Came::NotSent | Came::Nobody, _) => None,
        };
        self.of_work(|own, now_ms| own.on_outcome(entry, outcome.as_ref(), now_ms));
    }

    /// Asks what the class's work acts on what became of it.
    fn ask(&mut self, token: u64, offer: &Offer) {
        let key = Key::from(offer.key.as_str());
        let Some(handover) = &self.handover else { return };
        let file = handover.classes.get(&offer.class);
        // The class may be gone from this nodo's file, or have another effect there: nobody is known who could tell.
        let Some((resource, path, within)) =
            file.and_then(|file| Some((file.resource?, file.path.clone(), file.timeout.0)))
        else {
            return self
                .of_work(|own, now_ms| own.on_query_result(&key, token, QueryResult::CannotTell, now_ms));
        };
        let questions = handover.questions.clone();
        self.later(async move {
            let one = questions.acquire().await;
            let told = fleet::query_resource(resource, &path, &key, token, within).await;
            if told == QueryResult::AnswerLost {
                sleep(AGAIN).await;
            }
            drop(one);
            Word::Asked { key, token, told }
        });
    }

    fn seen(&mut self, mut seen: MemberView) {
        let Some(me) = self.ways.desk.fleet.borrow().as_ref().map(|way| way.me.clone()) else { return };
        let Some(handover) = &mut self.handover else { return };
        handover.takes_part(&me);
        // Guards against two processes of an upgrade that both act for the nodo: the earlier start leaves others' work alone.
        if self.claims != Claims::Owned {
            seen.owned.retain(|owned| !owned.taken_over);
        }
        self.of_work(|own, now_ms| own.on_view(&seen, now_ms));
    }

    /// The word of tasks that waited for the fleet.
    pub(super) fn heard_of_fleet(&mut self, word: Word) {
        match word {
            Word::Agreed { entry, came } => self.agreed(&entry, came),
            Word::Due { id } => self.due(id),
            Word::Seen(seen) => self.seen(seen),
            Word::Asked { key, token, told } => {
                self.of_work(|own, now_ms| own.on_query_result(&key, token, told, now_ms));
            }
            Word::TellRoom => {
                self.of_work(LocalWork::tick);
                self.tell_room();
            }
            // One that is not enrolled yet says it again.
            Word::RoomTold { agreed: false } => {
                if let Some(handover) = &mut self.handover {
                    handover.told = None;
                }
            }
            Word::RoomTold { agreed: true } => {}
            Word::HandOver => self.hand_over(),
        }
    }

    /// Runs what waits for the fleet beside the engine.
    fn later(&self, waits: impl Future<Output = Word> + 'static) {
        let engine = self.ways.engine.clone();
        spawn_local(async move {
            let word = waits.await;
            if let Some(engine) = engine.upgrade() {
                let _ = engine.send(Input::Handover(word)).await;
            }
        });
    }
}

#[cfg(test)]
mod tests;
