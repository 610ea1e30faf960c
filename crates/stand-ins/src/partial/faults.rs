//! Faults of a fleet and their random selection from a seed.

use super::{NODOS, REGIONS, TTL, VOTERS};
use crate::link::Way;
use rand::rngs::StdRng;
use rand::{Rng, RngExt};
use std::fmt;
use std::time::Duration;

/// Identifies a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkId {
    /// From a nodo to a voter.
    Between(usize, usize),
    /// From a nodo to the resource.
    Resource(usize),
}

/// A set of links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ends {
    /// All links between a nodo and the others.
    Nodo(usize),
    /// The links between two nodos.
    Two(usize, usize),
    /// The links between this half of the fleet and the other.
    Halves(Vec<usize>),
    /// The links between a region and the others.
    Region(&'static str),
    /// The link from a nodo to the resource.
    Resource(usize),
}

impl Ends {
    /// Returns whether the set contains a link.
    pub fn has(&self, link: LinkId) -> bool {
        match (self, link) {
            (Ends::Resource(n), LinkId::Resource(m)) => *n == m,
            (Ends::Resource(_), _) | (_, LinkId::Resource(_)) => false,
            (Ends::Nodo(n), LinkId::Between(from, to)) => from == *n || to == *n,
            (Ends::Two(one, other), LinkId::Between(from, to)) => {
                (from, to) == (*one, *other) || (from, to) == (*other, *one)
            }
            (Ends::Halves(half), LinkId::Between(from, to)) => half.contains(&from) != half.contains(&to),
            (Ends::Region(region), LinkId::Between(from, to)) => {
                (REGIONS[from] == *region) != (REGIONS[to] == *region)
            }
        }
    }
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills nodos and restarts them later, with their disk or an empty one.
    Kill {
        /// Indices of the nodos.
        who: Vec<usize>,
        /// Whether their fleet state is deleted.
        empty: bool,
        /// Delay before the restart.
        back: Duration,
    },
    /// Pauses the processes of nodos.
    Freeze {
        /// Indices of the nodos.
        who: Vec<usize>,
        /// Duration of the pause.
        lasts: Duration,
    },
    /// Holds back all bytes until the cut ends.
    Cut {
        /// Links to cut.
        ends: Ends,
        /// Direction, or both if `None`.
        way: Option<Way>,
        /// Interval at which the cut is toggled, if it flaps.
        flaps: Option<Duration>,
        /// Duration of the cut.
        lasts: Duration,
    },
    /// Resets connections, losing bytes in transit.
    Reset {
        /// Links to reset.
        ends: Ends,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Names of the kinds of faults, as shown in tables.
pub const KINDS: [&str; 9] = [
    "killed",
    "killed, its disk emptied",
    "region killed",
    "all killed",
    "frozen",
    "cut one way",
    "cut both ways",
    "link that flaps",
    "connections reset",
];

impl Fault {
    /// Returns the fault's index in [`KINDS`].
    pub fn kind(&self) -> usize {
        match self {
            Fault::Kill { empty: true, .. } => 1,
            Fault::Kill { who, .. } => match who.len() {
                NODOS => 3,
                2.. => 2,
                _ => 0,
            },
            Fault::Freeze { .. } => 4,
            Fault::Cut { flaps: Some(_), .. } => 7,
            Fault::Cut { way: Some(_), .. } => 5,
            Fault::Cut { way: None, .. } => 6,
            Fault::Reset { .. } => 8,
        }
    }

    /// Returns the voters that the fault makes unavailable.
    fn voters(&self) -> Vec<usize> {
        let all: Vec<usize> = match self {
            Fault::Kill { who, .. } | Fault::Freeze { who, .. } => who.clone(),
            Fault::Cut { ends: Ends::Nodo(n), .. } => vec![*n],
            Fault::Cut { ends: Ends::Region(region), .. } => {
                (0..NODOS).filter(|n| REGIONS[*n] == *region).collect()
            }
            _ => Vec::new(),
        };
        all.into_iter().filter(|n| *n < VOTERS).collect()
    }
}

/// Draws a duration. Most are far shorter than a lease, so that the fleet keeps accepting work; the others
/// are long enough for successors to take over.
fn duration_in(random: &mut impl Rng, from: f64, to: f64) -> Duration {
    let short = from + (to - from) * 0.2;
    let (from, to) = if random.random_bool(0.6) { (from, short) } else { (short, to) };
    TTL.mul_f64(random.random_range(from..to))
}

fn draw_one(random: &mut impl Rng) -> Fault {
    let n = random.random_range(0..NODOS);
    let region = REGIONS[random.random_range(0..3)];
    let of_region = || (0..NODOS).filter(|n| REGIONS[*n] == region).collect::<Vec<_>>();
    let ends = match random.random_range(0..10) {
        0..4 => Ends::Nodo(n),
        4..7 => Ends::Two(n, random.random_range(0..VOTERS)),
        7 => Ends::Region(region),
        _ => Ends::Resource(n),
    };
    let way = if random.random_bool(0.5) { Way::There } else { Way::Back };
    match random.random_range(0..100) {
        0..22 => Fault::Kill { who: vec![n], empty: false, back: duration_in(random, 0.1, 1.8) },
        22..26 => Fault::Kill { who: vec![n], empty: true, back: duration_in(random, 0.1, 1.5) },
        26..30 => Fault::Kill { who: of_region(), empty: false, back: duration_in(random, 0.5, 2.0) },
        30 => Fault::Kill { who: (0..NODOS).collect(), empty: false, back: duration_in(random, 0.05, 0.3) },
        31..51 => Fault::Freeze { who: vec![n], lasts: duration_in(random, 0.1, 2.2) },
        51..53 => Fault::Freeze { who: of_region(), lasts: duration_in(random, 0.1, 1.5) },
        53..71 => Fault::Cut { ends, way: Some(way), flaps: None, lasts: duration_in(random, 0.2, 2.0) },
        71..82 => Fault::Cut { ends, way: None, flaps: None, lasts: duration_in(random, 0.2, 2.0) },
        82..92 => {
            let flaps = Some(duration_in(random, 0.04, 0.2));
            let way = [None, Some(way)][random.random_range(0..2)];
            Fault::Cut { ends, way, flaps, lasts: duration_in(random, 0.5, 2.0) }
        }
        _ => Fault::Reset { ends },
    }
}

/// Draws one fault or two simultaneous ones. Faults that make several voters unavailable are mostly rejected,
/// since nothing happens without a quorum. `impaired` are the voters affected at present; a disk is emptied
/// only if all other voters have theirs.
pub fn draw(random: &mut StdRng, impaired: &[usize], repairs: bool) -> Vec<Fault> {
    let count = if random.random_bool(0.3) { 2 } else { 1 };
    let mut impaired = impaired.to_vec();
    let mut drawn = Vec::new();
    while drawn.len() < count {
        let fault = draw_one(random);
        let voters = fault.voters();
        let others = voters.iter().any(|n| !impaired.contains(n)) && !impaired.is_empty();
        let empties = matches!(fault, Fault::Kill { empty: true, .. }) && !voters.is_empty();
        // Prevents the permanent loss of a quorum, from which no fleet recovers.
        if empties && (repairs || !impaired.is_empty()) || others && random.random_bool(0.85) {
            continue;
        }
        impaired.extend(voters);
        drawn.push(fault);
    }
    drawn
}

/// Injects randomly drawn faults.
pub struct FaultInjector {
    random: StdRng,
    /// Number of faults injected of each of [`KINDS`].
    pub counts: [usize; KINDS.len()],
    /// Injected faults with their times.
    pub timeline: Vec<(Duration, Fault)>,
}

/// Range of the interval between two injections, in milliseconds.
const INTERVAL_MS: (u64, u64) = (150, 600);

impl FaultInjector {
    /// Creates an injector with this random source.
    pub fn new(random: StdRng) -> FaultInjector {
        FaultInjector { random, counts: [0; KINDS.len()], timeline: Vec::new() }
    }

    /// Injects faults for this long, and varies the duration of the resource's acts.
    ///
    /// # Errors
    /// Fails if a nodo cannot be started.
    pub async fn play(&mut self, rig: &mut super::Rig, length: Duration) -> std::io::Result<()> {
        let began = tokio::time::Instant::now();
        while began.elapsed() < length {
            let impaired: Vec<usize> =
                (0..VOTERS).filter(|n| rig.is_impaired(*n) || rig.is_cut(*n)).collect();
            for fault in draw(&mut self.random, &impaired, rig.is_repairing) {
                if rig.inject(&fault).await? {
                    self.counts[fault.kind()] += 1;
                    self.timeline.push((began.elapsed(), fault));
                }
            }
            rig.resource.set_duration(Duration::from_millis(self.random.random_range(5..250)));
            rig.run_for(Duration::from_millis(self.random.random_range(INTERVAL_MS.0..INTERVAL_MS.1)))
                .await?;
        }
        Ok(())
    }

    /// Returns the number of faults so far.
    pub fn faults(&self) -> usize {
        self.counts.iter().sum()
    }
}
