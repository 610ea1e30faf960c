//! When a task is due. Times here are Unix seconds by the wall clock, since people say when: a clock that jumps moves a due time,
//! and never has anything to do with who holds a lease.

use chrono::{DateTime, Utc};
use croner::Cron;
use std::str::FromStr;
use std::time::Duration;

/// Times that were missed and are made up for one by one, at most; older ones are let go.
pub const MAX_MISSED_RUNS: usize = 100;

/// When.
#[derive(Clone, Debug, PartialEq)]
pub enum Schedule {
    /// Every so often, counted from the start of 1970.
    Every(Duration),
    /// As a cron line says, in UTC.
    Cron(Box<Cron>),
}

impl Schedule {
    /// A time between runs.
    ///
    /// # Errors
    /// It is under a second.
    pub fn every(time: Duration) -> Result<Schedule, String> {
        if time < Duration::from_secs(1) {
            return Err(format!("{time:?} is under a second"));
        }
        Ok(Schedule::Every(time))
    }

    /// A cron line.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn cron(line: &str) -> Result<Schedule, String> {
        Cron::from_str(line).map(|cron| Schedule::Cron(Box::new(cron))).map_err(|e| e.to_string())
    }

    /// The first time after this one; `None` if there is none.
    pub fn after(&self, time: i64) -> Option<i64> {
        match self {
            Schedule::Every(every) => {
                let every = i64::try_from(every.as_secs()).ok()?.max(1);
                time.checked_div_euclid(every)?.checked_add(1)?.checked_mul(every)
            }
            Schedule::Cron(cron) => {
                let from: DateTime<Utc> = DateTime::from_timestamp(time, 0)?;
                cron.find_next_occurrence(&from, false).ok().map(|next| next.timestamp())
            }
        }
    }
}

/// What happens to times that nobody ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Missed {
    /// They are let go.
    Skip,
    /// All of them together are run once.
    #[default]
    Once,
    /// Each is run, the oldest first, up to [`MAX_MISSED_RUNS`].
    Each,
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing before this time, if there ever is any.
    NotBefore(Option<i64>),
    /// This time is to be run.
    Run(i64),
    /// All times up to this one are let go.
    Skip(i64),
}

/// What is due at this time. `last` is the last time that was done or let go, or when the task was first heard of; `late` is for how
/// long a time counts as met.
pub fn due(when: &Schedule, missed: Missed, last: i64, now: i64, max_lateness: Duration) -> Due {
    let Some(first) = when.after(last) else { return Due::NotBefore(None) };
    if first > now {
        return Due::NotBefore(Some(first));
    }
    let max_lateness = i64::try_from(max_lateness.as_secs()).unwrap_or(i64::MAX);
    // The last few of the times up to now; more than these are never made up for.
    let mut times = std::collections::VecDeque::from([first]);
    let mut looked = 0;
    while let Some(next) = times.back().and_then(|time| when.after(*time)).filter(|next| *next <= now) {
        times.push_back(next);
        if times.len() > MAX_MISSED_RUNS {
            times.pop_front();
        }
        looked += 1;
        if looked > 10 * MAX_MISSED_RUNS {
            // After years of silence: straight to the present.
            return match missed {
                Missed::Skip => Due::Skip(now),
                Missed::Once | Missed::Each => Due::Run(now),
            };
        }
    }
    let newest = times.back().copied().unwrap_or(first);
    match missed {
        Missed::Skip if now - newest > max_lateness => Due::Skip(newest),
        Missed::Skip | Missed::Once => Due::Run(newest),
        Missed::Each => Due::Run(times.front().copied().unwrap_or(first)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: i64 = 3600;

    #[test]
    fn times_come_every_so_often_or_as_a_cron_line_says() {
        let hourly = Schedule::every(Duration::from_secs(3600)).unwrap();
        assert_eq!(hourly.after(0), Some(HOUR));
        assert_eq!(hourly.after(HOUR - 1), Some(HOUR));
        assert_eq!(hourly.after(HOUR), Some(2 * HOUR));
        let nightly = Schedule::cron("30 2 * * *").unwrap();
        assert_eq!(nightly.after(0), Some(2 * HOUR + 1800));
        assert_eq!(nightly.after(2 * HOUR + 1800), Some(26 * HOUR + 1800));
        assert!(Schedule::every(Duration::from_millis(10)).is_err());
        assert!(Schedule::cron("61 * * * *").is_err() && Schedule::cron("").is_err());
    }

    #[test]
    fn what_was_missed_is_let_go_run_once_or_each() {
        let hourly = Schedule::every(Duration::from_secs(3600)).unwrap();
        let max_lateness = Duration::from_secs(60);
        let at = |missed, now| due(&hourly, missed, HOUR, now, max_lateness);
        for missed in [Missed::Skip, Missed::Once, Missed::Each] {
            assert_eq!(at(missed, 2 * HOUR - 1), Due::NotBefore(Some(2 * HOUR)), "{missed:?}");
            assert_eq!(at(missed, 2 * HOUR + 5), Due::Run(2 * HOUR), "{missed:?}");
        }
        // Three were missed, the last of them by half an hour.
        let now = 4 * HOUR + 1800;
        assert_eq!(at(Missed::Skip, now), Due::Skip(4 * HOUR));
        assert_eq!(at(Missed::Once, now), Due::Run(4 * HOUR));
        assert_eq!(at(Missed::Each, now), Due::Run(2 * HOUR));
        // The last of them just now.
        assert_eq!(at(Missed::Skip, 4 * HOUR + 5), Due::Run(4 * HOUR));
        // More than are ever made up for, and a clock that was years off.
        assert_eq!(at(Missed::Each, 1000 * HOUR), Due::Run((1000 - MAX_MISSED_RUNS as i64 + 1) * HOUR));
        assert_eq!(at(Missed::Each, 1_000_000 * HOUR), Due::Run(1_000_000 * HOUR));
        assert_eq!(at(Missed::Skip, 1_000_000 * HOUR), Due::Skip(1_000_000 * HOUR));
    }
}
