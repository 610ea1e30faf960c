//! Plans which share of each group moves to which region next. A plan moves little traffic at a time, moves
//! none into a region without spare capacity, and does not move a group back and forth.

mod prices;

use crate::group::Group;
use crate::model::{Estimate, Estimates};
use crate::mutants::{Mutant, is_active};
use crate::tables::{MAX_GROUPS, MAX_REGION_NAME_BYTES, MAX_REGIONS, Place, Row, TOTAL_SHARE, Tables, Why};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Rate at which the budget for moves grows, in thousandths of all traffic per second. Moves away from a lost
/// or forbidden region are not limited by it.
pub const MOVE_BUDGET_PER_SECOND: f64 = 10.0;
/// Unused move budget is saved up for at most this many seconds.
pub const MAX_SAVED_BUDGET_SECONDS: f64 = 10.0;
/// Minimum time in a main region after a move. Longer than the minute within which a group must not be seen
/// to move back.
pub const MIN_STAY_MS: u64 = 90_000;
/// A group with a longer delay may leave its main region at any time: most of its requests get no answer.
const UNUSABLE_DELAY_MS: f64 = 1500.0;
/// Minimum gain of a move, as a fraction of the delay and in milliseconds: caches and connections are cold
/// after a move.
pub const MIN_GAIN: (f64, f64) = (0.08, 1.5);
/// Minimum gain of a move, in standard deviations of the gain.
const MIN_GAIN_DEVIATIONS: f64 = 1.0;
/// Fraction of a region's capacity that steering fills.
pub const MAX_FILL: f64 = 0.85;
/// Fraction of a region's capacity that steering fills with groups whose own region is lost: they have no
/// alternative.
pub const MAX_FILL_AT_LOSS: f64 = 0.95;
/// Maximum spread of an estimate that a move may rely on; a less certain one is explored first.
pub const MAX_SPREAD: f64 = 0.20;
/// Share of a group that explores another region, in thousandths.
pub const EXPLORATION_SHARE: u16 = 20;
/// Maximum fraction of all traffic that explores.
pub const MAX_EXPLORATION_FRACTION: f64 = 0.01;
/// An exploration that gave no precise estimate ends after this time.
const EXPLORATION_TIMEOUT_MS: u64 = 60_000;
/// Minimum time between the starts of two explorations of the same pair.
pub const EXPLORATION_RETRY_MS: u64 = 600_000;
/// Fractions of its usable capacity that a recovered region is given, one step each [`WARM_UP_STEP_MS`].
pub const WARM_UP_FACTORS: [f64; 4] = [0.1, 0.25, 0.5, 1.0];
/// Duration of one step of the warm-up of a region.
pub const WARM_UP_STEP_MS: u64 = 30_000;
/// Delay assumed for a group whose delay is not known, in milliseconds.
const ASSUMED_DELAY_MS: f64 = 400.0;
/// Maximum number of remembered explorations: a few per group.
pub const MAX_EXPLORATIONS: usize = 4 * MAX_GROUPS;

/// Current state of a region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Region {
    /// Capacity in requests per second.
    pub capacity: f64,
    /// Load in requests per second; the load that the table assigns counts if it is higher.
    pub load: f64,
    /// Whether the region serves requests.
    pub up: bool,
}

/// Request rate of a group, and the region it reaches where the table has no row for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second.
    pub rate: f64,
    /// Region that its clients reach unsteered; `None` until enough windows were reported.
    pub home: Option<String>,
}

/// Input of a plan: regions, demand and constraints at present.
#[derive(Clone, Debug, Default)]
pub struct TrafficSnapshot {
    /// Regions by name; only the first [`MAX_REGIONS`] are used.
    pub regions: BTreeMap<String, Region>,
    /// Demand by group.
    pub demand: BTreeMap<Group, Demand>,
    /// Regions that may serve a group; all of them if the group is missing or its set is empty.
    pub allowed: BTreeMap<Group, BTreeSet<String>>,
}

/// Start of the exploration of each pair of group and region, in Unix milliseconds.
pub type Explorations = BTreeMap<(Group, String), u64>;

