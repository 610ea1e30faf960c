//! Tests of the messages for each kind of error, and that a written file reads back unchanged.

use super::*;

const GOOD: &str = r#"
dependency "padron" {
  addresses = ["127.0.0.1:5441", "127.0.0.1:5442"]
  calls     = 8
  rate      = "200/s"
  share     = "40%"
  fall_back = "replica"
  breaker {
    window = "2s"
  }
}
dependency "replica" {
  addresses = ["127.0.0.1:5443"]
}
route "consulta-estado" {
  repeat  = "safe"
  without = true
  call "1" {
    to   = "padron"
    kept = "30s"
  }
  call "any" { to = "replica" }
}
route "registrar-firma" {
  repeat = "keyed"
  call "any" { to = "padron" }
}
"#;

/// Returns all messages for the good file after one replacement.
fn errors_for(from: &str, to: &str) -> Vec<String> {
    assert!(GOOD.contains(from), "{from}");
    let text = GOOD.replacen(from, to, 1);
    read("f.hcl", &text).expect_err(&text).iter().map(Problem::to_string).collect()
}

#[test]
fn a_file_is_read_with_defaults_filled_in() {
    let file = read("f.hcl", GOOD).unwrap();
    let padron = &file.dependency["padron"];
    assert_eq!((padron.calls, padron.waiting, padron.addresses.len()), (8, 16, 2));
    assert_eq!(padron.rate, Some(Rate(200.0)));
    assert_eq!((padron.breaker.window, padron.breaker.probes), (Span::ms(2000), 2));
    assert_eq!(file.route["consulta-estado"].call["1"].kept, Some(Span::ms(30_000)));
    assert_eq!(file.retries.share, Share::percent(10.0));
    assert_eq!(read("f.hcl", "").unwrap(), File::default());
}

#[test]
fn a_written_file_reads_back_unchanged() {
    let file = read("f.hcl", GOOD).unwrap();
    let text = explain::explain(&file);
    assert!(text.contains("  timeout = \"2s\"\n") && !text.contains("null"), "{text}");
    assert_eq!(read("g.hcl", &text).unwrap(), file);
    assert_eq!(read("g.hcl", &explain::explain(&File::default())).unwrap(), File::default());
}

