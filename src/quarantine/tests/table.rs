//! Tests of finding the request that crashes upstreams.

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rstest::rstest;

use super::{BAD, SECOND, at, crash, refused, table_of};
use crate::clock;
use crate::quarantine;
use crate::quarantine::Fingerprint;

const NOW: clock::Instant = clock::Instant::from_millis(10_000);

fn is_refused(table: &quarantine::Table, fingerprint: u64) -> bool {
    refused(table, Fingerprint(fingerprint), NOW)
}

#[test]
fn a_request_is_refused_once_three_upstreams_crashed_under_it() {
    assert!(!is_refused(&table_of(&[&[1, 2, 3], &[1, 4]]), 1));
    let table = table_of(&[&[1, 2, 3], &[1, 4], &[5, 1, 6]]);
    assert!(is_refused(&table, 1));
    assert!(
        (2..7).all(|other| !is_refused(&table, other)),
        "the requests that ran beside it are not refused"
    );
}

#[test]
fn crashes_at_the_same_moment_count_separately() {
    let mut table = quarantine::Table::default();
    for host in 0..12 {
        table.record_crash(crash(host, 0, 1000, &[1, 100 + u64::from(host)]), at(1000));
    }
    assert!(is_refused(&table, 1));
    assert!((100..112).all(|other| !is_refused(&table, other)));
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut table = table_of(&[&[1, 2], &[1, 3]]);
    assert!(!table.record_crash(crash(0, 0, 1000, &[1, 2]), NOW));
    assert!(!is_refused(&table, 1));
}

#[test]
fn requests_that_explain_the_same_crashes_are_not_refused_before_one_has_more() {
    let table = table_of(&[&[1, 2], &[1, 2], &[1, 2]]);
    assert!(!is_refused(&table, 1) && !is_refused(&table, 2), "they can not be told apart yet");
    assert_eq!(table.snapshot().crashes(Fingerprint(2)), 3, "enough to run them apart");
    let table = table_of(&[&[1, 2], &[1, 2], &[1, 2], &[1, 3]]);
    assert!(is_refused(&table, 1) && !is_refused(&table, 2));
}

#[test]
fn requests_that_can_not_be_told_apart_are_refused_after_five_crashes() {
    let table = table_of(&[&[1, 2], &[1, 2], &[1, 2], &[1, 2], &[1, 2]]);
    assert!(is_refused(&table, 1) || is_refused(&table, 2));
}

#[test]
fn an_answer_lifts_the_quarantine_at_any_time() {
    let mut table = table_of(&[&[7, 2], &[7, 3]]);
    assert_eq!(table.record_answer(Fingerprint(7), at(2500)), 2);
    table.record_crash(crash(8, 0, 3000, &[7, 4]), at(3000));
    assert!(!is_refused(&table, 7), "only one crash since the answer");
    assert_eq!(table.snapshot().crashes(Fingerprint(7)), 1);
    let mut table = table_of(&[&[7], &[7], &[7]]);
    assert!(is_refused(&table, 7));
    assert_eq!(table.record_answer(Fingerprint(7), at(5000)), 3);
    assert!(!is_refused(&table, 7));
    assert_eq!(table.record_answer(Fingerprint(8), at(5000)), 0, "it was not suspected");
}

#[test]
fn crashes_point_to_another_request_once_the_quarantined_one_is_answered() {
    let crashes: &[&[u64]] = &[&[1, 7], &[1, 7], &[7, 3], &[1, 7], &[7, 4]];
    let mut table = table_of(crashes);
    assert!(is_refused(&table, 7) && !is_refused(&table, 1));
    table.record_answer(Fingerprint(7), at(6000));
    assert!(is_refused(&table, 1), "three of the crashes are unexplained again");
}

#[test]
fn a_request_that_is_answered_after_each_crash_is_never_refused() {
    let mut table = quarantine::Table::default();
    for number in 0..10 {
        let millis = 1000 * (1 + u64::from(number));
        table.record_crash(crash(number, 0, millis, &[7, 100 + u64::from(number)]), at(millis));
        assert!(!refused(&table, Fingerprint(7), at(millis)));
        table.record_answer(Fingerprint(7), at(millis + 500));
    }
}

