//! Steering tables: epochs never decrease within an incarnation, and an epoch has the same content
//! everywhere.

#[cfg(test)]
mod tests;

use crate::format::{Op, Record, Table, Told};
use crate::table::{check_content, check_monotonic};
use crate::verdict::{Figures, Findings, History, Verdict};
use std::collections::BTreeSet;

/// Checks all recorded steering tables.
pub fn check(history: &History) -> Verdict {
    let (mut figures, mut seen): (_, Vec<(&Record, &Table)>) = (Figures::default(), Vec::new());
    for record in &history.records {
        if let (Op::SeenSteering, Some(Told::Table(table))) = (&record.op, record.told()) {
            figures.count(record);
            seen.push((record, table));
        }
    }
    figures.keys = seen.iter().map(|(record, _)| &record.who).collect::<BTreeSet<_>>().len() as u64;
    let mut findings = Findings::new(history);
    check_content("steering", &seen, &mut findings);
    check_monotonic("steering", &seen, &mut findings);
    findings.verdict(figures)
}
