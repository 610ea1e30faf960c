//! What a place in a full region is worth: a price in milliseconds for each, at which about as many want to go there as fit. Those who
//! lose least by it leave first.

use std::collections::BTreeMap;

/// Rounds of raising and lowering for each plan; prices are kept from one plan to the next.
const ROUNDS: usize = 40;
/// How much a price moves in a round, in milliseconds for a region that is wanted twice over.
const PRICE_STEP_MS: f64 = 6.0;
/// The highest price, in milliseconds.
const MAX_PRICE_MS: f64 = 500.0;

/// What a group wants.
pub(super) struct GroupChoices<'a> {
    pub rate: f64,
    /// Regions and their delays, in milliseconds.
    pub choices: Vec<(&'a str, f64)>,
}

/// The next prices.
pub(super) fn next_prices(
    previous: &BTreeMap<String, f64>,
    room: &BTreeMap<&str, f64>,
    groups: &[GroupChoices],
) -> BTreeMap<String, f64> {
    let mut prices: BTreeMap<&str, f64> =
        room.keys().map(|&region| (region, previous.get(region).copied().unwrap_or(0.0))).collect();
    // The mean over the later rounds: a price that swings about its place settles there.
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
