//! Property tests of the check of configuration files and of finding a route.

use dandelionspool::mesh;
use dandelionspool::mesh::check;
use dandelionspool::mesh::fault;
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use serde_json::Value;

mod mutation;
mod route;

const SCHEMA: &str = include_str!("../../schema/configuration.json");

/// Codes of the faults that a schema can't express.
const REFERENCES: [&str; 5] =
    ["dangling_reference", "duplicate_name", "foreign_upstream", "overlap", "shared_key"];

/// Settings for a number of cases; the seed of a failure is printed, not written to a file.
fn cases(cases: u32) -> ProptestConfig {
    let failure_persistence = Some(Box::new(FileFailurePersistence::Off) as _);
    ProptestConfig { cases, failure_persistence, ..ProptestConfig::default() }
}

fn validator() -> jsonschema::Validator {
    jsonschema::draft7::new(&serde_json::from_str(SCHEMA).unwrap()).unwrap()
}

fn code(fault: &fault::Fault) -> String {
    serde_json::to_value(fault).unwrap()["code"].as_str().unwrap().to_owned()
}

/// Asserts that each key in `mesh` refers to an item of the right service.
fn assert_consistent(mesh: &mesh::Mesh) {
    for service in &mesh.services {
        assert!(usize::from(service.organisation.0) < mesh.organisations.len());
    }
    for kind in &mesh.kinds {
        assert!(usize::from(kind.service.0) < mesh.services.len());
    }
    for class in &mesh.classes {
        assert!(usize::from(class.service.0) < mesh.services.len());
    }
    for route in &mesh.routes {
        assert!(usize::from(route.service.0) < mesh.services.len());
        assert_eq!(mesh.kind(route.kind).service, route.service);
        assert!(route.class.is_none_or(|c| mesh.class(c).service == route.service));
    }
}

/// Asserts that a request with the host, method and path of a route finds this route.
fn assert_found(mesh: &mesh::Mesh) {
    for (index, route) in mesh.routes.iter().enumerate() {
        let method = route.methods.first().unwrap_or(&http::Method::GET);
        let found = mesh.find(route.host.as_deref(), method, &route.path);
        assert_eq!(found.map(|key| usize::from(key.0)), Some(index), "{route:?}");
    }
}

/// Whether `pointer` refers to a value in `tree`, or to a missing field of one.
fn is_valid(tree: &Value, pointer: &str) -> bool {
    let parent = pointer.rsplit_once('/').map(|(parent, _)| parent);
    tree.pointer(pointer).is_some() || parent.is_some_and(|p| tree.pointer(p).is_some())
}

proptest! {
    #![proptest_config(cases(2000))]

    #[test]
    fn checking_any_bytes_does_not_panic(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = check::check(&body);
    }

    #[test]
    fn a_truncated_file_is_rejected(file in mutation::example(), share in 0.0..1.0f64) {
        let body = file.to_string();
        let cut = (body.len() as f64 * share) as usize;
        prop_assert!(check::check(&body.as_bytes()[..cut]).is_err());
    }

    #[test]
    fn a_file_with_a_changed_byte_gives_no_inconsistent_mesh(
        file in mutation::example(),
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut body = file.to_string().into_bytes();
        let index = index.index(body.len());
        body[index] = byte;
        if let Ok(mesh) = check::check(&body) {
            assert_consistent(&mesh);
        }
    }

    #[test]
    fn an_accepted_file_is_consistent_and_a_rejected_one_has_valid_pointers(
        (file, changes) in (mutation::example(), mutation::changes()),
    ) {
        let mut file = file;
        changes.iter().for_each(|change| change.apply(&mut file));
        match check::check(file.to_string().as_bytes()) {
            Ok(mesh) => {
                assert_consistent(&mesh);
                assert_found(&mesh);
            }
            Err(faults) => {
                prop_assert!(!faults.list().is_empty());
                for fault in faults.list() {
                    prop_assert!(is_valid(&file, &fault.pointer), "{fault}");
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(cases(500))]

    #[test]
    fn schema_and_border_types_agree(
        (file, changes) in (mutation::example(), mutation::changes()),
    ) {
        let mut file = file;
        // Only the schema of the latest format has border types of its own.
        file["format"] = check::LATEST_FORMAT.into();
        file["organisations"][0]["keys"] = serde_json::json!(["00112233445566778899aabbccddeeff"]);
        changes.iter().for_each(|change| change.apply(&mut file));
        let faults = check::check(file.to_string().as_bytes()).err();
        let codes: Vec<String> = faults.iter().flat_map(|f| f.list()).map(code).collect();
        if validator().is_valid(&file) {
            // The border types must accept what the schema accepts, so that only faults in
            // references remain.
            prop_assert!(codes.iter().all(|c| REFERENCES.contains(&c.as_str())), "{:?}", codes);
        } else {
            prop_assert!(codes.iter().any(|c| !REFERENCES.contains(&c.as_str())), "{:?}", codes);
        }
    }
}
