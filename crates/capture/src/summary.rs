//! Figures on the content of a capture.

use crate::reader::Part;
use crate::record::{Header, Record, Round};
use jaspershunt::{Action, Event, Outcome, RequestId, Settings};
use serde::Serialize;
use std::collections::BTreeMap;

/// Number of callers listed with their refusals.
const MAX_CALLERS: usize = 5;

/// Outcomes of the requests of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Class {
    /// Requests read.
    pub read: u64,
    /// Runs started.
    pub runs: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Requests withdrawn because their callers were gone.
    pub gone: u64,
    /// Time from reading to the end of served requests, in milliseconds: median, 90th and 99th percentile,
    /// maximum.
    pub served_ms: Option<[f64; 4]>,
}

/// Summary of a capture.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The name of the nodo.
    pub nodo: String,
    /// The version of its program.
    pub version: String,
    /// The Unix time of the first round, in seconds.
    pub from_unix: f64,
    /// The time from the first round to the last, in seconds.
    pub seconds: f64,
    /// Number of blocks.
    pub blocks: u64,
    /// Number of blocks that start with a snapshot.
    pub snapshots: u64,
    /// Number of rounds.
    pub rounds: u64,
    /// Number of rounds recorded as dropped.
    pub missing: u64,
    /// Number of gaps in which rounds were dropped.
    pub gaps: u64,
    /// Corrupt parts, each with the reason.
    pub spoilt: Vec<String>,
    /// Number of settings changes.
    pub changes: u64,
    /// Figures by class name.
    pub classes: BTreeMap<String, Class>,
    /// The callers with the most refusals, each with their number.
    pub refused_callers: Vec<(u64, u64)>,
    /// Maximum number of requests open at once, queued or running.
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

/// Summarizes a capture.
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
            // The cast is exact for any number of requests that fits in a file.
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
