//! Work: accepted work has one outcome, the same in every answer.

#[cfg(test)]
mod tests;

use crate::format::{Came, Op, Record, Told, Who, WorkEnd};
use crate::verdict::{Figures, Findings, History, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// A reported outcome, and the token of the run that it is about.
type Outcome<'a> = (&'a Record, &'a WorkEnd, Option<u64>);

/// The records of one key.
#[derive(Default)]
struct KeyRecords<'a> {
    offers: Vec<&'a Record>,
    reported: Vec<Outcome<'a>>,
    begun: BTreeMap<u64, (&'a Who, &'a Record)>,
}

/// Checks all work of a history.
pub fn check(history: &History) -> Verdict {
    let (mut keys, mut figures): (BTreeMap<&str, KeyRecords>, _) = (BTreeMap::new(), Figures::default());
    let mut findings = Findings::new(history);
    for record in &history.records {
        let key = match &record.op {
            Op::Offer { key, .. } | Op::Begun { key, .. } | Op::Outcome { key } | Op::Answered { key } => key,
            _ => continue,
        };
        figures.count(record);
        let of = keys.entry(key).or_default();
        if let Op::Offer { .. } = record.op {
            of.offers.push(record);
        }
        if let Some(Told::Work { end, token }) = record.told() {
            of.reported.push((record, end, *token));
        }
        if let (Op::Begun { token, .. }, Came::Ok(_)) = (&record.op, &record.came) {
            let (who, other) = of.begun.entry(*token).or_insert((&record.who, record));
            if **who != record.who {
                let what = format!("work {key}: {who} and {} began it under token {token}", record.who);
                findings.report(what, [*other, record]);
            }
        }
    }
    let end = history.end();
    for (key, of) in keys {
        figures.keys += 1;
        of.check_outcome(key, end, &mut findings);
    }
    findings.verdict(figures)
}

/// Accepted work whose outcome was never reported. For tests whose clients ask for the outcomes of all work
/// at the end, whether or not it is due.
pub fn without_outcome(history: &History) -> Vec<String> {
    let (mut accepted, mut reported) = (BTreeSet::new(), BTreeSet::new());
    for record in &history.records {
        match (&record.op, record.told()) {
            (Op::Offer { key, .. } | Op::Outcome { key } | Op::Answered { key }, Some(Told::Work { .. })) => {
                reported.insert(key);
            }
            (Op::Offer { key, .. }, Some(_)) => drop(accepted.insert(key)),
            _ => {}
        }
    }
    accepted.difference(&reported).map(|key| (*key).clone()).collect()
}

impl KeyRecords<'_> {
    fn check_outcome(&self, key: &str, end: u64, findings: &mut Findings) {
        // Work that never ran under one token may be done under another; any other outcome is about the key
        // as a whole.
        let of_one = |end: &WorkEnd, token: &Option<u64>| *end == WorkEnd::NeverRan && token.is_some();
        let conflicts = |(_, one, of): &Outcome, (_, other, of_other): &Outcome| {
            one != other && (!of_one(one, of) && !of_one(other, of_other) || of == of_other)
        };
        let two = self.reported.iter().enumerate().find_map(|(n, reported)| {
            self.reported[..n].iter().find(|other| conflicts(reported, other)).map(|other| (other, reported))
        });
        if let Some(((first, one, _), (second, other, _))) = two {
            findings.report(format!("work {key}: two outcomes, {one:?} and {other:?}"), [*first, *second]);
        }
        let accepted = self.offers.iter().filter(|offer| offer.told().is_some());
        let due = accepted.filter_map(|offer| match &offer.op {
            Op::Offer { due, .. } => Some((*due, *offer)),
            _ => None,
        });
        // The latest due time counts.
        if let Some((due, offer)) = due.max_by_key(|(due, _)| *due)
            && due <= end
            && self.reported.is_empty()
        {
            findings
                .report_if_complete(format!("work {key}: accepted, overdue, and has no outcome"), [offer]);
        }
        for (record, outcome, _) in &self.reported {
            let before: Vec<&Record> =
                self.offers.iter().copied().filter(|offer| offer.begin <= record.latest_end()).collect();
            if before.is_empty() {
                findings.report_if_complete(format!("work {key}: an outcome without an offer"), [*record]);
            } else if **outcome != WorkEnd::NeverRan && before.iter().all(|offer| offer.came == Came::Failed)
            {
                let what = format!("work {key}: refused, and still has an outcome");
                findings.report_if_complete(what, before.into_iter().chain([*record]));
            }
        }
    }
}
