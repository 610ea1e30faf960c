//! Drivers of the review's cases: `jaspershunt-review CASE --run COMMAND --record FILE --tmp FOLDER`, started by
//! `review/N/run.sh` from the root of the repository. Exit codes: 0 the rule held, 1 it was broken, 2 the case could
//! not run.

mod fastcgi;
mod flood;
mod load;
mod nodo;
mod peers;
mod record;
mod retired;
mod shorter;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a case is started with.
pub struct Setting {
    /// `run` of the deploy file.
    pub run: String,
    pub record: Record,
    pub tmp: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// Whether the rule held; an error if the case could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let option = |name: &str| {
        let at = args.iter().position(|arg| arg == name);
        at.and_then(|at| args.get(at + 1)).cloned().unwrap_or_default()
    };
    let record = Record::create(&option("--record"));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setting =
        Setting { run: option("--run"), record: record.clone(), tmp: option("--tmp").into(), trouble };
    record.line(&format!("disruption: {}", if trouble { "played" } else { "left out" }));
    let verdict = match args.first().map(String::as_str) {
        Some("retired") => retired::play(&setting),
        Some("flood") => flood::play(&setting),
        Some("shorter") => shorter::play(&setting),
        other => Err(format!("unknown case {other:?}")),
    };
    match verdict {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::from(0)
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(why) => {
            record.say(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
