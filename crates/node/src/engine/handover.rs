//! Work that survives this nodo: a request of a class under `handover` in the operator's file is recorded in
//! the fleet before it runs, its outcome is recorded there before it is answered, and this nodo may take over
//! work of a lost nodo.
//!
//! [`jaspershunt_work::local`] decides, and is tested there under many schedules; this module executes its
//! actions. The engine never waits for the fleet: separate tasks do, and send their results through the
//! engine's queue. Without such a class all of this is inactive.

use super::{Engine, Stage};
use crate::config::Config;
use crate::engine::input::{FleetEvent, Input, ProposalResult};
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

/// Maximum number of tries that wait outside the module, for the result of their offer or the end of another
/// nodo's run.
const MAX_WAITING: usize = 1024;
/// Time before its deadline at which a try that waits for the fleet is answered, so that the answer still
/// arrives.
const ANSWER_MARGIN_SECONDS: f64 = 0.05;
/// Delay before an entry without a result is proposed again, and before an unanswered query is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of one proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent queries to resources, each on its own connection; others wait. The queries
/// that the loss of a nodo causes at a successor take a few rounds.
pub(crate) const MAX_CONCURRENT_QUERIES: usize = 16;

/// A try that waits outside the module.
struct Waiting {
    work: Work,
    reply: ReplyTo,
    key: Key,
}

/// Work that the fleet assigned to this process.
struct Run {
    token: u64,
    /// Whether the module has it; else its end is being committed.
    in_module: bool,
    /// The request whose caller gets that end.
    id: Option<RequestId>,
    /// A try that is refused once it is committed that nothing ran.
    pending_refusal: Option<(ReplyTo, usize, Answer)>,
    /// The end that was committed while the module still had it.
    committed_end: Option<End>,
}

/// This process's work recorded in the fleet, and the tries that wait for it.
pub(super) struct Handover {
    classes: BTreeMap<String, operator::Handover>,
    region: String,
    /// The decisions on this work; created at the first incarnation of the member.
    local_work: Option<LocalWork>,
    waiting: BTreeMap<RequestId, Waiting>,
    runs: BTreeMap<Key, Run>,
    inherited_count: u64,
    query_permits: Rc<Semaphore>,
    /// The capacity reported last, and the holder that reported it.
    reported_capacity: Option<(Holder, u32)>,
}

fn effect(handover: &operator::Handover) -> Effect {
    match handover.effect {
        operator::Effect::Asks => Effect::Asks,
        operator::Effect::Fenced => Effect::Fenced,
        operator::Effect::Unknown => Effect::Unknown,
    }
}

