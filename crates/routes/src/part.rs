//! The route table as part of the replicated state: applies committed log entries and reports the outcome
//! of each edit.

use crate::access::ConflictReason;
use crate::base::{Base, EditContext};
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

/// Name of this part in the log's entries.
pub const NAME: &str = "routes";
/// Maximum number of open edits: ten times what forty teams have open at once.
pub const MAX_OPEN: usize = 512;
/// Maximum total size of the open edits, in bytes.
pub const MAX_OPEN_BYTES: usize = 1024 * 1024;
/// Maximum number of teams on record.
pub const MAX_TEAMS: usize = 256;
/// Ended edits on record for each team. A number older than these cannot be told from a new one and is
/// refused.
pub const MAX_ENDED_PER_TEAM: usize = 128;
/// Maximum number of settlements that still concern an open edit.
pub const MAX_SETTLED: usize = 1024;
/// Published edits on record, for the log shown to operators and for undo.
pub const MAX_PUBLISHED_EDITS: usize = 512;
/// Conflicts included in a [`MemberView`]. Voters know all of them.
pub const MAX_SHOWN_CONFLICTS: usize = 64;
/// Open edits that may write the same field of a thing, or add, remove or rename the same thing. Each entry
/// compares every pair of them, so that submitting n of them costs O(n³). Leaves room for a different value
/// from each of forty teams.
pub const MAX_OPEN_PER_FIELD: usize = 64;
/// Maximum size of a log entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 8 * 1024;
// An entry holds an edit and its envelope.
const _: () = assert!(MAX_EDIT_BYTES + 256 < MAX_ENTRY_BYTES);

/// A log entry of the route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Submits an edit.
    Edit(Edit),
    /// Withdraws an edit of the team's own.
    Withdraw {
        /// The team.
        by: String,
        /// The edit.
        edit: EditKey,
    },
    /// Gives or denies the consent of a team whose things an edit affects.
    Consent {
        /// The team.
        by: String,
        /// The edit.
        edit: EditKey,
        /// `false` denies consent.
        granted: bool,
    },
    /// Settles a conflict on behalf of a team.
    Settle {
        /// The team.
        by: String,
        /// The conflict.
        conflict: ConflictId,
        /// The edits to keep. All of them are kept only if one of them is to follow the other's rename.
        keep: BTreeSet<EditKey>,
    },
    /// Publishes the accepted edits as a new table, first to a share of the members.
    Publish {
        /// The share, in thousandths.
        permille: u32,
        /// Time of publication, in Unix milliseconds.
        now_ms: u64,
    },
    /// Judges the table on trial by the counts reported so far: it is adopted by all members, rolled back,
    /// or stays on trial.
    JudgeTrial {
        /// The revision on trial.
        revision: u64,
        /// Time of the judgement, in Unix milliseconds.
        now_ms: u64,
    },
    /// Reports the requests that an incarnation has seen since it learned of a trial. The counts are
    /// cumulative, so that a lost or repeated report does no harm.
    ReportCounts {
        /// The reporting incarnation.
        by: Holder,
        /// The revision on trial.
        trial: u64,
        /// The revision that the incarnation uses.
        revision: u64,
        /// Its cumulative counts.
        counts: Counts,
    },
}