/// State that a planner carries from one plan to the next besides the table. It is replicated, so that a new
/// leader continues from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlannerMemory {
    /// Time of the last plan, in Unix milliseconds.
    pub last_ms: Option<u64>,
    /// Remaining move budget, in thousandths of all traffic.
    pub budget: f64,
    /// Regions that are down.
    pub lost: BTreeSet<String>,
    /// Recovery time of regions that are warming up, in Unix milliseconds.
    pub recovered_ms: BTreeMap<String, u64>,
    /// Price of capacity in a full region, in milliseconds of delay.
    pub prices: BTreeMap<String, f64>,
}

impl PlannerMemory {
    /// Checks the bounds, which input from outside may violate.
    pub fn is_valid(&self) -> bool {
        let counts = [self.lost.len(), self.recovered_ms.len(), self.prices.len()];
        let mut names = self.lost.iter().chain(self.recovered_ms.keys()).chain(self.prices.keys());
        counts.iter().all(|count| *count <= MAX_REGIONS)
            && names.all(|name| name.len() <= MAX_REGION_NAME_BYTES)
            && (0.0..=MAX_SAVED_BUDGET_SECONDS * MOVE_BUDGET_PER_SECOND).contains(&self.budget)
            && self.prices.values().all(|price| price.is_finite())
    }
}

/// Plans the next table from the last committed one and the replicated planning state.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    memory: PlannerMemory,
    explorations: Explorations,
}

/// Plan being computed.
struct Plan<'a> {
    now_ms: u64,
    snapshot: &'a TrafficSnapshot,
    rows: BTreeMap<Group, Row>,
    estimates: BTreeMap<(Group, String), Estimate>,
    base_load: BTreeMap<String, f64>,
    added_load: BTreeMap<String, f64>,
    total_rate: f64,
}

impl Plan<'_> {
    fn allowed(&self, group: &Group, region: &str) -> bool {
        let allowed = self.snapshot.allowed.get(group);
        allowed.is_none_or(|allowed| allowed.is_empty() || allowed.contains(region))
    }

    fn rate(&self, group: &Group) -> f64 {
        self.snapshot.demand.get(group).map_or(0.0, |demand| demand.rate)
    }

    fn known(&self, group: &Group, region: &str) -> Option<Estimate> {
        self.estimates.get(&(group.clone(), region.to_string())).copied()
    }

    /// Whether a group may get another main region: it was never moved, or its last move is [`MIN_STAY_MS`]
    /// ago.
    fn settled(&self, row: &Row) -> bool {
        row.moved_ms == 0 || self.now_ms.saturating_sub(row.moved_ms) >= MIN_STAY_MS
    }

    /// Returns the largest share of a group that a region may take without becoming its main region, while
    /// the group has to stay in its present one; otherwise the whole group.
    fn max_share_beside_main(&self, group: &Group, region: &str) -> u16 {
        let Some(row) = self.rows.get(group) else { return 0 };
        let serves =
            |main: &&str| self.snapshot.regions.get(*main).is_some_and(|r| r.up) && self.allowed(group, main);
        match row.main_region().filter(serves) {
            Some(main) if main != region && !self.settled(row) => {
                (row.share(main) - row.share(region)).saturating_sub(1)
            }
            _ => TOTAL_SHARE,
        }
    }

    /// Returns the spare capacity of a region in requests per second. Traffic that leaves the region in this
    /// plan is not subtracted: it may still be there when other traffic arrives.
    fn room(&self, region: &str, max_load: f64) -> f64 {
        if is_active(Mutant::RoomIgnored) {
            return f64::MAX;
        }
        max_load - self.base_load.get(region).unwrap_or(&0.0) - self.added_load.get(region).unwrap_or(&0.0)
    }

    /// Moves up to `share` as far as capacity allows, and returns the share moved.
    fn move_share(
        &mut self,
        group: &Group,
        (from, to): (&str, &str),
        share: u16,
        max_load: f64,
        why: Why,
    ) -> u16 {
        let rate = self.rate(group);
        let room = (self.room(to, max_load).max(0.0) * f64::from(TOTAL_SHARE) / rate.max(1e-9))
            .min(f64::from(TOTAL_SHARE)) as u16;
        let Some(row) = self.rows.get_mut(group) else { return 0 };
        let share = share.min(room).min(row.share(from));
        if share == 0 {
            return 0;
        }
        let (main, previous_share) = (row.main_region().map(String::from), row.share(from));
        for place in &mut row.places {
            if place.region == from {
                place.share -= share;
            } else if place.region == to {
                place.share += share;
            }
            place.delay_ms = self
                .estimates
                .get(&(group.clone(), place.region.clone()))
                .map(|known| known.ms.min(60_000.0).round() as u16);
        }
        if row.main_region().map(String::from) != main {
            row.moved_ms = self.now_ms;
        }
        // The reason and the previous region change only if more than an exploration share moves. Otherwise a
        // row would say "R was lost" of a region that was only explored, or "it moved from R" for a few
        // requests that return at once.
        if why != Why::Learns && previous_share > EXPLORATION_SHARE && row.share(to) > EXPLORATION_SHARE {
            row.why = why;
            row.before = Some(from.to_string());
        }
        *self.added_load.entry(to.to_string()).or_default() +=
            f64::from(share) / f64::from(TOTAL_SHARE) * rate;
        share
    }
}

