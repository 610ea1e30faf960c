//! The nodo's side of the route table: the snapshot that traffic goes by, and what operators see, say and have done.
//!
//! What the fleet shows this start is read on the member's thread ([`Reads`]) and handed over whole; nobody who serves requests waits for
//! it. What costs time in proportion to the table is done on a thread of its own, and only when somebody asks.

use super::held::Held;
use super::{ANSWER_WITHIN, Way, terms};
use crate::admin::line::Answer;
use crate::engine::input::Input;
use crate::log;
use jaspershunt_fleet::parts::ReplicatedState;
use jaspershunt_fleet::{Entry as OfFleet, Fleet, Outcome as OfAgreed};
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

/// The longest that is said in one call: an edit of 7 KiB is three times that as JSON.
pub const MAX_SAID: usize = 32 * 1024;
/// For the fleet to agree, so that what it does not answer is on disk within the second in which an answer is due.
const AGREED_WITHIN: Duration = Duration::from_millis(500);
/// For the disk.
const HELD_WITHIN: Duration = Duration::from_millis(300);
/// How often held edits are sent on.
const SEND_EVERY: Duration = Duration::from_millis(500);
/// How often the fleet is told what was seen of a trial.
const TELL_EVERY: Duration = Duration::from_secs(2);
/// Edits that have ended and are shown, of each team.
const ENDED_SHOWN: usize = 16;

/// The table as the member hands it over.
#[derive(Clone, Debug)]
pub struct Tables {
    newest: watch::Receiver<Option<Snapshot>>,
    /// When the one that leads last answered this start, in milliseconds of [`now`]; 0: never.
    pub heard: Arc<AtomicU64>,
}

/// What reads the table on the member's thread.
pub struct Reads {
    seen: watch::Receiver<Newest>,
    to: watch::Sender<Option<Snapshot>>,
}

/// Both, where the file names teams.
pub fn tables(file: &File, seen: Option<watch::Receiver<Newest>>) -> Option<(Reads, Tables)> {
    let seen = seen.filter(|_| !file.team.is_empty())?;
    let (to, newest) = watch::channel(None);
    Some((Reads { seen, to }, Tables { newest, heard: Arc::default() }))
}

impl Reads {
    /// Reads what is shown until the member ends.
    pub async fn run(mut self) {
        let mut told = 0;
        while self.seen.changed().await.is_ok() {
            let newest = self.seen.borrow_and_update().get(NAME).cloned();
            let Some((epoch, bytes)) = newest.filter(|(epoch, _)| *epoch > told) else { continue };
            told = epoch;
            let Some(seen) = MemberView::from_bytes(&bytes) else { continue };
            // Most of what is shown is news of conflicts, and not of the table.
            let same = |was: &Snapshot| {
                (was.revision, was.on_trial, was.trial) == (seen.revision, seen.on_trial, seen.trial)
            };
            if !self.to.borrow().as_ref().is_some_and(same) {
                let _ = self.to.send(Some(seen.snapshot(0)));
            }
        }
    }
}

/// What operators say.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Said {
    /// An edit.
    Edit(Edit),
    /// What would become of these, together with what is open. Nothing is sent.
    Merge(Vec<Edit>),
    /// A team takes an edit of its own back.
    Withdraw {
        /// The edit.
        edit: Named,
    },
    /// A team's word on an edit that touches its part.
    Word {
        /// The edit.
        edit: Named,
        /// The team.
        by: String,
        /// Whether it may.
        yes: bool,
    },
    /// A conflict is settled.
    Settle {
        /// Its number, in digits as it is shown.
        conflict: String,
        /// The team that says so.
        by: String,
        /// What is kept.
        keep: Vec<Named>,
    },
    /// An edit that undoes what was published.
    Undo {
        /// What.
        what: What,
        /// The new edit's team and number.
        id: EditId,
        /// Why.
        reason: String,
    },
}

