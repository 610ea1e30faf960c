//! Simulates a geography in virtual time from a seed: regions, groups, asymmetric routes, a day of load,
//! changes of path, outages and wrong clocks. The decisions are made by the code that a fleet runs. Only with
//! the feature `emulator`.

pub mod measure;
mod oracle;
mod simulation;
mod soak;

pub use simulation::{Fault, Simulation};
pub use soak::{SoakReport, check, soak};

use crate::group::{Client, Group};
use crate::model::{Estimates, TIMEOUT_DELAY_MS};
use crate::part::{Entry, Outcome, Part};
use crate::planner::{Demand, EXPLORATION_SHARE, MAX_FILL, Planner, Region, TrafficSnapshot};
use crate::samples::{Edge, Observation};
use crate::summary::{Summary, WINDOW_MS};
use crate::tables::{Place, Row, TOTAL_SHARE, Tables, Why};
use std::collections::{BTreeMap, BTreeSet};

/// Seeded random number generator for all random choices of a run.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5eed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Returns a number from 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number between two bounds.
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }

    /// Returns an integer below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }

    /// Returns a normally distributed number with mean 0 and standard deviation 1.
    pub fn normal(&mut self) -> f64 {
        (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos()
    }
}

/// Decision strategy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The planner of this crate.
    Steering,
    /// Each group stays in its home region; the next by map distance if that is lost.
    Static,
    /// The region with the shortest last sample.
    LastSample,
    /// The region with the smallest mean of samples.
    PlainMean,
}

/// Maximum number of samples of one group in one region and window: more add no information.
const MAX_SAMPLES: f64 = 30.0;

/// Run of one strategy in a simulation.
#[derive(Clone, Debug)]
pub struct Run {
    /// Ground truth.
    pub simulation: Simulation,
    /// Next window.
    pub window: u64,
    strategy: Strategy,
    rng: SeededRng,
    edges: Vec<Vec<Edge>>,
    /// Estimates made from the samples.
    pub estimates: Estimates,
    /// Replicated table and planning state.
    pub part: Part,
    /// Pairs of group and region that were ever sampled.
    pub sampled: BTreeSet<(usize, usize)>,
    raw: BTreeMap<(usize, usize), (f64, f64, f64)>,
}

impl Run {
    /// Creates a run. Runs with the same seed see the same samples as long as they make the same decisions.
    pub fn new(simulation: Simulation, strategy: Strategy, seed: u64) -> Run {
        let edge = |r: usize, e: usize| Edge::new(&format!("n{r}-{e}"), &format!("r{r}"), 1);
        let edges = |r: usize| (0..simulation.regions[r].clocks.len()).map(|e| edge(r, e)).collect();
        let edges = (0..simulation.regions.len()).map(edges).collect();
        let (estimates, part) = (Estimates::default(), Part::default());
        let (sampled, raw) = (BTreeSet::new(), BTreeMap::new());
        Run {
            simulation,
            window: 0,
            strategy,
            rng: SeededRng::new(seed),
            edges,
            estimates,
            part,
            sampled,
            raw,
        }
    }

    /// Returns the virtual time.
    pub fn now_ms(&self) -> u64 {
        1_000_000 + self.window * WINDOW_MS
    }

    /// Returns the planner's input.
    pub fn snapshot(&self) -> TrafficSnapshot {
        let mut snapshot = TrafficSnapshot::default();
        for (r, place) in self.simulation.regions.iter().enumerate() {
            let up = self.simulation.up(self.window, r);
            snapshot.regions.insert(place.name.clone(), Region { capacity: place.capacity, load: 0.0, up });
        }
        for (g, clients) in self.simulation.groups.iter().enumerate() {
            let home = Some(self.simulation.regions[clients.home].name.clone());
            snapshot
                .demand
                .insert(clients.group.clone(), Demand { rate: self.simulation.rate(self.window, g), home });
            let forbidden = |r: &usize| {
                self.simulation.active_faults(self.window).any(|fault| fault == Fault::Forbidden(g, *r))
            };
            let allowed = (0..self.simulation.regions.len()).filter(|r| !forbidden(r));
            let allowed = allowed.map(|r| self.simulation.regions[r].name.clone()).collect();
            snapshot.allowed.insert(clients.group.clone(), allowed);
        }
        snapshot
    }

    /// Returns the shares of a group, by the index of the region.
    pub fn shares(&self, g: usize) -> Vec<(usize, f64)> {
        let shares = self.part.tables().shares(&self.simulation.groups[g].group);
        if shares.is_empty() {
            return vec![(self.simulation.groups[g].home, 1.0)];
        }
        let number = |name: &str| {
            self.simulation.regions.iter().position(|place| place.name == name).unwrap_or_default()
        };
        shares
            .iter()
            .map(|(name, share)| (number(name), f64::from(*share) / f64::from(TOTAL_SHARE)))
            .collect()
    }

