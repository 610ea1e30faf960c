use super::*;
use crate::leader::{Leader, RenewalRequest};
use crate::lease_queue::LeaseQueue;
use crate::schedule::{Missed, Schedule};
use crate::state::lease_of_task;

const TIMING: LeaseTiming = LeaseTiming { ttl: Duration::from_secs(4), drift_permille: 50 };

fn spec(name: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        when: Schedule::every(Duration::from_secs(10)).unwrap(),
        missed: Missed::Once,
        grade: Grade::Checked,
        timeout: Duration::from_secs(1),
        tries: 2,
        backoff: Duration::from_millis(500),
        max_lateness: Duration::from_secs(5),
    }
}

/// Members and two voters, the second of which is the leader and commits at once.
struct TestFleet {
    now: Duration,
    fleet: Fleet,
    leader: Leader,
    lease_queue: LeaseQueue,
    members: Vec<Client>,
    calls: Vec<(String, u64, u64)>,
    contacted: Vec<String>,
    reported: Vec<Action>,
    /// The voters send no answers.
    silent: bool,
}

impl TestFleet {
    fn new(members: usize) -> TestFleet {
        let voters = || vec!["v1".to_string(), "v2".to_string()];
        let member = |n| {
            let me = Holder::new(&format!("n{n}"), 1);
            Client::new(me, TIMING, voters(), vec![spec("cierre")])
        };
        TestFleet {
            now: Duration::from_secs(5),
            fleet: Fleet::default(),
            leader: Leader::new(Duration::from_secs(5), TIMING),
            lease_queue: LeaseQueue::default(),
            members: (0..members).map(member).collect(),
            calls: Vec::new(),
            contacted: Vec::new(),
            reported: Vec::new(),
            silent: false,
        }
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for n in 0..self.members.len() {
                let unix = 1000 + self.now.as_secs() as i64;
                let actions = self.members[n].step(self.now, unix);
                self.carry_out(n, actions);
            }
            let ending = self.leader.tick(self.now, &self.fleet);
            let lining_up = self.lease_queue.tick(&self.fleet, |_| true);
            ending.iter().chain(&lining_up).for_each(|entry| drop(self.fleet.apply(entry)));
        }
    }

    fn carry_out(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Renew { to, number, wanted, unix, answered } => {
                    self.contacted.push(to.clone());
                    if self.silent {
                        continue;
                    }
                    if to == "v1" {
                        let now = self.now;
                        self.members[n].on_not_leader(now, "v1", Some("v2"));
                        continue;
                    }
                    let holder = self.members[n].me().clone();
                    self.leader.acknowledge_answer(self.now, &holder, answered);
                    if let Some(wanted) = wanted {
                        self.lease_queue.set_wanted(&holder, wanted);
                    }
                    assert!(
                        self.leader
                            .request_renewal(self.now, RenewalRequest { holder: holder.clone(), number })
                    );
                    assert!(self.leader.begin_confirmation());
                    for answer in self.leader.confirmation_succeeded(&self.fleet) {
                        let answer = RenewalAnswer {
                            number: answer.request.number,
                            leases: answer.leases,
                            enrolled: answer.enrolled,
                            unix: Some(unix),
                            send_wanted: !self.lease_queue.has_wanted(&holder),
                            view: self.fleet.view_for(&holder).save(),
                        };
                        self.members[n].on_answer(self.now, "v2", &answer);
                    }
                }
                Action::Propose { to, id, entry } if to == "v2" && !self.silent => {
                    let outcome = self.fleet.apply(&entry);
                    let actions = self.members[n].on_outcome(self.now, id, Some(outcome));
                    self.carry_out(n, actions);
                }
                Action::Propose { .. } => {}
                Action::Call(Call { task, number, key, .. }) => {
                    self.calls.push((self.members[n].me().member.clone(), number, key));
                    self.members[n].call_ended(self.now, &task, number, CallOutcome::Done(b"ok".to_vec()));
                }
                other => self.reported.push(other),
            }
        }
    }
}

#[test]
fn a_task_runs_once_per_due_time_on_the_holder_of_its_lease() {
    let mut test = TestFleet::new(3);
    test.pass(Duration::from_secs(36));
    let holder = test.fleet.lease(&lease_of_task("cierre")).unwrap().holder.member.clone();
    let names: Vec<&str> = test.calls.iter().map(|(name, ..)| name.as_str()).collect();
    assert_eq!(names, [holder.as_str(); 4], "at 1010, 1020, 1030 and 1040");
    let keys: BTreeSet<u64> = test.calls.iter().map(|(_, _, key)| *key).collect();
    assert_eq!(keys.len(), 4);
    assert_eq!(test.fleet.task("cierre").unwrap().result.as_deref(), Some(&b"ok"[..]));
    // Each found the leader through the first voter, and stayed with it.
    assert_eq!(test.contacted.iter().filter(|name| *name == "v1").count(), 3);
}

#[test]
fn a_leaving_member_passes_its_lease_on_at_once() {
    let mut test = TestFleet::new(2);
    test.pass(Duration::from_secs(8));
    let lease = lease_of_task("cierre");
    let first = test.fleet.lease(&lease).unwrap().holder.clone();
    let n = test.members.iter().position(|member| *member.me() == first).unwrap();
    let now = test.now;
    test.members[n].leave(now);
    test.pass(Duration::from_millis(300));
    assert!(test.members[n].has_left() && !test.fleet.is_present(&first));
    assert_ne!(test.fleet.lease(&lease).unwrap().holder, first);
    assert_eq!(test.members[n].may_act(test.now, &lease, Grade::Checked), Err(NoPermit::NotHeld));
}

