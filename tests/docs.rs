//! Checks that the pages under docs/ agree with the source code.

use std::collections;
use std::fs;
use std::path;

use rstest::rstest;

fn read(name: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(name)).unwrap()
}

/// Names in the first column of every table of a page.
fn table_names(page: &str) -> collections::BTreeSet<String> {
    let rows = page.lines().filter_map(|l| l.strip_prefix("| "));
    let names = rows.filter_map(|r| r.split(" |").next());
    names.map(|n| n.trim_matches('`').to_owned()).collect()
}

/// Crates declared in the dependency sections of the manifest.
fn declared_crates() -> collections::BTreeSet<String> {
    let manifest = read("Cargo.toml");
    let mut names = collections::BTreeSet::new();
    let mut inside = false;
    for line in manifest.lines() {
        if line.starts_with('[') {
            inside = line.ends_with("dependencies]");
            continue;
        }
        if let Some((name, _)) = line.split_once('=').filter(|_| inside) {
            names.insert(name.trim().to_owned());
        }
    }
    names
}

#[rstest]
fn dependencies_page_names_exactly_the_declared_crates() {
    let mut listed = table_names(&read("docs/DEPENDENCIES.md"));
    listed.remove("crate");
    assert_eq!(listed, declared_crates());
}

/// Appends all Rust sources under `dir` to `text`.
fn append_sources(dir: &path::Path, text: &mut String) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|e| e == "rs") {
            text.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}

#[rstest]
fn every_test_named_in_the_promises_exists() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    append_sources(&root.join("src"), &mut text);
    append_sources(&root.join("tests"), &mut text);
    append_sources(&root.join("platform"), &mut text);
    let page = read("docs/PROMISES.md");
    let names: Vec<_> = page.split('`').skip(1).step_by(2).filter(|n| n.contains('_')).collect();
    assert!(names.len() > 20);
    let missing: Vec<_> = names.iter().filter(|n| !text.contains(&format!("fn {n}("))).collect();
    assert!(missing.is_empty(), "no such tests: {missing:?}");
}

/// Collects the paths of all Rust sources under `dir`.
fn source_files(dir: &path::Path, found: &mut Vec<path::PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            source_files(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Only the adapter in platform/ may contain the names that the platform uses.
#[rstest]
fn names_of_the_platform_stay_in_its_folder() {
    let names = [
        "attempt-id",
        "timeout-ms",
        "caller-service",
        "expected-instance",
        "not-executed",
        "server-signature",
        "log-append",
        "log-newest",
        "keyed.op",
        "heartbeataddr",
    ];
    let mut found = Vec::new();
    source_files(&path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut found);
    assert!(found.len() > 100, "too few sources found");
    for path in found {
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        let name = names.iter().find(|name| text.contains(*name));
        assert_eq!(name, None, "{} contains a name that belongs to platform/", path.display());
    }
}

/// Messages of the log lines of level error, warn and info in `text`: the first literal of each.
fn messages(text: &str) -> impl Iterator<Item = String> + '_ {
    let macros = ["log::error!(", "log::warn!(", "log::info!("];
    let calls = macros.into_iter().flat_map(move |name| text.split(name).skip(1));
    calls.filter_map(|call| call.split('"').nth(1)).map(str::to_owned)
}

#[rstest]
fn the_page_of_log_lines_names_exactly_those_that_are_written() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    source_files(&root.join("src"), &mut found);
    let excluded = ["src/bench", "src/standin", "src/bin"].map(|dir| root.join(dir));
    let is_test = |path: &path::Path| path.components().any(|c| c.as_os_str() == "tests");
    found.retain(|path| !excluded.iter().any(|dir| path.starts_with(dir)) && !is_test(path));
    let texts: Vec<_> = found.iter().map(|path| fs::read_to_string(path).unwrap()).collect();
    let written: collections::BTreeSet<_> = texts.iter().flat_map(|t| messages(t)).collect();
    let page = read("docs/LOGS.md");
    let (lines, _) = page.split_once("| field |").unwrap();
    let mut listed = table_names(lines);
    listed.remove("msg");
    assert!(written.len() > 40);
    assert_eq!(listed, written);
}
