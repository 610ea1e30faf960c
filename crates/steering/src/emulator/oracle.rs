//! Exact minimum mean delay with full knowledge: a minimum-cost flow.

/// Returns the requests per second of each group in each region, for the delays and rates of groups and the
/// capacity of regions. What fits nowhere is left out.
pub(super) fn best(delays: &[Vec<f64>], rates: &[f64], room: &[f64]) -> Vec<Vec<f64>> {
    let regions = room.len();
    let mut flows = vec![vec![0.0; regions]; rates.len()];
    let mut left = room.to_vec();
    for g in 0..rates.len() {
        let mut rest = rates[g];
        while rest > 1e-6 {
            // Cheapest paths to spare capacity for this group; other groups may be displaced from region to
            // region.
            let mut cost = delays[g].clone();
            let mut from: Vec<Option<(usize, usize)>> = vec![None; regions];
            for _ in 0..regions {
                for a in 0..regions {
                    for b in (0..regions).filter(|&b| b != a) {
                        for other in (0..=g).filter(|&other| flows[other][a] > 1e-9) {
                            let through = cost[a] + delays[other][b] - delays[other][a];
                            if through < cost[b] - 1e-9 {
                                (cost[b], from[b]) = (through, Some((a, other)));
                            }
                        }
                    }
                }
            }
            let open = (0..regions).filter(|&r| left[r] > 1e-9);
            let Some(end) = open.min_by(|&a, &b| cost[a].total_cmp(&cost[b])) else { break };
            let (mut amount, mut at, mut hops) = (rest.min(left[end]), end, Vec::new());
            while let Some((before, other)) = from[at] {
                amount = amount.min(flows[other][before]);
                hops.push((other, before, at));
                at = before;
                if hops.len() > regions {
                    break;
                }
            }
            for (other, before, after) in hops {
                flows[other][before] -= amount;
                flows[other][after] += amount;
            }
            flows[g][at] += amount;
            left[end] -= amount;
            rest -= amount;
        }
    }
    flows
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_group_that_loses_least_is_displaced() {
        let delays = vec![vec![10.0, 11.0], vec![10.0, 90.0]];
        let flows = best(&delays, &[5.0, 5.0], &[5.0, 9.0]);
        assert_eq!(flows, [[0.0, 5.0], [5.0, 0.0]]);
    }
}
