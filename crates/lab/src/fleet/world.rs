//! A fleet in virtual time, on one thread: the members are the program's own, the network, the disks, the clocks and what tasks act on
//! are simulated. Invariants are held after every step.

use super::schedule::{At, FOUNDED, Fault, Sketch};
use jaspershunt_fleet::client;
use jaspershunt_fleet::holder::Grade;
use jaspershunt_fleet::schedule::{Missed, Schedule};
use jaspershunt_fleet::state::lease_of_task;
use jaspershunt_fleet::tasks::{CallOutcome, TaskSpec};
use jaspershunt_fleet::{Entry, Holder, LeaseTiming};
use jaspershunt_member::frame::{self, Envelope};
use jaspershunt_member::member::{Disk as MemberDisk, no_part_proposals, no_parts, tick};
use jaspershunt_member::store::{Store, StoreError};
use jaspershunt_member::voter::{Voter, VoterState};
use jaspershunt_member::{Input, Member, Output, Recipient, Setup};
use jaspershunt_stand_ins::disk::{Disk, Image};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The clock on the wall at the start, in Unix seconds.
const UNIX: i64 = 1_764_600_000;
/// The fleet's name.
const FLEET: &str = "sim";
/// The quickest and the slowest way of a message.
const QUICK: Duration = Duration::from_micros(200);
const USUAL: Duration = Duration::from_millis(3);
/// One that is told to leave has so long.
const LEAVE_WITHIN: Duration = Duration::from_millis(500);
/// Acts of a task one after another whose calls fail.
const MOST_FAILURES: u32 = 8;
/// Steps of one world at most; more means that it never rests.
const MOST_STEPS: u64 = 3_000_000;

/// Something that must never be.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// What.
    pub what: String,
    /// When.
    pub at: Duration,
}

/// What a world came to.
#[derive(Clone, Debug, Default)]
pub struct Came {
    /// What must never be, and was.
    pub violation: Option<Violation>,
    /// Acts that had an effect.
    pub acts: u64,
    /// Acts that were turned away by their token.
    pub turned_away: u64,
    /// Leases granted.
    pub tokens: u64,
    /// Changes of the one that leads.
    pub leaders: u64,
    /// Times from the loss of a holder to the next act of its task, in leases' time.
    pub gaps: Vec<f64>,
    /// Messages and bytes that the busiest voter said and heard.
    pub busiest: (u64, u64),
    /// The time that was played.
    pub played: Duration,
    /// What happened, if it was to be told.
    pub story: Vec<String>,
}

enum Event {
    Wake {
        process: usize,
    },
    Deliver {
        to: usize,
        bytes: Rc<[u8]>,
    },
    /// The process sends what it was about to.
    Send {
        process: usize,
        call: Call,
        looked: Duration,
    },
    /// It reaches what is acted on.
    Land {
        process: usize,
        call: Call,
    },
    /// The act is over.
    Over {
        act: usize,
    },
    /// The answer to it comes back.
    Reply {
        process: usize,
        call: Call,
        turned_away: bool,
    },
    Thaw {
        process: usize,
    },
    Start {
        member: usize,
    },
    Heal {
        cut: u64,
    },
    Room {
        member: usize,
    },
    End {
        process: usize,
    },
}

#[derive(Clone, Debug)]
struct Call {
    task: usize,
    number: u64,
    token: u64,
    key: u64,
    send_by: Duration,
    until: Duration,
}

struct Process {
    place: usize,
    member: Member,
    alive: bool,
    frozen: bool,
    /// What comes while it is frozen.
    waits: Vec<Event>,
    /// Its clock: what it showed at its start, when that was, and its rate.
    start: Duration,
    rate: f64,
    has_disk: bool,
    written: Vec<Written>,
}

/// A member's place: what outlives its processes.
struct Seat {
    name: String,
    disk: Disk,
    /// The disk as it was when the last process started.
    earlier: Image,
    incarnation: u64,
    rate: f64,
    wall: i64,
    down_until: Duration,
}

struct Cut {
    number: u64,
    from: usize,
    to: usize,
    held: bool,
    waiting: Vec<(usize, Rc<[u8]>)>,
}

/// What a process has applied last of a run: its key, who works on it, and its cursor.
type Written = Option<(u64, u64, Vec<u8>)>;

struct Act {
    task: usize,
    token: u64,
    holder: usize,
    over: bool,
}

