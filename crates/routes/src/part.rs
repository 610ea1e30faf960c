//! The route table as part of the agreed state: entries of the log come in, what has become of edits goes out.

use crate::base::Base;
use crate::edit::{Change, Edit, EditId, EditKey, MAX_EDIT_BYTES, Malformed};
use crate::merge::{
    Conflict, ConflictId, EditState, MergeInput, MergeResult, RefusalReason, Settlement, merge,
};
use crate::mutants::{Mutant, is_active};
use crate::rules;
use crate::snapshot::Snapshot;
use crate::table::{FULL_SHARE_PERMILLE, Field, Table, Thing, Value};
use crate::trial::{Counts, Verdict, in_trial, judge};
use jaspershunt_fleet::parts::Part;
use jaspershunt_fleet::{Fleet, Holder};
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// The name under which the log has its entries.
pub const NAME: &str = "routes";
/// Edits that have not ended. Ours: more than forty teams have open at once by ten times.
pub const MAX_OPEN: usize = 512;
/// Bytes of all of them.
pub const MAX_OPEN_BYTES: usize = 1024 * 1024;
/// Teams of which anything is known.
pub const MAX_TEAMS: usize = 256;
/// Edits that have ended and are known by number, of each team. Older numbers cannot be told from new ones, and are refused.
pub const MAX_ENDED_PER_TEAM: usize = 128;
/// Settlements that still matter to an open edit.
pub const MAX_SETTLED: usize = 1024;
/// Lines of the log that are stored, to tell and to undo.
pub const MAX_PUBLISHED_EDITS: usize = 512;
/// Conflicts that each member is shown. All are known to those that vote.
pub const MAX_SHOWN_CONFLICTS: usize = 64;
/// Open edits that write one field of a thing, or that add, remove or rename it. Each pair of them is compared at each entry, so that what
/// comes in costs the cube of this. Ours: more than forty teams, each with a value of its own.
pub const MAX_OPEN_PER_FIELD: usize = 64;
/// Bytes of an entry.
pub const MAX_ENTRY_BYTES: usize = 8 * 1024;
// An edit with what is around it is an entry.
const _: () = assert!(MAX_EDIT_BYTES + 256 < MAX_ENTRY_BYTES);

/// What is said to the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An edit.
    Edit(Edit),
    /// A team takes back an edit of its own.
    Withdraw {
        /// The team.
        by: String,
        /// The edit.
        edit: EditKey,
    },
    /// A team whose part an edit touches gives its word, or says no.
    Consent {
        /// The team.
        by: String,
        /// The edit.
        edit: EditKey,
        /// Whether it may.
        granted: bool,
    },
    /// A team settles a conflict.
    Settle {
        /// The team.
        by: String,
        /// The conflict.
        conflict: ConflictId,
        /// The edits that are stored; all of them if one is to follow the other's rename.
        keep: BTreeSet<EditKey>,
    },
    /// What is taken becomes the table, for this share of the members first.
    Publish {
        /// Thousandths.
        permille: u32,
        /// When, in Unix milliseconds.
        now_ms: u64,
    },
    /// A table on trial is judged by what is known of it when this is taken in, and goes on to all, or back, or waits.
    JudgeTrial {
        /// Its revision.
        revision: u64,
        /// When, in Unix milliseconds.
        now_ms: u64,
    },
    /// What a start has seen of requests since it heard of a trial: all of them, so that a word that is lost or comes twice does no harm.
    ReportCounts {
        /// The start.
        by: Holder,
        /// The revision on trial.
        trial: u64,
        /// The one that it uses.
        revision: u64,
        /// What it has seen.
        counts: Counts,
    },
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalState {
    /// It is part of the table since this revision.
    Published(u64),
    /// This team took it back, or settled against it.
    Withdrawn(String),
    /// It was refused.
    Refused(RefusalReason),
}

