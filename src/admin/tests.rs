//! Tests of the operators' port.

mod announce;
mod metrics;
mod report;
mod served;

use crate::mesh;
use crate::quota;

/// A configuration with the service `shop` and its class `shop-host` of 9 slots.
fn shop() -> mesh::Mesh {
    let organisations = vec![mesh::Organisation {
        name: "guests".into(),
        header: http::HeaderValue::from_static("guests"),
        id: quota::OrganisationId::of("guests"),
        limit: None,
        priority: 0,
    }];
    let objectives = mesh::Objectives {
        availability: 0.999,
        latency: std::time::Duration::from_millis(200),
        share: 0.99,
        window: std::time::Duration::from_secs(86_400),
    };
    let service = |name: &str| mesh::Service {
        name: name.into(),
        organisation: mesh::OrganisationKey(0),
        timeout: std::time::Duration::from_secs(2),
        queue: 8,
        retries: 10,
        objectives,
    };
    let class = mesh::Class {
        name: "shop-host".into(),
        service: mesh::ServiceKey(0),
        slots: 9,
        connections: 120,
        warmup: std::time::Duration::from_secs(10),
    };
    let mut mesh = mesh::Mesh::default();
    mesh.organisations = organisations;
    mesh.services = vec![service("shop"), service("desk")];
    mesh.classes = vec![class];
    mesh
}
