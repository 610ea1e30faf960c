use super::*;
use crate::keys::{FIRST_ADOPTED_ID, KeyTable, RunState, digest};
use crate::request::Key;
use jaspershunt::RequestId;
use std::cell::Cell;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

const WINDOW: f64 = 60.0;

thread_local! {
    static MUTANT: Cell<Option<Mutant>> = const { Cell::new(None) };
}

/// Whether the running test has activated this mutant.
pub(super) fn mutant(one: Mutant) -> bool {
    MUTANT.get() == Some(one)
}

#[test]
fn what_may_have_run_elsewhere_does_not_run_here() {
    let mut claims = Claims::start(true);
    let first = Try { known: KeyKnowledge::Unknown, may_repeat: false, arrived: 5.0 };
    assert_eq!(claims.place(5.0, first), Placement::Local);
    assert_eq!(claims.give(), None);
    assert_eq!(claims.place(5.0, Try { known: KeyKnowledge::Local, ..first }), Placement::Remote);
    claims.broke();
    assert_eq!(claims.place(5.0, first), Placement::Rejected, "ownership is not back yet");
    assert_eq!(claims.place(5.0, Try { known: KeyKnowledge::NoKey, ..first }), Placement::Local);
    claims.taken(10.0, WINDOW);
    assert_eq!(claims.place(10.0, first), Placement::Rejected, "it may have reached the other process");
    assert_eq!(claims.place(11.0, Try { arrived: 10.5, ..first }), Placement::Local);
    let again = Try { may_repeat: true, arrived: 10.5, ..first };
    assert_eq!(claims.place(11.0, again), Placement::Rejected, "its first try may have run there");
    assert_eq!(claims.place(11.0, Try { known: KeyKnowledge::Local, ..again }), Placement::Local);
    assert_eq!(claims.place(11.0, Try { known: KeyKnowledge::NoKey, ..again }), Placement::Local);
    // The uncertainty is transferred with the keys.
    let doubt = claims.clone().give();
    let mut next = Claims::start(false);
    next.given(doubt);
    assert_eq!(next.place(11.0, again), Placement::Rejected);
    assert_eq!(claims.place(70.1, again), Placement::Local, "all windows have passed");
    assert_eq!(claims, Claims::Owned);
    claims.lost();
    assert_eq!(claims.place(71.0, Try { arrived: 71.0, ..first }), Placement::Rejected);
    claims.broke();
    assert_eq!(claims, Claims::Lost, "a broken link returns no keys");
}

/// Every case of a process that looks for the owner.
#[test]
fn ownership_is_taken_only_from_silent_and_ended_processes() {
    let takes = |alone| TakeoverAction::Acquire { alone };
    for (response, up, others, steady, action) in [
        (PeerResponse::Answers, false, true, false, TakeoverAction::Connect),
        (PeerResponse::Answers, true, true, true, TakeoverAction::Connect),
        (PeerResponse::Declines, true, true, true, TakeoverAction::Retry),
        (PeerResponse::Declines, false, true, true, TakeoverAction::Retry),
        (PeerResponse::Silent, true, true, false, takes(false)),
        (PeerResponse::Silent, false, true, true, TakeoverAction::Retry),
        (PeerResponse::Nobody, true, true, true, takes(false)),
        (PeerResponse::Nobody, true, true, false, TakeoverAction::Retry),
        (PeerResponse::Nobody, false, true, true, TakeoverAction::Retry),
        (PeerResponse::Nobody, true, false, false, takes(true)),
        // The first process listens before its interpreter is up.
        (PeerResponse::Nobody, false, false, false, takes(true)),
    ] {
        let context = TakeoverContext { up, others, steady };
        assert_eq!(next_action(response, context), action, "{response:?} {context:?}");
    }
}

#[test]
fn ownership_is_stable_once_it_is_unchanged_for_longer_than_a_takeover_takes() {
    let (mut steady, ms) = (StabilityWatch::default(), Duration::from_millis);
    assert!(!steady.see(1, ms(0)));
    assert!(!steady.see(1, ms(299)));
    assert!(!steady.see(2, ms(300)));
    assert!(!steady.see(2, ms(599)));
    assert!(steady.see(2, ms(600)));
    assert!(2 * TAKEOVER_DELAY == ms(300));
}

