//! Time to find a route, by the index and by a linear scan, and to check a configuration file, at
//! the size to design for: 370 services with four kinds, two upstream classes and four routes each.

use std::hint;

use criterion::Criterion;
use dandelionspool::mesh;
use dandelionspool::mesh::check;
use serde_json::json;

const SERVICES: usize = 370;

/// The configuration file; the routes of a third of the services match only the service's own host.
fn file() -> Vec<u8> {
    let kinds = ["browse", "order", "upload", "lookup"];
    let mut services = Vec::new();
    let mut upstreams = Vec::new();
    let mut routes = Vec::new();
    for s in 0..SERVICES {
        let service = format!("service-{s}");
        let weighted: Vec<_> = kinds.iter().map(|k| json!({"name": k, "weight": 2})).collect();
        services.push(json!({"name": service, "team": "team", "kinds": weighted}));
        for class in ["small", "large"] {
            let name = format!("{service}-{class}");
            upstreams.push(json!({"name": name, "service": service, "slots": 9}));
        }
        for kind in kinds {
            let mut route = json!({
                "name": format!("{service}-{kind}"),
                "path": format!("/{service}/{kind}"),
                "methods": ["GET", "POST"],
                "service": service,
                "kind": kind,
            });
            if s % 3 == 0 {
                route["host"] = json!(format!("{service}.example"));
            }
            routes.push(route);
        }
    }
    let teams = [json!({"name": "team"})];
    let file = json!({
        "format": 1, "teams": teams, "services": services, "upstreams": upstreams, "routes": routes,
    });
    file.to_string().into_bytes()
}

/// Index of the first route that matches, found by a linear scan, to compare the index with.
fn scan(mesh: &mesh::Mesh, host: &str, method: &http::Method, path: &str) -> Option<usize> {
    let has_prefix = |prefix: &str| {
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    mesh.routes.iter().position(|r| {
        r.host.as_deref().is_none_or(|h| h == host)
            && has_prefix(&r.path)
            && r.methods.contains(method)
    })
}

fn bench(criterion: &mut Criterion) {
    let body = file();
    let mesh = check::check(&body).unwrap_or_default();
    println!("{} routes in {} bytes", mesh.routes.len(), body.len());
    let requests = [
        ("named_host", "service-183.example", "/service-183/order/17"),
        ("every_host", "mesh.example", "/service-184/order/17/lines/3"),
        ("no_route", "mesh.example", "/nothing/of/the/kind"),
    ];
    for (name, host, path) in requests {
        let post = http::Method::POST;
        criterion.bench_function(&format!("find/{name}"), |b| {
            b.iter(|| mesh.find(Some(hint::black_box(host)), &post, hint::black_box(path)));
        });
        criterion.bench_function(&format!("scan/{name}"), |b| {
            b.iter(|| scan(&mesh, hint::black_box(host), &post, hint::black_box(path)));
        });
    }
    criterion.bench_function("check", |b| b.iter(|| check::check(hint::black_box(&body)).is_ok()));
}

fn main() {
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
