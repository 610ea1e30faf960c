//! The nodo's side of the route table: the snapshot that routes requests, and the operators' view and
//! requests.
//!
//! The member's view is decoded on the member's thread ([`TableReader`]) and handed over whole, so that
//! requests never wait for it. Work in proportion to the size of the table runs on a blocking thread, only on
//! an operator's request.

use super::pending_edits::PendingEdits;
use super::{ANSWER_TIMEOUT, MemberHandle, lease_timing};
use crate::admin::line::Answer;
use crate::engine::input::Input;
use crate::log;
use jaspershunt_fleet::parts::ReplicatedState;
use jaspershunt_fleet::{Entry as FleetEntry, Fleet, Outcome as FleetOutcome};
use jaspershunt_member::driver::{Newest, Order, Settled, now};
use jaspershunt_member::frame::StateReport;
use jaspershunt_operator::{CutOff, File};
use jaspershunt_routes::overlay::without_address;
use jaspershunt_routes::part::{MemberView, NAME, TrialStatus};
use jaspershunt_routes::trial::{Counts, Tally};
use jaspershunt_routes::{
    Change, Conflict, ConflictId, Edit, EditId, EditKey, EditState, Entry, FinalState, Outcome, Refusal,
    Routes, Snapshot,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The longest request of an operator: an edit of 7 KiB is three times that as JSON.
pub const MAX_REQUEST_BYTES: usize = 32 * 1024;
/// How long a commit may take, so that an unanswered edit is on disk within the second in which an answer is
/// due.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the disk may take.
const DISK_TIMEOUT: Duration = Duration::from_millis(300);
/// How often pending edits are resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// How often the counts of a trial are reported to the fleet.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// The most ended edits that are shown of each team.
const MAX_ENDED_SHOWN: usize = 16;

/// The newest table of the member.
#[derive(Clone, Debug)]
pub struct Tables {
    newest: watch::Receiver<Option<Snapshot>>,
    /// When the leader last answered this member, in milliseconds of [`now`]; 0: never.
    pub heard: Arc<AtomicU64>,
}

/// Decodes the table on the member's thread.
pub struct TableReader {
    seen: watch::Receiver<Newest>,
    to: watch::Sender<Option<Snapshot>>,
}

/// Creates both ends, if the file names teams.
pub fn tables(file: &File, seen: Option<watch::Receiver<Newest>>) -> Option<(TableReader, Tables)> {
    let seen = seen.filter(|_| !file.team.is_empty())?;
    let (to, newest) = watch::channel(None);
    Some((TableReader { seen, to }, Tables { newest, heard: Arc::default() }))
}

impl TableReader {
    /// Decodes new views until the member ends.
    pub async fn run(mut self) {
        let mut told = 0;
        while self.seen.changed().await.is_ok() {
            let newest = self.seen.borrow_and_update().get(NAME).cloned();
            let Some((epoch, bytes)) = newest.filter(|(epoch, _)| *epoch > told) else { continue };
            told = epoch;
            let Some(seen) = MemberView::from_bytes(&bytes) else { continue };
            // Most views change conflicts only, not the table.
            let same = |was: &Snapshot| {
                (was.revision, was.on_trial, was.trial) == (seen.revision, seen.on_trial, seen.trial)
            };
            if !self.to.borrow().as_ref().is_some_and(same) {
                let _ = self.to.send(Some(seen.snapshot(0)));
            }
        }
    }
}

/// A request of an operator.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Said {
    /// An edit.
    Edit(Edit),
    /// Computes the outcome of these edits together with the open ones. Sends nothing.
    Merge(Vec<Edit>),
    /// A team withdraws its own edit.
    Withdraw {
        /// The edit.
        edit: Named,
    },
    /// A team grants or denies its consent to an edit that touches its things.
    Word {
        /// The edit.
        edit: Named,
        /// The team.
        by: String,
        /// Whether consent is granted.
        yes: bool,
    },
    /// A conflict is settled.
    Settle {
        /// Its number, in digits as it is shown.
        conflict: String,
        /// The team that settles it.
        by: String,
        /// The edits to keep.
        keep: Vec<Named>,
    },
    /// An edit that undoes what was published.
    Undo {
        /// What to undo.
        what: What,
        /// The new edit's team and number.
        id: EditId,
        /// The reason.
        reason: String,
    },
}

/// The target of an undo.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// All edits of a revision.
    Revision(u64),
    /// One edit.
    Edit(Named),
}

