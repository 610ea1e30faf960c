//! Distribution of delays: a sketch with buckets that grow with the delay, as in DDSketch and HDR histograms.
//! It has integers only, so that merging is exactly associative and commutative.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Logarithm of the buckets per doubling: the relative error is at most 1/64.
const SUB_BITS: u32 = 5;
/// Longest delay that is distinguished, in microseconds: 67 s, beyond any time-out.
pub const MAX_US: u32 = (1 << 26) - 1;
/// Maximum number of buckets.
pub const MAX_BUCKETS: usize = 704;

/// Distribution of delays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sketch {
    counts: BTreeMap<u16, u32>,
}

fn bucket(us: u32) -> u16 {
    let us = us.min(MAX_US);
    if us < 1 << SUB_BITS {
        return us as u16;
    }
    let shift = 31 - us.leading_zeros() - SUB_BITS;
    ((shift << SUB_BITS) + (us >> shift)) as u16
}

fn bucket_midpoint(bucket: u16) -> u32 {
    let bucket = u32::from(bucket);
    let shift = (bucket >> SUB_BITS).saturating_sub(1);
    let lower = (bucket - (shift << SUB_BITS)) << shift;
    lower + ((1 << shift) >> 1)
}

impl Sketch {
    /// Adds one delay.
    pub fn add(&mut self, us: u32) {
        let count = self.counts.entry(bucket(us)).or_default();
        *count = count.saturating_add(1);
    }

    /// Merges another sketch. Counts saturate, so the order still does not matter.
    pub fn merge(&mut self, other: &Sketch) {
        for (&bucket, &more) in &other.counts {
            let count = self.counts.entry(bucket).or_default();
            *count = count.saturating_add(more);
        }
    }

    /// Returns the number of delays.
    pub fn count(&self) -> u64 {
        self.counts.values().map(|&count| u64::from(count)).sum()
    }

    /// Returns the delay at this rank, from 0; `None` beyond the last.
    pub fn value_at_rank(&self, rank: u64) -> Option<u32> {
        let mut before = 0;
        self.counts.iter().find_map(|(&bucket, &count)| {
            before += u64::from(count);
            (rank < before).then(|| bucket_midpoint(bucket))
        })
    }

    /// Whether [`Sketch::add`] can have produced it; input from outside may be anything.
    pub fn is_valid(&self) -> bool {
        self.counts.iter().all(|(&bucket, &count)| usize::from(bucket) < MAX_BUCKETS && count > 0)
    }
}

#[cfg(test)]
mod tests;
