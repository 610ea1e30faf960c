//! Compares the merge with brute force: random small tables and edits, with every order of every set of
//! edits tried.
//!
//! Brute force does not use what an edit reads and writes, nor the search for sums, cycles and overlaps: it
//! applies edits one after the other and checks whole tables.

use crate::base::{Base, EditContext};
use crate::edit::{Change, Edit, EditId, EditKey};
use crate::merge::{EditState, MergeInput, MergeResult, merge};
use crate::rules;
use crate::table::{Field, Fields, Kind, Table, Thing, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A seeded random number generator (splitmix64).
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(seed)
    }

    /// Returns a number below `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % end.max(1)
    }

    fn pick<'a>(&mut self, of: &[&'a str]) -> &'a str {
        of[self.below(of.len() as u64) as usize]
    }
}

const KINDS: [Kind; 5] = [Kind::Region, Kind::Dependency, Kind::Class, Kind::Tenant, Kind::Route];
const TEAMS: [&str; 3] = ["ares", "brio", "casa"];

fn name(rng: &mut SeededRng, kind: Kind) -> &'static str {
    match kind {
        Kind::Region => rng.pick(&["norte", "sur"]),
        Kind::Dependency => rng.pick(&["padron", "firma", "archivo", "correo"]),
        Kind::Class => rng.pick(&["alta", "baja"]),
        Kind::Tenant => rng.pick(&["uno", "dos"]),
        Kind::Route => rng.pick(&["r1", "r2", "r3", "r4"]),
    }
}

fn value(rng: &mut SeededRng, kind: Kind, field: Field) -> Value {
    let may_be_omitted = field != Field::Owner && !field.is_required_for(kind) && !field.is_immutable();
    if may_be_omitted && rng.below(6) == 0 {
        return Value::Nothing;
    }
    match field {
        Field::Owner => Value::Name(rng.pick(&TEAMS).into()),
        Field::Budget => Value::Number(4 + rng.below(8) as u32),
        Field::Share => Value::Number(100 * rng.below(6) as u32),
        Field::Limit => Value::Number(rng.below(3) as u32),
        Field::Order => Value::Number(rng.below(4) as u32),
        Field::Place => Value::Number(1 + rng.below(2) as u32),
        Field::Fallback => Value::Name(name(rng, Kind::Dependency).into()),
        Field::Class => Value::Name(name(rng, Kind::Class).into()),
        Field::Tenant => Value::Name(name(rng, Kind::Tenant).into()),
        Field::Regions => Value::Names((0..2).map(|_| name(rng, Kind::Region).to_string()).collect()),
        Field::Call => Value::Call { to: name(rng, Kind::Dependency).into(), calls: rng.below(6) as u32 },
    }
}

fn fields_of(kind: Kind) -> &'static [Field] {
    match kind {
        Kind::Region => &[Field::Owner],
        Kind::Dependency => &[Field::Budget, Field::Owner, Field::Share, Field::Fallback],
        Kind::Class => &[Field::Owner, Field::Limit],
        Kind::Tenant => &[Field::Owner, Field::Share, Field::Regions],
        Kind::Route => &[
            Field::Call,
            Field::Class,
            Field::Tenant,
            Field::Place,
            Field::Order,
            Field::Regions,
            Field::Owner,
        ],
    }
}

fn fields(rng: &mut SeededRng, kind: Kind) -> Fields {
    let mut fields = Fields::new();
    for field in fields_of(kind) {
        if field.is_required_for(kind) || rng.below(2) == 0 {
            let value = value(rng, kind, *field);
            if value != Value::Nothing && (*field != Field::Owner || rng.below(3) == 0) {
                fields.insert(*field, value);
            }
        }
    }
    fields
}

/// Generates a small valid table.
pub fn random_table(rng: &mut SeededRng) -> Table {
    let mut table = Table::default();
    for kind in KINDS {
        for _ in 0..4 {
            let mut next = table.clone();
            let thing = Thing::new(kind, name(rng, kind));
            next.things.entry(thing).or_insert_with(|| fields(rng, kind));
            if rules::check(&next).is_empty() {
                table = next;
            }
        }
    }
    table
}

fn random_change(rng: &mut SeededRng, table: &Table) -> Change {
    let kind = KINDS[[1, 1, 1, 2, 3, 3, 4, 4, 4, 4, 0][rng.below(11) as usize]];
    let there: Vec<&Thing> = table.of_kind(kind).map(|(thing, _)| thing).collect();
    let known = |rng: &mut SeededRng| match there.is_empty() {
        true => Thing::new(kind, name(rng, kind)),
        false => there[rng.below(there.len() as u64) as usize].clone(),
    };
    match rng.below(12) {
        0 | 1 => {
            let thing = Thing::new(kind, name(rng, kind));
            Change::Add { thing, fields: fields(rng, kind) }
        }
        2 => Change::Remove { thing: known(rng) },
        3 => Change::Rename { thing: known(rng), to: format!("{}x", name(rng, kind)) },
        _ => {
            let thing = known(rng);
            let of: Vec<&Field> = fields_of(kind).iter().filter(|field| !field.is_immutable()).collect();
            let field = *of[rng.below(of.len() as u64) as usize];
            Change::Set { thing, field, value: value(rng, kind, field) }
        }
    }
}

