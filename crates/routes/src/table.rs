//! The table: things with fields. What is asked of it is in [`crate::snapshot`], what makes it valid in [`crate::rules`].

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Bytes of a name: it stands in lines of operators and in headers as it is.
pub const MAX_NAME_BYTES: usize = 64;
/// Names that one field may hold: as many regions as anybody has.
pub const MAX_NAMES_PER_FIELD: usize = 64;
/// Bytes of a table, each name counted as if it were as long as a name can be, so that a rename changes nothing.
pub const MAX_TABLE_BYTES: u32 = 1024 * 1024;
/// All of a share, in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// What a thing is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A place where nodos stand.
    Region,
    /// What lies below the nodos.
    Dependency,
    /// A class of requests.
    Class,
    /// Whose requests they are.
    Tenant,
    /// Where the calls of a class and tenant go.
    Route,
}

const KINDS: [(Kind, &str); 5] = [
    (Kind::Region, "region"),
    (Kind::Dependency, "dependency"),
    (Kind::Class, "class"),
    (Kind::Tenant, "tenant"),
    (Kind::Route, "route"),
];

/// A thing in the table, written `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Thing {
    /// What it is.
    pub kind: Kind,
    /// What it is called.
    pub name: String,
}

impl Thing {
    /// A thing of this kind and name.
    pub fn new(kind: Kind, name: &str) -> Thing {
        Thing { kind, name: name.to_string() }
    }

    /// Another one of the same kind.
    pub fn named(&self, name: &str) -> Thing {
        Thing::new(self.kind, name)
    }
}

impl fmt::Display for Thing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = KINDS.iter().find(|(kind, _)| *kind == self.kind).map_or("", |(_, word)| word);
        write!(f, "{kind}/{}", self.name)
    }
}

impl From<Thing> for String {
    fn from(thing: Thing) -> String {
        thing.to_string()
    }
}

impl TryFrom<String> for Thing {
    type Error = String;

    fn try_from(text: String) -> Result<Thing, String> {
        let known = text.split_once('/').and_then(|(word, name)| {
            KINDS.iter().find(|(_, of)| *of == word).map(|(kind, _)| Thing::new(*kind, name))
        });
        known.ok_or_else(|| {
            format!("{text:?} is no region/, dependency/, class/, tenant/ or route/ with a name")
        })
    }
}

/// A field of a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Field {
    /// The team that it belongs to.
    Owner,
    /// Calls at once that a dependency bears, over all routes into it.
    Budget,
    /// Thousandths of the nodos' places that a dependency or a tenant may take.
    Share,
    /// The dependency that stands in.
    Fallback,
    /// Requests of a class at once.
    Limit,
    /// Where requests may be served; all regions if it is left out.
    Regions,
    /// The class that a route is for; any if it is left out. Fixed when the route is added.
    Class,
    /// The tenant that a route is for; any if it is left out. Fixed when the route is added.
    Tenant,
    /// The call of a run that a route is for, from 1; any if it is left out. Fixed when the route is added.
    Place,
    /// Where the calls of a route go, and how many of its budget they may take.
    Call,
    /// Which of two routes comes first: the lower. One without comes last.
    Order,
}

/// What a field holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Value {
    /// The field is left out.
    Nothing,
    /// A count.
    Number(u32),
    /// A team, or the name of a thing.
    Name(String),
    /// Names of regions.
    Names(BTreeSet<String>),
    /// Where calls go.
    Call {
        /// The name of the dependency.
        to: String,
        /// Calls at once at most.
        calls: u32,
    },
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Nothing => f.write_str("nothing"),
            Value::Number(number) => write!(f, "{number}"),
            Value::Name(name) => f.write_str(name),
            Value::Names(names) => {
                f.write_str(&names.iter().map(String::as_str).collect::<Vec<_>>().join("+"))
            }
            Value::Call { to, calls } => write!(f, "{to} with {calls} calls"),
        }
    }
}

/// The fields of a thing that are not left out.
pub type Fields = BTreeMap<Field, Value>;

