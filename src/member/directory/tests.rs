use std::time;

use rstest::rstest;

use crate::member::directory;

const PACE: directory::Pace = directory::Pace {
    again: time::Duration::from_secs(10),
    retry: time::Duration::from_millis(200),
};

#[rstest]
#[case::looked(0, 10_000)]
#[case::once(1, 200)]
#[case::twice(2, 400)]
#[case::four_times(4, 1600)]
#[case::for_long(40, 1600)]
fn a_directory_that_fails_is_asked_less_and_less(#[case] failures: u32, #[case] millis: u64) {
    assert_eq!(PACE.wait(failures), time::Duration::from_millis(millis));
}
