//! Tests of whole calls, and a property test that checks the invariants after each of a sequence of random
//! events. Each module has its own tests beside it.

use crate::breaker::State;
use crate::*;
use jaspershunt_operator::{File, read};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

const FILE: &str = r#"
dependency "a" {
  addresses = ["127.0.0.1:1", "127.0.0.1:2"]
  calls = 4
  waiting = 3
  wait = "100ms"
  share = "40%"
  timeout = "500ms"
  fall_back = "b"
  guests = "50%"
  limit {
    learned = false
  }
  breaker {
    window = "1s"
    least = 4
    slow = "400ms"
    wait = "200ms"
    longest = "1s"
  }
}
dependency "b" {
  addresses = ["127.0.0.1:3"]
  calls = 4
  waiting = 2
  rate = "50/s"
  bytes = "2KiB"
  share = "30%"
  guests = "50%"
  fall_back = "c"
  limit {
    start = 2
  }
}
dependency "c" {
  addresses = ["127.0.0.1:4"]
  calls = 2
  waiting = 0
  share = "20%"
}
route "read" {
  repeat = "safe"
  without = true
  call "1" {
    to = "a"
    kept = "2s"
  }
  call "2" {
    to = "c"
    elsewhere = false
  }
  call "any" { to = "b" }
}
route "sign" {
  repeat = "keyed"
  call "any" { to = "a" }
}
"#;

const CLASSES: [&str; 2] = ["read", "sign"];
const READ: usize = 0;
const SIGN: usize = 1;

fn file(replace: &[(&str, &str)]) -> File {
    let text = replace.iter().fold(FILE.to_string(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to)
    });
    read("t.hcl", &text).unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Drives [`Dependencies`] in place of the engine and its sockets.
struct Harness {
    dependencies: Dependencies,
    now: Duration,
    calls: u64,
    attempts: Vec<(CallId, AttemptId, u16, Duration)>,
    abandoned: Vec<AttemptId>,
    ends: BTreeMap<CallId, End>,
    notes: usize,
}

impl Harness {
    fn new(file: &File) -> Harness {
        let capacity = ParkingCapacity { runs: 20, memory_kb: 1000.0 };
        let dependencies = Dependencies::new(file, &CLASSES, capacity, 1, ms(0));
        let (attempts, abandoned) = (Vec::new(), Vec::new());
        Harness { dependencies, now: ms(0), calls: 0, attempts, abandoned, ends: BTreeMap::new(), notes: 0 }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attempt { call, attempt, address, give_up_after, .. } => {
                    self.attempts.push((call, attempt, address.port(), give_up_after));
                }
                Action::Abandon { attempt } => self.abandoned.push(attempt),
                Action::End { call, end } => {
                    assert!(self.ends.insert(call, end).is_none(), "{call:?} ends twice");
                }
                Action::Note(_) => self.notes += 1,
            }
        }
        self.dependencies.check_invariants().unwrap();
    }

    fn request(&mut self, class: usize, place: usize, body: &[u8]) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let wanted = Wanted { call, class, place, left: ms(2000), body: body.into(), kb: 10.0, by: None };
        let mut out = Vec::new();
        self.dependencies.start_call(self.now, wanted, &mut out);
        self.carry_out(out);
        call
    }

    /// Starts a call by a route of the shared table.
    fn request_by_route(&mut self, by: &Rc<By>) -> CallId {
        self.calls += 1;
        let (call, by) = (CallId(self.calls), Some(by.clone()));
        let wanted =
            Wanted { call, class: SIGN, place: 1, left: ms(2000), body: b"x"[..].into(), kb: 10.0, by };
        let mut out = Vec::new();
        self.dependencies.start_call(self.now, wanted, &mut out);
        self.carry_out(out);
        call
    }

    /// The last attempt at a call.
    fn attempt(&self, call: CallId) -> (AttemptId, u16) {
        let at = self.attempts.iter().rev().find(|(of, ..)| *of == call).expect("an attempt");
        (at.1, at.2)
    }

    fn end(&mut self, call: CallId, outcome: Outcome, took: u64) {
        let (attempt, _) = self.attempt(call);
        let body = if outcome == Outcome::Done { b"reply".to_vec() } else { Vec::new() };
        let mut out = Vec::new();
        self.dependencies.attempt_ended(self.now, attempt, outcome, ms(took), body, &mut out);
        self.carry_out(out);
    }

    fn advance_to(&mut self, at: u64) {
        self.now = ms(at);
        let mut out = Vec::new();
        self.dependencies.tick(self.now, &mut out);
        self.carry_out(out);
    }

    fn cancel(&mut self, call: CallId) {
        let mut out = Vec::new();
        self.dependencies.cancel_call(self.now, call, &mut out);
        self.carry_out(out);
    }

    fn reload(&mut self, file: &File) {
        let mut out = Vec::new();
        self.dependencies.reload(self.now, file, &mut out);
        self.carry_out(out);
    }

    /// Earns credit for so many retries.
    fn earn_retries(&mut self, retries: usize) {
        for _ in 0..retries * 10 {
            let call = self.request(READ, 2, b"earn");
            self.end(call, Outcome::Done, 1);
        }
    }

    /// Makes so many calls to the first dependency fail.
    fn fail_calls(&mut self, times: usize) {
        for _ in 0..times {
            let call = self.request(SIGN, 1, b"fail");
            self.end(call, Outcome::Failed, 1);
        }
    }

    fn status_of(&self, name: &str) -> Status {
        self.dependencies.status().into_iter().find(|status| status.name == name).unwrap()
    }

    fn outcome(&self, call: CallId) -> Option<Outcome> {
        match self.ends.get(&call) {
            Some(End::Nothing { outcome, .. }) => Some(*outcome),
            Some(End::Reply { .. }) => Some(Outcome::Done),
            _ => None,
        }
    }
}

