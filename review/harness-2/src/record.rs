//! The record of a case: what was sent, answered and run, in the order in which it was seen.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
    /// Whether lines go to the file alone.
    quiet: bool,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now(), quiet: false }
    }

    /// The same record, whose lines are not printed.
    pub fn quiet(&self) -> Record {
        Record { quiet: true, ..self.clone() }
    }

    /// Adds a line with the time since the start, and prints it.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        if !self.quiet {
            print!("{line}");
        }
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
