//! The replicated table of revisions: an acknowledged edit is in every later read, and revisions never
//! decrease.
//!
//! No search is needed: an edit counts from a revision on and a read reports its revision, so only one order
//! is possible. An unknown edit is in no read, or in one and all later ones. The table that a process uses
//! may be old, but its content must be that of its revision everywhere, and it never goes back within an
//! incarnation. The history must contain all edits, including those that set up a test.

#[cfg(test)]
mod tests;

use crate::format::{Came, Op, Record, Table, Told};
use crate::verdict::{Figures, Findings, History, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of an edit, which may have been sent more than once.
#[derive(Default)]
struct Edit<'a> {
    tries: Vec<&'a Record>,
    /// The first acknowledgement, and the revision it names.
    acknowledged: Option<(&'a Record, u64)>,
}

impl Edit<'_> {
    fn begin(&self) -> u64 {
        self.tries.iter().map(|record| record.begin).min().unwrap_or(0)
    }
}

/// The records of one table.
#[derive(Default)]
struct TableRecords<'a> {
    edits: BTreeMap<&'a str, Edit<'a>>,
    reads: Vec<(&'a Record, &'a Table)>,
    seen: Vec<(&'a Record, &'a Table)>,
}

/// Checks all tables of a history.
pub fn check(history: &History) -> Verdict {
    let (mut tables, mut figures): (BTreeMap<&str, TableRecords>, _) = (BTreeMap::new(), Figures::default());
    for record in &history.records {
        match (&record.op, &record.came) {
            (Op::Edit { table, edit }, _) => {
                tables.entry(table).or_default().edits.entry(edit).or_default().tries.push(record);
            }
            (Op::ReadTable { table }, Came::Ok(Told::Table(answer))) => {
                tables.entry(table).or_default().reads.push((record, answer));
            }
            (Op::SeenTable { table }, Came::Ok(Told::Table(answer))) => {
                tables.entry(table).or_default().seen.push((record, answer));
            }
            _ => continue,
        }
        figures.count(record);
    }
    let mut findings = Findings::new(history);
    for (name, of) in &mut tables {
        figures.keys += 1;
        of.collect_acknowledgements(name, &mut findings);
        let all: Vec<_> = of.reads.iter().chain(&of.seen).copied().collect();
        check_content(&format!("table {name}"), &all, &mut findings);
        of.check_order(name, &mut findings);
        of.check_edits(name, &mut findings);
        check_monotonic(&format!("table {name}"), &of.seen, &mut findings);
    }
    findings.verdict(figures)
}

impl<'a> TableRecords<'a> {
    /// Finds the acknowledgement of each edit.
    fn collect_acknowledgements(&mut self, name: &str, findings: &mut Findings) {
        for (id, edit) in &mut self.edits {
            for record in &edit.tries {
                let Some(Told::Revision(revision)) = record.told() else { continue };
                match edit.acknowledged {
                    Some((other, before)) if before != *revision => findings.report(
                        format!("table {name}: edit {id} was acknowledged at {before} and at {revision}"),
                        [other, record],
                    ),
                    Some((other, _)) if other.latest_end() <= record.latest_end() => {}
                    _ => edit.acknowledged = Some((record, *revision)),
                }
            }
        }
    }

    /// Checks that nothing with a lower revision began after something with a higher one was over.
    fn check_order(&self, name: &str, findings: &mut Findings) {
        // By revision, with its edits before its reads: begin, end and record.
        let mut order: Vec<((u64, bool), u64, u64, &Record)> = Vec::new();
        for edit in self.edits.values() {
            if let Some((record, revision)) = edit.acknowledged {
                order.push(((revision, false), edit.begin(), record.latest_end(), record));
            }
        }
        for (record, table) in &self.reads {
            order.push(((table.revision, true), record.begin, record.latest_end(), record));
        }
        order.sort_by_key(|(place, begin, ..)| (*place, *begin));
        // What began last among lower revisions, and what began last at the current place in the order.
        let (mut lower, mut same): (Option<Began>, Option<Began>) = (None, None);
        let mut place = None;
        for (at, begin, end, record) in order {
            if place.replace(at) != Some(at) {
                lower = later(lower, same.take());
            }
            same = later(same, Some((begin, record)));
            if let Some((_, other)) = lower.filter(|(began, _)| end < *began) {
                let what = format!("table {name}: revision {} was read, and a lower one after it", at.0);
                findings.report(what, [record, other]);
            }
        }
    }