/// How an edit ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalState {
    /// Part of the table since this revision.
    Published(u64),
    /// Withdrawn by this team, or discarded by its settlement of a conflict.
    Withdrawn(String),
    /// Refused.
    Refused(RefusalReason),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The entry cannot be decoded.
    Unreadable,
    /// The edit is malformed.
    Malformed(Malformed),
    /// The edit is based on a revision that does not exist yet.
    UnknownBase(u64),
    /// The team has used this number for another edit.
    NumberTaken(EditId),
    /// Numbers up to this one may have been used by forgotten edits: the edit needs a new number.
    NumberTooOld(u64),
    /// The named bound is reached.
    Full(String),
    /// [`MAX_OPEN_PER_FIELD`] open edits write this field already, or add, remove or rename the thing.
    TooManyOnField(Thing, Option<Field>),
    /// There is no such open edit.
    NoSuchEdit,
    /// There is no such conflict.
    NoSuchConflict,
    /// This team has settled the conflict already.
    AlreadySettled(String),
    /// The team has no authority over the edit or conflict.
    NotAuthorized,
    /// The edits to keep are not all in the conflict, or are all of its edits although it is no rename
    /// conflict.
    InvalidKeep,
    /// This revision is on trial.
    TrialRunning(u64),
    /// No table with this revision is on trial.
    NoSuchTrial,
    /// It is too early to judge the table on trial.
    TooEarly,
    /// The counts are implausible, or cannot come from this incarnation.
    InvalidCounts,
    /// The incarnation is not in the fleet.
    NotInFleet,
    /// There are no accepted edits to publish.
    NothingToPublish,
    /// The share is zero or more than the whole.
    InvalidShare(u32),
    /// The resulting table would not be valid.
    InvalidTable(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Unreadable => f.write_str("the entry cannot be decoded"),
            Refusal::Malformed(what) => write!(f, "the edit {what}"),
            Refusal::UnknownBase(base) => write!(f, "revision {base} does not exist yet"),
            Refusal::NumberTaken(id) => {
                write!(f, "{} has used the number {} for another edit", id.team, id.number)
            }
            Refusal::NumberTooOld(last) => {
                write!(f, "edit numbers up to {last} are no longer accepted: send the edit with a new one")
            }
            Refusal::Full(bound) => write!(f, "{bound} is reached: settle, withdraw or publish first"),
            Refusal::TooManyOnField(thing, field) => {
                let of = field.map_or(String::new(), |field| format!("{field:?} of "));
                write!(f, "{MAX_OPEN_PER_FIELD} open edits change {of}{thing}: settle or withdraw some first")
            }
            Refusal::NoSuchEdit => f.write_str("there is no such open edit"),
            Refusal::NoSuchConflict => f.write_str("there is no such conflict"),
            Refusal::AlreadySettled(by) => write!(f, "{by} has settled it"),
            Refusal::NotAuthorized => f.write_str("the team has no authority over this"),
            Refusal::InvalidKeep => f.write_str(
                "the edits to keep must be a part of the conflict, or all of it if one can follow a rename",
            ),
            Refusal::TrialRunning(revision) => write!(f, "revision {revision} is on trial"),
            Refusal::NoSuchTrial => f.write_str("no such revision is on trial"),
            Refusal::TooEarly => {
                f.write_str("there were too few requests, or too little time has passed, to judge the trial")
            }
            Refusal::InvalidCounts => {
                f.write_str("the counts are implausible, or for a table that this member does not use")
            }
            Refusal::NotInFleet => f.write_str("the reporting process is not in the fleet"),
            Refusal::NothingToPublish => f.write_str("there is no accepted edit to publish"),
            Refusal::InvalidShare(permille) => {
                write!(f, "a share of {permille} thousandths: 1 to {FULL_SHARE_PERMILLE} are allowed")
            }
            Refusal::InvalidTable(what) => write!(f, "not published: {what}"),
        }
    }
}

/// The outcome of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The edit is open, in this state.
    Open(EditState),
    /// The edit has ended.
    Ended(FinalState),
    /// The entry was applied.
    Done,
    /// The table has this revision now.
    Published(u64),
    /// Nothing was changed.
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

/// What a member is shown of the route table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The revision that the member uses.
    pub revision: u64,
    /// Whether that revision is on trial.
    pub on_trial: bool,
    /// The revision on trial at some of the members.
    pub trial: Option<u64>,
    /// Time of the last publication, in Unix milliseconds.
    pub published_ms: u64,
    /// The table.
    pub table: Table,
    /// The first [`MAX_SHOWN_CONFLICTS`] conflicts.
    pub conflicts: Vec<(ConflictId, Conflict)>,
}