/// What is undone.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// All that came with a revision.
    Revision(u64),
    /// One edit.
    Edit(Named),
}

/// An edit as people name it. Its digest is only needed where a team used a number twice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Named {
    /// The team.
    pub team: String,
    /// Its number.
    pub number: u64,
    /// What stands in it, in short, in hexadecimal digits.
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

/// The nodo's side of the table. It stays while members come and go.
#[derive(Debug)]
pub struct Office {
    file: Rc<File>,
    /// The table that requests begin with.
    table: RefCell<Option<Snapshot>>,
    held: Held,
    /// What the engine sees of trials.
    tally: Rc<RefCell<Tally>>,
}

impl Office {
    /// With what an earlier start was told and could not pass on, once that is read: nothing waits for its disk. Needs a local set.
    pub fn new(file: &Rc<File>, tally: &Rc<RefCell<Tally>>) -> Rc<Office> {
        let folder = file.fleet.as_ref().map_or_else(String::new, |fleet| fleet.folder.clone());
        let (held, turn) = Held::new(Path::new(&folder));
        let office =
            Rc::new(Office { file: file.clone(), table: RefCell::default(), held, tally: tally.clone() });
        let reads = office.clone();
        spawn_local(async move { reads.held.read_back(turn).await });
        office
    }

    /// While a member is there: takes over its tables, has the engine go by them, and sends on what is held.
    pub async fn attend(self: Rc<Office>, way: Way, engine: mpsc::WeakSender<Input>) {
        let Some(mut newest) = way.table.as_ref().map(|table| table.newest.clone()) else { return };
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
                    send = Instant::now() + SEND_EVERY;
                    if self.send_on(&way).await {
                        send = Instant::now();
                    }
                }
                () = sleep(tell.saturating_duration_since(Instant::now())) => {
                    tell = Instant::now() + TELL_EVERY;
                    self.tell(&way, &mut told).await;
                }
            }
        }
    }

    /// Tells the fleet what was seen of the present trial since it began, if that is news. What is lost is told again with the next.
    async fn tell(&self, way: &Way, told: &mut Option<(u64, Counts)>) {
        let Some(trial) = self.table.borrow().as_ref().and_then(|table| table.trial) else { return };
        let seen = self.tally.borrow().counts_for(trial);
        let Some((revision, counts)) = seen.filter(|(_, counts)| *told != Some((trial, *counts))) else {
            return;
        };
        let entry = Entry::ReportCounts { by: way.me.clone(), trial, revision, counts };
        if agree(way, &entry, AGREED_WITHIN).await == Some(Outcome::Done) {
            *told = Some((trial, counts));
        }
    }

    /// Sends on the first of what is held; whether the fleet has it.
    async fn send_on(&self, way: &Way) -> bool {
        let Some((key, edit)) = self.held.first() else { return false };
        match propose(way, &edit).await {
            // What makes room for it may come.
            None | Some(Outcome::Refused(Refusal::Full(_) | Refusal::TooManyOnField(..))) => false,
            Some(Outcome::Refused(why)) => {
                self.held.refuse(&key, why.to_string()).await;
                true
            }
            Some(outcome) => {
                log!("routes: edit {key}, which was held here, is {outcome}");
                self.held.let_go(&key).await;
                true
            }
        }
    }

    /// The table that requests begin with, and what the fleet has beyond that.
    pub async fn show(&self, way: Option<&Way>) -> Answer {
        let here = self.table.borrow().clone();
        let heard = way.and_then(|way| way.table.as_ref()).map(|table| table.heard.load(Ordering::Relaxed));
        let millis = u64::try_from(now().as_millis()).unwrap_or(u64::MAX);
        let age = heard.filter(|heard| *heard > 0).map(|heard| millis.saturating_sub(heard));
        let shown = async {
            match way {
                Some(way) => shown(way).await,
                None => None,
            }
        };
        // What is held is known once it is read, which a disk that stalls puts off.
        let (shown, _) = tokio::join!(shown, timeout(HELD_WITHIN, self.held.turn()));
        let member = way.map(|way| way.me.member.clone());
        let (held, not_taken) = self.held.shown();
        let file = self.file.clone();
        let not_here: Vec<String> =
            here.iter().flat_map(|here| without_address(&file, here.table())).map(String::from).collect();
        let text = spawn_blocking(move || {
            let here = here.unwrap_or_default();
            let fleet = shown.and_then(|shown| agreed_of(&shown).map(|routes| fleet(&shown, &routes)));
            json!({"member": member, "held": held, "not_taken": not_taken, "fleet": fleet,
                "here": {"revision": here.revision, "on_trial": here.on_trial, "trial": here.trial, "age_ms": age, "table": here.table(),
                    "not_here": not_here}})
            .to_string()
        });
        text.await.map_or_else(|_| late(), Answer::Figures)
    }

    /// Does what an operator says.
    pub async fn say(&self, way: Option<&Way>, said: &[u8]) -> Answer {
        let said = match serde_json::from_slice::<Said>(said) {
            Ok(said) => said,
            Err(e) => return Answer::No(format!("cannot be read: {e}")),
        };
        let done = match said {
            Said::Edit(edit) => self.edit(way, edit).await,
            Said::Merge(edits) => merge(way, edits).await,
            Said::Undo { what, id, reason } => match undone(way, what, id, reason).await {
                Ok(edit) => self.edit(way, edit).await,
                Err(why) => Err(why),
            },
            Said::Withdraw { edit } => self.withdraw(way, edit).await,
            Said::Word { edit, by, yes } => match open(way, edit).await {
                Ok(edit) => entry(way, &Entry::Consent { by, edit, granted: yes }).await,
                Err(why) => Err(why),
            },
            Said::Settle { conflict, by, keep } => match settlement(way, conflict, by, keep).await {
                Ok(settle) => entry(way, &settle).await,
                Err(why) => Err(why),
            },
        };
        match done {
            Ok(told) => Answer::Figures(told.to_string()),
            Err(why) => Answer::No(why),
        }
    }

    /// Has an edit agreed; where nobody answers it is held here until somebody does.
    async fn edit(&self, way: Option<&Way>, edit: Edit) -> Result<Value, String> {
        edit.check().map_err(|wrong| format!("the edit {wrong}"))?;
        self.may(&edit)?;
        let key = edit.key();
        let refuses = self.file.team.get(&key.id.team).is_some_and(|team| team.cut_off == CutOff::Refuse);
        // Guards against an edit that comes into force after its team was told no: the member goes on with what it was once given.
        if refuses && !way.is_some_and(|way| self.is_heard(way)) {
            let team = &key.id.team;
            return Err(format!(
                "the fleet does not answer, and team.{team}.cut_off has edits refused then: nothing of it was sent"
            ));
        }
        let outcome = match way {
            Some(way) => propose(way, &edit).await,
            None => None,
        };
        if let Some(outcome) = outcome {
            return told(&key, &outcome);
        }
        if refuses {
            return Err("the fleet has not answered in time, and the edit is not held here: it may be agreed or not; say it again"
                .to_string());
        }
        match timeout(HELD_WITHIN, self.held.keep(edit)).await {
            Ok(Ok(())) => Ok(json!({"edit": name(&key), "state": "held",
                "words": "held on this nodo's disk: the fleet does not answer, and is told as soon as it does"})),
            Ok(Err(e)) => Err(format!("the fleet does not answer, and the edit cannot be held here: {e}")),
            Err(_) => Err("neither the fleet nor this nodo's disk answers in time; say it again".to_string()),
        }
    }

    /// Whether the one that leads answers: one question without an answer may be chance, two in a row are a cut.
    fn is_heard(&self, way: &Way) -> bool {
        let (Some(fleet), Some(table)) = (&self.file.fleet, &way.table) else { return false };
        let heard = table.heard.load(Ordering::Relaxed);
        let ago = now().saturating_sub(Duration::from_millis(heard));
        heard > 0 && ago <= 2 * terms(fleet).renewal_interval()
    }

    /// Whether the file of this nodo lets a team say this. What the agreed table says of owners is for the fleet to judge.
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

    async fn withdraw(&self, way: Option<&Way>, edit: Named) -> Result<Value, String> {
        let _ = timeout(HELD_WITHIN, self.held.turn()).await;
        if let Ok(key) = edit.among(self.held.called(&edit.team, edit.number)) {
            // It may have been agreed and its answer lost: the fleet is told as well, if it can be.
            self.held.let_go(&key).await;
            let by = key.id.team.clone();
            let agreed = match way {
                Some(way) => agree(way, &Entry::Withdraw { by, edit: key.clone() }, AGREED_WITHIN).await,
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
        let edit = open(way, edit).await?;
        entry(way, &Entry::Withdraw { by: edit.id.team.clone(), edit }).await
    }
}

fn late() -> Answer {
    Answer::No(LATE.to_string())
}

const LATE: &str = "the fleet does not answer in time; say it again";

/// An edit in the words of operators.
fn name(key: &EditKey) -> String {
    format!("{}/{}", key.id.team, key.id.number)
}

/// Has an entry agreed; `None` if nobody knows what became of it.
async fn agree(way: &Way, entry: &Entry, within: Duration) -> Option<Outcome> {
    let (answer, outcome) = oneshot::channel();
    let entry = OfFleet::Part { part: NAME.to_string(), bytes: entry.to_bytes() };
    way.orders.try_send(Order::Propose { entry, answer }).ok()?;
    match timeout_at(Instant::now() + within, outcome).await {
        Ok(Ok(Settled { outcome: Some(OfAgreed::Part(bytes)), .. })) => Outcome::from_bytes(&bytes),
        _ => None,
    }
}

/// Has an edit agreed. Where a history is written, its begin is there first, and what came of it afterwards.
async fn propose(way: &Way, edit: &Edit) -> Option<Outcome> {
    let entry = Entry::Edit(edit.clone());
    let Some(history) = &way.history else { return agree(way, &entry, AGREED_WITHIN).await };
    let asked = history.begin_edit(name(&edit.key())).await;
    let outcome = agree(way, &entry, AGREED_WITHIN).await;
    history.end_edit(asked, outcome.as_ref());
    outcome
}

/// The agreed state as a voter has it.
async fn shown(way: &Way) -> Option<Box<StateReport>> {
    let (answer, shown) = oneshot::channel();
    way.orders.try_send(Order::Show { answer }).ok()?;
    timeout(ANSWER_WITHIN, shown).await.ok()?.ok()
}

fn agreed_of(shown: &StateReport) -> Option<Routes> {
    let agreed =
        ReplicatedState::load_parts(Fleet::default(), &shown.parts, jaspershunt_agreed::parts()).ok()?;
    jaspershunt_agreed::routes(&agreed).cloned()
}

/// Looks at the agreed table elsewhere than where requests are served.
async fn look<T: Send + 'static>(
    way: Option<&Way>,
    look: impl FnOnce(&Routes) -> T + Send + 'static,
) -> Result<T, String> {
    let shown = match way {
        Some(way) => shown(way).await,
        None => None,
    };
    let Some(shown) = shown else { return Err(LATE.to_string()) };
    let looked = spawn_blocking(move || agreed_of(&shown).map(|routes| look(&routes))).await;
    looked.ok().flatten().ok_or_else(|| "the fleet has no route table".to_string())
}

