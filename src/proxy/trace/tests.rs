use http::header;

use crate::clock;
use crate::proxy::trace;

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

#[test]
fn every_node_samples_the_same_calls() {
    let id = |n: u64| header::HeaderValue::from_str(&format!("{n:016x}")).expect("a header value");
    let sampled = (0..6400).filter(|&n| trace::is_sampled(&id(n))).count();
    assert!((50..200).contains(&sampled), "{sampled} of 6400 calls");
    assert_eq!(sampled, (0..6400).filter(|&n| trace::is_sampled(&id(n))).count());
}
