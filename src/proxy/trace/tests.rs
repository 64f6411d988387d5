use std::net;

use http::header;

use crate::admin::metrics;
use crate::clock;
use crate::host;
use crate::proxy::trace;
use crate::retry;

/// How many of `count` lines in one second are written, and the number left out that the first line
/// of the next second has.
fn lines(count: u32) -> (usize, Option<u64>) {
    let trace = trace::Trace::default();
    let first = clock::Instant::from_millis(5000);
    let written = (0..count).filter(|_| trace.reserve_line(first).is_some()).count();
    (written, trace.reserve_line(clock::Instant::from_millis(6000)))
}

#[test]
fn lines_are_bounded_and_those_left_out_are_counted() {
    assert_eq!(lines(trace::MAX_LINES_PER_SECOND), (200, Some(0)));
    assert_eq!(lines(trace::MAX_LINES_PER_SECOND + 50), (200, Some(50)));
}

/// An upstream that makes many nested calls for a lost run must not fill the log.
#[test]
fn nested_calls_that_are_not_sent_count_against_the_limit_of_lines() {
    let trace = trace::Trace::default();
    let now = clock::Instant::from_millis(5000);
    let id = header::HeaderValue::from_static("9c41d07be2a35f68.1");
    let loss = retry::FatalLoss { kind: "part".into(), runs: 10, survived: 0, losses: 1 };
    let not_sent = trace::NotSent { id: &id, kind: "part", loss: &loss };
    (0..trace::MAX_LINES_PER_SECOND + 50).for_each(|_| trace.not_sent(&not_sent, now));
    assert_eq!(trace.reserve_line(now), None);
    assert_eq!(trace.reserve_line(clock::Instant::from_millis(6000)), Some(51));
}

#[test]
fn every_node_samples_the_same_calls() {
    let id = |n: u64| header::HeaderValue::from_str(&format!("{n:016x}")).expect("a header value");
    let sampled = (0..6400).filter(|&n| trace::is_sampled(&id(n))).count();
    assert!((50..200).contains(&sampled), "{sampled} of 6400 calls");
    assert_eq!(sampled, (0..6400).filter(|&n| trace::is_sampled(&id(n))).count());
}

/// An upstream that closes its connections again and again must not fill the log.
#[test]
fn requests_that_are_sent_again_count_against_the_limit_of_lines() {
    let trace = trace::Trace::default();
    let now = clock::Instant::from_millis(5000);
    let address = net::SocketAddr::from(([127, 0, 0, 1], 7100));
    let to = trace::Destination::Upstream(address);
    let resent = trace::Resent { id: None, to, connection: 2 };
    (0..trace::MAX_LINES_PER_SECOND + 50).for_each(|_| trace.resent(&resent, now));
    assert_eq!(trace.reserve_line(now), None);
    assert_eq!(trace.reserve_line(clock::Instant::from_millis(6000)), Some(51));
}

/// Guards against a count under another name or label than that of the page of metrics.
#[test]
fn requests_that_are_sent_again_are_counted_by_where_they_go() {
    let (metrics, counts) = (metrics::Metrics::new(), retry::Counts::default());
    metrics.retries(&counts);
    let address = net::SocketAddr::from(([127, 0, 0, 1], 7100));
    for to in [
        trace::Destination::Upstream(address),
        trace::Destination::Upstream(address),
        trace::Destination::Node(host::HostId::new(address)),
    ] {
        counts.resent.get_or_create(&[("to", to.as_str())]).inc();
    }
    let text = metrics.encode();
    for line in ["to=\"upstream\"} 2", "to=\"node\"} 1"] {
        assert!(text.contains(&format!("dandelionspool_call_resent_total{{{line}")), "{text}");
    }
}
