//! Searches an order in which the operations of one register can have happened.

use std::collections::BTreeSet;

/// What an operation did. Values are numbers, 0 for an empty register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Read(u32),
    Write(u32),
    Swap { old: u32, new: u32 },
    NoSwap { old: u32 },
}

impl Kind {
    /// The register's value after the operation, if it can happen at this value.
    fn apply(&self, current: u32) -> Option<u32> {
        match *self {
            Kind::Read(value) => (current == value).then_some(current),
            Kind::Write(value) => Some(value),
            Kind::Swap { old, new } => (current == old).then_some(new),
            Kind::NoSwap { old } => (current != old).then_some(current),
        }
    }

    pub(super) fn is_write(&self) -> bool {
        matches!(self, Kind::Write(_) | Kind::Swap { .. })
    }
}

/// An operation; one without an end may never happen.
#[derive(Clone, Debug)]
pub(super) struct Event {
    pub kind: Kind,
    pub begin: u64,
    pub end: u64,
    /// Its index among the records.
    pub record: usize,
}

/// The result of a search.
#[derive(Debug, PartialEq)]
pub(super) enum SearchResult {
    /// There is a valid order.
    Linearizable,
    /// There is no valid order; `last_write` is the record that wrote last in the longest partial order.
    None { last_write: Option<usize> },
    /// The limit of steps was reached.
    StepLimit,
}

/// A search state: which events have happened.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Default)]
struct State {
    /// All certain events before this index have happened,
    next: usize,
    /// and also these certain events after it,
    done_later: Vec<usize>,
    /// and these events that may never happen.
    done_optional: Vec<usize>,
    value: u32,
}

/// Searches an order of events that are sorted by their begin; also returns the number of steps.
pub(super) fn search(events: &[Event], max_steps: u64) -> (SearchResult, u64) {
    let (certain, optional): (Vec<&Event>, Vec<&Event>) =
        events.iter().partition(|event| event.end < u64::MAX);
    // Events that may never happen, and that observe the register's value if they do.
    let swaps: Vec<usize> =
        (0..optional.len()).filter(|at| matches!(optional[*at].kind, Kind::Swap { .. })).collect();
    // A state, with the record of the last write that led to it.
    let mut stack = vec![(State::default(), None)];
    let mut visited = BTreeSet::new();
    let (mut steps, mut longest, mut last_write) = (0, 0, None);
    while let Some((state, last_writer)) = stack.pop() {
        if state.next == certain.len() {
            return (SearchResult::Linearizable, steps);
        }
        if !visited.insert(state.clone()) {
            continue;
        }
        if steps == max_steps {
            return (SearchResult::StepLimit, steps);
        }
        steps += 1;
        if state.next + state.done_later.len() >= longest {
            (longest, last_write) = (state.next + state.done_later.len(), last_writer);
        }
        let (candidates, horizon) = candidates(&certain, &state);
        let fits = |at: &&usize| certain[**at].kind.apply(state.value).is_some();
        // Guards against searching all orders of reads: a read that fits can come next in any valid order.
        if let Some(at) = candidates.iter().filter(fits).find(|at| !certain[**at].kind.is_write()) {
            stack.push((after_event(&certain, &state, *at, state.value), last_writer));
            continue;
        }
        for (at, event) in optional.iter().enumerate().take_while(|(_, event)| event.begin <= horizon) {
            let Some(value) = event.kind.apply(state.value).filter(|_| !state.done_optional.contains(&at))
            else {
                continue;
            };
            // Guards against searching all subsets of unknown events: a write that is overwritten unobserved
            // need not happen.
            let others = swaps.iter().filter(|other| {
                **other != at && !state.done_optional.contains(other) && optional[**other].begin <= horizon
            });
            let next = candidates.iter().map(|at| certain[*at]).chain(others.map(|other| optional[*other]));
            let observes =
                |that: &Event| !matches!(that.kind, Kind::Write(_)) && that.kind.apply(value).is_some();
            if !next.into_iter().any(observes) {
                continue;
            }
            let mut child = State { value, ..state.clone() };
            child.done_optional.insert(child.done_optional.partition_point(|done| *done < at), at);
            stack.push((child, Some(event.record)));
        }
        // The event that ends first is tried first.
        let mut writes: Vec<usize> = candidates.iter().filter(fits).copied().collect();
        writes.sort_by_key(|at| std::cmp::Reverse(certain[*at].end));
        for at in writes {
            let Some(value) = certain[at].kind.apply(state.value) else { continue };
            stack.push((after_event(&certain, &state, at, value), Some(certain[at].record)));
        }
    }
    (SearchResult::None { last_write }, steps)
}

/// The certain events that can come next, which begin before any other one ends; and the earliest such end.
fn candidates(certain: &[&Event], state: &State) -> (Vec<usize>, u64) {
    let (mut found, mut horizon) = (Vec::new(), u64::MAX);
    for (at, event) in certain.iter().enumerate().skip(state.next) {
        if event.begin > horizon {
            break;
        }
        if state.done_later.binary_search(&at).is_err() {
            horizon = horizon.min(event.end);
            found.push(at);
        }
    }
    (found, horizon)
}

/// The state after this certain event.
fn after_event(certain: &[&Event], state: &State, at: usize, value: u32) -> State {
    let mut child = State { value, ..state.clone() };
    child.done_later.insert(child.done_later.partition_point(|done_later| *done_later < at), at);
    while child.next < certain.len() && child.done_later.first() == Some(&child.next) {
        child.done_later.remove(0);
        child.next += 1;
    }
    child
}
