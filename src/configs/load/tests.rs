use std::path;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::configs;
use crate::configs::load;
use crate::configs::spread;

/// Reads the smallest valid node settings merged with `more`. The error lists the pointer and code
/// of each fault.
fn read(more: Value) -> Result<configs::Node, Vec<(String, String)>> {
    let mut file = json!({"mesh": "m", "key": "0123456789abcdef"});
    load::merge(&mut file, more);
    load::read(file.to_string().as_bytes()).map_err(|faults| {
        let list = serde_json::to_value(faults).expect("faults serialise");
        let text = |fault: &Value, field: &str| fault[field].as_str().expect("a text").to_owned();
        let list = list.as_array().expect("a list").iter();
        list.map(|fault| (text(fault, "pointer"), text(fault, "code"))).collect()
    })
}

fn expected(list: &[(&str, &str)]) -> Vec<(String, String)> {
    list.iter().map(|(p, c)| ((*p).to_owned(), (*c).to_owned())).collect()
}

#[test]
fn a_file_overrides_only_the_defaults_that_it_contains() {
    let settings = read(json!({"call": {"attempts": 5}})).expect("no fault");
    let mut wanted = configs::Node { mesh: "m".into(), ..configs::Node::default() };
    wanted.key = "0123456789abcdef".into();
    wanted.call.attempts = 5;
    assert_eq!(settings, wanted);
}

#[rstest]
#[case::condor("condor", spread::Spread::condor())]
#[case::cascadia("cascadia", spread::Spread::cascadia())]
fn a_preset_sets_its_values(#[case] name: &str, #[case] wanted: spread::Spread) {
    assert_eq!(read(json!({"preset": name})).expect("no fault").spread, wanted);
}

#[test]
fn the_file_overrides_its_preset() {
    let settings = read(json!({"preset": "condor", "spread": {"pull_ms": 7}})).expect("no fault");
    let wanted = spread::Spread { pull_ms: 7, ..spread::Spread::condor() };
    assert_eq!(settings.spread, wanted);
}

#[rstest]
#[case::unknown(json!({"colour": 1}), &[("/colour", "unknown_field")])]
#[case::unknown_inside(json!({"call": {"colour": 1}}), &[("/call/colour", "unknown_field")])]
#[case::text_for_a_number(json!({"call": {"attempts": "3"}}), &[("/call/attempts", "wrong_value")])]
#[case::too_large_for_its_type(json!({"call": {"attempts": 999}}), &[("/call/attempts", "out_of_range")])]
#[case::negative(json!({"usage": {"flush_ms": -1}}), &[("/usage/flush_ms", "out_of_range")])]
#[case::zero(json!({"member": {"probe_ms": 0}}), &[("/member/answer_ms", "out_of_proportion"), ("/member/probe_ms", "out_of_range")])]
#[case::proportion(json!({"member": {"answer_ms": 400}}), &[("/member/answer_ms", "out_of_proportion")])]
#[case::address(json!({"join": ["127.0.0.1:7000", "host"]}), &[("/join/1", "wrong_value")])]
#[case::no_host(json!({"listen": "0.0.0.0:7000"}), &[("/listen", "unspecified_address")])]
#[case::high_port(json!({"listen": "127.0.0.1:65530"}), &[("/listen", "out_of_range")])]
#[case::high_port_bound(json!({"bind": "0.0.0.0:65530"}), &[("/bind", "out_of_range")])]
#[case::no_port(json!({"join": ["127.0.0.1:0"]}), &[("/join/0", "out_of_range")])]
#[case::mesh(json!({"mesh": ""}), &[("/mesh", "wrong_length")])]
#[case::key(json!({"key": "short"}), &[("/key", "wrong_length")])]
#[case::preset(json!({"preset": "fast"}), &[("/preset", "wrong_choice")])]
#[case::section(json!({"call": 7}), &[("/call", "wrong_value")])]
#[case::several(
    json!({"call": {"attempts": 0, "x": 1}, "listen": 3, "zone": "", "preset": 1}),
    &[
        ("/call/attempts", "out_of_range"),
        ("/call/x", "unknown_field"),
        ("/listen", "wrong_value"),
        ("/preset", "wrong_choice"),
        ("/zone", "wrong_length"),
    ]
)]
fn every_fault_is_reported(#[case] more: Value, #[case] wanted: &[(&str, &str)]) {
    assert_eq!(read(more).expect_err("a fault"), expected(wanted));
}

#[test]
fn a_duplicate_key_is_reported() {
    let body = br#"{"mesh":"m","key":"0123456789abcdef","zone":"a","zone":"b"}"#;
    let faults = load::read::<configs::Node>(body).expect_err("a fault");
    assert_eq!(faults.to_string(), "/zone: the key stands twice in its object");
}

#[rstest]
#[case::list(b"[]")]
#[case::cut(b"{")]
fn a_file_without_settings_has_one_fault(#[case] body: &[u8]) {
    assert_eq!(load::read::<configs::Node>(body).expect_err("a fault").list().len(), 1);
}

#[test]
fn a_missing_file_is_reported() {
    let error = configs::load(path::Path::new("/nowhere/settings.json")).expect_err("no file");
    assert!(error.to_string().starts_with("/nowhere/settings.json: "), "{error}");
}

#[rstest]
fn an_example_is_accepted(#[files("examples/settings/*.json")] path: path::PathBuf) {
    configs::load(&path).expect("no fault");
}

const FILE: &[u8] = br#"{"mesh": "m", "key": "0123456789abcdef", "stop": {"serve_ms": 7}}"#;

#[rstest]
#[case::none("", 0.0)]
#[case::empty(" { } ", 0.0)]
#[case::one(r#"{"stop": {"kill_s": 6}}"#, 6.0)]
fn the_environment_overrides_single_settings_of_the_file(#[case] value: &str, #[case] kill_s: f64) {
    let overrides = load::read_overrides(value.as_bytes()).expect("no fault");
    let settings: configs::Node = load::read_with(FILE, overrides).expect("no fault");
    assert_eq!((settings.stop.kill_s, settings.stop.serve_ms), (kill_s, 7));
}

/// Guards against a node that runs with other settings than it was given: what can't be read is an
/// error, not ignored.
#[rstest]
#[case::no_json("{", "")]
#[case::no_object("[1]", "")]
#[case::twice(r#"{"stop": {"kill_s": 6, "kill_s": 7}}"#, "/stop/kill_s")]
fn overrides_that_are_no_object_are_an_error(#[case] value: &str, #[case] pointer: &str) {
    let faults = load::read_overrides(value.as_bytes()).expect_err("a fault");
    assert!(faults.list().iter().any(|fault| fault.pointer == pointer), "{faults}");
}

#[rstest]
#[case::unknown(r#"{"stop": {"kill": 6}}"#, "/stop/kill")]
#[case::negative(r#"{"stop": {"kill_s": -1}}"#, "/stop/kill_s")]
#[case::text(r#"{"stop": {"kill_s": "6s"}}"#, "/stop/kill_s")]
fn a_fault_of_an_override_names_the_setting(#[case] value: &str, #[case] pointer: &str) {
    let overrides = load::read_overrides(value.as_bytes()).expect("an object");
    let faults = load::read_with::<configs::Node>(FILE, overrides).expect_err("a fault");
    assert!(faults.list().iter().any(|fault| fault.pointer == pointer), "{faults}");
}
