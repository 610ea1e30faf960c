//! Computes a price in milliseconds for each region, at which demand about equals its capacity. The groups
//! that lose least leave a full region first.

use std::collections::BTreeMap;

/// Iterations of the price adjustment for each plan; prices are kept from one plan to the next.
const ROUNDS: usize = 40;
/// Price change per round in milliseconds, for a region with twice the demand that it can take.
const PRICE_STEP_MS: f64 = 6.0;
/// Maximum price, in milliseconds.
const MAX_PRICE_MS: f64 = 500.0;

/// Demand of a group and the regions that can serve it.
pub(super) struct GroupChoices<'a> {
    pub rate: f64,
    /// Regions and their delays, in milliseconds.
    pub choices: Vec<(&'a str, f64)>,
}

/// Returns the prices for the next plan.
pub(super) fn next_prices(
    previous: &BTreeMap<String, f64>,
    room: &BTreeMap<&str, f64>,
    groups: &[GroupChoices],
) -> BTreeMap<String, f64> {
    let mut prices: BTreeMap<&str, f64> =
        room.keys().map(|&region| (region, previous.get(region).copied().unwrap_or(0.0))).collect();
    // The mean over the later rounds damps a price that oscillates around its equilibrium.
    let mut sums: BTreeMap<&str, f64> = BTreeMap::new();
    for round in 0..ROUNDS {
        let mut demand: BTreeMap<&str, f64> = BTreeMap::new();
        for group in groups {
            let cost = |choice: &(&str, f64)| choice.1 + prices.get(choice.0).unwrap_or(&0.0);
            if let Some(best) = group.choices.iter().min_by(|one, two| cost(one).total_cmp(&cost(two))) {
                *demand.entry(best.0).or_default() += group.rate;
            }
        }
        for (region, price) in &mut prices {
            let excess = demand.get(region).unwrap_or(&0.0) / room[region].max(1e-6) - 1.0;
            let step_ms = PRICE_STEP_MS / (1.0 + round as f64 / 8.0);
            *price = (*price + step_ms * excess.clamp(-1.0, 1.0)).clamp(0.0, MAX_PRICE_MS);
            if round >= ROUNDS / 2 {
                *sums.entry(region).or_default() += *price;
            }
        }
    }
    let mean = |(region, sum): (&str, f64)| (region.to_string(), sum / (ROUNDS - ROUNDS / 2) as f64);
    sums.into_iter().map(mean).collect()
}
