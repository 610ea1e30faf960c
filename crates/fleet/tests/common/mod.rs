//! The lease protocol as a model: two processes that want one lease, a second incarnation of the first, two
//! successive leaders, and all events between them. The transitions call the code of this crate.
//!
//! Time passes in ticks of true time. Each process has a clock of its own, which runs a tenth fast or slow,
//! the largest drift that the timing allows. Messages are lost, duplicated, delayed and reordered; any
//! process may pause at any time, also between its check of the lease and the act.

use jaspershunt_fleet::holder::{Grade, HeldLeases};
use jaspershunt_fleet::leader::{Leader, RenewalRequest};
use jaspershunt_fleet::state::lease_of_task;
use jaspershunt_fleet::{Entry, Fleet, Holder, LeaseTiming, Outcome};
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const TIMING: LeaseTiming = LeaseTiming { ttl: Duration::from_millis(40), drift_permille: 100 };
/// Milliseconds that a clock advances per tick.
const SLOW: u32 = 9;
const FAST: u32 = 11;
/// By any of these clocks, an act lasts at most a tick, and is paused or delayed for at most three.
const GRADE: Grade =
    Grade::Timed { max_act: Duration::from_millis(11), max_delay: Duration::from_millis(33) };
const ACT_TICKS: u8 = 1;
const DELAY_TICKS: u8 = 3;

/// The bounds of a search, and the faults in it.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    pub ticks: u8,
    /// Renewal requests of the first process, and of the second.
    pub renewals: [u64; 2],
    /// Changes of the leader.
    pub leader_changes: u8,
    /// Second incarnations of the first process, while its first incarnation is alive.
    pub restarts: u8,
    /// Times that the replicated state is saved and loaded.
    pub snapshots: u8,
    /// Leases are released.
    pub releases: bool,
    /// Acts on a resource that cannot check tokens.
    pub acts: bool,
    /// Cursors are saved.
    pub cursors: bool,
    /// Requests arrive twice.
    pub duplicates: bool,
    /// The majority's confirmation of the leader is delayed.
    pub slow_majority: bool,
    /// A request arrives and is answered at the time it is sent.
    pub instant_answers: bool,
    /// The first process has the slow clock and the first leader the fast one; otherwise the other way round.
    pub slow_first: bool,
}

/// The common base of all searches, without any faults.
pub const BASE_SEARCH: Search = Search {
    ticks: 6,
    renewals: [1, 1],
    leader_changes: 0,
    restarts: 0,
    snapshots: 0,
    releases: false,
    acts: false,
    cursors: false,
    duplicates: false,
    slow_majority: false,
    instant_answers: false,
    slow_first: true,
};

