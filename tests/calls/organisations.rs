//! Requests with API keys: whose calls they are, what their upstreams get, and the limits.

use std::rc::Rc;
use std::sync::Arc;
use std::time;

use dandelionspool::api_key;
use dandelionspool::mesh;
use dandelionspool::version;
use rstest::rstest;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::fake;
use crate::fake::Step;
use crate::rig;

const BAKERS_KEY: &str = "dsk_of_the_bakers";
const SMITHS_KEY: &str = "dsk_of_the_smiths";
const ORGANISATION: &str = "dandelionspool-organisation";

/// A configuration with two organisations; `limit` is the burst of the smiths, who get only one
/// call per hour beyond it.
fn configuration(number: u64, bakers: &[&str], limit: u32) -> Arc<mesh::Applied> {
    let digests = |keys: &[&str]| -> Vec<String> {
        keys.iter().map(|key| api_key::Digest::of(key.as_bytes()).to_string()).collect()
    };
    let rate = if limit == 0 { 0.0 } else { 1.0 / 3600.0 };
    let body = json!({
        "format": 5,
        "organisations": [
            {"name": "sellers"},
            {"name": "bakers", "keys": digests(bakers)},
            {"name": "smiths", "keys": digests(&[SMITHS_KEY]), "rate_per_s": rate, "burst": limit},
        ],
        "services": [{
            "name": "shop", "organisation": "sellers",
            "kinds": [{"name": "browse", "idempotent": true}, {"name": "order"}],
        }],
        "upstreams": [{"name": "shop", "service": "shop", "slots": 9, "warmup_ms": 0}],
        "routes": [
            {"name": "browse", "path": "/browse", "service": "shop", "kind": "browse"},
            {"name": "order", "path": "/orders", "service": "shop", "kind": "order"},
            {"name": "open", "path": "/open", "service": "shop", "kind": "browse", "public": true},
        ],
    })
    .to_string();
    let mesh = mesh::check::check(body.as_bytes()).unwrap();
    let digest = version::Digest::of(body.as_bytes());
    let version_id = version::VersionId { version: version::Version::new(number), digest };
    Arc::new(mesh::Applied { version_id, mesh: Arc::new(mesh) })
}

/// Two nodes that run `configuration`; only the second one has an upstream.
async fn started(applied: Arc<mesh::Applied>) -> (fake::Fake, Vec<rig::Node>) {
    let fake = fake::Fake::start(fake::echo).await;
    let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
    apply(&nodes, applied).await;
    (fake, nodes)
}

async fn apply(nodes: &[rig::Node], applied: Arc<mesh::Applied>) {
    for node in nodes {
        node.applied.send_replace(Arc::clone(&applied));
    }
    tokio::time::sleep(time::Duration::from_millis(60)).await;
}

fn with_key(method: &str, path: &str, id: &str, key: &str) -> http::request::Builder {
    rig::request(method, path, id).header("authorization", format!("Bearer {key}"))
}

/// The credentials that a fake upstream must never see.
fn assert_no_secret(request: &fake::Request) {
    let head = request.head.to_ascii_lowercase();
    assert!(!head.contains("authorization"), "{head}");
    assert!(!head.contains(BAKERS_KEY) && !head.contains(SMITHS_KEY), "{head}");
}

#[test]
fn an_upstream_gets_the_organisation_in_place_of_the_key() {
    rig::run(async {
        let (fake, nodes) = started(configuration(2, &[BAKERS_KEY], 0)).await;
        for (node, id) in nodes.iter().zip(["through-another", "at-its-own"]) {
            let request = with_key("GET", "/browse", id, BAKERS_KEY)
                .header(ORGANISATION, "smiths")
                .header("connection", ORGANISATION);
            let answer = rig::call(node, request, b"").await;
            assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        }
        let requests = fake.requests();
        assert_eq!(requests.len(), 2);
        for request in requests {
            assert_eq!(request.header(ORGANISATION), "bakers");
            assert_eq!(request.head.matches(ORGANISATION).count(), 1, "{}", request.head);
            assert_no_secret(&request);
        }
    });
}

