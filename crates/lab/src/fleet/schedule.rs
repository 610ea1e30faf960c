//! Fault schedules and scenarios, drawn from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;

/// A fault. Members are given by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills the process and restarts it after `down`. Its writes are preserved.
    Kill { member: usize, down: Duration },
    /// Cuts the power of the machine: any part of the writes that were not synced may be lost.
    Crash { member: usize, down: Duration },
    /// Kills all processes at once.
    KillAll { down: Duration },
    /// Pauses the process.
    Freeze { member: usize, length: Duration },
    /// Cuts the link in one direction. With `held`, messages are delivered when the cut ends, else dropped.
    Cut { from: usize, to: usize, length: Duration, held: bool },
    /// Cuts all links of the member in both directions.
    Alone { member: usize, length: Duration, held: bool },
    /// Delays messages in one direction by `by`.
    Slow { from: usize, to: usize, length: Duration, by: Duration },
    /// Makes the disk full.
    Full { member: usize, length: Duration },
    /// Makes all syncs fail until the disk is reopened.
    NoSync { member: usize },
    /// Kills the process and restarts it with an empty disk.
    Empty { member: usize, down: Duration },
    /// Kills the process and restarts it with its disk as it was at its last start.
    Older { member: usize, down: Duration },
    /// Starts a second process of the member. The first is terminated after `after`; with `frozen` it is
    /// paused for that time and terminated after twice that time.
    Twin { member: usize, after: Duration, frozen: bool },
    /// Revokes a lease as an operator does.
    Revoke { task: usize },
    /// Moves the wall clock by `by` seconds.
    Jump { member: usize, by: i64 },
    /// Cuts the link between the leader at that time and a lease holder, preferably this task's: `there` from
    /// the holder to the leader, `back` the other way.
    Silence { task: usize, there: bool, back: bool, length: Duration, held: bool },
    /// Partitions the leader at that time, with all members that do not vote, from the other voters, and
    /// pauses it for `frozen`.
    Parted { length: Duration, frozen: Duration },
    /// Drops the messages between voters that carry entries.
    Thin { length: Duration },
    /// Makes the holder of the task's lease at that time leave. Its messages to the leader are delayed until
    /// `late` has passed.
    Leave { task: usize, late: Duration },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedFault {
    /// Time since the start of the simulation.
    pub at: Duration,
    pub fault: Fault,
}

impl fmt::Display for TimedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7} ms  {:?}", self.at.as_millis(), self.fault)
    }
}

/// A fleet, its load and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of members.
    pub members: usize,
    /// Number of voters; these are the first members.
    pub voters: usize,
    /// Lease TTL.
    pub ttl: Duration,
    /// Maximum clock drift.
    pub drift_permille: u32,
    /// Number of tasks; their grades alternate between timed and checked.
    pub tasks: usize,
    /// Maximum duration of an act of a timed task.
    pub max_act: Duration,
    /// Maximum delay of a call to its resource.
    pub max_delay: Duration,
    /// Time in which faults start.
    pub fault_window: Duration,
    /// Maximum time to recover after the repair.
    pub recovery_timeout: Duration,
    /// Share of messages that are lost, and share that are duplicated.
    pub loss_rate: f64,
    /// Makes calls mostly end with a cursor or fail, and some acts and delays take nearly their maximum.
    pub stress_calls: bool,
    /// Gives voters nearly the fastest allowed clocks, and the other members nearly the slowest.
    pub extreme_drift: bool,
    pub faults: Vec<TimedFault>,
}

/// Start of the faults. The fleet is created and its voters are in the configuration by then.
pub const FAULTS_START: Duration = Duration::from_millis(1500);

/// Seeds from this one on draw targeted scenarios.
pub const FIRST_TARGETED_SEED: u64 = 1_000_000_000;

impl Scenario {
    /// Creates a scenario without faults.
    pub fn without_faults(seed: u64, members: usize, voters: usize) -> Scenario {
        Scenario {
            seed,
            members,
            voters,
            ttl: Duration::from_millis(500),
            drift_permille: 50,
            tasks: 2,
            max_act: Duration::from_millis(60),
            max_delay: Duration::from_millis(40),
            fault_window: Duration::from_secs(4),
            recovery_timeout: Duration::from_secs(12),
            loss_rate: 0.0,
            stress_calls: false,
            extreme_drift: false,
            faults: Vec::new(),
        }
    }

