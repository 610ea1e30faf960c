//! The route table as part of the agreed state: entries of the log come in, what has become of edits goes out.

use crate::base::Base;
use crate::edit::{Change, Edit, EditId, Key, MAX_EDIT, Malformed};
use crate::merge::{Conflict, ConflictId, Facts, Merged, Reason, Settlement, State, merge};
use crate::mutants::{Mutant, left_out};
use crate::rules;
use crate::snapshot::Snapshot;
use crate::stage::{Counts, Verdict, in_stage, judge};
use crate::table::{Field, Table, Thing, Value, WHOLE};
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
pub const MAX_ENDED: usize = 128;
/// Settlements that still matter to an open edit.
pub const MAX_SETTLED: usize = 1024;
/// Lines of the log that are kept, to tell and to undo.
pub const MAX_LOG: usize = 512;
/// Conflicts that each member is shown. All are known to those that vote.
pub const MAX_SHOWN: usize = 64;
/// Open edits that write one field of a thing, or that add, remove or rename it. Each pair of them is compared at each entry, so that what
/// comes in costs the cube of this. Ours: more than forty teams, each with a value of its own.
pub const MAX_ON_FIELD: usize = 64;
/// Bytes of an entry.
pub const MAX_ENTRY: usize = 8 * 1024;
// An edit with what is around it is an entry.
const _: () = assert!(MAX_EDIT + 256 < MAX_ENTRY);

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
        edit: Key,
    },
    /// A team whose part an edit touches gives its word, or says no.
    Word {
        /// The team.
        by: String,
        /// The edit.
        edit: Key,
        /// Whether it may.
        yes: bool,
    },
    /// A team settles a conflict.
    Settle {
        /// The team.
        by: String,
        /// The conflict.
        conflict: ConflictId,
        /// The edits that are kept; all of them if one is to follow the other's rename.
        keep: BTreeSet<Key>,
    },
    /// What is taken becomes the table, for this share of the members first.
    Publish {
        /// Thousandths.
        permille: u32,
        /// When, in Unix milliseconds.
        now_ms: u64,
    },
    /// A table on trial is judged by what is known of it when this is taken in, and goes on to all, or back, or waits.
    Step {
        /// Its revision.
        revision: u64,
        /// When, in Unix milliseconds.
        now_ms: u64,
    },
    /// What a start has seen of requests since it heard of a trial: all of them, so that a word that is lost or comes twice does no harm.
    Told {
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
pub enum End {
    /// It is part of the table since this revision.
    Taken(u64),
    /// This team took it back, or settled against it.
    Withdrawn(String),
    /// It was refused.
    Refused(Reason),
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It is no entry.
    NotRead,
    /// The edit is none.
    Malformed(Malformed),
    /// It was made on a revision that is not there yet.
    BaseUnknown(u64),
    /// Another edit of the team has this number.
    NumberTaken(EditId),
    /// Numbers up to this one cannot be told from old ones any more: it is to be sent under a new one.
    NumberOld(u64),
    /// A bound is reached, by its name.
    Full(String),
    /// So many open edits say something of this field already, or of the thing itself.
    Crowded(Thing, Option<Field>),
    /// There is no such edit that has not ended.
    NoSuchEdit,
    /// There is no such conflict.
    NoSuchConflict,
    /// It was settled before, by this team.
    Settled(String),
    /// The team has no right to say this.
    NotYours,
    /// What is kept is not of this conflict, or all of it, which only a rename can bear.
    NotToKeep,
    /// A table is on trial, with this revision.
    OnTrial(u64),
    /// No table with this revision is on trial.
    NotOnTrial,
    /// It is too early to judge the table on trial.
    TooEarly,
    /// Such counts cannot be, or cannot be those of this start.
    NotCounts,
    /// This start is not in the fleet.
    Gone,
    /// There is nothing new to publish.
    NothingNew,
    /// The share is above the whole, or nothing.
    Share(u32),
    /// The table would not be valid, and is not published.
    Invalid(String),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NotRead => f.write_str("this is no entry"),
            Refusal::Malformed(what) => write!(f, "the edit {what}"),
            Refusal::BaseUnknown(base) => write!(f, "there is no revision {base} yet"),
            Refusal::NumberTaken(id) => write!(f, "{} has another edit with number {}", id.team, id.number),
            Refusal::NumberOld(last) => write!(f, "numbers up to {last} are over: send it under a new one"),
            Refusal::Full(bound) => write!(f, "{bound} is reached: settle, withdraw or publish first"),
            Refusal::Crowded(thing, field) => {
                let of = field.map_or(String::new(), |field| format!("{field:?} of "));
                write!(
                    f,
                    "{MAX_ON_FIELD} open edits say what becomes of {of}{thing}: settle or withdraw some first"
                )
            }
            Refusal::NoSuchEdit => f.write_str("there is no such edit that has not ended"),
            Refusal::NoSuchConflict => f.write_str("there is no such conflict"),
            Refusal::Settled(by) => write!(f, "{by} has settled it"),
            Refusal::NotYours => f.write_str("this is for another team to say"),
            Refusal::NotToKeep => f.write_str("that cannot be what is kept of this conflict"),
            Refusal::OnTrial(revision) => write!(f, "revision {revision} is on trial"),
            Refusal::NotOnTrial => f.write_str("no such revision is on trial"),
            Refusal::TooEarly => f.write_str("too few requests, or too little time, to judge by"),
            Refusal::NotCounts => f.write_str("these cannot be the counts of that start"),
            Refusal::Gone => f.write_str("that start is not in the fleet"),
            Refusal::NothingNew => f.write_str("nothing is taken that the table has not"),
            Refusal::Share(permille) => write!(f, "{permille} thousandths: 1 to {WHOLE}"),
            Refusal::Invalid(what) => write!(f, "not published: {what}"),
        }
    }
}