    /// Checks that each table has all edits that it must have, and no others.
    fn check_edits(&self, name: &str, findings: &mut Findings) {
        let seen = self.seen.iter().filter(|(_, table)| !table.edits.is_empty());
        let mut tables: Vec<(&Record, &Table)> = self.reads.iter().chain(seen).copied().collect();
        tables.sort_by_key(|(record, table)| (table.revision, record.begin));
        let mut before: Option<(&Record, &Table, BTreeSet<&str>)> = None;
        for (record, table) in tables {
            let at = table.revision;
            let shown: BTreeSet<&str> = table.edits.iter().map(String::as_str).collect();
            for (id, edit) in &self.edits {
                if let Some((acknowledged, _)) =
                    edit.acknowledged.filter(|(_, from)| *from <= at && !shown.contains(id))
                {
                    findings.report(
                        format!("table {name}: edit {id} is lost at revision {at}"),
                        [acknowledged, record],
                    );
                }
            }
            for id in &shown {
                let Some(edit) = self.edits.get(id) else {
                    let what = format!("table {name}: revision {at} has edit {id}, which was never sent");
                    findings.report_if_complete(what, [record]);
                    continue;
                };
                if let Some((acknowledged, from)) = edit.acknowledged.filter(|(_, from)| *from > at) {
                    let what =
                        format!("table {name}: revision {at} has edit {id}, which counts from {from} on");
                    findings.report(what, [acknowledged, record]);
                }
                if edit.begin() > record.latest_end() {
                    let what = format!("table {name}: revision {at} has edit {id} before it was sent");
                    findings.report_if_complete(what, edit.tries.iter().copied().chain([record]));
                }
                if edit.tries.iter().all(|one| one.came == Came::Failed) {
                    let what = format!("table {name}: revision {at} has edit {id}, which was refused");
                    findings.report_if_complete(what, edit.tries.iter().copied().chain([record]));
                }
            }
            if let Some((other, lower, had)) = &before {
                let same = lower.revision == at;
                // Guards against an edit whose result is unknown and that appears and then disappears.
                if let Some(id) = had.iter().find(|id| !shown.contains(*id)) {
                    findings
                        .report(format!("table {name}: edit {id} is gone at revision {at}"), [other, record]);
                } else if same && had.len() != shown.len() {
                    findings.report(
                        format!("table {name}: revision {at} has two sets of edits"),
                        [other, record],
                    );
                }
            }
            before = Some((record, table, shown));
        }
    }
}

/// A begin time, and its record.
type Began<'a> = (u64, &'a Record);

/// Returns the entry that began later.
fn later<'a>(one: Option<Began<'a>>, two: Option<Began<'a>>) -> Option<Began<'a>> {
    [one, two].into_iter().flatten().max_by_key(|(begin, _)| *begin)
}

/// Checks that a revision has the same content in all records.
pub(crate) fn check_content<'a>(of: &str, tables: &[(&'a Record, &'a Table)], findings: &mut Findings) {
    let mut first: BTreeMap<u64, (&Record, &Table)> = BTreeMap::new();
    for (record, table) in tables {
        let (other, same) = first.entry(table.revision).or_insert((record, table));
        if same.content != table.content {
            findings.report(format!("{of}: {} has two contents", table.revision), [*other, *record]);
        }
    }
}

/// Checks that the tables an incarnation uses never go back. Overlapping records are not compared.
pub(crate) fn check_monotonic(of: &str, seen: &[(&Record, &Table)], findings: &mut Findings) {
    let mut by: BTreeMap<_, Vec<(&Record, &Table)>> = BTreeMap::new();
    for (record, table) in seen {
        by.entry(&record.who).or_default().push((record, table));
    }
    for (who, mut seen) in by {
        seen.sort_by_key(|(record, _)| record.begin);
        let mut ended = seen.clone();
        ended.sort_by_key(|(record, _)| record.latest_end());
        let (mut ended, mut highest) = (ended.into_iter().peekable(), None::<(&Record, &Table)>);
        for (record, table) in seen {
            while let Some((before, ended_table)) = ended.next_if(|(before, _)| before.ended_before(record)) {
                if highest.is_none_or(|(_, high)| high.revision < ended_table.revision) {
                    highest = Some((before, ended_table));
                }
            }
            if let Some((before, high)) = highest.filter(|(_, high)| high.revision > table.revision) {
                let what = format!("{of}: {who} goes back from {} to {}", high.revision, table.revision);
                findings.report(what, [before, record]);
            }
        }
    }
}
