//! Which share of a group is served in which region: the table that the fleet agrees on, and the words in which it says why.

use crate::group::Group;
use crate::planner::EXPLORATION_SHARE;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// All of a group: shares of a row sum to this.
pub const TOTAL_SHARE: u16 = 1000;
/// Groups in a table. With the bounds below a table has 64 KiB at most, and 16 KiB with names of usual length.
pub const MAX_GROUPS: usize = 256;
/// Regions in a row.
pub const MAX_REGIONS: usize = 16;
/// Bytes of a region's name.
pub const MAX_REGION_NAME_BYTES: usize = 32;

/// What a row says of one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The region.
    pub region: String,
    /// Of a thousand requests.
    pub share: u16,
    /// The delay when the row was made, in milliseconds; `None` if nothing was known of it.
    pub delay_ms: Option<u16>,
}

/// Why a row is as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// It was served like this before there was a table.
    Found,
    /// Another region is nearer by more than noise.
    Nearer,
    /// More would be served in the region that it left than fit, and others lose more by leaving it.
    Room,
    /// Its region is lost.
    Lost,
    /// Its region may not serve it any more.
    NotAllowed,
    /// In tables of earlier builds: it was served like this before there was a table, and a few requests went elsewhere to learn.
    Learns,
}

/// How a group is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// By region, in the order of their names.
    pub places: Vec<Place>,
    /// Why.
    pub why: Why,
    /// When its main region last changed, in Unix milliseconds.
    pub moved_ms: u64,
    /// The region that it last moved from, for the reason above.
    pub before: Option<String>,
}

impl Row {
    /// The share of a region.
    pub fn share(&self, region: &str) -> u16 {
        self.places.iter().find(|place| place.region == region).map_or(0, |place| place.share)
    }

    /// The region with the largest share, the first by name of several.
    pub fn main_region(&self) -> Option<&str> {
        let main = self.places.iter().rev().max_by_key(|place| place.share)?;
        Some(&main.region)
    }

    /// Whether it keeps the bounds and its shares sum to [`WHOLE`].
    pub fn is_valid(&self) -> bool {
        let ordered = self.places.windows(2).all(|two| two[0].region < two[1].region);
        let named = self.places.iter().all(|place| place.region.len() <= MAX_REGION_NAME_BYTES);
        let sum: u32 = self.places.iter().map(|place| u32::from(place.share)).sum();
        ordered && named && self.places.len() <= MAX_REGIONS && sum == u32::from(TOTAL_SHARE)
    }
}

/// Who is served where.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// Grows by one with each agreed change; 0 before the first.
    pub epoch: u64,
    /// By group.
    pub rows: BTreeMap<Group, Row>,
}

impl Tables {
    /// The row that a group goes by: its own, or that of the narrowest wider one.
    pub fn row(&self, group: &Group) -> Option<(Group, &Row)> {
        group.upwards().find_map(|group| self.rows.get(&group).map(|row| (group, row)))
    }

    /// The regions that serve a group, with their shares of a thousand.
    pub fn shares(&self, group: &Group) -> Vec<(String, u16)> {
        let places = self.row(group).map_or(&[][..], |(_, row)| &row.places);
        places
            .iter()
            .filter(|place| place.share > 0)
            .map(|place| (place.region.clone(), place.share))
            .collect()
    }

    /// The allowed regions (none named: all that the row knows), the best for this group first: by share, then by delay as far as it is
    /// known, then those of which nothing is known.
    pub fn preferred_regions(&self, group: &Group, allowed: &BTreeSet<String>) -> Vec<String> {
        let places = self.row(group).map_or(&[][..], |(_, row)| &row.places);
        let known = |region: &String| places.iter().find(|place| place.region == *region);
        let mut regions: Vec<String> = match allowed.is_empty() {
            true => places.iter().map(|place| place.region.clone()).collect(),
            false => allowed.iter().cloned().collect(),
        };
        regions.sort_by_key(|region| {
            let place = known(region);
            let delay = place.and_then(|place| place.delay_ms).unwrap_or(u16::MAX);
            (std::cmp::Reverse(place.map_or(0, |place| place.share)), delay, region.clone())
        });
        regions
    }

    /// Why a group is served as it is, in words, from the agreed table alone.
    pub fn explain(&self, group: &Group) -> String {
        let Some((of, row)) = self.row(group) else {
            return format!("{group}: not in the table (epoch {}): it is served where it comes.", self.epoch);
        };
        let ms = |delay: Option<u16>| delay.map_or("delay unknown".into(), |ms| format!("{ms} ms"));
        let served: Vec<&Place> = row.places.iter().filter(|place| place.share > 0).collect();
        let shares: Vec<String> = served
            .iter()
            .map(|place| {
                format!(
                    "{}.{} % in {} ({})",
                    place.share / 10,
                    place.share % 10,
                    place.region,
                    ms(place.delay_ms)
                )
            })
            .collect();
        let before = row.before.as_deref().unwrap_or("elsewhere");
        let all = if row.share(before) > EXPLORATION_SHARE { "part of it" } else { "it" };
        let reason = match row.why {
            Why::Found | Why::Learns => "that is how it came before there was a table".into(),
            Why::Nearer => format!("{all} moved from {before}, which was farther by more than noise"),
            Why::Room => format!(
                "{all} moved from {before}, where more would be served than fit, and others would lose more by leaving"
            ),
            Why::Lost => format!("{all} moved from {before}, which was lost"),
            Why::NotAllowed => format!("{all} moved from {before}, which the routes did not allow any more"),
        };
        let main = row.places.iter().find(|place| Some(place.region.as_str()) == row.main_region());
        let names = |which: &dyn Fn(&Place) -> bool| -> String {
            let names: Vec<&str> = row
                .places
                .iter()
                .filter(|place| Some(place.region.as_str()) != row.main_region() && which(place))
                .map(|place| place.region.as_str())
                .collect();
            names.join(", ")
        };
        let exploring = match names(&|place| place.share > 0 && place.share <= EXPLORATION_SHARE) {
            none if none.is_empty() => none,
            some => format!("; a few requests go to {some}, and tell how far it is"),
        };
        let current_ms = main.and_then(|main| main.delay_ms).unwrap_or(0);
        let nearer = match names(&|place| place.delay_ms.is_some_and(|ms| ms < current_ms)) {
            none if none.is_empty() => none,
            some => format!(
                " Nearer by these: {some}; it goes there once that is open to it, has room and is warm, the gain is sure and worth a move, and \
                 it is its turn."
            ),
        };
        let mut others: Vec<String> = Vec::new();
        for place in row.places.iter().filter(|place| place.share == 0) {
            others.push(format!("{} {}", place.region, ms(place.delay_ms)));
        }
        let by = if of == *group { String::new() } else { format!(" (by its wider group {of})") };
        let rest = if others.is_empty() { String::new() } else { format!(" Others: {}.", others.join(", ")) };
        format!(
            "{group}{by}: {}; {reason}{exploring}.{rest}{nearer} Table {}.",
            shares.join(", "),
            self.epoch
        )
    }
}

#[cfg(test)]
mod tests;
