//! The program must work for any deployment: differences belong into the settings, and the code that the platform
//! builds must not contain the name of a known site, class, tenant or kind of machine.

use std::path::{Path, PathBuf};

/// Names of known deployments. Names that are also common words are searched for in quotes.
const NAMES: [&str; 27] = [
    "firma-cordoba",
    "sala-cordoba",
    "nodos-firma",
    "nodo-viejo",
    "nodo-nuevo",
    "consulta-estado",
    "verificar-firma",
    "registrar-firma",
    "escribania-norte",
    "banco-litoral",
    "seguros-pampa",
    "estudio-andes",
    "nairobi-docs",
    "doc-servers",
    "old-rack",
    "new-rack",
    "page-view",
    "\"search\"",
    "page-edit",
    "pwani-bank",
    "rift-telecom",
    "tana-insure",
    "kilele-software",
    "bergen-hall",
    "pay-nodes",
    "balance-view",
    "\"charge\"",
];

fn rust_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap_or_else(|e| panic!("{}: {e}", folder.display())) {
        let path = entry.unwrap().path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs")
            && path.file_name() != Some("tests.rs".as_ref())
        {
            found.push(path);
        }
    }
}

/// Returns the numbered lines of a file that are built into the program, without comments and tests.
fn built(text: &str) -> impl Iterator<Item = (usize, &str)> {
    let lines = text.lines().take_while(|line| *line != "#[cfg(test)]").enumerate();
    lines.filter(|(_, line)| !line.trim_start().starts_with("//")).map(|(at, line)| (at + 1, line))
}

fn named(text: &str) -> Vec<(usize, &'static str)> {
    built(text)
        .flat_map(|(at, line)| NAMES.iter().filter(|n| line.contains(**n)).map(move |n| (at, *n)))
        .collect()
}

#[test]
fn the_program_contains_no_name_of_a_deployment() {
    let deploy = include_str!("../deploy/balancer.toml");
    let (_, node) = deploy.split_once("node = [").expect("the deploy file names what is built");
    let (node, _) = node.split_once(']').expect("a list");
    let folders: Vec<&str> = node.split('"').skip(1).step_by(2).collect();
    assert!(folders.contains(&"src") && folders.len() > 5, "{folders:?}");
    let mut files = Vec::new();
    folders
        .iter()
        .for_each(|folder| rust_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join(folder), &mut files));
    assert!(files.len() > 50, "{}", files.len());
    for file in files {
        assert_eq!(named(&std::fs::read_to_string(&file).unwrap()), [], "{}", file.display());
    }
    assert!(NAMES.iter().all(|name| !deploy.contains(name)));
}

#[test]
fn names_are_found_in_built_code_only() {
    assert_eq!(named("if class == \"page-edit\" {\n"), [(1, "page-edit")]);
    assert_eq!(named("//! as `page-edit` is\n#[cfg(test)]\nmod tests { \"page-edit\" }\n"), []);
}