#[test]
fn the_shared_table_sets_route_limit_and_fallback() {
    let mut harness = Harness::new(&file(&[]));
    let by = |to: &str, calls, then: &[&str]| {
        let then = then.iter().map(|name| (*name).to_string()).collect();
        Rc::new(By { route: "r1".into(), calls, to: to.into(), then })
    };
    // The file routes the class to "a", then "b" and "c"; the table to "b", then "a".
    let (table, at_a) = (by("b", 1, &["a"]), |harness: &Harness, call| harness.attempt(call).1 <= 2);
    let first = harness.request_by_route(&table);
    assert_eq!(harness.attempt(first).1, 3);
    // The route allows one call at once: the next falls back, although "b" has capacity.
    let second = harness.request_by_route(&table);
    assert!(at_a(&harness, second));
    assert_eq!((harness.status_of("a").in_flight, harness.status_of("b").in_flight), (1, 1));
    // Its fallback call does not count against the route.
    harness.end(first, Outcome::Done, 1);
    // Waits for a token of the rate of "b".
    harness.advance_to(100);
    let third = harness.request_by_route(&table);
    assert_eq!(harness.attempt(third).1, 3);
    // A request follows the table it started with, whatever the file says after a reload.
    harness.reload(&file(&[("  fall_back = \"c\"\n", "")]));
    harness.end(second, Outcome::Done, 1);
    harness.earn_retries(1);
    harness.end(third, Outcome::TurnedAway, 1);
    assert!(at_a(&harness, third), "{:?}", harness.attempts);
    // The table names a dependency without an address here: the file's own route is used.
    let lost = harness.request_by_route(&by("lejos", 1, &[]));
    assert!(harness.attempt(lost).1 <= 2);
    // The table allows no calls and names no fallback.
    let none = harness.request_by_route(&by("b", 0, &[]));
    assert_eq!(harness.outcome(none), Some(Outcome::TurnedAway));
    harness.dependencies.check_invariants().unwrap();
}

#[test]
fn a_hanging_dependency_uses_only_its_share() {
    let mut harness = Harness::new(&file(&[]));
    let calls: Vec<CallId> = (0..12).map(|_| harness.request(SIGN, 1, b"x")).collect();
    let a = harness.status_of("a");
    // Four calls in flight and three queued; "sign" may fall back to "b", where fallback calls have half of
    // a limit of two.
    assert_eq!((a.in_flight, a.queued, a.parked), (4, 3, 7));
    assert_eq!(harness.status_of("b").in_flight, 1);
    assert_eq!(calls.iter().filter(|c| harness.outcome(**c) == Some(Outcome::TurnedAway)).count(), 4);
    // Calls to other dependencies are not affected.
    let other = harness.request(READ, 2, b"x");
    assert_eq!(harness.attempt(other).1, 4);
    // Queued calls time out.
    harness.advance_to(100);
    assert_eq!(harness.status_of("a").queued, 0);
    assert_eq!(calls.iter().filter(|c| harness.outcome(**c) == Some(Outcome::TurnedAway)).count(), 7);
}