#[test]
fn every_error_names_its_position_its_key_and_the_expected_value() {
    let cases: &[(&str, &str, &str)] = &[
        (
            "calls     = 8",
            "cals = 8",
            "f.hcl:4:3: dependency.padron.cals: is not known; did you mean \"calls\"?",
        ),
        (
            "calls     = 8",
            "xyzzyx = 8",
            "f.hcl:4:3: dependency.padron.xyzzyx: is not known; expected one of addresses, calls,",
        ),
        (
            "window = \"2s\"",
            "window = 2000",
            "f.hcl:9:5: dependency.padron.breaker.window: must be a duration with its unit, such as \"250ms\", \
             \"2s\", \"5m\" or \"1h\", not the bare number 2000",
        ),
        (
            "\"2s\"",
            "\"2 s\"",
            "f.hcl:9:5: dependency.padron.breaker.window: must be a duration with its unit",
        ),
        ("\"2s\"", "\"99999999999999999h\"", "must be a duration with its unit"),
        ("\"200/s\"", "200", "f.hcl:5:3: dependency.padron.rate: must be a rate with its unit"),
        ("\"40%\"", "0.4", "f.hcl:6:3: dependency.padron.share: must be a share from \"0%\" to \"100%\""),
        ("\"40%\"", "\"140%\"", "must be a share from \"0%\" to \"100%\", not \"140%\""),
        ("\"40%\"", "\"0%\"", "f.hcl:6:3: dependency.padron.share: must be above 0%"),
        ("\"40%\"", "\"90%\"", "dependency.replica.share: brings the shares of all dependencies to 115%"),
        ("calls     = 8", "calls = 0", "f.hcl:4:3: dependency.padron.calls: lower than 1"),
        ("calls     = 8", "calls = -8", "f.hcl:4:3: dependency.padron.calls: must be"),
        (
            "calls     = 8",
            "calls = [8]",
            "dependency.padron.calls: must be a whole number of 0 or more, not a list",
        ),
        ("calls     = 8", "calls = 4 + 4", "must be a literal value: expressions are not supported"),
        ("calls     = 8", "calls = 8\n  calls = 9", "f.hcl:5:3: this is not valid HCL"),
        ("\"127.0.0.1:5442\"", "\"replica.local\"", "f.hcl:3:34: dependency.padron.addresses.1: "),
        ("[\"127.0.0.1:5443\"]", "[]", "f.hcl:13:3: dependency.replica.addresses: length is lower than 1"),
        ("addresses = [\"127.0.0.1:5443\"]", "", "f.hcl:12:1: dependency.replica: addresses is missing"),
        (
            "\"replica\"\n  breaker",
            "\"relpica\"\n  breaker",
            "f.hcl:7:3: dependency.padron.fall_back: names \"relpica\"",
        ),
        (
            "addresses = [\"127.0.0.1:5443\"]",
            "addresses = [\"127.0.0.1:5443\"]\n  fall_back = \"padron\"",
            "f.hcl:7:3: dependency.padron.fall_back: forms a cycle: padron → replica → padron",
        ),
        (
            "\"safe\"",
            "\"sure\"",
            "f.hcl:16:3: route.consulta-estado.repeat: must be one of safe, keyed, unsafe",
        ),
        ("repeat  = \"safe\"", "", "f.hcl:15:1: route.consulta-estado: repeat is missing"),
        (
            "repeat = \"keyed\"",
            "repeat = \"keyed\"\n  without = true",
            "route.registrar-firma.without: a keyed class",
        ),
        (
            "call \"any\" { to = \"padron\" }",
            "call \"any\" {\n to = \"padron\"\n kept = \"1s\"\n }",
            "call.any.kept: a keyed class must never be answered from a cached reply",
        ),
        (
            "repeat  = \"safe\"",
            "repeat = \"unsafe\"",
            "f.hcl:17:3: route.consulta-estado.without: an unsafe class",
        ),
        (
            "call \"1\"",
            "call \"first\"",
            "route.consulta-estado.call.first: must be labelled by its position",
        ),
        ("call \"1\"", "call \"any\"", "call.any: is defined twice"),
        ("call \"1\"", "call", "route.consulta-estado.call: needs one label"),
        ("call \"any\" { to = \"replica\" }", "", "route.consulta-estado.call: needs a block call \"any\""),
        ("to = \"replica\"", "to = \"rep\"", "f.hcl:22:16: route.consulta-estado.call.any.to: names \"rep\""),
        ("  breaker {", "  breaker \"x\" {", "f.hcl:8:3: dependency.padron.breaker: takes no label"),
        (
            "dependency \"replica\"",
            "dependency \"padron\"",
            "f.hcl:12:1: dependency.padron: is defined twice",
        ),
        ("dependency \"replica\"", "dependency \"re plica\"", "must be named by 1 to 64 letters"),
        ("dependency \"padron\" {", "dependency \"padron\" {{", "this is not valid HCL"),
        ("calls     = 8", "calls = \"${1}\"", "must be a literal value"),
    ];
    for (from, to, expected) in cases {
        let messages = errors_for(from, to);
        assert!(messages.iter().any(|line| line.contains(expected)), "{to}: {messages:#?}");
    }
}

#[test]
fn several_conflicts_between_blocks_are_reported_at_once() {
    let messages = read(
        "f.hcl",
        &GOOD
            .replace("to = \"replica\"", "to = \"a\"")
            .replace("any\" { to = \"padron\"", "any\" { to = \"b\""),
    );
    assert_eq!(messages.unwrap_err().len(), 2);
}

#[test]
fn the_settings_must_match_the_routes_of_each_class() {
    use check::{Class, against_settings};
    let file = read("f.hcl", GOOD).unwrap();
    let mut classes = vec![
        Class { name: "consulta-estado", repeat: Repeat::Safe, calls: true },
        Class { name: "registrar-firma", repeat: Repeat::Keyed, calls: true },
    ];
    assert_eq!(against_settings(&file, &classes), []);
    classes[1].repeat = Repeat::Unsafe;
    classes.push(Class { name: "verificar-firma", repeat: Repeat::Safe, calls: true });
    classes.push(Class { name: "quiet", repeat: Repeat::Safe, calls: false });
    let messages: Vec<String> = against_settings(&file, &classes).into_iter().map(|(key, _)| key).collect();
    assert_eq!(messages, ["route.registrar-firma.repeat", "route.verificar-firma"]);
    let messages = against_settings(&file, &classes[..1]);
    assert_eq!(messages[0].0, "route.registrar-firma");
}

