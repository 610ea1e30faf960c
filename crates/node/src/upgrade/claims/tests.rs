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

/// Whether the rules are wrong in this way in the test that runs.
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
    assert_eq!(claims.place(5.0, first), Placement::Rejected, "the right is not back yet");
    assert_eq!(claims.place(5.0, Try { known: KeyKnowledge::NoKey, ..first }), Placement::Local);
    claims.taken(10.0, WINDOW);
    assert_eq!(claims.place(10.0, first), Placement::Rejected, "it may have reached the other");
    assert_eq!(claims.place(11.0, Try { arrived: 10.5, ..first }), Placement::Local);
    let again = Try { may_repeat: true, arrived: 10.5, ..first };
    assert_eq!(claims.place(11.0, again), Placement::Rejected, "its first try may have run there");
    assert_eq!(claims.place(11.0, Try { known: KeyKnowledge::Local, ..again }), Placement::Local);
    assert_eq!(claims.place(11.0, Try { known: KeyKnowledge::NoKey, ..again }), Placement::Local);
    // What is doubted is doubted by whoever gets the keys next.
    let doubt = claims.clone().give();
    let mut next = Claims::start(false);
    next.given(doubt);
    assert_eq!(next.place(11.0, again), Placement::Rejected);
    assert_eq!(claims.place(70.1, again), Placement::Local, "all windows have passed");
    assert_eq!(claims, Claims::Owned);
    claims.lost();
    assert_eq!(claims.place(71.0, Try { arrived: 71.0, ..first }), Placement::Rejected);
    claims.broke();
    assert_eq!(claims, Claims::Lost, "a link that breaks gives nothing back");
}

/// What a process does that looks for the one that serves: every case.
#[test]
fn the_right_is_taken_from_the_silent_and_the_dead_alone() {
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
        // The first start listens before its interpreter is up.
        (PeerResponse::Nobody, false, false, false, takes(true)),
    ] {
        let context = TakeoverContext { up, others, steady };
        assert_eq!(next_action(response, context), action, "{response:?} {context:?}");
    }
}

#[test]
fn the_right_is_steady_once_nobody_has_taken_it_for_longer_than_a_taking_needs() {
    let (mut steady, ms) = (StabilityWatch::default(), Duration::from_millis);
    assert!(!steady.see(1, ms(0)));
    assert!(!steady.see(1, ms(299)));
    assert!(!steady.see(2, ms(300)));
    assert!(!steady.see(2, ms(599)));
    assert!(steady.see(2, ms(600)));
    assert!(2 * TAKEOVER_DELAY == ms(300));
}

#[test]
fn a_partner_is_silent_after_a_second_and_a_pause_of_ones_own_says_nothing() {
    let at = |n: u32| HEARTBEAT_INTERVAL * n;
    let mut silence = SilenceDetector::default();
    assert!((0..MAX_MISSED_HEARTBEATS).all(|n| !silence.tick(at(n))));
    assert!(silence.tick(at(MAX_MISSED_HEARTBEATS)));
    silence.heard();
    assert!(!silence.tick(at(5)));
    // Frozen here for a minute: what the other said meanwhile has not been read yet.
    let after = at(5) + Duration::from_secs(60);
    assert!((0..=MAX_MISSED_HEARTBEATS).all(|n| !silence.tick(after + at(n))));
    assert!(silence.tick(after + at(MAX_MISSED_HEARTBEATS + 1)));
}

#[test]
fn a_look_is_good_for_less_than_the_wait_of_one_that_takes_the_right() {
    assert!(CHECK_VALIDITY < TAKEOVER_DELAY);
    let looked = Duration::from_secs(5);
    assert!(!check_due(looked, looked + CHECK_VALIDITY - Duration::from_millis(1)));
    assert!(check_due(looked, looked + CHECK_VALIDITY));
}

