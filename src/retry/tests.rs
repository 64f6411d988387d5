//! Tests of the decisions on retries.

mod siblings;

use std::net;
use std::time;

use proptest::prelude::*;
use rstest::rstest;

use crate::clock;
use crate::host;
use crate::retry;

const DEADLINE: clock::Instant = clock::Instant::from_millis(1000);

fn call(idempotent: bool) -> retry::Call {
    retry::Call {
        idempotent,
        attempt: 1,
        limited: 0,
        max_attempts: 3,
        depth: 0,
        outer_attempt: 1,
        deadline: DEADLINE,
        answered_bytes: 0,
        buffered: true,
        host: None,
        retry_after: None,
    }
}

fn is_retried(call: &retry::Call, outcome: retry::Outcome, millis: u64) -> bool {
    let mut budget = retry::Budget::new(10, 5);
    let now = clock::Instant::from_millis(millis);
    matches!(retry::decide(call, outcome, &mut budget, now), retry::Decision::Again { .. })
}

#[rstest]
#[case::idempotent_cut(true, retry::Outcome::Unknown(retry::Reason::Cut), true)]
#[case::idempotent_full(true, retry::Outcome::NotRun(retry::Reason::Full), true)]
#[case::order_cut(false, retry::Outcome::Unknown(retry::Reason::Cut), false)]
#[case::order_full(false, retry::Outcome::NotRun(retry::Reason::Full), true)]
#[case::caller_left(true, retry::Outcome::Unknown(retry::Reason::Cancelled), false)]
#[case::log_down(false, retry::Outcome::NotRun(retry::Reason::LogDown), false)]
#[case::ran(true, retry::Outcome::Ran, false)]
fn another_attempt_follows_the_outcome(
    #[case] idempotent: bool,
    #[case] outcome: retry::Outcome,
    #[case] expected: bool,
) {
    assert_eq!(is_retried(&call(idempotent), outcome, 0), expected);
}

#[test]
fn no_attempt_follows_the_deadline_a_byte_or_an_unbuffered_request() {
    let cut = retry::Outcome::Unknown(retry::Reason::Cut);
    assert!(is_retried(&call(true), cut, 999));
    assert!(!is_retried(&call(true), cut, 1000));
    assert!(!is_retried(&retry::Call { answered_bytes: 1, ..call(true) }, cut, 0));
    assert!(!is_retried(&retry::Call { buffered: false, ..call(true) }, cut, 0));
}

#[test]
fn a_call_nested_in_a_retried_one_is_not_retried_if_it_may_have_run() {
    let cut = retry::Outcome::Unknown(retry::Reason::Cut);
    let nested = retry::Call { depth: 1, outer_attempt: 2, ..call(true) };
    assert!(!is_retried(&nested, cut, 0));
    assert!(is_retried(&nested, retry::Outcome::NotRun(retry::Reason::Full), 0));
    assert!(!is_retried(&retry::Call { depth: 1, attempt: 2, ..call(true) }, cut, 0));
}

#[test]
fn a_final_decision_passes_on_the_wait_of_the_refusing_host() {
    let mut budget = retry::Budget::new(0, 0);
    let retry_after = Some(time::Duration::from_millis(40));
    let refused = retry::Call { retry_after, ..call(true) };
    let outcome = retry::Outcome::NotRun(retry::Reason::Full);
    let decision = retry::decide(&refused, outcome, &mut budget, clock::Instant::ZERO);
    assert_eq!(decision, retry::Decision::Final { outcome, retry_after });
}

#[test]
fn names_of_reasons_are_parsed() {
    for reason in retry::Reason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
    }
}