/// The name of an edit. The digest is needed only if a team used a number twice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Named {
    /// The team.
    pub team: String,
    /// Its number.
    pub number: u64,
    /// The digest of its content, in hexadecimal digits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
}

impl Named {
    fn is(&self, key: &EditKey) -> bool {
        let digest = self.digest.as_ref().is_none_or(|digest| *digest == format!("{:016x}", key.digest));
        key.id.team == self.team && key.id.number == self.number && digest
    }

    fn among(&self, keys: impl IntoIterator<Item = EditKey>) -> Result<EditKey, String> {
        let mut keys = keys.into_iter().filter(|key| self.is(key));
        match (keys.next(), keys.next()) {
            (Some(key), None) => Ok(key),
            (Some(_), Some(_)) => {
                Err(format!("{}/{} stands for two edits: name its digest too", self.team, self.number))
            }
            (None, _) => Err(format!("{}/{} is no such edit, or has ended", self.team, self.number)),
        }
    }
}

/// The nodo's side of the route table. It outlives the members, which may be restarted.
#[derive(Debug)]
pub struct RouteTableService {
    file: Rc<File>,
    /// The table for new requests.
    table: RefCell<Option<Snapshot>>,
    held: PendingEdits,
    /// The engine's counts of trials.
    tally: Rc<RefCell<Tally>>,
}

impl RouteTableService {
    /// Creates the service, and starts reading back the pending edits of an earlier process without waiting
    /// for the disk. Needs a local set.
    pub fn new(file: &Rc<File>, tally: &Rc<RefCell<Tally>>) -> Rc<RouteTableService> {
        let folder = file.fleet.as_ref().map_or_else(String::new, |fleet| fleet.folder.clone());
        let (held, turn) = PendingEdits::new(Path::new(&folder));
        let service = Rc::new(RouteTableService {
            file: file.clone(),
            table: RefCell::default(),
            held,
            tally: tally.clone(),
        });
        let reads = service.clone();
        spawn_local(async move { reads.held.read_back(turn).await });
        service
    }

