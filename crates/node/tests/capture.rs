//! Captures: they are written on request, readable by the `capture` commands, and never stop the nodo.

use jaspershunt_capture::format::append_record;
use jaspershunt_capture::reader::{Part, parts};
use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig};
use jaspershunt_stand_ins::directory::Directory;
use jaspershunt_stand_ins::interpreter::{Interpreter, Work};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const SETTINGS: &str = concat!(
    r#"{"classes":[{"name":"look","worth":1,"targetS":0.3,"deadlineS":0.6,"semantics":"free"},"#,
    r#"{"name":"sign","worth":3,"targetS":0.3,"deadlineS":0.6,"semantics":"guarded","windowS":20}],"#,
    r#""domain":{"nCores":2,"heapKb":100000,"runFactor":4,"halt":"drop","say":"tokens","meters":["core_use","on_cores"],"#,
    r#""dependsOn":"common","fairCalls":20,"callsOverS":5},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":10,"fallS":2,"drainGraceS":0}}"#
);
/// Request body text that no capture may contain.
const SECRET: &str = "confidential";
const TIMEOUT: Duration = Duration::from_secs(20);

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(60), test).await.expect("the test hangs");
    });
}

struct Program {
    child: Child,
    folder: PathBuf,
    address: SocketAddr,
    interpreter: Interpreter,
    _dependency: Dependency,
}

