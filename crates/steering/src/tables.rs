//! Steering table: which share of each group is served in which region, and the explanation of it for
//! operators.

use crate::group::Group;
use crate::planner::EXPLORATION_SHARE;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Sum of the shares of a row: the whole group.
pub const TOTAL_SHARE: u16 = 1000;
/// Maximum number of groups in a table. With the limits below a table has 64 KiB at most, and 16 KiB with
/// names of usual length.
pub const MAX_GROUPS: usize = 256;
/// Maximum number of regions in a row.
pub const MAX_REGIONS: usize = 16;
/// Maximum length of a region's name.
pub const MAX_REGION_NAME_BYTES: usize = 32;

/// Share and delay of one region in a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Name of the region.
    pub region: String,
    /// Share in thousandths of the requests.
    pub share: u16,
    /// Delay in milliseconds when the row was made; `None` if unknown.
    pub delay_ms: Option<u16>,
}

/// Reason for the present state of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// The group was served like this before there was a table.
    Found,
    /// Another region is nearer by more than noise.
    Nearer,
    /// The demand for the region it left exceeds its capacity, and other groups would lose more by leaving.
    Room,
    /// Its region is lost.
    Lost,
    /// Its region is no longer allowed to serve it.
    NotAllowed,
    /// Written by earlier builds only: like [`Why::Found`], with a few requests sent elsewhere to explore.
    Learns,
}

/// Row of the table: how one group is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Regions in the order of their names.
    pub places: Vec<Place>,
    /// Reason for the present state.
    pub why: Why,
    /// Time of the last change of the main region, in Unix milliseconds.
    pub moved_ms: u64,
    /// Region that the group last left, for the reason in `why`.
    pub before: Option<String>,
}

impl Row {
    /// Returns the share of a region.
    pub fn share(&self, region: &str) -> u16 {
        self.places.iter().find(|place| place.region == region).map_or(0, |place| place.share)
    }

    /// Returns the region with the largest share; of equal ones the first by name.
    pub fn main_region(&self) -> Option<&str> {
        let main = self.places.iter().rev().max_by_key(|place| place.share)?;
        Some(&main.region)
    }

    /// Checks the bounds and that the shares sum to [`TOTAL_SHARE`].
    pub fn is_valid(&self) -> bool {
        let ordered = self.places.windows(2).all(|two| two[0].region < two[1].region);
        let named = self.places.iter().all(|place| place.region.len() <= MAX_REGION_NAME_BYTES);
        let sum: u32 = self.places.iter().map(|place| u32::from(place.share)).sum();
        ordered && named && self.places.len() <= MAX_REGIONS && sum == u32::from(TOTAL_SHARE)
    }
}

/// Steering table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// Incremented by each committed change; 0 before the first.
    pub epoch: u64,
    /// Rows by group.
    pub rows: BTreeMap<Group, Row>,
}

impl Tables {
    /// Returns the row that applies to a group: its own, or that of the narrowest wider group.
    pub fn row(&self, group: &Group) -> Option<(Group, &Row)> {
        group.upwards().find_map(|group| self.rows.get(&group).map(|row| (group, row)))
    }

    /// Returns the regions that serve a group, with their shares in thousandths.
    pub fn shares(&self, group: &Group) -> Vec<(String, u16)> {
        let places = self.row(group).map_or(&[][..], |(_, row)| &row.places);
        places
            .iter()
            .filter(|place| place.share > 0)
            .map(|place| (place.region.clone(), place.share))
            .collect()
    }

    /// Returns the allowed regions (all regions of the row if `allowed` is empty) in order of preference: by
    /// share, then by delay, then those of unknown delay.
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

    /// Explains for operators why a group is served as it is, from the committed table alone.
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
