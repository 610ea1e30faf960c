//! When a task is due. Times are Unix seconds of the wall clock, as operators specify them: a clock that
//! jumps moves a due time, but never affects who holds a lease.

use chrono::{DateTime, Utc};
use croner::Cron;
use std::str::FromStr;
use std::time::Duration;

/// Missed due times that are run one by one, at most; older ones are skipped.
pub const MAX_MISSED_RUNS: usize = 100;

/// A schedule of due times.
#[derive(Clone, Debug, PartialEq)]
pub enum Schedule {
    /// At a fixed interval, counted from the Unix epoch.
    Every(Duration),
    /// By a cron expression, in UTC.
    Cron(Box<Cron>),
}

impl Schedule {
    /// Creates a schedule with a fixed interval.
    ///
    /// # Errors
    /// The interval is under a second.
    pub fn every(time: Duration) -> Result<Schedule, String> {
        if time < Duration::from_secs(1) {
            return Err(format!("{time:?} is under a second"));
        }
        Ok(Schedule::Every(time))
    }

    /// Creates a schedule from a cron expression.
    ///
    /// # Errors
    /// What is wrong with the expression.
    pub fn cron(line: &str) -> Result<Schedule, String> {
        Cron::from_str(line).map(|cron| Schedule::Cron(Box::new(cron))).map_err(|e| e.to_string())
    }

    /// The first due time after this time; `None` if there is none.
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

/// How due times that were missed are made up for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Missed {
    /// They are skipped.
    Skip,
    /// All of them together are made up for by one run.
    #[default]
    Once,
    /// Each is run, the oldest first, up to [`MAX_MISSED_RUNS`].
    Each,
}

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing before this time, if there is a next time at all.
    NotBefore(Option<i64>),
    /// This due time is to be run.
    Run(i64),
    /// All due times up to this one are to be skipped.
    Skip(i64),
}

/// What is due now. `last` is the last due time that was run or skipped, or the time when the task was first
/// seen; `max_lateness` is how long after its due time a run still counts as on time.
pub fn due(when: &Schedule, missed: Missed, last: i64, now: i64, max_lateness: Duration) -> Due {
    let Some(first) = when.after(last) else { return Due::NotBefore(None) };
    if first > now {
        return Due::NotBefore(Some(first));
    }
    let max_lateness = i64::try_from(max_lateness.as_secs()).unwrap_or(i64::MAX);
    // The latest due times up to now; no more than these are ever made up for.
    let mut times = std::collections::VecDeque::from([first]);
    let mut looked = 0;
    while let Some(next) = times.back().and_then(|time| when.after(*time)).filter(|next| *next <= now) {
        times.push_back(next);
        if times.len() > MAX_MISSED_RUNS {
            times.pop_front();
        }
        looked += 1;
        if looked > 10 * MAX_MISSED_RUNS {
            // After very many missed times, such as years: goes straight to the present.
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
    fn due_times_follow_an_interval_or_a_cron_expression() {
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
    fn missed_times_are_skipped_run_once_or_run_each() {
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
        // The last of them is only just due.
        assert_eq!(at(Missed::Skip, 4 * HOUR + 5), Due::Run(4 * HOUR));
        // More than are ever made up for, and a clock that was years off.
        assert_eq!(at(Missed::Each, 1000 * HOUR), Due::Run((1000 - MAX_MISSED_RUNS as i64 + 1) * HOUR));
        assert_eq!(at(Missed::Each, 1_000_000 * HOUR), Due::Run(1_000_000 * HOUR));
        assert_eq!(at(Missed::Skip, 1_000_000 * HOUR), Due::Skip(1_000_000 * HOUR));
    }
}
