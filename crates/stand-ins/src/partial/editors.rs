//! Four teams that edit the route table while parts of the fleet fail. Each submits one edit after another at
//! any nodo and retries it until its outcome is known. Requests and answers are recorded but not checked
//! here.

use super::{CONVERGENCE_TIMEOUT, NODOS, now};
use jaspershunt_histories::format::{Came, Op, Table, Told, Value as Of, Who, Writer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Names of the teams.
pub const TEAMS: [&str; 4] = ["alfa", "brio", "casa", "dado"];
/// Configuration blocks of the teams in an operator's file.
pub const BLOCKS: &str = "team \"alfa\" {}\nteam \"brio\" {}\nteam \"casa\" {}\nteam \"dado\" {}\n";
/// Name of the table in the histories.
const TABLE: &str = "routes";
/// Timeout of a call, after which another nodo is tried.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two tries of one edit.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Current operators' address of a nodo.
pub type Admin = Rc<Cell<Option<SocketAddr>>>;

/// State shared by all teams.
#[derive(Clone)]
pub struct Editors {
    admins: Rc<Vec<Admin>>,
    writer: Rc<RefCell<Writer<File>>>,
    running: Rc<Cell<bool>>,
    /// Number of edits in force, in conflict at least once, ended otherwise, and without a known outcome in
    /// time.
    tally: Rc<Cell<[usize; 4]>>,
    write_error: Rc<RefCell<Option<String>>>,
    /// Last answers to edits whose outcome did not become known in time.
    unresolved: Rc<RefCell<Vec<String>>>,
}

impl Editors {
    pub(super) fn new(admins: Vec<Admin>, writer: Writer<File>) -> Editors {
        Editors {
            admins: Rc::new(admins),
            writer: Rc::new(RefCell::new(writer)),
            running: Rc::new(Cell::new(true)),
            tally: Rc::default(),
            write_error: Rc::default(),
            unresolved: Rc::default(),
        }
    }

    /// Returns the number of edits in force, in conflict at least once, ended otherwise, and without a known
    /// outcome in time.
    pub fn tally(&self) -> [usize; 4] {
        self.tally.get()
    }

    /// Returns the first error in writing the history, if any.
    pub fn write_error(&self) -> Option<String> {
        self.write_error.borrow().clone()
    }

    /// Stops submitting new edits.
    pub fn stop(&self) {
        self.running.set(false);
    }

    fn count(&self, index: usize) {
        let mut tally = self.tally.get();
        tally[index] += 1;
        self.tally.set(tally);
    }

    /// Calls a nodo; returns its answer, or `None` if it was incomplete.
    async fn call(&self, n: usize, line: &str) -> Option<Result<Value, String>> {
        let at = self.admins[n].get()?;
        let exchange = async {
            let mut stream = TcpStream::connect(at).await?;
            stream.write_all(format!("{line}\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            Ok::<_, io::Error>(answer)
        };
        let answer = timeout(ANSWER_TIMEOUT, exchange).await.ok()?.ok()?;
        match answer.strip_suffix("\r\n.\r\n") {
            Some(body) => serde_json::from_str(body).ok().map(Ok),
            None => answer.starts_with("-ERR").then_some(Err(answer)),
        }
    }

    async fn submit_change(&self, n: usize, change: &Value) -> Option<Result<Value, String>> {
        let body = change.to_string();
        self.call(n, &format!("ROUTES SAY {}\r\n{body}", body.len())).await
    }

    fn record_error<T>(&self, done: Result<T, impl ToString>) -> Option<T> {
        done.map_err(|e| self.write_error.borrow_mut().get_or_insert(e.to_string()).clone()).ok()
    }

    /// Submits an edit to one nodo after another until its outcome is known.
    async fn submit_until_known(&self, edit: &Value, first: usize, patience: Duration) -> Option<Value> {
        let name = format!("{}/{}", edit["id"]["team"].as_str().unwrap_or_default(), edit["id"]["number"]);
        let started = Instant::now();
        for n in 0.. {
            let op = Op::Edit { table: TABLE.into(), edit: name.clone() };
            let ticket = self.writer.borrow_mut().begin(now(), op);
            let answer = self.submit_change((first + n) % NODOS, &json!({"edit": edit})).await;
            let state = match &answer {
                Some(Ok(answer)) => answer["state"].as_str().unwrap_or_default(),
                _ => "",
            };
            let outcome = match (state, &answer) {
                ("in force", Some(Ok(answer))) => {
                    Came::Ok(Told::Revision(answer["revision"].as_u64().unwrap_or_default()))
                }
                ("refused" | "withdrawn", _) => Came::Failed,
                _ => Came::Unknown,
            };
            if let Some(ticket) = self.record_error(ticket) {
                let ended = self.writer.borrow_mut().end(ticket, now(), outcome);
                self.record_error(ended);
            }
            match answer {
                Some(Ok(answer)) if !["taken", "held", ""].contains(&state) => return Some(answer),
                other if started.elapsed() > patience => {
                    self.unresolved.borrow_mut().push(format!("{name}: {other:?}"));
                    return None;
                }
                _ => sleep(RETRY_DELAY).await,
            }
        }
        None
    }

    /// Generates a team's next edit: to its own resources, which cannot conflict, or to shared ones, which
    /// can.
    fn next_edit(team: &str, number: u64, base: u64, random: &mut StdRng) -> Value {
        let value = random.random_range(1..100_u64);
        let own = format!("dependency/{team}");
        let set =
            |thing: &str| json!([{"set": {"thing": thing, "field": "budget", "value": {"number": value}}}]);
        let add = |thing: &str| json!([{"add": {"thing": thing, "fields": {"budget": {"number": value}}}}]);
        let changes = match (number, random.random_range(0..3)) {
            (1, _) => add(&own),
            // All teams add this with different budgets, so all but one are in conflict or refused.
            (2, _) => add("dependency/comun"),
            (_, 0) => set("dependency/comun"),
            (_, 1) => set(&own),
            _ => json!([{"add": {"thing": format!("tenant/{team}-{number}"), "fields": {}}}]),
        };
        json!({"id": {"team": team, "number": number}, "base": base, "reason": "for the torment", "changes": changes})
    }

    /// Settles the conflicts of a team's edit in its own favor, then withdraws the edit in case it is
    /// still open: open edits would otherwise use up the limit on edits of one field.
    async fn end_conflicts(&self, team: &str, number: u64, answer: &Value, at: usize, patience: Duration) {
        let edit = json!({"team": team, "number": number});
        for conflict in answer["conflicts"].as_array().into_iter().flatten() {
            let settle = json!({"settle": {"conflict": conflict["id"], "by": team, "keep": [edit.clone()]}});
            // Whether this settlement came first follows from the later state of the edits.
            let _ = self.submit_change(at, &settle).await;
        }
        let (started, withdrawal) = (Instant::now(), json!({"withdraw": {"edit": edit}}));
        for n in 0.. {
            // Any other error means that the edit has ended.
            let done = match self.submit_change((at + n) % NODOS, &withdrawal).await {
                Some(Ok(_)) => true,
                Some(Err(why)) => !why.contains("does not answer"),
                None => false,
            };
            if done || started.elapsed() > patience {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Starts the four teams, each submitting one edit after another until [`Editors::stop`].
    pub fn load(&self, seed: u64, pause: Duration, patience: Duration) -> Vec<JoinHandle<()>> {
        let team = |(index, team): (usize, &'static str)| {
            let all = self.clone();
            spawn_local(async move {
                let mut random = StdRng::seed_from_u64(seed << 8 | index as u64);
                let mut base = 0;
                for number in 1u64.. {
                    if !all.running.get() {
                        return;
                    }
                    let first = random.random_range(0..NODOS);
                    if let Some(Ok(shown)) = all.call(first, "ROUTES SHOW").await {
                        base = shown["here"]["revision"].as_u64().unwrap_or(base);
                    }
                    let edit = Editors::next_edit(team, number, base, &mut random);
                    let answer = all.submit_until_known(&edit, first, patience).await;
                    let state =
                        answer.as_ref().and_then(|answer| answer["state"].as_str()).unwrap_or_default();
                    all.count(match state {
                        "in force" => 0,
                        "in conflict" => 1,
                        "" => 3,
                        _ => 2,
                    });
                    if let Some(answer) = answer.filter(|answer| answer["state"] == "in conflict") {
                        let at = random.random_range(0..NODOS);
                        all.end_conflicts(team, number, &answer, at, patience).await;
                    }
                    sleep(pause.mul_f64(random.random_range(0.5..1.5))).await;
                }
            })
        };
        TEAMS.into_iter().enumerate().map(team).collect()
    }

    /// Waits until all nodos show the same table and none has queued edits, then records each nodo's view;
    /// returns the revision.
    ///
    /// # Errors
    /// Fails if they do not converge in time or the view cannot be recorded.
    pub async fn wait_for_convergence(&self, histories: &Path) -> Result<u64, String> {
        let until = Instant::now() + CONVERGENCE_TIMEOUT;
        loop {
            let (begin, mut all) = (now(), Vec::new());
            for n in 0..NODOS {
                all.push(self.call(n, "ROUTES SHOW").await.and_then(Result::ok).unwrap_or_default());
            }
            let compared = |shown: &Value| {
                json!([
                    shown["here"]["table"],
                    shown["here"]["revision"],
                    shown["fleet"]["revision"],
                    shown["held"]
                ])
            };
            let first = compared(&all[0]);
            let agreed = first[1].as_u64().filter(|revision| first[2] == *revision && first[3] == json!([]));
            if let Some(revision) = agreed.filter(|_| all.iter().all(|shown| compared(shown) == first)) {
                for (n, shown) in all.iter().enumerate() {
                    record_seen_table(histories, n, begin, shown, revision).map_err(|e| e.to_string())?;
                }
                return Ok(revision);
            }
            if Instant::now() > until {
                let summary = |shown: &Value| {
                    let count = |list: &Value| list.as_array().map_or(0, Vec::len);
                    let (here, fleet) = (&shown["here"], &shown["fleet"]);
                    json!([
                        here["revision"],
                        fleet["revision"],
                        count(&fleet["open"]),
                        count(&fleet["conflicts"]),
                        shown["held"]
                    ])
                };
                let all: Vec<String> = all.iter().map(|shown| summary(shown).to_string()).collect();
                return Err(format!("{all:#?} {:#?}", self.unresolved.borrow()));
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Records the table that a nodo uses.
fn record_seen_table(histories: &Path, n: usize, begin: u64, shown: &Value, revision: u64) -> io::Result<()> {
    let lines = shown["fleet"]["log"].as_array().cloned().unwrap_or_default();
    // A truncated log is incomplete and yields no edits.
    let whole = lines.first().is_some_and(|line| line["revision"] == 1);
    let edit = |line: &Value| line["edit"].as_str().map(str::to_string);
    let edits = lines.iter().filter(|_| whole).filter_map(edit).collect();
    let table = Table { revision, content: Of::of(shown["here"]["table"].to_string()), edits };
    let mut writer = Writer::create(histories, &Who::new(&format!("seen-n{n}"), 1), super::FILE_BYTES)
        .map_err(io::Error::other)?;
    let ticket = writer.begin(begin, Op::SeenTable { table: TABLE.into() }).map_err(io::Error::other)?;
    writer.end(ticket, now(), Came::Ok(Told::Table(table))).map_err(io::Error::other)
}