#[test]
fn abandoned_calls_count_as_in_flight_until_they_stop_lingering() {
    let mut harness = Harness::new(&file(&[]));
    let calls: Vec<CallId> = (0..4).map(|_| harness.request(SIGN, 1, b"x")).collect();
    harness.advance_to(500);
    for call in &calls {
        harness.end(*call, Outcome::GivenUp, 500);
    }
    assert_eq!(harness.status_of("a").in_flight, 4);
    // The breaker has opened after four failures; without it there would still be no capacity.
    assert!(matches!(harness.status_of("a").breaker, State::Open { .. }));
    harness.advance_to(699);
    assert_eq!(harness.status_of("a").in_flight, 4);
    harness.advance_to(700);
    assert_eq!(harness.status_of("a").in_flight, 0);
    let cancelled = harness.request(READ, 2, b"x");
    harness.cancel(cancelled);
    assert_eq!(
        (harness.abandoned.len(), harness.status_of("c").in_flight, harness.status_of("c").parked),
        (1, 1, 0)
    );
}

#[test]
fn a_keyed_call_that_may_have_run_is_never_retried() {
    for outcome in [Outcome::Failed, Outcome::GivenUp, Outcome::Broken] {
        let mut harness = Harness::new(&file(&[]));
        harness.earn_retries(5);
        let call = harness.request(SIGN, 1, b"x");
        let before = harness.attempts.len();
        harness.end(call, outcome, 10);
        assert_eq!((harness.outcome(call), harness.attempts.len()), (Some(outcome), before));
        // A call of a class that is safe to repeat is retried.
        let call = harness.request(READ, 1, b"x");
        harness.end(call, outcome, 10);
        assert_eq!(harness.outcome(call), None, "{outcome:?}");
        harness.end(call, Outcome::Done, 10);
        assert_eq!(harness.outcome(call), Some(Outcome::Done));
    }
}

#[test]
fn a_call_that_never_ran_falls_back_and_a_possible_run_is_remembered() {
    let mut harness = Harness::new(&file(&[]));
    harness.earn_retries(5);
    let call = harness.request(SIGN, 1, b"x");
    harness.end(call, Outcome::TurnedAway, 1);
    assert_eq!(harness.attempt(call).1, 3);
    harness.end(call, Outcome::Done, 1);
    assert_eq!(harness.outcome(call), Some(Outcome::Done));
    // A call that finds one address unreachable goes to the other first, which then stays in use.
    harness.advance_to(40);
    let call = harness.request(SIGN, 1, b"x");
    harness.end(call, Outcome::Unreachable, 1);
    assert_eq!(harness.attempt(call).1, 2);
    harness.end(call, Outcome::TurnedAway, 1);
    assert_eq!(harness.attempt(call).1, 3);
    harness.end(call, Outcome::Failed, 1);
    assert_eq!(harness.outcome(call), Some(Outcome::Failed));
    let next = harness.request(SIGN, 1, b"x");
    assert_eq!(harness.attempt(next).1, 2);
    // A safe call failed at one dependency and was rejected by the next: it may have run.
    harness.advance_to(80);
    let call = harness.request(READ, 1, b"y");
    harness.end(call, Outcome::Failed, 1);
    harness.end(call, Outcome::TurnedAway, 1);
    if harness.outcome(call).is_none() {
        harness.end(call, Outcome::TurnedAway, 1);
    }
    assert_eq!(harness.outcome(call), Some(Outcome::Failed));
}

