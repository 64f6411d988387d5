//! Tests of telling nested calls from those of other callers.

use std::rc::Rc;

use http::header;
use rstest::rstest;

use super::RunningCall;
use super::RunningCalls;
use crate::quarantine;

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
