//! The engine's side of an upgrade: hands over the keys, relays new tries, and takes over from an earlier
//! process. [`crate::upgrade::claims`] decides which process owns the keys.

use super::{Engine, Entry, Stage, WINDOW_SLACK_SECONDS};
use crate::config::OTHER_SOCKETS;
use crate::engine::input::Peer;
use crate::keys::{FIRST_ADOPTED_ID, RunState};
use crate::log;
use crate::request::{Answer, Key, Reply, ReplyTo, Work};
use crate::upgrade::claims::{Claims, KeyKnowledge, Placement, Try, Uncertainty};
use crate::upgrade::link::Out;
use crate::upgrade::ownership::Ownership;
use crate::upgrade::wire::{self, Load, Message, RelayedWork, State};
use jaspershunt::{Class, Event, Repeat, RequestId, Settings};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Maximum number of tries relayed to the later process at once; more are refused.
const MAX_RELAYS: usize = 4096;
/// Interval between reports of this process's load; less than the 0.1 s after which memory is counted.
const LOAD_REPORT_INTERVAL_SECONDS: f64 = 0.05;
/// Minimum of concurrent requests for each core that a process always keeps, so that it works at all.
const MIN_CROWD_MULTIPLE: f64 = 1.5;
/// First id of tries relayed by the other process; such an id contains the number of the link and the ticket
/// there.
const FIRST_RELAYED_ID: u64 = 1 << 61;
const TICKET_BITS: u32 = 40;
const MAX_LINKS: u64 = 1 << 20;

/// The engine's state of the other process.
#[derive(Default)]
pub(super) struct Partner {
    /// The channel to it, while the link is up.
    to: Option<mpsc::Sender<Out>>,
    /// Tries relayed to it, and where their replies go.
    relays: BTreeMap<u64, ReplyTo>,
    /// Number of keys taken over, from this process and earlier ones.
    adopted: u64,
    /// Number of links so far: tickets of two other processes may be the same.
    links: u64,
    /// The load last sent or received.
    load: Load,
    /// When the load is sent next.
    load_due: f64,
    /// By how many seconds settings that were taken during this link have extended the windows of keys.
    windows_extended_by: f64,
}

impl Partner {
    /// Replaces the partner by one with this channel; returns the former one.
    fn replace(&mut self, to: Option<mpsc::Sender<Out>>) -> Partner {
        let fresh = Partner { to, adopted: self.adopted, links: self.links + 1, ..Partner::default() };
        std::mem::replace(self, fresh)
    }

    /// The id here of a try relayed by it.
    fn id_of(&self, ticket: u64) -> RequestId {
        let ticket = ticket & ((1 << TICKET_BITS) - 1);
        RequestId(FIRST_RELAYED_ID + ((self.links % MAX_LINKS) << TICKET_BITS) + ticket)
    }

    /// Sends a message; returns whether it was queued.
    fn send(&self, message: impl Into<Out>) -> bool {
        self.to.as_ref().is_some_and(|to| to.try_send(message.into()).is_ok())
    }
}

impl Engine {
    /// Asks the earlier process, if there is one, to hand over, as the interpreter is up.
    pub(super) fn request_handover(&self) {
        self.partner.send(Message::Begin);
    }

    /// Sends the operators' lameduck state to the other process.
    pub(super) fn send_lameduck(&self) {
        self.partner.send(Message::Lameduck { on: self.lameduck });
    }

