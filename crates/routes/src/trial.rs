//! Trials: a new table is used by a share of the members first, and by all only if these do no worse with
//! it.

use crate::mutants::{Mutant, is_active};
use crate::snapshot::Snapshot;
use crate::table::FULL_SHARE_PERMILLE;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hasher;

/// Requests needed on either side before a verdict. At a failure rate of 1 %, this many show a doubling.
pub const MIN_REQUESTS_PER_SIDE: u64 = 500;
/// An increase of the failed or slow requests up to this, in thousandths of all requests, is tolerated.
pub const TOLERATED_INCREASE_PERMILLE: u64 = 2;
/// After this time a table with too few requests is rolled back, since it cannot be shown to do no worse.
pub const MAX_TRIAL_MS: u64 = 30 * 60 * 1000;
/// No table is adopted before this time: slow effects, such as a budget that fills up, take a while to
/// show.
pub const MIN_TRIAL_MS: u64 = 30 * 1000;
/// Number of standard deviations beyond which a difference counts as significant.
const SIGNIFICANCE_STD_DEVS: f64 = 3.0;

/// Returns the position of a member in the order in which members get a new table. Depends on its name
/// alone.
fn trial_position(member: &str) -> u32 {
    let mut hash = SipHasher13::new();
    hash.write(member.as_bytes());
    (hash.finish() % u64::from(FULL_SHARE_PERMILLE)) as u32
}

/// Whether a member is in a trial with this share. Depends on its name alone, so that equal shares have
/// equal members.
pub fn in_trial(member: &str, permille: u32) -> bool {
    trial_position(member) < permille
}

/// Returns the share of a trial: the wanted one, adjusted so that at least one of the members is in the
/// trial and one is not. Returns the whole if that is impossible, as there is nothing to compare then.
pub fn trial_permille<'a>(members: impl IntoIterator<Item = &'a str>, wanted: u32) -> u32 {
    let positions: BTreeSet<u32> = members.into_iter().map(trial_position).collect();
    match (positions.first(), positions.last()) {
        (Some(first), Some(last)) if first < last => wanted.max(first + 1).min(*last),
        _ => FULL_SHARE_PERMILLE,
    }
}

/// Maximum number of requests in one report, so that sums over all incarnations cannot overflow.
pub const MAX_REPORTED_REQUESTS: u64 = 1 << 40;

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Counts {
    /// All requests.
    pub requests: u64,
    /// Requests that failed or were rejected.
    pub failed: u64,
    /// Requests that took longer than their class allows.
    pub slow: u64,
}

impl Counts {
    /// Returns the number of requests served in time.
    pub fn in_time(&self) -> u64 {
        self.requests.saturating_sub(self.failed).saturating_sub(self.slow)
    }

    /// Whether the counts are consistent and within bounds.
    pub fn is_plausible(&self) -> bool {
        self.requests <= MAX_REPORTED_REQUESTS && self.failed.saturating_add(self.slow) <= self.requests
    }

    /// Returns the sum of two counts.
    #[must_use]
    pub fn plus(&self, other: &Counts) -> Counts {
        Counts {
            requests: self.requests.saturating_add(other.requests),
            failed: self.failed.saturating_add(other.failed),
            slow: self.slow.saturating_add(other.slow),
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests, {} failed, {} late", self.requests, self.failed, self.slow)
    }
}

/// How a request ended, for the judgement of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served in time.
    InTime,
    /// Served too late, or abandoned by its caller.
    Slow,
    /// Failed or rejected.
    Failed,
}

/// Counts the requests of one incarnation that began during the newest trial it knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    trial: u64,
    revision: u64,
    counts: Counts,
}

impl Tally {
    /// Records the end of a request that began with this table. Requests that began while no trial ran do
    /// not count.
    pub fn record(&mut self, table: &Snapshot, how: RequestEnd) {
        let Some(trial) = table.trial.filter(|trial| *trial >= self.trial) else { return };
        if trial > self.trial {
            *self = Tally { trial, revision: table.revision, counts: Counts::default() };
        }
        if self.counts.requests >= MAX_REPORTED_REQUESTS {
            return;
        }
        self.counts.requests += 1;
        match how {
            RequestEnd::InTime => {}
            RequestEnd::Slow => self.counts.slow += 1,
            RequestEnd::Failed => self.counts.failed += 1,
        }
    }

    /// Returns the revision in use and the counts of this trial, if there are any.
    pub fn counts_for(&self, trial: u64) -> Option<(u64, Counts)> {
        (self.trial == trial && self.counts.requests > 0).then_some((self.revision, self.counts))
    }
}

/// The verdict on a table that is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// All members get it.
    Adopt,
    /// It is rolled back.
    RollBack(RollbackReason),
    /// The trial continues.
    Wait,
}

/// Why a table is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RollbackReason {
    /// More requests failed or were rejected.
    Failures,
    /// More requests were served late.
    Slow,
    /// There were too few requests on one side to show that it does no worse.
    TooFew,
}

impl fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RollbackReason::Failures => "more requests failed with it",
            RollbackReason::Slow => "more requests were served late with it",
            RollbackReason::TooFew => "too few requests came to show that it does no worse",
        })
    }
}

/// Judges a table by the requests of members without it (`before`) and with it (`after`) over the same
/// time.
///
/// It is rolled back as soon as failures or slow requests increase by significantly more than
/// [`TOLERATED_INCREASE_PERMILLE`]. It is adopted after enough requests and [`MIN_TRIAL_MS`]. An increase
/// above the tolerated one that is not significant prolongs the trial up to [`MAX_TRIAL_MS`]. With too few
/// requests a table is never adopted, but rolled back after [`MAX_TRIAL_MS`].
pub fn judge(before: &Counts, after: &Counts, waited_ms: u64) -> Verdict {
    let enough = before.requests.min(after.requests) >= MIN_REQUESTS_PER_SIDE || is_active(Mutant::FewDecide);
    if !enough {
        return if waited_ms >= MAX_TRIAL_MS {
            Verdict::RollBack(RollbackReason::TooFew)
        } else {
            Verdict::Wait
        };
    }
    let increases = [
        (RollbackReason::Failures, before.failed, after.failed),
        (RollbackReason::Slow, before.slow, after.slow),
    ];
    let (mut is_doubtful, mut reason) = (false, None);
    for (kind, was, is) in increases {
        let (n, m) = (before.requests.max(1) as f64, after.requests.max(1) as f64);
        let (p, q) = (was as f64 / n, is as f64 / m);
        let pooled = (was + is) as f64 / (n + m);
        let margin = SIGNIFICANCE_STD_DEVS * (pooled * (1.0 - pooled).max(0.0) * (1.0 / n + 1.0 / m)).sqrt();
        let excess = q - p - TOLERATED_INCREASE_PERMILLE as f64 / 1000.0;
        reason = reason.or((excess > margin).then_some(kind));
        is_doubtful |= excess > 0.0;
    }
    match (reason, is_doubtful) {
        (Some(kind), _) => Verdict::RollBack(kind),
        // An increase that is still not significant at the end of the trial is too small to matter.
        (None, true) if waited_ms < MAX_TRIAL_MS => Verdict::Wait,
        _ if waited_ms < MIN_TRIAL_MS => Verdict::Wait,
        _ => Verdict::Adopt,
    }
}
