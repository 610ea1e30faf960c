//! Runs all checkers on the histories of a folder.

#[cfg(test)]
mod tests;

use crate::format::read;
use crate::verdict::{History, Verdict};
use crate::{effects, epochs, register, table, work};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};

/// Maximum files that are read: one for each incarnation of each process of the longest test.
pub const MAX_FILES: usize = 4096;

/// Maximum records that are read, about a gigabyte; the rest is cut.
pub const MAX_RECORDS: usize = 2_000_000;

/// Statistics of the files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Files {
    /// The number of files.
    pub all: usize,
    /// Files whose last line is torn because their process was killed.
    pub torn: usize,
    /// Operations in the files.
    pub records: usize,
    /// Operations without an end.
    pub open: usize,
}

/// The results of all checkers.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The files that were read.
    pub files: Files,
    /// The properties and their verdicts.
    pub verdicts: Vec<(&'static str, Verdict)>,
}

impl Report {
    /// Whether every property was found to hold. A property without records holds too, so tests also check
    /// the figures.
    pub fn is_fine(&self) -> bool {
        self.verdicts.iter().all(|(_, verdict)| verdict.is_fine())
    }
}

/// Reads all `*.history` files of a folder and checks them together.
///
/// # Errors
/// The folder or a file cannot be read. An invalid file is not an error: the history counts as cut short.
pub fn check_folder(folder: &Path) -> io::Result<Report> {
    let (history, files) = read_all(folder)?;
    Ok(Report { files, verdicts: check(&history) })
}

/// Reads all `*.history` files of a folder.
///
/// # Errors
/// The folder or a file cannot be read.
pub fn read_all(folder: &Path) -> io::Result<(History, Files)> {
    read_folder(folder, MAX_FILES, MAX_RECORDS)
}

/// Runs each checker on a history.
pub fn check(history: &History) -> Vec<(&'static str, Verdict)> {
    vec![
        ("registers", register::check(history)),
        ("tables", table::check(history)),
        ("work", work::check(history)),
        ("effects", effects::check(history)),
        ("epochs", epochs::check(history)),
    ]
}

fn read_folder(folder: &Path, max_files: usize, max_records: usize) -> io::Result<(History, Files)> {
    let mut paths: Vec<PathBuf> =
        std::fs::read_dir(folder)?.map(|entry| Ok(entry?.path())).collect::<io::Result<_>>()?;
    paths.retain(|path| path.extension().is_some_and(|end| end == "history"));
    paths.sort();
    let (mut history, mut files) = (History::default(), Files { all: paths.len(), ..Files::default() });
    let mut writers = BTreeSet::new();
    let mut cut = |why: String| {
        history.cut.get_or_insert(why);
    };
    if paths.is_empty() {
        cut(format!("{}: no history", folder.display()));
    }
    for path in &paths {
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if writers.len() == max_files || history.records.len() >= max_records {
            cut(format!("{name} and later files exceed the limit"));
            break;
        }
        let file = read(BufReader::new(File::open(path)?))?;
        files.torn += usize::from(file.torn);
        if let Some(why) = file.cut {
            cut(format!("{name}: {why}"));
        }
        // Guards against a copied file, which would repeat every effect, and against two incarnations with
        // the same number.
        if file.who.is_some_and(|who| !writers.insert(who)) {
            cut(format!("{name}: another file is of the same incarnation"));
            continue;
        }
        history.records.extend(file.records);
    }
    files.records = history.records.len();
    files.open = history.records.iter().filter(|record| record.end.is_none()).count();
    Ok((history, files))
}

#[cfg(feature = "report")]
impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        use crate::verdict::Figures;
        use comfy_table::{Table, presets};
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        table.set_header(["property", "verdict", "keys", "records", "unknown", "steps"]);
        for (name, verdict) in &self.verdicts {
            let mut row = vec![(*name).to_owned(), verdict.name().to_owned()];
            if let Verdict::Fine(Figures { keys, records, unknown, steps }) = verdict {
                row.extend([keys, records, unknown, steps].map(u64::to_string));
            }
            table.add_row(row);
        }
        let Files { all, torn, records, open } = self.files;
        writeln!(f, "{all} files, {torn} torn, {records} operations, {open} without an end\n")?;
        writeln!(f, "{}", table.trim_fmt())?;
        for (name, verdict) in self.verdicts.iter().filter(|(_, verdict)| !verdict.is_fine()) {
            writeln!(f, "\n{name}: {verdict}")?;
        }
        Ok(())
    }
}