    /// Handles a message from the other process.
    pub(super) fn handle_peer_message(&mut self, peer: Peer) {
        match peer {
            Peer::LameduckQuery { answer } => drop(answer.send(self.claims.owns().then_some(self.lameduck))),
            Peer::OwnershipQuery { answer } => drop(answer.send(self.claims.owns())),
            Peer::Earlier { to, lameduck } => {
                self.partner.replace(Some(to));
                match lameduck {
                    Some(true) => self.set_lameduck(true),
                    Some(false) => {}
                    // It had lost ownership, and gets the operators' present state.
                    None => self.send_lameduck(),
                }
                if self.module.is_some() {
                    self.request_handover();
                }
            }
            Peer::Found(ownership) => {
                self.claims.found();
                self.set_ownership(ownership);
            }
            Peer::Taken(ownership) => {
                self.claims.taken(self.now, longest_window(&self.settings));
                self.set_ownership(ownership);
            }
            Peer::Begin { to, given } => drop(given.send(self.hand_over_keys(to))),
            Peer::Reply { ticket, reply } => {
                if let Some(waits) = self.partner.relays.remove(&ticket) {
                    waits.send(reply.into());
                }
            }
            Peer::Table(entries) => entries.into_iter().for_each(|entry| self.adopt(entry)),
            Peer::Yours { ownership, doubt } => {
                let epoch = self.epoch;
                self.claims.given(
                    doubt.map(|(since, until)| Uncertainty { since: since - epoch, until: until - epoch }),
                );
                log!("upgrade: {} keys were taken over", self.partner.adopted);
                self.set_ownership(ownership);
            }
            Peer::Yielded => log!("upgrade: {} keys were taken over so far", self.partner.adopted),
            Peer::Ended(entry) => self.adopt(entry),
            Peer::Load(load) => self.apply_partner_load(load),
            Peer::Work { ticket, work, to } => {
                let id = self.partner.id_of(ticket);
                let reply = ReplyTo::relay(Rc::new(to), ticket);
                let names = &self.names;
                match work.work(|name| names.class(name).ok(), |name| names.tenant(name)) {
                    Some(work) => self.arrive(id, work, reply),
                    None => reply.send(Reply::new(Answer::Bad, self.caller_feedback())),
                }
            }
            Peer::Gone { ticket } => self.caller_gone(self.partner.id_of(ticket)),
            Peer::Lameduck { on } => self.set_lameduck(on),
            Peer::Farewell => self.partner_lost(),
            Peer::Broke => {
                let gave = self.claims == Claims::Transferred;
                self.claims.broke();
                if gave {
                    self.stop_reporting();
                }
                self.partner_lost();
                if self.channels.desk.leaves.get() && !self.claims.owns() {
                    self.run_nothing_new();
                }
            }
            Peer::GiveUp => self.give_up_all(),
        }
    }

    // Ownership, the exclusive right of one process to run new requests.

    /// Checks whether this process is still the owner. Cheap, as the result of a check is valid for a while.
    pub(super) fn check_ownership(&mut self) {
        let Some(ownership) = &mut self.ownership else { return };
        if ownership.is_held() {
            return;
        }
        self.ownership = None;
        self.claims.lost();
        log!(
            WARN,
            "upgrade: another process has taken the right to run from this one, which did not respond; it yields"
        );
        self.stop_reporting();
        self.partner_lost();
    }

    /// Sets the ownership of this process, unless another one has taken it meanwhile.
    fn set_ownership(&mut self, ownership: Ownership) {
        self.ownership = Some(ownership);
        self.channels.desk.lost.set(false);
        self.check_ownership();
        if self.claims.owns() && std::mem::take(&mut self.report_pending) {
            self.report_health();
        }
    }

    /// Stops reporting for the nodo, as another process does.
    fn stop_reporting(&mut self) {
        self.report_pending |= self.channels.directory.send_replace(None).is_some();
        self.channels.desk.lost.set(true);
        self.channels.desk.lost_now.notify_waiters();
    }

    /// Ends the grace at once in a process that was told to leave, and whose nodo has no other process any more: when
    /// that one was told to leave is not known here.
    fn run_nothing_new(&mut self) {
        self.grace_until = Some(self.grace_until.map_or(self.now, |until| until.min(self.now)));
        self.stop_at = self.stop_at.or(Some(self.now + self.stop_timeout.as_secs_f64()));
        self.module_healthy = false;
        self.notify_leave();
    }

