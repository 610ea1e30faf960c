//! The rules of leases as a model: two processes that want one lease, a second start of the first, two that lead one after the
//! other, and all that may happen between them. The transitions are those that the program runs.
//!
//! Time goes on in ticks of true time. Each process has a clock of its own, which runs a tenth fast or slow: as far off as the
//! terms allow. Messages are lost, doubled, late and out of order; any process may do nothing for any time, also between its look at
//! the lease and the act.

use jaspershunt_fleet::holder::{Grade, HeldLeases};
use jaspershunt_fleet::leader::{Leader, RenewalRequest};
use jaspershunt_fleet::state::lease_of_task;
use jaspershunt_fleet::{Entry, Fleet, Holder, LeaseTiming, Outcome};
use stateright::{Model, Property};
use std::collections::BTreeSet;
use std::time::Duration;

const TIMING: LeaseTiming = LeaseTiming { ttl: Duration::from_millis(40), drift_permille: 100 };
/// Of a clock: milliseconds that it shows for each tick.
const SLOW: u32 = 9;
const FAST: u32 = 11;
/// An act lasts a tick at most, and is paused or on its way for three at most, by any of these clocks.
const GRADE: Grade =
    Grade::Timed { max_act: Duration::from_millis(11), max_delay: Duration::from_millis(33) };
const ACT_TICKS: u8 = 1;
const DELAY_TICKS: u8 = 3;

/// How far a search goes, and what it has in it.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    pub ticks: u8,
    /// Questions of the first process, and of the second.
    pub asks: [u64; 2],
    /// Changes of the one that leads.
    pub changes: u8,
    /// Second starts of the first process, while the first start lives.
    pub starts: u8,
    /// Times that the agreed state goes through a snapshot.
    pub snapshots: u8,
    /// Leases are given up.
    pub releases: bool,
    /// Acts, which the resource cannot check.
    pub acts: bool,
    /// Cursors are written.
    pub cursors: bool,
    /// Questions come twice.
    pub doubles: bool,
    /// A majority takes its time to say that the leader still leads.
    pub slow_majority: bool,
    /// A question is heard and answered at the moment at which it is sent.
    pub prompt: bool,
    /// The first process has the slow clock and the first leader the fast one, or the other way round.
    pub slow_first: bool,
}

/// Nothing but what is in every search.
pub const BASE_SEARCH: Search = Search {
    ticks: 6,
    asks: [1, 1],
    changes: 0,
    starts: 0,
    snapshots: 0,
    releases: false,
    acts: false,
    cursors: false,
    doubles: false,
    slow_majority: false,
    prompt: false,
    slow_first: true,
};

