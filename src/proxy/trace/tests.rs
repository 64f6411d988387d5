use http::header;

use crate::clock;
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
