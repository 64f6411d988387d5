//! Tests of fingerprints.

use rstest::rstest;

use crate::quarantine;
use crate::quarantine::Body;
use crate::seal;

fn fingerprinter(key: &str) -> quarantine::Fingerprinter {
    quarantine::Fingerprinter::new(&seal::Seal::new("mesh", key))
}

#[test]
fn a_request_has_the_same_fingerprint_at_every_node() {
    let ask = |p: &quarantine::Fingerprinter| {
        p.fingerprint("GET", "Shop.test", "/a?b", Body::Complete(b"c"))
    };
    assert_eq!(ask(&fingerprinter("key")), ask(&fingerprinter("key")));
    let lower = fingerprinter("key").fingerprint("GET", "shop.test", "/a?b", Body::Complete(b"c"));
    assert_eq!(ask(&fingerprinter("key")), lower, "the case of a host does not matter");
    assert_ne!(ask(&fingerprinter("key")), ask(&fingerprinter("another")));
}

#[rstest]
#[case::method("POST", "shop.test", "/a?b", Body::Complete(b"c"))]
#[case::host("GET", "desk.test", "/a?b", Body::Complete(b"c"))]
#[case::path("GET", "shop.test", "/a", Body::Complete(b"c"))]
#[case::body("GET", "shop.test", "/a?b", Body::Complete(b"d"))]
#[case::no_body("GET", "shop.test", "/a?b", Body::Complete(b""))]
#[case::streamed("GET", "shop.test", "/a?b", Body::Streamed(None))]
#[case::streamed_with_a_length("GET", "shop.test", "/a?b", Body::Streamed(Some(1)))]
#[case::split_at_another_byte("GET", "shop.test/", "a?b", Body::Complete(b"c"))]
fn another_request_has_another_fingerprint(
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] body: Body<'_>,
) {
    let fingerprinter = fingerprinter("key");
    let first = fingerprinter.fingerprint("GET", "shop.test", "/a?b", Body::Complete(b"c"));
    assert_ne!(fingerprinter.fingerprint(method, host, path, body), first);
}