    /// Runs while a member runs: forwards its tables to the engine, resends pending edits, and reports trial
    /// counts.
    pub async fn attend(self: Rc<RouteTableService>, handle: MemberHandle, engine: mpsc::WeakSender<Input>) {
        let Some(mut newest) = handle.table.as_ref().map(|table| table.newest.clone()) else { return };
        let (mut send, mut tell) = (Instant::now(), Instant::now());
        let mut told = None;
        loop {
            tokio::select! {
                changed = newest.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let table = newest.borrow_and_update().clone();
                    let (Some(table), Some(engine)) = (table, engine.upgrade()) else { continue };
                    *self.table.borrow_mut() = Some(table.clone());
                    if engine.send(Input::RouteTable(table)).await.is_err() {
                        return;
                    }
                }
                () = sleep(send.saturating_duration_since(Instant::now())) => {
                    send = Instant::now() + RESEND_INTERVAL;
                    if self.resend_pending(&handle).await {
                        send = Instant::now();
                    }
                }
                () = sleep(tell.saturating_duration_since(Instant::now())) => {
                    tell = Instant::now() + REPORT_INTERVAL;
                    self.report_counts(&handle, &mut told).await;
                }
            }
        }
    }

    /// Reports the counts of the present trial since its start, if they changed. The next report covers a
    /// lost one.
    async fn report_counts(&self, handle: &MemberHandle, told: &mut Option<(u64, Counts)>) {
        let Some(trial) = self.table.borrow().as_ref().and_then(|table| table.trial) else { return };
        let seen = self.tally.borrow().counts_for(trial);
        let Some((revision, counts)) = seen.filter(|(_, counts)| *told != Some((trial, *counts))) else {
            return;
        };
        let entry = Entry::ReportCounts { by: handle.me.clone(), trial, revision, counts };
        if propose_entry(handle, &entry, COMMIT_TIMEOUT).await == Some(Outcome::Done) {
            *told = Some((trial, counts));
        }
    }

    /// Resends the first pending edit; returns whether the fleet has decided on it. Edits that the other process
    /// of an upgrade accepted are resent too, as only this process has a member.
    async fn resend_pending(&self, handle: &MemberHandle) -> bool {
        // Guards against a stalled disk: this task also forwards the tables that route requests.
        let _ = timeout(DISK_TIMEOUT, self.held.refresh_if_free()).await;
        let Some((key, edit)) = self.held.first() else { return false };
        match propose(handle, &edit).await {
            // Room may become free later.
            None | Some(Outcome::Refused(Refusal::Full(_) | Refusal::TooManyOnField(..))) => false,
            Some(Outcome::Refused(why)) => {
                self.held.refuse(&key, why.to_string()).await;
                true
            }
            Some(outcome) => {
                log!("routes: edit {key}, which was pending here, is {outcome}");
                self.held.remove(&key).await;
                true
            }
        }
    }

    /// Returns the table for new requests, and the fleet's state of the route table.
    pub async fn show(&self, handle: Option<&MemberHandle>) -> Answer {
        let here = self.table.borrow().clone();
        let heard =
            handle.and_then(|handle| handle.table.as_ref()).map(|table| table.heard.load(Ordering::Relaxed));
        let millis = u64::try_from(now().as_millis()).unwrap_or(u64::MAX);
        let age = heard.filter(|heard| *heard > 0).map(|heard| millis.saturating_sub(heard));
        let shown = async {
            match handle {
                Some(handle) => shown(handle).await,
                None => None,
            }
        };
        // Pending edits are known once they are read back, which a stalled disk delays.
        let (shown, _) = tokio::join!(shown, timeout(DISK_TIMEOUT, self.held.refresh()));
        let member = handle.map(|handle| handle.me.member.clone());
        let (held, not_taken) = self.held.shown();
        let file = self.file.clone();
        let not_here: Vec<String> =
            here.iter().flat_map(|here| without_address(&file, here.table())).map(String::from).collect();
        let text = spawn_blocking(move || {
            let here = here.unwrap_or_default();
            let fleet = shown.and_then(|shown| routes_of(&shown).map(|routes| fleet(&shown, &routes)));
            json!({"member": member, "held": held, "not_taken": not_taken, "fleet": fleet,
                "here": {"revision": here.revision, "on_trial": here.on_trial, "trial": here.trial, "age_ms": age, "table": here.table(),
                    "not_here": not_here}})
            .to_string()
        });
        text.await.map_or_else(|_| late(), Answer::Figures)
    }

    /// Carries out an operator's request.
    pub async fn say(&self, handle: Option<&MemberHandle>, said: &[u8]) -> Answer {
        let said = match serde_json::from_slice::<Said>(said) {
            Ok(said) => said,
            Err(e) => return Answer::No(format!("cannot be read: {e}")),
        };
        let done = match said {
            Said::Edit(edit) => self.edit(handle, edit).await,
            Said::Merge(edits) => merge(handle, edits).await,
            Said::Undo { what, id, reason } => match undo_edit(handle, what, id, reason).await {
                Ok(edit) => self.edit(handle, edit).await,
                Err(why) => Err(why),
            },
            Said::Withdraw { edit } => self.withdraw(handle, edit).await,
            Said::Word { edit, by, yes } => match open(handle, edit).await {
                Ok(edit) => entry(handle, &Entry::Consent { by, edit, granted: yes }).await,
                Err(why) => Err(why),
            },
            Said::Settle { conflict, by, keep } => match settle_entry(handle, conflict, by, keep).await {
                Ok(settle) => entry(handle, &settle).await,
                Err(why) => Err(why),
            },
        };
        match done {
            Ok(told) => Answer::Figures(told.to_string()),
            Err(why) => Answer::No(why),
        }
    }

    /// Proposes an edit; if the fleet does not answer, the edit is kept pending on this nodo's disk.
    async fn edit(&self, handle: Option<&MemberHandle>, edit: Edit) -> Result<Value, String> {
        edit.check().map_err(|wrong| format!("the edit {wrong}"))?;
        self.may(&edit)?;
        let key = edit.key();
        let refuses = self.file.team.get(&key.id.team).is_some_and(|team| team.cut_off == CutOff::Refuse);
        // Guards against an edit that is published after its team got a refusal: the member keeps proposing
        // it.
        if refuses && !handle.is_some_and(|handle| self.is_heard(handle)) {
            let team = &key.id.team;
            return Err(format!(
                "the fleet does not answer, and team.{team}.cut_off has edits refused then: nothing of it was sent"
            ));
        }
        let outcome = match handle {
            Some(handle) => propose(handle, &edit).await,
            None => None,
        };
        if let Some(outcome) = outcome {
            return edit_result(&key, &outcome);
        }
        if refuses {
            return Err("the fleet has not answered in time, and the edit is not held here: it may be agreed or not; say it again"
                .to_string());
        }
        match timeout(DISK_TIMEOUT, self.held.keep(edit)).await {
            Ok(Ok(())) => Ok(json!({"edit": name(&key), "state": "held",
                "words": "held on this nodo's disk: the fleet does not answer, and is told as soon as it does"})),
            Ok(Err(e)) => Err(format!("the fleet does not answer, and the edit cannot be held here: {e}")),
            Err(_) => Err("neither the fleet nor this nodo's disk answers in time; say it again".to_string()),
        }
    }

    /// Whether the leader answers: one unanswered renewal may be chance, two in a row mean a partition.
    fn is_heard(&self, handle: &MemberHandle) -> bool {
        let (Some(fleet), Some(table)) = (&self.file.fleet, &handle.table) else { return false };
        let heard = table.heard.load(Ordering::Relaxed);
        let ago = now().saturating_sub(Duration::from_millis(heard));
        heard > 0 && ago <= 2 * lease_timing(fleet).renewal_interval()
    }

    /// Checks an edit against the teams of this nodo's file. The fleet checks the owners in the replicated
    /// table.
    fn may(&self, edit: &Edit) -> Result<(), String> {
        let team = &edit.id.team;
        if !self.file.team.contains_key(team) {
            return Err(format!("this nodo's file has no team {team:?}"));
        }
        let here = self.table.borrow();
        let unowned = |thing: &str| {
            let table = here.as_ref().map(Snapshot::table);
            let known = thing.to_string().try_into().ok();
            table.zip(known).is_none_or(|(table, thing)| table.owner(&thing).is_none())
        };
        let touched = edit.changes.iter().flat_map(|change| {
            let fields = match change {
                Change::Add { fields, .. } => fields.clone(),
                _ => Default::default(),
            };
            jaspershunt_routes::Table::affected_things(change.thing(), &fields)
        });
        for thing in touched.map(|thing| thing.to_string()) {
            let owner = self.file.team.iter().find(|(_, of)| of.owns.contains(&thing)).map(|(name, _)| name);
            if let Some(owner) = owner.filter(|owner| *owner != team && unowned(&thing)) {
                return Err(format!("{thing} belongs to {owner} by this nodo's file"));
            }
        }
        Ok(())
    }

    async fn withdraw(&self, handle: Option<&MemberHandle>, edit: Named) -> Result<Value, String> {
        let _ = timeout(DISK_TIMEOUT, self.held.refresh()).await;
        if let Ok(key) = edit.among(self.held.called(&edit.team, edit.number)) {
            // The edit may have been committed and the answer lost, so it is withdrawn in the fleet too, if
            // possible.
            self.held.remove(&key).await;
            let by = key.id.team.clone();
            let agreed = match handle {
                Some(handle) => {
                    propose_entry(handle, &Entry::Withdraw { by, edit: key.clone() }, COMMIT_TIMEOUT).await
                }
                None => None,
            };
            let words = match agreed {
                Some(outcome) => format!("held here no more; in the fleet: {outcome}"),
                None => {
                    "held here no more; the fleet does not answer: withdraw it again once it does".to_string()
                }
            };
            return Ok(json!({"edit": name(&key), "state": "withdrawn", "words": words}));
        }
        let edit = open(handle, edit).await?;
        entry(handle, &Entry::Withdraw { by: edit.id.team.clone(), edit }).await
    }
}

