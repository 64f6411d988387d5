//! Tests of finding the request that ends upstreams.

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rstest::rstest;

use super::{BAD, SECOND, at, end, refused, seen};
use crate::clock;
use crate::quarantine;
use crate::quarantine::Fingerprint;

const NOW: clock::Instant = clock::Instant::from_millis(10_000);

fn is_refused(table: &quarantine::Table, print: u64) -> bool {
    refused(table, Fingerprint(print), NOW)
}

#[test]
fn a_request_is_refused_once_three_upstreams_ended_under_it() {
    assert!(!is_refused(&seen(&[&[1, 2, 3], &[1, 4]]), 1));
    let table = seen(&[&[1, 2, 3], &[1, 4], &[5, 1, 6]]);
    assert!(is_refused(&table, 1));
    assert!((2..7).all(|other| !is_refused(&table, other)), "what ran beside it is not");
}

#[test]
fn upstreams_that_end_in_the_same_instant_count_each_for_itself() {
    let mut table = quarantine::Table::default();
    for host in 0..12 {
        table.record_crash(end(host, 0, 1000, &[1, 100 + u64::from(host)]), at(1000));
    }
    assert!(is_refused(&table, 1));
    assert!((100..112).all(|other| !is_refused(&table, other)));
}

#[test]
fn an_end_that_is_told_twice_counts_once() {
    let mut table = seen(&[&[1, 2], &[1, 3]]);
    assert!(!table.record_crash(end(0, 0, 1000, &[1, 2]), NOW));
    assert!(!is_refused(&table, 1));
}

#[test]
fn a_harmless_request_beside_the_bad_one_is_spared_while_either_explains_the_ends() {
    let table = seen(&[&[1, 2], &[1, 2], &[1, 2]]);
    assert!(!is_refused(&table, 1) && !is_refused(&table, 2), "nobody can tell them apart yet");
    assert_eq!(table.snapshot().crashes(Fingerprint(2)), 3, "so that they run apart");
    let table = seen(&[&[1, 2], &[1, 2], &[1, 2], &[1, 3]]);
    assert!(is_refused(&table, 1) && !is_refused(&table, 2));
}

#[test]
fn two_that_can_not_be_told_apart_are_both_refused_in_the_end() {
    let table = seen(&[&[1, 2], &[1, 2], &[1, 2], &[1, 2], &[1, 2]]);
    assert!(is_refused(&table, 1) || is_refused(&table, 2));
}

#[test]
fn an_answer_speaks_for_a_request_at_any_time() {
    let mut table = seen(&[&[7, 2], &[7, 3]]);
    assert_eq!(table.record_answer(Fingerprint(7), at(2500)), 2);
    table.record_crash(end(8, 0, 3000, &[7, 4]), at(3000));
    assert!(!is_refused(&table, 7), "only one end since then");
    assert_eq!(table.snapshot().crashes(Fingerprint(7)), 1);
    let mut table = seen(&[&[7], &[7], &[7]]);
    assert!(is_refused(&table, 7));
    assert_eq!(table.record_answer(Fingerprint(7), at(5000)), 3);
    assert!(!is_refused(&table, 7));
    assert_eq!(table.record_answer(Fingerprint(8), at(5000)), 0, "nothing was held against it");
}

#[test]
fn evidence_comes_back_when_the_one_held_responsible_is_cleared() {
    let ends: &[&[u64]] = &[&[1, 7], &[1, 7], &[7, 3], &[1, 7], &[7, 4]];
    let mut table = seen(ends);
    assert!(is_refused(&table, 7) && !is_refused(&table, 1));
    table.record_answer(Fingerprint(7), at(6000));
    assert!(is_refused(&table, 1), "three of the ends are left to explain");
}

#[test]
fn a_harmless_request_through_ten_ordinary_ends_is_never_refused() {
    let mut table = quarantine::Table::default();
    for number in 0..10 {
        let millis = 1000 * (1 + u64::from(number));
        table.record_crash(end(number, 0, millis, &[7, 100 + u64::from(number)]), at(millis));
        assert!(!refused(&table, Fingerprint(7), at(millis)));
        table.record_answer(Fingerprint(7), at(millis + 500));
    }
}

