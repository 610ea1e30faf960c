//! The time by which tasks are due: the middle one of the members' clocks on the wall, so that one which jumps or is wrong changes
//! nothing. It has nothing to do with who holds a lease.

use std::collections::BTreeMap;
use std::time::Duration;

/// Clocks that count.
pub const MAX_CLOCKS: usize = 1024;

/// What the one that leads has heard of members' clocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Walls {
    /// By how much each is ahead of this process's monotone clock, in seconds, and when that was heard.
    ahead: BTreeMap<String, (i64, Duration)>,
}

fn seconds(time: Duration) -> i64 {
    i64::try_from(time.as_secs()).unwrap_or(i64::MAX)
}

impl Walls {
    /// A member's clock shows this. Several starts of it have one clock, which counts once.
    pub fn heard(&mut self, now: Duration, member: &str, unix: i64) {
        if self.ahead.len() < MAX_CLOCKS || self.ahead.contains_key(member) {
            self.ahead.insert(member.to_string(), (unix.saturating_sub(seconds(now)), now));
        }
    }

    /// Clocks that were not heard of for so long count no more.
    pub fn forget(&mut self, now: Duration, after: Duration) {
        self.ahead.retain(|_, (_, heard)| now.saturating_sub(*heard) < after);
    }

    /// The middle one, in Unix seconds, once so many were heard: of fewer it might be the wrong one.
    pub fn unix(&self, now: Duration, least: usize) -> Option<i64> {
        if self.ahead.len() < least {
            return None;
        }
        let mut all: Vec<i64> = self.ahead.values().map(|(ahead, _)| *ahead).collect();
        all.sort_unstable();
        // Of an even number the lower one: early tasks cannot be undone.
        let middle = all.get(all.len().checked_sub(1)? / 2)?;
        Some(middle.saturating_add(seconds(now)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_clock_that_jumps_changes_nothing() {
        let mut walls = Walls::default();
        let holder = |n: u64| format!("n{n}");
        let now = Duration::from_secs(50);
        assert_eq!(walls.unix(now, 1), None);
        for n in 0..3 {
            walls.heard(now, &holder(n), 1000 + n as i64);
        }
        assert_eq!(walls.unix(now, 3), Some(1001));
        for jump in [-100_000, 100_000, i64::MIN, i64::MAX] {
            walls.heard(now, &holder(1), jump);
            let shown = walls.unix(now, 2).unwrap();
            assert!((1000..=1002).contains(&shown), "{shown}");
        }
        // It goes on by the monotone clock.
        walls.heard(now, &holder(1), 1001);
        assert_eq!(walls.unix(now + Duration::from_secs(9), 1), Some(1010));
        // Of two the earlier one counts.
        walls.heard(now + Duration::from_secs(100), &holder(0), 1100);
        walls.heard(now + Duration::from_secs(100), &holder(2), 1200);
        walls.forget(now + Duration::from_secs(100), Duration::from_secs(60));
        assert_eq!(walls.unix(now + Duration::from_secs(100), 3), None);
        assert_eq!(walls.unix(now + Duration::from_secs(100), 2), Some(1100));
    }

    #[test]
    fn clocks_are_bounded() {
        let mut walls = Walls::default();
        (0..2000).for_each(|n| walls.heard(Duration::ZERO, &format!("n{n}"), 5));
        assert_eq!(walls.ahead.len(), MAX_CLOCKS);
    }
}