/// One key, three starts of one nodo, and all that may happen to it, in every order, up to a bound. Any of them may be slow,
/// frozen and woken between any two steps, so any may be taken for silent at any moment. Time stands still but for the taking
/// of the right, so that all is within the window.
#[derive(Clone, Debug)]
struct World {
    now: f64,
    starts: Vec<Start>,
    /// Which right is the present one; whoever holds another has lost it.
    right: u32,
    link: Option<Link>,
    first: First,
    /// Further tries that were read.
    tries: u32,
    takes: u32,
    deaths: u32,
    runs: u32,
    log: Option<Rc<Past>>,
}

/// The first try, the only one that is not marked. Others may be read before it: it may lie unread at a listener.
#[derive(Clone, Copy, Debug)]
enum First {
    ToCome,
    Sent(f64),
    Read,
}

/// What has happened, the last of it first.
#[derive(Debug)]
struct Past {
    at: usize,
    what: &'static str,
    before: Option<Rc<Past>>,
}

/// How far the search goes.
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
    /// What it has on record.
    known: Option<State>,
    right: Option<u32>,
    /// Its last look at that is still good.
    sure: bool,
    /// A try that was read and looked at the right for, and is not placed yet: a pause may fall here.
    read: Option<Try>,
    /// The right that it takes, while it waits.
    takes: Option<u32>,
    dead: bool,
}

#[derive(Clone, Debug)]
struct Link {
    giver: usize,
    taker: usize,
    given: bool,
    /// What the giver has said and the taker has not heard, in order.
    said: Vec<Said>,
}

#[derive(Clone, Copy, PartialEq, Hash, Debug)]
enum State {
    Held,
    Runs,
    Ended,
    /// Another process has it in hand.
    Away,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Said {
    Entry(Option<State>),
    Yours(u32, Option<Uncertainty>),
    Try,
    Ended(Option<State>),
}

/// What must never be.
#[derive(Debug)]
#[expect(dead_code, reason = "told when a test fails")]
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
        let (claims, right) = (Claims::start(first), first.then_some(0));
        Start { claims, known: None, right, sure: first, read: None, takes: None, dead: false }
    }
}

impl World {
    fn new(starts: usize) -> World {
        let starts = (0..starts).map(Start::new).collect();
        let first = First::ToCome;
        World {
            now: 1.0,
            starts,
            right: 0,
            link: None,
            first,
            tries: 0,
            takes: 0,
            deaths: 0,
            runs: 0,
            log: None,
        }
    }

    fn look(&mut self, at: usize) {
        let right = self.right;
        let start = &mut self.starts[at];
        let Some(mine) = start.right else { return };
        if !check_due(Duration::ZERO, if start.sure { Duration::ZERO } else { CHECK_VALIDITY }) {
            return;
        }
        start.sure = mine == right;
        if !start.sure {
            start.right = None;
            start.claims.lost();
            if self.link.as_ref().is_some_and(|link| link.giver == at || link.taker == at) {
                self.break_link();
            }
        }
    }

    fn has_right(&mut self, at: usize, right: u32) {
        self.starts[at].right = Some(right);
        // The first look is made on arrival.
        self.starts[at].sure = mutant(Mutant::TransferredOwnershipIsNotChecked);
        self.look(at);
    }

    fn reads(&mut self, at: usize, a_try: Try) {
        self.look(at);
        self.starts[at].read = Some(a_try);
    }

    fn places(&mut self, at: usize) {
        let now = self.now;
        let start = &mut self.starts[at];
        let Some(a_try) = start.read.take() else { return };
        let known = if start.known.is_some() { KeyKnowledge::Local } else { KeyKnowledge::Unknown };
        match start.claims.place(now, Try { known, ..a_try }) {
            Placement::Local => self.take(at),
            Placement::Remote => {
                if let Some(link) = &mut self.link {
                    link.said.push(Said::Try);
                }
            }
            Placement::Rejected => {}
        }
    }

    /// A try is taken on where it may: it is held, unless something of its key is there already.
    fn take(&mut self, at: usize) {
        self.starts[at].known.get_or_insert(State::Held);
    }

    fn tell(&mut self, at: usize) {
        let known = self.starts[at].known;
        if let Some(link) = self.link.as_mut().filter(|link| link.giver == at && link.given) {
            link.said.push(Said::Ended(known));
        }
    }

