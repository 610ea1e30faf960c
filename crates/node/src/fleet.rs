//! The nodo as a member of a fleet, where the operator's file says so: what [`jaspershunt_member`] needs of the nodo, and what operators
//! are shown and may have done. It runs on a thread of its own, so that neither holds the other up.

pub mod held;
pub mod routes;

use crate::admin::line::{Answer, Fleet as Wanted};
use crate::engine::MAX_CONCURRENT_QUERIES;
use crate::engine::input::{FleetEvent, Input, ProposalResult};
use crate::history::{self, History};
use crate::request::escape_key;
use crate::{http, log};
use jaspershunt_fleet::client::Call;
use jaspershunt_fleet::holder::Grade;
use jaspershunt_fleet::parts::ReplicatedState;
use jaspershunt_fleet::schedule::{Missed, Schedule};
use jaspershunt_fleet::state::{MAX_CURSOR_BYTES, lease_of_task};
use jaspershunt_fleet::tasks::{CallOutcome, TaskSpec};
use jaspershunt_fleet::{Entry, Fleet, Holder, LeaseTiming, Outcome};
use jaspershunt_member::Setup;
use jaspershunt_member::driver::{self, DriverConfig, Newest, Order, Settled, now};
use jaspershunt_member::frame::StateReport;
use jaspershunt_member::member::{PartProposals, no_part_proposals, no_parts};
use jaspershunt_operator as operator;
use jaspershunt_operator::File;
use jaspershunt_work::{End, MemberView, QueryResult, Work};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The way to the member: what operators and the nodo want of it.
#[derive(Clone, Debug)]
pub struct Way {
    pub(crate) orders: mpsc::Sender<Order>,
    /// The start of the member that is there.
    pub me: Holder,
    /// What the parts of the agreed state show it, where the operator's file names any.
    pub seen: Option<watch::Receiver<Newest>>,
    /// What of it concerns the route table, where the file names teams.
    pub table: Option<routes::Tables>,
    /// Where what is asked and heard is written down, where the operator's file wants that.
    pub history: Option<History>,
}

/// Whether the file has anything that is agreed beside leases and tasks. All voters of a fleet have to say the same.
fn has_parts(file: &File) -> bool {
    !file.handover.is_empty() || !file.team.is_empty() || file.steering.is_some()
}

/// Tells the engine what the part of work shows this start, the newest alone.
pub async fn watch_work(way: Way, engine: mpsc::WeakSender<Input>) {
    let Some(mut seen) = way.seen else { return };
    let mut told = 0;
    while seen.changed().await.is_ok() {
        let newest = seen.borrow_and_update().get(jaspershunt_work::part::NAME).cloned();
        let Some((epoch, bytes)) = newest.filter(|(epoch, _)| *epoch > told) else { continue };
        told = epoch;
        let (Some(engine), Some(seen)) = (engine.upgrade(), MemberView::from_bytes(&bytes)) else { continue };
        if engine.send(Input::Fleet(FleetEvent::View(seen))).await.is_err() {
            return;
        }
    }
}

/// Writes down what the parts of the agreed state show this start.
async fn watch_history(mut seen: watch::Receiver<Newest>, history: History) {
    let mut shown = history::Shown::default();
    while seen.changed().await.is_ok() {
        shown.note(&seen.borrow_and_update(), &history);
    }
}

/// Orders that wait: operators' few, and the offers and ends of requests that are held by the fleet.
const ORDERS: usize = 256;
/// An operator's question is answered within this, or not at all: the answer is due within 1 s.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);
/// How often it is seen whether this process has the nodo still.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// After a failure of the member it is begun again so much later, unless the nodo leaves.
const BEGIN_AGAIN: Duration = Duration::from_secs(5);
/// A member that leaves has so long to say so.
const LEAVE_WITHIN: Duration = Duration::from_millis(500);
/// Descriptors of the member beside its connections: its thread's own, the disk, the folder.
const OTHER: usize = 12;

/// Descriptors that a member of the fleet needs.
pub fn sockets(file: &File, name: &str) -> usize {
    let Some(fleet) = &file.fleet else { return 0 };
    let guests = if fleet.voter.contains_key(name) { fleet.links + 1 } else { 0 };
    let asks = file.handover.values().any(|handover| handover.resource.is_some());
    let questions = if asks { MAX_CONCURRENT_QUERIES } else { 0 };
    OTHER + guests + fleet.voter.len() + file.task.len() + usize::from(file.history.is_some()) + questions
}