/// RollbackReason an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It is no entry.
    Unreadable,
    /// The edit is none.
    Malformed(Malformed),
    /// It was made on a revision that is not there yet.
    UnknownBase(u64),
    /// Another edit of the team has this number.
    NumberTaken(EditId),
    /// Numbers up to this one cannot be told from old ones any more: it is to be sent under a new one.
    NumberTooOld(u64),
    /// A bound is reached, by its name.
    Full(String),
    /// So many open edits say something of this field already, or of the thing itself.
    TooManyOnField(Thing, Option<Field>),
    /// There is no such edit that has not ended.
    NoSuchEdit,
    /// There is no such conflict.
    NoSuchConflict,
    /// It was settled before, by this team.
    AlreadySettled(String),
    /// The team has no right to say this.
    NotAuthorized,
    /// What is stored is not of this conflict, or all of it, which only a rename can bear.
    InvalidKeep,
    /// A table is on trial, with this revision.
    TrialRunning(u64),
    /// No table with this revision is on trial.
    NoSuchTrial,
    /// It is too early to judge the table on trial.
    TooEarly,
    /// Such counts cannot be, or cannot be those of this start.
    InvalidCounts,
    /// This start is not in the fleet.
    NotInFleet,
    /// There is nothing new to publish.
    NothingToPublish,
    /// The share is above the whole, or nothing.
    InvalidShare(u32),
    /// The table would not be valid, and is not published.
    InvalidTable(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unreadable => f.write_str("this is no entry"),
            Refusal::Malformed(what) => write!(f, "the edit {what}"),
            Refusal::UnknownBase(base) => write!(f, "there is no revision {base} yet"),
            Refusal::NumberTaken(id) => write!(f, "{} has another edit with number {}", id.team, id.number),
            Refusal::NumberTooOld(last) => {
                write!(f, "numbers up to {last} are over: send it under a new one")
            }
            Refusal::Full(bound) => write!(f, "{bound} is reached: settle, withdraw or publish first"),
            Refusal::TooManyOnField(thing, field) => {
                let of = field.map_or(String::new(), |field| format!("{field:?} of "));
                write!(
                    f,
                    "{MAX_OPEN_PER_FIELD} open edits say what becomes of {of}{thing}: settle or withdraw some first"
                )
            }
            Refusal::NoSuchEdit => f.write_str("there is no such edit that has not ended"),
            Refusal::NoSuchConflict => f.write_str("there is no such conflict"),
            Refusal::AlreadySettled(by) => write!(f, "{by} has settled it"),
            Refusal::NotAuthorized => f.write_str("this is for another team to say"),
            Refusal::InvalidKeep => f.write_str("that cannot be what is kept of this conflict"),
            Refusal::TrialRunning(revision) => write!(f, "revision {revision} is on trial"),
            Refusal::NoSuchTrial => f.write_str("no such revision is on trial"),
            Refusal::TooEarly => f.write_str("too few requests, or too little time, to judge by"),
            Refusal::InvalidCounts => f.write_str("these cannot be the counts of that start"),
            Refusal::NotInFleet => f.write_str("that start is not in the fleet"),
            Refusal::NothingToPublish => f.write_str("nothing is taken that the table has not"),
            Refusal::InvalidShare(permille) => {
                write!(f, "{permille} thousandths: 1 to {FULL_SHARE_PERMILLE}")
            }
            Refusal::InvalidTable(what) => write!(f, "not published: {what}"),
        }
    }
}

/// What came of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The edit is open, and stands so.
    Open(EditState),
    /// The edit has ended.
    Ended(FinalState),
    /// It is done.
    Done,
    /// The table has this revision.
    Published(u64),
    /// Nothing has changed.
    Refused(Refusal),
}

impl fmt::Display for FinalState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FinalState::Published(revision) => write!(f, "taken, in force since revision {revision}"),
            FinalState::Withdrawn(by) => write!(f, "withdrawn by {by}"),
            FinalState::Refused(why) => write!(f, "refused: {why}"),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Open(state) => write!(f, "{state}"),
            Outcome::Ended(end) => write!(f, "{end}"),
            Outcome::Done => f.write_str("done"),
            Outcome::Published(revision) => write!(f, "published as revision {revision}"),
            Outcome::Refused(why) => write!(f, "refused: {why}"),
        }
    }
}

