//! The merge: computes the state of each edit from the table and the set of all submissions. The result
//! does not depend on the order or repetition of submissions, nor on the process that merges.

use crate::access::{AccessSet, ConflictReason};
use crate::base::{ApplyError, Base, EditContext};
use crate::edit::{Change, Edit, EditKey};
use crate::mutants::{Mutant, is_active};
use crate::rules::TableFault;
use crate::search::{Candidate, find_invalid_sets};
use crate::table::{Field, Thing};
use crate::trial::{self, Counts};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher;

/// Maximum number of reported conflicts. Edits in further conflicts are not accepted either; these are
/// reported as others get settled.
pub const MAX_CONFLICTS: usize = 256;

/// The id of a conflict: a hash of the keys of its edits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConflictId(pub u64);

impl fmt::Display for ConflictId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl ConflictId {
    /// Returns the id of the conflict between these edits.
    pub fn of(members: &BTreeSet<EditKey>) -> ConflictId {
        let mut hash = SipHasher24::new();
        hash.write(&postcard::to_stdvec(members).unwrap_or_default());
        ConflictId(hash.finish128().h1)
    }
}

/// A minimal set of edits that cannot be accepted together. Its text gives the reasons with their figures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The edits in conflict.
    pub members: BTreeSet<EditKey>,
    /// Those of them that are part of the table already.
    pub in_force: BTreeSet<EditKey>,
    /// Why they conflict.
    pub reasons: BTreeSet<ConflictReason>,
    /// The teams that may settle it: those of the edits, and the owners of the things they affect.
    pub teams: BTreeSet<String>,
}

impl Conflict {
    /// Whether all edits may be kept: one of them then follows the other's rename.
    pub fn can_keep_all(&self) -> bool {
        self.members.len() == 2 && self.reasons.iter().all(|why| matches!(why, ConflictReason::Renamed(..)))
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list =
            |keys: &BTreeSet<EditKey>| keys.iter().map(EditKey::to_string).collect::<Vec<_>>().join(", ");
        write!(f, "{} cannot be taken together: ", list(&self.members))?;
        let why: Vec<String> = self.reasons.iter().map(ConflictReason::to_string).collect();
        f.write_str(&why.join("; "))?;
        if !self.in_force.is_empty() {
            write!(f, "; {} is in force", list(&self.in_force))?;
        }
        Ok(())
    }
}

/// The settlement of a conflict.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Settlement {
    /// The edits in conflict.
    pub members: BTreeSet<EditKey>,
    /// The edits that are kept; the others are withdrawn.
    pub keep: BTreeSet<EditKey>,
    /// The team that settled it.
    pub by: String,
    /// Those that were part of the table. A kept edit overrides those of them that are not kept.
    pub in_force: BTreeSet<EditKey>,
}

/// Everything submitted that has not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergeInput {
    /// The open edits.
    pub edits: BTreeMap<EditKey, Edit>,
    /// Consents by edit and team. A denial prevails over consent.
    pub consents: BTreeMap<EditKey, BTreeMap<String, bool>>,
    /// Edits that their teams withdrew.
    pub withdrawn: BTreeSet<EditKey>,
    /// Settled conflicts.
    pub settled: BTreeMap<ConflictId, Settlement>,
}

impl MergeInput {
    /// Returns the union of two sets of submissions.
    #[must_use]
    pub fn union(mut self, other: &MergeInput) -> MergeInput {
        self.edits.extend(other.edits.iter().map(|(key, edit)| (key.clone(), edit.clone())));
        for (key, consents) in &other.consents {
            let own = self.consents.entry(key.clone()).or_default();
            for (team, granted) in consents {
                own.entry(team.clone()).and_modify(|consent| *consent &= granted).or_insert(*granted);
            }
        }
        self.withdrawn.extend(other.withdrawn.iter().cloned());
        for (id, settlement) in &other.settled {
            // In the log the first settlement prevails. Between two sides of a partition any rule will do
            // that gives the same result on both.
            let own = self.settled.entry(*id).or_insert_with(|| settlement.clone());
            if settlement < own {
                *own = settlement.clone();
            }
        }
        self
    }

