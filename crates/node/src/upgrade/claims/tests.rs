use super::*;
use crate::keys::{ADOPTED, Keys, Run, print};
use crate::request::Key;
use jaspershunt::RequestId;
use std::collections::BTreeSet;

const WINDOW: f64 = 60.0;

#[test]
fn what_was_sent_on_before_the_break_does_not_run_here() {
    let mut claims = Claims::Mine;
    let first = Try { known: Known::Nothing, may_repeat: false, arrived: 5.0 };
    assert_eq!(claims.place(5.0, first), Goes::Here);
    claims.give();
    assert_eq!(claims.place(5.0, Try { known: Known::Here, ..first }), Goes::There);
    claims.break_off(10.0, WINDOW);
    assert_eq!(claims.place(10.0, first), Goes::Nowhere, "it may have reached the other");
    assert_eq!(claims.place(11.0, Try { arrived: 10.5, ..first }), Goes::Here);
    let again = Try { may_repeat: true, arrived: 10.5, ..first };
    assert_eq!(claims.place(11.0, again), Goes::Nowhere, "its first try may have run there");
    assert_eq!(claims.place(11.0, Try { known: Known::Here, ..again }), Goes::Here);
    assert_eq!(claims.place(11.0, Try { known: Known::NoKey, ..again }), Goes::Here);
    assert_eq!(claims.place(70.1, again), Goes::Here, "all windows have passed");
    assert_eq!(claims, Claims::Mine);
}

/// One key, two processes, and all that may happen to it, in every order, up to a bound. Time stands still but for the
/// break, so that all is within the window.
#[derive(Clone)]
struct World {
    now: f64,
    claims: [Claims; 2],
    /// What each has on record: nothing, held, running, ended.
    known: [Option<State>; 2],
    /// What the earlier start has said and the later one has not heard, in order.
    said: Vec<Said>,
    linked: bool,
    dead: [bool; 2],
    given: bool,
    /// Tries so far, runs begun, and whether one was refused after a run.
    tries: u32,
    runs: u32,
    may_have_run: bool,
    log: Vec<&'static str>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Held,
    Runs,
    Ended,
    /// The other process has it in hand.
    Away,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Said {
    Entry(Option<State>),
    Yours,
    Try,
    Ended(Option<State>),
}

const EARLIER: usize = 0;
const LATER: usize = 1;

impl World {
    fn new() -> World {
        World {
            now: 1.0,
            claims: [Claims::Mine; 2],
            known: [None; 2],
            said: vec![],
            linked: true,
            dead: [false; 2],
            given: false,
            tries: 0,
            runs: 0,
            may_have_run: false,
            log: vec![],
        }
    }

    /// A try reaches a process; the first of the request is not marked, all others are.
    fn arrives(&mut self, at: usize) {
        let known = if self.known[at].is_some() { Known::Here } else { Known::Nothing };
        let a_try = Try { known, may_repeat: self.tries > 0, arrived: self.now };
        self.tries += 1;
        match self.claims[at].place(self.now, a_try) {
            Goes::Here => self.take(at),
            Goes::There => self.said.push(Said::Try),
            Goes::Nowhere => {}
        }
    }

    /// A try is taken on where it may: it is held, unless something of its key is there already.
    fn take(&mut self, at: usize) {
        self.known[at].get_or_insert(State::Held);
    }

    fn runs(&mut self, at: usize) {
        self.known[at] = Some(State::Runs);
        self.runs += 1;
        self.may_have_run = true;
    }

    fn tell(&mut self, at: usize) {
        if at == EARLIER && self.given && self.linked {
            self.said.push(Said::Ended(self.known[EARLIER]));
        }
    }

    /// All that may happen next.
    fn next(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        let mut step = |name, act: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            world.log.push(name);
            act(&mut world);
            world.check();
            worlds.push(world);
        };
        if self.tries < 5 {
            if !self.dead[EARLIER] {
                step("a try at the earlier start", &|w| w.arrives(EARLIER));
            }
            // It takes no clients before the keys are its own, or the earlier start is gone.
            if !self.dead[LATER] && (self.claims[LATER] != Claims::Mine || self.owns()) {
                step("a try at the later start", &|w| w.arrives(LATER));
            }
        }
        for at in [EARLIER, LATER].into_iter().filter(|at| !self.dead[*at]) {
            match self.known[at] {
                Some(State::Held) => {
                    step("it runs", &|w| w.runs(at));
                    step("it is refused", &|w| {
                        assert!(!w.may_have_run, "refused after a run: {:?}", w.log);
                        w.known[at] = None;
                        w.tell(at);
                    });
                }
                Some(State::Runs) => step("its run ends", &|w| {
                    w.known[at] = Some(State::Ended);
                    w.tell(at);
                }),
                _ => {}
            }
        }
        if self.linked && !self.given {
            step("the keys are given", &|w| {
                w.given = true;
                w.claims[EARLIER].give();
                w.said.extend([Said::Entry(w.known[EARLIER]), Said::Yours]);
            });
        }
        if self.linked && !self.said.is_empty() {
            step("a message is heard", &|w| match w.said.remove(0) {
                Said::Entry(state) | Said::Ended(state) => {
                    let away = |state| match state {
                        State::Ended => State::Ended,
                        _ => State::Away,
                    };
                    if matches!(w.known[LATER], None | Some(State::Away)) {
                        w.known[LATER] = state.map(away);
                    }
                }
                Said::Yours => w.log.push("yours"),
                Said::Try => w.take(LATER),
            });
        }
        if self.linked {
            step("the link breaks", &|w| w.break_link());
            step("the later start dies", &|w| {
                w.dead[LATER] = true;
                w.break_link();
            });
            let in_hand = matches!(self.known[EARLIER], Some(State::Held | State::Runs));
            if self.owns() && !in_hand && self.said.is_empty() {
                step("the earlier start has ended its work", &|w| {
                    (w.dead[EARLIER], w.linked) = (true, false);
                });
            }
            step("the earlier start dies", &|w| {
                w.dead[EARLIER] = true;
                w.break_link();
                if !w.owns() {
                    w.claims[LATER].break_off(w.now, WINDOW);
                    w.now += 1.0;
                }
            });
        }
        worlds
    }

