//! The fleet's wall clock, by which tasks are due: the median of the members' clocks, so that one clock that
//! jumps or is wrong changes nothing. It has no influence on who holds a lease.

use std::collections::BTreeMap;
use std::time::Duration;

/// Members' clocks that are kept.
pub const MAX_CLOCKS: usize = 1024;

const MS_PER_SECOND: i64 = 1000;
/// A reported time is a whole second and may have been delayed by half a second; the estimate is kept while
/// it is within this distance of the report.
const MAX_ERROR_MS: i64 = MS_PER_SECOND + MS_PER_SECOND / 2;
/// The estimate decays by this fraction of the time passed, which is more than the rates of clocks differ.
const DECAY_DIVISOR: i64 = 20;

/// An estimate of a remote clock that reports whole seconds. A report is exact at some moment of its second,
/// so each one is a lower bound; the highest recent bound is kept. Guards against a due time that is missed:
/// an estimate from the last report alone was off by up to a second and differed from leader to leader, and
/// where it jumped over a second, nothing was run for that second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondsClock {
    /// Lower bound of the clock's lead over this process's monotonic clock, in milliseconds.
    offset_ms: i64,
    updated: Duration,
}

impl SecondsClock {
    /// Starts the estimate with a report of this time, in Unix seconds.
    pub fn new(now: Duration, unix: i64) -> SecondsClock {
        SecondsClock {
            offset_ms: unix.saturating_mul(MS_PER_SECOND).saturating_sub(millis(now)),
            updated: now,
        }
    }

    /// Updates the estimate with a report received now.
    pub fn observe(&mut self, now: Duration, unix: i64) {
        let least = SecondsClock::new(now, unix);
        let known = self.offset_ms.saturating_sub(millis(now.saturating_sub(self.updated)) / DECAY_DIVISOR);
        let holds = (least.offset_ms..least.offset_ms.saturating_add(MAX_ERROR_MS)).contains(&known);
        *self = if holds { SecondsClock { offset_ms: known, updated: now } } else { least };
    }

    /// The estimated time of the clock, in Unix seconds.
    pub fn unix_seconds(&self, now: Duration) -> i64 {
        self.offset_ms.saturating_add(millis(now)).div_euclid(MS_PER_SECOND)
    }
}

/// The leader's estimates of the members' clocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberClocks {
    clocks: BTreeMap<String, SecondsClock>,
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

impl MemberClocks {
    /// Records the time reported by a member. All incarnations of a member share one clock, which counts
    /// once.
    pub fn observe(&mut self, now: Duration, member: &str, unix: i64) {
        if let Some(clock) = self.clocks.get_mut(member) {
            clock.observe(now, unix);
        } else if self.clocks.len() < MAX_CLOCKS {
            self.clocks.insert(member.to_string(), SecondsClock::new(now, unix));
        }
    }

    /// Removes clocks without a report for this long.
    pub fn forget_silent(&mut self, now: Duration, after: Duration) {
        self.clocks.retain(|_, clock| now.saturating_sub(clock.updated) < after);
    }

    /// The median in Unix seconds, once at least `least` clocks are known; the median of fewer might be a
    /// wrong clock.
    pub fn unix_seconds(&self, now: Duration, least: usize) -> Option<i64> {
        Some(self.median(least)?.unix_seconds(now))
    }

    /// The median in Unix milliseconds, refined by this process's own wall clock as far as that agrees with
    /// it.
    pub fn unix_ms(&self, now: Duration, own: Duration, least: usize) -> Option<u64> {
        let median = self.median(least)?.offset_ms.saturating_add(millis(now));
        let unix = millis(own).clamp(median, median.saturating_add(MAX_ERROR_MS));
        Some(u64::try_from(unix).unwrap_or(0))
    }