fn event() -> impl Strategy<Value = retry::Event> {
    prop_oneof![
        Just(retry::Event::Sending),
        Just(retry::Event::Refused(retry::Reason::Full)),
        Just(retry::Event::PossiblyRan(retry::Reason::Cut)),
        Just(retry::Event::Head),
        Just(retry::Event::End),
        Just(retry::Event::Failed(retry::Reason::Unreachable)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn the_outcome_is_not_run_only_if_that_is_proven(
        events in prop::collection::vec(event(), 0..8),
    ) {
        let mut attempt = retry::Attempt::new();
        let mut sent = false;
        let mut head = false;
        for event in events {
            let before = attempt.outcome();
            attempt.handle(event);
            if before.is_some() {
                prop_assert_eq!(before, attempt.outcome());
                continue;
            }
            if let Some(retry::Outcome::NotRun(_)) = attempt.outcome() {
                let refused = matches!(event, retry::Event::Refused(_));
                prop_assert!(!sent || (refused && !head));
            }
            if attempt.outcome() == Some(retry::Outcome::Ran) {
                prop_assert!(head && event == retry::Event::End);
            }
            sent |= event == retry::Event::Sending;
            head |= sent && event == retry::Event::Head;
        }
    }

    #[test]
    fn a_total_outage_costs_at_most_a_tenth_more_attempts(
        calls in 1000_u32..20_000,
        attempts in 1_u8..8,
        burst in 0_u16..50,
    ) {
        let mut budget = retry::Budget::new(10, burst);
        let mut total = 0_u32;
        for _ in 0..calls {
            budget.record_arrival();
            let mut call = retry::Call { max_attempts: attempts, ..call(true) };
            let outcome = retry::Outcome::NotRun(retry::Reason::Unreachable);
            total += 1;
            while let retry::Decision::Again { .. } =
                retry::decide(&call, outcome, &mut budget, clock::Instant::ZERO)
            {
                call.attempt += 1;
                total += 1;
                prop_assert!(call.attempt <= attempts);
            }
        }
        prop_assert!(total * 10 <= calls * 11, "{total} attempts of {calls} calls");
    }
}

#[test]
fn a_call_refused_at_the_limit_of_an_upstream_goes_to_another_one_without_a_budget() {
    let now = clock::Instant::from_millis(0);
    let limited = retry::Outcome::NotRun(retry::Reason::Limited);
    let mut empty = retry::Budget::new(0, 0);
    let host = host::HostId::new(net::SocketAddr::from(([127, 0, 0, 1], 7100)));
    let last = retry::Call { attempt: 3, max_attempts: 3, host: Some(host), ..call(false) };
    let again = retry::decide(&last, limited, &mut empty, now);
    assert_eq!(again, retry::Decision::Again { avoid: last.host });
    let after = Some(time::Duration::from_millis(70));
    for done in [retry::Call { limited: 8, ..last }, retry::Call { host: None, ..last }] {
        let done = retry::Call { retry_after: after, ..done };
        let decision = retry::decide(&done, limited, &mut empty, now);
        assert_eq!(decision, retry::Decision::Final { outcome: limited, retry_after: after });
    }
}

/// No connection could be made.
const UNREACHABLE: retry::Outcome = retry::Outcome::NotRun(retry::Reason::Unreachable);

/// Time that the calls of the tests run.
const RUN_TIME: time::Duration = time::Duration::from_millis(100);

fn diversion(diverted: u8) -> retry::Diversion {
    retry::Diversion { diverted, repeated: false, run_time: RUN_TIME, run_lost: false }
}

/// A call whose last attempt went to a host.
fn picked() -> retry::Call {
    let host = host::HostId::new(net::SocketAddr::from(([127, 0, 0, 1], 7100)));
    retry::Call { host: Some(host), ..call(false) }
}

/// Only where nothing was sent does a further attempt cost nothing. An attempt that may have run, or
/// that an upstream's node refused for its load, must use up attempts and budget.
#[rstest]
#[case::unreachable(UNREACHABLE, true)]
#[case::lost(retry::Outcome::Unknown(retry::Reason::Unreachable), false)]
#[case::cut(retry::Outcome::Unknown(retry::Reason::Cut), false)]
#[case::full(retry::Outcome::NotRun(retry::Reason::Full), false)]
#[case::draining(retry::Outcome::NotRun(retry::Reason::Draining), false)]
#[case::too_late(retry::Outcome::NotRun(retry::Reason::TooLate), false)]
#[case::ran(retry::Outcome::Ran, false)]
fn only_an_attempt_that_reached_no_upstream_is_replaced(
    #[case] outcome: retry::Outcome,
    #[case] expected: bool,
) {
    let now = clock::Instant::ZERO;
    assert_eq!(retry::diverts(&picked(), &diversion(0), outcome, now), expected);
}

#[test]
fn replacements_end_after_four_and_where_no_other_host_is_left() {
    let now = clock::Instant::ZERO;
    let is_diverted = |call: &retry::Call, diversion: &retry::Diversion| {
        retry::diverts(call, diversion, UNREACHABLE, now)
    };
    assert!(is_diverted(&retry::Call { attempt: 3, ..picked() }, &diversion(3)));
    assert!(!is_diverted(&picked(), &diversion(4)));
    assert!(!is_diverted(&picked(), &retry::Diversion { repeated: true, ..diversion(0) }));
    assert!(!is_diverted(&retry::Call { host: None, ..picked() }, &diversion(0)));
    assert!(!is_diverted(&retry::Call { buffered: false, ..picked() }, &diversion(0)));
    assert!(!is_diverted(&retry::Call { answered_bytes: 1, ..picked() }, &diversion(0)));
}

/// A nested call of a run that is lost already is served for nothing.
#[test]
fn no_attempt_is_replaced_for_a_run_that_is_lost() {
    let lost = retry::Diversion { run_lost: true, ..diversion(0) };
    assert!(!retry::diverts(&picked(), &lost, UNREACHABLE, clock::Instant::ZERO));
}

/// In a total outage, replacements must not multiply the attempts without a bound.
#[test]
fn a_call_has_at_most_four_attempts_beyond_those_that_it_may_have() {
    let mut budget = retry::Budget::new(0, 100);
    let mut call = retry::Call { idempotent: true, ..picked() };
    let (mut total, mut diverted) = (1, 0);
    loop {
        if retry::diverts(&call, &diversion(diverted), UNREACHABLE, clock::Instant::ZERO) {
            diverted += 1;
        } else if matches!(
            retry::decide(&call, UNREACHABLE, &mut budget, clock::Instant::ZERO),
            retry::Decision::Again { .. }
        ) {
            call.attempt += 1;
        } else {
            break;
        }
        total += 1;
    }
    assert_eq!((total, call.attempt, budget.remaining()), (7, 3, 98));
}

/// A replacement that can only miss the deadline delays the refusal and serves nobody.
#[test]
fn no_attempt_is_replaced_that_could_not_run_before_the_deadline() {
    let at = |millis| {
        let now = clock::Instant::from_millis(millis);
        retry::diverts(&picked(), &diversion(0), UNREACHABLE, now)
    };
    assert!(at(899));
    assert!(!at(900));
    let unknown = retry::Diversion { run_time: time::Duration::ZERO, ..diversion(0) };
    let at = |millis| {
        retry::diverts(&picked(), &unknown, UNREACHABLE, clock::Instant::from_millis(millis))
    };
    assert!(at(999));
    assert!(!at(1000), "the deadline has passed");
}

#[test]
fn connections_are_awaited_for_a_fifth_of_the_time_left_after_two_failures() {
    let [usual, remaining] = [250, 500].map(time::Duration::from_millis);
    assert_eq!(retry::connect_timeout(1, remaining, usual), usual);
    let fifth = time::Duration::from_millis(100);
    assert_eq!(retry::connect_timeout(2, remaining, usual), fifth);
    let long = time::Duration::from_secs(60);
    assert_eq!(retry::connect_timeout(2, long, usual), usual, "never longer than usual");
}

/// With little time left, a fifth of it is shorter than a live host may take for a connection.
#[test]
fn connections_are_awaited_for_a_minimum_time() {
    let [usual, remaining] = [250, 50].map(time::Duration::from_millis);
    let least = time::Duration::from_millis(100);
    assert_eq!(retry::connect_timeout(2, remaining, usual), least);
    let short = time::Duration::from_millis(30);
    assert_eq!(retry::connect_timeout(2, remaining, short), short, "never longer than usual");
}
