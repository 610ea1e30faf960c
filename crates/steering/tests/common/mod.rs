//! Checks for faults that schedules from seeds do not show.

use jaspershunt_steering::{Client, Edge, Estimates, Group, Observation, Summary, Tables};

/// One of five edges reports wrong delays. Its reports are ignored for a group that all edges measured before
/// and that it alone reports now. Five groups are measured by all edges.
pub fn a_wrong_edge_is_outvoted() -> Result<(), String> {
    let mut edges: Vec<Edge> = (0..5).map(|e| Edge::new(&format!("n{e}"), "norte", 1)).collect();
    let mut estimates = Estimates::default();
    let mut tables = Tables::default();
    let row = |at| jaspershunt_steering::Row {
        places: Vec::new(),
        why: jaspershunt_steering::Why::Found,
        moved_ms: at,
        before: None,
    };
    tables.rows.insert(Group::Balancer(0), row(0));
    for window in 1..=8u64 {
        let mut summary = Summary::default();
        for (e, edge) in edges.iter_mut().enumerate() {
            edge.follow_table(&tables);
            let is_wrong = e == 4 && window > 4;
            for group in 0..6u32 {
                let seen = group > 0 || window <= 4 || e == 4;
                for i in 0..if seen { 20 } else { 0 } {
                    let us = 40_000 + 300 * i;
                    edge.record(
                        &Client::Balancer(group),
                        Observation::RoundTrip { us: if is_wrong { us / 5 } else { us } },
                    );
                }
            }
            summary.merge(&edge.close_window());
        }
        estimates.update(window * 10_000, &summary);
    }
    let estimate = estimates.estimate(80_000, &Group::Balancer(0), "norte").ok_or("nothing is known")?;
    if !estimates.is_distrusted("n4") || estimate.ms < 35.0 {
        return Err(format!("one wrong edge turns 43 ms into {:.1}", estimate.ms));
    }
    Ok(())
}