/// Whom an answer is for, to which of its questions, and what it names as held.
type Answered = (usize, u64, Vec<(String, u64)>);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    tick: u8,
    fleet: Fleet,
    processes: Vec<Process>,
    leading: usize,
    leaders: [Option<ModelLeader>; 2],
    changes: u8,
    snapshots: u8,
    questions: BTreeSet<(usize, u64)>,
    answers: BTreeSet<Answered>,
    /// Entries of processes on their way, which may come at any time.
    in_flight: BTreeSet<InFlight>,
    /// What the one that leads has in its log, not agreed yet.
    pending: Vec<Entry>,
    highest: u64,
    /// Acts at the resource: by whom, and until when.
    acts: Vec<(usize, u8)>,
    /// A second process has held the lease.
    passed_on: bool,
    pub wrong: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum InFlight {
    Release(u64),
    Reach(u64),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    leases: HeldLeases,
    rate: u32,
    asks: u64,
    /// It looked at its lease then, and may act.
    ready: Option<u8>,
    acted: bool,
    released: bool,
    /// It has given the lease up, and may want it again.
    may_want: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelLeader {
    leader: Leader,
    rate: u32,
    /// What it knew when it was replaced, of which it has not heard.
    last_known: Option<Fleet>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Tick,
    Ask(usize),
    /// A question reaches a leader.
    Hear(usize, u64, usize),
    Confirm,
    /// An answer comes.
    Answer(usize, u64, Vec<(String, u64)>),
    Agree,
    /// Another one leads; what was not agreed is kept, or lost.
    Change(bool),
    Snapshot,
    SecondStart,
    GiveUp(usize),
    Want(usize),
    Say(usize),
    Arrives(u8, u64),
    Look(usize),
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

    fn agree(&mut self, entry: &Entry) -> Outcome {
        let held = |fleet: &Fleet| {
            fleet.lease(&ModelState::lease()).map(|lease| (lease.holder.clone(), lease.token))
        };
        let before = held(&self.fleet);
        let outcome = self.fleet.apply(entry);
        let after = held(&self.fleet);
        if let Some((_, token)) = after.as_ref().filter(|_| after != before) {
            if *token <= self.highest {
                self.wrong = Some("a token came that is no higher than one before it");
            }
            self.highest = self.highest.max(*token);
        }
        let after = after.map(|(_, token)| token);
        if let (Entry::SaveCursor { token, .. }, Outcome::Done) = (entry, &outcome)
            && after != Some(*token)
        {
            self.wrong = Some("a cursor was written under an old token");
        }
        outcome
    }

    fn confirm(&mut self, at: usize, fleet: &Fleet) {
        let Some(lead) = &mut self.leaders[at] else { return };
        let answers = lead.leader.confirmation_succeeded(fleet);
        for answer in answers {
            let asker = self.processes.iter().position(|one| *one.leases.me() == answer.request.holder);
            self.answers.extend(asker.map(|asker| (asker, answer.request.number, answer.leases)));
        }
    }

    fn check(&mut self) {
        let holding = (0..self.processes.len()).filter(|at| self.holds(*at)).count();
        if holding > 1 {
            self.wrong = Some("two hold the lease");
        }
        self.passed_on |= (1..self.processes.len()).any(|at| self.holds(at));
        let tick = self.tick;
        self.acts.retain(|(_, until)| *until > tick);
        if self.acts.len() > 1 {
            self.wrong = Some("two act at once");
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
            asks: 0,
            ready: None,
            acted: false,
            released: false,
            may_want: false,
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
        let highest = fleet.last_token();
        let lead =
            ModelLeader { leader: Leader::new(Duration::ZERO, TIMING), rate: rates[1], last_known: None };
        vec![ModelState {
            tick: 0,
            fleet,
            processes,
            leading: 0,
            leaders: [Some(lead), None],
            changes: 0,
            snapshots: 0,
            questions: BTreeSet::new(),
            answers: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            pending: vec![],
            highest,
            acts: vec![],
            passed_on: false,
            wrong: None,
        }]
    }

    fn actions(&self, world: &ModelState, steps: &mut Vec<Event>) {
        if world.wrong.is_some() {
            return;
        }
        if world.tick < self.ticks {
            steps.push(Event::Tick);
        }
        for (at, process) in world.processes.iter().enumerate() {
            // A question of one that holds nothing changes nothing but what the leader remembers of it.
            let holder = world.fleet.lease(&ModelState::lease()).map(|lease| &lease.holder);
            let reason = holder == Some(process.leases.me()) || world.holds(at) || self.doubles;
            if reason && process.asks < self.asks[at % 2] && process.leases.next_renewal_at() <= world.now(at)
            {
                steps.push(Event::Ask(at));
            }
            if self.releases && !process.released && world.holds(at) {
                steps.push(Event::GiveUp(at));
            }
            if process.may_want {
                steps.push(Event::Want(at));
            }
            if self.cursors && world.holds(at) {
                steps.push(Event::Say(at));
            }
            if self.acts && !process.acted && process.ready.is_none() && world.holds(at) {
                steps.push(Event::Look(at));
            }
            if process.ready.is_some_and(|looked| world.tick <= looked + DELAY_TICKS) {
                steps.push(Event::Act(at));
            }
        }
        for (at, number) in &world.questions {
            for (leader, lead) in world.leaders.iter().enumerate() {
                if lead.is_some() {
                    steps.push(Event::Hear(*at, *number, leader));
                }
            }
        }
        // One that is lost is one that is never heard.
        if self.slow_majority {
            steps.push(Event::Confirm);
        }
        steps.extend(
            world.answers.iter().map(|(at, number, holds)| Event::Answer(*at, *number, holds.clone())),
        );
        if !world.pending.is_empty() {
            steps.push(Event::Agree);
        }
        if world.changes < self.changes {
            steps.push(Event::Change(true));
            if !world.pending.is_empty() {
                steps.push(Event::Change(false));
            }
        }
        if world.snapshots < self.snapshots {
            steps.push(Event::Snapshot);
        }
        if world.processes.len() < 2 + usize::from(self.starts) {
            steps.push(Event::SecondStart);
        }
        steps.extend(world.in_flight.iter().map(|said| match said {
            InFlight::Release(token) => Event::Arrives(0, *token),
            InFlight::Reach(token) => Event::Arrives(1, *token),
        }));
    }

    fn next_state(&self, last: &ModelState, step: Event) -> Option<ModelState> {
        let mut world = last.clone();
        match step {
            // The leader looks as soon as it can: the worst for those who hold.
            Event::Tick => {
                world.tick += 1;
                let (tick, fleet) = (world.tick, &world.fleet);
                if let Some(lead) = world.leaders[world.leading].as_mut() {
                    let entries = lead.leader.tick(clock(lead.rate, tick), fleet);
                    // Those that are forgotten for their silence want nothing any more; that is not what is looked at here.
                    let ends = entries.into_iter().filter(|entry| matches!(entry, Entry::Expire { .. }));
                    world.pending.extend(ends);
                }
            }
            Event::Ask(at) => {
                let now = world.now(at);
                let number = world.processes[at].leases.start_renewal(now)?;
                world.processes[at].asks += 1;
                world.questions.insert((at, number));
                if self.prompt {
                    let mut heard = self.next_state(&world, Event::Hear(at, number, world.leading))?;
                    let (_, _, holds) = heard.answers.iter().find(|answer| answer.0 == at)?.clone();
                    heard = self.next_state(&heard, Event::Answer(at, number, holds))?;
                    return Some(heard);
                }
            }
            Event::Hear(at, number, leader) => {
                if !self.doubles {
                    world.questions.remove(&(at, number));
                }
                let (holder, tick) = (world.holder(at), world.tick);
                let lead = world.leaders[leader].as_mut()?;
                lead.leader.request_renewal(clock(lead.rate, tick), RenewalRequest { holder, number });
                // One that was replaced hears of no majority, and its answers are never given.
                let hears_at_once = leader == world.leading && !self.slow_majority;
                let known = lead.last_known.clone().unwrap_or_else(|| world.fleet.clone());
                if (hears_at_once || Leader::answers_without_majority()) && lead.leader.begin_confirmation() {
                    world.confirm(leader, &known);
                }
            }
            Event::Confirm => {
                // Only the one that leads hears a majority.
                let (leading, fleet) = (world.leading, world.fleet.clone());
                if !world.leaders[leading].as_mut()?.leader.begin_confirmation() {
                    return None;
                }
                world.confirm(leading, &fleet);
            }
            Event::Answer(at, number, holds) => {
                let now = world.now(at);
                world.processes[at].leases.renewed(now, number, &holds);
                world.answers.remove(&(at, number, holds));
            }
            Event::Agree => {
                let entry = world.pending.remove(0);
                world.agree(&entry);
            }
            Event::Change(kept) => {
                let pending = std::mem::take(&mut world.pending);
                let known = world.fleet.clone();
                if kept {
                    for entry in &pending {
                        world.agree(entry);
                    }
                }
                let (before, after) = (world.leading, 1 - world.leading);
                if let Some(lead) = &mut world.leaders[before] {
                    lead.last_known = Some(known);
                }
                let rate = self.rates()[before];
                let leader = Leader::new(clock(rate, world.tick), TIMING);
                world.leaders[after] = Some(ModelLeader { leader, rate, last_known: None });
                world.leading = after;
                world.changes += 1;
            }
            Event::Snapshot => {
                world.fleet = Fleet::load(&world.fleet.save())?;
                world.snapshots += 1;
            }
            Event::SecondStart => {
                let holder = Holder::new("n0", 2);
                world.agree(&Entry::Enrol { holder: holder.clone() });
                world.agree(&Entry::Acquire { lease: ModelState::lease(), holder: holder.clone() });
                let leases = HeldLeases::new(holder, TIMING);
                let rate = self.rates()[0];
                let (ready, acted, released, may_want) = (None, false, false, false);
                world.processes.push(Process { leases, rate, asks: 0, ready, acted, released, may_want });
            }
            Event::GiveUp(at) => {
                let token = world.processes[at].leases.release(&ModelState::lease())?;
                world.processes[at].released = true;
                world.processes[at].may_want = true;
                world.in_flight.insert(InFlight::Release(token));
            }
            Event::Want(at) => {
                world.processes[at].may_want = false;
                let holder = world.holder(at);
                world.agree(&Entry::Acquire { lease: ModelState::lease(), holder });
            }
            Event::Say(at) => {
                let token = world.processes[at].leases.held(world.now(at), &ModelState::lease())?.token;
                world.in_flight.insert(InFlight::Reach(token));
            }
            Event::Arrives(kind, token) => {
                let entry = if kind == 0 {
                    world.in_flight.remove(&InFlight::Release(token));
                    Entry::Release { lease: ModelState::lease(), token }
                } else {
                    Entry::SaveCursor { task: "t".into(), token, cursor: vec![1] }
                };
                world.agree(&entry);
            }
            Event::Look(at) => {
                world.processes[at].leases.may_act(world.now(at), &ModelState::lease(), GRADE).ok()?;
                world.processes[at].ready = Some(world.tick);
            }
            Event::Act(at) => {
                world.processes[at].ready = None;
                world.processes[at].acted = true;
                world.acts.push((at, world.tick + ACT_TICKS));
            }
        }
        world.check();
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is wrong", |_, world: &ModelState| world.wrong.is_none()),
            // Else the search says nothing.
            Property::sometimes("the lease passes on", |_, world: &ModelState| world.passed_on),
        ]
    }
}

/// All searches: what each has in it, and the rules that only it can show to be needed.
pub fn searches() -> Vec<(&'static str, Search)> {
    let mut all = Vec::new();
    for slow_first in [true, false] {
        let plain = Search { slow_first, ..BASE_SEARCH };
        all.push(("plain", Search { ticks: 8, asks: [2, 2], ..plain }));
        all.push(("slow majority", Search { ticks: 8, asks: [2, 1], slow_majority: true, ..plain }));
        all.push(("doubled", Search { doubles: true, ..plain }));
        all.push(("change of leader", Search { ticks: 8, asks: [2, 1], changes: 1, ..plain }));
        all.push(("second start", Search { ticks: 7, asks: [2, 1], starts: 1, ..plain }));
        all.push(("snapshot", Search { ticks: 8, asks: [2, 1], snapshots: 1, ..plain }));
        all.push(("given up", Search { asks: [2, 1], releases: true, ..plain }));
        all.push(("acts", Search { ticks: 16, asks: [3, 3], acts: true, prompt: true, ..plain }));
        all.push(("cursors", Search { ticks: 7, asks: [2, 1], cursors: true, ..plain }));
    }
    all
}
