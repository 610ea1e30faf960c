//! The program with captures on: written when asked for, readable by its own commands, and in nobody's way.

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
/// What no capture may hold.
const SECRET: &str = "confidential";
const PATIENCE: Duration = Duration::from_secs(20);

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
    _below: Dependency,
}

impl Program {
    async fn start(name: &str, capture: &str) -> Program {
        let folder = std::env::temp_dir().join(format!("jaspershunt-{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("captures")).unwrap();
        let work = Work { core_time: Duration::from_millis(5), calls: 1 };
        let interpreter = Interpreter::start(2, &[("look", work.clone()), ("sign", work)]).await;
        let below = Dependency::start(DependencyConfig::new("registro", 4, Duration::from_millis(2))).await;
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
            below.address()
        );
        std::fs::write(&site, text).unwrap();
        // What a process that was killed left half-written goes with the next start.
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
        let told = std::fs::read_to_string(&log).unwrap();
        let (_, listens) = told.split_once("listens on ").unwrap();
        let address = listens.lines().next().unwrap().parse().unwrap();
        Program { child, folder, address, interpreter, _below: below }
    }

    /// An overload: far more at once than two cores do in time. Returns an answer that was refused.
    async fn overload(&self) -> String {
        let mut senders = Vec::new();
        for number in 0..4 {
            let balancer = Balancer::new(self.address, number, Some(self.interpreter.clone()));
            for n in 0..60 {
                let balancer = balancer.clone();
                // Every fourth is keyed, and every other of these is a further try of the one before.
                let body = format!("{SECRET}{}", n / 8);
                let request = match n % 4 {
                    0 => Request {
                        key: Some(format!("key-{number}-{}", n / 8)),
                        resent: n % 8 == 4,
                        ..Request::new("sign", body.as_bytes())
                    },
                    _ => Request::new("look", body.as_bytes()),
                };
                senders.push(spawn_local(async move { balancer.send(&request, PATIENCE).await }));
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

    async fn written(&self, reason: &str) -> PathBuf {
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

/// What a command prints, and whether it ended well.
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

/// Whether a word stands anywhere in a capture, unpacked.
fn holds_in(file: &Path, word: &str) -> bool {
    let mut payload = Vec::new();
    for part in parts(&std::fs::read(file).unwrap()).unwrap() {
        let Part::Block { records, .. } = part else { panic!("spoilt") };
        records.iter().for_each(|record| append_record(&mut payload, record).unwrap());
    }
    payload.windows(word.len()).any(|bytes| bytes == word.as_bytes())
}

/// SIGUSR1 writes the ring; what it holds replays ten times to the same, keeps the rules, and tells why one was refused.
#[test]
fn a_capture_that_was_asked_for_replays_and_tells_why() {
    local(async {
        let program = Program::start("capture", "  ring = \"1MiB\"\n").await;
        assert!(program.captures().is_empty(), "what was half-written is swept");
        let refused = program.overload().await;
        program.signal("-USR1");
        let file = program.written("asked").await;
        let (text, good) = capture(&["replay"], &file, &["--times", "10"]);
        assert!(good && text.contains("10 of 10 replays came to this"), "{text}");
        // The table of keys and the decisions on dependencies are in it, and no body or result is.
        assert!(!text.contains(" 0 steps beside the module"), "{text}");
        assert!(holds_in(&file, "key-0-0") && !holds_in(&file, SECRET));
        let (text, good) = capture(&["rules"], &file, &[]);
        assert!(good && text.contains("0 broken rules"), "{text}");
        let (text, good) = capture(&["why"], &file, &[&refused]);
        assert!(good && text.contains("refused, ") && text.contains("N_max"), "{text}");
        assert!(!capture(&["why"], &file, &["ffffffffffffffff"]).1);
        let (text, good) = capture(&["summary"], &file, &[]);
        assert!(good && text.contains("look") && text.contains("180"), "{text}");
        // A part of it, with names hidden, replays too, and the names are gone.
        let part = program.folder.join("part.jshcap");
        let out = ["--redact", "-o", part.to_str().unwrap()];
        assert!(capture(&["cut"], &file, &out).1);
        assert!(capture(&["replay"], &part, &[]).1);
        assert!(!capture(&["why"], &part, &[&refused]).1);
        assert!(!holds_in(&part, "key-0-0") && !holds_in(&part, &refused));
        let (text, good) = capture(&["diff"], &file, &[part.to_str().unwrap()]);
        assert!(good && text.contains("refused"), "{text}");
        // One that is torn is read up to there; what is none is said to be none.
        let bytes = std::fs::read(&file).unwrap();
        std::fs::write(&part, &bytes[..bytes.len() - 9]).unwrap();
        assert!(capture(&["summary"], &part, &[]).0.contains("1 places are spoilt"));
        std::fs::write(&part, b"nothing").unwrap();
        assert!(capture(&["replay"], &part, &[]).0.contains("this is not a capture file"));
    });
}

/// Refusals that jump write a capture of themselves, and all that is recorded is there when the nodo has ended.
#[test]
fn refusals_that_jump_and_the_end_are_captured() {
    local(async {
        let mut program =
            Program::start("jump", "  ring = \"1MiB\"\n  all = true\n  refusals = \"10%\"\n").await;
        program.overload().await;
        let file = program.written("refusals").await;
        assert!(capture(&["replay"], &file, &[]).1);
        program.signal("-TERM");
        while program.child.try_wait().unwrap().is_none() {
            sleep(Duration::from_millis(2)).await;
        }
        let file = program.written("end").await;
        assert!(capture(&["replay"], &file, &[]).1);
        assert!(capture(&["summary"], &file, &[]).0.contains("180"));
    });
}

/// A folder that cannot be used is said, and the nodo serves all the same.
#[test]
fn a_nodo_that_cannot_write_captures_serves_all_the_same() {
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
        let told = loop {
            let told = std::fs::read_to_string(&text).unwrap();
            if told.contains("listens on") {
                break told;
            }
            sleep(Duration::from_millis(2)).await;
        };
        assert!(told.contains("capture.folder: ") && told.contains("nothing is captured"), "{told}");
        other.kill().unwrap();
        other.wait().unwrap();
        std::fs::remove_file(&folder).unwrap();
    });
}
