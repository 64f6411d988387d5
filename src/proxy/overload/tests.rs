//! Tests of what is read of a request before it may be refused.

use rstest::rstest;

use crate::proxy::dialect;
use crate::proxy::overload;

/// Guards against a decision that differs from the one on the complete request because a header was
/// left out or an ambiguity was lost.
#[rstest]
#[case::decisive(
    "GET /a?b HTTP/1.1\r\nHost: x.test\r\nX-Request-Id: i\r\nAuthorization: Bearer k\r\nx-y: z\r\n\r\n",
    Some(3)
)]
#[case::hop_by_hop(
    "GET /a HTTP/1.1\r\nHost: x.test\r\nConnection: authorization\r\nAuthorization: Bearer k\r\n\r\n",
    Some(3)
)]
#[case::repeated("GET /a HTTP/1.1\r\nhost: x.test\r\nhost: y.test\r\n\r\n", Some(2))]
#[case::incomplete("GET /a HTTP/1.1\r\nhost: x.test\r\n", None)]
#[case::malformed_target("GET a b HTTP/1.1\r\nhost: x.test\r\n\r\n", None)]
fn only_the_headers_that_decide_are_read(#[case] head: &str, #[case] expected: Option<usize>) {
    let parts = overload::parse(head.as_bytes(), &dialect::Dialect::default());
    assert_eq!(parts.map(|parts| parts.headers.len()), expected);
}