#[test]
fn a_partner_is_silent_after_a_second_and_an_own_pause_does_not_count() {
    let at = |n: u32| HEARTBEAT_INTERVAL * n;
    let mut silence = SilenceDetector::default();
    assert!((0..MAX_MISSED_HEARTBEATS).all(|n| !silence.tick(at(n))));
    assert!(silence.tick(at(MAX_MISSED_HEARTBEATS)));
    silence.heard();
    assert!(!silence.tick(at(5)));
    // This process was paused for a minute: messages of the other are still unread.
    let after = at(5) + Duration::from_secs(60);
    assert!((0..=MAX_MISSED_HEARTBEATS).all(|n| !silence.tick(after + at(n))));
    assert!(silence.tick(after + at(MAX_MISSED_HEARTBEATS + 1)));
}

#[test]
fn a_check_expires_before_the_takeover_delay_of_a_new_owner() {
    assert!(CHECK_VALIDITY < TAKEOVER_DELAY);
    let checked = Duration::from_secs(5);
    assert!(!check_due(checked, checked + CHECK_VALIDITY - Duration::from_millis(1)));
    assert!(check_due(checked, checked + CHECK_VALIDITY));
}

/// A state of the model: one key and up to three processes of one nodo, explored over every order of events
/// up to a bound. Any process may be slow, or paused and resumed between any two steps, so any may count as
/// silent at any moment. Time advances only at a takeover, so that everything happens within the window.
#[derive(Clone, Debug)]
struct World {
    now: f64,
    starts: Vec<Start>,
    /// The number of the present ownership; a process with a lower one has lost it.
    ownership: u32,
    link: Option<Link>,
    first: First,
    /// The number of repeated tries that were read.
    tries: u32,
    takes: u32,
    deaths: u32,
    runs: u32,
    log: Option<Rc<Past>>,
}

/// The first try, the only unmarked one. Others may be read before it, while it waits unread at a listener.
#[derive(Clone, Copy, Debug)]
enum First {
    ToCome,
    Sent(f64),
    Read,
}

/// The past events, the latest first.
#[derive(Debug)]
struct Past {
    at: usize,
    what: &'static str,
    before: Option<Rc<Past>>,
}

/// The bounds of the search.
#[derive(Clone, Copy)]
struct Bounds {
    starts: usize,
    tries: u32,
    takes: u32,
    deaths: u32,
}

#[derive(Clone, Debug)]
struct Start {
    claims: Claims,
    /// What it knows of the key.
    known: Option<State>,
    ownership: Option<u32>,
    /// Its last ownership check is still valid.
    sure: bool,
    /// A try that was read, with an ownership check, and is not placed yet: a pause may occur here.
    read: Option<Try>,
    /// The number of the ownership that it acquires, during the takeover delay.
    takes: Option<u32>,
    dead: bool,
}

#[derive(Clone, Debug)]
struct Link {
    giver: usize,
    taker: usize,
    given: bool,
    /// The messages from the giver that the taker has not received, in order.
    messages: Vec<Sent>,
}

#[derive(Clone, Copy, PartialEq, Hash, Debug)]
enum State {
    Queued,
    Runs,
    Ended,
    /// It is in flight in another process.
    Remote,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Sent {
    Entry(Option<State>),
    Yours(u32, Option<Uncertainty>),
    Try,
    Ended(Option<State>),
}

/// A violation of the rules, with the events that led to it.
#[derive(Debug)]
#[expect(dead_code, reason = "printed when a test fails")]
struct Broken(&'static str, Vec<(usize, &'static str)>);

impl Broken {
    fn new(what: &'static str, mut past: Option<&Rc<Past>>) -> Broken {
        let mut all = Vec::new();
        while let Some(step) = past {
            all.push((step.at, step.what));
            past = step.before.as_ref();
        }
        all.reverse();
        Broken(what, all)
    }
}