#[test]
fn quantities_keep_their_value_through_text() {
    for text in ["0ms", "1ms", "90s", "2m", "3h"] {
        assert_eq!(text.parse::<Span>().unwrap().to_string(), text);
    }
    for text in ["0B", "512B", "64KiB", "3MiB", "1GiB"] {
        assert_eq!(text.parse::<Size>().unwrap().to_string(), text);
    }
    for text in ["0%", "33.3%", "100%"] {
        assert_eq!(text.parse::<Share>().unwrap().to_string(), text);
    }
    for text in ["", "ms", "5", "-5ms", "5.5ms", "5 ms", "5MS", "١ms"] {
        assert_eq!(text.parse::<Span>(), Err(units::ParseQuantityError), "{text}");
    }
    for text in ["", "%", "1e1%", "NaN%", "-1%", "101%", "5"] {
        assert_eq!(text.parse::<Share>(), Err(units::ParseQuantityError), "{text}");
    }
    for text in ["0/s", "inf/s", "5", "5/m"] {
        assert_eq!(text.parse::<Rate>(), Err(units::ParseQuantityError), "{text}");
    }
}

/// The parser recurses into brackets and must reject deep nesting before its stack overflows.
#[test]
fn deeply_nested_files_are_rejected() {
    for (open, depth) in [("[", 100_000), ("{", 100_000), ("(", 100_000), ("!", 100_000)] {
        let text = format!("dependency \"a\" {{\n  calls = {}\n}}\n", open.repeat(depth));
        let messages = read("f.hcl", &text).unwrap_err();
        assert!(messages[0].what.contains("this is not valid HCL"), "{:?}", messages[0]);
    }
}

/// The example file must show every key, and the defaults in its comments must be correct.
#[test]
fn the_example_is_valid_and_shows_every_key() {
    let text = include_str!("../../../deploy/operator-example.hcl");
    let file = read("operator-example.hcl", text).unwrap();
    let written = explain::explain(&file);
    for line in written.lines().filter_map(|line| line.trim().split_once(" = ")) {
        assert!(text.contains(&format!(" {} ", line.0)), "{} is not shown", line.0);
    }
    let registro = &file.dependency["registro"];
    assert_eq!((&registro.breaker, &registro.limit), (&Breaker::default(), &Limit::default()));
    assert_eq!((&file.retries, &file.kept), (&Retries::default(), &Kept::default()));
    let padron = &file.dependency["padron"];
    assert_eq!(
        (registro.waiting, registro.wait, registro.bytes),
        (padron.waiting, padron.wait, padron.bytes)
    );
    assert_eq!(
        (registro.linger, registro.timeout, registro.guests),
        (padron.linger, padron.timeout, padron.guests)
    );
    assert_eq!((padron.calls, padron.connections, padron.share), (16, 16, Share::percent(25.0)));
}

const FLEET: &str = r#"
fleet {
  name   = "cordoba"
  folder = "/var/lib/jaspershunt"
  voter "n1" { address = "10.0.0.1:7400" }
  voter "n2" { address = "10.0.0.2:7400" }
  voter "n3" { address = "10.0.0.3:7400" }
}
task "cierre" {
  address = "10.0.1.1:8080"
  path    = "/cierre"
  cron    = "30 2 * * *"
}
task "sonda" {
  address = "10.0.1.2:8080"
  every   = "30s"
  grade   = "timed"
}
"#;

#[test]
fn a_fleet_and_its_tasks_read_back_unchanged() {
    let file = read("f.hcl", FLEET).unwrap();
    let fleet = file.fleet.as_ref().unwrap();
    assert_eq!((fleet.ttl, fleet.links, fleet.voter.len()), (Span::ms(10_000), 64, 3));
    assert_eq!((file.task["cierre"].grade, file.task["sonda"].grade), (Grade::Checked, Grade::Timed));
    assert_eq!(read("g.hcl", &explain::explain(&file)).unwrap(), file);
}