fn ms(seconds: f64) -> u64 {
    // All times here are after 1970 and fit.
    (seconds.max(0.0) * 1000.0) as u64
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

/// The answer to a try whose key ended like this.
fn answer_of(end: &End, stay_away: f64) -> Answer {
    match end {
        End::Done(result) => Answer::Served(result.as_slice().into()),
        End::NeverRan => Answer::Refused { stay_away, last: false },
        End::Failed | End::Unknown => Answer::Failed,
    }
}

impl Handover {
    /// Reads the operator's file; `None` where it names no class for handover.
    pub fn new(config: &Config) -> Option<Handover> {
        let file = config.operator.as_ref().filter(|file| !file.handover.is_empty())?;
        let region = file.fleet.as_ref().and_then(|fleet| fleet.region.clone()).unwrap_or_default();
        Some(Handover {
            classes: file.handover.clone(),
            region,
            local_work: None,
            waiting: BTreeMap::new(),
            runs: BTreeMap::new(),
            inherited_count: 0,
            query_permits: Rc::new(Semaphore::new(MAX_CONCURRENT_QUERIES)),
            reported_capacity: None,
        })
    }

    /// Counts unanswered tries outside the module and ends that are not committed yet; with `in_module` also
    /// the runs that the module has.
    pub fn in_flight(&self, in_module: bool) -> usize {
        self.waiting.len() + self.runs.values().filter(|run| in_module || !run.in_module).count()
    }

    /// Whether a try of the class at this index waits outside the module.
    pub(super) fn has_waiting_in_class(&self, place: usize) -> bool {
        self.waiting.values().any(|waits| waits.work.class == place)
    }

    /// Sets the holder that this process acts as.
    fn set_holder(&mut self, me: &Holder) {
        match &mut self.local_work {
            Some(own) if own.holder() == me => {}
            Some(own) => own.set_holder(me.clone()),
            None => self.local_work = Some(LocalWork::new(me.clone())),
        }
    }

    fn waiting_for(&self, key: &Key) -> Vec<RequestId> {
        self.waiting.iter().filter(|(_, waits)| waits.key == *key).map(|(id, _)| *id).collect()
    }
}

/// Execution of decisions.
impl Engine {
    /// Runs a decision on local work and executes the resulting actions.
    fn with_local_work(&mut self, on: impl FnOnce(&mut LocalWork, u64)) {
        let now_ms = ms(self.now + self.epoch);
        let Some(own) = self.handover.as_mut().and_then(|handover| handover.local_work.as_mut()) else {
            return;
        };
        on(own, now_ms);
        for action in own.actions() {
            match action {
                Action::Propose(entry) => self.propose(entry),
                Action::Query { token, offer } => self.query_resource(token, &offer),
                Action::Run { token, offer, taken_over: taken } => self.start_fleet_run(token, offer, taken),
                Action::Answer { key, end } => self.end_committed(&key.into(), &end),
                Action::NotRecorded { key, reason } => self.not_recorded(&key.into(), reason),
                // It may have run, here or on another nodo.
                Action::OutcomeUnavailable { key, .. } => self.end_committed(&key.into(), &End::Unknown),
            }
        }
    }

    fn propose(&self, entry: Entry) {
        let desk = self.channels.desk.clone();
        self.spawn_fleet_task(async move {
            // The member may have restarted meanwhile.
            let way = desk.fleet.borrow().clone();
            let came = match way {
                Some(way) => fleet::propose(&way, &entry, PROPOSE_TIMEOUT).await,
                None => ProposalResult::NotSent,
            };
            let offers = matches!(entry, Entry::Offer { .. });
            if came == ProposalResult::Unknown || (came == ProposalResult::NotSent && !offers) {
                sleep(RETRY_DELAY).await;
            }
            FleetEvent::Proposed { entry, result: came }
        });
    }

    fn entry_settled(&mut self, entry: &Entry, came: ProposalResult) {
        let outcome = match (came, entry) {
            (ProposalResult::Committed(outcome), _) => Some(outcome),
            (ProposalResult::ResentRefused(why), _) => {
                self.with_local_work(|own, _| own.on_resent(entry));
                Some(Outcome::Refused(why))
            }
            // Nothing of this try runs; another nodo may have its key.
            (ProposalResult::NotSent, Entry::Offer { .. }) => Some(Outcome::Refused(Refusal::NotPresent)),
            (ProposalResult::NotSent | ProposalResult::Unknown, _) => None,
        };
        self.with_local_work(|own, now_ms| own.on_outcome(entry, outcome.as_ref(), now_ms));
    }

    /// Queries the resource that the class acts on for the outcome of this work.
    fn query_resource(&mut self, token: u64, offer: &Offer) {
        let key = Key::from(offer.key.as_str());
        let Some(handover) = &self.handover else { return };
        let file = handover.classes.get(&offer.class);
        // The class may be missing from this nodo's file, or have another effect there: then no resource can
        // be queried.
        let Some((resource, path, within)) =
            file.and_then(|file| Some((file.resource?, file.path.clone(), file.timeout.0)))
        else {
            return self.with_local_work(|own, now_ms| {
                own.on_query_result(&key, token, QueryResult::CannotTell, now_ms)
            });
        };
        let query_permits = handover.query_permits.clone();
        self.spawn_fleet_task(async move {
            let permit = query_permits.acquire().await;
            let result = fleet::query_resource(resource, &path, &key, token, within).await;
            if result == QueryResult::AnswerLost {
                sleep(RETRY_DELAY).await;
            }
            drop(permit);
            FleetEvent::QueryAnswered { key, token, result }
        });
    }

    fn view_received(&mut self, mut seen: MemberView) {
        let Some(me) = self.channels.desk.fleet.borrow().as_ref().map(|way| way.me.clone()) else { return };
        let Some(handover) = &mut self.handover else { return };
        handover.set_holder(&me);
        // Guards against two processes of an upgrade that both act for the nodo: the earlier one takes over
        // no work.
        if self.claims != Claims::Owned {
            seen.owned.retain(|owned| !owned.taken_over);
        }
        self.with_local_work(|own, now_ms| own.on_view(&seen, now_ms));
    }

    /// Handles an event from a task that talks to the fleet.
    pub(super) fn handle_fleet_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Proposed { entry, result: came } => self.entry_settled(&entry, came),
            FleetEvent::Due { id } => self.wait_expired(id),
            FleetEvent::View(seen) => self.view_received(seen),
            FleetEvent::QueryAnswered { key, token, result } => {
                self.with_local_work(|own, now_ms| own.on_query_result(&key, token, result, now_ms));
            }
            FleetEvent::ReportCapacity => {
                self.with_local_work(LocalWork::tick);
                self.report_capacity();
            }
            // A holder that is not enrolled yet reports it again.
            FleetEvent::CapacityReported { committed: false } => {
                if let Some(handover) = &mut self.handover {
                    handover.reported_capacity = None;
                }
            }
            FleetEvent::CapacityReported { committed: true } => {}
            FleetEvent::HandOver => self.hand_over(),
        }
    }

    /// Spawns a task that waits for the fleet; its event comes through the engine's queue.
    fn spawn_fleet_task(&self, waits: impl Future<Output = FleetEvent> + 'static) {
        let engine = self.channels.engine.clone();
        spawn_local(async move {
            let event = waits.await;
            if let Some(engine) = engine.upgrade() {
                let _ = engine.send(Input::Fleet(event)).await;
            }
        });
    }
}

#[cfg(test)]
mod tests;
