//! Applies the table to a nodo's operator file. The file says how a dependency is reached, the table how
//! much it may be asked.

use crate::table::{FULL_SHARE_PERMILLE, Field, Kind, Table, Thing, Value};
use jaspershunt_operator::File;
use jaspershunt_operator::units::Share;

/// Maximum number of concurrent calls that a nodo's file allows for one dependency, and so the most that
/// the table can set.
pub const MAX_CALLS: u32 = 1024;
/// The least share of a dependency: a file cannot have a share of zero.
const MIN_SHARE: f64 = 0.001;

/// Returns the file with the table's calls, shares and fallbacks for the dependencies that both have.
/// Dependencies that the table lacks stay as they are in the file; those without an address in the file are
/// not added.
pub fn overlay(file: &File, table: &Table) -> File {
    let mut file = file.clone();
    let names: Vec<String> = file.dependency.keys().cloned().collect();
    let (mut table_shares, mut file_shares) = (0.0, 0.0);
    for (name, dependency) in &mut file.dependency {
        let thing = Thing::new(Kind::Dependency, name);
        if !table.things.contains_key(&thing) {
            file_shares += dependency.share.0;
            continue;
        }
        if let Value::Number(budget) = table.value(&thing, Field::Budget) {
            dependency.calls = (*budget).clamp(1, MAX_CALLS) as usize;
            dependency.limit.least = dependency.limit.least.min(dependency.calls);
        }
        if let Value::Number(share) = table.value(&thing, Field::Share) {
            dependency.share = Share((f64::from(*share) / f64::from(FULL_SHARE_PERMILLE)).max(MIN_SHARE));
        }
        dependency.fall_back = match table.value(&thing, Field::Fallback) {
            Value::Name(next) => Some(next.clone()).filter(|next| names.contains(next)),
            _ => None,
        };
        table_shares += dependency.share.0;
    }
    // The table's shares do not exceed the whole, but know nothing of the file's. Scales the file's down to
    // the rest.
    if table_shares + file_shares > 1.0 && file_shares > 0.0 {
        let scale = ((1.0 - table_shares) / file_shares).max(0.0);
        let of_file = |name: &String| !table.things.contains_key(&Thing::new(Kind::Dependency, name));
        for (_, dependency) in file.dependency.iter_mut().filter(|(name, _)| of_file(name)) {
            dependency.share = Share((dependency.share.0 * scale).max(MIN_SHARE));
        }
    }
    file
}

/// Returns the table's dependencies without an address in the file; this nodo does not follow routes into
/// them.
pub fn without_address<'a>(file: &File, table: &'a Table) -> Vec<&'a str> {
    let names = table.of_kind(Kind::Dependency).map(|(thing, _)| thing.name.as_str());
    names.filter(|name| !file.dependency.contains_key(*name)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::table::Fields;

    const SITE: &str = r#"
        dependency "padron" {
          addresses = ["127.0.0.1:5441"]
          calls = 8
          share = "50%"
          fall_back = "replica"
        }
        dependency "replica" {
          addresses = ["127.0.0.1:5442"]
          share = "30%"
        }
        dependency "sello" {
          addresses = ["127.0.0.1:5443"]
          share = "20%"
        }
        route "alta" {
          repeat = "safe"
          call "any" { to = "padron" }
        }
    "#;

    fn table(things: &[(&str, &[(Field, Value)])]) -> Table {
        let thing = |name: &str| Thing::new(Kind::Dependency, name);
        let of = |fields: &[(Field, Value)]| fields.iter().cloned().collect::<Fields>();
        Table { things: things.iter().map(|(name, fields)| (thing(name), of(fields))).collect() }
    }

    #[test]
    fn the_table_overrides_the_file_where_it_has_a_value() {
        let file = jaspershunt_operator::read("site", SITE).unwrap();
        let table = table(&[
            ("padron", &[(Field::Budget, Value::Number(3)), (Field::Share, Value::Number(900))]),
            ("lejos", &[(Field::Budget, Value::Number(5))]),
            ("replica", &[(Field::Budget, Value::Number(0)), (Field::Fallback, Value::Name("lejos".into()))]),
        ]);
        let over = overlay(&file, &table);
        let padron = &over.dependency["padron"];
        assert_eq!((padron.calls, padron.share, padron.fall_back.as_deref()), (3, Share(0.9), None));
        assert_eq!(padron.addresses, file.dependency["padron"].addresses);
        // A budget of 0 becomes the least the file allows, and a dependency without an address here is no
        // fallback.
        assert_eq!((over.dependency["replica"].calls, &over.dependency["replica"].fall_back), (1, &None));
        assert_eq!(without_address(&file, &table), ["lejos"]);
        // 90 % and 30 % by the table leave the least share for the file's 20 %.
        assert_eq!(over.dependency["sello"].share, Share(MIN_SHARE));
        assert_eq!(over.dependency["sello"].calls, file.dependency["sello"].calls);
        assert_eq!(over.route, file.route);
    }

    #[test]
    fn an_empty_table_changes_nothing() {
        let file = jaspershunt_operator::read("site", SITE).unwrap();
        assert_eq!(overlay(&file, &Table::default()), file);
    }
}