    fn median(&self, least: usize) -> Option<&SecondsClock> {
        if self.clocks.len() < least {
            return None;
        }
        let mut all: Vec<&SecondsClock> = self.clocks.values().collect();
        all.sort_unstable_by_key(|clock| clock.offset_ms);
        // Of an even number, the lower one: a task that runs early cannot be undone.
        all.get(all.len().checked_sub(1)? / 2).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_clock_that_jumps_changes_nothing() {
        let mut clocks = MemberClocks::default();
        let holder = |n: u64| format!("n{n}");
        let now = Duration::from_secs(50);
        assert_eq!(clocks.unix_seconds(now, 1), None);
        for n in 0..3 {
            clocks.observe(now, &holder(n), 1000 + n as i64);
        }
        assert_eq!(clocks.unix_seconds(now, 3), Some(1001));
        for jump in [-100_000, 100_000, i64::MIN, i64::MAX] {
            clocks.observe(now, &holder(1), jump);
            let shown = clocks.unix_seconds(now, 2).unwrap();
            assert!((1000..=1002).contains(&shown), "{shown}");
        }
        // The estimate advances with the monotonic clock.
        clocks.observe(now, &holder(1), 1001);
        assert_eq!(clocks.unix_seconds(now + Duration::from_secs(9), 1), Some(1010));
        // Of two clocks the earlier one counts.
        clocks.observe(now + Duration::from_secs(100), &holder(0), 1100);
        clocks.observe(now + Duration::from_secs(100), &holder(2), 1200);
        clocks.forget_silent(now + Duration::from_secs(100), Duration::from_secs(60));
        assert_eq!(clocks.unix_seconds(now + Duration::from_secs(100), 3), None);
        assert_eq!(clocks.unix_seconds(now + Duration::from_secs(100), 2), Some(1100));
    }

    #[test]
    fn clocks_are_bounded() {
        let mut clocks = MemberClocks::default();
        (0..2000).for_each(|n| clocks.observe(Duration::ZERO, &format!("n{n}"), 5));
        assert_eq!(clocks.clocks.len(), MAX_CLOCKS);
    }

    /// Three members report four times a second to one leader and then to another. The time estimated by one
    /// member skips no second, is never early, and is late by no more than the time between two reports.
    #[test]
    fn no_second_is_skipped_when_the_leader_changes() {
        let ms = |time: u64| Duration::from_millis(time);
        for phase in 0..50 {
            // Times are in milliseconds; each process's monotonic clock has another origin.
            let (begin, since, lost) = (1_000_000, [350 + 20 * phase, 7_130, 990], 6_000 + 20 * phase);
            let mut clocks = [MemberClocks::default(), MemberClocks::default()];
            let (mut clock, mut shown) = (None::<SecondsClock>, None);
            for time in (0..12_000).step_by(10) {
                // There is no leader for 800 ms.
                let leader = if time < lost { Some(0) } else { (time >= lost + 800).then_some(1) };
                let truth = i64::try_from((begin + time) / 1000).unwrap();
                let here = ms(since[2] + time);
                if let Some(leader) = leader {
                    let there = ms(since[leader] + time);
                    for member in (0..3).filter(|n| (time + 80 * n) % 250 == 0) {
                        clocks[leader].observe(there, &format!("n{member}"), truth);
                        if let (0, Some(unix)) = (member, clocks[leader].unix_seconds(there, 2)) {
                            clock.get_or_insert(SecondsClock::new(here, unix)).observe(here, unix);
                        }
                    }
                }
                let Some(clock) = &clock else { continue };
                let unix = clock.unix_seconds(here);
                assert!(unix <= truth, "{phase}: at {time} it is early");
                if time > 2_000 {
                    assert!(begin + time < unix as u64 * 1000 + 1_400, "{phase}: at {time} it is late");
                }
                let next = shown.map_or(unix, |last: i64| last + 1);
                assert!(unix <= next, "{phase}: at {time} {unix} follows {shown:?}");
                shown = shown.max(Some(unix));
            }
        }
    }

    /// A leader whose own clock is wrong uses the median.
    #[test]
    fn the_own_clock_refines_the_median_only_where_they_agree() {
        let mut clocks = MemberClocks::default();
        let now = Duration::from_millis(50_300);
        (0..3).for_each(|n| clocks.observe(now, &format!("n{n}"), 1000));
        let at = |own| clocks.unix_ms(now, Duration::from_millis(own), 2);
        assert_eq!(
            (at(1_000_700), at(7_000_000), at(5)),
            (Some(1_000_700), Some(1_001_500), Some(1_000_000))
        );
        assert_eq!(clocks.unix_ms(now, now, 4), None);
    }
}
