//! Which answers are believed.

use bytes::Bytes;
use http_body_util::Full;
use rstest::rstest;

use super::{Expected, Mismatch};
use crate::proxy::dialect;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::retry;

/// A dialect whose upstreams sign their answers and echo the id of the request.
fn signing() -> dialect::Dialect {
    dialect::Dialect::default().instance("instance").not_run("not-run").signature("signed").terse()
}

fn answer(status: u16, headers: &[(&str, &str)]) -> http::Response<Full<Bytes>> {
    let builder =
        headers.iter().fold(http::Response::builder().status(status), |b, (n, v)| b.header(*n, *v));
    builder.body(Full::new(Bytes::from_static(b"text"))).unwrap()
}

fn mismatch(
    dialect: &dialect::Dialect,
    answer: &http::Response<Full<Bytes>>,
) -> (Option<Mismatch>, bool) {
    let id = http::HeaderValue::from_static("r1");
    let expected = Expected { dialect, method: &http::Method::POST, id: Some(&id) };
    let not_run = dialect.is_not_run(answer.status(), answer.headers());
    (super::mismatch(answer, &expected), not_run)
}

/// Guards against any belief in an answer that bears the id of another request, or none: that a
/// call ran, that it was not run, or that it came to another instance.
#[rstest]
#[case::ran(200, &[("signed", "s")])]
#[case::failed(500, &[("signed", "s")])]
#[case::rejected(503, &[("not-run", "1")])]
#[case::signed_rejection(503, &[("not-run", "1"), ("signed", "s")])]
#[case::limited(429, &[("not-run", "1")])]
#[case::without_id(400, &[("not-run", "1")])]
#[case::misdirected(421, &[])]
fn an_answer_is_believed_only_with_the_id_of_its_request(
    #[case] status: u16,
    #[case] headers: &[(&str, &str)],
    #[values(&[], &["r0"], &["r0", "r1"], &["r1", "r0"])] ids: &[&str],
) {
    let echoes = ids.iter().map(|id| ("x-request-id", *id));
    let with = |id| [headers, &[("x-request-id", id)]].concat();
    let foreign: Vec<_> = headers.iter().copied().chain(echoes).collect();
    let dialect = signing();
    assert_eq!(mismatch(&dialect, &answer(status, &foreign)).0, Some(Mismatch::Foreign));
    assert_eq!(mismatch(&dialect, &answer(status, &with("r1"))).0, None);
}

/// Guards against a rejection that is refused for want of a signature: it would count as unknown.
#[test]
fn a_rejection_needs_no_signature() {
    let rejection = answer(503, &[("not-run", "1"), ("x-request-id", "r1")]);
    assert_eq!(mismatch(&signing(), &rejection), (None, true));
    let unsigned = answer(503, &[("x-request-id", "r1")]);
    assert_eq!(mismatch(&signing(), &unsigned), (Some(Mismatch::Unsigned), false));
}

/// Guards against refusing the answers of upstreams that need not echo the id.
#[test]
fn an_upstream_that_does_not_sign_may_leave_the_id_out() {
    let dialect = dialect::Dialect::default();
    let shed = ("dandelionspool-upstream", "shed");
    assert_eq!(mismatch(&dialect, &answer(503, &[shed])), (None, true));
    let crossed = answer(503, &[shed, ("x-request-id", "r0")]);
    assert_eq!(mismatch(&dialect, &crossed).0, Some(Mismatch::Foreign));
}

/// Guards against refusing answers that name a status line in a header of their own.
#[rstest]
#[case::ran(200, &[("x-log", "GET / HTTP/1.1 200")], None)]
#[case::failed(502, &[("x-cause", "HTTP/1.1 503 Busy")], None)]
#[case::versions(503, &[("not-run", "1"), ("via", "HTTP/1.1 proxy"), ("x", "HTTP/1.1 2")], None)]
#[case::rejection(503, &[("not-run", "1"), ("date", "Fri, 04 HTTP/1.1 200 OK")], Some(Mismatch::Merged))]
#[case::in_the_mark(503, &[("not-run", "HTTP/1.0 200")], Some(Mismatch::Merged))]
#[case::misdirected(421, &[("date", "FriHTTP/1.1 500 Oops")], Some(Mismatch::Merged))]
fn a_status_line_in_a_header_counts_where_the_answer_may_say_not_run(
    #[case] status: u16,
    #[case] headers: &[(&str, &str)],
    #[case] expected: Option<Mismatch>,
) {
    let own = [("x-request-id", "r1"), ("signed", "s")];
    let answer = answer(status, &[headers, &own].concat());
    assert_eq!(mismatch(&signing(), &answer).0, expected);
}

/// Guards against a log line that names a node as the witness of what its upstream said.
#[test]
fn the_word_of_the_upstream_is_told_as_its_own() {
    let refusal = refuse::Refusal::rejected(super::NotRun(()));
    assert_eq!(refusal.outcome(), retry::Outcome::NotRun(retry::Reason::UpstreamShed));
    assert_eq!(refusal.by(), Some(proof::By::Upstream));
}
