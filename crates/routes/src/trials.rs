//! Trials by a seed: nodos that serve, tell, are cut off and come back, words that are lost, late or doubled, and several that lead at
//! once with clocks that differ. What the part sums up is held against a ledger of what was really seen and heard.

use crate::edit::{Change, Edit, EditId};
use crate::merge::Reason;
use crate::part::{End, Entry, NAME, Outcome, Routes, Seen};
use crate::soak::Dice;
use crate::stage::{self, Counts, Ended, LEAST_JUDGED, LONGEST_TRIAL_MS, SHORTEST_TRIAL_MS, Tally, Why};
use crate::table::{Field, Kind, Table, Thing, Value, WHOLE};
use jaspershunt_fleet::parts::{Part, ReplicatedState};
use jaspershunt_fleet::{Entry as OfFleet, Holder, Outcome as OfAgreed};
use std::collections::BTreeMap;

/// Between two looks at all of it.
const STEP_MS: u64 = 5_000;
/// When the trial begins.
const BEGIN_MS: u64 = 1_000_000;
/// Of a thousand requests, those that fail and those that are late without the table on trial.
const USUAL: [u64; 2] = [10, 10];
/// The same for what a bad table makes worse.
const BAD: u64 = 100;

/// What the table on trial makes worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Truth {
    /// Nothing.
    Good,
    /// More fail.
    Fails,
    /// More are late.
    Late,
}

/// How trials ended.
#[derive(Clone, Debug, Default)]
pub struct Tried {
    /// By what the table was like, and why it went back, if it did.
    pub ends: BTreeMap<(Truth, Option<Why>), u64>,
    /// The first seed that failed, and how.
    pub first: Option<(u64, String)>,
}

struct Nodo {
    start: Holder,
    tally: Tally,
    /// Requests in a step.
    rate: u64,
    /// Its requests are counted, its words do not come through.
    cut: bool,
    /// The most that came through of this start while it was in the fleet.
    heard: Option<Counts>,
}

struct World {
    agreed: ReplicatedState,
    nodos: Vec<Nodo>,
    /// Words on the way, with when they come.
    way: Vec<(u64, Entry)>,
}

fn routes(agreed: &ReplicatedState) -> Result<&Routes, String> {
    let part = agreed.part(NAME).and_then(|part| part.as_any().downcast_ref());
    part.ok_or_else(|| "no routes".to_string())
}

fn say(agreed: &mut ReplicatedState, entry: &Entry) -> Option<Outcome> {
    match agreed.apply(&OfFleet::Part { part: NAME.to_string(), bytes: entry.to_bytes() }) {
        OfAgreed::Part(bytes) => Outcome::from_bytes(&bytes),
        _ => None,
    }
}

impl World {
    fn new(dice: &mut Dice) -> Result<World, String> {
        let mut table = Table::default();
        let padron = Thing::new(Kind::Dependency, "padron");
        table.things.insert(padron.clone(), [(Field::Budget, Value::Number(10))].into());
        let routes = Routes::new(table).ok_or("the table is not valid")?;
        let mut agreed = ReplicatedState::new(vec![Box::new(routes)]);
        let rates = [0, 1, 10, 60];
        let nodos: Vec<Nodo> = (0..3 + dice.below(7))
            .map(|n| Nodo {
                start: Holder::new(&format!("nodo-{}", n + 100 * dice.below(100)), 1),
                tally: Tally::default(),
                rate: rates[dice.below(4) as usize],
                cut: false,
                heard: None,
            })
            .collect();
        for nodo in &nodos {
            agreed.apply(&OfFleet::Enrol { holder: nodo.start.clone() });
        }
        let value = Value::Number(12);
        let edit = Edit {
            id: EditId { team: "brio".into(), number: 1 },
            base: 0,
            reason: "a try".into(),
            changes: vec![Change::Set { thing: padron, field: Field::Budget, value }],
        };
        say(&mut agreed, &Entry::Edit(edit));
        let names = agreed.fleet.members().map(|(name, _)| name);
        let permille = stage::share(names, 100 + 100 * dice.below(5) as u32);
        if permille == WHOLE {
            return Err("all at once".to_string());
        }
        say(&mut agreed, &Entry::Publish { permille, now_ms: BEGIN_MS });
        Ok(World { agreed, nodos, way: Vec::new() })
    }

