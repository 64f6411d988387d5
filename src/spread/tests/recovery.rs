//! What waits at a node whose log came back from an older copy.

use std::time;

use rstest::rstest;

use crate::clock;
use crate::logs;
use crate::mesh;
use crate::rollout;
use crate::spread::recovery;
use crate::version;

const WITHIN: time::Duration = time::Duration::from_secs(12);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn order(service: &str, version: &str, number: u64) -> mesh::Rollout {
    let order = rollout::Order { number, version: version.into(), within: WITHIN };
    mesh::Rollout { service: service.into(), order }
}

fn read(number: u64, epoch: logs::Epoch, offset: u64) -> version::Version {
    version::Version::assigned(number, logs::ordinal(epoch, offset))
}

/// Guards against a node that follows an order which another one has replaced, since the log's copy is older.
#[rstest]
#[case::none_there_yet(&[], true)]
#[case::an_older_one(&[("shop", "v2")], true)]
#[case::one_of_two(&[("shop", "v3")], true)]
#[case::all(&[("desk", "v5"), ("shop", "v3")], false)]
#[case::and_a_new_one(&[("desk", "v5"), ("shop", "v3"), ("call", "v9")], false)]
fn orders_that_the_log_lacks_are_waited_for(#[case] there: &[(&str, &str)], #[case] waits: bool) {
    let held = [order("shop", "v3", 9), order("desk", "v5", 7)];
    let there: Vec<_> = there.iter().map(|(service, v)| order(service, v, 1 << 41)).collect();
    let mut recovery = recovery::Recovery::default();
    let mut holds = |now| recovery.holds_back((read(4, 0, 9), &held), (read(4, 1, 5), &there), now);
    assert_eq!(holds(at(1_000)), waits);
    assert_eq!(holds(at(2_900)), waits);
    assert!(!holds(at(3_000)), "what the operator wrote instead holds");
    assert!(!holds(at(9_000)));
}

#[test]
fn orders_of_one_epoch_take_effect_at_once() {
    let mut recovery = recovery::Recovery::default();
    let (held, read_now) = (read(4, 1, 9), read(4, 1, 10));
    let (known, there) = ([order("shop", "v3", 9)], [order("shop", "v4", 10)]);
    assert!(!recovery.holds_back((held, &known), (read_now, &there), at(1_000)));
    assert_eq!(recovery.due(), None);
}

#[test]
fn each_epoch_has_its_own_wait() {
    let mut recovery = recovery::Recovery::default();
    let known = [order("shop", "v3", 9)];
    assert!(recovery.holds_back((read(4, 0, 9), &known), (read(4, 1, 5), &[]), at(1_000)));
    assert_eq!(recovery.due(), Some(at(3_000)));
    assert!(recovery.holds_back((read(4, 0, 9), &known), (read(4, 2, 5), &[]), at(4_000)));
    assert_eq!(recovery.due(), Some(at(6_000)));
    assert!(!recovery.ends(at(5_999)));
    assert!(recovery.ends(at(6_000)) && !recovery.ends(at(6_001)), "it is looked at once");
    assert!(!recovery.holds_back((read(4, 0, 9), &known), (read(4, 2, 6), &known), at(4_100)));
    assert_eq!(recovery.due(), None);
}
