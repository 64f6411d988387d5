//! Tests of what is taken from the answers of other nodes.

use std::time;

use rstest::rstest;

use super::Answer;
use crate::proxy::call_spec;
use crate::proxy::headers;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::run_times;
use crate::retry;

/// The answer of a node to an attempt of 20 ms that says that the call ran for `micros`.
fn answer(micros: Option<u64>) -> Answer {
    let ran = micros.map(|micros| call_spec::RunTime(time::Duration::from_micros(micros)));
    let refusal = refuse::Refusal::unsent(proof::Unsent::fresh(), retry::Reason::Full);
    let mut answer = Answer { ran, ..refusal.into() };
    answer.bound_ran(time::Duration::from_millis(20));
    answer
}

#[rstest]
#[case::none(None, None)]
#[case::shorter(Some(19_000), Some(19_000))]
#[case::longer(Some(21_000), Some(20_000))]
#[case::maximum(Some(u64::MAX), Some(20_000))]
fn a_run_takes_no_longer_than_its_attempt(#[case] sent: Option<u64>, #[case] taken: Option<u64>) {
    let ran = answer(sent).ran.map(|ran| ran.0);
    assert_eq!(ran, taken.map(time::Duration::from_micros));
}

/// Guards against one node whose run times make the mean of a kind so large that the attempts
/// which time out at other nodes show no delay, and urgent calls are late at every upstream.
#[test]
fn one_node_cannot_raise_the_mean_run_time_beyond_its_attempts() {
    let mut run_times = run_times::RunTimes::default();
    for micros in [10_000, u64::MAX] {
        let ran = answer(Some(micros)).ran.expect("a run time");
        run_times.record("order", ran.0);
    }
    let mean = run_times.mean("order").expect("a mean");
    assert!(mean < time::Duration::from_millis(11), "{mean:?}");
}

/// The answer of another node that refuses a call with `outcome` for `reason`.
fn refused(outcome: &str, reason: &str) -> Option<&'static str> {
    let answer = http::Response::builder()
        .header(headers::OUTCOME, outcome)
        .header(headers::REASON, reason)
        .body(());
    let answer = answer.expect("an answer");
    let refusal = super::refusal(&answer, answer.headers().get(headers::OUTCOME));
    refusal.expect("no answer of an upstream").by().map(proof::By::as_str)
}

/// Guards against log lines that blame a node for what its upstream said, or the other way round,
/// and against a "not run" of nobody.
#[rstest]
#[case::node(headers::NOT_RUN, "full", Some("node"))]
#[case::unknown_reason(headers::NOT_RUN, "a reason of a later build", Some("node"))]
#[case::upstream(headers::NOT_RUN, "upstream-shed", Some("upstream"))]
#[case::unknown(headers::UNKNOWN, "cut", None)]
fn a_refusal_of_another_node_tells_who_vouches_for_it(
    #[case] outcome: &str,
    #[case] reason: &str,
    #[case] by: Option<&str>,
) {
    assert_eq!(refused(outcome, reason), by);
}