/// Generates a well-formed edit.
pub fn random_edit(rng: &mut SeededRng, base: &Base, number: u64) -> Edit {
    loop {
        let count = 1 + rng.below(3) * rng.below(2);
        let edit = Edit {
            id: EditId { team: rng.pick(&TEAMS).into(), number },
            base: base.revision,
            reason: "a try".into(),
            changes: (0..count).map(|_| random_change(rng, &base.table)).collect(),
        };
        if edit.check().is_ok() {
            return edit;
        }
    }
}

/// Generates a table whose things refer to each other, with little room below the limits.
fn tight_table(rng: &mut SeededRng) -> Table {
    let mut table = Table::default();
    for name in ["norte", "sur"] {
        table.things.insert(Thing::new(Kind::Region, name), Fields::new());
    }
    for name in ["padron", "firma", "archivo", "correo"] {
        let budget = Value::Number(10 + rng.below(4) as u32);
        let share = Value::Number(100 + 50 * rng.below(3) as u32);
        let fields = [(Field::Budget, budget), (Field::Share, share)];
        table.things.insert(Thing::new(Kind::Dependency, name), fields.into());
    }
    for name in ["uno", "dos"] {
        table.things.insert(Thing::new(Kind::Tenant, name), Fields::new());
    }
    for (at, name) in ["r1", "r2", "r3", "r4"].into_iter().enumerate() {
        let call = Value::Call { to: rng.pick(&["padron", "firma"]).into(), calls: 1 + rng.below(2) as u32 };
        let fields = [(Field::Call, call), (Field::Order, Value::Number(10 + at as u32))];
        table.things.insert(Thing::new(Kind::Route, name), fields.into());
    }
    table
}

/// Generates an edit of one group of fields, so that several edits are likely to conflict.
fn related_edit(rng: &mut SeededRng, base: &Base, number: u64, group: u64) -> Edit {
    let mut edit = Edit {
        id: EditId { team: rng.pick(&TEAMS).into(), number },
        base: base.revision,
        reason: "a try".into(),
        changes: Vec::new(),
    };
    for _ in 0..1 + rng.below(2) * rng.below(2) {
        let (kind, field, value) = match group {
            0 => {
                let to = rng.pick(&["padron", "padron", "firma"]).into();
                (Kind::Route, Field::Call, Value::Call { to, calls: 2 + rng.below(4) as u32 })
            }
            1 => (Kind::Dependency, Field::Share, Value::Number(200 + 50 * rng.below(6) as u32)),
            2 => {
                let to = name(rng, Kind::Dependency).to_string();
                (Kind::Dependency, Field::Fallback, Value::Name(to))
            }
            _ if rng.below(2) == 0 => (Kind::Route, Field::Order, Value::Number(10 + rng.below(5) as u32)),
            _ if rng.below(2) == 0 => {
                (Kind::Tenant, Field::Regions, value(rng, Kind::Tenant, Field::Regions))
            }
            _ => (Kind::Route, Field::Regions, value(rng, Kind::Route, Field::Regions)),
        };
        let fixed = Change::Set { thing: Thing::new(kind, name(rng, kind)), field, value };
        let change = if rng.below(12) == 0 { random_change(rng, &base.table) } else { fixed };
        edit.changes.push(change);
    }
    if edit.check().is_err() {
        edit.changes.truncate(1);
    }
    edit
}

/// Generates a table and edits of it. Most edits can be accepted by themselves; in half of the cases the
/// edits are related.
pub fn random_case(seed: u64) -> (Base, MergeInput) {
    let mut rng = SeededRng::new(seed);
    let group = rng.below(8);
    let related = group < 4;
    let base = Base::new(if related { tight_table(&mut rng) } else { random_table(&mut rng) });
    let count = 2 + rng.below(4);
    let mut input = MergeInput::default();
    for number in 1..=count {
        for _ in 0..8 {
            let edit = match related {
                true => related_edit(&mut rng, &base, number, group),
                false => random_edit(&mut rng, &base, number),
            };
            if edit.check().is_err() {
                continue;
            }
            if rng.below(12) == 0 || fits(&base, &edit, &EditContext::default()).is_some() {
                input.edits.insert(edit.key(), edit);
                break;
            }
        }
    }
    (base, input)
}

