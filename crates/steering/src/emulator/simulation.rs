//! Ground truth of a run: positions of regions and groups, delays between them, and scheduled faults.

use super::SeededRng;
use crate::group::Group;

/// Simulated region.
#[derive(Clone, Debug)]
pub struct SimulatedRegion {
    /// Name.
    pub name: String,
    position: [f64; 3],
    /// Capacity in requests per second.
    pub capacity: f64,
    /// Clock offset of each edge in microseconds, and its drift per second.
    pub clocks: Vec<(i64, i64)>,
}

/// Simulated group of clients.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Name.
    pub group: Group,
    position: [f64; 3],
    last_mile_ms: f64,
    rate: f64,
    phase: f64,
    /// Region that its clients reach unsteered.
    pub home: usize,
}

/// Temporary fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The delay of a group to a region is multiplied by a factor.
    Path(usize, usize, f64),
    /// A fraction of a group's requests to a region gets no answer.
    Lossy(usize, usize, f64),
    /// A region is down.
    Lost(usize),
    /// The edges of a region do not report.
    Silent(usize),
    /// An edge of a region reports delays multiplied by a factor.
    Lying(usize, usize, f64),
    /// An edge of a region has a queue, in milliseconds.
    Queue(usize, usize, f64),
    /// The routes forbid a region to a group.
    Forbidden(usize, usize),
}

/// Simulated geography.
#[derive(Clone, Debug)]
pub struct Simulation {
    /// Regions.
    pub regions: Vec<SimulatedRegion>,
    /// Groups.
    pub groups: Vec<Clients>,
    stretch: Vec<Vec<f64>>,
    /// Faults, each with its first window and the window after its last.
    pub faults: Vec<(Fault, u64, u64)>,
}

/// Length of a day, in windows: shortened to half an hour, so that a run covers whole days.
const DAY_WINDOWS: f64 = 180.0;
/// Round-trip time of light in fibre over the length of the globe's radius, in milliseconds.
const RADIUS_MS: f64 = 6371.0 / 100.0;

fn on_globe(rng: &mut SeededRng, near: Option<[f64; 3]>) -> [f64; 3] {
    let mut at = match near {
        // Half a continent: regions of one fleet do not lie all around the globe.
        None => {
            let (north, east) = (rng.between(-0.7, 0.8), rng.between(0.0, 2.0));
            [north.cos() * east.cos(), north.cos() * east.sin(), north.sin()]
        }
        Some(near) => near.map(|x| x + rng.between(-0.15, 0.15)),
    };
    let length = at.iter().map(|x| x * x).sum::<f64>().sqrt();
    at.iter_mut().for_each(|x| *x /= length);
    at
}