/// The process an answer is for, the number of its request, and the leases in it.
type AnswerInFlight = (usize, u64, Vec<(String, u64)>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    tick: u8,
    fleet: Fleet,
    processes: Vec<Process>,
    current_leader: usize,
    leaders: [Option<ModelLeader>; 2],
    leader_changes: u8,
    snapshots: u8,
    requests: BTreeSet<(usize, u64)>,
    answers: BTreeSet<AnswerInFlight>,
    /// Entries sent by processes, which may arrive at any time.
    in_flight: BTreeSet<InFlight>,
    /// The leader's log entries that are not yet committed.
    pending: Vec<Entry>,
    highest_token: u64,
    /// Acts at the resource: the process, and until when.
    acts: Vec<(usize, u8)>,
    /// A second process has held the lease.
    passed_on: bool,
    pub violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum InFlight {
    Release(u64),
    SaveCursor(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    leases: HeldLeases,
    rate: u32,
    renewals: u64,
    /// When the process checked its lease; it may act since.
    checked_at: Option<u8>,
    acted: bool,
    released: bool,
    /// The process has released the lease and may request it again.
    may_reacquire: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelLeader {
    leader: Leader,
    rate: u32,
    /// What the leader knew when it was replaced, which it does not know.
    known_when_replaced: Option<Fleet>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Tick,
    Renew(usize),
    /// A request arrives at a leader.
    RequestArrives(usize, u64, usize),
    Confirm,
    /// An answer arrives.
    AnswerArrives(usize, u64, Vec<(String, u64)>),
    Commit,
    /// Another leader takes over; uncommitted entries are kept or lost.
    ChangeLeader(bool),
    TakeSnapshot,
    Restart,
    Release(usize),
    Reacquire(usize),
    SendCursor(usize),
    EntryArrives(u8, u64),
    CheckLease(usize),
    Act(usize),
}

fn clock(rate: u32, tick: u8) -> Duration {
    Duration::from_millis(u64::from(rate) * u64::from(tick))
}

impl Search {
    fn rates(&self) -> [u32; 2] {
        if self.slow_first { [SLOW, FAST] } else { [FAST, SLOW] }
    }
}

impl ModelState {
    fn lease() -> String {
        lease_of_task("t")
    }

    fn holder(&self, at: usize) -> Holder {
        self.processes[at].leases.me().clone()
    }

    fn now(&self, at: usize) -> Duration {
        clock(self.processes[at].rate, self.tick)
    }

    fn holds(&self, at: usize) -> bool {
        self.processes[at].leases.held(self.now(at), &ModelState::lease()).is_some()
    }

    fn commit(&mut self, entry: &Entry) -> Outcome {
        let held = |fleet: &Fleet| {
            fleet.lease(&ModelState::lease()).map(|lease| (lease.holder.clone(), lease.token))
        };
        let before = held(&self.fleet);
        let outcome = self.fleet.apply(entry);
        let after = held(&self.fleet);
        if let Some((_, token)) = after.as_ref().filter(|_| after != before) {
            if *token <= self.highest_token {
                self.violation = Some("a token came that is no higher than one before it");
            }
            self.highest_token = self.highest_token.max(*token);
        }
        let after = after.map(|(_, token)| token);
        if let (Entry::SaveCursor { token, .. }, Outcome::Done) = (entry, &outcome)
            && after != Some(*token)
        {
            self.violation = Some("a cursor was written under an old token");
        }
        outcome
    }

    fn confirm(&mut self, at: usize, fleet: &Fleet) {
        let Some(model_leader) = &mut self.leaders[at] else { return };
        let answers = model_leader.leader.confirmation_succeeded(fleet);
        for answer in answers {
            let asker = self.processes.iter().position(|one| *one.leases.me() == answer.request.holder);
            self.answers.extend(asker.map(|asker| (asker, answer.request.number, answer.leases)));
        }
    }

    fn check(&mut self) {
        let holding = (0..self.processes.len()).filter(|at| self.holds(*at)).count();
        if holding > 1 {
            self.violation = Some("two hold the lease");
        }
        self.passed_on |= (1..self.processes.len()).any(|at| self.holds(at));
        let tick = self.tick;
        self.acts.retain(|(_, until)| *until > tick);
        if self.acts.len() > 1 {
            self.violation = Some("two act at once");
        }
    }
}

impl Model for Search {
    type State = ModelState;
    type Action = Event;

    fn init_states(&self) -> Vec<ModelState> {
        let rates = self.rates();
        let process = |n: usize| Process {
            leases: HeldLeases::new(Holder::new(&format!("n{n}"), 1), TIMING),
            rate: rates[n],
            renewals: 0,
            checked_at: None,
            acted: false,
            released: false,
            may_reacquire: false,
        };
        let processes: Vec<Process> = (0..2).map(process).collect();
        let mut fleet = Fleet::default();
        for process in &processes {
            let holder = process.leases.me().clone();
            fleet.apply(&Entry::Enrol { holder: holder.clone() });
            fleet.apply(&Entry::Acquire { lease: ModelState::lease(), holder });
        }
        if self.cursors {
            fleet.apply(&Entry::BeginRun { task: "t".into(), token: 1, due: 1 });
        }
        let highest_token = fleet.last_token();
        let model_leader = ModelLeader {
            leader: Leader::new(Duration::ZERO, TIMING),
            rate: rates[1],
            known_when_replaced: None,
        };
        vec![ModelState {
            tick: 0,
            fleet,
            processes,
            current_leader: 0,
            leaders: [Some(model_leader), None],
            leader_changes: 0,
            snapshots: 0,
            requests: BTreeSet::new(),
            answers: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            pending: vec![],
            highest_token,
            acts: vec![],
            passed_on: false,
            violation: None,
        }]
    }

    fn actions(&self, model: &ModelState, steps: &mut Vec<Event>) {
        if model.violation.is_some() {
            return;
        }
        if model.tick < self.ticks {
            steps.push(Event::Tick);
        }
        for (at, process) in model.processes.iter().enumerate() {
            // A request of a process that holds nothing changes only what the leader remembers of it.
            let holder = model.fleet.lease(&ModelState::lease()).map(|lease| &lease.holder);
            let reason = holder == Some(process.leases.me()) || model.holds(at) || self.duplicates;
            if reason
                && process.renewals < self.renewals[at % 2]
                && process.leases.next_renewal_at() <= model.now(at)
            {
                steps.push(Event::Renew(at));
            }
            if self.releases && !process.released && model.holds(at) {
                steps.push(Event::Release(at));
            }
            if process.may_reacquire {
                steps.push(Event::Reacquire(at));
            }
            if self.cursors && model.holds(at) {
                steps.push(Event::SendCursor(at));
            }
            if self.acts && !process.acted && process.checked_at.is_none() && model.holds(at) {
                steps.push(Event::CheckLease(at));
            }
            if process.checked_at.is_some_and(|checked_at| model.tick <= checked_at + DELAY_TICKS) {
                steps.push(Event::Act(at));
            }
        }
        for (at, number) in &model.requests {
            for (leader, model_leader) in model.leaders.iter().enumerate() {
                if model_leader.is_some() {
                    steps.push(Event::RequestArrives(*at, *number, leader));
                }
            }
        }
        // A message that never arrives counts as lost.
        if self.slow_majority {
            steps.push(Event::Confirm);
        }
        steps.extend(
            model.answers.iter().map(|(at, number, holds)| Event::AnswerArrives(*at, *number, holds.clone())),
        );
        if !model.pending.is_empty() {
            steps.push(Event::Commit);
        }
        if model.leader_changes < self.leader_changes {
            steps.push(Event::ChangeLeader(true));
            if !model.pending.is_empty() {
                steps.push(Event::ChangeLeader(false));
            }
        }
        if model.snapshots < self.snapshots {
            steps.push(Event::TakeSnapshot);
        }
        if model.processes.len() < 2 + usize::from(self.restarts) {
            steps.push(Event::Restart);
        }
        steps.extend(model.in_flight.iter().map(|message| match message {
            InFlight::Release(token) => Event::EntryArrives(0, *token),
            InFlight::SaveCursor(token) => Event::EntryArrives(1, *token),
        }));
    }

    fn next_state(&self, last: &ModelState, step: Event) -> Option<ModelState> {
        let mut model = last.clone();
        match step {
            // The leader acts as soon as it can, which is the worst case for holders.
            Event::Tick => {
                model.tick += 1;
                let (tick, fleet) = (model.tick, &model.fleet);
                if let Some(model_leader) = model.leaders[model.current_leader].as_mut() {
                    let entries = model_leader.leader.tick(clock(model_leader.rate, tick), fleet);
                    // Members removed for their silence are left out; this model examines expiry only.
                    let ends = entries.into_iter().filter(|entry| matches!(entry, Entry::Expire { .. }));
                    model.pending.extend(ends);
                }
            }
            Event::Renew(at) => {
                let now = model.now(at);
                let number = model.processes[at].leases.start_renewal(now)?;
                model.processes[at].renewals += 1;
                model.requests.insert((at, number));
                if self.instant_answers {
                    let mut answered =
                        self.next_state(&model, Event::RequestArrives(at, number, model.current_leader))?;
                    let (_, _, holds) = answered.answers.iter().find(|answer| answer.0 == at)?.clone();
                    answered = self.next_state(&answered, Event::AnswerArrives(at, number, holds))?;
                    return Some(answered);
                }
            }
            Event::RequestArrives(at, number, leader) => {
                if !self.duplicates {
                    model.requests.remove(&(at, number));
                }
                let (holder, tick) = (model.holder(at), model.tick);
                let model_leader = model.leaders[leader].as_mut()?;
                model_leader
                    .leader
                    .request_renewal(clock(model_leader.rate, tick), RenewalRequest { holder, number });
                // A replaced leader gets no confirmation, so it never sends its answers.
                let confirmed_at_once = leader == model.current_leader && !self.slow_majority;
                let known = model_leader.known_when_replaced.clone().unwrap_or_else(|| model.fleet.clone());
                if (confirmed_at_once || Leader::answers_without_majority())
                    && model_leader.leader.begin_confirmation()
                {
                    model.confirm(leader, &known);
                }
            }
            Event::Confirm => {
                // Only the current leader gets a majority's confirmation.
                let (current_leader, fleet) = (model.current_leader, model.fleet.clone());
                if !model.leaders[current_leader].as_mut()?.leader.begin_confirmation() {
                    return None;
                }
                model.confirm(current_leader, &fleet);
            }
            Event::AnswerArrives(at, number, holds) => {
                let now = model.now(at);
                model.processes[at].leases.renewed(now, number, &holds);
                model.answers.remove(&(at, number, holds));
            }
            Event::Commit => {
                let entry = model.pending.remove(0);
                model.commit(&entry);
            }
            Event::ChangeLeader(kept) => {
                let pending = std::mem::take(&mut model.pending);
                let known = model.fleet.clone();
                if kept {
                    for entry in &pending {
                        model.commit(entry);
                    }
                }
                let (before, after) = (model.current_leader, 1 - model.current_leader);
                if let Some(model_leader) = &mut model.leaders[before] {
                    model_leader.known_when_replaced = Some(known);
                }
                let rate = self.rates()[before];
                let leader = Leader::new(clock(rate, model.tick), TIMING);
                model.leaders[after] = Some(ModelLeader { leader, rate, known_when_replaced: None });
                model.current_leader = after;
                model.leader_changes += 1;
            }
            Event::TakeSnapshot => {
                model.fleet = Fleet::load(&model.fleet.save())?;
                model.snapshots += 1;
            }
            Event::Restart => {
                let holder = Holder::new("n0", 2);
                model.commit(&Entry::Enrol { holder: holder.clone() });
                model.commit(&Entry::Acquire { lease: ModelState::lease(), holder: holder.clone() });
                let leases = HeldLeases::new(holder, TIMING);
                let rate = self.rates()[0];
                let (checked_at, acted, released, may_reacquire) = (None, false, false, false);
                model.processes.push(Process {
                    leases,
                    rate,
                    renewals: 0,
                    checked_at,
                    acted,
                    released,
                    may_reacquire,
                });
            }
            Event::Release(at) => {
                let token = model.processes[at].leases.release(&ModelState::lease())?;
                model.processes[at].released = true;
                model.processes[at].may_reacquire = true;
                model.in_flight.insert(InFlight::Release(token));
            }
            Event::Reacquire(at) => {
                model.processes[at].may_reacquire = false;
                let holder = model.holder(at);
                model.commit(&Entry::Acquire { lease: ModelState::lease(), holder });
            }
            Event::SendCursor(at) => {
                let token = model.processes[at].leases.held(model.now(at), &ModelState::lease())?.token;
                model.in_flight.insert(InFlight::SaveCursor(token));
            }
            Event::EntryArrives(kind, token) => {
                let entry = if kind == 0 {
                    model.in_flight.remove(&InFlight::Release(token));
                    Entry::Release { lease: ModelState::lease(), token }
                } else {
                    Entry::SaveCursor { task: "t".into(), token, cursor: vec![1] }
                };
                model.commit(&entry);
            }
            Event::CheckLease(at) => {
                model.processes[at].leases.may_act(model.now(at), &ModelState::lease(), GRADE).ok()?;
                model.processes[at].checked_at = Some(model.tick);
            }
            Event::Act(at) => {
                model.processes[at].checked_at = None;
                model.processes[at].acted = true;
                model.acts.push((at, model.tick + ACT_TICKS));
            }
        }
        model.check();
        (model != *last).then_some(model)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is wrong", |_, model: &ModelState| model.violation.is_none()),
            // Otherwise the search would prove nothing.
            Property::sometimes("the lease passes on", |_, model: &ModelState| model.passed_on),
        ]
    }
}

/// All searches, by name. Some mutants are detected by only one of them.
pub fn searches() -> Vec<(&'static str, Search)> {
    let mut all = Vec::new();
    for slow_first in [true, false] {
        let plain = Search { slow_first, ..BASE_SEARCH };
        all.push(("plain", Search { ticks: 8, renewals: [2, 2], ..plain }));
        all.push(("slow majority", Search { ticks: 8, renewals: [2, 1], slow_majority: true, ..plain }));
        all.push(("doubled", Search { duplicates: true, ..plain }));
        all.push(("change of leader", Search { ticks: 8, renewals: [2, 1], leader_changes: 1, ..plain }));
        all.push(("second start", Search { ticks: 7, renewals: [2, 1], restarts: 1, ..plain }));
        all.push(("snapshot", Search { ticks: 8, renewals: [2, 1], snapshots: 1, ..plain }));
        all.push(("given up", Search { renewals: [2, 1], releases: true, ..plain }));
        all.push((
            "acts",
            Search { ticks: 16, renewals: [3, 3], acts: true, instant_answers: true, ..plain },
        ));
        all.push(("cursors", Search { ticks: 7, renewals: [2, 1], cursors: true, ..plain }));
    }
    all
}