/// What a member is shown.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The revision that it uses.
    pub revision: u64,
    /// Whether that is on trial.
    pub on_trial: bool,
    /// The revision that is on trial, at some of all.
    pub trial: Option<u64>,
    /// When the table was last published, in Unix milliseconds.
    pub published_ms: u64,
    /// The table.
    pub table: Table,
    /// The first of the conflicts.
    pub conflicts: Vec<(ConflictId, Conflict)>,
}

macro_rules! bytes {
    ($($of:ty),*) => {$(
        impl $of {
            /// As bytes, the same for the same.
            pub fn to_bytes(&self) -> Vec<u8> {
                // Nothing in it cannot be written.
                postcard::to_stdvec(self).unwrap_or_default()
            }

            /// From its bytes; `None` if they are not.
            pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
                postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(of, _)| of)
            }
        }
    )*};
}

bytes!(Entry, Outcome, MemberView);

impl MemberView {
    /// The table for requests.
    pub fn snapshot(self, confirmed_ms: u64) -> Snapshot {
        Snapshot::new(self.revision, self.on_trial, confirmed_ms, self.table).with_trial(self.trial)
    }
}

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedEdit {
    /// The revision with which it was published.
    pub revision: u64,
    /// The edit.
    pub edit: EditKey,
    /// RollbackReason, in its team's words.
    pub reason: String,
    /// What undoes it.
    pub inverse: Vec<Change>,
    /// Whether the revision was taken back.
    pub reverted: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TeamRecord {
    /// By number: what the edit was, and how it ended.
    ended: BTreeMap<u64, (u64, FinalState)>,
    /// Ended edits up to this number may be forgotten.
    forgotten_up_to: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    permille: u32,
    previous: Base,
    edits: BTreeSet<EditKey>,
    /// What each start has told last, as long as it is in the fleet.
    reports: BTreeMap<Holder, Counts>,
}

/// A trial as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialStatus {
    /// The revision.
    pub revision: u64,
    /// The share that has it, in thousandths.
    pub permille: u32,
    /// Since when, in Unix milliseconds.
    pub since_ms: u64,
    /// What nodos without it have seen.
    pub without: Counts,
    /// And those with it.
    pub with: Counts,
}

impl TrialStatus {
    /// What becomes of it at this time. A clock that goes back has it wait.
    pub fn verdict(&self, now_ms: u64) -> Verdict {
        judge(&self.without, &self.with, now_ms.saturating_sub(self.since_ms))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Stored {
    base: Base,
    input: MergeInput,
    teams: BTreeMap<String, TeamRecord>,
    trial: Option<Trial>,
    published_edits: VecDeque<PublishedEdit>,
    published_ms: u64,
    epoch: u64,
}

/// The route table: a function of the log alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routes {
    stored: Stored,
    /// What the input come to; found again from them.
    merged: MergeResult,
}

impl Default for Routes {
    /// An empty table. Guards against one whose sums were never found: it had no room for any edit.
    fn default() -> Routes {
        let stored = Stored { base: Base::new(Table::default()), ..Stored::default() };
        Routes { stored, merged: MergeResult::default() }
    }
}

impl Routes {
    /// Begins with a valid table; `None` if it is not.
    pub fn new(table: Table) -> Option<Routes> {
        let valid = rules::check(&table).is_empty();
        let stored = Stored { base: Base::new(table), epoch: 1, ..Stored::default() };
        valid.then(|| Routes { stored, merged: MergeResult::default() })
    }

    /// The revision that edits are made on.
    pub fn revision(&self) -> u64 {
        self.stored.base.revision
    }

    /// What all that is open comes to.
    pub fn merged(&self) -> &MergeResult {
        &self.merged
    }

