//! Schedules over these decisions: three members with several starts each, that are frozen, die, wake, start beside themselves and
//! leave; proposals that are lost, doubled and late; calls whose answers are lost; and a resource of each kind that counts what it
//! did. After each step nothing may be wrong, and at the end everything that was accepted has one outcome. A schedule is a tape of
//! choices: from a seed, or given, so that one that fails can be shortened.

use crate::{Action, Asked, Effect, End, Entry, Offer, Outcome, Own, Ran, Refusal, Seen, Work, spread};
use jaspershunt_fleet::parts::Part;
use jaspershunt_fleet::{Entry as Enrolled, Fleet, Holder};
use std::collections::{BTreeMap, BTreeSet};

/// Steps of a schedule before everything heals.
const STEPS: usize = 160;
/// Rounds after which everything has to have come to its end.
const HEALING: usize = 400;
const MEMBERS: usize = 3;
const MOST_STARTS: usize = 12;
const WINDOW_MS: u64 = 20_000;
const KEYS: [(&str, Effect); 3] = [("a", Effect::Asks), ("f", Effect::Fenced), ("u", Effect::Unknown)];

/// Where choices come from.
#[derive(Clone, Debug)]
pub enum Tape {
    /// A seed.
    Seed(u64),
    /// These, and zeros after them.
    Given(Vec<u16>, usize),
}