/// What came of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The edit is open, and stands so.
    Open(State),
    /// The edit has ended.
    Ended(End),
    /// It is done.
    Done,
    /// The table has this revision.
    Published(u64),
    /// Nothing has changed.
    Refused(Refusal),
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::Taken(revision) => write!(f, "taken, in force since revision {revision}"),
            End::Withdrawn(by) => write!(f, "withdrawn by {by}"),
            End::Refused(why) => write!(f, "refused: {why}"),
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
pub struct Seen {
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

bytes!(Entry, Outcome, Seen);

impl Seen {
    /// The table for requests.
    pub fn snapshot(self, heard_ms: u64) -> Snapshot {
        Snapshot::new(self.revision, self.on_trial, heard_ms, self.table).during(self.trial)
    }
}

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The revision with which it was published.
    pub revision: u64,
    /// The edit.
    pub edit: Key,
    /// Why, in its team's words.
    pub reason: String,
    /// What undoes it.
    pub inverse: Vec<Change>,
    /// Whether the revision was taken back.
    pub back: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Team {
    /// By number: what the edit was, and how it ended.
    ended: BTreeMap<u64, (u64, End)>,
    /// Ended edits up to this number may be forgotten.
    floor: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Trial {
    permille: u32,
    before: Base,
    edits: BTreeSet<Key>,
    /// What each start has told last, as long as it is in the fleet.
    told: BTreeMap<Holder, Counts>,
}

/// A trial as it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OnTrial {
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

impl OnTrial {
    /// What becomes of it at this time. A clock that goes back has it wait.
    pub fn verdict(&self, now_ms: u64) -> Verdict {
        judge(&self.without, &self.with, now_ms.saturating_sub(self.since_ms))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    base: Base,
    facts: Facts,
    teams: BTreeMap<String, Team>,
    trial: Option<Trial>,
    log: VecDeque<Line>,
    published_ms: u64,
    epoch: u64,
}

/// The route table: a function of the log alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routes {
    kept: Kept,
    /// What the facts come to; found again from them.
    merged: Merged,
}

impl Default for Routes {
    /// An empty table. Guards against one whose sums were never found: it had no room for any edit.
    fn default() -> Routes {
        let kept = Kept { base: Base::new(Table::default()), ..Kept::default() };
        Routes { kept, merged: Merged::default() }
    }
}

impl Routes {
    /// Begins with a valid table; `None` if it is not.
    pub fn new(table: Table) -> Option<Routes> {
        let valid = rules::check(&table).is_empty();
        let kept = Kept { base: Base::new(table), epoch: 1, ..Kept::default() };
        valid.then(|| Routes { kept, merged: Merged::default() })
    }

    /// The revision that edits are made on.
    pub fn revision(&self) -> u64 {
        self.kept.base.revision
    }

    /// What all that is open comes to.
    pub fn merged(&self) -> &Merged {
        &self.merged
    }

    /// Whether there is something to publish.
    pub fn ready(&self) -> bool {
        self.kept.trial.is_none() && self.merged.taken().next().is_some()
    }

    /// The trial, if there is one.
    pub fn on_trial(&self) -> Option<OnTrial> {
        let trial = self.kept.trial.as_ref()?;
        let sum = |with: bool| {
            let side = trial.told.iter().filter(|(by, _)| in_stage(&by.member, trial.permille) == with);
            side.fold(Counts::default(), |sum, (_, counts)| sum.and(counts))
        };
        let (revision, permille, since_ms) = (self.revision(), trial.permille, self.kept.published_ms);
        Some(OnTrial { revision, permille, since_ms, without: sum(false), with: sum(true) })
    }

    /// The log, the oldest line first.
    pub fn log(&self) -> impl Iterator<Item = &Line> {
        self.kept.log.iter()
    }

    /// What has become of an edit, if it is known.
    pub fn state(&self, key: &Key) -> Option<Outcome> {
        if let Some(state) = self.merged.states.get(key) {
            return Some(Outcome::Open(state.clone()));
        }
        if self.kept.trial.as_ref().is_some_and(|trial| trial.edits.contains(key)) {
            return Some(Outcome::Open(State::Taken));
        }
        let (digest, end) = self.kept.teams.get(&key.id.team)?.ended.get(&key.id.number)?;
        (*digest == key.digest).then(|| Outcome::Ended(end.clone()))
    }

    /// The edits that have not ended, those on trial left out.
    pub fn open(&self) -> impl Iterator<Item = (&Key, &Edit)> {
        self.kept.facts.edits.iter()
    }

    /// How each team's last edits ended, at most so many of each.
    pub fn ended(&self, most: usize) -> impl Iterator<Item = (EditId, &End)> {
        self.kept.teams.iter().flat_map(move |(team, of)| {
            let last = of.ended.iter().rev().take(most);
            last.map(|(number, (_, end))| (EditId { team: team.clone(), number: *number }, end))
        })
    }

    /// The edits of this number that have not ended: more than one only where a team used a number twice.
    pub fn called(&self, id: &EditId) -> Vec<Key> {
        self.kept.facts.edits.keys().filter(|key| key.id == *id).cloned().collect()
    }

    /// The table that is agreed, whoever uses it already, with its revision.
    pub fn table(&self) -> &Table {
        &self.kept.base.table
    }

    /// When the table was last published, in Unix milliseconds.
    pub fn published_ms(&self) -> u64 {
        self.kept.published_ms
    }

    /// An edit that undoes one in the log, to be sent like any other. `None` if the log has it no more or it would be too large.
    pub fn undo(&self, edit: &Key, id: EditId, reason: &str) -> Option<Edit> {
        let line = self.kept.log.iter().rev().find(|line| line.edit == *edit && !line.back)?;
        let base = self.kept.base.revision;
        let undo = Edit { id, base, reason: reason.to_string(), changes: line.inverse.clone() };
        undo.check().is_ok().then_some(undo)
    }

    /// The table that a member uses, and whether it is on trial there.
    pub fn table_of(&self, member: &str) -> (&Base, bool) {
        match &self.kept.trial {
            Some(trial) if !in_stage(member, trial.permille) && !left_out(Mutant::ShownBeforeAgreed) => {
                (&trial.before, false)
            }
            trial => (&self.kept.base, trial.is_some()),
        }
    }

    /// The regions that may serve a class and tenant, by the table that all members have; empty if all may.
    pub fn allows(&self, class: &str, tenant: &str) -> BTreeSet<String> {
        let base = self.kept.trial.as_ref().map_or(&self.kept.base, |trial| &trial.before);
        Snapshot::new(base.revision, false, 0, base.table.clone()).allows(class, tenant)
    }

    /// Takes in an entry.
    pub fn take(&mut self, entry: Entry) -> Outcome {
        let (conflicts, shown) = (self.merged.conflicts.clone(), self.shown());
        let outcome = match entry {
            Entry::Edit(edit) => self.edit(edit),
            Entry::Withdraw { by, edit } => self.withdraw(&by, edit),
            Entry::Word { by, edit, yes } => self.word(by, edit, yes),
            Entry::Settle { by, conflict, keep } => self.settle(by, conflict, keep),
            Entry::Publish { permille, now_ms } => self.publish(permille, now_ms),
            Entry::Step { revision, now_ms } => self.step(revision, now_ms),
            Entry::Told { by, trial, revision, counts } => self.told(by, trial, revision, counts),
        };
        if self.shown() != shown || self.merged.conflicts != conflicts {
            self.kept.epoch += 1;
        }
        outcome
    }

    fn shown(&self) -> (u64, bool) {
        (self.kept.base.revision, self.kept.trial.is_some())
    }

    fn edit(&mut self, edit: Edit) -> Outcome {
        if let Err(what) = edit.check() {
            return Outcome::Refused(Refusal::Malformed(what));
        }
        let key = edit.key();
        if let Some(known) = self.state(&key)
            && !(matches!(known, Outcome::Ended(_)) && left_out(Mutant::EndForgotten))
        {
            return known;
        }
        if let Err(refusal) = self.may_come(&edit, &key) {
            return Outcome::Refused(refusal);
        }
        self.kept.teams.entry(key.id.team.clone()).or_default();
        self.kept.facts.edits.insert(key.clone(), edit);
        self.tidy();
        self.state(&key).unwrap_or(Outcome::Refused(Refusal::NoSuchEdit))
    }

    fn may_come(&self, edit: &Edit, key: &Key) -> Result<(), Refusal> {
        if edit.base > self.revision() {
            return Err(Refusal::BaseUnknown(edit.base));
        }
        match self.kept.teams.get(&key.id.team) {
            None if self.kept.teams.len() >= MAX_TEAMS => return Err(Refusal::Full("MAX_TEAMS".into())),
            Some(team) if team.ended.get(&key.id.number).is_some_and(|(digest, _)| *digest != key.digest) => {
                return Err(Refusal::NumberTaken(key.id.clone()));
            }
            Some(team) if key.id.number <= team.floor && !team.ended.contains_key(&key.id.number) => {
                return Err(Refusal::NumberOld(team.floor));
            }
            _ => {}
        }
        if self.kept.trial.as_ref().is_some_and(|trial| trial.edits.iter().any(|other| other.id == key.id)) {
            return Err(Refusal::NumberTaken(key.id.clone()));
        }
        let size = |edit: &Edit| postcard::to_stdvec(edit).map_or(usize::MAX, |bytes| bytes.len());
        let bytes: usize = self.kept.facts.edits.values().map(size).sum();
        if self.kept.facts.edits.len() >= MAX_OPEN {
            return Err(Refusal::Full("MAX_OPEN".into()));
        }
        if bytes + size(edit) > MAX_OPEN_BYTES {
            return Err(Refusal::Full("MAX_OPEN_BYTES".into()));
        }
        self.crowded(edit).map_or(Ok(()), |(thing, field)| Err(Refusal::Crowded(thing, field)))
    }

    /// What the edit writes that enough others write already.
    fn crowded(&self, edit: &Edit) -> Option<(Thing, Option<Field>)> {
        fn writes(change: &Change) -> Vec<(&Thing, Option<Field>)> {
            match change {
                Change::Set { thing, field, .. } => vec![(thing, Some(*field))],
                whole => vec![(whole.thing(), None)],
            }
        }
        let mut others: BTreeMap<(&Thing, Option<Field>), usize> =
            edit.changes.iter().flat_map(writes).map(|write| (write, 0)).collect();
        for change in self.kept.facts.edits.values().flat_map(|other| &other.changes) {
            for write in writes(change) {
                others.entry(write).and_modify(|count| *count += 1);
            }
        }
        let crowded = others.into_iter().find(|(_, count)| *count >= MAX_ON_FIELD);
        crowded.map(|((thing, field), _)| (thing.clone(), field))
    }

    fn withdraw(&mut self, by: &str, edit: Key) -> Outcome {
        if edit.id.team != by {
            return Outcome::Refused(Refusal::NotYours);
        }
        if !self.kept.facts.edits.contains_key(&edit) {
            return self.state(&edit).unwrap_or(Outcome::Refused(Refusal::NoSuchEdit));
        }
        self.kept.facts.withdrawn.insert(edit.clone());
        self.tidy();
        self.state(&edit).unwrap_or(Outcome::Done)
    }

    fn word(&mut self, by: String, edit: Key, yes: bool) -> Outcome {
        let parts = |open: &Edit| {
            let terms = crate::base::Terms::default();
            open.changes.iter().flat_map(|change| self.kept.base.touches(change, &terms)).collect::<Vec<_>>()
        };
        let Some(open) = self.kept.facts.edits.get(&edit) else {
            return self.state(&edit).unwrap_or(Outcome::Refused(Refusal::NoSuchEdit));
        };
        // A team that gets a part only by another open edit may give its word before it has it.
        let promised = self.merged.conflicts.values().any(|of| {
            of.members.contains(&edit)
                && of.why.iter().any(|why| matches!(why, crate::print::Why::Owner(_, team) if *team == by))
        });
        if !promised && !parts(open).iter().any(|part| self.kept.base.table.owner(part) == Some(&by)) {
            return Outcome::Refused(Refusal::NotYours);
        }
        let said = self.kept.facts.words.entry(edit.clone()).or_default().entry(by).or_insert(yes);
        *said &= yes;
        self.tidy();
        self.state(&edit).unwrap_or(Outcome::Done)
    }

    fn settle(&mut self, by: String, id: ConflictId, keep: BTreeSet<Key>) -> Outcome {
        let refused = Outcome::Refused;
        if let Some(before) = self.kept.facts.settled.get_mut(&id) {
            if !left_out(Mutant::SettledTwice) {
                return refused(Refusal::Settled(before.by.clone()));
            }
            before.keep = before.keep.intersection(&keep).cloned().collect();
            self.tidy();
            return Outcome::Done;
        }
        let Some(conflict) = self.merged.conflicts.get(&id) else {
            return refused(Refusal::NoSuchConflict);
        };
        if !conflict.teams.contains(&by) {
            return refused(Refusal::NotYours);
        }
        let all = keep == conflict.members;
        if !keep.is_subset(&conflict.members) || (all && !conflict.may_follow()) {
            return refused(Refusal::NotToKeep);
        }
        if self.kept.facts.settled.len() >= MAX_SETTLED {
            return refused(Refusal::Full("MAX_SETTLED".into()));
        }
        let (members, in_force) = (conflict.members.clone(), conflict.in_force.clone());
        self.kept.facts.settled.insert(id, Settlement { members, keep, by, in_force });
        self.tidy();
        Outcome::Done
    }

    fn publish(&mut self, permille: u32, now_ms: u64) -> Outcome {
        if !(1..=WHOLE).contains(&permille) {
            return Outcome::Refused(Refusal::Share(permille));
        }
        if self.kept.trial.is_some() {
            return Outcome::Refused(Refusal::OnTrial(self.revision()));
        }
        let edits: BTreeSet<Key> = self.merged.taken().cloned().collect();
        if edits.is_empty() {
            return Outcome::Refused(Refusal::NothingNew);
        }
        // The merge has seen to all of this; a table is checked as a whole all the same before anybody uses it.
        let next = match self.merged.next(&self.kept.base, &self.kept.facts) {
            Ok(next) => next,
            Err((key, unfit)) => {
                return Outcome::Refused(Refusal::Invalid(format!("{key}: {}", Reason::Unfit(unfit))));
            }
        };
        if let Some(wrong) = rules::check(&next.table).first() {
            return Outcome::Refused(Refusal::Invalid(wrong.to_string()));
        }
        for key in &edits {
            if let Some(edit) = self.kept.facts.edits.remove(key) {
                let inverse = edit.changes.iter().map(|change| inverse(&self.kept.base, change)).collect();
                let (revision, edit, reason) = (next.revision, key.clone(), edit.reason);
                self.kept.log.push_back(Line { revision, edit, reason, inverse, back: false });
            }
        }
        while self.kept.log.len() > MAX_LOG {
            self.kept.log.pop_front();
        }
        let before = std::mem::replace(&mut self.kept.base, next);
        self.kept.published_ms = now_ms;
        let revision = self.revision();
        if permille == WHOLE {
            edits.into_iter().for_each(|key| self.end(key, End::Taken(revision)));
        } else {
            self.kept.trial = Some(Trial { permille, before, edits, told: BTreeMap::new() });
        }
        self.tidy();
        Outcome::Published(revision)
    }

    fn told(&mut self, by: Holder, trial: u64, revision: u64, counts: Counts) -> Outcome {
        let present = self.revision();
        let Some(of) = self.kept.trial.as_mut().filter(|_| trial == present) else {
            return Outcome::Refused(Refusal::NotOnTrial);
        };
        // Guards against counts of a table that this start was never shown.
        let uses = if in_stage(&by.member, of.permille) { present } else { of.before.revision };
        if (revision != uses && !left_out(Mutant::AnySideCounts)) || !counts.is_sound() {
            return Outcome::Refused(Refusal::NotCounts);
        }
        let known = of.told.entry(by).or_default();
        if left_out(Mutant::ToldTwice) {
            *known = known.and(&counts);
        } else if counts.requests >= known.requests {
            // Guards against an earlier word that comes late.
            *known = counts;
        }
        Outcome::Done
    }

    fn step(&mut self, revision: u64, now_ms: u64) -> Outcome {
        let Some(of) = self.on_trial().filter(|of| of.revision == revision) else {
            return Outcome::Refused(Refusal::NotOnTrial);
        };
        // Judged here, by what is agreed: whoever proposes it may know less.
        let why = match of.verdict(now_ms) {
            Verdict::Wait => return Outcome::Refused(Refusal::TooEarly),
            Verdict::GoesOn => None,
            Verdict::GoesBack(why) => Some(why),
        };
        let Some(trial) = self.kept.trial.take() else {
            return Outcome::Refused(Refusal::NotOnTrial);
        };
        let on = why.is_none();
        for key in trial.edits {
            let end = match why {
                None => End::Taken(revision),
                Some(why) => {
                    let (without, with) = (of.without, of.with);
                    End::Refused(Reason::TakenBack { revision, why, without, with })
                }
            };
            self.end(key, end);
        }
        if !on {
            // A revision is never used for two tables, so the way back is a new one.
            self.kept.base = Base { revision: revision + 1, ..trial.before };
            self.kept
                .log
                .iter_mut()
                .filter(|line| line.revision == revision)
                .for_each(|line| line.back = true);
        }
        self.tidy();
        Outcome::Published(self.revision())
    }

    fn end(&mut self, key: Key, end: End) {
        let team = self.kept.teams.entry(key.id.team).or_default();
        team.ended.insert(key.id.number, (key.digest, end));
        while team.ended.len() > MAX_ENDED {
            if let Some((number, _)) = team.ended.pop_first() {
                team.floor = team.floor.max(number);
            }
        }
    }

    /// Merges again, and lets go of what has ended.
    fn tidy(&mut self) {
        self.merged = merge(&self.kept.base, &self.kept.facts);
        let mut over = Vec::new();
        self.merged.states.retain(|key, state| {
            let end = match state {
                State::Withdrawn(by) => End::Withdrawn(by.clone()),
                State::Refused(reason) => End::Refused(reason.clone()),
                _ => return true,
            };
            over.push((key.clone(), end));
            false
        });
        // These took no part in the merge, so the rest stands as it is.
        for (key, end) in over {
            self.kept.facts.edits.remove(&key);
            self.end(key, end);
        }
        let facts = &mut self.kept.facts;
        facts.words.retain(|key, _| facts.edits.contains_key(key));
        facts.withdrawn.retain(|key| facts.edits.contains_key(key));
        facts.settled.retain(|_, of| of.members.iter().any(|key| facts.edits.contains_key(key)));
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
        let read = if entry.len() <= MAX_ENTRY { Entry::from_bytes(entry) } else { None };
        let outcome = match read {
            None => Outcome::Refused(Refusal::NotRead),
            // Guards against a start that tells of itself after the fleet took it for lost, and is counted for ever.
            Some(Entry::Told { by, .. }) if !fleet.is_present(&by) => Outcome::Refused(Refusal::Gone),
            Some(entry) => self.take(entry),
        };
        outcome.to_bytes()
    }

    fn members_changed(&mut self, fleet: &Fleet) {
        // Who is among the first goes by names alone; what is judged by, by who is there.
        if let Some(trial) = self.kept.trial.as_mut().filter(|_| !left_out(Mutant::GoneCount)) {
            trial.told.retain(|by, _| fleet.is_present(by));
        }
    }

    fn epoch(&self, _: &Holder) -> u64 {
        self.kept.epoch
    }

    fn view_for(&self, holder: &Holder) -> Vec<u8> {
        let (base, on_trial) = self.table_of(&holder.member);
        let shown = self.merged.conflicts.iter().take(MAX_SHOWN);
        let seen = Seen {
            revision: base.revision,
            on_trial,
            trial: self.kept.trial.as_ref().map(|_| self.kept.base.revision),
            published_ms: self.kept.published_ms,
            table: base.table.clone(),
            conflicts: shown.map(|(id, conflict)| (*id, conflict.clone())).collect(),
        };
        seen.to_bytes()
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.kept).unwrap_or_default()
    }

    fn load(&mut self, bytes: &[u8]) -> bool {
        let Ok((mut kept, [])) = postcard::take_from_bytes::<Kept>(bytes) else { return false };
        kept.base.find();
        if let Some(trial) = &mut kept.trial {
            trial.before.find();
        }
        let merged = merge(&kept.base, &kept.facts);
        *self = Routes { kept, merged };
        true
    }

    fn as_any(&self) -> &dyn Any {
        self
    }
}
