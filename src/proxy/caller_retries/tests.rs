use rstest::rstest;

use crate::clock;
use crate::proxy::caller_retries;

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// Remembers one failed try, made at 100 ms by a caller that waits until 2500 ms.
fn retries() -> caller_retries::CallerRetries {
    let mut retries = caller_retries::CallerRetries::default();
    let key = retries.key(("GET", "/a/1"));
    retries.record(key, at(100), at(2500));
    retries
}

#[rstest]
#[case::same("/a/1", 2500, 100)]
#[case::rounded("/a/1", 2498, 100)]
#[case::delayed("/a/1", 2540, 100)]
#[case::another_caller("/a/1", 2600, 400)]
#[case::another_path("/a/2", 2500, 400)]
fn a_caller_that_retries_is_recognised(
    #[case] path: &str,
    #[case] deadline: u64,
    #[case] first: u64,
) {
    let retries = retries();
    let key = retries.key(("GET", path));
    assert_eq!(retries.first_try(key, at(deadline), at(400)), at(first));
}

#[test]
fn a_second_retry_still_counts_from_the_first_try() {
    let mut retries = retries();
    let key = retries.key(("GET", "/a/1"));
    let first = retries.first_try(key, at(2500), at(400));
    retries.record(key, first, at(2500));
    assert_eq!(retries.first_try(key, at(2500), at(900)), at(100));
}

#[test]
fn the_number_of_remembered_tries_is_bounded() {
    let mut retries = retries();
    let first = retries.key(("GET", "/a/1"));
    for number in 0..caller_retries::MAX_REMEMBERED {
        let key = retries.key(number);
        retries.record(key, at(200), at(2600));
    }
    assert_eq!(retries.first_try(first, at(2500), at(400)), at(400));
    assert_eq!(retries.order.len(), caller_retries::MAX_REMEMBERED);
    assert_eq!(retries.failed.len(), caller_retries::MAX_REMEMBERED);
}
