//! Finding a route, compared with a simple model.

use dandelionspool::mesh;
use dandelionspool::mesh::check;
use proptest::prelude::*;
use proptest::sample;
use serde_json::json;

use crate::cases;

const HOSTS: [Option<&str>; 3] = [None, Some("a.example"), Some("b.example")];
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];

/// Host, path and methods of a route.
type Draft = (Option<&'static str>, String, Vec<&'static str>);

fn path() -> impl Strategy<Value = String> {
    let segment = sample::select(vec!["a", "b", "ab", ".c"]);
    let segments = prop::collection::vec(segment, 0..4);
    segments.prop_map(|segments| format!("/{}", segments.join("/")))
}

fn draft() -> impl Strategy<Value = Draft> {
    let methods = sample::subsequence(METHODS.to_vec(), 0..3);
    (sample::select(HOSTS.to_vec()), path(), methods)
}

/// A mesh with the routes of `drafts`, except those that overlap an earlier one.
fn mesh(drafts: &[Draft]) -> mesh::Mesh {
    let mut file = json!({
        "format": 1,
        "teams": [{"name": "t"}],
        "services": [{"name": "s", "team": "t", "kinds": [{"name": "k"}]}],
        "routes": [],
    });
    let mut mesh = mesh::Mesh::default();
    for (index, (host, path, methods)) in drafts.iter().enumerate() {
        let mut route = json!({
            "name": format!("r{index}"), "path": path, "methods": methods, "service": "s", "kind": "k",
        });
        if let Some(host) = host {
            route["host"] = json!(host);
        }
        let mut next = file.clone();
        next["routes"].as_array_mut().unwrap().push(route);
        if let Ok(accepted) = check::check(next.to_string().as_bytes()) {
            (file, mesh) = (next, accepted);
        }
    }
    mesh
}

/// Whether the segments of `path` begin with the segments of `prefix`.
fn begins(path: &str, prefix: &str) -> bool {
    let segments = |p: &str| -> Vec<String> {
        p.split('/').filter(|s| !s.is_empty()).map(str::to_owned).collect()
    };
    segments(path).starts_with(&segments(prefix))
}

/// The name of the route by the rules: the named host has priority, then the longest path decides,
/// then the method.
fn model<'a>(
    mesh: &'a mesh::Mesh,
    host: Option<&str>,
    method: &http::Method,
    path: &str,
) -> Option<&'a str> {
    let of = |host: Option<&str>| {
        let fits = |r: &&mesh::Route| r.host.as_deref() == host && begins(path, &r.path);
        mesh.routes.iter().filter(fits).collect::<Vec<_>>()
    };
    let named = host.map(|h| of(Some(h))).unwrap_or_default();
    let routes = if named.is_empty() { of(None) } else { named };
    let longest = routes.iter().map(|r| r.path.len()).max()?;
    let has = |r: &&&mesh::Route| r.methods.is_empty() || r.methods.contains(method);
    let mut routes = routes.iter().filter(|r| r.path.len() == longest);
    routes.find(has).map(|r| r.name.as_str())
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn find_agrees_with_the_model(
        drafts in prop::collection::vec(draft(), 1..10),
        requests in prop::collection::vec(
            (sample::select(HOSTS.to_vec()), sample::select(METHODS.to_vec()), path()),
            20,
        ),
    ) {
        let mesh = mesh(&drafts);
        for (host, method, path) in requests {
            let method: http::Method = method.parse().unwrap();
            let found = mesh.find(host, &method, &path).map(|key| mesh.route(key).name.as_str());
            prop_assert_eq!(found, model(&mesh, host, &method, &path), "{:?} {}", host, path);
        }
    }

    #[test]
    fn finding_any_request_does_not_panic(host in ".{0,30}", path in "/?[%/.;a-z0-9ñ]{0,40}") {
        let mesh = mesh(&[(Some("a.example"), "/a".into(), vec![]), (None, "/".into(), vec![])]);
        let _ = mesh.find(Some(&host), &http::Method::GET, &path);
    }
}