/// What of the file cannot be used, with the way to the key.
pub fn against(file: &File) -> Vec<String> {
    let wrong = file.task.iter().filter_map(|(name, task)| {
        let why = when(task).err()?;
        Some(format!("task.{name}.{}: {why}", if task.cron.is_some() { "cron" } else { "every" }))
    });
    wrong.collect()
}

fn when(task: &operator::Task) -> Result<Schedule, String> {
    match (&task.every, &task.cron) {
        (Some(every), _) => Schedule::every(every.0),
        (None, Some(line)) => Schedule::cron(line),
        (None, None) => Err("needs every or cron, to say when".to_string()),
    }
}

/// How safe the calls of a task are.
pub fn grade(task: &operator::Task) -> Grade {
    match task.grade {
        operator::Grade::Checked => Grade::Checked,
        operator::Grade::Timed => Grade::Timed { max_act: task.timeout.0, max_delay: task.way.0 },
    }
}

fn spec(name: &str, task: &operator::Task) -> Result<TaskSpec, String> {
    Ok(TaskSpec {
        name: name.to_string(),
        when: when(task)?,
        missed: match task.missed {
            operator::Missed::Skip => Missed::Skip,
            operator::Missed::Once => Missed::Once,
            operator::Missed::Each => Missed::Each,
        },
        grade: grade(task),
        timeout: task.timeout.0,
        tries: task.tries,
        backoff: task.wait.0,
        max_lateness: task.late.0,
    })
}

/// What this member proposes for parts while it leads.
fn lead(file: &File, trial: operator::Trial) -> PartProposals {
    match trial {
        _ if !has_parts(file) => no_part_proposals,
        operator::Trial::None => jaspershunt_agreed::leader_entries,
        operator::Trial::Tenth => jaspershunt_agreed::leader_entries_with_trial::<100>,
        operator::Trial::Quarter => jaspershunt_agreed::leader_entries_with_trial::<250>,
        operator::Trial::Half => jaspershunt_agreed::leader_entries_with_trial::<500>,
    }
}

/// What all members have agreed on beforehand.
pub fn terms(fleet: &operator::Fleet) -> LeaseTiming {
    LeaseTiming { ttl: fleet.ttl.0, drift_permille: (fleet.drift.0 * 1000.0).round() as u32 }
}

/// Runs the member while this process `serves`, and leaves the fleet when it does not any more; ends once the nodo `leaves`. Whoever
/// asks for the way to the member is told it by `publish`.
pub async fn keep(
    file: Rc<File>,
    name: String,
    serves: impl Fn() -> bool,
    leaves: impl Fn() -> bool,
    publish: impl Fn(Option<Way>),
) {
    let ends = async || {
        while serves() || !leaves() {
            sleep(LOOK_EVERY).await;
        }
    };
    // Whether it is tried again: a nodo that leaves does not wait for that.
    let again = async |e: &io::Error| {
        log!(ERROR, "fleet: {e}; tried again later, requests are served as ever");
        timeout(BEGIN_AGAIN, ends()).await.is_err()
    };
    loop {
        while !serves() {
            if leaves() {
                return;
            }
            sleep(LOOK_EVERY).await;
        }
        let mut starting = match start(&file, &name) {
            Ok(Some(starting)) => starting,
            Ok(None) => return,
            Err(e) if again(&e).await => continue,
            Err(_) => return,
        };
        // Guards against a disk that stalls: the member's thread alone waits for it, and no other is begun meanwhile.
        let numbered = tokio::select! {
            numbered = &mut starting.numbered => numbered,
            () = ends() => return,
        };
        let (me, history) = match numbered.unwrap_or_else(|e| Err(io::Error::other(e))) {
            Ok(numbered) => numbered,
            Err(e) if again(&e).await => continue,
            Err(_) => return,
        };
        // Guards against a number from before another process took over: a thread that is not told to go on ends.
        if !serves() {
            continue;
        }
        let (way, thread) = starting.go(me, history);
        publish(Some(way.clone()));
        while serves() && !thread.is_finished() {
            sleep(LOOK_EVERY).await;
        }
        let failed = serves();
        publish(None);
        let _ = way.orders.try_send(Order::Leave);
        // Another start needs the address and the disk that this one has.
        let left = async {
            while !thread.is_finished() {
                sleep(LOOK_EVERY / 10).await;
            }
        };
        // One that does not leave in time has said all that it could; its leases run out.
        let left = timeout(LEAVE_WITHIN, left).await.is_ok();
        drop(way);
        if failed {
            log!(ERROR, "fleet: this member has ended; it begins again, requests are served as ever");
            if timeout(BEGIN_AGAIN, ends()).await.is_ok() {
                return;
            }
        } else if !left {
            log!(WARN, "fleet: this member leaves without an answer; what it held runs out");
        }
    }
}