/// The world.
pub struct World {
    sketch: Sketch,
    rng: StdRng,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    count: u64,
    seats: Vec<Seat>,
    processes: Vec<Process>,
    cuts: Vec<Cut>,
    slow: Vec<(usize, usize, Duration, Duration)>,
    acts: Vec<Act>,
    /// The highest token that each checking resource has seen.
    seen: Vec<u64>,
    /// What every voter has applied at each place.
    agreed: BTreeMap<u64, (u64, u64)>,
    /// Who was given each token, for which lease.
    tokens: BTreeMap<u64, (String, Holder)>,
    last_leader: Option<usize>,
    /// Acts of each task since the last call that did not fail.
    failed: Vec<u32>,
    /// When each task was acted on last, and by which token.
    last_act: Vec<Option<(Duration, u64)>>,
    load: BTreeMap<usize, (u64, u64)>,
    came: Came,
    tells: bool,
    /// Until then no further fault strikes: a disk was put back, and the others have to be there to say so.
    quiet_until: Duration,
    /// Until then no entries pass among voters.
    thin_until: Duration,
}

struct SimDisk {
    disk: Disk,
    /// A process that is alive has it open.
    in_use: Rc<Cell<bool>>,
}

impl MemberDisk for SimDisk {
    fn open(&mut self) -> Result<Box<dyn redb::StorageBackend>, StoreError> {
        if self.in_use.get() {
            return Err(StoreError::InUse);
        }
        Ok(self.disk.open())
    }

    fn set_aside(&mut self) -> Result<(), StoreError> {
        self.disk.restore(Image::default());
        Ok(())
    }
}

fn name(place: usize) -> String {
    format!("n{place}")
}

/// Every other resource checks tokens; the others cannot.
fn checks(task: usize) -> bool {
    task % 2 == 1
}

/// The cursor of a call under this token.
fn cursor_of(token: u64) -> Vec<u8> {
    format!("token {token}").into_bytes()
}

fn task_name(task: usize) -> String {
    format!("t{task}")
}

impl World {
    /// A world as sketched. With `tells` it writes down what happens.
    pub fn new(sketch: Sketch, tells: bool) -> World {
        let mut rng = StdRng::seed_from_u64(sketch.seed ^ 0x5eed);
        let drift = f64::from(sketch.drift) / 1000.0;
        let mut rate = |place: usize| match sketch.edge {
            // Leases last longest for their holders, and shortest for the one that leads.
            true => 1.0 + drift * if place < sketch.voters { 0.99 } else { -0.99 },
            // As far off as they may be, most of them.
            false => 1.0 + drift * [-0.99, 0.0, 0.99][rng.random_range(0..3)],
        };
        let seats = (0..sketch.members).map(|place| Seat {
            name: name(place),
            disk: Disk::default(),
            earlier: Image::default(),
            incarnation: 0,
            rate: rate(place),
            wall: 0,
            down_until: Duration::ZERO,
        });
        let seats: Vec<Seat> = seats.collect();
        let tasks = sketch.tasks;
        let mut world = World {
            sketch,
            rng,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            count: 0,
            seats,
            processes: Vec::new(),
            cuts: Vec::new(),
            slow: Vec::new(),
            acts: Vec::new(),
            seen: vec![0; tasks],
            agreed: BTreeMap::new(),
            tokens: BTreeMap::new(),
            last_leader: None,
            failed: vec![0; tasks],
            last_act: vec![None; tasks],
            load: BTreeMap::new(),
            came: Came::default(),
            tells,
            quiet_until: Duration::ZERO,
            thin_until: Duration::ZERO,
        };
        world.found();
        for member in 0..world.seats.len() {
            world.start(member);
        }
        world
    }

    /// The first voter's disk begins the fleet.
    fn found(&mut self) {
        let disk = &self.seats[0].disk;
        let opened = Store::open(disk.open(), FLEET, &self.seats[0].name, [77, 1]);
        let (mut store, found) = opened.expect("an empty disk can be opened");
        let state = VoterState::founded(found.identity.disk, &self.seats[0].name).save();
        store.bootstrap(found.identity.disk, state).expect("a disk that works is written");
    }

    fn spec(&self, task: usize) -> TaskSpec {
        let Sketch { act, way, .. } = self.sketch;
        TaskSpec {
            name: task_name(task),
            when: Schedule::Every(Duration::from_secs(1)),
            missed: Missed::Once,
            grade: if checks(task) { Grade::Checked } else { Grade::Timed { max_act: act, max_delay: way } },
            timeout: act,
            tries: 1000,
            backoff: Duration::from_millis(if self.sketch.hard { 1 } else { 20 }),
            max_lateness: Duration::from_secs(1),
        }
    }

    fn terms(&self) -> LeaseTiming {
        LeaseTiming { ttl: self.sketch.ttl, drift_permille: self.sketch.drift }
    }

    fn tell(&mut self, what: impl FnOnce() -> String) {
        if self.tells && self.came.story.len() < 20_000 {
            let line = format!("{:>9.3} ms  {}", self.now.as_secs_f64() * 1000.0, what());
            self.came.story.push(line);
        }
    }

