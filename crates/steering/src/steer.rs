//! Which share of which group moves where next: few moves at a time, none into a region without room, and none back and forth.

mod prices;

use crate::group::Group;
use crate::model::{Estimate, Estimates};
use crate::mutants::{Mutant, left_out};
use crate::tables::{MAX_GROUPS, MAX_REGION_NAME, MAX_REGIONS, Place, Row, Tables, WHOLE, Why};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How much of all traffic moves in a second, in thousandths, where nothing is broken.
pub const MOVES_A_SECOND: f64 = 10.0;
/// What was not moved may be made up for later, up to so many seconds.
pub const MOVES_SAVED_SECONDS: f64 = 10.0;
/// A group stays where it was moved for so long: longer than the minute within which nobody is to see it move back.
pub const STAY_MS: u64 = 90_000;
/// Who waits longer than this is not kept anywhere: most of its requests get no answer.
const UNBEARABLE_MS: f64 = 1500.0;
/// A move pays if it saves this part of the delay and this many milliseconds: caches and connections are cold after it.
pub const PAYS: (f64, f64) = (0.08, 1.5);
/// ... and if what it saves is more than so many times its deviation.
const SURE: f64 = 1.0;
/// How much of a region's capacity steering fills.
pub const FULL: f64 = 0.85;
/// The same for those whose region is lost: they have nothing else.
pub const FULL_AT_LOSS: f64 = 0.95;
/// An estimate with more spread is not moved by: it is learned first.
pub const UNSURE: f64 = 0.20;
/// Learning takes so much of a group, in thousandths.
pub const LEARNS: u16 = 20;
/// ... and so much of all traffic.
pub const LEARNS_OF_ALL: f64 = 0.01;
/// What has told nothing in this time is not learned for now.
const LEARNS_FOR_MS: u64 = 60_000;
/// ... for so long.
pub const LEARNS_AGAIN_MS: u64 = 600_000;
/// A region that came back is given so much of its room, a step each [`WARMS_MS`].
pub const WARMTH: [f64; 4] = [0.1, 0.25, 0.5, 1.0];
/// The length of a step.
pub const WARMS_MS: u64 = 30_000;
/// What a group that nobody knows the delay of is counted with when its region is lost, in milliseconds.
const UNKNOWN_MS: f64 = 400.0;
/// Pairs whose learning is remembered: as many as there are groups, a few times over.
pub const MAX_LEARNING: usize = 4 * MAX_GROUPS;

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
pub struct Scene {
    /// The regions, by name; no more than [`MAX_REGIONS`] are looked at.
    pub regions: BTreeMap<String, Region>,
    /// The groups.
    pub demand: BTreeMap<Group, Demand>,
    /// Where a group may be served; anywhere if it is not named, or no region is.
    pub allowed: BTreeMap<Group, BTreeSet<String>>,
}

/// Since when each pair was learned.
pub type Learning = BTreeMap<(Group, String), u64>;

/// What a planner has to know beside the last table. It is agreed, so that another that leads goes on where the last one was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    /// When it planned last, in Unix milliseconds.
    pub last_ms: Option<u64>,
    /// How much may still move, in thousandths of all traffic.
    pub budget: f64,
    /// Regions that are lost.
    pub lost: BTreeSet<String>,
    /// Since when those that came back are warming, in Unix milliseconds.
    pub back_ms: BTreeMap<String, u64>,
    /// What a place in a full region is worth, in milliseconds.
    pub prices: BTreeMap<String, f64>,
}

impl Memory {
    /// Whether it keeps its bounds: what comes from outside may not.
    pub fn is_sound(&self) -> bool {
        let counts = [self.lost.len(), self.back_ms.len(), self.prices.len()];
        let mut names = self.lost.iter().chain(self.back_ms.keys()).chain(self.prices.keys());
        counts.iter().all(|count| *count <= MAX_REGIONS)
            && names.all(|name| name.len() <= MAX_REGION_NAME)
            && (0.0..=MOVES_SAVED_SECONDS * MOVES_A_SECOND).contains(&self.budget)
            && self.prices.values().all(|price| price.is_finite())
    }
}

/// Plans the next table from the last agreed one, and from what is agreed beside that.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    memory: Memory,
    learning: Learning,
}