impl Field {
    /// Whether a thing of this kind has the field, and the value is of its type.
    pub fn accepts(self, kind: Kind, value: &Value) -> bool {
        use Kind::{Class, Dependency, Route, Tenant};
        let has = match self {
            Field::Owner => true,
            Field::Budget | Field::Fallback => kind == Dependency,
            Field::Share => kind == Dependency || kind == Tenant,
            Field::Limit => kind == Class,
            Field::Regions => kind == Tenant || kind == Route,
            Field::Class | Field::Tenant | Field::Place | Field::Call | Field::Order => kind == Route,
        };
        let fits = match (self, value) {
            (_, Value::Nothing) => !self.is_required_for(kind),
            (Field::Share, Value::Number(share)) => *share <= FULL_SHARE_PERMILLE,
            (Field::Budget | Field::Limit | Field::Place | Field::Order, Value::Number(_)) => true,
            (Field::Owner | Field::Fallback | Field::Class | Field::Tenant, Value::Name(name)) => {
                is_valid_name(name)
            }
            (Field::Regions, Value::Names(names)) => {
                (1..=MAX_NAMES_PER_FIELD).contains(&names.len())
                    && names.iter().all(|name| is_valid_name(name))
            }
            (Field::Call, Value::Call { to, .. }) => is_valid_name(to),
            _ => false,
        };
        has && fits
    }

    /// Whether a thing of this kind cannot be without it.
    pub fn is_required_for(self, kind: Kind) -> bool {
        matches!((self, kind), (Field::Budget, Kind::Dependency) | (Field::Call, Kind::Route))
    }

    /// Whether it is what a route is for, and stays as it was added.
    pub fn is_immutable(self) -> bool {
        matches!(self, Field::Class | Field::Tenant | Field::Place)
    }

    /// What it counts for in [`MAX_TABLE_BYTES`].
    pub fn accounted_bytes(value: &Value) -> i64 {
        let names = match value {
            Value::Nothing => return 0,
            Value::Number(_) => 0,
            Value::Name(_) | Value::Call { .. } => 1,
            Value::Names(names) => names.len(),
        };
        i64::try_from(8 + names * (MAX_NAME_BYTES + 2)).unwrap_or(i64::MAX)
    }

    /// The things that a value of this field names.
    pub fn references(self, value: &Value) -> Vec<Thing> {
        match (self, value) {
            (Field::Fallback, Value::Name(name)) => vec![Thing::new(Kind::Dependency, name)],
            (Field::Class, Value::Name(name)) => vec![Thing::new(Kind::Class, name)],
            (Field::Tenant, Value::Name(name)) => vec![Thing::new(Kind::Tenant, name)],
            (Field::Call, Value::Call { to, .. }) => vec![Thing::new(Kind::Dependency, to)],
            (Field::Regions, Value::Names(names)) => {
                names.iter().map(|name| Thing::new(Kind::Region, name)).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The value with one thing called something else.
    pub fn with_reference_renamed(self, value: &Value, from: &Thing, to: &str) -> Value {
        if !self.references(value).contains(from) {
            return value.clone();
        }
        match value {
            Value::Name(_) => Value::Name(to.to_string()),
            Value::Call { calls, .. } => Value::Call { to: to.to_string(), calls: *calls },
            Value::Names(names) => Value::Names(
                names
                    .iter()
                    .map(|name| if *name == from.name { to.to_string() } else { name.clone() })
                    .collect(),
            ),
            other => other.clone(),
        }
    }
}

/// Names stand in lines of operators as they are.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._".contains(&b))
}

/// All things, by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Each with its fields.
    pub things: BTreeMap<Thing, Fields>,
}

static NOTHING: Value = Value::Nothing;

impl Table {
    /// What a field holds.
    pub fn value(&self, thing: &Thing, field: Field) -> &Value {
        self.things.get(thing).and_then(|fields| fields.get(&field)).unwrap_or(&NOTHING)
    }

    /// The team that a thing belongs to.
    pub fn owner(&self, thing: &Thing) -> Option<&str> {
        match self.value(thing, Field::Owner) {
            Value::Name(team) => Some(team),
            _ => None,
        }
    }

    /// The things of one kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Thing, &Fields)> {
        self.things.iter().filter(move |(thing, _)| thing.kind == kind)
    }

    /// The parts that are touched when this thing is: itself, and what a route is for.
    pub fn affected_things(thing: &Thing, fields: &Fields) -> Vec<Thing> {
        let fixed = [Field::Class, Field::Tenant];
        let of = fixed.iter().filter_map(|field| fields.get(field).map(|value| field.references(value)));
        std::iter::once(thing.clone()).chain(of.flatten()).collect()
    }
}
