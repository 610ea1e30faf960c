//! The engine's side of an upgrade: gives the keys away, sends on what is new, and takes over what an earlier start had.
//! Who owns the keys is decided in [`crate::upgrade::claims`].

use super::{Engine, Entry, Place, WINDOW_SLACK};
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

/// Tries that may be out at the later start at once; more are refused.
const RELAYS: usize = 4096;
/// Seconds between two words on what this process takes. Ours: less than the 0.1 s after which memory is counted.
const LOAD_EVERY: f64 = 0.05;
/// Requests on the cores, for each core, that are left to a start in any case, so that it works at all.
const LEAST_CROWD: f64 = 1.5;
/// Tries that reached the other process have ids of their own here: the number of the link, and what it calls them.
const RELAYED: u64 = 1 << 61;
const TICKET_BITS: u32 = 40;
const MAX_LINKS: u64 = 1 << 20;

/// What the engine knows of the other process.
#[derive(Default)]
pub(super) struct Partner {
    /// The way there, while the link holds.
    to: Option<mpsc::Sender<Out>>,
    /// Tries that are out there, and where their replies go.
    relays: BTreeMap<u64, ReplyTo>,
    /// Keys taken over so far, from this one and from others before it.
    adopted: u64,
    /// Links so far: two other processes may name their tries alike.
    links: u64,
    /// What it takes of what both share, as was last told or heard.
    load: Load,
    /// When it is told again.
    load_due: f64,
}

impl Partner {
    /// Takes the place of another one, which is returned.
    fn replace(&mut self, to: Option<mpsc::Sender<Out>>) -> Partner {
        let fresh = Partner { to, adopted: self.adopted, links: self.links + 1, ..Partner::default() };
        std::mem::replace(self, fresh)
    }

    /// What a try of it is called here.
    fn id_of(&self, ticket: u64) -> RequestId {
        let ticket = ticket & ((1 << TICKET_BITS) - 1);
        RequestId(RELAYED + ((self.links % MAX_LINKS) << TICKET_BITS) + ticket)
    }

    /// Says something; whether it is on its way.
    fn say(&self, message: impl Into<Out>) -> bool {
        self.to.as_ref().is_some_and(|to| to.try_send(message.into()).is_ok())
    }
}

impl Engine {
    /// The interpreter is up: an earlier start, if there is one, is asked to hand over.
    pub(super) fn ask_to_begin(&self) {
        self.partner.say(Message::Begin);
    }

    /// Tells the other process what operators want.
    pub(super) fn pass_on_lameduck(&self) {
        self.partner.say(Message::Lameduck { on: self.lameduck });
    }

    /// What the other process says.
    pub(super) fn heard_of_partner(&mut self, peer: Peer) {
        match peer {
            Peer::Lame { told } => drop(told.send(self.claims.owns().then_some(self.lameduck))),
            Peer::Look { told } => drop(told.send(self.claims.owns())),
            Peer::Earlier { to, lameduck } => {
                self.partner.replace(Some(to));
                match lameduck {
                    Some(true) => self.set_lameduck(true),
                    Some(false) => {}
                    // It has been away, and hears how operators have it.
                    None => self.pass_on_lameduck(),
                }
                if self.module.is_some() {
                    self.ask_to_begin();
                }
            }
            Peer::Found(right) => {
                self.claims.found();
                self.has_right(right);
            }
            Peer::Taken(right) => {
                self.claims.taken(self.now, longest_window(&self.settings));
                self.has_right(right);
            }
            Peer::Begin { to, given } => drop(given.send(self.give_away(to))),
            Peer::Reply { ticket, reply } => {
                if let Some(waits) = self.partner.relays.remove(&ticket) {
                    waits.send(reply.into());
                }
            }
            Peer::Table(entries) => entries.into_iter().for_each(|entry| self.adopt(entry)),
            Peer::Yours { right, doubt } => {
                let epoch = self.epoch;
                self.claims.given(
                    doubt.map(|(since, until)| Uncertainty { since: since - epoch, until: until - epoch }),
                );
                log!("upgrade: {} keys were taken over", self.partner.adopted);
                self.has_right(right);
            }
            Peer::Yielded => log!("upgrade: {} keys were taken over so far", self.partner.adopted),
            Peer::Ended(entry) => self.adopt(entry),
            Peer::Load(load) => self.make_way(load),
            Peer::Work { ticket, work, to } => {
                let id = self.partner.id_of(ticket);
                let reply = ReplyTo::relay(Rc::new(to), ticket);
                let names = &self.names;
                match work.work(|name| names.class(name).ok(), |name| names.tenant(name)) {
                    Some(work) => self.arrive(id, work, reply),
                    None => reply.send(Reply::new(Answer::Bad, self.says())),
                }
            }
            Peer::Gone { ticket } => self.gone(self.partner.id_of(ticket)),
            Peer::Lameduck { on } => self.set_lameduck(on),
            Peer::Farewell => self.partner_lost(),
            Peer::Broke => {
                let gave = self.claims == Claims::Transferred;
                self.claims.broke();
                if gave {
                    self.is_lost();
                }
                self.partner_lost();
            }
            Peer::GiveUp => self.give_up_all(),
        }
    }