impl Start {
    fn new(n: usize) -> Start {
        let first = n == 0;
        let (claims, ownership) = (Claims::start(first), first.then_some(0));
        Start { claims, known: None, ownership, sure: first, read: None, takes: None, dead: false }
    }
}

impl World {
    fn new(starts: usize) -> World {
        let starts = (0..starts).map(Start::new).collect();
        let first = First::ToCome;
        World {
            now: 1.0,
            starts,
            ownership: 0,
            link: None,
            first,
            tries: 0,
            takes: 0,
            deaths: 0,
            runs: 0,
            log: None,
        }
    }

    fn check(&mut self, at: usize) {
        let ownership = self.ownership;
        let start = &mut self.starts[at];
        let Some(mine) = start.ownership else { return };
        if !check_due(Duration::ZERO, if start.sure { Duration::ZERO } else { CHECK_VALIDITY }) {
            return;
        }
        start.sure = mine == ownership;
        if !start.sure {
            start.ownership = None;
            start.claims.lost();
            if self.link.as_ref().is_some_and(|link| link.giver == at || link.taker == at) {
                self.break_link();
            }
        }
    }

    fn set_ownership(&mut self, at: usize, ownership: u32) {
        self.starts[at].ownership = Some(ownership);
        // The first check is made on arrival.
        self.starts[at].sure = mutant(Mutant::TransferredOwnershipIsNotChecked);
        self.check(at);
    }

    fn reads(&mut self, at: usize, a_try: Try) {
        self.check(at);
        self.starts[at].read = Some(a_try);
    }

    fn places(&mut self, at: usize) {
        let now = self.now;
        let start = &mut self.starts[at];
        let Some(a_try) = start.read.take() else { return };
        let known = if start.known.is_some() { KeyKnowledge::Local } else { KeyKnowledge::Unknown };
        match start.claims.place(now, Try { known, ..a_try }) {
            Placement::Local => self.accept(at),
            Placement::Remote => {
                if let Some(link) = &mut self.link {
                    link.messages.push(Sent::Try);
                }
            }
            Placement::Rejected => {}
        }
    }

    /// Accepts a try: it is queued, unless the key is already known.
    fn accept(&mut self, at: usize) {
        self.starts[at].known.get_or_insert(State::Queued);
    }

    fn send_outcome(&mut self, at: usize) {
        let known = self.starts[at].known;
        if let Some(link) = self.link.as_mut().filter(|link| link.giver == at && link.given) {
            link.messages.push(Sent::Ended(known));
        }
    }

    fn break_link(&mut self) {
        let Some(link) = self.link.take() else { return };
        self.starts[link.giver].claims.broke();
        self.starts[link.taker].claims.broke();
        // What was in flight in the other process may have run.
        if self.starts[link.taker].known == Some(State::Remote) {
            self.starts[link.taker].known = Some(State::Ended);
        }
    }

    fn is_linked(&self, at: usize) -> bool {
        self.link.as_ref().is_some_and(|link| link.giver == at || link.taker == at)
    }