/// One plan under way.
struct Plan<'a> {
    now_ms: u64,
    scene: &'a Scene,
    rows: BTreeMap<Group, Row>,
    known: BTreeMap<(Group, String), Estimate>,
    base: BTreeMap<String, f64>,
    added: BTreeMap<String, f64>,
    total: f64,
}

impl Plan<'_> {
    fn allowed(&self, group: &Group, region: &str) -> bool {
        let allowed = self.scene.allowed.get(group);
        allowed.is_none_or(|allowed| allowed.is_empty() || allowed.contains(region))
    }

    fn rate(&self, group: &Group) -> f64 {
        self.scene.demand.get(group).map_or(0.0, |demand| demand.rate)
    }

    fn known(&self, group: &Group, region: &str) -> Option<Estimate> {
        self.known.get(&(group.clone(), region.to_string())).copied()
    }

    /// Whether a group may get another main region: it has none yet that it was moved to, or was there for [`STAY_MS`].
    fn settled(&self, row: &Row) -> bool {
        row.moved_ms == 0 || self.now_ms.saturating_sub(row.moved_ms) >= STAY_MS
    }

    /// The largest share that a region may take of a group without becoming its main region, as long as the group has to stay in the
    /// one that it has; the whole group otherwise.
    fn beside_main(&self, group: &Group, region: &str) -> u16 {
        let Some(row) = self.rows.get(group) else { return 0 };
        let serves =
            |main: &&str| self.scene.regions.get(*main).is_some_and(|r| r.up) && self.allowed(group, main);
        match row.main().filter(serves) {
            Some(main) if main != region && !self.settled(row) => {
                (row.share(main) - row.share(region)).saturating_sub(1)
            }
            _ => WHOLE,
        }
    }

    /// What is left of a region, in requests a second. What leaves it in this plan is not counted on: it may not have left when others
    /// come.
    fn room(&self, region: &str, most: f64) -> f64 {
        if left_out(Mutant::RoomIgnored) {
            return f64::MAX;
        }
        most - self.base.get(region).unwrap_or(&0.0) - self.added.get(region).unwrap_or(&0.0)
    }

    /// Moves as much as there is room for, up to a share; returns what was moved.
    fn shift(&mut self, group: &Group, (from, to): (&str, &str), share: u16, most: f64, why: Why) -> u16 {
        let rate = self.rate(group);
        let room =
            (self.room(to, most).max(0.0) * f64::from(WHOLE) / rate.max(1e-9)).min(f64::from(WHOLE)) as u16;
        let Some(row) = self.rows.get_mut(group) else { return 0 };
        let share = share.min(room).min(row.share(from));
        if share == 0 {
            return 0;
        }
        let (main, had) = (row.main().map(String::from), row.share(from));
        for place in &mut row.places {
            if place.region == from {
                place.share -= share;
            } else if place.region == to {
                place.share += share;
            }
            place.delay_ms = self
                .known
                .get(&(group.clone(), place.region.clone()))
                .map(|known| known.ms.min(60_000.0).round() as u16);
        }
        if row.main().map(String::from) != main {
            row.moved_ms = self.now_ms;
        }
        // Guards against "R was lost" of a region that was only learned, and "it moved from R" of a few requests that are back at once: who
        // learns, or has no more than that elsewhere, is where it is for the old reason.
        if why != Why::Learns && had > LEARNS && row.share(to) > LEARNS {
            row.why = why;
            row.before = Some(from.to_string());
        }
        *self.added.entry(to.to_string()).or_default() += f64::from(share) / f64::from(WHOLE) * rate;
        share
    }
}

impl Planner {
    /// One that goes on from what is agreed.
    pub fn of(memory: &Memory, learning: &Learning) -> Planner {
        // A region that came back just before would be full at once, and as much could move again.
        let memory = if left_out(Mutant::WarmingForgotten) {
            Memory { last_ms: memory.last_ms, ..Memory::default() }
        } else {
            memory.clone()
        };
        Planner { memory, learning: learning.clone() }
    }

