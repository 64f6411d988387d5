//! Tests of fingerprints.

use rstest::rstest;

use crate::quarantine;
use crate::quarantine::Body;
use crate::seal;

fn printer(key: &str) -> quarantine::Fingerprinter {
    quarantine::Fingerprinter::new(&seal::Seal::new("mesh", key))
}

#[test]
fn a_request_has_the_same_print_at_every_node() {
    let ask = |p: &quarantine::Fingerprinter| {
        p.fingerprint("GET", "Shop.test", "/a?b", Body::Complete(b"c"))
    };
    assert_eq!(ask(&printer("key")), ask(&printer("key")));
    let lower = printer("key").fingerprint("GET", "shop.test", "/a?b", Body::Complete(b"c"));
    assert_eq!(ask(&printer("key")), lower, "hosts are the same in any case");
    assert_ne!(ask(&printer("key")), ask(&printer("another")));
}

#[rstest]
#[case::method("POST", "shop.test", "/a?b", Body::Complete(b"c"))]
#[case::host("GET", "desk.test", "/a?b", Body::Complete(b"c"))]
#[case::path("GET", "shop.test", "/a", Body::Complete(b"c"))]
#[case::body("GET", "shop.test", "/a?b", Body::Complete(b"d"))]
#[case::no_body("GET", "shop.test", "/a?b", Body::Complete(b""))]
#[case::streams("GET", "shop.test", "/a?b", Body::Streamed(None))]
#[case::streams_so_much("GET", "shop.test", "/a?b", Body::Streamed(Some(1)))]
#[case::cut_elsewhere("GET", "shop.test/", "a?b", Body::Complete(b"c"))]
fn another_request_has_another_print(
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] body: Body<'_>,
) {
    let printer = printer("key");
    let first = printer.fingerprint("GET", "shop.test", "/a?b", Body::Complete(b"c"));
    assert_ne!(printer.fingerprint(method, host, path, body), first);
}
