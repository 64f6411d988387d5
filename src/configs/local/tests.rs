use std::collections;
use std::fs;
use std::path;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::configs::load;
use crate::configs::local;
use crate::configs::spread;
use crate::mesh;
use crate::mesh::check;

/// The example called `name`, and the mesh of its configuration.
fn example(name: &str) -> (local::Local, mesh::Mesh) {
    let directory = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let local: local::Local = load::load(&directory.join(name)).expect("no fault");
    let body = fs::read(directory.join(&local.configuration)).expect("a configuration");
    let mesh = check::check(&body).expect("no fault");
    (local, mesh)
}

#[rstest]
#[case::condor("condor.json", &[("catalogue", 9), ("manuscript", 4)], 130, spread::Spread::condor())]
#[case::cascadia("cascadia.json", &[("couple-desk", 4), ("guest-shop", 8)], 120, spread::Spread::cascadia())]
fn an_example_has_the_expected_size(
    #[case] name: &str,
    #[case] counts: &[(&str, usize)],
    #[case] connections: u16,
    #[case] preset: spread::Spread,
) {
    let (local, mesh) = example(name);
    let hosts = local.hosts(&mesh).expect("every class is known");
    for (class, count) in counts {
        assert_eq!(hosts.iter().filter(|h| h.class == *class).count(), *count, "{class}");
    }
    let zones: collections::BTreeSet<&str> = hosts.iter().map(|h| h.zone.as_str()).collect();
    let addresses: collections::BTreeSet<_> = hosts.iter().map(|h| h.listen).collect();
    assert_eq!((zones.len(), addresses.len()), (4, hosts.len()));
    assert!(mesh.classes.iter().all(|c| (c.slots, c.connections) == (9, connections)));
    assert_eq!(local.node.spread, preset);
}

#[rstest]
#[case::no_hosts(json!({"upstreams": {}}), "/upstreams")]
#[case::too_many(json!({"upstreams": {"c": {"zones": {"z": 251}}}}), "/upstreams")]
#[case::unknown(json!({"upstreams": {"c": {"colour": 1}}}), "/upstreams/c/colour")]
#[case::wrong_count(json!({"upstreams": {"c": {"zones": {"z": -1}}}}), "/upstreams/c/zones/z")]
#[case::absurd_mean(json!({"upstreams": {"c": {"mean_ms": 1e9}}}), "/upstreams/c/mean_ms")]
#[case::absurd_path_mean(
    json!({"upstreams": {"c": {"means_ms": {"/a": 1e9}}}}),
    "/upstreams/c/means_ms/~1a"
)]
#[case::node(json!({"node": {"call": {"attempts": 0}}}), "/node/call/attempts")]
#[case::unknown_of_node(json!({"node": {"call": {"x": 0}}}), "/node/call/x")]
#[case::no_configuration(json!({"configuration": ""}), "/configuration")]
#[case::log(json!({"log": {"appends": 0}}), "/log/appends")]
fn a_fault_is_reported(#[case] more: Value, #[case] pointer: &str) {
    let mut file = json!({"configuration": "c.json", "upstreams": {"d": {"zones": {"z": 1}}}});
    for (key, value) in more.as_object().expect("an object") {
        file[key] = value.clone();
    }
    let read = load::read::<local::Local>(file.to_string().as_bytes());
    let faults = read.expect_err("a fault");
    assert!(faults.list().iter().any(|f| f.pointer == pointer), "{faults}");
}

#[test]
fn a_class_missing_in_the_configuration_is_reported() {
    let (mut local, mesh) = example("condor.json");
    local.upstreams.insert("nobody".into(), local::Group::default());
    let faults = local.hosts(&mesh).expect_err("a fault");
    assert_eq!(faults.list()[0].pointer, "/upstreams/nobody");
}