    // The process that hands over.

    /// Hands over all keys to the other process, and with them all new requests, and ownership if this
    /// process has it. Messages stay in order, so that the table arrives before the first try that needs it.
    /// Returns whether the keys were handed over.
    fn hand_over_keys(&mut self, to: mpsc::Sender<Out>) -> bool {
        self.partner.replace(Some(to));
        let expires_in_flight =
            self.now + longest(&self.settings, |class| class.deadline) + longest_window(&self.settings);
        let epoch = self.epoch;
        let entries = self.keys.entries().map(|(key, digest, run)| {
            let (until, state) = match run {
                None => (expires_in_flight, State::InFlight),
                Some((until, run)) => (until, state_of(run)),
            };
            wire::Entry { key: key.clone(), digest, until: until + epoch, state }
        });
        let ids =
            self.ids_that_must_not_run_again().map(|(id, until)| wire::Entry::of_id(&id, until + epoch));
        let all = Vec::from_iter(entries.chain(ids));
        let count = all.len();
        let said = wire::pieces(all).into_iter().all(|piece| self.partner.send(Message::Table(piece)));
        let load = self.load();
        // Ownership cannot be taken back once sent, so the queue needs room for all messages.
        let fits = said && self.partner.send(Message::Load(load));
        let last = match self.ownership.take() {
            Some(ownership) if fits => {
                let doubt = self.claims.give().map(|doubt| (doubt.since + epoch, doubt.until + epoch));
                Out {
                    message: Message::Yours { doubt },
                    descriptor: Some(ownership.into_descriptor()),
                    sent: None,
                }
            }
            None if fits => {
                self.claims.give();
                Message::Yielded.into()
            }
            ownership => {
                // The other process has not received ownership of anything.
                log!(ERROR, "upgrade: {count} keys exceed the link's queue and were not handed over");
                self.ownership = ownership;
                self.partner.replace(None);
                return false;
            }
        };
        if !self.partner.send(last) {
            // The link broke, so ownership is free and will be taken back.
            log!(ERROR, "upgrade: the link broke while the keys were handed over");
        }
        log!(
            "upgrade: {count} keys were handed over; {} requests finish in this process",
            self.requests.len()
        );
        true
    }

    /// The correlation ids of the requests without a key that run, may still run or ran here and must not run twice,
    /// each with the time until which it may come again.
    fn ids_that_must_not_run_again(&self) -> impl Iterator<Item = (Rc<str>, f64)> {
        let open = self.requests.values().filter_map(|entry| {
            let class = &self.settings.classes[entry.class];
            // The request may run until its deadline, and come again for as long after its end.
            let until = self.now + 2.0 * class.deadline;
            matches!(class.repeat, Repeat::Unsafe).then(|| (entry.uid.clone(), until))
        });
        open.chain(self.recent_ids.entries())
    }

    /// This process's use of the common resources.
    fn load(&self) -> Load {
        let kb: f64 = self.requests.values().map(|entry| entry.held_kb).sum();
        let running = self.requests.values().filter(|entry| matches!(entry.stage, Stage::Running)).count();
        let descriptors = self.channels.desk.connections.get() + OTHER_SOCKETS;
        Load { kb: kb * self.settings.run_factor, running: running as u32, descriptors: descriptors as u32 }
    }

    /// Reports this process's load to the later process at intervals.
    pub(super) fn report_load(&mut self) {
        if self.claims != Claims::Transferred || self.now < self.partner.load_due {
            return;
        }
        self.partner.load_due = self.now + LOAD_REPORT_INTERVAL_SECONDS;
        let load = self.load();
        if load != self.partner.load {
            self.partner.load = load;
            self.partner.send(Message::Load(load));
        }
    }

