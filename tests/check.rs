//! Tests of the command `dandelionspool check`, run as a process.

use std::env;
use std::fs;
use std::path;
use std::process;

use rstest::rstest;
use serde_json::Value;

/// Runs `check` with `arguments` and returns its exit code, standard output and standard error.
fn check(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_dandelionspool"));
    let output = command.arg("check").args(arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Creates a file with `body`; its name contains `name` and the id of this process.
fn file(name: &str, body: &str) -> path::PathBuf {
    let path = env::temp_dir().join(format!("dandelionspool-{}-{name}", process::id()));
    fs::write(&path, body).unwrap();
    path
}

#[rstest]
fn an_example_is_accepted(#[files("examples/configurations/*.json")] path: path::PathBuf) {
    let (code, out, err) = check(&[path.to_str().unwrap()]);
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert!(out.contains("accepted by format 3: 2 organisations, 2 services"), "{out}");
}

#[test]
fn faults_are_listed_once_with_exit_code_1() {
    let path = file("faults.json", r#"{"format":1,"x":1,"teams":[{}]}"#);
    let name = path.to_str().unwrap();
    let (code, out, err) = check(&[name]);
    fs::remove_file(&path).unwrap();
    let wanted = format!(
        "dandelionspool: {name}: 2 faults in the file\n/teams/0: the field `name` is missing\n\
         /x: unknown field\n"
    );
    assert_eq!((code, out.as_str(), err), (Some(1), "", wanted));
}

#[test]
fn json_is_written_to_standard_output() {
    let path = file("json.json", r#"{"format":2}"#);
    let name = path.to_str().unwrap();
    let (code, out, err) = check(&["--json", name]);
    fs::remove_file(&path).unwrap();
    let verdict: Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, &verdict["accepted"]), (Some(1), &Value::from(false)));
    let wanted = serde_json::json!(
        [{"pointer": "/format", "code": "wrong_format", "found": "2", "known": 6}]
    );
    assert_eq!(verdict["faults"], wanted);
    assert_eq!(err, format!("dandelionspool: {name}: 1 fault in the file\n"));
}

#[rstest]
#[case::missing(&["/nowhere/file.json"], 1)]
#[case::no_file(&[], 2)]
#[case::unknown_flag(&["--colour", "file.json"], 2)]
fn exit_codes_are_stable(#[case] arguments: &[&str], #[case] wanted: i32) {
    let (code, _, err) = check(arguments);
    assert_eq!(code, Some(wanted), "{err}");
    assert!(!err.is_empty());
}
