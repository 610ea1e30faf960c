//! `jaspershunt routes …`: shows and edits the fleet's route table, through any nodo's address for operators.

use super::fleet::{REFUSED, Target, UNREACHABLE, ask, columns, plain};
use crate::fleet::routes::{Named, Said, What};
use clap::Subcommand;
use jaspershunt_routes::{Edit, EditId, Snapshot, Table, parse_edit};
use serde_json::Value;
use std::process::ExitCode;
use std::str::FromStr;

/// The exit code if a sent edit conflicts with others.
const IN_CONFLICT: u8 = 3;

/// The `routes` commands. They exit with 0 on success, 1 if the fleet or the nodo refuses, 2 if nobody
/// answers or a file cannot be used, and 3 if an edit is in conflict.
#[derive(Debug, Subcommand)]
pub enum Tables {
    /// Show the table that this nodo uses, and the state of edits.
    Show(Target),
    /// Send an edit and print its state. Sending it again is idempotent.
    Edit {
        /// The edit as JSON (.json), or an operator's file whose dependencies and routes the table is to get.
        file: String,
        /// How an operator's file becomes an edit.
        #[command(flatten)]
        of: FileArgs,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Print the state that edits would have, and send nothing.
    Merge {
        /// The edits.
        #[arg(required = true)]
        files: Vec<String>,
        /// How operators' files become edits.
        #[command(flatten)]
        of: FileArgs,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Show the smallest sets of edits that cannot be accepted together.
    Conflicts(Target),
    /// Settle a conflict for good: the edits that are not kept are withdrawn.
    Settle {
        /// Its number, as conflicts shows it.
        conflict: String,
        /// The edits to keep, as TEAM/NUMBER: of a rename and an edit that is to follow it, both; none to
        /// withdraw all.
        #[arg(long, num_args = 0.., value_name = "TEAM/NUMBER")]
        keep: Vec<EditArg>,
        /// The team that settles it: one of those that the conflict concerns.
        #[arg(long)]
        team: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Show what was published, by which team and why.
    Log(Target),
    /// Send an edit that undoes published edits.
    Undo {
        /// A revision, or one edit as TEAM/NUMBER.
        what: String,
        /// The new edit's team and number.
        #[arg(long = "as", value_name = "TEAM/NUMBER")]
        as_edit: EditArg,
        /// The reason.
        #[arg(long, default_value = "undone")]
        reason: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Withdraw an edit that has not ended.
    Withdraw {
        /// The edit.
        edit: EditArg,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Grant or deny a team's consent to an edit that touches its things.
    Word {
        /// The edit.
        edit: EditArg,
        /// The team whose things it touches.
        #[arg(long)]
        team: String,
        /// Deny consent.
        #[arg(long)]
        no: bool,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
    /// Explain where the calls of a class and tenant go.
    Why {
        /// The class.
        class: String,
        /// The tenant; "" if there are none.
        tenant: String,
        /// The nodo to ask.
        #[command(flatten)]
        target: Target,
    },
}

/// What an operator's file needs in addition to become an edit.
#[derive(Debug, clap::Args)]
pub struct FileArgs {
    /// The team and number of an edit that is an operator's file.
    #[arg(long = "as", value_name = "TEAM/NUMBER")]
    as_edit: Option<EditArg>,
    /// The reason, for an operator's file.
    #[arg(long, default_value = "as the file stands")]
    reason: String,
}

/// An edit as TEAM/NUMBER, or TEAM/NUMBER@DIGEST where a team used a number twice.
#[derive(Clone, Debug)]
pub struct EditArg(Named);

impl FromStr for EditArg {
    type Err = &'static str;
    fn from_str(text: &str) -> Result<EditArg, &'static str> {
        let (edit, digest) = text.split_once('@').map_or((text, None), |(edit, digest)| (edit, Some(digest)));
        let (team, number) = edit.split_once('/').ok_or(NOT_NAMED)?;
        let number = number.parse().map_err(|_| NOT_NAMED)?;
        Ok(EditArg(Named { team: team.to_string(), number, digest: digest.map(String::from) }))
    }
}

const NOT_NAMED: &str = "expected TEAM/NUMBER";

impl EditArg {
    fn id(&self) -> EditId {
        EditId { team: self.0.team.clone(), number: self.0.number }
    }
}

/// Runs the command.
pub fn run(what: &Tables) -> ExitCode {
    done(what).unwrap_or_else(|(why, code)| {
        eprintln!("{why}");
        ExitCode::from(code)
    })
}

type Failure = (String, u8);

fn done(what: &Tables) -> Result<ExitCode, Failure> {
    match what {
        Tables::Show(target) => see(target, show),
        Tables::Conflicts(target) => see(target, conflicts),
        Tables::Log(target) => see(target, log),
        Tables::Why { class, tenant, target } => see(target, |shown| why(shown, class, tenant)),
        Tables::Edit { file, of, target } => tell(target, &Said::Edit(edit(file, of, target)?)),
        Tables::Merge { files, of, target } => {
            let edits = files.iter().map(|file| edit(file, of, target)).collect::<Result<_, Failure>>()?;
            tell(target, &Said::Merge(edits))
        }
        Tables::Settle { conflict, keep, team, target } => {
            let keep = keep.iter().map(|edit| edit.0.clone()).collect();
            tell(target, &Said::Settle { conflict: conflict.clone(), by: team.clone(), keep })
        }
        Tables::Undo { what, as_edit, reason, target } => {
            let what = match (what.parse(), what.parse::<EditArg>()) {
                (Ok(revision), _) => What::Revision(revision),
                (Err(_), Ok(edit)) => What::Edit(edit.0),
                (Err(_), Err(_)) => {
                    return Err((format!("{what:?}: expected a revision or TEAM/NUMBER"), UNREACHABLE));
                }
            };
            tell(target, &Said::Undo { what, id: as_edit.id(), reason: reason.clone() })
        }
        Tables::Withdraw { edit, target } => tell(target, &Said::Withdraw { edit: edit.0.clone() }),
        Tables::Word { edit, team, no, target } => {
            tell(target, &Said::Word { edit: edit.0.clone(), by: team.clone(), yes: !no })
        }
    }
}

/// Sends a line and decodes the JSON of the answer.
fn asked(target: &Target, line: &str) -> Result<Value, Failure> {
    let answer = ask(target.at, line).map_err(|e| (format!("{}: {e}", target.at), UNREACHABLE))?;
    let figures = answer.strip_suffix("\r\n.\r\n").and_then(|json| serde_json::from_str(json).ok());
    figures.ok_or_else(|| (answer.trim_end().trim_start_matches("-ERR ").to_string(), REFUSED))
}

fn shown(target: &Target) -> Result<Value, Failure> {
    asked(target, "ROUTES SHOW")
}

fn see(target: &Target, text: impl Fn(&Value) -> String) -> Result<ExitCode, Failure> {
    let shown = shown(target)?;
    if target.json {
        println!("{shown}");
    } else {
        print!("{}", text(&shown));
    }
    Ok(ExitCode::SUCCESS)
}

/// Sends a request and prints its result.
fn tell(target: &Target, said: &Said) -> Result<ExitCode, Failure> {
    let body = serde_json::to_string(said).map_err(|e| (e.to_string(), UNREACHABLE))?;
    let mut told = asked(target, &format!("ROUTES SAY {}\r\n{body}", body.len()))?;
    // Replaces conflict numbers by their descriptions, if the fleet still answers.
    let numbers: Vec<Value> = told["conflicts"].as_array().into_iter().flatten().cloned().collect();
    if numbers.iter().any(Value::is_string)
        && let Ok(shown) = shown(target)
    {
        let all = shown["fleet"]["conflicts"].as_array().cloned().unwrap_or_default();
        told["conflicts"] = all.into_iter().filter(|conflict| numbers.contains(&conflict["id"])).collect();
    }
    if target.json {
        println!("{told}");
    } else {
        print!("{}", format_result(&told));
    }
    let states = told["edits"].as_array().into_iter().flatten().chain([&told]).map(|of| of["state"].as_str());
    let states: Vec<&str> = states.flatten().collect();
    Ok(match () {
        () if states.contains(&"refused") => ExitCode::from(REFUSED),
        () if states.contains(&"in conflict") => ExitCode::from(IN_CONFLICT),
        () => ExitCode::SUCCESS,
    })
}

/// An edit from a file.
fn edit(path: &str, of: &FileArgs, target: &Target) -> Result<Edit, Failure> {
    let unusable = |what: String| (what, UNREACHABLE);
    let text = std::fs::read_to_string(path).map_err(|e| unusable(format!("{path}: cannot be read: {e}")))?;
    if std::path::Path::new(path).extension().is_some_and(|ext| ext == "json") {
        return parse_edit(&text).map_err(|wrong| unusable(format!("{path}: {wrong}")));
    }
    let file = jaspershunt_operator::read(path, &text).map_err(|problems| {
        unusable(problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
    })?;
    let Some(as_edit) = &of.as_edit else {
        return Err(unusable(format!("{path}: an operator's file needs --as TEAM/NUMBER to be an edit")));
    };
    let shown = shown(target)?;
    // The replicated table, or this nodo's copy of it.
    let from = if shown["fleet"].is_null() { &shown["here"] } else { &shown["fleet"] };
    let table = table_of(from).map_err(|e| (e, REFUSED))?;
    let id = as_edit.id();
    let changes = jaspershunt_routes::from_file::changes(&file, &table, &id.team)
        .map_err(|wrong| (format!("{path}: {wrong}"), REFUSED))?;
    let base = from["revision"].as_u64().unwrap_or(0);
    let edit = Edit { id, base, reason: of.reason.clone(), changes };
    edit.check().map_err(|wrong| unusable(format!("{path}: the edit {wrong}")))?;
    Ok(edit)
}

fn table_of(from: &Value) -> Result<Table, String> {
    serde_json::from_value(from["table"].clone()).map_err(|e| format!("the nodo shows no table: {e}"))
}

/// Describes the revision that the nodo uses, and its age.
fn here(shown: &Value) -> String {
    let here = &shown["here"];
    let trial = if here["on_trial"] == true { ", on trial here" } else { "" };
    let heard = match here["age_ms"].as_u64() {
        Some(ms) => format!("the fleet was heard {ms} ms ago"),
        None => "the fleet was not heard yet: this may be old".to_string(),
    };
    format!("{} goes by revision {}{trial}; {heard}", plain(&shown["member"]), here["revision"])
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn show(shown: &Value) -> String {
    let mut text = format!("{}\n", here(shown));
    if let Some(words) = shown["fleet"]["trial"]["words"].as_str() {
        text.push_str(&format!("{words}\n"));
    }
    let rows = shown["here"]["table"]["things"].as_object().into_iter().flatten().map(|(thing, fields)| {
        let fields = fields.as_object().into_iter().flatten();
        let fields: Vec<String> =
            fields.map(|(field, value)| format!("{field} {}", of_value(value))).collect();
        vec![thing.clone(), fields.join(", ")]
    });
    let rows: Vec<_> = rows.collect();
    if !rows.is_empty() {
        text.push_str(&format!("\n{}", columns(&["thing", "fields"], rows)));
    }
    for name in list(&shown["here"]["not_here"]) {
        text.push_str(&format!(
            "dependency/{} has no address in this nodo's file: routes into it are not followed here\n",
            plain(name)
        ));
    }
    let open: Vec<_> =
        list(&shown["fleet"]["open"]).map(|edit| row(edit, &["edit", "reason", "words"])).collect();
    if !open.is_empty() {
        text.push_str(&format!("\n{}", columns(&["open", "reason", "state"], open)));
    }
    for held in list(&shown["held"]) {
        text.push_str(&format!(
            "{} is held on this nodo's disk until the fleet answers\n",
            plain(&held["edit"])
        ));
    }
    for refused in list(&shown["not_taken"]) {
        text.push_str(&format!(
            "{}, which was held here, is refused: {}\n",
            plain(&refused["edit"]),
            plain(&refused["why"])
        ));
    }
    if shown["fleet"].is_null() {
        text.push_str("nobody of the fleet answers: edits are not shown\n");
    }
    text
}

fn row(of: &Value, keys: &[&str]) -> Vec<String> {
    keys.iter().map(|key| plain(&of[*key])).collect()
}

/// Formats a field's value; the table writes a value under its type.
fn of_value(value: &Value) -> String {
    match value.as_object().and_then(|of| of.iter().next()) {
        Some((kind, call)) if kind == "call" => {
            format!("{} with {} calls", plain(&call["to"]), call["calls"])
        }
        Some((_, value)) => plain(value),
        None => plain(value),
    }
}

fn conflicts(shown: &Value) -> String {
    if shown["fleet"].is_null() {
        return format!("{}\nnobody of the fleet answers: conflicts are not known\n", here(shown));
    }
    let mut lines = Vec::new();
    for conflict in list(&shown["fleet"]["conflicts"]) {
        lines.push(told_conflict(conflict));
    }
    if lines.is_empty() { "no conflicts\n".to_string() } else { lines.concat() }
}

fn told_conflict(conflict: &Value) -> String {
    format!(
        "{}  {}\n  for {} to settle\n",
        plain(&conflict["id"]),
        plain(&conflict["words"]),
        plain(&conflict["teams"])
    )
}

fn log(shown: &Value) -> String {
    if shown["fleet"].is_null() {
        return format!("{}\nnobody of the fleet answers: the log is not known\n", here(shown));
    }
    let line = |line: &Value| {
        let mut row = row(line, &["revision", "edit", "reason"]);
        row.push(if line["back"] == true { "taken back" } else { "" }.to_string());
        row
    };
    let rows: Vec<_> = list(&shown["fleet"]["log"]).map(line).collect();
    let mut text = columns(&["revision", "edit", "reason", ""], rows);
    let ended = shown["fleet"]["ended"].as_object().into_iter().flatten();
    let others: Vec<_> = ended
        .filter(|(_, end)| !plain(end).starts_with("taken"))
        .map(|(edit, end)| vec![edit.clone(), plain(end)])
        .collect();
    if !others.is_empty() {
        text.push_str(&format!("\n{}", columns(&["not taken", "how it ended"], others)));
    }
    text
}

fn why(shown: &Value, class: &str, tenant: &str) -> String {
    let table = match table_of(&shown["here"]) {
        Ok(table) => table,
        Err(e) => return format!("{e}\n"),
    };
    let revision = shown["here"]["revision"].as_u64().unwrap_or(0);
    let snapshot = Snapshot::new(revision, shown["here"]["on_trial"] == true, 0, table);
    let age = shown["here"]["age_ms"].as_u64();
    let mut text = snapshot.explain(class, tenant, age.unwrap_or(0));
    if age.is_none() {
        let from = text.find('\n').unwrap_or(0);
        text.replace_range(
            ..from,
            &format!("revision {revision}, and the fleet was not heard yet: this may be old"),
        );
    }
    if snapshot.choose(class, tenant, 1).is_none() {
        text.push_str("no route for its first call: that goes as this nodo's file says\n");
    }
    for name in list(&shown["here"]["not_here"]) {
        text.push_str(&format!(
            "dependency/{} has no address in this nodo's file: routes into it are not followed here\n",
            plain(name)
        ));
    }
    text
}

/// Formats the result of a request.
fn format_result(told: &Value) -> String {
    let mut text = String::new();
    for edit in list(&told["edits"]).chain([told]).filter(|edit| edit["words"].is_string()) {
        let name = edit["edit"].as_str().map_or(String::new(), |name| format!("{name}: "));
        text.push_str(&format!("{name}{}\n", plain(&edit["words"])));
    }
    list(&told["conflicts"]).for_each(|conflict| text.push_str(&told_conflict(conflict)));
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn table() -> Value {
        json!({"things": {"dependency/padron": {"budget": {"number": 10}}, "route/r1": {"owner": {"name": "brio"},
            "class": {"name": "alta"}, "call": {"call": {"to": "padron", "calls": 4}}}}})
    }

    #[test]
    fn the_table_is_shown_with_its_age_and_a_route_is_explained() {
        let here =
            json!({"revision": 7, "on_trial": false, "age_ms": 40, "table": table(), "not_here": ["lejos"]});
        let open = json!([{"edit": "brio/2", "reason": "more", "words": "waits for the consent of casa"}]);
        let shown =
            json!({"member": "n1", "here": here, "held": [{"edit": "casa/9"}], "fleet": {"open": open}});
        let text = show(&shown);
        assert!(text.starts_with("n1 goes by revision 7; the fleet was heard 40 ms ago\n"), "{text}");
        assert!(
            text.contains("route/r1           call padron with 4 calls, class alta, owner brio\n"),
            "{text}"
        );
        assert!(text.contains("brio/2  more    waits for the consent of casa\n"), "{text}");
        assert!(
            text.contains("casa/9 is held on this nodo's disk")
                && text.contains("dependency/lejos has no address")
        );
        let text = why(&shown, "alta", "uno");
        assert!(
            text.starts_with("revision 7, heard 40 ms ago\nfirst route/r1 (order last, of brio)"),
            "{text}"
        );
        let alone = json!({"member": "n1", "here": {"revision": 0, "age_ms": null, "table": {"things": {}}}, "fleet": null});
        assert!(
            show(&alone).contains("this may be old") && conflicts(&alone).contains("conflicts are not known")
        );
        let text = why(&alone, "alta", "");
        assert!(
            text.starts_with("revision 0, and the fleet was not heard yet")
                && text.contains("as this nodo's file says")
        );
    }

    #[test]
    fn edits_are_named_by_team_and_number() {
        let named: EditArg = "pagos/17@00ab".parse().unwrap();
        assert_eq!((named.id().number, named.0.digest.as_deref()), (17, Some("00ab")));
        assert!("pagos".parse::<EditArg>().is_err() && "pagos/x".parse::<EditArg>().is_err());
    }

    #[test]
    fn what_came_of_an_edit_is_told_with_its_conflicts() {
        let conflict = json!({"id": "00ab", "words": "brio#1, casa#1 cannot be taken together", "teams": ["brio", "casa"]});
        let told = json!({"edit": "brio/1", "words": "in conflict 00ab", "conflicts": [conflict]});
        let text = format_result(&told);
        assert_eq!(
            text,
            "brio/1: in conflict 00ab\n00ab  brio#1, casa#1 cannot be taken together\n  for brio casa to settle\n"
        );
    }
}
