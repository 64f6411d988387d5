use rstest::rstest;

use crate::clock;
use crate::proxy::caller_retries;

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// What is remembered after a try at 100 ms failed whose caller waits until 2500 ms.
fn returns() -> caller_retries::Returns {
    let mut returns = caller_retries::Returns::default();
    let key = returns.key(("GET", "/a/1"));
    returns.note(key, at(100), at(2500));
    returns
}

#[rstest]
#[case::same("/a/1", 2500, 100)]
#[case::rounded("/a/1", 2498, 100)]
#[case::held_up("/a/1", 2540, 100)]
#[case::another_caller("/a/1", 2600, 400)]
#[case::another_path("/a/2", 2500, 400)]
fn a_caller_that_comes_back_is_known(#[case] path: &str, #[case] until: u64, #[case] since: u64) {
    let returns = returns();
    let key = returns.key(("GET", path));
    assert_eq!(returns.since(key, at(until), at(400)), at(since));
}

#[test]
fn a_second_return_still_counts_from_the_first_try() {
    let mut returns = returns();
    let key = returns.key(("GET", "/a/1"));
    let since = returns.since(key, at(2500), at(400));
    returns.note(key, since, at(2500));
    assert_eq!(returns.since(key, at(2500), at(900)), at(100));
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut returns = returns();
    let first = returns.key(("GET", "/a/1"));
    for number in 0..caller_retries::MOST {
        let key = returns.key(number);
        returns.note(key, at(200), at(2600));
    }
    assert_eq!(returns.since(first, at(2500), at(400)), at(400));
    assert_eq!(returns.order.len(), caller_retries::MOST);
    assert_eq!(returns.seen.len(), caller_retries::MOST);
}
