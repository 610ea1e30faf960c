//! Simulation of trials with a seeded rng: nodos that serve, report, are cut off and return; reports that
//! are lost, late or repeated; several leaders with differing clocks. The sums of the replicated state are
//! compared with the counts that were really received.

use crate::edit::{Change, Edit, EditId};
use crate::merge::RefusalReason;
use crate::part::{Entry, FinalState, MemberView, NAME, Outcome, Routes};
use crate::soak::SeededRng;
use crate::table::{FULL_SHARE_PERMILLE, Field, Kind, Table, Thing, Value};
use crate::trial::{
    self, Counts, MAX_TRIAL_MS, MIN_REQUESTS_PER_SIDE, MIN_TRIAL_MS, RequestEnd, RollbackReason, Tally,
};
use jaspershunt_fleet::parts::{Part, ReplicatedState};
use jaspershunt_fleet::{Entry as OfFleet, Holder, Outcome as OfAgreed};
use std::collections::BTreeMap;

/// Time between two steps.
const STEP_MS: u64 = 5_000;
/// Start of the trial.
const BEGIN_MS: u64 = 1_000_000;
/// Failed and late requests in a thousand without the table on trial.
const BASELINE_PERMILLE: [u64; 2] = [10, 10];
/// Failed or late requests in a thousand with a bad table.
const DEGRADED_PERMILLE: u64 = 100;

/// The quality of the table on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TableQuality {
    /// Does no worse.
    Good,
    /// More requests fail.
    Fails,
    /// More requests are late.
    Late,
}

/// How the simulated trials ended.
#[derive(Clone, Debug, Default)]
pub struct Tried {
    /// Number of trials by the quality of the table and the reason for the rollback, if any.
    pub ends: BTreeMap<(TableQuality, Option<RollbackReason>), u64>,
    /// The first seed that failed, with the reason.
    pub first: Option<(u64, String)>,
}

struct Nodo {
    holder: Holder,
    tally: Tally,
    /// Mean number of requests in a step.
    rate: u64,
    /// Whether it is cut off: it still counts requests, but its reports are lost.
    cut_off: bool,
    /// The highest counts received from this incarnation while it was in the fleet.
    received: Option<Counts>,
}

struct Simulation {
    agreed: ReplicatedState,
    nodos: Vec<Nodo>,
    /// Reports in transit, with the time of their arrival.
    in_transit: Vec<(u64, Entry)>,
}

fn routes(agreed: &ReplicatedState) -> Result<&Routes, String> {
    let part = agreed.part(NAME).and_then(|part| part.as_any().downcast_ref());
    part.ok_or_else(|| "the replicated state has no route table".to_string())
}

fn propose(agreed: &mut ReplicatedState, entry: &Entry) -> Option<Outcome> {
    match agreed.apply(&OfFleet::Part { part: NAME.to_string(), bytes: entry.to_bytes() }) {
        OfAgreed::Part(bytes) => Outcome::from_bytes(&bytes),
        _ => None,
    }
}

impl Simulation {
    fn new(rng: &mut SeededRng) -> Result<Simulation, String> {
        let mut table = Table::default();
        let padron = Thing::new(Kind::Dependency, "padron");
        table.things.insert(padron.clone(), [(Field::Budget, Value::Number(10))].into());
        let routes = Routes::new(table).ok_or("the table is not valid")?;
        let mut agreed = ReplicatedState::new(vec![Box::new(routes)]);
        let rates = [0, 1, 10, 60];
        let nodos: Vec<Nodo> = (0..3 + rng.below(7))
            .map(|n| Nodo {
                holder: Holder::new(&format!("nodo-{}", n + 100 * rng.below(100)), 1),
                tally: Tally::default(),
                rate: rates[rng.below(4) as usize],
                cut_off: false,
                received: None,
            })
            .collect();
        for nodo in &nodos {
            agreed.apply(&OfFleet::Enrol { holder: nodo.holder.clone() });
        }
        let value = Value::Number(12);
        let edit = Edit {
            id: EditId { team: "brio".into(), number: 1 },
            base: 0,
            reason: "a try".into(),
            changes: vec![Change::Set { thing: padron, field: Field::Budget, value }],
        };
        propose(&mut agreed, &Entry::Edit(edit));
        let names = agreed.fleet.members().map(|(name, _)| name);
        let permille = trial::trial_permille(names, 100 + 100 * rng.below(5) as u32);
        if permille == FULL_SHARE_PERMILLE {
            return Err("the table is published to all nodos at once".to_string());
        }
        propose(&mut agreed, &Entry::Publish { permille, now_ms: BEGIN_MS });
        Ok(Simulation { agreed, nodos, in_transit: Vec::new() })
    }