    // The right.

    /// Sees whether this process has the right still. Cheap, as a look is good for a while.
    pub(super) fn look(&mut self) {
        let Some(right) = &mut self.right else { return };
        if right.is_held() {
            return;
        }
        self.right = None;
        self.claims.lost();
        log!(
            WARN,
            "upgrade: another start has taken the right to run from this one, which was silent; it yields"
        );
        self.is_lost();
        self.partner_lost();
    }

    /// This process has the right, unless it was taken again on the way.
    fn has_right(&mut self, right: Ownership) {
        self.right = Some(right);
        self.ways.desk.lost.set(false);
        self.look();
        if self.claims.owns() && std::mem::take(&mut self.unreported) {
            self.report();
        }
    }

    /// Says nothing more for the nodo: another process does.
    fn is_lost(&mut self) {
        self.unreported |= self.ways.directory.send_replace(None).is_some();
        self.ways.desk.lost.set(true);
        self.ways.desk.lost_now.notify_waiters();
    }

    // The process that hands over.

    /// Gives all keys to the other process, and with them all that is new from here on, and the right if this process has
    /// it. What it is told goes in order, so that the table is there before the first try that needs it. Returns whether they
    /// are given.
    fn give_away(&mut self, to: mpsc::Sender<Out>) -> bool {
        self.partner.replace(Some(to));
        let in_hand =
            self.now + longest(&self.settings, |class| class.deadline) + longest_window(&self.settings);
        let epoch = self.epoch;
        let entries = self.keys.entries().map(|(key, digest, run)| {
            let (until, state) = match run {
                None => (in_hand, State::InFlight),
                Some((until, run)) => (until, state_of(run)),
            };
            wire::Entry { key: key.clone(), digest, until: until + epoch, state }
        });
        let all = Vec::from_iter(entries);
        let count = all.len();
        let said = wire::pieces(all).into_iter().all(|piece| self.partner.say(Message::Table(piece)));
        let load = self.load();
        // There is no way back once the right has left, so there has to be room for all of it.
        let fits = said && self.partner.say(Message::Load(load));
        let last = match self.right.take() {
            Some(right) if fits => {
                let doubt = self.claims.give().map(|doubt| (doubt.since + epoch, doubt.until + epoch));
                Out {
                    message: Message::Yours { doubt },
                    descriptor: Some(right.into_descriptor()),
                    sent: None,
                }
            }
            None if fits => {
                self.claims.give();
                Message::Yielded.into()
            }
            right => {
                // The other one has not been told that anything is its own.
                log!(ERROR, "upgrade: {count} keys are too many for the link; they stay here");
                self.right = right;
                self.partner.replace(None);
                return false;
            }
        };
        if !self.partner.say(last) {
            // The link has ended with this; the right is nobody's, and is taken back.
            log!(ERROR, "upgrade: the link broke as the keys were given");
        }
        log!("upgrade: {count} keys are the other start's, {} requests are ended here", self.requests.len());
        true
    }

    /// What this process takes of what both share.
    fn load(&self) -> Load {
        let kb: f64 = self.requests.values().map(|entry| entry.held_kb).sum();
        let running = self.requests.values().filter(|entry| matches!(entry.place, Place::Running)).count();
        let descriptors = self.ways.desk.connections.get() + OTHER_SOCKETS;
        Load { kb: kb * self.settings.run_factor, running: running as u32, descriptors: descriptors as u32 }
    }

    /// Tells the later start now and then how much is left for it.
    pub(super) fn tell_load(&mut self) {
        if self.claims != Claims::Transferred || self.now < self.partner.load_due {
            return;
        }
        self.partner.load_due = self.now + LOAD_EVERY;
        let load = self.load();
        if load != self.partner.load {
            self.partner.load = load;
            self.partner.say(Message::Load(load));
        }
    }

    /// Where a try goes, as far as keys have a say.
    pub(super) fn place(&mut self, work: &Work) -> Placement {
        let known = match &work.key {
            None => KeyKnowledge::NoKey,
            Some(key) if self.keys.contains(key) => KeyKnowledge::Local,
            Some(_) => KeyKnowledge::Unknown,
        };
        let may_repeat = work.resent || !self.settings.marks_retry;
        let arrived = work.arrived.map_or(self.now, |unix| unix - self.epoch);
        self.claims.place(self.now, Try { known, may_repeat, arrived })
    }

