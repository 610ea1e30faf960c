//! The time by which tasks are due: the middle one of the members' clocks on the wall, so that one which jumps or is wrong changes
//! nothing. It has nothing to do with who holds a lease.

use std::collections::BTreeMap;
use std::time::Duration;

/// Clocks that count.
pub const MAX_CLOCKS: usize = 1024;

/// A second, in milliseconds.
const MS_PER_SECOND: i64 = 1000;
/// What is said is a whole second, and may have been on its way for half of one: what is known is kept while it is no further off.
const MAX_ERROR_MS: i64 = MS_PER_SECOND + MS_PER_SECOND / 2;
/// What is known fades by this part of the time that passes: more than clocks differ in their rates.
const DECAY_DIVISOR: i64 = 20;

/// A clock that says whole seconds. What it says is true at some moment of a second, so each word gives a bound; the best of late is
/// kept. Guards against a time that is missed: whoever went by the last word alone was off by up to a second, another one with each
/// who leads, and where the time jumped over a second nothing was run for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondsClock {
    /// By how much it is ahead of this process's monotone clock, at least, in milliseconds.
    offset_ms: i64,
    updated: Duration,
}

impl SecondsClock {
    /// One that shows this many seconds.
    pub fn new(now: Duration, unix: i64) -> SecondsClock {
        SecondsClock {
            offset_ms: unix.saturating_mul(MS_PER_SECOND).saturating_sub(millis(now)),
            updated: now,
        }
    }

    /// It shows this now.
    pub fn observe(&mut self, now: Duration, unix: i64) {
        let least = SecondsClock::new(now, unix);
        let known = self.offset_ms.saturating_sub(millis(now.saturating_sub(self.updated)) / DECAY_DIVISOR);
        let holds = (least.offset_ms..least.offset_ms.saturating_add(MAX_ERROR_MS)).contains(&known);
        *self = if holds { SecondsClock { offset_ms: known, updated: now } } else { least };
    }

    /// What it shows at this moment, in Unix seconds.
    pub fn unix_seconds(&self, now: Duration) -> i64 {
        self.offset_ms.saturating_add(millis(now)).div_euclid(MS_PER_SECOND)
    }
}

/// What the one that leads has heard of members' clocks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberClocks {
    clocks: BTreeMap<String, SecondsClock>,
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

impl MemberClocks {
    /// A member's clock shows this. Several starts of it have one clock, which counts once.
    pub fn observe(&mut self, now: Duration, member: &str, unix: i64) {
        if let Some(clock) = self.clocks.get_mut(member) {
            clock.observe(now, unix);
        } else if self.clocks.len() < MAX_CLOCKS {
            self.clocks.insert(member.to_string(), SecondsClock::new(now, unix));
        }
    }

    /// Clocks that were not heard of for so long count no more.
    pub fn forget_silent(&mut self, now: Duration, after: Duration) {
        self.clocks.retain(|_, clock| now.saturating_sub(clock.updated) < after);
    }

    /// The middle one, in Unix seconds, once so many were heard: of fewer it might be the wrong one.
    pub fn unix_seconds(&self, now: Duration, least: usize) -> Option<i64> {
        Some(self.median(least)?.unix_seconds(now))
    }

    /// The same in Unix milliseconds, by this process's own clock on the wall as far as that agrees with the middle one.
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
        // Of an even number the lower one: early tasks cannot be undone.
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
        // It goes on by the monotone clock.
        clocks.observe(now, &holder(1), 1001);
        assert_eq!(clocks.unix_seconds(now + Duration::from_secs(9), 1), Some(1010));
        // Of two the earlier one counts.
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

    /// Three members, asked four times a second by one that leads and then by another, and what one of them takes for the time: it
    /// jumps over no second, is never early, and late by no more than the time between two words.
    #[test]
    fn no_second_is_passed_over_when_another_one_leads() {
        let ms = |time: u64| Duration::from_millis(time);
        for phase in 0..50 {
            // All times in milliseconds; each process's monotone clock begins elsewhere.
            let (begin, since, lost) = (1_000_000, [350 + 20 * phase, 7_130, 990], 6_000 + 20 * phase);
            let mut clocks = [MemberClocks::default(), MemberClocks::default()];
            let (mut clock, mut shown) = (None::<SecondsClock>, None);
            for time in (0..12_000).step_by(10) {
                // For 800 ms nobody leads.
                let leads = if time < lost { Some(0) } else { (time >= lost + 800).then_some(1) };
                let truth = i64::try_from((begin + time) / 1000).unwrap();
                let here = ms(since[2] + time);
                if let Some(leads) = leads {
                    let there = ms(since[leads] + time);
                    for member in (0..3).filter(|n| (time + 80 * n) % 250 == 0) {
                        clocks[leads].observe(there, &format!("n{member}"), truth);
                        if let (0, Some(unix)) = (member, clocks[leads].unix_seconds(there, 2)) {
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
                assert!(unix <= next, "{phase}: at {time} {unix} comes behind {shown:?}");
                shown = shown.max(Some(unix));
            }
        }
    }

    /// A process whose own clock is off leads by the middle one.
    #[test]
    fn an_own_clock_counts_as_far_as_it_agrees() {
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