#[rstest]
#[case::no_key("")]
#[case::unknown("authorization: Bearer nobody\r\n")]
#[case::empty("authorization: Bearer \r\n")]
#[case::no_scheme("authorization: dsk_of_the_bakers\r\n")]
#[case::other_scheme("authorization: Basic dsk_of_the_bakers\r\n")]
#[case::no_blank("authorization: Bearerdsk_of_the_bakers\r\n")]
#[case::two(
    "authorization: Bearer dsk_of_the_bakers\r\nauthorization: Bearer dsk_of_the_bakers\r\n"
)]
#[case::two_in_one("authorization: Bearer dsk_of_the_bakers, Bearer dsk_of_the_bakers\r\n")]
#[case::name("dandelionspool-organisation: bakers\r\n")]
#[case::nested("x-request-id: 0123456789abcdef.1\r\n")]
fn a_request_without_a_valid_key_is_refused(#[case] header: &str) {
    rig::run(async {
        let (fake, nodes) = started(configuration(2, &[BAKERS_KEY], 0)).await;
        for node in &nodes {
            let head = format!(
                "GET /browse?key={BAKERS_KEY} HTTP/1.1\r\nhost: shop.test\r\n{header}\
                 connection: close\r\n\r\n"
            );
            let answer = raw(node, head.as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
            assert!(answer.contains("www-authenticate: Bearer"), "{answer}");
            assert!(answer.contains("dandelionspool-reason: unauthenticated"), "{answer}");
        }
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn a_key_that_is_not_ascii_or_too_long_is_refused() {
    rig::run(async {
        let (fake, nodes) = started(configuration(2, &[BAKERS_KEY], 0)).await;
        let head = |key: &[u8]| {
            let start = b"GET /browse HTTP/1.1\r\nhost: shop.test\r\nauthorization: Bearer ";
            [start, key, b"\r\nconnection: close\r\n\r\n"].concat()
        };
        let answer = raw(&nodes[1], &head(b"dsk_\xc3\xa9\xff")).await;
        assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
        let answer = raw(&nodes[1], &head(&[b'k'; 65_536])).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
        assert!(fake.requests().is_empty());
    });
}

#[rstest]
#[case::lower("authorization: bearer dsk_of_the_bakers")]
#[case::upper("AUTHORIZATION: BEARER dsk_of_the_bakers")]
#[case::blanks("Authorization:   Bearer \t dsk_of_the_bakers  ")]
fn the_scheme_may_be_in_any_case_with_any_blanks(#[case] header: &str) {
    rig::run(async {
        let (fake, nodes) = started(configuration(2, &[BAKERS_KEY], 0)).await;
        let head = format!(
            "GET /browse HTTP/1.1\r\nhost: shop.test\r\n{header}\r\nconnection: close\r\n\r\n"
        );
        let answer = raw(&nodes[0], head.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert_eq!(fake.requests()[0].header(ORGANISATION), "bakers");
    });
}

#[test]
fn a_public_route_needs_no_key_and_names_the_organisation_of_a_good_one() {
    rig::run(async {
        let (fake, nodes) = started(configuration(2, &[BAKERS_KEY], 0)).await;
        let requests = [
            rig::request("GET", "/open", "none").header(ORGANISATION, "smiths"),
            with_key("GET", "/open", "good", BAKERS_KEY),
            with_key("GET", "/open", "bad", "nobody"),
        ];
        for request in requests {
            assert_eq!(rig::call(&nodes[0], request, b"").await.status, 200);
        }
        let requests = fake.requests();
        let names: Vec<_> = requests.iter().map(|r| r.header(ORGANISATION)).collect();
        assert_eq!(names, ["", "bakers", ""]);
        requests.iter().for_each(assert_no_secret);
    });
}

#[test]
fn a_node_without_a_configuration_refuses_with_503() {
    rig::run(async {
        let (_fake, nodes) = started(Arc::default()).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    });
}

#[test]
fn pipelined_requests_of_two_organisations_are_told_apart() {
    rig::run(async {
        let (fake, nodes) = started(configuration(2, &[BAKERS_KEY], 0)).await;
        let keys = [BAKERS_KEY, "nobody", SMITHS_KEY, BAKERS_KEY];
        let request = |(number, key): (usize, &str)| {
            let last = if number == 3 { "connection: close\r\n" } else { "" };
            format!(
                "GET /browse HTTP/1.1\r\nhost: shop.test\r\nx-request-id: r{number}\r\n\
                 authorization: Bearer {key}\r\n{last}\r\n"
            )
        };
        let all: String = keys.into_iter().enumerate().map(request).collect();
        let text = raw(&nodes[0], all.as_bytes()).await;
        let statuses: Vec<_> = text.matches("HTTP/1.1 ").collect();
        assert_eq!(statuses.len(), 4, "{text}");
        let mut found: Vec<_> = fake
            .requests()
            .iter()
            .map(|r| (r.header("x-request-id"), r.header(ORGANISATION)))
            .collect();
        found.sort();
        let expected = [("r0", "bakers"), ("r2", "smiths"), ("r3", "bakers")];
        assert_eq!(found, expected.map(|(id, name)| (id.to_owned(), name.to_owned())));
        let order: Vec<_> = ["r0", "r1", "r2", "r3"].iter().map(|id| text.find(id)).collect();
        assert!(order.is_sorted(), "the answers are out of order: {text}");
    });
}

/// A nested call has no key. It is made in the name of the call for which its upstream makes it,
/// also after that call's key was removed; another caller can't make one.
#[test]
fn a_nested_call_is_made_in_the_name_of_its_parent() {
    rig::run(async {
        let held = Rc::new(tokio::sync::Notify::new());
        let fake = fake::Fake::start(|request| {
            let mut steps = fake::echo(request);
            if request.header("x-request-id") == "parent-0001" {
                steps.insert(0, Step::Wait(time::Duration::from_millis(600)));
            }
            steps
        })
        .await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        apply(&nodes, configuration(2, &[BAKERS_KEY], 0)).await;
        let nodes = Rc::new(nodes);
        let parent = {
            let (nodes, held) = (Rc::clone(&nodes), Rc::clone(&held));
            tokio::task::spawn_local(async move {
                held.notify_one();
                let request = with_key("GET", "/browse", "parent-0001", BAKERS_KEY);
                rig::call(&nodes[0], request, b"").await
            })
        };
        held.notified().await;
        rig::until(|| fake.requests().len() == 1).await;
        apply(&nodes, configuration(3, &[], 0)).await;
        let nested = rig::request("POST", "/orders", "parent-0001.1");
        assert_eq!(rig::call(&nodes[1], nested, b"").await.status, 200);
        let elsewhere = rig::request("POST", "/orders", "parent-0001.2");
        assert_eq!(rig::call(&nodes[0], elsewhere, b"").await.status, 401);
        let answer = parent.await.unwrap();
        assert_eq!(answer.status, 200, "a call that runs when its key is removed is not disturbed");
        let late = rig::request("POST", "/orders", "parent-0001.3");
        assert_eq!(rig::call(&nodes[1], late, b"").await.status, 401);
        let names: Vec<_> = fake.requests().iter().map(|r| r.header(ORGANISATION)).collect();
        assert_eq!(names, ["bakers", "bakers"]);
    });
}

#[test]
fn a_removed_key_is_refused_on_connections_that_stay_open() {
    rig::run(async {
        let (_fake, nodes) = started(configuration(2, &[BAKERS_KEY], 0)).await;
        let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
        let request = format!(
            "GET /browse HTTP/1.1\r\nhost: shop.test\r\nauthorization: Bearer {BAKERS_KEY}\r\n\r\n"
        );
        for (number, keys, status) in
            [(2, &[BAKERS_KEY][..], "200"), (3, &[], "401"), (4, &[BAKERS_KEY], "200")]
        {
            apply(&nodes, configuration(number, keys, 0)).await;
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut buffer = [0; 4096];
            let read = stream.read(&mut buffer).await.unwrap();
            let answer = String::from_utf8_lossy(&buffer[..read]);
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        }
    });
}

/// Both nodes together allow as many calls as the limit; a call that was refused unrun for another
/// reason costs nothing of it.
#[test]
fn nodes_share_the_limit_of_an_organisation() {
    rig::run(async {
        const BURST: u32 = 8;
        let (_fake, nodes) = started(configuration(2, &[BAKERS_KEY], BURST)).await;
        // A holder that has just seen the hosts for the first time lends nothing.
        tokio::time::sleep(dandelionspool::quota::HANDOVER).await;
        let mut allowed = 0;
        for number in 0..BURST * 2 {
            let node = &nodes[usize::from(number % 2 == 0)];
            let id = format!("r{number}");
            let answer = rig::call(node, with_key("GET", "/browse", &id, SMITHS_KEY), b"").await;
            match answer.status {
                200 => allowed += 1,
                429 => {
                    assert_eq!(answer.outcome(), "not-run");
                    assert_eq!(answer.header("dandelionspool-reason"), "over-limit");
                    assert!(answer.header("retry-after").parse::<u64>().unwrap() > 0);
                }
                status => panic!("unexpected status {status}"),
            }
        }
        assert!((1..=BURST).contains(&allowed), "{allowed} calls were allowed");
        let other = with_key("GET", "/browse", "other", BAKERS_KEY);
        assert_eq!(rig::call(&nodes[0], other, b"").await.status, 200);
    });
}

async fn raw(node: &rig::Node, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node.id.call_addr()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut text = Vec::new();
    let _ = tokio::time::timeout(rig::WAIT_TIMEOUT, stream.read_to_end(&mut text)).await;
    String::from_utf8_lossy(&text).into_owned()
}
