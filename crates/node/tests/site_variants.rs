//! Checks the site files of customers under `deploy/sites`: each folder has what a benchmark needs, and each
//! fault is reported with its file and key.

#[path = "common/sites.rs"]
mod sites;

use sites::check;
use std::path::{Path, PathBuf};

/// Minimum number of customers' folders.
const MIN_SITES: usize = 2;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites")
}

#[test]
fn every_site_folder_has_the_files_a_benchmark_needs() {
    let folders = std::fs::read_dir(root()).expect("deploy/sites");
    let mut names: Vec<String> = folders
        .map(|entry| entry.unwrap())
        .filter(|entry| entry.path().is_dir())
        .map(|entry| entry.file_name().into_string().expect("a plain name"))
        .collect();
    names.sort();
    let wrong: Vec<String> = names.iter().flat_map(|name| check(&root(), name)).collect();
    println!("{} sites were checked: {}", names.len(), names.join(", "));
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    assert!(names.len() >= MIN_SITES, "{} sites are there: {}", names.len(), names.join(", "));
}

/// A minimal valid site.
const GOOD: &str = r#"
name = "x"
wire = "wire.json"

[load]
quiet = [0.2, 0.3]

[[class]]
name = "look"
share = 0.6
work_ms = [10, 20]
aim_ms = 100
deadline_ms = 200
effect = "safe"

[[class]]
name = "charge"
share = 0.4
work_ms = 5
aim_ms = 100
deadline_ms = 100
effect = "keyed"
window_ms = 300

[[tenant]]
name = "north"
share = 0.5

[[tenant]]
name = "south"
share = 0.5

[fam]
say = "level"

[[fam.class]]
calls = [0, 1]

[[fam.class]]
calls = 0

[[trouble]]
name = "burst"
len_s = [39, 21]
size = [1.3, 1.6]
"#;

/// The text to replace, its replacement, and the expected message.
const BROKEN: &[(&str, &str, &str)] = &[
    ("[load]", "[load", "x.toml: is no TOML"),
    ("name = \"x\"", "", "x.toml: name: is missing"),
    ("name = \"x\"", "name = 3", "x.toml: name: must be a text"),
    ("name = \"x\"", "name = \"y\"", "x.toml: name: is y, and the folder is x"),
    ("wire = \"wire.json\"", "", "x.toml: wire: is missing"),
    ("\"wire.json\"", "\"wires.json\"", "x.toml: wire: names wires.json, which is not there"),
    ("\"wire.json\"", "\"../x/wire.json\"", "x.toml: wire: must name a file beside it"),
    ("[0.2, 0.3]", "[0.4, 0.3]", "x.toml: load.quiet: is a range that ends before it begins"),
    (
        "work_ms = [10, 20]",
        "work_ms = [21, 20]",
        "x.toml: class[0].work_ms: is a range that ends before it begins",
    ),
    ("calls = [0, 1]", "calls = [2, 1]", "x.toml: fam.class[0].calls: is a range that ends before it begins"),
    ("share = 0.6", "share = 0.58", "x.toml: class: the shares add up to 0.98"),
    ("share = 0.6", "", "x.toml: class[0].share: is missing"),
    ("share = 0.4", "share = \"0.4\"", "x.toml: class[1].share: must be a number"),
    ("share = 0.6", "share = -0.6", "x.toml: class[0].share: must be above 0"),
    (
        "name = \"south\"\nshare = 0.5",
        "name = \"south\"\nshare = 0.7",
        "x.toml: tenant: the shares add up to 1.2",
    ),
    ("effect = \"safe\"", "effect = \"free\"", "x.toml: class[0].effect: must be safe, keyed or unsafe"),
    ("effect = \"safe\"", "", "x.toml: class[0].effect: is missing"),
    ("window_ms = 300", "", "x.toml: class[1].window_ms: is missing; a keyed class needs one"),
    ("effect = \"keyed\"", "effect = \"unsafe\"", "x.toml: class[1].window_ms: is for keyed classes only"),
    ("deadline_ms = 200", "deadline_ms = 99", "x.toml: class[0].aim_ms: is beyond deadline_ms"),
    ("deadline_ms = 200", "", "x.toml: class[0].deadline_ms: is missing"),
    ("name = \"charge\"", "name = \"look\"", "x.toml: class[1].name: look is there twice"),
    ("name = \"south\"", "name = \"north\"", "x.toml: tenant[1].name: north is there twice"),
    (
        "name = \"charge\"",
        "name = \"char ge\"",
        "x.toml: class[1].name: must hold small letters, digits and '-' only",
    ),
    (
        "name = \"north\"",
        "name = \"\"",
        "x.toml: tenant[0].name: must hold small letters, digits and '-' only",
    ),
    ("[[fam.class]]\ncalls = 0\n", "", "x.toml: fam.class: has 1 entries, and class has 2"),
    ("calls = 0\n", "calls = 0\n[[fam.class]]\n", "x.toml: fam.class: has 3 entries, and class has 2"),
    (
        "size = [1.3, 1.6]",
        "size = [1.7, 1.6]",
        "x.toml: trouble[0].size: is a range that ends before it begins",
    ),
];

/// The site `x` in a temporary folder, which is removed on drop.
struct Site(PathBuf);

impl Site {
    fn new(what: &str) -> Site {
        let root = std::env::temp_dir().join(format!("jaspershunt-site-{what}-{}", std::process::id()));
        let site = Site(root);
        std::fs::create_dir_all(site.0.join("x")).unwrap();
        site.put("x.toml", GOOD);
        for json in ["real.json", "wire.json"] {
            site.put(json, "{}");
        }
        site.put("unlock.txt", "unlock 1\n");
        site
    }

    fn put(&self, file: &str, text: &str) {
        std::fs::write(self.0.join("x").join(file), text).unwrap();
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn each_fault_is_reported_with_its_file_and_key() {
    let site = Site::new("keys");
    assert_eq!(check(&site.0, "x"), Vec::<String>::new());
    for (part, other, message) in BROKEN {
        // The last occurrence, as some texts occur several times.
        let (before, after) = GOOD.rsplit_once(part).unwrap_or_else(|| panic!("{part}"));
        site.put("x.toml", &format!("{before}{other}{after}"));
        let wrong = check(&site.0, "x");
        let message = format!("deploy/sites/x/{message}");
        assert!(wrong.iter().any(|line| line.starts_with(&message)), "{message} is not in {wrong:#?}");
        // A fault must not cause unrelated reports.
        assert!(wrong.len() <= 2, "{part}: {wrong:#?}");
    }
}

#[test]
fn missing_and_non_json_files_are_reported() {
    for file in ["x.toml", "real.json", "wire.json", "unlock.txt"] {
        let site = Site::new(file);
        std::fs::remove_file(site.0.join("x").join(file)).unwrap();
        let wrong = check(&site.0, "x");
        assert!(wrong.contains(&format!("deploy/sites/x/{file}: is missing")), "{wrong:#?}");
    }
    for (file, text) in [("real.json", "{"), ("wire.json", "[]")] {
        let site = Site::new(&format!("no-{file}"));
        site.put(file, text);
        let wrong = check(&site.0, "x");
        assert_eq!(wrong.len(), 1, "{wrong:#?}");
        assert!(wrong[0].starts_with(&format!("deploy/sites/x/{file}: is no JSON object")), "{wrong:#?}");
    }
}