#[test]
fn without_answers_the_other_voter_is_asked_and_leases_expire() {
    let mut test = TestFleet::new(1);
    test.pass(Duration::from_secs(4));
    let lease = lease_of_task("cierre");
    assert!(test.members[0].may_act(test.now, &lease, Grade::Checked).is_ok());
    (test.silent, test.contacted) = (true, Vec::new());
    test.pass(Duration::from_secs(12));
    assert!(test.contacted.contains(&"v1".to_string()) && test.contacted.contains(&"v2".to_string()));
    assert_eq!(test.members[0].may_act(test.now, &lease, Grade::Checked), Err(NoPermit::NotHeld));
    assert!(test.reported.contains(&Action::Report(Event::Lost { lease, token: 1 })), "{:?}", test.reported);
}

#[test]
fn a_superseded_incarnation_reports_it_once() {
    let mut test = TestFleet::new(1);
    test.fleet.apply(&Entry::Enrol { holder: Holder::new("n0", 2) });
    test.pass(Duration::from_secs(3));
    assert!(test.members[0].is_superseded());
    assert_eq!(test.reported, [Action::Report(Event::Superseded)]);
    assert_eq!(test.fleet.leases().count(), 0);
}

/// Guards against a retry storm: two voters that each name the other as leader are asked only a few times.
#[test]
fn voters_that_name_each_other_cause_no_retry_storm() {
    let me = Holder::new("n0", 1);
    let voters = vec!["v1".to_string(), "v2".to_string()];
    let mut member = Client::new(me, TIMING, voters, Vec::new());
    let (mut now, mut contacted) = (Duration::from_secs(5), 0);
    while now < Duration::from_secs(9) {
        now += Duration::from_millis(1);
        for action in member.step(now, 0) {
            if let Action::Renew { to, .. } = action {
                contacted += 1;
                let other = if to == "v1" { "v2" } else { "v1" };
                member.on_not_leader(now, &to, Some(other));
            }
        }
    }
    let questions = 4000 / TIMING.renewal_interval().as_millis();
    assert!(contacted >= questions && contacted <= (questions + 2) * 4, "{contacted} of {questions}");
}

/// After a broken connection the next voter is asked at once, and gets the open proposals. Guards against
/// following broken connections endlessly.
#[test]
fn the_next_voter_is_asked_at_once_after_a_broken_connection() {
    let mut test = TestFleet::new(1);
    test.pass(Duration::from_secs(2));
    assert_eq!(test.members[0].current_voter(), Some("v2"));
    let now = test.now;
    test.members[0].propose(now, Entry::RequestRun { task: "cierre".into() }, true).unwrap();
    test.members[0].on_connection_lost(now, "v1");
    assert_eq!(test.members[0].current_voter(), Some("v2"), "another one's connection");
    test.members[0].step(now, 0);
    test.members[0].on_connection_lost(now, "v2");
    assert_eq!(test.members[0].current_voter(), Some("v1"));
    let actions = test.members[0].step(now, 0);
    assert!(
        actions.iter().any(|action| matches!(action, Action::Renew { to, .. } if to == "v1")),
        "{actions:?}"
    );
    assert!(
        actions.iter().any(|action| matches!(action, Action::Propose { to, .. } if to == "v1")),
        "{actions:?}"
    );
    for _ in 0..20 {
        let asks = test.members[0].current_voter().unwrap().to_string();
        test.members[0].on_connection_lost(now, &asks);
    }
    let asks =
        test.members[0].step(now, 0).into_iter().filter(|action| matches!(action, Action::Renew { .. }));
    assert!(asks.count() <= 1);
}

/// Of an entry sent more than once it is unknown which copies will be committed, so the client reports that.
#[test]
fn an_entry_sent_more_than_once_is_reported_as_such() {
    let mut test = TestFleet::new(1);
    test.pass(Duration::from_secs(1));
    test.silent = true;
    let now = test.now;
    let id =
        test.members[0].propose(now, Entry::Pause { task: "cierre".into(), paused: true }, true).unwrap();
    test.pass(TIMING.renewal_interval() * 2);
    test.silent = false;
    test.pass(TIMING.ttl);
    let settled = test
        .reported
        .iter()
        .find(|action| matches!(action, Action::Settled { id: settled_id, .. } if *settled_id == id));
    assert!(
        matches!(settled, Some(Action::Settled { outcome: Some(_), sent_again: true, .. })),
        "{:?}",
        test.reported
    );
}

/// An operator's entry is reported with its outcome; one that no voter accepts is reported without.
#[test]
fn an_operators_entry_is_settled_or_given_up() {
    let mut test = TestFleet::new(1);
    test.pass(Duration::from_secs(1));
    let now = test.now;
    let id =
        test.members[0].propose(now, Entry::Pause { task: "cierre".into(), paused: true }, true).unwrap();
    test.pass(Duration::from_millis(200));
    assert!(
        test.reported.contains(&Action::Settled { id, outcome: Some(Outcome::Done), sent_again: false }),
        "{:?}",
        test.reported
    );
    test.silent = true;
    let now = test.now;
    let id = test.members[0].propose(now, Entry::RequestRun { task: "cierre".into() }, true).unwrap();
    test.pass(TIMING.ttl * (GIVE_UP_AFTER_TTLS + 1));
    assert!(test.reported.contains(&Action::Settled { id, outcome: None, sent_again: true }));
    for n in 0..2 * MAX_PROPOSALS as u64 {
        test.members[0].propose(now, Entry::Release { lease: "x".into(), token: n }, false);
    }
    assert_eq!(test.members[0].proposals.len(), MAX_PROPOSALS);
}
