//! Simulates a fleet in virtual time on one thread. The members run production code; the network, the disks,
//! the clocks and the resources that tasks act on are simulated. Invariants are checked after every step.

use super::schedule::{FAULTS_START, Fault, Scenario, TimedFault};
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

/// Wall-clock time at the start of the simulation.
const START_UNIX_SECONDS: i64 = 1_764_600_000;
const FLEET: &str = "sim";
/// Range of the network delay of a message.
const MIN_DELAY: Duration = Duration::from_micros(200);
const MAX_DELAY: Duration = Duration::from_millis(3);
/// Time from a leave command until the process is terminated.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Consecutive failed calls of a task before one is made to succeed.
const MAX_FAILURES_IN_A_ROW: u32 = 8;
/// Limit on the events of one simulation, against endless event loops.
const MAX_STEPS: u64 = 3_000_000;

/// A broken invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub what: String,
    pub at: Duration,
}

/// The result of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The first broken invariant, if any.
    pub violation: Option<Violation>,
    /// Acts that took effect.
    pub acts: u64,
    /// Acts that the resource refused because of an old token.
    pub turned_away: u64,
    pub leases_granted: u64,
    /// Changes of the leader.
    pub leader_changes: u64,
    /// Times from the last act of one holder to the first act of the next, as multiples of the lease TTL.
    pub gaps: Vec<f64>,
    /// Messages and bytes that the busiest voter sent and received.
    pub busiest: (u64, u64),
    /// Simulated time.
    pub duration: Duration,
    /// The recorded events, if recording is enabled.
    pub timeline: Vec<String>,
}

enum Event {
    Tick {
        process: usize,
    },
    Deliver {
        to: usize,
        bytes: Rc<[u8]>,
    },
    /// The process sends a call that it decided on at `decided_at`.
    Send {
        process: usize,
        call: Call,
        decided_at: Duration,
    },
    /// The call reaches the resource.
    Arrive {
        process: usize,
        call: Call,
    },
    /// The act on the resource ends.
    ActEnded {
        act: usize,
    },
    /// The resource's answer reaches the process.
    Reply {
        process: usize,
        call: Call,
        turned_away: bool,
    },
    Resume {
        process: usize,
    },
    Start {
        member: usize,
    },
    Heal {
        cut: u64,
    },
    FreeDisk {
        member: usize,
    },
    Terminate {
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
    host: usize,
    member: Member,
    alive: bool,
    paused: bool,
    /// Events that arrive while it is paused.
    deferred: Vec<Event>,
    /// Simulated time at its start; with `rate` it determines its monotonic clock.
    start: Duration,
    rate: f64,
    owns_disk: bool,
    applied_runs: Vec<AppliedRun>,
}

/// A member's host: the state that outlives its processes.
struct Host {
    name: String,
    disk: Disk,
    disk_at_last_start: Image,
    incarnation: u64,
    rate: f64,
    wall_offset_seconds: i64,
    down_until: Duration,
}

struct Cut {
    number: u64,
    from: usize,
    to: usize,
    held: bool,
    waiting: Vec<(usize, Rc<[u8]>)>,
}

/// What a process has applied last for a task's run: its key, the token it runs under, and its cursor.
type AppliedRun = Option<(u64, u64, Vec<u8>)>;

struct Act {
    task: usize,
    token: u64,
    holder: usize,
    over: bool,
}

/// A simulated fleet.
pub struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    now: Duration,
    queue: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    hosts: Vec<Host>,
    processes: Vec<Process>,
    cuts: Vec<Cut>,
    slow_links: Vec<(usize, usize, Duration, Duration)>,
    acts: Vec<Act>,
    /// The highest token that each resource has seen.
    highest_tokens: Vec<u64>,
    /// Term and digest of the entry that the voters have applied at each index.
    committed: BTreeMap<u64, (u64, u64)>,
    /// Lease and holder of each granted token.
    tokens: BTreeMap<u64, (String, Holder)>,
    last_leader: Option<usize>,
    /// Acts of each task since its last successful call.
    acts_since_success: Vec<u32>,
    /// Time and token of each task's last act.
    last_act: Vec<Option<(Duration, u64)>>,
    traffic: BTreeMap<usize, (u64, u64)>,
    outcome: Outcome,
    records_timeline: bool,
    /// No faults are injected until then: the other voters must be up to detect a rolled-back disk.
    no_faults_until: Duration,
    /// Messages between voters that carry entries are dropped until then.
    entries_dropped_until: Duration,
}