    /// Serves requests and sends reports.
    fn serve(&mut self, now_ms: u64, quality: TableQuality, rng: &mut SeededRng) -> Result<(), String> {
        for nodo in &mut self.nodos {
            let routes = routes(&self.agreed)?;
            let view =
                MemberView::from_bytes(&routes.view_for(&nodo.holder)).ok_or("the view cannot be decoded")?;
            let (quality_here, table) =
                (if view.on_trial { quality } else { TableQuality::Good }, view.snapshot(0));
            let [mut fails, mut late] = BASELINE_PERMILLE;
            match quality_here {
                TableQuality::Good => {}
                TableQuality::Fails => fails = DEGRADED_PERMILLE,
                TableQuality::Late => late = DEGRADED_PERMILLE,
            }
            for _ in 0..rng.below(2 * nodo.rate + 1) {
                let roll = rng.below(1000);
                let end = if roll < fails {
                    RequestEnd::Failed
                } else if roll < fails + late {
                    RequestEnd::Slow
                } else {
                    RequestEnd::InTime
                };
                nodo.tally.record(&table, end);
            }
            let Some(trial) = table.trial else { continue };
            let Some((revision, counts)) = nodo.tally.counts_for(trial) else { continue };
            // One in thirty reports is for a table that the nodo does not use.
            let is_wrong = rng.below(30) == 0;
            let revision =
                if is_wrong && revision > 0 { revision - 1 } else { revision + u64::from(is_wrong) };
            let report = Entry::ReportCounts { by: nodo.holder.clone(), trial, revision, counts };
            for _ in 0..[0, 1, 1, 1, 2][rng.below(5) as usize] {
                if !nodo.cut_off {
                    self.in_transit.push((now_ms + STEP_MS * rng.below(4), report.clone()));
                }
            }
        }
        Ok(())
    }

    /// Delivers the reports that are due, in random order.
    fn deliver(&mut self, now_ms: u64, rng: &mut SeededRng) {
        let (mut due, rest): (Vec<_>, Vec<_>) = self.in_transit.drain(..).partition(|(at, _)| *at <= now_ms);
        self.in_transit = rest;
        while !due.is_empty() {
            let (_, entry) = due.swap_remove(rng.below(due.len() as u64) as usize);
            propose(&mut self.agreed, &entry);
            let Entry::ReportCounts { by, trial, revision, counts } = entry else { continue };
            let Some(nodo) = self.nodos.iter_mut().find(|nodo| nodo.holder == by) else { continue };
            let is_genuine = nodo.tally.counts_for(trial).is_some_and(|(uses, _)| uses == revision);
            if is_genuine && self.agreed.fleet.is_present(&by) {
                let received = nodo.received.get_or_insert_with(Counts::default);
                *received = if received.requests > counts.requests { *received } else { counts };
            }
        }
    }

    /// Cuts a nodo off, declares it lost, lets it return, or restarts it.
    fn change_members(&mut self, rng: &mut SeededRng) {
        let at = rng.below(self.nodos.len() as u64) as usize;
        let nodo = &mut self.nodos[at];
        match (nodo.cut_off, rng.below(8)) {
            (false, 0) => nodo.cut_off = true,
            (true, 0..4) if self.agreed.fleet.is_present(&nodo.holder) => {
                self.agreed.apply(&OfFleet::Gone { holder: nodo.holder.clone() });
                nodo.received = None;
            }
            (true, 4..6) => {
                nodo.cut_off = false;
                if rng.below(2) == 0 {
                    let next = nodo.holder.incarnation + 1;
                    nodo.holder = Holder::new(&nodo.holder.member, next);
                    (nodo.tally, nodo.received) = (Tally::default(), None);
                }
                self.agreed.apply(&OfFleet::Enrol { holder: nodo.holder.clone() });
            }
            _ => {}
        }
    }