    /// Whether there is something to publish.
    pub fn can_publish(&self) -> bool {
        self.stored.trial.is_none() && self.merged.accepted().next().is_some()
    }

    /// The trial, if there is one.
    pub fn trial_status(&self) -> Option<TrialStatus> {
        let trial = self.stored.trial.as_ref()?;
        let sum = |with: bool| {
            let side = trial.reports.iter().filter(|(by, _)| in_trial(&by.member, trial.permille) == with);
            side.fold(Counts::default(), |sum, (_, counts)| sum.plus(counts))
        };
        let (revision, permille, since_ms) = (self.revision(), trial.permille, self.stored.published_ms);
        Some(TrialStatus { revision, permille, since_ms, without: sum(false), with: sum(true) })
    }

    /// The log, the oldest line first.
    pub fn published_edits(&self) -> impl Iterator<Item = &PublishedEdit> {
        self.stored.published_edits.iter()
    }

    /// What has become of an edit, if it is known.
    pub fn outcome_of(&self, key: &EditKey) -> Option<Outcome> {
        if let Some(state) = self.merged.states.get(key) {
            return Some(Outcome::Open(state.clone()));
        }
        if self.stored.trial.as_ref().is_some_and(|trial| trial.edits.contains(key)) {
            return Some(Outcome::Open(EditState::Accepted));
        }
        let (digest, end) = self.stored.teams.get(&key.id.team)?.ended.get(&key.id.number)?;
        (*digest == key.digest).then(|| Outcome::Ended(end.clone()))
    }

    /// The edits that have not ended, those on trial left out.
    pub fn open(&self) -> impl Iterator<Item = (&EditKey, &Edit)> {
        self.stored.input.edits.iter()
    }

    /// How each team's last edits ended, at most so many of each.
    pub fn ended(&self, most: usize) -> impl Iterator<Item = (EditId, &FinalState)> {
        self.stored.teams.iter().flat_map(move |(team, of)| {
            let last = of.ended.iter().rev().take(most);
            last.map(|(number, (_, end))| (EditId { team: team.clone(), number: *number }, end))
        })
    }

    /// The edits of this number that have not ended: more than one only where a team used a number twice.
    pub fn open_keys(&self, id: &EditId) -> Vec<EditKey> {
        self.stored.input.edits.keys().filter(|key| key.id == *id).cloned().collect()
    }

    /// The table that is agreed, whoever uses it already, with its revision.
    pub fn table(&self) -> &Table {
        &self.stored.base.table
    }

    /// When the table was last published, in Unix milliseconds.
    pub fn published_ms(&self) -> u64 {
        self.stored.published_ms
    }

    /// An edit that undoes one in the log, to be sent like any other. `None` if the log has it no more or it would be too large.
    pub fn undo(&self, edit: &EditKey, id: EditId, reason: &str) -> Option<Edit> {
        let line =
            self.stored.published_edits.iter().rev().find(|line| line.edit == *edit && !line.reverted)?;
        let base = self.stored.base.revision;
        let undo = Edit { id, base, reason: reason.to_string(), changes: line.inverse.clone() };
        undo.check().is_ok().then_some(undo)
    }

    /// The table that a member uses, and whether it is on trial there.
    pub fn table_for(&self, member: &str) -> (&Base, bool) {
        match &self.stored.trial {
            Some(trial) if !in_trial(member, trial.permille) && !is_active(Mutant::ShownBeforeAgreed) => {
                (&trial.previous, false)
            }
            trial => (&self.stored.base, trial.is_some()),
        }
    }

    /// The regions that may serve a class and tenant, by the table that all members have; empty if all may.
    pub fn allowed_regions(&self, class: &str, tenant: &str) -> BTreeSet<String> {
        let base = self.stored.trial.as_ref().map_or(&self.stored.base, |trial| &trial.previous);
        Snapshot::new(base.revision, false, 0, base.table.clone()).allowed_regions(class, tenant)
    }