    /// Indexes the settlements by edit.
    fn index(&self) -> InputIndex<'_> {
        let mut settled: BTreeMap<&EditKey, Vec<&Settlement>> = BTreeMap::new();
        for settlement in self.settled.values() {
            for key in &settlement.members {
                settled.entry(key).or_default().push(settlement);
            }
        }
        InputIndex { input: self, settled }
    }
}

struct InputIndex<'a> {
    input: &'a MergeInput,
    settled: BTreeMap<&'a EditKey, Vec<&'a Settlement>>,
}

impl InputIndex<'_> {
    fn context(&self, key: &EditKey, edit: &Edit) -> EditContext {
        let all_consents = self.input.consents.get(key).into_iter().flatten();
        let consents = all_consents.filter(|(_, granted)| **granted).map(|(team, _)| team.clone()).collect();
        let mut context = EditContext { consents, base: edit.base, ..EditContext::default() };
        for settlement in
            self.settled.get(key).into_iter().flatten().filter(|settlement| settlement.keep.contains(key))
        {
            if settlement.keep == settlement.members {
                context.follows.extend(settlement.members.iter().filter(|other| *other != key).cloned());
            } else {
                context.overrides.extend(settlement.in_force.difference(&settlement.keep).cloned());
            }
        }
        context
    }

    /// Returns the team that withdrew an edit.
    fn withdrawn_by(&self, key: &EditKey) -> Option<String> {
        if self.input.withdrawn.contains(key) {
            return Some(key.id.team.clone());
        }
        let discards = |settlement: &&&Settlement| !settlement.keep.contains(key);
        self.settled.get(key)?.iter().find(discards).map(|settlement| settlement.by.clone())
    }
}

/// Why an edit is refused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It cannot be applied.
    NotApplicable(ApplyError),
    /// It refers to a thing that does not exist.
    DanglingReference(Thing),
    /// It removes or renames a thing that another one still refers to.
    StillReferenced(Thing, Thing),
    /// It makes the table invalid by itself.
    InvalidTable(TableFault),
    /// The owner of a thing it affects denied consent.
    Denied(String),
    /// Its revision was rolled back after a trial.
    RolledBack {
        /// The revision.
        revision: u64,
        /// Why it was rolled back.
        why: trial::RollbackReason,
        /// Counts of the nodos without the revision.
        without: Counts,
        /// Counts of the nodos with it.
        with: Counts,
    },
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefusalReason::NotApplicable(ApplyError::NotThere(thing)) => write!(f, "there is no {thing}"),
            RefusalReason::NotApplicable(ApplyError::Exists(thing)) => {
                write!(f, "{thing} exists already")
            }
            RefusalReason::NotApplicable(ApplyError::Rights(thing, team)) => {
                write!(f, "{thing} belongs to {team}")
            }
            RefusalReason::DanglingReference(thing) => {
                write!(f, "it refers to {thing}, which does not exist")
            }
            RefusalReason::StillReferenced(thing, by) => {
                write!(f, "it removes {thing}, which {by} refers to")
            }
            RefusalReason::InvalidTable(wrong) => write!(f, "{wrong}"),
            RefusalReason::Denied(team) => {
                write!(f, "{team} owns a thing that it affects and denied consent")
            }
            RefusalReason::RolledBack { revision, why, without, with } => {
                write!(f, "revision {revision} was taken back: {why} ({with}; without it {without})")
            }
        }
    }
}

/// The state of an open edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EditState {
    /// Accepted as part of the next table. Operators see this as `taken`.
    Accepted,
    /// In these conflicts; empty if none of them is reported.
    InConflict(BTreeSet<ConflictId>),
    /// Waits for the consent of these teams.
    AwaitsConsent(BTreeSet<String>),
    /// Withdrawn by this team, or discarded by its settlement of a conflict.
    Withdrawn(String),
    /// Cannot be accepted.
    Refused(RefusalReason),
}