#[test]
fn a_fallback_that_is_open_or_full_accepts_no_calls() {
    let mut harness = Harness::new(&file(&[]));
    harness.earn_retries(9);
    harness.fail_calls(4);
    assert!(matches!(harness.status_of("a").breaker, State::Open { .. }));
    // The breaker of "a" is open, so calls fall back to "b", where they have half of its limit of two; none
    // gets to "c".
    let calls: Vec<CallId> = (0..4).map(|_| harness.request(SIGN, 1, b"x")).collect();
    assert_eq!((harness.status_of("b").in_flight, harness.status_of("c").in_flight), (1, 0));
    assert_eq!(calls.iter().filter(|call| harness.outcome(**call) == Some(Outcome::TurnedAway)).count(), 3);
    // The calls of "b" itself have the other half.
    harness.advance_to(50);
    let own = harness.request(READ, 3, b"x");
    assert_eq!(harness.attempt(own).1, 3);
    assert_eq!(harness.status_of("b").in_flight, 2);
}

#[test]
fn retries_stay_within_their_share_from_the_start() {
    let mut harness = Harness::new(&file(&[("least = 4", "least = 1000")]));
    for _ in 0..200 {
        let call = harness.request(READ, 1, b"x");
        while harness.outcome(call).is_none() && !harness.ends.contains_key(&call) {
            harness.end(call, Outcome::Broken, 1);
        }
        let (first, retries) = harness.dependencies.attempts();
        assert!(retries as f64 <= first as f64 * 0.1, "{retries} retries of {first}");
        harness.advance_to(harness.now.as_millis() as u64 + 150);
    }
    assert_eq!(harness.dependencies.attempts(), (200, 20));
}

#[test]
fn a_cached_reply_is_used_while_fresh_and_for_the_same_call_only() {
    let mut harness = Harness::new(&file(&[]));
    let call = harness.request(READ, 1, b"ana");
    harness.end(call, Outcome::Done, 5);
    harness.fail_calls(4);
    // The fallbacks of "a" are full, so nothing else can answer.
    let blockers: Vec<CallId> = (0..4).map(|_| harness.request(READ, 3, b"x")).collect();
    harness.advance_to(10);
    let same = harness.request(READ, 1, b"ana");
    assert_eq!(harness.ends[&same], End::Kept { body: b"reply"[..].into(), since: ms(0) });
    let other = harness.request(READ, 1, b"eva");
    assert_eq!(harness.outcome(other), Some(Outcome::TurnedAway));
    // A keyed class never gets a cached reply, even if the call is identical.
    let keyed = harness.request(SIGN, 1, b"ana");
    assert_eq!(harness.outcome(keyed), Some(Outcome::TurnedAway));
    assert_eq!(blockers.len(), 4);
}

#[test]
fn a_reload_changes_addresses_and_limits_without_moving_active_calls() {
    let mut harness = Harness::new(&file(&[]));
    let old: Vec<CallId> = (0..4).map(|_| harness.request(SIGN, 1, b"x")).collect();
    let queued = harness.request(SIGN, 1, b"x");
    harness.reload(&file(&[("127.0.0.1:1\"", "127.0.0.1:9\""), ("calls = 4", "calls = 2")]));
    // Four calls are in flight with a new limit of two: none starts until three have ended.
    for call in &old[..2] {
        harness.end(*call, Outcome::Done, 1);
    }
    assert!(!harness.attempts.iter().any(|(call, ..)| *call == queued));
    harness.end(old[2], Outcome::Done, 1);
    assert_eq!(harness.attempt(queued).1, 9);
    // "a" is removed: queued calls fall back, active ones end normally.
    let more: Vec<CallId> = (0..2).map(|_| harness.request(SIGN, 1, b"x")).collect();
    let without = FILE.split("dependency \"b\"").nth(1).unwrap().replace("to = \"a\"", "to = \"b\"");
    harness.reload(&read("t.hcl", &format!("dependency \"b\"{without}")).unwrap());
    assert!(more.iter().all(|call| harness.ends.contains_key(call) || harness.attempt(*call).1 == 3));
    harness.end(old[3], Outcome::Done, 1);
    harness.end(queued, Outcome::Done, 1);
    assert_eq!(harness.outcome(queued), Some(Outcome::Done));
    // Its slot is reused, however often that happens.
    for _ in 0..100 {
        harness.reload(&file(&[]));
        harness.reload(&read("t.hcl", &format!("dependency \"b\"{without}")).unwrap());
    }
    assert_eq!(harness.dependencies.status().len(), 2);
    harness.advance_to(1000);
    let call = harness.request(SIGN, 1, b"x");
    assert_eq!(harness.attempt(call).1, 3);
}

