//! Which share of which group moves where next: few moves at a time, none into a region without room, and none back and forth.

mod prices;

use crate::group::Group;
use crate::model::{Estimate, Estimates};
use crate::mutants::{Mutant, is_active};
use crate::tables::{MAX_GROUPS, MAX_REGION_NAME_BYTES, MAX_REGIONS, Place, Row, TOTAL_SHARE, Tables, Why};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How much of all traffic moves in a second, in thousandths, where nothing is broken.
pub const MOVE_BUDGET_PER_SECOND: f64 = 10.0;
/// What was not moved may be made up for later, up to so many seconds.
pub const MAX_SAVED_BUDGET_SECONDS: f64 = 10.0;
/// A group stays where it was moved for so long: longer than the minute within which nobody is to see it move back.
pub const MIN_STAY_MS: u64 = 90_000;
/// Who waits longer than this is not kept anywhere: most of its requests get no answer.
const UNUSABLE_DELAY_MS: f64 = 1500.0;
/// A move pays if it saves this part of the delay and this many milliseconds: caches and connections are cold after it.
pub const MIN_GAIN: (f64, f64) = (0.08, 1.5);
/// ... and if what it saves is more than so many times its deviation.
const MIN_GAIN_DEVIATIONS: f64 = 1.0;
/// How much of a region's capacity steering fills.
pub const MAX_FILL: f64 = 0.85;
/// The same for those whose region is lost: they have nothing else.
pub const MAX_FILL_AT_LOSS: f64 = 0.95;
/// An estimate with more spread is not moved by: it is learned first.
pub const MAX_SPREAD: f64 = 0.20;
/// Learning takes so much of a group, in thousandths.
pub const EXPLORATION_SHARE: u16 = 20;
/// ... and so much of all traffic.
pub const MAX_EXPLORATION_FRACTION: f64 = 0.01;
/// What has told nothing in this time is not learned for now.
const EXPLORATION_TIMEOUT_MS: u64 = 60_000;
/// ... for so long.
pub const EXPLORATION_RETRY_MS: u64 = 600_000;
/// A region that came back is given so much of its room, a step each [`WARMS_MS`].
pub const WARM_UP_FACTORS: [f64; 4] = [0.1, 0.25, 0.5, 1.0];
/// The length of a step.
pub const WARM_UP_STEP_MS: u64 = 30_000;
/// What a group that nobody knows the delay of is counted with when its region is lost, in milliseconds.
const ASSUMED_DELAY_MS: f64 = 400.0;
/// Pairs whose learning is remembered: as many as there are groups, a few times over.
pub const MAX_EXPLORATIONS: usize = 4 * MAX_GROUPS;

/// A region as it is now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Region {
    /// Requests a second that it can take.
    pub capacity: f64,
    /// Requests a second that it has; what the table sends it counts if that is more.
    pub load: f64,
    /// Whether it serves.
    pub up: bool,
}

/// How much a group asks for, and where it comes if no table says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second.
    pub rate: f64,
    /// Where it comes by itself; `None` until that is settled.
    pub home: Option<String>,
}

/// What a plan is made from.
#[derive(Clone, Debug, Default)]
pub struct TrafficSnapshot {
    /// The regions, by name; no more than [`MAX_REGIONS`] are looked at.
    pub regions: BTreeMap<String, Region>,
    /// The groups.
    pub demand: BTreeMap<Group, Demand>,
    /// Where a group may be served; anywhere if it is not named, or no region is.
    pub allowed: BTreeMap<Group, BTreeSet<String>>,
}

/// Since when each pair was learned.
pub type Explorations = BTreeMap<(Group, String), u64>;

/// What a planner has to know beside the last table. It is agreed, so that another that leads goes on where the last one was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlannerMemory {
    /// When it planned last, in Unix milliseconds.
    pub last_ms: Option<u64>,
    /// How much may still move, in thousandths of all traffic.
    pub budget: f64,
    /// Regions that are lost.
    pub lost: BTreeSet<String>,
    /// Since when those that came back are warming, in Unix milliseconds.
    pub recovered_ms: BTreeMap<String, u64>,
    /// What a place in a full region is worth, in milliseconds.
    pub prices: BTreeMap<String, f64>,
}

impl PlannerMemory {
    /// Whether it keeps its bounds: what comes from outside may not.
    pub fn is_valid(&self) -> bool {
        let counts = [self.lost.len(), self.recovered_ms.len(), self.prices.len()];
        let mut names = self.lost.iter().chain(self.recovered_ms.keys()).chain(self.prices.keys());
        counts.iter().all(|count| *count <= MAX_REGIONS)
            && names.all(|name| name.len() <= MAX_REGION_NAME_BYTES)
            && (0.0..=MAX_SAVED_BUDGET_SECONDS * MOVE_BUDGET_PER_SECOND).contains(&self.budget)
            && self.prices.values().all(|price| price.is_finite())
    }
}