    /// Takes in an entry.
    pub fn apply_entry(&mut self, entry: Entry) -> Outcome {
        let (conflicts, shown) = (self.merged.conflicts.clone(), self.published_state());
        let outcome = match entry {
            Entry::Edit(edit) => self.submit_edit(edit),
            Entry::Withdraw { by, edit } => self.withdraw(&by, edit),
            Entry::Consent { by, edit, granted } => self.consent(by, edit, granted),
            Entry::Settle { by, conflict, keep } => self.settle(by, conflict, keep),
            Entry::Publish { permille, now_ms } => self.publish(permille, now_ms),
            Entry::JudgeTrial { revision, now_ms } => self.judge_trial(revision, now_ms),
            Entry::ReportCounts { by, trial, revision, counts } => {
                self.report_counts(by, trial, revision, counts)
            }
        };
        if self.published_state() != shown || self.merged.conflicts != conflicts {
            self.stored.epoch += 1;
        }
        outcome
    }

    fn published_state(&self) -> (u64, bool) {
        (self.stored.base.revision, self.stored.trial.is_some())
    }

    fn submit_edit(&mut self, edit: Edit) -> Outcome {
        if let Err(what) = edit.check() {
            return Outcome::Refused(Refusal::Malformed(what));
        }
        let key = edit.key();
        if let Some(known) = self.outcome_of(&key)
            && !(matches!(known, Outcome::Ended(_)) && is_active(Mutant::EndForgotten))
        {
            return known;
        }
        if let Err(refusal) = self.check_new_edit(&edit, &key) {
            return Outcome::Refused(refusal);
        }
        self.stored.teams.entry(key.id.team.clone()).or_default();
        self.stored.input.edits.insert(key.clone(), edit);
        self.remerge();
        self.outcome_of(&key).unwrap_or(Outcome::Refused(Refusal::NoSuchEdit))
    }

    fn check_new_edit(&self, edit: &Edit, key: &EditKey) -> Result<(), Refusal> {
        if edit.base > self.revision() {
            return Err(Refusal::UnknownBase(edit.base));
        }
        match self.stored.teams.get(&key.id.team) {
            None if self.stored.teams.len() >= MAX_TEAMS => return Err(Refusal::Full("MAX_TEAMS".into())),
            Some(team) if team.ended.get(&key.id.number).is_some_and(|(digest, _)| *digest != key.digest) => {
                return Err(Refusal::NumberTaken(key.id.clone()));
            }
            Some(team)
                if key.id.number <= team.forgotten_up_to && !team.ended.contains_key(&key.id.number) =>
            {
                return Err(Refusal::NumberTooOld(team.forgotten_up_to));
            }
            _ => {}
        }
        if self.stored.trial.as_ref().is_some_and(|trial| trial.edits.iter().any(|other| other.id == key.id))
        {
            return Err(Refusal::NumberTaken(key.id.clone()));
        }
        let size = |edit: &Edit| postcard::to_stdvec(edit).map_or(usize::MAX, |bytes| bytes.len());
        let bytes: usize = self.stored.input.edits.values().map(size).sum();
        if self.stored.input.edits.len() >= MAX_OPEN {
            return Err(Refusal::Full("MAX_OPEN".into()));
        }
        if bytes + size(edit) > MAX_OPEN_BYTES {
            return Err(Refusal::Full("MAX_OPEN_BYTES".into()));
        }
        self.full_field(edit).map_or(Ok(()), |(thing, field)| Err(Refusal::TooManyOnField(thing, field)))
    }

    /// What the edit writes that enough others write already.
    fn full_field(&self, edit: &Edit) -> Option<(Thing, Option<Field>)> {
        fn writes(change: &Change) -> Vec<(&Thing, Option<Field>)> {
            match change {
                Change::Set { thing, field, .. } => vec![(thing, Some(*field))],
                whole => vec![(whole.thing(), None)],
            }
        }
        let mut others: BTreeMap<(&Thing, Option<Field>), usize> =
            edit.changes.iter().flat_map(writes).map(|write| (write, 0)).collect();
        for change in self.stored.input.edits.values().flat_map(|other| &other.changes) {
            for write in writes(change) {
                others.entry(write).and_modify(|count| *count += 1);
            }
        }
        let crowded = others.into_iter().find(|(_, count)| *count >= MAX_OPEN_PER_FIELD);
        crowded.map(|((thing, field), _)| (thing.clone(), field))
    }

