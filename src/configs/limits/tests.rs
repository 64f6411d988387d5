use std::collections;

use serde_json::Value;

use crate::configs;
use crate::configs::limits;
use crate::mesh::fault;

/// Adds the pointers to the numbers in `value` to `found`.
fn numbers(value: &Value, pointer: &str, found: &mut collections::BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(k, v)| numbers(v, &fault::join(pointer, k), found));
        }
        Value::Number(_) => {
            found.insert(pointer.to_owned());
        }
        _ => {}
    }
}

#[test]
fn every_number_has_one_limit() {
    let tree = serde_json::to_value(configs::Node::default()).expect("settings serialise");
    let mut found = collections::BTreeSet::new();
    numbers(&tree, "", &mut found);
    let listed: collections::BTreeSet<String> =
        limits::NODE.iter().map(|l| l.pointer.to_owned()).collect();
    assert_eq!(listed, found, "add a limit to src/configs/limits.rs for each number");
    assert_eq!(limits::NODE.len(), listed.len(), "a number has two limits");
}

#[test]
fn the_defaults_lack_only_a_mesh_and_its_key() {
    let faults = configs::Node::default().check().expect_err("no mesh, no key");
    let pointers: Vec<&str> = faults.list().iter().map(|f| f.pointer.as_str()).collect();
    assert_eq!(pointers, ["/key", "/mesh"]);
}
