//! The table: things with fields. Queries by requests are in [`crate::snapshot`], validity rules in
//! [`crate::rules`].

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Maximum length of a name, in bytes: names appear unescaped in operators' lines and in headers.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of names in one field: enough for all regions of a fleet.
pub const MAX_NAMES_PER_FIELD: usize = 64;
/// Maximum size of a table, in bytes. Each name counts with the maximum length, so that renames do not
/// change the size.
pub const MAX_TABLE_BYTES: u32 = 1024 * 1024;
/// The whole of a share, in thousandths.
pub const FULL_SHARE_PERMILLE: u32 = 1000;

/// The kind of a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A region with nodos.
    Region,
    /// A dependency that nodos call.
    Dependency,
    /// A class of requests.
    Class,
    /// A tenant whose requests are served.
    Tenant,
    /// The target of calls of a class and tenant.
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
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: String,
}

impl Thing {
    /// Creates a thing of this kind and name.
    pub fn new(kind: Kind, name: &str) -> Thing {
        Thing { kind, name: name.to_string() }
    }

    /// Returns a thing of the same kind with another name.
    pub fn named(&self, name: &str) -> Thing {
        Thing::new(self.kind, name)
    }
}

impl fmt::Display for Thing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = KINDS.iter().find(|(kind, _)| *kind == self.kind).map_or("", |(_, prefix)| prefix);
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
        let known = text.split_once('/').and_then(|(prefix, name)| {
            KINDS.iter().find(|(_, of)| *of == prefix).map(|(kind, _)| Thing::new(*kind, name))
        });
        known.ok_or_else(|| {
            format!(
                "{text:?} is not a thing: expected region/, dependency/, class/, tenant/ or route/ and a name"
            )
        })
    }
}

/// A field of a thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Field {
    /// The team that owns the thing.
    Owner,
    /// Concurrent calls that a dependency can take, over all routes into it.
    Budget,
    /// Share of the nodos' slots that a dependency or a tenant may take, in thousandths.
    Share,
    /// The fallback of a dependency.
    Fallback,
    /// Maximum number of concurrent requests of a class.
    Limit,
    /// Regions where requests may be served; all if omitted.
    Regions,
    /// The class of a route; any if omitted. Immutable after the route is added.
    Class,
    /// The tenant of a route; any if omitted. Immutable after the route is added.
    Tenant,
    /// The position of a route's call in a run, from 1; any if omitted. Immutable after the route is added.
    Place,
    /// The target of a route's calls, and how much of its budget they may take.
    Call,
    /// Precedence among routes, lowest first. A route without it comes last.
    Order,
}

/// The value of a field.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Value {
    /// The field is omitted.
    Nothing,
    /// A count.
    Number(u32),
    /// A team, or the name of a thing.
    Name(String),
    /// Names of regions.
    Names(BTreeSet<String>),
    /// The target of calls.
    Call {
        /// The name of the dependency.
        to: String,
        /// Maximum number of concurrent calls.
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

/// The fields of a thing that are not omitted.
pub type Fields = BTreeMap<Field, Value>;

impl Field {
    /// Whether a thing of this kind has the field, and the value is valid for it.
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

    /// Whether a thing of this kind must have the field.
    pub fn is_required_for(self, kind: Kind) -> bool {
        matches!((self, kind), (Field::Budget, Kind::Dependency) | (Field::Call, Kind::Route))
    }

    /// Whether the field selects the calls of a route, and so cannot change after the route is added.
    pub fn is_immutable(self) -> bool {
        matches!(self, Field::Class | Field::Tenant | Field::Place)
    }

    /// Returns the size of a value as counted in [`MAX_TABLE_BYTES`].
    pub fn accounted_bytes(value: &Value) -> i64 {
        let names = match value {
            Value::Nothing => return 0,
            Value::Number(_) => 0,
            Value::Name(_) | Value::Call { .. } => 1,
            Value::Names(names) => names.len(),
        };
        i64::try_from(8 + names * (MAX_NAME_BYTES + 2)).unwrap_or(i64::MAX)
    }

    /// Returns the things that a value of this field refers to.
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

    /// Returns the value with references to `from` changed to the name `to`.
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

/// Whether a name is safe to appear unescaped in operators' lines.
pub fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._".contains(&b))
}

/// All things, by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The fields of each thing.
    pub things: BTreeMap<Thing, Fields>,
}

static NOTHING: Value = Value::Nothing;

impl Table {
    /// Returns the value of a field.
    pub fn value(&self, thing: &Thing, field: Field) -> &Value {
        self.things.get(thing).and_then(|fields| fields.get(&field)).unwrap_or(&NOTHING)
    }

    /// Returns the team that owns a thing.
    pub fn owner(&self, thing: &Thing) -> Option<&str> {
        match self.value(thing, Field::Owner) {
            Value::Name(team) => Some(team),
            _ => None,
        }
    }

    /// Returns the things of one kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&Thing, &Fields)> {
        self.things.iter().filter(move |(thing, _)| thing.kind == kind)
    }

    /// Returns the things whose owners are concerned by a change of this one: the thing itself, and the
    /// class and tenant of a route.
    pub fn affected_things(thing: &Thing, fields: &Fields) -> Vec<Thing> {
        let fixed = [Field::Class, Field::Tenant];
        let of = fixed.iter().filter_map(|field| fields.get(field).map(|value| field.references(value)));
        std::iter::once(thing.clone()).chain(of.flatten()).collect()
    }
}
