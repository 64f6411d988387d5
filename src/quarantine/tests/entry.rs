//! Tests of the time for which a request is refused.

use rstest::rstest;

use super::{SECOND, at};
use crate::quarantine;

fn entry(crashes: u8) -> quarantine::Entry {
    quarantine::Entry { crashes, lifted: false, last: at(1000) }
}

#[rstest]
#[case(3, 300)]
#[case(4, 600)]
#[case(5, 1200)]
#[case(7, 4800)]
#[case(255, 4800)]
fn each_crash_doubles_the_time_up_to_a_limit(#[case] crashes: u8, #[case] seconds: u32) {
    assert_eq!(entry(crashes).remaining(0.0, at(1000)), Some(SECOND * seconds));
    assert_eq!(entry(crashes).remaining(0.0, at(1000) + SECOND * seconds), None);
}

#[test]
fn hosts_stop_refusing_at_different_times() {
    let half = at(1000) + SECOND * 300;
    assert_eq!(entry(3).remaining(0.0, half), None);
    assert_eq!(entry(3).remaining(0.5, half), Some(SECOND * 150));
    assert_eq!(entry(3).remaining(7.0, half), Some(SECOND * 300), "twice the time at most");
}

#[test]
fn an_entry_outlives_the_longest_refusal() {
    assert!(!entry(3).is_expired(at(1000) + SECOND * 900));
    assert!(entry(3).is_expired(at(1000) + SECOND * 901));
}

#[test]
fn an_answered_request_is_not_refused() {
    assert_eq!(quarantine::Entry { lifted: true, ..entry(5) }.remaining(1.0, at(1000)), None);
}
