use http::header;
use rstest::rstest;
use smol_str::SmolStr;

use crate::mesh;
use crate::proxy::organisations;
use crate::proxy::queue_weight;

/// The maximum weight of a configuration.
const MAX_WEIGHT: u32 = 1_000_000;

fn encode(organisation: Option<u8>, priority: u8, weight: u32) -> u32 {
    let kind = mesh::Kind {
        name: SmolStr::default(),
        service: mesh::ServiceKey(0),
        weight,
        idempotent: false,
        body: 0,
        priority,
        timeout: None,
        latency: None,
        attempts: None,
    };
    let name = header::HeaderValue::from_static("organisation");
    let caller =
        organisation.map(|priority| organisations::Caller { name, priority, charged: None });
    queue_weight::encode(&kind, caller.as_ref())
}

/// A priority that is read from the wrong bits would reserve slots for the calls of an organisation
/// or of a great weight.
#[rstest]
fn only_kinds_of_priority_0_are_urgent(
    #[values(None, Some(0), Some(1), Some(mesh::LOWEST_PRIORITY))] organisation: Option<u8>,
    #[values(0, 1, MAX_WEIGHT, u32::MAX)] weight: u32,
) {
    for priority in 0..=u8::MAX {
        let urgent = queue_weight::is_urgent(encode(organisation, priority, weight));
        assert_eq!(urgent, priority == 0, "priority {priority}");
    }
}

#[test]
fn organisations_come_before_kinds_and_kinds_before_weights() {
    let weights = [
        encode(None, 0, MAX_WEIGHT),
        encode(Some(1), 1, 1),
        encode(Some(1), 1, MAX_WEIGHT),
        encode(Some(1), 0, 1),
        encode(Some(0), u8::MAX, 1),
    ];
    assert!(weights.is_sorted_by(|a, b| a < b), "{weights:?}");
}