    /// Returns the requests per second in each region.
    pub fn loads(&self) -> Vec<f64> {
        let mut loads = vec![0.0; self.simulation.regions.len()];
        for g in 0..self.simulation.groups.len() {
            for (r, share) in self.shares(g) {
                loads[r] += share * self.simulation.rate(self.window, g);
            }
        }
        loads
    }

    /// Returns the mean delay of all requests in this window, in milliseconds: path, queue and time-outs.
    pub fn served_ms(&self) -> f64 {
        let (loads, mut sum, mut all) = (self.loads(), 0.0, 0.0);
        for g in 0..self.simulation.groups.len() {
            let rate = self.simulation.rate(self.window, g);
            all += rate;
            for (r, share) in self.shares(g) {
                sum += rate * share * self.cost(g, r, loads[r]);
            }
        }
        sum / all
    }

    fn cost(&self, g: usize, r: usize, load: f64) -> f64 {
        let loss = self.simulation.loss(self.window, g, r);
        loss * TIMEOUT_DELAY_MS
            + (1.0 - loss) * (self.simulation.path_ms(self.window, g, r) + self.simulation.queue_ms(r, load))
    }

    /// Returns the same for an oracle that knows all delays and moves every group at once, up to the fraction
    /// of each region that steering fills.
    pub fn oracle_ms(&self) -> f64 {
        let all = 0..self.simulation.regions.len();
        let delay = |g: usize| all.clone().map(|r| self.cost(g, r, 0.0)).collect();
        let delays: Vec<Vec<f64>> = (0..self.simulation.groups.len()).map(delay).collect();
        let rates: Vec<f64> =
            (0..self.simulation.groups.len()).map(|g| self.simulation.rate(self.window, g)).collect();
        let up = |r: usize| if self.simulation.up(self.window, r) { MAX_FILL } else { 0.0 };
        let room: Vec<f64> = all.clone().map(|r| up(r) * self.simulation.regions[r].capacity).collect();
        let flows = oracle::best(&delays, &rates, &room);
        let load = |r: usize| flows.iter().map(|of| of[r]).sum::<f64>();
        let loads: Vec<f64> = all.clone().map(load).collect();
        let (mut sum, mut served) = (0.0, 0.0);
        for (g, of) in flows.iter().enumerate() {
            for (r, flow) in of.iter().enumerate() {
                sum += flow * self.cost(g, r, loads[r]);
                served += flow;
            }
        }
        let lost = rates.iter().sum::<f64>() - served;
        (sum + lost.max(0.0) * TIMEOUT_DELAY_MS) / rates.iter().sum::<f64>()
    }

    fn sample(&mut self, g: usize, r: usize, load: f64) {
        let e = self.rng.below(self.simulation.regions[r].clocks.len() as u64) as usize;
        let Group::V4(of, _) = self.simulation.groups[g].group else { return };
        let client =
            Client::Address(std::net::Ipv4Addr::from(of + self.rng.below(4) as u32 * 256 + 9).into());
        self.sampled.insert((g, r));
        let raw = self.raw.entry((g, r)).or_default();
        if self.rng.unit() < self.simulation.loss(self.window, g, r) {
            *raw = (TIMEOUT_DELAY_MS, raw.1 + TIMEOUT_DELAY_MS, raw.2 + 1.0);
            self.edges[r][e].record(&client, Observation::TimedOut);
            return;
        }
        let jitter = -self.rng.unit().max(1e-9).ln();
        let mut ms =
            self.simulation.path_ms(self.window, g, r) * (0.08 * self.rng.normal()).exp() + 0.5 * jitter;
        let mut queue = self.simulation.queue_ms(r, load);
        for fault in self.simulation.active_faults(self.window) {
            match fault {
                Fault::Lying(of, edge, factor) if (of, edge) == (r, e) => ms *= factor,
                Fault::Queue(of, edge, ms) if (of, edge) == (r, e) => queue += ms,
                _ => {}
            }
        }
        *raw = (ms + queue, raw.1 + ms + queue, raw.2 + 1.0);
        let us = |ms: f64| (ms * 1000.0) as u32;
        let (offset, drift) = self.simulation.regions[r].clocks[e];
        let received_us = (self.now_ms() * 1000) as i64;
        let edge = &mut self.edges[r][e];
        edge.record(
            &client,
            match self.rng.below(20) {
                0..=8 => Observation::RoundTrip { us: us(ms) },
                9..=14 => Observation::Handshake { us: us(ms + queue), queue_us: us(queue) },
                15..=16 => Observation::Gap { us: us(ms + queue + 300.0 * jitter), queue_us: us(queue) },
                17..=18 => {
                    let off = offset + drift * self.window as i64 * (WINDOW_MS / 1000) as i64;
                    Observation::Arrival { sent_us: received_us - i64::from(us(ms / 2.0)) + off, received_us }
                }
                _ => Observation::SteeredAway,
            },
        );
    }