impl fmt::Display for EditState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditState::Accepted => f.write_str("taken, part of the next table"),
            EditState::InConflict(ids) if ids.is_empty() => {
                f.write_str("in a conflict that is reported once others are settled")
            }
            EditState::InConflict(ids) => {
                let ids: Vec<String> = ids.iter().map(ConflictId::to_string).collect();
                write!(f, "in conflict {}", ids.join(", "))
            }
            EditState::AwaitsConsent(teams) => {
                let teams: Vec<&str> = teams.iter().map(String::as_str).collect();
                write!(f, "waits for the consent of {}", teams.join(", "))
            }
            EditState::Withdrawn(by) => write!(f, "withdrawn by {by}"),
            EditState::Refused(why) => write!(f, "refused: {why}"),
        }
    }
}

/// The result of a merge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// The state of each edit.
    pub states: BTreeMap<EditKey, EditState>,
    /// The reported conflicts.
    pub conflicts: BTreeMap<ConflictId, Conflict>,
}

/// Merges the submissions into the table.
pub fn merge(base: &Base, input: &MergeInput) -> MergeResult {
    let mut merged = MergeResult::default();
    let (mut keys, mut accesses, mut base_conflicts) = (Vec::new(), Vec::new(), Vec::new());
    let index = input.index();
    for (key, edit) in &input.edits {
        if let Some(team) = index.withdrawn_by(key) {
            merged.states.insert(key.clone(), EditState::Withdrawn(team));
            continue;
        }
        let access = AccessSet::new(base, edit, index.context(key, edit));
        let with_base = access.conflicts_with_base(base);
        let state_alone =
            if with_base.is_empty() { check_alone(base, input, key, edit, &access) } else { None };
        if let Some(state) = state_alone {
            merged.states.insert(key.clone(), state);
            continue;
        }
        base_conflicts.push(with_base);
        keys.push(key);
        accesses.push(access);
    }
    let mut conflicts = conflicting_pairs(&keys, &accesses);
    let pairs: BTreeSet<(usize, usize)> = conflicts.iter().map(|(set, _)| first_and_last(set)).collect();
    // Edits in conflict with the base cannot be applied, so that they take no part in checks of the whole
    // table.
    let applicable: Vec<usize> = (0..keys.len()).filter(|i| base_conflicts[*i].is_empty()).collect();
    let candidates: Vec<Candidate<'_>> =
        applicable.iter().map(|i| Candidate { key: keys[*i], access: &accesses[*i] }).collect();
    let in_conflict = |one: usize, other: usize| {
        let (one, other) = (applicable[one], applicable[other]);
        pairs.contains(&(one.min(other), one.max(other)))
    };
    for (set, reason) in find_invalid_sets(base, &candidates, &in_conflict) {
        conflicts.push((set.into_iter().map(|i| applicable[i]).collect(), reason));
    }
    merged.add_conflicts(base, input, &keys, &accesses, minimal_sets(conflicts), base_conflicts);
    for key in keys {
        merged.states.entry(key.clone()).or_insert(EditState::Accepted);
    }
    merged
}

fn first_and_last(set: &BTreeSet<usize>) -> (usize, usize) {
    (set.first().copied().unwrap_or(0), set.last().copied().unwrap_or(0))
}

