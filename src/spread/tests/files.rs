//! Valid configurations of a wanted size.

use serde_json::json;

/// A valid configuration of `services` services that differs by `tag` in one limit.
pub fn valid(tag: u64, services: u64) -> Vec<u8> {
    let changed = tag % services;
    let limit = |n: u64| 1000 + if n == changed { tag } else { 0 };
    let list: Vec<_> = (0..services).map(|n| service(n, limit(n))).collect();
    let routes: Vec<_> = (0..services).map(route).collect();
    let file = json!({
        "format": 1,
        "teams": [{ "name": "guests" }],
        "services": list,
        "upstreams": [],
        "routes": routes,
    });
    file.to_string().into_bytes()
}

/// A file that breaks the rules: its route leads to a service that is not there.
pub fn dangling() -> Vec<u8> {
    let file = json!({
        "format": 1,
        "teams": [],
        "services": [],
        "upstreams": [],
        "routes": [route(0)],
    });
    file.to_string().into_bytes()
}

fn service(number: u64, timeout: u64) -> serde_json::Value {
    // Digits that compress badly, as names do.
    let name = format!("service-{number}-{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    json!({
        "name": name,
        "team": "guests",
        "timeout_ms": timeout,
        "queue": 9,
        "retry_percent": 15,
        "objectives": {
            "availability": 0.999,
            "latency_ms": 200,
            "latency_share": 0.99,
            "window_days": 28
        },
        "kinds": [{ "name": "browse", "weight": 1, "idempotent": true, "body_bytes": 0 }]
    })
}

fn route(number: u64) -> serde_json::Value {
    let service = format!("service-{number}-{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    json!({
        "name": format!("route-{number}"),
        "path": format!("/path-{number}"),
        "methods": ["GET"],
        "service": service,
        "kind": "browse"
    })
}
