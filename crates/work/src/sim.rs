//! Schedules over these decisions: three members with several starts each, that are frozen, die, wake, start beside themselves and
//! leave; proposals that are lost, doubled and late; calls whose answers are lost; and a resource of each kind that counts what it
//! did. After each step nothing may be wrong, and at the end everything that was accepted has one outcome. A schedule is a tape of
//! choices: from a seed, or given, so that one that fails can be shortened.

use crate::{
    Action, Effect, End, Entry, LocalWork, MemberView, Offer, Outcome, QueryResult, Refusal, RunResult, Work,
    plan_takeovers,
};
use jaspershunt_fleet::parts::Part;
use jaspershunt_fleet::{Entry as Enrolled, Fleet, Holder};
use std::collections::{BTreeMap, BTreeSet};

/// Steps of a schedule before everything heals.
const FAULT_STEPS: usize = 160;
/// Rounds after which everything has to have come to its end.
const SETTLE_ROUNDS: usize = 400;
const MEMBERS: usize = 3;
const MAX_PROCESSES: usize = 12;
const WINDOW_MS: u64 = 20_000;
const KEYS: [(&str, Effect); 3] = [("a", Effect::Asks), ("f", Effect::Fenced), ("u", Effect::Unknown)];

/// Where choices come from.
#[derive(Clone, Debug)]
pub enum Choices {
    /// A seed.
    Seed(u64),
    /// These, and zeros after them.
    Given(Vec<u16>, usize),
}

impl Choices {
    /// A choice among `n`.
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
        // The last of them, so that zeros at the end of a tape are the quiet way.
        self.below(n) == n - 1
    }
}

/// What was seen, to tell that a search saw anything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Uses of a key that were accepted.
    pub accepted: u64,
    /// Effects at the resource.
    pub effects: u64,
    /// Takeovers that counted.
    pub takeovers: u64,
    /// Ends done, failed, never run, unknown.
    pub ends: [u64; 4],
    /// Answers to clients.
    pub answers: u64,
    /// Clients to whom nothing could be said.
    pub unavailable: u64,
    /// Calls that the resource turned away.
    pub stale_tokens: u64,
}