    /// Requests are served, and told of.
    fn serve(&mut self, now_ms: u64, truth: Truth, dice: &mut Dice) -> Result<(), String> {
        for nodo in &mut self.nodos {
            let routes = routes(&self.agreed)?;
            let seen = Seen::from_bytes(&routes.view_for(&nodo.start)).ok_or("nothing is shown")?;
            let (of, table) = (if seen.on_trial { truth } else { Truth::Good }, seen.snapshot(0));
            let [mut fails, mut late] = USUAL;
            match of {
                Truth::Good => {}
                Truth::Fails => fails = BAD,
                Truth::Late => late = BAD,
            }
            for _ in 0..dice.below(2 * nodo.rate + 1) {
                let rolled = dice.below(1000);
                let how = if rolled < fails {
                    Ended::Failed
                } else if rolled < fails + late {
                    Ended::Slow
                } else {
                    Ended::InTime
                };
                nodo.tally.ended(&table, how);
            }
            let Some(trial) = table.trial else { continue };
            let Some((revision, counts)) = nodo.tally.of(trial) else { continue };
            // One in thirty words is of a table that the start does not use.
            let odd = dice.below(30) == 0;
            let revision = if odd && revision > 0 { revision - 1 } else { revision + u64::from(odd) };
            let told = Entry::Told { by: nodo.start.clone(), trial, revision, counts };
            for _ in 0..[0, 1, 1, 1, 2][dice.below(5) as usize] {
                if !nodo.cut {
                    self.way.push((now_ms + STEP_MS * dice.below(4), told.clone()));
                }
            }
        }
        Ok(())
    }

    /// Words come, those that come together in any order.
    fn hear(&mut self, now_ms: u64, dice: &mut Dice) {
        let (mut due, rest): (Vec<_>, Vec<_>) = self.way.drain(..).partition(|(at, _)| *at <= now_ms);
        self.way = rest;
        while !due.is_empty() {
            let (_, entry) = due.swap_remove(dice.below(due.len() as u64) as usize);
            say(&mut self.agreed, &entry);
            let Entry::Told { by, trial, revision, counts } = entry else { continue };
            let Some(nodo) = self.nodos.iter_mut().find(|nodo| nodo.start == by) else { continue };
            let real = nodo.tally.of(trial).is_some_and(|(uses, _)| uses == revision);
            if real && self.agreed.fleet.is_present(&by) {
                let heard = nodo.heard.get_or_insert_with(Counts::default);
                *heard = if heard.requests > counts.requests { *heard } else { counts };
            }
        }
    }

    /// Nodos are cut off, are taken for lost, come back, or start again.
    fn part(&mut self, dice: &mut Dice) {
        let at = dice.below(self.nodos.len() as u64) as usize;
        let nodo = &mut self.nodos[at];
        match (nodo.cut, dice.below(8)) {
            (false, 0) => nodo.cut = true,
            (true, 0..4) if self.agreed.fleet.is_present(&nodo.start) => {
                self.agreed.apply(&OfFleet::Gone { holder: nodo.start.clone() });
                nodo.heard = None;
            }
            (true, 4..6) => {
                nodo.cut = false;
                if dice.below(2) == 0 {
                    let next = nodo.start.incarnation + 1;
                    nodo.start = Holder::new(&nodo.start.member, next);
                    (nodo.tally, nodo.heard) = (Tally::default(), None);
                }
                self.agreed.apply(&OfFleet::Enrol { holder: nodo.start.clone() });
            }
            _ => {}
        }
    }

    /// What was heard of starts that are there, without the table and with it.
    fn ledger(&self, permille: u32) -> [Counts; 2] {
        let sum = |with: bool| {
            let side = self.nodos.iter().filter(|nodo| stage::in_stage(&nodo.start.member, permille) == with);
            side.filter_map(|nodo| nodo.heard).fold(Counts::default(), |sum, heard| sum.and(&heard))
        };
        [sum(false), sum(true)]
    }
}

/// One trial; what is wrong with it, if anything is.
pub fn one(seed: u64, tried: &mut Tried) -> Option<String> {
    let mut dice = Dice::new(seed);
    let truth = [Truth::Good, Truth::Fails, Truth::Late][dice.below(3) as usize];
    match run(&mut dice, truth) {
        Ok(why) => {
            *tried.ends.entry((truth, why)).or_default() += 1;
            None
        }
        Err(what) => Some(what),
    }
}

fn run(dice: &mut Dice, truth: Truth) -> Result<Option<Why>, String> {
    let mut world = World::new(dice)?;
    let mut now_ms = BEGIN_MS;
    let reload = BEGIN_MS + STEP_MS * dice.below(20);
    loop {
        now_ms += STEP_MS;
        world.serve(now_ms, truth, dice)?;
        world.hear(now_ms, dice);
        world.part(dice);
        if now_ms == reload {
            let mut again = Routes::default();
            let saved = routes(&world.agreed)?.save();
            if !again.load(&saved) || again != *routes(&world.agreed)? {
                return Err("what was saved does not go on alike".to_string());
            }
            world.agreed.parts = vec![Box::new(again)];
        }
        let of = routes(&world.agreed)?.on_trial().ok_or("the trial is gone")?;
        let [without, with] = world.ledger(of.permille);
        if (of.without, of.with) != (without, with) {
            return Err(format!("{of:?}, and heard was {without:?} {with:?}"));
        }
        // Several may lead, with clocks of which one is up to a minute behind.
        for _ in 0..1 + dice.below(2) {
            let at = now_ms - 1_000 * dice.below(60).min((now_ms - BEGIN_MS) / 1_000);
            let outcome = say(&mut world.agreed, &Entry::Step { revision: 1, now_ms: at });
            let Some(Outcome::Published(revision)) = outcome else { continue };
            return ended(&world, truth, (without, with), at - BEGIN_MS, revision);
        }
        if now_ms > BEGIN_MS + LONGEST_TRIAL_MS + 120_000 {
            return Err("it is on trial for ever".to_string());
        }
    }
}

