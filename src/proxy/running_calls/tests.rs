//! Tests of telling nested calls from those of other callers, and of the records of nested calls.

use std::rc::Rc;

use http::header;
use rstest::rstest;
use smol_str::SmolStr;
use tokio::time;

use super::NestedCall;
use super::RunningCall;
use super::RunningCalls;
use crate::quarantine;
use crate::retry;

fn enter(calls: &Rc<RunningCalls>, text: &'static str) -> RunningCall {
    calls.enter(Some(id(text)), quarantine::Fingerprint(0), None)
}

fn id(text: &'static str) -> header::HeaderValue {
    header::HeaderValue::from_static(text)
}

#[rstest]
#[case::its_own("9c41d07be2a35f68.1", true)]
#[case::deeper("9c41d07be2a35f68.1.2", true)]
#[case::itself("9c41d07be2a35f68", false)]
#[case::another("9c41d07be2a35f69.1", false)]
#[case::shorter("9c41d07b", false)]
fn the_id_of_a_nested_call_starts_with_that_of_its_parent(
    #[case] made: &'static str,
    #[case] known: bool,
) {
    let calls = Rc::new(RunningCalls::default());
    let _running = enter(&calls, "9c41d07be2a35f68");
    assert_eq!(calls.parent_of(&id(made)).is_some(), known);
}

#[test]
fn a_short_id_is_no_parent() {
    let calls = Rc::new(RunningCalls::default());
    let _running = enter(&calls, "12");
    assert!(calls.parent_of(&id("123")).is_none());
}

#[test]
fn a_call_that_has_ended_is_no_parent() {
    let calls = Rc::new(RunningCalls::default());
    let first = enter(&calls, "9c41d07be2a35f68");
    let second = enter(&calls, "9c41d07be2a35f68");
    drop(first);
    assert!(calls.parent_of(&id("9c41d07be2a35f68.1")).is_some(), "a repeat of it still runs");
    drop(second);
    assert!(calls.parent_of(&id("9c41d07be2a35f68.1")).is_none());
}

/// Kind of the nested calls of these tests.
const KIND: SmolStr = SmolStr::new_static("part");

const PARENT: &str = "9c41d07be2a35f68";

/// Records a nested call of the run that has the id `PARENT`.
fn nested(calls: &Rc<RunningCalls>, text: &'static str) -> NestedCall {
    calls.begin_nested(&id(text), &KIND).unwrap().unwrap()
}

/// Calls of which runs with a lost nested call are known to fail.
fn calls_that_fail() -> Rc<RunningCalls> {
    let calls = Rc::new(RunningCalls::default());
    for _ in 0..10 {
        let mut running = enter(&calls, PARENT);
        nested(&calls, "9c41d07be2a35f68.1").lose();
        running.set_status(http::StatusCode::BAD_GATEWAY);
    }
    calls
}

fn is_refused(calls: &Rc<RunningCalls>) -> bool {
    calls.begin_nested(&id("9c41d07be2a35f68.2"), &KIND).is_err()
}

#[test]
fn a_run_that_has_lost_a_nested_call_sends_no_more() {
    let calls = calls_that_fail();
    let _running = enter(&calls, PARENT);
    assert!(!is_refused(&calls));
    nested(&calls, "9c41d07be2a35f68.1").lose();
    assert!(is_refused(&calls));
}

/// Those that were sent before the loss must know of it too, whatever their own kind.
#[test]
fn a_nested_call_knows_that_its_run_is_lost() {
    let calls = calls_that_fail();
    let _running = enter(&calls, PARENT);
    let first = nested(&calls, "9c41d07be2a35f68.1");
    let other = SmolStr::new_static("other");
    let second = calls.begin_nested(&id("9c41d07be2a35f68.2"), &other).unwrap().unwrap();
    assert!(!second.is_run_lost());
    first.lose();
    assert!(second.is_run_lost());
}

/// A retry of a run starts anew, also while the first one still runs: what that has lost says
/// nothing of it.
#[test]
fn a_record_ends_with_its_run() {
    let calls = calls_that_fail();
    let running = enter(&calls, PARENT);
    nested(&calls, "9c41d07be2a35f68.1").lose();
    let again = enter(&calls, PARENT);
    assert!(!is_refused(&calls), "the latest run of an id makes its nested calls");
    drop(again);
    assert!(is_refused(&calls));
    drop(running);
    assert!(calls.begin_nested(&id("9c41d07be2a35f68.2"), &KIND).is_ok_and(|call| call.is_none()));
    let _next = enter(&calls, PARENT);
    assert!(!is_refused(&calls));
}

/// A run that was cancelled or cut shows nothing of the loss of its nested call.
#[test]
fn runs_without_a_response_teach_nothing() {
    let calls = Rc::new(RunningCalls::default());
    for _ in 0..20 {
        let _running = enter(&calls, PARENT);
        nested(&calls, "9c41d07be2a35f68.1").lose();
    }
    let _running = enter(&calls, PARENT);
    nested(&calls, "9c41d07be2a35f68.1").lose();
    assert!(!is_refused(&calls));
}

