//! Registers are linearizable: every answer is one that a single register could have given, with each
//! operation happening at one moment between its begin and its end. A register is empty at first. Each key is
//! checked by itself, because a history is linearizable if the history of each key is.
//!
//! The search is that of Wing and Gong with Lowe's cache of visited states: which operations have happened,
//! and the register's value. It takes a read that fits at once, because a read changes nothing, and an
//! unknown operation only where the next one can observe it.

mod search;
#[cfg(test)]
mod tests;

use crate::format::{Came, Op, Record, Told, Value};
use crate::verdict::{Figures, Findings, History, MAX_SHOWN, Verdict};
use search::{Event, Kind, SearchResult, search};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Maximum steps of the search for one key, each of which may be cached: about a hundred bytes each.
pub const MAX_STEPS: u64 = 500_000;

/// Checks all registers of a history.
pub fn check(history: &History) -> Verdict {
    check_within(history, MAX_STEPS)
}

/// Like [`check`], with another limit on the steps for a key.
pub fn check_within(history: &History, max_steps: u64) -> Verdict {
    let mut keys: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in &history.records {
        if let Op::Read { key } | Op::Write { key, .. } | Op::CompareAndSet { key, .. } = &record.op {
            keys.entry(key).or_default().push(record);
        }
    }
    let (mut findings, mut figures, mut step_limit_hit) = (Findings::new(history), Figures::default(), None);
    if history.cut.is_some() {
        // If a write is missing, every later read looks wrong.
        return findings.verdict(figures);
    }
    for (key, mut records) in keys {
        figures.keys += 1;
        records.iter().for_each(|record| figures.count(record));
        records.sort_by_key(|record| (record.begin, record.latest_end()));
        let events = events(&records);
        match search(&events, max_steps) {
            (SearchResult::Linearizable, steps) => figures.steps += steps,
            (SearchResult::StepLimit, steps) => {
                step_limit_hit = step_limit_hit.or(Some((key.to_owned(), steps)))
            }
            (SearchResult::None { last_write }, steps) => {
                figures.steps += steps;
                let minimal = minimized(events, max_steps);
                let last_write = last_write.map_or("of an empty register".to_owned(), |at| {
                    format!("that {} wrote", records[at].who)
                });
                let what = format!(
                    "register {key}: no order of its {} operations is valid. The longest partial order ends with the \
                     value {last_write}, and no other operation can follow; {} of them suffice to show it",
                    records.len(),
                    minimal.len()
                );
                // The last events are those that do not fit.
                let shown = minimal.iter().skip(minimal.len().saturating_sub(MAX_SHOWN));
                findings.report(what, shown.map(|event| records[event.record]));
            }
        }
    }
    match (findings.verdict(figures), step_limit_hit) {
        // A violation of one key stands whatever the result for another key.
        (Verdict::Fine(_), Some((key, steps))) => Verdict::TooLong { key, steps },
        (verdict, _) => verdict,
    }
}

/// Assigns a number to each value.
#[derive(Default)]
struct ValueIds(BTreeMap<Value, u32>);

impl ValueIds {
    fn of(&mut self, value: Option<&Value>) -> u32 {
        let Some(value) = value else { return 0 };
        let next = self.0.len() as u32 + 1;
        *self.0.entry(value.clone()).or_insert(next)
    }
}

/// Converts records to events, with values as numbers and 0 for none. Operations that did not happen, and
/// reads without an answer, are left out.
fn events(records: &[&Record]) -> Vec<Event> {
    let mut ids = ValueIds::default();
    let mut of = |value: Option<&Value>| ids.of(value);
    let mut events = Vec::new();
    for (at, record) in records.iter().enumerate() {
        let kind = match (&record.op, &record.came) {
            (_, Came::Failed) => continue,
            (Op::Read { .. }, Came::Ok(Told::Value(value))) => Kind::Read(of(value.as_ref())),
            (Op::Write { value, .. }, _) => Kind::Write(of(Some(value))),
            (Op::CompareAndSet { old, new, .. }, Came::Unknown | Came::Ok(Told::Swapped(true))) => {
                Kind::Swap { old: of(old.as_ref()), new: of(Some(new)) }
            }
            (Op::CompareAndSet { old, .. }, Came::Ok(Told::Swapped(false))) => {
                Kind::NoSwap { old: of(old.as_ref()) }
            }
            _ => continue,
        };
        events.push(Event { kind, begin: record.begin, end: record.latest_end(), record: at });
    }
    events
}

/// Reduces the events to those up to the first violation, and then to those needed for it.
///
/// Only events are removed without which a linearizable history stays linearizable: later ones, reads, and
/// writes whose value is never observed.
fn minimized(mut events: Vec<Event>, max_steps: u64) -> Vec<Event> {
    let is_violation = |events: &[Event]| matches!(search(events, max_steps).0, SearchResult::None { .. });
    let prefix = |events: &[Event], last: u64| -> Vec<Event> {
        let begun = events.iter().filter(|event| event.begin <= last);
        let mut part: Vec<Event> = begun.cloned().collect();
        for event in part.iter_mut().filter(|event| event.end > last) {
            event.end = u64::MAX;
        }
        part.retain(|event| event.end <= last || event.kind.is_write());
        part
    };
    let mut ends: Vec<u64> = events.iter().map(|event| event.end).filter(|end| *end < u64::MAX).collect();
    ends.sort_unstable();
    let first = ends.partition_point(|end| !is_violation(&prefix(&events, *end)));
    if let Some(end) = ends.get(first) {
        events = prefix(&events, *end);
    }
    // Removes large blocks first, then smaller ones.
    let (mut tries, mut size) = (MAX_MINIMIZATION_SEARCHES, events.len().next_power_of_two());
    while size > 0 {
        let mut to = events.len();
        while to > 0 && tries > 0 {
            let from = to.saturating_sub(size);
            let reduced = remove_block(&events, from..to);
            if reduced.len() < events.len() {
                tries -= 1;
                if is_violation(&reduced) {
                    events = reduced;
                }
            }
            to = from;
        }
        size /= 2;
    }
    events
}

/// The events without those of a block that can be removed.
fn remove_block(events: &[Event], block: Range<usize>) -> Vec<Event> {
    let reads = |at: &usize| !block.contains(at) || events[*at].kind.is_write();
    let rest: Vec<usize> = (0..events.len()).filter(reads).collect();
    let (mut observed, mut all) = (BTreeSet::new(), false);
    for at in &rest {
        match events[*at].kind {
            Kind::Read(value) | Kind::Swap { old: value, .. } => drop(observed.insert(value)),
            Kind::NoSwap { .. } => all = true,
            Kind::Write(_) => {}
        }
    }
    let needed = |at: &usize| match events[*at].kind {
        Kind::Write(value) => !block.contains(at) || all || observed.contains(&value),
        _ => true,
    };
    rest.into_iter().filter(needed).map(|at| events[at].clone()).collect()
}

/// Maximum searches to reduce a finding: some seconds in all.
const MAX_MINIMIZATION_SEARCHES: usize = 200;
