//! Plays one case of the second review: `review-cases-2 CASE RECORD`, from the repository's root. Exits with 1 if
//! the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod balancer;
mod cases;
mod http;
mod interpreter;
mod nodo;
mod record;
mod wire;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// What became of the rule.
pub enum Verdict {
    /// It held.
    Held(String),
    /// It was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

/// What a case is given.
pub struct Case {
    /// The record.
    pub record: Record,
    /// The repository's root.
    pub root: PathBuf,
    /// A folder of this run alone.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record] = &args[..] else {
        eprintln!("usage: review-cases-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    // A case may take 120 s; it ends on its own long before.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        eprintln!("the case takes too long");
        nodo::kill_all();
        std::process::exit(2);
    });
    let case = Case {
        record: Record::create(Path::new(record)),
        root: std::env::current_dir().unwrap_or_default(),
        folder: folder.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    case.record.line(if case.trouble { "with the disruption" } else { "without the disruption" });
    let verdict = cases::play(name, &case);
    let _ = std::fs::remove_dir_all(&folder);
    let (text, code) = match verdict {
        Verdict::Held(text) => (format!("the rule held: {text}"), 0),
        Verdict::Broken(text) => (format!("THE RULE WAS BROKEN: {text}"), 1),
        Verdict::NotRun(text) => (format!("the case could not run: {text}"), 2),
    };
    case.record.line(&text);
    ExitCode::from(code)
}