    /// Sums the counts received from incarnations in the fleet, without and with the table.
    fn expected_counts(&self, permille: u32) -> [Counts; 2] {
        let sum = |with: bool| {
            let side =
                self.nodos.iter().filter(|nodo| trial::in_trial(&nodo.holder.member, permille) == with);
            side.filter_map(|nodo| nodo.received).fold(Counts::default(), |sum, received| sum.plus(&received))
        };
        [sum(false), sum(true)]
    }
}

/// Runs one trial; returns what is wrong, if anything.
pub fn run_seed(seed: u64, tried: &mut Tried) -> Option<String> {
    let mut rng = SeededRng::new(seed);
    let quality = [TableQuality::Good, TableQuality::Fails, TableQuality::Late][rng.below(3) as usize];
    match run(&mut rng, quality) {
        Ok(why) => {
            *tried.ends.entry((quality, why)).or_default() += 1;
            None
        }
        Err(what) => Some(what),
    }
}

fn run(rng: &mut SeededRng, quality: TableQuality) -> Result<Option<RollbackReason>, String> {
    let mut simulation = Simulation::new(rng)?;
    let mut now_ms = BEGIN_MS;
    let reload = BEGIN_MS + STEP_MS * rng.below(20);
    loop {
        now_ms += STEP_MS;
        simulation.serve(now_ms, quality, rng)?;
        simulation.deliver(now_ms, rng);
        simulation.change_members(rng);
        if now_ms == reload {
            let mut loaded = Routes::default();
            let saved = routes(&simulation.agreed)?.save();
            if !loaded.load(&saved) || loaded != *routes(&simulation.agreed)? {
                return Err("the loaded state differs from the saved one".to_string());
            }
            simulation.agreed.parts = vec![Box::new(loaded)];
        }
        let status = routes(&simulation.agreed)?.trial_status().ok_or("there is no trial")?;
        let [without, with] = simulation.expected_counts(status.permille);
        if (status.without, status.with) != (without, with) {
            return Err(format!("{status:?}, but received were {without:?} {with:?}"));
        }
        // There may be two leaders, each with a clock up to a minute behind.
        for _ in 0..1 + rng.below(2) {
            let at = now_ms - 1_000 * rng.below(60).min((now_ms - BEGIN_MS) / 1_000);
            let outcome = propose(&mut simulation.agreed, &Entry::JudgeTrial { revision: 1, now_ms: at });
            let Some(Outcome::Published(revision)) = outcome else { continue };
            return check_end(&simulation, quality, (without, with), at - BEGIN_MS, revision);
        }
        if now_ms > BEGIN_MS + MAX_TRIAL_MS + 120_000 {
            return Err("the trial does not end".to_string());
        }
    }
}