/// Checks an edit by itself. Returns `None` if it could be accepted.
fn check_alone(
    base: &Base,
    input: &MergeInput,
    key: &EditKey,
    edit: &Edit,
    access: &AccessSet,
) -> Option<EditState> {
    let exists = |thing: &Thing| base.table.things.contains_key(thing);
    let refused = |reason| Some(EditState::Refused(reason));
    for change in &edit.changes {
        let thing = base.resolve_name(change.thing(), &access.context);
        let retired = base.retired_since(&thing, access.context.base).map(|retired| retired.to.as_ref());
        let missing = match change {
            Change::Add { .. } => None,
            Change::Set { .. } => (!exists(&thing)).then(|| thing.clone()),
            Change::Remove { .. } => (!exists(&thing) && retired != Some(None)).then(|| thing.clone()),
            Change::Rename { to, .. } => {
                (!exists(&thing) && retired != Some(Some(to))).then(|| thing.clone())
            }
        };
        if let Some(thing) = missing {
            return refused(RefusalReason::NotApplicable(ApplyError::NotThere(thing)));
        }
    }
    let claimed: BTreeSet<Thing> = access.claimed_names().collect();
    // A thing that another edit has added or renamed in the same way since the base does not block this
    // one.
    let existed =
        |name: &&Thing| exists(name) && base.written_since(name, None, access.context.base).is_none();
    if let Some(name) = claimed.iter().find(existed) {
        return refused(RefusalReason::NotApplicable(ApplyError::Exists(name.clone())));
    }
    let disappears = |thing: &Thing| access.removes.contains(thing) || access.renames.contains_key(thing);
    if let Some(name) =
        access.references.iter().find(|name| !claimed.contains(name) && (!exists(name) || disappears(name)))
    {
        return refused(RefusalReason::DanglingReference(name.clone()));
    }
    for thing in &access.removes {
        for (by, field) in base.referenced_by.get(thing).into_iter().flatten() {
            if !access.removes.contains(by) && !access.sets.contains_key(&(by.clone(), *field)) {
                return refused(RefusalReason::StillReferenced(thing.clone(), by.clone()));
            }
        }
    }
    let needed = base.missing_consents(edit, &access.context);
    let denied =
        |team: &&String| input.consents.get(key).is_some_and(|answers| answers.get(*team) == Some(&false));
    if let Some(team) = needed.keys().find(denied) {
        return refused(RefusalReason::Denied(team.clone()));
    }
    (!needed.is_empty()).then(|| EditState::AwaitsConsent(needed.into_keys().collect()))
}

/// Returns the pairs of edits that do not commute. Only edits with a thing in common are compared.
fn conflicting_pairs(keys: &[&EditKey], accesses: &[AccessSet]) -> Vec<(BTreeSet<usize>, ConflictReason)> {
    let mut edits_of: BTreeMap<Thing, BTreeSet<usize>> = BTreeMap::new();
    let mut pairs: BTreeSet<(usize, usize)> = BTreeSet::new();
    for (i, access) in accesses.iter().enumerate() {
        let sets = access.sets.keys().map(|(thing, _)| thing.clone());
        let whole = access
            .claimed_names()
            .chain(access.removes.iter().cloned())
            .chain(access.renames.keys().cloned());
        for thing in whole.chain(sets).chain(access.references.iter().cloned()) {
            edits_of.entry(thing).or_default().insert(i);
        }
        // Two edits that merely affect the same thing conflict only if one of them changes its owner.
        for (thing, field) in access.sets.keys() {
            if *field == Field::Owner {
                let affecting =
                    (0..accesses.len()).filter(|other| accesses[*other].affected.contains_key(thing));
                pairs.extend(affecting.filter(|other| *other != i).map(|other| (i.min(other), i.max(other))));
            }
        }
        if i > 0 && keys[i - 1].id == keys[i].id {
            let first = (0..i).find(|other| keys[*other].id == keys[i].id).unwrap_or(i);
            pairs.extend((first..i).map(|other| (other, i)));
        }
    }
    for among in edits_of.values() {
        let all: Vec<usize> = among.iter().copied().collect();
        for (i, one) in all.iter().enumerate() {
            pairs.extend(all[i + 1..].iter().map(|other| (*one, *other)));
        }
    }
    let mut conflicts = Vec::new();
    for (one, other) in pairs {
        for reason in accesses[one].conflicts_with(keys[one], &accesses[other], keys[other]) {
            conflicts.push((BTreeSet::from([one, other]), reason));
        }
    }
    conflicts
}

/// Returns the sets without a smaller one inside, each with all its reasons.
fn minimal_sets(
    conflicts: Vec<(BTreeSet<usize>, ConflictReason)>,
) -> Vec<(BTreeSet<usize>, BTreeSet<ConflictReason>)> {
    let mut by_set: BTreeMap<(usize, BTreeSet<usize>), BTreeSet<ConflictReason>> = BTreeMap::new();
    for (set, reason) in conflicts {
        by_set.entry((set.len(), set)).or_default().insert(reason);
    }
    let mut minimal: Vec<(BTreeSet<usize>, BTreeSet<ConflictReason>)> = Vec::new();
    let mut by_first: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for ((_, set), reason) in by_set {
        let is_contained = |i: &usize| minimal[*i].0.is_subset(&set);
        // Where the search was cut short, a smaller set says nothing about the other edits in this one.
        let is_cut_short = reason.iter().any(|reason| matches!(reason, ConflictReason::TooManySets(_)));
        if is_cut_short
            || !set.iter().any(|one| by_first.get(one).is_some_and(|sets| sets.iter().any(is_contained)))
        {
            // Indexed by one edit of the set: every superset contains it.
            if let Some(one) = set.first() {
                by_first.entry(*one).or_default().push(minimal.len());
            }
            minimal.push((set, reason));
        }
    }
    minimal
}