/// Returns the table with this edit, if valid.
fn fits(base: &Base, edit: &Edit, terms: &EditContext) -> Option<Base> {
    let mut next = base.clone();
    next.apply(edit, terms, base.revision + 1).ok()?;
    rules::check(&next.table).is_empty().then_some(next)
}

/// Finds by brute force the edits that cannot be accepted by themselves, and the minimal sets that cannot
/// be accepted together.
pub fn brute_force(base: &Base, input: &MergeInput) -> (BTreeSet<EditKey>, BTreeSet<BTreeSet<EditKey>>) {
    let edits: Vec<(&EditKey, &Edit)> = input.edits.iter().collect();
    let terms = EditContext { base: base.revision, ..EditContext::default() };
    // For each set of edits, the one table that all orders lead to through valid tables; `None` if there is
    // none.
    let mut tables: Vec<Option<Base>> = vec![Some(base.clone())];
    let (mut alone, mut sets) = (BTreeSet::new(), BTreeSet::new());
    for set in 1..1usize << edits.len() {
        let members: Vec<usize> = (0..edits.len()).filter(|at| set & (1 << at) != 0).collect();
        let within: Vec<&Option<Base>> = members.iter().map(|at| &tables[set & !(1 << at)]).collect();
        if within.iter().any(|table| table.is_none()) {
            tables.push(None);
            continue;
        }
        let mut ends: Option<Option<Base>> = None;
        for (at, before) in members.iter().zip(within) {
            let next = before.as_ref().and_then(|before| {
                let mut next = before.clone();
                next.apply(edits[*at].1, &terms, base.revision + 1).ok()?;
                rules::check(&next.table).is_empty().then_some(next)
            });
            ends = Some(match ends {
                None => next,
                Some(Some(other)) => next.filter(|next| next.table == other.table),
                Some(None) => None,
            });
        }
        let end = ends.flatten();
        if end.is_none() {
            let keys: BTreeSet<EditKey> = members.iter().map(|at| edits[*at].0.clone()).collect();
            match keys.len() {
                1 => alone.extend(keys),
                _ => {
                    sets.insert(keys);
                }
            }
        }
        tables.push(end);
    }
    (alone, sets)
}

/// The result of a soak test.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Soaked {
    /// Number of cases.
    pub cases: usize,
    /// Number of edits.
    pub edits: usize,
    /// Conflicts that both found, by number of edits.
    pub conflicts: BTreeMap<usize, usize>,
    /// Conflicts that only the merge found.
    pub false_ones: usize,
    /// Conflicts that only brute force found.
    pub missed: usize,
    /// The first difference, with its seed.
    pub first: Option<String>,
}

/// Checks the case of a seed; returns what is wrong, if anything.
pub fn check_seed(seed: u64, soaked: &mut Soaked) -> Option<String> {
    let (base, input) = random_case(seed);
    let merged = merge(&base, &input);
    let (alone, sets) = brute_force(&base, &input);
    let reported: BTreeSet<BTreeSet<EditKey>> =
        merged.conflicts.values().map(|conflict| conflict.members.clone()).collect();
    soaked.cases += 1;
    soaked.edits += input.edits.len();
    soaked.false_ones += reported.difference(&sets).count();
    soaked.missed += sets.difference(&reported).count();
    for set in sets.intersection(&reported) {
        *soaked.conflicts.entry(set.len()).or_insert(0) += 1;
    }
    if reported != sets {
        return Some(format!("the merge reports {reported:?}, brute force {sets:?}"));
    }
    let refused: BTreeSet<EditKey> =
        input.edits.keys().filter(|key| is_alone(&merged, key)).cloned().collect();
    if refused != alone {
        return Some(format!("the merge refuses {refused:?}, brute force {alone:?}"));
    }
    match merged.next_base(&base, &input) {
        Err(e) => Some(format!("accepted but not applicable: {e:?}")),
        Ok(next) => {
            rules::check(&next.table).first().map(|wrong| format!("the next table is invalid: {wrong}"))
        }
    }
}

fn is_alone(merged: &MergeResult, key: &EditKey) -> bool {
    matches!(merged.states.get(key), Some(EditState::Refused(_) | EditState::AwaitsConsent(_)))
}

/// Checks cases with consecutive seeds.
pub fn check_seeds(seed: u64, cases: usize) -> Soaked {
    let mut soaked = Soaked::default();
    for seed in (seed..).take(cases) {
        if let Some(wrong) = check_seed(seed, &mut soaked)
            && soaked.first.is_none()
        {
            soaked.first = Some(format!("seed {seed}: {wrong}"));
        }
    }
    soaked
}
