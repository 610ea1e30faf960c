//! Calls that would likely end too late are not made, but some call is always made again.

mod common;
use common::*;
use jaspershunt::*;
use std::collections::{BTreeMap, BTreeSet};

fn back(id: u64, outcome: Outcome, took: f64) -> Event {
    Event::CallEnded { id: RequestId(id), outcome, took }
}

fn wants(id: u64) -> Event {
    Event::CallWanted { id: RequestId(id) }
}

/// Calls took 1 s, and from 0.92 s on three are in flight: as many as the share of 4 x 0.95 = 3.8 allows.
/// Requests 4 and 5, of which 5 has the given class, arrived at 0.1 s and wait for their calls.
fn saturated(set: Settings, class: usize) -> Server {
    let mut server = Server::new(Settings { cores: 8, ..set });
    server.step(0.0, &[arrived(1, 0, 1)]);
    server.step(0.05, &[wants(1)]);
    server.step(0.1, &[arrived(4, 0, 4), arrived(5, class, 5)]);
    server.step(0.9, &[back(1, Outcome::Done, 1.0)]);
    server.step(0.91, &[arrived(2, 0, 2), arrived(3, 0, 3)]);
    assert_eq!(calls(&server.step(0.92, &[wants(1), wants(2), wants(3)])), [1, 2, 3]);
    assert!(calls(&server.step(0.93, &[wants(4), wants(5)])).is_empty());
    server
}

/// Calls are made in the order in which requests are due, so otherwise they start just before they become
/// useless: half of the calls that reads gave up while a store was slow were made with 0.04 s left, where
/// calls took 0.1 s.
#[test]
fn requests_with_less_time_left_than_calls_take_are_answered_at_once() {
    for (class, safe) in [(0, true), (1, false), (2, false)] {
        let mut server = saturated(settings(), class);
        // They arrived at 0.1 s and are due at 0.1 + 2 - 0.02 = 2.08 s. At 1.07 s there is time for a call of
        // 1 s.
        let actions = server.step(1.07, &[]);
        assert!(refused(&actions).is_empty() && failed(&actions).is_empty());
        let actions = server.step(1.09, &[]);
        assert_eq!((refused(&actions).contains(&5), failed(&actions).contains(&5)), (safe, !safe));
        assert!(refused(&actions).contains(&4));
        // The others arrived later or are at their calls.
        assert_eq!(refused(&actions).len() + failed(&actions).len(), 2);
        // No call is made for them once the dependency has capacity.
        let ends = [1, 2, 3].map(|id| back(id, Outcome::Done, 1.0));
        assert!(calls(&server.step(1.92, &ends)).is_empty());
    }
}

#[test]
fn requests_that_may_skip_their_call_are_not_given_up() {
    let mut set = settings();
    set.classes[2].skip_worth = 0.5;
    let mut server = saturated(set, 2);
    let actions = server.step(1.09, &[]);
    assert_eq!((refused(&actions), failed(&actions)), (vec![4], vec![]));
    // At 1.33 s it has waited for the delay budget of 0.4 s.
    assert!(server.step(1.34, &[]).contains(&Action::SkipCall(RequestId(5))));
}

/// A call that is given up early shows only that it would have taken longer.
#[test]
fn a_call_given_up_early_does_not_lower_the_mean() {
    for (outcome, given_up) in [(Outcome::GivenUp, vec![2]), (Outcome::Done, vec![])] {
        let mut server = Server::new(Settings { cores: 8, ..settings() });
        server.step(0.0, &[arrived(1, 0, 1), arrived(2, 0, 2), arrived(3, 0, 3)]);
        server.step(0.01, &[wants(1)]);
        server.step(0.02, &[back(1, Outcome::Done, 1.0), wants(1), wants(3)]);
        // 0.01 s: the mean stays 1 s if the call was given up, otherwise it is 1 - 0.08 x 0.99 = 0.92 s. At
        // 1.03 s the second has 0.95 s left of its 1.98 s, while the third is at its call.
        server.step(0.03, &[back(1, outcome, 0.01)]);
        assert_eq!(refused(&server.step(1.03, &[wants(2)])), given_up, "{outcome:?}");
    }
}

