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
    /// The clock on the wall jumps, by so many seconds.
    Jump { member: usize, by: i64 },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct At {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

impl fmt::Display for At {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7} ms  {:?}", self.at.as_millis(), self.fault)
    }
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Sketch {
    /// What all else is drawn from.
    pub seed: u64,
    /// Members, and how many of them vote.
    pub members: usize,
    /// The first so many.
    pub voters: usize,
    /// Leases' time.
    pub ttl: Duration,
    /// How far clocks may be off, in thousandths.
    pub drift: u32,
    /// Tasks, in turn of the timed and the checked grade.
    pub tasks: usize,
    /// The longest act of a timed task.
    pub act: Duration,
    /// The longest way to what is acted on.
    pub way: Duration,
    /// From the first to the last fault.
    pub length: Duration,
    /// After the last fault is over, until all goes on again at the latest.
    pub settles: Duration,
    /// The part of messages that are lost, and that come twice.
    pub lost: f64,
    /// What goes wrong.
    pub faults: Vec<At>,
}

/// What a schedule's story begins with: the fleet is founded and its voters have their votes by then.
pub const FOUNDED: Duration = Duration::from_millis(1500);

impl Sketch {
    /// A fleet in which nothing goes wrong.
    pub fn calm(seed: u64, members: usize, voters: usize) -> Sketch {
        Sketch {
            seed,
            members,
            voters,
            ttl: Duration::from_millis(500),
            drift: 50,
            tasks: 2,
            act: Duration::from_millis(60),
            way: Duration::from_millis(40),
            length: Duration::from_secs(4),
            settles: Duration::from_secs(12),
            lost: 0.0,
            faults: Vec::new(),
        }
    }

    /// Draws one.
    pub fn draw(seed: u64) -> Sketch {
        let mut rng = StdRng::seed_from_u64(seed);
        let voters = if rng.random_bool(0.8) { 3 } else { 5 };
        let members = voters + rng.random_range(0..3);
        let mut sketch = Sketch::calm(seed, members, voters);
        sketch.lost = [0.0, 0.0, 0.01, 0.05][rng.random_range(0..4)];
        // Fewer than half of the clocks: what most of them show is the time.
        let jumps = rng.random_range(0..members);
        let mut disks = 0;
        for _ in 0..rng.random_range(1..9) {
            let at = FOUNDED + rng.random_range(Duration::ZERO..sketch.length);
            let ttl = sketch.ttl;
            let mut time = |least: f64, most: f64| ttl.mul_f64(rng.random_range(least..most));
            let (short, long) = (time(0.02, 0.5), time(0.2, 4.0));
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
                24 if disks == 0 => Fault::Empty { member: voter, down: short },
                25 if disks == 0 => Fault::Older { member: voter, down: short },
                24..28 => Fault::Twin { member, after: long, frozen: held },
                28 => Fault::Revoke { task: rng.random_range(0..sketch.tasks) },
                _ => Fault::Jump { member: jumps, by: rng.random_range(-100_000..100_000) },
            };
            disks += usize::from(matches!(fault, Fault::Empty { .. } | Fault::Older { .. }));
            sketch.faults.push(At { at, fault });
        }
        sketch.faults.sort_by_key(|fault| fault.at);
        sketch
    }
}