fn late() -> Answer {
    Answer::No(LATE.to_string())
}

const LATE: &str = "the fleet does not answer in time; say it again";

/// Returns an edit's name for operators.
fn name(key: &EditKey) -> String {
    format!("{}/{}", key.id.team, key.id.number)
}

/// Proposes an entry; `None` if its outcome is unknown.
async fn propose_entry(handle: &MemberHandle, entry: &Entry, within: Duration) -> Option<Outcome> {
    let (answer, outcome) = oneshot::channel();
    let entry = FleetEntry::Part { part: NAME.to_string(), bytes: entry.to_bytes() };
    handle.orders.try_send(Order::Propose { entry, answer }).ok()?;
    match timeout_at(Instant::now() + within, outcome).await {
        Ok(Ok(Settled { outcome: Some(FleetOutcome::Part(bytes)), .. })) => Outcome::from_bytes(&bytes),
        _ => None,
    }
}

/// Proposes an edit. If a history is written, records the begin before and the outcome after the proposal.
async fn propose(handle: &MemberHandle, edit: &Edit) -> Option<Outcome> {
    let entry = Entry::Edit(edit.clone());
    let Some(history) = &handle.history else { return propose_entry(handle, &entry, COMMIT_TIMEOUT).await };
    let asked = history.begin_edit(name(&edit.key())).await;
    let outcome = propose_entry(handle, &entry, COMMIT_TIMEOUT).await;
    history.end_edit(asked, outcome.as_ref());
    outcome
}

