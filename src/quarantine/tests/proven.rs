//! Tests of remembering what was answered.

use super::{SECOND, at};
use crate::quarantine::{Fingerprint, RecentAnswers};

#[test]
fn an_answer_speaks_for_its_request_for_some_seconds() {
    let mut proven = RecentAnswers::default();
    assert!(!proven.contains(Fingerprint(0), at(0)) && !proven.contains(Fingerprint(0), at(1)));
    proven.record(Fingerprint(7), at(1000));
    assert!(proven.contains(Fingerprint(7), at(1000) + SECOND * 10));
    assert!(!proven.contains(Fingerprint(7), at(1000) + SECOND * 11));
    assert!(!proven.contains(Fingerprint(7 + 1024), at(1000)), "another one of the same place");
}

#[test]
fn it_takes_up_the_same_room_however_many_are_answered() {
    let mut proven = RecentAnswers::default();
    (0..100_000).for_each(|print| proven.record(Fingerprint(print), at(1000)));
    assert!(
        proven.contains(Fingerprint(99_999), at(1000))
            && !proven.contains(Fingerprint(1), at(1000))
    );
}