    fn break_link(&mut self) {
        self.linked = false;
        self.said.clear();
        self.now += 1.0;
        if self.given {
            self.claims[EARLIER].break_off(self.now, WINDOW);
        }
        if self.owns() {
            self.claims[LATER].break_off(self.now, WINDOW);
        }
        // What the other had in hand may have run.
        if self.known[LATER] == Some(State::Away) {
            self.known[LATER] = Some(State::Ended);
        }
        self.now += 1.0;
    }

    fn owns(&self) -> bool {
        self.log.contains(&"yours")
    }

    fn check(&self) {
        assert!(self.runs <= 1, "two runs: {:?}", self.log);
    }
}

/// Never two runs of one key, and never a refusal once it may have run, over every order in which tries, runs, ends,
/// refusals, messages and the break of the link can come.
#[test]
fn no_order_of_events_runs_a_key_twice_or_refuses_what_ran() {
    let mut worlds = vec![World::new()];
    let (mut seen, mut steps) = (BTreeSet::new(), 0);
    while let Some(world) = worlds.pop() {
        for next in world.next() {
            // Worlds that differ in their past alone go on alike.
            let key = format!(
                "{:?}{:?}{:?}{:?}{:?}{:?}",
                next.claims,
                next.known,
                next.said,
                next.now,
                (next.dead, next.linked, next.given, next.owns()),
                (next.tries, next.runs, next.may_have_run)
            );
            if seen.insert(key) {
                steps += 1;
                worlds.push(next);
            }
        }
    }
    assert!(steps > 500, "only {steps} worlds: the bound is too low to say anything");
}

fn key() -> Key {
    Key::from("k")
}

/// The table of keys on the side that takes over: what the other had in hand is followed, never run.
#[test]
fn adopted_keys_do_not_run_and_news_of_them_is_taken_in() {
    let mark = print("sign", b"x");
    for (news, left) in [
        (Some(Run::Done(vec![9].into())), Some(Run::Done(vec![9].into()))),
        (Some(Run::Failed), Some(Run::Failed)),
        (None, None),
    ] {
        let mut keys = Keys::new(100_000);
        let other = |n| RequestId(ADOPTED.0 + n);
        assert!(keys.adopt(&key(), mark, other(0), 50.0, Some(Run::Running)));
        assert_eq!(keys.arrived(&key(), mark, RequestId(1), 1.0, |_| false), Ok(Some(other(0))));
        assert!(keys.adopt(&key(), mark, other(1), 60.0, news));
        assert_eq!(keys.run(&key()), left.as_ref());
        // Old news change nothing any more.
        keys.adopt(&key(), mark, other(2), 60.0, left.clone());
        assert_eq!(keys.run(&key()), left.as_ref());
        keys.expire(61.0);
        assert_eq!((keys.bytes(), keys.knows(&key())), (0, false));
    }
}

#[test]
fn keys_whose_other_process_is_gone_have_failed_and_stay_known() {
    let mut keys = Keys::new(100_000);
    keys.adopt(&key(), 7, ADOPTED, 50.0, Some(Run::Running));
    assert_eq!(keys.fail_from(ADOPTED), [key()]);
    assert_eq!(keys.run(&key()), Some(&Run::Failed));
    assert!(keys.fail_from(ADOPTED).is_empty());
}

/// The other process may say twice that no try of a key ran there. By then one may run here, which stays known.
#[test]
fn old_news_of_a_key_do_not_undo_a_run_of_this_process() {
    let mut keys = Keys::new(100_000);
    keys.adopt(&key(), 7, ADOPTED, 50.0, Some(Run::Running));
    assert!(keys.adopt(&key(), 7, RequestId(ADOPTED.0 + 1), 50.0, None));
    assert_eq!(keys.arrived(&key(), 7, RequestId(1), 1.0, |_| false), Ok(None));
    keys.started(&key(), RequestId(1), 61.0);
    for news in [None, Some(Run::Failed), Some(Run::Running)] {
        assert!(!keys.adopt(&key(), 7, RequestId(ADOPTED.0 + 2), 50.0, news));
        assert_eq!(keys.run(&key()), Some(&Run::Running));
    }
    assert_eq!(keys.arrived(&key(), 7, RequestId(2), 2.0, |_| false), Ok(Some(RequestId(1))));
}