impl Planner {
    /// Creates a planner that continues from the replicated state.
    pub fn of(memory: &PlannerMemory, explorations: &Explorations) -> Planner {
        // Without this state a region that has just recovered would be filled at once, and the move budget
        // would be granted again.
        let memory = if is_active(Mutant::WarmingForgotten) {
            PlannerMemory { last_ms: memory.last_ms, ..PlannerMemory::default() }
        } else {
            memory.clone()
        };
        Planner { memory, explorations: explorations.clone() }
    }

    /// Returns the state to replicate together with the last plan.
    pub fn memory(&self) -> &PlannerMemory {
        &self.memory
    }

    /// Returns the next table under the next epoch; `None` if nothing changes.
    pub fn plan(
        &mut self,
        now_ms: u64,
        snapshot: &TrafficSnapshot,
        estimates: &Estimates,
        last: &Tables,
    ) -> Option<Tables> {
        let elapsed_seconds =
            self.memory.last_ms.map_or(0.0, |last| now_ms.saturating_sub(last) as f64 / 1000.0);
        self.memory.last_ms = Some(now_ms);
        self.memory.budget = (self.memory.budget + elapsed_seconds * MOVE_BUDGET_PER_SECOND)
            .min(MAX_SAVED_BUDGET_SECONDS * MOVE_BUDGET_PER_SECOND);
        self.track_recoveries(now_ms, snapshot);
        let mut plan = self.start_plan(now_ms, snapshot, estimates, last);
        self.evacuate(&mut plan);
        self.update_prices(&plan);
        self.move_to_nearer(&mut plan);
        self.explore(&mut plan);
        let next = Tables { epoch: last.epoch + 1, rows: plan.rows };
        (next.rows != last.rows).then_some(next)
    }

    fn track_recoveries(&mut self, now_ms: u64, snapshot: &TrafficSnapshot) {
        let names: BTreeSet<&String> = snapshot.regions.keys().take(MAX_REGIONS).collect();
        self.memory.lost.retain(|region| names.contains(region));
        self.memory.recovered_ms.retain(|region, _| names.contains(region));
        for name in names {
            if !snapshot.regions[name].up {
                self.memory.recovered_ms.remove(name);
                self.memory.lost.insert(name.clone());
            } else if self.memory.lost.remove(name) {
                self.memory.recovered_ms.insert(name.clone(), now_ms);
            }
        }
    }

    /// Returns the fraction of its usable capacity that a region may be given: less than 1 while it warms up.
    fn warm_up_factor(&self, now_ms: u64, region: &str) -> f64 {
        let Some(recovered_ms) = self.memory.recovered_ms.get(region) else { return 1.0 };
        let step = (now_ms.saturating_sub(*recovered_ms) / WARM_UP_STEP_MS) as usize;
        if is_active(Mutant::ReturnsAtOnce) {
            1.0
        } else {
            WARM_UP_FACTORS[step.min(WARM_UP_FACTORS.len() - 1)]
        }
    }

    /// Returns the load up to which moves may fill a region, in requests per second.
    pub fn max_load(&self, now_ms: u64, name: &str, region: &Region, max_fill: f64) -> f64 {
        if region.up { region.capacity * max_fill * self.warm_up_factor(now_ms, name) } else { 0.0 }
    }