async fn open(way: Option<&Way>, edit: Named) -> Result<EditKey, String> {
    look(way, move |routes| {
        edit.among(routes.open_keys(&EditId { team: edit.team.clone(), number: edit.number }))
    })
    .await?
}

async fn entry(way: Option<&Way>, entry: &Entry) -> Result<Value, String> {
    let Some(way) = way else { return Err(LATE.to_string()) };
    match agree(way, entry, AGREED_WITHIN).await {
        Some(Outcome::Refused(why)) => Err(why.to_string()),
        Some(outcome) => Ok(json!({"state": state(&outcome), "words": outcome.to_string()})),
        None => Err(LATE.to_string()),
    }
}

async fn settlement(
    way: Option<&Way>,
    conflict: String,
    by: String,
    keep: Vec<Named>,
) -> Result<Entry, String> {
    let Ok(number) = u64::from_str_radix(&conflict, 16) else {
        return Err(format!("{conflict:?} is no number of a conflict: 16 digits as conflicts shows them"));
    };
    let conflict = ConflictId(number);
    look(way, move |routes| {
        let known = routes.merged().conflicts.get(&conflict).map(|known| known.members.clone());
        let members = known.ok_or_else(|| format!("there is no conflict {conflict}, or it is settled"))?;
        let keep = keep.iter().map(|edit| edit.among(members.iter().cloned()));
        Ok(Entry::Settle { by, conflict, keep: keep.collect::<Result<BTreeSet<_>, String>>()? })
    })
    .await?
}

