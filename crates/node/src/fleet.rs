//! The nodo as a member of a fleet, if the operator's file configures one: the nodo's side of
//! [`jaspershunt_member`], and the operators' view and commands. The member runs on a thread of its own, so
//! that neither blocks the other.

pub mod pending_edits;
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

/// A handle to the member, for requests of operators and of the nodo.
#[derive(Clone, Debug)]
pub struct MemberHandle {
    pub(crate) orders: mpsc::Sender<Order>,
    /// The incarnation of the running member.
    pub me: Holder,
    /// This member's views of the parts of the replicated state, if the operator's file configures any.
    pub seen: Option<watch::Receiver<Newest>>,
    /// The view of the route table, if the file names teams.
    pub table: Option<routes::Tables>,
    /// The history of requests and results, if the operator's file configures one.
    pub history: Option<History>,
}

/// Whether the file configures replicated parts beside leases and tasks. All voters of a fleet must agree on
/// this.
fn has_parts(file: &File) -> bool {
    !file.handover.is_empty() || !file.team.is_empty() || file.steering.is_some()
}

/// Sends the newest view of the part of work to the engine.
pub async fn watch_work(way: MemberHandle, engine: mpsc::WeakSender<Input>) {
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

/// Records this member's views of the replicated state in the history.
async fn watch_history(mut seen: watch::Receiver<Newest>, history: History) {
    let mut shown = history::Shown::default();
    while seen.changed().await.is_ok() {
        shown.note(&seen.borrow_and_update(), &history);
    }
}

/// The most orders that wait: a few of operators, and the offers and ends of requests handed over to the
/// fleet.
const MAX_QUEUED_ORDERS: usize = 256;
/// How long an operator's request may take: the answer is due within 1 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// How often this process checks whether it still serves.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after a failure the member is restarted, unless the nodo leaves.
const RESTART_DELAY: Duration = Duration::from_secs(5);
/// How long a leaving member has to announce that.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Descriptors of the member beside its connections: its runtime's, the disk, the folder.
const FIXED_DESCRIPTORS: usize = 12;

/// Returns the number of descriptors that the member needs.
pub fn descriptors_needed(file: &File, name: &str) -> usize {
    let Some(fleet) = &file.fleet else { return 0 };
    let guests = if fleet.voter.contains_key(name) { fleet.links + 1 } else { 0 };
    let asks = file.handover.values().any(|handover| handover.resource.is_some());
    let questions = if asks { MAX_CONCURRENT_QUERIES } else { 0 };
    FIXED_DESCRIPTORS
        + guests
        + fleet.voter.len()
        + file.task.len()
        + usize::from(file.history.is_some())
        + questions
}

/// Returns the problems of the file's tasks, each with the path of its key.
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

/// Returns the grade of a task's lease.
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

/// Returns the function that proposes entries for the parts while this member is leader.
fn lead(file: &File, trial: operator::Trial) -> PartProposals {
    match trial {
        _ if !has_parts(file) => no_part_proposals,
        operator::Trial::None => jaspershunt_agreed::leader_entries,
        operator::Trial::Tenth => jaspershunt_agreed::leader_entries_with_trial::<100>,
        operator::Trial::Quarter => jaspershunt_agreed::leader_entries_with_trial::<250>,
        operator::Trial::Half => jaspershunt_agreed::leader_entries_with_trial::<500>,
    }
}

/// Returns the lease timing, which must be equal on all members.
pub fn lease_timing(fleet: &operator::Fleet) -> LeaseTiming {
    LeaseTiming { ttl: fleet.ttl.0, drift_permille: (fleet.drift.0 * 1000.0).round() as u32 }
}

/// Runs the member while this process `serves`, and leaves the fleet when it no longer does; ends once the
/// nodo `leaves`. Publishes the handle to the member by `publish`, and `None` when the member has ended.
pub async fn run_member(
    file: Rc<File>,
    name: String,
    serves: impl Fn() -> bool,
    leaves: impl Fn() -> bool,
    publish: impl Fn(Option<MemberHandle>),
) {
    let ends = async || {
        while serves() || !leaves() {
            sleep(POLL_INTERVAL).await;
        }
    };
    // Whether to retry: a nodo that leaves does not wait for that.
    let again = async |e: &io::Error| {
        log!(ERROR, "fleet: {e}; retrying later, requests are served as before");
        timeout(RESTART_DELAY, ends()).await.is_err()
    };
    loop {
        while !serves() {
            if leaves() {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        let mut starting = match start(&file, &name) {
            Ok(Some(starting)) => starting,
            Ok(None) => return,
            Err(e) if again(&e).await => continue,
            Err(_) => return,
        };
        // Guards against a stalled disk: only the member's thread waits for it, and no other is started
        // meanwhile.
        let prepared = tokio::select! {
            prepared = &mut starting.prepared => prepared,
            () = ends() => return,
        };
        let (me, history) = match prepared.unwrap_or_else(|e| Err(io::Error::other(e))) {
            Ok(prepared) => prepared,
            Err(e) if again(&e).await => continue,
            Err(_) => return,
        };
        // Guards against an incarnation from before another process took over: a thread that gets no start
        // signal ends.
        if !serves() {
            continue;
        }
        let (way, thread) = starting.go(me, history);
        publish(Some(way.clone()));
        while serves() && !thread.is_finished() {
            sleep(POLL_INTERVAL).await;
        }
        let failed = serves();
        publish(None);
        let _ = way.orders.try_send(Order::Leave);
        // Another process needs the address and the disk that this one has.
        let left = async {
            while !thread.is_finished() {
                sleep(POLL_INTERVAL / 10).await;
            }
        };
        // The leases of a member that does not leave in time expire.
        let left = timeout(LEAVE_TIMEOUT, left).await.is_ok();
        drop(way);
        if failed {
            log!(ERROR, "fleet: this member has ended; it is restarted, requests are served as before");
            if timeout(RESTART_DELAY, ends()).await.is_ok() {
                return;
            }
        } else if !left {
            log!(WARN, "fleet: this member leaves without an acknowledgement; its leases expire");
        }
    }
}

/// What a member reads and writes on disk before it may send anything: its incarnation, and its history file.
type Prepared = (Holder, Option<History>);

fn prepared(folder: &Path, name: &str, wanted: Option<&operator::History>) -> io::Result<Prepared> {
    let me = Holder::new(name, driver::incarnation(folder)?);
    let history = wanted.map(|wanted| History::start(wanted, &me.member, me.incarnation));
    Ok((me, history.transpose()?))
}

/// A member whose thread waits for its disk, and then for the start signal.
struct Starting {
    prepared: oneshot::Receiver<io::Result<Prepared>>,
    go: oneshot::Sender<()>,
    orders: mpsc::Sender<Order>,
    seen: Option<watch::Receiver<Newest>>,
    table: Option<routes::Tables>,
    thread: JoinHandle<()>,
}

impl Starting {
    fn go(self, me: Holder, history: Option<History>) -> (MemberHandle, JoinHandle<()>) {
        let Starting { go, orders, seen, table, thread, .. } = self;
        if let (Some(seen), Some(history)) = (&seen, &history) {
            spawn_local(watch_history(seen.clone(), history.clone()));
        }
        // An error means that the thread has ended, which the caller polls for.
        let _ = go.send(());
        (MemberHandle { orders, me, seen, table, history }, thread)
    }
}

/// Starts the member's thread.
fn start(file: &File, name: &str) -> io::Result<Option<Starting>> {
    let Some(fleet) = &file.fleet else { return Ok(None) };
    let folder = PathBuf::from(&fleet.folder);
    let tasks = file.task.iter().map(|(name, task)| spec(name, task)).collect::<Result<Vec<_>, _>>();
    let tasks = tasks.map_err(io::Error::other)?;
    let (name, wanted, fleet_name) = (name.to_string(), file.history.clone(), fleet.name.clone());
    let (has_parts, terms, lead) = (has_parts(file), lease_timing(fleet), lead(file, fleet.trial));
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
    let (orders, from_nodo) = mpsc::channel(MAX_QUEUED_ORDERS);
    let (tell, told) = oneshot::channel();
    let (go, goes) = oneshot::channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let prepared = prepared(&place.folder, &name, wanted.as_ref());
        let me = prepared.as_ref().ok().map(|(me, _)| me.clone());
        let waits = tell.send(prepared).is_ok();
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
                    Some((address, path)) => call_task(*address, path, &holder, &call).await,
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
    Ok(Some(Starting { prepared: told, go, orders, seen, table, thread }))
}

/// Makes one call of a task.
async fn call_task(address: SocketAddr, path: &str, holder: &Holder, call: &Call) -> CallOutcome {
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
        // Guards against a pause since the lease was checked: after this time another holder may call.
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

/// Proposes an entry on work, and returns its result within the given time. If a history is written, the
/// begin is recorded before the proposal.
pub async fn propose(
    way: &MemberHandle,
    entry: &jaspershunt_work::Entry,
    within: Duration,
) -> ProposalResult {
    let Some(history) = &way.history else { return send(way, entry, within).await };
    let began = Instant::now();
    let asked = history.begin(entry).await;
    let came = send(way, entry, within.saturating_sub(began.elapsed())).await;
    history.end(asked, entry, &came).await;
    came
}

async fn send(way: &MemberHandle, entry: &jaspershunt_work::Entry, within: Duration) -> ProposalResult {
    let (answer, outcome) = oneshot::channel();
    let entry = Entry::Part { part: jaspershunt_work::part::NAME.to_string(), bytes: entry.to_bytes() };
    let until = Instant::now() + within;
    match timeout_at(until, way.orders.send(Order::Propose { entry, answer })).await {
        Ok(Ok(())) => {}
        // The member has ended, or its queue is full: the entry was not proposed.
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
        // The leader does not have the part of work.
        Ok(Ok(Settled { outcome: Some(Outcome::Refused(_)), sent_again: false })) => ProposalResult::NotSent,
        _ => ProposalResult::Unknown,
    }
}

/// Queries the resource of a class for the outcome of an operation key; the header `x-ask: 1` marks a query
/// that must have no effect. Status 200 means that the operation was done and carries its result; 404 means
/// that it was not, and will not be under a lower token than the one sent.
pub async fn query_resource(
    address: SocketAddr,
    path: &str,
    key: &str,
    token: u64,
    within: Duration,
) -> QueryResult {
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

/// Answers an operator's request.
pub async fn answer(way: &MemberHandle, what: Wanted) -> Answer {
    let late = || Answer::No("the fleet does not answer in time; say it again".to_string());
    if what == Wanted::Show {
        let (answer, shown) = oneshot::channel();
        let asked = way.orders.try_send(Order::Show { answer }).is_ok();
        return match timeout(ANSWER_TIMEOUT, shown).await {
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
    match timeout(ANSWER_TIMEOUT, outcome).await {
        Ok(Ok(Settled { outcome: Some(Outcome::Refused(why)), .. })) => Answer::No(why.to_string()),
        Ok(Ok(Settled { outcome: Some(_), .. })) if asked => Answer::Done("agreed".to_string()),
        _ => late(),
    }
}

/// Formats the in-flight work for operators.
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

/// Formats the replicated state for operators.
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