    /// Returns all states that may follow.
    fn next(&self, bounds: Bounds) -> Result<Vec<World>, Broken> {
        let mut worlds = Vec::new();
        let mut step = |at: usize, name, act: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            world.log = Some(Rc::new(Past { at, what: name, before: self.log.clone() }));
            act(&mut world);
            worlds.push(world);
        };
        if let First::ToCome = self.first {
            step(0, "the first try is sent", &|w| w.first = First::Sent(w.now));
        }
        let may_die = self.deaths < bounds.deaths;
        for (at, start) in self.starts.iter().enumerate().filter(|(_, start)| !start.dead) {
            if start.sure {
                step(at, "its check expires", &|w| w.starts[at].sure = false);
            }
            // Within a round the process does nothing else.
            if start.read.is_some() {
                step(at, "the try is placed", &|w| w.places(at));
                if may_die {
                    step(at, "it dies", &|w| w.dies(at));
                }
                continue;
            }
            // A process that never had ownership accepts no clients.
            let takes_clients = at == 0 || start.claims != Claims::Lost || start.known.is_some();
            let unknown = Try { known: KeyKnowledge::Unknown, may_repeat: true, arrived: self.now };
            if let (First::Sent(arrived), true) = (self.first, takes_clients) {
                step(at, "the first try is read", &|w| {
                    w.first = First::Read;
                    w.reads(at, Try { may_repeat: false, arrived, ..unknown });
                });
            }
            if self.tries < bounds.tries && takes_clients && !matches!(self.first, First::ToCome) {
                step(at, "a further try is read", &|w| {
                    w.tries += 1;
                    w.reads(at, unknown);
                });
            }
            match start.known {
                Some(State::Queued) => {
                    step(at, "it runs", &|w| {
                        w.starts[at].known = Some(State::Runs);
                        w.runs += 1;
                    });
                    if self.runs > 0 {
                        return Err(Broken::new(
                            "queued while another try ran, to be run or refused",
                            self.log.as_ref(),
                        ));
                    }
                    step(at, "it is refused", &|w| {
                        w.starts[at].known = None;
                        w.send_outcome(at);
                    });
                }
                Some(State::Runs) => step(at, "its run ends", &|w| {
                    w.starts[at].known = Some(State::Ended);
                    w.send_outcome(at);
                }),
                _ => {}
            }
            if start.claims == Claims::Lost && !self.is_linked(at) {
                match start.takes {
                    None if self.takes < bounds.takes => {
                        step(at, "it takes ownership from a silent process", &|w| {
                            w.ownership += 1;
                            w.takes += 1;
                            w.starts[at].takes = Some(w.ownership);
                        })
                    }
                    Some(ownership) => {
                        let waited = |other: &Start| other.dead || !other.sure;
                        let others = self.starts.iter().enumerate().filter(|(n, _)| *n != at);
                        if others.clone().all(|(_, other)| waited(other))
                            || mutant(Mutant::NewOwnerDoesNotWait)
                        {
                            step(at, "its takeover delay is over", &|w| {
                                w.now += 1.0;
                                w.starts[at].takes = None;
                                w.starts[at].claims.taken(w.now, WINDOW);
                                w.set_ownership(at, ownership);
                                w.now += 1.0;
                            });
                        }
                    }
                    None => {}
                }
                if start.takes.is_none() && self.link.is_none() {
                    let owners = self.starts.iter().enumerate().filter(|(n, other)| {
                        *n != at && !other.dead && other.claims.owns() && other.read.is_none()
                    });
                    for (owner, _) in owners {
                        let links = |giver, taker| {
                            move |w: &mut World| {
                                w.check(owner);
                                if w.starts[owner].claims.owns() {
                                    w.link = Some(Link { giver, taker, given: false, messages: vec![] });
                                }
                            }
                        };
                        step(at, "it asks for the keys", &links(owner, at));
                        step(at, "it yields", &links(at, owner));
                    }
                }
            }
            let Some(link) = self.link.as_ref().filter(|link| link.giver == at || link.taker == at) else {
                if may_die {
                    step(at, "it dies", &|w| w.dies(at));
                }
                continue;
            };
            if link.giver == at && !link.given {
                step(at, "it gives the keys", &|w| {
                    w.check(at);
                    let Some(link) = &mut w.link else { return };
                    let start = &mut w.starts[at];
                    let ownership = start.ownership.take();
                    link.given = true;
                    let doubt = start.claims.give();
                    link.messages.push(Sent::Entry(start.known));
                    link.messages.extend(ownership.map(|ownership| Sent::Yours(ownership, doubt)));
                });
            }
            if link.taker == at && !link.messages.is_empty() {
                step(at, "it receives a message", &|w| {
                    let Some(message) = w.link.as_mut().map(|link| link.messages.remove(0)) else { return };
                    w.check(at);
                    let start = &mut w.starts[at];
                    match message {
                        Sent::Entry(state) | Sent::Ended(state) => {
                            let away = |state| match state {
                                State::Ended => State::Ended,
                                _ => State::Remote,
                            };
                            if matches!(start.known, None | Some(State::Remote)) {
                                start.known = state.map(away);
                            }
                        }
                        Sent::Yours(ownership, doubt) => {
                            start.claims.given(doubt);
                            w.set_ownership(at, ownership);
                        }
                        // Placed like any other try.
                        Sent::Try => {
                            start.read =
                                Some(Try { known: KeyKnowledge::Unknown, may_repeat: true, arrived: w.now });
                        }
                    }
                });
            }
            step(at, "its link breaks", &|w| w.break_link());
            if may_die {
                step(at, "it dies", &|w| w.dies(at));
            }
            let in_flight = matches!(start.known, Some(State::Queued | State::Runs));
            if link.giver == at && link.given && !in_flight && link.messages.is_empty() {
                step(at, "it has ended its work", &|w| {
                    w.starts[at].dead = true;
                    w.link = None;
                });
            }
        }
        if let Some(world) = worlds.iter().find(|world| world.runs > 1) {
            return Err(Broken::new("two runs", world.log.as_ref()));
        }
        Ok(worlds)
    }

    fn dies(&mut self, at: usize) {
        if self.is_linked(at) {
            self.break_link();
        }
        self.deaths += 1;
        // The rest of its state no longer matters.
        self.starts[at] = Start { dead: true, ..Start::new(at) };
        self.starts[at].sure = false;
    }

    /// Returns a hash of the state without its past, which has no influence on what follows.
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let World { now, starts, ownership, link, first, tries, takes, deaths, runs, log: _ } = self;
        (now.to_bits(), ownership, tries, takes, deaths, runs).hash(&mut hasher);
        match first {
            First::ToCome => 0u64.hash(&mut hasher),
            First::Sent(at) => at.to_bits().hash(&mut hasher),
            First::Read => 1u64.hash(&mut hasher),
        }
        for Start { claims, known, ownership, sure, read, takes, dead } in starts {
            let claims = match claims {
                Claims::Owned => (0, 0),
                Claims::Transferred => (1, 0),
                Claims::Lost => (2, 0),
                Claims::Uncertain(doubt) => (3, doubt.since.to_bits()),
            };
            let read = read.map(|read| (read.may_repeat, read.arrived.to_bits()));
            (claims, known, ownership, sure, read, takes, dead).hash(&mut hasher);
        }
        if let Some(Link { giver, taker, given, messages }) = link {
            (giver, taker, given).hash(&mut hasher);
            for one in messages {
                match one {
                    Sent::Entry(state) => (0, state).hash(&mut hasher),
                    Sent::Yours(ownership, doubt) => {
                        (1, ownership, doubt.map(|doubt| doubt.since.to_bits())).hash(&mut hasher);
                    }
                    Sent::Try => 2.hash(&mut hasher),
                    Sent::Ended(state) => (3, state).hash(&mut hasher),
                }
            }
        }
        hasher.finish()
    }
}