    /// What has to be agreed with the plan that it made last.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// The next table, with the epoch after the last; `None` if nothing is to change.
    pub fn plan(
        &mut self,
        now_ms: u64,
        scene: &Scene,
        estimates: &Estimates,
        last: &Tables,
    ) -> Option<Tables> {
        let seconds = self.memory.last_ms.map_or(0.0, |last| now_ms.saturating_sub(last) as f64 / 1000.0);
        self.memory.last_ms = Some(now_ms);
        self.memory.budget =
            (self.memory.budget + seconds * MOVES_A_SECOND).min(MOVES_SAVED_SECONDS * MOVES_A_SECOND);
        self.warm(now_ms, scene);
        let mut plan = self.begin(now_ms, scene, estimates, last);
        self.place_lost(&mut plan);
        self.price(&plan);
        self.move_nearer(&mut plan);
        self.learn(&mut plan);
        let next = Tables { epoch: last.epoch + 1, rows: plan.rows };
        (next.rows != last.rows).then_some(next)
    }

    fn warm(&mut self, now_ms: u64, scene: &Scene) {
        let names: BTreeSet<&String> = scene.regions.keys().take(MAX_REGIONS).collect();
        self.memory.lost.retain(|region| names.contains(region));
        self.memory.back_ms.retain(|region, _| names.contains(region));
        for name in names {
            if !scene.regions[name].up {
                self.memory.back_ms.remove(name);
                self.memory.lost.insert(name.clone());
            } else if self.memory.lost.remove(name) {
                self.memory.back_ms.insert(name.clone(), now_ms);
            }
        }
    }

    /// How much of a region may be filled: all of it, or a part while it is cold.
    fn warmth(&self, now_ms: u64, region: &str) -> f64 {
        let Some(back_ms) = self.memory.back_ms.get(region) else { return 1.0 };
        let step = (now_ms.saturating_sub(*back_ms) / WARMS_MS) as usize;
        if left_out(Mutant::ReturnsAtOnce) { 1.0 } else { WARMTH[step.min(WARMTH.len() - 1)] }
    }

    /// Requests a second that a region may have by moves of ours.
    pub fn most(&self, now_ms: u64, name: &str, region: &Region, full: f64) -> f64 {
        if region.up { region.capacity * full * self.warmth(now_ms, name) } else { 0.0 }
    }