struct SimDisk {
    disk: Disk,
    /// Whether a live process has the disk open.
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

fn member_name(host: usize) -> String {
    format!("n{host}")
}

/// Whether the task's resource checks tokens; every other one does.
fn checks_tokens(task: usize) -> bool {
    task % 2 == 1
}

/// The cursor that a call under this token returns.
fn cursor_of(token: u64) -> Vec<u8> {
    format!("token {token}").into_bytes()
}

fn task_name(task: usize) -> String {
    format!("t{task}")
}

impl Simulation {
    /// Creates a simulation of a scenario, with a timeline of its events if `records_timeline` is set.
    pub fn new(scenario: Scenario, records_timeline: bool) -> Simulation {
        let mut rng = StdRng::seed_from_u64(scenario.seed ^ 0x5eed);
        let drift = f64::from(scenario.drift_permille) / 1000.0;
        let mut rate = |host: usize| match scenario.extreme_drift {
            // Voters' clocks are fast and the others' slow: a lease then lasts longest for a holder that does
            // not vote, and shortest for the leader.
            true => 1.0 + drift * if host < scenario.voters { 0.99 } else { -0.99 },
            // Most clocks drift by nearly the allowed maximum.
            false => 1.0 + drift * [-0.99, 0.0, 0.99][rng.random_range(0..3)],
        };
        let hosts = (0..scenario.members).map(|host| Host {
            name: member_name(host),
            disk: Disk::default(),
            disk_at_last_start: Image::default(),
            incarnation: 0,
            rate: rate(host),
            wall_offset_seconds: 0,
            down_until: Duration::ZERO,
        });
        let hosts: Vec<Host> = hosts.collect();
        let tasks = scenario.tasks;
        let mut simulation = Simulation {
            scenario,
            rng,
            now: Duration::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            hosts,
            processes: Vec::new(),
            cuts: Vec::new(),
            slow_links: Vec::new(),
            acts: Vec::new(),
            highest_tokens: vec![0; tasks],
            committed: BTreeMap::new(),
            tokens: BTreeMap::new(),
            last_leader: None,
            acts_since_success: vec![0; tasks],
            last_act: vec![None; tasks],
            traffic: BTreeMap::new(),
            outcome: Outcome::default(),
            records_timeline,
            no_faults_until: Duration::ZERO,
            entries_dropped_until: Duration::ZERO,
        };
        simulation.create_fleet();
        for member in 0..simulation.hosts.len() {
            simulation.start(member);
        }
        simulation
    }

    /// Creates the fleet on the first voter's disk.
    fn create_fleet(&mut self) {
        let disk = &self.hosts[0].disk;
        let opened = Store::open(disk.open(), FLEET, &self.hosts[0].name, [77, 1]);
        let (mut store, found) = opened.expect("an empty disk can be opened");
        let state = VoterState::founded(found.identity.disk, &self.hosts[0].name).save();
        store.bootstrap(found.identity.disk, state).expect("a working disk accepts writes");
    }

    fn task_spec(&self, task: usize) -> TaskSpec {
        let Scenario { max_act, max_delay, .. } = self.scenario;
        TaskSpec {
            name: task_name(task),
            when: Schedule::Every(Duration::from_secs(1)),
            missed: Missed::Once,
            grade: if checks_tokens(task) { Grade::Checked } else { Grade::Timed { max_act, max_delay } },
            timeout: max_act,
            tries: 1000,
            backoff: Duration::from_millis(if self.scenario.stress_calls { 1 } else { 20 }),
            max_lateness: Duration::from_secs(1),
        }
    }

    fn lease_timing(&self) -> LeaseTiming {
        LeaseTiming { ttl: self.scenario.ttl, drift_permille: self.scenario.drift_permille }
    }

    fn record(&mut self, what: impl FnOnce() -> String) {
        if self.records_timeline && self.outcome.timeline.len() < 20_000 {
            let line = format!("{:>9.3} ms  {}", self.now.as_secs_f64() * 1000.0, what());
            self.outcome.timeline.push(line);
        }
    }

    fn report_violation(&mut self, what: String) {
        if self.outcome.violation.is_none() {
            self.record(|| format!("VIOLATION: {what}"));
            self.outcome.violation = Some(Violation { what, at: self.now });
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), event);
    }

    fn clock(&self, process: usize) -> Duration {
        let Process { start, rate, .. } = &self.processes[process];
        Duration::from_secs(1000) + (self.now - *start).mul_f64(*rate)
    }

    /// The simulated time until the process's clock shows `at`.
    fn time_until(&self, process: usize, at: Duration) -> Duration {
        at.saturating_sub(self.clock(process)).div_f64(self.processes[process].rate)
    }

    fn unix_seconds(&self, host: usize) -> i64 {
        START_UNIX_SECONDS + self.now.as_secs() as i64 + self.hosts[host].wall_offset_seconds
    }