/// Explores all states within the bounds; returns their number.
fn explore(bounds: Bounds) -> Result<usize, Broken> {
    let mut worlds = vec![World::new(bounds.starts)];
    let mut seen = HashSet::new();
    while let Some(world) = worlds.pop() {
        for next in world.next(bounds)? {
            if seen.insert(next.state_hash()) {
                worlds.push(next);
            }
        }
    }
    Ok(seen.len())
}

const TWO: Bounds = Bounds { starts: 2, tries: 2, takes: 2, deaths: 2 };
const THREE: Bounds = Bounds { starts: 3, tries: 1, takes: 1, deaths: 0 };

/// A key never runs twice, and is never refused once it may have run, in any order of tries, checks, runs,
/// ends, refusals, messages, broken links, deaths and takeovers.
#[test]
fn no_order_of_events_runs_a_key_twice_or_refuses_what_ran() {
    for bounds in [TWO, THREE] {
        let worlds = explore(bounds).unwrap_or_else(|broken| panic!("{broken:?}"));
        println!("{} starts: {worlds} worlds", bounds.starts);
        assert!(worlds > 50_000, "only {worlds} worlds: the bounds are too low for a meaningful search");
    }
}

/// The search detects each deliberate error in the rules.
#[test]
fn every_mutant_of_the_rules_is_killed() {
    for one in [
        Mutant::UncertaintyIsNotTransferred,
        Mutant::ResumedProcessKeepsOwnership,
        Mutant::DisconnectReturnsTheKeys,
        Mutant::FormerOwnerRunsFirstTries,
        Mutant::NewOwnerRunsRepeatedTries,
        Mutant::NewOwnerRunsOldTries,
        Mutant::OwnershipIsCheckedOnce,
        Mutant::NewOwnerDoesNotWait,
        Mutant::TransferredOwnershipIsNotChecked,
    ] {
        MUTANT.set(Some(one));
        let found = explore(TWO).err().or_else(|| explore(THREE).err());
        MUTANT.set(None);
        println!("{one:?}: {found:?}");
        assert!(found.is_some(), "{one:?} is not detected");
    }
}