    fn begin<'a>(&self, now_ms: u64, scene: &'a Scene, estimates: &'a Estimates, last: &Tables) -> Plan<'a> {
        let mut rows = last.rows.clone();
        let names: Vec<&String> = scene.regions.keys().take(MAX_REGIONS).collect();
        for (group, demand) in &scene.demand {
            let full = rows.len() >= MAX_GROUPS;
            let Some(row) = rows.get_mut(group) else {
                if let Some(home) = demand.home.as_ref().filter(|home| !full && names.contains(home)) {
                    let share = |name: &String| if name == home { WHOLE } else { 0 };
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
        let (mut base, mut known) = (BTreeMap::new(), BTreeMap::new());
        for (group, row) in &rows {
            let rate = scene.demand.get(group).map_or(0.0, |demand| demand.rate);
            for place in &row.places {
                *base.entry(place.region.clone()).or_default() +=
                    f64::from(place.share) / f64::from(WHOLE) * rate;
                if let Some(estimate) = estimates.estimate(now_ms, group, &place.region) {
                    known.insert((group.clone(), place.region.clone()), estimate);
                }
            }
        }
        for (name, region) in &scene.regions {
            let load: &mut f64 = base.entry(name.clone()).or_default();
            *load = load.max(region.load);
        }
        let total = scene.demand.values().map(|demand| demand.rate).sum::<f64>().max(1e-9);
        Plan { now_ms, scene, rows, known, base, added: BTreeMap::new(), total }
    }

    /// Those whose region is lost or not allowed any more go at once, as far as there is room: first those for whom a second choice
    /// would be worst. What does not fit stays, as a move that brings down the next region helps nobody.
    fn place_lost(&self, plan: &mut Plan) {
        let mut homeless: Vec<(f64, Group, String, Vec<String>)> = Vec::new();
        for (group, row) in &plan.rows {
            let up = |region: &str| plan.scene.regions.get(region).is_some_and(|region| region.up);
            let cost = |region: &String| plan.known(group, region).map_or(UNKNOWN_MS, |known| known.ms);
            let mut to: Vec<String> = row.places.iter().map(|place| place.region.clone()).collect();
            to.retain(|region| up(region) && plan.allowed(group, region));
            to.sort_by(|one, two| cost(one).total_cmp(&cost(two)));
            let regret = to.get(1).map_or(0.0, cost) - to.first().map_or(0.0, cost);
            for place in row.places.iter().filter(|place| place.share > 0) {
                if !up(&place.region) || !plan.allowed(group, &place.region) {
                    homeless.push((regret, group.clone(), place.region.clone(), to.clone()));
                }
            }
        }
        homeless.sort_by(|one, two| two.0.total_cmp(&one.0).then_with(|| one.1.cmp(&two.1)));
        for (_, group, from, to) in homeless {
            let why = if plan.allowed(&group, &from) { Why::Lost } else { Why::NotAllowed };
            // First as far as the group keeps its main region, so that it does not go back and forth; what finds no room so goes
            // wherever there is room, as it has nothing else.
            for keeps_main in [true, false] {
                for region in &to {
                    let most = self.most(plan.now_ms, region, &plan.scene.regions[region], FULL_AT_LOSS);
                    let share = if keeps_main { plan.beside_main(&group, region) } else { WHOLE };
                    plan.shift(&group, (&from, region), share, most, why);
                }
            }
        }
    }

    fn price(&mut self, plan: &Plan) {
        let room = plan.scene.regions.iter().take(MAX_REGIONS);
        let room =
            room.map(|(name, region)| (name.as_str(), self.most(plan.now_ms, name, region, FULL))).collect();
        let mut wants: Vec<prices::Wants> = Vec::new();
        for (group, row) in &plan.rows {
            let mut choices = Vec::new();
            for place in &row.places {
                let up = plan.scene.regions.get(&place.region).is_some_and(|region| region.up);
                let known = plan.known(group, &place.region);
                let Some(known) = known.filter(|known| known.spread <= UNSURE || place.share > 0) else {
                    continue;
                };
                if up && plan.allowed(group, &place.region) {
                    // Who is there already stays for a little less.
                    let stays = f64::from(place.share) / f64::from(WHOLE);
                    choices.push((place.region.as_str(), known.ms - stays * (PAYS.0 * known.ms + PAYS.1)));
                }
            }
            wants.push(prices::Wants { rate: plan.rate(group), choices });
        }
        self.memory.prices = prices::next(&self.memory.prices, &room, &wants);
    }

    /// Moves that pay, those that pay most first, within the budget.
    fn move_nearer(&mut self, plan: &mut Plan) {
        let mut moves: Vec<(f64, Group, String, String, Why)> = Vec::new();
        let price = |region: &str| self.memory.prices.get(region).copied().unwrap_or(0.0);
        for (group, row) in &plan.rows {
            let Some(main) = row.main() else { continue };
            let settled = plan.settled(row);
            for from in row.places.iter().filter(|place| place.share > 0) {
                let Some(here) = plan.known(group, &from.region) else { continue };
                let up = plan.scene.regions.get(&from.region).is_some_and(|region| region.up);
                let learns = from.region != main && from.share <= LEARNS;
                let crowded = plan.scene.regions.get(&from.region).is_some_and(|region| {
                    self.most(plan.now_ms, &from.region, region, FULL)
                        < *plan.base.get(&from.region).unwrap_or(&0.0)
                });
                if !up || learns {
                    continue;
                }
                let gain = |place: &Place| {
                    let there = plan.known(group, &place.region)?;
                    let region = plan.scene.regions.get(&place.region)?;
                    if place.region == from.region || !region.up || !plan.allowed(group, &place.region) {
                        return None;
                    }
                    let gain = here.ms + price(&from.region) - there.ms - price(&place.region);
                    let noise = (here.ms * here.spread).hypot(there.ms * there.spread);
                    // Who is on the way to its main region goes on; who was moved stays.
                    let may =
                        settled || place.region == main || (here.ms > UNBEARABLE_MS && from.region == main);
                    // Who loses least by it leaves a crowded region, though it gains nothing beyond noise.
                    let pays = gain > (PAYS.0 * here.ms).max(PAYS.1) && gain > SURE * noise;
                    let pays = (pays || (crowded && gain > 0.0)) && there.spread <= UNSURE && may;
                    // By its price alone, or as a crowded region has to be left: that is no reason of distance.
                    let saves = here.ms - there.ms;
                    let nearer = saves > (PAYS.0 * here.ms).max(PAYS.1) && saves > SURE * noise;
                    let why = if nearer { Why::Nearer } else { Why::Room };
                    let easy = left_out(Mutant::NoHysteresis) && gain > 0.0;
                    (pays || easy)
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
            let unbearable = plan.known(&group, &from).is_some_and(|here| here.ms > UNBEARABLE_MS);
            if !settled && row.main() != Some(&to) && !(unbearable && row.main() == Some(&from)) {
                continue;
            }
            let part = plan.rate(&group) / plan.total;
            let share = (self.memory.budget / part.max(1e-9)).clamp(0.0, f64::from(WHOLE)) as u16;
            let share = if left_out(Mutant::StepBoundIgnored) { WHOLE } else { share };
            let most = self.most(plan.now_ms, &to, &plan.scene.regions[&to], FULL);
            let moved = plan.shift(&group, (&from, &to), share, most, why);
            self.memory.budget = (self.memory.budget - f64::from(moved) * part).max(0.0);
        }
    }

    /// A few requests go where it could be nearer and nobody knows; who was there and is known goes back.
    fn learn(&mut self, plan: &mut Plan) {
        self.learning.retain(|_, since| plan.now_ms.saturating_sub(*since) < LEARNS_AGAIN_MS);
        let (mut spent, mut asks) = (0.0, Vec::new());
        for (group, row) in plan.rows.clone() {
            let Some(main) = row.main().map(String::from) else { continue };
            let part = plan.rate(&group) / plan.total;
            let here = plan.known(&group, &main).map_or(UNKNOWN_MS, |known| known.ms);
            let mut learns = false;
            for place in row
                .places
                .iter()
                .filter(|place| place.region != main && place.share > 0 && place.share <= LEARNS)
            {
                let key = (group.clone(), place.region.clone());
                let since = *self.learning.entry(key).or_insert(plan.now_ms);
                let known = plan.known(&group, &place.region);
                let sure = known.is_some_and(|known| known.spread <= UNSURE / 2.0 && known.measured);
                if sure || plan.now_ms.saturating_sub(since) > LEARNS_FOR_MS {
                    let Some(region) = plan.scene.regions.get(&main) else { continue };
                    let most = self.most(plan.now_ms, &main, region, FULL_AT_LOSS);
                    plan.shift(&group, (&place.region, &main), place.share, most, Why::Learns);
                }
                learns = true;
                spent += f64::from(place.share) / f64::from(WHOLE) * part;
            }
            // Learning does not make another region the main one of a group that is on its way.
            if learns || row.share(&main) <= WHOLE / 2 + LEARNS {
                continue;
            }
            for place in row.places.iter().filter(|place| place.region != main && place.share == 0) {
                let known = plan.known(&group, &place.region);
                let up = plan.scene.regions.get(&place.region).is_some_and(|region| region.up);
                let again = self.learning.contains_key(&(group.clone(), place.region.clone()));
                let could_be = known.map_or(0.0, |known| known.ms * (-1.5 * known.spread).exp());
                let unsure = known.is_none_or(|known| known.spread > UNSURE);
                // What is surely farther than the present one changes no choice, however unsure it is.
                if up
                    && !again
                    && unsure
                    && could_be < here * (1.0 - PAYS.0)
                    && plan.allowed(&group, &place.region)
                {
                    asks.push(((here - could_be) * part, group.clone(), main.clone(), place.region.clone()));
                }
            }
        }
        asks.sort_by(|one, two| {
            two.0.total_cmp(&one.0).then_with(|| (&one.1, &one.3).cmp(&(&two.1, &two.3)))
        });
        let mut asked = BTreeSet::new();
        for (_, group, from, to) in asks {
            let cost = plan.rate(&group) / plan.total * f64::from(LEARNS) / f64::from(WHOLE);
            if spent + cost > LEARNS_OF_ALL || self.learning.len() >= MAX_LEARNING || asked.contains(&group) {
                continue;
            }
            let most = self.most(plan.now_ms, &to, &plan.scene.regions[&to], FULL);
            if plan.room(&to, most) < cost * plan.total {
                continue;
            }
            if plan.shift(&group, (&from, &to), LEARNS, most, Why::Learns) > 0 {
                spent += cost;
                self.learning.insert((group.clone(), to), plan.now_ms);
                asked.insert(group);
            }
        }
    }
}
