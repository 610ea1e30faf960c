//! Turns an operator file into an edit that gives the table the file's dependencies and routes.
//!
//! Things of the file are added, or set where the table differs. Other things stay, as a team's file covers
//! only its own. Settings of this nodo alone (addresses, timeouts, breakers, kept replies) do not go into
//! the table.

use crate::edit::Change;
use crate::table::{FULL_SHARE_PERMILLE, Field, Fields, Kind, Table, Thing, Value};
use jaspershunt_operator::File;
use jaspershunt_operator::check::ANY;
use std::collections::BTreeMap;
use std::fmt;

/// Why a file cannot become an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileEditError {
    /// The table has everything in the file already.
    NothingNew,
    /// This many routes use a dependency with fewer concurrent calls; each route needs at least one.
    NotEnoughCalls(String, usize, usize),
}

impl fmt::Display for FileEditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileEditError::NothingNew => f.write_str("the table matches the file already"),
            FileEditError::NotEnoughCalls(name, routes, calls) => {
                write!(
                    f,
                    "{routes} routes use dependency {name:?}, which allows only {calls} concurrent calls"
                )
            }
        }
    }
}

/// Returns the changes that bring a table in line with a file. The team owns what is new.
///
/// The table limits the calls of each route, the file only those of each dependency. A route in the table
/// keeps its limit; new routes of a dependency share the remaining calls equally.
///
/// # Errors
/// Returns why there are no such changes.
pub fn changes(file: &File, table: &Table, team: &str) -> Result<Vec<Change>, FileEditError> {
    let mut wanted: BTreeMap<Thing, Fields> = BTreeMap::new();
    for (name, dependency) in &file.dependency {
        let number = |number: usize| Value::Number(u32::try_from(number).unwrap_or(u32::MAX));
        let share = (dependency.share.0 * f64::from(FULL_SHARE_PERMILLE))
            .round()
            .clamp(0.0, f64::from(FULL_SHARE_PERMILLE)) as u32;
        let mut fields =
            Fields::from([(Field::Budget, number(dependency.calls)), (Field::Share, Value::Number(share))]);
        if let Some(next) = &dependency.fall_back {
            fields.insert(Field::Fallback, Value::Name(next.clone()));
        }
        wanted.insert(Thing::new(Kind::Dependency, name), fields);
    }
    let mut routes: BTreeMap<&str, Vec<(Thing, Fields)>> = BTreeMap::new();
    for (class, route) in &file.route {
        wanted.insert(Thing::new(Kind::Class, class), Fields::new());
        for (position, call) in &route.call {
            let thing = Thing::new(Kind::Route, &format!("{class}-{position}"));
            let mut fields = Fields::from([(Field::Class, Value::Name(class.clone()))]);
            // As in the file, a route for one position takes precedence over one for any.
            let mut order = 1000;
            if let Some(number) = position.parse().ok().filter(|_| position != ANY) {
                fields.insert(Field::Place, Value::Number(number));
                order = 100;
            }
            fields.insert(Field::Order, Value::Number(order));
            routes.entry(&call.to).or_default().push((thing, fields));
        }
    }
    for (to, into) in routes {
        let budget = file.dependency.get(to).map_or(0, |dependency| dependency.calls);
        let calls_in_table = |thing: &Thing| match table.value(thing, Field::Call) {
            Value::Call { to: now, calls } if now == to => Some(*calls as usize),
            _ => None,
        };
        let other_routes =
            table.of_kind(Kind::Route).filter(|(thing, _)| !into.iter().any(|(own, _)| own == *thing));
        let taken_calls: usize = other_routes.filter_map(|(thing, _)| calls_in_table(thing)).sum();
        let kept_calls: usize = into.iter().filter_map(|(thing, _)| calls_in_table(thing)).sum();
        let added = into.iter().filter(|(thing, _)| calls_in_table(thing).is_none()).count();
        let remaining = budget.saturating_sub(taken_calls + kept_calls);
        if added > remaining {
            return Err(FileEditError::NotEnoughCalls(
                to.to_string(),
                into.len(),
                budget.saturating_sub(taken_calls),
            ));
        }
        for (thing, mut fields) in into {
            let calls = calls_in_table(&thing).unwrap_or(remaining / added.max(1));
            let calls = u32::try_from(calls).unwrap_or(u32::MAX);
            fields.insert(Field::Call, Value::Call { to: to.to_string(), calls });
            wanted.insert(thing, fields);
        }
    }
    let changes: Vec<Change> =
        wanted.into_iter().flat_map(|(thing, fields)| changes_to(table, thing, fields, team)).collect();
    if changes.is_empty() { Err(FileEditError::NothingNew) } else { Ok(changes) }
}

