//! A simulation of the whole crate. Three members have several incarnations each, which are paused, stopped,
//! resumed, started beside each other and leave. Proposals are lost, duplicated and delayed, answers to calls
//! are lost, and a resource of each kind counts its effects. The invariants are checked after each step, and
//! at the end all accepted work has one outcome. A schedule is a list of choices, drawn from a seed or given,
//! so that a failing one can be shrunk.

use crate::{
    Action, Effect, End, Entry, LocalWork, MemberView, Offer, Outcome, QueryResult, Refusal, RunResult, Work,
    plan_takeovers,
};
use jaspershunt_fleet::parts::Part;
use jaspershunt_fleet::{Entry as FleetEntry, Fleet, Holder};
use std::collections::{BTreeMap, BTreeSet};

/// Steps of a schedule in which faults occur.
const FAULT_STEPS: usize = 160;
/// Rounds without faults within which all work must end.
const SETTLE_ROUNDS: usize = 400;
const MEMBERS: usize = 3;
const MAX_PROCESSES: usize = 12;
const WINDOW_MS: u64 = 20_000;
const KEYS: [(&str, Effect); 3] = [("a", Effect::Asks), ("f", Effect::Fenced), ("u", Effect::Unknown)];

/// Source of the choices of a schedule.
#[derive(Clone, Debug)]
pub enum Choices {
    /// A random generator with this state.
    Seed(u64),
    /// These choices from an index on, and zeros after them.
    Given(Vec<u16>, usize),
}

impl Choices {
    /// Returns a number below `n`.
    fn below(&mut self, n: usize) -> usize {
        let drawn = match self {
            Choices::Seed(state) => {
                // splitmix64
                *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let mut z = *state;
                z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
                z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
                (z ^ (z >> 31)) as usize
            }
            Choices::Given(given, at) => {
                *at += 1;
                given.get(*at - 1).map_or(0, |choice| usize::from(*choice))
            }
        };
        if n == 0 { 0 } else { drawn % n }
    }

    fn one_in(&mut self, n: usize) -> bool {
        // The last of `n`, so that the zeros after the given choices cause no faults.
        self.below(n) == n - 1
    }
}

/// Counts of events, which show that the schedules reach the interesting cases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Accepted uses of a key. Each use represents one request.
    pub accepted: u64,
    /// Effects at the resource.
    pub effects: u64,
    /// Takeovers that were applied.
    pub takeovers: u64,
    /// Outcomes: done, failed, never ran, unknown.
    pub ends: [u64; 4],
    /// Answers to clients.
    pub answers: u64,
    /// Clients to which no outcome could be reported.
    pub no_answers: u64,
    /// Calls that the resource rejected for a stale token.
    pub turned_away: u64,
}