/// What a start of the member reads and writes before it may say anything: its number, and the file of its history.
type Numbered = (Holder, Option<History>);

fn numbered(folder: &Path, name: &str, wanted: Option<&operator::History>) -> io::Result<Numbered> {
    let me = Holder::new(name, driver::incarnation(folder)?);
    let history = wanted.map(|wanted| History::start(wanted, &me.member, me.incarnation));
    Ok((me, history.transpose()?))
}

/// A member whose thread waits for its disk, and then for the word to go on.
struct Starting {
    numbered: oneshot::Receiver<io::Result<Numbered>>,
    go: oneshot::Sender<()>,
    orders: mpsc::Sender<Order>,
    seen: Option<watch::Receiver<Newest>>,
    table: Option<routes::Tables>,
    thread: JoinHandle<()>,
}

impl Starting {
    fn go(self, me: Holder, history: Option<History>) -> (Way, JoinHandle<()>) {
        let Starting { go, orders, seen, table, thread, .. } = self;
        if let (Some(seen), Some(history)) = (&seen, &history) {
            spawn_local(watch_history(seen.clone(), history.clone()));
        }
        // An error means that the thread has ended, which is seen by that.
        let _ = go.send(());
        (Way { orders, me, seen, table, history }, thread)
    }
}

/// Starts the member on a thread of its own.
fn start(file: &File, name: &str) -> io::Result<Option<Starting>> {
    let Some(fleet) = &file.fleet else { return Ok(None) };
    let folder = PathBuf::from(&fleet.folder);
    let tasks = file.task.iter().map(|(name, task)| spec(name, task)).collect::<Result<Vec<_>, _>>();
    let tasks = tasks.map_err(io::Error::other)?;
    let (name, wanted, fleet_name) = (name.to_string(), file.history.clone(), fleet.name.clone());
    let (has_parts, terms, lead) = (has_parts(file), terms(fleet), lead(file, fleet.trial));
    let voters: BTreeMap<String, SocketAddr> =
        fleet.voter.iter().map(|(name, voter)| (name.clone(), voter.address)).collect();
    let listen = fleet.listen.or_else(|| voters.get(&name).copied());
    let (newest, seen) = has_parts.then(|| watch::channel(Newest::new())).unzip();
    let (reads, table) = routes::tables(file, seen.clone()).unzip();
    let heard = table.as_ref().map(|table: &routes::Tables| table.heard.clone());
    let place =
        DriverConfig { listen, voters, folder, max_connections: fleet.links, newest, last_answer_ms: heard };
    let targets: BTreeMap<String, (SocketAddr, String)> =
        file.task.iter().map(|(name, task)| (name.clone(), (task.address, task.path.clone()))).collect();
    let (orders, from_nodo) = mpsc::channel(ORDERS);
    let (tell, told) = oneshot::channel();
    let (go, goes) = oneshot::channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let numbered = numbered(&place.folder, &name, wanted.as_ref());
        let me = numbered.as_ref().ok().map(|(me, _)| me.clone());
        let waits = tell.send(numbered).is_ok();
        let Some(me) = me.filter(|_| waits && goes.blocking_recv().is_ok()) else { return };
        let setup = Setup {
            fleet: fleet_name,
            me: me.clone(),
            voters: place.voters.keys().cloned().collect(),
            timing: terms,
            tasks,
            parts: if has_parts { jaspershunt_agreed::parts } else { no_parts },
            part_proposals: lead,
        };
        let targets = Rc::new(targets);
        let call = move |holder: Holder, call: Call| {
            let targets = targets.clone();
            async move {
                match targets.get(&call.task) {
                    Some((address, path)) => act(*address, path, &holder, &call).await,
                    None => CallOutcome::Failed("the task is not in this nodo's file".into()),
                }
            }
        };
        let say = Rc::new(
            |what: String, look: bool| {
                if look { log!(WARN, "fleet: {what}") } else { log!("fleet: {what}") }
            },
        );
        log!("fleet: {} takes part in {}, incarnation {:x}", me.member, setup.fleet, me.incarnation);
        let member = async {
            if let Some(reads) = reads {
                spawn_local(reads.run());
            }
            driver::run(setup, place, from_nodo, call, say).await
        };
        if let Err(e) = LocalSet::new().block_on(&runtime, member) {
            log!(ERROR, "fleet: {e}");
        }
    };
    let thread = std::thread::Builder::new().name("fleet".to_string()).spawn(run)?;
    Ok(Some(Starting { numbered: told, go, orders, seen, table, thread }))
}