#[rstest]
#[case::while_it_is_refused(150, 600)]
#[case::at_the_trial(300, 600)]
#[case::when_the_first_ends_are_forgotten(610, 300)]
fn one_more_end_refuses_it_anew(#[case] after: u32, #[case] seconds: u32) {
    let mut table = seen(&[&[1], &[1], &[1]]);
    assert_eq!(table.snapshot().remaining(BAD, 0.0, at(3000)), Some(300 * SECOND));
    let later = at(3000) + SECOND * after;
    assert_eq!(refused(&table, BAD, later), after < 300);
    table.record_crash(end(9, 0, later.as_micros() / 1000, &[1, 2]), later);
    assert_eq!(table.snapshot().remaining(BAD, 0.0, later), Some(seconds * SECOND));
}

#[test]
fn everything_is_forgotten_in_the_end() {
    let mut table = seen(&[&[1, 2], &[1, 3], &[1, 4]]);
    table.expire(NOW + 2000 * SECOND);
    assert!(table.is_empty());
    assert_eq!(table.digest(), quarantine::Digest::default());
}

#[test]
fn ten_thousand_bad_requests_take_up_no_more_than_some_hundred() {
    let mut table = seen(&[&[1], &[1], &[1]]);
    for number in 0..10_000 {
        let prints: Vec<u64> = (0..64).map(|p| 1000 + number * 64 + p).collect();
        table.record_crash(end(20, number, 4000 + number, &prints), at(4000 + number));
    }
    assert!(refused(&table, BAD, at(15_000)), "what is proven goes last");
    let known = table.snapshot();
    assert!(known.crashes.len() <= 256 * quarantine::MAX_FINGERPRINTS, "{}", known.crashes.len());
    for number in 0..5000 {
        let ban = quarantine::Entry { crashes: 3, lifted: false, last: at(15_000) };
        table.merge(Fingerprint(1_000_000 + number), ban, at(15_000));
    }
    assert!(table.entries().count() <= 1024);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(128)
    })]

    /// Hosts learn of ends in any order and agree in the end; of all requests the bad one alone is
    /// refused, as it runs wherever an upstream ends.
    #[test]
    fn hosts_agree_whatever_the_order(
        companions in proptest::collection::vec(proptest::collection::vec(2u64..40, 0..9), 4..20),
        seed in any::<u64>(),
    ) {
        let ends: Vec<_> = (0u16..).zip(&companions).map(|(number, others)| {
            let prints: Vec<u64> = others.iter().copied().chain([1]).collect();
            end(number, 0, 1000 + u64::from(number), &prints)
        }).collect();
        let mut first = quarantine::Table::default();
        ends.iter().for_each(|end| { first.record_crash(end.clone(), NOW); });
        let mut shuffled = ends.clone();
        shuffled.shuffle(&mut rand::rngs::Xoshiro256PlusPlus::seed_from_u64(seed));
        let mut second = quarantine::Table::default();
        shuffled.iter().for_each(|end| { second.record_crash(end.clone(), NOW); });
        let names = |table: &quarantine::Table| {
            table.quarantined().map(|(print, _)| print).collect::<Vec<_>>()
        };
        if names(&first) == [BAD] {
            prop_assert_eq!(first.digest(), second.digest());
        }
        prop_assert!(names(&second).contains(&BAD) || names(&second).is_empty());
    }
}

#[rstest]
#[case::later(3, false, 2000, true)]
#[case::earlier(9, true, 100, false)]
#[case::same_moment_more_ends(4, false, 1010, true)]
#[case::same_moment_fewer_ends(2, false, 1010, false)]
#[case::same_moment_answered(3, true, 990, true)]
fn the_later_account_of_a_request_holds(
    #[case] ends: u8,
    #[case] cleared: bool,
    #[case] millis: u64,
    #[case] holds: bool,
) {
    let mut table = quarantine::Table::default();
    let known = quarantine::Entry { crashes: 3, lifted: false, last: at(1000) };
    assert!(table.merge(BAD, known, at(1000)));
    let other = quarantine::Entry { crashes: ends, lifted: cleared, last: at(millis) };
    assert_eq!(table.merge(BAD, other, at(2000)), holds);
}