impl Totals {
    fn add(&mut self, other: &Totals) {
        self.accepted += other.accepted;
        self.effects += other.effects;
        self.takeovers += other.takeovers;
        self.answers += other.answers;
        self.unavailable += other.unavailable;
        self.stale_tokens += other.stale_tokens;
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
    /// It leaves, and is asked for nothing new.
    leaving: bool,
    /// What the fleet showed it at some time.
    view: MemberView,
    /// Uses whose clients wait here, by key.
    clients: BTreeMap<String, u64>,
}

enum Message {
    Propose {
        from: usize,
        id: u64,
        entry: Entry,
    },
    /// From one that leads.
    FromLeader(Entry),
    /// A start of this member takes part from here on.
    Enrol(usize, Holder),
    Reply {
        to: usize,
        entry: Entry,
        outcome: Option<Outcome>,
        /// It was said more than once.
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
        ran: RunResult,
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
        asked: QueryResult,
    },
}

/// The resource's record.
#[derive(Default)]
struct Resource {
    /// The highest token seen of a key.
    tokens: BTreeMap<String, u64>,
    /// By use.
    effects: BTreeMap<u64, u64>,
    /// Tokens under which there was one.
    effect_tokens: BTreeSet<u64>,
}

struct Simulation {
    choices: Choices,
    fleet: Fleet,
    work: Work,
    processes: Vec<Process>,
    net: Vec<Message>,
    /// Proposals whose proposer still listens.
    awaited_proposals: BTreeSet<u64>,
    proposal_count: u64,
    resource: Resource,
    now_ms: u64,
    /// The present use of each key, and when its window ends.
    uses: BTreeMap<&'static str, (u64, u64)>,
    use_count: u64,
    /// Starts so far.
    incarnation_count: u64,
    /// By use: what was told or recorded first.
    outcomes: BTreeMap<u64, End>,
    accepted: BTreeSet<u64>,
    /// Tokens of work that ended as never run. The use may be taken up anew, under other tokens.
    never_ran_tokens: BTreeSet<u64>,
    /// Uses of which some work ended so.
    never_ran_uses: BTreeSet<u64>,
    /// Keys with the tokens under which they were handed over.
    handed_over_tokens: BTreeSet<(String, u64)>,
    /// Starts that the fleet has heard the last of.
    departed: BTreeSet<Holder>,
    /// By use: tries that were offered, and those whose client was told that nothing ran.
    offer_counts: BTreeMap<u64, (u64, u64)>,
    /// Uses by the print of class and body.
    digests: BTreeMap<u64, u64>,
    violation: Option<String>,
    highest_token: u64,
    settling: bool,
    totals: Totals,
}

fn use_of(body: &[u8]) -> u64 {
    body.try_into().map_or(0, u64::from_le_bytes)
}

/// Plays one schedule; what is wrong, if anything is.
pub fn run_schedule(choices: Choices) -> Result<Totals, String> {
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
        totals: Totals::default(),
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

/// Plays `n` schedules from `seed` on; the seed of the first that goes wrong, and what is wrong.
pub fn run_schedules(seed: u64, n: u64) -> Result<Totals, (u64, String)> {
    let mut sum = Totals::default();
    for seed in seed..seed.saturating_add(n) {
        // Seeds beside each other have to have nothing in common.
        let choices = Choices::Seed(seed.wrapping_mul(0xd134_2543_de82_ef95));
        sum.add(&run_schedule(choices).map_err(|violation| (seed, violation))?);
    }
    Ok(sum)
}

/// What happens.
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
        Err("accepted work has no outcome, or a client no answer, though all is well".into())
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
            // Its word that it takes part is overtaken by what it offers.
            self.net.push(Message::Enrol(member, holder));
            return Ok(());
        }
        self.enrol(member, holder)
    }

    fn enrol(&mut self, member: usize, holder: Holder) -> Result<(), String> {
        if self.departed.contains(&holder) {
            return Ok(());
        }
        self.apply_to_fleet(&Enrolled::Enrol { holder: holder.clone() });
        let report = Entry::Capacity { holder, region: format!("r{}", member % 2), capacity: 2 };
        self.apply(&report).map(drop)
    }

    fn apply_to_fleet(&mut self, entry: &Enrolled) {
        if let Enrolled::Gone { holder } = entry {
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
                    self.apply_to_fleet(&Enrolled::Gone { holder: self.processes[at].holder.clone() });
                }
            }
            (ProcessState::Running, 1) => {
                // Cut off: it runs, and the fleet has not heard of it for long.
                self.apply_to_fleet(&Enrolled::Gone { holder: self.processes[at].holder.clone() });
                if self.choices.one_in(4) {
                    self.rejoin(at)?;
                }
            }
            (ProcessState::Running, _) => {
                self.processes[at].state = ProcessState::Stopped;
                self.apply_to_fleet(&Enrolled::Gone { holder: self.processes[at].holder.clone() });
            }
            (ProcessState::Paused, 0) => {
                self.apply_to_fleet(&Enrolled::Gone { holder: self.processes[at].holder.clone() })
            }
            (ProcessState::Paused, _) => self.resume(at)?,
            (ProcessState::Stopped, _) if self.processes.len() < MAX_PROCESSES => self.start(at % MEMBERS)?,
            (ProcessState::Stopped, _) => {}
        }
        Ok(())
    }

    /// The process's member has failed and begins again, while what the process has in hand goes on.
    fn rejoin(&mut self, at: usize) -> Result<(), String> {
        self.incarnation_count += 1;
        let holder = Holder::new(&self.processes[at].holder.member, self.incarnation_count);
        let process = &mut self.processes[at];
        process.local.set_holder(holder.clone());
        (process.holder, process.view) = (holder.clone(), MemberView::default());
        self.apply_to_fleet(&Enrolled::Enrol { holder: holder.clone() });
        let report = Entry::Capacity { holder, region: "r0".into(), capacity: 2 };
        self.apply(&report).map(drop)
    }

    fn resume(&mut self, at: usize) -> Result<(), String> {
        if self.processes[at].state == ProcessState::Stopped {
            return Ok(());
        }
        self.processes[at].state = ProcessState::Running;
        let holder = self.processes[at].holder.clone();
        // If a later start is here, this one counts for nothing.
        self.apply_to_fleet(&Enrolled::Enrol { holder: holder.clone() });
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
        // A key is used again as its window ends, or just before.
        let again = window_ends_ms <= now_ms + 100;
        let stranger = self.choices.one_in(12);
        let (number, window_ends_ms) =
            if again || stranger { (count, now_ms + WINDOW_MS) } else { (present, window_ends_ms) };
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
        self.digests.insert(jaspershunt_keys::print(&offer.class, &offer.body), number);
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
        let bytes = self.work.seen_by(&self.processes[at].holder);
        self.processes[at].view = MemberView::from_bytes(&bytes).unwrap_or_default();
    }

    fn deliver_view(&mut self) {
        let at = self.any_process();
        // Else it sees what it was shown before.
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
            // Two that lead may say it twice.
            if !self.settling && self.choices.one_in(4) {
                self.net.push(Message::FromLeader(entry.clone()));
            }
            self.net.push(Message::FromLeader(entry));
        }
        // One that leads and believes that somebody is lost who is not.
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
            return Err("a state that was saved and loaded is another".into());
        }
        self.work = loaded;
        Ok(())
    }
}