/// Whether a trial that ended so ended rightly.
fn ended(
    world: &World,
    truth: Truth,
    (without, with): (Counts, Counts),
    waited_ms: u64,
    revision: u64,
) -> Result<Option<Why>, String> {
    let routes = routes(&world.agreed)?;
    let end = routes.ended(1).next().map(|(_, end)| end.clone());
    let enough = without.requests.min(with.requests) >= LEAST_JUDGED;
    let why = match (&end, revision) {
        (Some(End::Taken(1)), 1) => None,
        (Some(End::Refused(Reason::TakenBack { revision: 1, why, .. })), 2) => Some(*why),
        other => return Err(format!("it ended as {other:?}")),
    };
    let uses = |nodo: &Nodo| Seen::from_bytes(&routes.view_for(&nodo.start)).map(|seen| seen.revision);
    if world.nodos.iter().any(|nodo| uses(nodo) != Some(revision)) {
        return Err("not all use what was decided".to_string());
    }
    match why {
        None if !enough => Err(format!("it goes on by {with}, and {without} without it")),
        None if waited_ms < SHORTEST_TRIAL_MS => Err(format!("it goes on after {waited_ms} ms")),
        None if truth != Truth::Good => Err(format!("{truth:?} goes on: {with}; without it {without}")),
        Some(Why::TooFew) if enough || waited_ms < LONGEST_TRIAL_MS => Err("there was enough".to_string()),
        Some(Why::Failures | Why::Slow) if !enough => Err(format!("it goes back by {with}; {without}")),
        _ => Ok(why),
    }
}

/// Trials by seeds from one on.
pub fn trials(first: u64, cases: u64) -> Tried {
    let mut tried = Tried::default();
    for seed in first..first + cases {
        if let Some(what) = one(seed, &mut tried) {
            tried.first = Some((seed, what));
            break;
        }
    }
    tried
}

#[cfg(test)]
mod tests {
    use super::*;

    /// `ROUTES_TRIALS` asks for more.
    #[test]
    fn trials_end_by_what_was_heard_and_bad_tables_never_go_on() {
        let cases = std::env::var("ROUTES_TRIALS").ok().and_then(|cases| cases.parse().ok()).unwrap_or(300);
        let tried = trials(1, cases);
        println!("{tried:?}");
        assert_eq!(tried.first, None);
        // Worth something only if all ends are among them.
        for end in [
            (Truth::Good, None),
            (Truth::Good, Some(Why::TooFew)),
            (Truth::Fails, Some(Why::Failures)),
            (Truth::Late, Some(Why::Slow)),
        ] {
            assert!(tried.ends.get(&end).is_some_and(|many| *many > cases / 30), "{end:?}: {tried:?}");
        }
    }

    #[test]
    fn a_start_counts_what_began_in_the_newest_trial() {
        let table =
            |revision, trial| crate::Snapshot::new(revision, false, 0, Table::default()).during(trial);
        let mut tally = Tally::default();
        tally.ended(&table(3, None), Ended::Failed);
        tally.ended(&table(3, Some(4)), Ended::InTime);
        tally.ended(&table(3, Some(4)), Ended::Slow);
        assert_eq!(tally.of(4), Some((3, Counts { requests: 2, failed: 0, slow: 1 })));
        tally.ended(&table(6, Some(6)), Ended::Failed);
        tally.ended(&table(3, Some(4)), Ended::Failed);
        assert_eq!((tally.of(4), tally.of(6).map(|(_, counts)| counts.failed)), (None, Some(1)));
        assert_eq!(tally.of(6).map(|(_, counts)| counts.in_time()), Some(0));
    }

    #[test]
    fn a_share_has_one_nodo_with_the_table_and_one_without_it() {
        for many in 2..40 {
            for salt in 0..20 {
                let names: Vec<String> = (0..many).map(|n| format!("n{n}-{salt}")).collect();
                let names = || names.iter().map(String::as_str);
                let share = stage::share(names(), 100);
                let with = names().filter(|name| stage::in_stage(name, share)).count();
                assert!(with > 0 && with < many, "{with} of {many}");
                let tenth = names().filter(|name| stage::in_stage(name, 100)).count();
                assert!(tenth == 0 || tenth == many || share == 100, "{share}");
            }
        }
        assert_eq!((stage::share(["n1"], 100), stage::share([], 100)), (WHOLE, WHOLE));
    }
}
