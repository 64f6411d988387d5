//! Tests of the mean run times.

use std::time;

use super::RunTimes;

const KIND: &str = "browse";

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

#[test]
fn a_run_is_compared_with_its_kind_alone() {
    let mut run_times = RunTimes::default();
    assert_eq!(run_times.record(KIND, ms(100)), 1.0);
    assert_eq!(run_times.record("upload", ms(1000)), 1.0);
    assert_eq!(run_times.record(KIND, ms(200)), 2.0);
}

#[test]
fn the_mean_follows_all_upstreams() {
    let mut run_times = RunTimes::default();
    for _ in 0..200 {
        run_times.record(KIND, ms(60));
        run_times.record(KIND, ms(140));
    }
    let (fast, slow) = (run_times.record(KIND, ms(60)), run_times.record(KIND, ms(140)));
    assert!((0.5..0.7).contains(&fast) && (1.3..1.5).contains(&slow), "{fast} {slow}");
}

#[test]
fn the_deviation_follows_the_spread_of_the_run_times() {
    let mut run_times = RunTimes::default();
    assert_eq!(run_times.spread(KIND), None);
    run_times.record(KIND, ms(100));
    assert_eq!(run_times.spread(KIND).unwrap().deviation.as_millis(), 50);
    for _ in 0..500 {
        run_times.record(KIND, ms(80));
        run_times.record(KIND, ms(120));
    }
    let spread = run_times.spread(KIND).unwrap();
    assert!((ms(99)..ms(101)).contains(&spread.mean), "{spread:?}");
    assert!((ms(19)..ms(21)).contains(&spread.deviation), "{spread:?}");
}