/// What goes to and fro.
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
                    // Its own decisions turn it away: it is not called.
                    if !self.settling && self.choices.one_in(10) {
                        let key = offer.key;
                        self.net.push(Message::RunResult { to: at, key, token, ran: RunResult::NeverRan });
                    } else {
                        self.net.push(Message::Run { from: at, token, offer });
                    }
                }
                Action::Query { token, offer } => self.net.push(Message::Query { from: at, token, offer }),
                Action::Answer { key, end } => self.answer(at, &key, end),
                Action::NotRecorded { key, reason } => {
                    // A client of another body hears that its key is taken, no more.
                    let number = self.processes[at].clients.remove(&key);
                    if let Some(number) = number.filter(|_| reason != Refusal::OtherBody) {
                        self.offer_counts.entry(number).or_default().1 += 1;
                    }
                }
                Action::OutcomeUnavailable { key, .. } => {
                    self.totals.unavailable += 1;
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
            // That its own try never ran is no word on a further one, which may have been at it by the time that this is told.
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
        let leads = matches!(self.net[at], Message::FromLeader(_) | Message::Enrol(..));
        let state = if leads { ProcessState::Running } else { self.processes[process].state };
        if state == ProcessState::Paused {
            return Ok(());
        }
        let message = self.net.swap_remove(at);
        // What a dead one had said may be on its way still.
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
                // Its proposer hears of it once, or gives it up; a copy may be agreed long after.
                if self.awaited_proposals.remove(&id) {
                    let heard = outcome.filter(|_| self.settling || !self.choices.one_in(8));
                    let resent = duplicated || lost;
                    self.net.push(Message::Reply { to: from, entry, outcome: heard, resent });
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
                let ran = if lost { unclear } else { self.run(token, &offer) };
                self.net.push(Message::RunResult { to: from, key, token, ran });
                // The caller gives up, and the call comes late.
                if lost && self.choices.one_in(2) {
                    self.net.push(Message::Run { from, token, offer });
                }
            }
            Message::RunResult { to, key, token, ran } => {
                self.act(to, |local| local.on_run_result(&key, token, ran))
            }
            Message::Query { from, token, offer } => {
                let asked = if lost { QueryResult::AnswerLost } else { self.query(token, &offer) };
                let key = offer.key;
                self.net.push(Message::QueryResult { to: from, key, token, asked });
            }
            Message::QueryResult { to, key, token, asked } => {
                self.act(to, |local| local.on_query_result(&key, token, asked, now_ms));
            }
        }
        Ok(())
    }

    fn run(&mut self, token: u64, offer: &Offer) -> RunResult {
        let number = use_of(&offer.body);
        let view = self.resource.tokens.entry(offer.key.clone()).or_default();
        if offer.effect != Effect::Unknown && token < *view {
            self.totals.stale_tokens += 1;
            return RunResult::StaleToken;
        }
        if offer.effect == Effect::Fenced {
            *view = token;
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
        let view = self.resource.tokens.entry(offer.key.clone()).or_default();
        *view = token.max(*view);
        QueryResult::NeverRan
    }
}

/// What may not be.
impl Simulation {
    fn apply(&mut self, entry: &Entry) -> Result<Outcome, String> {
        let known = match entry {
            Entry::TakeOver { key, .. } => self.work.item(key).cloned(),
            _ => None,
        };
        let before = self.work.last_token();
        let bytes = self.work.apply(&self.fleet, &entry.to_bytes());
        let outcome = Outcome::from_bytes(&bytes).ok_or("an outcome that is none")?;
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
                let item = known.ok_or("taken over, though there was nothing")?;
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
                // What never ran is judged by its tokens.
                End::NeverRan | End::Unknown => true,
            };
            if !fits {
                return Err(format!("use {number} ended as {end:?}, and has had {effects} effects"));
            }
        }
        Ok(())
    }

    /// One outcome a use, whoever tells it.
    fn record_outcome(&mut self, number: u64, end: End) -> Result<(), String> {
        // What was turned away may be taken up anew, and then has an outcome.
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