macro_rules! bytes {
    ($($of:ty),*) => {$(
        impl $of {
            /// Encodes the value; equal values give equal bytes.
            pub fn to_bytes(&self) -> Vec<u8> {
                // Every value of these types can be encoded.
                postcard::to_stdvec(self).unwrap_or_default()
            }

            /// Decodes a value; `None` if the bytes are not exactly one.
            pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
                postcard::take_from_bytes(bytes).ok().filter(|(_, rest)| rest.is_empty()).map(|(of, _)| of)
            }
        }
    )*};
}

bytes!(Entry, Outcome, MemberView);

impl MemberView {
    /// Returns the table for use by requests.
    pub fn snapshot(self, confirmed_ms: u64) -> Snapshot {
        Snapshot::new(self.revision, self.on_trial, confirmed_ms, self.table).with_trial(self.trial)
    }
}

/// An edit that was published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedEdit {
    /// The revision with which it was published.
    pub revision: u64,
    /// The edit.
    pub edit: EditKey,
    /// The reason its team gave.
    pub reason: String,
    /// The changes that undo it.
    pub inverse: Vec<Change>,
    /// Whether the revision was rolled back.
    pub reverted: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TeamRecord {
    /// Ended edits by number: digest and final state.
    ended: BTreeMap<u64, (u64, FinalState)>,
    /// Edits with numbers up to this one may have been forgotten.
    forgotten_up_to: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    permille: u32,
    previous: Base,
    edits: BTreeSet<EditKey>,
    /// The last report of each incarnation that is in the fleet.
    reports: BTreeMap<Holder, Counts>,
}

/// The status of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialStatus {
    /// The revision on trial.
    pub revision: u64,
    /// The share of members that have it, in thousandths.
    pub permille: u32,
    /// Start of the trial, in Unix milliseconds.
    pub since_ms: u64,
    /// Counts of the nodos without it.
    pub without: Counts,
    /// Counts of the nodos with it.
    pub with: Counts,
}

impl TrialStatus {
    /// Judges the trial at this time. If the clock has gone back, the trial continues.
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
    /// The merge of the open edits; not stored but computed.
    merged: MergeResult,
}

impl Default for Routes {
    /// Creates an empty table. Its sums must be computed: without them, every edit was refused for lack of
    /// room.
    fn default() -> Routes {
        let stored = Stored { base: Base::new(Table::default()), ..Stored::default() };
        Routes { stored, merged: MergeResult::default() }
    }
}

impl Routes {
    /// Creates the state from a table; `None` if the table is not valid.
    pub fn new(table: Table) -> Option<Routes> {
        let valid = rules::check(&table).is_empty();
        let stored = Stored { base: Base::new(table), epoch: 1, ..Stored::default() };
        valid.then(|| Routes { stored, merged: MergeResult::default() })
    }

    /// Returns the revision that new edits are based on.
    pub fn revision(&self) -> u64 {
        self.stored.base.revision
    }

    /// Returns the merge of the open edits.
    pub fn merged(&self) -> &MergeResult {
        &self.merged
    }

    /// Whether there are accepted edits to publish and no trial is running.
    pub fn can_publish(&self) -> bool {
        self.stored.trial.is_none() && self.merged.accepted().next().is_some()
    }

    /// Returns the status of the current trial.
    pub fn trial_status(&self) -> Option<TrialStatus> {
        let trial = self.stored.trial.as_ref()?;
        let sum = |with: bool| {
            let side = trial.reports.iter().filter(|(by, _)| in_trial(&by.member, trial.permille) == with);
            side.fold(Counts::default(), |sum, (_, counts)| sum.plus(counts))
        };
        let (revision, permille, since_ms) = (self.revision(), trial.permille, self.stored.published_ms);
        Some(TrialStatus { revision, permille, since_ms, without: sum(false), with: sum(true) })
    }

    /// Returns the published edits, oldest first.
    pub fn published_edits(&self) -> impl Iterator<Item = &PublishedEdit> {
        self.stored.published_edits.iter()
    }

    /// Returns the outcome of an edit, if it is known.
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

    /// Returns the edits that have not ended, without those on trial.
    pub fn open(&self) -> impl Iterator<Item = (&EditKey, &Edit)> {
        self.stored.input.edits.iter()
    }