/// Simulates a server and its store in steps of 10 ms, with one request every 50 ms of each given class.
struct Simulation {
    server: Server,
    now: f64,
    next: u64,
    class: BTreeMap<u64, usize>,
    /// The pending events by step number.
    pending: BTreeMap<u64, Vec<Event>>,
    parked: BTreeSet<u64>,
    answered: BTreeSet<u64>,
    /// Classes of the calls that succeeded.
    done: Vec<usize>,
}

impl Simulation {
    fn schedule(&mut self, after: f64, event: Event) {
        let at = ((self.now + after) * 100.0).round() as u64;
        self.pending.entry(at).or_default().push(event);
    }

    fn run_until(&mut self, end: f64, classes: &[usize], call: f64) {
        while self.now < end {
            let step = (self.now * 100.0).round() as u64;
            let mut events = self.pending.remove(&step).unwrap_or_default();
            if step.is_multiple_of(5) {
                for class in classes {
                    self.next += 1;
                    self.class.insert(self.next, *class);
                    events.push(arrived(self.next, *class, self.next % 7));
                }
            }
            for event in &events {
                match event {
                    Event::CallWanted { id } => drop(self.parked.insert(id.0)),
                    Event::CallEnded { id, outcome: Outcome::Done, .. } => {
                        self.done.push(self.class[&id.0]);
                        self.schedule(0.01, ended(id.0, Outcome::Done));
                    }
                    Event::CallEnded { id, .. } => drop(self.parked.insert(id.0)),
                    _ => {}
                }
            }
            for action in self.server.step(self.now, &events) {
                match action {
                    Action::Run(id) => self.schedule(0.01, Event::CallWanted { id }),
                    Action::Call { id, give_up_after } => {
                        self.parked.remove(&id.0);
                        let well = call <= give_up_after;
                        let outcome = if well { Outcome::Done } else { Outcome::GivenUp };
                        let took = call.min(give_up_after);
                        self.schedule(took.max(0.01), back(id.0, outcome, took));
                    }
                    Action::Refuse { id, .. } | Action::Fail(id) => drop(self.answered.insert(id.0)),
                    _ => {}
                }
            }
            // A run that was answered while parked ends.
            for id in self.parked.intersection(&self.answered).copied().collect::<Vec<_>>() {
                self.parked.remove(&id);
                self.schedule(0.01, ended(id, Outcome::Failed));
            }
            self.now += 0.01;
        }
    }
}

/// After a store was very slow, no request may have as much time left as the mean call time. The mean changes
/// only when a call ends, so without calls it would never change.
#[test]
fn calls_resume_after_a_very_slow_store_has_recovered() {
    // Calls that end after 3.5 s, and calls too long for any request.
    for slow in [3.5, 60.0] {
        let mut set = settings();
        (set.classes[0].late_worth, set.classes[2].aim, set.cores) = (0.5, 0.5, 8);
        let mut simulation = Simulation {
            server: Server::new(set),
            now: 0.0,
            next: 0,
            class: BTreeMap::new(),
            pending: BTreeMap::new(),
            parked: BTreeSet::new(),
            answered: BTreeSet::new(),
            done: Vec::new(),
        };
        // Requests with 3.98 s each, then as long without new ones until the last has ended.
        simulation.run_until(20.0, &[0], slow);
        simulation.run_until(24.0, &[], slow);
        // The store has recovered, and only requests with 0.48 s each arrive, one every 0.05 s. The mean is
        // at most 3.98 s; 26 calls of 0.05 s lower it below 0.48 s. One at a time, each after 0.01 s on a
        // core and with the next request up to 0.05 s away, they take at most 0.11 s each: 2.9 s in total.
        simulation.run_until(27.0, &[2], 0.05);
        simulation.done.clear();
        simulation.run_until(32.0, &[2], 0.05);
        // Out of 100 requests in these 5 s.
        assert!(
            simulation.done.len() >= 90,
            "{} calls in 5 s after calls of {slow} s",
            simulation.done.len()
        );
    }
}