impl Tally {
    fn add(&mut self, other: &Tally) {
        self.accepted += other.accepted;
        self.effects += other.effects;
        self.takeovers += other.takeovers;
        self.answers += other.answers;
        self.no_answers += other.no_answers;
        self.turned_away += other.turned_away;
        for (sum, one) in self.ends.iter_mut().zip(other.ends) {
            *sum += one;
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    Paused,
    Stopped,
}

struct Process {
    holder: Holder,
    local: LocalWork,
    state: ProcessState,
    /// It is leaving and receives no new requests.
    leaving: bool,
    /// The latest view that the fleet sent it, possibly stale.
    view: MemberView,
    /// The use whose client waits here, by key.
    clients: BTreeMap<String, u64>,
}

enum Message {
    Propose {
        from: usize,
        id: u64,
        entry: Entry,
    },
    /// A proposal of a leader.
    FromLeader(Entry),
    /// Enrols an incarnation of this member.
    Enrol(usize, Holder),
    Reply {
        to: usize,
        entry: Entry,
        outcome: Option<Outcome>,
        /// The entry was sent more than once.
        resent: bool,
    },
    Run {
        from: usize,
        token: u64,
        offer: Offer,
    },
    RunResult {
        to: usize,
        key: String,
        token: u64,
        result: RunResult,
    },
    Query {
        from: usize,
        token: u64,
        offer: Offer,
    },
    QueryResult {
        to: usize,
        key: String,
        token: u64,
        result: QueryResult,
    },
}

/// State of the resource.
#[derive(Default)]
struct Resource {
    /// The highest token seen for each key.
    tokens: BTreeMap<String, u64>,
    /// Number of effects, by use.
    effects: BTreeMap<u64, u64>,
    /// Tokens under which an effect happened.
    effect_tokens: BTreeSet<u64>,
}

struct Simulation {
    choices: Choices,
    fleet: Fleet,
    work: Work,
    processes: Vec<Process>,
    net: Vec<Message>,
    /// Proposals whose proposer still waits for the outcome.
    awaited_proposals: BTreeSet<u64>,
    proposal_count: u64,
    resource: Resource,
    now_ms: u64,
    /// The current use of each key, and when its window ends.
    uses: BTreeMap<&'static str, (u64, u64)>,
    use_count: u64,
    /// Number of incarnations started so far.
    incarnation_count: u64,
    /// The first outcome that was reported or recorded, by use.
    outcomes: BTreeMap<u64, End>,
    accepted: BTreeSet<u64>,
    /// Tokens of work that ended as `NeverRan`. The same use may be offered again and get other tokens.
    never_ran_tokens: BTreeSet<u64>,
    /// Uses of which some work ended as `NeverRan`.
    never_ran_uses: BTreeSet<u64>,
    /// Keys with the tokens under which they were handed over.
    handed_over_tokens: BTreeSet<(String, u64)>,
    /// Incarnations that the fleet has removed.
    departed: BTreeSet<Holder>,
    /// Number of tries, and of tries whose client was told that nothing ran, by use.
    offer_counts: BTreeMap<u64, (u64, u64)>,
    /// The use of each digest of class and body.
    digests: BTreeMap<u64, u64>,
    violation: Option<String>,
    highest_token: u64,
    settling: bool,
    totals: Tally,
}

fn use_of(body: &[u8]) -> u64 {
    body.try_into().map_or(0, u64::from_le_bytes)
}

/// Runs one schedule. Returns the violated invariant if there is one.
pub fn run_schedule(choices: Choices) -> Result<Tally, String> {
    let mut simulation = Simulation {
        choices,
        fleet: Fleet::default(),
        work: Work::default(),
        processes: Vec::new(),
        net: Vec::new(),
        awaited_proposals: BTreeSet::new(),
        proposal_count: 0,
        resource: Resource::default(),
        now_ms: 1_000,
        uses: BTreeMap::new(),
        use_count: 0,
        incarnation_count: 0,
        outcomes: BTreeMap::new(),
        accepted: BTreeSet::new(),
        never_ran_tokens: BTreeSet::new(),
        never_ran_uses: BTreeSet::new(),
        handed_over_tokens: BTreeSet::new(),
        departed: BTreeSet::new(),
        offer_counts: BTreeMap::new(),
        digests: BTreeMap::new(),
        violation: None,
        highest_token: 0,
        settling: false,
        totals: Tally::default(),
    };
    for member in 0..MEMBERS {
        simulation.start(member)?;
    }
    for step in 0..FAULT_STEPS {
        simulation.step().map_err(|violation| format!("step {step}: {violation}"))?;
    }
    simulation.settle()?;
    Ok(simulation.totals)
}

/// Runs `n` schedules from `seed` on. Returns the first seed that violates an invariant, with the violation.
pub fn run_schedules(seed: u64, n: u64) -> Result<Tally, (u64, String)> {
    let mut sum = Tally::default();
    for seed in seed..seed.saturating_add(n) {
        // Decorrelates neighbouring seeds.
        let choices = Choices::Seed(seed.wrapping_mul(0xd134_2543_de82_ef95));
        sum.add(&run_schedule(choices).map_err(|violation| (seed, violation))?);
    }
    Ok(sum)
}

/// Events of a schedule.
impl Simulation {
    fn step(&mut self) -> Result<(), String> {
        match self.choices.below(100) {
            0..46 => self.deliver()?,
            46..56 => self.client_request(),
            56..70 => self.deliver_view(),
            70..79 => self.run_leader(),
            79..88 => self.inject_fault()?,
            88..89 => self.start_beside()?,
            89..90 => self.leave(),
            90..94 => {
                self.now_ms += [20, 50, 200, 600, 3_000, WINDOW_MS][self.choices.below(6)];
                self.net.push(Message::FromLeader(Entry::Tidy { now_ms: self.now_ms }));
            }
            94..95 => self.snapshot()?,
            95..97 => {
                let (at, key) = (self.any_process(), KEYS[self.choices.below(3)].0);
                self.act(at, |local| local.begin_held(key));
            }
            97..98 => {
                let (at, key) = (self.any_process(), KEYS[self.choices.below(3)].0);
                if self.processes[at].clients.remove(key).is_some() {
                    self.act(at, |local| local.client_left(key));
                }
            }
            _ => self.tick(),
        }
        self.check_invariants()
    }

    fn settle(&mut self) -> Result<(), String> {
        self.settling = true;
        for at in 0..self.processes.len() {
            self.resume(at)?;
        }
        for member in 0..MEMBERS {
            let present = |process: &Process| {
                process.state == ProcessState::Running
                    && self.fleet.is_present(&process.holder)
                    && !process.leaving
            };
            let name = format!("n{member}");
            if !self.processes.iter().any(|process| process.holder.member == name && present(process)) {
                self.start(member)?;
            }
        }
        for round in 0..SETTLE_ROUNDS {
            while !self.net.is_empty() {
                self.deliver()?;
                self.check_invariants()?;
            }
            self.run_leader();
            for at in 0..self.processes.len() {
                self.refresh_view(at);
                let view = self.processes[at].view.clone();
                let now_ms = self.now_ms;
                self.act(at, |local| local.on_view(&view, now_ms));
                self.act(at, |local| local.tick(now_ms));
            }
            if round % 4 == 3 {
                self.now_ms += 2_000;
                self.net.push(Message::FromLeader(Entry::Tidy { now_ms: self.now_ms }));
            }
            let open = self.accepted.iter().any(|one| !self.outcomes.contains_key(one));
            let waits =
                self.processes.iter().any(|p| p.state == ProcessState::Running && !p.clients.is_empty());
            if self.net.is_empty() && !open && !waits {
                return self.snapshot();
            }
            if open && self.net.is_empty() && self.work.items().count() == 0 {
                return Err("accepted work was forgotten without an outcome".into());
            }
        }
        Err("accepted work has no outcome, or a client no answer, after the faults have ended".into())
    }

    fn any_process(&mut self) -> usize {
        self.choices.below(self.processes.len())
    }

    fn start(&mut self, member: usize) -> Result<(), String> {
        let name = format!("n{member}");
        self.incarnation_count += 1;
        let holder = Holder::new(&name, self.incarnation_count);
        self.processes.push(Process {
            local: LocalWork::new(holder.clone()),
            holder: holder.clone(),
            state: ProcessState::Running,
            leaving: false,
            view: MemberView::default(),
            clients: BTreeMap::new(),
        });
        if !self.settling && self.choices.one_in(3) {
            // Its enrolment may be committed after its first offers.
            self.net.push(Message::Enrol(member, holder));
            return Ok(());
        }
        self.enrol(member, holder)
    }

    fn enrol(&mut self, member: usize, holder: Holder) -> Result<(), String> {
        if self.departed.contains(&holder) {
            return Ok(());
        }
        self.apply_to_fleet(&FleetEntry::Enrol { holder: holder.clone() });
        let report = Entry::Capacity { holder, region: format!("r{}", member % 2), capacity: 2 };
        self.apply(&report).map(drop)
    }

    fn apply_to_fleet(&mut self, entry: &FleetEntry) {
        if let FleetEntry::Gone { holder } = entry {
            self.departed.insert(holder.clone());
        }
        self.fleet.apply(entry);
        self.work.members_changed(&self.fleet);
    }

    fn inject_fault(&mut self) -> Result<(), String> {
        let at = self.any_process();
        match (self.processes[at].state, self.choices.below(3)) {
            (ProcessState::Running, 0) => {
                self.processes[at].state = ProcessState::Paused;
                if self.choices.one_in(2) {
                    self.apply_to_fleet(&FleetEntry::Gone { holder: self.processes[at].holder.clone() });
                }
            }
            (ProcessState::Running, 1) => {
                // Partitioned: it runs while the fleet presumes it lost.
                self.apply_to_fleet(&FleetEntry::Gone { holder: self.processes[at].holder.clone() });
                if self.choices.one_in(4) {
                    self.rejoin(at)?;
                }
            }
            (ProcessState::Running, _) => {
                self.processes[at].state = ProcessState::Stopped;
                self.apply_to_fleet(&FleetEntry::Gone { holder: self.processes[at].holder.clone() });
            }
            (ProcessState::Paused, 0) => {
                self.apply_to_fleet(&FleetEntry::Gone { holder: self.processes[at].holder.clone() })
            }
            (ProcessState::Paused, _) => self.resume(at)?,
            (ProcessState::Stopped, _) if self.processes.len() < MAX_PROCESSES => self.start(at % MEMBERS)?,
            (ProcessState::Stopped, _) => {}
        }
        Ok(())
    }

    /// Replaces the process's member by a new incarnation while the in-flight work of the process continues.
    fn rejoin(&mut self, at: usize) -> Result<(), String> {
        self.incarnation_count += 1;
        let holder = Holder::new(&self.processes[at].holder.member, self.incarnation_count);
        let process = &mut self.processes[at];
        process.local.set_holder(holder.clone());
        (process.holder, process.view) = (holder.clone(), MemberView::default());
        self.apply_to_fleet(&FleetEntry::Enrol { holder: holder.clone() });
        let report = Entry::Capacity { holder, region: "r0".into(), capacity: 2 };
        self.apply(&report).map(drop)
    }

    fn resume(&mut self, at: usize) -> Result<(), String> {
        if self.processes[at].state == ProcessState::Stopped {
            return Ok(());
        }
        self.processes[at].state = ProcessState::Running;
        let holder = self.processes[at].holder.clone();
        // The fleet ignores this if a later incarnation is enrolled.
        self.apply_to_fleet(&FleetEntry::Enrol { holder: holder.clone() });
        if self.fleet.is_present(&holder) {
            self.apply(&Entry::Capacity { holder, region: "r0".into(), capacity: 2 })?;
        }
        Ok(())
    }

    fn start_beside(&mut self) -> Result<(), String> {
        let member = self.choices.below(MEMBERS);
        if self.processes.len() < MAX_PROCESSES { self.start(member) } else { Ok(()) }
    }

    fn leave(&mut self) {
        let at = self.any_process();
        let process = &mut self.processes[at];
        if process.state == ProcessState::Running {
            process.leaving = true;
            let hand_over = Entry::HandOver { by: process.holder.clone(), now_ms: self.now_ms };
            self.propose(at, hand_over);
        }
    }

    fn client_request(&mut self) {
        let at = self.any_process();
        let (key, effect) = KEYS[self.choices.below(3)];
        let (now_ms, count) = (self.now_ms, self.use_count + 1);
        let (present, window_ends_ms) = *self.uses.entry(key).or_insert((count, now_ms + WINDOW_MS));
        // A key gets a new use when its window ends, or just before.
        let again = window_ends_ms <= now_ms + 100;
        let other_request = self.choices.one_in(12);
        let (number, window_ends_ms) =
            if again || other_request { (count, now_ms + WINDOW_MS) } else { (present, window_ends_ms) };
        self.use_count += 1;
        if again {
            self.uses.insert(key, (number, window_ends_ms));
        }
        let offer = Offer {
            key: key.into(),
            class: "firma".into(),
            tenant: None,
            body: number.to_le_bytes().to_vec(),
            due_ms: (now_ms + [4_000, 700, 10_000][self.choices.below(3)])
                .min(window_ends_ms.max(now_ms + 1)),
            window_ends_ms,
            worth_milli: 1_000,
            effect,
        };
        self.digests.insert(jaspershunt_keys::digest(&offer.class, &offer.body), number);
        let begin = !self.choices.one_in(3);
        let process = &mut self.processes[at];
        if process.state != ProcessState::Running || process.leaving || process.clients.contains_key(key) {
            return;
        }
        if process.local.offer(offer, begin, now_ms).is_ok() {
            process.clients.insert(key.into(), number);
            self.offer_counts.entry(number).or_default().0 += 1;
        }
        self.act(at, |_| ());
    }

    fn refresh_view(&mut self, at: usize) {
        let bytes = self.work.view_for(&self.processes[at].holder);
        self.processes[at].view = MemberView::from_bytes(&bytes).unwrap_or_default();
    }

    fn deliver_view(&mut self) {
        let at = self.any_process();
        // Otherwise it receives its previous view again.
        if !self.choices.one_in(4) {
            self.refresh_view(at);
        }
        let (view, now_ms) = (self.processes[at].view.clone(), self.now_ms);
        self.act(at, |local| local.on_view(&view, now_ms));
    }

    fn tick(&mut self) {
        let (at, now_ms) = (self.any_process(), self.now_ms);
        self.act(at, |local| local.tick(now_ms));
    }

    fn run_leader(&mut self) {
        let orphans = self.work.orphans(&self.fleet);
        let mut members = self.work.eligible_members(&self.fleet);
        let leaving = |holder: &Holder| {
            self.processes.iter().any(|process| process.holder == *holder && process.leaving)
        };
        members.retain(|member| !leaving(&member.holder));
        let all = |_: &_| Some(BTreeSet::new());
        let plan = plan_takeovers(&orphans, &members, self.now_ms, all, |_, regions| regions);
        for entry in plan.entries() {
            // Two leaders may both propose it.
            if !self.settling && self.choices.one_in(4) {
                self.net.push(Message::FromLeader(entry.clone()));
            }
            self.net.push(Message::FromLeader(entry));
        }
        // A leader may wrongly presume an owner lost.
        if !self.settling && self.choices.one_in(6) {
            let key = KEYS[self.choices.below(3)].0;
            let successor = self.any_process();
            if let Some(item) = self.work.item(key) {
                let (token, successor) = (item.token, self.processes[successor].holder.clone());
                self.net.push(Message::FromLeader(Entry::TakeOver { key: key.into(), token, successor }));
            }
        }
    }

    fn snapshot(&mut self) -> Result<(), String> {
        let saved = self.work.save();
        let mut loaded = Work::default();
        if !loaded.load(&saved) || (loaded != self.work && loaded.last_token() == self.work.last_token()) {
            return Err("the state differs after it was saved and loaded".into());
        }
        self.work = loaded;
        Ok(())
    }
}

/// Actions and messages.
impl Simulation {
    fn act(&mut self, at: usize, act: impl FnOnce(&mut LocalWork)) {
        if self.processes[at].state != ProcessState::Running {
            return;
        }
        act(&mut self.processes[at].local);
        for action in self.processes[at].local.actions() {
            match action {
                Action::Propose(entry) => self.propose(at, entry),
                Action::Run { token, offer, .. } => {
                    // The nodo's own admission rejects the run without a call.
                    if !self.settling && self.choices.one_in(10) {
                        let key = offer.key;
                        self.net.push(Message::RunResult { to: at, key, token, result: RunResult::NeverRan });
                    } else {
                        self.net.push(Message::Run { from: at, token, offer });
                    }
                }
                Action::Query { token, offer } => self.net.push(Message::Query { from: at, token, offer }),
                Action::Answer { key, end } => self.answer(at, &key, end),
                Action::NotRecorded { key, reason } => {
                    // With `OtherBody` the client learns only that the key is in use.
                    let number = self.processes[at].clients.remove(&key);
                    if let Some(number) = number.filter(|_| reason != Refusal::OtherBody) {
                        self.offer_counts.entry(number).or_default().1 += 1;
                    }
                }
                Action::OutcomeUnavailable { key, .. } => {
                    self.totals.no_answers += 1;
                    self.processes[at].clients.remove(&key);
                }
            }
        }
    }

    fn propose(&mut self, from: usize, entry: Entry) {
        self.proposal_count += 1;
        self.awaited_proposals.insert(self.proposal_count);
        self.net.push(Message::Propose { from, id: self.proposal_count, entry });
    }

    fn answer(&mut self, at: usize, key: &str, end: End) {
        if let Some(number) = self.processes[at].clients.remove(key) {
            self.totals.answers += 1;
            // `NeverRan` for this try says nothing of a later one, which may have run before this answer
            // arrives.
            if end == End::NeverRan && self.never_ran_uses.contains(&number) {
                return;
            }
            if let Err(violation) = self.record_outcome(number, end) {
                self.violation = Some(violation);
            }
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        if self.net.is_empty() {
            return Ok(());
        }
        let at = self.choices.below(self.net.len());
        let (process, sent) = match &self.net[at] {
            Message::Propose { from, .. } | Message::Run { from, .. } | Message::Query { from, .. } => {
                (*from, true)
            }
            Message::Reply { to, .. } | Message::RunResult { to, .. } | Message::QueryResult { to, .. } => {
                (*to, false)
            }
            Message::FromLeader(_) | Message::Enrol(..) => (0, false),
        };
        let to_log = matches!(self.net[at], Message::FromLeader(_) | Message::Enrol(..));
        let state = if to_log { ProcessState::Running } else { self.processes[process].state };
        if state == ProcessState::Paused {
            return Ok(());
        }
        let message = self.net.swap_remove(at);
        // Messages that a stopped process sent may still be on their way.
        if state == ProcessState::Stopped && !(sent && self.choices.one_in(2)) {
            return Ok(());
        }
        let (lost, duplicated) =
            if self.settling { (false, false) } else { (self.choices.one_in(8), self.choices.one_in(8)) };
        let now_ms = self.now_ms;
        match message {
            Message::Propose { from, id, entry } => {
                if duplicated {
                    self.net.push(Message::Propose { from, id, entry: entry.clone() });
                }
                let outcome = if lost { None } else { Some(self.apply(&entry)?) };
                // The proposer receives at most one outcome; a copy may be committed long after.
                if self.awaited_proposals.remove(&id) {
                    let received = outcome.filter(|_| self.settling || !self.choices.one_in(8));
                    let resent = duplicated || lost;
                    self.net.push(Message::Reply { to: from, entry, outcome: received, resent });
                }
            }
            Message::FromLeader(entry) => {
                if !lost {
                    self.apply(&entry)?;
                }
            }
            Message::Enrol(member, holder) => self.enrol(member, holder)?,
            Message::Reply { to, entry, outcome, resent } => {
                if resent {
                    self.act(to, |local| local.on_resent(&entry));
                }
                self.act(to, |local| local.on_outcome(&entry, outcome.as_ref(), now_ms));
            }
            Message::Run { from, token, offer } => {
                let key = offer.key.clone();
                let unclear =
                    if self.choices.one_in(2) { RunResult::OutcomeUnknown } else { RunResult::AnswerLost };
                let result = if lost { unclear } else { self.run(token, &offer) };
                self.net.push(Message::RunResult { to: from, key, token, result });
                // The call may arrive after the caller has given it up.
                if lost && self.choices.one_in(2) {
                    self.net.push(Message::Run { from, token, offer });
                }
            }
            Message::RunResult { to, key, token, result } => {
                self.act(to, |local| local.on_run_result(&key, token, result))
            }
            Message::Query { from, token, offer } => {
                let result = if lost { QueryResult::AnswerLost } else { self.query(token, &offer) };
                let key = offer.key;
                self.net.push(Message::QueryResult { to: from, key, token, result });
            }
            Message::QueryResult { to, key, token, result } => {
                self.act(to, |local| local.on_query_result(&key, token, result, now_ms));
            }
        }
        Ok(())
    }

    fn run(&mut self, token: u64, offer: &Offer) -> RunResult {
        let number = use_of(&offer.body);
        let highest = self.resource.tokens.entry(offer.key.clone()).or_default();
        if offer.effect != Effect::Unknown && token < *highest {
            self.totals.turned_away += 1;
            return RunResult::StaleToken;
        }
        if offer.effect == Effect::Fenced {
            *highest = token;
            if self.resource.effects.contains_key(&number) {
                return RunResult::Done(offer.body.clone());
            }
        }
        if !self.settling && self.choices.one_in(6) {
            return RunResult::Failed;
        }
        *self.resource.effects.entry(number).or_default() += 1;
        self.resource.effect_tokens.insert(token);
        self.totals.effects += 1;
        if !self.settling && self.choices.one_in(6) {
            RunResult::AnswerLost
        } else {
            RunResult::Done(offer.body.clone())
        }
    }

    fn query(&mut self, token: u64, offer: &Offer) -> QueryResult {
        if !self.settling && self.choices.one_in(8) {
            return QueryResult::CannotTell;
        }
        let number = use_of(&offer.body);
        if self.resource.effects.contains_key(&number) {
            return QueryResult::Done(offer.body.clone());
        }
        let highest = self.resource.tokens.entry(offer.key.clone()).or_default();
        *highest = token.max(*highest);
        QueryResult::NeverRan
    }
}

/// Invariants.
impl Simulation {
    fn apply(&mut self, entry: &Entry) -> Result<Outcome, String> {
        let known = match entry {
            Entry::TakeOver { key, .. } => self.work.item(key).cloned(),
            _ => None,
        };
        let before = self.work.last_token();
        let bytes = self.work.apply(&self.fleet, &entry.to_bytes());
        let outcome = Outcome::from_bytes(&bytes).ok_or("the outcome does not decode")?;
        let granted = self.work.last_token() != before || matches!(entry, Entry::TakeOver { .. });
        if let (true, Outcome::Yours { token }) = (granted, &outcome) {
            if *token <= self.highest_token {
                return Err(format!("token {token} after {}", self.highest_token));
            }
            self.highest_token = *token;
        }
        match (entry, &outcome) {
            (Entry::Offer { offer, .. }, Outcome::Yours { .. } | Outcome::Waits) => {
                self.totals.accepted += u64::from(self.accepted.insert(use_of(&offer.body)));
            }
            (Entry::TakeOver { key, .. }, Outcome::Yours { .. }) => {
                let item = known.ok_or("taken over, though the key was not known")?;
                let handed_over = self.handed_over_tokens.remove(&(key.clone(), item.token));
                if self.fleet.is_present(&item.owner) && !handed_over {
                    return Err(format!("taken from {:?}, which is there", item.owner));
                }
                self.totals.takeovers += 1;
            }
            (Entry::HandOver { by, .. }, Outcome::Done) => {
                let theirs = self.work.items().filter(|item| item.owner == *by && item.ended.is_none());
                self.handed_over_tokens.extend(theirs.map(|item| (item.offer.key.clone(), item.token)));
            }
            _ => {}
        }
        Ok(outcome)
    }

    fn check_invariants(&mut self) -> Result<(), String> {
        if let Some(violation) = self.violation.take() {
            return Err(violation);
        }
        let ends = self.work.items().filter_map(|item| {
            let tokens: Vec<u64> = item.previous_tokens.iter().copied().chain([item.token]).collect();
            Some((item.digest, item.ended.as_ref()?.end.clone(), tokens))
        });
        for (digest, end, tokens) in ends.collect::<Vec<_>>() {
            let Some(number) = self.digests.get(&digest).copied() else { continue };
            if end == End::NeverRan && !self.never_ran_tokens.contains(&tokens[tokens.len() - 1]) {
                if self.resource.effects.contains_key(&number) {
                    return Err(format!("use {number} ended as NeverRan, and has had an effect"));
                }
                self.never_ran_tokens.extend(tokens);
                self.never_ran_uses.insert(number);
            }
            self.record_outcome(number, end)?;
        }
        if let Some(token) = self.never_ran_tokens.intersection(&self.resource.effect_tokens).next() {
            return Err(format!("work ended as NeverRan, and has had an effect under token {token} of it"));
        }
        for (number, effects) in &self.resource.effects {
            if *effects > 1 {
                return Err(format!("use {number} has had {effects} effects"));
            }
            if self.offer_counts.get(number).is_some_and(|(offered, refused)| offered == refused) {
                return Err(format!(
                    "use {number} has had an effect, and all who asked were told that nothing ran"
                ));
            }
        }
        for (number, end) in &self.outcomes {
            let effects = self.resource.effects.get(number).copied().unwrap_or_default();
            let fits = match end {
                End::Done(result) => use_of(result) == *number && effects == 1,
                End::Failed => effects == 0,
                // `NeverRan` is checked by tokens above.
                End::NeverRan | End::Unknown => true,
            };
            if !fits {
                return Err(format!("use {number} ended as {end:?}, and has had {effects} effects"));
            }
        }
        Ok(())
    }

    /// Checks that each use has one outcome, regardless of who reports it.
    fn record_outcome(&mut self, number: u64, end: End) -> Result<(), String> {
        // Work that ended as `NeverRan` may be offered again and then end otherwise.
        let settled = self.outcomes.get(&number).filter(|first| **first != End::NeverRan);
        let Some(first) = settled else {
            let which = match end {
                End::Done(_) => 0,
                End::Failed => 1,
                End::NeverRan => 2,
                End::Unknown => 3,
            };
            if self.outcomes.insert(number, end.clone()) != Some(end) {
                self.totals.ends[which] += 1;
            }
            return Ok(());
        };
        if *first == end { Ok(()) } else { Err(format!("use {number} ended as {first:?} and as {end:?}")) }
    }
}