/// One call of a task.
async fn act(address: SocketAddr, path: &str, holder: &Holder, call: &Call) -> CallOutcome {
    let called = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {address}\r\nx-fleet-task: {}\r\nx-fleet-token: {}\r\nx-fleet-key: {}\r\n\
             x-fleet-holder: {}/{:x}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            call.task,
            call.token,
            call.key,
            holder.member,
            holder.incarnation,
            call.cursor.len()
        );
        let request = [head.as_bytes(), &call.cursor].concat();
        // Guards against a pause since the look at the lease: beyond this another may act.
        if now() > call.send_by {
            return Err(io::Error::other("too late to be sent"));
        }
        http::call(&mut stream, &request).await
    };
    match called.await {
        Err(e) => CallOutcome::Failed(e.to_string()),
        Ok(reply) if reply.body.len() > MAX_CURSOR_BYTES => {
            CallOutcome::Failed("its answer is over 1 KiB".into())
        }
        Ok(reply) => match reply.head.status {
            200 | 204 => CallOutcome::Done(reply.body),
            202 => CallOutcome::Partial(reply.body),
            412 => CallOutcome::OldToken,
            status => CallOutcome::Failed(format!("it answers with status {status}")),
        },
    }
}

/// Has an entry on work agreed, and tells what came of it within so long. Where a history is written, its begin is there first.
pub async fn propose(way: &Way, entry: &jaspershunt_work::Entry, within: Duration) -> ProposalResult {
    let Some(history) = &way.history else { return send(way, entry, within).await };
    let began = Instant::now();
    let asked = history.begin(entry).await;
    let came = send(way, entry, within.saturating_sub(began.elapsed())).await;
    history.end(asked, entry, &came).await;
    came
}

async fn send(way: &Way, entry: &jaspershunt_work::Entry, within: Duration) -> ProposalResult {
    let (answer, outcome) = oneshot::channel();
    let entry = Entry::Part { part: jaspershunt_work::part::NAME.to_string(), bytes: entry.to_bytes() };
    let until = Instant::now() + within;
    match timeout_at(until, way.orders.send(Order::Propose { entry, answer })).await {
        Ok(Ok(())) => {}
        // The member has ended, or has no room for it: it was not proposed.
        Ok(Err(_)) | Err(_) => return ProposalResult::NotSent,
    }
    match timeout_at(until, outcome).await {
        Ok(Ok(Settled { outcome: Some(Outcome::Part(bytes)), sent_again: again })) => {
            match jaspershunt_work::Outcome::from_bytes(&bytes) {
                Some(jaspershunt_work::Outcome::Refused(why)) if again => ProposalResult::ResentRefused(why),
                Some(outcome) => ProposalResult::Committed(outcome),
                None => ProposalResult::Unknown,
            }
        }
        // Those that lead know nothing of work.
        Ok(Ok(Settled { outcome: Some(Outcome::Refused(_)), sent_again: false })) => ProposalResult::NotSent,
        _ => ProposalResult::Unknown,
    }
}

/// Asks the resource of a class what became of an operation key: `x-ask: 1` says that nothing is to be done. Status 200 says that it was
/// done and brings the result, 404 that it was not and will not be under a lower token than the one shown.
pub async fn ask(address: SocketAddr, path: &str, key: &str, token: u64, within: Duration) -> QueryResult {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {address}\r\nx-ask: 1\r\nx-fleet-token: {token}\r\nx-operation-key: {}\r\n\
             content-length: 0\r\nconnection: close\r\n\r\n",
            escape_key(key)
        );
        http::call(&mut stream, head.as_bytes()).await
    };
    match timeout(within, asked).await {
        Ok(Ok(reply)) if reply.head.status == 200 => QueryResult::Done(reply.body),
        Ok(Ok(reply)) if reply.head.status == 404 => QueryResult::NeverRan,
        Ok(Ok(_)) => QueryResult::CannotTell,
        Ok(Err(_)) | Err(_) => QueryResult::AnswerLost,
    }
}