#[rstest]
#[case::while_it_is_refused(150, 600)]
#[case::as_the_refusal_ends(300, 600)]
#[case::once_the_first_crashes_have_expired(610, 300)]
fn one_more_crash_refuses_it_again(#[case] after: u32, #[case] seconds: u32) {
    let mut table = table_of(&[&[1], &[1], &[1]]);
    assert_eq!(table.snapshot().remaining(BAD, 0.0, at(3000)), Some(300 * SECOND));
    let later = at(3000) + SECOND * after;
    assert_eq!(refused(&table, BAD, later), after < 300);
    table.record_crash(crash(9, 0, later.as_micros() / 1000, &[1, 2]), later);
    assert_eq!(table.snapshot().remaining(BAD, 0.0, later), Some(seconds * SECOND));
}

#[test]
fn crashes_and_entries_expire() {
    let mut table = table_of(&[&[1, 2], &[1, 3], &[1, 4]]);
    table.expire(NOW + 2000 * SECOND);
    assert!(table.is_empty());
    assert_eq!(table.digest(), quarantine::Digest::default());
}

#[test]
fn the_size_of_the_table_is_bounded() {
    let mut table = table_of(&[&[1], &[1], &[1]]);
    for number in 0..10_000 {
        let fingerprints: Vec<u64> = (0..64).map(|index| 1000 + number * 64 + index).collect();
        table.record_crash(crash(20, number, 4000 + number, &fingerprints), at(4000 + number));
    }
    assert!(refused(&table, BAD, at(15_000)), "crashes that prove a quarantine are dropped last");
    let known = table.snapshot();
    assert!(known.crashes.len() <= 256 * quarantine::MAX_FINGERPRINTS, "{}", known.crashes.len());
    for number in 0..5000 {
        let entry = quarantine::Entry { crashes: 3, lifted: false, last: at(15_000) };
        table.merge(Fingerprint(1_000_000 + number), entry, at(15_000));
    }
    assert!(table.entries().count() <= 1024);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(128)
    })]

    /// Hosts that learn of the same crashes in any order come to the same result: only the bad
    /// request, which ran at every crash, is refused.
    #[test]
    fn hosts_agree_whatever_the_order_of_crashes(
        companions in proptest::collection::vec(proptest::collection::vec(2u64..40, 0..9), 4..20),
        seed in any::<u64>(),
    ) {
        let crashes: Vec<_> = (0u16..).zip(&companions).map(|(number, others)| {
            let fingerprints: Vec<u64> = others.iter().copied().chain([1]).collect();
            crash(number, 0, 1000 + u64::from(number), &fingerprints)
        }).collect();
        let mut first = quarantine::Table::default();
        crashes.iter().for_each(|crash| { first.record_crash(crash.clone(), NOW); });
        let mut shuffled = crashes.clone();
        shuffled.shuffle(&mut rand::rngs::Xoshiro256PlusPlus::seed_from_u64(seed));
        let mut second = quarantine::Table::default();
        shuffled.iter().for_each(|crash| { second.record_crash(crash.clone(), NOW); });
        let fingerprints = |table: &quarantine::Table| {
            table.quarantined().map(|(fingerprint, _)| fingerprint).collect::<Vec<_>>()
        };
        if fingerprints(&first) == [BAD] {
            prop_assert_eq!(first.digest(), second.digest());
        }
        prop_assert!(fingerprints(&second).contains(&BAD) || fingerprints(&second).is_empty());
    }
}

#[rstest]
#[case::later(3, false, 2000, true)]
#[case::earlier(9, true, 100, false)]
#[case::same_moment_more_crashes(4, false, 1010, true)]
#[case::same_moment_fewer_crashes(2, false, 1010, false)]
#[case::same_moment_answered(3, true, 990, true)]
fn the_later_entry_of_a_request_supersedes(
    #[case] crashes: u8,
    #[case] lifted: bool,
    #[case] millis: u64,
    #[case] supersedes: bool,
) {
    let mut table = quarantine::Table::default();
    let known = quarantine::Entry { crashes: 3, lifted: false, last: at(1000) };
    assert!(table.merge(BAD, known, at(1000)));
    let other = quarantine::Entry { crashes, lifted, last: at(millis) };
    assert_eq!(table.merge(BAD, other, at(2000)), supersedes);
}
