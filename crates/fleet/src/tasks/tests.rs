use super::*;
use crate::state::Holder;
use crate::timing::LeaseTiming;

const TIMING: LeaseTiming = LeaseTiming { ttl: Duration::from_secs(10), drift_permille: 50 };

fn spec() -> TaskSpec {
    TaskSpec {
        name: "cierre".into(),
        when: Schedule::every(Duration::from_secs(100)).unwrap(),
        missed: Missed::Once,
        grade: Grade::Checked,
        timeout: Duration::from_secs(2),
        tries: 3,
        backoff: Duration::from_secs(1),
        max_lateness: Duration::from_secs(10),
    }
}

/// A holder, its runner and the replicated state. Every proposed entry is committed at once.
struct TestRunner {
    now: Duration,
    unix: i64,
    fleet: Fleet,
    leases: HeldLeases,
    runner: TaskRunner,
}

impl TestRunner {
    fn new() -> TestRunner {
        let me = Holder::new("n1", 1);
        let mut fleet = Fleet::default();
        fleet.apply(&Entry::Enrol { holder: me.clone() });
        let runner = TaskRunner::new(spec(), 50);
        fleet.apply(&Entry::Acquire { lease: runner.lease().to_string(), holder: me.clone() });
        let mut test =
            TestRunner { now: Duration::ZERO, unix: 50, fleet, leases: HeldLeases::new(me, TIMING), runner };
        test.renew();
        test
    }

    fn renew(&mut self) {
        if let Some(number) = self.leases.start_renewal(self.now) {
            let held: Vec<(String, u64)> =
                self.fleet.leases().map(|(name, lease)| (name.to_string(), lease.token)).collect();
            self.leases.renewed(self.now, number, &held);
        }
    }

    fn pass(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            self.unix += 1;
            self.renew();
        }
    }

    /// Commits the proposed entries; returns the call to make, if any.
    fn settle(&mut self, actions: Vec<Action>) -> Option<(u64, u64, Vec<u8>)> {
        for action in actions {
            match action {
                Action::Propose(entry) => {
                    let outcome = self.fleet.apply(&entry);
                    let more = self.runner.on_outcome(self.now, &entry, &outcome);
                    assert!(self.settle(more).is_none());
                }
                Action::Call { number, key, cursor, until, .. } => {
                    assert!(until > self.now && until <= self.now + spec().timeout);
                    return Some((number, key, cursor));
                }
                Action::Wake(_) => {}
            }
        }
        None
    }

    fn step(&mut self) -> Option<(u64, u64, Vec<u8>)> {
        let actions = self.runner.step(self.now, self.unix, &self.leases, &self.fleet);
        self.settle(actions)
    }

    fn called(&mut self, number: u64, outcome: CallOutcome) {
        let actions = self.runner.on_call_outcome(self.now, number, outcome);
        assert!(self.settle(actions).is_none());
    }
}

#[test]
fn a_run_is_committed_called_and_committed_as_done() {
    let mut test = TestRunner::new();
    assert_eq!(test.step(), None, "nothing is due");
    test.pass(50);
    assert_eq!(test.step(), None, "its beginning is committed first");
    let (number, key, cursor) = test.step().expect("a call");
    assert!(cursor.is_empty());
    assert_eq!(test.step(), None, "one call at a time");
    test.called(number, CallOutcome::Partial(b"half".to_vec()));
    let (number, same, cursor) = test.step().expect("the rest");
    assert_eq!((same, cursor), (key, b"half".to_vec()));
    test.called(number + 7, CallOutcome::Failed("no call of this run".into()));
    test.called(number, CallOutcome::Done(b"ok".to_vec()));
    let task = test.fleet.task("cierre").unwrap();
    assert_eq!((task.result.as_deref(), task.last_due), (Some(&b"ok"[..]), Some(100)));
    assert_eq!(test.step(), None, "that time is done");
    test.pass(100);
    test.step();
    assert!(test.step().is_some_and(|(_, other, _)| other > key));
}

#[test]
fn calls_are_retried_within_their_budget_under_the_same_key() {
    let mut test = TestRunner::new();
    test.pass(50);
    test.step();
    let (number, key, _) = test.step().unwrap();
    test.called(number, CallOutcome::Failed("503".into()));
    assert_eq!(test.step(), None, "it waits");
    test.pass(1);
    let (_, same, _) = test.step().unwrap();
    assert_eq!(same, key);
    // This call hangs until its timeout.
    test.pass(2);
    assert_eq!(test.step(), None);
    test.pass(1);
    assert_eq!(test.step(), None, "twice as long");
    test.pass(1);
    let (number, same, _) = test.step().unwrap();
    assert_eq!(same, key);
    test.called(number, CallOutcome::Failed("500".into()));
    let why = test.fleet.task("cierre").unwrap().disabled_reason.clone().unwrap();
    assert!(why.contains("3 calls failed") && why.contains("500"), "{why}");
    test.pass(500);
    assert_eq!(test.step(), None, "it is left alone");
    test.fleet.apply(&Entry::Pause { task: "cierre".into(), paused: false });
    test.step();
    assert!(test.step().is_some());
}

#[test]
fn without_the_lease_nothing_is_done_and_late_results_are_ignored() {
    let mut test = TestRunner::new();
    test.pass(50);
    test.step();
    let (number, _, _) = test.step().unwrap();
    // The process is paused beyond its lease, and resumes as the call ends.
    test.now += Duration::from_secs(20);
    assert_eq!(test.step(), None);
    test.called(number, CallOutcome::Done(b"late".to_vec()));
    assert!(test.fleet.task("cierre").unwrap().result.is_none());
    // The process gets the lease again later: the run continues.
    test.renew();
    test.step();
    assert!(test.step().is_some());
    test.called(number + 1, CallOutcome::OldToken);
    assert!(matches!(test.runner.state, State::Idle));
}

#[test]
fn an_entry_without_an_outcome_is_proposed_again() {
    let mut test = TestRunner::new();
    test.pass(50);
    let lost = test.runner.step(test.now, test.unix, &test.leases, &test.fleet);
    assert!(matches!(&lost[..], [Action::Propose(Entry::BeginRun { due: 100, .. }), Action::Wake(_)]));
    let early = test.runner.step(test.now, test.unix, &test.leases, &test.fleet);
    assert!(matches!(&early[..], [Action::Wake(_)]), "{early:?}");
    test.pass(1);
    assert_eq!(test.step(), None);
    assert!(test.step().is_some());
}

#[test]
fn operators_request_a_run_and_pause_the_task() {
    let mut test = TestRunner::new();
    test.fleet.apply(&Entry::RequestRun { task: "cierre".into() });
    test.step();
    let (number, _, _) = test.step().expect("asked for, before it is due");
    test.called(number, CallOutcome::Done(vec![]));
    test.fleet.apply(&Entry::Pause { task: "cierre".into(), paused: true });
    test.pass(200);
    assert_eq!(test.step(), None);
    let mut other = spec();
    other.when = Schedule::every(Duration::from_secs(7)).unwrap();
    test.runner.set_spec(other);
    assert_eq!(test.runner.spec().when.after(0), Some(7));
}