/// Answers an operator.
pub async fn answer(way: &Way, what: Wanted) -> Answer {
    let late = || Answer::No("the fleet does not answer in time; say it again".to_string());
    if what == Wanted::Show {
        let (answer, shown) = oneshot::channel();
        let asked = way.orders.try_send(Order::Show { answer }).is_ok();
        return match timeout(ANSWER_WITHIN, shown).await {
            Ok(Ok(shown)) if asked => Answer::Figures(show(&shown).to_string()),
            _ => late(),
        };
    }
    let entry = match what {
        Wanted::Show => return late(),
        Wanted::Run(task) => Entry::RequestRun { task },
        Wanted::Pause(task) => Entry::Pause { task, paused: true },
        Wanted::Resume(task) => Entry::Pause { task, paused: false },
        Wanted::Release(lease) => Entry::Revoke { lease },
    };
    let (answer, outcome) = oneshot::channel();
    let asked = way.orders.try_send(Order::Propose { entry, answer }).is_ok();
    match timeout(ANSWER_WITHIN, outcome).await {
        Ok(Ok(Settled { outcome: Some(Outcome::Refused(why)), .. })) => Answer::No(why.to_string()),
        Ok(Ok(Settled { outcome: Some(_), .. })) if asked => Answer::Done("agreed".to_string()),
        _ => late(),
    }
}

/// The work in hand for operators.
fn items(work: &Work) -> Vec<Value> {
    let item = |item: &jaspershunt_work::Item| {
        let end = item.ended.as_ref().map(|ended| match &ended.end {
            End::Done(result) => json!({"done": String::from_utf8_lossy(result)}),
            End::Failed => json!("failed"),
            End::NeverRan => json!("never ran"),
            End::Unknown => json!("unknown"),
        });
        let waiters: Vec<&str> = item.waiters.iter().map(|waiter| waiter.member.as_str()).collect();
        json!({"key": item.offer.key, "class": item.offer.class, "tenant": item.offer.tenant, "owner": item.owner.member,
            "token": item.token, "tokens_before": item.previous_tokens, "begun": item.begun_token,
            "handed_over": item.handed_over,
            "stage": format!("{:?}", item.stage()).to_lowercase(), "effect": format!("{:?}", item.offer.effect).to_lowercase(),
            "due_ms": item.offer.due_ms, "window_ends_ms": item.offer.window_ends_ms, "waiters": waiters, "end": end})
    };
    work.items().map(item).collect()
}

/// The agreed state for operators.
fn show(shown: &StateReport) -> Value {
    let fleet = Fleet::load(&shown.fleet).unwrap_or_default();
    let heard: BTreeMap<&str, u64> = shown.heard_ms.iter().map(|(name, ms)| (name.as_str(), *ms)).collect();
    let seat = |name: &str| shown.voter_slots.iter().find(|(member, ..)| member == name);
    let members: Vec<Value> = (fleet.members())
        .map(|(name, incarnation)| {
            let votes = seat(name).map(|(_, votes, _)| if *votes { "votes" } else { "learns" });
            json!({"name": name, "incarnation": format!("{incarnation:x}"), "seat": votes, "heard_ms": heard.get(name)})
        })
        .collect();
    let leases: Vec<Value> = (fleet.leases())
        .map(|(name, lease)| {
            let waiters: Vec<&str> = lease.candidates.iter().map(|waiter| waiter.member.as_str()).collect();
            json!({"name": name, "holder": lease.holder.member, "token": lease.token, "revoked": lease.revoked,
                "waiters": waiters})
        })
        .collect();
    let tasks: Vec<Value> = (fleet.tasks())
        .map(|(name, task)| {
            let result = task.result.as_ref().map(|result| String::from_utf8_lossy(result).into_owned());
            let run = task.run.as_ref().map(|run| {
                json!({"due": run.due, "key": run.key, "token": run.token, "holders": run.holder_count,
                    "cursor_bytes": run.cursor.len()})
            });
            let holder = fleet.lease(&lease_of_task(name)).map(|lease| lease.holder.member.as_str());
            json!({"name": name, "holder": holder, "paused": task.paused, "asked": task.run_requested, "aside": task.disabled_reason,
                "last_due": task.last_due, "run": run, "result": result})
        })
        .collect();
    let seats: Vec<Value> = (shown.voter_slots.iter())
        .map(
            |(member, votes, disk)| json!({"member": member, "votes": votes, "disk": format!("{disk:016x}")}),
        )
        .collect();
    let agreed = ReplicatedState::load_parts(Fleet::default(), &shown.parts, jaspershunt_agreed::parts());
    let work = agreed.ok().map(|agreed| jaspershunt_agreed::work(&agreed).map(items).unwrap_or_default());
    json!({"work": work, "by": shown.by, "leader": shown.leader, "age_ms": shown.age_ms, "term": shown.term,
        "applied": shown.applied, "tokens": fleet.last_token(), "seats": seats, "members": members, "leases": leases,
        "tasks": tasks})
}