    fn live_processes(&self, host: usize) -> impl Iterator<Item = usize> {
        let all = self.processes.iter().enumerate();
        all.filter(move |(_, process)| process.alive && process.host == host).map(|(n, _)| n)
    }

    fn start(&mut self, host: usize) {
        let votes = host < self.scenario.voters;
        // The first live process has the disk open; a second process of the member finds it in use.
        let in_use =
            Rc::new(Cell::new(self.live_processes(host).any(|process| self.processes[process].owns_disk)));
        let owns_disk = votes && !in_use.get();
        let this_host = &mut self.hosts[host];
        this_host.incarnation += 1;
        let me = Holder::new(&this_host.name, this_host.incarnation);
        if owns_disk {
            this_host.disk_at_last_start = this_host.disk.image();
        }
        let disk: Option<Box<dyn MemberDisk>> =
            votes.then(|| Box::new(SimDisk { disk: this_host.disk.clone(), in_use }) as Box<dyn MemberDisk>);
        let rate = this_host.rate;
        let setup = Setup {
            fleet: FLEET.to_string(),
            me: me.clone(),
            voters: (0..self.scenario.voters).map(member_name).collect(),
            timing: self.lease_timing(),
            tasks: (0..self.scenario.tasks).map(|task| self.task_spec(task)).collect(),
            parts: no_parts,
            part_proposals: no_part_proposals,
        };
        let mut draws = StdRng::seed_from_u64(self.rng.random());
        let random = Box::new(move || draws.random());
        let member = Member::new(setup, disk, random, Duration::from_secs(1000));
        let start = self.now;
        self.processes.push(Process {
            host,
            member,
            alive: true,
            paused: false,
            deferred: Vec::new(),
            start,
            rate,
            owns_disk,
            applied_runs: vec![None; self.scenario.tasks],
        });
        self.record(|| format!("{} starts, incarnation {}", me.member, me.incarnation));
        let process = self.processes.len() - 1;
        self.schedule(Duration::ZERO, Event::Tick { process });
    }

    fn kill(&mut self, process: usize) {
        let Process { alive, deferred, host, owns_disk, .. } = &mut self.processes[process];
        if !std::mem::replace(alive, false) {
            return;
        }
        deferred.clear();
        let host = *host;
        if *owns_disk {
            self.hosts[host].disk.kill();
        }
        self.record(|| format!("{} is killed", member_name(host)));
    }

    fn kill_host(&mut self, host: usize, down: Duration) {
        let all: Vec<usize> = self.live_processes(host).collect();
        all.into_iter().for_each(|process| self.kill(process));
        let until = self.now + down;
        self.hosts[host].down_until = self.hosts[host].down_until.max(until);
        self.schedule(down, Event::Start { member: host });
    }

    fn pause(&mut self, process: usize, length: Duration) {
        if self.processes[process].paused || !self.processes[process].alive {
            return;
        }
        self.processes[process].paused = true;
        let host = self.processes[process].host;
        self.record(|| format!("{} is paused for {length:?}", member_name(host)));
        self.schedule(length, Event::Resume { process });
    }

    /// The live process that receives a message for `to`, if any.
    fn recipient(&self, to: &Recipient) -> Option<usize> {
        match to {
            // The first live process owns the listener.
            Recipient::Voter(name) => {
                let host = self.hosts.iter().position(|host| host.name == *name)?;
                self.live_processes(host).next()
            }
            Recipient::Holder(holder) => {
                self.processes.iter().position(|process| process.alive && process.member.me() == holder)
            }
        }
    }

    fn send(&mut self, from: usize, to: &Recipient, message: frame::Message) {
        let Some(to) = self.recipient(to) else { return };
        let from_member = self.processes[from].member.me().clone();
        let envelope = Envelope { fleet: FLEET.to_string(), from: from_member, message };
        let bytes: Rc<[u8]> = frame::encode(&envelope).into();
        let (one, other) = (self.processes[from].host, self.processes[to].host);
        for host in [one, other] {
            let traffic = self.traffic.entry(host).or_default();
            *traffic = (traffic.0 + 1, traffic.1 + bytes.len() as u64);
        }
        let has_entries = matches!(&envelope.message, frame::Message::Raft(message) if message.has_entries());
        if has_entries && self.now < self.entries_dropped_until {
            return;
        }
        if let Some(cut) = self.cuts.iter_mut().find(|cut| (cut.from, cut.to) == (one, other)) {
            if cut.held && cut.waiting.len() < 2000 {
                cut.waiting.push((to, bytes));
            }
            return;
        }
        if self.scenario.loss_rate > 0.0 && self.rng.random_bool(self.scenario.loss_rate) {
            return;
        }
        let now = self.now;
        let slow = self.slow_links.iter().find(|slow| (slow.0, slow.1) == (one, other) && slow.2 > now);
        let by = slow.map_or(Duration::ZERO, |slow| slow.3);
        let delay = self.rng.random_range(MIN_DELAY..MAX_DELAY) + by;
        if self.scenario.loss_rate > 0.0 && self.rng.random_bool(self.scenario.loss_rate) {
            let again = self.rng.random_range(MIN_DELAY..self.scenario.ttl);
            self.schedule(again, Event::Deliver { to, bytes: bytes.clone() });
        }
        self.schedule(delay, Event::Deliver { to, bytes });
    }

