//! Effects, as the resource recorded them: at most one for a key, none with a lower token after one with a
//! higher token, and none of work that was reported never to have run.

#[cfg(test)]
mod tests;

use crate::format::{Came, Op, Record, Told, WorkEnd};
use crate::verdict::{Figures, Findings, History, Verdict};
use std::collections::BTreeMap;

/// The records of one key.
#[derive(Default)]
struct KeyRecords<'a> {
    /// Effects that certainly happened, with their tokens.
    done: Vec<(&'a Record, u64)>,
    /// Effects that may have happened.
    possible: Vec<&'a Record>,
    offers: Vec<&'a Record>,
    reported: Vec<(&'a Record, &'a WorkEnd, Option<u64>)>,
}

/// Checks all effects of a history.
pub fn check(history: &History) -> Verdict {
    let (mut keys, mut figures): (BTreeMap<&str, KeyRecords>, _) = (BTreeMap::new(), Figures::default());
    let mut fences: BTreeMap<&str, Vec<(&Record, u64)>> = BTreeMap::new();
    for record in &history.records {
        match &record.op {
            Op::Effect { key, fence, token, .. } => {
                let of = keys.entry(key).or_default();
                match record.came {
                    Came::Ok(_) => {
                        of.done.push((record, *token));
                        fences.entry(fence.as_deref().unwrap_or(key)).or_default().push((record, *token));
                    }
                    Came::Unknown => of.possible.push(record),
                    Came::Failed => {}
                }
            }
            Op::Offer { key, .. } => keys.entry(key).or_default().offers.push(record),
            Op::Outcome { key } | Op::Answered { key } => drop(keys.entry(key).or_default()),
            _ => continue,
        }
        figures.count(record);
        if let (
            Some(Told::Work { end, token }),
            Op::Offer { key, .. } | Op::Outcome { key } | Op::Answered { key },
        ) = (record.told(), &record.op)
        {
            keys.entry(key).or_default().reported.push((record, end, *token));
        }
    }
    let mut findings = Findings::new(history);
    for (key, of) in &keys {
        figures.keys += 1;
        of.check_at_most_one(key, &mut findings);
        of.check_reports(key, &mut findings);
    }
    for (fence, effects) in fences {
        check_fencing(fence, effects, &mut findings);
    }
    findings.verdict(figures)
}

impl KeyRecords<'_> {
    fn check_at_most_one(&self, key: &str, findings: &mut Findings) {
        if self.done.len() > 1 {
            let what = format!("effect {key}: happened {} times", self.done.len());
            findings.report(what, self.done.iter().map(|(record, _)| *record));
        }
    }

    /// Checks the effects against the offers and the reported outcomes.
    fn check_reports(&self, key: &str, findings: &mut Findings) {
        for (effect, token) in &self.done {
            let causes: Vec<&Record> =
                self.offers.iter().copied().filter(|offer| offer.begin <= effect.latest_end()).collect();
            if !self.offers.is_empty() && causes.iter().all(|offer| offer.came == Came::Failed) {
                let what = format!("effect {key}: happened, though all its offers were refused");
                findings.report_if_complete(what, causes.into_iter().chain([*effect]));
            }
            // A report with a token is about that run only, one without a token about all runs.
            let denied = self
                .reported
                .iter()
                .find(|(_, end, of)| **end == WorkEnd::NeverRan && of.is_none_or(|of| of == *token));
            if let Some((reported, ..)) = denied {
                findings.report(
                    format!("effect {key}: happened, and was reported never to have run"),
                    [*effect, *reported],
                );
            }
        }
        let leaves = |offer: &Record| matches!(offer.op, Op::Offer { leaves_effect: true, .. });
        let done = self.reported.iter().find(|(_, end, _)| matches!(end, WorkEnd::Done(_)));
        if let Some((reported, ..)) = done.filter(|_| self.offers.iter().any(|offer| leaves(offer))) {
            let mut effects_seen =
                self.done.iter().map(|(record, _)| *record).chain(self.possible.iter().copied());
            if !effects_seen.any(|effect| effect.begin <= reported.latest_end()) {
                findings.report_if_complete(
                    format!("effect {key}: reported as done, and did not happen"),
                    [*reported],
                );
            }
        }
    }
}

/// Checks that no effect with a lower token began after one with a higher token was over.
fn check_fencing(fence: &str, mut effects: Vec<(&Record, u64)>, findings: &mut Findings) {
    effects.sort_by_key(|(record, _)| record.begin);
    let mut ended = effects.clone();
    ended.sort_by_key(|(record, _)| record.latest_end());
    let (mut ended, mut highest) = (ended.into_iter().peekable(), None::<(&Record, u64)>);
    for (effect, token) in effects {
        while let Some(before) = ended.next_if(|(before, _)| before.ended_before(effect)) {
            highest = highest.filter(|(_, high)| *high >= before.1).or(Some(before));
        }
        if let Some((before, high)) = highest.filter(|(_, high)| *high > token) {
            let what = format!("effect in {fence}: token {token} acts after {high}");
            findings.report(what, [before, effect]);
        }
    }
}