    fn start_plan<'a>(
        &self,
        now_ms: u64,
        snapshot: &'a TrafficSnapshot,
        estimates: &'a Estimates,
        last: &Tables,
    ) -> Plan<'a> {
        let mut rows = last.rows.clone();
        let names: Vec<&String> = snapshot.regions.keys().take(MAX_REGIONS).collect();
        for (group, demand) in &snapshot.demand {
            let full = rows.len() >= MAX_GROUPS;
            let Some(row) = rows.get_mut(group) else {
                if let Some(home) = demand.home.as_ref().filter(|home| !full && names.contains(home)) {
                    let share = |name: &String| if name == home { TOTAL_SHARE } else { 0 };
                    let place = |name: &&String| Place {
                        region: name.to_string(),
                        share: share(name),
                        delay_ms: None,
                    };
                    let places = names.iter().map(place).collect();
                    rows.insert(group.clone(), Row { places, why: Why::Found, moved_ms: 0, before: None });
                }
                continue;
            };
            // Adds regions that are new, and drops those that have gone and serve no share.
            row.places.retain(|place| place.share > 0 || names.contains(&&place.region));
            for name in &names {
                let known = row.places.iter().any(|place| place.region == **name);
                if !known && row.places.len() < MAX_REGIONS {
                    row.places.push(Place { region: name.to_string(), share: 0, delay_ms: None });
                }
            }
            row.places.sort_by(|one, two| one.region.cmp(&two.region));
        }
        let (mut base_load, mut known) = (BTreeMap::new(), BTreeMap::new());
        for (group, row) in &rows {
            let rate = snapshot.demand.get(group).map_or(0.0, |demand| demand.rate);
            for place in &row.places {
                *base_load.entry(place.region.clone()).or_default() +=
                    f64::from(place.share) / f64::from(TOTAL_SHARE) * rate;
                if let Some(estimate) = estimates.estimate(now_ms, group, &place.region) {
                    known.insert((group.clone(), place.region.clone()), estimate);
                }
            }
        }
        for (name, region) in &snapshot.regions {
            let load: &mut f64 = base_load.entry(name.clone()).or_default();
            *load = load.max(region.load);
        }
        let total_rate = snapshot.demand.values().map(|demand| demand.rate).sum::<f64>().max(1e-9);
        Plan { now_ms, snapshot, rows, estimates: known, base_load, added_load: BTreeMap::new(), total_rate }
    }

    /// Moves shares out of regions that are lost or no longer allowed, as far as capacity allows; first the
    /// groups whose second choice costs most compared with their first. The rest stays, as overloading the
    /// next region would not help.
    fn evacuate(&self, plan: &mut Plan) {
        let mut displaced: Vec<(f64, Group, String, Vec<String>)> = Vec::new();
        for (group, row) in &plan.rows {
            let up = |region: &str| plan.snapshot.regions.get(region).is_some_and(|region| region.up);
            let cost = |region: &String| plan.known(group, region).map_or(ASSUMED_DELAY_MS, |known| known.ms);
            let mut to: Vec<String> = row.places.iter().map(|place| place.region.clone()).collect();
            to.retain(|region| up(region) && plan.allowed(group, region));
            to.sort_by(|one, two| cost(one).total_cmp(&cost(two)));
            let regret = to.get(1).map_or(0.0, cost) - to.first().map_or(0.0, cost);
            for place in row.places.iter().filter(|place| place.share > 0) {
                if !up(&place.region) || !plan.allowed(group, &place.region) {
                    displaced.push((regret, group.clone(), place.region.clone(), to.clone()));
                }
            }
        }
        displaced.sort_by(|one, two| two.0.total_cmp(&one.0).then_with(|| one.1.cmp(&two.1)));
        for (_, group, from, to) in displaced {
            let why = if plan.allowed(&group, &from) { Why::Lost } else { Why::NotAllowed };
            // The first pass keeps the main region of each group, so that it does not move back and forth.
            // The second uses any spare capacity, as these shares have no alternative.
            for keep_main in [true, false] {
                for region in &to {
                    let max_load =
                        self.max_load(plan.now_ms, region, &plan.snapshot.regions[region], MAX_FILL_AT_LOSS);
                    let share =
                        if keep_main { plan.max_share_beside_main(&group, region) } else { TOTAL_SHARE };
                    plan.move_share(&group, (&from, region), share, max_load, why);
                }
            }
        }
    }

    fn update_prices(&mut self, plan: &Plan) {
        let room = plan.snapshot.regions.iter().take(MAX_REGIONS);
        let room = room
            .map(|(name, region)| (name.as_str(), self.max_load(plan.now_ms, name, region, MAX_FILL)))
            .collect();
        let mut choices_by_group: Vec<prices::GroupChoices> = Vec::new();
        for (group, row) in &plan.rows {
            let mut choices = Vec::new();
            for place in &row.places {
                let up = plan.snapshot.regions.get(&place.region).is_some_and(|region| region.up);
                let known = plan.known(group, &place.region);
                let Some(known) = known.filter(|known| known.spread <= MAX_SPREAD || place.share > 0) else {
                    continue;
                };
                if up && plan.allowed(group, &place.region) {
                    // The region that serves the group now has a small advantage.
                    let stay_share = f64::from(place.share) / f64::from(TOTAL_SHARE);
                    choices.push((
                        place.region.as_str(),
                        known.ms - stay_share * (MIN_GAIN.0 * known.ms + MIN_GAIN.1),
                    ));
                }
            }
            choices_by_group.push(prices::GroupChoices { rate: plan.rate(group), choices });
        }
        self.memory.prices = prices::next_prices(&self.memory.prices, &room, &choices_by_group);
    }

    /// Makes worthwhile moves within the budget, in order of their gain.
    fn move_to_nearer(&mut self, plan: &mut Plan) {
        let mut moves: Vec<(f64, Group, String, String, Why)> = Vec::new();
        let price = |region: &str| self.memory.prices.get(region).copied().unwrap_or(0.0);
        for (group, row) in &plan.rows {
            let Some(main) = row.main_region() else { continue };
            let settled = plan.settled(row);
            for from in row.places.iter().filter(|place| place.share > 0) {
                let Some(current) = plan.known(group, &from.region) else { continue };
                let up = plan.snapshot.regions.get(&from.region).is_some_and(|region| region.up);
                let exploring = from.region != main && from.share <= EXPLORATION_SHARE;
                let over_capacity = plan.snapshot.regions.get(&from.region).is_some_and(|region| {
                    self.max_load(plan.now_ms, &from.region, region, MAX_FILL)
                        < *plan.base_load.get(&from.region).unwrap_or(&0.0)
                });
                if !up || exploring {
                    continue;
                }
                let gain = |place: &Place| {
                    let target = plan.known(group, &place.region)?;
                    let region = plan.snapshot.regions.get(&place.region)?;
                    if place.region == from.region || !region.up || !plan.allowed(group, &place.region) {
                        return None;
                    }
                    let gain = current.ms + price(&from.region) - target.ms - price(&place.region);
                    let noise = (current.ms * current.spread).hypot(target.ms * target.spread);
                    // A move towards the main region may continue; a group that was moved recently stays.
                    let may_move = settled
                        || place.region == main
                        || (current.ms > UNUSABLE_DELAY_MS && from.region == main);
                    // The group that loses least leaves a region over its usable capacity, even if the gain
                    // is within noise.
                    let worthwhile = gain > (MIN_GAIN.0 * current.ms).max(MIN_GAIN.1)
                        && gain > MIN_GAIN_DEVIATIONS * noise;
                    let worthwhile = (worthwhile || (over_capacity && gain > 0.0))
                        && target.spread <= MAX_SPREAD
                        && may_move;
                    // A move made only for the price, or out of a region over its usable capacity, is not
                    // given distance as its reason.
                    let saved_ms = current.ms - target.ms;
                    let is_nearer = saved_ms > (MIN_GAIN.0 * current.ms).max(MIN_GAIN.1)
                        && saved_ms > MIN_GAIN_DEVIATIONS * noise;
                    let why = if is_nearer { Why::Nearer } else { Why::Room };
                    let unconditional = is_active(Mutant::NoHysteresis) && gain > 0.0;
                    (worthwhile || unconditional)
                        .then(|| (gain, group.clone(), from.region.clone(), place.region.clone(), why))
                };
                moves.extend(row.places.iter().filter_map(gain).max_by(|one, two| one.0.total_cmp(&two.0)));
            }
        }
        moves.sort_by(|one, two| two.0.total_cmp(&one.0).then_with(|| one.1.cmp(&two.1)));
        for (_, group, from, to, why) in moves {
            // An earlier move of this plan may have changed the main region.
            let Some(row) = plan.rows.get(&group) else { continue };
            let settled = plan.settled(row);
            let unusable = plan.known(&group, &from).is_some_and(|current| current.ms > UNUSABLE_DELAY_MS);
            if !settled && row.main_region() != Some(&to) && !(unusable && row.main_region() == Some(&from)) {
                continue;
            }
            let traffic_fraction = plan.rate(&group) / plan.total_rate;
            let share =
                (self.memory.budget / traffic_fraction.max(1e-9)).clamp(0.0, f64::from(TOTAL_SHARE)) as u16;
            let share = if is_active(Mutant::StepBoundIgnored) { TOTAL_SHARE } else { share };
            let max_load = self.max_load(plan.now_ms, &to, &plan.snapshot.regions[&to], MAX_FILL);
            let moved = plan.move_share(&group, (&from, &to), share, max_load, why);
            self.memory.budget = (self.memory.budget - f64::from(moved) * traffic_fraction).max(0.0);
        }
    }

    /// Sends a small share to regions that could be nearer and whose delay is uncertain; shares whose delay
    /// has become precise return.
    fn explore(&mut self, plan: &mut Plan) {
        self.explorations.retain(|_, since| plan.now_ms.saturating_sub(*since) < EXPLORATION_RETRY_MS);
        let (mut spent, mut candidates) = (0.0, Vec::new());
        for (group, row) in plan.rows.clone() {
            let Some(main) = row.main_region().map(String::from) else { continue };
            let traffic_fraction = plan.rate(&group) / plan.total_rate;
            let current_ms = plan.known(&group, &main).map_or(ASSUMED_DELAY_MS, |known| known.ms);
            let mut exploring = false;
            for place in row
                .places
                .iter()
                .filter(|place| place.region != main && place.share > 0 && place.share <= EXPLORATION_SHARE)
            {
                let key = (group.clone(), place.region.clone());
                let since = *self.explorations.entry(key).or_insert(plan.now_ms);
                let known = plan.known(&group, &place.region);
                let precise = known.is_some_and(|known| known.spread <= MAX_SPREAD / 2.0 && known.measured);
                if precise || plan.now_ms.saturating_sub(since) > EXPLORATION_TIMEOUT_MS {
                    let Some(region) = plan.snapshot.regions.get(&main) else { continue };
                    let max_load = self.max_load(plan.now_ms, &main, region, MAX_FILL_AT_LOSS);
                    plan.move_share(&group, (&place.region, &main), place.share, max_load, Why::Learns);
                }
                exploring = true;
                spent += f64::from(place.share) / f64::from(TOTAL_SHARE) * traffic_fraction;
            }
            // Exploration must not change the main region of a group that is being moved.
            if exploring || row.share(&main) <= TOTAL_SHARE / 2 + EXPLORATION_SHARE {
                continue;
            }
            for place in row.places.iter().filter(|place| place.region != main && place.share == 0) {
                let known = plan.known(&group, &place.region);
                let up = plan.snapshot.regions.get(&place.region).is_some_and(|region| region.up);
                let tried = self.explorations.contains_key(&(group.clone(), place.region.clone()));
                let optimistic_ms = known.map_or(0.0, |known| known.ms * (-1.5 * known.spread).exp());
                let imprecise = known.is_none_or(|known| known.spread > MAX_SPREAD);
                // A region that is certainly farther changes no decision, however imprecise its estimate.
                if up
                    && !tried
                    && imprecise
                    && optimistic_ms < current_ms * (1.0 - MIN_GAIN.0)
                    && plan.allowed(&group, &place.region)
                {
                    candidates.push((
                        (current_ms - optimistic_ms) * traffic_fraction,
                        group.clone(),
                        main.clone(),
                        place.region.clone(),
                    ));
                }
            }
        }
        candidates.sort_by(|one, two| {
            two.0.total_cmp(&one.0).then_with(|| (&one.1, &one.3).cmp(&(&two.1, &two.3)))
        });
        let mut explored = BTreeSet::new();
        for (_, group, from, to) in candidates {
            let cost =
                plan.rate(&group) / plan.total_rate * f64::from(EXPLORATION_SHARE) / f64::from(TOTAL_SHARE);
            if spent + cost > MAX_EXPLORATION_FRACTION
                || self.explorations.len() >= MAX_EXPLORATIONS
                || explored.contains(&group)
            {
                continue;
            }
            let max_load = self.max_load(plan.now_ms, &to, &plan.snapshot.regions[&to], MAX_FILL);
            if plan.room(&to, max_load) < cost * plan.total_rate {
                continue;
            }
            if plan.move_share(&group, (&from, &to), EXPLORATION_SHARE, max_load, Why::Learns) > 0 {
                spent += cost;
                self.explorations.insert((group.clone(), to), plan.now_ms);
                explored.insert(group);
            }
        }
    }
}
