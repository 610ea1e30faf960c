use super::*;
use crate::tests::{SMALL, capture, read};

/// Every request of an overload has a trace that begins with its reading and agrees with what became of it.
#[test]
fn every_request_has_a_story() {
    let parts = read(&capture(4, 400, SMALL, 0..0));
    let rounds: Vec<&Round> = parts
        .iter()
        .flat_map(|part| match part {
            Part::Block { records, .. } => &records[..],
            Part::Corrupt { .. } => &[],
        })
        .filter_map(|record| if let Record::Round(round) = record { Some(round) } else { None })
        .collect();
    let arrived = rounds.iter().flat_map(|round| &round.events).filter_map(|event| match event {
        Event::Arrived(request) => Some(request.id),
        _ => None,
    });
    let refused = |id: RequestId| {
        let this = |action: &&Action| matches!(action, Action::Refuse { id: other, .. } if *other == id);
        rounds.iter().flat_map(|round| &round.actions).any(|action| this(&action))
    };
    let mut reasons = std::collections::BTreeSet::new();
    for id in arrived.collect::<Vec<_>>().into_iter().step_by(3) {
        let trace = trace(&parts, &id.0.to_string()).unwrap();
        let text = trace.text();
        assert!(trace.entries[0].what.starts_with("read: "), "{text}");
        let told = trace.entries.iter().find(|entry| entry.what.starts_with("refused, "));
        if trace.ended {
            assert_eq!(told.is_some(), refused(id) && !text.contains("gone"), "{text}");
        }
        if let Some(told) = told {
            assert!(told.what.contains("N_max") && told.what.contains("credit"), "{text}");
            let why = told.what.split(": ").nth(1).unwrap();
            reasons.insert(
                why.split(|c: char| c.is_ascii_digit() || c == ':' || c == ';').next().unwrap().to_string(),
            );
        }
    }
    assert!(reasons.len() >= 3, "an overload refuses for several reasons: {reasons:?}");
    assert_eq!(trace(&parts, "nobody"), None);
}
