//! Tests of the holders that a replay of the log gives.

use std::time;

use super::{attempt, entry, key};
use crate::claim::Verdict;
use crate::claim::fold::Fold;
use crate::claim::record::{Entry, Op};

const WINDOW: time::Duration = time::Duration::from_secs(60);

fn claim(fold: &mut Fold, at: u64, number: u64) -> Option<Verdict> {
    fold.apply(at, &entry(Op::Claim, 1, number));
    fold.verdict(key(1), attempt(1, number))
}

#[test]
fn the_first_claim_in_order_wins_and_repeats_stay_first() {
    let mut fold = Fold::new(WINDOW);
    assert_eq!(claim(&mut fold, 0, 1), Some(Verdict::First));
    assert_eq!(claim(&mut fold, 1, 2), Some(Verdict::Taken(attempt(1, 1))));
    assert_eq!(claim(&mut fold, 2, 1), Some(Verdict::First));
    assert_eq!(fold.len(), 1);
}

#[test]
fn a_release_lets_another_win_but_not_the_same_attempt() {
    let mut fold = Fold::new(WINDOW);
    claim(&mut fold, 0, 1);
    fold.apply(1, &entry(Op::Release, 1, 1));
    assert_eq!(claim(&mut fold, 2, 1), None);
    assert_eq!(claim(&mut fold, 3, 2), Some(Verdict::First));
    assert_eq!(claim(&mut fold, 4, 1), Some(Verdict::Taken(attempt(1, 2))));
}

#[test]
fn a_release_that_overtakes_its_claim_voids_it() {
    let mut fold = Fold::new(WINDOW);
    fold.apply(0, &entry(Op::Release, 1, 1));
    assert_eq!(claim(&mut fold, 1, 1), None);
    assert_eq!(claim(&mut fold, 2, 2), Some(Verdict::First));
}

#[test]
fn only_the_holder_releases() {
    let mut fold = Fold::new(WINDOW);
    claim(&mut fold, 0, 1);
    fold.apply(1, &entry(Op::Release, 1, 2));
    assert_eq!(fold.holder(key(1)), Some(attempt(1, 1)));
}

#[test]
fn a_claim_is_held_for_exactly_one_window() {
    let mut fold = Fold::new(WINDOW);
    claim(&mut fold, 7_000, 1);
    assert_eq!(claim(&mut fold, 66_999, 2), Some(Verdict::Taken(attempt(1, 1))));
    assert_eq!(claim(&mut fold, 67_000, 3), Some(Verdict::First));
}

#[test]
fn memory_is_bounded_by_the_window() {
    let mut fold = Fold::new(WINDOW);
    let mut max = 0;
    for n in 0..300_000u64 {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&n.to_le_bytes());
        let key = crate::claim::Key(bytes);
        fold.apply(n, &Entry { key, attempt: attempt(1, n), op: Op::Claim });
        max = max.max(fold.len());
    }
    assert!((60_000..=75_001).contains(&max), "{max} keys held at a claim a millisecond");
}
