//! Configuration files of a given size for tests.

use serde_json::json;

/// A valid configuration with `services` services; `tag` sets one service's time-out.
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

/// An invalid file: its route refers to a service that does not exist.
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
    // Pseudo-random digits, which compress as badly as real names.
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