    fn violated(&mut self, what: String) {
        if self.came.violation.is_none() {
            self.tell(|| format!("VIOLATION: {what}"));
            self.came.violation = Some(Violation { what, at: self.now });
        }
    }

    fn later(&mut self, after: Duration, event: Event) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), event);
    }

    fn clock(&self, process: usize) -> Duration {
        let Process { start, rate, .. } = &self.processes[process];
        Duration::from_secs(1000) + (self.now - *start).mul_f64(*rate)
    }

    /// The true time until its clock shows this.
    fn until(&self, process: usize, at: Duration) -> Duration {
        at.saturating_sub(self.clock(process)).div_f64(self.processes[process].rate)
    }

    fn wall(&self, place: usize) -> i64 {
        UNIX + self.now.as_secs() as i64 + self.seats[place].wall
    }

    fn alive(&self, place: usize) -> impl Iterator<Item = usize> {
        let all = self.processes.iter().enumerate();
        all.filter(move |(_, process)| process.alive && process.place == place).map(|(n, _)| n)
    }

    // Processes.

    fn start(&mut self, place: usize) {
        let votes = place < self.sketch.voters;
        // The first one that lives has the disk; a second start beside it finds it in use.
        let in_use = Rc::new(Cell::new(self.alive(place).any(|process| self.processes[process].has_disk)));
        let has_disk = votes && !in_use.get();
        let seat = &mut self.seats[place];
        seat.incarnation += 1;
        let me = Holder::new(&seat.name, seat.incarnation);
        if has_disk {
            seat.earlier = seat.disk.image();
        }
        let disk: Option<Box<dyn MemberDisk>> =
            votes.then(|| Box::new(SimDisk { disk: seat.disk.clone(), in_use }) as Box<dyn MemberDisk>);
        let rate = seat.rate;
        let setup = Setup {
            fleet: FLEET.to_string(),
            me: me.clone(),
            voters: (0..self.sketch.voters).map(name).collect(),
            timing: self.terms(),
            tasks: (0..self.sketch.tasks).map(|task| self.spec(task)).collect(),
            parts: no_parts,
            part_proposals: no_part_proposals,
        };
        let mut draws = StdRng::seed_from_u64(self.rng.random());
        let random = Box::new(move || draws.random());
        let member = Member::new(setup, disk, random, Duration::from_secs(1000));
        let start = self.now;
        self.processes.push(Process {
            place,
            member,
            alive: true,
            frozen: false,
            waits: Vec::new(),
            start,
            rate,
            has_disk,
            written: vec![None; self.sketch.tasks],
        });
        self.tell(|| format!("{} starts, incarnation {}", me.member, me.incarnation));
        let process = self.processes.len() - 1;
        self.later(Duration::ZERO, Event::Wake { process });
    }

    fn kill(&mut self, process: usize) {
        let Process { alive, waits, place, has_disk, .. } = &mut self.processes[process];
        if !std::mem::replace(alive, false) {
            return;
        }
        waits.clear();
        let place = *place;
        if *has_disk {
            self.seats[place].disk.kill();
        }
        self.tell(|| format!("{} is killed", name(place)));
    }

    fn kill_all(&mut self, place: usize, down: Duration) {
        let all: Vec<usize> = self.alive(place).collect();
        all.into_iter().for_each(|process| self.kill(process));
        let until = self.now + down;
        self.seats[place].down_until = self.seats[place].down_until.max(until);
        self.later(down, Event::Start { member: place });
    }

    fn freeze(&mut self, process: usize, length: Duration) {
        if self.processes[process].frozen || !self.processes[process].alive {
            return;
        }
        self.processes[process].frozen = true;
        let place = self.processes[process].place;
        self.tell(|| format!("{} is frozen for {length:?}", name(place)));
        self.later(length, Event::Thaw { process });
    }

    // Messages.

    /// The process that something reaches, if any does.
    fn reached(&self, to: &Recipient) -> Option<usize> {
        match to {
            // Its listener is the first one's that lives.
            Recipient::Voter(name) => {
                let place = self.seats.iter().position(|seat| seat.name == *name)?;
                self.alive(place).next()
            }
            Recipient::Holder(holder) => {
                self.processes.iter().position(|process| process.alive && process.member.me() == holder)
            }
        }
    }

    fn send(&mut self, from: usize, to: &Recipient, message: frame::Message) {
        let Some(to) = self.reached(to) else { return };
        let from_member = self.processes[from].member.me().clone();
        let envelope = Envelope { fleet: FLEET.to_string(), from: from_member, message };
        let bytes: Rc<[u8]> = frame::encode(&envelope).into();
        let (one, other) = (self.processes[from].place, self.processes[to].place);
        for place in [one, other] {
            let load = self.load.entry(place).or_default();
            *load = (load.0 + 1, load.1 + bytes.len() as u64);
        }
        let has_entries = matches!(&envelope.message, frame::Message::Raft(message) if message.has_entries());
        if has_entries && self.now < self.thin_until {
            return;
        }
        if let Some(cut) = self.cuts.iter_mut().find(|cut| (cut.from, cut.to) == (one, other)) {
            if cut.held && cut.waiting.len() < 2000 {
                cut.waiting.push((to, bytes));
            }
            return;
        }
        if self.sketch.lost > 0.0 && self.rng.random_bool(self.sketch.lost) {
            return;
        }
        let now = self.now;
        let slow = self.slow.iter().find(|slow| (slow.0, slow.1) == (one, other) && slow.2 > now);
        let by = slow.map_or(Duration::ZERO, |slow| slow.3);
        let way = self.rng.random_range(QUICK..USUAL) + by;
        if self.sketch.lost > 0.0 && self.rng.random_bool(self.sketch.lost) {
            let again = self.rng.random_range(QUICK..self.sketch.ttl);
            self.later(again, Event::Deliver { to, bytes: bytes.clone() });
        }
        self.later(way, Event::Deliver { to, bytes });
    }

    fn carry_out(&mut self, process: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(process, &to, message),
                Output::Call(wanted) => {
                    let client::Call { task, number, token, key, send_by, until, .. } = wanted;
                    let task = task[1..].parse().unwrap_or(0);
                    let call = Call { task, number, token, key, send_by, until };
                    // The program is not at once where it sends, and may be paused on the way.
                    let after = self.rng.random_range(Duration::ZERO..Duration::from_millis(2));
                    let looked = self.now;
                    self.later(after, Event::Send { process, call, looked });
                }
                Output::Log(what, _) => {
                    let place = self.processes[process].place;
                    let incarnation = self.processes[process].member.me().incarnation;
                    self.tell(|| format!("{}/{incarnation}: {what}", name(place)));
                }
                Output::Left => self.later(Duration::ZERO, Event::End { process }),
                Output::Settled { .. } | Output::StateReport { .. } | Output::Part { .. } => {}
            }
        }
        self.look_at(process);
    }

    fn step(&mut self, process: usize, input: Input) {
        let (clock, place) = (self.clock(process), self.processes[process].place);
        let unix = self.wall(place);
        let outputs =
            self.processes[process].member.step(clock, Duration::from_secs(unix.unsigned_abs()), input);
        self.carry_out(process, outputs);
    }

    // What must never be.

    /// Holds what a process believes and has applied against all others.
    fn look_at(&mut self, process: usize) {
        if let Some(voter) = self.processes[process].member.voter_mut() {
            voter.keep_trace();
            for (index, term, print) in voter.take_trace() {
                let known = *self.agreed.entry(index).or_insert((term, print));
                if known != (term, print) {
                    let name = name(self.processes[process].place);
                    self.violated(format!("{name} applies another entry at {index} than was applied there"));
                }
            }
        }
        if let Some(voter) = self.processes[process].member.voter() {
            let leases = voter.fleet().leases();
            let granted: Vec<(u64, (String, Holder))> =
                leases.map(|(lease, held)| (held.token, (lease.to_string(), held.holder.clone()))).collect();
            let leads = voter.is_leader();
            for (token, whose) in granted {
                match self.tokens.get(&token) {
                    Some(known) if *known != whose => {
                        self.violated(format!("token {token} is {whose:?}'s and was {known:?}'s"));
                    }
                    Some(_) => {}
                    None => {
                        self.came.tokens += 1;
                        self.tell(|| {
                            format!("{} is granted to {} under token {token}", whose.0, whose.1.member)
                        });
                        self.tokens.insert(token, whose);
                    }
                }
            }
            if leads && self.last_leader != Some(process) {
                self.last_leader = Some(process);
                self.came.leaders += 1;
                let place = self.processes[process].place;
                self.tell(|| format!("{} leads", name(place)));
            }
        }
        self.look_at_cursors(process);
        let clock = self.clock(process);
        let held: Vec<(String, u64)> = {
            let leases = self.processes[process].member.client().leases();
            leases.all_held(clock).map(|(lease, held)| (lease.to_string(), held.token)).collect()
        };
        for (lease, token) in held {
            for other in 0..self.processes.len() {
                if other == process || !self.processes[other].alive {
                    continue;
                }
                let clock = self.clock(other);
                let theirs = self.processes[other].member.client().leases().held(clock, &lease);
                if let Some(theirs) = theirs {
                    let (one, two) = (self.processes[process].place, self.processes[other].place);
                    let what = format!(
                        "{} and {} hold {lease} at once, under {token} and {}",
                        name(one),
                        name(two),
                        theirs.token
                    );
                    self.violated(what);
                }
            }
        }
    }

    /// A cursor names the token under which it came: it counts only while that one works on the run.
    fn look_at_cursors(&mut self, process: usize) {
        let Process { place, member, written, .. } = &mut self.processes[process];
        let Some(voter) = member.voter() else { return };
        let mut wrong = None;
        for (task, written) in written.iter_mut().enumerate() {
            let run = voter.fleet().task(&task_name(task)).and_then(|task| task.run.as_ref());
            let now = run.map(|run| (run.key, run.token, run.cursor.clone()));
            if let (Some((key, token, cursor)), Some((key_now, token_now, cursor_now))) = (&*written, &now)
                && (key, token) == (key_now, token_now)
                && cursor != cursor_now
                && *cursor_now != cursor_of(*token)
            {
                wrong = Some(format!(
                    "{} lets a cursor of {} count while {token} works on {}",
                    name(*place),
                    String::from_utf8_lossy(cursor_now),
                    task_name(task)
                ));
            }
            *written = now;
        }
        wrong.into_iter().for_each(|wrong| self.violated(wrong));
    }

    // What is acted on.

    fn land(&mut self, process: usize, call: Call) {
        let task = call.task;
        let checks = checks(task);
        if checks && call.token < self.seen[task] {
            self.came.turned_away += 1;
            let back = self.rng.random_range(QUICK..USUAL);
            self.later(back, Event::Reply { process, call, turned_away: true });
            return;
        }
        self.seen[task] = self.seen[task].max(call.token);
        if !checks {
            let at_once =
                self.acts.iter().find(|act| act.task == task && !act.over && act.token != call.token);
            if let Some(other) = at_once {
                let what = format!(
                    "{} acts on {} under {} while {} does under {}",
                    name(self.processes[process].place),
                    task_name(task),
                    call.token,
                    name(other.holder),
                    other.token
                );
                self.violated(what);
            }
        }
        self.came.acts += 1;
        self.failed[task] += 1;
        if let Some((last, token)) = self.last_act[task]
            && token != call.token
        {
            self.came.gaps.push((self.now - last).as_secs_f64() / self.sketch.ttl.as_secs_f64());
        }
        self.last_act[task] = Some((self.now, call.token));
        let place = self.processes[process].place;
        self.tell(|| {
            format!("{} acts on {} under {}, key {}", name(place), task_name(task), call.token, call.key)
        });
        let length = self.time_of(&call, self.sketch.act);
        let act = self.acts.len();
        self.acts.push(Act { task, token: call.token, holder: place, over: false });
        self.later(length, Event::Over { act });
        if self.rng.random_bool(0.95) {
            let back = length + self.rng.random_range(QUICK..USUAL);
            self.later(back, Event::Reply { process, call, turned_away: false });
        }
    }

    /// Whether this schedule is one in which calls fail so often that one which hears nothing more of the fleet goes on with its acts to
    /// the end of its lease.
    fn is_stubborn(&self) -> bool {
        self.sketch.hard && !self.sketch.seed.is_multiple_of(2)
    }

    /// The time of a call's way, or of its act, up to this one.
    fn time_of(&mut self, call: &Call, most: Duration) -> Duration {
        if !self.sketch.hard {
            return self.rng.random_range(Duration::ZERO..most);
        }
        // Nearly all of it, or so little that all of the call is within its time-out. The first of another holder comes soon, and tries
        // do not fail for ever, as they wait twice as long each time.
        let first = self.last_act[call.task].is_none_or(|(_, token)| token != call.token);
        let long = if first || self.failed[call.task] >= MOST_FAILURES {
            0.0
        } else if self.is_stubborn() {
            0.9
        } else {
            0.3
        };
        let part = if self.rng.random_bool(long) { 0.9..1.0 } else { 0.0..0.1 };
        most.mul_f64(self.rng.random_range(part))
    }

    /// What an act comes to: where that is hard mostly a cursor, which has to be agreed, or a failure.
    fn came_of(&mut self, call: &Call) -> CallOutcome {
        if !self.sketch.hard {
            return CallOutcome::Done(b"ok".to_vec());
        }
        let fails = if self.is_stubborn() { 0.8 } else { 0.2 };
        if self.rng.random_bool(fails) && self.failed[call.task] < MOST_FAILURES {
            return CallOutcome::Failed("it fails".into());
        }
        self.failed[call.task] = 0;
        if self.rng.random_bool(0.2) {
            CallOutcome::Done(b"ok".to_vec())
        } else {
            CallOutcome::Partial(cursor_of(call.token))
        }
    }

    // Faults.

    fn strike(&mut self, fault: Fault) {
        if self.now < self.quiet_until {
            return;
        }
        match fault {
            Fault::Kill { member, down } => self.kill_all(member, down),
            Fault::Crash { member, down } => {
                let seed = self.rng.random();
                self.kill_all(member, down);
                self.seats[member].disk.crash(seed);
            }
            Fault::KillAll { down } => {
                for member in 0..self.sketch.members {
                    self.kill_all(member, down);
                }
            }
            Fault::Freeze { member, length } => {
                if let Some(process) = self.alive(member).last() {
                    self.freeze(process, length);
                }
            }
            Fault::Cut { from, to, length, held } => self.cut(from, to, length, held),
            Fault::Alone { member, length, held } => {
                for other in (0..self.sketch.members).filter(|other| *other != member) {
                    self.cut(member, other, length, held);
                    self.cut(other, member, length, held);
                }
            }
            Fault::Slow { from, to, length, by } => {
                let until = self.now + length;
                self.slow.push((from, to, until, by));
            }
            Fault::Full { member, length } => {
                self.seats[member].disk.set_capacity(Some(0));
                self.later(length, Event::Room { member });
            }
            Fault::NoSync { member } => self.seats[member].disk.fail_syncs_after(Some(0)),
            Fault::Empty { member, down } => {
                self.kill_all(member, down);
                self.seats[member].disk.restore(Image::default());
                self.seats[member].disk.set_capacity(None);
            }
            Fault::Older { member, down } => self.put_back(member, down),
            Fault::Twin { member, after, frozen } => {
                if self.now < self.seats[member].down_until {
                    return;
                }
                let Some(first) = self.alive(member).next() else { return };
                if self.alive(member).count() > 1 {
                    return;
                }
                self.start(member);
                if frozen {
                    self.freeze(first, after);
                    self.later(after * 2, Event::End { process: first });
                } else {
                    self.later(after, Event::End { process: first });
                }
            }
            Fault::Revoke { task } => {
                let lease = lease_of_task(&task_name(task));
                let entry = Entry::Revoke { lease };
                if let Some(process) = (0..self.sketch.members).find_map(|place| self.alive(place).next())
                    && !self.processes[process].frozen
                {
                    self.step(process, Input::Propose { ticket: 0, entry });
                }
            }
            Fault::Jump { member, by } => self.seats[member].wall += by,
            Fault::Silence { task, there, back, length, held } => {
                let Some(leader) = self.leader().map(|leader| self.processes[leader].place) else { return };
                // The lease of one that does not lead, and best of one that does not vote, whose clock may be the slow one.
                let holders = (0..self.sketch.tasks).map(|n| (task + n) % self.sketch.tasks);
                let holders = holders.filter_map(|task| self.holder(task));
                let holders = holders.map(|holder| self.processes[holder].place);
                let holder =
                    holders.filter(|holder| *holder != leader).max_by_key(|n| *n >= self.sketch.voters);
                let Some(holder) = holder else {
                    // It passes on, and the next time there is one.
                    return self.strike(Fault::Revoke { task });
                };
                if there {
                    self.cut(holder, leader, length, held);
                }
                if back {
                    self.cut(leader, holder, length, held);
                }
            }
            Fault::Parted { length, frozen } => {
                let Some(process) = self.leader() else { return };
                let leader = self.processes[process].place;
                for other in (0..self.sketch.voters).filter(|other| *other != leader) {
                    for near in (self.sketch.voters..self.sketch.members).chain([leader]) {
                        self.cut(near, other, length, false);
                        self.cut(other, near, length, false);
                    }
                }
                if !frozen.is_zero() {
                    self.freeze(process, frozen);
                }
            }
            Fault::Thin { length } => self.thin_until = self.now + length,
            Fault::Leave { task, late } => {
                let Some((holder, leader)) = self.holder(task).zip(self.leader()) else { return };
                if self.processes[holder].frozen {
                    return;
                }
                let (from, to) = (self.processes[holder].place, self.processes[leader].place);
                if from != to {
                    self.cut(from, to, late, true);
                }
                self.tell(|| format!("{} is told to leave", name(from)));
                self.step(holder, Input::Leave);
                self.later(LEAVE_WITHIN, Event::End { process: holder });
            }
        }
    }

    /// The process that leads, if one does.
    fn leader(&self) -> Option<usize> {
        self.last_leader.filter(|process| {
            let Process { alive, member, .. } = &self.processes[*process];
            *alive && member.voter().is_some_and(Voter::is_leader)
        })
    }

    /// The process that holds a task's lease by its own clock.
    fn holder(&self, task: usize) -> Option<usize> {
        let lease = lease_of_task(&task_name(task));
        (0..self.processes.len()).find(|process| {
            let Process { alive, member, .. } = &self.processes[*process];
            *alive && member.client().leases().held(self.clock(*process), &lease).is_some()
        })
    }

    /// A voter comes back with its disk as it was at its start before. That is known as long as the others are up: see `lives`.
    fn put_back(&mut self, member: usize, down: Duration) {
        for place in 0..self.sketch.voters {
            let up = self.alive(place).any(|process| !self.processes[process].frozen);
            if place != member && (!up || self.now < self.seats[place].down_until) {
                return;
            }
        }
        self.heal_all();
        self.sketch.lost = 0.0;
        self.quiet_until = self.now + down + self.sketch.ttl;
        let earlier = std::mem::take(&mut self.seats[member].earlier);
        self.kill_all(member, down);
        self.tell(|| format!("{} gets an older disk", name(member)));
        self.seats[member].disk.restore(earlier);
    }

    fn heal_all(&mut self) {
        let all: Vec<u64> = self.cuts.iter().map(|cut| cut.number).collect();
        all.into_iter().for_each(|cut| self.heal(cut));
        self.slow.clear();
    }

    fn cut(&mut self, from: usize, to: usize, length: Duration, held: bool) {
        self.count += 1;
        let number = self.count;
        self.cuts.push(Cut { number, from, to, held, waiting: Vec::new() });
        self.later(length, Event::Heal { cut: number });
    }

    fn heal(&mut self, number: u64) {
        let Some(place) = self.cuts.iter().position(|cut| cut.number == number) else { return };
        let cut = self.cuts.swap_remove(place);
        for (to, bytes) in cut.waiting {
            let way = self.rng.random_range(QUICK..USUAL);
            self.later(way, Event::Deliver { to, bytes });
        }
    }

    // The run.

    fn take(&mut self, event: Event) {
        let whose = match &event {
            Event::Wake { process }
            | Event::Deliver { to: process, .. }
            | Event::Send { process, .. }
            | Event::Reply { process, .. } => Some(*process),
            _ => None,
        };
        if let Some(process) = whose {
            if !self.processes[process].alive {
                return;
            }
            if self.processes[process].frozen {
                if self.processes[process].waits.len() < 20_000 {
                    self.processes[process].waits.push(event);
                }
                return;
            }
        }
        match event {
            Event::Wake { process } => {
                self.step(process, Input::Tick);
                let after = tick(self.terms()).div_f64(self.processes[process].rate);
                self.later(after, Event::Wake { process });
            }
            Event::Deliver { to, bytes } => {
                if let Ok(Envelope { from, message, .. }) = frame::decode(&bytes, FLEET) {
                    self.step(to, Input::Received { from, message });
                }
            }
            Event::Send { process, call, looked } => {
                // As the program does before the first byte leaves.
                if self.clock(process) > call.send_by {
                    let (task, number) = (task_name(call.task), call.number);
                    let came = CallOutcome::Failed("too late to be sent".into());
                    return self.step(process, Input::CallEnded { task, number, outcome: came });
                }
                // What is left of the longest way.
                let left = (looked + self.sketch.way.div_f64(1.2)).saturating_sub(self.now);
                let mut way = if left.is_zero() { left } else { self.time_of(&call, left) };
                if checks(call.task) && self.rng.random_bool(0.1) {
                    // What checks tokens may be reached however late.
                    way = self.rng.random_range(Duration::ZERO..self.sketch.ttl * 6);
                }
                self.later(way, Event::Land { process, call });
            }
            Event::Land { process, call } => self.land(process, call),
            Event::Over { act } => self.acts[act].over = true,
            Event::Reply { process, call, turned_away } => {
                if self.until(process, call.until).is_zero() {
                    return;
                }
                let came = if turned_away { CallOutcome::OldToken } else { self.came_of(&call) };
                let (task, number) = (task_name(call.task), call.number);
                self.step(process, Input::CallEnded { task, number, outcome: came });
            }
            Event::Thaw { process } => {
                self.processes[process].frozen = false;
                let place = self.processes[process].place;
                self.tell(|| format!("{} goes on", name(place)));
                for event in std::mem::take(&mut self.processes[process].waits) {
                    self.later(Duration::ZERO, event);
                }
            }
            Event::Start { member } => {
                if self.now >= self.seats[member].down_until && self.alive(member).next().is_none() {
                    self.start(member);
                }
            }
            Event::Heal { cut } => self.heal(cut),
            Event::Room { member } => self.seats[member].disk.set_capacity(None),
            Event::End { process } => {
                if self.processes[process].alive {
                    let place = self.processes[process].place;
                    self.kill(process);
                    if self.alive(place).next().is_none() {
                        self.later(Duration::ZERO, Event::Start { member: place });
                    } else {
                        // The second start has the disk from here on.
                        self.hand_disk_on(place);
                    }
                }
            }
        }
    }

    /// A start that found the disk in use finds it free: as the system does with locks, by a new start of it here.
    fn hand_disk_on(&mut self, place: usize) {
        let next = self.alive(place).next();
        if let Some(next) = next
            && !self.processes[next].has_disk
            && place < self.sketch.voters
        {
            self.kill(next);
            self.later(Duration::ZERO, Event::Start { member: place });
        }
    }

    /// Plays until all faults are over and the fleet goes on again, or something is that must never be.
    pub fn play(mut self) -> Came {
        let faults: Vec<At> = self.sketch.faults.clone();
        let mut faults = faults.into_iter().peekable();
        let last = FOUNDED + self.sketch.length;
        let end = last + self.sketch.settles;
        let mut steps = 0;
        let mut settled = None;
        let mut resumed = last;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if let Some(fault) = faults.next_if(|fault| fault.at <= at) {
                self.now = self.now.max(fault.at);
                self.tell(|| format!("{:?}", fault.fault));
                if self.sketch.hard {
                    self.let_go_on();
                }
                self.strike(fault.fault);
                continue;
            }
            let Some(((at, _), event)) = self.queue.pop_first() else { break };
            self.now = self.now.max(at);
            self.take(event);
            steps += 1;
            if self.came.violation.is_some() || self.now > end || steps > MOST_STEPS {
                break;
            }
            if self.now > last && settled.is_none() {
                // All that can be mended is.
                self.mend();
                settled = Some((self.now, self.came.acts));
            }
            if self.sketch.hard && settled.is_some() && self.now > resumed + self.sketch.ttl {
                // Long runs go through many holders, the last of them after all was mended.
                resumed = self.now;
                self.let_go_on();
            }
            if let Some((since, _)) = settled
                && steps % 64 == 0
                && self.now > since + self.sketch.ttl
                && self.goes_on(since)
            {
                break;
            }
        }
        let since = settled.map_or(self.now, |(since, _)| since);
        if self.came.violation.is_none() && !self.goes_on(since) {
            for process in 0..self.processes.len() {
                let Process { member, alive, place, .. } = &self.processes[process];
                let (Some(voter), true) = (member.voter(), *alive) else { continue };
                let line = format!(
                    "{} has disk {:016x}, {}term {}, sees {:x?}, last acts {:?}",
                    name(*place),
                    voter.disk(),
                    if voter.is_leader() { "leads, " } else { "" },
                    voter.term(),
                    voter.voter_slots().disks,
                    self.last_act
                );
                self.tell(|| line);
            }
            let what = format!("it does not go on within {:?} after the last fault", self.sketch.settles);
            self.violated(what);
        }
        self.came.played = self.now;
        self.came.busiest = self
            .load
            .iter()
            .filter(|(place, _)| **place < self.sketch.voters)
            .fold((0, 0), |(messages, bytes), (_, load)| (messages.max(load.0), bytes.max(load.1)));
        self.came
    }

    fn mend(&mut self) {
        self.heal_all();
        self.sketch.lost = 0.0;
        self.thin_until = self.now;
        self.let_go_on();
        for member in 0..self.sketch.members {
            self.seats[member].disk.set_capacity(None);
            self.seats[member].disk.fail_syncs_after(None);
        }
    }

    /// A task whose holders were killed one after another was put aside: operators let it go on.
    fn let_go_on(&mut self) {
        let here =
            (0..self.sketch.members).flat_map(|place| self.alive(place)).find(|n| !self.processes[*n].frozen);
        for task in 0..self.sketch.tasks {
            let entry = Entry::Pause { task: task_name(task), paused: false };
            if let Some(process) = here {
                self.step(process, Input::Propose { ticket: 0, entry });
            }
        }
    }

    /// Every task was acted on since, by one that holds its lease, and all voters have their votes.
    fn goes_on(&self, since: Duration) -> bool {
        let acted = self.last_act.iter().all(|act| act.is_some_and(|(at, _)| at > since));
        let named: BTreeSet<String> = (0..self.sketch.voters).map(name).collect();
        let voting = |process: &Process| {
            let Some(voter) = process.member.voter() else { return false };
            let seats = voter.voter_slots();
            let members: BTreeSet<String> =
                seats.voters().iter().filter_map(|disk| seats.member_of(*disk)).map(String::from).collect();
            voter.is_leader() && members == named && seats.voters().len() == named.len()
        };
        acted && self.processes.iter().any(|process| process.alive && voting(process))
    }
}
