//! Calls from being wanted to their one end, and the whole under seeded random events with the rules checked after every
//! step. Each part has tests of its own beside it.

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

/// Dependencies with the test in the place of the sockets.
struct Harness {
    dependencies: Dependencies,
    now: Duration,
    calls: u64,
    tried: Vec<(CallId, AttemptId, u16, Duration)>,
    abandoned: Vec<AttemptId>,
    ends: BTreeMap<CallId, End>,
    notes: usize,
}

impl Harness {
    fn new(file: &File) -> Harness {
        let capacity = ParkingCapacity { runs: 20, memory_kb: 1000.0 };
        let dependencies = Dependencies::new(file, &CLASSES, capacity, 1, ms(0));
        let (tried, abandoned) = (Vec::new(), Vec::new());
        Harness { dependencies, now: ms(0), calls: 0, tried, abandoned, ends: BTreeMap::new(), notes: 0 }
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attempt { call, attempt, address, give_up_after, .. } => {
                    self.tried.push((call, attempt, address.port(), give_up_after));
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

    fn want(&mut self, class: usize, place: usize, body: &[u8]) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let wanted = Wanted { call, class, place, left: ms(2000), body: body.into(), kb: 10.0, by: None };
        let mut out = Vec::new();
        self.dependencies.start_call(self.now, wanted, &mut out);
        self.take(out);
        call
    }

    /// A call that goes by a route of the table.
    fn want_by(&mut self, by: &Rc<By>) -> CallId {
        self.calls += 1;
        let (call, by) = (CallId(self.calls), Some(by.clone()));
        let wanted =
            Wanted { call, class: SIGN, place: 1, left: ms(2000), body: b"x"[..].into(), kb: 10.0, by };
        let mut out = Vec::new();
        self.dependencies.start_call(self.now, wanted, &mut out);
        self.take(out);
        call
    }

    /// The last attempt at a call.
    fn attempt(&self, call: CallId) -> (AttemptId, u16) {
        let at = self.tried.iter().rev().find(|(of, ..)| *of == call).expect("an attempt");
        (at.1, at.2)
    }

    fn end(&mut self, call: CallId, outcome: Outcome, took: u64) {
        let (attempt, _) = self.attempt(call);
        let body = if outcome == Outcome::Done { b"reply".to_vec() } else { Vec::new() };
        let mut out = Vec::new();
        self.dependencies.attempt_ended(self.now, attempt, outcome, ms(took), body, &mut out);
        self.take(out);
    }

    fn until(&mut self, at: u64) {
        self.now = ms(at);
        let mut out = Vec::new();
        self.dependencies.tick(self.now, &mut out);
        self.take(out);
    }

    fn drop_call(&mut self, call: CallId) {
        let mut out = Vec::new();
        self.dependencies.cancel_call(self.now, call, &mut out);
        self.take(out);
    }

    fn reload(&mut self, file: &File) {
        let mut out = Vec::new();
        self.dependencies.reload(self.now, file, &mut out);
        self.take(out);
    }

    /// Earns the right to so many further attempts.
    fn earn(&mut self, attempts: usize) {
        for _ in 0..attempts * 10 {
            let call = self.want(READ, 2, b"earn");
            self.end(call, Outcome::Done, 1);
        }
    }

    /// Has so many calls of the first dependency fail.
    fn fail(&mut self, times: usize) {
        for _ in 0..times {
            let call = self.want(SIGN, 1, b"fail");
            self.end(call, Outcome::Failed, 1);
        }
    }

    fn state(&self, name: &str) -> Status {
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
fn a_table_says_where_calls_go_how_many_and_what_stands_in() {
    let mut harness = Harness::new(&file(&[]));
    let by = |to: &str, calls, then: &[&str]| {
        let then = then.iter().map(|name| (*name).to_string()).collect();
        Rc::new(By { route: "r1".into(), calls, to: to.into(), then })
    };
    // The file sends the class to "a", on to "b" and "c"; the table to "b", on to "a".
    let (table, at_a) = (by("b", 1, &["a"]), |harness: &Harness, call| harness.attempt(call).1 <= 2);
    let first = harness.want_by(&table);
    assert_eq!(harness.attempt(first).1, 3);
    // The route has its one call at once: the next goes on to what stands in, also where "b" has room.
    let second = harness.want_by(&table);
    assert!(at_a(&harness, second));
    assert_eq!((harness.state("a").in_flight, harness.state("b").in_flight), (1, 1));
    // What it took elsewhere does not count against the route.
    harness.end(first, Outcome::Done, 1);
    // "b" takes so many a second.
    harness.until(100);
    let third = harness.want_by(&table);
    assert_eq!(harness.attempt(third).1, 3);
    // A request goes by one table to its end, whatever the file falls back on by now.
    harness.reload(&file(&[("  fall_back = \"c\"\n", "")]));
    harness.end(second, Outcome::Done, 1);
    harness.earn(1);
    harness.end(third, Outcome::TurnedAway, 1);
    assert!(at_a(&harness, third), "{:?}", harness.tried);
    // A dependency without an address here: the file's own route stands.
    let lost = harness.want_by(&by("lejos", 1, &[]));
    assert!(harness.attempt(lost).1 <= 2);
    // None at all by the table, and nothing stands in.
    let none = harness.want_by(&by("b", 0, &[]));
    assert_eq!(harness.outcome(none), Some(Outcome::TurnedAway));
    harness.dependencies.check_invariants().unwrap();
}

#[test]
fn a_dependency_that_hangs_holds_its_part_and_no_more() {
    let mut harness = Harness::new(&file(&[]));
    let calls: Vec<CallId> = (0..12).map(|_| harness.want(SIGN, 1, b"x")).collect();
    let a = harness.state("a");
    // Four in hand, three in line; "sign" may go to "b" too, where guests have half of two.
    assert_eq!((a.in_flight, a.queued, a.parked), (4, 3, 7));
    assert_eq!(harness.state("b").in_flight, 1);
    assert_eq!(calls.iter().filter(|c| harness.outcome(**c) == Some(Outcome::TurnedAway)).count(), 4);
    // Those that need another one are none the worse.
    let other = harness.want(READ, 2, b"x");
    assert_eq!(harness.attempt(other).1, 4);
    // What waits does so for its time and no longer.
    harness.until(100);
    assert_eq!(harness.state("a").queued, 0);
    assert_eq!(calls.iter().filter(|c| harness.outcome(**c) == Some(Outcome::TurnedAway)).count(), 7);
}

#[test]
fn calls_given_up_count_until_they_are_surely_over() {
    let mut harness = Harness::new(&file(&[]));
    let calls: Vec<CallId> = (0..4).map(|_| harness.want(SIGN, 1, b"x")).collect();
    harness.until(500);
    for call in &calls {
        harness.end(*call, Outcome::GivenUp, 500);
    }
    assert_eq!(harness.state("a").in_flight, 4);
    // The breaker has seen four that failed; but even with it out of the way nothing would go there yet.
    assert!(matches!(harness.state("a").breaker, State::Open { .. }));
    harness.until(699);
    assert_eq!(harness.state("a").in_flight, 4);
    harness.until(700);
    assert_eq!(harness.state("a").in_flight, 0);
    let dropped = harness.want(READ, 2, b"x");
    harness.drop_call(dropped);
    assert_eq!((harness.abandoned.len(), harness.state("c").in_flight, harness.state("c").parked), (1, 1, 0));
}

#[test]
fn a_call_that_may_have_had_its_effect_is_never_made_again_or_elsewhere() {
    for outcome in [Outcome::Failed, Outcome::GivenUp, Outcome::Broken] {
        let mut harness = Harness::new(&file(&[]));
        harness.earn(5);
        let call = harness.want(SIGN, 1, b"x");
        let before = harness.tried.len();
        harness.end(call, outcome, 10);
        assert_eq!((harness.outcome(call), harness.tried.len()), (Some(outcome), before));
        // Of a class that is safe to repeat it is.
        let call = harness.want(READ, 1, b"x");
        harness.end(call, outcome, 10);
        assert_eq!(harness.outcome(call), None, "{outcome:?}");
        harness.end(call, Outcome::Done, 10);
        assert_eq!(harness.outcome(call), Some(Outcome::Done));
    }
}

#[test]
fn one_that_provably_never_ran_goes_on_elsewhere_and_what_may_have_run_is_not_forgotten() {
    let mut harness = Harness::new(&file(&[]));
    harness.earn(5);
    let call = harness.want(SIGN, 1, b"x");
    harness.end(call, Outcome::TurnedAway, 1);
    assert_eq!(harness.attempt(call).1, 3);
    harness.end(call, Outcome::Done, 1);
    assert_eq!(harness.outcome(call), Some(Outcome::Done));
    // Unreachable at one address, it goes to the other first; and the other stays in use.
    harness.until(40);
    let call = harness.want(SIGN, 1, b"x");
    harness.end(call, Outcome::Unreachable, 1);
    assert_eq!(harness.attempt(call).1, 2);
    harness.end(call, Outcome::TurnedAway, 1);
    assert_eq!(harness.attempt(call).1, 3);
    harness.end(call, Outcome::Failed, 1);
    assert_eq!(harness.outcome(call), Some(Outcome::Failed));
    let next = harness.want(SIGN, 1, b"x");
    assert_eq!(harness.attempt(next).1, 2);
    // A safe call failed here and was turned away there: it may have run.
    harness.until(80);
    let call = harness.want(READ, 1, b"y");
    harness.end(call, Outcome::Failed, 1);
    harness.end(call, Outcome::TurnedAway, 1);
    if harness.outcome(call).is_none() {
        harness.end(call, Outcome::TurnedAway, 1);
    }
    assert_eq!(harness.outcome(call), Some(Outcome::Failed));
}

#[test]
fn a_fall_back_that_is_shut_or_full_takes_nothing() {
    let mut harness = Harness::new(&file(&[]));
    harness.earn(9);
    harness.fail(4);
    assert!(matches!(harness.state("a").breaker, State::Open { .. }));
    // Shut out at "a", calls go to "b" as guests: half of its limit of two; then to "c" likewise.
    let calls: Vec<CallId> = (0..4).map(|_| harness.want(SIGN, 1, b"x")).collect();
    assert_eq!((harness.state("b").in_flight, harness.state("c").in_flight), (1, 0));
    assert_eq!(calls.iter().filter(|call| harness.outcome(**call) == Some(Outcome::TurnedAway)).count(), 3);
    // Its own calls have the other half.
    harness.until(50);
    let own = harness.want(READ, 3, b"x");
    assert_eq!(harness.attempt(own).1, 3);
    assert_eq!(harness.state("b").in_flight, 2);
}

#[test]
fn repeated_attempts_stay_within_their_share_from_the_first_on() {
    let mut harness = Harness::new(&file(&[("least = 4", "least = 1000")]));
    for _ in 0..200 {
        let call = harness.want(READ, 1, b"x");
        while harness.outcome(call).is_none() && !harness.ends.contains_key(&call) {
            harness.end(call, Outcome::Broken, 1);
        }
        let (first, further) = harness.dependencies.attempts();
        assert!(further as f64 <= first as f64 * 0.1, "{further} of {first}");
        harness.until(harness.now.as_millis() as u64 + 150);
    }
    assert_eq!(harness.dependencies.attempts(), (200, 20));
}

#[test]
fn a_kept_reply_stands_in_while_it_is_young_and_for_the_same_call_only() {
    let mut harness = Harness::new(&file(&[]));
    let call = harness.want(READ, 1, b"ana");
    harness.end(call, Outcome::Done, 5);
    harness.fail(4);
    // The chain behind "a" is full, so that nothing else can answer.
    let hold: Vec<CallId> = (0..4).map(|_| harness.want(READ, 3, b"x")).collect();
    harness.until(10);
    let same = harness.want(READ, 1, b"ana");
    assert_eq!(harness.ends[&same], End::Kept { body: b"reply"[..].into(), since: ms(0) });
    let other = harness.want(READ, 1, b"eva");
    assert_eq!(harness.outcome(other), Some(Outcome::TurnedAway));
    // Of a keyed class never, though the call is the same to the letter.
    let keyed = harness.want(SIGN, 1, b"ana");
    assert_eq!(harness.outcome(keyed), Some(Outcome::TurnedAway));
    assert_eq!(hold.len(), 4);
}

#[test]
fn a_reload_moves_addresses_and_budgets_and_calls_under_way_end_where_they_are() {
    let mut harness = Harness::new(&file(&[]));
    let old: Vec<CallId> = (0..4).map(|_| harness.want(SIGN, 1, b"x")).collect();
    let waits = harness.want(SIGN, 1, b"x");
    harness.reload(&file(&[("127.0.0.1:1\"", "127.0.0.1:9\""), ("calls = 4", "calls = 2")]));
    // Four in hand of two: nothing new until three are back.
    for call in &old[..2] {
        harness.end(*call, Outcome::Done, 1);
    }
    assert!(!harness.tried.iter().any(|(call, ..)| *call == waits));
    harness.end(old[2], Outcome::Done, 1);
    assert_eq!(harness.attempt(waits).1, 9);
    // "a" goes: what waits for it goes on, what is on its way ends well.
    let more: Vec<CallId> = (0..2).map(|_| harness.want(SIGN, 1, b"x")).collect();
    let without = FILE.split("dependency \"b\"").nth(1).unwrap().replace("to = \"a\"", "to = \"b\"");
    harness.reload(&read("t.hcl", &format!("dependency \"b\"{without}")).unwrap());
    assert!(more.iter().all(|call| harness.ends.contains_key(call) || harness.attempt(*call).1 == 3));
    harness.end(old[3], Outcome::Done, 1);
    harness.end(waits, Outcome::Done, 1);
    assert_eq!(harness.outcome(waits), Some(Outcome::Done));
    // Its place is used again, however often that happens.
    for _ in 0..100 {
        harness.reload(&file(&[]));
        harness.reload(&read("t.hcl", &format!("dependency \"b\"{without}")).unwrap());
    }
    assert_eq!(harness.dependencies.status().len(), 2);
    harness.until(1000);
    let call = harness.want(SIGN, 1, b"x");
    assert_eq!(harness.attempt(call).1, 3);
}

#[test]
fn what_can_wait_has_a_tick_and_what_has_nobody_waiting_has_none() {
    let mut harness = Harness::new(&file(&[]));
    assert_eq!(harness.dependencies.next_tick(harness.now), None);
    // Fifty a second at "b", and one at the beginning.
    for _ in 0..2 {
        harness.want(READ, 3, b"x");
    }
    assert_eq!((harness.tried.len(), harness.state("b").queued), (1, 1));
    let due = harness.dependencies.next_tick(harness.now).unwrap();
    assert!(due <= ms(20), "{due:?}");
    harness.now = due;
    let mut out = Vec::new();
    harness.dependencies.tick(due, &mut out);
    harness.take(out);
    assert_eq!((harness.tried.len(), harness.dependencies.next_tick(harness.now)), (2, None));
}

#[test]
fn a_hang_that_outlasts_every_caller_opens_the_breaker_all_the_same() {
    let mut harness = Harness::new(&file(&[]));
    let calls: Vec<CallId> = (0..4).map(|_| harness.want(SIGN, 1, b"x")).collect();
    harness.until(450);
    for call in calls {
        harness.drop_call(call);
    }
    assert!(matches!(harness.state("a").breaker, State::Open { .. }));
    assert_eq!(harness.notes, 1);
}

// The whole under random events.

#[derive(Clone, Debug)]
enum Step {
    Want { class: usize, place: usize, left: u64, bytes: usize },
    End { which: usize, outcome: Outcome },
    Drop { which: usize },
    Pass { ms: u64 },
    Reload { variant: usize },
    Leave,
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
            .prop_map(|(class, place, left, bytes)| Step::Want { class, place, left, bytes }),
        10 => (any::<usize>(), outcome).prop_map(|(which, outcome)| Step::End { which, outcome }),
        2 => any::<usize>().prop_map(|which| Step::Drop { which }),
        6 => (0..400u64).prop_map(|ms| Step::Pass { ms }),
        1 => (0..4usize).prop_map(|variant| Step::Reload { variant }),
        1 => Just(Step::Leave),
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

/// What the stand-in for the sockets knows of an attempt.
struct Open {
    call: CallId,
    dependency: usize,
    began: Duration,
    give_up: Duration,
}

/// Keeps its own count of all that is asked for, and holds it against the file.
struct Model {
    dependencies: Dependencies,
    file: File,
    now: Duration,
    open: BTreeMap<AttemptId, Open>,
    lingering: Vec<(Duration, usize)>,
    begun: BTreeMap<usize, VecDeque<Duration>>,
    /// Calls without an end: class, when they are due, and whether they may have run.
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
            begun: BTreeMap::new(),
            calls: BTreeMap::new(),
            ended: 0,
            names: [(1, "a"), (2, "a"), (3, "b"), (7, "b"), (4, "c")].into(),
        }
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attempt { call, attempt, dependency, address, give_up_after, once, connections } => {
                    let config = &self.file.dependency[self.names[&address.port()]];
                    let now = self.now;
                    self.lingering.retain(|(until, _)| *until > now);
                    let in_flight = self.open.values().filter(|o| o.dependency == dependency).count()
                        + self.lingering.iter().filter(|(_, at)| *at == dependency).count();
                    assert!(in_flight < config.calls, "{in_flight} in hand of {}", config.calls);
                    assert!(in_flight < connections);
                    let (class, until, may_have_run, attempts) = self.calls.get_mut(&call).expect("a call");
                    assert!(!(once && *may_have_run), "made again though it may have run");
                    assert_eq!(once, *class == SIGN);
                    *attempts += 1;
                    assert!(*attempts <= self.file.retries.attempts);
                    assert!(now + give_up_after <= (*until).max(now + ms(1)), "longer than the request has");
                    assert!(give_up_after <= config.timeout.0);
                    if let Some(rate) = config.rate {
                        let begun = self.begun.entry(dependency).or_default();
                        begun.push_back(now);
                        while begun.front().is_some_and(|at| now - *at >= ms(1000)) {
                            begun.pop_front();
                        }
                        // A reload may have lowered the rate: the burst of the higher one may just be over.
                        assert!(begun.len() as f64 <= rate.0.max(50.0) * 1.1 + 1.0, "{} begun", begun.len());
                    }
                    let give_up = now + give_up_after;
                    self.open.insert(attempt, Open { call, dependency, began: now, give_up });
                }
                Action::Abandon { attempt } => {
                    let open = self.open.remove(&attempt).expect("an attempt that is open");
                    self.lingering.push((self.now + ms(200), open.dependency));
                }
                Action::End { call, end } => {
                    let (class, _, may_have_run, _) = self.calls.remove(&call).expect("ends once");
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
                            "{outcome:?} is said of what may have run: {may_have_run}"
                        ),
                    }
                }
                Action::Note(_) => {}
            }
        }
    }

    fn check(&self) {
        self.dependencies.check_invariants().unwrap();
        let (first, further) = self.dependencies.attempts();
        assert!(further * 10 <= first, "{further} beyond {first}");
        assert_eq!(self.dependencies.active_calls(), self.calls.len());
        for status in self.dependencies.status() {
            let config = &self.file.dependency[&status.name];
            let places = (20.0 * config.share.0) as usize;
            // What came before the budget was lowered may still be there.
            assert!(status.parked <= places, "{} parked of {places}", status.parked);
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
        let took = self.now - open.began;
        self.dependencies.attempt_ended(self.now, attempt, outcome, took, b"reply".to_vec(), &mut out);
        self.take(out);
    }

    fn pass(&mut self, until: Duration) {
        // Attempts whose time is over come first, as the sockets would report them.
        while let Some((attempt, at)) = self.next_due().filter(|(_, at)| *at <= until) {
            self.now = self.now.max(at);
            self.end(attempt, Outcome::GivenUp);
            self.check();
        }
        self.now = until;
        let mut out = Vec::new();
        self.dependencies.tick(self.now, &mut out);
        self.take(out);
    }

    fn next_due(&self) -> Option<(AttemptId, Duration)> {
        self.open.iter().map(|(id, open)| (*id, open.give_up)).min_by_key(|(_, at)| *at)
    }

    fn step(&mut self, step: Step, number: u64) {
        let mut out = Vec::new();
        match step {
            Step::Want { class, place, left, bytes } => {
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
            Step::Drop { which } if !self.calls.is_empty() => {
                let call = *self.calls.keys().nth(which % self.calls.len()).unwrap();
                self.dependencies.cancel_call(self.now, call, &mut out);
                self.calls.remove(&call);
            }
            Step::End { .. } | Step::Drop { .. } => {}
            Step::Pass { ms: time } => self.pass(self.now + ms(time)),
            Step::Reload { variant } => {
                self.file = variants().swap_remove(variant);
                self.dependencies.reload(self.now, &self.file, &mut out);
            }
            Step::Leave => self.dependencies.drain(),
        }
        self.take(out);
        self.check();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 250, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_budgets_hold_and_each_call_has_one_end(steps in steps()) {
        let mut model = Model::new();
        let wanted = steps.iter().filter(|step| matches!(step, Step::Want { .. })).count() as u64;
        let mut dropped = 0;
        for (number, step) in steps.into_iter().enumerate() {
            dropped += u64::from(matches!(step, Step::Drop { .. }) && !model.calls.is_empty());
            model.step(step, number as u64);
        }
        for _ in 0..20 {
            model.pass(model.now + ms(1000));
            model.check();
        }
        prop_assert!(model.calls.is_empty() && model.open.is_empty());
        prop_assert_eq!(model.ended + dropped, wanted);
        for status in model.dependencies.status() {
            prop_assert_eq!((status.in_flight, status.queued, status.parked), (0, 0, 0));
        }
    }
}

/// A part that is too small for a burst fails calls to a dependency that is well; whoever set it must be able to see it.
#[test]
fn calls_that_find_no_place_are_counted_apart_and_told_seldom() {
    let mut harness = Harness::new(&file(&[("waiting = 3", "waiting = 100"), ("fall_back = \"b\"", "")]));
    for _ in 0..20 {
        harness.want(SIGN, 1, b"x");
    }
    // Eight of twenty places, and four in hand.
    let a = harness.state("a");
    assert_eq!((a.in_flight, a.queued, a.parked), (4, 4, 8));
    assert_eq!((a.counts.over_share, a.counts.over_limit, harness.notes), (12, 0, 1));
    harness.until(100);
    assert_eq!((harness.state("a").counts.over_limit, harness.notes), (4, 1));
    harness.until(10_000);
    for _ in 0..10 {
        harness.want(SIGN, 1, b"x");
    }
    assert_eq!(harness.notes, 2);
}

/// A request that came with little time says nothing of the dependency when its call is given up: neither the breaker
/// nor the limit may learn from it, or a few impatient callers would cut a healthy dependency off.
#[test]
fn calls_given_up_for_want_of_the_requests_own_time_teach_nothing() {
    let mut harness = Harness::new(&file(&[("learned = false", "start = 4")]));
    for n in 1..=20 {
        harness.calls += 1;
        let call = CallId(harness.calls);
        let wanted =
            Wanted { call, class: SIGN, place: 1, left: ms(20), body: b"x"[..].into(), kb: 10.0, by: None };
        let mut out = Vec::new();
        harness.dependencies.start_call(harness.now, wanted, &mut out);
        harness.take(out);
        harness.until(n * 300);
        harness.end(call, Outcome::GivenUp, 20);
    }
    assert_eq!((harness.state("a").breaker, harness.state("a").limit), (State::Closed, 4));
    for n in 21..=40 {
        let call = harness.want(SIGN, 1, b"x");
        harness.until(n * 300);
        if !harness.ends.contains_key(&call) {
            harness.end(call, Outcome::GivenUp, 500);
        }
    }
    assert!(harness.state("a").limit < 4);
}
