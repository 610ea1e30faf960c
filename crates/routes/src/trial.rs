//! A new table goes to a share of the members first, and on only when these do no worse.

use crate::mutants::{Mutant, is_active};
use crate::snapshot::Snapshot;
use crate::table::FULL_SHARE_PERMILLE;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hasher;

/// Requests on either side below which nothing is said. Ours: at one failure in a hundred it shows a doubling.
pub const MIN_REQUESTS_PER_SIDE: u64 = 500;
/// So much of all, in thousandths, is let pass as no worse.
pub const TOLERATED_INCREASE_PERMILLE: u64 = 2;
/// After so long a table that too few requests came to goes back, as nobody can say that it does no worse.
pub const MAX_TRIAL_MS: u64 = 30 * 60 * 1000;
/// No table goes on before this: what goes wrong slowly, such as a budget that fills, needs its time.
pub const MIN_TRIAL_MS: u64 = 30 * 1000;
/// Standard deviations beyond which a difference is no chance.
const SIGNIFICANCE_STD_DEVS: f64 = 3.0;

/// Where a member stands in the order in which members get a table, by its name alone.
fn trial_position(member: &str) -> u32 {
    let mut hash = SipHasher13::new();
    hash.write(member.as_bytes());
    (hash.finish() % u64::from(FULL_SHARE_PERMILLE)) as u32
}

/// Whether a member is among the first, by its name alone: the same members as long as the share is.
pub fn in_trial(member: &str, permille: u32) -> bool {
    trial_position(member) < permille
}

/// The share to begin with: the one wanted, or so much more that one of these members is among the first, or so much less that one is
/// not; all at once where that cannot be, as there is nothing to compare with then.
pub fn trial_permille<'a>(members: impl IntoIterator<Item = &'a str>, wanted: u32) -> u32 {
    let places: BTreeSet<u32> = members.into_iter().map(trial_position).collect();
    match (places.first(), places.last()) {
        (Some(first), Some(last)) if first < last => wanted.max(first + 1).min(*last),
        _ => FULL_SHARE_PERMILLE,
    }
}

/// Requests that one start tells of at most: sums over all starts stay far within what a number holds.
pub const MAX_REPORTED_REQUESTS: u64 = 1 << 40;

/// What some members have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// Of these, those that failed or were turned away.
    pub failed: u64,
    /// Of these, those that took longer than their class may.
    pub slow: u64,
}

impl Counts {
    /// Those that were served in time.
    pub fn in_time(&self) -> u64 {
        self.requests.saturating_sub(self.failed).saturating_sub(self.slow)
    }

    /// Whether this can be, and is within bounds.
    pub fn is_plausible(&self) -> bool {
        self.requests <= MAX_REPORTED_REQUESTS && self.failed.saturating_add(self.slow) <= self.requests
    }

    /// With those of another.
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

/// How a request ended, as far as a table is judged by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served in time.
    InTime,
    /// Served too late, or its caller did not wait for it.
    Slow,
    /// Failed or turned away.
    Failed,
}

/// What one start has seen of requests that began while it knew of a trial: of the newest trial alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    trial: u64,
    revision: u64,
    counts: Counts,
}

impl Tally {
    /// A request that began with this table is over. Those that began while there was no trial say nothing of one.
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

    /// What it has seen of this trial, by the revision that it uses.
    pub fn counts_for(&self, trial: u64) -> Option<(u64, Counts)> {
        (self.trial == trial && self.counts.requests > 0).then_some((self.revision, self.counts))
    }
}

/// What becomes of a table that is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// All get it.
    Adopt,
    /// It is taken back.
    RollBack(RollbackReason),
    /// It is too early to say.
    Wait,
}

/// RollbackReason a table is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RollbackReason {
    /// More requests failed or were turned away.
    Failures,
    /// More requests were served late.
    Slow,
    /// Too few came on one side to say that it does no worse.
    TooFew,
}

impl fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RollbackReason::Failures => "more requests failed with it",
            RollbackReason::Slow => "more requests were served late with it",
            RollbackReason::TooFew => "too few requests came to say that it does no worse",
        })
    }
}

/// Judges a table by what members without it (`before`) and with it (`after`) have seen in the same time.
///
/// It goes back as soon as failures or slow answers are more by over [`TOLERATED_INCREASE_PERMILLE`] and by more than chance, and goes on once there was
/// enough to see and the time was not too short. A difference that may be chance and is above what is let pass waits for more. Too few
/// requests never decide that it goes on: after [`MAX_TRIAL_MS`] it goes back.
pub fn judge(before: &Counts, after: &Counts, waited_ms: u64) -> Verdict {
    let enough = before.requests.min(after.requests) >= MIN_REQUESTS_PER_SIDE || is_active(Mutant::FewDecide);
    if !enough {
        return if waited_ms >= MAX_TRIAL_MS {
            Verdict::RollBack(RollbackReason::TooFew)
        } else {
            Verdict::Wait
        };
    }
    let seen = [
        (RollbackReason::Failures, before.failed, after.failed),
        (RollbackReason::Slow, before.slow, after.slow),
    ];
    let (mut doubt, mut worse) = (false, None);
    for (why, was, is) in seen {
        let (n, m) = (before.requests.max(1) as f64, after.requests.max(1) as f64);
        let (p, q) = (was as f64 / n, is as f64 / m);
        let both = (was + is) as f64 / (n + m);
        let chance = SIGNIFICANCE_STD_DEVS * (both * (1.0 - both).max(0.0) * (1.0 / n + 1.0 / m)).sqrt();
        let more = q - p - TOLERATED_INCREASE_PERMILLE as f64 / 1000.0;
        worse = worse.or((more > chance).then_some(why));
        doubt |= more > 0.0;
    }
    match (worse, doubt) {
        (Some(why), _) => Verdict::RollBack(why),
        // What stays in doubt for the whole trial is too small to be seen.
        (None, true) if waited_ms < MAX_TRIAL_MS => Verdict::Wait,
        _ if waited_ms < MIN_TRIAL_MS => Verdict::Wait,
        _ => Verdict::Adopt,
    }
}