impl MergeResult {
    fn add_conflicts(
        &mut self,
        base: &Base,
        input: &MergeInput,
        keys: &[&EditKey],
        accesses: &[AccessSet],
        sets: Vec<(BTreeSet<usize>, BTreeSet<ConflictReason>)>,
        base_conflicts: Vec<Vec<(EditKey, ConflictReason)>>,
    ) {
        let teams = |i: usize| {
            let owners = accesses[i].affected.keys().filter_map(|thing| base.table.owner(thing));
            owners.map(str::to_string).chain([keys[i].id.team.clone()]).collect::<BTreeSet<String>>()
        };
        let mut conflicts: BTreeMap<BTreeSet<EditKey>, Conflict> = BTreeMap::new();
        for (set, reason) in sets {
            if set.len() == 1 {
                for (i, reason) in set.iter().zip(reason) {
                    if let ConflictReason::InvalidTable(fault, _) = reason {
                        self.states
                            .insert(keys[*i].clone(), EditState::Refused(RefusalReason::InvalidTable(fault)));
                    }
                }
                continue;
            }
            let members: BTreeSet<EditKey> = set.iter().map(|i| keys[*i].clone()).collect();
            let teams = set.iter().flat_map(|i| teams(*i)).collect();
            conflicts.insert(
                members.clone(),
                Conflict { members, in_force: BTreeSet::new(), reasons: reason, teams },
            );
        }
        for (i, reasons) in base_conflicts.into_iter().enumerate() {
            for (by, reason) in reasons {
                let members = BTreeSet::from([keys[i].clone(), by.clone()]);
                let conflict = conflicts.entry(members.clone()).or_insert_with(|| Conflict {
                    members,
                    in_force: BTreeSet::from([by.clone()]),
                    reasons: BTreeSet::new(),
                    teams: teams(i).into_iter().chain([by.id.team.clone()]).collect(),
                });
                conflict.reasons.insert(reason);
            }
        }
        for (position, (members, conflict)) in conflicts.into_iter().enumerate() {
            let id = if is_active(Mutant::NumberedByPlace) {
                ConflictId(position as u64 + 1)
            } else {
                ConflictId::of(&members)
            };
            let is_reported = self.conflicts.len() < MAX_CONFLICTS;
            for key in members.iter().filter(|key| input.edits.contains_key(key)) {
                let state =
                    self.states.entry(key.clone()).or_insert_with(|| EditState::InConflict(BTreeSet::new()));
                if let (EditState::InConflict(ids), true) = (state, is_reported) {
                    ids.insert(id);
                }
            }
            if is_reported {
                self.conflicts.insert(id, conflict);
            }
        }
    }

    /// Returns the edits that are part of the next table.
    pub fn accepted(&self) -> impl Iterator<Item = &EditKey> {
        self.states.iter().filter(|(_, state)| **state == EditState::Accepted).map(|(key, _)| key)
    }

    /// Computes the next table: the present one with all accepted edits.
    ///
    /// # Errors
    /// Returns the edit that could not be applied, which would be a defect of the merge.
    pub fn next_base(&self, base: &Base, input: &MergeInput) -> Result<Base, (EditKey, ApplyError)> {
        let (mut next, index) = (base.clone(), input.index());
        for key in self.accepted() {
            if let Some(edit) = input.edits.get(key) {
                next.apply(edit, &index.context(key, edit), base.revision + 1)
                    .map_err(|e| (key.clone(), e))?;
            }
        }
        next.revision += 1;
        next.trim_retired();
        next.rebuild_indexes();
        Ok(next)
    }
}