fn key() -> Key {
    Key::from("k")
}

/// The key table of the process that takes over: keys in flight in the other process are tracked, never run.
#[test]
fn adopted_keys_do_not_run_and_their_outcomes_are_recorded() {
    let mark = digest("sign", b"x");
    for (news, left) in [
        (Some(RunState::Done(vec![9].into())), Some(RunState::Done(vec![9].into()))),
        (Some(RunState::Failed), Some(RunState::Failed)),
        (None, None),
    ] {
        let mut keys = KeyTable::new(100_000);
        let other = |n| RequestId(FIRST_ADOPTED_ID.0 + n);
        assert!(keys.adopt(&key(), mark, other(0), 50.0, Some(RunState::Running)));
        assert_eq!(keys.register_try(&key(), mark, RequestId(1), 1.0, |_| false), Ok(Some(other(0))));
        assert!(keys.adopt(&key(), mark, other(1), 60.0, news));
        assert_eq!(keys.run_state(&key()), left.as_ref());
        // A stale outcome changes nothing.
        keys.adopt(&key(), mark, other(2), 60.0, left.clone());
        assert_eq!(keys.run_state(&key()), left.as_ref());
        // It is known as long as a try of it is.
        keys.expire(61.0);
        assert!(keys.contains(&key()) && keys.run_state(&key()).is_none());
        keys.release_try(&key(), RequestId(1));
        assert_eq!((keys.bytes(), keys.contains(&key())), (0, false));
    }
}

#[test]
fn keys_in_flight_in_an_ended_process_fail_and_stay_known() {
    let mut keys = KeyTable::new(100_000);
    keys.adopt(&key(), 7, FIRST_ADOPTED_ID, 50.0, Some(RunState::Running));
    assert_eq!(keys.fail_runs_from(FIRST_ADOPTED_ID), [key()]);
    assert_eq!(keys.run_state(&key()), Some(&RunState::Failed));
    assert!(keys.fail_runs_from(FIRST_ADOPTED_ID).is_empty());
}

/// The other process may report twice that no try of a key ran there. By then one may run here, which must
/// stay known.
#[test]
fn a_stale_outcome_does_not_undo_a_run_of_this_process() {
    let mut keys = KeyTable::new(100_000);
    keys.adopt(&key(), 7, FIRST_ADOPTED_ID, 50.0, Some(RunState::Running));
    assert!(keys.adopt(&key(), 7, RequestId(FIRST_ADOPTED_ID.0 + 1), 50.0, None));
    assert_eq!(keys.register_try(&key(), 7, RequestId(1), 1.0, |_| false), Ok(None));
    keys.start_run(&key(), RequestId(1), 61.0);
    for news in [None, Some(RunState::Failed), Some(RunState::Running)] {
        assert!(!keys.adopt(&key(), 7, RequestId(FIRST_ADOPTED_ID.0 + 2), 50.0, news));
        assert_eq!(keys.run_state(&key()), Some(&RunState::Running));
    }
    assert_eq!(keys.register_try(&key(), 7, RequestId(2), 2.0, |_| false), Ok(Some(RequestId(1))));
}