/// Checks the end of a trial.
fn check_end(
    simulation: &Simulation,
    quality: TableQuality,
    (without, with): (Counts, Counts),
    waited_ms: u64,
    revision: u64,
) -> Result<Option<RollbackReason>, String> {
    let routes = routes(&simulation.agreed)?;
    let end = routes.ended(1).next().map(|(_, end)| end.clone());
    let enough = without.requests.min(with.requests) >= MIN_REQUESTS_PER_SIDE;
    let why = match (&end, revision) {
        (Some(FinalState::Published(1)), 1) => None,
        (Some(FinalState::Refused(RefusalReason::RolledBack { revision: 1, why, .. })), 2) => Some(*why),
        other => return Err(format!("the trial ended as {other:?}")),
    };
    let revision_of =
        |nodo: &Nodo| MemberView::from_bytes(&routes.view_for(&nodo.holder)).map(|view| view.revision);
    if simulation.nodos.iter().any(|nodo| revision_of(nodo) != Some(revision)) {
        return Err("not all nodos use the decided revision".to_string());
    }
    match why {
        None if !enough => Err(format!("adopted with too few requests: {with}; without it {without}")),
        None if waited_ms < MIN_TRIAL_MS => Err(format!("adopted after only {waited_ms} ms")),
        None if quality != TableQuality::Good => {
            Err(format!("a bad table ({quality:?}) was adopted: {with}; without it {without}"))
        }
        Some(RollbackReason::TooFew) if enough || waited_ms < MAX_TRIAL_MS => {
            Err("rolled back for too few requests, but there were enough or the time was not over"
                .to_string())
        }
        Some(RollbackReason::Failures | RollbackReason::Slow) if !enough => {
            Err(format!("rolled back with too few requests: {with}; without it {without}"))
        }
        _ => Ok(why),
    }
}

/// Runs trials with consecutive seeds until one fails.
pub fn run_seeds(first: u64, cases: u64) -> Tried {
    let mut tried = Tried::default();
    for seed in first..first + cases {
        if let Some(what) = run_seed(seed, &mut tried) {
            tried.first = Some((seed, what));
            break;
        }
    }
    tried
}

#[cfg(test)]
mod tests {
    use super::*;

    /// `ROUTES_TRIALS` sets the number of cases.
    #[test]
    fn trials_end_by_the_received_counts_and_bad_tables_are_never_adopted() {
        let cases = std::env::var("ROUTES_TRIALS").ok().and_then(|cases| cases.parse().ok()).unwrap_or(300);
        let tried = run_seeds(1, cases);
        println!("{tried:?}");
        assert_eq!(tried.first, None);
        // The test is only meaningful if all outcomes occur.
        for end in [
            (TableQuality::Good, None),
            (TableQuality::Good, Some(RollbackReason::TooFew)),
            (TableQuality::Fails, Some(RollbackReason::Failures)),
            (TableQuality::Late, Some(RollbackReason::Slow)),
        ] {
            assert!(tried.ends.get(&end).is_some_and(|many| *many > cases / 30), "{end:?}: {tried:?}");
        }
    }

    #[test]
    fn a_tally_counts_requests_that_began_in_the_newest_trial() {
        let table =
            |revision, trial| crate::Snapshot::new(revision, false, 0, Table::default()).with_trial(trial);
        let mut tally = Tally::default();
        tally.record(&table(3, None), RequestEnd::Failed);
        tally.record(&table(3, Some(4)), RequestEnd::InTime);
        tally.record(&table(3, Some(4)), RequestEnd::Slow);
        assert_eq!(tally.counts_for(4), Some((3, Counts { requests: 2, failed: 0, slow: 1 })));
        tally.record(&table(6, Some(6)), RequestEnd::Failed);
        tally.record(&table(3, Some(4)), RequestEnd::Failed);
        assert_eq!(
            (tally.counts_for(4), tally.counts_for(6).map(|(_, counts)| counts.failed)),
            (None, Some(1))
        );
        assert_eq!(tally.counts_for(6).map(|(_, counts)| counts.in_time()), Some(0));
    }

    #[test]
    fn a_trial_has_a_nodo_with_the_table_and_one_without_it() {
        for many in 2..40 {
            for salt in 0..20 {
                let names: Vec<String> = (0..many).map(|n| format!("n{n}-{salt}")).collect();
                let names = || names.iter().map(String::as_str);
                let share = trial::trial_permille(names(), 100);
                let with = names().filter(|name| trial::in_trial(name, share)).count();
                assert!(with > 0 && with < many, "{with} of {many}");
                let tenth = names().filter(|name| trial::in_trial(name, 100)).count();
                assert!(tenth == 0 || tenth == many || share == 100, "{share}");
            }
        }
        assert_eq!(
            (trial::trial_permille(["n1"], 100), trial::trial_permille([], 100)),
            (FULL_SHARE_PERMILLE, FULL_SHARE_PERMILLE)
        );
    }
}