#[test]
fn an_invalid_fleet_is_rejected_by_key() {
    for (from, to, key, what) in [
        ("  voter \"n3\" { address = \"10.0.0.3:7400\" }\n", "", "5:3: fleet.voter", "an even number"),
        ("10.0.0.3:7400", "10.0.0.2:7400", "fleet.voter.n3.address", "also another voter's"),
        ("10.0.0.3:7400", "10.0.0.3:0", "fleet.voter.n3.address", "a port above 0"),
        ("\"cordoba\"", "\"con espacio\"", "3:3: fleet.name", "1 to 48 letters"),
        ("  folder", "  drift = \"30%\"\n  folder", "fleet.drift", "at most 20%"),
        ("  folder", "  ttl = \"100ms\"\n  folder", "fleet.ttl", "at least 500ms"),
        ("  cron    = \"30 2 * * *\"\n", "", "task.cierre", "needs every or cron as its schedule"),
        ("  every ", "  cron = \"* * * * *\"\n  every ", "task.sonda.cron", "set only one of them"),
        ("\"30s\"", "\"30ms\"", "task.sonda.every", "at least 1s"),
        ("\"/cierre\"", "\"cierre\"", "task.cierre.path", "begin with '/'"),
        (
            "\"timed\"",
            "\"timed\"\n  timeout = \"5s\"",
            "task.sonda.timeout",
            "half of fleet.ttl, which is 10s",
        ),
        ("\"timed\"", "\"tmied\"", "task.sonda.grade", "one of checked, timed"),
        ("task \"sonda\"", "task \"son da\"", "task.son da", "1 to 48 letters"),
    ] {
        assert!(FLEET.contains(from), "{from}");
        let messages = read("f.hcl", &FLEET.replacen(from, to, 1)).expect_err(key);
        let messages: Vec<String> = messages.iter().map(Problem::to_string).collect();
        assert!(messages.iter().any(|line| line.contains(key) && line.contains(what)), "{key}: {messages:?}");
    }
    let task = FLEET.split("task").nth(1).unwrap();
    let messages = read("f.hcl", &format!("task{task}")).unwrap_err();
    assert!(messages[0].to_string().contains("needs a fleet block"), "{}", messages[0]);
}

const HANDOVER: &str = r#"
handover "registrar-firma" {
  effect   = "asks"
  resource = "10.0.1.3:8080"
  path     = "/operaciones"
}
handover "anotar" {
  effect = "fenced"
  full   = "run"
}
team "firmas" {
  owns    = ["class/registrar-firma", "dependency/padron"]
  cut_off = "refuse"
}
team "sellos" {}
steering {
  every    = "2s"
  capacity = "200/s"
  by       = "field"
  field    = "X-Org"
}
history {
  folder = "/var/lib/jaspershunt/histories"
}
"#;

fn with_handover() -> String {
    let fleet = FLEET.replace("  folder", "  region = \"norte\"\n  folder");
    format!("{}{HANDOVER}", fleet.split("task").next().unwrap())
}

#[test]
fn handovers_teams_and_steering_read_back_unchanged() {
    let file = read("f.hcl", &with_handover()).unwrap();
    let (asks, fenced) = (&file.handover["registrar-firma"], &file.handover["anotar"]);
    assert_eq!((asks.full, asks.timeout, fenced.full), (Full::Refuse, Span::ms(2000), Full::Run));
    assert_eq!(file.team["firmas"].owns.len(), 2);
    assert_eq!((file.team["firmas"].cut_off, file.team["sellos"].cut_off), (CutOff::Refuse, CutOff::Hold));
    let steering = file.steering.as_ref().unwrap();
    assert_eq!((steering.by, steering.delays, steering.capacity.0), (By::Field, Delays::Kernel, 200.0));
    assert_eq!(file.history.as_ref().unwrap().bytes, units::Size(16 * 1024 * 1024));
    assert_eq!(read("g.hcl", &explain::explain(&file)).unwrap(), file);
    for (class, effect, says) in [
        ("registrar-firma", Effect::Asks, "10.0.1.3:8080/operaciones is queried by operation key"),
        ("registrar-firma", Effect::Asks, "rejects lower tokens of that key; this cannot be checked here"),
        ("anotar", Effect::Fenced, "this cannot be checked here. A run that fails is not run again"),
        (
            "anotar",
            Effect::Unknown,
            "a run that fails, is never run again: its outcome is stored as 'unknown'",
        ),
    ] {
        let promise = explain::promise(&Handover { effect, ..file.handover[class].clone() });
        assert!(promise.contains(says), "{promise}");
        // The text must start with the effect.
        let name = format!("{effect:?}: ").to_lowercase();
        assert!(promise.starts_with(&name), "{promise}");
    }
}