    /// What this process still has to see to its end: answers that are owed, here or by way of the later start, and, while
    /// that owns the keys, the runs of keys whose callers have left, since what they come to has to be told.
    pub(super) fn in_hand(&self) -> usize {
        let told = self.claims == Claims::Transferred;
        let runs = |e: &&Entry| e.reply.is_none() && e.key.is_some() && e.runs();
        let unheard = if told { self.requests.values().filter(runs).count() } else { 0 };
        // Guards against a nodo that leaves once all callers have their answers, and takes with it a run that it could hand over.
        let leaves = self.stop_at.is_some() && !self.ways.desk.handed.get();
        let outside = self.handover.as_ref().map_or(0, |handover| handover.in_hand(leaves));
        self.owed + self.partner.relays.len() + unheard + outside
    }

    /// Sends a try to the later start.
    pub(super) fn relay(&mut self, id: RequestId, work: Work, reply: ReplyTo) {
        let class = &self.settings.classes[work.class].name;
        let tenant =
            work.tenant.and_then(|tenant| self.settings.tenants.get(tenant)).map(|t| t.name.as_str());
        let keyed = work.key.is_some();
        let message = Message::Work { ticket: id.0, work: RelayedWork::new(work, class, tenant) };
        if self.partner.relays.len() < RELAYS && self.partner.say(message) {
            self.partner.relays.insert(id.0, reply);
            return;
        }
        // Guards against a refusal of a key that another try has had run at the other process.
        let stay_away = self.settings.max_stay_away;
        let answer = if keyed { Answer::Failed } else { Answer::Refused { stay_away, last: false } };
        reply.send(Reply::new(answer, self.says()));
    }

    /// The caller of a try that is out at the later start has gone; whether it was one.
    pub(super) fn relay_gone(&mut self, id: RequestId) -> bool {
        let Some(reply) = self.partner.relays.remove(&id.0) else { return false };
        self.partner.say(Message::Gone { ticket: id.0 });
        reply.send(Reply::new(Answer::Failed, self.says()));
        true
    }

    /// Tells the later start what a key has come to that was in hand here.
    pub(super) fn tell_of_key(&mut self, key: &Key) {
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
        if !self.partner.say(Message::Ended(entry)) {
            log!(ERROR, "upgrade: the link is full; what became of a key is not told");
        }
    }

    /// The nodo is about to end: what is still owed fails.
    fn give_up_all(&mut self) {
        for id in std::mem::take(&mut self.partner.relays).into_iter().map(|(ticket, reply)| {
            reply.send(Reply::new(Answer::Failed, self.says()));
            ticket
        }) {
            self.partner.say(Message::Gone { ticket: id });
        }
        let owed: Vec<RequestId> =
            self.requests.iter().filter(|(_, e)| e.reply.is_some()).map(|(id, _)| *id).collect();
        for id in owed {
            self.answer(id, Answer::Failed);
        }
        self.give_up_waiting();
    }

    // The process that takes over.

    /// Takes over what is known of a key.
    fn adopt(&mut self, entry: wire::Entry) {
        let until = entry.until - self.epoch;
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

    /// Takes in how much the earlier start still takes, and has the module keep to the rest.
    fn make_way(&mut self, load: Load) {
        self.partner.load = load;
        self.events.push(Event::Settings(Box::new(self.share())));
    }

    /// The settings, with this process's part of what two share: the rules count memory and the crowd on the cores for both
    /// together. Calls are left as they are: the module keeps their mean under half of its part.
    pub(super) fn share(&self) -> Settings {
        let (load, set) = (self.partner.load, &self.settings);
        if self.claims == Claims::Transferred || load == Load::default() {
            return set.clone();
        }
        let crowd = set.crowd_multiple - f64::from(load.running) / f64::from(set.cores);
        Settings {
            memory_kb: (set.memory_kb - load.kb).max(0.0),
            crowd_multiple: crowd.max(LEAST_CROWD.min(set.crowd_multiple)),
            ..set.clone()
        }
    }

    // Both.

    /// The other process is gone, or beyond reach. What it had in hand may have run.
    fn partner_lost(&mut self) {
        let partner = self.partner.replace(None);
        for (_, reply) in partner.relays {
            reply.send(Reply::new(Answer::Failed, self.says()));
        }
        if partner.load != Load::default() {
            self.events.push(Event::Settings(Box::new(self.share())));
        }
        for key in self.keys.fail_runs_from(FIRST_ADOPTED_ID) {
            self.serve_followers(&key, None);
        }
    }

    /// Those that wait for the run of a key get what it made.
    pub(super) fn serve_followers(&mut self, key: &Key, result: Option<Rc<[u8]>>) {
        for follower in self.followers.remove(key).unwrap_or_default() {
            self.serve_from(follower, result.clone());
        }
    }
}

pub(super) fn longest(settings: &Settings, time: impl Fn(&Class) -> f64) -> f64 {
    settings.classes.iter().map(time).fold(0.0, f64::max)
}

/// The longest that a key is remembered.
pub(super) fn longest_window(settings: &Settings) -> f64 {
    longest(settings, |class| match class.repeat {
        Repeat::Keyed(window) => window + WINDOW_SLACK,
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