    fn withdraw(&mut self, by: &str, edit: EditKey) -> Outcome {
        if edit.id.team != by {
            return Outcome::Refused(Refusal::NotAuthorized);
        }
        if !self.stored.input.edits.contains_key(&edit) {
            return self.outcome_of(&edit).unwrap_or(Outcome::Refused(Refusal::NoSuchEdit));
        }
        self.stored.input.withdrawn.insert(edit.clone());
        self.remerge();
        self.outcome_of(&edit).unwrap_or(Outcome::Done)
    }

    fn consent(&mut self, by: String, edit: EditKey, granted: bool) -> Outcome {
        let parts = |open: &Edit| {
            let terms = crate::base::EditContext::default();
            open.changes
                .iter()
                .flat_map(|change| self.stored.base.affected_things(change, &terms))
                .collect::<Vec<_>>()
        };
        let Some(open) = self.stored.input.edits.get(&edit) else {
            return self.outcome_of(&edit).unwrap_or(Outcome::Refused(Refusal::NoSuchEdit));
        };
        // A team that gets a part only by another open edit may give its word before it has it.
        let promised = self.merged.conflicts.values().any(|of| {
            of.members.contains(&edit)
                && of.reasons.iter().any(
                    |why| matches!(why, crate::access::ConflictReason::OwnerChanged(_, team) if *team == by),
                )
        });
        if !promised && !parts(open).iter().any(|part| self.stored.base.table.owner(part) == Some(&by)) {
            return Outcome::Refused(Refusal::NotAuthorized);
        }
        let said = self.stored.input.consents.entry(edit.clone()).or_default().entry(by).or_insert(granted);
        *said &= granted;
        self.remerge();
        self.outcome_of(&edit).unwrap_or(Outcome::Done)
    }

    fn settle(&mut self, by: String, id: ConflictId, keep: BTreeSet<EditKey>) -> Outcome {
        let refused = Outcome::Refused;
        if let Some(before) = self.stored.input.settled.get_mut(&id) {
            if !is_active(Mutant::SettledTwice) {
                return refused(Refusal::AlreadySettled(before.by.clone()));
            }
            before.keep = before.keep.intersection(&keep).cloned().collect();
            self.remerge();
            return Outcome::Done;
        }
        let Some(conflict) = self.merged.conflicts.get(&id) else {
            return refused(Refusal::NoSuchConflict);
        };
        if !conflict.teams.contains(&by) {
            return refused(Refusal::NotAuthorized);
        }
        let all = keep == conflict.members;
        if !keep.is_subset(&conflict.members) || (all && !conflict.can_keep_all()) {
            return refused(Refusal::InvalidKeep);
        }
        if self.stored.input.settled.len() >= MAX_SETTLED {
            return refused(Refusal::Full("MAX_SETTLED".into()));
        }
        let (members, in_force) = (conflict.members.clone(), conflict.in_force.clone());
        self.stored.input.settled.insert(id, Settlement { members, keep, by, in_force });
        self.remerge();
        Outcome::Done
    }