impl Simulation {
    /// Creates a geography with the given numbers of regions, edges in each, and groups.
    pub fn new(rng: &mut SeededRng, regions: usize, edges: usize, groups: usize) -> Simulation {
        let mut all_regions: Vec<SimulatedRegion> = (0..regions)
            .map(|r| {
                let clock = |_| (rng.between(-4e9, 4e9) as i64, rng.between(-200.0, 200.0) as i64);
                let clocks = (0..edges).map(clock).collect();
                SimulatedRegion {
                    name: format!("r{r}"),
                    position: on_globe(rng, None),
                    capacity: 0.0,
                    clocks,
                }
            })
            .collect();
        let towns: Vec<[f64; 3]> = (0..8)
            .map(|town| {
                let by = (town % 2 == 0).then(|| all_regions[town % regions].position);
                on_globe(rng, by)
            })
            .collect();
        let mut simulation =
            Simulation { regions: Vec::new(), groups: Vec::new(), stretch: Vec::new(), faults: Vec::new() };
        for g in 0..groups {
            let town = rng.below(towns.len() as u64) as usize;
            let position = on_globe(rng, Some(towns[town]));
            let (last_mile_ms, phase) = (rng.between(2.0, 25.0), position[1].atan2(position[0]));
            let rate = 5.0 * 12f64.powf(rng.unit());
            // Groups of one town often have neighbouring prefixes.
            let group = Group::named(&format!("{}.{g}.0.0/16", 10 + town));
            // Each direction has a route of its own.
            let mut route_stretch = || 1.3 * (0.14 * rng.normal()).exp();
            simulation
                .stretch
                .push((0..regions).map(|_| (route_stretch() + route_stretch()) / 2.0).collect());
            simulation.groups.push(Clients { group, position, last_mile_ms, rate, phase, home: 0 });
        }
        simulation.regions = all_regions.clone();
        for g in 0..groups {
            // The home region is the nearest by map, or in some cases the second nearest.
            let mut by_map: Vec<usize> = (0..regions).collect();
            let distance_ms = |r: usize| {
                Simulation::distance_ms(&simulation.groups[g].position, &simulation.regions[r].position)
            };
            by_map.sort_by(|&one, &two| distance_ms(one).total_cmp(&distance_ms(two)));
            simulation.groups[g].home = by_map[usize::from(rng.unit() < 0.25)];
        }
        let peak: f64 = simulation.groups.iter().map(|group| group.rate * 1.4).sum();
        for (r, region) in all_regions.iter_mut().enumerate() {
            let own: f64 =
                simulation.groups.iter().filter(|group| group.home == r).map(|group| group.rate * 1.4).sum();
            // Each region is sized for its own groups, and all together for the loss of one.
            region.capacity = (peak / 0.6 / regions as f64 * rng.between(0.7, 1.3)).max(1.3 * own);
        }
        simulation.regions = all_regions;
        simulation
    }

    fn distance_ms(one: &[f64; 3], two: &[f64; 3]) -> f64 {
        let cosine: f64 = one.iter().zip(two).map(|(a, b)| a * b).sum();
        RADIUS_MS * cosine.clamp(-1.0, 1.0).acos()
    }

    /// Returns the delay by map distance alone, which is what operators know.
    pub fn map_delay_ms(&self, g: usize, r: usize) -> f64 {
        Simulation::distance_ms(&self.groups[g].position, &self.regions[r].position)
    }

    /// Iterates over the faults in a window.
    pub fn active_faults(&self, window: u64) -> impl Iterator<Item = Fault> {
        self.faults
            .iter()
            .filter(move |(_, from, to)| (*from..*to).contains(&window))
            .map(|(fault, ..)| *fault)
    }

    /// Returns the true delay of a group to a region, without queues and losses, in milliseconds.
    pub fn path_ms(&self, window: u64, g: usize, r: usize) -> f64 {
        let (group, region) = (&self.groups[g], &self.regions[r]);
        let base_ms = Simulation::distance_ms(&group.position, &region.position) * self.stretch[g][r]
            + group.last_mile_ms
            + 0.5;
        self.active_faults(window).fold(base_ms, |ms, fault| match fault {
            Fault::Path(of, to, factor) if (of, to) == (g, r) => ms * factor,
            _ => ms,
        })
    }

    /// Returns the fraction of requests that get no answer.
    pub fn loss(&self, window: u64, g: usize, r: usize) -> f64 {
        let lost = |fault| match fault {
            Fault::Lossy(of, to, part) if (of, to) == (g, r) => part,
            Fault::Lost(of) if of == r => 1.0,
            _ => 0.0,
        };
        self.active_faults(window).map(lost).fold(0.0, f64::max)
    }

    /// Whether a region is up.
    pub fn up(&self, window: u64, r: usize) -> bool {
        !self.active_faults(window).any(|fault| fault == Fault::Lost(r))
    }

    /// Returns the requests per second of a group: more by day.
    pub fn rate(&self, window: u64, g: usize) -> f64 {
        let group = &self.groups[g];
        group.rate * (1.0 + 0.4 * (window as f64 / DAY_WINDOWS * std::f64::consts::TAU + group.phase).sin())
    }

    /// Returns the queueing delay in a region under this load, in milliseconds.
    pub fn queue_ms(&self, r: usize, load: f64) -> f64 {
        let utilization = load / self.regions[r].capacity;
        if utilization < 0.95 {
            utilization / (1.0 - utilization)
        } else {
            19.0 + 1000.0 * (utilization - 0.95)
        }
    }
}