#[test]
fn a_tick_is_due_only_while_calls_are_queued() {
    let mut harness = Harness::new(&file(&[]));
    assert_eq!(harness.dependencies.next_tick(harness.now), None);
    // "b" allows 50 calls a second, and one at the start.
    for _ in 0..2 {
        harness.request(READ, 3, b"x");
    }
    assert_eq!((harness.attempts.len(), harness.status_of("b").queued), (1, 1));
    let due = harness.dependencies.next_tick(harness.now).unwrap();
    assert!(due <= ms(20), "{due:?}");
    harness.now = due;
    let mut out = Vec::new();
    harness.dependencies.tick(due, &mut out);
    harness.carry_out(out);
    assert_eq!((harness.attempts.len(), harness.dependencies.next_tick(harness.now)), (2, None));
}

#[test]
fn a_hang_longer_than_any_caller_waits_opens_the_breaker() {
    let mut harness = Harness::new(&file(&[]));
    let calls: Vec<CallId> = (0..4).map(|_| harness.request(SIGN, 1, b"x")).collect();
    harness.advance_to(450);
    for call in calls {
        harness.cancel(call);
    }
    assert!(matches!(harness.status_of("a").breaker, State::Open { .. }));
    assert_eq!(harness.notes, 1);
}

#[derive(Clone, Debug)]
enum Step {
    Call { class: usize, place: usize, left: u64, bytes: usize },
    End { which: usize, outcome: Outcome },
    Cancel { which: usize },
    Wait { ms: u64 },
    Reload { variant: usize },
    Drain,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Done),
        1 => Just(Outcome::Failed),
        1 => Just(Outcome::TurnedAway),
        1 => Just(Outcome::GivenUp),
        1 => Just(Outcome::Unreachable),
        1 => Just(Outcome::Broken),
        1 => Just(Outcome::NotStarted),
    ];
    let step = prop_oneof![
        12 => (0..2usize, 1..4usize, 0..3000u64, 0..900usize)
            .prop_map(|(class, place, left, bytes)| Step::Call { class, place, left, bytes }),
        10 => (any::<usize>(), outcome).prop_map(|(which, outcome)| Step::End { which, outcome }),
        2 => any::<usize>().prop_map(|which| Step::Cancel { which }),
        6 => (0..400u64).prop_map(|ms| Step::Wait { ms }),
        1 => (0..4usize).prop_map(|variant| Step::Reload { variant }),
        1 => Just(Step::Drain),
    ];
    proptest::collection::vec(step, 1..200)
}

fn variants() -> Vec<File> {
    vec![
        file(&[]),
        file(&[("calls = 4", "calls = 1"), ("waiting = 3", "waiting = 0")]),
        file(&[("127.0.0.1:3", "127.0.0.1:7"), ("guests = \"50%\"", "guests = \"0%\"")]),
        file(&[("fall_back = \"c\"", ""), ("rate = \"50/s\"", "rate = \"5/s\"")]),
    ]
}

/// An open attempt, as the sockets would know it.
struct OpenAttempt {
    call: CallId,
    dependency: usize,
    started_at: Duration,
    times_out_at: Duration,
}

/// Counts all actions independently and compares them with the file.
struct Model {
    dependencies: Dependencies,
    file: File,
    now: Duration,
    open: BTreeMap<AttemptId, OpenAttempt>,
    lingering: Vec<(Duration, usize)>,
    started: BTreeMap<usize, VecDeque<Duration>>,
    /// Calls without an end: class, deadline, whether they may have run, and attempts.
    calls: BTreeMap<CallId, (usize, Duration, bool, usize)>,
    ended: u64,
    names: BTreeMap<u16, &'static str>,
}