    fn publish(&mut self, permille: u32, now_ms: u64) -> Outcome {
        if !(1..=FULL_SHARE_PERMILLE).contains(&permille) {
            return Outcome::Refused(Refusal::InvalidShare(permille));
        }
        if self.stored.trial.is_some() {
            return Outcome::Refused(Refusal::TrialRunning(self.revision()));
        }
        let edits: BTreeSet<EditKey> = self.merged.accepted().cloned().collect();
        if edits.is_empty() {
            return Outcome::Refused(Refusal::NothingToPublish);
        }
        // The merge has seen to all of this; a table is checked as a whole all the same before anybody uses it.
        let next = match self.merged.next_base(&self.stored.base, &self.stored.input) {
            Ok(next) => next,
            Err((key, unfit)) => {
                return Outcome::Refused(Refusal::InvalidTable(format!(
                    "{key}: {}",
                    RefusalReason::NotApplicable(unfit)
                )));
            }
        };
        if let Some(wrong) = rules::check(&next.table).first() {
            return Outcome::Refused(Refusal::InvalidTable(wrong.to_string()));
        }
        for key in &edits {
            if let Some(edit) = self.stored.input.edits.remove(key) {
                let inverse = edit.changes.iter().map(|change| inverse(&self.stored.base, change)).collect();
                let (revision, edit, reason) = (next.revision, key.clone(), edit.reason);
                self.stored.published_edits.push_back(PublishedEdit {
                    revision,
                    edit,
                    reason,
                    inverse,
                    reverted: false,
                });
            }
        }
        while self.stored.published_edits.len() > MAX_PUBLISHED_EDITS {
            self.stored.published_edits.pop_front();
        }
        let before = std::mem::replace(&mut self.stored.base, next);
        self.stored.published_ms = now_ms;
        let revision = self.revision();
        if permille == FULL_SHARE_PERMILLE {
            edits.into_iter().for_each(|key| self.finish_edit(key, FinalState::Published(revision)));
        } else {
            self.stored.trial = Some(Trial { permille, previous: before, edits, reports: BTreeMap::new() });
        }
        self.remerge();
        Outcome::Published(revision)
    }

    fn report_counts(&mut self, by: Holder, trial: u64, revision: u64, counts: Counts) -> Outcome {
        let present = self.revision();
        let Some(of) = self.stored.trial.as_mut().filter(|_| trial == present) else {
            return Outcome::Refused(Refusal::NoSuchTrial);
        };
        // Guards against counts of a table that this start was never shown.
        let uses = if in_trial(&by.member, of.permille) { present } else { of.previous.revision };
        if (revision != uses && !is_active(Mutant::AnySideCounts)) || !counts.is_plausible() {
            return Outcome::Refused(Refusal::InvalidCounts);
        }
        let known = of.reports.entry(by).or_default();
        if is_active(Mutant::ToldTwice) {
            *known = known.plus(&counts);
        } else if counts.requests >= known.requests {
            // Guards against an earlier word that comes late.
            *known = counts;
        }
        Outcome::Done
    }

    fn judge_trial(&mut self, revision: u64, now_ms: u64) -> Outcome {
        let Some(of) = self.trial_status().filter(|of| of.revision == revision) else {
            return Outcome::Refused(Refusal::NoSuchTrial);
        };
        // Judged here, by what is agreed: whoever proposes it may know less.
        let why = match of.verdict(now_ms) {
            Verdict::Wait => return Outcome::Refused(Refusal::TooEarly),
            Verdict::Adopt => None,
            Verdict::RollBack(why) => Some(why),
        };
        let Some(trial) = self.stored.trial.take() else {
            return Outcome::Refused(Refusal::NoSuchTrial);
        };
        let on = why.is_none();
        for key in trial.edits {
            let end = match why {
                None => FinalState::Published(revision),
                Some(why) => {
                    let (without, with) = (of.without, of.with);
                    FinalState::Refused(RefusalReason::RolledBack { revision, why, without, with })
                }
            };
            self.finish_edit(key, end);
        }
        if !on {
            // A revision is never used for two tables, so the way back is a new one.
            self.stored.base = Base { revision: revision + 1, ..trial.previous };
            self.stored
                .published_edits
                .iter_mut()
                .filter(|line| line.revision == revision)
                .for_each(|line| line.reverted = true);
        }
        self.remerge();
        Outcome::Published(self.revision())
    }

