//! Checks that the table of stages in `docs/design/work.md` matches the code for every stage and every entry.

use jaspershunt_fleet::{Entry as FleetEntry, Fleet, Holder};
use jaspershunt_work::{Effect, End, Entry, Offer, Outcome, Stage, Work};

const STAGES: [&str; 7] = ["offered", "held", "begun", "taken over", "known", "answered", "forgotten"];
const ENTRIES: [&str; 17] = [
    "Offer by its owner",
    "Offer by another",
    "Offer, other body",
    "Offer, later window",
    "Begin",
    "Begin, token before",
    "End done",
    "End failed",
    "End done, token before",
    "End failed, token before",
    "TakeOver, owner there",
    "TakeOver, owner lost",
    "GiveUp, owner lost",
    "HandOver, then TakeOver",
    "Answered by its owner",
    "Tidy when due",
    "Tidy past the window",
];

fn offer(body: &str, due_ms: u64) -> Offer {
    Offer {
        key: "op".into(),
        class: "firma".into(),
        tenant: None,
        body: body.into(),
        due_ms,
        window_ends_ms: due_ms + 5_000,
        worth_milli: 1_000,
        effect: Effect::Unknown,
    }
}

struct Case {
    fleet: Fleet,
    work: Work,
    owner: Holder,
    token: u64,
}

impl Case {
    fn take(&mut self, entry: Entry) -> Outcome {
        self.work.apply_entry(&self.fleet, &entry)
    }

    fn end(&mut self, by: Holder, token: u64, end: End) -> Outcome {
        self.take(Entry::End { key: "op".into(), by, token, end })
    }

    fn take_over(&mut self, successor: Holder) -> Outcome {
        let token = self.token;
        self.take(Entry::TakeOver { key: "op".into(), token, successor })
    }

    fn lose(&mut self) {
        self.fleet.apply(&FleetEntry::Gone { holder: self.owner.clone() });
    }
}

fn incarnation(n: u64) -> Holder {
    Holder::new(&format!("n{n}"), n)
}

fn at(stage: &str) -> Case {
    let mut fleet = Fleet::default();
    for n in 1..=3 {
        fleet.apply(&FleetEntry::Enrol { holder: incarnation(n) });
    }
    let mut case = Case { fleet, work: Work::default(), owner: incarnation(1), token: 1 };
    if stage == "offered" {
        return case;
    }
    let begin = stage != "held";
    case.take(Entry::Offer { by: incarnation(1), offer: offer("sign", 10_000), begin, now_ms: 0 });
    match stage {
        "taken over" => {
            case.lose();
            case.take_over(incarnation(2));
            (case.owner, case.token) = (incarnation(2), 2);
        }
        "known" | "answered" | "forgotten" => {
            case.end(incarnation(1), 1, End::Done(b"signed".into()));
        }
        _ => {}
    }
    if matches!(stage, "answered" | "forgotten") {
        case.take(Entry::Answered { key: "op".into(), by: incarnation(1) });
    }
    if stage == "forgotten" {
        case.take(Entry::Tidy { now_ms: 25_000 });
    }
    case
}

fn play(case: &mut Case, entry: &str) -> Outcome {
    let (owner, token, key) = (case.owner.clone(), case.token, "op".to_string());
    let offered = |by, body, due_ms| Entry::Offer { by, offer: offer(body, due_ms), begin: false, now_ms: 0 };
    match entry {
        "Offer by its owner" => case.take(offered(owner, "sign", 10_000)),
        "Offer by another" => case.take(offered(incarnation(3), "sign", 10_000)),
        "Offer, other body" => case.take(offered(incarnation(3), "burn", 10_000)),
        "Offer, later window" => case.take(offered(incarnation(3), "sign", 50_000)),
        "Begin" => case.take(Entry::Begin { key, by: owner, token }),
        "Begin, token before" => case.take(Entry::Begin { key, by: incarnation(1), token: token - 1 }),
        "End done" => case.end(owner, token, End::Done(b"other".into())),
        "End failed" => case.end(owner, token, End::Failed),
        "End done, token before" => case.end(incarnation(1), token - 1, End::Done(b"late".into())),
        "End failed, token before" => case.end(incarnation(1), token - 1, End::Failed),
        "TakeOver, owner there" => case.take_over(incarnation(3)),
        "TakeOver, owner lost" => {
            case.lose();
            case.take_over(incarnation(3))
        }
        "GiveUp, owner lost" => {
            case.lose();
            case.take(Entry::GiveUp { key, token })
        }
        "HandOver, then TakeOver" => {
            case.take(Entry::HandOver { by: owner, now_ms: 0 });
            case.take_over(incarnation(3))
        }
        "Answered by its owner" => case.take(Entry::Answered { key, by: owner }),
        "Tidy when due" => case.take(Entry::Tidy { now_ms: 10_000 }),
        _ => case.take(Entry::Tidy { now_ms: 25_000 }),
    }
}

fn cell(stage: &str, entry: &str) -> String {
    let mut case = at(stage);
    let outcome = match play(&mut case, entry) {
        Outcome::Yours { token } => format!("yours, {token}"),
        Outcome::Waits => "waits".into(),
        Outcome::Known(End::Done(result)) => String::from_utf8_lossy(&result).into_owned(),
        Outcome::Known(end) => format!("{end:?}").to_lowercase(),
        Outcome::Done => "so".into(),
        Outcome::Refused(why) => return format!("no: {why:?}"),
    };
    let stage = case.work.item("op").map(|item| match item.stage() {
        Stage::Held => "held",
        Stage::Begun => "begun",
        Stage::Known => "known",
        Stage::Answered => "answered",
    });
    format!("{outcome} → {}", stage.unwrap_or("none"))
}

#[test]
fn documented_table_matches_the_code() {
    let notes = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/design/work.md");
    let notes = std::fs::read_to_string(notes).expect("the design note");
    let row = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut table = row(std::iter::once("entry").chain(STAGES).map(String::from).collect());
    table += &row(vec!["---".into(); STAGES.len() + 1]);
    for entry in ENTRIES {
        let cells = STAGES.iter().map(|stage| cell(stage, entry));
        table += &row(std::iter::once(entry.to_string()).chain(cells).collect());
    }
    assert!(notes.contains(&table), "docs/design/work.md should contain this table:\n{table}");
}
