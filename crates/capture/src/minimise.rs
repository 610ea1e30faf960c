//! Shrinks a capture that shows a failure to few requests and rounds, by delta debugging (Zeller and
//! Hildebrandt 2002). The result is replayed through the current decision code, so that its actions belong
//! to it.

use crate::record::Round;
use jaspershunt::{Action, Controller, Event, RequestId};
use std::collections::BTreeSet;

/// Maximum number of replays, so that a search ends within seconds on any capture.
pub const MAX_REPLAYS: usize = 2_000;

/// Returns the request that an event is about.
fn request_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::Arrived(request) => Some(request.id),
        Event::Ended { id, .. }
        | Event::CallWanted { id }
        | Event::CallEnded { id, .. }
        | Event::Withdrawn { id } => Some(*id),
        Event::Leave { .. } | Event::Woke { .. } | Event::Settings(_) => None,
    }
}

/// Replays rounds from a state, without the events of some requests. The result has the current code's
/// actions.
fn replay_without(state: &[u8], rounds: &[Round], without: &BTreeSet<RequestId>) -> Option<Vec<Round>> {
    let mut module = Controller::load(state).ok()?;
    let mut replayed = Vec::with_capacity(rounds.len());
    for round in rounds {
        let keep = |event: &&Event| request_of(event).is_none_or(|id| !without.contains(&id));
        let events: Vec<Event> = round.events.iter().filter(keep).cloned().collect();
        let mut actions: Vec<Action> = Vec::new();
        module.step(round.now, &events, &mut actions);
        let names = round.names.iter().filter(|(id, _)| !without.contains(id)).cloned().collect();
        replayed.push(Round { number: round.number, now: round.now, names, events, actions });
    }
    Some(replayed)
}

/// Searches for the fewest requests and rounds from a state for which `shows` still holds. Returns `None`
/// if it does not hold for the whole. Rounds without events are removed at the end if `shows` still holds
/// without them.
pub fn minimise(state: &[u8], rounds: &[Round], shows: impl Fn(&[Round]) -> bool) -> Option<Vec<Round>> {
    let mut left = replay_without(state, rounds, &BTreeSet::new()).filter(|whole| shows(whole))?;
    let mut replays = 0;
    // Finds the shortest prefix by bisection.
    let (mut short, mut long) = (0, left.len());
    while short + 1 < long {
        let middle = (short + long) / 2;
        if shows(&left[..middle]) { long = middle } else { short = middle }
    }
    if shows(&left[..long]) {
        left.truncate(long);
    }
    // Removes requests in chunks of decreasing size.
    let ids: BTreeSet<RequestId> =
        left.iter().flat_map(|round| &round.events).filter_map(request_of).collect();
    let mut ids: Vec<RequestId> = ids.into_iter().collect();
    let mut part = ids.len().div_ceil(2);
    while part > 0 && !ids.is_empty() && replays < MAX_REPLAYS {
        let mut at = 0;
        let mut found = false;
        while at < ids.len() && replays < MAX_REPLAYS {
            let end = (at + part).min(ids.len());
            let without: BTreeSet<RequestId> = ids[at..end].iter().copied().collect();
            replays += 1;
            match replay_without(state, &left, &without).filter(|fewer| shows(fewer)) {
                Some(fewer) => {
                    left = fewer;
                    ids.drain(at..end);
                    found = true;
                }
                None => at = end,
            }
        }
        if part == 1 && !found {
            break;
        }
        part = if part > 1 { part.div_ceil(2) } else { 1 };
    }
    let with_events: Vec<Round> = left.iter().filter(|round| !round.events.is_empty()).cloned().collect();
    match replay_without(state, &with_events, &BTreeSet::new()).filter(|rounds| shows(rounds)) {
        Some(rounds) => Some(rounds),
        None => Some(left),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::reader::Part;
    use crate::record::Record;
    use crate::tests::{SMALL, capture, read};

    /// Returns the first snapshot of a capture and its rounds.
    fn whole(seed: u64) -> (Vec<u8>, Vec<Round>) {
        let (mut state, mut rounds) = (Vec::new(), Vec::new());
        for part in read(&capture(seed, 300, SMALL, 0..0)) {
            let Part::Block { records, .. } = part else { panic!("corrupt part") };
            for record in records {
                match record {
                    Record::Snapshot(bytes) if state.is_empty() => state = bytes,
                    Record::Round(round) => rounds.push(round),
                    _ => {}
                }
            }
        }
        (state, rounds)
    }

    fn requests(rounds: &[Round]) -> usize {
        rounds
            .iter()
            .flat_map(|round| &round.events)
            .filter(|event| matches!(event, Event::Arrived(_)))
            .count()
    }

    #[test]
    fn a_refusal_under_overload_shrinks_to_the_few_requests_that_cause_it() {
        let shows = |rounds: &[Round]| {
            rounds
                .iter()
                .flat_map(|round| &round.actions)
                .any(|action| matches!(action, Action::Refuse { .. }))
        };
        for seed in 1..=3 {
            let (state, rounds) = whole(seed);
            let small = minimise(&state, &rounds, shows).unwrap();
            assert!(shows(&small));
            assert!(
                requests(&small) * 5 < requests(&rounds),
                "{} of {}",
                requests(&small),
                requests(&rounds)
            );
            // No single further request can be removed.
            let ids: BTreeSet<RequestId> =
                small.iter().flat_map(|round| &round.events).filter_map(request_of).collect();
            for id in ids {
                assert!(
                    !shows(&replay_without(&state, &small, &BTreeSet::from([id])).unwrap()),
                    "{id:?} is not needed"
                );
            }
        }
    }

    #[test]
    fn a_failure_that_does_not_show_or_an_unreadable_state_gives_none() {
        let (state, rounds) = whole(1);
        assert_eq!(minimise(&state, &rounds, |_| false), None);
        assert_eq!(minimise(b"?", &rounds, |_| true), None);
        // A condition that always holds shrinks to no requests.
        assert_eq!(minimise(&state, &rounds, |_| true).map(|rounds| requests(&rounds)), Some(0));
    }
}