    /// Where a try is handled, as far as that depends on keys.
    pub(super) fn route_try(&mut self, work: &Work) -> Placement {
        let known = match &work.key {
            None => KeyKnowledge::NoKey,
            Some(key) if self.keys.contains(key) => KeyKnowledge::Local,
            Some(_) => KeyKnowledge::Unknown,
        };
        let may_repeat = work.resent || !self.settings.marks_retry;
        let arrived = work.arrived.map_or(self.now, |unix| unix - self.epoch);
        self.claims.place(self.now, Try { known, may_repeat, arrived })
    }

    /// Counts the work that this process must finish: unanswered requests, here or relayed to the later
    /// process, and, while that owns the keys, runs of keys whose callers have left, since their results must
    /// be reported.
    pub(super) fn in_flight(&self) -> usize {
        let partner_owns_keys = self.claims == Claims::Transferred;
        let runs = |e: &&Entry| e.reply.is_none() && e.key.is_some() && e.runs();
        let unreported_runs = if partner_owns_keys { self.requests.values().filter(runs).count() } else { 0 };
        // Guards against a nodo that ends once all callers are answered while it has a run that it could hand
        // over.
        let leaves = self.stop_at.is_some() && !self.channels.desk.handed.get();
        let outside = self.handover.as_ref().map_or(0, |handover| handover.in_flight(leaves));
        self.owed + self.partner.relays.len() + unreported_runs + outside
    }

    /// Relays a try to the later process.
    pub(super) fn relay(&mut self, id: RequestId, work: Work, reply: ReplyTo) {
        let class = &self.settings.classes[work.class].name;
        let tenant =
            work.tenant.and_then(|tenant| self.settings.tenants.get(tenant)).map(|t| t.name.as_str());
        let keyed = work.key.is_some();
        let message = Message::Work { ticket: id.0, work: RelayedWork::new(work, class, tenant) };
        if self.partner.relays.len() < MAX_RELAYS && self.partner.send(message) {
            self.partner.relays.insert(id.0, reply);
            return;
        }
        // Guards against a refusal of a key that may have run at the other process by another try.
        let stay_away = self.settings.max_stay_away;
        let answer = if keyed { Answer::Failed } else { Answer::Refused { stay_away, last: false } };
        reply.send(Reply::new(answer, self.caller_feedback()));
    }

    /// Handles the disconnect of a caller whose try was relayed to the later process; returns whether there
    /// was one.
    pub(super) fn relayed_caller_gone(&mut self, id: RequestId) -> bool {
        let Some(reply) = self.partner.relays.remove(&id.0) else { return false };
        self.partner.send(Message::Gone { ticket: id.0 });
        reply.send(Reply::new(Answer::Failed, self.caller_feedback()));
        true
    }

    /// Reports to the later process the result of a key that was in flight here.
    pub(super) fn report_key_to_partner(&mut self, key: &Key) {
        if self.partner.to.is_none() || self.claims != Claims::Transferred {
            return;
        }
        let Some((digest, until, state)) = (match self.keys.run_entry(key) {
            Some((_, _, RunState::Running)) => None,
            Some((digest, until, run)) => Some((digest, until, state_of(run))),
            None if self.keys.contains(key) => None,
            None => Some((0, self.now, State::NeverRan)),
        }) else {
            return;
        };
        let entry = wire::Entry { key: key.clone(), digest, until: until + self.epoch, state };
        if !self.partner.send(Message::Ended(entry)) {
            log!(ERROR, "upgrade: the link is full; the result of a key was not sent");
        }
    }

    /// Fails all unanswered requests, as the nodo is about to end.
    fn give_up_all(&mut self) {
        for id in std::mem::take(&mut self.partner.relays).into_iter().map(|(ticket, reply)| {
            reply.send(Reply::new(Answer::Failed, self.caller_feedback()));
            ticket
        }) {
            self.partner.send(Message::Gone { ticket: id });
        }
        let owed: Vec<RequestId> =
            self.requests.iter().filter(|(_, e)| e.reply.is_some()).map(|(id, _)| *id).collect();
        for id in owed {
            self.answer(id, Answer::Failed);
        }
        self.give_up_waiting();
    }

