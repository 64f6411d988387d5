//! Tests of telling calls of upstreams from those of callers.

use std::rc::Rc;

use http::header;
use rstest::rstest;

use super::Running;
use super::Runs;
use crate::quarantine;

fn enter(runs: &Rc<Runs>, text: &'static str) -> Running {
    runs.enter(Some(id(text)), quarantine::Fingerprint(0))
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
fn a_call_made_by_one_that_runs_begins_with_its_identity(
    #[case] made: &'static str,
    #[case] known: bool,
) {
    let runs = Rc::new(Runs::default());
    let _running = enter(&runs, "9c41d07be2a35f68");
    assert_eq!(runs.makes(&id(made)), known);
}

#[test]
fn a_short_identity_proves_nothing() {
    let runs = Rc::new(Runs::default());
    let _running = enter(&runs, "12");
    assert!(!runs.makes(&id("123")));
}

#[test]
fn a_call_that_has_ended_makes_no_more() {
    let runs = Rc::new(Runs::default());
    let first = enter(&runs, "9c41d07be2a35f68");
    let second = enter(&runs, "9c41d07be2a35f68");
    drop(first);
    assert!(runs.makes(&id("9c41d07be2a35f68.1")), "a repeat of it still runs");
    drop(second);
    assert!(!runs.makes(&id("9c41d07be2a35f68.1")));
}