/// Returns the changes that give a thing these fields.
fn changes_to(table: &Table, thing: Thing, mut fields: Fields, team: &str) -> Vec<Change> {
    if !table.things.contains_key(&thing) {
        fields.insert(Field::Owner, Value::Name(team.to_string()));
        return vec![Change::Add { thing, fields }];
    }
    if thing.kind == Kind::Dependency {
        fields.entry(Field::Fallback).or_insert(Value::Nothing);
    }
    let differs =
        |(field, value): &(Field, Value)| !field.is_immutable() && table.value(&thing, *field) != value;
    let set = |(field, value)| Change::Set { thing: thing.clone(), field, value };
    fields.into_iter().filter(differs).map(set).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::edit::{Edit, EditId};
    use crate::part::{Entry, Outcome, Routes};
    use crate::{FinalState, Snapshot};

    const SITE: &str = r#"
        dependency "padron" {
          addresses = ["127.0.0.1:5441"]
          calls = 9
          share = "40%"
          fall_back = "replica"
        }
        dependency "replica" { addresses = ["127.0.0.1:5442"] }
        route "alta" {
          repeat = "safe"
          call "1" { to = "padron" }
          call "any" { to = "padron" }
        }
    "#;

    fn taken(routes: &mut Routes, number: u64, changes: Vec<Change>) -> Outcome {
        let id = EditId { team: "pagos".into(), number };
        let edit = Edit { id, base: routes.revision(), reason: "by file".into(), changes };
        edit.check().unwrap();
        routes.apply_entry(Entry::Edit(edit.clone()));
        routes.apply_entry(Entry::Publish { permille: FULL_SHARE_PERMILLE, now_ms: 0 });
        routes.outcome_of(&edit.key()).unwrap()
    }

    #[test]
    fn a_file_becomes_an_edit_that_brings_the_table_in_line() {
        let file = jaspershunt_operator::read("site", SITE).unwrap();
        let mut routes = Routes::default();
        let all = changes(&file, routes.table(), "pagos").unwrap();
        assert_eq!(taken(&mut routes, 1, all), Outcome::Ended(FinalState::Published(1)));
        assert_eq!(changes(&file, routes.table(), "pagos"), Err(FileEditError::NothingNew));
        assert_eq!(routes.table().owner(&Thing::new(Kind::Class, "alta")), Some("pagos"));
        let snapshot = Snapshot::new(1, false, 0, routes.table().clone());
        let (first, any) = (snapshot.choose("alta", "", 1).unwrap(), snapshot.choose("alta", "", 2).unwrap());
        assert_eq!(
            (first.route.as_str(), first.calls, first.fallbacks),
            ("alta-1", 4, vec!["replica".to_string()])
        );
        assert_eq!((any.route.as_str(), any.to.as_str()), ("alta-any", "padron"));
        assert_eq!(crate::overlay::overlay(&file, routes.table()), file);
        // After a person has changed the file, only the changed fields are set.
        let text = SITE.replace("calls = 9", "calls = 20").replace("fall_back = \"replica\"", "");
        let file = jaspershunt_operator::read("site", &text).unwrap();
        let some = changes(&file, routes.table(), "pagos").unwrap();
        let padron = Thing::new(Kind::Dependency, "padron");
        let set = |field, value| Change::Set { thing: padron.clone(), field, value };
        assert_eq!(some, [set(Field::Budget, Value::Number(20)), set(Field::Fallback, Value::Nothing)]);
        assert_eq!(taken(&mut routes, 2, some), Outcome::Ended(FinalState::Published(2)));
    }

    #[test]
    fn a_dependency_with_fewer_calls_than_routes_is_an_error() {
        let text = SITE.replace("calls = 9", "calls = 1\n limit { start = 1 }");
        let file = jaspershunt_operator::read("site", &text).unwrap();
        let wrong = changes(&file, &Table::default(), "pagos").unwrap_err();
        assert_eq!(
            wrong.to_string(),
            "2 routes use dependency \"padron\", which allows only 1 concurrent calls"
        );
    }
}
