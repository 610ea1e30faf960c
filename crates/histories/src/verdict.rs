//! The results of checkers.

use crate::format::Record;
use std::fmt;

/// Maximum records that are shown with a finding.
pub const MAX_SHOWN: usize = 8;

/// The records of all processes of a test run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The records, in any order.
    pub records: Vec<Record>,
    /// Why records are missing, if any are.
    pub cut: Option<String>,
}

impl History {
    /// A history without missing records.
    pub fn whole(records: Vec<Record>) -> History {
        History { records, cut: None }
    }

    /// The last recorded time.
    pub fn end(&self) -> u64 {
        self.records.iter().map(|record| record.end.unwrap_or(record.begin)).max().unwrap_or(0)
    }
}

/// What was checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Registers, tables, keys of work, or incarnations.
    pub keys: u64,
    /// Records that were checked.
    pub records: u64,
    /// Those of them whose result is unknown.
    pub unknown: u64,
    /// Steps of the search, 0 for checkers without one.
    pub steps: u64,
}

impl Figures {
    /// Counts a record.
    pub(crate) fn count(&mut self, record: &Record) {
        self.records += 1;
        self.unknown += u64::from(record.came == crate::format::Came::Unknown);
    }
}

/// A violation, with the records that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What is wrong, and with which key.
    pub what: String,
    /// At most [`MAX_SHOWN`] records.
    pub records: Vec<Record>,
}

/// The result of a checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The history has the property.
    Fine(Figures),
    /// The history violates the property.
    Wrong {
        /// The first finding.
        first: Finding,
        /// The number of findings.
        all: u64,
    },
    /// The search reached its limit: nothing is known of this key.
    TooLong {
        /// The key.
        key: String,
        /// The number of steps.
        steps: u64,
    },
    /// Records are missing, and the rest shows no violation by itself.
    CutShort {
        /// Why they are missing.
        why: String,
    },
}

impl Verdict {
    /// Whether the history was found to have the property.
    pub fn is_fine(&self) -> bool {
        matches!(self, Verdict::Fine(_))
    }

    /// The name of the verdict.
    pub fn name(&self) -> &'static str {
        match self {
            Verdict::Fine(_) => "fine",
            Verdict::Wrong { .. } => "WRONG",
            Verdict::TooLong { .. } => "too long",
            Verdict::CutShort { .. } => "cut short",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Verdict::Fine(_) => write!(f, "fine"),
            Verdict::Wrong { first, all } => {
                write!(f, "{} (the first of {all})", first.what)?;
                first.records.iter().try_for_each(|record| write!(f, "\n    {record}"))
            }
            Verdict::TooLong { key, steps } => write!(f, "{key}: given up after {steps} steps"),
            Verdict::CutShort { why } => write!(f, "cut short: {why}"),
        }
    }
}

/// Collects the findings of a checker.
pub(crate) struct Findings<'a> {
    cut: Option<&'a str>,
    first: Option<Finding>,
    all: u64,
}

impl<'a> Findings<'a> {
    pub(crate) fn new(history: &'a History) -> Findings<'a> {
        Findings { cut: history.cut.as_deref(), first: None, all: 0 }
    }

    /// Reports a violation that holds whatever records are missing.
    pub(crate) fn report<'r>(&mut self, what: String, records: impl IntoIterator<Item = &'r Record>) {
        self.all += 1;
        if self.first.is_none() {
            self.first =
                Some(Finding { what, records: records.into_iter().take(MAX_SHOWN).cloned().collect() });
        }
    }

    /// Reports a violation unless records are missing.
    pub(crate) fn report_if_complete<'r>(
        &mut self,
        what: String,
        records: impl IntoIterator<Item = &'r Record>,
    ) {
        if self.cut.is_none() {
            self.report(what, records);
        }
    }

    pub(crate) fn verdict(self, figures: Figures) -> Verdict {
        match (self.first, self.cut) {
            (Some(first), _) => Verdict::Wrong { first, all: self.all },
            (None, Some(why)) => Verdict::CutShort { why: why.to_owned() },
            (None, None) => Verdict::Fine(figures),
        }
    }
}
