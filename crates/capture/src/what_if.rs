//! What the decisions would have been with other settings, or in another build: what was told, run against them. It is open
//! loop: what came afterwards came of what was decided then, so that only the beginning of a difference can be trusted.

use crate::reader::Part;
use crate::record::{Record, Round};
use jaspershunt::{Action, Controller, DependencyModel, Event, Settings};
use std::collections::BTreeMap;
use std::fmt;

/// Settings that are to be overrides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Cores.
    pub cores: Option<u32>,
    /// Memory, in kilobytes.
    pub memory_kb: Option<f64>,
    /// Running requests on the cores, for each core, that the server survives.
    pub crowd_multiple: Option<f64>,
    /// Its part of the calls that the dependency survives.
    pub fair_calls: Option<f64>,
}

impl Overrides {
    /// Settings with these in them.
    pub fn apply(&self, settings: &Settings) -> Settings {
        let mut other = settings.clone();
        other.cores = self.cores.unwrap_or(other.cores);
        other.memory_kb = self.memory_kb.unwrap_or(other.memory_kb);
        other.crowd_multiple = self.crowd_multiple.unwrap_or(other.crowd_multiple);
        if let (DependencyModel::Shared { over, .. }, Some(fair_calls)) = (other.below, self.fair_calls) {
            other.below = DependencyModel::Shared { fair_calls, over };
        }
        other
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WhatIf {
    /// Rounds that were run.
    pub rounds: u64,
    /// The first round that asks for something else, and its time from the first, in seconds.
    pub diverges_at: Option<(u64, f64)>,
    /// How often each thing was asked for: then, and now.
    pub action_counts: BTreeMap<&'static str, (u64, u64)>,
}

impl fmt::Display for WhatIf {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "open loop: what was told came of what was decided then, whatever is decided now")?;
        match self.diverges_at {
            Some((round, at)) => {
                writeln!(f, "{} rounds; the decisions part at round {round}, {at:.3} s in", self.rounds)?
            }
            None => writeln!(f, "{} rounds; all decisions are the same", self.rounds)?,
        }
        writeln!(f, "{:<12} {:>9} {:>9} {:>9}", "asked for", "then", "now", "")?;
        for (what, (then, now)) in &self.action_counts {
            // The casts are exact for any count that a file can hold.
            writeln!(f, "{what:<12} {then:>9} {now:>9} {:>+9}", *now as i64 - *then as i64)?;
        }
        Ok(())
    }
}

fn action_name(action: &Action) -> Option<&'static str> {
    Some(match action {
        Action::Run(_) => "run",
        Action::Stop(_) => "stop",
        Action::Refuse { .. } => "refuse",
        Action::Fail(_) => "fail",
        Action::ServeFrom(_) => "serve from",
        Action::Call { .. } => "call",
        Action::SkipCall(_) => "skip call",
        _ => return None,
    })
}

/// Runs what was told against the present decision code with other settings.
pub fn what_if(parts: &[Part], overrides: &Overrides) -> WhatIf {
    let mut result = WhatIf::default();
    let (mut module, mut settings, mut began): (Option<Controller>, Option<Settings>, Option<f64>) =
        (None, None, None);
    // WriteOutcome with the first round, so that the clock does not move for it.
    let mut told = None;
    for part in parts {
        let Part::Block { records, .. } = part else {
            module = None;
            continue;
        };
        for record in records {
            match record {
                Record::Header(header) => settings = Some(overrides.apply(&header.settings)),
                Record::Gap { .. } => module = None,
                // One that runs goes on; its state is not that of the capture any more.
                Record::Snapshot(state) if module.is_none() => {
                    module = Controller::load(state).ok();
                    told = settings.clone().filter(|_| *overrides != Overrides::default());
                }
                Record::Snapshot(_) | Record::AuxiliaryStates(_) | Record::AuxiliarySteps(_) => {}
                Record::Round(round) => {
                    if let Some(module) = &mut module {
                        let from = *began.get_or_insert(round.now);
                        run(module, round, (told.take(), overrides), from, &mut result);
                    }
                }
            }
        }
    }
    result
}

fn run(
    module: &mut Controller,
    round: &Round,
    (told, overrides): (Option<Settings>, &Overrides),
    from: f64,
    result: &mut WhatIf,
) {
    let other = |event: &Event| match event {
        Event::Settings(settings) => Event::Settings(Box::new(overrides.apply(settings))),
        event => event.clone(),
    };
    let first = told.map(|settings| Event::Settings(Box::new(settings)));
    let events: Vec<Event> = first.into_iter().chain(round.events.iter().map(other)).collect();
    let mut actions = Vec::new();
    module.step(round.now, &events, &mut actions);
    result.rounds += 1;
    if result.diverges_at.is_none() && actions != round.actions {
        result.diverges_at = Some((round.number, round.now - from));
    }
    for action in round.actions.iter().filter_map(action_name) {
        result.action_counts.entry(action).or_default().0 += 1;
    }
    for action in actions.iter().filter_map(action_name) {
        result.action_counts.entry(action).or_default().1 += 1;
    }
}

#[cfg(test)]
mod tests;