#[test]
fn invalid_handovers_are_rejected_by_key() {
    let good = with_handover();
    for (from, to, key, what) in [
        ("\"asks\"", "\"asked\"", "12:3: handover.registrar-firma.effect", "one of asks, fenced, unknown"),
        ("  resource = \"10.0.1.3:8080\"\n", "", "handover.registrar-firma.resource", "is missing"),
        (
            "\"fenced\"",
            "\"fenced\"\n  resource = \"10.0.1.3:80\"",
            "handover.anotar.resource",
            "leave it out",
        ),
        ("10.0.1.3:8080", "10.0.1.3:0", "handover.registrar-firma.resource", "a port above 0"),
        ("\"/operaciones\"", "\"operaciones\"", "handover.registrar-firma.path", "begin with '/'"),
        ("\"run\"", "\"walk\"", "handover.anotar.full", "one of run, refuse"),
        ("class/registrar-firma", "clase/registrar-firma", "team.firmas.owns", "\"class/NAME\""),
        ("\"refuse\"", "\"refused\"", "team.firmas.cut_off", "one of hold, refuse"),
        ("team \"firmas\"", "team \"fir mas\"", "team.fir mas", "1 to 48 letters"),
        ("\"2s\"", "\"2ms\"", "steering.every", "at least 100ms"),
        ("\"2s\"", "\"20m\"", "steering.every", "600s at most"),
        ("  capacity = \"200/s\"\n", "", "steering", "capacity is missing"),
        ("200/s", "0/s", "steering.capacity", "must be a rate"),
        ("200/s", "5000000/s", "steering.capacity", "must be a rate"),
        ("  field    = \"X-Org\"\n", "", "steering.field", "is missing"),
        ("\"field\"", "\"balancer\"", "steering.field", "leave it out"),
        ("\"field\"", "\"fields\"", "steering.by", "one of balancer, address, field"),
        ("histories\"\n", "histories\"\n  bytes = \"1KiB\"\n", "history.bytes", "at least 64KiB"),
        ("  region = \"norte\"\n", "", "steering", "needs fleet.region"),
        ("\"norte\"", "\"nor te\"", "fleet.region", "1 to 48 letters"),
    ] {
        assert!(good.contains(from), "{from}");
        let messages = read("f.hcl", &good.replacen(from, to, 1)).expect_err(key);
        let messages: Vec<String> = messages.iter().map(Problem::to_string).collect();
        assert!(messages.iter().any(|line| line.contains(key) && line.contains(what)), "{key}: {messages:?}");
    }
    let messages: Vec<String> = read("f.hcl", HANDOVER).unwrap_err().iter().map(Problem::to_string).collect();
    assert_eq!(
        messages.iter().filter(|line| line.contains("needs a fleet block")).count(),
        6,
        "{messages:?}"
    );
}

#[test]
fn a_handover_class_must_be_keyed() {
    let route = "route \"anotar\" {\n  repeat = \"safe\"\n  call \"any\" { to = \"padron\" }\n}\ndependency \"padron\" {\n  addresses = [\"127.0.0.1:1\"]\n}\n";
    let messages = read("f.hcl", &format!("{}{route}", with_handover())).unwrap_err();
    assert!(messages[0].to_string().contains("handover.anotar: must be a keyed class"), "{}", messages[0]);
    let file = read("f.hcl", &with_handover()).unwrap();
    let class = |name, repeat| check::Class { name, repeat, calls: false };
    let messages = check::against_settings(&file, &[class("anotar", Repeat::Unsafe)]);
    assert_eq!(messages.len(), 2);
    assert!(
        messages[0].0 == "handover.anotar" && messages[0].1.contains("must be a keyed class"),
        "{messages:?}"
    );
    assert!(
        messages[1].0 == "handover.registrar-firma" && messages[1].1.contains("no class"),
        "{messages:?}"
    );
    let classes = [class("anotar", Repeat::Keyed), class("registrar-firma", Repeat::Keyed)];
    assert_eq!(check::against_settings(&file, &classes), []);
}