    fn finish_edit(&mut self, key: EditKey, end: FinalState) {
        let team = self.stored.teams.entry(key.id.team).or_default();
        team.ended.insert(key.id.number, (key.digest, end));
        while team.ended.len() > MAX_ENDED_PER_TEAM {
            if let Some((number, _)) = team.ended.pop_first() {
                team.forgotten_up_to = team.forgotten_up_to.max(number);
            }
        }
    }

    /// Merges again, and lets go of what has ended.
    fn remerge(&mut self) {
        self.merged = merge(&self.stored.base, &self.stored.input);
        let mut over = Vec::new();
        self.merged.states.retain(|key, state| {
            let end = match state {
                EditState::Withdrawn(by) => FinalState::Withdrawn(by.clone()),
                EditState::Refused(reason) => FinalState::Refused(reason.clone()),
                _ => return true,
            };
            over.push((key.clone(), end));
            false
        });
        // These took no part in the merge, so the rest stands as it is.
        for (key, end) in over {
            self.stored.input.edits.remove(&key);
            self.finish_edit(key, end);
        }
        let input = &mut self.stored.input;
        input.consents.retain(|key, _| input.edits.contains_key(key));
        input.withdrawn.retain(|key| input.edits.contains_key(key));
        input.settled.retain(|_, of| of.members.iter().any(|key| input.edits.contains_key(key)));
    }
}

/// What undoes a change of a table.
fn inverse(base: &Base, change: &Change) -> Change {
    match change {
        Change::Add { thing, .. } => Change::Remove { thing: thing.clone() },
        Change::Set { thing, field, .. } => {
            let value: Value = base.table.value(thing, *field).clone();
            Change::Set { thing: thing.clone(), field: *field, value }
        }
        Change::Remove { thing } => {
            let fields = base.table.things.get(thing).cloned().unwrap_or_default();
            Change::Add { thing: thing.clone(), fields }
        }
        Change::Rename { thing, to } => Change::Rename { thing: thing.named(to), to: thing.name.clone() },
    }
}

impl Part for Routes {
    fn name(&self) -> &'static str {
        NAME
    }

    fn apply(&mut self, fleet: &Fleet, entry: &[u8]) -> Vec<u8> {
        let read = if entry.len() <= MAX_ENTRY_BYTES { Entry::from_bytes(entry) } else { None };
        let outcome = match read {
            None => Outcome::Refused(Refusal::Unreadable),
            // Guards against a start that tells of itself after the fleet took it for lost, and is counted for ever.
            Some(Entry::ReportCounts { by, .. }) if !fleet.is_present(&by) => {
                Outcome::Refused(Refusal::NotInFleet)
            }
            Some(entry) => self.apply_entry(entry),
        };
        outcome.to_bytes()
    }

    fn members_changed(&mut self, fleet: &Fleet) {
        // Who is among the first goes by names alone; what is judged by, by who is there.
        if let Some(trial) = self.stored.trial.as_mut().filter(|_| !is_active(Mutant::GoneCount)) {
            trial.reports.retain(|by, _| fleet.is_present(by));
        }
    }

    fn epoch(&self, _: &Holder) -> u64 {
        self.stored.epoch
    }

    fn seen_by(&self, holder: &Holder) -> Vec<u8> {
        let (base, on_trial) = self.table_for(&holder.member);
        let shown = self.merged.conflicts.iter().take(MAX_SHOWN_CONFLICTS);
        let seen = MemberView {
            revision: base.revision,
            on_trial,
            trial: self.stored.trial.as_ref().map(|_| self.stored.base.revision),
            published_ms: self.stored.published_ms,
            table: base.table.clone(),
            conflicts: shown.map(|(id, conflict)| (*id, conflict.clone())).collect(),
        };
        seen.to_bytes()
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.stored).unwrap_or_default()
    }

    fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok((mut stored, [])) = postcard::take_from_bytes::<Stored>(bytes) else { return false };
        stored.base.rebuild_indexes();
        if let Some(trial) = &mut stored.trial {
            trial.previous.rebuild_indexes();
        }
        let merged = merge(&stored.base, &stored.input);
        *self = Routes { stored, merged };
        true
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}