    /// Runs one window: clients send requests, edges report, and the strategy proposes. Returns the proposed
    /// entries.
    pub fn step(&mut self) -> Vec<Entry> {
        let loads = self.loads();
        for g in 0..self.simulation.groups.len() {
            for (r, share) in self.shares(g) {
                let seen = self.simulation.rate(self.window, g) * share * (WINDOW_MS / 1000) as f64 * 0.5;
                let more = f64::from(u8::from(self.rng.unit() < seen.fract()));
                for _ in 0..(seen.floor() + more).min(MAX_SAMPLES) as u64 {
                    self.sample(g, r, loads[r]);
                }
            }
        }
        self.window += 1;
        match self.strategy {
            Strategy::Steering => self.decide(),
            _ => self.decide_simply(),
        }
    }

    fn decide(&mut self) -> Vec<Entry> {
        let mut summary = Summary::default();
        for r in 0..self.edges.len() {
            let silent = self
                .simulation
                .active_faults(self.window - 1)
                .any(|f| f == Fault::Silent(r) || f == Fault::Lost(r));
            for edge in &mut self.edges[r] {
                edge.follow_table(self.part.tables());
                let summary_of_edge =
                    Summary::from_bytes(&edge.close_window().to_bytes()).unwrap_or_default();
                if !silent {
                    summary.merge(&summary_of_edge);
                }
            }
        }
        let now_ms = self.now_ms();
        self.estimates.update(now_ms, &summary);
        // Each window is planned by a new planner from the replicated state, as the leader may change at any
        // time.
        let number = self.part.planning_state().window() + 1;
        self.part.apply_entry(&Entry::Window { number, now_ms });
        let planning_state = self.part.planning_state();
        let mut planner = Planner::of(planning_state.memory(), planning_state.explorations());
        let next = planner.plan(now_ms, &self.snapshot(), &self.estimates, self.part.tables());
        self.part.apply_entry(&Entry::Planned { number, memory: planner.memory().clone() });
        let entries = next.map(|next| Entry::between(self.part.tables(), &next)).unwrap_or_default();
        for entry in &entries {
            let outcome = self.part.apply_entry(entry);
            debug_assert!(matches!(outcome, Outcome::Taken { .. }), "{outcome:?}");
        }
        entries
    }

    /// Decides for a baseline. Baselines know which regions are up and allowed, and explore with as many
    /// requests as the planner may, each region in turn.
    fn decide_simply(&mut self) -> Vec<Entry> {
        let (snapshot, mut wanted) = (self.snapshot(), Tables::default());
        for g in 0..self.simulation.groups.len() {
            let clients = &self.simulation.groups[g];
            let open = |r: &usize| {
                let name = &self.simulation.regions[*r].name;
                snapshot.regions[name].up && snapshot.allowed[&clients.group].contains(name)
            };
            let open: Vec<usize> = (0..self.simulation.regions.len()).filter(open).collect();
            let map = |r: usize| if r == clients.home { 0.0 } else { self.simulation.map_delay_ms(g, r) };
            let cost = |r: usize| match (self.strategy, self.raw.get(&(g, r))) {
                (Strategy::LastSample, Some(raw)) => raw.0,
                (Strategy::PlainMean, Some(raw)) => raw.1 / raw.2,
                (Strategy::Static, _) => map(r),
                _ => 5000.0 + map(r),
            };
            let Some(&main) = open.iter().min_by(|&&a, &&b| cost(a).total_cmp(&cost(b))) else { continue };
            let explores = open[(self.window as usize + g) % open.len()];
            let explores = (self.strategy != Strategy::Static
                && explores != main
                && (self.window + g as u64).is_multiple_of(2))
            .then_some(explores);
            let place = |r: usize| {
                let share = match explores {
                    Some(explores) if explores == r => EXPLORATION_SHARE,
                    Some(_) if r == main => TOTAL_SHARE - EXPLORATION_SHARE,
                    None if r == main => TOTAL_SHARE,
                    _ => 0,
                };
                Place { region: self.simulation.regions[r].name.clone(), share, delay_ms: None }
            };
            let places = (0..self.simulation.regions.len()).map(place).collect();
            wanted
                .rows
                .insert(clients.group.clone(), Row { places, why: Why::Found, moved_ms: 0, before: None });
        }
        let entries = Entry::between(self.part.tables(), &wanted);
        for entry in &entries {
            self.part.apply_entry(entry);
        }
        entries
    }

    /// Returns the main region of each group.
    pub fn mains(&self) -> BTreeMap<Group, String> {
        let main = |(group, row): (&Group, &Row)| Some((group.clone(), row.main_region()?.to_string()));
        self.part.tables().rows.iter().filter_map(main).collect()
    }
}