    /// Draws a scenario. Seeds from [`FIRST_TARGETED_SEED`] on draw targeted ones: faults of random members
    /// rarely coincide with the moment in which a rule matters, so targeted faults hit the leader or a holder
    /// at that time, for about a lease TTL.
    pub fn from_seed(seed: u64) -> Scenario {
        let mut rng = StdRng::seed_from_u64(seed);
        if seed >= FIRST_TARGETED_SEED {
            return Scenario::targeted(seed, &mut rng);
        }
        let voters = if rng.random_bool(0.8) { 3 } else { 5 };
        let members = voters + rng.random_range(0..3);
        let mut scenario = Scenario::without_faults(seed, members, voters);
        scenario.loss_rate = [0.0, 0.0, 0.01, 0.05][rng.random_range(0..4)];
        // Only one member's wall clock jumps: the clocks of a majority must stay correct.
        let jumping = rng.random_range(0..members);
        let mut disks_lost = 0;
        for _ in 0..rng.random_range(1..9) {
            let at = FAULTS_START + rng.random_range(Duration::ZERO..scenario.fault_window);
            let ttl = scenario.ttl;
            let mut lease_times = |min: f64, max: f64| ttl.mul_f64(rng.random_range(min..max));
            let (short, long) = (lease_times(0.02, 0.5), lease_times(0.2, 4.0));
            let (member, voter) = (rng.random_range(0..members), rng.random_range(0..voters));
            let other = (member + rng.random_range(1..members)) % members;
            let held = rng.random_bool(0.5);
            let fault = match rng.random_range(0..30) {
                0..4 => Fault::Kill { member, down: if held { short } else { long } },
                4..6 => Fault::Crash { member: voter, down: long },
                6..7 => Fault::KillAll { down: short },
                7..13 => Fault::Freeze { member, length: if held { short } else { long } },
                13..17 => Fault::Cut { from: member, to: other, length: long, held },
                17..20 => Fault::Alone { member, length: long, held },
                20..22 => Fault::Slow { from: member, to: other, length: long, by: short },
                22 => Fault::Full { member: voter, length: long },
                23 => Fault::NoSync { member: voter },
                // A small group of voters tolerates the loss of one disk only.
                24 if disks_lost == 0 => Fault::Empty { member: voter, down: short },
                25 if disks_lost == 0 => Fault::Older { member: voter, down: short },
                24..28 => Fault::Twin { member, after: long, frozen: held },
                28 => Fault::Revoke { task: rng.random_range(0..scenario.tasks) },
                _ => Fault::Jump { member: jumping, by: rng.random_range(-100_000..100_000) },
            };
            disks_lost += usize::from(matches!(fault, Fault::Empty { .. } | Fault::Older { .. }));
            scenario.faults.push(TimedFault { at, fault });
        }
        scenario.faults.sort_by_key(|fault| fault.at);
        scenario
    }

    fn targeted(seed: u64, rng: &mut StdRng) -> Scenario {
        let voters = if rng.random_bool(0.8) { 3 } else { 5 };
        let mut scenario = Scenario::without_faults(seed, voters + rng.random_range(1..3), voters);
        (scenario.stress_calls, scenario.extreme_drift) = (true, rng.random_bool(0.5));
        scenario.loss_rate = [0.0, 0.0, 0.0, 0.02][rng.random_range(0..4)];
        scenario.max_delay = Duration::from_millis(if seed.is_multiple_of(2) { 40 } else { 150 });
        // More tasks than one member takes, so that members that do not vote hold some too.
        scenario.tasks = 4;
        scenario.fault_window = scenario.ttl * 14;
        let ttl = scenario.ttl;
        let mut at = FAULTS_START;
        while at < FAULTS_START + scenario.fault_window {
            let mut lease_times = |min: f64, max: f64| ttl.mul_f64(rng.random_range(min..max));
            let (about, long) = (lease_times(1.0, 1.4), lease_times(1.2, 3.0));
            let (frozen, next) = (lease_times(0.2, 1.0), lease_times(2.0, 4.0));
            let task = rng.random_range(0..scenario.tasks);
            let (there, held) = (rng.random_bool(0.5), rng.random_bool(0.7));
            let back = !there || rng.random_bool(0.5);
            let mut add = |after: Duration, fault| scenario.faults.push(TimedFault { at: at + after, fault });
            match rng.random_range(0..8) {
                0..2 => add(Duration::ZERO, Fault::Silence { task, there, back, length: long, held }),
                2..4 => {
                    let frozen = if held { frozen } else { Duration::ZERO };
                    add(Duration::ZERO, Fault::Parted { length: long, frozen });
                }
                4..6 => {
                    let silence = Fault::Silence { task, there: true, back: false, length: about, held };
                    add(Duration::ZERO, silence);
                    add(ttl.mul_f64(0.9), Fault::Thin { length: ttl.mul_f64(0.9) });
                }
                _ => add(Duration::ZERO, Fault::Leave { task, late: long }),
            }
            at += next;
        }
        scenario
    }
}