#[test]
fn a_nested_call_belongs_to_the_innermost_run() {
    let calls = calls_that_fail();
    let _outer = enter(&calls, PARENT);
    let _inner = enter(&calls, "9c41d07be2a35f68.1");
    nested(&calls, "9c41d07be2a35f68.1.1").lose();
    assert!(calls.begin_nested(&id("9c41d07be2a35f68.1.2"), &KIND).is_err());
    assert!(!is_refused(&calls), "the outer run has lost nothing");
}

const NONE: retry::Others = retry::Others { running: 0, waiting: 0, lost: false };

/// How long the tests wait for what must happen at once, or must not happen.
const WAIT: time::Duration = time::Duration::from_secs(10);

fn wait_end() -> time::Instant {
    time::Instant::now() + WAIT
}

#[tokio::test(start_paused = true)]
async fn a_nested_call_waits_until_the_others_have_ended() {
    let calls = calls_that_fail();
    let _running = enter(&calls, PARENT);
    let first = nested(&calls, "9c41d07be2a35f68.1");
    let second = nested(&calls, "9c41d07be2a35f68.2");
    let third = nested(&calls, "9c41d07be2a35f68.3");
    assert_eq!(first.others(), Some(retry::Others { running: 2, ..NONE }));
    let end = time::Instant::now() + WAIT / 2;
    let others = async {
        time::sleep_until(end - WAIT / 4).await;
        drop(second);
        time::sleep_until(end).await;
        drop(third);
    };
    tokio::join!(first.wait_others(wait_end()), others);
    assert_eq!(time::Instant::now(), end);
    assert_eq!(first.others(), Some(NONE));
}

#[tokio::test(start_paused = true)]
async fn a_nested_call_waits_no_longer_than_it_may_and_not_after_a_loss() {
    let calls = calls_that_fail();
    let _running = enter(&calls, PARENT);
    let first = nested(&calls, "9c41d07be2a35f68.1");
    let second = nested(&calls, "9c41d07be2a35f68.2");
    let third = nested(&calls, "9c41d07be2a35f68.3");
    let end = wait_end();
    first.wait_others(end).await;
    assert_eq!(time::Instant::now(), end);
    second.lose();
    drop(second);
    first.wait_others(wait_end()).await;
    assert_eq!(time::Instant::now(), end, "the third one still runs");
    let lost = retry::Others { running: 1, waiting: 0, lost: true };
    assert_eq!(first.others(), Some(lost));
    drop(third);
}

/// Two nested calls that waited for each other would do so until half of their time has passed.
#[tokio::test(start_paused = true)]
async fn nested_calls_do_not_wait_for_those_that_wait() {
    let calls = calls_that_fail();
    let _running = enter(&calls, PARENT);
    let first = nested(&calls, "9c41d07be2a35f68.1");
    let second = nested(&calls, "9c41d07be2a35f68.2");
    let began = time::Instant::now();
    let last = async {
        second.wait_others(wait_end()).await;
        drop(second);
    };
    tokio::join!(first.wait_others(wait_end()), last);
    assert_eq!(time::Instant::now(), began);
    assert_eq!(first.others(), Some(NONE));
}

/// The caller of a nested call may leave while it waits: the others must not count on it.
#[tokio::test(start_paused = true)]
async fn a_nested_call_that_is_cancelled_while_it_waits_has_ended() {
    let calls = calls_that_fail();
    let _running = enter(&calls, PARENT);
    let first = nested(&calls, "9c41d07be2a35f68.1");
    let second = nested(&calls, "9c41d07be2a35f68.2");
    {
        let waiting = first.wait_others(wait_end());
        tokio::pin!(waiting);
        assert!(futures_util::poll!(waiting.as_mut()).is_pending());
        assert_eq!(second.others(), Some(retry::Others { waiting: 1, ..NONE }));
    }
    drop(first);
    assert_eq!(second.others(), Some(NONE));
}

#[tokio::test(start_paused = true)]
async fn waits_and_calls_that_are_not_sent_are_counted() {
    let counts = retry::Counts::default();
    let calls = Rc::new(RunningCalls::default().with_counts(counts.clone()));
    let fail = || {
        let mut running = enter(&calls, PARENT);
        nested(&calls, "9c41d07be2a35f68.1").lose();
        running.set_status(http::StatusCode::BAD_GATEWAY);
    };
    (0..10).for_each(|_| fail());
    let _running = enter(&calls, PARENT);
    let first = nested(&calls, "9c41d07be2a35f68.1");
    first.wait_others(wait_end()).await;
    first.lose();
    assert!(is_refused(&calls));
    assert_eq!((counts.waited.get(), counts.not_sent.get()), (1, 1));
}