impl Program {
    async fn start(name: &str, capture: &str) -> Program {
        let folder = std::env::temp_dir().join(format!("jaspershunt-{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("captures")).unwrap();
        let work = Work { core_time: Duration::from_millis(5), calls: 1 };
        let interpreter = Interpreter::start(2, &[("look", work.clone()), ("sign", work)]).await;
        let dependency =
            Dependency::start(DependencyConfig::new("registro", 4, Duration::from_millis(2))).await;
        let directory = Directory::start().await;
        let config = format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","vm":"{}","lookup":"{}","db":"127.0.0.1:9","settings":{SETTINGS}}}"#,
            interpreter.address(),
            directory.address()
        );
        let (path, site, log) = (folder.join("config.json"), folder.join("site.hcl"), folder.join("log"));
        std::fs::write(&path, config).unwrap();
        let captures = folder.join("captures");
        let text = format!(
            "capture {{\n  folder = \"{}\"\n{capture}}}\ndependency \"registro\" {{\n  addresses = [\"{}\"]\n}}\n\
             route \"look\" {{\n  repeat = \"safe\"\n  call \"any\" {{\n    to = \"registro\"\n    kept = \"5s\"\n  }}\n}}\n\
             route \"sign\" {{\n  repeat = \"keyed\"\n  call \"any\" {{ to = \"registro\" }}\n}}\n",
            captures.display(),
            dependency.address()
        );
        std::fs::write(&site, text).unwrap();
        // A partial file, as a killed process leaves it; the next process removes it.
        std::fs::write(captures.join("n1-00000000000001-0001-asked.jshcap.half"), b"half").unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_jaspershunt"))
            .args(["serve", "--operator", site.to_str().unwrap()])
            .env("NODE_CONFIG", &path)
            .env_remove("NODE_LISTEN")
            .stderr(std::fs::File::create(&log).unwrap())
            .spawn()
            .unwrap();
        while directory.mode().as_deref() != Some("open") {
            sleep(Duration::from_millis(2)).await;
        }
        let log_text = std::fs::read_to_string(&log).unwrap();
        let (_, listens) = log_text.split_once("listens on ").unwrap();
        let address = listens.lines().next().unwrap().parse().unwrap();
        Program { child, folder, address, interpreter, _dependency: dependency }
    }

    /// Sends far more requests at once than two cores can run in time. Returns the uid of a refused request.
    async fn overload(&self) -> String {
        let mut senders = Vec::new();
        for number in 0..4 {
            let balancer = Balancer::new(self.address, number, Some(self.interpreter.clone()));
            for n in 0..60 {
                let balancer = balancer.clone();
                // Every fourth request is keyed; every second of these is another try of the one before.
                let body = format!("{SECRET}{}", n / 8);
                let request = match n % 4 {
                    0 => Request {
                        key: Some(format!("key-{number}-{}", n / 8)),
                        resent: n % 8 == 4,
                        ..Request::new("sign", body.as_bytes())
                    },
                    _ => Request::new("look", body.as_bytes()),
                };
                senders.push(spawn_local(async move { balancer.send(&request, TIMEOUT).await }));
            }
        }
        let mut refused = None;
        for sender in senders {
            let answer = sender.await.unwrap();
            if answer.status == 503 {
                refused = Some(answer.uid);
            }
        }
        refused.expect("an overload refuses")
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    fn captures(&self) -> Vec<PathBuf> {
        let mut all: Vec<PathBuf> = std::fs::read_dir(self.folder.join("captures"))
            .unwrap()
            .map(|entry| entry.unwrap().path())
            .collect();
        all.sort();
        all
    }

    async fn wait_for_capture(&self, reason: &str) -> PathBuf {
        loop {
            let ending = format!("-{reason}.jshcap");
            if let Some(path) =
                self.captures().into_iter().find(|path| path.to_string_lossy().ends_with(&ending))
            {
                return path;
            }
            sleep(Duration::from_millis(2)).await;
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Runs a `capture` command; returns its output and whether it succeeded.
fn capture(args: &[&str], file: &Path, more: &[&str]) -> (String, bool) {
    let out = Command::new(env!("CARGO_BIN_EXE_jaspershunt"))
        .arg("capture")
        .args(args)
        .arg(file)
        .args(more)
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    (text, out.status.success())
}

/// Returns whether the decompressed capture contains a word.
fn contains_word(file: &Path, word: &str) -> bool {
    let mut payload = Vec::new();
    for part in parts(&std::fs::read(file).unwrap()).unwrap() {
        let Part::Block { records, .. } = part else { panic!("corrupt block") };
        records.iter().for_each(|record| append_record(&mut payload, record).unwrap());
    }
    payload.windows(word.len()).any(|bytes| bytes == word.as_bytes())
}

/// SIGUSR1 writes the ring. The capture replays ten times with the same result, breaks no rules, and explains
/// a refusal.
#[test]
fn a_requested_capture_replays_and_explains_a_refusal() {
    local(async {
        let program = Program::start("capture", "  ring = \"1MiB\"\n").await;
        assert!(program.captures().is_empty(), "the partial file is removed");
        let refused = program.overload().await;
        program.signal("-USR1");
        let file = program.wait_for_capture("asked").await;
        let (text, good) = capture(&["replay"], &file, &["--times", "10"]);
        assert!(good && text.contains("10 of 10 replays came to this"), "{text}");
        // The capture contains the key table and the decisions on dependencies, but no body or result.
        assert!(!text.contains(" 0 steps beside the module"), "{text}");
        assert!(contains_word(&file, "key-0-0") && !contains_word(&file, SECRET));
        let (text, good) = capture(&["rules"], &file, &[]);
        assert!(good && text.contains("0 broken rules"), "{text}");
        let (text, good) = capture(&["why"], &file, &[&refused]);
        assert!(good && text.contains("refused, ") && text.contains("N_max"), "{text}");
        assert!(!capture(&["why"], &file, &["ffffffffffffffff"]).1);
        let (text, good) = capture(&["summary"], &file, &[]);
        assert!(good && text.contains("look") && text.contains("180"), "{text}");
        // A redacted cut replays too, and no longer contains the names.
        let part = program.folder.join("part.jshcap");
        let out = ["--redact", "-o", part.to_str().unwrap()];
        assert!(capture(&["cut"], &file, &out).1);
        assert!(capture(&["replay"], &part, &[]).1);
        assert!(!capture(&["why"], &part, &[&refused]).1);
        assert!(!contains_word(&part, "key-0-0") && !contains_word(&part, &refused));
        let (text, good) = capture(&["diff"], &file, &[part.to_str().unwrap()]);
        assert!(good && text.contains("refused"), "{text}");
        // A truncated capture is read up to the damage; a file that is no capture is reported as such.
        let bytes = std::fs::read(&file).unwrap();
        std::fs::write(&part, &bytes[..bytes.len() - 9]).unwrap();
        assert!(capture(&["summary"], &part, &[]).0.contains("1 places are spoilt"));
        std::fs::write(&part, b"nothing").unwrap();
        assert!(capture(&["replay"], &part, &[]).0.contains("this is not a capture file"));
    });
}

/// A jump in refusals triggers a capture, and with `all` everything recorded is written when the nodo exits.
#[test]
fn a_jump_in_refusals_and_the_exit_are_captured() {
    local(async {
        let mut program =
            Program::start("jump", "  ring = \"1MiB\"\n  all = true\n  refusals = \"10%\"\n").await;
        program.overload().await;
        let file = program.wait_for_capture("refusals").await;
        assert!(capture(&["replay"], &file, &[]).1);
        program.signal("-TERM");
        while program.child.try_wait().unwrap().is_none() {
            sleep(Duration::from_millis(2)).await;
        }
        let file = program.wait_for_capture("end").await;
        assert!(capture(&["replay"], &file, &[]).1);
        assert!(capture(&["summary"], &file, &[]).0.contains("180"));
    });
}

/// An unusable capture folder is logged, and the nodo serves without captures.
#[test]
fn a_nodo_that_cannot_write_captures_still_serves() {
    local(async {
        let folder = std::env::temp_dir().join(format!("jaspershunt-nofolder-{}", std::process::id()));
        std::fs::write(&folder, b"a file").unwrap();
        let program = Program::start("nofolder-site", "  files = 1\n").await;
        let site = program.folder.join("site.hcl");
        std::fs::write(&site, format!("capture {{ folder = \"{}\" }}\n", folder.display())).unwrap();
        let (text, config) = (program.folder.join("log2"), program.folder.join("config.json"));
        let mut other = Command::new(env!("CARGO_BIN_EXE_jaspershunt"))
            .args(["serve", "--operator", site.to_str().unwrap()])
            .env("NODE_CONFIG", &config)
            .env_remove("NODE_LISTEN")
            .stderr(std::fs::File::create(&text).unwrap())
            .spawn()
            .unwrap();
        let log_text = loop {
            let log_text = std::fs::read_to_string(&text).unwrap();
            if log_text.contains("listens on") {
                break log_text;
            }
            sleep(Duration::from_millis(2)).await;
        };
        assert!(
            log_text.contains("capture.folder: ") && log_text.contains("nothing is captured"),
            "{log_text}"
        );
        other.kill().unwrap();
        other.wait().unwrap();
        std::fs::remove_file(&folder).unwrap();
    });
}