/// The edit that undoes something.
async fn undone(way: Option<&Way>, what: What, id: EditId, reason: String) -> Result<Edit, String> {
    look(way, move |routes| {
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
        // What was published together commutes, and so does what undoes it.
        let changes = lines.iter().flat_map(|line| line.inverse.clone()).collect();
        let edit = Edit { id, base: routes.revision(), reason, changes };
        let together =
            |wrong| format!("the edit that undoes it {wrong}: undo the edits of the revision one by one");
        edit.check().map_err(together).map(|()| edit)
    })
    .await?
}

/// What would become of edits.
async fn merge(way: Option<&Way>, edits: Vec<Edit>) -> Result<Value, String> {
    look(way, move |routes| {
        let mut tried = routes.clone();
        let keys: Vec<EditKey> = edits.iter().map(Edit::key).collect();
        let first: Vec<Outcome> =
            edits.into_iter().map(|edit| tried.apply_entry(Entry::Edit(edit))).collect();
        // Those that come later may have changed what becomes of one.
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

/// What an outcome is, in one word.
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

fn told(key: &EditKey, outcome: &Outcome) -> Result<Value, String> {
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

/// The table as it is agreed.
fn fleet(shown: &StateReport, routes: &Routes) -> Value {
    let open = routes.open().map(|(key, edit)| {
        let outcome = routes.outcome_of(key);
        json!({"edit": name(key), "digest": format!("{:016x}", key.digest), "base": edit.base, "reason": edit.reason,
            "changes": edit.changes, "state": outcome.as_ref().map(state),
            "words": outcome.as_ref().map(ToString::to_string)})
    });
    let open: Vec<Value> = open.collect();
    let ended: BTreeMap<String, String> = routes
        .ended(ENDED_SHOWN)
        .map(|(id, end)| (format!("{}/{}", id.team, id.number), end.to_string()))
        .collect();
    let line = |line: &jaspershunt_routes::part::PublishedEdit| json!({"revision": line.revision, "edit": name(&line.edit), "reason": line.reason, "back": line.reverted});
    let log: Vec<Value> = routes.published_edits().map(line).collect();
    let conflicts: Vec<Value> = routes.merged().conflicts.iter().map(conflict).collect();
    json!({"by": shown.by, "leader": shown.leader, "age_ms": shown.age_ms, "revision": routes.revision(),
        "published_ms": routes.published_ms(), "trial": routes.trial_status().map(trial), "table": routes.table(), "open": open,
        "ended": ended, "conflicts": conflicts, "log": log})
}