impl Tape {
    /// A choice among `n`.
    fn below(&mut self, n: usize) -> usize {
        let drawn = match self {
            Tape::Seed(state) => {
                // splitmix64
                *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let mut z = *state;
                z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
                z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
                (z ^ (z >> 31)) as usize
            }
            Tape::Given(choices, at) => {
                *at += 1;
                choices.get(*at - 1).map_or(0, |choice| usize::from(*choice))
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
pub struct Tally {
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
    pub no_answers: u64,
    /// Calls that the resource turned away.
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
enum Life {
    Runs,
    Frozen,
    Dead,
}

struct Process {
    holder: Holder,
    own: Own,
    life: Life,
    /// It leaves, and is asked for nothing new.
    leaves: bool,
    /// What the fleet showed it at some time.
    shown: Seen,
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
    Leads(Entry),
    /// A start of this member takes part from here on.
    Enrols(usize, Holder),
    Reply {
        to: usize,
        entry: Entry,
        outcome: Option<Outcome>,
        /// It was said more than once.
        again: bool,
    },
    Run {
        from: usize,
        token: u64,
        offer: Offer,
    },
    Ran {
        to: usize,
        key: String,
        token: u64,
        ran: Ran,
    },
    Ask {
        from: usize,
        token: u64,
        offer: Offer,
    },
    Asked {
        to: usize,
        key: String,
        token: u64,
        asked: Asked,
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
    under: BTreeSet<u64>,
}

struct World {
    tape: Tape,
    fleet: Fleet,
    work: Work,
    processes: Vec<Process>,
    net: Vec<Message>,
    /// Proposals whose proposer still listens.
    asked: BTreeSet<u64>,
    proposals: u64,
    resource: Resource,
    now_ms: u64,
    /// The present use of each key, and when its window ends.
    uses: BTreeMap<&'static str, (u64, u64)>,
    count: u64,
    /// Starts so far.
    starts: u64,
    /// By use: what was told or recorded first.
    outcomes: BTreeMap<u64, End>,
    accepted: BTreeSet<u64>,
    /// Tokens of work that ended as never run. The use may be taken up anew, under other tokens.
    never: BTreeSet<u64>,
    /// Uses of which some work ended so.
    turned: BTreeSet<u64>,
    /// Keys with the tokens under which they were handed over.
    handed: BTreeSet<(String, u64)>,
    /// Starts that the fleet has heard the last of.
    gone: BTreeSet<Holder>,
    /// By use: tries that were offered, and those whose client was told that nothing ran.
    offered: BTreeMap<u64, (u64, u64)>,
    /// Uses by the print of class and body.
    prints: BTreeMap<u64, u64>,
    wrong: Option<String>,
    highest: u64,
    heals: bool,
    tally: Tally,
}

fn use_of(body: &[u8]) -> u64 {
    body.try_into().map_or(0, u64::from_le_bytes)
}

/// Plays one schedule; what is wrong, if anything is.
pub fn play(tape: Tape) -> Result<Tally, String> {
    let mut world = World {
        tape,
        fleet: Fleet::default(),
        work: Work::default(),
        processes: Vec::new(),
        net: Vec::new(),
        asked: BTreeSet::new(),
        proposals: 0,
        resource: Resource::default(),
        now_ms: 1_000,
        uses: BTreeMap::new(),
        count: 0,
        starts: 0,
        outcomes: BTreeMap::new(),
        accepted: BTreeSet::new(),
        never: BTreeSet::new(),
        turned: BTreeSet::new(),
        handed: BTreeSet::new(),
        gone: BTreeSet::new(),
        offered: BTreeMap::new(),
        prints: BTreeMap::new(),
        wrong: None,
        highest: 0,
        heals: false,
        tally: Tally::default(),
    };
    for member in 0..MEMBERS {
        world.start(member)?;
    }
    for step in 0..STEPS {
        world.step().map_err(|wrong| format!("step {step}: {wrong}"))?;
    }
    world.heal()?;
    Ok(world.tally)
}

/// Plays `n` schedules from `seed` on; the seed of the first that goes wrong, and what is wrong.
pub fn soak(seed: u64, n: u64) -> Result<Tally, (u64, String)> {
    let mut sum = Tally::default();
    for seed in seed..seed.saturating_add(n) {
        // Seeds beside each other have to have nothing in common.
        let tape = Tape::Seed(seed.wrapping_mul(0xd134_2543_de82_ef95));
        sum.add(&play(tape).map_err(|wrong| (seed, wrong))?);
    }
    Ok(sum)
}

/// What happens.
impl World {
    fn step(&mut self) -> Result<(), String> {
        match self.tape.below(100) {
            0..46 => self.deliver()?,
            46..56 => self.client(),
            56..70 => self.see(),
            70..79 => self.lead(),
            79..88 => self.trouble()?,
            88..89 => self.second_start()?,
            89..90 => self.leave(),
            90..94 => {
                self.now_ms += [20, 50, 200, 600, 3_000, WINDOW_MS][self.tape.below(6)];
                self.net.push(Message::Leads(Entry::Tidy { now_ms: self.now_ms }));
            }
            94..95 => self.snapshot()?,
            95..97 => {
                let (at, key) = (self.any(), KEYS[self.tape.below(3)].0);
                self.act(at, |own| own.start(key));
            }
            97..98 => {
                let (at, key) = (self.any(), KEYS[self.tape.below(3)].0);
                if self.processes[at].clients.remove(key).is_some() {
                    self.act(at, |own| own.gave_up(key));
                }
            }
            _ => self.tick(),
        }
        self.judge()
    }

    fn heal(&mut self) -> Result<(), String> {
        self.heals = true;
        for at in 0..self.processes.len() {
            self.wake(at)?;
        }
        for member in 0..MEMBERS {
            let present = |process: &Process| {
                process.life == Life::Runs && self.fleet.is_present(&process.holder) && !process.leaves
            };
            let name = format!("n{member}");
            if !self.processes.iter().any(|process| process.holder.member == name && present(process)) {
                self.start(member)?;
            }
        }
        for round in 0..HEALING {
            while !self.net.is_empty() {
                self.deliver()?;
                self.judge()?;
            }
            self.lead();
            for at in 0..self.processes.len() {
                self.show(at);
                let seen = self.processes[at].shown.clone();
                let now_ms = self.now_ms;
                self.act(at, |own| own.seen(&seen, now_ms));
                self.act(at, |own| own.tick(now_ms));
            }
            if round % 4 == 3 {
                self.now_ms += 2_000;
                self.net.push(Message::Leads(Entry::Tidy { now_ms: self.now_ms }));
            }
            let open = self.accepted.iter().any(|one| !self.outcomes.contains_key(one));
            let waits = self.processes.iter().any(|p| p.life == Life::Runs && !p.clients.is_empty());
            if self.net.is_empty() && !open && !waits {
                return self.snapshot();
            }
            if open && self.net.is_empty() && self.work.items().count() == 0 {
                return Err("accepted work was forgotten without an outcome".into());
            }
        }
        Err("accepted work has no outcome, or a client no answer, though all is well".into())
    }

    fn any(&mut self) -> usize {
        self.tape.below(self.processes.len())
    }

    fn start(&mut self, member: usize) -> Result<(), String> {
        let name = format!("n{member}");
        self.starts += 1;
        let holder = Holder::new(&name, self.starts);
        self.processes.push(Process {
            own: Own::new(holder.clone()),
            holder: holder.clone(),
            life: Life::Runs,
            leaves: false,
            shown: Seen::default(),
            clients: BTreeMap::new(),
        });
        if !self.heals && self.tape.one_in(3) {
            // Its word that it takes part is overtaken by what it offers.
            self.net.push(Message::Enrols(member, holder));
            return Ok(());
        }
        self.enrols(member, holder)
    }

    fn enrols(&mut self, member: usize, holder: Holder) -> Result<(), String> {
        if self.gone.contains(&holder) {
            return Ok(());
        }
        self.member(&Enrolled::Enrol { holder: holder.clone() });
        let room = Entry::Room { holder, region: format!("r{}", member % 2), room: 2 };
        self.apply(&room).map(drop)
    }

    fn member(&mut self, entry: &Enrolled) {
        if let Enrolled::Gone { holder } = entry {
            self.gone.insert(holder.clone());
        }
        self.fleet.apply(entry);
        self.work.members_changed(&self.fleet);
    }

    fn trouble(&mut self) -> Result<(), String> {
        let at = self.any();
        match (self.processes[at].life, self.tape.below(3)) {
            (Life::Runs, 0) => {
                self.processes[at].life = Life::Frozen;
                if self.tape.one_in(2) {
                    self.member(&Enrolled::Gone { holder: self.processes[at].holder.clone() });
                }
            }
            (Life::Runs, 1) => {
                // Cut off: it runs, and the fleet has not heard of it for long.
                self.member(&Enrolled::Gone { holder: self.processes[at].holder.clone() });
                if self.tape.one_in(4) {
                    self.begin_again(at)?;
                }
            }
            (Life::Runs, _) => {
                self.processes[at].life = Life::Dead;
                self.member(&Enrolled::Gone { holder: self.processes[at].holder.clone() });
            }
            (Life::Frozen, 0) => self.member(&Enrolled::Gone { holder: self.processes[at].holder.clone() }),
            (Life::Frozen, _) => self.wake(at)?,
            (Life::Dead, _) if self.processes.len() < MOST_STARTS => self.start(at % MEMBERS)?,
            (Life::Dead, _) => {}
        }
        Ok(())
    }

    /// The process's member has failed and begins again, while what the process has in hand goes on.
    fn begin_again(&mut self, at: usize) -> Result<(), String> {
        self.starts += 1;
        let holder = Holder::new(&self.processes[at].holder.member, self.starts);
        let process = &mut self.processes[at];
        process.own.begins_again(holder.clone());
        (process.holder, process.shown) = (holder.clone(), Seen::default());
        self.member(&Enrolled::Enrol { holder: holder.clone() });
        let room = Entry::Room { holder, region: "r0".into(), room: 2 };
        self.apply(&room).map(drop)
    }

    fn wake(&mut self, at: usize) -> Result<(), String> {
        if self.processes[at].life == Life::Dead {
            return Ok(());
        }
        self.processes[at].life = Life::Runs;
        let holder = self.processes[at].holder.clone();
        // If a later start is here, this one counts for nothing.
        self.member(&Enrolled::Enrol { holder: holder.clone() });
        if self.fleet.is_present(&holder) {
            self.apply(&Entry::Room { holder, region: "r0".into(), room: 2 })?;
        }
        Ok(())
    }

    fn second_start(&mut self) -> Result<(), String> {
        let member = self.tape.below(MEMBERS);
        if self.processes.len() < MOST_STARTS { self.start(member) } else { Ok(()) }
    }

    fn leave(&mut self) {
        let at = self.any();
        let process = &mut self.processes[at];
        if process.life == Life::Runs {
            process.leaves = true;
            let hand_over = Entry::HandOver { by: process.holder.clone(), now_ms: self.now_ms };
            self.propose(at, hand_over);
        }
    }

    fn client(&mut self) {
        let at = self.any();
        let (key, effect) = KEYS[self.tape.below(3)];
        let (now_ms, count) = (self.now_ms, self.count + 1);
        let (present, window_ends_ms) = *self.uses.entry(key).or_insert((count, now_ms + WINDOW_MS));
        // A key is used again as its window ends, or just before.
        let again = window_ends_ms <= now_ms + 100;
        let stranger = self.tape.one_in(12);
        let (number, window_ends_ms) =
            if again || stranger { (count, now_ms + WINDOW_MS) } else { (present, window_ends_ms) };
        self.count += 1;
        if again {
            self.uses.insert(key, (number, window_ends_ms));
        }
        let offer = Offer {
            key: key.into(),
            class: "firma".into(),
            tenant: None,
            body: number.to_le_bytes().to_vec(),
            due_ms: (now_ms + [4_000, 700, 10_000][self.tape.below(3)]).min(window_ends_ms.max(now_ms + 1)),
            window_ends_ms,
            worth_milli: 1_000,
            effect,
        };
        self.prints.insert(jaspershunt_keys::print(&offer.class, &offer.body), number);
        let begin = !self.tape.one_in(3);
        let process = &mut self.processes[at];
        if process.life != Life::Runs || process.leaves || process.clients.contains_key(key) {
            return;
        }
        if process.own.offer(offer, begin, now_ms).is_ok() {
            process.clients.insert(key.into(), number);
            self.offered.entry(number).or_default().0 += 1;
        }
        self.act(at, |_| ());
    }

    fn show(&mut self, at: usize) {
        let bytes = self.work.view_for(&self.processes[at].holder);
        self.processes[at].shown = Seen::from_bytes(&bytes).unwrap_or_default();
    }

    fn see(&mut self) {
        let at = self.any();
        // Else it sees what it was shown before.
        if !self.tape.one_in(4) {
            self.show(at);
        }
        let (seen, now_ms) = (self.processes[at].shown.clone(), self.now_ms);
        self.act(at, |own| own.seen(&seen, now_ms));
    }

    fn tick(&mut self) {
        let (at, now_ms) = (self.any(), self.now_ms);
        self.act(at, |own| own.tick(now_ms));
    }

    fn lead(&mut self) {
        let orphans = self.work.orphans(&self.fleet);
        let mut places = self.work.places(&self.fleet);
        let leaving = |holder: &Holder| {
            self.processes.iter().any(|process| process.holder == *holder && process.leaves)
        };
        places.retain(|place| !leaving(&place.holder));
        let all = |_: &_| Some(BTreeSet::new());
        let spread = spread(&orphans, &places, self.now_ms, all, |_, regions| regions);
        for entry in spread.entries() {
            // Two that lead may say it twice.
            if !self.heals && self.tape.one_in(4) {
                self.net.push(Message::Leads(entry.clone()));
            }
            self.net.push(Message::Leads(entry));
        }
        // One that leads and believes that somebody is lost who is not.
        if !self.heals && self.tape.one_in(6) {
            let key = KEYS[self.tape.below(3)].0;
            let heir = self.any();
            if let Some(item) = self.work.item(key) {
                let (token, heir) = (item.token, self.processes[heir].holder.clone());
                self.net.push(Message::Leads(Entry::TakeOver { key: key.into(), token, heir }));
            }
        }
    }

    fn snapshot(&mut self) -> Result<(), String> {
        let saved = self.work.save();
        let mut loaded = Work::default();
        if !loaded.load(&saved) || (loaded != self.work && loaded.tokens() == self.work.tokens()) {
            return Err("a state that was saved and loaded is another".into());
        }
        self.work = loaded;
        Ok(())
    }
}

/// What goes to and fro.
impl World {
    fn act(&mut self, at: usize, act: impl FnOnce(&mut Own)) {
        if self.processes[at].life != Life::Runs {
            return;
        }
        act(&mut self.processes[at].own);
        for action in self.processes[at].own.actions() {
            match action {
                Action::Propose(entry) => self.propose(at, entry),
                Action::Run { token, offer, .. } => {
                    // Its own decisions turn it away: it is not called.
                    if !self.heals && self.tape.one_in(10) {
                        let key = offer.key;
                        self.net.push(Message::Ran { to: at, key, token, ran: Ran::NeverRan });
                    } else {
                        self.net.push(Message::Run { from: at, token, offer });
                    }
                }
                Action::Ask { token, offer } => self.net.push(Message::Ask { from: at, token, offer }),
                Action::Answer { key, end } => self.answer(at, &key, end),
                Action::NotHeld { key, why } => {
                    // A client of another body hears that its key is taken, no more.
                    let number = self.processes[at].clients.remove(&key);
                    if let Some(number) = number.filter(|_| why != Refusal::OtherBody) {
                        self.offered.entry(number).or_default().1 += 1;
                    }
                }
                Action::NoAnswer { key, .. } => {
                    self.tally.no_answers += 1;
                    self.processes[at].clients.remove(&key);
                }
            }
        }
    }

    fn propose(&mut self, from: usize, entry: Entry) {
        self.proposals += 1;
        self.asked.insert(self.proposals);
        self.net.push(Message::Propose { from, id: self.proposals, entry });
    }

    fn answer(&mut self, at: usize, key: &str, end: End) {
        if let Some(number) = self.processes[at].clients.remove(key) {
            self.tally.answers += 1;
            // That its own try never ran is no word on a further one, which may have been at it by the time that this is told.
            if end == End::NeverRan && self.turned.contains(&number) {
                return;
            }
            if let Err(wrong) = self.outcome(number, end) {
                self.wrong = Some(wrong);
            }
        }
    }

    fn deliver(&mut self) -> Result<(), String> {
        if self.net.is_empty() {
            return Ok(());
        }
        let at = self.tape.below(self.net.len());
        let (process, sent) = match &self.net[at] {
            Message::Propose { from, .. } | Message::Run { from, .. } | Message::Ask { from, .. } => {
                (*from, true)
            }
            Message::Reply { to, .. } | Message::Ran { to, .. } | Message::Asked { to, .. } => (*to, false),
            Message::Leads(_) | Message::Enrols(..) => (0, false),
        };
        let leads = matches!(self.net[at], Message::Leads(_) | Message::Enrols(..));
        let life = if leads { Life::Runs } else { self.processes[process].life };
        if life == Life::Frozen {
            return Ok(());
        }
        let message = self.net.swap_remove(at);
        // What a dead one had said may be on its way still.
        if life == Life::Dead && !(sent && self.tape.one_in(2)) {
            return Ok(());
        }
        let (lost, doubled) =
            if self.heals { (false, false) } else { (self.tape.one_in(8), self.tape.one_in(8)) };
        let now_ms = self.now_ms;
        match message {
            Message::Propose { from, id, entry } => {
                if doubled {
                    self.net.push(Message::Propose { from, id, entry: entry.clone() });
                }
                let outcome = if lost { None } else { Some(self.apply(&entry)?) };
                // Its proposer hears of it once, or gives it up; a copy may be agreed long after.
                if self.asked.remove(&id) {
                    let heard = outcome.filter(|_| self.heals || !self.tape.one_in(8));
                    let again = doubled || lost;
                    self.net.push(Message::Reply { to: from, entry, outcome: heard, again });
                }
            }
            Message::Leads(entry) => {
                if !lost {
                    self.apply(&entry)?;
                }
            }
            Message::Enrols(member, holder) => self.enrols(member, holder)?,
            Message::Reply { to, entry, outcome, again } => {
                if again {
                    self.act(to, |own| own.said_again(&entry));
                }
                self.act(to, |own| own.agreed(&entry, outcome.as_ref(), now_ms));
            }
            Message::Run { from, token, offer } => {
                let key = offer.key.clone();
                let unclear = if self.tape.one_in(2) { Ran::Over } else { Ran::Unclear };
                let ran = if lost { unclear } else { self.run(token, &offer) };
                self.net.push(Message::Ran { to: from, key, token, ran });
                // The caller gives up, and the call comes late.
                if lost && self.tape.one_in(2) {
                    self.net.push(Message::Run { from, token, offer });
                }
            }
            Message::Ran { to, key, token, ran } => self.act(to, |own| own.ran(&key, token, ran)),
            Message::Ask { from, token, offer } => {
                let asked = if lost { Asked::Unclear } else { self.ask(token, &offer) };
                let key = offer.key;
                self.net.push(Message::Asked { to: from, key, token, asked });
            }
            Message::Asked { to, key, token, asked } => {
                self.act(to, |own| own.asked(&key, token, asked, now_ms));
            }
        }
        Ok(())
    }

    fn run(&mut self, token: u64, offer: &Offer) -> Ran {
        let number = use_of(&offer.body);
        let seen = self.resource.tokens.entry(offer.key.clone()).or_default();
        if offer.effect != Effect::Unknown && token < *seen {
            self.tally.turned_away += 1;
            return Ran::TurnedAway;
        }
        if offer.effect == Effect::Fenced {
            *seen = token;
            if self.resource.effects.contains_key(&number) {
                return Ran::Done(offer.body.clone());
            }
        }
        if !self.heals && self.tape.one_in(6) {
            return Ran::Failed;
        }
        *self.resource.effects.entry(number).or_default() += 1;
        self.resource.under.insert(token);
        self.tally.effects += 1;
        if !self.heals && self.tape.one_in(6) { Ran::Unclear } else { Ran::Done(offer.body.clone()) }
    }

    fn ask(&mut self, token: u64, offer: &Offer) -> Asked {
        if !self.heals && self.tape.one_in(8) {
            return Asked::CannotTell;
        }
        let number = use_of(&offer.body);
        if self.resource.effects.contains_key(&number) {
            return Asked::Done(offer.body.clone());
        }
        let seen = self.resource.tokens.entry(offer.key.clone()).or_default();
        *seen = token.max(*seen);
        Asked::NeverRan
    }
}

/// What may not be.
impl World {
    fn apply(&mut self, entry: &Entry) -> Result<Outcome, String> {
        let known = match entry {
            Entry::TakeOver { key, .. } => self.work.item(key).cloned(),
            _ => None,
        };
        let before = self.work.tokens();
        let bytes = self.work.apply(&self.fleet, &entry.to_bytes());
        let outcome = Outcome::from_bytes(&bytes).ok_or("an outcome that is none")?;
        let granted = self.work.tokens() != before || matches!(entry, Entry::TakeOver { .. });
        if let (true, Outcome::Yours { token }) = (granted, &outcome) {
            if *token <= self.highest {
                return Err(format!("token {token} after {}", self.highest));
            }
            self.highest = *token;
        }
        match (entry, &outcome) {
            (Entry::Offer { offer, .. }, Outcome::Yours { .. } | Outcome::Waits) => {
                self.tally.accepted += u64::from(self.accepted.insert(use_of(&offer.body)));
            }
            (Entry::TakeOver { key, .. }, Outcome::Yours { .. }) => {
                let item = known.ok_or("taken over, though there was nothing")?;
                let handed = self.handed.remove(&(key.clone(), item.token));
                if self.fleet.is_present(&item.owner) && !handed {
                    return Err(format!("taken from {:?}, which is there", item.owner));
                }
                self.tally.takeovers += 1;
            }
            (Entry::HandOver { by, .. }, Outcome::Done) => {
                let theirs = self.work.items().filter(|item| item.owner == *by && item.ended.is_none());
                self.handed.extend(theirs.map(|item| (item.offer.key.clone(), item.token)));
            }
            _ => {}
        }
        Ok(outcome)
    }

    fn judge(&mut self) -> Result<(), String> {
        if let Some(wrong) = self.wrong.take() {
            return Err(wrong);
        }
        let ends = self.work.items().filter_map(|item| {
            let tokens: Vec<u64> = item.past.iter().copied().chain([item.token]).collect();
            Some((item.print, item.ended.as_ref()?.end.clone(), tokens))
        });
        for (print, end, tokens) in ends.collect::<Vec<_>>() {
            let Some(number) = self.prints.get(&print).copied() else { continue };
            if end == End::NeverRan && !self.never.contains(&tokens[tokens.len() - 1]) {
                if self.resource.effects.contains_key(&number) {
                    return Err(format!("use {number} ended as NeverRan, and has had an effect"));
                }
                self.never.extend(tokens);
                self.turned.insert(number);
            }
            self.outcome(number, end)?;
        }
        if let Some(token) = self.never.intersection(&self.resource.under).next() {
            return Err(format!("work ended as NeverRan, and has had an effect under token {token} of it"));
        }
        for (number, effects) in &self.resource.effects {
            if *effects > 1 {
                return Err(format!("use {number} has had {effects} effects"));
            }
            if self.offered.get(number).is_some_and(|(offered, refused)| offered == refused) {
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
    fn outcome(&mut self, number: u64, end: End) -> Result<(), String> {
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
                self.tally.ends[which] += 1;
            }
            return Ok(());
        };
        if *first == end { Ok(()) } else { Err(format!("use {number} ended as {first:?} and as {end:?}")) }
    }
}
