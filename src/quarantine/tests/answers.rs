//! Tests of the cache of recent answers.

use super::{SECOND, at};
use crate::quarantine::{Fingerprint, RecentAnswers};

#[test]
fn an_answer_counts_for_ten_seconds() {
    let mut answers = RecentAnswers::default();
    assert!(!answers.contains(Fingerprint(0), at(0)) && !answers.contains(Fingerprint(0), at(1)));
    answers.record(Fingerprint(7), at(1000));
    assert!(answers.contains(Fingerprint(7), at(1000) + SECOND * 10));
    assert!(!answers.contains(Fingerprint(7), at(1000) + SECOND * 11));
    assert!(
        !answers.contains(Fingerprint(7 + 1024), at(1000)),
        "another request with the same slot"
    );
}

#[test]
fn the_cache_has_a_fixed_size() {
    let mut answers = RecentAnswers::default();
    (0..100_000).for_each(|number| answers.record(Fingerprint(number), at(1000)));
    assert!(
        answers.contains(Fingerprint(99_999), at(1000))
            && !answers.contains(Fingerprint(1), at(1000))
    );
}
