use super::*;
use crate::tests::{SMALL, capture, read};

/// Under overload, each request's trace must start when it is read and agree with its outcome.
#[test]
fn each_request_has_a_trace_that_agrees_with_its_outcome() {
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
        let refusal = trace.entries.iter().find(|entry| entry.what.starts_with("refused, "));
        if trace.ended {
            assert_eq!(refusal.is_some(), refused(id) && !text.contains("withdrawn"), "{text}");
        }
        if let Some(refusal) = refusal {
            assert!(refusal.what.contains("N_max") && refusal.what.contains("credit"), "{text}");
            let why = refusal.what.split(": ").nth(1).unwrap();
            reasons.insert(
                why.split(|c: char| c.is_ascii_digit() || c == ':' || c == ';').next().unwrap().to_string(),
            );
        }
    }
    assert!(reasons.len() >= 3, "an overload must show several refusal reasons: {reasons:?}");
    assert_eq!(trace(&parts, "nobody"), None);
}