/// Returns the replicated state of a voter.
async fn shown(handle: &MemberHandle) -> Option<Box<StateReport>> {
    let (answer, shown) = oneshot::channel();
    handle.orders.try_send(Order::Show { answer }).ok()?;
    timeout(ANSWER_TIMEOUT, shown).await.ok()?.ok()
}

fn routes_of(shown: &StateReport) -> Option<Routes> {
    let agreed =
        ReplicatedState::load_parts(Fleet::default(), &shown.parts, jaspershunt_agreed::parts()).ok()?;
    jaspershunt_agreed::routes(&agreed).cloned()
}

/// Reads the replicated table on a blocking thread, apart from the thread that serves requests.
async fn look<T: Send + 'static>(
    handle: Option<&MemberHandle>,
    look: impl FnOnce(&Routes) -> T + Send + 'static,
) -> Result<T, String> {
    let shown = match handle {
        Some(handle) => shown(handle).await,
        None => None,
    };
    let Some(shown) = shown else { return Err(LATE.to_string()) };
    let looked = spawn_blocking(move || routes_of(&shown).map(|routes| look(&routes))).await;
    looked.ok().flatten().ok_or_else(|| "the fleet has no route table".to_string())
}

async fn open(handle: Option<&MemberHandle>, edit: Named) -> Result<EditKey, String> {
    look(handle, move |routes| {
        edit.among(routes.open_keys(&EditId { team: edit.team.clone(), number: edit.number }))
    })
    .await?
}

async fn entry(handle: Option<&MemberHandle>, entry: &Entry) -> Result<Value, String> {
    let Some(handle) = handle else { return Err(LATE.to_string()) };
    match propose_entry(handle, entry, COMMIT_TIMEOUT).await {
        Some(Outcome::Refused(why)) => Err(why.to_string()),
        Some(outcome) => Ok(json!({"state": state(&outcome), "words": outcome.to_string()})),
        None => Err(LATE.to_string()),
    }
}

async fn settle_entry(
    handle: Option<&MemberHandle>,
    conflict: String,
    by: String,
    keep: Vec<Named>,
) -> Result<Entry, String> {
    let Ok(number) = u64::from_str_radix(&conflict, 16) else {
        return Err(format!("{conflict:?} is no number of a conflict: 16 digits as conflicts shows them"));
    };
    let conflict = ConflictId(number);
    look(handle, move |routes| {
        let known = routes.merged().conflicts.get(&conflict).map(|known| known.members.clone());
        let members = known.ok_or_else(|| format!("there is no conflict {conflict}, or it is settled"))?;
        let keep = keep.iter().map(|edit| edit.among(members.iter().cloned()));
        Ok(Entry::Settle { by, conflict, keep: keep.collect::<Result<BTreeSet<_>, String>>()? })
    })
    .await?
}

/// Builds the edit that undoes published edits.
async fn undo_edit(
    handle: Option<&MemberHandle>,
    what: What,
    id: EditId,
    reason: String,
) -> Result<Edit, String> {
    look(handle, move |routes| {
        let is = |line: &&jaspershunt_routes::part::PublishedEdit| match &what {
            What::Revision(revision) => line.revision == *revision,
            What::Edit(edit) => edit.is(&line.edit),
        };
        let lines: Vec<_> = routes.published_edits().filter(is).collect();
        let Some(last) = lines.last() else {
            return Err("the log has no such line, or no longer".to_string());
        };
        if lines.iter().any(|line| line.reverted) {
            return Err(format!("revision {} was taken back already", last.revision));
        }
        // Edits that were published together commute, and so do their inverses.
        let changes = lines.iter().flat_map(|line| line.inverse.clone()).collect();
        let edit = Edit { id, base: routes.revision(), reason, changes };
        let together =
            |wrong| format!("the edit that undoes it {wrong}: undo the edits of the revision one by one");
        edit.check().map_err(together).map(|()| edit)
    })
    .await?
}

