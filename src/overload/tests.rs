//! Tests of the overload protection.

use std::time;

use rstest::rstest;

use crate::clock;
use crate::overload;

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// The standing delay at `now` after measurements of the given delays, in milliseconds, each made
/// at its time.
fn standing(measured: &[(u64, u64)], now: u64) -> time::Duration {
    let mut delay = overload::Delay::default();
    for &(when, late) in measured {
        delay.record(millis(late), at(when));
    }
    delay.delay(at(now))
}

/// Guards against shedding calls because of a burst or a pause, and against missing a queue that
/// stands.
#[rstest]
#[case::nothing_measured(&[], 0)]
#[case::one_measurement(&[(300, 280)], 0)]
#[case::pause_of_the_process(&[(20, 0), (5040, 5000)], 0)]
#[case::pause_then_on_time(&[(20, 0), (5040, 5000), (5060, 0)], 0)]
#[case::burst(&[(20, 0), (100, 60), (120, 0), (190, 50)], 0)]
#[case::standing(&[(20, 0), (100, 60), (190, 70), (270, 60)], 60)]
#[case::standing_and_long(&[(20, 0), (400, 360), (820, 400)], 360)]
#[case::gone(&[(400, 360), (820, 400), (840, 0)], 0)]
fn the_delay_is_the_minimum_of_a_window(#[case] measured: &[(u64, u64)], #[case] expected: u64) {
    let now = measured.last().map_or(0, |(when, _)| *when);
    assert_eq!(standing(measured, now), millis(expected));
}

/// Guards against the use of measurements made before the calls in flight arrived.
#[rstest]
fn nothing_stands_after_the_measurements_are_cleared() {
    let mut delay = overload::Delay::default();
    delay.record(millis(90), at(100));
    delay.record(millis(90), at(200));
    assert_eq!(delay.delay(at(200)), millis(90));
    delay.clear();
    assert_eq!(delay.delay(at(200)), time::Duration::ZERO);
}

/// Guards against growth of memory when measurements come faster than planned.
#[rstest]
fn the_number_of_measurements_is_bounded() {
    let mut delay = overload::Delay::default();
    delay.record(time::Duration::ZERO, at(0));
    for _ in 0..1000 {
        delay.record(millis(5), at(1));
    }
    assert_eq!(delay.delay(at(1)), millis(5), "the first measurement has been dropped");
}