    fn apply_outputs(&mut self, process: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(process, &to, message),
                Output::Call(requested) => {
                    let client::Call { task, number, token, key, send_by, until, .. } = requested;
                    let task = task[1..].parse().unwrap_or(0);
                    let call = Call { task, number, token, key, send_by, until };
                    // A process sends a short time after it decides to, and may be paused in between.
                    let after = self.rng.random_range(Duration::ZERO..Duration::from_millis(2));
                    let decided_at = self.now;
                    self.schedule(after, Event::Send { process, call, decided_at });
                }
                Output::Log(what, _) => {
                    let host = self.processes[process].host;
                    let incarnation = self.processes[process].member.me().incarnation;
                    self.record(|| format!("{}/{incarnation}: {what}", member_name(host)));
                }
                Output::Left => self.schedule(Duration::ZERO, Event::Terminate { process }),
                Output::Settled { .. } | Output::StateReport { .. } | Output::Part { .. } => {}
            }
        }
        self.check_invariants(process);
    }

    fn step(&mut self, process: usize, input: Input) {
        let (clock, host) = (self.clock(process), self.processes[process].host);
        let unix = self.unix_seconds(host);
        let outputs =
            self.processes[process].member.step(clock, Duration::from_secs(unix.unsigned_abs()), input);
        self.apply_outputs(process, outputs);
    }

    /// Checks a process's leases and applied entries against those of all other processes.
    fn check_invariants(&mut self, process: usize) {
        if let Some(voter) = self.processes[process].member.voter_mut() {
            voter.keep_trace();
            for (index, term, digest) in voter.take_trace() {
                let known = *self.committed.entry(index).or_insert((term, digest));
                if known != (term, digest) {
                    let name = member_name(self.processes[process].host);
                    self.report_violation(format!(
                        "{name} applies another entry at {index} than was applied there"
                    ));
                }
            }
        }
        if let Some(voter) = self.processes[process].member.voter() {
            let leases = voter.fleet().leases();
            let granted: Vec<(u64, (String, Holder))> =
                leases.map(|(lease, held)| (held.token, (lease.to_string(), held.holder.clone()))).collect();
            let leads = voter.is_leader();
            for (token, grant) in granted {
                match self.tokens.get(&token) {
                    Some(known) if *known != grant => {
                        self.report_violation(format!(
                            "token {token} is granted to {grant:?}, but was granted to {known:?}"
                        ));
                    }
                    Some(_) => {}
                    None => {
                        self.outcome.leases_granted += 1;
                        self.record(|| {
                            format!("{} is granted to {} under token {token}", grant.0, grant.1.member)
                        });
                        self.tokens.insert(token, grant);
                    }
                }
            }
            if leads && self.last_leader != Some(process) {
                self.last_leader = Some(process);
                self.outcome.leader_changes += 1;
                let host = self.processes[process].host;
                self.record(|| format!("{} becomes the leader", member_name(host)));
            }
        }
        self.check_cursors(process);
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
                    let (one, two) = (self.processes[process].host, self.processes[other].host);
                    let what = format!(
                        "{} and {} hold {lease} at once, under {token} and {}",
                        member_name(one),
                        member_name(two),
                        theirs.token
                    );
                    self.report_violation(what);
                }
            }
        }
    }

    /// Checks that a run's cursor changes only to one returned under the token that the run has.
    fn check_cursors(&mut self, process: usize) {
        let Process { host, member, applied_runs, .. } = &mut self.processes[process];
        let Some(voter) = member.voter() else { return };
        let mut wrong = None;
        for (task, last) in applied_runs.iter_mut().enumerate() {
            let run = voter.fleet().task(&task_name(task)).and_then(|task| task.run.as_ref());
            let now = run.map(|run| (run.key, run.token, run.cursor.clone()));
            if let (Some((key, token, cursor)), Some((key_now, token_now, cursor_now))) = (&*last, &now)
                && (key, token) == (key_now, token_now)
                && cursor != cursor_now
                && *cursor_now != cursor_of(*token)
            {
                wrong = Some(format!(
                    "{} accepts a cursor of {} while {token} works on {}",
                    member_name(*host),
                    String::from_utf8_lossy(cursor_now),
                    task_name(task)
                ));
            }
            *last = now;
        }
        wrong.into_iter().for_each(|wrong| self.report_violation(wrong));
    }

    fn handle_call(&mut self, process: usize, call: Call) {
        let task = call.task;
        let checks = checks_tokens(task);
        if checks && call.token < self.highest_tokens[task] {
            self.outcome.turned_away += 1;
            let back = self.rng.random_range(MIN_DELAY..MAX_DELAY);
            self.schedule(back, Event::Reply { process, call, turned_away: true });
            return;
        }
        self.highest_tokens[task] = self.highest_tokens[task].max(call.token);
        if !checks {
            let overlapping =
                self.acts.iter().find(|act| act.task == task && !act.over && act.token != call.token);
            if let Some(other) = overlapping {
                let what = format!(
                    "{} acts on {} under {} while {} does under {}",
                    member_name(self.processes[process].host),
                    task_name(task),
                    call.token,
                    member_name(other.holder),
                    other.token
                );
                self.report_violation(what);
            }
        }
        self.outcome.acts += 1;
        self.acts_since_success[task] += 1;
        if let Some((last, token)) = self.last_act[task]
            && token != call.token
        {
            self.outcome.gaps.push((self.now - last).as_secs_f64() / self.scenario.ttl.as_secs_f64());
        }
        self.last_act[task] = Some((self.now, call.token));
        let host = self.processes[process].host;
        self.record(|| {
            format!(
                "{} acts on {} under {}, key {}",
                member_name(host),
                task_name(task),
                call.token,
                call.key
            )
        });
        let length = self.draw_duration(&call, self.scenario.max_act);
        let act = self.acts.len();
        self.acts.push(Act { task, token: call.token, holder: host, over: false });
        self.schedule(length, Event::ActEnded { act });
        if self.rng.random_bool(0.95) {
            let back = length + self.rng.random_range(MIN_DELAY..MAX_DELAY);
            self.schedule(back, Event::Reply { process, call, turned_away: false });
        }
    }

    /// Whether calls fail so often in this scenario that a holder cut off from the fleet keeps retrying its
    /// act until its lease ends.
    fn calls_mostly_fail(&self) -> bool {
        self.scenario.stress_calls && !self.scenario.seed.is_multiple_of(2)
    }

    /// Draws the delay of a call, or the duration of its act, up to `max`.
    fn draw_duration(&mut self, call: &Call, max: Duration) -> Duration {
        if !self.scenario.stress_calls {
            return self.rng.random_range(Duration::ZERO..max);
        }
        // Either nearly the maximum, or short enough that the whole call meets its timeout. The first call of
        // a new holder is short, and failures in a row are limited because the backoff doubles with each try.
        let first = self.last_act[call.task].is_none_or(|(_, token)| token != call.token);
        let long = if first || self.acts_since_success[call.task] >= MAX_FAILURES_IN_A_ROW {
            0.0
        } else if self.calls_mostly_fail() {
            0.9
        } else {
            0.3
        };
        let part = if self.rng.random_bool(long) { 0.9..1.0 } else { 0.0..0.1 };
        max.mul_f64(self.rng.random_range(part))
    }

    /// Draws the outcome of an act. With `stress_calls` it is mostly a cursor, which has to be committed, or
    /// a failure.
    fn draw_outcome(&mut self, call: &Call) -> CallOutcome {
        if !self.scenario.stress_calls {
            return CallOutcome::Done(b"ok".to_vec());
        }
        let fails = if self.calls_mostly_fail() { 0.8 } else { 0.2 };
        if self.rng.random_bool(fails) && self.acts_since_success[call.task] < MAX_FAILURES_IN_A_ROW {
            return CallOutcome::Failed("it fails".into());
        }
        self.acts_since_success[call.task] = 0;
        if self.rng.random_bool(0.2) {
            CallOutcome::Done(b"ok".to_vec())
        } else {
            CallOutcome::Partial(cursor_of(call.token))
        }
    }

    fn inject(&mut self, fault: Fault) {
        if self.now < self.no_faults_until {
            return;
        }
        match fault {
            Fault::Kill { member, down } => self.kill_host(member, down),
            Fault::Crash { member, down } => {
                let seed = self.rng.random();
                self.kill_host(member, down);
                self.hosts[member].disk.crash(seed);
            }
            Fault::KillAll { down } => {
                for member in 0..self.scenario.members {
                    self.kill_host(member, down);
                }
            }
            Fault::Freeze { member, length } => {
                if let Some(process) = self.live_processes(member).last() {
                    self.pause(process, length);
                }
            }
            Fault::Cut { from, to, length, held } => self.cut(from, to, length, held),
            Fault::Alone { member, length, held } => {
                for other in (0..self.scenario.members).filter(|other| *other != member) {
                    self.cut(member, other, length, held);
                    self.cut(other, member, length, held);
                }
            }
            Fault::Slow { from, to, length, by } => {
                let until = self.now + length;
                self.slow_links.push((from, to, until, by));
            }
            Fault::Full { member, length } => {
                self.hosts[member].disk.set_capacity(Some(0));
                self.schedule(length, Event::FreeDisk { member });
            }
            Fault::NoSync { member } => self.hosts[member].disk.fail_syncs_after(Some(0)),
            Fault::Empty { member, down } => {
                self.kill_host(member, down);
                self.hosts[member].disk.restore(Image::default());
                self.hosts[member].disk.set_capacity(None);
            }
            Fault::Older { member, down } => self.roll_back_disk(member, down),
            Fault::Twin { member, after, frozen } => {
                if self.now < self.hosts[member].down_until {
                    return;
                }
                let Some(first) = self.live_processes(member).next() else { return };
                if self.live_processes(member).count() > 1 {
                    return;
                }
                self.start(member);
                if frozen {
                    self.pause(first, after);
                    self.schedule(after * 2, Event::Terminate { process: first });
                } else {
                    self.schedule(after, Event::Terminate { process: first });
                }
            }
            Fault::Revoke { task } => {
                let lease = lease_of_task(&task_name(task));
                let entry = Entry::Revoke { lease };
                if let Some(process) =
                    (0..self.scenario.members).find_map(|host| self.live_processes(host).next())
                    && !self.processes[process].paused
                {
                    self.step(process, Input::Propose { ticket: 0, entry });
                }
            }
            Fault::Jump { member, by } => self.hosts[member].wall_offset_seconds += by,
            Fault::Silence { task, there, back, length, held } => {
                let Some(leader) = self.leader().map(|leader| self.processes[leader].host) else { return };
                // A holder other than the leader, preferably one that does not vote, as its clock may be the
                // slow one.
                let holders = (0..self.scenario.tasks).map(|n| (task + n) % self.scenario.tasks);
                let holders = holders.filter_map(|task| self.holder(task));
                let holders = holders.map(|holder| self.processes[holder].host);
                let holder =
                    holders.filter(|holder| *holder != leader).max_by_key(|n| *n >= self.scenario.voters);
                let Some(holder) = holder else {
                    // Revoking the lease moves it, so that a later fault may find such a holder.
                    return self.inject(Fault::Revoke { task });
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
                let leader = self.processes[process].host;
                for other in (0..self.scenario.voters).filter(|other| *other != leader) {
                    for near in (self.scenario.voters..self.scenario.members).chain([leader]) {
                        self.cut(near, other, length, false);
                        self.cut(other, near, length, false);
                    }
                }
                if !frozen.is_zero() {
                    self.pause(process, frozen);
                }
            }
            Fault::Thin { length } => self.entries_dropped_until = self.now + length,
            Fault::Leave { task, late } => {
                let Some((holder, leader)) = self.holder(task).zip(self.leader()) else { return };
                if self.processes[holder].paused {
                    return;
                }
                let (from, to) = (self.processes[holder].host, self.processes[leader].host);
                if from != to {
                    self.cut(from, to, late, true);
                }
                self.record(|| format!("{} receives a leave command", member_name(from)));
                self.step(holder, Input::Leave);
                self.schedule(LEAVE_TIMEOUT, Event::Terminate { process: holder });
            }
        }
    }

    /// The live process that is the leader, if any.
    fn leader(&self) -> Option<usize> {
        self.last_leader.filter(|process| {
            let Process { alive, member, .. } = &self.processes[*process];
            *alive && member.voter().is_some_and(Voter::is_leader)
        })
    }

    /// The live process that holds a task's lease by its own clock.
    fn holder(&self, task: usize) -> Option<usize> {
        let lease = lease_of_task(&task_name(task));
        (0..self.processes.len()).find(|process| {
            let Process { alive, member, .. } = &self.processes[*process];
            *alive && member.client().leases().held(self.clock(*process), &lease).is_some()
        })
    }

    /// Restarts a voter with its disk as it was when its last process started. The rollback is detected only
    /// while the other voters are up, so nothing happens unless all are.
    fn roll_back_disk(&mut self, member: usize, down: Duration) {
        for host in 0..self.scenario.voters {
            let up = self.live_processes(host).any(|process| !self.processes[process].paused);
            if host != member && (!up || self.now < self.hosts[host].down_until) {
                return;
            }
        }
        self.heal_all();
        self.scenario.loss_rate = 0.0;
        self.no_faults_until = self.now + down + self.scenario.ttl;
        let disk_at_last_start = std::mem::take(&mut self.hosts[member].disk_at_last_start);
        self.kill_host(member, down);
        self.record(|| format!("{} restarts with an older disk", member_name(member)));
        self.hosts[member].disk.restore(disk_at_last_start);
    }

    fn heal_all(&mut self) {
        let all: Vec<u64> = self.cuts.iter().map(|cut| cut.number).collect();
        all.into_iter().for_each(|cut| self.heal(cut));
        self.slow_links.clear();
    }

    fn cut(&mut self, from: usize, to: usize, length: Duration, held: bool) {
        self.sequence += 1;
        let number = self.sequence;
        self.cuts.push(Cut { number, from, to, held, waiting: Vec::new() });
        self.schedule(length, Event::Heal { cut: number });
    }

    fn heal(&mut self, number: u64) {
        let Some(index) = self.cuts.iter().position(|cut| cut.number == number) else { return };
        let cut = self.cuts.swap_remove(index);
        for (to, bytes) in cut.waiting {
            let delay = self.rng.random_range(MIN_DELAY..MAX_DELAY);
            self.schedule(delay, Event::Deliver { to, bytes });
        }
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Tick { process }
            | Event::Deliver { to: process, .. }
            | Event::Send { process, .. }
            | Event::Reply { process, .. } => Some(*process),
            _ => None,
        };
        if let Some(process) = target {
            if !self.processes[process].alive {
                return;
            }
            if self.processes[process].paused {
                if self.processes[process].deferred.len() < 20_000 {
                    self.processes[process].deferred.push(event);
                }
                return;
            }
        }
        match event {
            Event::Tick { process } => {
                self.step(process, Input::Tick);
                let after = tick(self.lease_timing()).div_f64(self.processes[process].rate);
                self.schedule(after, Event::Tick { process });
            }
            Event::Deliver { to, bytes } => {
                if let Ok(Envelope { from, message, .. }) = frame::decode(&bytes, FLEET) {
                    self.step(to, Input::Received { from, message });
                }
            }
            Event::Send { process, call, decided_at } => {
                // Production code makes the same check before it sends the first byte.
                if self.clock(process) > call.send_by {
                    let (task, number) = (task_name(call.task), call.number);
                    let came = CallOutcome::Failed("too late to be sent".into());
                    return self.step(process, Input::CallEnded { task, number, outcome: came });
                }
                // The rest of the maximum delay.
                let left = (decided_at + self.scenario.max_delay.div_f64(1.2)).saturating_sub(self.now);
                let mut delay = if left.is_zero() { left } else { self.draw_duration(&call, left) };
                if checks_tokens(call.task) && self.rng.random_bool(0.1) {
                    // A resource that checks tokens tolerates a call with any delay.
                    delay = self.rng.random_range(Duration::ZERO..self.scenario.ttl * 6);
                }
                self.schedule(delay, Event::Arrive { process, call });
            }
            Event::Arrive { process, call } => self.handle_call(process, call),
            Event::ActEnded { act } => self.acts[act].over = true,
            Event::Reply { process, call, turned_away } => {
                if self.time_until(process, call.until).is_zero() {
                    return;
                }
                let came = if turned_away { CallOutcome::OldToken } else { self.draw_outcome(&call) };
                let (task, number) = (task_name(call.task), call.number);
                self.step(process, Input::CallEnded { task, number, outcome: came });
            }
            Event::Resume { process } => {
                self.processes[process].paused = false;
                let host = self.processes[process].host;
                self.record(|| format!("{} resumes", member_name(host)));
                for event in std::mem::take(&mut self.processes[process].deferred) {
                    self.schedule(Duration::ZERO, event);
                }
            }
            Event::Start { member } => {
                if self.now >= self.hosts[member].down_until && self.live_processes(member).next().is_none() {
                    self.start(member);
                }
            }
            Event::Heal { cut } => self.heal(cut),
            Event::FreeDisk { member } => self.hosts[member].disk.set_capacity(None),
            Event::Terminate { process } => {
                if self.processes[process].alive {
                    let host = self.processes[process].host;
                    self.kill(process);
                    if self.live_processes(host).next().is_none() {
                        self.schedule(Duration::ZERO, Event::Start { member: host });
                    } else {
                        // The second process of the member may open the disk now.
                        self.reopen_disk(host);
                    }
                }
            }
        }
    }

    /// Restarts a process that found the disk in use, so that it opens the disk that is free now.
    fn reopen_disk(&mut self, host: usize) {
        let next = self.live_processes(host).next();
        if let Some(next) = next
            && !self.processes[next].owns_disk
            && host < self.scenario.voters
        {
            self.kill(next);
            self.schedule(Duration::ZERO, Event::Start { member: host });
        }
    }

    /// Runs until the fleet has recovered from all faults, or an invariant is broken.
    pub fn play(mut self) -> Outcome {
        let faults: Vec<TimedFault> = self.scenario.faults.clone();
        let mut faults = faults.into_iter().peekable();
        let last = FAULTS_START + self.scenario.fault_window;
        let end = last + self.scenario.recovery_timeout;
        let mut steps = 0;
        let mut settled = None;
        let mut resumed = last;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if let Some(fault) = faults.next_if(|fault| fault.at <= at) {
                self.now = self.now.max(fault.at);
                self.record(|| format!("{:?}", fault.fault));
                if self.scenario.stress_calls {
                    self.unpause_tasks();
                }
                self.inject(fault.fault);
                continue;
            }
            let Some(((at, _), event)) = self.queue.pop_first() else { break };
            self.now = self.now.max(at);
            self.handle(event);
            steps += 1;
            if self.outcome.violation.is_some() || self.now > end || steps > MAX_STEPS {
                break;
            }
            if self.now > last && settled.is_none() {
                self.repair_all();
                settled = Some((self.now, self.outcome.acts));
            }
            if self.scenario.stress_calls && settled.is_some() && self.now > resumed + self.scenario.ttl {
                // A long run fails over many times, also after the repair, and its task may be paused again
                // for that.
                resumed = self.now;
                self.unpause_tasks();
            }
            if let Some((since, _)) = settled
                && steps % 64 == 0
                && self.now > since + self.scenario.ttl
                && self.has_recovered(since)
            {
                break;
            }
        }
        let since = settled.map_or(self.now, |(since, _)| since);
        if self.outcome.violation.is_none() && !self.has_recovered(since) {
            for process in 0..self.processes.len() {
                let Process { member, alive, host, .. } = &self.processes[process];
                let (Some(voter), true) = (member.voter(), *alive) else { continue };
                let line = format!(
                    "{} has disk {:016x}, {}term {}, has the voter disks {:x?}, last acts {:?}",
                    member_name(*host),
                    voter.disk(),
                    if voter.is_leader() { "is the leader, " } else { "" },
                    voter.term(),
                    voter.voter_slots().disks,
                    self.last_act
                );
                self.record(|| line);
            }
            let what = format!(
                "the fleet does not recover within {:?} after the last fault",
                self.scenario.recovery_timeout
            );
            self.report_violation(what);
        }
        self.outcome.duration = self.now;
        self.outcome.busiest = self
            .traffic
            .iter()
            .filter(|(host, _)| **host < self.scenario.voters)
            .fold((0, 0), |(messages, bytes), (_, traffic)| (messages.max(traffic.0), bytes.max(traffic.1)));
        self.outcome
    }

    fn repair_all(&mut self) {
        self.heal_all();
        self.scenario.loss_rate = 0.0;
        self.entries_dropped_until = self.now;
        self.unpause_tasks();
        for member in 0..self.scenario.members {
            self.hosts[member].disk.set_capacity(None);
            self.hosts[member].disk.fail_syncs_after(None);
        }
    }

    /// Unpauses all tasks as an operator does: a task is paused after several of its holders were killed in a
    /// row.
    fn unpause_tasks(&mut self) {
        let here = (0..self.scenario.members)
            .flat_map(|host| self.live_processes(host))
            .find(|n| !self.processes[*n].paused);
        for task in 0..self.scenario.tasks {
            let entry = Entry::Pause { task: task_name(task), paused: false };
            if let Some(process) = here {
                self.step(process, Input::Propose { ticket: 0, entry });
            }
        }
    }

    /// Whether every task was acted on after `since`, and a leader has all named voters in its configuration.
    fn has_recovered(&self, since: Duration) -> bool {
        let acted = self.last_act.iter().all(|act| act.is_some_and(|(at, _)| at > since));
        let named: BTreeSet<String> = (0..self.scenario.voters).map(member_name).collect();
        let voting = |process: &Process| {
            let Some(voter) = process.member.voter() else { return false };
            let voter_slots = voter.voter_slots();
            let members: BTreeSet<String> = voter_slots
                .voters()
                .iter()
                .filter_map(|disk| voter_slots.member_of(*disk))
                .map(String::from)
                .collect();
            voter.is_leader() && members == named && voter_slots.voters().len() == named.len()
        };
        acted && self.processes.iter().any(|process| process.alive && voting(process))
    }
}