    fn break_link(&mut self) {
        let Some(link) = self.link.take() else { return };
        self.starts[link.giver].claims.broke();
        self.starts[link.taker].claims.broke();
        // What the other had in hand may have run.
        if self.starts[link.taker].known == Some(State::Away) {
            self.starts[link.taker].known = Some(State::Ended);
        }
    }

    fn is_linked(&self, at: usize) -> bool {
        self.link.as_ref().is_some_and(|link| link.giver == at || link.taker == at)
    }

    /// All that may happen next.
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
                step(at, "its look gets old", &|w| w.starts[at].sure = false);
            }
            // Within a round it does nothing else.
            if start.read.is_some() {
                step(at, "the try is placed", &|w| w.places(at));
                if may_die {
                    step(at, "it dies", &|w| w.dies(at));
                }
                continue;
            }
            // One that never had the right takes no clients.
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
                Some(State::Held) => {
                    step(at, "it runs", &|w| {
                        w.starts[at].known = Some(State::Runs);
                        w.runs += 1;
                    });
                    if self.runs > 0 {
                        return Err(Broken::new(
                            "held beside a run, to be run or refused",
                            self.log.as_ref(),
                        ));
                    }
                    step(at, "it is refused", &|w| {
                        w.starts[at].known = None;
                        w.tell(at);
                    });
                }
                Some(State::Runs) => step(at, "its run ends", &|w| {
                    w.starts[at].known = Some(State::Ended);
                    w.tell(at);
                }),
                _ => {}
            }
            if start.claims == Claims::Lost && !self.is_linked(at) {
                match start.takes {
                    None if self.takes < bounds.takes => {
                        step(at, "it takes the right from the silent", &|w| {
                            w.right += 1;
                            w.takes += 1;
                            w.starts[at].takes = Some(w.right);
                        })
                    }
                    Some(right) => {
                        let waited = |other: &Start| other.dead || !other.sure;
                        let others = self.starts.iter().enumerate().filter(|(n, _)| *n != at);
                        if others.clone().all(|(_, other)| waited(other))
                            || mutant(Mutant::NewOwnerDoesNotWait)
                        {
                            step(at, "it has waited", &|w| {
                                w.now += 1.0;
                                w.starts[at].takes = None;
                                w.starts[at].claims.taken(w.now, WINDOW);
                                w.has_right(at, right);
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
                                w.look(owner);
                                if w.starts[owner].claims.owns() {
                                    w.link = Some(Link { giver, taker, given: false, said: vec![] });
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
                    w.look(at);
                    let Some(link) = &mut w.link else { return };
                    let start = &mut w.starts[at];
                    let right = start.right.take();
                    link.given = true;
                    let doubt = start.claims.give();
                    link.said.push(Said::Entry(start.known));
                    link.said.extend(right.map(|right| Said::Yours(right, doubt)));
                });
            }
            if link.taker == at && !link.said.is_empty() {
                step(at, "it hears a message", &|w| {
                    let Some(said) = w.link.as_mut().map(|link| link.said.remove(0)) else { return };
                    w.look(at);
                    let start = &mut w.starts[at];
                    match said {
                        Said::Entry(state) | Said::Ended(state) => {
                            let away = |state| match state {
                                State::Ended => State::Ended,
                                _ => State::Away,
                            };
                            if matches!(start.known, None | Some(State::Away)) {
                                start.known = state.map(away);
                            }
                        }
                        Said::Yours(right, doubt) => {
                            start.claims.given(doubt);
                            w.has_right(at, right);
                        }
                        // Where it goes is decided as for any other.
                        Said::Try => {
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
            let in_hand = matches!(start.known, Some(State::Held | State::Runs));
            if link.giver == at && link.given && !in_hand && link.said.is_empty() {
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
        // Nothing else of it matters any more.
        self.starts[at] = Start { dead: true, ..Start::new(at) };
        self.starts[at].sure = false;
    }

    /// Worlds that differ in their past alone go on alike.
    fn mark(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let World { now, starts, right, link, first, tries, takes, deaths, runs, log: _ } = self;
        (now.to_bits(), right, tries, takes, deaths, runs).hash(&mut hasher);
        match first {
            First::ToCome => 0u64.hash(&mut hasher),
            First::Sent(at) => at.to_bits().hash(&mut hasher),
            First::Read => 1u64.hash(&mut hasher),
        }
        for Start { claims, known, right, sure, read, takes, dead } in starts {
            let claims = match claims {
                Claims::Owned => (0, 0),
                Claims::Transferred => (1, 0),
                Claims::Lost => (2, 0),
                Claims::Uncertain(doubt) => (3, doubt.since.to_bits()),
            };
            let read = read.map(|read| (read.may_repeat, read.arrived.to_bits()));
            (claims, known, right, sure, read, takes, dead).hash(&mut hasher);
        }
        if let Some(Link { giver, taker, given, said }) = link {
            (giver, taker, given).hash(&mut hasher);
            for one in said {
                match one {
                    Said::Entry(state) => (0, state).hash(&mut hasher),
                    Said::Yours(right, doubt) => {
                        (1, right, doubt.map(|doubt| doubt.since.to_bits())).hash(&mut hasher);
                    }
                    Said::Try => 2.hash(&mut hasher),
                    Said::Ended(state) => (3, state).hash(&mut hasher),
                }
            }
        }
        hasher.finish()
    }
}

/// Goes through all worlds within the bounds; returns how many there are.
fn explore(bounds: Bounds) -> Result<usize, Broken> {
    let mut worlds = vec![World::new(bounds.starts)];
    let mut seen = HashSet::new();
    while let Some(world) = worlds.pop() {
        for next in world.next(bounds)? {
            if seen.insert(next.mark()) {
                worlds.push(next);
            }
        }
    }
    Ok(seen.len())
}

const TWO: Bounds = Bounds { starts: 2, tries: 2, takes: 2, deaths: 2 };
const THREE: Bounds = Bounds { starts: 3, tries: 1, takes: 1, deaths: 0 };

/// Never two runs of one key, and never a refusal once it may have run, over every order in which tries, looks, runs, ends,
/// refusals, messages, breaks, deaths and takings of the right can come.
#[test]
fn no_order_of_events_runs_a_key_twice_or_refuses_what_ran() {
    for bounds in [TWO, THREE] {
        let worlds = explore(bounds).unwrap_or_else(|broken| panic!("{broken:?}"));
        println!("{} starts: {worlds} worlds", bounds.starts);
        assert!(worlds > 50_000, "only {worlds} worlds: the bound is too low to say anything");
    }
}

/// The search is worth what it can refute: each way in which the rules could be wrong is found.
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
        assert!(found.is_some(), "{one:?} lives");
    }
}

fn key() -> Key {
    Key::from("k")
}

/// The table of keys on the side that takes over: what the other had in hand is followed, never run.
#[test]
fn adopted_keys_do_not_run_and_news_of_them_is_taken_in() {
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
        // Old news change nothing any more.
        keys.adopt(&key(), mark, other(2), 60.0, left.clone());
        assert_eq!(keys.run_state(&key()), left.as_ref());
        keys.expire(61.0);
        assert_eq!((keys.bytes(), keys.contains(&key())), (0, false));
    }
}

#[test]
fn keys_whose_other_process_is_gone_have_failed_and_stay_known() {
    let mut keys = KeyTable::new(100_000);
    keys.adopt(&key(), 7, FIRST_ADOPTED_ID, 50.0, Some(RunState::Running));
    assert_eq!(keys.fail_runs_from(FIRST_ADOPTED_ID), [key()]);
    assert_eq!(keys.run_state(&key()), Some(&RunState::Failed));
    assert!(keys.fail_runs_from(FIRST_ADOPTED_ID).is_empty());
}

/// The other process may say twice that no try of a key ran there. By then one may run here, which stays known.
#[test]
fn old_news_of_a_key_do_not_undo_a_run_of_this_process() {
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
