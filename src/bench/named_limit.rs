//! What upstreams that name a limit in their answers may get: the users' bound, for benches, soak and
//! tests.

use std::time;

use crate::clock;

/// Span over which the calls at such an upstream are counted.
pub const SPAN: time::Duration = time::Duration::from_secs(4);

/// Calls that are allowed in a span with a limit of `rate` calls a second: one and a half times what
/// it allows, and five.
pub fn allowed(rate: f64) -> usize {
    // The cast truncates.
    (1.5 * rate * SPAN.as_secs_f64() + 5.0) as usize
}

/// The most of `starts`, in ascending order, in one span.
pub fn most_starts(starts: &[clock::Instant]) -> usize {
    let end = |first: clock::Instant| starts.partition_point(|at| *at < first + SPAN);
    let counts = starts.iter().enumerate().map(|(index, first)| end(*first) - index);
    counts.max().unwrap_or_default()
}