    // The process that takes over.

    /// Extends the windows of the known keys, and of those that the other process has yet to report: it counts them by
    /// the settings that it has.
    pub(super) fn extend_windows(&mut self, by: f64, latest_end: f64) {
        self.keys.extend_windows(by, latest_end);
        self.partner.windows_extended_by += by;
    }

    /// Takes over the state of a key.
    fn adopt(&mut self, entry: wire::Entry) {
        let until = entry.until - self.epoch;
        if let Some(id) = entry.id() {
            return self.recent_ids.insert(id.into(), until);
        }
        let latest_end = self.now + longest_window(&self.settings);
        let until = until.max((until + self.partner.windows_extended_by).min(latest_end));
        self.partner.adopted += 1;
        let id = RequestId(FIRST_ADOPTED_ID.0 + self.partner.adopted);
        let (run, result) = match entry.state {
            State::InFlight => (Some(RunState::Running), None),
            State::Done(result) => (Some(RunState::Done(result.clone())), Some(result)),
            State::Failed => (Some(RunState::Failed), None),
            State::NeverRan => (None, None),
        };
        let running = run == Some(RunState::Running);
        let news = self.keys.adopt(&entry.key, entry.digest, id, until, run);
        if news && !running {
            self.serve_followers(&entry.key, result);
        }
    }

    /// Records the load of the earlier process, and limits the module to the rest.
    fn apply_partner_load(&mut self, load: Load) {
        self.partner.load = load;
        self.events.push(Event::Settings(Box::new(self.share())));
    }

    /// The settings with this process's share of the common resources: the rules count memory and concurrency
    /// on the cores for both processes together. Calls are not reduced: the module keeps their mean under
    /// half of its share.
    pub(super) fn share(&self) -> Settings {
        let (load, set) = (self.partner.load, &self.settings);
        if self.claims == Claims::Transferred || load == Load::default() {
            return set.clone();
        }
        let crowd = set.crowd_multiple - f64::from(load.running) / f64::from(set.cores);
        Settings {
            memory_kb: (set.memory_kb - load.kb).max(0.0),
            crowd_multiple: crowd.max(MIN_CROWD_MULTIPLE.min(set.crowd_multiple)),
            ..set.clone()
        }
    }

    // Both processes.

    /// Handles the loss of the other process or its link. Its in-flight work may have run.
    fn partner_lost(&mut self) {
        let partner = self.partner.replace(None);
        for (_, reply) in partner.relays {
            reply.send(Reply::new(Answer::Failed, self.caller_feedback()));
        }
        if partner.load != Load::default() {
            self.events.push(Event::Settings(Box::new(self.share())));
        }
        for key in self.keys.fail_runs_from(FIRST_ADOPTED_ID) {
            self.serve_followers(&key, None);
        }
    }

    /// Answers the tries that wait for a key's run with its result.
    pub(super) fn serve_followers(&mut self, key: &Key, result: Option<Rc<[u8]>>) {
        for follower in self.followers.remove(key).unwrap_or_default() {
            self.serve_from(follower, result.clone());
        }
    }
}

pub(super) fn longest(settings: &Settings, time: impl Fn(&Class) -> f64) -> f64 {
    settings.classes.iter().map(time).fold(0.0, f64::max)
}

/// The longest time that a key is remembered.
pub(super) fn longest_window(settings: &Settings) -> f64 {
    longest(settings, |class| match class.repeat {
        Repeat::Keyed(window) => window + WINDOW_SLACK_SECONDS,
        _ => 0.0,
    })
}

fn state_of(run: &RunState) -> State {
    match run {
        RunState::Running => State::InFlight,
        RunState::Done(result) => State::Done(result.clone()),
        RunState::Failed => State::Failed,
    }
}