/// Plans the next table from the last agreed one, and from what is agreed beside that.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    memory: PlannerMemory,
    explorations: Explorations,
}

/// One plan under way.
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

    /// Whether a group may get another main region: it has none yet that it was moved to, or was there for [`STAY_MS`].
    fn settled(&self, row: &Row) -> bool {
        row.moved_ms == 0 || self.now_ms.saturating_sub(row.moved_ms) >= MIN_STAY_MS
    }

    /// The largest share that a region may take of a group without becoming its main region, as long as the group has to stay in the
    /// one that it has; the whole group otherwise.
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

    /// What is left of a region, in requests a second. What leaves it in this plan is not counted on: it may not have left when others
    /// come.
    fn room(&self, region: &str, max_load: f64) -> f64 {
        if is_active(Mutant::RoomIgnored) {
            return f64::MAX;
        }
        max_load - self.base_load.get(region).unwrap_or(&0.0) - self.added_load.get(region).unwrap_or(&0.0)
    }

    /// Moves as much as there is room for, up to a share; returns what was moved.
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
        let (main, had) = (row.main_region().map(String::from), row.share(from));
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
        // Guards against "R was lost" of a region that was only learned, and "it moved from R" of a few requests that are back at once: who
        // learns, or has no more than that elsewhere, is where it is for the old reason.
        if why != Why::Learns && had > EXPLORATION_SHARE && row.share(to) > EXPLORATION_SHARE {
            row.why = why;
            row.before = Some(from.to_string());
        }
        *self.added_load.entry(to.to_string()).or_default() +=
            f64::from(share) / f64::from(TOTAL_SHARE) * rate;
        share
    }
}

impl Planner {
    /// One that goes on from what is agreed.
    pub fn of(memory: &PlannerMemory, explorations: &Explorations) -> Planner {
        // A region that came back just before would be full at once, and as much could move again.
        let memory = if is_active(Mutant::WarmingForgotten) {
            PlannerMemory { last_ms: memory.last_ms, ..PlannerMemory::default() }
        } else {
            memory.clone()
        };
        Planner { memory, explorations: explorations.clone() }
    }

    /// What has to be agreed with the plan that it made last.
    pub fn memory(&self) -> &PlannerMemory {
        &self.memory
    }

    /// The next table, with the epoch after the last; `None` if nothing is to change.
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

    /// How much of a region may be filled: all of it, or a part while it is cold.
    fn warm_up_factor(&self, now_ms: u64, region: &str) -> f64 {
        let Some(recovered_ms) = self.memory.recovered_ms.get(region) else { return 1.0 };
        let step = (now_ms.saturating_sub(*recovered_ms) / WARM_UP_STEP_MS) as usize;
        if is_active(Mutant::ReturnsAtOnce) {
            1.0
        } else {
            WARM_UP_FACTORS[step.min(WARM_UP_FACTORS.len() - 1)]
        }
    }

    /// Requests a second that a region may have by moves of ours.
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
            // Regions that are new to a row, and those that have gone and have nothing of it.
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

    /// Those whose region is lost or not allowed any more go at once, as far as there is room: first those for whom a second choice
    /// would be worst. What does not fit stays, as a move that brings down the next region helps nobody.
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
            // First as far as the group keeps its main region, so that it does not go back and forth; what finds no room so goes
            // wherever there is room, as it has nothing else.
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
                    // Who is there already stays for a little less.
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

    /// Moves that pay, those that pay most first, within the budget.
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
                    // Who is on the way to its main region goes on; who was moved stays.
                    let may_move = settled
                        || place.region == main
                        || (current.ms > UNUSABLE_DELAY_MS && from.region == main);
                    // Who loses least by it leaves a crowded region, though it gains nothing beyond noise.
                    let worthwhile = gain > (MIN_GAIN.0 * current.ms).max(MIN_GAIN.1)
                        && gain > MIN_GAIN_DEVIATIONS * noise;
                    let worthwhile = (worthwhile || (over_capacity && gain > 0.0))
                        && target.spread <= MAX_SPREAD
                        && may_move;
                    // By its price alone, or as a crowded region has to be left: that is no reason of distance.
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
            // An earlier move of this plan may have made another region its main one.
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

    /// A few requests go where it could be nearer and nobody knows; who was there and is known goes back.
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
            // Learning does not make another region the main one of a group that is on its way.
            if exploring || row.share(&main) <= TOTAL_SHARE / 2 + EXPLORATION_SHARE {
                continue;
            }
            for place in row.places.iter().filter(|place| place.region != main && place.share == 0) {
                let known = plan.known(&group, &place.region);
                let up = plan.snapshot.regions.get(&place.region).is_some_and(|region| region.up);
                let tried = self.explorations.contains_key(&(group.clone(), place.region.clone()));
                let optimistic_ms = known.map_or(0.0, |known| known.ms * (-1.5 * known.spread).exp());
                let imprecise = known.is_none_or(|known| known.spread > MAX_SPREAD);
                // What is surely farther than the present one changes no choice, however unsure it is.
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
