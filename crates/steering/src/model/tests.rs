use super::*;
use crate::planner::MAX_SPREAD;
use crate::samples::{Edge, Observation};
use crate::tables::{Row, Tables, Why};
use crate::{Client, Summary};

#[test]
fn delays_of_served_clients_are_not_used_for_groups_served_elsewhere() {
    let far = |n: u8| Group::named(&format!("10.{n}.0.0/16"));
    let client = |eighth: u8, n: u8| Client::Address([eighth, n, 1, 1].into());
    let row = || Row { places: Vec::new(), why: Why::Found, moved_ms: 0, before: None };
    let rows = (0..8).map(|n| (far(n), row())).collect();
    let tables = Tables { epoch: 1, rows };
    let mut edges: Vec<Edge> = ["norte", "sur"]
        .map(|region| (0..3).map(move |e| Edge::new(&format!("{region}{e}"), region, 1)))
        .into_iter()
        .flatten()
        .collect();
    let mut estimates = Estimates::default();
    for window in 1..=40u64 {
        let mut summary = Summary::default();
        for (e, edge) in edges.iter_mut().enumerate() {
            // Without a table all clients are reported as one group; those served in sur are near to it.
            if window > 4 {
                edge.follow_table(&tables);
            }
            for i in 0..20 {
                let mut sees =
                    |client, us: u32| edge.record(&client, Observation::RoundTrip { us: us + 100 * i });
                if e < 3 {
                    (0..8).for_each(|n| sees(client(10, n), 20_000));
                } else {
                    (0..12).for_each(|n| sees(client(11, n), 10_000));
                    // Three of the eight groups of norte have explored sur.
                    (0..if window > 4 { 3 } else { 0 }).for_each(|n| sees(client(10, n), 90_000));
                }
            }
            summary.merge(&edge.close_window());
        }
        estimates.update(window * 10_000, &summary);
    }
    for n in 3..8 {
        let estimate = estimates.estimate(400_000, &far(n), "sur").unwrap();
        // Only one distance of these groups is known, so the prediction is uncertain; the 10 ms of the
        // clients in sur would make it 20.
        assert!(
            !estimate.measured && estimate.ms > 35.0 && estimate.spread > MAX_SPREAD,
            "{n}: {estimate:?}"
        );
    }
}

/// Returns the estimate after six windows at 40 ms and one in which so many requests of each edge got no
/// answer.
fn after_one_window(gone: [u32; 5]) -> f64 {
    let mut edges: Vec<Edge> =
        (0..5).map(|e| Edge::new(&format!("n{e}"), "norte", 1).splitting_all()).collect();
    let mut estimates = Estimates::default();
    for window in 1..=7u64 {
        let mut summary = Summary::default();
        for (edge, gone) in edges.iter_mut().zip(gone) {
            let gone = if window == 7 { gone } else { 0 };
            (0..gone).for_each(|_| edge.record(&Client::Balancer(1), Observation::TimedOut));
            for i in 0..20u32.saturating_sub(gone) {
                edge.record(&Client::Balancer(1), Observation::RoundTrip { us: 40_000 + 100 * i });
            }
            summary.merge(&edge.close_window());
        }
        estimates.update(window * 10_000, &summary);
    }
    estimates.estimate(70_000, &Group::Balancer(1), "norte").unwrap().ms
}

#[test]
fn an_outage_confirmed_by_most_edges_takes_effect_in_one_window() {
    assert!(after_one_window([18; 5]) > 1000.0);
    assert!(after_one_window([18, 18, 18, 0, 0]) > 1000.0);
    // Two of five edges may report wrong data, however much.
    assert!(after_one_window([500, 500, 0, 0, 0]) < 60.0);
}
