//! What a capture holds, in figures.

use crate::reader::Part;
use crate::record::{Header, Record, Round};
use jaspershunt::{Action, Event, Outcome, RequestId, Settings};
use serde::Serialize;
use std::collections::BTreeMap;

/// Callers that are named with their refusals; those with the most.
const MAX_CALLERS: usize = 5;

/// What became of the requests of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Class {
    /// Read.
    pub read: u64,
    /// Runs begun.
    pub runs: u64,
    /// Served.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Over because their callers had gone.
    pub gone: u64,
    /// From the reading to the end of those that were served, in milliseconds: median, 90th and 99th in 100, most.
    pub served_ms: Option<[f64; 4]>,
}

/// What a capture holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The nodo, and the version of its program.
    pub nodo: String,
    /// That version.
    pub version: String,
    /// Unix time of the first round, in seconds, and how long it is to the last.
    pub from_unix: f64,
    /// Seconds from the first round to the last.
    pub seconds: f64,
    /// Blocks, and those that begin with the state.
    pub blocks: u64,
    /// Blocks that begin with the state.
    pub snapshots: u64,
    /// Rounds.
    pub rounds: u64,
    /// Rounds that the capture says it does not have, and in how many places.
    pub missing: u64,
    /// Places where rounds are missing.
    pub gaps: u64,
    /// Places that are torn or spoilt, with error.
    pub spoilt: Vec<String>,
    /// Changes of settings.
    pub changes: u64,
    /// By class.
    pub classes: BTreeMap<String, Class>,
    /// The callers that were refused most, and how often.
    pub refused_callers: Vec<(u64, u64)>,
    /// The most that waited at once, and the most at work, as the events have it.
    pub most_open: u64,
}

#[derive(Default)]
struct Counter {
    summary: Summary,
    settings: Option<Settings>,
    open: BTreeMap<RequestId, (String, u64, f64)>,
    served: BTreeMap<String, Vec<f64>>,
    refused: BTreeMap<u64, u64>,
    first: Option<f64>,
    last: f64,
    epoch: f64,
}

/// Sums a capture up.
pub fn summary(parts: &[Part]) -> Summary {
    let mut counter = Counter::default();
    for part in parts {
        match part {
            Part::Corrupt { offset, length, error } => {
                counter.summary.spoilt.push(format!("{length} bytes at {offset}: {error}"));
                counter.open.clear();
            }
            Part::Block { header, records, .. } => {
                counter.summary.blocks += 1;
                counter.summary.snapshots += u64::from(header.snapshot);
                records.iter().for_each(|record| counter.record(record));
            }
        }
    }
    counter.end()
}

impl Counter {
    fn record(&mut self, record: &Record) {
        match record {
            Record::Header(Header { version, nodo, epoch, settings }) => {
                (self.summary.nodo, self.summary.version) = (nodo.clone(), version.clone());
                self.epoch = *epoch;
                self.settings = Some(settings.clone());
            }
            Record::Snapshot(_) | Record::AuxiliaryStates(_) | Record::AuxiliarySteps(_) => {}
            Record::Gap { rounds } => {
                self.summary.missing += rounds;
                self.summary.gaps += 1;
                self.open.clear();
            }
            Record::Round(round) => self.round(round),
        }
    }

    fn class(&mut self, name: &str) -> &mut Class {
        if !self.summary.classes.contains_key(name) {
            self.summary.classes.insert(name.to_string(), Class::default());
        }
        self.summary.classes.entry(name.to_string()).or_default()
    }

    fn round(&mut self, round: &Round) {
        self.first.get_or_insert(round.now);
        self.last = round.now;
        self.summary.rounds += 1;
        for event in &round.events {
            match event {
                Event::Arrived(request) => {
                    let class = self.settings.as_ref().and_then(|set| set.classes.get(request.class));
                    let name = class.map_or("?", |class| class.name.as_str()).to_string();
                    self.class(&name).read += 1;
                    self.open.insert(request.id, (name, request.caller.0, round.now));
                    self.summary.most_open = self.summary.most_open.max(self.open.len() as u64);
                }
                Event::Ended { id, outcome: Outcome::Done } => {
                    self.finish(*id, |class| class.served += 1, Some(round.now));
                }
                Event::Ended { id, outcome: Outcome::Failed } => {
                    self.finish(*id, |class| class.failed += 1, None)
                }
                Event::Withdrawn { id } => self.finish(*id, |class| class.gone += 1, None),
                Event::Settings(settings) => {
                    self.summary.changes += 1;
                    self.settings = Some((**settings).clone());
                }
                _ => {}
            }
        }
        for action in &round.actions {
            match action {
                Action::Run(id) => {
                    if let Some((name, ..)) = self.open.get(id).cloned() {
                        self.class(&name).runs += 1;
                    }
                }
                Action::Refuse { id, .. } => {
                    if let Some((_, caller, _)) = self.open.get(id) {
                        *self.refused.entry(*caller).or_default() += 1;
                    }
                    self.finish(*id, |class| class.refused += 1, None);
                }
                Action::Fail(id) => self.finish(*id, |class| class.failed += 1, None),
                _ => {}
            }
        }
    }

    fn finish(&mut self, id: RequestId, count: impl FnOnce(&mut Class), served_at: Option<f64>) {
        let Some((name, _, read_at)) = self.open.remove(&id) else { return };
        count(self.class(&name));
        if let Some(at) = served_at {
            self.served.entry(name).or_default().push((at - read_at) * 1000.0);
        }
    }

    fn end(mut self) -> Summary {
        for (name, mut times) in std::mem::take(&mut self.served) {
            times.sort_by(f64::total_cmp);
            // The cast is exact for any number of requests that a file can hold.
            let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
            self.class(&name).served_ms = Some([at(0.5), at(0.9), at(0.99), at(1.0)]);
        }
        let mut callers: Vec<(u64, u64)> = std::mem::take(&mut self.refused).into_iter().collect();
        callers.sort_by_key(|(caller, refused)| (std::cmp::Reverse(*refused), *caller));
        callers.truncate(MAX_CALLERS);
        let first = self.first.unwrap_or(0.0);
        Summary {
            from_unix: self.epoch + first,
            seconds: self.last - first,
            refused_callers: callers,
            ..self.summary
        }
    }
}

#[cfg(test)]
mod tests;