/// Computes the outcome that edits would have.
async fn merge(handle: Option<&MemberHandle>, edits: Vec<Edit>) -> Result<Value, String> {
    look(handle, move |routes| {
        let mut tried = routes.clone();
        let keys: Vec<EditKey> = edits.iter().map(Edit::key).collect();
        let first: Vec<Outcome> =
            edits.into_iter().map(|edit| tried.apply_entry(Entry::Edit(edit))).collect();
        // A later edit may have changed the outcome of an earlier one.
        let became = keys.iter().zip(first).map(|(key, first)| {
            let outcome = tried.outcome_of(key).unwrap_or(first);
            json!({"edit": name(key), "state": state(&outcome), "words": outcome.to_string()})
        });
        let became: Vec<Value> = became.collect();
        let new = tried.merged().conflicts.iter();
        let new: Vec<Value> =
            new.filter(|(id, _)| !routes.merged().conflicts.contains_key(id)).map(conflict).collect();
        json!({"edits": became, "conflicts": new})
    })
    .await
}

/// Returns the short name of an outcome.
fn state(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Open(EditState::Accepted) => "taken",
        Outcome::Open(EditState::InConflict(_)) => "in conflict",
        Outcome::Open(EditState::AwaitsConsent(_)) => "waits",
        Outcome::Open(EditState::Withdrawn(_)) | Outcome::Ended(FinalState::Withdrawn(_)) => "withdrawn",
        Outcome::Open(EditState::Refused(_))
        | Outcome::Ended(FinalState::Refused(_))
        | Outcome::Refused(_) => "refused",
        Outcome::Ended(FinalState::Published(_)) | Outcome::Published(_) => "in force",
        Outcome::Done => "done",
    }
}

fn edit_result(key: &EditKey, outcome: &Outcome) -> Result<Value, String> {
    let conflicts: Vec<String> = match outcome {
        Outcome::Refused(why) => return Err(why.to_string()),
        Outcome::Open(EditState::InConflict(ids)) => ids.iter().map(ConflictId::to_string).collect(),
        _ => Vec::new(),
    };
    let revision = match outcome {
        Outcome::Ended(FinalState::Published(revision)) => Some(*revision),
        _ => None,
    };
    Ok(json!({"edit": name(key), "state": state(outcome), "words": outcome.to_string(), "revision": revision,
        "conflicts": conflicts}))
}

fn conflict((id, conflict): (&ConflictId, &Conflict)) -> Value {
    let names = |keys: &BTreeSet<EditKey>| keys.iter().map(name).collect::<Vec<_>>();
    json!({"id": id.to_string(), "edits": names(&conflict.members), "in_force": names(&conflict.in_force),
        "teams": conflict.teams, "words": conflict.to_string()})
}

fn trial(of: TrialStatus) -> Value {
    json!({"revision": of.revision, "permille": of.permille, "since_ms": of.since_ms, "with": of.with, "without": of.without,
        "words": format!("revision {} is on trial at {} thousandths of the nodos; with it {}, without it {}",
            of.revision, of.permille, of.with, of.without)})
}

/// Formats the replicated table for operators.
fn fleet(shown: &StateReport, routes: &Routes) -> Value {
    let open = routes.open().map(|(key, edit)| {
        let outcome = routes.outcome_of(key);
        json!({"edit": name(key), "digest": format!("{:016x}", key.digest), "base": edit.base, "reason": edit.reason,
            "changes": edit.changes, "state": outcome.as_ref().map(state),
            "words": outcome.as_ref().map(ToString::to_string)})
    });
    let open: Vec<Value> = open.collect();
    let ended: BTreeMap<String, String> = routes
        .ended(MAX_ENDED_SHOWN)
        .map(|(id, end)| (format!("{}/{}", id.team, id.number), end.to_string()))
        .collect();
    let line = |line: &jaspershunt_routes::part::PublishedEdit| json!({"revision": line.revision, "edit": name(&line.edit), "reason": line.reason, "back": line.reverted});
    let log: Vec<Value> = routes.published_edits().map(line).collect();
    let conflicts: Vec<Value> = routes.merged().conflicts.iter().map(conflict).collect();
    json!({"by": shown.by, "leader": shown.leader, "age_ms": shown.age_ms, "revision": routes.revision(),
        "published_ms": routes.published_ms(), "trial": routes.trial_status().map(trial), "table": routes.table(), "open": open,
        "ended": ended, "conflicts": conflicts, "log": log})
}
