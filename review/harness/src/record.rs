//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &str) -> Record {
        Record(Arc::new((Mutex::new(File::create(path).expect("the record can be written")), Instant::now())))
    }

    pub fn began(&self) -> Instant {
        self.0.1
    }

    pub fn line(&self, text: &str) {
        let at = self.0.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.0.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