    /// Returns the final states of each team's latest edits, at most `most` for each team.
    pub fn ended(&self, most: usize) -> impl Iterator<Item = (EditId, &FinalState)> {
        self.stored.teams.iter().flat_map(move |(team, record)| {
            let latest = record.ended.iter().rev().take(most);
            latest.map(|(number, (_, end))| (EditId { team: team.clone(), number: *number }, end))
        })
    }

    /// Returns the open edits with this id: more than one only if a team has used a number twice.
    pub fn open_keys(&self, id: &EditId) -> Vec<EditKey> {
        self.stored.input.edits.keys().filter(|key| key.id == *id).cloned().collect()
    }

    /// Returns the committed table, which not all members use yet during a trial.
    pub fn table(&self) -> &Table {
        &self.stored.base.table
    }

    /// Returns the time of the last publication, in Unix milliseconds.
    pub fn published_ms(&self) -> u64 {
        self.stored.published_ms
    }

    /// Creates an edit that undoes a published one, to be submitted like any other. `None` if the edit is
    /// no longer on record or its undo would be too large.
    pub fn undo(&self, edit: &EditKey, id: EditId, reason: &str) -> Option<Edit> {
        let published = self
            .stored
            .published_edits
            .iter()
            .rev()
            .find(|published| published.edit == *edit && !published.reverted)?;
        let base = self.stored.base.revision;
        let undo = Edit { id, base, reason: reason.to_string(), changes: published.inverse.clone() };
        undo.check().is_ok().then_some(undo)
    }

    /// Returns the table that a member uses, and whether it is on trial there.
    pub fn table_for(&self, member: &str) -> (&Base, bool) {
        match &self.stored.trial {
            Some(trial) if !in_trial(member, trial.permille) && !is_active(Mutant::ShownBeforeAgreed) => {
                (&trial.previous, false)
            }
            trial => (&self.stored.base, trial.is_some()),
        }
    }

    /// Returns the regions that may serve a class and tenant by the table that all members have; empty if
    /// all may.
    pub fn allowed_regions(&self, class: &str, tenant: &str) -> BTreeSet<String> {
        let base = self.stored.trial.as_ref().map_or(&self.stored.base, |trial| &trial.previous);
        Snapshot::new(base.revision, false, 0, base.table.clone()).allowed_regions(class, tenant)
    }

    /// Applies an entry.
    pub fn apply_entry(&mut self, entry: Entry) -> Outcome {
        let (conflicts_before, state_before) = (self.merged.conflicts.clone(), self.published_state());
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
        if self.published_state() != state_before || self.merged.conflicts != conflicts_before {
            self.stored.epoch += 1;
        }
        outcome
    }

    fn published_state(&self) -> (u64, bool) {
        (self.stored.base.revision, self.stored.trial.is_some())
    }

