//! Verdicts of the formats before the latest one, which must never change: nodes of different builds
//! have to agree on each version in the log. A new rule needs a new format number; the files here
//! are never edited. Those of formats 3 and 4, which have the same schema, are in one directory.

use std::fs;
use std::path;

use dandelionspool::mesh::check;
use rstest::rstest;

/// The verdict on `body`: one line with pointer and code for each fault; empty for an accepted
/// file.
fn verdict(body: &[u8]) -> String {
    let Err(faults) = check::check(body) else { return String::new() };
    let line = |fault| {
        let fault = serde_json::to_value(fault).unwrap();
        let text = |field: &str| fault[field].as_str().unwrap().to_owned();
        format!("{} {}\n", text("pointer"), text("code"))
    };
    faults.list().iter().map(line).collect()
}

#[rstest]
fn a_frozen_verdict_does_not_change(
    #[files("tests/format1/*.json")]
    #[files("tests/format4/*.json")]
    #[files("tests/format5/*.json")]
    path: path::PathBuf,
) {
    let wanted = fs::read_to_string(path.with_extension("verdict")).unwrap();
    assert_eq!(verdict(&fs::read(&path).unwrap()), wanted);
}
