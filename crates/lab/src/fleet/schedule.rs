//! What goes wrong, and when, drawn from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::time::Duration;

/// One fault. Members are given by their place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The process is killed, and started again after a while. What it wrote is there.
    Kill { member: usize, down: Duration },
    /// The machine loses power: what was not synced may be gone, in any part.
    Crash { member: usize, down: Duration },
    /// All are killed at once.
    KillAll { down: Duration },
    /// The process is paused.
    Freeze { member: usize, length: Duration },
    /// What one says does not reach the other. With `held` it comes once this is over.
    Cut { from: usize, to: usize, length: Duration, held: bool },
    /// Nothing reaches the member and nothing comes from it.
    Alone { member: usize, length: Duration, held: bool },
    /// What one says to the other takes so much longer.
    Slow { from: usize, to: usize, length: Duration, by: Duration },
    /// The disk takes nothing more for a while.
    Full { member: usize, length: Duration },
    /// A sync fails, and all after it until the disk is opened anew.
    NoSync { member: usize },
    /// The process is killed, and comes back with an empty disk.
    Empty { member: usize, down: Duration },
    /// The process is killed, and comes back with its disk as it was when it was started last.
    Older { member: usize, down: Duration },
    /// A second start of the member comes beside the first, which ends or is paused a while later.
    Twin { member: usize, after: Duration, frozen: bool },
    /// Operators take a lease back.
    Revoke { task: usize },
    /// The clock on the wall jumping, by so many seconds.
    Jump { member: usize, by: i64 },
    /// Whoever leads then and one that holds a lease, this task's at best, do not reach each other: there, back, or both ways.
    Silence { task: usize, there: bool, back: bool, length: Duration, held: bool },
    /// Whoever leads then is cut off from all voters that it does not need, with those that do not vote on its side; and is paused
    /// for a part of that time.
    Parted { length: Duration, frozen: Duration },
    /// What voters say to each other arrives only where it brings no entries.
    Thin { length: Duration },
    /// Whoever holds a task's lease then is told to leave. What it says to the one that leads comes so much later.
    Leave { task: usize, late: Duration },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedFault {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

impl fmt::Display for TimedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7} ms  {:?}", self.at.as_millis(), self.fault)
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// What all else is drawn from.
    pub seed: u64,
    /// Members, and how many of them vote.
    pub members: usize,
    /// The first so many.
    pub voters: usize,
    /// Leases' time.
    pub ttl: Duration,
    /// How far clocks may be off, in thousandths.
    pub drift_permille: u32,
    /// Tasks, in turn of the timed and the checked grade.
    pub tasks: usize,
    /// The longest act of a timed task.
    pub max_act: Duration,
    /// The longest way to what is acted on.
    pub max_delay: Duration,
    /// From the first to the last fault.
    pub fault_window: Duration,
    /// After the last fault is over, until all goes on again at the latest.
    pub recovery_timeout: Duration,
    /// The part of messages that are lost, and that come twice.
    pub loss_rate: f64,
    /// Calls mostly end with a cursor or fail, and some acts and ways take nearly as long as they may.
    pub stress_calls: bool,
    /// The voters' clocks are as fast as they may be, and the others' as slow.
    pub extreme_drift: bool,
    /// What goes wrong.
    pub faults: Vec<TimedFault>,
}

/// What a schedule's story begins with: the fleet is founded and its voters have their votes by then.
pub const FAULTS_START: Duration = Duration::from_millis(1500);

/// Seeds from here on are of schedules that are aimed.
pub const FIRST_TARGETED_SEED: u64 = 1_000_000_000;

impl Scenario {
    /// A fleet in which nothing goes wrong.
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

    /// Draws one. Those from [`FIRST_TARGETED_SEED`] on are aimed: what strikes members drawn blindly hardly ever meets the moment at which a rule is
    /// needed, so their faults strike whoever leads or holds then, for about a lease's time.
    pub fn from_seed(seed: u64) -> Scenario {
        let mut rng = StdRng::seed_from_u64(seed);
        if seed >= FIRST_TARGETED_SEED {
            return Scenario::targeted(seed, &mut rng);
        }
        let voters = if rng.random_bool(0.8) { 3 } else { 5 };
        let members = voters + rng.random_range(0..3);
        let mut scenario = Scenario::without_faults(seed, members, voters);
        scenario.loss_rate = [0.0, 0.0, 0.01, 0.05][rng.random_range(0..4)];
        // Fewer than half of the clocks: what most of them show is the time.
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
                // More than one at a time is beyond what a few voters can bear.
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
        // More of them than one member takes, so that those hold some that do not vote.
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
