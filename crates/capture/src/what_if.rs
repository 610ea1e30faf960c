//! Replays recorded events with other settings, or in another build, and counts the actions. The replay is
//! open loop: later events are consequences of the original decisions, so only the start of a difference is
//! reliable.

use crate::reader::Part;
use crate::record::{Record, Round};
use jaspershunt::{Action, Controller, DependencyModel, Event, Settings};
use std::collections::BTreeMap;
use std::fmt;

/// Settings to override.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overrides {
    /// Number of cores.
    pub cores: Option<u32>,
    /// Memory, in kilobytes.
    pub memory_kb: Option<f64>,
    /// Running requests per core beyond which the server fails.
    pub crowd_multiple: Option<f64>,
    /// The nodo's share of the concurrent calls that the shared dependency sustains.
    pub fair_calls: Option<f64>,
}

impl Overrides {
    /// Returns the settings with the overrides applied.
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

/// The result of a replay with other settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WhatIf {
    /// Rounds replayed.
    pub rounds: u64,
    /// The first round whose actions differ, and its time from the first round in seconds.
    pub diverges_at: Option<(u64, f64)>,
    /// The number of actions by name: in the capture and in the replay.
    pub action_counts: BTreeMap<&'static str, (u64, u64)>,
}

impl fmt::Display for WhatIf {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "open loop: the recorded events are consequences of the original decisions, not of these"
        )?;
        match self.diverges_at {
            Some((round, at)) => writeln!(
                f,
                "{} rounds; the decisions diverge at round {round}, {at:.3} s after the start",
                self.rounds
            )?,
            None => writeln!(f, "{} rounds; all decisions are identical", self.rounds)?,
        }
        writeln!(f, "{:<12} {:>9} {:>9} {:>9}", "asked for", "then", "now", "")?;
        for (what, (then, now)) in &self.action_counts {
            // The casts are exact for any count that fits in a file.
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

/// Replays a capture through the current decision code with overridden settings.
pub fn what_if(parts: &[Part], overrides: &Overrides) -> WhatIf {
    let mut result = WhatIf::default();
    let (mut module, mut settings, mut began): (Option<Controller>, Option<Settings>, Option<f64>) =
        (None, None, None);
    // Applied as an event of the first round, so that the clock does not advance for it.
    let mut pending_settings = None;
    for part in parts {
        let Part::Block { records, .. } = part else {
            module = None;
            continue;
        };
        for record in records {
            match record {
                Record::Header(header) => settings = Some(overrides.apply(&header.settings)),
                Record::Gap { .. } => module = None,
                // A running replay continues, since its state has diverged from the capture.
                Record::Snapshot(state) if module.is_none() => {
                    module = Controller::load(state).ok();
                    pending_settings = settings.clone().filter(|_| *overrides != Overrides::default());
                }
                Record::Snapshot(_) | Record::AuxiliaryStates(_) | Record::AuxiliarySteps(_) => {}
                Record::Round(round) => {
                    if let Some(module) = &mut module {
                        let from = *began.get_or_insert(round.now);
                        run(module, round, (pending_settings.take(), overrides), from, &mut result);
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
    (new_settings, overrides): (Option<Settings>, &Overrides),
    from: f64,
    result: &mut WhatIf,
) {
    let other = |event: &Event| match event {
        Event::Settings(settings) => Event::Settings(Box::new(overrides.apply(settings))),
        event => event.clone(),
    };
    let first = new_settings.map(|settings| Event::Settings(Box::new(settings)));
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