impl Model {
    fn new() -> Model {
        let file = file(&[]);
        let capacity = ParkingCapacity { runs: 20, memory_kb: 1000.0 };
        Model {
            dependencies: Dependencies::new(&file, &CLASSES, capacity, 3, ms(0)),
            file,
            now: ms(0),
            open: BTreeMap::new(),
            lingering: Vec::new(),
            started: BTreeMap::new(),
            calls: BTreeMap::new(),
            ended: 0,
            names: [(1, "a"), (2, "a"), (3, "b"), (7, "b"), (4, "c")].into(),
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attempt { call, attempt, dependency, address, give_up_after, once, connections } => {
                    let config = &self.file.dependency[self.names[&address.port()]];
                    let now = self.now;
                    self.lingering.retain(|(until, _)| *until > now);
                    let in_flight = self.open.values().filter(|o| o.dependency == dependency).count()
                        + self.lingering.iter().filter(|(_, at)| *at == dependency).count();
                    assert!(in_flight < config.calls, "{in_flight} in flight of {}", config.calls);
                    assert!(in_flight < connections);
                    let (class, until, may_have_run, attempts) = self.calls.get_mut(&call).expect("a call");
                    assert!(!(once && *may_have_run), "retried though it may have run");
                    assert_eq!(once, *class == SIGN);
                    *attempts += 1;
                    assert!(*attempts <= self.file.retries.attempts);
                    assert!(now + give_up_after <= (*until).max(now + ms(1)), "timeout beyond the deadline");
                    assert!(give_up_after <= config.timeout.0);
                    if let Some(rate) = config.rate {
                        let started = self.started.entry(dependency).or_default();
                        started.push_back(now);
                        while started.front().is_some_and(|at| now - *at >= ms(1000)) {
                            started.pop_front();
                        }
                        // A reload may have lowered the rate while the burst of the higher one is still
                        // within the second.
                        assert!(
                            started.len() as f64 <= rate.0.max(50.0) * 1.1 + 1.0,
                            "{} started",
                            started.len()
                        );
                    }
                    let times_out_at = now + give_up_after;
                    self.open
                        .insert(attempt, OpenAttempt { call, dependency, started_at: now, times_out_at });
                }
                Action::Abandon { attempt } => {
                    let open = self.open.remove(&attempt).expect("an open attempt");
                    self.lingering.push((self.now + ms(200), open.dependency));
                }
                Action::End { call, end } => {
                    let (class, _, may_have_run, _) = self.calls.remove(&call).expect("an open call");
                    self.ended += 1;
                    match end {
                        End::Reply { .. } => {}
                        End::Kept { since, .. } => {
                            assert_eq!(class, READ);
                            assert!(self.now - since <= ms(2000));
                        }
                        End::Nothing { outcome, .. } => assert_eq!(
                            outcome.never_ran(),
                            !may_have_run,
                            "{outcome:?} reported, may have run: {may_have_run}"
                        ),
                    }
                }
                Action::Note(_) => {}
            }
        }
    }

    fn check(&self) {
        self.dependencies.check_invariants().unwrap();
        let (first, retries) = self.dependencies.attempts();
        assert!(retries * 10 <= first, "{retries} retries of {first}");
        assert_eq!(self.dependencies.active_calls(), self.calls.len());
        for status in self.dependencies.status() {
            let config = &self.file.dependency[&status.name];
            let max_parked = (20.0 * config.share.0) as usize;
            // Calls from before the limit was lowered may still be there.
            assert!(status.parked <= max_parked, "{} parked of {max_parked}", status.parked);
            assert!(status.queued <= 3);
        }
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        let open = self.open.remove(&attempt).unwrap();
        if let Some((_, _, may_have_run, _)) = self.calls.get_mut(&open.call) {
            *may_have_run |= !outcome.never_ran();
        }
        if matches!(outcome, Outcome::GivenUp | Outcome::Broken) {
            self.lingering.push((self.now + ms(200), open.dependency));
        }
        let mut out = Vec::new();
        let took = self.now - open.started_at;
        self.dependencies.attempt_ended(self.now, attempt, outcome, took, b"reply".to_vec(), &mut out);
        self.carry_out(out);
    }

    fn advance_to(&mut self, until: Duration) {
        // Timed-out attempts end first, as the sockets would report them.
        while let Some((attempt, at)) = self.next_due().filter(|(_, at)| *at <= until) {
            self.now = self.now.max(at);
            self.end(attempt, Outcome::GivenUp);
            self.check();
        }
        self.now = until;
        let mut out = Vec::new();
        self.dependencies.tick(self.now, &mut out);
        self.carry_out(out);
    }

    fn next_due(&self) -> Option<(AttemptId, Duration)> {
        self.open.iter().map(|(id, open)| (*id, open.times_out_at)).min_by_key(|(_, at)| *at)
    }

    fn step(&mut self, step: Step, number: u64) {
        let mut out = Vec::new();
        match step {
            Step::Call { class, place, left, bytes } => {
                let call = CallId(number);
                self.calls.insert(call, (class, self.now + ms(left), false, 0));
                let body = vec![0; bytes].into();
                let wanted = Wanted { call, class, place, left: ms(left), body, kb: 30.0, by: None };
                self.dependencies.start_call(self.now, wanted, &mut out);
            }
            Step::End { which, outcome } if !self.open.is_empty() => {
                let attempt = *self.open.keys().nth(which % self.open.len()).unwrap();
                self.end(attempt, outcome);
            }
            Step::Cancel { which } if !self.calls.is_empty() => {
                let call = *self.calls.keys().nth(which % self.calls.len()).unwrap();
                self.dependencies.cancel_call(self.now, call, &mut out);
                self.calls.remove(&call);
            }
            Step::End { .. } | Step::Cancel { .. } => {}
            Step::Wait { ms: time } => self.advance_to(self.now + ms(time)),
            Step::Reload { variant } => {
                self.file = variants().swap_remove(variant);
                self.dependencies.reload(self.now, &self.file, &mut out);
            }
            Step::Drain => self.dependencies.drain(),
        }
        self.carry_out(out);
        self.check();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 250, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn limits_are_kept_and_each_call_ends_once_under_random_events(steps in steps()) {
        let mut model = Model::new();
        let requested = steps.iter().filter(|step| matches!(step, Step::Call { .. })).count() as u64;
        let mut cancelled = 0;
        for (number, step) in steps.into_iter().enumerate() {
            cancelled += u64::from(matches!(step, Step::Cancel { .. }) && !model.calls.is_empty());
            model.step(step, number as u64);
        }
        for _ in 0..20 {
            model.advance_to(model.now + ms(1000));
            model.check();
        }
        prop_assert!(model.calls.is_empty() && model.open.is_empty());
        prop_assert_eq!(model.ended + cancelled, requested);
        for status in model.dependencies.status() {
            prop_assert_eq!((status.in_flight, status.queued, status.parked), (0, 0, 0));
        }
    }
}

