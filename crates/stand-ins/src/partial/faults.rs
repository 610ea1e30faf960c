//! What goes wrong in a fleet, and how it is drawn from a seed.

use super::{NODOS, REGIONS, TTL, VOTERS};
use crate::link::Way;
use rand::rngs::StdRng;
use rand::{Rng, RngExt};
use std::fmt;
use std::time::Duration;

/// A link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkId {
    /// From a nodo to a voter.
    Between(usize, usize),
    /// From a nodo to the resource.
    Resource(usize),
}

/// Which links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ends {
    /// All of a nodo to others.
    Nodo(usize),
    /// Those between two.
    Two(usize, usize),
    /// Those of two halves of the fleet with each other.
    Halves(Vec<usize>),
    /// All out of a region to others.
    Region(&'static str),
    /// From a nodo to the resource.
    Resource(usize),
}

impl Ends {
    /// Whether a link is one of them.
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

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// These are killed, and started again so much later, with their disk or an empty one.
    Kill {
        /// Which.
        who: Vec<usize>,
        /// Their part of the fleet is gone from their disk.
        empty: bool,
        /// When they are back.
        back: Duration,
    },
    /// These are stopped where they are.
    Freeze {
        /// Which.
        who: Vec<usize>,
        /// For so long.
        lasts: Duration,
    },
    /// What is sent is held back until it is over.
    Cut {
        /// Which links.
        ends: Ends,
        /// One way, or both.
        way: Option<Way>,
        /// On and off again so often.
        flaps: Option<Duration>,
        /// For so long.
        lasts: Duration,
    },
    /// Connections are reset, and what was on its way is lost.
    Reset {
        /// Of which links.
        ends: Ends,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The kinds of faults, as a table names them.
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
    /// Its place in [`KINDS`].
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

    /// Voters that it takes out.
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

/// Mostly far shorter than a lease, so that the fleet goes on and there is work to lose; else long enough for heirs.
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

/// The next faults at one moment: one, or a pair. Seldom two voters at once, so that there is something to go wrong: without a quorum
/// nobody acts. `impaired` are voters that are impaired by now; a disk is emptied only where all others have theirs.
pub fn draw(random: &mut StdRng, impaired: &[usize], repairs: bool) -> Vec<Fault> {
    let count = if random.random_bool(0.3) { 2 } else { 1 };
    let mut impaired = impaired.to_vec();
    let mut drawn = Vec::new();
    while drawn.len() < count {
        let fault = draw_one(random);
        let voters = fault.voters();
        let others = voters.iter().any(|n| !impaired.contains(n)) && !impaired.is_empty();
        let empties = matches!(fault, Fault::Kill { empty: true, .. }) && !voters.is_empty();
        // Guards against a quorum that is lost for good, which no fleet comes back from.
        if empties && (repairs || !impaired.is_empty()) || others && random.random_bool(0.85) {
            continue;
        }
        impaired.extend(voters);
        drawn.push(fault);
    }
    drawn
}

/// Faults one after another, from a seed.
pub struct FaultInjector {
    random: StdRng,
    /// How many of each of [`KINDS`] there were.
    pub counts: [usize; KINDS.len()],
    /// What there was, and when, for the timeline of a seed.
    pub timeline: Vec<(Duration, Fault)>,
}

/// Between two moments of faults.
const INTERVAL_MS: (u64, u64) = (150, 600);

impl FaultInjector {
    /// The torment of this seed.
    pub fn new(random: StdRng) -> FaultInjector {
        FaultInjector { random, counts: [0; KINDS.len()], timeline: Vec::new() }
    }

    /// Plays it for so long. What an act of the resource lasts changes as it goes on.
    ///
    /// # Errors
    /// A nodo cannot be started.
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

    /// All faults so far.
    pub fn faults(&self) -> usize {
        self.counts.iter().sum()
    }
}
