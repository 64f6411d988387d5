//! Tests of remembering what was answered.

use super::{SECOND, at};
use crate::quarantine::{Fingerprint, Proven};

#[test]
fn an_answer_speaks_for_its_request_for_some_seconds() {
    let mut proven = Proven::default();
    assert!(!proven.has(Fingerprint(0), at(0)) && !proven.has(Fingerprint(0), at(1)));
    proven.note(Fingerprint(7), at(1000));
    assert!(proven.has(Fingerprint(7), at(1000) + SECOND * 10));
    assert!(!proven.has(Fingerprint(7), at(1000) + SECOND * 11));
    assert!(!proven.has(Fingerprint(7 + 1024), at(1000)), "another one of the same place");
}

#[test]
fn it_takes_up_the_same_room_however_many_are_answered() {
    let mut proven = Proven::default();
    (0..100_000).for_each(|print| proven.note(Fingerprint(print), at(1000)));
    assert!(proven.has(Fingerprint(99_999), at(1000)) && !proven.has(Fingerprint(1), at(1000)));
}