/// A share too small for a burst fails calls to a healthy dependency; the operator must be able to see this.
#[test]
fn calls_over_the_share_are_counted_separately_and_logged_rarely() {
    let mut harness = Harness::new(&file(&[("waiting = 3", "waiting = 100"), ("fall_back = \"b\"", "")]));
    for _ in 0..20 {
        harness.request(SIGN, 1, b"x");
    }
    // Eight of the twenty parked runs, and four calls in flight.
    let a = harness.status_of("a");
    assert_eq!((a.in_flight, a.queued, a.parked), (4, 4, 8));
    assert_eq!((a.counts.over_share, a.counts.over_limit, harness.notes), (12, 0, 1));
    harness.advance_to(100);
    assert_eq!((harness.status_of("a").counts.over_limit, harness.notes), (4, 1));
    harness.advance_to(10_000);
    for _ in 0..10 {
        harness.request(SIGN, 1, b"x");
    }
    assert_eq!(harness.notes, 2);
}

/// A call that was given up because its request had little time left says nothing about the dependency.
/// Neither the breaker nor the limit may learn from it, or a few impatient callers would cut off a healthy
/// dependency.
#[test]
fn calls_given_up_at_the_request_deadline_change_neither_breaker_nor_limit() {
    let mut harness = Harness::new(&file(&[("learned = false", "start = 4")]));
    for n in 1..=20 {
        harness.calls += 1;
        let call = CallId(harness.calls);
        let wanted =
            Wanted { call, class: SIGN, place: 1, left: ms(20), body: b"x"[..].into(), kb: 10.0, by: None };
        let mut out = Vec::new();
        harness.dependencies.start_call(harness.now, wanted, &mut out);
        harness.carry_out(out);
        harness.advance_to(n * 300);
        harness.end(call, Outcome::GivenUp, 20);
    }
    assert_eq!((harness.status_of("a").breaker, harness.status_of("a").limit), (State::Closed, 4));
    for n in 21..=40 {
        let call = harness.request(SIGN, 1, b"x");
        harness.advance_to(n * 300);
        if !harness.ends.contains_key(&call) {
            harness.end(call, Outcome::GivenUp, 500);
        }
    }
    assert!(harness.status_of("a").limit < 4);
}