    fn submit_edit(&mut self, edit: Edit) -> Outcome {
        if let Err(malformed) = edit.check() {
            return Outcome::Refused(Refusal::Malformed(malformed));
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

    /// Finds a field or thing of the edit that [`MAX_OPEN_PER_FIELD`] other edits write already.
    fn full_field(&self, edit: &Edit) -> Option<(Thing, Option<Field>)> {
        fn writes(change: &Change) -> Vec<(&Thing, Option<Field>)> {
            match change {
                Change::Set { thing, field, .. } => vec![(thing, Some(*field))],
                change => vec![(change.thing(), None)],
            }
        }
        let mut counts: BTreeMap<(&Thing, Option<Field>), usize> =
            edit.changes.iter().flat_map(writes).map(|write| (write, 0)).collect();
        for change in self.stored.input.edits.values().flat_map(|other| &other.changes) {
            for write in writes(change) {
                counts.entry(write).and_modify(|count| *count += 1);
            }
        }
        let full = counts.into_iter().find(|(_, count)| *count >= MAX_OPEN_PER_FIELD);
        full.map(|((thing, field), _)| (thing.clone(), field))
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
        let affected = |open_edit: &Edit| {
            let context = EditContext::default();
            open_edit
                .changes
                .iter()
                .flat_map(|change| self.stored.base.affected_things(change, &context))
                .collect::<Vec<_>>()
        };
        let Some(open_edit) = self.stored.input.edits.get(&edit) else {
            return self.outcome_of(&edit).unwrap_or(Outcome::Refused(Refusal::NoSuchEdit));
        };
        // A team that an open edit makes the owner of a thing may consent before it is the owner.
        let becomes_owner = self.merged.conflicts.values().any(|conflict| {
            conflict.members.contains(&edit)
                && conflict
                    .reasons
                    .iter()
                    .any(|reason| matches!(reason, ConflictReason::OwnerChanged(_, team) if *team == by))
        });
        if !becomes_owner
            && !affected(open_edit).iter().any(|thing| self.stored.base.table.owner(thing) == Some(&by))
        {
            return Outcome::Refused(Refusal::NotAuthorized);
        }
        let consent =
            self.stored.input.consents.entry(edit.clone()).or_default().entry(by).or_insert(granted);
        *consent &= granted;
        self.remerge();
        self.outcome_of(&edit).unwrap_or(Outcome::Done)
    }

    fn settle(&mut self, by: String, id: ConflictId, keep: BTreeSet<EditKey>) -> Outcome {
        let refused = Outcome::Refused;
        if let Some(settlement) = self.stored.input.settled.get_mut(&id) {
            if !is_active(Mutant::SettledTwice) {
                return refused(Refusal::AlreadySettled(settlement.by.clone()));
            }
            settlement.keep = settlement.keep.intersection(&keep).cloned().collect();
            self.remerge();
            return Outcome::Done;
        }
        let Some(conflict) = self.merged.conflicts.get(&id) else {
            return refused(Refusal::NoSuchConflict);
        };
        if !conflict.teams.contains(&by) {
            return refused(Refusal::NotAuthorized);
        }
        let keeps_all = keep == conflict.members;
        if !keep.is_subset(&conflict.members) || (keeps_all && !conflict.can_keep_all()) {
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
        // The merge guarantees a valid table; it is checked as a whole all the same before any member uses
        // it.
        let next = match self.merged.next_base(&self.stored.base, &self.stored.input) {
            Ok(next) => next,
            Err((key, error)) => {
                return Outcome::Refused(Refusal::InvalidTable(format!(
                    "{key}: {}",
                    RefusalReason::NotApplicable(error)
                )));
            }
        };
        if let Some(fault) = rules::check(&next.table).first() {
            return Outcome::Refused(Refusal::InvalidTable(fault.to_string()));
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
        let previous = std::mem::replace(&mut self.stored.base, next);
        self.stored.published_ms = now_ms;
        let revision = self.revision();
        if permille == FULL_SHARE_PERMILLE {
            edits.into_iter().for_each(|key| self.finish_edit(key, FinalState::Published(revision)));
        } else {
            self.stored.trial = Some(Trial { permille, previous, edits, reports: BTreeMap::new() });
        }
        self.remerge();
        Outcome::Published(revision)
    }

    fn report_counts(&mut self, by: Holder, trial_revision: u64, revision: u64, counts: Counts) -> Outcome {
        let present = self.revision();
        let Some(trial) = self.stored.trial.as_mut().filter(|_| trial_revision == present) else {
            return Outcome::Refused(Refusal::NoSuchTrial);
        };
        // Rejects counts for a table that this incarnation was never shown.
        let expected_revision =
            if in_trial(&by.member, trial.permille) { present } else { trial.previous.revision };
        if (revision != expected_revision && !is_active(Mutant::AnySideCounts)) || !counts.is_plausible() {
            return Outcome::Refused(Refusal::InvalidCounts);
        }
        let report = trial.reports.entry(by).or_default();
        if is_active(Mutant::ToldTwice) {
            *report = report.plus(&counts);
        } else if counts.requests >= report.requests {
            // An earlier report that arrives late does not replace a later one.
            *report = counts;
        }
        Outcome::Done
    }

    fn judge_trial(&mut self, revision: u64, now_ms: u64) -> Outcome {
        let Some(status) = self.trial_status().filter(|status| status.revision == revision) else {
            return Outcome::Refused(Refusal::NoSuchTrial);
        };
        // The verdict is computed here from the replicated state; the proposer may know less.
        let reason = match status.verdict(now_ms) {
            Verdict::Wait => return Outcome::Refused(Refusal::TooEarly),
            Verdict::Adopt => None,
            Verdict::RollBack(reason) => Some(reason),
        };
        let Some(trial) = self.stored.trial.take() else {
            return Outcome::Refused(Refusal::NoSuchTrial);
        };
        let adopted = reason.is_none();
        for key in trial.edits {
            let end = match reason {
                None => FinalState::Published(revision),
                Some(reason) => {
                    let (without, with) = (status.without, status.with);
                    FinalState::Refused(RefusalReason::RolledBack { revision, why: reason, without, with })
                }
            };
            self.finish_edit(key, end);
        }
        if !adopted {
            // A revision is never used for two tables, so the rollback gets a new one.
            self.stored.base = Base { revision: revision + 1, ..trial.previous };
            self.stored
                .published_edits
                .iter_mut()
                .filter(|published| published.revision == revision)
                .for_each(|published| published.reverted = true);
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

    /// Repeats the merge and removes the edits that have ended.
    fn remerge(&mut self) {
        self.merged = merge(&self.stored.base, &self.stored.input);
        let mut ended = Vec::new();
        self.merged.states.retain(|key, state| {
            let end = match state {
                EditState::Withdrawn(by) => FinalState::Withdrawn(by.clone()),
                EditState::Refused(reason) => FinalState::Refused(reason.clone()),
                _ => return true,
            };
            ended.push((key.clone(), end));
            false
        });
        // The removed edits took no part in the merge, so that the other states stay as they are.
        for (key, end) in ended {
            self.stored.input.edits.remove(&key);
            self.finish_edit(key, end);
        }
        let input = &mut self.stored.input;
        input.consents.retain(|key, _| input.edits.contains_key(key));
        input.withdrawn.retain(|key| input.edits.contains_key(key));
        input
            .settled
            .retain(|_, settlement| settlement.members.iter().any(|key| input.edits.contains_key(key)));
    }
}

/// Returns the change that undoes `change`.
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
        let decoded = if entry.len() <= MAX_ENTRY_BYTES { Entry::from_bytes(entry) } else { None };
        let outcome = match decoded {
            None => Outcome::Refused(Refusal::Unreadable),
            // An incarnation that the fleet has declared lost may still report; its counts would never be
            // removed.
            Some(Entry::ReportCounts { by, .. }) if !fleet.is_present(&by) => {
                Outcome::Refused(Refusal::NotInFleet)
            }
            Some(entry) => self.apply_entry(entry),
        };
        outcome.to_bytes()
    }

    fn members_changed(&mut self, fleet: &Fleet) {
        // Membership of the trial group depends on names alone; the counts only on incarnations in the
        // fleet.
        if let Some(trial) = self.stored.trial.as_mut().filter(|_| !is_active(Mutant::GoneCount)) {
            trial.reports.retain(|incarnation, _| fleet.is_present(incarnation));
        }
    }

    fn epoch(&self, _: &Holder) -> u64 {
        self.stored.epoch
    }

    fn view_for(&self, holder: &Holder) -> Vec<u8> {
        let (base, on_trial) = self.table_for(&holder.member);
        let conflicts = self.merged.conflicts.iter().take(MAX_SHOWN_CONFLICTS);
        let view = MemberView {
            revision: base.revision,
            on_trial,
            trial: self.stored.trial.as_ref().map(|_| self.stored.base.revision),
            published_ms: self.stored.published_ms,
            table: base.table.clone(),
            conflicts: conflicts.map(|(id, conflict)| (*id, conflict.clone())).collect(),
        };
        view.to_bytes()
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
